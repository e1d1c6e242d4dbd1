//! Reads a worker's answer, and passes on what is certain of it.

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
use mintlb_core::work::AllocId;
use mintlb_scheduler::Outcome;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until, timeout};

/// An answer that is no stream is held until it is whole, up to so many bytes.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Answers to earlier requests that are passed over in one send.
const MAX_SURPLUS_RESPONSES: usize = 2;
/// The body of a refusal, or of an item's failure, says nothing more: it is waited for so long, only to keep the
/// connection.
const UNUSED_BODY: Duration = Duration::from_millis(50);
/// A worker that says nothing for so long, and for so many times what is usual, may be gone: what may run again and goes
/// on elsewhere is sent elsewhere.
const MIN_READ_TIMEOUT: f64 = 0.8;
const READ_TIMEOUT_TARGETS: f64 = 2.5;
const READ_TIMEOUT_GAPS: f64 = 3.0;

/// Reads the answer to one send.
pub struct Reading<'a> {
    /// Who answers.
    pub worker: &'a WorkerEntry,
    /// To what.
    pub exchange: &'a Arc<Exchange>,
    /// The send's number.
    pub attempt: AllocId,
}

/// The connection may carry another request, and stays open for so long when idle, if the worker says so.
pub struct Reuse {
    /// See [`AnswerHead::keep_alive`].
    pub idle: Option<Duration>,
}

/// What came of reading an answer.
pub struct Answered {
    /// For the decisions.
    pub event: WorkerEvent,
    /// The worker says that it has not run the request.
    pub not_run: bool,
    /// Whether the connection is good for another request.
    pub reuse: Option<Reuse>,
}

impl From<Outcome> for Answered {
    fn from(outcome: Outcome) -> Answered {
        Answered {
            event: WorkerEvent::with(outcome),
            not_run: false,
            reuse: None,
        }
    }
}

/// The worker broke off, sent what is no answer, or said nothing for too long: the request may have run.
enum Failed {
    Broken,
    TimedOut,
}

impl From<Failed> for Answered {
    fn from(failed: Failed) -> Answered {
        match failed {
            Failed::Broken => Outcome::Dropped.into(),
            Failed::TimedOut => Outcome::TimedOut.into(),
        }
    }
}

/// Tells when a worker has been silent for too long. One timer a send: it is set anew only when it rings.
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

