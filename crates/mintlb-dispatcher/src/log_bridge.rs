//! Forwards the log of `mintlb-core` (slog) to the `log` facade.

use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, o};

struct ToLog;

impl Drain for ToLog {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record, _values: &OwnedKVList) -> Result<(), Never> {
        log::debug!("core: {}", record.msg());
        Ok(())
    }

    fn is_enabled(&self, level: Level) -> bool {
        level.is_at_least(Level::Info) && log::log_enabled!(log::Level::Debug)
    }
}

/// The logger for `mintlb-core`.
pub fn logger() -> Logger {
    Logger::root(ToLog.fuse(), o!())
}
