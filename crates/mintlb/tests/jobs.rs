//! beanstalkd's producers and workers on loopback, against the program as it is started in service. A stand-in
//! worker's machine is the loopback address that it calls from.

mod harness;
mod world;

use harness::{PAUSE, Program, SOON, answer, list_by, listing, post, start_with};
use mintlb_scheduler::util::Rng;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use world::table;

const WAIT: Duration = Duration::from_secs(5);

/// A connection that calls from a machine, as the standard library can't: by a socket that is bound first.
fn call(at: SocketAddr, machine: u8) -> TcpStream {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let stream = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket
            .bind((Ipv4Addr::new(127, 0, 0, machine), 0).into())
            .unwrap();
        socket.connect(at).await.unwrap()
    });
    let stream = stream.into_std().unwrap();
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(WAIT)).unwrap();
    stream
}

struct Peer {
    reader: BufReader<TcpStream>,
}

impl Peer {
    fn new(program: &Program, machine: u8) -> Peer {
        Peer {
            reader: BufReader::new(call(program.jobs.unwrap(), machine)),
        }
    }

    /// That watches these tubes.
    fn worker(program: &Program, machine: u8, tubes: &[&str]) -> Peer {
        let mut peer = Peer::new(program, machine);
        for (n, tube) in tubes.iter().enumerate() {
            assert_eq!(
                peer.ask(&format!("watch {tube}")),
                format!("WATCHING {}", n + 2)
            );
        }
        peer
    }

    fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// The next reply, with the body behind it if it has one; nothing if the connection has ended.
    fn next(&mut self) -> String {
        let mut line = String::new();
        self.reader
            .read_line(&mut line)
            .unwrap_or_else(|e| panic!("no reply: {e}"));
        let line = line.trim_end().to_string();
        let words: Vec<&str> = line.split(' ').collect();
        let bodied = ["RESERVED", "FOUND", "OK"].contains(&words[0]);
        if let Some(length) = words
            .last()
            .and_then(|w| w.parse::<usize>().ok())
            .filter(|_| bodied)
        {
            let mut body = vec![0; length + 2];
            self.reader.read_exact(&mut body).unwrap();
            return format!("{line} {}", String::from_utf8_lossy(&body[..length]));
        }
        line
    }

    fn ask(&mut self, command: &str) -> String {
        self.send(&format!("{command}\r\n"));
        self.next()
    }

    fn put(&mut self, tube: &str, ttr: u32, body: &str) -> u64 {
        assert_eq!(self.ask(&format!("use {tube}")), format!("USING {tube}"));
        loop {
            let said = self.ask(&format!("put 0 0 {ttr} {}\r\n{body}", body.len()));
            if let Some(id) = said.strip_prefix("INSERTED ") {
                return id.parse().unwrap();
            }
            // More than may be held at once: it comes back, as a producer would.
            assert_eq!(said, "OUT_OF_MEMORY");
            std::thread::sleep(PAUSE / 20);
        }
    }

    /// The state of a job once it has ended.
    fn end(&mut self, id: u64) -> String {
        let began = Instant::now();
        loop {
            let said = self.ask(&format!("stats-job {id}"));
            if let Some(end) = said.split("end: ").nth(1) {
                return end.lines().next().unwrap().to_string();
            }
            assert!(began.elapsed() < WAIT, "no end: {said}");
            std::thread::sleep(PAUSE / 10);
        }
    }
}

fn started() -> Program {
    start_with("", &[], Some(&table("cold = false")))
}

/// Exclusive work whose worker is silent, closes, or deletes late.
#[test]
fn a_worker_that_fails_with_a_charge_is_read_safely() {
    let program = started();
    let mut producer = Peer::new(&program, 1);
    let mut reserve = |machine| {
        let mut worker = Peer::worker(&program, machine, &["charge"]);
        worker.send("reserve\r\n");
        let id = producer.put("charge", 1, "fee");
        assert_eq!(worker.next(), format!("RESERVED {id} 3 fee"));
        (worker, id, Instant::now())
    };
    let cases = [reserve(2), reserve(3), reserve(4)];
    let [
        (mut late, first, began),
        (silent, second, _),
        (closes, third, _),
    ] = cases;
    drop(closes);
    assert_eq!(producer.end(third), "aborted", "it may have run");
    assert!(began.elapsed() < WAIT / 2, "known at once");
    std::thread::sleep(Duration::from_millis(1500).saturating_sub(began.elapsed()));
    assert_eq!(
        late.ask(&format!("delete {first}")),
        "DELETED",
        "past its time-to-run, still its own"
    );
    assert_eq!(producer.end(first), "completed");
    assert_eq!(producer.end(second), "aborted", "at its hard limit");
    assert!(
        began.elapsed() < Duration::from_millis(3500),
        "which is 3 s"
    );
    let mut silent = silent;
    assert_eq!(
        silent.ask(&format!("delete {second}")),
        "NOT_FOUND",
        "too late"
    );
    assert_eq!(producer.end(second), "aborted", "and changes nothing");
}

