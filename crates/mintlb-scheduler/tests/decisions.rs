//! Decisions of one scheduler. The rows of most tables are: the case, the script, and the actions that the host is
//! asked for. `scripted/mod.rs` explains the scripts.

mod scripted;

use mintlb_scheduler::{Costs, LoadReport, Outcome};
use scripted::{
    OVERLOAD_WINDOW_S, ScriptedScheduler, scripted, scripted_with_costs, scripted_with_seed,
};

fn check(parallel: bool, cases: &[(&str, &str, &str)]) {
    for (case, script, actions) in cases {
        assert_eq!(
            scripted(parallel, false).run(script),
            *actions,
            "{case}: {script}"
        );
    }
}

#[test]
fn each_work_unit_gets_one_final_answer() {
    check(
        false,
        &[
            (
                "queued work is deferred when the promised turnaround is over",
                "call 1 0; at 0.2; wake",
                "defer 1",
            ),
            (
                "the timer fires early by a rounding error",
                "call 1 0; at 0.1999999999; wake; at 9; wake",
                "defer 1",
            ),
            (
                "not before the turnaround is over",
                "call 1 0; at 0.19; wake",
                "",
            ),
            (
                "time-out at the deadline",
                "list 1; call 1 2; at 3.2; end 1.0 timeout",
                "send 1>1, abort 1",
            ),
            (
                "deadline without an outcome",
                "list 1; call 1 2; at 3.2; wake",
                "send 1>1, abort 1, cancel 1.0",
            ),
            (
                "no answer to a client that has gone",
                "list 1; call 1 0; client-gone 1; end 1.0 error",
                "send 1>1, cancel 1.0",
            ),
            (
                "no second answer",
                "list 1; call 1 0; end 1.0 ok; at 9; wake; client-gone 1",
                "send 1>1",
            ),
            (
                "no retry after Moot",
                "list 1; call 1 0; end 1.0 moot",
                "send 1>1, defer 1",
            ),
            (
                "limit of three attempts",
                "list 1; call 1 0; end 1.0 full; end 1.1 full; end 1.2 full",
                "send 1>1, send 1>1, send 1>1, defer 1",
            ),
            (
                "no retry when the turnaround is over",
                "list 1; call 1 0; at 0.3; end 1.0 error",
                "send 1>1, defer 1",
            ),
        ],
    );
}

