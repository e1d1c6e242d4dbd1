//! The losses that the register's quorums outlast, kept as the settings have them.

use super::CHANGE_TIMEOUT;
use crate::controller::register::RegisterClient;
use crate::controller::settings::SharedSettings;
use mintlb_register::change::{Change, ChangeOutcome};
use std::sync::Arc;

/// Writes the tolerance to the register.
pub struct ToleranceUpdate {
    register: Arc<RegisterClient>,
    settings: Arc<SharedSettings>,
}

impl ToleranceUpdate {
    /// The tolerance is that of these settings.
    pub fn new(register: Arc<RegisterClient>, settings: Arc<SharedSettings>) -> ToleranceUpdate {
        ToleranceUpdate { register, settings }
    }

    /// Writes the tolerance if the register has another one and all members of its set tell their
    /// failure domains: those of an earlier release would drop it.
    pub async fn update(&self) {
        let Some(chosen) = self.register.chosen() else {
            return;
        };
        let set = &chosen.state.replicas;
        let tolerance = self.settings.fault_tolerance();
        if set.tolerance == Some(tolerance) || set.is_joint() || !set.knows_all_domains() {
            return;
        }
        let change = Change::SetFaultTolerance(tolerance);
        // Without success the next look tries again.
        if let Ok(outcome) = self.register.change(change, CHANGE_TIMEOUT).await
            && outcome.change == ChangeOutcome::Applied
        {
            log::info!(
                "singleton: the register tolerates the loss of {} machines, {} zones or {} regions, epoch {}",
                tolerance.machines,
                tolerance.zones,
                tolerance.regions,
                outcome.chosen.state.replicas.epoch
            );
        }
    }
}
