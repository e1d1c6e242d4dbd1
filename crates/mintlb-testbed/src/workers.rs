//! The workers, by zone, and the way of each process to each of them.
//!
//! One thread looks at all connections together, at least once a millisecond, so that of each allocation it is known
//! between which two looks its last byte came. Each process has an address of its own for each worker: who sent what is
//! known by that, and what lies between a process and a zone can be cut, in one direction or both.

use crate::chance::Chance;
use crate::scenario::{Deed, Scenario, Way};
use crate::seen::{Book, Sent};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::time::Duration;

/// At the most between two looks, if the machine has time.
const LOOK: Duration = Duration::from_millis(1);
/// A head or body longer than this is no work of ours.
const LONGEST: usize = 1 << 20;

struct Worker {
    zone: usize,
    life: u32,
    up: bool,
    slots: usize,
    runs_on: bool,
    running: usize,
    waiting: VecDeque<usize>,
}

/// How a zone's workers do for now.
#[derive(Clone, Copy)]
struct Condition {
    fail: f64,
    slow: f64,
    hang: bool,
}

struct Connection {
    stream: TcpStream,
    process: usize,
    worker: usize,
    read: Vec<u8>,
    /// The look before the first byte of the request that is being read.
    first: Option<f64>,
    write: Vec<u8>,
    job: Option<usize>,
    /// Whole requests that a cut keeps from the worker.
    kept: Vec<usize>,
}

struct Job {
    connection: Option<Token>,
    /// Where it stands in the book.
    sent: usize,
    worker: usize,
    life: u32,
    id: u64,
    runs: f64,
    over: bool,
}

pub struct Workers {
    poll: Poll,
    book: Book,
    chance: Chance,
    workers: Vec<Worker>,
    zones: Vec<(String, Condition)>,
    /// Where each worker is found by each process, by worker and then process.
    at: Vec<Vec<SocketAddr>>,
    listeners: HashMap<Token, (TcpListener, usize, usize)>,
    connections: HashMap<Token, Connection>,
    jobs: Vec<Job>,
    /// Ends of jobs, in microseconds.
    due: BinaryHeap<Reverse<(u64, usize)>>,
    /// What is cut, by process and zone: on the way there, and back.
    cut: Vec<Vec<(bool, bool)>>,
    /// How long each type runs, by its name.
    runs: HashMap<String, f64>,
    seed: u64,
    tokens: usize,
    /// When the look before this one began.
    before: f64,
}

/// The share of a type's mean running time that a work unit takes: the same wherever it runs.
fn of_mean(seed: u64, id: u64) -> f64 {
    0.5 + Chance::new(seed ^ id.rotate_left(17)).draw()
}

impl Workers {
    pub fn new(
        scenario: &Scenario,
        seed: u64,
        at: Vec<Vec<SocketAddr>>,
        book: Book,
    ) -> io::Result<Workers> {
        let worker = |(zone, _): (usize, usize)| {
            let (slots, runs_on) = (scenario.zones[zone].slots, scenario.zones[zone].runs_on);
            Worker {
                zone,
                life: 0,
                up: true,
                slots,
                runs_on,
                running: 0,
                waiting: VecDeque::new(),
            }
        };
        let usual = Condition {
            fail: 0.0,
            slow: 1.0,
            hang: false,
        };
        let mut workers = Workers {
            poll: Poll::new()?,
            book,
            chance: Chance::new(seed ^ 0x77),
            workers: scenario.workers().map(worker).collect(),
            zones: scenario
                .zones
                .iter()
                .map(|z| (z.name.clone(), usual))
                .collect(),
            at,
            listeners: HashMap::new(),
            connections: HashMap::new(),
            jobs: Vec::new(),
            due: BinaryHeap::new(),
            cut: vec![vec![(false, false); scenario.zones.len()]; scenario.processes],
            runs: scenario
                .types
                .iter()
                .map(|t| (t.name.clone(), t.runs))
                .collect(),
            seed,
            tokens: 0,
            before: f64::NEG_INFINITY,
        };
        (0..workers.workers.len()).try_for_each(|w| workers.listen(w))?;
        Ok(workers)
    }

