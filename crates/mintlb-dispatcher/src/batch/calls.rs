//! Clients' calls on batch jobs: submit, read results, read a body, end.

use super::page;
use super::runner::Runner;
use super::submission;
use crate::batch_executor::{BatchCall, BatchHandler};
use axum::body::Body;
use axum::http::header::{CONTENT_TYPE, RETRY_AFTER};
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use mintlb_batch::client::{BatchClient, JobError, LeasedItem, Submission, SubmitError, Submitted};
use mintlb_batch::entry::JobTerms;
use mintlb_batch::messages::DispatcherId;
use mintlb_common::configuration::Route;
use mintlb_common::record::{ENDED_JOB_PREFIX, Record};
use mintlb_gossip::GossipService;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// Size limit of the results in one response.
const MAX_PAGE_BYTES: usize = 1 << 20;
/// The longest that a read waits for a result.
const MAX_READ_WAIT: Duration = Duration::from_millis(1000);
/// Timeout of a submission without a client's deadline.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(3000);
/// A submission gets its response this long before the client's deadline.
const SUBMIT_MARGIN: Duration = Duration::from_millis(300);
/// `Retry-After` of a rejected call, in seconds.
const RETRY_AFTER_SECONDS: &str = "0.5";
/// `Retry-After` of a submission over the quota, in seconds.
const QUOTA_RETRY_AFTER_SECONDS: &str = "1";
/// Lifetime of the record that a job was ended, in seconds.
const ENDED_LIFETIME_S: u32 = 60;
/// Default retention of a job's items, in milliseconds.
const USUAL_RETENTION_MS: u64 = 60_000;

/// Handles clients' calls on batch jobs.
pub struct BatchCalls {
    client: Arc<BatchClient>,
    runner: Arc<Runner>,
    gossip: Arc<GossipService>,
    dispatcher_id: DispatcherId,
    draining: AtomicBool,
}

/// The resource that a path under `/v1/` names.
enum Resource<'a> {
    Job(&'a str),
    Items(&'a str),
}

impl BatchCalls {
    /// Calls go to the stores by `client`; accepted items go to `runner`.
    pub fn new(
        client: Arc<BatchClient>,
        runner: Arc<Runner>,
        gossip: Arc<GossipService>,
        dispatcher_id: DispatcherId,
    ) -> BatchCalls {
        BatchCalls {
            client,
            runner,
            gossip,
            dispatcher_id,
            draining: AtomicBool::new(false),
        }
    }
}

impl BatchHandler for BatchCalls {
    fn handle(&self, call: BatchCall) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        if let Some(route) = call.route {
            return match call.method == Method::POST {
                true => self.submit(&call, route),
                false => answer(StatusCode::METHOD_NOT_ALLOWED),
            };
        }
        let (path, query) = call
            .path_and_query
            .split_once('?')
            .unwrap_or((&call.path_and_query, ""));
        match (resource(path), &call.method) {
            (Some(Resource::Job(id)), &Method::GET) => self.read(&call, id, query),
            (Some(Resource::Job(id)), &Method::DELETE) => self.end(&call, id),
            (Some(Resource::Items(id)), &Method::GET) => self.body(&call, id, query),
            (Some(_), _) => answer(StatusCode::METHOD_NOT_ALLOWED),
            (None, _) => answer(StatusCode::NOT_FOUND),
        }
    }

    fn start_draining(&self) {
        self.draining.store(true, Relaxed);
        self.runner.start_draining();
    }
}

type Answer = Pin<Box<dyn Future<Output = Response> + Send>>;

impl BatchCalls {
    fn submit(&self, call: &BatchCall, route: usize) -> Answer {
        let Some(route) = call.configuration.route_list.get(route) else {
            return answer(StatusCode::NOT_FOUND);
        };
        if self.draining.load(Relaxed) {
            return Box::pin(async {
                retry_later(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_SECONDS)
            });
        }
        let id = call
            .headers
            .get("mintlb-request-id")
            .and_then(|id| id.to_str().ok());
        let Some(job_id) = id.filter(|id| !id.is_empty()) else {
            return bad_request("M414 Mintlb-Request-Id: one is needed".to_string());
        };
        let items = match submission::parse(&call.body, route) {
            Ok(items) => items,
            Err(error) => return bad_request(error.to_string()),
        };
        let job = Submission {
            host: host_name(&call.host),
            route: route.name.clone(),
            job_id: job_id.to_string(),
            terms: terms(route, self.runner.now_ms()),
            max_queued_tokens: route.max_queued_tokens,
            items,
        };
        let time_limit = submit_timeout(&call.headers);
        let (client, runner, dispatcher_id) =
            (self.client.clone(), self.runner.clone(), self.dispatcher_id);
        // On its own task: an accepted job is run here, also if its client has disconnected meanwhile.
        let task =
            tokio::spawn(
                async move { submit(&client, &runner, dispatcher_id, job, time_limit).await },
            );
        Box::pin(async move {
            task.await
                .unwrap_or_else(|_| StatusCode::BAD_GATEWAY.into_response())
        })
    }

