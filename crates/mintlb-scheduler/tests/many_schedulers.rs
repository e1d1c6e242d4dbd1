//! Many schedulers in front of one fleet, simulated in virtual time from fixed seeds. They share nothing (except in
//! tests with peer messages), so that decisions which are harmless for one may be harmful when all take them. Workers
//! start jobs in order, as many at once as they have slots.

use mintlb_scheduler::decide::{FairShares, Fleet, ListPolling, Queues, RetryPolicy, Scheduler};
use mintlb_scheduler::peer_message::PeerMessage;
use mintlb_scheduler::util::{Rng, median};
use mintlb_scheduler::{
    Attempt, Costs, Host, Idempotency, ListEntry, ListState, ListUpdate, Outcome, ProjectType,
    ProjectTypeSet, SlowStart, WorkUnit, Worker,
};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

const SLOW_START_S: f64 = 9.0;
const OVERLOAD_WINDOW_S: f64 = 3.0;
const SLOTS: usize = 2;
const MEAN_RUN_TIME_S: f64 = 0.5;
const TURNAROUND_S: f64 = 0.2;
const TIME_BUDGET_S: f64 = 5.0;
const COSTS: Costs = Costs {
    cross_zone: 0.02,
    peer_message: None,
};

#[derive(Default)]
struct Requested {
    sent: Vec<Rc<Attempt>>,
    cancelled: Vec<(u64, u16)>,
    deferred: Vec<u64>,
    aborted: Vec<u64>,
    timer: Option<f64>,
    list_requested: bool,
}

impl Host for Requested {
    fn send_attempt(&mut self, a: &Attempt) {
        self.sent
            .extend(a.work_unit.upgrade().and_then(|wu| wu.attempt(a.number)));
    }
    fn cancel(&mut self, a: &Attempt) {
        self.cancelled
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
        self.list_requested = true;
    }
    fn set_timer(&mut self, seconds: f64) {
        self.timer = Some(seconds);
    }
    fn log(&mut self, _: &str) {}
}

enum Event {
    Arrival,
    Timer(usize),
    /// The job with this number ends at its worker, with a failure if `FAILURE_FLAG` is set.
    JobEnd(u64),
    /// All schedulers get a change of the list.
    ListChange(Vec<ListEntry>),
    /// These workers take nothing any more, and their jobs never end.
    WorkersLost(Vec<u64>),
    /// All schedulers are replaced; the old ones finish the work that they have.
    SchedulersReplaced,
    /// Seven in ten schedulers are killed, and restart with the cached list.
    SchedulersKilled,
    /// A connection of this scheduler for this attempt was not accepted.
    ConnectFailed(usize, u64, u16),
}

struct Job {
    from: usize,
    attempt: Rc<Attempt>,
    wu: Rc<WorkUnit>,
    running: bool,
}

#[derive(Default)]
struct SimulatedWorker {
    started_at: f64,
    /// Its speed at its start, as a share of its full speed.
    initial_share: f64,
    /// Share of its jobs that fail at once.
    errors: f64,
    silent: bool,
    queue: VecDeque<u64>,
    running: usize,
    /// When it was sent something, and how many seconds of work.
    sent: Vec<(f64, f64)>,
}

impl SimulatedWorker {
    fn speed(&self, now: f64) -> f64 {
        // Before the restart the old process has its full speed.
        let age = if self.started_at > now {
            1.0
        } else {
            ((now - self.started_at) / SLOW_START_S).min(1.0)
        };
        self.initial_share + (1.0 - self.initial_share) * age
    }
}

/// Numbers of work units and attempts by what became of them.
#[derive(Debug, Default)]
struct Totals {
    arrived: usize,
    in_time: usize,
    late: usize,
    deferred: usize,
    aborted: usize,
    errors: usize,
    connect_failed: usize,
    sent: usize,
}

struct Simulation {
    now: f64,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    schedulers: Vec<Scheduler>,
    /// How many of them, counted from the end, get new work.
    active_schedulers: usize,
    /// The scheduler, the work unit, and its run time at full speed in seconds.
    open_work: BTreeMap<u64, (usize, Rc<WorkUnit>, f64)>,
    simulated_workers: BTreeMap<u64, SimulatedWorker>,
    jobs: BTreeMap<u64, Job>,
    rng: Rng,
    /// Work units per second, all schedulers together.
    rate: f64,
    until: f64,
    totals: Totals,
}

