//! Limits that are not this scheduler's alone: looked at before an allocation is decided on, paid at its byte.

use std::fmt::Debug;
use std::sync::Arc;

/// What an allocation would spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expense {
    /// It is not its work unit's first.
    pub is_retry: bool,
}

/// What this scheduler may spend now of what belongs to many.
pub trait SharedBudgets: Send + Sync {
    fn has_available(&self, spend: Expense) -> bool;
    /// Sets it aside, if it is there.
    fn reserve(&self, spend: Expense) -> Option<Arc<dyn Reservation>>;
}

/// Set aside for one allocation. Dropped unpaid, it is free again.
pub trait Reservation: Debug + Send + Sync {
    /// Asked right before the write that makes the allocation whole, by the clock of that moment: an answer of old may
    /// not hold any more. If not, the byte must not be written.
    fn commit(&self) -> bool;
    /// The system did not take the byte after all.
    fn refund(&self);
}
