//! One request from its client's side to its workers' side: what was asked, how far the answer has come, and who is to
//! be woken. The front (or the runner of lots' items) reads the answer while the back writes it.
//!
//! A request may take several sends, one after the other. Of the answer only what is certain passes: whole events of a
//! stream, in order, each once; of other answers the whole, or a head once its body is too long to be held.

use crate::prompts::{PREFERRED, Prompt};
use crate::routing::RouteTerms;
use crate::shared::Shared;
use axum::http::{HeaderMap, HeaderValue, Method, StatusCode};
use bytes::Bytes;
use mintlb_core::reducer::Event;
use mintlb_core::work::{Answer, Arrival, Payload, Settle};
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

/// So many bytes may wait for a client that reads slowly before the worker has to wait, too.
const MAX_QUEUED_BYTES: usize = 256 << 10;
/// A request that is not over by so many seconds before its limit is not sent again.
const MIN_TIME_LEFT: f64 = 0.05;
/// What was given up before it was sent anywhere is best tried again after so many seconds.
const NEVER_SENT_COME_BACK: f64 = 0.05;
/// Workers that are remembered as tried by one request.
const MAX_ATTEMPTED: usize = 4;

/// What was asked.
#[derive(Debug)]
pub struct ClientRequest {
    /// Its method.
    pub method: Method,
    /// Path and query, as they came.
    pub target: String,
    /// Its headers, without those of one connection only and without those that each send sets.
    pub headers: HeaderMap,
    /// Its id.
    pub id: HeaderValue,
    /// The last event that its client has.
    pub last_event_id: Option<u64>,
}

/// How the answers of workers are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeMode {
    /// A client waits: a worker's failure is tried elsewhere where that is allowed.
    Live,
    /// An item of a lot: each failure that a worker answers is told as it is.
    Item,
}

/// The head of an answer, as the client gets it.
#[derive(Clone, Debug)]
pub struct Head {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
}

/// How a request ended without an answer of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// It has not run and never will; best tried again after so many seconds.
    NotRun(f64),
    /// Nobody knows.
    Unknown,
    /// Its time is over.
    TimedOut,
}

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Complete,
    Broken,
}

/// What a reader of the answer gets next.
pub enum BodyChunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is whole.
    Complete,
    /// The body will never be whole.
    Broken,
}

#[derive(Default)]
struct State {
    /// The number under which it is with the reducer now.
    wu: u64,
    /// Workers that were handed its whole head.
    attempts: u32,
    attempted: [Option<u64>; MAX_ATTEMPTED],
    may_have_run: bool,
    head: Option<Head>,
    /// The head was taken by the reader, or bytes are queued for it.
    begun: bool,
    /// The head was handed to the reader.
    head_taken: bool,
    refusal: Option<Refusal>,
    /// A failure that a worker answered, kept in case no other does better.
    failure: Option<(Head, Bytes)>,
    /// The status by which a worker ended an item that it does not do.
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

/// One request and the state of its answer.
pub struct Exchange {
    /// What was asked.
    pub request: ClientRequest,
    /// Its body.
    pub body: Bytes,
    /// The terms of its route when it was read.
    pub terms: Arc<RouteTerms>,
    /// The service drawn for it.
    pub service: Arc<str>,
    /// What it says of its prompt.
    pub prompt: Option<Prompt>,
    /// How workers' failures are taken.
    pub mode: ExchangeMode,
    /// When it was read, and when its time is over, in seconds of the clock.
    pub arrived: f64,
    /// See `arrived`.
    pub limit: f64,
    shared: Arc<Shared>,
    state: Mutex<State>,
}

/// What a new exchange is made of.
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
    pub mode: ExchangeMode,
    /// Its project type.
    pub project_type: usize,
    /// Seconds from now until its time is over.
    pub time_budget: f64,
}

