//! The client side towards workers: one allocation a call, its outcome told once.
//!
//! What never ran must be proven (rule 2). Error kinds of a library don't prove it, so each connection counts
//! the bytes that the system took of it: an allocation whose last byte was never written never ran.
//!
//! A kept connection may have died, or be closing, and what is written to it may have run. So each allocation
//! dials, unless a new connection to that worker has been seen to be dear and kept ones to have lasted.

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
use mintlb_core::work::{AllocationRequest, AllocationResult, CancelHandle, Endpoint};
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

/// What dials the workers, shared by the allocations.
#[derive(Clone)]
pub struct WorkerClient {
    dialling: Client<Dialer, DelayedLastByte>,
    keeping: Client<Dialer, DelayedLastByte>,
    /// The quickest that a worker took an allocation on a new connection, its handshake and way included, and
    /// from where on that is dear.
    quickest: Arc<Mutex<HashMap<SocketAddr, Duration>>>,
    reuse_threshold: Duration,
    /// A kept connection has died under an allocation: none is kept any more.
    died: Arc<AtomicBool>,
    /// A connection that lasts so long under a request is sound.
    last_byte_delay: Duration,
    clock: Clock,
    tell: UnboundedSender<Event>,
    log: Logger,
    /// The longest line of an answer.
    max_worker_line_bytes: usize,
    dial_timeout: Duration,
    probe_timeout: Duration,
    /// The report's field for free slots, where reports have one.
    free_slots: Option<&'static str>,
    /// How work is worded that came by another protocol.
    worded: Arc<RequestTemplate>,
}

/// What HTTP needs to word work that was not handed in by HTTP: a name for it that no other scheduler gives,
/// and the names of project types and customers, by their numbers.
#[derive(Debug, Default)]
pub struct RequestTemplate {
    pub scheduler_name: String,
    pub project_types: Vec<String>,
    pub customers: Vec<String>,
}

impl RequestTemplate {
    fn head(&self, order: &AllocationRequest) -> Option<Parts> {
        let id = format!("{}-{}", self.scheduler_name, order.allocation_id.0);
        let request = Request::post(format!("/{}", self.project_types.get(order.project_type)?));
        let request = request
            .header("request-id", &id)
            .header("idempotency-key", &id);
        let customer = order
            .customer
            .and_then(|customer| self.customers.get(customer));
        let request = match customer {
            Some(customer) => request.header("tenant", customer),
            None => request,
        };
        request.body(()).ok().map(|request| request.into_parts().0)
    }
}

/// The way to a worker that listens at an address.
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
    fn send(&self, order: AllocationRequest) -> Box<dyn CancelHandle> {
        let (client, address) = (self.client.clone(), self.address);
        Box::new(Out(tokio::spawn(async move {
            client.allocate(&order, address).await
        })
        .abort_handle()))
    }
    fn probe(&self, worker: u64) {
        let (client, address) = (self.client.clone(), self.address);
        tokio::spawn(async move { client.probe(worker, address).await });
    }
}

/// Closing its connection is the protocol's only way to call an allocation off.
struct Out(AbortHandle);

impl CancelHandle for Out {
    fn cancel(self: Box<Self>) {
        self.0.abort();
    }
}

