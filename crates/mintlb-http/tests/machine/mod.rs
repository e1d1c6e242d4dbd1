//! The limits that tests play with, and a log that nobody reads.

use mintlb_http::limits::Limits;
use std::time::Duration;

/// As a machine of 192 MB and 1024 descriptors has them, where dials take 250 ms at most.
pub fn limits() -> Limits {
    let time = Duration::from_millis;
    Limits {
        body: 64 << 10,
        head: 16 << 10,
        line: 128 << 10,
        list_line: 4 << 20,
        clients: 512,
        links: 384,
        idle_per_worker: 8,
        dial: time(250),
        sound: time(250) / 32,
        idle: time(3750),
        dear: time(50),
        read: time(2000),
        probe: time(500),
        list_silence: time(4000),
        come_back: 0.2,
    }
}

pub fn quiet() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}
