//! The processes of the program: their files, their signals, their ends. Only those that were started here are touched,
//! and none outlives the rig.

use crate::scenario::{Division, Limits, Scenario};
use crate::seen::{Book, Stretch};
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

/// The addresses of one rig: a loopback network of its own, so that several can play at once.
pub struct Net {
    a: u8,
    b: u8,
    _held: UdpSocket,
}

const GUARD: u16 = 6999;

impl Net {
    /// One that no other rig holds.
    pub fn take() -> Result<Net, String> {
        // Two plays of one rig, too: what the one before had may not be free yet.
        static PLAYS: AtomicU32 = AtomicU32::new(0);
        let first = std::process::id().wrapping_add(PLAYS.fetch_add(1, Relaxed));
        for i in 0..1 << 13 {
            let number = first.wrapping_add(i) % (1 << 13);
            let (a, b) = (64 + (number >> 8) as u8, number as u8);
            if let Ok(held) = UdpSocket::bind((Ipv4Addr::new(127, a, b, 1), GUARD)) {
                return Ok(Net { a, b, _held: held });
            }
        }
        Err("no loopback network is free".into())
    }

    fn at(&self, host: usize, port: usize) -> SocketAddr {
        (Ipv4Addr::new(127, self.a, self.b, host as u8), port as u16).into()
    }

    /// Where a process takes clients, is called by operators and binds for its words.
    pub fn process(&self, process: usize) -> SocketAddr {
        self.at(10 + process, 7000)
    }
    pub fn ops(&self, process: usize) -> SocketAddr {
        self.at(10 + process, 7001)
    }
    pub fn words(&self, process: usize) -> SocketAddr {
        self.at(10 + process, 7002)
    }
    /// Where a process finds another, and from where that one's words come to it.
    pub fn relay(&self, from: usize, to: usize) -> SocketAddr {
        self.at(50 + from, 20_000 + to)
    }
    /// Where it finds the list service, and a worker.
    pub fn list(&self, process: usize) -> SocketAddr {
        self.at(2, 8000 + process)
    }
    pub fn worker(&self, worker: usize, process: usize) -> SocketAddr {
        self.at(100 + worker, 9000 + process)
    }
}

pub struct Processes<'a> {
    scenario: &'a Scenario,
    seed: u64,
    program: PathBuf,
    folder: PathBuf,
    net: &'a Net,
    book: Book,
    children: Vec<Option<Child>>,
    starts: Vec<u64>,
    /// The wholes of its file, by process and budget.
    wholes: Vec<Vec<(f64, f64)>>,
    /// It was told to end.
    ending: Vec<bool>,
    /// It ended though nobody told it to.
    pub crashed: usize,
}

/// How long one may take until it serves, and after SIGTERM until it is gone.
const READY: Duration = Duration::from_secs(20);
const END: Duration = Duration::from_secs(8);

pub fn name(process: usize) -> String {
    format!("n{process}")
}

