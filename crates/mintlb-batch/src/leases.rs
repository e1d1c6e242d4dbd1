//! Which dispatcher runs which item.
//!
//! Leases are kept in the primary's memory only and are not replicated. A new primary, or one whose
//! process was suspended, grants none before all leases that may be in force have expired or were
//! renewed with it, so that an item is not run by two dispatchers at a time (Gray and Cheriton
//! 1989).

mod job_leases;

use crate::epoch_history::LogIndex;
use crate::job_table::{BatchJob, JobTable};
use crate::messages::DispatcherId;
use crate::timestamp::Timestamp;
use job_leases::JobLeases;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// A lease that was not renewed for this long has expired.
pub const LEASE_DURATION: Duration = Duration::from_millis(3000);

/// An item of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemRef {
    /// Index of the entry that accepted the job.
    pub job: LogIndex,
    /// Offset of the item within the job.
    pub item: u32,
}

/// The leases of a shard's items.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    /// No item counts as free before this time: owners may still renew what an earlier primary
    /// granted.
    grants_paused_until: Timestamp,
    jobs: FxHashMap<LogIndex, JobLeases>,
}

impl Leases {
    /// Forgets all leases, and grants none until owners had time to renew theirs.
    pub fn restart(&mut self, now: Timestamp) {
        self.jobs.clear();
        self.pause(now);
    }

    /// Grants no leases until owners had time to renew theirs.
    pub fn pause(&mut self, now: Timestamp) {
        self.grants_paused_until = now + LEASE_DURATION;
    }

    /// Leases one item.
    pub fn grant(&mut self, item: ItemRef, owner: DispatcherId, now: Timestamp) {
        let job = self.jobs.entry(item.job).or_default();
        job.item_mut(item.item).grant(owner, now);
    }

    /// Leases all items of a new job.
    pub fn grant_all(&mut self, job: LogIndex, items: usize, owner: DispatcherId, now: Timestamp) {
        self.jobs.insert(job, JobLeases::all(items, owner, now));
    }

    /// Whether this dispatcher owns all items of a job.
    pub fn owns_all(&self, job: &BatchJob, owner: DispatcherId) -> bool {
        let Some(leases) = self.jobs.get(&job.index) else {
            return false;
        };
        (0..job.items.len()).all(|item| leases.item(item as u32).owner == owner)
    }

    /// Renews an owner's leases of a job; returns the items that it has lost.
    pub fn renew(
        &mut self,
        job: &BatchJob,
        items: &[u32],
        owner: DispatcherId,
        now: Timestamp,
    ) -> Vec<u32> {
        let leases = self.jobs.entry(job.index).or_default();
        let mut lost = Vec::new();
        for &item in items {
            let current = leases.item(item);
            let is_available = current.owner == owner || !current.is_live(now);
            match job.is_pending(item) && is_available {
                true => leases.item_mut(item).grant(owner, now),
                false => lost.push(item),
            }
        }
        lost
    }

    /// Gives all leases of an owner back.
    pub fn release(&mut self, owner: DispatcherId) {
        self.jobs
            .values_mut()
            .for_each(|leases| leases.release(owner));
    }

    /// Gives an owner's leases of some items of a job back.
    pub fn release_items(&mut self, job: &BatchJob, items: &[u32], owner: DispatcherId) {
        if let Some(leases) = self.jobs.get_mut(&job.index) {
            items
                .iter()
                .for_each(|item| leases.release_item(*item, owner));
        }
    }

    /// Pending items of committed jobs that nobody owns, those of the job due first in front.
    pub fn unleased_items<'a>(
        &'a self,
        jobs: &'a JobTable,
        commit_index: LogIndex,
        now: Timestamp,
    ) -> impl Iterator<Item = ItemRef> + 'a {
        let is_paused = now < self.grants_paused_until;
        jobs.open()
            .filter(move |job| !is_paused && job.index <= commit_index)
            .flat_map(move |job| self.unleased_items_of(job, now))
    }

    fn unleased_items_of<'a>(
        &'a self,
        job: &'a BatchJob,
        now: Timestamp,
    ) -> impl Iterator<Item = ItemRef> + 'a {
        let leases = self.jobs.get(&job.index);
        let is_leased =
            move |item: u32| leases.is_some_and(|leases| leases.item(item).is_live(now));
        job.pending_items()
            .map(|(item, _)| item)
            .filter(move |item| !is_leased(*item))
            .map(move |item| ItemRef {
                job: job.index,
                item,
            })
    }

    /// Drops the leases of jobs that are done.
    pub fn sweep(&mut self, jobs: &JobTable) {
        let is_open = |job: LogIndex| jobs.get(job).is_some_and(|job| !job.is_done());
        self.jobs.retain(|job, _| is_open(*job));
    }
}