fn entry(id: u64, state: ListState, started_at: f64) -> ListEntry {
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

/// The scheduler with this number, of `scheduler_count`.
fn scheduler(
    number: usize,
    scheduler_count: usize,
    idempotency: Idempotency,
    list_polling: ListPolling,
) -> Scheduler {
    scheduler_with_costs(COSTS, number, scheduler_count, idempotency, list_polling)
}

fn scheduler_with_costs(
    costs: Costs,
    number: usize,
    scheduler_count: usize,
    idempotency: Idempotency,
    list_polling: ListPolling,
) -> Scheduler {
    let types = vec![ProjectType {
        credit: 1.0,
        late_credit: 0.0,
        promised_turnaround: TURNAROUND_S,
        turnaround_stretch: 2.0,
        hard_limit: TIME_BUDGET_S,
        idempotency,
        machine_kind: None,
    }];
    let scheduler_count = scheduler_count as f64;
    let slow_start = SlowStart {
        initial_share: 0.3,
        duration: SLOW_START_S,
        overload_multiple: 3.0,
        overload_window: OVERLOAD_WINDOW_S,
        scheduler_count,
    };
    let fleet = Fleet::new(slow_start, (number % 2) as u16, true, costs, &types);
    let retry_policy = RetryPolicy {
        parallel_attempts: true,
        may_cancel: true,
        max_attempts: 3,
    };
    let stages = (
        FairShares::new(&[]),
        Queues::new(types, 1.0, 2.0),
        retry_policy,
        fleet,
    );
    // Similar seeds would yield similar first random numbers.
    let seed = (number as u64 + 17).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    Scheduler::new(Rng::new(seed), stages, list_polling)
}

impl Simulation {
    fn new(
        schedulers: usize,
        workers: &[u64],
        rate: f64,
        until: f64,
        idempotency: Idempotency,
    ) -> Simulation {
        Simulation::with_costs(COSTS, schedulers, workers, rate, until, idempotency)
    }

    fn with_costs(
        costs: Costs,
        schedulers: usize,
        workers: &[u64],
        rate: f64,
        until: f64,
        idempotency: Idempotency,
    ) -> Simulation {
        let entries: Vec<ListEntry> = workers
            .iter()
            .map(|w| entry(*w, ListState::Ready, 0.0))
            .collect();
        let one = |i: usize| {
            let mut scheduler =
                scheduler_with_costs(costs, i, schedulers, idempotency, ListPolling::default());
            scheduler.on_list_update(&mut Requested::default(), 100.0, ListUpdate::Full(&entries));
            scheduler
        };
        let simulated_workers = workers
            .iter()
            .map(|w| {
                (
                    *w,
                    SimulatedWorker {
                        initial_share: 0.3,
                        ..SimulatedWorker::default()
                    },
                )
            })
            .collect();
        let mut simulation = Simulation {
            now: 100.0,
            events: BTreeMap::new(),
            sequence: 0,
            schedulers: (0..schedulers).map(one).collect(),
            active_schedulers: schedulers,
            open_work: BTreeMap::new(),
            simulated_workers,
            jobs: BTreeMap::new(),
            rng: Rng::new(5),
            rate,
            until: 100.0 + until,
            totals: Totals::default(),
        };
        simulation.schedule(0.0, Event::Arrival);
        simulation
    }

    fn schedule(&mut self, after: f64, event: Event) {
        self.sequence += 1;
        self.events
            .insert(((self.now + after).to_bits(), self.sequence), event);
    }

    /// These workers restart after this many seconds, and the list reports it at once.
    fn restart_workers(&mut self, after: f64, workers: &[u64]) {
        let started_at = self.now + after;
        let entries = workers
            .iter()
            .map(|w| entry(*w, ListState::Ready, started_at))
            .collect();
        for id in workers {
            let simulated = SimulatedWorker {
                started_at,
                initial_share: 0.3,
                ..SimulatedWorker::default()
            };
            self.simulated_workers.insert(*id, simulated);
        }
        self.schedule(after, Event::ListChange(entries));
    }

    /// These workers are lost after this many seconds.
    fn lose_workers(&mut self, after: f64, workers: &[u64]) {
        self.schedule(after, Event::WorkersLost(workers.to_vec()));
    }

    fn replace_schedulers(&mut self) {
        let started_at = |m: &SimulatedWorker| {
            if m.started_at > self.now {
                0.0
            } else {
                m.started_at
            }
        };
        let entries = self
            .simulated_workers
            .iter()
            .map(|(id, m)| entry(*id, ListState::Ready, started_at(m)));
        let (entries, old): (Vec<ListEntry>, _) = (entries.collect(), self.schedulers.len());
        for number in old..old + self.active_schedulers {
            self.schedulers.push(scheduler(
                number,
                self.active_schedulers,
                Idempotency::Idempotent,
                ListPolling::default(),
            ));
            self.call(number, |s, host, now| {
                s.on_list_update(host, now, ListUpdate::Inherited(&entries))
            });
        }
    }

    fn kill_schedulers(&mut self) {
        let is_killed = |from: usize| from % 10 < 7;
        let dead = self.jobs.extract_if(.., |_, job| is_killed(job.from));
        for (number, job) in dead.collect::<Vec<_>>() {
            let simulated = self
                .simulated_workers
                .get_mut(&job.attempt.worker.entry.id)
                .unwrap();
            simulated.queue.retain(|queued| *queued != number);
            simulated.running -= usize::from(job.running);
        }
        self.open_work.retain(|_, work| !is_killed(work.0));
        let entries: Vec<ListEntry> = self
            .simulated_workers
            .iter()
            .map(|(id, m)| entry(*id, ListState::Ready, m.started_at))
            .collect();
        let scheduler_count = self.schedulers.len();
        for number in (0..scheduler_count).filter(|number| is_killed(*number)) {
            let list_polling = ListPolling::default();
            self.schedulers[number] = scheduler(
                number + scheduler_count,
                scheduler_count,
                Idempotency::Idempotent,
                list_polling,
            );
            self.call(number, |s, host, now| {
                s.on_list_update(host, now, ListUpdate::Cached(&entries))
            });
        }
        let workers: Vec<u64> = self.simulated_workers.keys().copied().collect();
        workers
            .into_iter()
            .for_each(|worker| self.start_jobs(worker));
    }

    fn run(&mut self) -> &Totals {
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = f64::from_bits(at);
            match event {
                Event::Arrival => self.arrive(),
                Event::Timer(from) => self.call(from, |s, host, now| s.on_timer(host, now)),
                Event::JobEnd(job) => self.end_job(job),
                Event::ListChange(entries) => {
                    (0..self.schedulers.len()).for_each(|i| {
                        self.call(i, |s, host, now| {
                            s.on_list_update(host, now, ListUpdate::Changes(&entries))
                        })
                    });
                }
                Event::WorkersLost(workers) => {
                    workers
                        .iter()
                        .for_each(|w| self.simulated_workers.get_mut(w).unwrap().silent = true);
                    self.jobs
                        .retain(|_, job| !workers.contains(&job.attempt.worker.entry.id));
                }
                Event::SchedulersReplaced => self.replace_schedulers(),
                Event::SchedulersKilled => self.kill_schedulers(),
                Event::ConnectFailed(from, id, number) => {
                    self.totals.connect_failed += 1;
                    self.report_outcome(from, id, number, Outcome::NoConnection);
                }
            }
        }
        &self.totals
    }

    fn arrive(&mut self) {
        if self.now > self.until {
            return;
        }
        let gap = -(1.0 - self.rng.uniform()).ln() / self.rate;
        self.schedule(gap, Event::Arrival);
        let old = self.schedulers.len() - self.active_schedulers;
        let from = old + (self.rng.uniform() * self.active_schedulers as f64) as usize;
        let run = -(1.0 - self.rng.uniform()).ln() * MEAN_RUN_TIME_S;
        self.sequence += 1;
        let wu = WorkUnit::new(self.sequence, 0, None, 1.0, self.now, TIME_BUDGET_S);
        self.open_work
            .insert(self.sequence, (from, wu.clone(), run));
        self.totals.arrived += 1;
        self.call(from, |s, host, now| s.on_arrival(host, now, &wu));
    }

    fn report_outcome(&mut self, from: usize, id: u64, number: u16, outcome: Outcome) {
        let Some(wu) = self.open_work.get(&id).map(|work| work.1.clone()) else {
            return;
        };
        let attempt = wu.attempt(number).unwrap();
        let done = outcome == Outcome::Completed;
        self.call(from, |s, host, now| {
            s.on_outcome(host, now, &attempt, outcome, done)
        });
    }

    fn call(&mut self, from: usize, act: impl FnOnce(&mut Scheduler, &mut Requested, f64)) {
        let mut requested = Requested::default();
        act(&mut self.schedulers[from], &mut requested, self.now);
        if let Some(after) = requested.timer {
            self.schedule(after, Event::Timer(from));
        }
        for attempt in requested.sent {
            self.send(from, attempt);
        }
        for (id, number) in requested.cancelled {
            let is_cancelled = |job: &Job| job.wu.id == id && job.attempt.number == number;
            if let Some(job) = self
                .jobs
                .iter()
                .find(|(_, job)| is_cancelled(job))
                .map(|(job, _)| *job)
            {
                self.remove_job(job);
            }
            self.report_outcome(from, id, number, Outcome::Recalled);
        }
        self.totals.deferred += requested.deferred.len();
        self.totals.aborted += requested.aborted.len();
    }

    fn send(&mut self, from: usize, attempt: Rc<Attempt>) {
        let wu = attempt.work_unit.upgrade().unwrap();
        let run = self.open_work[&wu.id].2;
        let (worker, number) = (attempt.worker.entry.id, attempt.number);
        let simulated = self.simulated_workers.get_mut(&worker).unwrap();
        self.totals.sent += 1;
        if simulated.silent {
            return self.schedule(0.25, Event::ConnectFailed(from, wu.id, number));
        }
        simulated.sent.push((self.now, run));
        self.sequence += 1;
        simulated.queue.push_back(self.sequence);
        self.jobs.insert(
            self.sequence,
            Job {
                from,
                attempt,
                wu,
                running: false,
            },
        );
        self.start_jobs(worker);
    }

    fn start_jobs(&mut self, worker: u64) {
        loop {
            let simulated = self.simulated_workers.get_mut(&worker).unwrap();
            if simulated.running >= SLOTS {
                return;
            }
            let Some(number) = simulated.queue.pop_front() else {
                return;
            };
            simulated.running += 1;
            let job = self.jobs.get_mut(&number).unwrap();
            job.running = true;
            let (from, attempt) = (job.from, job.attempt.clone());
            let fails = self.rng.uniform() < simulated.errors;
            let run = self.open_work[&job.wu.id].2 / simulated.speed(self.now);
            self.schedule(
                if fails { 0.01 } else { run },
                Event::JobEnd(if fails { number | FAILURE_FLAG } else { number }),
            );
            self.call(from, |s, host, now| s.on_start(host, now, &attempt));
        }
    }

    /// The job leaves its worker.
    fn remove_job(&mut self, number: u64) -> Option<Job> {
        let job = self.jobs.remove(&number)?;
        let worker = job.attempt.worker.entry.id;
        let simulated = self.simulated_workers.get_mut(&worker).unwrap();
        simulated.queue.retain(|queued| *queued != number);
        simulated.running -= usize::from(job.running);
        self.start_jobs(worker);
        Some(job)
    }

    fn end_job(&mut self, number: u64) {
        let (fails, number) = (number & FAILURE_FLAG > 0, number & !FAILURE_FLAG);
        let Some(Job {
            from, wu, attempt, ..
        }) = self.remove_job(number)
        else {
            return;
        };
        if fails {
            self.totals.errors += 1;
            return self.report_outcome(from, wu.id, attempt.number, Outcome::Error);
        }
        let run = self.open_work[&wu.id].2;
        match self.now <= wu.arrived_at + TURNAROUND_S + 2.0 * run {
            true => self.totals.in_time += 1,
            false => self.totals.late += 1,
        }
        self.report_outcome(from, wu.id, attempt.number, Outcome::Completed);
    }

    /// The most work that a cold worker was sent within the overload window, as a multiple of what it can run in that
    /// time at its speed at the end of the window.
    fn peak_load(&self, worker: u64) -> f64 {
        let simulated = &self.simulated_workers[&worker];
        let within = |to: f64| {
            simulated
                .sent
                .iter()
                .filter(move |s| s.0 > to - OVERLOAD_WINDOW_S && s.0 <= to)
        };
        let cold_sends = simulated
            .sent
            .iter()
            .filter(|s| (0.0..SLOW_START_S).contains(&(s.0 - simulated.started_at)));
        let loads = cold_sends.map(|s| {
            let work: f64 = within(s.0)
                .filter(|s| s.0 >= simulated.started_at)
                .map(|s| s.1)
                .sum();
            work / (simulated.speed(s.0) * SLOTS as f64 * OVERLOAD_WINDOW_S)
        });
        loads.fold(0.0, f64::max)
    }
}

