//! Matching of responses to requests, with one altered message of a worker at a time. No response of another request
//! passes, a connection with unexpected bytes is not reused, and a non-idempotent request never runs twice.

mod machine;

use machine::raw::{RawConnection, RawWorker, not_run, ok};
use machine::{CONFIGURATION, Client, Machine, Worker, on_one_thread};
use mintlb_common::record::WorkerState;
use std::time::Duration;
use tokio::time::{advance, pause, resume, timeout};

/// Longer than what sockets on loopback hold.
const LONG: usize = 24 << 20;

async fn with_raw_worker() -> (Machine, RawWorker) {
    let machine = Machine::start().await;
    let worker = RawWorker::start("i-1", "s").await;
    // On a machine that is busy a request must not outlive its target by the test's own pauses.
    let configuration = CONFIGURATION
        .replace("\"max_body_bytes\":4096", "\"max_body_bytes\":30000000")
        .replace("\"target_latency_ms\":300", "\"target_latency_ms\":3000");
    machine.configure(&configuration).await;
    machine.set_raw_worker(&worker).await;
    (machine, worker)
}

async fn with_another(machine: &Machine) -> Worker {
    let worker = Worker::start("i-2", "s").await;
    machine.set_worker(&worker, WorkerState::InService, 1).await;
    worker
}

async fn asks(machine: &Machine, path: &str, id: &str, body: &str) -> Client {
    let mut client = machine.client().await;
    client.post(path, id, "", body).await;
    client
}

/// A client whose request `a` was answered, and the connection by which its worker answered it.
async fn answered(machine: &Machine, worker: &RawWorker, path: &str) -> (Client, RawConnection) {
    let mut client = asks(machine, path, "a", "").await;
    let first = answers_anew(worker, &mut client, "a").await;
    (client, first)
}

/// The client's request `id` comes on a new connection and is answered there.
async fn answers_anew(worker: &RawWorker, client: &mut Client, id: &str) -> RawConnection {
    let mut connection = worker.accept().await;
    connection.request().await;
    connection.answer(id, id).await;
    assert_eq!(client.get().await.text(), id);
    connection
}

#[test]
fn after_a_late_answer_to_another_request_the_connection_carries_no_other() {
    on_one_thread(async {
        for path in ["/o/1", "/p/1"] {
            let (machine, worker) = with_raw_worker().await;
            let (mut client, mut first) = answered(&machine, &worker, path).await;
            client.post(path, "b", "", "").await;
            first.request().await;
            first.write(&(ok("a", "late") + &ok("b", "second"))).await;
            assert_eq!(client.get().await.text(), "second");
            client.post(path, "c", "", "").await;
            answers_anew(&worker, &mut client, "c").await;
            assert_eq!(first.rest().await, b"", "{path}");
        }
    });
}

#[test]
fn a_surplus_answer_on_an_idle_connection_ends_it() {
    on_one_thread(async {
        for path in ["/o/1", "/p/1"] {
            let (machine, worker) = with_raw_worker().await;
            let (mut client, mut first) = answered(&machine, &worker, path).await;
            first.answer("a", "again").await;
            client.post(path, "b", "", "").await;
            answers_anew(&worker, &mut client, "b").await;
            assert_eq!(first.rest().await, b"", "{path}");
        }
    });
}

#[test]
fn a_request_that_was_refused_takes_another_connection_to_the_same_worker() {
    on_one_thread(async {
        let (machine, worker) = with_raw_worker().await;
        let mut client = asks(&machine, "/o/1", "a", "").await;
        let mut first = worker.accept().await;
        first.request().await;
        first.write(&not_run("a")).await;
        // The surplus refusal would count for the second send, which runs.
        answers_anew(&worker, &mut client, "a").await;
    });
}

#[test]
fn an_answer_before_the_body_was_read_is_taken_and_no_other_bytes_follow() {
    on_one_thread(async {
        for path in ["/o/1", "/p/1"] {
            let (machine, worker) = with_raw_worker().await;
            let body = "x".repeat(LONG);
            let sends = async {
                let mut client = machine.client().await;
                client.post(path, "a", "", &body).await;
                client
            };
            let (mut client, mut early) = tokio::join!(sends, worker.accept());
            early.head().await;
            let mut other = with_another(&machine).await;
            early.write(&not_run("a")).await;
            let received = other.next_request().await;
            assert_eq!(received.body.len(), LONG);
            received.answer("ran").await;
            assert_eq!(client.get().await.text(), "ran");
            let rest = early.rest().await;
            assert!(
                rest.len() < LONG && rest.iter().all(|byte| *byte == b'x'),
                "{path}: {}",
                rest.len()
            );
        }
    });
}

#[test]
fn what_was_answered_before_its_last_byte_is_not_sent_elsewhere() {
    on_one_thread(async {
        let (machine, worker) = with_raw_worker().await;
        let mut client = asks(&machine, "/o/1", "a", "the body").await;
        let mut early = worker.accept().await;
        early.head().await;
        let mut other = with_another(&machine).await;
        early.answer("a", "ran").await;
        assert_eq!(client.get().await.text(), "ran");
        assert!(!other.has_request());
    });
}

