//! Tables of cases on the decisions, through the door. Each row: what is shown, the script, the acts.

mod world;

use mintlb_scheduler::{Costs, LoadReport, Outcome};
use world::{SPAN, World, world, world_at, world_by};

fn check(parallel: bool, cases: &[(&str, &str, &str)]) {
    for (shown, script, acts) in cases {
        assert_eq!(
            world(parallel, false).run(script),
            *acts,
            "{shown}: {script}"
        );
    }
}

#[test]
fn each_work_unit_gets_one_final_answer() {
    check(
        false,
        &[
            (
                "waiting work is deferred once the promise is out",
                "call 1 0; at 0.2; wake",
                "defer 1",
            ),
            (
                "a timer may ring a hair early",
                "call 1 0; at 0.1999999999; wake; at 9; wake",
                "defer 1",
            ),
            ("hopeless only then", "call 1 0; at 0.19; wake", ""),
            (
                "the limit's time-out is answered",
                "list 1; call 1 2; at 3.2; back 1.0 late",
                "send 1>1, abort 1",
            ),
            (
                "also where no outcome came",
                "list 1; call 1 2; at 3.2; wake",
                "send 1>1, abort 1, recall 1.0",
            ),
            (
                "who left is answered no more",
                "list 1; call 1 0; left 1; back 1.0 error",
                "send 1>1, recall 1.0",
            ),
            (
                "nor who was answered",
                "list 1; call 1 0; back 1.0 ok; at 9; wake; left 1",
                "send 1>1",
            ),
            (
                "moot is final",
                "list 1; call 1 0; back 1.0 moot",
                "send 1>1, defer 1",
            ),
            (
                "the last of three",
                "list 1; call 1 0; back 1.0 full; back 1.1 full; back 1.2 full",
                "send 1>1, send 1>1, send 1>1, defer 1",
            ),
            (
                "no second chance past hope",
                "list 1; call 1 0; at 0.3; back 1.0 error",
                "send 1>1, defer 1",
            ),
        ],
    );
}

