//! The settings file of a process, which the variable `MINTLB_BOOT` names.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "MINTLB_BOOT";

/// Settings of one process. Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct NodeSettings {
    /// The machine's name.
    pub node_name: String,
    /// The role's name in the deploy file.
    pub role: String,
    /// The class of the machine.
    pub machine_class: String,
    /// Who may call the role from outside: `edge`, `control`, `storage`.
    pub serves: Vec<String>,
    /// The machine's address.
    pub ip_address: Ipv4Addr,
    /// The machine's zone.
    pub zone: String,
    /// The zone's region.
    pub region: String,
    /// First and last of the ports for the tier's own messages.
    pub internal_ports: [u16; 2],
    /// `control_plane` addresses of up to three machines.
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time, on empty disks.
    #[serde(default)]
    pub first_start: bool,
    /// Whether this machine's loss counts against `fault_tolerance`.
    #[serde(default)]
    pub counts_toward_quorum: bool,
    /// Where files may be kept, if the machine has a disk.
    pub data_directory: Option<PathBuf>,
    /// How often workers send heartbeats, in ms.
    pub heartbeat_ms: u64,
    /// Every zone with its region.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// The addresses of the services that the role serves.
    pub listen_addresses: ListenAddresses,
    /// What the process may use.
    pub limits: Limits,
    /// What may be lost at once.
    pub fault_tolerance: FaultTolerance,
    /// The figures of the rules.
    pub bounds: Bounds,
}

/// Where the role's services listen.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct ListenAddresses {
    /// Clients' requests.
    pub frontend: Option<SocketAddrV4>,
    /// The platform's readiness questions.
    pub readiness: Option<SocketAddrV4>,
    /// Workers' and the operator's calls.
    pub control_plane: Option<SocketAddrV4>,
}

/// What the process may use.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Limits {
    /// Share of a core.
    pub cpu_share: f64,
    /// Resident memory in MB.
    pub memory_mb: u64,
    /// Open descriptors.
    pub max_open_files: u64,
    /// The machine's link in Mbit/s.
    #[serde(default)]
    pub link_mbps: f64,
    /// Disk in MB, if there is one.
    pub disk_mb: Option<u64>,
}

/// What may be lost at once while every rule still holds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
pub struct FaultTolerance {
    /// Machines for which `counts_toward_quorum` is true.
    #[serde(default)]
    pub machines: usize,
    /// Whole zones.
    #[serde(default)]
    pub zones: usize,
    /// Whole regions.
    #[serde(default)]
    pub regions: usize,
}

/// The figures of the rules, as far as the tier goes by them. Those in ms and s are as the settings name them.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Bounds {
    /// How long calm has to last before rules bound by time hold.
    pub contact_ms: u64,
    /// Within which the operator's orders are acknowledged.
    pub ack_ms: u64,
    /// How long a worker that drains still serves after its acknowledgement.
    pub drain_ms: u64,
    /// Between SIGTERM and SIGKILL.
    pub grace_period_s: f64,
    /// Within which an acknowledged configuration is in force everywhere.
    pub config_apply_ms: u64,
    /// How long an event of a stream may take through the tier.
    pub pass_ms: u64,
    /// How long after it was sent a lot can be read.
    pub status_s: f64,
    /// Within which an ended lot's items stop.
    pub cancel_ms: u64,
    /// Within which an accepted lot is known at every scheduler.
    #[serde(rename = "settle_ms")]
    pub batch_visibility_ms: u64,
    /// By which part waiting tokens may exceed `max_queued_tokens`.
    pub quota_overage: f64,
    /// Within which a returned machine counts as back.
    pub catch_up_s: f64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            contact_ms: 3000,
            ack_ms: 4000,
            drain_ms: 2000,
            grace_period_s: 8.0,
            config_apply_ms: 2000,
            pass_ms: 120,
            status_s: 120.0,
            cancel_ms: 3000,
            batch_visibility_ms: 1000,
            quota_overage: 0.1,
            catch_up_s: 5.0,
        }
    }
}

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The variable is not set.
    #[error("M101 the variable {SETTINGS_VARIABLE} is not set")]
    NoVariable,
    /// The file can't be read.
    #[error("M102 the settings file {path}: {cause}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        cause: std::io::Error,
    },
    /// A field is missing or wrong.
    #[error("M103 the settings file {path}: {cause}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The field, and what is wrong with it.
        cause: String,
    },
}

impl NodeSettings {
    /// Reads the file that the variable names.
    pub fn from_environment() -> Result<NodeSettings, SettingsError> {
        let path = std::env::var_os(SETTINGS_VARIABLE).ok_or(SettingsError::NoVariable)?;
        NodeSettings::read(Path::new(&path))
    }

    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<NodeSettings, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::Unreadable {
            path: path.to_owned(),
            cause,
        })?;
        NodeSettings::parse(&text).map_err(|cause| SettingsError::Invalid {
            path: path.to_owned(),
            cause,
        })
    }

    /// Reads and checks a text; an error names the field.
    pub fn parse(text: &str) -> Result<NodeSettings, String> {
        let settings: NodeSettings = toml::from_str(text).map_err(|e| e.to_string())?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        if self.internal_ports[1] < self.internal_ports[0].saturating_add(INTERNAL_PORT_COUNT - 1) {
            return Err(format!(
                "internal_ports: {INTERNAL_PORT_COUNT} ports are needed"
            ));
        }
        if self.heartbeat_ms == 0 {
            return Err("heartbeat_ms: 0 is no time between heartbeats".to_string());
        }
        if self.node_name.is_empty() {
            return Err("node_name: is empty".to_string());
        }
        Ok(())
    }

    /// Where this process listens for the tier's own messages.
    pub fn internal_address(&self, port: InternalPort) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(
            self.ip_address,
            self.internal_ports[0] + port as u16,
        ))
    }

    /// Where the controller of a seed listens for the tier's own messages: ports are the same on all machines.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        let port = self.internal_ports[0] + InternalPort::Controller as u16;
        self.seed_nodes
            .iter()
            .map(|seed| SocketAddr::V4(SocketAddrV4::new(*seed.ip(), port)))
            .collect()
    }

    /// A worker is taken for silent after so long without a heartbeat.
    pub fn heartbeat_timeout(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms * 3 + 500)
    }
}

/// How many of the internal ports are used.
const INTERNAL_PORT_COUNT: u16 = 3;

/// Which of the internal ports a program listens on, as two processes share a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InternalPort {
    /// The dispatcher.
    Dispatcher = 0,
    /// The controller.
    Controller = 1,
    /// The store.
    Store = 2,
}
