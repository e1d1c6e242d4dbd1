//! Time of the decisions by the size of the fleet, without sockets: `cargo bench -p mintlb-scheduler`.
//!
//! All workers were sent work before, so that each is ranked individually.

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use mintlb_scheduler::decide::{FairShares, Fleet, ListPolling, Queues, RetryPolicy, Scheduler};
use mintlb_scheduler::util::Rng;
use mintlb_scheduler::{
    Attempt, Costs, Host, Idempotency, ListEntry, ListState, ListUpdate, Outcome, ProjectType,
    ProjectTypeSet, SlowStart,
};
use mintlb_scheduler::{WorkUnit, Worker};
use std::hint::black_box;
use std::rc::Rc;

/// Records the attempt that was sent last.
#[derive(Default)]
struct LastSent(Option<(u64, u16)>);

impl Host for LastSent {
    fn send_attempt(&mut self, attempt: &Attempt) {
        self.0 = attempt
            .work_unit
            .upgrade()
            .map(|wu| (wu.id, attempt.number));
    }
    fn cancel(&mut self, _: &Attempt) {}
    fn defer(&mut self, _: &WorkUnit, _: f64) {}
    fn abort(&mut self, _: &WorkUnit) {}
    fn probe(&mut self, _: &Worker) {}
    fn request_worker_list(&mut self) {}
    fn set_timer(&mut self, _: f64) {}
    fn log(&mut self, _: &str) {}
}

struct BenchScheduler {
    scheduler: Scheduler,
    host: LastSent,
    now: f64,
    next: u64,
}

fn entry(id: u64, started_at: f64) -> ListEntry {
    let (zone, cell, machine_kind) = ((id % 3) as u16, 0, (id % 2) as u16);
    ListEntry {
        id,
        zone,
        cell,
        machine_kind,
        state: ListState::Ready,
        started_at,
        project_types: ProjectTypeSet::default(),
        pulls_work: false,
    }
}

impl BenchScheduler {
    /// A scheduler that has sent work to each of this number of workers.
    fn new(workers: u64) -> BenchScheduler {
        let effects = [Idempotency::Idempotent, Idempotency::NonIdempotent];
        let types = effects.map(|idempotency| ProjectType {
            credit: 1.0,
            late_credit: 0.0,
            promised_turnaround: 0.4,
            turnaround_stretch: 0.0,
            hard_limit: 3.0,
            idempotency,
            machine_kind: None,
        });
        let slow_start = SlowStart {
            initial_share: 0.3,
            duration: 9.0,
            overload_multiple: 3.0,
            overload_window: 3.0,
            scheduler_count: 1.0,
        };
        let costs = Costs {
            cross_zone: 0.02,
            peer_message: None,
        };
        let fleet = Fleet::new(slow_start, 0, true, costs, &types);
        let retry_policy = RetryPolicy {
            parallel_attempts: true,
            may_cancel: true,
            max_attempts: 3,
        };
        let stages = (
            FairShares::new(&[]),
            Queues::new(types.to_vec(), 1.0, 2.0),
            retry_policy,
            fleet,
        );
        let scheduler = Scheduler::new(Rng::new(7), stages, ListPolling::default());
        let mut bench = BenchScheduler {
            scheduler,
            host: LastSent::default(),
            now: 100.0,
            next: 0,
        };
        let entries: Vec<ListEntry> = (0..workers).map(|id| entry(id, 0.0)).collect();
        bench
            .scheduler
            .on_list_update(&mut bench.host, bench.now, ListUpdate::Full(&entries));
        // All work runs until each worker has some, so that none is sent a second work unit.
        let out: Vec<_> = (0..workers).filter_map(|_| bench.send()).collect();
        for (wu, attempt) in out {
            bench.done(&wu, &attempt);
        }
        bench
    }

    fn send(&mut self) -> Option<(Rc<WorkUnit>, Rc<Attempt>)> {
        self.next += 1;
        self.now += 1e-5;
        let wu = WorkUnit::new(
            self.next,
            (self.next % 2) as usize,
            None,
            1.0,
            self.now,
            3.0,
        );
        self.host.0 = None;
        self.scheduler.on_arrival(&mut self.host, self.now, &wu);
        let attempt = self.host.0.and_then(|(_, number)| wu.attempt(number))?;
        self.scheduler.on_start(&mut self.host, self.now, &attempt);
        Some((wu, attempt))
    }

    fn done(&mut self, wu: &Rc<WorkUnit>, attempt: &Rc<Attempt>) {
        self.now += 1e-5;
        self.scheduler
            .on_outcome(&mut self.host, self.now, attempt, Outcome::Completed, true);
        self.scheduler.on_timer(&mut self.host, self.now);
        black_box(wu);
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("decisions");
    group.sample_size(20);
    for workers in [8, 500, 2000, 10_000] {
        let mut bench = BenchScheduler::new(workers);
        group.bench_function(
            BenchmarkId::new("arrival, start and outcome", workers),
            |b| {
                b.iter(|| {
                    if let Some((wu, attempt)) = bench.send() {
                        bench.done(&wu, &attempt);
                    }
                });
            },
        );
        // One worker in a hundred has restarted.
        let mut started_at = 1.0;
        group.bench_function(BenchmarkId::new("list change of 1 %", workers), |b| {
            b.iter_batched(
                || {
                    started_at += 1.0;
                    (0..workers)
                        .step_by(100)
                        .map(|id| entry(id, started_at))
                        .collect::<Vec<_>>()
                },
                |entries| {
                    bench.scheduler.on_list_update(
                        &mut bench.host,
                        bench.now,
                        ListUpdate::Changes(&entries),
                    )
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
