//! Server-wide counters reported by `stats`.

use crate::job::FinalStatus;
use rustc_hash::FxHashMap;

/// Counters since the program's start, except `refused`.
#[derive(Default)]
pub struct Totals {
    /// Commands by name.
    pub commands: FxHashMap<&'static str, u64>,
    /// Connections opened.
    pub connections: u64,
    /// Leases that expired.
    pub timeouts: u64,
    /// Jobs accepted from producers. Once finished, each is also counted in exactly one of the next four.
    pub accepted: u64,
    /// Jobs that finished as completed.
    pub completed: u64,
    /// Jobs that finished as deferred.
    pub deferred: u64,
    /// Jobs that finished as aborted.
    pub aborted: u64,
    /// Jobs deleted by a client while no worker held them.
    pub withdrawn: u64,
    /// Puts refused since the counts were last logged.
    pub refused: u64,
}

impl Totals {
    /// Counts a finished job by its final status.
    pub(super) fn count_finished(&mut self, status: FinalStatus) {
        match status {
            FinalStatus::Completed => self.completed += 1,
            FinalStatus::Deferred(_) => self.deferred += 1,
            FinalStatus::Aborted => self.aborted += 1,
        }
    }
}
