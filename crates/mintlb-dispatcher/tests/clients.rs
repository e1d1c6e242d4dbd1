//! Deadlines, retries and disconnects from a client's point of view.

mod machine;

use machine::{
    CONFIGURATION, Client, Machine, ReceivedRequest, Worker, event, header, on_one_thread,
};
use mintlb_common::record::WorkerState;
use std::ops::Range;
use std::time::Duration;
use tokio::time::{Instant, advance, pause, resume};

async fn with_worker() -> (Machine, Worker) {
    // On a machine that is busy a request must not outlive its target by the test's own pauses.
    with_worker_of(
        &CONFIGURATION.replace("\"target_latency_ms\":300", "\"target_latency_ms\":3000"),
    )
    .await
}

async fn with_worker_of(configuration: &str) -> (Machine, Worker) {
    let machine = Machine::start().await;
    machine.configure(configuration).await;
    let worker = another(&machine, "i-1").await;
    (machine, worker)
}

async fn another(machine: &Machine, instance_id: &str) -> Worker {
    let worker = Worker::start(instance_id, "s").await;
    machine.set_worker(&worker, WorkerState::InService, 1).await;
    worker
}

/// Lets this time pass at once.
async fn pass(length: Duration) {
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

/// A request by a client that waits for 20 s, longer than any route allows.
async fn patient(machine: &Machine, path: &str) -> Client {
    let mut client = machine.client().await;
    let head = format!("POST {path} HTTP/1.1\r\nHost: shop.example\r\nMintlb-Request-Id: a\r\n");
    client
        .write(&format!(
            "{head}Mintlb-Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n"
        ))
        .await;
    client
}

/// Half a second after a route's 5 s; that a request waits for less is wrong, too.
const ROUTES_TIME: Range<Duration> = Duration::from_millis(4900)..Duration::from_millis(5500);

/// Runs a case until what it waits for comes in time, three times at the most: on a machine that is busy the test itself
/// may be late.
async fn in_time<F: Future<Output = Duration>>(time: Range<Duration>, case: impl Fn() -> F) {
    let mut waited = Vec::new();
    for _ in 0..3 {
        let took = case().await;
        waited.push(took);
        assert!(took >= time.start, "too soon: {waited:?}");
        if took < time.end {
            return;
        }
    }
    panic!("too late: {waited:?}");
}

/// A request that may run once only, at a worker that says nothing.
async fn silent(path: &str) -> Duration {
    let (machine, mut worker) = with_worker().await;
    let began = Instant::now();
    let mut client = patient(&machine, path).await;
    let silent = worker.next_request().await;
    assert!(
        (4500..=5000).contains(&deadline(&silent)),
        "the route's 5 s are the shorter"
    );
    pass(Duration::from_millis(4900) - began.elapsed()).await;
    assert_eq!(client.get().await.status, 504, "{path}");
    let waited = began.elapsed();
    silent.on.closed().await;
    assert!(!worker.has_request(), "it may have run");
    waited
}

#[test]
fn a_request_has_its_final_answer_when_its_routes_time_is_over() {
    on_one_thread(async {
        for path in ["/o/1", "/s/1"] {
            in_time(ROUTES_TIME, || silent(path)).await;
        }
    });
}

/// A request that may run again, whose worker is given up before its time is over, and asked once more.
async fn silent_twice(path: &str) -> Duration {
    let (machine, mut worker) = with_worker_of(CONFIGURATION).await;
    let began = Instant::now();
    let mut client = patient(&machine, path).await;
    let _silent = worker.next_request().await;
    pass(Duration::from_millis(3000) - began.elapsed()).await;
    let _again = worker.next_request().await;
    pass(Duration::from_millis(4900) - began.elapsed()).await;
    assert_eq!(client.get().await.status, 504, "{path}");
    began.elapsed()
}

#[test]
fn what_may_run_again_has_its_final_answer_then_too() {
    on_one_thread(async {
        for path in ["/p/1", "/r/1"] {
            in_time(ROUTES_TIME, || silent_twice(path)).await;
        }
    });
}

/// A stream that stops after its first event.
async fn stops() -> Duration {
    let (machine, mut worker) = with_worker().await;
    let began = Instant::now();
    let mut client = patient(&machine, "/s/1").await;
    let mut received = worker.next_request().await;
    received.begin_stream().await;
    received.event(1).await;
    client.head().await;
    client.chunks(event(1).len()).await;
    pass(Duration::from_millis(4900) - began.elapsed()).await;
    assert_eq!(client.rest().await, (event(1), false));
    let waited = began.elapsed();
    received.on.closed().await;
    waited
}

#[test]
fn a_stream_that_has_begun_ends_when_its_routes_time_is_over() {
    on_one_thread(in_time(ROUTES_TIME, stops));
}

#[test]
fn a_clients_time_counts_from_its_head() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut client = machine.client().await;
        let head = "POST /o/1 HTTP/1.1\r\nHost: shop.example\r\nMintlb-Request-Id: a\r\nContent-Length: 4\r\n";
        client
            .write(&format!(
                "{head}Mintlb-Deadline-Ms: 3000\r\nExpect: 100-continue\r\n\r\n"
            ))
            .await;
        assert_eq!(client.head().await.0, 100, "its head was read");
        pass(Duration::from_millis(1200)).await;
        client.write("body").await;
        let received = worker.next_request().await;
        assert!(
            (1000..=1800).contains(&deadline(&received)),
            "{}",
            deadline(&received)
        );
        received.answer("ok").await;
        assert_eq!(client.get().await.text(), "ok");
    });
}

