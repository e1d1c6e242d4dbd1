//! The bytes that controllers send each other, and the register's file on disk. Controllers of
//! different releases read them from each other and find them on their disks, so that no release
//! may change them. The fixtures were taken from the program before its names were changed; the
//! register's channel, whose types are private, is composed around the encoded requests and replies
//! and was compared with what that program sends.

#[path = "../../mintlb-common/tests/fixture/mod.rs"]
mod fixture;

use bytes::Bytes;
use fixture::{Fixtures, path};
use mintlb_common::placement::{Placement, ShardAssignment, StoreEntry, StoreId};
use mintlb_common::quorum::FaultTolerance;
use mintlb_common::record::{WorkerRecord, WorkerState};
use mintlb_common::transport::{Channel, ResponseFuture, Service, Transport};
use mintlb_control::controller::contact::messages::{LeaderEpoch, PeerStatus, Ping, Pong};
use mintlb_control::controller::register;
use mintlb_control::controller::register::acceptor_file;
use mintlb_control::controller::register::acceptor_storage::{AcceptorStorage, FILE};
use mintlb_control::controller::register::local_replica::LocalReplica;
use mintlb_control::controller::register::messages::{RegisterRequest, RegisterResponse};
use mintlb_control::controller::register::replica_core::{Commit, Completion, StateWrite};
use mintlb_control::controller::register::stopped_workers::StoppedWorker;
use mintlb_control::controller::singleton::messages::{
    ControllerRequest, ControllerResponse, RetirementRequest, RetirementStatus, encode,
};
use mintlb_register::applied_history::AppliedHistory;
use mintlb_register::ballot::Ballot;
use mintlb_register::message::{AcceptedValue, Reply, ReportedValue, Request, RequestBody};
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use mintlb_register::state::ControlState;
use parking_lot::Mutex;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The longest duration of any step.
const WAIT: Duration = Duration::from_secs(10);
/// The identity in the file.
const ID: u64 = 41;

fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        proposer: 0x0123_4567_89ab_cdef,
    }
}

fn replica(id: u64) -> Replica {
    let address = format!("10.{id}.0.35:7661");
    Replica {
        id: ReplicaId(id),
        address,
        node_name: format!("edge-{id}"),
        zone: format!("zone-{id}"),
        region: None,
        counts_toward_quorum: None,
    }
}

/// The value in the file.
fn accepted() -> AcceptedValue {
    let mut taken = AppliedHistory::starting_after(3);
    taken.push(4, b"four");
    let store = StoreEntry {
        id: StoreId(21),
        node_name: "disk-21".to_string(),
        address: "10.21.0.36:7662".to_string(),
        zone: "zone-21".to_string(),
        decommissioning: true,
        region: None,
        counts_toward_quorum: None,
    };
    let shard = ShardAssignment {
        epoch: 8,
        replicas: vec![StoreId(21)],
        previous: vec![StoreId(21)],
        last_active_epoch: Some(7),
        ..ShardAssignment::default()
    };
    let state = ControlState {
        revision: 11,
        replicas: ReplicaSet {
            epoch: 5,
            previous: vec![replica(ID)],
            current: vec![replica(ID), replica(42)],
            tolerance: None,
        },
        configuration_version: 9,
        configuration: br#"{"config_version":9,"route_list":[],"service_list":[]}"#.to_vec(),
        placement: Placement {
            epoch: 6,
            stores: vec![store],
            shards: vec![shard],
        },
        legacy_history: (),
        applied_history: Some(taken),
    };
    AcceptedValue {
        ballot: ballot(6),
        state: Arc::new(state),
    }
}

/// The first set of a register, as releases write it that go by majorities.
fn first_set(replica: Replica) -> ReplicaSet {
    ReplicaSet {
        tolerance: None,
        ..ReplicaSet::bootstrap(replica, FaultTolerance::default())
    }
}

