//! Races between two events, in the worse order, with the running program on real sockets. The simulated peers wait
//! for the first event before they cause the second, so the order is certain.

mod harness;

use harness::*;
use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A change of the configuration: connecting to a worker may take longer than these tests delay it.
const LONG_DIAL_TIMEOUT: (&str, &str) = ("\"dial_timeout\": 250.0", "\"dial_timeout\": 4000.0");
/// A change of the configuration: attempts in flight may not be cancelled.
const CANCEL_FORBIDDEN: (&str, &str) = ("\"may_cancel\": true", "\"may_cancel\": false");

/// The system retries a connection after one second, and then after two more.
const SYN_RETRIES: Duration = Duration::from_millis(3500);

/// While the connection to a worker is being established, the list reports the worker as draining or removed, or
/// the client leaves: the request must not be written to the connection.
#[test]
fn changes_while_connecting_to_a_worker_take_effect() {
    for (case, state, may_cancel) in [
        ("nothing happens", "SERVING", true),
        ("it drains", "DRAINING", true),
        ("it is removed", "DELETED", true),
        ("its client leaves", "", true),
        (
            "its client leaves, and attempts may not be cancelled",
            "",
            false,
        ),
    ] {
        let delayed = full_backlog();
        let at = delayed.0.local_addr().unwrap();
        let slot = Arc::new(Mutex::new(listing(2, &[("s-1", at, "SERVING")])));
        let (limit, discovery) = (
            ("\"hard_limit\": 3000.0", "\"hard_limit\": 30000.0"),
            list_service(slot.clone()),
        );
        let mut changes = vec![
            FREQUENT_LIST_CALLS,
            LONG_DIAL_TIMEOUT,
            ("127.0.0.1:8500", &discovery),
            limit,
        ];
        changes.extend(Some(CANCEL_FORBIDDEN).filter(|_| !may_cancel));
        let mut program = start_with_worker(at, "", &changes, None);
        let mut client = program.connect();
        client.write_all(post("/charge", "").as_bytes()).unwrap();
        program.wait_for_log("allocation sent");
        match state {
            "SERVING" => {}
            "" => {
                drop(client);
                program.wait_for_log("client disconnected");
            }
            _ => {
                *slot.lock().unwrap() = listing(3, &[("s-1", at, state)]);
                program.wait_for_log("worker list has no ready worker");
            }
        }
        let received = received_late(delayed, SYN_RETRIES);
        assert_eq!(
            received.starts_with("POST /charge"),
            state == "SERVING",
            "{case}: {received:?}"
        );
    }
}

/// A list service whose first watch breaks in this way after the first message. Returns its address, and a receiver
/// of the time of each call.
fn breaking_list_service(failure: &'static str, message: String) -> (String, Receiver<Instant>) {
    let (sender, calls) = channel();
    let first = Arc::new(AtomicBool::new(true));
    let (at, _) = spawn_server(move |stream| {
        let (mut request, mut buffer) = (String::new(), [0; 4096]);
        while !request.contains("\r\n\r\n") {
            let n = stream.read(&mut buffer).unwrap_or(0);
            if n == 0 {
                return "closed".into();
            }
            request += &String::from_utf8_lossy(&buffer[..n]);
        }
        sender.send(Instant::now()).ok();
        stream
            .write_all((STREAM_HEAD.to_string() + &chunk(&message)).as_bytes())
            .ok();
        if first.swap(false, Relaxed) {
            match failure {
                "silent within a line" => stream.write_all(b"40\r\n{\"version\":").unwrap(),
                "silent" => {}
                "ended" => {
                    return stream
                        .write_all(b"0\r\n\r\n")
                        .map_or("", |()| "ended")
                        .into();
                }
                _ => panic!("{failure}"),
            }
            // Silent until the program closes the connection.
            while stream.read(&mut buffer).is_ok_and(|n| n > 0) {}
            return "silent".into();
        }
        while stream.write_all(chunk("").as_bytes()).is_ok() {
            std::thread::sleep(TICK);
        }
        "left".into()
    });
    (at.to_string(), calls)
}

