//! Queue of the items leased by this dispatcher, ordered by due time. Without I/O.

use mintlb_batch::client::{LeasedItem, LeasedJob};
use mintlb_batch::messages::ItemFailures;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Maximum number of ended jobs that are remembered, as a lease response in flight may still contain their items.
const MAX_ENDED_JOBS: usize = 4096;

/// Number of a leased item at this dispatcher.
pub type ItemNumber = u64;

/// A batch job's host and id.
pub type JobKey = (String, String);

/// Leased items, of which the earliest due is run first.
#[derive(Default)]
pub struct ItemQueue {
    waiting: BTreeMap<(u64, ItemNumber), LeasedItem>,
    leased: HashMap<JobKey, HashSet<u32>>,
    running: HashMap<ItemNumber, (JobKey, u32)>,
    /// The running items whose result is being recorded.
    recording: HashSet<ItemNumber>,
    /// Failed attempts of the running items, by job and index.
    failures: HashMap<JobKey, BTreeMap<u32, u32>>,
    /// The jobs that ended last, as a set and in the order of their end.
    ended: HashSet<JobKey>,
    ended_order: VecDeque<JobKey>,
    next_number: ItemNumber,
}

impl ItemQueue {
    /// Adds a leased item, unless this dispatcher already has it or its job has ended.
    pub fn add(&mut self, item: LeasedItem) {
        let key = (item.host.clone(), item.job_id.clone());
        if self.ended.contains(&key) || !self.leased.entry(key).or_default().insert(item.index) {
            return;
        }
        let due = item
            .terms
            .sent_at_ms
            .saturating_add(item.terms.completion_target_ms);
        self.waiting.insert((due, self.next_number), item);
        self.next_number += 1;
    }

    /// Takes the next item to run, if fewer than `limit` are running.
    pub fn start(&mut self, limit: usize) -> Option<(ItemNumber, LeasedItem)> {
        if self.running.len() >= limit {
            return None;
        }
        let ((_, number), item) = self.waiting.pop_first()?;
        self.running.insert(
            number,
            ((item.host.clone(), item.job_id.clone()), item.index),
        );
        Some((number, item))
    }

    /// Removes an item that no longer runs, and its lease.
    pub fn finish(&mut self, number: ItemNumber) {
        self.recording.remove(&number);
        if let Some((key, index)) = self.running.remove(&number) {
            self.remove_lease(&key, index);
        }
    }

    /// Marks that the result of a running item is being recorded.
    pub fn begin_recording(&mut self, number: ItemNumber) {
        if self.running.contains_key(&number) {
            self.recording.insert(number);
        }
    }

    /// Whether results are being recorded.
    pub fn is_recording(&self) -> bool {
        !self.recording.is_empty()
    }

    /// Drops all items except those whose results are being recorded. Returns the dropped items by job, whose leases are to
    /// be released, and the numbers of the running ones among them.
    pub fn drain(&mut self) -> (Vec<LeasedJob>, Vec<ItemNumber>) {
        self.waiting.clear();
        let recorded: HashSet<(JobKey, u32)> = self
            .recording
            .iter()
            .filter_map(|number| self.running.get(number).cloned())
            .collect();
        let mut dropped = Vec::new();
        self.leased.retain(|key, items| {
            let is_recorded = |index: &u32| recorded.contains(&(key.clone(), *index));
            let released = items.extract_if(|index| !is_recorded(index)).collect();
            dropped.push(leased_job(key.clone(), released));
            !items.is_empty()
        });
        dropped.retain(|job| !job.items.is_empty());
        let recording = &self.recording;
        let stopped = self
            .running
            .keys()
            .filter(|number| !recording.contains(number));
        (dropped, stopped.copied().collect())
    }

