//! Decommissioning of a machine's store on the operator's order: its replicas move to other stores,
//! then the machine can be taken away.

use super::cluster_snapshot::ClusterSnapshot;
use super::policy::{PlacementPolicy, PolicyInForce};
use mintlb_common::placement::{Placement, StoreEntry, StoreId};
use std::time::Duration;
use thiserror::Error;

/// A store whose last heartbeat is younger than this counts as one that remains.
const REMAINING_TIMEOUT: Duration = Duration::from_millis(3000);

/// How an order to decommission a store is carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum DecommissionStart {
    /// This placement has to be written into the register first.
    Planned(Placement),
    /// It is under way or complete already.
    AlreadyStarted,
}

/// Why a store is not decommissioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecommissionError {
    /// There is no store on this machine. Retrying does not help.
    #[error("no store on this machine")]
    UnknownNode,
    /// The other stores would be too few to commit. Retry once there are more.
    #[error("too few stores would remain")]
    TooFewStores,
    /// The other stores are enough only if one that is shutting down comes back. Retry when it has.
    #[error("a store that would remain is shutting down")]
    StoreDraining,
}

/// How far a store is decommissioned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecommissionStatus {
    /// Shards still need the store, or lack replicas without it.
    InProgress,
    /// The machine can be taken away with its disk.
    Decommissioned,
}

/// Begins to decommission the store on a machine. The other stores have to make up a write quorum,
/// so that shards can still commit.
///
/// # Errors
/// [`DecommissionError`].
pub fn start_decommission(
    current: &Placement,
    snapshot: &ClusterSnapshot,
    node_name: &str,
    policy: &PlacementPolicy,
) -> Result<DecommissionStart, DecommissionError> {
    let is_on_node = |entry: &&StoreEntry| entry.node_name == node_name;
    let mut stores = current.stores.iter().filter(is_on_node).peekable();
    if stores.peek().is_none() {
        return Err(DecommissionError::UnknownNode);
    }
    if stores.all(|entry| entry.decommissioning) {
        return Ok(DecommissionStart::AlreadyStarted);
    }
    check_remaining(current, snapshot, node_name, policy.in_force(snapshot))?;
    let mut next = Placement {
        epoch: current.epoch + 1,
        ..current.clone()
    };
    for entry in &mut next.stores {
        entry.decommissioning |= entry.node_name == node_name;
    }
    Ok(DecommissionStart::Planned(next))
}

fn check_remaining(
    current: &Placement,
    snapshot: &ClusterSnapshot,
    node_name: &str,
    policy: PolicyInForce,
) -> Result<(), DecommissionError> {
    let remains = |entry: &&StoreEntry| {
        entry.node_name != node_name
            && !entry.decommissioning
            && snapshot.since_heartbeat(entry.id) < REMAINING_TIMEOUT
    };
    let remaining = current.stores.iter().filter(remains);
    let remaining: Vec<StoreId> = remaining.map(|entry| entry.id).collect();
    if !policy.quorums(current, &remaining).has_write_quorum() {
        return Err(DecommissionError::TooFewStores);
    }
    let staying = remaining
        .into_iter()
        .filter(|id| !snapshot.is_draining(*id));
    let staying: Vec<StoreId> = staying.collect();
    if !policy.quorums(current, &staying).has_write_quorum() {
        return Err(DecommissionError::StoreDraining);
    }
    Ok(())
}

/// How far the store on a machine is decommissioned; `None` if this was not ordered.
///
/// It is complete when no shard names the store any more, and each shard has caught up without it.
/// Then a write quorum of live replicas of each shard has the complete log, none of which is
/// shutting down: one of them outlasts any tolerated loss.
pub fn decommission_status(
    current: &Placement,
    snapshot: &ClusterSnapshot,
    node_name: &str,
    policy: &PlacementPolicy,
) -> Option<DecommissionStatus> {
    let policy = policy.in_force(snapshot);
    let is_ordered = |entry: &&StoreEntry| entry.node_name == node_name && entry.decommissioning;
    let mut stores = current.stores.iter().filter(is_ordered).peekable();
    stores.peek()?;
    let is_assigned = stores.any(|entry| is_assigned(current, entry.id));
    let mut shards = 0..current.shards.len();
    let has_caught_up = |shard: usize| has_caught_up(current, snapshot, shard, policy);
    if is_assigned || !shards.all(has_caught_up) {
        Some(DecommissionStatus::InProgress)
    } else {
        Some(DecommissionStatus::Decommissioned)
    }
}

/// Whether a shard names the store as a current or a previous replica.
fn is_assigned(placement: &Placement, id: StoreId) -> bool {
    let mut shards = placement.shards.iter();
    shards.any(|shard| shard.replicas.contains(&id) || shard.previous.contains(&id))
}

/// Whether a shard is active, all its replicas but unresponsive ones have caught up, and enough of
/// them stay to outlast any tolerated loss.
fn has_caught_up(
    placement: &Placement,
    snapshot: &ClusterSnapshot,
    shard: usize,
    policy: PolicyInForce,
) -> bool {
    let assignment = &placement.shards[shard];
    let Some(report) = snapshot.primary_report(shard, assignment) else {
        return false;
    };
    if !report.active || !assignment.previous.is_empty() {
        return false;
    }
    let is_behind = |id: &StoreId| {
        snapshot.since_heartbeat(*id) < REMAINING_TIMEOUT && !report.caught_up.contains(id)
    };
    if assignment.replicas.iter().any(is_behind) {
        return false;
    }
    let in_sync = assignment.replicas.iter().copied().filter(|id| {
        snapshot.is_live(*id) && !snapshot.is_draining(*id) && report.caught_up.contains(id)
    });
    let in_sync: Vec<StoreId> = in_sync.collect();
    policy.quorums(placement, &in_sync).has_write_quorum()
}