#[test]
fn work_is_repeated_only_where_its_idempotency_allows() {
    check(
        false,
        &[
            (
                "idempotent",
                "list 1; call 1 0; end 1.0 error",
                "send 1>1, send 1>1",
            ),
            (
                "non-idempotent, may have run",
                "list 1; call 1 2; end 1.0 error",
                "send 1>1, abort 1",
            ),
            (
                "may have run after a lost connection",
                "list 1; call 1 2; end 1.0 reset",
                "send 1>1, abort 1",
            ),
            (
                "may have run after a cancellation",
                "list 1; call 1 2; end 1.0 recalled",
                "send 1>1, abort 1",
            ),
            (
                "did not run if rejected",
                "list 1; call 1 2; end 1.0 full",
                "send 1>1, send 1>1",
            ),
            (
                "did not run without a connection",
                "list 1; call 1 2; end 1.0 down",
                "send 1>1, send 1>1",
            ),
            (
                "deferred if it did not run",
                "list 1; call 1 2; at 0.3; end 1.0 full",
                "send 1>1, defer 1",
            ),
            (
                "deduplicated, in its cell",
                "list 1; call 1 1; change 1g 2; end 1.0 error",
                "send 1>1, send 1>2",
            ),
            (
                "deduplicated, not in another cell",
                "list 1; call 1 1; change 1g 11; end 1.0 error",
                "send 1>1, abort 1",
            ),
            (
                "deduplicated, in another cell if it did not run",
                "list 1; call 1 1; change 1g 11; end 1.0 full",
                "send 1>1, send 1>11",
            ),
            (
                "deduplicated everywhere",
                "list 1; call 1 3; change 1g 11; end 1.0 error",
                "send 1>1, send 1>11",
            ),
            (
                "not after the window",
                "list 1; call 1 4; at 0.1; end 1.0 error",
                "send 1>1, abort 1",
            ),
            (
                "deferred after the window if deduplicated everywhere",
                "list 1; call 1 5; at 0.1; end 1.0 error",
                "send 1>1, defer 1",
            ),
            (
                "one at a time without parallel attempts",
                "list 1 2; call 1 0; at 0.1; wake",
                "send 1>1",
            ),
        ],
    );
    check(
        true,
        &[
            (
                "late start: second attempt",
                "list 1 2; call 1 0; at 0.05; wake",
                "send 1>1, send 1>2",
            ),
            (
                "the first to start is kept",
                "list 1 2; call 1 0; at 0.05; wake; start 1.1; start 1.0",
                "send 1>1, send 1>2, cancel 1.0, cancel 1.0",
            ),
            (
                "the answer cancels the other",
                "list 1 2; call 1 0; at 0.05; wake; end 1.1 ok; end 1.0 recalled",
                "send 1>1, send 1>2, cancel 1.0",
            ),
            (
                "deduplicated: second attempt only in its cell",
                "list 1 11; call 1 1; at 0.05; wake",
                "send 1>1",
            ),
            (
                "a start reported after the outcome is ignored",
                "list 1; call 1 0; end 1.0 error; start 1.0",
                "send 1>1, send 1>1",
            ),
            (
                "also if the work is queued again",
                "list 1; call 1 0; change 1d 2d; end 1.0 full ended; start 1.0",
                "send 1>1",
            ),
            (
                "non-idempotent: no second attempt",
                "list 1 2; call 1 2; at 0.05; wake",
                "send 1>1",
            ),
            (
                "unstarted work fills a worker",
                "list 1; call 1 2; at 0.1; call 2 0",
                "send 1>1",
            ),
            (
                "overdue non-idempotent work is marked as lost",
                "list 1; call 1 2; at 0.15; call 2 0; at 0.21; wake",
                "send 1>1, send 2>1",
            ),
            (
                "no more work of its type is sent there",
                "list 1 2 3; call 1 2; call 2 1; call 3 1; at 0.15; call 4 2; call 5 0; at 0.21; wake",
                "send 1>1, send 2>3, send 3>2, send 5>1",
            ),
            (
                "work of its type prefers a worker where some has started since, also in another zone",
                "list 1 101; call 1 2; at 0.1; call 2 2; start 2.0; end 2.0 ok; at 0.21; wake; call 3 2; call 4 0",
                "send 1>1, send 2>101, send 3>101, send 4>1",
            ),
            (
                "no second attempt after the turnaround",
                "list 1; call 1 1; at 0.1; wake; at 0.2; wake; change 2",
                "send 1>1",
            ),
            (
                "withdrawn if it has not started in time to earn credit and a repeat is harmless",
                "list 1; call 1 0; at 0.1; wake; at 0.2; wake; change 2",
                "send 1>1, defer 1, cancel 1.0",
            ),
            (
                "withdrawn if deduplicated everywhere",
                "list 1; call 1 3; at 0.2; wake",
                "send 1>1, defer 1, cancel 1.0",
            ),
            (
                "non-idempotent work that may have run is not withdrawn",
                "list 1; call 1 2; at 0.2; wake; at 3; wake",
                "send 1>1",
            ),
            (
                "not withdrawn after its start",
                "list 1; call 1 0; at 0.1; start 1.0; at 0.2; wake; change 2",
                "send 1>1",
            ),
            (
                "no retry of a failure after the turnaround",
                "list 1; call 1 0; at 0.1; start 1.0; at 0.3; wake; end 1.0 error",
                "send 1>1, defer 1",
            ),
        ],
    );
}

