//! The reducer by itself: what was read goes in as words, what is to be done comes out as words.

use bytes::Bytes;
use mintlb::operator::Operator;
use mintlb::placement::Placement;
use mintlb::serve::Plan;
use mintlb_core::clock::Clock;
use mintlb_core::membership::worker_id;
use mintlb_core::project_types::ProjectTypes;
use mintlb_core::reducer::{Action, Event, Reducer};
use mintlb_core::work::{Answer, AttemptRequest, AttemptResult, Payload, Submission};
use mintlb_http::list_service::{ListDecoder, ListMessage};
use mintlb_http::worker::{RequestTemplate, WorkerClient};
use mintlb_scheduler::settings::ReloadableSettings;
use mintlb_scheduler::{DedupScope, Idempotency, Outcome, ProjectType, ProjectTypeSet};
use std::sync::Arc;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot::{Receiver, channel};

struct Bench {
    reducer: Reducer,
    reading: ListDecoder,
    now: f64,
    clients: Vec<Receiver<Answer>>,
    orders: Vec<AttemptRequest>,
    types: Vec<(String, ProjectType)>,
    terms: ReloadableSettings,
}

fn bench(most_out: usize) -> Bench {
    bench_of(most_out, include_str!("../../../examples/config.json"))
}

fn bench_of(most_out: usize, config: &str) -> Bench {
    let plan = Plan::new(Placement::parse(config).unwrap(), Operator::default()).unwrap();
    let quiet = slog::Logger::root(slog::Discard, slog::o!());
    let (tell, _) = unbounded_channel();
    let workers = WorkerClient::new(
        &plan.grants.http,
        Clock::start(),
        tell,
        &[],
        RequestTemplate::default(),
        Arc::default(),
        quiet,
    );
    let (zones, kinds) = (vec!["north".into(), "south".into()], vec!["small".into()]);
    let reading = ListDecoder {
        zones,
        kinds,
        runs: ProjectTypeSet::default(),
        worker_client: workers,
    };
    let types = plan.types.clone();
    let reducer = Reducer::new(
        plan.scheduler,
        ProjectTypes::new(plan.types),
        most_out,
        0.002,
    );
    let (now, clients, orders, terms) = (1e9, Vec::new(), Vec::new(), plan.terms);
    Bench {
        reducer,
        reading,
        now,
        clients,
        orders,
        types,
        terms,
    }
}

fn listing(full: bool, version: u64, states: &[&str]) -> ListMessage {
    let servers = states.iter().enumerate().map(|(i, state)| {
        let addr = if *state == "NOWHERE" { "nowhere:1".into() } else { format!("127.0.0.1:{}", 7001 + i) };
        let started = if *state == "FRESH" { 999_999_999_000u64 } else { 0 };
        let state = if ["NOWHERE", "FRESH"].contains(state) { "SERVING" } else { state };
        format!(
            r#"{{"id":"s-{i}","addr":"{addr}","zone":"north","kind":"small","cell":1,"state":"{state}","started_ms":{started}}}"#
        )
    });
    let servers: Vec<String> = servers.collect();
    let json = format!(
        r#"{{"version":{version},"full":{full},"servers":[{}]}}"#,
        servers.join(",")
    );
    serde_json::from_str(&json).unwrap()
}

