//! The heartbeats that a controller has received.

use super::cluster_snapshot::ClusterSnapshot;
use super::shard_activity::ShardActivity;
use super::store_status::StoreStatus;
use crate::heartbeat::StoreHeartbeat;
use mintlb_common::placement::{Placement, StoreId};
use rustc_hash::FxHashMap;
use std::time::Duration;

/// The limit of stores in the table.
const MAX_STORES: usize = 1024;
/// A store without a heartbeat for this time is removed from the table.
const FORGET_AFTER: Duration = Duration::from_secs(900);
/// After a longer gap between two snapshots it is unknown whether a shard was active in between.
const MAX_SNAPSHOT_GAP: Duration = Duration::from_millis(1500);

/// The last heartbeat of each store. Instants are of the process's monotonic clock.
#[derive(Clone, Debug)]
pub struct StoreTable {
    observing_since: Duration,
    stores: FxHashMap<StoreId, ReceivedHeartbeat>,
    activity: Vec<ShardActivity>,
    /// For each shard, the report of the highest epoch.
    caught_up: FxHashMap<u32, CaughtUpReplicas>,
    last_snapshot_at: Duration,
}

#[derive(Clone, Debug)]
struct ReceivedHeartbeat {
    heartbeat: StoreHeartbeat,
    first_at: Duration,
    last_at: Duration,
}

/// The replicas that the active primary of an epoch has reported to have caught up.
#[derive(Clone, Debug, Default)]
struct CaughtUpReplicas {
    epoch: u64,
    replicas: Vec<StoreId>,
}

impl StoreTable {
    /// An empty table that receives heartbeats from now on.
    pub fn new(now: Duration) -> StoreTable {
        StoreTable {
            observing_since: now,
            stores: FxHashMap::default(),
            activity: Vec::new(),
            caught_up: FxHashMap::default(),
            last_snapshot_at: now,
        }
    }

    /// Records a heartbeat. Returns whether it differs from the store's former one.
    pub fn record_heartbeat(&mut self, heartbeat: StoreHeartbeat, now: Duration) -> bool {
        self.stores
            .retain(|_, store| now.saturating_sub(store.last_at) < FORGET_AFTER);
        self.record_caught_up(&heartbeat);
        if let Some(store) = self.stores.get_mut(&heartbeat.id) {
            let is_changed = store.heartbeat != heartbeat;
            store.heartbeat = heartbeat;
            store.last_at = now;
            return is_changed;
        }
        if self.stores.len() >= MAX_STORES {
            return false;
        }
        let received = ReceivedHeartbeat {
            heartbeat,
            first_at: now,
            last_at: now,
        };
        self.stores.insert(received.heartbeat.id, received);
        true
    }

    /// A former primary that is cut off from its replicas may still report: its epoch is lower and
    /// does not count.
    fn record_caught_up(&mut self, heartbeat: &StoreHeartbeat) {
        for report in heartbeat.shards.iter().filter(|report| report.active) {
            let known = self.caught_up.entry(report.shard).or_default();
            if report.epoch >= known.epoch {
                known.epoch = report.epoch;
                known.replicas = report.caught_up.clone();
            }
        }
    }

    /// The state of the stores now, under the current placement.
    pub fn snapshot(&mut self, current: &Placement, now: Duration) -> ClusterSnapshot {
        let caught_up = self.caught_up.iter();
        let mut snapshot = ClusterSnapshot {
            stores: self.store_statuses(now),
            observed_for: now.saturating_sub(self.observing_since),
            inactivity: Vec::new(),
            caught_up: caught_up
                .map(|(shard, known)| (*shard, known.replicas.clone()))
                .collect(),
        };
        self.update_activity(current, &snapshot, now);
        let activity = self.activity.iter();
        snapshot.inactivity = activity.map(|shard| shard.inactivity(now)).collect();
        snapshot
    }

    fn store_statuses(&self, now: Duration) -> Vec<StoreStatus> {
        let statuses = self.stores.values().map(|store| StoreStatus {
            heartbeat: store.heartbeat.clone(),
            since_heartbeat: now.saturating_sub(store.last_at),
            since_first_heartbeat: now.saturating_sub(store.first_at),
        });
        let mut statuses: Vec<StoreStatus> = statuses.collect();
        statuses.sort_by_key(|store| store.heartbeat.id);
        statuses
    }

    fn update_activity(&mut self, current: &Placement, snapshot: &ClusterSnapshot, now: Duration) {
        if now.saturating_sub(self.last_snapshot_at) > MAX_SNAPSHOT_GAP {
            self.activity.clear();
        }
        self.last_snapshot_at = now;
        self.activity
            .resize(current.shards.len(), ShardActivity::default());
        for (shard, assignment) in current.shards.iter().enumerate() {
            let report = snapshot.primary_report(shard, assignment);
            let is_active = report.is_some_and(|report| report.active);
            self.activity[shard].update(assignment.epoch, is_active, now);
        }
    }
}
