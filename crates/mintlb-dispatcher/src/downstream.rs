//! The HTTP server for clients.
//!
//! A request is read completely before it is forwarded. Its response is streamed; if the client disconnects, the body is
//! dropped, which cancels the request. An invalid request gets an error response, and its connection is closed.

use crate::admission::{Admission, RateLimiter};
use crate::batch_executor::{BatchCall, BatchHandler, last_event_id};
use crate::body::{BodySource, Relay, ResponseBody};
use crate::exchange::{ClientRequest, Exchange, ExchangeMode, ExchangeParameters, Refusal};
use crate::request::{DEADLINE, REQUEST_ID, strip_hop_by_hop_headers, strip_internal_headers};
use crate::routing::{RouteSettings, RouteTarget, RoutingTable};
use crate::shared::SharedState;
use crate::tenants::{Access, AuthenticationError, TenantSettings, replace_credentials};
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

/// Timeout for reading a request's body after its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection is still read after an error response. Closing it with unread bytes would reset it, and the
/// client could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a connection on which more than one request was received is checked for a disconnect.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Backoff after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// `Retry-After` in seconds of a request that is rejected before it was submitted to the reducer.
const RETRY_AFTER_SECONDS: f64 = 0.2;
/// Idle connections are closed this long after the configured timeout, so that a client that keeps to the timeout does
/// not send a request at the same time.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Path prefixes of calls on batch jobs.
const BATCH_PATH_PREFIXES: [&str; 2] = ["/v1/lots/", "/v1/items/"];
/// Share of its route's latency target that a request may wait for its admission.
const ADMISSION_TIME_SHARE: f64 = 0.25;
/// Latency target in seconds that is assumed for a route without one.
const DEFAULT_TARGET_LATENCY: f64 = 1.0;
/// Bytes reserved for a body of undeclared length until it was read.
const DEFAULT_BODY_RESERVATION: u64 = 64 << 10;
/// The smallest buffer size that hyper accepts.
const MIN_HYPER_BUFFER_BYTES: usize = 8 << 10;

/// Configuration of [`Downstream`].
pub struct DownstreamConfig {
    /// State shared by the dispatcher's tasks.
    pub shared: Arc<SharedState>,
    /// Limits the number of requests and the bytes of their bodies in memory.
    pub capacity: Capacity,
    /// Maximum number of connections from clients.
    pub connections: usize,
    /// Lifecycle of the process: starting, ready, draining.
    pub lifecycle: Arc<Mutex<Lifecycle>>,
    /// For how many seconds after the start of the shutdown new requests are still accepted.
    pub late_accept_seconds: f64,
    /// Handler of calls on batch jobs, if there is one.
    pub batch: Option<Arc<dyn BatchHandler>>,
    /// Decides whether a tenant's request is within its rate limit.
    pub rate_limiter: Arc<dyn RateLimiter>,
}

/// Accepts clients' connections and serves their requests.
pub struct Downstream {
    shared: Arc<SharedState>,
    capacity: Capacity,
    slots: Arc<ConnectionSlots>,
    lifecycle: Arc<Mutex<Lifecycle>>,
    late_accept_seconds: f64,
    batch: Option<Arc<dyn BatchHandler>>,
    rate_limiter: Arc<dyn RateLimiter>,
}

/// A response to a client.
type ClientResponse = Response<BodySource>;

/// A request that was read completely.
struct ReceivedRequest {
    method: Method,
    path_and_query: String,
    host: String,
    headers: HeaderMap,
    body: Bytes,
    /// When the head was read, in seconds of the clock. The client's deadline is counted from then.
    began_at: f64,
    reservation: (CapacityPermit, Option<CapacityPermit>),
}

