//! Replicas and the sets that they form.

use minicbor::{Decode, Encode};
use std::fmt;

/// Identifies a replica with its disk: an emptied disk is another replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct ReplicaId(#[n(0)] pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A controller that holds a copy of the register.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Replica {
    /// Its identity, drawn when its disk was first used.
    #[n(0)]
    pub id: ReplicaId,
    /// Address of its transport, as IP:PORT.
    #[n(1)]
    pub address: String,
    /// The machine's name.
    #[n(2)]
    pub node_name: String,
    /// The machine's zone.
    #[n(3)]
    pub zone: String,
}

/// The replicas that have a vote.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ReplicaSet {
    /// Rises with each change of the set.
    #[n(0)]
    pub epoch: u64,
    /// During a change the replicas before it, otherwise empty.
    #[n(1)]
    pub previous: Vec<Replica>,
    /// The replicas from now on.
    #[n(2)]
    pub current: Vec<Replica>,
}

impl ReplicaSet {
    /// The set of one replica with which a register begins.
    pub fn bootstrap(replica: Replica) -> ReplicaSet {
        ReplicaSet {
            epoch: 1,
            previous: Vec::new(),
            current: vec![replica],
        }
    }

    /// Each replica with a vote, once.
    pub fn members(&self) -> impl Iterator<Item = &Replica> {
        let leaving = self
            .previous
            .iter()
            .filter(|replica| !contains(&self.current, replica.id));
        self.current.iter().chain(leaving)
    }

    /// Whether the replicas for which `has` holds are a majority of both sides.
    pub fn is_quorum(&self, has: impl Fn(ReplicaId) -> bool) -> bool {
        is_majority(&self.current, &has)
            && (self.previous.is_empty() || is_majority(&self.previous, &has))
    }

    /// Whether a change of the set is under way.
    pub fn is_joint(&self) -> bool {
        !self.previous.is_empty()
    }

    /// Whether what a quorum has accepted survives the loss of any `lost` disks, and whether enough replicas remain
    /// then to form a quorum.
    pub fn remains_available_after(&self, lost: usize) -> bool {
        let enough = |side: &[Replica]| side.len() > 2 * lost;
        enough(&self.current) && (self.previous.is_empty() || enough(&self.previous))
    }

    /// Whether what a quorum has accepted is still on a disk after the loss of any `lost` ones; there may be no quorum to
    /// read it.
    pub fn remains_durable_after(&self, lost: usize) -> bool {
        let enough = |side: &[Replica]| side.len() / 2 + 1 > lost;
        enough(&self.current) && (self.previous.is_empty() || enough(&self.previous))
    }

    /// The current replica with this identity.
    pub fn current_replica(&self, id: ReplicaId) -> Option<&Replica> {
        self.current.iter().find(|replica| replica.id == id)
    }

    /// The joint set that leads to `members`.
    pub(crate) fn enter_joint(&self, members: Vec<Replica>) -> ReplicaSet {
        ReplicaSet {
            epoch: self.epoch + 1,
            previous: self.current.clone(),
            current: members,
        }
    }

    /// The set with its change ended.
    pub(crate) fn leave_joint(&self) -> ReplicaSet {
        ReplicaSet {
            epoch: self.epoch + 1,
            previous: Vec::new(),
            current: self.current.clone(),
        }
    }
}

fn contains(side: &[Replica], id: ReplicaId) -> bool {
    side.iter().any(|replica| replica.id == id)
}

fn is_majority(side: &[Replica], has: &impl Fn(ReplicaId) -> bool) -> bool {
    2 * side.iter().filter(|replica| has(replica.id)).count() > side.len()
}
