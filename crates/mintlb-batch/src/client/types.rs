//! Arguments and results of the client's calls.

use crate::entry::{ItemState, JobTerms};
use crate::messages::{ItemFailures, JobName, LeasedItems, StoreRequest, TenantRequest};
use bytes::Bytes;

/// A job to submit.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The `Host` of its route.
    pub host: String,
    /// The [`RouteId`](mintlb_common::configuration::RouteId) of its route.
    pub route: String,
    /// The name of the tenant that submits it, if it is one.
    pub tenant: Option<String>,
    /// The id that its client chose.
    pub job_id: String,
    /// When it was sent, when its results are due, how often its items are attempted.
    pub terms: JobTerms,
    /// The limit of the tenant's queued tokens on the route; 0 means no limit.
    pub max_queued_tokens: u64,
    /// Its items, in the client's order.
    pub items: Vec<Item>,
}

/// An item of a job: one request to a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Item {
    /// Its id, unique within the job.
    pub instance_id: String,
    /// The path of the request.
    pub path: String,
    /// The headers of the request: names and values.
    pub headers: Vec<(String, String)>,
    /// The decoded body of the request.
    pub body: Bytes,
    /// Tokens of the prompt plus the limit of generated tokens.
    pub tokens: u64,
}

/// Which jobs a call may be about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobAccess {
    /// All of them.
    Unrestricted,
    /// Those of one tenant and those without a tenant; only the latter if `None`.
    OfTenant(Option<String>),
}

impl JobAccess {
    /// The name of the tenant.
    pub fn tenant(&self) -> Option<&str> {
        match self {
            JobAccess::Unrestricted => None,
            JobAccess::OfTenant(tenant) => tenant.as_deref(),
        }
    }

    /// The request, to be executed only if it is about such a job.
    pub(super) fn restrict(&self, request: StoreRequest) -> StoreRequest {
        match self {
            JobAccess::Unrestricted => request,
            JobAccess::OfTenant(tenant) => StoreRequest::ForTenant(Box::new(TenantRequest {
                tenant: tenant.clone(),
                request,
            })),
        }
    }
}

/// A submission that a quorum of its shard has committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Submitted {
    /// Whether the submitting dispatcher has the leases of all items and is to run them.
    pub items_leased: bool,
}

/// Committed results of a job, from a requested position on.
#[derive(Clone, Debug, PartialEq)]
pub struct ResultPage {
    /// The number of items of the job.
    pub total: u64,
    /// The position after the last result of this page.
    pub next: u64,
    /// The results in the order of their positions; may be empty.
    pub results: Vec<CommittedResult>,
}

/// The result of an item.
#[derive(Clone, Debug, PartialEq)]
pub struct CommittedResult {
    /// The item's id.
    pub instance_id: String,
    /// Whether the item is `completed` or `unrecoverable`.
    pub state: ItemState,
    /// The data of all its events, separated by line feeds; UTF-8.
    pub text: Bytes,
}

/// How the run of an item ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ItemResult {
    /// It completed, with this output.
    Completed(Bytes),
    /// It failed for good.
    Unrecoverable,
}

/// An item that a dispatcher has leased and is to run.
#[derive(Clone, Debug, PartialEq)]
pub struct LeasedItem {
    /// The job's host.
    pub host: String,
    /// The job's route.
    pub route: String,
    /// The name of the tenant that submitted the job, if it was one.
    pub tenant: Option<String>,
    /// The job's id.
    pub job_id: String,
    /// The job's times and limits.
    pub terms: JobTerms,
    /// The item's index in the job.
    pub index: u32,
    /// The item.
    pub item: Item,
    /// How many attempts have failed, as far as its lease owners have reported them.
    pub failures: u32,
}

/// The outcome of a call that leases items.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Leased {
    /// The leased items.
    pub items: Vec<LeasedItem>,
    /// Number of stores that did not respond in time.
    pub unanswered: usize,
}

/// The outcome of a renewal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Renewed {
    /// The items whose leases are lost: their owner has to stop them.
    pub lost: Vec<LeasedJob>,
    /// Number of stores that did not respond in time.
    pub unanswered: usize,
}

/// Items of one job that a dispatcher has leased.
#[derive(Clone, Debug, PartialEq)]
pub struct LeasedJob {
    /// The job's host.
    pub host: String,
    /// The job's id.
    pub job_id: String,
    /// The items' indexes in the job.
    pub items: Vec<u32>,
    /// Those of them that failed.
    pub failures: Vec<ItemFailures>,
}

impl From<LeasedJob> for LeasedItems {
    fn from(leased: LeasedJob) -> LeasedItems {
        LeasedItems {
            job: JobName {
                host: leased.host,
                id: leased.job_id,
            },
            items: leased.items,
            failures: leased.failures,
        }
    }
}

impl From<LeasedItems> for LeasedJob {
    fn from(leased: LeasedItems) -> LeasedJob {
        LeasedJob {
            host: leased.job.host,
            job_id: leased.job.id,
            items: leased.items,
            failures: leased.failures,
        }
    }
}
