//! The signals of the platform. They have to be handled before anything else is started: a signal
//! that arrives earlier ends the process.

use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The handled signals of a process.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    /// Handled only so that SIGHUP, sent after a change of the settings, does not end a process
    /// that reads them at its next start.
    _hangup: Signal,
}

impl Signals {
    /// Handles the signals from now on, on the current runtime.
    ///
    /// # Errors
    ///
    /// If a handler can't be installed.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            _hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Resolves when SIGTERM or SIGINT arrives.
    pub async fn shutdown_requested(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => (),
            _ = self.interrupt.recv() => (),
        }
    }
}
