//! The protocol's state of one connection: its tubes, its waiting reserve, its leases and its output.

use crate::codec::Tube;
use mintlb_core::work::{AttemptId, AttemptRequest};
use mintlb_scheduler::ProjectTypeSet;
use rustc_hash::FxHashMap;
use std::net::IpAddr;

/// One connection of a producer, a worker or both.
pub struct Session {
    /// The address that it connects from.
    pub machine: IpAddr,
    /// The tube that it puts jobs into.
    pub used: Tube,
    /// The tubes that it reserves jobs from.
    pub watched: Vec<Tube>,
    /// The project types of the worker group that it belongs to, from its first reserve on.
    pub runs: Option<ProjectTypeSet>,
    /// Its reserve that waits for a job.
    pub wait: Option<Wait>,
    /// A job that was assigned to it and of which nothing is queued for sending yet.
    pub pending: Option<PendingDelivery>,
    /// The job that was last sent to it, until its last byte is written.
    pub in_flight: Option<InFlight>,
    /// Its leases by job id.
    pub leases: FxHashMap<u64, Lease>,
    pub output: Output,
    /// It has put a job.
    pub is_producer: bool,
    /// It has reserved a job.
    pub is_worker: bool,
    /// It is to be closed once its output is written.
    pub closing: bool,
    /// It is to be closed at once, whatever output is left.
    pub cut: bool,
}

/// A reserve that waits for a job.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    /// Waiting reserves are served in the order of these numbers.
    pub sequence: u64,
    /// When it times out, in seconds of the clock, if it does.
    pub until: Option<f64>,
}

/// An attempt that was assigned to a session's reserve and is sent once the output before it is written.
pub struct PendingDelivery {
    pub order: AttemptRequest,
    /// When the reserve would have timed out, in case the session must wait on.
    pub reserve_until: Option<f64>,
}

/// A job whose bytes are being written.
#[derive(Clone, Copy, Debug)]
pub struct InFlight {
    pub job: u64,
    /// Its end in the output, counted as [`Output::written`].
    pub end: u64,
}

/// A session's lease on a job; the protocol calls it a reservation.
#[derive(Debug)]
pub struct Lease {
    pub leased: Leased,
    /// Its last byte was written to the connection.
    pub written: bool,
    /// The job's time-to-run, in seconds.
    pub ttr: f64,
    /// When the lease expires unless it is touched, in seconds of the clock.
    pub deadline: f64,
    /// The latest deadline that a touch can set, in seconds of the clock.
    pub latest: f64,
    /// The number of its expiry timer.
    pub timer: u64,
}

/// What a lease is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Leased {
    /// An attempt to run a job's request.
    Attempt(AttemptId),
    /// A job that reports how another one finished.
    Notice,
}

/// Bytes to be written to a connection, with byte counts since it was opened.
#[derive(Default)]
pub struct Output {
    /// Queued bytes that the connection's task has not taken yet.
    pub waiting: Vec<u8>,
    /// Bytes ever queued.
    pub queued: u64,
    /// Bytes ever written.
    pub written: u64,
}

impl Output {
    /// Queues bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.waiting.extend_from_slice(bytes);
        self.queued += bytes.len() as u64;
    }

    /// All that was queued is written.
    pub fn is_flushed(&self) -> bool {
        self.written == self.queued
    }
}

impl Session {
    /// A new connection from a machine, which uses and watches the default tube.
    pub fn new(machine: IpAddr, default_tube: &Tube) -> Session {
        Session {
            machine,
            used: default_tube.clone(),
            watched: vec![default_tube.clone()],
            runs: None,
            wait: None,
            pending: None,
            in_flight: None,
            leases: FxHashMap::default(),
            output: Output::default(),
            is_producer: false,
            is_worker: false,
            closing: false,
            cut: false,
        }
    }

    /// The earliest deadline of its leases, in seconds of the clock.
    pub fn next_deadline(&self) -> Option<f64> {
        self.leases
            .values()
            .map(|lease| lease.deadline)
            .reduce(f64::min)
    }

    /// It watches a tube.
    pub fn watches(&self, tube: &str) -> bool {
        self.watched.iter().any(|watched| &**watched == tube)
    }

    /// Its last reserve is not answered yet, so its next command must wait.
    pub fn is_blocked(&self) -> bool {
        self.wait.is_some() || self.pending.is_some()
    }

    /// Takes the pending delivery if it is this attempt's.
    pub fn take_pending(&mut self, attempt: AttemptId) -> Option<PendingDelivery> {
        self.pending
            .take_if(|pending| pending.order.attempt_id == attempt)
    }
}
