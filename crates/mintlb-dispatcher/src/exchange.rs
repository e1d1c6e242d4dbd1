//! The state of one request between its client and its workers: request, progress of the response, and wakers. The
//! downstream side (or the batch executor) reads the response while the upstream side writes it.
//!
//! A request may take several attempts, one after the other. Only valid parts of the response pass: complete events of
//! a stream, in order, each once; other responses completely, or the head once the body exceeds the buffer.

use crate::prompts::{PREFERRED, Prompt};
use crate::routing::RouteTerms;
use crate::shared::Shared;
use crate::statistics::{PromptPlacement, Start};
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode};
use bytes::Bytes;
use mintlb_core::reducer::Event;
use mintlb_core::work::{Answer, Payload, Responder, Submission};
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

/// Bytes queued for a slow client before its worker is no longer read (backpressure).
const MAX_QUEUED_BYTES: usize = 256 << 10;
/// A request with less than this many seconds left is not retried.
const MIN_TIME_LEFT: f64 = 0.05;
/// `Retry-After` in seconds for a request that was given up before any attempt.
const UNSENT_RETRY_AFTER: f64 = 0.05;
/// Number of workers that a request remembers as attempted.
const MAX_ATTEMPTED: usize = 4;

/// A client's request.
#[derive(Debug)]
pub struct ClientRequest {
    /// Its method.
    pub method: Method,
    /// Path and query as received.
    pub target: String,
    /// Its headers, without hop-by-hop headers and those that each attempt sets.
    pub headers: HeaderMap,
    /// Its id.
    pub id: HeaderValue,
    /// The last event that its client has.
    pub last_event_id: Option<u64>,
}

/// How workers' failures are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeMode {
    /// A client waits: after a failure the request is retried elsewhere if that is allowed.
    Live,
    /// An item of a batch job: each failure is reported with the worker's status.
    Item,
}

/// The head of a response, as the client gets it.
#[derive(Clone, Debug)]
pub struct Head {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
}

/// How a request ended without a worker's response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// It has not run and never will; `Retry-After` in seconds.
    NotRun(f64),
    /// It may have run.
    Unknown,
    /// Its deadline has passed.
    TimedOut,
}

/// How the body of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Complete,
    Broken,
}

/// The next step of reading a response's body.
pub enum BodyChunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    Complete,
    /// The body will never be complete.
    Broken,
}

#[derive(Default)]
struct State {
    /// Its current number at the reducer.
    request_number: u64,
    /// Workers that were sent its complete head.
    attempts: u32,
    attempted: [Option<u64>; MAX_ATTEMPTED],
    may_have_run: bool,
    /// When the last attempt's head was about to reach its worker, in seconds of the clock.
    sent_at: f64,
    head: Option<Head>,
    /// The reader has got the head, or bytes are queued for it.
    begun: bool,
    /// The reader has got the head.
    head_taken: bool,
    refusal: Option<Refusal>,
    /// A worker's failure, which is the response if no retry succeeds.
    failure: Option<(Head, Bytes)>,
    /// The status of a worker's failure of an item.
    item_failure: Option<StatusCode>,
    queue: VecDeque<Bytes>,
    queued_bytes: usize,
    end: Option<End>,
    /// The last event that was queued for the client.
    last_event: Option<u64>,
    abandoned: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
    preferred: Option<(u64, [Option<u64>; PREFERRED])>,
}

/// One request and the state of its response.
pub struct Exchange {
    /// A client's request.
    pub request: ClientRequest,
    /// Its body.
    pub body: Bytes,
    /// The terms of its route when it was read.
    pub terms: Arc<RouteTerms>,
    /// The service drawn for it.
    pub service: Arc<str>,
    /// Its priority.
    pub priority: u32,
    /// What its headers say of its prompt.
    pub prompt: Option<Prompt>,
    /// How workers' failures are handled.
    pub mode: ExchangeMode,
    /// When it was read, and its deadline, in seconds of the clock.
    pub arrived: f64,
    /// See `arrived`.
    pub limit: f64,
    shared: Arc<Shared>,
    state: Mutex<State>,
}

