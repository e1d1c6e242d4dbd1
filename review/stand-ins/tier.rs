//! A small deployment on loopback addresses: the tier's own processes, started by the commands of the deploy file, and
//! small stand-ins of the operator, the platform and HTTP callers. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::{Mutex, OnceLock};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Whether the disruption is to be played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Opens `record.txt` in the folder that is the first argument.
pub fn open_record() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_string());
    let file = File::create(Path::new(&folder).join("record.txt")).expect("record.txt");
    RECORD.set((Instant::now(), Mutex::new(file))).ok();
}

/// Seconds since the record was opened.
pub fn now() -> f64 {
    RECORD.get().map_or(0.0, |(start, _)| start.elapsed().as_secs_f64())
}

/// Writes a line to `record.txt` and to the standard output.
pub fn note(line: impl AsRef<str>) {
    let text = format!("{:8.3} {}", now(), line.as_ref());
    println!("{text}");
    if let Some((_, file)) = RECORD.get() {
        writeln!(file.lock().unwrap(), "{text}").ok();
    }
}

/// One process of the tier on a machine of its own.
pub struct Node {
    pub name: String,
    pub kind: Kind,
    pub ip: String,
    zone: String,
    folder: PathBuf,
    child: Option<Child>,
    started: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Kind {
    Controller,
    Store,
    Dispatcher,
}

pub struct Tier {
    pub nodes: Vec<Node>,
    pub net: u8,
    pub port: u16,
    root: PathBuf,
    project: PathBuf,
    commands: BTreeMap<&'static str, Vec<String>>,
    grace_s: u32,
}

const ZONES: [&str; 3] = ["hba", "lst", "dvp"];

/// The command of a role in `deploy/system.toml`.
fn command_of(deploy: &str, serves: &str) -> Vec<String> {
    let mut run = Vec::new();
    for line in deploy.lines() {
        if let Some(value) = line.trim().strip_prefix("run = ") {
            run = value.trim_matches('"').split(' ').map(str::to_string).collect();
        }
        if line.trim().starts_with("serves") && line.contains(&format!("\"{serves}\"")) {
            return run;
        }
    }
    note(format!("no role serves {serves}"));
    exit(COULD_NOT_RUN);
}

impl Tier {
    /// Lays out a deployment; nothing runs yet. The project's folder is the current one.
    pub fn new(controllers: usize, stores: usize, dispatchers: usize) -> Tier {
        let project = std::env::current_dir().unwrap();
        let deploy = fs::read_to_string("deploy/system.toml").unwrap_or_default();
        let commands = BTreeMap::from([
            ("control", command_of(&deploy, "control")),
            ("storage", command_of(&deploy, "storage")),
            ("edge", command_of(&deploy, "edge")),
        ]);
        let pid = std::process::id();
        let root = std::env::temp_dir().join(format!("review-{pid}"));
        fs::create_dir_all(&root).unwrap();
        let (net, port) = free_network(pid);
        let mut tier = Tier { nodes: Vec::new(), net, port, root, project, commands, grace_s: 8 };
        for (kind, count) in
            [(Kind::Controller, controllers), (Kind::Store, stores), (Kind::Dispatcher, dispatchers)]
        {
            for number in 1..=count {
                tier.add(kind, number);
            }
        }
        note(format!("deployment on 127.{net}.0.0/16, ports from {port}"));
        tier
    }

    fn add(&mut self, kind: Kind, number: usize) {
        // A controller and the dispatcher of the same number share a machine, as on edge machines with a disk.
        let host = match kind {
            Kind::Store => 100 + number,
            _ => number,
        };
        let (name, folder) = match kind {
            Kind::Controller => (format!("controller-{number}"), "controller"),
            Kind::Store => (format!("store-{number}"), "store"),
            Kind::Dispatcher => (format!("dispatcher-{number}"), "dispatcher"),
        };
        self.nodes.push(Node {
            ip: format!("127.{}.{host}.1", self.net),
            zone: ZONES[(number - 1) % 3].to_string(),
            folder: self.root.join(format!("{folder}-{number}")),
            name,
            kind,
            child: None,
            started: false,
        });
    }

