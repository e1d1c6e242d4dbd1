//! Requests to the primary of a shard: of dispatchers and, about quotas, of other primaries.

use super::{DispatcherId, ItemName, JobName, LeasedItems};
use crate::entry::{ItemState, JobHeader};
use crate::epoch_history::Epoch;
use crate::quota::{AcquireAllowance, RecallAllowances};
use minicbor::{Decode, Encode};

/// A request to a store.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum StoreRequest {
    /// Accepts a job. Raw: the concatenated payloads of its items.
    #[n(0)]
    Submit(#[n(0)] Submit),
    /// Reads results of a job from a position on.
    #[n(1)]
    Read(#[n(0)] Read),
    /// Reads the payload of an item without a result.
    #[n(2)]
    Body(#[n(0)] ItemName),
    /// Ends a job.
    #[n(3)]
    End(#[n(0)] JobName),
    /// Leases items that nobody runs, of all shards whose active primary the store is.
    #[n(4)]
    Lease(#[n(0)] Lease),
    /// Renews leases.
    #[n(5)]
    Renew(#[n(0)] Renew),
    /// Records the result of an item. Raw: its text.
    #[n(6)]
    Record(#[n(0)] Record),
    /// Gives all leases of a dispatcher back.
    #[n(7)]
    Release(#[n(0)] DispatcherId),
    /// The request is about a job on the host's shard, see [`JobName::host_shard`].
    #[n(8)]
    InHostShard(#[n(0)] Box<StoreRequest>),
    /// Asks whether the host's shard still has jobs of this host that lie there by their host.
    #[n(9)]
    HasHostPlacedJobs(#[n(0)] String),
    /// Asks the counter of an account for a larger allowance.
    #[n(10)]
    AcquireAllowance(#[n(0)] AcquireAllowance),
    /// The counter of an account recalls allowances that are not in use.
    #[n(11)]
    RecallAllowances(#[n(0)] RecallAllowances),
    /// Gives the leases of some items back.
    #[n(12)]
    ReleaseItems(#[n(0)] ReleaseItems),
    /// A read of a job, or its end, for a tenant.
    #[n(13)]
    ForTenant(#[n(0)] Box<TenantRequest>),
}

/// A request about a job that is executed only if the job belongs to this tenant, or to none.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct TenantRequest {
    /// The name of the tenant; `None` is a client without one.
    #[n(0)]
    pub tenant: Option<String>,
    /// The request.
    #[n(1)]
    pub request: StoreRequest,
}

/// Submission of a job.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Submit {
    /// The shard's epoch as the dispatcher knows it. A store rejects any other one, so that a
    /// request delayed in the network is not executed after the dispatcher has given it up.
    #[n(0)]
    pub epoch: Epoch,
    /// The dispatcher that leases the items with the submission.
    #[n(1)]
    pub owner: DispatcherId,
    /// Limit of the tenant's queued tokens on the job's route; 0 is no limit.
    #[n(2)]
    pub max_queued_tokens: u64,
    /// The job without its payloads.
    #[n(3)]
    pub job: JobHeader,
}

/// Reading of results.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Read {
    /// The job.
    #[n(0)]
    pub job: JobName,
    /// Position of the first result to return.
    #[n(1)]
    pub start_after: u64,
    /// How long to wait for a first result, in ms.
    #[n(2)]
    pub wait_ms: u64,
    /// Maximum bytes of texts to return; a single longer one is returned alone.
    #[n(3)]
    pub max_bytes: u64,
}

/// Leasing of items.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Lease {
    /// The dispatcher that is to run them.
    #[n(0)]
    pub owner: DispatcherId,
    /// Maximum number of items.
    #[n(1)]
    pub max_items: u32,
}

/// Renewal of leases.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Renew {
    /// The dispatcher that runs the items.
    #[n(0)]
    pub owner: DispatcherId,
    /// The items by job.
    #[n(1)]
    pub jobs: Vec<LeasedItems>,
}

/// Release of some of a dispatcher's leases.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ReleaseItems {
    /// The dispatcher that leased the items.
    #[n(0)]
    pub owner: DispatcherId,
    /// The items by job.
    #[n(1)]
    pub jobs: Vec<LeasedItems>,
}

/// The result of an item.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Record {
    /// The job.
    #[n(0)]
    pub job: JobName,
    /// Offset of the item within the job.
    #[n(1)]
    pub item: u32,
    /// Final state of the item.
    #[n(2)]
    pub state: ItemState,
}
