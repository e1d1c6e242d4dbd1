//! A replica on a disk that is full, that fails at a sync or that hangs: it replies nothing that is
//! not durable, and it resumes once the disk accepts writes again, without a restart.

mod builders;
mod faulty_disk;

use builders::{ValueBuilder, ballot, replica_set};
use faulty_disk::{FaultyDisk, Mode};
use mintlb_control::controller::register::acceptor_storage::{AcceptorStorage, MAX_PENDING_SYNCS};
use mintlb_control::controller::register::local_replica::{LocalReplica, NotDurable};
use mintlb_register::ballot::Ballot;
use mintlb_register::message::{AcceptedValue, Reply, ReportedValue, Request, RequestBody};
use mintlb_register::replica_set::ReplicaId;
use std::future::Future;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

/// The longest wait for anything: only a fault exceeds it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const ID: u64 = 7;

/// The value with a configuration of this many bytes.
fn value(counter: u64, bytes: usize) -> AcceptedValue {
    ValueBuilder::new(counter, replica_set(1, &[ID]))
        .configuration_of(bytes)
        .build()
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

fn replica(disk: &FaultyDisk) -> LocalReplica {
    LocalReplica::new(
        AcceptorStorage::start(disk.opener()).unwrap(),
        builders::replica(ID),
    )
}

/// Waits for a reply on the calling thread.
fn reply_to(replica: &LocalReplica, request: Request) -> Result<Reply, NotDurable> {
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

/// Repeats a request until there is a reply.
fn retry_until_reply(replica: &LocalReplica, request: Request) -> Reply {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        match reply_to(replica, request.clone()) {
            Ok(reply) => return reply,
            Err(_) => assert!(Instant::now() < until, "the replica does not resume"),
        }
        std::thread::yield_now();
    }
}

/// The ballot of the accepted value that a reply reports.
fn reported_ballot(reply: Reply) -> Option<Ballot> {
    match reply {
        Reply::Promise { last_accepted, .. } | Reply::Read { last_accepted, .. } => {
            last_accepted.ballot()
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn after_a_failed_sync_nothing_is_promised_that_is_not_on_disk() {
    for mode in [Mode::SyncFails, Mode::Full] {
        let disk = FaultyDisk::with_replica(ID);
        let replica = replica(&disk);
        assert_eq!(
            reply_to(&replica, accept(1)),
            Ok(Reply::Accepted { ballot: ballot(1) })
        );
        disk.set_mode(mode);
        assert_eq!(
            reply_to(&replica, accept(2)),
            Err(NotDurable::DiskFailed),
            "{mode:?}"
        );
        for request in [
            accept(2),
            prepare(2),
            read(),
            prepare(9),
            read(),
            prepare(9),
        ] {
            assert_eq!(
                reply_to(&replica, request.clone()),
                Err(NotDurable::DiskFailed),
                "{mode:?}, {request:?}"
            );
        }
    }
}

#[test]
fn a_replica_resumes_once_its_disk_accepts_writes() {
    for mode in [Mode::SyncFails, Mode::Full] {
        let disk = FaultyDisk::with_replica(ID);
        let replica = replica(&disk);
        reply_to(&replica, accept(1)).unwrap();
        for iteration in 1..=4 {
            let counter = 10 * iteration;
            disk.set_mode(mode);
            assert_eq!(
                reply_to(&replica, accept(counter)),
                Err(NotDurable::DiskFailed)
            );
            disk.set_mode(Mode::Good);
            let reported = reported_ballot(retry_until_reply(&replica, read())).unwrap();
            assert!(
                reported == ballot(counter) || reported == ballot(counter - 9),
                "{mode:?}: {reported:?}"
            );
            assert_eq!(
                reply_to(&replica, prepare(counter + 1))
                    .map(|reply| reported_ballot(reply).is_some()),
                Ok(true)
            );
            let accepted = Ok(Reply::Accepted {
                ballot: ballot(counter + 1),
            });
            assert_eq!(
                reply_to(&replica, accept(counter + 1)),
                accepted,
                "{mode:?}"
            );
        }
    }
}

#[test]
fn a_reply_after_the_recovery_survives_a_power_loss() {
    let disk = FaultyDisk::with_replica(ID);
    let before = replica(&disk);
    reply_to(&before, accept(1)).unwrap();
    disk.set_mode(Mode::SyncFails);
    assert_eq!(reply_to(&before, accept(2)), Err(NotDurable::DiskFailed));
    disk.set_mode(Mode::Good);
    let reported_before = reported_ballot(retry_until_reply(&before, read()));
    disk.lose_power();
    // The process is gone with the power; what it would still write goes nowhere.
    disk.set_mode(Mode::Full);
    before.close();
    disk.lose_power();
    disk.set_mode(Mode::Good);
    let after = replica(&disk);
    assert_eq!(
        reported_ballot(reply_to(&after, read()).unwrap()),
        reported_before
    );
}

/// Starts a request, which has to be pending.
fn pending<'a>(
    replica: &'a LocalReplica,
    request: Request,
) -> std::pin::Pin<Box<dyn Future<Output = Result<Reply, NotDurable>> + 'a>> {
    let mut call = Box::pin(replica.answer(request));
    let polled = call.as_mut().poll(&mut Context::from_waker(Waker::noop()));
    assert!(polled.is_pending(), "{polled:?}");
    call
}

#[test]
fn requests_to_a_hanging_disk_wait_in_a_bounded_queue() {
    let disk = FaultyDisk::with_replica(ID);
    let replica = replica(&disk);
    reply_to(&replica, accept(1)).unwrap();
    disk.set_mode(Mode::Hangs);
    let first = pending(&replica, accept(2));
    disk.wait_until_it_hangs();
    let waiting: Vec<_> = (1..MAX_PENDING_SYNCS as u64)
        .map(|i| pending(&replica, prepare(i + 2)))
        .collect();
    let over = Box::pin(replica.answer(prepare(9000)))
        .as_mut()
        .poll(&mut Context::from_waker(Waker::noop()));
    assert_eq!(
        over,
        Poll::Ready(Err(NotDurable::QueueFull)),
        "the queue is bounded"
    );
    disk.set_mode(Mode::Good);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    assert_eq!(
        runtime.block_on(first),
        Ok(Reply::Accepted { ballot: ballot(2) })
    );
    assert!(
        waiting
            .into_iter()
            .all(|call| runtime.block_on(call).is_ok())
    );
    let Ok(Reply::Promise {
        last_accepted: ReportedValue::Value(accepted),
        ..
    }) = reply_to(&replica, prepare(9001))
    else {
        panic!("no promise")
    };
    assert_eq!(
        accepted.ballot,
        ballot(2),
        "the rejected request has left nothing behind"
    );
}

#[test]
fn a_request_rejected_by_the_full_queue_leaves_no_promise_in_memory() {
    let disk = FaultyDisk::with_replica(ID);
    let replica = replica(&disk);
    disk.set_mode(Mode::Hangs);
    let first = pending(&replica, accept(2));
    disk.wait_until_it_hangs();
    let waiting: Vec<_> = (1..MAX_PENDING_SYNCS)
        .map(|_| pending(&replica, read()))
        .collect();
    assert_eq!(reply_to(&replica, accept(50)), Err(NotDurable::QueueFull));
    disk.set_mode(Mode::Good);
    drop((first, waiting));
    let reply = retry_until_reply(&replica, accept(49));
    assert_eq!(reply, Reply::Accepted { ballot: ballot(49) });
}

/// 500 changes of a configuration of 20 KB.
#[test]
fn the_file_does_not_grow_over_hundreds_of_changes() {
    let disk = FaultyDisk::with_replica(ID);
    let replica = replica(&disk);
    let mut at = Vec::new();
    for counter in 1..=500 {
        reply_to(&replica, prepare(counter)).unwrap();
        let proposed = value(counter, 20 << 10);
        reply_to(
            &replica,
            Request {
                target: ReplicaId(ID),
                body: RequestBody::Accept { proposed },
            },
        )
        .unwrap();
        if [10, 100, 500].contains(&counter) {
            at.push((counter, disk.max_length(), disk.syncs()));
        }
    }
    println!("changes, bytes of the file at its largest, syncs: {at:?}");
    assert!(at.iter().all(|(_, bytes, _)| *bytes <= 4 << 20), "{at:?}");
    assert_eq!(at[1].1, at[2].1, "it does not grow: {at:?}");
}
