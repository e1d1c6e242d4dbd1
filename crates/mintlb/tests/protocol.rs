//! beanstalkd's protocol with the scheduler's core, in virtual time: commands and the replies to them.

mod virtual_time;

use mintlb_scheduler::ListState::{Draining, Gone, Ready};
use virtual_time::Simulation;

/// Runs the steps of a script, which are separated by `;`, and checks the reply to each: `step -> reply`, or just
/// the step if there is none. A step is a peer's name and a command; the body of a `put` follows on the same line,
/// and `?` reads without a command. The other steps are:
///
/// - `wait SECONDS`
/// - `disconnect PEER`, `stop-reading PEER`, `read PEER`
/// - `drain DIGIT`, `serve DIGIT`, `remove DIGIT`: the list's state of the machine `127.0.0.DIGIT`
/// - `http ID TYPE`: an HTTP request of this project type; `leave ID`: its client leaves
/// - `answers ID`: the answers that the request has
/// - `stop`: the graceful shutdown; `drain-deadline`: its end
fn run_script(case: &str, sim: &mut Simulation, script: &str) {
    for (n, step) in script.split(';').enumerate() {
        let step = step.split_whitespace().collect::<Vec<_>>().join(" ");
        let (step, expected) = step.split_once(" -> ").unwrap_or((&step, ""));
        let words: Vec<&str> = step.split(' ').collect();
        let digit = || words[1].parse().unwrap();
        let reply = match words[0] {
            "wait" => {
                sim.advance(words[1].parse().unwrap());
                String::new()
            }
            "disconnect" => {
                sim.disconnect(words[1]);
                String::new()
            }
            "stop-reading" | "read" => {
                sim.set_stuck(words[1], words[0] == "stop-reading");
                String::new()
            }
            "drain" | "serve" | "remove" => {
                let listed = [Draining, Ready, Gone][["drain", "serve", "remove"]
                    .iter()
                    .position(|w| *w == words[0])
                    .unwrap()];
                sim.update_machines(false, &[(digit(), listed, 0.0)]);
                String::new()
            }
            "http" => {
                sim.submit(words[1].parse().unwrap(), words[2].parse().unwrap(), b"web");
                String::new()
            }
            "leave" => {
                sim.client_leaves(words[1].parse().unwrap());
                String::new()
            }
            "answers" => {
                let answers = sim.answers.get(&words[1].parse().unwrap());
                let texts = answers.map(|a| {
                    a.iter()
                        .map(|a| format!("{a:?}"))
                        .collect::<Vec<_>>()
                        .join(" ")
                });
                texts.unwrap_or_default()
            }
            "stop" => {
                sim.stop();
                String::new()
            }
            "drain-deadline" => {
                sim.reach_drain_deadline();
                String::new()
            }
            name if words[1] == "?" => sim.take_received(name),
            name => {
                let line = match words[1] {
                    "put" if words.len() > 5 => {
                        let body = words[5..].join(" ");
                        format!("{} {}\r\n{body}\r\n", words[1..5].join(" "), body.len())
                    }
                    _ => words[1..].join(" ") + "\r\n",
                };
                sim.send(name, line.as_bytes());
                let received = sim.take_received(name);
                // Of statistics in YAML only the expected lines are compared.
                match received.starts_with("OK ") && expected.contains(": ") {
                    true if expected.split(", ").all(|line| received.contains(line)) => {
                        expected.to_string()
                    }
                    _ => received,
                }
            }
        };
        assert_eq!(reply, expected, "{case}: step {n}, {step}");
    }
}

/// Runs each script in a new simulation. The hard limit is 3 s, the promised turnaround of `lookup` and `charge` is
/// 0.4 s, and machines count as warm at once.
fn run_cases(cases: &[(&str, &str)]) {
    for (case, script) in cases {
        run_script(
            case,
            &mut Simulation::new("cold = false", &[], 1000),
            script,
        );
    }
}

/// A worker of the machine 127.0.0.2 that waits for a job of the tube `charge`.
const WAITING_WORKER: &str = "w2 watch charge -> WATCHING 2; w2 reserve";

