//! The client for workers: each call sends one attempt and reports its outcome once.
//!
//! An attempt may be retried freely only if it provably never ran (rule 2). The error kinds of a library don't prove
//! that, so each connection counts the bytes that the operating system accepted: an attempt whose last byte was
//! never written never ran.
//!
//! A reused connection may be dead or closing, and a request written to it may have run. So every attempt dials,
//! unless connecting to that worker has proved slow, and reused connections have proved reliable.

use crate::dial::{BudgetExhausted, Dialer, NoDescriptor, WriteGate, WriteProgress};
use crate::error_chain::error_chain;
use crate::last_byte::DelayedLastByte;
use crate::limits::HttpLimits;
use crate::line_reader::LineReader;
use axum::http::header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::capture_connection;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use mintlb_core::clock::Clock;
use mintlb_core::reducer::Event;
use mintlb_core::work::{AttemptRequest, AttemptResult, CancelHandle, Endpoint};
use mintlb_scheduler::{LoadReport, Outcome};
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::value::RawValue;
use slog::{Logger, debug, info};
use std::borrow::Cow;
use std::collections::HashMap;
use std::error::Error;
use std::fmt::{Display, Formatter};
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};

/// Sends attempts and load probes to workers. Clones share their connections.
#[derive(Clone)]
pub struct WorkerClient {
    /// Dials for every request.
    fresh_client: Client<Dialer, DelayedLastByte>,
    /// Reuses connections.
    pooled_client: Client<Dialer, DelayedLastByte>,
    /// The shortest time from dialling to the response head, by worker, on new connections.
    fastest_start: Arc<Mutex<HashMap<SocketAddr, Duration>>>,
    /// Connections are reused where that time is longer than this.
    reuse_threshold: Duration,
    /// A reused connection has broken during an attempt: none is reused any more.
    reuse_disabled: Arc<AtomicBool>,
    /// Delay of the last byte of a non-idempotent request.
    last_byte_delay: Duration,
    clock: Clock,
    event_sender: UnboundedSender<Event>,
    log: Logger,
    /// Limit on the length of a line of a response.
    max_worker_line_bytes: usize,
    dial_timeout: Duration,
    probe_timeout: Duration,
    /// The field of load reports with the free slots, if reports have it.
    free_slots: Option<&'static str>,
    /// For work units that were submitted through another protocol.
    template: Arc<RequestTemplate>,
}

/// The data for building HTTP requests for work units that were not submitted through HTTP.
#[derive(Debug, Default)]
pub struct RequestTemplate {
    /// A prefix of request ids, unique to this scheduler.
    pub scheduler_name: String,
    /// The names of project types, by number.
    pub project_types: Vec<String>,
    /// The names of customers, by number.
    pub customers: Vec<String>,
}

impl RequestTemplate {
    fn head(&self, attempt: &AttemptRequest) -> Option<Parts> {
        let id = format!("{}-{}", self.scheduler_name, attempt.attempt_id.0);
        let request = Request::post(format!(
            "/{}",
            self.project_types.get(attempt.project_type)?
        ));
        let request = request
            .header("request-id", &id)
            .header("idempotency-key", &id);
        let customer = attempt
            .customer
            .and_then(|customer| self.customers.get(customer));
        let request = match customer {
            Some(customer) => request.header("tenant", customer),
            None => request,
        };
        request.body(()).ok().map(|request| request.into_parts().0)
    }
}

/// A worker that listens at an address.
pub struct HttpEndpoint {
    pub client: WorkerClient,
    pub address: SocketAddr,
}

impl Display for HttpEndpoint {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        self.address.fmt(f)
    }
}

impl Endpoint for HttpEndpoint {
    fn send(&self, attempt: AttemptRequest) -> Box<dyn CancelHandle> {
        let (client, address) = (self.client.clone(), self.address);
        Box::new(SpawnedAttempt(
            tokio::spawn(async move { client.send_attempt(&attempt, address).await })
                .abort_handle(),
        ))
    }
    fn probe(&self, worker: u64) {
        let (client, address) = (self.client.clone(), self.address);
        tokio::spawn(async move { client.probe(worker, address).await });
    }
}

/// An attempt in flight. Closing its connection is the protocol's only way to cancel it.
struct SpawnedAttempt(AbortHandle);

impl CancelHandle for SpawnedAttempt {
    fn cancel(self: Box<Self>) {
        self.0.abort();
    }
}