impl Exchange {
    /// Hands a request to the reducer. Whoever reads its answer leaves by [`Exchange::abandon`].
    pub fn start(shared: &Arc<Shared>, new: NewExchange) -> Arc<Exchange> {
        let NewExchange {
            request,
            body,
            terms,
            service,
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
            prompt,
            mode,
            arrived,
            limit: arrived + time_budget,
            shared: shared.clone(),
            state: Mutex::new(state),
        });
        exchange.clone().arrive(project_type, arrived);
        exchange
    }

    fn arrive(self: Arc<Self>, project_type: usize, now: f64) {
        let id = self.shared.numbers.next();
        self.state.lock().wu = id;
        let once = !self.terms.idempotent;
        let payload = Payload {
            body: self.body.clone(),
            once,
            own: self.clone(),
        };
        let time_budget = self.limit - now;
        let answer = Box::new(Settlement(self));
        let arrival = Arrival {
            id,
            client_id: None,
            project_type,
            customer: None,
            slots: 1.0,
            arrived: now,
            time_budget,
            payload,
            answer,
        };
        let shared = match arrival.payload.own.downcast_ref::<Exchange>() {
            Some(exchange) => exchange.shared.clone(),
            None => return,
        };
        shared.event_sender.send(Event::Arrived(arrival)).ok();
    }

    /// What links it with the rest of the dispatcher.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    // What the back asks and tells.

    /// Whether it may be sent to a worker at all.
    pub fn may_be_sent(&self) -> bool {
        let state = self.state.lock();
        state.attempts < self.terms.max_attempts || self.mode == ExchangeMode::Item
    }

    /// Whether it was sent to this worker before.
    pub fn has_attempted(&self, worker: u64) -> bool {
        self.state.lock().attempted.contains(&Some(worker))
    }

    /// The head of the request is about to be whole at this worker, which may begin then.
    pub fn sent(&self, worker: u64) {
        let mut state = self.state.lock();
        let position = state.attempts as usize % MAX_ATTEMPTED;
        state.attempted[position] = Some(worker);
        state.attempts += 1;
        state.may_have_run = true;
    }

    /// The worker has said that it has not run what was sent last.
    pub fn not_run(&self, ran_before: bool) {
        self.state.lock().may_have_run = ran_before;
    }

    /// Its head was not written whole after all.
    pub fn not_sent(&self, ran_before: bool) {
        let mut state = self.state.lock();
        state.attempts -= 1;
        state.may_have_run = ran_before;
    }

    /// Whether an earlier send may have run.
    pub fn may_have_run(&self) -> bool {
        self.state.lock().may_have_run
    }

    /// The last event that the client has got or will get.
    pub fn last_event(&self) -> Option<u64> {
        self.state.lock().last_event
    }

    /// Whether part of an answer has passed: all that follows has to go on from there.
    pub fn has_begun(&self) -> bool {
        self.state.lock().begun
    }

    /// Passes on part of an answer. The first part brings the head; a head that comes with a later run is dropped, as the
    /// answer keeps its first.
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

    /// Whether an answer that has begun can go on with another run.
    pub fn can_go_on(&self) -> bool {
        can_go_on(&self.state.lock(), &self.terms)
    }

    /// Passes on the last part of an answer that is no stream.
    pub fn finish(&self, head: &mut Option<Head>, bytes: Bytes) {
        let last_event = self.last_event();
        self.pass(head, bytes, last_event);
        self.complete();
    }

    /// A worker has answered an item with a failure, also after others had done part of it.
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

    /// The status by which a worker ended an item that it does not do.
    pub fn item_failure(&self) -> Option<StatusCode> {
        self.state.lock().item_failure
    }

    /// The answer is whole.
    pub fn complete(&self) {
        let mut state = self.state.lock();
        state.end = state.end.or(Some(End::Complete));
        wake(&mut state);
    }

    /// The answer will never be whole.
    pub fn break_off(&self) {
        let mut state = self.state.lock();
        state.end = state.end.or(Some(End::Broken));
        wake(&mut state);
    }

    /// Keeps a failure that a worker answered.
    pub fn store_failure(&self, head: Head, body: Bytes) {
        self.state.lock().failure = Some((head, body));
    }

    /// Waits until the client has taken most of what is queued for it.
    pub fn poll_queue_space(&self, cx: &Context) -> Poll<()> {
        let mut state = self.state.lock();
        if state.queued_bytes < MAX_QUEUED_BYTES {
            return Poll::Ready(());
        }
        state.writer = Some(cx.waker().clone());
        Poll::Pending
    }

    /// The workers that are preferred for its prompt, as ranked when the table of workers was of this age.
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

    // What the reader asks and tells.

    /// The head of the answer, or why there is none.
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

    /// The next of the answer's body.
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

    /// How many bytes of the body are left, if it is whole.
    pub fn remaining_length(&self) -> Option<u64> {
        let state = self.state.lock();
        (state.end == Some(End::Complete)).then_some(state.queued_bytes as u64)
    }

    /// Nobody reads the answer any more.
    pub fn abandon(&self) {
        let mut state = self.state.lock();
        if std::mem::replace(&mut state.abandoned, true)
            || state.end.is_some()
            || state.refusal.is_some()
        {
            return;
        }
        self.shared.event_sender.send(Event::Left(state.wu)).ok();
    }

    // What the reducer decided.

    /// The reducer has nothing more to try under this number.
    fn retry_or_conclude(self: Arc<Self>, refusal: Refusal) {
        let now = self.shared.clock.now();
        let retry = {
            let mut state = self.state.lock();
            if state.abandoned || state.end.is_some() {
                return;
            }
            // What was begun, or may have run, and may run again, is worth another try past its first promise.
            let is_resumable_or_unconfirmed = state.begun && can_go_on(&state, &self.terms)
                || !state.begun && state.may_have_run && state.failure.is_none();
            let allowed = self.terms.idempotent && state.attempts < self.terms.max_attempts;
            let in_time = now + MIN_TIME_LEFT < self.limit && !self.shared.is_ending();
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
            let number = table.and_then(|table| table.type_of(&self.terms.name, &self.service));
            match number {
                Some(number) => self.arrive(number, now),
                None => {
                    let mut state = self.state.lock();
                    conclude(&mut state, refusal);
                    wake(&mut state);
                }
            }
        }
    }
}

/// The final state of an answer that no worker completes.
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
        // No worker was handed its whole head, and none will be.
        Refusal::Unknown | Refusal::TimedOut if !state.may_have_run => {
            Refusal::NotRun(NEVER_SENT_COME_BACK)
        }
        refusal => refusal,
    });
}

fn can_go_on(state: &State, terms: &RouteTerms) -> bool {
    terms.resumable && state.last_event.is_some()
}

fn wake(state: &mut State) {
    if let Some(reader) = state.reader.take() {
        reader.wake();
    }
}

/// Where the reducer's answer goes.
struct Settlement(Arc<Exchange>);

impl Settle for Settlement {
    fn settle(self: Box<Self>, answer: Answer) {
        let exchange = self.0;
        // The last send ends shortly before its client's time is over.
        let over = exchange.shared.clock.now() + MIN_TIME_LEFT >= exchange.limit;
        match answer {
            // The back has passed it on already.
            Answer::Completed(_) => {}
            Answer::Deferred(_) | Answer::Aborted if over => {
                exchange.retry_or_conclude(Refusal::TimedOut)
            }
            Answer::Deferred(come_back) => exchange.retry_or_conclude(Refusal::NotRun(come_back)),
            Answer::Aborted | Answer::Repeated => exchange.retry_or_conclude(Refusal::Unknown),
        }
    }
}
