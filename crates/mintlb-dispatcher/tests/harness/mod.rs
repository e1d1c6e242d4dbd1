//! Test harness: a dispatcher on loopback, workers whose responses a test determines, and raw HTTP clients.

#![allow(dead_code, reason = "each test file uses only part of the harness")]

pub mod raw;

use axum::body::Body;
use axum::response::Response;
use mintlb_common::configuration::Configuration;
use mintlb_common::record::{WorkerRecord, WorkerState};
use mintlb_dispatcher::admission::RateLimiter;
use mintlb_dispatcher::batch_executor::{BatchCall, BatchExecutor, BatchHandler};
use mintlb_dispatcher::cluster_state::ClusterUpdate;
use mintlb_dispatcher::dispatcher::{Dispatcher, DispatcherConfig};
use mintlb_dispatcher::shared::SharedState;
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

/// Timeout of a single step of a test.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a test on a single-threaded runtime, as a dispatcher runs.
pub fn run_single_threaded(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        timeout(Duration::from_secs(60), test)
            .await
            .expect("the test did not finish within 60 s")
    });
}

/// A running dispatcher.
pub struct TestDispatcher {
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
    pub shared: Arc<SharedState>,
    pub batch_executor: BatchExecutor,
    pub update_sender: UnboundedSender<ClusterUpdate>,
    pub stop: Option<oneshot::Sender<()>>,
    pub ended: oneshot::Receiver<()>,
}

/// Components of a dispatcher that a test replaces.
#[derive(Default)]
pub struct Overrides {
    pub rate_limiter: Option<Arc<dyn RateLimiter>>,
    pub batch: Option<Arc<dyn BatchHandler>>,
}

impl TestDispatcher {
    pub async fn start() -> TestDispatcher {
        TestDispatcher::start_with(Overrides::default()).await
    }

    /// Starts a dispatcher with replaced components.
    pub async fn start_with(overrides: Overrides) -> TestDispatcher {
        let config = DispatcherConfig {
            zone: "a".to_string(),
            zones: vec!["a".to_string(), "b".to_string()],
            memory_mb: 200,
            max_open_files: 1000,
            grace_period_s: 5.0,
            seed: 1,
        };
        let mut dispatcher = Dispatcher::new(config);
        if let Some(rate_limiter) = overrides.rate_limiter {
            dispatcher.rate_limiter = rate_limiter;
        }
        dispatcher.batch = overrides.batch;
        let (frontend, readiness) = (bind_loopback().await, bind_loopback().await);
        let (stop, stop_requested) = oneshot::channel();
        let (end_sender, ended) = oneshot::channel();
        let test_dispatcher = TestDispatcher {
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
                .serve(frontend, readiness, async {
                    stop_requested.await.unwrap_or(())
                })
                .await;
            end_sender.send(()).ok();
        });
        test_dispatcher
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
        self.wait_until(|shared| {
            shared
                .routing()
                .is_some_and(|t| t.configuration.config_version >= version)
        })
        .await;
    }

    /// Publishes the state of a worker and waits until it is applied.
    pub async fn set_worker(&self, worker: &Worker, state: WorkerState, call_sequence: u64) {
        self.apply_record(worker_record(worker, state, call_sequence))
            .await;
    }

    /// Publishes a worker record and waits until it is applied.
    pub async fn apply_record(&self, record: WorkerRecord) {
        let generation = self.shared.workers.generation();
        self.update_sender
            .send(ClusterUpdate::Worker(record))
            .unwrap();
        self.wait_until(|shared| shared.workers.generation() > generation)
            .await;
    }

    /// Publishes a raw worker and waits until it is applied.
    pub async fn set_raw_worker(&self, worker: &raw::RawWorker) {
        let generation = self.shared.workers.generation();
        self.update_sender
            .send(ClusterUpdate::Worker(worker.record.clone()))
            .unwrap();
        self.wait_until(|shared| shared.workers.generation() > generation)
            .await;
    }

    async fn wait_until(&self, condition: impl Fn(&SharedState) -> bool) {
        let reached = async {
            while !condition(&self.shared) {
                tokio::task::yield_now().await;
            }
        };
        timeout(STEP_TIMEOUT, reached)
            .await
            .expect("the dispatcher did not apply the update in time");
    }

    pub async fn connect(&self) -> Client {
        Client::connect(self.frontend).await
    }
}

/// Test double of the batch handler: records each call and responds 200.
pub struct RecordingBatchHandler(UnboundedSender<BatchCall>);

