//! A dispatcher on loopback, with workers that answer as a test says and clients that read bytes.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod raw;

use axum::body::Body;
use axum::response::Response;
use mintlb_common::configuration::Configuration;
use mintlb_common::record::{WorkerRecord, WorkerState};
use mintlb_dispatcher::admission::RateLimiter;
use mintlb_dispatcher::batch_executor::{BatchCall, BatchExecutor, BatchHandler};
use mintlb_dispatcher::cluster_state::ClusterUpdate;
use mintlb_dispatcher::dispatcher::{Dispatcher, DispatcherConfig};
use mintlb_dispatcher::shared::Shared;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Any single step of a test is over by then.
pub const STEP: Duration = Duration::from_secs(10);

/// Runs a test on one thread, as the dispatcher does.
pub fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        timeout(Duration::from_secs(60), test)
            .await
            .expect("the test hangs")
    });
}

/// A dispatcher that serves.
pub struct Machine {
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    pub shared: Arc<Shared>,
    pub batch_executor: BatchExecutor,
    pub update_sender: UnboundedSender<ClusterUpdate>,
    pub stop: Option<oneshot::Sender<()>>,
    pub ended: oneshot::Receiver<()>,
}

/// What a test puts in place of a dispatcher's own parts.
#[derive(Default)]
pub struct Parts {
    pub rate_limiter: Option<Arc<dyn RateLimiter>>,
    pub batch: Option<Arc<dyn BatchHandler>>,
}

impl Machine {
    pub async fn start() -> Machine {
        Machine::start_with(Parts::default()).await
    }

    /// One with parts of the test.
    pub async fn start_with(parts: Parts) -> Machine {
        let config = DispatcherConfig {
            zone: "a".to_string(),
            zones: vec!["a".to_string(), "b".to_string()],
            memory_mb: 200,
            max_open_files: 1000,
            grace_period_s: 5.0,
            seed: 1,
        };
        let mut dispatcher = Dispatcher::new(config);
        if let Some(rate_limiter) = parts.rate_limiter {
            dispatcher.rate_limiter = rate_limiter;
        }
        dispatcher.batch = parts.batch;
        let (frontend, readiness) = (listener().await, listener().await);
        let (stop, stopped) = oneshot::channel();
        let (end, ended) = oneshot::channel();
        let machine = Machine {
            frontend: frontend.local_addr().unwrap(),
            readiness: readiness.local_addr().unwrap(),
            shared: dispatcher.shared.clone(),
            batch_executor: dispatcher.batch_executor(),
            update_sender: dispatcher.update_sender.clone(),
            stop: Some(stop),
            ended,
        };
        tokio::task::spawn_local(async move {
            dispatcher
                .serve(frontend, readiness, async { stopped.await.unwrap_or(()) })
                .await;
            end.send(()).ok();
        });
        machine
    }

    /// Publishes a configuration and waits until it is in force.
    pub async fn configure(&self, json: &str) {
        let configuration = Configuration::parse(json.as_bytes()).unwrap();
        let version = configuration.config_version;
        self.update_sender
            .send(ClusterUpdate::Configuration(
                version,
                Arc::new(configuration),
            ))
            .unwrap();
        self.until(|shared| {
            shared
                .routing()
                .is_some_and(|t| t.configuration.config_version >= version)
        })
        .await;
    }

    /// Publishes the state of a worker and waits until it is applied.
    pub async fn set_worker(&self, worker: &Worker, state: WorkerState, call: u64) {
        self.apply_record(worker_record(worker, state, call)).await;
    }

    /// Publishes a worker record and waits until it is applied.
    pub async fn apply_record(&self, record: WorkerRecord) {
        let age = self.shared.workers.age();
        self.update_sender
            .send(ClusterUpdate::Worker(record))
            .unwrap();
        self.until(|shared| shared.workers.age() > age).await;
    }

    /// Publishes a raw worker and waits until it is applied.
    pub async fn set_raw_worker(&self, worker: &raw::RawWorker) {
        let age = self.shared.workers.age();
        self.update_sender
            .send(ClusterUpdate::Worker(worker.record.clone()))
            .unwrap();
        self.until(|shared| shared.workers.age() > age).await;
    }

