//! Deadlines, retries and disconnects, observed by the client.

mod harness;

use harness::{
    CONFIGURATION, Client, ReceivedRequest, TestDispatcher, Worker, event, header,
    run_single_threaded,
};
use mintlb_common::record::WorkerState;
use std::ops::Range;
use std::time::Duration;
use tokio::time::{Instant, advance, pause, resume};

async fn with_worker() -> (TestDispatcher, Worker) {
    // A long target, so that pauses of the test on a busy machine don't exceed it.
    with_worker_of(
        &CONFIGURATION.replace("\"target_latency_ms\":300", "\"target_latency_ms\":3000"),
    )
    .await
}

async fn with_worker_of(configuration: &str) -> (TestDispatcher, Worker) {
    let dispatcher = TestDispatcher::start().await;
    dispatcher.configure(configuration).await;
    let worker = add_worker(&dispatcher, "i-1").await;
    (dispatcher, worker)
}

async fn add_worker(dispatcher: &TestDispatcher, instance_id: &str) -> Worker {
    let worker = Worker::start(instance_id, "s").await;
    dispatcher
        .set_worker(&worker, WorkerState::InService, 1)
        .await;
    worker
}

/// Advances the clock by this time.
async fn advance_clock(length: Duration) {
    pause();
    advance(length).await;
    resume();
}

fn deadline(received: &ReceivedRequest) -> u64 {
    header(&received.head, "mintlb-deadline-ms")
        .unwrap()
        .parse()
        .unwrap()
}

/// Sends a request with a deadline of 20 s, which is longer than the timeout of any route.
async fn send_with_long_deadline(dispatcher: &TestDispatcher, path: &str) -> Client {
    let mut client = dispatcher.connect().await;
    let head = format!("POST {path} HTTP/1.1\r\nHost: shop.example\r\nMintlb-Request-Id: a\r\n");
    client
        .write(&format!(
            "{head}Mintlb-Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n"
        ))
        .await;
    client
}

/// When a request has to end with a route timeout of 5 s: at most 0.1 s early and 0.5 s late.
const EXPECTED_END: Range<Duration> = Duration::from_millis(4900)..Duration::from_millis(5500);

/// Runs a case up to three times, until the duration that it returns is within `range`. On a busy machine the test itself
/// may be late; a duration below the range always fails.
async fn expect_duration<F: Future<Output = Duration>>(
    range: Range<Duration>,
    case: impl Fn() -> F,
) {
    let mut waited = Vec::new();
    for _ in 0..3 {
        let took = case().await;
        waited.push(took);
        assert!(took >= range.start, "too soon: {waited:?}");
        if took < range.end {
            return;
        }
    }
    panic!("too late: {waited:?}");
}

/// Sends a non-idempotent request to a worker that does not respond.
async fn time_until_timeout(path: &str) -> Duration {
    let (dispatcher, mut worker) = with_worker().await;
    let started_at = Instant::now();
    let mut client = send_with_long_deadline(&dispatcher, path).await;
    let unanswered = worker.next_request().await;
    assert!(
        (4500..=5000).contains(&deadline(&unanswered)),
        "the route's timeout of 5 s applies"
    );
    advance_clock(Duration::from_millis(4900) - started_at.elapsed()).await;
    assert_eq!(client.read_response().await.status, 504, "{path}");
    let waited = started_at.elapsed();
    unanswered.connection.wait_until_closed().await;
    assert!(!worker.has_request(), "the request may have run");
    waited
}

#[test]
fn request_gets_504_at_its_routes_timeout() {
    run_single_threaded(async {
        for path in ["/o/1", "/s/1"] {
            expect_duration(EXPECTED_END, || time_until_timeout(path)).await;
        }
    });
}

/// Sends an idempotent request to a worker that does not respond, and is sent the retry as well.
async fn time_until_timeout_with_retry(path: &str) -> Duration {
    let (dispatcher, mut worker) = with_worker_of(CONFIGURATION).await;
    let started_at = Instant::now();
    let mut client = send_with_long_deadline(&dispatcher, path).await;
    let _unanswered = worker.next_request().await;
    advance_clock(Duration::from_millis(3000) - started_at.elapsed()).await;
    let _again = worker.next_request().await;
    advance_clock(Duration::from_millis(4900) - started_at.elapsed()).await;
    assert_eq!(client.read_response().await.status, 504, "{path}");
    started_at.elapsed()
}