#[test]
fn worker_list_is_followed() {
    check(
        false,
        &[
            (
                "a draining worker gets nothing new",
                "list 1; change 1d; call 1 0",
                "",
            ),
            (
                "draining workers do not hide an untracked one",
                "list 1 2 3 4 5; change 1d 2d 3d 4d; call 1 0",
                "send 1>5",
            ),
            (
                "a gone worker gets nothing new",
                "list 1; change 1g; call 1 0",
                "",
            ),
            (
                "a worker missing from a full list is gone",
                "list 1 2; list 2; call 1 0",
                "send 1>2",
            ),
            (
                "the old list holds while the service is out of reach",
                "list 1; list-failed; call 1 0",
                "send 1>1",
            ),
            (
                "a worker returns",
                "list 1; change 1g; call 1 0; change 1",
                "send 1>1",
            ),
            (
                "a restarted worker is another one",
                "list 1; call 1 0; change 1n; call 2 0; at 0.01; end 1.0 ok",
                "send 1>1",
            ),
            (
                "an empty list",
                "list 1; list; call 1 0; at 0.2; wake",
                "defer 1",
            ),
        ],
    );
    let mut w = scripted(false, true);
    assert_eq!(w.run("on; at 0.375; wake"), "request-list");
    assert_eq!(
        w.run("list-failed; list-failed; list-failed; wake"),
        "",
        "one request, however many failures"
    );
    assert_eq!(w.run("at 9; wake"), "request-list");
    // Hundredths of a second until the next request: spread over an eighth of the 3 s first, later over the rest of
    // them.
    let mut waits = |update: &str| -> Vec<usize> {
        let next_request = |w: &mut ScriptedScheduler| {
            w.run(update);
            (0..600).position(|_| {
                w.now += 0.01;
                w.run("wake") == "request-list"
            })
        };
        (0..40)
            .map(|_| next_request(&mut w).expect("no request within 6 s"))
            .collect()
    };
    let (first, later) = (waits("list 1; list-failed"), waits("list-failed"));
    let spread = |waits: &[usize]| waits.iter().max().unwrap() - waits.iter().min().unwrap();
    assert!(
        first.iter().all(|w| *w <= 38) && spread(&first) > 24,
        "{first:?}"
    );
    assert!(
        later.iter().all(|w| *w <= 300) && spread(&later) > 180,
        "{later:?}"
    );
}

#[test]
fn dispatch_follows_pressure_and_headroom() {
    check(
        false,
        &[
            (
                "first come first served",
                "call 1 0; call 2 0; list 1",
                "send 1>1",
            ),
            ("highest credit", "call 1 0; call 2 2; list 1", "send 2>1"),
            (
                "times length",
                "call 1 1; call 2 3; call 3 3; call 4 3; list 1",
                "send 2>1",
            ),
            (
                "lower weight beyond a customer's share",
                "list 1 2 3 4; call 1 0 1; call 2 0 1; call 3 0 1; call 4 0 1; call 5 0 1; call 6 0 1; call 7 0 0; change 5",
                "send 1>4, send 2>3, send 3>2, send 4>1, send 7>5",
            ),
            ("unknown customer", "list 1; call 1 0 99", "send 1>1"),
            (
                "unstarted work fills a worker",
                "list 1; call 1 0; call 2 0",
                "send 1>1",
            ),
            (
                "until they start",
                "list 1; call 1 0; call 2 0; start 1.0",
                "send 1>1, send 2>1",
            ),
            (
                "the limit is the number of slots observed running",
                "list 1; call 1 0; start 1.0; call 2 0; start 2.0; call 3 0",
                "send 1>1, send 2>1",
            ),
            (
                "a late start halves the concurrency limit",
                "list 1; call 1 0; at 0.1; start 1.0; call 2 0",
                "send 1>1",
            ),
            (
                "a completion raises the concurrency limit",
                "list 1; call 1 0; at 0.1; start 1.0; end 1.0 ok; call 2 0; start 2.0; call 3 0",
                "send 1>1, send 2>1, send 3>1",
            ),
            (
                "a rejection halves the concurrency limit",
                "list 1; call 1 0; end 1.0 full; start 1.1; call 2 0",
                "send 1>1, send 1>1",
            ),
            (
                "an idle worker takes work of any size",
                "list 1; call 1 2 0 8",
                "send 1>1",
            ),
            (
                "large work does not fit a busy worker, and does not block other work",
                "list 1; call 1 0; start 1.0; call 2 2 0 8; call 3 0",
                "send 1>1, send 3>1",
            ),
            (
                "own zone first",
                "list 100 1 101; call 1 0; call 2 0; start 1.0; call 3 0",
                "send 1>1, send 2>100, send 3>101",
            ),
            (
                "most headroom first",
                "list 1 2; call 1 0; start 1.0; call 2 0; call 3 0",
                "send 1>1, send 2>2, send 3>1",
            ),
            (
                "long start delays in the own zone send work to another",
                "list 1 100; call 1 0; at 3; start 1.0; end 1.0 ok; call 2 0",
                "send 1>1, send 2>100",
            ),
            (
                "no work where it would start too late to earn credit",
                "list 1; call 1 0; at 1; start 1.0; end 1.0 ok; call 2 0",
                "send 1>1",
            ),
            (
                "a known start delay decays",
                "list 1; call 1 0; at 3; start 1.0; end 1.0 ok; at 60; call 2 0",
                "send 1>1, send 2>1",
            ),
            (
                "a suspect is avoided",
                "list 1 100 101; call 1 0; end 1.0 error; call 2 0",
                "send 1>1, send 1>100, send 2>101",
            ),
            (
                "a suspect is avoided only for the type that fails",
                "list 1 100 101; call 1 0; end 1.0 error; call 2 1",
                "send 1>1, send 1>100, send 2>1",
            ),
            (
                "non-idempotent work avoids suspects of any type",
                "list 1 100 101; call 1 0; end 1.0 error; call 2 2",
                "send 1>1, send 1>100, send 2>101",
            ),
            (
                "trials of a suspect use work that may be repeated",
                "list 1 100 101; call 1 0; end 1.0 error; change 100g 101g; end 1.1 error ended; at 5; call 2 2; call 3 0",
                "send 1>1, send 1>100, send 3>1",
            ),
        ],
    );
}

