//! Counts of a dispatcher's requests by route, logged regularly while there are any: where requests spend their latency
//! target, and whether long prompts reach the workers that are likely to have them cached.

use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// How often the counts are logged.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Why a request may not go to a worker now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It was sent to as many workers as its route allows.
    Attempts,
    /// The worker is out of service, or its memory or connections are used up.
    Capacity,
    /// The worker reported no free slot.
    Load,
    /// It was at this worker before.
    SecondAttempt,
    /// Another worker is likely to have its prompt cached.
    PreferredElsewhere,
}

impl RefusalReason {
    const ALL: [(RefusalReason, &'static str); 5] = [
        (RefusalReason::Attempts, "attempts"),
        (RefusalReason::Capacity, "capacity"),
        (RefusalReason::Load, "load"),
        (RefusalReason::SecondAttempt, "a second attempt"),
        (RefusalReason::PreferredElsewhere, "a preferred worker"),
    ];
}

/// Where a request started that has a long prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptPlacement {
    /// At the worker that all dispatchers prefer for it.
    Preferred,
    /// At another worker, which has to prefill it.
    Elsewhere,
}

/// A request that has its first event, or its head if it is no stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Start {
    /// Seconds from its arrival until it was sent to the worker.
    pub waited: f64,
    /// Seconds from its arrival until now.
    pub latency: f64,
    /// Its latency target in seconds; 0 is none.
    pub target: f64,
    /// Where its long prompt went, if it has one.
    pub placement: Option<PromptPlacement>,
}

/// The counters since the last report.
#[derive(Debug, Default)]
pub struct RequestCounters {
    routes: Mutex<BTreeMap<String, RouteCounts>>,
    refusals: [AtomicU64; RefusalReason::ALL.len()],
}

/// The counts of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteCounts {
    /// Requests that started.
    pub started: u64,
    /// The sum of the times that they waited here, in seconds.
    pub waited: f64,
    /// The longest of these, in seconds.
    pub longest_wait: f64,
    /// Started past their target, most of it spent waiting here.
    pub late_waiting: u64,
    /// Started past their target, most of it spent at the worker.
    pub late_at_worker: u64,
    /// Streams with a pause beyond their route's.
    pub late_by_pause: u64,
    /// Long prompts that started at their preferred worker.
    pub preferred: u64,
    /// Long prompts that started elsewhere.
    pub elsewhere: u64,
}

impl RequestCounters {
    /// Counts a refusal. A request that waits may be refused often.
    pub fn on_refusal(&self, reason: RefusalReason) {
        self.refusals[reason as usize].fetch_add(1, Relaxed);
    }

    /// Counts a request that started.
    pub fn on_start(&self, route: &str, start: Start) {
        self.count(route, |counts| counts.add(start));
    }

    /// Counts a stream whose pause between two events was too long, once a stream.
    pub fn on_late_pause(&self, route: &str) {
        self.count(route, |counts| counts.late_by_pause += 1);
    }

    fn count(&self, route: &str, change: impl FnOnce(&mut RouteCounts)) {
        let mut routes = self.routes.lock();
        match routes.get_mut(route) {
            Some(counts) => change(counts),
            None => change(routes.entry(route.to_string()).or_default()),
        }
    }

    /// The log lines on what was counted since the last call.
    pub fn take_lines(&self) -> Vec<String> {
        let routes = std::mem::take(&mut *self.routes.lock());
        let mut lines: Vec<String> = routes
            .iter()
            .map(|(route, counts)| format!("route {route}: {counts}"))
            .collect();
        let refusals: Vec<String> = RefusalReason::ALL
            .iter()
            .map(|(reason, name)| (self.refusals[*reason as usize].swap(0, Relaxed), name))
            .filter(|(count, _)| *count > 0)
            .map(|(count, name)| format!("{count} by {name}"))
            .collect();
        if !refusals.is_empty() {
            lines.push(format!("permits refused: {}", refusals.join(", ")));
        }
        lines
    }
}

impl RouteCounts {
    fn add(&mut self, start: Start) {
        self.started += 1;
        self.waited += start.waited;
        self.longest_wait = self.longest_wait.max(start.waited);
        if start.target > 0.0 && start.latency > start.target {
            match start.waited * 2.0 > start.latency {
                true => self.late_waiting += 1,
                false => self.late_at_worker += 1,
            }
        }
        match start.placement {
            Some(PromptPlacement::Preferred) => self.preferred += 1,
            Some(PromptPlacement::Elsewhere) => self.elsewhere += 1,
            None => {}
        }
    }
}

impl fmt::Display for RouteCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mean_ms = self.waited * 1e3 / self.started.max(1) as f64;
        write!(
            f,
            "{} started, waited {mean_ms:.0} ms on average and {:.0} ms at most; late: {} waiting here, {} at the \
             worker, {} by a pause; long prompts: {} at their preferred worker, {} elsewhere",
            self.started,
            self.longest_wait * 1e3,
            self.late_waiting,
            self.late_at_worker,
            self.late_by_pause,
            self.preferred,
            self.elsewhere,
        )
    }
}
