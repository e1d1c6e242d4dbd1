//! What the program's loop says to the parts that are joined to it. It knows none of them by name.

use crate::membership::MembershipUpdate;

/// A part that can be left out. It takes its events by tasks of its own, and hears the loop's words here.
pub trait Subsystem: Send + Sync {
    /// What the list service told of workers.
    fn on_membership_update(&self, _told: &MembershipUpdate) {}
    /// Whether clients are to go elsewhere for now.
    fn set_leaving(&self, _leaving: bool) {}
    /// The program is to end.
    fn begin_shutdown(&self) {}
    /// The program ends now: the last word that it may say.
    fn finish_shutdown(&self) {}
    /// Nothing of it waits to be written.
    fn is_flushed(&self) -> bool {
        true
    }
    /// A line of counts for the log, where there is something to count.
    fn log_counts(&self) {}
    /// Its figures for the operators' page, a line each.
    fn metrics(&self) -> String {
        String::new()
    }
}
