//! An error's causes, for the log.

use std::error::Error;

/// An error with what lies behind it: a library's outermost one seldom tells the cause.
pub fn error_chain(error: &dyn Error) -> String {
    let (mut text, mut behind) = (error.to_string(), error.source());
    while let Some(cause) = behind {
        text += &format!(": {cause}");
        behind = cause.source();
    }
    text
}
