//! Work units whose project type's number is given up go on by another one, in the order of their arrival.

use mintlb_scheduler::decide::{FairShares, Fleet, ListPolling, Queues, RetryPolicy, Scheduler};
use mintlb_scheduler::util::Rng;
use mintlb_scheduler::{
    Attempt, Costs, Host, Idempotency, ListEntry, ListState, ListUpdate, Outcome, ProjectType,
    ProjectTypeSet, SlowStart, WorkUnit, Worker,
};

#[derive(Default)]
struct RecordingHost {
    sent: Vec<u64>,
}

impl Host for RecordingHost {
    fn send_attempt(&mut self, attempt: &Attempt) {
        self.sent
            .extend(attempt.work_unit.upgrade().map(|wu| wu.id));
    }
    fn cancel(&mut self, _: &Attempt) {}
    fn defer(&mut self, _: &WorkUnit, _: f64) {}
    fn abort(&mut self, _: &WorkUnit) {}
    fn probe(&mut self, _: &Worker) {}
    fn request_worker_list(&mut self) {}
    fn set_timer(&mut self, _: f64) {}
    fn log(&mut self, _: &str) {}
}

fn scheduler(types: usize) -> Scheduler {
    let project_type = ProjectType {
        credit: 1.0,
        late_credit: 0.0,
        promised_turnaround: 60.0,
        turnaround_stretch: 0.0,
        hard_limit: 60.0,
        idempotency: Idempotency::Idempotent,
        machine_kind: None,
    };
    let types = vec![project_type; types];
    let costs = Costs {
        cross_zone: 0.02,
        peer_message: None,
    };
    let fleet = Fleet::new(SlowStart::default(), 0, true, costs, &types);
    let retry_policy = RetryPolicy {
        parallel_attempts: false,
        may_cancel: true,
        max_attempts: 8,
    };
    let stages = (
        FairShares::new(&[]),
        Queues::new(types, 1.0, 0.0),
        retry_policy,
        fleet,
    );
    Scheduler::new(Rng::new(7), stages, ListPolling::default())
}

#[test]
fn queued_work_units_keep_the_order_of_their_arrival() {
    let (mut host, mut scheduler) = (RecordingHost::default(), scheduler(2));
    let units: Vec<_> = [(1, 0), (2, 1), (3, 0), (4, 1), (5, 0)]
        .into_iter()
        .map(|(id, number)| WorkUnit::new(id, number, None, 1.0, id as f64 / 10.0, 60.0))
        .collect();
    for unit in &units {
        scheduler.on_arrival(&mut host, unit.arrived_at, unit);
    }
    // In any order: the host keeps them in a table.
    for unit in units.iter().rev().filter(|unit| unit.project_type() == 0) {
        scheduler.replace_number(unit, 1);
    }
    assert!(units.iter().all(|unit| unit.project_type() == 1));
    let entry = ListEntry {
        id: 1,
        zone: 0,
        cell: 0,
        machine_kind: 0,
        state: ListState::Ready,
        started_at: 0.0,
        project_types: ProjectTypeSet::default(),
        pulls_work: false,
    };
    scheduler.on_list_update(&mut host, 1.0, ListUpdate::Full(&[entry]));
    // The worker takes more as it completes what it has.
    for (number, unit) in units.iter().enumerate() {
        let at = 1.1 + number as f64 / 10.0;
        if let Some(attempt) = unit.attempt(0) {
            scheduler.on_start(&mut host, at, &attempt);
            scheduler.on_outcome(&mut host, at + 0.05, &attempt, Outcome::Completed, true);
        }
    }
    assert_eq!(host.sent, [1, 2, 3, 4, 5]);
}
