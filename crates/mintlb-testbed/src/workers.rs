//! The simulated workers, and the links from each process to each of them.
//!
//! One thread polls all connections, at least once a millisecond if the machine is not overloaded, so that the last byte
//! of each attempt is known to have arrived between two consecutive polls. Each process reaches each worker at a
//! separate address: this identifies the sender, and lets the link between a process and a zone be cut in either or both
//! directions.

use crate::observations::{ObservedAttempt, Recorder};
use crate::rng::Rng;
use crate::scenario::{Direction, FaultAction, Scenario};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::time::Duration;

/// Maximum time between two polls, unless the machine is overloaded.
const POLL_TIMEOUT: Duration = Duration::from_millis(1);
/// A connection with more unparsed bytes is closed.
const MAX_REQUEST_BYTES: usize = 1 << 20;

struct Worker {
    zone: usize,
    /// Number of restarts.
    incarnation: u32,
    up: bool,
    slots: usize,
    runs_after_disconnect: bool,
    running: usize,
    queue: VecDeque<usize>,
}

/// Faults that currently apply to a zone's workers.
#[derive(Clone, Copy)]
struct ZoneFaults {
    failure_share: f64,
    slowdown: f64,
    hang: bool,
}

struct Connection {
    stream: TcpStream,
    process: usize,
    worker: usize,
    input: Vec<u8>,
    /// Time of the poll before the one that found the first byte of the current request.
    first_byte_at: Option<f64>,
    output: Vec<u8>,
    job: Option<usize>,
    /// Complete requests that a partition keeps from the worker.
    held_back: Vec<usize>,
}

struct Job {
    connection: Option<Token>,
    /// Index of its attempt in the recorder.
    attempt: usize,
    worker: usize,
    incarnation: u32,
    id: u64,
    /// In seconds.
    run_time: f64,
    finished: bool,
}

pub struct Workers {
    poll: Poll,
    recorder: Recorder,
    rng: Rng,
    workers: Vec<Worker>,
    zones: Vec<(String, ZoneFaults)>,
    /// Addresses of the workers, by worker and process.
    addresses: Vec<Vec<SocketAddr>>,
    listeners: HashMap<Token, (TcpListener, usize, usize)>,
    connections: HashMap<Token, Connection>,
    jobs: Vec<Job>,
    /// Time at which each running job ends, in microseconds, and the job.
    job_ends: BinaryHeap<Reverse<(u64, usize)>>,
    /// Links that are cut, by process and zone: to the workers, from the workers.
    partitions: Vec<Vec<(bool, bool)>>,
    /// Mean run time of each project type, by its name.
    mean_run_times: HashMap<String, f64>,
    seed: u64,
    last_token: usize,
    /// Start of the previous poll.
    previous_poll_at: f64,
}

/// The run time of a work unit relative to the mean of its project type: the same on every worker.
fn relative_run_time(seed: u64, id: u64) -> f64 {
    0.5 + Rng::new(seed ^ id.rotate_left(17)).uniform()
}

impl Workers {
    pub fn new(
        scenario: &Scenario,
        seed: u64,
        addresses: Vec<Vec<SocketAddr>>,
        recorder: Recorder,
    ) -> io::Result<Workers> {
        let worker = |(zone, _): (usize, usize)| {
            let (slots, runs_after_disconnect) = (
                scenario.zones[zone].slots,
                scenario.zones[zone].runs_after_disconnect,
            );
            Worker {
                zone,
                incarnation: 0,
                up: true,
                slots,
                runs_after_disconnect,
                running: 0,
                queue: VecDeque::new(),
            }
        };
        let no_faults = ZoneFaults {
            failure_share: 0.0,
            slowdown: 1.0,
            hang: false,
        };
        let mut workers = Workers {
            poll: Poll::new()?,
            recorder,
            rng: Rng::new(seed ^ 0x77),
            workers: scenario.workers().map(worker).collect(),
            zones: scenario
                .zones
                .iter()
                .map(|z| (z.name.clone(), no_faults))
                .collect(),
            addresses,
            listeners: HashMap::new(),
            connections: HashMap::new(),
            jobs: Vec::new(),
            job_ends: BinaryHeap::new(),
            partitions: vec![vec![(false, false); scenario.zones.len()]; scenario.processes],
            mean_run_times: scenario
                .project_types
                .iter()
                .map(|t| (t.name.clone(), t.mean_run_time))
                .collect(),
            seed,
            last_token: 0,
            previous_poll_at: f64::NEG_INFINITY,
        };
        (0..workers.workers.len()).try_for_each(|worker_index| workers.listen(worker_index))?;
        Ok(workers)
    }

