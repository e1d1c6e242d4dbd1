//! Requests through a dispatcher to stand-in workers on loopback, from both sides.

mod machine;

use machine::{CONFIGURATION, Client, Machine, Worker, event, header, on_one_thread};
use mintlb_common::record::WorkerState;

async fn with_worker() -> (Machine, Worker) {
    let machine = Machine::start().await;
    let worker = Worker::start("i-1", "s").await;
    machine.configure(CONFIGURATION).await;
    machine.set_worker(&worker, WorkerState::InService, 1).await;
    (machine, worker)
}

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut client = machine.client().await;
        for index in 0..3 {
            let id = format!("id{index}");
            client
                .post(
                    "/p/7?x=%20&y=1",
                    &id,
                    "X-Own: a\r\nConnection: x-hop\r\nX-Hop: b\r\n",
                    "body",
                )
                .await;
            let received = worker.next_request().await;
            assert!(
                received
                    .head
                    .starts_with("POST /p/7?x=%20&y=1 HTTP/1.1\r\n"),
                "{}",
                received.head
            );
            assert_eq!(received.body, b"body");
            assert_eq!(received.id(), id);
            assert_eq!(
                header(&received.head, "host").as_deref(),
                Some("shop.example")
            );
            assert_eq!(header(&received.head, "x-own").as_deref(), Some("a"));
            assert_eq!(header(&received.head, "x-hop"), None);
            assert_eq!(
                header(&received.head, "mintlb-target-instance").as_deref(),
                Some("i-1")
            );
            let left: u64 = header(&received.head, "mintlb-deadline-ms")
                .unwrap()
                .parse()
                .unwrap();
            assert!((1000..=5000).contains(&left), "{left}");
            received.answer("the answer").await;
            let got = client.get().await;
            assert_eq!(
                (got.status, got.text().as_str(), got.complete),
                (200, "the answer", true)
            );
            assert_eq!(
                header(&got.head, "mintlb-response-signature"),
                Some(format!("s-{id}"))
            );
            assert_eq!(header(&got.head, "mintlb-request-id"), Some(id));
            assert_eq!(header(&got.head, "connection"), None);
        }
    });
}

#[test]
fn chunked_bodies_are_taken() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut client = machine.client().await;
        let head = "POST /o/1 HTTP/1.1\r\nHost: shop.example\r\nMintlb-Request-Id: a\r\n";
        client
            .write(&format!(
                "{head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            ))
            .await;
        let received = worker.next_request().await;
        assert_eq!(received.body, b"abcde");
        assert_eq!(header(&received.head, "transfer-encoding"), None);
        received.answer("ok").await;
        assert_eq!(client.get().await.status, 200);
    });
}

#[test]
fn requests_without_a_route_are_rejected() {
    on_one_thread(async {
        let machine = Machine::start().await;
        let mut client = machine.client().await;
        client.post("/p/1", "a", "", "").await;
        let got = client.get().await;
        assert_eq!(got.status, 503, "without a configuration nothing is known");
        assert!(header(&got.head, "retry-after").is_some());
        machine.configure(CONFIGURATION).await;
        client.post("/none/1", "b", "", "").await;
        assert_eq!(client.get().await.status, 404);
        client
            .write("POST /p/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n")
            .await;
        assert_eq!(client.get().await.status, 400, "without an id");
    });
}

#[test]
fn the_longest_prefix_picks_the_service() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut deep = Worker::start("i-2", "t").await;
        machine.set_worker(&deep, WorkerState::InService, 1).await;
        let (mut one, mut two) = (machine.client().await, machine.client().await);
        one.post("/p/deep/1", "a", "", "").await;
        deep.next_request().await.answer("deep").await;
        assert_eq!(one.get().await.text(), "deep");
        two.post("/p/1", "b", "", "").await;
        worker.next_request().await.answer("plain").await;
        assert_eq!(two.get().await.text(), "plain");
    });
}

#[test]
fn what_is_too_large_or_ambiguous_is_refused() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut client = machine.client().await;
        client.post("/p/1", "a", "", &"x".repeat(5000)).await;
        assert_eq!(client.get().await.status, 413);
        let mut client = machine.client().await;
        client
            .post("/p/1", "b", &format!("X: {}\r\n", "y".repeat(40_000)), "")
            .await;
        assert_eq!(client.get().await.status, 431);
        let mut client = machine.client().await;
        client
            .post("/p/1", "c", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n")
            .await;
        assert_eq!(client.get().await.status, 400);
        assert!(!worker.has_request());
    });
}

