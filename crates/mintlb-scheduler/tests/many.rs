//! Many schedulers that share nothing before one fleet, played together in virtual time from fixed seeds: what is
//! harmless for one and harmful when all do it. Workers start jobs in order, as many at once as they have slots.

use mintlb_scheduler::decide::{FairShares, Fleet, ListPolling, Queues, RetryPolicy, Scheduler};
use mintlb_scheduler::peer_message::PeerMessage;
use mintlb_scheduler::util::{Rng, median};
use mintlb_scheduler::{
    Allocation, Costs, Host, Idempotency, ListEntry, ListState, ListUpdate, Outcome, ProjectType,
    ProjectTypeSet, SlowStart, WorkUnit, Worker,
};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

const WARM_AFTER: f64 = 9.0;
const SPAN: f64 = 3.0;
const SLOTS: usize = 2;
/// Seconds of running, on average.
const RUN: f64 = 0.5;
const PROMISE: f64 = 0.2;
const LIMIT: f64 = 5.0;
const COSTS: Costs = Costs {
    cross_zone: 0.02,
    peer_message: None,
};

#[derive(Default)]
struct Asked {
    sent: Vec<Rc<Allocation>>,
    recalled: Vec<(u64, u16)>,
    deferred: Vec<u64>,
    aborted: Vec<u64>,
    wake: Option<f64>,
    /// It has asked for the list.
    follows: bool,
}

impl Host for Asked {
    fn allocate(&mut self, a: &Allocation) {
        self.sent
            .extend(a.work_unit.upgrade().and_then(|wu| wu.allocation(a.number)));
    }
    fn cancel(&mut self, a: &Allocation) {
        self.recalled
            .push((a.work_unit.upgrade().unwrap().id, a.number));
    }
    fn defer(&mut self, wu: &WorkUnit, _: f64) {
        self.deferred.push(wu.id);
    }
    fn abort(&mut self, wu: &WorkUnit) {
        self.aborted.push(wu.id);
    }
    fn probe(&mut self, _: &Worker) {}
    fn request_worker_list(&mut self) {
        self.follows = true;
    }
    fn set_timer(&mut self, seconds: f64) {
        self.wake = Some(seconds);
    }
    fn log(&mut self, _: &str) {}
}

enum Event {
    Arrives,
    Wakes(usize),
    /// The job with this number ends at its worker.
    Ends(u64),
    /// News of the list for all schedulers.
    Told(Vec<ListEntry>),
    /// Nothing comes back any more from these, and what is sent to them never arrives.
    Silent(Vec<u64>),
    /// New versions take the place of all schedulers; the old ones end what they hold.
    Replaced,
    /// Seven in ten are killed, and start anew with the list that they had.
    Killed,
    /// A dial that nobody took.
    NotUp(usize, u64, u16),
}

struct Job {
    from: usize,
    alloc: Rc<Allocation>,
    wu: Rc<WorkUnit>,
    running: bool,
}

#[derive(Default)]
struct Machine {
    started_at: f64,
    /// What it can do at its start, of what it can do warm.
    cold_from: f64,
    /// It answers this share of its jobs with an error, at once.
    errors: f64,
    silent: bool,
    queue: VecDeque<u64>,
    running: usize,
    /// When it was sent how many seconds of work.
    sent: Vec<(f64, f64)>,
}

impl Machine {
    fn speed(&self, now: f64) -> f64 {
        // Before its new start it is the old one, warm.
        let age = if self.started_at > now {
            1.0
        } else {
            ((now - self.started_at) / WARM_AFTER).min(1.0)
        };
        self.cold_from + (1.0 - self.cold_from) * age
    }
}

/// What became of all work units.
#[derive(Debug, Default)]
struct Ends {
    offered: usize,
    in_time: usize,
    late: usize,
    deferred: usize,
    aborted: usize,
    errors: usize,
    not_up: usize,
    sent: usize,
}

