//! The sockets towards clients.
//!
//! A request is read whole before it is handed on. Its answer goes out as it comes; if its client leaves, the body is
//! dropped, and the reducer is told. A client that sends what can't be taken gets an error and loses its connection.

use crate::batch_executor::{BatchCall, BatchHandler, last_event_id};
use crate::body::{Relay, ResponseBody, Source};
use crate::exchange::{ClientRequest, Exchange, ExchangeMode, NewExchange, Refusal};
use crate::request::{DEADLINE, REQUEST_ID, strip_connection_headers, strip_own_headers};
use crate::routing::{RoutingTable, Target};
use crate::shared::Shared;
use axum::http::header::{CONNECTION, HOST, RETRY_AFTER};
use axum::http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use mintlb_common::configuration::{ClientLimits, RouteType};
use mintlb_core::room::{Held, Room};
use mintlb_core::standing::Standing;
use mintlb_http::places::{Place, Places};
use mintlb_http::seen::{Phase, Seen};
use mintlb_http::socket::Socket;
use nix::sys::socket::{MsgFlags, recv};
use parking_lot::Mutex;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::os::fd::{AsRawFd, RawFd};
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::io::InspectReader;

/// A request whose head has come has so long for its body.
const BODY_TIME: Duration = Duration::from_secs(10);
/// A connection that has sent an error is read on for so long, so that the error is not lost by a reset.
const LINGER: Duration = Duration::from_millis(500);
/// So often a client that has sent more than its request is looked at, whether it has left.
const LEFT_LOOK: Duration = Duration::from_millis(200);
/// After a failure to accept, so long until the next try.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// A client that came before the first configuration, or found no room, is told to come back after so many seconds.
const COME_BACK: f64 = 0.2;
/// Idle connections are closed this much later than the operator allows, so that no request crosses the close.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// The paths of calls that concern lots.
const BATCH_PATHS: [&str; 2] = ["/v1/lots/", "/v1/items/"];
/// A body whose length is not told is expected to have so many bytes.
const DEFAULT_BODY_SIZE: u64 = 64 << 10;
/// The least buffer that the library takes.
const MIN_BUFFER: usize = 8 << 10;

/// What the front is made of.
pub struct DownstreamConfig {
    /// What it shares.
    pub shared: Arc<Shared>,
    /// What may be held at once.
    pub capacity: Room,
    /// Connections from clients.
    pub connections: usize,
    /// Whether clients are to come and to stay.
    pub lifecycle: Arc<Mutex<Standing>>,
    /// For so many seconds after the process was told to end, requests that still come are taken.
    pub accepts_late: f64,
    /// Who answers calls that concern lots, if anybody does.
    pub batch: Option<Arc<dyn BatchHandler>>,
}

/// The front of a dispatcher.
pub struct Downstream {
    shared: Arc<Shared>,
    capacity: Room,
    slots: Arc<Places>,
    lifecycle: Arc<Mutex<Standing>>,
    accepts_late: f64,
    batch: Option<Arc<dyn BatchHandler>>,
}

/// An answer to a client.
type Answer = Response<Source>;

/// A request that was read received.
struct ReceivedRequest {
    method: Method,
    path_and_query: String,
    host: String,
    headers: HeaderMap,
    body: Bytes,
    /// When its head had come, in seconds of the clock: its client counts its time from then, or earlier.
    began: f64,
    reservation: (Held, Option<Held>),
}

impl Downstream {
    /// One that does not listen yet.
    pub fn new(config: DownstreamConfig) -> Arc<Downstream> {
        let DownstreamConfig {
            shared,
            capacity,
            connections,
            lifecycle,
            accepts_late,
            batch,
        } = config;
        let slots = Places::new(connections, Duration::from_millis(500));
        Arc::new(Downstream {
            shared,
            capacity,
            slots,
            lifecycle,
            accepts_late,
            batch,
        })
    }

