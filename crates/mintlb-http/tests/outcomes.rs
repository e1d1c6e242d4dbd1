//! One allocation against a stand-in worker on loopback: what comes back, and what that means.

mod machine;

use machine::{limits, quiet};
use mintlb_core::budget::Reservation;
use mintlb_core::clock::Clock;
use mintlb_core::reducer::Event;
use mintlb_core::work::{AllocationRequest, AllocationResult, Payload};
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
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

fn order(n: u16, body: usize, deadline: f64) -> AllocationRequest {
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
    AllocationRequest {
        allocation_id: (1, n),
        project_type: 0,
        customer: None,
        payload,
        deadline,
        reservation: None,
        withdrawn: CancellationToken::new(),
    }
}

/// Reads a request, its head and body; `None` if the connection ends before.
fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut got = Vec::new();
    let mut piece = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&got).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .split("content-length: ")
                .nth(1)
                .and_then(|l| l.lines().next());
            if body.len() >= length.map_or(0, |l| l.parse().unwrap()) {
                return Some(text);
            }
        }
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return None,
            Ok(n) => got.extend(&piece[..n]),
        }
    }
}

/// A worker that answers each request with these bytes; `|` waits for the caller to close, the end closes.
/// Tells of each request, and of each end of a connection, by its name.
fn worker(answer: String) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, (tell, told)) = (listener.local_addr().unwrap(), channel());
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, tell, answer) = (stream.unwrap(), tell.clone(), answer.clone());
            std::thread::spawn(move || {
                while let Some(request) = read_request(&mut stream) {
                    tell.send(request).ok();
                    stream
                        .write_all(answer.trim_end_matches(['|', '+']).as_bytes())
                        .ok();
                    if answer.ends_with('|') {
                        stream.read_exact(&mut [0; 1]).ok();
                    }
                    if !answer.ends_with('+') {
                        break;
                    }
                }
                drop(stream);
                tell.send("closed".into()).ok();
            });
        }
    });
    (address, told)
}

/// Plays allocations one after another; what is told of each is its outcome, and of a start before.
async fn play(
    address: SocketAddr,
    limits: &HttpLimits,
    body: usize,
    times: u16,
    left: f64,
) -> Vec<String> {
    play_as(&vec![true; times as usize], address, limits, body, left).await
}

/// Of work that may run once, or again.
async fn play_as(
    non_idempotent: &[bool],
    address: SocketAddr,
    limits: &HttpLimits,
    body: usize,
    left: f64,
) -> Vec<String> {
    let clock = Clock::start();
    let (tell, mut told) = unbounded_channel();
    let client = WorkerClient::new(
        limits,
        clock,
        tell,
        &["util", "x0"],
        RequestTemplate::default(),
        Arc::default(),
        quiet(),
    );
    for (n, non_idempotent) in non_idempotent.iter().enumerate() {
        let mut request = order(n as u16, body, clock.now() + left);
        request.payload.non_idempotent = *non_idempotent;
        client.allocate(&request, address).await;
    }
    drop(client);
    let mut said = Vec::new();
    while let Some(event) = told.recv().await {
        said.push(match event {
            Event::Started(_) => "started".into(),
            Event::Finished(AllocationResult {
                outcome: Outcome::Completed,
                result,
                ..
            }) => {
                format!("done {}", String::from_utf8_lossy(&result))
            }
            Event::Finished(AllocationResult {
                outcome, report, ..
            }) => match report.free_slots {
                Some(slots) => format!("{outcome:?} with {slots} free"),
                None => format!("{outcome:?}"),
            },
            _ => "?".into(),
        });
    }
    said
}

const STARTED: &str = r#"{"id":"a1","from":"w","state":"started"}"#;
const DONE: &str = r#"{"id":"a1","from":"w","state":"done","result":"yes"}"#;

