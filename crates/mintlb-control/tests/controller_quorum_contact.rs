//! The lease that proves contact with a majority, and the timestamps that peers echo.

mod builders;

use builders::{replica_set, replicas};
use mintlb_control::controller::contact::echo_clock::EchoClock;
use mintlb_control::controller::contact::quorum_contact::{CONTACT_LEASE, QuorumContact};
use mintlb_register::replica_set::{ReplicaId, ReplicaSet};
use std::time::Duration;
use tokio::time::Instant;

const ONE_MS: Duration = Duration::from_millis(1);

fn set(ids: &[u64]) -> ReplicaSet {
    replica_set(1, ids)
}

#[test]
fn contact_requires_a_majority_including_the_own_replica() {
    let now = Instant::now();
    let mut contact = QuorumContact::new(Some(ReplicaId(1)));
    assert!(contact.is_valid(now, &set(&[1])), "alone in its set");
    assert!(!contact.is_valid(now, &set(&[1, 2, 3])));
    contact.record_acknowledgement(ReplicaId(2), now);
    assert!(contact.is_valid(now, &set(&[1, 2, 3])));
    assert!(!contact.is_valid(now, &set(&[1, 2, 3, 4])));
}

#[test]
fn without_an_own_replica_contact_requires_a_majority_of_the_others() {
    let now = Instant::now();
    let mut contact = QuorumContact::new(None);
    contact.record_acknowledgement(ReplicaId(2), now);
    assert!(!contact.is_valid(now, &set(&[1, 2, 3])));
    contact.record_acknowledgement(ReplicaId(3), now);
    assert!(contact.is_valid(now, &set(&[1, 2, 3])));
}

#[test]
fn in_a_joint_set_contact_requires_a_majority_of_both_sets() {
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
fn the_lease_runs_from_the_sending_and_expires() {
    let sent_at = Instant::now();
    let mut contact = QuorumContact::new(Some(ReplicaId(1)));
    contact.record_acknowledgement(ReplicaId(2), sent_at);
    assert!(contact.is_valid(sent_at + CONTACT_LEASE - ONE_MS, &set(&[1, 2, 3])));
    assert!(!contact.is_valid(sent_at + CONTACT_LEASE, &set(&[1, 2, 3])));
    contact.record_majority_round(sent_at + ONE_MS);
    assert!(contact.is_valid(sent_at + CONTACT_LEASE, &set(&[1, 2, 3])));
    assert!(!contact.is_valid(sent_at + CONTACT_LEASE + ONE_MS, &set(&[1, 2, 3])));
}

#[test]
fn an_acknowledgement_that_is_read_late_extends_no_lease() {
    let sent_at = Instant::now();
    let mut contact = QuorumContact::new(Some(ReplicaId(1)));
    contact.record_acknowledgement(ReplicaId(2), sent_at + CONTACT_LEASE);
    contact.record_acknowledgement(ReplicaId(2), sent_at);
    contact.record_majority_round(sent_at);
    assert!(contact.is_valid(sent_at + CONTACT_LEASE * 2 - ONE_MS, &set(&[1, 2, 3])));
    assert!(!contact.is_valid(sent_at + CONTACT_LEASE * 2, &set(&[1, 2, 3])));
}

#[test]
fn a_timestamp_is_valid_in_its_own_incarnation_only() {
    let started_at = Instant::now();
    let echo_clock = EchoClock::new(started_at, u64::MAX - 5);
    let (issued_at, read_at) = (started_at + ONE_MS, started_at + CONTACT_LEASE);
    let timestamp = echo_clock.timestamp(issued_at);
    assert_eq!(echo_clock.issued_at(read_at, timestamp), Some(issued_at));
    assert_eq!(
        echo_clock.issued_at(started_at, timestamp),
        None,
        "it can't have been issued yet"
    );
    let other_incarnation = EchoClock::new(started_at, 1 << 40);
    assert_eq!(other_incarnation.issued_at(read_at, timestamp), None);
}
