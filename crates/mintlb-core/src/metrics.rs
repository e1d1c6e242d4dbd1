//! What was done, counted once, where it is known. The door's page and the log read the same counters, which begin
//! at 0 with each process.

use crate::project_types::MAX_NUMBERS_PER_TYPE;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The answers that work units of one project type got.
#[derive(Debug, Default)]
pub struct AnswerCounts {
    pub completed: AtomicU64,
    pub deferred: AtomicU64,
    pub aborted: AtomicU64,
}

impl AnswerCounts {
    fn all(&self) -> [u64; 3] {
        [&self.completed, &self.deferred, &self.aborted].map(|count| count.load(Relaxed))
    }
}

#[derive(Default)]
pub struct Metrics {
    /// By name, so that a project type that is dropped and comes back counts on.
    types: Mutex<Vec<(String, Arc<AnswerCounts>)>>,
    /// Allocations whose last byte the system took on its way to a worker.
    sent_allocations: Arc<AtomicU64>,
    /// Configurations taken and turned down while serving.
    pub configs_applied: AtomicU64,
    pub configs_rejected: AtomicU64,
}

/// What is so now, and known elsewhere.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Work units taken and not answered.
    pub open_work_units: usize,
    pub listed_workers: usize,
    pub avoided_workers: usize,
}

/// Names kept at the most, as configurations may name others without end: those of a number of type tables.
const NAMES: usize = 4 * MAX_NUMBERS_PER_TYPE;

impl Metrics {
    fn types(&self) -> MutexGuard<'_, Vec<(String, Arc<AnswerCounts>)>> {
        self.types.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The counters of the project type of this name, also if it was dropped meanwhile.
    pub fn answer_counts(&self, name: &str) -> Arc<AnswerCounts> {
        let mut types = self.types();
        if let Some((_, ends)) = types.iter().find(|(known, _)| known == name) {
            return ends.clone();
        }
        if types.len() >= NAMES {
            // Nobody counts on it but this list.
            let unused = types
                .iter()
                .position(|(_, ends)| Arc::strong_count(ends) == 1);
            types.remove(unused.unwrap_or(0));
        }
        let ends: Arc<AnswerCounts> = Arc::default();
        types.push((name.to_string(), ends.clone()));
        ends
    }

    /// The counter of allocations written whole, for what writes them.
    pub fn sent_allocations(&self) -> Arc<AtomicU64> {
        self.sent_allocations.clone()
    }

    /// Completed, deferred and aborted over all project types, and allocations sent, so far.
    pub fn totals(&self) -> [u64; 4] {
        let ends = self
            .types()
            .iter()
            .map(|(_, ends)| ends.all())
            .fold([0; 3], |sum, ends| {
                [sum[0] + ends[0], sum[1] + ends[1], sum[2] + ends[2]]
            });
        [
            ends[0],
            ends[1],
            ends[2],
            self.sent_allocations.load(Relaxed),
        ]
    }

    /// The page that operators read, a figure a line.
    pub fn render(&self, gauges: Gauges) -> String {
        let mut page = String::new();
        let mut line = |name: &str, value: u64| page += &format!("edge_router.{name}={value}\n");
        for (name, ends) in self.types().iter() {
            // A name is free text, and must not end a line or a figure's name.
            let name: String = name
                .chars()
                .map(|c| {
                    if c.is_ascii_graphic() && c != '=' {
                        c
                    } else {
                        '_'
                    }
                })
                .collect();
            for (figure, value) in ["answered", "deferred", "errored"].iter().zip(ends.all()) {
                line(&format!("transactions.{name}.{figure}"), value);
            }
        }
        line("sends", self.sent_allocations.load(Relaxed));
        line("current", gauges.open_work_units as u64);
        line("cluster_size", gauges.listed_workers as u64);
        line("cluster_unhealthy", gauges.avoided_workers as u64);
        line("conf_loaded", self.configs_applied.load(Relaxed));
        line("conf_invalid", self.configs_rejected.load(Relaxed));
        page
    }
}
