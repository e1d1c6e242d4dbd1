//! The audit: what the stand-ins saw, held against the budgets and the four rules. It shares no code with the program.
//!
//! When a byte came is known only between two looks, so a window is held to be as long as it may have been: what is
//! called a breach is one for certain, however busy the machine was.

use crate::scenario::{Budget, Effect, Limits, Scenario};
use crate::seen::{Asked, Seen, Sent};
use serde::Serialize;
use std::collections::HashMap;
use std::fmt::Write;

/// The last line of a play.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    pub scenario: String,
    pub seed: u64,
    pub taken: usize,
    pub answered: usize,
    pub lost: usize,
    pub answered_twice: usize,
    pub doubled: usize,
    pub after_drain: usize,
    pub cold_overloads: usize,
    pub late: usize,
    pub completed: usize,
    pub deferred: usize,
    pub aborted: usize,
    pub processes: usize,
    pub over_budget: usize,
    pub worst_budget: f64,
    pub used: Option<f64>,
    pub processes_left: usize,
    /// Processes that ended though nobody told them to.
    pub crashed: usize,
    pub verdicts: usize,
    pub left_in_s: Option<f64>,
    pub left_spread_s: Option<f64>,
    pub sent_after_left: usize,
    pub back_in_s: Option<f64>,
    pub worst_cold: f64,
}

impl Verdict {
    pub fn holds(&self) -> bool {
        let broken = [
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
        broken.iter().all(|n| *n == 0)
    }
}

/// An answer this much after the hard limit is late: the clients' own slowness is not the program's.
const SLACK: f64 = 0.25;
/// The shortest window of a rate.
const SHORTEST: f64 = 0.01;
/// A drain is heard by then, beside the rule's grace.
const HEARD: f64 = 0.05;
/// Lines of a story.
const LINES: usize = 40;

/// A whole as it holds over time: from each moment on, so many a second and at once. It is the greatest that a file gave
/// within the time that a change takes to settle.
struct Whole(Vec<(f64, f64, f64)>);

impl Whole {
    fn new(scenario: &Scenario, seen: &Seen, budget: usize) -> Whole {
        let settles = scenario.settles();
        let first = (
            scenario.budgets[budget].rate,
            scenario.budgets[budget].burst,
        );
        // What each process's file gave, from when to when.
        let mut files: Vec<(f64, f64, (f64, f64))> = Vec::new();
        for process in 0..scenario.processes {
            let (mut from, mut whole) = (f64::NEG_INFINITY, first);
            for (at, _, _, rate, burst) in seen
                .wholes
                .iter()
                .filter(|w| (w.1, w.2) == (process, budget))
            {
                files.push((from, at + settles, whole));
                (from, whole) = (*at, (*rate, *burst));
            }
            files.push((from, f64::INFINITY, whole));
        }
        let mut steps: Vec<f64> = files
            .iter()
            .flat_map(|(from, to, _)| [*from, *to])
            .collect();
        steps.retain(|at| *at < f64::INFINITY);
        steps.sort_by(f64::total_cmp);
        steps.dedup();
        let most = |at: f64| {
            let hold = files.iter().filter(|(from, to, _)| *from <= at && at < *to);
            hold.fold((0.0f64, 0.0f64), |most, (_, _, w)| {
                (most.0.max(w.0), most.1.max(w.1))
            })
        };
        Whole(
            steps
                .into_iter()
                .map(|at| (at, most(at).0, most(at).1))
                .collect(),
        )
    }

    /// What may come in that time, and the greatest burst in it.
    fn between(&self, from: f64, to: f64) -> (f64, f64) {
        let ends = self
            .0
            .iter()
            .skip(1)
            .map(|step| step.0)
            .chain([f64::INFINITY]);
        let parts = self
            .0
            .iter()
            .zip(ends)
            .filter(|((at, ..), end)| *at <= to && from <= *end);
        parts.fold((0.0, 0.0f64), |(sum, most), ((at, rate, burst), end)| {
            (
                sum + rate * (end.min(to) - at.max(from)).max(0.0),
                most.max(*burst),
            )
        })
    }

    /// The most that may be spent in a window.
    fn most(&self, from: f64, to: f64) -> f64 {
        let (sum, burst) = self.between(from, to);
        sum + burst
    }
}

/// What was spent in a window, and what of it may be.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Window {
    from: usize,
    to: usize,
    seconds: f64,
    most: f64,
}

impl Window {
    fn spent(&self) -> usize {
        self.to - self.from + 1
    }
    fn part(&self) -> f64 {
        self.spent() as f64 / self.most
    }
}