impl<'a> Processes<'a> {
    pub fn new(
        scenario: &'a Scenario,
        seed: u64,
        program: &Path,
        folder: &Path,
        net: &'a Net,
        book: Book,
    ) -> Processes<'a> {
        let (program, folder) = (program.to_path_buf(), folder.to_path_buf());
        let children = (0..scenario.processes).map(|_| None).collect();
        let whole = scenario.budgets.iter().map(|b| (b.rate, b.burst)).collect();
        let wholes = vec![whole; scenario.processes];
        let (starts, ending) = (vec![0; scenario.processes], vec![false; scenario.processes]);
        Processes {
            scenario,
            seed,
            program,
            folder,
            net,
            book,
            children,
            starts,
            wholes,
            ending,
            crashed: 0,
        }
    }

    fn configuration(&self, process: usize) -> String {
        let ms = |seconds: f64| seconds * 1e3;
        let s = self.scenario;
        let types = s.types.iter().map(|t| {
            let effect = match t.effect {
                crate::scenario::Effect::Rerunnable => "read_like",
                crate::scenario::Effect::Receipted => "idempotency_key",
                crate::scenario::Effect::Exclusive => "non_idempotent",
            };
            let mut of = json!({"name": t.name, "credit": t.credit, "effect": effect, "late_credit": 0.0,
                "promised_turnaround": ms(t.promised_turnaround), "hard_limit": ms(t.hard_limit)});
            if t.effect == crate::scenario::Effect::Receipted {
                of["group"] = json!("zone");
                of["window"] = json!(ms(t.window));
            }
            of
        });
        let types: Vec<serde_json::Value> = types.collect();
        let r = &s.rules;
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)
            ^ (self.starts[process] << 8 | process as u64);
        let zones: Vec<&str> = s.zones.iter().map(|z| z.name.as_str()).collect();
        json!({
            "name": name(process), "listen": self.net.process(process), "discovery": self.net.list(process),
            "ops": self.net.ops(process), "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": {
                "balancers": s.processes, "discovery": "on_request",
                "family_info": {"class_kind": vec![-1; types.len()], "class_stretch": vec![1.0; types.len()],
                    "tells_start": true},
                "machine_types": ["m"],
                "permissions": {"dial_timeout": 250.0, "keepalive": 5000.0, "max_open": 20000,
                    "max_retry_after": 2000.0, "may_cancel": true, "most_allocations": 3,
                    "parallel_tries": true, "retry_after": true},
                "project_types": types, "quantum": 2.0,
                "rules": {"answer_slack": 8.0, "ask_within": 400.0, "cold_from": r.cold_from,
                    "drain_grace": ms(r.drain_grace), "fall": ms(r.fall), "fall_multiple": r.fall_multiple,
                    "warm_after": ms(r.warm_after)},
                "stats": {"fields": [], "how": "none"},
                "zone": process % zones.len(), "zones": zones,
            }
        })
        .to_string()
    }

    fn operator(&self, process: usize) -> String {
        let s = self.scenario;
        let mut fleet = s.fleet.more.clone();
        let told = |other: &usize| s.fleet.division != Division::Alone || *other == process;
        let members = (0..s.processes).filter(told);
        let at = |other| match other == process {
            true => self.net.words(process),
            false => self.net.relay(process, other),
        };
        let members = members.map(|p| (name(p), toml::Value::from(at(p).to_string())));
        fleet.insert("members".into(), toml::Value::Table(members.collect()));
        fleet.insert(
            "division".into(),
            if s.fleet.division == Division::Leases {
                "leases"
            } else {
                "equal"
            }
            .into(),
        );
        if s.fleet.division == Division::Leases {
            let keepers = (0..s.fleet.keepers.min(s.processes)).map(|p| toml::Value::from(name(p)));
            fleet.insert("keepers".into(), toml::Value::Array(keepers.collect()));
        }
        let budgets = s
            .budgets
            .iter()
            .zip(&self.wholes[process])
            .map(|(b, (rate, burst))| {
                let mut table = toml::Table::new();
                table.insert("name".into(), b.name.clone().into());
                table.insert("limits".into(), Limits::word(b.limits).into());
                table.insert("rate".into(), (*rate).into());
                table.insert("burst".into(), (*burst).into());
                toml::Value::Table(table)
            });
        fleet.insert("budgets".into(), toml::Value::Array(budgets.collect()));
        let mut file = toml::Table::new();
        file.insert("fleet".into(), toml::Value::Table(fleet));
        file.to_string()
    }

    /// Starts one, unless it lives.
    pub fn start(&mut self, process: usize) -> Result<(), String> {
        if self.children[process].is_some() {
            return Ok(());
        }
        let file = |suffix: &str| self.folder.join(format!("{}{suffix}", name(process)));
        let no = |path: &Path, e: std::io::Error| format!("{}: {e}", path.display());
        let (config, operator, log) = (file(".json"), file(".toml"), file(".log"));
        std::fs::write(&config, self.configuration(process)).map_err(|e| no(&config, e))?;
        std::fs::write(&operator, self.operator(process)).map_err(|e| no(&operator, e))?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(|e| no(&log, e))?;
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
        // SAFETY: between fork and exec this makes one system call, and touches no memory of ours.
        unsafe {
            // Killed outright, the rig still leaves none behind.
            command.pre_exec(|| Ok(set_pdeathsig(Signal::SIGKILL)?));
        }
        let child = command.spawn().map_err(|e| no(&self.program, e))?;
        self.starts[process] += 1;
        self.ending[process] = false;
        self.children[process] = Some(child);
        self.book.mark(format!("{} starts", name(process)));
        self.note_ready(process);
        Ok(())
    }

    /// Gives its file another whole and has it read that.
    pub fn retune(
        &mut self,
        process: usize,
        budget: &str,
        rate: f64,
        burst: f64,
    ) -> Result<(), String> {
        let Some(at) = self.scenario.budgets.iter().position(|b| b.name == budget) else {
            return Ok(());
        };
        self.wholes[process][at] = (rate, burst);
        let now = self.book.now();
        self.book
            .seen()
            .wholes
            .push((now, process, at, rate, burst));
        let path = self.folder.join(format!("{}.toml", name(process)));
        let fresh = path.with_extension("new");
        let no = |e: std::io::Error| format!("{}: {e}", path.display());
        std::fs::write(&fresh, self.operator(process)).map_err(no)?;
        std::fs::rename(&fresh, &path).map_err(no)?;
        if let Some(child) = &self.children[process] {
            kill(Pid::from_raw(child.id() as i32), Signal::SIGHUP).ok();
        }
        Ok(())
    }

    /// Once it serves, that is known.
    fn note_ready(&self, process: usize) {
        let (at, book) = (self.net.process(process), self.book.clone());
        std::thread::spawn(move || {
            let began = Instant::now();
            while began.elapsed() < READY {
                if is_ready(at) {
                    let from = book.now();
                    book.seen().stretches.push(Stretch {
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

    /// Waits until all that were started serve.
    pub fn ready(&mut self) -> Result<(), String> {
        let began = Instant::now();
        loop {
            self.look();
            let live: Vec<usize> = (0..self.children.len())
                .filter(|p| self.children[*p].is_some())
                .collect();
            if self.crashed > 0 {
                return Err(format!(
                    "a process ended as it started: its log is in {}",
                    self.folder.display()
                ));
            }
            let seen = self.book.seen();
            if live.iter().all(|p| {
                seen.stretches
                    .iter()
                    .any(|s| s.process == *p && s.to.is_none())
            }) {
                return Ok(());
            }
            drop(seen);
            if began.elapsed() > READY {
                return Err(format!(
                    "they do not serve: their logs are in {}",
                    self.folder.display()
                ));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// From now on nothing is asked of it.
    fn ends_stretch(&self, process: usize) {
        let now = self.book.now();
        let mut seen = self.book.seen();
        let open = seen
            .stretches
            .iter_mut()
            .filter(|s| s.process == process && s.to.is_none());
        open.for_each(|s| s.to = Some(now));
    }

    pub fn signal(&mut self, process: usize, signal: Signal) {
        if signal != Signal::SIGCONT {
            self.ends_stretch(process);
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
            Signal::SIGCONT if !self.ending[process] => self.note_ready(process),
            _ => {}
        }
    }

    /// Whether one has ended by itself.
    pub fn look(&mut self) {
        for process in 0..self.children.len() {
            let ended = self.children[process]
                .as_mut()
                .and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = ended {
                self.children[process] = None;
                self.book.mark(format!("{} ended: {status}", name(process)));
                self.crashed += usize::from(!(self.ending[process] && status.success()));
                self.ends_stretch(process);
            }
        }
    }

    /// Ends all: how many would not go.
    pub fn end(&mut self) -> usize {
        for process in 0..self.children.len() {
            self.signal(process, Signal::SIGTERM);
            // One that is stopped hears of it only when it goes on.
            self.signal(process, Signal::SIGCONT);
        }
        let began = Instant::now();
        while self.children.iter().any(Option::is_some) && began.elapsed() < END {
            self.look();
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

/// However the rig ends, they end with it.
impl Drop for Processes<'_> {
    fn drop(&mut self) {
        self.kill_all();
    }
}

fn is_ready(at: SocketAddr) -> bool {
    let asked = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&at, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: rig\r\nconnection: close\r\n\r\n")?;
        let mut answer = [0; 64];
        let n = stream.read(&mut answer)?;
        Ok(answer[..n].starts_with(b"HTTP/1.1 200"))
    };
    asked().unwrap_or(false)
}
