//! The exchange: state of one request and its response, shared by the downstream and the upstream side. The upstream side
//! writes the response; the reader is the downstream side, or the batch executor.
//!
//! A request may take several attempts, one after the other. Only validated parts of a response are forwarded: complete
//! events of a stream, in order and each once; other responses once they are complete, or once they exceed the buffer.

use crate::prefix_affinity::{PREFERRED_WORKERS, Prompt};
use crate::routing::RouteSettings;
use crate::shared::SharedState;
use crate::statistics::{PromptPlacement, RequestStart};
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode};
use bytes::Bytes;
use mintlb_core::reducer::Event;
use mintlb_core::work::{Answer, Payload, Responder, Submission};
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

/// Bytes queued for a slow reader at which the worker's response is no longer read (backpressure).
const MAX_QUEUED_BYTES: usize = 256 << 10;
/// A request with less than this many seconds left until its deadline is not retried.
const MIN_RETRY_TIME_LEFT: f64 = 0.05;
/// `Retry-After` in seconds for a request that no worker has received.
const UNSENT_RETRY_AFTER: f64 = 0.05;
/// Number of workers that a request remembers having been sent to.
const MAX_REMEMBERED_WORKERS: usize = 4;

/// A client's request.
#[derive(Debug)]
pub struct ClientRequest {
    /// The HTTP method.
    pub method: Method,
    /// The request target: path and query as received.
    pub target: String,
    /// The headers, without hop-by-hop headers and those that each attempt sets.
    pub headers: HeaderMap,
    /// The request id that the client chose.
    pub id: HeaderValue,
    /// The last event that the client already has, if it resumes a stream.
    pub last_event_id: Option<u64>,
}

/// How workers' failures are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeMode {
    /// A client waits for the response: after a failure the request is retried at another worker if that is allowed.
    Live,
    /// An item of a batch job: each failure is reported with the worker's status, and the batch runner decides on retries.
    Item,
}

/// The head of a response, as the client gets it.
#[derive(Clone, Debug)]
pub struct ForwardedHead {
    /// The status code.
    pub status: StatusCode,
    /// The headers, without hop-by-hop headers and the worker's load report.
    pub headers: HeaderMap,
}

/// Why there is no worker's response to forward.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// The request has not run and never will; with `Retry-After` in seconds.
    NotRun(f64),
    /// The request may have run.
    Unknown,
    /// The deadline has passed.
    TimedOut,
}

/// How the body of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyEnd {
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
struct ExchangeState {
    /// The number under which the reducer knows the request now; each submission gets a new one.
    request_number: u64,
    /// Number of workers that the complete head was sent to.
    attempts: u32,
    attempted: [Option<u64>; MAX_REMEMBERED_WORKERS],
    may_have_run: bool,
    /// When the last attempt's complete head was sent, in seconds of the clock.
    sent_at: f64,
    head: Option<ForwardedHead>,
    /// Whether part of a response was queued for the reader.
    begun: bool,
    /// Whether the reader has taken the head.
    head_taken: bool,
    refusal: Option<Refusal>,
    /// A worker's error response, which is forwarded if no retry succeeds.
    failure: Option<(ForwardedHead, Bytes)>,
    /// The status of a worker's error response to an item.
    item_failure: Option<StatusCode>,
    queue: VecDeque<Bytes>,
    queued_bytes: usize,
    end: Option<BodyEnd>,
    /// Id of the last event that was queued for the reader.
    last_event: Option<u64>,
    cancelled: bool,
    reader_waker: Option<Waker>,
    writer_waker: Option<Waker>,
    /// The workers preferred for its prompt, with the generation of the worker table for which they were ranked.
    preferred: Option<(u64, [Option<u64>; PREFERRED_WORKERS])>,
}

/// A request in progress and the state of its response.
pub struct Exchange {
    /// The request as it is sent to workers.
    pub request: ClientRequest,
    /// The complete request body.
    pub body: Bytes,
    /// Settings of its route, as they were when the request was read.
    pub route: Arc<RouteSettings>,
    /// The service that the routing decision chose.
    pub service: Arc<str>,
    /// The priority by which it was routed.
    pub priority: u32,
    /// What the client's headers declare about the prompt.
    pub prompt: Option<Prompt>,
    /// Whether a client waits for the response, or the batch runner.
    pub mode: ExchangeMode,
    /// When the request was submitted, in seconds of the clock.
    pub arrived_at: f64,
    /// The deadline, in seconds of the clock.
    pub deadline: f64,
    shared: Arc<SharedState>,
    state: Mutex<ExchangeState>,
}

