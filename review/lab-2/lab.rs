//! What the cases share: a small deployment of real processes on loopback, and stand-ins for workers, clients and the
//! operator. The standard library only. Every address is a loopback address; every process that was started is ended.

use std::collections::HashMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
#[allow(dead_code)]
pub const SIGSTOP: i32 = 19;
#[allow(dead_code)]
pub const SIGCONT: i32 = 18;

/// The ids of all processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that may still run, when a case is out of time.
pub fn end_all() {
    for id in STARTED.lock().unwrap().iter() {
        unsafe { kill(*id as i32, SIGKILL) };
    }
    fs::remove_dir_all(root()).ok();
}

fn root() -> PathBuf {
    std::env::temp_dir().join(format!("mintlb-review-2-{}", std::process::id()))
}

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<String>>>,
    start: Instant,
}

impl Record {
    pub fn new() -> Record {
        Record { lines: Arc::default(), start: Instant::now() }
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let line = format!("{:8.3} s  {}", self.start.elapsed().as_secs_f64(), line.as_ref());
        println!("{line}");
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, path: &Path) {
        fs::write(path, self.lines.lock().unwrap().join("\n") + "\n").ok();
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Controller,
    Store,
    Dispatcher,
}

/// A machine with one process, started by the command of the deploy file.
pub struct Machine {
    pub role: Role,
    pub number: u8,
    #[allow(dead_code)]
    pub name: String,
    directory: PathBuf,
    process: Option<Child>,
    started_before: bool,
}

/// Addresses and ports of one run: machine `n` is 127.A.B.n, ports are alike on all machines.
#[derive(Clone, Copy)]
pub struct Network {
    a: u8,
    b: u8,
    base: u16,
}

impl Network {
    fn choose() -> Network {
        let pid = std::process::id();
        let (a, b) = ((pid / 200 % 100 + 100) as u8, (pid % 200 + 20) as u8);
        for attempt in 0..200u16 {
            let base = 21_000 + ((pid as u16).wrapping_mul(7).wrapping_add(attempt * 37)) % 9_000;
            let network = Network { a, b, base };
            let ports: Vec<u16> = (base..base + 22).collect();
            if ports.iter().all(|port| TcpListener::bind((network.ip(1), *port)).is_ok()) {
                return network;
            }
        }
        panic!("no free ports");
    }

    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.a, self.b, number)
    }

    fn at(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip(number), self.base + port))
    }

    pub fn frontend(&self, number: u8) -> SocketAddr {
        self.at(number, 16)
    }

    pub fn readiness(&self, number: u8) -> SocketAddr {
        self.at(number, 17)
    }

    pub fn control(&self, number: u8) -> SocketAddr {
        self.at(number, 18)
    }
}

impl Machine {
    pub fn pid(&self) -> Option<u32> {
        self.process.as_ref().map(Child::id)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(process) = &self.process {
            unsafe { kill(process.id() as i32, signal) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill().ok();
            process.wait().ok();
        }
    }

    /// Whether the process has ended by itself.
    #[allow(dead_code)]
    pub fn has_ended(&mut self) -> bool {
        match &mut self.process {
            Some(process) => process.try_wait().ok().flatten().is_some(),
            None => true,
        }
    }
}

/// A small deployment: controllers are machines 1 to 3, stores 11 and up, dispatchers 21 and up.
pub struct Lab {
    pub network: Network,
    pub record: Record,
    pub root: PathBuf,
    pub machines: Vec<Machine>,
    repository: PathBuf,
    pub memory_mb: u64,
    /// `fault_tolerance`: machines, zones and regions.
    pub tolerance: (u32, u32, u32),
    /// Machines with a disk whose `counts_toward_quorum` is false.
    pub uncounted: Vec<u8>,
    /// Zones, among which the machines take turns by their numbers; three zones a region if there are nine.
    pub zones: u8,
}

impl Lab {
    pub fn new(record: &Record, repository: &Path) -> Lab {
        let root = root();
        fs::create_dir_all(&root).unwrap();
        Lab {
            network: Network::choose(),
            record: record.clone(),
            root,
            machines: Vec::new(),
            repository: repository.to_path_buf(),
            memory_mb: 260,
            tolerance: (1, 0, 0),
            uncounted: Vec::new(),
            zones: 3,
        }
    }