    fn token(&mut self) -> Token {
        self.tokens += 1;
        Token(self.tokens)
    }

    fn listen(&mut self, worker: usize) -> io::Result<()> {
        for process in 0..self.at[worker].len() {
            let mut listener = TcpListener::bind(self.at[worker][process])?;
            let token = self.token();
            self.poll
                .registry()
                .register(&mut listener, token, Interest::READABLE)?;
            self.listeners.insert(token, (listener, process, worker));
        }
        Ok(())
    }

    /// Plays until there is nobody left to say what to play.
    pub fn play(mut self, told: Receiver<Deed>) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        loop {
            loop {
                match told.try_recv() {
                    Ok(deed) => self.take(&deed)?,
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return Ok(()),
                }
            }
            let began = self.book.now();
            match self.poll.poll(&mut events, Some(LOOK)) {
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
            self.before = began;
            self.ends();
        }
    }

    fn zone(&self, name: &str) -> usize {
        self.zones
            .iter()
            .position(|(known, _)| known == name)
            .unwrap_or(0)
    }

    fn take(&mut self, deed: &Deed) -> io::Result<()> {
        let (who, zone) = deed.touches();
        let Some(zone) = zone.map(|name| self.zone(name)) else {
            return Ok(());
        };
        let condition = &mut self.zones[zone].1;
        match deed {
            Deed::Fail { share, .. } => condition.fail = *share,
            Deed::Slow { times, .. } => condition.slow = times.max(0.01),
            Deed::Hang { on, .. } => {
                condition.hang = *on;
                let of_zone = |w: &usize| self.workers[*w].zone == zone;
                (0..self.workers.len())
                    .filter(of_zone)
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|w| self.start(w));
            }
            Deed::Down { .. } => (0..self.workers.len()).for_each(|w| self.fell(w, zone)),
            Deed::Up { .. } => {
                for w in 0..self.workers.len() {
                    let worker = &mut self.workers[w];
                    if worker.zone == zone && !worker.up {
                        (worker.up, worker.life) = (true, worker.life + 1);
                        let (life, now) = (worker.life, self.book.now());
                        self.book.seen().cold.push((w, life, now));
                        self.listen(w)?;
                    }
                }
            }
            Deed::Cut { way, .. } => who.iter().for_each(|p| {
                let (there, back) = &mut self.cut[*p][zone];
                *there |= *way != Way::Back;
                *back |= *way != Way::There;
            }),
            Deed::Heal { .. } => {
                who.iter().for_each(|p| self.cut[*p][zone] = (false, false));
                let healed: Vec<Token> = self.connections.keys().copied().collect();
                for token in healed {
                    let kept = self
                        .connections
                        .get_mut(&token)
                        .map(|c| std::mem::take(&mut c.kept));
                    kept.into_iter().flatten().for_each(|job| self.hand(job));
                    self.write(token);
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// All that it had is lost, and its connections are reset.
    fn fell(&mut self, w: usize, zone: usize) {
        let worker = &mut self.workers[w];
        if worker.zone != zone || !worker.up {
            return;
        }
        (worker.up, worker.running) = (false, 0);
        worker.waiting.clear();
        self.listeners.retain(|_, (_, _, worker)| *worker != w);
        self.connections
            .retain(|_, connection| connection.worker != w);
        let now = self.book.now();
        let mut seen = self.book.seen();
        for job in self
            .jobs
            .iter_mut()
            .filter(|job| job.worker == w && !job.over)
        {
            (job.over, job.connection) = (true, None);
            seen.sent[job.sent].ended = Some(now);
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
            let token = self.token();
            let both = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, token, both)?;
            let (read, write, kept) = Default::default();
            let connection = Connection {
                stream,
                process,
                worker,
                read,
                first: None,
                write,
                job: None,
                kept,
            };
            self.connections.insert(token, connection);
            // What came before it was registered is read now.
            self.read(token);
        }
    }

    fn read(&mut self, token: Token) {
        let mut piece = [0; 16 << 10];
        loop {
            let before = self.before;
            let Some(connection) = self.connections.get_mut(&token) else {
                return;
            };
            match connection.stream.read(&mut piece) {
                Ok(0) => return self.closed(token),
                Ok(n) => {
                    connection.first.get_or_insert(before);
                    connection.read.extend_from_slice(&piece[..n]);
                    if connection.read.len() > LONGEST {
                        return self.closed(token);
                    }
                    self.parse(token);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.closed(token),
            }
        }
    }

    /// Takes each request that is whole.
    fn parse(&mut self, token: Token) {
        while let Some(connection) = self.connections.get_mut(&token) {
            let Some(request) = Request::of(&connection.read) else {
                return;
            };
            connection.read.drain(..request.length);
            let first = connection.first.take().unwrap_or(self.before);
            if !connection.read.is_empty() {
                connection.first = Some(self.before);
            }
            let Some(id) = request.id.filter(|_| request.post) else {
                connection
                    .write
                    .extend(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n");
                self.write(token);
                continue;
            };
            let (process, worker) = (connection.process, connection.worker);
            let life = self.workers[worker].life;
            let runs = self.runs.get(&request.of).copied().unwrap_or(0.0) * of_mean(self.seed, id);
            let (after, by) = (self.before, self.book.now());
            let (began, returned, ended, done) = (None, None, None, false);
            let work = runs;
            let sent = Sent {
                id,
                process,
                worker,
                life,
                after,
                by,
                first,
                work,
                began,
                returned,
                ended,
                done,
            };
            let mut seen = self.book.seen();
            seen.sent.push(sent);
            let sent = seen.sent.len() - 1;
            drop(seen);
            let job = Job {
                connection: Some(token),
                sent,
                worker,
                life,
                id,
                runs,
                over: false,
            };
            self.jobs.push(job);
            let (job, zone) = (self.jobs.len() - 1, self.workers[worker].zone);
            if self.cut[process][zone].0 {
                self.connections
                    .get_mut(&token)
                    .into_iter()
                    .for_each(|c| c.kept.push(job));
            } else {
                self.hand(job);
            }
        }
    }

    /// The worker has it.
    fn hand(&mut self, job: usize) {
        let (worker, token) = (self.jobs[job].worker, self.jobs[job].connection);
        let Some(connection) = token.and_then(|token| self.connections.get_mut(&token)) else {
            return;
        };
        connection.job = Some(job);
        self.workers[worker].waiting.push_back(job);
        self.start(worker);
    }

    /// Starts what fits.
    fn start(&mut self, w: usize) {
        let condition = self.zones[self.workers[w].zone].1;
        while !condition.hang && self.workers[w].running < self.workers[w].slots {
            let Some(job) = self.workers[w].waiting.pop_front() else {
                return;
            };
            if self.jobs[job].over {
                continue;
            }
            self.workers[w].running += 1;
            let now = self.book.now();
            self.book.seen().sent[self.jobs[job].sent].began = Some(now);
            let ends = now + self.jobs[job].runs * condition.slow;
            self.due.push(Reverse(((ends.max(0.0) * 1e6) as u64, job)));
            let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n";
            self.say(job, head);
            self.line(job, "started", "");
        }
    }

    fn line(&mut self, job: usize, state: &str, more: &str) {
        let line = format!(
            "{{\"id\":\"{:016x}\",\"state\":\"{state}\"{more}}}\n",
            self.jobs[job].id
        );
        self.say(job, &format!("{:x}\r\n{line}\r\n", line.len()));
    }

    fn say(&mut self, job: usize, text: &str) {
        let token = self.jobs[job].connection;
        let Some((token, connection)) =
            token.and_then(|token| Some((token, self.connections.get_mut(&token)?)))
        else {
            return;
        };
        connection.write.extend(text.as_bytes());
        self.write(token);
    }

    fn write(&mut self, token: Token) {
        let Some(connection) = self.connections.get_mut(&token) else {
            return;
        };
        if self.cut[connection.process][self.workers[connection.worker].zone].1 {
            return;
        }
        while !connection.write.is_empty() {
            match connection.stream.write(&connection.write) {
                Ok(n) => drop(connection.write.drain(..n)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.closed(token),
            }
        }
    }

    /// What waits for its slot is dropped; what runs stops there, or runs on where workers do not notice.
    fn closed(&mut self, token: Token) {
        let Some(connection) = self.connections.remove(&token) else {
            return;
        };
        let w = connection.worker;
        for job in connection.job.into_iter().chain(connection.kept) {
            self.jobs[job].connection = None;
            let began = self.book.seen().sent[self.jobs[job].sent].began.is_some();
            if self.jobs[job].over || began && self.workers[w].runs_on {
                continue;
            }
            self.over(job, began);
        }
        self.start(w);
    }

    fn over(&mut self, job: usize, began: bool) {
        self.jobs[job].over = true;
        let (w, now) = (self.jobs[job].worker, self.book.now());
        self.workers[w].running -= usize::from(began);
        self.book.seen().sent[self.jobs[job].sent].ended = Some(now);
    }

    /// Ends what is due.
    fn ends(&mut self) {
        let now = (self.book.now().max(0.0) * 1e6) as u64;
        while let Some(Reverse((at, job))) = self
            .due
            .peek()
            .copied()
            .filter(|Reverse((at, _))| *at <= now)
        {
            self.due.pop();
            let w = self.jobs[job].worker;
            if self.jobs[job].over || self.jobs[job].life != self.workers[w].life {
                continue;
            }
            let condition = self.zones[self.workers[w].zone].1;
            if condition.hang {
                self.due.push(Reverse((at + 50_000, job)));
                continue;
            }
            let fails = self.chance.draw() < condition.fail;
            self.over(job, true);
            self.book.seen().sent[self.jobs[job].sent].done = !fails;
            match fails {
                true => self.line(job, "failed", ""),
                false => self.line(job, "done", ",\"result\":\"ok\""),
            }
            self.say(job, "0\r\n\r\n");
            let connection = self.jobs[job]
                .connection
                .and_then(|token| self.connections.get_mut(&token));
            connection.into_iter().for_each(|c| c.job = None);
            self.start(w);
        }
    }
}

/// What of a request matters here.
struct Request {
    post: bool,
    /// The first part of its path.
    of: String,
    id: Option<u64>,
    /// All its bytes.
    length: usize,
}

impl Request {
    /// The first one, if it is whole.
    fn of(bytes: &[u8]) -> Option<Request> {
        let head = bytes.windows(4).position(|end| end == b"\r\n\r\n")?;
        let text = String::from_utf8_lossy(&bytes[..head]);
        let mut lines = text.lines();
        let mut words = lines.next()?.split(' ');
        let (post, path) = (words.next() == Some("POST"), words.next().unwrap_or("/"));
        let (mut id, mut body) = (None, 0);
        for (name, value) in lines.filter_map(|line| line.split_once(':')) {
            match name.to_ascii_lowercase().as_str() {
                "request-id" => id = u64::from_str_radix(value.trim(), 16).ok(),
                "content-length" => body = value.trim().parse().unwrap_or(0),
                _ => {}
            }
        }
        let length = head + 4 + body;
        let of = path
            .trim_start_matches('/')
            .split('/')
            .next()
            .unwrap_or_default()
            .to_string();
        (bytes.len() >= length).then_some(Request {
            post,
            of,
            id,
            length,
        })
    }
}