/// Where all workers fail now and then, as with resets on the network, a single failure must not make one a suspect.
#[test]
fn one_failure_counts_less_where_all_workers_fail() {
    for (every, suspect) in [(1000, true), (8, false)] {
        let mut w = scripted(false, false);
        w.run("list 1 2 3 4 5 6 7 8 9");
        for id in 0..200 {
            w.now += 0.05;
            w.run(&format!("call {id} 0; start {id}.0"));
            w.run(&if id % every == 5 {
                format!("end {id}.0 error ended")
            } else {
                format!("end {id}.0 ok")
            });
        }
        // New workers, none of which has failed before.
        w.run("list 11 12 13 14 15 16 17 18 19");
        let to = w
            .run("call 900 0; end 900.0 error ended")
            .replace("send 900>", "");
        let others = (11..20)
            .map(|id| format!("{id}d"))
            .filter(|id| *id != format!("{to}d"));
        w.run(&format!("change {}", others.collect::<Vec<_>>().join(" ")));
        assert_eq!(
            w.run("call 901 0").is_empty(),
            suspect,
            "one failure in {every}"
        );
    }
}

#[test]
fn slots_held_by_other_schedulers_reduce_headroom() {
    // Two slots, four schedulers. Each script ends with the arrival of a work unit; `then` is where it goes.
    let cheap = Some(0.01);
    for (peer_message, script, then) in [
        (cheap, "list 1; call 1 0", "send 1>1"),
        (cheap, "list 1; peer 1 0 1 2; call 1 0", ""),
        (
            cheap,
            "list 1 2; peer 1 0 1 1; peer 2 0 1 1; call 1 0",
            "send 1>2",
        ),
        (cheap, "list 1 2; peer 1 0 1 1; call 1 0 0 2", "send 1>2"),
        // Of one sender the message sent last counts, in whatever order they arrive.
        (
            cheap,
            "list 1; peer 1 0.5 1 2; peer 1 0.2 1 0; call 1 0",
            "send 1>1",
        ),
        (
            cheap,
            "list 1; peer 1 0.2 1 0; peer 1 0.5 1 2; call 1 0",
            "send 1>1",
        ),
        // Ignored: an unknown sender, an unknown worker, a worker that has restarted since.
        (cheap, "list 1; peer 4 0 1 2; call 1 0", "send 1>1"),
        (cheap, "list 1; peer 1 0 7 2; call 1 0", "send 1>1"),
        (
            cheap,
            "list 1; peer 1 0 1 2; change 1n; at 119; call 1 0",
            "send 1>1",
        ),
        (
            cheap,
            "list 1; change 1n; peer 1 0 1 2; at 119; call 1 0",
            "send 1>1",
        ),
        // The slots of a sender that is silent for longer than any work may last expire.
        (
            cheap,
            "list 1; peer 1 0 1 2; at 3.3; peer 2 0; call 1 0",
            "send 1>1",
        ),
        (
            cheap,
            "list 1; peer 1 0 1 2; at 3.1; peer 2 0; call 1 0",
            "",
        ),
        // The same after a lost message or a restart of the sender, although it sends other messages.
        (
            cheap,
            "list 1; peer 1 0 1 2; at 3.1; peer 1 0 7 1; at 3.7; peer 1 0 7 0; call 1 0",
            "send 1>1",
        ),
        // Messages count again after the sender's clock was set back.
        (
            cheap,
            "list 1; peer 1 0 1 2; at 3.4; peer 1 9 1 0; call 1 0",
            "send 1>1",
        ),
        // A message that makes headroom lets queued work be sent.
        (
            cheap,
            "list 1; peer 1 0.1 1 2; call 1 0; peer 1 0 1 0; at 0.01; wake",
            "send 1>1",
        ),
        // Messages are ignored if they cost too much or are not permitted.
        (Some(1.0), "list 1; peer 1 0 1 2; call 1 0", "send 1>1"),
        (None, "list 1; peer 1 0 1 2; call 1 0", "send 1>1"),
    ] {
        let mut w = scripted_with_costs(
            false,
            false,
            Costs {
                cross_zone: 0.02,
                peer_message,
            },
        );
        assert_eq!(w.run(script), then, "{peer_message:?}: {script}");
    }
}

