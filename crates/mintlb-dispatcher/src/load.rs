//! Estimate of a worker's occupied slots: its last load report plus the requests that this dispatcher has sent since.
//! Without I/O.
//!
//! Other dispatchers send requests to the same worker, so a report is only valid for a short time.

/// How long a load report is valid, in seconds.
const REPORT_VALIDITY: f64 = 0.5;
/// Share of a worker's slots that batch items leave free for live requests.
const LIVE_REQUEST_SHARE: f64 = 0.25;

/// A worker's load report, sent with its responses as `Mintlb-Instance-Load`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InstanceLoad {
    /// Number of running requests.
    pub running: f64,
    /// Number of requests queued at the worker.
    pub waiting: f64,
    /// Maximum number of concurrently running requests.
    pub slots: f64,
}

impl InstanceLoad {
    /// Parses `RUNNING,WAITING,SLOTS`; `None` if that is not three finite numbers of at least 0.
    pub fn parse(header: &str) -> Option<InstanceLoad> {
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
        is_valid.then_some(InstanceLoad {
            running,
            waiting,
            slots,
        })
    }

    /// Number of slots that no running or queued request occupies.
    pub fn free_slots(&self) -> f64 {
        (self.slots - self.running - self.waiting).max(0.0)
    }
}

/// Estimate of a worker's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadEstimate {
    reported: InstanceLoad,
    reported_at: f64,
    sent_since_report: f64,
}

impl LoadEstimate {
    /// Records a worker's report received at `now` (seconds of the clock).
    pub fn record(&mut self, load: InstanceLoad, now: f64) {
        *self = LoadEstimate {
            reported: load,
            reported_at: now,
            sent_since_report: 0.0,
        };
    }

    /// Records that a request was sent to the worker.
    pub fn record_sent(&mut self) {
        self.sent_since_report += 1.0;
    }

    /// Whether a slot is free for a live request; true without a valid report.
    pub fn has_free_slot(&self, now: f64) -> bool {
        !self.has_valid_report(now) || self.occupied_slots() < self.reported.slots
    }

    /// Whether a batch item can run and still leave enough slots to live requests. Without a valid report,
    /// `own_requests`, this dispatcher's requests in flight to the worker, count as occupied slots.
    pub fn has_free_slot_for_item(&self, now: f64, own_requests: f64) -> bool {
        let limit = self.reported.slots * (1.0 - LIVE_REQUEST_SHARE);
        let occupied = if self.has_valid_report(now) {
            self.occupied_slots()
        } else {
            own_requests
        };
        self.reported.slots == 0.0 || occupied < limit
    }

    fn occupied_slots(&self) -> f64 {
        self.reported.running + self.reported.waiting + self.sent_since_report
    }

    fn has_valid_report(&self, now: f64) -> bool {
        self.reported.slots > 0.0 && now - self.reported_at < REPORT_VALIDITY
    }
}
