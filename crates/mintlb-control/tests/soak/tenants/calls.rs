//! Clients' calls: what was sent to which process with which key, and the answers.

use super::configuration::History;
use crate::cluster::Incarnation;
use crate::cluster::network::Network;
use crate::http::{self, Answer, CallError, Connection};
use crate::operator::HOST;
use parking_lot::Mutex;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;
use tokio::time::{Instant, sleep};

pub const CALL_TIME: Duration = Duration::from_secs(4);
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Purpose {
    Live,
    /// Of the job with the call's id; reads and ends, too.
    Submit,
    Read,
    End,
}

/// One call of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub purpose: Purpose,
    /// Of the request, or of the job.
    pub id: String,
    /// The tenant whose client sent it, whatever key it used.
    pub client: &'static str,
    pub key: Option<String>,
    pub process: Incarnation,
    pub sent: Instant,
    pub ended: Instant,
    /// `None` without a complete answer.
    pub status: Option<u16>,
}

/// What all clients share.
#[derive(Clone)]
pub struct ClientContext {
    pub network: Network,
    /// The numbers of the dispatchers.
    pub dispatchers: Vec<usize>,
    /// The newest process of each machine.
    pub newest: Arc<Mutex<Vec<Incarnation>>>,
    pub history: Arc<Mutex<History>>,
    pub calls: Arc<Mutex<Vec<Call>>>,
    /// No configuration changes: clients use their own keys only.
    pub is_calm: Arc<AtomicBool>,
    /// The greedy tenant goes over its limit.
    pub is_greedy: Arc<AtomicBool>,
    pub stop: Arc<AtomicBool>,
    pub seed: u64,
}

/// A call that is about to be sent.
pub struct NewCall<'a> {
    pub purpose: Purpose,
    pub id: &'a str,
    pub key: Option<String>,
    pub method: &'a str,
    pub path: &'a str,
    pub body: String,
}

/// A client with a connection that it keeps until the process is gone.
pub struct Client {
    pub context: ClientContext,
    pub tenant: &'static str,
    pub random: fastrand::Rng,
    connection: Option<(Connection, Incarnation)>,
}

impl Client {
    pub fn new(context: ClientContext, tenant: &'static str, number: usize) -> Client {
        let random = fastrand::Rng::with_seed(context.seed * 1000 + number as u64);
        Client {
            context,
            tenant,
            random,
            connection: None,
        }
    }

    pub fn is_stopped(&self) -> bool {
        self.context.stop.load(Relaxed)
    }

    /// One of the keys that its tenant has now.
    pub fn own_key(&mut self) -> String {
        let history = self.context.history.lock();
        let tenants = &history.newest().0;
        let own = tenants.iter().find(|tenant| tenant.name == self.tenant);
        let keys = &own.unwrap().keys;
        keys[self.random.usize(0..keys.len())].clone()
    }

    /// One of all keys of all tenants, also of those that were taken away.
    pub fn any_key(&mut self) -> String {
        let history = self.context.history.lock();
        history.keys[self.random.usize(0..history.keys.len())].clone()
    }

    /// Gives its connection up, to open another one with the next call.
    pub fn leave(&mut self) {
        self.connection = None;
    }

    /// Sends a call over its connection, and notes it; `None` if it has no complete answer.
    pub async fn call(&mut self, call: NewCall<'_>) -> Option<Answer> {
        let (mut connection, process) = self.take_connection().await?;
        let authorization = call.key.as_ref().map(|key| format!("Bearer {key}"));
        let mut headers = vec![
            ("host", HOST),
            ("mintlb-request-id", call.id),
            ("mintlb-tenant", "forged"),
            ("content-type", "application/json"),
        ];
        headers.extend(
            authorization
                .iter()
                .map(|value| ("authorization", value.as_str())),
        );
        let request = http::request(call.method, call.path, &headers, call.body);
        let sent = Instant::now();
        let outcome = connection.call(request, CALL_TIME).await;
        let goes_on = outcome.as_ref().is_ok_and(|answer| {
            let value = answer.header("connection");
            value.is_none_or(|value| value != "close")
        });
        if goes_on {
            self.connection = Some((connection, process));
        }
        if outcome.as_ref().err() != Some(&CallError::NotSent) {
            self.context.calls.lock().push(Call {
                purpose: call.purpose,
                id: call.id.to_string(),
                client: self.tenant,
                key: call.key,
                process,
                sent,
                ended: Instant::now(),
                status: outcome.as_ref().ok().map(|answer| answer.status),
            });
        }
        outcome.ok()
    }

    /// Its connection, or a new one to a process that is surely known.
    async fn take_connection(&mut self) -> Option<(Connection, Incarnation)> {
        if let Some(connection) = self.connection.take() {
            return Some(connection);
        }
        let dispatchers = &self.context.dispatchers;
        let dispatcher = dispatchers[self.random.usize(0..dispatchers.len())];
        let process = self.context.newest.lock()[dispatcher - 1];
        let address = self.context.network.frontend(dispatcher);
        let connection = Connection::open(address).await;
        let is_known = self.context.newest.lock()[dispatcher - 1] == process;
        match connection.filter(|_| is_known) {
            Some(connection) => Some((connection, process)),
            None => {
                sleep(RECONNECT_PAUSE).await;
                None
            }
        }
    }
}
