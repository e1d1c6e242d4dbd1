//! The messages between two processes' overlays. Each is declared beside its handler.

use crate::anti_entropy::{BucketVersions, Fetch, Heartbeat, Records};
use crate::broadcast::{Ack, DirectPush, Gossip, Graft, IHave};
use crate::membership::{NeighborReply, NeighborRequest, Probe, Shuffle};
use bytes::Bytes;
use minicbor::{Decode, Encode};
use mintlb_common::incarnation::Incarnation;
use std::net::SocketAddr;

/// What a process of the tier is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Role {
    /// It serves clients.
    #[n(0)]
    Dispatcher,
    /// It serves workers and the operator.
    #[n(1)]
    Controller,
    /// It holds lots.
    #[n(2)]
    Store,
}

/// One process of the tier.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Member {
    /// The internal address, by which other processes know it.
    #[n(0)]
    #[cbor(with = "crate::codec::address")]
    pub address: SocketAddr,
    /// Which life of the process it is.
    #[n(1)]
    pub incarnation: Incarnation,
    /// What it is.
    #[n(2)]
    pub role: Role,
    /// The machine's name.
    #[n(3)]
    pub node_name: String,
    /// The machine's zone.
    #[n(4)]
    pub zone: String,
}

/// One message; the enum only tells whose it is.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// Asks to become a neighbour.
    #[n(0)]
    Neighbor(#[n(0)] NeighborRequest),
    /// The sender has taken the receiver as a neighbour.
    #[n(1)]
    NeighborAccepted(#[n(0)] NeighborReply),
    /// The sender's active view is full.
    #[n(2)]
    NeighborRejected(#[n(0)] NeighborReply),
    /// The receiver is no neighbour of the sender's.
    #[n(3)]
    Disconnect,
    /// Entries of the sender's views; wants some of the receiver's.
    #[n(4)]
    Shuffle(#[n(0)] Shuffle),
    /// The answer to a shuffle.
    #[n(5)]
    ShuffleReply(#[n(0)] Shuffle),
    /// Asks a process that is no neighbour whether it is there.
    #[n(6)]
    Probe(#[n(0)] Probe),
    /// The answer to a probe.
    #[n(7)]
    ProbeReply(#[n(0)] Probe),
    /// A sign of life with a digest of the table.
    #[n(8)]
    Heartbeat(#[n(0)] Heartbeat),
    /// What the sender has in some buckets.
    #[n(9)]
    BucketVersions(#[n(0)] BucketVersions),
    /// Asks for records.
    #[n(10)]
    Fetch(#[n(0)] Fetch),
    /// Records that the receiver lacked.
    #[n(11)]
    Records(#[n(0)] Records),
    /// New records down the tree.
    #[n(12)]
    Gossip(#[n(0)] Gossip),
    /// What the sender has newly got.
    #[n(13)]
    IHave(#[n(0)] IHave),
    /// Makes the link part of the tree and asks for records.
    #[n(14)]
    Graft(#[n(0)] Graft),
    /// Takes the link out of the tree.
    #[n(15)]
    Prune,
    /// A record whose receipt is to be confirmed.
    #[n(16)]
    DirectPush(#[n(0)] DirectPush),
    /// Confirms that the sender has records.
    #[n(17)]
    Ack(#[n(0)] Ack),
}

impl Message {
    /// The message's bytes; empty if it can't be written, which only an address outside IPv4 causes.
    pub fn to_bytes(&self) -> Bytes {
        minicbor::to_vec(self).unwrap_or_default().into()
    }

    /// Reads a message; none if the bytes are no message.
    pub fn from_bytes(bytes: &[u8]) -> Option<Message> {
        minicbor::decode(bytes).ok()
    }
}
