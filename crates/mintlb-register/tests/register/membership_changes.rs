//! Changes of the replica set: joint sets, replacement of members, bounds of its size.

use crate::support::cluster::Cluster;
use crate::support::{MAX_REPLICAS, add, address, replica, replica_at};
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::replica_set::ReplicaId;

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
fn a_set_that_is_not_full_grows_though_a_replica_is_unresponsive() {
    let mut cluster = Cluster::new(3);
    cluster.set_unreachable([3]);
    let change = Change::AddReplica {
        replica: replica(6),
        unresponsive: vec![ReplicaId(3)],
        max_replicas: MAX_REPLICAS,
    };
    assert_eq!(cluster.outcome(change), Some(ChangeOutcome::Applied));
    assert_eq!(cluster.replica_set().current.len(), 4);
}

#[test]
fn a_replica_is_removed_only_from_a_set_that_is_larger_than_needed() {
    let mut cluster = Cluster::new(4);
    cluster.set_unreachable([4]);
    let remove = |id| Change::RemoveReplica {
        id: ReplicaId(id),
        min_replicas: 3,
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
