//! Clients that disconnect while their work unit is in flight, on one thread: the core is notified, in whatever way
//! they disconnect and whatever unread bytes follow their request.

mod support;

use mintlb_core::reducer::Event;
use mintlb_core::work::Answer;
use nix::sys::socket::{setsockopt, sockopt::Linger};
use std::collections::HashSet;
use std::time::Duration;
use support::{limits, read_answer, start_frontend};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

const WITH_LENGTH: &str =
    "POST /w HTTP/1.1\r\nhost: x\r\nrequest-id: ID\r\ncontent-length: 2\r\n\r\nhi";
const CLOSING: &str = "POST /w HTTP/1.1\r\nhost: x\r\nrequest-id: ID\r\nconnection: close\r\ncontent-length: 2\r\n\r\nhi";
const HTTP_1_0: &str =
    "POST /w HTTP/1.0\r\nhost: x\r\nrequest-id: ID\r\ncontent-length: 2\r\n\r\nhi";
const CHUNKED: &str = "POST /w HTTP/1.1\r\nhost: x\r\nrequest-id: ID\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";

/// How a client disconnects: by shutting down its sending side only, by closing, or by a reset.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    HalfClose,
    Close,
    Reset,
}

async fn disconnect_client(mut stream: TcpStream, disconnect: Disconnect) -> Option<TcpStream> {
    match disconnect {
        Disconnect::HalfClose => {
            stream.shutdown().await.unwrap();
            return Some(stream);
        }
        Disconnect::Close => {}
        Disconnect::Reset => setsockopt(
            &stream,
            Linger,
            &libc::linger {
                l_onoff: 1,
                l_linger: 0,
            },
        )
        .unwrap(),
    }
    None
}

/// The core must be notified within this time: a tenth of the time allowed from the disconnect to the last attempt.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(30);

#[tokio::test]
async fn the_core_is_notified_of_each_kind_of_disconnect() {
    let half_request = &WITH_LENGTH[..40];
    // Description, request, bytes in the same write as the request, bytes after the request was accepted.
    let cases = [
        (
            "nothing after the request",
            WITH_LENGTH,
            String::new(),
            String::new(),
        ),
        ("connection: close", CLOSING, String::new(), String::new()),
        ("HTTP/1.0", HTTP_1_0, String::new(), String::new()),
        ("chunked", CHUNKED, String::new(), String::new()),
        (
            "one byte after the request",
            WITH_LENGTH,
            String::new(),
            "x".into(),
        ),
        (
            "half a second request",
            WITH_LENGTH,
            String::new(),
            half_request.into(),
        ),
        (
            "a second request",
            WITH_LENGTH,
            String::new(),
            WITH_LENGTH.into(),
        ),
        (
            "a second chunked request",
            CHUNKED,
            String::new(),
            CHUNKED.into(),
        ),
        (
            "more than a buffer of bytes",
            WITH_LENGTH,
            String::new(),
            "x".repeat(1 << 20),
        ),
        (
            "chunked, one byte after it",
            CHUNKED,
            "x".into(),
            String::new(),
        ),
        (
            "chunked, a second request",
            CHUNKED,
            CHUNKED.into(),
            String::new(),
        ),
        (
            "chunked, a second and a third request",
            CHUNKED,
            CHUNKED.into(),
            WITH_LENGTH.into(),
        ),
        (
            "chunked, more than a buffer of bytes",
            CHUNKED,
            "x".repeat(60_000),
            "x".repeat(1 << 20),
        ),
        (
            "connection: close, and a second request",
            CLOSING,
            String::new(),
            WITH_LENGTH.into(),
        ),
    ];
    let (frontend, mut events) = start_frontend().await;
    let mut id = 0;
    for disconnect in [Disconnect::HalfClose, Disconnect::Close, Disconnect::Reset] {
        for (case, request, same_write, after_accept) in &cases {
            id += 1;
            let mut stream = TcpStream::connect(frontend.address).await.unwrap();
            let request = request.replace("ID", &id.to_string()) + same_write;
            stream.write_all(request.as_bytes()).await.unwrap();
            let Some(Event::Submitted(submission)) = events.recv().await else {
                panic!("{case}: not accepted")
            };
            stream.write_all(after_accept.as_bytes()).await.unwrap();
            let _half_closed = disconnect_client(stream, disconnect).await;
            match timeout(MAX_NOTICE_DELAY, events.recv()).await {
                Ok(Some(Event::ClientLeft(reported_id))) => {
                    assert_eq!(reported_id, submission.id, "{case}, {disconnect:?}")
                }
                Ok(_) => panic!("{case}, {disconnect:?}: another event"),
                Err(_) => panic!("{case}, {disconnect:?}: not reported"),
            }
        }
    }
}

/// A client that keeps sending after its request, and stays connected, gets its response, and then its connection is
/// closed.
#[tokio::test]
async fn a_client_that_keeps_sending_is_answered() {
    // More than the socket buffers hold: when all is written, some of it has been read.
    let large = "x".repeat(32 << 20);
    let write_timeout = limits().read_timeout;
    for (case, request, after_accept) in [
        ("many bytes", WITH_LENGTH, &large),
        (
            "requests",
            WITH_LENGTH,
            &WITH_LENGTH.repeat((16 << 20) / WITH_LENGTH.len()),
        ),
        ("many bytes, chunked", CHUNKED, &large),
    ] {
        let (frontend, mut events) = start_frontend().await;
        let mut stream = TcpStream::connect(frontend.address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let Some(Event::Submitted(submission)) = events.recv().await else {
            panic!("{case}: not accepted")
        };
        let written = timeout(write_timeout, stream.write_all(after_accept.as_bytes())).await;
        assert!(
            written.is_ok_and(|w| w.is_ok()),
            "{case}: the bytes after the request are not read to the end"
        );
        submission
            .responder
            .respond(Answer::Completed("yes".into()));
        let received = read_answer(&mut stream).await;
        assert!(
            received.starts_with("HTTP/1.1 200") && received.ends_with("yes"),
            "{case}: {received:?}"
        );
        assert!(
            received.contains("connection: close"),
            "{case}: {received:?}"
        );
    }
}

/// Each of many simultaneous disconnects is reported.
#[tokio::test]
async fn every_disconnect_of_a_burst_is_reported() {
    let (frontend, mut events) = start_frontend().await;
    let (mut streams, mut expected) = (Vec::new(), HashSet::new());
    for id in 0..60 {
        let mut stream = TcpStream::connect(frontend.address).await.unwrap();
        stream
            .write_all(WITH_LENGTH.replace("ID", &id.to_string()).as_bytes())
            .await
            .unwrap();
        let Some(Event::Submitted(submission)) = events.recv().await else {
            panic!("not accepted")
        };
        expected.insert(submission.id);
        // Kept, as dropping the responder would answer the request.
        streams.push((stream, submission));
    }
    let (streams, _submissions): (Vec<_>, Vec<_>) = streams.into_iter().unzip();
    for (n, stream) in streams.into_iter().enumerate() {
        let disconnect = [Disconnect::HalfClose, Disconnect::Close, Disconnect::Reset][n % 3];
        std::mem::forget(disconnect_client(stream, disconnect).await);
    }
    while !expected.is_empty() {
        match timeout(MAX_NOTICE_DELAY * 4, events.recv()).await {
            Ok(Some(Event::ClientLeft(reported_id))) => {
                assert!(
                    expected.remove(&reported_id),
                    "a disconnect must be reported once"
                )
            }
            _ => panic!("{} disconnects were not reported", expected.len()),
        }
    }
}