struct World {
    now: f64,
    due: BTreeMap<(u64, u64), Event>,
    row: u64,
    schedulers: Vec<Scheduler>,
    /// How many of them, the last, take what comes.
    taking: usize,
    held: BTreeMap<u64, (usize, Rc<WorkUnit>, f64)>,
    machines: BTreeMap<u64, Machine>,
    jobs: BTreeMap<u64, Job>,
    chance: Rng,
    /// Work units a second, all schedulers together.
    rate: f64,
    until: f64,
    ends: Ends,
}

fn line(id: u64, state: ListState, started_at: f64) -> ListEntry {
    let (zone, cell) = ((id / 100) as u16, id / 10);
    ListEntry {
        id,
        zone,
        cell,
        machine_kind: 0,
        state,
        started_at,
        project_types: ProjectTypeSet::default(),
        pulls_work: false,
    }
}

/// The one with this number, of so many.
fn scheduler(
    number: usize,
    among: usize,
    idempotency: Idempotency,
    follow: ListPolling,
) -> Scheduler {
    scheduler_at(COSTS, number, among, idempotency, follow)
}

fn scheduler_at(
    costs: Costs,
    number: usize,
    among: usize,
    idempotency: Idempotency,
    follow: ListPolling,
) -> Scheduler {
    let types = vec![ProjectType {
        credit: 1.0,
        late_credit: 0.0,
        promised_turnaround: PROMISE,
        turnaround_stretch: 2.0,
        hard_limit: LIMIT,
        idempotency,
        machine_kind: None,
    }];
    let among = among as f64;
    let cold = SlowStart {
        initial_share: 0.3,
        duration: WARM_AFTER,
        overload_multiple: 3.0,
        overload_window: SPAN,
        scheduler_count: among,
    };
    let fleet = Fleet::new(cold, (number % 2) as u16, true, costs, &types);
    let repeats = RetryPolicy {
        parallel_attempts: true,
        may_cancel: true,
        max_allocations: 3,
    };
    let chain = (
        FairShares::new(&[]),
        Queues::new(types, 1.0, 2.0),
        repeats,
        fleet,
    );
    // Seeds near each other begin alike.
    let seed = (number as u64 + 17).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    Scheduler::new(Rng::new(seed), chain, follow)
}

impl World {
    fn new(
        schedulers: usize,
        workers: &[u64],
        rate: f64,
        until: f64,
        idempotency: Idempotency,
    ) -> World {
        World::at_cost(COSTS, schedulers, workers, rate, until, idempotency)
    }

    fn at_cost(
        costs: Costs,
        schedulers: usize,
        workers: &[u64],
        rate: f64,
        until: f64,
        idempotency: Idempotency,
    ) -> World {
        let lines: Vec<ListEntry> = workers
            .iter()
            .map(|w| line(*w, ListState::Ready, 0.0))
            .collect();
        let one = |i: usize| {
            let mut scheduler =
                scheduler_at(costs, i, schedulers, idempotency, ListPolling::default());
            scheduler.on_list_update(&mut Asked::default(), 100.0, ListUpdate::Full(&lines));
            scheduler
        };
        let machines = workers
            .iter()
            .map(|w| {
                (
                    *w,
                    Machine {
                        cold_from: 0.3,
                        ..Machine::default()
                    },
                )
            })
            .collect();
        let mut world = World {
            now: 100.0,
            due: BTreeMap::new(),
            row: 0,
            schedulers: (0..schedulers).map(one).collect(),
            taking: schedulers,
            held: BTreeMap::new(),
            machines,
            jobs: BTreeMap::new(),
            chance: Rng::new(5),
            rate,
            until: 100.0 + until,
            ends: Ends::default(),
        };
        world.at(0.0, Event::Arrives);
        world
    }

    fn at(&mut self, after: f64, event: Event) {
        self.row += 1;
        self.due
            .insert(((self.now + after).to_bits(), self.row), event);
    }

    /// These start anew, and the list tells it this much later.
    fn anew(&mut self, after: f64, workers: &[u64]) {
        let started_at = self.now + after;
        let lines = workers
            .iter()
            .map(|w| line(*w, ListState::Ready, started_at))
            .collect();
        for id in workers {
            let machine = Machine {
                started_at,
                cold_from: 0.3,
                ..Machine::default()
            };
            self.machines.insert(*id, machine);
        }
        self.at(after, Event::Told(lines));
    }

