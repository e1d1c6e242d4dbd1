//! The program as it runs in production, with simulated clients, workers and list services: requests, time limits,
//! shutdown, reloads and invalid configurations.

mod harness;

use harness::{
    BASE_CONFIG, FREQUENT_LIST_CALLS, STREAM_HEAD, TICK, chunk, listing, post, post_with_id,
    read_response, static_list_service, stderr_of_failure,
};
use harness::{spawn_server, start, worker, worker_returning, write_config};
use mintlb::configuration::{Configuration, MachineLimits};
use mintlb::resource_limits::{BEANSTALKD_BUFFER_BYTES, ResourceLimits};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::time::{Duration, Instant};

#[test]
fn each_request_gets_its_response() {
    let program = start("", &[]);
    let large = format!(
        "POST /charge HTTP/1.1\r\nhost: x\r\nrequest-id: 1\r\ncontent-length: 70000\r\n\r\n{}",
        "x".repeat(70_000)
    );
    let cases = [
        ("completed", post("/charge/7", ""), "200 OK"),
        (
            "health check",
            "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n".into(),
            "200 OK",
        ),
        ("no project type", post("/surprise", ""), "404"),
        (
            "another method",
            "GET /charge HTTP/1.1\r\nhost: x\r\nrequest-id: 1\r\n\r\n".into(),
            "405",
        ),
        (
            "no id",
            post("/charge", "").replace("request-id", "other"),
            "400",
        ),
        (
            "deduplicated, no idempotency key",
            post("/create", ""),
            "400",
        ),
        (
            "deduplicated",
            post("/create", "idempotency-key: 5\r\n"),
            "200 OK",
        ),
        (
            "an invalid time-out",
            post("/charge", "request-timeout: soon\r\n"),
            "400",
        ),
        ("a body too large", large, "413"),
        ("not HTTP", "hello\r\n\r\n".into(), "400"),
        (
            "an empty id",
            post_with_id(7, "/charge", "").replace(": 7\r\n", ": \r\n"),
            "400",
        ),
        ("two ids", post("/charge", "request-id: 8\r\n"), "400"),
        (
            "a path that is not ASCII",
            post("/charge/\u{e9}", ""),
            "400",
        ),
        (
            "an invalid length",
            post("/charge", "").replace("length: 2", "length: -2"),
            "400",
        ),
        (
            "a huge length",
            post("/charge", "").replace("length: 2", "length: 9999999999"),
            "413",
        ),
        (
            "a longer body than announced",
            post("/charge", "") + "more",
            "400",
        ),
        // An intermediary that goes by the other length would see a second request in the body.
        (
            "contradictory lengths",
            format!(
                "POST /charge HTTP/1.1\r\nhost: x\r\nrequest-id: 5\r\ncontent-length: 90\r\n\
                 transfer-encoding: chunked\r\n\r\n0\r\n\r\n{}",
                post("/charge/hidden", "")
            ),
            "400",
        ),
        (
            "an endless head",
            format!("POST /charge HTTP/1.1\r\nx: {}", "y".repeat(99_000)),
            "431",
        ),
        (
            "non-idempotent, worker never answers",
            post("/charge/hold", "request-timeout: 300m\r\n"),
            "502",
        ),
        (
            "idempotent, worker never answers",
            post("/lookup/hold", "request-timeout: 300000u\r\n"),
            "50",
        ),
        ("completed after all these", post("/charge/8", ""), "200 OK"),
    ];
    for (case, request, status) in cases {
        let began = Instant::now();
        let response = program.request(&request);
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status}")),
            "{case}: {response}"
        );
        assert!(
            status != "200 OK" || response.ends_with("yes") || request.contains("healthz"),
            "{case}: {response}"
        );
        assert!(began.elapsed() < 8 * TICK, "{case}: too late");
        assert!(
            !status.starts_with('4') || response.contains("connection: close"),
            "{case}: {response}"
        );
    }
}

