//! Submission of a batch job by a client.

use super::request_fields::{duration_header, host_name};
use super::responses::{over_quota, unavailable};
use crate::batch::runner::ItemRunner;
use crate::batch_executor::BatchCall;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use mintlb_batch::client::{BatchClient, Item, LeasedItem, Submission, SubmitError, Submitted};
use mintlb_batch::entry::JobTerms;
use mintlb_batch::messages::DispatcherId;
use mintlb_common::configuration::Route;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout of a submission, also if the client's deadline is later.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(3000);
/// A submission gets its response at least this long before the client's deadline.
const SUBMIT_MARGIN: Duration = Duration::from_millis(300);
/// Default retention of a job's items, and default of their completion target, in milliseconds.
const DEFAULT_RETENTION_MS: u64 = 60_000;

/// The job that a call submits.
pub(super) fn submission(
    call: &BatchCall,
    route: &Route,
    job_id: &str,
    items: Vec<Item>,
    now_ms: u64,
) -> Submission {
    Submission {
        host: host_name(&call.host),
        route: route.id().as_str().to_string(),
        tenant: call.access.tenant().map(str::to_string),
        job_id: job_id.to_string(),
        terms: job_terms(route, now_ms),
        max_queued_tokens: route.max_queued_tokens,
        items,
    }
}

/// Submits a job. If it is accepted and its items are leased to this dispatcher, they are run here.
pub(super) async fn submit(
    client: &BatchClient,
    runner: &Arc<ItemRunner>,
    dispatcher_id: DispatcherId,
    job: Submission,
    time_limit: Duration,
) -> Response {
    let started = Instant::now();
    let submitted = client.submit(job.clone(), dispatcher_id, time_limit).await;
    let response = match submitted {
        Ok(Submitted { items_leased }) => {
            if items_leased {
                runner.enqueue(leased_items(job));
            }
            StatusCode::ACCEPTED.into_response()
        }
        Err(SubmitError::QuotaExceeded) => over_quota(),
        Err(SubmitError::Conflict) => {
            (StatusCode::CONFLICT, "M417 another lot has this id").into_response()
        }
        Err(SubmitError::Rejected) => unavailable(),
        // The job may have been accepted, so that the status must not say otherwise.
        Err(SubmitError::Indeterminate) => StatusCode::GATEWAY_TIMEOUT.into_response(),
    };
    let counters = runner.counters();
    counters.on_submitted(response.status(), started.elapsed());
    response
}

fn leased_items(job: Submission) -> Vec<LeasedItem> {
    let Submission {
        host,
        route,
        tenant,
        job_id,
        terms,
        items,
        ..
    } = job;
    let leased_item = |(index, item)| LeasedItem {
        host: host.clone(),
        route: route.clone(),
        tenant: tenant.clone(),
        job_id: job_id.clone(),
        terms,
        index: index as u32,
        item,
        failures: 0,
    };
    items.into_iter().enumerate().map(leased_item).collect()
}

fn job_terms(route: &Route, now_ms: u64) -> JobTerms {
    JobTerms {
        sent_at_ms: now_ms,
        completion_target_ms: route.completion_target_ms.unwrap_or(DEFAULT_RETENTION_MS),
        retention_ms: route
            .retention_s
            .map_or(DEFAULT_RETENTION_MS, |seconds| (seconds * 1e3) as u64),
        max_attempts: route.max_attempts,
    }
}

/// Timeout of a submission, by the deadline of its client.
pub(super) fn submit_timeout(headers: &HeaderMap) -> Duration {
    let deadline = duration_header(headers, "mintlb-deadline-ms");
    deadline.map_or(SUBMIT_TIMEOUT, |deadline| {
        deadline.saturating_sub(SUBMIT_MARGIN).min(SUBMIT_TIMEOUT)
    })
}
