//! What passes between fronts, the reducer and backs, whatever protocol either of them speaks.

use crate::budget::Reservation;
use bytes::Bytes;
use mintlb_scheduler::{LoadReport, Outcome};
use std::any::Any;
use std::fmt::{Debug, Display};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// A work unit's number at this scheduler, and the allocation's among the work unit's.
pub type AllocationId = (u64, u16);

/// The numbers of work units, one row for all fronts.
#[derive(Clone, Default)]
pub struct WorkUnitIds(Arc<AtomicU64>);

impl WorkUnitIds {
    /// A number that no work unit had before, from 1.
    pub fn next(&self) -> u64 {
        self.0.fetch_add(1, Relaxed) + 1
    }
}

/// What a client handed in. The body goes on as the bytes that came; what else its protocol has is known to that
/// protocol alone, and a back of another one does without it.
#[derive(Clone, Debug)]
pub struct Payload {
    pub body: Bytes,
    /// It may not simply run again, so that whether it ran is worth knowing.
    pub non_idempotent: bool,
    pub protocol_data: Arc<dyn Any + Send + Sync>,
}

/// A work unit, as a front hands it in.
pub struct Submission {
    pub id: u64,
    /// The client's own name for it, where there is one: nobody else may use it meanwhile.
    pub client_request_id: Option<Box<[u8]>>,
    pub project_type: usize,
    pub customer: Option<usize>,
    pub slots: f64,
    /// Seconds of the clock.
    pub arrived_at: f64,
    /// Seconds from then to the hard limit.
    pub time_budget: f64,
    pub payload: Payload,
    pub responder: Box<dyn Responder>,
}

/// Where a final answer goes. It is called once for each work unit taken.
pub trait Responder: Send {
    fn respond(self: Box<Self>, answer: Answer);
}

impl Responder for oneshot::Sender<Answer> {
    fn respond(self: Box<Self>, answer: Answer) {
        self.send(answer).ok();
    }
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Completed(Bytes),
    /// Trying again is harmless, best after so many seconds.
    Deferred(f64),
    /// No promise either way.
    Aborted,
    /// Not taken: the client's id is another's, whose work unit it leaves alone.
    Duplicate,
}

/// An allocation to be sent, which ends at `until` (seconds of the clock).
#[derive(Clone, Debug)]
pub struct AllocationRequest {
    pub allocation_id: AllocationId,
    pub project_type: usize,
    pub customer: Option<usize>,
    pub payload: Payload,
    pub deadline: f64,
    /// What it has to pay at the byte that makes it whole, where something limits it.
    pub reservation: Option<Arc<dyn Reservation>>,
    /// Cancelled, no more of it may be written: its worker takes nothing new, or its work unit has its answer. What is
    /// not whole by then never ran; what is stays out.
    pub withdrawn: CancellationToken,
}

/// An allocation that has come back.
#[derive(Debug)]
pub struct AllocationResult {
    pub allocation_id: AllocationId,
    pub outcome: Outcome,
    pub report: LoadReport,
    pub result: Bytes,
}

impl AllocationResult {
    /// With nothing else told.
    pub fn from_outcome(allocation_id: AllocationId, outcome: Outcome) -> AllocationResult {
        AllocationResult {
            allocation_id,
            outcome,
            report: LoadReport::default(),
            result: Bytes::new(),
        }
    }
}

/// The way to one worker, through the back that speaks its protocol. How it shows is for the log.
pub trait Endpoint: Display + Send + Sync {
    /// Sends an allocation. Its one outcome is told later, also if it can't be sent.
    fn send(&self, request: AllocationRequest) -> Box<dyn CancelHandle>;
    /// Asks for a load report, where the protocol has such a thing.
    fn probe(&self, worker: u64);
}

/// Gives up an allocation that is out; nothing more is told of it.
pub trait CancelHandle: Send {
    fn cancel(self: Box<Self>);
}

/// An allocation that nothing can be done about any more, as its outcome is told already.
impl CancelHandle for () {
    fn cancel(self: Box<Self>) {}
}
