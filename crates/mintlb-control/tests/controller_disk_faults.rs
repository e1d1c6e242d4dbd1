//! A replica on a disk that is full, that fails at a sync or that hangs: it answers nothing that is not synced, and it
//! votes again once the disk takes bytes again, without a restart.

mod faulty_disk;

use faulty_disk::{Disk, Mode};
use mintlb_control::controller::register::acceptor_storage::{AcceptorStorage, MAX_PENDING_SYNCS};
use mintlb_control::controller::register::local_replica::LocalReplica;
use mintlb_register::ballot::Ballot;
use mintlb_register::message::{AcceptedValue, Reply, ReportedValue, Request, RequestBody};
use mintlb_register::replica_set::{Replica, ReplicaId};
use mintlb_register::state::ControlState;
use std::future::Future;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// Longest wait for anything; only a fault makes it run out.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const ID: u64 = 7;

fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        proposer: 3,
    }
}

fn identity() -> Replica {
    let address = "10.0.0.1:7661".to_string();
    Replica {
        id: ReplicaId(ID),
        address,
        node_name: "edge-1".to_string(),
        zone: "z".to_string(),
    }
}

fn value(counter: u64, bytes: usize) -> AcceptedValue {
    let state = ControlState {
        revision: counter,
        configuration_version: counter,
        configuration: vec![counter as u8; bytes],
        ..ControlState::bootstrap(identity())
    };
    AcceptedValue {
        ballot: ballot(counter),
        state: Arc::new(state),
    }
}

fn prepare(counter: u64) -> Request {
    Request {
        target: ReplicaId(ID),
        body: RequestBody::Prepare {
            ballot: ballot(counter),
            known: None,
        },
    }
}

fn accept(counter: u64) -> Request {
    Request {
        target: ReplicaId(ID),
        body: RequestBody::Accept {
            proposed: value(counter, 100),
        },
    }
}

fn read() -> Request {
    Request {
        target: ReplicaId(ID),
        body: RequestBody::Read { known: None },
    }
}

fn replica(disk: &Disk) -> LocalReplica {
    LocalReplica::new(AcceptorStorage::start(disk.opener()).unwrap(), identity())
}

/// Waits for an answer on this thread.
fn answer(replica: &LocalReplica, request: Request) -> Option<Reply> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    runtime.block_on(async {
        tokio::time::timeout(TEST_TIMEOUT, replica.answer(request))
            .await
            .unwrap()
    })
}

/// Asks until there is an answer.
fn answer_at_last(replica: &LocalReplica, request: Request) -> Reply {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        match answer(replica, request.clone()) {
            Some(reply) => return reply,
            None => assert!(Instant::now() < until, "it does not come back"),
        }
        std::thread::yield_now();
    }
}

