//! Reads a worker's response to one attempt and forwards those parts that are known to be valid.

use crate::connection::Connection;
use crate::event_stream::EventParser;
use crate::exchange::{Exchange, ExchangeMode, ForwardedHead};
use crate::load::InstanceLoad;
use crate::request::{
    INSTANCE_LOAD, NOT_EXECUTED, REQUEST_ID, RESPONSE_SIGNATURE, strip_hop_by_hop_headers,
};
use crate::response_parser::{BodyReader, Framing, ResponseHead};
use crate::upstream::WorkerResult;
use crate::workers::WorkerEntry;
use axum::http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use axum::http::{HeaderMap, Method, StatusCode};
use bytes::BytesMut;
use mintlb_common::configuration::RouteType;
use mintlb_core::reducer::Event;
use mintlb_core::work::AttemptId;
use mintlb_scheduler::Outcome;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until, timeout};

/// A response that is not an event stream is buffered until it is complete or exceeds this size.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Maximum number of responses to earlier requests that are skipped in one attempt.
const MAX_SKIPPED_RESPONSES: usize = 2;
/// How long to wait for the unused body of a rejection, or of an error response to an item. Reading it only serves to
/// reuse the connection.
const UNUSED_BODY_TIMEOUT: Duration = Duration::from_millis(50);
/// Read timeout in seconds, in multiples of the route's latency target, and in multiples of its event gap; the largest of
/// the three applies. After it an idempotent request is retried at another worker.
const MIN_READ_TIMEOUT: f64 = 0.8;
const READ_TIMEOUT_TARGET_LATENCIES: f64 = 2.5;
const READ_TIMEOUT_EVENT_GAPS: f64 = 3.0;

/// Reads the response to one attempt.
pub struct ResponseReader<'a> {
    /// The worker that the request was sent to.
    pub worker: &'a WorkerEntry,
    /// The request.
    pub exchange: &'a Arc<Exchange>,
    /// The attempt's number at the reducer.
    pub attempt: AttemptId,
}

/// Permits a connection to carry another request.
pub struct ConnectionReuse {
    /// The idle timeout that the worker declared, see [`ResponseHead::declared_idle_timeout`].
    pub idle_timeout: Option<Duration>,
}

/// The result of reading a response.
pub struct ReadOutcome {
    /// The attempt's result for the scheduler.
    pub result: WorkerResult,
    /// Whether the worker stated that it has not run the request.
    pub not_run: bool,
    /// Present if the connection may be reused.
    pub reuse: Option<ConnectionReuse>,
}

impl From<Outcome> for ReadOutcome {
    fn from(outcome: Outcome) -> ReadOutcome {
        ReadOutcome {
            result: WorkerResult::from_outcome(outcome),
            not_run: false,
            reuse: None,
        }
    }
}

/// Why no valid response could be read. The request may have run.
enum ReadError {
    /// The connection broke, or its bytes are no valid response.
    Broken,
    TimedOut,
}

impl From<ReadError> for ReadOutcome {
    fn from(error_outcome: ReadError) -> ReadOutcome {
        match error_outcome {
            ReadError::Broken => Outcome::Dropped.into(),
            ReadError::TimedOut => Outcome::TimedOut.into(),
        }
    }
}

/// Limits the time between two reads of a worker's response. There is one timer per attempt, which is reset only when it
/// fires.
struct ReadTimeout {
    last_read: Instant,
    limit: Option<Duration>,
    timer: Pin<Box<Sleep>>,
}

impl ReadTimeout {
    fn new(limit: Option<f64>) -> ReadTimeout {
        let limit = limit.map(|seconds| Duration::from_secs_f64(seconds.clamp(0.0, 3600.0)));
        let last_read = Instant::now();
        let timer = Box::pin(sleep_until(
            last_read + limit.unwrap_or(Duration::from_secs(3600)),
        ));
        ReadTimeout {
            last_read,
            limit,
            timer,
        }
    }

    async fn fill(&mut self, connection: &mut Connection) -> Result<(), ReadError> {
        let Some(limit) = self.limit else {
            return connection.fill().await.map_err(|_| ReadError::Broken);
        };
        loop {
            tokio::select! {
                biased;
                filled = connection.fill() => {
                    self.last_read = Instant::now();
                    return filled.map_err(|_| ReadError::Broken);
                }
                () = &mut self.timer => {
                    if self.last_read.elapsed() >= limit {
                        return Err(ReadError::TimedOut);
                    }
                    self.timer.as_mut().reset(self.last_read + limit);
                }
            }
        }
    }
}

