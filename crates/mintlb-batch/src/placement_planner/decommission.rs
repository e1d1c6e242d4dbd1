//! Decommissioning of a machine's store on the operator's order: its replicas move to other stores,
//! then the machine can be taken away.

use super::cluster_snapshot::ClusterSnapshot;
use mintlb_common::placement::{Placement, ShardAssignment, StoreEntry, StoreId};
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

/// Begins to decommission the store on a machine. More than `tolerance` other stores have to
/// remain, so that shards can still commit.
///
/// # Errors
/// [`DecommissionError`].
pub fn start_decommission(
    current: &Placement,
    snapshot: &ClusterSnapshot,
    node_name: &str,
    tolerance: usize,
) -> Result<DecommissionStart, DecommissionError> {
    let is_on_node = |entry: &&StoreEntry| entry.node_name == node_name;
    let mut stores = current.stores.iter().filter(is_on_node).peekable();
    if stores.peek().is_none() {
        return Err(DecommissionError::UnknownNode);
    }
    if stores.all(|entry| entry.decommissioning) {
        return Ok(DecommissionStart::AlreadyStarted);
    }
    check_remaining(current, snapshot, node_name, tolerance)?;
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
    tolerance: usize,
) -> Result<(), DecommissionError> {
    let remains = |entry: &&StoreEntry| {
        entry.node_name != node_name
            && !entry.decommissioning
            && snapshot.since_heartbeat(entry.id) < REMAINING_TIMEOUT
    };
    let remaining: Vec<&StoreEntry> = current.stores.iter().filter(remains).collect();
    if remaining.len() <= tolerance {
        return Err(DecommissionError::TooFewStores);
    }
    let staying = remaining
        .iter()
        .filter(|entry| !snapshot.is_draining(entry.id));
    if staying.count() <= tolerance {
        return Err(DecommissionError::StoreDraining);
    }
    Ok(())
}

/// How far the store on a machine is decommissioned; `None` if this was not ordered.
///
/// It is complete when no shard names the store any more, and each shard has caught up without it.
/// Then more than `tolerance` live replicas of each shard have the complete log, none of which is
/// shutting down: any `tolerance` of them may be lost.
pub fn decommission_status(
    current: &Placement,
    snapshot: &ClusterSnapshot,
    node_name: &str,
    tolerance: usize,
) -> Option<DecommissionStatus> {
    let is_ordered = |entry: &&StoreEntry| entry.node_name == node_name && entry.decommissioning;
    let mut stores = current.stores.iter().filter(is_ordered).peekable();
    stores.peek()?;
    let is_assigned = stores.any(|entry| is_assigned(current, entry.id));
    let mut shards = current.shards.iter().enumerate();
    let has_caught_up = |(shard, assignment): (usize, &ShardAssignment)| {
        has_caught_up(snapshot, shard, assignment, tolerance)
    };
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
/// them stay.
fn has_caught_up(
    snapshot: &ClusterSnapshot,
    shard: usize,
    assignment: &ShardAssignment,
    tolerance: usize,
) -> bool {
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
    let in_sync = assignment.replicas.iter().filter(|id| {
        snapshot.is_live(**id) && !snapshot.is_draining(**id) && report.caught_up.contains(id)
    });
    in_sync.count() > tolerance
}