/// A change of the list has to be known 6 s after the watch fell silent, and at once where lists are pushed. For
/// that, a new watch must be opened early enough, whatever the number of schedulers.
#[test]
fn a_broken_watch_is_reopened_in_time() {
    let cases = [
        ("silent", "on_request", 1, 3.2),
        ("silent", "on_request", 300, 3.2),
        ("silent within a line", "on_request", 300, 3.2),
        ("ended", "on_request", 300, 0.6),
        ("ended", "pushed", 300, 0.5),
        ("silent", "pushed", 300, 3.0),
    ];
    let cases = cases.map(|(failure, mode, schedulers, within)| {
        std::thread::spawn(move || {
            let (discovery, calls) = breaking_list_service(failure, listing(2, &[]));
            let changes = [
                ("127.0.0.1:8500", &*discovery),
                (
                    "\"discovery\": \"on_request\"",
                    &*format!("\"discovery\": \"{mode}\""),
                ),
                ("\"balancers\": 1", &*format!("\"balancers\": {schedulers}")),
                // With this seed the random pause before the call is nine tenths of the longest one.
                ("8c1f30d27a5be964", "b16107f1be437c7b"),
            ];
            let began = Instant::now();
            let program = start("", &changes);
            let timeout = Duration::from_secs(12);
            let [first, second] = [0; 2].map(|_| calls.recv_timeout(timeout).expect("no call"));
            if mode == "pushed" {
                assert!(
                    first - began < Duration::from_millis(500),
                    "{failure}, {mode}: {:?}",
                    first - began
                );
            }
            let took = (second - first).as_secs_f64();
            assert!(
                took < within,
                "{failure}, {mode}, {schedulers}: reopened after {took} s"
            );
            drop(program);
        })
    });
    // All threads end before the first result is checked, so that no program is left running.
    let results = cases.map(|case| case.join());
    results.into_iter().for_each(|case| case.unwrap());
}

/// A list service that fails in this way up to and including its fifth call, or, if it can't be called at all, for
/// four seconds, and works from then on. Returns its address, and a receiver of the time at which it begins to
/// work. That is the worst moment, as a call that can't be answered has just begun.
fn unreachable_list_service(failure: &'static str, message: String) -> (String, Receiver<Instant>) {
    let (sender, recovery) = channel();
    // A closed port refuses connections; with a full backlog they hang.
    let (listener, queued) = if failure == "hangs while connecting" {
        full_backlog()
    } else {
        (listen_reusable(None), Vec::new())
    };
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let listener = match failure {
            "refuses" => {
                drop(listener);
                std::thread::sleep(40 * TICK);
                listen_reusable(Some(at))
            }
            "hangs while connecting" => {
                std::thread::sleep(40 * TICK);
                listener
            }
            _ => listener,
        };
        drop(queued);
        let mut calls = if failure.contains("connecting") || failure == "refuses" {
            5
        } else {
            0
        };
        if calls == 5 {
            sender.send(Instant::now()).unwrap();
        }
        let mut hanging = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let message = message.clone();
            calls += 1;
            if calls > 5 {
                std::thread::spawn(move || {
                    if stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {
                        stream
                            .write_all((STREAM_HEAD.to_string() + &chunk(&message)).as_bytes())
                            .ok();
                        while stream.write_all(chunk("").as_bytes()).is_ok() {
                            std::thread::sleep(TICK);
                        }
                    }
                });
                continue;
            }
            assert!(stream.read(&mut [0; 4096]).is_ok_and(|n| n > 0));
            match failure {
                "resets" => socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap(),
                "is busy" => stream
                    .write_all(b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n")
                    .unwrap(),
                "hangs in the head" => stream.write_all(b"HTTP/1.1 200 OK\r\n").unwrap(),
                "hangs in the body" => stream
                    .write_all((STREAM_HEAD.to_string() + "40\r\n{\"version\":").as_bytes())
                    .unwrap(),
                "hangs" => {}
                _ => panic!("{failure}"),
            }
            if failure.starts_with("hangs") {
                hanging.push(stream);
            }
            if calls == 5 {
                sender.send(Instant::now()).unwrap();
            }
        }
    });
    (at.to_string(), recovery)
}

