//! The causes of an error, for the log.

use std::error::Error;

/// Formats an error with its sources: the outermost error of a library seldom tells the cause.
pub fn error_chain(error: &dyn Error) -> String {
    let (mut text, mut source) = (error.to_string(), error.source());
    while let Some(cause) = source {
        text += &format!(": {cause}");
        source = cause.source();
    }
    text
}
