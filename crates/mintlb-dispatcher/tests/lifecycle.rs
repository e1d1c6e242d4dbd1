//! Readiness and graceful shutdown of a dispatcher.

mod harness;

use harness::{CONFIGURATION, Client, TestDispatcher, Worker, header, run_single_threaded};
use mintlb_common::record::WorkerState;
use mintlb_dispatcher::cluster_state::ClusterUpdate;
use std::time::Duration;

async fn is_ready(dispatcher: &TestDispatcher) -> bool {
    let mut client = Client::connect(dispatcher.readiness).await;
    client
        .write("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        .await;
    client.read_response().await.status == 200
}

async fn wait_until_ready(dispatcher: &TestDispatcher) {
    while !is_ready(dispatcher).await {}
}

async fn with_workers() -> (TestDispatcher, Worker, Worker) {
    let dispatcher = TestDispatcher::start().await;
    let (first_worker, second_worker) = (
        Worker::start("i-1", "s").await,
        Worker::start("i-2", "t").await,
    );
    dispatcher.configure(CONFIGURATION).await;
    dispatcher
        .set_worker(&first_worker, WorkerState::InService, 1)
        .await;
    dispatcher
        .set_worker(&second_worker, WorkerState::InService, 1)
        .await;
    dispatcher
        .update_sender
        .send(ClusterUpdate::Joined)
        .unwrap();
    wait_until_ready(&dispatcher).await;
    (dispatcher, first_worker, second_worker)
}

#[test]
fn ready_once_configuration_and_workers_are_known() {
    run_single_threaded(async {
        let dispatcher = TestDispatcher::start().await;
        assert!(!is_ready(&dispatcher).await);
        let (first_worker, second_worker) = (
            Worker::start("i-1", "s").await,
            Worker::start("i-2", "t").await,
        );
        dispatcher
            .update_sender
            .send(ClusterUpdate::Joined)
            .unwrap();
        dispatcher.configure(CONFIGURATION).await;
        dispatcher
            .set_worker(&first_worker, WorkerState::InService, 1)
            .await;
        assert!(
            !is_ready(&dispatcher).await,
            "ready although a service has no worker"
        );
        dispatcher
            .set_worker(&second_worker, WorkerState::InService, 1)
            .await;
        wait_until_ready(&dispatcher).await;
    });
}

#[test]
fn not_ready_before_joining_the_gossip() {
    run_single_threaded(async {
        let dispatcher = TestDispatcher::start().await;
        let (first_worker, second_worker) = (
            Worker::start("i-1", "s").await,
            Worker::start("i-2", "t").await,
        );
        dispatcher.configure(CONFIGURATION).await;
        dispatcher
            .set_worker(&first_worker, WorkerState::InService, 1)
            .await;
        dispatcher
            .set_worker(&second_worker, WorkerState::InService, 1)
            .await;
        assert!(!is_ready(&dispatcher).await);
    });
}

/// A process that has just started may know no other process, or only such without a configuration.
#[test]
fn without_a_configuration_requests_get_503_and_it_is_not_ready() {
    run_single_threaded(async {
        let dispatcher = TestDispatcher::start().await;
        let worker = Worker::start("i-1", "s").await;
        dispatcher
            .set_worker(&worker, WorkerState::InService, 1)
            .await;
        dispatcher
            .update_sender
            .send(ClusterUpdate::Joined)
            .unwrap();
        for path in [
            "/p/1",
            "/o/1",
            "/b/1",
            "/v1/lots/l",
            "/v1/items/l?instance_id=e",
            "/nowhere",
        ] {
            let mut client = dispatcher.connect().await;
            client.send_request(path, "a", "", "x").await;
            assert_eq!(client.read_response().await.status, 503, "{path}");
            for method in ["GET", "DELETE"] {
                let mut client = dispatcher.connect().await;
                client
                    .write(&format!(
                        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\n\r\n"
                    ))
                    .await;
                assert_eq!(client.read_response().await.status, 503, "{method} {path}");
            }
        }
        // The size limit of bodies is also unknown without a configuration.
        let mut client = dispatcher.connect().await;
        client
            .write("POST /p/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 8000000\r\n\r\n")
            .await;
        assert_eq!(client.read_response().await.status, 503, "a long body");
        assert!(!is_ready(&dispatcher).await);
    });
}

#[test]
fn graceful_shutdown_completes_open_and_late_requests() {
    run_single_threaded(async {
        let (mut dispatcher, mut worker, _other) = with_workers().await;
        let (mut open_client, mut waiting_client) =
            (dispatcher.connect().await, dispatcher.connect().await);
        open_client.send_request("/s/1", "a", "", "").await;
        let mut received = worker.next_request().await;
        received.start_stream().await;
        received.send_event(1).await;
        open_client.read_head().await;
        dispatcher.stop.take().unwrap().send(()).unwrap();
        while is_ready(&dispatcher).await {}
        // Requests are still accepted on open and on new connections.
        waiting_client.send_request("/p/1", "b", "", "").await;
        worker.next_request().await.respond("late").await;
        let response = waiting_client.read_response().await;
        assert_eq!((response.status, response.text().as_str()), (200, "late"));
        assert_eq!(
            header(&response.head, "connection").as_deref(),
            Some("close")
        );
        assert!(waiting_client.is_closed().await);
        let mut new_client = dispatcher.connect().await;
        new_client.send_request("/p/1", "c", "", "").await;
        worker.next_request().await.respond("later").await;
        assert_eq!(new_client.read_response().await.text(), "later");
        received.send_event(2).await;
        received.end_stream().await;
        let (text, complete) = open_client.read_rest().await;
        assert_eq!(
            (text, complete),
            (harness::event(1) + &harness::event(2), true)
        );
        assert!(open_client.is_closed().await);
        dispatcher.ended.await.unwrap();
    });
}

#[test]
fn request_long_after_shutdown_began_is_rejected_and_not_cut_off() {
    run_single_threaded(async {
        let (mut dispatcher, mut worker, _other) = with_workers().await;
        // A request in flight keeps the process running.
        let mut open_client = dispatcher.connect().await;
        open_client.send_request("/s/1", "a", "", "").await;
        let mut received = worker.next_request().await;
        received.start_stream().await;
        received.send_event(1).await;
        open_client.read_head().await;
        dispatcher.stop.take().unwrap().send(()).unwrap();
        let shutdown_requested = std::time::Instant::now();
        for number in 0.. {
            let mut client = dispatcher.connect().await;
            client
                .send_request("/p/1", &format!("p{number}"), "", "")
                .await;
            tokio::select! {
                received = worker.next_request() => received.respond("taken").await,
                response = client.read_response() => {
                    assert_eq!(response.status, 503, "the request has not run");
                    assert!(shutdown_requested.elapsed() > Duration::from_millis(1500), "rejected too early, after {number} requests");
                    assert_eq!(header(&response.head, "connection").as_deref(), Some("close"));
                    assert!(header(&response.head, "retry-after").is_some());
                    break;
                }
            }
            assert_eq!(client.read_response().await.text(), "taken");
            assert!(
                shutdown_requested.elapsed() < Duration::from_secs(3),
                "accepted too late, so that the end of the process could cut it off"
            );
        }
        assert!(!worker.has_request());
        received.end_stream().await;
        dispatcher.ended.await.unwrap();
    });
}

#[test]
fn open_requests_are_answered_before_the_grace_period_ends() {
    run_single_threaded(async {
        let (mut dispatcher, mut worker, _other) = with_workers().await;
        let mut client = dispatcher.connect().await;
        // This request would take longer than the grace period.
        client.send_request("/o/1", "a", "", "").await;
        let received = worker.next_request().await;
        dispatcher.stop.take().unwrap().send(()).unwrap();
        assert_eq!(
            client.read_response().await.status,
            502,
            "the request may have run"
        );
        dispatcher.ended.await.unwrap();
        drop(received);
    });
}

#[test]
fn older_configuration_is_ignored() {
    run_single_threaded(async {
        let (dispatcher, _first_worker, _second_worker) = with_workers().await;
        let older = CONFIGURATION
            .replace("\"config_version\":3", "\"config_version\":2")
            .replace("/p/", "/q/");
        let older = mintlb_common::configuration::Configuration::parse(older.as_bytes()).unwrap();
        dispatcher
            .update_sender
            .send(ClusterUpdate::Configuration(2, std::sync::Arc::new(older)))
            .unwrap();
        let newer = CONFIGURATION
            .replace("\"config_version\":3", "\"config_version\":9")
            .replace("/o/", "/w/");
        dispatcher.configure(&newer).await;
        let route = |path: &str| {
            dispatcher
                .shared
                .routing()
                .unwrap()
                .route("shop.example", path)
                .is_some()
        };
        assert!(route("/p/1") && route("/w/1") && !route("/o/1") && !route("/q/1"));
    });
}