/// Listens on this address, or on any free one.
fn listen_reusable(at: Option<SocketAddr>) -> TcpListener {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket
        .bind(&at.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))).into())
        .unwrap();
    socket.listen(64).unwrap();
    socket.into()
}

/// A change of the list has to be known 6 s after the list service can be reached again, whatever calls failed
/// before and how: the rest of the current call, the pause and the next call together must not take longer.
#[test]
fn a_change_is_known_in_time_after_failed_calls() {
    let failures = [
        "refuses",
        "resets",
        "is busy",
        "hangs",
        "hangs while connecting",
        "hangs in the head",
        "hangs in the body",
    ];
    let cases = failures.map(|failure| {
        std::thread::spawn(move || {
            let (worker, _) = spawn_server(worker);
            let (discovery, recovery) =
                unreachable_list_service(failure, listing(9, &[("s-1", worker, "DRAINING")]));
            // With this seed the first random pause is nine tenths of the longest one.
            let (schedulers, seed) = ("\"balancers\": 300", "b16107f1be437c7b");
            let changes = [
                ("127.0.0.1:8500", &*discovery),
                ("\"balancers\": 1", schedulers),
                ("8c1f30d27a5be964", seed),
            ];
            let began = Instant::now();
            let mut program = start_with_worker(worker, "", &changes, None);
            let ready = program.request("GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n");
            let took = began.elapsed().as_secs_f64();
            assert!(
                ready.starts_with("HTTP/1.1 200") && took < 10.0,
                "{failure}: ready after {took} s: {ready}"
            );
            let recovery = recovery
                .recv_timeout(Duration::from_secs(30))
                .expect("fewer than five calls");
            program.wait_for_log("worker list has no ready worker");
            let took = recovery.elapsed().as_secs_f64();
            assert!(took < 6.0, "{failure}: known after {took} s");
        })
    });
    let results = cases.map(|case| case.join());
    results.into_iter().for_each(|case| case.unwrap());
}

/// While the list service is down, idle clients take all descriptors that they can get: requests must still be
/// answered, and the list must be known in time after the service's return. With the smallest limit, and with a
/// system limit below the configured one.
#[test]
fn idle_clients_leave_descriptors_for_the_list_and_the_workers() {
    for (system_limit, sockets) in [(32, 32), (64, 64), (40, 1024)] {
        let case =
            format!("{sockets} descriptors configured, {system_limit} allowed by the system");
        let (worker, _) = spawn_server(worker);
        let slot = Arc::new(Mutex::new(String::new()));
        let (discovery, limit) = (
            list_service(slot.clone()),
            format!("\"sockets\": {sockets}"),
        );
        let changes = [
            ("127.0.0.1:8500", &*discovery),
            ("\"sockets\": 1024", &*limit),
        ];
        let mut program = start_with_worker(
            worker,
            &format!("ulimit -n {system_limit};"),
            &changes,
            None,
        );
        let mut idle = Vec::new();
        for i in 0..3 * system_limit {
            let mut stream = program.connect();
            // Every fourth client sends a request.
            if i % 4 == 0 {
                let began = Instant::now();
                stream.write_all(post("/charge", "").as_bytes()).unwrap();
                assert!(read_response(&mut stream).ends_with("yes"), "{case}: {i}");
                // The connections before it in the system's queue must not delay it.
                let took = began.elapsed();
                assert!(
                    took < 5 * TICK,
                    "{case}: client {i} waited {took:?} behind idle ones"
                );
            }
            idle.push(stream);
        }
        program.wait_for_log("worker list is out of reach");
        // More clients keep connecting, so that every descriptor that becomes free is taken again.
        let (known, at) = (Arc::new(AtomicBool::new(false)), program.address);
        let connecting = {
            let known = known.clone();
            std::thread::spawn(move || {
                let mut idle = Vec::new();
                while !known.load(Relaxed) && idle.len() < 2000 {
                    idle.extend(TcpStream::connect(at));
                    std::thread::sleep(TICK / 20);
                }
            })
        };
        std::thread::sleep(5 * TICK);
        *slot.lock().unwrap() = listing(9, &[("s-1", worker, "DRAINING")]);
        let recovered_at = Instant::now();
        let mut log = String::new();
        while !log.ends_with("when it times out\n") {
            assert!(
                program.log.read_line(&mut log).unwrap() > 0,
                "{case}: the program ended"
            );
        }
        let took = recovered_at.elapsed().as_secs_f64();
        known.store(true, Relaxed);
        connecting.join().unwrap();
        assert!(took < 6.0, "{case}: known after {took} s");
        let shortage = log
            .lines()
            .find(|l| l.contains("could not be accepted") || l.contains("no descriptor"));
        assert_eq!(shortage, None, "{case}: descriptors ran out");
        assert!(
            program
                .request(&post("/charge", ""))
                .starts_with("HTTP/1.1 503"),
            "{case}: a draining worker got a request"
        );
    }
}

