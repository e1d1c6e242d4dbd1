//! Reads a worker's response to one attempt and forwards what is known to be valid.

use crate::connection::Connection;
use crate::events::EventReader;
use crate::exchange::{Exchange, ExchangeMode, Head};
use crate::load::Load;
use crate::request::{LOAD, NOT_EXECUTED, REQUEST_ID, SIGNATURE, strip_connection_headers};
use crate::upstream::WorkerEvent;
use crate::wire::{AnswerHead, BodyReader, Framing};
use crate::workers::WorkerEntry;
use axum::http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use axum::http::{HeaderMap, Method, StatusCode};
use bytes::BytesMut;
use mintlb_common::configuration::RouteType;
use mintlb_core::reducer::Event;
use mintlb_core::work::AllocationId;
use mintlb_scheduler::Outcome;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until, timeout};

/// A response that is no event stream is buffered until it is complete, up to this many bytes.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Responses to earlier requests that are skipped in one attempt.
const MAX_SURPLUS_RESPONSES: usize = 2;
/// How long the unused body of a rejection, or of an item's failure, is awaited, only so that the connection can be
/// reused.
const UNUSED_BODY_TIMEOUT: Duration = Duration::from_millis(50);
/// Read timeout in seconds, and in multiples of the route's latency target and event gap; the largest of the three
/// applies. An idempotent request is then retried at another worker.
const MIN_READ_TIMEOUT: f64 = 0.8;
const READ_TIMEOUT_TARGETS: f64 = 2.5;
const READ_TIMEOUT_GAPS: f64 = 3.0;

/// Reads the response to one attempt.
pub struct ResponseReader<'a> {
    /// The worker that responds.
    pub worker: &'a WorkerEntry,
    /// The request it responds to.
    pub exchange: &'a Arc<Exchange>,
    /// The attempt's number.
    pub attempt: AllocationId,
}

/// The connection may carry another request.
pub struct Reuse {
    /// The worker's idle timeout, see [`AnswerHead::declared_idle_timeout`].
    pub idle: Option<Duration>,
}

/// The result of reading a response.
pub struct ReadOutcome {
    /// For the scheduler.
    pub event: WorkerEvent,
    /// The worker says that it has not run the request.
    pub not_run: bool,
    /// How the connection may be reused, if at all.
    pub reuse: Option<Reuse>,
}

impl From<Outcome> for ReadOutcome {
    fn from(outcome: Outcome) -> ReadOutcome {
        ReadOutcome {
            event: WorkerEvent::with(outcome),
            not_run: false,
            reuse: None,
        }
    }
}

/// The connection broke, its bytes were no valid response, or the read timed out: the request may have run.
enum Failed {
    Broken,
    TimedOut,
}

impl From<Failed> for ReadOutcome {
    fn from(failed: Failed) -> ReadOutcome {
        match failed {
            Failed::Broken => Outcome::Dropped.into(),
            Failed::TimedOut => Outcome::TimedOut.into(),
        }
    }
}

/// Bounds the time between two reads of a worker's response. One timer per attempt, reset only when it fires.
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

    async fn fill(&mut self, connection: &mut Connection) -> Result<(), Failed> {
        let Some(limit) = self.limit else {
            return connection.fill().await.map_err(|_| Failed::Broken);
        };
        loop {
            tokio::select! {
                biased;
                filled = connection.fill() => {
                    self.last_read = Instant::now();
                    return filled.map_err(|_| Failed::Broken);
                }
                () = &mut self.timer => {
                    if self.last_read.elapsed() >= limit {
                        return Err(Failed::TimedOut);
                    }
                    self.timer.as_mut().reset(self.last_read + limit);
                }
            }
        }
    }
}