/// The parameters of a new exchange.
pub struct NewExchange {
    /// See [`Exchange`].
    pub request: ClientRequest,
    /// See [`Exchange`].
    pub body: Bytes,
    /// See [`Exchange`].
    pub terms: Arc<RouteTerms>,
    /// See [`Exchange`].
    pub service: Arc<str>,
    /// See [`Exchange`].
    pub priority: u32,
    /// See [`Exchange`].
    pub mode: ExchangeMode,
    /// Its project type.
    pub project_type: usize,
    /// Seconds from now to its deadline.
    pub time_budget: f64,
}

impl Exchange {
    /// Submits a request to the reducer. A reader that stops early calls [`Exchange::abandon`].
    pub fn start(shared: &Arc<Shared>, new: NewExchange) -> Arc<Exchange> {
        let NewExchange {
            request,
            body,
            terms,
            service,
            priority,
            mode,
            project_type,
            time_budget,
        } = new;
        let header = |name: &str| {
            request
                .headers
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        let prompt = Prompt::read(header("mintlb-prompt-prefix"), header("mintlb-token-usage"));
        let arrived = shared.clock.now();
        let state = State {
            last_event: request.last_event_id,
            ..State::default()
        };
        let exchange = Arc::new(Exchange {
            request,
            body,
            terms,
            service,
            priority,
            prompt,
            mode,
            arrived,
            limit: arrived + time_budget,
            shared: shared.clone(),
            state: Mutex::new(state),
        });
        exchange.clone().submit(project_type, arrived);
        exchange
    }

    fn submit(self: Arc<Self>, project_type: usize, now: f64) {
        let id = self.shared.numbers.next();
        self.state.lock().request_number = id;
        let once = !self.terms.idempotent;
        let payload = Payload {
            body: self.body.clone(),
            non_idempotent: once,
            protocol_data: self.clone(),
        };
        let time_budget = self.limit - now;
        let answer = Box::new(Settlement(self));
        let arrival = Submission {
            id,
            client_request_id: None,
            project_type,
            customer: None,
            slots: 1.0,
            arrived_at: now,
            time_budget,
            payload,
            responder: answer,
        };
        let shared = match arrival.payload.protocol_data.downcast_ref::<Exchange>() {
            Some(exchange) => exchange.shared.clone(),
            None => return,
        };
        shared.event_sender.send(Event::Submitted(arrival)).ok();
    }

    /// State shared by the dispatcher's tasks.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    // Called by the upstream side.

    /// Whether it may be sent to a worker at all.
    pub fn may_be_sent(&self) -> bool {
        let state = self.state.lock();
        state.attempts < self.terms.max_attempts || self.mode == ExchangeMode::Item
    }

    /// Whether it was sent to this worker before.
    pub fn has_attempted(&self, worker: u64) -> bool {
        self.state.lock().attempted.contains(&Some(worker))
    }

    /// Records that the complete head is about to reach this worker, which may then start.
    pub fn sent(&self, worker: u64) {
        let mut state = self.state.lock();
        let position = state.attempts as usize % MAX_ATTEMPTED;
        state.attempted[position] = Some(worker);
        state.attempts += 1;
        state.may_have_run = true;
        state.sent_at = self.shared.clock.now();
    }

    /// Counts its first event, or its head if it is no stream, at this worker.
    pub fn count_start(&self, worker: u64) {
        let placement = self.long_prompt().and_then(|_| self.placement(worker));
        let sent_at = self.state.lock().sent_at;
        let start = Start {
            waited: sent_at - self.arrived,
            latency: self.shared.clock.now() - self.arrived,
            target: self.terms.target,
            placement,
        };
        self.shared.counters.on_start(&self.terms.name, start);
    }

    /// Whether this worker is the one that was preferred for its prompt, as far as it was ranked.
    fn placement(&self, worker: u64) -> Option<PromptPlacement> {
        let (_, preferred) = self.state.lock().preferred?;
        Some(match preferred.contains(&Some(worker)) {
            true => PromptPlacement::Preferred,
            false => PromptPlacement::Elsewhere,
        })
    }

    /// Records the worker's statement that the last attempt has not run.
    pub fn not_run(&self, ran_before: bool) {
        self.state.lock().may_have_run = ran_before;
    }

    /// Revokes [`Exchange::sent`]: the head was not written completely.
    pub fn not_sent(&self, ran_before: bool) {
        let mut state = self.state.lock();
        state.attempts -= 1;
        state.may_have_run = ran_before;
    }

    /// Whether an earlier attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.state.lock().may_have_run
    }