#[test]
fn a_silent_workers_rerunnable_job_goes_on_after_its_time_to_run() {
    // Its patience must outlast the silence, or it is given up first.
    let changes = [(
        "\"promised_turnaround\": 400.0, \"hard_limit\": 3000.0, \"late_credit\": 0.0},\n      {\"name\": \"create\"",
        "\"promised_turnaround\": 2500.0, \"hard_limit\": 3000.0, \"late_credit\": 0.0},\n      {\"name\": \"create\"",
    )];
    let program = start_with("", &changes, Some(&table("cold = false")));
    let mut producer = Peer::new(&program, 1);
    let mut silent = Peer::worker(&program, 2, &["lookup"]);
    silent.send("reserve\r\n");
    let id = producer.put("lookup", 1, "x");
    assert!(silent.next().starts_with("RESERVED"));
    let (mut next, began) = (Peer::worker(&program, 3, &["lookup"]), Instant::now());
    assert_eq!(next.ask("reserve"), format!("RESERVED {id} 1 x"));
    let after = began.elapsed();
    assert!(
        after > Duration::from_millis(900) && after < Duration::from_millis(1300),
        "{after:?}"
    );
    // Two answer for the same job: it is the second's now.
    assert_eq!(silent.ask(&format!("delete {id}")), "NOT_FOUND");
    assert_eq!(next.ask(&format!("delete {id}")), "DELETED");
    assert_eq!(producer.end(id), "completed");
}

/// In the line, in the body and before the last end of line it is not taken; after it, it is.
#[test]
fn a_put_is_taken_once_it_has_come_whole() {
    let program = started();
    let whole = "use charge\r\nput 0 0 9 5\r\nhello\r\n";
    let mut worker = Peer::worker(&program, 2, &["charge"]);
    let mut other = Peer::new(&program, 1);
    for cut in [14, 24, 28, whole.len() - 2, whole.len() - 1] {
        let mut producer = Peer::new(&program, 1);
        producer.send(&whole[..cut]);
        assert_eq!(producer.next(), "USING charge");
        drop(producer);
        assert_eq!(
            worker.ask("reserve-with-timeout 0"),
            "TIMED_OUT",
            "cut at {cut}"
        );
    }
    let mut producer = Peer::new(&program, 1);
    producer.send(whole);
    drop(producer);
    let said = worker.ask("reserve-with-timeout 5");
    let id: u64 = said
        .strip_prefix("RESERVED ")
        .unwrap()
        .split(' ')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    assert_eq!(worker.ask(&format!("delete {id}")), "DELETED");
    assert_eq!(
        other.end(id),
        "completed",
        "its end can be read by whoever knows its number"
    );
}

/// All in one packet, byte by byte, and by the hundred.
#[test]
fn commands_come_in_any_pieces() {
    let program = started();
    let script = "use lookup\r\nput 0 0 9 2\r\nhi\r\nwatch lookup\r\nreserve\r\nlist-tube-used\r\n";
    for pieces in [script.len(), 1, 7] {
        let mut peer = Peer::new(&program, 2);
        for piece in script.as_bytes().chunks(pieces) {
            peer.reader.get_mut().write_all(piece).unwrap();
            peer.reader.get_mut().flush().unwrap();
        }
        let said: Vec<String> = (0..5).map(|_| peer.next()).collect();
        let id = said[1].strip_prefix("INSERTED ").unwrap().to_string();
        assert_eq!(
            said[3..],
            [format!("RESERVED {id} 2 hi"), "USING lookup".into()]
        );
        assert_eq!(peer.ask(&format!("delete {id}")), "DELETED");
    }
    let mut peer = Peer::new(&program, 2);
    peer.send(&"use charge\r\nput 0 9 9 2\r\nhi\r\n".repeat(300));
    let inserted = (0..600)
        .filter(|_| peer.next().starts_with("INSERTED"))
        .count();
    assert_eq!(inserted, 300);
    peer.send("quit\r\n");
    assert_eq!(peer.next(), "", "closed");
}