impl Bench {
    fn step(&mut self, step: &str) -> String {
        let words: Vec<&str> = step.split_whitespace().collect();
        let attempt = |name: &str| {
            let (id, n) = name.split_once('.').unwrap();
            (id.parse().unwrap(), n.parse().unwrap())
        };
        let event = match words[0] {
            "began" => {
                let acts = self.reducer.start(self.now, None, false);
                return self.say(acts);
            }
            "known" => {
                let told = self
                    .reading
                    .membership_update(&listing(true, 7, &words[1..]));
                let acts = self.reducer.start(self.now, Some((7, told)), false);
                return self.say(acts);
            }
            "in" => {
                self.now += words[1].parse::<f64>().unwrap();
                Event::TimerFired
            }
            "call" => {
                // The client's id, where it is not the work unit's number.
                let id = *words.get(3).unwrap_or(&words[1]);
                let payload = Payload {
                    body: Bytes::new(),
                    non_idempotent: true,
                    protocol_data: Arc::new(()),
                };
                let (answer, receiver) = channel();
                self.clients.push(receiver);
                Event::Submitted(Submission {
                    id: words[1].parse().unwrap(),
                    client_request_id: Some(id.as_bytes().into()),
                    project_type: words[2].parse().unwrap_or_else(|_| self.number(words[2])),
                    customer: None,
                    slots: 1.0,
                    arrived_at: self.now,
                    time_budget: 3.0,
                    payload,
                    responder: Box::new(answer),
                })
            }
            // The project types, each with its effect, and before them how many attempts work may have.
            "retune" => {
                self.terms.retry_policy.max_attempts = words[1].parse().unwrap();
                let types: Vec<_> = words[2..].iter().map(|word| self.named(word)).collect();
                return match self.reducer.reconfigure(&types, &self.terms) {
                    Ok(()) => String::new(),
                    Err(why) => why,
                };
            }
            "left" => Event::ClientLeft(words[1].parse().unwrap()),
            "start" => Event::Started(attempt(words[1])),
            "back" => {
                let outcome = match words[2] {
                    "done" => Outcome::Completed,
                    "full" => Outcome::Full,
                    "dropped" => Outcome::Dropped,
                    "late" => Outcome::TimedOut,
                    "down" => Outcome::NoConnection,
                    other => panic!("no outcome {other}"),
                };
                let result = Bytes::from_static(b"r");
                Event::Finished(AttemptResult {
                    result,
                    ..AttemptResult::from_outcome(attempt(words[1]), outcome)
                })
            }
            "list" => Event::MembershipChanged(
                Some(8),
                self.reading
                    .membership_update(&listing(true, 8, &words[1..])),
            ),
            "change" => Event::MembershipChanged(
                Some(9),
                self.reading
                    .membership_update(&listing(false, 9, &words[1..])),
            ),
            "lost" => Event::ListFailed,
            "moved" => Event::ListMoved,
            "last" => Event::DrainDeadline,
            other => panic!("no step {other}"),
        };
        let acts = self.reducer.reduce(self.now, event);
        self.say(acts)
    }

    /// `NAME=EFFECT`: a project type that is otherwise as the lookup of the example.
    fn named(&self, word: &str) -> (String, ProjectType) {
        let (name, idempotency) = word.split_once('=').unwrap();
        let idempotency = match idempotency {
            "rerunnable" => Idempotency::Idempotent,
            "receipted" => Idempotency::Deduplicated {
                scope: DedupScope::Cell,
                window: 15.0,
            },
            "exclusive" => Idempotency::NonIdempotent,
            other => panic!("no effect {other}"),
        };
        (
            name.to_string(),
            ProjectType {
                idempotency,
                ..self.types[0].1.clone()
            },
        )
    }

    fn number(&self, name: &str) -> usize {
        self.reducer
            .project_types()
            .iter()
            .find(|named| named.name == name)
            .unwrap()
            .number
    }

    /// Timers and log lines are left out.
    fn say(&mut self, acts: Vec<Action>) -> String {
        let mut said = Vec::new();
        for act in acts {
            match act {
                Action::Send {
                    endpoint: to,
                    request: order,
                } => {
                    let (id, n) = order.attempt_id;
                    said.push(format!(
                        "send {id}.{n} {}",
                        to.to_string().split(':').next_back().unwrap()
                    ));
                    self.orders.push(order);
                }
                Action::Cancel((id, n)) => said.push(format!("close {id}.{n}")),
                Action::Answer {
                    responder: to,
                    answer,
                    ..
                } => {
                    to.respond(answer);
                    said.push("answer".into());
                }
                Action::Watch { after } => {
                    said.push(after.map_or("watch all".into(), |after| format!("watch {after}")))
                }
                Action::Probe { .. } | Action::WakeIn(_) | Action::Log(_) => {}
            }
        }
        said.join(", ")
    }

    /// What each client has, in the order of the calls.
    fn answers(&mut self) -> String {
        let said = self
            .clients
            .iter_mut()
            .map(|client| match client.try_recv() {
                Ok(Answer::Completed(result)) => String::from_utf8(result.to_vec()).unwrap(),
                Ok(Answer::Deferred(_)) => "deferred".into(),
                Ok(Answer::Aborted) => "aborted".into(),
                Ok(Answer::Duplicate) => "repeated".into(),
                Err(_) => "-".into(),
            });
        said.collect::<Vec<_>>().join(" ")
    }
}

