//! Application of a change to a chosen value.

use crate::applied_history::HistoryLookup;
use crate::change::{Change, ChangeOutcome};
use crate::replica_set::{Replica, ReplicaId, ReplicaSet, shortfall, survives_any_two_losses};
use crate::state::ControlState;
use mintlb_common::placement::Placement;
use mintlb_common::quorum::FaultTolerance;

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
            | Change::SetFaultTolerance(_)
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
                tolerance,
                durability_suffices,
            } => {
                let set = &state.replicas;
                let has_enough_replicas = set.remains_available_after(tolerance)
                    || (*durability_suffices && set.remains_durable_after(tolerance));
                set_configuration(state, *base, *version, body, has_enough_replicas)
            }
            Change::AddReplica {
                replica,
                unresponsive,
                tolerance,
                replaces_in_full_set_only,
                max_replicas,
            } => {
                let addition = Addition {
                    replica,
                    unresponsive,
                    tolerance,
                    replaces_in_full_set_only: *replaces_in_full_set_only,
                    max_replicas: *max_replicas,
                };
                addition.apply(state)
            }
            Change::RemoveReplica { id, tolerance } => remove_replica(state, *id, tolerance),
            Change::SetFaultTolerance(tolerance) => set_fault_tolerance(state, tolerance),
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

/// The addition of a replica to the set.
struct Addition<'a> {
    replica: &'a Replica,
    unresponsive: &'a [ReplicaId],
    tolerance: &'a FaultTolerance,
    replaces_in_full_set_only: bool,
    max_replicas: usize,
}

impl Addition<'_> {
    fn apply(&self, state: &ControlState) -> Result<ControlState, ChangeOutcome> {
        let mut members = state.replicas.current.clone();
        if members.contains(self.replica) {
            return Err(ChangeOutcome::AlreadyApplied);
        }
        let is_full = members.len() >= self.max_replicas;
        match self.replaced_member(&members, is_full) {
            Some(index) => members[index] = self.replica.clone(),
            None if is_full => return Err(ChangeOutcome::SetFull),
            None => members.push(self.replica.clone()),
        }
        Ok(enter_joint(state, members))
    }

    /// Index of the member that the replica replaces: the one with its identity or address, an unresponsive one or, in a
    /// full set that would not go on after some loss, one whose place the replica fills better.
    fn replaced_member(&self, members: &[Replica], is_full: bool) -> Option<usize> {
        let predecessor = members
            .iter()
            .position(|member| member.is_predecessor_of(self.replica));
        predecessor
            .or_else(|| self.unresponsive_member(members, is_full))
            .or_else(|| is_full.then(|| self.misplaced_member(members)).flatten())
    }

    /// The first unresponsive member without which the set goes on after any loss; in a full set just the first one.
    fn unresponsive_member(&self, members: &[Replica], is_full: bool) -> Option<usize> {
        let may_replace = is_full
            || !self.replaces_in_full_set_only && survives_any_two_losses(members, self.tolerance);
        if !may_replace {
            return None;
        }
        let unresponsive =
            (0..members.len()).filter(|index| self.unresponsive.contains(&members[*index].id));
        let replaceable = unresponsive
            .clone()
            .find(|index| self.shortfall_in_place_of(members, *index) == 0);
        replaceable.or_else(|| is_full.then(|| unresponsive.clone().next()).flatten())
    }

    /// The member in whose place the replica brings the set closest to going on after any loss, if it does at all.
    fn misplaced_member(&self, members: &[Replica]) -> Option<usize> {
        let best =
            (0..members.len()).min_by_key(|index| self.shortfall_in_place_of(members, *index))?;
        let is_better =
            self.shortfall_in_place_of(members, best) < shortfall(members, self.tolerance);
        is_better.then_some(best)
    }

    fn shortfall_in_place_of(&self, members: &[Replica], index: usize) -> usize {
        let mut members = members.to_vec();
        members[index] = self.replica.clone();
        shortfall(&members, self.tolerance)
    }
}

fn remove_replica(
    state: &ControlState,
    id: ReplicaId,
    tolerance: &FaultTolerance,
) -> Result<ControlState, ChangeOutcome> {
    if state.replicas.current_replica(id).is_none() {
        return Err(ChangeOutcome::AlreadyApplied);
    }
    if !state.replicas.can_spare(id, tolerance) {
        return Err(ChangeOutcome::TooFewReplicas);
    }
    let mut members = state.replicas.current.clone();
    members.retain(|member| member.id != id);
    Ok(enter_joint(state, members))
}

/// The tolerance takes no joint set: the value with it needs a quorum by the former tolerance as well.
fn set_fault_tolerance(
    state: &ControlState,
    tolerance: &FaultTolerance,
) -> Result<ControlState, ChangeOutcome> {
    if state.replicas.tolerance == Some(*tolerance) {
        return Err(ChangeOutcome::AlreadyApplied);
    }
    if !state.replicas.knows_all_domains() {
        return Err(ChangeOutcome::UnknownDomain);
    }
    Ok(ControlState {
        replicas: ReplicaSet {
            epoch: state.replicas.epoch + 1,
            tolerance: Some(*tolerance),
            ..state.replicas.clone()
        },
        ..state.clone()
    })
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
