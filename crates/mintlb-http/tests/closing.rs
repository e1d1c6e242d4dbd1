//! Clients' connections at each standing, on loopback and one thread: what is answered, and which go on.

mod machine;

use machine::{Served, answer, served};
use mintlb_core::lifecycle::LifecycleEvent;
use mintlb_core::reducer::Event;
use mintlb_core::work::Answer;
use std::io::Write;
use std::net::TcpStream as Raw;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// A front each work unit of which is completed at once.
async fn serve() -> Served {
    let (served, mut events) = served().await;
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            if let Event::Submitted(arrival) = event {
                arrival.responder.respond(Answer::Completed("yes".into()));
            }
        }
    });
    served
}

fn request(id: u32) -> String {
    format!("POST /w HTTP/1.1\r\nhost: x\r\nrequest-id: {id}\r\ncontent-length: 2\r\n\r\nhi")
}

/// A request that was written before an idle connection was to close, but that nobody has told us of, is answered.
#[tokio::test]
async fn what_waits_unread_is_answered_before_the_connection_closes() {
    let served = serve().await;
    let raw = Raw::connect(served.address).unwrap();
    raw.set_nonblocking(true).unwrap();
    let mut behind = raw.try_clone().unwrap();
    let mut stream = TcpStream::from_std(raw).unwrap();
    stream.write_all(request(1).as_bytes()).await.unwrap();
    assert!(answer(&mut stream).await.ends_with("yes"));
    // In one step of this thread: nothing else can have looked at the sockets in between.
    behind.write_all(request(2).as_bytes()).unwrap();
    served
        .lifecycle
        .lock()
        .apply(served.clock.now(), LifecycleEvent::Leave)
        .unwrap();
    served.frontend.close_idle();
    let got = answer(&mut stream).await;
    assert!(
        got.ends_with("yes") && got.contains("connection: close"),
        "{got:?}"
    );
}

/// A request of which the system has told us, but that nobody has read when its idle connection is to close, is answered:
/// whole or in part, whoever closes the connection.
#[tokio::test]
async fn what_is_read_as_the_connection_is_to_close_is_answered() {
    for (shown, crowded) in [("it leaves", false), ("to make room", true)] {
        for part in [1, request(2).len() - 1, request(2).len()] {
            let served = serve().await;
            let raw = Raw::connect(served.address).unwrap();
            raw.set_nonblocking(true).unwrap();
            let mut behind = raw.try_clone().unwrap();
            let mut stream = TcpStream::from_std(raw).unwrap();
            stream.write_all(request(1).as_bytes()).await.unwrap();
            assert!(answer(&mut stream).await.ends_with("yes"));
            // The next turn of this thread hears from the system first, and then goes on here before any other task.
            behind.write_all(&request(2).as_bytes()[..part]).unwrap();
            yield_now().await;
            if crowded {
                assert!(served.frontend.evict_one(), "it is the only one, and idle");
            } else {
                served
                    .lifecycle
                    .lock()
                    .apply(served.clock.now(), LifecycleEvent::Leave)
                    .unwrap();
                served.frontend.close_idle();
            }
            yield_now().await;
            behind.write_all(&request(2).as_bytes()[part..]).unwrap();
            let got = answer(&mut stream).await;
            assert!(
                got.ends_with("yes"),
                "{shown}, {part} bytes were there: {got:?}"
            );
        }
    }
}

/// Whatever a client sends beyond one request at a time ends its connection with an error, at each standing alike.
#[tokio::test]
async fn pipelining_is_refused_at_each_standing() {
    for (shown, word) in [
        ("ready", None),
        ("leaving", Some(LifecycleEvent::Leave)),
        (
            "stopping",
            Some(LifecycleEvent::Stop {
                has_successor: false,
            }),
        ),
        (
            "succeeded",
            Some(LifecycleEvent::Stop {
                has_successor: true,
            }),
        ),
    ] {
        let served = serve().await;
        word.into_iter().for_each(|word| {
            served
                .lifecycle
                .lock()
                .apply(served.clock.now(), word)
                .unwrap()
        });
        let mut stream = TcpStream::connect(served.address).await.unwrap();
        stream
            .write_all((request(1) + &request(2)).as_bytes())
            .await
            .unwrap();
        let got = answer(&mut stream).await;
        assert!(
            got.starts_with("HTTP/1.1 400") && !got.contains("yes"),
            "{shown}: {got:?}"
        );
        let mut usual = TcpStream::connect(served.address).await.unwrap();
        usual.write_all(request(3).as_bytes()).await.unwrap();
        let got = answer(&mut usual).await;
        assert!(got.ends_with("yes"), "{shown}: {got:?}");
        assert_eq!(
            got.contains("connection: close"),
            word.is_some(),
            "{shown}: {got:?}"
        );
    }
}