/// Project types: 0 rerunnable, 1 receipted, 2 exclusive. Each row: what it shows, the steps, what the last
/// of them asks for, the clients' answers, the work units still held.
#[test]
fn what_is_read_becomes_what_is_done() {
    let cases = [
        (
            "work is sent",
            "known SERVING; call 1 0",
            "send 1.0 7001",
            "-",
            1,
        ),
        (
            "the result goes to the client",
            "known SERVING; call 1 2; back 1.0 done",
            "answer",
            "r",
            0,
        ),
        (
            "an outcome counts once",
            "known SERVING; call 1 2; back 1.0 done; back 1.0 dropped",
            "",
            "r",
            0,
        ),
        (
            "exclusive work that may have run is aborted",
            "known SERVING; call 1 2; back 1.0 dropped",
            "answer",
            "aborted",
            0,
        ),
        (
            "what never ran is sent again",
            "known SERVING; call 1 2; back 1.0 down",
            "send 1.1 7001",
            "-",
            1,
        ),
        (
            "and deferred when that has been enough",
            "known SERVING; call 1 2; back 1.0 full; back 1.1 full; back 1.2 full",
            "answer",
            "deferred",
            0,
        ),
        (
            "who has left gets nothing",
            "known SERVING; call 1 2; left 1",
            "close 1.0",
            "-",
            0,
        ),
        (
            "also if the result comes after all",
            "known SERVING; call 1 2; left 1; back 1.0 done",
            "",
            "-",
            0,
        ),
        (
            "the first to start is kept",
            "known SERVING SERVING; call 1 0; in 0.3; start 1.1",
            "close 1.0",
            "-",
            1,
        ),
        (
            "what is closed has had its outcome",
            "known SERVING SERVING; call 1 0; in 0.3; start 1.1; back 1.0 done",
            "",
            "-",
            1,
        ),
        (
            "no start is believed of what is closed",
            "known SERVING; call 1 2; left 1; start 1.0",
            "",
            "-",
            0,
        ),
        (
            "an answer is due at the limit",
            "known SERVING; call 1 2; in 3",
            "answer, close 1.0, watch 7",
            "aborted",
            0,
        ),
        (
            "waiting work is deferred in time",
            "known DRAINING; call 1 2; in 0.5",
            "answer, watch 7",
            "deferred",
            0,
        ),
        (
            "a draining worker gets nothing new",
            "known SERVING; list DRAINING; call 1 0",
            "",
            "-",
            1,
        ),
        (
            "a deleted worker gets nothing new",
            "known SERVING; change DELETED; call 1 0",
            "",
            "-",
            1,
        ),
        (
            "a state we don't know is no invitation",
            "known RESTING; call 1 0",
            "",
            "-",
            1,
        ),
        (
            "a new list is followed",
            "known DRAINING; call 1 0; list SERVING",
            "send 1.0 7001",
            "-",
            1,
        ),
        (
            "the list is watched from where it was",
            "known SERVING; in 10",
            "watch 7",
            "",
            0,
        ),
        (
            "and again after a failure",
            "known SERVING; in 10; list SERVING; lost; in 10",
            "watch 8",
            "",
            0,
        ),
        (
            "work for a worker without an address never left",
            "known NOWHERE; call 1 2",
            "answer",
            "deferred",
            0,
        ),
        (
            "with nothing to spare work is deferred at once",
            "known SERVING SERVING SERVING; call 1 2; call 2 2; call 3 2",
            "answer",
            "- - deferred",
            2,
        ),
        (
            "an id that is open is refused, the first kept",
            "known SERVING; call 1 2; call 2 2 1; back 1.0 done; call 3 0 1",
            "answer",
            "r repeated repeated",
            0,
        ),
        (
            "also if its client has left",
            "known SERVING; call 1 2; left 1; call 2 2 1",
            "answer",
            "- repeated",
            0,
        ),
        (
            "until its client would have given up",
            "known SERVING; call 1 2; back 1.0 done; in 3; call 2 2 1",
            "send 2.0 7001",
            "r -",
            1,
        ),
        (
            "the last call answers all that is held",
            "known SERVING; call 1 2; call 2 2; last",
            "answer, close 1.0, answer",
            "aborted deferred",
            0,
        ),
        (
            "also what is out, if a repeat is harmless",
            "known SERVING; call 1 0; last",
            "answer, close 1.0",
            "deferred",
            0,
        ),
    ];
    for (shown, script, acts, answers, held) in cases {
        let mut bench = bench(2);
        let last = script
            .split(';')
            .map(|step| bench.step(step))
            .last()
            .unwrap();
        let mut last: Vec<&str> = last.split(", ").collect();
        let mut acts: Vec<&str> = acts.split(", ").collect();
        last.sort_unstable();
        acts.sort_unstable();
        assert_eq!(last, acts, "{shown}");
        assert_eq!(bench.answers(), answers, "{shown}");
        assert_eq!(bench.reducer.held_count(), held, "{shown}");
    }
}