    pub fn index(&self, name: &str) -> usize {
        self.nodes.iter().position(|node| node.name == name).expect("a node of this name")
    }

    pub fn frontend(&self, name: &str) -> SocketAddr {
        self.address(name, 20)
    }
    pub fn readiness(&self, name: &str) -> SocketAddr {
        self.address(name, 21)
    }
    pub fn control_plane(&self, name: &str) -> SocketAddr {
        self.address(name, 22)
    }
    fn address(&self, name: &str, port: u16) -> SocketAddr {
        format!("{}:{}", self.nodes[self.index(name)].ip, self.port + port).parse().unwrap()
    }
    /// An address for a worker of the case.
    pub fn worker_address(&self, number: usize) -> SocketAddr {
        format!("127.{}.{}.1:{}", self.net, 200 + number, self.port + 30).parse().unwrap()
    }

    /// The settings, as the pages print them for a small site.
    fn settings(&self, node: &Node) -> String {
        let (net, port, ip) = (self.net, self.port, &node.ip);
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .filter(|node| node.kind == Kind::Controller)
            .take(3)
            .map(|node| format!("\"{}:{}\"", node.ip, port + 22))
            .collect();
        let (class, serves, memory, files, disk) = match node.kind {
            Kind::Controller => ("edge", "control", 260, 4100, 64),
            Kind::Dispatcher => ("edge", "edge", 260, 4100, 64),
            Kind::Store => ("storage", "storage", 310, 8200, 580),
        };
        let _ = net;
        let listen = match node.kind {
            Kind::Controller => format!("control_plane = \"{ip}:{}\"\n", port + 22),
            Kind::Dispatcher => {
                format!("frontend = \"{ip}:{}\"\nreadiness = \"{ip}:{}\"\n", port + 20, port + 21)
            }
            Kind::Store => String::new(),
        };
        let data = match node.kind {
            Kind::Dispatcher => String::new(),
            _ => format!("data_directory = \"{}\"\n", node.folder.join("data").display()),
        };
        format!(
            "node_name = \"{name}\"\nrole = \"{name}\"\nmachine_class = \"{class}\"\nserves = [\"{serves}\"]\n\
             ip_address = \"{ip}\"\nzone = \"{zone}\"\nregion = \"tas\"\ninternal_ports = [{port},{last}]\n\
             seed_nodes = [{seeds}]\nfirst_start = {first}\ncounts_toward_quorum = {counts}\n{data}\
             discovery = \"registration\"\nentry_point = \"virtual_ip\"\nheartbeat_ms = 1200\n\
             active_contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\"]\n\
             [zones]\nhba = \"tas\"\nlst = \"tas\"\ndvp = \"tas\"\n[listen_addresses]\n{listen}\
             [limits]\ncpu_share = 0.41\ncpu_cores = 1\nmemory_mb = {memory}\nmax_open_files = {files}\n\
             link_mbps = 1000.0\ndisk_mb = {disk}\n[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\naddress_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 5.1\n\
             drain_ms = 2000\ngrace_period_s = {grace}\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n\
             rollback_slack_ms = 250\nmax_stretch_ms = 5000\nrecovery_s = 12\npass_ms = 120\nagain_s = 0\n\
             finish_s = 10\nstatus_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\nquota_overage = 0.1\n",
            name = node.name,
            zone = node.zone,
            last = port + 15,
            seeds = seeds.join(","),
            first = !node.started,
            counts = node.kind != Kind::Dispatcher,
            grace = self.grace_s,
        )
    }