/// If the server closes a connection with unread bytes, the system sends a reset, and the error response may never
/// reach the client.
#[test]
fn an_error_response_reaches_a_client_that_still_sends() {
    let program = start("", &[]);
    let mut stream = program.connect();
    let head = post("/charge", "").replace("length: 2", "length: 60000000");
    stream.write_all(head.as_bytes()).unwrap();
    let megabyte = vec![b'x'; 1 << 20];
    (0..60).for_each(|n| {
        stream
            .write_all(&megabyte)
            .unwrap_or_else(|e| panic!("after {n} MB: {e}"))
    });
    assert!(read_response(&mut stream).starts_with("HTTP/1.1 413"));
}

/// A request with the id of an open request, or of one answered a moment ago, is refused, and the first request is not
/// affected.
#[test]
fn a_repeated_id_is_refused() {
    let program = start("", &[]);
    let mut first = program.connect();
    first
        .write_all(post_with_id(7, "/charge/slow", "").as_bytes())
        .unwrap();
    std::thread::sleep(TICK);
    let repeated = post_with_id(7, "/create", "idempotency-key: 5\r\n");
    assert!(program.request(&repeated).starts_with("HTTP/1.1 409"));
    assert!(read_response(&mut first).ends_with("yes"));
    assert!(
        program.request(&repeated).starts_with("HTTP/1.1 409"),
        "its client may still be waiting"
    );
}

/// A client that sends no complete request (nothing, single bytes, or half a request) gets an error response or a close
/// within 3 s of connecting.
#[test]
fn an_incomplete_request_times_out() {
    let program = start("", &[]);
    let request = post("/charge/1", "");
    let half = request.len() / 2;
    let cases = [
        ("silent", 0, 0),
        ("trickling", 1, 1),
        ("half a head", half, 0),
        ("no body", request.len() - 1, 0),
    ];
    let clients = cases.map(|(case, sent_first, sent_per_tick)| {
        let (mut stream, request) = (program.connect(), request.clone());
        std::thread::spawn(move || {
            let began = Instant::now();
            stream.set_read_timeout(Some(TICK)).unwrap();
            stream.write_all(&request.as_bytes()[..sent_first]).unwrap();
            let mut sent = sent_first;
            let outcome = loop {
                match stream.read(&mut [0; 64]) {
                    Ok(n) => break if n > 0 { "response" } else { "closed" },
                    Err(e) if e.kind() != ErrorKind::WouldBlock => break "reset",
                    Err(_) if began.elapsed() > Duration::from_secs(4) => break "nothing",
                    Err(_) => stream
                        .write_all(&request.as_bytes()[sent..sent + sent_per_tick])
                        .unwrap_or_default(),
                }
                sent += sent_per_tick;
            };
            (case, outcome, began.elapsed())
        })
    });
    for client in clients {
        let (case, outcome, after) = client.join().unwrap();
        assert!(
            outcome != "nothing" && after < Duration::from_secs(3),
            "{case}: {outcome} after {after:?}"
        );
        assert_eq!(
            outcome == "response",
            case == "no body",
            "{case}: {outcome}"
        );
    }
}

#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let program = start("", &[]);
    let mut stream = program.connect();
    stream
        .write_all(post("/charge/hold", "").as_bytes())
        .unwrap();
    assert!(
        program.worker_connections.recv_timeout(2 * TICK).is_err(),
        "the allocation should still be in flight"
    );
    drop(stream);
    assert_eq!(
        program.worker_connections.recv_timeout(20 * TICK).unwrap(),
        "closed"
    );
}

