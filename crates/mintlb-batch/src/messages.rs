//! Calls of dispatchers to stores on [`mintlb_common::transport::Channel::Batch`], and their answers. Each is a
//! [`crate::framing`] head; what is raw behind it is said at the variant. Messages between replicas are
//! notices on the same channel, see [`crate::peer`].

use crate::entry::{ItemState, JobHeader};
use minicbor::{Decode, Encode};

/// Identifies a dispatcher process as holder of leases; drawn at its start.
pub type DispatcherId = u64;

/// What a dispatcher asks of the primary of a shard.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum StoreRequest {
    /// Take a lot. Raw: the payloads of its items, one after another.
    #[n(0)]
    Submit(#[n(0)] Submit),
    /// Results of a lot from a position on.
    #[n(1)]
    Read(#[n(0)] Read),
    /// The payload of an item that is not listed.
    #[n(2)]
    Body(#[n(0)] ItemName),
    /// End a lot.
    #[n(3)]
    End(#[n(0)] JobName),
    /// Items that nobody runs, of all shards this store is in charge of.
    #[n(4)]
    Lease(#[n(0)] Lease),
    /// The holder still runs these.
    #[n(5)]
    Renew(#[n(0)] Renew),
    /// The result of an item. Raw: its text.
    #[n(6)]
    Record(#[n(0)] Record),
    /// The holder runs nothing any more.
    #[n(7)]
    Release(#[n(0)] DispatcherId),
}

/// A lot by its host and id.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct JobName {
    /// The `Host` of its route.
    #[n(0)]
    pub host: String,
    /// The id that its client gave it.
    #[n(1)]
    pub id: String,
}

/// An item by its lot and id.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ItemName {
    /// Its lot.
    #[n(0)]
    pub job: JobName,
    /// Its `instance_id`.
    #[n(1)]
    pub item: String,
}

/// A lot to take.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Submit {
    /// The epoch of the shard that the dispatcher knows; another one is refused, so that a call that lay
    /// about is never carried out later.
    #[n(0)]
    pub epoch: u64,
    /// Who runs the items.
    #[n(1)]
    pub owner: DispatcherId,
    /// Tokens that may wait on the lot's route; 0 is no limit.
    #[n(2)]
    pub max_queued_tokens: u64,
    /// The lot without its payloads.
    #[n(3)]
    pub job: JobHeader,
}

/// Results to read.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Read {
    /// The lot.
    #[n(0)]
    pub job: JobName,
    /// The first position.
    #[n(1)]
    pub start_after: u64,
    /// How long to wait for a first result, in ms.
    #[n(2)]
    pub wait_ms: u64,
    /// The most bytes of texts; one result comes in any case.
    #[n(3)]
    pub max_bytes: u64,
}

/// Items to lease.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Lease {
    /// Who will run them.
    #[n(0)]
    pub owner: DispatcherId,
    /// How many at most.
    #[n(1)]
    pub max_items: u32,
}

/// Leases to renew.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Renew {
    /// Who runs them.
    #[n(0)]
    pub owner: DispatcherId,
    /// The items by lot.
    #[n(1)]
    pub jobs: Vec<LeasedItems>,
}

/// Items of one lot that a dispatcher holds, by their place in the lot.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LeasedItems {
    /// The lot.
    #[n(0)]
    pub job: JobName,
    /// The items.
    #[n(1)]
    pub items: Vec<u32>,
    /// Those of them that failed, each with the count of its failed attempts over all holders.
    #[n(2)]
    #[cbor(default)]
    pub failures: Vec<(u32, u32)>,
}

/// The result of an item.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Record {
    /// The lot.
    #[n(0)]
    pub job: JobName,
    /// The item's place in the lot.
    #[n(1)]
    pub item: u32,
    /// How it came out.
    #[n(2)]
    pub state: ItemState,
}

/// A store's answer.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum StoreResponse {
    /// This store is not in charge of the shard: nothing of the call was or will be done.
    #[n(0)]
    NotPrimary,
    /// The store can't tell; the call may have been done.
    #[n(1)]
    Indeterminate,
    /// No such lot or item, for sure.
    #[n(2)]
    NotFound,
    /// The lot is taken, now or before.
    #[n(3)]
    Accepted {
        /// The caller is to run all of its items.
        #[n(0)]
        leased: bool,
    },
    /// The lot does not fit into what may wait on its route.
    #[n(4)]
    QuotaExceeded,
    /// Another lot with this id is there.
    #[n(5)]
    Conflict,
    /// The store's disk is nearly full: the lot is not taken.
    #[n(6)]
    DiskFull,
    /// Results. Raw: their texts, one after another.
    #[n(7)]
    Page(#[n(0)] Page),
    /// Raw: an item's payload.
    #[n(8)]
    Body,
    /// The lot is ended.
    #[n(9)]
    Ended,
    /// Items to run. Raw: their payloads, one after another.
    #[n(10)]
    Leased(#[n(0)] Vec<LeasedItemHeader>),
    /// The leases are renewed but for some.
    #[n(11)]
    Renewed(#[n(0)] RenewResult),
    /// The result is kept, or another one before it, or the lot is ended.
    #[n(12)]
    Recorded,
    /// The leases are given up.
    #[n(13)]
    Released,
}

/// A page of results.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Page {
    /// Items of the lot.
    #[n(0)]
    pub total: u64,
    /// The position after the last result of the page.
    #[n(1)]
    pub next: u64,
    /// The results.
    #[n(2)]
    pub results: Vec<PageResult>,
}

/// One result of a page.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct PageResult {
    /// The item's `instance_id`.
    #[n(0)]
    pub item: String,
    /// How it came out.
    #[n(1)]
    pub state: ItemState,
    /// Bytes of its text.
    #[n(2)]
    pub length: u64,
}

/// An item to run, without its payload.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LeasedItemHeader {
    /// Its lot.
    #[n(0)]
    pub job: JobName,
    /// The lot's route.
    #[n(1)]
    pub route: String,
    /// The lot's times and limits.
    #[n(2)]
    pub terms: crate::entry::JobTerms,
    /// Its place in the lot.
    #[n(3)]
    pub index: u32,
    /// Its `instance_id`.
    #[n(4)]
    pub item: String,
    /// Its tokens.
    #[n(5)]
    pub tokens: u64,
    /// Bytes of its payload.
    #[n(6)]
    pub length: u64,
    /// Its failed attempts so far, as far as its holders told of them.
    #[n(7)]
    #[cbor(default)]
    pub failures: u32,
}

/// What became of leases.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct RenewResult {
    /// Items that the holder is to stop: listed, leased to another, or of an ended or unknown lot.
    #[n(0)]
    pub lost: Vec<LeasedItems>,
    /// Items at this store that nobody runs.
    #[n(1)]
    pub open: u32,
}
