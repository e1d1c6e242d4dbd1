//! Who runs which item. Known to the primary only, and not replicated: a new primary waits for renewals
//! first.

use crate::job_table::{BatchJob, JobTable, Timestamp};
use crate::messages::DispatcherId;
use rustc_hash::FxHashMap;
use std::time::Duration;

/// A lease that was not renewed for so long is open to others.
pub const LEASE_DURATION: Duration = Duration::from_millis(3000);

/// The leases of a shard's items.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    /// Before this time, nothing is open: holders may still renew what an earlier primary granted.
    grants_paused_until: Timestamp,
    jobs: FxHashMap<u64, JobLeases>,
}

/// The lease of each item of a lot. An item's lease lives by its own renewals: one whose grant got lost on its way is
/// renewed by nobody, and is open again, also while its holder runs others of the lot.
#[derive(Clone, Debug, Default)]
struct JobLeases {
    items: Vec<ItemLease>,
}

/// Who runs an item, and when that was last said; 0 is nobody. Failed attempts are counted over all holders.
#[derive(Clone, Copy, Debug, Default)]
struct ItemLease {
    owner: DispatcherId,
    renewed: Timestamp,
    failures: u32,
}

impl ItemLease {
    fn is_live(&self, now: Timestamp) -> bool {
        self.owner != 0 && now.saturating_sub(self.renewed) < LEASE_DURATION
    }
}

impl JobLeases {
    fn of(&self, item: u32) -> ItemLease {
        self.items.get(item as usize).copied().unwrap_or_default()
    }

    fn set(&mut self, item: u32, owner: DispatcherId, now: Timestamp) {
        let lease = self.entry(item);
        (lease.owner, lease.renewed) = (owner, now);
    }

    fn entry(&mut self, item: u32) -> &mut ItemLease {
        if self.items.len() <= item as usize {
            self.items.resize(item as usize + 1, ItemLease::default());
        }
        &mut self.items[item as usize]
    }
}

impl Leases {
    /// Drops all leases; nothing is open until holders had the time to renew.
    pub fn restart(&mut self, now: Timestamp) {
        self.jobs.clear();
        self.pause(now);
    }

    /// Nothing is open until holders had the time to renew.
    pub fn pause(&mut self, now: Timestamp) {
        self.grants_paused_until = now + LEASE_DURATION;
    }

    /// The holder is to run all items of a new lot.
    pub fn grant_all(&mut self, job_index: u64, items: usize, owner: DispatcherId, now: Timestamp) {
        let leases = vec![
            ItemLease {
                owner,
                renewed: now,
                failures: 0
            };
            items
        ];
        self.jobs.insert(job_index, JobLeases { items: leases });
    }

    /// Whether this holder has all items of a lot.
    pub fn owns_all(&self, job_index: u64, job: &BatchJob, owner: DispatcherId) -> bool {
        let Some(leases) = self.jobs.get(&job_index) else {
            return false;
        };
        (0..job.items.len()).all(|item| leases.of(item as u32).owner == owner)
    }

    /// Renews the holder's leases of a lot; returns the items that are not its any more.
    pub fn renew(
        &mut self,
        job_index: u64,
        job: &BatchJob,
        items: &[u32],
        owner: DispatcherId,
        now: Timestamp,
    ) -> Vec<u32> {
        let leases = self.jobs.entry(job_index).or_default();
        let mut lost = Vec::new();
        for &item in items {
            let waits = job.ended.is_none()
                && job
                    .items
                    .get(item as usize)
                    .is_some_and(|item| item.position.is_none());
            let current = leases.of(item);
            let free = current.owner == owner || !current.is_live(now);
            match waits && free {
                true => leases.set(item, owner, now),
                false => lost.push(item),
            }
        }
        lost
    }

    /// A holder tells how often an item has failed so far.
    pub fn failed(&mut self, job_index: u64, job: &BatchJob, item: u32, count: u32) {
        if (item as usize) < job.items.len() {
            let lease = self.jobs.entry(job_index).or_default().entry(item);
            lease.failures = lease.failures.max(count);
        }
    }

    /// How often an item has failed so far, as far as its holders told this primary.
    pub fn failures(&self, job_index: u64, item: u32) -> u32 {
        self.jobs
            .get(&job_index)
            .map_or(0, |leases| leases.of(item).failures)
    }

    /// Gives all leases of a holder up.
    pub fn release(&mut self, owner: DispatcherId) {
        let all = self.jobs.values_mut().flat_map(|leases| &mut leases.items);
        all.filter(|lease| lease.owner == owner)
            .for_each(|lease| lease.owner = 0);
    }

    /// Committed items that nobody runs, those of the lot due first in front.
    pub fn open_items<'a>(
        &'a self,
        jobs: &'a JobTable,
        commit_index: u64,
        now: Timestamp,
    ) -> impl Iterator<Item = (u64, u32)> + 'a {
        let paused = now < self.grants_paused_until;
        let open = jobs
            .open()
            .filter(move |(job_index, _)| !paused && *job_index <= commit_index);
        open.flat_map(move |(job_index, job)| {
            let leases = self.jobs.get(&job_index);
            let is_open = move |item: u32| match leases {
                None => true,
                Some(leases) => !leases.of(item).is_live(now),
            };
            job.pending_items()
                .map(|(item, _)| item)
                .filter(move |item| is_open(*item))
                .map(move |i| (job_index, i))
        })
    }

    /// Leases one item.
    pub fn grant(&mut self, job_index: u64, item: u32, owner: DispatcherId, now: Timestamp) {
        self.jobs
            .entry(job_index)
            .or_default()
            .set(item, owner, now);
    }

    /// Forgets leases of lots that are done.
    pub fn sweep(&mut self, jobs: &JobTable) {
        self.jobs
            .retain(|job_index, _| jobs.get(*job_index).is_some_and(|job| !job.is_done()));
    }
}
