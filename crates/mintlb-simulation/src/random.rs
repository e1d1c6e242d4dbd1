//! The simulation's random numbers: splitmix64, so that everything drawn follows from the seed.

use std::time::Duration;

/// A generator.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// A generator whose numbers follow from the seed.
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// The next number.
    pub fn number(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below `bound`, which is above 0.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.number() % bound.max(1) as u64) as usize
    }

    /// True with this probability, in percent.
    pub fn with_probability(&mut self, percent: u32) -> bool {
        self.number() % 100 < u64::from(percent)
    }

    /// A time from `min` up to `max`, both in ms; the steps are microseconds.
    pub fn time(&mut self, min: u64, max: u64) -> Duration {
        let span = (max.saturating_sub(min)) * 1000 + 1;
        Duration::from_micros(min * 1000 + self.number() % span)
    }
}