/// A line of a worker's response.
#[derive(Deserialize)]
struct ResponseLine<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    state: Cow<'a, str>,
    #[serde(borrow)]
    result: Option<&'a RawValue>,
    #[serde(borrow)]
    load: Option<&'a RawValue>,
}

impl WorkerClient {
    /// `report_fields` are the names of the fields in load reports; `sent_attempts` counts completely written
    /// attempts.
    pub fn new(
        limits: &HttpLimits,
        clock: Clock,
        event_sender: UnboundedSender<Event>,
        report_fields: &[&str],
        template: RequestTemplate,
        sent_attempts: Arc<AtomicU64>,
        log: Logger,
    ) -> WorkerClient {
        let dialer = Dialer::new(
            limits.max_worker_connections,
            limits.dial_timeout,
            sent_attempts,
        );
        let client = |max_idle| {
            Client::builder(TokioExecutor::new())
                // hyper must never retry by itself: that would be a second attempt (rule 2).
                .retry_canceled_requests(false)
                // A worker closes idle connections; a request that crosses the close may have run.
                .pool_idle_timeout(limits.idle_timeout)
                .pool_timer(TokioTimer::new())
                .pool_max_idle_per_host(max_idle)
                .http1_max_buf_size(limits.max_head_bytes)
                .build(dialer.clone())
        };
        let (fresh_client, pooled_client) = (client(0), client(limits.max_idle_per_worker));
        let (fastest_start, reuse_disabled) = Default::default();
        let free_slots = report_fields.contains(&"x0").then_some("x0");
        let HttpLimits {
            max_worker_line_bytes,
            dial_timeout,
            probe_timeout,
            reuse_threshold,
            last_byte_delay,
            ..
        } = *limits;
        let template = Arc::new(template);
        WorkerClient {
            fresh_client,
            pooled_client,
            fastest_start,
            reuse_threshold,
            reuse_disabled,
            last_byte_delay,
            clock,
            event_sender,
            log,
            max_worker_line_bytes,
            dial_timeout,
            probe_timeout,
            free_slots,
            template,
        }
    }

    /// Sends an attempt and reports its result. Dropping the future closes the connection.
    pub async fn send_attempt(&self, attempt: &AttemptRequest, address: SocketAddr) {
        let deadline = self.clock.instant(attempt.deadline);
        let run = timeout_at(deadline, self.run(attempt, address)).await;
        let (result, rest) = run.unwrap_or_else(|_| {
            (
                AttemptResult::from_outcome(attempt.attempt_id, Outcome::TimedOut),
                None,
            )
        });
        if result.outcome != Outcome::Completed {
            debug!(self.log, "allocation not completed"; "worker" => %address, "outcome" => ?result.outcome);
        }
        self.event_sender.send(Event::Finished(result)).ok();
        if let Some(rest) = rest {
            timeout(self.dial_timeout, rest.drain()).await.ok();
        }
    }

    /// Returns the result, and the rest of the response that is still to be read.
    async fn run(
        &self,
        attempt: &AttemptRequest,
        address: SocketAddr,
    ) -> (AttemptResult, Option<LineReader>) {
        let mut result = AttemptResult::from_outcome(attempt.attempt_id, Outcome::Moot);
        let remaining = attempt.deadline - self.clock.now();
        let last_byte_delay = if attempt.payload.non_idempotent {
            self.last_byte_delay
        } else {
            Duration::ZERO
        };
        let head = match attempt.payload.protocol_data.downcast_ref::<Parts>() {
            Some(head) => Some(Cow::Borrowed(head)),
            None => self.template.head(attempt).map(Cow::Owned),
        };
        let Some(head) = head else {
            return (result, None);
        };
        let Ok(request) = forwarded_request(
            address,
            &head,
            &attempt.payload.body,
            remaining,
            last_byte_delay,
        ) else {
            return (result, None);
        };
        let gate = WriteGate {
            reservation: attempt.reservation.clone(),
            withdrawn: attempt.withdrawn.clone(),
        };
        let response = match self
            .send(address, request, gate, attempt.payload.non_idempotent)
            .await
        {
            Ok(response) => response,
            Err(outcome) => return (AttemptResult { outcome, ..result }, None),
        };
        if let Some(load) = response.headers().get("server-load") {
            result.report = self.report(load.as_bytes());
        }
        let refusal_outcome = refusal(response.status(), response.headers());
        let mut lines = LineReader::new(response.into_body(), self.max_worker_line_bytes);
        if let Some(outcome) = refusal_outcome {
            return (AttemptResult { outcome, ..result }, Some(lines));
        }
        let request_id = head
            .headers
            .get("request-id")
            .map(HeaderValue::as_bytes)
            .unwrap_or_default();
        // Without a final state, or with an invalid line or another request's line, the attempt may have run.
        while let Ok(Some(line)) = lines.next().await {
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            let Ok(response_line) = serde_json::from_slice::<ResponseLine>(&line) else {
                break;
            };
            if response_line.id.as_bytes() != request_id {
                break;
            }
            result.outcome = match &*response_line.state {
                "started" => {
                    self.event_sender
                        .send(Event::Started(attempt.attempt_id))
                        .ok();
                    continue;
                }
                "done" => Outcome::Completed,
                "failed" => Outcome::Error,
                "returned" => Outcome::Full,
                "lost" => Outcome::Dropped,
                _ => continue,
            };
            result.report = response_line
                .load
                .map_or(result.report, |load| self.report(load.get().as_bytes()));
            result.result = response_line
                .result
                .map(|raw| json_text(&line, raw))
                .unwrap_or_default();
            return (result, Some(lines));
        }
        (
            AttemptResult {
                outcome: Outcome::Dropped,
                ..result
            },
            None,
        )
    }

