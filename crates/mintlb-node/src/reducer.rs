//! All changes of state, on one thread: what was read goes in, what is to be done comes out.
//!
//! The decisions act through their door; here it writes down [`Act`]s. Nothing in this file reads, writes or
//! waits, so that each case can be played in a test.

use crate::placement::{Listing, WorkerLine};
use axum::http::request::Parts;
use bytes::Bytes;
use mintlb::decide::Scheduler;
use mintlb::{Allocation, Door, Line, Listed, News, Outcome, Report, WorkUnit, Worker};
use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::oneshot;

/// What was read.
pub enum Event {
    Arrived(Arrival),
    /// The client has gone away.
    Left(u64),
    Started(AllocId),
    Back(Back),
    Sampled(u64, Report),
    /// The list service has told something, or failed.
    List(Option<Listing>),
    /// The list service is at another address.
    ListMoved,
    Woke,
    /// The program ends: what is still held gets its answer now.
    LastCall,
}

/// What is to be done.
pub enum Act {
    Send(Order),
    /// Gives up an allocation: its connection is closed.
    Close(AllocId),
    Answer {
        to: oneshot::Sender<Answer>,
        answer: Answer,
    },
    Probe {
        worker: u64,
        to: SocketAddr,
    },
    Watch {
        after: u64,
    },
    WakeIn(f64),
    Log(String),
}

/// A work unit's number at this scheduler, and the allocation's among the work unit's.
pub type AllocId = (u64, u16);

/// An allocation to be sent, which ends at `until`.
pub struct Order {
    pub alloc: AllocId,
    pub to: SocketAddr,
    pub handed: Arc<Handed>,
    pub until: f64,
}

/// An allocation that has come back.
pub struct Back {
    pub alloc: AllocId,
    pub outcome: Outcome,
    pub report: Report,
    pub result: Bytes,
}

impl Back {
    /// With nothing else told.
    pub fn with(alloc: AllocId, outcome: Outcome) -> Back {
        Back { alloc, outcome, report: Report::default(), result: Bytes::new() }
    }
}

/// What the client sent, kept as it came.
#[derive(Debug)]
pub struct Handed {
    pub head: Parts,
    pub body: Bytes,
    /// It may not simply run again, so that whether it ran is worth knowing.
    pub once: bool,
}

pub struct Arrival {
    pub id: u64,
    pub project_type: usize,
    pub customer: Option<usize>,
    pub slots: f64,
    pub memory: f64,
    pub arrived: f64,
    pub time_budget: f64,
    pub handed: Arc<Handed>,
    pub answer: oneshot::Sender<Answer>,
}

/// A final answer.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Completed(Bytes),
    /// Trying again is harmless, best after so many seconds.
    Deferred(f64),
    /// No promise either way.
    Aborted,
    /// Not taken: the client's id is another's, whose work unit it leaves alone.
    Repeated,
}

struct Held {
    wu: Rc<WorkUnit>,
    handed: Arc<Handed>,
    /// Where the final answer goes, until it is given.
    answer: Option<oneshot::Sender<Answer>>,
}

/// The places that the list's names stand for.
pub struct Names {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

pub struct Reducer {
    scheduler: Scheduler,
    names: Names,
    /// Allocations that may be out at once, and how many seconds before its client's limit one ends.
    most_out: usize,
    margin: f64,
    held: HashMap<u64, Held>,
    /// The clients' ids of what is held, and of what is over, up to when its client would have given up.
    ids: HashSet<Box<[u8]>>,
    over: VecDeque<(f64, Box<[u8]>)>,
    out: HashSet<AllocId>,
    addresses: HashMap<u64, SocketAddr>,
    version: u64,
    /// What the log is to say of the list, with the next acts.
    said: Vec<Act>,
}

/// The module's door onto the sockets.
struct SocketDoor<'a> {
    now: f64,
    most_out: usize,
    margin: f64,
    version: u64,
    held: &'a mut HashMap<u64, Held>,
    out: &'a mut HashSet<AllocId>,
    addresses: &'a HashMap<u64, SocketAddr>,
    acts: Vec<Act>,
    /// Allocations whose outcome is known without a word from the worker.
    known: Vec<Back>,
    /// Work units that may be over.
    touched: Vec<u64>,
}

impl SocketDoor<'_> {
    fn answer(&mut self, id: u64, answer: Answer) {
        self.touched.push(id);
        if let Some(to) = self.held.get_mut(&id).and_then(|held| held.answer.take()) {
            self.acts.push(Act::Answer { to, answer });
        }
    }
}

