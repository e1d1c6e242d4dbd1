//! Controllers of one machine, each with a runtime of its own, so that one of them can end like a process. Calls go into
//! their routers; what they say to each other goes over loopback sockets.

use axum::body::{Body, to_bytes};
use axum::http::{Method, Request, StatusCode};
use mintlb_common::record::{REPLICAS, Record};
use mintlb_common::settings::NodeSettings;
use mintlb_control::controller::register::acceptor_storage::FILE;
use mintlb_control::controller::{Controller, StartedController, http, start};
use mintlb_gossip::GossipService;
use mintlb_register::replica_set::ReplicaSet;
use std::path::Path;
use std::sync::atomic::{AtomicU16, Ordering::SeqCst};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;
use tempfile::TempDir;
use tower_service::Service;

/// How long the operator repeats a call.
const OPERATOR_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// Longest wait for anything; only a fault makes it run out.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// A running controller on a thread of its own.
pub struct Process {
    jobs: Option<tokio::sync::mpsc::UnboundedSender<Job>>,
    thread: Option<JoinHandle<()>>,
    pub controller: Arc<Controller>,
}

/// What a process is told.
enum Job {
    Call(Box<Call>),
    /// Stand still until the other end of this is dropped.
    Freeze(mpsc::Receiver<()>),
}

/// A call, and who waits for its answer.
struct Call {
    request: Request<Body>,
    answer: mpsc::Sender<(StatusCode, String)>,
}

/// The machines.
pub struct Fleet {
    folders: Vec<Option<TempDir>>,
    port: u16,
    pub processes: Vec<Option<Process>>,
}

impl Fleet {
    /// Starts `count` controllers with empty disks for the first time; each of them knows that all have joined.
    pub fn assembled(count: usize) -> Fleet {
        Fleet::assembled_with(&vec![true; count])
    }

    /// The same, of machines with and without disks. The first three are the seeds.
    pub fn assembled_with(disks: &[bool]) -> Fleet {
        let fleet = Fleet::first_start(disks);
        let replicas = disks.iter().filter(|disk| **disk).count();
        (0..disks.len()).for_each(|place| fleet.wait_for_set(place, replicas, |_| true));
        fleet
    }

    fn first_start(disks: &[bool]) -> Fleet {
        let count = disks.len();
        let base = 20_000 + (std::process::id() % 2000) as u16 * 16;
        let port = base + NEXT_PORT.fetch_add(4, SeqCst);
        let folders = disks
            .iter()
            .map(|disk| disk.then(|| tempfile::tempdir().unwrap()))
            .collect();
        let mut fleet = Fleet {
            folders,
            port,
            processes: Vec::new(),
        };
        for place in 0..count {
            let process = fleet.launch(place, true);
            fleet.processes.push(Some(process));
        }
        fleet
    }

    /// The controller of this machine.
    pub fn at(&self, place: usize) -> &Arc<Controller> {
        &self.processes[place].as_ref().unwrap().controller
    }

    /// Ends a process without warning.
    pub fn kill(&mut self, place: usize) {
        self.processes[place] = None;
    }

    /// Starts it again.
    pub fn restart(&mut self, place: usize) {
        self.processes[place] = Some(self.launch(place, false));
    }

    /// Lets a process stand still until what is returned is dropped.
    pub fn freeze(&self, place: usize) -> mpsc::Sender<()> {
        let (thaw, thawed) = mpsc::channel();
        let process = self.processes[place].as_ref().unwrap();
        process
            .jobs
            .as_ref()
            .unwrap()
            .send(Job::Freeze(thawed))
            .unwrap();
        thaw
    }

    /// Empties the disk of a machine that is not running.
    pub fn lose_disk(&mut self, place: usize) {
        self.folders[place] = Some(tempfile::tempdir().unwrap());
    }

    /// The size of the file of a machine's replica.
    pub fn register_file_bytes(&self, place: usize) -> u64 {
        let folder = self.folders[place].as_ref().unwrap();
        std::fs::metadata(folder.path().join(FILE)).unwrap().len()
    }

    /// Waits until a settled set of so many replicas, to which `fits` applies, is known at this machine.
    pub fn wait_for_set(
        &self,
        place: usize,
        size: usize,
        fits: impl Fn(&ReplicaSet) -> bool + Send + Sync + 'static,
    ) {
        self.wait_for_record(place, move |record| {
            let set: Option<ReplicaSet> =
                (record.key == REPLICAS).then(|| minicbor::decode(&record.body).unwrap());
            set.is_some_and(|set| !set.is_joint() && set.current.len() == size && fits(&set))
        });
    }