impl ResponseReader<'_> {
    /// Reads the response to its end and forwards it.
    pub async fn read(&self, connection: &mut Connection) -> ReadOutcome {
        self.try_read(connection)
            .await
            .unwrap_or_else(ReadOutcome::from)
    }

    async fn try_read(&self, connection: &mut Connection) -> Result<ReadOutcome, ReadError> {
        let mut read_timeout = ReadTimeout::new(self.read_timeout_seconds());
        let head = self.read_head(connection, &mut read_timeout).await?;
        let load = head
            .headers
            .get(INSTANCE_LOAD)
            .and_then(|load| InstanceLoad::parse(load.to_str().ok()?));
        if let Some(load) = load {
            self.exchange.shared().record_load(self.worker, load);
        }
        let mut outcome = self
            .read_by_status(connection, &mut read_timeout, &head)
            .await?;
        outcome.result.free_slots = load.map(|load| load.free_slots());
        let reuse = ConnectionReuse {
            idle_timeout: head.declared_idle_timeout(),
        };
        outcome.reuse = outcome.reuse.filter(|_| head.keeps_alive).map(|_| reuse);
        Ok(outcome)
    }

    /// The read timeout in seconds. Only requests that may be retried at another worker have one; all others wait until
    /// their deadline.
    fn read_timeout_seconds(&self) -> Option<f64> {
        let route = &self.exchange.route;
        let may_retry = route.idempotent
            && self.exchange.may_be_sent()
            && self.exchange.mode == ExchangeMode::Live;
        let expected = route
            .max_event_gap
            .map_or(0.0, |gap| READ_TIMEOUT_EVENT_GAPS * gap)
            .max(READ_TIMEOUT_TARGET_LATENCIES * route.target_latency);
        may_retry.then_some(expected.max(MIN_READ_TIMEOUT))
    }

    /// Reads the head of the response to this request. Responses to earlier requests are skipped; the connection is not
    /// reused after one.
    async fn read_head(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
    ) -> Result<ResponseHead, ReadError> {
        for _ in 0..=MAX_SKIPPED_RESPONSES {
            let head = loop {
                match ResponseHead::take(&mut connection.buffer) {
                    Ok(Some(head)) => break head,
                    Ok(None) => read_timeout.fill(connection).await?,
                    Err(_) => return Err(ReadError::Broken),
                }
            };
            let mut ids = head.headers.get_all(REQUEST_ID).iter();
            match (ids.next(), ids.next()) {
                (Some(id), None) if *id == self.exchange.request.id => return Ok(head),
                (Some(_), None) if head.framing != Framing::UntilClose => {
                    connection.disable_reuse();
                    self.discard(connection, read_timeout, head.framing).await?;
                }
                _ => return Err(ReadError::Broken),
            }
        }
        Err(ReadError::Broken)
    }

    async fn discard(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        framing: Framing,
    ) -> Result<(), ReadError> {
        let mut body = BodyReader::new(framing);
        loop {
            while body
                .take(&mut connection.buffer)
                .map_err(|_| ReadError::Broken)?
                .is_some()
            {}
            if body.is_done() {
                return Ok(());
            }
            read_timeout.fill(connection).await?;
        }
    }

    /// Reads the rest of the response as its status and headers require.
    async fn read_by_status(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        head: &ResponseHead,
    ) -> Result<ReadOutcome, ReadError> {
        let framing = match self.exchange.request.method == Method::HEAD {
            true => Framing::Length(0),
            false => head.framing,
        };
        let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        if is_misdirected || head.headers.contains_key(NOT_EXECUTED) {
            if is_misdirected && !self.exchange.request.headers.contains_key("expect-version") {
                self.worker.take_out_of_service();
            }
            let is_complete = self.discard_body(connection, read_timeout, framing).await;
            let reuse =
                (is_complete && !is_misdirected).then_some(ConnectionReuse { idle_timeout: None });
            return Ok(ReadOutcome {
                result: WorkerResult::from_outcome(Outcome::Full),
                not_run: true,
                reuse,
            });
        }
        if head.status.is_success() {
            let is_stream = self.is_stream(head);
            // A stream that ends with its connection could be truncated between two events without a sign of it.
            if !head.headers.contains_key(RESPONSE_SIGNATURE)
                || is_stream && framing == Framing::UntilClose
            {
                return Err(ReadError::Broken);
            }
            return match is_stream {
                true => {
                    self.forward_events(connection, read_timeout, head, framing)
                        .await
                }
                false => {
                    self.forward_response(connection, read_timeout, head, framing)
                        .await
                }
            };
        }
        match self.exchange.mode {
            ExchangeMode::Live => {
                self.forward_failure(connection, read_timeout, head, framing)
                    .await
            }
            ExchangeMode::Item => Ok(self
                .item_failure(connection, read_timeout, head, framing)
                .await),
        }
    }

    /// Reads and discards an unused body; returns whether it was complete within [`UNUSED_BODY_TIMEOUT`].
    async fn discard_body(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        framing: Framing,
    ) -> bool {
        let discarded = timeout(
            UNUSED_BODY_TIMEOUT,
            self.discard(connection, read_timeout, framing),
        )
        .await;
        matches!(discarded, Ok(Ok(())))
    }

    /// Reports an error response to an item. The head alone determines the outcome, even if the body is truncated.
    async fn item_failure(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        head: &ResponseHead,
        framing: Framing,
    ) -> ReadOutcome {
        let is_complete = self.discard_body(connection, read_timeout, framing).await;
        self.exchange.fail_item(client_head(head));
        let reuse = is_complete.then_some(ConnectionReuse { idle_timeout: None });
        ReadOutcome {
            result: WorkerResult::from_outcome(Outcome::Completed),
            not_run: false,
            reuse,
        }
    }

    fn is_stream(&self, head: &ResponseHead) -> bool {
        let content_type = head
            .headers
            .get(CONTENT_TYPE)
            .map(|value| value.as_bytes().to_ascii_lowercase());
        matches!(
            self.exchange.route.route_type,
            RouteType::Streaming | RouteType::Batch
        ) || content_type.is_some_and(|content_type| content_type.starts_with(b"text/event-stream"))
    }

    fn report_started(&self) {
        if self.exchange.mode == ExchangeMode::Live {
            self.exchange.count_start(self.worker.id);
        }
        self.exchange
            .shared()
            .event_sender
            .send(Event::Started(self.attempt))
            .ok();
    }

    /// Forwards the events of a stream as they arrive.
    async fn forward_events(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        head: &ResponseHead,
        framing: Framing,
    ) -> Result<ReadOutcome, ReadError> {
        let (mut body, mut pending_head) = (BodyReader::new(framing), Some(client_head(head)));
        let mut events = EventParser::resuming_after(self.exchange.last_event());
        let mut has_started = false;
        let mut gap_monitor = EventGapMonitor::default();
        loop {
            while let Some(chunk) = body
                .take(&mut connection.buffer)
                .map_err(|_| ReadError::Broken)?
            {
                let complete_events = events.parse(chunk).map_err(|_| ReadError::Broken)?;
                if !complete_events.is_empty() {
                    gap_monitor.on_event(self.exchange);
                    self.exchange
                        .forward(&mut pending_head, complete_events, events.last_id());
                    if !std::mem::replace(&mut has_started, true) {
                        self.report_started();
                    }
                }
            }
            if body.is_done() {
                // A body that ends in the middle of an event is truncated, even if its framing is complete.
                if events.has_partial() && self.exchange.route.resumable {
                    return Err(ReadError::Broken);
                }
                // The last event of a complete body may lack its blank line.
                let last = events.last_id();
                self.exchange
                    .forward(&mut pending_head, events.into_partial(), last);
                self.exchange.complete();
                return Ok(completed(connection));
            }
            poll_fn(|cx| self.exchange.poll_queue_space(cx)).await;
            read_timeout.fill(connection).await?;
        }
    }

    /// Forwards a response that is not a stream once it is complete, or in parts once it exceeds the buffer.
    async fn forward_response(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        head: &ResponseHead,
        framing: Framing,
    ) -> Result<ReadOutcome, ReadError> {
        // Only streams can be resumed.
        if self.exchange.has_begun() {
            return Ok(Outcome::Error.into());
        }
        self.report_started();
        let mut pending_head = Some(client_head(head));
        if let (Some(pending_head), Framing::Length(length)) = (&mut pending_head, framing)
            && length > MAX_BUFFERED_BYTES as u64
        {
            pending_head.headers.insert(CONTENT_LENGTH, length.into());
        }
        let (mut body, mut buffered) = (BodyReader::new(framing), BytesMut::new());
        loop {
            while let Some(chunk) = body
                .take(&mut connection.buffer)
                .map_err(|_| ReadError::Broken)?
            {
                buffered.extend_from_slice(&chunk);
            }
            if body.is_done() {
                self.exchange.finish(&mut pending_head, buffered.freeze());
                return Ok(completed(connection));
            }
            if buffered.len() > MAX_BUFFERED_BYTES {
                self.exchange
                    .forward(&mut pending_head, buffered.split().freeze(), None);
                poll_fn(|cx| self.exchange.poll_queue_space(cx)).await;
            }
            read_more(connection, read_timeout, &mut body).await?;
        }
    }

    /// Reads an error response. It is forwarded at once, or stored if a retry at another worker may succeed.
    async fn forward_failure(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        head: &ResponseHead,
        framing: Framing,
    ) -> Result<ReadOutcome, ReadError> {
        let (mut body, mut buffered) = (BodyReader::new(framing), BytesMut::new());
        while !body.is_done() {
            while let Some(chunk) = body
                .take(&mut connection.buffer)
                .map_err(|_| ReadError::Broken)?
            {
                buffered.extend_from_slice(&chunk);
            }
            if buffered.len() > MAX_BUFFERED_BYTES {
                return Err(ReadError::Broken);
            }
            if !body.is_done() {
                read_more(connection, read_timeout, &mut body).await?;
            }
        }
        let error_outcome = ReadOutcome {
            result: WorkerResult::from_outcome(Outcome::Error),
            ..completed(connection)
        };
        if self.exchange.has_begun() {
            return Ok(error_outcome);
        }
        let mut pending_head = Some(client_head(head));
        // Forwarded, these statuses would promise that the request has not run, which the worker has not stated.
        let claims_not_executed = matches!(
            head.status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
        );
        match (claims_not_executed, head.status.is_server_error()) {
            (true, _) => {}
            (false, true) => self
                .exchange
                .store_failure(client_head(head), buffered.freeze()),
            (false, false) => {
                self.exchange.finish(&mut pending_head, buffered.freeze());
                return Ok(completed(connection));
            }
        }
        Ok(error_outcome)
    }
}

