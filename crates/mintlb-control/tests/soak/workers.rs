//! Stand-ins for workers: they register, run requests, and are replaced one after another.

use crate::cluster::network::Network;
use crate::http;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// The service that all workers belong to.
pub const SERVICE: &str = "app";
/// Paths of batch items begin with this.
pub const BATCH_PREFIX: &str = "/batch/";
/// Each key of a tenant contains this: no worker may see it.
pub const KEY_MARKER: &str = "soak-key";
/// Workers listen at the address of a machine that has no process of the tier.
const WORKER_MACHINE: usize = 250;
const WORKERS: usize = 3;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1200);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A draining worker serves for at least this long after the acknowledgement.
const DRAIN_TIME: Duration = Duration::from_millis(2500);
/// A worker is replaced about as often.
const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(2500);
const LONGEST_RUN_MS: u64 = 120;

/// A request that reached a worker.
pub struct Arrival {
    pub at: Instant,
    /// `None` if it has no id.
    pub id: Option<String>,
    /// The tenant that it names.
    pub tenant: Option<String>,
    /// Whether it carried `Authorization`, or a key anywhere in its head.
    pub has_credentials: bool,
    /// Whether it is an item of a batch job.
    pub is_item: bool,
}

impl Arrival {
    fn of(request: &Request<Incoming>) -> Arrival {
        let text = |name: &str| {
            let value = request.headers().get(name)?.to_str().ok()?;
            Some(value.to_string())
        };
        let has_key = |bytes: &[u8]| {
            bytes
                .windows(KEY_MARKER.len())
                .any(|part| part == KEY_MARKER.as_bytes())
        };
        let headers = request.headers();
        Arrival {
            at: Instant::now(),
            id: text("mintlb-request-id"),
            tenant: text("mintlb-tenant"),
            has_credentials: headers.contains_key("authorization")
                || headers.values().any(|value| has_key(value.as_bytes()))
                || has_key(request.uri().to_string().as_bytes()),
            is_item: request.uri().path().starts_with(BATCH_PREFIX),
        }
    }
}

/// What the workers have run, by the ids of requests.
#[derive(Default)]
pub struct RunLog {
    counts: HashMap<String, u32>,
    finished: HashSet<String>,
    arrivals: Vec<Arrival>,
}

/// The log that all workers write.
pub type Runs = Arc<Mutex<RunLog>>;

impl RunLog {
    /// How often a request was run.
    pub fn count(&self, id: &str) -> u32 {
        self.counts.get(id).copied().unwrap_or(0)
    }

    /// All requests that reached a worker, in their order.
    pub fn arrivals(&self) -> &[Arrival] {
        &self.arrivals
    }

    /// Whether a run of a request is over.
    pub fn is_finished(&self, id: &str) -> bool {
        self.finished.contains(id)
    }
}

/// The body that a worker answers an ordinary request with.
pub fn expected_body(id: &str) -> String {
    format!("answer to {id}")
}

/// The text of an item's result: the data of its events.
pub fn expected_text(id: &str) -> String {
    format!("{id} one\n{id} two")
}

/// The workers, until this is dropped.
pub struct Workers {
    pub runs: Runs,
    _tasks: JoinSet<()>,
}

/// One incarnation of a worker.
struct Worker {
    id: String,
    address: SocketAddr,
    is_draining: AtomicBool,
}

impl Workers {
    /// Starts workers that call these controllers, and replaces one now and then.
    pub fn start(network: Network, controllers: Vec<usize>, seed: u64) -> Workers {
        let runs = Runs::default();
        let mut tasks = JoinSet::new();
        for number in 0..WORKERS {
            let controllers = controllers
                .iter()
                .map(|controller| network.control_plane(*controller));
            let slot = WorkerSlot {
                network,
                number,
                controllers: controllers.collect(),
                runs: runs.clone(),
                random: fastrand::Rng::with_seed(seed * WORKERS as u64 + number as u64),
            };
            tasks.spawn(slot.run());
        }
        Workers {
            runs,
            _tasks: tasks,
        }
    }
}

/// One of the workers and its successors.
struct WorkerSlot {
    network: Network,
    number: usize,
    controllers: Vec<SocketAddr>,
    runs: Runs,
    random: fastrand::Rng,
}

