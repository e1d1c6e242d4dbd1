//! Attempts sent to a fake worker on the loopback interface: the outcome of each response and failure.

mod support;

use mintlb_core::budget::Reservation;
use mintlb_core::clock::Clock;
use mintlb_core::reducer::Event;
use mintlb_core::work::{AttemptRequest, AttemptResult, Payload};
use mintlb_http::limits::HttpLimits;
use mintlb_http::list_service::{ListClient, ListDecoder};
use mintlb_http::worker::{RequestTemplate, WorkerClient};
use mintlb_scheduler::{Outcome, ProjectTypeSet};
use std::cell::Cell;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicI32, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};
use support::{discarding_logger, limits};
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

fn attempt_request(n: u16, body: usize, deadline: f64) -> AttemptRequest {
    let head = axum::http::Request::post("/charge/7?x=1")
        .header("request-id", "a1")
        .body(())
        .unwrap();
    let protocol_data = Arc::new(head.into_parts().0);
    let payload = Payload {
        body: vec![b'x'; body].into(),
        non_idempotent: true,
        protocol_data,
    };
    AttemptRequest {
        attempt_id: (1, n),
        project_type: 0,
        customer: None,
        payload,
        deadline,
        reservation: None,
        withdrawn: CancellationToken::new(),
    }
}

/// Reads a request with its body; `None` if the connection ends before it is complete.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&received).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .split("content-length: ")
                .nth(1)
                .and_then(|l| l.lines().next());
            if body.len() >= length.map_or(0, |l| l.parse().unwrap()) {
                return Some(text);
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(n) => received.extend(&buffer[..n]),
        }
    }
}

/// Starts a worker that answers each request with these bytes, and then closes the connection. A trailing `|` waits for
/// the client to close it, a trailing `+` keeps it open for further requests. Returns a log of the requests received,
/// with `closed` for each end of a connection.
fn start_worker(response: String) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, (sender, worker_log)) = (listener.local_addr().unwrap(), channel());
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, sender, response) =
                (stream.unwrap(), sender.clone(), response.clone());
            std::thread::spawn(move || {
                while let Some(request) = read_request(&mut stream) {
                    sender.send(request).ok();
                    stream
                        .write_all(response.trim_end_matches(['|', '+']).as_bytes())
                        .ok();
                    if response.ends_with('|') {
                        stream.read_exact(&mut [0; 1]).ok();
                    }
                    if !response.ends_with('+') {
                        break;
                    }
                }
                drop(stream);
                sender.send("closed".into()).ok();
            });
        }
    });
    (address, worker_log)
}

/// Sends attempts one after another. Returns the events as texts: the outcomes, and the starts before them.
async fn send_attempts(
    address: SocketAddr,
    limits: &HttpLimits,
    body: usize,
    times: u16,
    timeout_s: f64,
) -> Vec<String> {
    send_attempts_as(
        &vec![true; times as usize],
        address,
        limits,
        body,
        timeout_s,
    )
    .await
}

/// The same for attempts of which each is non-idempotent or not.
async fn send_attempts_as(
    non_idempotent: &[bool],
    address: SocketAddr,
    limits: &HttpLimits,
    body: usize,
    timeout_s: f64,
) -> Vec<String> {
    let clock = Clock::start();
    let (event_sender, mut events) = unbounded_channel();
    let client = WorkerClient::new(
        limits,
        clock,
        event_sender,
        &["util", "x0"],
        RequestTemplate::default(),
        Arc::default(),
        discarding_logger(),
    );
    for (n, non_idempotent) in non_idempotent.iter().enumerate() {
        let mut request = attempt_request(n as u16, body, clock.now() + timeout_s);
        request.payload.non_idempotent = *non_idempotent;
        client.send_attempt(&request, address).await;
    }
    drop(client);
    let mut outcomes = Vec::new();
    while let Some(event) = events.recv().await {
        outcomes.push(match event {
            Event::Started(_) => "started".into(),
            Event::Finished(AttemptResult {
                outcome: Outcome::Completed,
                result,
                ..
            }) => {
                format!("done {}", String::from_utf8_lossy(&result))
            }
            Event::Finished(AttemptResult {
                outcome, report, ..
            }) => match report.free_slots {
                Some(slots) => format!("{outcome:?} with {slots} free"),
                None => format!("{outcome:?}"),
            },
            _ => "?".into(),
        });
    }
    outcomes
}