    /// Starts a process by the command of its role; after the first time with `first_start = false`.
    pub fn start(&mut self, name: &str) {
        let index = self.index(name);
        let text = self.settings(&self.nodes[index]);
        let key = match self.nodes[index].kind {
            Kind::Controller => "control",
            Kind::Store => "storage",
            Kind::Dispatcher => "edge",
        };
        let words = self.commands[key].clone();
        let node = &mut self.nodes[index];
        fs::create_dir_all(node.folder.join("data")).unwrap();
        let settings = node.folder.join("node.toml");
        fs::write(&settings, text).unwrap();
        let log = File::options().create(true).append(true).open(node.folder.join("log")).unwrap();
        let mut command = Command::new(self.project.join(&words[0]));
        command
            .args(&words[1..])
            .current_dir(&self.project)
            .env("MINTLB_BOOT", &settings)
            .process_group(0)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        // However this program ends, the processes that it started end with it.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        match command.spawn() {
            Ok(child) => node.child = Some(child),
            Err(error) => {
                note(format!("{name} can't be started: {error}"));
                self.end(COULD_NOT_RUN);
            }
        }
        self.nodes[index].started = true;
        note(format!("platform: started {name}"));
    }

    pub fn start_all(&mut self) {
        let names: Vec<String> = self.nodes.iter().map(|node| node.name.clone()).collect();
        names.iter().for_each(|name| self.start(name));
    }

    pub fn signal(&mut self, name: &str, signal: i32) {
        let index = self.index(name);
        if let Some(child) = &self.nodes[index].child {
            unsafe { kill(child.id() as i32, signal) };
            let text = match signal {
                SIGTERM => "SIGTERM",
                SIGKILL => "SIGKILL",
                SIGSTOP => "SIGSTOP",
                SIGCONT => "SIGCONT",
                _ => "signal",
            };
            note(format!("platform: {text} to {name}"));
        }
        if signal == SIGKILL
            && let Some(mut child) = self.nodes[index].child.take()
        {
            child.wait().ok();
        }
    }

    /// The process id of a node that runs.
    pub fn pid(&self, name: &str) -> Option<u32> {
        self.nodes[self.index(name)].child.as_ref().map(Child::id)
    }

    /// The exit of a process, if it has ended.
    pub fn has_ended(&mut self, name: &str) -> Option<String> {
        let index = self.index(name);
        let ended = self.nodes[index].child.as_mut()?.try_wait().ok()??;
        self.nodes[index].child = None;
        Some(ended.to_string())
    }

    pub fn lose_disk(&mut self, name: &str) {
        let folder = self.nodes[self.index(name)].folder.join("data");
        fs::remove_dir_all(folder).ok();
        note(format!("{name} has lost its disk"));
    }

    /// The platform's question: whether a dispatcher is ready.
    pub fn is_ready(&self, name: &str) -> bool {
        call(self.readiness(name), "GET", "/v1/readiness", "x", &[], b"", ms(500))
            .is_ok_and(|answer| answer.status == 200)
    }

