//! Entries of a shard's log. Each lies on disk and travels as a [`crate::framing`] head with raw bytes behind
//! it.

use crate::framing;
use bytes::Bytes;
use minicbor::{Decode, Encode};

/// One entry.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum Entry {
    /// A primary begins its epoch.
    #[n(0)]
    EpochStart,
    /// A lot is taken. Raw: the payloads of its items, one after another; none once they are no longer
    /// needed.
    #[n(1)]
    Accepted(#[n(0)] JobHeader),
    /// An item is listed. Raw: its text.
    #[n(2)]
    Result {
        /// The lot, by the index of its entry.
        #[n(0)]
        job: u64,
        /// The item's place in the lot.
        #[n(1)]
        item: u32,
        /// How it came out.
        #[n(2)]
        state: ItemState,
    },
    /// A lot is ended.
    #[n(3)]
    Ended {
        /// The lot, by the index of its entry.
        #[n(0)]
        job: u64,
    },
}

/// A lot without the payloads of its items.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct JobHeader {
    /// The `Host` of its route.
    #[n(0)]
    pub host: String,
    /// The id that its client gave it.
    #[n(1)]
    pub id: String,
    /// The name of its route.
    #[n(2)]
    pub route: String,
    /// Its times and limits.
    #[n(3)]
    pub terms: JobTerms,
    /// Its items, in the client's order.
    #[n(4)]
    pub items: Vec<ItemHeader>,
}

/// Times and limits of a lot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct JobTerms {
    /// When it was first sent, as far as the dispatcher that took it knows; Unix time in ms.
    #[n(0)]
    pub sent_at_ms: u64,
    /// All results are due so long after that, in ms.
    #[n(1)]
    pub completion_target_ms: u64,
    /// Its items may be given up so long after it was sent, in ms.
    #[n(2)]
    pub retention_ms: u64,
    /// Answers of 500 after which an item may be given up.
    #[n(3)]
    pub max_attempts: u32,
}

/// An item without its payload.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ItemHeader {
    /// Its `instance_id`.
    #[n(0)]
    pub id: String,
    /// Its tokens: those of the prompt and the most out.
    #[n(1)]
    pub tokens: u64,
    /// Bytes of its payload.
    #[n(2)]
    pub length: u64,
}

/// How an item came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum ItemState {
    /// With its whole output.
    #[n(0)]
    Completed,
    /// It can't be done.
    #[n(1)]
    Unrecoverable,
}

/// What a worker is sent for an item: its payload in an [`Entry::Accepted`].
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ItemPayload {
    /// The path of the `POST`.
    #[n(0)]
    pub path: String,
    /// Its headers.
    #[n(1)]
    pub headers: Vec<(String, String)>,
}

impl ItemPayload {
    /// The payload with the item's body behind it.
    pub fn encode(&self, body: &[u8]) -> Bytes {
        framing::encode(self, &[body])
    }

    /// The payload and the item's body.
    pub fn decode(bytes: &Bytes) -> Option<(ItemPayload, Bytes)> {
        framing::decode(bytes)
    }
}

impl JobHeader {
    /// Where an item's payload lies within the payloads of the lot.
    pub fn payload_range(&self, item: usize) -> std::ops::Range<usize> {
        let start: u64 = self.items[..item].iter().map(|item| item.length).sum();
        start as usize..(start + self.items[item].length) as usize
    }
}
