//! The audit: checks what the simulated peers observed against the budgets and the four rules. It shares no code with
//! the audited program.
//!
//! The arrival of a byte is known only to lie between two polls, so a window counts as long as it may have been: a
//! reported violation is certain, however busy the machine was.

use crate::observations::{Observations, ObservedAttempt, ObservedRequest};
use crate::scenario::{Budget, BudgetScope, Idempotency, Scenario};
use serde::Serialize;
use std::collections::HashMap;
use std::fmt::Write;

/// The outcome of a run, printed as JSON on the last line of standard output.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    pub scenario: String,
    pub seed: u64,
    /// Requests that clients submitted completely.
    pub taken: usize,
    /// Requests with at least one complete response.
    pub answered: usize,
    /// Requests without a response, though the process was able to serve throughout.
    pub lost: usize,
    pub answered_twice: usize,
    /// Work units that were retried, or deferred after they may have run, against their idempotency.
    pub doubled: usize,
    /// Attempts sent to a worker after the grace period of its drain.
    pub after_drain: usize,
    /// Cold workers that were sent more than slow start allows.
    pub cold_overloads: usize,
    /// Responses after the hard limit.
    pub late: usize,
    /// Requests answered with status 200.
    pub completed: usize,
    /// Requests answered with status 429 or 503.
    pub deferred: usize,
    /// Requests answered with any other status.
    pub aborted: usize,
    /// Number of processes in the scenario.
    pub processes: usize,
    /// Attempts that end a window in which more was spent than a budget allows.
    pub over_budget: usize,
    /// The greatest ratio of spending to allowance in any window of any budget.
    pub worst_budget: f64,
    /// Utilisation of the budgets in their saturated intervals; absent if the scenario names none.
    pub used: Option<f64>,
    /// Processes that could not be ended.
    pub processes_left: usize,
    /// Processes that exited without being told to, or with a failure status.
    pub crashed: usize,
    /// The following five figures are not measured: always 0 or absent.
    pub verdicts: usize,
    pub left_in_s: Option<f64>,
    pub left_spread_s: Option<f64>,
    pub sent_after_left: usize,
    pub back_in_s: Option<f64>,
    /// The greatest ratio of work sent to work allowed for any cold worker.
    pub worst_cold: f64,
}

impl Verdict {
    /// Whether no rule and no budget was violated.
    pub fn holds(&self) -> bool {
        let violations = [
            self.lost,
            self.answered_twice,
            self.doubled,
            self.after_drain,
            self.cold_overloads,
            self.late,
            self.over_budget,
            self.processes_left,
            self.crashed,
            self.sent_after_left,
        ];
        violations.iter().all(|n| *n == 0)
    }
}

/// Tolerance for delays of the simulated peers themselves, which are not the audited program's.
const LATENESS_TOLERANCE_S: f64 = 0.25;
/// The shortest window over which a rate is measured.
const MIN_WINDOW_S: f64 = 0.01;
/// Time in addition to the drain grace within which a process reads an update of the list.
const LIST_READ_TOLERANCE_S: f64 = 0.05;
/// Maximum number of attempts listed for a violated budget.
const MAX_LISTED_ATTEMPTS: usize = 40;

/// A budget over time: start of each step, rate and burst. Each step holds the greatest value that any process's
/// configuration file gave within the time that a change takes to settle.
struct BudgetTimeline(Vec<(f64, f64, f64)>);

impl BudgetTimeline {
    fn new(scenario: &Scenario, observations: &Observations, budget: usize) -> BudgetTimeline {
        let settle_time = scenario.budget_settle_time();
        let initial = (
            scenario.budgets[budget].rate,
            scenario.budgets[budget].burst,
        );
        // What each process's configuration file gave: from, to, (rate, burst).
        let mut configured: Vec<(f64, f64, (f64, f64))> = Vec::new();
        for process in 0..scenario.processes {
            let (mut from, mut limit) = (f64::NEG_INFINITY, initial);
            for (at, _, _, rate, burst) in observations
                .budget_changes
                .iter()
                .filter(|change| (change.1, change.2) == (process, budget))
            {
                configured.push((from, at + settle_time, limit));
                (from, limit) = (*at, (*rate, *burst));
            }
            configured.push((from, f64::INFINITY, limit));
        }
        let mut steps: Vec<f64> = configured
            .iter()
            .flat_map(|(from, to, _)| [*from, *to])
            .collect();
        steps.retain(|at| *at < f64::INFINITY);
        steps.sort_by(f64::total_cmp);
        steps.dedup();
        let greatest = |at: f64| {
            let valid = configured
                .iter()
                .filter(|(from, to, _)| *from <= at && at < *to);
            valid.fold((0.0f64, 0.0f64), |greatest, (_, _, limit)| {
                (greatest.0.max(limit.0), greatest.1.max(limit.1))
            })
        };
        BudgetTimeline(
            steps
                .into_iter()
                .map(|at| (at, greatest(at).0, greatest(at).1))
                .collect(),
        )
    }

