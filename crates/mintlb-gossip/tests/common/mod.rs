//! A simulated network with virtual time over pure nodes.

#![allow(dead_code)]

mod questions;

use bytes::Bytes;
use fastrand::Rng;
use mintlb_common::incarnation::Incarnation;
use mintlb_common::record::Record;
use mintlb_gossip::effects::Effect;
use mintlb_gossip::node::{Input, Node};
use mintlb_gossip::{Member, Role};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;
use tokio::time::Instant;

/// Bytes of a frame's head in the transport.
const FRAME_HEAD: usize = 14;
/// How often a condition that a test waits for is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(1);
/// The pause of the transport after a receiver could not be reached.
const DIAL_PAUSE: Duration = Duration::from_millis(150);
/// The transport's patience with bytes that are not acknowledged.
const PATIENCE: Duration = Duration::from_millis(1200);

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn address(number: usize) -> SocketAddr {
    let ip = Ipv4Addr::new(10, 0, (number / 250) as u8, (number % 250) as u8 + 1);
    SocketAddr::V4(SocketAddrV4::new(ip, 7000))
}

pub fn record(key: &str, version: u64) -> Record {
    Record {
        key: key.into(),
        version,
        ttl_s: 0,
        body: Bytes::from(format!("{key} {version}")),
    }
}

/// What happens to one message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Deliver,
    Drop,
    Duplicate,
    Delay(Duration),
    /// Flips a bit of the message.
    Mutate(usize),
}

enum Happening {
    Message {
        from: (SocketAddr, Incarnation),
        to: SocketAddr,
        meant_for: Incarnation,
        body: Bytes,
    },
    Unreachable {
        at: SocketAddr,
        peer: SocketAddr,
    },
    Wake(SocketAddr),
    Start(SocketAddr),
}

#[derive(Clone, Copy, PartialEq)]
enum Condition {
    Down,
    Running,
    /// Nothing reaches it, it says nothing, no reset comes back.
    Vanished,
    Frozen,
}

struct Process {
    member: Member,
    node: Option<Node>,
    condition: Condition,
    wake_at: Instant,
    inbox: Vec<((SocketAddr, Incarnation), Bytes)>,
    /// Which life was last heard at an address, as the transport keeps it.
    lives: HashMap<SocketAddr, Incarnation>,
    sent: u64,
    messages: u64,
    /// When which version of which key came into force, in order.
    history: Vec<(Instant, String, u64)>,
    acknowledged: u64,
}

pub struct Simulation {
    pub now: Instant,
    pub start: Instant,
    pub rng: Rng,
    seeds: Vec<SocketAddr>,
    processes: BTreeMap<SocketAddr, Process>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    happenings: HashMap<u64, Happening>,
    last_arrival: HashMap<(SocketAddr, SocketAddr), Instant>,
    warned: HashSet<(SocketAddr, SocketAddr)>,
    cut_zones: HashSet<String>,
    lost_ways: HashSet<(SocketAddr, SocketAddr)>,
    counter: u64,
    /// Messages sent so far, and what happens to the one of this number.
    pub sent_messages: u64,
    pub fate_of: Option<(u64, Fate)>,
    pub largest_message: usize,
    /// Real time that the nodes have taken.
    pub handling: Duration,
}

impl Simulation {
    pub fn new(seed: u64, seeds: &[usize]) -> Simulation {
        let now = Instant::now();
        Simulation {
            now,
            start: now,
            rng: Rng::with_seed(seed),
            seeds: seeds.iter().map(|&number| address(number)).collect(),
            processes: BTreeMap::new(),
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            last_arrival: HashMap::new(),
            warned: HashSet::new(),
            cut_zones: HashSet::new(),
            lost_ways: HashSet::new(),
            counter: 0,
            sent_messages: 0,
            fate_of: None,
            largest_message: 0,
            handling: Duration::ZERO,
        }
    }

    /// A fleet whose first processes are the seeds; all start within `within`, in no order.
    pub fn fleet(seed: u64, count: usize, zones: usize, within: Duration) -> Simulation {
        let seeds: Vec<_> = (0..count.min(3)).collect();
        let mut simulation = Simulation::new(seed, &seeds);
        for number in 0..count {
            let delay = ms(simulation.rng.u64(..within.as_millis() as u64));
            simulation.add(number, &format!("zone{}", number % zones), delay);
        }
        simulation
    }

    pub fn add(&mut self, number: usize, zone: &str, delay: Duration) {
        let role = if number < 3 {
            Role::Controller
        } else {
            Role::Dispatcher
        };
        let member = Member {
            address: address(number),
            incarnation: self.draw_incarnation(),
            role,
            node_name: format!("machine{number}"),
            zone: zone.into(),
        };
        let process = Process {
            member,
            node: None,
            condition: Condition::Down,
            wake_at: self.now,
            inbox: Vec::new(),
            lives: HashMap::new(),
            sent: 0,
            messages: 0,
            history: Vec::new(),
            acknowledged: 0,
        };
        self.processes.insert(address(number), process);
        self.schedule(self.now + delay, Happening::Start(address(number)));
    }

