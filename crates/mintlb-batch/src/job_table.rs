//! The lots of one shard, built by applying the entries of its log in order. Entries are applied as soon as
//! they are in the log; what is committed is told apart by its index, so that entries that never get
//! committed can be undone. Payloads and texts lie on disk only.

use crate::entry::{Entry, ItemState, JobHeader, JobTerms};
use crate::messages::JobName;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The process's steady clock.
pub type Timestamp = Duration;

/// A finished lot is dropped so long after the time for which it has to be readable.
const FINISHED_JOB_GRACE: Duration = Duration::from_secs(10);
/// A lot that nobody finishes is dropped so long after its items could be given up and its results read.
const ABANDONED_JOB_GRACE: Duration = Duration::from_secs(120);
/// Bytes that an item's text is taken to have while none of its lot is there.
const DEFAULT_RESULT_BYTES: u64 = 2 << 10;

/// All lots of a shard.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    by_name: FxHashMap<JobName, u64>,
    jobs: BTreeMap<u64, BatchJob>,
    /// Entries that lie on disk, by index.
    entries: BTreeMap<u64, StoredEntry>,
    /// Tokens of each route that wait.
    queued_tokens_by_route: FxHashMap<String, u64>,
    /// Lots with items that wait, the one due first in front.
    open_by_due_time: BTreeSet<(u64, u64)>,
    /// Lots that got finished or ended since the last sweep, whose payloads are still there.
    strip_candidates: BTreeSet<u64>,
    /// Entries of no lot that is there: they are not needed once they are committed.
    unreferenced: BTreeSet<u64>,
    disk_bytes: u64,
}

/// A lot.
#[derive(Clone, Debug)]
pub struct BatchJob {
    /// Its host and id.
    pub name: JobName,
    /// The name of its route.
    pub route: String,
    /// Its times and limits.
    pub terms: JobTerms,
    /// Its items.
    pub items: Vec<JobItem>,
    /// What is listed, by position.
    pub results: Vec<RecordedResult>,
    /// The index of the entry that ended it.
    pub ended: Option<u64>,
    /// Its payloads lie on disk.
    pub has_payloads: bool,
    applied_at: Timestamp,
}

/// An item of a lot.
#[derive(Clone, Debug)]
pub struct JobItem {
    /// Its `instance_id`.
    pub id: Box<str>,
    /// Its tokens.
    pub tokens: u64,
    /// Bytes of its payload.
    pub length: u64,
    /// Its position among the results.
    pub position: Option<u32>,
}

/// A listed item.
#[derive(Clone, Copy, Debug)]
pub struct RecordedResult {
    /// The index of the result's entry.
    pub index: u64,
    /// The item's place in the lot.
    pub item: u32,
    /// How it came out.
    pub state: ItemState,
    /// Bytes of its entry.
    pub length: u64,
}

#[derive(Clone, Copy, Debug)]
struct StoredEntry {
    length: u64,
    kind: EntryKind,
}

#[derive(Clone, Copy, Debug)]
enum EntryKind {
    /// Begins an epoch, or belongs to a lot that is no longer there.
    Other,
    Accepted,
    Result {
        job: u64,
    },
    Ended {
        job: u64,
    },
}

/// What can go from the disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reclaimable {
    /// Entries whose payloads are no longer needed.
    pub strip: Vec<u64>,
    /// Entries that are no longer needed.
    pub remove: Vec<u64>,
}

impl BatchJob {
    /// How many results are committed.
    pub fn committed_results(&self, commit_index: u64) -> usize {
        self.results
            .partition_point(|results| results.index <= commit_index)
    }

    /// Whether nothing of it waits any more.
    pub fn is_done(&self) -> bool {
        self.ended.is_some() || self.results.len() == self.items.len()
    }

    /// The place of an item.
    pub fn item(&self, id: &str) -> Option<usize> {
        self.items.iter().position(|item| &*item.id == id)
    }

    /// Where an item's payload lies within the payloads of the lot.
    pub fn payload_range(&self, item: usize) -> std::ops::Range<usize> {
        let start: u64 = self.items[..item].iter().map(|item| item.length).sum();
        start as usize..(start + self.items[item].length) as usize
    }

