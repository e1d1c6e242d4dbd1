//! Batch items executed by a dispatcher's batch executor.

mod machine;

use axum::http::{HeaderMap, HeaderValue, StatusCode};
use machine::{CONFIGURATION, Machine, Worker, event, header, on_one_thread};
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
        time: Duration::from_secs(20),
        last_event_id,
    }
}

async fn with_worker() -> (Machine, Worker) {
    let machine = Machine::start().await;
    let worker = Worker::start("i-1", "s").await;
    machine.configure(CONFIGURATION).await;
    machine.set_worker(&worker, WorkerState::InService, 1).await;
    (machine, worker)
}

#[test]
fn an_item_runs_to_its_end() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        assert!(
            machine
                .batch_executor
                .has_workers("shop.example", "/b/3/91c4")
        );
        let mut run = machine.batch_executor.run(item("e5", None));
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
        received.begin_stream().await;
        received.event(1).await;
        assert_eq!(run.next().await, ItemStep::Events(event(1).into()));
        received.event(2).await;
        received.end_stream().await;
        assert_eq!(run.next().await, ItemStep::Events(event(2).into()));
        assert_eq!(run.next().await, ItemStep::Ended(ItemOutcome::Completed));
        assert_eq!(run.last_event_id(), Some(2));
    });
}

#[test]
fn an_item_goes_on_where_it_was() {
    on_one_thread(async {
        let (machine, mut one) = with_worker().await;
        let mut two = Worker::start("i-2", "s").await;
        let mut run = machine.batch_executor.run(item("e5", Some(7)));
        let mut received = one.next_request().await;
        assert_eq!(
            header(&received.head, "last-event-id").as_deref(),
            Some("7")
        );
        machine.set_worker(&two, WorkerState::InService, 1).await;
        received.begin_stream().await;
        received.event(8).await;
        assert_eq!(run.next().await, ItemStep::Events(event(8).into()));
        drop(received);
        let mut received = two.next_request().await;
        assert_eq!(
            header(&received.head, "last-event-id").as_deref(),
            Some("8")
        );
        received.begin_stream().await;
        received.event(9).await;
        received.end_stream().await;
        assert_eq!(run.next().await, ItemStep::Events(event(9).into()));
        assert_eq!(run.next().await, ItemStep::Ended(ItemOutcome::Completed));
    });
}

#[test]
fn worker_failures_are_reported_by_status() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut run = machine.batch_executor.run(item("e5", None));
        worker
            .next_request()
            .await
            .answer_as("500 Oh", "content-length: 3\r\n\r\nwhy")
            .await;
        let failed = ItemOutcome::Failed(StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(run.next().await, ItemStep::Ended(failed));
        let mut run = machine.batch_executor.run(item("e5", None));
        worker
            .next_request()
            .await
            .answer_as("422 Never", "content-length: 0\r\n\r\n")
            .await;
        assert_eq!(run.next().await, ItemStep::Ended(ItemOutcome::CannotBeDone));
        let mut unroutable = item("e5", None);
        unroutable.path = "/nowhere/1".to_string();
        assert_eq!(
            machine.batch_executor.run(unroutable).next().await,
            ItemStep::Ended(ItemOutcome::NoRoute)
        );
    });
}

#[test]
fn a_failure_that_breaks_off_behind_its_head_counts() {
    on_one_thread(async {
        let failures = [
            ("422 Never", ItemOutcome::CannotBeDone),
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
                let (machine, mut worker) = with_worker().await;
                let mut run = machine.batch_executor.run(item("e5", None));
                let mut received = worker.next_request().await;
                let own = received.own();
                received
                    .on
                    .write(&format!("HTTP/1.1 {status}\r\n{own}{rest}"))
                    .await;
                received.on.reset();
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
fn a_failure_after_partial_output_counts() {
    on_one_thread(async {
        let (machine, mut one) = with_worker().await;
        let mut two = Worker::start("i-2", "s").await;
        let mut run = machine.batch_executor.run(item("e5", None));
        let mut received = one.next_request().await;
        machine.set_worker(&two, WorkerState::InService, 1).await;
        received.begin_stream().await;
        received.event(1).await;
        assert_eq!(run.next().await, ItemStep::Events(event(1).into()));
        received.on.reset();
        two.next_request()
            .await
            .answer_as("422 Never", "content-length: 0\r\n\r\n")
            .await;
        assert_eq!(run.next().await, ItemStep::Ended(ItemOutcome::CannotBeDone));
        assert!(!one.has_request() && !two.has_request());
    });
}

#[test]
fn a_run_that_ends_in_the_middle_of_an_event_has_broken_off() {
    on_one_thread(async {
        let (machine, mut one) = with_worker().await;
        let mut two = Worker::start("i-2", "s").await;
        let mut run = machine.batch_executor.run(item("e5", None));
        let mut received = one.next_request().await;
        machine.set_worker(&two, WorkerState::InService, 1).await;
        received.begin_stream().await;
        received.event(1).await;
        assert_eq!(run.next().await, ItemStep::Events(event(1).into()));
        received.chunk("id: 2\ndata: e").await;
        received.end_stream().await;
        let mut received = two.next_request().await;
        assert_eq!(
            header(&received.head, "last-event-id").as_deref(),
            Some("1")
        );
        received.begin_stream().await;
        received.event(2).await;
        received.end_stream().await;
        assert_eq!(run.next().await, ItemStep::Events(event(2).into()));
        assert_eq!(run.next().await, ItemStep::Ended(ItemOutcome::Completed));
    });
}

#[test]
fn a_cancelled_item_closes_its_worker_connection() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let run = machine.batch_executor.run(item("e5", None));
        let received = worker.next_request().await;
        drop(run);
        received.on.closed().await;
    });
}
