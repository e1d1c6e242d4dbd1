//! The batch jobs of one shard: the state machine that its replicated log drives.
//!
//! Entries are applied as soon as they are in the log, before they are committed; an entry that
//! never gets committed is undone by [`JobTable::truncate`]. The commit index tells
//! what may be shown to clients. Payloads and result texts are on disk only: the table knows their
//! entries and lengths.

mod apply;
mod job;
mod queued_tokens;
mod retention;
mod truncate;

pub use job::{BatchJob, JobItem, RecordedResult};
pub use retention::Reclaimable;

use crate::epoch_history::LogIndex;
use crate::messages::JobName;
use crate::quota::QuotaAccount;
use queued_tokens::QueuedTokens;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};

/// All jobs of a shard.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    by_name: FxHashMap<JobName, LogIndex>,
    jobs: BTreeMap<LogIndex, BatchJob>,
    /// The entries on disk.
    entries: BTreeMap<LogIndex, StoredEntry>,
    queued_tokens: QueuedTokens,
    /// Jobs with pending items.
    open_by_due_time: BTreeSet<(u64, LogIndex)>,
    /// Jobs that became done since the last sweep, whose payloads may still be on disk.
    strip_candidates: BTreeSet<LogIndex>,
    /// Entries of no job in the table: not needed once they are committed.
    unreferenced: BTreeSet<LogIndex>,
    disk_bytes: u64,
}

/// An entry on disk.
#[derive(Clone, Copy, Debug)]
struct StoredEntry {
    /// Bytes on disk.
    length: u64,
    kind: EntryKind,
}

/// What has to be undone if an entry is truncated.
#[derive(Clone, Copy, Debug)]
enum EntryKind {
    /// Starts an epoch, or had no effect on a job.
    Unreferenced,
    Accepted,
    Result {
        job: LogIndex,
    },
    Ended {
        job: LogIndex,
    },
    AttemptsFailed {
        job: LogIndex,
        item: u32,
        /// The count before.
        previous: u32,
    },
}

impl JobTable {
    /// Bytes of all entries on disk.
    pub fn bytes(&self) -> u64 {
        self.disk_bytes
    }

    /// Estimated bytes of the results that open jobs are still to get.
    pub fn expected_result_bytes(&self) -> u64 {
        self.open().map(BatchJob::expected_result_bytes).sum()
    }

    /// The job with this name.
    pub fn find(&self, name: &JobName) -> Option<&BatchJob> {
        self.jobs.get(self.by_name.get(name)?)
    }

    /// The job that the entry at this index accepted.
    pub fn get(&self, index: LogIndex) -> Option<&BatchJob> {
        self.jobs.get(&index)
    }

    /// Jobs with pending items, the one due first in front.
    pub fn open(&self) -> impl Iterator<Item = &BatchJob> {
        self.open_by_due_time
            .iter()
            .filter_map(|(_, index)| self.jobs.get(index))
    }

    /// All jobs, in the order of their acceptance.
    pub fn iter(&self) -> impl Iterator<Item = &BatchJob> {
        self.jobs.values()
    }

    /// Tokens of the pending items of an account.
    pub fn queued_tokens(&self, account: &QuotaAccount) -> u64 {
        self.queued_tokens.of(account)
    }

    /// Index and length in bytes of each entry on disk after `index`.
    pub fn entries_after(&self, index: LogIndex) -> impl Iterator<Item = (LogIndex, u64)> {
        self.entries
            .range(index + 1..)
            .map(|(index, stored)| (*index, stored.length))
    }

    /// Indexes of all jobs accepted up to `through`.
    pub fn job_indexes_through(&self, through: LogIndex) -> Vec<LogIndex> {
        self.jobs.range(..=through).map(|(job, _)| *job).collect()
    }

    /// Empties the table.
    pub fn clear(&mut self) {
        *self = JobTable::default();
    }

    /// Takes a job out of the table; its entries stay.
    fn forget(&mut self, index: LogIndex) {
        let Some(job) = self.jobs.remove(&index) else {
            return;
        };
        self.queued_tokens.subtract(&job, job.queued_tokens());
        self.open_by_due_time.remove(&job.due_order());
        self.strip_candidates.remove(&index);
        // Another job may have taken the name since.
        if self.by_name.get(&job.name) == Some(&index) {
            self.by_name.remove(&job.name);
        }
    }
}
