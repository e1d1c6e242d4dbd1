//! Faulty workers and connections: checks of invariants and of the expected recovery.

mod harness;

use harness::{
    CONFIGURATION, TestDispatcher, Worker, event, header, run_single_threaded, worker_record,
};
use mintlb_common::record::{WorkerRecord, WorkerState};
use std::time::{Duration, Instant};

async fn with_worker() -> (TestDispatcher, Worker) {
    let dispatcher = TestDispatcher::start().await;
    let worker = Worker::start("i-1", "s").await;
    dispatcher.configure(CONFIGURATION).await;
    dispatcher
        .set_worker(&worker, WorkerState::InService, 1)
        .await;
    (dispatcher, worker)
}

/// A controller that has just started may receive the deregistration of a worker that it does not know. Its record has no
/// address.
#[test]
fn deregistration_record_without_an_address_removes_the_worker() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let ended_record = worker_record(&worker, WorkerState::Deregistered, 0);
        let (service, address, zone) = Default::default();
        dispatcher
            .apply_record(WorkerRecord {
                service,
                address,
                zone,
                capacity_slots: 0,
                ..ended_record
            })
            .await;
        assert_eq!(dispatcher.shared.workers.in_service(), 0);
        let mut client = dispatcher.connect().await;
        client
            .write("POST /p/1 HTTP/1.1\r\nHost: shop.example\r\nMintlb-Request-Id: a\r\n")
            .await;
        client
            .write("Mintlb-Deadline-Ms: 300\r\nContent-Length: 0\r\n\r\n")
            .await;
        assert_ne!(client.read_response().await.status, 200);
        assert!(!worker.has_request());
    });
}

#[test]
fn worker_connections_are_reused_while_they_are_valid() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        for index in 0..5 {
            client
                .send_request("/o/1", &format!("a{index}"), "", "body")
                .await;
            worker.next_request().await.respond("ok").await;
            assert_eq!(client.read_response().await.status, 200);
        }
        assert_eq!(worker.connections(), 1);
        client.send_request("/o/1", "b", "", "").await;
        let received = worker.next_request().await;
        let head = "HTTP/1.1 200 OK\r\nmintlb-request-id: b\r\nmintlb-response-signature: s\r\n";
        received
            .respond_raw(&format!(
                "{head}connection: close\r\ncontent-length: 0\r\n\r\n"
            ))
            .await;
        assert_eq!(client.read_response().await.status, 200);
        client.send_request("/o/1", "c", "", "").await;
        let received = worker.next_request().await;
        assert_eq!(
            worker.connections(),
            2,
            "the worker announced that it closes the first connection"
        );
        // The declared idle timeout is shorter than the safety margin, so the connection is not reused.
        let headers =
            "mintlb-request-id: c\r\nmintlb-response-signature: s\r\nkeep-alive: timeout=0\r\n";
        received
            .respond_raw(&format!(
                "HTTP/1.1 200 OK\r\n{headers}content-length: 0\r\n\r\n"
            ))
            .await;
        assert_eq!(client.read_response().await.status, 200);
        client.send_request("/o/1", "d", "", "").await;
        worker.next_request().await.respond("ok").await;
        assert_eq!(client.read_response().await.status, 200);
        assert_eq!(worker.connections(), 3);
    });
}

#[test]
fn surplus_bytes_after_a_response_end_the_connection() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        client.send_request("/o/1", "a", "", "").await;
        let received = worker.next_request().await;
        let headers = received.response_headers();
        received
            .respond_raw(&format!(
                "HTTP/1.1 200 OK\r\n{headers}content-length: 2\r\n\r\nokEXTRA"
            ))
            .await;
        assert_eq!(client.read_response().await.text(), "ok");
        client.send_request("/o/1", "b", "", "").await;
        worker.next_request().await.respond("next").await;
        assert_eq!(client.read_response().await.text(), "next");
        assert_eq!(worker.connections(), 2);
    });
}

#[test]
fn response_to_another_request_is_never_forwarded() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        client.send_request("/o/1", "a", "", "").await;
        let mut received = worker.next_request().await;
        let headers = "mintlb-request-id: other\r\nmintlb-response-signature: s\r\n";
        received
            .connection
            .write(&format!(
                "HTTP/1.1 200 OK\r\n{headers}content-length: 2\r\n\r\nno"
            ))
            .await;
        drop(received);
        assert_eq!(client.read_response().await.status, 502);
        assert!(!worker.has_request(), "the request may have run");
    });
}