#[test]
fn nothing_takes_effect_twice() {
    check(
        false,
        &[
            (
                "rerunnable",
                "list 1; call 1 0; back 1.0 error",
                "send 1>1, send 1>1",
            ),
            (
                "exclusive, may have run",
                "list 1; call 1 2; back 1.0 error",
                "send 1>1, abort 1",
            ),
            (
                "reset may have run",
                "list 1; call 1 2; back 1.0 reset",
                "send 1>1, abort 1",
            ),
            (
                "so may recalled",
                "list 1; call 1 2; back 1.0 recalled",
                "send 1>1, abort 1",
            ),
            (
                "full never ran",
                "list 1; call 1 2; back 1.0 full",
                "send 1>1, send 1>1",
            ),
            (
                "no connection never ran",
                "list 1; call 1 2; back 1.0 down",
                "send 1>1, send 1>1",
            ),
            (
                "never ran may be deferred",
                "list 1; call 1 2; at 0.3; back 1.0 full",
                "send 1>1, defer 1",
            ),
            (
                "receipted, in its cell",
                "list 1; call 1 1; change 1g 2; back 1.0 error",
                "send 1>1, send 1>2",
            ),
            (
                "not in another",
                "list 1; call 1 1; change 1g 11; back 1.0 error",
                "send 1>1, abort 1",
            ),
            (
                "unless it never ran",
                "list 1; call 1 1; change 1g 11; back 1.0 full",
                "send 1>1, send 1>11",
            ),
            (
                "known everywhere",
                "list 1; call 1 3; change 1g 11; back 1.0 error",
                "send 1>1, send 1>11",
            ),
            (
                "not past the window",
                "list 1; call 1 4; at 0.1; back 1.0 error",
                "send 1>1, abort 1",
            ),
            (
                "then a deferral, if known everywhere",
                "list 1; call 1 5; at 0.1; back 1.0 error",
                "send 1>1, defer 1",
            ),
            (
                "never two at once here",
                "list 1 2; call 1 0; at 0.1; wake",
                "send 1>1",
            ),
        ],
    );
    check(
        true,
        &[
            (
                "a late start brings a second",
                "list 1 2; call 1 0; at 0.05; wake",
                "send 1>1, send 1>2",
            ),
            (
                "the first to start is kept",
                "list 1 2; call 1 0; at 0.05; wake; start 1.1; start 1.0",
                "send 1>1, send 1>2, recall 1.0, recall 1.0",
            ),
            (
                "the answer ends the other",
                "list 1 2; call 1 0; at 0.05; wake; back 1.1 ok; back 1.0 recalled",
                "send 1>1, send 1>2, recall 1.0",
            ),
            (
                "receipted only in its cell",
                "list 1 11; call 1 1; at 0.05; wake",
                "send 1>1",
            ),
            (
                "a note after the outcome tells nothing",
                "list 1; call 1 0; back 1.0 error; start 1.0",
                "send 1>1, send 1>1",
            ),
            (
                "nor of work that waits again",
                "list 1; call 1 0; change 1d 2d; back 1.0 full ended; start 1.0",
                "send 1>1",
            ),
            (
                "exclusive never",
                "list 1 2; call 1 2; at 0.05; wake",
                "send 1>1",
            ),
            (
                "what has not started fills a worker",
                "list 1; call 1 2; at 0.1; call 2 0",
                "send 1>1",
            ),
            (
                "but exclusive work that starts too late is taken for lost there",
                "list 1; call 1 2; at 0.15; call 2 0; at 0.21; wake",
                "send 1>1, send 2>1",
            ),
            (
                "and no more of its type is sent there",
                "list 1 2 3; call 1 2; call 2 1; call 3 1; at 0.15; call 4 2; call 5 0; at 0.21; wake",
                "send 1>1, send 2>3, send 3>2, send 5>1",
            ),
            (
                "then it first goes to where some has started since, however far",
                "list 1 101; call 1 2; at 0.1; call 2 2; start 2.0; back 2.0 ok; at 0.21; wake; call 3 2; call 4 0",
                "send 1>1, send 2>101, send 3>101, send 4>1",
            ),
            (
                "it looks no longer than its patience",
                "list 1; call 1 1; at 0.1; wake; at 0.2; wake; change 2",
                "send 1>1",
            ),
            (
                "where a repeat is harmless it is given up while it has not started and can earn nothing any more",
                "list 1; call 1 0; at 0.1; wake; at 0.2; wake; change 2",
                "send 1>1, defer 1, recall 1.0",
            ),
            (
                "receipted work known everywhere, too",
                "list 1; call 1 3; at 0.2; wake",
                "send 1>1, defer 1, recall 1.0",
            ),
            (
                "never exclusive work that may have run",
                "list 1; call 1 2; at 0.2; wake; at 3; wake",
                "send 1>1",
            ),
            (
                "not so once it has started",
                "list 1; call 1 0; at 0.1; start 1.0; at 0.2; wake; change 2",
                "send 1>1",
            ),
            (
                "what fails meanwhile past hope ends",
                "list 1; call 1 0; at 0.1; start 1.0; at 0.3; wake; back 1.0 error",
                "send 1>1, defer 1",
            ),
        ],
    );
}

