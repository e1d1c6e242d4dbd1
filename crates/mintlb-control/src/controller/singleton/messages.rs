//! The messages between controllers on the control channel. Their minicbor indexes are fixed:
//! controllers of different releases exchange them.

use crate::controller::contact::messages::{LeaderEpoch, Ping, Pong};
use bytes::Bytes;
use minicbor::{Decode, Encode};

/// A request to another controller.
#[derive(Debug, Encode, Decode)]
pub enum ControllerRequest {
    /// A ping.
    #[n(0)]
    Ping(#[n(0)] Ping),
    /// Which workers send their heartbeats to the receiver? Rejected under an epoch that is
    /// outdated.
    #[n(1)]
    Workers {
        /// The epoch under which the sender leads.
        #[n(0)]
        epoch: LeaderEpoch,
    },
    /// The operator's request on the retirement of a store, forwarded by a controller that doesn't
    /// receive the stores' heartbeats.
    #[n(2)]
    Retirement(#[n(0)] RetirementRequest),
}

/// The response to a [`ControllerRequest`].
#[derive(Debug, Encode, Decode)]
pub enum ControllerResponse {
    /// The response to a ping.
    #[n(0)]
    Pong(#[n(0)] Pong),
    /// Hashes of the ids of the workers that send their heartbeats to the sender.
    #[n(1)]
    Workers(#[n(0)] Vec<u32>),
    /// The sender knows a higher leader epoch.
    #[n(2)]
    StaleEpoch {
        /// That epoch.
        #[n(0)]
        epoch: LeaderEpoch,
    },
    /// The result for the operator.
    #[n(3)]
    Retirement(#[n(0)] RetirementStatus),
}

/// The operator's request on the retirement of a store.
#[derive(Clone, Debug, Encode, Decode)]
pub struct RetirementRequest {
    /// The name of the store's machine.
    #[n(0)]
    pub node_name: String,
    /// Whether to start the retirement, rather than to report its progress.
    #[n(1)]
    pub begin: bool,
}

/// The result of a [`RetirementRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum RetirementStatus {
    /// The retirement is ordered.
    #[n(0)]
    Ordered,
    /// It is under way.
    #[n(1)]
    Running,
    /// It is complete: the machine can be removed.
    #[n(2)]
    Completed,
    /// There is no such store, or no such order.
    #[n(3)]
    NotFound,
    /// Too few stores would remain.
    #[n(4)]
    TooFewStores,
    /// The status can't be determined now: the request may be tried again.
    #[n(5)]
    Unavailable,
}

/// Encodes a message.
pub fn encode<T: Encode<()>>(message: &T) -> Bytes {
    minicbor::to_vec(message).unwrap_or_default().into()
}
