//! Results of items, and the end of a job.

use super::Store;
use crate::store::shard_host::ShardHost;
use bytes::Bytes;
use mintlb_batch::messages::{JobName, Record, StoreResponse};
use mintlb_batch::replica::{Proposal, Replica};
use mintlb_common::placement::Placement;

impl Store {
    /// Ends a job and waits until that is committed.
    pub(super) async fn end(&self, job: JobName) -> StoreResponse {
        let shard = Placement::shard_of(&job.host);
        let change = |replica: &mut Replica, now| replica.end(&job, now);
        let proposal = self.propose(shard, change, |_, _| ()).await;
        self.confirm_not_found(shard, proposal).await
    }

    /// Records an item's result and waits until it is committed. `raw`: its text.
    pub(super) async fn record(&self, record: Record, raw: Bytes) -> StoreResponse {
        let shard = Placement::shard_of(&record.job.host);
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