    /// The rate integrated over the interval, and the greatest burst in it.
    fn integrate(&self, from: f64, to: f64) -> (f64, f64) {
        let ends = self
            .0
            .iter()
            .skip(1)
            .map(|step| step.0)
            .chain([f64::INFINITY]);
        let steps = self
            .0
            .iter()
            .zip(ends)
            .filter(|((at, ..), end)| *at <= to && from <= *end);
        steps.fold(
            (0.0, 0.0f64),
            |(sum, max_burst), ((at, rate, burst), end)| {
                (
                    sum + rate * (end.min(to) - at.max(from)).max(0.0),
                    max_burst.max(*burst),
                )
            },
        )
    }

    /// The most that may be spent in the interval.
    fn allowance(&self, from: f64, to: f64) -> f64 {
        let (sum, burst) = self.integrate(from, to);
        sum + burst
    }
}

/// A window over consecutive attempts, by their indices, and the most that may be spent in it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Window {
    from: usize,
    to: usize,
    duration_s: f64,
    allowance: f64,
}

impl Window {
    fn spent(&self) -> usize {
        self.to - self.from + 1
    }
    /// Ratio of spending to allowance; above 1 is a violation.
    fn utilisation(&self) -> f64 {
        self.spent() as f64 / self.allowance
    }
}

/// Returns the window with the highest utilisation, and how many attempts end a window that exceeds its allowance.
/// The attempts are in order of arrival; each arrived within its interval (after, by].
fn check_windows(arrivals: &[(f64, f64)], timeline: &BudgetTimeline) -> (Option<Window>, usize) {
    let (mut worst, mut over) = (None::<Window>, 0);
    for to in 0..arrivals.len() {
        let mut exceeds = false;
        for from in (0..=to).rev() {
            let (start, end) = (arrivals[from].0, arrivals[to].1);
            let duration_s = (end - start).max(MIN_WINDOW_S);
            let window = Window {
                from,
                to,
                duration_s,
                allowance: timeline.allowance(start, start + duration_s),
            };
            exceeds |= window.spent() as f64 > window.allowance + 1e-9;
            if worst.is_none_or(|worst| window.utilisation() > worst.utilisation()) {
                worst = Some(window);
            }
        }
        over += usize::from(exceeds);
    }
    (worst, over)
}

/// The attempts that spend from a budget, in order of arrival.
pub fn spending_attempts<'a>(
    observations: &'a Observations,
    budget: &Budget,
) -> Vec<&'a ObservedAttempt> {
    let mut attempt_counts: HashMap<u64, usize> = HashMap::new();
    let spends = |attempt: &&ObservedAttempt| match budget.scope {
        BudgetScope::Retries => {
            let count = attempt_counts.entry(attempt.id).or_default();
            *count += 1;
            *count > 1
        }
    };
    observations.attempts.iter().filter(spends).collect()
}

/// Returns the verdict, and a description of each violation (empty if there is none).
pub fn audit(scenario: &Scenario, seed: u64, observations: &Observations) -> (Verdict, String) {
    let mut violations = String::new();
    let mut verdict = Verdict {
        scenario: scenario.title.clone(),
        seed,
        processes: scenario.processes,
        ..Verdict::default()
    };
    check_budgets(scenario, observations, &mut verdict, &mut violations);
    check_responses(scenario, observations, &mut verdict, &mut violations);
    check_retries(scenario, observations, &mut verdict, &mut violations);
    check_drains(scenario, observations, &mut verdict, &mut violations);
    check_cold_starts(scenario, observations, &mut verdict, &mut violations);
    (verdict, violations)
}

