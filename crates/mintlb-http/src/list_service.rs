//! The client of the list service: a watch is one long response whose lines are messages.

use crate::dial::Dialer;
use crate::error_chain::error_chain;
use crate::limits::HttpLimits;
use crate::line_reader::LineReader;
use crate::worker::{HttpEndpoint, WorkerClient};
use axum::http::StatusCode;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use mintlb_core::executor::ListWatcher;
use mintlb_core::membership::{Member, MembershipUpdate, WorkerSource, worker_id};
use mintlb_core::reducer::Event;
use mintlb_core::work::Endpoint;
use mintlb_scheduler::{ListEntry, ListState, ProjectTypeSet};
use serde::{Deserialize, Serialize};
use slog::{Logger, warn};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// One message of the list service.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ListMessage {
    pub version: u64,
    pub full: bool,
    #[serde(rename = "servers")]
    pub workers: Vec<ListedWorker>,
}

/// A worker in the list service's format.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedWorker {
    pub id: String,
    #[serde(default)]
    pub addr: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub cell: u64,
    #[serde(default)]
    pub state: String,
    #[serde(default)]
    pub started_ms: f64,
}

impl ListedWorker {
    /// The worker's state for the scheduler.
    pub fn listed_state(&self) -> ListState {
        match self.state.as_str() {
            "SERVING" => ListState::Ready,
            "DELETED" => ListState::Gone,
            // An unknown state: whether the worker takes new work is unknown as well.
            _ => ListState::Draining,
        }
    }
}

/// Translates messages of the list service to membership updates.
#[derive(Clone)]
pub struct ListDecoder {
    /// The names of zones and machine kinds, in the order of their numbers.
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// The project types that the listed workers run.
    pub runs: ProjectTypeSet,
    /// Sends requests to the listed workers.
    pub worker_client: WorkerClient,
}

impl ListDecoder {
    /// Translates one message.
    pub fn membership_update(&self, message: &ListMessage) -> MembershipUpdate {
        let members = message
            .workers
            .iter()
            .map(|worker| self.member(worker))
            .collect();
        MembershipUpdate {
            source: WorkerSource::ListService,
            full: message.full,
            members,
        }
    }

    fn member(&self, worker: &ListedWorker) -> Member {
        let index_of = |names: &[String], name: &str| {
            names
                .iter()
                .position(|known| known == name)
                .map_or(u16::MAX, |index| index as u16)
        };
        let (zone, machine_kind) = (
            index_of(&self.zones, &worker.zone),
            index_of(&self.kinds, &worker.kind),
        );
        let started_at = if worker.started_ms.is_finite() {
            worker.started_ms.max(0.0) / 1000.0
        } else {
            0.0
        };
        let (id, cell, state) = (worker_id(&worker.id), worker.cell, worker.listed_state());
        let address: Option<SocketAddr> = worker.addr.parse().ok();
        let endpoint = address.map(|address| HttpEndpoint {
            client: self.worker_client.clone(),
            address,
        });
        Member {
            name: worker.id.clone(),
            entry: ListEntry {
                id,
                zone,
                cell,
                machine_kind,
                state,
                started_at,
                project_types: self.runs,
                pulls_work: false,
            },
            host: address.map(|address| address.ip().to_canonical()),
            endpoint: endpoint.map(|endpoint| Arc::new(endpoint) as Arc<dyn Endpoint>),
        }
    }
}

/// Runs at most one watch of the list service at a time.
pub struct ListWatch {
    client: ListClient,
    decoder: ListDecoder,
    event_sender: UnboundedSender<Event>,
    /// Receives every message, in addition to the reducer.
    observer: ListObserver,
    log: Logger,
    task: Option<AbortHandle>,
}

/// Receives each message of the list service, and the update that it was translated to.
pub type ListObserver = Arc<dyn Fn(&ListMessage, &MembershipUpdate) + Send + Sync>;

impl ListWatch {
    /// No watch is started yet.
    pub fn new(
        client: ListClient,
        decoder: ListDecoder,
        event_sender: UnboundedSender<Event>,
        observer: ListObserver,
        log: Logger,
    ) -> ListWatch {
        ListWatch {
            client,
            decoder,
            event_sender,
            observer,
            log,
            task: None,
        }
    }

    /// Uses another list service from now on, and ends the watch of the old one.
    pub fn replace_client(&mut self, client: ListClient) {
        self.client = client;
        self.task.take().iter().for_each(AbortHandle::abort);
    }
}

impl ListWatcher for ListWatch {
    fn watch(&mut self, after: Option<u64>) {
        // A request that was due before the list service moved must not end the watch that has started since.
        if self.task.as_ref().is_some_and(|task| !task.is_finished()) {
            return;
        }
        let (client, decoder) = (self.client.clone(), self.decoder.clone());
        let (event_sender, observer, log) = (
            self.event_sender.clone(),
            self.observer.clone(),
            self.log.clone(),
        );
        let watch = async move {
            let on_message = |message: ListMessage| {
                let update = decoder.membership_update(&message);
                observer(&message, &update);
                event_sender
                    .send(Event::MembershipChanged(Some(message.version), update))
                    .ok();
            };
            let why = client.watch(after, on_message).await;
            event_sender.send(Event::ListFailed).ok();
            warn!(log, "list service: watch ended"; "why" => why);
        };
        self.task = Some(tokio::spawn(watch).abort_handle());
    }
}

