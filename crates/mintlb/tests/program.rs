//! The program as it is started in service, against stand-ins for clients, workers and the list service.

mod harness;

use harness::{
    BASE, PAUSE, SOON, STREAM, answer, chunk, complaint, list_of, listing, post, post_as,
};
use harness::{stand_in, start, work, work_as, written};
use mintlb::grants::{Grants, SESSION};
use mintlb::placement::{Machine, Placement};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::time::{Duration, Instant};

#[test]
fn each_request_gets_its_answer() {
    let program = start("", &[]);
    let large = format!(
        "POST /charge HTTP/1.1\r\nhost: x\r\nrequest-id: 1\r\ncontent-length: 70000\r\n\r\n{}",
        "x".repeat(70_000)
    );
    let cases = [
        ("work is done", post("/charge/7", ""), "200 OK"),
        (
            "it is there",
            "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n".into(),
            "200 OK",
        ),
        ("of no type", post("/surprise", ""), "404"),
        (
            "by another method",
            "GET /charge HTTP/1.1\r\nhost: x\r\nrequest-id: 1\r\n\r\n".into(),
            "405",
        ),
        (
            "without an id",
            post("/charge", "").replace("request-id", "other"),
            "400",
        ),
        ("receipted, without its key", post("/create", ""), "400"),
        (
            "receipted",
            post("/create", "idempotency-key: 5\r\n"),
            "200 OK",
        ),
        (
            "a time that is none",
            post("/charge", "request-timeout: soon\r\n"),
            "400",
        ),
        ("a body too large", large, "413"),
        ("no HTTP", "hello\r\n\r\n".into(), "400"),
        (
            "an empty id",
            post_as(7, "/charge", "").replace(": 7\r\n", ": \r\n"),
            "400",
        ),
        ("two ids", post("/charge", "request-id: 8\r\n"), "400"),
        ("a path that is no text", post("/charge/\u{e9}", ""), "400"),
        (
            "a length that is none",
            post("/charge", "").replace("length: 2", "length: -2"),
            "400",
        ),
        (
            "a huge length",
            post("/charge", "").replace("length: 2", "length: 9999999999"),
            "413",
        ),
        ("more than was said", post("/charge", "") + "more", "400"),
        // Its body is another request to who goes by the other length.
        (
            "two lengths at odds",
            format!(
                "POST /charge HTTP/1.1\r\nhost: x\r\nrequest-id: 5\r\ncontent-length: 90\r\n\
                 transfer-encoding: chunked\r\n\r\n0\r\n\r\n{}",
                post("/charge/hidden", "")
            ),
            "400",
        ),
        (
            "a head without end",
            format!("POST /charge HTTP/1.1\r\nx: {}", "y".repeat(99_000)),
            "431",
        ),
        (
            "exclusive, never answered",
            post("/charge/hold", "request-timeout: 300m\r\n"),
            "502",
        ),
        (
            "rerunnable, never answered",
            post("/lookup/hold", "request-timeout: 300000u\r\n"),
            "50",
        ),
        ("and work is still done", post("/charge/8", ""), "200 OK"),
    ];
    for (shown, request, status) in cases {
        let began = Instant::now();
        let got = program.ask(&request);
        assert!(
            got.starts_with(&format!("HTTP/1.1 {status}")),
            "{shown}: {got}"
        );
        assert!(
            status != "200 OK" || got.ends_with("yes") || request.contains("healthz"),
            "{shown}: {got}"
        );
        assert!(began.elapsed() < 8 * PAUSE, "{shown}: too late");
        assert!(
            !status.starts_with('4') || got.contains("connection: close"),
            "{shown}: {got}"
        );
    }
}

