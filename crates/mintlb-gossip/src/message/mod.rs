//! The messages between two gossiping processes, and their CBOR encoding.
//!
//! The messages are grouped by the protocol that they belong to: [`membership`] (HyParView),
//! [`broadcast`] (Plumtree) and [`anti_entropy`]. A message is encoded as an array of its kind's
//! number and its content. The numbers are fixed: processes of different versions exchange messages
//! during a rolling update.

pub mod anti_entropy;
pub mod broadcast;
mod codec;
pub mod membership;
pub mod record;

pub use anti_entropy::{BucketVersions, Fetch, Heartbeat, Records};
pub use broadcast::{Ack, DirectPush, Gossip, Graft, IHave};
pub use membership::{
    Member, MemberDescriptor, NeighborReply, NeighborRequest, Probe, Role, Shuffle,
};
pub use record::{FrameBatch, InvalidFrame, MAX_MESSAGE_BYTES, RecordFrame, RecordVersion};

use bytes::Bytes;
use minicbor::{Decode, Encode};

/// A message from one process to another.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Message {
    /// HyParView's NEIGHBOR: asks the receiver to add the sender to its active view.
    #[n(0)]
    Neighbor(#[n(0)] NeighborRequest),
    /// The sender has added the receiver to its active view.
    #[n(1)]
    NeighborAccepted(#[n(0)] NeighborReply),
    /// The sender's active view is full.
    #[n(2)]
    NeighborRejected(#[n(0)] NeighborReply),
    /// HyParView's DISCONNECT: the receiver is not in the sender's active view.
    #[n(3)]
    Disconnect,
    /// HyParView's SHUFFLE: a sample of the sender's views, to be answered with one of the
    /// receiver's.
    #[n(4)]
    Shuffle(#[n(0)] Shuffle),
    /// HyParView's SHUFFLEREPLY.
    #[n(5)]
    ShuffleReply(#[n(0)] Shuffle),
    /// Checks whether a process that is not a neighbor is reachable.
    #[n(6)]
    Probe(#[n(0)] Probe),
    /// The answer to a probe.
    #[n(7)]
    ProbeReply(#[n(0)] Probe),
    /// A keep-alive with a digest of the sender's table.
    #[n(8)]
    Heartbeat(#[n(0)] Heartbeat),
    /// The versions of all records in some buckets of the sender's table.
    #[n(9)]
    BucketVersions(#[n(0)] BucketVersions),
    /// Requests records that the sender lacks.
    #[n(10)]
    Fetch(#[n(0)] Fetch),
    /// Records that the receiver lacks.
    #[n(11)]
    Records(#[n(0)] Records),
    /// Plumtree's GOSSIP: new records, pushed eagerly.
    #[n(12)]
    Gossip(#[n(0)] Gossip),
    /// Plumtree's IHAVE: versions that the sender has, announced lazily.
    #[n(13)]
    IHave(#[n(0)] IHave),
    /// Plumtree's GRAFT: makes the link eager and requests records.
    #[n(14)]
    Graft(#[n(0)] Graft),
    /// Plumtree's PRUNE: makes the link lazy.
    #[n(15)]
    Prune,
    /// A record outside the broadcast tree, to be acknowledged.
    #[n(16)]
    DirectPush(#[n(0)] DirectPush),
    /// Acknowledges records.
    #[n(17)]
    Ack(#[n(0)] Ack),
}

/// The received bytes are not a message of this protocol.
#[derive(Debug, thiserror::Error)]
#[error("not a gossip message: {0}")]
pub struct MalformedMessage(#[from] minicbor::decode::Error);

impl Message {
    /// Encodes the message. The result is empty, which every receiver rejects as malformed, if the
    /// message holds an address that is not IPv4.
    pub fn to_bytes(&self) -> Bytes {
        minicbor::to_vec(self).unwrap_or_default().into()
    }

    /// Decodes a message.
    ///
    /// # Errors
    /// If the bytes are not a message of a known kind.
    pub fn from_bytes(bytes: &[u8]) -> Result<Message, MalformedMessage> {
        Ok(minicbor::decode(bytes)?)
    }
}