    fn draw_incarnation(&mut self) -> Incarnation {
        Incarnation::from_number(self.rng.u64(1..)).unwrap()
    }

    fn schedule(&mut self, at: Instant, happening: Happening) {
        self.counter += 1;
        self.queue.push(Reverse((at, self.counter)));
        self.happenings.insert(self.counter, happening);
    }

    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        self.run_until(until, |_| false);
    }

    /// Runs until the condition holds; whether it did before `until`.
    pub fn run_until(&mut self, until: Instant, mut done: impl FnMut(&Simulation) -> bool) -> bool {
        if done(self) {
            return true;
        }
        let mut looked = self.now;
        while let Some(&Reverse((at, number))) = self.queue.peek() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(happening) = self.happenings.remove(&number)
                && self.happen(happening)
                && self.now >= looked + LOOK_INTERVAL
            {
                looked = self.now;
                if done(self) {
                    return true;
                }
            }
        }
        self.now = until;
        done(self)
    }

    /// Whether a node had something to handle.
    fn happen(&mut self, happening: Happening) -> bool {
        match happening {
            Happening::Message { from, to, .. } if self.is_cut(from.0, to) => return false,
            Happening::Message {
                from,
                to,
                meant_for,
                body,
            } => {
                let Some(process) = self.processes.get_mut(&to) else {
                    return false;
                };
                if process.member.incarnation != meant_for {
                    self.warn(from.0, to, DIAL_PAUSE);
                    return false;
                }
                match process.condition {
                    Condition::Running => self.receive(to, from, body),
                    Condition::Frozen => process.inbox.push((from, body)),
                    Condition::Down | Condition::Vanished => return false,
                }
            }
            Happening::Unreachable { at, peer } => {
                self.warned.remove(&(at, peer));
                if self.condition(at) == Some(Condition::Running) {
                    self.handle(at, Input::Unreachable(peer));
                }
            }
            Happening::Wake(at) => {
                let process = &self.processes[&at];
                if process.condition != Condition::Running || process.wake_at > self.now {
                    return false;
                }
                self.handle(at, Input::Tick);
            }
            Happening::Start(at) => self.boot(at),
        }
        true
    }

    fn condition(&self, at: SocketAddr) -> Option<Condition> {
        self.processes.get(&at).map(|process| process.condition)
    }

    fn boot(&mut self, at: SocketAddr) {
        let seed = self.rng.u64(..);
        let process = self.processes.get_mut(&at).unwrap();
        process.node = Some(Node::new(
            self.now,
            process.member.clone(),
            &self.seeds,
            seed,
        ));
        process.condition = Condition::Running;
        process.wake_at = self.now;
        self.schedule(self.now, Happening::Wake(at));
    }

    /// Hands a message over as the transport does: another life at the sender's address is told of first, and one that
    /// has ended is not heard any more.
    fn receive(&mut self, at: SocketAddr, from: (SocketAddr, Incarnation), body: Bytes) {
        let (peer, incarnation) = from;
        let living = self
            .processes
            .get(&peer)
            .map(|process| process.member.incarnation);
        let known = self.processes[&at].lives.get(&peer).copied();
        if known.is_some_and(|known| known != incarnation) {
            if living.is_some_and(|living| living != incarnation) {
                return;
            }
            self.handle(at, Input::Restarted { peer, incarnation });
        }
        self.processes
            .get_mut(&at)
            .unwrap()
            .lives
            .insert(peer, incarnation);
        self.handle(at, Input::Received { from: peer, body });
    }

    fn handle(&mut self, at: SocketAddr, input: Input) {
        let now = self.now;
        let process = self.processes.get_mut(&at).unwrap();
        let node = process.node.as_mut().unwrap();
        let began = std::time::Instant::now();
        let effects = node.handle(now, input);
        self.handling += began.elapsed();
        let deadline = node.deadline();
        process.wake_at = deadline;
        let mut sends = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send { to, body } => {
                    process.sent += (body.len() + FRAME_HEAD) as u64;
                    process.messages += 1;
                    sends.push((to, body));
                }
                Effect::Applied(record) => {
                    process
                        .history
                        .push((now, record.key.clone(), record.version));
                }
                Effect::Acknowledged(_) => process.acknowledged += 1,
                Effect::Malformed(_) => (),
            }
        }
        self.schedule(deadline.max(now), Happening::Wake(at));
        for (to, body) in sends {
            self.send(at, to, body);
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, body: Bytes) {
        self.sent_messages += 1;
        self.largest_message = self.largest_message.max(body.len());
        let fate = self
            .fate_of
            .filter(|(number, _)| *number == self.sent_messages);
        let fate = fate.map_or(Fate::Deliver, |(_, fate)| fate);
        let delay = self.delay(from, to);
        if self.warned.contains(&(from, to)) {
            // The transport still waits for its broken connection; what is queued for it is lost with it.
            return;
        }
        let silent =
            matches!(self.condition(to), Some(Condition::Vanished)) || self.is_cut(from, to);
        if silent || self.condition(to).is_none() {
            return self.warn(from, to, PATIENCE);
        }
        if self.condition(to) == Some(Condition::Down) {
            return self.warn(from, to, delay * 2 + DIAL_PAUSE);
        }
        let arrival = match fate {
            Fate::Drop => return,
            Fate::Delay(more) => self.now + delay + more,
            _ => {
                let last = self
                    .last_arrival
                    .get(&(from, to))
                    .copied()
                    .unwrap_or(self.now);
                let arrival = (self.now + delay).max(last + Duration::from_micros(1));
                self.last_arrival.insert((from, to), arrival);
                arrival
            }
        };
        let body = match fate {
            Fate::Mutate(bit) => flip(&body, bit),
            _ => body,
        };
        let from = (from, self.processes[&from].member.incarnation);
        let meant_for = self.processes[&to].member.incarnation;
        if fate == Fate::Duplicate {
            let again = arrival + ms(50);
            self.schedule(
                again,
                Happening::Message {
                    from,
                    to,
                    meant_for,
                    body: body.clone(),
                },
            );
        }
        self.schedule(
            arrival,
            Happening::Message {
                from,
                to,
                meant_for,
                body,
            },
        );
    }

    fn warn(&mut self, from: SocketAddr, to: SocketAddr, after: Duration) {
        if self.warned.insert((from, to)) {
            self.schedule(
                self.now + after,
                Happening::Unreachable { at: from, peer: to },
            );
        }
    }

    fn delay(&mut self, from: SocketAddr, to: SocketAddr) -> Duration {
        let zone = |at: SocketAddr| {
            self.processes
                .get(&at)
                .map(|process| process.member.zone.clone())
        };
        let base = if zone(from) == zone(to) { 500 } else { 8000 };
        Duration::from_micros((base + self.rng.usize(..base)) as u64)
    }

    fn is_cut(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let zone = |at: SocketAddr| self.processes.get(&at).map(|process| &process.member.zone);
        let way = (from, to);
        let (from, to) = (zone(from), zone(to));
        let cut = |zone: Option<&String>| zone.is_some_and(|zone| self.cut_zones.contains(zone));
        from != to && (cut(from) || cut(to)) || self.lost_ways.contains(&way)
    }

    // What tests do.

    pub fn publish(&mut self, number: usize, record: Record) {
        self.handle(
            address(number),
            Input::Publish {
                record,
                ack_deadline: None,
            },
        );
    }

    pub fn publish_with_ack(&mut self, number: usize, record: Record, wait: Duration) {
        let ack_deadline = Some(self.now + wait);
        self.handle(
            address(number),
            Input::Publish {
                record,
                ack_deadline,
            },
        );
    }

    /// Kills the process; its machine answers with resets.
    pub fn kill(&mut self, number: usize) {
        let process = self.processes.get_mut(&address(number)).unwrap();
        process.condition = Condition::Down;
        process.node = None;
    }

    /// The machine loses power; nothing answers.
    pub fn vanish(&mut self, number: usize) {
        self.kill(number);
        self.processes.get_mut(&address(number)).unwrap().condition = Condition::Vanished;
    }

    /// Starts the process anew, with a new incarnation and empty.
    pub fn restart(&mut self, number: usize) {
        let incarnation = self.draw_incarnation();
        let process = self.processes.get_mut(&address(number)).unwrap();
        process.member.incarnation = incarnation;
        process.lives.clear();
        process.history.clear();
        self.boot(address(number));
    }

    pub fn freeze(&mut self, number: usize) {
        self.processes.get_mut(&address(number)).unwrap().condition = Condition::Frozen;
    }

    pub fn thaw(&mut self, number: usize) {
        let process = self.processes.get_mut(&address(number)).unwrap();
        process.condition = Condition::Running;
        for (from, body) in std::mem::take(&mut process.inbox) {
            self.receive(address(number), from, body);
        }
        self.handle(address(number), Input::Tick);
    }

    /// Breaks the connection in both directions.
    pub fn reset(&mut self, one: usize, other: usize) {
        for (at, peer) in [(one, other), (other, one)] {
            self.schedule(
                self.now,
                Happening::Unreachable {
                    at: address(at),
                    peer: address(peer),
                },
            );
        }
    }

    pub fn cut(&mut self, zone: &str) {
        self.cut_zones.insert(zone.into());
    }

    /// Nothing gets from one to the other any more; the other way works.
    pub fn lose_way(&mut self, from: usize, to: usize) {
        self.lost_ways.insert((address(from), address(to)));
    }

    pub fn heal(&mut self) {
        self.cut_zones.clear();
        self.lost_ways.clear();
    }
}

fn flip(body: &Bytes, bit: usize) -> Bytes {
    let mut bytes = body.to_vec();
    if !bytes.is_empty() {
        let at = bit / 8 % bytes.len();
        bytes[at] ^= 1 << (bit % 8);
    }
    bytes.into()
}
