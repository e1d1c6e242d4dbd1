//! Faulty workers and connections: invariants, and the expected recovery.

mod machine;

use machine::{CONFIGURATION, Machine, Worker, event, header, on_one_thread, worker_record};
use mintlb_common::record::{WorkerRecord, WorkerState};
use std::time::{Duration, Instant};

async fn with_worker() -> (Machine, Worker) {
    let machine = Machine::start().await;
    let worker = Worker::start("i-1", "s").await;
    machine.configure(CONFIGURATION).await;
    machine.set_worker(&worker, WorkerState::InService, 1).await;
    (machine, worker)
}

/// The controller that received the worker's deregistration had just started and did not know the worker.
#[test]
fn a_worker_that_ended_is_sent_nothing_though_its_end_names_no_address() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let ended_record = worker_record(&worker, WorkerState::Deregistered, 0);
        let (service, address, zone) = Default::default();
        machine
            .apply_record(WorkerRecord {
                service,
                address,
                zone,
                capacity_slots: 0,
                ..ended_record
            })
            .await;
        assert_eq!(machine.shared.workers.in_service(), 0);
        let mut client = machine.client().await;
        client
            .write("POST /p/1 HTTP/1.1\r\nHost: shop.example\r\nMintlb-Request-Id: a\r\n")
            .await;
        client
            .write("Mintlb-Deadline-Ms: 300\r\nContent-Length: 0\r\n\r\n")
            .await;
        assert_ne!(client.get().await.status, 200);
        assert!(!worker.has_request());
    });
}

#[test]
fn connections_to_workers_are_kept_while_they_are_good() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut client = machine.client().await;
        for index in 0..5 {
            client.post("/o/1", &format!("a{index}"), "", "body").await;
            worker.next_request().await.answer("ok").await;
            assert_eq!(client.get().await.status, 200);
        }
        assert_eq!(worker.connections(), 1);
        client.post("/o/1", "b", "", "").await;
        let received = worker.next_request().await;
        let head = "HTTP/1.1 200 OK\r\nmintlb-request-id: b\r\nmintlb-response-signature: s\r\n";
        received
            .answer_with(&format!(
                "{head}connection: close\r\ncontent-length: 0\r\n\r\n"
            ))
            .await;
        assert_eq!(client.get().await.status, 200);
        client.post("/o/1", "c", "", "").await;
        let received = worker.next_request().await;
        assert_eq!(
            worker.connections(),
            2,
            "the worker has said that it closes the first"
        );
        // It closes what is idle for less than the time that is taken to be safe.
        let own =
            "mintlb-request-id: c\r\nmintlb-response-signature: s\r\nkeep-alive: timeout=0\r\n";
        received
            .answer_with(&format!(
                "HTTP/1.1 200 OK\r\n{own}content-length: 0\r\n\r\n"
            ))
            .await;
        assert_eq!(client.get().await.status, 200);
        client.post("/o/1", "d", "", "").await;
        worker.next_request().await.answer("ok").await;
        assert_eq!(client.get().await.status, 200);
        assert_eq!(worker.connections(), 3);
    });
}

#[test]
fn bytes_after_a_complete_response_belong_to_no_request() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut client = machine.client().await;
        client.post("/o/1", "a", "", "").await;
        let received = worker.next_request().await;
        let own = received.own();
        received
            .answer_with(&format!(
                "HTTP/1.1 200 OK\r\n{own}content-length: 2\r\n\r\nokEXTRA"
            ))
            .await;
        assert_eq!(client.get().await.text(), "ok");
        client.post("/o/1", "b", "", "").await;
        worker.next_request().await.answer("next").await;
        assert_eq!(client.get().await.text(), "next");
        assert_eq!(worker.connections(), 2);
    });
}

