//! What a run has noted, and what violates the rules.

use super::calls::Call;
use super::configuration::{History, SPREAD_TIME};
use crate::cluster::{FaultLog, Freeze, Incarnation};
use crate::workers::Arrival;
use parking_lot::Mutex;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Events so long before and after a violation are printed.
const EVENT_TIME: Duration = Duration::from_secs(5);
/// So many violations are printed.
const MAX_PRINTED: usize = 12;

/// A rule that does not hold, and when.
pub struct Violation {
    pub at: Instant,
    pub text: String,
}

/// All that a run has noted.
pub struct Evidence<'a> {
    pub calls: &'a [Call],
    pub arrivals: &'a [Arrival],
    pub history: &'a History,
    pub freezes: &'a [Freeze],
    /// A time without faults and changes, in which no bucket is empty from its start.
    pub calm: (Instant, Instant),
}

impl Evidence<'_> {
    /// The tenants that may have had a call's key for its process until `to`.
    pub fn holders(&self, call: &Call, to: Instant) -> HashSet<Option<&'static str>> {
        let from = self.known_since(call.process, call.sent, to);
        self.history.holders(call.key.as_deref(), from, to)
    }

    /// A process goes by a configuration that was in force at this time or later, if it serves from
    /// `from` to `to`: after a freeze it has what it knew before until it has heard the news.
    fn known_since(&self, process: Incarnation, from: Instant, to: Instant) -> Instant {
        let mut since = from - SPREAD_TIME;
        for freeze in self.freezes.iter().rev() {
            let is_over = freeze.ended.is_some_and(|ended| ended < since);
            if freeze.process == process && freeze.began <= to && !is_over {
                since = since.min(freeze.began - SPREAD_TIME);
            }
        }
        since
    }
}

/// Tells what happened in a run if it fails.
pub struct FailureReport {
    pub seed: u64,
    pub began: Instant,
    pub history: Arc<Mutex<History>>,
    pub fault_log: Arc<Mutex<FaultLog>>,
}

impl FailureReport {
    /// Panics if there is a violation, after printing the events around the first ones.
    pub fn check(&self, mut violations: Vec<Violation>) {
        violations.sort_by_key(|violation| violation.at);
        let Some(first) = violations.first() else {
            return;
        };
        let count = violations.len();
        let printed = &violations[..count.min(MAX_PRINTED)];
        for violation in printed {
            let at = self.seconds(violation.at);
            eprintln!("seed {}: at {at:.2} s: {}", self.seed, violation.text);
        }
        let (from, to) = (
            first.at - EVENT_TIME,
            printed[printed.len() - 1].at + EVENT_TIME,
        );
        eprintln!("events around them:");
        self.print_events(|at| from <= at && at <= to);
        panic!(
            "seed {}: {count} violations, the first: {}",
            self.seed, first.text
        );
    }

    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    fn print_events(&self, is_printed: impl Fn(Instant) -> bool) {
        let mut events = self.fault_log.lock().events.clone();
        for (version, entry) in (1..).zip(&self.history.lock().versions) {
            let change = &entry.change;
            events.push((
                entry.sent,
                format!("configuration {version} is sent: {change}"),
            ));
            if let Some(acknowledged) = entry.acknowledged {
                let text = format!("configuration {version} is acknowledged");
                events.push((acknowledged, text));
            }
        }
        events.sort_by_key(|(at, _)| *at);
        for (at, text) in events.iter().filter(|(at, _)| is_printed(*at)) {
            eprintln!("  {:.2} s: {text}", self.seconds(*at));
        }
    }
}

/// Whatever made the run fail, its seed and events are told.
impl Drop for FailureReport {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("seed {} of the tenants' soak, all events:", self.seed);
            self.print_events(|_| true);
        }
    }
}
