//! Timestamps that the receiver echoes in its next message (as the TCP timestamps option does, RFC
//! 7323): so the side that only responds learns, too, that its responses arrive, and when the
//! echoed one was sent. Pure.

use std::time::Duration;
use tokio::time::Instant;

/// Converts between instants and the timestamps of one incarnation of a process, in microseconds.
#[derive(Debug)]
pub struct EchoClock {
    /// The timestamp of the start, drawn at random: a timestamp of another incarnation is out of
    /// range here.
    first: u64,
    started_at: Instant,
}

impl EchoClock {
    /// A clock that starts now. `random_seed` is a random number of this incarnation.
    pub fn new(now: Instant, random_seed: u64) -> EchoClock {
        EchoClock {
            first: random_seed,
            started_at: now,
        }
    }

    /// The timestamp of this instant.
    pub fn timestamp(&self, now: Instant) -> u64 {
        self.first.wrapping_add(self.elapsed_us(now))
    }

    /// The instant of this timestamp; `None` unless this incarnation has issued it by now.
    pub fn issued_at(&self, now: Instant, timestamp: u64) -> Option<Instant> {
        let offset_us = timestamp.wrapping_sub(self.first);
        (offset_us <= self.elapsed_us(now))
            .then(|| self.started_at + Duration::from_micros(offset_us))
    }

    fn elapsed_us(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started_at).as_micros() as u64
    }
}
