//! The value of the register: the set of replicas, the operator's configuration, the placement.

use crate::applied_history::{AppliedHistory, HistoryLookup};
use crate::replica_set::{Replica, ReplicaSet};
use minicbor::{Decode, Encode};
use mintlb_common::placement::Placement;
use std::cmp::Ordering;

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
    pub legacy_history: (),
    /// The configurations that were taken before the current one. None in a value that such a program has written.
    #[n(6)]
    pub applied_history: Option<AppliedHistory>,
}

impl ControlState {
    /// The value with which a register begins.
    pub fn bootstrap(replica: Replica) -> ControlState {
        let applied_history = Some(AppliedHistory::default());
        ControlState {
            revision: 1,
            replicas: ReplicaSet::bootstrap(replica),
            applied_history,
            ..ControlState::default()
        }
    }

    /// Whether this very configuration is in force or was before.
    pub fn lookup_configuration(&self, version: u64, text: &[u8]) -> HistoryLookup {
        match version.cmp(&self.configuration_version) {
            Ordering::Greater => HistoryLookup::NotApplied,
            Ordering::Equal if text == self.configuration => HistoryLookup::Applied,
            Ordering::Equal => HistoryLookup::NotApplied,
            Ordering::Less => self
                .applied_history
                .as_ref()
                .map_or(HistoryLookup::Compacted, |taken| {
                    taken.look_up(version, text)
                }),
        }
    }

    /// The value with another configuration.
    pub(crate) fn with_configuration(&self, version: u64, text: &[u8]) -> ControlState {
        let mut applied_history = self.applied_history.clone().unwrap_or_else(|| {
            AppliedHistory::starting_after(self.configuration_version.saturating_sub(1))
        });
        if self.configuration_version > 0 {
            applied_history.push(self.configuration_version, &self.configuration);
        }
        let mut next = self.clone();
        next.configuration_version = version;
        next.configuration = text.to_vec();
        next.applied_history = Some(applied_history);
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
