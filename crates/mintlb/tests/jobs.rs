//! beanstalkd's protocol on loopback against the running program. The machine of a simulated worker is the loopback
//! address that it connects from.

mod harness;
mod virtual_time;

use harness::{
    FREQUENT_LIST_CALLS, Program, TICK, list_service, listing, post, read_response,
    start_with_operator,
};
use mintlb_scheduler::util::Rng;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use virtual_time::operator_file;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Connects from the machine `127.0.0.N`. The standard library can't bind a socket before it connects, but tokio can.
fn connect_from(address: SocketAddr, machine: u8) -> TcpStream {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let stream = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket
            .bind((Ipv4Addr::new(127, 0, 0, machine), 0).into())
            .unwrap();
        socket.connect(address).await.unwrap()
    });
    let stream = stream.into_std().unwrap();
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// A connection of a producer or a worker.
struct Peer {
    reader: BufReader<TcpStream>,
}

impl Peer {
    fn new(program: &Program, machine: u8) -> Peer {
        Peer {
            reader: BufReader::new(connect_from(program.beanstalkd_address.unwrap(), machine)),
        }
    }

    /// A connection that watches these tubes.
    fn watching(program: &Program, machine: u8, tubes: &[&str]) -> Peer {
        let mut peer = Peer::new(program, machine);
        for (n, tube) in tubes.iter().enumerate() {
            assert_eq!(
                peer.request(&format!("watch {tube}")),
                format!("WATCHING {}", n + 2)
            );
        }
        peer
    }

    fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Reads the next reply, with its body if it has one. Empty if the connection has ended.
    fn read_reply(&mut self) -> String {
        let mut line = String::new();
        self.reader
            .read_line(&mut line)
            .unwrap_or_else(|e| panic!("no reply: {e}"));
        let line = line.trim_end().to_string();
        let words: Vec<&str> = line.split(' ').collect();
        let has_body = ["RESERVED", "FOUND", "OK"].contains(&words[0]);
        if let Some(length) = words
            .last()
            .and_then(|w| w.parse::<usize>().ok())
            .filter(|_| has_body)
        {
            let mut body = vec![0; length + 2];
            self.reader.read_exact(&mut body).unwrap();
            return format!("{line} {}", String::from_utf8_lossy(&body[..length]));
        }
        line
    }

    /// Sends a command and reads the reply.
    fn request(&mut self, command: &str) -> String {
        self.send(&format!("{command}\r\n"));
        self.read_reply()
    }

    /// Puts a job into the tube, and returns its id.
    fn put(&mut self, tube: &str, ttr: u32, body: &str) -> u64 {
        assert_eq!(
            self.request(&format!("use {tube}")),
            format!("USING {tube}")
        );
        loop {
            let reply = self.request(&format!("put 0 0 {ttr} {}\r\n{body}", body.len()));
            if let Some(id) = reply.strip_prefix("INSERTED ") {
                return id.parse().unwrap();
            }
            // The limit on open requests is reached. It tries again, as a producer would.
            assert_eq!(reply, "OUT_OF_MEMORY");
            std::thread::sleep(TICK / 20);
        }
    }

    /// Waits for a job's end, and returns it: `completed`, `deferred` or `aborted`.
    fn wait_for_end(&mut self, id: u64) -> String {
        let began = Instant::now();
        loop {
            let stats = self.request(&format!("stats-job {id}"));
            if let Some(end) = stats.split("end: ").nth(1) {
                return end.lines().next().unwrap().to_string();
            }
            assert!(began.elapsed() < TIMEOUT, "the job has not ended: {stats}");
            std::thread::sleep(TICK / 10);
        }
    }
}

fn start() -> Program {
    start_with_operator("", &[], Some(&operator_file("cold = false")))
}