/// The worst window of these moments, each known to be within (after, by] and in this order; and how many end one in
/// which more was spent than a rate lets.
fn windows(moments: &[(f64, f64)], whole: &Whole) -> (Option<Window>, usize) {
    let (mut worst, mut over) = (None::<Window>, 0);
    for to in 0..moments.len() {
        let mut breaches = false;
        for from in (0..=to).rev() {
            let (begins, ends) = (moments[from].0, moments[to].1);
            let seconds = (ends - begins).max(SHORTEST);
            let window = Window {
                from,
                to,
                seconds,
                most: whole.most(begins, begins + seconds),
            };
            breaches |= window.spent() as f64 > window.most + 1e-9;
            if worst.is_none_or(|worst| window.part() > worst.part()) {
                worst = Some(window);
            }
        }
        over += usize::from(breaches);
    }
    (worst, over)
}

/// What of the traffic spends of a budget, in order.
pub fn spends<'a>(seen: &'a Seen, budget: &Budget) -> Vec<&'a Sent> {
    let mut before: HashMap<u64, usize> = HashMap::new();
    let spends = |sent: &&Sent| match budget.limits {
        Limits::Again => {
            let times = before.entry(sent.id).or_default();
            *times += 1;
            *times > 1
        }
    };
    seen.sent.iter().filter(spends).collect()
}

/// The verdict, and the story of what broke.
pub fn audit(scenario: &Scenario, seed: u64, seen: &Seen) -> (Verdict, String) {
    let mut story = String::new();
    let mut verdict = Verdict {
        scenario: scenario.title.clone(),
        seed,
        processes: scenario.processes,
        ..Verdict::default()
    };
    budgets(scenario, seen, &mut verdict, &mut story);
    answers(scenario, seen, &mut verdict, &mut story);
    effects(scenario, seen, &mut verdict, &mut story);
    drains(scenario, seen, &mut verdict, &mut story);
    colds(scenario, seen, &mut verdict, &mut story);
    (verdict, story)
}

fn budgets(scenario: &Scenario, seen: &Seen, verdict: &mut Verdict, story: &mut String) {
    let (mut used, mut whole) = (0.0, 0.0);
    for (i, budget) in scenario.budgets.iter().enumerate() {
        let holds = Whole::new(scenario, seen, i);
        let spent = spends(seen, budget);
        let moments: Vec<(f64, f64)> = spent.iter().map(|s| (s.after, s.by)).collect();
        let (worst, over) = windows(&moments, &holds);
        verdict.over_budget += over;
        verdict.worst_budget = verdict.worst_budget.max(worst.map_or(0.0, |w| w.part()));
        if let Some(worst) = worst.filter(|_| over > 0) {
            tell(story, budget, seen, &spent[worst.from..=worst.to], worst);
        }
        for [from, to] in &budget.wanted {
            used += spent
                .iter()
                .filter(|s| (*from..*to).contains(&s.by))
                .count() as f64;
            whole += holds.between(*from, *to).0;
        }
    }
    verdict.used = (whole > 0.0).then(|| used / whole);
}

/// How a budget was broken: times, processes, parts.
fn tell(story: &mut String, budget: &Budget, seen: &Seen, spent: &[&Sent], worst: Window) {
    let (from, to) = (spent[0].after, spent[spent.len() - 1].by);
    writeln!(
        story,
        "budget {}: {} in {:.4} s, {:.2} at the most ({} a second and {} at once), from {from:.4} to {to:.4}",
        budget.name,
        worst.spent(),
        worst.seconds,
        worst.most,
        budget.rate,
        budget.burst
    )
    .ok();
    let mut by: HashMap<usize, usize> = HashMap::new();
    spent
        .iter()
        .for_each(|s| *by.entry(s.process).or_default() += 1);
    let mut by: Vec<(usize, usize)> = by.into_iter().collect();
    by.sort_unstable();
    for (process, n) in by {
        writeln!(story, "  n{process} spent {n} of them").ok();
    }
    let near = |at: f64| (from - 2.0..=to + 0.1).contains(&at);
    for mark in seen.marks.iter().filter(|m| near(m.at)) {
        writeln!(story, "  {:.4} {}", mark.at, mark.what).ok();
    }
    for s in spent.iter().take(LINES) {
        writeln!(
            story,
            "  {:.4} n{} to worker {}, work unit {:016x}",
            s.by, s.process, s.worker, s.id
        )
        .ok();
    }
    if spent.len() > LINES {
        writeln!(story, "  and {} more", spent.len() - LINES).ok();
    }
}