    /// Records the number of failed attempts of a running item at all dispatchers. Returns the lease renewal that reports
    /// it.
    pub fn record_failures(&mut self, number: ItemNumber, count: u32) -> Option<LeasedJob> {
        let (key, index) = self.running.get(&number).filter(|_| count > 0)?;
        self.failures
            .entry(key.clone())
            .or_default()
            .insert(*index, count);
        let (host, job_id) = key.clone();
        Some(LeasedJob {
            host,
            job_id,
            items: vec![*index],
            failures: vec![ItemFailures {
                item: *index,
                attempts: count,
            }],
        })
    }

    /// Whether a running item is still leased: its job has not ended and its lease was not lost.
    pub fn is_leased(&self, number: ItemNumber) -> bool {
        let running = self.running.get(&number);
        running.is_some_and(|(key, index)| {
            self.leased
                .get(key)
                .is_some_and(|items| items.contains(index))
        })
    }

    /// Drops these items of a job, or all if `items` is `None`. Returns the numbers of those that are running.
    pub fn drop_items(&mut self, key: &JobKey, items: Option<&[u32]>) -> Vec<ItemNumber> {
        let is_selected = |index: u32| items.is_none_or(|items| items.contains(&index));
        self.waiting.retain(|_, item| {
            !((&item.host, &item.job_id) == (&key.0, &key.1) && is_selected(item.index))
        });
        if let Some(leased) = self.leased.get_mut(key) {
            leased.retain(|index| !is_selected(*index));
            if leased.is_empty() {
                self.leased.remove(key);
            }
        }
        let running = self
            .running
            .iter()
            .filter(|(_, (of, index))| of == key && is_selected(*index));
        running.map(|(number, _)| *number).collect()
    }

    /// Drops all items of an ended job, and ignores those that are added later. Returns the numbers of those that are
    /// running.
    pub fn end_job(&mut self, key: JobKey) -> Vec<ItemNumber> {
        let stopped = self.drop_items(&key, None);
        if self.ended.insert(key.clone()) {
            self.ended_order.push_back(key);
        }
        if self.ended_order.len() > MAX_ENDED_JOBS
            && let Some(oldest) = self.ended_order.pop_front()
        {
            self.ended.remove(&oldest);
        }
        stopped
    }

    /// All leased items with their failed attempts, for the renewal of their leases.
    pub fn leased(&self) -> Vec<LeasedJob> {
        let job = |(key, items): (&JobKey, &HashSet<u32>)| {
            let (host, job_id) = key.clone();
            let failures = self.failures.get(key).into_iter().flatten();
            let failures = failures.map(|(item, attempts)| ItemFailures {
                item: *item,
                attempts: *attempts,
            });
            LeasedJob {
                host,
                job_id,
                items: items.iter().copied().collect(),
                failures: failures.collect(),
            }
        };
        self.leased.iter().map(job).collect()
    }

    /// Removes the items that are due last until `limit` are queued. Returns them by job, for the release of their leases.
    pub fn take_excess(&mut self, limit: usize) -> Vec<LeasedJob> {
        let mut excess: BTreeMap<JobKey, Vec<u32>> = BTreeMap::new();
        while self.waiting.len() > limit {
            let Some((_, item)) = self.waiting.pop_last() else {
                break;
            };
            let key = (item.host, item.job_id);
            self.remove_lease(&key, item.index);
            excess.entry(key).or_default().push(item.index);
        }
        excess
            .into_iter()
            .map(|(key, items)| leased_job(key, items))
            .collect()
    }

    /// Number of queued items.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of running items.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn remove_lease(&mut self, key: &JobKey, index: u32) {
        if let Some(failures) = self.failures.get_mut(key) {
            failures.remove(&index);
            if failures.is_empty() {
                self.failures.remove(key);
            }
        }
        if let Some(items) = self.leased.get_mut(key) {
            items.remove(&index);
            if items.is_empty() {
                self.leased.remove(key);
            }
        }
    }
}

/// Items of a job, without counts of failed attempts.
fn leased_job((host, job_id): JobKey, items: Vec<u32>) -> LeasedJob {
    LeasedJob {
        host,
        job_id,
        items,
        failures: Vec::new(),
    }
}