/// The most that a cold worker was sent within the overload window, as a share of the allowance N + 2 x sqrt(N) + 2:
/// by the number of work units, and by their run time. N is the number of work units of mean run time that slow
/// start allows.
fn share_of_allowance(simulation: &Simulation, worker: u64) -> (f64, f64) {
    let simulated = &simulation.simulated_workers[&worker];
    let cold_sends = simulated
        .sent
        .iter()
        .filter(|s| (0.0..SLOW_START_S).contains(&(s.0 - simulated.started_at)));
    let shares = cold_sends.map(|(at, _)| {
        let within = simulated
            .sent
            .iter()
            .filter(|s| s.0 > at - OVERLOAD_WINDOW_S && s.0 <= *at && s.0 >= simulated.started_at);
        let (units, work) = within.fold((0.0, 0.0), |(units, work), s| {
            (units + 1.0, work + s.1 / MEAN_RUN_TIME_S)
        });
        let n = 3.0 * simulated.speed(*at) * SLOTS as f64 * OVERLOAD_WINDOW_S / MEAN_RUN_TIME_S;
        let allowance = n + 2.0 * n.sqrt() + 2.0;
        (units / allowance, work / allowance)
    });
    shares.fold((0.0, 0.0), |(a, b), (units, work)| {
        (f64::max(a, units), f64::max(b, work))
    })
}

