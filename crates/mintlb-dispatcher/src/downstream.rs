//! The HTTP server towards clients.
//!
//! A request is read completely before it is forwarded. Its response is streamed; if the client disconnects, the body
//! is dropped and the reducer is notified. An invalid request gets an error, and its connection is closed.

use crate::admission::{Admission, RateLimiter};
use crate::batch_executor::{BatchCall, BatchHandler, last_event_id};
use crate::body::{Relay, ResponseBody, Source};
use crate::exchange::{ClientRequest, Exchange, ExchangeMode, NewExchange, Refusal};
use crate::request::{DEADLINE, REQUEST_ID, strip_connection_headers, strip_own_headers};
use crate::routing::{RouteTerms, RoutingTable, Target};
use crate::shared::Shared;
use crate::tenants::{Access, AuthenticationError, TenantTerms, replace_credentials};
use axum::http::header::{CONNECTION, HOST, RETRY_AFTER, WWW_AUTHENTICATE};
use axum::http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use mintlb_batch::client::JobAccess;
use mintlb_common::configuration::{ClientLimits, RouteType};
use mintlb_core::capacity::{Capacity, CapacityPermit};
use mintlb_core::lifecycle::Lifecycle;
use mintlb_http::connection_slots::{ConnectionSlot, ConnectionSlots};
use mintlb_http::sniffer::{Phase, RequestSniffer};
use mintlb_http::socket::SharedSocket;
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

/// Timeout for a request's body once its head was read.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection is still read after an error response, so that no reset loses the response.
const LINGER: Duration = Duration::from_millis(500);
/// How often a client that has sent more than its request is checked for a disconnect.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Backoff after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// `Retry-After` in seconds before the first configuration, and when capacity is exhausted.
const RETRY_AFTER_SECONDS: f64 = 0.2;
/// Idle connections are closed this much after the configured timeout, so that no request crosses the close.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Path prefixes of calls on batch jobs.
const BATCH_PATHS: [&str; 2] = ["/v1/lots/", "/v1/items/"];
/// The share of its route's latency target for which a request may wait for its admission.
const ADMISSION_TARGET_SHARE: f64 = 0.25;
/// The latency target of a route without one, in seconds.
const DEFAULT_TARGET: f64 = 1.0;
/// Bytes reserved for a body of undeclared length.
const DEFAULT_BODY_SIZE: u64 = 64 << 10;
/// The smallest buffer that hyper accepts.
const MIN_BUFFER: usize = 8 << 10;

/// Configuration of [`Downstream`].
pub struct DownstreamConfig {
    /// State shared by the dispatcher's tasks.
    pub shared: Arc<Shared>,
    /// Limits of requests and body bytes in memory.
    pub capacity: Capacity,
    /// Limit of connections from clients.
    pub connections: usize,
    /// Whether the process is ready or shutting down.
    pub lifecycle: Arc<Mutex<Lifecycle>>,
    /// For how many seconds after the shutdown began new requests are still accepted.
    pub late_accept_seconds: f64,
    /// Handler of calls on batch jobs, if there is one.
    pub batch: Option<Arc<dyn BatchHandler>>,
    /// Counts the requests of tenants.
    pub rate_limiter: Arc<dyn RateLimiter>,
}

/// Accepts clients' connections and serves their requests.
pub struct Downstream {
    shared: Arc<Shared>,
    capacity: Capacity,
    slots: Arc<ConnectionSlots>,
    lifecycle: Arc<Mutex<Lifecycle>>,
    late_accept_seconds: f64,
    batch: Option<Arc<dyn BatchHandler>>,
    rate_limiter: Arc<dyn RateLimiter>,
}

/// A response to a client.
type Answer = Response<Source>;

/// A request that was read completely.
struct ReceivedRequest {
    method: Method,
    path_and_query: String,
    host: String,
    headers: HeaderMap,
    body: Bytes,
    /// When its head was read, in seconds of the clock: its client's deadline counts from then, or earlier.
    began: f64,
    reservation: (CapacityPermit, Option<CapacityPermit>),
}