    /// What is sent to these is not taken from then on, and nothing that they hold comes back.
    fn silent(&mut self, after: f64, workers: &[u64]) {
        self.at(after, Event::Silent(workers.to_vec()));
    }

    fn replaced(&mut self) {
        let started_at = |m: &Machine| {
            if m.started_at > self.now {
                0.0
            } else {
                m.started_at
            }
        };
        let lines = self
            .machines
            .iter()
            .map(|(id, m)| line(*id, ListState::Ready, started_at(m)));
        let (lines, old): (Vec<ListEntry>, _) = (lines.collect(), self.schedulers.len());
        for number in old..old + self.taking {
            self.schedulers.push(scheduler(
                number,
                self.taking,
                Idempotency::Idempotent,
                ListPolling::default(),
            ));
            self.call(number, |s, door, now| {
                s.on_list_update(door, now, ListUpdate::Inherited(&lines))
            });
        }
    }

    fn killed(&mut self) {
        let is = |from: usize| from % 10 < 7;
        let dead = self.jobs.extract_if(.., |_, job| is(job.from));
        for (number, job) in dead.collect::<Vec<_>>() {
            let machine = self.machines.get_mut(&job.alloc.worker.entry.id).unwrap();
            machine.queue.retain(|queued| *queued != number);
            machine.running -= usize::from(job.running);
        }
        self.held.retain(|_, held| !is(held.0));
        let lines: Vec<ListEntry> = self
            .machines
            .iter()
            .map(|(id, m)| line(*id, ListState::Ready, m.started_at))
            .collect();
        let among = self.schedulers.len();
        for number in (0..among).filter(|number| is(*number)) {
            let follow = ListPolling::default();
            self.schedulers[number] =
                scheduler(number + among, among, Idempotency::Idempotent, follow);
            self.call(number, |s, door, now| {
                s.on_list_update(door, now, ListUpdate::Cached(&lines))
            });
        }
        let workers: Vec<u64> = self.machines.keys().copied().collect();
        workers.into_iter().for_each(|worker| self.starts(worker));
    }

    fn run(&mut self) -> &Ends {
        while let Some(((at, _), event)) = self.due.pop_first() {
            self.now = f64::from_bits(at);
            match event {
                Event::Arrives => self.arrives(),
                Event::Wakes(from) => self.call(from, |s, door, now| s.on_timer(door, now)),
                Event::Ends(job) => self.ends_at(job),
                Event::Told(lines) => {
                    (0..self.schedulers.len()).for_each(|i| {
                        self.call(i, |s, door, now| {
                            s.on_list_update(door, now, ListUpdate::Changes(&lines))
                        })
                    });
                }
                Event::Silent(workers) => {
                    workers
                        .iter()
                        .for_each(|w| self.machines.get_mut(w).unwrap().silent = true);
                    self.jobs
                        .retain(|_, job| !workers.contains(&job.alloc.worker.entry.id));
                }
                Event::Replaced => self.replaced(),
                Event::Killed => self.killed(),
                Event::NotUp(from, id, number) => {
                    self.ends.not_up += 1;
                    self.back(from, id, number, Outcome::NoConnection);
                }
            }
        }
        &self.ends
    }

    fn arrives(&mut self) {
        if self.now > self.until {
            return;
        }
        let gap = -(1.0 - self.chance.uniform()).ln() / self.rate;
        self.at(gap, Event::Arrives);
        let old = self.schedulers.len() - self.taking;
        let from = old + (self.chance.uniform() * self.taking as f64) as usize;
        let run = -(1.0 - self.chance.uniform()).ln() * RUN;
        self.row += 1;
        let wu = WorkUnit::new(self.row, 0, None, 1.0, self.now, LIMIT);
        self.held.insert(self.row, (from, wu.clone(), run));
        self.ends.offered += 1;
        self.call(from, |s, door, now| s.on_arrival(door, now, &wu));
    }

    fn back(&mut self, from: usize, id: u64, number: u16, outcome: Outcome) {
        let Some(wu) = self.held.get(&id).map(|held| held.1.clone()) else {
            return;
        };
        let alloc = wu.allocation(number).unwrap();
        let done = outcome == Outcome::Completed;
        self.call(from, |s, door, now| {
            s.on_outcome(door, now, &alloc, outcome, done)
        });
    }

