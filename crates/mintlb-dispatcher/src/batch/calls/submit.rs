//! Submission of a batch job by a client.

use super::request_fields::{host_name, milliseconds};
use super::responses::{over_quota, unavailable};
use crate::batch::runner::Runner;
use crate::batch_executor::BatchCall;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use mintlb_batch::client::{BatchClient, Item, LeasedItem, Submission, SubmitError, Submitted};
use mintlb_batch::entry::JobTerms;
use mintlb_batch::messages::DispatcherId;
use mintlb_common::configuration::Route;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout of a submission without a client's deadline.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(3000);
/// A submission gets its response this long before the client's deadline.
const SUBMIT_MARGIN: Duration = Duration::from_millis(300);
/// Default retention of a job's items, in milliseconds.
const USUAL_RETENTION_MS: u64 = 60_000;

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
        route: route.name.clone(),
        tenant: call.access.tenant().map(str::to_string),
        job_id: job_id.to_string(),
        terms: terms(route, now_ms),
        max_queued_tokens: route.max_queued_tokens,
        items,
    }
}

/// Submits a job; once it is accepted, its items run at this dispatcher.
pub(super) async fn submit(
    client: &BatchClient,
    runner: &Arc<Runner>,
    dispatcher_id: DispatcherId,
    job: Submission,
    time_limit: Duration,
) -> Response {
    let started = Instant::now();
    let submitted = client.submit(job.clone(), dispatcher_id, time_limit).await;
    let response = match submitted {
        Ok(Submitted { items_leased }) => {
            if items_leased {
                runner.take(leased(job));
            }
            StatusCode::ACCEPTED.into_response()
        }
        Err(SubmitError::QuotaExceeded) => over_quota(),
        Err(SubmitError::Conflict) => {
            (StatusCode::CONFLICT, "M417 another lot has this id").into_response()
        }
        Err(SubmitError::Rejected) => unavailable(),
        // It may be committed: no status that denies it is allowed.
        Err(SubmitError::Indeterminate) => StatusCode::GATEWAY_TIMEOUT.into_response(),
    };
    let counters = runner.counters();
    counters.on_submitted(response.status(), started.elapsed());
    response
}

fn leased(job: Submission) -> Vec<LeasedItem> {
    let Submission {
        host,
        route,
        tenant,
        job_id,
        terms,
        items,
        ..
    } = job;
    let leased = |(index, item)| LeasedItem {
        host: host.clone(),
        route: route.clone(),
        tenant: tenant.clone(),
        job_id: job_id.clone(),
        terms,
        index: index as u32,
        item,
        failures: 0,
    };
    items.into_iter().enumerate().map(leased).collect()
}

fn terms(route: &Route, now_ms: u64) -> JobTerms {
    JobTerms {
        sent_at_ms: now_ms,
        completion_target_ms: route.completion_target_ms.unwrap_or(USUAL_RETENTION_MS),
        retention_ms: route
            .retention_s
            .map_or(USUAL_RETENTION_MS, |seconds| (seconds * 1e3) as u64),
        max_attempts: route.max_attempts,
    }
}

/// How long a submission may take, by the deadline of its client.
pub(super) fn submit_timeout(headers: &HeaderMap) -> Duration {
    let deadline = milliseconds(headers, "mintlb-deadline-ms");
    deadline.map_or(SUBMIT_TIMEOUT, |deadline| {
        deadline.saturating_sub(SUBMIT_MARGIN).min(SUBMIT_TIMEOUT)
    })
}
