//! A machine with one process of the tier, under the platform's signals.

use super::network::Network;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// The test program starts itself with this test to be a dispatcher, see
/// [`run_as_dispatcher_if_asked`].
pub const DISPATCHER_TEST: &str = "process_of_a_dispatcher";
const SETTINGS_VARIABLE: &str = "MINTLB_BOOT";
const GRACE_PERIOD: Duration = Duration::from_secs(4);
/// A process that was asked to end has ended this long after its grace period, also on a busy
/// machine.
const END_SLACK: Duration = Duration::from_secs(15);

/// What the process of a machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Controller,
    Store,
    Dispatcher,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Role::Controller => "controller",
            Role::Store => "store",
            Role::Dispatcher => "dispatcher",
        }
    }

    fn serves(self) -> &'static str {
        match self {
            Role::Controller => "control",
            Role::Store => "storage",
            Role::Dispatcher => "edge",
        }
    }

    /// Only machines with a disk count towards quorums.
    fn has_disk(self) -> bool {
        self != Role::Dispatcher
    }

    fn command(self) -> Command {
        if self == Role::Dispatcher {
            let mut command = Command::new(std::env::current_exe().unwrap());
            command.args([DISPATCHER_TEST, "--exact", "--nocapture"]);
            return command;
        }
        let mut command = Command::new(env!("CARGO_BIN_EXE_mintlb-control"));
        command.arg(self.name());
        command
    }
}

/// Runs as a dispatcher until SIGTERM if this process was started as one, with the settings that
/// the environment names.
pub fn run_as_dispatcher_if_asked() {
    let Some(path) = std::env::var_os(SETTINGS_VARIABLE) else {
        return;
    };
    let text = std::fs::read_to_string(path).unwrap();
    let settings = mintlb_common::settings::NodeSettings::parse(&text).unwrap();
    let _log = mintlb_common::logging::start("info").unwrap();
    mintlb_dispatcher::run(settings).unwrap();
}

/// A machine with one process.
pub struct Machine {
    pub role: Role,
    pub number: usize,
    network: Network,
    directory: PathBuf,
    process: Option<Child>,
    started_before: bool,
    frozen: bool,
    /// When it was asked to end.
    terminated_at: Option<Instant>,
}

impl Machine {
    pub fn new(role: Role, number: usize, network: Network, root: &Path) -> Machine {
        Machine {
            role,
            number,
            network,
            directory: root.join(format!("machine-{number}")),
            process: None,
            started_before: false,
            frozen: false,
            terminated_at: None,
        }
    }

    /// Whether its process runs and was not asked to end.
    pub fn is_up(&self) -> bool {
        self.process.is_some() && !self.frozen && self.terminated_at.is_none()
    }

    pub fn start(&mut self) {
        std::fs::create_dir_all(self.data()).unwrap();
        let settings = self.directory.join("node.toml");
        std::fs::write(&settings, self.settings()).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path())
            .unwrap();
        let mut command = self.role.command();
        // In a group of its own: the system hangs up on a whole group that loses its shell while one
        // of its processes is stopped, and here processes are stopped.
        command
            .process_group(0)
            .env(SETTINGS_VARIABLE, &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        self.process = Some(command.spawn().unwrap());
        self.started_before = true;
        self.frozen = false;
        self.terminated_at = None;
    }

    /// Ends it without a warning, as a loss of power does.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().unwrap();
            process.wait().unwrap();
        }
        self.frozen = false;
    }

    /// Ends it without a warning and empties its disk.
    pub fn lose_disk(&mut self) {
        self.kill();
        std::fs::remove_dir_all(self.data()).unwrap();
    }

    /// Asks it to end; whether it has is told by [`Machine::has_ended`].
    pub fn terminate(&mut self) {
        self.signal(Signal::SIGTERM);
        self.terminated_at = Some(Instant::now());
    }

    pub fn freeze(&mut self) {
        self.signal(Signal::SIGSTOP);
        self.frozen = true;
    }

    pub fn thaw(&mut self) {
        self.signal(Signal::SIGCONT);
        self.frozen = false;
    }

    /// Tells it that its settings have changed.
    pub fn hang_up(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Whether the process has ended after a SIGTERM; it must do so in time, without an error.
    pub fn has_ended(&mut self) -> bool {
        let Some(process) = &mut self.process else {
            return true;
        };
        let Some(status) = process.try_wait().unwrap() else {
            let waiting = self.terminated_at.map(|at| at.elapsed());
            let limit = GRACE_PERIOD + END_SLACK;
            assert!(
                waiting.is_none_or(|waiting| waiting < limit),
                "{self} goes on {waiting:?} after SIGTERM"
            );
            return false;
        };
        assert!(status.success(), "{self}: {status}\n{}", self.end_of_log());
        self.process = None;
        true
    }

    /// How the process has ended, if it has by itself.
    pub fn end_by_itself(&mut self) -> Option<ExitStatus> {
        let status = self.process.as_mut()?.try_wait().unwrap()?;
        self.terminated_at.is_none().then_some(status)
    }

    /// All that its processes have logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.log_path()).unwrap_or_default()
    }

    /// The last lines of its log.
    pub fn end_of_log(&self) -> String {
        const LINES: usize = 30;
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(LINES)..].join("\n")
    }

    fn data(&self) -> PathBuf {
        self.directory.join("data")
    }

    fn log_path(&self) -> PathBuf {
        self.directory.join("log")
    }

    fn signal(&self, signal: Signal) {
        let process = self.process.as_ref().expect("the machine has a process");
        kill(Pid::from_raw(process.id() as i32), signal).unwrap();
    }

    fn settings(&self) -> String {
        let (role, number) = (self.role.name(), self.number);
        let disk = match self.role.has_disk() {
            true => format!("data_directory = \"{}\"\n", self.data().display()),
            false => String::new(),
        };
        format!(
            r#"node_name = "{role}-{number}"
role = "{role}"
machine_class = "{serves}"
serves = ["{serves}"]
ip_address = "{address}"
zone = "z{zone}"
region = "r"
internal_ports = [{internal_ports}]
seed_nodes = [{seeds}]
first_start = {first_start}
counts_toward_quorum = {has_disk}
heartbeat_ms = 1200
{disk}[zones]
z0 = "r"
z1 = "r"
z2 = "r"
[listen_addresses]
{listen_addresses}
[limits]
cpu_share = 0.5
memory_mb = 300
max_open_files = 8200
disk_mb = 100
[fault_tolerance]
machines = 1
[bounds]
grace_period_s = {grace_period_s}
"#,
            serves = self.role.serves(),
            address = self.network.address(number),
            zone = number % 3,
            internal_ports = self.network.internal_ports(),
            seeds = self.network.seed_nodes(),
            first_start = !self.started_before,
            has_disk = self.role.has_disk(),
            listen_addresses = self.network.listen_addresses(number),
            grace_period_s = GRACE_PERIOD.as_secs_f64(),
        )
    }
}

impl std::fmt::Display for Machine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.role.name(), self.number)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
