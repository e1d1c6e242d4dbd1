//! All decisions of mintlb. A front makes one `Scheduler` from its parts, calls it (`power_on`, `news`,
//! `arrived`, `started`, `came_back`, `left`, `sampled`, `woke`) as things happen, and carries out what it
//! asks for through the `Door` (lib.rs, where the nouns are too). The clock is the `now` of each call.
//!
//! The chain: a work unit passes `Shares`, waits in `Buffers`, passes `Repeats` (may it go there?) and
//! leaves by `Fleet` (which worker has room); an outcome runs the other way. `press` is the rule itself:
//! workers with room, most room first; for each the runnable buffer of highest alpha x rate x length.

use crate::{
    Allocation, ColdRule, Door, Effect, Group, Line, Listed, News, Outcome, ProjectType, Report, WorkUnit,
    Worker,
};
use std::collections::{BTreeMap, VecDeque};
use std::rc::{Rc, Weak};

/// Chance: multiply-with-carry, from the seed the instance was started with.
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance((seed ^ (seed >> 32)) % 0xffff_da60_ffff_ffff | 1)
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
    /// The periodic work.
    Round,
}

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
        (f64::from_bits(first.key().0) <= now).then(|| first.remove())
    }

    fn arm(&mut self, door: &mut dyn Door, now: f64) {
        let Some((&(at, _), _)) = self.due.first_key_value() else { return };
        let at = f64::from_bits(at);
        if self.armed <= now || at < self.armed {
            self.armed = at;
            door.wake_in((at - now).max(0.0));
        }
    }
}

/// Customers: work beyond a customer's share is worth `excess_credit`, and alpha knows it.
pub struct Shares {
    quotas: Vec<f64>,
    schedulers: f64,
    /// What is left of each customer's part, and when it was last topped up.
    left: Vec<(f64, f64)>,
}

impl Shares {
    pub fn new(quotas: Vec<f64>, schedulers: usize) -> Shares {
        let left = quotas.iter().map(|q| (*q, 0.0)).collect();
        Shares { quotas, schedulers: schedulers as f64, left }
    }

