//! The program in operation, with simulated clients, workers and list services: the admin socket and its metrics,
//! draining, reloads, and replacing the process by a new version under load.

mod harness;

use harness::{
    FREQUENT_LIST_CALLS, Program, TICK, list_service, listing, post, post_with_id, read_response,
    static_list_service, stderr_of_failure,
};
use harness::{spawn_server, start, start_with_worker, worker, worker_replying, worker_returning};
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A change of the configuration: an admin socket on any free port.
const ADMIN_SOCKET: (&str, &str) = ("\"seed\"", "\"ops\": \"127.0.0.1:0\", \"seed\"");
const HEALTHZ: &str = "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";

/// Sends a command to the admin socket, and returns the reply.
fn send_command(program: &Program, line: &str) -> String {
    let mut stream = TcpStream::connect(program.admin_address.unwrap()).unwrap();
    stream.write_all(line.as_bytes()).unwrap();
    stream.write_all(b"\n").unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut reply = String::new();
    stream.read_to_string(&mut reply).unwrap();
    reply
}

fn metrics(program: &Program) -> HashMap<String, u64> {
    let page = send_command(program, "DUMP");
    let lines = page
        .strip_suffix("EOT\n")
        .unwrap_or_else(|| panic!("{page}"))
        .lines();
    let metric = |line: &str| {
        let (name, value) = line
            .strip_prefix("edge_router.")
            .unwrap()
            .split_once('=')
            .unwrap();
        (name.to_string(), value.parse().unwrap())
    };
    lines.map(metric).collect()
}

#[test]
fn clients_are_drained_and_admitted_again() {
    let program = start("", &[ADMIN_SOCKET]);
    for (line, reply_start, health_start, healthz_status) in [
        ("HEALTH", "SUCCESS ready", "SUCCESS ready", "200"),
        ("JOIN", "SUCCESS ready", "SUCCESS ready", "200"),
        ("LEAVE", "SUCCESS leaving", "FAILURE leaving", "503"),
        ("LEAVE", "SUCCESS leaving", "FAILURE leaving", "503"),
        (
            "STAY",
            "FAILURE there is no call \"STAY\"",
            "FAILURE leaving",
            "503",
        ),
        ("JOIN", "SUCCESS ready", "SUCCESS ready", "200"),
    ] {
        let reply = send_command(&program, line);
        assert!(reply.starts_with(reply_start), "{line}: {reply}");
        assert!(
            send_command(&program, "HEALTH").starts_with(health_start),
            "after {line}"
        );
        let response = program.request(HEALTHZ);
        assert!(
            response.starts_with(&format!("HTTP/1.1 {healthz_status}")),
            "after {line}: {response}"
        );
    }
    assert!(program.request(&post("/charge/1", "")).ends_with("yes"));
}

