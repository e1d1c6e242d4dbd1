//! Clients of live requests. They keep using the connections that they have until the process is
//! gone.

use crate::cluster::network::Network;
use crate::cluster::{Disturbed, Incarnation};
use crate::http::{self, Answer, CallError, Connection};
use crate::operator::{HOST, IDEMPOTENT_PREFIX, ONCE_PREFIX};
use crate::spawn_each;
use crate::workers::{Runs, expected_body};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

const CLIENTS: usize = 9;
const REQUEST_TIME: Duration = Duration::from_secs(4);
const PAUSE: Duration = Duration::from_millis(10);
/// A process that serves has read a request after this time, also on a busy machine.
const READ_TIME: Duration = Duration::from_secs(1);

/// How a request ended.
struct Ending {
    /// The process that the connection led to, as far as it is known.
    process: Incarnation,
    path: String,
    outcome: Result<Answer, CallError>,
}

/// How every request that was sent has ended, by its id.
#[derive(Default)]
pub struct LiveLog {
    endings: HashMap<String, Ending>,
}

impl LiveLog {
    pub fn served(&self) -> usize {
        let endings = self.endings.values();
        endings
            .filter(|ending| {
                ending
                    .outcome
                    .as_ref()
                    .is_ok_and(|answer| answer.status == 200)
            })
            .count()
    }

    pub fn sent(&self) -> usize {
        self.endings.len()
    }

    /// Checks all endings against what ran.
    pub fn check(&self, runs: &Runs, disturbed: &Disturbed) {
        let (runs, disturbed) = (runs.lock(), disturbed.lock());
        for (id, ending) in &self.endings {
            let count = runs.count(id);
            if ending.path.starts_with(ONCE_PREFIX) {
                assert!(count <= 1, "{id} ran {count} times");
            }
            match &ending.outcome {
                Ok(answer) => check_answer(id, answer, count),
                Err(CallError::Closed { after }) => {
                    let has_read = count > 0 || *after >= READ_TIME;
                    assert!(
                        !has_read || disturbed.contains(&ending.process),
                        "{id} of {:?}: closed without an answer after {after:?}, {count} runs",
                        ending.process
                    );
                }
                Err(CallError::NotSent) => assert_eq!(count, 0, "{id} was not sent"),
                Err(CallError::TimedOut) => assert!(
                    disturbed.contains(&ending.process),
                    "{id} of {:?}: no answer in {REQUEST_TIME:?}",
                    ending.process
                ),
            }
        }
    }
}

fn check_answer(id: &str, answer: &Answer, runs: u32) {
    if answer.is_refusal() {
        assert_eq!(runs, 0, "{id} was refused with {} and ran", answer.status);
        return;
    }
    match answer.status {
        200 => {
            assert_eq!(answer.header("mintlb-request-id"), Some(id));
            let signature = answer.header("mintlb-response-signature");
            assert!(
                signature.is_some_and(|signature| signature.ends_with(id)),
                "{id} has the signature {signature:?}"
            );
            assert_eq!(answer.body, expected_body(id).as_bytes());
        }
        502 | 504 => (),
        status => panic!("{id} was answered {status}"),
    }
}

/// What the clients share.
#[derive(Clone)]
pub struct LiveClients {
    pub network: Network,
    /// The numbers of the dispatchers.
    pub dispatchers: Vec<usize>,
    /// The newest process of each machine.
    pub newest: Arc<Mutex<Vec<Incarnation>>>,
    pub log: Arc<Mutex<LiveLog>>,
    pub stop: Arc<AtomicBool>,
    pub seed: u64,
}

impl LiveClients {
    /// Starts all clients; they end when they are told to stop.
    pub fn start(&self) -> Vec<JoinHandle<()>> {
        spawn_each(CLIENTS, |number| self.clone().run(number))
    }

    async fn run(self, number: usize) {
        let mut random = fastrand::Rng::with_seed(self.seed * CLIENTS as u64 + number as u64);
        let mut sent = 0;
        while !self.stop.load(Relaxed) {
            let dispatcher = self.dispatchers[random.usize(0..self.dispatchers.len())];
            let process = self.newest.lock()[dispatcher - 1];
            let Some(connection) = Connection::open(self.network.frontend(process.0)).await else {
                sleep(PAUSE).await;
                continue;
            };
            self.use_connection(connection, process, number, &mut sent, &mut random)
                .await;
        }
    }

    /// Sends one request after another until the connection ends.
    async fn use_connection(
        &self,
        mut connection: Connection,
        process: Incarnation,
        client: usize,
        sent: &mut u32,
        random: &mut fastrand::Rng,
    ) {
        while !self.stop.load(Relaxed) {
            *sent += 1;
            let id = format!("live-{}-{client}-{sent}", self.seed);
            let prefix = match random.bool() {
                true => IDEMPOTENT_PREFIX,
                false => ONCE_PREFIX,
            };
            let path = format!("{prefix}{id}");
            let deadline = REQUEST_TIME.as_millis().to_string();
            let headers = [
                ("host", HOST),
                ("mintlb-request-id", &id),
                ("mintlb-deadline-ms", &deadline),
            ];
            let request = http::request("POST", &path, &headers, "body");
            let outcome = connection.call(request, REQUEST_TIME).await;
            let goes_on = outcome.as_ref().is_ok_and(|answer| {
                answer
                    .header("connection")
                    .is_none_or(|value| value != "close")
            });
            let ending = Ending {
                process,
                path,
                outcome,
            };
            self.log.lock().endings.insert(id, ending);
            if !goes_on {
                return;
            }
            sleep(PAUSE).await;
        }
    }
}