/// From then on earlier messages no longer count, and none are sent.
#[test]
fn peer_messages_can_be_disabled_at_run_time() {
    let mut w = scripted_with_costs(
        false,
        false,
        Costs {
            cross_zone: 0.02,
            peer_message: Some(0.01),
        },
    );
    w.run("list 1; peer 1 0 1 1; call 1 0; start 1.0; no-peers");
    assert_eq!(w.run("at 0.05; wake; call 2 0"), "send 2>1");
}

#[test]
fn changes_are_broadcast() {
    let mut w = scripted_with_costs(
        false,
        false,
        Costs {
            cross_zone: 0.02,
            peer_message: Some(0.01),
        },
    );
    w.run("list 1 2; call 1 0; call 2 0");
    assert_eq!(w.run("at 0.01; wake"), "broadcast 1 1");
    assert_eq!(
        w.run("start 1.0; start 2.0; at 0.15; wake"),
        "",
        "nothing to report"
    );
    assert_eq!(w.run("end 1.0 ok; at 0.17; wake"), "broadcast 0");
    // While work waits for headroom, the next dispatch is as soon as others may have reported some.
    w.run("peer 1 0 1 2 2 2; call 3 0");
    assert!(w.host.timer < 0.01, "in {} s", w.host.timer);
    // More workers than fit into one message: the next one has the rest.
    let many: Vec<String> = (1..=100).map(|id| id.to_string()).collect();
    let mut w = scripted_with_costs(
        false,
        false,
        Costs {
            cross_zone: 0.02,
            peer_message: Some(0.01),
        },
    );
    w.run(&format!("list {}", many.join(" ")));
    (1..=200).for_each(|id| drop(w.run(&format!("call {id} 0; start {id}.0"))));
    let reported = |actions: String| actions.split(' ').filter(|a| *a == "2").count();
    assert_eq!(
        [
            reported(w.run("at 0.01; wake")),
            reported(w.run("at 0.02; wake"))
        ],
        [84, 16]
    );
}

#[test]
fn no_second_attempt_where_workers_report_free_slots() {
    for (report, second) in [
        ("", "send 1>2"),
        ("report 1 0; call 8 0; start 8.0; end 8.0 ok;", ""),
    ] {
        let mut w = scripted(true, false);
        w.run(&format!("list 1; {report} call 1 0; change 2"));
        let actions = w.run("at 0.1; wake");
        assert_eq!(
            actions
                .split(", ")
                .find(|a| a.starts_with("send"))
                .unwrap_or(""),
            second,
            "{report}"
        );
    }
}

#[test]
fn no_work_is_sent_where_it_would_be_late() {
    // Work is assumed to run for 0.2 s, and its start may be 0.2 s late.
    for (script, then) in [
        ("call 1 0; start 1.0; at 0.3; call 2 0", "send 2>1"),
        // An attempt that still runs says nothing of the worker: the work may take long anywhere.
        ("call 1 0; start 1.0; at 2; call 2 0", "send 2>1"),
        // A slow worker is avoided until that was a while ago.
        (
            "call 1 0; start 1.0; at 3; end 1.0 ok; at 3.1; call 2 0",
            "",
        ),
        (
            "call 1 0; start 1.0; at 3; end 1.0 ok; at 9; call 2 0",
            "send 2>1",
        ),
    ] {
        let mut w = scripted(false, false);
        w.run("list 1");
        let actions = w.run(script);
        let last = script
            .rsplit("call ")
            .next()
            .unwrap()
            .split(' ')
            .next()
            .unwrap();
        let sent = actions
            .split(", ")
            .find(|a| a.starts_with(&format!("send {last}>")))
            .unwrap_or("");
        assert_eq!(sent, then, "{script}");
    }
}

