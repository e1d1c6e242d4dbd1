//! The replica's state machine without its driver: batches, withheld replies, a failed disk, and the close.

mod builders;

use builders::{ValueBuilder, ballot, replica_set};
use mintlb_control::controller::register::replica_core::{
    Command, Commit, Completion, MAX_PENDING_SYNCS, NotDurable, ReplicaCore, StateWrite,
};
use mintlb_register::acceptor::AcceptorState;
use mintlb_register::ballot::Ballot;
use mintlb_register::message::{AcceptedValue, Reply, ReportedValue, Request, RequestBody};
use mintlb_register::replica_set::ReplicaId;

const ID: ReplicaId = ReplicaId(7);

/// A core whose callers are numbered.
type Core = ReplicaCore<u64>;

fn core() -> Core {
    Core::new(ID, AcceptorState::default())
}

/// A value whose replica set has `member` as its only member.
fn value_for(member: u64, counter: u64) -> AcceptedValue {
    ValueBuilder::new(counter, replica_set(1, &[member])).build()
}

fn value(counter: u64) -> AcceptedValue {
    value_for(ID.0, counter)
}

fn request(body: RequestBody) -> Request {
    Request { target: ID, body }
}

fn prepare(counter: u64) -> Request {
    request(RequestBody::Prepare {
        ballot: ballot(counter),
        known: None,
    })
}

fn accept(counter: u64) -> Request {
    request(RequestBody::Accept {
        proposed: value(counter),
    })
}

fn read() -> Request {
    request(RequestBody::Read { known: None })
}

fn complete(token: u64, reply: Reply) -> Command<u64> {
    Command::Complete {
        token,
        completion: Completion::Reply(reply),
    }
}

fn learned(token: u64) -> Command<u64> {
    Command::Complete {
        token,
        completion: Completion::Learned,
    }
}

fn promise(counter: u64, last_accepted: ReportedValue) -> Reply {
    Reply::Promise {
        ballot: ballot(counter),
        last_accepted,
    }
}

fn accepted(counter: u64) -> Reply {
    Reply::Accepted {
        ballot: ballot(counter),
    }
}

fn read_reply(promised: u64, last_accepted: ReportedValue) -> Reply {
    Reply::Read {
        last_accepted,
        promised: ballot(promised),
    }
}

fn write(promised: u64, accepted: Option<u64>) -> Option<StateWrite> {
    Some(StateWrite {
        promised: ballot(promised),
        accepted: accepted.map(value),
    })
}

fn fail(token: u64) -> Command<u64> {
    Command::Fail {
        token,
        error: NotDurable::DiskFailed,
    }
}

fn refuse(token: u64) -> Command<u64> {
    Command::Fail {
        token,
        error: NotDurable::QueueFull,
    }
}

/// Syncs a request that is the only one.
fn sync(core: &mut Core, request: Request) {
    assert_eq!(core.on_request(request, 0), [Command::StartCommit]);
    let commit = core.begin_commit().unwrap();
    core.on_commit_succeeded(commit.generation);
    assert!(!core.is_busy());
}

/// Fails a commit, after which the core refuses everything.
fn fail_commit(core: &mut Core, commit: &Commit) {
    core.on_commit_failed(commit.generation);
    assert_eq!(core.on_request(read(), 99), [fail(99)]);
}

#[test]
fn a_reply_is_withheld_until_its_write_is_durable() {
    let mut core = core();
    assert_eq!(core.on_request(prepare(1), 1), [Command::StartCommit]);
    let commit = core.begin_commit().unwrap();
    assert_eq!(commit.write, write(1, None));
    assert!(core.is_busy());
    assert_eq!(
        core.on_commit_succeeded(commit.generation),
        [complete(1, promise(1, ReportedValue::Nothing))]
    );
    assert!(!core.is_busy());
}

#[test]
fn a_reply_without_a_write_waits_for_the_writes_before_it() {
    let mut core = core();
    let empty = Reply::Read {
        last_accepted: ReportedValue::Nothing,
        promised: Ballot::default(),
    };
    assert_eq!(core.on_request(read(), 1), [complete(1, empty)]);
    core.on_request(accept(2), 2);
    let first = core.begin_commit().unwrap();
    assert_eq!(core.on_request(read(), 3), []);
    assert_eq!(
        core.on_commit_succeeded(first.generation),
        [complete(2, accepted(2)), Command::StartCommit]
    );
    let second = core.begin_commit().unwrap();
    assert_eq!(second.write, None, "a read changes nothing on disk");
    let reply = read_reply(2, ReportedValue::Value(value(2)));
    assert_eq!(
        core.on_commit_succeeded(second.generation),
        [complete(3, reply)]
    );
}

