//! Carries out what the reducer asks for.

use crate::clock::{Clock, seconds};
use crate::figures::{Ends, Figures};
use crate::reducer::Act;
use crate::types::Named;
use crate::work::{AllocId, Answer, Back, Recall};
use rustc_hash::FxHashMap;
use slog::{Logger, debug, info};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use tokio::time::Instant;

/// Follows the list service; each call begins a watch, unless one is alive.
pub trait Watcher {
    /// Has the list heard from there on, or from its whole if no version of it is known.
    fn watch(&mut self, after: Option<u64>);
}

pub struct Hands<W> {
    pub list: W,
    clock: Clock,
    log: Logger,
    /// What gives up an allocation that is out.
    out: FxHashMap<AllocId, Box<dyn Recall>>,
    /// When the decisions want to be woken.
    pub due: Option<Instant>,
    figures: Arc<Figures>,
    /// The counters of each project type, by its number.
    ends: Vec<Arc<Ends>>,
    /// Allocations called off since the last line of counts, and what the figures said then.
    closed: u64,
    counted: [u64; 4],
}

impl<W: Watcher> Hands<W> {
    pub fn new(list: W, clock: Clock, log: Logger, figures: Arc<Figures>) -> Hands<W> {
        let (out, due, ends, counted) = Default::default();
        Hands {
            list,
            clock,
            log,
            out,
            due,
            figures,
            ends,
            closed: 0,
            counted,
        }
    }

    /// These project types stand for their numbers from now on.
    pub fn take_types(&mut self, types: &[Named]) {
        for named in types {
            let ends = self.figures.of(&named.name);
            self.ends
                .resize(self.ends.len().max(named.number + 1), ends.clone());
            self.ends[named.number] = ends;
        }
    }

    /// An allocation that is back needs no recalling.
    pub fn back(&mut self, back: &Back) {
        if self.out.remove(&back.alloc).is_some() {
            let (wu, number) = back.alloc;
            debug!(self.log, "allocation back"; "outcome" => ?back.outcome, "n" => number, "wu" => wu);
        }
    }

    pub fn started(&self, (wu, number): AllocId) {
        debug!(self.log, "allocation started"; "n" => number, "wu" => wu);
    }

    pub fn left(&self, wu: u64) {
        debug!(self.log, "its client has left"; "wu" => wu);
    }

    /// One line of counts, where there is something to count.
    pub fn count(&mut self, held: usize) {
        let (so_far, closed) = (self.figures.so_far(), std::mem::take(&mut self.closed));
        let before = std::mem::replace(&mut self.counted, so_far);
        let since = |i: usize| so_far[i] - before[i];
        let [completed, deferred, aborted, sent] = [since(0), since(1), since(2), since(3)];
        if sent + completed + deferred + aborted > 0 {
            info!(self.log, "counts"; "aborted" => aborted, "deferred" => deferred, "completed" => completed,
                "allocations closed" => closed, "allocations sent" => sent, "held" => held);
        }
    }

    pub fn carry_out(&mut self, act: Act) {
        match act {
            Act::Send { to, order } => {
                let alloc = order.alloc;
                debug!(self.log, "allocation sent"; "worker" => %to, "project type" => order.project_type,
                    "n" => alloc.1, "wu" => alloc.0);
                self.out.insert(alloc, to.send(order));
            }
            Act::Recall(alloc) => {
                self.closed += 1;
                debug!(self.log, "allocation called off"; "n" => alloc.1, "wu" => alloc.0);
                if let Some(out) = self.out.remove(&alloc) {
                    out.recall();
                }
            }
            Act::Answer {
                wu,
                project_type,
                to,
                answer,
            } => {
                let ends = project_type.and_then(|number| self.ends.get(number));
                let (count, what) = match answer {
                    Answer::Completed(_) => (ends.map(|ends| &ends.completed), "completed"),
                    Answer::Deferred(_) => (ends.map(|ends| &ends.deferred), "deferred"),
                    Answer::Aborted => (ends.map(|ends| &ends.aborted), "aborted"),
                    Answer::Repeated => (None, "repeated"),
                };
                if let Some(count) = count {
                    count.fetch_add(1, Relaxed);
                }
                debug!(self.log, "answered"; "answer" => what, "wu" => wu);
                to.settle(answer);
            }
            Act::Probe { worker, to } => to.probe(worker),
            Act::Watch { after } => self.list.watch(after),
            Act::WakeIn(after) => {
                self.due = Some(self.clock.instant(self.clock.now()) + seconds(after))
            }
            Act::Log(line) => info!(self.log, "{}", line),
        }
    }
}
