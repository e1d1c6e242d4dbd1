//! Operators' commands and the text of the replies.

/// A command of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Whether the scheduler accepts work.
    Health,
    /// The metrics, one per line.
    Dump,
    /// Take the scheduler out of service.
    Leave,
    /// Put it back into service after a `Leave`.
    Join,
}

/// All commands as they are written.
pub const COMMANDS: [(&str, Command); 4] = [
    ("HEALTH", Command::Health),
    ("DUMP", Command::Dump),
    ("LEAVE", Command::Leave),
    ("JOIN", Command::Join),
];

impl Command {
    /// Parses a line without its line ending. An error says what is wrong with it.
    pub fn parse(line: &[u8]) -> Result<Command, String> {
        let text = std::str::from_utf8(line)
            .map_err(|e| format!("byte {} is no text", e.valid_up_to()))?;
        let trimmed = text.trim();
        let command = COMMANDS
            .iter()
            .find(|(name, _)| *name == trimmed)
            .map(|(_, command)| *command);
        command.ok_or_else(|| {
            let known = COMMANDS.map(|(name, _)| name).join(", ");
            match trimmed {
                "" => format!("an empty line; one of {known} is needed"),
                // Escaped, so that the reply stays one line whatever was sent.
                _ => format!("there is no call {trimmed:?}, only {known}"),
            }
        })
    }
}

/// First words of a reply.
pub const SUCCESS: &str = "SUCCESS";
pub const FAILURE: &str = "FAILURE";

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The command was carried out, or the answer is yes.
    Success(String),
    /// The command failed, or the answer is no.
    Failure(String),
    /// Metrics, one per line with its line ending.
    Metrics(String),
}

impl Reply {
    /// The reply as it is sent.
    pub fn text(&self) -> String {
        match self {
            Reply::Success(why) => format!("{SUCCESS} {why}\n"),
            Reply::Failure(why) => format!("{FAILURE} {why}\n"),
            Reply::Metrics(lines) => format!("{lines}EOT\n"),
        }
    }
}
