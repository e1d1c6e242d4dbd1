//! The types exchanged between frontends, the reducer and backends, independent of their protocols.

use crate::budget::Reservation;
use bytes::Bytes;
use mintlb_scheduler::{LoadReport, Outcome};
use std::any::Any;
use std::fmt::{Debug, Display};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// The work unit's id at this scheduler, and the attempt's number within the work unit.
pub type AttemptId = (u64, u16);

/// Assigns the ids of work units, in one sequence for all frontends.
#[derive(Clone, Default)]
pub struct WorkUnitIds(Arc<AtomicU64>);

impl WorkUnitIds {
    /// The next unused id, from 1.
    pub fn next(&self) -> u64 {
        self.0.fetch_add(1, Relaxed) + 1
    }
}

/// What a client submitted. The body is forwarded unchanged; other data is known to the frontend's protocol only, and a
/// backend of another protocol does without it.
#[derive(Clone, Debug)]
pub struct Payload {
    pub body: Bytes,
    /// The request must not simply run again, so that it matters whether it ran.
    pub non_idempotent: bool,
    /// Data of the frontend's protocol, for a backend that speaks the same one.
    pub protocol_data: Arc<dyn Any + Send + Sync>,
}

/// A work unit as submitted by a frontend.
pub struct Submission {
    pub id: u64,
    /// The client's request id, if it has one: no other request may use it at the same time.
    pub client_request_id: Option<Box<[u8]>>,
    pub project_type: usize,
    pub customer: Option<usize>,
    /// Slots that it takes at a worker.
    pub slots: f64,
    /// Unix time in seconds.
    pub arrived_at: f64,
    /// Seconds from the arrival to the hard limit.
    pub time_budget: f64,
    pub payload: Payload,
    pub responder: Box<dyn Responder>,
}

/// Receives the final answer. Called once for each accepted work unit.
pub trait Responder: Send {
    fn respond(self: Box<Self>, answer: Answer);
}

impl Responder for oneshot::Sender<Answer> {
    fn respond(self: Box<Self>, answer: Answer) {
        self.send(answer).ok();
    }
}

/// The final answer to a work unit.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Completed with this result.
    Completed(Bytes),
    /// A retry is harmless, preferably after this many seconds.
    Deferred(f64),
    /// The work unit may have run, or not.
    Aborted,
    /// Not accepted: another work unit, which is not affected, has the same client request id.
    Duplicate,
}

/// An attempt to be sent to a worker.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    pub attempt_id: AttemptId,
    pub project_type: usize,
    pub customer: Option<usize>,
    pub payload: Payload,
    /// When the attempt times out, in Unix time in seconds.
    pub deadline: f64,
    /// The charge to be committed as its last byte is written, if a shared budget limits it.
    pub reservation: Option<Arc<dyn Reservation>>,
    /// Once cancelled, no more of the request may be written: the worker accepts nothing new, or the work unit has its
    /// answer. A request that is incomplete by then never ran; a complete one stays in flight.
    pub withdrawn: CancellationToken,
}

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptResult {
    pub attempt_id: AttemptId,
    pub outcome: Outcome,
    pub report: LoadReport,
    pub result: Bytes,
}

impl AttemptResult {
    /// A result without a load report or a body.
    pub fn from_outcome(attempt_id: AttemptId, outcome: Outcome) -> AttemptResult {
        AttemptResult {
            attempt_id,
            outcome,
            report: LoadReport::default(),
            result: Bytes::new(),
        }
    }
}

/// One worker, reached through the backend that speaks its protocol. The `Display` text is for the log.
pub trait Endpoint: Display + Send + Sync {
    /// Sends an attempt. Its outcome is reported once, later, also if it can't be sent.
    fn send(&self, request: AttemptRequest) -> Box<dyn CancelHandle>;
    /// Requests a load report, if the protocol has load reports.
    fn probe(&self, worker: u64);
}

/// Cancels an attempt in flight; nothing more is reported of it.
pub trait CancelHandle: Send {
    fn cancel(self: Box<Self>);
}

/// For an attempt whose outcome has already been reported, so that there is nothing to cancel.
impl CancelHandle for () {
    fn cancel(self: Box<Self>) {}
}