/// These lines as a stream of chunks, up to its proper end.
fn stream(lines: &[&str]) -> String {
    let chunks = lines
        .iter()
        .map(|line| format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
    let chunks: String = chunks.collect();
    format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
}

#[tokio::test]
async fn what_comes_back_has_one_meaning() {
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
            "a result that is no text",
            stream(&[r#"{"id":"a1","state":"done","result":{"a":1}}"#]),
            "done {\"a\":1}",
        ),
        (
            "a start, progress, the end",
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
            "handed back, with a report",
            stream(&[r#"{"id":"a1","state":"returned","load":{"x0":2}}"#]),
            "Full with 2 free",
        ),
        (
            "killed",
            stream(&[r#"{"id":"a1","state":"lost"}"#]),
            "Dropped",
        ),
        (
            "ended after the start",
            stream(&[STARTED]),
            "started, Dropped",
        ),
        (
            "broken off after the start",
            cut(&[STARTED]),
            "started, Dropped",
        ),
        ("half a line", cut(&[DONE]).replace("\"yes", ""), "Dropped"),
        ("no JSON", stream(&["no!"]), "Dropped"),
        (
            "another's line",
            stream(&[r#"{"id":"b2","state":"done","result":"yes"}"#]),
            "Dropped",
        ),
        (
            "a line without end",
            stream(&[&"x".repeat(140_000)]),
            "Dropped",
        ),
        ("closed without a word", plain(""), "Dropped"),
        (
            "turned away",
            plain(
                "HTTP/1.1 503 No\r\nnot-started: 1\r\nserver-load: {\"x0\":0}\r\ncontent-length: 0\r\n\r\n",
            ),
            "Full with 0 free",
        ),
        (
            "unavailable, unmarked",
            plain("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n"),
            "Error",
        ),
        (
            "an error",
            plain("HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n"),
            "Error",
        ),
        ("silence", plain("|"), "TimedOut"),
        (
            "silence after the start",
            cut(&[STARTED]) + "|",
            "started, TimedOut",
        ),
    ];
    for (shown, answer, outcome) in cases {
        let (address, told) = worker(answer);
        let said = play(address, &limits(), 10, 1, 0.4).await.join(", ");
        assert_eq!(said, outcome, "{shown}");
        let requests = told.try_iter().filter(|t| t != "closed").count();
        assert_eq!(requests, 1, "{shown}: it was sent more than once");
    }
}

/// A kept connection may be closed or reset as the next request is written to it, and that may then have run.
/// So none is kept but where a new one is dear, and none once one has died; and a library that sends again by itself would make a second copy.
#[tokio::test]
async fn a_connection_is_kept_only_where_a_new_one_is_dear() {
    for (reuse_threshold, connections) in [
        (Duration::from_secs(1), &[1, 1, 1, 1, 1][..]),
        (Duration::ZERO, &[3, 1, 1]),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let seen = std::thread::spawn(move || {
            let (mut seen, mut total) = (Vec::new(), 0);
            while total < 5 {
                let (mut stream, _) = listener.accept().unwrap();
                stream
                    .set_read_timeout(Some(Duration::from_millis(200)))
                    .unwrap();
                let before = total;
                while read_request(&mut stream).is_some() {
                    total += 1;
                    // The third is never answered.
                    if total == 3 {
                        break;
                    }
                    stream.write_all(self::stream(&[DONE]).as_bytes()).unwrap();
                }
                seen.push(total - before);
            }
            listener.set_nonblocking(true).unwrap();
            std::thread::sleep(Duration::from_millis(200));
            assert!(
                listener
                    .accept()
                    .is_err_and(|e| e.kind() == ErrorKind::WouldBlock),
                "sent again"
            );
            seen
        });
        let limits = HttpLimits {
            reuse_threshold,
            ..limits()
        };
        let said = play_as(&[false; 5], address, &limits, 10, 1.0).await;
        assert_eq!(
            said,
            ["done yes", "done yes", "Dropped", "done yes", "done yes"],
            "{reuse_threshold:?}"
        );
        assert_eq!(
            seen.join().unwrap(),
            connections,
            "requests on each connection, {reuse_threshold:?}"
        );
    }
}

/// A worker that answers once more, when the next request is whole on the same connection: that must not prove of work
/// that may not run again that it never ran.
#[tokio::test]
async fn a_late_refusal_proves_nothing_of_the_next() {
    const LATE: &str = "HTTP/1.1 503 No\r\nnot-started: 1\r\ncontent-length: 0\r\n\r\n";
    for (shown, non_idempotent, outcomes) in [
        ("may run again", [false, false], ["done yes", "Full"]),
        ("may run once", [false, true], ["done yes", "done yes"]),
        ("both once", [true, true], ["done yes", "done yes"]),
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
            play_as(&non_idempotent, address, &limits, 10, 1.0).await,
            outcomes,
            "{shown}"
        );
    }
}

fn stream_of_done() -> String {
    stream(&[DONE])
}

/// What stands idle as long as a worker keeps it may be closed while the next request is written to it.
#[tokio::test]
async fn idle_connections_are_left_before_their_worker_closes_them() {
    let ours = limits();
    assert!(
        ours.idle_timeout < Duration::from_secs(5),
        "the settings' keepalive"
    );
    for (idle_timeout, closed) in [
        (Duration::from_millis(50), true),
        (ours.idle_timeout, false),
    ] {
        let (address, told) = worker(stream(&[DONE]) + "+");
        let limits = HttpLimits {
            idle_timeout,
            reuse_threshold: Duration::ZERO,
            ..limits()
        };
        let (tell, _kept) = unbounded_channel();
        let client = WorkerClient::new(
            &limits,
            Clock::start(),
            tell,
            &[],
            RequestTemplate::default(),
            Arc::default(),
            quiet(),
        );
        for n in 0..2 {
            let mut request = order(n, 0, Clock::start().now() + 1.0);
            request.payload.non_idempotent = false;
            client.allocate(&request, address).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let told: Vec<String> = told.try_iter().collect();
        assert_eq!(told[1] == "closed", closed, "{idle_timeout:?}: {told:?}");
    }
}

#[tokio::test]
async fn what_never_ran_is_proven() {
    // Held but not listened on: given back, the port could be another test's by the time that it is dialled.
    let held = tokio::net::TcpSocket::new_v4().unwrap();
    held.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let refused = held.local_addr().unwrap();
    // Accepts, reads the start of what is sent and breaks off.
    let broken = TcpListener::bind("127.0.0.1:0").unwrap();
    let breaks = broken.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in broken.incoming() {
            stream.unwrap().read_exact(&mut [0; 64]).ok();
        }
    });
    // Never accepts, with no queue to speak of: further connections never come up.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let never_up = socket.local_addr().unwrap();
    let _full = socket.listen(0).unwrap();
    let _queued: Vec<_> = (0..4)
        .map(|_| TcpStream::connect_timeout(&never_up, Duration::from_millis(50)))
        .collect();
    let short = HttpLimits {
        max_worker_connections: 0,
        ..limits()
    };
    let hasty = HttpLimits {
        last_byte_delay: Duration::ZERO,
        ..limits()
    };
    let cases = [
        ("refused", refused, 10, limits(), "NoConnection"),
        ("never up", never_up, 10, limits(), "NoConnection"),
        ("no descriptor to spare", breaks, 10, short, "Moot"),
        (
            "broken off before the last byte was written",
            breaks,
            32 << 20,
            limits(),
            "NoConnection",
        ),
        (
            "reset under it, while its last byte waits",
            breaks,
            10,
            limits(),
            "NoConnection",
        ),
        ("broken off after it", breaks, 10, hasty, "Dropped"),
        (
            "broken off after it, without a body",
            breaks,
            0,
            limits(),
            "Dropped",
        ),
    ];
    for (shown, address, body, limits, outcome) in cases {
        let began = Instant::now();
        assert_eq!(
            play(address, &limits, body, 1, 5.0).await,
            [outcome],
            "{shown}"
        );
        assert!(
            began.elapsed() < Duration::from_secs(2),
            "{shown}: a bounded wait"
        );
    }
}

/// Taken back while there is no connection yet, while it waits for a link or while its last byte does, nothing more of it
/// is written, and that it never ran is told at once. Once it is whole it stays out.
#[tokio::test]
async fn what_is_taken_back_is_written_no_further() {
    // One whose connections come up only when they are accepted: its queue holds no more than two.
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let late = socket.local_addr().unwrap();
    let listener = socket.listen(0).unwrap().into_std().unwrap();
    listener.set_nonblocking(false).unwrap();
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&late, Duration::from_millis(50)) {
        queued.push(stream);
    }
    let seconds = Duration::from_secs;
    let patient = HttpLimits {
        dial_timeout: seconds(4),
        last_byte_delay: seconds(4),
        ..limits()
    };
    let whole = HttpLimits {
        last_byte_delay: Duration::ZERO,
        ..patient.clone()
    };
    for (shown, limits, dials, outcome) in [
        ("dialling", patient.clone(), true, "Full"),
        (
            "waiting for a link",
            HttpLimits {
                max_worker_connections: 0,
                ..patient.clone()
            },
            true,
            "Full",
        ),
        ("its last byte waits", patient.clone(), false, "Full"),
        ("whole", whole, false, "Completed"),
    ] {
        let at = TcpListener::bind("127.0.0.1:0").unwrap();
        let (to, clock) = (
            if dials {
                late
            } else {
                at.local_addr().unwrap()
            },
            Clock::start(),
        );
        let (tell, mut told) = unbounded_channel();
        let client = WorkerClient::new(
            &limits,
            clock,
            tell,
            &[],
            RequestTemplate::default(),
            Arc::default(),
            quiet(),
        );
        let request = order(0, 2, clock.now() + 20.0);
        let withdrawn = request.withdrawn.clone();
        let task = tokio::spawn(async move { client.allocate(&request, to).await });
        // The fact that it is on its way: its head is there, or it waits where nobody can see it.
        let mut stream = None;
        if !dials {
            stream = Some(tokio::task::spawn_blocking(move || {
                let (mut stream, _) = at.accept().unwrap();
                let (mut got, wanted) = (
                    Vec::new(),
                    if outcome == "Full" {
                        "\r\n\r\nx"
                    } else {
                        "\r\n\r\nxx"
                    },
                );
                while !String::from_utf8_lossy(&got).ends_with(wanted) {
                    let mut byte = [0];
                    stream.read_exact(&mut byte).unwrap();
                    got.extend(byte);
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
        let began = Instant::now();
        let Ok(Some(Event::Finished(back))) = timeout(limits.dial_timeout / 2, told.recv()).await
        else {
            panic!("{shown}: nothing is told")
        };
        assert_eq!(format!("{:?}", back.outcome), outcome, "{shown}");
        assert!(
            began.elapsed() < limits.dial_timeout / 8,
            "{shown}: at once"
        );
        task.await.unwrap();
        if let Some(mut stream) = stream.filter(|_| outcome == "Full") {
            let mut rest = Vec::new();
            stream.read_to_end(&mut rest).ok();
            assert!(rest.is_empty(), "{shown}: {rest:?}");
        }
    }
    // Now the connection could come up: whoever comes has nothing to say.
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
                "a byte came after all"
            );
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn giving_up_closes_the_connection() {
    for (shown, answer) in [
        ("before an answer", "|"),
        ("after its head", "HTTP/1.1 200 OK\r\n\r\n|"),
    ] {
        let (address, told) = worker(answer.into());
        let clock = Clock::start();
        let (tell, _kept) = unbounded_channel();
        let client = WorkerClient::new(
            &limits(),
            clock,
            tell,
            &[],
            RequestTemplate::default(),
            Arc::default(),
            quiet(),
        );
        let task = tokio::spawn(async move {
            client
                .allocate(&order(0, 0, clock.now() + 9.0), address)
                .await;
        });
        // Waits without stopping the client, which shares the thread.
        let next = async |most: u64| {
            for _ in 0..most / 5 {
                if let Ok(heard) = told.try_recv() {
                    return heard;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            "nothing".to_string()
        };
        assert!(next(2000).await.starts_with("post"), "{shown}");
        assert_eq!(next(200).await, "nothing", "{shown}: still open");
        task.abort();
        assert_eq!(next(2000).await, "closed", "{shown}");
    }
}

/// A watch that says nothing, or nothing that can be read, ends, and the decisions are told.
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
    let (after, whole) = (Some(7), None);
    let cases = [
        ("silent from the start", after, "|".to_string(), 0, "silent"),
        (
            "silent after a line",
            after,
            cut(&[LINE]) + "|",
            1,
            "silent",
        ),
        (
            "half a line, then silence",
            after,
            cut(&[LINE]) + "9\r\n{\"version|",
            1,
            "silent",
        ),
        ("ended", after, stream(&["", LINE, "", LINE]), 2, "it ended"),
        ("broken off", after, cut(&[LINE]), 1, "broken off"),
        ("no list", after, stream(&["[]"]), 0, "a bad line"),
        (
            "indented, within lines, and empty ones",
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
            "it ended",
        ),
        (
            "indented, ended within",
            after,
            stream(&["{", "\"version\":1,"]),
            0,
            "ended within",
        ),
        (
            "indented, silent within",
            after,
            cut(&["{", "\"version\":1,"]) + "|",
            0,
            "silent",
        ),
        (
            "indented, with no end",
            after,
            stream(
                &["{\"version\":1,"; 1]
                    .iter()
                    .chain([""; 600].iter())
                    .copied()
                    .collect::<Vec<_>>(),
            ),
            0,
            "a bad line",
        ),
        (
            "two in a row that are none",
            after,
            stream(&["{", "}"]),
            0,
            "a bad line",
        ),
        (
            "too long a line",
            after,
            stream(&[&" ".repeat(1000)]),
            0,
            "a line of over 500 bytes",
        ),
        (
            "busy",
            after,
            "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n".into(),
            0,
            "answered 503",
        ),
        // The whole list comes first, by a call of its own; the watch is answered with the same here.
        ("whole, then watched", whole, plain(LINE), 2, "it ended"),
        ("whole, silent", whole, "|".to_string(), 0, "silent"),
        (
            "whole, silent half way",
            whole,
            plain(LINE)[..60].to_string() + "|",
            0,
            "silent",
        ),
        (
            "whole, broken off",
            whole,
            plain(LINE)[..60].to_string(),
            0,
            "no whole list",
        ),
        (
            "whole, too long",
            whole,
            plain(&" ".repeat(1000)),
            0,
            "no whole list",
        ),
        ("whole, no list", whole, plain("[]"), 0, "a bad list"),
        (
            "whole, a part",
            whole,
            plain(&LINE.replace("true", "false")),
            0,
            "not the whole",
        ),
        (
            "whole, busy",
            whole,
            "HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n".into(),
            0,
            "answered 503",
        ),
    ];
    for (shown, after, answer, lists, why) in cases {
        let (address, _told) = worker(answer);
        let soon = Duration::from_millis(200);
        let limits = HttpLimits {
            list_idle_timeout: soon,
            list_call_timeout: soon,
            max_list_line_bytes: 500,
            ..limits()
        };
        let heard = Cell::new(0);
        let said = ListClient::new(&limits, address)
            .watch(after, |_| heard.set(heard.get() + 1))
            .await;
        assert!(said.contains(why), "{shown}: {said}");
        assert_eq!(heard.get(), lists, "{shown}");
    }
}

/// Receipted work goes on in its own cell alone, so that two cells must not pass for one, whatever their numbers.
#[tokio::test]
async fn cells_are_told_apart() {
    let (tell, _) = unbounded_channel();
    let worker_client = WorkerClient::new(
        &limits(),
        Clock::start(),
        tell,
        &[],
        RequestTemplate::default(),
        Arc::default(),
        quiet(),
    );
    let reading = ListDecoder {
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
    let told = reading.membership_update(&serde_json::from_str(&list).unwrap());
    let mut cells: Vec<u64> = told
        .members
        .iter()
        .map(|member| member.entry.cell)
        .collect();
    cells.dedup();
    assert_eq!(cells, [0, 1, 1 << 16, 1 << 32, u64::MAX]);
}

#[tokio::test]
async fn what_goes_on_is_what_came() {
    let (address, told) = worker(stream(&[DONE]) + "+");
    assert_eq!(
        play(address, &limits(), 5, 2, 1.0).await,
        ["done yes", "done yes"]
    );
    let request = told.recv().unwrap();
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
        told.iter().find(|t| t != "closed").unwrap().len(),
        request.len(),
        "the second"
    );
}

/// Lets pay or not, and counts what was paid and not taken back.
#[derive(Debug)]
struct Counted(bool, AtomicI32);

impl Reservation for Counted {
    fn commit(&self) -> bool {
        self.1.fetch_add(i32::from(self.0), Relaxed);
        self.0
    }
    fn refund(&self) {
        self.1.fetch_sub(1, Relaxed);
    }
}

/// An allocation is paid once, in the write that makes it whole; unpaid its last byte does not go, and that is nobody's
/// fault.
#[tokio::test]
async fn what_is_not_paid_is_not_sent() {
    for body in [0, 1, 5, 60_000] {
        for pays in [true, false] {
            let (address, seen) = worker(stream(&[STARTED, DONE]));
            let clock = Clock::start();
            let (tell, mut told) = unbounded_channel();
            let worded = RequestTemplate::default();
            let client =
                WorkerClient::new(&limits(), clock, tell, &[], worded, Arc::default(), quiet());
            let reservation = Arc::new(Counted(pays, AtomicI32::new(0)));
            let request = AllocationRequest {
                reservation: Some(reservation.clone()),
                ..order(0, body, clock.now() + 2.0)
            };
            client.allocate(&request, address).await;
            drop(client);
            let mut outcome = None;
            while let Some(event) = told.recv().await {
                if let Event::Finished(back) = event {
                    outcome = Some(back.outcome);
                }
            }
            let expected = if pays {
                Outcome::Completed
            } else {
                Outcome::Moot
            };
            assert_eq!(
                (outcome, reservation.1.load(Relaxed)),
                (Some(expected), i32::from(pays)),
                "{body} {pays}"
            );
            let whole = seen
                .recv_timeout(Duration::from_secs(2))
                .is_ok_and(|said| said != "closed");
            assert_eq!(whole, pays, "{body} {pays}");
        }
    }
}