    async fn until(&self, condition: impl Fn(&Shared) -> bool) {
        let reached = async {
            while !condition(&self.shared) {
                tokio::task::yield_now().await;
            }
        };
        timeout(STEP, reached)
            .await
            .expect("the dispatcher does not hear");
    }

    pub async fn client(&self) -> Client {
        Client::connect(self.frontend).await
    }
}

/// Stands in for the batch modules: records each call and answers 200.
pub struct RecordedCalls(UnboundedSender<BatchCall>);

impl RecordedCalls {
    /// It, and the calls that it gets.
    pub fn new() -> (Arc<RecordedCalls>, UnboundedReceiver<BatchCall>) {
        let (sender, calls) = unbounded_channel();
        (Arc::new(RecordedCalls(sender)), calls)
    }
}

impl BatchHandler for RecordedCalls {
    fn handle(&self, call: BatchCall) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        self.0.send(call).ok();
        Box::pin(async { Response::new(Body::from("handled")) })
    }
}

/// What the records say of a worker.
pub fn worker_record(worker: &Worker, state: WorkerState, call: u64) -> WorkerRecord {
    WorkerRecord {
        instance_id: worker.instance_id.clone(),
        service: worker.service.clone(),
        address: worker.address.to_string(),
        zone: "a".to_string(),
        capacity_slots: 4,
        state,
        call_sequence: call,
        slow_start_until_ms: 0,
    }
}

pub async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// A stand-in worker: a test takes its requests one by one.
pub struct Worker {
    pub instance_id: String,
    pub service: String,
    pub address: SocketAddr,
    requests: UnboundedReceiver<ReceivedRequest>,
    connections: Arc<AtomicUsize>,
}

/// A complete request at a worker, and the connection to respond on.
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
    pub on: Connection,
}

/// A worker's side of a connection.
pub struct Connection {
    stream: TcpStream,
    read: Vec<u8>,
    update_sender: UnboundedSender<ReceivedRequest>,
}

impl Worker {
    pub async fn start(instance_id: &str, service: &str) -> Worker {
        let listener = listener().await;
        let address = listener.local_addr().unwrap();
        let (update_sender, requests) = unbounded_channel();
        let connections: Arc<AtomicUsize> = Arc::default();
        let count = connections.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.fetch_add(1, Relaxed);
                let connection = Connection {
                    stream,
                    read: Vec::new(),
                    update_sender: update_sender.clone(),
                };
                tokio::spawn(connection.next());
            }
        });
        Worker {
            instance_id: instance_id.into(),
            service: service.into(),
            address,
            requests,
            connections,
        }
    }

    /// One that resets each connection as it comes up.
    pub async fn resetting(instance_id: &str, service: &str) -> Worker {
        let mut worker = Worker::start(instance_id, service).await;
        let listener = listener().await;
        worker.address = listener.local_addr().unwrap();
        let count = worker.connections.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.fetch_add(1, Relaxed);
                stream.set_zero_linger().unwrap();
            }
        });
        worker
    }

    /// How many connections have come.
    pub fn connections(&self) -> usize {
        self.connections.load(Relaxed)
    }

    /// The next complete request.
    pub async fn next_request(&mut self) -> ReceivedRequest {
        timeout(STEP, self.requests.recv())
            .await
            .expect("no request comes")
            .unwrap()
    }

    /// The next complete request, without a timeout.
    pub async fn next_request_untimed(&mut self) -> ReceivedRequest {
        self.requests.recv().await.unwrap()
    }

    /// Whether a request is there already.
    pub fn has_request(&mut self) -> bool {
        self.requests.try_recv().is_ok()
    }
}

impl Connection {
    /// Waits for the next request on this connection.
    pub async fn next(mut self) {
        loop {
            if let Some((head, length, body_length)) = self.complete_head()
                && self.read.len() >= length + body_length
            {
                let body = self.read[length..length + body_length].to_vec();
                self.read.drain(..length + body_length);
                let update_sender = self.update_sender.clone();
                update_sender
                    .send(ReceivedRequest {
                        head,
                        body,
                        on: self,
                    })
                    .ok();
                return;
            }
            if !matches!(self.stream.read_buf(&mut self.read).await, Ok(1..)) {
                return;
            }
        }
    }

