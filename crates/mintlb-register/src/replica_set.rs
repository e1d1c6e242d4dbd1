//! Replicas, the sets that they form, and the quorums of a set.

use minicbor::{Decode, Encode};
use mintlb_common::quorum::{FailureDomain, FaultTolerance, QuorumSystem};
use std::fmt;

/// Identity of a replica together with its disk.
///
/// It is drawn at random when the disk is first used. A replica that has lost its disk gets a new identity: under the
/// former one it could accept what it had promised to reject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct ReplicaId(#[n(0)] pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A controller that stores the register.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Replica {
    /// Its identity.
    #[n(0)]
    pub id: ReplicaId,
    /// Address of its transport, as `IP:PORT`.
    #[n(1)]
    pub address: String,
    /// Name of its machine.
    #[n(2)]
    pub node_name: String,
    /// Zone of its machine.
    #[n(3)]
    pub zone: String,
    /// Region of that zone. `None` if the controller is of a release that does not tell.
    #[n(4)]
    pub region: Option<String>,
    /// Whether the loss of its machine counts against the tolerance; if not, it may be lost at any time. `None` if the
    /// controller is of a release that does not tell.
    #[n(5)]
    pub counts_toward_quorum: Option<bool>,
}

impl Replica {
    /// Whether `replica` is this one, or another disk at its address.
    pub fn is_predecessor_of(&self, replica: &Replica) -> bool {
        self.id == replica.id || self.address == replica.address
    }

    /// Whether the loss of its machine counts against the tolerance, as far as it is known.
    pub fn counts(&self) -> bool {
        self.counts_toward_quorum.unwrap_or(true)
    }

    /// Where it runs. Replicas that don't tell share one unknown region.
    fn domain(&self) -> FailureDomain {
        FailureDomain {
            zone: self.zone.clone(),
            region: self.region.clone().unwrap_or_default(),
            counts_toward_quorum: self.counts(),
        }
    }
}

/// The replicas that vote.
///
/// A change of the set takes two steps, as Raft's joint consensus does: [`Change::AddReplica`] or
/// [`Change::RemoveReplica`] leads to a joint set with `previous` and `current` members, [`Change::LeaveJoint`] ends it.
/// While the set is joint, a quorum needs a quorum of both sides, so that it meets each quorum of the set before and each
/// quorum of the set after.
///
/// [`Change::AddReplica`]: crate::change::Change::AddReplica
/// [`Change::RemoveReplica`]: crate::change::Change::RemoveReplica
/// [`Change::LeaveJoint`]: crate::change::Change::LeaveJoint
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ReplicaSet {
    /// Number of the set; each step of a change raises it by one.
    #[n(0)]
    pub epoch: u64,
    /// While the set is joint, the members before the change; otherwise empty.
    #[n(1)]
    pub previous: Vec<Replica>,
    /// The members from now on.
    #[n(2)]
    pub current: Vec<Replica>,
    /// The losses that each quorum outlasts. `None` in a set of a release whose quorums are majorities.
    #[n(3)]
    pub tolerance: Option<FaultTolerance>,
}

impl ReplicaSet {
    /// The first set of a register, with one member.
    pub fn bootstrap(replica: Replica, tolerance: FaultTolerance) -> ReplicaSet {
        ReplicaSet {
            epoch: 1,
            previous: Vec::new(),
            current: vec![replica],
            tolerance: Some(tolerance),
        }
    }

    /// Each voting replica once, those of the current side first.
    pub fn members(&self) -> impl Iterator<Item = &Replica> {
        let previous_only = self
            .previous
            .iter()
            .filter(|replica| !contains(&self.current, replica.id));
        self.current.iter().chain(previous_only)
    }

    /// Whether the replicas that satisfy `predicate` form a quorum of each side.
    ///
    /// Any two quorums meet. Those of a side that outlasts the tolerated losses as a whole outlast them, too.
    pub fn is_quorum(&self, predicate: impl Fn(ReplicaId) -> bool) -> bool {
        self.every_side(|side| self.is_quorum_of(side, &predicate))
    }

    fn is_quorum_of(&self, side: &[Replica], predicate: impl Fn(ReplicaId) -> bool) -> bool {
        let contains = |position: usize| predicate(side[position].id);
        match self.tolerance {
            Some(tolerance) => voting_quorums(side, tolerance).is_mutual_quorum(contains),
            None => QuorumSystem::by_count(0, side.len()).is_majority(contains),
        }
    }

    /// Whether a change of the set is in progress.
    pub fn is_joint(&self) -> bool {
        !self.previous.is_empty()
    }