impl Reading<'_> {
    /// Reads the whole answer.
    pub async fn read(&self, connection: &mut Connection) -> Answered {
        self.try_read(connection)
            .await
            .unwrap_or_else(Answered::from)
    }

    async fn try_read(&self, connection: &mut Connection) -> Result<Answered, Failed> {
        let mut read_timeout = ReadTimeout::new(self.read_timeout_seconds());
        let head = self.own_head(connection, &mut read_timeout).await?;
        let load = head
            .headers
            .get(LOAD)
            .and_then(|load| Load::read(load.to_str().ok()?));
        if let Some(load) = load {
            self.worker
                .record_load(load, self.exchange.shared().clock.now());
        }
        let mut answered = self.sort(connection, &mut read_timeout, &head).await?;
        answered.event.free_slots = load.map(|load| load.free());
        let reuse = Reuse {
            idle: head.keep_alive(),
        };
        answered.reuse = answered.reuse.filter(|_| head.keeps_alive).map(|_| reuse);
        Ok(answered)
    }

    /// How many seconds the worker may be silent. Only what may be sent again, and is better off elsewhere then, has
    /// such a bound; all else ends with its own time.
    fn read_timeout_seconds(&self) -> Option<f64> {
        let terms = &self.exchange.terms;
        let another = terms.idempotent
            && self.exchange.may_be_sent()
            && self.exchange.mode == ExchangeMode::Live;
        let usual = terms
            .gap
            .map_or(0.0, |gap| READ_TIMEOUT_GAPS * gap)
            .max(READ_TIMEOUT_TARGETS * terms.target);
        another.then_some(usual.max(MIN_READ_TIMEOUT))
    }

    /// The head of the answer to this request; those to earlier ones are passed over, and the connection then carries no
    /// other request.
    async fn own_head(
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
                    connection.spoil();
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

    /// Takes an answer by what its head says.
    async fn sort(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        head: &AnswerHead,
    ) -> Result<Answered, Failed> {
        let framing = match self.exchange.request.method == Method::HEAD {
            true => Framing::Length(0),
            false => head.framing,
        };
        let misplaced = head.status == StatusCode::MISDIRECTED_REQUEST;
        if misplaced || head.headers.contains_key(NOT_EXECUTED) {
            if misplaced && !self.exchange.request.headers.contains_key("expect-version") {
                self.worker.take_out_of_service();
            }
            let complete = self.skip_soon(connection, read_timeout, framing).await;
            let reuse = (complete && !misplaced).then_some(Reuse { idle: None });
            return Ok(Answered {
                event: WorkerEvent::with(Outcome::Full),
                not_run: true,
                reuse,
            });
        }
        if head.status.is_success() {
            let stream = self.is_stream(head);
            // A stream that ends with its connection may have been cut between two events.
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

    /// Passes over a body that is not used; whether it came whole, and soon.
    async fn skip_soon(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        framing: Framing,
    ) -> bool {
        let rest = timeout(UNUSED_BODY, self.skip(connection, read_timeout, framing)).await;
        matches!(rest, Ok(Ok(())))
    }

    /// The head alone tells how an item failed, also where the rest of the answer breaks off.
    async fn item_failure(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        head: &AnswerHead,
        framing: Framing,
    ) -> Answered {
        let complete = self.skip_soon(connection, read_timeout, framing).await;
        self.exchange.fail_item(client_head(head));
        let reuse = complete.then_some(Reuse { idle: None });
        Answered {
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
        self.exchange
            .shared()
            .event_sender
            .send(Event::Started(self.attempt))
            .ok();
    }

    /// Passes events on as they come.
    async fn events(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        head: &AnswerHead,
        framing: Framing,
    ) -> Result<Answered, Failed> {
        let (mut body, mut given) = (BodyReader::new(framing), Some(client_head(head)));
        let mut events = EventReader::after(self.exchange.last_event());
        let mut started = false;
        loop {
            while let Some(chunk) = body
                .take(&mut connection.buffer)
                .map_err(|_| Failed::Broken)?
            {
                let complete = events.take(chunk).map_err(|_| Failed::Broken)?;
                if !complete.is_empty() {
                    self.exchange.pass(&mut given, complete, events.last());
                    if !std::mem::replace(&mut started, true) {
                        self.started();
                    }
                }
            }
            if body.is_done() {
                // A worker that ends in the middle of an event has broken off, whatever the framing says.
                if events.has_partial() && self.exchange.terms.resumable {
                    return Err(Failed::Broken);
                }
                // The framing says that the body is whole, so what is left is its end.
                let last = events.last();
                self.exchange.pass(&mut given, events.into_rest(), last);
                self.exchange.complete();
                return Ok(completed(connection));
            }
            poll_fn(|cx| self.exchange.poll_queue_space(cx)).await;
            read_timeout.fill(connection).await?;
        }
    }

    /// Passes an answer on when it is whole, or when it is too long to be held.
    async fn success(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        head: &AnswerHead,
        framing: Framing,
    ) -> Result<Answered, Failed> {
        // An answer that is no stream does not go on where another broke off.
        if self.exchange.has_begun() {
            return Ok(Outcome::Error.into());
        }
        self.started();
        let mut given = Some(client_head(head));
        if let (Some(given), Framing::Length(length)) = (&mut given, framing)
            && length > MAX_BUFFERED_BYTES as u64
        {
            given.headers.insert(CONTENT_LENGTH, length.into());
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
                self.exchange.finish(&mut given, buffered.freeze());
                return Ok(completed(connection));
            }
            if buffered.len() > MAX_BUFFERED_BYTES {
                self.exchange
                    .pass(&mut given, buffered.split().freeze(), None);
                poll_fn(|cx| self.exchange.poll_queue_space(cx)).await;
            }
            more(connection, read_timeout, &mut body).await?;
        }
    }

    /// A worker's own failure is the answer, unless another worker may do better.
    async fn failure(
        &self,
        connection: &mut Connection,
        read_timeout: &mut ReadTimeout,
        head: &AnswerHead,
        framing: Framing,
    ) -> Result<Answered, Failed> {
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
                more(connection, read_timeout, &mut body).await?;
            }
        }
        let failed = Answered {
            event: WorkerEvent::with(Outcome::Error),
            ..completed(connection)
        };
        if self.exchange.has_begun() {
            return Ok(failed);
        }
        let mut given = Some(client_head(head));
        // These would promise that it has not run, which only the worker can say, and has not said.
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
                self.exchange.finish(&mut given, buffered.freeze());
                return Ok(completed(connection));
            }
        }
        Ok(failed)
    }
}

/// Waits for more of a body that is no stream's. One without a length ends with its connection, unless that is reset.
async fn more(
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

/// The answer is whole, and the connection good unless more has come, or something was out of order.
fn completed(connection: &Connection) -> Answered {
    let reuse = connection.buffer.is_empty().then_some(Reuse { idle: None });
    Answered {
        event: WorkerEvent::with(Outcome::Completed),
        not_run: false,
        reuse,
    }
}

/// A worker's head as the client gets it.
fn client_head(head: &AnswerHead) -> Head {
    let mut headers: HeaderMap = head.headers.clone();
    strip_connection_headers(&mut headers);
    headers.remove(LOAD);
    Head {
        status: head.status,
        headers,
    }
}
