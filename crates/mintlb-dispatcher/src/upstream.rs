//! Attempts to run requests at workers: one task per attempt, whose result is reported to the reducer exactly once.
//!
//! An attempt that certainly did not run is reported as such; any other may have run. A request counts as sent once the
//! last byte of its head may have reached the worker, as that may start, and respond, before it has read a long body.

use crate::connection::Connection;
use crate::exchange::Exchange;
use crate::request::{self, EncodedRequest};
use crate::response_reader::{ReadOutcome, ResponseReader};
use crate::workers::WorkerEntry;
use mintlb_core::reducer::Event;
use mintlb_core::work::{AttemptRequest, AttemptResult, CancelHandle, Endpoint};
use mintlb_scheduler::{LoadReport, Outcome};
use std::fmt::{Display, Formatter};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::timeout_at;

/// How long the last byte of a non-idempotent request's head is held back on a connection that is new or was idle for a
/// while. If the worker has closed the connection, its reset arrives within a round trip.
const LIVENESS_CHECK_DURATION: Duration = Duration::from_millis(3);

/// Starts attempts at one worker for the reducer.
pub struct WorkerUpstream(pub Arc<WorkerEntry>);

impl Display for WorkerUpstream {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        self.0.pool.address().fmt(f)
    }
}

impl Endpoint for WorkerUpstream {
    fn send(&self, attempt_request: AttemptRequest) -> Box<dyn CancelHandle> {
        let Ok(exchange) = attempt_request
            .payload
            .protocol_data
            .clone()
            .downcast::<Exchange>()
        else {
            return Box::new(());
        };
        let attempt = Attempt {
            worker: self.0.clone(),
            exchange,
            attempt_request,
        };
        Box::new(AttemptHandle(tokio::spawn(attempt.run()).abort_handle()))
    }

    fn probe(&self, _worker: u64) {}
}

/// Cancels a running attempt by closing its connection, the only way that the protocol has.
struct AttemptHandle(AbortHandle);

impl CancelHandle for AttemptHandle {
    fn cancel(self: Box<Self>) {
        self.0.abort();
    }
}

/// One attempt of a request at a worker.
struct Attempt {
    worker: Arc<WorkerEntry>,
    exchange: Arc<Exchange>,
    attempt_request: AttemptRequest,
}

/// The result of an attempt, for the scheduler.
pub struct WorkerResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Number of free slots that the worker reported, if it did.
    pub free_slots: Option<f64>,
}

impl WorkerResult {
    /// A result without a report of free slots.
    pub fn from_outcome(outcome: Outcome) -> WorkerResult {
        WorkerResult {
            outcome,
            free_slots: None,
        }
    }
}

impl Attempt {
    async fn run(self) {
        let shared = self.exchange.shared().clone();
        let in_flight_guard = self
            .worker
            .track_request(self.exchange.prompt.map_or(0, |prompt| prompt.tokens));
        let end = shared.clock.instant(self.attempt_request.deadline);
        let result = timeout_at(end, self.execute()).await;
        let WorkerResult {
            outcome,
            free_slots,
        } = result.unwrap_or_else(|_| WorkerResult::from_outcome(Outcome::TimedOut));
        drop(in_flight_guard);
        log::debug!("upstream: {} {:?}", self.worker.instance_id, outcome);
        let attempt_result = AttemptResult {
            report: LoadReport { free_slots },
            ..AttemptResult::from_outcome(self.attempt_request.attempt_id, outcome)
        };
        shared
            .event_sender
            .send(Event::Finished(attempt_result))
            .ok();
        // No further attempt is allowed, so the client gets its response now.
        if outcome != Outcome::Completed && !self.exchange.may_be_sent() {
            shared
                .event_sender
                .send(Event::NoMoreAttempts(self.attempt_request.attempt_id.0))
                .ok();
        }
    }

    async fn execute(&self) -> WorkerResult {
        // A response of which part was forwarded and that can't be resumed must not start again, nor a request that its
        // own route does not permit to run again.
        let may_start = !self.exchange.has_begun() || self.exchange.can_resume();
        if !may_start || !self.exchange.may_be_sent() {
            return WorkerResult::from_outcome(Outcome::Moot);
        }
        let id = self.exchange.request.id.as_bytes();
        let connection = match self
            .worker
            .pool
            .reuse(self.attempt_request.payload.non_idempotent, id)
        {
            Some(connection) => Ok(connection),
            None => tokio::select! {
                connection = self.worker.pool.connect() => connection,
                () = self.attempt_request.withdrawn.cancelled() => return WorkerResult::from_outcome(Outcome::Full),
            },
        };
        let Ok(mut connection) = connection else {
            return WorkerResult::from_outcome(Outcome::NoConnection);
        };
        let ran_before = self.exchange.may_have_run();
        if let Err(outcome) = self.send(&mut connection).await {
            return WorkerResult::from_outcome(outcome);
        }
        let reader = ResponseReader {
            worker: &self.worker,
            exchange: &self.exchange,
            attempt: self.attempt_request.attempt_id,
        };
        let ReadOutcome {
            result,
            not_run,
            reuse,
        } = reader.read(&mut connection).await;
        if not_run {
            self.exchange.record_not_run(ran_before);
        }
        if let Some(reuse) = reuse {
            self.worker.pool.release(connection, reuse.idle_timeout);
        }
        result
    }

    /// Sends the request. After an error the worker does not have its complete head, so that it can't have run.
    async fn send(&self, connection: &mut Connection) -> Result<(), Outcome> {
        let time_left = self.attempt_request.deadline - self.exchange.shared().clock.now();
        let EncodedRequest {
            mut bytes,
            head_length,
        } = request::encode(&self.exchange, &self.worker.instance_id, time_left);
        self.check_still_valid()?;
        if self.attempt_request.payload.non_idempotent && !connection.was_recently_active() {
            let incomplete_head = bytes.split_to(head_length - 1);
            connection
                .write(&incomplete_head)
                .await
                .map_err(|_| Outcome::NoConnection)?;
            if !connection.stays_silent(LIVENESS_CHECK_DURATION).await {
                return Err(Outcome::NoConnection);
            }
            self.check_still_valid()?;
        }
        let ran_before = self.exchange.may_have_run();
        self.exchange.record_sent(self.worker.id);
        let id = self.exchange.request.id.as_bytes();
        connection.send(id, bytes).map_err(|_| {
            self.exchange.undo_sent(ran_before);
            Outcome::NoConnection
        })
    }

    /// Fails if the attempt was cancelled or the worker is out of service.
    fn check_still_valid(&self) -> Result<(), Outcome> {
        let is_valid = !self.attempt_request.withdrawn.is_cancelled() && self.worker.in_service();
        is_valid.then_some(()).ok_or(Outcome::Full)
    }
}
