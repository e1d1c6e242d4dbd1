//! Emptying a store on the operator's order.

use super::LIVE_TIMEOUT;
use super::view::ClusterSnapshot;
use mintlb_common::placement::{Placement, StoreEntry, StoreId};
use std::time::Duration;

/// A store that was silent for less can take over from the one that is emptied.
const CANDIDATE_TIMEOUT: Duration = Duration::from_millis(3000);

/// What is answered to an order to empty a store.
#[derive(Clone, Debug, PartialEq)]
pub enum DecommissionStart {
    /// Write this placement into the register, then answer 200.
    Start(Placement),
    /// It is under way or completed already: answer 200.
    AlreadyStarted,
    /// There is no such store: answer 404.
    NotFound,
    /// Too few stores would be left: answer 409.
    TooFewStores,
    /// Whether enough stores would be left depends on one that was told to stop and may come back: answer 503.
    Unavailable,
}

/// How far a store is emptied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecommissionStatus {
    /// Shards still lie on it, or lack replicas without it.
    InProgress,
    /// It can be taken away with its disk.
    Decommissioned,
}

/// Begins to empty the store on this machine.
pub fn start_decommission(
    current: &Placement,
    view: &ClusterSnapshot,
    node_name: &str,
    tolerance: usize,
) -> DecommissionStart {
    let of_node = |entry: &&StoreEntry| entry.node_name == node_name;
    if !current.stores.iter().any(|entry| of_node(&entry)) {
        return DecommissionStart::NotFound;
    }
    if current
        .stores
        .iter()
        .filter(of_node)
        .all(|entry| entry.decommissioning)
    {
        return DecommissionStart::AlreadyStarted;
    }
    let stays = |entry: &&StoreEntry| {
        entry.node_name != node_name
            && !entry.decommissioning
            && view.since_heartbeat(entry.id) < CANDIDATE_TIMEOUT
    };
    let leaves = |entry: &&StoreEntry| view.is_draining(entry.id);
    let staying: Vec<&StoreEntry> = current.stores.iter().filter(stays).collect();
    if staying.len() <= tolerance {
        return DecommissionStart::TooFewStores;
    }
    if staying.iter().filter(|entry| !leaves(entry)).count() <= tolerance {
        return DecommissionStart::Unavailable;
    }
    let mut next = Placement {
        epoch: current.epoch + 1,
        ..current.clone()
    };
    next.stores
        .iter_mut()
        .filter(|entry| entry.node_name == node_name)
        .for_each(|entry| entry.decommissioning = true);
    DecommissionStart::Start(next)
}

/// How far the store on this machine is emptied; `None` if there is no such order. It is completed only while more than
/// `tolerance` live replicas of each shard, none of them told to stop, have caught up without it: then any `tolerance` of
/// them may be lost.
pub fn decommission_status(
    current: &Placement,
    view: &ClusterSnapshot,
    node_name: &str,
    tolerance: usize,
) -> Option<DecommissionStatus> {
    let stores: Vec<&StoreEntry> = current
        .stores
        .iter()
        .filter(|entry| entry.node_name == node_name && entry.decommissioning)
        .collect();
    if stores.is_empty() {
        return None;
    }
    let is_named = |id| {
        current
            .shards
            .iter()
            .any(|s| s.replicas.contains(&id) || s.previous.contains(&id))
    };
    let named = stores.iter().any(|entry| is_named(entry.id));
    let complete = current
        .shards
        .iter()
        .enumerate()
        .all(|(shard, assignment)| {
            let Some(&primary) = assignment.replicas.first() else {
                return false;
            };
            let Some(report) = view.report(primary, shard, assignment.epoch) else {
                return false;
            };
            let lacks = |id: &StoreId| {
                view.since_heartbeat(*id) < CANDIDATE_TIMEOUT && !report.caught_up.contains(id)
            };
            let stays =
                |id: &StoreId| view.since_heartbeat(*id) < LIVE_TIMEOUT && !view.is_draining(*id);
            let in_sync = |id: &&StoreId| stays(id) && report.caught_up.contains(id);
            assignment.previous.is_empty()
                && report.active
                && !assignment.replicas.iter().any(lacks)
                && assignment.replicas.iter().filter(in_sync).count() > tolerance
        });
    Some(if named || !complete {
        DecommissionStatus::InProgress
    } else {
        DecommissionStatus::Decommissioned
    })
}
