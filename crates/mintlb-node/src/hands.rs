//! Carries out what the reducer asks for.

use crate::clock::{Clock, seconds};
use crate::list::List;
use crate::reducer::{Act, AllocId, Answer, Event};
use crate::worker::Workers;
use slog::{Logger, info, warn};
use std::collections::HashMap;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio::time::Instant;

pub struct Hands {
    workers: Workers,
    list: List,
    clock: Clock,
    tell: UnboundedSender<Event>,
    log: Logger,
    /// What closes an allocation's connection.
    out: HashMap<AllocId, AbortHandle>,
    watch: Option<AbortHandle>,
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

impl Hands {
    pub fn new(
        workers: Workers,
        list: List,
        clock: Clock,
        tell: UnboundedSender<Event>,
        log: Logger,
    ) -> Hands {
        let (out, watch, due, tally) = Default::default();
        Hands { workers, list, clock, tell, log, out, watch, due, tally }
    }

    /// An allocation that is back needs no closing.
    pub fn back(&mut self, alloc: AllocId) {
        self.out.remove(&alloc);
    }

    /// The list is watched there from now on; a watch of the old address ends.
    pub fn follow(&mut self, list: List) {
        self.list = list;
        self.watch.take().iter().for_each(AbortHandle::abort);
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
            Act::Send(order) => {
                self.tally.sent += 1;
                let (workers, tell) = (self.workers.clone(), self.tell.clone());
                let alloc = order.alloc;
                let task = async move { workers.allocate(&order, &tell).await };
                self.out.insert(alloc, tokio::spawn(task).abort_handle());
            }
            Act::Close(alloc) => {
                self.tally.closed += 1;
                if let Some(task) = self.out.remove(&alloc) {
                    task.abort();
                }
            }
            Act::Answer { to, answer } => {
                match answer {
                    Answer::Completed(_) => self.tally.completed += 1,
                    Answer::Deferred(_) => self.tally.deferred += 1,
                    Answer::Aborted => self.tally.aborted += 1,
                    Answer::Repeated => {}
                }
                to.send(answer).ok();
            }
            Act::Probe { worker, to } => {
                let (workers, tell) = (self.workers.clone(), self.tell.clone());
                tokio::spawn(async move { workers.probe(worker, to, &tell).await });
            }
            // A question that was due before the list moved must not end the watch that has begun since.
            Act::Watch { .. } if self.watch.as_ref().is_some_and(|watch| !watch.is_finished()) => {}
            Act::Watch { after } => {
                let (list, tell, log) = (self.list.clone(), self.tell.clone(), self.log.clone());
                let task = async move {
                    let why = list.watch(after, &tell).await;
                    warn!(log, "the watch of the list ended"; "why" => why);
                };
                self.watch = Some(tokio::spawn(task).abort_handle());
            }
            Act::WakeIn(after) => self.due = Some(self.clock.instant(self.clock.now()) + seconds(after)),
            Act::Log(line) => info!(self.log, "{}", line),
        }
    }
}
