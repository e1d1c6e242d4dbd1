//! Time of the process's monotonic clock.

use std::ops::Add;
use std::time::Duration;

/// A point in time, as the time since the origin of the process's monotonic clock.
///
/// Pure code gets the time as an argument. Timestamps of different processes must not be compared;
/// fields that are kept across processes hold Unix time, and say so.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(Duration);

impl Timestamp {
    /// The origin of the clock.
    pub const ZERO: Timestamp = Timestamp(Duration::ZERO);

    /// The timestamp this many ms after the origin.
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(Duration::from_millis(millis))
    }

    /// Whole ms since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0.as_millis() as u64
    }

    /// Time passed since `earlier`; zero if that is in the future.
    pub const fn saturating_since(self, earlier: Timestamp) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

/// The timestamp this long after the origin.
impl From<Duration> for Timestamp {
    fn from(since_origin: Duration) -> Timestamp {
        Timestamp(since_origin)
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0 + duration)
    }
}
