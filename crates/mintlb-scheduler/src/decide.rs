//! All decisions of mintlb. A front makes a `Scheduler`, calls it (`power_on`, `news`, `told`, `arrived`,
//! `started`, `came_back`, `left`, `woke`; to end, `give_up`) and does what it asks for through the `Door`
//! (lib.rs, with the nouns); the clock is each call's `now`. Work passes `Shares`, waits in `Buffers`, passes
//! `Repeats` (may it go there?), leaves by `Fleet` (who has room); an outcome runs back. `press` is the
//! rule: workers with room, most room first; for each the runnable buffer of highest alpha x rate x length.

mod terms;
use crate::peer_message::{self, PeerMessage};
use crate::peers::Peers;
use crate::util::{DecayingMean, Rng, StartDelays, TIMER_TOLERANCE_S, TimerQueue, median};
use crate::worker_index::WorkerIndex;
use crate::{
    Allocation, Costs, DedupScope, Host, Idempotency, ListEntry, ListState, ListUpdate, Queue,
    SlowStart,
};
use crate::{LoadReport, Outcome, OutlierStatus, ProjectType, WorkUnit, Worker};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

enum Due {
    Limit(Weak<WorkUnit>),    // Its client gives up.
    Patience(Weak<WorkUnit>), // It has no hope left where it waits.
    Start(Weak<Allocation>),  // It should have started.
    Ask,
    Tell,
    Round, // The periodic look for room that only time or others bring: trials, cold budgets, words.
}

/// Customers: work beyond a share earns `excess_credit`, and alpha knows it. A share is a customer's part of
/// all quotas, against its part of our own work: how much of a quota is ours can't be seen.
pub struct FairShares {
    parts: Vec<f64>,
    left: Vec<f64>, // What each customer may still send within its part.
}

const AHEAD: f64 = 4.0; // So many work units a customer may be ahead of its part.
impl FairShares {
    pub fn new(quotas: &[f64]) -> FairShares {
        let all = quotas.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        FairShares {
            parts: quotas.iter().map(|q| q / all).collect(),
            left: vec![AHEAD; quotas.len()],
        }
    }

    fn pass(&mut self, wu: &WorkUnit) {
        let Some(c) = wu.customer.filter(|&c| c < self.parts.len()) else {
            return;
        };
        self.left
            .iter_mut()
            .zip(&self.parts)
            .for_each(|(left, part)| *left = (*left + part).min(AHEAD));
        wu.excess.set(self.left[c] < 1.0);
        self.left[c] -= if wu.excess.get() { 0.0 } else { 1.0 };
    }
}

/// The buffers, first come first served: one a project type, and one beside it for work past a share.
pub struct Queues {
    types: Vec<ProjectType>,
    served: Vec<bool>, // Of these new work may be; the others are kept for work that came before.
    excess_credit: f64,
    most_come_back: f64, // How long clients heed advice on when to come back; 0 where they get none.
    queues: Vec<Queue>,
    running: Vec<f64>, // Smoothed running time of each project type over all workers.
}

const LOOK: usize = 8; // So far into a buffer a runnable work unit is looked for: others must not block it.
const UNHEARD: f64 = 1.0 / 16.0; // Until it is heard of, a type is taken to run for this part of its limit.

impl Queues {
    pub fn new(types: Vec<ProjectType>, excess_credit: f64, most_come_back: f64) -> Queues {
        let queues = types
            .iter()
            .flat_map(|_| [Queue::default(), Queue::default()])
            .collect();
        let (running, served) = (
            types.iter().map(Queues::unheard).collect(),
            vec![true; types.len()],
        );
        Queues {
            types,
            served,
            excess_credit,
            most_come_back,
            queues,
            running,
        }
    }

    fn unheard(t: &ProjectType) -> f64 {
        t.promised_turnaround.max(t.hard_limit * UNHEARD)
    }

    /// The weight of a buffer: the credit, 1 where none is set, less past a share.
    fn alpha(&self, queue: usize) -> f64 {
        let credit = self.types[queue / 2].credit;
        let credit = if credit > 0.0 { credit } else { 1.0 };
        if queue % 2 == 1 {
            credit * self.excess_credit
        } else {
            credit
        }
    }

    /// Past this moment waiting work is given up: its promise is over, or the time left is what it takes to
    /// run. Longer patience makes fresh work wait behind stale work, and on crowded days all of it is late.
    fn hope(&self, wu: &WorkUnit) -> f64 {
        let t = &self.types[wu.project_type];
        let takes = self.running[wu.project_type].min(t.hard_limit / 4.0);
        (wu.arrived_at + t.promised_turnaround).min(wu.deadline - takes)
    }

    /// How long work may be kept from its start: a promise that is stretched by the running time leaves
    /// that much more, and the part of the credit that is still earned late makes it less pressing.
    fn bearable(&self, project_type: usize) -> f64 {
        let t = &self.types[project_type];
        let in_time = t.promised_turnaround
            + (t.turnaround_stretch - 1.0).max(0.0) * self.running[project_type];
        in_time / (1.0 - t.late_credit).max(UNHEARD)
    }
}

