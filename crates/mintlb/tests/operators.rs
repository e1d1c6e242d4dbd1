//! The program as operators run it day to day: their door, its figures, leaving and coming back, new settings, and a
//! new version under load; against stand-ins for clients, workers and the list service.

mod harness;

use harness::{PAUSE, Program, SOON, answer, complaint, list_by, list_of, listing, post, post_as};
use harness::{stand_in, start, start_at, work, work_as, work_by};
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const OPS: (&str, &str) = ("\"seed\"", "\"ops\": \"127.0.0.1:0\", \"seed\"");
const HEALTHZ: &str = "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";

fn call(program: &Program, line: &str) -> String {
    let mut stream = TcpStream::connect(program.ops.unwrap()).unwrap();
    stream.write_all(line.as_bytes()).unwrap();
    stream.write_all(b"\n").unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let mut got = String::new();
    stream.read_to_string(&mut got).unwrap();
    got
}

fn figures(program: &Program) -> HashMap<String, u64> {
    let page = call(program, "DUMP");
    let lines = page
        .strip_suffix("EOT\n")
        .unwrap_or_else(|| panic!("{page}"))
        .lines();
    let figure = |line: &str| {
        let (name, value) = line
            .strip_prefix("edge_router.")
            .unwrap()
            .split_once('=')
            .unwrap();
        (name.to_string(), value.parse().unwrap())
    };
    lines.map(figure).collect()
}

#[test]
fn clients_are_sent_away_and_come_again() {
    let program = start("", &[OPS]);
    for (line, says, health, healthz) in [
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
        let got = call(&program, line);
        assert!(got.starts_with(says), "{line}: {got}");
        assert!(call(&program, "HEALTH").starts_with(health), "after {line}");
        let got = program.ask(HEALTHZ);
        assert!(
            got.starts_with(&format!("HTTP/1.1 {healthz}")),
            "after {line}: {got}"
        );
    }
    assert!(program.ask(&post("/charge/1", "")).ends_with("yes"));
}

/// What clients of each kind see after LEAVE: none loses anything, and none stays.
#[test]
fn every_client_leaves_and_loses_nothing() {
    let program = start("", &[OPS]);
    let whole = post("/charge/1", "");
    let (first, rest) = whole.split_at(20);
    let keeps = |shown: &str, got: &str, keeps: bool| {
        assert!(
            got.contains("200 OK") && got.ends_with("yes"),
            "{shown}: {got}"
        );
        assert_eq!(got.contains("connection: close"), !keeps, "{shown}: {got}");
    };
    let connect = |work: Option<&str>| {
        let mut stream = program.connect();
        if let Some(path) = work {
            stream.write_all(post(path, "").as_bytes()).unwrap();
            keeps("before", &answer(&mut stream), true);
        }
        stream
    };
    let (mut idle, mut next, mut halfway, mut fresh) = (
        connect(Some("/charge/1")),
        connect(Some("/charge/2")),
        connect(Some("/charge/3")),
        connect(None),
    );
    let mut long = connect(None);
    long.write_all(post("/charge/slow", "").as_bytes()).unwrap();
    std::thread::sleep(PAUSE);
    let left = Instant::now();
    assert!(call(&program, "LEAVE").starts_with("SUCCESS"));
    next.write_all(post("/charge/4", "").as_bytes()).unwrap();
    keeps(
        "at once, as the front may not have noticed",
        &answer(&mut next),
        true,
    );
    keeps("long-running", &answer(&mut long), true);
    std::thread::sleep(Duration::from_millis(600).saturating_sub(left.elapsed()));
    halfway.write_all(first.as_bytes()).unwrap();
    std::thread::sleep(2 * PAUSE);
    halfway.write_all(rest.as_bytes()).unwrap();
    keeps(
        "half written as connections close",
        &answer(&mut halfway),
        false,
    );
    keeps(
        "who comes all the same",
        &program.ask(&post("/charge/5", "")),
        false,
    );
    for (shown, stream) in [
        ("idle", &mut idle),
        ("again idle", &mut next),
        ("without a word", &mut fresh),
    ] {
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        let closed = stream.read(&mut [0; 1]);
        assert!(matches!(closed, Ok(0)), "{shown}: {closed:?}");
        assert!(
            left.elapsed() < Duration::from_secs(2),
            "{shown}: {:?}",
            left.elapsed()
        );
    }
    assert!(call(&program, "JOIN").starts_with("SUCCESS"));
    let mut stream = program.connect();
    for path in ["/charge/6", "/charge/7"] {
        stream.write_all(post(path, "").as_bytes()).unwrap();
        keeps("joined again", &answer(&mut stream), true);
    }
}

