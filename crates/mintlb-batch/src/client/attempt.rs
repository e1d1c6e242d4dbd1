//! Attempts of a call, and their repetition until a time-out.

use super::BatchClient;
use super::error::JobError;
use super::routing::{ShardPrimary, primary_of};
use crate::framing;
use crate::messages::{StoreRequest, StoreResponse};
use bytes::Bytes;
use mintlb_common::transport::Channel;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Pause between two attempts, while the primary is not active or can't be reached.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// How often an attempt that waits looks whether its shard has another primary.
const PLACEMENT_CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// The outcome of one attempt.
pub(super) enum Attempt {
    /// The store answered: a response and its raw bytes.
    Answered(StoreResponse, Bytes),
    /// The request was not executed and will not be.
    NotExecuted,
    /// The request may have been executed, or may still be.
    Indeterminate,
}

impl BatchClient {
    /// The primary of a shard, by the current placement.
    pub(super) fn primary_of(&self, shard: u32) -> Option<ShardPrimary> {
        primary_of(&(self.placement)(), shard)
    }

    /// Sends a request once.
    pub(super) async fn attempt(
        &self,
        address: SocketAddr,
        request: Bytes,
        timeout: Duration,
    ) -> Attempt {
        let called = self
            .transport
            .call(address, Channel::Batch, request, timeout)
            .await;
        let bytes = match called {
            Ok(bytes) => bytes,
            Err(error) if error.may_have_executed() => return Attempt::Indeterminate,
            Err(_) => return Attempt::NotExecuted,
        };
        match framing::decode::<StoreResponse>(&bytes) {
            Some((StoreResponse::NotPrimary, _)) => Attempt::NotExecuted,
            Some((StoreResponse::Indeterminate, _)) | None => Attempt::Indeterminate,
            Some((response, raw)) => Attempt::Answered(response, raw),
        }
    }

    /// Sends a request to the primary of a shard once, and waits for as long as the shard keeps this
    /// primary. It is not sent again to the same primary before that: over a full link the response
    /// is late, and each repetition would fill the link further.
    pub(super) async fn attempt_at_primary(
        &self,
        shard: u32,
        primary: ShardPrimary,
        request: Bytes,
        timeout: Duration,
    ) -> Attempt {
        tokio::select! {
            biased;
            attempt = self.attempt(primary.store.address, request, timeout) => attempt,
            () = self.primary_replaced(shard, primary) => Attempt::Indeterminate,
        }
    }

    async fn primary_replaced(&self, shard: u32, primary: ShardPrimary) {
        while self.primary_of(shard) == Some(primary) {
            sleep(PLACEMENT_CHECK_INTERVAL).await;
        }
    }

    /// Sends an idempotent request to the primary of a shard until one answers.
    ///
    /// # Errors
    /// [`JobError::Unavailable`] if none answers before the deadline.
    pub(super) async fn call_primary(
        &self,
        shard: u32,
        request: &StoreRequest,
        raw: &[&[u8]],
        deadline: Instant,
    ) -> Result<(StoreResponse, Bytes), JobError> {
        let request = framing::encode(request, raw);
        loop {
            let left = time_until(deadline);
            if left.is_zero() {
                return Err(JobError::Unavailable);
            }
            if let Some(primary) = self.primary_of(shard) {
                let attempt = self.attempt_at_primary(shard, primary, request.clone(), left);
                if let Attempt::Answered(response, raw) = attempt.await {
                    return Ok((response, raw));
                }
            }
            pause_before_retry(deadline).await;
        }
    }
}

pub(super) async fn pause_before_retry(deadline: Instant) {
    sleep(RETRY_PAUSE.min(time_until(deadline))).await;
}

pub(super) fn time_until(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
