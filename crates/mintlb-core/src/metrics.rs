//! Process-wide counters, each incremented in one place. The operators' metrics page and the log read the same
//! counters, which start at 0 with each process.

use crate::project_types::MAX_NUMBERS_PER_TYPE;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The final answers to work units of one project type.
#[derive(Debug, Default)]
pub struct AnswerCounts {
    pub completed: AtomicU64,
    pub deferred: AtomicU64,
    pub aborted: AtomicU64,
}

impl AnswerCounts {
    fn values(&self) -> [u64; 3] {
        [&self.completed, &self.deferred, &self.aborted].map(|counter| counter.load(Relaxed))
    }
}

/// The counters that all parts of a scheduler share.
#[derive(Default)]
pub struct Metrics {
    /// Keyed by name, so that the counts of a project type go on if it is removed and added again.
    counts_by_type: Mutex<Vec<(String, Arc<AnswerCounts>)>>,
    /// Attempts whose last byte the operating system accepted for sending to a worker.
    sent_attempts: Arc<AtomicU64>,
    /// Configurations put in force while serving.
    pub configs_applied: AtomicU64,
    /// Configurations rejected while serving.
    pub configs_rejected: AtomicU64,
}

/// Current values that other components hold.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Work units accepted and not yet answered.
    pub open_work_units: usize,
    /// Workers in the membership list.
    pub listed_workers: usize,
    /// Listed workers that are avoided as unhealthy.
    pub avoided_workers: usize,
}

/// Limit on the names kept, as successive configurations may introduce any number of names. It leaves room for several
/// complete tables of project types.
const MAX_NAMES: usize = 4 * MAX_NUMBERS_PER_TYPE;

impl Metrics {
    fn counts_by_type(&self) -> MutexGuard<'_, Vec<(String, Arc<AnswerCounts>)>> {
        self.counts_by_type
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The counters of the project type of this name, also if it has been removed since.
    pub fn answer_counts(&self, name: &str) -> Arc<AnswerCounts> {
        let mut counts_by_type = self.counts_by_type();
        if let Some((_, counts)) = counts_by_type
            .iter()
            .find(|(known_name, _)| known_name == name)
        {
            return counts.clone();
        }
        if counts_by_type.len() >= MAX_NAMES {
            // Evicts a name whose counters are referenced by this list alone.
            let unused = counts_by_type
                .iter()
                .position(|(_, counts)| Arc::strong_count(counts) == 1);
            counts_by_type.remove(unused.unwrap_or(0));
        }
        let counts: Arc<AnswerCounts> = Arc::default();
        counts_by_type.push((name.to_string(), counts.clone()));
        counts
    }

    /// The counter of completely written attempts, for the code that writes them.
    pub fn sent_attempts(&self) -> Arc<AtomicU64> {
        self.sent_attempts.clone()
    }

    /// Completed, deferred and aborted work units over all project types, then attempts sent, since the start.
    pub fn totals(&self) -> [u64; 4] {
        let counts = self
            .counts_by_type()
            .iter()
            .map(|(_, counts)| counts.values())
            .fold([0; 3], |sum, counts| {
                [sum[0] + counts[0], sum[1] + counts[1], sum[2] + counts[2]]
            });
        [
            counts[0],
            counts[1],
            counts[2],
            self.sent_attempts.load(Relaxed),
        ]
    }

    /// Renders the operators' metrics page, one metric per line.
    pub fn render(&self, gauges: Gauges) -> String {
        let mut page = String::new();
        let mut line = |name: &str, value: u64| page += &format!("edge_router.{name}={value}\n");
        for (name, counts) in self.counts_by_type().iter() {
            // Names are free text: they must not break the line or the metric name.
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
            for (counter_name, value) in ["answered", "deferred", "errored"]
                .iter()
                .zip(counts.values())
            {
                line(&format!("transactions.{name}.{counter_name}"), value);
            }
        }
        line("sends", self.sent_attempts.load(Relaxed));
        line("current", gauges.open_work_units as u64);
        line("cluster_size", gauges.listed_workers as u64);
        line("cluster_unhealthy", gauges.avoided_workers as u64);
        line("conf_loaded", self.configs_applied.load(Relaxed));
        line("conf_invalid", self.configs_rejected.load(Relaxed));
        page
    }
}
