//! Workers and connections in trouble: what must never happen, and what should happen instead.

mod machine;

use machine::{CONFIGURATION, Machine, Worker, event, header, on_one_thread, worker_record};
use mintlb_common::record::{WorkerRecord, WorkerState};
use std::time::{Duration, Instant};

async fn with_worker() -> (Machine, Worker) {
    let machine = Machine::start().await;
    let worker = Worker::start("i-1", "s").await;
    machine.configure(CONFIGURATION).await;
    machine.know(&worker, WorkerState::InService, 1).await;
    (machine, worker)
}

/// The controller that took the worker's word had just started and did not know the worker.
#[test]
fn a_worker_that_ended_is_sent_nothing_though_its_end_names_no_address() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let gone = worker_record(&worker, WorkerState::Deregistered, 0);
        let (service, address, zone) = Default::default();
        machine
            .hear(WorkerRecord {
                service,
                address,
                zone,
                capacity_slots: 0,
                ..gone
            })
            .await;
        assert_eq!(machine.hub.workers.in_service(), 0);
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
        for round in 0..5 {
            client.post("/o/1", &format!("a{round}"), "", "body").await;
            worker.asked().await.answer("ok").await;
            assert_eq!(client.get().await.status, 200);
        }
        assert_eq!(worker.connections(), 1);
        client.post("/o/1", "b", "", "").await;
        let asked = worker.asked().await;
        let head = "HTTP/1.1 200 OK\r\nmintlb-request-id: b\r\nmintlb-response-signature: s\r\n";
        asked
            .answer_with(&format!(
                "{head}connection: close\r\ncontent-length: 0\r\n\r\n"
            ))
            .await;
        assert_eq!(client.get().await.status, 200);
        client.post("/o/1", "c", "", "").await;
        let asked = worker.asked().await;
        assert_eq!(
            worker.connections(),
            2,
            "the worker has said that it closes the first"
        );
        // It closes what is idle for less than the time that is taken to be safe.
        let own =
            "mintlb-request-id: c\r\nmintlb-response-signature: s\r\nkeep-alive: timeout=0\r\n";
        asked
            .answer_with(&format!(
                "HTTP/1.1 200 OK\r\n{own}content-length: 0\r\n\r\n"
            ))
            .await;
        assert_eq!(client.get().await.status, 200);
        client.post("/o/1", "d", "", "").await;
        worker.asked().await.answer("ok").await;
        assert_eq!(client.get().await.status, 200);
        assert_eq!(worker.connections(), 3);
    });
}

#[test]
fn bytes_behind_a_whole_answer_belong_to_no_request() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut client = machine.client().await;
        client.post("/o/1", "a", "", "").await;
        let asked = worker.asked().await;
        let own = asked.own();
        asked
            .answer_with(&format!(
                "HTTP/1.1 200 OK\r\n{own}content-length: 2\r\n\r\nokEXTRA"
            ))
            .await;
        assert_eq!(client.get().await.text(), "ok");
        client.post("/o/1", "b", "", "").await;
        worker.asked().await.answer("next").await;
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
        let mut asked = worker.asked().await;
        let own = "mintlb-request-id: other\r\nmintlb-response-signature: s\r\n";
        asked
            .on
            .write(&format!(
                "HTTP/1.1 200 OK\r\n{own}content-length: 2\r\n\r\nno"
            ))
            .await;
        drop(asked);
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
        machine.know(&resetting, WorkerState::InService, 1).await;
        let mut client = machine.client().await;
        client.post("/o/1", "a", "", "body").await;
        let got = client.get().await;
        assert_eq!(got.status, 503, "its last byte was never written");
        assert!(resetting.connections() > 0);
        let mut good = Worker::start("i-2", "s").await;
        machine.know(&good, WorkerState::InService, 1).await;
        client.post("/o/1", "b", "", "body").await;
        good.asked().await.answer("ran").await;
        assert_eq!(client.get().await.text(), "ran");
    });
}

