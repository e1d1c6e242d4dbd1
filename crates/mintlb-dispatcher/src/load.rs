//! How many of a worker's places are taken, as far as this dispatcher can tell: what the worker said last, and what was
//! sent there since. Pure.
//!
//! Other dispatchers send there, too, so a word counts for a short time only.

/// A word of a worker's load counts for so long, in s.
const FRESH: f64 = 0.5;
/// Items of lots leave this part of a worker's places to live requests.
const LIVE_SHARE: f64 = 0.25;

/// `Mintlb-Instance-Load`: requests that run and wait at a worker, and how many may run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: f64,
    /// Requests that wait.
    pub waiting: f64,
    /// Requests that may run at once.
    pub slots: f64,
}

impl Load {
    /// Reads `RUNNING,WAITING,SLOTS`.
    pub fn read(header: &str) -> Option<Load> {
        let values: Vec<f64> = header
            .split(',')
            .map_while(|value| value.trim().parse().ok())
            .collect();
        let [running, waiting, slots] = values[..] else {
            return None;
        };
        let good = values
            .iter()
            .all(|value| value.is_finite() && *value >= 0.0);
        good.then_some(Load {
            running,
            waiting,
            slots,
        })
    }

    /// Places that are free.
    pub fn free(&self) -> f64 {
        (self.slots - self.running - self.waiting).max(0.0)
    }
}

/// What is known of a worker's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KnownLoad {
    reported: Load,
    reported_at: f64,
    sent_since: f64,
}

impl KnownLoad {
    /// The worker says this at `now` (seconds of the clock).
    pub fn record(&mut self, load: Load, now: f64) {
        *self = KnownLoad {
            reported: load,
            reported_at: now,
            sent_since: 0.0,
        };
    }

    /// A request was sent there.
    pub fn sent(&mut self) {
        self.sent_since += 1.0;
    }

    /// Whether a live request finds a place, as far as can be told.
    pub fn has_free_slot(&self, now: f64) -> bool {
        !self.is_fresh(now) || self.taken() < self.reported.slots
    }

    /// Whether an item of a lot finds a place and leaves enough of them to live requests; `own` requests of this
    /// dispatcher are there.
    pub fn has_free_slot_for_item(&self, now: f64, own: f64) -> bool {
        let limit = self.reported.slots * (1.0 - LIVE_SHARE);
        let taken = if self.is_fresh(now) {
            self.taken()
        } else {
            own
        };
        self.reported.slots == 0.0 || taken < limit
    }

    fn taken(&self) -> f64 {
        self.reported.running + self.reported.waiting + self.sent_since
    }

    fn is_fresh(&self, now: f64) -> bool {
        self.reported.slots > 0.0 && now - self.reported_at < FRESH
    }
}