/// After LEAVE every client, whatever it is doing, gets its responses, and all connections close.
#[test]
fn draining_closes_all_connections_without_loss() {
    let program = start("", &[ADMIN_SOCKET]);
    let request = post("/charge/1", "");
    let (first, rest) = request.split_at(20);
    let check = |case: &str, response: &str, stays_open: bool| {
        assert!(
            response.contains("200 OK") && response.ends_with("yes"),
            "{case}: {response}"
        );
        assert_eq!(
            response.contains("connection: close"),
            !stays_open,
            "{case}: {response}"
        );
    };
    let connect = |first_path: Option<&str>| {
        let mut stream = program.connect();
        if let Some(path) = first_path {
            stream.write_all(post(path, "").as_bytes()).unwrap();
            check("before LEAVE", &read_response(&mut stream), true);
        }
        stream
    };
    let (mut idle, mut active, mut half_sent, mut silent) = (
        connect(Some("/charge/1")),
        connect(Some("/charge/2")),
        connect(Some("/charge/3")),
        connect(None),
    );
    let mut busy = connect(None);
    busy.write_all(post("/charge/slow", "").as_bytes()).unwrap();
    std::thread::sleep(TICK);
    let left_at = Instant::now();
    assert!(send_command(&program, "LEAVE").starts_with("SUCCESS"));
    active.write_all(post("/charge/4", "").as_bytes()).unwrap();
    check(
        "at once after LEAVE, as the load balancer may not have noticed",
        &read_response(&mut active),
        true,
    );
    check("in progress at LEAVE", &read_response(&mut busy), true);
    std::thread::sleep(Duration::from_millis(600).saturating_sub(left_at.elapsed()));
    half_sent.write_all(first.as_bytes()).unwrap();
    std::thread::sleep(2 * TICK);
    half_sent.write_all(rest.as_bytes()).unwrap();
    check(
        "half sent as connections close",
        &read_response(&mut half_sent),
        false,
    );
    check(
        "new connection while draining",
        &program.request(&post("/charge/5", "")),
        false,
    );
    for (case, stream) in [
        ("idle", &mut idle),
        ("idle after a request", &mut active),
        ("no request yet", &mut silent),
    ] {
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        let closed = stream.read(&mut [0; 1]);
        assert!(matches!(closed, Ok(0)), "{case}: {closed:?}");
        assert!(
            left_at.elapsed() < Duration::from_secs(2),
            "{case}: {:?}",
            left_at.elapsed()
        );
    }
    assert!(send_command(&program, "JOIN").starts_with("SUCCESS"));
    let mut stream = program.connect();
    for path in ["/charge/6", "/charge/7"] {
        stream.write_all(post(path, "").as_bytes()).unwrap();
        check("after JOIN", &read_response(&mut stream), true);
    }
}

/// The period before idle connections close begins with LEAVE or the stop, not with the last event before it: after
/// a quiet time no connection is closed at once.
#[test]
fn draining_after_a_quiet_time_closes_nothing_at_once() {
    for stops in [true, false] {
        let mut program = start("", &[ADMIN_SOCKET]);
        let mut idle = program.connect();
        idle.write_all(post("/charge/1", "").as_bytes()).unwrap();
        assert!(read_response(&mut idle).ends_with("yes"));
        std::thread::sleep(25 * TICK);
        match stops {
            true => program.terminate(),
            false => assert!(send_command(&program, "LEAVE").starts_with("SUCCESS")),
        }
        std::thread::sleep(3 * TICK);
        idle.write_all(post("/charge/2", "").as_bytes()).unwrap();
        let response = read_response(&mut idle);
        assert!(
            response.ends_with("yes") && !response.contains("connection: close"),
            "stops: {stops}: {response}"
        );
        program.terminate();
        assert!(program.wait_for_exit().0);
    }
}

#[test]
fn draining_and_shutdown_overlap() {
    let mut program = start("", &[ADMIN_SOCKET]);
    assert!(send_command(&program, "LEAVE").starts_with("SUCCESS"));
    program.terminate();
    std::thread::sleep(TICK);
    assert!(send_command(&program, "JOIN").starts_with("FAILURE it is stopping"));
    assert!(send_command(&program, "HEALTH").starts_with("FAILURE stopping"));
    assert!(
        program.request(&post("/charge/1", "")).ends_with("yes"),
        "late requests are served"
    );
    assert!(program.wait_for_exit().0);
}