#[test]
fn each_further_send_says_what_is_left() {
    on_one_thread(async {
        let (machine, mut one) = with_worker().await;
        let mut client = machine.client().await;
        client.post("/p/1", "a", "", "").await;
        let first = one.next_request().await;
        assert!(deadline(&first) <= 5000);
        let mut two = another(&machine, "i-2").await;
        pass(Duration::from_millis(600)).await;
        let before = deadline(&first);
        first.on.reset();
        let second = two.next_request().await;
        assert!(
            deadline(&second) + 600 <= before,
            "{before} {}",
            deadline(&second)
        );
        second.answer("ok").await;
        assert_eq!(client.get().await.text(), "ok");
    });
}

#[test]
fn no_more_workers_than_max_attempts_get_a_try() {
    on_one_thread(async {
        let (machine, mut one) = with_worker().await;
        let mut client = machine.client().await;
        client.post("/p/1", "a", "", "").await;
        let first = one.next_request().await;
        let (mut two, mut three) = (
            another(&machine, "i-2").await,
            another(&machine, "i-3").await,
        );
        first.on.reset();
        let second = tokio::select! { received = two.next_request() => received, received = three.next_request() => received };
        second.on.reset();
        assert_eq!(client.get().await.status, 502);
        assert!(!one.has_request() && !two.has_request() && !three.has_request());
    });
}

#[test]
fn a_worker_of_another_version_is_passed_over_and_stays_in_service() {
    on_one_thread(async {
        let (machine, mut one) = with_worker().await;
        let mut client = machine.client().await;
        client.post("/o/1", "a", "Expect-Version: 7\r\n", "").await;
        let received = one.next_request().await;
        assert_eq!(
            header(&received.head, "expect-version").as_deref(),
            Some("7")
        );
        let mut two = another(&machine, "i-2").await;
        received
            .answer_with(
                "HTTP/1.1 421 No\r\nmintlb-request-id: a\r\nversions: 6\r\ncontent-length: 0\r\n\r\n",
            )
            .await;
        two.next_request()
            .await
            .answer_as("200 OK", "versions: 7\r\ncontent-length: 2\r\n\r\nok")
            .await;
        let got = client.get().await;
        assert_eq!(
            (
                got.text().as_str(),
                header(&got.head, "versions").as_deref()
            ),
            ("ok", Some("7"))
        );
        assert_eq!(machine.shared.workers.in_service(), 2);
    });
}

