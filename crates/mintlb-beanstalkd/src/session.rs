//! Protocol state of one connection: tubes, waiting reserve, leases and queued output.

use crate::codec::Tube;
use mintlb_core::work::{AttemptId, AttemptRequest};
use mintlb_scheduler::ProjectTypeSet;
use rustc_hash::FxHashMap;
use std::net::IpAddr;

/// State of one connection. A client may act as producer, worker or both.
pub struct Session {
    /// The peer's address.
    pub machine: IpAddr,
    /// The tube for puts, peeks and kicks.
    pub used: Tube,
    /// The tubes that reserves take jobs from; never empty.
    pub watched: Vec<Tube>,
    /// The project types of the worker group that the session belongs to; `None` before the first reserve, and while it
    /// watches no tube with jobs.
    pub type_set: Option<ProjectTypeSet>,
    /// The reserve that is waiting for a job, if any.
    pub wait: Option<Wait>,
    /// An assigned attempt of which nothing is queued for sending yet.
    pub pending: Option<PendingDelivery>,
    /// The job that is being sent, until its last byte is written.
    pub in_flight: Option<InFlight>,
    /// Leases by job id.
    pub leases: FxHashMap<u64, Lease>,
    pub output: Output,
    /// Whether the session has issued a put.
    pub is_producer: bool,
    /// Whether the session has issued a reserve.
    pub is_worker: bool,
    /// Close the connection once its output is written.
    pub closing: bool,
    /// Close the connection at once and drop unwritten output.
    pub aborted: bool,
}

/// A reserve that is waiting for a job.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// Waiting reserves are served in ascending order of this number.
    pub sequence: u64,
    /// When the reserve times out, in seconds of the clock; `None` if it has no timeout.
    pub until: Option<f64>,
}

/// An attempt assigned to a session's reserve; it is sent once all earlier output is written.
pub struct PendingDelivery {
    pub request: AttemptRequest,
    /// When the reserve would have timed out, in case it has to wait again.
    pub reserve_until: Option<f64>,
}

/// A job that is being written to the connection.
#[derive(Clone, Copy, Debug)]
pub struct InFlight {
    pub job: u64,
    /// Byte position of the job's end in the output, comparable to [`Output::written`].
    pub end: u64,
}

/// A session's lease on a job; the protocol calls it a reservation.
#[derive(Debug)]
pub struct Lease {
    pub kind: LeaseKind,
    /// Whether the job's last byte was written to the connection.
    pub written: bool,
    /// The job's time-to-run, in seconds.
    pub ttr: f64,
    /// When the lease expires unless it is touched, in seconds of the clock.
    pub deadline: f64,
    /// The latest deadline that a touch can set, in seconds of the clock.
    pub max_deadline: f64,
    /// Id of the expiry timer; a timer with another id is stale.
    pub timer: u64,
}

/// What a lease is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseKind {
    /// An attempt to run a job's request.
    Attempt(AttemptId),
    /// A notice, which reports how another job finished.
    Notice,
}

/// Output buffer of a connection, with byte counts since it was opened.
#[derive(Default)]
pub struct Output {
    /// Queued bytes not yet taken by the connection's task.
    pub waiting: Vec<u8>,
    /// Total bytes queued.
    pub queued: u64,
    /// Total bytes written.
    pub written: u64,
}

impl Output {
    pub fn push(&mut self, bytes: &[u8]) {
        self.waiting.extend_from_slice(bytes);
        self.queued += bytes.len() as u64;
    }

    /// Whether all queued bytes have been written.
    pub fn is_flushed(&self) -> bool {
        self.written == self.queued
    }
}

impl Session {
    /// A new session uses and watches the default tube.
    pub fn new(machine: IpAddr, default_tube: &Tube) -> Session {
        Session {
            machine,
            used: default_tube.clone(),
            watched: vec![default_tube.clone()],
            type_set: None,
            wait: None,
            pending: None,
            in_flight: None,
            leases: FxHashMap::default(),
            output: Output::default(),
            is_producer: false,
            is_worker: false,
            closing: false,
            aborted: false,
        }
    }

    /// The earliest lease deadline, in seconds of the clock; `None` without leases.
    pub fn next_deadline(&self) -> Option<f64> {
        self.leases
            .values()
            .map(|lease| lease.deadline)
            .reduce(f64::min)
    }

    pub fn watches(&self, tube: &str) -> bool {
        self.watched.iter().any(|watched| &**watched == tube)
    }

    /// Whether the last reserve is still unanswered, so that the next command must wait.
    pub fn is_blocked(&self) -> bool {
        self.wait.is_some() || self.pending.is_some()
    }

    /// Takes the pending delivery if it belongs to this attempt.
    pub fn take_pending(&mut self, attempt: AttemptId) -> Option<PendingDelivery> {
        self.pending
            .take_if(|pending| pending.request.attempt_id == attempt)
    }
}
