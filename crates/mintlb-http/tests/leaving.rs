//! Clients that leave while their work unit waits, on loopback and one thread: the core hears of it, however they leave
//! and whatever lies unread behind their request.

mod machine;

use machine::{answer, limits, served};
use mintlb_core::reducer::Event;
use mintlb_core::work::Answer;
use nix::sys::socket::{setsockopt, sockopt::Linger};
use std::collections::HashSet;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

const SIZED: &str = "POST /w HTTP/1.1\r\nhost: x\r\nrequest-id: ID\r\ncontent-length: 2\r\n\r\nhi";
const CLOSING: &str = "POST /w HTTP/1.1\r\nhost: x\r\nrequest-id: ID\r\nconnection: close\r\ncontent-length: 2\r\n\r\nhi";
const OLD: &str = "POST /w HTTP/1.0\r\nhost: x\r\nrequest-id: ID\r\ncontent-length: 2\r\n\r\nhi";
const CHUNKED: &str = "POST /w HTTP/1.1\r\nhost: x\r\nrequest-id: ID\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";

/// How a client leaves: by an end of its side alone, by closing, or by a reset.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    Ends,
    Closes,
    Resets,
}

async fn leave(mut stream: TcpStream, how: Leaves) -> Option<TcpStream> {
    match how {
        Leaves::Ends => {
            stream.shutdown().await.unwrap();
            return Some(stream);
        }
        Leaves::Closes => {}
        Leaves::Resets => setsockopt(
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

/// By then the core has to know: a tenth of what the term allows from the leave to the last send.
const SOON: Duration = Duration::from_millis(30);

#[tokio::test]
async fn the_core_hears_that_a_client_has_left() {
    let half = &SIZED[..40];
    // What comes with the request, in the same write, and what comes once it has been taken.
    let cases = [
        ("nothing behind it", SIZED, String::new(), String::new()),
        ("it was to close", CLOSING, String::new(), String::new()),
        ("of the old version", OLD, String::new(), String::new()),
        ("in chunks", CHUNKED, String::new(), String::new()),
        ("a byte behind it", SIZED, String::new(), "x".into()),
        ("half a second request", SIZED, String::new(), half.into()),
        ("a second request", SIZED, String::new(), SIZED.into()),
        (
            "a second request in chunks",
            CHUNKED,
            String::new(),
            CHUNKED.into(),
        ),
        (
            "more than a buffer",
            SIZED,
            String::new(),
            "x".repeat(1 << 20),
        ),
        (
            "in chunks, a byte behind it",
            CHUNKED,
            "x".into(),
            String::new(),
        ),
        (
            "in chunks, a second request",
            CHUNKED,
            CHUNKED.into(),
            String::new(),
        ),
        (
            "in chunks, one and then another",
            CHUNKED,
            CHUNKED.into(),
            SIZED.into(),
        ),
        (
            "in chunks, more than a buffer",
            CHUNKED,
            "x".repeat(60_000),
            "x".repeat(1 << 20),
        ),
        (
            "it was to close, and more came",
            CLOSING,
            String::new(),
            SIZED.into(),
        ),
    ];
    let (served, mut events) = served().await;
    let mut id = 0;
    for how in [Leaves::Ends, Leaves::Closes, Leaves::Resets] {
        for (shown, request, with, behind) in &cases {
            id += 1;
            let mut stream = TcpStream::connect(served.address).await.unwrap();
            let request = request.replace("ID", &id.to_string()) + with;
            stream.write_all(request.as_bytes()).await.unwrap();
            let Some(Event::Submitted(arrival)) = events.recv().await else {
                panic!("{shown}: not taken")
            };
            stream.write_all(behind.as_bytes()).await.unwrap();
            let _open = leave(stream, how).await;
            match timeout(SOON, events.recv()).await {
                Ok(Some(Event::ClientLeft(left))) => {
                    assert_eq!(left, arrival.id, "{shown}, {how:?}")
                }
                Ok(_) => panic!("{shown}, {how:?}: something else"),
                Err(_) => panic!("{shown}, {how:?}: nothing is heard"),
            }
        }
    }
}

/// Who goes on sending behind its request, and stays, still gets its answer, and then its connection ends.
#[tokio::test]
async fn who_stays_is_answered_whatever_it_sends_behind() {
    // More than sockets hold: once it is written, some of it has been read.
    let much = "x".repeat(32 << 20);
    let bound = limits().read_timeout;
    for (shown, request, behind) in [
        ("much", SIZED, &much),
        ("requests", SIZED, &SIZED.repeat((16 << 20) / SIZED.len())),
        ("much, in chunks", CHUNKED, &much),
    ] {
        let (served, mut events) = served().await;
        let mut stream = TcpStream::connect(served.address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let Some(Event::Submitted(arrival)) = events.recv().await else {
            panic!("{shown}: not taken")
        };
        let written = timeout(bound, stream.write_all(behind.as_bytes())).await;
        assert!(
            written.is_ok_and(|w| w.is_ok()),
            "{shown}: it is read to its end"
        );
        arrival.responder.respond(Answer::Completed("yes".into()));
        let got = answer(&mut stream).await;
        assert!(
            got.starts_with("HTTP/1.1 200") && got.ends_with("yes"),
            "{shown}: {got:?}"
        );
        assert!(got.contains("connection: close"), "{shown}: {got:?}");
    }
}

/// Hundreds that leave at once are each heard of.
#[tokio::test]
async fn each_of_a_burst_is_heard_of() {
    let (served, mut events) = served().await;
    let (mut streams, mut waiting) = (Vec::new(), HashSet::new());
    for id in 0..60 {
        let mut stream = TcpStream::connect(served.address).await.unwrap();
        stream
            .write_all(SIZED.replace("ID", &id.to_string()).as_bytes())
            .await
            .unwrap();
        let Some(Event::Submitted(arrival)) = events.recv().await else {
            panic!("not taken")
        };
        waiting.insert(arrival.id);
        // Kept, as whose answer is dropped is answered.
        streams.push((stream, arrival));
    }
    let (streams, _arrivals): (Vec<_>, Vec<_>) = streams.into_iter().unzip();
    for (n, stream) in streams.into_iter().enumerate() {
        let how = [Leaves::Ends, Leaves::Closes, Leaves::Resets][n % 3];
        std::mem::forget(leave(stream, how).await);
    }
    while !waiting.is_empty() {
        match timeout(SOON * 4, events.recv()).await {
            Ok(Some(Event::ClientLeft(left))) => assert!(waiting.remove(&left), "once each"),
            _ => panic!("{} are not heard of", waiting.len()),
        }
    }
}
