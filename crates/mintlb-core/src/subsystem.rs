//! What the program's loop says to the parts that are joined to it. It knows none of them by name.

use crate::members::Told;

/// A part that can be left out. It takes its events by tasks of its own, and hears the loop's words here.
pub trait Subsystem: Send + Sync {
    /// What the list service told of workers.
    fn hear(&self, _told: &Told) {}
    /// Whether clients are to go elsewhere for now.
    fn leave(&self, _leaving: bool) {}
    /// The program is to end.
    fn stop(&self) {}
    /// The program ends now: the last word that it may say.
    fn end(&self) {}
    /// Nothing of it waits to be written.
    fn is_quiet(&self) -> bool {
        true
    }
    /// A line of counts for the log, where there is something to count.
    fn count(&self) {}
    /// Its figures for the operators' page, a line each.
    fn figures(&self) -> String {
        String::new()
    }
}