/// For every kind of outcome, each metric equals what the clients and the worker counted.
#[test]
fn metrics_match_the_peers_counts() {
    static RECEIVED: AtomicU32 = AtomicU32::new(0);
    let (worker, _) = spawn_server(|stream| {
        worker_replying(stream, |request, _| {
            RECEIVED.fetch_add(1, Relaxed);
            let state = ["done", "failed", "returned", "lost"]
                .into_iter()
                .find(|s| request.contains(s));
            state.map(|state| (state, "yes".to_string()))
        })
    });
    let program = start_with_worker(worker, "", &[ADMIN_SOCKET], None);
    let mut expected: HashMap<String, u64> = HashMap::new();
    let paths = [
        "/lookup/done",
        "/charge/done",
        "/charge/failed",
        "/charge/lost",
        "/lookup/hold",
        "/charge/hold",
    ];
    for round in 0..5 {
        for path in paths {
            let response = program.request(&post(path, "request-timeout: 150m\r\n"));
            let outcome = match response.split(' ').nth(1).unwrap() {
                "200" => "answered",
                "429" | "503" => "deferred",
                _ => "errored",
            };
            let name = path.split('/').nth(1).unwrap();
            *expected
                .entry(format!("transactions.{name}.{outcome}"))
                .or_default() += 1;
        }
        // Requests of no project type, invalid requests and health checks are not counted.
        program.request(&post("/nothing", ""));
        program.request(&post("/create", ""));
        program.request(HEALTHZ);
        let abandoned: Vec<TcpStream> = (0..3)
            .map(|_| {
                let mut stream = program.connect();
                stream
                    .write_all(post("/charge/hold", "").as_bytes())
                    .unwrap();
                stream
            })
            .collect();
        std::thread::sleep(TICK);
        let actual = metrics(&program);
        assert!(
            actual["current"] > 0 && actual["current"] <= 3,
            "round {round}: {actual:?}"
        );
        drop(abandoned);
        std::thread::sleep(TICK);
        let actual = metrics(&program);
        assert_eq!(
            actual["current"], 0,
            "round {round}: requests of clients that have left still count as open"
        );
        assert_eq!(
            actual["sends"],
            u64::from(RECEIVED.load(Relaxed)),
            "round {round}"
        );
        assert_eq!(actual["cluster_size"], 1, "round {round}");
        assert!(actual["cluster_unhealthy"] <= 1, "round {round}");
        for (name, count) in &expected {
            assert_eq!(actual[name], *count, "round {round}: {name} of {actual:?}");
        }
        let answers: u64 = actual
            .iter()
            .filter(|(n, _)| n.starts_with("transactions."))
            .map(|(_, v)| v)
            .sum();
        assert_eq!(
            answers,
            expected.values().sum::<u64>(),
            "round {round}: something else is counted"
        );
    }
    assert!(
        expected.keys().any(|k| k.ends_with("deferred"))
            && expected.keys().any(|k| k.ends_with("errored")),
        "{expected:?}"
    );
}

/// Hundreds of idle clients, incomplete requests and silent connections to the admin socket do not delay an operator's
/// command.
#[test]
fn the_admin_socket_answers_when_all_connections_are_taken() {
    let program = start(
        "",
        &[ADMIN_SOCKET, ("\"sockets\": 1024", "\"sockets\": 128")],
    );
    let connect_many = |address: SocketAddr, sent: &'static str| {
        (0..200).map(move |_| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream.write_all(sent.as_bytes()).ok();
            stream
        })
    };
    let mut all: Vec<TcpStream> = connect_many(program.address, "")
        .chain(connect_many(program.address, "POST /charge HTTP/1.1\r\n"))
        .collect();
    for line in ["HEALTH", "DUMP", "LEAVE", "JOIN"] {
        let began = Instant::now();
        let reply = send_command(&program, line);
        assert!(
            reply.starts_with("SUCCESS") || reply.ends_with("EOT\n"),
            "{line}: {reply}"
        );
        assert!(
            began.elapsed() < Duration::from_secs(1),
            "{line}: {:?}",
            began.elapsed()
        );
        all.extend(
            connect_many(program.admin_address.unwrap(), ["", "HEAL"][all.len() % 2]).take(12),
        );
    }
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", program.child.id()))
        .unwrap()
        .count();
    assert!(descriptors <= 128, "{descriptors} descriptors");
    assert!(program.request(&post("/charge/1", "")).ends_with("yes"));
}

