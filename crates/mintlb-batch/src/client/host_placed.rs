//! Jobs that lie on their host's shard: accepted by a release that placed all jobs of a host
//! together. They stay there until they are dropped, minutes after the upgrade.

use super::{BatchClient, JobError};
use crate::messages::{JobName, Read, StoreRequest, StoreResponse};
use bytes::Bytes;
use parking_lot::Mutex;
use rustc_hash::FxHashSet;
use tokio::time::Instant;

/// Maximum number of jobs that are remembered.
const MAX_REMEMBERED_JOBS: usize = 65_536;

/// What is known of such jobs.
#[derive(Default)]
pub(super) struct HostPlacedJobs {
    /// Hosts whose shard has none. It will not get any.
    hosts_without: Mutex<FxHashSet<String>>,
    /// Jobs that were found on their host's shard.
    found: Mutex<FxHashSet<JobName>>,
}

impl HostPlacedJobs {
    /// Remembers a job that lies on its host's shard.
    pub(super) fn remember(&self, job: &JobName) {
        let mut found = self.found.lock();
        if found.len() < MAX_REMEMBERED_JOBS {
            found.insert(job.clone());
        }
    }

    /// The shard that a job is known to lie on, or by its id is to lie on.
    pub(super) fn shard_of(&self, job: &JobName) -> u32 {
        match self.is_found(job) {
            true => job.host_shard(),
            false => job.shard(),
        }
    }

    fn is_found(&self, job: &JobName) -> bool {
        self.found.lock().contains(job)
    }

    fn has_none(&self, job: &JobName) -> bool {
        job.shard() == job.host_shard() || self.hosts_without.lock().contains(&job.host)
    }
}

impl BatchClient {
    /// Sends an idempotent request about a job to the primary of its shard until one answers; if
    /// that does not know the job, to the primary of its host's shard.
    ///
    /// # Errors
    /// [`JobError::Unavailable`] if none answers before the deadline.
    pub(super) async fn call_about_job(
        &self,
        job: &JobName,
        request: StoreRequest,
        raw: &[&[u8]],
        deadline: Instant,
    ) -> Result<(StoreResponse, Bytes), JobError> {
        if !self.host_placed.is_found(job) {
            let answer = self
                .call_primary(job.shard(), &request, raw, deadline)
                .await?;
            let is_known = !matches!(answer, (StoreResponse::NotFound, _));
            if is_known || !self.has_host_placed_jobs(job, deadline).await? {
                return Ok(answer);
            }
        }
        let request = StoreRequest::InHostShard(Box::new(request));
        self.call_primary(job.host_shard(), &request, raw, deadline)
            .await
    }

    /// Whether a job lies on its host's shard.
    ///
    /// # Errors
    /// [`JobError::Unavailable`] if that can't be told before the deadline.
    pub(super) async fn is_host_placed(
        &self,
        job: &JobName,
        deadline: Instant,
    ) -> Result<bool, JobError> {
        if self.host_placed.is_found(job) {
            return Ok(true);
        }
        if !self.has_host_placed_jobs(job, deadline).await? {
            return Ok(false);
        }
        let read = StoreRequest::Read(Read {
            job: job.clone(),
            start_after: u64::MAX,
            wait_ms: 0,
            max_bytes: 0,
        });
        let request = StoreRequest::InHostShard(Box::new(read));
        let shard = job.host_shard();
        match self.call_primary(shard, &request, &[], deadline).await? {
            (StoreResponse::Page(_), _) => {
                self.host_placed.remember(job);
                Ok(true)
            }
            (StoreResponse::NotFound, _) => Ok(false),
            _ => Err(JobError::Unavailable),
        }
    }

    /// Whether the shard of a job's host has jobs that lie there by their host. Asked once a host,
    /// as long as the answer is yes: a shard that has none gets none.
    async fn has_host_placed_jobs(
        &self,
        job: &JobName,
        deadline: Instant,
    ) -> Result<bool, JobError> {
        if self.host_placed.has_none(job) {
            return Ok(false);
        }
        let request = StoreRequest::HasHostPlacedJobs(job.host.clone());
        let shard = job.host_shard();
        match self.call_primary(shard, &request, &[], deadline).await? {
            (StoreResponse::HostPlacedJobs(has_jobs), _) => {
                if !has_jobs {
                    let mut hosts = self.host_placed.hosts_without.lock();
                    hosts.insert(job.host.clone());
                }
                Ok(has_jobs)
            }
            _ => Err(JobError::Unavailable),
        }
    }
}