    /// Takes clients until it is dropped.
    pub async fn listen(self: Arc<Downstream>, listener: TcpListener) {
        for number in 0.. {
            self.slots.wait().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let slot = self.slots.take(number);
                    tokio::spawn(self.clone().connection(stream, slot));
                }
                Err(error) => {
                    log::debug!("front: a connection could not be accepted: {error}");
                    self.slots.make_room();
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Idle connections close. To be said again and again while clients are to leave.
    pub fn close_idle(&self) {
        self.slots.close_idle();
    }

    /// How many connections clients have.
    pub fn connected(&self) -> usize {
        self.slots.count()
    }

    fn limits(&self) -> ClientLimits {
        self.shared
            .routing()
            .map(|table| table.configuration.limits.clone())
            .unwrap_or_default()
    }

    fn closes(&self) -> bool {
        self.lifecycle.lock().closes(self.shared.clock.now())
    }

    async fn connection(self: Arc<Downstream>, stream: TcpStream, slot: Place) {
        stream.set_nodelay(true).ok();
        let limits = self.limits();
        let (sniffer, socket) = (slot.seen.clone(), Arc::new(stream));
        let looking = sniffer.clone();
        let stream = InspectReader::new(Socket(socket.clone()), move |bytes: &[u8]| {
            looking.look(bytes)
        });
        let service = service_fn(|request: Request<Incoming>| {
            let (downstream, sniffer) = (self.clone(), sniffer.clone());
            async move { Ok::<_, Infallible>(downstream.answer(request, &sniffer).await) }
        });
        let mut served = http1::Builder::new()
            .header_read_timeout(None)
            .auto_date_header(false)
            .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER))
            .serve_connection(TokioIo::new(stream), service);
        let (mut called, mut alarm) = (
            pin!(slot.seen.called()),
            pin!(sleep_until(due(&slot.seen, &limits))),
        );
        let ended = poll_fn(|cx| {
            if let Poll::Ready(ended) = Pin::new(&mut served).poll(cx) {
                return Poll::Ready(Some(ended.is_ok()));
            }
            while called.as_mut().poll(cx).is_ready() {
                if slot.may_close() && !has_come(socket.as_raw_fd()) {
                    return Poll::Ready(None);
                }
                called.set(slot.seen.called());
            }
            // What waits for its answer has its own bounds.
            if slot.seen.phase() == Phase::Open {
                if slot.seen.may_go_on() {
                    return Poll::Pending;
                }
                // More has come than the request. The library reads none of it, and so misses that its client leaves.
                if alarm.deadline() > Instant::now() + LEFT_LOOK {
                    alarm.as_mut().reset(Instant::now() + LEFT_LOOK);
                }
                while alarm.as_mut().poll(cx).is_ready() {
                    if has_left(&socket, cx) {
                        return Poll::Ready(None);
                    }
                    alarm.as_mut().reset(Instant::now() + LEFT_LOOK);
                }
                return Poll::Pending;
            }
            loop {
                let due = due(&slot.seen, &limits);
                // The timer is set anew only when it rings early, or late.
                if alarm.deadline() > due {
                    alarm.as_mut().reset(due);
                }
                if alarm.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                if Instant::now() >= due && !(slot.seen.is_idle() && has_come(socket.as_raw_fd())) {
                    return Poll::Ready(None);
                }
                alarm.as_mut().reset(due.max(Instant::now() + ACCEPT_PAUSE));
            }
        });
        let Some(clean) = ended.await else { return };
        if clean {
            // Closed with bytes unread, it would be reset, and the answer lost on its way.
            let mut stream = served.into_parts().io.into_inner().into_inner();
            let mut unread = vec![0; 4 << 10];
            let rest = async { while stream.read(&mut unread).await.is_ok_and(|read| read > 0) {} };
            timeout(LINGER, rest).await.ok();
        }
    }