#[test]
fn events_pass_as_they_come() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut client = machine.client().await;
        client.post("/s/1", "a", "", "prompt").await;
        let mut received = worker.next_request().await;
        received.begin_stream().await;
        let mut so_far = String::new();
        for id in 1..=5 {
            received.event(id).await;
            so_far += &event(id);
            if id == 1 {
                let (status, head) = client.head().await;
                assert_eq!(status, 200);
                assert_eq!(
                    header(&head, "content-type").as_deref(),
                    Some("text/event-stream")
                );
                assert_eq!(
                    header(&head, "transfer-encoding").as_deref(),
                    Some("chunked")
                );
            }
            assert_eq!(client.chunks(so_far.len()).await, so_far);
        }
        received.end_stream().await;
        assert_eq!(client.rest().await, (so_far, true));
        client.post("/p/1", "b", "", "").await;
        worker.next_request().await.answer("next").await;
    });
}

#[test]
fn a_stream_that_breaks_does_not_look_complete() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut client = machine.client().await;
        client.post("/s/1", "a", "", "prompt").await;
        let mut received = worker.next_request().await;
        received.begin_stream().await;
        received.event(1).await;
        received.chunk("id: 2\nda").await;
        drop(received);
        let got = client.get().await;
        assert!(!got.complete);
        assert_eq!(got.text(), event(1), "and no part of an event passes");
        assert!(!worker.has_request(), "it may not run again");
    });
}

#[test]
fn a_stream_goes_on_at_another_worker() {
    on_one_thread(async {
        let (machine, mut one) = with_worker().await;
        let mut two = Worker::start("i-2", "s").await;
        let mut client = machine.client().await;
        client.post("/r/1", "a", "", "prompt").await;
        let mut received = one.next_request().await;
        machine.set_worker(&two, WorkerState::InService, 1).await;
        received.begin_stream().await;
        received.event(1).await;
        received.event(2).await;
        client.head().await;
        client.chunks(event(1).len() * 2).await;
        received.on.reset();
        let mut received = two.next_request().await;
        assert_eq!(
            header(&received.head, "last-event-id").as_deref(),
            Some("2")
        );
        received.begin_stream().await;
        // An event that the client has must not pass twice.
        received.event(2).await;
        received.event(3).await;
        let so_far = event(1) + &event(2) + &event(3);
        assert_eq!(client.chunks(so_far.len()).await, so_far);
        received.end_stream().await;
        assert_eq!(client.rest().await, (so_far, true));
    });
}

#[test]
fn a_run_that_leaves_events_out_is_not_joined() {
    on_one_thread(async {
        let (machine, mut one) = with_worker().await;
        let mut two = Worker::start("i-2", "s").await;
        let mut client = machine.client().await;
        client.post("/r/1", "a", "", "prompt").await;
        let mut received = one.next_request().await;
        machine.set_worker(&two, WorkerState::InService, 1).await;
        received.begin_stream().await;
        received.event(1).await;
        drop(received);
        let mut received = two.next_request().await;
        received.begin_stream().await;
        received.event(3).await;
        received.end_stream().await;
        let got = client.get().await;
        assert_eq!((got.text(), got.complete), (event(1), false));
    });
}

#[test]
fn what_may_run_again_is_sent_elsewhere_and_what_may_not_is_not() {
    on_one_thread(async {
        let (machine, mut one) = with_worker().await;
        let mut two = Worker::start("i-2", "s").await;
        let mut client = machine.client().await;
        client.post("/p/1", "a", "", "").await;
        let received = one.next_request().await;
        machine.set_worker(&two, WorkerState::InService, 1).await;
        drop(received);
        two.next_request().await.answer("from two").await;
        assert_eq!(client.get().await.text(), "from two");
        client.post("/o/1", "b", "", "").await;
        let received = tokio::select! { received = one.next_request() => received, received = two.next_request() => received };
        drop(received);
        assert_eq!(client.get().await.status, 502);
        assert!(!one.has_request() && !two.has_request());
    });
}

