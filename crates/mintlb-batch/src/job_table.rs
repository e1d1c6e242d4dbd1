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
const DROP_AFTER: Duration = Duration::from_secs(10);
/// A lot that nobody finishes is dropped so long after its items could be given up and its results read.
const ABANDONED_AFTER: Duration = Duration::from_secs(120);
/// Bytes that an item's text is taken to have while none of its lot is there.
const USUAL_TEXT: u64 = 2 << 10;

/// All lots of a shard.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    by_name: FxHashMap<JobName, u64>,
    jobs: BTreeMap<u64, BatchJob>,
    /// Entries that lie on disk, by index.
    entries: BTreeMap<u64, Kept>,
    /// Tokens of each route that wait.
    waiting: FxHashMap<String, u64>,
    /// Lots with items that wait, the one due first in front.
    open: BTreeSet<(u64, u64)>,
    /// Lots that got finished or ended since the last sweep, whose payloads are still there.
    to_strip: BTreeSet<u64>,
    /// Entries of no lot that is there: they are not needed once they are committed.
    of_no_lot: BTreeSet<u64>,
    bytes: u64,
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
    pub items: Vec<Item>,
    /// What is listed, by position.
    pub listed: Vec<Listed>,
    /// The index of the entry that ended it.
    pub ended: Option<u64>,
    /// Its payloads lie on disk.
    pub has_payloads: bool,
    since: Timestamp,
}

/// An item of a lot.
#[derive(Clone, Debug)]
pub struct Item {
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
pub struct Listed {
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
struct Kept {
    length: u64,
    kind: Kind,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
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
pub struct Sweep {
    /// Entries whose payloads are no longer needed.
    pub strip: Vec<u64>,
    /// Entries that are no longer needed.
    pub remove: Vec<u64>,
}

impl BatchJob {
    /// How many results are committed.
    pub fn committed_results(&self, committed: u64) -> usize {
        self.listed
            .partition_point(|listed| listed.index <= committed)
    }

