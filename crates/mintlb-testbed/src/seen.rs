//! What the stand-ins saw on the wire: all that the audit goes by.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// An allocation whose last byte came from a process.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: u64,
    pub process: usize,
    pub worker: usize,
    /// The worker's starts before; another life is another worker.
    pub life: u32,
    /// Its last byte came after the first of these moments and no later than the second: a look at all connections had
    /// not found it yet, and one found it.
    pub after: f64,
    pub by: f64,
    /// When its first byte was seen.
    pub first: f64,
    /// The running time that it costs there.
    pub work: f64,
    pub began: Option<f64>,
    /// It was told that it was turned away, never having begun.
    pub returned: Option<f64>,
    /// It holds nothing at the worker from then on.
    pub ended: Option<f64>,
    pub done: bool,
}

/// A work unit that a client handed in, whole.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: u64,
    pub process: usize,
    pub of: usize,
    pub at: f64,
    /// Statuses of whole answers, and when each was whole.
    pub answers: Vec<(f64, u16)>,
    /// Its connection ended with no whole answer.
    pub broken: Option<f64>,
}

/// What the rig itself did, or a process did by itself.
#[derive(Clone, Debug)]
pub struct Mark {
    pub at: f64,
    pub what: String,
}

/// When a process was there to serve: from its readiness to its end or a signal that keeps it from serving.
#[derive(Clone, Copy, Debug)]
pub struct Stretch {
    pub process: usize,
    pub from: f64,
    pub to: Option<f64>,
}

/// A drain, or a process told of one: what the list had said to a process.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    pub process: usize,
    pub worker: usize,
    pub at: f64,
    pub ready: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub sent: Vec<Sent>,
    pub asked: Vec<Asked>,
    pub marks: Vec<Mark>,
    pub stretches: Vec<Stretch>,
    pub told: Vec<Told>,
    /// Files that gave a budget another whole: when, process, budget, rate, burst.
    pub wholes: Vec<(f64, usize, usize, f64, f64)>,
    /// Starts of workers that came up cold: worker, life, when.
    pub cold: Vec<(usize, u32, f64)>,
}

impl Seen {
    /// Counts all moments from this one.
    pub fn shift(&mut self, from: f64) {
        for sent in &mut self.sent {
            let Sent {
                after,
                by,
                first,
                began,
                returned,
                ended,
                ..
            } = sent;
            let some = [began, returned, ended].into_iter().flatten();
            [after, by, first]
                .into_iter()
                .chain(some)
                .for_each(|at| *at -= from);
        }
        for asked in &mut self.asked {
            asked.at -= from;
            asked
                .answers
                .iter_mut()
                .map(|(at, _)| at)
                .chain(&mut asked.broken)
                .for_each(|at| *at -= from);
        }
        self.marks.iter_mut().for_each(|mark| mark.at -= from);
        for stretch in &mut self.stretches {
            stretch.from -= from;
            stretch.to.iter_mut().for_each(|to| *to -= from);
        }
        self.told.iter_mut().for_each(|told| told.at -= from);
        self.wholes.iter_mut().for_each(|(at, ..)| *at -= from);
        self.cold.iter_mut().for_each(|(_, _, at)| *at -= from);
    }
}

/// Shared among the stand-ins, with the one clock of the rig.
#[derive(Clone)]
pub struct Book {
    began: Instant,
    seen: Arc<Mutex<Seen>>,
}

impl Book {
    pub fn new(began: Instant) -> Book {
        Book {
            began,
            seen: Arc::default(),
        }
    }

    /// Seconds since it was opened.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn instant(&self, at: f64) -> Instant {
        self.began + std::time::Duration::from_secs_f64(at.max(0.0))
    }

    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn mark(&self, what: String) {
        let at = self.now();
        self.seen().marks.push(Mark { at, what });
    }
}
