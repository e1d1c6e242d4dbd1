//! The settings in force, shared by the parts of a controller.

use mintlb_batch::placement_planner::PlacementPolicy;
use mintlb_common::quorum::FaultTolerance;
use mintlb_common::settings::NodeSettings;
use mintlb_register::replica_set::ReplicaSet;
use parking_lot::Mutex;
use std::sync::Arc;

/// Settings that can be replaced while the process runs.
pub struct SharedSettings(Mutex<Arc<NodeSettings>>);

impl SharedSettings {
    /// Starts with these settings.
    pub fn new(settings: NodeSettings) -> SharedSettings {
        SharedSettings(Mutex::new(Arc::new(settings)))
    }

    /// The settings in force.
    pub fn get(&self) -> Arc<NodeSettings> {
        self.0.lock().clone()
    }

    /// Replaces the settings.
    pub fn replace(&self, settings: NodeSettings) {
        *self.0.lock() = Arc::new(settings);
    }

    /// The losses that are tolerated at once.
    pub fn fault_tolerance(&self) -> FaultTolerance {
        self.get().fault_tolerance
    }

    /// What placements of shards have to bear, where these controllers hold the register.
    pub fn placement_policy(&self, set: &ReplicaSet) -> PlacementPolicy {
        PlacementPolicy {
            tolerance: self.fault_tolerance(),
            supports_quorum_rules: set.members().all(|replica| replica.region.is_some()),
        }
    }
}
