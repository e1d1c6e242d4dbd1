//! Changes of the replica set: joint sets, replacement of members, bounds of its size.

use crate::support::cluster::Cluster;
use crate::support::{MAX_REPLICAS, add, address, replica, replica_at};
use mintlb_common::quorum::FaultTolerance;
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::join::{JoinView, MAX_JOIN_DELAY};
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use std::time::Duration;

#[test]
fn a_replica_is_added_by_a_joint_set_and_votes_from_then_on() {
    let mut cluster = Cluster::new(3);
    let joint = cluster.change(add(replica(4))).unwrap().chosen.state;
    assert!(joint.replicas.is_joint());
    assert_eq!(
        (joint.replicas.previous.len(), joint.replicas.current.len()),
        (3, 4)
    );
    assert_eq!(
        cluster.outcome(Change::LeaveJoint),
        Some(ChangeOutcome::Applied)
    );
    assert_eq!(
        cluster.outcome(Change::LeaveJoint),
        Some(ChangeOutcome::AlreadyApplied)
    );
    assert_eq!(
        cluster.outcome(add(replica(4))),
        Some(ChangeOutcome::AlreadyApplied)
    );
    cluster.set_unreachable([1, 2]);
    assert_eq!(
        cluster.outcome(Change::Identity),
        None,
        "two of four are no majority"
    );
}

#[test]
fn a_new_disk_replaces_the_member_at_its_address() {
    let mut cluster = Cluster::new(3);
    cluster.set_unreachable([2]);
    let successor = replica_at(ReplicaId(5), &address(2));
    assert_eq!(
        cluster.outcome(add(successor.clone())),
        Some(ChangeOutcome::Applied)
    );
    assert_eq!(
        cluster.outcome(Change::LeaveJoint),
        Some(ChangeOutcome::Applied)
    );
    assert_eq!(
        cluster.replica_set().current,
        [replica(1), successor, replica(3)]
    );
}

#[test]
fn in_a_full_set_a_new_replica_replaces_an_unresponsive_one_only() {
    let mut cluster = Cluster::new(3);
    let add_to_full_set = |unresponsive| Change::AddReplica {
        replica: replica(6),
        unresponsive,
        tolerance: FaultTolerance::of_machines(1),
        replaces_in_full_set_only: false,
        max_replicas: 3,
    };
    assert_eq!(
        cluster.outcome(add_to_full_set(Vec::new())),
        Some(ChangeOutcome::SetFull)
    );
    cluster.set_unreachable([3]);
    assert_eq!(
        cluster.outcome(add_to_full_set(vec![ReplicaId(3)])),
        Some(ChangeOutcome::Applied)
    );
    let members: Vec<ReplicaId> = cluster
        .replica_set()
        .current
        .iter()
        .map(|replica| replica.id)
        .collect();
    assert_eq!(members, [1, 2, 6].map(ReplicaId));
}

#[test]
fn a_set_that_may_not_go_on_after_a_loss_grows_though_a_replica_is_unresponsive() {
    let mut cluster = Cluster::new(3);
    cluster.set_unreachable([3]);
    // A set of five goes on after the loss of any two.
    let add = |id| Change::AddReplica {
        replica: replica(id),
        unresponsive: vec![ReplicaId(3)],
        tolerance: FaultTolerance::of_machines(2),
        replaces_in_full_set_only: false,
        max_replicas: MAX_REPLICAS,
    };
    for (id, size) in [(6, 4), (8, 5)] {
        assert_eq!(cluster.outcome(add(id)), Some(ChangeOutcome::Applied));
        assert_eq!(cluster.replica_set().current.len(), size);
        assert_eq!(
            cluster.outcome(Change::LeaveJoint),
            Some(ChangeOutcome::Applied)
        );
    }
    assert_eq!(cluster.outcome(add(7)), Some(ChangeOutcome::Applied));
    let members: Vec<ReplicaId> = cluster
        .replica_set()
        .current
        .iter()
        .map(|replica| replica.id)
        .collect();
    assert_eq!(members, [1, 2, 7, 6, 8].map(ReplicaId), "in place of it");
}

/// A replica's view of a set of three, with these members silent and unresponsive.
fn join_view<'a>(set: &'a ReplicaSet, replica: &'a Replica, unresponsive: &[u64]) -> JoinView<'a> {
    JoinView {
        set,
        replica,
        unresponsive: unresponsive.iter().copied().map(ReplicaId).collect(),
        has_silent_member: true,
        waited: Duration::ZERO,
        was_member: false,
        tolerance: FaultTolerance::of_machines(1),
        max_replicas: MAX_REPLICAS,
    }
}

/// Whether the change replaces an unresponsive member in a full set only.
fn replaces_in_full_set_only(change: Option<Change>) -> Option<bool> {
    match change {
        Some(Change::AddReplica {
            replaces_in_full_set_only,
            ..
        }) => Some(replaces_in_full_set_only),
        _ => None,
    }
}

#[test]
fn a_replica_waits_for_the_place_of_a_silent_member() {
    let set = Cluster::new(3).replica_set();
    let newcomer = replica(6);
    let waiting = join_view(&set, &newcomer, &[]);
    assert_eq!(waiting.next_change(), None);
    let known = join_view(&set, &newcomer, &[3]);
    assert_eq!(replaces_in_full_set_only(known.next_change()), Some(false));
    let all_respond = JoinView {
        has_silent_member: false,
        ..waiting.clone()
    };
    assert!(all_respond.next_change().is_some(), "the set grows");
    let has_waited = JoinView {
        waited: MAX_JOIN_DELAY,
        ..waiting.clone()
    };
    assert!(has_waited.next_change().is_some());
    let needed = JoinView {
        tolerance: FaultTolerance::of_machines(2),
        ..waiting
    };
    assert!(needed.next_change().is_some(), "the set is too small");
}

#[test]
fn the_place_of_a_predecessor_is_taken_at_once() {
    let set = Cluster::new(3).replica_set();
    let successor = replica_at(ReplicaId(5), &address(2));
    assert!(join_view(&set, &successor, &[]).next_change().is_some());
}

#[test]
fn a_removed_member_takes_nobodys_place() {
    let set = Cluster::new(3).replica_set();
    let removed = replica(6);
    let view = JoinView {
        was_member: true,
        ..join_view(&set, &removed, &[3])
    };
    assert_eq!(replaces_in_full_set_only(view.next_change()), Some(true));
    let view = JoinView {
        unresponsive: Vec::new(),
        ..view
    };
    assert!(view.next_change().is_some(), "nor does it wait for one");
}

#[test]
fn a_replica_is_removed_only_from_a_set_that_is_larger_than_needed() {
    let mut cluster = Cluster::new(4);
    cluster.set_unreachable([4]);
    let remove = |id| Change::RemoveReplica {
        id: ReplicaId(id),
        tolerance: FaultTolerance::of_machines(1),
    };
    assert_eq!(cluster.outcome(remove(4)), Some(ChangeOutcome::Applied));
    assert_eq!(
        cluster.outcome(Change::LeaveJoint),
        Some(ChangeOutcome::Applied)
    );
    assert_eq!(
        cluster.outcome(remove(4)),
        Some(ChangeOutcome::AlreadyApplied)
    );
    assert_eq!(
        cluster.outcome(remove(3)),
        Some(ChangeOutcome::TooFewReplicas)
    );
}