/// A non-idempotent job whose worker is silent, disconnects, or deletes it late.
#[test]
fn a_failing_worker_of_a_non_idempotent_job() {
    let program = start();
    let mut producer = Peer::new(&program, 1);
    let mut reserve = |machine| {
        let mut worker = Peer::watching(&program, machine, &["charge"]);
        worker.send("reserve\r\n");
        let id = producer.put("charge", 1, "fee");
        assert_eq!(worker.read_reply(), format!("RESERVED {id} 3 fee"));
        (worker, id, Instant::now())
    };
    let cases = [reserve(2), reserve(3), reserve(4)];
    let [
        (mut late, late_id, began),
        (silent, silent_id, _),
        (disconnecting, disconnecting_id, _),
    ] = cases;
    drop(disconnecting);
    assert_eq!(
        producer.wait_for_end(disconnecting_id),
        "aborted",
        "it may have run"
    );
    assert!(began.elapsed() < TIMEOUT / 2, "reported at once");
    std::thread::sleep(Duration::from_millis(1500).saturating_sub(began.elapsed()));
    assert_eq!(
        late.request(&format!("delete {late_id}")),
        "DELETED",
        "after its time-to-run the worker still holds the job"
    );
    assert_eq!(producer.wait_for_end(late_id), "completed");
    assert_eq!(
        producer.wait_for_end(silent_id),
        "aborted",
        "at its hard limit"
    );
    assert!(
        began.elapsed() < Duration::from_millis(3500),
        "the hard limit is 3 s"
    );
    let mut silent = silent;
    assert_eq!(
        silent.request(&format!("delete {silent_id}")),
        "NOT_FOUND",
        "too late"
    );
    assert_eq!(
        producer.wait_for_end(silent_id),
        "aborted",
        "the late delete changes nothing"
    );
}

#[test]
fn an_idempotent_job_is_retried_after_its_time_to_run() {
    // The promised turnaround must be longer than the time-to-run, or the job is deferred first.
    let changes = [(
        "\"promised_turnaround\": 400.0, \"hard_limit\": 3000.0, \"late_credit\": 0.0},\n      {\"name\": \"create\"",
        "\"promised_turnaround\": 2500.0, \"hard_limit\": 3000.0, \"late_credit\": 0.0},\n      {\"name\": \"create\"",
    )];
    let program = start_with_operator("", &changes, Some(&operator_file("cold = false")));
    let mut producer = Peer::new(&program, 1);
    let mut silent = Peer::watching(&program, 2, &["lookup"]);
    silent.send("reserve\r\n");
    let id = producer.put("lookup", 1, "x");
    assert!(silent.read_reply().starts_with("RESERVED"));
    let (mut next, began) = (Peer::watching(&program, 3, &["lookup"]), Instant::now());
    assert_eq!(next.request("reserve"), format!("RESERVED {id} 1 x"));
    let after = began.elapsed();
    assert!(
        after > Duration::from_millis(900) && after < Duration::from_millis(1300),
        "{after:?}"
    );
    // Both workers delete the job, but the lease belongs to the second one.
    assert_eq!(silent.request(&format!("delete {id}")), "NOT_FOUND");
    assert_eq!(next.request(&format!("delete {id}")), "DELETED");
    assert_eq!(producer.wait_for_end(id), "completed");
}

/// A producer that disconnects within the command line, the body or the last line end has put no job; after it, it has.
#[test]
fn only_a_complete_put_is_accepted() {
    let program = start();
    let complete = "use charge\r\nput 0 0 9 5\r\nhello\r\n";
    let mut worker = Peer::watching(&program, 2, &["charge"]);
    let mut other = Peer::new(&program, 1);
    for sent in [14, 24, 28, complete.len() - 2, complete.len() - 1] {
        let mut producer = Peer::new(&program, 1);
        producer.send(&complete[..sent]);
        assert_eq!(producer.read_reply(), "USING charge");
        drop(producer);
        assert_eq!(
            worker.request("reserve-with-timeout 0"),
            "TIMED_OUT",
            "disconnected after {sent} bytes"
        );
    }
    let mut producer = Peer::new(&program, 1);
    producer.send(complete);
    drop(producer);
    let reply = worker.request("reserve-with-timeout 5");
    let id: u64 = reply
        .strip_prefix("RESERVED ")
        .unwrap()
        .split(' ')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    assert_eq!(worker.request(&format!("delete {id}")), "DELETED");
    assert_eq!(
        other.wait_for_end(id),
        "completed",
        "any connection can query the end by the job id"
    );
}

