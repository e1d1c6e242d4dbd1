//! What the counter of an account has handed out.

use super::ShardAllowance;

/// The part of what is free that is handed out beyond what was asked for, so that not every job
/// needs a request: one in so many.
const SURPLUS_DIVISOR: u64 = 32;

/// The counter of one account, for as long as its shard keeps its primary.
#[derive(Clone, Debug)]
pub struct QuotaCounter {
    limit: u64,
    shards: Vec<CountedShard>,
}

/// What is known of a shard.
#[derive(Clone, Copy, Debug, Default)]
struct CountedShard {
    /// The newest allowance that its primary has told, with what was handed out since.
    allowance: ShardAllowance,
    /// The primary has told it since the counter began, or the quota changed.
    is_known: bool,
}

impl CountedShard {
    fn is_newer_than(&self, other: &ShardAllowance) -> bool {
        version(&self.allowance) > version(other)
    }

    fn set(&mut self, allowance: ShardAllowance) {
        self.allowance = allowance;
        self.is_known = true;
    }
}

/// The decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// So many tokens are handed out, at least those asked for.
    Granted(u64),
    /// All primaries have to be asked what they use before anything more is handed out.
    NeedsRecall,
    /// The quota is used up, as all primaries have confirmed.
    Exceeded,
    /// Some primaries did not answer: neither is it known that there is room nor that there is none.
    Unknown,
    /// The request is older than what is known of its shard, up to this generation.
    Outdated {
        /// The newest generation.
        generation: u64,
    },
}

impl QuotaCounter {
    /// A counter over so many shards, of which nothing is known yet.
    pub fn new(shards: usize) -> QuotaCounter {
        QuotaCounter {
            limit: 0,
            shards: vec![CountedShard::default(); shards],
        }
    }

    /// Decides about a request for `tokens` beyond what a shard holds. `recalled` tells whether the
    /// primaries of the other shards were asked since the request came, and for how many shards an
    /// answer is known, that of the request among them.
    pub fn acquire(
        &mut self,
        limit: u64,
        held: ShardAllowance,
        tokens: u64,
        recalled: Option<usize>,
    ) -> Verdict {
        let Some(shard) = self.shards.get(held.shard as usize) else {
            return Verdict::Unknown;
        };
        if shard.is_newer_than(&held) {
            let generation = match held.epoch == shard.allowance.epoch {
                true => shard.allowance.generation,
                false => 0,
            };
            return Verdict::Outdated { generation };
        }
        self.set_limit(limit);
        self.shards[held.shard as usize].set(held);
        let Some(free) = self.free() else {
            return self.unless_recalled(recalled, Verdict::Unknown);
        };
        if tokens <= free {
            let granted = tokens + (free - tokens) / SURPLUS_DIVISOR;
            self.shards[held.shard as usize].set(ShardAllowance {
                tokens: held.tokens.saturating_add(granted),
                ..held
            });
            return Verdict::Granted(granted);
        }
        let is_complete = recalled.is_some_and(|answered| answered == self.shards.len());
        let verdict = match is_complete {
            true => Verdict::Exceeded,
            false => Verdict::Unknown,
        };
        self.unless_recalled(recalled, verdict)
    }

    /// Begins to count another quota. What was handed out under the former one has to be recalled
    /// first, or it would hold again if the quota changed back.
    fn set_limit(&mut self, limit: u64) {
        if self.limit != limit {
            self.limit = limit;
            self.shards
                .iter_mut()
                .for_each(|shard| shard.is_known = false);
        }
    }

    /// Notes what the primary of a shard has left after a recall; false if that is outdated.
    pub fn on_recalled(&mut self, left: ShardAllowance) -> bool {
        let Some(shard) = self.shards.get_mut(left.shard as usize) else {
            return false;
        };
        // Each recall begins a generation: the same one is an answer to an earlier recall, since
        // which more may have been handed out.
        let is_newer = version(&left) > version(&shard.allowance);
        if is_newer {
            shard.set(left);
        }
        is_newer
    }

    /// Tokens that are not handed out; `None` before all shards are known.
    fn free(&self) -> Option<u64> {
        let mut free = self.limit;
        for shard in &self.shards {
            if !shard.is_known {
                return None;
            }
            free = free.saturating_sub(shard.allowance.tokens);
        }
        Some(free)
    }

    fn unless_recalled(&self, recalled: Option<usize>, verdict: Verdict) -> Verdict {
        match recalled {
            Some(_) => verdict,
            None => Verdict::NeedsRecall,
        }
    }
}

/// Orders what is told of one shard.
fn version(allowance: &ShardAllowance) -> (u64, u64) {
    (allowance.epoch, allowance.generation)
}
