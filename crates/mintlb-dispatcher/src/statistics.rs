//! Counts of a dispatcher's requests by route, which are logged regularly: where requests spend their latency target, and
//! whether long prompts reach the workers that are likely to have them cached.

use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// How often the counts are logged.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Why a request may not be sent to a worker now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The request was sent to as many workers as its route allows.
    Attempts,
    /// The worker is out of service, or has no memory or connection left.
    Capacity,
    /// The worker reported no free slot.
    Load,
    /// The request was sent to this worker before, and there are others.
    SecondAttempt,
    /// Another worker is likely to have the prompt cached.
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

/// Where a request with a long prompt started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptPlacement {
    /// At a worker that is preferred for the prompt.
    Preferred,
    /// At another worker, which has to prefill the prompt.
    Elsewhere,
}

/// The start of a response: the first event of a stream, or the head of another response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestStart {
    /// Seconds from the arrival of the request until it was sent to the worker.
    pub waited: f64,
    /// Seconds from the arrival of the request to the start of the response.
    pub latency: f64,
    /// The route's latency target in seconds; 0 if it has none.
    pub target_latency: f64,
    /// Where the request started, if it has a long prompt.
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
    /// Requests whose response has started.
    pub started: u64,
    /// Total time that they waited at the dispatcher, in seconds.
    pub waited: f64,
    /// The longest time that one waited, in seconds.
    pub longest_wait: f64,
    /// Requests that started after their target and spent most of the time waiting at the dispatcher.
    pub late_waiting: u64,
    /// Requests that started after their target and spent most of the time at the worker.
    pub late_at_worker: u64,
    /// Streams with a longer time between two events than their route's target.
    pub late_by_pause: u64,
    /// Requests with a long prompt that started at a preferred worker.
    pub preferred: u64,
    /// Requests with a long prompt that started at another worker.
    pub elsewhere: u64,
}

impl RequestCounters {
    /// Counts a refused permit. A waiting request may be refused many times.
    pub fn on_refusal(&self, reason: RefusalReason) {
        self.refusals[reason as usize].fetch_add(1, Relaxed);
    }

    /// Counts a request whose response has started.
    pub fn on_start(&self, route: &str, start: RequestStart) {
        self.count(route, |counts| counts.add(start));
    }

    /// Counts a stream in which the time between two events exceeded the target. To be called once per stream.
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

    /// Returns the log lines with the counts since the last call and resets them.
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
    fn add(&mut self, start: RequestStart) {
        self.started += 1;
        self.waited += start.waited;
        self.longest_wait = self.longest_wait.max(start.waited);
        if start.target_latency > 0.0 && start.latency > start.target_latency {
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
