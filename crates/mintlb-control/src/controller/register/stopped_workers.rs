//! The workers that have announced their drain or end, as a replica keeps them on its disk: an
//! acknowledged announcement must outlast a power loss of all processes. Pure.
//!
//! A worker's next start has a new id, so that an entry is of no use once the worker is gone. Entries
//! are published again only for [`RETENTION`], and the oldest ones are evicted beyond
//! [`MAX_STOPPED_WORKERS`].

use minicbor::{Decode, Encode};
use mintlb_common::record::{WorkerRecord, WorkerState};
use rustc_hash::FxHashMap;
use std::time::Duration;

/// Entries that a replica keeps.
pub const MAX_STOPPED_WORKERS: usize = 4096;
/// Entries that are evicted at once when there are too many.
const EVICTED_AT_ONCE: usize = MAX_STOPPED_WORKERS / 4;
/// The time for which an entry is published after a restart of the process.
pub const RETENTION: Duration = Duration::from_secs(600);

/// A worker that has announced its drain or end.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct StoppedWorker {
    /// Its record.
    #[n(0)]
    pub record: WorkerRecord,
    /// Unix time in ms at which the replica stored it.
    #[n(1)]
    pub stored_at_ms: u64,
}

impl StoppedWorker {
    /// Whether it is to be published after a restart. One with a time in the future is: the clock
    /// was set back.
    pub fn is_retained(&self, now_ms: u64) -> bool {
        let age_ms = now_ms.saturating_sub(self.stored_at_ms);
        Duration::from_millis(age_ms) < RETENTION
    }
}

/// Whether the worker itself has announced that it accepts no more requests.
pub fn is_announced_stop(record: &WorkerRecord) -> bool {
    matches!(
        record.state,
        WorkerState::Draining | WorkerState::Deregistered
    )
}

/// What an insertion changes on disk.
#[derive(Clone, Debug, PartialEq)]
pub struct StoppedWorkerChange {
    /// The entry to write.
    pub stored: StoppedWorker,
    /// The instance ids of the entries to remove.
    pub evicted: Vec<String>,
}

/// The entries of one replica, by instance id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoppedWorkers {
    workers: FxHashMap<String, StoppedWorker>,
}

impl StoppedWorkers {
    /// The entries.
    pub fn iter(&self) -> impl Iterator<Item = &StoppedWorker> {
        self.workers.values()
    }

    /// Inserts a worker, unless this version of its record or a newer one is known. Returns what
    /// changes on disk.
    pub fn insert(&mut self, stored: StoppedWorker) -> Option<StoppedWorkerChange> {
        let id = &stored.record.instance_id;
        let known = self.workers.get(id);
        if known.is_some_and(|known| known.record.version() >= stored.record.version()) {
            return None;
        }
        let evicted = match known.is_none() && self.workers.len() >= MAX_STOPPED_WORKERS {
            true => self.evict(),
            false => Vec::new(),
        };
        self.workers.insert(id.clone(), stored.clone());
        Some(StoppedWorkerChange { stored, evicted })
    }

    /// Removes the oldest entries and returns their ids.
    fn evict(&mut self) -> Vec<String> {
        let mut by_age: Vec<(u64, String)> = self
            .workers
            .iter()
            .map(|(id, worker)| (worker.stored_at_ms, id.clone()))
            .collect();
        by_age.sort_unstable();
        by_age.truncate(EVICTED_AT_ONCE);
        by_age
            .into_iter()
            .map(|(_, id)| {
                self.workers.remove(&id);
                id
            })
            .collect()
    }
}

impl FromIterator<StoppedWorker> for StoppedWorkers {
    fn from_iter<I: IntoIterator<Item = StoppedWorker>>(entries: I) -> StoppedWorkers {
        let by_id = |worker: StoppedWorker| (worker.record.instance_id.clone(), worker);
        StoppedWorkers {
            workers: entries.into_iter().map(by_id).collect(),
        }
    }
}
