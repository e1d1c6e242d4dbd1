//! Executes the actions that the reducer returns, and logs and counts them.

use crate::clock::{Clock, clamped_duration};
use crate::metrics::{AnswerCounts, Metrics};
use crate::project_types::NamedProjectType;
use crate::reducer::Action;
use crate::work::{Answer, AttemptId, AttemptResult, CancelHandle};
use rustc_hash::FxHashMap;
use slog::{Logger, debug, info};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use tokio::time::Instant;

/// Follows the list service. Each call starts a watch unless one is running.
pub trait ListWatcher {
    /// Reports the changes after this version, or the complete list first if no version is known.
    fn watch(&mut self, after: Option<u64>);
}

/// Executes actions, one at a time, on the event loop.
pub struct ActionExecutor<W> {
    pub list_watcher: W,
    clock: Clock,
    log: Logger,
    /// Cancels the attempts in flight.
    in_flight: FxHashMap<AttemptId, Box<dyn CancelHandle>>,
    /// When the next [`crate::reducer::Event::TimerFired`] is due, if the scheduler has asked for one.
    pub wake_at: Option<Instant>,
    metrics: Arc<Metrics>,
    /// The answer counters, indexed by project type number.
    counts_by_number: Vec<Arc<AnswerCounts>>,
    /// Attempts cancelled since the counts were last logged.
    cancelled: u64,
    /// The totals when the counts were last logged.
    logged_totals: [u64; 4],
}

impl<W: ListWatcher> ActionExecutor<W> {
    /// Without project types and without any attempt in flight.
    pub fn new(
        list_watcher: W,
        clock: Clock,
        log: Logger,
        metrics: Arc<Metrics>,
    ) -> ActionExecutor<W> {
        let (in_flight, wake_at, counts_by_number, logged_totals) = Default::default();
        ActionExecutor {
            list_watcher,
            clock,
            log,
            in_flight,
            wake_at,
            metrics,
            counts_by_number,
            cancelled: 0,
            logged_totals,
        }
    }

    /// Assigns project types to their numbers from now on.
    pub fn set_project_types(&mut self, types: &[NamedProjectType]) {
        for named in types {
            let counts = self.metrics.answer_counts(&named.name);
            self.counts_by_number.resize(
                self.counts_by_number.len().max(named.number + 1),
                counts.clone(),
            );
            self.counts_by_number[named.number] = counts;
        }
    }

    /// Logs the result of an attempt, which can't be cancelled any more.
    pub fn record_result(&mut self, result: &AttemptResult) {
        if self.in_flight.remove(&result.attempt_id).is_some() {
            let (work_unit, number) = result.attempt_id;
            debug!(self.log, "allocation back"; "outcome" => ?result.outcome, "n" => number, "wu" => work_unit);
        }
    }

    /// Logs that a worker has started an attempt.
    pub fn log_started(&self, (work_unit, number): AttemptId) {
        debug!(self.log, "allocation started"; "n" => number, "wu" => work_unit);
    }

    /// Logs that the client of a work unit has disconnected.
    pub fn log_client_left(&self, work_unit: u64) {
        debug!(self.log, "client disconnected"; "wu" => work_unit);
    }

    /// Logs the counts since the last call, unless all are zero.
    pub fn log_counts(&mut self, held: usize) {
        let (totals, cancelled) = (self.metrics.totals(), std::mem::take(&mut self.cancelled));
        let previous = std::mem::replace(&mut self.logged_totals, totals);
        let since = |i: usize| totals[i] - previous[i];
        let [completed, deferred, aborted, sent] = [since(0), since(1), since(2), since(3)];
        if sent + completed + deferred + aborted > 0 {
            info!(self.log, "counts"; "aborted" => aborted, "deferred" => deferred, "completed" => completed,
                "allocations closed" => cancelled, "allocations sent" => sent, "held" => held);
        }
    }

    /// Executes one action.
    pub fn execute(&mut self, action: Action) {
        match action {
            Action::Send { endpoint, request } => {
                let attempt_id = request.attempt_id;
                debug!(self.log, "allocation sent"; "worker" => %endpoint, "project type" => request.project_type,
                    "n" => attempt_id.1, "wu" => attempt_id.0);
                self.in_flight.insert(attempt_id, endpoint.send(request));
            }
            Action::Cancel(attempt_id) => {
                self.cancelled += 1;
                debug!(self.log, "allocation called off"; "n" => attempt_id.1, "wu" => attempt_id.0);
                if let Some(cancel_handle) = self.in_flight.remove(&attempt_id) {
                    cancel_handle.cancel();
                }
            }
            Action::Answer {
                work_unit,
                project_type,
                responder,
                answer,
            } => {
                let counts = project_type.and_then(|number| self.counts_by_number.get(number));
                let (counter, answer_name) = match answer {
                    Answer::Completed(_) => (counts.map(|counts| &counts.completed), "completed"),
                    Answer::Deferred(_) => (counts.map(|counts| &counts.deferred), "deferred"),
                    Answer::Aborted => (counts.map(|counts| &counts.aborted), "aborted"),
                    Answer::Duplicate => (None, "repeated"),
                };
                if let Some(counter) = counter {
                    counter.fetch_add(1, Relaxed);
                }
                debug!(self.log, "answered"; "answer" => answer_name, "wu" => work_unit);
                responder.respond(answer);
            }
            Action::Probe { worker, endpoint } => endpoint.probe(worker),
            Action::Watch { after } => self.list_watcher.watch(after),
            Action::WakeIn(seconds) => {
                self.wake_at =
                    Some(self.clock.instant(self.clock.now()) + clamped_duration(seconds))
            }
            Action::Log(line) => info!(self.log, "{}", line),
        }
    }
}