    /// Items that are not listed, unless it is ended.
    pub fn pending_items(&self) -> impl Iterator<Item = (u32, &JobItem)> {
        let items = if self.ended.is_some() {
            &[][..]
        } else {
            &self.items[..]
        };
        items
            .iter()
            .enumerate()
            .filter(|(_, item)| item.position.is_none())
            .map(|(i, item)| (i as u32, item))
    }

    fn queued_tokens(&self) -> u64 {
        self.pending_items().map(|(_, item)| item.tokens).sum()
    }

    fn expected_result_bytes(&self) -> u64 {
        let texts: u64 = self.results.iter().map(|results| results.length).sum();
        let each = texts
            .checked_div(self.results.len() as u64)
            .unwrap_or(DEFAULT_RESULT_BYTES);
        each * (self.items.len() - self.results.len()) as u64
    }

    /// When it is due, Unix time in ms.
    pub fn due_at_ms(&self) -> u64 {
        self.terms
            .sent_at_ms
            .saturating_add(self.terms.completion_target_ms)
    }

    fn payload_bytes(&self) -> u64 {
        self.items.iter().map(|item| item.length).sum()
    }

    /// The index of its last entry: it is settled once that is committed.
    fn last_index(&self, store_id: u64) -> u64 {
        let last_result = self
            .results
            .last()
            .map_or(store_id, |results| results.index);
        last_result.max(self.ended.unwrap_or(0))
    }
}

impl JobTable {
    /// Bytes of all entries on disk.
    pub fn bytes(&self) -> u64 {
        self.disk_bytes
    }

    /// Bytes that the texts of items that wait may take: as much as those of their lot that are there.
    pub fn expected_result_bytes(&self) -> u64 {
        self.open()
            .map(|(_, job)| job.expected_result_bytes())
            .sum()
    }

    /// A lot by its name, with the index of its entry.
    pub fn find(&self, name: &JobName) -> Option<(u64, &BatchJob)> {
        let index = *self.by_name.get(name)?;
        self.jobs.get(&index).map(|job| (index, job))
    }

    /// A lot by the index of its entry.
    pub fn get(&self, index: u64) -> Option<&BatchJob> {
        self.jobs.get(&index)
    }

    /// Lots with items that wait, the one due first in front.
    pub fn open(&self) -> impl Iterator<Item = (u64, &BatchJob)> {
        self.open_by_due_time
            .iter()
            .filter_map(|(_, index)| self.jobs.get(index).map(|job| (*index, job)))
    }