#[test]
fn idempotent_request_gets_504_at_its_routes_timeout() {
    run_single_threaded(async {
        for path in ["/p/1", "/r/1"] {
            expect_duration(EXPECTED_END, || time_until_timeout_with_retry(path)).await;
        }
    });
}

/// Sends a request whose stream stops after the first event.
async fn time_until_stopped_stream_ends() -> Duration {
    let (dispatcher, mut worker) = with_worker().await;
    let started_at = Instant::now();
    let mut client = send_with_long_deadline(&dispatcher, "/s/1").await;
    let mut received = worker.next_request().await;
    received.start_stream().await;
    received.send_event(1).await;
    client.read_head().await;
    client.read_body_prefix(event(1).len()).await;
    advance_clock(Duration::from_millis(4900) - started_at.elapsed()).await;
    assert_eq!(client.read_rest().await, (event(1), false));
    let waited = started_at.elapsed();
    received.connection.wait_until_closed().await;
    waited
}

#[test]
fn started_stream_ends_at_its_routes_timeout() {
    run_single_threaded(expect_duration(
        EXPECTED_END,
        time_until_stopped_stream_ends,
    ));
}

#[test]
fn client_deadline_counts_from_the_request_head() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        let head = "POST /o/1 HTTP/1.1\r\nHost: shop.example\r\nMintlb-Request-Id: a\r\nContent-Length: 4\r\n";
        client
            .write(&format!(
                "{head}Mintlb-Deadline-Ms: 3000\r\nExpect: 100-continue\r\n\r\n"
            ))
            .await;
        assert_eq!(client.read_head().await.0, 100, "the head was read");
        advance_clock(Duration::from_millis(1200)).await;
        client.write("body").await;
        let received = worker.next_request().await;
        assert!(
            (1000..=1800).contains(&deadline(&received)),
            "{}",
            deadline(&received)
        );
        received.respond("ok").await;
        assert_eq!(client.read_response().await.text(), "ok");
    });
}

