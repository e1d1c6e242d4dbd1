//! Jobs, as the protocol tells of them: what was put, how it stands, and how it ended.

use crate::codec::{Put, Tube};
use bytes::Bytes;
use mintlb_core::room::Held;
use mintlb_core::work::Answer;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Delayed {
        until: f64,
    },
    Ready,
    Reserved,
    /// Buried as the one at this place in the row of all.
    Buried(u64),
    Ended(End),
}

/// How the work unit of a job ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Completed,
    /// Putting it again is harmless, best after so many seconds.
    Deferred(f64),
    /// It may have run.
    Aborted,
}

impl End {
    pub fn of(answer: &Answer) -> End {
        match answer {
            Answer::Completed(_) => End::Completed,
            Answer::Deferred(come_back) => End::Deferred(*come_back),
            Answer::Aborted | Answer::Repeated => End::Aborted,
        }
    }

    pub fn word(self) -> &'static str {
        match self {
            End::Completed => "completed",
            End::Deferred(_) => "deferred",
            End::Aborted => "aborted",
        }
    }
}

/// What happened to a job, as `stats-job` counts it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub reserves: u64,
    pub timeouts: u64,
    pub releases: u64,
    pub buries: u64,
    pub kicks: u64,
}

pub struct Job {
    pub tube: Tube,
    pub put: Put,
    pub put_at: f64,
    pub body: Bytes,
    pub state: State,
    pub counts: Counts,
    /// It tells of another's end, and is no work unit.
    pub tells: bool,
    /// It came by another front, which has its answer; here it is known only while a worker holds it.
    pub foreign: bool,
    /// How many hold it: a work unit may have an allocation beside another; and the last session that was given it.
    pub holders: usize,
    pub holder: Option<u64>,
    /// How its work unit ended, once it has, and when the record may go.
    pub end: Option<End>,
    pub goes: Option<f64>,
    /// The room that it takes among all that is held.
    pub room: Option<(Held, Held)>,
}

/// All jobs by number, and in each tube those that stand in one state, in the protocol's order.
#[derive(Default)]
pub struct Jobs {
    all: FxHashMap<u64, Job>,
    tubes: FxHashMap<Tube, InTube>,
    /// Ended jobs, and those that tell of ends, oldest first, with the time they may go.
    passing: VecDeque<(f64, u64)>,
}

/// The jobs of a tube by state: by priority and number, as those are given out.
#[derive(Default)]
pub struct InTube {
    pub ready: BTreeMap<(u32, u64), ()>,
    pub delayed: BTreeMap<(u64, u64), ()>,
    pub buried: BTreeMap<u64, u64>,
    pub reserved: usize,
    pub urgent: usize,
    pub total: u64,
    pub deleted: u64,
    pub paused: u64,
}

/// Priorities below this are urgent.
pub const URGENT: u32 = 1024;

impl Jobs {
    pub fn get(&self, id: u64) -> Option<&Job> {
        self.all.get(&id)
    }

    pub fn get_mut(&mut self, id: u64) -> Option<&mut Job> {
        self.all.get_mut(&id)
    }

    pub fn tube(&self, tube: &str) -> Option<&InTube> {
        self.tubes.get(tube)
    }

    /// Something was done to a tube, which is there from then on.
    pub fn note(&mut self, tube: &Tube, note: impl Fn(&mut InTube)) {
        note(self.tubes.entry(tube.clone()).or_default());
    }

    pub fn tubes(&self) -> impl Iterator<Item = &Tube> {
        self.tubes.keys()
    }

    pub fn add(&mut self, id: u64, job: Job) {
        let tube = self.tubes.entry(job.tube.clone()).or_default();
        tube.total += 1;
        tube.enter(id, &job);
        self.all.insert(id, job);
    }

    pub fn set(&mut self, id: u64, state: State) {
        let Some(job) = self.all.get_mut(&id) else { return };
        if let Some(tube) = self.tubes.get_mut(&job.tube) {
            tube.leave(id, job);
            job.state = state;
            tube.enter(id, job);
        }
    }

    pub fn remove(&mut self, id: u64) -> Option<Job> {
        let job = self.all.remove(&id)?;
        if let Some(tube) = self.tubes.get_mut(&job.tube) {
            tube.leave(id, &job);
        }
        Some(job)
    }

    /// It may go at that time, or when there are more than `most` like it: those it displaces now.
    pub fn passes(&mut self, id: u64, at: f64, most: usize) -> Vec<u64> {
        self.passing.push_back((at, id));
        let over = self.passing.len().saturating_sub(most);
        self.passing.drain(..over).map(|(_, id)| id).collect()
    }

    /// Those whose time to go has come.
    pub fn passed(&mut self, now: f64) -> Vec<u64> {
        std::iter::from_fn(|| self.passing.pop_front_if(|(at, _)| *at <= now)).map(|(_, id)| id).collect()
    }

    pub fn next_to_pass(&self) -> Option<f64> {
        self.passing.front().map(|(at, _)| *at)
    }

    /// How many are in a state.
    pub fn count(&self, of: impl Fn(&InTube) -> usize) -> usize {
        self.tubes.values().map(of).sum()
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}

impl InTube {
    fn enter(&mut self, id: u64, job: &Job) {
        match job.state {
            State::Delayed { until } => drop(self.delayed.insert((until.max(0.0).to_bits(), id), ())),
            State::Ready => {
                self.urgent += (job.put.priority < URGENT) as usize;
                self.ready.insert((job.put.priority, id), ());
            }
            State::Reserved => self.reserved += 1,
            State::Buried(place) => drop(self.buried.insert(place, id)),
            State::Ended(_) => {}
        }
    }

    fn leave(&mut self, id: u64, job: &Job) {
        match job.state {
            State::Delayed { until } => drop(self.delayed.remove(&(until.max(0.0).to_bits(), id))),
            State::Ready => {
                self.urgent -= (job.put.priority < URGENT) as usize;
                self.ready.remove(&(job.put.priority, id));
            }
            State::Reserved => self.reserved -= 1,
            State::Buried(place) => drop(self.buried.remove(&place)),
            State::Ended(_) => {}
        }
    }
}