    pub fn wait_until_ready(&mut self, names: &[&str], limit: Duration) {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if names.iter().all(|name| self.is_ready(name)) {
                note("platform: all dispatchers are ready");
                return;
            }
            sleep(ms(50));
        }
        note("platform: the dispatchers did not become ready");
        self.end(COULD_NOT_RUN);
    }

    /// The operator sends a configuration until it is acknowledged.
    pub fn put_configuration(&mut self, base: u64, body: &str, limit: Duration) {
        let controllers: Vec<String> = self
            .nodes
            .iter()
            .filter(|node| node.kind == Kind::Controller)
            .map(|node| node.name.clone())
            .collect();
        let end = Instant::now() + limit;
        for turn in 0.. {
            let to = self.control_plane(&controllers[turn % controllers.len()]);
            let headers = [("If-Match", base.to_string()), ("Content-Type", "application/json".into())];
            let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
            let answer = call(to, "PUT", "/v1/configuration", "control", &headers, body.as_bytes(), ms(1000));
            match answer {
                Ok(answer) if answer.status == 200 => {
                    note(format!("operator: configuration on top of {base} acknowledged"));
                    return;
                }
                Ok(answer) if answer.status < 500 => {
                    note(format!("operator: {} {}", answer.status, String::from_utf8_lossy(&answer.body)));
                    self.end(COULD_NOT_RUN);
                }
                _ if Instant::now() > end => {
                    note("operator: no acknowledgement");
                    self.end(COULD_NOT_RUN);
                }
                _ => sleep(ms(200)),
            }
        }
    }

    /// Keeps the logs' last lines in the record, ends all processes and exits.
    pub fn end(&mut self, code: i32) -> ! {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                unsafe { kill(child.id() as i32, SIGCONT) };
                child.kill().ok();
                child.wait().ok();
            }
        }
        if code != HELD || std::env::var("KEEP_LOGS").is_ok() {
            for node in &self.nodes {
                let log = fs::read_to_string(node.folder.join("log")).unwrap_or_default();
                let lines: Vec<&str> = log.lines().collect();
                for line in &lines[lines.len().saturating_sub(12)..] {
                    note(format!("log of {}: {line}", node.name));
                }
            }
        }
        if std::env::var("KEEP_LOGS").is_err() {
            fs::remove_dir_all(&self.root).ok();
        } else {
            note(format!("logs are in {}", self.root.display()));
        }
        note(match code {
            HELD => "RESULT: the rule held",
            BROKEN => "RESULT: the rule was broken",
            _ => "RESULT: the case could not run",
        });
        exit(code)
    }
}

/// A loopback network and ports that are free on it.
fn free_network(pid: u32) -> (u8, u16) {
    for attempt in 0..200 {
        let net = (30 + (pid + attempt * 7) % 200) as u8;
        let port = 20_000 + ((pid + attempt * 131) % 300) as u16 * 40;
        let hosts = (1..8).chain(100..106).chain(200..206);
        let is_free = hosts.clone().all(|host| {
            [0, 1, 2, 20, 21, 22, 30]
                .iter()
                .all(|offset| TcpListener::bind(format!("127.{net}.{host}.1:{}", port + offset)).is_ok())
        });
        if is_free {
            return (net, port);
        }
    }
    note("no free loopback network");
    exit(COULD_NOT_RUN);
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// One call on a connection of its own. The error says how it ended without a complete answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Answer, String> {
    let mut stream = TcpStream::connect_timeout(&to, limit).map_err(|e| format!("connect: {e}"))?;
    stream.set_nodelay(true).ok();
    stream.write_all(&request(method, path, host, headers, body)).map_err(|e| format!("write: {e}"))?;
    read_answer(&mut stream, Instant::now() + limit)
}

