//! What a controller knows of the stores from their heartbeats.

use super::LIVE_TIMEOUT;
use crate::heartbeat::{ShardReport, StoreHeartbeat};
use mintlb_common::placement::{Placement, StoreEntry, StoreId};
use rustc_hash::FxHashMap;
use std::time::Duration;

/// The most stores a controller keeps in mind.
const MAX_STORES: usize = 1024;
/// A store that was silent for so long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(900);

/// Who did not look for so long does not know whether a shard was in charge meanwhile.
const MAX_VIEW_GAP: Duration = Duration::from_millis(1500);

/// Collects heartbeats. Times are of the process's steady clock.
#[derive(Clone, Debug)]
pub struct StoreTable {
    since: Duration,
    stores: FxHashMap<StoreId, StoreContact>,
    /// By shard: the epoch, since when it is known, and whether it has been in charge.
    shards: Vec<ShardActivity>,
    /// By shard: the replicas that were last reported to be caught up, by the primary of the highest epoch.
    caught_up: FxHashMap<u32, CaughtUp>,
    /// When the shards were last looked at.
    viewed: Duration,
}

/// The replicas that a primary has reported to be caught up.
#[derive(Clone, Debug, Default)]
struct CaughtUp {
    epoch: u64,
    replicas: Vec<StoreId>,
}

#[derive(Clone, Debug)]
struct StoreContact {
    heartbeat: StoreHeartbeat,
    first: Duration,
    last: Duration,
}

/// How long a shard's epoch is known without its primary being in charge.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShardActivity {
    /// The epoch.
    pub epoch: u64,
    /// Since when its primary is not in charge.
    pub inactive_since: Option<Duration>,
}

/// What is known of the stores at a moment.
#[derive(Clone, Debug, Default)]
pub struct ClusterSnapshot {
    /// The stores heard of.
    pub stores: Vec<StoreStatus>,
    /// How long heartbeats have been listened to: a store never heard of is silent for as long.
    pub observed_for: Duration,
    /// By shard, its epoch and for how long its primary is not in charge.
    pub inactive: Vec<(u64, Duration)>,
    /// By shard, the replicas that were last reported to be caught up.
    pub caught_up: FxHashMap<u32, Vec<StoreId>>,
}

/// A store as its heartbeats show it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreStatus {
    /// Its identity.
    pub id: StoreId,
    /// Its machine's name.
    pub node_name: String,
    /// Address of its transport.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Since its last heartbeat.
    pub since_heartbeat: Duration,
    /// Since its first heartbeat.
    pub since_first_heartbeat: Duration,
    /// What it said of the shards whose primary it is.
    pub reports: Vec<ShardReport>,
    /// It was told to stop.
    pub draining: bool,
}

impl StoreTable {
    /// Begins to listen.
    pub fn new(now: Duration) -> StoreTable {
        StoreTable {
            since: now,
            stores: FxHashMap::default(),
            shards: Vec::new(),
            caught_up: FxHashMap::default(),
            viewed: now,
        }
    }

    /// Notes a heartbeat. True if what it says of shards is new.
    pub fn record_heartbeat(&mut self, heartbeat: StoreHeartbeat, now: Duration) -> bool {
        self.stores
            .retain(|_, contact| now.saturating_sub(contact.last) < FORGET_AFTER);
        for report in heartbeat.shards.iter().filter(|report| report.active) {
            let known = self.caught_up.entry(report.shard).or_default();
            if report.epoch >= known.epoch {
                *known = CaughtUp {
                    epoch: report.epoch,
                    replicas: report.caught_up.clone(),
                };
            }
        }
        if let Some(contact) = self.stores.get_mut(&heartbeat.id) {
            let changed = contact.heartbeat != heartbeat;
            (contact.heartbeat, contact.last) = (heartbeat, now);
            return changed;
        }
        if self.stores.len() < MAX_STORES {
            self.stores.insert(
                heartbeat.id,
                StoreContact {
                    heartbeat,
                    first: now,
                    last: now,
                },
            );
            return true;
        }
        false
    }