/// The time of a word is its own, not that of what was read before it: after a quiet while nobody is cut off at once.
#[test]
fn a_word_after_a_quiet_while_counts_from_then() {
    for stops in [true, false] {
        let mut program = start("", &[OPS]);
        let mut idle = program.connect();
        idle.write_all(post("/charge/1", "").as_bytes()).unwrap();
        assert!(answer(&mut idle).ends_with("yes"));
        std::thread::sleep(25 * PAUSE);
        match stops {
            true => program.terminate(),
            false => assert!(call(&program, "LEAVE").starts_with("SUCCESS")),
        }
        std::thread::sleep(3 * PAUSE);
        idle.write_all(post("/charge/2", "").as_bytes()).unwrap();
        let got = answer(&mut idle);
        assert!(
            got.ends_with("yes") && !got.contains("connection: close"),
            "stops: {stops}: {got}"
        );
        program.terminate();
        assert!(program.end().0);
    }
}

#[test]
fn a_leave_and_a_stop_cross() {
    let mut program = start("", &[OPS]);
    assert!(call(&program, "LEAVE").starts_with("SUCCESS"));
    program.terminate();
    std::thread::sleep(PAUSE);
    assert!(call(&program, "JOIN").starts_with("FAILURE it is stopping"));
    assert!(call(&program, "HEALTH").starts_with("FAILURE stopping"));
    assert!(
        program.ask(&post("/charge/1", "")).ends_with("yes"),
        "late arrivals are served"
    );
    assert!(program.end().0);
}

/// Every kind of end, and each figure beside what clients and the worker saw.
#[test]
fn figures_are_what_the_stand_ins_saw() {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let (worker, _) = stand_in(|stream| {
        work_by(stream, |request, _| {
            TAKEN.fetch_add(1, Relaxed);
            let state = ["done", "failed", "returned", "lost"]
                .into_iter()
                .find(|s| request.contains(s));
            state.map(|state| (state, "yes".to_string()))
        })
    });
    let program = start_at(worker, "", &[OPS], None);
    let mut seen: HashMap<String, u64> = HashMap::new();
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
            let got = program.ask(&post(path, "request-timeout: 150m\r\n"));
            let figure = match got.split(' ').nth(1).unwrap() {
                "200" => "answered",
                "429" | "503" => "deferred",
                _ => "errored",
            };
            let name = path.split('/').nth(1).unwrap();
            *seen
                .entry(format!("transactions.{name}.{figure}"))
                .or_default() += 1;
        }
        // What is no work of ours counts nowhere.
        program.ask(&post("/nothing", ""));
        program.ask(&post("/create", ""));
        program.ask(HEALTHZ);
        let open: Vec<TcpStream> = (0..3)
            .map(|_| {
                let mut stream = program.connect();
                stream
                    .write_all(post("/charge/hold", "").as_bytes())
                    .unwrap();
                stream
            })
            .collect();
        std::thread::sleep(PAUSE);
        let now = figures(&program);
        assert!(
            now["current"] > 0 && now["current"] <= 3,
            "round {round}: {now:?}"
        );
        drop(open);
        std::thread::sleep(PAUSE);
        let now = figures(&program);
        assert_eq!(
            now["current"], 0,
            "round {round}: who has gone is not waited for"
        );
        assert_eq!(
            now["sends"],
            u64::from(TAKEN.load(Relaxed)),
            "round {round}"
        );
        assert_eq!(now["cluster_size"], 1, "round {round}");
        assert!(now["cluster_unhealthy"] <= 1, "round {round}");
        for (name, count) in &seen {
            assert_eq!(now[name], *count, "round {round}: {name} of {now:?}");
        }
        let answers: u64 = now
            .iter()
            .filter(|(n, _)| n.starts_with("transactions."))
            .map(|(_, v)| v)
            .sum();
        assert_eq!(
            answers,
            seen.values().sum::<u64>(),
            "round {round}: nothing else is counted"
        );
    }
    assert!(
        seen.keys().any(|k| k.ends_with("deferred")) && seen.keys().any(|k| k.ends_with("errored")),
        "{seen:?}"
    );
}

