//! Random numbers, decaying means and a queue of timers.

use crate::Host;
use std::collections::BTreeMap;

/// Pseudo-random number generator (multiply-with-carry).
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(((seed ^ (seed >> 32)) % 0xffff_da60_ffff_ffff) | 1)
    }

    /// A random number from 0 (inclusive) to 1 (exclusive).
    pub fn uniform(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 0xffff_da61 + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}

/// Weighted mean in which older values count less.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingMean {
    pub sum: f64,
    pub weight: f64,
}

impl DecayingMean {
    /// Adds a value with weight 1, after multiplying the weight of the previous ones by `decay`.
    pub fn add(&mut self, value: f64, decay: f64) {
        self.sum = self.sum * decay + value;
        self.weight = self.weight * decay + 1.0;
    }

    /// The mean, as if `prior` had been added before with `prior_weight`.
    pub fn with_prior(&self, prior: f64, prior_weight: f64) -> f64 {
        (self.sum + prior_weight * prior) / (self.weight + prior_weight).max(f64::MIN_POSITIVE)
    }
}

/// Start delays (seconds from send to start) observed in a zone.
pub struct StartDelays {
    /// The shortest: that of work which did not have to wait.
    pub min: f64,
    pub mean: DecayingMean,
    pub updated_at: f64,
}

impl StartDelays {
    pub fn new(min: f64) -> StartDelays {
        StartDelays {
            min,
            mean: DecayingMean::default(),
            updated_at: 0.0,
        }
    }

    pub fn add(&mut self, now: f64, delay: f64, decay: f64) {
        (self.min, self.updated_at) = (self.min.min(delay), now);
        self.mean.add(delay, decay);
    }
}

/// The median; of an even number of values the lower one of the two in the middle. 0 without values.
pub fn median(mut values: Vec<f64>) -> f64 {
    let middle = values.len().saturating_sub(1) / 2;
    if values.is_empty() {
        0.0
    } else {
        *values.select_nth_unstable_by(middle, f64::total_cmp).1
    }
}

/// A timer may fire early by a rounding error. Without this tolerance its event would not be due yet, while the timer
/// would still count as armed, so that no other is set and all queued work is stuck.
pub const TIMER_TOLERANCE_S: f64 = 1e-6;

/// Timers ordered by due time; only one timer is set at the host, the earliest.
pub struct TimerQueue<T> {
    timers: BTreeMap<(u64, u64), T>,
    /// Number of timers ever added; orders those with the same due time.
    sequence: u64,
    /// Due time for which the host's timer is set.
    armed_for: f64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> TimerQueue<T> {
        TimerQueue {
            timers: BTreeMap::new(),
            sequence: 0,
            armed_for: 0.0,
        }
    }
}

impl<T> TimerQueue<T> {
    pub fn add(&mut self, due_at: f64, event: T) {
        self.sequence += 1;
        // The bit patterns of non-negative floats sort like the floats.
        self.timers
            .insert((due_at.max(0.0).to_bits(), self.sequence), event);
    }

    /// The next event that is due, in order of due time.
    pub fn pop_due(&mut self, now: f64) -> Option<T> {
        let first = self.timers.first_entry()?;
        (f64::from_bits(first.key().0) <= now + TIMER_TOLERANCE_S).then(|| first.remove())
    }

    /// Sets the host's timer for the earliest event. Obsolete events at the head are dropped first, as most work ends
    /// long before its deadline.
    pub fn arm(&mut self, host: &mut dyn Host, now: f64, is_obsolete: impl Fn(&T) -> bool) {
        while self
            .timers
            .first_entry()
            .is_some_and(|first| is_obsolete(first.get()))
        {
            self.timers.pop_first();
        }
        let Some((&(due_at, _), _)) = self.timers.first_key_value() else {
            return;
        };
        let due_at = f64::from_bits(due_at);
        if self.armed_for <= now + TIMER_TOLERANCE_S || due_at < self.armed_for {
            self.armed_for = due_at;
            host.set_timer((due_at - now).max(0.0));
        }
    }
}