#[test]
fn the_list_is_obeyed() {
    check(
        false,
        &[
            (
                "a draining worker gets nothing new",
                "list 1; change 1d; call 1 0",
                "",
            ),
            (
                "nor does one hide those never met",
                "list 1 2 3 4 5; change 1d 2d 3d 4d; call 1 0",
                "send 1>5",
            ),
            ("nor a gone one", "list 1; change 1g; call 1 0", ""),
            (
                "absent from a full list is gone",
                "list 1 2; list 2; call 1 0",
                "send 1>2",
            ),
            (
                "the old list holds out of reach",
                "list 1; lost; call 1 0",
                "send 1>1",
            ),
            (
                "a worker returns",
                "list 1; change 1g; call 1 0; change 1",
                "send 1>1",
            ),
            (
                "started anew it is a new one",
                "list 1; call 1 0; change 1n; call 2 0; at 0.01; back 1.0 ok",
                "send 1>1",
            ),
            (
                "an empty list",
                "list 1; list; call 1 0; at 0.2; wake",
                "defer 1",
            ),
        ],
    );
    let mut w = world(false, true);
    assert_eq!(w.run("on; at 0.375; wake"), "ask");
    assert_eq!(
        w.run("lost; lost; lost; wake"),
        "",
        "no flood, however many failures"
    );
    assert_eq!(w.run("at 9; wake"), "ask");
    // Hundredths of a second until asked again: spread over an eighth of the three seconds, then over all that is left.
    let mut waits = |news: &str| -> Vec<usize> {
        let asks = |w: &mut World| {
            w.run(news);
            (0..600).position(|_| {
                w.now += 0.01;
                w.run("wake") == "ask"
            })
        };
        (0..40)
            .map(|_| asks(&mut w).expect("asks again well within the time it must"))
            .collect()
    };
    let (first, later) = (waits("list 1; lost"), waits("lost"));
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
fn the_rule_picks_by_pressure_and_room() {
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
                "less past a customer's share",
                "list 1 2 3 4; call 1 0 1; call 2 0 1; call 3 0 1; call 4 0 1; call 5 0 1; call 6 0 1; call 7 0 0; change 5",
                "send 1>4, send 2>3, send 3>2, send 4>1, send 7>5",
            ),
            (
                "a customer that is not known",
                "list 1; call 1 0 99",
                "send 1>1",
            ),
            (
                "the unstarted fill a worker",
                "list 1; call 1 0; call 2 0",
                "send 1>1",
            ),
            (
                "until they start",
                "list 1; call 1 0; call 2 0; start 1.0",
                "send 1>1, send 2>1",
            ),
            (
                "the ceiling is what was seen to run",
                "list 1; call 1 0; start 1.0; call 2 0; start 2.0; call 3 0",
                "send 1>1, send 2>1",
            ),
            (
                "a late start halves the allowance",
                "list 1; call 1 0; at 0.1; start 1.0; call 2 0",
                "send 1>1",
            ),
            (
                "a completed one adds to it",
                "list 1; call 1 0; at 0.1; start 1.0; back 1.0 ok; call 2 0; start 2.0; call 3 0",
                "send 1>1, send 2>1, send 3>1",
            ),
            (
                "full halves it too",
                "list 1; call 1 0; back 1.0 full; start 1.1; call 2 0",
                "send 1>1, send 1>1",
            ),
            (
                "an empty worker fits any size",
                "list 1; call 1 2 0 8",
                "send 1>1",
            ),
            (
                "another does not, and blocks none",
                "list 1; call 1 0; start 1.0; call 2 2 0 8; call 3 0",
                "send 1>1, send 3>1",
            ),
            (
                "our own zone first",
                "list 100 1 101; call 1 0; call 2 0; start 1.0; call 3 0",
                "send 1>1, send 2>100, send 3>101",
            ),
            (
                "most room first",
                "list 1 2; call 1 0; start 1.0; call 2 0; call 3 0",
                "send 1>1, send 2>2, send 3>1",
            ),
            (
                "long waits in our zone send work to another",
                "list 1 100; call 1 0; at 3; start 1.0; back 1.0 ok; call 2 0",
                "send 1>1, send 2>100",
            ),
            (
                "no sends where starts outlast what work bears, late answers earning nothing",
                "list 1; call 1 0; at 1; start 1.0; back 1.0 ok; call 2 0",
                "send 1>1",
            ),
            (
                "what is known of a wait fades, and work is sent again",
                "list 1; call 1 0; at 3; start 1.0; back 1.0 ok; at 60; call 2 0",
                "send 1>1, send 2>1",
            ),
            (
                "a failing worker is left alone",
                "list 1 100 101; call 1 0; back 1.0 error; call 2 0",
                "send 1>1, send 1>100, send 2>101",
            ),
            (
                "though only for the project type that fails",
                "list 1 100 101; call 1 0; back 1.0 error; call 2 1",
                "send 1>1, send 1>100, send 2>1",
            ),
            (
                "and for what can't be repeated",
                "list 1 100 101; call 1 0; back 1.0 error; call 2 2",
                "send 1>1, send 1>100, send 2>101",
            ),
            (
                "and tried with what may repeat",
                "list 1 100 101; call 1 0; back 1.0 error; change 100g 101g; back 1.1 error ended; at 5; call 2 2; call 3 0",
                "send 1>1, send 1>100, send 3>1",
            ),
        ],
    );
}