    /// The last event sent to the client or queued for it.
    pub fn last_event(&self) -> Option<u64> {
        self.state.lock().last_event
    }

    /// Whether part of a response has passed, so that any retry has to resume there.
    pub fn has_begun(&self) -> bool {
        self.state.lock().begun
    }

    /// Queues part of a response. The first part brings the head; the head of a later attempt is dropped, as the
    /// response keeps its first.
    pub fn pass(&self, head: &mut Option<Head>, bytes: Bytes, last_event: Option<u64>) {
        let mut state = self.state.lock();
        if !state.begun {
            state.head = head.take();
            state.begun = true;
        }
        state.last_event = last_event;
        if !bytes.is_empty() {
            state.queued_bytes += bytes.len();
            state.queue.push_back(bytes);
        }
        wake(&mut state);
    }

    /// Whether a response that has begun can be resumed by another attempt.
    pub fn can_resume(&self) -> bool {
        can_resume(&self.state.lock(), &self.terms)
    }

    /// Queues the last part of a response that is no stream.
    pub fn finish(&self, head: &mut Option<Head>, bytes: Bytes) {
        let last_event = self.last_event();
        self.pass(head, bytes, last_event);
        self.complete();
    }

    /// Records a worker's failure of an item, also after other attempts produced part of its output.
    pub fn fail_item(&self, head: Head) {
        let mut state = self.state.lock();
        state.item_failure = Some(head.status);
        let end = if state.begun {
            End::Broken
        } else {
            End::Complete
        };
        if !state.begun {
            (state.head, state.begun) = (Some(head), true);
        }
        state.end = state.end.or(Some(end));
        wake(&mut state);
    }

    /// The status of a worker's failure of an item.
    pub fn item_failure(&self) -> Option<StatusCode> {
        self.state.lock().item_failure
    }

    /// Completes the response.
    pub fn complete(&self) {
        let mut state = self.state.lock();
        state.end = state.end.or(Some(End::Complete));
        wake(&mut state);
    }

    /// Ends the response as truncated.
    pub fn truncate(&self) {
        let mut state = self.state.lock();
        state.end = state.end.or(Some(End::Broken));
        wake(&mut state);
    }

    /// Stores a worker's failure as the response if no retry succeeds.
    pub fn store_failure(&self, head: Head, body: Bytes) {
        self.state.lock().failure = Some((head, body));
    }

