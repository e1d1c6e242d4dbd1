//! Two events that cross, in the order that is the worse one: the program on real sockets. Each peer does the second thing
//! once it has seen the first.

mod harness;

use harness::*;
use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A dial that takes longer than a listener here is late by.
const PATIENT: (&str, &str) = ("\"dial_timeout\": 250.0", "\"dial_timeout\": 4000.0");
const MAY_NOT: (&str, &str) = ("\"may_cancel\": true", "\"may_cancel\": false");

/// A system tries again after one second, and then after two.
const TRIED_AGAIN: Duration = Duration::from_millis(3500);

/// The connection to a worker comes up after the worker was heard to drain or to be gone, or after the client has left:
/// nothing is written to it.
#[test]
fn what_has_changed_while_a_worker_was_dialled_holds() {
    for (shown, state, may_cancel) in [
        ("nothing happens", "SERVING", true),
        ("it drains", "DRAINING", true),
        ("it is gone", "DELETED", true),
        ("its client leaves", "", true),
        (
            "its client leaves, and nothing may be called off",
            "",
            false,
        ),
    ] {
        let late = late();
        let at = late.0.local_addr().unwrap();
        let slot = Arc::new(Mutex::new(listing(2, &[("s-1", at, "SERVING")])));
        let (limit, list) = (
            ("\"hard_limit\": 3000.0", "\"hard_limit\": 30000.0"),
            list_by(slot.clone()),
        );
        let mut changes = vec![SOON, PATIENT, ("127.0.0.1:8500", &list), limit];
        changes.extend(Some(MAY_NOT).filter(|_| !may_cancel));
        let mut program = start_at(at, "", &changes, None);
        let mut client = program.connect();
        client.write_all(post("/charge", "").as_bytes()).unwrap();
        program.logged("allocation sent");
        match state {
            "SERVING" => {}
            "" => {
                drop(client);
                program.logged("client has left");
            }
            _ => {
                *slot.lock().unwrap() = listing(3, &[("s-1", at, state)]);
                program.logged("worker list has no ready worker");
            }
        }
        let came = came_late(late, TRIED_AGAIN);
        assert_eq!(
            came.starts_with("POST /charge"),
            state == "SERVING",
            "{shown}: {came:?}"
        );
    }
}

/// A list service whose first watch breaks in this way once it has said its line; when each of its watches was asked for,
/// and when the first broke.
fn breaking(how: &'static str, line: String) -> (String, Receiver<Instant>) {
    let (tell, told) = channel();
    let first = Arc::new(AtomicBool::new(true));
    let (at, _) = stand_in(move |stream| {
        let (mut asked, mut piece) = (String::new(), [0; 4096]);
        while !asked.contains("\r\n\r\n") {
            let n = stream.read(&mut piece).unwrap_or(0);
            if n == 0 {
                return "gone".into();
            }
            asked += &String::from_utf8_lossy(&piece[..n]);
        }
        tell.send(Instant::now()).ok();
        stream
            .write_all((STREAM.to_string() + &chunk(&line)).as_bytes())
            .ok();
        if first.swap(false, Relaxed) {
            match how {
                "silent within a line" => stream.write_all(b"40\r\n{\"version\":").unwrap(),
                "silent" => {}
                "ended" => {
                    return stream
                        .write_all(b"0\r\n\r\n")
                        .map_or("", |()| "ended")
                        .into();
                }
                _ => panic!("{how}"),
            }
            // Nothing more, until the other side leaves.
            while stream.read(&mut piece).is_ok_and(|n| n > 0) {}
            return "silent".into();
        }
        while stream.write_all(chunk("").as_bytes()).is_ok() {
            std::thread::sleep(PAUSE);
        }
        "left".into()
    });
    (at.to_string(), told)
}

/// What the list has to tell counts as told 6 s after its watch fell silent, whether or not it arrived; where lists are
/// pushed, at once. By then a new watch has to have been asked for, whatever the fleet's size.
#[test]
fn a_watch_that_breaks_is_opened_anew_in_time() {
    let cases = [
        ("silent", "on_request", 1, 3.2),
        ("silent", "on_request", 300, 3.2),
        ("silent within a line", "on_request", 300, 3.2),
        ("ended", "on_request", 300, 0.6),
        ("ended", "pushed", 300, 0.5),
        ("silent", "pushed", 300, 3.0),
    ];
    let cases = cases.map(|(how, mode, many, within)| {
        std::thread::spawn(move || {
            let (list, asked) = breaking(how, listing(2, &[]));
            let changes = [
                ("127.0.0.1:8500", &*list),
                (
                    "\"discovery\": \"on_request\"",
                    &*format!("\"discovery\": \"{mode}\""),
                ),
                ("\"balancers\": 1", &*format!("\"balancers\": {many}")),
                // By chance it waits for nine tenths of the longest pause.
                ("8c1f30d27a5be964", "b16107f1be437c7b"),
            ];
            let began = Instant::now();
            let program = start("", &changes);
            let bound = Duration::from_secs(12);
            let [first, second] = [0; 2].map(|_| asked.recv_timeout(bound).expect("it asks"));
            if mode == "pushed" {
                assert!(
                    first - began < Duration::from_millis(500),
                    "{how}, {mode}: {:?}",
                    first - began
                );
            }
            let took = (second - first).as_secs_f64();
            assert!(
                took < within,
                "{how}, {mode}, {many}: asked for anew after {took} s"
            );
            drop(program);
        })
    });
    // All of them end before one is judged, or a program would be left behind.
    let ended = cases.map(|case| case.join());
    ended.into_iter().for_each(|case| case.unwrap());
}

