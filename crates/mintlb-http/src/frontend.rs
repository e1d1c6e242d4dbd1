//! The sockets towards clients: axum's router on hyper's connections.
//!
//! A handler hands its work unit to the reducer and waits for the one answer. If its client leaves, the
//! handler is dropped, and the reducer is told. A client that sends what can't be taken gets an error, and one
//! that sends no whole request in time is closed; either loses its connection, and none of it goes anywhere.

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

/// So many bytes behind a request are passed over at once.
const PASSED_OVER: usize = 4 << 10;

/// What the front must know of a project type.
struct Entry {
    number: usize,
    hard_limit: f64,
    receipted: bool,
    non_idempotent: bool,
    ends: Arc<AnswerCounts>,
}

pub struct Frontend {
    project_types: Mutex<HashMap<String, Arc<Entry>>>,
    customers: Vec<String>,
    limits: HttpLimits,
    clock: Clock,
    tell: UnboundedSender<Event>,
    log: Logger,
    numbers: WorkUnitIds,
    capacity: Capacity,
    places: Arc<ConnectionSlots>,
    /// Whether clients are to come here, and to stay.
    lifecycle: Arc<Mutex<Lifecycle>>,
    /// Requests that were not taken and connections closed to make room, since the last line of counts.
    not_taken: AtomicU64,
    closed: AtomicU64,
}

/// Tells the reducer that the client has left, if it is dropped before the answer has come.
struct Waiting<'a> {
    id: u64,
    tell: Option<&'a UnboundedSender<Event>>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(tell) = self.tell {
            tell.send(Event::ClientLeft(self.id)).ok();
        }
    }
}

/// Why a request is not taken; none of it has gone anywhere.
type Unfit = (StatusCode, String);

impl Frontend {
    pub fn new(
        customers: Vec<String>,
        limits: HttpLimits,
        shared: (WorkUnitIds, Capacity, Clock, Arc<Mutex<Lifecycle>>),
        tell: UnboundedSender<Event>,
        log: Logger,
    ) -> Arc<Frontend> {
        let (numbers, capacity, clock, lifecycle) = shared;
        Arc::new(Frontend {
            project_types: Mutex::default(),
            customers,
            clock,
            tell,
            log,
            numbers,
            capacity,
            places: ConnectionSlots::new(limits.max_client_connections, limits.read_timeout / 20),
            lifecycle,
            not_taken: AtomicU64::new(0),
            closed: AtomicU64::new(0),
            limits,
        })
    }

    /// From now on work of these project types is taken, and of no others.
    pub fn set_project_types(&self, types: &[NamedProjectType], metrics: &Metrics) {
        let entry = |named: &NamedProjectType| Entry {
            number: named.number,
            hard_limit: named.project_type.hard_limit,
            receipted: matches!(
                named.project_type.idempotency,
                Idempotency::Deduplicated { .. }
            ),
            non_idempotent: named.project_type.idempotency != Idempotency::Idempotent,
            ends: metrics.answer_counts(&named.name),
        };
        *self.project_types.lock() = types
            .iter()
            .map(|named| (named.name.clone(), Arc::new(entry(named))))
            .collect();
    }

    pub async fn listen(self: Arc<Frontend>, listener: TcpListener) {
        let router = Router::new()
            .route("/healthz", get(healthz))
            .fallback(hand_in)
            .with_state(self.clone());
        let mut failing = false;
        for number in 0.. {
            self.closed
                .fetch_add(self.places.wait_for_slot().await, Relaxed);
            let accepted = listener.accept().await;
            if let Err(e) = &accepted {
                // Most often there is no descriptor left: who is missed least makes room. A flood fails often,
                // and must not fill the log.
                if !failing {
                    warn!(self.log, "a connection could not be accepted"; "why" => %e);
                }
                self.evict_one();
                sleep(self.limits.dial_timeout / 16).await;
            }
            failing = accepted.is_err();
            if let Ok((stream, _)) = accepted {
                let place = self.places.acquire(number);
                tokio::spawn(self.clone().connection(stream, router.clone(), place));
            }
        }
    }

    /// Idle connections close. New ones are still answered, so this is to be said again and again.
    pub fn close_idle(&self) {
        self.places.close_idle();
    }

    /// The connection that is missed least closes, if there is one that may; whether there is.
    pub fn evict_one(&self) -> bool {
        self.places.evict_one()
    }

    /// Whether each answer is to end its connection.
    fn closes_after_answer(&self) -> bool {
        self.lifecycle.lock().closes_after_answer(self.clock.now())
    }

    /// How many connections clients have.
    pub fn connections(&self) -> usize {
        self.places.in_use()
    }

    /// One line of counts, where there is something to count.
    pub fn log_counts(&self) {
        let (not_taken, closed) = (
            self.not_taken.swap(0, Relaxed),
            self.closed.swap(0, Relaxed),
        );
        if not_taken + closed > 0 {
            info!(self.log, "clients"; "closed to make room" => closed, "requests not taken" => not_taken,
                "connected" => self.connections());
        }
    }

