//! Results of a job, a page at a time, and payloads of items.

use super::{JobLocation, Store, encode, raw_payload, slice};
use crate::store::shard_host::ShardHost;
use crate::store::shard_host::pending_calls::Wakeup;
use bytes::Bytes;
use mintlb_batch::framing;
use mintlb_batch::job_table::BatchJob;
use mintlb_batch::messages::{ItemName, Page, Read, StoreResponse};
use mintlb_batch::replica::PagePlan;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How long a reader waits for a result at most, whatever it asks for.
const MAX_READ_WAIT: Duration = Duration::from_millis(5000);

/// What one attempt to read comes to.
enum ReadAttempt {
    /// The encoded response.
    Response(Bytes),
    /// There are no results: an empty page, or `None` if the job is unknown. To be confirmed.
    Empty(Option<Page>),
    /// Results may come: to be attempted again after the wake-up.
    Wait(Wakeup),
}

impl Store {
    /// Returns the job's results from a position on. If there are none yet, waits for the first as
    /// long as the reader asks for.
    pub(super) async fn read(&self, read: Read, location: JobLocation) -> Bytes {
        let shard = location.shard(&read.job);
        let deadline = Instant::now() + Duration::from_millis(read.wait_ms).min(MAX_READ_WAIT);
        loop {
            match self.attempt_read(shard, &read, Instant::now() < deadline) {
                ReadAttempt::Response(bytes) => return bytes,
                ReadAttempt::Empty(page) => return self.confirm_empty(shard, page).await,
                ReadAttempt::Wait(wakeup) => timeout_at(deadline, wakeup).await.ok(),
            };
        }
    }

    fn attempt_read(&self, shard: u32, read: &Read, may_wait: bool) -> ReadAttempt {
        let mut shard_host = self.shard_host();
        if !shard_host.replica(shard).is_serving() {
            return ReadAttempt::Response(encode(&StoreResponse::NotPrimary));
        }
        let plan = shard_host
            .replica(shard)
            .page(&read.job, read.start_after, read.max_bytes);
        if let Some(plan) = plan.as_ref().filter(|plan| !plan.entries.is_empty()) {
            return ReadAttempt::Response(read_page(&shard_host, shard, plan));
        }
        match shard_host.replica(shard).committed_job(&read.job) {
            Some(job) if may_wait && expects_results(job, read.start_after) => {
                let index = job.index;
                ReadAttempt::Wait(shard_host.pending_calls(shard).wait_for_result(index))
            }
            _ => ReadAttempt::Empty(plan.map(|plan| plan.page)),
        }
    }

    /// An empty page, or that the job is unknown, from a confirmed primary only: another one may
    /// have results.
    async fn confirm_empty(&self, shard: u32, page: Option<Page>) -> Bytes {
        let response = match (self.confirm_primary(shard).await, page) {
            (false, _) => StoreResponse::Indeterminate,
            (true, Some(page)) => StoreResponse::Page(page),
            (true, None) => StoreResponse::NotFound,
        };
        encode(&response)
    }

    /// Returns the payload of an item.
    pub(super) async fn body(&self, item: ItemName, location: JobLocation) -> Bytes {
        let shard = location.shard(&item.job);
        {
            let mut shard_host = self.shard_host();
            if !shard_host.replica(shard).is_serving() {
                return encode(&StoreResponse::NotPrimary);
            }
            if let Some(location) = shard_host.replica(shard).payload(&item.job, &item.item) {
                let stored = shard_host
                    .read(shard, &[location.entry])
                    .unwrap_or_default();
                let payload = stored
                    .first()
                    .and_then(|entry| slice(&raw_payload(&entry.bytes)?, location.range));
                return match payload {
                    Some(payload) => framing::encode(&StoreResponse::Body, &[&payload]),
                    None => encode(&StoreResponse::Indeterminate),
                };
            }
        }
        self.confirm_empty(shard, None).await
    }
}

/// Whether results may still come behind the position.
fn expects_results(job: &BatchJob, start_after: u64) -> bool {
    job.ended.is_none() && start_after < job.items.len() as u64
}

/// A page with the texts of its results.
fn read_page(shard_host: &ShardHost, shard: u32, plan: &PagePlan) -> Bytes {
    let mut page = plan.page.clone();
    let stored = shard_host.read(shard, &plan.entries).unwrap_or_default();
    let texts: Vec<Bytes> = stored
        .iter()
        .filter_map(|entry| raw_payload(&entry.bytes))
        .collect();
    if texts.len() != page.results.len() {
        return encode(&StoreResponse::Indeterminate);
    }
    for (result, text) in page.results.iter_mut().zip(&texts) {
        result.length = text.len() as u64;
    }
    let raw: Vec<&[u8]> = texts.iter().map(|text| &text[..]).collect();
    framing::encode(&StoreResponse::Page(page), &raw)
}