    /// Ready while fewer than `MAX_QUEUED_BYTES` are queued for the client.
    pub fn poll_queue_space(&self, cx: &Context) -> Poll<()> {
        let mut state = self.state.lock();
        if state.queued_bytes < MAX_QUEUED_BYTES {
            return Poll::Ready(());
        }
        state.writer = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Its prompt, if it is to go to a worker that is likely to have it cached.
    pub fn long_prompt(&self) -> Option<Prompt> {
        let is_placed = self.terms.session_affinity && self.mode == ExchangeMode::Live;
        self.prompt.filter(|prompt| is_placed && prompt.is_long())
    }

    /// The workers preferred for its prompt, ranked once per age of the worker table.
    pub fn preferred(
        &self,
        age: u64,
        rank: impl FnOnce() -> [Option<u64>; PREFERRED],
    ) -> [Option<u64>; PREFERRED] {
        let mut state = self.state.lock();
        match state.preferred {
            Some((ranked_at, preferred)) if ranked_at == age => preferred,
            _ => state.preferred.insert((age, rank())).1,
        }
    }

    // Called by the reader.

    /// The head of the response, or why there is none.
    pub fn poll_head(&self, cx: &Context) -> Poll<Result<Head, Refusal>> {
        let mut state = self.state.lock();
        if let Some(head) = state.head.take() {
            state.head_taken = true;
            return Poll::Ready(Ok(head));
        }
        if let Some(refusal) = state.refusal {
            return Poll::Ready(Err(refusal));
        }
        state.reader = Some(cx.waker().clone());
        Poll::Pending
    }

    /// The next chunk of the response's body.
    pub fn poll_chunk(&self, cx: &Context) -> Poll<BodyChunk> {
        let mut state = self.state.lock();
        if let Some(bytes) = state.queue.pop_front() {
            state.queued_bytes -= bytes.len();
            if let Some(writer) = state.writer.take() {
                writer.wake();
            }
            return Poll::Ready(BodyChunk::Data(bytes));
        }
        match state.end {
            Some(End::Complete) => Poll::Ready(BodyChunk::Complete),
            Some(End::Broken) => Poll::Ready(BodyChunk::Broken),
            None => {
                state.reader = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    /// The unread bytes of the body, if it is complete.
    pub fn remaining_length(&self) -> Option<u64> {
        let state = self.state.lock();
        (state.end == Some(End::Complete)).then_some(state.queued_bytes as u64)
    }

    /// Cancels the request: its client has disconnected.
    pub fn abandon(&self) {
        let mut state = self.state.lock();
        if std::mem::replace(&mut state.abandoned, true)
            || state.end.is_some()
            || state.refusal.is_some()
        {
            return;
        }
        self.shared
            .event_sender
            .send(Event::ClientLeft(state.request_number))
            .ok();
    }

    // Decisions of the reducer.

    /// The reducer makes no further attempt under this number: submits the request again, or ends it.
    fn retry_or_conclude(self: Arc<Self>, refusal: Refusal) {
        let now = self.shared.clock.now();
        let retry = {
            let mut state = self.state.lock();
            if state.abandoned || state.end.is_some() {
                return;
            }
            // An idempotent request that has begun or may have run gets another deadline at the scheduler.
            let is_resumable_or_unconfirmed = state.begun && can_resume(&state, &self.terms)
                || !state.begun && state.may_have_run && state.failure.is_none();
            let allowed = self.terms.idempotent && state.attempts < self.terms.max_attempts;
            let in_time = now + MIN_TIME_LEFT < self.limit && !self.shared.is_exiting();
            let retry = is_resumable_or_unconfirmed
                && allowed
                && in_time
                && self.mode == ExchangeMode::Live;
            if !retry {
                conclude(&mut state, refusal);
                wake(&mut state);
            }
            retry
        };
        if retry {
            let table = self.shared.routing();
            let number = table
                .and_then(|table| table.type_of(&self.terms.name, &self.service, self.priority));
            match number {
                Some(number) => self.submit(number, now),
                None => {
                    let mut state = self.state.lock();
                    conclude(&mut state, refusal);
                    wake(&mut state);
                }
            }
        }
    }
}

/// The final state of a response that no worker completes.
fn conclude(state: &mut State, refusal: Refusal) {
    if state.begun {
        state.end = Some(End::Broken);
        return;
    }
    if let Some((head, body)) = state.failure.take() {
        state.queued_bytes += body.len();
        state.queue.push_back(body);
        (state.head, state.begun, state.end) = (Some(head), true, Some(End::Complete));
        return;
    }
    state.refusal = Some(match refusal {
        Refusal::NotRun(_) if state.may_have_run => Refusal::Unknown,
        // No worker was sent its complete head, and none will be.
        Refusal::Unknown | Refusal::TimedOut if !state.may_have_run => {
            Refusal::NotRun(UNSENT_RETRY_AFTER)
        }
        refusal => refusal,
    });
}

fn can_resume(state: &State, terms: &RouteTerms) -> bool {
    terms.resumable && state.last_event.is_some()
}

fn wake(state: &mut State) {
    if let Some(reader) = state.reader.take() {
        reader.wake();
    }
}

/// Receives the reducer's final decision on a request.
struct Settlement(Arc<Exchange>);

impl Responder for Settlement {
    fn respond(self: Box<Self>, answer: Answer) {
        let exchange = self.0;
        // The last attempt ends shortly before the client's deadline.
        let over = exchange.shared.clock.now() + MIN_TIME_LEFT >= exchange.limit;
        match answer {
            // The upstream side has forwarded the response already.
            Answer::Completed(_) => {}
            Answer::Deferred(_) | Answer::Aborted if over => {
                exchange.retry_or_conclude(Refusal::TimedOut)
            }
            Answer::Deferred(retry_after) => {
                exchange.retry_or_conclude(Refusal::NotRun(retry_after))
            }
            Answer::Aborted | Answer::Duplicate => exchange.retry_or_conclude(Refusal::Unknown),
        }
    }
}