#[test]
fn a_request_whose_head_reached_a_worker_is_not_resent_after_a_reset() {
    on_one_thread(async {
        for (path, body) in [("/o/1", "the body"), ("/s/1", "prompt"), ("/o/1", "")] {
            let (machine, worker) = with_raw_worker().await;
            let mut client = asks(&machine, path, "a", body).await;
            let mut connection = worker.accept().await;
            connection.head().await;
            let mut other = with_another(&machine).await;
            connection.reset();
            let got = client.get().await;
            assert_eq!(got.status, 502, "it may have run: {path}");
            assert!(!other.has_request());
        }
    });
}

#[test]
fn an_answer_without_a_length_ends_with_its_connection_unless_that_is_reset() {
    on_one_thread(async {
        for path in ["/o/1", "/p/1"] {
            for status in ["200 OK", "500 Oh"] {
                let (machine, worker) = with_raw_worker().await;
                let mut client = asks(&machine, path, "a", "").await;
                let mut first = worker.accept().await;
                first.request().await;
                let own = "mintlb-request-id: a\r\nmintlb-response-signature: s\r\n";
                first
                    .write(&format!("HTTP/1.1 {status}\r\n{own}\r\nall of it"))
                    .await;
                drop(first);
                let got = match (path, status) {
                    ("/p/1", "500 Oh") => {
                        let mut again = worker.accept().await;
                        again.request().await;
                        again.answer("a", "all of it").await;
                        client.get().await
                    }
                    _ => client.get().await,
                };
                assert_eq!(
                    (got.text().as_str(), got.complete),
                    ("all of it", true),
                    "{path} {status}"
                );
            }
        }
        let (machine, worker) = with_raw_worker().await;
        let mut client = asks(&machine, "/o/1", "a", "").await;
        let mut first = worker.accept().await;
        first.request().await;
        let own = "mintlb-request-id: a\r\nmintlb-response-signature: s\r\n";
        first
            .write(&format!("HTTP/1.1 200 OK\r\n{own}\r\npart of it"))
            .await;
        first.reset();
        assert_eq!(client.get().await.status, 502);
    });
}

#[test]
fn an_answer_that_names_no_request_or_two_is_nobodys() {
    on_one_thread(async {
        for own in ["", "mintlb-request-id: a\r\nmintlb-request-id: b\r\n"] {
            let (machine, worker) = with_raw_worker().await;
            let mut client = asks(&machine, "/o/1", "a", "").await;
            let mut first = worker.accept().await;
            first.request().await;
            let stamp = "mintlb-response-signature: s\r\n";
            first
                .write(&format!(
                    "HTTP/1.1 200 OK\r\n{own}{stamp}content-length: 2\r\n\r\nno"
                ))
                .await;
            assert_eq!(client.get().await.status, 502, "{own}");
            client.post("/o/1", "b", "", "").await;
            answers_anew(&worker, &mut client, "b").await;
            assert_eq!(first.rest().await, b"");
        }
    });
}

#[test]
fn a_refusal_whose_body_does_not_come_is_one_all_the_same() {
    on_one_thread(async {
        for rest in [
            "content-length: 5\r\n\r\n",
            "transfer-encoding: chunked\r\n\r\n5\r\nfu",
            "\r\n",
        ] {
            let (machine, worker) = with_raw_worker().await;
            let mut client = asks(&machine, "/o/1", "a", "").await;
            let mut refuses = worker.accept().await;
            refuses.request().await;
            let mut other = with_another(&machine).await;
            let own = "mintlb-request-id: a\r\nmintlb-not-executed: full\r\n";
            refuses
                .write(&format!("HTTP/1.1 503 Full\r\n{own}{rest}"))
                .await;
            let request = timeout(Duration::from_secs(1), other.next_request()).await;
            request
                .expect("its time goes by at the worker that refused it")
                .answer("ran")
                .await;
            assert_eq!(client.get().await.text(), "ran");
            assert_eq!(refuses.rest().await, b"");
        }
    });
}

/// A request by a connection that its worker has forgotten since; whether the worker had not seen its whole head, so that
/// it was sent again.
async fn by_a_forgotten_connection(path: &str, body: &str) -> bool {
    let (machine, worker) = with_raw_worker().await;
    let (mut client, mut first) = answered(&machine, &worker, "/o/1").await;
    // Longer than a connection counts as proven, shorter than the worker says that it keeps it.
    pause();
    advance(Duration::from_millis(200)).await;
    resume();
    client.post(path, "b", "", body).await;
    first.some().await;
    let may_run = first.read.windows(4).any(|end| end == b"\r\n\r\n");
    first.reset();
    if may_run {
        assert_eq!(client.get().await.status, 502, "{path}");
        return false;
    }
    let mut second = worker.accept().await;
    assert_eq!(second.request().await.1, body.as_bytes());
    second.answer("b", "ran").await;
    let got = client.get().await;
    assert_eq!(
        (got.status, got.text().contains("ran")),
        (200, true),
        "{path}"
    );
    true
}

#[test]
fn a_connection_that_the_worker_has_forgotten_costs_no_request() {
    on_one_thread(async {
        for (path, body) in [("/o/1", ""), ("/o/1", "the body"), ("/s/1", "prompt")] {
            // On a machine that is too busy the proof may be over before the reset comes.
            let mut sent_again = false;
            for _ in 0..10 {
                sent_again = sent_again || by_a_forgotten_connection(path, body).await;
            }
            assert!(sent_again, "{path}");
        }
    });
}