#[test]
fn an_answer_of_another_request_is_never_passed_on() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut client = machine.client().await;
        client.post("/o/1", "a", "", "").await;
        let mut received = worker.next_request().await;
        let own = "mintlb-request-id: other\r\nmintlb-response-signature: s\r\n";
        received
            .on
            .write(&format!(
                "HTTP/1.1 200 OK\r\n{own}content-length: 2\r\n\r\nno"
            ))
            .await;
        drop(received);
        assert_eq!(client.get().await.status, 502);
        assert!(!worker.has_request(), "it may have run");
    });
}

#[test]
fn a_worker_that_resets_new_connections_has_run_nothing() {
    on_one_thread(async {
        let machine = Machine::start().await;
        machine.configure(CONFIGURATION).await;
        let resetting = Worker::resetting("i-1", "s").await;
        machine
            .set_worker(&resetting, WorkerState::InService, 1)
            .await;
        let mut client = machine.client().await;
        client.post("/o/1", "a", "", "body").await;
        let got = client.get().await;
        assert_eq!(got.status, 503, "its last byte was never written");
        assert!(resetting.connections() > 0);
        let mut good = Worker::start("i-2", "s").await;
        machine.set_worker(&good, WorkerState::InService, 1).await;
        client.post("/o/1", "b", "", "body").await;
        good.next_request().await.answer("ran").await;
        assert_eq!(client.get().await.text(), "ran");
    });
}

#[test]
fn an_unsent_request_is_rejected_as_not_run() {
    on_one_thread(async {
        let machine = Machine::start().await;
        machine.configure(CONFIGURATION).await;
        let mut client = machine.client().await;
        for path in ["/p/1", "/o/1", "/s/1", "/r/1"] {
            client.post(path, "a", "", "").await;
            let got = client.get().await;
            assert_eq!(got.status, 503);
            let after: f64 = header(&got.head, "retry-after").unwrap().parse().unwrap();
            assert!(after > 0.0 && after <= 1.0);
        }
        let head = "POST /o/1 HTTP/1.1\r\nHost: shop.example\r\nMintlb-Request-Id: b\r\nContent-Length: 0\r\n";
        client
            .write(&format!("{head}Mintlb-Deadline-Ms: 30\r\n\r\n"))
            .await;
        assert_eq!(
            client.get().await.status,
            503,
            "its time is over, and it has not run"
        );
    });
}

#[test]
fn an_unresponsive_worker_does_not_block_a_resumable_stream() {
    on_one_thread(async {
        let (machine, mut one) = with_worker().await;
        let mut two = Worker::start("i-2", "s").await;
        let mut client = machine.client().await;
        client.post("/r/1", "a", "", "prompt").await;
        let mut silent = one.next_request().await;
        machine.set_worker(&two, WorkerState::InService, 1).await;
        silent.begin_stream().await;
        silent.event(1).await;
        client.head().await;
        let began = Instant::now();
        let mut received = two.next_request().await;
        let waited = began.elapsed();
        // Well before its own time, 5 s, is over.
        assert!(
            waited > Duration::from_millis(600) && waited < Duration::from_secs(4),
            "{waited:?}"
        );
        assert_eq!(
            header(&received.head, "last-event-id").as_deref(),
            Some("1")
        );
        received.begin_stream().await;
        received.event(2).await;
        received.end_stream().await;
        assert_eq!(client.rest().await, (event(1) + &event(2), true));
        silent.on.closed().await;
    });
}

#[test]
fn a_stream_that_can_not_go_on_does_not_begin_again() {
    on_one_thread(async {
        let (machine, mut one) = with_worker().await;
        let mut two = Worker::start("i-2", "s").await;
        let mut client = machine.client().await;
        client.post("/r/1", "a", "", "prompt").await;
        let mut received = one.next_request().await;
        machine.set_worker(&two, WorkerState::InService, 1).await;
        received.begin_stream().await;
        received.chunk("data: without an id\n\n").await;
        client.head().await;
        drop(received);
        let (text, complete) = client.rest().await;
        assert_eq!(
            (text.as_str(), complete),
            ("data: without an id\n\n", false)
        );
        assert!(!two.has_request());
    });
}

