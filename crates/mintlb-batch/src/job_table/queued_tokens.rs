//! Tokens of pending items by account.

use crate::quota::QuotaAccount;
use rustc_hash::FxHashMap;

/// Sum of the tokens of all pending items, by the account of their job.
#[derive(Clone, Debug, Default)]
pub(super) struct QueuedTokens(FxHashMap<QuotaAccount, u64>);

impl QueuedTokens {
    pub(super) fn of(&self, account: &QuotaAccount) -> u64 {
        self.0.get(account).copied().unwrap_or(0)
    }

    pub(super) fn add(&mut self, account: &QuotaAccount, tokens: u64) {
        *self.0.entry(account.clone()).or_default() += tokens;
    }

    pub(super) fn subtract(&mut self, account: &QuotaAccount, tokens: u64) {
        let Some(sum) = self.0.get_mut(account) else {
            return;
        };
        *sum = sum.saturating_sub(tokens);
        if *sum == 0 {
            self.0.remove(account);
        }
    }
}
