//! Application of a change to a chosen value.

use crate::applied_history::HistoryLookup;
use crate::change::{Change, ChangeOutcome};
use crate::replica_set::{Replica, ReplicaId};
use crate::state::ControlState;
use mintlb_common::placement::Placement;

/// Result of the application of a change to a chosen value.
pub(crate) enum Transition {
    /// The next value, to be proposed.
    Propose(Box<ControlState>),
    /// The value stays; the change has this outcome.
    Unchanged(ChangeOutcome),
}

impl Change {
    /// The value that has to be chosen before this change is applied to `state`, if any.
    ///
    /// A joint set is ended before any further change, whichever proposer began it: while it lasts, the loss of a
    /// previous member that is gone for good may leave the previous side without a majority.
    pub(crate) fn prerequisite(&self, state: &ControlState) -> Option<ControlState> {
        match self {
            Change::Identity | Change::LeaveJoint => None,
            Change::SetConfiguration { .. }
            | Change::AddReplica { .. }
            | Change::RemoveReplica { .. }
            | Change::SetPlacement(_) => leave_joint(state).ok().map(|next| successor(state, next)),
        }
    }

    /// Applies the change to a chosen value.
    pub(crate) fn apply(&self, state: &ControlState) -> Transition {
        match self.next_state(state) {
            Ok(next) => Transition::Propose(Box::new(successor(state, next))),
            Err(outcome) => Transition::Unchanged(outcome),
        }
    }

    /// The value with the change, or the outcome if the value stays.
    fn next_state(&self, state: &ControlState) -> Result<ControlState, ChangeOutcome> {
        match self {
            Change::Identity => Err(ChangeOutcome::Applied),
            Change::SetConfiguration {
                base,
                version,
                body,
                tolerated_failures,
                durability_suffices,
            } => {
                let set = &state.replicas;
                let has_enough_replicas = set.remains_available_after(*tolerated_failures)
                    || (*durability_suffices && set.remains_durable_after(*tolerated_failures));
                set_configuration(state, *base, *version, body, has_enough_replicas)
            }
            Change::AddReplica {
                replica,
                unresponsive,
                replacement_size,
                max_replicas,
            } => {
                let replacement_size = *replacement_size.min(max_replicas);
                add_replica(
                    state,
                    replica,
                    unresponsive,
                    replacement_size,
                    *max_replicas,
                )
            }
            Change::RemoveReplica { id, min_replicas } => remove_replica(state, *id, *min_replicas),
            Change::LeaveJoint => leave_joint(state),
            Change::SetPlacement(placement) => set_placement(state, placement),
        }
    }
}

/// `next` with the revision that follows `state`.
fn successor(state: &ControlState, next: ControlState) -> ControlState {
    ControlState {
        revision: state.revision + 1,
        ..next
    }
}

fn set_configuration(
    state: &ControlState,
    base: u64,
    version: u64,
    body: &[u8],
    has_enough_replicas: bool,
) -> Result<ControlState, ChangeOutcome> {
    // Before the look-up: a call with a wrong base is never acknowledged, even if its text was applied on another base.
    if version <= base {
        return Err(ChangeOutcome::VersionNotIncreased);
    }
    match state.lookup_configuration(version, body) {
        HistoryLookup::Applied => return Err(ChangeOutcome::AlreadyApplied),
        HistoryLookup::Compacted => return Err(ChangeOutcome::HistoryCompacted),
        HistoryLookup::NotApplied => (),
    }
    if base != state.configuration_version {
        return Err(ChangeOutcome::StaleBase);
    }
    if !has_enough_replicas {
        return Err(ChangeOutcome::TooFewReplicas);
    }
    Ok(state.with_configuration(version, body))
}

fn add_replica(
    state: &ControlState,
    replica: &Replica,
    unresponsive: &[ReplicaId],
    replacement_size: usize,
    max_replicas: usize,
) -> Result<ControlState, ChangeOutcome> {
    let mut members = state.replicas.current.clone();
    if members.contains(replica) {
        return Err(ChangeOutcome::AlreadyApplied);
    }
    let replaceable = match members.len() >= replacement_size {
        true => unresponsive,
        false => &[],
    };
    match replaced_member(&members, replica, replaceable) {
        Some(index) => members[index] = replica.clone(),
        None if members.len() >= max_replicas => return Err(ChangeOutcome::SetFull),
        None => members.push(replica.clone()),
    }
    Ok(enter_joint(state, members))
}

/// Index of the member that `replica` replaces: the one with its identity or address, or the first replaceable one.
fn replaced_member(
    members: &[Replica],
    replica: &Replica,
    replaceable: &[ReplicaId],
) -> Option<usize> {
    let predecessor = members
        .iter()
        .position(|member| member.is_predecessor_of(replica));
    predecessor.or_else(|| {
        members
            .iter()
            .position(|member| replaceable.contains(&member.id))
    })
}

fn remove_replica(
    state: &ControlState,
    id: ReplicaId,
    min_replicas: usize,
) -> Result<ControlState, ChangeOutcome> {
    let mut members = state.replicas.current.clone();
    if state.replicas.current_replica(id).is_none() {
        return Err(ChangeOutcome::AlreadyApplied);
    }
    if members.len() <= min_replicas {
        return Err(ChangeOutcome::TooFewReplicas);
    }
    members.retain(|member| member.id != id);
    Ok(enter_joint(state, members))
}

fn enter_joint(state: &ControlState, members: Vec<Replica>) -> ControlState {
    ControlState {
        replicas: state.replicas.enter_joint(members),
        ..state.clone()
    }
}

fn leave_joint(state: &ControlState) -> Result<ControlState, ChangeOutcome> {
    if !state.replicas.is_joint() {
        return Err(ChangeOutcome::AlreadyApplied);
    }
    Ok(ControlState {
        replicas: state.replicas.leave_joint(),
        ..state.clone()
    })
}

fn set_placement(
    state: &ControlState,
    placement: &Placement,
) -> Result<ControlState, ChangeOutcome> {
    if state.placement == *placement {
        return Err(ChangeOutcome::AlreadyApplied);
    }
    if placement.epoch != state.placement.epoch + 1 {
        return Err(ChangeOutcome::StaleBase);
    }
    Ok(ControlState {
        placement: placement.clone(),
        ..state.clone()
    })
}
