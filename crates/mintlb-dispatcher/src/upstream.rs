//! Sends to workers: one send an order, its outcome told once.
//!
//! What has surely not run is told as such, all else may have run. A request counts as sent once the last byte of its
//! head may have reached the worker, which may begin, and answer, before it has read a long body.

use crate::answer::{Answered, Reading};
use crate::connection::Connection;
use crate::exchange::Exchange;
use crate::request::{self, RequestBytes};
use crate::workers::WorkerEntry;
use mintlb_core::reducer::Event;
use mintlb_core::work::{Back, Order, Reach, Recall};
use mintlb_scheduler::{Outcome, Report};
use std::fmt::{Display, Formatter};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::timeout_at;

/// A connection that is to be reset as it comes up, or that the worker is closing, shows it within a round trip: so long
/// the last byte of the head of a request that may run once only waits.
const PROVING: Duration = Duration::from_millis(3);

/// The way to one worker.
pub struct WorkerUpstream(pub Arc<WorkerEntry>);

impl Display for WorkerUpstream {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        self.0.pool.address().fmt(f)
    }
}

impl Reach for WorkerUpstream {
    fn send(&self, order: Order) -> Box<dyn Recall> {
        let Ok(exchange) = order.payload.own.clone().downcast::<Exchange>() else {
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

/// Closing its connection is the protocol's only way to call a send off.
struct SpawnedSend(AbortHandle);

impl Recall for SpawnedSend {
    fn recall(self: Box<Self>) {
        self.0.abort();
    }
}

/// One send of a request to a worker.
struct Attempt {
    worker: Arc<WorkerEntry>,
    exchange: Arc<Exchange>,
    order: Order,
}

/// What came of a send.
pub struct WorkerEvent {
    /// For the decisions.
    pub outcome: Outcome,
    /// Places that the worker says are free.
    pub free_slots: Option<f64>,
}

impl WorkerEvent {
    /// With nothing told of places.
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
        let end = shared.clock.instant(self.order.until);
        let event = timeout_at(end, self.carry_out()).await;
        let WorkerEvent {
            outcome,
            free_slots,
        } = event.unwrap_or_else(|_| WorkerEvent::with(Outcome::TimedOut));
        drop(occupied);
        log::debug!("back: {} {:?}", self.worker.instance_id, outcome);
        let back = Back {
            report: Report { free_slots },
            ..Back::with(self.order.alloc, outcome)
        };
        shared.event_sender.send(Event::Back(back)).ok();
        // Nothing more will be sent for it, so its answer is due.
        if outcome != Outcome::Completed && !self.exchange.may_be_sent() {
            shared
                .event_sender
                .send(Event::GivenUp(self.order.alloc.0))
                .ok();
        }
    }

    async fn carry_out(&self) -> WorkerEvent {
        // A part of an answer that can't go on must not begin again.
        if self.exchange.has_begun() && !self.exchange.can_go_on() {
            return WorkerEvent::with(Outcome::Moot);
        }
        let id = self.exchange.request.id.as_bytes();
        let connection = match self.worker.pool.reuse(self.order.payload.once, id) {
            Some(connection) => Ok(connection),
            None => tokio::select! {
                connection = self.worker.pool.connect() => connection,
                () = self.order.taken_back.cancelled() => return WorkerEvent::with(Outcome::Full),
            },
        };
        let Ok(mut connection) = connection else {
            return WorkerEvent::with(Outcome::NoConnection);
        };
        let ran_before = self.exchange.may_have_run();
        if let Err(outcome) = self.send(&mut connection).await {
            return WorkerEvent::with(outcome);
        }
        let reading = Reading {
            worker: &self.worker,
            exchange: &self.exchange,
            attempt: self.order.alloc,
        };
        let Answered {
            event,
            not_run,
            reuse,
        } = reading.read(&mut connection).await;
        if not_run {
            self.exchange.not_run(ran_before);
        }
        if let Some(reuse) = reuse {
            self.worker.pool.give_back(connection, reuse.idle);
        }
        event
    }

    /// Sends the request. An error where its head is not whole at the worker, so that it can't run.
    async fn send(&self, connection: &mut Connection) -> Result<(), Outcome> {
        let left = self.order.until - self.exchange.shared().clock.now();
        let RequestBytes {
            mut bytes,
            head_length,
        } = request::bytes(&self.exchange, &self.worker.instance_id, left);
        self.still_meant()?;
        if self.order.payload.once && !connection.is_proven() {
            let first = bytes.split_to(head_length - 1);
            connection
                .write(&first)
                .await
                .map_err(|_| Outcome::NoConnection)?;
            if !connection.stays_quiet(PROVING).await {
                return Err(Outcome::NoConnection);
            }
            self.still_meant()?;
        }
        let ran_before = self.exchange.may_have_run();
        self.exchange.sent(self.worker.id);
        let id = self.exchange.request.id.as_bytes();
        connection.send(id, bytes).map_err(|_| {
            self.exchange.not_sent(ran_before);
            Outcome::NoConnection
        })
    }

    /// An error where nothing more may go to this worker.
    fn still_meant(&self) -> Result<(), Outcome> {
        let meant = !self.order.taken_back.is_cancelled() && self.worker.in_service();
        meant.then_some(()).ok_or(Outcome::Full)
    }
}