/// The first value of a register with one replica.
fn bootstrapped() -> AcceptedValue {
    AcceptedValue {
        ballot: ballot(6),
        state: Arc::new(ControlState {
            replicas: first_set(replica(ID)),
            ..ControlState::bootstrap(replica(ID), FaultTolerance::default())
        }),
    }
}

#[test]
fn requests_on_the_control_channel() {
    let mut fixtures = Fixtures::read("duty_calls.txt");
    let full = PeerStatus {
        replica: Some(ReplicaId(51)),
        epoch: LeaderEpoch(52),
        preferred_leader: Some(ReplicaId(53)),
    };
    let empty = PeerStatus {
        replica: None,
        epoch: LeaderEpoch(54),
        preferred_leader: None,
    };
    let retire = |begin| {
        ControllerRequest::Retirement(RetirementRequest {
            node_name: "disk-21".to_string(),
            begin,
        })
    };
    let calls = [
        (
            "ping",
            ControllerRequest::Ping(Ping {
                status: full,
                echo: Some(55),
            }),
        ),
        (
            "ping-least",
            ControllerRequest::Ping(Ping {
                status: empty,
                echo: None,
            }),
        ),
        (
            "ping-first",
            ControllerRequest::Ping(Ping {
                status: PeerStatus {
                    replica: None,
                    ..full
                },
                echo: Some(55),
            }),
        ),
        (
            "workers",
            ControllerRequest::Workers {
                epoch: LeaderEpoch(56),
            },
        ),
        ("retire-begin", retire(true)),
        ("retire-ask", retire(false)),
    ];
    for (name, call) in calls {
        fixtures.check(name, &call);
    }
    fixtures.done();
}

#[test]
fn responses_on_the_control_channel() {
    let mut fixtures = Fixtures::read("duty_answers.txt");
    let full = PeerStatus {
        replica: Some(ReplicaId(51)),
        epoch: LeaderEpoch(52),
        preferred_leader: Some(ReplicaId(53)),
    };
    let empty = PeerStatus {
        replica: None,
        epoch: LeaderEpoch(54),
        preferred_leader: None,
    };
    let answers = [
        (
            "pong",
            ControllerResponse::Pong(Pong {
                status: full,
                timestamp: 57,
            }),
        ),
        (
            "pong-least",
            ControllerResponse::Pong(Pong {
                status: empty,
                timestamp: 57,
            }),
        ),
        (
            "workers",
            ControllerResponse::Workers(vec![1, 70_000, u32::MAX]),
        ),
        ("workers-none", ControllerResponse::Workers(Vec::new())),
        (
            "stale",
            ControllerResponse::StaleEpoch {
                epoch: LeaderEpoch(58),
            },
        ),
        (
            "retire-ordered",
            ControllerResponse::Retirement(RetirementStatus::Ordered),
        ),
        (
            "retire-running",
            ControllerResponse::Retirement(RetirementStatus::Running),
        ),
        (
            "retire-completed",
            ControllerResponse::Retirement(RetirementStatus::Completed),
        ),
        (
            "retire-unknown",
            ControllerResponse::Retirement(RetirementStatus::NotFound),
        ),
        (
            "retire-too-few",
            ControllerResponse::Retirement(RetirementStatus::TooFewStores),
        ),
        (
            "retire-unavailable",
            ControllerResponse::Retirement(RetirementStatus::Unavailable),
        ),
    ];
    for (name, answer) in answers {
        let bytes = encode(&answer);
        assert_eq!(minicbor::to_vec(&answer).unwrap(), bytes);
        fixtures.check(name, &answer);
    }
    fixtures.done();
}

/// Copies the register's file into a directory.
fn copy_file(directory: &Path) {
    std::fs::copy(path("register.redb"), directory.join("register.redb")).unwrap();
}

