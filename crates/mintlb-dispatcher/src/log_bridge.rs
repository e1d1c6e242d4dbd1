//! Forwards log records of `mintlb-core`, which uses `slog`, to the `log` facade.

use slog::{Drain, Level, Logger, Never, OwnedKVList, Record, o};

struct LogDrain;

impl Drain for LogDrain {
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

/// Creates the logger for `mintlb-core`. Its records of level info and above become debug records.
pub fn logger() -> Logger {
    Logger::root(LogDrain.fuse(), o!())
}