/// Rule 2: what may be sent again, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryPolicy {
    pub parallel_attempts: bool,
    pub may_cancel: bool,
    pub max_allocations: usize,
}

impl RetryPolicy {
    /// Whether an outcome, or none yet, leaves open that the work was done; one called off leaves it, too.
    fn may_have_run(outcome: Option<Outcome>) -> bool {
        !matches!(
            outcome,
            Some(Outcome::Full | Outcome::NoConnection | Outcome::Moot)
        )
    }

    /// May this work unit go to this worker now?
    fn pass(&self, now: f64, effect: Idempotency, wu: &WorkUnit, worker: &Worker) -> bool {
        let allocs = wu.allocs.borrow();
        let out = |a: &&Rc<Allocation>| a.outcome.get().is_none();
        let there = allocs
            .iter()
            .filter(out)
            .any(|a| std::ptr::eq(&*a.worker, worker));
        let spent = wu.ended.get() || allocs.len() >= self.max_allocations.min(wu.most.get());
        if spent || there || !self.parallel_attempts && allocs.iter().any(|a| out(&a)) {
            return false;
        }
        let Some(first) = allocs
            .iter()
            .find(|a| RetryPolicy::may_have_run(a.outcome.get()))
        else {
            return true;
        };
        let (a, b) = (&first.worker.entry, &worker.entry);
        match effect {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Deduplicated { window, .. } if now >= first.sent_at + window => false,
            Idempotency::Deduplicated {
                scope: DedupScope::All,
                ..
            } => true,
            Idempotency::Deduplicated {
                scope: DedupScope::Zone,
                ..
            } => a.zone == b.zone,
            Idempotency::Deduplicated {
                scope: DedupScope::Cell,
                ..
            } => a.zone == b.zone && a.cell == b.cell,
        }
    }

    /// May it be deferred, that is, is a client's repeat harmless?
    fn harmless(&self, effect: Idempotency, wu: &WorkUnit) -> bool {
        match effect {
            Idempotency::Idempotent
            | Idempotency::Deduplicated {
                scope: DedupScope::All,
                ..
            } => true,
            _ => !wu
                .allocs
                .borrow()
                .iter()
                .any(|a| RetryPolicy::may_have_run(a.outcome.get())),
        }
    }

    /// Calls off, where permitted, all allocations still out but `kept`.
    fn call_off(&self, door: &mut dyn Host, wu: &WorkUnit, kept: Option<&Rc<Allocation>>) {
        let allocs = wu.allocs.borrow();
        let out = allocs
            .iter()
            .filter(|a| self.may_cancel && a.outcome.get().is_none());
        out.filter(|a| kept.is_none_or(|k| !Rc::ptr_eq(a, k)))
            .for_each(|a| door.cancel(a));
    }
}

/// The workers: the list, room, rates, health.
#[derive(Default)]
pub struct Fleet {
    cold: SlowStart,
    zone: u16,
    tells_start: bool,
    far: f64,     // What room in another zone counts.
    peers: Peers, // What schedulers tell one another of what they hold, and whether they do.
    shares: bool,
    told: bool,   // A worker has told of free slots.
    promise: f64, // The shortest promised turnaround.
    workers: WorkerIndex,
    lanes: f64, // The most seen at one worker: ours running at once, or free ones told.
    zones: BTreeMap<u16, StartDelays>, // What is known of a zone, as few workers are met often.
    unstarted: Vec<Rc<Allocation>>, // Ours that have not started, all workers together.
    window: f64, // How many of those there may be.
    failing: DecayingMean, // The share of failures over all.
    trials: Vec<f64>, // By project type: how long a suspect rests; when what was last lost had been sent.
    doubts: Vec<f64>,
}

const LATE: f64 = 0.2; // A late start takes this part of the shortest promise beyond twice the quickest.
const CROSSING: f64 = 32.0; // Room in another zone counts the less, the more points it costs to cross.
const WORDS: f64 = 128.0; // All schedulers' words, each on what changed, in a shortest promise.
const DEAR: f64 = 1.0 / 64.0; // Where words cost more points a work unit, nobody tells anything.
const CLEAR: f64 = 0.9; // Reports are a little noisy: this part of the most free slots told is believed.
const PRIOR: f64 = 4.0; // Rates start as if so many work units had been heard at the usual speed.
const MEMORY: f64 = 16.0; // So many work units of a worker, or usual running times, are remembered.
const MANY: f64 = 16.0; // From so many schedulers on, their questions for the list spread over more time.
const SLOWLY: f64 = 1.0 / 32.0; // What is learned over many workers moves by this part a work unit.
const FAILED: f64 = 0.25; // One outcome's weight in a worker's share of failures.
const SUSPECT: f64 = 0.2; // So far over the median makes a suspect.
const TRIAL: f64 = 12.0; // A failed suspect's next trial waits so many shortest promises.
const LANES: f64 = 2.0; // Any worker is taken to have so many.
const PROMISE: [f64; 2] = [0.01, 10.0]; // Within these seconds it is believed: the rounds hang on it.
const COLD: f64 = 1.0 / 3.0; // This part of what rule 4 allows is used, as work and chance are not even.
const SPREAD: f64 = 0.5; // Where all see the same, chance moves a worker's rank by up to this part.
const WINDOW: f64 = 8.0; // The window of unstarted work, at the most.

