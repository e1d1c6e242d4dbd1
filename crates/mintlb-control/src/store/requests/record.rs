//! Results of items, and the end of a job.

use super::{JobLocation, Store};
use crate::store::shard_host::ShardHost;
use bytes::Bytes;
use mintlb_batch::messages::{JobName, Record, StoreResponse};
use mintlb_batch::replica::{Proposal, Replica};

impl Store {
    /// Ends a job and waits until that is committed.
    pub(super) async fn end(&self, job: JobName, location: JobLocation) -> StoreResponse {
        let shard = location.shard(&job);
        let change = |replica: &mut Replica, now| replica.end(&job, now);
        let proposal = self.propose(shard, change, |_, _| ()).await;
        self.confirm_not_found(shard, proposal).await
    }

    /// Records an item's result and waits until it is committed. `raw`: its text.
    pub(super) async fn record(
        &self,
        record: Record,
        raw: Bytes,
        location: JobLocation,
    ) -> StoreResponse {
        let shard = location.shard(&record.job);
        let change = |replica: &mut Replica, now| {
            replica.record(&record.job, record.item, record.state, &raw, now)
        };
        let on_proposed = |shard_host: &mut ShardHost, proposal: &Proposal| {
            let job = shard_host
                .replica(shard)
                .jobs()
                .find(&record.job)
                .map(|job| job.index);
            if let (Proposal::AfterCommit { index, .. }, Some(job)) = (proposal, job) {
                shard_host.pending_calls(shard).track_result(*index, job);
            }
        };
        let proposal = self.propose(shard, change, on_proposed).await;
        self.confirm_not_found(shard, proposal).await
    }
}