/// An error that is followed by a reset, as bytes are left unread, may never reach its client.
#[test]
fn an_error_reaches_a_client_that_still_sends() {
    let program = start("", &[]);
    let mut stream = program.connect();
    let head = post("/charge", "").replace("length: 2", "length: 60000000");
    stream.write_all(head.as_bytes()).unwrap();
    let piece = vec![b'x'; 1 << 20];
    (0..60).for_each(|n| {
        stream
            .write_all(&piece)
            .unwrap_or_else(|e| panic!("after {n} MB: {e}"))
    });
    assert!(answer(&mut stream).starts_with("HTTP/1.1 413"));
}

/// Neither an id that is open nor one that was a moment ago reaches a worker twice; the first is untouched.
#[test]
fn an_id_that_is_open_is_refused_and_the_first_kept() {
    let program = start("", &[]);
    let mut first = program.connect();
    first
        .write_all(post_as(7, "/charge/slow", "").as_bytes())
        .unwrap();
    std::thread::sleep(PAUSE);
    let again = post_as(7, "/create", "idempotency-key: 5\r\n");
    assert!(program.ask(&again).starts_with("HTTP/1.1 409"));
    assert!(answer(&mut first).ends_with("yes"));
    assert!(
        program.ask(&again).starts_with("HTTP/1.1 409"),
        "its client may still be there"
    );
}

/// Who says nothing, or a little now and then, or the half of it, is closed or told in 3 s from connecting.
#[test]
fn who_sends_no_whole_request_is_closed_in_time() {
    let program = start("", &[]);
    let whole = post("/charge/1", "");
    let half = whole.len() / 2;
    let cases = [
        ("silent", 0, 0),
        ("trickling", 1, 1),
        ("half a head", half, 0),
        ("no body", whole.len() - 1, 0),
    ];
    let waiting = cases.map(|(shown, at_once, later)| {
        let (mut stream, whole) = (program.connect(), whole.clone());
        std::thread::spawn(move || {
            let began = Instant::now();
            stream.set_read_timeout(Some(PAUSE)).unwrap();
            stream.write_all(&whole.as_bytes()[..at_once]).unwrap();
            let mut sent = at_once;
            let closed = loop {
                match stream.read(&mut [0; 64]) {
                    Ok(n) => break if n > 0 { "told" } else { "closed" },
                    Err(e) if e.kind() != ErrorKind::WouldBlock => break "reset",
                    Err(_) if began.elapsed() > Duration::from_secs(4) => break "nothing",
                    Err(_) => stream
                        .write_all(&whole.as_bytes()[sent..sent + later])
                        .unwrap_or_default(),
                }
                sent += later;
            };
            (shown, closed, began.elapsed())
        })
    });
    for waiting in waiting {
        let (shown, closed, after) = waiting.join().unwrap();
        assert!(
            closed != "nothing" && after < Duration::from_secs(3),
            "{shown}: {closed} after {after:?}"
        );
        assert_eq!(closed == "told", shown == "no body", "{shown}: {closed}");
    }
}

#[test]
fn a_client_that_leaves_takes_its_attempt_along() {
    let program = start("", &[]);
    let mut stream = program.connect();
    stream
        .write_all(post("/charge/hold", "").as_bytes())
        .unwrap();
    assert!(
        program.workers.recv_timeout(2 * PAUSE).is_err(),
        "it is out"
    );
    drop(stream);
    assert_eq!(program.workers.recv_timeout(20 * PAUSE).unwrap(), "closed");
}