const FAILURE_FLAG: u64 = 1 << 62;

#[test]
fn cold_workers_are_used_as_far_as_slow_start_allows() {
    // Six in ten workers restart at once. The rest can run 48 seconds of work per second, and 60 arrive.
    let workers: Vec<u64> = (1..=30).chain(101..=130).collect();
    let restarted: Vec<u64> = workers.iter().copied().filter(|w| w % 5 < 3).collect();
    let mut simulation = Simulation::new(100, &workers, 120.0, 12.0, Idempotency::Idempotent);
    simulation.restart_workers(3.0, &restarted);
    simulation.run();
    let sent: usize = restarted
        .iter()
        .map(|w| {
            simulation.simulated_workers[w]
                .sent
                .iter()
                .filter(|s| s.0 < 109.0)
                .count()
        })
        .sum();
    let peak = restarted
        .iter()
        .map(|w| simulation.peak_load(*w))
        .fold(0.0, f64::max);
    let Totals {
        arrived, in_time, ..
    } = simulation.totals;
    assert!(in_time * 4 > arrived * 3, "{:?}", simulation.totals);
    assert!(
        sent > 360 && peak < 3.0,
        "{sent} sent in 6 s, at the most {peak:.2} times what one could run"
    );
}

/// No rule relies on the messages between schedulers: here every message is lost.
#[test]
fn rules_hold_when_all_peer_messages_are_lost() {
    let workers: Vec<u64> = (1..=30).chain(101..=130).collect();
    let restarted: Vec<u64> = workers.iter().copied().filter(|w| w % 5 < 3).collect();
    let messages_for_free = Costs {
        cross_zone: 0.02,
        peer_message: Some(0.0),
    };
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        let mut simulation =
            Simulation::with_costs(messages_for_free, 100, &workers, 120.0, 12.0, idempotency);
        simulation.restart_workers(3.0, &restarted);
        let Totals {
            arrived,
            in_time,
            late,
            deferred,
            aborted,
            ..
        } = *simulation.run();
        assert_eq!(
            in_time + late + deferred + aborted,
            arrived,
            "{:?}",
            simulation.totals
        );
        let peak = restarted
            .iter()
            .map(|w| simulation.peak_load(*w))
            .fold(0.0, f64::max);
        assert!(
            in_time * 2 > arrived && peak < 3.0,
            "{peak:.2} times what one could run: {:?}",
            simulation.totals
        );
    }
}

