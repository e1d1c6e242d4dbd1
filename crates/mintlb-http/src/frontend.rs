//! The HTTP server for clients: axum's router on hyper's connections.
//!
//! A handler submits its work unit to the reducer and waits for the single answer. If the client disconnects, the
//! handler is dropped, which notifies the reducer. An invalid request gets an error response, and a client that sends
//! no complete request in time is disconnected; either closes the connection, and nothing of the request is forwarded.

use crate::connection_slots::{ConnectionSlot, ConnectionSlots};
use crate::error_chain::error_chain;
use crate::limits::HttpLimits;
use crate::sniffer::{Phase, RequestSniffer};
use crate::socket::SharedSocket;
use axum::body::{Body, to_bytes};
use axum::extract::{Request, State};
use axum::http::header::{CONNECTION, RETRY_AFTER};
use axum::http::request::Parts;
use axum::http::{HeaderValue, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Extension, Router};
use bytes::Bytes;
use http_body_util::LengthLimitError;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use mintlb_core::capacity::Capacity;
use mintlb_core::clock::Clock;
use mintlb_core::lifecycle::Lifecycle;
use mintlb_core::metrics::{AnswerCounts, Metrics};
use mintlb_core::project_types::NamedProjectType;
use mintlb_core::reducer::Event;
use mintlb_core::work::{Answer, Payload, Submission, WorkUnitIds};
use mintlb_scheduler::Idempotency;
use nix::sys::socket::{MsgFlags, recv};
use parking_lot::Mutex;
use slog::{Logger, debug, info, warn};
use std::collections::HashMap;
use std::error::Error;
use std::future::{Future, poll_fn};
use std::io::ErrorKind;
use std::os::fd::{AsRawFd, RawFd};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, timeout_at};
use tokio_util::io::InspectReader;
use tower_service::Service;

/// The buffer for bytes after a request, which are discarded.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// The properties of a project type that the frontend needs.
struct ProjectTypeEntry {
    number: usize,
    /// Seconds from the arrival of a request.
    hard_limit: f64,
    needs_idempotency_key: bool,
    non_idempotent: bool,
    answer_counts: Arc<AnswerCounts>,
}

/// The server for clients.
pub struct Frontend {
    project_types: Mutex<HashMap<String, Arc<ProjectTypeEntry>>>,
    customers: Vec<String>,
    limits: HttpLimits,
    clock: Clock,
    event_sender: UnboundedSender<Event>,
    log: Logger,
    work_unit_ids: WorkUnitIds,
    capacity: Capacity,
    slots: Arc<ConnectionSlots>,
    /// Whether clients are accepted, and their connections kept open.
    lifecycle: Arc<Mutex<Lifecycle>>,
    /// Requests rejected since the counts were last logged.
    rejected: AtomicU64,
    /// Connections evicted since the counts were last logged.
    evicted: AtomicU64,
}

/// Notifies the reducer that the client has disconnected, if dropped before the answer.
struct PendingAnswer<'a> {
    id: u64,
    event_sender: Option<&'a UnboundedSender<Event>>,
}

impl Drop for PendingAnswer<'_> {
    fn drop(&mut self) {
        if let Some(event_sender) = self.event_sender {
            event_sender.send(Event::ClientLeft(self.id)).ok();
        }
    }
}

/// The response to a request that is rejected. Nothing of it was forwarded.
type Rejection = (StatusCode, String);

impl Frontend {
    /// No project types are accepted yet.
    pub fn new(
        customers: Vec<String>,
        limits: HttpLimits,
        shared: (WorkUnitIds, Capacity, Clock, Arc<Mutex<Lifecycle>>),
        event_sender: UnboundedSender<Event>,
        log: Logger,
    ) -> Arc<Frontend> {
        let (work_unit_ids, capacity, clock, lifecycle) = shared;
        Arc::new(Frontend {
            project_types: Mutex::default(),
            customers,
            clock,
            event_sender,
            log,
            work_unit_ids,
            capacity,
            slots: ConnectionSlots::new(limits.max_client_connections, limits.read_timeout / 20),
            lifecycle,
            rejected: AtomicU64::new(0),
            evicted: AtomicU64::new(0),
            limits,
        })
    }

    /// Accepts work of these project types only, from now on.
    pub fn set_project_types(&self, types: &[NamedProjectType], metrics: &Metrics) {
        let entry = |named: &NamedProjectType| ProjectTypeEntry {
            number: named.number,
            hard_limit: named.project_type.hard_limit,
            needs_idempotency_key: matches!(
                named.project_type.idempotency,
                Idempotency::Deduplicated { .. }
            ),
            non_idempotent: named.project_type.idempotency != Idempotency::Idempotent,
            answer_counts: metrics.answer_counts(&named.name),
        };
        *self.project_types.lock() = types
            .iter()
            .map(|named| (named.name.clone(), Arc::new(entry(named))))
            .collect();
    }

