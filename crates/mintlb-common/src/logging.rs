//! The log of a process: short lines to standard error, each with the prefix of the part that wrote it.

use flexi_logger::{DeferredNow, Logger, LoggerHandle};
use log::Record;
use std::io::Write;

/// Starts the log with this level (`info`, `debug`, ...). The log ends when the handle is dropped.
pub fn start(level: &str) -> Result<LoggerHandle, flexi_logger::FlexiLoggerError> {
    Logger::try_with_str(level)?
        .log_to_stderr()
        .format(line)
        .start()
}

/// One line: the level's first letter, then the text, which begins with its part's prefix.
fn line(out: &mut dyn Write, _now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
    write!(out, "{} {}", &record.level().as_str()[..1], record.args())
}
