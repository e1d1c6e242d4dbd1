//! The file behind a replica: what it keeps, and what becomes of a torn one.

use mintlb_control::controller::register::acceptor_storage::{AcceptorStorage, FILE};
use mintlb_register::acceptor::DurableWrite;
use mintlb_register::ballot::Ballot;
use mintlb_register::message::AcceptedValue;
use mintlb_register::replica_set::{Replica, ReplicaId};
use mintlb_register::state::ControlState;
use std::sync::Arc;

fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        proposer: 7,
    }
}

fn accepted(counter: u64) -> AcceptedValue {
    let address = "10.0.0.1:7661".to_string();
    let replica = Replica {
        id: ReplicaId(1),
        address,
        node_name: "edge-1".to_string(),
        zone: "z".to_string(),
    };
    let state = ControlState {
        revision: counter,
        ..ControlState::bootstrap(replica)
    };
    AcceptedValue {
        ballot: ballot(counter),
        state: Arc::new(state),
    }
}

/// Waits for a sync on the calling thread.
fn synced(store: &AcceptorStorage, sync: DurableWrite) {
    store.sync(sync).blocking_recv().unwrap();
}

#[test]
fn identity_promise_and_value_are_kept() {
    let folder = tempfile::tempdir().unwrap();
    let opened = AcceptorStorage::open(folder.path(), ReplicaId(41)).unwrap();
    assert_eq!((opened.id, opened.state.accepted), (ReplicaId(41), None));
    synced(&opened.storage, DurableWrite::Promise(ballot(3)));
    synced(&opened.storage, DurableWrite::Accepted(accepted(3)));
    synced(&opened.storage, DurableWrite::Promise(ballot(5)));
    synced(&opened.storage, DurableWrite::Nothing);
    assert!(!opened.storage.is_busy());
    drop(opened.storage);
    let again = AcceptorStorage::open(folder.path(), ReplicaId(99)).unwrap();
    assert_eq!(
        again.id,
        ReplicaId(41),
        "the identity offered to an existing file is not taken"
    );
    assert_eq!(
        (again.state.promised, again.state.accepted),
        (ballot(5), Some(accepted(3)))
    );
}

#[test]
fn a_file_that_another_process_has_open_is_left_alone() {
    let folder = tempfile::tempdir().unwrap();
    let opened = AcceptorStorage::open(folder.path(), ReplicaId(41)).unwrap();
    assert!(AcceptorStorage::open(folder.path(), ReplicaId(42)).is_err());
    synced(&opened.storage, DurableWrite::Promise(ballot(3)));
    drop(opened.storage);
    assert_eq!(
        AcceptorStorage::open(folder.path(), ReplicaId(43))
            .unwrap()
            .id,
        ReplicaId(41)
    );
}

#[test]
fn what_waits_is_written_together_and_in_order() {
    let folder = tempfile::tempdir().unwrap();
    let opened = AcceptorStorage::open(folder.path(), ReplicaId(41)).unwrap();
    let waiting: Vec<_> = (1..=50)
        .map(|counter| match counter % 2 {
            0 => opened.storage.sync(DurableWrite::Promise(ballot(counter))),
            _ => opened
                .storage
                .sync(DurableWrite::Accepted(accepted(counter))),
        })
        .collect();
    waiting
        .into_iter()
        .for_each(|sync| sync.blocking_recv().unwrap());
    drop(opened.storage);
    let again = AcceptorStorage::open(folder.path(), ReplicaId(99)).unwrap();
    assert_eq!(
        (again.state.promised, again.state.accepted),
        (ballot(50), Some(accepted(49)))
    );
}

#[test]
fn a_file_that_is_not_whole_is_put_aside_and_the_replica_begins_anew() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join(FILE), b"torn").unwrap();
    let opened = AcceptorStorage::open(folder.path(), ReplicaId(42)).unwrap();
    assert_eq!((opened.id, opened.state.accepted), (ReplicaId(42), None));
    assert!(folder.path().join("register.redb.unreadable").exists());
}

#[test]
fn a_file_that_was_never_finished_is_made_again() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("register.redb.new"), b"half").unwrap();
    let opened = AcceptorStorage::open(folder.path(), ReplicaId(43)).unwrap();
    assert_eq!(opened.id, ReplicaId(43));
}