#[test]
fn a_stream_that_goes_on_keeps_its_first_head_and_tells_of_a_new_version() {
    on_one_thread(async {
        for reset in [true, false] {
            let (machine, mut one) = with_worker().await;
            let mut client = machine.client().await;
            client.post("/r/1", "a", "", "prompt").await;
            let mut received = one.next_request().await;
            let mut two = another(&machine, "i-2").await;
            let head = "HTTP/1.1 200 OK\r\nmintlb-request-id: a\r\ncontent-type: text/event-stream\r\n\
                    transfer-encoding: chunked\r\nmintlb-response-signature: ";
            received
                .on
                .write(&format!("{head}first\r\nversions: 1\r\n\r\n"))
                .await;
            received.event(1).await;
            // It breaks off in the middle of an event.
            received.chunk("id: 2\ndata: ha").await;
            let (_, given) = client.head().await;
            client.chunks(event(1).len()).await;
            match reset {
                true => received.on.reset(),
                false => received.end_stream().await,
            }
            let mut received = two.next_request().await;
            assert_eq!(
                header(&received.head, "last-event-id").as_deref(),
                Some("1")
            );
            received
                .on
                .write(&format!("{head}second\r\nversions: 2\r\n\r\n"))
                .await;
            let second = format!("versions: 2\n{}", event(2));
            received.chunk(&second).await;
            received.end_stream().await;
            assert_eq!(client.rest().await, (event(1) + &second, true));
            assert_eq!(
                header(&given, "mintlb-response-signature").as_deref(),
                Some("first")
            );
            assert_eq!(header(&given, "versions").as_deref(), Some("1"));
        }
    });
}

/// A client that leaves after bytes that are no request yet; until its worker's connection is closed.
async fn leaves(path: &str) -> Duration {
    let (machine, mut worker) = with_worker().await;
    let mut client = machine.client().await;
    client.post(path, "a", "", "").await;
    let received = worker.next_request().await;
    client.post(path, "b", "", "").await;
    drop(client);
    let left = Instant::now();
    received.on.closed().await;
    assert!(!worker.has_request());
    left.elapsed()
}

#[test]
fn a_client_that_leaves_behind_more_bytes_takes_its_request_along() {
    on_one_thread(async {
        for path in ["/o/1", "/p/1", "/s/1", "/r/1"] {
            in_time(Duration::ZERO..Duration::from_millis(500), || leaves(path)).await;
        }
    });
}

#[test]
fn a_request_that_comes_before_the_answer_to_the_last_is_not_run() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker().await;
        let mut client = machine.client().await;
        client.post("/o/1", "a", "", "").await;
        let received = worker.next_request().await;
        client.post("/o/1", "b", "", "").await;
        received.answer("to a").await;
        let got = client.get().await;
        assert_eq!(
            (
                got.text().as_str(),
                header(&got.head, "mintlb-request-id").as_deref()
            ),
            ("to a", Some("a"))
        );
        assert!(client.ends().await, "nothing else passes");
        assert!(!worker.has_request());
    });
}

#[test]
fn a_request_that_comes_twice_at_once_runs_once() {
    on_one_thread(async {
        for path in ["/o/1", "/s/1"] {
            let (machine, mut worker) = with_worker().await;
            let (mut one, mut two) = (machine.client().await, machine.client().await);
            one.post(path, "a", "", "").await;
            let received = worker.next_request().await;
            two.post(path, "a", "", "").await;
            assert_eq!(two.get().await.status, 502, "nothing is promised of it");
            // Its two sends are refused.
            received.refuse().await;
            worker.next_request().await.refuse().await;
            assert_eq!(one.get().await.status, 503, "{path}");
            // With that promise it may come again.
            two.post(path, "a", "", "").await;
            worker.next_request().await.answer("ran").await;
            assert!(two.get().await.text().contains("ran"));
            assert!(!worker.has_request());
        }
    });
}