    fn complete_head(&self) -> Option<(String, usize, usize)> {
        let length = self
            .read
            .windows(4)
            .position(|bytes| bytes == b"\r\n\r\n")?
            + 4;
        let head = String::from_utf8(self.read[..length].to_vec()).unwrap();
        let body = header(&head, "content-length").map_or(0, |length| length.parse().unwrap());
        Some((head, length, body))
    }

    pub async fn write(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).await.unwrap();
    }

    /// Waits until the other side has closed.
    pub async fn closed(mut self) {
        let ended = async { while matches!(self.stream.read(&mut [0; 64]).await, Ok(1..)) {} };
        timeout(STEP, ended)
            .await
            .expect("the connection stays open");
    }

    /// Cuts the connection with a reset.
    pub fn reset(self) {
        self.stream.set_zero_linger().unwrap();
    }
}

impl ReceivedRequest {
    pub fn id(&self) -> String {
        header(&self.head, "mintlb-request-id").unwrap()
    }

    /// The usual headers of an answer to it.
    pub fn own(&self) -> String {
        format!(
            "mintlb-request-id: {}\r\nmintlb-response-signature: s-{}\r\nkeep-alive: timeout=5\r\n",
            self.id(),
            self.id()
        )
    }

    /// Answers with exactly these bytes, and takes the next request.
    pub async fn answer_with(mut self, bytes: &str) {
        self.on.write(bytes).await;
        tokio::spawn(self.on.next());
    }

    /// Responds with a complete 200.
    pub async fn answer(mut self, body: &str) {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}content-length: {}\r\n\r\n",
            self.own(),
            body.len()
        );
        self.on.write(&(head + body)).await;
        tokio::spawn(self.on.next());
    }

    /// Answers with these bytes after the usual headers, and takes the next request.
    pub async fn answer_as(mut self, status: &str, rest: &str) {
        let head = format!("HTTP/1.1 {status}\r\n{}{rest}", self.own());
        self.on.write(&head).await;
        tokio::spawn(self.on.next());
    }

    /// Says that it has not run.
    pub async fn refuse(mut self) {
        let head = format!(
            "HTTP/1.1 503 Full\r\nmintlb-request-id: {}\r\nmintlb-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
            self.id()
        );
        self.on.write(&head).await;
        tokio::spawn(self.on.next());
    }

    /// Begins a stream.
    pub async fn begin_stream(&mut self) {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.own()
        );
        self.on.write(&head).await;
    }

    pub async fn event(&mut self, id: u64) {
        self.chunk(&event(id)).await;
    }

    pub async fn chunk(&mut self, data: &str) {
        self.on
            .write(&format!("{:x}\r\n{data}\r\n", data.len()))
            .await;
    }

    pub async fn end_stream(mut self) {
        self.on.write("0\r\n\r\n").await;
        tokio::spawn(self.on.next());
    }
}

/// An event of a stream.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: e{id}\n\n")
}

/// The value of a header.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (named, value) = line.split_once(':')?;
        named
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_string())
    })
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    read: Vec<u8>,
}

/// What a client got.
#[derive(Debug)]
pub struct Got {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// It ended as its framing says.
    pub complete: bool,
}

impl Got {
    pub fn text(&self) -> String {
        String::from_utf8(self.body.clone()).unwrap()
    }
}

impl Client {
    pub async fn connect(to: SocketAddr) -> Client {
        Client {
            stream: TcpStream::connect(to).await.unwrap(),
            read: Vec::new(),
        }
    }