/// Joins two scripts.
fn joined(first: &str, then: &str) -> String {
    format!("{first}; {then}")
}

#[test]
fn each_command_replies_as_specified() {
    run_cases(&[
        (
            "tubes",
            "p list-tube-used -> USING default; p use lookup -> USING lookup; p list-tube-used ->
                USING lookup; p list-tubes-watched -> OK 14 --- - default; p watch lookup -> WATCHING 2;
                p watch lookup -> WATCHING 2; p ignore default -> WATCHING 1; p ignore lookup ->
                NOT_IGNORED; p ignore other -> WATCHING 1; p list-tubes -> OK 48 --- - charge - create -
                default - ends - lookup",
        ),
        (
            "accepted and rejected puts",
            r#"p put 0 0 1 hi -> BAD_FORMAT; p use lookup -> USING lookup; p put 0 0 1 hi -> INSERTED
                1; p put 0 3601 1 hi -> BAD_FORMAT; p peek 1 -> FOUND 1 2 hi; p peek-ready -> FOUND 1 2
                hi; p peek-delayed -> NOT_FOUND; p peek-buried -> NOT_FOUND; p peek 2 -> NOT_FOUND; p
                stats-job 1 -> state: ready, tube: "lookup", ttr: 1; p stats-tube lookup ->
                current-jobs-ready: 1, total-jobs: 1, current-using: 1; p stats -> cmd-put: 3,
                total-jobs: 1, current-producers: 1, draining: false; p delete 1 -> DELETED; p delete 1
                -> NOT_FOUND; p stats-job 1 -> NOT_FOUND; p stats -> jobs-withdrawn: 1"#,
        ),
        (
            "from put to delete",
            "p use lookup -> USING lookup; w2 watch lookup -> WATCHING 2; w2 reserve; p put 5 0 2 hi
                -> INSERTED 1; w2 ? -> RESERVED 1 2 hi; p stats-job 1 -> state: reserved, time-left: 2,
                reserves: 1; p delete 1 -> NOT_FOUND; w2 delete 1 -> DELETED; p stats-job 1 -> state:
                completed; p peek 1 -> NOT_FOUND; wait 61; p stats-job 1 -> NOT_FOUND",
        ),
        (
            "reserve with and without a time-out",
            "w2 watch lookup -> WATCHING 2; w2 reserve-with-timeout 0; wait 0.01; w2 ? -> TIMED_OUT; w2
                reserve-with-timeout 2; wait 1.9; w2 ?; wait 0.2; w2 ? -> TIMED_OUT; w2 reserve; w2
                list-tube-used; p use lookup -> USING lookup; p put 0 0 9 hi -> INSERTED 1; w2 ? ->
                RESERVED 1 2 hi USING default",
        ),
        (
            "a reserve with a time-out of 0 gets a waiting job",
            "p use lookup -> USING lookup; p put 0 0 9 hi -> INSERTED 1; w2 watch lookup -> WATCHING
                2; w2 reserve-with-timeout 0 -> RESERVED 1 2 hi",
        ),
        (
            "only jobs of a watched tube are reserved",
            "w2 watch create -> WATCHING 2; w2 reserve; p use lookup -> USING lookup; p put 0 0 9 hi
                -> INSERTED 1; w2 ?; w3 watch lookup -> WATCHING 2; w3 reserve -> RESERVED 1 2 hi",
        ),
        (
            "DEADLINE_SOON in the last second",
            "w2 watch lookup -> WATCHING 2; p use lookup -> USING lookup; p put 0 0 2 hi -> INSERTED
                1; w2 reserve -> RESERVED 1 2 hi; w2 reserve; wait 1.1; w2 ? -> DEADLINE_SOON; w2 reserve
                -> DEADLINE_SOON; w2 touch 1 -> TOUCHED; w2 reserve",
        ),
        (
            "a delay",
            "w2 watch lookup -> WATCHING 2; w2 reserve; p use lookup -> USING lookup; p put 0 5 9 hi
                -> INSERTED 1; p stats-job 1 -> state: delayed, time-left: 5; p peek-delayed -> FOUND 1
                2 hi; wait 4.9; w2 ?; wait 0.2; w2 ? -> RESERVED 1 2 hi",
        ),
        (
            "a delayed job is kicked",
            "w2 watch lookup -> WATCHING 2; w2 reserve; p use lookup -> USING lookup; p put 0 5 9 hi
                -> INSERTED 1; p kick 10 -> KICKED 1; w2 ? -> RESERVED 1 2 hi; w2 delete 1 -> DELETED;
                wait 6; p stats-job 1 -> state: completed, kicks: 1; p kick-job 1 -> NOT_FOUND; p kick 10
                -> KICKED 0",
        ),
        (
            "a pause delays new jobs",
            "w2 watch lookup -> WATCHING 2; w2 reserve; p use lookup -> USING lookup; p pause-tube
                lookup 5 -> PAUSED; p pause-tube nowhere 5 -> NOT_FOUND; p put 0 0 9 hi -> INSERTED 1; p
                stats-tube lookup -> pause: 5, pause-time-left: 5, current-jobs-delayed: 1,
                cmd-pause-tube: 1; wait 4.9; w2 ?; wait 0.2; w2 ? -> RESERVED 1 2 hi",
        ),
        (
            "the tube that reports ends",
            r#"p use lookup -> USING lookup; p watch ends -> WATCHING 2; p put 0 0 9 hi -> INSERTED 1;
                wait 0.5; p reserve -> RESERVED 2 16 1 deferred 0.200; p stats-job 2 -> state: reserved,
                tube: "ends"; p release 2 0 0 -> RELEASED; p peek 2 -> FOUND 2 16 1 deferred 0.200; p
                reserve-job 2 -> RESERVED 2 16 1 deferred 0.200; p bury 2 0 -> BURIED; p use ends ->
                USING ends; p peek-buried -> FOUND 2 16 1 deferred 0.200; p put 0 0 9 hi -> BAD_FORMAT;
                p kick 1 -> KICKED 1; q watch ends -> WATCHING 2; q reserve -> RESERVED 2 16 1 deferred
                0.200; q delete 2 -> DELETED; q reserve-with-timeout 0; wait 0.01; q ? -> TIMED_OUT"#,
        ),
        (
            "reserve-job does not work for jobs of project types",
            "p use lookup -> USING lookup; p put 0 0 9 hi -> INSERTED 1; w2 reserve-job 1 ->
                NOT_FOUND",
        ),
        (
            "unknown jobs and tubes",
            "w2 delete 7 -> NOT_FOUND; w2 release 7 0 0 -> NOT_FOUND; w2 bury 7 0 -> NOT_FOUND; w2
                touch 7 -> NOT_FOUND; w2 kick-job 7 -> NOT_FOUND; w2 stats-job 7 -> NOT_FOUND; w2
                stats-tube nowhere -> NOT_FOUND",
        ),
        (
            "one worker reserves several jobs",
            "w2 watch lookup -> WATCHING 2; p use lookup -> USING lookup; p put 0 0 9 a -> INSERTED
                1; p put 0 0 9 b -> INSERTED 2; w2 reserve -> RESERVED 1 1 a; w2 reserve -> RESERVED 2 1
                b; w2 delete 2 -> DELETED; w2 delete 1 -> DELETED; p stats-tube lookup -> cmd-delete: 2,
                current-jobs-reserved: 0",
        ),
        ("a put without a length closes the connection", "p put 0 0 -> BAD_FORMAT; p stats"),
    ]);
}

