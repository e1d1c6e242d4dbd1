//! All decisions of mintlb. A front makes one `Scheduler` from its parts, calls it (`power_on`, `news`,
//! `arrived`, `started`, `came_back`, `left`, `sampled`, `woke`) as things happen, and carries out what it
//! asks for through the `Door` (lib.rs, where the nouns are too). The clock is the `now` of each call.
//!
//! The chain: a work unit passes `Shares`, waits in `Buffers`, passes `Repeats` (may it go there?) and
//! leaves by `Fleet` (which worker has room); an outcome runs the other way. `press` is the rule itself:
//! workers with room, most room first; for each the runnable buffer of highest alpha x rate x length.

use crate::{Allocation, ColdRule, Door, Effect, Group, Line, Listed, News};
use crate::{Outcome, ProjectType, Report, WorkUnit, Worker};
use std::collections::{BTreeMap, VecDeque};
use std::rc::{Rc, Weak};

/// Chance: multiply-with-carry, from the seed the instance was started with.
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance(((seed ^ (seed >> 32)) % 0xffff_da60_ffff_ffff) | 1)
    }

    /// A number from 0 up to 1.
    fn draw(&mut self) -> f64 {
        self.0 = (self.0 & 0xffff_ffff) * 0xffff_da61 + (self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}

enum Due {
    /// The client of this work unit gives up now.
    Limit(Weak<WorkUnit>),
    /// A waiting work unit has no hope left.
    Patience(Weak<WorkUnit>),
    /// An allocation should have started by now.
    Start(Weak<Allocation>),
    /// Ask (again) to follow the list.
    Ask,
    /// The periodic look for room that only time brings: trials, cold budgets.
    Round,
}

/// A timer may ring a rounding error early; without this grace it would pass for one still to ring, no other
/// would be asked for, and all that waits would be forgotten.
const HAIR: f64 = 1e-6;

/// All due times, in order; the door is asked for one timer only.
#[derive(Default)]
struct Agenda {
    due: BTreeMap<(u64, u64), Due>,
    added: u64,
    armed: f64,
}

impl Agenda {
    fn add(&mut self, at: f64, due: Due) {
        self.added += 1;
        self.due.insert((at.max(0.0).to_bits(), self.added), due);
    }

    fn next(&mut self, now: f64) -> Option<Due> {
        let first = self.due.first_entry()?;
        (f64::from_bits(first.key().0) <= now + HAIR).then(|| first.remove())
    }

    fn arm(&mut self, door: &mut dyn Door, now: f64) {
        let Some((&(at, _), _)) = self.due.first_key_value() else { return };
        let at = f64::from_bits(at);
        if self.armed <= now + HAIR || at < self.armed {
            self.armed = at;
            door.wake_in((at - now).max(0.0));
        }
    }
}

/// Customers: work beyond a customer's share earns `excess_credit`, and alpha knows it. How much of a
/// quota is ours can't be seen; the geometric mean of an equal part and the whole errs least either way.
pub struct Shares {
    parts: Vec<f64>,
    /// What is left of each customer's part, and when it was last topped up.
    left: Vec<(f64, f64)>,
}

impl Shares {
    pub fn new(quotas: &[f64], schedulers: usize) -> Shares {
        let parts: Vec<f64> = quotas.iter().map(|q| q / (schedulers.max(1) as f64).sqrt()).collect();
        Shares { left: parts.iter().map(|p| (*p, 0.0)).collect(), parts }
    }

    fn pass(&mut self, now: f64, wu: &WorkUnit) {
        let Some(c) = wu.customer.filter(|&c| c < self.parts.len()) else { return };
        let (left, at) = self.left[c];
        let left = (left + self.parts[c] * (now - at)).min(self.parts[c].max(1.0));
        wu.excess.set(left < 1.0);
        self.left[c] = (if left < 1.0 { left } else { left - 1.0 }, now);
    }
}

/// The buffers, first come first served: one a project type, and one beside it for work past a share.
pub struct Buffers {
    types: Vec<ProjectType>,
    excess_credit: f64,
    queues: Vec<VecDeque<Rc<WorkUnit>>>,
    /// Smoothed running time of each project type over all workers.
    running: Vec<f64>,
}

/// How far into a buffer the rule looks for a runnable work unit: one that is not must not block others.
const LOOK: usize = 8;
/// Until a project type is heard of, it is taken to run for this part of its hard limit.
const UNHEARD: f64 = 1.0 / 16.0;

impl Buffers {
    pub fn new(types: Vec<ProjectType>, excess_credit: f64) -> Buffers {
        let queues = types.iter().flat_map(|_| [VecDeque::new(), VecDeque::new()]).collect();
        let running = types.iter().map(|t| t.promised_turnaround.max(t.hard_limit * UNHEARD)).collect();
        Buffers { types, excess_credit, queues, running }
    }

    fn effect(&self, wu: &WorkUnit) -> Effect {
        self.types[wu.project_type].effect
    }

    fn put(&mut self, wu: &Rc<WorkUnit>, first: bool) {
        wu.waiting.set(true);
        let queue = &mut self.queues[2 * wu.project_type + wu.excess.get() as usize];
        if first { queue.push_front(wu.clone()) } else { queue.push_back(wu.clone()) }
    }

    fn take_out(&mut self, wu: &Rc<WorkUnit>) {
        if wu.waiting.replace(false) {
            let queue = &mut self.queues[2 * wu.project_type + wu.excess.get() as usize];
            queue.iter().position(|w| Rc::ptr_eq(w, wu)).map(|at| queue.remove(at));
        }
    }

    /// The weight of a buffer: the credit, 1 where none is set, less past a share.
    fn alpha(&self, queue: usize) -> f64 {
        let credit = self.types[queue / 2].credit;
        let credit = if credit > 0.0 { credit } else { 1.0 };
        if queue % 2 == 1 { credit * self.excess_credit } else { credit }
    }

    /// Past this moment waiting work is given up: its promise is over, or the time left is what it takes to
    /// run (some long runs must not make that seem most of the limit). Longer patience makes
    /// fresh work wait behind stale work, and on crowded days all of it comes late.
    fn hope(&self, wu: &WorkUnit) -> f64 {
        let t = &self.types[wu.project_type];
        let takes = self.running[wu.project_type].min(t.hard_limit / 4.0);
        (wu.arrived + t.promised_turnaround).min(wu.limit - takes)
    }

    fn mean_run(&self) -> f64 {
        self.running.iter().sum::<f64>() / self.running.len().max(1) as f64
    }

    fn learn(&mut self, project_type: usize, ran: f64) {
        self.running[project_type] += (ran - self.running[project_type]) * SLOWLY;
    }
}

/// Rule 2: what may be sent again, and where.
pub struct Repeats {
    parallel: bool,
    may_recall: bool,
    most_allocations: usize,
}

impl Repeats {
    pub fn new(parallel: bool, may_recall: bool, most_allocations: usize) -> Repeats {
        Repeats { parallel, may_recall, most_allocations }
    }

    /// Whether an outcome, or none so far, leaves open that the work was done. One called off by us may
    /// have run, too.
    fn may_have_run(outcome: Option<Outcome>) -> bool {
        !matches!(outcome, Some(Outcome::Full | Outcome::NoConnection | Outcome::Moot))
    }

    /// May this work unit go to this worker now?
    fn pass(&self, now: f64, effect: Effect, wu: &WorkUnit, worker: &Worker) -> bool {
        let allocs = wu.allocs.borrow();
        let out = |a: &&Rc<Allocation>| a.outcome.get().is_none();
        let there = allocs.iter().filter(out).any(|a| std::ptr::eq(&*a.worker, worker));
        if wu.ended.get() || self.spent(wu) || there || !self.parallel && allocs.iter().any(|a| out(&a)) {
            return false;
        }
        let Some(first) = allocs.iter().find(|a| Repeats::may_have_run(a.outcome.get())) else { return true };
        let (a, b) = (&first.worker.line, &worker.line);
        match effect {
            Effect::Rerunnable => true,
            Effect::Exclusive => false,
            Effect::Receipted { window, .. } if now >= first.sent + window => false,
            Effect::Receipted { group: Group::All, .. } => true,
            Effect::Receipted { group: Group::Zone, .. } => a.zone == b.zone,
            Effect::Receipted { group: Group::Cell, .. } => a.zone == b.zone && a.cell == b.cell,
        }
    }

    /// May it be deferred, that is, is a client's repeat harmless?
    fn harmless(&self, effect: Effect, wu: &WorkUnit) -> bool {
        match effect {
            Effect::Rerunnable | Effect::Receipted { group: Group::All, .. } => true,
            _ => !wu.allocs.borrow().iter().any(|a| Repeats::may_have_run(a.outcome.get())),
        }
    }

    /// Calls off, as far as that is permitted, all allocations still out but `kept`.
    fn call_off(&self, door: &mut dyn Door, wu: &WorkUnit, kept: Option<&Rc<Allocation>>) {
        let allocs = wu.allocs.borrow();
        let out = allocs.iter().filter(|a| self.may_recall && a.outcome.get().is_none());
        out.filter(|a| kept.is_none_or(|k| !Rc::ptr_eq(a, k))).for_each(|a| door.recall(a));
    }

    fn spent(&self, wu: &WorkUnit) -> bool {
        wu.allocs.borrow().len() >= self.most_allocations
    }

    fn out(wu: &WorkUnit) -> bool {
        wu.allocs.borrow().iter().any(|a| a.outcome.get().is_none())
    }

    /// May a second allocation run beside the first?
    fn doubles(&self, effect: Effect) -> bool {
        self.parallel && self.may_recall && effect != Effect::Exclusive
    }
}

/// The workers: the list, room, rates, health.
pub struct Fleet {
    cold: ColdRule,
    schedulers: f64,
    zone: u16,
    tells_start: bool,
    /// The shortest promised turnaround.
    promise: f64,
    workers: Vec<Rc<Worker>>,
    /// The most of our slots seen running at once on one worker.
    lanes: f64,
    /// Smoothed time to start over all workers.
    delay: f64,
    /// The quickest start seen in each zone: there nothing held the job up.
    quickest: BTreeMap<u16, f64>,
}

/// A start is late when it takes this part of the shortest promise longer than twice the quickest.
const LATE: f64 = 0.2;
/// Room in another zone counts this part: crossing costs points, and time that is learned only later.
const FAR: f64 = 0.6;
/// Rates start as if so many work units had been heard at the usual speed, and forget 1 in 16 a unit.
const PRIOR: f64 = 4.0;
const FORGET: f64 = 15.0 / 16.0;
/// The weight of one outcome in a worker's share of failures, and how far over the median makes a
/// suspect: one failure of a worker without any does.
const FAILED: f64 = 0.25;
const SUSPECT: f64 = 0.2;
/// A failed suspect's next trial waits so many shortest promises, at the least and at the most.
const TRIAL: [f64; 2] = [3.0, 24.0];
/// Slots: the ceiling where workers don't tell starts; and the lanes that any worker is taken to have.
const CEILING: f64 = 8.0;
const LANES: f64 = 2.0;
/// Within these seconds the shortest promise is believed: the rounds hang on it.
const PROMISE: [f64; 2] = [0.01, 10.0];
/// What is learned over all workers moves by this part with each work unit.
const SLOWLY: f64 = 1.0 / 32.0;

impl Fleet {
    pub fn new(
        cold: ColdRule,
        schedulers: usize,
        zone: u16,
        tells_start: bool,
        types: &[ProjectType],
    ) -> Fleet {
        let schedulers = schedulers.max(1) as f64;
        let shortest = types.iter().map(|t| t.promised_turnaround).fold(f64::INFINITY, f64::min);
        let promise = shortest.clamp(PROMISE[0], PROMISE[1]);
        let (workers, quickest) = (Vec::new(), BTreeMap::new());
        Fleet { cold, schedulers, zone, tells_start, promise, workers, lanes: LANES, delay: 0.0, quickest }
    }

    fn ready(&self) -> impl Iterator<Item = &Rc<Worker>> {
        self.workers.iter().filter(|w| w.listed.get() == Listed::Ready)
    }

    /// One line of the list. A worker with a new start time is a new one: old knowledge is void, and what
    /// the old process held counts no more. `debt` spreads the schedulers' first sends to a cold worker.
    fn listed(&mut self, now: f64, line: &Line, types: usize, debt: f64) {
        if let Some(at) = self.workers.iter().position(|w| w.line.id == line.id) {
            if self.workers[at].line.came_up == line.came_up || line.listed != Listed::Ready {
                return self.workers[at].listed.set(line.listed);
            }
            self.workers.remove(at);
        }
        let (sum, n) = self.ready().fold((0.0, 0.0), |(s, n), w| (s + w.allowance.get(), n + 1.0));
        let allowance = if n > 0.0 { sum / n } else { self.lanes };
        self.workers.push(Rc::new(Worker::new(line.clone(), allowance, types, (-debt, now))));
    }

    /// How many times the usual a worker takes for the same work.
    fn slowness(&self, w: &Worker, running: &[f64]) -> f64 {
        let sums = |(t, u): (f64, f64), (h, r): (&(f64, f64), &f64)| (t + h.0 / r, u + h.1);
        let (took, usual) = w.heard.borrow().iter().zip(running).fold((PRIOR, PRIOR), sums);
        took / usual
    }

    /// The rate of a project type at a worker: the inverse of the smoothed running time, unheard at the mean.
    fn rate(&self, w: &Worker, project_type: usize, running: &[f64], slowness: f64) -> f64 {
        let (sum, weight) = w.heard.borrow()[project_type];
        let usual = running[project_type] * slowness;
        (weight + PRIOR) / (sum + PRIOR * usual).max(f64::MIN_POSITIVE)
    }

    /// How much of our own we may have there now; zero or less is no room.
    fn room(&self, now: f64, w: &Worker, mean_run: f64) -> f64 {
        let out = w.slots_out.get();
        let trial = !w.suspect.get() || out == 0.0 && now >= w.next_trial.get();
        // Work of ours that has not started there says that its slots are taken, by others or for good.
        let kept = |a: &Weak<Allocation>| a.upgrade().is_some_and(|a| a.started.get().is_none());
        let kept = self.tells_start && w.out.borrow().iter().any(kept);
        let cold = w.line.came_up > 0.0 && now < w.line.came_up + self.cold.warm_after;
        if w.listed.get() != Listed::Ready || !trial || kept || cold && self.budget(now, w) <= 0.0 {
            return 0.0;
        }
        let (Report { free_slots }, at) = w.report.get();
        let told_full = free_slots.is_some_and(|f| f <= w.sent_since.get()) && now - at < mean_run;
        match out {
            0.0 => w.allowance.get().max(1.0),
            _ if told_full => 0.0,
            _ => w.allowance.get() - out,
        }
    }

    /// Rule 4: our part of what a cold worker may be sent, in slots x usual running time. It fills at half
    /// the rate that the rule allows for the least it can do now, up to half a span of it; each send
    /// spends what the work takes as a rule, also where it is turned away.
    fn budget(&self, now: f64, w: &Worker) -> f64 {
        let (left, at) = w.budget.get();
        let age = ((now - w.line.came_up) / self.cold.warm_after).clamp(0.0, 1.0);
        let share = self.cold.from + (1.0 - self.cold.from) * age;
        let rate = self.cold.multiple * share * self.lanes / self.schedulers / 2.0;
        let left = (left + rate * (now - at)).min(rate * self.cold.span / 2.0);
        w.budget.set((left, now));
        left
    }

    fn send(&self, now: f64, w: &Rc<Worker>, wu: &Rc<WorkUnit>, usual: f64) -> Rc<Allocation> {
        let alloc = Allocation::new(wu, w, now);
        wu.allocs.borrow_mut().push(alloc.clone());
        w.out.borrow_mut().push(Rc::downgrade(&alloc));
        w.slots_out.set(w.slots_out.get() + wu.slots);
        let (budget, at) = w.budget.get();
        w.budget.set((budget - wu.slots * usual, at));
        w.sent_since.set(w.sent_since.get() + wu.slots);
        alloc
    }

    /// A start later than this says that the worker's slots were taken.
    fn late(&self, w: &Worker) -> f64 {
        self.quickest.get(&w.line.zone).map_or(0.0, |q| q * 2.0) + LATE * self.promise
    }

    fn started(&mut self, now: f64, alloc: &Allocation) {
        alloc.started.set(Some(now));
        let w = &alloc.worker;
        let delay = now - alloc.sent;
        let (old, _) = w.delay.get();
        w.delay.set((old + (delay - old) / 2.0, now));
        self.delay += (delay - self.delay) * SLOWLY;
        if delay > self.late(w) {
            w.halve_allowance();
        }
        let quickest = self.quickest.entry(w.line.zone).or_insert(delay);
        *quickest = quickest.min(delay);
        let out = w.out.borrow();
        let running = out.iter().filter_map(Weak::upgrade).filter(|a| a.started.get().is_some());
        self.lanes = running.filter_map(|a| a.wu.upgrade()).map(|wu| wu.slots).sum::<f64>().max(self.lanes);
    }

    /// Frees the slot, and learns: the rate from completed work, the allowance, the share of failures.
    fn back(&self, door: &mut dyn Door, now: f64, alloc: &Allocation, wu: &WorkUnit, outcome: Outcome) {
        let w = &alloc.worker;
        w.out.borrow_mut().retain(|a| !std::ptr::eq(a.as_ptr(), alloc));
        w.slots_out.set(if w.out.borrow().is_empty() { 0.0 } else { w.slots_out.get() - wu.slots });
        match outcome {
            Outcome::Completed => {
                let (sum, weight) = w.heard.borrow()[wu.project_type];
                let heard = (sum * FORGET + alloc.ran(now), weight * FORGET + 1.0);
                w.heard.borrow_mut()[wu.project_type] = heard;
                let ceiling = if self.tells_start { self.lanes } else { CEILING };
                w.allowance.set((w.allowance.get() + 1.0).min(ceiling));
                self.judge(door, now, w, 0.0);
            }
            Outcome::Full => w.halve_allowance(),
            Outcome::Error | Outcome::NoConnection | Outcome::Dropped => self.judge(door, now, w, 1.0),
            // Taken and never started, it tells of a silent worker; a long run tells nothing.
            Outcome::TimedOut if alloc.started.get().is_none() => self.judge(door, now, w, 1.0),
            Outcome::TimedOut | Outcome::Recalled | Outcome::Moot => {}
        }
    }

    /// A worker is a suspect when its share of failures is far over the fleet's median: quick failures free
    /// slots, and would draw more work. A fleet that is bad all over has no suspects. One comes back by
    /// single trials, further apart while they fail, at once while they succeed.
    fn judge(&self, door: &mut dyn Door, now: f64, w: &Worker, failed: f64) {
        w.failures.set(w.failures.get() + (failed - w.failures.get()) * FAILED);
        let mut shares: Vec<f64> = self.ready().map(|w| w.failures.get()).collect();
        shares.sort_by(f64::total_cmp);
        let over = w.failures.get() - shares.get(shares.len() / 2).copied().unwrap_or(0.0);
        let was = w.suspect.replace(over > SUSPECT || w.suspect.get() && over > SUSPECT / 2.0);
        if was != w.suspect.get() {
            let now_is = if was { "trusted again" } else { "a suspect, sent single trials only" };
            let id = w.line.id;
            door.log(&format!("worker {id:012x} is {now_is}: {over:.2} over the median share of failures"));
        }
        let wait = (2.0 * w.trial_wait.get()).clamp(TRIAL[0] * self.promise, TRIAL[1] * self.promise);
        w.trial_wait.set(if failed > 0.0 { wait } else { 0.0 });
        w.next_trial.set(now + w.trial_wait.get());
    }
}

/// Follows the list: asks at start with spread, and again after a failure with spread and growing waits.
pub struct Follow {
    on_request: bool,
    ask_within: f64,
    failed: i32,
    asking: bool,
}

impl Follow {
    pub fn new(on_request: bool, ask_within: f64) -> Follow {
        Follow { on_request, ask_within, failed: 0, asking: false }
    }

    /// From a 64th to a quarter of the time within which we must ask.
    fn wait(&self, chance: &mut Chance) -> f64 {
        let most = self.ask_within / 4.0;
        (most / 16.0 * 2f64.powi(self.failed.min(4))).min(most) * (0.5 + chance.draw() / 2.0)
    }
}

pub struct Scheduler {
    chance: Chance,
    agenda: Agenda,
    shares: Shares,
    buffers: Buffers,
    repeats: Repeats,
    fleet: Fleet,
    follow: Follow,
    /// How long clients heed advice on when to come back; 0 where they get none.
    most_come_back: f64,
}

impl Scheduler {
    pub fn new(
        chance: Chance,
        shares: Shares,
        buffers: Buffers,
        repeats: Repeats,
        fleet: Fleet,
        follow: Follow,
        most_come_back: f64,
    ) -> Scheduler {
        let agenda = Agenda::default();
        Scheduler { chance, agenda, shares, buffers, repeats, fleet, follow, most_come_back }
    }

    pub fn workers(&self) -> &[Rc<Worker>] {
        &self.fleet.workers
    }

    pub fn power_on(&mut self, door: &mut dyn Door, now: f64) {
        if self.follow.on_request {
            self.ask_later(now);
        }
        self.agenda.add(now + self.fleet.promise * self.chance.draw(), Due::Round);
        self.agenda.arm(door, now);
    }

    /// One question at a time, however many failures are told.
    fn ask_later(&mut self, now: f64) {
        if !self.follow.asking {
            self.follow.asking = true;
            self.agenda.add(now + self.follow.wait(&mut self.chance), Due::Ask);
        }
    }

    pub fn news(&mut self, door: &mut dyn Door, now: f64, news: News) {
        let (lines, full) = match news {
            News::Failed => {
                if self.follow.failed == 0 {
                    door.log("the list is out of reach: the last one holds");
                }
                self.ask_later(now);
                self.follow.failed += 1;
                return self.settle(door, now);
            }
            News::Changes(lines) => (lines, false),
            News::Full(lines) | News::Cached(lines) => (lines, true),
        };
        self.follow.failed = 0;
        let gone = |w: &&Rc<Worker>| full && !lines.iter().any(|l| l.id == w.line.id);
        self.fleet.workers.iter().filter(gone).for_each(|w| w.listed.set(Listed::Gone));
        for line in lines {
            let debt = 2.0 * self.chance.draw() * self.buffers.mean_run();
            self.fleet.listed(now, line, self.buffers.types.len(), debt);
        }
        if self.fleet.ready().next().is_none() {
            door.log("the list has no ready worker: work is deferred once its patience is out");
        }
        self.settle(door, now);
    }

    pub fn arrived(&mut self, door: &mut dyn Door, now: f64, wu: &Rc<WorkUnit>) {
        self.shares.pass(now, wu);
        self.buffers.put(wu, false);
        self.agenda.add(wu.limit, Due::Limit(Rc::downgrade(wu)));
        self.agenda.add(self.buffers.hope(wu), Due::Patience(Rc::downgrade(wu)));
        self.settle(door, now);
    }

    /// A job has started. Of allocations side by side the first to start is kept.
    pub fn started(&mut self, door: &mut dyn Door, now: f64, alloc: &Rc<Allocation>) {
        // A note that comes again, or after the outcome, tells nothing of what was sent since.
        let news = alloc.outcome.get().is_none() && alloc.started.get().is_none();
        if let Some(wu) = alloc.wu.upgrade().filter(|_| news) {
            self.fleet.started(now, alloc);
            self.buffers.take_out(&wu);
            let allocs = wu.allocs.borrow();
            // The other, if it runs: two that start in one batch must not call each other off.
            let runs = |a: &&Rc<Allocation>| a.outcome.get().is_none() && a.started.get().is_some();
            let first = allocs.iter().filter(runs).find(|a| !Rc::ptr_eq(a, alloc)).unwrap_or(alloc);
            self.repeats.call_off(door, &wu, Some(first));
        }
        self.settle(door, now);
    }

    pub fn came_back(
        &mut self,
        door: &mut dyn Door,
        now: f64,
        alloc: &Rc<Allocation>,
        outcome: Outcome,
        ended: bool,
        report: Report,
    ) {
        let Some(wu) = alloc.wu.upgrade().filter(|_| alloc.outcome.get().is_none()) else { return };
        alloc.outcome.set(Some(outcome));
        self.sampled(now, &alloc.worker, report);
        self.fleet.back(door, now, alloc, &wu, outcome);
        if outcome == Outcome::Completed {
            self.buffers.learn(wu.project_type, alloc.ran(now));
        }
        if ended {
            self.close(door, &wu);
        } else if !wu.ended.get() && !Repeats::out(&wu) {
            self.buffers.take_out(&wu);
            self.again(door, now, &wu, outcome);
        }
        self.settle(door, now);
    }

    /// What becomes of a work unit that has come back undone: first in its buffer, or its final answer.
    fn again(&mut self, door: &mut dyn Door, now: f64, wu: &Rc<WorkUnit>, outcome: Outcome) {
        let effect = self.buffers.effect(wu);
        let over = outcome == Outcome::Moot || now >= self.buffers.hope(wu);
        if over || !self.fleet.ready().any(|w| self.repeats.pass(now, effect, wu, w)) {
            self.give_up(door, now, wu);
        } else {
            self.buffers.put(wu, true);
        }
    }

    /// The final answer for work that waits or has come back, given at once.
    fn give_up(&mut self, door: &mut dyn Door, now: f64, wu: &Rc<WorkUnit>) {
        if self.repeats.harmless(self.buffers.effect(wu), wu) && now < wu.limit {
            let promise = self.buffers.types[wu.project_type].promised_turnaround;
            door.defer(wu, (promise / 2.0).min(self.most_come_back));
        } else {
            door.abort(wu);
        }
        self.close(door, wu);
    }

    /// Nothing more is sent for it; what is still out is called off.
    fn close(&mut self, door: &mut dyn Door, wu: &Rc<WorkUnit>) {
        self.buffers.take_out(wu);
        if !wu.ended.replace(true) {
            self.repeats.call_off(door, wu, None);
        }
    }

    /// The client has left, or was answered by the front itself.
    pub fn left(&mut self, door: &mut dyn Door, now: f64, wu: &Rc<WorkUnit>) {
        self.close(door, wu);
        self.settle(door, now);
    }

    pub fn sampled(&mut self, now: f64, worker: &Worker, report: Report) {
        // Reports may be absurd: what is no number of slots is no report.
        if report.free_slots.is_some_and(|f| f.is_finite() && f >= 0.0) {
            worker.report.set((report, now));
            worker.sent_since.set(0.0);
        }
    }

    pub fn woke(&mut self, door: &mut dyn Door, now: f64) {
        while let Some(due) = self.agenda.next(now) {
            match due {
                Due::Limit(wu) => {
                    if let Some(wu) = wu.upgrade().filter(|wu| !wu.ended.get()) {
                        self.give_up(door, now, &wu);
                    }
                }
                Due::Patience(wu) => match wu.upgrade().filter(|wu| wu.waiting.get()) {
                    Some(wu) if Repeats::out(&wu) => self.buffers.take_out(&wu),
                    Some(wu) => self.give_up(door, now, &wu),
                    None => {}
                },
                Due::Start(alloc) => self.unstarted(now, alloc),
                Due::Ask => {
                    self.follow.asking = false;
                    door.follow_list();
                }
                Due::Round => self.agenda.add(now + self.fleet.promise / 2.0, Due::Round),
            }
        }
        self.settle(door, now);
    }

    /// Work kept waiting at a worker that others have filled, or that has gone silent, goes back to its
    /// buffer for a second allocation beside the first, if the time left exceeds what that takes.
    fn unstarted(&mut self, now: f64, alloc: Weak<Allocation>) {
        let kept = alloc.upgrade().filter(|a| a.started.get().is_none() && a.outcome.get().is_none());
        let Some(wu) = kept.and_then(|a| a.wu.upgrade()) else { return };
        let in_time = now + self.buffers.running[wu.project_type] < wu.limit;
        if in_time && !wu.ended.get() && !wu.waiting.get() && !self.repeats.spent(&wu) {
            self.buffers.put(&wu, true);
        }
    }

    /// After each arrival and outcome: the rule, then the one timer.
    fn settle(&mut self, door: &mut dyn Door, now: f64) {
        if self.buffers.queues.iter().any(|q| !q.is_empty()) {
            self.press(door, now);
        }
        self.agenda.arm(door, now);
    }

    /// The rule. Workers with room, most room first, where room counts for what it can do: over the time to
    /// start and run there. Each gets one work unit at a time, from the runnable buffer of highest pressure.
    fn press(&mut self, door: &mut dyn Door, now: f64) {
        let mean_run = self.buffers.mean_run();
        let mut ready = Vec::new();
        for w in &self.fleet.workers {
            let room = self.fleet.room(now, w, mean_run);
            if room > 0.0 {
                let slow = self.fleet.slowness(w, &self.buffers.running);
                let ((delay, at), usual) = (w.delay.get(), self.fleet.delay);
                let delay = usual + (delay - usual) / (1.0 + (now - at) / mean_run);
                let room = if w.line.zone == self.fleet.zone { room } else { room * FAR };
                ready.push((room / (delay + slow * mean_run), self.chance.draw(), (slow, delay), w.clone()));
            }
        }
        ready.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.total_cmp(&b.1)));
        for (_, _, (slow, delay), w) in ready {
            let Some(wu) = self.pick(now, &w, slow, delay) else { continue };
            self.buffers.take_out(&wu);
            let alloc = self.fleet.send(now, &w, &wu, self.buffers.running[wu.project_type]);
            door.allocate(&alloc);
            if self.fleet.tells_start && self.repeats.doubles(self.buffers.effect(&wu)) {
                self.agenda.add(now + self.fleet.late(&w), Due::Start(Rc::downgrade(&alloc)));
            }
        }
    }

    /// The work unit of the runnable buffer with the highest alpha x rate x length for this worker.
    fn pick(&self, now: f64, w: &Worker, slow: f64, delay: f64) -> Option<Rc<WorkUnit>> {
        let free = (w.allowance.get() - w.slots_out.get()).max(1.0);
        let fits = |wu: &WorkUnit| w.slots_out.get() == 0.0 || wu.slots <= free;
        // A trial that fails must not cost work that can't be repeated, if other work there is.
        let spare = w.suspect.get() && self.buffers.types.iter().any(|t| t.effect != Effect::Exclusive);
        let mut best: Option<(f64, &Rc<WorkUnit>)> = None;
        for (i, queue) in self.buffers.queues.iter().enumerate().filter(|(_, q)| !q.is_empty()) {
            let t = &self.buffers.types[i / 2];
            let rate = self.fleet.rate(w, i / 2, &self.buffers.running, slow);
            let pressure = self.buffers.alpha(i) * rate * queue.len() as f64;
            let other_kind = t.kind.is_some_and(|k| k != w.line.kind);
            // Where late answers earn nothing, work is not sent to wait out its promise there.
            let hopeless = t.late_credit == 0.0 && delay > t.promised_turnaround;
            let not_here = other_kind || hopeless || spare && t.effect == Effect::Exclusive;
            if !not_here && best.is_none_or(|b| pressure > b.0) {
                let runnable = |wu: &&Rc<WorkUnit>| fits(wu) && self.repeats.pass(now, t.effect, wu, w);
                best = queue.iter().take(LOOK).find(runnable).map(|wu| (pressure, wu)).or(best);
            }
        }
        best.map(|b| b.1.clone())
    }
}
