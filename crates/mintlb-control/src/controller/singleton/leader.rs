//! The task that does the leader's work while this process leads.

use super::replica_removal::ReplicaRemoval;
use super::shard_placement::ShardPlacement;
use super::tolerance_update::ToleranceUpdate;
use super::worker_expiry::WorkerExpiry;
use crate::controller::contact::messages::LeaderEpoch;
use crate::controller::contact::monitor::ContactMonitor;
use crate::controller::contact::ping_state::STEP;
use crate::controller::workers::unclaimed_workers::UnclaimedWorkers;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

/// The shortest time between two checks.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The interval between two scans for workers that no controller claims.
const UNCLAIMED_SCAN_INTERVAL: Duration = Duration::from_secs(5);

/// The leader's work. Before each part of it, leadership is checked again.
pub struct Leader {
    contact: Arc<ContactMonitor>,
    work: Arc<Notify>,
    tolerance: ToleranceUpdate,
    placement: ShardPlacement,
    replica_removal: ReplicaRemoval,
    worker_expiry: WorkerExpiry,
}

impl Leader {
    /// `work` is notified when leadership or the state of the stores has changed.
    pub fn new(
        contact: Arc<ContactMonitor>,
        work: Arc<Notify>,
        tolerance: ToleranceUpdate,
        placement: ShardPlacement,
        replica_removal: ReplicaRemoval,
        worker_expiry: WorkerExpiry,
    ) -> Leader {
        Leader {
            contact,
            work,
            tolerance,
            placement,
            replica_removal,
            worker_expiry,
        }
    }

    /// Runs until it is aborted.
    pub async fn run(self) {
        let mut led_epoch = None;
        let mut unclaimed = UnclaimedWorkers::default();
        let mut next_scan = Instant::now();
        loop {
            timeout(STEP, self.work.notified()).await.ok();
            let leader_epoch = self.contact.leader_epoch();
            if led_epoch != leader_epoch {
                // Workers count as unclaimed from what this term has observed, not from an earlier
                // one.
                led_epoch = leader_epoch;
                unclaimed = UnclaimedWorkers::default();
                next_scan = Instant::now() + UNCLAIMED_SCAN_INTERVAL;
            }
            if let Some(epoch) = leader_epoch {
                self.maintain_cluster(epoch).await;
                if Instant::now() >= next_scan {
                    next_scan = Instant::now() + UNCLAIMED_SCAN_INTERVAL;
                    self.worker_expiry.scan(&mut unclaimed, epoch).await;
                }
            }
            sleep(MIN_CHECK_INTERVAL).await;
        }
    }

    async fn maintain_cluster(&self, epoch: LeaderEpoch) {
        self.placement.refresh().await;
        if self.contact.is_leader(epoch) {
            self.tolerance.update().await;
        }
        if self.contact.is_leader(epoch) {
            self.placement.place_shards().await;
        }
        if self.contact.is_leader(epoch) {
            self.replica_removal.remove_unresponsive().await;
        }
    }
}