/// A client leaves while its request waits for a worker: the request is never sent, however the client left, and
/// also if hundreds leave at once.
#[test]
fn requests_of_clients_that_left_are_not_sent() {
    for (case, count) in [
        ("closed", 1),
        ("reset", 1),
        ("half-closed", 1),
        ("a burst", 300),
    ] {
        let received = Arc::new(Mutex::new(String::new()));
        let worker_received = received.clone();
        let (at, _) = spawn_server(move |stream| {
            let mut buffer = [0; 4096];
            while let Some(n) = stream.read(&mut buffer).ok().filter(|n| *n > 0) {
                *worker_received.lock().unwrap() += &String::from_utf8_lossy(&buffer[..n]);
            }
            "left".into()
        });
        let slot = Arc::new(Mutex::new(listing(2, &[("s-1", at, "DRAINING")])));
        let discovery = list_service(slot.clone());
        let long_promise = (
            "\"promised_turnaround\": 400.0",
            "\"promised_turnaround\": 2900.0",
        );
        let mut program = start_with_worker(
            at,
            "",
            &[
                FREQUENT_LIST_CALLS,
                ("127.0.0.1:8500", &discovery),
                long_promise,
            ],
            None,
        );
        program.wait_for_log("worker list has no ready worker");
        let clients = (0..count).map(|_| {
            let mut client = program.connect();
            client
                .write_all(post("/charge/gone", "").as_bytes())
                .unwrap();
            client
        });
        let clients: Vec<TcpStream> = clients.collect();
        // All requests have arrived and wait.
        std::thread::sleep(2 * TICK);
        let mut half_closed = Vec::new();
        for client in clients {
            match case {
                "reset" => socket2::SockRef::from(&client)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap(),
                "half-closed" => {
                    client.shutdown(std::net::Shutdown::Write).unwrap();
                    half_closed.push(client);
                }
                _ => {}
            }
        }
        (0..count).for_each(|_| drop(program.wait_for_log("client disconnected")));
        *slot.lock().unwrap() = listing(3, &[("s-1", at, "SERVING")]);
        // A further request is sent as soon as the worker serves again. The earlier ones would have been sent
        // before it.
        let mut staying = program.connect();
        staying
            .write_all(post("/charge/stays", "").as_bytes())
            .unwrap();
        program.wait_for_log("allocation sent");
        std::thread::sleep(3 * TICK);
        let received = received.lock().unwrap().clone();
        assert!(
            received.contains("/charge/stays") && !received.contains("gone"),
            "{case}: {received}"
        );
    }
}
