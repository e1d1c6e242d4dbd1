//! Tools of the decisions that decide nothing: chance, a mean that forgets, due times in order.

use crate::Host;
use std::collections::BTreeMap;

/// Chance: multiply-with-carry, from the seed the instance was started with.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(((seed ^ (seed >> 32)) % 0xffff_da60_ffff_ffff) | 1)
    }

    /// A number from 0 up to 1.
    pub fn uniform(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 0xffff_da61 + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}

/// A mean in which what is older counts less.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingMean {
    pub sum: f64,
    pub weight: f64,
}

impl DecayingMean {
    pub fn add(&mut self, value: f64, keep: f64) {
        self.sum = self.sum * keep + value;
        self.weight = self.weight * keep + 1.0;
    }

    /// The mean, as if it had been heard `times` times before that it is `usual`.
    pub fn with_prior(&self, usual: f64, times: f64) -> f64 {
        (self.sum + times * usual) / (self.weight + times).max(f64::MIN_POSITIVE)
    }
}

/// Times to start: the quickest, where nothing held the job up; the smoothed one; and when one was heard.
pub struct StartDelays {
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

    pub fn add(&mut self, now: f64, delay: f64, keep: f64) {
        (self.min, self.updated_at) = (self.min.min(delay), now);
        self.mean.add(delay, keep);
    }
}

/// The lower one of the two in the middle, if they are even in number.
pub fn median(mut values: Vec<f64>) -> f64 {
    let middle = values.len().saturating_sub(1) / 2;
    if values.is_empty() {
        0.0
    } else {
        *values.select_nth_unstable_by(middle, f64::total_cmp).1
    }
}

/// A timer may ring a rounding error early; without this grace it would pass for one still to ring, no other
/// would be asked for, and all that waits would be forgotten.
pub const TIMER_TOLERANCE_S: f64 = 1e-6;

/// All due times, in order; the door is asked for one timer only.
pub struct TimerQueue<T> {
    due: BTreeMap<(u64, u64), T>,
    added: u64,
    armed: f64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> TimerQueue<T> {
        TimerQueue {
            due: BTreeMap::new(),
            added: 0,
            armed: 0.0,
        }
    }
}

impl<T> TimerQueue<T> {
    pub fn add(&mut self, at: f64, due: T) {
        self.added += 1;
        // The bits of positive numbers are in the numbers' order.
        self.due.insert((at.max(0.0).to_bits(), self.added), due);
    }

    pub fn pop_due(&mut self, now: f64) -> Option<T> {
        let first = self.due.first_entry()?;
        (f64::from_bits(first.key().0) <= now + TIMER_TOLERANCE_S).then(|| first.remove())
    }

    /// Asks for the timer. What has ended meanwhile needs none: most work ends long before its limit.
    pub fn arm(&mut self, door: &mut dyn Host, now: f64, is_void: impl Fn(&T) -> bool) {
        while self
            .due
            .first_entry()
            .is_some_and(|first| is_void(first.get()))
        {
            self.due.pop_first();
        }
        let Some((&(at, _), _)) = self.due.first_key_value() else {
            return;
        };
        let at = f64::from_bits(at);
        if self.armed <= now + TIMER_TOLERANCE_S || at < self.armed {
            self.armed = at;
            door.set_timer((at - now).max(0.0));
        }
    }
}
