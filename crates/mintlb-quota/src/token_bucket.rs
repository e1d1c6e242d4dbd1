//! A token bucket that also tells rejected requests when to retry.

use std::time::Duration;

/// The longest time that a rejected request is told to wait for one token, however low the rate.
const MAX_WAIT: Duration = Duration::from_secs(3600);
const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// The limit of one bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketLimit {
    /// Tokens per second.
    pub rate: f64,
    /// The largest number of tokens that the bucket holds; at least 1, or it would never hold a whole one.
    pub burst: f64,
}

/// A token bucket. In any window it gives out at most `rate * window + burst` tokens.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: BucketLimit,
    tokens: f64,
    /// When `tokens` was last computed.
    updated_at: Duration,
    /// The earliest time at which the next rejected request is told to retry, so that each finds a token of its own.
    next_retry: Duration,
}

impl TokenBucket {
    /// A bucket that was empty at `filling_since` and has been filling since.
    pub fn new(limit: BucketLimit, filling_since: Duration, now: Duration) -> TokenBucket {
        let mut bucket = TokenBucket {
            limit,
            tokens: 0.0,
            updated_at: filling_since,
            next_retry: now,
        };
        bucket.fill(now);
        bucket
    }

    /// Changes the limit. Tokens beyond the new burst are lost.
    pub fn set_limit(&mut self, limit: BucketLimit, now: Duration) {
        self.fill(now);
        self.limit = limit;
        self.tokens = self.tokens.min(limit.burst);
        self.next_retry = now;
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// If there is none: the time after which a retry finds one, assuming that all requests rejected
    /// before retry, too.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let next_token = now + self.time_for(1.0 - self.tokens);
        let retry_at = self.next_retry.max(next_token);
        self.next_retry = retry_at + self.time_for(1.0);
        Err(retry_at - now)
    }

    /// Whether it holds its whole burst.
    pub fn is_full(&mut self, now: Duration) -> bool {
        self.fill(now);
        self.tokens >= self.limit.burst
    }

    /// Adds the tokens that have accrued since the last update. If the clock is set back, no time counts twice.
    fn fill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let filled = self.tokens + self.limit.rate * elapsed.as_secs_f64();
        self.tokens = filled.min(self.limit.burst);
        if filled >= self.limit.burst {
            // The requests that were told to retry have not done so: their tokens are free again.
            self.next_retry = now;
        }
    }

    /// The time in which so many tokens accrue, rounded up so that they are there after it.
    fn time_for(&self, tokens: f64) -> Duration {
        let microseconds = (tokens / self.limit.rate * MICROSECONDS_PER_SECOND).ceil();
        Duration::from_micros(microseconds as u64).min(MAX_WAIT)
    }
}
