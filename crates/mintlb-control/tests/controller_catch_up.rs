//! Catching up of a replica that has missed changes.

mod builders;

use builders::{ValueBuilder, replica, replica_set};
use mintlb_control::controller::register::acceptor_storage::AcceptorStorage;
use mintlb_control::controller::register::local_replica::LocalReplica;
use mintlb_register::ballot::Ballot;
use mintlb_register::message::{AcceptedValue, Reply, Request, RequestBody};
use mintlb_register::replica_set::ReplicaId;

/// Runs a future on the calling thread.
fn wait<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(future)
}

/// A chosen value whose replica set has this only member.
fn chosen(counter: u64, member: u64) -> AcceptedValue {
    ValueBuilder::new(counter, replica_set(1, &[member])).build()
}

#[test]
fn a_replica_that_missed_changes_catches_up_in_one_step() {
    for missed_from in [1, 100, 499] {
        let folder = tempfile::tempdir().unwrap();
        let open = || {
            LocalReplica::new(
                AcceptorStorage::open(folder.path(), ReplicaId(7)).unwrap(),
                replica(7),
            )
        };
        let local = open();
        wait(local.catch_up(&chosen(missed_from, 7)));
        wait(local.catch_up(&chosen(500, 7)));
        wait(local.catch_up(&chosen(499, 7)));
        assert_eq!(
            local.accepted(),
            Some(chosen(500, 7)),
            "nothing older over something newer"
        );
        drop(local);
        assert_eq!(open().accepted(), Some(chosen(500, 7)), "it is on disk");
    }
}

#[test]
fn catching_up_breaks_no_promise_and_is_limited_to_members() {
    let folder = tempfile::tempdir().unwrap();
    let local = LocalReplica::new(
        AcceptorStorage::open(folder.path(), ReplicaId(7)).unwrap(),
        replica(7),
    );
    wait(local.catch_up(&chosen(5, 8)));
    assert_eq!(local.accepted(), None, "another's set");
    let promised = Ballot {
        counter: 9,
        proposer: 1,
    };
    let body = RequestBody::Prepare {
        ballot: promised,
        known: None,
    };
    let reply = wait(local.answer(Request {
        target: ReplicaId(7),
        body,
    }));
    assert!(matches!(reply, Ok(Reply::Promise { .. })), "{reply:?}");
    wait(local.catch_up(&chosen(8, 7)));
    assert_eq!(
        local.accepted(),
        Some(chosen(8, 7)),
        "a chosen value, though a higher ballot was promised"
    );
    drop(local);
    let opened = AcceptorStorage::open(folder.path(), ReplicaId(7)).unwrap();
    assert_eq!(
        (opened.state.promised, opened.state.accepted),
        (promised, Some(chosen(8, 7))),
        "the promise holds"
    );
}
