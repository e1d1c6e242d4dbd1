//! The table of jobs: what was put, in which state each job is, and how it finished.

use crate::codec::{Put, Tube};
use bytes::Bytes;
use mintlb_core::capacity::CapacityPermit;
use mintlb_core::work::Answer;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};

/// The state of a job. All but `Finished` are the protocol's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// It becomes ready at `until`, in seconds of the clock.
    Delayed { until: f64 },
    /// It waits for a worker.
    Ready,
    /// A worker holds a lease on it.
    Reserved,
    /// Set aside by a worker, with its sequence number among all buried jobs.
    Buried(u64),
    /// Its request has its final answer; the record is kept for a while so that `stats-job` can show it.
    Finished(FinalStatus),
}

/// The final answer to a job's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalStatus {
    /// A worker deleted it.
    Completed,
    /// It may be put again without harm, preferably after this many seconds.
    Deferred(f64),
    /// It may have run.
    Aborted,
}

impl FinalStatus {
    /// The status that follows from the core's answer.
    pub fn of(answer: &Answer) -> FinalStatus {
        match answer {
            Answer::Completed(_) => FinalStatus::Completed,
            Answer::Deferred(come_back) => FinalStatus::Deferred(*come_back),
            Answer::Aborted | Answer::Duplicate => FinalStatus::Aborted,
        }
    }

    /// The status as replies and notices spell it.
    pub fn word(self) -> &'static str {
        match self {
            FinalStatus::Completed => "completed",
            FinalStatus::Deferred(_) => "deferred",
            FinalStatus::Aborted => "aborted",
        }
    }
}

/// How often each thing happened to a job, as `stats-job` reports it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub reserves: u64,
    pub timeouts: u64,
    pub releases: u64,
    pub buries: u64,
    pub kicks: u64,
}

/// The record of one job.
pub struct Job {
    pub tube: Tube,
    /// The line of its `put`. Release and bury change the priority in it.
    pub put: Put,
    /// When it was put, in seconds of the clock.
    pub put_at: f64,
    pub body: Bytes,
    pub state: State,
    pub counts: Counts,
    /// It reports how another job finished. It is held here alone; the core does not know it.
    pub is_notice: bool,
    /// Its request came through another protocol, which also gets the answer. Such a job is known here only
    /// while a worker holds it.
    pub is_foreign: bool,
    /// Leases on it: the core may start a second attempt beside the first.
    pub holders: usize,
    /// The session that was last given a lease on it.
    pub last_holder: Option<u64>,
    /// The final status of its request, once there is one.
    pub final_status: Option<FinalStatus>,
    /// When a finished job or a notice may be discarded, in seconds of the clock.
    pub expires_at: Option<f64>,
    /// What it takes of the capacity of all protocols together: for its body, and for the request.
    pub capacity: Option<(CapacityPermit, CapacityPermit)>,
}

impl Job {
    /// A ready job without a lease and without a hold on capacity.
    pub fn new(tube: Tube, put: Put, put_at: f64, body: Bytes) -> Job {
        Job {
            tube,
            put,
            put_at,
            body,
            state: State::Ready,
            counts: Counts::default(),
            is_notice: false,
            is_foreign: false,
            holders: 0,
            last_holder: None,
            final_status: None,
            expires_at: None,
            capacity: None,
        }
    }
}

/// All jobs by id, with an index by tube and state.
#[derive(Default)]
pub struct Jobs {
    by_id: FxHashMap<u64, Job>,
    tubes: FxHashMap<Tube, TubeJobs>,
    /// Expiry time and id of finished jobs and of notices, oldest first.
    expiring: VecDeque<(f64, u64)>,
}

/// The jobs of one tube by state, each state in the protocol's order, and the tube's counters.
#[derive(Default)]
pub struct TubeJobs {
    /// By priority and id.
    pub ready: BTreeMap<(u32, u64), ()>,
    /// By the bits of the time at which the delay is over, and id.
    pub delayed: BTreeMap<(u64, u64), ()>,
    /// Ids by sequence number.
    pub buried: BTreeMap<u64, u64>,
    /// The number of reserved jobs.
    pub reserved: usize,
    /// Ready jobs with a priority below [`URGENT_BELOW`].
    pub urgent: usize,
    /// Jobs ever put.
    pub total: u64,
    /// `delete` commands that succeeded.
    pub deleted: u64,
    /// `pause-tube` commands.
    pub paused: u64,
}

