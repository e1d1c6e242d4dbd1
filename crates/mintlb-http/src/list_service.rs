//! Watches the list of workers: one call that lasts, each line of it a message.

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

/// A worker, as the list service has it.
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
    pub fn listed_state(&self) -> ListState {
        match self.state.as_str() {
            "SERVING" => ListState::Ready,
            "DELETED" => ListState::Gone,
            // What a state unknown to us means for new work is unknown, too.
            _ => ListState::Draining,
        }
    }
}

/// What the list's words stand for, and the way to the workers that it names.
#[derive(Clone)]
pub struct ListDecoder {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// The project types that workers of the list run.
    pub runs: ProjectTypeSet,
    pub worker_client: WorkerClient,
}

impl ListDecoder {
    /// What a message of the list tells of the workers.
    pub fn membership_update(&self, listing: &ListMessage) -> MembershipUpdate {
        let members = listing
            .workers
            .iter()
            .map(|worker| self.member(worker))
            .collect();
        MembershipUpdate {
            source: WorkerSource::ListService,
            full: listing.full,
            members,
        }
    }

    fn member(&self, worker: &ListedWorker) -> Member {
        let place = |names: &[String], name: &str| {
            names
                .iter()
                .position(|n| n == name)
                .map_or(u16::MAX, |at| at as u16)
        };
        let (zone, kind) = (
            place(&self.zones, &worker.zone),
            place(&self.kinds, &worker.kind),
        );
        let came_up = if worker.started_ms.is_finite() {
            worker.started_ms.max(0.0) / 1000.0
        } else {
            0.0
        };
        let (id, cell, listed) = (worker_id(&worker.id), worker.cell, worker.listed_state());
        let address: Option<SocketAddr> = worker.addr.parse().ok();
        let way = address.map(|address| HttpEndpoint {
            client: self.worker_client.clone(),
            address,
        });
        Member {
            name: worker.id.clone(),
            entry: ListEntry {
                id,
                zone,
                cell,
                machine_kind: kind,
                state: listed,
                started_at: came_up,
                project_types: self.runs,
                pulls_work: false,
            },
            host: address.map(|address| address.ip().to_canonical()),
            endpoint: way.map(|way| Arc::new(way) as Arc<dyn Endpoint>),
        }
    }
}

/// Keeps one watch of the list alive at a time.
pub struct ListWatch {
    list: ListClient,
    reading: ListDecoder,
    tell: UnboundedSender<Event>,
    /// Who else must hear what the list tells.
    besides: ListObserver,
    log: Logger,
    alive: Option<AbortHandle>,
}

/// Hears what the list tells, beside the core: its words, and what they mean.
pub type ListObserver = Arc<dyn Fn(&ListMessage, &MembershipUpdate) + Send + Sync>;

impl ListWatch {
    pub fn new(
        list: ListClient,
        reading: ListDecoder,
        tell: UnboundedSender<Event>,
        besides: ListObserver,
        log: Logger,
    ) -> ListWatch {
        ListWatch {
            list,
            reading,
            tell,
            besides,
            log,
            alive: None,
        }
    }

    /// The list is watched there from now on; a watch of the old address ends.
    pub fn replace_client(&mut self, list: ListClient) {
        self.list = list;
        self.alive.take().iter().for_each(AbortHandle::abort);
    }
}

impl ListWatcher for ListWatch {
    fn watch(&mut self, after: Option<u64>) {
        // A question that was due before the list moved must not end the watch that has begun since.
        if self
            .alive
            .as_ref()
            .is_some_and(|watch| !watch.is_finished())
        {
            return;
        }
        let (list, reading) = (self.list.clone(), self.reading.clone());
        let (tell, besides, log) = (self.tell.clone(), self.besides.clone(), self.log.clone());
        let task = async move {
            let hear = |listing: ListMessage| {
                let told = reading.membership_update(&listing);
                besides(&listing, &told);
                tell.send(Event::MembershipChanged(Some(listing.version), told))
                    .ok();
            };
            let why = list.watch(after, hear).await;
            tell.send(Event::ListFailed).ok();
            warn!(log, "the watch of the list ended"; "why" => why);
        };
        self.alive = Some(tokio::spawn(task).abort_handle());
    }
}