impl Door for SocketDoor<'_> {
    fn allocate(&mut self, alloc: &Allocation) {
        let Some(wu) = alloc.wu.upgrade() else { return };
        let id = (wu.id, alloc.number);
        let full = self.out.len() >= self.most_out;
        self.out.insert(id);
        match (self.addresses.get(&alloc.worker.line.id), self.held.get(&wu.id)) {
            // Without a descriptor to spare it is not sent, and that is known at once.
            (Some(_), Some(_)) if full => self.known.push(Back::with(id, Outcome::Moot)),
            (Some(&to), Some(held)) => {
                let until = wu.limit - self.margin;
                let handed = held.handed.clone();
                self.acts.push(Act::Send(Order { alloc: id, to, handed, until }));
            }
            _ => self.known.push(Back::with(id, Outcome::NoConnection)),
        }
    }
    fn recall(&mut self, alloc: &Allocation) {
        let Some(wu) = alloc.wu.upgrade() else { return };
        let id = (wu.id, alloc.number);
        self.acts.push(Act::Close(id));
        self.known.push(Back::with(id, Outcome::Recalled));
    }
    fn defer(&mut self, wu: &WorkUnit, come_back: f64) {
        self.answer(wu.id, Answer::Deferred(come_back));
    }
    fn abort(&mut self, wu: &WorkUnit) {
        self.answer(wu.id, Answer::Aborted);
    }
    fn probe(&mut self, worker: &Worker) {
        let worker = worker.line.id;
        if let Some(&to) = self.addresses.get(&worker) {
            self.acts.push(Act::Probe { worker, to });
        }
    }
    fn follow_list(&mut self) {
        self.acts.push(Act::Watch { after: self.version });
    }
    fn wake_in(&mut self, seconds: f64) {
        self.acts.push(Act::WakeIn(seconds));
    }
    fn log(&mut self, line: &str) {
        self.acts.push(Act::Log(line.into()));
    }
}

impl Reducer {
    pub fn new(scheduler: Scheduler, names: Names, most_out: usize, margin: f64) -> Reducer {
        let (held, ids, over, out, addresses, said) = Default::default();
        Reducer { scheduler, names, most_out, margin, held, ids, over, out, addresses, version: 0, said }
    }

    /// How many work units are held.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// The start: what the list last said, then whatever the decisions ask for first.
    pub fn start(&mut self, now: f64, known: Option<Listing>) -> Vec<Act> {
        let lines = known.map(|listing| self.lines(listing).1).unwrap_or_default();
        self.with_door(now, |scheduler, door| {
            scheduler.power_on(door, now);
            scheduler.news(door, now, News::Cached(&lines));
        })
    }

    pub fn reduce(&mut self, now: f64, event: Event) -> Vec<Act> {
        match event {
            Event::Arrived(a) if !self.is_new(now, &a.handed) => {
                vec![Act::Answer { to: a.answer, answer: Answer::Repeated }]
            }
            Event::Arrived(a) => {
                let wu = WorkUnit::new(
                    a.id,
                    a.project_type,
                    a.customer,
                    a.slots,
                    a.memory,
                    a.arrived,
                    a.time_budget,
                );
                let held = Held { wu: wu.clone(), handed: a.handed, answer: Some(a.answer) };
                self.held.insert(a.id, held);
                self.with_door(now, |scheduler, door| scheduler.arrived(door, now, &wu))
            }
            Event::Left(id) => {
                let Some(held) = self.held.get_mut(&id) else { return Vec::new() };
                held.answer = None;
                let wu = held.wu.clone();
                self.with_door(now, |scheduler, door| {
                    door.touched.push(id);
                    scheduler.left(door, now, &wu);
                })
            }
            Event::Started((id, number)) => {
                let alloc = self.held.get(&id).and_then(|held| held.wu.allocation(number));
                let Some(alloc) = alloc.filter(|_| self.out.contains(&(id, number))) else {
                    return Vec::new();
                };
                self.with_door(now, |scheduler, door| scheduler.started(door, now, &alloc))
            }
            Event::Back(told) => self.with_door(now, |scheduler, door| back(scheduler, door, told)),
            Event::Sampled(worker, report) => {
                if let Some(worker) = self.scheduler.worker(worker).cloned() {
                    worker.told(now, report);
                }
                Vec::new()
            }
            Event::List(None) => self.with_door(now, |s, door| s.news(door, now, News::Failed)),
            Event::List(Some(listing)) => {
                let (full, lines) = self.lines(listing);
                let news = if full { News::Full(&lines) } else { News::Changes(&lines) };
                self.with_door(now, |s, door| s.news(door, now, news))
            }
            // At once, whatever was to be asked of the old one: nothing it says from now on is heard.
            Event::ListMoved => vec![Act::Watch { after: self.version }],
            Event::Woke => self.with_door(now, |s, door| s.woke(door, now)),
            Event::LastCall => self.last_call(now),
        }
    }

