//! Attempts at workers: one task per order of the scheduler, whose outcome is reported exactly once.
//!
//! Attempts that certainly did not run are reported as such; all others may have run. A request counts as sent once the
//! last byte of its head may have reached the worker, which may start, and respond, before it has read a long body.

use crate::answer::{ReadOutcome, ResponseReader};
use crate::connection::Connection;
use crate::exchange::Exchange;
use crate::request::{self, RequestBytes};
use crate::workers::WorkerEntry;
use mintlb_core::reducer::Event;
use mintlb_core::work::{AllocationRequest, AllocationResult, CancelHandle, Endpoint};
use mintlb_scheduler::{LoadReport, Outcome};
use std::fmt::{Display, Formatter};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::timeout_at;

/// How long the last byte of the head of a non-idempotent request is delayed on an unproven connection: one that the
/// worker resets or closes shows it within a round trip.
const LIVENESS_CHECK: Duration = Duration::from_millis(3);

/// Starts attempts at one worker.
pub struct WorkerUpstream(pub Arc<WorkerEntry>);

impl Display for WorkerUpstream {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        self.0.pool.address().fmt(f)
    }
}

impl Endpoint for WorkerUpstream {
    fn send(&self, order: AllocationRequest) -> Box<dyn CancelHandle> {
        let Ok(exchange) = order.payload.protocol_data.clone().downcast::<Exchange>() else {
            return Box::new(());
        };
        let send = Attempt {
            worker: self.0.clone(),
            exchange,
            order,
        };
        Box::new(SpawnedSend(tokio::spawn(send.run()).abort_handle()))
    }

    fn probe(&self, _worker: u64) {}
}

/// A started attempt. Closing its connection is the protocol's only way to cancel it.
struct SpawnedSend(AbortHandle);

impl CancelHandle for SpawnedSend {
    fn cancel(self: Box<Self>) {
        self.0.abort();
    }
}

/// One attempt of a request at a worker.
struct Attempt {
    worker: Arc<WorkerEntry>,
    exchange: Arc<Exchange>,
    order: AllocationRequest,
}

/// The result of an attempt, for the scheduler.
pub struct WorkerEvent {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Free slots that the worker reported, if it did.
    pub free_slots: Option<f64>,
}

impl WorkerEvent {
    /// Without a report of free slots.
    pub fn with(outcome: Outcome) -> WorkerEvent {
        WorkerEvent {
            outcome,
            free_slots: None,
        }
    }
}

impl Attempt {
    async fn run(self) {
        let shared = self.exchange.shared().clone();
        let occupied = self
            .worker
            .occupy(self.exchange.prompt.map_or(0, |prompt| prompt.tokens));
        let end = shared.clock.instant(self.order.deadline);
        let event = timeout_at(end, self.execute()).await;
        let WorkerEvent {
            outcome,
            free_slots,
        } = event.unwrap_or_else(|_| WorkerEvent::with(Outcome::TimedOut));
        drop(occupied);
        log::debug!("upstream: {} {:?}", self.worker.instance_id, outcome);
        let back = AllocationResult {
            report: LoadReport { free_slots },
            ..AllocationResult::from_outcome(self.order.allocation_id, outcome)
        };
        shared.event_sender.send(Event::Finished(back)).ok();
        // No further attempt is allowed, so the client's response is due.
        if outcome != Outcome::Completed && !self.exchange.may_be_sent() {
            shared
                .event_sender
                .send(Event::NoMoreAttempts(self.order.allocation_id.0))
                .ok();
        }
    }

    async fn execute(&self) -> WorkerEvent {
        // A response that has begun and can't be resumed must not begin again.
        if self.exchange.has_begun() && !self.exchange.can_resume() {
            return WorkerEvent::with(Outcome::Moot);
        }
        let id = self.exchange.request.id.as_bytes();
        let connection = match self
            .worker
            .pool
            .reuse(self.order.payload.non_idempotent, id)
        {
            Some(connection) => Ok(connection),
            None => tokio::select! {
                connection = self.worker.pool.connect() => connection,
                () = self.order.withdrawn.cancelled() => return WorkerEvent::with(Outcome::Full),
            },
        };
        let Ok(mut connection) = connection else {
            return WorkerEvent::with(Outcome::NoConnection);
        };
        let ran_before = self.exchange.may_have_run();
        if let Err(outcome) = self.send(&mut connection).await {
            return WorkerEvent::with(outcome);
        }
        let reader = ResponseReader {
            worker: &self.worker,
            exchange: &self.exchange,
            attempt: self.order.allocation_id,
        };
        let ReadOutcome {
            event,
            not_run,
            reuse,
        } = reader.read(&mut connection).await;
        if not_run {
            self.exchange.not_run(ran_before);
        }
        if let Some(reuse) = reuse {
            self.worker.pool.release(connection, reuse.idle);
        }
        event
    }

    /// Sends the request. An error means that the worker lacks its complete head, so that it can't run.
    async fn send(&self, connection: &mut Connection) -> Result<(), Outcome> {
        let left = self.order.deadline - self.exchange.shared().clock.now();
        let RequestBytes {
            mut bytes,
            head_length,
        } = request::bytes(&self.exchange, &self.worker.instance_id, left);
        self.check_still_valid()?;
        if self.order.payload.non_idempotent && !connection.was_active_just_now() {
            let first = bytes.split_to(head_length - 1);
            connection
                .write(&first)
                .await
                .map_err(|_| Outcome::NoConnection)?;
            if !connection.stays_silent(LIVENESS_CHECK).await {
                return Err(Outcome::NoConnection);
            }
            self.check_still_valid()?;
        }
        let ran_before = self.exchange.may_have_run();
        self.exchange.sent(self.worker.id);
        let id = self.exchange.request.id.as_bytes();
        connection.send(id, bytes).map_err(|_| {
            self.exchange.not_sent(ran_before);
            Outcome::NoConnection
        })
    }

    /// An error if the attempt was cancelled or the worker is out of service.
    fn check_still_valid(&self) -> Result<(), Outcome> {
        let is_valid = !self.order.withdrawn.is_cancelled() && self.worker.in_service();
        is_valid.then_some(()).ok_or(Outcome::Full)
    }
}