/// An order may be written long after it was given: what has happened since takes it back, as far as it is not written.
#[test]
fn an_order_is_taken_back() {
    for (shown, cancel, script, taken_back) in [
        ("out", true, "known SERVING; call 1 2", ""),
        (
            "its worker drains",
            true,
            "known SERVING; call 1 2; change DRAINING",
            "1.0",
        ),
        (
            "its worker is gone",
            true,
            "known SERVING; call 1 2; change DELETED",
            "1.0",
        ),
        (
            "the whole list leaves it out",
            true,
            "known SERVING; call 1 2; list",
            "1.0",
        ),
        (
            "it drains no more",
            true,
            "known SERVING; call 1 2; change DRAINING; change SERVING",
            "1.0",
        ),
        (
            "it has started anew",
            true,
            "known SERVING; call 1 2; change FRESH",
            "1.0",
        ),
        (
            "another one came",
            true,
            "known SERVING; call 1 2; change SERVING FRESH",
            "",
        ),
        (
            "the list failed",
            true,
            "known SERVING; call 1 2; lost; moved",
            "",
        ),
        (
            "given after it",
            true,
            "known DRAINING; call 1 2; list SERVING",
            "",
        ),
        (
            "its client has left",
            false,
            "known SERVING; call 1 2; left 1",
            "1.0",
        ),
        (
            "its client has given up",
            false,
            "known SERVING; call 1 2; in 3",
            "1.0",
        ),
        (
            "another's client has left",
            false,
            "known SERVING SERVING; call 1 2; call 2 2; left 1",
            "1.0",
        ),
        (
            "the last call",
            false,
            "known SERVING; call 1 2; last",
            "1.0",
        ),
        (
            "it waits again",
            false,
            "known SERVING; call 1 0; back 1.0 down",
            "",
        ),
    ] {
        let config = include_str!("../../../examples/config.json");
        let config = config.replace("\"may_cancel\": true", &format!("\"may_cancel\": {cancel}"));
        let mut bench = bench_of(8, &config);
        script.split(';').for_each(|step| drop(bench.step(step)));
        let orders = bench
            .orders
            .iter()
            .filter(|order| order.withdrawn.is_cancelled());
        let said: Vec<String> = orders
            .map(|order| format!("{}.{}", order.attempt_id.0, order.attempt_id.1))
            .collect();
        assert_eq!(said.join(" "), taken_back, "{shown}");
    }
}

/// Without a version of a list that was had from where it is asked, all of it is asked for.
#[test]
fn a_list_is_asked_for_from_the_version_that_was_had_there() {
    let failed = |bench: &mut Bench| {
        bench.step("lost");
        bench.step("in 20")
    };
    for (script, asked) in [
        (&["known SERVING"][..], "watch 7"),
        (&["known SERVING", "change DRAINING"], "watch 9"),
        (&["began"], "watch all"),
        (&["began", "list SERVING"], "watch 8"),
        (&["known SERVING", "moved"], "watch all"),
        (&["known SERVING", "moved", "list SERVING"], "watch 8"),
    ] {
        let mut bench = bench(64);
        script.iter().for_each(|step| drop(bench.step(step)));
        assert!(failed(&mut bench).contains(asked), "{script:?}");
    }
    let mut bench = bench(64);
    bench.step("known SERVING");
    assert_eq!(bench.step("moved"), "watch all", "at once");
}

