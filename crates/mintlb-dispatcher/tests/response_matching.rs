//! Matching of responses to requests, with one invalid or surplus message of a worker at a time. A response to another
//! request is never forwarded, a connection with unexpected bytes is not reused, and a non-idempotent request never runs
//! twice.

mod harness;

use harness::raw::{RawConnection, RawWorker, not_executed_response, ok_response};
use harness::{CONFIGURATION, Client, TestDispatcher, Worker, run_single_threaded};
use mintlb_common::record::WorkerState;
use std::time::Duration;
use tokio::time::{advance, pause, resume, timeout};

/// Length in bytes of a body that exceeds the socket buffers on loopback.
const LONG_BODY_LENGTH: usize = 24 << 20;

async fn with_raw_worker() -> (TestDispatcher, RawWorker) {
    let dispatcher = TestDispatcher::start().await;
    let worker = RawWorker::start("i-1", "s").await;
    // A long target, so that pauses of the test on a busy machine don't exceed it.
    let configuration = CONFIGURATION
        .replace("\"max_body_bytes\":4096", "\"max_body_bytes\":30000000")
        .replace("\"target_latency_ms\":300", "\"target_latency_ms\":3000");
    dispatcher.configure(&configuration).await;
    dispatcher.set_raw_worker(&worker).await;
    (dispatcher, worker)
}

async fn add_worker(dispatcher: &TestDispatcher) -> Worker {
    let worker = Worker::start("i-2", "s").await;
    dispatcher
        .set_worker(&worker, WorkerState::InService, 1)
        .await;
    worker
}

async fn send_request(dispatcher: &TestDispatcher, path: &str, id: &str, body: &str) -> Client {
    let mut client = dispatcher.connect().await;
    client.send_request(path, id, "", body).await;
    client
}

/// A client whose request `a` has its response, and the worker's connection that carried it.
async fn complete_first_request(
    dispatcher: &TestDispatcher,
    worker: &RawWorker,
    path: &str,
) -> (Client, RawConnection) {
    let mut client = send_request(dispatcher, path, "a", "").await;
    let first = respond_on_new_connection(worker, &mut client, "a").await;
    (client, first)
}

/// Responds to the client's request `id`, which has to arrive on a new connection.
async fn respond_on_new_connection(
    worker: &RawWorker,
    client: &mut Client,
    id: &str,
) -> RawConnection {
    let mut connection = worker.accept().await;
    connection.read_request().await;
    connection.respond(id, id).await;
    assert_eq!(client.read_response().await.text(), id);
    connection
}

#[test]
fn connection_is_not_reused_after_a_late_response_to_another_request() {
    run_single_threaded(async {
        for path in ["/o/1", "/p/1"] {
            let (dispatcher, worker) = with_raw_worker().await;
            let (mut client, mut first) = complete_first_request(&dispatcher, &worker, path).await;
            client.send_request(path, "b", "", "").await;
            first.read_request().await;
            first
                .write(&(ok_response("a", "late") + &ok_response("b", "second")))
                .await;
            assert_eq!(client.read_response().await.text(), "second");
            client.send_request(path, "c", "", "").await;
            respond_on_new_connection(&worker, &mut client, "c").await;
            assert_eq!(first.read_rest().await, b"", "{path}");
        }
    });
}

#[test]
fn idle_connection_with_a_surplus_response_is_closed() {
    run_single_threaded(async {
        for path in ["/o/1", "/p/1"] {
            let (dispatcher, worker) = with_raw_worker().await;
            let (mut client, mut first) = complete_first_request(&dispatcher, &worker, path).await;
            first.respond("a", "again").await;
            client.send_request(path, "b", "", "").await;
            respond_on_new_connection(&worker, &mut client, "b").await;
            assert_eq!(first.read_rest().await, b"", "{path}");
        }
    });
}

