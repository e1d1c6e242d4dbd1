//! A token bucket that also schedules when rejected requests may come back.

use std::time::Duration;

/// The longest time that a rejected request is told to wait for one token.
const MAX_WAIT: Duration = Duration::from_secs(3600);
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// The limit of one bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketLimit {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens that the bucket holds at most; at least 1, or it would never hold a whole one.
    pub burst: f64,
}

/// A bucket. In any window it gives out at most `rate * window + burst` tokens.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: BucketLimit,
    tokens: f64,
    /// When `tokens` was last computed.
    updated_at: Duration,
    /// When the next rejected request may come back, so that each finds a token of its own.
    next_return: Duration,
}

impl TokenBucket {
    /// A bucket that has been filling since `filling_since`, when it was empty.
    pub fn new(limit: BucketLimit, filling_since: Duration, now: Duration) -> TokenBucket {
        let mut bucket = TokenBucket {
            limit,
            tokens: 0.0,
            updated_at: filling_since,
            next_return: now,
        };
        bucket.fill(now);
        bucket
    }

    /// Applies another limit from now on. Tokens beyond the new burst are lost.
    pub fn set_limit(&mut self, limit: BucketLimit, now: Duration) {
        self.fill(now);
        self.limit = limit;
        self.tokens = self.tokens.min(limit.burst);
        self.next_return = now;
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// If there is none: the time after which a request that comes back may find one, if all those
    /// rejected before come back, too.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let next_token = now + self.time_for(1.0 - self.tokens);
        let returns_at = self.next_return.max(next_token);
        self.next_return = returns_at + self.time_for(1.0);
        Err(returns_at - now)
    }

    /// Whether it holds all that it can.
    pub fn is_full(&mut self, now: Duration) -> bool {
        self.fill(now);
        self.tokens >= self.limit.burst
    }

    /// A clock that was set back adds nothing twice.
    fn fill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let filled = self.tokens + self.limit.rate * elapsed.as_secs_f64();
        self.tokens = filled.min(self.limit.burst);
        if filled >= self.limit.burst {
            // Nobody has come back for them.
            self.next_return = now;
        }
    }

    /// The time in which so many tokens come, rounded up: who comes back then finds them.
    fn time_for(&self, tokens: f64) -> Duration {
        let microseconds = (tokens / self.limit.rate * MICROSECONDS_PER_SECOND).ceil();
        Duration::from_micros(microseconds as u64).min(MAX_WAIT)
    }
}