#[test]
fn giving_up_is_answered_at_once_with_retry_after() {
    // Without a worker, work is given up when its turnaround is over, not at the client's deadline.
    for (kind, answer) in [(0, "defer 1"), (1, "defer 1"), (2, "defer 1")] {
        let mut w = scripted(false, false);
        assert_eq!(w.run(&format!("list; call 1 {kind}; at 0.19; wake")), "");
        assert_eq!(w.run("at 0.2; wake"), answer, "type {kind}");
        assert_eq!(w.host.retry_after, [0.1], "half the turnaround");
    }
    // A failure after the turnaround is answered in the same call.
    for (kind, outcome, answer) in [
        (0, "error", "defer 1"),
        (1, "error", "abort 1"),
        (2, "error", "abort 1"),
        (2, "full", "defer 1"),
    ] {
        let mut w = scripted(false, false);
        w.run(&format!("list 1; call 1 {kind}; start 1.0; at 0.3"));
        assert_eq!(
            w.run(&format!("end 1.0 {outcome}")),
            answer,
            "type {kind}, {outcome}"
        );
    }
}

#[test]
fn late_starts_shrink_the_start_window() {
    // Twelve workers, and twelve work units at once: a full window of them is sent until starts have been late for a
    // while.
    let mut w = scripted(false, false);
    w.run("list 1 2 3 4 5 6 7 8 9 10 11 12");
    let burst = |w: &mut ScriptedScheduler, from: u64| -> Vec<String> {
        let actions: Vec<String> = (from..from + 12)
            .map(|id| w.run(&format!("call {id} 0")))
            .collect();
        actions
            .join(", ")
            .split(", ")
            .filter_map(|a| Some(a.strip_prefix("send ")?.to_string()))
            .collect()
    };
    assert_eq!(burst(&mut w, 0).len(), 8);
    w.now += 0.25;
    w.run("wake");
    assert_eq!(
        burst(&mut w, 20).len(),
        4,
        "unstarted work must not stop other work for long"
    );
    for late in 0..8 {
        w.now += 0.25;
        w.run(&format!("start {late}.0; end {late}.0 ok"));
    }
    w.now += 60.0;
    w.run("wake");
    assert_eq!(burst(&mut w, 100).len(), 1);
}

#[test]
fn lists_of_any_length_are_applied() {
    let long: Vec<String> = (1..4000).map(|id| id.to_string()).collect();
    let mut w = scripted(false, false);
    for (list, known) in [
        (&long[..], 3999),
        (&long[..], 3999),
        (&long[10..30], 20),
        (&[], 0),
        (&long[..2], 2),
    ] {
        w.run(&format!("list {}", list.join(" ")));
        let work_units = (1..4000)
            .filter(|id| w.scheduler.worker(*id).is_some())
            .count();
        assert_eq!(work_units, known);
    }
    assert_eq!(
        w.run("list 1 1 1; call 1 0; call 2 0"),
        "send 1>1",
        "a worker listed twice is one worker"
    );
}

/// Work units arrive as fast as worker 1 rejects them, for this time; returns how many it was sent.
fn overload(w: &mut ScriptedScheduler, seconds: f64) -> usize {
    let mut sent = 0;
    for i in 0..(seconds * 100.0) as u64 {
        w.now += 0.01;
        let actions = w.run(&format!("call {i} 0; wake"));
        for id in actions
            .split(", ")
            .filter_map(|a| a.strip_prefix("send ")?.strip_suffix(">1"))
        {
            sent += 1;
            w.run(&format!("start {id}.0; end {id}.0 full ended"));
        }
    }
    sent
}

#[test]
fn cold_worker_gets_no_more_than_its_budget() {
    // One of four schedulers: 3 x 35 % (a bound of the capacity in this time) of what two slots run, in units of 0.2 s.
    let allowed = 3.0 * 0.35 * 2.0 / 0.2 * OVERLOAD_WINDOW_S / 4.0;
    for (listed, cold) in [("list 1n", true), ("list 1", false)] {
        let mut w = scripted(false, false);
        w.run(listed);
        let sent = overload(&mut w, OVERLOAD_WINDOW_S) as f64;
        assert_eq!(
            sent <= allowed && sent > 0.0,
            cold,
            "{listed}: {sent} sent, {allowed} allowed"
        );
    }
}

