//! What the counter of a route has handed out.

use super::ShardAllowance;

/// The part of what is free that is handed out beyond what was asked for, so that not every job
/// needs a request: one in so many.
const SURPLUS_DIVISOR: u64 = 32;

/// The counter of one route, for as long as its shard keeps its primary.
#[derive(Clone, Debug)]
pub struct QuotaCounter {
    limit: u64,
    /// The allowance of each shard, once its primary has told it.
    shards: Vec<Option<ShardAllowance>>,
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
            shards: vec![None; shards],
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
        let Some(entry) = self.shards.get_mut(held.shard as usize) else {
            return Verdict::Unknown;
        };
        if let Some(known) = entry
            && (held.epoch, held.generation) < (known.epoch, known.generation)
        {
            let generation = match held.epoch == known.epoch {
                true => known.generation,
                false => 0,
            };
            return Verdict::Outdated { generation };
        }
        if recalled.is_none() && (self.limit != limit || entry.is_none()) {
            return Verdict::NeedsRecall;
        }
        *entry = Some(held);
        self.limit = limit;
        let Some(free) = self.free() else {
            return self.unless_recalled(recalled, Verdict::Unknown);
        };
        if tokens <= free {
            let granted = tokens + (free - tokens) / SURPLUS_DIVISOR;
            self.shards[held.shard as usize] = Some(ShardAllowance {
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

    /// Notes what the primary of a shard has left after a recall; false if that is outdated.
    pub fn on_recalled(&mut self, left: ShardAllowance) -> bool {
        let Some(entry) = self.shards.get_mut(left.shard as usize) else {
            return false;
        };
        let is_newer = entry
            .is_none_or(|known| (left.epoch, left.generation) >= (known.epoch, known.generation));
        if is_newer {
            *entry = Some(left);
        }
        is_newer
    }

    /// Tokens that are not handed out; `None` before all shards are known.
    fn free(&self) -> Option<u64> {
        let mut free = self.limit;
        for shard in &self.shards {
            free = free.saturating_sub(shard.as_ref()?.tokens);
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