/// Where all workers fail now and then, as with resets on the way, a single failure must not rest one.
#[test]
fn one_failure_tells_less_where_all_fail() {
    for (every, suspect) in [(1000, true), (8, false)] {
        let mut w = world(false, false);
        w.run("list 1 2 3 4 5 6 7 8 9");
        for id in 0..200 {
            w.now += 0.05;
            w.run(&format!("call {id} 0; start {id}.0"));
            w.run(&if id % every == 5 {
                format!("back {id}.0 error ended")
            } else {
                format!("back {id}.0 ok")
            });
        }
        // Newcomers: none of them has failed before.
        w.run("list 11 12 13 14 15 16 17 18 19");
        let to = w
            .run("call 900 0; back 900.0 error ended")
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
fn what_the_others_hold_takes_room() {
    // Two lanes; four schedulers, we are one of them. Each script ends with work that comes, and where it goes.
    let cheap = Some(0.01);
    for (peer_message, script, then) in [
        (cheap, "list 1; call 1 0", "send 1>1"),
        (cheap, "list 1; hear 1 0 1 2; call 1 0", ""),
        (
            cheap,
            "list 1 2; hear 1 0 1 1; hear 2 0 1 1; call 1 0",
            "send 1>2",
        ),
        (cheap, "list 1 2; hear 1 0 1 1; call 1 0 0 2", "send 1>2"),
        // Its own later word counts, in whatever order they come.
        (
            cheap,
            "list 1; hear 1 0.5 1 2; hear 1 0.2 1 0; call 1 0",
            "send 1>1",
        ),
        (
            cheap,
            "list 1; hear 1 0.2 1 0; hear 1 0.5 1 2; call 1 0",
            "send 1>1",
        ),
        // Nobody of us, no worker of ours, a worker that has started since.
        (cheap, "list 1; hear 4 0 1 2; call 1 0", "send 1>1"),
        (cheap, "list 1; hear 1 0 7 2; call 1 0", "send 1>1"),
        (
            cheap,
            "list 1; hear 1 0 1 2; change 1n; at 119; call 1 0",
            "send 1>1",
        ),
        (
            cheap,
            "list 1; change 1n; hear 1 0 1 2; at 119; call 1 0",
            "send 1>1",
        ),
        // Who is silent for longer than any work may last holds nothing.
        (
            cheap,
            "list 1; hear 1 0 1 2; at 3.3; hear 2 0; call 1 0",
            "send 1>1",
        ),
        (
            cheap,
            "list 1; hear 1 0 1 2; at 3.1; hear 2 0; call 1 0",
            "",
        ),
        // Nor does one word that was lost, or a scheduler that has started anew, keep a worker from us for longer.
        (
            cheap,
            "list 1; hear 1 0 1 2; at 3.1; hear 1 0 7 1; at 3.7; hear 1 0 7 0; call 1 0",
            "send 1>1",
        ),
        // A clock that was set back counts again.
        (
            cheap,
            "list 1; hear 1 0 1 2; at 3.4; hear 1 9 1 0; call 1 0",
            "send 1>1",
        ),
        // What makes room sends what waits.
        (
            cheap,
            "list 1; hear 1 0.1 1 2; call 1 0; hear 1 0 1 0; at 0.01; wake",
            "send 1>1",
        ),
        // Where words cost too much, or there are none, nobody listens.
        (Some(1.0), "list 1; hear 1 0 1 2; call 1 0", "send 1>1"),
        (None, "list 1; hear 1 0 1 2; call 1 0", "send 1>1"),
    ] {
        let mut w = world_at(
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

/// From then on what was told holds no more, and nobody is told.
#[test]
fn words_can_be_given_up_while_it_serves() {
    let mut w = world_at(
        false,
        false,
        Costs {
            cross_zone: 0.02,
            peer_message: Some(0.01),
        },
    );
    w.run("list 1; hear 1 0 1 1; call 1 0; start 1.0; hush");
    assert_eq!(w.run("at 0.05; wake; call 2 0"), "send 2>1");
}

#[test]
fn the_others_are_told_of_what_changed() {
    let mut w = world_at(
        false,
        false,
        Costs {
            cross_zone: 0.02,
            peer_message: Some(0.01),
        },
    );
    w.run("list 1 2; call 1 0; call 2 0");
    assert_eq!(w.run("at 0.01; wake"), "tell 1 1");
    assert_eq!(
        w.run("start 1.0; start 2.0; at 0.15; wake"),
        "",
        "nothing has changed"
    );
    assert_eq!(w.run("back 1.0 ok; at 0.17; wake"), "tell 0");
    // Work that waits for room is looked at again as soon as others may have told of some.
    w.run("hear 1 0 1 2 2 2; call 3 0");
    assert!(w.acts.wake < 0.01, "in {} s", w.acts.wake);
    // More workers than one word holds: the next one tells of the rest.
    let many: Vec<String> = (1..=100).map(|id| id.to_string()).collect();
    let mut w = world_at(
        false,
        false,
        Costs {
            cross_zone: 0.02,
            peer_message: Some(0.01),
        },
    );
    w.run(&format!("list {}", many.join(" ")));
    (1..=200).for_each(|id| drop(w.run(&format!("call {id} 0; start {id}.0"))));
    let told = |acts: String| acts.split(' ').filter(|a| *a == "2").count();
    assert_eq!(
        [told(w.run("at 0.01; wake")), told(w.run("at 0.02; wake"))],
        [84, 16]
    );
}

#[test]
fn no_second_allocation_where_workers_tell_of_room() {
    for (told, second) in [
        ("", "send 1>2"),
        ("told 1 0; call 8 0; start 8.0; back 8.0 ok;", ""),
    ] {
        let mut w = world(true, false);
        w.run(&format!("list 1; {told} call 1 0; change 2"));
        let acts = w.run("at 0.1; wake");
        assert_eq!(
            acts.split(", ")
                .find(|a| a.starts_with("send"))
                .unwrap_or(""),
            second,
            "{told}"
        );
    }
}

#[test]
fn no_work_goes_where_it_would_be_late() {
    // Work usually runs for 0.2 s and may start 0.2 s late.
    for (script, then) in [
        ("call 1 0; start 1.0; at 0.3; call 2 0", "send 2>1"),
        // One long run tells nothing of the worker until it has ended: it may be long anywhere.
        ("call 1 0; start 1.0; at 2; call 2 0", "send 2>1"),
        // One that was slow is kept from until that was a while ago.
        (
            "call 1 0; start 1.0; at 3; back 1.0 ok; at 3.1; call 2 0",
            "",
        ),
        (
            "call 1 0; start 1.0; at 3; back 1.0 ok; at 9; call 2 0",
            "send 2>1",
        ),
    ] {
        let mut w = world(false, false);
        w.run("list 1");
        let acts = w.run(script);
        let last = script
            .rsplit("call ")
            .next()
            .unwrap()
            .split(' ')
            .next()
            .unwrap();
        let sent = acts
            .split(", ")
            .find(|a| a.starts_with(&format!("send {last}>")))
            .unwrap_or("");
        assert_eq!(sent, then, "{script}");
    }
}

#[test]
fn given_up_is_answered_at_once_and_says_when_to_come_back() {
    // With nobody to run it work is given up at the end of its promise, not of its client's patience.
    for (kind, answer) in [(0, "defer 1"), (1, "defer 1"), (2, "defer 1")] {
        let mut w = world(false, false);
        assert_eq!(w.run(&format!("list; call 1 {kind}; at 0.19; wake")), "");
        assert_eq!(w.run("at 0.2; wake"), answer, "type {kind}");
        assert_eq!(w.acts.come_back, [0.1], "half a promise");
    }
    // What comes back undone when its promise is over is answered in the same call.
    for (kind, outcome, answer) in [
        (0, "error", "defer 1"),
        (1, "error", "abort 1"),
        (2, "error", "abort 1"),
        (2, "full", "defer 1"),
    ] {
        let mut w = world(false, false);
        w.run(&format!("list 1; call 1 {kind}; start 1.0; at 0.3"));
        assert_eq!(
            w.run(&format!("back 1.0 {outcome}")),
            answer,
            "type {kind}, {outcome}"
        );
    }
}

#[test]
fn late_starts_close_the_window() {
    // Twelve workers, as many work units at once: all are sent, until starts have come late for a while.
    let mut w = world(false, false);
    w.run("list 1 2 3 4 5 6 7 8 9 10 11 12");
    let burst = |w: &mut World, from: u64| -> Vec<String> {
        let acts: Vec<String> = (from..from + 12)
            .map(|id| w.run(&format!("call {id} 0")))
            .collect();
        acts.join(", ")
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
        "what is stuck stops nothing else for long"
    );
    for late in 0..8 {
        w.now += 0.25;
        w.run(&format!("start {late}.0; back {late}.0 ok"));
    }
    w.now += 60.0;
    w.run("wake");
    assert_eq!(burst(&mut w, 100).len(), 1);
}

#[test]
fn lists_of_any_length_are_followed() {
    let long: Vec<String> = (1..4000).map(|id| id.to_string()).collect();
    let mut w = world(false, false);
    for (list, known) in [
        (&long[..], 3999),
        (&long[..], 3999),
        (&long[10..30], 20),
        (&[], 0),
        (&long[..2], 2),
    ] {
        w.run(&format!("list {}", list.join(" ")));
        let held = (1..4000)
            .filter(|id| w.scheduler.worker(*id).is_some())
            .count();
        assert_eq!(held, known);
    }
    assert_eq!(
        w.run("list 1 1 1; call 1 0; call 2 0"),
        "send 1>1",
        "a worker named twice is one"
    );
}

/// Sends to one worker as fast as it answers, for a time; how many it got.
fn hammer(w: &mut World, seconds: f64) -> usize {
    let mut sent = 0;
    for i in 0..(seconds * 100.0) as u64 {
        w.now += 0.01;
        let acts = w.run(&format!("call {i} 0; wake"));
        for id in acts
            .split(", ")
            .filter_map(|a| a.strip_prefix("send ")?.strip_suffix(">1"))
        {
            sent += 1;
            w.run(&format!("start {id}.0; back {id}.0 full ended"));
        }
    }
    sent
}

#[test]
fn a_cold_worker_is_spared() {
    // Four schedulers; 3 x 20% of what two slots can run, in units that are taken to run 0.2 s.
    let most = 3.0 * 0.35 * 2.0 / 0.2 * SPAN / 4.0;
    for (listed, cold) in [("list 1n", true), ("list 1", false)] {
        let mut w = world(false, false);
        w.run(listed);
        let sent = hammer(&mut w, SPAN) as f64;
        assert_eq!(
            sent <= most && sent > 0.0,
            cold,
            "{listed}: {sent} sent, {most} allowed"
        );
    }
}

/// Worker 1 is in our zone and holds one work unit, 101 in another holds none, or as many. Where most of sixty go.
#[test]
fn crossing_is_weighed_by_its_price() {
    let (none, dear, words) = (0.0, 0.1, Some(0.01));
    for (peer_message, cross_zone, held, most) in [
        (None, none, "call 1 0; start 1.0; change 101", "101"),
        (None, dear, "call 1 0; start 1.0; change 101", "1"),
        // With words, however many free slots are told there: room is capped before it is weighed.
        (words, dear, "change 101; hear 1 0 1 7 101 0", "1"),
        (words, none, "change 101; hear 1 0 1 7 101 0", "both"),
        // All see the same: the emptier worker must not get the work of all.
        (words, none, "change 2; hear 1 0 1 6 2 0", "both"),
    ] {
        let mut crossed = 0;
        for seed in 1..=60u64 {
            let seed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let mut w = world_by(
                seed,
                false,
                false,
                Costs {
                    cross_zone,
                    peer_message,
                },
            );
            w.run("list 1; call 900 0; told 1 9; start 900.0; back 900.0 ok");
            w.run(held);
            let sent = w.run("call 20 0");
            assert!(sent.contains("send 20>"), "{held}: {sent}");
            crossed +=
                !sent.contains("send 20>1,") as usize & !sent.ends_with("send 20>1") as usize;
        }
        let to = match crossed {
            0..=9 => "1",
            51.. => "101",
            _ => "both",
        };
        assert_eq!(
            to, most,
            "{peer_message:?}, {cross_zone}, {held}: {crossed} of 60"
        );
    }
}

/// Each script learns something of workers 1 and 2, then the list changes. What is known of a process holds while it is
/// listed, of project types always, and what was seen of others is no figure of those that are left.
#[test]
fn what_was_learned_carries_over_a_move_where_it_means_the_same() {
    let roomy = "list 1; call 1 0; told 1 9; start 1.0; back 1.0 ok;";
    let slow = "list 1; call 1 0; start 1.0; at 2; back 1.0 ok; at 2.1;";
    let waits = "list 1; call 1 0; at 1; start 1.0; back 1.0 ok;";
    let failed = "list 1 2 3 4 5; call 1 0; back 1.0 error ended;";
    let late = "list 1 2 3 4 5 6 7 8 9;".to_string()
        + &(0..8).map(|id| format!("call {id} 0;")).collect::<String>()
        + &(0..8)
            .map(|id| format!("at {}; start {id}.0; back {id}.0 ok;", 1 + id))
            .collect::<String>()
        + "at 200; wake;";
    let four = "call 20 0; call 21 0; call 22 0; call 23 0";
    for (learned, list, then, sent, shown) in [
        // Under messages room is lanes: eight where nine free slots were told, two where nothing was.
        (
            roomy,
            "list 1;",
            "hear 1 0 1 5; call 20 0",
            1,
            "lanes of a worker that stays",
        ),
        (
            roomy,
            "list 1 3;",
            "hear 1 0 1 5 3 5; call 20 0",
            1,
            "also for others beside it",
        ),
        (
            roomy,
            "list 3 4;",
            "hear 1 0 3 5 4 5; call 20 0",
            0,
            "not of others",
        ),
        (slow, "list 1;", "call 20 0", 0, "a process that was slow"),
        (
            waits,
            "list 1 2;",
            "call 20 0",
            0,
            "a zone where starts take long, while somebody stays",
        ),
        (waits, "list 2;", "call 20 0", 1, "not where nobody is left"),
        (slow, "list 2;", "call 20 0", 1, "not another"),
        (
            late.as_str(),
            "list 1 2 3 4 5 6 7 8 9;",
            four,
            1,
            "a window closed by late starts",
        ),
        (
            late.as_str(),
            "list 11 12 13 14;",
            four,
            4,
            "not where nobody is left",
        ),
    ] {
        let mut w = world_at(
            false,
            false,
            Costs {
                cross_zone: 0.02,
                peer_message: Some(0.01),
            },
        );
        if learned != roomy {
            w = world(false, false);
        }
        w.run(learned.trim_end_matches(';'));
        w.run(list.trim_end_matches(';'));
        let acts = w.run(then);
        assert_eq!(acts.matches("send").count(), sent, "{shown}: {acts}");
    }
    // A process that fails is a suspect in the next list, too.
    let mut w = world(false, false);
    let to = w.run(failed.trim_end_matches(';')).replace("send 1>", "");
    w.run(&format!("list {to}"));
    assert_eq!(w.run("call 20 0"), "");
    // How long work runs is known at once: patience ends that much before the limit.
    let mut w = world(true, false);
    w.run("list 1; call 1 0; told 1 9; start 1.0; back 1.0 ok; list 2; call 20 0; change 3");
    let second = w.run("at 0.1; wake");
    assert!(
        second.contains("send 20>3"),
        "second allocations again, as these workers tell of no room: {second}"
    );
}

/// Budgets of cold workers count lanes. Those of workers that are gone must not fill smaller ones.
#[test]
fn a_cold_worker_is_spared_after_a_move() {
    let most = 3.0 * 0.35 * 2.0 / 0.2 * SPAN / 4.0;
    let mut w = world(false, false);
    w.run("list 2; call 9000 0; told 2 20; start 9000.0; back 9000.0 ok");
    w.run("list 1n");
    let sent = hammer(&mut w, SPAN) as f64;
    assert!(sent <= most && sent > 0.0, "{sent} sent, {most} allowed");
}

#[test]
fn odd_input_disturbs_no_count() {
    let mut w = world(true, false);
    w.run("list 1 2 3 11");
    let mut acts = Vec::new();
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
        acts.push(w.run(&format!(
            "call {i} {} {} {}; {kind}",
            i % 6,
            i % 3,
            1 << (i % 4)
        )));
        if let Some(alloc) = w.held.get(&id).and_then(|wu| wu.allocation(0)) {
            let absurd = [f64::NAN, -3.0, f64::INFINITY, 0.0][(i % 4) as usize];
            let outcome = [
                Outcome::Error,
                Outcome::Full,
                Outcome::Completed,
                Outcome::Dropped,
            ][(i / 4 % 4) as usize];
            let report = LoadReport {
                free_slots: Some(absurd),
            };
            w.scheduler.on_start(&mut w.acts, w.now, &alloc);
            let ended = outcome == Outcome::Completed;
            w.scheduler
                .on_outcome(&mut w.acts, w.now, &alloc, outcome, ended);
            w.scheduler
                .on_outcome(&mut w.acts, w.now, &alloc, outcome, ended);
            w.scheduler.on_start(&mut w.acts, w.now, &alloc);
            alloc.worker.record_report(w.now, report);
        }
    }
    w.now += 10.0;
    acts.push(w.run("wake"));
    for wu in w.held.clone().values() {
        for n in 0..3 {
            if let Some(alloc) = wu.allocation(n) {
                w.scheduler
                    .on_outcome(&mut w.acts, w.now, &alloc, Outcome::Recalled, true);
            }
        }
        w.scheduler.on_client_gone(&mut w.acts, w.now, wu);
        assert!(wu.is_settled(), "work unit {} is still open", wu.id);
    }
    acts.append(&mut w.acts.said);
    let acts = acts.join(", ");
    for id in w.held.keys() {
        let answers = [format!("defer {id}"), format!("abort {id}")];
        let given = acts
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