    /// Accepts connections until the future is dropped.
    pub async fn listen(self: Arc<Frontend>, listener: TcpListener) {
        let router = Router::new()
            .route("/healthz", get(healthz))
            .fallback(submit)
            .with_state(self.clone());
        let mut failing = false;
        for connection_id in 0.. {
            self.evicted
                .fetch_add(self.slots.wait_for_slot().await, Relaxed);
            let accepted = listener.accept().await;
            if let Err(e) = &accepted {
                // Usually there are no descriptors left, so the least valuable connection is closed. Repeated failures
                // are logged once, as a flood of connections must not fill the log.
                if !failing {
                    warn!(self.log, "a connection could not be accepted"; "why" => %e);
                }
                self.evict_one();
                sleep(self.limits.dial_timeout / 16).await;
            }
            failing = accepted.is_err();
            if let Ok((stream, _)) = accepted {
                let slot = self.slots.acquire(connection_id);
                tokio::spawn(self.clone().connection(stream, router.clone(), slot));
            }
        }
    }

    /// Closes idle connections. New connections are still accepted, so this has to be called repeatedly.
    pub fn close_idle(&self) {
        self.slots.close_idle();
    }

    /// Closes the least valuable connection that may be closed; returns whether there is one.
    pub fn evict_one(&self) -> bool {
        self.slots.evict_one()
    }

    /// Whether connections are closed after their next response.
    fn closes_after_answer(&self) -> bool {
        self.lifecycle.lock().closes_after_answer(self.clock.now())
    }

    /// The number of client connections.
    pub fn connections(&self) -> usize {
        self.slots.in_use()
    }

    /// Logs the counts since the last call, unless all are zero.
    pub fn log_counts(&self) {
        let (rejected, evicted) = (
            self.rejected.swap(0, Relaxed),
            self.evicted.swap(0, Relaxed),
        );
        if rejected + evicted > 0 {
            info!(self.log, "clients"; "evicted" => evicted, "requests rejected" => rejected,
                "connected" => self.connections());
        }
    }

