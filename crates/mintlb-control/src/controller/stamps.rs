//! Stamps of answers, which the receiver echoes in its next message: so that also the side that only answers learns
//! that its answers arrive. Pure.

use std::time::Duration;
use tokio::time::Instant;

/// Turns moments of one process life into stamps and back.
#[derive(Debug)]
pub struct Stamps {
    /// The stamp of the beginning, drawn at random: the stamp of another life means nothing here.
    first: u64,
    begun: Instant,
}

impl Stamps {
    /// Stamps of a life that begins now. `draw` is a random number of this life.
    pub fn new(now: Instant, draw: u64) -> Stamps {
        Stamps {
            first: draw,
            begun: now,
        }
    }

    /// The stamp of this moment.
    pub fn stamp(&self, now: Instant) -> u64 {
        self.first.wrapping_add(self.microseconds(now))
    }

    /// When this stamp was made; `None` if it was not made in this life up to now.
    pub fn made_at(&self, now: Instant, stamp: u64) -> Option<Instant> {
        let passed = stamp.wrapping_sub(self.first);
        (passed <= self.microseconds(now)).then(|| self.begun + Duration::from_micros(passed))
    }

    fn microseconds(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.begun).as_micros() as u64
    }
}