/// `cluster_size` is the number of workers on the list, and `cluster_unhealthy` counts a worker that refuses
/// connections.
#[test]
fn the_cluster_metrics_count_listed_and_failing_workers() {
    let refusing = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let (working, _) = spawn_server(worker);
    let workers = [
        ("s-1", working, "SERVING"),
        ("s-2", working, "SERVING"),
        ("s-3", refusing, "SERVING"),
    ];
    let list = static_list_service(listing(9, &workers));
    let program = start(
        "",
        &[ADMIN_SOCKET, ("127.0.0.1:8500", &list), FREQUENT_LIST_CALLS],
    );
    std::thread::sleep(5 * TICK);
    let mut unhealthy = 0;
    for _ in 0..4 {
        // Enough parallel requests that each of the three workers gets some.
        let connections = (0..12).map(|_| {
            let mut stream = program.connect();
            stream
                .write_all(post("/lookup/slow", "").as_bytes())
                .unwrap();
            stream
        });
        let connections: Vec<TcpStream> = connections.collect();
        std::thread::sleep(TICK);
        unhealthy = unhealthy.max(metrics(&program)["cluster_unhealthy"]);
        drop(connections);
    }
    let current = metrics(&program);
    assert_eq!((current["cluster_size"], unhealthy), (3, 1), "{current:?}");
}

/// A list of 1,100 workers, with as many schedulers, is read completely; memory grows with the list's actual size,
/// not with the largest possible one.
#[test]
fn a_list_of_many_workers_is_read_completely() {
    let (working, _) = spawn_server(worker);
    let peak_kb = |workers: u64| {
        let line = |i| {
            format!(
                r#"{{"id":"s-{i}","addr":"{working}","zone":"north","kind":"small","cell":{},"state":"SERVING"}}"#,
                i << 16
            )
        };
        let lines: Vec<String> = (0..workers).map(line).collect();
        let list = static_list_service(format!(
            r#"{{"version":9,"full":true,"servers":[{}]}}"#,
            lines.join(",")
        ));
        let schedulers = ("\"balancers\": 1", "\"balancers\": 1100");
        let mut program = start(
            "",
            &[
                ADMIN_SOCKET,
                ("127.0.0.1:8500", &list),
                schedulers,
                FREQUENT_LIST_CALLS,
            ],
        );
        program.wait_for_log(&format!("s-{}", workers - 1));
        assert_eq!(metrics(&program)["cluster_size"], workers);
        assert!(program.request(&post("/charge/1", "")).ends_with("yes"));
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", program.child.id())).unwrap();
        let peak = status
            .lines()
            .find_map(|l| l.strip_prefix("VmHWM:"))
            .unwrap();
        peak.trim().trim_end_matches(" kB").parse::<u64>().unwrap()
    };
    let (few, many) = (peak_kb(11), peak_kb(1100));
    assert!(
        many < few + 16 * 1024,
        "{few} kB with 11 workers, {many} kB with 1,100"
    );
}