/// Who never reads is not read from either, and holds up nobody.
#[test]
fn a_producer_that_never_reads_holds_up_nobody() {
    let program = started();
    let mut deaf = Peer::new(&program, 1);
    deaf.reader
        .get_mut()
        .set_write_timeout(Some(PAUSE))
        .unwrap();
    let stats = "stats\r\n".repeat(1000);
    let mut written = 0;
    while deaf.reader.get_mut().write_all(stats.as_bytes()).is_ok() {
        written += stats.len();
        assert!(written < 64 << 20, "its commands are taken without end");
    }
    let mut producer = Peer::new(&program, 1);
    let mut worker = Peer::worker(&program, 2, &["charge"]);
    worker.send("reserve\r\n");
    let id = producer.put("charge", 9, "x");
    assert!(worker.next().starts_with("RESERVED"));
    assert_eq!(worker.ask(&format!("delete {id}")), "DELETED");
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.child.id())).unwrap();
    let kb = status
        .split("VmRSS:")
        .nth(1)
        .unwrap()
        .split_whitespace()
        .next()
        .unwrap();
    assert!(kb.parse::<u64>().unwrap() < 64 << 10, "{kb} KB");
}

/// Work of HTTP's clients for beanstalkd's workers, and the reverse, as the operator's file has it.
#[test]
fn work_crosses_between_the_protocols() {
    let crossed = table("cold = false").replace(
        "project_type = \"lookup\"",
        "project_type = \"lookup\"\nworkers = \"http\"",
    );
    let program = start_with("", &[], Some(&crossed));
    let mut worker = Peer::worker(&program, 2, &["charge"]);
    worker.send("reserve\r\n");
    let mut client = program.connect();
    client.write_all(post("/charge/7", "").as_bytes()).unwrap();
    let said = worker.next();
    let id: u64 = said
        .strip_prefix("RESERVED ")
        .unwrap()
        .split(' ')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    assert!(said.ends_with(" 2 hi"), "{said}");
    assert_eq!(worker.ask(&format!("delete {id}")), "DELETED");
    assert!(answer(&mut client).starts_with("HTTP/1.1 200"));
    // Its client leaves, so it is called off.
    worker.send("reserve\r\n");
    let mut client = program.connect();
    client.write_all(post("/charge/8", "").as_bytes()).unwrap();
    let said = worker.next();
    let id: u64 = said
        .strip_prefix("RESERVED ")
        .unwrap()
        .split(' ')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    drop(client);
    std::thread::sleep(PAUSE);
    assert_eq!(worker.ask(&format!("delete {id}")), "NOT_FOUND");

    let mut producer = Peer::new(&program, 1);
    let mut ends = Peer::worker(&program, 1, &["ends"]);
    // As the stand-in worker wants it: its requests end like this.
    let id = producer.put("lookup", 9, "hi");
    assert_eq!(producer.end(id), "completed");
    assert!(
        ends.ask("reserve")
            .ends_with(&format!("{id} completed\nyes")),
        "with the worker's result"
    );
}

/// The list's word on a machine holds for its connections: none of what is put after the drain was heard goes there.
#[test]
fn a_drain_on_the_list_reaches_the_machines_connections() {
    let machine = "127.0.0.2:1".parse().unwrap();
    let (slot, mut version) = (
        Arc::new(Mutex::new(listing(1, &[("m-2", machine, "SERVING")]))),
        1,
    );
    let mut say = |state| {
        version += 1;
        *slot.lock().unwrap() = listing(version, &[("m-2", machine, state)]);
    };
    let changes = [("127.0.0.1:8500", &*list_by(slot.clone())), SOON];
    let program = start_with("", &changes, Some(&table("listed = true")));
    std::thread::sleep(2 * PAUSE);
    let mut producer = Peer::new(&program, 1);
    let mut workers: Vec<Peer> = (0..20)
        .map(|_| Peer::worker(&program, 2, &["charge"]))
        .collect();
    workers
        .iter_mut()
        .for_each(|worker| worker.send("reserve\r\n"));
    let first = producer.put("charge", 9, "x");
    std::thread::sleep(PAUSE);
    say("DRAINING");
    std::thread::sleep(PAUSE);
    let ids: Vec<u64> = (0..20).map(|_| producer.put("charge", 9, "y")).collect();
    assert!(
        ids.iter().all(|id| producer.end(*id) == "deferred"),
        "they never ran"
    );
    say("SERVING");
    std::thread::sleep(PAUSE);
    let last = producer.put("charge", 9, "z");
    let mut seen = Vec::new();
    for worker in &mut workers {
        worker
            .reader
            .get_mut()
            .set_read_timeout(Some(PAUSE / 10))
            .unwrap();
        let mut line = String::new();
        if worker.reader.read_line(&mut line).is_ok() {
            seen.push(line.split(' ').nth(1).unwrap().parse::<u64>().unwrap());
        }
    }
    seen.sort_unstable();
    assert_eq!(seen, [first, last], "before the drain, and after it");
}

