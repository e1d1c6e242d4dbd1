//! What the stores' heartbeats tell of them.

use mintlb_batch::heartbeat::StoreHeartbeat;
use mintlb_batch::placement_planner::{ClusterSnapshot, StoreTable};
use mintlb_common::placement::Placement;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The stores as their heartbeats show them.
pub struct StoreMonitor {
    table: Mutex<StoreTable>,
    started_at: Instant,
    leader_work: Arc<Notify>,
}

impl StoreMonitor {
    /// No store is known yet. `leader_work` is notified of heartbeats that may require another
    /// placement.
    pub fn new(leader_work: Arc<Notify>) -> StoreMonitor {
        StoreMonitor {
            table: Mutex::new(StoreTable::new(Duration::ZERO)),
            started_at: Instant::now(),
            leader_work,
        }
    }

    /// The stores under a placement, as their heartbeats show them now.
    pub fn snapshot(&self, placement: &Placement) -> ClusterSnapshot {
        self.table
            .lock()
            .snapshot(placement, self.started_at.elapsed())
    }

    /// Records a heartbeat.
    pub fn record_heartbeat(&self, heartbeat: StoreHeartbeat) {
        let is_relevant = self
            .table
            .lock()
            .record_heartbeat(heartbeat, self.started_at.elapsed());
        if is_relevant {
            self.leader_work.notify_one();
        }
    }
}
