//! Work units with a preferred worker reach it, also in a large fleet where most workers are untracked.

use mintlb_scheduler::decide::{FairShares, Fleet, ListPolling, Queues, RetryPolicy, Scheduler};
use mintlb_scheduler::util::Rng;
use mintlb_scheduler::{
    Attempt, Costs, Host, Idempotency, ListEntry, ListState, ListUpdate, ProjectType,
    ProjectTypeSet, SlowStart, WorkUnit, Worker,
};

const WORKERS: u64 = 90;

/// A host that permits the preferred worker only.
struct OnlyPreferred {
    preferred: Option<u64>,
    sent_to: Vec<u64>,
}

impl Host for OnlyPreferred {
    fn permits(&self, _: &WorkUnit, worker: &Worker) -> bool {
        self.preferred.is_none_or(|id| id == worker.entry.id)
    }
    fn preferred_worker(&self, _: &WorkUnit) -> Option<u64> {
        self.preferred
    }
    fn send_attempt(&mut self, attempt: &Attempt) {
        self.sent_to.push(attempt.worker.entry.id);
    }
    fn cancel(&mut self, _: &Attempt) {}
    fn defer(&mut self, _: &WorkUnit, _: f64) {}
    fn abort(&mut self, _: &WorkUnit) {}
    fn probe(&mut self, _: &Worker) {}
    fn request_worker_list(&mut self) {}
    fn set_timer(&mut self, _: f64) {}
    fn log(&mut self, _: &str) {}
}

fn scheduler(host: &mut OnlyPreferred) -> Scheduler {
    let project_type = ProjectType {
        credit: 1.0,
        late_credit: 0.0,
        promised_turnaround: 0.4,
        turnaround_stretch: 0.0,
        hard_limit: 3.0,
        idempotency: Idempotency::Idempotent,
        machine_kind: None,
    };
    let types = vec![project_type];
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
    let mut scheduler = Scheduler::new(Rng::new(7), stages, ListPolling::default());
    let entry = |id| ListEntry {
        id,
        zone: (id % 4) as u16,
        cell: 0,
        machine_kind: 0,
        state: ListState::Ready,
        started_at: 0.0,
        project_types: ProjectTypeSet::default(),
        pulls_work: false,
    };
    let entries: Vec<ListEntry> = (1..=WORKERS).map(entry).collect();
    scheduler.on_list_update(host, 0.0, ListUpdate::Full(&entries));
    scheduler
}

#[test]
fn untracked_preferred_worker_is_used() {
    let mut host = OnlyPreferred {
        preferred: None,
        sent_to: Vec::new(),
    };
    let mut scheduler = scheduler(&mut host);
    for id in 1..=WORKERS {
        host.preferred = Some(id);
        let work = WorkUnit::new(id, 0, None, 1.0, 1.0, 3.0);
        scheduler.on_arrival(&mut host, 1.0, &work);
        assert_eq!(host.sent_to.pop(), Some(id), "sent on arrival");
    }
}

#[test]
fn unlisted_preferred_worker_does_not_block_work() {
    let mut host = OnlyPreferred {
        preferred: Some(WORKERS + 1),
        sent_to: Vec::new(),
    };
    let mut scheduler = scheduler(&mut host);
    let gone = WorkUnit::new(1, 0, None, 1.0, 1.0, 3.0);
    scheduler.on_arrival(&mut host, 1.0, &gone);
    assert!(host.sent_to.is_empty());
    host.preferred = None;
    let other = WorkUnit::new(2, 0, None, 1.0, 1.0, 3.0);
    scheduler.on_arrival(&mut host, 1.0, &other);
    assert_eq!(
        host.sent_to.len(),
        2,
        "both are sent once any worker is permitted"
    );
}