/// Work keeps the terms that it came with, whether it waits or is out, and new work has the new ones.
#[test]
fn each_effect_becomes_each_other() {
    // What becomes of work whose one attempt may have run: it goes again, or is aborted.
    let effects = [
        ("rerunnable", "send 1.1", "-"),
        ("receipted", "send 1.1", "-"),
        ("exclusive", "answer", "aborted"),
    ];
    for (old, does, answers) in effects {
        for (new, does_then, answers_then) in effects {
            let shown = format!("{old} becomes {new}");
            let play = |script: &str, acts: &str, answers: &str| {
                let mut bench = bench(8);
                let last = script
                    .split(';')
                    .map(|step| bench.step(step))
                    .last()
                    .unwrap();
                assert!(last.starts_with(acts), "{shown}: {script}: {last}");
                assert_eq!(bench.answers(), answers, "{shown}: {script}");
            };
            let (was, is) = (format!("retune 3 w={old}"), format!("retune 3 w={new}"));
            play(
                &format!("known SERVING; {was}; call 1 w; {is}; back 1.0 dropped"),
                does,
                answers,
            );
            play(
                &format!("known SERVING; {was}; {is}; call 1 w; back 1.0 dropped"),
                does_then,
                answers_then,
            );
            // It waited while the terms changed, and was sent under its own.
            let waits =
                format!("known DRAINING; {was}; call 1 w; {is}; list SERVING; back 1.0 dropped");
            play(&waits, does, answers);
            play(
                &format!("known SERVING; {was}; call 1 w; {is}; back 1.0 done"),
                "answer",
                "r",
            );
            // Dropped, and back under its name: held work knows neither.
            let back =
                format!("known SERVING; {was}; call 1 w; retune 3 v={new}; {is}; back 1.0 dropped");
            play(&back, does, answers);
        }
    }
}

#[test]
fn terms_change_for_what_comes_then() {
    let cases = [
        (
            "fewer attempts, also for what is here",
            "retune 1 w=rerunnable; call 1 w; back 1.0 dropped",
            "answer",
            "deferred",
        ),
        (
            "more, but not for what was here",
            "retune 1 w=rerunnable; call 1 w; retune 3 w=rerunnable; back 1.0 dropped",
            "answer",
            "deferred",
        ),
        (
            "more, for what comes",
            "retune 1 w=rerunnable; retune 3 w=rerunnable; call 1 w; back 1.0 dropped",
            "send 1.1",
            "-",
        ),
        (
            "another order moves no one",
            "retune 3 v=rerunnable w=exclusive; call 1 w; retune 3 w=exclusive v=rerunnable; call 2 v; back 1.0 dropped",
            "answer",
            "aborted -",
        ),
    ];
    for (shown, script, acts, answers) in cases {
        let mut bench = bench(8);
        bench.step("known SERVING SERVING");
        let last = script
            .split(';')
            .map(|step| bench.step(step))
            .last()
            .unwrap();
        assert!(last.starts_with(acts), "{shown}: {last}");
        assert_eq!(bench.answers(), answers, "{shown}");
    }
}

/// As many files as one likes, with work held from each: what is there is served, and what is too much changes nothing.
#[test]
fn changes_without_end() {
    let mut bench = bench(1000);
    bench.step("known DRAINING");
    for n in 0..1000 {
        let effect = ["rerunnable", "exclusive"][n % 2];
        assert_eq!(
            bench.step(&format!("retune 3 w={effect} v{n}=exclusive")),
            "",
            "nothing is held"
        );
    }
    let number = bench.number("w");
    let refused = (0..1000).map(|n| {
        bench.step(&format!("call {} w", n + 1));
        bench.step(&format!(
            "retune 3 w={}",
            ["exclusive", "rerunnable"][n % 2]
        ))
    });
    let refused = refused.filter(|why| !why.is_empty()).count();
    assert!(
        refused > 0 && number < 8,
        "{refused} refused, number {number}"
    );
    let held = bench.number("w");
    assert!(held < 256, "{held}");
    bench.step("in 10");
    assert_eq!(bench.reducer.held_count(), 0);
    assert_eq!(
        bench.step("retune 3 w=receipted u=exclusive"),
        "",
        "all is over"
    );
    bench.step("list SERVING");
    assert!(bench.step("call 2000 u").starts_with("send 2000.0"));
}

#[test]
fn a_worker_has_one_number_everywhere() {
    // The schedulers' shared order of the workers hangs on it, so it must not change between versions.
    assert_eq!(worker_id("s-5be2a07c"), 0x23f1fdc2d06c);
    assert_ne!(worker_id("s-5be2a07c"), worker_id("s-5be2a07d"));
}
