//! What the decisions cost by the size of the fleet, without sockets: `cargo bench -p mintlb-scheduler`.
//!
//! Each fleet is met: every worker was sent work before, so each is ranked by itself.

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use mintlb_scheduler::decide::{FairShares, Fleet, ListPolling, Queues, RetryPolicy, Scheduler};
use mintlb_scheduler::util::Rng;
use mintlb_scheduler::{
    Allocation, Costs, Host, Idempotency, ListEntry, ListState, ListUpdate, Outcome, ProjectType,
    ProjectTypeSet, SlowStart,
};
use mintlb_scheduler::{WorkUnit, Worker};
use std::hint::black_box;
use std::rc::Rc;

/// Takes note of what was sent last.
#[derive(Default)]
struct Sent(Option<(u64, u16)>);

impl Host for Sent {
    fn allocate(&mut self, alloc: &Allocation) {
        self.0 = alloc.work_unit.upgrade().map(|wu| (wu.id, alloc.number));
    }
    fn cancel(&mut self, _: &Allocation) {}
    fn defer(&mut self, _: &WorkUnit, _: f64) {}
    fn abort(&mut self, _: &WorkUnit) {}
    fn probe(&mut self, _: &Worker) {}
    fn request_worker_list(&mut self) {}
    fn set_timer(&mut self, _: f64) {}
    fn log(&mut self, _: &str) {}
}

struct Bench {
    scheduler: Scheduler,
    door: Sent,
    now: f64,
    next: u64,
}

fn line(id: u64, started_at: f64) -> ListEntry {
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

impl Bench {
    /// A scheduler that has sent work to each of so many workers.
    fn new(workers: u64) -> Bench {
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
        let cold = SlowStart {
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
        let fleet = Fleet::new(cold, 0, true, costs, &types);
        let repeats = RetryPolicy {
            parallel_attempts: true,
            may_cancel: true,
            max_allocations: 3,
        };
        let chain = (
            FairShares::new(&[]),
            Queues::new(types.to_vec(), 1.0, 2.0),
            repeats,
            fleet,
        );
        let scheduler = Scheduler::new(Rng::new(7), chain, ListPolling::default());
        let mut bench = Bench {
            scheduler,
            door: Sent::default(),
            now: 100.0,
            next: 0,
        };
        let lines: Vec<ListEntry> = (0..workers).map(|id| line(id, 0.0)).collect();
        bench
            .scheduler
            .on_list_update(&mut bench.door, bench.now, ListUpdate::Full(&lines));
        // Kept until all have some, so that no worker is sent a second.
        let out: Vec<_> = (0..workers).filter_map(|_| bench.send()).collect();
        for (wu, alloc) in out {
            bench.done(&wu, &alloc);
        }
        bench
    }

    fn send(&mut self) -> Option<(Rc<WorkUnit>, Rc<Allocation>)> {
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
        self.door.0 = None;
        self.scheduler.on_arrival(&mut self.door, self.now, &wu);
        let alloc = self.door.0.and_then(|(_, number)| wu.allocation(number))?;
        self.scheduler.on_start(&mut self.door, self.now, &alloc);
        Some((wu, alloc))
    }

    fn done(&mut self, wu: &Rc<WorkUnit>, alloc: &Rc<Allocation>) {
        self.now += 1e-5;
        self.scheduler
            .on_outcome(&mut self.door, self.now, alloc, Outcome::Completed, true);
        self.scheduler.on_timer(&mut self.door, self.now);
        black_box(wu);
    }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("decisions");
    group.sample_size(20);
    for workers in [8, 500, 2000, 10_000] {
        let mut bench = Bench::new(workers);
        group.bench_function(
            BenchmarkId::new("arrival, start and outcome", workers),
            |b| {
                b.iter(|| {
                    if let Some((wu, alloc)) = bench.send() {
                        bench.done(&wu, &alloc);
                    }
                });
            },
        );
        // One in a hundred has started anew.
        let mut started_at = 1.0;
        group.bench_function(BenchmarkId::new("list change of 1 %", workers), |b| {
            b.iter_batched(
                || {
                    started_at += 1.0;
                    (0..workers)
                        .step_by(100)
                        .map(|id| line(id, started_at))
                        .collect::<Vec<_>>()
                },
                |lines| {
                    bench.scheduler.on_list_update(
                        &mut bench.door,
                        bench.now,
                        ListUpdate::Changes(&lines),
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