/// Who sent a request, by the configuration in force when it was read.
struct Client {
    /// Whether that has tenants.
    has_tenants: bool,
    tenant: Option<Arc<TenantTerms>>,
}

impl Downstream {
    /// Creates a server that does not listen yet.
    pub fn new(config: DownstreamConfig) -> Arc<Downstream> {
        let DownstreamConfig {
            shared,
            capacity,
            connections,
            lifecycle,
            late_accept_seconds,
            batch,
            rate_limiter,
        } = config;
        let slots = ConnectionSlots::new(connections, Duration::from_millis(500));
        Arc::new(Downstream {
            shared,
            capacity,
            slots,
            lifecycle,
            late_accept_seconds,
            batch,
            rate_limiter,
        })
    }

    /// Accepts connections until it is dropped.
    pub async fn listen(self: Arc<Downstream>, listener: TcpListener) {
        for number in 0.. {
            self.slots.wait_for_slot().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    let slot = self.slots.acquire(number);
                    tokio::spawn(self.clone().connection(stream, slot));
                }
                Err(error) => {
                    log::debug!("downstream: could not accept a connection: {error}");
                    self.slots.evict_one();
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Closes idle connections. To be called repeatedly during a graceful shutdown.
    pub fn close_idle(&self) {
        self.slots.close_idle();
    }

    /// Number of open connections from clients.
    pub fn connected(&self) -> usize {
        self.slots.in_use()
    }

    fn limits(&self) -> ClientLimits {
        self.shared
            .routing()
            .map(|table| table.configuration.limits.clone())
            .unwrap_or_default()
    }

    fn should_close(&self) -> bool {
        self.lifecycle
            .lock()
            .closes_after_answer(self.shared.clock.now())
    }

    async fn connection(self: Arc<Downstream>, stream: TcpStream, slot: ConnectionSlot) {
        stream.set_nodelay(true).ok();
        let limits = self.limits();
        let (sniffer, socket) = (slot.sniffer.clone(), Arc::new(stream));
        let inspecting = sniffer.clone();
        let stream = InspectReader::new(SharedSocket(socket.clone()), move |bytes: &[u8]| {
            inspecting.observe(bytes)
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
        let (mut close_request, mut timer) = (
            pin!(slot.sniffer.close_requested()),
            pin!(sleep_until(idle_deadline(&slot.sniffer, &limits))),
        );
        let ended = poll_fn(|cx| {
            if let Poll::Ready(ended) = Pin::new(&mut served).poll(cx) {
                return Poll::Ready(Some(ended.is_ok()));
            }
            while close_request.as_mut().poll(cx).is_ready() {
                if slot.may_close() && !has_unread_bytes(socket.as_raw_fd()) {
                    return Poll::Ready(None);
                }
                close_request.set(slot.sniffer.close_requested());
            }
            // A request that awaits its response has its own timeouts.
            if slot.sniffer.phase() == Phase::InFlight {
                if slot.sniffer.may_keep_alive() {
                    return Poll::Pending;
                }
                // More was received than the request. hyper reads none of it, and so misses a disconnect.
                if timer.deadline() > Instant::now() + DISCONNECT_CHECK_INTERVAL {
                    timer
                        .as_mut()
                        .reset(Instant::now() + DISCONNECT_CHECK_INTERVAL);
                }
                while timer.as_mut().poll(cx).is_ready() {
                    if has_disconnected(&socket, cx) {
                        return Poll::Ready(None);
                    }
                    timer
                        .as_mut()
                        .reset(Instant::now() + DISCONNECT_CHECK_INTERVAL);
                }
                return Poll::Pending;
            }
            loop {
                let idle_deadline = idle_deadline(&slot.sniffer, &limits);
                // The timer is set anew only when it rings early, or late.
                if timer.deadline() > idle_deadline {
                    timer.as_mut().reset(idle_deadline);
                }
                if timer.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                if Instant::now() >= idle_deadline
                    && !(slot.sniffer.is_idle() && has_unread_bytes(socket.as_raw_fd()))
                {
                    return Poll::Ready(None);
                }
                timer
                    .as_mut()
                    .reset(idle_deadline.max(Instant::now() + ACCEPT_BACKOFF));
            }
        });
        let Some(clean) = ended.await else { return };
        if clean {
            // Closing it with unread bytes would reset it and could lose the response.
            let mut stream = served.into_parts().io.into_inner().into_inner();
            let mut unread = vec![0; 4 << 10];
            let rest = async { while stream.read(&mut unread).await.is_ok_and(|read| read > 0) {} };
            timeout(LINGER, rest).await.ok();
        }
    }

    /// Serves a request and announces whether its connection is closed afterwards.
    async fn answer(
        &self,
        request: Request<Incoming>,
        sniffer: &Arc<RequestSniffer>,
    ) -> Response<ResponseBody> {
        let mut answer = match self.read(request, sniffer).await {
            Ok(received) => {
                sniffer.request_accepted();
                self.respond(received).await
            }
            // Without a configuration the limit of a body is unknown.
            Err(StatusCode::PAYLOAD_TOO_LARGE) if self.shared.routing().is_none() => {
                service_unavailable(RETRY_AFTER_SECONDS)
            }
            Err(status) => status_only(status),
        };
        if self.should_close() || !sniffer.may_keep_alive() {
            answer
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer.map(|source| ResponseBody::new(source, sniffer.clone()))
    }

    /// Reads a complete request, or returns the status of its rejection.
    async fn read(
        &self,
        request: Request<Incoming>,
        sniffer: &RequestSniffer,
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
        // Memory is bounded. A request without a reservation is read all the same, or a reset would lose the response.
        let mut body_reservation = self.capacity.reserve_body(expected);
        let request_reservation = self.capacity.reserve_work_unit();
        let body = match timeout(BODY_TIMEOUT, collect(body, max)).await {
            Ok(body) => body?,
            Err(_) => return Err(StatusCode::REQUEST_TIMEOUT),
        };
        if sniffer.fault().is_some() {
            return Err(StatusCode::BAD_REQUEST);
        }
        if body.len() > expected {
            body_reservation = body_reservation.and(self.capacity.reserve_body(body.len()));
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

    /// Serves a request by the configuration in force now.
    async fn respond(&self, received: ReceivedRequest) -> Answer {
        let Some(table) = self.shared.routing() else {
            return service_unavailable(RETRY_AFTER_SECONDS);
        };
        let route = table.route(&received.host, received.path());
        let is_submission = route.is_some_and(|(_, terms)| terms.route_type == RouteType::Batch)
            && received.method == Method::POST;
        let is_batch_call = BATCH_PATHS
            .iter()
            .any(|prefix| received.path().starts_with(prefix));
        if is_submission || is_batch_call {
            let route = route.map(|(index, _)| index).filter(|_| is_submission);
            return self.batch(received, &table, route).await;
        }
        let Some((_, terms)) = route else {
            return status_only(StatusCode::NOT_FOUND);
        };
        let access = Access::of(terms.public_access);
        let tenant = match table.identify(&received.headers, access) {
            Ok(tenant) => tenant.cloned(),
            Err(error) => return self.unauthorized(error),
        };
        if received.id().is_none() {
            return status_only(StatusCode::BAD_REQUEST);
        }
        if self.is_too_late() {
            return service_unavailable(RETRY_AFTER_SECONDS);
        }
        if let Some(tenant) = &tenant {
            let time_limit = admission_time_limit(terms, &received.headers);
            if let Err(answer) = self.admit(tenant, time_limit).await {
                return answer;
            }
        }
        let client = Client {
            has_tenants: table.tenants.is_some(),
            tenant,
        };
        self.forward(received, client).await
    }

    /// Lets a request of a tenant pass if it is within the tenant's limit; else returns its answer.
    async fn admit(&self, tenant: &TenantTerms, time_limit: Duration) -> Result<(), Answer> {
        if tenant.limit.is_none() {
            return Ok(());
        }
        let (started, counters) = (Instant::now(), &self.shared.admissions);
        match self.rate_limiter.admit(tenant, time_limit).await {
            Admission::Admitted => {
                counters.on_admitted(started.elapsed());
                Ok(())
            }
            Admission::Rejected { retry_after } => {
                counters.on_over_limit(&tenant.name, started.elapsed());
                Err(over_limit(retry_after.as_secs_f64()))
            }
            Admission::Unavailable => {
                counters.on_undecided(started.elapsed());
                Err(service_unavailable(RETRY_AFTER_SECONDS))
            }
        }
    }

    fn unauthorized(&self, error: AuthenticationError) -> Answer {
        self.shared.admissions.on_unauthenticated(error);
        unauthorized(error)
    }

    /// Sends an admitted request to a worker, by the configuration in force now.
    async fn forward(&self, received: ReceivedRequest, client: Client) -> Answer {
        let Some(id) = received.id() else {
            return status_only(StatusCode::BAD_REQUEST);
        };
        let priority = client.tenant.as_ref().and_then(|tenant| tenant.priority);
        let target = self.shared.routing().and_then(|table| {
            self.shared
                .target(&table, &received.host, received.path(), priority)
        });
        match target {
            Some(target) => self.live(received, id, client, target).await,
            None => status_only(StatusCode::NOT_FOUND),
        }
    }

    /// Whether the shutdown began so long ago that a request accepted now might be cut by its end.
    fn is_too_late(&self) -> bool {
        let stopped = self.lifecycle.lock().stopping_since();
        stopped.is_some_and(|stopped| self.shared.clock.now() - stopped >= self.late_accept_seconds)
    }

    async fn batch(
        &self,
        received: ReceivedRequest,
        table: &RoutingTable,
        route: Option<usize>,
    ) -> Answer {
        let Some(handler) = &self.batch else {
            return service_unavailable(RETRY_AFTER_SECONDS);
        };
        let access = match job_access(&received, table, route) {
            Ok(access) => access,
            Err(error) => return self.unauthorized(error),
        };
        let call = BatchCall {
            method: received.method,
            host: received.host,
            path_and_query: received.path_and_query,
            headers: received.headers,
            body: received.body,
            configuration: table.configuration.clone(),
            route,
            access,
        };
        handler.handle(call).await.map(Source::Boxed)
    }

    async fn live(
        &self,
        received: ReceivedRequest,
        id: HeaderValue,
        client: Client,
        target: Target,
    ) -> Answer {
        let ReceivedRequest {
            method,
            path_and_query,
            mut headers,
            body,
            began,
            reservation,
            ..
        } = received;
        // The same request twice at once would run twice, and the status of the one that runs would be unknown.
        let reserved_id = match target.terms.idempotent {
            true => None,
            false => match self.shared.reserve_request_id(&id) {
                Some(reserved_id) => Some(reserved_id),
                None => return status_only(StatusCode::BAD_GATEWAY),
            },
        };
        let deadline = client_deadline(&headers);
        let last_event_id = last_event_id(&headers);
        strip_connection_headers(&mut headers);
        strip_own_headers(&mut headers);
        let tenant = client.tenant.as_ref().map(|tenant| tenant.name.as_str());
        replace_credentials(&mut headers, client.has_tenants, tenant);
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
            priority: target.priority,
            mode: ExchangeMode::Live,
            project_type: target.project_type,
        };
        let relay = Relay::new(Exchange::start(&self.shared, new), reservation, reserved_id);
        // If this future is dropped, the client has disconnected: dropping `relay` reports it.
        match poll_fn(|cx| relay.exchange().poll_head(cx)).await {
            Ok(head) => {
                let mut answer = Response::new(Source::Relay(relay));
                (*answer.status_mut(), *answer.headers_mut()) = (head.status, head.headers);
                answer
            }
            Err(Refusal::NotRun(retry_after)) => service_unavailable(retry_after),
            Err(Refusal::Unknown) => status_only(StatusCode::BAD_GATEWAY),
            Err(Refusal::TimedOut) => status_only(StatusCode::GATEWAY_TIMEOUT),
        }
    }
}

impl ReceivedRequest {
    fn path(&self) -> &str {
        self.path_and_query.split('?').next().unwrap_or_default()
    }

    fn id(&self) -> Option<HeaderValue> {
        let id = self.headers.get(REQUEST_ID)?;
        (!id.is_empty()).then(|| id.clone())
    }
}

/// Which batch jobs a call may be about. `route` is the index of its route, if it submits a job.
fn job_access(
    received: &ReceivedRequest,
    table: &RoutingTable,
    route: Option<usize>,
) -> Result<JobAccess, AuthenticationError> {
    if table.tenants.is_none() {
        return Ok(JobAccess::Unrestricted);
    }
    let is_public = match route {
        Some(index) => table.configuration.route_list[index].public_access,
        None => table.has_public_batch_route(&received.host),
    };
    let tenant = table.identify(&received.headers, Access::of(is_public))?;
    Ok(JobAccess::OfTenant(
        tenant.map(|tenant| tenant.name.clone()),
    ))
}

/// How long a request may wait for its admission: one that is refused later would cost its client the target.
fn admission_time_limit(route: &RouteTerms, headers: &HeaderMap) -> Duration {
    let target = if route.target > 0.0 {
        route.target
    } else {
        DEFAULT_TARGET
    };
    let seconds = client_deadline(headers).min(target * ADMISSION_TARGET_SHARE);
    Duration::from_secs_f64(seconds)
}

/// Seconds for which the client waits from when it sent the request; infinite if it does not say.
fn client_deadline(headers: &HeaderMap) -> f64 {
    let deadline = headers.get(DEADLINE);
    let milliseconds = deadline.and_then(|ms| ms.to_str().ok()?.trim().parse::<f64>().ok());
    milliseconds
        .filter(|ms| *ms >= 0.0)
        .map_or(f64::INFINITY, |ms| ms / 1e3)
}

/// When a connection is closed if nothing more is received.
fn idle_deadline(sniffer: &RequestSniffer, limits: &ClientLimits) -> Instant {
    let idle = limits.idle_timeout() + IDLE_MARGIN;
    let head = limits.header_timeout();
    match sniffer.phase() {
        Phase::Receiving(since) if sniffer.is_busy() => since + head + BODY_TIMEOUT,
        Phase::Receiving(since) | Phase::Idle(since) => since + idle,
        Phase::InFlight => Instant::now() + BODY_TIMEOUT,
    }
}

/// The complete body, up to `max` bytes.
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

fn status_only(status: StatusCode) -> Answer {
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return service_unavailable(RETRY_AFTER_SECONDS);
    }
    let mut answer = Response::new(Source::Complete(None));
    *answer.status_mut() = status;
    answer
}

/// A 401 with the numbered error.
fn unauthorized(error: AuthenticationError) -> Answer {
    let mut answer = Response::new(Source::Complete(Some(error.to_string().into())));
    *answer.status_mut() = StatusCode::UNAUTHORIZED;
    let scheme = HeaderValue::from_static("Bearer");
    answer.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    answer
}

/// A 429: the request is over its tenant's limit. It has not run and never will.
fn over_limit(retry_after: f64) -> Answer {
    retry_later(StatusCode::TOO_MANY_REQUESTS, retry_after)
}

/// A 503: the request has not run and never will.
fn service_unavailable(retry_after: f64) -> Answer {
    retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_after)
}

fn retry_later(status: StatusCode, retry_after: f64) -> Answer {
    let mut answer = Response::new(Source::Complete(None));
    *answer.status_mut() = status;
    if let Ok(after) = HeaderValue::from_str(&format!("{:.3}", retry_after.max(0.001))) {
        answer.headers_mut().insert(RETRY_AFTER, after);
    }
    answer
}

/// Whether the kernel has unread bytes, also such as the runtime was not notified of.
fn has_unread_bytes(socket: RawFd) -> bool {
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    recv(socket, &mut [0], flags).is_ok_and(|bytes| bytes > 0)
}

/// Whether the client has closed its side, also behind unread bytes.
fn has_disconnected(socket: &TcpStream, cx: &mut Context) -> bool {
    match pin!(socket.ready(Interest::READABLE)).poll(cx) {
        Poll::Ready(ready) => ready.map_or(true, |ready| ready.is_read_closed()),
        Poll::Pending => false,
    }
}