/// What becomes of a job after each behaviour of its worker, by the idempotency of the project type.
#[test]
fn the_workers_behaviour_decides_the_outcome() {
    let reserved_charge = joined(
        WAITING_WORKER,
        "p use charge -> USING charge; p put 0 0 1 hi -> INSERTED 1; w2 ? -> RESERVED 1 2 hi",
    );
    let two_workers = |tube: &str| {
        let workers = ["w2", "w3"]
            .map(|w| format!("{w} watch lookup -> WATCHING 2; {w} watch create -> WATCHING 3"));
        let put = format!("p use {tube} -> USING {tube}; p put 0 0 1 hi -> INSERTED 1");
        format!(
            "{}; {put}; w2 reserve -> RESERVED 1 2 hi; w3 reserve",
            workers.join("; ")
        )
    };
    let cases: Vec<(&str, String)> = vec![
        ("non-idempotent: deleted", joined(&reserved_charge, r#"w2 delete 1 -> DELETED; answers 1 -> Completed(b"")"#)),
        ("non-idempotent: the worker disconnects", joined(&reserved_charge, "disconnect w2; answers 1 -> Aborted")),
        // Part of the job may be written, and the rest may arrive until the connection is closed.
        (
            "non-idempotent: the worker stops reading",
            "w2 watch charge -> WATCHING 2; w2 reserve; stop-reading w2; p use charge -> USING charge;
                p put 0 0 1 hi -> INSERTED 1; wait 3.01; answers 1 -> Aborted"
                .to_string(),
        ),
        ("non-idempotent: released", joined(&reserved_charge, "w2 release 1 0 0 -> RELEASED; answers 1 -> Aborted")),
        (
            "non-idempotent: buried",
            joined(
                &reserved_charge,
                "w2 bury 1 0 -> BURIED; answers 1 -> Aborted; p kick-job 1 -> NOT_FOUND; p stats-job 1 ->
                state: buried",
            ),
        ),
        ("non-idempotent: deleted late", joined(&reserved_charge, r#"wait 2.5; w2 delete 1 -> DELETED; answers 1 -> Completed(b"")"#)),
        (
            "non-idempotent: silent",
            joined(
                &reserved_charge,
                "wait 2.99; answers 1; wait 0.02; answers 1 -> Aborted; w2 delete 1 -> NOT_FOUND; answers 1 -> Aborted",
            ),
        ),
        (
            "non-idempotent: touched again and again",
            joined(
                &reserved_charge,
                "wait 1; w2 touch 1 -> TOUCHED; wait 1; w2 touch 1 -> TOUCHED; wait 1; answers 1 -> Aborted; w2
                touch 1 -> NOT_FOUND",
            ),
        ),
        (
            "idempotent: the worker disconnects",
            joined(
                &two_workers("lookup"),
                r#"disconnect w2; w3 ? -> RESERVED 1 2 hi; w3 delete 1 -> DELETED; answers 1 -> Completed(b"")"#,
            ),
        ),
        (
            "idempotent: released",
            joined(&two_workers("lookup"), "w2 release 1 0 0 -> RELEASED; w3 ? -> RESERVED 1 2 hi"),
        ),
        ("idempotent: silent", joined(&two_workers("lookup"), "wait 0.9; w3 ?; wait 0.2; answers 1 -> Deferred(0.2)")),
        (
            "idempotent: deleted late",
            joined(&two_workers("lookup"), "wait 1.1; w2 delete 1 -> NOT_FOUND; answers 1 -> Deferred(0.2)"),
        ),
        (
            "idempotent: buried and kicked",
            joined(
                &two_workers("lookup"),
                r#"w2 bury 1 0 -> BURIED; answers 1 -> Deferred(0.2); p stats-job 1 -> state: buried, end:
                deferred; p peek-buried -> FOUND 1 2 hi; p kick 5 -> KICKED 1; w3 ? -> RESERVED 1 2 hi;
                w3 delete 1 -> DELETED; answers 1 -> Deferred(0.2) Completed(b"")"#,
            ),
        ),
        (
            "idempotent: touched past the hard limit",
            joined(
                &two_workers("lookup"),
                "wait 0.9; w2 touch 1 -> TOUCHED; wait 0.9; w2 touch 1 -> TOUCHED; wait 0.9; w2 touch 1 ->
                TOUCHED; wait 0.4; answers 1 -> Deferred(0.2); w2 delete 1 -> NOT_FOUND",
            ),
        ),
        (
            "deduplicated: the worker disconnects, another machine waits",
            joined(&two_workers("create"), "disconnect w2; w3 ?; answers 1; wait 0.7; answers 1 -> Aborted"),
        ),
        (
            "deduplicated: the worker disconnects, another on its machine waits",
            joined(
                &two_workers("create"),
                "v2 watch create -> WATCHING 2; v2 reserve; disconnect w2; v2 ? -> RESERVED 1 2 hi",
            ),
        ),
        (
            "a time-to-run past the hard limit",
            "w2 watch lookup -> WATCHING 2; p use lookup -> USING lookup; p put 0 0 60 hi -> INSERTED
                1; w2 reserve -> RESERVED 1 2 hi; p stats-job 1 -> ttr: 60, time-left: 2; wait 2.99; answers
                1; wait 0.02; answers 1 -> Deferred(0.2); w2 delete 1 -> NOT_FOUND"
                .to_string(),
        ),
        (
            "released with a delay",
            joined(
                &two_workers("lookup"),
                "w2 release 1 7 1 -> RELEASED; p stats-job 1 -> state: delayed, pri: 7, releases: 1; w3
                ?; wait 0.3; p kick-job 1 -> KICKED; w3 ? -> RESERVED 1 2 hi",
            ),
        ),
        (
            "deleted while delayed after a release",
            joined(&two_workers("lookup"), "w2 release 1 7 1 -> RELEASED; p delete 1 -> DELETED; wait 1.1; w3 ?; answers 1"),
        ),
    ];
    for (case, script) in cases {
        let mut sim = Simulation::new("cold = false", &[], 1000);
        run_script(case, &mut sim, &script);
        sim.advance(4.0);
        assert_eq!(sim.open_requests(), 0, "{case}: all requests are answered");
    }
}

/// A released job counts as not executed only if the operator's file says so.
#[test]
fn the_operators_file_decides_what_a_release_means() {
    for (release, answer) in [("may-have-run", "Aborted"), ("never-ran", "")] {
        let operator = virtual_time::operator_file("cold = false").replace(
            "ends = \"ends\"",
            &format!("ends = \"ends\"\nrelease = \"{release}\""),
        );
        let mut sim = Simulation::with_operator_file(&operator);
        run_script(
            release,
            &mut sim,
            &joined(
                WAITING_WORKER,
                &format!(
                    "p use charge -> USING charge; p put 0 0 1 hi -> INSERTED 1; w2 ? -> RESERVED 1 2 hi;
                    w2 release 1 0 0 -> RELEASED; answers 1 -> {answer}"
                ),
            ),
        );
    }
}

#[test]
fn a_draining_machine_gets_no_jobs() {
    let setup = "w2 watch lookup -> WATCHING 2; p use lookup -> USING lookup";
    let cases: Vec<(&str, String)> = vec![
        (
            "drained before the put",
            joined(
                setup,
                "w2 reserve; drain 2; p put 0 0 1 hi -> INSERTED 1; w2 ?; wait 1; w2 ?; answers 1 ->
                Deferred(0.2)",
            ),
        ),
        (
            "another connection of the machine",
            joined(
                setup,
                "drain 2; v2 watch lookup -> WATCHING 2; v2 reserve; p put 0 0 1 hi -> INSERTED 1; v2 ?",
            ),
        ),
        (
            "reserved jobs can be finished",
            joined(
                setup,
                r#"w2 reserve; p put 0 0 1 hi -> INSERTED 1; w2 ? -> RESERVED 1 2 hi; drain 2; w2 delete 1
                -> DELETED; w2 reserve; answers 1 -> Completed(b"")"#,
            ),
        ),
        (
            "a removed machine",
            joined(setup, "serve 2; w2 reserve; remove 2; p put 0 0 1 hi -> INSERTED 1; w2 ?"),
        ),
        (
            "a machine that serves again",
            joined(
                setup,
                "w2 reserve; drain 2; p put 0 0 1 hi -> INSERTED 1; serve 2; w2 ? -> RESERVED 1 2 hi",
            ),
        ),
        (
            "drained between the decision and the writing",
            joined(
                setup,
                "w2 list-tube-used -> USING default; stop-reading w2; w2 list-tube-used -> USING default; w2
                reserve; p put 0 0 1 hi -> INSERTED 1; drain 2; w3 watch lookup -> WATCHING 2; w3
                reserve; read w2; w2 ?; w3 ? -> RESERVED 1 2 hi",
            ),
        ),
    ];
    for (case, script) in cases {
        run_script(
            case,
            &mut Simulation::new("cold = false", &[], 1000),
            &script,
        );
    }
    let mut sim = Simulation::new("cold = false\nlisted = true", &[], 1000);
    run_script(
        "only listed machines",
        &mut sim,
        &joined(
            setup,
            "w2 reserve; p put 0 0 1 hi -> INSERTED 1; w2 ?; serve 2; w2 ? -> RESERVED 1 2 hi",
        ),
    );
}

/// A machine that is missing from a full list gets no jobs.
#[test]
fn a_machine_missing_from_the_list_gets_no_jobs() {
    let mut sim = Simulation::new("cold = false", &[], 1000);
    sim.update_machines(true, &[(2, Ready, 0.0), (3, Ready, 0.0)]);
    run_script(
        "listed",
        &mut sim,
        "w2 watch lookup -> WATCHING 2; w2 reserve",
    );
    sim.update_machines(true, &[(3, Ready, 0.0)]);
    run_script(
        "missing",
        &mut sim,
        "p use lookup -> USING lookup; p put 0 0 1 hi -> INSERTED 1; w2 ?",
    );
    sim.update_machines(true, &[(2, Ready, 0.0), (3, Ready, 0.0)]);
    run_script("listed again", &mut sim, "w2 ? -> RESERVED 1 2 hi");
}

/// In slow start a machine gets only a few jobs, however many connections wait.
#[test]
fn slow_start_limits_a_cold_machine() {
    let reserved = |settings: &str, came_up: Option<f64>| {
        let mut sim = Simulation::new(settings, &[], 1000);
        if let Some(came_up) = came_up {
            sim.update_machines(true, &[(2, Ready, sim.now - came_up)]);
        }
        sim.send("p", b"use lookup\r\n");
        (0..20).for_each(|n| {
            let name = format!("w{n}-2");
            sim.send(&name, b"watch lookup\r\nreserve\r\n");
        });
        (0..20).for_each(|_| sim.send("p", b"put 0 0 9 1\r\nx\r\n"));
        (0..20)
            .filter(|n| sim.take_received(&format!("w{n}-2")).contains("RESERVED"))
            .count()
    };
    assert_eq!(
        reserved("cold = false", None),
        20,
        "a warm machine gets all jobs"
    );
    assert!(
        reserved("", None) <= 2,
        "an unlisted machine counts as cold when first seen"
    );
    assert!(
        reserved("cold = false", Some(0.1)) <= 2,
        "the list says that it has just started"
    );
    assert_eq!(
        reserved("", Some(100.0)),
        20,
        "the list says that it started long ago"
    );
}

#[test]
fn http_requests_run_at_beanstalkd_workers() {
    run_cases(&[
        (
            "completed",
            r#"w2 watch charge -> WATCHING 2; w2 reserve; http 900 2; w2 ? -> RESERVED 900 3 web; p
                peek 900 -> NOT_FOUND; p delete 900 -> NOT_FOUND; w2 delete 900 -> DELETED; answers 900 ->
                Completed(b""); w2 stats-job 900 -> NOT_FOUND"#,
        ),
        (
            "its client leaves, and the next reserve still times out",
            "w2 watch lookup -> WATCHING 2; w2 reserve; http 900 0; w2 ? -> RESERVED 900 3 web; w2
                reserve-with-timeout 9; leave 900; wait 8.9; w2 ?; wait 0.2; w2 ? -> TIMED_OUT; w2 delete 900
                -> NOT_FOUND",
        ),
        (
            "released, non-idempotent",
            "w2 watch charge -> WATCHING 2; w2 reserve; http 900 2; w2 ? -> RESERVED 900 3 web; w2
                release 900 0 1 -> RELEASED; wait 1.1; answers 900 -> Aborted",
        ),
        (
            "buried",
            "w2 watch lookup -> WATCHING 2; w2 reserve; http 900 0; w2 ? -> RESERVED 900 3 web; w2
                bury 900 1 -> BURIED; answers 900 -> Deferred(0.2); p use lookup -> USING lookup; p kick 1
                -> KICKED 0",
        ),
    ]);
}

/// Jobs, watched tubes and reported ends are limited; beyond the limit commands fail or the oldest end is dropped,
/// and removed jobs make room.
#[test]
fn resources_are_limited() {
    let mut sim = Simulation::new("cold = false\nwatched = 3\nends = 4", &[], 2);
    run_script(
        "jobs",
        &mut sim,
        "p use lookup -> USING lookup; p put 0 9 1 a -> INSERTED 1; p put 0 9 1 b -> INSERTED 2;
                p put 0 9 1 c -> OUT_OF_MEMORY; p delete 1 -> DELETED; p put 0 9 1 d -> INSERTED 3; p
                delete 2 -> DELETED; p delete 3 -> DELETED; p watch a -> WATCHING 2; p watch b ->
                WATCHING 3; p watch c -> OUT_OF_MEMORY; p put 0 0 1 e -> INSERTED 4; wait 0.5; p put 0 0 1
                f -> INSERTED 6; wait 0.5; p put 0 0 1 g -> INSERTED 8; wait 0.5; p stats-job 4 ->
                NOT_FOUND; p stats-job 5 -> NOT_FOUND; p stats-job 6 -> state: deferred, come-back:
                0.200",
    );
    let large = format!(
        "put 0 0 1 {}\r\n{}\r\nstats-job 1\r\n",
        (1 << 16) + 1,
        "x".repeat((1 << 16) + 1)
    );
    sim.send("p", large.as_bytes());
    assert_eq!(sim.take_received("p"), "JOB_TOO_BIG NOT_FOUND");
}

/// A job that is released again and again has a limited number of attempts, and one end.
#[test]
fn repeated_releases_end() {
    let mut sim = Simulation::new("cold = false", &[], 1000);
    sim.send("p", b"use lookup\r\nput 0 0 9 1\r\nx\r\n");
    sim.send("w2", b"watch lookup\r\n");
    let mut reservations = 0;
    for _ in 0..50 {
        sim.send("w2", b"reserve-with-timeout 0\r\n");
        reservations += usize::from(sim.take_received("w2").contains("RESERVED"));
        sim.send("w2", b"release 1 0 0\r\n");
        sim.advance(0.02);
    }
    assert!(
        (1..=3).contains(&reservations),
        "reserved {reservations} times; the settings allow three attempts"
    );
    assert_eq!(sim.answers[&1].len(), 1);
    assert_eq!(sim.open_requests(), 0);
}

#[test]
fn a_graceful_shutdown_ends_all_jobs() {
    run_cases(&[(
        "",
        "w2 watch charge -> WATCHING 2; w2 watch lookup -> WATCHING 3; w2 reserve; p use charge
                -> USING charge; p put 0 0 1 out -> INSERTED 1; w2 ? -> RESERVED 1 3 out; p put 0 60 1
                later -> INSERTED 2; p use lookup -> USING lookup; p put 0 0 1 waits -> INSERTED 3;
                stop; p put 0 0 1 more -> DRAINING; p stats-job 2 -> state: deferred; p stats ->
                draining: true; drain-deadline; answers 1 -> Aborted; answers 3 -> Deferred(0.2); q watch ends -> WATCHING
                2; q reserve -> RESERVED 4 16 2 deferred 0.000",
    )]);
}
