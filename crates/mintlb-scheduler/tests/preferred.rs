//! Work that is best served by one certain worker finds it, also in a fleet that was sent little so far.

use mintlb_scheduler::decide::{Buffers, Fleet, Follow, Repeats, Scheduler, Shares};
use mintlb_scheduler::tools::Chance;
use mintlb_scheduler::{
    Allocation, ColdRule, Costs, Door, Effect, Line, Listed, News, ProjectType, Runs, WorkUnit,
    Worker,
};

const WORKERS: u64 = 90;

/// Permits the preferred worker only.
struct OnlyPreferred {
    preferred: Option<u64>,
    sent_to: Vec<u64>,
}

impl Door for OnlyPreferred {
    fn permits(&self, _: &WorkUnit, worker: &Worker) -> bool {
        self.preferred.is_none_or(|id| id == worker.line.id)
    }
    fn preferred(&self, _: &WorkUnit) -> Option<u64> {
        self.preferred
    }
    fn allocate(&mut self, alloc: &Allocation) {
        self.sent_to.push(alloc.worker.line.id);
    }
    fn recall(&mut self, _: &Allocation) {}
    fn defer(&mut self, _: &WorkUnit, _: f64) {}
    fn abort(&mut self, _: &WorkUnit) {}
    fn probe(&mut self, _: &Worker) {}
    fn follow_list(&mut self) {}
    fn wake_in(&mut self, _: f64) {}
    fn log(&mut self, _: &str) {}
}

fn scheduler(door: &mut OnlyPreferred) -> Scheduler {
    let project_type = ProjectType {
        credit: 1.0,
        late_credit: 0.0,
        promised_turnaround: 0.4,
        stretch: 0.0,
        hard_limit: 3.0,
        effect: Effect::Rerunnable,
        kind: None,
    };
    let types = vec![project_type];
    let costs = Costs {
        crossing: 0.02,
        message: None,
    };
    let fleet = Fleet::new(ColdRule::default(), 0, true, costs, &types);
    let repeats = Repeats {
        parallel: false,
        may_recall: true,
        most_allocations: 8,
    };
    let parts = (
        Shares::new(&[]),
        Buffers::new(types, 1.0, 0.0),
        repeats,
        fleet,
    );
    let mut scheduler = Scheduler::new(Chance::new(7), parts, Follow::default());
    let line = |id| Line {
        id,
        zone: (id % 4) as u16,
        cell: 0,
        kind: 0,
        listed: Listed::Ready,
        came_up: 0.0,
        runs: Runs::default(),
        fetches: false,
    };
    let lines: Vec<Line> = (1..=WORKERS).map(line).collect();
    scheduler.news(door, 0.0, News::Full(&lines));
    scheduler
}

#[test]
fn a_preferred_worker_is_found_before_it_was_sent_anything() {
    let mut door = OnlyPreferred {
        preferred: None,
        sent_to: Vec::new(),
    };
    let mut scheduler = scheduler(&mut door);
    for id in 1..=WORKERS {
        door.preferred = Some(id);
        let work = WorkUnit::new(id, 0, None, 1.0, 1.0, 3.0);
        scheduler.arrived(&mut door, 1.0, &work);
        assert_eq!(door.sent_to.pop(), Some(id), "at once, without a wait");
    }
}

#[test]
fn a_preferred_worker_that_is_not_listed_is_no_hindrance() {
    let mut door = OnlyPreferred {
        preferred: Some(WORKERS + 1),
        sent_to: Vec::new(),
    };
    let mut scheduler = scheduler(&mut door);
    let gone = WorkUnit::new(1, 0, None, 1.0, 1.0, 3.0);
    scheduler.arrived(&mut door, 1.0, &gone);
    assert!(door.sent_to.is_empty());
    door.preferred = None;
    let other = WorkUnit::new(2, 0, None, 1.0, 1.0, 3.0);
    scheduler.arrived(&mut door, 1.0, &other);
    assert_eq!(door.sent_to.len(), 2, "both find a worker once any will do");
}