impl ResponseReader<'_> {
    /// Reads the complete response.
    pub async fn read(&self, connection: &mut Connection) -> ReadOutcome {
        self.try_read(connection)
            .await
            .unwrap_or_else(ReadOutcome::from)
    }

    async fn try_read(&self, connection: &mut Connection) -> Result<ReadOutcome, Failed> {
        let mut read_timeout = ReadTimeout::new(self.read_timeout_seconds());
        let head = self.read_head(connection, &mut read_timeout).await?;
        let load = head
            .headers
            .get(LOAD)
            .and_then(|load| Load::read(load.to_str().ok()?));
        if let Some(load) = load {
            self.exchange.shared().record_load(self.worker, load);
        }
        let mut answered = self
            .read_by_status(connection, &mut read_timeout, &head)
            .await?;
        answered.event.free_slots = load.map(|load| load.free());
        let reuse = Reuse {
            idle: head.declared_idle_timeout(),
        };
        answered.reuse = answered.reuse.filter(|_| head.keeps_alive).map(|_| reuse);
        Ok(answered)
    }

    /// The read timeout in seconds. Only requests that may be retried elsewhere have one; all others end at their own
    /// deadline.
    fn read_timeout_seconds(&self) -> Option<f64> {
        let terms = &self.exchange.terms;
        let may_retry = terms.idempotent
            && self.exchange.may_be_sent()
            && self.exchange.mode == ExchangeMode::Live;
        let expected = terms
            .gap
            .map_or(0.0, |gap| READ_TIMEOUT_GAPS * gap)
            .max(READ_TIMEOUT_TARGETS * terms.target);
        may_retry.then_some(expected.max(MIN_READ_TIMEOUT))
    }

    /// The head of the response to this request. Responses to earlier requests are skipped, after which the connection
    /// is not reused.
    async fn read_head(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
    ) -> Result<AnswerHead, Failed> {
        for _ in 0..=MAX_SURPLUS_RESPONSES {
            let head = loop {
                match AnswerHead::take(&mut connection.buffer) {
                    Ok(Some(head)) => break head,
                    Ok(None) => read_timeout.fill(connection).await?,
                    Err(_) => return Err(Failed::Broken),
                }
            };
            let mut ids = head.headers.get_all(REQUEST_ID).iter();
            match (ids.next(), ids.next()) {
                (Some(id), None) if *id == self.exchange.request.id => return Ok(head),
                (Some(_), None) if head.framing != Framing::UntilClose => {
                    connection.disable_reuse();
                    self.skip(connection, read_timeout, head.framing).await?;
                }
                _ => return Err(Failed::Broken),
            }
        }
        Err(Failed::Broken)
    }

    async fn skip(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        framing: Framing,
    ) -> Result<(), Failed> {
        let mut body = BodyReader::new(framing);
        loop {
            while body
                .take(&mut connection.buffer)
                .map_err(|_| Failed::Broken)?
                .is_some()
            {}
            if body.is_done() {
                return Ok(());
            }
            read_timeout.fill(connection).await?;
        }
    }

    /// Dispatches on the status and headers of the response.
    async fn read_by_status(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        head: &AnswerHead,
    ) -> Result<ReadOutcome, Failed> {
        let framing = match self.exchange.request.method == Method::HEAD {
            true => Framing::Length(0),
            false => head.framing,
        };
        let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
        if misdirected || head.headers.contains_key(NOT_EXECUTED) {
            if misdirected && !self.exchange.request.headers.contains_key("expect-version") {
                self.worker.take_out_of_service();
            }
            let complete = self.skip_unused(connection, read_timeout, framing).await;
            let reuse = (complete && !misdirected).then_some(Reuse { idle: None });
            return Ok(ReadOutcome {
                event: WorkerEvent::with(Outcome::Full),
                not_run: true,
                reuse,
            });
        }
        if head.status.is_success() {
            let stream = self.is_stream(head);
            // A stream that ends with its connection may be truncated between two events.
            if !head.headers.contains_key(SIGNATURE) || stream && framing == Framing::UntilClose {
                return Err(Failed::Broken);
            }
            return match stream {
                true => self.events(connection, read_timeout, head, framing).await,
                false => self.success(connection, read_timeout, head, framing).await,
            };
        }
        match self.exchange.mode {
            ExchangeMode::Live => self.failure(connection, read_timeout, head, framing).await,
            ExchangeMode::Item => Ok(self
                .item_failure(connection, read_timeout, head, framing)
                .await),
        }
    }

    /// Skips an unused body; returns whether it was complete within [`UNUSED_BODY_TIMEOUT`].
    async fn skip_unused(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        framing: Framing,
    ) -> bool {
        let rest = timeout(
            UNUSED_BODY_TIMEOUT,
            self.skip(connection, read_timeout, framing),
        )
        .await;
        matches!(rest, Ok(Ok(())))
    }

    /// The head alone determines how an item failed, also if the body breaks off.
    async fn item_failure(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        head: &AnswerHead,
        framing: Framing,
    ) -> ReadOutcome {
        let complete = self.skip_unused(connection, read_timeout, framing).await;
        self.exchange.fail_item(client_head(head));
        let reuse = complete.then_some(Reuse { idle: None });
        ReadOutcome {
            event: WorkerEvent::with(Outcome::Completed),
            not_run: false,
            reuse,
        }
    }

    fn is_stream(&self, head: &AnswerHead) -> bool {
        let content_type = head
            .headers
            .get(CONTENT_TYPE)
            .map(|value| value.as_bytes().to_ascii_lowercase());
        matches!(
            self.exchange.terms.route_type,
            RouteType::Streaming | RouteType::Batch
        ) || content_type.is_some_and(|content_type| content_type.starts_with(b"text/event-stream"))
    }

    fn started(&self) {
        if self.exchange.mode == ExchangeMode::Live {
            self.exchange.count_start(self.worker.id);
        }
        self.exchange
            .shared()
            .event_sender
            .send(Event::Started(self.attempt))
            .ok();
    }

    /// Forwards events as they arrive.
    async fn events(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        head: &AnswerHead,
        framing: Framing,
    ) -> Result<ReadOutcome, Failed> {
        let (mut body, mut pending_head) = (BodyReader::new(framing), Some(client_head(head)));
        let mut events = EventReader::after(self.exchange.last_event());
        let mut started = false;
        let mut pauses = PauseCounter::default();
        loop {
            while let Some(chunk) = body
                .take(&mut connection.buffer)
                .map_err(|_| Failed::Broken)?
            {
                let complete = events.take(chunk).map_err(|_| Failed::Broken)?;
                if !complete.is_empty() {
                    pauses.on_event(self.exchange);
                    self.exchange
                        .pass(&mut pending_head, complete, events.last());
                    if !std::mem::replace(&mut started, true) {
                        self.started();
                    }
                }
            }
            if body.is_done() {
                // A body that ends in the middle of an event is truncated, whatever the framing says.
                if events.has_partial() && self.exchange.terms.resumable {
                    return Err(Failed::Broken);
                }
                // The framing says that the body is complete, so the remaining bytes are its end.
                let last = events.last();
                self.exchange
                    .pass(&mut pending_head, events.into_rest(), last);
                self.exchange.complete();
                return Ok(completed(connection));
            }
            poll_fn(|cx| self.exchange.poll_queue_space(cx)).await;
            read_timeout.fill(connection).await?;
        }
    }

    /// Forwards a response once it is complete, or once it exceeds the buffer.
    async fn success(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        head: &AnswerHead,
        framing: Framing,
    ) -> Result<ReadOutcome, Failed> {
        // A response that is no stream can't be resumed.
        if self.exchange.has_begun() {
            return Ok(Outcome::Error.into());
        }
        self.started();
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
                .map_err(|_| Failed::Broken)?
            {
                buffered.extend_from_slice(&chunk);
            }
            if body.is_done() {
                self.exchange.finish(&mut pending_head, buffered.freeze());
                return Ok(completed(connection));
            }
            if buffered.len() > MAX_BUFFERED_BYTES {
                self.exchange
                    .pass(&mut pending_head, buffered.split().freeze(), None);
                poll_fn(|cx| self.exchange.poll_queue_space(cx)).await;
            }
            read_more(connection, read_timeout, &mut body).await?;
        }
    }

    /// A worker's own failure is the response, unless a retry at another worker may succeed.
    async fn failure(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        head: &AnswerHead,
        framing: Framing,
    ) -> Result<ReadOutcome, Failed> {
        let (mut body, mut buffered) = (BodyReader::new(framing), BytesMut::new());
        while !body.is_done() {
            while let Some(chunk) = body
                .take(&mut connection.buffer)
                .map_err(|_| Failed::Broken)?
            {
                buffered.extend_from_slice(&chunk);
            }
            if buffered.len() > MAX_BUFFERED_BYTES {
                return Err(Failed::Broken);
            }
            if !body.is_done() {
                read_more(connection, read_timeout, &mut body).await?;
            }
        }
        let failed = ReadOutcome {
            event: WorkerEvent::with(Outcome::Error),
            ..completed(connection)
        };
        if self.exchange.has_begun() {
            return Ok(failed);
        }
        let mut pending_head = Some(client_head(head));
        // These statuses would assert that it has not run, which the worker has not stated.
        let promises = matches!(
            head.status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
        );
        match (promises, head.status.is_server_error()) {
            (true, _) => {}
            (false, true) => self
                .exchange
                .store_failure(client_head(head), buffered.freeze()),
            (false, false) => {
                self.exchange.finish(&mut pending_head, buffered.freeze());
                return Ok(completed(connection));
            }
        }
        Ok(failed)
    }
}

