//! A cluster of controllers on one machine, each with a runtime of its own, so that one of them can
//! end like a process. Calls go into their routers; their messages go over loopback sockets.
#![allow(dead_code)]

use axum::body::{Body, to_bytes};
use axum::http::{Method, Request, StatusCode};
use mintlb_common::record::{REPLICAS, Record};
use mintlb_common::settings::NodeSettings;
use mintlb_control::controller::register::acceptor_storage::FILE;
use mintlb_control::controller::{Controller, StartedController, start};
use mintlb_gossip::GossipService;
use mintlb_register::replica_set::ReplicaSet;
use std::path::Path;
use std::sync::atomic::{AtomicU16, Ordering::SeqCst};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;
use tempfile::TempDir;
use tower_service::Service;

/// The time for which the operator tries a call again.
const OPERATOR_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// The longest wait for anything: only a fault exceeds it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// A running controller on a thread of its own.
pub struct ControllerProcess {
    jobs: Option<tokio::sync::mpsc::UnboundedSender<Job>>,
    thread: Option<JoinHandle<()>>,
    pub controller: Arc<Controller>,
}

/// A job for a process.
enum Job {
    Call(Box<Call>),
    /// Pause until the other end of this is dropped.
    Pause(mpsc::Receiver<()>),
}

/// A call, and the channel for its response.
struct Call {
    request: Request<Body>,
    answer: mpsc::Sender<(StatusCode, String)>,
}

/// The machines and their controllers.
pub struct Cluster {
    folders: Vec<Option<TempDir>>,
    /// `counts_toward_quorum` of each machine.
    counted: Vec<bool>,
    port: u16,
    pub processes: Vec<Option<ControllerProcess>>,
}

impl Cluster {
    /// Starts `count` controllers with empty disks for the first time; each of them knows that all
    /// have joined.
    pub fn of_size(count: usize) -> Cluster {
        Cluster::with_disks(&vec![true; count])
    }

    /// The same, on machines with and without disks. The first three are the seeds.
    pub fn with_disks(disks: &[bool]) -> Cluster {
        let cluster = Cluster::first_start(disks);
        let replicas = disks.iter().filter(|disk| **disk).count();
        (0..disks.len()).for_each(|index| cluster.wait_for_set(index, replicas, |_| true));
        cluster
    }

    /// Starts controllers with empty disks for the first time, on machines that count and others that
    /// don't; each of them knows that those that count alone are in the set.
    pub fn with_counted(counted: &[bool]) -> Cluster {
        let disks = vec![true; counted.len()];
        let cluster = Cluster::first_start_of(&disks, counted);
        let replicas = counted.iter().filter(|counts| **counts).count();
        (0..disks.len()).for_each(|index| cluster.wait_for_set(index, replicas, |_| true));
        cluster
    }

    fn first_start(disks: &[bool]) -> Cluster {
        Cluster::first_start_of(disks, &vec![true; disks.len()])
    }

    fn first_start_of(disks: &[bool], counted: &[bool]) -> Cluster {
        let count = disks.len();
        let base = 20_000 + (std::process::id() % 2000) as u16 * 16;
        let port = base + NEXT_PORT.fetch_add(4, SeqCst);
        let folders = disks
            .iter()
            .map(|disk| disk.then(|| tempfile::tempdir().unwrap()))
            .collect();
        let mut cluster = Cluster {
            folders,
            counted: counted.to_vec(),
            port,
            processes: Vec::new(),
        };
        for index in 0..count {
            let process = cluster.launch(index, true);
            cluster.processes.push(Some(process));
        }
        cluster
    }

    /// The controller of this machine.
    pub fn at(&self, index: usize) -> &Arc<Controller> {
        &self.processes[index].as_ref().unwrap().controller
    }

    /// Ends a process without warning.
    pub fn kill(&mut self, index: usize) {
        self.processes[index] = None;
    }

    /// Starts it again.
    pub fn restart(&mut self, index: usize) {
        self.processes[index] = Some(self.launch(index, false));
    }

    /// Pauses a process until the returned sender is dropped.
    pub fn pause(&self, index: usize) -> mpsc::Sender<()> {
        let (resume, resumed) = mpsc::channel();
        let process = self.processes[index].as_ref().unwrap();
        process
            .jobs
            .as_ref()
            .unwrap()
            .send(Job::Pause(resumed))
            .unwrap();
        resume
    }

    /// Empties the disk of a machine that is not running.
    pub fn lose_disk(&mut self, index: usize) {
        self.folders[index] = Some(tempfile::tempdir().unwrap());
    }

    /// The size of the file of a machine's replica.
    pub fn register_file_bytes(&self, index: usize) -> u64 {
        let folder = self.folders[index].as_ref().unwrap();
        std::fs::metadata(folder.path().join(FILE)).unwrap().len()
    }