/// All tables and what is in them.
fn check_tables(file: &Path) {
    let database = Database::open(file).unwrap();
    let transaction = database.begin_read().unwrap();
    let tables: Vec<String> = transaction
        .list_tables()
        .unwrap()
        .map(|table| table.name().to_string())
        .collect();
    assert_eq!(tables, ["vote"]);
    assert_eq!(transaction.list_multimap_tables().unwrap().count(), 0);
    let table = transaction
        .open_table(TableDefinition::<&str, &[u8]>::new("vote"))
        .unwrap();
    let mut fixtures = Fixtures::read("register_file.txt");
    for entry in table.iter().unwrap() {
        let (key, value) = entry.unwrap();
        fixtures.same(key.value(), value.value());
    }
    fixtures.done();
}

#[test]
fn the_registers_file_is_read_and_keeps_its_tables_and_keys() {
    assert_eq!(FILE, "register.redb");
    let folder = tempfile::tempdir().unwrap();
    copy_file(folder.path());
    check_tables(&folder.path().join("register.redb"));
    let opened = AcceptorStorage::open(folder.path(), ReplicaId(99)).unwrap();
    assert_eq!(opened.id, ReplicaId(ID));
    assert_eq!(opened.state.promised, ballot(8));
    assert_eq!(opened.state.accepted, Some(accepted()));
    drop(opened.storage);
    let database = acceptor_file::open(&folder.path().join(FILE)).unwrap();
    let commit = Commit {
        generation: 0,
        write: Some(StateWrite {
            promised: ballot(8),
            accepted: Some(accepted()),
        }),
        stopped_workers: Vec::new(),
    };
    acceptor_file::write(&database, &commit).unwrap();
    drop(database);
    check_tables(&folder.path().join("register.redb"));
    let files: Vec<_> = std::fs::read_dir(folder.path())
        .unwrap()
        .map(|entry| entry.unwrap().file_name())
        .collect();
    assert_eq!(files, ["register.redb"], "nothing was quarantined");
}

fn prepare(counter: u64) -> RequestBody {
    RequestBody::Prepare {
        ballot: ballot(counter),
        known: None,
    }
}

fn promise(counter: u64, last_accepted: ReportedValue) -> Reply {
    Reply::Promise {
        ballot: ballot(counter),
        last_accepted,
    }
}

/// Makes the register's file as a controller does.
fn make_file(directory: &Path) {
    let opened = AcceptorStorage::open(directory, ReplicaId(ID)).unwrap();
    for (body, reply) in [
        (prepare(3), promise(3, ReportedValue::Nothing)),
        (
            RequestBody::Accept {
                proposed: accepted(),
            },
            Reply::Accepted {
                ballot: accepted().ballot,
            },
        ),
        (prepare(8), promise(8, ReportedValue::Value(accepted()))),
    ] {
        let target = ReplicaId(ID);
        let request = Request { target, body };
        let completion = opened.storage.request(request).blocking_recv();
        assert_eq!(completion, Ok(Ok(Completion::Reply(reply))));
    }
}

#[test]
fn a_new_file_has_the_same_tables_and_keys() {
    let folder = tempfile::tempdir().unwrap();
    make_file(folder.path());
    check_tables(&folder.path().join("register.redb"));
}

async fn transport() -> Arc<Transport> {
    Transport::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap()
}

#[tokio::test]
async fn a_controller_responds_on_the_registers_channel() {
    let mut fixtures = Fixtures::read("register_channel.txt");
    let folder = tempfile::tempdir().unwrap();
    copy_file(folder.path());
    let (with_disk, without, caller) = (transport().await, transport().await, transport().await);
    let local = LocalReplica::new(
        AcceptorStorage::open(folder.path(), ReplicaId(99)).unwrap(),
        replica(ID),
    );
    let _registers = (
        register::start(with_disk.clone(), Some(Arc::new(local)), 1, true),
        register::start(without.clone(), None, 2, true),
    );
    let steps = [
        ("read", "vote-read", with_disk.local_address()),
        ("status", "status-disk", with_disk.local_address()),
        ("grant", "grant-refused", with_disk.local_address()),
        ("status", "status-none", without.local_address()),
        ("grant", "grant-given", without.local_address()),
    ];
    for (call, answer, to) in steps {
        let body =
            Bytes::from(Fixtures::read("register_channel.txt").take(&format!("call-{call}")));
        let answered = caller
            .call(to, Channel::Register, body, WAIT)
            .await
            .unwrap();
        fixtures.same(&format!("answer-{answer}"), &answered);
    }
}

