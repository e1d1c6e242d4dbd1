//! Logging to standard error, one line for each message, through a bounded buffer: a slow reader makes the buffer
//! drop lines, but never blocks the program.

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::sync::mpsc;
use std::time::Duration;

/// Returns a logger that buffers up to `buffer_lines` lines, and the guard that writes out the buffered lines when it
/// is dropped. With `debug`, single requests and failures are logged, too.
pub fn to_stderr(buffer_lines: usize, debug: bool) -> (Logger, AsyncGuard) {
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    // Write errors are ignored: a closed standard error must not end the program.
    let drain = slog_term::FullFormat::new(decorator)
        .use_utc_timestamp()
        .build()
        .ignore_res();
    let buffered = Async::new(drain)
        .chan_size(buffer_lines)
        .overflow_strategy(OverflowStrategy::DropAndReport);
    let (drain, guard) = buffered.build_with_guard();
    let min_level = if debug { Level::Debug } else { Level::Info };
    (
        Logger::root(LevelFilter::new(drain, min_level).ignore_res(), o!()),
        guard,
    )
}

/// Writes out the buffered lines, waiting for `timeout` at most, so that a blocked standard error does not keep the
/// program from ending.
pub fn flush(guard: AsyncGuard, timeout: Duration) {
    let (flushed, flushed_receiver) = mpsc::channel();
    std::thread::spawn(move || {
        drop(guard);
        flushed.send(()).ok();
    });
    flushed_receiver.recv_timeout(timeout).ok();
}