impl Fleet {
    pub fn new(
        cold: SlowStart,
        zone: u16,
        tells_start: bool,
        costs: Costs,
        types: &[ProjectType],
    ) -> Fleet {
        let (lanes, window, doubts) = (LANES, WINDOW, vec![f64::MIN; types.len()]);
        let mut fleet = Fleet {
            cold,
            zone,
            tells_start,
            doubts,
            lanes,
            window,
            ..Fleet::default()
        };
        fleet.cost(costs);
        fleet.measure(types, &vec![true; types.len()]);
        fleet
    }

    fn cost(&mut self, costs: Costs) {
        // Each work unit is told of twice, when it is sent and when it has ended.
        let words = (self.cold.scheduler_count - 1.0) * 2.0 * peer_message::ENTRY_BYTES as f64
            / peer_message::MAX_BYTES as f64;
        self.shares = costs
            .peer_message
            .is_some_and(|points| points * words < DEAR);
        self.far = 1.0 / (1.0 + CROSSING * costs.cross_zone);
        self.peers.allow(self.shares, &self.workers);
    }

    /// The times that hang on the project types.
    fn measure(&mut self, types: &[ProjectType], served: &[bool]) {
        let promises = types
            .iter()
            .zip(served)
            .filter(|(_, s)| **s)
            .map(|(t, _)| t.promised_turnaround);
        self.promise = promises.fold(PROMISE[1], f64::min).max(PROMISE[0]);
        self.peers.longest = types.iter().map(|t| t.hard_limit).fold(0.0, f64::max);
        // A trial that fails must not often cost work that can't be repeated.
        let dear = |t: &ProjectType| t.idempotency == Idempotency::NonIdempotent;
        let rests = types.iter().map(|t| {
            if dear(t) {
                t.hard_limit
            } else {
                TRIAL * self.promise
            }
        });
        self.trials = rests.collect();
    }

    /// One line of the list. A worker with a new start time is a new one: old knowledge is void, and what
    /// the old process held counts no more. `debt` spreads the schedulers' first sends to a cold worker.
    fn listed(&mut self, now: f64, line: &ListEntry, types: usize, debt: f64, inherited: bool) {
        if let Some(w) = self.workers.get(line.id).cloned() {
            let same = line.state == ListState::Ready && w.entry.started_at == line.started_at;
            if same || line.state == ListState::Draining {
                return w.state.set(line.state);
            }
            self.workers.strike(&w);
        }
        if line.state != ListState::Gone {
            let allowance = self
                .workers
                .allowance()
                .with_prior(self.lanes, f64::MIN_POSITIVE);
            // What the one before this process may have saved up and sent is unknown, so it counts as sent.
            let spent = if inherited {
                self.pace(now, line) * self.cold.overload_window
            } else {
                0.0
            };
            self.workers.add(Rc::new(Worker::new(
                line.clone(),
                allowance,
                types,
                (-debt - spent, now),
            )));
        }
    }

    /// The time to start that is expected there: what was last heard of the worker fades to what is usual
    /// in its zone, and that to none, or one long wait would keep work away for good.
    fn delay_at(&self, now: f64, w: &Worker, mean_run: f64) -> f64 {
        if self.shares {
            let over = (self.held(w, mean_run) + 1.0 - self.lanes).max(0.0) / self.lanes;
            return over * mean_run * w.pace.borrow().with_prior(1.0, PRIOR);
        }
        let fades = |over: f64, since: f64| 1.0 / (1.0 + (now - since) / over);
        // The budgets keep a cold worker from being filled, so what is usual for the others is not for it.
        let zone = self
            .zones
            .get(&w.entry.zone)
            .filter(|_| !self.cold.is_cold(now, &w.entry));
        let usual = zone.map_or(0.0, |z| {
            z.mean.with_prior(0.0, 0.0) * fades(MEMORY * mean_run, z.updated_at)
        });
        let (delay, at) = w.delay.get();
        usual + (delay - usual) * fades(mean_run, at)
    }

    /// Between two words of ours to the others.
    fn apart(&self) -> f64 {
        self.promise * self.cold.scheduler_count / WORDS
    }

    /// Our slots there, and the others' where they tell; some of what they told has ended since.
    fn held(&self, w: &Worker, mean_run: f64) -> f64 {
        w.slots_out.get() + w.others.get() / (1.0 + self.apart() / mean_run)
    }

    /// How much of our own we may have there now; zero or less is no room.
    fn room(&self, now: f64, w: &Worker, mean_run: f64) -> f64 {
        // Work of ours that has not started there says that its slots are taken, by others or for good.
        let kept = self.tells_start && w.unstarted.get() > 0;
        let spent = self.cold.is_cold(now, &w.entry) && self.budget(now, w) <= 0.0;
        if w.state.get() != ListState::Ready || kept || spent {
            return 0.0;
        }
        // Who fetches its work has room for what it asks for, whatever else is known of it.
        if let Some(asks) = w.asks.get() {
            return asks.max(0) as f64;
        }
        let most = if self.shares {
            self.lanes
        } else {
            w.allowance.get()
        };
        match self.held(w, mean_run) {
            0.0 => most.max(1.0),
            held => (most - held).round(),
        }
    }