/// Rule 1. What a process took while it could serve throughout gets one whole answer before its hard limit.
fn answers(scenario: &Scenario, seen: &Seen, verdict: &mut Verdict, story: &mut String) {
    for asked in &seen.asked {
        let limit = scenario.types[asked.of].hard_limit;
        let due = asked.at + limit;
        let serves = |s: &&crate::seen::Stretch| {
            s.process == asked.process
                && s.from <= asked.at
                && s.to.is_none_or(|to| to > due + SLACK)
        };
        let serves = seen.stretches.iter().any(|s| serves(&s));
        verdict.taken += 1;
        verdict.answered += usize::from(!asked.answers.is_empty());
        if asked.answers.len() > 1 {
            verdict.answered_twice += 1;
            writeln!(story, "answered twice: {asked:?}").ok();
        }
        match asked.answers.first() {
            Some((_, 200)) => verdict.completed += 1,
            Some((_, 429 | 503)) => verdict.deferred += 1,
            Some(_) => verdict.aborted += 1,
            None if serves => {
                verdict.lost += 1;
                writeln!(story, "lost: {asked:?}").ok();
            }
            None => {}
        }
        if serves
            && asked
                .answers
                .first()
                .is_some_and(|(at, _)| *at > due + SLACK)
        {
            verdict.late += 1;
            writeln!(
                story,
                "late by {:.3} s: {asked:?}",
                asked.answers[0].0 - due
            )
            .ok();
        }
    }
}

/// Rule 2. No allocation that may have run is followed by one that the type's effect does not permit, nor, of an
/// exclusive one, by a deferral.
fn effects(scenario: &Scenario, seen: &Seen, verdict: &mut Verdict, story: &mut String) {
    let asked: HashMap<u64, &Asked> = seen.asked.iter().map(|a| (a.id, a)).collect();
    let mut by: HashMap<u64, Vec<&Sent>> = HashMap::new();
    seen.sent
        .iter()
        .for_each(|s| by.entry(s.id).or_default().push(s));
    let zones: Vec<usize> = scenario.workers().map(|(zone, _)| zone).collect();
    for (id, sent) in by {
        let Some(asked) = asked.get(&id) else {
            continue;
        };
        let t = &scenario.types[asked.of];
        let Some(ran) = sent.iter().position(|s| s.returned.is_none()) else {
            continue;
        };
        let (first, later) = (sent[ran], &sent[ran + 1..]);
        let forbidden = |s: &&&Sent| match t.effect {
            Effect::Rerunnable => false,
            Effect::Receipted => {
                zones[s.worker] != zones[first.worker] || s.after >= first.by + t.window + SLACK
            }
            Effect::Exclusive => true,
        };
        let again = later.iter().filter(forbidden).count();
        let deferred = t.effect == Effect::Exclusive
            && asked
                .answers
                .first()
                .is_some_and(|(_, status)| matches!(status, 429 | 503));
        if again > 0 || deferred {
            verdict.doubled += 1;
            writeln!(story, "doubled: {asked:?}, {sent:?}").ok();
        }
    }
}

/// Rule 3. Nothing new to a worker later than the grace after its process was told that it drains or is gone.
fn drains(scenario: &Scenario, seen: &Seen, verdict: &mut Verdict, story: &mut String) {
    for sent in &seen.sent {
        let mut told = seen
            .told
            .iter()
            .filter(|t| t.process == sent.process && t.worker == sent.worker);
        let last = told.rfind(|t| t.at + scenario.rules.drain_grace + HEARD <= sent.first);
        // A later word that it serves again may have crossed this one.
        let again = seen.told.iter().any(|t| {
            let later = last.is_some_and(|last| t.at > last.at) && t.at <= sent.by;
            later && t.ready && t.process == sent.process && t.worker == sent.worker
        });
        if last.is_some_and(|t| !t.ready) && !again {
            verdict.after_drain += 1;
            writeln!(story, "after a drain: {sent:?}").ok();
        }
    }
}

/// Rule 4. A worker that came up cold is never sent more, for as long as it takes to fall, than a multiple of what it
/// can do meanwhile.
fn colds(scenario: &Scenario, seen: &Seen, verdict: &mut Verdict, story: &mut String) {
    let rules = &scenario.rules;
    let slots: Vec<usize> = scenario
        .workers()
        .map(|(zone, _)| scenario.zones[zone].slots)
        .collect();
    for (worker, life, up) in &seen.cold {
        let to = |s: &&Sent| s.worker == *worker && s.life == *life && s.by < up + rules.warm_after;
        let sent: Vec<&Sent> = seen.sent.iter().filter(to).collect();
        for (i, first) in sent.iter().enumerate() {
            let within = sent[i..]
                .iter()
                .take_while(|s| s.by - first.after <= rules.fall);
            let work: f64 = within.map(|s| s.work).sum();
            // What it can do in that time, as it warms up evenly.
            let share = |at: f64| {
                rules.cold_from
                    + (1.0 - rules.cold_from) * ((at - up) / rules.warm_after).clamp(0.0, 1.0)
            };
            let middle = share(first.after + rules.fall / 2.0);
            let most = rules.fall_multiple * middle * slots[*worker] as f64 * rules.fall;
            verdict.worst_cold = verdict.worst_cold.max(work / most);
            if work > most {
                verdict.cold_overloads += 1;
                let at = first.after;
                writeln!(
                    story,
                    "cold worker {worker}: {work:.2} s of work from {at:.3} on, {most:.2} at most"
                )
                .ok();
                break;
            }
        }
    }
}
