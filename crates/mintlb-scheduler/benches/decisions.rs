//! What the decisions cost by the size of the fleet, without sockets: `cargo bench -p mintlb-scheduler`.
//!
//! Each fleet is met: every worker was sent work before, so each is ranked by itself.

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use mintlb_scheduler::decide::{Buffers, Fleet, Follow, Repeats, Scheduler, Shares};
use mintlb_scheduler::tools::Chance;
use mintlb_scheduler::{
    Allocation, ColdRule, Costs, Door, Effect, Line, Listed, News, Outcome, ProjectType, Runs,
};
use mintlb_scheduler::{WorkUnit, Worker};
use std::hint::black_box;
use std::rc::Rc;

/// Takes note of what was sent last.
#[derive(Default)]
struct Sent(Option<(u64, u16)>);

impl Door for Sent {
    fn allocate(&mut self, alloc: &Allocation) {
        self.0 = alloc.wu.upgrade().map(|wu| (wu.id, alloc.number));
    }
    fn recall(&mut self, _: &Allocation) {}
    fn defer(&mut self, _: &WorkUnit, _: f64) {}
    fn abort(&mut self, _: &WorkUnit) {}
    fn probe(&mut self, _: &Worker) {}
    fn follow_list(&mut self) {}
    fn wake_in(&mut self, _: f64) {}
    fn log(&mut self, _: &str) {}
}

struct Bench {
    scheduler: Scheduler,
    door: Sent,
    now: f64,
    next: u64,
}

fn line(id: u64, came_up: f64) -> Line {
    let (zone, cell, kind) = ((id % 3) as u16, 0, (id % 2) as u16);
    Line {
        id,
        zone,
        cell,
        kind,
        listed: Listed::Ready,
        came_up,
        runs: Runs::default(),
        fetches: false,
    }
}

impl Bench {
    /// A scheduler that has sent work to each of so many workers.
    fn new(workers: u64) -> Bench {
        let effects = [Effect::Rerunnable, Effect::Exclusive];
        let types = effects.map(|effect| ProjectType {
            credit: 1.0,
            late_credit: 0.0,
            promised_turnaround: 0.4,
            stretch: 0.0,
            hard_limit: 3.0,
            effect,
            kind: None,
        });
        let cold = ColdRule {
            from: 0.3,
            warm_after: 9.0,
            multiple: 3.0,
            span: 3.0,
            among: 1.0,
        };
        let costs = Costs {
            crossing: 0.02,
            message: None,
        };
        let fleet = Fleet::new(cold, 0, true, costs, &types);
        let repeats = Repeats {
            parallel: true,
            may_recall: true,
            most_allocations: 3,
        };
        let chain = (
            Shares::new(&[]),
            Buffers::new(types.to_vec(), 1.0, 2.0),
            repeats,
            fleet,
        );
        let scheduler = Scheduler::new(Chance::new(7), chain, Follow::default());
        let mut bench = Bench {
            scheduler,
            door: Sent::default(),
            now: 100.0,
            next: 0,
        };
        let lines: Vec<Line> = (0..workers).map(|id| line(id, 0.0)).collect();
        bench
            .scheduler
            .news(&mut bench.door, bench.now, News::Full(&lines));
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
        self.scheduler.arrived(&mut self.door, self.now, &wu);
        let alloc = self.door.0.and_then(|(_, number)| wu.allocation(number))?;
        self.scheduler.started(&mut self.door, self.now, &alloc);
        Some((wu, alloc))
    }

    fn done(&mut self, wu: &Rc<WorkUnit>, alloc: &Rc<Allocation>) {
        self.now += 1e-5;
        self.scheduler
            .came_back(&mut self.door, self.now, alloc, Outcome::Completed, true);
        self.scheduler.woke(&mut self.door, self.now);
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
        let mut came_up = 1.0;
        group.bench_function(BenchmarkId::new("list change of 1 %", workers), |b| {
            b.iter_batched(
                || {
                    came_up += 1.0;
                    (0..workers)
                        .step_by(100)
                        .map(|id| line(id, came_up))
                        .collect::<Vec<_>>()
                },
                |lines| {
                    bench
                        .scheduler
                        .news(&mut bench.door, bench.now, News::Changes(&lines))
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
