//! Execution of batch items: each runs as a request of its route, through the same reducer as live requests.
//!
//! The batch modules implement [`BatchHandler`] for clients' calls and run items by [`BatchExecutor`].

use crate::exchange::{BodyChunk, ClientRequest, Exchange, ExchangeMode, NewExchange, Refusal};
use crate::request::{LAST_EVENT_ID, strip_connection_headers, strip_own_headers};
use crate::shared::Shared;
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
    /// Its method.
    pub method: Method,
    /// The route's host.
    pub host: String,
    /// Path and query as received.
    pub path_and_query: String,
    /// Its headers, all of them.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The configuration in force when it was read.
    pub configuration: Arc<Configuration>,
    /// Index of its route in `route_list`; `None` for calls under `/v1/`.
    pub route: Option<usize>,
    /// Which jobs it may be about.
    pub access: JobAccess,
}

/// Handles calls on batch jobs.
pub trait BatchHandler: Send + Sync {
    /// Handles a call. Dropping the future means that its client has disconnected.
    fn handle(&self, call: BatchCall) -> Pin<Box<dyn Future<Output = Response> + Send>>;
    /// Starts the graceful shutdown: no new work may begin.
    fn start_draining(&self) {}
    /// Whether results are being recorded, which the process must not end before.
    fn is_recording(&self) -> bool {
        false
    }
}

/// A batch item to execute.
pub struct ItemRequest {
    /// The host of its job's route.
    pub host: String,
    /// Its path, which picks the route.
    pub path: String,
    /// Its id, sent to workers as the request id.
    pub id: HeaderValue,
    /// Its headers.
    pub headers: HeaderMap,
    /// The name of the tenant that submitted its job, if one did.
    pub tenant: Option<String>,
    /// Its decoded body.
    pub body: Bytes,
    /// Time limit of the execution.
    pub time: Duration,
    /// The last event already received in an earlier attempt.
    pub last_event_id: Option<u64>,
}

/// How the execution of an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemOutcome {
    /// Its output is complete.
    Completed,
    /// It was rejected: it has not run under this request and will not.
    Refused,
    /// A worker responded 500, or with another failure of its own.
    Failed(StatusCode),
    /// A worker responded 422: it can never succeed.
    CannotBeDone,
    /// It may have run in part. Output up to this event is valid, and the item can be resumed after it.
    Broken {
        /// The last event received, or known before.
        last_event_id: Option<u64>,
    },
    /// No route of the configuration in force matches it.
    NoRoute,
}

/// The next step of an item's execution.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemStep {
    /// Complete events, each once and in order.
    Events(Bytes),
    /// The end of the execution.
    Ended(ItemOutcome),
}

/// Executes batch items through this dispatcher's reducer.
#[derive(Clone)]
pub struct BatchExecutor {
    shared: Arc<Shared>,
}

impl BatchExecutor {
    /// Creates an executor on the shared state.
    pub fn new(shared: Arc<Shared>) -> BatchExecutor {
        BatchExecutor { shared }
    }

    /// Unix time in ms, which never steps while the process runs.
    pub fn now_ms(&self) -> u64 {
        (self.shared.clock.now() * 1e3) as u64
    }

    /// Whether workers of some service of the item's route accept requests.
    pub fn has_workers(&self, host: &str, path: &str) -> bool {
        let target = self
            .shared
            .routing()
            .and_then(|table| self.shared.target(&table, host, path, None));
        target.is_some_and(|target| self.shared.workers.serves(&target.service))
    }

    /// Executes an item. Dropping the returned value cancels the execution.
    pub fn run(&self, item: ItemRequest) -> ItemRun {
        let tenant = item.tenant.as_deref();
        let routing = self.shared.routing();
        let tenants = routing.as_ref().and_then(|table| table.tenants.as_ref());
        let has_tenants = tenants.is_some();
        let priority = tenants
            .zip(tenant)
            .and_then(|(tenants, name)| tenants.named(name)?.priority);
        let target = routing
            .as_ref()
            .and_then(|table| self.shared.target(table, &item.host, &item.path, priority));
        let Some(target) = target else {
            return ItemRun {
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
            time,
            last_event_id,
        } = item;
        strip_connection_headers(&mut headers);
        strip_own_headers(&mut headers);
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
        let new = NewExchange {
            request,
            body,
            terms: target.terms,
            service: target.service,
            priority: target.priority,
            mode: ExchangeMode::Item,
            project_type: target.project_type,
            time_budget: time.as_secs_f64(),
        };
        ItemRun {
            exchange: Some(Exchange::start(&self.shared, new)),
            status: None,
        }
    }
}

/// The execution of one item.
pub struct ItemRun {
    exchange: Option<Arc<Exchange>>,
    /// The status of the response, once its head was read.
    status: Option<StatusCode>,
}

impl ItemRun {
    /// The next step. Must not be called again after [`ItemStep::Ended`].
    pub async fn next(&mut self) -> ItemStep {
        let Some(exchange) = self.exchange.clone() else {
            return ItemStep::Ended(ItemOutcome::NoRoute);
        };
        let status = match self.status {
            Some(status) => status,
            None => match poll_fn(|cx| exchange.poll_head(cx)).await {
                Ok(head) => *self.status.insert(head.status),
                Err(Refusal::NotRun(_)) => return ItemStep::Ended(ItemOutcome::Refused),
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
                    return ItemStep::Ended(failed(exchange.item_failure().unwrap_or(status)));
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

    /// The share of its service's slots that is in use, as far as recent responses tell.
    pub fn occupancy(&self) -> Option<f64> {
        let exchange = self.exchange.as_ref()?;
        exchange.shared().occupancy(&exchange.service)
    }

    /// The last event received, or known before.
    pub fn last_event_id(&self) -> Option<u64> {
        self.exchange
            .as_ref()
            .and_then(|exchange| exchange.last_event())
    }
}

impl Drop for ItemRun {
    fn drop(&mut self) {
        self.exchange.iter().for_each(|exchange| exchange.abandon());
    }
}

/// The outcome of an item whose worker responded with this error status.
fn failed(status: StatusCode) -> ItemOutcome {
    match status {
        StatusCode::UNPROCESSABLE_ENTITY => ItemOutcome::CannotBeDone,
        status => ItemOutcome::Failed(status),
    }
}

/// The last event that a client has, by its `Last-Event-Id`.
pub fn last_event_id(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(LAST_EVENT_ID)?
        .to_str()
        .ok()?
        .trim()
        .parse()
        .ok()
}
