//! The lease by which a controller knows that it is in contact with a majority.

use mintlb_control::controller::contact::{Contact, LEASE};
use mintlb_control::controller::stamps::Stamps;
use mintlb_register::replica_set::{Replica, ReplicaSet};
use std::time::Duration;
use tokio::time::Instant;

const MOMENT: Duration = Duration::from_millis(1);

fn replicas(ids: &[u64]) -> Vec<Replica> {
    let replica = |id: &u64| Replica {
        id: *id,
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
    let mut contact = Contact::new(Some(1));
    assert!(contact.is_held(now, &set(&[1])), "alone in its set");
    assert!(!contact.is_held(now, &set(&[1, 2, 3])));
    contact.reached(2, now);
    assert!(contact.is_held(now, &set(&[1, 2, 3])));
    assert!(!contact.is_held(now, &set(&[1, 2, 3, 4])));
}

#[test]
fn without_a_replica_a_majority_of_the_others_is_needed() {
    let now = Instant::now();
    let mut contact = Contact::new(None);
    contact.reached(2, now);
    assert!(!contact.is_held(now, &set(&[1, 2, 3])));
    contact.reached(3, now);
    assert!(contact.is_held(now, &set(&[1, 2, 3])));
}

#[test]
fn while_the_set_changes_a_majority_of_both_sides_is_needed() {
    let now = Instant::now();
    let mut contact = Contact::new(Some(1));
    contact.reached(2, now);
    let joint = ReplicaSet {
        previous: replicas(&[1, 4, 5]),
        ..set(&[1, 2, 3])
    };
    assert!(!contact.is_held(now, &joint));
    contact.reached(4, now);
    assert!(contact.is_held(now, &joint));
}

#[test]
fn the_lease_runs_from_the_sending_and_ends_by_itself() {
    let sent_at = Instant::now();
    let mut contact = Contact::new(Some(1));
    contact.reached(2, sent_at);
    assert!(contact.is_held(sent_at + LEASE - MOMENT, &set(&[1, 2, 3])));
    assert!(!contact.is_held(sent_at + LEASE, &set(&[1, 2, 3])));
    contact.majority_reached(sent_at + MOMENT);
    assert!(contact.is_held(sent_at + LEASE, &set(&[1, 2, 3])));
    assert!(!contact.is_held(sent_at + LEASE + MOMENT, &set(&[1, 2, 3])));
}

#[test]
fn an_answer_that_is_read_late_proves_no_more_than_an_early_one() {
    let sent_at = Instant::now();
    let mut contact = Contact::new(Some(1));
    contact.reached(2, sent_at + LEASE);
    contact.reached(2, sent_at);
    contact.majority_reached(sent_at);
    assert!(contact.is_held(sent_at + LEASE * 2 - MOMENT, &set(&[1, 2, 3])));
    assert!(!contact.is_held(sent_at + LEASE * 2, &set(&[1, 2, 3])));
}

#[test]
fn a_stamp_tells_when_it_was_made_in_its_own_life_alone() {
    let begun = Instant::now();
    let stamps = Stamps::new(begun, u64::MAX - 5);
    let (made_at, read_at) = (begun + MOMENT, begun + LEASE);
    let stamp = stamps.stamp(made_at);
    assert_eq!(stamps.made_at(read_at, stamp), Some(made_at));
    assert_eq!(
        stamps.made_at(begun, stamp),
        None,
        "it can't have been made yet"
    );
    let another_life = Stamps::new(begun, 1 << 40);
    assert_eq!(another_life.made_at(read_at, stamp), None);
}