    pub fn add(&mut self, role: Role, number: u8) {
        let name = match role {
            Role::Controller => format!("controller-{number}"),
            Role::Store => format!("store-{number}"),
            Role::Dispatcher => format!("dispatcher-{number}"),
        };
        let directory = self.root.join(&name);
        fs::create_dir_all(directory.join("data")).unwrap();
        self.machines.push(Machine { role, number, name, directory, process: None, started_before: false });
    }

    pub fn start_all(&mut self) {
        for index in 0..self.machines.len() {
            self.start(index);
        }
    }

    pub fn index(&self, number: u8) -> usize {
        self.machines.iter().position(|machine| machine.number == number).unwrap()
    }

    pub fn start(&mut self, index: usize) {
        let settings = self.settings(index);
        let machine = &mut self.machines[index];
        let path = machine.directory.join("node.toml");
        fs::write(&path, settings).unwrap();
        let log = fs::File::options().create(true).append(true).open(machine.directory.join("log")).unwrap();
        let (program, argument) = match machine.role {
            Role::Controller => ("mintlb-control", "controller"),
            Role::Store => ("mintlb-control", "store"),
            Role::Dispatcher => ("mintlb", "dispatch"),
        };
        let mut command = Command::new(self.repository.join("target/release").join(program));
        command
            .arg(argument)
            .env("MINTLB_BOOT", &path)
            .current_dir(&self.repository)
            .process_group(0)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        // The process ends with the script, also if that is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .spawn()
            .expect("the programs of the deploy file are built");
        STARTED.lock().unwrap().push(child.id());
        machine.process = Some(child);
        machine.started_before = true;
    }

    fn settings(&self, index: usize) -> String {
        let machine = &self.machines[index];
        let (network, number) = (self.network, machine.number);
        let (serves, class) = match machine.role {
            Role::Controller => ("control", "edge"),
            Role::Store => ("storage", "storage"),
            Role::Dispatcher => ("edge", "edge"),
        };
        let listen = match machine.role {
            Role::Controller => format!("control_plane = \"{}\"", network.control(number)),
            Role::Store => String::new(),
            Role::Dispatcher => format!(
                "frontend = \"{}\"\nreadiness = \"{}\"",
                network.frontend(number),
                network.readiness(number)
            ),
        };
        let disk = match machine.role {
            Role::Dispatcher => String::new(),
            _ => format!("data_directory = \"{}\"\n", machine.directory.join("data").display()),
        };
        let seeds: Vec<String> = (1..=3).map(|seed| format!("\"{}\"", network.control(seed))).collect();
        let node = |serves: &str| format!("{serves}-{number}");
        format!(
            "node_name = \"{}\"\nrole = \"{}\"\nmachine_class = \"{class}\"\nserves = [\"{serves}\"]\n\
             ip_address = \"{}\"\nzone = \"z{}\"\nregion = \"{}\"\ninternal_ports = [{}, {}]\nseed_nodes = [{}]\n\
             first_start = {}\ncounts_toward_quorum = {}\nheartbeat_ms = 1200\n{disk}\
             [zones]\n{}[listen_addresses]\n{listen}\n\
             [limits]\ncpu_share = 0.5\ncpu_cores = 1\nmemory_mb = {}\nmax_open_files = 4100\nlink_mbps = 1000.0\n\
             disk_mb = 580\n[fault_tolerance]\nmachines = {}\nzones = {}\nregions = {}\n\
             [bounds]\nseed_lag_s = 3\naddress_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 5\n\
             drain_ms = 2000\ngrace_period_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n\
             rollback_slack_ms = 250\nmax_stretch_ms = 5000\nrecovery_s = 12\npass_ms = 120\nagain_s = 0\n\
             finish_s = 10\nstatus_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\nquota_overage = 0.1\n",
            node(serves),
            serves,
            network.ip(number),
            number % self.zones,
            self.region(number % self.zones),
            network.base,
            network.base + 15,
            seeds.join(", "),
            !machine.started_before,
            machine.role != Role::Dispatcher && !self.uncounted.contains(&number),
            (0..self.zones).map(|zone| format!("z{zone} = \"{}\"\n", self.region(zone))).collect::<String>(),
            self.memory_mb,
            self.tolerance.0,
            self.tolerance.1,
            self.tolerance.2,
        )
    }