/// Reads more of a body that is not a stream. A body without a declared length ends with its connection, unless that is
/// reset.
async fn read_more(
    connection: &mut Connection,
    read_timeout: &mut ReadTimeout,
    body: &mut BodyReader,
) -> Result<(), ReadError> {
    let filled = read_timeout.fill(connection).await;
    match filled.is_err() && connection.has_ended() && body.ends_with_connection() {
        true => Ok(()),
        false => filled,
    }
}

/// The outcome of a complete response. The connection can be reused unless it holds surplus bytes.
fn completed(connection: &Connection) -> ReadOutcome {
    let reuse = connection
        .buffer
        .is_empty()
        .then_some(ConnectionReuse { idle_timeout: None });
    ReadOutcome {
        result: WorkerResult::from_outcome(Outcome::Completed),
        not_run: false,
        reuse,
    }
}

/// The head of a worker's response as the client gets it.
fn client_head(head: &ResponseHead) -> ForwardedHead {
    let mut headers: HeaderMap = head.headers.clone();
    strip_hop_by_hop_headers(&mut headers);
    headers.remove(INSTANCE_LOAD);
    ForwardedHead {
        status: head.status,
        headers,
    }
}

/// Counts a stream in which the time between two events exceeded the route's target, once per stream.
#[derive(Default)]
struct EventGapMonitor {
    last_event: Option<f64>,
    counted: bool,
}

impl EventGapMonitor {
    fn on_event(&mut self, exchange: &Exchange) {
        let now = exchange.shared().clock.now();
        let gap = self.last_event.replace(now).map(|last| now - last);
        let is_late = gap
            .zip(exchange.route.max_event_gap)
            .is_some_and(|(gap, target)| gap > target);
        if is_late && exchange.mode == ExchangeMode::Live && !self.counted {
            self.counted = true;
            let counters = &exchange.shared().counters;
            counters.on_late_pause(&exchange.route.label);
        }
    }
}
