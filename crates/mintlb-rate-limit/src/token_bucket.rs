//! The token bucket of one scheduler's share of a budget.
//!
//! Over all schedulers, the tokens available plus those spent in any window are at most the budget's burst plus what
//! its rate adds in that window. To keep this, a share begins without tokens: its previous holder may have spent its
//! burst.

use crate::share::Share;

/// Tokens that accrue at the share's rate, up to its burst.
#[derive(Debug)]
pub struct TokenBucket {
    share: Share,
    tokens: f64,
    /// The time up to which tokens have accrued.
    updated_at: f64,
    /// Tokens set aside for attempts that are decided on but not yet written.
    reserved: u32,
    /// The largest relative error of this process's clock.
    drift: f64,
    /// Tokens spent since the start.
    pub spent: u64,
    /// Checks that found no free token since the start.
    pub refused: u64,
    /// `refused` when the demand was last reported, and whether it had grown since the report before.
    reported_refused: u64,
    refused_at_report: bool,
}

impl TokenBucket {
    pub fn new(drift: f64) -> TokenBucket {
        TokenBucket {
            share: Share::NONE,
            tokens: 0.0,
            updated_at: f64::NEG_INFINITY,
            reserved: 0,
            drift,
            spent: 0,
            refused: 0,
            reported_refused: 0,
            refused_at_report: false,
        }
    }

    /// Applies another share. Tokens beyond its burst are lost, and none are added.
    pub fn set_share(&mut self, now: f64, share: Share) {
        self.accrue(now);
        self.tokens = if crate::mutated!(FullBurstOnChange) {
            share.burst
        } else {
            self.tokens.min(share.burst)
        };
        (self.share, self.updated_at) = (share, now);
    }

    pub fn share(&self) -> Share {
        self.share
    }

    /// Updates the bucket to `now`, so that [`TokenBucket::share`] shows whether the share has expired.
    pub fn refresh(&mut self, now: f64) {
        self.accrue(now);
    }

    /// Adds the tokens that accrued since the last update. The tokens of an expired share are lost even if it is held
    /// again later, as another member may have held it meanwhile.
    fn accrue(&mut self, now: f64) {
        if now >= self.share.until {
            (self.share, self.tokens) = (Share::NONE, 0.0);
        }
        let accrued = self.share.rate * (now - self.updated_at).max(0.0) / (1.0 + self.drift);
        // If the clock is set back, no time counts twice.
        self.updated_at = self.updated_at.max(now);
        self.tokens =
            (self.tokens + if accrued.is_nan() { 0.0 } else { accrued }).min(self.share.burst);
    }

    /// Whether there is a token that is not reserved. Counts a refusal if not.
    pub fn has_token(&mut self, now: f64) -> bool {
        self.accrue(now);
        let has = self.tokens - f64::from(self.reserved) >= 1.0;
        self.refused += u64::from(!has);
        has
    }

    /// Whether the last refusal is the first one since the demand was reported, and that report had no refusals.
    pub fn is_first_refusal(&self) -> bool {
        !self.refused_at_report && self.refused == self.reported_refused + 1
    }

    /// Records that the demand has been reported to the coordinator.
    pub fn record_report(&mut self) {
        self.refused_at_report = self.refused > self.reported_refused;
        self.reported_refused = self.refused;
    }

    /// Reserves a token until it is spent or the reservation is cancelled. Returns whether there was one.
    pub fn reserve(&mut self, now: f64) -> bool {
        let has = self.has_token(now);
        self.reserved += u32::from(has);
        has
    }

    pub fn cancel_reservation(&mut self) {
        self.reserved -= 1;
    }

    /// Spends a reserved token. Fails if the token has expired since; the reservation then stays.
    pub fn spend(&mut self, now: f64) -> bool {
        self.accrue(now);
        let spends = self.tokens >= 1.0;
        if spends {
            self.reserved -= 1;
            self.tokens -= 1.0;
            self.spent += 1;
        }
        spends
    }

    /// Takes back a spend that was not used: the token is reserved again.
    pub fn refund(&mut self) {
        self.reserved += 1;
        self.spent -= 1;
        self.tokens = (self.tokens + 1.0).min(self.share.burst);
    }
}