    /// Waits until a record to which `fits` applies is in force at this machine.
    pub fn wait_for_record(
        &self,
        place: usize,
        fits: impl Fn(&Record) -> bool + Send + Sync + 'static,
    ) {
        let (found, finding) = mpsc::channel();
        let gossip: &Arc<GossipService> = &self.at(place).gossip;
        gossip.subscribe(Arc::new(move |record| {
            if fits(record) {
                found.send(()).ok();
            }
        }));
        finding
            .recv_timeout(TEST_TIMEOUT)
            .expect("the record does not come");
    }

    /// A call, and its answer.
    pub fn call(
        &self,
        place: usize,
        method: Method,
        path: &str,
        base: Option<u64>,
        body: &str,
    ) -> (StatusCode, String) {
        let process = self.processes[place].as_ref().unwrap();
        let mut request = Request::builder().method(method).uri(path);
        if let Some(base) = base {
            request = request.header("If-Match", base.to_string());
        }
        let request = request.body(Body::from(body.to_string())).unwrap();
        let (answer, answered) = mpsc::channel();
        process
            .jobs
            .as_ref()
            .unwrap()
            .send(Job::Call(Box::new(Call { request, answer })))
            .unwrap();
        answered.recv_timeout(TEST_TIMEOUT).expect("no answer")
    }

    /// Replaces the configuration, as an operator does: a call without a clear answer is repeated, for as long as he
    /// does that.
    pub fn configure(&self, place: usize, base: u64, body: &str) -> StatusCode {
        let until = std::time::Instant::now() + OPERATOR_TIMEOUT;
        loop {
            let (status, _) = self.call(place, Method::PUT, "/v1/configuration", Some(base), body);
            if status != StatusCode::SERVICE_UNAVAILABLE || std::time::Instant::now() >= until {
                return status;
            }
        }
    }

    fn launch(&self, place: usize, first_start: bool) -> Process {
        let settings = self.settings(
            place,
            first_start,
            self.folders[place].as_ref().map(TempDir::path),
        );
        let (started, starting) = mpsc::channel();
        let (jobs, mut incoming) = tokio::sync::mpsc::unbounded_channel::<Job>();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async move {
                // The tasks end with the runtime, as in a process that is killed.
                let StartedController {
                    controller,
                    tasks: _tasks,
                } = start(settings).await.unwrap();
                started.send(controller.clone()).unwrap();
                while let Some(job) = incoming.recv().await {
                    match job {
                        Job::Call(call) => _ = tokio::spawn(answer(controller.clone(), *call)),
                        Job::Freeze(thawed) => _ = thawed.recv(),
                    }
                }
            });
        });
        let controller = starting
            .recv_timeout(TEST_TIMEOUT)
            .expect("it does not start");
        Process {
            jobs: Some(jobs),
            thread: Some(thread),
            controller,
        }
    }

    fn settings(&self, place: usize, first_start: bool, folder: Option<&Path>) -> NodeSettings {
        let folder = folder
            .map(|folder| format!("data_directory = {folder:?}\n"))
            .unwrap_or_default();
        let (port, last) = (self.port, self.port + 3);
        let seeds: Vec<String> = (1..=3)
            .map(|host| format!("\"127.9.0.{host}:80\""))
            .collect();
        let text = format!(
            "node_name = \"edge-{place}\"\nrole = \"controller\"\nmachine_class = \"edge\"\nserves = [\"control\"]\n\
             ip_address = \"127.9.0.{host}\"\nzone = \"z{place}\"\nregion = \"r\"\ninternal_ports = [{port},{last}]\n\
             seed_nodes = [{seeds}]\nfirst_start = {first_start}\n{folder}heartbeat_ms = 1200\n\
             [listen_addresses]\n[limits]\ncpu_share = 0.4\nmemory_mb = 260\nmax_open_files = 4100\n\
             [fault_tolerance]\nmachines = 1\n[bounds]\n",
            host = place + 1,
            seeds = seeds.join(","),
        );
        NodeSettings::parse(&text).unwrap()
    }
}

async fn answer(controller: Arc<Controller>, call: Call) {
    let answer = http::router(&controller).call(call.request).await.unwrap();
    let status = answer.status();
    let body = to_bytes(answer.into_body(), 8 << 20).await.unwrap();
    call.answer
        .send((status, String::from_utf8(body.to_vec()).unwrap()))
        .ok();
}

impl Drop for Process {
    fn drop(&mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
        // What a process that ends would let go of by itself.
        self.controller.close();
    }
}