    pub async fn write(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).await.unwrap();
    }

    /// Sends a request with these headers, each with its end.
    pub async fn post(&mut self, path: &str, id: &str, headers: &str, body: &str) {
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nMintlb-Request-Id: {id}\r\n\
             Mintlb-Deadline-Ms: 5000\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.write(&head).await;
    }

    /// The head of the next answer.
    pub async fn head(&mut self) -> (u16, String) {
        loop {
            if let Some(end) = self.read.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head: Vec<u8> = self.read.drain(..end + 4).collect();
                let head = String::from_utf8(head).unwrap();
                return (head.split(' ').nth(1).unwrap().parse().unwrap(), head);
            }
            assert!(
                self.more().await,
                "closed before the head; so far {:?}",
                self.read
            );
        }
    }

    /// Reads until the body so far is this long, and gives it.
    pub async fn chunks(&mut self, length: usize) -> String {
        loop {
            let (body, _, _) = unchunk(&self.read);
            if body.len() >= length {
                return String::from_utf8(body).unwrap();
            }
            assert!(
                self.more().await,
                "closed too soon: {:?}",
                String::from_utf8_lossy(&self.read)
            );
        }
    }

    /// The rest of a chunked body, once its head was read.
    pub async fn rest(&mut self) -> (String, bool) {
        loop {
            let (body, used, complete) = unchunk(&self.read);
            if complete {
                self.read.drain(..used);
            }
            if complete || !self.more().await {
                return (String::from_utf8(body).unwrap(), complete);
            }
        }
    }

    /// The next answer, to its end or to the connection's.
    pub async fn get(&mut self) -> Got {
        let (status, head) = self.head().await;
        let length = header(&head, "content-length").map(|length| length.parse::<usize>().unwrap());
        if let Some(length) = length {
            while self.read.len() < length {
                if !self.more().await {
                    return Got {
                        status,
                        head,
                        body: std::mem::take(&mut self.read),
                        complete: false,
                    };
                }
            }
            return Got {
                status,
                head,
                body: self.read.drain(..length).collect(),
                complete: true,
            };
        }
        assert_eq!(
            header(&head, "transfer-encoding").as_deref(),
            Some("chunked"),
            "{head}"
        );
        let (body, complete) = self.rest().await;
        Got {
            status,
            head,
            body: body.into_bytes(),
            complete,
        }
    }

    async fn more(&mut self) -> bool {
        let read = timeout(STEP, self.stream.read_buf(&mut self.read))
            .await
            .expect("no bytes come");
        matches!(read, Ok(1..))
    }

    /// Whether the connection ends without another byte.
    pub async fn ends(&mut self) -> bool {
        self.read.is_empty() && !self.more().await
    }
}

/// The chunked body so far, how many bytes of it are used, and whether it is complete.
fn unchunk(bytes: &[u8]) -> (Vec<u8>, usize, bool) {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let Some(end) = bytes[at..].windows(2).position(|pair| pair == b"\r\n") else {
            return (body, at, false);
        };
        let size =
            usize::from_str_radix(std::str::from_utf8(&bytes[at..at + end]).unwrap(), 16).unwrap();
        let data = at + end + 2;
        if bytes.len() < data + size + 2 {
            return (body, at, false);
        }
        body.extend_from_slice(&bytes[data..data + size]);
        at = data + size + 2;
        if size == 0 {
            return (body, at, true);
        }
    }
}

/// Routes of all kinds to the services `s` and `t`.
pub const CONFIGURATION: &str = r#"{"config_version":3,"route_list":[
 {"name":"plain","host_name":"shop.example","path_prefix":"/p/","route_type":"idempotent","timeout_ms":5000,
  "target_latency_ms":300,"priority":0,"target_service":"s","max_attempts":2},
 {"name":"once","host_name":"shop.example","path_prefix":"/o/","route_type":"non_idempotent","timeout_ms":5000,
  "target_latency_ms":300,"priority":0,"target_service":"s","max_attempts":2},
 {"name":"stream","host_name":"shop.example","path_prefix":"/s/","route_type":"streaming","timeout_ms":5000,
  "target_latency_ms":300,"priority":0,"target_service":"s","max_attempts":2,"gap_aim_ms":250},
 {"name":"resume","host_name":"shop.example","path_prefix":"/r/","route_type":"streaming","timeout_ms":5000,
  "target_latency_ms":300,"priority":0,"target_service":"s","max_attempts":2,"resumable":true,"gap_aim_ms":250},
 {"name":"lots","host_name":"shop.example","path_prefix":"/b/","route_type":"batch","timeout_ms":5000,
  "target_latency_ms":300,"priority":1,"target_service":"s","max_attempts":3,"completion_target_ms":8000,
  "retention_s":30},
 {"name":"deep","host_name":"shop.example","path_prefix":"/p/deep/","route_type":"idempotent","timeout_ms":5000,
  "target_latency_ms":300,"priority":0,"target_service":"t","max_attempts":1}
 ],"service_list":[{"name":"s","max_connections":100},{"name":"t","max_connections":100}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