    /// Sends a request on a connection of its own, and waits for the response head.
    async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<DelayedLastByte>,
        gate: WriteGate,
        non_idempotent: bool,
    ) -> Result<Response<Incoming>, Outcome> {
        let min_length = min_written_length(&request);
        let connection = capture_connection(&mut request);
        let started_at = Instant::now();
        let fastest_start = self.fastest_start.lock().get(&address).copied();
        // A connection to a worker of unknown speed is pooled. Non-idempotent requests never reuse one: refusals carry
        // no request id, so that a late refusal of the previous request would wrongly prove that this one never ran
        // (rule 2).
        let use_pool = !non_idempotent
            && fastest_start.is_none_or(|fastest| fastest > self.reuse_threshold)
            && !self.reuse_disabled.load(Relaxed);
        let mut sending = pin!(
            if use_pool {
                &self.pooled_client
            } else {
                &self.fresh_client
            }
            .request(request)
        );
        let mut used: Option<(WriteProgress, u64)> = None;
        let mut withdrawn = pin!(gate.withdrawn.cancelled());
        // The connection is known in the same poll in which the client picks it, before the connection's task writes,
        // as all tasks share one thread: so the count at that time is that of earlier requests.
        let sent = poll_fn(|context| {
            let polled = sending.as_mut().poll(context);
            if used.is_none() {
                used = connection
                    .connection_metadata()
                    .as_ref()
                    .and_then(|metadata| {
                        let mut extras = axum::http::Extensions::new();
                        metadata.get_extras(&mut extras);
                        let written: WriteProgress = extras.remove()?;
                        let written_before = written.total();
                        written.expect(min_length, gate.clone());
                        Some((written, written_before))
                    });
            }
            // A withdrawn request ends here unless it is completely written; the gate blocks the rest.
            let is_written = |(written, written_before): &(WriteProgress, u64)| {
                written.total() - written_before >= min_length
            };
            if polled.is_pending() && !used.as_ref().is_some_and(is_written) {
                return withdrawn.as_mut().poll(context).map(|()| None);
            }
            polled.map(Some)
        });
        let Some(sent) = sent.await else {
            return Err(Outcome::Full);
        };
        let error = match sent {
            Ok(response) => {
                if used.is_some_and(|(_, written_before)| written_before == 0) {
                    let elapsed = started_at.elapsed();
                    self.fastest_start
                        .lock()
                        .entry(address)
                        .and_modify(|fastest| *fastest = elapsed.min(*fastest))
                        .or_insert(elapsed);
                }
                return Ok(response);
            }
            Err(error) => error,
        };
        debug!(self.log, "no response to an allocation"; "why" => error_chain(&error));
        if was_never_sent(&error) {
            return Err(Outcome::Moot);
        }
        // The withdrawal may show first as an error of the connection, which is not at fault.
        let is_written = used.as_ref().is_some_and(|(written, written_before)| {
            written.total() - written_before >= min_length
        });
        if gate.withdrawn.is_cancelled() && !is_written {
            return Err(Outcome::Full);
        }
        if used
            .as_ref()
            .is_some_and(|(_, written_before)| *written_before > 0)
            && !self.reuse_disabled.swap(true, Relaxed)
        {
            info!(self.log, "a reused connection broke during an allocation: connections are not reused from now on"; "worker" => %address);
        }
        Err(if is_written {
            Outcome::Dropped
        } else {
            Outcome::NoConnection
        })
    }

    /// Requests the load report of a worker.
    pub async fn probe(&self, worker: u64, address: SocketAddr) {
        let call = async {
            let response = self
                .pooled_client
                .get(format!("http://{address}/load").parse().ok()?)
                .await
                .ok()?;
            let is_ok = response.status() == StatusCode::OK;
            let body = Limited::new(response.into_body(), self.max_worker_line_bytes)
                .collect()
                .await
                .ok()?
                .to_bytes();
            is_ok.then(|| self.report(&body))
        };
        if let Ok(Some(report)) = timeout(self.probe_timeout, call).await {
            self.event_sender
                .send(Event::LoadReported(worker, report))
                .ok();
        }
    }

    fn report(&self, json: &[u8]) -> LoadReport {
        let fields: Option<serde_json::Map<String, serde_json::Value>> =
            serde_json::from_slice(json).ok();
        let free_slots = fields.and_then(|fields| fields.get(self.free_slots?)?.as_f64());
        LoadReport { free_slots }
    }
}