#[test]
fn request_to_a_worker_that_resets_new_connections_is_rejected_as_not_run() {
    run_single_threaded(async {
        let dispatcher = TestDispatcher::start().await;
        dispatcher.configure(CONFIGURATION).await;
        let resetting = Worker::resetting("i-1", "s").await;
        dispatcher
            .set_worker(&resetting, WorkerState::InService, 1)
            .await;
        let mut client = dispatcher.connect().await;
        client.send_request("/o/1", "a", "", "body").await;
        let response = client.read_response().await;
        assert_eq!(
            response.status, 503,
            "the last byte of the head was never written"
        );
        assert!(resetting.connections() > 0);
        let mut good = Worker::start("i-2", "s").await;
        dispatcher
            .set_worker(&good, WorkerState::InService, 1)
            .await;
        client.send_request("/o/1", "b", "", "body").await;
        good.next_request().await.respond("ran").await;
        assert_eq!(client.read_response().await.text(), "ran");
    });
}

#[test]
fn unsent_request_is_rejected_as_not_run() {
    run_single_threaded(async {
        let dispatcher = TestDispatcher::start().await;
        dispatcher.configure(CONFIGURATION).await;
        let mut client = dispatcher.connect().await;
        for path in ["/p/1", "/o/1", "/s/1", "/r/1"] {
            client.send_request(path, "a", "", "").await;
            let response = client.read_response().await;
            assert_eq!(response.status, 503);
            let after: f64 = header(&response.head, "retry-after")
                .unwrap()
                .parse()
                .unwrap();
            assert!(after > 0.0 && after <= 1.0);
        }
        let head = "POST /o/1 HTTP/1.1\r\nHost: shop.example\r\nMintlb-Request-Id: b\r\nContent-Length: 0\r\n";
        client
            .write(&format!("{head}Mintlb-Deadline-Ms: 30\r\n\r\n"))
            .await;
        assert_eq!(
            client.read_response().await.status,
            503,
            "the deadline has passed, and the request has not run"
        );
    });
}

#[test]
fn unresponsive_worker_does_not_block_a_resumable_stream() {
    run_single_threaded(async {
        let (dispatcher, mut first_worker) = with_worker().await;
        let mut second_worker = Worker::start("i-2", "s").await;
        let mut client = dispatcher.connect().await;
        client.send_request("/r/1", "a", "", "prompt").await;
        let mut unresponsive = first_worker.next_request().await;
        dispatcher
            .set_worker(&second_worker, WorkerState::InService, 1)
            .await;
        unresponsive.start_stream().await;
        unresponsive.send_event(1).await;
        client.read_head().await;
        let started_at = Instant::now();
        let mut received = second_worker.next_request().await;
        let waited = started_at.elapsed();
        // Long before the route's timeout of 5 s.
        assert!(
            waited > Duration::from_millis(600) && waited < Duration::from_secs(4),
            "{waited:?}"
        );
        assert_eq!(
            header(&received.head, "last-event-id").as_deref(),
            Some("1")
        );
        received.start_stream().await;
        received.send_event(2).await;
        received.end_stream().await;
        assert_eq!(client.read_rest().await, (event(1) + &event(2), true));
        unresponsive.connection.wait_until_closed().await;
    });
}

#[test]
fn stream_without_event_ids_is_not_restarted() {
    run_single_threaded(async {
        let (dispatcher, mut first_worker) = with_worker().await;
        let mut second_worker = Worker::start("i-2", "s").await;
        let mut client = dispatcher.connect().await;
        client.send_request("/r/1", "a", "", "prompt").await;
        let mut received = first_worker.next_request().await;
        dispatcher
            .set_worker(&second_worker, WorkerState::InService, 1)
            .await;
        received.start_stream().await;
        received.send_chunk("data: without an id\n\n").await;
        client.read_head().await;
        drop(received);
        let (text, complete) = client.read_rest().await;
        assert_eq!(
            (text.as_str(), complete),
            ("data: without an id\n\n", false)
        );
        assert!(!second_worker.has_request());
    });
}