    /// Waits until this machine knows a replica set of this size, not joint, that satisfies `fits`.
    pub fn wait_for_set(
        &self,
        index: usize,
        size: usize,
        fits: impl Fn(&ReplicaSet) -> bool + Send + Sync + 'static,
    ) {
        self.wait_for_record(index, move |record| {
            let set: Option<ReplicaSet> =
                (record.key == REPLICAS).then(|| minicbor::decode(&record.body).unwrap());
            set.is_some_and(|set| !set.is_joint() && set.current.len() == size && fits(&set))
        });
    }

    /// Waits until this machine has a record that satisfies `fits`.
    pub fn wait_for_record(
        &self,
        index: usize,
        fits: impl Fn(&Record) -> bool + Send + Sync + 'static,
    ) {
        let (found, finding) = mpsc::channel();
        let gossip: &Arc<GossipService> = &self.at(index).gossip;
        gossip.subscribe(Arc::new(move |record| {
            if fits(record) {
                found.send(()).ok();
            }
        }));
        finding
            .recv_timeout(TEST_TIMEOUT)
            .expect("the record does not come");
    }

    /// Makes a call and returns its response.
    pub fn call(
        &self,
        index: usize,
        method: Method,
        path: &str,
        base: Option<u64>,
        body: &str,
    ) -> (StatusCode, String) {
        let process = self.processes[index].as_ref().unwrap();
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

    /// Replaces the configuration as an operator does: an indeterminate call is tried again for a
    /// while.
    pub fn configure(&self, index: usize, base: u64, body: &str) -> StatusCode {
        let until = std::time::Instant::now() + OPERATOR_TIMEOUT;
        loop {
            let (status, _) = self.call(index, Method::PUT, "/v1/configuration", Some(base), body);
            if status != StatusCode::SERVICE_UNAVAILABLE || std::time::Instant::now() >= until {
                return status;
            }
        }
    }

    /// Reads the configuration as an operator does: an indeterminate call is tried again for a while.
    pub fn read_configuration(&self, index: usize) -> (StatusCode, String) {
        let until = std::time::Instant::now() + OPERATOR_TIMEOUT;
        loop {
            let response = self.read_configuration_once(index);
            let is_indeterminate = response.0 == StatusCode::SERVICE_UNAVAILABLE;
            if !is_indeterminate || std::time::Instant::now() >= until {
                return response;
            }
        }
    }

    /// Reads the configuration by a single call.
    pub fn read_configuration_once(&self, index: usize) -> (StatusCode, String) {
        self.call(index, Method::GET, "/v1/configuration", None, "")
    }

    fn launch(&self, index: usize, first_start: bool) -> ControllerProcess {
        let settings = self.settings(
            index,
            first_start,
            self.folders[index].as_ref().map(TempDir::path),
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
                        Job::Pause(resumed) => _ = resumed.recv(),
                    }
                }
            });
        });
        let controller = starting
            .recv_timeout(TEST_TIMEOUT)
            .expect("it does not start");
        ControllerProcess {
            jobs: Some(jobs),
            thread: Some(thread),
            controller,
        }
    }

    fn settings(&self, index: usize, first_start: bool, folder: Option<&Path>) -> NodeSettings {
        let folder = folder
            .map(|folder| format!("data_directory = {folder:?}\n"))
            .unwrap_or_default();
        let (port, last) = (self.port, self.port + 3);
        let seeds: Vec<String> = (1..=3)
            .map(|host| format!("\"127.9.0.{host}:80\""))
            .collect();
        let text = format!(
            "node_name = \"edge-{index}\"\nrole = \"controller\"\nmachine_class = \"edge\"\nserves = [\"control\"]\n\
             ip_address = \"127.9.0.{host}\"\nzone = \"z{index}\"\nregion = \"r\"\ninternal_ports = [{port},{last}]\n\
             seed_nodes = [{seeds}]\nfirst_start = {first_start}\ncounts_toward_quorum = {counts}\n{folder}heartbeat_ms = 1200\n\
             [listen_addresses]\n[limits]\ncpu_share = 0.4\nmemory_mb = 260\nmax_open_files = 4100\n\
             [fault_tolerance]\nmachines = 1\n[bounds]\n",
            host = index + 1,
            counts = self.counted[index],
            seeds = seeds.join(","),
        );
        NodeSettings::parse(&text).unwrap()
    }
}

async fn answer(controller: Arc<Controller>, call: Call) {
    let answer = controller.http.router().call(call.request).await.unwrap();
    let status = answer.status();
    let body = to_bytes(answer.into_body(), 8 << 20).await.unwrap();
    call.answer
        .send((status, String::from_utf8(body.to_vec()).unwrap()))
        .ok();
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            thread.join().ok();
        }
        // A real process would release its file at its end.
        self.controller.close();
    }
}
