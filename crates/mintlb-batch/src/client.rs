//! Client of the stores, for dispatchers.
//!
//! A call that concerns one job goes to the primary of the job's shard, as the current placement
//! names it. While the primary is not active or can't be reached, the call is repeated after a
//! short pause until its time-out.

mod attempt;
mod error;
mod host_placed;
mod jobs;
mod leases;
mod routing;
mod store_backlogs;
mod submit;
mod types;

pub use error::{JobError, RecordError, SubmitError};
pub use types::{
    CommittedResult, Item, ItemResult, JobAccess, Leased, LeasedItem, LeasedJob, Renewed,
    ResultPage, Submission, Submitted,
};

use host_placed::HostPlacedJobs;
use mintlb_common::placement::Placement;
use mintlb_common::transport::Transport;
use std::sync::Arc;
use store_backlogs::StoreBacklogs;

/// Returns the current placement; called before each attempt.
pub type CurrentPlacement = Arc<dyn Fn() -> Arc<Placement> + Send + Sync>;

/// A client of all stores.
pub struct BatchClient {
    transport: Arc<Transport>,
    placement: CurrentPlacement,
    backlogs: StoreBacklogs,
    host_placed: HostPlacedJobs,
}

impl BatchClient {
    /// A client that routes its calls by `placement`.
    pub fn new(transport: Arc<Transport>, placement: CurrentPlacement) -> BatchClient {
        BatchClient {
            transport,
            placement,
            backlogs: StoreBacklogs::default(),
            host_placed: HostPlacedJobs::default(),
        }
    }
}
