//! The settings of a process, a TOML file that the variable `MINTLB_BOOT` names.

mod bounds;
mod error;
mod internal_port;
mod loading;

pub use crate::quorum::FaultTolerance;
pub use bounds::Bounds;
pub use error::{InvalidSettings, SettingsError};
pub use internal_port::InternalPort;

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::time::Duration;

/// The environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "MINTLB_BOOT";

/// Intervals without a heartbeat after which a worker is unresponsive.
const HEARTBEAT_TIMEOUT_INTERVALS: u64 = 3;
/// Delay on top of [`HEARTBEAT_TIMEOUT_INTERVALS`] for a heartbeat that is in flight, in ms.
const HEARTBEAT_SLACK_MS: u64 = 500;

/// Settings of one process. Field names are the TOML keys; unknown keys are ignored.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct NodeSettings {
    /// The name of the machine.
    pub node_name: String,
    /// The name of the role in the deployment file.
    pub role: String,
    /// The class of the machine.
    pub machine_class: String,
    /// The services that the role offers: `edge`, `control`, `storage`.
    pub serves: Vec<String>,
    /// The address of the machine.
    pub ip_address: Ipv4Addr,
    /// The zone of the machine.
    pub zone: String,
    /// The region of the zone.
    pub region: String,
    /// First and last port for messages between the tier's own processes.
    pub internal_ports: [u16; 2],
    /// `control_plane` addresses of up to three machines.
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time, on empty disks.
    #[serde(default)]
    pub first_start: bool,
    /// Whether the loss of this machine counts against `fault_tolerance`.
    #[serde(default)]
    pub counts_toward_quorum: bool,
    /// The directory for files, if the machine has a disk.
    pub data_directory: Option<PathBuf>,
    /// Interval between the heartbeats of a worker, in ms; above 0.
    pub heartbeat_ms: u64,
    /// All zones, each with its region.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// The addresses of the services that the role offers.
    pub listen_addresses: ListenAddresses,
    /// The resources of the process.
    pub limits: Limits,
    /// The failures that the tier tolerates.
    pub fault_tolerance: FaultTolerance,
    /// The time limits and quotas of the tier's guarantees.
    pub bounds: Bounds,
}

/// The addresses on which a role's services listen.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct ListenAddresses {
    /// Clients' requests.
    pub frontend: Option<SocketAddrV4>,
    /// Readiness probes of the platform.
    pub readiness: Option<SocketAddrV4>,
    /// Calls of workers and of the operator.
    pub control_plane: Option<SocketAddrV4>,
}

/// The resources that a process may use.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Limits {
    /// Processor time, in cores.
    pub cpu_share: f64,
    /// Resident memory, in MB.
    pub memory_mb: u64,
    /// Open file descriptors.
    pub max_open_files: u64,
    /// Bandwidth of the machine's link, in Mbit/s.
    #[serde(default)]
    pub link_mbps: f64,
    /// Disk space, in MB, if the machine has a disk.
    pub disk_mb: Option<u64>,
}

impl NodeSettings {
    /// The address on which this process listens for messages from the tier's own processes.
    pub fn internal_address(&self, port: InternalPort) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip_address, self.internal_port(port)))
    }

    /// The internal addresses of the seeds' controllers. Port numbers are the same on all machines.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        let port = self.internal_port(InternalPort::Controller);
        self.seed_nodes
            .iter()
            .map(|seed| SocketAddr::V4(SocketAddrV4::new(*seed.ip(), port)))
            .collect()
    }

    /// Time without a heartbeat after which a worker is unresponsive.
    pub fn heartbeat_timeout(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms * HEARTBEAT_TIMEOUT_INTERVALS + HEARTBEAT_SLACK_MS)
    }

    fn internal_port(&self, port: InternalPort) -> u16 {
        self.internal_ports[0] + port as u16
    }
}