#[test]
fn a_worker_that_has_not_run_it_is_passed_over() {
    on_one_thread(async {
        let (machine, mut one) = with_worker().await;
        let mut two = Worker::start("i-2", "s").await;
        let mut client = machine.client().await;
        client.post("/o/1", "a", "", "").await;
        let received = one.next_request().await;
        machine.set_worker(&two, WorkerState::InService, 1).await;
        received.refuse().await;
        two.next_request().await.answer("ran").await;
        assert_eq!(client.get().await.text(), "ran");
        // Rejected everywhere, its client gets a 503: it has not run.
        client.post("/o/2", "b", "", "").await;
        for _ in 0..2 {
            let received = tokio::select! { received = one.next_request() => received, received = two.next_request() => received };
            received.refuse().await;
        }
        let got = client.get().await;
        assert_eq!(got.status, 503);
        assert!(header(&got.head, "retry-after").is_some());
    });
}

#[test]
fn a_workers_own_failure_is_the_answer() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut client = machine.client().await;
        client.post("/o/1", "a", "", "").await;
        worker
            .next_request()
            .await
            .answer_as("500 Oh", "content-length: 3\r\n\r\nwhy")
            .await;
        let got = client.get().await;
        assert_eq!((got.status, got.text().as_str()), (500, "why"));
        // A 503 that does not say that it has not run must not look as if it did.
        client.post("/o/1", "b", "", "").await;
        worker
            .next_request()
            .await
            .answer_as("503 Oh", "content-length: 0\r\n\r\n")
            .await;
        assert_eq!(client.get().await.status, 502);
    });
}

#[test]
fn an_answer_without_its_stamp_or_its_end_is_no_success() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut client = machine.client().await;
        client.post("/o/1", "a", "", "").await;
        let mut received = worker.next_request().await;
        received
            .on
            .write("HTTP/1.1 200 OK\r\nmintlb-request-id: a\r\ncontent-length: 2\r\n\r\nok")
            .await;
        assert_eq!(client.get().await.status, 502);
        client.post("/o/1", "b", "", "").await;
        let mut received = worker.next_request().await;
        let own = received.own();
        received
            .on
            .write(&format!(
                "HTTP/1.1 200 OK\r\n{own}content-length: 9\r\n\r\nok"
            ))
            .await;
        drop(received);
        assert_eq!(client.get().await.status, 502);
        client.post("/o/1", "c", "", "").await;
        worker
            .next_request()
            .await
            .on
            .write("nonsense\r\n\r\n")
            .await;
        assert_eq!(client.get().await.status, 502);
    });
}

#[test]
fn a_surplus_answer_is_passed_over() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut client = machine.client().await;
        client.post("/o/1", "a", "", "").await;
        worker.next_request().await.answer("first").await;
        assert_eq!(client.get().await.text(), "first");
        client.post("/o/2", "b", "", "").await;
        let mut received = worker.next_request().await;
        let late =
            "mintlb-request-id: a\r\nmintlb-response-signature: s\r\ncontent-length: 4\r\n\r\nlate";
        received
            .on
            .write(&format!("HTTP/1.1 200 OK\r\n{late}"))
            .await;
        received.answer("second").await;
        assert_eq!(client.get().await.text(), "second");
    });
}

#[test]
fn a_misdirected_worker_gets_no_further_requests() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut client = machine.client().await;
        client.post("/o/1", "a", "", "").await;
        let mut received = worker.next_request().await;
        received
            .on
            .write("HTTP/1.1 421 No\r\nmintlb-request-id: a\r\ncontent-length: 0\r\n\r\n")
            .await;
        let got = client.get().await;
        assert_eq!(got.status, 503);
        assert!(!worker.has_request());
    });
}

#[test]
fn a_draining_worker_gets_no_new_requests() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let (mut one, mut two) = (machine.client().await, machine.client().await);
        one.post("/o/1", "a", "", "").await;
        let received = worker.next_request().await;
        machine.set_worker(&worker, WorkerState::Draining, 2).await;
        two.post("/o/2", "b", "", "").await;
        assert_eq!(two.get().await.status, 503);
        received.answer("finished").await;
        assert_eq!(
            one.get().await.text(),
            "finished",
            "what was there before is finished"
        );
    });
}

#[test]
fn a_client_disconnect_cancels_its_request() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        for path in ["/o/1", "/s/1"] {
            let mut client: Client = machine.client().await;
            client.post(path, "a", "", "").await;
            let mut received = worker.next_request().await;
            if path == "/s/1" {
                received.begin_stream().await;
                received.event(1).await;
                client.head().await;
            }
            drop(client);
            received.on.closed().await;
        }
    });
}