#[test]
fn requests_during_a_commit_join_the_next_batch() {
    let mut core = core();
    core.on_request(prepare(1), 1);
    let first = core.begin_commit().unwrap();
    assert_eq!(core.on_request(accept(2), 2), []);
    assert_eq!(core.on_request(prepare(3), 3), []);
    assert_eq!(core.on_request(accept(4), 4), []);
    assert_eq!(core.on_request(prepare(5), 5), []);
    assert_eq!(core.begin_commit(), None, "one commit at a time");
    assert_eq!(
        core.on_commit_succeeded(first.generation),
        [
            complete(1, promise(1, ReportedValue::Nothing)),
            Command::StartCommit
        ]
    );
    let second = core.begin_commit().unwrap();
    assert_eq!(
        second.write,
        write(5, Some(4)),
        "the last promise and the last value"
    );
    assert_eq!(
        core.on_commit_succeeded(second.generation),
        [
            complete(2, accepted(2)),
            complete(3, promise(3, ReportedValue::Value(value(2)))),
            complete(4, accepted(4)),
            complete(5, promise(5, ReportedValue::Value(value(4)))),
        ],
        "in the order of the requests"
    );
    assert_eq!(core.begin_commit(), None);
}

#[test]
fn a_full_queue_refuses_requests_which_leave_no_trace() {
    let mut core = core();
    core.on_request(prepare(1), 1);
    let first = core.begin_commit().unwrap();
    for token in 2..=MAX_PENDING_SYNCS as u64 {
        assert_eq!(core.on_request(prepare(token), token), []);
    }
    assert_eq!(core.on_request(accept(9000), 9000), [refuse(9000)]);
    assert_eq!(core.on_request(read(), 9001), [refuse(9001)]);
    assert_eq!(core.on_chosen(&value(9002), 9002), [refuse(9002)]);
    assert_eq!(core.accepted(), None);
    core.on_commit_succeeded(first.generation);
    assert_eq!(
        core.on_request(accept(8000), 8000),
        [Command::StartCommit],
        "there is room again"
    );
    let second = core.begin_commit().unwrap();
    assert_eq!(second.write, write(8000, Some(8000)));
    let commands = core.on_commit_succeeded(second.generation);
    assert_eq!(commands.len(), MAX_PENDING_SYNCS);
    assert!(
        commands
            .iter()
            .all(|command| matches!(command, Command::Complete { .. }))
    );
}

#[test]
fn a_failed_commit_fails_its_batch_and_the_queued_writes() {
    let mut core = core();
    sync(&mut core, accept(1));
    core.on_request(accept(2), 2);
    let first = core.begin_commit().unwrap();
    core.on_request(prepare(3), 3);
    core.on_request(read(), 4);
    assert_eq!(
        core.on_commit_failed(first.generation),
        [fail(2), fail(3), fail(4)]
    );
    assert_eq!(
        core.begin_commit(),
        None,
        "nothing of it reaches the disk any more"
    );
    assert!(!core.is_busy());
    for (token, request) in [(5, accept(2)), (6, prepare(9)), (7, read())] {
        assert_eq!(core.on_request(request, token), [fail(token)]);
    }
    assert_eq!(core.on_chosen(&value(9), 8), [fail(8)]);
    assert_eq!(
        core.begin_commit(),
        None,
        "a refused request queues nothing"
    );
}

#[test]
fn a_commit_that_fails_between_two_others_leaves_them_alone() {
    let mut core = core();
    core.on_request(accept(1), 1);
    let first = core.begin_commit().unwrap();
    core.on_request(accept(2), 2);
    assert_eq!(
        core.on_commit_succeeded(first.generation),
        [complete(1, accepted(1)), Command::StartCommit]
    );
    let second = core.begin_commit().unwrap();
    core.on_request(accept(3), 3);
    assert_eq!(core.on_commit_failed(second.generation), [fail(2), fail(3)]);
    core.on_reloaded(AcceptorState {
        promised: ballot(1),
        accepted: Some(value(1)),
    });
    assert_eq!(core.on_request(accept(4), 4), [Command::StartCommit]);
    let third = core.begin_commit().unwrap();
    assert_eq!(third.write, write(4, Some(4)));
    assert_eq!(
        core.on_commit_succeeded(third.generation),
        [complete(4, accepted(4))]
    );
}

#[test]
fn a_reloaded_state_replaces_the_one_in_memory() {
    let mut core = core();
    sync(&mut core, accept(1));
    core.on_request(accept(5), 5);
    let commit = core.begin_commit().unwrap();
    fail_commit(&mut core, &commit);
    core.on_reloaded(AcceptorState {
        promised: ballot(2),
        accepted: Some(value(1)),
    });
    let reply = read_reply(2, ReportedValue::Value(value(1)));
    assert_eq!(
        core.on_request(read(), 6),
        [complete(6, reply)],
        "what was not synced is forgotten"
    );
    assert_eq!(core.accepted(), Some(&value(1)));
    assert_eq!(
        core.on_request(accept(3), 7),
        [Command::StartCommit],
        "nor does its promise hold"
    );
}