#[test]
fn long_response_is_complete_or_visibly_truncated() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let long = "x".repeat(700_000);
        for complete in [true, false] {
            let mut client = dispatcher.connect().await;
            client.send_request("/o/1", "a", "", "").await;
            let mut received = worker.next_request().await;
            let headers = received.response_headers();
            let head = format!(
                "HTTP/1.1 200 OK\r\n{headers}content-length: {}\r\n\r\n",
                long.len()
            );
            let sent = if complete {
                &long[..]
            } else {
                &long[..600_000]
            };
            let bytes = head + sent;
            let writes = tokio::spawn(async move { received.connection.write(&bytes).await });
            let response = client.read_response().await;
            assert_eq!((response.status, response.complete), (200, complete));
            assert!(long.as_bytes().starts_with(&response.body));
            writes.await.unwrap();
        }
        // The same with chunked framing, which declares no length.
        let mut client = dispatcher.connect().await;
        client.send_request("/o/1", "b", "", "").await;
        let mut received = worker.next_request().await;
        let headers = received.response_headers();
        let head = format!("HTTP/1.1 200 OK\r\n{headers}transfer-encoding: chunked\r\n\r\n");
        let bytes = format!("{head}{:x}\r\n{long}\r\n0\r\n\r\n", long.len());
        tokio::spawn(async move { received.connection.write(&bytes).await });
        let response = client.read_response().await;
        assert_eq!(
            (response.status, response.complete, response.body.len()),
            (200, true, long.len())
        );
    });
}

#[test]
fn requests_with_the_same_prefix_go_to_few_workers() {
    run_single_threaded(async {
        let dispatcher = TestDispatcher::start().await;
        dispatcher
            .configure(&CONFIGURATION.replace(
                "\"max_attempts\":2,\"gap",
                "\"session_affinity\":true,\"gap",
            ))
            .await;
        let mut workers = Vec::new();
        for number in 0..6 {
            let worker = Worker::start(&format!("i-{number}"), "s").await;
            dispatcher
                .set_worker(&worker, WorkerState::InService, 1)
                .await;
            workers.push(worker);
        }
        let (id_sender, mut worker_ids) = tokio::sync::mpsc::unbounded_channel();
        for (number, mut worker) in workers.into_iter().enumerate() {
            let id_sender = id_sender.clone();
            tokio::spawn(async move {
                loop {
                    let mut received = worker.next_request().await;
                    received.start_stream().await;
                    received.send_event(1).await;
                    received.end_stream().await;
                    id_sender.send(number).ok();
                }
            });
        }
        let mut used_workers = std::collections::BTreeSet::new();
        let mut client = dispatcher.connect().await;
        for index in 0..12 {
            let prompt = format!("Mintlb-Prompt-Prefix: 5c:800,91bd:9000,{index:x}:50\r\n");
            client
                .send_request("/s/1", &format!("a{index}"), &prompt, "")
                .await;
            assert!(client.read_response().await.complete);
            used_workers.insert(worker_ids.recv().await.unwrap());
        }
        assert!(used_workers.len() <= 2, "{used_workers:?}");
    });
}

#[test]
fn slow_clients_apply_backpressure_to_their_worker() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        client.send_request("/s/1", "a", "", "").await;
        let mut received = worker.next_request().await;
        received.start_stream().await;
        let big = "y".repeat(60_000);
        let (sent_sender, mut sent_events) = tokio::sync::mpsc::unbounded_channel();
        tokio::spawn(async move {
            for id in 1..400_u64 {
                received
                    .send_chunk(&format!("id: {id}\ndata: {big}\n\n"))
                    .await;
                sent_sender.send(id).ok();
            }
            received.end_stream().await;
        });
        client.read_head().await;
        // The client reads nothing more until the worker can't send any further events.
        let mut sent = 0;
        while let Ok(Some(id)) =
            tokio::time::timeout(Duration::from_millis(400), sent_events.recv()).await
        {
            sent = id;
        }
        assert!(sent < 399, "the dispatcher buffered the complete stream");
        let (text, complete) = client.read_rest().await;
        assert!(complete);
        assert_eq!(text.matches("id: ").count(), 399);
    });
}
