//! The stores that a placement lists.

use super::cluster_snapshot::ClusterSnapshot;
use crate::heartbeat::StoreHeartbeat;
use mintlb_common::placement::{Placement, StoreEntry, StoreId};
use rustc_hash::FxHashSet;
use std::time::Duration;

/// A store without shards is removed when it has sent no heartbeat for this time.
const FORGET_AFTER: Duration = Duration::from_secs(10);
/// The same for a decommissioned store: the operator may still ask for its status.
const FORGET_DECOMMISSIONED_AFTER: Duration = Duration::from_secs(600);

/// Adds live stores, updates their addresses and removes stores that are gone and have no shard.
pub(super) fn update(next: &mut Placement, snapshot: &ClusterSnapshot) {
    for store in snapshot.live_stores() {
        let heartbeat = &store.heartbeat;
        let known = next
            .stores
            .iter_mut()
            .find(|entry| entry.id == heartbeat.id);
        match known {
            Some(entry) => update_entry(entry, heartbeat),
            None => next.stores.push(new_entry(next, heartbeat)),
        }
    }
    let assigned = assigned_stores(next);
    next.stores
        .retain(|entry| assigned.contains(&entry.id) || !is_expired(entry, snapshot));
}

fn update_entry(entry: &mut StoreEntry, heartbeat: &StoreHeartbeat) {
    entry.address.clone_from(&heartbeat.address);
    entry.zone.clone_from(&heartbeat.zone);
    entry.region.clone_from(&heartbeat.region);
    entry.counts_toward_quorum = heartbeat.counts_toward_quorum;
}

/// The entry of a new store. If its machine is being decommissioned and has lost its disk, the new
/// store is decommissioned as well.
fn new_entry(next: &Placement, heartbeat: &StoreHeartbeat) -> StoreEntry {
    let is_same_machine = |entry: &StoreEntry| {
        entry.node_name == heartbeat.node_name && entry.address == heartbeat.address
    };
    let mut stores = next.stores.iter();
    StoreEntry {
        decommissioning: stores.any(|entry| entry.decommissioning && is_same_machine(entry)),
        ..heartbeat.entry()
    }
}

/// The stores that are a current or a previous replica of a shard.
fn assigned_stores(placement: &Placement) -> FxHashSet<StoreId> {
    let shards = placement.shards.iter();
    shards
        .flat_map(|shard| shard.replicas.iter().chain(&shard.previous))
        .copied()
        .collect()
}

fn is_expired(entry: &StoreEntry, snapshot: &ClusterSnapshot) -> bool {
    let since_heartbeat = snapshot.since_heartbeat(entry.id);
    if entry.decommissioning {
        since_heartbeat >= FORGET_DECOMMISSIONED_AFTER
    } else {
        since_heartbeat >= FORGET_AFTER || snapshot.is_replaced(entry)
    }
}