    /// Answers a request, and says whether its connection goes on.
    async fn answer(
        &self,
        request: Request<Incoming>,
        sniffer: &Arc<Seen>,
    ) -> Response<ResponseBody> {
        let mut answer = match self.read(request, sniffer).await {
            Ok(received) => {
                sniffer.taken();
                self.respond(received).await
            }
            // Without a configuration nobody knows how long a body may be.
            Err(StatusCode::PAYLOAD_TOO_LARGE) if self.shared.routing().is_none() => {
                refused(COME_BACK)
            }
            Err(status) => plain(status),
        };
        if self.closes() || !sniffer.may_go_on() {
            answer
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer.map(|source| ResponseBody::new(source, sniffer.clone()))
    }

    /// Reads a request whole, or says why not.
    async fn read(
        &self,
        request: Request<Incoming>,
        sniffer: &Seen,
    ) -> Result<ReceivedRequest, StatusCode> {
        if sniffer.fault().is_some() {
            return Err(StatusCode::BAD_REQUEST);
        }
        let began = self.shared.clock.now();
        let max = self.limits().max_body_bytes;
        let (head, body) = request.into_parts();
        if body.size_hint().lower() > max as u64 {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let expected = body
            .size_hint()
            .exact()
            .unwrap_or(DEFAULT_BODY_SIZE)
            .min(max as u64) as usize;
        // What is held at once is bounded. What has no room is read, or a reset would lose the answer.
        let mut body_reservation = self.capacity.body(expected);
        let request_reservation = self.capacity.work_unit();
        let body = match timeout(BODY_TIME, collect(body, max)).await {
            Ok(body) => body?,
            Err(_) => return Err(StatusCode::REQUEST_TIMEOUT),
        };
        if sniffer.fault().is_some() {
            return Err(StatusCode::BAD_REQUEST);
        }
        if body.len() > expected {
            body_reservation = body_reservation.and(self.capacity.body(body.len()));
        }
        let (Some(body_reservation), Some(request_reservation)) =
            (body_reservation, request_reservation)
        else {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        };
        let path_and_query = head.uri.path_and_query().map_or("/", |path| path.as_str());
        if !path_and_query.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(StatusCode::BAD_REQUEST);
        }
        let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
        let host = host.ok_or(StatusCode::BAD_REQUEST)?.to_string();
        Ok(ReceivedRequest {
            method: head.method,
            path_and_query: path_and_query.to_string(),
            host,
            headers: head.headers,
            body,
            began,
            reservation: (request_reservation, Some(body_reservation)),
        })
    }

    /// Answers a request that was read received. It goes by the routes in force now.
    async fn respond(&self, received: ReceivedRequest) -> Answer {
        let Some(table) = self.shared.routing() else {
            return refused(COME_BACK);
        };
        let path = received
            .path_and_query
            .split('?')
            .next()
            .unwrap_or_default();
        let route = table.route(&received.host, path);
        let is_submission = route.is_some_and(|(_, terms)| terms.route_type == RouteType::Batch)
            && received.method == Method::POST;
        if is_submission || BATCH_PATHS.iter().any(|prefix| path.starts_with(prefix)) {
            let route = route.map(|(index, _)| index).filter(|_| is_submission);
            return self.batch(received, &table, route).await;
        }
        let id = received.headers.get(REQUEST_ID).cloned();
        let Some(id) = id.filter(|id| !id.is_empty()) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        let Some(target) = self.shared.target(&table, &received.host, path) else {
            return plain(StatusCode::NOT_FOUND);
        };
        if self.is_too_late() {
            return refused(COME_BACK);
        }
        self.live(received, id, target).await
    }

    /// Whether the process was told to end so long ago that a request which comes now might be cut by its end.
    fn is_too_late(&self) -> bool {
        let stopped = self.lifecycle.lock().stopped();
        stopped.is_some_and(|stopped| self.shared.clock.now() - stopped >= self.accepts_late)
    }

    async fn batch(
        &self,
        received: ReceivedRequest,
        table: &RoutingTable,
        route: Option<usize>,
    ) -> Answer {
        let Some(handler) = &self.batch else {
            return refused(COME_BACK);
        };
        let call = BatchCall {
            method: received.method,
            host: received.host,
            path_and_query: received.path_and_query,
            headers: received.headers,
            body: received.body,
            configuration: table.configuration.clone(),
            route,
        };
        handler.handle(call).await.map(Source::Boxed)
    }

    async fn live(&self, received: ReceivedRequest, id: HeaderValue, target: Target) -> Answer {
        let ReceivedRequest {
            method,
            path_and_query,
            mut headers,
            body,
            began,
            reservation,
            ..
        } = received;
        // The same request twice at once would run twice, and nothing can be promised of the one that runs.
        let once = match target.terms.idempotent {
            true => None,
            false => match self.shared.once(&id) {
                Some(once) => Some(once),
                None => return plain(StatusCode::BAD_GATEWAY),
            },
        };
        let deadline = headers
            .get(DEADLINE)
            .and_then(|ms| ms.to_str().ok()?.trim().parse::<f64>().ok());
        let deadline = deadline
            .filter(|ms| *ms >= 0.0)
            .map_or(f64::INFINITY, |ms| ms / 1e3);
        let last_event_id = last_event_id(&headers);
        strip_connection_headers(&mut headers);
        strip_own_headers(&mut headers);
        let request = ClientRequest {
            method,
            target: path_and_query,
            headers,
            id,
            last_event_id,
        };
        let new = NewExchange {
            request,
            body,
            time_budget: (deadline.min(target.terms.timeout) - (self.shared.clock.now() - began))
                .max(0.0),
            terms: target.terms,
            service: target.service,
            mode: ExchangeMode::Live,
            project_type: target.project_type,
        };
        let relay = Relay::new(Exchange::start(&self.shared, new), reservation, once);
        // Dropped while it waits, the client has left: `relay` tells.
        match poll_fn(|cx| relay.exchange().poll_head(cx)).await {
            Ok(head) => {
                let mut answer = Response::new(Source::Relay(relay));
                (*answer.status_mut(), *answer.headers_mut()) = (head.status, head.headers);
                answer
            }
            Err(Refusal::NotRun(come_back)) => refused(come_back),
            Err(Refusal::Unknown) => plain(StatusCode::BAD_GATEWAY),
            Err(Refusal::TimedOut) => plain(StatusCode::GATEWAY_TIMEOUT),
        }
    }
}

/// When a connection is closed if nothing more comes.
fn due(sniffer: &Seen, limits: &ClientLimits) -> Instant {
    let idle = limits.idle_timeout() + IDLE_MARGIN;
    let head = limits.header_timeout();
    match sniffer.phase() {
        Phase::Coming(since) if sniffer.is_busy() => since + head + BODY_TIME,
        Phase::Coming(since) | Phase::Idle(since) => since + idle,
        Phase::Open => Instant::now() + BODY_TIME,
    }
}

/// All of a body that is not too long.
async fn collect(mut body: Incoming, max: usize) -> Result<Bytes, StatusCode> {
    let mut first = Bytes::new();
    let mut all: Option<BytesMut> = None;
    let length = body.size_hint().exact().unwrap_or(0).min(max as u64) as usize;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let so_far = all.as_ref().map_or(first.len(), BytesMut::len);
        if so_far + data.len() > max {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        match &mut all {
            Some(all) => all.extend_from_slice(&data),
            None if first.is_empty() => first = data,
            None => {
                let mut joined = BytesMut::with_capacity(length.max(first.len() + data.len()));
                joined.extend_from_slice(&first);
                joined.extend_from_slice(&data);
                all = Some(joined);
            }
        }
    }
    Ok(all.map_or(first, BytesMut::freeze))
}

fn plain(status: StatusCode) -> Answer {
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return refused(COME_BACK);
    }
    let mut answer = Response::new(Source::Complete(None));
    *answer.status_mut() = status;
    answer
}

/// It has not run and never will.
fn refused(come_back: f64) -> Answer {
    let mut answer = Response::new(Source::Complete(None));
    *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    if let Ok(after) = HeaderValue::from_str(&format!("{:.3}", come_back.max(0.001))) {
        answer.headers_mut().insert(RETRY_AFTER, after);
    }
    answer
}

/// Whether bytes wait to be read there, also such as we have not been told of.
fn has_come(socket: RawFd) -> bool {
    let look = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    recv(socket, &mut [0], look).is_ok_and(|bytes| bytes > 0)
}

/// Whether the client has closed its side, also with bytes unread before that.
fn has_left(socket: &TcpStream, cx: &mut Context) -> bool {
    match pin!(socket.ready(Interest::READABLE)).poll(cx) {
        Poll::Ready(ready) => ready.map_or(true, |ready| ready.is_read_closed()),
        Poll::Pending => false,
    }
}