const STARTED: &str = r#"{"id":"a1","from":"w","state":"started"}"#;
const DONE: &str = r#"{"id":"a1","from":"w","state":"done","result":"yes"}"#;

/// A chunked response with one chunk per line, and the final chunk.
fn stream(lines: &[&str]) -> String {
    let chunks = lines
        .iter()
        .map(|line| format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
    let chunks: String = chunks.collect();
    format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
}

#[tokio::test]
async fn each_worker_response_has_one_outcome() {
    let plain = str::to_string;
    let cut = |lines| stream(lines).replace("0\r\n\r\n", "");
    let cases = [
        ("done", stream(&[DONE]), "done yes"),
        (
            "with escapes",
            stream(&[r#"{"id":"a1","state":"done","result":"\"q\""}"#]),
            "done \"q\"",
        ),
        (
            "a result that is not a string",
            stream(&[r#"{"id":"a1","state":"done","result":{"a":1}}"#]),
            "done {\"a\":1}",
        ),
        (
            "a start, progress, done",
            stream(&[
                STARTED,
                r#"{"id":"a1","state":"running","share":0.4}"#,
                "",
                DONE,
            ]),
            "started, done yes",
        ),
        (
            "failed",
            stream(&[r#"{"id":"a1","state":"failed"}"#]),
            "Error",
        ),
        (
            "returned, with a load report",
            stream(&[r#"{"id":"a1","state":"returned","load":{"x0":2}}"#]),
            "Full with 2 free",
        ),
        (
            "lost",
            stream(&[r#"{"id":"a1","state":"lost"}"#]),
            "Dropped",
        ),
        (
            "ended after the start",
            stream(&[STARTED]),
            "started, Dropped",
        ),
        (
            "connection closed after the start",
            cut(&[STARTED]),
            "started, Dropped",
        ),
        ("half a line", cut(&[DONE]).replace("\"yes", ""), "Dropped"),
        ("not JSON", stream(&["no!"]), "Dropped"),
        (
            "the line of another request",
            stream(&[r#"{"id":"b2","state":"done","result":"yes"}"#]),
            "Dropped",
        ),
        (
            "too long a line",
            stream(&[&"x".repeat(140_000)]),
            "Dropped",
        ),
        ("closed without a response", plain(""), "Dropped"),
        (
            "refused",
            plain(
                "HTTP/1.1 503 No\r\nnot-started: 1\r\nserver-load: {\"x0\":0}\r\ncontent-length: 0\r\n\r\n",
            ),
            "Full with 0 free",
        ),
        (
            "unavailable, without not-started",
            plain("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n"),
            "Error",
        ),
        (
            "an error",
            plain("HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n"),
            "Error",
        ),
        ("no response", plain("|"), "TimedOut"),
        (
            "silent after the start",
            cut(&[STARTED]) + "|",
            "started, TimedOut",
        ),
    ];
    for (case, response, outcome) in cases {
        let (address, worker_log) = start_worker(response);
        let outcomes = send_attempts(address, &limits(), 10, 1, 0.4)
            .await
            .join(", ");
        assert_eq!(outcomes, outcome, "{case}");
        let requests = worker_log
            .try_iter()
            .filter(|entry| entry != "closed")
            .count();
        assert_eq!(requests, 1, "{case}: number of requests");
    }
}

/// A worker may close or reset a reused connection while the next request is written to it, which then may have run. So
/// connections are reused only where dialling is slow, and no more after one has broken. A retry by hyper itself would
/// be a second copy of the request.
#[tokio::test]
async fn connections_are_reused_only_where_dialling_is_slow() {
    for (reuse_threshold, connections) in [
        (Duration::from_secs(1), &[1, 1, 1, 1, 1][..]),
        (Duration::ZERO, &[3, 1, 1]),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests_per_connection = std::thread::spawn(move || {
            let (mut counts, mut total) = (Vec::new(), 0);
            while total < 5 {
                let (mut stream, _) = listener.accept().unwrap();
                stream
                    .set_read_timeout(Some(Duration::from_millis(200)))
                    .unwrap();
                let before = total;
                while read_request(&mut stream).is_some() {
                    total += 1;
                    // The third request is never answered.
                    if total == 3 {
                        break;
                    }
                    stream.write_all(self::stream(&[DONE]).as_bytes()).unwrap();
                }
                counts.push(total - before);
            }
            listener.set_nonblocking(true).unwrap();
            std::thread::sleep(Duration::from_millis(200));
            assert!(
                listener
                    .accept()
                    .is_err_and(|e| e.kind() == ErrorKind::WouldBlock),
                "a request was sent again"
            );
            counts
        });
        let limits = HttpLimits {
            reuse_threshold,
            ..limits()
        };
        let outcomes = send_attempts_as(&[false; 5], address, &limits, 10, 1.0).await;
        assert_eq!(
            outcomes,
            ["done yes", "done yes", "Dropped", "done yes", "done yes"],
            "{reuse_threshold:?}"
        );
        assert_eq!(
            requests_per_connection.join().unwrap(),
            connections,
            "requests on each connection, {reuse_threshold:?}"
        );
    }
}

/// A worker refuses a request after it has answered it, when the next request has arrived on the same connection. The
/// refusal must not prove that the next request never ran, if that one is non-idempotent.
#[tokio::test]
async fn a_late_refusal_does_not_apply_to_the_next_request() {
    const LATE: &str = "HTTP/1.1 503 No\r\nnot-started: 1\r\ncontent-length: 0\r\n\r\n";
    for (case, non_idempotent, outcomes) in [
        ("idempotent", [false, false], ["done yes", "Full"]),
        (
            "the second non-idempotent",
            [false, true],
            ["done yes", "done yes"],
        ),
        (
            "both non-idempotent",
            [true, true],
            ["done yes", "done yes"],
        ),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                std::thread::spawn(move || {
                    let mut answers = [stream_of_done(), LATE.to_string()].into_iter();
                    while read_request(&mut stream).is_some() {
                        stream
                            .write_all(answers.next().unwrap_or_default().as_bytes())
                            .ok();
                    }
                });
            }
        });
        let limits = HttpLimits {
            reuse_threshold: Duration::ZERO,
            ..limits()
        };
        assert_eq!(
            send_attempts_as(&non_idempotent, address, &limits, 10, 1.0).await,
            outcomes,
            "{case}"
        );
    }
}

fn stream_of_done() -> String {
    stream(&[DONE])
}

/// A connection that is idle for as long as the worker keeps it may be closed while the next request is written to it.
#[tokio::test]
async fn idle_connections_are_closed_before_the_worker_closes_them() {
    let default_limits = limits();
    assert!(
        default_limits.idle_timeout < Duration::from_secs(5),
        "shorter than the workers' keep-alive of 5 s"
    );
    for (idle_timeout, closed) in [
        (Duration::from_millis(50), true),
        (default_limits.idle_timeout, false),
    ] {
        let (address, worker_log) = start_worker(stream(&[DONE]) + "+");
        let limits = HttpLimits {
            idle_timeout,
            reuse_threshold: Duration::ZERO,
            ..limits()
        };
        let (event_sender, _events) = unbounded_channel();
        let client = WorkerClient::new(
            &limits,
            Clock::start(),
            event_sender,
            &[],
            RequestTemplate::default(),
            Arc::default(),
            discarding_logger(),
        );
        for n in 0..2 {
            let mut request = attempt_request(n, 0, Clock::start().now() + 1.0);
            request.payload.non_idempotent = false;
            client.send_attempt(&request, address).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let worker_log: Vec<String> = worker_log.try_iter().collect();
        assert_eq!(
            worker_log[1] == "closed",
            closed,
            "{idle_timeout:?}: {worker_log:?}"
        );
    }
}

#[tokio::test]
async fn requests_that_never_ran_are_reported_as_such() {
    // Bound but not listening. If it were released, another test could listen on the port by the time it is dialled.
    let held = tokio::net::TcpSocket::new_v4().unwrap();
    held.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let refusing = held.local_addr().unwrap();
    // Accepts, reads the start of the request and closes.
    let closing_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let closing = closing_listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in closing_listener.incoming() {
            stream.unwrap().read_exact(&mut [0; 64]).ok();
        }
    });
    // Never accepts, and its queue is full: further connections are never established.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let never_up = socket.local_addr().unwrap();
    let _full = socket.listen(0).unwrap();
    let _queued: Vec<_> = (0..4)
        .map(|_| TcpStream::connect_timeout(&never_up, Duration::from_millis(50)))
        .collect();
    let no_connections = HttpLimits {
        max_worker_connections: 0,
        ..limits()
    };
    let no_delay = HttpLimits {
        last_byte_delay: Duration::ZERO,
        ..limits()
    };
    let cases = [
        ("connection refused", refusing, 10, limits(), "NoConnection"),
        ("never established", never_up, 10, limits(), "NoConnection"),
        ("no connection slot", closing, 10, no_connections, "Moot"),
        (
            "closed before the last byte was written",
            closing,
            32 << 20,
            limits(),
            "NoConnection",
        ),
        (
            "reset while the last byte is delayed",
            closing,
            10,
            limits(),
            "NoConnection",
        ),
        (
            "closed after the last byte",
            closing,
            10,
            no_delay,
            "Dropped",
        ),
        (
            "closed after a request without a body",
            closing,
            0,
            limits(),
            "Dropped",
        ),
    ];
    for (case, address, body, limits, outcome) in cases {
        let started_at = Instant::now();
        assert_eq!(
            send_attempts(address, &limits, body, 1, 5.0).await,
            [outcome],
            "{case}"
        );
        assert!(
            started_at.elapsed() < Duration::from_secs(2),
            "{case}: took over 2 s"
        );
    }
}

/// A request that is withdrawn while it dials, waits for a connection slot, or delays its last byte is written no
/// further, and reported at once as not run. A completely written request stays in flight.
#[tokio::test]
async fn a_withdrawn_request_is_written_no_further() {
    // Its queue holds no more than two connections: others are established only when it accepts.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let never_accepting = socket.local_addr().unwrap();
    let listener = socket.listen(0).unwrap().into_std().unwrap();
    listener.set_nonblocking(false).unwrap();
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&never_accepting, Duration::from_millis(50)) {
        queued.push(stream);
    }
    let seconds = Duration::from_secs;
    let slow = HttpLimits {
        dial_timeout: seconds(4),
        last_byte_delay: seconds(4),
        ..limits()
    };
    let no_delay = HttpLimits {
        last_byte_delay: Duration::ZERO,
        ..slow.clone()
    };
    for (case, limits, dials, outcome) in [
        ("dialling", slow.clone(), true, "Full"),
        (
            "waiting for a connection slot",
            HttpLimits {
                max_worker_connections: 0,
                ..slow.clone()
            },
            true,
            "Full",
        ),
        ("last byte delayed", slow.clone(), false, "Full"),
        ("completely written", no_delay, false, "Completed"),
    ] {
        let worker_listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, clock) = (
            if dials {
                never_accepting
            } else {
                worker_listener.local_addr().unwrap()
            },
            Clock::start(),
        );
        let (event_sender, mut events) = unbounded_channel();
        let client = WorkerClient::new(
            &limits,
            clock,
            event_sender,
            &[],
            RequestTemplate::default(),
            Arc::default(),
            discarding_logger(),
        );
        let request = attempt_request(0, 2, clock.now() + 20.0);
        let withdrawn = request.withdrawn.clone();
        let task = tokio::spawn(async move { client.send_attempt(&request, address).await });
        // Waits until the request is under way: its head has arrived, or it is waiting to be sent.
        let mut stream = None;
        if !dials {
            stream = Some(tokio::task::spawn_blocking(move || {
                let (mut stream, _) = worker_listener.accept().unwrap();
                let (mut received, wanted) = (
                    Vec::new(),
                    if outcome == "Full" {
                        "\r\n\r\nx"
                    } else {
                        "\r\n\r\nxx"
                    },
                );
                while !String::from_utf8_lossy(&received).ends_with(wanted) {
                    let mut byte = [0];
                    stream.read_exact(&mut byte).unwrap();
                    received.extend(byte);
                }
                stream
            }));
        } else {
            tokio::task::yield_now().await;
        }
        let stream = match stream {
            Some(stream) => Some(stream.await.unwrap()),
            None => None,
        };
        withdrawn.cancel();
        if outcome == "Completed" {
            stream
                .as_ref()
                .unwrap()
                .write_all(self::stream(&[DONE]).as_bytes())
                .unwrap();
        }
        let started_at = Instant::now();
        let Ok(Some(Event::Finished(result))) =
            timeout(limits.dial_timeout / 2, events.recv()).await
        else {
            panic!("{case}: no result")
        };
        assert_eq!(format!("{:?}", result.outcome), outcome, "{case}");
        assert!(
            started_at.elapsed() < limits.dial_timeout / 8,
            "{case}: not reported at once"
        );
        task.await.unwrap();
        if let Some(mut stream) = stream.filter(|_| outcome == "Full") {
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).ok();
            assert!(
                rest.is_empty(),
                "{case}: bytes after the withdrawal: {rest:?}"
            );
        }
    }
    // Now the connections can be established: no byte may arrive on them.
    listener.set_nonblocking(true).unwrap();
    drop(queued);
    let until = Instant::now() + seconds(2);
    while Instant::now() < until {
        if let Ok((mut stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            stream
                .set_read_timeout(Some(Duration::from_millis(100)))
                .unwrap();
            assert!(
                !matches!(stream.read(&mut [0]), Ok(n) if n > 0),
                "a byte arrived after the withdrawal"
            );
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn cancelling_an_attempt_closes_its_connection() {
    for (case, response) in [
        ("before a response", "|"),
        ("after the response head", "HTTP/1.1 200 OK\r\n\r\n|"),
    ] {
        let (address, worker_log) = start_worker(response.into());
        let clock = Clock::start();
        let (event_sender, _events) = unbounded_channel();
        let client = WorkerClient::new(
            &limits(),
            clock,
            event_sender,
            &[],
            RequestTemplate::default(),
            Arc::default(),
            discarding_logger(),
        );
        let task = tokio::spawn(async move {
            client
                .send_attempt(&attempt_request(0, 0, clock.now() + 9.0), address)
                .await;
        });
        // Polls, as a blocking wait would stop the client on the same thread.
        let next_log_entry = async |max_ms: u64| {
            for _ in 0..max_ms / 5 {
                if let Ok(entry) = worker_log.try_recv() {
                    return entry;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            "nothing".to_string()
        };
        assert!(next_log_entry(2000).await.starts_with("post"), "{case}");
        assert_eq!(
            next_log_entry(200).await,
            "nothing",
            "{case}: the connection must still be open"
        );
        task.abort();
        assert_eq!(next_log_entry(2000).await, "closed", "{case}");
    }
}

/// A watch that is silent, or sends invalid messages, ends with the cause.
#[tokio::test]
async fn a_watch_ends_in_bounded_time() {
    const LINE: &str = r#"{"version":1,"full":true,"servers":[]}"#;
    let cut = |lines: &[&str]| stream(lines).replace("0\r\n\r\n", "");
    let plain = |body: &str| {
        format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let (after, from_start) = (Some(7), None);
    let cases = [
        (
            "silent from the start",
            after,
            "|".to_string(),
            0,
            "timed out after 0.2 s",
        ),
        (
            "silent after a line",
            after,
            cut(&[LINE]) + "|",
            1,
            "timed out after 0.2 s",
        ),
        (
            "half a line, then silence",
            after,
            cut(&[LINE]) + "9\r\n{\"version|",
            1,
            "timed out after 0.2 s",
        ),
        (
            "ended",
            after,
            stream(&["", LINE, "", LINE]),
            2,
            "the list service closed it",
        ),
        (
            "connection closed",
            after,
            cut(&[LINE]),
            1,
            "reading the body failed",
        ),
        (
            "not a message",
            after,
            stream(&["[]"]),
            0,
            "invalid message",
        ),
        (
            "a message over several lines, with empty ones",
            after,
            stream(&[
                "",
                "{\"version\":1,",
                "",
                " \"full\":true,",
                " \"servers\":[",
                " ]",
                "}",
                "",
            ]),
            1,
            "the list service closed it",
        ),
        (
            "ended within a message",
            after,
            stream(&["{", "\"version\":1,"]),
            0,
            "ended within a message",
        ),
        (
            "silent within a message",
            after,
            cut(&["{", "\"version\":1,"]) + "|",
            0,
            "timed out after 0.2 s",
        ),
        (
            "a message without end",
            after,
            stream(
                &["{\"version\":1,"; 1]
                    .iter()
                    .chain([""; 600].iter())
                    .copied()
                    .collect::<Vec<_>>(),
            ),
            0,
            "invalid message",
        ),
        (
            "an incomplete message over two lines",
            after,
            stream(&["{", "}"]),
            0,
            "invalid message",
        ),
        (
            "too long a line",
            after,
            stream(&[&" ".repeat(1000)]),
            0,
            "line exceeds 500 bytes",
        ),
        (
            "unavailable",
            after,
            "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n".into(),
            0,
            "response status 503",
        ),
        // The full list comes first, by a call of its own; the watch gets the same response here.
        (
            "full list, then a watch",
            from_start,
            plain(LINE),
            2,
            "the list service closed it",
        ),
        (
            "full list, silent",
            from_start,
            "|".to_string(),
            0,
            "timed out after 0.2 s",
        ),
        (
            "full list, silent half-way",
            from_start,
            plain(LINE)[..60].to_string() + "|",
            0,
            "timed out after 0.2 s",
        ),
        (
            "full list, connection closed",
            from_start,
            plain(LINE)[..60].to_string(),
            0,
            "reading the full list failed",
        ),
        (
            "full list, too long",
            from_start,
            plain(&" ".repeat(1000)),
            0,
            "reading the full list failed",
        ),
        (
            "full list, not a message",
            from_start,
            plain("[]"),
            0,
            "invalid full list",
        ),
        (
            "full list, not marked as full",
            from_start,
            plain(&LINE.replace("true", "false")),
            0,
            "the list is not marked as full",
        ),
        (
            "full list, unavailable",
            from_start,
            "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n".into(),
            0,
            "response status 503",
        ),
    ];
    for (case, after, response, messages, expected_cause) in cases {
        let (address, _worker_log) = start_worker(response);
        let list_timeout = Duration::from_millis(200);
        let limits = HttpLimits {
            list_idle_timeout: list_timeout,
            list_call_timeout: list_timeout,
            max_list_line_bytes: 500,
            ..limits()
        };
        let message_count = Cell::new(0);
        let cause = ListClient::new(&limits, address)
            .watch(after, |_| message_count.set(message_count.get() + 1))
            .await;
        assert!(cause.contains(expected_cause), "{case}: {cause}");
        assert_eq!(message_count.get(), messages, "{case}");
    }
}

/// Receipted work is retried in its own cell only, so that two cells must not be mistaken for one, whatever their
/// numbers.
#[tokio::test]
async fn cell_numbers_are_not_truncated() {
    let (event_sender, _) = unbounded_channel();
    let worker_client = WorkerClient::new(
        &limits(),
        Clock::start(),
        event_sender,
        &[],
        RequestTemplate::default(),
        Arc::default(),
        discarding_logger(),
    );
    let decoder = ListDecoder {
        zones: Vec::new(),
        kinds: Vec::new(),
        runs: ProjectTypeSet::default(),
        worker_client,
    };
    let lines = [0, 1, 1 << 16, 1 << 32, u64::MAX]
        .map(|cell| format!(r#"{{"id":"s-{cell}","cell":{cell}}}"#));
    let list = format!(
        r#"{{"version":1,"full":true,"servers":[{}]}}"#,
        lines.join(",")
    );
    let update = decoder.membership_update(&serde_json::from_str(&list).unwrap());
    let mut cells: Vec<u64> = update
        .members
        .iter()
        .map(|member| member.entry.cell)
        .collect();
    cells.dedup();
    assert_eq!(cells, [0, 1, 1 << 16, 1 << 32, u64::MAX]);
}

#[tokio::test]
async fn requests_are_forwarded_unchanged() {
    let (address, worker_log) = start_worker(stream(&[DONE]) + "+");
    assert_eq!(
        send_attempts(address, &limits(), 5, 2, 1.0).await,
        ["done yes", "done yes"]
    );
    let request = worker_log.recv().unwrap();
    assert!(
        request.starts_with("post /charge/7?x=1 http/1.1\r\n"),
        "{request}"
    );
    assert!(
        request.ends_with("\r\n\r\nxxxxx") && request.contains("request-id: a1\r\n"),
        "{request}"
    );
    let left = request
        .split("request-timeout: ")
        .nth(1)
        .unwrap()
        .split('u')
        .next()
        .unwrap();
    assert!(
        (800_000..=1_000_000).contains(&left.parse::<u32>().unwrap()),
        "{request}"
    );
    assert_eq!(
        worker_log
            .iter()
            .find(|entry| entry != "closed")
            .unwrap()
            .len(),
        request.len(),
        "length of the second request"
    );
}

/// Allows commits or not, and counts the commits that were not refunded.
#[derive(Debug)]
struct CountingReservation(bool, AtomicI32);

impl Reservation for CountingReservation {
    fn commit(&self) -> bool {
        self.1.fetch_add(i32::from(self.0), Relaxed);
        self.0
    }
    fn refund(&self) {
        self.1.fetch_sub(1, Relaxed);
    }
}

/// A reservation is committed once, in the write that completes the request. If the commit fails, the last byte is not
/// written, and the worker is not blamed.
#[tokio::test]
async fn a_request_without_a_committed_reservation_is_not_sent() {
    for body in [0, 1, 5, 60_000] {
        for can_commit in [true, false] {
            let (address, worker_log) = start_worker(stream(&[STARTED, DONE]));
            let clock = Clock::start();
            let (event_sender, mut events) = unbounded_channel();
            let template = RequestTemplate::default();
            let client = WorkerClient::new(
                &limits(),
                clock,
                event_sender,
                &[],
                template,
                Arc::default(),
                discarding_logger(),
            );
            let reservation = Arc::new(CountingReservation(can_commit, AtomicI32::new(0)));
            let request = AttemptRequest {
                reservation: Some(reservation.clone()),
                ..attempt_request(0, body, clock.now() + 2.0)
            };
            client.send_attempt(&request, address).await;
            drop(client);
            let mut outcome = None;
            while let Some(event) = events.recv().await {
                if let Event::Finished(result) = event {
                    outcome = Some(result.outcome);
                }
            }
            let expected = if can_commit {
                Outcome::Completed
            } else {
                Outcome::Moot
            };
            assert_eq!(
                (outcome, reservation.1.load(Relaxed)),
                (Some(expected), i32::from(can_commit)),
                "{body} {can_commit}"
            );
            let is_complete = worker_log
                .recv_timeout(Duration::from_secs(2))
                .is_ok_and(|entry| entry != "closed");
            assert_eq!(is_complete, can_commit, "{body} {can_commit}");
        }
    }
}
