//! Fixture: real processes of controllers and stores on loopback addresses of their own, with the
//! signals of a platform, and the client that a dispatcher has.

use mintlb_batch::client::BatchClient;
use mintlb_common::placement::Placement;
use mintlb_common::record::{PLACEMENT, Record};
use mintlb_common::transport::Transport;
use mintlb_gossip::{GossipConfig, GossipService, Member, Role};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use parking_lot::Mutex;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use tempfile::TempDir;

/// The first of the internal ports, the same on all machines; a dispatcher listens on it.
const INTERNAL_PORT: u16 = 27_760;
const CONTROLLER_PORT: u16 = INTERNAL_PORT + 1;
const CONTROL_PORT: u16 = 28_080;
const SEEDS: usize = 3;

/// The network of one run: machine `n` has the address 127.A.B.n.
#[derive(Clone, Copy)]
pub struct Network(u8, u8);

impl Network {
    /// A network of its own for a seed; two runs at a time have different process ids.
    pub fn new(seed: u64) -> Network {
        let number = u64::from(std::process::id()) * 31 + seed;
        Network((number / 250 % 100 + 100) as u8, (number % 250 + 1) as u8)
    }

    fn address(self, machine: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, self.1, machine as u8)
    }
}

/// A machine with one process.
pub struct Machine {
    verb: &'static str,
    number: usize,
    directory: PathBuf,
    process: Option<Child>,
    started_before: bool,
    frozen: bool,
}

impl Machine {
    /// Whether its process runs, frozen or not.
    pub fn is_up(&self) -> bool {
        self.process.is_some() && !self.frozen
    }

    /// Ends it without a warning, as a loss of power does.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().unwrap();
            process.wait().unwrap();
        }
        self.frozen = false;
    }

    /// Asks it to end; whether it has is told by [`Machine::has_ended`].
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    pub fn freeze(&mut self) {
        self.signal(Signal::SIGSTOP);
        self.frozen = true;
    }

    pub fn thaw(&mut self) {
        self.signal(Signal::SIGCONT);
        self.frozen = false;
    }

    /// Whether the process has ended after a SIGTERM; it must do so without an error.
    pub fn has_ended(&mut self) -> bool {
        let Some(process) = &mut self.process else {
            return true;
        };
        let Some(status) = process.try_wait().unwrap() else {
            return false;
        };
        assert!(status.success(), "{} {}: {status}", self.verb, self.number);
        self.process = None;
        true
    }

    fn signal(&self, signal: Signal) {
        let process = self.process.as_ref().expect("the machine has a process");
        kill(Pid::from_raw(process.id() as i32), signal).unwrap();
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct SoakCluster {
    network: Network,
    root: TempDir,
    pub controllers: Vec<Machine>,
    pub stores: Vec<Machine>,
    pub client: Arc<BatchClient>,
}

impl SoakCluster {
    pub async fn start(network: Network, controllers: usize, stores: usize) -> SoakCluster {
        let root = tempfile::tempdir().unwrap();
        let machine = |verb, number| Machine {
            verb,
            number,
            directory: root.path().join(format!("machine-{number}")),
            process: None,
            started_before: false,
            frozen: false,
        };
        let numbers = 1..=controllers;
        let mut cluster = SoakCluster {
            network,
            controllers: numbers
                .map(|number| machine("controller", number))
                .collect(),
            stores: (controllers + 1..=controllers + stores)
                .map(|number| machine("store", number))
                .collect(),
            client: start_client(network).await,
            root,
        };
        for position in 0..controllers {
            cluster.start_controller(position);
        }
        for position in 0..stores {
            cluster.start_store(position);
        }
        cluster
    }

    pub fn start_controller(&mut self, position: usize) {
        start_process(
            self.network,
            self.root.path(),
            &mut self.controllers[position],
        );
    }

    pub fn start_store(&mut self, position: usize) {
        start_process(self.network, self.root.path(), &mut self.stores[position]);
    }
}

/// The client of a dispatcher, which takes part in gossip.
async fn start_client(network: Network) -> Arc<BatchClient> {
    let address = SocketAddr::new(IpAddr::V4(network.address(250)), INTERNAL_PORT);
    let transport = Transport::start(address).await.unwrap();
    let seeds = (1..=SEEDS)
        .map(|machine| SocketAddr::new(IpAddr::V4(network.address(machine)), CONTROLLER_PORT));
    let gossip = GossipService::start(GossipConfig {
        transport: transport.clone(),
        seeds: seeds.collect(),
        member: Member {
            address,
            incarnation: transport.incarnation(),
            role: Role::Dispatcher,
            node_name: "client".to_string(),
            zone: "z1".to_string(),
        },
    });
    let placement = Arc::new(Mutex::new(Arc::new(Placement::default())));
    let known = placement.clone();
    gossip.subscribe(Arc::new(move |record: &Record| {
        if record.key == PLACEMENT {
            *placement.lock() = Arc::new(minicbor::decode(&record.body).unwrap());
        }
    }));
    Arc::new(BatchClient::new(
        transport,
        Arc::new(move || known.lock().clone()),
    ))
}

fn start_process(network: Network, root: &std::path::Path, machine: &mut Machine) {
    let data = machine.directory.join("data");
    std::fs::create_dir_all(&data).unwrap();
    let settings = machine.directory.join("node.toml");
    std::fs::write(&settings, settings_text(network, machine, &data)).unwrap();
    let log_path = root.join(format!("{}-{}.log", machine.verb, machine.number));
    let log = File::options()
        .create(true)
        .append(true)
        .open(log_path)
        .unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_mintlb-control"));
    command
        .arg(machine.verb)
        .env("MINTLB_BOOT", &settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log);
    machine.process = Some(command.spawn().unwrap());
    machine.started_before = true;
    machine.frozen = false;
}

fn settings_text(network: Network, machine: &Machine, data: &std::path::Path) -> String {
    let Machine {
        verb,
        number,
        started_before,
        ..
    } = machine;
    let address = network.address(*number);
    let seeds = (1..=SEEDS).map(|seed| format!("\"{}:{CONTROL_PORT}\"", network.address(seed)));
    let seeds: Vec<String> = seeds.collect();
    let serves = match *verb {
        "store" => "storage",
        _ => "control",
    };
    format!(
        r#"node_name = "{verb}-{number}"
role = "{verb}"
machine_class = "{serves}"
serves = ["{serves}"]
ip_address = "{address}"
zone = "z{}"
region = "r"
internal_ports = [{INTERNAL_PORT}, {}]
seed_nodes = [{}]
first_start = {}
counts_toward_quorum = true
data_directory = "{}"
heartbeat_ms = 1200
[listen_addresses]
control_plane = "{address}:{CONTROL_PORT}"
[limits]
cpu_share = 0.5
memory_mb = 300
max_open_files = 8200
disk_mb = 100
[fault_tolerance]
machines = 1
[bounds]
grace_period_s = 4.0
"#,
        number % 3,
        INTERNAL_PORT + 15,
        seeds.join(", "),
        !started_before,
        data.display(),
    )
}
