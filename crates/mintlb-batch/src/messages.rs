//! Requests of dispatchers to stores and their responses, on
//! [`mintlb_common::transport::Channel::Batch`].
//!
//! Each is a [`crate::framing`] head; the raw bytes behind it are described at the variant.
//! Messages between replicas are notifications on the same channel, see [`crate::peer`].

mod request;
mod response;

pub use request::{Lease, Read, Record, ReleaseItems, Renew, StoreRequest, Submit, TenantRequest};
pub use response::{LeasedItemHeader, Page, PageResult, RenewResult, StoreResponse};

use minicbor::{Decode, Encode};
use mintlb_common::placement::Placement;

/// Identifies a dispatcher process as the owner of leases; drawn at random when it starts.
pub type DispatcherId = u64;

/// Identity of a job towards clients.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct JobName {
    /// The `Host` of its route.
    #[n(0)]
    pub host: String,
    /// The id assigned by the client; unique within the host.
    #[n(1)]
    pub id: String,
}

impl JobName {
    /// The shard that the job lies on.
    pub fn shard(&self) -> u32 {
        Placement::shard_of_job(&self.host, &self.id)
    }

    /// The shard that a job of this host lay on in releases that placed all jobs of a host together.
    /// Jobs that were accepted then stay there until they are dropped.
    pub fn host_shard(&self) -> u32 {
        Placement::shard_of_host(&self.host)
    }
}

/// Identity of an item towards clients.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct ItemName {
    /// Its job.
    #[n(0)]
    pub job: JobName,
    /// The client's `instance_id`.
    #[n(1)]
    pub item: String,
}

/// Items of one job that a dispatcher has leased, by their offsets within the job.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct LeasedItems {
    /// The job.
    #[n(0)]
    pub job: JobName,
    /// The items.
    #[n(1)]
    pub items: Vec<u32>,
    /// Those of them that failed.
    #[n(2)]
    #[cbor(default)]
    pub failures: Vec<ItemFailures>,
}

/// How often an item has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ItemFailures {
    /// The item, by its offset within the job.
    #[n(0)]
    pub item: u32,
    /// The number of its failed attempts over all owners.
    #[n(1)]
    pub attempts: u32,
}
