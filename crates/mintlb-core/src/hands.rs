//! Carries out what the reducer asks for.

use crate::clock::{Clock, seconds};
use crate::reducer::Act;
use crate::work::{AllocId, Answer, Recall};
use rustc_hash::FxHashMap;
use slog::{Logger, info};
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
    pub fn back(&mut self, alloc: AllocId) {
        self.out.remove(&alloc);
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
                self.out.insert(alloc, to.send(order));
            }
            Act::Recall(alloc) => {
                self.tally.closed += 1;
                if let Some(out) = self.out.remove(&alloc) {
                    out.recall();
                }
            }
            Act::Answer { to, answer } => {
                match answer {
                    Answer::Completed(_) => self.tally.completed += 1,
                    Answer::Deferred(_) => self.tally.deferred += 1,
                    Answer::Aborted => self.tally.aborted += 1,
                    Answer::Repeated => {}
                }
                to.settle(answer);
            }
            Act::Probe { worker, to } => to.probe(worker),
            Act::Watch { after } => self.list.watch(after),
            Act::WakeIn(after) => self.due = Some(self.clock.instant(self.clock.now()) + seconds(after)),
            Act::Log(line) => info!(self.log, "{}", line),
        }
    }
}