/// Jobs with a priority below this count as urgent; the limit is the protocol's.
pub const URGENT_BELOW: u32 = 1024;

impl Jobs {
    /// The job with an id.
    pub fn get(&self, id: u64) -> Option<&Job> {
        self.by_id.get(&id)
    }

    /// The job for changes. Its state, tube and priority are indexed: [`Jobs::set`] changes the state.
    pub fn get_mut(&mut self, id: u64) -> Option<&mut Job> {
        self.by_id.get_mut(&id)
    }

    /// The index of one tube, if anything was ever done with it.
    pub fn tube(&self, tube: &str) -> Option<&TubeJobs> {
        self.tubes.get(tube)
    }

    /// Updates a tube's counters; creates the tube if needed.
    pub fn update_tube(&mut self, tube: &Tube, update: impl Fn(&mut TubeJobs)) {
        update(self.tubes.entry(tube.clone()).or_default());
    }

    /// The names of all tubes that are indexed.
    pub fn tubes(&self) -> impl Iterator<Item = &Tube> {
        self.tubes.keys()
    }

    /// Adds a job under an id that no other has.
    pub fn add(&mut self, id: u64, job: Job) {
        let tube = self.tubes.entry(job.tube.clone()).or_default();
        tube.total += 1;
        tube.insert(id, &job);
        self.by_id.insert(id, job);
    }

    /// Moves a job into a state.
    pub fn set(&mut self, id: u64, state: State) {
        let Some(job) = self.by_id.get_mut(&id) else {
            return;
        };
        if let Some(tube) = self.tubes.get_mut(&job.tube) {
            tube.remove(id, job);
            job.state = state;
            tube.insert(id, job);
        }
    }

    /// Removes a job.
    pub fn remove(&mut self, id: u64) -> Option<Job> {
        let job = self.by_id.remove(&id)?;
        if let Some(tube) = self.tubes.get_mut(&job.tube) {
            tube.remove(id, &job);
        }
        Some(job)
    }

    /// Lets a job expire at a time. Returns the oldest expiring jobs beyond `max`, which are to be discarded
    /// now.
    pub fn expire_at(&mut self, id: u64, at: f64, max: usize) -> Vec<u64> {
        self.expiring.push_back((at, id));
        let excess = self.expiring.len().saturating_sub(max);
        self.expiring.drain(..excess).map(|(_, id)| id).collect()
    }

    /// Takes the jobs whose expiry time has come.
    pub fn take_expired(&mut self, now: f64) -> Vec<u64> {
        std::iter::from_fn(|| self.expiring.pop_front_if(|(at, _)| *at <= now))
            .map(|(_, id)| id)
            .collect()
    }

    /// The next expiry time, in seconds of the clock.
    pub fn next_expiry(&self) -> Option<f64> {
        self.expiring.front().map(|(at, _)| *at)
    }

    /// The sum of one figure over all tubes.
    pub fn count(&self, figure: impl Fn(&TubeJobs) -> usize) -> usize {
        self.tubes.values().map(figure).sum()
    }

    /// The number of jobs.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// There is no job.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

impl TubeJobs {
    /// The ready job with the lowest priority number, the oldest of such.
    pub fn first_ready(&self) -> Option<u64> {
        self.ready.first_key_value().map(|((_, id), ())| *id)
    }

    /// The job whose delay is over first.
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
                self.urgent += (job.put.priority < URGENT_BELOW) as usize;
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
                self.urgent -= (job.put.priority < URGENT_BELOW) as usize;
                self.ready.remove(&(job.put.priority, id));
            }
            State::Reserved => self.reserved -= 1,
            State::Buried(sequence) => drop(self.buried.remove(&sequence)),
            State::Finished(_) => {}
        }
    }
}
