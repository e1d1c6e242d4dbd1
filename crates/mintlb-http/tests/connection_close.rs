//! Client connections in each lifecycle state, on one thread: which requests are answered, and which connections are
//! kept open.

mod support;

use mintlb_core::lifecycle::LifecycleEvent;
use mintlb_core::reducer::Event;
use mintlb_core::work::Answer;
use std::io::Write;
use std::net::TcpStream as StdTcpStream;
use support::{TestFrontend, read_answer, start_frontend};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::yield_now;

/// Starts a frontend whose work units are completed at once.
async fn start_completing_frontend() -> TestFrontend {
    let (test_frontend, mut events) = start_frontend().await;
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            if let Event::Submitted(submission) = event {
                submission
                    .responder
                    .respond(Answer::Completed("yes".into()));
            }
        }
    });
    test_frontend
}

fn request(id: u32) -> String {
    format!("POST /w HTTP/1.1\r\nhost: x\r\nrequest-id: {id}\r\ncontent-length: 2\r\n\r\nhi")
}

/// Guards against losing a request that was written before an idle connection was asked to close, but that the
/// operating system has not signalled to the runtime yet.
#[tokio::test]
async fn a_request_not_yet_signalled_is_answered_before_an_idle_close() {
    let test_frontend = start_completing_frontend().await;
    let blocking_stream = StdTcpStream::connect(test_frontend.address).unwrap();
    blocking_stream.set_nonblocking(true).unwrap();
    let mut second_handle = blocking_stream.try_clone().unwrap();
    let mut stream = TcpStream::from_std(blocking_stream).unwrap();
    stream.write_all(request(1).as_bytes()).await.unwrap();
    assert!(read_answer(&mut stream).await.ends_with("yes"));
    // Without a yield in between, so that no other task can have polled the sockets.
    second_handle.write_all(request(2).as_bytes()).unwrap();
    test_frontend
        .lifecycle
        .lock()
        .apply(test_frontend.clock.now(), LifecycleEvent::Leave)
        .unwrap();
    test_frontend.frontend.close_idle();
    let received = read_answer(&mut stream).await;
    assert!(
        received.ends_with("yes") && received.contains("connection: close"),
        "{received:?}"
    );
}

/// Guards against losing a request, complete or partial, that was signalled to the runtime but not read when its idle
/// connection is closed, by a lifecycle change or by an eviction.
#[tokio::test]
async fn a_request_not_yet_read_is_answered_before_an_idle_close() {
    for (case, by_eviction) in [("leaving", false), ("eviction", true)] {
        for split_at in [1, request(2).len() - 1, request(2).len()] {
            let test_frontend = start_completing_frontend().await;
            let blocking_stream = StdTcpStream::connect(test_frontend.address).unwrap();
            blocking_stream.set_nonblocking(true).unwrap();
            let mut second_handle = blocking_stream.try_clone().unwrap();
            let mut stream = TcpStream::from_std(blocking_stream).unwrap();
            stream.write_all(request(1).as_bytes()).await.unwrap();
            assert!(read_answer(&mut stream).await.ends_with("yes"));
            // The runtime polls the operating system at the yield, and resumes this task before any other.
            second_handle
                .write_all(&request(2).as_bytes()[..split_at])
                .unwrap();
            yield_now().await;
            if by_eviction {
                assert!(
                    test_frontend.frontend.evict_one(),
                    "the only connection is idle and must be evicted"
                );
            } else {
                test_frontend
                    .lifecycle
                    .lock()
                    .apply(test_frontend.clock.now(), LifecycleEvent::Leave)
                    .unwrap();
                test_frontend.frontend.close_idle();
            }
            yield_now().await;
            second_handle
                .write_all(&request(2).as_bytes()[split_at..])
                .unwrap();
            let received = read_answer(&mut stream).await;
            assert!(
                received.ends_with("yes"),
                "{case}, {split_at} bytes had arrived: {received:?}"
            );
        }
    }
}

/// Pipelined requests end the connection with an error response in every lifecycle state.
#[tokio::test]
async fn pipelining_is_refused_in_every_lifecycle_state() {
    for (case, lifecycle_event) in [
        ("ready", None),
        ("leaving", Some(LifecycleEvent::Leave)),
        (
            "stopping",
            Some(LifecycleEvent::Stop {
                has_successor: false,
            }),
        ),
        (
            "stopping with a successor",
            Some(LifecycleEvent::Stop {
                has_successor: true,
            }),
        ),
    ] {
        let test_frontend = start_completing_frontend().await;
        lifecycle_event.into_iter().for_each(|lifecycle_event| {
            test_frontend
                .lifecycle
                .lock()
                .apply(test_frontend.clock.now(), lifecycle_event)
                .unwrap()
        });
        let mut stream = TcpStream::connect(test_frontend.address).await.unwrap();
        stream
            .write_all((request(1) + &request(2)).as_bytes())
            .await
            .unwrap();
        let received = read_answer(&mut stream).await;
        assert!(
            received.starts_with("HTTP/1.1 400") && !received.contains("yes"),
            "{case}: {received:?}"
        );
        let mut next_client = TcpStream::connect(test_frontend.address).await.unwrap();
        next_client.write_all(request(3).as_bytes()).await.unwrap();
        let received = read_answer(&mut next_client).await;
        assert!(received.ends_with("yes"), "{case}: {received:?}");
        assert_eq!(
            received.contains("connection: close"),
            lifecycle_event.is_some(),
            "{case}: {received:?}"
        );
    }
}