impl RecordingBatchHandler {
    /// Creates the handler and the receiver of its calls.
    pub fn new() -> (Arc<RecordingBatchHandler>, UnboundedReceiver<BatchCall>) {
        let (sender, calls) = unbounded_channel();
        (Arc::new(RecordingBatchHandler(sender)), calls)
    }
}

impl BatchHandler for RecordingBatchHandler {
    fn handle(&self, call: BatchCall) -> Pin<Box<dyn Future<Output = Response> + Send>> {
        self.0.send(call).ok();
        Box::pin(async { Response::new(Body::from("handled")) })
    }
}

/// The gossip record of a worker.
pub fn worker_record(worker: &Worker, state: WorkerState, sequence: u64) -> WorkerRecord {
    WorkerRecord {
        instance_id: worker.instance_id.clone(),
        service: worker.service.clone(),
        address: worker.address.to_string(),
        zone: "a".to_string(),
        capacity_slots: 4,
        state,
        call_sequence: sequence,
        slow_start_until_ms: 0,
    }
}

pub async fn bind_loopback() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// A worker whose requests a test receives one by one and responds to.
pub struct Worker {
    pub instance_id: String,
    pub service: String,
    pub address: SocketAddr,
    requests: UnboundedReceiver<ReceivedRequest>,
    connections: Arc<AtomicUsize>,
}

/// A complete request at a worker, and the connection on which to respond.
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
    pub connection: Connection,
}

/// The worker's side of a connection.
pub struct Connection {
    stream: TcpStream,
    read: Vec<u8>,
    request_sender: UnboundedSender<ReceivedRequest>,
}

