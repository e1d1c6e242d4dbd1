//! What operators can ask, and how an answer is worded.

/// The calls, by their words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Health,
    Dump,
    Leave,
    Join,
}

/// All calls, as they are written.
pub const CALLS: [(&str, Call); 4] = [
    ("HEALTH", Call::Health),
    ("DUMP", Call::Dump),
    ("LEAVE", Call::Leave),
    ("JOIN", Call::Join),
];

impl Call {
    /// The call of a line without its end, or what is wrong with it.
    pub fn parse(line: &[u8]) -> Result<Call, String> {
        let text = std::str::from_utf8(line)
            .map_err(|e| format!("byte {} is no text", e.valid_up_to()))?;
        let word = text.trim();
        let call = CALLS
            .iter()
            .find(|(name, _)| *name == word)
            .map(|(_, call)| *call);
        call.ok_or_else(|| {
            let known = CALLS.map(|(name, _)| name).join(", ");
            match word {
                "" => format!("an empty line; one of {known} is needed"),
                // Escaped, so that the answer stays one line whatever was sent.
                _ => format!("there is no call {word:?}, only {known}"),
            }
        })
    }
}

/// What an answer begins with.
pub const SUCCESS: &str = "SUCCESS";
pub const FAILURE: &str = "FAILURE";

/// What a call is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Done, or yes.
    Success(String),
    /// Not done, or no.
    Failure(String),
    /// Figures, a line each.
    Figures(String),
}

impl Reply {
    /// As it is written.
    pub fn text(&self) -> String {
        match self {
            Reply::Success(why) => format!("{SUCCESS} {why}\n"),
            Reply::Failure(why) => format!("{FAILURE} {why}\n"),
            Reply::Figures(lines) => format!("{lines}EOT\n"),
        }
    }
}