/// A list service that is out of reach in this way up to its fifth call, or for four seconds where it can't be called at
/// all, and good from the moment on that is told: the worst one, as a call has just begun that can't be answered.
fn out_of_reach(how: &'static str, line: String) -> (String, Receiver<Instant>) {
    let (tell, back) = channel();
    // Freed, it refuses; with its queue full, dials hang.
    let (listener, queued) = if how == "hangs in the dial" {
        late()
    } else {
        (bound(None), Vec::new())
    };
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let listener = match how {
            "refuses" => {
                drop(listener);
                std::thread::sleep(40 * PAUSE);
                bound(Some(at))
            }
            "hangs in the dial" => {
                std::thread::sleep(40 * PAUSE);
                listener
            }
            _ => listener,
        };
        drop(queued);
        let mut calls = if how.contains("dial") || how == "refuses" {
            5
        } else {
            0
        };
        if calls == 5 {
            tell.send(Instant::now()).unwrap();
        }
        let mut held = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let line = line.clone();
            calls += 1;
            if calls > 5 {
                std::thread::spawn(move || {
                    if stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {
                        stream
                            .write_all((STREAM.to_string() + &chunk(&line)).as_bytes())
                            .ok();
                        while stream.write_all(chunk("").as_bytes()).is_ok() {
                            std::thread::sleep(PAUSE);
                        }
                    }
                });
                continue;
            }
            assert!(stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0));
            match how {
                "resets" => socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap(),
                "is busy" => stream
                    .write_all(b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n")
                    .unwrap(),
                "hangs in the head" => stream.write_all(b"HTTP/1.1 200 OK\r\n").unwrap(),
                "hangs in the body" => stream
                    .write_all((STREAM.to_string() + "40\r\n{\"version\":").as_bytes())
                    .unwrap(),
                "hangs" => {}
                _ => panic!("{how}"),
            }
            if how.starts_with("hangs") {
                held.push(stream);
            }
            if calls == 5 {
                tell.send(Instant::now()).unwrap();
            }
        }
    });
    (at.to_string(), back)
}

fn bound(at: Option<SocketAddr>) -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket
        .bind(&at.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))).into())
        .unwrap();
    socket.listen(64).unwrap();
    socket.into()
}

/// What the list service has to tell counts as told 6 s after it could be reached again, whatever call failed before, how,
/// and how often: the sum of what is left of the call under way, of the pause, and of the next call.
#[test]
fn a_change_is_heard_in_time_whatever_call_failed() {
    let hows = [
        "refuses",
        "resets",
        "is busy",
        "hangs",
        "hangs in the dial",
        "hangs in the head",
        "hangs in the body",
    ];
    let cases = hows.map(|how| {
        std::thread::spawn(move || {
            let (worker, _) = stand_in(work);
            let (list, back) = out_of_reach(how, listing(9, &[("s-1", worker, "DRAINING")]));
            // By chance it waits for nine tenths of the longest pause at first.
            let (many, seed) = ("\"balancers\": 300", "b16107f1be437c7b");
            let changes = [
                ("127.0.0.1:8500", &*list),
                ("\"balancers\": 1", many),
                ("8c1f30d27a5be964", seed),
            ];
            let began = Instant::now();
            let mut program = start_at(worker, "", &changes, None);
            let ready = program.ask("GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n");
            let took = began.elapsed().as_secs_f64();
            assert!(
                ready.starts_with("HTTP/1.1 200") && took < 10.0,
                "{how}: ready after {took} s: {ready}"
            );
            let back = back
                .recv_timeout(Duration::from_secs(30))
                .expect("it is called five times");
            program.logged("worker list has no ready worker");
            let took = back.elapsed().as_secs_f64();
            assert!(took < 6.0, "{how}: heard after {took} s");
        })
    });
    let ended = cases.map(|case| case.join());
    ended.into_iter().for_each(|case| case.unwrap());
}

