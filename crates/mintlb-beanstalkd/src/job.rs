//! Job records with their states, and indexes by tube, state and expiry time.

use crate::codec::{Put, Tube};
use bytes::Bytes;
use mintlb_core::capacity::CapacityPermit;
use mintlb_core::work::Answer;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};

/// State of a job. All but `Finished` are defined by the protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// Becomes ready at `until`, in seconds of the clock.
    Delayed { until: f64 },
    /// Waiting for a worker.
    Ready,
    /// Leased by a worker.
    Reserved,
    /// Buried by a worker; the number gives the order among all buried jobs.
    Buried(u64),
    /// The core has given its final answer. The record is kept for the retention period so that `stats-job` can
    /// show it.
    Finished(FinalStatus),
}

/// Final outcome of a job's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalStatus {
    /// A worker deleted the job.
    Completed,
    /// The job may safely be put again, preferably after this many seconds.
    Deferred(f64),
    /// The job may have run.
    Aborted,
}

impl FinalStatus {
    /// Maps the core's answer to a status.
    pub fn from_answer(answer: &Answer) -> FinalStatus {
        match answer {
            Answer::Completed(_) => FinalStatus::Completed,
            Answer::Deferred(retry_after) => FinalStatus::Deferred(*retry_after),
            Answer::Aborted | Answer::Duplicate => FinalStatus::Aborted,
        }
    }

    /// The status as spelled in replies and notices.
    pub fn as_str(self) -> &'static str {
        match self {
            FinalStatus::Completed => "completed",
            FinalStatus::Deferred(_) => "deferred",
            FinalStatus::Aborted => "aborted",
        }
    }
}

/// Per-job counters reported by `stats-job`.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobCounters {
    pub reserves: u64,
    pub timeouts: u64,
    pub releases: u64,
    pub buries: u64,
    pub kicks: u64,
}

/// Record of a job.
pub struct Job {
    pub tube: Tube,
    /// The arguments of its `put`; release and bury change the priority.
    pub put: Put,
    /// When the job was put, in seconds of the clock.
    pub put_at: f64,
    pub body: Bytes,
    pub state: State,
    pub counts: JobCounters,
    /// Whether this is a notice, which reports how another job finished. The core does not know of notices.
    pub is_notice: bool,
    /// Whether the request came through another protocol, which also receives the answer. Such a job has a record here
    /// only while a worker holds it.
    pub is_from_other_protocol: bool,
    /// Number of leases on the job; can exceed 1 because the core may start a second attempt in parallel.
    pub lease_count: usize,
    /// The session that last received a lease on the job.
    pub last_session: Option<u64>,
    /// Final status of the request; `None` until the core has answered.
    pub final_status: Option<FinalStatus>,
    /// When a finished job or a notice expires, in seconds of the clock; `None` for all others.
    pub expires_at: Option<f64>,
    /// Capacity held for the body and for the request, out of the total shared by all protocols.
    pub capacity: Option<(CapacityPermit, CapacityPermit)>,
}

impl Job {
    /// A ready job without leases that holds no capacity.
    pub fn new(tube: Tube, put: Put, put_at: f64, body: Bytes) -> Job {
        Job {
            tube,
            put,
            put_at,
            body,
            state: State::Ready,
            counts: JobCounters::default(),
            is_notice: false,
            is_from_other_protocol: false,
            lease_count: 0,
            last_session: None,
            final_status: None,
            expires_at: None,
            capacity: None,
        }
    }
}

/// All job records by id, indexed by tube and state.
#[derive(Default)]
pub struct Jobs {
    by_id: FxHashMap<u64, Job>,
    tubes: FxHashMap<Tube, TubeJobs>,
    /// Expiry time and id of finished jobs and notices, oldest first.
    expiring: VecDeque<(f64, u64)>,
}

/// Index and counters of one tube. Jobs of each state are kept in the order the protocol defines for it.
#[derive(Default)]
pub struct TubeJobs {
    /// By priority and id.
    pub ready: BTreeMap<(u32, u64), ()>,
    /// By the bits of the time at which the delay ends, and id. The bits of non-negative floats sort like the floats.
    pub delayed: BTreeMap<(u64, u64), ()>,
    /// Job ids by burial sequence number.
    pub buried: BTreeMap<u64, u64>,
    /// Number of reserved jobs.
    pub reserved: usize,
    /// Number of ready jobs with a priority below [`URGENT_PRIORITY_LIMIT`].
    pub urgent: usize,
    /// Total number of jobs added.
    pub total: u64,
    /// Number of successful `delete` commands.
    pub deleted: u64,
    /// Number of `pause-tube` commands.
    pub paused: u64,
}