    /// Rule 4: our part of what a cold worker may be sent, in slots x usual running time, at a third of the
    /// rate that the rule allows for the least it can do now. Each send spends it, also one turned away.
    fn budget(&self, now: f64, w: &Worker) -> f64 {
        let (left, at) = w.budget.get();
        let rate = self.pace(now, &w.entry);
        let left = (left + rate * (now - at)).min(rate * self.cold.overload_window / 2.0);
        w.budget.set((left, now));
        left
    }

    /// What of that a second brings.
    fn pace(&self, now: f64, line: &ListEntry) -> f64 {
        let share = self.cold.least_share(now, line);
        self.cold.overload_multiple * share * self.lanes / self.cold.scheduler_count.max(1.0) * COLD
    }

    /// Many schedulers that each leave work to wait at filled workers make long queues: the window does for
    /// the fleet what an allowance does for a worker. What is kept for long must not stop all else.
    fn open(&self, now: f64, buffers: &Queues) -> bool {
        let bearable = |wu: Rc<WorkUnit>| buffers.bearable(wu.project_type);
        let queued = |a: &&Rc<Allocation>| {
            a.work_unit
                .upgrade()
                .is_some_and(|wu| now - a.sent_at < bearable(wu))
        };
        let queued = self.unstarted.iter().filter(queued).count() as f64;
        !self.tells_start || queued < self.window
    }

    /// A late start closes the window by a quarter, one in time opens it by as much, where it is used.
    fn steer(&mut self, late: bool, cost: f64) {
        let opens = if self.unstarted.len() as f64 + 1.0 > self.window / 2.0 {
            1.25
        } else {
            1.0
        };
        self.window =
            (self.window * if late { 1.0 - cost / 4.0 } else { opens }).clamp(1.0, WINDOW);
    }

    fn send(&mut self, now: f64, alloc: &Rc<Allocation>, wu: &WorkUnit, usual: f64) {
        let w = &alloc.worker;
        wu.allocs.borrow_mut().push(alloc.clone());
        self.unstarted.push(alloc.clone());
        self.workers.meet(w);
        w.standing.borrow_mut()[wu.project_type].next_trial = now + self.trials[wu.project_type];
        w.took(wu.slots, usual);
        self.peers.changed(w, self.shares);
    }

    /// A start later than this says that the worker's slots were taken.
    fn late(&self, w: &Worker) -> f64 {
        self.zones.get(&w.entry.zone).map_or(0.0, |z| z.min * 2.0) + LATE * self.promise
    }

    /// Exclusive work that does not start in bearable time tells of a worker, or of a connection, that
    /// swallows it. It must not keep others from there for as long as its client waits.
    fn lose(&mut self, door: &mut dyn Host, now: f64, alloc: &Allocation, wu: &WorkUnit) {
        alloc.lose(wu.slots);
        self.peers.changed(&alloc.worker, self.shares);
        self.doubts[wu.project_type] = alloc.sent_at;
        self.unstarted.retain(|a| !std::ptr::eq(&**a, alloc));
        self.judge(door, now, &alloc.worker, wu.project_type, 1.0);
    }

    fn started(&mut self, now: f64, alloc: &Allocation, slots: f64) {
        alloc.start(now, slots);
        let w = &alloc.worker;
        let delay = now - alloc.sent_at;
        w.heard_start(now, delay);
        if delay > self.late(w) {
            w.halve();
        }
        self.zones
            .entry(w.entry.zone)
            .or_insert(StartDelays::new(delay))
            .add(now, delay, 1.0 - SLOWLY);
        self.unstarted.retain(|a| !std::ptr::eq(&**a, alloc));
        if w.asks.get().is_none() {
            self.saw(w, w.running.get());
        }
    }

    fn saw(&mut self, w: &Worker, lanes: f64) {
        w.lanes.set(w.lanes.get().max(lanes));
        self.lanes = self.lanes.max(lanes);
    }

    /// Nobody is left of those that this was learned of. How often work fails is learned of the work.
    fn forget(&mut self) {
        self.zones.clear();
        self.window = WINDOW;
    }

    /// Frees the slot, and learns: the rate from completed work, the allowance, the share of failures.
    fn back(
        &mut self,
        door: &mut dyn Host,
        now: f64,
        alloc: &Allocation,
        wu: &WorkUnit,
        outcome: Outcome,
    ) {
        let w = &alloc.worker;
        alloc.free(wu.slots);
        self.peers.changed(&alloc.worker, self.shares);
        if let (
            LoadReport {
                free_slots: Some(free),
            },
            _,
        ) = w.report.get()
        {
            self.told = true;
            self.saw(w, (free * CLEAR).round());
        }
        self.unstarted.retain(|a| !std::ptr::eq(&**a, alloc));
        let failed = match outcome {
            Outcome::Completed => 0.0,
            Outcome::Error | Outcome::NoConnection | Outcome::Dropped => 1.0,
            // Taken and never started, it tells of a silent worker; a long run tells nothing.
            Outcome::TimedOut if alloc.started.get().is_none() && !alloc.lost.get() => 1.0,
            Outcome::Full => return w.halve(),
            Outcome::TimedOut | Outcome::Recalled | Outcome::Moot => return,
        };
        if outcome == Outcome::Completed {
            let ceiling = if self.tells_start {
                self.lanes
            } else {
                4.0 * LANES
            };
            w.allowance.set((w.allowance.get() + 1.0).min(ceiling));
        }
        self.judge(door, now, w, wu.project_type, failed);
    }