    fn call(&mut self, from: usize, act: impl FnOnce(&mut Scheduler, &mut Asked, f64)) {
        let mut asked = Asked::default();
        act(&mut self.schedulers[from], &mut asked, self.now);
        if let Some(after) = asked.wake {
            self.at(after, Event::Wakes(from));
        }
        for alloc in asked.sent {
            self.sends(from, alloc);
        }
        for (id, number) in asked.recalled {
            let mine = |job: &Job| job.wu.id == id && job.alloc.number == number;
            if let Some(job) = self
                .jobs
                .iter()
                .find(|(_, job)| mine(job))
                .map(|(job, _)| *job)
            {
                self.frees(job);
            }
            self.back(from, id, number, Outcome::Recalled);
        }
        self.ends.deferred += asked.deferred.len();
        self.ends.aborted += asked.aborted.len();
    }

    fn sends(&mut self, from: usize, alloc: Rc<Allocation>) {
        let wu = alloc.work_unit.upgrade().unwrap();
        let run = self.held[&wu.id].2;
        let (worker, number) = (alloc.worker.entry.id, alloc.number);
        let machine = self.machines.get_mut(&worker).unwrap();
        self.ends.sent += 1;
        if machine.silent {
            return self.at(0.25, Event::NotUp(from, wu.id, number));
        }
        machine.sent.push((self.now, run));
        self.row += 1;
        machine.queue.push_back(self.row);
        self.jobs.insert(
            self.row,
            Job {
                from,
                alloc,
                wu,
                running: false,
            },
        );
        self.starts(worker);
    }

    fn starts(&mut self, worker: u64) {
        loop {
            let machine = self.machines.get_mut(&worker).unwrap();
            if machine.running >= SLOTS {
                return;
            }
            let Some(number) = machine.queue.pop_front() else {
                return;
            };
            machine.running += 1;
            let job = self.jobs.get_mut(&number).unwrap();
            job.running = true;
            let (from, alloc) = (job.from, job.alloc.clone());
            let fails = self.chance.uniform() < machine.errors;
            let run = self.held[&job.wu.id].2 / machine.speed(self.now);
            self.at(
                if fails { 0.01 } else { run },
                Event::Ends(if fails { number | FAILS } else { number }),
            );
            self.call(from, |s, door, now| s.on_start(door, now, &alloc));
        }
    }

    /// The job takes up nothing any more.
    fn frees(&mut self, number: u64) -> Option<Job> {
        let job = self.jobs.remove(&number)?;
        let worker = job.alloc.worker.entry.id;
        let machine = self.machines.get_mut(&worker).unwrap();
        machine.queue.retain(|queued| *queued != number);
        machine.running -= usize::from(job.running);
        self.starts(worker);
        Some(job)
    }

    fn ends_at(&mut self, number: u64) {
        let (fails, number) = (number & FAILS > 0, number & !FAILS);
        let Some(Job {
            from, wu, alloc, ..
        }) = self.frees(number)
        else {
            return;
        };
        if fails {
            self.ends.errors += 1;
            return self.back(from, wu.id, alloc.number, Outcome::Error);
        }
        let run = self.held[&wu.id].2;
        match self.now <= wu.arrived_at + PROMISE + 2.0 * run {
            true => self.ends.in_time += 1,
            false => self.ends.late += 1,
        }
        self.back(from, wu.id, alloc.number, Outcome::Completed);
    }

    /// The most work that a cold worker was sent in a span, in what it could run in as long a time at its end.
    fn pressure(&self, worker: u64) -> f64 {
        let machine = &self.machines[&worker];
        let within = |to: f64| {
            machine
                .sent
                .iter()
                .filter(move |s| s.0 > to - SPAN && s.0 <= to)
        };
        let cold = machine
            .sent
            .iter()
            .filter(|s| (0.0..WARM_AFTER).contains(&(s.0 - machine.started_at)));
        let most = cold.map(|s| {
            let work: f64 = within(s.0)
                .filter(|s| s.0 >= machine.started_at)
                .map(|s| s.1)
                .sum();
            work / (machine.speed(s.0) * SLOTS as f64 * SPAN)
        });
        most.fold(0.0, f64::max)
    }
}

