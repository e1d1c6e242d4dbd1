//! The sockets towards clients: axum's router on hyper's connections.
//!
//! A handler hands its work unit to the reducer and waits for the one answer. If its client leaves, the
//! handler is dropped, and the reducer is told.

use crate::clock::Clock;
use crate::limits::Limits;
use crate::log::causes;
use crate::reducer::{Answer, Arrival, Event, Handed};
use axum::Router;
use axum::body::{Body, to_bytes};
use axum::extract::{Request, State};
use axum::http::header::{CONNECTION, RETRY_AFTER};
use axum::http::request::Parts;
use axum::http::{HeaderValue, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use mintlb::{Effect, ProjectType};
use slog::{Logger, debug, warn};
use std::collections::HashMap;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// What the front must know of a project type.
struct Entry {
    number: usize,
    hard_limit: f64,
    receipted: bool,
}

pub struct Front {
    types: HashMap<String, Entry>,
    customers: Vec<String>,
    limits: Limits,
    clock: Clock,
    tell: UnboundedSender<Event>,
    log: Logger,
    next: AtomicU64,
    /// Work units that may still be taken, and connections.
    open: Semaphore,
    clients: Arc<Semaphore>,
    /// Each new number closes the connections that are idle, the others after their answers.
    tidy: watch::Sender<u64>,
    /// Told to stop: still serving, but not for long. Then closing: each answer ends its connection.
    stopping: AtomicBool,
    closing: AtomicBool,
}

/// Tells the reducer that the client has left, if it is dropped before the answer has come.
struct Waiting<'a> {
    id: u64,
    tell: Option<&'a UnboundedSender<Event>>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(tell) = self.tell {
            tell.send(Event::Left(self.id)).ok();
        }
    }
}

/// Why a request is not taken; none of it has gone anywhere.
type Unfit = (StatusCode, String);

impl Front {
    pub fn new(
        names: Vec<String>,
        types: &[ProjectType],
        customers: Vec<String>,
        limits: Limits,
        clock: Clock,
        tell: UnboundedSender<Event>,
        log: Logger,
    ) -> Arc<Front> {
        let entries = names.into_iter().zip(types).enumerate().map(|(number, (name, t))| {
            let receipted = matches!(t.effect, Effect::Receipted { .. });
            (name, Entry { number, hard_limit: t.hard_limit, receipted })
        });
        Arc::new(Front {
            types: entries.collect(),
            customers,
            clock,
            tell,
            log,
            next: AtomicU64::new(1),
            open: Semaphore::new(limits.open),
            clients: Arc::new(Semaphore::new(limits.clients)),
            tidy: watch::Sender::new(0),
            stopping: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            limits,
        })
    }

    pub async fn listen(self: Arc<Front>, listener: TcpListener) {
        let router = Router::new().route("/healthz", get(healthz)).fallback(hand_in).with_state(self.clone());
        loop {
            // With no connection to spare, idle ones make room.
            if self.clients.available_permits() == 0 {
                self.close_idle();
            }
            // Only this loop takes permits, so one that is free now is still free after the wait.
            drop(self.clients.acquire().await);
            match listener.accept().await {
                Ok((stream, _)) => {
                    let Ok(permit) = self.clients.clone().try_acquire_owned() else { continue };
                    tokio::spawn(self.clone().connection(stream, router.clone(), permit));
                }
                Err(e) => {
                    // Most often there is no descriptor left: those of idle connections make room.
                    warn!(self.log, "a connection could not be accepted"; "why" => %e);
                    self.close_idle();
                    sleep(self.limits.dial / 16).await;
                }
            }
        }
    }

    fn close_idle(&self) {
        self.tidy.send_modify(|n| *n += 1);
    }

    /// From now on nobody new should come; those who are here or come all the same are served on.
    pub fn stop(&self) {
        self.stopping.store(true, Relaxed);
    }

    /// From now on each answer ends its connection, and idle ones close; new ones are still answered.
    pub fn close(&self) {
        self.closing.store(true, Relaxed);
        self.close_idle();
    }

    /// How many connections clients have.
    pub fn connected(&self) -> usize {
        self.limits.clients - self.clients.available_permits()
    }