/// A worker that has just started gets only a limited share of its work, from any number of schedulers: all workers are
/// cold, more work arrives than can be run, and one second later seven in ten schedulers are killed and restart with
/// nothing but the list.
#[test]
fn cold_workers_get_no_more_than_slow_start_allows() {
    for schedulers in [1, 20, 30, 300, 350, 1100] {
        let workers: Vec<u64> = (1..=10).chain(101..=110).collect();
        let mut simulation =
            Simulation::new(schedulers, &workers, 80.0, 10.0, Idempotency::Idempotent);
        simulation.restart_workers(1.0, &workers);
        simulation.schedule(2.0, Event::SchedulersKilled);
        simulation.run();
        let shares: Vec<(f64, f64)> = workers
            .iter()
            .map(|w| share_of_allowance(&simulation, *w))
            .collect();
        let peak = shares
            .iter()
            .fold((0.0, 0.0), |(a, b), m| (f64::max(a, m.0), f64::max(b, m.1)));
        assert!(
            peak.0 <= 1.0 && peak.1 <= 1.0,
            "{schedulers} schedulers: {peak:?} of the allowance"
        );
        // The cold workers must not be left idle instead.
        let Totals { arrived, sent, .. } = simulation.totals;
        assert!(sent * 4 > arrived, "{schedulers}: {:?}", simulation.totals);
    }
}

