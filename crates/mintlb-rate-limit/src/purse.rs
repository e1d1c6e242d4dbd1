//! What one scheduler may spend now of one rate. Pure.
//!
//! Over all schedulers the tokens that are there and those spent in a window are at most the whole's burst and what its
//! rate brings in that window: a part begins empty, whoever held it before, as its burst may have been spent there.

use crate::division::Part;

/// Tokens that come at the part's rate, kept up to its burst.
#[derive(Debug)]
pub struct Purse {
    part: Part,
    tokens: f64,
    /// Up to when they have been counted.
    at: f64,
    /// Set aside for allocations that are decided on and not yet written.
    aside: u32,
    /// What a second of this clock may be at most of a true one, less one.
    drift: f64,
    pub spent: u64,
    /// Looks that found nothing.
    pub refused: u64,
    /// What those were when the demand was last told, and whether there were any before.
    known: u64,
    was_refused: bool,
}

impl Purse {
    pub fn new(drift: f64) -> Purse {
        Purse {
            part: Part::NONE,
            tokens: 0.0,
            at: f64::NEG_INFINITY,
            aside: 0,
            drift,
            spent: 0,
            refused: 0,
            known: 0,
            was_refused: false,
        }
    }

    /// From now on it holds this part. What it has beyond the new burst is lost, and nothing comes anew.
    pub fn take(&mut self, now: f64, part: Part) {
        self.count(now);
        self.tokens = if crate::slip!(BurstAnew) {
            part.burst
        } else {
            self.tokens.min(part.burst)
        };
        (self.part, self.at) = (part, now);
    }

    pub fn part(&self) -> Part {
        self.part
    }

    /// Has what has lapsed be seen.
    pub fn look(&mut self, now: f64) {
        self.count(now);
    }

    /// Counts what came since. A part that has lapsed is worth nothing, also if it is held again later: another may have
    /// had it meanwhile.
    fn count(&mut self, now: f64) {
        if now >= self.part.until {
            (self.part, self.tokens) = (Part::NONE, 0.0);
        }
        let came = self.part.rate * (now - self.at).max(0.0) / (1.0 + self.drift);
        // A clock that is set back brings nothing twice.
        self.at = self.at.max(now);
        self.tokens = (self.tokens + if came.is_nan() { 0.0 } else { came }).min(self.part.burst);
    }

    /// Whether there is one that is not set aside.
    pub fn has(&mut self, now: f64) -> bool {
        self.count(now);
        let has = self.tokens - f64::from(self.aside) >= 1.0;
        self.refused += u64::from(!has);
        has
    }

    /// Whether a refusal is the first one since the demand was told, and none was told then.
    pub fn is_news(&self) -> bool {
        !self.was_refused && self.refused == self.known + 1
    }

    /// The demand has been told.
    pub fn looked(&mut self) {
        self.was_refused = self.refused > self.known;
        self.known = self.refused;
    }

    /// Sets one aside, for a while or for good.
    pub fn set_aside(&mut self, now: f64) -> bool {
        let has = self.has(now);
        self.aside += u32::from(has);
        has
    }

    /// What was set aside is not needed any more.
    pub fn give_up(&mut self) {
        self.aside -= 1;
    }

    /// Spends one that was set aside. It may have lapsed since.
    pub fn pay(&mut self, now: f64) -> bool {
        self.count(now);
        let pays = self.tokens >= 1.0;
        if pays {
            self.aside -= 1;
            self.tokens -= 1.0;
            self.spent += 1;
        }
        pays
    }

    /// What was spent was not taken, and is set aside again.
    pub fn back(&mut self) {
        self.aside += 1;
        self.spent -= 1;
        self.tokens = (self.tokens + 1.0).min(self.part.burst);
    }
}