impl Worker {
    pub async fn start(instance_id: &str, service: &str) -> Worker {
        let listener = bind_loopback().await;
        let address = listener.local_addr().unwrap();
        let (request_sender, requests) = unbounded_channel();
        let connections: Arc<AtomicUsize> = Arc::default();
        let count = connections.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.fetch_add(1, Relaxed);
                let connection = Connection {
                    stream,
                    read: Vec::new(),
                    request_sender: request_sender.clone(),
                };
                tokio::spawn(connection.receive_next());
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

    /// Starts a worker that resets each connection after accepting it.
    pub async fn resetting(instance_id: &str, service: &str) -> Worker {
        let mut worker = Worker::start(instance_id, service).await;
        let listener = bind_loopback().await;
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

    /// Number of accepted connections.
    pub fn connections(&self) -> usize {
        self.connections.load(Relaxed)
    }

    /// Waits for the next complete request.
    pub async fn next_request(&mut self) -> ReceivedRequest {
        timeout(STEP_TIMEOUT, self.requests.recv())
            .await
            .expect("no request was received in time")
            .unwrap()
    }

    /// The next complete request, without a timeout.
    pub async fn next_request_untimed(&mut self) -> ReceivedRequest {
        self.requests.recv().await.unwrap()
    }

    /// Whether a request has been received.
    pub fn has_request(&mut self) -> bool {
        self.requests.try_recv().is_ok()
    }
}

impl Connection {
    /// Receives the next request on this connection and passes it to the test.
    pub async fn receive_next(mut self) {
        loop {
            if let Some((head, length, body_length)) = self.complete_head()
                && self.read.len() >= length + body_length
            {
                let body = self.read[length..length + body_length].to_vec();
                self.read.drain(..length + body_length);
                let request_sender = self.request_sender.clone();
                request_sender
                    .send(ReceivedRequest {
                        head,
                        body,
                        connection: self,
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

    /// Waits until the dispatcher has closed the connection.
    pub async fn wait_until_closed(mut self) {
        let ended = async { while matches!(self.stream.read(&mut [0; 64]).await, Ok(1..)) {} };
        timeout(STEP_TIMEOUT, ended)
            .await
            .expect("the connection was not closed in time");
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        self.stream.set_zero_linger().unwrap();
    }
}

impl ReceivedRequest {
    pub fn id(&self) -> String {
        header(&self.head, "mintlb-request-id").unwrap()
    }

    /// The usual headers of a response to it.
    pub fn response_headers(&self) -> String {
        format!(
            "mintlb-request-id: {}\r\nmintlb-response-signature: s-{}\r\nkeep-alive: timeout=5\r\n",
            self.id(),
            self.id()
        )
    }

    /// Responds with exactly these bytes, and receives the next request.
    pub async fn respond_raw(mut self, bytes: &str) {
        self.connection.write(bytes).await;
        tokio::spawn(self.connection.receive_next());
    }

    /// Responds with a complete 200, and receives the next request.
    pub async fn respond(mut self, body: &str) {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}content-length: {}\r\n\r\n",
            self.response_headers(),
            body.len()
        );
        self.connection.write(&(head + body)).await;
        tokio::spawn(self.connection.receive_next());
    }

    /// Responds with these bytes after the usual headers, and receives the next request.
    pub async fn respond_with(mut self, status: &str, rest: &str) {
        let head = format!("HTTP/1.1 {status}\r\n{}{rest}", self.response_headers());
        self.connection.write(&head).await;
        tokio::spawn(self.connection.receive_next());
    }

    /// Responds that the request was not executed.
    pub async fn reject_not_executed(mut self) {
        let head = format!(
            "HTTP/1.1 503 Full\r\nmintlb-request-id: {}\r\nmintlb-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
            self.id()
        );
        self.connection.write(&head).await;
        tokio::spawn(self.connection.receive_next());
    }

    /// Sends the head of an event stream.
    pub async fn start_stream(&mut self) {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.response_headers()
        );
        self.connection.write(&head).await;
    }

    pub async fn send_event(&mut self, id: u64) {
        self.send_chunk(&event(id)).await;
    }

    pub async fn send_chunk(&mut self, data: &str) {
        self.connection
            .write(&format!("{:x}\r\n{data}\r\n", data.len()))
            .await;
    }

    pub async fn end_stream(mut self) {
        self.connection.write("0\r\n\r\n").await;
        tokio::spawn(self.connection.receive_next());
    }
}

/// The text of an event in a stream.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: e{id}\n\n")
}

/// The value of a header in a head.
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

/// A response as a client received it.
#[derive(Debug)]
pub struct ReceivedResponse {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body is complete by its framing.
    pub complete: bool,
}

impl ReceivedResponse {
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

    /// Sends a POST request; `headers` are complete lines with CRLF.
    pub async fn send_request(&mut self, path: &str, id: &str, headers: &str, body: &str) {
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nMintlb-Request-Id: {id}\r\n\
             Mintlb-Deadline-Ms: 5000\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.write(&head).await;
    }

    /// Reads the head of the next response: its status and text.
    pub async fn read_head(&mut self) -> (u16, String) {
        loop {
            if let Some(end) = self.read.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head: Vec<u8> = self.read.drain(..end + 4).collect();
                let head = String::from_utf8(head).unwrap();
                return (head.split(' ').nth(1).unwrap().parse().unwrap(), head);
            }
            assert!(
                self.read_more().await,
                "the connection ended before the head was complete: {:?}",
                self.read
            );
        }
    }

    /// Reads a chunked body until this many bytes were received, and returns them.
    pub async fn read_body_prefix(&mut self, length: usize) -> String {
        loop {
            let (body, _, _) = decode_chunked(&self.read);
            if body.len() >= length {
                return String::from_utf8(body).unwrap();
            }
            assert!(
                self.read_more().await,
                "the connection ended too early: {:?}",
                String::from_utf8_lossy(&self.read)
            );
        }
    }

    /// Reads a chunked body after its head; returns it and whether it is complete.
    pub async fn read_rest(&mut self) -> (String, bool) {
        loop {
            let (body, used, complete) = decode_chunked(&self.read);
            if complete {
                self.read.drain(..used);
            }
            if complete || !self.read_more().await {
                return (String::from_utf8(body).unwrap(), complete);
            }
        }
    }

    /// Reads the next response, up to its end or the end of the connection.
    pub async fn read_response(&mut self) -> ReceivedResponse {
        let (status, head) = self.read_head().await;
        let length = header(&head, "content-length").map(|length| length.parse::<usize>().unwrap());
        if let Some(length) = length {
            while self.read.len() < length {
                if !self.read_more().await {
                    return ReceivedResponse {
                        status,
                        head,
                        body: std::mem::take(&mut self.read),
                        complete: false,
                    };
                }
            }
            return ReceivedResponse {
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
        let (body, complete) = self.read_rest().await;
        ReceivedResponse {
            status,
            head,
            body: body.into_bytes(),
            complete,
        }
    }

    async fn read_more(&mut self) -> bool {
        let read = timeout(STEP_TIMEOUT, self.stream.read_buf(&mut self.read))
            .await
            .expect("no bytes were received in time");
        matches!(read, Ok(1..))
    }

    /// Whether the connection ends without another byte.
    pub async fn is_closed(&mut self) -> bool {
        self.read.is_empty() && !self.read_more().await
    }
}

/// Decodes a chunked body: returns the data so far, the number of consumed bytes, and whether the body is complete.
fn decode_chunked(bytes: &[u8]) -> (Vec<u8>, usize, bool) {
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

/// Routes of all types to the services `s` and `t`.
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
