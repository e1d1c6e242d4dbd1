//! Messages between proposers, readers and acceptors.
//!
//! The numbers of variants and fields are part of the wire format: processes of different releases exchange them.

use crate::ballot::Ballot;
use crate::replica_set::{Replica, ReplicaId};
use crate::state::ControlState;
use minicbor::{Decode, Encode};
use std::sync::Arc;

/// A value together with the ballot at which it was proposed or accepted. At one ballot only one value is ever proposed.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AcceptedValue {
    /// The ballot.
    #[n(0)]
    pub ballot: Ballot,
    /// The value.
    #[cbor(n(1), with = "shared_state")]
    pub state: Arc<ControlState>,
}

/// A request and the replica to send it to.
#[derive(Clone, Debug, PartialEq)]
pub struct OutboundRequest {
    /// The recipient.
    pub to: Replica,
    /// The request.
    pub request: Request,
}

impl OutboundRequest {
    /// A request to this replica, which names it as its target.
    pub(crate) fn new(to: Replica, body: RequestBody) -> OutboundRequest {
        let target = to.id;
        OutboundRequest {
            to,
            request: Request { target, body },
        }
    }
}

/// A request to one replica. Only the replica with this identity executes it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Request {
    /// Identity of the replica.
    #[n(0)]
    pub target: ReplicaId,
    /// What is requested.
    #[n(1)]
    pub body: RequestBody,
}

/// What is requested of an acceptor.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum RequestBody {
    /// Phase 1a: reject lower ballots from now on, and report the value accepted last.
    #[n(0)]
    Prepare {
        /// Ballot of the attempt.
        #[n(0)]
        ballot: Ballot,
        /// Ballot of the value that the proposer has already, which need not be sent.
        #[n(1)]
        known: Option<Ballot>,
    },
    /// Phase 2a: accept this value.
    #[n(1)]
    Accept {
        /// The value, at the ballot of the attempt.
        #[n(0)]
        proposed: AcceptedValue,
    },
    /// Report the value accepted last, without a promise.
    #[n(2)]
    Read {
        /// Ballot of the value that the reader has already, which need not be sent.
        #[n(0)]
        known: Option<Ballot>,
    },
}

impl RequestBody {
    /// The ballot of the attempt that the request belongs to; the lowest ballot for a read, which belongs to none.
    pub fn ballot(&self) -> Ballot {
        match self {
            RequestBody::Prepare { ballot, .. } => *ballot,
            RequestBody::Accept { proposed } => proposed.ballot,
            RequestBody::Read { .. } => Ballot::default(),
        }
    }
}

/// The value that an acceptor has accepted last, as it reports it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ReportedValue {
    /// It has accepted no value yet.
    #[n(0)]
    Nothing,
    /// The value that the requester has already, by its ballot.
    #[n(1)]
    Unchanged(#[n(0)] Ballot),
    /// The value.
    #[n(2)]
    Value(#[n(0)] AcceptedValue),
}

impl ReportedValue {
    /// The ballot at which the value was accepted; `None` if there is no value.
    pub fn ballot(&self) -> Option<Ballot> {
        match self {
            ReportedValue::Nothing => None,
            ReportedValue::Unchanged(ballot) => Some(*ballot),
            ReportedValue::Value(accepted) => Some(accepted.ballot),
        }
    }
}

/// A replica's reply.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Reply {
    /// Phase 1b: lower ballots will be rejected.
    #[n(0)]
    Promise {
        /// Ballot of the request.
        #[n(0)]
        ballot: Ballot,
        /// The value accepted last, at a lower ballot.
        #[n(1)]
        last_accepted: ReportedValue,
    },
    /// Phase 2b: the value was accepted.
    #[n(1)]
    Accepted {
        /// Ballot of the request.
        #[n(0)]
        ballot: Ballot,
    },
    /// Prepare or accept was rejected: a higher ballot has been promised. The proposer retries above that one.
    #[n(2)]
    Rejected {
        /// Ballot of the request.
        #[n(0)]
        ballot: Ballot,
        /// The ballot that has been promised.
        #[n(1)]
        promised: Ballot,
    },
    /// Reply to a read.
    #[n(3)]
    Read {
        /// The value accepted last.
        #[n(0)]
        last_accepted: ReportedValue,
        /// The ballot that has been promised.
        #[n(1)]
        promised: Ballot,
    },
    /// The request was for another replica: the target's disk was lost, or another process has its address now.
    #[n(4)]
    WrongReplica {
        /// Identity of the replica at this address.
        #[n(0)]
        id: ReplicaId,
    },
}

/// Codec of a value behind an [`Arc`].
mod shared_state {
    use super::{Arc, ControlState};
    use minicbor::encode::{Error as EncodeError, Write};
    use minicbor::{Decode, Decoder, Encode, Encoder};

    pub fn encode<C, W: Write>(
        state: &Arc<ControlState>,
        e: &mut Encoder<W>,
        context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        state.as_ref().encode(e, context)
    }

    pub fn decode<'b, C>(
        d: &mut Decoder<'b>,
        context: &mut C,
    ) -> Result<Arc<ControlState>, minicbor::decode::Error> {
        ControlState::decode(d, context).map(Arc::new)
    }
}
