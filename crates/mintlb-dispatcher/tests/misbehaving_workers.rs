//! Many concurrent requests to misbehaving workers: checks that the invariants of the serving tier are never violated.

mod harness;

use harness::{
    CONFIGURATION, Client, ReceivedRequest, TestDispatcher, Worker, event, header,
    run_single_threaded,
};
use mintlb_common::record::WorkerState;
use mintlb_scheduler::util::Rng;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

const WORKERS: usize = 4;
const CLIENTS: usize = 8;
const REQUESTS: usize = 24;

/// Number of executions of each request, by its id.
type Runs = Rc<RefCell<HashMap<String, usize>>>;

/// Number of events in a request's complete stream.
fn event_count(id: &str) -> u64 {
    1 + id.bytes().map(u64::from).sum::<u64>() % 9
}

/// The complete body of a response that is not a stream.
fn full_body(id: &str) -> String {
    format!("answer to {id} ").repeat(1 + event_count(id) as usize)
}

fn random_below(rng: &mut Rng, of: u64) -> u64 {
    (rng.uniform() * of as f64) as u64
}

async fn misbehave(mut received: ReceivedRequest, runs: Runs, rng: &mut Rng) {
    let id = received.id();
    match random_below(rng, 20) {
        0 | 1 => return received.reject_not_executed().await,
        2 => {
            let rest = "mintlb-request-id: {id}\r\nmintlb-not-executed: full\r\ncontent-length: 4\r\n\r\nbusy";
            let rest = rest.replace("{id}", &id);
            return received
                .respond_raw(&format!("HTTP/1.1 429 Busy\r\n{rest}"))
                .await;
        }
        3 => {
            // The second rejection is a surplus response, received where the response to the next request is expected.
            let refusal = harness::raw::not_executed_response(&id);
            return received.respond_raw(&refusal.repeat(2)).await;
        }
        _ => *runs.borrow_mut().entry(id.clone()).or_default() += 1,
    }
    let is_stream = received.head.starts_with("POST /s/") || received.head.starts_with("POST /r/");
    match random_below(rng, 34) {
        0 => drop(received),
        1 => received.connection.reset(),
        2 => {
            received
                .respond_with("500 Oh", "content-length: 3\r\n\r\nwhy")
                .await
        }
        3 => {
            received
                .respond_with("503 Oh", "content-length: 3\r\n\r\nwhy")
                .await
        }
        4 => {
            received
                .respond_raw("nonsense\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")
                .await
        }
        5 => {
            let unsigned = format!(
                "HTTP/1.1 200 OK\r\nmintlb-request-id: {id}\r\ncontent-length: 2\r\n\r\nno"
            );
            received.respond_raw(&unsigned).await;
        }
        6 if is_stream => stream(received, &id, true).await,
        6 => {
            let rest = received.response_headers();
            received
                .connection
                .write(&format!(
                    "HTTP/1.1 200 OK\r\n{rest}content-length: 5000\r\n\r\ncut"
                ))
                .await;
        }
        7 => {
            let other_response = "mintlb-request-id: another\r\nmintlb-response-signature: s\r\ncontent-length: 4\r\n\r\nlate";
            received
                .connection
                .write(&format!("HTTP/1.1 200 OK\r\n{other_response}"))
                .await;
            succeed(received, &id, is_stream, "").await;
        }
        9 | 10 if !is_stream => {
            let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", received.response_headers());
            received.connection.write(&(head + &full_body(&id))).await;
        }
        11 if !is_stream => {
            let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", received.response_headers());
            received
                .connection
                .write(&(head + &full_body(&id)[..4]))
                .await;
            received.connection.reset();
        }
        12 if !is_stream => {
            let again = harness::raw::ok_response(&id, &full_body(&id));
            succeed(received, &id, is_stream, &again).await;
        }
        8 => {
            succeed(
                received,
                &id,
                is_stream,
                "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra",
            )
            .await
        }
        _ => succeed(received, &id, is_stream, "").await,
    }
}

async fn succeed(received: ReceivedRequest, id: &str, is_stream: bool, surplus: &str) {
    if is_stream {
        return stream(received, id, false).await;
    }
    let text = full_body(id);
    let rest = format!("content-length: {}\r\n\r\n{text}{surplus}", text.len());
    received.respond_with("200 OK", &rest).await;
}