    async fn connection(
        self: Arc<Frontend>,
        stream: TcpStream,
        router: Router,
        slot: ConnectionSlot,
    ) {
        stream.set_nodelay(true).ok();
        let (sniffer, read_timeout, socket) = (
            slot.sniffer.clone(),
            self.limits.read_timeout,
            Arc::new(stream),
        );
        let observer = sniffer.clone();
        let stream = InspectReader::new(SharedSocket(socket.clone()), move |bytes: &[u8]| {
            observer.observe(bytes)
        });
        let service = service_fn(|mut request: Request<Incoming>| {
            request.extensions_mut().insert(sniffer.clone());
            router.clone().call(request)
        });
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(self.limits.max_head_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let (mut close_requested, mut read_timer) = (
            pin!(slot.sniffer.close_requested()),
            pin!(sleep(read_timeout)),
        );
        let outcome = poll_fn(|context| {
            if let Poll::Ready(outcome) = Pin::new(&mut connection).poll(context) {
                return Poll::Ready(Some(outcome));
            }
            while close_requested.as_mut().poll(context).is_ready() {
                if slot.may_close() && !has_unread_bytes(socket.as_raw_fd()) {
                    return Poll::Ready(None);
                }
                close_requested.set(slot.sniffer.close_requested());
            }
            let since = match slot.sniffer.phase() {
                Phase::Receiving(since) => since,
                // While bytes after the request are unread, hyper reads no further, and would not notice that the
                // client disconnects.
                Phase::InFlight => {
                    return poll_client_left(&socket, &slot.sniffer, context).map(|()| None);
                }
                Phase::Idle(_) => return Poll::Pending,
            };
            // Later than the time-out of the body, so that an incomplete body gets an error response first.
            let deadline = since + read_timeout + read_timeout / 16;
            if read_timer.deadline() != deadline {
                read_timer.as_mut().reset(deadline);
            }
            read_timer.as_mut().poll(context).map(|()| None)
        });
        let Some(outcome) = outcome.await else { return };
        if let Err(e) = outcome {
            debug!(self.log, "client connection failed"; "why" => error_chain(&e));
        }
        // Closing a socket with unread bytes would reset the connection, and the response could be lost.
        let mut stream = connection.into_parts().io.into_inner().into_inner();
        let mut unread = vec![0; self.limits.max_head_bytes];
        let discard = async { while stream.read(&mut unread).await.is_ok_and(|n| n > 0) {} };
        tokio::select! { _ = timeout(read_timeout, discard) => (), () = close_requested => () }
    }

    /// Reads and checks a request. Headers that the scheduler does not need are kept unchanged.
    async fn accept(
        &self,
        request: Request,
        sniffer: &RequestSniffer,
    ) -> Result<(Submission, Arc<AnswerCounts>, oneshot::Receiver<Answer>), Rejection> {
        let (head, body) = request.into_parts();
        let reject = |status, why: &str| (status, why.to_string());
        if let Some(why) = sniffer.fault() {
            return Err(reject(StatusCode::BAD_REQUEST, why));
        }
        if head.method != Method::POST {
            return Err(reject(
                StatusCode::METHOD_NOT_ALLOWED,
                "work units come by POST",
            ));
        }
        // Workers close the connection on paths that they can't parse.
        if !head
            .uri
            .path_and_query()
            .is_some_and(|p| p.as_str().bytes().all(|b| b.is_ascii_graphic()))
        {
            return Err(reject(StatusCode::BAD_REQUEST, "the path is no text"));
        }
        let name = head.uri.path().split('/').nth(1).unwrap_or_default();
        let entry = || {
            let unknown = || reject(StatusCode::NOT_FOUND, "there is no such project type");
            self.project_types
                .lock()
                .get(name)
                .cloned()
                .ok_or_else(unknown)
        };
        entry()?;
        if single_header(&head, "request-id").is_none() {
            return Err(reject(StatusCode::BAD_REQUEST, "one Request-Id is needed"));
        }
        let customer =
            header_text(&head, "tenant").and_then(|t| self.customers.iter().position(|c| c == t));
        let slots = request_info(&head, "slots").unwrap_or(1.0);
        let body = self.body(body, sniffer).await?;
        // The arrival time is that of the last byte: a slow transfer does not use up the time budget.
        let arrived_at = self.clock.now();
        // The project type may have changed while the body arrived: the current one applies.
        let entry = entry()?;
        if entry.needs_idempotency_key && single_header(&head, "idempotency-key").is_none() {
            return Err(reject(
                StatusCode::BAD_REQUEST,
                "one Idempotency-Key is needed",
            ));
        }
        let time_budget = match header_text(&head, "request-timeout") {
            None => entry.hard_limit,
            // The hard limit bounds every wait, whatever time-out the client requests.
            Some(value) => parse_duration(value)
                .ok_or_else(|| {
                    (
                        StatusCode::BAD_REQUEST,
                        format!("Request-Timeout {value:?} is no time"),
                    )
                })?
                .min(entry.hard_limit),
        };
        let (answer, receiver) = oneshot::channel();
        let (id, project_type) = (self.work_unit_ids.next(), entry.number);
        let client_request_id = head
            .headers
            .get("request-id")
            .map(|id| id.as_bytes().into());
        let payload = Payload {
            body,
            non_idempotent: entry.non_idempotent,
            protocol_data: Arc::new(head),
        };
        let responder = Box::new(answer);
        let submission = Submission {
            id,
            client_request_id,
            project_type,
            customer,
            slots,
            arrived_at,
            time_budget,
            payload,
            responder,
        };
        Ok((submission, entry.answer_counts.clone(), receiver))
    }

    /// Reads the complete body, within the limits on time and size.
    async fn body(&self, body: Body, sniffer: &RequestSniffer) -> Result<Bytes, Rejection> {
        let too_large = (
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("a body of over {} bytes", self.limits.max_body_bytes),
        );
        if body.size_hint().lower() > self.limits.max_body_bytes as u64 {
            return Err(too_large);
        }
        let Phase::Receiving(since) = sniffer.phase() else {
            return Err((
                StatusCode::BAD_REQUEST,
                "a request before the answer to the last".to_string(),
            ));
        };
        let body = timeout_at(
            since + self.limits.read_timeout,
            to_bytes(body, self.limits.max_body_bytes),
        )
        .await;
        let body = body.map_err(|_| {
            (
                StatusCode::REQUEST_TIMEOUT,
                "the body did not come".to_string(),
            )
        })?;
        let body =
            body.map_err(
                |e| match e.source().is_some_and(|e| e.is::<LengthLimitError>()) {
                    true => too_large,
                    false => (
                        StatusCode::BAD_REQUEST,
                        format!("the body: {}", error_chain(&e)),
                    ),
                },
            )?;
        match sniffer.fault() {
            Some(why) => Err((StatusCode::BAD_REQUEST, why.to_string())),
            None => Ok(body),
        }
    }

    async fn answer(&self, request: Request, sniffer: &RequestSniffer) -> Response {
        // The bytes held at once are limited; a body of unknown length counts with the largest allowed length.
        let max_bytes = request
            .body()
            .size_hint()
            .upper()
            .unwrap_or(u64::MAX)
            .min(self.limits.max_body_bytes as u64);
        let body_permit = self.capacity.reserve_body(max_bytes as usize);
        let (submission, answer_counts, receiver) = match self.accept(request, sniffer).await {
            Ok(accepted) => accepted,
            Err((status, why)) => {
                self.rejected.fetch_add(1, Relaxed);
                debug!(self.log, "request rejected"; "status" => status.as_u16(), "why" => &why);
                return (status, why).into_response();
            }
        };
        sniffer.request_accepted();
        let (Some(_body_permit), Some(_work_unit_permit)) =
            (body_permit, self.capacity.reserve_work_unit())
        else {
            answer_counts.deferred.fetch_add(1, Relaxed);
            return deferred(self.limits.retry_after_s);
        };
        let mut pending = PendingAnswer {
            id: submission.id,
            event_sender: Some(&self.event_sender),
        };
        if self
            .event_sender
            .send(Event::Submitted(submission))
            .is_err()
        {
            return deferred(self.limits.retry_after_s);
        }
        let answer = receiver.await;
        pending.event_sender = None;
        match answer {
            Ok(Answer::Completed(result)) => Body::from(result).into_response(),
            Ok(Answer::Deferred(retry_after_s)) => deferred(retry_after_s),
            Ok(Answer::Duplicate) => {
                self.rejected.fetch_add(1, Relaxed);
                (StatusCode::CONFLICT, "this Request-Id has been here").into_response()
            }
            // The work unit may have run, so that the status must not suggest a harmless retry.
            Ok(Answer::Aborted) | Err(_) => StatusCode::BAD_GATEWAY.into_response(),
        }
    }
}

fn deferred(retry_after_s: f64) -> Response {
    let mut response = StatusCode::SERVICE_UNAVAILABLE.into_response();
    if let Some(after) = Some(retry_after_s)
        .filter(|&seconds| seconds > 0.0)
        .and_then(|seconds| format!("{seconds:.3}").parse().ok())
    {
        response.headers_mut().insert(RETRY_AFTER, after);
    }
    response
}

/// Discards what the client sends after its request, until it disconnects.
fn poll_client_left(
    socket: &TcpStream,
    sniffer: &RequestSniffer,
    context: &mut Context,
) -> Poll<()> {
    let mut discarded = [0; DISCARD_BUFFER_BYTES];
    loop {
        match ready!(socket.poll_read_ready(context)).and_then(|()| socket.try_read(&mut discarded))
        {
            Ok(n) if n > 0 => sniffer.observe(&discarded[..n]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Ok(_) | Err(_) => return Poll::Ready(()),
        }
    }
}

/// Whether the socket has unread bytes, including bytes that have not been signalled as readable yet.
fn has_unread_bytes(socket: RawFd) -> bool {
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    recv(socket, &mut [0], flags).is_ok_and(|bytes| bytes > 0)
}

/// Closes the connection, as health checks bring no work and must not occupy a slot.
async fn healthz(State(frontend): State<Arc<Frontend>>) -> impl IntoResponse {
    let ready = frontend.lifecycle.lock().is_ready();
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    (status, [(CONNECTION, "close")])
}

async fn submit(
    State(frontend): State<Arc<Frontend>>,
    Extension(sniffer): Extension<Arc<RequestSniffer>>,
    request: Request,
) -> Response {
    let mut response = frontend.answer(request, &sniffer).await;
    let keep_alive = sniffer.request_answered() && !response.status().is_client_error();
    if frontend.closes_after_answer() || !keep_alive {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn header_text<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok().map(str::trim)
}

/// The value of a header that must be present once and not be empty.
fn single_header<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    let single = head.headers.get_all(name).iter().count() == 1;
    header_text(head, name).filter(|value| single && !value.is_empty())
}

/// A number from the header `Request-Info: name=value,name=value`.
fn request_info(head: &Parts, key: &str) -> Option<f64> {
    let pairs = header_text(head, "request-info")?
        .split(',')
        .filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(name, _)| name.trim() == key)
        .find_map(|(_, value)| value.trim().parse().ok())
}

/// Parses a duration, a number with the unit `m` (milliseconds) or `u` (microseconds), to seconds.
fn parse_duration(value: &str) -> Option<f64> {
    let (number, unit) = value.split_at_checked(value.len().checked_sub(1)?)?;
    let number: f64 = number.trim().parse().ok()?;
    let seconds = match unit {
        "m" => number / 1e3,
        "u" => number / 1e6,
        _ => return None,
    };
    (seconds >= 0.0 && seconds < Duration::MAX.as_secs_f64()).then_some(seconds)
}
