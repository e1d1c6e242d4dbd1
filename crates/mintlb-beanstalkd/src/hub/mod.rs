//! The protocol's state machine: it holds sessions, jobs and leases, and does no I/O.
//!
//! Its inputs are client commands, messages of the scheduler's core, and the time. Its outputs are bytes for
//! sessions and [`Deed`]s. The core alone decides which worker gets which job: a waiting reserve is announced
//! to it as room for one job, an attempt that it orders goes to a session that waits, and what the worker
//! does with the job is reported as the attempt's outcome.
//!
//! - Connections: `sessions` (input and output), `commands` (dispatch), `tubes` (use, watch, ignore, pause),
//!   `reply`.
//! - Producers: `producer` (put), `peek`, `kick`, `stats`.
//! - Workers: `reserve`, `leases` (start and end of a lease), `worker` (delete, release, bury, touch),
//!   `groups`.
//! - Core: `attempts` (orders and recalls), `finish` (final answers), `notices` (jobs that report them).
//! - Time: `timers`, `wake`.

mod attempts;
mod commands;
mod finish;
mod groups;
mod kick;
mod leases;
mod notices;
mod peek;
mod producer;
mod reply;
mod reserve;
mod sessions;
mod stats;
mod timers;
mod totals;
mod tubes;
mod wake;
mod worker;

pub use totals::Totals;

use crate::codec::Tube;
use crate::job::Jobs;
use crate::machines::{Change, Machines};
use crate::session::Session;
use crate::table::Plan;
use attempts::Attempt;
use bytes::Bytes;
use mintlb_core::capacity::{Capacity, CapacityPermit};
use mintlb_core::reducer::Event;
use mintlb_core::work::{AttemptId, WorkUnitIds};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use timers::{Timer, Timers};

/// An effect that the caller is to carry out.
pub enum Deed {
    /// A job is ready: hand it to the core as a request.
    Arrive {
        /// The job's id, which is the request's, too.
        id: u64,
        project_type: usize,
        customer: Option<usize>,
        /// When it became ready, in seconds of the clock.
        arrived: f64,
        /// Seconds from then to its hard limit.
        time_budget: f64,
        body: Bytes,
    },
    /// Tell the core that a group of workers has come, changed or gone.
    Member(Change),
    /// Tell the core of an event.
    Tell(Event),
    /// Wake a session's task: there is output for it, or it is to be closed.
    Wake(u64),
}

/// The state machine.
pub struct Hub {
    plan: Plan,
    /// The scheduler's name, which `stats` shows as the server's id.
    name: String,
    started_at: f64,
    max_job_bytes: usize,
    /// Source of job ids, shared with the other protocols.
    job_ids: WorkUnitIds,
    /// The capacity for requests and their bodies, shared with the other protocols.
    capacity: Capacity,
    sessions: FxHashMap<u64, Session>,
    jobs: Jobs,
    machines: Machines,
    /// Attempts that the core has ordered and that have no outcome yet.
    attempts: FxHashMap<AttemptId, Attempt>,
    /// Waiting reserves by watched notice tube: sequence number and session.
    notice_waiters: HashMap<Tube, BTreeSet<(u64, u64)>>,
    /// Paused tubes: when the pause ends, and its length in seconds.
    pauses: HashMap<Tube, (f64, f64)>,
    timers: Timers,
    /// The last number given to a session, a waiting reserve, a buried job or a timer.
    last_number: u64,
    /// The tube that each session uses and watches at first.
    default_tube: Tube,
    /// The program ends, so no job is taken any more.
    stopping: bool,
    /// Producers are to go elsewhere, for now.
    pub leaving: bool,
    /// Counts the attempts of which all bytes were written to a worker.
    pub sends: Arc<AtomicU64>,
    /// Counters since the start.
    pub totals: Totals,
    deeds: Vec<Deed>,
}

impl Hub {
    /// Starts without sessions and jobs, at `now` in seconds of the clock. `max_job_bytes` limits a job's
    /// body.
    pub fn new(
        plan: Plan,
        name: String,
        now: f64,
        max_job_bytes: usize,
        job_ids: WorkUnitIds,
        capacity: Capacity,
    ) -> Hub {
        let machines = Machines::new(plan.table.listed, plan.table.cold);
        Hub {
            plan,
            name,
            started_at: now,
            max_job_bytes,
            job_ids,
            capacity,
            sessions: FxHashMap::default(),
            jobs: Jobs::default(),
            machines,
            attempts: FxHashMap::default(),
            notice_waiters: HashMap::new(),
            pauses: HashMap::new(),
            timers: Timers::default(),
            last_number: 0,
            default_tube: "default".into(),
            stopping: false,
            leaving: false,
            sends: Arc::default(),
            totals: Totals::default(),
            deeds: Vec::new(),
        }
    }

    /// Takes the effects since the last call. The caller hands in an empty vector, whose memory is used
    /// again.
    pub fn deeds(&mut self, empty: Vec<Deed>) -> Vec<Deed> {
        std::mem::replace(&mut self.deeds, empty)
    }

    /// The largest body of a job, in bytes.
    pub fn most_bytes(&self) -> usize {
        self.max_job_bytes
    }

    /// Reserves capacity for a job's body, if there is any left.
    pub fn body_room(&self, bytes: usize) -> Option<CapacityPermit> {
        self.capacity.reserve_body(bytes)
    }

    /// A number that is larger than all before it.
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Sets a timer for a time in seconds of the clock; returns its number.
    fn set_timer(&mut self, at: f64, timer: Timer) -> u64 {
        let number = self.next_number();
        self.timers.set(at, number, timer);
        number
    }

    /// Tells the core of an event.
    fn tell(&mut self, event: Event) {
        self.deeds.push(Deed::Tell(event));
    }

    /// Has a session's task woken.
    fn wake_session(&mut self, session: u64) {
        self.deeds.push(Deed::Wake(session));
    }
}
