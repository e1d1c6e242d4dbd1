//! Submission of a batch job.

use super::{CommitWait, JobLocation, Store};
use crate::store::quota::AcquireError;
use crate::store::rejections::RejectionCause;
use bytes::Bytes;
use mintlb_batch::entry::{Entry, JobHeader};
use mintlb_batch::framing;
use mintlb_batch::messages::{StoreResponse, Submit};
use mintlb_batch::quota::QuotaAccount;
use mintlb_batch::replica::{Proposal, Replica};
use std::time::Duration;
use tokio::time::Instant;

/// A submission that has not got its allowance in this time is rejected: in time for its
/// dispatcher, which would have to treat a later response as unclear.
const ALLOWANCE_TIMEOUT: Duration = Duration::from_millis(900);

impl Store {
    /// Accepts a job and waits until it is committed. `raw`: the payloads of its items.
    pub(super) async fn submit(
        &self,
        submit: Submit,
        raw: Bytes,
        location: JobLocation,
    ) -> StoreResponse {
        let shard = location.shard(&submit.job.name());
        if let Some(cause) = self.find_rejection(shard, &submit, raw.len() as u64) {
            return self.reject(cause);
        }
        let (proposal, commit) = match location {
            JobLocation::JobShard => self.admit(shard, &submit, &raw).await,
            JobLocation::HostShard => self.submit_again(shard, &submit, &raw),
        };
        match self.committed(proposal, commit).await {
            Proposal::Immediate(response) | Proposal::AfterCommit { response, .. } => response,
            Proposal::CompareItems { index, response } => {
                match self.compare_job(shard, index, &submit.job, &raw) {
                    JobComparison::Same => response,
                    JobComparison::Different => StoreResponse::Conflict,
                    JobComparison::Unreadable => StoreResponse::Indeterminate,
                }
            }
            Proposal::NeedsAllowance(_) => StoreResponse::NotPrimary,
        }
    }

    fn reject(&self, cause: RejectionCause) -> StoreResponse {
        self.load().rejections.on_rejected(cause);
        cause.response()
    }

    /// Why this store does not accept a job, whatever its quota. One that it has already needs no
    /// capacity.
    fn find_rejection(&self, shard: u32, submit: &Submit, bytes: u64) -> Option<RejectionCause> {
        if !self.is_serving(shard) {
            Some(RejectionCause::NotPrimary)
        } else if self.has_job(shard, submit) {
            None
        } else if self.is_disk_full(bytes) {
            Some(RejectionCause::DiskFull)
        } else if self.is_overloaded() {
            Some(RejectionCause::LinksFull)
        } else {
            None
        }
    }

    fn is_serving(&self, shard: u32) -> bool {
        self.shard_host().replica(shard).is_serving()
    }

    fn has_job(&self, shard: u32, submit: &Submit) -> bool {
        let mut shard_host = self.shard_host();
        let replica = shard_host.replica(shard);
        replica.jobs().find(&submit.job.name()).is_some()
    }

    /// Proposes a job, after the shard's allowance was raised if it has to be.
    async fn admit(
        &self,
        shard: u32,
        submit: &Submit,
        raw: &Bytes,
    ) -> (Proposal, Option<CommitWait>) {
        let first = self.propose_submission(shard, submit, raw);
        if !matches!(first, (Proposal::NeedsAllowance(_), _)) {
            return first;
        }
        let deadline = Instant::now() + ALLOWANCE_TIMEOUT;
        let account = QuotaAccount::from(&submit.job);
        // One request at a time for an account and shard. The job is proposed under the same lock, so
        // that no other one takes what was handed out for it.
        let turn = self.allowance_turn(shard, &account);
        let Ok(_turn) = tokio::time::timeout_at(deadline, turn.lock()).await else {
            return self.reject_proposal(RejectionCause::QuotaUnknown);
        };
        loop {
            let proposed = self.propose_submission(shard, submit, raw);
            let (Proposal::NeedsAllowance(shortage), _) = &proposed else {
                return proposed;
            };
            let limit = submit.max_queued_tokens;
            let acquired = self.acquire_allowance(&account, limit, shortage, deadline);
            let cause = match acquired.await {
                Ok(()) => continue,
                Err(AcquireError::Exceeded) => RejectionCause::OverQuota,
                Err(AcquireError::Unavailable) => RejectionCause::QuotaUnknown,
            };
            return self.reject_proposal(cause);
        }
    }

    fn reject_proposal(&self, cause: RejectionCause) -> (Proposal, Option<CommitWait>) {
        (Proposal::Immediate(self.reject(cause)), None)
    }

    fn propose_submission(
        &self,
        shard: u32,
        submit: &Submit,
        raw: &Bytes,
    ) -> (Proposal, Option<CommitWait>) {
        let change = |replica: &mut Replica, now| replica.submit(submit, raw, now);
        self.begin_proposal(shard, change, |_, _| ())
    }

    /// A repeated submission of a job that lies on its host's shard. No other job is accepted there.
    fn submit_again(
        &self,
        shard: u32,
        submit: &Submit,
        raw: &Bytes,
    ) -> (Proposal, Option<CommitWait>) {
        match self.has_job(shard, submit) {
            true => self.propose_submission(shard, submit, raw),
            false => self.reject_proposal(RejectionCause::NotPrimary),
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
