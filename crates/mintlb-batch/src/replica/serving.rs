//! Requests of dispatchers at the active primary.

mod leasing;
mod proposing;
mod quota;
mod reading;

pub use leasing::LeasePlan;
pub use proposing::Proposal;
pub use reading::{PagePlan, PayloadLocation};

use super::{Replica, Role};
use crate::epoch_history::Epoch;

impl Replica {
    /// Whether this is the active primary and the register has confirmed it. Only then may requests
    /// be executed.
    pub fn is_serving(&self) -> bool {
        self.role.primary().is_some_and(|primary| {
            primary.is_active
                && primary.epoch == self.assignment.epoch
                && self.assignment.previous.is_empty()
        })
    }

    /// Whether this is the primary of its epoch, active or not yet.
    pub fn is_primary(&self) -> bool {
        matches!(self.role, Role::Primary(_))
    }

    /// Epoch of the assignment in force at this store.
    pub fn epoch(&self) -> Epoch {
        self.assignment.epoch
    }
}