/// One of 1,100 schedulers in front of 1,100 workers: each worker gets work.
#[test]
fn each_of_many_workers_gets_work() {
    let mut scheduler = scheduler(7, 1100, Idempotency::Idempotent, ListPolling::default());
    let entries: Vec<ListEntry> = (1..=1100)
        .map(|id| entry(id, ListState::Ready, 0.0))
        .collect();
    let mut host = Requested::default();
    scheduler.on_list_update(&mut host, 100.0, ListUpdate::Full(&entries));
    assert_eq!(scheduler.worker_counts(), (1100, 0));
    let (mut sent, mut work_units) = (BTreeMap::new(), Vec::new());
    for id in 1..=2200 {
        let (now, wu) = (
            100.0 + id as f64 / 1e4,
            WorkUnit::new(id, 0, None, 1.0, 100.0, TIME_BUDGET_S),
        );
        scheduler.on_arrival(&mut host, now, &wu);
        work_units.push(wu);
        for attempt in std::mem::take(&mut host.sent) {
            *sent.entry(attempt.worker.entry.id).or_insert(0) += 1;
            scheduler.on_start(&mut host, now, &attempt);
        }
    }
    assert_eq!(
        (sent.len(), sent.values().max()),
        (1100, Some(&2)),
        "workers used, and the most work units of one"
    );
}

/// A scheduler process that ends and its successor together send cold workers no more than one process alone would.
/// Worst case: all schedulers are replaced while all workers are cold and more work arrives than can be run.
#[test]
fn old_and_new_process_share_one_budget_for_cold_workers() {
    let workers: Vec<u64> = (1..=30).chain(101..=130).collect();
    let typical = |schedulers: usize, replaced: Option<f64>| {
        let mut simulation =
            Simulation::new(schedulers, &workers, 120.0, 12.0, Idempotency::Idempotent);
        simulation.restart_workers(3.0, &workers);
        replaced
            .into_iter()
            .for_each(|after| simulation.schedule(3.0 + after, Event::SchedulersReplaced));
        simulation.run();
        median(workers.iter().map(|w| simulation.peak_load(*w)).collect())
    };
    // The fewer schedulers there are, the larger is the budget of each.
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

/// With a hundred schedulers messages are rare: by the next one half of the reported work has ended, as work is
/// assumed to run for a third of a second.
#[test]
fn reported_slots_are_discounted_by_work_ended_since() {
    for (slots, sent) in [(2, 1), (3, 0)] {
        let costs = Costs {
            cross_zone: 0.02,
            peer_message: Some(0.0),
        };
        let mut scheduler = scheduler_with_costs(
            costs,
            0,
            100,
            Idempotency::Idempotent,
            ListPolling::default(),
        );
        let (worker, mut host) = (entry(1, ListState::Ready, 0.0), Requested::default());
        scheduler.on_list_update(
            &mut host,
            100.0,
            ListUpdate::Full(std::slice::from_ref(&worker)),
        );
        let message = PeerMessage {
            sent_at: 100.0,
            slots_held: vec![(worker.peer_key(), slots)],
        };
        scheduler.on_peer_message(100.0, 1, &message.encode());
        scheduler.on_arrival(
            &mut host,
            100.0,
            &WorkUnit::new(1, 0, None, 1.0, 100.0, TIME_BUDGET_S),
        );
        assert_eq!(host.sent.len(), sent, "{slots} slots reported");
    }
}

#[test]
fn late_work_leaves_the_queues_under_overload() {
    // 80 seconds of work per second arrive, and 60 can be run.
    let workers: Vec<u64> = (1..=15).chain(101..=115).collect();
    let mut simulation = Simulation::new(100, &workers, 160.0, 12.0, Idempotency::Idempotent);
    let Totals {
        arrived,
        in_time,
        late,
        ..
    } = *simulation.run();
    assert!(
        in_time * 2 > arrived && late * 4 < arrived,
        "{:?}",
        simulation.totals
    );
}

#[test]
fn each_work_unit_gets_one_answer_when_half_of_the_workers_are_lost() {
    let workers: Vec<u64> = (1..=30).chain(101..=130).collect();
    let lost: Vec<u64> = (101..=130).collect();
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        let mut simulation = Simulation::new(100, &workers, 160.0, 12.0, idempotency);
        simulation.lose_workers(3.0, &lost);
        let Totals {
            arrived,
            in_time,
            late,
            deferred,
            aborted,
            connect_failed,
            ..
        } = *simulation.run();
        assert_eq!(
            in_time + late + deferred + aborted,
            arrived,
            "{:?}",
            simulation.totals
        );
        assert!(connect_failed > 0, "{:?}", simulation.totals);
    }
}

