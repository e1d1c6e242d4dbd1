//! Tokens of pending items by account.

use super::BatchJob;
use crate::quota::QuotaAccount;
use rustc_hash::FxHashMap;

/// Sum of the tokens of all pending items, by the account of their job.
#[derive(Clone, Debug, Default)]
pub(super) struct QueuedTokens {
    by_account: FxHashMap<QuotaAccount, u64>,
    /// Those of jobs that earlier releases have accepted under the name of their route, by host and
    /// tenant. Which route of the host they belong to is not known, so each of its routes counts them.
    by_host: FxHashMap<QuotaAccount, u64>,
}

impl QueuedTokens {
    pub(super) fn of(&self, account: &QuotaAccount) -> u64 {
        let own = self.by_account.get(account).copied().unwrap_or(0);
        let unplaced = self.by_host.get(&account.of_host()).copied().unwrap_or(0);
        own + unplaced
    }

    /// Adds tokens of pending items of a job.
    pub(super) fn add(&mut self, job: &BatchJob, tokens: u64) {
        let sum = self.by_account.entry(job.account.clone()).or_default();
        *sum += tokens;
        if let Some(host) = job.account.of_unplaced_job(&job.name.host) {
            *self.by_host.entry(host).or_default() += tokens;
        }
    }

    /// Subtracts tokens of items of a job that are not pending any more.
    pub(super) fn subtract(&mut self, job: &BatchJob, tokens: u64) {
        subtract(&mut self.by_account, &job.account, tokens);
        if let Some(host) = job.account.of_unplaced_job(&job.name.host) {
            subtract(&mut self.by_host, &host, tokens);
        }
    }
}

fn subtract(sums: &mut FxHashMap<QuotaAccount, u64>, account: &QuotaAccount, tokens: u64) {
    let Some(sum) = sums.get_mut(account) else {
        return;
    };
    *sum = sum.saturating_sub(tokens);
    if *sum == 0 {
        sums.remove(account);
    }
}
