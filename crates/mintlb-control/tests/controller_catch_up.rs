//! A replica that has missed changes catches up.

use mintlb_control::controller::register::acceptor_storage::AcceptorStorage;
use mintlb_control::controller::register::local_replica::LocalReplica;
use mintlb_register::ballot::Ballot;
use mintlb_register::message::{AcceptedValue, Reply, Request, RequestBody};
use mintlb_register::replica_set::{Replica, ReplicaId};
use mintlb_register::state::ControlState;
use std::sync::Arc;

fn wait<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(future)
}

fn identity(id: ReplicaId) -> Replica {
    let address = format!("10.0.0.{id}:7661");
    Replica {
        id,
        address,
        node_name: format!("edge-{id}"),
        zone: "z".to_string(),
    }
}

fn chosen(counter: u64, member: ReplicaId) -> AcceptedValue {
    let state = ControlState {
        revision: counter,
        ..ControlState::bootstrap(identity(member))
    };
    AcceptedValue {
        ballot: Ballot {
            counter,
            proposer: 3,
        },
        state: Arc::new(state),
    }
}

#[test]
fn a_replica_that_missed_hundreds_of_changes_holds_the_newest_at_once() {
    for missed_from in [1, 100, 499] {
        let folder = tempfile::tempdir().unwrap();
        let open = || {
            LocalReplica::new(
                AcceptorStorage::open(folder.path(), ReplicaId(7)).unwrap(),
                identity(ReplicaId(7)),
            )
        };
        let replica = open();
        wait(replica.catch_up(&chosen(missed_from, ReplicaId(7))));
        wait(replica.catch_up(&chosen(500, ReplicaId(7))));
        wait(replica.catch_up(&chosen(499, ReplicaId(7))));
        assert_eq!(
            replica.accepted(),
            Some(chosen(500, ReplicaId(7))),
            "nothing older over something newer"
        );
        drop(replica);
        assert_eq!(
            open().accepted(),
            Some(chosen(500, ReplicaId(7))),
            "it is on disk"
        );
    }
}

#[test]
fn catching_up_breaks_no_promise_and_is_for_members_alone() {
    let folder = tempfile::tempdir().unwrap();
    let replica = LocalReplica::new(
        AcceptorStorage::open(folder.path(), ReplicaId(7)).unwrap(),
        identity(ReplicaId(7)),
    );
    wait(replica.catch_up(&chosen(5, ReplicaId(8))));
    assert_eq!(replica.accepted(), None, "another's set");
    let promised = Ballot {
        counter: 9,
        proposer: 1,
    };
    let body = RequestBody::Prepare {
        ballot: promised,
        known: None,
    };
    let reply = wait(replica.answer(Request {
        target: ReplicaId(7),
        body,
    }));
    assert!(matches!(reply, Some(Reply::Promise { .. })), "{reply:?}");
    wait(replica.catch_up(&chosen(8, ReplicaId(7))));
    assert_eq!(
        replica.accepted(),
        Some(chosen(8, ReplicaId(7))),
        "a chosen value, though a higher ballot was promised"
    );
    drop(replica);
    let opened = AcceptorStorage::open(folder.path(), ReplicaId(7)).unwrap();
    assert_eq!(
        (opened.state.promised, opened.state.accepted),
        (promised, Some(chosen(8, ReplicaId(7)))),
        "the promise holds"
    );
}
