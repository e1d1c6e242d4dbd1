//! The lease by which a controller knows that it is in contact with a majority.

use mintlb_control::controller::contact::echo_clock::EchoClock;
use mintlb_control::controller::contact::quorum_contact::{CONTACT_LEASE, QuorumContact};
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use std::time::Duration;
use tokio::time::Instant;

const MOMENT: Duration = Duration::from_millis(1);

fn replicas(ids: &[u64]) -> Vec<Replica> {
    let replica = |id: &u64| Replica {
        id: ReplicaId(*id),
        address: format!("10.0.0.{id}:7661"),
        node_name: format!("edge-{id}"),
        zone: String::new(),
    };
    ids.iter().map(replica).collect()
}

fn set(ids: &[u64]) -> ReplicaSet {
    ReplicaSet {
        epoch: 1,
        previous: Vec::new(),
        current: replicas(ids),
    }
}

#[test]
fn a_majority_is_needed_and_the_own_replica_counts() {
    let now = Instant::now();
    let mut contact = QuorumContact::new(Some(ReplicaId(1)));
    assert!(contact.is_valid(now, &set(&[1])), "alone in its set");
    assert!(!contact.is_valid(now, &set(&[1, 2, 3])));
    contact.record_acknowledgement(ReplicaId(2), now);
    assert!(contact.is_valid(now, &set(&[1, 2, 3])));
    assert!(!contact.is_valid(now, &set(&[1, 2, 3, 4])));
}

#[test]
fn without_a_replica_a_majority_of_the_others_is_needed() {
    let now = Instant::now();
    let mut contact = QuorumContact::new(None);
    contact.record_acknowledgement(ReplicaId(2), now);
    assert!(!contact.is_valid(now, &set(&[1, 2, 3])));
    contact.record_acknowledgement(ReplicaId(3), now);
    assert!(contact.is_valid(now, &set(&[1, 2, 3])));
}

#[test]
fn while_the_set_changes_a_majority_of_both_sides_is_needed() {
    let now = Instant::now();
    let mut contact = QuorumContact::new(Some(ReplicaId(1)));
    contact.record_acknowledgement(ReplicaId(2), now);
    let joint = ReplicaSet {
        previous: replicas(&[1, 4, 5]),
        ..set(&[1, 2, 3])
    };
    assert!(!contact.is_valid(now, &joint));
    contact.record_acknowledgement(ReplicaId(4), now);
    assert!(contact.is_valid(now, &joint));
}

#[test]
fn the_lease_runs_from_the_sending_and_ends_by_itself() {
    let sent_at = Instant::now();
    let mut contact = QuorumContact::new(Some(ReplicaId(1)));
    contact.record_acknowledgement(ReplicaId(2), sent_at);
    assert!(contact.is_valid(sent_at + CONTACT_LEASE - MOMENT, &set(&[1, 2, 3])));
    assert!(!contact.is_valid(sent_at + CONTACT_LEASE, &set(&[1, 2, 3])));
    contact.record_majority_round(sent_at + MOMENT);
    assert!(contact.is_valid(sent_at + CONTACT_LEASE, &set(&[1, 2, 3])));
    assert!(!contact.is_valid(sent_at + CONTACT_LEASE + MOMENT, &set(&[1, 2, 3])));
}

#[test]
fn an_answer_that_is_read_late_proves_no_more_than_an_early_one() {
    let sent_at = Instant::now();
    let mut contact = QuorumContact::new(Some(ReplicaId(1)));
    contact.record_acknowledgement(ReplicaId(2), sent_at + CONTACT_LEASE);
    contact.record_acknowledgement(ReplicaId(2), sent_at);
    contact.record_majority_round(sent_at);
    assert!(contact.is_valid(sent_at + CONTACT_LEASE * 2 - MOMENT, &set(&[1, 2, 3])));
    assert!(!contact.is_valid(sent_at + CONTACT_LEASE * 2, &set(&[1, 2, 3])));
}

#[test]
fn a_stamp_tells_when_it_was_made_in_its_own_life_alone() {
    let started_at = Instant::now();
    let echo_clock = EchoClock::new(started_at, u64::MAX - 5);
    let (issued_at, read_at) = (started_at + MOMENT, started_at + CONTACT_LEASE);
    let timestamp = echo_clock.timestamp(issued_at);
    assert_eq!(echo_clock.issued_at(read_at, timestamp), Some(issued_at));
    assert_eq!(
        echo_clock.issued_at(started_at, timestamp),
        None,
        "it can't have been made yet"
    );
    let another_life = EchoClock::new(started_at, 1 << 40);
    assert_eq!(another_life.issued_at(read_at, timestamp), None);
}
