//! One clock for all parts: Unix time in seconds, which never steps while the program runs.

use std::time::{Duration, SystemTime};
use tokio::time::Instant;

#[derive(Clone, Copy)]
pub struct Clock {
    began: Instant,
    unix: f64,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            began: Instant::now(),
            unix: unix.as_secs_f64(),
        }
    }

    pub fn now(&self) -> f64 {
        self.unix + self.began.elapsed().as_secs_f64()
    }

    /// The moment of a time of this clock.
    pub fn instant(&self, at: f64) -> Instant {
        self.began + clamped_duration(at - self.unix)
    }
}

/// So many seconds; what is no length of time is none, what is absurdly long a day.
pub fn clamped_duration(length: f64) -> Duration {
    Duration::from_secs_f64(if length.is_finite() {
        length.clamp(0.0, 86_400.0)
    } else {
        0.0
    })
}
