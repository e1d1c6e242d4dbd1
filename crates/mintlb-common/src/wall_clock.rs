//! The time of day.

use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time in ms; 0 if the clock is set before 1970. It may step, and differs between machines.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