/// All that was taken is ended, and those who wait for ends are told.
#[test]
fn told_to_stop_it_ends_every_job() {
    let mut program = started();
    let mut producer = Peer::new(&program, 1);
    let mut ends = Peer::worker(&program, 1, &["ends"]);
    let mut worker = Peer::worker(&program, 2, &["charge"]);
    worker.send("reserve\r\n");
    let out = producer.put("charge", 9, "x");
    assert!(worker.next().starts_with("RESERVED"));
    let mut slow = Peer::worker(&program, 2, &["lookup"]);
    slow.send("reserve\r\n");
    let done = producer.put("lookup", 9, "x");
    assert!(slow.next().starts_with("RESERVED"));
    assert!(producer.ask("put 0 60 9 1\r\nx").starts_with("INSERTED"));
    let began = Instant::now();
    program.terminate();
    std::thread::sleep(PAUSE);
    assert_eq!(producer.ask("put 0 0 9 1\r\nx"), "DRAINING");
    assert_eq!(slow.ask(&format!("delete {done}")), "DELETED");
    let mut told = Vec::new();
    for _ in 0..3 {
        let said = ends.ask("reserve");
        let body = said.split(' ').skip(3).collect::<Vec<_>>().join(" ");
        told.push(body);
    }
    assert_eq!(
        told[0],
        format!("{} deferred 0.000", done + 1),
        "it was still to come"
    );
    assert_eq!(told[1], format!("{done} completed"));
    assert_eq!(
        told[2],
        format!("{out} aborted"),
        "at its hard limit, or the last call"
    );
    assert!(
        began.elapsed() < Duration::from_millis(3700),
        "SIGKILL comes after 3.7 s"
    );
    assert!(program.end().0);
}

/// Thousands of jobs over workers on loopback that fail in all ways, counted from what they saw.
#[test]
fn no_job_is_lost_or_doubled_on_loopback() {
    const JOBS: usize = 3000;
    let program = started();
    let (tell, told) = channel();
    for n in 0..24_u64 {
        let (tell, at, machine) = (tell.clone(), program.jobs.unwrap(), 2 + (n % 6) as u8);
        std::thread::spawn(move || {
            let mut chance = Rng::new(n + 1);
            let mut pick = move |most: usize| (chance.uniform() * most as f64) as usize;
            let fresh = || {
                let mut peer = Peer {
                    reader: BufReader::new(call(at, machine)),
                };
                peer.send("watch lookup\r\nwatch create\r\nwatch charge\r\n");
                (0..3).for_each(|_| drop(peer.next()));
                peer
            };
            let mut peer = fresh();
            loop {
                peer.send("reserve-with-timeout 2\r\n");
                let mut line = String::new();
                if peer.reader.read_line(&mut line).is_err() || line.is_empty() {
                    return;
                }
                let Some(id) = line
                    .strip_prefix("RESERVED ")
                    .and_then(|l| l.split(' ').next())
                else {
                    continue;
                };
                let (id, mut body) = (id.to_string(), String::new());
                peer.reader.read_line(&mut body).unwrap();
                tell.send((id.parse::<u64>().unwrap(), machine)).ok();
                match pick(180) {
                    0 | 1 => peer = fresh(),
                    2 => drop(peer.ask(&format!("release {id} 0 0"))),
                    3 => drop(peer.ask(&format!("bury {id} 0"))),
                    // Silent for longer than its time-to-run, and late then.
                    4 => {
                        std::thread::sleep(Duration::from_millis(1200));
                        peer.ask(&format!("delete {id}"));
                    }
                    _ => {
                        peer.ask(&format!("delete {id}"));
                    }
                }
            }
        });
    }
    let mut producer = Peer::new(&program, 1);
    let tubes = ["lookup", "create", "charge"];
    let mut taken = BTreeMap::new();
    for n in 0..JOBS {
        taken.insert(producer.put(tubes[n % 3], 1, "job"), n % 3);
    }
    let mut ends: BTreeMap<u64, usize> = BTreeMap::new();
    let mut words: BTreeMap<String, usize> = BTreeMap::new();
    let mut reader = Peer::worker(&program, 1, &["ends"]);
    while ends.len() < JOBS {
        let said = reader.ask("reserve-with-timeout 5");
        let body = said.split(' ').skip(3).collect::<Vec<_>>();
        assert!(
            body.len() >= 2,
            "{} of {JOBS} have ended: {said}",
            ends.len()
        );
        *ends.entry(body[0].parse().unwrap()).or_default() += 1;
        *words.entry(body[1].to_string()).or_default() += 1;
        reader.ask(&format!("delete {}", said.split(' ').nth(1).unwrap()));
    }
    assert_eq!(
        reader.ask("reserve-with-timeout 0"),
        "TIMED_OUT",
        "no end is told twice"
    );
    let mut given: BTreeMap<u64, Vec<u8>> = BTreeMap::new();
    told.try_iter()
        .for_each(|(id, machine)| given.entry(id).or_default().push(machine));
    for (id, kind) in &taken {
        assert_eq!(ends.get(id), Some(&1), "job {id}");
        let machines = given.get(id).cloned().unwrap_or_default();
        let doubled = match kind {
            0 => false,
            1 => machines.iter().any(|m| *m != machines[0]),
            _ => machines.len() > 1,
        };
        assert!(!doubled, "job {id} of {} ran at {machines:?}", tubes[*kind]);
    }
    assert!(
        words["completed"] > JOBS / 2 && words["aborted"] > 10,
        "{words:?}"
    );
}