/// Commands in one packet, byte by byte, in pieces of seven bytes, and hundreds of them at once.
#[test]
fn commands_arrive_in_any_pieces() {
    let program = start();
    let script = "use lookup\r\nput 0 0 9 2\r\nhi\r\nwatch lookup\r\nreserve\r\nlist-tube-used\r\n";
    for piece_bytes in [script.len(), 1, 7] {
        let mut peer = Peer::new(&program, 2);
        for piece in script.as_bytes().chunks(piece_bytes) {
            peer.reader.get_mut().write_all(piece).unwrap();
            peer.reader.get_mut().flush().unwrap();
        }
        let replies: Vec<String> = (0..5).map(|_| peer.read_reply()).collect();
        let id = replies[1].strip_prefix("INSERTED ").unwrap().to_string();
        assert_eq!(
            replies[3..],
            [format!("RESERVED {id} 2 hi"), "USING lookup".into()]
        );
        assert_eq!(peer.request(&format!("delete {id}")), "DELETED");
    }
    let mut peer = Peer::new(&program, 2);
    peer.send(&"use charge\r\nput 0 9 9 2\r\nhi\r\n".repeat(300));
    let inserted = (0..600)
        .filter(|_| peer.read_reply().starts_with("INSERTED"))
        .count();
    assert_eq!(inserted, 300);
    peer.send("quit\r\n");
    assert_eq!(peer.read_reply(), "", "the connection is closed");
}

