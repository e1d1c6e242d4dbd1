//! Messages of the membership protocol, after HyParView (Leitão, Pereira and Rodrigues, "HyParView:
//! a membership protocol for reliable gossip-based broadcast", DSN 2007).

use minicbor::{Decode, Encode};
use mintlb_common::incarnation::Incarnation;
use std::net::SocketAddr;

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Role {
    /// Serves clients.
    #[n(0)]
    Dispatcher,
    /// Serves workers and operators.
    #[n(1)]
    Controller,
    /// Stores batch jobs.
    #[n(2)]
    Store,
}

/// A process, as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Member {
    /// The internal address, which identifies the process.
    #[n(0)]
    #[cbor(with = "crate::message::codec::address")]
    pub address: SocketAddr,
    /// The incarnation: it differs after each restart.
    #[n(1)]
    pub incarnation: Incarnation,
    /// The role.
    #[n(2)]
    pub role: Role,
    /// The machine's name.
    #[n(3)]
    pub node_name: String,
    /// The machine's zone, a failure domain.
    #[n(4)]
    pub zone: String,
}

/// A member with the age of the information about it, as in peer sampling (Jelasity et al.,
/// "Gossip-based peer sampling", 2007), but in seconds instead of hops.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MemberDescriptor {
    /// The member.
    #[n(0)]
    pub member: Member,
    /// Seconds since a process last received a message from the member, rounded up.
    #[n(1)]
    pub age_s: u32,
}

/// Asks the receiver to add the sender to its active view.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct NeighborRequest {
    /// The sender.
    #[n(0)]
    pub member: Member,
    /// The receiver must accept, and evict another neighbor if its active view is full.
    #[n(1)]
    pub high_priority: bool,
    /// A sample of the sender's views.
    #[n(2)]
    pub sample: Vec<MemberDescriptor>,
}

/// The answer to a [`NeighborRequest`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct NeighborReply {
    /// The sender.
    #[n(0)]
    pub member: Member,
    /// A sample of the sender's views.
    #[n(1)]
    pub sample: Vec<MemberDescriptor>,
    /// Neighbors that the sender has recently lost, with the time since. They may be on the other
    /// side of a network partition that the receiver reaches.
    #[n(2)]
    pub lost_neighbors: Vec<MemberDescriptor>,
}

/// A sample of the sender's views.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Shuffle {
    /// The sample.
    #[n(0)]
    pub entries: Vec<MemberDescriptor>,
}

/// A reachability check of a process that is not a neighbor, or the answer to one.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Probe {
    /// The sender.
    #[n(0)]
    pub member: Member,
    /// The hash of the sender's table.
    #[n(1)]
    pub table_hash: u64,
}