/// Reloads that add and remove a project type are applied; invalid files change nothing.
#[test]
fn settings_change_while_serving() {
    let program = start("", &[ADMIN_SOCKET]);
    let original = std::fs::read_to_string(&program.config_path).unwrap();
    let charge = r#"{"name": "charge", "credit": 10.0, "effect": "non_idempotent""#;
    let added = format!(
        r#"{{"name": "refund", "credit": 10.0, "effect": "idempotency_key", "group": "cell", "window": 9.0, "promised_turnaround": 400.0, "hard_limit": 3000.0, "late_credit": 0.0}}, {charge}"#
    );
    let class_lists = (
        "\"class_kind\": [-1, -1, -1], \"class_stretch\": [2.0, 1.75, 2.5]",
        "\"class_kind\": [-1, -1, -1, -1], \"class_stretch\": [2.0, 1.75, 2.5, 2.5]",
    );
    let with_refund = original
        .replace(charge, &added)
        .replace(class_lists.0, class_lists.1);
    let key = "idempotency-key: 5\r\n";
    let mut open = program.connect();
    open.write_all(post("/charge/slow", "").as_bytes()).unwrap();
    std::thread::sleep(TICK);
    let (mut loaded, mut invalid) = (0, 0);
    let mut reload = |case: &str, text: &str, valid: bool| {
        std::fs::write(program.config_path.with_extension("new"), text).unwrap();
        std::fs::rename(
            program.config_path.with_extension("new"),
            &program.config_path,
        )
        .unwrap();
        program.signal("-HUP");
        std::thread::sleep(TICK);
        *(if valid { &mut loaded } else { &mut invalid }) += 1;
        let current = metrics(&program);
        assert_eq!(
            (current["conf_loaded"], current["conf_invalid"]),
            (loaded, invalid),
            "{case}"
        );
    };
    let status = |path: &str, headers: &str| {
        program
            .request(&post(path, headers))
            .split(' ')
            .nth(1)
            .unwrap()
            .to_string()
    };
    assert_eq!(status("/refund", key), "404", "before it is added");
    reload("added", &with_refund, true);
    assert_eq!(
        (
            status("/refund", key).as_str(),
            status("/refund", "").as_str()
        ),
        ("200", "400"),
        "added, with and without its idempotency key"
    );
    assert_eq!(status("/charge", ""), "200", "its position has changed");
    let truncated = |part: usize| original[..original.len() * part / 16].to_string();
    let invalid_files: Vec<(String, String)> = [
        ("empty", String::new()),
        ("not JSON", "hello".to_string()),
        ("a list", "[]".to_string()),
        ("two objects", format!("{with_refund} {with_refund}")),
        (
            "without settings",
            with_refund.replace("\"settings\"", "\"sett\""),
        ),
        (
            "without limits",
            with_refund.replace("\"limits\"", "\"limit\""),
        ),
        (
            "without the admin address",
            with_refund.replace("\"ops\"", "\"opts\""),
        ),
        ("without cores", with_refund.replace("\"cores\": 1.0, ", "")),
        (
            "without a zone",
            with_refund.replace("    \"zone\": 0,\n", ""),
        ),
        (
            "a repeated name",
            with_refund.replace("\"refund\"", "\"charge\""),
        ),
        ("an empty name", with_refund.replace("\"refund\"", "\"\"")),
    ]
    .map(|(case, text)| (case.to_string(), text))
    .into_iter()
    .chain((1..16).map(|part| (format!("truncated at {part} of 16"), truncated(part))))
    .chain(
        ["0", "-1", "-5.5", "1e999", "\"soon\"", "null", "[]"].map(|limit| {
            (
                format!("a hard limit of {limit}"),
                with_refund.replacen(
                    "\"hard_limit\": 3000.0",
                    &format!("\"hard_limit\": {limit}"),
                    1,
                ),
            )
        }),
    )
    .chain(["0", "-1", "1.5", "\"three\"", "null"].map(|most| {
        (
            format!("{most} attempts"),
            with_refund.replace(
                "\"most_allocations\": 3",
                &format!("\"most_allocations\": {most}"),
            ),
        )
    }))
    .chain(
        ["-1", "-0.02", "1e999", "\"dear\"", "null"]
            .into_iter()
            .flat_map(|price| {
                ["cross_zone", "peer"].map(|key| {
                    let table = format!("\"prices\": {{\"{key}\": {price}}}, \"quantum\"");
                    (
                        format!("a price {key} of {price}"),
                        with_refund.replace("\"quantum\"", &table),
                    )
                })
            }),
    )
    .chain(["1", "\"often\"", "null"].map(|peers| {
        let permitted = format!("\"peers\": {peers}, \"retry_after\"");
        (
            format!("peer messages {peers}"),
            with_refund.replace("\"retry_after\"", &permitted),
        )
    }))
    .collect();
    for (case, text) in &invalid_files {
        assert_ne!(*text, with_refund, "{case}: the text is unchanged");
        reload(case, text, false);
        assert_eq!(
            status("/refund", key),
            "200",
            "{case}: the current configuration stays"
        );
    }
    reload("removed", &original, true);
    assert_eq!(
        (
            status("/refund", key).as_str(),
            status("/charge", "").as_str()
        ),
        ("404", "200"),
        "removed"
    );
    assert!(
        read_response(&mut open).ends_with("yes"),
        "the open request is answered"
    );
    // Valid and invalid files in turn, faster than all can be read: in the end the last valid one is in use.
    for n in 0..100 {
        std::fs::write(
            program.config_path.with_extension("new"),
            if n % 2 == 0 {
                with_refund.clone()
            } else {
                truncated(n % 16)
            },
        )
        .unwrap();
        std::fs::rename(
            program.config_path.with_extension("new"),
            &program.config_path,
        )
        .unwrap();
        program.signal("-HUP");
    }
    std::fs::write(&program.config_path, &with_refund).unwrap();
    program.signal("-HUP");
    std::thread::sleep(2 * TICK);
    assert_eq!(status("/refund", key), "200", "after a hundred reloads");
}

