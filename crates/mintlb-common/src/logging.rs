//! The log of a process: short lines on standard error, each with the prefix of the component that
//! wrote it.

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;
use std::io::Write;

/// Starts logging at this level (`info`, `debug`, ...), until the handle is dropped.
///
/// # Errors
///
/// If the level is not a valid specification, or a logger is already set.
pub fn start(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(level)?
        .log_to_stderr()
        .format(write_record)
        .start()
}

/// Writes the initial letter of the level and the text, which begins with the component's prefix.
fn write_record(
    out: &mut dyn Write,
    _now: &mut DeferredNow,
    record: &Record,
) -> std::io::Result<()> {
    let level_initial = &record.level().as_str()[..1];
    write!(out, "{level_initial} {}", record.args())
}