/// Calls the list service.
#[derive(Clone)]
pub struct ListClient {
    client: Client<Dialer, Empty<Bytes>>,
    address: SocketAddr,
    max_message_bytes: usize,
    idle_timeout: Duration,
    call_timeout: Duration,
}

impl ListClient {
    /// A client of the list service at this address.
    pub fn new(limits: &HttpLimits, address: SocketAddr) -> ListClient {
        // Two connections: the old watch may still be ending while the new one is dialled.
        let dialer = Dialer::new(2, limits.dial_timeout, Arc::default()).with_reserved_descriptor();
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(dialer);
        let HttpLimits {
            max_list_line_bytes: max_message_bytes,
            list_idle_timeout: idle_timeout,
            list_call_timeout: call_timeout,
            ..
        } = *limits;
        ListClient {
            client,
            address,
            max_message_bytes,
            idle_timeout,
            call_timeout,
        }
    }

    /// Passes on the changes after this version, or the full list first if no version is known, until the watch ends.
    /// Returns the cause of the end.
    pub async fn watch(&self, after: Option<u64>, on_message: impl Fn(ListMessage)) -> String {
        self.try_watch(after, on_message)
            .await
            .err()
            .unwrap_or_else(|| "the list service closed it".to_string())
    }

    async fn try_watch(
        &self,
        after: Option<u64>,
        on_message: impl Fn(ListMessage),
    ) -> Result<(), String> {
        let after = match after {
            Some(version) => version,
            None => {
                let full_list = with_timeout(self.call_timeout, self.full_list()).await??;
                let version = full_list.version;
                on_message(full_list);
                version
            }
        };
        let body = with_timeout(
            self.call_timeout,
            self.get(&format!("?watch=1&after={after}")),
        )
        .await??;
        let mut lines = LineReader::new(body, self.max_message_bytes);
        while let Some(message) =
            with_timeout(self.idle_timeout, self.next_message(&mut lines)).await??
        {
            message.into_iter().for_each(&on_message);
        }
        Ok(())
    }

    /// The next message of a watch, which may span several lines, or `Some(None)` for an empty line, the heartbeat of a
    /// watch without changes; `None` at the end. The caller limits the time for the whole message.
    async fn next_message(
        &self,
        lines: &mut LineReader,
    ) -> Result<Option<Option<ListMessage>>, String> {
        let mut buffer = BytesMut::new();
        while let Some(line) = lines.next().await? {
            if buffer.is_empty() && line.iter().all(u8::is_ascii_whitespace) {
                return Ok(Some(None));
            }
            // Parsing a long message at each of its lines would take quadratic time.
            let may_be_complete = buffer.is_empty() || line.trim_ascii_end().ends_with(b"}");
            buffer.extend(&line);
            if !may_be_complete && buffer.len() < self.max_message_bytes {
                buffer.extend(b"\n");
                continue;
            }
            match serde_json::from_slice(&buffer) {
                Ok(message) => return Ok(Some(Some(message))),
                // Incomplete: lines of a message are separated by white space only.
                Err(e) if e.is_eof() && buffer.len() < self.max_message_bytes => {
                    buffer.extend(b"\n")
                }
                Err(e) => return Err(format!("invalid message: {e}")),
            }
        }
        if buffer.is_empty() {
            Ok(None)
        } else {
            Err("ended within a message".to_string())
        }
    }

    async fn full_list(&self) -> Result<ListMessage, String> {
        let body = Limited::new(self.get("").await?, self.max_message_bytes).collect();
        let body = body
            .await
            .map_err(|e| format!("reading the full list failed: {e}"))?
            .to_bytes();
        let message: ListMessage =
            serde_json::from_slice(&body).map_err(|e| format!("invalid full list: {e}"))?;
        if message.full {
            Ok(message)
        } else {
            Err("the list is not marked as full".to_string())
        }
    }

    async fn get(&self, query: &str) -> Result<Incoming, String> {
        let url = format!("http://{}/v1/servers{query}", self.address);
        let url = url.parse().map_err(|e| format!("{url}: {e}"))?;
        let response = self
            .client
            .get(url)
            .await
            .map_err(|e| format!("no response: {}", error_chain(&e)))?;
        match response.status() {
            StatusCode::OK => Ok(response.into_body()),
            status => Err(format!("response status {status}")),
        }
    }
}

/// Limits the time of a future.
async fn with_timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Result<T, String> {
    timeout(limit, future)
        .await
        .map_err(|_| format!("timed out after {} s", limit.as_secs_f64()))
}