/// A line of a worker's answer.
#[derive(Deserialize)]
struct Said<'a> {
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
    pub fn new(
        limits: &HttpLimits,
        clock: Clock,
        tell: UnboundedSender<Event>,
        fields: &[&str],
        worded: RequestTemplate,
        sent_allocations: Arc<AtomicU64>,
        log: Logger,
    ) -> WorkerClient {
        let dialer = Dialer::new(
            limits.max_worker_connections,
            limits.dial_timeout,
            sent_allocations,
        );
        let client = |idle| {
            Client::builder(TokioExecutor::new())
                // The library must never send again by itself: that would be a second allocation (rule 2).
                .retry_canceled_requests(false)
                // A worker closes what stands idle; a request that crosses that may have run.
                .pool_idle_timeout(limits.idle_timeout)
                .pool_timer(TokioTimer::new())
                .pool_max_idle_per_host(idle)
                .http1_max_buf_size(limits.max_head_bytes)
                .build(dialer.clone())
        };
        let (dialling, keeping) = (client(0), client(limits.max_idle_per_worker));
        let (quickest, died) = Default::default();
        let free_slots = fields.contains(&"x0").then_some("x0");
        let HttpLimits {
            max_worker_line_bytes,
            dial_timeout,
            probe_timeout,
            reuse_threshold,
            last_byte_delay,
            ..
        } = *limits;
        let worded = Arc::new(worded);
        WorkerClient {
            dialling,
            keeping,
            quickest,
            reuse_threshold,
            died,
            last_byte_delay,
            clock,
            tell,
            log,
            max_worker_line_bytes,
            dial_timeout,
            probe_timeout,
            free_slots,
            worded,
        }
    }

    /// One allocation, from its first byte to its outcome. Dropped, it closes its connection.
    pub async fn allocate(&self, order: &AllocationRequest, to: SocketAddr) {
        let end = self.clock.instant(order.deadline);
        let run = timeout_at(end, self.run(order, to)).await;
        let (back, rest) = run.unwrap_or_else(|_| {
            (
                AllocationResult::from_outcome(order.allocation_id, Outcome::TimedOut),
                None,
            )
        });
        if back.outcome != Outcome::Completed {
            debug!(self.log, "an allocation came back undone"; "worker" => %to, "outcome" => ?back.outcome);
        }
        self.tell.send(Event::Finished(back)).ok();
        if let Some(rest) = rest {
            timeout(self.dial_timeout, rest.drain()).await.ok();
        }
    }

    /// What came back, and what of the answer is still to be read.
    async fn run(
        &self,
        order: &AllocationRequest,
        to: SocketAddr,
    ) -> (AllocationResult, Option<LineReader>) {
        let mut back = AllocationResult::from_outcome(order.allocation_id, Outcome::Moot);
        let remaining = order.deadline - self.clock.now();
        let wait = if order.payload.non_idempotent {
            self.last_byte_delay
        } else {
            Duration::ZERO
        };
        let worded = match order.payload.protocol_data.downcast_ref::<Parts>() {
            Some(head) => Some(Cow::Borrowed(head)),
            None => self.worded.head(order).map(Cow::Owned),
        };
        let Some(head) = worded else {
            return (back, None);
        };
        let Ok(request) = onward(to, &head, &order.payload.body, remaining, wait) else {
            return (back, None);
        };
        let gate = WriteGate {
            reservation: order.reservation.clone(),
            withdrawn: order.withdrawn.clone(),
        };
        let answer = match self
            .send(to, request, gate, order.payload.non_idempotent)
            .await
        {
            Ok(answer) => answer,
            Err(outcome) => return (AllocationResult { outcome, ..back }, None),
        };
        if let Some(load) = answer.headers().get("server-load") {
            back.report = self.report(load.as_bytes());
        }
        let refused = refusal(answer.status(), answer.headers());
        let mut lines = LineReader::new(answer.into_body(), self.max_worker_line_bytes);
        if let Some(outcome) = refused {
            return (AllocationResult { outcome, ..back }, Some(lines));
        }
        let id = head
            .headers
            .get("request-id")
            .map(HeaderValue::as_bytes)
            .unwrap_or_default();
        // An end without a last word, a broken line, another's line: it may have run.
        while let Ok(Some(line)) = lines.next().await {
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            let Ok(said) = serde_json::from_slice::<Said>(&line) else {
                break;
            };
            if said.id.as_bytes() != id {
                break;
            }
            back.outcome = match &*said.state {
                "started" => {
                    self.tell.send(Event::Started(order.allocation_id)).ok();
                    continue;
                }
                "done" => Outcome::Completed,
                "failed" => Outcome::Error,
                "returned" => Outcome::Full,
                "lost" => Outcome::Dropped,
                _ => continue,
            };
            back.report = said
                .load
                .map_or(back.report, |load| self.report(load.get().as_bytes()));
            back.result = said
                .result
                .map(|raw| text_of(&line, raw))
                .unwrap_or_default();
            return (back, Some(lines));
        }
        (
            AllocationResult {
                outcome: Outcome::Dropped,
                ..back
            },
            None,
        )
    }

    /// Sends a request on a connection that is its alone meanwhile, up to the answer's head.
    async fn send(
        &self,
        to: SocketAddr,
        mut request: Request<DelayedLastByte>,
        gate: WriteGate,
        non_idempotent: bool,
    ) -> Result<Response<Incoming>, Outcome> {
        let length = least_length(&request);
        let captured = capture_connection(&mut request);
        let began = Instant::now();
        let quickest = self.quickest.lock().get(&to).copied();
        // Where it is not known yet, the first connection is there to be kept. But a refusal names no work: on a kept
        // connection one that comes late, of the work before, would prove of this that it never ran (rule 2).
        let keep = !non_idempotent
            && quickest.is_none_or(|q| q > self.reuse_threshold)
            && !self.died.load(Relaxed);
        let mut sending = pin!(if keep { &self.keeping } else { &self.dialling }.request(request));
        let mut on: Option<(WriteProgress, u64)> = None;
        let mut withdrawn = pin!(gate.withdrawn.cancelled());
        // The connection is known as soon as the client has picked it, in the same poll, and before its own
        // task writes, as all tasks share one thread: so the count then is that of earlier requests.
        let answer = poll_fn(|cx| {
            let polled = sending.as_mut().poll(cx);
            if on.is_none() {
                on = captured
                    .connection_metadata()
                    .as_ref()
                    .and_then(|connected| {
                        let mut extras = axum::http::Extensions::new();
                        connected.get_extras(&mut extras);
                        let written: WriteProgress = extras.remove()?;
                        let before = written.so_far();
                        written.expect(length, gate.clone());
                        Some((written, before))
                    });
            }
            // Its gate keeps the rest from being written; what is whole is waited for.
            let whole =
                |(written, before): &(WriteProgress, u64)| written.so_far() - before >= length;
            if polled.is_pending() && !on.as_ref().is_some_and(whole) {
                return withdrawn.as_mut().poll(cx).map(|()| None);
            }
            polled.map(Some)
        });
        let Some(answer) = answer.await else {
            return Err(Outcome::Full);
        };
        let error = match answer {
            Ok(answer) => {
                if on.is_some_and(|(_, before)| before == 0) {
                    let took = began.elapsed();
                    self.quickest
                        .lock()
                        .entry(to)
                        .and_modify(|q| *q = took.min(*q))
                        .or_insert(took);
                }
                return Ok(answer);
            }
            Err(error) => error,
        };
        debug!(self.log, "no answer to an allocation"; "why" => error_chain(&error));
        if short(&error) {
            return Err(Outcome::Moot);
        }
        // The gate may be heard of through the connection first: that is no fault of the connection or the worker.
        let whole = on
            .as_ref()
            .is_some_and(|(written, before)| written.so_far() - before >= length);
        if gate.withdrawn.is_cancelled() && !whole {
            return Err(Outcome::Full);
        }
        if on.as_ref().is_some_and(|(_, before)| *before > 0) && !self.died.swap(true, Relaxed) {
            info!(self.log, "a kept connection died under an allocation: from now on each dials"; "worker" => %to);
        }
        Err(if whole {
            Outcome::Dropped
        } else {
            Outcome::NoConnection
        })
    }

    /// Asks a worker for its load report.
    pub async fn probe(&self, worker: u64, to: SocketAddr) {
        let asked = async {
            let answer = self
                .keeping
                .get(format!("http://{to}/load").parse().ok()?)
                .await
                .ok()?;
            let good = answer.status() == StatusCode::OK;
            let body = Limited::new(answer.into_body(), self.max_worker_line_bytes)
                .collect()
                .await
                .ok()?
                .to_bytes();
            good.then(|| self.report(&body))
        };
        if let Ok(Some(report)) = timeout(self.probe_timeout, asked).await {
            self.tell.send(Event::LoadReported(worker, report)).ok();
        }
    }

    fn report(&self, json: &[u8]) -> LoadReport {
        let fields: Option<serde_json::Map<String, serde_json::Value>> =
            serde_json::from_slice(json).ok();
        let free_slots = fields.and_then(|f| f.get(self.free_slots?)?.as_f64());
        LoadReport { free_slots }
    }
}

