//! Changes of the register's value and their outcomes.
//!
//! A change is a function of the newest chosen value, as in CASPaxos: it is applied, or rejected with a reason, by what
//! that value holds. A proposer may apply it more than once, so that each change recognizes its own result.

use crate::replica_set::{Replica, ReplicaId};
use mintlb_common::placement::Placement;
use mintlb_common::quorum::FaultTolerance;

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
        /// The losses that it has to outlast. Without enough replicas for that the change is rejected.
        tolerance: FaultTolerance,
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
        /// The losses that the set has to go on after. In a set that does, an unresponsive member is replaced; one that
        /// does not grows.
        tolerance: FaultTolerance,
        /// Whether an unresponsive member is replaced in a full set only.
        replaces_in_full_set_only: bool,
        /// Size of a full set. It grows no more, and a member that responds is replaced only if the set has to go on
        /// after a loss that it would not.
        max_replicas: usize,
    },
    /// Takes the vote from a replica, by way of a joint set.
    RemoveReplica {
        /// The replica.
        id: ReplicaId,
        /// The losses that the set has to go on after without it.
        tolerance: FaultTolerance,
    },
    /// Sets the losses that each quorum of the set outlasts.
    SetFaultTolerance(FaultTolerance),
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
    /// A member does not tell its failure domain. May be retried once its controller is upgraded or removed.
    UnknownDomain,
}

impl ChangeOutcome {
    /// Whether the change is part of the chosen value, by this proposal or an earlier one.
    pub fn is_applied(self) -> bool {
        matches!(self, ChangeOutcome::Applied | ChangeOutcome::AlreadyApplied)
    }
}