/// The list service's address changes to another deployment, whose list versions are unrelated, and back. From the
/// start new requests go only to workers of the new list, an open request is answered by its old worker, and
/// changed prices are applied without a restart.
#[test]
fn a_changed_list_service_is_used_at_once() {
    let [(old, _), (new, _)] =
        ["old", "new"].map(|name| spawn_server(move |s| worker_returning(name, s)));
    let old_workers = [("s-1", old, "SERVING"), ("s-2", old, "SERVING")];
    // A watch of the new list reports no change: only a call for the full list returns its worker.
    let unchanged = |text: String| text.replace("\"full\":true", "\"full\":false");
    let (before, after) = (
        static_list_service(listing(500, &old_workers)),
        static_list_service(unchanged(listing(7, &[("t-1", new, "SERVING")]))),
    );
    let program = start(
        "",
        &[
            ADMIN_SOCKET,
            ("127.0.0.1:8500", &before),
            FREQUENT_LIST_CALLS,
        ],
    );
    std::thread::sleep(5 * TICK);
    assert!(program.request(&post("/lookup/1", "")).ends_with("old"));
    let mut open = program.connect();
    open.write_all(post("/charge/slow", "").as_bytes()).unwrap();
    std::thread::sleep(TICK / 2);
    let (mut from, mut reloads) = (&before, 0);
    for (to, price, expected, size) in [(&after, "0.1", "new", 1), (&before, "0.02", "old", 2)] {
        let text = std::fs::read_to_string(&program.config_path).unwrap();
        let prices = format!("\"prices\": {{\"cross_zone\": {price}}},\n    \"quantum\"");
        let text = text
            .replace("\"prices\": {\"cross_zone\": 0.1},\n    ", "")
            .replace("\"quantum\"", &prices);
        std::fs::write(&program.config_path, text).unwrap();
        program.reload(from, to);
        std::thread::sleep(TICK / 2);
        let responses: Vec<String> = (0..40)
            .map(|n| program.request(&post(&format!("/lookup/{n}"), "")))
            .collect();
        let misrouted = responses
            .iter()
            .filter(|a| !(a.starts_with("HTTP/1.1 200") && a.ends_with(expected)))
            .count();
        assert_eq!(misrouted, 0, "{expected}: {responses:?}");
        reloads += 1;
        let current = metrics(&program);
        assert_eq!(
            (current["cluster_size"], current["conf_loaded"]),
            (size, reloads),
            "{expected}"
        );
        from = to;
    }
    assert!(
        read_response(&mut open).ends_with("old"),
        "the open request is answered by its old worker"
    );
    let deferred: u64 = metrics(&program)
        .iter()
        .filter(|(f, _)| f.ends_with(".deferred"))
        .map(|(_, n)| n)
        .sum();
    assert_eq!(deferred, 0);
}

