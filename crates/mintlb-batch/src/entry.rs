//! Entries of a shard's log.
//!
//! An entry is stored and sent as a [`crate::framing`] head followed by raw bytes. Stores never
//! decode the raw bytes: they are the payloads and result texts of items.

use crate::epoch_history::LogIndex;
use crate::framing;
use crate::messages::JobName;
use bytes::Bytes;
use minicbor::{Decode, Encode};

/// One log entry.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Entry {
    /// First entry of an epoch. Once a quorum has it, everything before it is committed as well.
    #[n(0)]
    EpochStart,
    /// A job was accepted. Raw: the concatenated payloads of its items; empty once they were
    /// stripped.
    #[n(1)]
    Accepted(#[n(0)] JobHeader),
    /// The result of an item was recorded. Raw: its text.
    #[n(2)]
    Result {
        /// Index of the entry that accepted the job.
        #[n(0)]
        job: LogIndex,
        /// Offset of the item within the job.
        #[n(1)]
        item: u32,
        /// Final state of the item.
        #[n(2)]
        state: ItemState,
    },
    /// A job was ended: its items without a result won't get one.
    #[n(3)]
    Ended {
        /// Index of the entry that accepted the job.
        #[n(0)]
        job: LogIndex,
    },
    /// Attempts of an item have failed. The count outlasts a takeover of the shard.
    #[n(4)]
    AttemptsFailed {
        /// Index of the entry that accepted the job.
        #[n(0)]
        job: LogIndex,
        /// Offset of the item within the job.
        #[n(1)]
        item: u32,
        /// Number of its failed attempts so far, over all owners.
        #[n(2)]
        attempts: u32,
    },
}

/// A job without the payloads of its items.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct JobHeader {
    /// The `Host` of its route.
    #[n(0)]
    pub host: String,
    /// The id assigned by the client; unique within the host.
    #[n(1)]
    pub id: String,
    /// The [`RouteId`](mintlb_common::configuration::RouteId) of its route; earlier releases wrote the
    /// route's name.
    #[n(2)]
    pub route: String,
    /// Deadlines and retry limits.
    #[n(3)]
    pub terms: JobTerms,
    /// Its items, in the client's order.
    #[n(4)]
    pub items: Vec<ItemHeader>,
    /// The name of the tenant that submitted it, if it was one.
    #[n(5)]
    pub tenant: Option<String>,
}

/// Deadlines and retry limits of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct JobTerms {
    /// When the job was first submitted, as far as the accepting dispatcher knows; Unix time in ms.
    #[n(0)]
    pub sent_at_ms: u64,
    /// Time from submission until all results are due, in ms.
    #[n(1)]
    pub completion_target_ms: u64,
    /// Time from submission after which items may be given up, in ms.
    #[n(2)]
    pub retention_ms: u64,
    /// Number of responses with status 500 after which an item may be given up.
    #[n(3)]
    pub max_attempts: u32,
}

/// An item without its payload.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ItemHeader {
    /// The client's `instance_id`; unique within the job.
    #[n(0)]
    pub id: String,
    /// Prompt tokens and maximum output tokens.
    #[n(1)]
    pub tokens: u64,
    /// Length of the payload in bytes.
    #[n(2)]
    pub length: u64,
}

/// Final state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum ItemState {
    /// Its output is complete.
    #[n(0)]
    Completed,
    /// It was given up.
    #[n(1)]
    Unrecoverable,
}

/// The request that a worker gets for an item, without the body: the head of each payload of
/// [`Entry::Accepted`].
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ItemPayload {
    /// Path of the `POST` request.
    #[n(0)]
    pub path: String,
    /// Header fields as name and value.
    #[n(1)]
    pub headers: Vec<(String, String)>,
}

impl ItemPayload {
    /// Encodes the payload, with the body of the request behind it.
    pub fn encode(&self, body: &[u8]) -> Bytes {
        framing::encode(self, &[body])
    }

    /// Decodes a payload into its head and the body of the request; `None` if it is malformed.
    pub fn decode(bytes: &Bytes) -> Option<(ItemPayload, Bytes)> {
        framing::decode(bytes)
    }
}

impl JobHeader {
    /// Identity of the job towards clients.
    pub fn name(&self) -> JobName {
        JobName {
            host: self.host.clone(),
            id: self.id.clone(),
        }
    }
}
