//! State machine of the protocol: holds sessions, jobs and leases, and performs no I/O.
//!
//! Inputs are client commands, messages from the scheduler's core, and the time. Outputs are bytes for sessions and
//! [`Effect`]s. The core alone decides which worker gets which job: each waiting reserve is announced to the core as
//! capacity for one job, an attempt from the core is delivered to a waiting session, and what the worker does with
//! the job is reported as the attempt's outcome.
//!
//! - Connections: `sessions` (lifecycle and output), `commands` (dispatch), `tubes` (use, watch, ignore, pause),
//!   `reply`.
//! - Producers: `producer` (put), `peek`, `kick`, `stats`.
//! - Workers: `reserve`, `leases` (start and end of a lease), `worker` (delete, release, bury, touch),
//!   `groups`.
//! - Core: `attempts` (delivery and cancellation), `finish` (final answers), `notices` (jobs that report them).
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
use crate::machines::{GroupChange, Machines};
use crate::session::Session;
use crate::table::Plan;
use attempts::AttemptState;
use bytes::Bytes;
use mintlb_core::capacity::{Capacity, CapacityPermit};
use mintlb_core::reducer::Event;
use mintlb_core::work::{AttemptId, WorkUnitIds};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use timers::{Timer, Timers};

/// An effect for the caller to apply.
pub enum Effect {
    /// A job is ready: submit it to the core as a request.
    Submit {
        /// Id of both the job and the request.
        id: u64,
        project_type: usize,
        customer: Option<usize>,
        /// When the job became ready, in seconds of the clock.
        arrived: f64,
        /// Seconds from `arrived` to the hard limit.
        time_budget: f64,
        body: Bytes,
    },
    /// Announce to the core that a worker group was added, changed or removed.
    MemberChanged(GroupChange),
    /// Send an event to the core.
    CoreEvent(Event),
    /// Wake a session's task: it has output, or is to be closed.
    WakeSession(u64),
}

/// State of the beanstalkd server. Times are in seconds of the clock.
pub struct Hub {
    plan: Plan,
    /// The scheduler's name; `stats` reports it as the server's id.
    name: String,
    started_at: f64,
    max_job_bytes: usize,
    /// Generator of job ids, shared with the other protocols.
    job_ids: WorkUnitIds,
    /// Capacity for requests and their bodies, shared with the other protocols.
    capacity: Capacity,
    sessions: FxHashMap<u64, Session>,
    jobs: Jobs,
    machines: Machines,
    /// Attempts delivered by the core that have no outcome yet.
    attempts: FxHashMap<AttemptId, AttemptState>,
    /// Waiting reserves by watched notice tube, as sequence number and session.
    notice_waiters: HashMap<Tube, BTreeSet<(u64, u64)>>,
    /// Paused tubes, with the end and the length of the pause.
    pauses: HashMap<Tube, (f64, f64)>,
    timers: Timers,
    /// The last number assigned to a session, a waiting reserve, a buried job or a timer.
    last_number: u64,
    /// The tube that new sessions use and watch.
    default_tube: Tube,
    /// Whether the program is shutting down and accepts no more jobs.
    stopping: bool,
    /// Whether puts are refused for now, so that producers go to another process.
    pub leaving: bool,
    /// Number of attempts fully written to a worker.
    pub sends: Arc<AtomicU64>,
    /// Counters since the start.
    pub totals: Totals,
    effects: Vec<Effect>,
}

impl Hub {
    /// `now` is in seconds of the clock; `max_job_bytes` limits a job's body.
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
            effects: Vec::new(),
        }
    }

    /// Returns the effects since the last call. `empty` is an empty vector whose memory is reused.
    pub fn take_effects(&mut self, empty: Vec<Effect>) -> Vec<Effect> {
        std::mem::replace(&mut self.effects, empty)
    }

    /// Maximum size of a job's body, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.max_job_bytes
    }

    /// Reserves capacity for a job's body; `None` if there is not enough.
    pub fn reserve_body(&self, bytes: usize) -> Option<CapacityPermit> {
        self.capacity.reserve_body(bytes)
    }

    /// Returns a number larger than all earlier ones.
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Sets a timer for a time in seconds of the clock; returns its id.
    fn set_timer(&mut self, at: f64, timer: Timer) -> u64 {
        let number = self.next_number();
        self.timers.set(at, number, timer);
        number
    }

    /// Queues an event for the core.
    fn emit(&mut self, event: Event) {
        self.effects.push(Effect::CoreEvent(event));
    }

    /// Queues a wake-up of a session's task.
    fn wake_session(&mut self, session: u64) {
        self.effects.push(Effect::WakeSession(session));
    }
}
