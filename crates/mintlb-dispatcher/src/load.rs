//! Estimate of a worker's occupied slots: its last load report, and what this dispatcher sent there since. Pure.
//!
//! Other dispatchers send there, too, so a report is valid for a short time only.

/// How long a load report is valid, in seconds.
const REPORT_VALIDITY: f64 = 0.5;
/// The share of a worker's slots that batch items leave to live requests.
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
        let is_valid = values
            .iter()
            .all(|value| value.is_finite() && *value >= 0.0);
        is_valid.then_some(Load {
            running,
            waiting,
            slots,
        })
    }

    /// Free slots.
    pub fn free(&self) -> f64 {
        (self.slots - self.running - self.waiting).max(0.0)
    }
}

/// The estimate of a worker's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KnownLoad {
    reported: Load,
    reported_at: f64,
    sent_since: f64,
}

impl KnownLoad {
    /// Records a worker's report received at `now` (seconds of the clock).
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

    /// Whether a slot is free for a live request; true without a valid report.
    pub fn has_free_slot(&self, now: f64) -> bool {
        !self.has_valid_report(now) || self.occupied() < self.reported.slots
    }

    /// Whether a slot is free for a batch item that leaves enough of them to live requests; `own` requests of this
    /// dispatcher are there.
    pub fn has_free_slot_for_item(&self, now: f64, own: f64) -> bool {
        let limit = self.reported.slots * (1.0 - LIVE_SHARE);
        let occupied = if self.has_valid_report(now) {
            self.occupied()
        } else {
            own
        };
        self.reported.slots == 0.0 || occupied < limit
    }

    fn occupied(&self) -> f64 {
        self.reported.running + self.reported.waiting + self.sent_since
    }

    fn has_valid_report(&self, now: f64) -> bool {
        self.reported.slots > 0.0 && now - self.reported_at < REPORT_VALIDITY
    }
}
