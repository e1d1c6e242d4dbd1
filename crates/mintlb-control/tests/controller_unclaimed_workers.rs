//! Workers that no controller hears.

use mintlb_common::record::{WorkerRecord, WorkerState};
use mintlb_control::controller::workers::unclaimed_workers::{
    UNCLAIMED_TIMEOUT, UnclaimedWorkers, id_hash,
};
use mintlb_gossip::record_store::RecordStore;
use rustc_hash::FxHashSet;
use std::time::Duration;
use tokio::time::Instant;

fn worker(id: &str, sequence: u64, state: WorkerState) -> WorkerRecord {
    WorkerRecord {
        instance_id: id.to_string(),
        service: "s".to_string(),
        address: "10.128.0.9:8080".to_string(),
        zone: "z".to_string(),
        capacity_slots: 8,
        state,
        call_sequence: sequence,
        slow_start_until_ms: 0,
    }
}

struct World {
    now: Instant,
    records: RecordStore,
    unclaimed_workers: UnclaimedWorkers,
}

impl World {
    fn new() -> World {
        World {
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
fn a_worker_that_nobody_claims_for_long_is_silent() {
    let mut world = World::new();
    world.publish(worker("a", 3, WorkerState::InService));
    world.publish(worker("b", 3, WorkerState::InService));
    assert!(world.expire(Duration::ZERO, &["b"]).is_empty());
    assert!(world.expire(UNCLAIMED_TIMEOUT / 2, &["b"]).is_empty());
    assert_eq!(
        world.expire(UNCLAIMED_TIMEOUT / 2, &["b"]),
        [worker("a", 3, WorkerState::Unresponsive)]
    );
}

#[test]
fn a_worker_that_is_claimed_or_published_again_is_none() {
    let mut world = World::new();
    world.publish(worker("a", 3, WorkerState::InService));
    world.expire(Duration::ZERO, &[]);
    world.expire(UNCLAIMED_TIMEOUT / 2, &["a"]);
    assert!(
        world.expire(UNCLAIMED_TIMEOUT / 2, &[]).is_empty(),
        "the time begins anew"
    );
    world.publish(worker("a", 4, WorkerState::InService));
    assert!(
        world.expire(UNCLAIMED_TIMEOUT, &[]).is_empty(),
        "it has called since"
    );
    assert_eq!(world.expire(UNCLAIMED_TIMEOUT, &[]).len(), 1);
}

#[test]
fn what_has_ended_is_no_orphan() {
    let mut world = World::new();
    world.publish(worker("a", 3, WorkerState::Unresponsive));
    world.publish(worker("b", 3, WorkerState::Deregistered));
    world.expire(Duration::ZERO, &[]);
    assert!(world.expire(UNCLAIMED_TIMEOUT, &[]).is_empty());
}
