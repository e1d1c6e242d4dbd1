//! Requests of dispatchers, answered by the primaries among this store's replicas.
//!
//! - [`submit`]: accepts a batch job. [`record`]: takes a result, or ends a job.
//! - [`read`]: results of a job, and payloads of its items.
//! - [`lease`]: leases on items.
//! - [`location`]: which shard a request about a job goes to.
//! - [`tenant`]: which tenant a job belongs to.
//!
//! Requests about quotas are answered in [`super::quota`].

mod lease;
mod location;
mod read;
mod record;
mod submit;
mod tenant;

use super::handle::Store;
use super::shard_host::ShardHost;
use super::shard_host::pending_calls::{CommitStatus, CommitWait};
use bytes::Bytes;
use location::JobLocation;
use mintlb_batch::entry::Entry;
use mintlb_batch::framing;
use mintlb_batch::messages::{StoreRequest, StoreResponse};
use mintlb_batch::replica::{Proposal, Replica};
use mintlb_batch::timestamp::Timestamp;
use mintlb_common::placement::Placement;
use std::ops::Range;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How long a response waits for its commit.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(3000);
/// How long a response waits until the followers have confirmed that no other store has taken over.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(700);

impl Store {
    /// Handles a request and returns the encoded response.
    pub(super) async fn handle_request(&self, request: StoreRequest, raw: Bytes) -> Bytes {
        match request {
            StoreRequest::InHostShard(request) => {
                self.handle_located(*request, raw, JobLocation::HostShard)
                    .await
            }
            request => {
                self.handle_located(request, raw, JobLocation::JobShard)
                    .await
            }
        }
    }

    async fn handle_located(
        &self,
        request: StoreRequest,
        raw: Bytes,
        location: JobLocation,
    ) -> Bytes {
        let request = match request {
            StoreRequest::ForTenant(request) => match self.authorize(*request, location).await {
                Ok(request) => request,
                Err(response) => return encode(&response),
            },
            request => request,
        };
        let response = match request {
            StoreRequest::Submit(submit) => self.submit(submit, raw, location).await,
            StoreRequest::Read(read) => return self.read(read, location).await,
            StoreRequest::Body(item) => return self.body(item, location).await,
            StoreRequest::End(job) => self.end(job, location).await,
            StoreRequest::Lease(lease) => return self.lease(&lease).await,
            StoreRequest::Renew(renew) => self.renew(&renew),
            StoreRequest::Record(record) => self.record(record, raw, location).await,
            StoreRequest::Release(owner) => self.release(owner),
            StoreRequest::ReleaseItems(release) => self.release_items(&release),
            StoreRequest::HasHostPlacedJobs(host) => self.has_host_placed_jobs(&host).await,
            StoreRequest::AcquireAllowance(acquire) => self.hand_out_allowance(&acquire).await,
            StoreRequest::RecallAllowances(recall) => self.give_up_allowances(&recall),
            // Not sent within one another.
            StoreRequest::InHostShard(_) | StoreRequest::ForTenant(_) => StoreResponse::NotPrimary,
        };
        encode(&response)
    }

    /// Makes a change and waits until it is committed. `on_proposed` sees the replicas right after
    /// the change, under the same lock.
    async fn propose(
        &self,
        shard: u32,
        change: impl FnOnce(&mut Replica, Timestamp) -> Proposal,
        on_proposed: impl FnOnce(&mut ShardHost, &Proposal),
    ) -> Proposal {
        let (proposal, commit) = self.begin_proposal(shard, change, on_proposed);
        self.committed(proposal, commit).await
    }

    /// Makes a change; returns the wait for its commit, if there is one.
    fn begin_proposal(
        &self,
        shard: u32,
        change: impl FnOnce(&mut Replica, Timestamp) -> Proposal,
        on_proposed: impl FnOnce(&mut ShardHost, &Proposal),
    ) -> (Proposal, Option<CommitWait>) {
        let mut shard_host = self.shard_host();
        let now = self.now();
        let proposal = change(shard_host.replica(shard), now);
        on_proposed(&mut shard_host, &proposal);
        let commit = match &proposal {
            Proposal::Immediate(_) | Proposal::NeedsAllowance(_) => None,
            Proposal::AfterCommit { index, .. } | Proposal::CompareItems { index, .. } => {
                let commit_index = shard_host.replica(shard).commit_index();
                (*index > commit_index)
                    .then(|| shard_host.pending_calls(shard).wait_for_commit(*index))
            }
        };
        shard_host.run_effects(shard, now);
        (proposal, commit)
    }

    /// The proposal once it is committed, or that this is not known.
    async fn committed(&self, proposal: Proposal, commit: Option<CommitWait>) -> Proposal {
        let Some(commit) = commit else {
            return proposal;
        };
        let started = Instant::now();
        let status = commit.status(COMMIT_TIMEOUT).await;
        self.load().on_committed(started.elapsed());
        match status {
            CommitStatus::Committed => proposal,
            CommitStatus::Indeterminate => Proposal::Immediate(StoreResponse::Indeterminate),
        }
    }

    /// Whether a host's shard has jobs that lie there by their host.
    async fn has_host_placed_jobs(&self, host: &str) -> StoreResponse {
        let shard = Placement::shard_of_host(host);
        let has_jobs = {
            let mut shard_host = self.shard_host();
            let replica = shard_host.replica(shard);
            if !replica.is_serving() {
                return StoreResponse::NotPrimary;
            }
            replica.has_host_placed_jobs(host)
        };
        match self.confirm_primary(shard).await {
            true => StoreResponse::HostPlacedJobs(has_jobs),
            false => StoreResponse::NotPrimary,
        }
    }

    /// The response to a proposal. Only a primary that is confirmed may answer that there is no
    /// such job: another one may have accepted it.
    async fn confirm_not_found(&self, shard: u32, proposal: Proposal) -> StoreResponse {
        match proposal {
            Proposal::Immediate(StoreResponse::NotFound) if !self.confirm_primary(shard).await => {
                StoreResponse::Indeterminate
            }
            Proposal::Immediate(response)
            | Proposal::AfterCommit { response, .. }
            | Proposal::CompareItems { response, .. } => response,
            Proposal::NeedsAllowance(_) => StoreResponse::NotPrimary,
        }
    }

    /// Whether this is still the active primary, as enough followers have confirmed a moment ago.
    pub(super) async fn confirm_primary(&self, shard: u32) -> bool {
        let deadline = Instant::now() + CONFIRMATION_TIMEOUT;
        loop {
            let confirmation = {
                let mut shard_host = self.shard_host();
                let now = self.now();
                if !shard_host.replica(shard).is_serving() {
                    return false;
                }
                if shard_host.replica(shard).confirm(now) {
                    return true;
                }
                let confirmation = shard_host.pending_calls(shard).wait_for_confirmation();
                shard_host.run_effects(shard, now);
                confirmation
            };
            if timeout_at(deadline, confirmation).await.is_err() {
                return false;
            }
        }
    }
}

fn encode(response: &StoreResponse) -> Bytes {
    framing::encode(response, &[])
}

/// The raw part of a stored entry: payloads or a result's text.
fn raw_payload(entry: &Bytes) -> Option<Bytes> {
    framing::decode::<Entry>(entry).map(|(_, raw)| raw)
}

/// A range of a raw part, if it lies within.
fn slice(raw: &Bytes, range: Range<usize>) -> Option<Bytes> {
    (range.end <= raw.len()).then(|| raw.slice(range))
}