/// No more commands are read from a producer that does not read its replies, and other connections are not delayed.
#[test]
fn a_producer_that_never_reads_delays_nobody() {
    let program = start();
    let mut stuck = Peer::new(&program, 1);
    stuck
        .reader
        .get_mut()
        .set_write_timeout(Some(TICK))
        .unwrap();
    let stats = "stats\r\n".repeat(1000);
    let mut written_bytes = 0;
    while stuck.reader.get_mut().write_all(stats.as_bytes()).is_ok() {
        written_bytes += stats.len();
        assert!(written_bytes < 64 << 20, "commands are read without limit");
    }
    let mut producer = Peer::new(&program, 1);
    let mut worker = Peer::watching(&program, 2, &["charge"]);
    worker.send("reserve\r\n");
    let id = producer.put("charge", 9, "x");
    assert!(worker.read_reply().starts_with("RESERVED"));
    assert_eq!(worker.request(&format!("delete {id}")), "DELETED");
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

/// As configured in the operator's file, beanstalkd workers execute requests of HTTP clients, and HTTP workers execute
/// beanstalkd jobs.
#[test]
fn requests_cross_between_the_protocols() {
    let operator = operator_file("cold = false").replace(
        "project_type = \"lookup\"",
        "project_type = \"lookup\"\nworkers = \"http\"",
    );
    let program = start_with_operator("", &[], Some(&operator));
    let mut worker = Peer::watching(&program, 2, &["charge"]);
    worker.send("reserve\r\n");
    let mut client = program.connect();
    client.write_all(post("/charge/7", "").as_bytes()).unwrap();
    let reply = worker.read_reply();
    let id: u64 = reply
        .strip_prefix("RESERVED ")
        .unwrap()
        .split(' ')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    assert!(reply.ends_with(" 2 hi"), "{reply}");
    assert_eq!(worker.request(&format!("delete {id}")), "DELETED");
    assert!(read_response(&mut client).starts_with("HTTP/1.1 200"));
    // The client leaves, which cancels the request.
    worker.send("reserve\r\n");
    let mut client = program.connect();
    client.write_all(post("/charge/8", "").as_bytes()).unwrap();
    let reply = worker.read_reply();
    let id: u64 = reply
        .strip_prefix("RESERVED ")
        .unwrap()
        .split(' ')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    drop(client);
    std::thread::sleep(TICK);
    assert_eq!(worker.request(&format!("delete {id}")), "NOT_FOUND");

    let mut producer = Peer::new(&program, 1);
    let mut notices = Peer::watching(&program, 1, &["ends"]);
    // The simulated HTTP worker expects this body.
    let id = producer.put("lookup", 9, "hi");
    assert_eq!(producer.wait_for_end(id), "completed");
    assert!(
        notices
            .request("reserve")
            .ends_with(&format!("{id} completed\nyes")),
        "with the worker's result"
    );
}

/// After the list reports a machine as draining, its connections get no jobs, until the list reports it as serving
/// again.
#[test]
fn a_machine_that_the_list_drains_gets_no_jobs() {
    let machine = "127.0.0.2:1".parse().unwrap();
    let (slot, mut version) = (
        Arc::new(Mutex::new(listing(1, &[("m-2", machine, "SERVING")]))),
        1,
    );
    let mut set_state = |state| {
        version += 1;
        *slot.lock().unwrap() = listing(version, &[("m-2", machine, state)]);
    };
    let changes = [
        ("127.0.0.1:8500", &*list_service(slot.clone())),
        FREQUENT_LIST_CALLS,
    ];
    let program = start_with_operator("", &changes, Some(&operator_file("listed = true")));
    std::thread::sleep(2 * TICK);
    let mut producer = Peer::new(&program, 1);
    let mut workers: Vec<Peer> = (0..20)
        .map(|_| Peer::watching(&program, 2, &["charge"]))
        .collect();
    workers
        .iter_mut()
        .for_each(|worker| worker.send("reserve\r\n"));
    let before_drain = producer.put("charge", 9, "x");
    std::thread::sleep(TICK);
    set_state("DRAINING");
    std::thread::sleep(TICK);
    let ids: Vec<u64> = (0..20).map(|_| producer.put("charge", 9, "y")).collect();
    assert!(
        ids.iter()
            .all(|id| producer.wait_for_end(*id) == "deferred"),
        "a job that was never started is deferred"
    );
    set_state("SERVING");
    std::thread::sleep(TICK);
    let after_drain = producer.put("charge", 9, "z");
    let mut reserved = Vec::new();
    for worker in &mut workers {
        worker
            .reader
            .get_mut()
            .set_read_timeout(Some(TICK / 10))
            .unwrap();
        let mut line = String::new();
        if worker.reader.read_line(&mut line).is_ok() {
            reserved.push(line.split(' ').nth(1).unwrap().parse::<u64>().unwrap());
        }
    }
    reserved.sort_unstable();
    assert_eq!(
        reserved,
        [before_drain, after_drain],
        "only the jobs before and after the drain are reserved"
    );
}

/// A graceful shutdown ends all accepted jobs, and reports the ends.
#[test]
fn a_graceful_shutdown_ends_every_job() {
    let mut program = start();
    let mut producer = Peer::new(&program, 1);
    let mut notices = Peer::watching(&program, 1, &["ends"]);
    let mut worker = Peer::watching(&program, 2, &["charge"]);
    worker.send("reserve\r\n");
    let reserved = producer.put("charge", 9, "x");
    assert!(worker.read_reply().starts_with("RESERVED"));
    let mut slow = Peer::watching(&program, 2, &["lookup"]);
    slow.send("reserve\r\n");
    let done = producer.put("lookup", 9, "x");
    assert!(slow.read_reply().starts_with("RESERVED"));
    assert!(
        producer
            .request("put 0 60 9 1\r\nx")
            .starts_with("INSERTED")
    );
    let began = Instant::now();
    program.terminate();
    std::thread::sleep(TICK);
    assert_eq!(producer.request("put 0 0 9 1\r\nx"), "DRAINING");
    assert_eq!(slow.request(&format!("delete {done}")), "DELETED");
    let mut ends = Vec::new();
    for _ in 0..3 {
        let reply = notices.request("reserve");
        let body = reply.split(' ').skip(3).collect::<Vec<_>>().join(" ");
        ends.push(body);
    }
    assert_eq!(
        ends[0],
        format!("{} deferred 0.000", done + 1),
        "it was still delayed"
    );
    assert_eq!(ends[1], format!("{done} completed"));
    assert_eq!(
        ends[2],
        format!("{reserved} aborted"),
        "at its hard limit, or at the end of the shutdown"
    );
    assert!(
        began.elapsed() < Duration::from_millis(3700),
        "SIGKILL comes after 3.7 s"
    );
    assert!(program.wait_for_exit().0);
}

/// Thousands of jobs for workers on loopback that fail in various ways; the ends are checked against what the workers
/// reserved.
#[test]
fn no_job_is_lost_or_executed_twice() {
    const JOBS: usize = 3000;
    let program = start();
    let (sender, reservations) = channel();
    for n in 0..24_u64 {
        let (sender, address, machine) = (
            sender.clone(),
            program.beanstalkd_address.unwrap(),
            2 + (n % 6) as u8,
        );
        std::thread::spawn(move || {
            let mut chance = Rng::new(n + 1);
            let mut pick = move |most: usize| (chance.uniform() * most as f64) as usize;
            let connect = || {
                let mut peer = Peer {
                    reader: BufReader::new(connect_from(address, machine)),
                };
                peer.send("watch lookup\r\nwatch create\r\nwatch charge\r\n");
                (0..3).for_each(|_| drop(peer.read_reply()));
                peer
            };
            let mut peer = connect();
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
                sender.send((id.parse::<u64>().unwrap(), machine)).ok();
                match pick(180) {
                    0 | 1 => peer = connect(),
                    2 => drop(peer.request(&format!("release {id} 0 0"))),
                    3 => drop(peer.request(&format!("bury {id} 0"))),
                    // Silent for longer than the time-to-run, and then a late delete.
                    4 => {
                        std::thread::sleep(Duration::from_millis(1200));
                        peer.request(&format!("delete {id}"));
                    }
                    _ => {
                        peer.request(&format!("delete {id}"));
                    }
                }
            }
        });
    }
    let mut producer = Peer::new(&program, 1);
    let tubes = ["lookup", "create", "charge"];
    let mut accepted = BTreeMap::new();
    for n in 0..JOBS {
        accepted.insert(producer.put(tubes[n % 3], 1, "job"), n % 3);
    }
    let mut ends: BTreeMap<u64, usize> = BTreeMap::new();
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    let mut notices = Peer::watching(&program, 1, &["ends"]);
    while ends.len() < JOBS {
        let reply = notices.request("reserve-with-timeout 5");
        let body = reply.split(' ').skip(3).collect::<Vec<_>>();
        assert!(
            body.len() >= 2,
            "{} of {JOBS} have ended: {reply}",
            ends.len()
        );
        *ends.entry(body[0].parse().unwrap()).or_default() += 1;
        *outcomes.entry(body[1].to_string()).or_default() += 1;
        notices.request(&format!("delete {}", reply.split(' ').nth(1).unwrap()));
    }
    assert_eq!(
        notices.request("reserve-with-timeout 0"),
        "TIMED_OUT",
        "no end is reported twice"
    );
    let mut machines_by_job: BTreeMap<u64, Vec<u8>> = BTreeMap::new();
    reservations
        .try_iter()
        .for_each(|(id, machine)| machines_by_job.entry(id).or_default().push(machine));
    for (id, kind) in &accepted {
        assert_eq!(ends.get(id), Some(&1), "job {id}");
        let machines = machines_by_job.get(id).cloned().unwrap_or_default();
        let executed_twice = match kind {
            0 => false,
            1 => machines.iter().any(|m| *m != machines[0]),
            _ => machines.len() > 1,
        };
        assert!(
            !executed_twice,
            "job {id} of {} ran at {machines:?}",
            tubes[*kind]
        );
    }
    assert!(
        outcomes["completed"] > JOBS / 2 && outcomes["aborted"] > 10,
        "{outcomes:?}"
    );
}