#[test]
fn a_late_report_of_a_former_generation_is_ignored() {
    let mut core = core();
    core.on_request(accept(1), 1);
    let former = core.begin_commit().unwrap();
    fail_commit(&mut core, &former);
    core.on_reloaded(AcceptorState::default());
    core.on_request(accept(2), 2);
    let current = core.begin_commit().unwrap();
    assert_ne!(former.generation, current.generation);
    assert_eq!(core.on_commit_succeeded(former.generation), []);
    assert_eq!(core.on_commit_failed(former.generation), []);
    assert!(core.is_busy(), "the commit under way is not over");
    assert_eq!(
        core.on_commit_succeeded(current.generation),
        [complete(2, accepted(2))]
    );
}

#[test]
fn a_sync_that_ends_after_the_close_gives_its_replies_and_the_queue_is_committed() {
    let mut core = core();
    core.on_request(accept(1), 1);
    let first = core.begin_commit().unwrap();
    core.on_request(prepare(2), 2);
    core.close();
    assert_eq!(
        core.on_commit_succeeded(first.generation),
        [complete(1, accepted(1)), Command::StartCommit]
    );
    let second = core.begin_commit().unwrap();
    assert_eq!(second.write, write(2, None));
    let reply = promise(2, ReportedValue::Value(value(1)));
    assert_eq!(
        core.on_commit_succeeded(second.generation),
        [complete(2, reply)]
    );
    assert_eq!(core.on_committer_stopped(), []);
}

#[test]
fn after_the_close_every_request_is_refused() {
    let mut core = core();
    sync(&mut core, accept(1));
    core.close();
    for (token, request) in [(2, read()), (3, accept(3)), (4, prepare(4)), (5, read())] {
        assert_eq!(core.on_request(request, token), [fail(token)]);
    }
    assert_eq!(
        core.on_chosen(&value(1), 6),
        [fail(6)],
        "not even what it has"
    );
    assert_eq!(core.begin_commit(), None);
    assert_eq!(core.accepted(), Some(&value(1)));
}

#[test]
fn a_value_that_was_lost_with_a_failed_commit_is_learned_after_the_reload() {
    let mut core = core();
    sync(&mut core, accept(1));
    core.on_request(accept(5), 5);
    let commit = core.begin_commit().unwrap();
    fail_commit(&mut core, &commit);
    core.on_reloaded(AcceptorState {
        promised: ballot(1),
        accepted: Some(value(1)),
    });
    assert_eq!(core.accepted(), Some(&value(1)), "before any request");
    assert_eq!(core.on_chosen(&value(5), 6), [Command::StartCommit]);
    let commit = core.begin_commit().unwrap();
    assert_eq!(commit.write, write(5, Some(5)));
    assert_eq!(core.on_commit_succeeded(commit.generation), [learned(6)]);
}

#[test]
fn a_write_after_the_close_does_not_fail_those_before_it() {
    let mut core = core();
    core.on_request(accept(1), 1);
    let commit = core.begin_commit().unwrap();
    core.close();
    assert_eq!(core.on_request(accept(2), 2), [fail(2)]);
    assert_eq!(commit.write, write(1, Some(1)));
    assert_eq!(
        core.on_commit_succeeded(commit.generation),
        [complete(1, accepted(1))]
    );
}

#[test]
fn writes_that_a_stopped_committer_leaves_behind_fail() {
    let mut core = core();
    core.on_request(accept(1), 1);
    core.begin_commit().unwrap();
    core.on_request(prepare(2), 2);
    assert_eq!(core.on_committer_stopped(), [fail(1), fail(2)]);
    assert_eq!(core.on_request(read(), 3), [fail(3)]);
}

#[test]
fn a_chosen_value_is_learned_by_a_member_that_is_behind() {
    let mut core = core();
    sync(&mut core, prepare(9));
    assert_eq!(core.on_chosen(&value(5), 1), [Command::StartCommit]);
    let commit = core.begin_commit().unwrap();
    assert_eq!(
        commit.write,
        write(9, Some(5)),
        "the promise above the value holds"
    );
    assert_eq!(core.on_commit_succeeded(commit.generation), [learned(1)]);
    for (token, chosen) in [(2, value(5)), (3, value(4)), (4, value_for(8, 6))] {
        assert_eq!(core.on_chosen(&chosen, token), [learned(token)]);
    }
    assert_eq!(core.accepted(), Some(&value(5)));
    assert!(!core.is_busy());
}
