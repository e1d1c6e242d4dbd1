//! What controllers say to each other on the channel of the duties.

use crate::controller::contact::ping_state::{Ping, Pong};
use bytes::Bytes;
use minicbor::{Decode, Encode};

/// A call between controllers.
#[derive(Debug, Encode, Decode)]
pub enum SingletonRequest {
    /// I run.
    #[n(0)]
    Ping(#[n(0)] Ping),
    /// Which workers call you? Refused under an epoch that is too low.
    #[n(1)]
    Workers {
        /// The epoch of the duties under which it is asked.
        #[n(0)]
        epoch: u64,
    },
    /// The operator's call on the retirement of a store, passed on by a controller that does not hear the stores.
    #[n(2)]
    Retire(#[n(0)] RetirementRequest),
}

/// The answer to a [`SingletonRequest`].
#[derive(Debug, Encode, Decode)]
pub enum SingletonResponse {
    /// I run as well.
    #[n(0)]
    Pong(#[n(0)] Pong),
    /// Hashes of the ids of the workers that call here.
    #[n(1)]
    Workers(#[n(0)] Vec<u32>),
    /// A higher epoch is known.
    #[n(2)]
    Stale {
        /// That epoch.
        #[n(0)]
        epoch: u64,
    },
    /// What to answer to the operator.
    #[n(3)]
    Retire(#[n(0)] RetirementStatus),
}

/// The operator's call on the retirement of a store, as it is passed on.
#[derive(Clone, Debug, Encode, Decode)]
pub struct RetirementRequest {
    /// The machine's name.
    #[n(0)]
    pub node_name: String,
    /// Begin, rather than tell how far it is.
    #[n(1)]
    pub begin: bool,
}

/// What the operator is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum RetirementStatus {
    /// The order stands.
    #[n(0)]
    Ordered,
    /// It is under way.
    #[n(1)]
    Running,
    /// The machine can be taken away.
    #[n(2)]
    Completed,
    /// There is no such store or no such order.
    #[n(3)]
    Unknown,
    /// Too few stores would be left.
    #[n(4)]
    TooFew,
    /// It can't be said now.
    #[n(5)]
    Unavailable,
}

/// Encodes a message between controllers.
pub fn encoded<T: Encode<()>>(message: &T) -> Bytes {
    minicbor::to_vec(message).unwrap_or_default().into()
}
