//! Estimate of how much of a service's slots is in use, over all its workers and all dispatchers. Pure.
//!
//! Each response carries its worker's load. A dispatcher has responses from few of the workers at a time, but these are
//! a sample of the fleet, and other dispatchers' requests count in them.

use crate::load::Load;
use rustc_hash::FxHashMap;

/// Time constant of the smoothing, in seconds.
const SMOOTHING_TIME: f64 = 0.25;
/// The highest occupancy that is believed of a worker: what it reports beyond that is no load, or tells nothing more.
const MAX_SAMPLE: f64 = 4.0;
/// An estimate without a sample for this long is void, in seconds.
const VALIDITY: f64 = 1.0;

/// The occupancy of each service.
#[derive(Debug, Default)]
pub struct ServiceOccupancies(FxHashMap<String, Occupancy>);

/// A weighted mean of samples, in which older samples count less.
#[derive(Clone, Copy, Debug, Default)]
struct Occupancy {
    sum: f64,
    weight: f64,
    updated_at: f64,
}

impl ServiceOccupancies {
    /// Records a worker's load report at `now` (seconds of the clock).
    pub fn record(&mut self, service: &str, load: Load, now: f64) {
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

    /// The share of the service's slots that requests run in or wait for: over 1 if more wait than slots are free.
    pub fn get(&self, service: &str, now: f64) -> Option<f64> {
        let occupancy = self.0.get(service)?;
        (now - occupancy.updated_at < VALIDITY).then(|| occupancy.sum / occupancy.weight)
    }
}

impl Occupancy {
    fn record(&mut self, sample: f64, now: f64) {
        let keep = (-(now - self.updated_at).max(0.0) / SMOOTHING_TIME).exp();
        self.sum = self.sum * keep + sample;
        self.weight = self.weight * keep + 1.0;
        self.updated_at = now;
    }
}
