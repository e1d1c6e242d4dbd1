//! What a controller knows of the stores from their heartbeats.

use super::LIVE;
use crate::heartbeat::{ShardReport, StoreHeartbeat};
use mintlb_common::placement::{Placement, StoreEntry, StoreId};
use rustc_hash::FxHashMap;
use std::time::Duration;

/// The most stores a controller keeps in mind.
const MOST_STORES: usize = 1024;
/// A store that was silent for so long is forgotten.
const FORGET: Duration = Duration::from_secs(900);

/// Who did not look for so long does not know whether a shard was in charge meanwhile.
const LOOKED_AWAY: Duration = Duration::from_millis(1500);

/// Collects heartbeats. Times are of the process's steady clock.
#[derive(Clone, Debug)]
pub struct StoreTable {
    since: Duration,
    stores: FxHashMap<StoreId, Heard>,
    /// By shard: the epoch, since when it is known, and whether it has been in charge.
    shards: Vec<ShardView>,
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
struct Heard {
    heartbeat: StoreHeartbeat,
    first: Duration,
    last: Duration,
}

/// How long a shard's epoch is known without its primary being in charge.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShardView {
    /// The epoch.
    pub epoch: u64,
    /// Since when its primary is not in charge.
    pub unsettled_since: Option<Duration>,
}

/// What is known of the stores at a moment.
#[derive(Clone, Debug, Default)]
pub struct StoreView {
    /// The stores heard of.
    pub stores: Vec<StoreSeen>,
    /// How long heartbeats have been listened to: a store never heard of is silent for as long.
    pub watched: Duration,
    /// By shard, its epoch and for how long its primary is not in charge.
    pub unsettled: Vec<(u64, Duration)>,
    /// By shard, the replicas that were last reported to be caught up.
    pub caught_up: FxHashMap<u32, Vec<StoreId>>,
}

/// A store as its heartbeats show it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreSeen {
    /// Its identity.
    pub id: StoreId,
    /// Its machine's name.
    pub node_name: String,
    /// Address of its transport.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Since its last heartbeat.
    pub silence: Duration,
    /// Since its first heartbeat.
    pub known_for: Duration,
    /// What it said of the shards whose primary it is.
    pub reports: Vec<ShardReport>,
    /// It was told to stop.
    pub leaving: bool,
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
    pub fn note(&mut self, heartbeat: StoreHeartbeat, now: Duration) -> bool {
        self.stores
            .retain(|_, heard| now.saturating_sub(heard.last) < FORGET);
        for report in heartbeat.shards.iter().filter(|report| report.in_charge) {
            let known = self.caught_up.entry(report.shard).or_default();
            if report.epoch >= known.epoch {
                *known = CaughtUp {
                    epoch: report.epoch,
                    replicas: report.caught_up.clone(),
                };
            }
        }
        if let Some(heard) = self.stores.get_mut(&heartbeat.id) {
            let news = heard.heartbeat != heartbeat;
            (heard.heartbeat, heard.last) = (heartbeat, now);
            return news;
        }
        if self.stores.len() < MOST_STORES {
            self.stores.insert(
                heartbeat.id,
                Heard {
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
    pub fn view(&mut self, current: &Placement, now: Duration) -> StoreView {
        let stores = self.stores.values().map(|heard| StoreSeen {
            id: heard.heartbeat.id,
            node_name: heard.heartbeat.node_name.clone(),
            address: heard.heartbeat.address.clone(),
            zone: heard.heartbeat.zone.clone(),
            silence: now.saturating_sub(heard.last),
            known_for: now.saturating_sub(heard.first),
            reports: heard.heartbeat.shards.clone(),
            leaving: heard.heartbeat.leaving,
        });
        let mut view = StoreView {
            stores: stores.collect(),
            watched: now.saturating_sub(self.since),
            unsettled: Vec::new(),
            caught_up: self
                .caught_up
                .iter()
                .map(|(shard, known)| (*shard, known.replicas.clone()))
                .collect(),
        };
        view.stores.sort_by_key(|store| store.id);
        if now.saturating_sub(self.viewed) > LOOKED_AWAY {
            self.shards.clear();
        }
        self.viewed = now;
        self.shards
            .resize(current.shards.len(), ShardView::default());
        for (shard, (known, assignment)) in self.shards.iter_mut().zip(&current.shards).enumerate()
        {
            let primary = assignment.replicas.first().copied().unwrap_or(0);
            let in_charge = view
                .report(primary, shard, assignment.epoch)
                .is_some_and(|report| report.in_charge);
            if known.epoch != assignment.epoch {
                *known = ShardView {
                    epoch: assignment.epoch,
                    unsettled_since: None,
                };
            }
            match in_charge {
                true => known.unsettled_since = None,
                false => _ = known.unsettled_since.get_or_insert(now),
            }
            let unsettled = known
                .unsettled_since
                .map_or(Duration::ZERO, |since| now.saturating_sub(since));
            view.unsettled.push((known.epoch, unsettled));
        }
        view
    }
}

impl StoreView {
    /// A store that was heard of.
    pub fn store(&self, id: StoreId) -> Option<&StoreSeen> {
        self.stores.iter().find(|store| store.id == id)
    }

    /// How long a store has been silent.
    pub fn silence(&self, id: StoreId) -> Duration {
        self.store(id).map_or(self.watched, |store| store.silence)
    }

    /// Whether a store was told to stop.
    pub fn is_leaving(&self, id: StoreId) -> bool {
        self.store(id).is_some_and(|store| store.leaving)
    }

    /// Stores that are heard of.
    pub fn live(&self) -> impl Iterator<Item = &StoreSeen> {
        self.stores.iter().filter(|store| store.silence < LIVE)
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
    pub fn unsettled_for(&self, shard: usize, epoch: u64) -> Duration {
        let known = self
            .unsettled
            .get(shard)
            .filter(|(known, _)| *known == epoch);
        known.map_or(Duration::ZERO, |(_, unsettled)| *unsettled)
    }

    /// Whether another store has come up at the address of this silent one: its disk is lost.
    pub fn is_replaced(&self, entry: &StoreEntry) -> bool {
        let another = |store: &&StoreSeen| store.address == entry.address && store.id != entry.id;
        self.silence(entry.id) >= LIVE && self.live().any(|store| another(&store))
    }
}

impl StoreSeen {
    /// The store as the placement names it.
    pub fn entry(&self) -> StoreEntry {
        StoreEntry {
            id: self.id,
            node_name: self.node_name.clone(),
            address: self.address.clone(),
            zone: self.zone.clone(),
            retiring: false,
        }
    }
}