pub fn request(method: &str, path: &str, host: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if method != "GET" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Reads one answer with a length, in chunks or up to the connection's end.
pub fn read_answer(stream: &mut TcpStream, end: Instant) -> Result<Answer, String> {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    loop {
        if let Some(answer) = parse_answer(&bytes, false)? {
            return Ok(answer);
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(format!("no complete answer in time, {} bytes came", bytes.len()));
        }
        stream.set_read_timeout(Some(left)).ok();
        match stream.read(&mut buffer) {
            Ok(0) => {
                return parse_answer(&bytes, true)?
                    .ok_or_else(|| format!("closed before the answer's end, {} bytes came", bytes.len()));
            }
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
            Err(error) => return Err(format!("{error}, {} bytes came", bytes.len())),
        }
    }
}

/// An answer out of the bytes that came; `None` while it is not complete.
pub fn parse_answer(bytes: &[u8], closed: bool) -> Result<Option<Answer>, String> {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return Ok(None);
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_string();
    let mut lines = head.split("\r\n");
    let status: u16 = lines
        .next()
        .and_then(|line| line.split(' ').nth(1)?.parse().ok())
        .ok_or("no status line")?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
        .collect();
    let mut answer = Answer { status, headers, body: Vec::new() };
    let rest = &bytes[end + 4..];
    if let Some(length) = answer.header("content-length").and_then(|l| l.parse::<usize>().ok()) {
        if rest.len() < length {
            return Ok(None);
        }
        answer.body = rest[..length].to_vec();
        return Ok(Some(answer));
    }
    if answer.header("transfer-encoding").is_some() {
        let mut at = 0;
        loop {
            let Some(line) = rest[at..].windows(2).position(|window| window == b"\r\n") else {
                return Ok(None);
            };
            let size = String::from_utf8_lossy(&rest[at..at + line]).to_string();
            let size = usize::from_str_radix(size.trim(), 16).map_err(|e| e.to_string())?;
            at += line + 2;
            if rest.len() < at + size + 2 {
                return Ok(None);
            }
            answer.body.extend_from_slice(&rest[at..at + size]);
            at += size + 2;
            if size == 0 {
                return Ok(Some(answer));
            }
        }
    }
    answer.body = rest.to_vec();
    Ok(closed.then_some(answer))
}

/// A request as a worker reads it.
#[derive(Debug, Clone)]
pub struct WorkerRequest {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl WorkerRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
    pub fn id(&self) -> String {
        self.header("mintlb-request-id").unwrap_or_default().to_string()
    }
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<WorkerRequest> {
    let mut buffer = vec![0; 64 << 10];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_string();
            let mut lines = head.split("\r\n");
            let mut words = lines.next()?.split(' ');
            let (method, path) = (words.next()?.to_string(), words.next()?.to_string());
            let headers: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
                .collect();
            let mut request = WorkerRequest { method, path, headers, body: Vec::new() };
            let length: usize = request.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                request.body = bytes[end + 4..end + 4 + length].to_vec();
                bytes.drain(..end + 4 + length);
                return Some(request);
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
        }
    }
}

/// Heartbeats of workers (number, service, slots), about every `heartbeat_ms`. The next controller is called where one does not
/// acknowledge; `call_sequence` rises with each call.
pub fn start_heartbeats(controllers: Vec<SocketAddr>, workers: Vec<(usize, SocketAddr, &'static str, u32)>) {
    std::thread::spawn(move || {
        let mut sequence = 0;
        loop {
            let start = Instant::now();
            for (number, address, service, slots) in &workers {
                for to in &controllers {
                    sequence += 1;
                    let body = heartbeat(service, *address, "in_service", *slots, sequence);
                    let headers = [("Content-Type", "application/json")];
                    let path = format!("/v1/instances/i-{number}");
                    let answer = call(*to, "PUT", &path, "control", &headers, body.as_bytes(), ms(1000));
                    if answer.is_ok_and(|answer| answer.status == 200) {
                        break;
                    }
                }
            }
            sleep(ms(1200).saturating_sub(start.elapsed()));
        }
    });
}

/// Answers what a worker does not run: its health check, and a request that names another worker. Whether it was such a one.
pub fn answers_without_run(stream: &mut TcpStream, request: &WorkerRequest, number: usize) -> bool {
    let own = format!("i-{number}");
    if request.method == "GET" {
        let answer = format!("HTTP/1.1 200 OK\r\nMintlb-Instance-Id: {own}\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(answer.as_bytes()).ok();
        return true;
    }
    if request.header("mintlb-target-instance").is_some_and(|target| target != own) {
        let answer = format!(
            "HTTP/1.1 421 Misdirected Request\r\nMintlb-Request-Id: {}\r\nMintlb-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            request.id()
        );
        stream.write_all(answer.as_bytes()).ok();
        return true;
    }
    false
}

/// The body of a worker's heartbeat.
pub fn heartbeat(service: &str, address: SocketAddr, state: &str, slots: u32, sequence: u64) -> String {
    format!(
        "{{\"target_service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"hba\",\"config_version\":\"v1\",\
         \"capacity_slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"call_sequence\":{sequence}}}"
    )
}
