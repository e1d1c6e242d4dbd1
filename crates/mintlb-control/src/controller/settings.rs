//! The settings in force, shared by the parts of a controller.

use mintlb_common::settings::NodeSettings;
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

    /// The number of machines whose simultaneous loss is tolerated.
    pub fn tolerated_failures(&self) -> usize {
        self.get().fault_tolerance.machines
    }

    /// The size of the smallest replica set that tolerates these losses: a majority remains.
    pub fn min_replicas(&self) -> usize {
        2 * self.tolerated_failures() + 1
    }
}
