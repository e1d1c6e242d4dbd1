//! The mintlb processes under test: configuration files, signals and exits. Only processes that were started here are
//! signalled, and none outlives the test bed.

use crate::observations::{Recorder, ServingInterval};
use crate::scenario::{BudgetScope, BudgetSharing, Scenario};
use nix::sys::prctl::set_pdeathsig;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// The addresses of one run: the loopback network 127.A.B.0/24, reserved for it so that several runs can take place at
/// once.
pub struct LoopbackNetwork {
    a: u8,
    b: u8,
    _reservation: UdpSocket,
}

/// The network is reserved for as long as this port is bound on its first address.
const RESERVATION_PORT: u16 = 6999;

impl LoopbackNetwork {
    /// Reserves a network that no other run uses.
    pub fn acquire() -> Result<LoopbackNetwork, String> {
        // Each run of this program tries another network first, as the previous one may not be released yet.
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let first = std::process::id().wrapping_add(RUNS.fetch_add(1, Relaxed));
        for i in 0..1 << 13 {
            let number = first.wrapping_add(i) % (1 << 13);
            let (a, b) = (64 + (number >> 8) as u8, number as u8);
            if let Ok(reservation) =
                UdpSocket::bind((Ipv4Addr::new(127, a, b, 1), RESERVATION_PORT))
            {
                return Ok(LoopbackNetwork {
                    a,
                    b,
                    _reservation: reservation,
                });
            }
        }
        Err("all loopback networks are in use".into())
    }

    fn address(&self, host: usize, port: usize) -> SocketAddr {
        (Ipv4Addr::new(127, self.a, self.b, host as u8), port as u16).into()
    }

    /// Where a process accepts clients.
    pub fn client_address(&self, process: usize) -> SocketAddr {
        self.address(10 + process, 7000)
    }
    /// Where a process reports its metrics.
    pub fn ops_address(&self, process: usize) -> SocketAddr {
        self.address(10 + process, 7001)
    }
    /// Where a process binds its UDP socket.
    pub fn datagram_address(&self, process: usize) -> SocketAddr {
        self.address(10 + process, 7002)
    }
    /// The address by which process `from` knows process `to`: it sends datagrams there and receives them from there.
    pub fn relay_address(&self, from: usize, to: usize) -> SocketAddr {
        self.address(50 + from, 20_000 + to)
    }
    /// Where a process reaches the list service.
    pub fn list_service_address(&self, process: usize) -> SocketAddr {
        self.address(2, 8000 + process)
    }
    /// Where a process reaches a worker.
    pub fn worker_address(&self, worker: usize, process: usize) -> SocketAddr {
        self.address(100 + worker, 9000 + process)
    }
}

pub struct Processes<'a> {
    scenario: &'a Scenario,
    seed: u64,
    program: PathBuf,
    directory: PathBuf,
    network: &'a LoopbackNetwork,
    recorder: Recorder,
    children: Vec<Option<Child>>,
    start_counts: Vec<u64>,
    /// Rate and burst in the configuration files, by process and budget.
    budget_limits: Vec<Vec<(f64, f64)>>,
    /// Processes that were sent SIGTERM or SIGKILL.
    ending: Vec<bool>,
    /// Processes that exited without being told to, or with a failure status.
    pub crashed: usize,
}

/// Maximum time from the start of a process until it serves.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time from SIGTERM until a process exits; it is killed then.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(8);

pub fn process_name(process: usize) -> String {
    format!("n{process}")
}

