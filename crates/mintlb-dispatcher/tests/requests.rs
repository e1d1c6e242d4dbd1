//! Requests through a dispatcher to test workers on loopback, observed by the client and by the worker.

mod harness;

use harness::{CONFIGURATION, Client, TestDispatcher, Worker, event, header, run_single_threaded};
use mintlb_common::record::WorkerState;

async fn with_worker() -> (TestDispatcher, Worker) {
    let dispatcher = TestDispatcher::start().await;
    let worker = Worker::start("i-1", "s").await;
    dispatcher.configure(CONFIGURATION).await;
    dispatcher
        .set_worker(&worker, WorkerState::InService, 1)
        .await;
    (dispatcher, worker)
}

#[test]
fn requests_and_responses_are_forwarded_unchanged() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        for index in 0..3 {
            let id = format!("id{index}");
            client
                .send_request(
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
            received.respond("the answer").await;
            let response = client.read_response().await;
            assert_eq!(
                (response.status, response.text().as_str(), response.complete),
                (200, "the answer", true)
            );
            assert_eq!(
                header(&response.head, "mintlb-response-signature"),
                Some(format!("s-{id}"))
            );
            assert_eq!(header(&response.head, "mintlb-request-id"), Some(id));
            assert_eq!(header(&response.head, "connection"), None);
        }
    });
}

#[test]
fn chunked_request_bodies_are_accepted() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        let head = "POST /o/1 HTTP/1.1\r\nHost: shop.example\r\nMintlb-Request-Id: a\r\n";
        client
            .write(&format!(
                "{head}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            ))
            .await;
        let received = worker.next_request().await;
        assert_eq!(received.body, b"abcde");
        assert_eq!(header(&received.head, "transfer-encoding"), None);
        received.respond("ok").await;
        assert_eq!(client.read_response().await.status, 200);
    });
}

#[test]
fn requests_without_a_route_are_rejected() {
    run_single_threaded(async {
        let dispatcher = TestDispatcher::start().await;
        let mut client = dispatcher.connect().await;
        client.send_request("/p/1", "a", "", "").await;
        let response = client.read_response().await;
        assert_eq!(
            response.status, 503,
            "no route is known without a configuration"
        );
        assert!(header(&response.head, "retry-after").is_some());
        dispatcher.configure(CONFIGURATION).await;
        client.send_request("/none/1", "b", "", "").await;
        assert_eq!(client.read_response().await.status, 404);
        client
            .write("POST /p/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n")
            .await;
        assert_eq!(
            client.read_response().await.status,
            400,
            "a request without an id"
        );
    });
}

#[test]
fn longest_prefix_determines_the_service() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let mut deep = Worker::start("i-2", "t").await;
        dispatcher
            .set_worker(&deep, WorkerState::InService, 1)
            .await;
        let (mut first_client, mut second_client) =
            (dispatcher.connect().await, dispatcher.connect().await);
        first_client.send_request("/p/deep/1", "a", "", "").await;
        deep.next_request().await.respond("deep").await;
        assert_eq!(first_client.read_response().await.text(), "deep");
        second_client.send_request("/p/1", "b", "", "").await;
        worker.next_request().await.respond("plain").await;
        assert_eq!(second_client.read_response().await.text(), "plain");
    });
}

#[test]
fn oversized_or_ambiguous_requests_are_rejected() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        client
            .send_request("/p/1", "a", "", &"x".repeat(5000))
            .await;
        assert_eq!(client.read_response().await.status, 413);
        let mut client = dispatcher.connect().await;
        client
            .send_request("/p/1", "b", &format!("X: {}\r\n", "y".repeat(40_000)), "")
            .await;
        assert_eq!(client.read_response().await.status, 431);
        let mut client = dispatcher.connect().await;
        client
            .send_request("/p/1", "c", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n")
            .await;
        assert_eq!(client.read_response().await.status, 400);
        assert!(!worker.has_request());
    });
}