/// Neither idle clients nor half-written requests by the hundred, nor callers that say nothing, keep an operator waiting.
#[test]
fn the_door_is_open_when_all_places_are_taken() {
    let program = start("", &[OPS, ("\"sockets\": 1024", "\"sockets\": 128")]);
    let crowd = |at: SocketAddr, says: &'static str| {
        (0..200).map(move |_| {
            let mut stream = TcpStream::connect(at).unwrap();
            stream.write_all(says.as_bytes()).ok();
            stream
        })
    };
    let mut all: Vec<TcpStream> = crowd(program.at, "")
        .chain(crowd(program.at, "POST /charge HTTP/1.1\r\n"))
        .collect();
    for line in ["HEALTH", "DUMP", "LEAVE", "JOIN"] {
        let began = Instant::now();
        let got = call(&program, line);
        assert!(
            got.starts_with("SUCCESS") || got.ends_with("EOT\n"),
            "{line}: {got}"
        );
        assert!(
            began.elapsed() < Duration::from_secs(1),
            "{line}: {:?}",
            began.elapsed()
        );
        all.extend(crowd(program.ops.unwrap(), ["", "HEAL"][all.len() % 2]).take(12));
    }
    let files = std::fs::read_dir(format!("/proc/{}/fd", program.child.id()))
        .unwrap()
        .count();
    assert!(files <= 128, "{files} descriptors");
    assert!(program.ask(&post("/charge/1", "")).ends_with("yes"));
}

/// A worker that fails is counted among those avoided, and a list's size is what the list says.
#[test]
fn the_cluster_is_as_the_list_and_the_decisions_have_it() {
    let gone = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let (alive, _) = stand_in(work);
    let workers = [
        ("s-1", alive, "SERVING"),
        ("s-2", alive, "SERVING"),
        ("s-3", gone, "SERVING"),
    ];
    let list = list_of(listing(9, &workers));
    let program = start("", &[OPS, ("127.0.0.1:8500", &list), SOON]);
    std::thread::sleep(5 * PAUSE);
    let mut avoided = 0;
    for _ in 0..4 {
        // As many at once as all three have room for.
        let connections = (0..12).map(|_| {
            let mut stream = program.connect();
            stream
                .write_all(post("/lookup/slow", "").as_bytes())
                .unwrap();
            stream
        });
        let connections: Vec<TcpStream> = connections.collect();
        std::thread::sleep(PAUSE);
        avoided = avoided.max(figures(&program)["cluster_unhealthy"]);
        drop(connections);
    }
    let now = figures(&program);
    assert_eq!((now["cluster_size"], avoided), (3, 1), "{now:?}");
}

/// A list of 1,100 workers, before as many schedulers, is heard whole; and costs by what it is, not by what there could be.
#[test]
fn a_list_of_many_workers_is_heard_whole() {
    let (alive, _) = stand_in(work);
    let memory = |workers: u64| {
        let line = |i| {
            format!(
                r#"{{"id":"s-{i}","addr":"{alive}","zone":"north","kind":"small","cell":{},"state":"SERVING"}}"#,
                i << 16
            )
        };
        let lines: Vec<String> = (0..workers).map(line).collect();
        let list = list_of(format!(
            r#"{{"version":9,"full":true,"servers":[{}]}}"#,
            lines.join(",")
        ));
        let many = ("\"balancers\": 1", "\"balancers\": 1100");
        let mut program = start("", &[OPS, ("127.0.0.1:8500", &list), many, SOON]);
        program.logged(&format!("s-{}", workers - 1));
        assert_eq!(figures(&program)["cluster_size"], workers);
        assert!(program.ask(&post("/charge/1", "")).ends_with("yes"));
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", program.child.id())).unwrap();
        let peak = status
            .lines()
            .find_map(|l| l.strip_prefix("VmHWM:"))
            .unwrap();
        peak.trim().trim_end_matches(" kB").parse::<u64>().unwrap()
    };
    let (few, many) = (memory(11), memory(1100));
    assert!(
        many < few + 16 * 1024,
        "{few} kB with eleven, {many} kB with 1,100"
    );
}

