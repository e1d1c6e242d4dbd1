//! Long series of configurations, while requests of each are in flight.

mod harness;

use harness::{Client, ReceivedRequest, TestDispatcher, Worker, event, run_single_threaded};
use mintlb_common::record::WorkerState;

/// More than a project type has numbers before former ones are given up.
const CHANGES: u64 = 70;

const STREAM: &str = r#""route_type":"streaming""#;
const RESUMABLE_STREAM: &str = r#""route_type":"streaming","resumable":true"#;

/// One route to this service; each version has another timeout, so that its project type changes.
fn configuration(version: u64, service: &str, kind: &str) -> String {
    format!(
        r#"{{"config_version":{version},"route_list":[{{"name":"r","host_name":"shop.example","path_prefix":"/r/",
        {kind},"timeout_ms":{},"target_latency_ms":60000,"priority":0,"target_service":"{service}",
        "max_attempts":2}}],"service_list":[{{"name":"s","max_connections":100}},{{"name":"t","max_connections":100}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        100_000 + version
    )
}

async fn add_worker(dispatcher: &TestDispatcher, instance_id: &str, service: &str) -> Worker {
    let worker = Worker::start(instance_id, service).await;
    dispatcher
        .set_worker(&worker, WorkerState::InService, 1)
        .await;
    worker
}

/// Sends a request whose deadline is beyond the end of the test.
async fn send(client: &mut Client, id: &str) {
    let head = format!("POST /r/1 HTTP/1.1\r\nHost: shop.example\r\nMintlb-Request-Id: {id}\r\n");
    client
        .write(&format!(
            "{head}Mintlb-Deadline-Ms: 90000\r\nContent-Length: 0\r\n\r\n"
        ))
        .await;
}

/// A request that is being served by a worker of its own, which gets no other.
struct InFlight {
    client: Client,
    received: ReceivedRequest,
    _worker: Worker,
}

async fn send_to_new_worker(dispatcher: &TestDispatcher, number: u64) -> InFlight {
    let mut worker = add_worker(dispatcher, &format!("i-{number}"), "s").await;
    let mut client = dispatcher.connect().await;
    send(&mut client, &format!("id-{number}")).await;
    let received = worker.next_request().await;
    dispatcher
        .set_worker(&worker, WorkerState::Draining, 2)
        .await;
    InFlight {
        client,
        received,
        _worker: worker,
    }
}

async fn start_stream(dispatcher: &TestDispatcher, number: u64) -> InFlight {
    let mut stream = send_to_new_worker(dispatcher, number).await;
    stream.received.start_stream().await;
    stream.received.send_event(1).await;
    stream.client.read_head().await;
    stream
}

/// Guards against CONFIG: requests of 64 earlier versions in flight kept the former configuration in force.
#[test]
fn a_configuration_is_in_force_whatever_requests_of_earlier_ones_are_in_flight() {
    run_single_threaded(async {
        let dispatcher = TestDispatcher::start().await;
        let mut streams = Vec::new();
        for version in 1..=CHANGES {
            dispatcher
                .configure(&configuration(version, "s", STREAM))
                .await;
            let stream = start_stream(&dispatcher, version).await;
            streams.push(stream);
        }
        let moved = configuration(CHANGES + 1, "t", STREAM);
        dispatcher.configure(&moved).await;
        let mut other = add_worker(&dispatcher, "i-t", "t").await;
        let mut client = dispatcher.connect().await;
        send(&mut client, "after").await;
        assert_eq!(other.next_request().await.id(), "after");
        // The streams of all versions go on, each with its own worker.
        for mut stream in streams {
            stream.received.send_event(2).await;
            stream.received.end_stream().await;
            let (text, is_complete) = stream.client.read_rest().await;
            assert!(is_complete);
            assert!(text.ends_with(&event(2)), "{text}");
        }
    });
}

/// The route becomes idempotent in later versions. What came before may still run once.
#[test]
fn requests_that_gave_up_their_number_run_no_more_often_than_before() {
    run_single_threaded(async {
        let dispatcher = TestDispatcher::start().await;
        let mut requests = Vec::new();
        for (version, route_type) in [(1, "non_idempotent"), (2, "idempotent")] {
            let kind = format!(r#""route_type":"{route_type}""#);
            dispatcher
                .configure(&configuration(version, "s", &kind))
                .await;
            requests.push(send_to_new_worker(&dispatcher, version).await);
        }
        let mut streams = Vec::new();
        for version in 3..=CHANGES {
            dispatcher
                .configure(&configuration(version, "s", RESUMABLE_STREAM))
                .await;
            streams.push(start_stream(&dispatcher, version).await);
        }
        let mut last = add_worker(&dispatcher, "i-last", "s").await;
        let first = requests.remove(0);
        first.received.connection.reset();
        let mut client = first.client;
        assert_eq!(client.read_response().await.status, 502);
        assert!(!last.has_request(), "TWICE");
        // One that may be repeated is.
        let second = requests.remove(0);
        second.received.connection.reset();
        let again = last.next_request().await;
        assert_eq!(again.id(), "id-2");
        again.respond("done").await;
        let mut client = second.client;
        assert_eq!(client.read_response().await.text(), "done");
    });
}