#[test]
fn events_are_forwarded_as_they_arrive() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        client.send_request("/s/1", "a", "", "prompt").await;
        let mut received = worker.next_request().await;
        received.start_stream().await;
        let mut forwarded = String::new();
        for id in 1..=5 {
            received.send_event(id).await;
            forwarded += &event(id);
            if id == 1 {
                let (status, head) = client.read_head().await;
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
            assert_eq!(client.read_body_prefix(forwarded.len()).await, forwarded);
        }
        received.end_stream().await;
        assert_eq!(client.read_rest().await, (forwarded, true));
        client.send_request("/p/1", "b", "", "").await;
        worker.next_request().await.respond("next").await;
    });
}

#[test]
fn broken_stream_does_not_look_complete() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        client.send_request("/s/1", "a", "", "prompt").await;
        let mut received = worker.next_request().await;
        received.start_stream().await;
        received.send_event(1).await;
        received.send_chunk("id: 2\nda").await;
        drop(received);
        let response = client.read_response().await;
        assert!(!response.complete);
        assert_eq!(
            response.text(),
            event(1),
            "a part of an event was forwarded"
        );
        assert!(!worker.has_request(), "the request must not run again");
    });
}

#[test]
fn broken_stream_is_resumed_at_another_worker() {
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
        received.send_event(1).await;
        received.send_event(2).await;
        client.read_head().await;
        client.read_body_prefix(event(1).len() * 2).await;
        received.connection.reset();
        let mut received = second_worker.next_request().await;
        assert_eq!(
            header(&received.head, "last-event-id").as_deref(),
            Some("2")
        );
        received.start_stream().await;
        // An event that the client already has must not be forwarded again.
        received.send_event(2).await;
        received.send_event(3).await;
        let forwarded = event(1) + &event(2) + &event(3);
        assert_eq!(client.read_body_prefix(forwarded.len()).await, forwarded);
        received.end_stream().await;
        assert_eq!(client.read_rest().await, (forwarded, true));
    });
}

#[test]
fn resumed_stream_with_missing_events_is_not_forwarded() {
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
        received.send_event(1).await;
        drop(received);
        let mut received = second_worker.next_request().await;
        received.start_stream().await;
        received.send_event(3).await;
        received.end_stream().await;
        let response = client.read_response().await;
        assert_eq!((response.text(), response.complete), (event(1), false));
    });
}

#[test]
fn only_idempotent_requests_are_retried_after_a_broken_connection() {
    run_single_threaded(async {
        let (dispatcher, mut first_worker) = with_worker().await;
        let mut second_worker = Worker::start("i-2", "s").await;
        let mut client = dispatcher.connect().await;
        client.send_request("/p/1", "a", "", "").await;
        let received = first_worker.next_request().await;
        dispatcher
            .set_worker(&second_worker, WorkerState::InService, 1)
            .await;
        drop(received);
        second_worker.next_request().await.respond("from two").await;
        assert_eq!(client.read_response().await.text(), "from two");
        client.send_request("/o/1", "b", "", "").await;
        let received = tokio::select! { received = first_worker.next_request() => received, received = second_worker.next_request() => received };
        drop(received);
        assert_eq!(client.read_response().await.status, 502);
        assert!(!first_worker.has_request() && !second_worker.has_request());
    });
}

#[test]
fn request_not_executed_by_a_worker_is_retried_elsewhere() {
    run_single_threaded(async {
        let (dispatcher, mut first_worker) = with_worker().await;
        let mut second_worker = Worker::start("i-2", "s").await;
        let mut client = dispatcher.connect().await;
        client.send_request("/o/1", "a", "", "").await;
        let received = first_worker.next_request().await;
        dispatcher
            .set_worker(&second_worker, WorkerState::InService, 1)
            .await;
        received.reject_not_executed().await;
        second_worker.next_request().await.respond("ran").await;
        assert_eq!(client.read_response().await.text(), "ran");
        // If all workers reject the request, the client gets a 503, as it has not run.
        client.send_request("/o/2", "b", "", "").await;
        for _ in 0..2 {
            let received = tokio::select! { received = first_worker.next_request() => received, received = second_worker.next_request() => received };
            received.reject_not_executed().await;
        }
        let response = client.read_response().await;
        assert_eq!(response.status, 503);
        assert!(header(&response.head, "retry-after").is_some());
    });
}