    /// The standard deployment: three controllers, `stores` stores, `dispatchers` dispatchers.
    pub fn deploy(&mut self, stores: u8, dispatchers: u8) {
        (1..=3).for_each(|number| self.add(Role::Controller, number));
        (0..stores).for_each(|number| self.add(Role::Store, 11 + number));
        (0..dispatchers).for_each(|number| self.add(Role::Dispatcher, 21 + number));
        self.start_all();
    }

    fn region(&self, zone: u8) -> String {
        match self.zones {
            9 => format!("r{}", zone / 3),
            _ => "r".to_string(),
        }
    }

    /// The machines of some zones.
    pub fn in_zones(&self, zones: &[u8]) -> Vec<usize> {
        let is_there = |index: &usize| zones.contains(&(self.machines[*index].number % self.zones));
        (0..self.machines.len()).filter(is_there).collect()
    }

    /// A machine goes, with its disk.
    pub fn lose_disk(&mut self, index: usize) {
        self.machines[index].kill();
        let data = self.machines[index].directory.join("data");
        fs::remove_dir_all(&data).ok();
        fs::create_dir_all(&data).ok();
    }

    pub fn controllers(&self) -> Vec<SocketAddr> {
        let controllers = self.machines.iter().filter(|machine| machine.role == Role::Controller);
        controllers.map(|machine| self.network.control(machine.number)).collect()
    }

    pub fn dispatchers(&self) -> Vec<SocketAddr> {
        let dispatchers = self.machines.iter().filter(|machine| machine.role == Role::Dispatcher);
        dispatchers.map(|machine| self.network.frontend(machine.number)).collect()
    }