#[derive(Clone)]
pub struct ListClient {
    client: Client<Dialer, Empty<Bytes>>,
    address: SocketAddr,
    line: usize,
    silence: Duration,
    call: Duration,
}

impl ListClient {
    pub fn new(limits: &HttpLimits, address: SocketAddr) -> ListClient {
        // An old watch may end only while the new one is dialled.
        let dialer = Dialer::new(2, limits.dial_timeout, Arc::default()).with_reserved_descriptor();
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(dialer);
        let HttpLimits {
            max_list_line_bytes: line,
            list_idle_timeout: silence,
            list_call_timeout: call,
            ..
        } = *limits;
        ListClient {
            client,
            address,
            line,
            silence,
            call,
        }
    }

    /// Has what changes after this version heard until the watch ends, or first the whole list if no version is known;
    /// the cause of the end.
    pub async fn watch(&self, after: Option<u64>, hear: impl Fn(ListMessage)) -> String {
        self.follow(after, hear)
            .await
            .err()
            .unwrap_or_else(|| "it ended".to_string())
    }

    async fn follow(&self, after: Option<u64>, hear: impl Fn(ListMessage)) -> Result<(), String> {
        let after = match after {
            Some(version) => version,
            None => {
                let whole = within(self.call, self.whole()).await??;
                let version = whole.version;
                hear(whole);
                version
            }
        };
        let head = within(self.call, self.ask(&format!("?watch=1&after={after}"))).await??;
        let mut lines = LineReader::new(head, self.line);
        while let Some(listing) = within(self.silence, self.said(&mut lines)).await?? {
            listing.into_iter().for_each(&hear);
        }
        Ok(())
    }

    /// The next message of a watch, which may come indented over several lines, or an empty line of one that has
    /// nothing to say; `None` at its end. All of it has to come in time: what never becomes whole is no news.
    async fn said(&self, lines: &mut LineReader) -> Result<Option<Option<ListMessage>>, String> {
        let mut held = BytesMut::new();
        while let Some(line) = lines.next().await? {
            if held.is_empty() && line.iter().all(u8::is_ascii_whitespace) {
                return Ok(Some(None));
            }
            // Read again at each of its lines, a long one would cost the square of its length.
            let may_end = held.is_empty() || line.trim_ascii_end().ends_with(b"}");
            held.extend(&line);
            if !may_end && held.len() < self.line {
                held.extend(b"\n");
                continue;
            }
            match serde_json::from_slice(&held) {
                Ok(listing) => return Ok(Some(Some(listing))),
                // Between two lines of one only white space may stand.
                Err(e) if e.is_eof() && held.len() < self.line => held.extend(b"\n"),
                Err(e) => return Err(format!("a bad line: {e}")),
            }
        }
        if held.is_empty() {
            Ok(None)
        } else {
            Err("it ended within a message".to_string())
        }
    }

    async fn whole(&self) -> Result<ListMessage, String> {
        let body = Limited::new(self.ask("").await?, self.line).collect();
        let body = body
            .await
            .map_err(|e| format!("no whole list: {e}"))?
            .to_bytes();
        let listing: ListMessage =
            serde_json::from_slice(&body).map_err(|e| format!("a bad list: {e}"))?;
        if listing.full {
            Ok(listing)
        } else {
            Err("a list that says it is not the whole".to_string())
        }
    }

    async fn ask(&self, query: &str) -> Result<Incoming, String> {
        let url = format!("http://{}/v1/servers{query}", self.address);
        let url = url.parse().map_err(|e| format!("{url}: {e}"))?;
        let answer = self
            .client
            .get(url)
            .await
            .map_err(|e| format!("no answer: {}", error_chain(&e)))?;
        match answer.status() {
            StatusCode::OK => Ok(answer.into_body()),
            status => Err(format!("answered {status}")),
        }
    }
}

/// The step, if it is done in so long.
async fn within<T>(long: Duration, step: impl Future<Output = T>) -> Result<T, String> {
    timeout(long, step)
        .await
        .map_err(|_| format!("silent for {} s", long.as_secs_f64()))
}