#[test]
fn an_invalid_admin_address_or_socket_is_named() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let in_use = listener.local_addr().unwrap().to_string();
    let null = std::fs::File::open("/dev/null").unwrap();
    let (stream, file) = (TcpStream::connect(&in_use).unwrap(), null.as_raw_fd());
    let connected = stream.as_raw_fd();
    for fd in [file, connected] {
        inherit(fd);
    }
    let (file, connected) = (file.to_string(), connected.to_string());
    let cases = [
        ("ROUTER_OPS", in_use.as_str(), "ops: 127.0.0.1"),
        ("ROUTER_OPS", "here", "ROUTER_OPS: \"here\""),
        (
            "ROUTER_PASSED_SOCKET",
            "five",
            "ROUTER_PASSED_SOCKET: \"five\" is not a descriptor number",
        ),
        ("ROUTER_PASSED_SOCKET", "-1", "ROUTER_PASSED_SOCKET: \"-1\""),
        ("ROUTER_PASSED_SOCKET", "1", "ROUTER_PASSED_SOCKET: \"1\""),
        (
            "ROUTER_PASSED_SOCKET",
            "999",
            "ROUTER_PASSED_SOCKET: \"999\" is not a listening socket",
        ),
        ("ROUTER_PASSED_SOCKET", &file, "is not a listening socket"),
        (
            "ROUTER_PASSED_SOCKET",
            &connected,
            "is a socket that is not listening",
        ),
    ];
    for (variable, value, expected) in cases {
        let path = harness::write_config(&[("127.0.0.1:7070", "127.0.0.1:0")]);
        let stderr = stderr_of_failure(
            &["serve", "--config", path.to_str().unwrap()],
            &[(variable, value)],
        );
        assert!(stderr.contains(expected), "{value}: {stderr}");
    }
}

/// Makes child processes inherit the descriptor.
fn inherit(fd: i32) {
    nix::fcntl::fcntl(
        unsafe { std::os::fd::BorrowedFd::borrow_raw(fd) },
        nix::fcntl::F_SETFD(nix::fcntl::FdFlag::empty()),
    )
    .unwrap();
}

/// A client that sends requests with a pause after each until `stop` is set. Returns the time and a description of each
/// failed request.
fn run_client(
    address: SocketAddr,
    pause: Duration,
    ids: Arc<AtomicU32>,
    stop: Arc<AtomicBool>,
) -> Vec<(Instant, String)> {
    let (mut connection, mut failures): (Option<TcpStream>, Vec<_>) = (None, Vec::new());
    while !stop.load(Relaxed) {
        let id = ids.fetch_add(1, Relaxed);
        let mut stream = connection
            .take()
            .unwrap_or_else(|| TcpStream::connect(address).unwrap());
        let sent = stream.write_all(post_with_id(id, "/charge/1", "").as_bytes());
        let response = read_response(&mut stream);
        if !(response.starts_with("HTTP/1.1 200") && response.ends_with("yes")) {
            failures.push((Instant::now(), format!("{id}: {response:?}, {sent:?}")));
        }
        std::thread::sleep(pause);
        // A connection that was closed while idle is replaced, as usual clients do.
        stream.set_nonblocking(true).unwrap();
        let open = matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
        stream.set_nonblocking(false).unwrap();
        connection = (open && response.ends_with("yes") && !response.contains("connection: close"))
            .then_some(stream);
    }
    failures
}

