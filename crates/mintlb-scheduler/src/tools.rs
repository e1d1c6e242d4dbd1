//! Tools of the decisions that decide nothing: chance, a mean that forgets, due times in order.

use crate::Door;
use std::collections::BTreeMap;

/// Chance: multiply-with-carry, from the seed the instance was started with.
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance(((seed ^ (seed >> 32)) % 0xffff_da60_ffff_ffff) | 1)
    }

    /// A number from 0 up to 1.
    pub fn draw(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 0xffff_da61 + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}

/// A mean in which what is older counts less.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    pub sum: f64,
    pub weight: f64,
}

impl Mean {
    pub fn learn(&mut self, value: f64, keep: f64) {
        self.sum = self.sum * keep + value;
        self.weight = self.weight * keep + 1.0;
    }

    /// The mean, as if it had been heard `times` times before that it is `usual`.
    pub fn or(&self, usual: f64, times: f64) -> f64 {
        (self.sum + times * usual) / (self.weight + times).max(f64::MIN_POSITIVE)
    }
}

/// Times to start: the quickest, where nothing held the job up; the smoothed one; and when one was heard.
pub struct Starts {
    pub quickest: f64,
    pub usual: Mean,
    pub heard: f64,
}

impl Starts {
    pub fn new(quickest: f64) -> Starts {
        Starts {
            quickest,
            usual: Mean::default(),
            heard: 0.0,
        }
    }

    pub fn learn(&mut self, now: f64, delay: f64, keep: f64) {
        (self.quickest, self.heard) = (self.quickest.min(delay), now);
        self.usual.learn(delay, keep);
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
pub const HAIR: f64 = 1e-6;

/// All due times, in order; the door is asked for one timer only.
pub struct Agenda<T> {
    due: BTreeMap<(u64, u64), T>,
    added: u64,
    armed: f64,
}

impl<T> Default for Agenda<T> {
    fn default() -> Agenda<T> {
        Agenda {
            due: BTreeMap::new(),
            added: 0,
            armed: 0.0,
        }
    }
}

impl<T> Agenda<T> {
    pub fn add(&mut self, at: f64, due: T) {
        self.added += 1;
        // The bits of positive numbers are in the numbers' order.
        self.due.insert((at.max(0.0).to_bits(), self.added), due);
    }

    pub fn next(&mut self, now: f64) -> Option<T> {
        let first = self.due.first_entry()?;
        (f64::from_bits(first.key().0) <= now + HAIR).then(|| first.remove())
    }

    /// Asks for the timer. What has ended meanwhile needs none: most work ends long before its limit.
    pub fn arm(&mut self, door: &mut dyn Door, now: f64, is_void: impl Fn(&T) -> bool) {
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
        if self.armed <= now + HAIR || at < self.armed {
            self.armed = at;
            door.wake_in((at - now).max(0.0));
        }
    }
}