#[test]
fn rejected_request_is_retried_on_another_connection_to_the_same_worker() {
    run_single_threaded(async {
        let (dispatcher, worker) = with_raw_worker().await;
        let mut client = send_request(&dispatcher, "/o/1", "a", "").await;
        let mut first = worker.accept().await;
        first.read_request().await;
        first.write(&not_executed_response("a")).await;
        // On the same connection, a surplus rejection would be taken for the response to the retry, which runs.
        respond_on_new_connection(&worker, &mut client, "a").await;
    });
}

#[test]
fn response_before_the_body_was_read_is_accepted_and_ends_the_connection() {
    run_single_threaded(async {
        for path in ["/o/1", "/p/1"] {
            let (dispatcher, worker) = with_raw_worker().await;
            let body = "x".repeat(LONG_BODY_LENGTH);
            let send = async {
                let mut client = dispatcher.connect().await;
                client.send_request(path, "a", "", &body).await;
                client
            };
            let (mut client, mut early) = tokio::join!(send, worker.accept());
            early.read_head().await;
            let mut other = add_worker(&dispatcher).await;
            early.write(&not_executed_response("a")).await;
            let received = other.next_request().await;
            assert_eq!(received.body.len(), LONG_BODY_LENGTH);
            received.respond("ran").await;
            assert_eq!(client.read_response().await.text(), "ran");
            let rest = early.read_rest().await;
            assert!(
                rest.len() < LONG_BODY_LENGTH && rest.iter().all(|byte| *byte == b'x'),
                "{path}: {}",
                rest.len()
            );
        }
    });
}

#[test]
fn request_answered_before_its_last_byte_is_not_retried() {
    run_single_threaded(async {
        let (dispatcher, worker) = with_raw_worker().await;
        let mut client = send_request(&dispatcher, "/o/1", "a", "the body").await;
        let mut early = worker.accept().await;
        early.read_head().await;
        let mut other = add_worker(&dispatcher).await;
        early.respond("a", "ran").await;
        assert_eq!(client.read_response().await.text(), "ran");
        assert!(!other.has_request());
    });
}

#[test]
fn request_whose_head_reached_a_worker_is_not_retried_after_a_reset() {
    run_single_threaded(async {
        for (path, body) in [("/o/1", "the body"), ("/s/1", "prompt"), ("/o/1", "")] {
            let (dispatcher, worker) = with_raw_worker().await;
            let mut client = send_request(&dispatcher, path, "a", body).await;
            let mut connection = worker.accept().await;
            connection.read_head().await;
            let mut other = add_worker(&dispatcher).await;
            connection.reset();
            let response = client.read_response().await;
            assert_eq!(response.status, 502, "the request may have run: {path}");
            assert!(!other.has_request());
        }
    });
}

#[test]
fn response_without_a_length_ends_with_its_connection_unless_that_is_reset() {
    run_single_threaded(async {
        for path in ["/o/1", "/p/1"] {
            for status in ["200 OK", "500 Oh"] {
                let (dispatcher, worker) = with_raw_worker().await;
                let mut client = send_request(&dispatcher, path, "a", "").await;
                let mut first = worker.accept().await;
                first.read_request().await;
                let headers = "mintlb-request-id: a\r\nmintlb-response-signature: s\r\n";
                first
                    .write(&format!("HTTP/1.1 {status}\r\n{headers}\r\nall of it"))
                    .await;
                drop(first);
                let response = match (path, status) {
                    ("/p/1", "500 Oh") => {
                        let mut retried_on = worker.accept().await;
                        retried_on.read_request().await;
                        retried_on.respond("a", "all of it").await;
                        client.read_response().await
                    }
                    _ => client.read_response().await,
                };
                assert_eq!(
                    (response.text().as_str(), response.complete),
                    ("all of it", true),
                    "{path} {status}"
                );
            }
        }
        let (dispatcher, worker) = with_raw_worker().await;
        let mut client = send_request(&dispatcher, "/o/1", "a", "").await;
        let mut first = worker.accept().await;
        first.read_request().await;
        let headers = "mintlb-request-id: a\r\nmintlb-response-signature: s\r\n";
        first
            .write(&format!("HTTP/1.1 200 OK\r\n{headers}\r\npart of it"))
            .await;
        first.reset();
        assert_eq!(client.read_response().await.status, 502);
    });
}