/// Worker 1 is in the scheduler's zone and holds one work unit; 101 in another zone holds none, or as many. `expected`
/// is where most of sixty work units go.
#[test]
fn cross_zone_sends_depend_on_their_cost() {
    let (free, expensive, messages) = (0.0, 0.1, Some(0.01));
    for (peer_message, cross_zone, setup, expected) in [
        (None, free, "call 1 0; start 1.0; change 101", "101"),
        (None, expensive, "call 1 0; start 1.0; change 101", "1"),
        // With messages, however many free slots were reported: headroom is capped before it is weighted.
        (messages, expensive, "change 101; peer 1 0 1 7 101 0", "1"),
        (messages, free, "change 101; peer 1 0 1 7 101 0", "both"),
        // All schedulers know the same load: the emptier worker must not get the work of all.
        (messages, free, "change 2; peer 1 0 1 6 2 0", "both"),
    ] {
        let mut crossed = 0;
        for seed in 1..=60u64 {
            let seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let mut w = scripted_with_seed(
                seed,
                false,
                false,
                Costs {
                    cross_zone,
                    peer_message,
                },
            );
            w.run("list 1; call 900 0; report 1 9; start 900.0; end 900.0 ok");
            w.run(setup);
            let sent = w.run("call 20 0");
            assert!(sent.contains("send 20>"), "{setup}: {sent}");
            crossed +=
                !sent.contains("send 20>1,") as usize & !sent.ends_with("send 20>1") as usize;
        }
        let to = match crossed {
            0..=9 => "1",
            51.. => "101",
            _ => "both",
        };
        assert_eq!(
            to, expected,
            "{peer_message:?}, {cross_zone}, {setup}: {crossed} of 60"
        );
    }
}

/// Each script lets the scheduler learn something of workers 1 and 2, then the list changes. What is known of a
/// process holds while it is listed, what is known of project types always, and what was observed at workers that are
/// gone does not apply to those that are left.
#[test]
fn learned_values_survive_list_changes_only_where_they_apply() {
    let roomy = "list 1; call 1 0; report 1 9; start 1.0; end 1.0 ok;";
    let slow = "list 1; call 1 0; start 1.0; at 2; end 1.0 ok; at 2.1;";
    let waits = "list 1; call 1 0; at 1; start 1.0; end 1.0 ok;";
    let failed = "list 1 2 3 4 5; call 1 0; end 1.0 error ended;";
    let late = "list 1 2 3 4 5 6 7 8 9;".to_string()
        + &(0..8).map(|id| format!("call {id} 0;")).collect::<String>()
        + &(0..8)
            .map(|id| format!("at {}; start {id}.0; end {id}.0 ok;", 1 + id))
            .collect::<String>()
        + "at 200; wake;";
    let four = "call 20 0; call 21 0; call 22 0; call 23 0";
    for (learned, list, then, sent, case) in [
        // With messages the limit is the most slots observed: 8 where 9 free slots were reported, 2 where nothing was.
        (
            roomy,
            "list 1;",
            "peer 1 0 1 5; call 20 0",
            1,
            "slots of a worker that stays",
        ),
        (
            roomy,
            "list 1 3;",
            "peer 1 0 1 5 3 5; call 20 0",
            1,
            "also for workers beside it",
        ),
        (
            roomy,
            "list 3 4;",
            "peer 1 0 3 5 4 5; call 20 0",
            0,
            "not of other workers",
        ),
        (slow, "list 1;", "call 20 0", 0, "a slow worker that stays"),
        (
            waits,
            "list 1 2;",
            "call 20 0",
            0,
            "start delays of a zone while a worker stays",
        ),
        (
            waits,
            "list 2;",
            "call 20 0",
            1,
            "not when all are replaced",
        ),
        (slow, "list 2;", "call 20 0", 1, "not another worker"),
        (
            late.as_str(),
            "list 1 2 3 4 5 6 7 8 9;",
            four,
            1,
            "a start window that late starts have shrunk",
        ),
        (
            late.as_str(),
            "list 11 12 13 14;",
            four,
            4,
            "not when all are replaced",
        ),
    ] {
        let mut w = scripted_with_costs(
            false,
            false,
            Costs {
                cross_zone: 0.02,
                peer_message: Some(0.01),
            },
        );
        if learned != roomy {
            w = scripted(false, false);
        }
        w.run(learned.trim_end_matches(';'));
        w.run(list.trim_end_matches(';'));
        let actions = w.run(then);
        assert_eq!(actions.matches("send").count(), sent, "{case}: {actions}");
    }
    // A suspect stays one in the next list.
    let mut w = scripted(false, false);
    let to = w.run(failed.trim_end_matches(';')).replace("send 1>", "");
    w.run(&format!("list {to}"));
    assert_eq!(w.run("call 20 0"), "");
    // What a worker that is gone has reported does not prevent second attempts.
    let mut w = scripted(true, false);
    w.run("list 1; call 1 0; report 1 9; start 1.0; end 1.0 ok; list 2; call 20 0; change 3");
    let second = w.run("at 0.1; wake");
    assert!(
        second.contains("send 20>3"),
        "no second attempt, although these workers do not report free slots: {second}"
    );
}

