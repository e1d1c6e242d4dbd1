//! Executes batch items as requests of their route, through the same reducer as live requests.
//!
//! The batch modules implement [`BatchHandler`] for clients' calls and run items with [`BatchExecutor`].

use crate::exchange::{
    BodyChunk, ClientRequest, Exchange, ExchangeMode, ExchangeParameters, Refusal,
};
use crate::request::{LAST_EVENT_ID, strip_hop_by_hop_headers, strip_internal_headers};
use crate::shared::SharedState;
use crate::tenants::replace_credentials;
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode};
use axum::response::Response;
use bytes::Bytes;
use mintlb_batch::client::JobAccess;
use mintlb_common::configuration::Configuration;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

/// A client's call on batch jobs.
pub struct BatchCall {
    /// The HTTP method.
    pub method: Method,
    /// The value of its `Host` header.
    pub host: String,
    /// Path and query as received.
    pub path_and_query: String,
    /// All headers as received.
    pub headers: HeaderMap,
    /// The complete request body.
    pub body: Bytes,
    /// The configuration that was in force when the call was read.
    pub configuration: Arc<Configuration>,
    /// Index of its route in `route_list` if it submits a job; `None` for calls under `/v1/`.
    pub route: Option<usize>,
    /// Which jobs the call may access.
    pub access: JobAccess,
}

/// Handles clients' calls on batch jobs.
pub trait BatchHandler: Send + Sync {
    /// Returns the response to a call. The future is dropped if the client disconnects.
    fn handle(&self, call: BatchCall) -> Pin<Box<dyn Future<Output = Response> + Send>>;
    /// Starts the graceful shutdown: no new work may start.
    fn start_draining(&self) {}
    /// Whether results are being recorded. The process does not exit before that is done, unless its grace period ends.
    fn is_recording(&self) -> bool {
        false
    }
}

/// A batch item to execute.
pub struct ItemRequest {
    /// The host of its job's route.
    pub host: String,
    /// Path and query, which determine the route.
    pub path: String,
    /// The item's id, sent to workers as the request id.
    pub id: HeaderValue,
    /// The headers that the job gives for it.
    pub headers: HeaderMap,
    /// Name of the tenant that submitted its job, if any.
    pub tenant: Option<String>,
    /// The body, decoded from the job's base64.
    pub body: Bytes,
    /// Maximum duration of the execution.
    pub time_limit: Duration,
    /// Id of the last event that earlier attempts have received.
    pub last_event_id: Option<u64>,
}

/// How the execution of an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemOutcome {
    /// The output is complete.
    Completed,
    /// No worker has run the item, and none will under this request.
    NotExecuted,
    /// A worker responded with this error status, other than 422.
    Failed(StatusCode),
    /// A worker responded 422: the item can never succeed.
    Unprocessable,
    /// The item may have run in part. Its output up to this event is valid, and it can be resumed after it.
    Broken {
        /// Id of the last event received in this or an earlier attempt.
        last_event_id: Option<u64>,
    },
    /// No route of the configuration in force matches the item.
    NoRoute,
}

/// The next step of an item's execution.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemStep {
    /// Complete events, in order and each once.
    Events(Bytes),
    /// The execution has ended.
    Ended(ItemOutcome),
}

/// Executes batch items through this dispatcher's reducer.
#[derive(Clone)]
pub struct BatchExecutor {
    shared: Arc<SharedState>,
}

impl BatchExecutor {
    /// Creates an executor on the state of a dispatcher.
    pub fn new(shared: Arc<SharedState>) -> BatchExecutor {
        BatchExecutor { shared }
    }

    /// Unix time in ms by a clock that is not adjusted while the process runs.
    pub fn now_ms(&self) -> u64 {
        (self.shared.clock.now() * 1e3) as u64
    }

    /// Whether a worker of a service of the item's route accepts requests.
    pub fn has_workers(&self, host: &str, path: &str) -> bool {
        let target = self
            .shared
            .routing()
            .and_then(|table| self.shared.target(&table, host, path, None));
        target.is_some_and(|target| self.shared.workers.serves(&target.service))
    }

