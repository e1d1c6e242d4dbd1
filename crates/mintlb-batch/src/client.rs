//! What dispatchers call: lots at the primaries of their shards. A call goes to the primary that the
//! placement in force names, and again, after a short pause, while that one is not in charge or can't be
//! reached.

mod calls;
mod types;

pub use types::*;

use mintlb_common::placement::Placement;
use mintlb_common::transport::Transport;
use parking_lot::Mutex;
use std::sync::Arc;

use crate::messages::DispatcherId;
use bytes::Bytes;
use mintlb_common::placement::StoreId;
use rustc_hash::FxHashMap;
use std::time::Duration;
use tokio::time::Instant;

/// The placement in force, asked anew for each try.
pub type CurrentPlacement = Arc<dyn Fn() -> Arc<Placement> + Send + Sync>;

/// A client of all stores.
pub struct BatchClient {
    transport: Arc<Transport>,
    placement: CurrentPlacement,
    /// When each store was last asked for items, and how many it then had that nobody ran.
    open: Mutex<FxHashMap<StoreId, (Instant, u32)>>,
}

impl BatchClient {
    /// A client that goes by this placement.
    pub fn new(transport: Arc<Transport>, placement: CurrentPlacement) -> BatchClient {
        BatchClient {
            transport,
            placement,
            open: Mutex::default(),
        }
    }

    /// Has a lot taken, with the lease of its items for `owner`.
    pub async fn submit(
        &self,
        job: Submission,
        owner: DispatcherId,
        within: Duration,
    ) -> SubmitOutcome {
        calls::submit(self, job, owner, within).await
    }

    /// Results of a lot from position `start_after` on; waits up to `wait` for the first one.
    pub async fn read(
        &self,
        host: &str,
        job_id: &str,
        start_after: u64,
        wait: Duration,
        max_bytes: usize,
    ) -> ReadOutcome {
        calls::read(self, host, job_id, start_after, wait, max_bytes).await
    }

    /// The body of an item that is not listed, of a lot that is not ended.
    pub async fn body(&self, host: &str, job_id: &str, instance_id: &str) -> BodyOutcome {
        calls::body(self, host, job_id, instance_id).await
    }

    /// Ends a lot for good.
    pub async fn end(&self, host: &str, job_id: &str) -> EndOutcome {
        calls::end(self, host, job_id).await
    }

    /// Up to `max_items` items that nobody runs, for `owner` to run. Asks a few stores that may have some.
    pub async fn lease(&self, owner: DispatcherId, max_items: usize) -> Vec<LeasedItem> {
        calls::lease(self, owner, max_items).await
    }

    /// Renews the leases of the items that `owner` still runs; call it each second. Returns those it is to
    /// stop.
    pub async fn renew(&self, owner: DispatcherId, leased: Vec<LeasedJob>) -> Vec<LeasedJob> {
        calls::renew(self, owner, leased).await
    }

    /// Records the result of an item. True if it is kept (this one or an earlier one) or no longer wanted, as
    /// the lot is ended or gone; false if that can't be told: call it again then.
    pub async fn record(&self, host: &str, job_id: &str, index: u32, result: ItemResult) -> bool {
        calls::record(self, host, job_id, index, result).await
    }

    /// Gives all leases of `owner` up, as it leaves.
    pub async fn release(&self, owner: DispatcherId) {
        calls::release(self, owner).await
    }

    /// Whether a shard of this host has a primary at all, as far as the placement says.
    pub fn has_primary(&self, host: &str) -> bool {
        (self.placement)()
            .primary(Placement::shard_of(host))
            .is_some()
    }
}

/// Encodes an item's payload as it travels and lies on disk.
pub(crate) fn payload(item: &Item) -> Bytes {
    let head = crate::entry::ItemPayload {
        path: item.path.clone(),
        headers: item.headers.clone(),
    };
    head.encode(&item.body)
}
