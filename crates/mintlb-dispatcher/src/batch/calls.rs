//! Clients' calls on batch jobs: submit a job, read its results, read an item's body, end a job.

mod request_fields;
mod responses;
mod submit;

use super::page;
use super::runner::ItemRunner;
use super::submission::parse;
use crate::batch_executor::{BatchCall, BatchHandler};
use axum::body::Body;
use axum::http::{Method, StatusCode};
use axum::response::{IntoResponse, Response};
use mintlb_batch::client::BatchClient;
use mintlb_batch::messages::DispatcherId;
use mintlb_common::record::{ENDED_JOB_PREFIX, Record};
use mintlb_gossip::GossipService;
use request_fields::{Resource, duration_header, host_name, query_parameter, resource};
use responses::{ResponseFuture, bad_request, job_error, json, status_response, unavailable};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;
use submit::{submission, submit, submit_timeout};

/// Maximum size of the results in one response.
const MAX_PAGE_BYTES: usize = 1 << 20;
/// Maximum time that a read waits for a result.
const MAX_READ_WAIT: Duration = Duration::from_millis(1000);
/// Lifetime of the gossip record that a job was ended, in seconds.
const ENDED_LIFETIME_S: u32 = 60;

/// Handles clients' calls on batch jobs.
pub struct BatchCallHandler {
    client: Arc<BatchClient>,
    runner: Arc<ItemRunner>,
    gossip: Arc<GossipService>,
    dispatcher_id: DispatcherId,
    draining: AtomicBool,
}

impl BatchCallHandler {
    /// Creates the handler. Calls go to the stores through `client`; `runner` runs the items of accepted jobs.
    pub fn new(
        client: Arc<BatchClient>,
        runner: Arc<ItemRunner>,
        gossip: Arc<GossipService>,
        dispatcher_id: DispatcherId,
    ) -> BatchCallHandler {
        BatchCallHandler {
            client,
            runner,
            gossip,
            dispatcher_id,
            draining: AtomicBool::new(false),
        }
    }
}

impl BatchHandler for BatchCallHandler {
    fn handle(&self, call: BatchCall) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        if let Some(route) = call.route {
            return match call.method == Method::POST {
                true => self.submit(&call, route),
                false => status_response(StatusCode::METHOD_NOT_ALLOWED),
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
            (Some(_), _) => status_response(StatusCode::METHOD_NOT_ALLOWED),
            (None, _) => status_response(StatusCode::NOT_FOUND),
        }
    }

    fn is_recording(&self) -> bool {
        self.runner.is_recording()
    }

    fn start_draining(&self) {
        self.draining.store(true, Relaxed);
        self.runner.start_draining();
    }
}

impl BatchCallHandler {
    fn submit(&self, call: &BatchCall, route: usize) -> ResponseFuture {
        let Some(route) = call.configuration.route_list.get(route) else {
            return status_response(StatusCode::NOT_FOUND);
        };
        if self.draining.load(Relaxed) {
            return Box::pin(async { unavailable() });
        }
        let id = call
            .headers
            .get("mintlb-request-id")
            .and_then(|id| id.to_str().ok());
        let Some(job_id) = id.filter(|id| !id.is_empty()) else {
            return bad_request("M414 Mintlb-Request-Id: one is needed".to_string());
        };
        let items = match parse(&call.body, route) {
            Ok(items) => items,
            Err(error) => return bad_request(error.to_string()),
        };
        let job = submission(call, route, job_id, items, self.runner.now_ms());
        let time_limit = submit_timeout(&call.headers);
        let (client, runner, dispatcher_id) =
            (self.client.clone(), self.runner.clone(), self.dispatcher_id);
        // Runs on a task of its own, so that an accepted job is run here even if its client has disconnected.
        let task =
            tokio::spawn(
                async move { submit(&client, &runner, dispatcher_id, job, time_limit).await },
            );
        Box::pin(async move {
            task.await
                .unwrap_or_else(|_| StatusCode::BAD_GATEWAY.into_response())
        })
    }

    fn read(&self, call: &BatchCall, job_id: &str, query: &str) -> ResponseFuture {
        let start_after = match query_parameter(query, "start_after").map_or(Ok(0), str::parse) {
            Ok(position) => position,
            Err(_) => return bad_request("M415 start_after: is no position".to_string()),
        };
        let wait = duration_header(&call.headers, "mintlb-wait-ms")
            .unwrap_or_default()
            .min(MAX_READ_WAIT);
        let (client, access) = (self.client.clone(), call.access.clone());
        let (host, job_id) = (host_name(&call.host), job_id.to_string());
        Box::pin(async move {
            match client
                .read(&access, &host, &job_id, start_after, wait, MAX_PAGE_BYTES)
                .await
            {
                Ok(found) => json(page::to_json(found.total, found.next, &found.results)),
                Err(error) => job_error(error),
            }
        })
    }

    fn body(&self, call: &BatchCall, job_id: &str, query: &str) -> ResponseFuture {
        let Some(instance_id) = query_parameter(query, "instance_id").map(str::to_string) else {
            return bad_request("M416 instance_id: one is needed".to_string());
        };
        let (client, access) = (self.client.clone(), call.access.clone());
        let (host, job_id) = (host_name(&call.host), job_id.to_string());
        Box::pin(async move {
            match client.body(&access, &host, &job_id, &instance_id).await {
                Ok(body) => Response::new(Body::from(body)),
                Err(error) => job_error(error),
            }
        })
    }

    fn end(&self, call: &BatchCall, job_id: &str) -> ResponseFuture {
        let (client, runner, gossip) = (
            self.client.clone(),
            self.runner.clone(),
            self.gossip.clone(),
        );
        let access = call.access.clone();
        let (host, job_id) = (host_name(&call.host), job_id.to_string());
        Box::pin(async move {
            match client.end(&access, &host, &job_id).await {
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
                Err(error) => job_error(error),
            }
        })
    }
}