#[test]
fn a_graceful_shutdown_answers_open_and_late_requests() {
    let mut program = start("", &[]);
    let mut idle = program.connect();
    idle.write_all(post("/charge/1", "").as_bytes()).unwrap();
    assert!(read_response(&mut idle).ends_with("yes"));
    let mut busy = program.connect();
    busy.write_all(post("/charge/slow", "").as_bytes()).unwrap();
    std::thread::sleep(TICK);
    program.terminate();
    std::thread::sleep(2 * TICK);
    let response = program.request("GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    assert!(
        response.starts_with("HTTP/1.1 503"),
        "the health check must fail: {response}"
    );
    assert!(
        program.request(&post("/charge/2", "")).ends_with("yes"),
        "a late request is still served"
    );
    assert!(read_response(&mut busy).ends_with("yes"));
    // In a rolling restart the next process may not be up yet, so idle connections are still served.
    std::thread::sleep(11 * TICK);
    idle.write_all(post("/charge/3", "").as_bytes()).unwrap();
    assert!(
        read_response(&mut idle).ends_with("yes"),
        "an idle connection stays open for a while"
    );
    let mut last = program.connect();
    last.write_all(post("/charge/slow", "").as_bytes()).unwrap();
    assert_eq!(
        read_response(&mut idle),
        "",
        "the idle connection is closed then"
    );
    let last = read_response(&mut last);
    assert!(
        last.ends_with("yes") && last.contains("connection: close"),
        "{last}"
    );
    let (clean, took) = program.wait_for_exit();
    assert!(clean && took < Duration::from_secs(1), "{took:?}");
}

/// A request that would outlast the shutdown is aborted while there is still time to answer it.
#[test]
fn no_request_is_left_unanswered_at_the_end() {
    let mut program = start(
        "",
        &[("3000.0, \"late_credit\"", "60000.0, \"late_credit\"")],
    );
    let mut busy = program.connect();
    busy.write_all(post("/charge/hold", "").as_bytes()).unwrap();
    std::thread::sleep(TICK);
    let began = Instant::now();
    program.terminate();
    assert!(read_response(&mut busy).starts_with("HTTP/1.1 502"));
    assert!(
        began.elapsed() < Duration::from_millis(3700),
        "SIGKILL comes after 3.7 s"
    );
    assert!(program.wait_for_exit().0);
}

#[test]
fn idle_clients_do_not_block_others() {
    let few_sockets = ("\"sockets\": 1024", "\"sockets\": 64");
    for (case, shell_prefix, changes) in [
        ("connection limit", "", &[few_sockets][..]),
        ("descriptor limit", "ulimit -n 40;", &[]),
    ] {
        let program = start(shell_prefix, changes);
        let mut active = program.connect();
        active.write_all(post("/charge/22", "").as_bytes()).unwrap();
        assert!(read_response(&mut active).ends_with("yes"), "{case}");
        let idle: Vec<TcpStream> = (0..80).map(|_| program.connect()).collect();
        std::thread::sleep(TICK);
        assert!(
            program.request(&post("/charge/1", "")).ends_with("yes"),
            "{case}"
        );
        active
            .write_all(post("/charge/333", "").as_bytes())
            .unwrap();
        assert!(
            read_response(&mut active).ends_with("yes"),
            "{case}: a client that has sent requests keeps its connection"
        );
        drop(idle);
        assert!(
            program.request(&post("/charge/4444", "")).ends_with("yes"),
            "{case}: after the idle clients have gone"
        );
    }
}

/// When connections run out, a client that stops in the middle of a request is closed before one that sends slowly but
/// steadily, even if the slow one connected earlier.
#[test]
fn a_slow_client_outlasts_stalled_ones() {
    let program = start("", &[("\"sockets\": 1024", "\"sockets\": 64")]);
    let request = post("/charge/1", "");
    let mut slow = program.connect();
    for piece in [0..10, 10..20] {
        slow.write_all(&request.as_bytes()[piece]).unwrap();
        std::thread::sleep(TICK);
    }
    let stalled = (0..80).map(|_| {
        let mut stream = program.connect();
        stream.write_all(&request.as_bytes()[..20]).ok();
        stream
    });
    let stalled: Vec<TcpStream> = stalled.collect();
    for piece in request.as_bytes()[20..].chunks(20) {
        std::thread::sleep(4 * TICK);
        slow.write_all(piece)
            .unwrap_or_else(|e| panic!("the slow client was cut off: {e}"));
    }
    assert!(read_response(&mut slow).ends_with("yes"));
    drop(stalled);
}

