//! The shard's part in quotas, as the active primary: its allowances, and whether it is a counter.

use super::Replica;
use crate::epoch_history::Epoch;
use crate::job_table::BatchJob;
use crate::quota::{QuotaAccount, ShardAllowance};

impl Replica {
    /// Whether this replica's store counts the accounts of the shard, in this epoch of it.
    pub fn is_counter(&self, epoch: Epoch) -> bool {
        self.is_serving() && self.assignment.epoch == epoch
    }

    /// Takes what a counter handed out for `held`; false if that is void by now.
    pub fn raise_allowance(
        &mut self,
        account: &QuotaAccount,
        held: ShardAllowance,
        tokens: u64,
    ) -> bool {
        held.epoch == self.assignment.epoch && self.allowances.raise(account, &held, tokens)
    }

    /// Makes everything void that is handed out for this generation or an earlier one.
    pub fn void_allowances_through(&mut self, account: &QuotaAccount, generation: u64) {
        self.allowances.begin_generation_after(account, generation);
    }

    /// Gives up what is not in use of an allowance, and returns the rest. `None` unless this is the
    /// active primary, or if the counter has been replaced.
    pub fn recall_allowance(
        &mut self,
        account: &QuotaAccount,
        counter: Epoch,
    ) -> Option<ShardAllowance> {
        if !self.is_serving() {
            return None;
        }
        let queued = self.jobs.queued_tokens(account);
        let left = self.allowances.recall(account, counter, queued)?;
        Some(ShardAllowance {
            shard: self.shard,
            epoch: self.assignment.epoch,
            ..left
        })
    }

    /// Whether jobs of this host lie here that belong to other shards by their ids: accepted by a
    /// release that placed all jobs of a host together.
    pub fn has_host_placed_jobs(&self, host: &str) -> bool {
        let mut jobs = self.jobs.iter().filter(|job| job.name.host == host);
        jobs.any(|job| self.is_host_placed(job))
    }

    pub(super) fn is_host_placed(&self, job: &BatchJob) -> bool {
        job.name.shard() != self.shard
    }
}