impl WorkerSlot {
    async fn run(mut self) {
        // Connections to a worker that has gone stay open: nothing is cut off here.
        let mut listeners = JoinSet::new();
        for incarnation in 0.. {
            let (worker, listener) = self.new_worker(incarnation).await;
            listeners.spawn(serve(listener, worker.clone(), self.runs.clone()));
            let lifetime = REPLACEMENT_INTERVAL.mul_f64(WORKERS as f64 * (0.5 + self.random.f64()));
            self.send_heartbeats(&worker, lifetime).await;
            worker.is_draining.store(true, Relaxed);
            self.send_heartbeats(&worker, DRAIN_TIME).await;
            let path = format!("/v1/instances/{}", worker.id);
            self.call("DELETE", &path, String::new()).await;
        }
    }

    async fn new_worker(&self, incarnation: u64) -> (Arc<Worker>, TcpListener) {
        let address = self.network.address(WORKER_MACHINE);
        let listener = TcpListener::bind((address, 0)).await.unwrap();
        let worker = Worker {
            id: format!("worker-{}-{incarnation}", self.number),
            address: listener.local_addr().unwrap(),
            is_draining: AtomicBool::new(false),
        };
        (Arc::new(worker), listener)
    }

    async fn send_heartbeats(&mut self, worker: &Worker, time: Duration) {
        let beats = (time.as_secs_f64() / HEARTBEAT_INTERVAL.as_secs_f64()).ceil() as u64;
        for beat in 0..beats.max(1) {
            let is_draining = worker.is_draining.load(Relaxed);
            let (state, first) = match is_draining {
                true => ("draining", 1 << 20),
                false => ("in_service", 1),
            };
            let body = format!(
                r#"{{"target_service":"{SERVICE}","address":"{}","zone":"z1","config_version":"v1","capacity_slots":8,"state":"{state}","cold_remaining_ms":0,"stage":"both","models":[],"call_sequence":{}}}"#,
                worker.address,
                first + beat
            );
            let path = format!("/v1/instances/{}", worker.id);
            self.call("PUT", &path, body).await;
            sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Calls one controller after another until one acknowledges; gives up after two rounds.
    async fn call(&mut self, method: &str, path: &str, body: String) {
        self.random.shuffle(&mut self.controllers);
        for controller in self.controllers.iter().chain(&self.controllers) {
            let request = http::request(method, path, &[("host", "control")], body.clone());
            let answer = http::call(*controller, request, CALL_TIMEOUT).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return;
            }
        }
    }
}

async fn serve(listener: TcpListener, worker: Arc<Worker>, runs: Runs) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let (worker, runs) = (worker.clone(), runs.clone());
        let service = service_fn(move |request| answer(request, worker.clone(), runs.clone()));
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        connections.spawn(async move {
            connection.await.ok();
        });
    }
}

async fn answer(
    request: Request<Incoming>,
    worker: Arc<Worker>,
    runs: Runs,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let header = |name: &str| {
        let value = request.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .map(str::to_string)
    };
    if request.method() == "GET" {
        return Ok(health(&worker));
    }
    runs.lock().arrivals.push(Arrival::of(&request));
    let response = Response::builder();
    let Some(id) = header("mintlb-request-id") else {
        return Ok(refusal(response.status(400)));
    };
    let response = response.header("mintlb-request-id", &id);
    if header("mintlb-target-instance").is_some_and(|target| target != worker.id) {
        return Ok(refusal(response.status(421)));
    }
    *runs.lock().counts.entry(id.clone()).or_default() += 1;
    sleep(Duration::from_millis(fastrand::u64(0..LONGEST_RUN_MS))).await;
    runs.lock().finished.insert(id.clone());
    let signature = format!("{}.{id}", worker.id);
    let response = response.header("mintlb-response-signature", signature);
    let (kind, body) = match request.uri().path().starts_with(BATCH_PREFIX) {
        true => ("text/event-stream", events(&id, header("last-event-id"))),
        false => ("text/plain", expected_body(&id)),
    };
    let response = response.header("content-type", kind);
    Ok(response.body(Full::new(body.into())).unwrap())
}

fn health(worker: &Worker) -> Response<Full<Bytes>> {
    let status = match worker.is_draining.load(Relaxed) {
        true => 503,
        false => 200,
    };
    let response = Response::builder()
        .status(status)
        .header("mintlb-instance-id", &worker.id);
    response.body(Full::default()).unwrap()
}

fn refusal(response: hyper::http::response::Builder) -> Response<Full<Bytes>> {
    let response = response.header("mintlb-not-executed", "1");
    response.body(Full::default()).unwrap()
}

/// The events of an item's output after `last`.
fn events(id: &str, last: Option<String>) -> String {
    let last: usize = last.map_or(0, |last| last.parse().unwrap());
    let text = expected_text(id);
    let events = (1..).zip(text.lines()).skip(last);
    events
        .map(|(number, data)| format!("id: {number}\ndata: {data}\n\n"))
        .collect()
}
