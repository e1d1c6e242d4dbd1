//! What a controller knows of the stores at one instant.

use super::shard_activity::ShardInactivity;
use super::store_status::StoreStatus;
use crate::heartbeat::ShardReport;
use mintlb_common::placement::{ShardAssignment, StoreEntry, StoreId};
use rustc_hash::FxHashMap;
use std::time::Duration;

/// A store is live if its last heartbeat is younger than this.
pub const LIVE_TIMEOUT: Duration = Duration::from_millis(1000);

/// The state of all stores at one instant, as known from their heartbeats.
#[derive(Clone, Debug, Default)]
pub struct ClusterSnapshot {
    /// The stores that have sent heartbeats, by id.
    pub stores: Vec<StoreStatus>,
    /// For how long heartbeats have been received. A store without any counts as unresponsive for
    /// as long.
    pub observed_for: Duration,
    /// For each shard, for how long it has had no active primary.
    pub inactivity: Vec<ShardInactivity>,
    /// For each shard, the replicas that were last reported to have caught up.
    pub caught_up: FxHashMap<u32, Vec<StoreId>>,
}

impl ClusterSnapshot {
    /// The state of a store that has sent a heartbeat.
    pub fn store(&self, id: StoreId) -> Option<&StoreStatus> {
        self.stores.iter().find(|store| store.heartbeat.id == id)
    }

    /// Time since the last heartbeat of a store.
    pub fn since_heartbeat(&self, id: StoreId) -> Duration {
        self.store(id)
            .map_or(self.observed_for, |store| store.since_heartbeat)
    }

    /// Whether the last heartbeat of a store is younger than [`LIVE_TIMEOUT`].
    pub fn is_live(&self, id: StoreId) -> bool {
        self.since_heartbeat(id) < LIVE_TIMEOUT
    }

    /// Whether a store is shutting down.
    pub fn is_draining(&self, id: StoreId) -> bool {
        self.store(id).is_some_and(|store| store.heartbeat.draining)
    }

    /// The stores whose last heartbeat is younger than [`LIVE_TIMEOUT`].
    pub fn live_stores(&self) -> impl Iterator<Item = &StoreStatus> {
        self.stores
            .iter()
            .filter(|store| store.since_heartbeat < LIVE_TIMEOUT)
    }

    /// The report of a shard's primary for the epoch of this assignment.
    pub fn primary_report(
        &self,
        shard: usize,
        assignment: &ShardAssignment,
    ) -> Option<&ShardReport> {
        let primary = self.store(*assignment.replicas.first()?)?;
        primary
            .heartbeat
            .shards
            .iter()
            .find(|report| report.shard as usize == shard && report.epoch == assignment.epoch)
    }

    /// The replicas of a shard that were last reported to have caught up.
    pub fn last_caught_up(&self, shard: usize) -> Vec<StoreId> {
        self.caught_up
            .get(&(shard as u32))
            .cloned()
            .unwrap_or_default()
    }

    /// For how long the primary of this epoch has not been active; zero if this is unknown.
    pub fn inactive_for(&self, shard: usize, epoch: u64) -> Duration {
        match self.inactivity.get(shard) {
            Some(shard) if shard.epoch == epoch => shard.inactive_for,
            _ => Duration::ZERO,
        }
    }

    /// Whether the disk of a store is lost: it is not live, and another store runs at its address.
    pub fn is_replaced(&self, entry: &StoreEntry) -> bool {
        let has_same_address = |store: &StoreStatus| {
            store.heartbeat.address == entry.address && store.heartbeat.id != entry.id
        };
        !self.is_live(entry.id) && self.live_stores().any(has_same_address)
    }
}
