//! Readiness and graceful shutdown of a dispatcher.

mod machine;

use machine::{CONFIGURATION, Client, Machine, Worker, header, on_one_thread};
use mintlb_common::record::WorkerState;
use mintlb_dispatcher::cluster_state::ClusterUpdate;
use std::time::Duration;

async fn is_ready(machine: &Machine) -> bool {
    let mut client = Client::connect(machine.readiness).await;
    client
        .write("GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        .await;
    client.get().await.status == 200
}

async fn ready(machine: &Machine) {
    while !is_ready(machine).await {}
}

async fn with_workers() -> (Machine, Worker, Worker) {
    let machine = Machine::start().await;
    let (one, two) = (
        Worker::start("i-1", "s").await,
        Worker::start("i-2", "t").await,
    );
    machine.configure(CONFIGURATION).await;
    machine.set_worker(&one, WorkerState::InService, 1).await;
    machine.set_worker(&two, WorkerState::InService, 1).await;
    machine.update_sender.send(ClusterUpdate::Joined).unwrap();
    ready(&machine).await;
    (machine, one, two)
}

#[test]
fn it_is_ready_once_all_is_known() {
    on_one_thread(async {
        let machine = Machine::start().await;
        assert!(!is_ready(&machine).await);
        let (one, two) = (
            Worker::start("i-1", "s").await,
            Worker::start("i-2", "t").await,
        );
        machine.update_sender.send(ClusterUpdate::Joined).unwrap();
        machine.configure(CONFIGURATION).await;
        machine.set_worker(&one, WorkerState::InService, 1).await;
        assert!(!is_ready(&machine).await, "a service has no worker yet");
        machine.set_worker(&two, WorkerState::InService, 1).await;
        ready(&machine).await;
    });
}

#[test]
fn not_ready_before_joining_the_gossip() {
    on_one_thread(async {
        let machine = Machine::start().await;
        let (one, two) = (
            Worker::start("i-1", "s").await,
            Worker::start("i-2", "t").await,
        );
        machine.configure(CONFIGURATION).await;
        machine.set_worker(&one, WorkerState::InService, 1).await;
        machine.set_worker(&two, WorkerState::InService, 1).await;
        assert!(!is_ready(&machine).await);
    });
}

/// A process that has just started and knows nobody, or only processes that know nothing.
#[test]
fn without_a_configuration_all_is_503_and_it_is_not_ready() {
    on_one_thread(async {
        let machine = Machine::start().await;
        let worker = Worker::start("i-1", "s").await;
        machine.set_worker(&worker, WorkerState::InService, 1).await;
        machine.update_sender.send(ClusterUpdate::Joined).unwrap();
        for path in [
            "/p/1",
            "/o/1",
            "/b/1",
            "/v1/lots/l",
            "/v1/items/l?instance_id=e",
            "/nowhere",
        ] {
            let mut client = machine.client().await;
            client.post(path, "a", "", "x").await;
            assert_eq!(client.get().await.status, 503, "{path}");
            for method in ["GET", "DELETE"] {
                let mut client = machine.client().await;
                client
                    .write(&format!(
                        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\n\r\n"
                    ))
                    .await;
                assert_eq!(client.get().await.status, 503, "{method} {path}");
            }
        }
        // How long a body may be stands in the configuration, too.
        let mut client = machine.client().await;
        client
            .write("POST /p/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 8000000\r\n\r\n")
            .await;
        assert_eq!(client.get().await.status, 503, "a long body");
        assert!(!is_ready(&machine).await);
    });
}

#[test]
fn graceful_shutdown_completes_open_and_late_requests() {
    on_one_thread(async {
        let (mut machine, mut worker, _other) = with_workers().await;
        let (mut before, mut idle) = (machine.client().await, machine.client().await);
        before.post("/s/1", "a", "", "").await;
        let mut received = worker.next_request().await;
        received.begin_stream().await;
        received.event(1).await;
        before.head().await;
        machine.stop.take().unwrap().send(()).unwrap();
        while is_ready(&machine).await {}
        // Connections from before still bring requests, and new ones may.
        idle.post("/p/1", "b", "", "").await;
        worker.next_request().await.answer("late").await;
        let got = idle.get().await;
        assert_eq!((got.status, got.text().as_str()), (200, "late"));
        assert_eq!(header(&got.head, "connection").as_deref(), Some("close"));
        assert!(idle.ends().await);
        let mut after = machine.client().await;
        after.post("/p/1", "c", "", "").await;
        worker.next_request().await.answer("later").await;
        assert_eq!(after.get().await.text(), "later");
        received.event(2).await;
        received.end_stream().await;
        let (text, complete) = before.rest().await;
        assert_eq!(
            (text, complete),
            (machine::event(1) + &machine::event(2), true)
        );
        assert!(before.ends().await);
        machine.ended.await.unwrap();
    });
}

#[test]
fn a_request_long_after_shutdown_began_is_rejected_and_not_cut() {
    on_one_thread(async {
        let (mut machine, mut worker, _other) = with_workers().await;
        // It keeps the process.
        let mut before = machine.client().await;
        before.post("/s/1", "a", "", "").await;
        let mut received = worker.next_request().await;
        received.begin_stream().await;
        received.event(1).await;
        before.head().await;
        machine.stop.take().unwrap().send(()).unwrap();
        let shutdown_requested = std::time::Instant::now();
        for number in 0.. {
            let mut client = machine.client().await;
            client.post("/p/1", &format!("p{number}"), "", "").await;
            tokio::select! {
                received = worker.next_request() => received.answer("taken").await,
                got = client.get() => {
                    assert_eq!(got.status, 503, "it has not run");
                    assert!(shutdown_requested.elapsed() > Duration::from_millis(1500), "{number} were taken");
                    assert_eq!(header(&got.head, "connection").as_deref(), Some("close"));
                    assert!(header(&got.head, "retry-after").is_some());
                    break;
                }
            }
            assert_eq!(client.get().await.text(), "taken");
            assert!(
                shutdown_requested.elapsed() < Duration::from_secs(3),
                "it would be cut by the end"
            );
        }
        assert!(!worker.has_request());
        received.end_stream().await;
        machine.ended.await.unwrap();
    });
}

#[test]
fn open_requests_are_answered_before_the_grace_period_ends() {
    on_one_thread(async {
        let (mut machine, mut worker, _other) = with_workers().await;
        let mut client = machine.client().await;
        // Longer than the grace that is left.
        client.post("/o/1", "a", "", "").await;
        let received = worker.next_request().await;
        machine.stop.take().unwrap().send(()).unwrap();
        assert_eq!(client.get().await.status, 502, "it may have run");
        machine.ended.await.unwrap();
        drop(received);
    });
}

#[test]
fn an_older_configuration_changes_nothing() {
    on_one_thread(async {
        let (machine, _one, _two) = with_workers().await;
        let older = CONFIGURATION
            .replace("\"config_version\":3", "\"config_version\":2")
            .replace("/p/", "/q/");
        let older = mintlb_common::configuration::Configuration::parse(older.as_bytes()).unwrap();
        machine
            .update_sender
            .send(ClusterUpdate::Configuration(2, std::sync::Arc::new(older)))
            .unwrap();
        let newer = CONFIGURATION
            .replace("\"config_version\":3", "\"config_version\":9")
            .replace("/o/", "/w/");
        machine.configure(&newer).await;
        let route = |path: &str| {
            machine
                .shared
                .routing()
                .unwrap()
                .route("shop.example", path)
                .is_some()
        };
        assert!(route("/p/1") && route("/w/1") && !route("/o/1") && !route("/q/1"));
    });
}