/// What a reply tells of the value.
fn told(reply: Reply) -> Option<Ballot> {
    match reply {
        Reply::Promise { last_accepted, .. } | Reply::Read { last_accepted, .. } => {
            last_accepted.ballot()
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn after_a_failed_sync_nothing_is_told_that_is_not_on_disk() {
    for mode in [Mode::SyncFails, Mode::Full] {
        let disk = Disk::with_replica(ID);
        let replica = replica(&disk);
        assert_eq!(
            answer(&replica, accept(1)),
            Some(Reply::Accepted { ballot: ballot(1) })
        );
        disk.set(mode);
        assert_eq!(answer(&replica, accept(2)), None, "{mode:?}");
        for request in [
            accept(2),
            prepare(2),
            read(),
            prepare(9),
            read(),
            prepare(9),
        ] {
            assert_eq!(
                answer(&replica, request.clone()),
                None,
                "{mode:?}, {request:?}"
            );
        }
    }
}

#[test]
fn a_replica_votes_again_once_its_disk_takes_bytes_again() {
    for mode in [Mode::SyncFails, Mode::Full] {
        let disk = Disk::with_replica(ID);
        let replica = replica(&disk);
        answer(&replica, accept(1));
        for round in 1..=4 {
            let counter = 10 * round;
            disk.set(mode);
            assert_eq!(answer(&replica, accept(counter)), None);
            disk.set(Mode::Good);
            let told = told(answer_at_last(&replica, read())).unwrap();
            assert!(
                told == ballot(counter) || told == ballot(counter - 9),
                "{mode:?}: {told:?}"
            );
            assert_eq!(
                answer(&replica, prepare(counter + 1)).map(|reply| self::told(reply).is_some()),
                Some(true)
            );
            let accepted = Some(Reply::Accepted {
                ballot: ballot(counter + 1),
            });
            assert_eq!(answer(&replica, accept(counter + 1)), accepted, "{mode:?}");
        }
    }
}

#[test]
fn what_is_told_after_the_failure_outlasts_a_loss_of_power() {
    let disk = Disk::with_replica(ID);
    let before = replica(&disk);
    answer(&before, accept(1));
    disk.set(Mode::SyncFails);
    assert_eq!(answer(&before, accept(2)), None);
    disk.set(Mode::Good);
    let told_before = told(answer_at_last(&before, read()));
    disk.lose_power();
    // The process is gone with the power; what it would still write goes nowhere.
    disk.set(Mode::Full);
    before.close();
    disk.lose_power();
    disk.set(Mode::Good);
    let after = replica(&disk);
    assert_eq!(told(answer(&after, read()).unwrap()), told_before);
}

/// Begins a call; it is pending.
fn started_at<'a>(
    replica: &'a LocalReplica,
    request: Request,
) -> std::pin::Pin<Box<dyn Future<Output = Option<Reply>> + 'a>> {
    let mut call = Box::pin(replica.answer(request));
    let polled = call.as_mut().poll(&mut Context::from_waker(Waker::noop()));
    assert!(polled.is_pending(), "{polled:?}");
    call
}

#[test]
fn calls_at_a_disk_that_hangs_wait_in_a_bounded_queue_and_it_goes_on_after_it() {
    let disk = Disk::with_replica(ID);
    let replica = replica(&disk);
    answer(&replica, accept(1));
    disk.set(Mode::Hangs);
    let first = started_at(&replica, accept(2));
    disk.wait_until_it_hangs();
    let waiting: Vec<_> = (1..MAX_PENDING_SYNCS as u64)
        .map(|i| started_at(&replica, prepare(i + 2)))
        .collect();
    let over = Box::pin(replica.answer(prepare(9000)))
        .as_mut()
        .poll(&mut Context::from_waker(Waker::noop()));
    assert_eq!(over, Poll::Ready(None), "no more wait than may");
    disk.set(Mode::Good);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    assert_eq!(
        runtime.block_on(first),
        Some(Reply::Accepted { ballot: ballot(2) })
    );
    assert!(
        waiting
            .into_iter()
            .all(|call| runtime.block_on(call).is_some())
    );
    let Some(Reply::Promise {
        last_accepted: ReportedValue::Value(accepted),
        ..
    }) = answer(&replica, prepare(9001))
    else {
        panic!("no promise")
    };
    assert_eq!(
        accepted.ballot,
        ballot(2),
        "what was turned away has left nothing behind"
    );
}

#[test]
fn a_call_turned_away_by_the_queue_leaves_no_promise_in_memory() {
    let disk = Disk::with_replica(ID);
    let replica = replica(&disk);
    disk.set(Mode::Hangs);
    let first = started_at(&replica, accept(2));
    disk.wait_until_it_hangs();
    let waiting: Vec<_> = (1..MAX_PENDING_SYNCS)
        .map(|_| started_at(&replica, read()))
        .collect();
    assert_eq!(answer(&replica, accept(50)), None);
    disk.set(Mode::Good);
    drop((first, waiting));
    let reply = answer_at_last(&replica, accept(49));
    assert_eq!(reply, Reply::Accepted { ballot: ballot(49) });
}

/// 500 changes of a configuration of 20 KB.
#[test]
fn the_file_stays_level_over_hundreds_of_changes() {
    let disk = Disk::with_replica(ID);
    let replica = replica(&disk);
    let mut at = Vec::new();
    for counter in 1..=500 {
        answer(&replica, prepare(counter)).unwrap();
        let proposed = value(counter, 20 << 10);
        answer(
            &replica,
            Request {
                target: ReplicaId(ID),
                body: RequestBody::Accept { proposed },
            },
        )
        .unwrap();
        if [10, 100, 500].contains(&counter) {
            at.push((counter, disk.longest(), disk.syncs()));
        }
    }
    println!("changes, bytes of the file at its largest, syncs: {at:?}");
    assert!(at.iter().all(|(_, bytes, _)| *bytes <= 4 << 20), "{at:?}");
    assert_eq!(at[1].1, at[2].1, "it does not grow: {at:?}");
}