fn check_budgets(
    scenario: &Scenario,
    observations: &Observations,
    verdict: &mut Verdict,
    violations: &mut String,
) {
    let (mut used, mut available) = (0.0, 0.0);
    for (i, budget) in scenario.budgets.iter().enumerate() {
        let timeline = BudgetTimeline::new(scenario, observations, i);
        let spent = spending_attempts(observations, budget);
        let arrivals: Vec<(f64, f64)> = spent
            .iter()
            .map(|a| (a.received_after, a.received_by))
            .collect();
        let (worst, over) = check_windows(&arrivals, &timeline);
        verdict.over_budget += over;
        verdict.worst_budget = verdict
            .worst_budget
            .max(worst.map_or(0.0, |w| w.utilisation()));
        if let Some(worst) = worst.filter(|_| over > 0) {
            describe_window(
                violations,
                budget,
                observations,
                &spent[worst.from..=worst.to],
                worst,
            );
        }
        for [from, to] in &budget.saturated_intervals {
            used += spent
                .iter()
                .filter(|a| (*from..*to).contains(&a.received_by))
                .count() as f64;
            available += timeline.integrate(*from, *to).0;
        }
    }
    verdict.used = (available > 0.0).then(|| used / available);
}

/// Describes a violation of a budget: the window, what each process spent, the events around it and the attempts.
fn describe_window(
    violations: &mut String,
    budget: &Budget,
    observations: &Observations,
    spent: &[&ObservedAttempt],
    worst: Window,
) {
    let (from, to) = (spent[0].received_after, spent[spent.len() - 1].received_by);
    writeln!(
        violations,
        "budget {}: {} attempts in {:.4} s, {:.2} allowed (rate {} per second, burst {}), from {from:.4} s to {to:.4} s",
        budget.name,
        worst.spent(),
        worst.duration_s,
        worst.allowance,
        budget.rate,
        budget.burst
    )
    .ok();
    let mut by_process: HashMap<usize, usize> = HashMap::new();
    spent
        .iter()
        .for_each(|a| *by_process.entry(a.process).or_default() += 1);
    let mut by_process: Vec<(usize, usize)> = by_process.into_iter().collect();
    by_process.sort_unstable();
    for (process, count) in by_process {
        writeln!(violations, "  n{process} sent {count} of them").ok();
    }
    let near = |at: f64| (from - 2.0..=to + 0.1).contains(&at);
    for event in observations.events.iter().filter(|e| near(e.at)) {
        writeln!(violations, "  {:.4} {}", event.at, event.description).ok();
    }
    for attempt in spent.iter().take(MAX_LISTED_ATTEMPTS) {
        writeln!(
            violations,
            "  {:.4} n{} to worker {}, work unit {:016x}",
            attempt.received_by, attempt.process, attempt.worker, attempt.id
        )
        .ok();
    }
    if spent.len() > MAX_LISTED_ATTEMPTS {
        writeln!(
            violations,
            "  and {} more",
            spent.len() - MAX_LISTED_ATTEMPTS
        )
        .ok();
    }
}

/// Rule 1: a request to a process that can serve throughout gets exactly one complete response before its hard limit.
fn check_responses(
    scenario: &Scenario,
    observations: &Observations,
    verdict: &mut Verdict,
    violations: &mut String,
) {
    for request in &observations.requests {
        let limit = scenario.project_types[request.project_type].hard_limit;
        let deadline = request.sent_at + limit;
        let serves = |interval: &&crate::observations::ServingInterval| {
            interval.process == request.process
                && interval.from <= request.sent_at
                && interval
                    .to
                    .is_none_or(|to| to > deadline + LATENESS_TOLERANCE_S)
        };
        let serves = observations
            .serving_intervals
            .iter()
            .any(|interval| serves(&interval));
        verdict.taken += 1;
        verdict.answered += usize::from(!request.responses.is_empty());
        if request.responses.len() > 1 {
            verdict.answered_twice += 1;
            writeln!(violations, "answered twice: {request:?}").ok();
        }
        match request.responses.first() {
            Some((_, 200)) => verdict.completed += 1,
            Some((_, 429 | 503)) => verdict.deferred += 1,
            Some(_) => verdict.aborted += 1,
            None if serves => {
                verdict.lost += 1;
                writeln!(violations, "lost: {request:?}").ok();
            }
            None => {}
        }
        if serves
            && request
                .responses
                .first()
                .is_some_and(|(at, _)| *at > deadline + LATENESS_TOLERANCE_S)
        {
            verdict.late += 1;
            writeln!(
                violations,
                "late by {:.3} s: {request:?}",
                request.responses[0].0 - deadline
            )
            .ok();
        }
    }
}