#[test]
fn what_was_never_sent_is_refused_with_a_promise() {
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
fn a_silent_worker_does_not_hold_a_stream_that_may_go_on_elsewhere() {
    on_one_thread(async {
        let (machine, mut one) = with_worker().await;
        let mut two = Worker::start("i-2", "s").await;
        let mut client = machine.client().await;
        client.post("/r/1", "a", "", "prompt").await;
        let mut silent = one.asked().await;
        machine.know(&two, WorkerState::InService, 1).await;
        silent.begin_stream().await;
        silent.event(1).await;
        client.head().await;
        let began = Instant::now();
        let mut asked = two.asked().await;
        let waited = began.elapsed();
        // Well before its own time, 5 s, is over.
        assert!(
            waited > Duration::from_millis(600) && waited < Duration::from_secs(4),
            "{waited:?}"
        );
        assert_eq!(header(&asked.head, "last-event-id").as_deref(), Some("1"));
        asked.begin_stream().await;
        asked.event(2).await;
        asked.end_stream().await;
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
        let mut asked = one.asked().await;
        machine.know(&two, WorkerState::InService, 1).await;
        asked.begin_stream().await;
        asked.chunk("data: without an id\n\n").await;
        client.head().await;
        drop(asked);
        let (text, whole) = client.rest().await;
        assert_eq!((text.as_str(), whole), ("data: without an id\n\n", false));
        assert!(!two.has_request());
    });
}

#[test]
fn a_long_answer_passes_whole_or_visibly_broken() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let long = "x".repeat(700_000);
        for whole in [true, false] {
            let mut client = machine.client().await;
            client.post("/o/1", "a", "", "").await;
            let mut asked = worker.asked().await;
            let own = asked.own();
            let head = format!(
                "HTTP/1.1 200 OK\r\n{own}content-length: {}\r\n\r\n",
                long.len()
            );
            let sent = if whole { &long[..] } else { &long[..600_000] };
            let bytes = head + sent;
            let writes = tokio::spawn(async move { asked.on.write(&bytes).await });
            let got = client.get().await;
            assert_eq!((got.status, got.whole), (200, whole));
            assert!(long.as_bytes().starts_with(&got.body));
            writes.await.unwrap();
        }
        // The same in chunks, whose length is not told before.
        let mut client = machine.client().await;
        client.post("/o/1", "b", "", "").await;
        let mut asked = worker.asked().await;
        let own = asked.own();
        let head = format!("HTTP/1.1 200 OK\r\n{own}transfer-encoding: chunked\r\n\r\n");
        let bytes = format!("{head}{:x}\r\n{long}\r\n0\r\n\r\n", long.len());
        tokio::spawn(async move { asked.on.write(&bytes).await });
        let got = client.get().await;
        assert_eq!(
            (got.status, got.whole, got.body.len()),
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
            machine.know(&worker, WorkerState::InService, 1).await;
            workers.push(worker);
        }
        let (tell, mut told) = tokio::sync::mpsc::unbounded_channel();
        for (number, mut worker) in workers.into_iter().enumerate() {
            let tell = tell.clone();
            tokio::spawn(async move {
                loop {
                    let mut asked = worker.asked().await;
                    asked.begin_stream().await;
                    asked.event(1).await;
                    asked.end_stream().await;
                    tell.send(number).ok();
                }
            });
        }
        let mut met = std::collections::BTreeSet::new();
        let mut client = machine.client().await;
        for round in 0..12 {
            let prompt = format!("Mintlb-Prompt-Prefix: 5c:800,91bd:9000,{round:x}:50\r\n");
            client.post("/s/1", &format!("a{round}"), &prompt, "").await;
            assert!(client.get().await.whole);
            met.insert(told.recv().await.unwrap());
        }
        assert!(met.len() <= 2, "{met:?}");
    });
}

#[test]
fn clients_that_read_slowly_hold_their_worker_back() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut client = machine.client().await;
        client.post("/s/1", "a", "", "").await;
        let mut asked = worker.asked().await;
        asked.begin_stream().await;
        let big = "y".repeat(60_000);
        let (tell, mut told) = tokio::sync::mpsc::unbounded_channel();
        tokio::spawn(async move {
            for id in 1..400_u64 {
                asked.chunk(&format!("id: {id}\ndata: {big}\n\n")).await;
                tell.send(id).ok();
            }
            asked.end_stream().await;
        });
        client.head().await;
        // It reads nothing more until the worker can't go on.
        let mut sent = 0;
        while let Ok(Some(id)) = tokio::time::timeout(Duration::from_millis(400), told.recv()).await
        {
            sent = id;
        }
        assert!(sent < 399, "all of it was taken in");
        let (text, whole) = client.rest().await;
        assert!(whole);
        assert_eq!(text.matches("id: ").count(), 399);
    });
}