    fn pass(&mut self, now: f64, wu: &WorkUnit) {
        let Some(c) = wu.customer.filter(|&c| c < self.quotas.len()) else { return };
        let quota = self.quotas[c] / self.schedulers.sqrt();
        let (left, at) = self.left[c];
        let left = (left + quota * (now - at)).min(quota);
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

impl Buffers {
    pub fn new(types: Vec<ProjectType>, excess_credit: f64) -> Buffers {
        let queues = types.iter().flat_map(|_| [VecDeque::new(), VecDeque::new()]).collect();
        let running = types.iter().map(|t| t.promised_turnaround.max(t.hard_limit / 16.0)).collect();
        Buffers { types, excess_credit, queues, running }
    }

    fn of(wu: &WorkUnit) -> usize {
        2 * wu.project_type + wu.excess.get() as usize
    }

    fn put(&mut self, wu: &Rc<WorkUnit>, first: bool) {
        wu.waiting.set(true);
        let queue = &mut self.queues[Buffers::of(wu)];
        if first { queue.push_front(wu.clone()) } else { queue.push_back(wu.clone()) }
    }

    fn take_out(&mut self, wu: &Rc<WorkUnit>) {
        wu.waiting.set(false);
        let queue = &mut self.queues[Buffers::of(wu)];
        if let Some(at) = queue.iter().position(|w| Rc::ptr_eq(w, wu)) {
            queue.remove(at);
        }
    }

    /// The weight of a buffer: the credit, less past a share.
    fn alpha(&self, queue: usize) -> f64 {
        let t = &self.types[queue / 2];
        let credit = if t.credit > 0.0 { t.credit } else { 1.0 };

        credit * if queue % 2 == 1 { self.excess_credit } else { 1.0 }
    }

    /// Past this moment even a work unit of usual size no longer ends in its promised turnaround.
    fn hope(&self, wu: &WorkUnit) -> f64 {
        let t = &self.types[wu.project_type];
        let running = self.running[wu.project_type];
        (wu.arrived + t.promised_turnaround).min(wu.limit - running.min(t.hard_limit / 4.0))
    }

    fn mean_run(&self) -> f64 {
        self.running.iter().sum::<f64>() / self.running.len() as f64
    }

    fn learn(&mut self, project_type: usize, ran: f64) {
        self.running[project_type] += (ran - self.running[project_type]) / 32.0;
    }
}

/// Rule 2: what may be sent again, and where.
pub struct Repeats {
    parallel: bool,
    most_allocations: usize,
}

impl Repeats {
    pub fn new(parallel: bool, most_allocations: usize) -> Repeats {
        Repeats { parallel, most_allocations }
    }

    /// Whether an outcome leaves open that the work was done. One called off by us may have run, too.
    fn may_have_run(outcome: Option<Outcome>) -> bool {
        !matches!(outcome, Some(Outcome::Full | Outcome::NoConnection | Outcome::Moot))
    }

    /// May this work unit go to this worker now?
    fn pass(&self, now: f64, effect: Effect, wu: &WorkUnit, worker: &Worker) -> bool {
        let allocs = wu.allocs.borrow();
        if allocs.is_empty() {
            return true;
        }
        if wu.ended.get() || allocs.len() >= self.most_allocations {
            return false;
        }
        let out = allocs.iter().any(|a| a.outcome.get().is_none());
        if (out && !self.parallel)
            || allocs.iter().any(|a| Rc::as_ptr(&a.worker) == worker && a.outcome.get().is_none())
        {
            return false;
        }
        let Some(first) = allocs.iter().find(|a| Repeats::may_have_run(a.outcome.get())) else { return true };
        match effect {
            Effect::Rerunnable => true,
            Effect::Exclusive => false,
            Effect::Receipted { group, window } => {
                let (a, b) = (&first.worker.line, &worker.line);
                now < first.sent + window
                    && match group {
                        Group::All => true,
                        Group::Zone => a.zone == b.zone,
                        Group::Cell => a.cell == b.cell && a.zone == b.zone,
                    }
            }
        }
    }

    /// May it be deferred, that is, is a client's repeat harmless?
    fn harmless(&self, effect: Effect, wu: &WorkUnit) -> bool {
        match effect {
            Effect::Rerunnable | Effect::Receipted { group: Group::All, .. } => true,
            _ => !wu.allocs.borrow().iter().any(|a| Repeats::may_have_run(a.outcome.get())),
        }
    }

    fn out(wu: &WorkUnit) -> bool {
        wu.allocs.borrow().iter().any(|a| a.outcome.get().is_none())
    }

    fn spent(&self, wu: &WorkUnit) -> bool {
        wu.allocs.borrow().len() >= self.most_allocations
    }
}

/// The workers: the list, room, rates, health.
pub struct Fleet {
    cold: ColdRule,
    schedulers: f64,
    tells_start: bool,
    workers: Vec<Rc<Worker>>,
    /// The most of our slots seen running at once on one worker.
    lanes: f64,
    /// The quickest start seen in each zone: where nothing else held the job up.
    quickest: BTreeMap<u16, f64>,
}

const LATE: f64 = 0.02;
const PRIOR: f64 = 4.0;
const FORGET: f64 = 15.0 / 16.0;
const TRIAL: f64 = 0.5;
const SUSPECT: f64 = 0.2;

impl Fleet {
    pub fn new(cold: ColdRule, schedulers: usize, tells_start: bool) -> Fleet {
        let schedulers = schedulers.max(1) as f64;
        Fleet { cold, schedulers, tells_start, workers: Vec::new(), lanes: 2.0, quickest: BTreeMap::new() }
    }

    fn add(&mut self, now: f64, line: &Line, types: usize) {
        let known = self.workers.iter().filter(|w| w.listed.get() == Listed::Ready);
        let (sum, n) = known.fold((0.0, 0.0), |(s, n), w| (s + w.allowance.get(), n + 1.0));
        let allowance = if n > 0.0 { sum / n } else { 2.0 };
        self.workers.push(Rc::new(Worker::new(line.clone(), allowance, types, now)));
    }

    /// One line of the list. A worker with a new start time is a new one: old knowledge is void.
    fn listed(&mut self, now: f64, line: &Line, types: usize) {
        let known = self.workers.iter().position(|w| w.line.id == line.id);
        if let Some(at) = known {
            let same = self.workers[at].line.came_up == line.came_up || line.listed != Listed::Ready;
            if same {
                return self.workers[at].listed.set(line.listed);
            }
            self.workers.remove(at);
        }
        self.add(now, line, types);
    }

    fn mean_weight(&self) -> f64 {
        let ready = self.workers.iter().filter(|w| w.listed.get() == Listed::Ready);
        let (sum, n) = ready.fold((0.0, 0.0), |(s, n), w| (s + w.line.weight, n + 1.0));
        if n > 0.0 && sum > 0.0 { sum / n } else { 1.0 }
    }

    /// How many times the usual a worker takes for the same work.
    fn slowness(&self, w: &Worker, running: &[f64], mean_weight: f64) -> f64 {
        let prior = if w.line.weight > 0.0 { mean_weight / w.line.weight } else { 1.0 };
        let heard = w.heard.borrow();
        let both = heard.iter().zip(running);
        let (took, usual) = both.fold((PRIOR * prior, PRIOR), |(t, u), (h, r)| (t + h.0 / r, u + h.1));
        took / usual
    }

    /// The rate of a project type at a worker: the inverse of the smoothed running time, unheard at the mean.
    fn rate(&self, w: &Worker, project_type: usize, running: &[f64], slowness: f64) -> f64 {
        let (sum, weight) = w.heard.borrow()[project_type];
        let usual = running[project_type] * slowness;
        (weight + PRIOR) / (sum + PRIOR * usual).max(1e-6)
    }

    /// How much of our own we may have there now; zero or less is no room.
    fn room(&self, now: f64, w: &Worker, mean_run: f64) -> f64 {
        if w.listed.get() != Listed::Ready {
            return 0.0;
        }
        let out = w.slots_out.get();
        if w.suspect.get() && (out > 0.0 || now < w.next_trial.get()) {
            return 0.0;
        }
        let kept = |a: &Weak<Allocation>| a.upgrade().is_some_and(|a| a.started.get().is_none());
        if self.tells_start && w.out.borrow().iter().any(kept) {
            return 0.0;
        }
        if self.is_cold(now, w) && self.budget(now, w, mean_run) < 1.0 {
            return 0.0;
        }
        if out == 0.0 {
            return w.allowance.get().max(1.0);
        }
        if let (Report { free_slots: Some(free), .. }, at) = w.report.get()
            && now - at < mean_run
            && free - w.sent_since.get().0 <= 0.0
        {
            return 0.0;
        }
        w.allowance.get() - out
    }

    fn is_cold(&self, now: f64, w: &Worker) -> bool {
        w.line.came_up > 0.0 && now < w.line.came_up + self.cold.warm_after
    }

    /// Rule 4: our part of what a cold worker may be sent, in work units of usual size. It fills at the
    /// rate the worker can surely bear, is never more than a span's worth, and each send spends one.
    fn budget(&self, now: f64, w: &Worker, mean_run: f64) -> f64 {
        let (left, at) = w.budget.get();
        let age = ((now - w.line.came_up) / self.cold.warm_after).clamp(0.0, 1.0);
        let share = self.cold.from + (1.0 - self.cold.from) * age;
        let rate = self.cold.multiple * share * self.lanes / mean_run / self.schedulers / 2.0;
        let left = (left + rate * (now - at)).min((rate * self.cold.span / 2.0).max(1.0));
        w.budget.set((left, now));
        left
    }

    fn send(&mut self, now: f64, w: &Rc<Worker>, wu: &Rc<WorkUnit>) -> Rc<Allocation> {
        let alloc = Allocation::new(wu, w, now);
        wu.allocs.borrow_mut().push(alloc.clone());
        w.out.borrow_mut().push(Rc::downgrade(&alloc));
        w.slots_out.set(w.slots_out.get() + wu.slots);
        let (budget, at) = w.budget.get();
        w.budget.set((budget - 1.0, at));
        let (slots, memory) = w.sent_since.get();
        w.sent_since.set((slots + wu.slots, memory + wu.memory));
        alloc
    }

    /// A start later than this says that the worker's slots were taken.
    fn late(&self, w: &Worker) -> f64 {
        self.quickest.get(&w.line.zone).map_or(0.0, |q| q * 2.0) + LATE
    }

    fn started(&mut self, now: f64, alloc: &Allocation) {
        if alloc.started.replace(Some(now)).is_some() || alloc.outcome.get().is_some() {
            return;
        }
        let w = &alloc.worker;
        let delay = now - alloc.sent;
        let (old, _) = w.delay.get();
        w.delay.set((old + (delay - old) / 2.0, now));
        if delay > self.late(w) {
            w.allowance.set((w.allowance.get() / 2.0).max(1.0));
        }
        let quickest = self.quickest.entry(w.line.zone).or_insert(delay);
        *quickest = quickest.min(delay);
        let out = w.out.borrow();
        let running = out.iter().filter_map(Weak::upgrade).filter(|a| a.started.get().is_some());
        let running = running.filter_map(|a| a.wu.upgrade()).map(|wu| wu.slots).sum::<f64>();
        self.lanes = self.lanes.max(running);
    }

    /// Frees the slot, and learns: the rate from completed work, the allowance, the share of failures.
    fn back(&mut self, now: f64, alloc: &Allocation, wu: &WorkUnit, outcome: Outcome) -> Option<f64> {
        let w = &alloc.worker;
        w.out.borrow_mut().retain(|a| a.as_ptr() != std::ptr::from_ref(alloc));
        w.slots_out.set(if w.out.borrow().is_empty() { 0.0 } else { w.slots_out.get() - wu.slots });
        let mut ran = None;
        let mut failed = None;
        match outcome {
            Outcome::Completed => {
                let took = now - alloc.started.get().unwrap_or(alloc.sent);
                let mut heard = w.heard.borrow_mut();
                let (sum, weight) = heard[wu.project_type];
                heard[wu.project_type] = (sum * FORGET + took, weight * FORGET + 1.0);
                w.allowance.set((w.allowance.get() + 1.0).min(self.lanes));
                ran = Some(took);
                failed = Some(0.0);
            }
            Outcome::Full => w.allowance.set((w.allowance.get() / 2.0).max(1.0)),
            Outcome::Error | Outcome::NoConnection | Outcome::Dropped => failed = Some(1.0),
            Outcome::TimedOut if alloc.started.get().is_none() => failed = Some(1.0),
            _ => {}
        }
        if let Some(failed) = failed {
            self.judge(now, w, failed);
        }
        ran
    }

    /// A worker is a suspect when its share of failures is far over the fleet's median; a fleet that is bad
    /// all over has no suspects. One comes back by single trials, ever further apart while they fail.
    fn judge(&mut self, now: f64, w: &Worker, failed: f64) {
        w.failures.set(w.failures.get() + (failed - w.failures.get()) / 4.0);
        let ready = self.workers.iter().filter(|w| w.listed.get() == Listed::Ready);
        let mut shares: Vec<f64> = ready.map(|w| w.failures.get()).collect();
        shares.sort_by(f64::total_cmp);
        let median = shares.get(shares.len() / 2).copied().unwrap_or(0.0);
        let over = w.failures.get() - median;
        let again = if failed > 0.0 { w.trial_wait.get() * 2.0 } else { 0.0 };
        if over > SUSPECT {
            w.suspect.set(true);
        } else if over < SUSPECT / 2.0 {
            w.suspect.set(false);
        }
        w.trial_wait.set(again.clamp(TRIAL, 8.0 * TRIAL));
        w.next_trial.set(now + again);
    }
}

/// Follows the list: asks at start with spread, and again after a failure with spread and growing waits.
pub struct Follow {
    on_request: bool,
    ask_within: f64,
    failed: i32,
    asked: bool,
}

impl Follow {
    pub fn new(on_request: bool, ask_within: f64) -> Follow {
        Follow { on_request, ask_within, failed: 0, asked: false }
    }

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
    round: f64,
}

impl Scheduler {
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        chance: Chance,
        shares: Shares,
        buffers: Buffers,
        repeats: Repeats,
        fleet: Fleet,
        follow: Follow,
        most_come_back: f64,
    ) -> Scheduler {
        let shortest = buffers.types.iter().map(|t| t.promised_turnaround).fold(1.0, f64::min);
        let round = shortest.max(0.02) / 2.0;
        let agenda = Agenda::default();
        Scheduler { chance, agenda, shares, buffers, repeats, fleet, follow, most_come_back, round }
    }

    pub fn workers(&self) -> &[Rc<Worker>] {
        &self.fleet.workers
    }

    pub fn power_on(&mut self, door: &mut dyn Door, now: f64) {
        if self.follow.on_request {
            let wait = self.follow.wait(&mut self.chance);
            self.agenda.add(now + wait, Due::Ask);
        }
        self.agenda.add(now + self.round * self.chance.draw(), Due::Round);
        self.agenda.arm(door, now);
    }

    pub fn news(&mut self, door: &mut dyn Door, now: f64, news: News) {
        let types = self.buffers.types.len();
        match news {
            News::Failed => {
                self.follow.failed += 1;
                if !self.follow.asked {
                    self.follow.asked = true;
                    let wait = self.follow.wait(&mut self.chance);
                    self.agenda.add(now + wait, Due::Ask);
                }
            }
            News::Changes(lines) => {
                self.follow.failed = 0;
                lines.iter().for_each(|l| self.fleet.listed(now, l, types));
            }
            News::Full(lines) | News::Cached(lines) => {
                self.follow.failed = 0;
                for w in &self.fleet.workers {
                    if !lines.iter().any(|l| l.id == w.line.id) {
                        w.listed.set(Listed::Gone);
                    }
                }
                lines.iter().for_each(|l| self.fleet.listed(now, l, types));
            }
        }
        self.press(door, now);
        self.agenda.arm(door, now);
    }

    pub fn arrived(&mut self, door: &mut dyn Door, now: f64, wu: &Rc<WorkUnit>) {
        self.shares.pass(now, wu);
        self.buffers.put(wu, false);
        self.agenda.add(wu.limit, Due::Limit(Rc::downgrade(wu)));
        self.agenda.add(self.buffers.hope(wu).max(now), Due::Patience(Rc::downgrade(wu)));
        self.press(door, now);
        self.agenda.arm(door, now);
    }

    pub fn started(&mut self, door: &mut dyn Door, now: f64, alloc: &Rc<Allocation>) {
        self.fleet.started(now, alloc);
        if let Some(wu) = alloc.wu.upgrade() {
            if wu.waiting.get() {
                self.buffers.take_out(&wu);
            }
            let allocs = wu.allocs.borrow();
            let mut out: Vec<_> = allocs.iter().filter(|a| a.outcome.get().is_none()).collect();
            out.sort_by_key(|a| a.started.get().map_or(u64::MAX, f64::to_bits));
            out.iter().skip(1).for_each(|a| door.recall(a));
        }
        self.press(door, now);
        self.agenda.arm(door, now);
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
        let Some(wu) = alloc.wu.upgrade() else { return };
        if alloc.outcome.replace(Some(outcome)).is_some() {
            return;
        }
        self.heard(now, &alloc.worker, report);
        if let Some(ran) = self.fleet.back(now, alloc, &wu, outcome) {
            self.buffers.learn(wu.project_type, ran);
        }
        if ended {
            self.close(door, &wu);
        } else if !wu.ended.get() {
            self.again(door, now, &wu, outcome);
        }
        self.press(door, now);
        self.agenda.arm(door, now);
    }

    /// What becomes of a work unit one of whose allocations has failed.
    fn again(&mut self, door: &mut dyn Door, now: f64, wu: &Rc<WorkUnit>, outcome: Outcome) {
        if wu.waiting.get() || Repeats::out(wu) {
            return;
        }
        let effect = self.buffers.types[wu.project_type].effect;
        let somewhere =
            |w: &&Rc<Worker>| w.listed.get() == Listed::Ready && self.repeats.pass(now, effect, wu, w);
        let over = outcome == Outcome::Moot || now >= self.buffers.hope(wu) || self.repeats.spent(wu);
        if over || self.fleet.workers.iter().find(somewhere).is_none() {
            self.give_up(door, now, wu);
        } else {
            self.buffers.put(wu, true);
        }
    }

    /// The final answer for work that waits or has come back, given at once.
    fn give_up(&mut self, door: &mut dyn Door, now: f64, wu: &Rc<WorkUnit>) {
        let t = &self.buffers.types[wu.project_type];
        if self.repeats.harmless(t.effect, wu) && now < wu.limit {
            let come_back = self.buffers.running[wu.project_type];
            door.defer(wu, come_back.min(self.most_come_back));
        } else {
            door.abort(wu);
        }
        self.close(door, wu);
    }

    /// Nothing more is sent for it; what is still out is called off.
    fn close(&mut self, door: &mut dyn Door, wu: &Rc<WorkUnit>) {
        if wu.waiting.get() {
            self.buffers.take_out(wu);
        }
        if !wu.ended.replace(true) {
            for alloc in wu.allocs.borrow().iter().filter(|a| a.outcome.get().is_none()) {
                door.recall(alloc);
            }
        }
    }

    pub fn left(&mut self, door: &mut dyn Door, now: f64, wu: &Rc<WorkUnit>) {
        self.close(door, wu);
        self.press(door, now);
        self.agenda.arm(door, now);
    }

    pub fn sampled(&mut self, now: f64, worker: &Worker, report: Option<Report>) {
        if let Some(report) = report {
            self.heard(now, worker, report);
        }
    }

    fn heard(&mut self, now: f64, worker: &Worker, report: Report) {
        if report.free_slots.is_some_and(|f| f.is_finite() && f >= 0.0) {
            worker.report.set((report, now));
            worker.sent_since.set((0.0, 0.0));
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
                Due::Start(alloc) => {
                    if let Some(alloc) = alloc.upgrade() {
                        self.unstarted(&alloc);
                    }
                }
                Due::Ask => {
                    self.follow.asked = false;
                    door.follow_list();
                }
                Due::Round => self.agenda.add(now + self.round, Due::Round),
            }
        }
        self.press(door, now);
        self.agenda.arm(door, now);
    }