#[test]
fn told_to_stop_it_answers_what_it_has_and_what_still_comes() {
    let mut program = start("", &[]);
    let mut idle = program.connect();
    idle.write_all(post("/charge/1", "").as_bytes()).unwrap();
    assert!(answer(&mut idle).ends_with("yes"));
    let mut busy = program.connect();
    busy.write_all(post("/charge/slow", "").as_bytes()).unwrap();
    std::thread::sleep(PAUSE);
    program.terminate();
    std::thread::sleep(2 * PAUSE);
    let away = program.ask("GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    assert!(
        away.starts_with("HTTP/1.1 503"),
        "nobody new should come: {away}"
    );
    assert!(
        program.ask(&post("/charge/2", "")).ends_with("yes"),
        "but who does is served"
    );
    assert!(answer(&mut busy).ends_with("yes"));
    // Where all restart in turn, the next may not be up yet: who is connected is served on, nothing held or not.
    std::thread::sleep(11 * PAUSE);
    idle.write_all(post("/charge/3", "").as_bytes()).unwrap();
    assert!(
        answer(&mut idle).ends_with("yes"),
        "an idle connection stays open for a while"
    );
    let mut last = program.connect();
    last.write_all(post("/charge/slow", "").as_bytes()).unwrap();
    assert_eq!(answer(&mut idle), "", "and is closed then");
    let last = answer(&mut last);
    assert!(
        last.ends_with("yes") && last.contains("connection: close"),
        "{last}"
    );
    let (clean, took) = program.end();
    assert!(clean && took < Duration::from_secs(1), "{took:?}");
}

/// Work that outlasts the stop is aborted while there is still time to say so.
#[test]
fn the_end_leaves_nobody_without_an_answer() {
    let mut program = start(
        "",
        &[("3000.0, \"late_credit\"", "60000.0, \"late_credit\"")],
    );
    let mut busy = program.connect();
    busy.write_all(post("/charge/hold", "").as_bytes()).unwrap();
    std::thread::sleep(PAUSE);
    let began = Instant::now();
    program.terminate();
    assert!(answer(&mut busy).starts_with("HTTP/1.1 502"));
    assert!(
        began.elapsed() < Duration::from_millis(3700),
        "SIGKILL comes after 3.7 s"
    );
    assert!(program.end().0);
}

#[test]
fn idle_clients_never_keep_others_out() {
    let few = ("\"sockets\": 1024", "\"sockets\": 64");
    for (shown, limits, changes) in [
        ("by count", "", &[few][..]),
        ("without descriptors", "ulimit -n 40;", &[]),
    ] {
        let program = start(limits, changes);
        let mut usual = program.connect();
        usual.write_all(post("/charge/22", "").as_bytes()).unwrap();
        assert!(answer(&mut usual).ends_with("yes"), "{shown}");
        let idle: Vec<TcpStream> = (0..80).map(|_| program.connect()).collect();
        std::thread::sleep(PAUSE);
        assert!(
            program.ask(&post("/charge/1", "")).ends_with("yes"),
            "{shown}"
        );
        usual.write_all(post("/charge/333", "").as_bytes()).unwrap();
        assert!(
            answer(&mut usual).ends_with("yes"),
            "{shown}: who has brought work keeps its place"
        );
        drop(idle);
        assert!(
            program.ask(&post("/charge/4444", "")).ends_with("yes"),
            "{shown}: later"
        );
    }
}

/// Who says half and then nothing goes before one whose request comes slowly, though that one came first.
#[test]
fn a_slow_client_is_not_cut_off_for_a_rude_one() {
    let program = start("", &[("\"sockets\": 1024", "\"sockets\": 64")]);
    let whole = post("/charge/1", "");
    let mut slow = program.connect();
    for piece in [0..10, 10..20] {
        slow.write_all(&whole.as_bytes()[piece]).unwrap();
        std::thread::sleep(PAUSE);
    }
    let rude = (0..80).map(|_| {
        let mut stream = program.connect();
        stream.write_all(&whole.as_bytes()[..20]).ok();
        stream
    });
    let rude: Vec<TcpStream> = rude.collect();
    for piece in whole.as_bytes()[20..].chunks(20) {
        std::thread::sleep(4 * PAUSE);
        slow.write_all(piece)
            .unwrap_or_else(|e| panic!("it was cut off: {e}"));
    }
    assert!(answer(&mut slow).ends_with("yes"));
    drop(rude);
}

/// A request that comes in pieces, over longer than is promised, is as good as any other once it is whole.
#[test]
fn time_counts_from_the_last_byte() {
    let program = start("", &[]);
    let whole = post("/lookup/slow", "");
    let mut stream = program.connect();
    let (head, last) = whole.as_bytes().split_at(whole.len() - 1);
    stream.write_all(head).unwrap();
    std::thread::sleep(23 * PAUSE);
    stream.write_all(last).unwrap();
    let got = answer(&mut stream);
    assert!(got.ends_with("yes"), "{got}");
}