/// A class added is served under its own rules, one dropped as one that doesn't exist; what is broken changes nothing.
#[test]
fn settings_change_while_it_serves() {
    let program = start("", &[OPS]);
    let whole = std::fs::read_to_string(&program.path).unwrap();
    let charge = r#"{"name": "charge", "credit": 10.0, "effect": "non_idempotent""#;
    let added = format!(
        r#"{{"name": "refund", "credit": 10.0, "effect": "idempotency_key", "group": "cell", "window": 9.0, "promised_turnaround": 400.0, "hard_limit": 3000.0, "late_credit": 0.0}}, {charge}"#
    );
    let lists = (
        "\"class_kind\": [-1, -1, -1], \"class_stretch\": [2.0, 1.75, 2.5]",
        "\"class_kind\": [-1, -1, -1, -1], \"class_stretch\": [2.0, 1.75, 2.5, 2.5]",
    );
    let with = whole.replace(charge, &added).replace(lists.0, lists.1);
    let key = "idempotency-key: 5\r\n";
    let mut held = program.connect();
    held.write_all(post("/charge/slow", "").as_bytes()).unwrap();
    std::thread::sleep(PAUSE);
    let (mut loaded, mut invalid) = (0, 0);
    let mut change = |shown: &str, text: &str, good: bool| {
        std::fs::write(program.path.with_extension("new"), text).unwrap();
        std::fs::rename(program.path.with_extension("new"), &program.path).unwrap();
        program.signal("-HUP");
        std::thread::sleep(PAUSE);
        *(if good { &mut loaded } else { &mut invalid }) += 1;
        let now = figures(&program);
        assert_eq!(
            (now["conf_loaded"], now["conf_invalid"]),
            (loaded, invalid),
            "{shown}"
        );
    };
    let status = |path: &str, more: &str| {
        program
            .ask(&post(path, more))
            .split(' ')
            .nth(1)
            .unwrap()
            .to_string()
    };
    assert_eq!(status("/refund", key), "404", "not there yet");
    change("added", &with, true);
    assert_eq!(
        (
            status("/refund", key).as_str(),
            status("/refund", "").as_str()
        ),
        ("200", "400"),
        "added, receipted"
    );
    assert_eq!(
        status("/charge", ""),
        "200",
        "though its place in the order has changed"
    );
    let cut = |part: usize| whole[..whole.len() * part / 16].to_string();
    let broken: Vec<(String, String)> = [
        ("empty", String::new()),
        ("no JSON", "hello".to_string()),
        ("a list", "[]".to_string()),
        ("more than one", format!("{with} {with}")),
        ("without settings", with.replace("\"settings\"", "\"sett\"")),
        ("without limits", with.replace("\"limits\"", "\"limit\"")),
        ("without the door", with.replace("\"ops\"", "\"opts\"")),
        ("without cores", with.replace("\"cores\": 1.0, ", "")),
        ("without a zone", with.replace("    \"zone\": 0,\n", "")),
        ("a name twice", with.replace("\"refund\"", "\"charge\"")),
        ("a name that is empty", with.replace("\"refund\"", "\"\"")),
    ]
    .map(|(shown, text)| (shown.to_string(), text))
    .into_iter()
    .chain((1..16).map(|part| (format!("cut at {part} of 16"), cut(part))))
    .chain(
        ["0", "-1", "-5.5", "1e999", "\"soon\"", "null", "[]"].map(|limit| {
            (
                format!("a hard limit of {limit}"),
                with.replacen(
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
            with.replace(
                "\"most_allocations\": 3",
                &format!("\"most_allocations\": {most}"),
            ),
        )
    }))
    .chain(
        ["-1", "-0.02", "1e999", "\"dear\"", "null"]
            .into_iter()
            .flat_map(|price| {
                ["cross_zone", "peer"].map(|of| {
                    let table = format!("\"prices\": {{\"{of}\": {price}}}, \"quantum\"");
                    (
                        format!("a price {of} of {price}"),
                        with.replace("\"quantum\"", &table),
                    )
                })
            }),
    )
    .chain(["1", "\"often\"", "null"].map(|peers| {
        let permitted = format!("\"peers\": {peers}, \"retry_after\"");
        (
            format!("messages {peers}"),
            with.replace("\"retry_after\"", &permitted),
        )
    }))
    .collect();
    for (shown, text) in &broken {
        assert_ne!(*text, with, "{shown}: nothing is broken");
        change(shown, text, false);
        assert_eq!(status("/refund", key), "200", "{shown}: the old one holds");
    }
    change("dropped", &whole, true);
    assert_eq!(
        (
            status("/refund", key).as_str(),
            status("/charge", "").as_str()
        ),
        ("404", "200"),
        "dropped"
    );
    assert!(
        answer(&mut held).ends_with("yes"),
        "what was held is answered"
    );
    // Good and bad in turn, faster than they can all be read: what holds in the end is the last good one.
    for n in 0..100 {
        std::fs::write(
            program.path.with_extension("new"),
            if n % 2 == 0 {
                with.clone()
            } else {
                cut(n % 16)
            },
        )
        .unwrap();
        std::fs::rename(program.path.with_extension("new"), &program.path).unwrap();
        program.signal("-HUP");
    }
    std::fs::write(&program.path, &with).unwrap();
    program.signal("-HUP");
    std::thread::sleep(2 * PAUSE);
    assert_eq!(status("/refund", key), "200", "after a hundred files");
}

/// A move to another deployment, whose list has versions of its own, and back. From the first moment work goes to the
/// workers of the new list only; what an old one has is answered by it; the prices are taken without a new start.
#[test]
fn the_first_seconds_after_a_move() {
    let [(old, _), (new, _)] = ["old", "new"].map(|name| stand_in(move |s| work_as(name, s)));
    let here = [("s-1", old, "SERVING"), ("s-2", old, "SERVING")];
    // Who watches this one is told that nothing has changed: only who asks for the whole list learns of its worker.
    let part = |text: String| text.replace("\"full\":true", "\"full\":false");
    let (before, after) = (
        list_of(listing(500, &here)),
        list_of(part(listing(7, &[("t-1", new, "SERVING")]))),
    );
    let program = start("", &[OPS, ("127.0.0.1:8500", &before), SOON]);
    std::thread::sleep(5 * PAUSE);
    assert!(program.ask(&post("/lookup/1", "")).ends_with("old"));
    let mut held = program.connect();
    held.write_all(post("/charge/slow", "").as_bytes()).unwrap();
    std::thread::sleep(PAUSE / 2);
    let (mut from, mut loaded) = (&before, 0);
    for (to, price, by, size) in [(&after, "0.1", "new", 1), (&before, "0.02", "old", 2)] {
        let text = std::fs::read_to_string(&program.path).unwrap();
        let prices = format!("\"prices\": {{\"cross_zone\": {price}}},\n    \"quantum\"");
        let text = text
            .replace("\"prices\": {\"cross_zone\": 0.1},\n    ", "")
            .replace("\"quantum\"", &prices);
        std::fs::write(&program.path, text).unwrap();
        program.replace(from, to);
        std::thread::sleep(PAUSE / 2);
        let answers: Vec<String> = (0..40)
            .map(|n| program.ask(&post(&format!("/lookup/{n}"), "")))
            .collect();
        let strayed = answers
            .iter()
            .filter(|a| !(a.starts_with("HTTP/1.1 200") && a.ends_with(by)))
            .count();
        assert_eq!(strayed, 0, "{by}: {answers:?}");
        loaded += 1;
        let now = figures(&program);
        assert_eq!(
            (now["cluster_size"], now["conf_loaded"]),
            (size, loaded),
            "{by}"
        );
        from = to;
    }
    assert!(
        answer(&mut held).ends_with("old"),
        "what an old worker has is answered"
    );
    let deferred: u64 = figures(&program)
        .iter()
        .filter(|(f, _)| f.ends_with(".deferred"))
        .map(|(_, n)| n)
        .sum();
    assert_eq!(deferred, 0);
}

#[test]
fn a_wrong_door_or_socket_is_named() {
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = taken.local_addr().unwrap().to_string();
    let no_socket = std::fs::File::open("/dev/null").unwrap();
    let (silent, file) = (TcpStream::connect(&at).unwrap(), no_socket.as_raw_fd());
    let connected = silent.as_raw_fd();
    for fd in [file, connected] {
        inherit(fd);
    }
    let (file, connected) = (file.to_string(), connected.to_string());
    let cases = [
        ("ROUTER_OPS", at.as_str(), "ops: 127.0.0.1"),
        ("ROUTER_OPS", "here", "ROUTER_OPS: \"here\""),
        (
            "ROUTER_PASSED_SOCKET",
            "five",
            "ROUTER_PASSED_SOCKET: \"five\" is no descriptor's number",
        ),
        ("ROUTER_PASSED_SOCKET", "-1", "ROUTER_PASSED_SOCKET: \"-1\""),
        ("ROUTER_PASSED_SOCKET", "1", "ROUTER_PASSED_SOCKET: \"1\""),
        (
            "ROUTER_PASSED_SOCKET",
            "999",
            "ROUTER_PASSED_SOCKET: \"999\" is no listening socket",
        ),
        ("ROUTER_PASSED_SOCKET", &file, "is no listening socket"),
        (
            "ROUTER_PASSED_SOCKET",
            &connected,
            "is a socket that does not listen",
        ),
    ];
    for (variable, value, named) in cases {
        let path = harness::written(&[("127.0.0.1:7070", "127.0.0.1:0")]);
        let said = complaint(
            &["serve", "--config", path.to_str().unwrap()],
            &[(variable, value)],
        );
        assert!(said.contains(named), "{value}: {said}");
    }
}

/// Has the descriptor passed on to programs that are started.
fn inherit(fd: i32) {
    nix::fcntl::fcntl(
        unsafe { std::os::fd::BorrowedFd::borrow_raw(fd) },
        nix::fcntl::F_SETFD(nix::fcntl::FdFlag::empty()),
    )
    .unwrap();
}

/// What a client without a pause, or with one, meets on its connections: `(when, what)` for each fault.
fn demand(
    at: SocketAddr,
    pause: Duration,
    ids: Arc<AtomicU32>,
    over: Arc<AtomicBool>,
) -> Vec<(Instant, String)> {
    let (mut connection, mut faults): (Option<TcpStream>, Vec<_>) = (None, Vec::new());
    while !over.load(Relaxed) {
        let id = ids.fetch_add(1, Relaxed);
        let mut stream = connection
            .take()
            .unwrap_or_else(|| TcpStream::connect(at).unwrap());
        let sent = stream.write_all(post_as(id, "/charge/1", "").as_bytes());
        let got = answer(&mut stream);
        if !(got.starts_with("HTTP/1.1 200") && got.ends_with("yes")) {
            faults.push((Instant::now(), format!("{id}: {got:?}, {sent:?}")));
        }
        std::thread::sleep(pause);
        // One that was closed while it was idle is dialled anew, as clients do.
        stream.set_nonblocking(true).unwrap();
        let open = matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
        stream.set_nonblocking(false).unwrap();
        connection =
            (open && got.ends_with("yes") && !got.contains("connection: close")).then_some(stream);
    }
    faults
}

/// What a worker was sent: the request's id, whom, and when.
type Ran = (String, &'static str, Instant);

/// The real program, again and again in its own place on one socket, under load, while a worker drains, the list goes
/// out of reach, and one new version dies: nothing is lost, doubled, reset, refused, left unread or sent after the drain.
#[test]
fn a_new_version_takes_over_under_load() {
    let ran: Arc<Mutex<Vec<Ran>>> = Arc::default();
    let worker = |name: &'static str| {
        let ran = ran.clone();
        let serve = move |stream: &mut TcpStream| {
            work_by(stream, |_, id| {
                ran.lock()
                    .unwrap()
                    .push((id.to_string(), name, Instant::now()));
                std::thread::sleep(PAUSE / 5);
                Some(("done", "yes".to_string()))
            })
        };
        stand_in(serve).0
    };
    let (one, two) = (worker("s-1"), worker("s-2"));
    let both = |version, state| listing(version, &[("s-1", one, "SERVING"), ("s-2", two, state)]);
    let slot = Arc::new(Mutex::new(both(9, "SERVING")));
    let list = list_by(slot.clone());
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = socket.local_addr().unwrap();
    inherit(socket.as_raw_fd());
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("takes-over-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let passed = format!(
        "export ROUTER_PASSED_SOCKET={} TMPDIR={};",
        socket.as_raw_fd(),
        folder.display()
    );
    // What each was told of the workers before its start is older than the drain.
    let known = (listing(1, &[("s-1", one, "SERVING")]), both(1, "SERVING"));
    let changes = [OPS, ("127.0.0.1:8500", &list), SOON, (&*known.0, &*known.1)];
    let start = || start_at(one, &passed, &changes, None);
    let mut serving = start();

    let (over, ids) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU32::new(50_000)),
    );
    // Some ask without a pause, some seldom enough to be idle when connections close.
    let clients = (0..8).map(|n: u32| {
        let (ids, over) = (ids.clone(), over.clone());
        std::thread::spawn(move || demand(at, PAUSE * n / 2, ids, over))
    });
    let clients: Vec<_> = clients.collect();
    std::thread::sleep(3 * PAUSE);
    let mut stopping: Option<Program> = None;
    for swap in 0..4 {
        // The second starts while the first is still ending, so that there are three for a while.
        let next = start();
        assert!(
            call(&next, "HEALTH").starts_with("SUCCESS"),
            "swap {swap}: it says so once it serves"
        );
        assert!(
            call(&serving, "HEALTH").starts_with("SUCCESS"),
            "swap {swap}: and so does the old one"
        );
        serving.terminate();
        if let Some(mut old) = stopping.replace(serving) {
            assert!(old.end().0, "swap {swap}");
        }
        serving = next;
        if swap == 1 {
            *slot.lock().unwrap() = both(10, "DRAINING");
            std::thread::sleep(4 * PAUSE);
            slot.lock().unwrap().clear();
        }
    }
    assert!(stopping.unwrap().end().0);
    // The new one dies: the old one goes on, and told to stop then, it has no successor.
    let mut next = start();
    let killed = Instant::now();
    next.child.kill().unwrap();
    next.child.wait().unwrap();
    std::thread::sleep(5 * PAUSE);
    over.store(true, Relaxed);
    let faults: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    let ran = std::mem::take(&mut *ran.lock().unwrap());
    let asked = ids.load(Relaxed) - 50_000;
    let mut times: HashMap<&str, u32> = HashMap::new();
    ran.iter()
        .for_each(|(id, _, _)| *times.entry(id).or_default() += 1);
    let doubled: Vec<_> = times.iter().filter(|(_, times)| **times != 1).collect();
    // Of the one that was killed each of the clients may have lost what it waited for, and no more than that.
    let (before, at_once): (Vec<_>, Vec<_>) = faults.iter().partition(|(when, _)| *when < killed);
    assert!(
        asked > 80 && before.is_empty() && doubled.is_empty(),
        "of {asked}: {before:?}; {doubled:?}"
    );
    assert!(
        at_once.iter().all(|(when, _)| *when - killed < 3 * PAUSE),
        "{at_once:?}"
    );
    let last = |name| {
        ran.iter()
            .filter(|(_, at, _)| *at == name)
            .map(|(_, _, when)| *when)
            .max()
            .unwrap()
    };
    let spared = last("s-1") - last("s-2");
    assert!(
        spared > 20 * PAUSE,
        "the draining worker was last sent work {spared:?} before the other"
    );
    serving.terminate();
    std::thread::sleep(PAUSE);
    let mut late = TcpStream::connect(at).unwrap();
    late.write_all(post("/charge/1", "").as_bytes()).unwrap();
    assert!(
        answer(&mut late).ends_with("yes"),
        "without a successor late arrivals are still served"
    );
    assert!(serving.end().0);
    std::fs::remove_dir_all(&folder).ok();
}
