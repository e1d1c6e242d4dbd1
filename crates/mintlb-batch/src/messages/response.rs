//! Responses of stores to dispatchers.

use super::{JobName, LeasedItems};
use crate::entry::{ItemState, JobTerms};
use crate::quota::ShardAllowance;
use minicbor::{Decode, Encode};

/// The response of a store.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum StoreResponse {
    /// The store is not the active primary of the shard: the request was not and will not be
    /// executed.
    #[n(0)]
    NotPrimary,
    /// The outcome is unknown: the request may have been executed.
    #[n(1)]
    Indeterminate,
    /// There is no such job or item; confirmed by a quorum.
    #[n(2)]
    NotFound,
    /// The job is accepted, by this submission or an earlier one.
    #[n(3)]
    Accepted {
        /// Whether the caller has the leases of all items.
        #[n(0)]
        leased: bool,
    },
    /// The job exceeds its tenant's limit of queued tokens on its route.
    #[n(4)]
    QuotaExceeded,
    /// Another job has this name.
    #[n(5)]
    Conflict,
    /// The store's disk is nearly full: the job was rejected.
    #[n(6)]
    DiskFull,
    /// Results. Raw: their concatenated texts.
    #[n(7)]
    Page(#[n(0)] Page),
    /// Raw: the payload of an item.
    #[n(8)]
    Body,
    /// The job is ended.
    #[n(9)]
    Ended,
    /// Leased items. Raw: their concatenated payloads.
    #[n(10)]
    Leased(#[n(0)] Vec<LeasedItemHeader>),
    /// The leases are renewed, apart from those lost.
    #[n(11)]
    Renewed(#[n(0)] RenewResult),
    /// The item has a result, this one or an earlier one, or its job is ended.
    #[n(12)]
    Recorded,
    /// The leases were given back.
    #[n(13)]
    Released,
    /// Too much waits for the store's connections: the job was rejected.
    #[n(14)]
    Overloaded,
    /// Whether the host's shard has jobs that lie there by their host; confirmed by a quorum.
    #[n(15)]
    HostPlacedJobs(#[n(0)] bool),
    /// The allowance is raised.
    #[n(16)]
    AllowanceRaised {
        /// By so many tokens.
        #[n(0)]
        tokens: u64,
    },
    /// The request for an allowance is older than what the counter knows.
    #[n(17)]
    AllowanceOutdated {
        /// The newest generation that it knows.
        #[n(0)]
        generation: u64,
    },
    /// What the primaries of the shards have left.
    #[n(18)]
    Recalled(#[n(0)] Vec<ShardAllowance>),
    /// The job belongs to another tenant.
    #[n(19)]
    OtherTenant,
}

/// A page of results.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Page {
    /// Number of items of the job.
    #[n(0)]
    pub total: u64,
    /// Position after the last result of the page.
    #[n(1)]
    pub next: u64,
    /// The results, by position.
    #[n(2)]
    pub results: Vec<PageResult>,
}

/// One result of a page.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct PageResult {
    /// The item's `instance_id`.
    #[n(0)]
    pub item: String,
    /// Final state of the item.
    #[n(1)]
    pub state: ItemState,
    /// Length of its text in bytes.
    #[n(2)]
    pub length: u64,
}

/// A leased item, without its payload.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LeasedItemHeader {
    /// Its job.
    #[n(0)]
    pub job: JobName,
    /// The job's route.
    #[n(1)]
    pub route: String,
    /// The job's deadlines and retry limits.
    #[n(2)]
    pub terms: JobTerms,
    /// Offset of the item within the job.
    #[n(3)]
    pub index: u32,
    /// The item's `instance_id`.
    #[n(4)]
    pub item: String,
    /// Prompt tokens and maximum output tokens.
    #[n(5)]
    pub tokens: u64,
    /// Length of the payload in bytes.
    #[n(6)]
    pub length: u64,
    /// Failed attempts so far, as far as owners have reported them.
    #[n(7)]
    #[cbor(default)]
    pub failures: u32,
    /// Present if the job lies on its host's shard, see [`JobName::host_shard`].
    #[n(8)]
    pub host_placed: Option<bool>,
    /// The name of the tenant that submitted the job, if it was one.
    #[n(9)]
    pub tenant: Option<String>,
}

/// Outcome of a renewal.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct RenewResult {
    /// Items that the owner has to stop: they have a result or another owner, or their job is ended
    /// or unknown.
    #[n(0)]
    pub lost: Vec<LeasedItems>,
    /// Number of unleased items at this store.
    #[n(1)]
    pub open: u32,
}