/// How much of what the term allows a cold worker was sent at the most, in work units and in work of mean length: of
/// N + 2 x root of N + 2 in a span, N being the work units of mean length that the rule allows it then.
fn of_the_term(world: &World, worker: u64) -> (f64, f64) {
    let machine = &world.machines[&worker];
    let cold = machine
        .sent
        .iter()
        .filter(|s| (0.0..WARM_AFTER).contains(&(s.0 - machine.started_at)));
    let parts = cold.map(|(at, _)| {
        let within = machine
            .sent
            .iter()
            .filter(|s| s.0 > at - SPAN && s.0 <= *at && s.0 >= machine.started_at);
        let (units, work) = within.fold((0.0, 0.0), |(units, work), s| {
            (units + 1.0, work + s.1 / RUN)
        });
        let n = 3.0 * machine.speed(*at) * SLOTS as f64 * SPAN / RUN;
        let most = n + 2.0 * n.sqrt() + 2.0;
        (units / most, work / most)
    });
    parts.fold((0.0, 0.0), |(a, b), (units, work)| {
        (f64::max(a, units), f64::max(b, work))
    })
}

const FAILS: u64 = 1 << 62;

#[test]
fn new_workers_are_used_as_far_as_the_rule_lets_them_be() {
    // Six in ten are replaced at once; what is left can run 48 seconds of work a second, and 60 are asked for.
    let workers: Vec<u64> = (1..=30).chain(101..=130).collect();
    let anew: Vec<u64> = workers.iter().copied().filter(|w| w % 5 < 3).collect();
    let mut world = World::new(100, &workers, 120.0, 12.0, Idempotency::Idempotent);
    world.anew(3.0, &anew);
    world.run();
    let sent: usize = anew
        .iter()
        .map(|w| {
            world.machines[w]
                .sent
                .iter()
                .filter(|s| s.0 < 109.0)
                .count()
        })
        .sum();
    let most = anew.iter().map(|w| world.pressure(*w)).fold(0.0, f64::max);
    let Ends {
        offered, in_time, ..
    } = world.ends;
    assert!(in_time * 4 > offered * 3, "{:?}", world.ends);
    assert!(
        sent > 360 && most < 3.0,
        "{sent} sent in 6 s, at the most {most:.2} times what one could run"
    );
}

/// Where schedulers tell one another what they hold, no rule rests on it: here every word is lost.
#[test]
fn with_every_word_lost_the_rules_hold() {
    let workers: Vec<u64> = (1..=30).chain(101..=130).collect();
    let anew: Vec<u64> = workers.iter().copied().filter(|w| w % 5 < 3).collect();
    let free = Costs {
        cross_zone: 0.02,
        peer_message: Some(0.0),
    };
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        let mut world = World::at_cost(free, 100, &workers, 120.0, 12.0, idempotency);
        world.anew(3.0, &anew);
        let Ends {
            offered,
            in_time,
            late,
            deferred,
            aborted,
            ..
        } = *world.run();
        assert_eq!(
            in_time + late + deferred + aborted,
            offered,
            "{:?}",
            world.ends
        );
        let most = anew.iter().map(|w| world.pressure(*w)).fold(0.0, f64::max);
        assert!(
            in_time * 2 > offered && most < 3.0,
            "{most:.2} times what one could run: {:?}",
            world.ends
        );
    }
}

/// The term for the cold, however many schedulers there are: all workers are cold, more work comes than can be run, and
/// one second later seven in ten schedulers are killed and start anew, knowing nothing but the list.
#[test]
fn the_cold_get_no_more_than_the_term_allows() {
    for schedulers in [1, 20, 30, 300, 350, 1100] {
        let workers: Vec<u64> = (1..=10).chain(101..=110).collect();
        let mut world = World::new(schedulers, &workers, 80.0, 10.0, Idempotency::Idempotent);
        world.anew(1.0, &workers);
        world.at(2.0, Event::Killed);
        world.run();
        let most: Vec<(f64, f64)> = workers.iter().map(|w| of_the_term(&world, *w)).collect();
        let most = most
            .iter()
            .fold((0.0, 0.0), |(a, b), m| (f64::max(a, m.0), f64::max(b, m.1)));
        assert!(
            most.0 <= 1.0 && most.1 <= 1.0,
            "{schedulers}: {most:?} of the term"
        );
        // Not bought by leaving the cold idle.
        let Ends { offered, sent, .. } = world.ends;
        assert!(sent * 4 > offered, "{schedulers}: {:?}", world.ends);
    }
}

