//! Budgets shared by several schedulers: checked before an attempt is decided, and charged as its last byte is
//! written.

use std::fmt::Debug;
use std::sync::Arc;

/// The kind of charge that an attempt causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expense {
    /// The attempt is not the first of its work unit.
    pub is_retry: bool,
}

/// This scheduler's current part of the shared budgets.
pub trait SharedBudgets: Send + Sync {
    /// Whether the budgets that limit this charge have something left.
    fn has_available(&self, expense: Expense) -> bool;
    /// Reserves the charge; `None` if the budgets are exhausted.
    fn reserve(&self, expense: Expense) -> Option<Arc<dyn Reservation>>;
}

/// A charge reserved for one attempt. Dropped without a commit, it is released.
pub trait Reservation: Debug + Send + Sync {
    /// Charges the budget. Called right before the write that completes the attempt, as a reservation may have
    /// expired by then; on `false` the byte must not be written.
    fn commit(&self) -> bool;
    /// Takes back a commit: the operating system did not accept the byte.
    fn refund(&self);
}
