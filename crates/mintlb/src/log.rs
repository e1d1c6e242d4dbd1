//! The log: one line each to standard error, through a buffer that a slow sink can fill but not stop.

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::sync::mpsc;
use std::time::Duration;

/// A log, and what writes out its last lines. Each single failure is a debug line.
pub fn to_stderr(lines: usize, debug: bool) -> (Logger, AsyncGuard) {
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    // A sink that is gone is no reason to fall over: what cannot be written is dropped.
    let drain = slog_term::FullFormat::new(decorator)
        .use_utc_timestamp()
        .build()
        .ignore_res();
    let waiting = Async::new(drain)
        .chan_size(lines)
        .overflow_strategy(OverflowStrategy::DropAndReport);
    let (drain, guard) = waiting.build_with_guard();
    let least = if debug { Level::Debug } else { Level::Info };
    (
        Logger::root(LevelFilter::new(drain, least).ignore_res(), o!()),
        guard,
    )
}

/// Waits for the last lines, but not for long: a sink that takes nothing must not keep the program.
pub fn finish(guard: AsyncGuard, wait: Duration) {
    let (written, told) = mpsc::channel();
    std::thread::spawn(move || {
        drop(guard);
        written.send(()).ok();
    });
    told.recv_timeout(wait).ok();
}