    /// Starts the execution of an item. Dropping the returned value cancels it.
    pub fn execute(&self, item: ItemRequest) -> ItemExecution {
        let tenant = item.tenant.as_deref();
        let routing = self.shared.routing();
        let tenants = routing.as_ref().and_then(|table| table.tenants.as_ref());
        let has_tenants = tenants.is_some();
        let priority = tenants
            .zip(tenant)
            .and_then(|(tenants, name)| tenants.get(name)?.priority);
        let target = routing
            .as_ref()
            .and_then(|table| self.shared.target(table, &item.host, &item.path, priority));
        let Some(target) = target else {
            return ItemExecution {
                exchange: None,
                status: None,
            };
        };
        let ItemRequest {
            host,
            path,
            id,
            mut headers,
            tenant,
            body,
            time_limit,
            last_event_id,
        } = item;
        strip_hop_by_hop_headers(&mut headers);
        strip_internal_headers(&mut headers);
        replace_credentials(&mut headers, has_tenants, tenant.as_deref());
        if let Ok(host) = HeaderValue::from_str(&host) {
            headers.insert("host", host);
        }
        let request = ClientRequest {
            method: Method::POST,
            target: path,
            headers,
            id,
            last_event_id,
        };
        let parameters = ExchangeParameters {
            request,
            body,
            route: target.route,
            service: target.service,
            priority: target.priority,
            mode: ExchangeMode::Item,
            project_type: target.project_type,
            time_budget: time_limit.as_secs_f64(),
        };
        ItemExecution {
            exchange: Some(Exchange::start(&self.shared, parameters)),
            status: None,
        }
    }
}

/// The execution of one item.
pub struct ItemExecution {
    exchange: Option<Arc<Exchange>>,
    /// Status of the response, once its head was read.
    status: Option<StatusCode>,
}

impl ItemExecution {
    /// Waits for the next step. Must not be called again after [`ItemStep::Ended`].
    pub async fn next(&mut self) -> ItemStep {
        let Some(exchange) = self.exchange.clone() else {
            return ItemStep::Ended(ItemOutcome::NoRoute);
        };
        let status = match self.status {
            Some(status) => status,
            None => match poll_fn(|cx| exchange.poll_head(cx)).await {
                Ok(head) => *self.status.insert(head.status),
                Err(Refusal::NotRun(_)) => return ItemStep::Ended(ItemOutcome::NotExecuted),
                Err(Refusal::Unknown | Refusal::TimedOut) => {
                    return ItemStep::Ended(ItemOutcome::Broken {
                        last_event_id: exchange.last_event(),
                    });
                }
            },
        };
        loop {
            match poll_fn(|cx| exchange.poll_chunk(cx)).await {
                BodyChunk::Data(events) if status.is_success() => return ItemStep::Events(events),
                BodyChunk::Data(_) => {}
                BodyChunk::Complete | BodyChunk::Broken if exchange.item_failure().is_some() => {
                    return ItemStep::Ended(failure_outcome(
                        exchange.item_failure().unwrap_or(status),
                    ));
                }
                BodyChunk::Complete => return ItemStep::Ended(ItemOutcome::Completed),
                BodyChunk::Broken => {
                    return ItemStep::Ended(ItemOutcome::Broken {
                        last_event_id: exchange.last_event(),
                    });
                }
            }
        }
    }

    /// The share of its service's slots that is in use; `None` without recent load reports.
    pub fn occupancy(&self) -> Option<f64> {
        let exchange = self.exchange.as_ref()?;
        exchange.shared().occupancy(&exchange.service)
    }

    /// Id of the last event received in this or an earlier attempt.
    pub fn last_event_id(&self) -> Option<u64> {
        self.exchange
            .as_ref()
            .and_then(|exchange| exchange.last_event())
    }
}

impl Drop for ItemExecution {
    fn drop(&mut self) {
        self.exchange.iter().for_each(|exchange| exchange.cancel());
    }
}

/// The outcome for an error status of a worker.
fn failure_outcome(status: StatusCode) -> ItemOutcome {
    match status {
        StatusCode::UNPROCESSABLE_ENTITY => ItemOutcome::Unprocessable,
        status => ItemOutcome::Failed(status),
    }
}

/// The last event that a client has, by its `Last-Event-Id` header.
pub fn last_event_id(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(LAST_EVENT_ID)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()
}