/// The promised turnaround counts from the last byte of a request, even if the request took longer than that to arrive.
#[test]
fn the_deadline_counts_from_the_last_byte() {
    let program = start("", &[]);
    let request = post("/lookup/slow", "");
    let mut stream = program.connect();
    let (most, last_byte) = request.as_bytes().split_at(request.len() - 1);
    stream.write_all(most).unwrap();
    std::thread::sleep(23 * TICK);
    stream.write_all(last_byte).unwrap();
    let response = read_response(&mut stream);
    assert!(response.ends_with("yes"), "{response}");
}

/// A longer time-out in the request does not extend the project type's hard limit.
#[test]
fn a_request_timeout_does_not_exceed_the_hard_limit() {
    let program = start("", &[("\"hard_limit\": 3000.0", "\"hard_limit\": 400.0")]);
    let began = Instant::now();
    assert!(
        program
            .request(&post("/charge/hold", "request-timeout: 60000m\r\n"))
            .starts_with("HTTP/1.1 502")
    );
    assert!(began.elapsed() < 20 * TICK, "the hard limit is 0.4 s");
}

/// Nobody reads the log in this test: the pipe is full after some hundred lines, and the log buffer after some
/// thousand.
#[test]
fn a_blocked_log_does_not_block_the_program() {
    let mut program = start("", &[]);
    for _ in 0..6000 {
        let response = program.request(&post("/nothing", ""));
        assert!(response.contains("404"), "{response}");
    }
    assert!(program.request(&post("/charge/1", "")).ends_with("yes"));
    program.terminate();
    assert!(program.wait_for_exit().0);
}

/// A list service that refuses the first watch, sends invalid JSON to the second, and the list to further ones.
fn failing_list_service(stream: &mut TcpStream) -> String {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    static WORKER: LazyLock<SocketAddr> = LazyLock::new(|| spawn_server(worker).0);
    let is_call = stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0);
    let message = listing(5, &[("s-2", *WORKER, "SERVING")]);
    let response = match CALLS.fetch_add(is_call.into(), Relaxed) {
        0 => "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n".to_string(),
        1 => format!("{STREAM_HEAD}{}", chunk("no list")),
        _ => format!("{STREAM_HEAD}{}{}", chunk(""), chunk(&message)),
    };
    stream.write_all(response.as_bytes()).ok();
    stream.read_exact(&mut [0; 1]).ok();
    "ended".into()
}

#[test]
fn the_list_is_watched_again_after_failures() {
    let (discovery, calls) = spawn_server(failing_list_service);
    let program = start(
        "",
        &[
            ("127.0.0.1:8500", &discovery.to_string()),
            FREQUENT_LIST_CALLS,
        ],
    );
    calls.recv_timeout(Duration::from_secs(2)).unwrap();
    calls.recv_timeout(Duration::from_secs(2)).unwrap();
    std::thread::sleep(4 * TICK);
    // The initially known worker is not in the list and must not be used any more.
    assert!(program.request(&post("/charge/1", "")).ends_with("yes"));
    assert!(
        program.worker_connections.try_recv().is_err(),
        "the unlisted worker must not be connected to"
    );
}