/// Who sent a request, by the configuration in force when it was read.
struct ClientIdentity {
    /// Whether that configuration has tenants.
    has_tenants: bool,
    tenant: Option<Arc<TenantSettings>>,
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
                    tokio::spawn(self.clone().serve_connection(stream, slot));
                }
                Err(error) => {
                    log::debug!("downstream: could not accept a connection: {error}");
                    self.slots.evict_one();
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Closes idle connections. Has to be called repeatedly during a graceful shutdown.
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

    async fn serve_connection(self: Arc<Downstream>, stream: TcpStream, slot: ConnectionSlot) {
        stream.set_nodelay(true).ok();
        let limits = self.limits();
        let (sniffer, socket) = (slot.sniffer.clone(), Arc::new(stream));
        let inspecting = sniffer.clone();
        let stream = InspectReader::new(SharedSocket(socket.clone()), move |bytes: &[u8]| {
            inspecting.observe(bytes)
        });
        let service = service_fn(|request: Request<Incoming>| {
            let (downstream, sniffer) = (self.clone(), sniffer.clone());
            async move { Ok::<_, Infallible>(downstream.serve_request(request, &sniffer).await) }
        });
        let mut served = http1::Builder::new()
            .header_read_timeout(None)
            .auto_date_header(false)
            .max_buf_size(limits.max_header_bytes.max(MIN_HYPER_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let (mut close_requested, mut timer) = (
            pin!(slot.sniffer.close_requested()),
            pin!(sleep_until(idle_deadline(&slot.sniffer, &limits))),
        );
        let ended = poll_fn(|cx| {
            if let Poll::Ready(ended) = Pin::new(&mut served).poll(cx) {
                return Poll::Ready(Some(ended.is_ok()));
            }
            while close_requested.as_mut().poll(cx).is_ready() {
                if slot.may_close() && !has_unread_bytes(socket.as_raw_fd()) {
                    return Poll::Ready(None);
                }
                close_requested.set(slot.sniffer.close_requested());
            }
            // A request that waits for its response has timeouts of its own.
            if slot.sniffer.phase() == Phase::InFlight {
                if slot.sniffer.may_keep_alive() {
                    return Poll::Pending;
                }
                // More bytes than the request were received. hyper does not read them, and so does not notice a disconnect.
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
                // The timer is reset only if it would fire too late, or has fired too early.
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
        let Some(is_clean) = ended.await else { return };
        if is_clean {
            // Closing the connection with unread bytes would reset it, and the client could lose the response.
            let mut stream = served.into_parts().io.into_inner().into_inner();
            let mut unread = vec![0; 4 << 10];
            let read_rest =
                async { while stream.read(&mut unread).await.is_ok_and(|read| read > 0) {} };
            timeout(LINGER_TIMEOUT, read_rest).await.ok();
        }
    }

    /// Serves a request. The response announces if the connection is closed after it.
    async fn serve_request(
        &self,
        request: Request<Incoming>,
        sniffer: &Arc<RequestSniffer>,
    ) -> Response<ResponseBody> {
        let mut response = match self.read_request(request, sniffer).await {
            Ok(received) => {
                sniffer.request_accepted();
                self.route_request(received).await
            }
            // The size limit of bodies is unknown before the first configuration.
            Err(StatusCode::PAYLOAD_TOO_LARGE) if self.shared.routing().is_none() => {
                service_unavailable(RETRY_AFTER_SECONDS)
            }
            Err(status) => empty_response(status),
        };
        if self.should_close() || !sniffer.may_keep_alive() {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response.map(|source| ResponseBody::new(source, sniffer.clone()))
    }

    /// Reads a complete request, or returns the status of its rejection.
    async fn read_request(
        &self,
        request: Request<Incoming>,
        sniffer: &RequestSniffer,
    ) -> Result<ReceivedRequest, StatusCode> {
        if sniffer.fault().is_some() {
            return Err(StatusCode::BAD_REQUEST);
        }
        let began_at = self.shared.clock.now();
        let max = self.limits().max_body_bytes;
        let (head, body) = request.into_parts();
        if body.size_hint().lower() > max as u64 {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let expected = body
            .size_hint()
            .exact()
            .unwrap_or(DEFAULT_BODY_RESERVATION)
            .min(max as u64) as usize;
        // Reservations bound the memory for bodies. A request that gets none is read all the same, as a reset could lose
        // its response.
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
            began_at,
            reservation: (request_reservation, Some(body_reservation)),
        })
    }

    /// Routes a request by the configuration in force: to the batch handler, or after its admission to a worker.
    async fn route_request(&self, received: ReceivedRequest) -> ClientResponse {
        let Some(table) = self.shared.routing() else {
            return service_unavailable(RETRY_AFTER_SECONDS);
        };
        let route = table.route(&received.host, received.path());
        let is_submission = route.is_some_and(|(_, route)| route.route_type == RouteType::Batch)
            && received.method == Method::POST;
        let is_batch_call = BATCH_PATH_PREFIXES
            .iter()
            .any(|prefix| received.path().starts_with(prefix));
        if is_submission || is_batch_call {
            let route = route.map(|(index, _)| index).filter(|_| is_submission);
            return self.handle_batch_call(received, &table, route).await;
        }
        let Some((_, route)) = route else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let access = Access::of(route.public_access);
        let tenant = match table.identify(&received.headers, access) {
            Ok(tenant) => tenant.cloned(),
            Err(error) => return self.unauthorized(error),
        };
        if received.id().is_none() {
            return empty_response(StatusCode::BAD_REQUEST);
        }
        if self.is_too_late() {
            return service_unavailable(RETRY_AFTER_SECONDS);
        }
        if let Some(tenant) = &tenant {
            let time_limit = admission_time_limit(route, &received.headers);
            if let Err(response) = self.admit(tenant, time_limit).await {
                return response;
            }
        }
        let client = ClientIdentity {
            has_tenants: table.tenants.is_some(),
            tenant,
        };
        self.forward_admitted(received, client).await
    }

    /// Checks a request against its tenant's rate limit; returns the error response if it is not admitted.
    async fn admit(
        &self,
        tenant: &TenantSettings,
        time_limit: Duration,
    ) -> Result<(), ClientResponse> {
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
                Err(too_many_requests(retry_after.as_secs_f64()))
            }
            Admission::Unavailable => {
                counters.on_undecided(started.elapsed());
                Err(service_unavailable(RETRY_AFTER_SECONDS))
            }
        }
    }

    fn unauthorized(&self, error: AuthenticationError) -> ClientResponse {
        self.shared.admissions.on_unauthenticated(error);
        unauthorized(error)
    }

    /// Forwards an admitted request. Routes it anew, as the configuration may have changed while it waited.
    async fn forward_admitted(
        &self,
        received: ReceivedRequest,
        client: ClientIdentity,
    ) -> ClientResponse {
        let Some(id) = received.id() else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        let priority = client.tenant.as_ref().and_then(|tenant| tenant.priority);
        let target = self.shared.routing().and_then(|table| {
            self.shared
                .target(&table, &received.host, received.path(), priority)
        });
        match target {
            Some(target) => self.forward_to_worker(received, id, client, target).await,
            None => empty_response(StatusCode::NOT_FOUND),
        }
    }

    /// Whether the shutdown began so long ago that the end of the process could cut off a request accepted now.
    fn is_too_late(&self) -> bool {
        let stopped = self.lifecycle.lock().stopping_since();
        stopped.is_some_and(|stopped| self.shared.clock.now() - stopped >= self.late_accept_seconds)
    }

    async fn handle_batch_call(
        &self,
        received: ReceivedRequest,
        table: &RoutingTable,
        route: Option<usize>,
    ) -> ClientResponse {
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
        handler.handle(call).await.map(BodySource::Boxed)
    }

    async fn forward_to_worker(
        &self,
        received: ReceivedRequest,
        id: HeaderValue,
        client: ClientIdentity,
        target: RouteTarget,
    ) -> ClientResponse {
        let ReceivedRequest {
            method,
            path_and_query,
            mut headers,
            body,
            began_at,
            reservation,
            ..
        } = received;
        // A duplicate of a non-idempotent request in progress would run twice. It gets a 502, as the outcome of the first
        // one is not known yet.
        let reserved_id = match target.route.idempotent {
            true => None,
            false => match self.shared.reserve_request_id(&id) {
                Some(reserved_id) => Some(reserved_id),
                None => return empty_response(StatusCode::BAD_GATEWAY),
            },
        };
        let deadline = client_deadline(&headers);
        let last_event_id = last_event_id(&headers);
        strip_hop_by_hop_headers(&mut headers);
        strip_internal_headers(&mut headers);
        let tenant = client.tenant.as_ref().map(|tenant| tenant.name.as_str());
        replace_credentials(&mut headers, client.has_tenants, tenant);
        let request = ClientRequest {
            method,
            target: path_and_query,
            headers,
            id,
            last_event_id,
        };
        let parameters = ExchangeParameters {
            request,
            body,
            time_budget: (deadline.min(target.route.timeout)
                - (self.shared.clock.now() - began_at))
                .max(0.0),
            route: target.route,
            service: target.service,
            priority: target.priority,
            mode: ExchangeMode::Live,
            project_type: target.project_type,
        };
        let relay = Relay::new(
            Exchange::start(&self.shared, parameters),
            reservation,
            reserved_id,
        );
        // If the client disconnects, this future is dropped, and `relay` with it, which cancels the request.
        match poll_fn(|cx| relay.exchange().poll_head(cx)).await {
            Ok(head) => {
                let mut response = Response::new(BodySource::Relay(relay));
                (*response.status_mut(), *response.headers_mut()) = (head.status, head.headers);
                response
            }
            Err(Refusal::NotRun(retry_after)) => service_unavailable(retry_after),
            Err(Refusal::Unknown) => empty_response(StatusCode::BAD_GATEWAY),
            Err(Refusal::TimedOut) => empty_response(StatusCode::GATEWAY_TIMEOUT),
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

/// Which batch jobs a call may access. `route` is the index of its route if the call submits a job.
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

/// How long a request may wait for its admission. A rejection after that would cost the client too much of the latency
/// target.
fn admission_time_limit(route: &RouteSettings, headers: &HeaderMap) -> Duration {
    let target = if route.target_latency > 0.0 {
        route.target_latency
    } else {
        DEFAULT_TARGET_LATENCY
    };
    let seconds = client_deadline(headers).min(target * ADMISSION_TIME_SHARE);
    Duration::from_secs_f64(seconds)
}

/// Seconds that the client waits for the response, as its headers declare; infinite if they declare nothing valid.
fn client_deadline(headers: &HeaderMap) -> f64 {
    let deadline = headers.get(DEADLINE);
    let milliseconds = deadline.and_then(|ms| ms.to_str().ok()?.trim().parse::<f64>().ok());
    milliseconds
        .filter(|ms| *ms >= 0.0)
        .map_or(f64::INFINITY, |ms| ms / 1e3)
}

/// When a connection is closed if no further bytes are received.
fn idle_deadline(sniffer: &RequestSniffer, limits: &ClientLimits) -> Instant {
    let idle = limits.idle_timeout() + IDLE_MARGIN;
    let head = limits.header_timeout();
    match sniffer.phase() {
        Phase::Receiving(since) if sniffer.is_busy() => since + head + BODY_TIMEOUT,
        Phase::Receiving(since) | Phase::Idle(since) => since + idle,
        Phase::InFlight => Instant::now() + BODY_TIMEOUT,
    }
}

/// Reads a complete body of up to `max` bytes.
async fn collect(mut body: Incoming, max: usize) -> Result<Bytes, StatusCode> {
    let mut first = Bytes::new();
    let mut collected: Option<BytesMut> = None;
    let length = body.size_hint().exact().unwrap_or(0).min(max as u64) as usize;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let so_far = collected.as_ref().map_or(first.len(), BytesMut::len);
        if so_far + data.len() > max {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        match &mut collected {
            Some(collected) => collected.extend_from_slice(&data),
            None if first.is_empty() => first = data,
            None => {
                let mut joined = BytesMut::with_capacity(length.max(first.len() + data.len()));
                joined.extend_from_slice(&first);
                joined.extend_from_slice(&data);
                collected = Some(joined);
            }
        }
    }
    Ok(collected.map_or(first, BytesMut::freeze))
}

fn empty_response(status: StatusCode) -> ClientResponse {
    if status == StatusCode::SERVICE_UNAVAILABLE {
        return service_unavailable(RETRY_AFTER_SECONDS);
    }
    let mut response = Response::new(BodySource::Complete(None));
    *response.status_mut() = status;
    response
}

/// A 401 with the text of the error.
fn unauthorized(error: AuthenticationError) -> ClientResponse {
    let mut response = Response::new(BodySource::Complete(Some(error.to_string().into())));
    *response.status_mut() = StatusCode::UNAUTHORIZED;
    let scheme = HeaderValue::from_static("Bearer");
    response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    response
}

/// A 429 for a request over its tenant's rate limit, which has not run and never will.
fn too_many_requests(retry_after: f64) -> ClientResponse {
    retry_later(StatusCode::TOO_MANY_REQUESTS, retry_after)
}

/// A 503 for a request that has not run and never will.
fn service_unavailable(retry_after: f64) -> ClientResponse {
    retry_later(StatusCode::SERVICE_UNAVAILABLE, retry_after)
}

fn retry_later(status: StatusCode, retry_after: f64) -> ClientResponse {
    let mut response = Response::new(BodySource::Complete(None));
    *response.status_mut() = status;
    if let Ok(after) = HeaderValue::from_str(&format!("{:.3}", retry_after.max(0.001))) {
        response.headers_mut().insert(RETRY_AFTER, after);
    }
    response
}

/// Whether the kernel has unread bytes, including those that the runtime was not notified of yet.
fn has_unread_bytes(socket: RawFd) -> bool {
    let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
    recv(socket, &mut [0], flags).is_ok_and(|bytes| bytes > 0)
}

/// Whether the client has closed its side, even if there are unread bytes before that.
fn has_disconnected(socket: &TcpStream, cx: &mut Context) -> bool {
    match pin!(socket.ready(Interest::READABLE)).poll(cx) {
        Poll::Ready(ready) => ready.map_or(true, |ready| ready.is_read_closed()),
        Poll::Pending => false,
    }
}