    /// Whose share of a type's failures is far over the fleet's median is a suspect, as quick failures draw
    /// work: sent single trials, apart while they fail. Where all fail now and then, one tells less.
    fn judge(&mut self, door: &mut dyn Host, now: f64, w: &Worker, i: usize, failed: f64) {
        let bar = SUSPECT + self.failing.with_prior(0.0, 1.0 / SLOWLY);
        self.failing.add(failed, 1.0 - SLOWLY);
        let mut standing = w.standing.borrow()[i];
        standing.failures += (failed - standing.failures) * FAILED;
        w.standing.borrow_mut()[i] = standing;
        let all = self
            .workers
            .ready()
            .map(|w| w.standing.borrow()[i].failures)
            .chain([standing.failures]);
        let fails = standing.failures > SUSPECT / 2.0;
        let over = standing.failures - if fails { median(all.collect()) } else { 0.0 };
        let was = standing.suspect;
        standing.suspect = over > bar || was && over > SUSPECT / 2.0;
        if was != standing.suspect {
            door.log(&w.judged(was, i, over));
        }
        standing.next_trial = now + failed * self.trials[i];
        w.standing.borrow_mut()[i] = standing;
    }
}

/// Follows the list: asks at start with spread, and again after a failure with spread and growing waits.
#[derive(Default)]
pub struct ListPolling {
    pub on_request: bool,
    pub max_interval: f64, // After one question the next follows by then, however the first ends.
    pub failures: i32,
    pub last_request: Option<f64>, // The last question; none while one is due.
}

pub struct Scheduler {
    chance: Rng,
    agenda: TimerQueue<Due>,
    shares: FairShares,
    buffers: Queues,
    repeats: RetryPolicy,
    fleet: Fleet,
    follow: ListPolling,
    looking: bool,
    telling: bool,
}

impl Scheduler {
    pub fn new(
        chance: Rng,
        chain: (FairShares, Queues, RetryPolicy, Fleet),
        follow: ListPolling,
    ) -> Scheduler {
        let ((shares, buffers, repeats, fleet), agenda) = (chain, TimerQueue::default());
        Scheduler {
            chance,
            agenda,
            shares,
            buffers,
            repeats,
            fleet,
            follow,
            looking: false,
            telling: false,
        }
    }

    pub fn start(&mut self, door: &mut dyn Host, now: f64) {
        self.follow.last_request = Some(now);
        self.ask_later(now);
        self.settle(door, now);
    }

    /// One question at a time, however many failures are told.
    fn ask_later(&mut self, now: f64) {
        let Some(asked) = self
            .follow
            .last_request
            .take()
            .filter(|_| self.follow.on_request)
        else {
            return;
        };
        // Who starts together would call together; but all that the list has to tell counts as told soon.
        let many = (self.fleet.cold.scheduler_count / MANY).max(1.0)
            * 2f64.powi(self.follow.failures.max(0))
            / 8.0;
        let within = self.follow.max_interval;
        let most = if self.follow.failures < 0 {
            within / 6.0
        } else {
            (asked + within - now).max(0.0)
        };
        self.agenda.add(
            now + most.min(within * many) * self.chance.uniform(),
            Due::Ask,
        );
    }

    pub fn on_list_update(&mut self, door: &mut dyn Host, now: f64, news: ListUpdate) {
        let Some((lines, full)) = news.entries() else {
            (self.follow.failures == 1)
                .then(|| door.log("the list is out of reach: the last one holds"));
            self.ask_later(now);
            self.follow.failures += 1;
            return self.settle(door, now);
        };
        let live = matches!(news, ListUpdate::Full(_) | ListUpdate::Changes(_)); // Only these are a sign of the list.
        self.follow.failures = if live { -1 } else { self.follow.failures };
        let gone = if full {
            self.fleet.workers.missing(lines)
        } else {
            Vec::new()
        };
        if !gone.is_empty() && gone.len() == self.fleet.workers.all().count() {
            self.fleet.forget();
        }
        for line in gone.iter().chain(lines) {
            let debt = self.chance.uniform() * self.buffers.mean_run();
            self.fleet.listed(
                now,
                line,
                self.buffers.types.len(),
                debt,
                matches!(news, ListUpdate::Inherited(_)),
            );
        }
        // What was seen of the room of those that are gone may not hold for those that are left.
        self.fleet.lanes = self
            .fleet
            .workers
            .all()
            .map(|w| w.lanes.get())
            .fold(LANES, f64::max);
        self.fleet.told = self.fleet.workers.all().any(|w| w.report.get().1 > 0.0);
        if self.fleet.workers.ready().next().is_none() {
            door.log("the list has no ready worker: work is deferred once its patience is out");
        }
        self.settle(door, now);
    }