/// Rule 2: a work unit that may have run is not retried where its idempotency forbids it, and a non-idempotent one is
/// not answered with a deferral either.
fn check_retries(
    scenario: &Scenario,
    observations: &Observations,
    verdict: &mut Verdict,
    violations: &mut String,
) {
    let requests: HashMap<u64, &ObservedRequest> =
        observations.requests.iter().map(|r| (r.id, r)).collect();
    let mut by_work_unit: HashMap<u64, Vec<&ObservedAttempt>> = HashMap::new();
    observations
        .attempts
        .iter()
        .for_each(|a| by_work_unit.entry(a.id).or_default().push(a));
    let zones: Vec<usize> = scenario.workers().map(|(zone, _)| zone).collect();
    for (id, attempts) in by_work_unit {
        let Some(request) = requests.get(&id) else {
            continue;
        };
        let project_type = &scenario.project_types[request.project_type];
        let Some(first_run) = attempts.iter().position(|a| a.rejected_at.is_none()) else {
            continue;
        };
        let (first, later) = (attempts[first_run], &attempts[first_run + 1..]);
        let forbidden = |a: &&&ObservedAttempt| match project_type.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::Deduplicated => {
                zones[a.worker] != zones[first.worker]
                    || a.received_after
                        >= first.received_by + project_type.dedup_window + LATENESS_TOLERANCE_S
            }
            Idempotency::NonIdempotent => true,
        };
        let retries = later.iter().filter(forbidden).count();
        let deferred = project_type.idempotency == Idempotency::NonIdempotent
            && request
                .responses
                .first()
                .is_some_and(|(_, status)| matches!(status, 429 | 503));
        if retries > 0 || deferred {
            verdict.doubled += 1;
            writeln!(
                violations,
                "forbidden retry or deferral: {request:?}, {attempts:?}"
            )
            .ok();
        }
    }
}

/// Rule 3: once the grace period has passed after a process was told that a worker drains or is gone, the process sends
/// it nothing new.
fn check_drains(
    scenario: &Scenario,
    observations: &Observations,
    verdict: &mut Verdict,
    violations: &mut String,
) {
    for attempt in &observations.attempts {
        let mut updates = observations
            .list_updates
            .iter()
            .filter(|u| u.process == attempt.process && u.worker == attempt.worker);
        let last = updates.rfind(|u| {
            u.at + scenario.rules.drain_grace + LIST_READ_TOLERANCE_S <= attempt.first_byte_at
        });
        // The process may have acted on a later update by which the worker serves again.
        let serves_again = observations.list_updates.iter().any(|u| {
            let later = last.is_some_and(|last| u.at > last.at) && u.at <= attempt.received_by;
            later && u.ready && u.process == attempt.process && u.worker == attempt.worker
        });
        if last.is_some_and(|u| !u.ready) && !serves_again {
            verdict.after_drain += 1;
            writeln!(violations, "sent after a drain: {attempt:?}").ok();
        }
    }
}

/// Rule 4: within any overload window, a cold worker is not sent more than a given multiple of its capacity in that
/// window.
fn check_cold_starts(
    scenario: &Scenario,
    observations: &Observations,
    verdict: &mut Verdict,
    violations: &mut String,
) {
    let rules = &scenario.rules;
    let slots: Vec<usize> = scenario
        .workers()
        .map(|(zone, _)| scenario.zones[zone].slots)
        .collect();
    for (worker, incarnation, started_at) in &observations.cold_starts {
        let while_cold = |a: &&ObservedAttempt| {
            a.worker == *worker
                && a.incarnation == *incarnation
                && a.received_by < started_at + rules.slow_start
        };
        let attempts: Vec<&ObservedAttempt> =
            observations.attempts.iter().filter(while_cold).collect();
        for (i, first) in attempts.iter().enumerate() {
            let within = attempts[i..]
                .iter()
                .take_while(|a| a.received_by - first.received_after <= rules.overload_window);
            let work: f64 = within.map(|a| a.run_time_s).sum();
            // Its capacity rises linearly, so the middle of the window gives the mean.
            let share = |at: f64| {
                rules.initial_share
                    + (1.0 - rules.initial_share)
                        * ((at - started_at) / rules.slow_start).clamp(0.0, 1.0)
            };
            let mean_share = share(first.received_after + rules.overload_window / 2.0);
            let allowance = rules.overload_multiple
                * mean_share
                * slots[*worker] as f64
                * rules.overload_window;
            verdict.worst_cold = verdict.worst_cold.max(work / allowance);
            if work > allowance {
                verdict.cold_overloads += 1;
                let at = first.received_after;
                writeln!(
                    violations,
                    "cold worker {worker}: {work:.2} s of work sent from {at:.3} s on, {allowance:.2} s allowed"
                )
                .ok();
                break;
            }
        }
    }
}
