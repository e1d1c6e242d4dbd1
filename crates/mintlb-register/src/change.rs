//! Changes of the register's value and their outcomes.
//!
//! A change is a function of the newest chosen value, as in CASPaxos: it is applied, or rejected with a reason, by what
//! that value holds. A proposer may apply it more than once, so that each change recognizes its own result.

use crate::replica_set::{Replica, ReplicaId};
use mintlb_common::placement::Placement;

/// A change of the value.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The identity function: the newest value is chosen and returned. A read that succeeds whenever changes do.
    Identity,
    /// Replaces the operator's configuration, if the one in force has version `base`.
    SetConfiguration {
        /// Version of the configuration that it replaces; 0 for the first.
        base: u64,
        /// Its own version, above `base`.
        version: u64,
        /// Its text.
        body: Vec<u8>,
        /// How many disks may be lost at once. Without enough replicas for that the change is rejected.
        tolerated_failures: usize,
        /// Whether it is enough that the configuration survives on some disk after such a loss, though no quorum may be
        /// left: for deployments that will never have enough replicas for one.
        durability_suffices: bool,
    },
    /// Adds a replica with a vote, by way of a joint set. It replaces a member with the same identity or address.
    AddReplica {
        /// The replica.
        replica: Replica,
        /// Members that have not responded for long.
        unresponsive: Vec<ReplicaId>,
        /// In a set of this size or more, and in a full one, the first unresponsive member is replaced.
        replacement_size: usize,
        /// Size of a full set, which grows no more.
        max_replicas: usize,
    },
    /// Takes the vote from a replica, by way of a joint set.
    RemoveReplica {
        /// The replica.
        id: ReplicaId,
        /// The set gets no smaller than this.
        min_replicas: usize,
    },
    /// Ends a joint set: from now on the current members alone vote.
    LeaveJoint,
    /// Replaces the placement by the one with the next epoch.
    SetPlacement(Placement),
}

/// What became of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is part of the chosen value.
    Applied,
    /// The change was part of the chosen value before, by an earlier attempt or another proposer.
    AlreadyApplied,
    /// The change builds on another version than the current one. Not to be retried as it is: a new change has to be
    /// built on the current version.
    StaleBase,
    /// The version is not above the one that it replaces. Not to be retried.
    VersionNotIncreased,
    /// The version is older than the history, so that nobody can tell whether it was applied. Not to be retried.
    HistoryCompacted,
    /// The set has too few replicas for it. May be retried once replicas have joined.
    TooFewReplicas,
    /// The set is full and each member responds. May be retried once a member is unresponsive or removed.
    SetFull,
}

impl ChangeOutcome {
    /// Whether the change is part of the chosen value, by this proposal or an earlier one.
    pub fn is_applied(self) -> bool {
        matches!(self, ChangeOutcome::Applied | ChangeOutcome::AlreadyApplied)
    }
}