/// Whether the request was never sent, for a reason that is not the worker's fault.
fn was_never_sent(error: &(dyn Error + 'static)) -> bool {
    let inner = error
        .downcast_ref::<io::Error>()
        .and_then(io::Error::get_ref);
    error.is::<NoDescriptor>()
        || inner.is_some_and(|e| e.is::<BudgetExhausted>())
        || error.source().is_some_and(was_never_sent)
}

/// The client's request as forwarded: unchanged except for hop-by-hop headers and the remaining time.
fn forwarded_request(
    address: SocketAddr,
    head: &Parts,
    body: &Bytes,
    remaining_s: f64,
    last_byte_delay: Duration,
) -> Result<Request<DelayedLastByte>, axum::http::Error> {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut request = Request::builder()
        .method(&head.method)
        .uri(format!("http://{address}{path}"));
    if let Some(headers) = request.headers_mut() {
        headers.extend(head.headers.clone());
        for name in [&CONNECTION, &CONTENT_LENGTH, &HOST, &TRANSFER_ENCODING] {
            headers.remove(name);
        }
        for name in ["keep-alive", "te", "trailer", "upgrade", "expect"] {
            headers.remove(name);
        }
    }
    let request = request
        .header(CONTENT_LENGTH, body.len())
        .header(HOST, address.to_string());
    let mut request = request.body(DelayedLastByte::new(body.clone(), last_byte_delay))?;
    let remaining = format!("{}u", (remaining_s.max(0.0) * 1e6) as u64);
    request
        .headers_mut()
        .insert("request-timeout", remaining.parse()?);
    Ok(request)
}

/// A lower bound on the bytes written of a request once its last byte is written.
fn min_written_length(request: &Request<DelayedLastByte>) -> u64 {
    let path = request
        .uri()
        .path_and_query()
        .map_or(1, |path| path.as_str().len());
    let line = request.method().as_str().len() + path + "  HTTP/1.1\r\n\r\n".len();
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, v)| name.as_str().len() + v.len() + 4)
        .sum();
    (line + headers) as u64 + request.body().remaining()
}

/// The outcome of a response without a stream. Only a `not-started` header proves that the attempt did not run.
fn refusal(status: StatusCode, headers: &HeaderMap) -> Option<Outcome> {
    let not_started = headers
        .get("not-started")
        .is_some_and(|v| v.as_bytes() == b"1");
    match status {
        StatusCode::OK => None,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_started => {
            Some(Outcome::Full)
        }
        _ => Some(Outcome::Error),
    }
}

/// The content of a JSON string, without copying unless it has escapes; for any other value its JSON.
fn json_text(line: &Bytes, raw: &RawValue) -> Bytes {
    #[derive(Deserialize)]
    struct JsonText<'a>(#[serde(borrow)] Cow<'a, str>);
    match serde_json::from_str::<JsonText>(raw.get()) {
        Ok(JsonText(Cow::Borrowed(text))) => line.slice_ref(text.as_bytes()),
        Ok(JsonText(Cow::Owned(text))) => text.into(),
        Err(_) => line.slice_ref(raw.get().as_bytes()),
    }
}