#[test]
fn list_requests_are_spread_after_a_common_start() {
    // The list must be requested within 3 s; the more schedulers there are, the slower the service.
    for (schedulers, max_wait, max_share) in [(4, 0.375, 1.0), (100, 3.0, 0.4), (350, 3.0, 0.4)] {
        let request_delay = |number: usize| {
            let list_polling = ListPolling {
                on_request: true,
                max_interval: 3.0,
                ..ListPolling::default()
            };
            let mut host = Requested::default();
            let mut scheduler =
                scheduler(number, schedulers, Idempotency::Idempotent, list_polling);
            scheduler.start(&mut host, 100.0);
            let wait = host.timer.expect("no timer was set");
            scheduler.on_timer(&mut host, 100.0 + wait);
            assert!(host.list_requested);
            wait
        };
        let waits: Vec<f64> = (0..schedulers).map(request_delay).collect();
        let last = waits.iter().fold(0.0, |a: f64, b| a.max(*b));
        let within = |from: f64| {
            waits
                .iter()
                .filter(|w| (from..from + 0.75).contains(*w))
                .count()
        };
        let crowd = waits.iter().map(|w| within(*w)).max().unwrap() as f64 / schedulers as f64;
        assert!(
            last <= max_wait && crowd <= max_share,
            "{schedulers}: {last} {crowd}"
        );
    }
}

#[test]
fn failing_list_service_gets_spread_requests_for_ever() {
    let requests: Vec<Vec<f64>> = (0..100)
        .map(|number| {
            let list_polling = ListPolling {
                on_request: true,
                max_interval: 3.0,
                ..ListPolling::default()
            };
            let mut scheduler = scheduler(number, 100, Idempotency::Idempotent, list_polling);
            let mut now = 100.0;
            scheduler.start(&mut Requested::default(), now);
            let mut requested = Vec::new();
            while now < 160.0 {
                now += 0.05;
                let mut host = Requested::default();
                scheduler.on_timer(&mut host, now);
                if host.list_requested {
                    requested.push(now);
                    // The request hangs for 3 s, and fails.
                    now += 3.0;
                    scheduler.on_list_update(&mut Requested::default(), now, ListUpdate::Failed);
                }
            }
            requested
        })
        .collect();
    let gap = |a: &Vec<f64>| a.windows(2).map(|w| w[1] - w[0]).fold(0.0, f64::max);
    assert!(
        requests.iter().all(|a| a.len() >= 18 && gap(a) <= 3.2),
        "{requests:?}"
    );
    let at = |second: usize| {
        requests
            .iter()
            .flatten()
            .filter(|a| **a as usize == second)
            .count()
    };
    let peak = (100..160).map(at).max().unwrap();
    // Each sends a request every 3 s, to learn of changes soon: on average a third of them in each second.
    assert!(peak < 50, "{peak} of 100 requests in one second");
}
