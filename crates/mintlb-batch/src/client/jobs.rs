//! Calls on one accepted job: results, bodies, the end, and the record of a result. All are
//! idempotent.

use super::{
    BatchClient, CommittedResult, ItemResult, JobAccess, JobError, RecordError, ResultPage,
};
use crate::entry::{ItemPayload, ItemState};
use crate::messages::{self, ItemName, JobName, Record, StoreRequest, StoreResponse};
use bytes::Bytes;
use std::time::Duration;
use tokio::time::Instant;

/// The time-out of all attempts of a read, a body or an end; a read's wait for results is added.
const READ_TIMEOUT: Duration = Duration::from_millis(1300);
/// The time-out of all attempts to record a result.
const RECORD_TIMEOUT: Duration = Duration::from_millis(4000);

impl BatchClient {
    /// The committed results of a job from position `start_after` on, about `max_bytes` of them.
    /// Waits up to `wait` for the first one.
    ///
    /// # Errors
    /// [`JobError`].
    pub async fn read(
        &self,
        access: &JobAccess,
        host: &str,
        job_id: &str,
        start_after: u64,
        wait: Duration,
        max_bytes: usize,
    ) -> Result<ResultPage, JobError> {
        let deadline = Instant::now() + wait + READ_TIMEOUT;
        let job = job_name(host, job_id);
        let request = access.restrict(StoreRequest::Read(messages::Read {
            job: job.clone(),
            start_after,
            wait_ms: wait.as_millis() as u64,
            max_bytes: max_bytes as u64,
        }));
        match self.call_about_job(&job, request, &[], deadline).await? {
            (StoreResponse::Page(page), raw) => result_page(page, raw),
            (StoreResponse::NotFound, _) => Err(JobError::NotFound),
            (StoreResponse::OtherTenant, _) => Err(JobError::OtherTenant),
            _ => Err(JobError::Unavailable),
        }
    }

    /// The body of an item without a result, of a job that is not ended.
    ///
    /// # Errors
    /// [`JobError`]; [`JobError::NotFound`] also if the item has a result or the job is ended.
    pub async fn body(
        &self,
        access: &JobAccess,
        host: &str,
        job_id: &str,
        instance_id: &str,
    ) -> Result<Bytes, JobError> {
        let deadline = Instant::now() + READ_TIMEOUT;
        let job = job_name(host, job_id);
        let request = access.restrict(StoreRequest::Body(ItemName {
            job: job.clone(),
            item: instance_id.to_string(),
        }));
        match self.call_about_job(&job, request, &[], deadline).await? {
            (StoreResponse::Body, raw) => {
                let (_, body) = ItemPayload::decode(&raw).ok_or(JobError::Unavailable)?;
                Ok(body)
            }
            (StoreResponse::NotFound, _) => Err(JobError::NotFound),
            (StoreResponse::OtherTenant, _) => Err(JobError::OtherTenant),
            _ => Err(JobError::Unavailable),
        }
    }

    /// Ends a job for good.
    ///
    /// # Errors
    /// [`JobError`].
    pub async fn end(&self, access: &JobAccess, host: &str, job_id: &str) -> Result<(), JobError> {
        let deadline = Instant::now() + READ_TIMEOUT;
        let job = job_name(host, job_id);
        let request = access.restrict(StoreRequest::End(job.clone()));
        match self.call_about_job(&job, request, &[], deadline).await? {
            (StoreResponse::Ended, _) => Ok(()),
            (StoreResponse::NotFound, _) => Err(JobError::NotFound),
            (StoreResponse::OtherTenant, _) => Err(JobError::OtherTenant),
            _ => Err(JobError::Unavailable),
        }
    }

    /// Records the result of an item. The first recorded result stays; a job that is ended or
    /// unknown needs none.
    ///
    /// # Errors
    /// [`RecordError::Unconfirmed`] if no primary confirmed the result.
    pub async fn record(
        &self,
        host: &str,
        job_id: &str,
        index: u32,
        result: ItemResult,
    ) -> Result<(), RecordError> {
        let deadline = Instant::now() + RECORD_TIMEOUT;
        let job = job_name(host, job_id);
        let (state, text) = match result {
            ItemResult::Completed(text) => (ItemState::Completed, text),
            ItemResult::Unrecoverable => (ItemState::Unrecoverable, Bytes::new()),
        };
        let request = StoreRequest::Record(Record {
            job: job.clone(),
            item: index,
            state,
        });
        match self.call_about_job(&job, request, &[&text], deadline).await {
            Ok((StoreResponse::Recorded | StoreResponse::NotFound, _)) => Ok(()),
            _ => Err(RecordError::Unconfirmed),
        }
    }
}

/// Splits the raw bytes of a page into its results.
fn result_page(page: messages::Page, mut raw: Bytes) -> Result<ResultPage, JobError> {
    let length: u64 = page.results.iter().map(|result| result.length).sum();
    if length != raw.len() as u64 {
        return Err(JobError::Unavailable);
    }
    let results = page.results.into_iter().map(|result| CommittedResult {
        instance_id: result.item,
        state: result.state,
        text: raw.split_to(result.length as usize),
    });
    Ok(ResultPage {
        total: page.total,
        next: page.next,
        results: results.collect(),
    })
}

fn job_name(host: &str, job_id: &str) -> JobName {
    JobName {
        host: host.to_string(),
        id: job_id.to_string(),
    }
}
