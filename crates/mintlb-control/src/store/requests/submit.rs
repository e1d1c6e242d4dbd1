//! Submission of a batch job.

use super::Store;
use bytes::Bytes;
use mintlb_batch::entry::{Entry, JobHeader};
use mintlb_batch::framing;
use mintlb_batch::messages::{StoreResponse, Submit};
use mintlb_batch::replica::{Proposal, Replica};
use mintlb_common::placement::Placement;

impl Store {
    /// Accepts a job and waits until it is committed. `raw`: the payloads of its items.
    pub(super) async fn submit(&self, submit: Submit, raw: Bytes) -> StoreResponse {
        let shard = Placement::shard_of(&submit.job.host);
        if self.is_disk_full(raw.len() as u64) {
            return StoreResponse::DiskFull;
        }
        let submitted = submit.job.clone();
        let change = |replica: &mut Replica, now| replica.submit(submit, &raw, now);
        match self.propose(shard, change, |_, _| ()).await {
            Proposal::Immediate(response) | Proposal::AfterCommit { response, .. } => response,
            Proposal::CompareItems { index, response } => {
                match self.is_same_job(shard, index, &submitted, &raw) {
                    Some(true) => response,
                    Some(false) => StoreResponse::Conflict,
                    None => StoreResponse::Indeterminate,
                }
            }
        }
    }

    /// Whether the entry at `index` holds this job with these payloads; `None` if it can't be read.
    /// A job whose payloads have been reclaimed is compared by its items alone.
    fn is_same_job(&self, shard: u32, index: u64, job: &JobHeader, raw: &Bytes) -> Option<bool> {
        let entries = self.shard_host().read(shard, &[index])?;
        let (entry, stored_raw) = framing::decode::<Entry>(&entries.first()?.bytes)?;
        let Entry::Accepted(stored_job) = entry else {
            return None;
        };
        let same_payloads = stored_raw.is_empty() || stored_raw == *raw;
        Some(Replica::same_items(&stored_job, job) && same_payloads)
    }
}
