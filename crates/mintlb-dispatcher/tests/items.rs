//! Execution of batch items by a dispatcher's batch executor.

mod harness;

use axum::http::{HeaderMap, HeaderValue, StatusCode};
use harness::{CONFIGURATION, TestDispatcher, Worker, event, header, run_single_threaded};
use mintlb_common::record::WorkerState;
use mintlb_dispatcher::batch_executor::{ItemOutcome, ItemRequest, ItemStep};
use std::time::Duration;

fn item(id: &'static str, last_event_id: Option<u64>) -> ItemRequest {
    let mut headers = HeaderMap::new();
    headers.insert("mintlb-model", HeaderValue::from_static("m"));
    ItemRequest {
        host: "shop.example".to_string(),
        path: "/b/3/91c4".to_string(),
        id: HeaderValue::from_static(id),
        headers,
        tenant: None,
        body: "the item".into(),
        time_limit: Duration::from_secs(20),
        last_event_id,
    }
}

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
fn item_runs_to_completion() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        assert!(
            dispatcher
                .batch_executor
                .has_workers("shop.example", "/b/3/91c4")
        );
        let mut run = dispatcher.batch_executor.execute(item("e5", None));
        let mut received = worker.next_request().await;
        assert!(received.head.starts_with("POST /b/3/91c4 HTTP/1.1\r\n"));
        assert_eq!(
            (received.id().as_str(), &received.body[..]),
            ("e5", &b"the item"[..])
        );
        assert_eq!(
            header(&received.head, "host").as_deref(),
            Some("shop.example")
        );
        assert_eq!(header(&received.head, "mintlb-model").as_deref(), Some("m"));
        received.start_stream().await;
        received.send_event(1).await;
        assert_eq!(run.next().await, ItemStep::Events(event(1).into()));
        received.send_event(2).await;
        received.end_stream().await;
        assert_eq!(run.next().await, ItemStep::Events(event(2).into()));
        assert_eq!(run.next().await, ItemStep::Ended(ItemOutcome::Completed));
        assert_eq!(run.last_event_id(), Some(2));
    });
}

#[test]
fn item_resumes_after_its_last_event() {
    run_single_threaded(async {
        let (dispatcher, mut first_worker) = with_worker().await;
        let mut second_worker = Worker::start("i-2", "s").await;
        let mut run = dispatcher.batch_executor.execute(item("e5", Some(7)));
        let mut received = first_worker.next_request().await;
        assert_eq!(
            header(&received.head, "last-event-id").as_deref(),
            Some("7")
        );
        dispatcher
            .set_worker(&second_worker, WorkerState::InService, 1)
            .await;
        received.start_stream().await;
        received.send_event(8).await;
        assert_eq!(run.next().await, ItemStep::Events(event(8).into()));
        drop(received);
        let mut received = second_worker.next_request().await;
        assert_eq!(
            header(&received.head, "last-event-id").as_deref(),
            Some("8")
        );
        received.start_stream().await;
        received.send_event(9).await;
        received.end_stream().await;
        assert_eq!(run.next().await, ItemStep::Events(event(9).into()));
        assert_eq!(run.next().await, ItemStep::Ended(ItemOutcome::Completed));
    });
}

#[test]
fn worker_failures_are_reported_by_status() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let mut run = dispatcher.batch_executor.execute(item("e5", None));
        worker
            .next_request()
            .await
            .respond_with("500 Oh", "content-length: 3\r\n\r\nwhy")
            .await;
        let failed = ItemOutcome::Failed(StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(run.next().await, ItemStep::Ended(failed));
        let mut run = dispatcher.batch_executor.execute(item("e5", None));
        worker
            .next_request()
            .await
            .respond_with("422 Never", "content-length: 0\r\n\r\n")
            .await;
        assert_eq!(
            run.next().await,
            ItemStep::Ended(ItemOutcome::Unprocessable)
        );
        let mut unroutable = item("e5", None);
        unroutable.path = "/nowhere/1".to_string();
        assert_eq!(
            dispatcher.batch_executor.execute(unroutable).next().await,
            ItemStep::Ended(ItemOutcome::NoRoute)
        );
    });
}

#[test]
fn error_response_with_truncated_body_is_reported_by_status() {
    run_single_threaded(async {
        let failures = [
            ("422 Never", ItemOutcome::Unprocessable),
            (
                "500 Oh",
                ItemOutcome::Failed(StatusCode::INTERNAL_SERVER_ERROR),
            ),
        ];
        for (status, outcome) in failures {
            for rest in [
                "content-length: 5\r\n\r\nwh",
                "transfer-encoding: chunked\r\n\r\n",
                "\r\nwhy",
            ] {
                let (dispatcher, mut worker) = with_worker().await;
                let mut run = dispatcher.batch_executor.execute(item("e5", None));
                let mut received = worker.next_request().await;
                let headers = received.response_headers();
                received
                    .connection
                    .write(&format!("HTTP/1.1 {status}\r\n{headers}{rest}"))
                    .await;
                received.connection.reset();
                assert_eq!(
                    run.next().await,
                    ItemStep::Ended(outcome),
                    "{status} {rest:?}"
                );
                assert!(!worker.has_request());
            }
        }
    });
}

#[test]
fn error_response_after_partial_output_is_reported_by_status() {
    run_single_threaded(async {
        let (dispatcher, mut first_worker) = with_worker().await;
        let mut second_worker = Worker::start("i-2", "s").await;
        let mut run = dispatcher.batch_executor.execute(item("e5", None));
        let mut received = first_worker.next_request().await;
        dispatcher
            .set_worker(&second_worker, WorkerState::InService, 1)
            .await;
        received.start_stream().await;
        received.send_event(1).await;
        assert_eq!(run.next().await, ItemStep::Events(event(1).into()));
        received.connection.reset();
        second_worker
            .next_request()
            .await
            .respond_with("422 Never", "content-length: 0\r\n\r\n")
            .await;
        assert_eq!(
            run.next().await,
            ItemStep::Ended(ItemOutcome::Unprocessable)
        );
        assert!(!first_worker.has_request() && !second_worker.has_request());
    });
}

#[test]
fn stream_that_ends_within_an_event_is_resumed() {
    run_single_threaded(async {
        let (dispatcher, mut first_worker) = with_worker().await;
        let mut second_worker = Worker::start("i-2", "s").await;
        let mut run = dispatcher.batch_executor.execute(item("e5", None));
        let mut received = first_worker.next_request().await;
        dispatcher
            .set_worker(&second_worker, WorkerState::InService, 1)
            .await;
        received.start_stream().await;
        received.send_event(1).await;
        assert_eq!(run.next().await, ItemStep::Events(event(1).into()));
        received.send_chunk("id: 2\ndata: e").await;
        received.end_stream().await;
        let mut received = second_worker.next_request().await;
        assert_eq!(
            header(&received.head, "last-event-id").as_deref(),
            Some("1")
        );
        received.start_stream().await;
        received.send_event(2).await;
        received.end_stream().await;
        assert_eq!(run.next().await, ItemStep::Events(event(2).into()));
        assert_eq!(run.next().await, ItemStep::Ended(ItemOutcome::Completed));
    });
}

#[test]
fn cancelled_item_closes_its_worker_connection() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let run = dispatcher.batch_executor.execute(item("e5", None));
        let received = worker.next_request().await;
        drop(run);
        received.connection.wait_until_closed().await;
    });
}
