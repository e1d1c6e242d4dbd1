//! What passes between fronts, the reducer and backs, whatever protocol either of them speaks.

use crate::spend::Slip;
use bytes::Bytes;
use mintlb_scheduler::{LoadReport, Outcome};
use std::any::Any;
use std::fmt::{Debug, Display};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// A work unit's number at this scheduler, and the allocation's among the work unit's.
pub type AllocId = (u64, u16);

/// The numbers of work units, one row for all fronts.
#[derive(Clone, Default)]
pub struct Numbers(Arc<AtomicU64>);

impl Numbers {
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
    pub once: bool,
    pub own: Arc<dyn Any + Send + Sync>,
}

/// A work unit, as a front hands it in.
pub struct Arrival {
    pub id: u64,
    /// The client's own name for it, where there is one: nobody else may use it meanwhile.
    pub client_id: Option<Box<[u8]>>,
    pub project_type: usize,
    pub customer: Option<usize>,
    pub slots: f64,
    /// Seconds of the clock.
    pub arrived: f64,
    /// Seconds from then to the hard limit.
    pub time_budget: f64,
    pub payload: Payload,
    pub answer: Box<dyn Settle>,
}

/// Where a final answer goes. It is called once for each work unit taken.
pub trait Settle: Send {
    fn settle(self: Box<Self>, answer: Answer);
}

impl Settle for oneshot::Sender<Answer> {
    fn settle(self: Box<Self>, answer: Answer) {
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
    Repeated,
}

/// An allocation to be sent, which ends at `until` (seconds of the clock).
#[derive(Clone, Debug)]
pub struct Order {
    pub alloc: AllocId,
    pub project_type: usize,
    pub customer: Option<usize>,
    pub payload: Payload,
    pub until: f64,
    /// What it has to pay at the byte that makes it whole, where something limits it.
    pub slip: Option<Arc<dyn Slip>>,
    /// Cancelled, no more of it may be written: its worker takes nothing new, or its work unit has its answer. What is
    /// not whole by then never ran; what is stays out.
    pub taken_back: CancellationToken,
}

/// An allocation that has come back.
#[derive(Debug)]
pub struct Back {
    pub alloc: AllocId,
    pub outcome: Outcome,
    pub report: LoadReport,
    pub result: Bytes,
}

impl Back {
    /// With nothing else told.
    pub fn with(alloc: AllocId, outcome: Outcome) -> Back {
        Back {
            alloc,
            outcome,
            report: LoadReport::default(),
            result: Bytes::new(),
        }
    }
}

/// The way to one worker, through the back that speaks its protocol. How it shows is for the log.
pub trait Reach: Display + Send + Sync {
    /// Sends an allocation. Its one outcome is told later, also if it can't be sent.
    fn send(&self, order: Order) -> Box<dyn Recall>;
    /// Asks for a load report, where the protocol has such a thing.
    fn probe(&self, worker: u64);
}

/// Gives up an allocation that is out; nothing more is told of it.
pub trait Recall: Send {
    fn recall(self: Box<Self>);
}

/// An allocation that nothing can be done about any more, as its outcome is told already.
impl Recall for () {
    fn recall(self: Box<Self>) {}
}