    pub fn on_arrival(&mut self, door: &mut dyn Host, now: f64, wu: &Rc<WorkUnit>) {
        self.shares.pass(wu);
        wu.most.set(self.repeats.max_allocations);
        // A worker that was never sent anything is one of many to draw from: work that is for it must find it.
        if let Some(preferred) = door.preferred_worker(wu) {
            self.fleet.workers.meet_by_id(preferred);
        }
        self.buffers.of(wu).put(wu, false);
        self.agenda.add(wu.deadline, Due::Limit(Rc::downgrade(wu)));
        self.agenda
            .add(self.buffers.hope(wu), Due::Patience(Rc::downgrade(wu)));
        self.settle(door, now);
    }

    /// A job has started. Of allocations side by side the first to start is kept.
    pub fn on_start(&mut self, door: &mut dyn Host, now: f64, alloc: &Rc<Allocation>) {
        // A note that comes again, or after the outcome, tells nothing of what was sent since.
        let news = alloc.outcome.get().is_none() && alloc.started.get().is_none();
        if let Some(wu) = alloc.work_unit.upgrade().filter(|_| news) {
            alloc.worker.standing.borrow_mut()[wu.project_type].started = now;
            self.fleet.started(now, alloc, wu.slots);
            let late = now - alloc.sent_at > self.buffers.bearable(wu.project_type);
            self.fleet
                .steer(late, 1.0 - self.buffers.types[wu.project_type].late_credit);
            self.buffers.of(&wu).take_out(&wu);
            let allocs = wu.allocs.borrow();
            // The other, if it runs: two that start in one batch must not call each other off.
            let runs = |a: &&Rc<Allocation>| a.outcome.get().is_none() && a.started.get().is_some();
            let first = allocs
                .iter()
                .filter(runs)
                .find(|a| !Rc::ptr_eq(a, alloc))
                .unwrap_or(alloc);
            self.repeats.call_off(door, &wu, Some(first));
        }
        self.settle(door, now);
    }

    pub fn on_outcome(
        &mut self,
        door: &mut dyn Host,
        now: f64,
        alloc: &Rc<Allocation>,
        outcome: Outcome,
        ended: bool,
    ) {
        let Some(wu) = alloc
            .work_unit
            .upgrade()
            .filter(|_| alloc.outcome.get().is_none())
        else {
            return;
        };
        alloc.outcome.set(Some(outcome));
        self.fleet.back(door, now, alloc, &wu, outcome);
        if outcome == Outcome::Completed {
            let ran = alloc.ran(now);
            let usual = &mut self.buffers.running[wu.project_type];
            *usual += (ran - *usual) * SLOWLY;
            alloc.worker.heard.borrow_mut()[wu.project_type].add(ran, 1.0 - 1.0 / MEMORY);
            alloc
                .worker
                .pace
                .borrow_mut()
                .add(ran / *usual, 1.0 - SLOWLY);
            alloc.worker.heard_at.set(now);
        }
        if ended {
            self.close(door, &wu);
        } else if !wu.ended.get() && !wu.is_out() {
            self.buffers.of(&wu).take_out(&wu);
            self.again(door, now, &wu, outcome);
        }
        self.settle(door, now);
    }

    /// What becomes of a work unit that has come back undone: first in its buffer, or its final answer.
    fn again(&mut self, door: &mut dyn Host, now: f64, wu: &Rc<WorkUnit>, outcome: Outcome) {
        let effect = self.buffers.types[wu.project_type].idempotency;
        let over = outcome == Outcome::Moot || now >= self.buffers.hope(wu);
        if over
            || !self
                .fleet
                .workers
                .ready()
                .any(|w| self.repeats.pass(now, effect, wu, w))
        {
            self.give_up(door, now, wu);
        } else {
            self.buffers.of(wu).put(wu, true);
        }
    }

    /// The final answer for work that waits or has come back, given at once.
    pub fn give_up(&mut self, door: &mut dyn Host, now: f64, wu: &Rc<WorkUnit>) {
        if self
            .repeats
            .harmless(self.buffers.types[wu.project_type].idempotency, wu)
            && now < wu.deadline
        {
            let promise = self.buffers.types[wu.project_type].promised_turnaround;
            door.defer(wu, (promise / 2.0).min(self.buffers.most_come_back));
        } else {
            door.abort(wu);
        }
        self.close(door, wu);
    }

    /// Nothing more is sent for it; what is still out is called off.
    fn close(&mut self, door: &mut dyn Host, wu: &Rc<WorkUnit>) {
        self.buffers.of(wu).take_out(wu);
        if !wu.ended.replace(true) {
            self.repeats.call_off(door, wu, None);
        }
    }