/// One of 1,100 schedulers before 1,100 workers: each of the workers, by its own id, is there and gets work.
#[test]
fn each_of_many_workers_gets_work() {
    let mut scheduler = scheduler(7, 1100, Idempotency::Idempotent, ListPolling::default());
    let lines: Vec<ListEntry> = (1..=1100)
        .map(|id| line(id, ListState::Ready, 0.0))
        .collect();
    let mut door = Asked::default();
    scheduler.on_list_update(&mut door, 100.0, ListUpdate::Full(&lines));
    assert_eq!(scheduler.worker_counts(), (1100, 0));
    let (mut met, mut held) = (BTreeMap::new(), Vec::new());
    for id in 1..=2200 {
        let (now, wu) = (
            100.0 + id as f64 / 1e4,
            WorkUnit::new(id, 0, None, 1.0, 100.0, LIMIT),
        );
        scheduler.on_arrival(&mut door, now, &wu);
        held.push(wu);
        for alloc in std::mem::take(&mut door.sent) {
            *met.entry(alloc.worker.entry.id).or_insert(0) += 1;
            scheduler.on_start(&mut door, now, &alloc);
        }
    }
    assert_eq!(
        (met.len(), met.values().max()),
        (1100, Some(&2)),
        "two slots each"
    );
}

/// Two processes of one scheduler, the one that ends and its successor, send the cold no more than the one alone would: at
/// the worst moment, with all schedulers replaced while all workers are cold and more work comes than can be run.
#[test]
fn an_old_and_a_new_process_together_are_one_for_the_cold() {
    let workers: Vec<u64> = (1..=30).chain(101..=130).collect();
    let typical = |schedulers: usize, replaced: Option<f64>| {
        let mut world = World::new(schedulers, &workers, 120.0, 12.0, Idempotency::Idempotent);
        world.anew(3.0, &workers);
        replaced
            .into_iter()
            .for_each(|after| world.at(3.0 + after, Event::Replaced));
        world.run();
        median(workers.iter().map(|w| world.pressure(*w)).collect())
    };
    // The fewer they are, the larger each one's part.
    for schedulers in [2, 4] {
        let alone = typical(schedulers, None);
        let with: f64 = [0.5, 1.0, 2.0]
            .map(|after| typical(schedulers, Some(after)) / 3.0)
            .iter()
            .sum();
        assert!(
            alone < 1.5,
            "{schedulers}: {alone:.2} times what one could run"
        );
        assert!(
            with < 1.15 * alone,
            "{schedulers}: {with:.2} and {alone:.2} times what one could run"
        );
    }
}

/// A hundred schedulers tell seldom: half of what was told has ended by the next word, as work runs a third of a second.
#[test]
fn of_what_was_told_some_has_ended() {
    for (slots, sent) in [(2, 1), (3, 0)] {
        let costs = Costs {
            cross_zone: 0.02,
            peer_message: Some(0.0),
        };
        let mut scheduler = scheduler_at(
            costs,
            0,
            100,
            Idempotency::Idempotent,
            ListPolling::default(),
        );
        let (worker, mut door) = (line(1, ListState::Ready, 0.0), Asked::default());
        scheduler.on_list_update(
            &mut door,
            100.0,
            ListUpdate::Full(std::slice::from_ref(&worker)),
        );
        let word = PeerMessage {
            sent_at: 100.0,
            slots_held: vec![(worker.peer_key(), slots)],
        };
        scheduler.on_peer_message(100.0, 1, &word.encode());
        scheduler.on_arrival(
            &mut door,
            100.0,
            &WorkUnit::new(1, 0, None, 1.0, 100.0, LIMIT),
        );
        assert_eq!(door.sent.len(), sent, "{slots} slots told");
    }
}

