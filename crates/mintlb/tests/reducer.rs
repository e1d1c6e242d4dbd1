//! The reducer alone: events go in and actions come out, both written as words.

use bytes::Bytes;
use mintlb::configuration::Configuration;
use mintlb::operator_config::OperatorConfig;
use mintlb::serve::StartupPlan;
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

/// A reducer under test, with what it has produced.
struct TestReducer {
    reducer: Reducer,
    decoder: ListDecoder,
    now: f64,
    /// Receivers of the answers, in the order of the requests.
    clients: Vec<Receiver<Answer>>,
    requests: Vec<AttemptRequest>,
    types: Vec<(String, ProjectType)>,
    terms: ReloadableSettings,
}

fn reducer_with(max_in_flight: usize) -> TestReducer {
    reducer_from(max_in_flight, include_str!("../../../examples/config.json"))
}

fn reducer_from(max_in_flight: usize, config: &str) -> TestReducer {
    let plan = StartupPlan::new(
        Configuration::parse(config).unwrap(),
        OperatorConfig::default(),
    )
    .unwrap();
    let no_log = slog::Logger::root(slog::Discard, slog::o!());
    let (events, _) = unbounded_channel();
    let worker_client = WorkerClient::new(
        &plan.resource_limits.http,
        Clock::start(),
        events,
        &[],
        RequestTemplate::default(),
        Arc::default(),
        no_log,
    );
    let (zones, kinds) = (vec!["north".into(), "south".into()], vec!["small".into()]);
    let decoder = ListDecoder {
        zones,
        kinds,
        runs: ProjectTypeSet::default(),
        worker_client,
    };
    let types = plan.types.clone();
    let reducer = Reducer::new(
        plan.scheduler,
        ProjectTypes::new(plan.types),
        max_in_flight,
        0.002,
    );
    let (now, clients, requests, terms) = (1e9, Vec::new(), Vec::new(), plan.terms);
    TestReducer {
        reducer,
        decoder,
        now,
        clients,
        requests,
        types,
        terms,
    }
}

/// A list message with a worker for each state. `NOWHERE` is a worker without a valid address, and `FRESH` one that
/// has just started; both are serving.
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

