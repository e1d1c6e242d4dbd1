//! Pings between controllers. The minicbor indexes are fixed: controllers of different releases
//! exchange them.

use minicbor::{Decode, Encode};
use mintlb_register::replica_set::ReplicaId;
use std::fmt;

/// The term of a singleton leader. Each leader takes one above all that it knows, so that an
/// outdated leader can be told from its successor. 0 stands for none yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[cbor(transparent)]
pub struct LeaderEpoch(#[n(0)] pub u64);

impl LeaderEpoch {
    /// The epoch of a successor.
    pub fn next(self) -> LeaderEpoch {
        LeaderEpoch(self.0 + 1)
    }
}

impl fmt::Display for LeaderEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The sender's view of itself and of the election.
#[derive(Clone, Copy, Debug, Encode, Decode)]
pub struct PeerStatus {
    /// The id of its replica, if it has one.
    #[n(0)]
    pub replica: Option<ReplicaId>,
    /// The highest leader epoch that it knows.
    #[n(1)]
    pub epoch: LeaderEpoch,
    /// The replica that it votes for as the leader; none if it is out of contact with a majority.
    #[n(2)]
    pub preferred_leader: Option<ReplicaId>,
}

/// A ping.
#[derive(Clone, Copy, Debug, Encode, Decode)]
pub struct Ping {
    /// The status of the sender.
    #[n(0)]
    pub status: PeerStatus,
    /// The timestamp of the newest pong received from the receiver.
    #[n(1)]
    pub echo: Option<u64>,
}

/// The response to a [`Ping`].
#[derive(Clone, Copy, Debug, Encode, Decode)]
pub struct Pong {
    /// The status of the sender.
    #[n(0)]
    pub status: PeerStatus,
    /// The time of the response by the sender's [`EchoClock`](super::echo_clock::EchoClock), to be
    /// echoed in the next ping.
    #[n(1)]
    pub timestamp: u64,
}
