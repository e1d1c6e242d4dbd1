//! What the simulated peers observed on the wire. The audit uses nothing else.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// An attempt that a worker received completely from a process. Times are seconds on the recorder's clock.
#[derive(Clone, Debug)]
pub struct ObservedAttempt {
    pub id: u64,
    pub process: usize,
    pub worker: usize,
    /// How often the worker had been restarted. Each incarnation counts as a separate worker.
    pub incarnation: u32,
    /// The last byte arrived after `received_after` and no later than `received_by`: the former is the last poll of all
    /// connections that did not find it, the latter the poll that did.
    pub received_after: f64,
    pub received_by: f64,
    /// The first byte arrived after this time, in the poll that follows it.
    pub first_byte_at: f64,
    /// Run time that it needs on this worker.
    pub run_time_s: f64,
    pub started_at: Option<f64>,
    /// When the process was told that the worker rejected it without starting it.
    pub rejected_at: Option<f64>,
    /// From then on it holds no slot or queue entry of the worker.
    pub ended_at: Option<f64>,
    pub succeeded: bool,
}

/// A work unit that a client submitted completely.
#[derive(Clone, Debug)]
pub struct ObservedRequest {
    pub id: u64,
    pub process: usize,
    /// Index into the scenario's project types.
    pub project_type: usize,
    pub sent_at: f64,
    /// Time of completion and status of each complete response. Status 0 stands for unsolicited bytes on an idle
    /// connection.
    pub responses: Vec<(f64, u16)>,
    /// When its connection ended without a complete response.
    pub broken_at: Option<f64>,
}

/// An injected fault, or the start or exit of a process.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: f64,
    pub description: String,
}

/// When a process was able to serve: from its readiness until it exits or receives a signal that prevents it.
#[derive(Clone, Copy, Debug)]
pub struct ServingInterval {
    pub process: usize,
    pub from: f64,
    pub to: Option<f64>,
}

/// The state of a worker that the list service reported to a process.
#[derive(Clone, Copy, Debug)]
pub struct ListUpdate {
    pub process: usize,
    pub worker: usize,
    pub at: f64,
    /// The worker is listed as serving, so neither draining nor deleted.
    pub ready: bool,
}

/// Everything that was observed during one run.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    pub attempts: Vec<ObservedAttempt>,
    pub requests: Vec<ObservedRequest>,
    pub events: Vec<Event>,
    pub serving_intervals: Vec<ServingInterval>,
    pub list_updates: Vec<ListUpdate>,
    /// Changes of a budget in a process's configuration file: time, process, budget, rate, burst.
    pub budget_changes: Vec<(f64, usize, usize, f64, f64)>,
    /// Workers that restarted cold: worker, incarnation, time.
    pub cold_starts: Vec<(usize, u32, f64)>,
}

impl Observations {
    /// Makes all times relative to `from`.
    pub fn rebase(&mut self, from: f64) {
        for attempt in &mut self.attempts {
            let ObservedAttempt {
                received_after,
                received_by,
                first_byte_at,
                started_at,
                rejected_at,
                ended_at,
                ..
            } = attempt;
            let optional = [started_at, rejected_at, ended_at].into_iter().flatten();
            [received_after, received_by, first_byte_at]
                .into_iter()
                .chain(optional)
                .for_each(|at| *at -= from);
        }
        for request in &mut self.requests {
            request.sent_at -= from;
            request
                .responses
                .iter_mut()
                .map(|(at, _)| at)
                .chain(&mut request.broken_at)
                .for_each(|at| *at -= from);
        }
        self.events.iter_mut().for_each(|event| event.at -= from);
        for interval in &mut self.serving_intervals {
            interval.from -= from;
            interval.to.iter_mut().for_each(|to| *to -= from);
        }
        self.list_updates
            .iter_mut()
            .for_each(|update| update.at -= from);
        self.budget_changes
            .iter_mut()
            .for_each(|(at, ..)| *at -= from);
        self.cold_starts
            .iter_mut()
            .for_each(|(_, _, at)| *at -= from);
    }
}

/// Collects the observations of all simulated peers, on one common clock.
#[derive(Clone)]
pub struct Recorder {
    created_at: Instant,
    observations: Arc<Mutex<Observations>>,
}

impl Recorder {
    pub fn new(created_at: Instant) -> Recorder {
        Recorder {
            created_at,
            observations: Arc::default(),
        }
    }

    /// Seconds since the recorder was created.
    pub fn now(&self) -> f64 {
        self.created_at.elapsed().as_secs_f64()
    }

    /// The instant that corresponds to a time on the recorder's clock.
    pub fn instant(&self, at: f64) -> Instant {
        self.created_at + std::time::Duration::from_secs_f64(at.max(0.0))
    }

    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        self.observations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub fn record_event(&self, description: String) {
        let at = self.now();
        self.observations().events.push(Event { at, description });
    }
}
