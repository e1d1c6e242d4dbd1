//! The platform's signals. They are to be caught before anything else is done, or one that comes early ends the process.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that a process of the tier takes.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    /// Kept so that a change of the settings never ends a process that takes them at its next start.
    _hangup: Signal,
}

impl Signals {
    /// Catches them from now on, on the current runtime.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            _hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Resolves when the process is told to stop.
    pub async fn shutdown_requested(&mut self) {
        tokio::select! { _ = self.terminate.recv() => (), _ = self.interrupt.recv() => () }
    }
}
