//! Many concurrent requests to misbehaving workers: invariants of the tier are never violated.

mod machine;

use machine::{
    CONFIGURATION, Client, Machine, ReceivedRequest, Worker, event, header, on_one_thread,
};
use mintlb_common::record::WorkerState;
use mintlb_scheduler::util::Rng;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

const WORKERS: usize = 4;
const CLIENTS: usize = 8;
const REQUESTS: usize = 24;

/// How often each request's work was begun, by its id.
type Runs = Rc<RefCell<HashMap<String, usize>>>;

/// Number of events in a request's complete stream.
fn length(id: &str) -> u64 {
    1 + id.bytes().map(u64::from).sum::<u64>() % 9
}

/// The complete body of a response that is no stream.
fn body(id: &str) -> String {
    format!("answer to {id} ").repeat(1 + length(id) as usize)
}

fn one_of(rng: &mut Rng, of: u64) -> u64 {
    (rng.uniform() * of as f64) as u64
}

async fn misbehave(mut received: ReceivedRequest, runs: Runs, rng: &mut Rng) {
    let id = received.id();
    match one_of(rng, 20) {
        0 | 1 => return received.refuse().await,
        2 => {
            let own = "mintlb-request-id: {id}\r\nmintlb-not-executed: full\r\ncontent-length: 4\r\n\r\nbusy";
            let own = own.replace("{id}", &id);
            return received
                .answer_with(&format!("HTTP/1.1 429 Busy\r\n{own}"))
                .await;
        }
        3 => {
            // A surplus refusal stands where the answer to the next request is due.
            let refusal = machine::raw::not_run(&id);
            return received.answer_with(&refusal.repeat(2)).await;
        }
        _ => *runs.borrow_mut().entry(id.clone()).or_default() += 1,
    }
    let is_stream = received.head.starts_with("POST /s/") || received.head.starts_with("POST /r/");
    match one_of(rng, 34) {
        0 => drop(received),
        1 => received.on.reset(),
        2 => {
            received
                .answer_as("500 Oh", "content-length: 3\r\n\r\nwhy")
                .await
        }
        3 => {
            received
                .answer_as("503 Oh", "content-length: 3\r\n\r\nwhy")
                .await
        }
        4 => {
            received
                .answer_with("nonsense\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")
                .await
        }
        5 => {
            let unsigned = format!(
                "HTTP/1.1 200 OK\r\nmintlb-request-id: {id}\r\ncontent-length: 2\r\n\r\nno"
            );
            received.answer_with(&unsigned).await;
        }
        6 if is_stream => stream(received, &id, true).await,
        6 => {
            let own = received.own();
            received
                .on
                .write(&format!(
                    "HTTP/1.1 200 OK\r\n{own}content-length: 5000\r\n\r\ncut"
                ))
                .await;
        }
        7 => {
            let late = "mintlb-request-id: another\r\nmintlb-response-signature: s\r\ncontent-length: 4\r\n\r\nlate";
            received
                .on
                .write(&format!("HTTP/1.1 200 OK\r\n{late}"))
                .await;
            succeed(received, &id, is_stream, "").await;
        }
        9 | 10 if !is_stream => {
            let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", received.own());
            received.on.write(&(head + &body(&id))).await;
        }
        11 if !is_stream => {
            let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", received.own());
            received.on.write(&(head + &body(&id)[..4])).await;
            received.on.reset();
        }
        12 if !is_stream => {
            let again = machine::raw::ok(&id, &body(&id));
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

async fn succeed(received: ReceivedRequest, id: &str, is_stream: bool, behind: &str) {
    if is_stream {
        return stream(received, id, false).await;
    }
    let text = body(id);
    let rest = format!("content-length: {}\r\n\r\n{text}{behind}", text.len());
    received.answer_as("200 OK", &rest).await;
}

async fn stream(mut received: ReceivedRequest, id: &str, cut: bool) {
    let after =
        header(&received.head, "last-event-id").map_or(0, |last| last.parse::<u64>().unwrap());
    received.begin_stream().await;
    for number in after + 1..=length(id) {
        if cut && number > after + 1 && number.is_multiple_of(2) {
            received.chunk(&event(number)[..5]).await;
            return;
        }
        received.event(number).await;
    }
    received.end_stream().await;
}

/// Sends requests one after the other and checks each answer.
async fn client(machine: Rc<Machine>, name: usize, runs: Runs) -> HashMap<u16, usize> {
    let mut responses_by_status: HashMap<u16, usize> = HashMap::new();
    let mut connection: Option<Client> = None;
    for number in 0..REQUESTS {
        let path = ["/p/", "/o/", "/s/", "/r/"][(name + number) % 4];
        let id = format!("c{name}-{number}");
        let mut on = match connection.take() {
            Some(connection) => connection,
            None => machine.client().await,
        };
        on.post(&format!("{path}{number}"), &id, "", "a prompt")
            .await;
        let got = on.get().await;
        let ran = runs.borrow().get(&id).copied().unwrap_or(0);
        let (once, resumes) = (matches!(path, "/o/" | "/s/"), path == "/r/");
        *responses_by_status.entry(got.status).or_default() += 1;
        if once {
            assert!(ran <= 1, "{id} ran {ran} times");
            assert!(
                got.status != 503 || ran == 0,
                "{id} was promised not to run, and ran"
            );
        }
        assert!(ran <= 2, "{id} went to more workers than its route allows");
        if got.status == 200 {
            assert_eq!(
                header(&got.head, "mintlb-request-id").as_deref(),
                Some(&id[..])
            );
            assert_eq!(
                header(&got.head, "mintlb-response-signature"),
                Some(format!("s-{id}"))
            );
            let expected = match path {
                "/s/" | "/r/" => (1..=length(&id)).map(event).collect(),
                _ => body(&id),
            };
            match got.complete {
                true => assert_eq!(got.text(), expected, "{id}"),
                false => assert!(expected.starts_with(&got.text()), "{id}: {}", got.text()),
            }
            assert!(
                got.complete || once || resumes,
                "{id}: only a stream may break after its head"
            );
        } else {
            assert!(
                got.complete && [500, 502, 503].contains(&got.status),
                "{id}: {got:?}"
            );
        }
        let closes = header(&got.head, "connection").is_some();
        connection = (got.complete && !closes).then_some(on);
    }
    responses_by_status
}

#[test]
fn invariants_are_kept_with_misbehaving_workers() {
    for seed in 1..4_u64 {
        on_one_thread(async move {
            let machine = Rc::new(Machine::start().await);
            machine.configure(CONFIGURATION).await;
            let runs = Runs::default();
            for number in 0..WORKERS {
                let mut worker = Worker::start(&format!("i-{number}"), "s").await;
                machine.set_worker(&worker, WorkerState::InService, 1).await;
                let (runs, mut rng) = (runs.clone(), Rng::new(seed * 100 + number as u64));
                tokio::task::spawn_local(async move {
                    loop {
                        misbehave(worker.next_request_untimed().await, runs.clone(), &mut rng)
                            .await;
                    }
                });
            }
            let clients = (0..CLIENTS)
                .map(|name| tokio::task::spawn_local(client(machine.clone(), name, runs.clone())));
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
