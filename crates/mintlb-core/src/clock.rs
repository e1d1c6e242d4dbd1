//! The process clock: Unix time in seconds, advanced by the monotonic clock so that it never steps.

use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// Unix time that was read once at start and advances with the monotonic clock.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    start_unix_s: f64,
}

impl Clock {
    /// Reads the system time. It is not read again, so later adjustments of it have no effect.
    pub fn start() -> Clock {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: Instant::now(),
            start_unix_s: since_epoch.as_secs_f64(),
        }
    }

    /// The current Unix time, in seconds.
    pub fn now(&self) -> f64 {
        self.start_unix_s + self.started_at.elapsed().as_secs_f64()
    }

    /// Converts a time of this clock to an instant. Times before the start give the start.
    pub fn instant(&self, unix_s: f64) -> Instant {
        self.started_at + clamped_duration(unix_s - self.start_unix_s)
    }
}

/// Converts seconds to a duration of 0 to 86400 s. Values that are not finite become 0.
pub fn clamped_duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(if seconds.is_finite() {
        seconds.clamp(0.0, 86_400.0)
    } else {
        0.0
    })
}