    async fn connection(self: Arc<Front>, stream: TcpStream, router: Router, _permit: OwnedSemaphorePermit) {
        stream.set_nodelay(true).ok();
        let mut tidy = self.tidy.subscribe();
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.read)
            .max_buf_size(self.limits.body)
            .serve_connection(TokioIo::new(stream), TowerToHyperService::new(router));
        let mut served = pin!(served);
        // Once asked to close, it may still read a head and a body and wait for an answer, each bounded by
        // `read`. A client that then takes no answer must not keep its place.
        let mut last: Option<Instant> = None;
        let ended = loop {
            tokio::select! {
                ended = served.as_mut() => break ended,
                Ok(()) = tidy.changed() => {
                    served.as_mut().graceful_shutdown();
                    last.get_or_insert(Instant::now() + 3 * self.limits.read);
                }
                () = sleep_until(last.unwrap_or_else(Instant::now)), if last.is_some() => break Ok(()),
            }
        };
        if let Err(e) = ended {
            debug!(self.log, "a client's connection broke"; "why" => causes(&e));
        }
    }

    /// Reads what the decisions need out of a request; all else stays as it came.
    async fn take(&self, request: Request) -> Result<(Arrival, oneshot::Receiver<Answer>), Unfit> {
        let arrived = self.clock.now();
        let (head, body) = request.into_parts();
        let unfit = |status, why: &str| (status, why.to_string());
        let body = timeout(self.limits.read, to_bytes(body, self.limits.body)).await;
        let body = body.map_err(|_| unfit(StatusCode::REQUEST_TIMEOUT, "the body did not come"))?;
        let body = body.map_err(|e| unfit(StatusCode::PAYLOAD_TOO_LARGE, &format!("the body: {e}")))?;
        if head.method != Method::POST {
            return Err(unfit(StatusCode::METHOD_NOT_ALLOWED, "work units come by POST"));
        }
        let name = head.uri.path().split('/').nth(1).unwrap_or_default();
        let Some(entry) = self.types.get(name) else {
            return Err((StatusCode::NOT_FOUND, format!("there is no project type {name:?}")));
        };
        if text(&head, "request-id").is_none() {
            return Err(unfit(StatusCode::BAD_REQUEST, "Request-Id is missing"));
        }
        if entry.receipted && text(&head, "idempotency-key").is_none() {
            return Err(unfit(StatusCode::BAD_REQUEST, "Idempotency-Key is missing"));
        }
        let time_budget = match text(&head, "request-timeout") {
            None => entry.hard_limit,
            // Nobody waits longer than the hard limit, whatever is asked for: each wait has a bound.
            Some(value) => length(value)
                .ok_or_else(|| (StatusCode::BAD_REQUEST, format!("Request-Timeout {value:?} is no time")))?
                .min(entry.hard_limit),
        };
        let customer = text(&head, "tenant").and_then(|t| self.customers.iter().position(|c| c == t));
        let (slots, memory) = (info(&head, "slots").unwrap_or(1.0), info(&head, "memory").unwrap_or(0.0));
        let (answer, receiver) = oneshot::channel();
        let (id, project_type) = (self.next.fetch_add(1, Relaxed), entry.number);
        let handed = Arc::new(Handed { head, body });
        let arrival =
            Arrival { id, project_type, customer, slots, memory, arrived, time_budget, handed, answer };
        Ok((arrival, receiver))
    }

    async fn answer(&self, request: Request) -> Response {
        let (arrival, receiver) = match self.take(request).await {
            Ok(taken) => taken,
            Err((status, why)) => {
                debug!(self.log, "a request was not taken"; "status" => status.as_u16(), "why" => &why);
                return (status, why).into_response();
            }
        };
        let Ok(_open) = self.open.try_acquire() else {
            return deferred(0.0);
        };
        let mut waiting = Waiting { id: arrival.id, tell: Some(&self.tell) };
        if self.tell.send(Event::Arrived(arrival)).is_err() {
            return deferred(0.0);
        }
        let answer = receiver.await;
        waiting.tell = None;
        match answer {
            Ok(Answer::Completed(result)) => Body::from(result).into_response(),
            Ok(Answer::Deferred(come_back)) => deferred(come_back),
            // It may have run: never a status that says that trying again is harmless.
            Ok(Answer::Aborted) | Err(_) => StatusCode::BAD_GATEWAY.into_response(),
        }
    }
}

fn deferred(come_back: f64) -> Response {
    let mut answer = StatusCode::SERVICE_UNAVAILABLE.into_response();
    if let Some(after) = Some(come_back).filter(|&s| s > 0.0).and_then(|s| format!("{s:.3}").parse().ok()) {
        answer.headers_mut().insert(RETRY_AFTER, after);
    }
    answer
}

async fn healthz(State(front): State<Arc<Front>>) -> StatusCode {
    if front.stopping.load(Relaxed) { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK }
}

async fn hand_in(State(front): State<Arc<Front>>, request: Request) -> Response {
    let mut answer = front.answer(request).await;
    if front.closing.load(Relaxed) {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

fn text<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok().map(str::trim)
}

/// A figure out of `Request-Info: name=value,name=value`.
fn info(head: &Parts, wanted: &str) -> Option<f64> {
    let pairs = text(head, "request-info")?.split(',').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(name, _)| name.trim() == wanted).find_map(|(_, value)| value.trim().parse().ok())
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