#[test]
fn each_attempt_carries_the_remaining_deadline() {
    run_single_threaded(async {
        let (dispatcher, mut first_worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        client.send_request("/p/1", "a", "", "").await;
        let first = first_worker.next_request().await;
        assert!(deadline(&first) <= 5000);
        let mut second_worker = add_worker(&dispatcher, "i-2").await;
        advance_clock(Duration::from_millis(600)).await;
        let before = deadline(&first);
        first.connection.reset();
        let second = second_worker.next_request().await;
        assert!(
            deadline(&second) + 600 <= before,
            "{before} {}",
            deadline(&second)
        );
        second.respond("ok").await;
        assert_eq!(client.read_response().await.text(), "ok");
    });
}

#[test]
fn request_is_sent_to_at_most_max_attempts_workers() {
    run_single_threaded(async {
        let (dispatcher, mut first_worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        client.send_request("/p/1", "a", "", "").await;
        let first = first_worker.next_request().await;
        let (mut second_worker, mut third_worker) = (
            add_worker(&dispatcher, "i-2").await,
            add_worker(&dispatcher, "i-3").await,
        );
        first.connection.reset();
        let second = tokio::select! { received = second_worker.next_request() => received, received = third_worker.next_request() => received };
        second.connection.reset();
        assert_eq!(client.read_response().await.status, 502);
        assert!(
            !first_worker.has_request()
                && !second_worker.has_request()
                && !third_worker.has_request()
        );
    });
}

#[test]
fn worker_of_another_version_is_skipped_and_stays_in_service() {
    run_single_threaded(async {
        let (dispatcher, mut first_worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        client
            .send_request("/o/1", "a", "Expect-Version: 7\r\n", "")
            .await;
        let received = first_worker.next_request().await;
        assert_eq!(
            header(&received.head, "expect-version").as_deref(),
            Some("7")
        );
        let mut second_worker = add_worker(&dispatcher, "i-2").await;
        received
            .respond_raw(
                "HTTP/1.1 421 No\r\nmintlb-request-id: a\r\nversions: 6\r\ncontent-length: 0\r\n\r\n",
            )
            .await;
        second_worker
            .next_request()
            .await
            .respond_with("200 OK", "versions: 7\r\ncontent-length: 2\r\n\r\nok")
            .await;
        let response = client.read_response().await;
        assert_eq!(
            (
                response.text().as_str(),
                header(&response.head, "versions").as_deref()
            ),
            ("ok", Some("7"))
        );
        assert_eq!(dispatcher.shared.workers.in_service(), 2);
    });
}

#[test]
fn resumed_stream_keeps_its_first_head_and_forwards_a_version_event() {
    run_single_threaded(async {
        for reset in [true, false] {
            let (dispatcher, mut first_worker) = with_worker().await;
            let mut client = dispatcher.connect().await;
            client.send_request("/r/1", "a", "", "prompt").await;
            let mut received = first_worker.next_request().await;
            let mut second_worker = add_worker(&dispatcher, "i-2").await;
            let head = "HTTP/1.1 200 OK\r\nmintlb-request-id: a\r\ncontent-type: text/event-stream\r\n\
                    transfer-encoding: chunked\r\nmintlb-response-signature: ";
            received
                .connection
                .write(&format!("{head}first\r\nversions: 1\r\n\r\n"))
                .await;
            received.send_event(1).await;
            // The stream is truncated within an event.
            received.send_chunk("id: 2\ndata: ha").await;
            let (_, given) = client.read_head().await;
            client.read_body_prefix(event(1).len()).await;
            match reset {
                true => received.connection.reset(),
                false => received.end_stream().await,
            }
            let mut received = second_worker.next_request().await;
            assert_eq!(
                header(&received.head, "last-event-id").as_deref(),
                Some("1")
            );
            received
                .connection
                .write(&format!("{head}second\r\nversions: 2\r\n\r\n"))
                .await;
            let second = format!("versions: 2\n{}", event(2));
            received.send_chunk(&second).await;
            received.end_stream().await;
            assert_eq!(client.read_rest().await, (event(1) + &second, true));
            assert_eq!(
                header(&given, "mintlb-response-signature").as_deref(),
                Some("first")
            );
            assert_eq!(header(&given, "versions").as_deref(), Some("1"));
        }
    });
}

/// Disconnects a client that has sent a further request. Returns the time until the worker's connection is closed.
async fn time_until_cancelled(path: &str) -> Duration {
    let (dispatcher, mut worker) = with_worker().await;
    let mut client = dispatcher.connect().await;
    client.send_request(path, "a", "", "").await;
    let received = worker.next_request().await;
    client.send_request(path, "b", "", "").await;
    drop(client);
    let left = Instant::now();
    received.connection.wait_until_closed().await;
    assert!(!worker.has_request());
    left.elapsed()
}

#[test]
fn disconnect_behind_unread_bytes_cancels_the_request() {
    run_single_threaded(async {
        for path in ["/o/1", "/p/1", "/s/1", "/r/1"] {
            expect_duration(Duration::ZERO..Duration::from_millis(500), || {
                time_until_cancelled(path)
            })
            .await;
        }
    });
}

#[test]
fn pipelined_request_is_not_run() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker().await;
        let mut client = dispatcher.connect().await;
        client.send_request("/o/1", "a", "", "").await;
        let received = worker.next_request().await;
        client.send_request("/o/1", "b", "", "").await;
        received.respond("to a").await;
        let response = client.read_response().await;
        assert_eq!(
            (
                response.text().as_str(),
                header(&response.head, "mintlb-request-id").as_deref()
            ),
            ("to a", Some("a"))
        );
        assert!(client.is_closed().await, "the client received more bytes");
        assert!(!worker.has_request());
    });
}

#[test]
fn concurrent_duplicate_of_a_request_is_not_run() {
    run_single_threaded(async {
        for path in ["/o/1", "/s/1"] {
            let (dispatcher, mut worker) = with_worker().await;
            let (mut first_client, mut second_client) =
                (dispatcher.connect().await, dispatcher.connect().await);
            first_client.send_request(path, "a", "", "").await;
            let received = worker.next_request().await;
            second_client.send_request(path, "a", "", "").await;
            assert_eq!(
                second_client.read_response().await.status,
                502,
                "the duplicate gets no statement whether the request ran"
            );
            // Both attempts are rejected.
            received.reject_not_executed().await;
            worker.next_request().await.reject_not_executed().await;
            assert_eq!(first_client.read_response().await.status, 503, "{path}");
            // After a 503 the client may retry with the same id.
            second_client.send_request(path, "a", "", "").await;
            worker.next_request().await.respond("ran").await;
            assert!(second_client.read_response().await.text().contains("ran"));
            assert!(!worker.has_request());
        }
    });
}