    /// Whether nothing of it waits any more.
    pub fn is_done(&self) -> bool {
        self.ended.is_some() || self.listed.len() == self.items.len()
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
    pub fn waiting_items(&self) -> impl Iterator<Item = (u32, &Item)> {
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

    fn waiting_tokens(&self) -> u64 {
        self.waiting_items().map(|(_, item)| item.tokens).sum()
    }

    fn texts_to_come(&self) -> u64 {
        let texts: u64 = self.listed.iter().map(|listed| listed.length).sum();
        let each = texts
            .checked_div(self.listed.len() as u64)
            .unwrap_or(USUAL_TEXT);
        each * (self.items.len() - self.listed.len()) as u64
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
    fn last_index(&self, own: u64) -> u64 {
        let last_result = self.listed.last().map_or(own, |listed| listed.index);
        last_result.max(self.ended.unwrap_or(0))
    }
}

impl JobTable {
    /// Bytes of all entries on disk.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Bytes that the texts of items that wait may take: as much as those of their lot that are there.
    pub fn texts_to_come(&self) -> u64 {
        self.open().map(|(_, job)| job.texts_to_come()).sum()
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
        self.open
            .iter()
            .filter_map(|(_, index)| self.jobs.get(index).map(|job| (*index, job)))
    }

    /// All lots by the index of their entries.
    pub fn all(&self) -> impl Iterator<Item = (u64, &BatchJob)> {
        self.jobs.iter().map(|(index, job)| (*index, job))
    }

    /// Tokens of a route that wait.
    pub fn waiting_tokens(&self, route: &str) -> u64 {
        self.waiting.get(route).copied().unwrap_or(0)
    }

    /// Entries on disk behind an index, with their bytes.
    pub fn entries_after(&self, index: u64) -> impl Iterator<Item = (u64, u64)> {
        self.entries
            .range(index + 1..)
            .map(|(index, kept)| (*index, kept.length))
    }

    /// Applies the entry at the end of the log. `length` is what it takes on disk, `raw` the part behind its
    /// head.
    pub fn apply(&mut self, index: u64, entry: &Entry, length: u64, raw: u64, now: Timestamp) {
        let kind = match entry {
            Entry::EpochStart => Kind::Other,
            Entry::Accepted(head) => self.apply_accepted(index, head, raw, now),
            Entry::Result { job, item, state } => {
                self.apply_result(index, *job, *item, *state, length)
            }
            Entry::Ended { job } => self.apply_ended(index, *job),
        };
        if matches!(kind, Kind::Other) {
            self.of_no_lot.insert(index);
        }
        self.bytes += length;
        self.entries.insert(index, Kept { length, kind });
    }

    fn apply_accepted(&mut self, index: u64, head: &JobHeader, raw: u64, now: Timestamp) -> Kind {
        let name = JobName {
            host: head.host.clone(),
            id: head.id.clone(),
        };
        let items: Vec<Item> = head
            .items
            .iter()
            .map(|item| Item {
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
            listed: Vec::new(),
            ended: None,
            has_payloads: raw == payload_bytes,
            since: now,
        };
        *self.waiting.entry(job.route.clone()).or_default() += job.waiting_tokens();
        if !job.is_done() {
            self.open.insert((job.due_at_ms(), index));
        }
        self.by_name.insert(name, index);
        self.jobs.insert(index, job);
        Kind::Accepted
    }

    fn apply_result(
        &mut self,
        index: u64,
        number: u64,
        item: u32,
        state: ItemState,
        length: u64,
    ) -> Kind {
        let Some(job) = self.jobs.get_mut(&number) else {
            return Kind::Other;
        };
        let position = job.listed.len() as u32;
        let ended = job.ended.is_some();
        let due = job.due_at_ms();
        let Some(place) = job
            .items
            .get_mut(item as usize)
            .filter(|item| item.position.is_none())
        else {
            return Kind::Other;
        };
        place.position = Some(position);
        let tokens = if ended { 0 } else { place.tokens };
        job.listed.push(Listed {
            index,
            item,
            state,
            length,
        });
        if job.is_done() {
            self.open.remove(&(due, number));
            self.to_strip.insert(number);
        }
        Self::take(&mut self.waiting, &job.route, tokens);
        Kind::Result { job: number }
    }

    fn apply_ended(&mut self, index: u64, number: u64) -> Kind {
        let Some(job) = self.jobs.get_mut(&number).filter(|job| job.ended.is_none()) else {
            return Kind::Other;
        };
        let tokens = job.waiting_tokens();
        job.ended = Some(index);
        self.open.remove(&(job.due_at_ms(), number));
        self.to_strip.insert(number);
        Self::take(&mut self.waiting, &job.route, tokens);
        Kind::Ended { job: number }
    }

    fn take(waiting: &mut FxHashMap<String, u64>, route: &str, tokens: u64) {
        let Some(sum) = waiting.get_mut(route) else {
            return;
        };
        *sum = sum.saturating_sub(tokens);
        if *sum == 0 {
            waiting.remove(route);
        }
    }

    /// Undoes all entries behind `last`.
    pub fn truncate(&mut self, last: u64) {
        while let Some(entry) = self
            .entries
            .last_entry()
            .filter(|entry| *entry.key() > last)
        {
            let (index, kept) = entry.remove_entry();
            self.bytes -= kept.length;
            match kept.kind {
                Kind::Other => _ = self.of_no_lot.remove(&index),
                Kind::Accepted => self.forget(index),
                Kind::Result { job } => self.undo_result(job),
                Kind::Ended { job } => self.undo_ended(job),
            }
        }
    }

    fn undo_result(&mut self, number: u64) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let Some(listed) = job.listed.pop() else {
            return;
        };
        let item = &mut job.items[listed.item as usize];
        item.position = None;
        if job.ended.is_none() {
            *self.waiting.entry(job.route.clone()).or_default() += item.tokens;
            self.open.insert((job.due_at_ms(), number));
            self.to_strip.remove(&number);
        }
    }

    fn undo_ended(&mut self, number: u64) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.ended = None;
        if !job.is_done() {
            *self.waiting.entry(job.route.clone()).or_default() += job.waiting_tokens();
            self.open.insert((job.due_at_ms(), number));
            self.to_strip.remove(&number);
        }
    }

    fn forget(&mut self, number: u64) {
        let Some(job) = self.jobs.remove(&number) else {
            return;
        };
        Self::take(&mut self.waiting, &job.route, job.waiting_tokens());
        self.open.remove(&(job.due_at_ms(), number));
        self.to_strip.remove(&number);
        if self.by_name.get(&job.name) == Some(&number) {
            self.by_name.remove(&job.name);
        }
    }

    /// What can go from the disk: payloads of lots that are done, lots that need not be readable any more.
    /// `status` is how long a lot has to be readable. Goes by the time since the lot was applied in this
    /// process, so that neither a step of the clock nor a restart makes anything go early.
    pub fn sweep(&mut self, committed: u64, status: Duration, now: Timestamp) -> Sweep {
        let mut sweep = Sweep::default();
        self.strip_done(committed, &mut sweep);
        let expired: Vec<u64> = self
            .jobs
            .iter()
            .filter(|(index, job)| job.last_index(**index) <= committed)
            .filter(|(_, job)| {
                let keep = match job.is_done() {
                    true => status + DROP_AFTER,
                    false => {
                        status + ABANDONED_AFTER + Duration::from_millis(job.terms.retention_ms)
                    }
                };
                now.saturating_sub(job.since) > keep
            })
            .map(|(index, _)| *index)
            .collect();
        expired
            .into_iter()
            .for_each(|number| self.drop_lot(number, &mut sweep.remove));
        let behind = self.of_no_lot.split_off(&(committed + 1));
        sweep
            .remove
            .extend(std::mem::replace(&mut self.of_no_lot, behind));
        self.remove_entries(&mut sweep.remove);
        sweep
    }

    /// Drops the lots up to an index that are not among these; returns the entries to be removed.
    pub fn drop_all_but(&mut self, numbers: &[u64], through: u64) -> Vec<u64> {
        let kept: BTreeSet<u64> = numbers.iter().copied().collect();
        let gone: Vec<u64> = self
            .jobs
            .range(..=through)
            .map(|(number, _)| *number)
            .filter(|n| !kept.contains(n))
            .collect();
        let mut remove = Vec::new();
        gone.into_iter()
            .for_each(|number| self.drop_lot(number, &mut remove));
        self.remove_entries(&mut remove);
        remove
    }

    /// All lots up to an index, by the index of their entries.
    pub fn numbers_through(&self, through: u64) -> Vec<u64> {
        self.jobs
            .range(..=through)
            .map(|(number, _)| *number)
            .collect()
    }

    /// Drops a lot; adds its entries to `remove`.
    fn drop_lot(&mut self, number: u64, remove: &mut Vec<u64>) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        remove.extend(
            job.listed
                .iter()
                .map(|listed| listed.index)
                .chain(job.ended)
                .chain([number]),
        );
        self.forget(number);
    }

    fn remove_entries(&mut self, indexes: &mut [u64]) {
        for index in indexes.iter() {
            let kept = self.entries.remove(index);
            self.bytes -= kept.map_or(0, |kept| kept.length);
        }
        indexes.sort_unstable();
    }

    fn strip_done(&mut self, committed: u64, sweep: &mut Sweep) {
        let settled: Vec<u64> = self
            .to_strip
            .iter()
            .copied()
            .filter(|number| {
                self.jobs
                    .get(number)
                    .is_none_or(|job| job.last_index(*number) <= committed)
            })
            .collect();
        for number in settled {
            self.to_strip.remove(&number);
            let Some(job) = self.jobs.get_mut(&number).filter(|job| job.has_payloads) else {
                continue;
            };
            job.has_payloads = false;
            let payload_bytes = job.payload_bytes();
            if let Some(kept) = self.entries.get_mut(&number) {
                kept.length -= payload_bytes;
                self.bytes -= payload_bytes;
            }
            sweep.strip.push(number);
        }
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        *self = JobTable::default();
    }
}