impl<'a> Processes<'a> {
    pub fn new(
        scenario: &'a Scenario,
        seed: u64,
        program: &Path,
        directory: &Path,
        network: &'a LoopbackNetwork,
        recorder: Recorder,
    ) -> Processes<'a> {
        let (program, directory) = (program.to_path_buf(), directory.to_path_buf());
        let children = (0..scenario.processes).map(|_| None).collect();
        let initial_limits = scenario.budgets.iter().map(|b| (b.rate, b.burst)).collect();
        let budget_limits = vec![initial_limits; scenario.processes];
        let (start_counts, ending) = (vec![0; scenario.processes], vec![false; scenario.processes]);
        Processes {
            scenario,
            seed,
            program,
            directory,
            network,
            recorder,
            children,
            start_counts,
            budget_limits,
            ending,
            crashed: 0,
        }
    }

    /// The JSON configuration file of a process.
    fn configuration(&self, process: usize) -> String {
        let ms = |seconds: f64| seconds * 1e3;
        let scenario = self.scenario;
        let types = scenario.project_types.iter().map(|t| {
            let idempotency = match t.idempotency {
                crate::scenario::Idempotency::Idempotent => "read_like",
                crate::scenario::Idempotency::Deduplicated => "idempotency_key",
                crate::scenario::Idempotency::NonIdempotent => "non_idempotent",
            };
            let mut entry = json!({"name": t.name, "credit": t.credit, "effect": idempotency, "late_credit": 0.0,
                "promised_turnaround": ms(t.promised_turnaround), "hard_limit": ms(t.hard_limit)});
            if t.idempotency == crate::scenario::Idempotency::Deduplicated {
                entry["group"] = json!("zone");
                entry["window"] = json!(ms(t.dedup_window));
            }
            entry
        });
        let types: Vec<serde_json::Value> = types.collect();
        let rules = &scenario.rules;
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)
            ^ (self.start_counts[process] << 8 | process as u64);
        let zones: Vec<&str> = scenario.zones.iter().map(|z| z.name.as_str()).collect();
        json!({
            "name": process_name(process), "listen": self.network.client_address(process), "discovery": self.network.list_service_address(process),
            "ops": self.network.ops_address(process), "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": {
                "balancers": scenario.processes, "discovery": "on_request",
                "family_info": {"class_kind": vec![-1; types.len()], "class_stretch": vec![1.0; types.len()],
                    "tells_start": true},
                "machine_types": ["m"],
                "permissions": {"dial_timeout": 250.0, "keepalive": 5000.0, "max_open": 20000,
                    "max_retry_after": 2000.0, "may_cancel": true, "most_allocations": 3,
                    "parallel_tries": true, "retry_after": true},
                "project_types": types, "quantum": 2.0,
                "rules": {"answer_slack": 8.0, "ask_within": 400.0, "cold_from": rules.initial_share,
                    "drain_grace": ms(rules.drain_grace), "fall": ms(rules.overload_window), "fall_multiple": rules.overload_multiple,
                    "warm_after": ms(rules.slow_start)},
                "stats": {"fields": [], "how": "none"},
                "zone": process % zones.len(), "zones": zones,
            }
        })
        .to_string()
    }

    /// The operators' file (TOML) of a process.
    fn operator_file(&self, process: usize) -> String {
        let scenario = self.scenario;
        let mut fleet = scenario.fleet.extra.clone();
        let is_known =
            |other: &usize| scenario.fleet.sharing != BudgetSharing::Alone || *other == process;
        let members = (0..scenario.processes).filter(is_known);
        let address = |other| match other == process {
            true => self.network.datagram_address(process),
            false => self.network.relay_address(process, other),
        };
        let members = members.map(|p| (process_name(p), toml::Value::from(address(p).to_string())));
        fleet.insert("members".into(), toml::Value::Table(members.collect()));
        fleet.insert(
            "division".into(),
            if scenario.fleet.sharing == BudgetSharing::Leases {
                "leases"
            } else {
                "equal"
            }
            .into(),
        );
        if scenario.fleet.sharing == BudgetSharing::Leases {
            let voters = (0..scenario.fleet.voters.min(scenario.processes))
                .map(|p| toml::Value::from(process_name(p)));
            fleet.insert("keepers".into(), toml::Value::Array(voters.collect()));
        }
        let budgets = scenario
            .budgets
            .iter()
            .zip(&self.budget_limits[process])
            .map(|(b, (rate, burst))| {
                let mut table = toml::Table::new();
                table.insert("name".into(), b.name.clone().into());
                table.insert("limits".into(), BudgetScope::as_str(b.scope).into());
                table.insert("rate".into(), (*rate).into());
                table.insert("burst".into(), (*burst).into());
                toml::Value::Table(table)
            });
        fleet.insert("budgets".into(), toml::Value::Array(budgets.collect()));
        let mut file = toml::Table::new();
        file.insert("fleet".into(), toml::Value::Table(fleet));
        file.to_string()
    }

    /// Starts a process unless it is running.
    pub fn start(&mut self, process: usize) -> Result<(), String> {
        if self.children[process].is_some() {
            return Ok(());
        }
        let file = |suffix: &str| {
            self.directory
                .join(format!("{}{suffix}", process_name(process)))
        };
        let file_error = |path: &Path, e: std::io::Error| format!("{}: {e}", path.display());
        let (config, operator, log) = (file(".json"), file(".toml"), file(".log"));
        std::fs::write(&config, self.configuration(process)).map_err(|e| file_error(&config, e))?;
        std::fs::write(&operator, self.operator_file(process))
            .map_err(|e| file_error(&operator, e))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(|e| file_error(&log, e))?;
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--config").arg(&config);
        if !self.scenario.budgets.is_empty() {
            command.arg("--operator").arg(&operator);
        }
        command
            .env_clear()
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        // SAFETY: the closure runs between fork and exec, makes one system call and accesses no memory of this process.
        unsafe {
            // The process must not survive this program even if this program is killed with SIGKILL.
            command.pre_exec(|| Ok(set_pdeathsig(Signal::SIGKILL)?));
        }
        let child = command.spawn().map_err(|e| file_error(&self.program, e))?;
        self.start_counts[process] += 1;
        self.ending[process] = false;
        self.children[process] = Some(child);
        self.recorder
            .record_event(format!("{} started", process_name(process)));
        self.record_readiness(process);
        Ok(())
    }

    /// Changes a budget in the operators' file of a process, and has the process reload the file.
    pub fn set_budget(
        &mut self,
        process: usize,
        budget: &str,
        rate: f64,
        burst: f64,
    ) -> Result<(), String> {
        let Some(index) = self.scenario.budgets.iter().position(|b| b.name == budget) else {
            return Ok(());
        };
        self.budget_limits[process][index] = (rate, burst);
        let now = self.recorder.now();
        self.recorder
            .observations()
            .budget_changes
            .push((now, process, index, rate, burst));
        let path = self
            .directory
            .join(format!("{}.toml", process_name(process)));
        let temporary = path.with_extension("new");
        let file_error = |e: std::io::Error| format!("{}: {e}", path.display());
        std::fs::write(&temporary, self.operator_file(process)).map_err(file_error)?;
        std::fs::rename(&temporary, &path).map_err(file_error)?;
        if let Some(child) = &self.children[process] {
            kill(Pid::from_raw(child.id() as i32), Signal::SIGHUP).ok();
        }
        Ok(())
    }

    /// Records in the background when a process becomes ready.
    fn record_readiness(&self, process: usize) {
        let (address, recorder) = (self.network.client_address(process), self.recorder.clone());
        std::thread::spawn(move || {
            let start = Instant::now();
            while start.elapsed() < READY_TIMEOUT {
                if is_ready(address) {
                    let from = recorder.now();
                    recorder
                        .observations()
                        .serving_intervals
                        .push(ServingInterval {
                            process,
                            from,
                            to: None,
                        });
                    return;
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        });
    }

    /// Waits until all started processes are ready.
    pub fn wait_until_ready(&mut self) -> Result<(), String> {
        let start = Instant::now();
        loop {
            self.reap_exited();
            let running: Vec<usize> = (0..self.children.len())
                .filter(|p| self.children[*p].is_some())
                .collect();
            if self.crashed > 0 {
                return Err(format!(
                    "a process exited during start-up; its log is in {}",
                    self.directory.display()
                ));
            }
            let observations = self.recorder.observations();
            if running.iter().all(|p| {
                observations
                    .serving_intervals
                    .iter()
                    .any(|interval| interval.process == *p && interval.to.is_none())
            }) {
                return Ok(());
            }
            drop(observations);
            if start.elapsed() > READY_TIMEOUT {
                return Err(format!(
                    "processes were not ready within 20 s; their logs are in {}",
                    self.directory.display()
                ));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Records that a process can no longer serve.
    fn end_serving_interval(&self, process: usize) {
        let now = self.recorder.now();
        let mut observations = self.recorder.observations();
        let open = observations
            .serving_intervals
            .iter_mut()
            .filter(|interval| interval.process == process && interval.to.is_none());
        open.for_each(|interval| interval.to = Some(now));
    }

    pub fn signal(&mut self, process: usize, signal: Signal) {
        if signal != Signal::SIGCONT {
            self.end_serving_interval(process);
        }
        let Some(child) = &mut self.children[process] else {
            return;
        };
        self.ending[process] |= matches!(signal, Signal::SIGTERM | Signal::SIGKILL);
        kill(Pid::from_raw(child.id() as i32), signal).ok();
        match signal {
            Signal::SIGKILL => {
                child.wait().ok();
                self.children[process] = None;
            }
            Signal::SIGCONT if !self.ending[process] => self.record_readiness(process),
            _ => {}
        }
    }

    /// Collects processes that have exited.
    pub fn reap_exited(&mut self) {
        for process in 0..self.children.len() {
            let exit_status = self.children[process]
                .as_mut()
                .and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = exit_status {
                self.children[process] = None;
                self.recorder
                    .record_event(format!("{} exited: {status}", process_name(process)));
                self.crashed += usize::from(!(self.ending[process] && status.success()));
                self.end_serving_interval(process);
            }
        }
    }

    /// Shuts all processes down; returns how many could not be ended.
    pub fn shut_down(&mut self) -> usize {
        for process in 0..self.children.len() {
            self.signal(process, Signal::SIGTERM);
            // A stopped process handles SIGTERM only after SIGCONT.
            self.signal(process, Signal::SIGCONT);
        }
        let start = Instant::now();
        while self.children.iter().any(Option::is_some) && start.elapsed() < SHUTDOWN_TIMEOUT {
            self.reap_exited();
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill_all()
    }

    fn kill_all(&mut self) -> usize {
        let mut left = 0;
        for child in self
            .children
            .iter_mut()
            .filter_map(Option::take)
            .collect::<Vec<_>>()
            .iter_mut()
        {
            child.kill().ok();
            left += usize::from(child.wait().is_err());
        }
        left
    }
}

/// No process survives an early return or a panic.
impl Drop for Processes<'_> {
    fn drop(&mut self) {
        self.kill_all();
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let probe = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: rig\r\nconnection: close\r\n\r\n")?;
        let mut response = [0; 64];
        let n = stream.read(&mut response)?;
        Ok(response[..n].starts_with(b"HTTP/1.1 200"))
    };
    probe().unwrap_or(false)
}