    /// What is known now, under the placement in force.
    pub fn snapshot(&mut self, current: &Placement, now: Duration) -> ClusterSnapshot {
        let stores = self.stores.values().map(|contact| StoreStatus {
            id: contact.heartbeat.id,
            node_name: contact.heartbeat.node_name.clone(),
            address: contact.heartbeat.address.clone(),
            zone: contact.heartbeat.zone.clone(),
            since_heartbeat: now.saturating_sub(contact.last),
            since_first_heartbeat: now.saturating_sub(contact.first),
            reports: contact.heartbeat.shards.clone(),
            draining: contact.heartbeat.draining,
        });
        let mut view = ClusterSnapshot {
            stores: stores.collect(),
            observed_for: now.saturating_sub(self.since),
            inactive: Vec::new(),
            caught_up: self
                .caught_up
                .iter()
                .map(|(shard, known)| (*shard, known.replicas.clone()))
                .collect(),
        };
        view.stores.sort_by_key(|store| store.id);
        if now.saturating_sub(self.viewed) > MAX_VIEW_GAP {
            self.shards.clear();
        }
        self.viewed = now;
        self.shards
            .resize(current.shards.len(), ShardActivity::default());
        for (shard, (known, assignment)) in self.shards.iter_mut().zip(&current.shards).enumerate()
        {
            let primary = assignment.replicas.first().copied().unwrap_or(0);
            let active = view
                .report(primary, shard, assignment.epoch)
                .is_some_and(|report| report.active);
            if known.epoch != assignment.epoch {
                *known = ShardActivity {
                    epoch: assignment.epoch,
                    inactive_since: None,
                };
            }
            match active {
                true => known.inactive_since = None,
                false => _ = known.inactive_since.get_or_insert(now),
            }
            let inactive = known
                .inactive_since
                .map_or(Duration::ZERO, |since| now.saturating_sub(since));
            view.inactive.push((known.epoch, inactive));
        }
        view
    }
}

impl ClusterSnapshot {
    /// A store that was heard of.
    pub fn store(&self, id: StoreId) -> Option<&StoreStatus> {
        self.stores.iter().find(|store| store.id == id)
    }

    /// How long a store has been silent.
    pub fn since_heartbeat(&self, id: StoreId) -> Duration {
        self.store(id)
            .map_or(self.observed_for, |store| store.since_heartbeat)
    }

    /// Whether a store was told to stop.
    pub fn is_draining(&self, id: StoreId) -> bool {
        self.store(id).is_some_and(|store| store.draining)
    }

    /// Stores that are heard of.
    pub fn live_stores(&self) -> impl Iterator<Item = &StoreStatus> {
        self.stores
            .iter()
            .filter(|store| store.since_heartbeat < LIVE_TIMEOUT)
    }

    /// What the primary of this epoch says of its shard.
    pub fn report(&self, primary: StoreId, shard: usize, epoch: u64) -> Option<&ShardReport> {
        let reports = &self.store(primary)?.reports;
        reports
            .iter()
            .find(|report| report.shard as usize == shard && report.epoch == epoch)
    }

    /// The replicas of a shard that were last reported to be caught up.
    pub fn last_caught_up(&self, shard: usize) -> Vec<StoreId> {
        self.caught_up
            .get(&(shard as u32))
            .cloned()
            .unwrap_or_default()
    }

    /// How long the primary of this epoch has not been in charge.
    pub fn inactive_for(&self, shard: usize, epoch: u64) -> Duration {
        let known = self
            .inactive
            .get(shard)
            .filter(|(known, _)| *known == epoch);
        known.map_or(Duration::ZERO, |(_, inactive)| *inactive)
    }

    /// Whether another store has come up at the address of this silent one: its disk is lost.
    pub fn is_replaced(&self, entry: &StoreEntry) -> bool {
        let another = |store: &&StoreStatus| store.address == entry.address && store.id != entry.id;
        self.since_heartbeat(entry.id) >= LIVE_TIMEOUT
            && self.live_stores().any(|store| another(&store))
    }
}

impl StoreStatus {
    /// The store as the placement names it.
    pub fn entry(&self) -> StoreEntry {
        StoreEntry {
            id: self.id,
            node_name: self.node_name.clone(),
            address: self.address.clone(),
            zone: self.zone.clone(),
            decommissioning: false,
        }
    }
}