    fn next_token(&mut self) -> Token {
        self.last_token += 1;
        Token(self.last_token)
    }

    fn listen(&mut self, worker: usize) -> io::Result<()> {
        for process in 0..self.addresses[worker].len() {
            let mut listener = TcpListener::bind(self.addresses[worker][process])?;
            let token = self.next_token();
            self.poll
                .registry()
                .register(&mut listener, token, Interest::READABLE)?;
            self.listeners.insert(token, (listener, process, worker));
        }
        Ok(())
    }

    /// Runs the workers until the sender of the fault actions is dropped.
    pub fn run(mut self, actions: Receiver<FaultAction>) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        loop {
            loop {
                match actions.try_recv() {
                    Ok(action) => self.apply(&action)?,
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return Ok(()),
                }
            }
            let poll_started_at = self.recorder.now();
            match self.poll.poll(&mut events, Some(POLL_TIMEOUT)) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            for event in &events {
                let token = event.token();
                if self.listeners.contains_key(&token) {
                    self.accept(token)?;
                } else {
                    self.read(token);
                    self.write(token);
                }
            }
            self.previous_poll_at = poll_started_at;
            self.finish_due_jobs();
        }
    }

    fn zone_index(&self, name: &str) -> usize {
        self.zones
            .iter()
            .position(|(known, _)| known == name)
            .unwrap_or(0)
    }

    fn apply(&mut self, action: &FaultAction) -> io::Result<()> {
        let (targets, zone) = action.affected();
        let Some(zone) = zone.map(|name| self.zone_index(name)) else {
            return Ok(());
        };
        let faults = &mut self.zones[zone].1;
        match action {
            FaultAction::Fail { share, .. } => faults.failure_share = *share,
            FaultAction::Slow { factor, .. } => faults.slowdown = factor.max(0.01),
            FaultAction::Hang { enabled, .. } => {
                faults.hang = *enabled;
                let in_zone = |worker_index: &usize| self.workers[*worker_index].zone == zone;
                (0..self.workers.len())
                    .filter(in_zone)
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|worker_index| self.start_queued(worker_index));
            }
            FaultAction::Down { .. } => (0..self.workers.len())
                .for_each(|worker_index| self.stop_worker(worker_index, zone)),
            FaultAction::Up { .. } => {
                for worker_index in 0..self.workers.len() {
                    let worker = &mut self.workers[worker_index];
                    if worker.zone == zone && !worker.up {
                        (worker.up, worker.incarnation) = (true, worker.incarnation + 1);
                        let (incarnation, now) = (worker.incarnation, self.recorder.now());
                        self.recorder.observations().cold_starts.push((
                            worker_index,
                            incarnation,
                            now,
                        ));
                        self.listen(worker_index)?;
                    }
                }
            }
            FaultAction::Cut { direction, .. } => targets.iter().for_each(|p| {
                let (to_workers, from_workers) = &mut self.partitions[*p][zone];
                *to_workers |= *direction != Direction::FromWorkers;
                *from_workers |= *direction != Direction::ToWorkers;
            }),
            FaultAction::Heal { .. } => {
                targets
                    .iter()
                    .for_each(|p| self.partitions[*p][zone] = (false, false));
                let tokens: Vec<Token> = self.connections.keys().copied().collect();
                for token in tokens {
                    let held_back = self
                        .connections
                        .get_mut(&token)
                        .map(|c| std::mem::take(&mut c.held_back));
                    held_back
                        .into_iter()
                        .flatten()
                        .for_each(|job| self.enqueue(job));
                    self.write(token);
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Stops a worker if it belongs to the zone: its jobs are lost and its connections reset.
    fn stop_worker(&mut self, worker_index: usize, zone: usize) {
        let worker = &mut self.workers[worker_index];
        if worker.zone != zone || !worker.up {
            return;
        }
        (worker.up, worker.running) = (false, 0);
        worker.queue.clear();
        self.listeners
            .retain(|_, (_, _, worker)| *worker != worker_index);
        self.connections
            .retain(|_, connection| connection.worker != worker_index);
        let now = self.recorder.now();
        let mut observations = self.recorder.observations();
        for job in self
            .jobs
            .iter_mut()
            .filter(|job| job.worker == worker_index && !job.finished)
        {
            (job.finished, job.connection) = (true, None);
            observations.attempts[job.attempt].ended_at = Some(now);
        }
    }

    fn accept(&mut self, token: Token) -> io::Result<()> {
        loop {
            let (listener, process, worker) = &self.listeners[&token];
            let (process, worker) = (*process, *worker);
            let Ok((mut stream, _)) = listener.accept() else {
                return Ok(());
            };
            stream.set_nodelay(true).ok();
            let token = self.next_token();
            let both = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, token, both)?;
            let (input, output, held_back) = Default::default();
            let connection = Connection {
                stream,
                process,
                worker,
                input,
                first_byte_at: None,
                output,
                job: None,
                held_back,
            };
            self.connections.insert(token, connection);
            // Bytes that arrived before the registration may not raise an event.
            self.read(token);
        }
    }

    fn read(&mut self, token: Token) {
        let mut buffer = [0; 16 << 10];
        loop {
            let previous_poll_at = self.previous_poll_at;
            let Some(connection) = self.connections.get_mut(&token) else {
                return;
            };
            match connection.stream.read(&mut buffer) {
                Ok(0) => return self.close(token),
                Ok(n) => {
                    connection.first_byte_at.get_or_insert(previous_poll_at);
                    connection.input.extend_from_slice(&buffer[..n]);
                    if connection.input.len() > MAX_REQUEST_BYTES {
                        return self.close(token);
                    }
                    self.parse_requests(token);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.close(token),
            }
        }
    }

    /// Processes the complete requests of a connection.
    fn parse_requests(&mut self, token: Token) {
        while let Some(connection) = self.connections.get_mut(&token) {
            let Some(request) = Request::parse(&connection.input) else {
                return;
            };
            connection.input.drain(..request.length);
            let first_byte_at = connection
                .first_byte_at
                .take()
                .unwrap_or(self.previous_poll_at);
            if !connection.input.is_empty() {
                connection.first_byte_at = Some(self.previous_poll_at);
            }
            let Some(id) = request.id.filter(|_| request.is_post) else {
                connection
                    .output
                    .extend(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n");
                self.write(token);
                continue;
            };
            let (process, worker) = (connection.process, connection.worker);
            let incarnation = self.workers[worker].incarnation;
            let run_time = self
                .mean_run_times
                .get(&request.project_type)
                .copied()
                .unwrap_or(0.0)
                * relative_run_time(self.seed, id);
            let (received_after, received_by) = (self.previous_poll_at, self.recorder.now());
            let (started_at, rejected_at, ended_at, succeeded) = (None, None, None, false);
            let run_time_s = run_time;
            let attempt = ObservedAttempt {
                id,
                process,
                worker,
                incarnation,
                received_after,
                received_by,
                first_byte_at,
                run_time_s,
                started_at,
                rejected_at,
                ended_at,
                succeeded,
            };
            let mut observations = self.recorder.observations();
            observations.attempts.push(attempt);
            let attempt = observations.attempts.len() - 1;
            drop(observations);
            let job = Job {
                connection: Some(token),
                attempt,
                worker,
                incarnation,
                id,
                run_time,
                finished: false,
            };
            self.jobs.push(job);
            let (job, zone) = (self.jobs.len() - 1, self.workers[worker].zone);
            if self.partitions[process][zone].0 {
                self.connections
                    .get_mut(&token)
                    .into_iter()
                    .for_each(|c| c.held_back.push(job));
            } else {
                self.enqueue(job);
            }
        }
    }

    /// Delivers a job to its worker.
    fn enqueue(&mut self, job: usize) {
        let (worker, token) = (self.jobs[job].worker, self.jobs[job].connection);
        let Some(connection) = token.and_then(|token| self.connections.get_mut(&token)) else {
            return;
        };
        connection.job = Some(job);
        self.workers[worker].queue.push_back(job);
        self.start_queued(worker);
    }

    /// Starts queued jobs while slots are free.
    fn start_queued(&mut self, worker_index: usize) {
        let faults = self.zones[self.workers[worker_index].zone].1;
        while !faults.hang && self.workers[worker_index].running < self.workers[worker_index].slots
        {
            let Some(job) = self.workers[worker_index].queue.pop_front() else {
                return;
            };
            if self.jobs[job].finished {
                continue;
            }
            self.workers[worker_index].running += 1;
            let now = self.recorder.now();
            self.recorder.observations().attempts[self.jobs[job].attempt].started_at = Some(now);
            let ends_at = now + self.jobs[job].run_time * faults.slowdown;
            self.job_ends
                .push(Reverse(((ends_at.max(0.0) * 1e6) as u64, job)));
            let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n";
            self.send(job, head);
            self.send_state(job, "started", "");
        }
    }

    fn send_state(&mut self, job: usize, state: &str, extra_fields: &str) {
        let line = format!(
            "{{\"id\":\"{:016x}\",\"state\":\"{state}\"{extra_fields}}}\n",
            self.jobs[job].id
        );
        self.send(job, &format!("{:x}\r\n{line}\r\n", line.len()));
    }

    fn send(&mut self, job: usize, text: &str) {
        let token = self.jobs[job].connection;
        let Some((token, connection)) =
            token.and_then(|token| Some((token, self.connections.get_mut(&token)?)))
        else {
            return;
        };
        connection.output.extend(text.as_bytes());
        self.write(token);
    }

    fn write(&mut self, token: Token) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        if self.partitions[connection.process][self.workers[connection.worker].zone].1 {
            return;
        }
        while !connection.output.is_empty() {
            match connection.stream.write(&connection.output) {
                Ok(n) => drop(connection.output.drain(..n)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.close(token),
            }
        }
    }

    /// Removes a connection. Queued jobs are dropped; running jobs stop, unless they run on after a disconnect.
    fn close(&mut self, token: Token) {
        let Some(connection) = self.connections.remove(&token) else {
            return;
        };
        let worker_index = connection.worker;
        for job in connection.job.into_iter().chain(connection.held_back) {
            self.jobs[job].connection = None;
            let was_started = self.recorder.observations().attempts[self.jobs[job].attempt]
                .started_at
                .is_some();
            if self.jobs[job].finished
                || was_started && self.workers[worker_index].runs_after_disconnect
            {
                continue;
            }
            self.finish(job, was_started);
        }
        self.start_queued(worker_index);
    }

    fn finish(&mut self, job: usize, was_started: bool) {
        self.jobs[job].finished = true;
        let (worker_index, now) = (self.jobs[job].worker, self.recorder.now());
        self.workers[worker_index].running -= usize::from(was_started);
        self.recorder.observations().attempts[self.jobs[job].attempt].ended_at = Some(now);
    }

    /// Finishes the jobs whose run time has passed.
    fn finish_due_jobs(&mut self) {
        let now = (self.recorder.now().max(0.0) * 1e6) as u64;
        while let Some(Reverse((at, job))) = self
            .job_ends
            .peek()
            .copied()
            .filter(|Reverse((at, _))| *at <= now)
        {
            self.job_ends.pop();
            let worker_index = self.jobs[job].worker;
            if self.jobs[job].finished
                || self.jobs[job].incarnation != self.workers[worker_index].incarnation
            {
                continue;
            }
            let faults = self.zones[self.workers[worker_index].zone].1;
            if faults.hang {
                self.job_ends.push(Reverse((at + 50_000, job)));
                continue;
            }
            let fails = self.rng.uniform() < faults.failure_share;
            self.finish(job, true);
            self.recorder.observations().attempts[self.jobs[job].attempt].succeeded = !fails;
            match fails {
                true => self.send_state(job, "failed", ""),
                false => self.send_state(job, "done", ",\"result\":\"ok\""),
            }
            self.send(job, "0\r\n\r\n");
            let connection = self.jobs[job]
                .connection
                .and_then(|token| self.connections.get_mut(&token));
            connection.into_iter().for_each(|c| c.job = None);
            self.start_queued(worker_index);
        }
    }
}

/// The parts of an HTTP request that the workers use.
struct Request {
    is_post: bool,
    /// The first segment of the path.
    project_type: String,
    id: Option<u64>,
    /// Length of head and body in bytes.
    length: usize,
}

impl Request {
    /// Parses the first request, if it is complete.
    fn parse(bytes: &[u8]) -> Option<Request> {
        let head = bytes.windows(4).position(|end| end == b"\r\n\r\n")?;
        let text = String::from_utf8_lossy(&bytes[..head]);
        let mut lines = text.lines();
        let mut parts = lines.next()?.split(' ');
        let (is_post, path) = (parts.next() == Some("POST"), parts.next().unwrap_or("/"));
        let (mut id, mut body_length) = (None, 0);
        for (name, value) in lines.filter_map(|line| line.split_once(':')) {
            match name.to_ascii_lowercase().as_str() {
                "request-id" => id = u64::from_str_radix(value.trim(), 16).ok(),
                "content-length" => body_length = value.trim().parse().unwrap_or(0),
                _ => {}
            }
        }
        let length = head + 4 + body_length;
        let project_type = path
            .trim_start_matches('/')
            .split('/')
            .next()
            .unwrap_or_default()
            .to_string();
        (bytes.len() >= length).then_some(Request {
            is_post,
            project_type,
            id,
            length,
        })
    }
}