    fn read(&self, call: &BatchCall, job_id: &str, query: &str) -> Answer {
        let start_after = match parameter(query, "start_after").map_or(Ok(0), str::parse) {
            Ok(position) => position,
            Err(_) => return bad_request("M415 start_after: is no position".to_string()),
        };
        let wait = milliseconds(&call.headers, "mintlb-wait-ms")
            .unwrap_or_default()
            .min(MAX_READ_WAIT);
        let (client, host, job_id) = (
            self.client.clone(),
            host_name(&call.host),
            job_id.to_string(),
        );
        Box::pin(async move {
            match client
                .read(&host, &job_id, start_after, wait, MAX_PAGE_BYTES)
                .await
            {
                Ok(found) => json(page::to_json(found.total, found.next, &found.results)),
                Err(JobError::NotFound) => StatusCode::NOT_FOUND.into_response(),
                Err(JobError::Unavailable) => {
                    retry_later(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_SECONDS)
                }
            }
        })
    }

    fn body(&self, call: &BatchCall, job_id: &str, query: &str) -> Answer {
        let Some(instance_id) = parameter(query, "instance_id").map(str::to_string) else {
            return bad_request("M416 instance_id: one is needed".to_string());
        };
        let (client, host, job_id) = (
            self.client.clone(),
            host_name(&call.host),
            job_id.to_string(),
        );
        Box::pin(async move {
            match client.body(&host, &job_id, &instance_id).await {
                Ok(body) => Response::new(Body::from(body)),
                Err(JobError::NotFound) => StatusCode::NOT_FOUND.into_response(),
                Err(JobError::Unavailable) => {
                    retry_later(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_SECONDS)
                }
            }
        })
    }

    fn end(&self, call: &BatchCall, job_id: &str) -> Answer {
        let (client, runner, gossip) = (
            self.client.clone(),
            self.runner.clone(),
            self.gossip.clone(),
        );
        let (host, job_id) = (host_name(&call.host), job_id.to_string());
        Box::pin(async move {
            match client.end(&host, &job_id).await {
                Ok(()) => {
                    runner.job_ended(&host, &job_id);
                    gossip.publish_now(Record {
                        key: format!("{ENDED_JOB_PREFIX}{job_id}"),
                        version: 1,
                        ttl_s: ENDED_LIFETIME_S,
                        body: host.into_bytes().into(),
                    });
                    StatusCode::OK.into_response()
                }
                Err(JobError::NotFound) => StatusCode::NOT_FOUND.into_response(),
                Err(JobError::Unavailable) => {
                    retry_later(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_SECONDS)
                }
            }
        })
    }
}

async fn submit(
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
        Err(SubmitError::QuotaExceeded) => {
            retry_later(StatusCode::TOO_MANY_REQUESTS, QUOTA_RETRY_AFTER_SECONDS)
        }
        Err(SubmitError::Conflict) => {
            (StatusCode::CONFLICT, "M417 another lot has this id").into_response()
        }
        Err(SubmitError::Rejected) => {
            retry_later(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER_SECONDS)
        }
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
        job_id,
        terms,
        items,
        ..
    } = job;
    let leased = |(index, item)| LeasedItem {
        host: host.clone(),
        route: route.clone(),
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

fn submit_timeout(headers: &HeaderMap) -> Duration {
    let deadline = milliseconds(headers, "mintlb-deadline-ms");
    deadline.map_or(SUBMIT_TIMEOUT, |deadline| {
        deadline.saturating_sub(SUBMIT_MARGIN).min(SUBMIT_TIMEOUT)
    })
}

fn milliseconds(headers: &HeaderMap, name: &str) -> Option<Duration> {
    let value: f64 = headers.get(name)?.to_str().ok()?.trim().parse().ok()?;
    (value.is_finite() && value >= 0.0).then(|| Duration::from_secs_f64(value.min(1e6) / 1e3))
}

fn resource(path: &str) -> Option<Resource<'_>> {
    let is_id = |id: &&str| !id.is_empty() && !id.contains('/');
    let job = path
        .strip_prefix("/v1/lots/")
        .filter(is_id)
        .map(Resource::Job);
    job.or_else(|| {
        path.strip_prefix("/v1/items/")
            .filter(is_id)
            .map(Resource::Items)
    })
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))
        .map(|(_, value)| value)
}

/// The host's name without a port, by which jobs are keyed.
fn host_name(host: &str) -> String {
    host.rsplit_once(':')
        .map_or(host, |(name, _)| name)
        .to_ascii_lowercase()
}

fn answer(status: StatusCode) -> Answer {
    Box::pin(async move { status.into_response() })
}

fn bad_request(why: String) -> Answer {
    Box::pin(async move { (StatusCode::BAD_REQUEST, why).into_response() })
}

fn retry_later(status: StatusCode, retry_after: &'static str) -> Response {
    (
        status,
        [(RETRY_AFTER, HeaderValue::from_static(retry_after))],
    )
        .into_response()
}

fn json(body: Vec<u8>) -> Response {
    (
        [(CONTENT_TYPE, HeaderValue::from_static("application/json"))],
        body,
    )
        .into_response()
}
