//! Limits that are not this scheduler's alone: looked at before an allocation is decided on, paid at its byte.

use std::fmt::Debug;
use std::sync::Arc;

/// What an allocation would spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spend {
    /// It is not its work unit's first.
    pub again: bool,
}

/// What this scheduler may spend now of what belongs to many.
pub trait Purse: Send + Sync {
    fn has(&self, spend: Spend) -> bool;
    /// Sets it aside, if it is there.
    fn slip(&self, spend: Spend) -> Option<Arc<dyn Slip>>;
}

/// Set aside for one allocation. Dropped unpaid, it is free again.
pub trait Slip: Debug + Send + Sync {
    /// Asked right before the write that makes the allocation whole, by the clock of that moment: an answer of old may
    /// not hold any more. If not, the byte must not be written.
    fn pay(&self) -> bool;
    /// The system did not take the byte after all.
    fn back(&self);
}