/// The parameters of a new exchange.
pub struct ExchangeParameters {
    /// See [`Exchange::request`].
    pub request: ClientRequest,
    /// See [`Exchange::body`].
    pub body: Bytes,
    /// See [`Exchange::route`].
    pub route: Arc<RouteSettings>,
    /// See [`Exchange::service`].
    pub service: Arc<str>,
    /// See [`Exchange::priority`].
    pub priority: u32,
    /// See [`Exchange::mode`].
    pub mode: ExchangeMode,
    /// Number of the project type that the routing decision chose.
    pub project_type: usize,
    /// Seconds from now to its deadline.
    pub time_budget: f64,
}

impl Exchange {
    /// Submits a request to the reducer. A reader that stops reading early has to call [`Exchange::cancel`].
    pub fn start(shared: &Arc<SharedState>, parameters: ExchangeParameters) -> Arc<Exchange> {
        let ExchangeParameters {
            request,
            body,
            route,
            service,
            priority,
            mode,
            project_type,
            time_budget,
        } = parameters;
        let header = |name: &str| {
            request
                .headers
                .get(name)
                .and_then(|value| value.to_str().ok())
        };
        let prompt = Prompt::parse(header("mintlb-prompt-prefix"), header("mintlb-token-usage"));
        let arrived_at = shared.clock.now();
        let state = ExchangeState {
            last_event: request.last_event_id,
            ..ExchangeState::default()
        };
        let exchange = Arc::new(Exchange {
            request,
            body,
            route,
            service,
            priority,
            prompt,
            mode,
            arrived_at,
            deadline: arrived_at + time_budget,
            shared: shared.clone(),
            state: Mutex::new(state),
        });
        exchange.clone().submit(project_type, arrived_at);
        exchange
    }

    fn submit(self: Arc<Self>, project_type: usize, now: f64) {
        let id = self.shared.work_unit_ids.next();
        self.state.lock().request_number = id;
        let runs_at_most_once = !self.route.idempotent;
        let payload = Payload {
            body: self.body.clone(),
            non_idempotent: runs_at_most_once,
            protocol_data: self.clone(),
        };
        let time_budget = self.deadline - now;
        let decision_receiver = Box::new(DecisionReceiver(self));
        let submission = Submission {
            id,
            client_request_id: None,
            project_type,
            customer: None,
            slots: 1.0,
            arrived_at: now,
            time_budget,
            payload,
            responder: decision_receiver,
        };
        let shared = match submission.payload.protocol_data.downcast_ref::<Exchange>() {
            Some(exchange) => exchange.shared.clone(),
            None => return,
        };
        shared.event_sender.send(Event::Submitted(submission)).ok();
    }

    /// State shared by the dispatcher's tasks.
    pub fn shared(&self) -> &Arc<SharedState> {
        &self.shared
    }

    // Methods called by the upstream side.

    /// Whether another attempt is allowed, by the request's own route, whatever project type it has at the scheduler.
    /// Attempts of batch items are limited by the batch runner.
    pub fn may_be_sent(&self) -> bool {
        let state = self.state.lock();
        let may_run_again = self.route.idempotent || !state.may_have_run;
        let has_attempts_left =
            state.attempts < self.route.max_attempts || self.mode == ExchangeMode::Item;
        may_run_again && has_attempts_left
    }

    /// Whether the request was sent to this worker before.
    pub fn has_attempted(&self, worker: u64) -> bool {
        self.state.lock().attempted.contains(&Some(worker))
    }

    /// Records that the complete head is being sent to this worker, which may run the request from then on.
    pub fn record_sent(&self, worker: u64) {
        let mut state = self.state.lock();
        let position = state.attempts as usize % MAX_REMEMBERED_WORKERS;
        state.attempted[position] = Some(worker);
        state.attempts += 1;
        state.may_have_run = true;
        state.sent_at = self.shared.clock.now();
    }

    /// Counts the request as started at this worker: with the first event of a stream, or the head of another response.
    pub fn count_start(&self, worker: u64) {
        let placement = self.long_prompt().and_then(|_| self.placement(worker));
        let sent_at = self.state.lock().sent_at;
        let start = RequestStart {
            waited: sent_at - self.arrived_at,
            latency: self.shared.clock.now() - self.arrived_at,
            target_latency: self.route.target_latency,
            placement,
        };
        self.shared.counters.on_start(&self.route.label, start);
    }