#[test]
fn response_with_no_or_two_request_ids_is_invalid() {
    run_single_threaded(async {
        for headers in ["", "mintlb-request-id: a\r\nmintlb-request-id: b\r\n"] {
            let (dispatcher, worker) = with_raw_worker().await;
            let mut client = send_request(&dispatcher, "/o/1", "a", "").await;
            let mut first = worker.accept().await;
            first.read_request().await;
            let signature = "mintlb-response-signature: s\r\n";
            first
                .write(&format!(
                    "HTTP/1.1 200 OK\r\n{headers}{signature}content-length: 2\r\n\r\nno"
                ))
                .await;
            assert_eq!(client.read_response().await.status, 502, "{headers}");
            client.send_request("/o/1", "b", "", "").await;
            respond_on_new_connection(&worker, &mut client, "b").await;
            assert_eq!(first.read_rest().await, b"");
        }
    });
}

#[test]
fn rejection_with_an_incomplete_body_still_counts() {
    run_single_threaded(async {
        for rest in [
            "content-length: 5\r\n\r\n",
            "transfer-encoding: chunked\r\n\r\n5\r\nfu",
            "\r\n",
        ] {
            let (dispatcher, worker) = with_raw_worker().await;
            let mut client = send_request(&dispatcher, "/o/1", "a", "").await;
            let mut rejecting = worker.accept().await;
            rejecting.read_request().await;
            let mut other = add_worker(&dispatcher).await;
            let headers = "mintlb-request-id: a\r\nmintlb-not-executed: full\r\n";
            rejecting
                .write(&format!("HTTP/1.1 503 Full\r\n{headers}{rest}"))
                .await;
            let request = timeout(Duration::from_secs(1), other.next_request()).await;
            request
                .expect("the request was not retried in time")
                .respond("ran")
                .await;
            assert_eq!(client.read_response().await.text(), "ran");
            assert_eq!(rejecting.read_rest().await, b"");
        }
    });
}

/// Sends a request on a connection that the worker resets when it arrives. Returns whether the worker had not received the
/// complete head, so that the request was retried.
async fn is_retried_after_reset_of_idle_connection(path: &str, body: &str) -> bool {
    let (dispatcher, worker) = with_raw_worker().await;
    let (mut client, mut first) = complete_first_request(&dispatcher, &worker, "/o/1").await;
    // Longer than a connection is assumed to be open, and shorter than the idle timeout that the worker declares.
    pause();
    advance(Duration::from_millis(200)).await;
    resume();
    client.send_request(path, "b", "", body).await;
    first.read_some().await;
    let may_run = first.read.windows(4).any(|end| end == b"\r\n\r\n");
    first.reset();
    if may_run {
        assert_eq!(client.read_response().await.status, 502, "{path}");
        return false;
    }
    let mut second = worker.accept().await;
    assert_eq!(second.read_request().await.1, body.as_bytes());
    second.respond("b", "ran").await;
    let response = client.read_response().await;
    assert_eq!(
        (response.status, response.text().contains("ran")),
        (200, true),
        "{path}"
    );
    true
}

#[test]
fn half_open_connection_fails_no_request() {
    run_single_threaded(async {
        for (path, body) in [("/o/1", ""), ("/o/1", "the body"), ("/s/1", "prompt")] {
            // On a busy machine the liveness check may end before the reset arrives.
            let mut was_retried = false;
            for _ in 0..10 {
                was_retried =
                    was_retried || is_retried_after_reset_of_idle_connection(path, body).await;
            }
            assert!(was_retried, "{path}");
        }
    });
}
