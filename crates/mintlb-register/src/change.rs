//! The changes of the register's value, each with the condition under which it applies.

use crate::applied_history::HistoryLookup;
use crate::replica_set::{Replica, ReplicaId};
use crate::state::ControlState;
use mintlb_common::placement::Placement;

/// What is to be done to the value.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Nothing: the newest value is made sure of and returned.
    Identity,
    /// The operator's configuration is replaced.
    SetConfiguration {
        /// The version it was built on; 0 for the first.
        base: u64,
        /// Its own version.
        version: u64,
        /// Its text.
        body: Vec<u8>,
        /// How many disks may be lost at once; it is not taken before the replicas are enough for that.
        tolerated_failures: usize,
        /// There may never be enough replicas to go on after such a loss: it is taken if they are enough to keep it.
        durability_suffices: bool,
    },
    /// A replica gets a vote.
    AddReplica {
        /// The new one. It takes the place of a replica with the same address.
        replica: Replica,
        /// Replicas that have long been silent; in a full set the first of them is replaced.
        unresponsive: Vec<ReplicaId>,
        /// The largest set; a join beyond it needs a silent replica.
        max_replicas: usize,
    },
    /// A silent replica loses its vote.
    RemoveReplica {
        /// Which one.
        id: ReplicaId,
        /// The set stays at least as large.
        min_replicas: usize,
    },
    /// A change of the set is ended: the previous replicas lose their votes.
    LeaveJoint,
    /// The placement is replaced by the one that follows it: its epoch is one higher.
    SetPlacement(Placement),
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is part of the value now.
    Applied,
    /// It had been part of the value before.
    AlreadyApplied,
    /// It builds on another version than the current one.
    StaleBase,
    /// Its version is not above the one it builds on.
    VersionNotIncreased,
    /// It may have been part of the value long ago; that can't be told any more.
    HistoryCompacted,
    /// There are too few replicas for it.
    TooFewReplicas,
    /// The set is as large as it may become, and none is silent.
    SetFull,
}

impl ChangeOutcome {
    /// Whether the change is part of the chosen value.
    pub fn is_applied(self) -> bool {
        matches!(self, ChangeOutcome::Applied | ChangeOutcome::AlreadyApplied)
    }
}

/// What a change makes of a value.
pub(crate) enum Verdict {
    /// The value is to be replaced.
    Write(Box<ControlState>),
    /// The value stays; this is the answer.
    Keep(ChangeOutcome),
}

impl Change {
    /// The value that is to be chosen before this change is begun: a change of the set is ended first, whoever began it,
    /// since a member of its `previous` side that is lost for good may leave that side without a majority.
    pub(crate) fn first(&self, state: &ControlState) -> Option<ControlState> {
        let waits = !matches!(self, Change::Identity | Change::LeaveJoint);
        let mut settled = if waits {
            settle(state).ok()?
        } else {
            return None;
        };
        settled.revision = state.revision + 1;
        Some(settled)
    }

    /// Applies the change to a chosen value.
    pub(crate) fn apply(&self, state: &ControlState) -> Verdict {
        let next = match self {
            Change::Identity => Err(ChangeOutcome::Applied),
            Change::SetConfiguration {
                base,
                version,
                body,
                tolerated_failures,
                durability_suffices,
            } => {
                let set = &state.replicas;
                let enough = set.remains_available_after(*tolerated_failures)
                    || (*durability_suffices && set.remains_durable_after(*tolerated_failures));
                configure(state, *base, *version, body, enough)
            }
            Change::AddReplica {
                replica,
                unresponsive,
                max_replicas,
            } => join(state, replica, unresponsive, *max_replicas),
            Change::RemoveReplica { id, min_replicas } => leave(state, *id, *min_replicas),
            Change::LeaveJoint => settle(state),
            Change::SetPlacement(placement) => place(state, placement),
        };
        match next {
            Ok(mut next) => {
                next.revision = state.revision + 1;
                Verdict::Write(Box::new(next))
            }
            Err(answer) => Verdict::Keep(answer),
        }
    }
}

fn configure(
    state: &ControlState,
    base: u64,
    version: u64,
    body: &[u8],
    enough_replicas: bool,
) -> Result<ControlState, ChangeOutcome> {
    // Such an order was never taken, also if its text was, by an order that built on a lower version.
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
    if !enough_replicas {
        return Err(ChangeOutcome::TooFewReplicas);
    }
    Ok(state.with_configuration(version, body))
}

fn join(
    state: &ControlState,
    replica: &Replica,
    unresponsive: &[ReplicaId],
    max_replicas: usize,
) -> Result<ControlState, ChangeOutcome> {
    let mut members = state.replicas.current.clone();
    if members.contains(replica) {
        return Err(ChangeOutcome::AlreadyApplied);
    }
    let same = members
        .iter()
        .position(|old| old.id == replica.id || old.address == replica.address);
    let silent = || {
        members
            .iter()
            .position(|old| unresponsive.contains(&old.id))
    };
    match same.or_else(|| {
        if members.len() >= max_replicas {
            silent()
        } else {
            None
        }
    }) {
        Some(place) => members[place] = replica.clone(),
        None if members.len() >= max_replicas => return Err(ChangeOutcome::SetFull),
        None => members.push(replica.clone()),
    }
    Ok(ControlState {
        replicas: state.replicas.enter_joint(members),
        ..state.clone()
    })
}

fn leave(
    state: &ControlState,
    id: ReplicaId,
    min_replicas: usize,
) -> Result<ControlState, ChangeOutcome> {
    if state.replicas.current_replica(id).is_none() {
        return Err(ChangeOutcome::AlreadyApplied);
    }
    if state.replicas.current.len() <= min_replicas {
        return Err(ChangeOutcome::TooFewReplicas);
    }
    let members = state
        .replicas
        .current
        .iter()
        .filter(|replica| replica.id != id)
        .cloned()
        .collect();
    Ok(ControlState {
        replicas: state.replicas.enter_joint(members),
        ..state.clone()
    })
}

fn settle(state: &ControlState) -> Result<ControlState, ChangeOutcome> {
    if !state.replicas.is_joint() {
        return Err(ChangeOutcome::AlreadyApplied);
    }
    Ok(ControlState {
        replicas: state.replicas.leave_joint(),
        ..state.clone()
    })
}

fn place(state: &ControlState, placement: &Placement) -> Result<ControlState, ChangeOutcome> {
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