/// Whatever a client asks for, none waits past the hard limit.
#[test]
fn no_client_stretches_a_wait() {
    let program = start("", &[("\"hard_limit\": 3000.0", "\"hard_limit\": 400.0")]);
    let began = Instant::now();
    assert!(
        program
            .ask(&post("/charge/hold", "request-timeout: 60000m\r\n"))
            .starts_with("HTTP/1.1 502")
    );
    assert!(began.elapsed() < 20 * PAUSE, "the hard limit is 0.4 s");
}

/// Nobody reads the log here: its pipe is full after some hundred lines, and
/// the buffer before it after some thousand.
#[test]
fn a_log_that_takes_nothing_stops_nothing() {
    let mut program = start("", &[]);
    for _ in 0..6000 {
        let got = program.ask(&post("/nothing", ""));
        assert!(got.contains("404"), "{got}");
    }
    assert!(program.ask(&post("/charge/1", "")).ends_with("yes"));
    program.terminate();
    assert!(program.end().0);
}

/// Watches are answered in turn: a refusal, a line that is no JSON, and then the list.
fn list(stream: &mut TcpStream) -> String {
    static ASKED: AtomicU32 = AtomicU32::new(0);
    static WORKER: LazyLock<SocketAddr> = LazyLock::new(|| stand_in(work).0);
    let called = stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0);
    let line = listing(5, &[("s-2", *WORKER, "SERVING")]);
    let answer = match ASKED.fetch_add(called.into(), Relaxed) {
        0 => "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n".to_string(),
        1 => format!("{STREAM}{}", chunk("no list")),
        _ => format!("{STREAM}{}{}", chunk(""), chunk(&line)),
    };
    stream.write_all(answer.as_bytes()).ok();
    stream.read_exact(&mut [0; 1]).ok();
    "ended".into()
}

#[test]
fn the_list_is_followed_through_its_failures() {
    let (discovery, told) = stand_in(list);
    let program = start("", &[("127.0.0.1:8500", &discovery.to_string()), SOON]);
    told.recv_timeout(Duration::from_secs(2)).unwrap();
    told.recv_timeout(Duration::from_secs(2)).unwrap();
    std::thread::sleep(4 * PAUSE);
    // The worker known at first is not in the list, so it is gone; the one listed does the work.
    assert!(program.ask(&post("/charge/1", "")).ends_with("yes"));
    assert!(
        program.workers.try_recv().is_err(),
        "the worker that is gone was not connected to"
    );
}

/// SIGHUP, more than once and just before the end: the list moves, a bad file is passed over, work lives on.
#[test]
fn a_new_configuration_is_taken_while_it_serves() {
    // A list of one worker each, whose results are its name.
    let list = |name| {
        let (worker, _) = stand_in(move |stream| work_as(name, stream));
        list_of(listing(9, &[(name, worker, "SERVING")]))
    };
    let (one, two) = (list("s-8"), list("s-9"));
    let mut program = start("", &[("127.0.0.1:8500", &one), SOON]);
    std::thread::sleep(3 * PAUSE);
    let mut held = program.connect();
    held.write_all(post("/charge/slow", "").as_bytes()).unwrap();
    std::thread::sleep(PAUSE);
    for (shown, from, to, worker) in [
        ("moved", &*one, &*two, "s-9"),
        ("a bad file", "\"fall\": 3000.0, ", "", "s-9"),
        (
            "mended",
            "\"fall_multiple\"",
            "\"fall\": 3000.0, \"fall_multiple\"",
            "s-9",
        ),
        ("moved back", &*two, &*one, "s-8"),
        ("and again", &*one, &*two, "s-9"),
    ] {
        program.replace(from, to);
        std::thread::sleep(2 * PAUSE);
        let got = program.ask(&post("/charge/1", ""));
        assert!(got.ends_with(worker), "{shown}: {got}");
    }
    assert!(
        answer(&mut held).ends_with("s-8"),
        "what was held is answered"
    );
    program.replace(&two, &one);
    program.terminate();
    assert!(
        program.ask(&post("/charge/1", "")).contains("200 OK"),
        "late arrivals, too"
    );
    assert!(program.end().0, "a clean end");
    let mut log = String::new();
    program.log.read_to_string(&mut log).unwrap();
    assert!(
        log.contains("not taken") && log.contains("rules.fall is missing"),
        "{log}"
    );
}