/// A request received by a worker: its id, the worker, and the time.
type Received = (String, &'static str, Instant);

/// Processes replace each other on one inherited socket under load, while a worker starts to drain, the list service
/// becomes unreachable, and one successor is killed: no request is lost, executed twice, reset, refused, or sent to the
/// draining worker.
#[test]
fn a_new_version_takes_over_under_load() {
    let received: Arc<Mutex<Vec<Received>>> = Arc::default();
    let worker = |name: &'static str| {
        let received = received.clone();
        let serve = move |stream: &mut TcpStream| {
            worker_replying(stream, |_, id| {
                received
                    .lock()
                    .unwrap()
                    .push((id.to_string(), name, Instant::now()));
                std::thread::sleep(TICK / 5);
                Some(("done", "yes".to_string()))
            })
        };
        spawn_server(serve).0
    };
    let (one, two) = (worker("s-1"), worker("s-2"));
    let list_message =
        |version, state| listing(version, &[("s-1", one, "SERVING"), ("s-2", two, state)]);
    let slot = Arc::new(Mutex::new(list_message(9, "SERVING")));
    let discovery = list_service(slot.clone());
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    inherit(socket.as_raw_fd());
    let directory =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("takes-over-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let shell_prefix = format!(
        "export ROUTER_PASSED_SOCKET={} TMPDIR={};",
        socket.as_raw_fd(),
        directory.display()
    );
    // The initially known list of each process is older than the drain.
    let known = (
        listing(1, &[("s-1", one, "SERVING")]),
        list_message(1, "SERVING"),
    );
    let changes = [
        ADMIN_SOCKET,
        ("127.0.0.1:8500", &discovery),
        FREQUENT_LIST_CALLS,
        (&*known.0, &*known.1),
    ];
    let start = || start_with_worker(one, &shell_prefix, &changes, None);
    let mut serving = start();

    let (stop, ids) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU32::new(50_000)),
    );
    // Some clients send without a pause, some so rarely that they are idle when connections close.
    let clients = (0..8).map(|n: u32| {
        let (ids, stop) = (ids.clone(), stop.clone());
        std::thread::spawn(move || run_client(address, TICK * n / 2, ids, stop))
    });
    let clients: Vec<_> = clients.collect();
    std::thread::sleep(3 * TICK);
    let mut ending: Option<Program> = None;
    for swap in 0..4 {
        // A process may still be ending when the next but one starts, so that three run for a while.
        let successor = start();
        assert!(
            send_command(&successor, "HEALTH").starts_with("SUCCESS"),
            "swap {swap}: the new process is ready once it serves"
        );
        assert!(
            send_command(&serving, "HEALTH").starts_with("SUCCESS"),
            "swap {swap}: the old process is still ready"
        );
        serving.terminate();
        if let Some(mut former) = ending.replace(serving) {
            assert!(former.wait_for_exit().0, "swap {swap}");
        }
        serving = successor;
        if swap == 1 {
            *slot.lock().unwrap() = list_message(10, "DRAINING");
            std::thread::sleep(4 * TICK);
            slot.lock().unwrap().clear();
        }
    }
    assert!(ending.unwrap().wait_for_exit().0);
    // The successor is killed: the current process goes on, and stops later without a successor.
    let mut killed = start();
    let killed_at = Instant::now();
    killed.child.kill().unwrap();
    killed.child.wait().unwrap();
    std::thread::sleep(5 * TICK);
    stop.store(true, Relaxed);
    let failures: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    let received = std::mem::take(&mut *received.lock().unwrap());
    let requests = ids.load(Relaxed) - 50_000;
    let mut times: HashMap<&str, u32> = HashMap::new();
    received
        .iter()
        .for_each(|(id, _, _)| *times.entry(id).or_default() += 1);
    let repeated: Vec<_> = times.iter().filter(|(_, times)| **times != 1).collect();
    // Each client may lose the one request that the killed process held, but nothing else.
    let (before, after): (Vec<_>, Vec<_>) =
        failures.iter().partition(|(when, _)| *when < killed_at);
    assert!(
        requests > 80 && before.is_empty() && repeated.is_empty(),
        "of {requests}: {before:?}; {repeated:?}"
    );
    assert!(
        after.iter().all(|(when, _)| *when - killed_at < 3 * TICK),
        "{after:?}"
    );
    let last_received = |name| {
        received
            .iter()
            .filter(|(_, at, _)| *at == name)
            .map(|(_, _, when)| *when)
            .max()
            .unwrap()
    };
    let difference = last_received("s-1") - last_received("s-2");
    assert!(
        difference > 20 * TICK,
        "the draining worker got its last request {difference:?} before the other"
    );
    serving.terminate();
    std::thread::sleep(TICK);
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(post("/charge/1", "").as_bytes()).unwrap();
    assert!(
        read_response(&mut stream).ends_with("yes"),
        "without a successor late requests are still served"
    );
    assert!(serving.wait_for_exit().0);
    std::fs::remove_dir_all(&directory).ok();
}