    /// Each request has an id of its own. Who sends another's must not reach a worker with it, which would
    /// take it for the same work, nor touch the answer that the other is owed.
    fn is_new(&mut self, now: f64, handed: &Handed) -> bool {
        while let Some((_, id)) = self.over.pop_front_if(|(until, _)| *until <= now) {
            self.ids.remove(&id);
        }
        client_id(handed).is_none_or(|id| self.ids.insert(id))
    }

    /// What is still unanswered is given up; how, the decisions know.
    fn last_call(&mut self, now: f64) -> Vec<Act> {
        let open = self.held.values().filter(|held| held.answer.is_some());
        let open: Vec<Rc<WorkUnit>> = open.map(|held| held.wu.clone()).collect();
        self.with_door(now, |scheduler, door| {
            open.iter().for_each(|wu| scheduler.give_up(door, now, wu));
        })
    }

    fn with_door(&mut self, now: f64, call: impl FnOnce(&mut Scheduler, &mut SocketDoor)) -> Vec<Act> {
        let mut door = SocketDoor {
            now,
            most_out: self.most_out,
            margin: self.margin,
            version: self.version,
            held: &mut self.held,
            out: &mut self.out,
            addresses: &self.addresses,
            acts: std::mem::take(&mut self.said),
            known: Vec::new(),
            touched: Vec::new(),
        };
        call(&mut self.scheduler, &mut door);
        while let Some(told) = door.known.pop() {
            back(&mut self.scheduler, &mut door, told);
        }
        let SocketDoor { acts, touched, .. } = door;
        for id in touched {
            if let Entry::Occupied(held) = self.held.entry(id)
                && held.get().wu.is_over()
            {
                let Held { wu, handed, .. } = held.remove();
                self.over.extend(client_id(&handed).map(|id| (wu.limit, id)));
            }
        }
        acts
    }

    /// The list's lines for the decisions, whether they are the whole list; addresses are kept here.
    fn lines(&mut self, listing: Listing) -> (bool, Vec<Line>) {
        self.version = listing.version;
        let lines: Vec<Line> = listing.workers.iter().map(|worker| self.line(worker)).collect();
        if listing.full {
            let named: HashSet<u64> = lines.iter().map(|line| line.id).collect();
            self.addresses.retain(|id, _| named.contains(id));
        }
        (listing.full, lines)
    }

    fn line(&mut self, worker: &WorkerLine) -> Line {
        let place = |names: &[String], name: &str| {
            names.iter().position(|n| n == name).map_or(u16::MAX, |at| at as u16)
        };
        let id = worker_id(&worker.id);
        let listed = match worker.state.as_str() {
            "SERVING" => Listed::Ready,
            "DELETED" => Listed::Gone,
            // What a state unknown to us means for new work is unknown, too.
            _ => Listed::Draining,
        };
        match worker.addr.parse() {
            Ok(addr) if listed != Listed::Gone => {
                if self.addresses.insert(id, addr) != Some(addr) {
                    let line = format!("worker {id:012x} is {} at {addr}", worker.id);
                    self.said.push(Act::Log(line));
                }
            }
            _ => drop(self.addresses.remove(&id)),
        }
        let (zone, kind) = (place(&self.names.zones, &worker.zone), place(&self.names.kinds, &worker.kind));
        let came_up = if worker.started_ms.is_finite() { worker.started_ms.max(0.0) / 1000.0 } else { 0.0 };
        Line { id, zone, cell: worker.cell as u16, kind, listed, came_up }
    }
}

fn client_id(handed: &Handed) -> Option<Box<[u8]>> {
    handed.head.headers.get("request-id").map(|id| id.as_bytes().into())
}

/// An outcome, once for each allocation: a later word on it says nothing.
fn back(scheduler: &mut Scheduler, door: &mut SocketDoor, told: Back) {
    let now = door.now;
    if !door.out.remove(&told.alloc) {
        return;
    }
    let Some(wu) = door.held.get(&told.alloc.0).map(|held| held.wu.clone()) else { return };
    let Some(alloc) = wu.allocation(told.alloc.1) else { return };
    door.touched.push(wu.id);
    let completed = told.outcome == Outcome::Completed;
    if completed {
        door.answer(wu.id, Answer::Completed(told.result));
    }
    alloc.worker.told(now, told.report);
    scheduler.came_back(door, now, &alloc, told.outcome, completed);
}

/// A worker's name as a number of 48 bits, the same at all schedulers (FNV-1a, folded).
pub fn worker_id(name: &str) -> u64 {
    let hash = name
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
    (hash ^ (hash >> 48)) & 0xffff_ffff_ffff
}
