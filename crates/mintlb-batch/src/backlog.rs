//! How much work waits in the shards that a store leads.

use std::fmt;
use std::ops::AddAssign;
use std::time::Duration;

/// The open jobs of one or more shards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Jobs with pending items.
    pub open_jobs: usize,
    /// Items without a result.
    pub pending_items: usize,
    /// Pending items that no dispatcher has leased.
    pub unleased_items: usize,
    /// How long ago the oldest open job was accepted.
    pub oldest_job: Duration,
}

impl AddAssign for Backlog {
    fn add_assign(&mut self, other: Backlog) {
        self.open_jobs += other.open_jobs;
        self.pending_items += other.pending_items;
        self.unleased_items += other.unleased_items;
        self.oldest_job = self.oldest_job.max(other.oldest_job);
    }
}

impl fmt::Display for Backlog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} jobs open, {} items pending, {} of them without a lease, the oldest job {:.1} s old",
            self.open_jobs,
            self.pending_items,
            self.unleased_items,
            self.oldest_job.as_secs_f64()
        )
    }
}
