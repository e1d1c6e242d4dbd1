//! Removal of unresponsive replicas from the register's replica set.

use super::CHANGE_TIMEOUT;
use crate::controller::contact::monitor::ContactMonitor;
use crate::controller::register::RegisterClient;
use crate::controller::register::membership::complete_reconfiguration;
use crate::controller::settings::SharedSettings;
use mintlb_register::change::{Change, ChangeOutcome};
use std::sync::Arc;

/// Removes replicas.
pub struct ReplicaRemoval {
    register: Arc<RegisterClient>,
    contact: Arc<ContactMonitor>,
    settings: Arc<SharedSettings>,
}

impl ReplicaRemoval {
    /// `contact` tells which replicas are unresponsive.
    pub fn new(
        register: Arc<RegisterClient>,
        contact: Arc<ContactMonitor>,
        settings: Arc<SharedSettings>,
    ) -> ReplicaRemoval {
        ReplicaRemoval {
            register,
            contact,
            settings,
        }
    }

    /// Removes one unresponsive replica from a replica set that is larger than the fault tolerance
    /// requires. In a smaller one it stays: its disk may hold what was acknowledged.
    pub async fn remove_unresponsive(&self) {
        let Some(chosen) = self.register.chosen() else {
            return;
        };
        let set = &chosen.state.replicas;
        if set.is_joint() {
            return;
        }
        let tolerance = self.settings.fault_tolerance();
        let mut unresponsive = self.contact.unresponsive_replicas(set).into_iter();
        let Some(id) = unresponsive.find(|id| set.can_spare(*id, &tolerance)) else {
            return;
        };
        let change = Change::RemoveReplica { id, tolerance };
        let Ok(outcome) = self.register.change(change, CHANGE_TIMEOUT).await else {
            return;
        };
        if outcome.change == ChangeOutcome::Applied {
            log::info!(
                "singleton: removed unresponsive replica {:x} from the replica set, epoch {}",
                id.0,
                outcome.chosen.state.replicas.epoch
            );
            // Without success, membership completes it after its next read.
            complete_reconfiguration(&self.register).await.ok();
        }
    }
}