/// Reloads by SIGHUP: the list service's address changes, an invalid file is rejected, open requests survive, and a
/// reload just before the end does no harm.
#[test]
fn a_new_configuration_is_applied_while_serving() {
    // A list service with one worker, which returns its own name as the result.
    let list_of_one = |name| {
        let (worker, _) = spawn_server(move |stream| worker_returning(name, stream));
        static_list_service(listing(9, &[(name, worker, "SERVING")]))
    };
    let (one, two) = (list_of_one("s-8"), list_of_one("s-9"));
    let mut program = start("", &[("127.0.0.1:8500", &one), FREQUENT_LIST_CALLS]);
    std::thread::sleep(3 * TICK);
    let mut open = program.connect();
    open.write_all(post("/charge/slow", "").as_bytes()).unwrap();
    std::thread::sleep(TICK);
    for (case, from, to, worker) in [
        ("address changed", &*one, &*two, "s-9"),
        ("invalid file", "\"fall\": 3000.0, ", "", "s-9"),
        (
            "repaired file",
            "\"fall_multiple\"",
            "\"fall\": 3000.0, \"fall_multiple\"",
            "s-9",
        ),
        ("address changed back", &*two, &*one, "s-8"),
        ("address changed again", &*one, &*two, "s-9"),
    ] {
        program.reload(from, to);
        std::thread::sleep(2 * TICK);
        let response = program.request(&post("/charge/1", ""));
        assert!(response.ends_with(worker), "{case}: {response}");
    }
    assert!(
        read_response(&mut open).ends_with("s-8"),
        "the open request is answered"
    );
    program.reload(&two, &one);
    program.terminate();
    assert!(
        program.request(&post("/charge/1", "")).contains("200 OK"),
        "a late request is answered, too"
    );
    assert!(program.wait_for_exit().0, "the exit status is an error");
    let mut log = String::new();
    program.log.read_to_string(&mut log).unwrap();
    assert!(
        log.contains("new configuration rejected") && log.contains("rules.fall is missing"),
        "{log}"
    );
}

#[test]
fn an_invalid_field_is_named() {
    let cases = [
        (
            "\"seed\": \"8c1f30d27a5be964\"",
            "\"seed\": \"later\"",
            "seed",
        ),
        (
            "\"listen\": \"127.0.0.1:7070\"",
            "\"listen\": \"here\"",
            "listen",
        ),
        (
            "\"discovery\": \"127.0.0.1:8500\"",
            "\"discovery\": 7",
            "discovery",
        ),
        (
            "\"memory_mb\": 192",
            "\"memory_mb\": -1",
            "limits.memory_mb",
        ),
        ("\"memory_mb\": 192", "\"memory_mb\": 1", "limits.memory_mb"),
        ("\"sockets\": 1024", "\"sockets\": 4", "limits.sockets"),
        (
            "\"sockets\": 1024",
            "\"sockets\": 31",
            "limits.sockets: 31 is too little, 32 at least",
        ),
        ("\"balancers\": 1", "\"balancers\": \"many\"", "balancers"),
        ("\"fall\": 3000.0, ", "", "rules.fall"),
        (
            "\"non_idempotent\"",
            "\"perhaps\"",
            "project_types.2.effect",
        ),
        ("\"name\": \"charge\", ", "", "project_types.2.name"),
        ("\"settings\"", "\"sett\"", "settings"),
        ("\"name\": \"toy\"", "\"name\" \"toy\"", "line 2"),
        (
            "\"quantum\"",
            "\"prices\": {\"cross_zone\": -1}, \"quantum\"",
            "prices.cross_zone",
        ),
        (
            "\"quantum\"",
            "\"prices\": {\"peer\": \"dear\"}, \"quantum\"",
            "prices.peer",
        ),
        (
            "\"retry_after\"",
            "\"peers\": \"often\", \"retry_after\"",
            "permissions.peers",
        ),
    ];
    for (old, new, expected) in cases {
        for verb in ["serve", "check"] {
            let path = write_config(&[(old, new)]);
            let stderr = stderr_of_failure(&[verb, "--config", path.to_str().unwrap()], &[]);
            assert!(stderr.contains(expected), "{new}: {stderr}");
        }
    }
    // A valid configuration is printed; a reader that closes the pipe early causes no error.
    let command = format!(
        "{} check --config {}",
        env!("CARGO_BIN_EXE_mintlb"),
        write_config(&[]).display()
    );
    for reader in ["cat", "true"] {
        let pipeline = format!("({command}; echo code $? >&2) | {reader}");
        let output = Command::new("sh").args(["-c", &pipeline]).output().unwrap();
        assert_eq!(
            String::from_utf8(output.stderr).unwrap(),
            "code 0\n",
            "{reader}"
        );
    }
}

