//! The calls of the program's event loop to optional components, which it does not know by name.

use crate::membership::MembershipUpdate;

/// An optional component. It handles its own events in tasks of its own; the event loop notifies it here.
pub trait Subsystem: Send + Sync {
    /// The list service has reported workers.
    fn on_membership_update(&self, _update: &MembershipUpdate) {}
    /// Clients are to use other processes, or may use this one again.
    fn set_leaving(&self, _leaving: bool) {}
    /// The process is to exit: begin a graceful shutdown.
    fn begin_shutdown(&self) {}
    /// The process exits now: the last chance to send anything.
    fn finish_shutdown(&self) {}
    /// Whether no output waits to be written.
    fn is_flushed(&self) -> bool {
        true
    }
    /// Logs its counts since the last call, if any.
    fn log_counts(&self) {}
    /// Its metrics for the operators' page, one per line.
    fn metrics(&self) -> String {
        String::new()
    }
}
