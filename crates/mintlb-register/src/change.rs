//! The changes of the register's value, each with the condition under which it applies.

use crate::state::{ControlState, Replica, ReplicaId};
use crate::taken::Remembered;
use mintlb_common::placement::Placement;

/// What is to be done to the value.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Nothing: the newest value is made sure of and returned.
    Confirm,
    /// The operator's configuration is replaced.
    Configuration {
        /// The version it was built on; 0 for the first.
        base: u64,
        /// Its own version.
        version: u64,
        /// Its text.
        body: Vec<u8>,
        /// How many disks may be lost at once; it is not taken before the replicas are enough for that.
        tolerance: usize,
        /// There may never be enough replicas to go on after such a loss: it is taken if they are enough to keep it.
        at_least_kept: bool,
    },
    /// A replica gets a vote.
    Join {
        /// The new one. It takes the place of a replica with the same address.
        replica: Replica,
        /// Replicas that have long been silent; in a full set the first of them is replaced.
        silent: Vec<ReplicaId>,
        /// The largest set; a join beyond it needs a silent replica.
        most: usize,
    },
    /// A silent replica loses its vote.
    Leave {
        /// Which one.
        id: ReplicaId,
        /// The set stays at least as large.
        fewest: usize,
    },
    /// A change of the set is ended: the previous replicas lose their votes.
    Settle,
    /// The placement is replaced by the one that follows it: its epoch is one higher.
    Placement(Placement),
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// It is part of the value now.
    Done,
    /// It had been part of the value before.
    AlreadyDone,
    /// It builds on another version than the current one.
    StaleBase,
    /// Its version is not above the one it builds on.
    VersionNotAbove,
    /// It may have been part of the value long ago; that can't be told any more.
    Forgotten,
    /// There are too few replicas for it.
    TooFewReplicas,
    /// The set is as large as it may become, and none is silent.
    SetFull,
}

/// What a change makes of a value.
pub(crate) enum Verdict {
    /// The value is to be replaced.
    Write(Box<ControlState>),
    /// The value stays; this is the answer.
    Keep(Answer),
}

impl Change {
    /// The value that is to be chosen before this change is begun: a change of the set is ended first, whoever began it,
    /// since a member of its `previous` side that is lost for good may leave that side without a majority.
    pub(crate) fn first(&self, state: &ControlState) -> Option<ControlState> {
        let waits = !matches!(self, Change::Confirm | Change::Settle);
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
            Change::Confirm => Err(Answer::Done),
            Change::Configuration {
                base,
                version,
                body,
                tolerance,
                at_least_kept,
            } => {
                let set = &state.replicas;
                let enough = set.survives(*tolerance) || (*at_least_kept && set.keeps(*tolerance));
                configure(state, *base, *version, body, enough)
            }
            Change::Join {
                replica,
                silent,
                most,
            } => join(state, replica, silent, *most),
            Change::Leave { id, fewest } => leave(state, *id, *fewest),
            Change::Settle => settle(state),
            Change::Placement(placement) => place(state, placement),
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
) -> Result<ControlState, Answer> {
    // Such an order was never taken, also if its text was, by an order that built on a lower version.
    if version <= base {
        return Err(Answer::VersionNotAbove);
    }
    match state.remembers(version, body) {
        Remembered::Taken => return Err(Answer::AlreadyDone),
        Remembered::Forgotten => return Err(Answer::Forgotten),
        Remembered::NotTaken => (),
    }
    if base != state.configuration_version {
        return Err(Answer::StaleBase);
    }
    if !enough_replicas {
        return Err(Answer::TooFewReplicas);
    }
    Ok(state.with_configuration(version, body))
}

fn join(
    state: &ControlState,
    replica: &Replica,
    silent: &[ReplicaId],
    most: usize,
) -> Result<ControlState, Answer> {
    let mut members = state.replicas.current.clone();
    if members.contains(replica) {
        return Err(Answer::AlreadyDone);
    }
    let same = members
        .iter()
        .position(|old| old.id == replica.id || old.address == replica.address);
    let silent = || members.iter().position(|old| silent.contains(&old.id));
    match same.or_else(|| {
        if members.len() >= most {
            silent()
        } else {
            None
        }
    }) {
        Some(place) => members[place] = replica.clone(),
        None if members.len() >= most => return Err(Answer::SetFull),
        None => members.push(replica.clone()),
    }
    Ok(ControlState {
        replicas: state.replicas.changed_to(members),
        ..state.clone()
    })
}

fn leave(state: &ControlState, id: ReplicaId, fewest: usize) -> Result<ControlState, Answer> {
    if state.replicas.current_replica(id).is_none() {
        return Err(Answer::AlreadyDone);
    }
    if state.replicas.current.len() <= fewest {
        return Err(Answer::TooFewReplicas);
    }
    let members = state
        .replicas
        .current
        .iter()
        .filter(|replica| replica.id != id)
        .cloned()
        .collect();
    Ok(ControlState {
        replicas: state.replicas.changed_to(members),
        ..state.clone()
    })
}

fn settle(state: &ControlState) -> Result<ControlState, Answer> {
    if !state.replicas.is_joint() {
        return Err(Answer::AlreadyDone);
    }
    Ok(ControlState {
        replicas: state.replicas.settled(),
        ..state.clone()
    })
}

fn place(state: &ControlState, placement: &Placement) -> Result<ControlState, Answer> {
    if state.placement == *placement {
        return Err(Answer::AlreadyDone);
    }
    if placement.epoch != state.placement.epoch + 1 {
        return Err(Answer::StaleBase);
    }
    Ok(ControlState {
        placement: placement.clone(),
        ..state.clone()
    })
}
