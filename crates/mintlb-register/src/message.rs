//! What proposers and acceptors say to each other.

use crate::ballot::Ballot;
use crate::replica_set::ReplicaId;
use crate::state::ControlState;
use minicbor::{Decode, Encode};
use std::sync::Arc;

/// A value with the ballot at which it was accepted. A ballot names one value, for good.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AcceptedValue {
    /// Where.
    #[n(0)]
    pub ballot: Ballot,
    /// What.
    #[cbor(n(1), with = "shared")]
    pub state: Arc<ControlState>,
}

/// A proposer's or reader's message to one replica. Only the replica with this identity answers it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Request {
    /// The replica.
    #[n(0)]
    pub target: ReplicaId,
    /// What is asked.
    #[n(1)]
    pub body: RequestBody,
}

/// What is asked of a replica.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum RequestBody {
    /// Round one: promise to refuse lower ballots, and report what you have accepted.
    #[n(0)]
    Prepare {
        /// The attempt.
        #[n(0)]
        ballot: Ballot,
        /// The value that the asker has.
        #[n(1)]
        known: Option<Ballot>,
    },
    /// Round two: accept this value.
    #[n(1)]
    Accept {
        /// The attempt, with the value.
        #[n(0)]
        proposed: AcceptedValue,
    },
    /// Report what you have accepted; nothing is promised.
    #[n(2)]
    Read {
        /// The value that the asker has.
        #[n(0)]
        known: Option<Ballot>,
    },
}

/// What a replica has accepted.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ReportedValue {
    /// Nothing.
    #[n(0)]
    Nothing,
    /// The value that the asker has.
    #[n(1)]
    Unchanged(#[n(0)] Ballot),
    /// This value.
    #[n(2)]
    Value(#[n(0)] AcceptedValue),
}

impl ReportedValue {
    /// The ballot of what was accepted.
    pub fn ballot(&self) -> Option<Ballot> {
        match self {
            ReportedValue::Nothing => None,
            ReportedValue::Unchanged(ballot) => Some(*ballot),
            ReportedValue::Value(accepted) => Some(accepted.ballot),
        }
    }
}

/// A replica's answer.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Reply {
    /// Promised, at this ballot.
    #[n(0)]
    Promise {
        /// The attempt.
        #[n(0)]
        ballot: Ballot,
        /// What was accepted before.
        #[n(1)]
        last_accepted: ReportedValue,
    },
    /// Accepted, at this ballot.
    #[n(1)]
    Accepted {
        /// The attempt.
        #[n(0)]
        ballot: Ballot,
    },
    /// Refused, as this higher ballot has been promised.
    #[n(2)]
    Rejected {
        /// The attempt.
        #[n(0)]
        ballot: Ballot,
        /// What has been promised.
        #[n(1)]
        promised: Ballot,
    },
    /// The answer to a read.
    #[n(3)]
    Read {
        /// What has been accepted.
        #[n(0)]
        last_accepted: ReportedValue,
        /// What has been promised.
        #[n(1)]
        promised: Ballot,
    },
    /// The replica that was asked for is not here; this one is.
    #[n(4)]
    WrongReplica {
        /// Its identity.
        #[n(0)]
        id: ReplicaId,
    },
}

/// Codec of a shared value.
mod shared {
    use super::{Arc, ControlState};
    use minicbor::encode::{Error as EncodeError, Write};
    use minicbor::{Decode, Decoder, Encode, Encoder};

    pub fn encode<C, W: Write>(
        state: &Arc<ControlState>,
        e: &mut Encoder<W>,
        context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        (**state).encode(e, context)
    }

    pub fn decode<'b, C>(
        d: &mut Decoder<'b>,
        context: &mut C,
    ) -> Result<Arc<ControlState>, minicbor::decode::Error> {
        ControlState::decode(d, context).map(Arc::new)
    }
}
