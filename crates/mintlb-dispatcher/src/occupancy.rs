//! Estimate of the share of a service's slots that is in use, over all workers and all dispatchers. Without I/O.
//!
//! Each response carries its worker's load report. A dispatcher receives responses from few workers at a time, but these
//! are a sample of all workers, and the reports include other dispatchers' requests.

use crate::load::InstanceLoad;
use rustc_hash::FxHashMap;

/// Time constant of the smoothing, in seconds.
const SMOOTHING_TIME: f64 = 0.25;
/// Upper bound of a sample. A higher report is implausible or carries no more information.
const MAX_SAMPLE: f64 = 4.0;
/// An estimate expires this many seconds after its last sample.
const SAMPLE_VALIDITY: f64 = 1.0;

/// The occupancy of each service by name.
#[derive(Debug, Default)]
pub struct ServiceOccupancies(FxHashMap<String, Occupancy>);

/// Exponentially decaying mean of samples.
#[derive(Clone, Copy, Debug, Default)]
struct Occupancy {
    sum: f64,
    weight: f64,
    updated_at: f64,
}

impl ServiceOccupancies {
    /// Records a worker's load report at `now` (seconds of the clock).
    pub fn record(&mut self, service: &str, load: InstanceLoad, now: f64) {
        if load.slots <= 0.0 {
            return;
        }
        if !self.0.contains_key(service) {
            self.0.insert(service.to_string(), Occupancy::default());
        }
        if let Some(occupancy) = self.0.get_mut(service) {
            let sample = (load.running + load.waiting) / load.slots;
            occupancy.record(sample.min(MAX_SAMPLE), now);
        }
    }

    /// The share of the service's slots that running and queued requests occupy at `now`; over 1 if more requests are queued
    /// than slots are free. `None` without a recent report.
    pub fn get(&self, service: &str, now: f64) -> Option<f64> {
        let occupancy = self.0.get(service)?;
        (now - occupancy.updated_at < SAMPLE_VALIDITY).then(|| occupancy.sum / occupancy.weight)
    }
}

impl Occupancy {
    fn record(&mut self, sample: f64, now: f64) {
        let decay = (-(now - self.updated_at).max(0.0) / SMOOTHING_TIME).exp();
        self.sum = self.sum * decay + sample;
        self.weight = self.weight * decay + 1.0;
        self.updated_at = now;
    }
}