    async fn connection(
        self: Arc<Frontend>,
        stream: TcpStream,
        router: Router,
        place: ConnectionSlot,
    ) {
        stream.set_nodelay(true).ok();
        let (sniffer, read_timeout, socket) = (
            place.sniffer.clone(),
            self.limits.read_timeout,
            Arc::new(stream),
        );
        let looking = sniffer.clone();
        let stream = InspectReader::new(SharedSocket(socket.clone()), move |bytes: &[u8]| {
            looking.observe(bytes)
        });
        let service = service_fn(|mut request: Request<Incoming>| {
            request.extensions_mut().insert(sniffer.clone());
            router.clone().call(request)
        });
        let mut served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(self.limits.max_head_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let (mut close_requested, mut alarm) = (
            pin!(place.sniffer.close_requested()),
            pin!(sleep(read_timeout)),
        );
        let ended = poll_fn(|cx| {
            if let Poll::Ready(ended) = Pin::new(&mut served).poll(cx) {
                return Poll::Ready(Some(ended));
            }
            while close_requested.as_mut().poll(cx).is_ready() {
                if place.may_close() && !has_come(socket.as_raw_fd()) {
                    return Poll::Ready(None);
                }
                close_requested.set(place.sniffer.close_requested());
            }
            let since = match place.sniffer.phase() {
                Phase::Receiving(since) => since,
                // While bytes behind the request lie unread, the library looks no further, and would not see
                // its client leave.
                Phase::InFlight => return poll_left(&socket, &place.sniffer, cx).map(|()| None),
                Phase::Idle(_) => return Poll::Pending,
            };
            // What is left of a body gets an error first.
            let due = since + read_timeout + read_timeout / 16;
            if alarm.deadline() != due {
                alarm.as_mut().reset(due);
            }
            alarm.as_mut().poll(cx).map(|()| None)
        });
        let Some(ended) = ended.await else { return };
        if let Err(e) = ended {
            debug!(self.log, "a client's connection broke"; "why" => error_chain(&e));
        }
        // Closed with bytes unread, it would be reset, and the answer lost on its way.
        let mut stream = served.into_parts().io.into_inner().into_inner();
        let mut unread = vec![0; self.limits.max_head_bytes];
        let rest = async { while stream.read(&mut unread).await.is_ok_and(|n| n > 0) {} };
        tokio::select! { _ = timeout(read_timeout, rest) => (), () = close_requested => () }
    }

    /// Reads what the decisions need out of a request; all else stays as it came.
    async fn take(
        &self,
        request: Request,
        sniffer: &RequestSniffer,
    ) -> Result<(Submission, Arc<AnswerCounts>, oneshot::Receiver<Answer>), Unfit> {
        let (head, body) = request.into_parts();
        let unfit = |status, why: &str| (status, why.to_string());
        if let Some(why) = sniffer.fault() {
            return Err(unfit(StatusCode::BAD_REQUEST, why));
        }
        if head.method != Method::POST {
            return Err(unfit(
                StatusCode::METHOD_NOT_ALLOWED,
                "work units come by POST",
            ));
        }
        // Workers close on what they can't read.
        if !head
            .uri
            .path_and_query()
            .is_some_and(|p| p.as_str().bytes().all(|b| b.is_ascii_graphic()))
        {
            return Err(unfit(StatusCode::BAD_REQUEST, "the path is no text"));
        }
        let name = head.uri.path().split('/').nth(1).unwrap_or_default();
        let entry = || {
            let none = || unfit(StatusCode::NOT_FOUND, "there is no such project type");
            self.project_types
                .lock()
                .get(name)
                .cloned()
                .ok_or_else(none)
        };
        entry()?;
        if one(&head, "request-id").is_none() {
            return Err(unfit(StatusCode::BAD_REQUEST, "one Request-Id is needed"));
        }
        let customer =
            text(&head, "tenant").and_then(|t| self.customers.iter().position(|c| c == t));
        let slots = info(&head, "slots").unwrap_or(1.0);
        let body = self.body(body, sniffer).await?;
        // Its time counts from its last byte: one that came slowly is not late for that.
        let arrived_at = self.clock.now();
        // While the body came, the project type may have changed: what holds is what holds when the work is taken.
        let entry = entry()?;
        if entry.receipted && one(&head, "idempotency-key").is_none() {
            return Err(unfit(
                StatusCode::BAD_REQUEST,
                "one Idempotency-Key is needed",
            ));
        }
        let time_budget = match text(&head, "request-timeout") {
            None => entry.hard_limit,
            // Nobody waits longer than the hard limit, whatever is asked for: each wait has a bound.
            Some(value) => length(value)
                .ok_or_else(|| {
                    (
                        StatusCode::BAD_REQUEST,
                        format!("Request-Timeout {value:?} is no time"),
                    )
                })?
                .min(entry.hard_limit),
        };
        let (answer, receiver) = oneshot::channel();
        let (id, project_type) = (self.numbers.next(), entry.number);
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
        let arrival = Submission {
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
        Ok((arrival, entry.ends.clone(), receiver))
    }

    /// The whole body, if it comes in time and is as long as was said.
    async fn body(&self, body: Body, sniffer: &RequestSniffer) -> Result<Bytes, Unfit> {
        let large = (
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("a body of over {} bytes", self.limits.max_body_bytes),
        );
        if body.size_hint().lower() > self.limits.max_body_bytes as u64 {
            return Err(large);
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
                    true => large,
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
        // What may be held at once is bounded; a body whose length is not told may be as long as allowed.
        let most = request
            .body()
            .size_hint()
            .upper()
            .unwrap_or(u64::MAX)
            .min(self.limits.max_body_bytes as u64);
        let room = self.capacity.reserve_body(most as usize);
        let (arrival, ends, receiver) = match self.take(request, sniffer).await {
            Ok(taken) => taken,
            Err((status, why)) => {
                self.not_taken.fetch_add(1, Relaxed);
                debug!(self.log, "a request was not taken"; "status" => status.as_u16(), "why" => &why);
                return (status, why).into_response();
            }
        };
        sniffer.request_accepted();
        let (Some(_room), Some(_open)) = (room, self.capacity.reserve_work_unit()) else {
            ends.deferred.fetch_add(1, Relaxed);
            return deferred(self.limits.retry_after_s);
        };
        let mut waiting = Waiting {
            id: arrival.id,
            tell: Some(&self.tell),
        };
        if self.tell.send(Event::Submitted(arrival)).is_err() {
            return deferred(self.limits.retry_after_s);
        }
        let answer = receiver.await;
        waiting.tell = None;
        match answer {
            Ok(Answer::Completed(result)) => Body::from(result).into_response(),
            Ok(Answer::Deferred(retry_after_s)) => deferred(retry_after_s),
            Ok(Answer::Duplicate) => {
                self.not_taken.fetch_add(1, Relaxed);
                (StatusCode::CONFLICT, "this Request-Id has been here").into_response()
            }
            // It may have run: never a status that says that trying again is harmless.
            Ok(Answer::Aborted) | Err(_) => StatusCode::BAD_GATEWAY.into_response(),
        }
    }
}

fn deferred(retry_after_s: f64) -> Response {
    let mut answer = StatusCode::SERVICE_UNAVAILABLE.into_response();
    if let Some(after) = Some(retry_after_s)
        .filter(|&s| s > 0.0)
        .and_then(|s| format!("{s:.3}").parse().ok())
    {
        answer.headers_mut().insert(RETRY_AFTER, after);
    }
    answer
}

/// Passes over what its client still sends, none of which is of its request, until it leaves.
fn poll_left(socket: &TcpStream, sniffer: &RequestSniffer, cx: &mut Context) -> Poll<()> {
    let mut behind = [0; PASSED_OVER];
    loop {
        match ready!(socket.poll_read_ready(cx)).and_then(|()| socket.try_read(&mut behind)) {
            Ok(n) if n > 0 => sniffer.observe(&behind[..n]),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Ok(_) | Err(_) => return Poll::Ready(()),
        }
    }
}

/// Whether bytes wait to be read there, also such as we have not been told of.
fn has_come(socket: RawFd) -> bool {
    let look = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    recv(socket, &mut [0], look).is_ok_and(|bytes| bytes > 0)
}

/// Who asks for this has no work to bring, and needs no place for longer.
async fn healthz(State(frontend): State<Arc<Frontend>>) -> impl IntoResponse {
    let ready = frontend.lifecycle.lock().is_ready();
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    (status, [(CONNECTION, "close")])
}

async fn hand_in(
    State(frontend): State<Arc<Frontend>>,
    Extension(sniffer): Extension<Arc<RequestSniffer>>,
    request: Request,
) -> Response {
    let mut answer = frontend.answer(request, &sniffer).await;
    let goes_on = sniffer.request_answered() && !answer.status().is_client_error();
    if frontend.closes_after_answer() || !goes_on {
        answer
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

fn text<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok().map(str::trim)
}

/// A header that must be there once, and say something.
fn one<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    let single = head.headers.get_all(name).iter().count() == 1;
    text(head, name).filter(|value| single && !value.is_empty())
}

/// A figure out of `Request-Info: name=value,name=value`.
fn info(head: &Parts, wanted: &str) -> Option<f64> {
    let pairs = text(head, "request-info")?
        .split(',')
        .filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(name, _)| name.trim() == wanted)
        .find_map(|(_, value)| value.trim().parse().ok())
}

/// A length of time, a number and its unit, in seconds.
fn length(value: &str) -> Option<f64> {
    let (number, unit) = value.split_at_checked(value.len().checked_sub(1)?)?;
    let number: f64 = number.trim().parse().ok()?;
    let seconds = match unit {
        "m" => number / 1e3,
        "u" => number / 1e6,
        _ => return None,
    };
    (seconds >= 0.0 && seconds < Duration::MAX.as_secs_f64()).then_some(seconds)
}