#[test]
fn a_long_response_is_complete_or_visibly_truncated() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let long = "x".repeat(700_000);
        for complete in [true, false] {
            let mut client = machine.client().await;
            client.post("/o/1", "a", "", "").await;
            let mut received = worker.next_request().await;
            let own = received.own();
            let head = format!(
                "HTTP/1.1 200 OK\r\n{own}content-length: {}\r\n\r\n",
                long.len()
            );
            let sent = if complete {
                &long[..]
            } else {
                &long[..600_000]
            };
            let bytes = head + sent;
            let writes = tokio::spawn(async move { received.on.write(&bytes).await });
            let got = client.get().await;
            assert_eq!((got.status, got.complete), (200, complete));
            assert!(long.as_bytes().starts_with(&got.body));
            writes.await.unwrap();
        }
        // The same with chunked framing, without a declared length.
        let mut client = machine.client().await;
        client.post("/o/1", "b", "", "").await;
        let mut received = worker.next_request().await;
        let own = received.own();
        let head = format!("HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\n\r\n");
        let bytes = format!("{head}{:x}\r\n{long}\r\n0\r\n\r\n", long.len());
        tokio::spawn(async move { received.on.write(&bytes).await });
        let got = client.get().await;
        assert_eq!(
            (got.status, got.complete, got.body.len()),
            (200, true, long.len())
        );
    });
}

#[test]
fn requests_of_one_subject_meet_at_few_workers() {
    on_one_thread(async {
        let machine = Machine::start().await;
        machine
            .configure(&CONFIGURATION.replace(
                "\"max_attempts\":2,\"gap",
                "\"session_affinity\":true,\"gap",
            ))
            .await;
        let mut workers = Vec::new();
        for number in 0..6 {
            let worker = Worker::start(&format!("i-{number}"), "s").await;
            machine.set_worker(&worker, WorkerState::InService, 1).await;
            workers.push(worker);
        }
        let (update_sender, mut worker_ids) = tokio::sync::mpsc::unbounded_channel();
        for (number, mut worker) in workers.into_iter().enumerate() {
            let update_sender = update_sender.clone();
            tokio::spawn(async move {
                loop {
                    let mut received = worker.next_request().await;
                    received.begin_stream().await;
                    received.event(1).await;
                    received.end_stream().await;
                    update_sender.send(number).ok();
                }
            });
        }
        let mut met = std::collections::BTreeSet::new();
        let mut client = machine.client().await;
        for index in 0..12 {
            let prompt = format!("Mintlb-Prompt-Prefix: 5c:800,91bd:9000,{index:x}:50\r\n");
            client.post("/s/1", &format!("a{index}"), &prompt, "").await;
            assert!(client.get().await.complete);
            met.insert(worker_ids.recv().await.unwrap());
        }
        assert!(met.len() <= 2, "{met:?}");
    });
}

#[test]
fn slow_clients_apply_backpressure_to_their_worker() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut client = machine.client().await;
        client.post("/s/1", "a", "", "").await;
        let mut received = worker.next_request().await;
        received.begin_stream().await;
        let big = "y".repeat(60_000);
        let (update_sender, mut worker_ids) = tokio::sync::mpsc::unbounded_channel();
        tokio::spawn(async move {
            for id in 1..400_u64 {
                received.chunk(&format!("id: {id}\ndata: {big}\n\n")).await;
                update_sender.send(id).ok();
            }
            received.end_stream().await;
        });
        client.head().await;
        // It reads nothing more until the worker can't go on.
        let mut sent = 0;
        while let Ok(Some(id)) =
            tokio::time::timeout(Duration::from_millis(400), worker_ids.recv()).await
        {
            sent = id;
        }
        assert!(sent < 399, "all of it was taken in");
        let (text, complete) = client.rest().await;
        assert!(complete);
        assert_eq!(text.matches("id: ").count(), 399);
    });
}