#[test]
fn work_that_can_earn_nothing_any_more_leaves_the_queues() {
    // 80 seconds of work a second are asked for, and 60 can be run.
    let workers: Vec<u64> = (1..=15).chain(101..=115).collect();
    let mut world = World::new(100, &workers, 160.0, 12.0, Idempotency::Idempotent);
    let Ends {
        offered,
        in_time,
        late,
        ..
    } = *world.run();
    assert!(
        in_time * 2 > offered && late * 4 < offered,
        "{:?}",
        world.ends
    );
}

#[test]
fn each_gets_its_one_answer_when_half_of_the_workers_fall_silent() {
    let workers: Vec<u64> = (1..=30).chain(101..=130).collect();
    let lost: Vec<u64> = (101..=130).collect();
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        let mut world = World::new(100, &workers, 160.0, 12.0, idempotency);
        world.silent(3.0, &lost);
        let Ends {
            offered,
            in_time,
            late,
            deferred,
            aborted,
            not_up,
            ..
        } = *world.run();
        assert_eq!(
            in_time + late + deferred + aborted,
            offered,
            "{:?}",
            world.ends
        );
        assert!(not_up > 0, "{:?}", world.ends);
    }
}

#[test]
fn who_start_together_do_not_ask_together() {
    // Of three seconds in which the list must be asked for; the service is slower the more there are.
    for (schedulers, most_wait, most_share) in [(4, 0.375, 1.0), (100, 3.0, 0.4), (350, 3.0, 0.4)] {
        let asks_after = |number: usize| {
            let follow = ListPolling {
                on_request: true,
                max_interval: 3.0,
                ..ListPolling::default()
            };
            let mut door = Asked::default();
            let mut scheduler = scheduler(number, schedulers, Idempotency::Idempotent, follow);
            scheduler.start(&mut door, 100.0);
            let wait = door.wake.expect("it will ask");
            scheduler.on_timer(&mut door, 100.0 + wait);
            assert!(door.follows);
            wait
        };
        let waits: Vec<f64> = (0..schedulers).map(asks_after).collect();
        let last = waits.iter().fold(0.0, |a: f64, b| a.max(*b));
        let within = |from: f64| {
            waits
                .iter()
                .filter(|w| (from..from + 0.75).contains(*w))
                .count()
        };
        let crowd = waits.iter().map(|w| within(*w)).max().unwrap() as f64 / schedulers as f64;
        assert!(
            last <= most_wait && crowd <= most_share,
            "{schedulers}: {last} {crowd}"
        );
    }
}

#[test]
fn a_list_service_that_only_fails_is_asked_without_end_but_never_in_step() {
    let asks: Vec<Vec<f64>> = (0..100)
        .map(|number| {
            let follow = ListPolling {
                on_request: true,
                max_interval: 3.0,
                ..ListPolling::default()
            };
            let mut scheduler = scheduler(number, 100, Idempotency::Idempotent, follow);
            let mut now = 100.0;
            scheduler.start(&mut Asked::default(), now);
            let mut asked = Vec::new();
            while now < 160.0 {
                now += 0.05;
                let mut door = Asked::default();
                scheduler.on_timer(&mut door, now);
                if door.follows {
                    asked.push(now);
                    // The call hangs for three seconds, and ends with 503.
                    now += 3.0;
                    scheduler.on_list_update(&mut Asked::default(), now, ListUpdate::Failed);
                }
            }
            asked
        })
        .collect();
    let gap = |a: &Vec<f64>| a.windows(2).map(|w| w[1] - w[0]).fold(0.0, f64::max);
    assert!(
        asks.iter().all(|a| a.len() >= 18 && gap(a) <= 3.2),
        "{asks:?}"
    );
    let at = |second: usize| {
        asks.iter()
            .flatten()
            .filter(|a| **a as usize == second)
            .count()
    };
    let most = (100..160).map(at).max().unwrap();
    // Each asks once in three seconds, as what the list has counts as told soon: a third of them on an average.
    assert!(most < 50, "{most} of a hundred ask in one second");
}