async fn stream(mut received: ReceivedRequest, id: &str, truncate: bool) {
    let after =
        header(&received.head, "last-event-id").map_or(0, |last| last.parse::<u64>().unwrap());
    received.start_stream().await;
    for number in after + 1..=event_count(id) {
        if truncate && number > after + 1 && number.is_multiple_of(2) {
            received.send_chunk(&event(number)[..5]).await;
            return;
        }
        received.send_event(number).await;
    }
    received.end_stream().await;
}

/// Sends requests one after the other and checks each response.
async fn client(dispatcher: Rc<TestDispatcher>, name: usize, runs: Runs) -> HashMap<u16, usize> {
    let mut responses_by_status: HashMap<u16, usize> = HashMap::new();
    let mut connection: Option<Client> = None;
    for number in 0..REQUESTS {
        let path = ["/p/", "/o/", "/s/", "/r/"][(name + number) % 4];
        let id = format!("c{name}-{number}");
        let mut connected = match connection.take() {
            Some(connection) => connection,
            None => dispatcher.connect().await,
        };
        connected
            .send_request(&format!("{path}{number}"), &id, "", "a prompt")
            .await;
        let response = connected.read_response().await;
        let ran = runs.borrow().get(&id).copied().unwrap_or(0);
        let (non_idempotent, is_resumable) = (matches!(path, "/o/" | "/s/"), path == "/r/");
        *responses_by_status.entry(response.status).or_default() += 1;
        if non_idempotent {
            assert!(ran <= 1, "{id} ran {ran} times");
            assert!(
                response.status != 503 || ran == 0,
                "{id} got a 503, which promises that it has not run, but it ran"
            );
        }
        assert!(ran <= 2, "{id} ran at more workers than its route allows");
        if response.status == 200 {
            assert_eq!(
                header(&response.head, "mintlb-request-id").as_deref(),
                Some(&id[..])
            );
            assert_eq!(
                header(&response.head, "mintlb-response-signature"),
                Some(format!("s-{id}"))
            );
            let expected = match path {
                "/s/" | "/r/" => (1..=event_count(&id)).map(event).collect(),
                _ => full_body(&id),
            };
            match response.complete {
                true => assert_eq!(response.text(), expected, "{id}"),
                false => assert!(
                    expected.starts_with(&response.text()),
                    "{id}: {}",
                    response.text()
                ),
            }
            assert!(
                response.complete || non_idempotent || is_resumable,
                "{id}: only a stream may be truncated after its head"
            );
        } else {
            assert!(
                response.complete && [500, 502, 503].contains(&response.status),
                "{id}: {response:?}"
            );
        }
        let closes = header(&response.head, "connection").is_some();
        connection = (response.complete && !closes).then_some(connected);
    }
    responses_by_status
}

#[test]
fn invariants_hold_with_misbehaving_workers() {
    for seed in 1..4_u64 {
        run_single_threaded(async move {
            let dispatcher = Rc::new(TestDispatcher::start().await);
            dispatcher.configure(CONFIGURATION).await;
            let runs = Runs::default();
            for number in 0..WORKERS {
                let mut worker = Worker::start(&format!("i-{number}"), "s").await;
                dispatcher
                    .set_worker(&worker, WorkerState::InService, 1)
                    .await;
                let (runs, mut rng) = (runs.clone(), Rng::new(seed * 100 + number as u64));
                tokio::task::spawn_local(async move {
                    loop {
                        misbehave(worker.next_request_untimed().await, runs.clone(), &mut rng)
                            .await;
                    }
                });
            }
            let clients = (0..CLIENTS).map(|name| {
                tokio::task::spawn_local(client(dispatcher.clone(), name, runs.clone()))
            });
            let mut responses_by_status: HashMap<u16, usize> = HashMap::new();
            for client in clients.collect::<Vec<_>>() {
                for (status, count) in client.await.unwrap() {
                    *responses_by_status.entry(status).or_default() += count;
                }
            }
            println!("{responses_by_status:?}");
            assert!(
                responses_by_status[&200] > CLIENTS * REQUESTS / 4,
                "{responses_by_status:?}"
            );
        });
    }
}