/// Jobs with a priority number below this count as urgent, as the protocol defines.
pub const URGENT_PRIORITY_LIMIT: u32 = 1024;

impl Jobs {
    pub fn get(&self, id: u64) -> Option<&Job> {
        self.by_id.get(&id)
    }

    /// Mutable access to a job. Do not change indexed fields (state, tube, and the priority of a ready job) here; use
    /// [`Jobs::set_state`] for the state.
    pub fn get_mut(&mut self, id: u64) -> Option<&mut Job> {
        self.by_id.get_mut(&id)
    }

    /// The index of a tube; `None` if it never held a job and has no counters.
    pub fn tube(&self, tube: &str) -> Option<&TubeJobs> {
        self.tubes.get(tube)
    }

    /// Updates a tube's counters; creates the tube's index if needed.
    pub fn update_tube(&mut self, tube: &Tube, update: impl Fn(&mut TubeJobs)) {
        update(self.tubes.entry(tube.clone()).or_default());
    }

    /// Names of all indexed tubes.
    pub fn tubes(&self) -> impl Iterator<Item = &Tube> {
        self.tubes.keys()
    }

    /// Adds a job; the id must be unused.
    pub fn add(&mut self, id: u64, job: Job) {
        let tube = self.tubes.entry(job.tube.clone()).or_default();
        tube.total += 1;
        tube.insert(id, &job);
        self.by_id.insert(id, job);
    }

    /// Changes a job's state and updates the index.
    pub fn set_state(&mut self, id: u64, state: State) {
        let Some(job) = self.by_id.get_mut(&id) else {
            return;
        };
        if let Some(tube) = self.tubes.get_mut(&job.tube) {
            tube.remove(id, job);
            job.state = state;
            tube.insert(id, job);
        }
    }

    pub fn remove(&mut self, id: u64) -> Option<Job> {
        let job = self.by_id.remove(&id)?;
        if let Some(tube) = self.tubes.get_mut(&job.tube) {
            tube.remove(id, &job);
        }
        Some(job)
    }

    /// Schedules a job's expiry. If more than `max` jobs are scheduled, returns the oldest ones for the caller to
    /// discard now.
    pub fn expire_at(&mut self, id: u64, at: f64, max: usize) -> Vec<u64> {
        self.expiring.push_back((at, id));
        let excess = self.expiring.len().saturating_sub(max);
        self.expiring.drain(..excess).map(|(_, id)| id).collect()
    }

    /// Removes and returns the jobs whose expiry time has passed from the schedule.
    pub fn take_expired(&mut self, now: f64) -> Vec<u64> {
        std::iter::from_fn(|| self.expiring.pop_front_if(|(at, _)| *at <= now))
            .map(|(_, id)| id)
            .collect()
    }

    /// Next expiry time, in seconds of the clock.
    pub fn next_expiry(&self) -> Option<f64> {
        self.expiring.front().map(|(at, _)| *at)
    }

    /// Sums a figure over all tubes.
    pub fn count(&self, figure: impl Fn(&TubeJobs) -> usize) -> usize {
        self.tubes.values().map(figure).sum()
    }

    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

impl TubeJobs {
    /// The ready job with the lowest priority number, and of these the oldest.
    pub fn first_ready(&self) -> Option<u64> {
        self.ready.first_key_value().map(|((_, id), ())| *id)
    }

    /// The delayed job whose delay ends first.
    pub fn first_delayed(&self) -> Option<u64> {
        self.delayed.first_key_value().map(|((_, id), ())| *id)
    }

    /// The job that has been buried for longest.
    pub fn first_buried(&self) -> Option<u64> {
        self.buried.first_key_value().map(|(_, id)| *id)
    }

    fn insert(&mut self, id: u64, job: &Job) {
        match job.state {
            State::Delayed { until } => {
                self.delayed.insert((until.max(0.0).to_bits(), id), ());
            }
            State::Ready => {
                self.urgent += (job.put.priority < URGENT_PRIORITY_LIMIT) as usize;
                self.ready.insert((job.put.priority, id), ());
            }
            State::Reserved => self.reserved += 1,
            State::Buried(sequence) => drop(self.buried.insert(sequence, id)),
            State::Finished(_) => {}
        }
    }

    fn remove(&mut self, id: u64, job: &Job) {
        match job.state {
            State::Delayed { until } => drop(self.delayed.remove(&(until.max(0.0).to_bits(), id))),
            State::Ready => {
                self.urgent -= (job.put.priority < URGENT_PRIORITY_LIMIT) as usize;
                self.ready.remove(&(job.put.priority, id));
            }
            State::Reserved => self.reserved -= 1,
            State::Buried(sequence) => drop(self.buried.remove(&sequence)),
            State::Finished(_) => {}
        }
    }
}
