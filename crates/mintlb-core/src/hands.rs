//! Carries out what the reducer asks for.

use crate::clock::{Clock, seconds};
use crate::reducer::Act;
use crate::work::{AllocId, Answer, Back, Recall};
use rustc_hash::FxHashMap;
use slog::{Logger, debug, info};
use tokio::time::Instant;

/// Follows the list service; each call begins a watch, unless one is alive.
pub trait Watcher {
    fn watch(&mut self, after: u64);
}

pub struct Hands<W> {
    pub list: W,
    clock: Clock,
    log: Logger,
    /// What gives up an allocation that is out.
    out: FxHashMap<AllocId, Box<dyn Recall>>,
    /// When the decisions want to be woken.
    pub due: Option<Instant>,
    tally: Tally,
}

/// What was done since the last line of counts.
#[derive(Default)]
struct Tally {
    sent: u64,
    closed: u64,
    completed: u64,
    deferred: u64,
    aborted: u64,
}

impl<W: Watcher> Hands<W> {
    pub fn new(list: W, clock: Clock, log: Logger) -> Hands<W> {
        let (out, due, tally) = Default::default();
        Hands { list, clock, log, out, due, tally }
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

    /// One line of counts, where there is something to count.
    pub fn count(&mut self, held: usize) {
        let Tally { sent, closed, completed, deferred, aborted } = std::mem::take(&mut self.tally);
        if sent + completed + deferred + aborted > 0 {
            info!(self.log, "counts"; "aborted" => aborted, "deferred" => deferred, "completed" => completed,
                "allocations closed" => closed, "allocations sent" => sent, "held" => held);
        }
    }

    pub fn carry_out(&mut self, act: Act) {
        match act {
            Act::Send { to, order } => {
                self.tally.sent += 1;
                let alloc = order.alloc;
                debug!(self.log, "allocation sent"; "worker" => %to, "project type" => order.project_type,
                    "n" => alloc.1, "wu" => alloc.0);
                self.out.insert(alloc, to.send(order));
            }
            Act::Recall(alloc) => {
                self.tally.closed += 1;
                debug!(self.log, "allocation called off"; "n" => alloc.1, "wu" => alloc.0);
                if let Some(out) = self.out.remove(&alloc) {
                    out.recall();
                }
            }
            Act::Answer { wu, to, answer } => {
                let (count, what) = match answer {
                    Answer::Completed(_) => (Some(&mut self.tally.completed), "completed"),
                    Answer::Deferred(_) => (Some(&mut self.tally.deferred), "deferred"),
                    Answer::Aborted => (Some(&mut self.tally.aborted), "aborted"),
                    Answer::Repeated => (None, "repeated"),
                };
                count.into_iter().for_each(|count| *count += 1);
                debug!(self.log, "answered"; "answer" => what, "wu" => wu);
                to.settle(answer);
            }
            Act::Probe { worker, to } => to.probe(worker),
            Act::Watch { after } => self.list.watch(after),
            Act::WakeIn(after) => self.due = Some(self.clock.instant(self.clock.now()) + seconds(after)),
            Act::Log(line) => info!(self.log, "{}", line),
        }
    }
}
