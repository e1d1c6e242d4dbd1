//! What the primary of a shard may admit.

use super::{QuotaAccount, ShardAllowance};
use crate::epoch_history::Epoch;
use rustc_hash::FxHashMap;

/// The allowances of one shard's primary, by account. Dropped when it steps down.
#[derive(Clone, Debug, Default)]
pub struct Allowances {
    by_account: FxHashMap<QuotaAccount, Allowance>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Allowance {
    tokens: u64,
    /// The quota that it was handed out under.
    limit: u64,
    generation: u64,
    /// The newest counter that has recalled it.
    counter_epoch: Epoch,
}

/// A job can't be admitted before the allowance of its shard is raised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
    /// The allowance as it is; its shard and epoch are filled in by the replica.
    pub held: ShardAllowance,
    /// The tokens that are missing.
    pub tokens: u64,
    /// The newest counter that is known. An earlier one must not be asked.
    pub counter_epoch: Epoch,
}

impl Allowances {
    /// Whether a job fits, beside the tokens that are queued already.
    ///
    /// # Errors
    ///
    /// [`Shortage`] if it does not.
    pub fn admit(
        &mut self,
        account: &QuotaAccount,
        limit: u64,
        queued: u64,
        job_tokens: u64,
    ) -> Result<(), Shortage> {
        let allowance = self.entry(account);
        if allowance.limit != limit {
            // What was handed out under the former quota is void, also what is on its way: under a
            // lower one even the tokens in use may be too many.
            allowance.tokens = 0;
            allowance.limit = limit;
            allowance.generation += 1;
        }
        let needed = queued.saturating_add(job_tokens);
        if needed <= allowance.tokens {
            return Ok(());
        }
        // A new primary begins with what its log holds.
        let held = allowance.tokens.max(queued);
        Err(Shortage {
            held: ShardAllowance {
                generation: allowance.generation,
                tokens: held,
                ..ShardAllowance::default()
            },
            tokens: needed - held,
            counter_epoch: allowance.counter_epoch,
        })
    }

    /// Takes what the counter handed out beyond `held`; false if it is void.
    pub fn raise(&mut self, account: &QuotaAccount, held: &ShardAllowance, tokens: u64) -> bool {
        let allowance = self.entry(account);
        let is_current = allowance.generation == held.generation;
        if is_current {
            allowance.tokens = held.tokens.saturating_add(tokens);
        }
        is_current
    }

    /// The generation of an account's allowance.
    pub fn generation(&self, account: &QuotaAccount) -> u64 {
        self.by_account
            .get(account)
            .map_or(0, |allowance| allowance.generation)
    }

    /// Begins another generation: a request got no response, or the counter knows a later
    /// generation, that of an earlier process of this store. What is handed out for earlier
    /// generations is void.
    pub fn begin_generation_after(&mut self, account: &QuotaAccount, generation: u64) {
        let allowance = self.entry(account);
        allowance.generation = allowance.generation.max(generation) + 1;
    }

    /// Gives up what is not in use; returns what is, without shard and epoch. `None` for a
    /// counter that has been replaced.
    pub fn recall(
        &mut self,
        account: &QuotaAccount,
        counter_epoch: Epoch,
        queued: u64,
    ) -> Option<ShardAllowance> {
        let allowance = self.entry(account);
        if counter_epoch < allowance.counter_epoch {
            return None;
        }
        allowance.counter_epoch = counter_epoch;
        allowance.generation += 1;
        allowance.tokens = allowance.tokens.min(queued);
        Some(ShardAllowance {
            generation: allowance.generation,
            tokens: queued,
            ..ShardAllowance::default()
        })
    }

    fn entry(&mut self, account: &QuotaAccount) -> &mut Allowance {
        self.by_account.entry(account.clone()).or_default()
    }
}