#[test]
fn error_response_of_a_worker_is_forwarded() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        client.send_request("/o/1", "a", "", "").await;
        worker
            .next_request()
            .await
            .respond_with("500 Oh", "content-length: 3\r\n\r\nwhy")
            .await;
        let response = client.read_response().await;
        assert_eq!((response.status, response.text().as_str()), (500, "why"));
        // A worker's 503 that does not state that the request has not run must not be forwarded as one.
        client.send_request("/o/1", "b", "", "").await;
        worker
            .next_request()
            .await
            .respond_with("503 Oh", "content-length: 0\r\n\r\n")
            .await;
        assert_eq!(client.read_response().await.status, 502);
    });
}

#[test]
fn response_without_signature_or_truncated_is_no_success() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        client.send_request("/o/1", "a", "", "").await;
        let mut received = worker.next_request().await;
        received
            .connection
            .write("HTTP/1.1 200 OK\r\nmintlb-request-id: a\r\ncontent-length: 2\r\n\r\nok")
            .await;
        assert_eq!(client.read_response().await.status, 502);
        client.send_request("/o/1", "b", "", "").await;
        let mut received = worker.next_request().await;
        let headers = received.response_headers();
        received
            .connection
            .write(&format!(
                "HTTP/1.1 200 OK\r\n{headers}content-length: 9\r\n\r\nok"
            ))
            .await;
        drop(received);
        assert_eq!(client.read_response().await.status, 502);
        client.send_request("/o/1", "c", "", "").await;
        worker
            .next_request()
            .await
            .connection
            .write("nonsense\r\n\r\n")
            .await;
        assert_eq!(client.read_response().await.status, 502);
    });
}

#[test]
fn surplus_response_is_skipped() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        client.send_request("/o/1", "a", "", "").await;
        worker.next_request().await.respond("first").await;
        assert_eq!(client.read_response().await.text(), "first");
        client.send_request("/o/2", "b", "", "").await;
        let mut received = worker.next_request().await;
        let late_response =
            "mintlb-request-id: a\r\nmintlb-response-signature: s\r\ncontent-length: 4\r\n\r\nlate";
        received
            .connection
            .write(&format!("HTTP/1.1 200 OK\r\n{late_response}"))
            .await;
        received.respond("second").await;
        assert_eq!(client.read_response().await.text(), "second");
    });
}

#[test]
fn misdirected_worker_gets_no_further_requests() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        client.send_request("/o/1", "a", "", "").await;
        let mut received = worker.next_request().await;
        received
            .connection
            .write("HTTP/1.1 421 No\r\nmintlb-request-id: a\r\ncontent-length: 0\r\n\r\n")
            .await;
        let response = client.read_response().await;
        assert_eq!(response.status, 503);
        assert!(!worker.has_request());
    });
}

#[test]
fn draining_worker_gets_no_new_requests() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let (mut first_client, mut second_client) =
            (dispatcher.connect().await, dispatcher.connect().await);
        first_client.send_request("/o/1", "a", "", "").await;
        let received = worker.next_request().await;
        dispatcher
            .set_worker(&worker, WorkerState::Draining, 2)
            .await;
        second_client.send_request("/o/2", "b", "", "").await;
        assert_eq!(second_client.read_response().await.status, 503);
        received.respond("finished").await;
        assert_eq!(
            first_client.read_response().await.text(),
            "finished",
            "a request in flight is completed"
        );
    });
}

#[test]
fn client_disconnect_cancels_its_request() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        for path in ["/o/1", "/s/1"] {
            let mut client: Client = dispatcher.connect().await;
            client.send_request(path, "a", "", "").await;
            let mut received = worker.next_request().await;
            if path == "/s/1" {
                received.start_stream().await;
                received.send_event(1).await;
                client.read_head().await;
            }
            drop(client);
            received.connection.wait_until_closed().await;
        }
    });
}