    /// Another scheduler has told something. Work that waits is looked at again soon, not at each word.
    pub fn on_peer_message(&mut self, now: f64, from: usize, bytes: &[u8]) {
        let ours = self.fleet.shares && (from as f64) < self.fleet.cold.scheduler_count;
        if let Some(word) = PeerMessage::decode(now, bytes).filter(|_| ours) {
            self.fleet
                .peers
                .hear(now, from, &word, &mut self.fleet.workers);
        }
    }

    /// The client has left, or was answered by the front itself.
    pub fn on_client_gone(&mut self, door: &mut dyn Host, now: f64, wu: &Rc<WorkUnit>) {
        self.close(door, wu);
        self.settle(door, now);
    }

    pub fn on_timer(&mut self, door: &mut dyn Host, now: f64) {
        while let Some(due) = self.agenda.pop_due(now) {
            match due {
                Due::Limit(wu) => match wu.upgrade() {
                    Some(wu) if !wu.ended.get() => self.give_up(door, now, &wu),
                    _ => {}
                },
                Due::Patience(wu) => wu
                    .upgrade()
                    .iter()
                    .for_each(|wu| self.out_of_patience(door, now, wu)),
                Due::Start(alloc) => self.unstarted(door, now, alloc),
                Due::Ask => {
                    self.follow.last_request = Some(now);
                    door.request_worker_list();
                }
                Due::Round => self.looking = false,
                Due::Tell => {
                    self.telling = false;
                    self.fleet
                        .peers
                        .word(now)
                        .iter()
                        .for_each(|word| door.broadcast(&word.encode()));
                }
            }
        }
        self.settle(door, now);
    }

    /// Waiting work is given up. Work that has not started while it can earn its credit leaves the workers'
    /// queues where a repeat is harmless: left by hundreds of schedulers it makes all behind it late, too.
    fn out_of_patience(&mut self, door: &mut dyn Host, now: f64, wu: &Rc<WorkUnit>) {
        let (t, bears) = (
            &self.buffers.types[wu.project_type],
            self.buffers.bearable(wu.project_type),
        );
        if wu.waiting.get() && !wu.is_out() {
            return self.give_up(door, now, wu);
        }
        let goes = self.repeats.may_cancel && self.fleet.tells_start && t.late_credit == 0.0;
        let runs = wu
            .allocs
            .borrow()
            .iter()
            .any(|a| a.outcome.get().is_none() && a.started.get().is_some());
        if goes && !runs && !wu.ended.get() {
            if now < wu.arrived_at + bears - TIMER_TOLERANCE_S {
                self.agenda
                    .add(wu.arrived_at + bears, Due::Patience(Rc::downgrade(wu)));
            } else if self.repeats.harmless(t.idempotency, wu) {
                return self.give_up(door, now, wu);
            }
        }
        self.buffers.of(wu).take_out(wu);
    }

    /// Work kept waiting at a worker that others have filled, or that has gone silent, is taken for lost if
    /// exclusive, else buffered for a second allocation, if the time left exceeds what that takes.
    fn unstarted(&mut self, door: &mut dyn Host, now: f64, alloc: Weak<Allocation>) {
        let kept = alloc
            .upgrade()
            .filter(|a| a.started.get().is_none() && a.outcome.get().is_none());
        let Some((alloc, wu)) = kept.and_then(|a| Some((a.clone(), a.work_unit.upgrade()?))) else {
            return;
        };
        let (i, open) = (wu.project_type, !wu.ended.get() && !wu.waiting.get());
        if self.buffers.types[i].idempotency == Idempotency::NonIdempotent {
            self.fleet.lose(door, now, &alloc, &wu);
        } else if open && !self.fleet.told && now + self.buffers.running[i] < wu.deadline {
            self.buffers.of(&wu).put(&wu, true);
        }
    }

    /// After each arrival and outcome: the rule, then the one timer.
    fn settle(&mut self, door: &mut dyn Host, now: f64) {
        if self.buffers.any() {
            self.press(door, now);
            if self.buffers.any() && !self.looking {
                self.looking = true;
                let soon = if self.fleet.shares {
                    self.fleet.apart()
                } else {
                    self.fleet.promise / 2.0
                };
                self.agenda.add(now + soon, Due::Round);
            }
        }
        if !self.telling && self.fleet.peers.has_news() {
            self.telling = true;
            self.agenda.add(now + self.fleet.apart(), Due::Tell);
        }
        let v = |d: &_| matches!(d, Due::Limit(w) | Due::Patience(w) if w.strong_count() == 0);
        self.agenda.arm(door, now, v);
    }