    /// A work unit kept waiting at a worker that others have filled goes back to its buffer for a second
    /// allocation beside the first, where its type permits that; the first to start calls the other off.
    fn unstarted(&mut self, alloc: &Allocation) {
        let Some(wu) = alloc.wu.upgrade().filter(|wu| !wu.ended.get() && !wu.waiting.get()) else { return };
        if alloc.started.get().is_none() && alloc.outcome.get().is_none() && !self.repeats.spent(&wu) {
            self.buffers.put(&wu, true);
        }
    }

    /// The rule. Workers with room, most room first; from the runnable buffer of highest pressure.
    fn press(&mut self, door: &mut dyn Door, now: f64) {
        let waiting = self.buffers.queues.iter().any(|q| !q.is_empty());
        if !waiting {
            return;
        }
        let running = &self.buffers.running;
        let mean_run = self.buffers.mean_run();
        let mean_weight = self.fleet.mean_weight();
        let mut ready: Vec<(f64, f64, f64, Rc<Worker>)> = Vec::new();
        for w in &self.fleet.workers {
            let room = self.fleet.room(now, w, mean_run);
            if room > 0.0 {
                let slow = self.fleet.slowness(w, running, mean_weight);
                let (delay, at) = w.delay.get();
                let delay = delay / (1.0 + (now - at) / mean_run);
                ready.push((room / (delay + slow * mean_run), self.chance.draw(), slow, w.clone()));
            }
        }
        ready.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.total_cmp(&b.1)));
        for (_, _, slow, w) in ready {
            let Some(wu) = self.pick(now, &w, slow) else { continue };
            self.buffers.take_out(&wu);
            let alloc = self.fleet.send(now, &w, &wu);
            door.allocate(&alloc);
            let repeats = self.buffers.types[wu.project_type].effect != Effect::Exclusive;
            if self.fleet.tells_start && self.repeats.parallel && repeats {
                self.agenda.add(now + self.fleet.late(&w), Due::Start(Rc::downgrade(&alloc)));
            }
        }
    }

    /// The work unit of the runnable buffer with the highest alpha x rate x length for this worker.
    fn pick(&self, now: f64, w: &Worker, slow: f64) -> Option<Rc<WorkUnit>> {
        let mut best: Option<(f64, Rc<WorkUnit>)> = None;
        let spare = self.buffers.types.iter().any(|t| t.effect != Effect::Exclusive);
        for (i, queue) in self.buffers.queues.iter().enumerate().filter(|(_, q)| !q.is_empty()) {
            let t = &self.buffers.types[i / 2];
            if w.suspect.get() && t.effect == Effect::Exclusive && spare {
                continue;
            }
            let rate = self.fleet.rate(w, i / 2, &self.buffers.running, slow);
            let pressure = self.buffers.alpha(i) * rate * queue.len() as f64;
            if t.kind.is_some_and(|k| k != w.line.kind) || best.as_ref().is_some_and(|b| b.0 >= pressure) {
                continue;
            }
            let free = w.allowance.get() - w.slots_out.get();
            let fits = |wu: &WorkUnit| w.slots_out.get() == 0.0 || wu.slots <= free.max(1.0);
            let runnable = |wu: &&Rc<WorkUnit>| fits(wu) && self.repeats.pass(now, t.effect, wu, w);
            if let Some(wu) = queue.iter().take(8).find(runnable) {
                best = Some((pressure, wu.clone()));
            }
        }
        best.map(|b| b.1)
    }
}
