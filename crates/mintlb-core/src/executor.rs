//! Carries out what the reducer asks for.

use crate::clock::{Clock, clamped_duration};
use crate::metrics::{AnswerCounts, Metrics};
use crate::project_types::NamedProjectType;
use crate::reducer::Action;
use crate::work::{AllocationId, AllocationResult, Answer, CancelHandle};
use rustc_hash::FxHashMap;
use slog::{Logger, debug, info};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use tokio::time::Instant;

/// Follows the list service; each call begins a watch, unless one is alive.
pub trait ListWatcher {
    /// Has the list heard from there on, or from its whole if no version of it is known.
    fn watch(&mut self, after: Option<u64>);
}

pub struct ActionExecutor<W> {
    pub list_watcher: W,
    clock: Clock,
    log: Logger,
    /// What gives up an allocation that is out.
    out: FxHashMap<AllocationId, Box<dyn CancelHandle>>,
    /// When the decisions want to be woken.
    pub wake_at: Option<Instant>,
    metrics: Arc<Metrics>,
    /// The counters of each project type, by its number.
    ends: Vec<Arc<AnswerCounts>>,
    /// Allocations called off since the last line of counts, and what the figures said then.
    closed: u64,
    counted: [u64; 4],
}

impl<W: ListWatcher> ActionExecutor<W> {
    pub fn new(
        list_watcher: W,
        clock: Clock,
        log: Logger,
        metrics: Arc<Metrics>,
    ) -> ActionExecutor<W> {
        let (out, wake_at, ends, counted) = Default::default();
        ActionExecutor {
            list_watcher,
            clock,
            log,
            out,
            wake_at,
            metrics,
            ends,
            closed: 0,
            counted,
        }
    }

    /// These project types stand for their numbers from now on.
    pub fn set_project_types(&mut self, types: &[NamedProjectType]) {
        for named in types {
            let ends = self.metrics.answer_counts(&named.name);
            self.ends
                .resize(self.ends.len().max(named.number + 1), ends.clone());
            self.ends[named.number] = ends;
        }
    }

    /// An allocation that is back needs no recalling.
    pub fn record_result(&mut self, back: &AllocationResult) {
        if self.out.remove(&back.allocation_id).is_some() {
            let (work_unit, number) = back.allocation_id;
            debug!(self.log, "allocation back"; "outcome" => ?back.outcome, "n" => number, "wu" => work_unit);
        }
    }

    pub fn log_started(&self, (work_unit, number): AllocationId) {
        debug!(self.log, "allocation started"; "n" => number, "wu" => work_unit);
    }

    pub fn log_client_left(&self, work_unit: u64) {
        debug!(self.log, "its client has left"; "wu" => work_unit);
    }

    /// One line of counts, where there is something to count.
    pub fn log_counts(&mut self, held: usize) {
        let (totals, closed) = (self.metrics.totals(), std::mem::take(&mut self.closed));
        let before = std::mem::replace(&mut self.counted, totals);
        let since = |i: usize| totals[i] - before[i];
        let [completed, deferred, aborted, sent] = [since(0), since(1), since(2), since(3)];
        if sent + completed + deferred + aborted > 0 {
            info!(self.log, "counts"; "aborted" => aborted, "deferred" => deferred, "completed" => completed,
                "allocations closed" => closed, "allocations sent" => sent, "held" => held);
        }
    }

    pub fn execute(&mut self, act: Action) {
        match act {
            Action::Send { endpoint, request } => {
                let allocation_id = request.allocation_id;
                debug!(self.log, "allocation sent"; "worker" => %endpoint, "project type" => request.project_type,
                    "n" => allocation_id.1, "wu" => allocation_id.0);
                self.out.insert(allocation_id, endpoint.send(request));
            }
            Action::Cancel(allocation_id) => {
                self.closed += 1;
                debug!(self.log, "allocation called off"; "n" => allocation_id.1, "wu" => allocation_id.0);
                if let Some(out) = self.out.remove(&allocation_id) {
                    out.cancel();
                }
            }
            Action::Answer {
                work_unit,
                project_type,
                responder,
                answer,
            } => {
                let ends = project_type.and_then(|number| self.ends.get(number));
                let (count, what) = match answer {
                    Answer::Completed(_) => (ends.map(|ends| &ends.completed), "completed"),
                    Answer::Deferred(_) => (ends.map(|ends| &ends.deferred), "deferred"),
                    Answer::Aborted => (ends.map(|ends| &ends.aborted), "aborted"),
                    Answer::Duplicate => (None, "repeated"),
                };
                if let Some(count) = count {
                    count.fetch_add(1, Relaxed);
                }
                debug!(self.log, "answered"; "answer" => what, "wu" => work_unit);
                responder.respond(answer);
            }
            Action::Probe { worker, endpoint } => endpoint.probe(worker),
            Action::Watch { after } => self.list_watcher.watch(after),
            Action::WakeIn(after) => {
                self.wake_at = Some(self.clock.instant(self.clock.now()) + clamped_duration(after))
            }
            Action::Log(line) => info!(self.log, "{}", line),
        }
    }
}
