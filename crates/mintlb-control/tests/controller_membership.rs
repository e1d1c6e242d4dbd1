//! Membership of the replica set, at a cluster of controllers: bootstrap, loss of disks, restart,
//! shutdown.

mod builders;
mod controllers;

use axum::http::{Method, StatusCode};
use builders::configuration_text;
use controllers::Cluster;
use mintlb_common::record::CONFIGURATION;
use mintlb_register::replica_set::{ReplicaId, ReplicaSet};

/// What a controller does when it is text to stop.
fn leave(cluster: &Cluster, index: usize) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(cluster.at(index).membership.leave());
}

#[test]
fn a_lost_disk_loses_nothing_and_its_machine_rejoins() {
    let mut cluster = Cluster::of_size(3);
    assert_eq!(
        cluster.configure(0, 0, &configuration_text(4)),
        StatusCode::OK
    );
    let lost = cluster.at(0).register.replica_id();
    cluster.kill(0);
    assert_eq!(
        cluster.configure(1, 4, &configuration_text(5)),
        StatusCode::OK
    );
    cluster.lose_disk(0);
    cluster.restart(0);
    let new = cluster.at(0).register.replica_id();
    assert_ne!(new, lost);
    cluster.wait_for_set(0, 3, move |set| {
        new.is_some_and(|id| set.current_replica(id).is_some())
    });
    cluster.kill(2);
    assert_eq!(
        cluster.read_configuration(0),
        (StatusCode::OK, configuration_text(5))
    );
    assert_eq!(
        cluster.configure(0, 5, &configuration_text(8)),
        StatusCode::OK
    );
    assert_eq!(
        cluster.read_configuration(1),
        (StatusCode::OK, configuration_text(8))
    );
}

#[test]
fn a_restart_of_all_recovers_the_configuration() {
    let mut cluster = Cluster::of_size(3);
    assert_eq!(
        cluster.configure(2, 0, &configuration_text(4)),
        StatusCode::OK
    );
    (0..3).for_each(|index| cluster.kill(index));
    (1..3).for_each(|index| cluster.restart(index));
    cluster.wait_for_record(1, |record| {
        record.key == CONFIGURATION && record.version == 4
    });
    assert_eq!(
        cluster.read_configuration(2),
        (StatusCode::OK, configuration_text(4))
    );
}

#[test]
fn without_a_seed_with_a_disk_the_others_bootstrap_one_register() {
    let cluster = Cluster::with_disks(&[false, false, false, true, true, true]);
    assert_eq!(
        cluster.configure(0, 0, &configuration_text(4)),
        StatusCode::OK,
        "through one without a disk"
    );
    assert_eq!(
        cluster.read_configuration(1),
        (StatusCode::OK, configuration_text(4))
    );
    assert_eq!(
        cluster.read_configuration(5),
        (StatusCode::OK, configuration_text(4))
    );
    let (status, _) = cluster.call(2, Method::GET, "/v1/retire/storage-9", None, "");
    assert_eq!(status, StatusCode::NOT_FOUND, "passed on to a replica");
}

#[test]
fn a_controller_shutting_down_leaves_a_replica_set_larger_than_required() {
    let mut cluster = Cluster::of_size(4);
    let ids: Vec<Option<ReplicaId>> = (0..4)
        .map(|index| cluster.at(index).register.replica_id())
        .collect();
    let is_out = |index: usize| {
        let id = ids[index].unwrap();
        move |set: &ReplicaSet| set.current_replica(id).is_none()
    };
    leave(&cluster, 3);
    cluster.wait_for_set(0, 3, is_out(3));
    cluster.kill(3);
    leave(&cluster, 2);
    let set = cluster.at(2).register.set().unwrap();
    assert!(
        set.current_replica(ids[2].unwrap()).is_some(),
        "three are needed: {set:?}"
    );
    cluster.restart(3);
    cluster.wait_for_set(0, 4, move |set| {
        set.current_replica(ids[3].unwrap()).is_some()
    });
}

#[test]
fn controllers_that_do_not_count_have_no_vote_and_are_gone_for_good() {
    let mut cluster = Cluster::with_counted(&[true, true, true, false, false, false, false]);
    assert_eq!(
        cluster.configure(4, 0, &configuration_text(4)),
        StatusCode::OK,
        "they take calls"
    );
    (3..7).for_each(|index| cluster.kill(index));
    cluster.kill(0);
    for index in [1, 2] {
        assert_eq!(
            cluster.read_configuration(index),
            (StatusCode::OK, configuration_text(4))
        );
    }
    assert_eq!(
        cluster.configure(1, 4, &configuration_text(5)),
        StatusCode::OK
    );
}

/// The seeds have disks, but their machines may all be lost at any time.
#[test]
fn where_no_seed_counts_another_controller_begins_the_register() {
    let cluster = Cluster::with_counted(&[false, false, false, true, true, true]);
    let set = cluster.at(0).register.set().unwrap();
    assert!(set.current.iter().all(|replica| replica.counts()));
    assert_eq!(
        cluster.configure(0, 0, &configuration_text(4)),
        StatusCode::OK
    );
}

/// The first seed does not count: it leaves the register to those that do.
#[test]
fn a_register_is_begun_by_a_seed_that_counts() {
    let cluster = Cluster::with_counted(&[false, true, false, true, true]);
    let set = cluster.at(0).register.set().unwrap();
    assert!(set.current.iter().all(|replica| replica.counts()));
    assert_eq!(
        cluster.configure(0, 0, &configuration_text(4)),
        StatusCode::OK
    );
}
