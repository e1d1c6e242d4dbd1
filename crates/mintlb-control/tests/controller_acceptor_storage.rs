//! The file of a replica's acceptor state: its contents after a restart, and damaged files.

mod builders;

use builders::{ValueBuilder, ballot, replica_set};
use mintlb_control::controller::register::acceptor_storage::{AcceptorStorage, FILE};
use mintlb_control::controller::register::replica_core::Completion;
use mintlb_register::message::{AcceptedValue, Reply, Request, RequestBody};
use mintlb_register::replica_set::ReplicaId;

fn accepted(counter: u64) -> AcceptedValue {
    ValueBuilder::new(counter, replica_set(1, &[1])).build()
}

fn prepare(counter: u64) -> Request {
    request(RequestBody::Prepare {
        ballot: ballot(counter),
        known: None,
    })
}

fn accept(counter: u64) -> Request {
    request(RequestBody::Accept {
        proposed: accepted(counter),
    })
}

fn request(body: RequestBody) -> Request {
    Request {
        target: ReplicaId(41),
        body,
    }
}

fn is_granted(completion: &Completion) -> bool {
    matches!(
        completion,
        Completion::Reply(Reply::Promise { .. } | Reply::Accepted { .. } | Reply::Read { .. })
    )
}

/// Waits on the calling thread until a request is granted, and so synced.
fn grant(storage: &AcceptorStorage, request: Request) {
    let completion = storage.request(request).blocking_recv().unwrap().unwrap();
    assert!(is_granted(&completion), "{completion:?}");
}

#[test]
fn identity_promise_and_value_survive_a_restart() {
    let directory = tempfile::tempdir().unwrap();
    let opened = AcceptorStorage::open(directory.path(), ReplicaId(41)).unwrap();
    assert_eq!((opened.id, opened.state.accepted), (ReplicaId(41), None));
    grant(&opened.storage, prepare(3));
    grant(&opened.storage, accept(3));
    grant(&opened.storage, prepare(5));
    grant(&opened.storage, request(RequestBody::Read { known: None }));
    assert!(!opened.storage.is_busy());
    drop(opened.storage);
    let reopened = AcceptorStorage::open(directory.path(), ReplicaId(99)).unwrap();
    assert_eq!(
        reopened.id,
        ReplicaId(41),
        "the identity offered to an existing file is not taken"
    );
    assert_eq!(
        (reopened.state.promised, reopened.state.accepted),
        (ballot(5), Some(accepted(3)))
    );
}

#[test]
fn a_file_open_in_another_process_is_left_unchanged() {
    let directory = tempfile::tempdir().unwrap();
    let opened = AcceptorStorage::open(directory.path(), ReplicaId(41)).unwrap();
    assert!(AcceptorStorage::open(directory.path(), ReplicaId(42)).is_err());
    grant(&opened.storage, prepare(3));
    drop(opened.storage);
    assert_eq!(
        AcceptorStorage::open(directory.path(), ReplicaId(43))
            .unwrap()
            .id,
        ReplicaId(41)
    );
}

#[test]
fn queued_writes_are_committed_together_and_in_order() {
    let directory = tempfile::tempdir().unwrap();
    let opened = AcceptorStorage::open(directory.path(), ReplicaId(41)).unwrap();
    let waiting: Vec<_> = (1..=50)
        .map(|counter| match counter % 2 {
            0 => opened.storage.request(prepare(counter)),
            _ => opened.storage.request(accept(counter)),
        })
        .collect();
    waiting
        .into_iter()
        .for_each(|sync| assert!(is_granted(&sync.blocking_recv().unwrap().unwrap())));
    drop(opened.storage);
    let reopened = AcceptorStorage::open(directory.path(), ReplicaId(99)).unwrap();
    assert_eq!(
        (reopened.state.promised, reopened.state.accepted),
        (ballot(50), Some(accepted(49)))
    );
}

#[test]
fn a_damaged_file_is_quarantined_and_the_replica_starts_anew() {
    let directory = tempfile::tempdir().unwrap();
    std::fs::write(directory.path().join(FILE), b"torn").unwrap();
    let opened = AcceptorStorage::open(directory.path(), ReplicaId(42)).unwrap();
    assert_eq!((opened.id, opened.state.accepted), (ReplicaId(42), None));
    assert!(directory.path().join("register.redb.unreadable").exists());
}

#[test]
fn an_incomplete_new_file_is_created_again() {
    let directory = tempfile::tempdir().unwrap();
    std::fs::write(directory.path().join("register.redb.new"), b"half").unwrap();
    let opened = AcceptorStorage::open(directory.path(), ReplicaId(43)).unwrap();
    assert_eq!(opened.id, ReplicaId(43));
}