    /// Whether a quorum remains after any tolerated loss, so that accepted values stay readable and changes go on.
    pub fn remains_available_after(&self, tolerance: &FaultTolerance) -> bool {
        match self.tolerance {
            Some(own) => {
                own.includes(tolerance)
                    && self.every_side(|side| {
                        do_all_count(side) && survives_any_two_losses(side, tolerance)
                    })
            }
            None => {
                tolerance.is_of_machines()
                    && self.every_side(|side| side.len() > 2 * tolerance.machines)
            }
        }
    }

    /// Whether a value that a quorum has accepted is still on some disk after any tolerated loss. There may be no quorum
    /// left to read it.
    pub fn remains_durable_after(&self, tolerance: &FaultTolerance) -> bool {
        match self.tolerance {
            Some(own) => {
                own.includes(tolerance)
                    && self.every_side(|side| {
                        do_all_count(side) && counted_quorums(side, tolerance).has_write_quorum()
                    })
            }
            None => {
                tolerance.is_of_machines()
                    && self.every_side(|side| side.len() / 2 + 1 > tolerance.machines)
            }
        }
    }

    /// Whether the current members could lose one of them for good and still go on after any tolerated loss. One that does
    /// not count can be spared as soon as those that do outlast a tolerated loss.
    pub fn can_spare(&self, id: ReplicaId, tolerance: &FaultTolerance) -> bool {
        let others: Vec<Replica> = self
            .current
            .iter()
            .filter(|replica| replica.id != id)
            .cloned()
            .collect();
        let is_uncounted = self.current_replica(id).is_some_and(|own| !own.counts());
        survives_any_two_losses(&others, tolerance)
            || is_uncounted && counted_quorums(&others, tolerance).has_write_quorum()
    }

    /// Whether all current members tell their failure domains.
    pub fn knows_all_domains(&self) -> bool {
        self.current.iter().all(|replica| replica.region.is_some())
    }

    /// The replica with this identity on the current side.
    pub fn current_replica(&self, id: ReplicaId) -> Option<&Replica> {
        self.current.iter().find(|replica| replica.id == id)
    }

    /// The joint set that leads from the current members to `members`.
    pub(crate) fn enter_joint(&self, members: Vec<Replica>) -> ReplicaSet {
        ReplicaSet {
            epoch: self.epoch + 1,
            previous: self.current.clone(),
            current: members,
            tolerance: self.tolerance,
        }
    }

    /// The set in which the current members alone vote.
    pub(crate) fn leave_joint(&self) -> ReplicaSet {
        ReplicaSet {
            epoch: self.epoch + 1,
            previous: Vec::new(),
            current: self.current.clone(),
            tolerance: self.tolerance,
        }
    }

    /// Whether `condition` holds for the current side and, while the set is joint, for the previous side.
    fn every_side(&self, condition: impl Fn(&[Replica]) -> bool) -> bool {
        condition(&self.current) && (!self.is_joint() || condition(&self.previous))
    }
}

fn contains(side: &[Replica], id: ReplicaId) -> bool {
    side.iter().any(|replica| replica.id == id)
}

fn do_all_count(side: &[Replica]) -> bool {
    side.iter().all(Replica::counts)
}

/// The quorums by which these members vote: each of them has an equal say.
///
/// A set gets members that don't count from earlier releases alone, or from changed settings. It acknowledges nothing before
/// they have left, so that no vote has to be left out meanwhile: quorums meet those of controllers that know of no difference.
fn voting_quorums(members: &[Replica], tolerance: FaultTolerance) -> QuorumSystem {
    let domains: Vec<FailureDomain> = members
        .iter()
        .map(|replica| FailureDomain {
            counts_toward_quorum: true,
            ..replica.domain()
        })
        .collect();
    QuorumSystem::new(tolerance, &domains)
}

/// The quorums that the members which count would have by themselves.
fn counted_quorums(members: &[Replica], tolerance: &FaultTolerance) -> QuorumSystem {
    let domains: Vec<FailureDomain> = members.iter().map(Replica::domain).collect();
    QuorumSystem::new(*tolerance, &domains)
}

/// Whether the members that count have a quorum left after any tolerated loss.
pub(crate) fn survives_any_two_losses(members: &[Replica], tolerance: &FaultTolerance) -> bool {
    counted_quorums(members, tolerance).survives_any_two_losses()
}

/// How far they are from that; 0 if they do.
pub(crate) fn shortfall(members: &[Replica], tolerance: &FaultTolerance) -> usize {
    counted_quorums(members, tolerance).shortfall()
}