/// It was never sent, and not for any fault of the worker's.
fn short(error: &(dyn Error + 'static)) -> bool {
    let unpaid = error
        .downcast_ref::<io::Error>()
        .and_then(io::Error::get_ref);
    error.is::<NoDescriptor>()
        || unpaid.is_some_and(|e| e.is::<BudgetExhausted>())
        || error.source().is_some_and(short)
}

/// The client's request as it goes on: all as it came, but for what belongs to the connection and the time.
fn onward(
    to: SocketAddr,
    head: &Parts,
    body: &Bytes,
    left: f64,
    wait: Duration,
) -> Result<Request<DelayedLastByte>, axum::http::Error> {
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let mut request = Request::builder()
        .method(&head.method)
        .uri(format!("http://{to}{path}"));
    if let Some(headers) = request.headers_mut() {
        headers.extend(head.headers.clone());
        for own in [&CONNECTION, &CONTENT_LENGTH, &HOST, &TRANSFER_ENCODING] {
            headers.remove(own);
        }
        for own in ["keep-alive", "te", "trailer", "upgrade", "expect"] {
            headers.remove(own);
        }
    }
    let request = request
        .header(CONTENT_LENGTH, body.len())
        .header(HOST, to.to_string());
    let mut request = request.body(DelayedLastByte::new(body.clone(), wait))?;
    let remaining = format!("{}u", (left.max(0.0) * 1e6) as u64);
    request
        .headers_mut()
        .insert("request-timeout", remaining.parse()?);
    Ok(request)
}

/// No less than this is written of a request once its last byte is.
fn least_length(request: &Request<DelayedLastByte>) -> u64 {
    let path = request
        .uri()
        .path_and_query()
        .map_or(1, |p| p.as_str().len());
    let line = request.method().as_str().len() + path + "  HTTP/1.1\r\n\r\n".len();
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, v)| name.as_str().len() + v.len() + 4)
        .sum();
    (line + headers) as u64 + request.body().remaining()
}

/// What an answer without a stream means. Only a marked one proves that nothing ran.
fn refusal(status: StatusCode, headers: &HeaderMap) -> Option<Outcome> {
    let unstarted = headers
        .get("not-started")
        .is_some_and(|v| v.as_bytes() == b"1");
    match status {
        StatusCode::OK => None,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unstarted => {
            Some(Outcome::Full)
        }
        _ => Some(Outcome::Error),
    }
}

/// A JSON text's content, as the bytes that came unless it has escapes; of any other value its JSON.
fn text_of(line: &Bytes, raw: &RawValue) -> Bytes {
    #[derive(Deserialize)]
    struct Text<'a>(#[serde(borrow)] Cow<'a, str>);
    match serde_json::from_str::<Text>(raw.get()) {
        Ok(Text(Cow::Borrowed(text))) => line.slice_ref(text.as_bytes()),
        Ok(Text(Cow::Owned(text))) => text.into(),
        Err(_) => line.slice_ref(raw.get().as_bytes()),
    }
}