/// Without a price for crossing zones the default holds. Messages between schedulers have no price, even where they are
/// permitted, as this program sends none.
#[test]
fn missing_prices_have_defaults() {
    for (old, new, expected_crossing) in [
        ("", "", 0.021),
        (
            "\"quantum\"",
            "\"prices\": {\"cross_zone\": 0, \"peer\": 0.01}, \"quantum\"",
            0.0,
        ),
        (
            "\"quantum\"",
            "\"prices\": {\"cross_zone\": 0.1}, \"quantum\"",
            0.1,
        ),
        ("\"retry_after\"", "\"peers\": true, \"retry_after\"", 0.021),
    ] {
        let settings = Configuration::parse(&BASE_CONFIG.replacen(old, new, 1))
            .unwrap()
            .scheduler_settings();
        let costs = settings.reloadable().unwrap().costs;
        assert_eq!(
            (costs.cross_zone, costs.peer_message),
            (expected_crossing, None),
            "{new}"
        );
    }
}

/// The limits together never exceed the machine's memory and descriptors, whatever its size.
#[test]
fn limits_fit_the_machine() {
    let settings = Configuration::parse(BASE_CONFIG)
        .unwrap()
        .scheduler_settings();
    let sizes = [
        (192, 1024),
        (8, 32),
        (24, 1024),
        (2048, 40),
        (64, 65_536),
        (usize::MAX, usize::MAX),
    ];
    for (memory_mb, sockets) in sizes {
        // Without beanstalkd connections, with one, and with the most that are allowed.
        for connections in [0, 1, usize::MAX] {
            let host = MachineLimits { memory_mb, sockets };
            let result = ResourceLimits::new(&host, &settings, connections, false);
            let max_connections = result
                .as_ref()
                .err()
                .and_then(|why| why.split("here, ").nth(1)?.split(' ').next()?.parse().ok());
            let limits = max_connections
                .map_or(result, |n| ResourceLimits::new(&host, &settings, n, false))
                .unwrap();
            let http = &limits.http;
            let bytes = http.max_client_connections * 2 * http.max_head_bytes
                + http.max_worker_connections * http.max_head_bytes
                + (limits.attempts_in_flight - limits.beanstalkd_connections)
                    * http.max_worker_line_bytes
                + limits.body_bytes;
            let bytes = bytes + limits.beanstalkd_connections * BEANSTALKD_BUFFER_BYTES;
            assert!(
                bytes >> 20 <= memory_mb / 8 * 7,
                "{memory_mb} MB: {limits:?}"
            );
            assert!(
                http.max_client_connections
                    + limits.beanstalkd_connections
                    + http.max_worker_connections
                    <= sockets / 8 * 7,
                "{sockets} descriptors: {limits:?}"
            );
            // The program's own 16 descriptors are listed in resource_limits.rs.
            assert!(
                http.max_client_connections
                    + limits.beanstalkd_connections
                    + http.max_worker_connections
                    + 16
                    <= sockets,
                "{sockets} descriptors: {limits:?}"
            );
            assert!(
                limits.open_requests < http.max_client_connections + limits.beanstalkd_connections
                    && limits.open_requests > 0
                    && limits.attempts_in_flight > 0
                    && http.max_client_connections > 0,
                "{limits:?}"
            );
            assert!(
                limits.attempts_in_flight - limits.beanstalkd_connections
                    < http.max_worker_connections,
                "{limits:?}"
            );
        }
    }
}
