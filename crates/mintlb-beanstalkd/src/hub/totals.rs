//! Counters since the program's start.

use crate::job::FinalStatus;
use rustc_hash::FxHashMap;

/// All that `stats` counts.
#[derive(Default)]
pub struct Totals {
    /// Commands by name.
    pub commands: FxHashMap<&'static str, u64>,
    /// Connections ever opened.
    pub connections: u64,
    /// Leases that expired.
    pub timeouts: u64,
    /// Jobs taken from producers. Each is counted under one of the next four, too, once it has finished.
    pub taken: u64,
    /// Jobs that finished as completed.
    pub completed: u64,
    /// Jobs that finished as deferred.
    pub deferred: u64,
    /// Jobs that finished as aborted.
    pub aborted: u64,
    /// Jobs that a client deleted before any worker held them.
    pub withdrawn: u64,
    /// Puts that were refused since the last line of counts in the log.
    pub refused: u64,
}

impl Totals {
    /// Counts a job that has finished.
    pub(super) fn count_finished(&mut self, status: FinalStatus) {
        match status {
            FinalStatus::Completed => self.completed += 1,
            FinalStatus::Deferred(_) => self.deferred += 1,
            FinalStatus::Aborted => self.aborted += 1,
        }
    }
}