/// Responds with prepared bytes and records the requests.
struct Prepared {
    answers: Mutex<VecDeque<Vec<u8>>>,
    received: Mutex<Vec<Bytes>>,
}

impl Service for Prepared {
    fn on_request(&self, _from: SocketAddr, body: Bytes) -> ResponseFuture {
        self.received.lock().push(body);
        let answer = self.answers.lock().pop_front().unwrap();
        Box::pin(async move { answer.into() })
    }
}

#[tokio::test]
async fn a_controller_sends_requests_on_the_registers_channel() {
    let mut fixtures = Fixtures::read("register_channel.txt");
    let folder = tempfile::tempdir().unwrap();
    copy_file(folder.path());
    let local = LocalReplica::new(
        AcceptorStorage::open(folder.path(), ReplicaId(99)).unwrap(),
        replica(ID),
    );
    let (own, reader, seed) = (transport().await, transport().await, transport().await);
    let register = register::start(own, Some(Arc::new(local)), 1, true);
    let answers = [
        "status-set",
        "status-none",
        "grant-given",
        "grant-refused",
        "vote-founded",
    ];
    let answers = answers.map(|name| fixtures.take(&format!("answer-{name}")));
    let prepared = Arc::new(Prepared {
        answers: Mutex::new(answers.into()),
        received: Mutex::default(),
    });
    seed.register_service(Channel::Register, prepared.clone());
    let to = seed.local_address();
    let status = register.status_of(to, WAIT).await.unwrap();
    assert!(status.has_disk);
    assert_eq!(status.replica_set, Some(first_set(replica(42))));
    let status = register.status_of(to, WAIT).await.unwrap();
    assert_eq!((status.has_disk, status.replica_set), (false, None));
    assert!(register.request_bootstrap_vote(to, WAIT).await);
    assert!(!register.request_bootstrap_vote(to, WAIT).await);
    let register = register::start(reader, None, 2, false);
    register.hint(first_set(Replica {
        address: to.to_string(),
        ..replica(ID)
    }));
    let chosen = register.read_once(Instant::now() + WAIT).await.unwrap();
    assert_eq!(chosen, bootstrapped());
    let received = prepared.received.lock().clone();
    assert_eq!((&received[0], &received[2]), (&received[1], &received[3]));
    fixtures.same("call-status", &received[0]);
    fixtures.same("call-grant", &received[2]);
    fixtures.same("call-read", &received[4]);
}

#[test]
fn a_stopped_worker_on_the_registers_channel_and_on_disk() {
    let mut fixtures = Fixtures::read("stopped_workers.txt");
    let record = WorkerRecord {
        instance_id: "i-1".to_string(),
        service: "s".to_string(),
        address: "10.1.0.1:80".to_string(),
        zone: "zone-1".to_string(),
        capacity_slots: 12,
        state: WorkerState::Draining,
        call_sequence: 300,
        slow_start_until_ms: 0,
    };
    let stored = StoppedWorker {
        record: record.clone(),
        stored_at_ms: 1_700_000_000_000,
    };
    let request = RegisterRequest::StoreStoppedWorker {
        target: ReplicaId(ID),
        record,
    };
    fixtures.check("request", &request);
    fixtures.check("response", &RegisterResponse::StoppedWorkerStored);
    fixtures.check("entry", &stored);
    fixtures.done();
}