    /// All lots by the index of their entries.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &BatchJob)> {
        self.jobs.iter().map(|(index, job)| (*index, job))
    }

    /// Tokens of a route that wait.
    pub fn queued_tokens(&self, route: &str) -> u64 {
        self.queued_tokens_by_route.get(route).copied().unwrap_or(0)
    }

    /// Entries on disk behind an index, with their bytes.
    pub fn entries_after(&self, index: u64) -> impl Iterator<Item = (u64, u64)> {
        self.entries
            .range(index + 1..)
            .map(|(index, stored)| (*index, stored.length))
    }

    /// Applies the entry at the end of the log. `length` is what it takes on disk, `raw` the part behind its
    /// head.
    pub fn apply(&mut self, index: u64, entry: &Entry, length: u64, raw: u64, now: Timestamp) {
        let kind = match entry {
            Entry::EpochStart => EntryKind::Other,
            Entry::Accepted(head) => self.apply_accepted(index, head, raw, now),
            Entry::Result { job, item, state } => {
                self.apply_result(index, *job, *item, *state, length)
            }
            Entry::Ended { job } => self.apply_ended(index, *job),
        };
        if matches!(kind, EntryKind::Other) {
            self.unreferenced.insert(index);
        }
        self.disk_bytes += length;
        self.entries.insert(index, StoredEntry { length, kind });
    }

    fn apply_accepted(
        &mut self,
        index: u64,
        head: &JobHeader,
        raw: u64,
        now: Timestamp,
    ) -> EntryKind {
        let name = JobName {
            host: head.host.clone(),
            id: head.id.clone(),
        };
        let items: Vec<JobItem> = head
            .items
            .iter()
            .map(|item| JobItem {
                id: item.id.as_str().into(),
                tokens: item.tokens,
                length: item.length,
                position: None,
            })
            .collect();
        let payload_bytes: u64 = items.iter().map(|item| item.length).sum();
        let job = BatchJob {
            name: name.clone(),
            route: head.route.clone(),
            terms: head.terms,
            items,
            results: Vec::new(),
            ended: None,
            has_payloads: raw == payload_bytes,
            applied_at: now,
        };
        *self
            .queued_tokens_by_route
            .entry(job.route.clone())
            .or_default() += job.queued_tokens();
        if !job.is_done() {
            self.open_by_due_time.insert((job.due_at_ms(), index));
        }
        self.by_name.insert(name, index);
        self.jobs.insert(index, job);
        EntryKind::Accepted
    }

    fn apply_result(
        &mut self,
        index: u64,
        job_index: u64,
        item: u32,
        state: ItemState,
        length: u64,
    ) -> EntryKind {
        let Some(job) = self.jobs.get_mut(&job_index) else {
            return EntryKind::Other;
        };
        let position = job.results.len() as u32;
        let ended = job.ended.is_some();
        let due = job.due_at_ms();
        let Some(job_item) = job
            .items
            .get_mut(item as usize)
            .filter(|item| item.position.is_none())
        else {
            return EntryKind::Other;
        };
        job_item.position = Some(position);
        let tokens = if ended { 0 } else { job_item.tokens };
        job.results.push(RecordedResult {
            index,
            item,
            state,
            length,
        });
        if job.is_done() {
            self.open_by_due_time.remove(&(due, job_index));
            self.strip_candidates.insert(job_index);
        }
        Self::subtract_queued(&mut self.queued_tokens_by_route, &job.route, tokens);
        EntryKind::Result { job: job_index }
    }

    fn apply_ended(&mut self, index: u64, job_index: u64) -> EntryKind {
        let Some(job) = self
            .jobs
            .get_mut(&job_index)
            .filter(|job| job.ended.is_none())
        else {
            return EntryKind::Other;
        };
        let tokens = job.queued_tokens();
        job.ended = Some(index);
        self.open_by_due_time.remove(&(job.due_at_ms(), job_index));
        self.strip_candidates.insert(job_index);
        Self::subtract_queued(&mut self.queued_tokens_by_route, &job.route, tokens);
        EntryKind::Ended { job: job_index }
    }

    fn subtract_queued(
        queued_tokens_by_route: &mut FxHashMap<String, u64>,
        route: &str,
        tokens: u64,
    ) {
        let Some(sum) = queued_tokens_by_route.get_mut(route) else {
            return;
        };
        *sum = sum.saturating_sub(tokens);
        if *sum == 0 {
            queued_tokens_by_route.remove(route);
        }
    }

    /// Undoes all entries behind `last`.
    pub fn truncate(&mut self, last: u64) {
        while let Some(entry) = self
            .entries
            .last_entry()
            .filter(|entry| *entry.key() > last)
        {
            let (index, stored) = entry.remove_entry();
            self.disk_bytes -= stored.length;
            match stored.kind {
                EntryKind::Other => _ = self.unreferenced.remove(&index),
                EntryKind::Accepted => self.forget(index),
                EntryKind::Result { job } => self.undo_result(job),
                EntryKind::Ended { job } => self.undo_ended(job),
            }
        }
    }

    fn undo_result(&mut self, job_index: u64) {
        let Some(job) = self.jobs.get_mut(&job_index) else {
            return;
        };
        let Some(results) = job.results.pop() else {
            return;
        };
        let item = &mut job.items[results.item as usize];
        item.position = None;
        if job.ended.is_none() {
            *self
                .queued_tokens_by_route
                .entry(job.route.clone())
                .or_default() += item.tokens;
            self.open_by_due_time.insert((job.due_at_ms(), job_index));
            self.strip_candidates.remove(&job_index);
        }
    }

    fn undo_ended(&mut self, job_index: u64) {
        let Some(job) = self.jobs.get_mut(&job_index) else {
            return;
        };
        job.ended = None;
        if !job.is_done() {
            *self
                .queued_tokens_by_route
                .entry(job.route.clone())
                .or_default() += job.queued_tokens();
            self.open_by_due_time.insert((job.due_at_ms(), job_index));
            self.strip_candidates.remove(&job_index);
        }
    }

    fn forget(&mut self, job_index: u64) {
        let Some(job) = self.jobs.remove(&job_index) else {
            return;
        };
        Self::subtract_queued(
            &mut self.queued_tokens_by_route,
            &job.route,
            job.queued_tokens(),
        );
        self.open_by_due_time.remove(&(job.due_at_ms(), job_index));
        self.strip_candidates.remove(&job_index);
        if self.by_name.get(&job.name) == Some(&job_index) {
            self.by_name.remove(&job.name);
        }
    }

    /// What can go from the disk: payloads of lots that are done, lots that need not be readable any more.
    /// `result_retention` is how long a lot has to be readable. Goes by the time since the lot was applied in this
    /// process, so that neither a step of the clock nor a restart makes anything go early.
    pub fn sweep(
        &mut self,
        commit_index: u64,
        result_retention: Duration,
        now: Timestamp,
    ) -> Reclaimable {
        let mut sweep = Reclaimable::default();
        self.strip_done(commit_index, &mut sweep);
        let expired: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(index, job)| job.last_index(**index) <= commit_index)
            .filter(|(_, job)| {
                let retention = match job.is_done() {
                    true => result_retention + FINISHED_JOB_GRACE,
                    false => {
                        result_retention
                            + ABANDONED_JOB_GRACE
                            + Duration::from_millis(job.terms.retention_ms)
                    }
                };
                now.saturating_sub(job.applied_at) > retention
            })
            .map(|(index, _)| *index)
            .collect();
        expired
            .into_iter()
            .for_each(|job_index| self.drop_job(job_index, &mut sweep.remove));
        let behind = self.unreferenced.split_off(&(commit_index + 1));
        sweep
            .remove
            .extend(std::mem::replace(&mut self.unreferenced, behind));
        self.remove_entries(&mut sweep.remove);
        sweep
    }

    /// Drops the lots up to an index that are not among these; returns the entries to be removed.
    pub fn drop_jobs_except(&mut self, numbers: &[u64], through: u64) -> Vec<u64> {
        let stored: BTreeSet<u64> = numbers.iter().copied().collect();
        let dropped: Vec<u64> = self
            .jobs
            .range(..=through)
            .map(|(job_index, _)| *job_index)
            .filter(|n| !stored.contains(n))
            .collect();
        let mut remove = Vec::new();
        dropped
            .into_iter()
            .for_each(|job_index| self.drop_job(job_index, &mut remove));
        self.remove_entries(&mut remove);
        remove
    }

    /// All lots up to an index, by the index of their entries.
    pub fn job_indexes_through(&self, through: u64) -> Vec<u64> {
        self.jobs
            .range(..=through)
            .map(|(job_index, _)| *job_index)
            .collect()
    }

    /// Drops a lot; adds its entries to `remove`.
    fn drop_job(&mut self, job_index: u64, remove: &mut Vec<u64>) {
        let Some(job) = self.jobs.get(&job_index) else {
            return;
        };
        remove.extend(
            job.results
                .iter()
                .map(|results| results.index)
                .chain(job.ended)
                .chain([job_index]),
        );
        self.forget(job_index);
    }

    fn remove_entries(&mut self, indexes: &mut [u64]) {
        for index in indexes.iter() {
            let stored = self.entries.remove(index);
            self.disk_bytes -= stored.map_or(0, |stored| stored.length);
        }
        indexes.sort_unstable();
    }

    fn strip_done(&mut self, commit_index: u64, sweep: &mut Reclaimable) {
        let finished: Vec<u64> = self
            .strip_candidates
            .iter()
            .copied()
            .filter(|job_index| {
                self.jobs
                    .get(job_index)
                    .is_none_or(|job| job.last_index(*job_index) <= commit_index)
            })
            .collect();
        for job_index in finished {
            self.strip_candidates.remove(&job_index);
            let Some(job) = self.jobs.get_mut(&job_index).filter(|job| job.has_payloads) else {
                continue;
            };
            job.has_payloads = false;
            let payload_bytes = job.payload_bytes();
            if let Some(stored) = self.entries.get_mut(&job_index) {
                stored.length -= payload_bytes;
                self.disk_bytes -= payload_bytes;
            }
            sweep.strip.push(job_index);
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        *self = JobTable::default();
    }
}
