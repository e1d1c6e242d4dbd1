//! Stamps of answers, which the receiver echoes in its next message: so that also the side that only answers learns
//! that its answers arrive. Pure.

use std::time::Duration;
use tokio::time::Instant;

/// Turns moments of one process life into stamps and back.
#[derive(Debug)]
pub struct EchoClock {
    /// The stamp of the beginning, drawn at random: the stamp of another life means nothing here.
    first: u64,
    started_at: Instant,
}

impl EchoClock {
    /// Stamps of a life that begins now. `random_seed` is a random number of this life.
    pub fn new(now: Instant, random_seed: u64) -> EchoClock {
        EchoClock {
            first: random_seed,
            started_at: now,
        }
    }

    /// The stamp of this moment.
    pub fn stamp(&self, now: Instant) -> u64 {
        self.first.wrapping_add(self.microseconds(now))
    }

    /// When this stamp was made; `None` if it was not made in this life up to now.
    pub fn made_at(&self, now: Instant, stamp: u64) -> Option<Instant> {
        let passed = stamp.wrapping_sub(self.first);
        (passed <= self.microseconds(now)).then(|| self.started_at + Duration::from_micros(passed))
    }

    fn microseconds(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started_at).as_micros() as u64
    }
}