/// Many connections wait for next to nothing, and the last of them gets work as the first does.
#[test]
fn connections_beyond_their_number_are_told_so() {
    let program = start_with(
        "",
        &[],
        Some(&table("cold = false").replace("connections = 256", "connections = 20")),
    );
    let mut workers: Vec<Peer> = (0..20)
        .map(|_| Peer::worker(&program, 2, &["charge"]))
        .collect();
    let mut late = Peer::new(&program, 1);
    assert_eq!(late.next(), "OUT_OF_MEMORY");
    workers.pop();
    std::thread::sleep(PAUSE);
    let mut producer = Peer::new(&program, 1);
    workers
        .iter_mut()
        .for_each(|worker| worker.send("reserve\r\n"));
    let ids: Vec<u64> = (0..19).map(|_| producer.put("charge", 9, "x")).collect();
    let mut got: Vec<u64> = workers
        .iter_mut()
        .map(|w| w.next().split(' ').nth(1).unwrap().parse().unwrap())
        .collect();
    got.sort_unstable();
    assert_eq!(got, ids, "each that waits gets one");
}

/// The second opinion on the protocol: a client from the registry.
#[test]
fn a_client_that_is_not_ours_is_served() {
    let program = started();
    let at = program.jobs.unwrap();
    let connect = || {
        beanstalkc::Beanstalkc::new()
            .host("127.0.0.1")
            .port(at.port())
            .connect()
            .unwrap()
    };
    let (mut producer, mut worker) = (connect(), connect());
    producer.use_tube("lookup").unwrap();
    let id = producer
        .put(b"hello", 1, Duration::ZERO, Duration::from_secs(5))
        .unwrap();
    worker.watch("lookup").unwrap();
    assert_eq!(worker.watching().unwrap(), ["default", "lookup"]);
    let mut job = worker.reserve_with_timeout(WAIT).unwrap();
    assert_eq!((job.id(), job.body()), (id, &b"hello"[..]));
    assert_eq!(producer.stats_job(id).unwrap()["state"], "reserved");
    job.touch().unwrap();
    job.delete().unwrap();
    assert_eq!(producer.stats_job(id).unwrap()["state"], "completed");
    let id = producer
        .put(b"later", 1, Duration::from_secs(9), Duration::from_secs(5))
        .unwrap();
    assert_eq!(producer.peek_delayed().unwrap().id(), id);
    producer.kick_job(id).unwrap();
    let mut job = worker.reserve().unwrap();
    assert_eq!(job.id(), id);
    job.bury_default().unwrap();
    assert_eq!(producer.peek_buried().unwrap().id(), id);
    assert_eq!(producer.kick(5).unwrap(), 1);
    let mut job = worker.reserve().unwrap();
    job.release_default().unwrap();
    assert!(producer.tubes().unwrap().contains(&"lookup".to_string()));
    assert_eq!(producer.stats_tube("lookup").unwrap()["current-using"], "1");
    assert!(producer.stats().unwrap()["uptime"].parse::<u64>().unwrap() < 60);
    assert!(
        producer
            .pause_tube("lookup", Duration::from_secs(1))
            .is_ok()
    );
}