/// Reads more of a body that is no stream. One without a length ends with its connection, unless that is reset.
async fn read_more(
    connection: &mut Connection,
    read_timeout: &mut ReadTimeout,
    body: &mut BodyReader,
) -> Result<(), Failed> {
    let filled = read_timeout.fill(connection).await;
    match filled.is_err() && connection.has_ended() && body.ends_with_connection() {
        true => Ok(()),
        false => filled,
    }
}

/// The response is complete; the connection can be reused unless it holds surplus bytes.
fn completed(connection: &Connection) -> ReadOutcome {
    let reuse = connection.buffer.is_empty().then_some(Reuse { idle: None });
    ReadOutcome {
        event: WorkerEvent::with(Outcome::Completed),
        not_run: false,
        reuse,
    }
}

/// The head of a worker's response as the client gets it.
fn client_head(head: &AnswerHead) -> Head {
    let mut headers: HeaderMap = head.headers.clone();
    strip_connection_headers(&mut headers);
    headers.remove(LOAD);
    Head {
        status: head.status,
        headers,
    }
}

/// Counts a stream with a pause beyond its route's, once.
#[derive(Default)]
struct PauseCounter {
    last_event: Option<f64>,
    counted: bool,
}

impl PauseCounter {
    fn on_event(&mut self, exchange: &Exchange) {
        let now = exchange.shared().clock.now();
        let pause = self.last_event.replace(now).map(|last| now - last);
        let is_late = pause
            .zip(exchange.terms.gap)
            .is_some_and(|(pause, longest)| pause > longest);
        if is_late && exchange.mode == ExchangeMode::Live && !self.counted {
            self.counted = true;
            let counters = &exchange.shared().counters;
            counters.on_late_pause(&exchange.terms.name);
        }
    }
}