impl TestReducer {
    /// Runs one step, and returns the actions that follow from it.
    fn step(&mut self, step: &str) -> String {
        let words: Vec<&str> = step.split_whitespace().collect();
        let attempt_id = |name: &str| {
            let (id, n) = name.split_once('.').unwrap();
            (id.parse().unwrap(), n.parse().unwrap())
        };
        let event = match words[0] {
            "begin" => {
                let actions = self.reducer.start(self.now, None, false);
                return self.describe(actions);
            }
            "known" => {
                let update = self
                    .decoder
                    .membership_update(&listing(true, 7, &words[1..]));
                let actions = self.reducer.start(self.now, Some((7, update)), false);
                return self.describe(actions);
            }
            "wait" => {
                self.now += words[1].parse::<f64>().unwrap();
                Event::TimerFired
            }
            "request" => {
                // The client's id if given, or else the request's number.
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
            // The most attempts of a request, and then the project types with their idempotency.
            "reconfigure" => {
                self.terms.retry_policy.max_attempts = words[1].parse().unwrap();
                let types: Vec<_> = words[2..]
                    .iter()
                    .map(|word| self.project_type(word))
                    .collect();
                self.reducer.reconfigure(&types, &self.terms);
                return String::new();
            }
            "leave" => Event::ClientLeft(words[1].parse().unwrap()),
            "start" => Event::Started(attempt_id(words[1])),
            "finish" => {
                let outcome = match words[2] {
                    "done" => Outcome::Completed,
                    "full" => Outcome::Full,
                    "dropped" => Outcome::Dropped,
                    "timed-out" => Outcome::TimedOut,
                    "no-connection" => Outcome::NoConnection,
                    other => panic!("no outcome {other}"),
                };
                let result = Bytes::from_static(b"r");
                Event::Finished(AttemptResult {
                    result,
                    ..AttemptResult::from_outcome(attempt_id(words[1]), outcome)
                })
            }
            "list" => Event::MembershipChanged(
                Some(8),
                self.decoder
                    .membership_update(&listing(true, 8, &words[1..])),
            ),
            "change" => Event::MembershipChanged(
                Some(9),
                self.decoder
                    .membership_update(&listing(false, 9, &words[1..])),
            ),
            "list-failed" => Event::ListFailed,
            "list-moved" => Event::ListMoved,
            "drain-deadline" => Event::DrainDeadline,
            other => panic!("no step {other}"),
        };
        let actions = self.reducer.reduce(self.now, event);
        self.describe(actions)
    }

    /// Parses `NAME=IDEMPOTENCY`. The project type's other terms are those of `lookup` in the example configuration.
    fn project_type(&self, word: &str) -> (String, ProjectType) {
        let (name, idempotency) = word.split_once('=').unwrap();
        let idempotency = match idempotency {
            "idempotent" => Idempotency::Idempotent,
            "deduplicated" => Idempotency::Deduplicated {
                scope: DedupScope::Cell,
                window: 15.0,
            },
            "non-idempotent" => Idempotency::NonIdempotent,
            other => panic!("no idempotency {other}"),
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

    /// Describes the actions. Probes, timers and log lines are omitted.
    fn describe(&mut self, actions: Vec<Action>) -> String {
        let mut lines = Vec::new();
        for action in actions {
            match action {
                Action::Send { endpoint, request } => {
                    let (id, n) = request.attempt_id;
                    lines.push(format!(
                        "send {id}.{n} {}",
                        endpoint.to_string().split(':').next_back().unwrap()
                    ));
                    self.requests.push(request);
                }
                Action::Cancel((id, n)) => lines.push(format!("close {id}.{n}")),
                Action::Answer {
                    responder, answer, ..
                } => {
                    responder.respond(answer);
                    lines.push("answer".into());
                }
                Action::Watch { after } => {
                    lines.push(after.map_or("watch all".into(), |after| format!("watch {after}")))
                }
                Action::Probe { .. } | Action::WakeIn(_) | Action::Log(_) => {}
            }
        }
        lines.join(", ")
    }

    /// The answer of each client, in the order of the requests; `-` where there is none.
    fn answers(&mut self) -> String {
        let answers = self
            .clients
            .iter_mut()
            .map(|client| match client.try_recv() {
                Ok(Answer::Completed(result)) => String::from_utf8(result.to_vec()).unwrap(),
                Ok(Answer::Deferred(_)) => "deferred".into(),
                Ok(Answer::Aborted) => "aborted".into(),
                Ok(Answer::Duplicate) => "repeated".into(),
                Err(_) => "-".into(),
            });
        answers.collect::<Vec<_>>().join(" ")
    }
}

/// Project types: 0 idempotent, 1 deduplicated, 2 non-idempotent. Each case: its name, the steps, the actions of
/// the last step, the clients' answers, and the number of open requests.
#[test]
fn events_lead_to_actions() {
    let cases = [
        (
            "a request is sent",
            "known SERVING; request 1 0",
            "send 1.0 7001",
            "-",
            1,
        ),
        (
            "the result goes to the client",
            "known SERVING; request 1 2; finish 1.0 done",
            "answer",
            "r",
            0,
        ),
        (
            "only the first outcome counts",
            "known SERVING; request 1 2; finish 1.0 done; finish 1.0 dropped",
            "",
            "r",
            0,
        ),
        (
            "a non-idempotent request that may have run is aborted",
            "known SERVING; request 1 2; finish 1.0 dropped",
            "answer",
            "aborted",
            0,
        ),
        (
            "an attempt that never ran is retried",
            "known SERVING; request 1 2; finish 1.0 no-connection",
            "send 1.1 7001",
            "-",
            1,
        ),
        (
            "a request is deferred after the most attempts",
            "known SERVING; request 1 2; finish 1.0 full; finish 1.1 full; finish 1.2 full",
            "answer",
            "deferred",
            0,
        ),
        (
            "the attempt of a client that has left is recalled",
            "known SERVING; request 1 2; leave 1",
            "close 1.0",
            "-",
            0,
        ),
        (
            "a result for a client that has left is ignored",
            "known SERVING; request 1 2; leave 1; finish 1.0 done",
            "",
            "-",
            0,
        ),
        (
            "of parallel attempts the first to start is kept",
            "known SERVING SERVING; request 1 0; wait 0.3; start 1.1",
            "close 1.0",
            "-",
            1,
        ),
        (
            "the outcome of a recalled attempt is ignored",
            "known SERVING SERVING; request 1 0; wait 0.3; start 1.1; finish 1.0 done",
            "",
            "-",
            1,
        ),
        (
            "the start of a recalled attempt is ignored",
            "known SERVING; request 1 2; leave 1; start 1.0",
            "",
            "-",
            0,
        ),
        (
            "a request is answered at its hard limit",
            "known SERVING; request 1 2; wait 3",
            "answer, close 1.0, watch 7",
            "aborted",
            0,
        ),
        (
            "a waiting request is deferred at its promised turnaround",
            "known DRAINING; request 1 2; wait 0.5",
            "answer, watch 7",
            "deferred",
            0,
        ),
        (
            "a draining worker gets no new request",
            "known SERVING; list DRAINING; request 1 0",
            "",
            "-",
            1,
        ),
        (
            "a deleted worker gets no new request",
            "known SERVING; change DELETED; request 1 0",
            "",
            "-",
            1,
        ),
        (
            "a worker in an unknown state gets no request",
            "known RESTING; request 1 0",
            "",
            "-",
            1,
        ),
        (
            "a request that waits is sent to a newly listed worker",
            "known DRAINING; request 1 0; list SERVING",
            "send 1.0 7001",
            "-",
            1,
        ),
        (
            "the list is watched from the known version on",
            "known SERVING; wait 10",
            "watch 7",
            "",
            0,
        ),
        (
            "the list is watched again after a failure",
            "known SERVING; wait 10; list SERVING; list-failed; wait 10",
            "watch 8",
            "",
            0,
        ),
        (
            "a request is never sent to a worker without an address",
            "known NOWHERE; request 1 2",
            "answer",
            "deferred",
            0,
        ),
        (
            "beyond the most attempts in flight a request is deferred at once",
            "known SERVING SERVING SERVING; request 1 2; request 2 2; request 3 2",
            "answer",
            "- - deferred",
            2,
        ),
        (
            "the id of an open request is refused, and of an answered one",
            "known SERVING; request 1 2; request 2 2 1; finish 1.0 done; request 3 0 1",
            "answer",
            "r repeated repeated",
            0,
        ),
        (
            "the id of an open request is refused, also if its client has left",
            "known SERVING; request 1 2; leave 1; request 2 2 1",
            "answer",
            "- repeated",
            0,
        ),
        (
            "an id can be used again after the hard limit",
            "known SERVING; request 1 2; finish 1.0 done; wait 3; request 2 2 1",
            "send 2.0 7001",
            "r -",
            1,
        ),
        (
            "at the drain deadline all open requests are answered",
            "known SERVING; request 1 2; request 2 2; drain-deadline",
            "answer, close 1.0, answer",
            "aborted deferred",
            0,
        ),
        (
            "at the drain deadline an idempotent request in flight is deferred",
            "known SERVING; request 1 0; drain-deadline",
            "answer, close 1.0",
            "deferred",
            0,
        ),
    ];
    for (case, script, actions, answers, open_requests) in cases {
        let mut test = reducer_with(2);
        let last = script
            .split(';')
            .map(|step| test.step(step))
            .last()
            .unwrap();
        let mut last: Vec<&str> = last.split(", ").collect();
        let mut actions: Vec<&str> = actions.split(", ").collect();
        last.sort_unstable();
        actions.sort_unstable();
        assert_eq!(last, actions, "{case}");
        assert_eq!(test.answers(), answers, "{case}");
        assert_eq!(test.reducer.held_count(), open_requests, "{case}");
    }
}

/// The bytes of an order may be written long after the decision. If the worker or the request has changed since,
/// the order is cancelled, unless it is already written.
#[test]
fn an_outdated_order_is_cancelled() {
    for (case, may_cancel, script, expected) in [
        ("nothing changes", true, "known SERVING; request 1 2", ""),
        (
            "its worker drains",
            true,
            "known SERVING; request 1 2; change DRAINING",
            "1.0",
        ),
        (
            "its worker is gone",
            true,
            "known SERVING; request 1 2; change DELETED",
            "1.0",
        ),
        (
            "its worker is missing from the full list",
            true,
            "known SERVING; request 1 2; list",
            "1.0",
        ),
        (
            "its worker drains and then serves again",
            true,
            "known SERVING; request 1 2; change DRAINING; change SERVING",
            "1.0",
        ),
        (
            "its worker has restarted",
            true,
            "known SERVING; request 1 2; change FRESH",
            "1.0",
        ),
        (
            "another worker is listed",
            true,
            "known SERVING; request 1 2; change SERVING FRESH",
            "",
        ),
        (
            "the list failed",
            true,
            "known SERVING; request 1 2; list-failed; list-moved",
            "",
        ),
        (
            "the worker drained before the order",
            true,
            "known DRAINING; request 1 2; list SERVING",
            "",
        ),
        (
            "its client has left",
            false,
            "known SERVING; request 1 2; leave 1",
            "1.0",
        ),
        (
            "its hard limit has passed",
            false,
            "known SERVING; request 1 2; wait 3",
            "1.0",
        ),
        (
            "the client of one of two requests has left",
            false,
            "known SERVING SERVING; request 1 2; request 2 2; leave 1",
            "1.0",
        ),
        (
            "the drain deadline",
            false,
            "known SERVING; request 1 2; drain-deadline",
            "1.0",
        ),
        (
            "the attempt failed and the request waits again",
            false,
            "known SERVING; request 1 0; finish 1.0 no-connection",
            "",
        ),
    ] {
        let config = include_str!("../../../examples/config.json");
        let config = config.replace(
            "\"may_cancel\": true",
            &format!("\"may_cancel\": {may_cancel}"),
        );
        let mut test = reducer_from(8, &config);
        script.split(';').for_each(|step| drop(test.step(step)));
        let requests = test
            .requests
            .iter()
            .filter(|request| request.withdrawn.is_cancelled());
        let cancelled: Vec<String> = requests
            .map(|request| format!("{}.{}", request.attempt_id.0, request.attempt_id.1))
            .collect();
        assert_eq!(cancelled.join(" "), expected, "{case}");
    }
}

/// A watch starts from the last version received from this list service, or, if there is none, from the full list.
#[test]
fn a_watch_starts_from_the_version_of_the_same_list_service() {
    let fail_and_wait = |test: &mut TestReducer| {
        test.step("list-failed");
        test.step("wait 20")
    };
    for (script, expected) in [
        (&["known SERVING"][..], "watch 7"),
        (&["known SERVING", "change DRAINING"], "watch 9"),
        (&["begin"], "watch all"),
        (&["begin", "list SERVING"], "watch 8"),
        (&["known SERVING", "list-moved"], "watch all"),
        (&["known SERVING", "list-moved", "list SERVING"], "watch 8"),
    ] {
        let mut test = reducer_with(64);
        script.iter().for_each(|step| drop(test.step(step)));
        assert!(fail_and_wait(&mut test).contains(expected), "{script:?}");
    }
    let mut test = reducer_with(64);
    test.step("known SERVING");
    assert_eq!(test.step("list-moved"), "watch all", "at once");
}

/// When the idempotency of a project type changes, requests that wait or are in flight keep the one they arrived
/// with, and new requests have the new one.
#[test]
fn open_requests_keep_their_idempotency() {
    // What follows if the only attempt of a request may have run: it is retried, or the request is aborted.
    let kinds = [
        ("idempotent", "send 1.1", "-"),
        ("deduplicated", "send 1.1", "-"),
        ("non-idempotent", "answer", "aborted"),
    ];
    for (old, old_actions, old_answers) in kinds {
        for (new, new_actions, new_answers) in kinds {
            let case = format!("{old} becomes {new}");
            let run_script = |script: &str, actions: &str, answers: &str| {
                let mut test = reducer_with(8);
                let last = script
                    .split(';')
                    .map(|step| test.step(step))
                    .last()
                    .unwrap();
                assert!(last.starts_with(actions), "{case}: {script}: {last}");
                assert_eq!(test.answers(), answers, "{case}: {script}");
            };
            let (set_old, set_new) = (
                format!("reconfigure 3 w={old}"),
                format!("reconfigure 3 w={new}"),
            );
            run_script(
                &format!("known SERVING; {set_old}; request 1 w; {set_new}; finish 1.0 dropped"),
                old_actions,
                old_answers,
            );
            run_script(
                &format!("known SERVING; {set_old}; {set_new}; request 1 w; finish 1.0 dropped"),
                new_actions,
                new_answers,
            );
            // It waits while the idempotency changes.
            let waiting = format!(
                "known DRAINING; {set_old}; request 1 w; {set_new}; list SERVING; finish 1.0 dropped"
            );
            run_script(&waiting, old_actions, old_answers);
            run_script(
                &format!("known SERVING; {set_old}; request 1 w; {set_new}; finish 1.0 done"),
                "answer",
                "r",
            );
            // The project type is removed, and added again under its name.
            let added_again = format!(
                "known SERVING; {set_old}; request 1 w; reconfigure 3 v={new}; {set_new}; finish 1.0 dropped"
            );
            run_script(&added_again, old_actions, old_answers);
        }
    }
}

#[test]
fn changed_terms() {
    let cases = [
        (
            "fewer attempts, set before the request",
            "reconfigure 1 w=idempotent; request 1 w; finish 1.0 dropped",
            "answer",
            "deferred",
        ),
        (
            "more attempts, set after the request",
            "reconfigure 1 w=idempotent; request 1 w; reconfigure 3 w=idempotent; finish 1.0 dropped",
            "answer",
            "deferred",
        ),
        (
            "more attempts, set before the request",
            "reconfigure 1 w=idempotent; reconfigure 3 w=idempotent; request 1 w; finish 1.0 dropped",
            "send 1.1",
            "-",
        ),
        (
            "another order of the project types",
            "reconfigure 3 v=idempotent w=non-idempotent; request 1 w; reconfigure 3 w=non-idempotent v=idempotent; request 2 v; finish 1.0 dropped",
            "answer",
            "aborted -",
        ),
    ];
    for (case, script, actions, answers) in cases {
        let mut test = reducer_with(8);
        test.step("known SERVING SERVING");
        let last = script
            .split(';')
            .map(|step| test.step(step))
            .last()
            .unwrap();
        assert!(last.starts_with(actions), "{case}: {last}");
        assert_eq!(test.answers(), answers, "{case}");
    }
}

/// A thousand reloads, without open requests and with one from each: all are applied, with few project type numbers.
#[test]
fn many_reloads() {
    let mut test = reducer_with(1000);
    test.step("known DRAINING");
    for n in 0..1000 {
        let idempotency = ["idempotent", "non-idempotent"][n % 2];
        test.step(&format!(
            "reconfigure 3 w={idempotency} v{n}=non-idempotent"
        ));
        assert!(test.number("w") < 8, "without open requests");
    }
    for n in 0..1000 {
        test.step(&format!("request {} w", n + 1));
        let before = test.number("w");
        test.step(&format!(
            "reconfigure 3 w={}",
            ["non-idempotent", "idempotent"][n % 2]
        ));
        let number = test.number("w");
        assert!(n == 0 || number != before, "reload {n} is applied");
        assert!(number < 256, "{number} after reload {n}");
    }
    assert_eq!(test.reducer.held_count(), 1000);
    test.step("wait 10");
    assert_eq!(test.reducer.held_count(), 0);
    test.step("reconfigure 3 w=deduplicated u=non-idempotent");
    test.step("list SERVING");
    assert!(test.step("request 2000 u").starts_with("send 2000.0"));
}

#[test]
fn worker_ids_are_stable() {
    // All schedulers sort the workers by these ids, so they must not change between versions.
    assert_eq!(worker_id("s-5be2a07c"), 0x23f1fdc2d06c);
    assert_ne!(worker_id("s-5be2a07c"), worker_id("s-5be2a07d"));
}