/// A connection beyond the limit is refused with an error. All connections within it get jobs.
#[test]
fn connections_beyond_the_limit_are_refused() {
    let program = start_with_operator(
        "",
        &[],
        Some(&operator_file("cold = false").replace("connections = 256", "connections = 20")),
    );
    let mut workers: Vec<Peer> = (0..20)
        .map(|_| Peer::watching(&program, 2, &["charge"]))
        .collect();
    let mut beyond = Peer::new(&program, 1);
    assert_eq!(beyond.read_reply(), "OUT_OF_MEMORY");
    workers.pop();
    std::thread::sleep(TICK);
    let mut producer = Peer::new(&program, 1);
    workers
        .iter_mut()
        .for_each(|worker| worker.send("reserve\r\n"));
    let ids: Vec<u64> = (0..19).map(|_| producer.put("charge", 9, "x")).collect();
    let mut reserved: Vec<u64> = workers
        .iter_mut()
        .map(|w| w.read_reply().split(' ').nth(1).unwrap().parse().unwrap())
        .collect();
    reserved.sort_unstable();
    assert_eq!(reserved, ids, "each waiting worker gets one job");
}

/// A third-party beanstalkd client, as an independent check of the protocol.
#[test]
fn a_third_party_client_is_served() {
    let program = start();
    let at = program.beanstalkd_address.unwrap();
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
    let mut job = worker.reserve_with_timeout(TIMEOUT).unwrap();
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

/// At SIGHUP a changed operator's file is validated, and the log says that the changes take effect at the next restart.
#[test]
fn a_changed_operators_file_takes_effect_at_a_restart() {
    let mut program = start();
    let path = program.config_path.with_extension("toml");
    for text in [operator_file("cold = true"), operator_file("cold = maybe")] {
        std::fs::write(&path, text).unwrap();
        program.signal("-HUP");
        std::thread::sleep(TICK);
    }
    let mut producer = Peer::new(&program, 1);
    assert_eq!(
        producer.request("use lookup"),
        "USING lookup",
        "it still serves"
    );
    program.terminate();
    assert!(program.wait_for_exit().0);
    let mut log = String::new();
    program.log.read_to_string(&mut log).unwrap();
    assert!(
        log.contains("take effect at the next restart, fields: the operator's file"),
        "{log}"
    );
    assert!(
        log.contains("new configuration rejected, keeping the current one")
            && log.contains("line 4"),
        "{log}"
    );
}

#[test]
fn an_invalid_field_of_the_operators_file_is_named() {
    let valid = operator_file("");
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
            "beanstalkd.connections: must be at least 1, is 0",
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
            "beanstalkd.tubes[1].tube: \"lookup\" is configured twice",
        ),
        (
            "tube = \"create\"",
            "tube = \"-x\"",
            "beanstalkd.tubes[1].tube: \"-x\" is not a valid tube name",
        ),
        (
            "project_type = \"create\"",
            "project_type = \"creat\"",
            "beanstalkd.tubes[1].project_type: unknown project type \"creat\", expected one of: lookup, create, charge",
        ),
        (
            "project_type = \"create\"",
            "project_type = \"create\"\ncustomer = \"me\"",
            "beanstalkd.tubes[1].customer: unknown customer \"me\"",
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
            "beanstalkd.keep_ends: must be between 0 and 86400 s, is -1 s",
        ),
        (
            "[beanstalkd]",
            "[beanstalk]",
            "line 1: beanstalk: unknown field",
        ),
        ("[beanstalkd]", "[beanstalkd", "line 1: "),
    ];
    for (n, (old, new, expected)) in cases.iter().enumerate() {
        assert!(valid.contains(old), "text to change not found: {old}");
        let (config, operator) = (
            harness::write_config(&[]),
            harness::write_config(&[]).with_extension("toml"),
        );
        std::fs::write(&operator, valid.replacen(old, new, 1)).unwrap();
        let [config, operator] = [config, operator].map(|path| path.display().to_string());
        let stderr = harness::stderr_of_failure(
            &["check", "--config", &config, "--operator", &operator],
            &[],
        );
        assert!(stderr.contains(expected), "case {n}, {new}: {stderr}");
    }
}