    /// Waits until the readiness address of this dispatcher answers 200.
    pub fn wait_ready(&self, number: u8, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            let request = Call::new("GET", "/v1/readiness").timeout(Duration::from_secs(1));
            if request.send(self.network.readiness(number)).is_ok_and(|answer| answer.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a configuration as the operator does: to another controller after a failure or a 5xx, until it has an
    /// answer. Returns the last status.
    pub fn configure(&self, base: u64, body: &str) -> u16 {
        let started = Instant::now();
        let controllers = self.controllers();
        let mut status = 0;
        for attempt in 0.. {
            let controller = controllers[attempt % controllers.len()];
            let call = Call::new("PUT", "/v1/configuration")
                .header("Host", "control")
                .header("If-Match", &base.to_string())
                .header("Content-Type", "application/json")
                .body(body.as_bytes().to_vec())
                .timeout(Duration::from_secs(1));
            status = call.send(controller).map_or(0, |answer| answer.status);
            self.record.note(format!("operator: PUT /v1/configuration, If-Match {base}, at {controller}: {status}"));
            if status != 0 && status < 500 && status != 429 && status != 408 || started.elapsed() > Duration::from_secs(20) {
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        status
    }

    /// The newest configuration, as the operator reads it.
    pub fn read_configuration(&self) -> Option<String> {
        for attempt in 0..20 {
            let controllers = self.controllers();
            let call = Call::new("GET", "/v1/configuration").header("Host", "control").timeout(Duration::from_secs(1));
            if let Ok(answer) = call.send(controllers[attempt % controllers.len()]) {
                if answer.status == 200 {
                    return Some(String::from_utf8_lossy(&answer.body).into_owned());
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// Memory of a machine's process that is resident now, in MB.
    #[allow(dead_code)]
    pub fn resident_mb(&self, number: u8) -> f64 {
        let Some(pid) = self.machines[self.index(number)].pid() else { return 0.0 };
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<f64>().ok());
        kilobytes.unwrap_or(0.0) / 1e3
    }
}

impl Drop for Lab {
    fn drop(&mut self) {
        for machine in &self.machines {
            machine.signal(SIGCONT);
            machine.signal(SIGTERM);
        }
        thread::sleep(Duration::from_millis(200));
        self.machines.iter_mut().for_each(Machine::kill);
        if std::env::var_os("KEEP").is_none() {
            fs::remove_dir_all(&self.root).ok();
        } else {
            println!("kept {}", self.root.display());
        }
    }
}

/// One HTTP/1.1 request.
#[derive(Clone)]
pub struct Call {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    timeout: Duration,
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

impl Call {
    pub fn new(method: &str, path: &str) -> Call {
        Call {
            method: method.into(),
            path: path.into(),
            headers: Vec::new(),
            body: Vec::new(),
            timeout: Duration::from_secs(5),
        }
    }

    pub fn header(mut self, name: &str, value: &str) -> Call {
        self.headers.push((name.into(), value.into()));
        self
    }

    pub fn body(mut self, body: Vec<u8>) -> Call {
        self.body = body;
        self
    }

    pub fn timeout(mut self, timeout: Duration) -> Call {
        self.timeout = timeout;
        self
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = format!("{} {} HTTP/1.1\r\n", self.method, self.path).into_bytes();
        if !self.headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
            bytes.extend_from_slice(b"Host: localhost\r\n");
        }
        for (name, value) in &self.headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        if !self.body.is_empty() || self.method != "GET" {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", self.body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends it on a connection of its own.
    pub fn send(&self, to: SocketAddr) -> Result<Answer, String> {
        let mut connection = Connection::open(to, self.timeout)?;
        connection.call(self)
    }
}

/// A client's connection, kept for several requests.
pub struct Connection {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    pub fn open(to: SocketAddr, timeout: Duration) -> Result<Connection, String> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).map_err(|error| error.to_string())?;
        stream.set_nodelay(true).ok();
        stream.set_read_timeout(Some(timeout)).ok();
        stream.set_write_timeout(Some(timeout)).ok();
        Ok(Connection { stream, unread: Vec::new() })
    }

    pub fn call(&mut self, call: &Call) -> Result<Answer, String> {
        self.stream.set_read_timeout(Some(call.timeout)).ok();
        self.stream.write_all(&call.encode()).map_err(|error| error.to_string())?;
        self.read_answer(&call.method)
    }

    fn fill(&mut self) -> Result<bool, String> {
        let mut buffer = [0; 16 << 10];
        let read = self.stream.read(&mut buffer).map_err(|error| error.to_string())?;
        self.unread.extend_from_slice(&buffer[..read]);
        Ok(read > 0)
    }

    pub fn read_answer(&mut self, method: &str) -> Result<Answer, String> {
        let (status, headers) = loop {
            if let Some(end) = find(&self.unread, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.unread[..end]).into_owned();
                self.unread.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let status: u16 = lines
                    .next()
                    .and_then(|line| line.split(' ').nth(1)?.parse().ok())
                    .ok_or("no status line")?;
                let headers: Vec<(String, String)> = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_string(), value.trim().to_string()))
                    .collect();
                if status >= 200 {
                    break (status, headers);
                }
                continue;
            }
            if !self.fill()? {
                return Err("closed without an answer".into());
            }
        };
        let header = |name: &str| {
            let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
            found.map(|(_, value)| value.clone())
        };
        let mut body = Vec::new();
        if header("transfer-encoding").is_some() {
            loop {
                let line_end = loop {
                    match find(&self.unread, b"\r\n") {
                        Some(end) => break end,
                        None if self.fill()? => (),
                        None => return Err(format!("{status}, cut off")),
                    }
                };
                let line = String::from_utf8_lossy(&self.unread[..line_end]).into_owned();
                self.unread.drain(..line_end + 2);
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| "bad chunk".to_string())?;
                while self.unread.len() < size + 2 {
                    if !self.fill()? {
                        return Err(format!("{status}, cut off"));
                    }
                }
                body.extend(self.unread.drain(..size));
                self.unread.drain(..2);
                if size == 0 {
                    break;
                }
            }
        } else if let Some(length) = header("content-length") {
            let length: usize = if method == "HEAD" { 0 } else { length.parse().map_err(|_| "bad length")? };
            while self.unread.len() < length {
                if !self.fill()? {
                    return Err(format!("{status}, cut off"));
                }
            }
            body.extend(self.unread.drain(..length));
        }
        Ok(Answer { status, headers, body })
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

/// A request as a worker gets it.
#[derive(Clone, Debug)]
pub struct Arrival {
    #[allow(dead_code)]
    pub at: Instant,
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    #[allow(dead_code)]
    pub body: Vec<u8>,
}

impl Arrival {
    pub fn id(&self) -> &str {
        self.headers.get("mintlb-request-id").map_or("", String::as_str)
    }
}

/// What a worker does with a request that it runs.
pub enum Action {
    /// Answers: status, further headers, body.
    Answer(u16, Vec<(String, String)>, Vec<u8>),
    /// Answers 200 without a length: the end of the connection ends the body, which is sent in parts with this pause.
    Unframed(Vec<u8>, Duration),
}

pub type Behaviour = Arc<dyn Fn(&Worker, &Arrival) -> Action + Send + Sync>;

/// A worker: registers, serves, drains.
pub struct Worker {
    pub instance_id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub runs: Mutex<Vec<Arrival>>,
    pub draining: AtomicBool,
    pub gone: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    running: AtomicU64,
    sending: AtomicU64,
    call_sequence: AtomicU64,
    record: Record,
}

impl Worker {
    /// Starts a worker on machine `number` and registers it.
    pub fn start(lab: &Lab, number: u8, service: &str, behaviour: Behaviour) -> Arc<Worker> {
        let listener = TcpListener::bind((lab.network.ip(number), 0)).unwrap();
        let worker = Arc::new(Worker {
            instance_id: format!("i-{service}-{number}"),
            service: service.to_string(),
            address: listener.local_addr().unwrap(),
            slots: 48,
            runs: Mutex::default(),
            draining: AtomicBool::new(false),
            gone: AtomicBool::new(false),
            streams: Mutex::default(),
            running: AtomicU64::new(0),
            sending: AtomicU64::new(0),
            call_sequence: AtomicU64::new(0),
            record: lab.record.clone(),
        });
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.gone.load(Relaxed) {
                    return;
                }
                serving.streams.lock().unwrap().extend(stream.try_clone());
                let (worker, behaviour) = (serving.clone(), behaviour.clone());
                thread::spawn(move || worker.serve(stream, behaviour));
            }
        });
        let (beating, controllers) = (worker.clone(), lab.controllers());
        thread::spawn(move || {
            while !beating.gone.load(Relaxed) {
                beating.beat(&controllers);
                thread::sleep(Duration::from_millis(1200));
            }
        });
        worker
    }

    /// Crashes: it says nothing, its connections end, its address accepts no more.
    #[allow(dead_code)]
    pub fn crash(&self) {
        self.gone.store(true, Relaxed);
        // Wakes the accepting thread, which then drops the listener.
        TcpStream::connect(self.address).ok();
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
        self.record.note(format!("worker {} crashes", self.instance_id));
    }

    /// Sends a heartbeat to one controller after the other until one acknowledges it.
    pub fn beat(&self, controllers: &[SocketAddr]) -> bool {
        let state = if self.draining.load(Relaxed) { "draining" } else { "in_service" };
        for controller in controllers {
            let sequence = self.call_sequence.fetch_add(1, Relaxed) + 1;
            let body = format!(
                "{{\"target_service\":\"{}\",\"address\":\"{}\",\"zone\":\"z0\",\"config_version\":\"v1\",\
                 \"capacity_slots\":{},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"call_sequence\":{sequence}}}",
                self.service, self.address, self.slots
            );
            let call = Call::new("PUT", &format!("/v1/instances/{}", self.instance_id))
                .header("Host", "control")
                .header("Content-Type", "application/json")
                .body(body.into_bytes())
                .timeout(Duration::from_secs(1));
            if call.send(*controller).is_ok_and(|answer| answer.status / 100 == 2) {
                return true;
            }
        }
        false
    }

    fn serve(&self, mut stream: TcpStream, behaviour: Behaviour) {
        stream.set_nodelay(true).ok();
        let mut unread: Vec<u8> = Vec::new();
        let mut buffer = [0; 16 << 10];
        loop {
            let end = loop {
                if let Some(end) = find(&unread, b"\r\n\r\n") {
                    break end;
                }
                match stream.read(&mut buffer) {
                    Ok(read) if read > 0 => unread.extend_from_slice(&buffer[..read]),
                    _ => return,
                }
            };
            let head = String::from_utf8_lossy(&unread[..end]).into_owned();
            unread.drain(..end + 4);
            let mut lines = head.split("\r\n");
            let mut request_line = lines.next().unwrap_or("").split(' ');
            let (method, path) = (request_line.next().unwrap_or(""), request_line.next().unwrap_or(""));
            let headers: HashMap<String, String> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
                .collect();
            let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            while unread.len() < length {
                match stream.read(&mut buffer) {
                    Ok(read) if read > 0 => unread.extend_from_slice(&buffer[..read]),
                    _ => return,
                }
            }
            let body: Vec<u8> = unread.drain(..length).collect();
            let arrival = Arrival { at: Instant::now(), method: method.into(), path: path.into(), headers, body };
            let target = arrival.headers.get("mintlb-target-instance");
            if target.is_some_and(|target| *target != self.instance_id) {
                if write_answer(&mut stream, 421, &[("Mintlb-Not-Executed".into(), "1".into())], &arrival, b"").is_err() {
                    return;
                }
                continue;
            }
            self.record.note(format!(
                "worker {} gets {} ({} {}, Last-Event-Id {:?})",
                self.instance_id,
                arrival.id(),
                arrival.method,
                arrival.path,
                arrival.headers.get("last-event-id")
            ));
            self.runs.lock().unwrap().push(arrival.clone());
            self.running.fetch_add(1, Relaxed);
            let action = behaviour(self, &arrival);
            let running = self.running.fetch_sub(1, Relaxed) - 1;
            match action {
                Action::Answer(status, mut headers, body) => {
                    headers.push(("Mintlb-Instance-Load".into(), format!("{running},0,{}", self.slots)));
                    headers.push(("Mintlb-Response-Signature".into(), format!("{}.{}", self.instance_id, arrival.id())));
                    if write_answer(&mut stream, status, &headers, &arrival, &body).is_err() {
                        return;
                    }
                }
                Action::Unframed(body, pause) => {
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nMintlb-Request-Id: {}\r\nMintlb-Response-Signature: {}.{}\r\n\r\n",
                        arrival.id(),
                        self.instance_id,
                        arrival.id()
                    );
                    let mut sent = stream.write_all(head.as_bytes());
                    self.sending.fetch_add(1, Relaxed);
                    for part in body.chunks(body.len() / 8 + 1) {
                        sent = sent.and_then(|()| stream.write_all(part));
                        thread::sleep(pause);
                    }
                    self.sending.fetch_sub(1, Relaxed);
                    // The list of its connections has another handle of this one.
                    stream.shutdown(std::net::Shutdown::Both).ok();
                    return;
                }
            }
            if self.gone.load(Relaxed) {
                return;
            }
        }
    }

    /// Requests that it works on now.
    #[allow(dead_code)]
    pub fn running(&self) -> u64 {
        self.running.load(Relaxed)
    }

    /// Whether it is in the middle of an answer.
    #[allow(dead_code)]
    pub fn sending(&self) -> bool {
        self.sending.load(Relaxed) > 0
    }

    pub fn run_count(&self, id: &str) -> usize {
        self.runs.lock().unwrap().iter().filter(|arrival| arrival.id() == id).count()
    }
}

fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(String, String)],
    arrival: &Arrival,
    body: &[u8],
) -> std::io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} X\r\nMintlb-Request-Id: {}\r\n", arrival.id()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// A plain 200.
#[allow(dead_code)]
pub fn fine(body: &str) -> Action {
    Action::Answer(200, Vec::new(), body.as_bytes().to_vec())
}
