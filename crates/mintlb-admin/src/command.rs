//! What operators can ask, and how an answer is worded.

/// The calls, by their words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    Health,
    Dump,
    Leave,
    Join,
}

/// All calls, as they are written.
pub const COMMANDS: [(&str, Command); 4] = [
    ("HEALTH", Command::Health),
    ("DUMP", Command::Dump),
    ("LEAVE", Command::Leave),
    ("JOIN", Command::Join),
];

impl Command {
    /// The call of a line without its end, or what is wrong with it.
    pub fn parse(line: &[u8]) -> Result<Command, String> {
        let text = std::str::from_utf8(line)
            .map_err(|e| format!("byte {} is no text", e.valid_up_to()))?;
        let word = text.trim();
        let call = COMMANDS
            .iter()
            .find(|(name, _)| *name == word)
            .map(|(_, call)| *call);
        call.ok_or_else(|| {
            let known = COMMANDS.map(|(name, _)| name).join(", ");
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
    Metrics(String),
}

impl Reply {
    /// As it is written.
    pub fn text(&self) -> String {
        match self {
            Reply::Success(why) => format!("{SUCCESS} {why}\n"),
            Reply::Failure(why) => format!("{FAILURE} {why}\n"),
            Reply::Metrics(lines) => format!("{lines}EOT\n"),
        }
    }
}
