//! Events that drive a proposal, and what its driver has to do.

use crate::ballot::Ballot;
use crate::change::ChangeOutcome;
use crate::message::{AcceptedValue, OutboundRequest, Reply};
use crate::replica_set::ReplicaId;
use std::time::Duration;

/// An event for a proposal.
#[derive(Clone, Debug)]
pub enum Input {
    /// A replica has replied.
    Reply {
        /// The replica.
        from: ReplicaId,
        /// Its reply.
        reply: Reply,
    },
    /// A request to a replica, or its reply, was lost.
    Lost {
        /// The replica.
        from: ReplicaId,
        /// Ballot of the request.
        ballot: Ballot,
    },
    /// The timer that was set last has expired.
    Timer,
}

/// What the driver of a proposal has to do, in this order: send, set the timer, report the outcome.
#[derive(Debug, Default)]
pub struct Effects {
    /// Requests to send.
    pub requests: Vec<OutboundRequest>,
    /// Replaces the timer by one that expires after this time.
    pub timer: Option<Duration>,
    /// The outcome. The proposal has ended and needs no further input.
    pub outcome: Option<ProposalOutcome>,
}

/// How a proposal has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct ProposalOutcome {
    /// What became of the change.
    pub change: ChangeOutcome,
    /// The newest value, which is chosen.
    pub chosen: AcceptedValue,
}
