//! The bytes of the register's messages and of its value. They are sent between controllers of different releases and
//! lie on their disks, so that no release may change them. The fixtures were written by the program as it was before
//! its names were changed.

#[path = "../../mintlb-common/tests/fixture/mod.rs"]
mod fixture;

use fixture::Fixtures;
use mintlb_common::placement::{Placement, ShardAssignment, StoreEntry, StoreId};
use mintlb_common::quorum::FaultTolerance;
use mintlb_register::applied_history::{AppliedHistory, HistoryLookup};
use mintlb_register::ballot::Ballot;
use mintlb_register::message::{AcceptedValue, Reply, ReportedValue, Request, RequestBody};
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use mintlb_register::state::ControlState;
use std::sync::Arc;

const CONFIGURATION: &[u8] = br#"{"config_version":9,"route_list":[],"service_list":[]}"#;

fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        proposer: 0x0123_4567_89ab_cdef,
    }
}

fn replica(id: u64) -> Replica {
    Replica {
        id: ReplicaId(id),
        address: format!("10.{id}.0.35:7661"),
        node_name: format!("edge-{id}"),
        zone: format!("zone-{id}"),
        region: None,
        counts_toward_quorum: None,
    }
}

/// A set as releases write it that go by majorities.
fn settled_set() -> ReplicaSet {
    ReplicaSet {
        tolerance: None,
        ..ReplicaSet::bootstrap(replica(1), FaultTolerance::default())
    }
}

fn founded_state() -> ControlState {
    ControlState {
        replicas: settled_set(),
        ..ControlState::bootstrap(replica(1), FaultTolerance::default())
    }
}

fn set_with_tolerance() -> ReplicaSet {
    let replica = Replica {
        region: Some("region-1".to_string()),
        ..replica(1)
    };
    let tolerance = FaultTolerance {
        machines: 2,
        zones: 1,
        regions: 1,
    };
    ReplicaSet::bootstrap(replica, tolerance)
}

fn joint_set() -> ReplicaSet {
    let current = [2, 3, 4].map(replica).to_vec();
    ReplicaSet {
        epoch: 5,
        previous: [1, 2, 3].map(replica).to_vec(),
        current,
        tolerance: None,
    }
}

fn applied_history() -> AppliedHistory {
    let mut history = AppliedHistory::starting_after(3);
    history.push(4, b"four");
    history.push(300, b"three hundred");
    history
}

fn placement() -> Placement {
    let store = |id: u64, decommissioning| StoreEntry {
        id: StoreId(id),
        node_name: format!("disk-{id}"),
        address: format!("10.{id}.0.36:7662"),
        zone: format!("zone-{id}"),
        decommissioning,
        region: None,
        counts_toward_quorum: None,
    };
    Placement {
        epoch: 70_000,
        stores: vec![store(21, false), store(22, true)],
        shards: vec![
            ShardAssignment {
                epoch: 8,
                replicas: vec![StoreId(21), StoreId(22)],
                previous: vec![StoreId(22)],
                last_active_epoch: Some(7),
                ..ShardAssignment::default()
            },
            ShardAssignment {
                epoch: 9,
                replicas: vec![StoreId(22)],
                previous: vec![],
                ..ShardAssignment::default()
            },
        ],
    }
}

fn full_state() -> ControlState {
    ControlState {
        revision: 11,
        replicas: joint_set(),
        configuration_version: 9,
        configuration: CONFIGURATION.to_vec(),
        placement: placement(),
        legacy_history: (),
        applied_history: Some(applied_history()),
    }
}

fn accepted() -> AcceptedValue {
    AcceptedValue {
        ballot: ballot(6),
        state: Arc::new(founded_state()),
    }
}

#[test]
fn ballots() {
    let mut fixtures = Fixtures::read("ballots.txt");
    fixtures.check("first", &Ballot::default());
    fixtures.check("ballot", &ballot(6));
    fixtures.check(
        "highest",
        &Ballot {
            counter: u64::MAX,
            proposer: u64::MAX,
        },
    );
    fixtures.done();
}

#[test]
fn a_set_with_a_tolerance() {
    let mut fixtures = Fixtures::read("failure_domains.txt");
    fixtures.check("set-with-tolerance", &set_with_tolerance());
    let uncounted = Replica {
        region: Some("region-1".to_string()),
        counts_toward_quorum: Some(false),
        ..replica(1)
    };
    fixtures.check("replica-uncounted", &uncounted);
    fixtures.done();
}

#[test]
fn register_values() {
    let mut fixtures = Fixtures::read("state.txt");
    fixtures.check("replica", &replica(1));
    fixtures.check("set-settled", &settled_set());
    fixtures.check("set-joint", &joint_set());
    fixtures.check("taken-none", &AppliedHistory::default());
    fixtures.check("taken", &applied_history());
    fixtures.check("state-empty", &ControlState::default());
    fixtures.check("state-founded", &founded_state());
    fixtures.check(
        "state-without-history",
        &ControlState {
            applied_history: None,
            ..full_state()
        },
    );
    fixtures.check("state-whole", &full_state());
    fixtures.check(
        "accepted",
        &AcceptedValue {
            ballot: ballot(6),
            state: Arc::new(full_state()),
        },
    );
    fixtures.done();
}

#[test]
fn a_decoded_history_finds_what_was_applied() {
    let history: AppliedHistory =
        minicbor::decode(&Fixtures::read("state.txt").take("taken")).unwrap();
    assert_eq!(history.lookup(3, b"three"), HistoryLookup::Compacted);
    assert_eq!(history.lookup(4, b"four"), HistoryLookup::Applied);
    assert_eq!(
        history.lookup(300, b"three hundred"),
        HistoryLookup::Applied
    );
    assert_eq!(history.lookup(300, b"other"), HistoryLookup::NotApplied);
}

#[test]
fn requests() {
    let mut fixtures = Fixtures::read("requests.txt");
    let mut check = |name: &str, body: RequestBody| {
        fixtures.check(
            name,
            &Request {
                target: ReplicaId(77),
                body,
            },
        )
    };
    check(
        "prepare",
        RequestBody::Prepare {
            ballot: ballot(6),
            known: None,
        },
    );
    check(
        "prepare-known",
        RequestBody::Prepare {
            ballot: ballot(6),
            known: Some(ballot(5)),
        },
    );
    check(
        "accept",
        RequestBody::Accept {
            proposed: accepted(),
        },
    );
    check("read", RequestBody::Read { known: None });
    check(
        "read-known",
        RequestBody::Read {
            known: Some(ballot(5)),
        },
    );
    fixtures.done();
}

#[test]
fn replies() {
    let mut fixtures = Fixtures::read("replies.txt");
    let reports = [
        ("nothing", ReportedValue::Nothing),
        ("known", ReportedValue::Unchanged(ballot(5))),
        ("value", ReportedValue::Value(accepted())),
    ];
    for (name, last_accepted) in reports {
        fixtures.check(&format!("report-{name}"), &last_accepted);
        let promised = Reply::Promise {
            ballot: ballot(7),
            last_accepted: last_accepted.clone(),
        };
        fixtures.check(&format!("promised-{name}"), &promised);
        fixtures.check(
            &format!("read-{name}"),
            &Reply::Read {
                last_accepted,
                promised: ballot(8),
            },
        );
    }
    fixtures.check("accepted", &Reply::Accepted { ballot: ballot(7) });
    fixtures.check(
        "refused",
        &Reply::Rejected {
            ballot: ballot(7),
            promised: ballot(8),
        },
    );
    fixtures.check("stranger", &Reply::WrongReplica { id: ReplicaId(78) });
    fixtures.done();
}