    /// The rule. Workers with room, most room first, where room counts for what it can do: over the time to
    /// start and run there. Each gets one work unit at a time, from the runnable buffer of highest pressure.
    fn press(&mut self, door: &mut dyn Host, now: f64) {
        let mean_run = self.buffers.mean_run();
        let workers = self.fleet.workers.drawn(&mut self.chance, |w| {
            self.fleet.room(now, w, mean_run) > 0.0
        });
        // What the fleet's queues say does not hold for a cold worker: all schedulers' budgets bound its own.
        let (mut ready, mut open) = (Vec::new(), self.fleet.open(now, &self.buffers));
        for (i, w) in workers.iter().enumerate() {
            let mut room = self.fleet.room(now, w, mean_run);
            if self.fleet.shares {
                // All see the same: the emptiest and fastest worker would get the work of all.
                room = room.min(1.0) * (1.0 + SPREAD * (2.0 * self.chance.uniform() - 1.0));
            }
            room *= if w.entry.zone == self.fleet.zone {
                1.0
            } else {
                self.fleet.far
            };
            if room > 0.0 && (open || self.fleet.cold.is_cold(now, &w.entry)) {
                let takes = w.pace.borrow().with_prior(1.0, PRIOR) * mean_run;
                let speed = room / (self.fleet.delay_at(now, w, mean_run) + takes);
                ready.push((speed.to_bits(), self.chance.uniform().to_bits(), i));
            }
        }
        ready.sort_unstable_by(|a, b| b.cmp(a));
        for proven in [true, false] {
            ready.retain(|&(_, _, i)| {
                let may =
                    self.buffers.any() && (open || self.fleet.cold.is_cold(now, &workers[i].entry));
                let sent = may && self.offer(door, now, &workers[i], proven);
                open &= !sent || self.fleet.open(now, &self.buffers);
                !sent
            });
        }
    }

    fn offer(&mut self, door: &mut dyn Host, now: f64, w: &Rc<Worker>, proven: bool) -> bool {
        let Some(wu) = self.pick(door, now, w, proven) else {
            return false;
        };
        self.buffers.of(&wu).take_out(&wu);
        let i = wu.project_type;
        let alloc = Allocation::new(&wu, w, now);
        self.fleet.send(now, &alloc, &wu, self.buffers.running[i]);
        door.allocate(&alloc);
        // Work that may repeat is moved away, so only such that may not can hold up a worker for good.
        if self.repeats.parallel_attempts && self.repeats.may_cancel && self.fleet.tells_start {
            let exclusive = self.buffers.types[i].idempotency == Idempotency::NonIdempotent;
            let within = if exclusive {
                self.buffers.bearable(i)
            } else {
                self.fleet.late(w)
            };
            self.agenda
                .add(now + within, Due::Start(Rc::downgrade(&alloc)));
        }
        true
    }

    /// The work unit of the runnable buffer with the highest alpha x rate x length for this worker.
    fn pick(&self, door: &dyn Host, now: f64, w: &Worker, proven: bool) -> Option<Rc<WorkUnit>> {
        let mean_run = self.buffers.mean_run();
        let free = if w.asks.get().is_some() {
            f64::MAX
        } else {
            self.fleet.room(now, w, mean_run).max(1.0)
        };
        let fits = |wu: &WorkUnit| self.fleet.held(w, mean_run) == 0.0 || wu.slots <= free;
        let may = |wu: &WorkUnit| door.permits(wu, w);
        let standing = w.standing.borrow();
        let delay = self.fleet.delay_at(now, w, mean_run);
        let mut best: Option<(f64, &Rc<WorkUnit>)> = None;
        for (i, queue) in self
            .buffers
            .queues
            .iter()
            .enumerate()
            .filter(|(_, q)| q.len() > 0)
        {
            let t = &self.buffers.types[i / 2];
            // The rate is the inverse of the smoothed running time, unheard at the mean.
            let usual = self.buffers.running[i / 2] * w.pace.borrow().with_prior(1.0, PRIOR);
            let takes = w.heard.borrow()[i / 2]
                .with_prior(usual, PRIOR)
                .max(f64::MIN_POSITIVE);
            let pressure = self.buffers.alpha(i) * queue.len() as f64 / takes;
            let unfit = !w.entry.project_types.contains(i / 2)
                || t.machine_kind.is_some_and(|k| k != w.entry.machine_kind);
            // No work goes where its start or the pace heard there, which fades, make it late.
            let run = self.buffers.running[i / 2];
            let bears = t.promised_turnaround + (t.turnaround_stretch - 1.0).max(0.0) * run / 2.0;
            let fade = 1.0 + (now - w.heard_at.get()) / mean_run;
            let outlasts = delay + ((takes - run) / fade).max(0.0) > bears;
            let OutlierStatus {
                suspect,
                next_trial,
                started,
                ..
            } = standing[i / 2];
            let exclusive = t.idempotency == Idempotency::NonIdempotent;
            // Exclusive work keeps from where others fail; after a loss it goes to where some has started.
            let served = |j: usize| j != i / 2 && self.buffers.served[j];
            let spared = exclusive && (0..).zip(&*standing).any(|(j, s)| s.suspect && served(j));
            let doubt = self.fleet.doubts[i / 2];
            let unproven = exclusive && started < doubt && now < doubt + self.fleet.trials[i / 2];
            let not_here = unfit || outlasts || spared || suspect && now < next_trial;
            let first = suspect || proven != unproven;
            if first && !not_here && best.is_none_or(|b| pressure > b.0) {
                let runnable =
                    |wu: &&Rc<WorkUnit>| fits(wu) && self.repeats.pass(now, t.idempotency, wu, w);
                best = queue
                    .first(LOOK, may)
                    .find(runnable)
                    .map(|wu| (pressure, wu))
                    .or(best);
            }
        }
        best.map(|b| b.1.clone())
    }
}
