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
                match self.compare_job(shard, index, &submitted, &raw) {
                    JobComparison::Same => response,
                    JobComparison::Different => StoreResponse::Conflict,
                    JobComparison::Unreadable => StoreResponse::Indeterminate,
                }
            }
        }
    }

    /// Compares the job of the entry at `index` with a submitted one and its payloads. A job whose
    /// payloads have been reclaimed is compared by its items alone.
    fn compare_job(
        &self,
        shard: u32,
        index: u64,
        submitted: &JobHeader,
        payloads: &Bytes,
    ) -> JobComparison {
        let stored = self.shard_host().read(shard, &[index]).unwrap_or_default();
        let entry = stored
            .first()
            .and_then(|entry| framing::decode::<Entry>(&entry.bytes));
        let Some((Entry::Accepted(job), stored_payloads)) = entry else {
            return JobComparison::Unreadable;
        };
        let same_payloads = stored_payloads.is_empty() || stored_payloads == *payloads;
        match Replica::same_items(&job, submitted) && same_payloads {
            true => JobComparison::Same,
            false => JobComparison::Different,
        }
    }
}

/// How a stored job compares with a submitted one of the same name.
enum JobComparison {
    Same,
    Different,
    /// The stored job can't be read.
    Unreadable,
}
