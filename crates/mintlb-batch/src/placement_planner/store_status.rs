//! The state of one store.

use crate::heartbeat::StoreHeartbeat;
use std::time::Duration;

/// A store's last heartbeat and its age.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreStatus {
    /// The last heartbeat.
    pub heartbeat: StoreHeartbeat,
    /// Time since the last heartbeat.
    pub since_heartbeat: Duration,
    /// Time since the first heartbeat that this controller received.
    pub since_first_heartbeat: Duration,
}
