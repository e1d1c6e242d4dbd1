//! Randomized exponential backoff between the attempts of a proposal.

use crate::ballot::Ballot;
use std::time::Duration;

/// Upper bound of the delay after no attempt; it doubles with each attempt.
pub const INITIAL_BACKOFF: Duration = Duration::from_millis(8);
/// The longest delay.
pub const MAX_BACKOFF: Duration = Duration::from_millis(128);

/// Doublings of [`INITIAL_BACKOFF`] at most, so that the multiplication can't overflow.
const MAX_DOUBLINGS: u32 = 8;
/// 2^64 divided by the golden ratio; spreads consecutive counters over all bits.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// Counts attempts and draws the delay after each.
#[derive(Clone, Debug)]
pub(super) struct Backoff {
    attempts: u32,
    rng_state: u64,
}

impl Backoff {
    /// The backoff of a proposal. Competing proposers differ in `proposer`, and so in their delays.
    pub(super) fn new(proposer: u64, floor: Ballot) -> Backoff {
        let seed = proposer ^ floor.counter.wrapping_mul(GOLDEN_RATIO);
        Backoff {
            attempts: 0,
            // xorshift never leaves the state zero.
            rng_state: seed | 1,
        }
    }

    /// Counts an attempt.
    pub(super) fn count_attempt(&mut self) {
        self.attempts += 1;
    }

    /// The delay before the next attempt: between half and all of the upper bound.
    pub(super) fn next_delay(&mut self) -> Duration {
        let exponential = INITIAL_BACKOFF * (1 << self.attempts.min(MAX_DOUBLINGS));
        let upper_bound = exponential.min(MAX_BACKOFF);
        upper_bound / 2 + upper_bound.mul_f64(self.next_fraction() / 2.0)
    }

    /// A number from 0 to 1, by xorshift (G. Marsaglia, "Xorshift RNGs", 2003).
    fn next_fraction(&mut self) -> f64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        (self.rng_state >> 11) as f64 / (1_u64 << 53) as f64
    }
}