/// Idle clients take all descriptors that they can get while the list is down: work still goes through, and what the list
/// tells on its return is heard in time. At the least limit, and where the system gives less than the configuration says.
#[test]
fn idle_clients_leave_the_list_and_the_workers_theirs() {
    for (most, sockets) in [(32, 32), (64, 64), (40, 1024)] {
        let shown = format!("{sockets} descriptors, of the system {most}");
        let (worker, _) = stand_in(work);
        let slot = Arc::new(Mutex::new(String::new()));
        let (list, limit) = (list_by(slot.clone()), format!("\"sockets\": {sockets}"));
        let changes = [("127.0.0.1:8500", &*list), ("\"sockets\": 1024", &*limit)];
        let mut program = start_at(worker, &format!("ulimit -n {most};"), &changes, None);
        let mut idle = Vec::new();
        for i in 0..3 * most {
            let mut stream = program.connect();
            // Some have brought work, and one comes between any two of them.
            if i % 4 == 0 {
                let began = Instant::now();
                stream.write_all(post("/charge", "").as_bytes()).unwrap();
                assert!(answer(&mut stream).ends_with("yes"), "{shown}: {i}");
                // What waits behind them in the system's queue is taken already, and its time runs.
                let took = began.elapsed();
                assert!(
                    took < 5 * PAUSE,
                    "{shown}: {i} waited {took:?} behind those who bring nothing"
                );
            }
            idle.push(stream);
        }
        program.logged("worker list is out of reach");
        // They go on coming, so that whatever is given up is taken by the next.
        let (heard, at) = (Arc::new(AtomicBool::new(false)), program.at);
        let come = {
            let heard = heard.clone();
            std::thread::spawn(move || {
                let mut idle = Vec::new();
                while !heard.load(Relaxed) && idle.len() < 2000 {
                    idle.extend(TcpStream::connect(at));
                    std::thread::sleep(PAUSE / 20);
                }
            })
        };
        std::thread::sleep(5 * PAUSE);
        *slot.lock().unwrap() = listing(9, &[("s-1", worker, "DRAINING")]);
        let back = Instant::now();
        let mut said = String::new();
        while !said.ends_with("when it times out\n") {
            assert!(
                program.log.read_line(&mut said).unwrap() > 0,
                "{shown}: it ended"
            );
        }
        let took = back.elapsed().as_secs_f64();
        heard.store(true, Relaxed);
        come.join().unwrap();
        assert!(took < 6.0, "{shown}: heard after {took} s");
        let short = said
            .lines()
            .find(|l| l.contains("could not be accepted") || l.contains("no descriptor"));
        assert_eq!(short, None, "{shown}: all of it is within the limit");
        assert!(
            program
                .ask(&post("/charge", ""))
                .starts_with("HTTP/1.1 503"),
            "{shown}: nothing new to it"
        );
    }
}

/// A client has gone before there is room for its work: no attempt of it begins, however it left, and also where
/// hundreds leave in one moment.
#[test]
fn who_has_gone_is_sent_nowhere() {
    for (shown, many) in [
        ("closed", 1),
        ("reset", 1),
        ("half-closed", 1),
        ("a burst", 300),
    ] {
        let seen = Arc::new(Mutex::new(String::new()));
        let heard = seen.clone();
        let (at, _) = stand_in(move |stream| {
            let mut piece = [0; 4096];
            while let Some(n) = stream.read(&mut piece).ok().filter(|n| *n > 0) {
                *heard.lock().unwrap() += &String::from_utf8_lossy(&piece[..n]);
            }
            "left".into()
        });
        let slot = Arc::new(Mutex::new(listing(2, &[("s-1", at, "DRAINING")])));
        let list = list_by(slot.clone());
        let patient = (
            "\"promised_turnaround\": 400.0",
            "\"promised_turnaround\": 2900.0",
        );
        let mut program = start_at(at, "", &[SOON, ("127.0.0.1:8500", &list), patient], None);
        program.logged("worker list has no ready worker");
        let clients = (0..many).map(|_| {
            let mut client = program.connect();
            client
                .write_all(post("/charge/gone", "").as_bytes())
                .unwrap();
            client
        });
        let clients: Vec<TcpStream> = clients.collect();
        // All of it is there, and waits.
        std::thread::sleep(2 * PAUSE);
        let mut half = Vec::new();
        for client in clients {
            match shown {
                "reset" => socket2::SockRef::from(&client)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap(),
                "half-closed" => {
                    client.shutdown(std::net::Shutdown::Write).unwrap();
                    half.push(client);
                }
                _ => {}
            }
        }
        (0..many).for_each(|_| drop(program.logged("client has left")));
        *slot.lock().unwrap() = listing(3, &[("s-1", at, "SERVING")]);
        // What stays is sent once the worker is ready: by then what has gone would have been sent before it.
        let mut stays = program.connect();
        stays
            .write_all(post("/charge/stays", "").as_bytes())
            .unwrap();
        program.logged("allocation sent");
        std::thread::sleep(3 * PAUSE);
        let seen = seen.lock().unwrap().clone();
        assert!(
            seen.contains("/charge/stays") && !seen.contains("gone"),
            "{shown}: {seen}"
        );
    }
}
