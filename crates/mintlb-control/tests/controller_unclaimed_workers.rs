//! Expiry of workers that no controller claims.

mod builders;

use builders::worker;
use mintlb_common::record::{WorkerRecord, WorkerState};
use mintlb_control::controller::workers::unclaimed_workers::{
    UNCLAIMED_TIMEOUT, UnclaimedWorkers, id_hash,
};
use mintlb_gossip::record_store::RecordStore;
use rustc_hash::FxHashSet;
use std::time::Duration;
use tokio::time::Instant;

struct Fixture {
    now: Instant,
    records: RecordStore,
    unclaimed_workers: UnclaimedWorkers,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture {
            now: Instant::now(),
            records: RecordStore::default(),
            unclaimed_workers: UnclaimedWorkers::default(),
        }
    }

    fn publish(&mut self, record: WorkerRecord) {
        self.records.apply_local(self.now, record.to_record());
    }

    fn expire(&mut self, after: Duration, claimed: &[&str]) -> Vec<WorkerRecord> {
        self.now += after;
        let claimed: FxHashSet<u32> = claimed.iter().map(|id| id_hash(id)).collect();
        self.unclaimed_workers
            .expire(self.now, self.records.table(), &claimed)
    }
}

#[test]
fn a_worker_unclaimed_for_the_timeout_expires() {
    let mut fixture = Fixture::new();
    fixture.publish(worker("a", 3, WorkerState::InService));
    fixture.publish(worker("b", 3, WorkerState::InService));
    assert!(fixture.expire(Duration::ZERO, &["b"]).is_empty());
    assert!(fixture.expire(UNCLAIMED_TIMEOUT / 2, &["b"]).is_empty());
    assert_eq!(
        fixture.expire(UNCLAIMED_TIMEOUT / 2, &["b"]),
        [worker("a", 3, WorkerState::Unresponsive)]
    );
}

#[test]
fn a_worker_claimed_or_published_again_does_not_expire() {
    let mut fixture = Fixture::new();
    fixture.publish(worker("a", 3, WorkerState::InService));
    fixture.expire(Duration::ZERO, &[]);
    fixture.expire(UNCLAIMED_TIMEOUT / 2, &["a"]);
    assert!(
        fixture.expire(UNCLAIMED_TIMEOUT / 2, &[]).is_empty(),
        "the time starts anew"
    );
    fixture.publish(worker("a", 4, WorkerState::InService));
    assert!(
        fixture.expire(UNCLAIMED_TIMEOUT, &[]).is_empty(),
        "it has called since"
    );
    assert_eq!(fixture.expire(UNCLAIMED_TIMEOUT, &[]).len(), 1);
}

#[test]
fn ended_workers_do_not_expire() {
    let mut fixture = Fixture::new();
    fixture.publish(worker("a", 3, WorkerState::Unresponsive));
    fixture.publish(worker("b", 3, WorkerState::Deregistered));
    fixture.expire(Duration::ZERO, &[]);
    assert!(fixture.expire(UNCLAIMED_TIMEOUT, &[]).is_empty());
}
