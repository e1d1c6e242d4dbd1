//! The value of the register: the set of replicas, the operator's configuration, the placement.

use crate::taken::{Remembered, TakenHistory};
use minicbor::{Decode, Encode};
use mintlb_common::placement::Placement;
use std::cmp::Ordering;

/// Identifies a replica with its disk: an emptied disk is another replica.
pub type ReplicaId = u64;

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
    pub fn founded_by(replica: Replica) -> ReplicaSet {
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
    pub fn survives(&self, lost: usize) -> bool {
        let enough = |side: &[Replica]| side.len() > 2 * lost;
        enough(&self.current) && (self.previous.is_empty() || enough(&self.previous))
    }

    /// Whether what a quorum has accepted is still on a disk after the loss of any `lost` ones; there may be no quorum to
    /// read it.
    pub fn keeps(&self, lost: usize) -> bool {
        let enough = |side: &[Replica]| side.len() / 2 + 1 > lost;
        enough(&self.current) && (self.previous.is_empty() || enough(&self.previous))
    }

    /// The current replica with this identity.
    pub fn current_replica(&self, id: ReplicaId) -> Option<&Replica> {
        self.current.iter().find(|replica| replica.id == id)
    }

    /// The joint set that leads to `members`.
    pub(crate) fn changed_to(&self, members: Vec<Replica>) -> ReplicaSet {
        ReplicaSet {
            epoch: self.epoch + 1,
            previous: self.current.clone(),
            current: members,
        }
    }

    /// The set with its change ended.
    pub(crate) fn settled(&self) -> ReplicaSet {
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

/// The value of the register.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ControlState {
    /// Rises by one with each change.
    #[n(0)]
    pub revision: u64,
    /// Who votes.
    #[n(1)]
    pub replicas: ReplicaSet,
    /// `config_version` of the configuration; 0 before the first.
    #[n(2)]
    pub configuration_version: u64,
    /// The configuration as the operator sent it; empty before the first.
    #[cbor(n(3), with = "minicbor::bytes")]
    pub configuration: Vec<u8>,
    /// Which stores hold which shard.
    #[n(4)]
    pub placement: Placement,
    /// Where programs of the first release keep the latest configurations, with a weaker digest: not read any more, and
    /// written empty, so that they can read the rest.
    #[cbor(n(5), with = "former_list")]
    pub former_taken: (),
    /// The configurations that were taken before the current one. None in a value that such a program has written.
    #[n(6)]
    pub superseded: Option<TakenHistory>,
}

impl ControlState {
    /// The value with which a register begins.
    pub fn founded_by(replica: Replica) -> ControlState {
        let superseded = Some(TakenHistory::default());
        ControlState {
            revision: 1,
            replicas: ReplicaSet::founded_by(replica),
            superseded,
            ..ControlState::default()
        }
    }

    /// Whether this very configuration is in force or was before.
    pub fn remembers(&self, version: u64, text: &[u8]) -> Remembered {
        match version.cmp(&self.configuration_version) {
            Ordering::Greater => Remembered::NotTaken,
            Ordering::Equal if text == self.configuration => Remembered::Taken,
            Ordering::Equal => Remembered::NotTaken,
            Ordering::Less => self
                .superseded
                .as_ref()
                .map_or(Remembered::Forgotten, |taken| taken.look_up(version, text)),
        }
    }

    /// The value with another configuration.
    pub(crate) fn with_configuration(&self, version: u64, text: &[u8]) -> ControlState {
        let mut superseded = self.superseded.clone().unwrap_or_else(|| {
            TakenHistory::beginning_after(self.configuration_version.saturating_sub(1))
        });
        if self.configuration_version > 0 {
            superseded.push(self.configuration_version, &self.configuration);
        }
        let mut next = self.clone();
        next.configuration_version = version;
        next.configuration = text.to_vec();
        next.superseded = Some(superseded);
        next
    }
}

/// Codec of a list that is no longer used.
mod former_list {
    use minicbor::encode::{Error as EncodeError, Write};
    use minicbor::{Decoder, Encoder};

    pub fn encode<C, W: Write>(
        (): &(),
        e: &mut Encoder<W>,
        _: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        e.array(0).map(|_| ())
    }

    pub fn decode<C>(d: &mut Decoder<'_>, _: &mut C) -> Result<(), minicbor::decode::Error> {
        d.skip()
    }
}