    /// Whether this worker is one of those preferred for the prompt; `None` if workers were not ranked.
    fn placement(&self, worker: u64) -> Option<PromptPlacement> {
        let (_, preferred) = self.state.lock().preferred?;
        Some(match preferred.contains(&Some(worker)) {
            true => PromptPlacement::Preferred,
            false => PromptPlacement::Elsewhere,
        })
    }

    /// Records that the worker stated that it has not run the request. `ran_before` says whether an earlier attempt may
    /// have.
    pub fn record_not_run(&self, ran_before: bool) {
        self.state.lock().may_have_run = ran_before;
    }

    /// Reverts [`Exchange::record_sent`], as the head was not written completely.
    pub fn undo_sent(&self, ran_before: bool) {
        let mut state = self.state.lock();
        state.attempts -= 1;
        state.may_have_run = ran_before;
    }

    /// Whether an attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.state.lock().may_have_run
    }

    /// Id of the last event that the client has or that is queued for it.
    pub fn last_event(&self) -> Option<u64> {
        self.state.lock().last_event
    }

    /// Whether part of a response was forwarded, so that a retry has to resume after it.
    pub fn has_begun(&self) -> bool {
        self.state.lock().begun
    }

    /// Queues part of a response for the reader. The head is forwarded with the first part; heads of later attempts are
    /// dropped. `last_event` is the id of the last event so far.
    pub fn forward(&self, head: &mut Option<ForwardedHead>, bytes: Bytes, last_event: Option<u64>) {
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
        can_resume(&self.state.lock(), &self.route)
    }

    /// Queues the last part of a response that is not a stream, and completes it.
    pub fn finish(&self, head: &mut Option<ForwardedHead>, bytes: Bytes) {
        let last_event = self.last_event();
        self.forward(head, bytes, last_event);
        self.complete();
    }

    /// Records a worker's error response to an item, also if earlier attempts have produced part of its output.
    pub fn fail_item(&self, head: ForwardedHead) {
        let mut state = self.state.lock();
        state.item_failure = Some(head.status);
        let end = if state.begun {
            BodyEnd::Broken
        } else {
            BodyEnd::Complete
        };
        if !state.begun {
            (state.head, state.begun) = (Some(head), true);
        }
        state.end = state.end.or(Some(end));
        wake(&mut state);
    }

    /// The status of a worker's error response to an item.
    pub fn item_failure(&self) -> Option<StatusCode> {
        self.state.lock().item_failure
    }

    /// Marks the response as complete.
    pub fn complete(&self) {
        let mut state = self.state.lock();
        state.end = state.end.or(Some(BodyEnd::Complete));
        wake(&mut state);
    }

    /// Marks the response as truncated.
    pub fn truncate(&self) {
        let mut state = self.state.lock();
        state.end = state.end.or(Some(BodyEnd::Broken));
        wake(&mut state);
    }

    /// Stores a worker's error response, which is forwarded if no retry succeeds.
    pub fn store_failure(&self, head: ForwardedHead, body: Bytes) {
        self.state.lock().failure = Some((head, body));
    }

    /// Ready while fewer than `MAX_QUEUED_BYTES` are queued for the reader.
    pub fn poll_queue_space(&self, cx: &Context) -> Poll<()> {
        let mut state = self.state.lock();
        if state.queued_bytes < MAX_QUEUED_BYTES {
            return Poll::Ready(());
        }
        state.writer_waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// The prompt, if the request prefers a worker that is likely to have its prefix cached.
    pub fn long_prompt(&self) -> Option<Prompt> {
        let is_placed = self.route.session_affinity && self.mode == ExchangeMode::Live;
        self.prompt
            .filter(|prompt| is_placed && prompt.has_long_prefix())
    }

    /// The workers preferred for the prompt. `rank` is called once per generation of the worker table.
    pub fn preferred(
        &self,
        generation: u64,
        rank: impl FnOnce() -> [Option<u64>; PREFERRED_WORKERS],
    ) -> [Option<u64>; PREFERRED_WORKERS] {
        let mut state = self.state.lock();
        match state.preferred {
            Some((ranked_at, preferred)) if ranked_at == generation => preferred,
            _ => state.preferred.insert((generation, rank())).1,
        }
    }

    // Methods called by the reader.

    /// Polls for the head of the response, or the reason why there is none.
    pub fn poll_head(&self, cx: &Context) -> Poll<Result<ForwardedHead, Refusal>> {
        let mut state = self.state.lock();
        if let Some(head) = state.head.take() {
            state.head_taken = true;
            return Poll::Ready(Ok(head));
        }
        if let Some(refusal) = state.refusal {
            return Poll::Ready(Err(refusal));
        }
        state.reader_waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Polls for the next chunk of the response's body.
    pub fn poll_chunk(&self, cx: &Context) -> Poll<BodyChunk> {
        let mut state = self.state.lock();
        if let Some(bytes) = state.queue.pop_front() {
            state.queued_bytes -= bytes.len();
            if let Some(writer_waker) = state.writer_waker.take() {
                writer_waker.wake();
            }
            return Poll::Ready(BodyChunk::Data(bytes));
        }
        match state.end {
            Some(BodyEnd::Complete) => Poll::Ready(BodyChunk::Complete),
            Some(BodyEnd::Broken) => Poll::Ready(BodyChunk::Broken),
            None => {
                state.reader_waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    /// Number of unread bytes of the body, once it was received completely.
    pub fn remaining_length(&self) -> Option<u64> {
        let state = self.state.lock();
        (state.end == Some(BodyEnd::Complete)).then_some(state.queued_bytes as u64)
    }

    /// Cancels the request, because the client has disconnected. Does nothing if the request has ended.
    pub fn cancel(&self) {
        let mut state = self.state.lock();
        if std::mem::replace(&mut state.cancelled, true)
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

    // Handling of the reducer's decisions.

    /// Called when the reducer makes no further attempt under the current number: submits the request again if a retry is
    /// allowed, otherwise ends it.
    fn retry_or_conclude(self: Arc<Self>, refusal: Refusal) {
        let now = self.shared.clock.now();
        let retry = {
            let mut state = self.state.lock();
            if state.cancelled || state.end.is_some() {
                return;
            }
            // The scheduler gives up at its own deadline. A request whose response has begun or that may have run is
            // submitted again, which gives it a new one.
            let is_resumable_or_unconfirmed = state.begun && can_resume(&state, &self.route)
                || !state.begun && state.may_have_run && state.failure.is_none();
            let allowed = self.route.idempotent && state.attempts < self.route.max_attempts;
            let in_time = now + MIN_RETRY_TIME_LEFT < self.deadline && !self.shared.is_exiting();
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
                .and_then(|table| table.project_type(&self.route.id, &self.service, self.priority));
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

/// Sets the final state of a response that no worker completes.
fn conclude(state: &mut ExchangeState, refusal: Refusal) {
    if state.begun {
        state.end = Some(BodyEnd::Broken);
        return;
    }
    if let Some((head, body)) = state.failure.take() {
        state.queued_bytes += body.len();
        state.queue.push_back(body);
        (state.head, state.begun, state.end) = (Some(head), true, Some(BodyEnd::Complete));
        return;
    }
    state.refusal = Some(match refusal {
        Refusal::NotRun(_) if state.may_have_run => Refusal::Unknown,
        // No worker was sent the complete head, and none will be.
        Refusal::Unknown | Refusal::TimedOut if !state.may_have_run => {
            Refusal::NotRun(UNSENT_RETRY_AFTER)
        }
        refusal => refusal,
    });
}

fn can_resume(state: &ExchangeState, route: &RouteSettings) -> bool {
    route.resumable && state.last_event.is_some()
}

fn wake(state: &mut ExchangeState) {
    if let Some(reader_waker) = state.reader_waker.take() {
        reader_waker.wake();
    }
}

/// Receives the reducer's final decision on a submitted request.
struct DecisionReceiver(Arc<Exchange>);

impl Responder for DecisionReceiver {
    fn respond(self: Box<Self>, answer: Answer) {
        let exchange = self.0;
        // The reducer lets the last attempt end shortly before the deadline.
        let is_past_deadline =
            exchange.shared.clock.now() + MIN_RETRY_TIME_LEFT >= exchange.deadline;
        match answer {
            // The upstream side has already forwarded the response.
            Answer::Completed(_) => {}
            Answer::Deferred(_) | Answer::Aborted if is_past_deadline => {
                exchange.retry_or_conclude(Refusal::TimedOut)
            }
            Answer::Deferred(retry_after) => {
                exchange.retry_or_conclude(Refusal::NotRun(retry_after))
            }
            Answer::Aborted | Answer::Duplicate => exchange.retry_or_conclude(Refusal::Unknown),
        }
    }
}
