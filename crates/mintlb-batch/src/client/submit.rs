//! Submission of jobs.

use super::attempt::{Attempt, pause_before_retry, time_until};
use super::{BatchClient, Item, Submission, SubmitError, Submitted};
use crate::entry::{ItemHeader, ItemPayload, JobHeader};
use crate::framing;
use crate::messages::{DispatcherId, JobName, StoreRequest, StoreResponse, Submit};
use bytes::Bytes;
use std::time::Duration;
use tokio::time::Instant;

impl BatchClient {
    /// Submits a job and leases its items to `owner`. A repeated submission of the same job is
    /// accepted again.
    ///
    /// # Errors
    /// [`SubmitError`]. Only after [`SubmitError::Indeterminate`] may the job have been accepted.
    pub async fn submit(
        &self,
        job: Submission,
        owner: DispatcherId,
        timeout: Duration,
    ) -> Result<Submitted, SubmitError> {
        let deadline = Instant::now() + timeout;
        let name = JobName {
            host: job.host.clone(),
            id: job.job_id.clone(),
        };
        let is_host_placed = self.is_host_placed(&name, deadline).await;
        let is_host_placed = is_host_placed.map_err(|_| SubmitError::Rejected)?;
        let shard = self.host_placed.shard_of(&name);
        let mut request = SubmitRequest::new(job, owner, is_host_placed);
        // An attempt without a clear answer may be executed at any time later, so that from then on
        // only "accepted" says what became of the job.
        let mut may_have_executed = false;
        loop {
            let left = time_until(deadline);
            if left.is_zero() {
                return Err(unless_executed(SubmitError::Rejected, may_have_executed));
            }
            if let Some(primary) = self.primary_of(shard) {
                let bytes = request.encode(primary.epoch);
                let attempt = self.attempt_at_primary(shard, primary, bytes, left);
                match attempt.await {
                    Attempt::Answered(response, _) => {
                        if let Some(result) = submit_result(&response, may_have_executed) {
                            return result;
                        }
                        may_have_executed = true;
                    }
                    Attempt::Indeterminate => may_have_executed = true,
                    Attempt::NotExecuted => (),
                }
            }
            pause_before_retry(deadline).await;
        }
    }
}

/// What a store's response means for the submission; `None` if it says nothing about it.
fn submit_result(
    response: &StoreResponse,
    may_have_executed: bool,
) -> Option<Result<Submitted, SubmitError>> {
    let error = match response {
        StoreResponse::Accepted { leased } => {
            let items_leased = *leased;
            return Some(Ok(Submitted { items_leased }));
        }
        StoreResponse::Conflict => return Some(Err(SubmitError::Conflict)),
        StoreResponse::QuotaExceeded => SubmitError::QuotaExceeded,
        StoreResponse::DiskFull | StoreResponse::Overloaded => SubmitError::Rejected,
        _ => return None,
    };
    Some(Err(unless_executed(error, may_have_executed)))
}

/// An error that promises that no item will run holds only if no earlier attempt may have been
/// executed.
fn unless_executed(error: SubmitError, may_have_executed: bool) -> SubmitError {
    if may_have_executed {
        SubmitError::Indeterminate
    } else {
        error
    }
}

/// A submission as it is sent. It names the shard's epoch, so that a former primary rejects it.
struct SubmitRequest {
    submit: Submit,
    /// The job lies on its host's shard.
    is_host_placed: bool,
    payloads: Vec<Bytes>,
    /// The encoded request, for the epoch that it names.
    encoded: Option<EncodedRequest>,
}

struct EncodedRequest {
    epoch: u64,
    bytes: Bytes,
}

impl SubmitRequest {
    fn new(job: Submission, owner: DispatcherId, is_host_placed: bool) -> SubmitRequest {
        let payloads: Vec<Bytes> = job.items.iter().map(encode_payload).collect();
        let items = job.items.into_iter().zip(&payloads);
        let items = items.map(|(item, payload)| ItemHeader {
            id: item.instance_id,
            tokens: item.tokens,
            length: payload.len() as u64,
        });
        let submit = Submit {
            epoch: 0,
            owner,
            max_queued_tokens: job.max_queued_tokens,
            job: JobHeader {
                host: job.host,
                id: job.job_id,
                route: job.route,
                terms: job.terms,
                items: items.collect(),
                tenant: job.tenant,
            },
        };
        SubmitRequest {
            submit,
            is_host_placed,
            payloads,
            encoded: None,
        }
    }

    /// The request for a primary of this epoch; encoded again only if the epoch has changed since
    /// the last attempt.
    fn encode(&mut self, epoch: u64) -> Bytes {
        if let Some(encoded) = &self.encoded
            && encoded.epoch == epoch
        {
            return encoded.bytes.clone();
        }
        self.submit.epoch = epoch;
        let request = StoreRequest::Submit(self.submit.clone());
        let request = match self.is_host_placed {
            true => StoreRequest::InHostShard(Box::new(request)),
            false => request,
        };
        let raw: Vec<&[u8]> = self.payloads.iter().map(|payload| &payload[..]).collect();
        let bytes = framing::encode(&request, &raw);
        self.encoded = Some(EncodedRequest {
            epoch,
            bytes: bytes.clone(),
        });
        bytes
    }
}

/// Encodes an item's payload as it is sent and stored.
fn encode_payload(item: &Item) -> Bytes {
    let payload = ItemPayload {
        path: item.path.clone(),
        headers: item.headers.clone(),
    };
    payload.encode(&item.body)
}