/// The budget of a cold worker depends on the most slots observed. Slots observed at a worker that is gone must not
/// count.
#[test]
fn cold_worker_gets_no_more_than_its_budget_after_a_larger_one_is_gone() {
    let allowed = 3.0 * 0.35 * 2.0 / 0.2 * OVERLOAD_WINDOW_S / 4.0;
    let mut w = scripted(false, false);
    w.run("list 2; call 9000 0; report 2 20; start 9000.0; end 9000.0 ok");
    w.run("list 1n");
    let sent = overload(&mut w, OVERLOAD_WINDOW_S) as f64;
    assert!(
        sent <= allowed && sent > 0.0,
        "{sent} sent, {allowed} allowed"
    );
}

#[test]
fn invalid_and_repeated_events_leave_the_counts_right() {
    let mut w = scripted(true, false);
    w.run("list 1 2 3 11");
    let mut actions = Vec::new();
    for i in 0..400u64 {
        w.now += 0.013;
        let id = i * 7 % 97;
        let kind = if i % 5 == 0 {
            "change 2g 3d"
        } else if i % 5 == 3 {
            "change 2n 3"
        } else {
            "wake"
        };
        actions.push(w.run(&format!(
            "call {i} {} {} {}; {kind}",
            i % 6,
            i % 3,
            1 << (i % 4)
        )));
        if let Some(attempt) = w.work_units.get(&id).and_then(|wu| wu.attempt(0)) {
            let free_slots = [f64::NAN, -3.0, f64::INFINITY, 0.0][(i % 4) as usize];
            let outcome = [
                Outcome::Error,
                Outcome::Full,
                Outcome::Completed,
                Outcome::Dropped,
            ][(i / 4 % 4) as usize];
            let report = LoadReport {
                free_slots: Some(free_slots),
            };
            w.scheduler.on_start(&mut w.host, w.now, &attempt);
            let ended = outcome == Outcome::Completed;
            w.scheduler
                .on_outcome(&mut w.host, w.now, &attempt, outcome, ended);
            w.scheduler
                .on_outcome(&mut w.host, w.now, &attempt, outcome, ended);
            w.scheduler.on_start(&mut w.host, w.now, &attempt);
            attempt.worker.record_report(w.now, report);
        }
    }
    w.now += 10.0;
    actions.push(w.run("wake"));
    for wu in w.work_units.clone().values() {
        for n in 0..3 {
            if let Some(attempt) = wu.attempt(n) {
                w.scheduler
                    .on_outcome(&mut w.host, w.now, &attempt, Outcome::Recalled, true);
            }
        }
        w.scheduler.on_client_gone(&mut w.host, w.now, wu);
        assert!(wu.is_settled(), "work unit {} is still open", wu.id);
    }
    actions.append(&mut w.host.actions);
    let actions = actions.join(", ");
    for id in w.work_units.keys() {
        let answers = [format!("defer {id}"), format!("abort {id}")];
        let given = actions
            .split(", ")
            .filter(|a| answers.iter().any(|f| f == a))
            .count();
        assert!(given <= 1, "work unit {id} was answered {given} times");
    }
    for id in [1, 3, 11] {
        assert_eq!(
            w.scheduler.worker(id).map(|w| w.slots_in_flight()),
            Some(0.0),
            "worker {id}"
        );
    }
}
