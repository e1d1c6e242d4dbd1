//! Messages of the broadcast protocol, after Plumtree (Leitão, Pereira and Rodrigues, "Epidemic
//! Broadcast Trees", SRDS 2007), and of acknowledged publication.

use super::record::{RecordFrame, RecordVersion};
use crate::record_id::RecordId;
use minicbor::{Decode, Encode};

/// New records, pushed eagerly along the tree.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Gossip {
    /// The records.
    #[n(0)]
    pub records: Vec<RecordFrame>,
    /// The receiver must acknowledge the records.
    #[n(1)]
    pub ack_requested: bool,
}

/// Announces on a lazy link which records the sender has received.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct IHave {
    /// The announced versions.
    #[n(0)]
    pub versions: Vec<RecordVersion>,
}

/// Makes the link eager and requests records that were announced but not received.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Graft {
    /// The requested records.
    #[n(0)]
    pub ids: Vec<RecordId>,
}

/// A record that its publisher sends to a neighbor directly, outside the tree, to be acknowledged.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct DirectPush {
    /// The record.
    #[n(0)]
    pub record: RecordFrame,
}

/// Acknowledges that the sender has these versions of records.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Ack {
    /// The versions that the sender has.
    #[n(0)]
    pub versions: Vec<RecordVersion>,
}
