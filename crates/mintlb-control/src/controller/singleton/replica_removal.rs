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
        let min_replicas = self.settings.min_replicas();
        if set.is_joint() || set.current.len() <= min_replicas {
            return;
        }
        let Some(id) = self.contact.unresponsive_replicas(set).first().copied() else {
            return;
        };
        let change = Change::RemoveReplica { id, min_replicas };
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
