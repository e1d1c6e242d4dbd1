//! The value of the register: replica set, operator's configuration, shard placement.

use crate::applied_history::{AppliedHistory, HistoryLookup};
use crate::replica_set::{Replica, ReplicaSet};
use minicbor::{Decode, Encode};
use mintlb_common::placement::Placement;
use mintlb_common::quorum::FaultTolerance;
use std::cmp::Ordering;

/// The value of the register. Each change writes all of it.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ControlState {
    /// Number of changes so far; each change raises it by one.
    #[n(0)]
    pub revision: u64,
    /// The voting replicas.
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
    /// List in which the first release kept the latest configurations, with a weaker digest. It is skipped when decoded
    /// and encoded as an empty list, so that the first release can decode the other fields.
    #[cbor(n(5), with = "legacy_history")]
    pub legacy_history: (),
    /// Configurations that were applied before the current one. `None` in a value that the first release has written.
    #[n(6)]
    pub applied_history: Option<AppliedHistory>,
}

impl ControlState {
    /// The first value of a register, with one replica and the losses that are to be tolerated.
    pub fn bootstrap(replica: Replica, tolerance: FaultTolerance) -> ControlState {
        ControlState {
            revision: 1,
            replicas: ReplicaSet::bootstrap(replica, tolerance),
            applied_history: Some(AppliedHistory::default()),
            ..ControlState::default()
        }
    }

    /// Whether the configuration with this version and text is or was in force.
    pub fn lookup_configuration(&self, version: u64, text: &[u8]) -> HistoryLookup {
        match version.cmp(&self.configuration_version) {
            Ordering::Greater => HistoryLookup::NotApplied,
            Ordering::Equal if text == self.configuration => HistoryLookup::Applied,
            Ordering::Equal => HistoryLookup::NotApplied,
            Ordering::Less => self.lookup_superseded(version, text),
        }
    }

    fn lookup_superseded(&self, version: u64, text: &[u8]) -> HistoryLookup {
        match &self.applied_history {
            Some(history) => history.lookup(version, text),
            None => HistoryLookup::Compacted,
        }
    }

    /// The value with another configuration. The one in force moves to the history.
    pub(crate) fn with_configuration(&self, version: u64, text: &[u8]) -> ControlState {
        let mut history = self
            .applied_history
            .clone()
            .unwrap_or_else(|| self.history_without_records());
        if self.configuration_version > 0 {
            history.push(self.configuration_version, &self.configuration);
        }
        ControlState {
            configuration_version: version,
            configuration: text.to_vec(),
            applied_history: Some(history),
            ..self.clone()
        }
    }

    /// A history that claims nothing of the versions before the current one: the first release has kept no record.
    fn history_without_records(&self) -> AppliedHistory {
        AppliedHistory::starting_after(self.configuration_version.saturating_sub(1))
    }
}

/// Codec of [`ControlState::legacy_history`].
mod legacy_history {
    use minicbor::encode::{Error as EncodeError, Write};
    use minicbor::{Decoder, Encoder};

    pub fn encode<C, W: Write>(
        (): &(),
        e: &mut Encoder<W>,
        _: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        e.array(0)?;
        Ok(())
    }

    pub fn decode<C>(d: &mut Decoder<'_>, _: &mut C) -> Result<(), minicbor::decode::Error> {
        d.skip()
    }
}
