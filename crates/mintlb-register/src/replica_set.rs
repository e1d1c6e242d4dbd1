//! Replicas, the sets that they form, and the quorums of a set.

use minicbor::{Decode, Encode};
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
}

impl Replica {
    /// Whether `replica` is this one, or another disk at its address.
    pub fn is_predecessor_of(&self, replica: &Replica) -> bool {
        self.id == replica.id || self.address == replica.address
    }
}

/// The replicas that vote.
///
/// A change of the set takes two steps, as Raft's joint consensus does: [`Change::AddReplica`] or
/// [`Change::RemoveReplica`] leads to a joint set with `previous` and `current` members, [`Change::LeaveJoint`] ends it.
/// While the set is joint, a quorum needs a majority of both sides, so that it meets each quorum of the set before and
/// each quorum of the set after.
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
}

impl ReplicaSet {
    /// The first set of a register, with one member.
    pub fn bootstrap(replica: Replica) -> ReplicaSet {
        ReplicaSet {
            epoch: 1,
            previous: Vec::new(),
            current: vec![replica],
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

    /// Whether the replicas that satisfy `predicate` form a quorum: a majority of each side.
    pub fn is_quorum(&self, predicate: impl Fn(ReplicaId) -> bool) -> bool {
        self.every_side(|side| is_majority(side, &predicate))
    }

    /// Whether a change of the set is in progress.
    pub fn is_joint(&self) -> bool {
        !self.previous.is_empty()
    }

    /// Whether a quorum remains after the loss of any `lost` disks, so that accepted values stay readable and changes
    /// go on.
    pub fn remains_available_after(&self, lost: usize) -> bool {
        self.every_side(|side| side.len() > 2 * lost)
    }

    /// Whether a value that a quorum has accepted is still on some disk after the loss of any `lost` ones. There may be
    /// no quorum left to read it.
    pub fn remains_durable_after(&self, lost: usize) -> bool {
        self.every_side(|side| side.len() / 2 + 1 > lost)
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
        }
    }

    /// The set in which the current members alone vote.
    pub(crate) fn leave_joint(&self) -> ReplicaSet {
        ReplicaSet {
            epoch: self.epoch + 1,
            previous: Vec::new(),
            current: self.current.clone(),
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

fn is_majority(side: &[Replica], predicate: impl Fn(ReplicaId) -> bool) -> bool {
    let count = side.iter().filter(|replica| predicate(replica.id)).count();
    2 * count > side.len()
}