#[test]
fn a_bad_configuration_is_named() {
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
    for (old, new, named) in cases {
        for verb in ["serve", "check"] {
            let path = written(&[(old, new)]);
            let said = complaint(&[verb, "--config", path.to_str().unwrap()], &[]);
            assert!(said.contains(named), "{new}: {said}");
        }
    }
    // A good one is read out, also to a reader that has seen enough.
    let command = format!(
        "{} check --config {}",
        env!("CARGO_BIN_EXE_mintlb"),
        written(&[]).display()
    );
    for reader in ["cat", "true"] {
        let piped = format!("({command}; echo code $? >&2) | {reader}");
        let run = Command::new("sh").args(["-c", &piped]).output().unwrap();
        assert_eq!(
            String::from_utf8(run.stderr).unwrap(),
            "code 0\n",
            "{reader}"
        );
    }
}

/// Left out, crossing costs what it always did; and whatever is permitted, nobody tells anything on sockets.
#[test]
fn prices_left_out_are_as_before() {
    for (old, new, crossing) in [
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
        let text = Placement::parse(&BASE.replacen(old, new, 1))
            .unwrap()
            .text();
        let costs = text.reloadable().unwrap().costs;
        assert_eq!(
            (costs.cross_zone, costs.peer_message),
            (crossing, None),
            "{new}"
        );
    }
}

/// All that may be held at once fits the machine, whatever its size.
#[test]
fn limits_fit_the_machine() {
    let text = Placement::parse(BASE).unwrap().text();
    let sizes = [
        (192, 1024),
        (8, 32),
        (24, 1024),
        (2048, 40),
        (64, 65_536),
        (usize::MAX, usize::MAX),
    ];
    for (memory_mb, sockets) in sizes {
        // Without beanstalkd, with some of its connections, and with the most that are let in.
        for sessions in [0, 1, usize::MAX] {
            let machine = Machine { memory_mb, sockets };
            let asked = Grants::new(&machine, &text, sessions, false);
            let most = asked
                .as_ref()
                .err()
                .and_then(|why| why.split("here, ").nth(1)?.split(' ').next()?.parse().ok());
            let g = most
                .map_or(asked, |most| Grants::new(&machine, &text, most, false))
                .unwrap();
            let h = &g.http;
            let bytes = h.max_client_connections * 2 * h.max_head_bytes
                + h.max_worker_connections * h.max_head_bytes
                + (g.out - g.sessions) * h.max_worker_line_bytes
                + g.bodies;
            let bytes = bytes + g.sessions * SESSION;
            assert!(bytes >> 20 <= memory_mb / 8 * 7, "{memory_mb} MB: {g:?}");
            assert!(
                h.max_client_connections + g.sessions + h.max_worker_connections <= sockets / 8 * 7,
                "{sockets} descriptors: {g:?}"
            );
            // The program's own, listed in grants.rs.
            assert!(
                h.max_client_connections + g.sessions + h.max_worker_connections + 16 <= sockets,
                "{sockets} descriptors: {g:?}"
            );
            assert!(
                g.open < h.max_client_connections + g.sessions
                    && g.open > 0
                    && g.out > 0
                    && h.max_client_connections > 0,
                "{g:?}"
            );
            assert!(g.out - g.sessions < h.max_worker_connections, "{g:?}");
        }
    }
}