/// SIGHUP: a changed operator's file is checked, waits for the next start, and that is said.
#[test]
fn a_new_operators_file_waits_for_the_next_start() {
    let mut program = started();
    let path = program.path.with_extension("toml");
    for text in [table("cold = true"), table("cold = maybe")] {
        std::fs::write(&path, text).unwrap();
        program.signal("-HUP");
        std::thread::sleep(PAUSE);
    }
    let mut producer = Peer::new(&program, 1);
    assert_eq!(producer.ask("use lookup"), "USING lookup", "it serves on");
    program.terminate();
    assert!(program.end().0);
    let mut log = String::new();
    program.log.read_to_string(&mut log).unwrap();
    assert!(
        log.contains("waits for the next start, fields: the operator's file"),
        "{log}"
    );
    assert!(
        log.contains("not taken, the old one holds") && log.contains("line 4"),
        "{log}"
    );
}

#[test]
fn a_bad_operators_file_is_named() {
    let good = table("");
    let cases = [
        (
            "connections = 256",
            "conections = 256",
            "line 3: beanstalkd.conections: unknown field",
        ),
        (
            "connections = 256",
            "connections = \"many\"",
            "line 3: beanstalkd.connections: invalid type",
        ),
        (
            "connections = 256",
            "connections = 0",
            "beanstalkd.connections: 0 is too little",
        ),
        (
            "connections = 256",
            "connections = 500",
            "500 connections are too many here, 384 at most",
        ),
        (
            "connections = 256",
            "",
            "beanstalkd: missing field `connections`",
        ),
        (
            "listen = \"127.0.0.1:0\"",
            "listen = \"here\"",
            "beanstalkd.listen: invalid socket address",
        ),
        (
            "tube = \"create\"",
            "tube = \"lookup\"",
            "beanstalkd.tubes[1].tube: \"lookup\" is there twice",
        ),
        (
            "tube = \"create\"",
            "tube = \"-x\"",
            "beanstalkd.tubes[1].tube: \"-x\" is no name of a tube",
        ),
        (
            "project_type = \"create\"",
            "project_type = \"creat\"",
            "beanstalkd.tubes[1].project_type: there is no project type \"creat\", only lookup, create, charge",
        ),
        (
            "project_type = \"create\"",
            "project_type = \"create\"\ncustomer = \"me\"",
            "beanstalkd.tubes[1].customer: there is no customer \"me\"",
        ),
        (
            "project_type = \"create\"",
            "project_type = \"lookup\"\nworkers = \"http\"",
            "beanstalkd.tubes[1].workers: another tube",
        ),
        (
            "project_type = \"create\"",
            "project_type = \"create\"\nworkers = \"nobody\"",
            "beanstalkd.tubes[1].workers: unknown variant",
        ),
        (
            "ends = \"ends\"",
            "ends = \"charge\"",
            "beanstalkd.tubes[0].ends: \"charge\" takes jobs",
        ),
        (
            "[beanstalkd]",
            "[beanstalkd]\nkeep_ends = -1.0",
            "beanstalkd.keep_ends: -1 s is no time",
        ),
        (
            "[beanstalkd]",
            "[beanstalk]",
            "line 1: beanstalk: unknown field",
        ),
        ("[beanstalkd]", "[beanstalkd", "line 1: "),
    ];
    for (n, (old, new, named)) in cases.iter().enumerate() {
        assert!(good.contains(old), "nothing to change: {old}");
        let (config, file) = (
            harness::written(&[]),
            harness::written(&[]).with_extension("toml"),
        );
        std::fs::write(&file, good.replacen(old, new, 1)).unwrap();
        let [config, file] = [config, file].map(|path| path.display().to_string());
        let said = harness::complaint(&["check", "--config", &config, "--operator", &file], &[]);
        assert!(said.contains(named), "case {n}, {new}: {said}");
    }
}
