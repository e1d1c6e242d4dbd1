//! A simulated network of nodes with virtual time.
//!
//! It does what the transport does: it delivers messages on a link in order, after a delay; it
//! reports broken links to the sender and restarts of a peer to the receiver.

// Each test file uses a part of this module.
#![allow(dead_code)]

mod faults;
mod process;
mod queries;

pub use faults::MessageFault;
pub use process::address;

use bytes::Bytes;
use fastrand::Rng;
use faults::{PlannedFault, flip_bit};
use mintlb_common::incarnation::Incarnation;
use mintlb_common::record::Record;
use mintlb_gossip::effects::Effect;
use mintlb_gossip::node::{Input, Node};
use mintlb_gossip::{Member, Role};
use process::{AppliedVersion, Process, ProcessState, Sender};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The port of all simulated processes.
const BASE_PORT: u16 = 7000;
/// The first processes of a fleet are seeds and controllers, the others dispatchers.
const SEEDS: usize = 3;
/// Bytes of a frame's header in the transport.
const FRAME_HEADER_BYTES: usize = 14;
/// How often a condition that a test waits for is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// How long the transport waits after a receiver could not be reached.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(150);
/// How long the transport waits for an acknowledgement of bytes that it has sent.
const TRANSPORT_TIMEOUT: Duration = Duration::from_millis(1200);
/// The base of the delay of a message within a zone and between zones, in microseconds. As much
/// again at random.
const DELAY_WITHIN_ZONE_US: u64 = 500;
const DELAY_BETWEEN_ZONES_US: u64 = 8000;
/// How much later the second copy of a duplicated message arrives.
const DUPLICATE_DELAY: Duration = Duration::from_millis(50);
/// Within which time the processes of a fleet start.
const START_WINDOW: Duration = Duration::from_millis(300);
/// How long a fleet has to join.
const JOIN_TIME: Duration = Duration::from_millis(4000);

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A record without expiry, whose body tells its key and version.
pub fn record(key: &str, version: u64) -> Record {
    Record {
        key: key.into(),
        version,
        ttl_s: 0,
        body: Bytes::from(format!("{key} {version}")),
    }
}

/// The last version of a worker's record, which expires after 20 s.
pub fn deregistered_worker(key: &str) -> Record {
    Record {
        key: key.into(),
        version: u64::MAX,
        ttl_s: 20,
        body: "gone".into(),
    }
}

/// Bytes and messages sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub bytes: u64,
    pub messages: u64,
}

impl Traffic {
    /// What was sent since an earlier measurement.
    pub fn since(self, earlier: Traffic) -> Traffic {
        Traffic {
            bytes: self.bytes - earlier.bytes,
            messages: self.messages - earlier.messages,
        }
    }

    /// The share of one of `count`, rounded down.
    pub fn per(self, count: u64) -> Traffic {
        Traffic {
            bytes: self.bytes / count,
            messages: self.messages / count,
        }
    }
}

#[derive(Debug)]
enum Event {
    Message {
        from: Sender,
        to: SocketAddr,
        receiver_incarnation: Incarnation,
        body: Bytes,
    },
    Unreachable {
        at: SocketAddr,
        peer: SocketAddr,
    },
    Wake(SocketAddr),
    Start(SocketAddr),
}

pub struct SimulatedNetwork {
    pub now: Instant,
    pub start: Instant,
    pub rng: Rng,
    /// The size of the largest message so far, in bytes.
    pub largest_message: usize,
    /// Real time that the nodes have taken.
    pub handling_time: Duration,
    seeds: Vec<SocketAddr>,
    processes: BTreeMap<SocketAddr, Process>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: HashMap<u64, Event>,
    scheduled_events: u64,
    last_arrival: HashMap<(SocketAddr, SocketAddr), Instant>,
    /// Links whose breakage is about to be reported to the sender.
    broken_links: HashSet<(SocketAddr, SocketAddr)>,
    partitioned_zones: HashSet<String>,
    blocked_directions: HashSet<(SocketAddr, SocketAddr)>,
    sent_messages: u64,
    planned_fault: Option<PlannedFault>,
}

impl SimulatedNetwork {
    /// A network without processes, with the seeds of these numbers.
    pub fn new(seed: u64, seeds: &[usize]) -> SimulatedNetwork {
        let now = Instant::now();
        SimulatedNetwork {
            now,
            start: now,
            rng: Rng::with_seed(seed),
            largest_message: 0,
            handling_time: Duration::ZERO,
            seeds: seeds.iter().map(|&number| address(number)).collect(),
            processes: BTreeMap::new(),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            scheduled_events: 0,
            last_arrival: HashMap::new(),
            broken_links: HashSet::new(),
            partitioned_zones: HashSet::new(),
            blocked_directions: HashSet::new(),
            sent_messages: 0,
            planned_fault: None,
        }
    }

    /// A fleet whose first processes are the seeds. All start within 300 ms, in random order.
    pub fn fleet(seed: u64, count: usize, zones: usize) -> SimulatedNetwork {
        SimulatedNetwork::fleet_started_within(seed, count, zones, START_WINDOW)
    }

    /// A fleet whose processes start within this time, in random order.
    pub fn fleet_started_within(
        seed: u64,
        count: usize,
        zones: usize,
        within: Duration,
    ) -> SimulatedNetwork {
        let seeds: Vec<_> = (0..count.min(SEEDS)).collect();
        let mut network = SimulatedNetwork::new(seed, &seeds);
        for number in 0..count {
            let delay = ms(network.rng.u64(..within.as_millis() as u64));
            network.add(number, &format!("zone{}", number % zones), delay);
        }
        network
    }

    /// A fleet that has run for 4 s, in which all processes have joined.
    pub fn joined_fleet(seed: u64, count: usize, zones: usize) -> SimulatedNetwork {
        let mut network = SimulatedNetwork::fleet(seed, count, zones);
        network.run_for(JOIN_TIME);
        assert!(network.is_connected() && network.all_joined());
        network
    }

    /// Adds a process, which starts after this time.
    pub fn add(&mut self, number: usize, zone: &str, delay: Duration) {
        let role = if number < SEEDS {
            Role::Controller
        } else {
            Role::Dispatcher
        };
        let member = Member {
            address: address(number),
            incarnation: self.generate_incarnation(),
            role,
            node_name: format!("machine{number}"),
            zone: zone.into(),
        };
        let process = Process::new(self.now, member);
        self.processes.insert(address(number), process);
        self.schedule(self.now + delay, Event::Start(address(number)));
    }

    pub fn publish(&mut self, number: usize, record: Record) {
        let input = Input::Publish {
            record,
            ack_deadline: None,
        };
        self.handle(address(number), input);
    }

    pub fn publish_with_ack(&mut self, number: usize, record: Record, wait: Duration) {
        let input = Input::Publish {
            record,
            ack_deadline: Some(self.now + wait),
        };
        self.handle(address(number), input);
    }

    pub fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        self.run_until(until, |_| false);
    }

    /// Runs until the condition holds; whether it did so before `until`.
    pub fn run_until(
        &mut self,
        until: Instant,
        mut is_done: impl FnMut(&SimulatedNetwork) -> bool,
    ) -> bool {
        if is_done(self) {
            return true;
        }
        let mut last_check = self.now;
        while let Some(&Reverse((at, number))) = self.queue.peek() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(event) = self.events.remove(&number)
                && self.handle_event(event)
                && self.now >= last_check + CHECK_INTERVAL
            {
                last_check = self.now;
                if is_done(self) {
                    return true;
                }
            }
        }
        self.now = until;
        is_done(self)
    }

    fn process(&self, number: usize) -> &Process {
        &self.processes[&address(number)]
    }

    fn process_mut(&mut self, number: usize) -> &mut Process {
        self.processes.get_mut(&address(number)).unwrap()
    }

    fn state(&self, at: SocketAddr) -> Option<ProcessState> {
        self.processes.get(&at).map(|process| process.state)
    }

    fn generate_incarnation(&mut self) -> Incarnation {
        Incarnation::from_number(self.rng.u64(1..)).unwrap()
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.scheduled_events += 1;
        self.queue.push(Reverse((at, self.scheduled_events)));
        self.events.insert(self.scheduled_events, event);
    }

    /// Handles an event; whether a node had an input to handle.
    fn handle_event(&mut self, event: Event) -> bool {
        match event {
            Event::Message {
                from,
                to,
                receiver_incarnation,
                body,
            } => return self.deliver(from, to, receiver_incarnation, body),
            Event::Unreachable { at, peer } => {
                self.broken_links.remove(&(at, peer));
                if self.state(at) == Some(ProcessState::Running) {
                    self.handle(at, Input::Unreachable(peer));
                }
            }
            Event::Wake(at) => {
                let process = &self.processes[&at];
                if process.state != ProcessState::Running || process.wake_at > self.now {
                    return false;
                }
                self.handle(at, Input::Tick);
            }
            Event::Start(at) => self.start_process(at),
        }
        true
    }

    /// Delivers a message; whether it has reached the receiver's machine.
    fn deliver(
        &mut self,
        from: Sender,
        to: SocketAddr,
        receiver_incarnation: Incarnation,
        body: Bytes,
    ) -> bool {
        if self.is_blocked(from.address, to) {
            return false;
        }
        let Some(process) = self.processes.get_mut(&to) else {
            return false;
        };
        if process.member.incarnation != receiver_incarnation {
            self.report_unreachable(from.address, to, RECONNECT_BACKOFF);
            return false;
        }
        match process.state {
            ProcessState::Running => self.receive(to, from, body),
            ProcessState::Frozen => process.inbox.push((from, body)),
            ProcessState::Down | ProcessState::PoweredOff => return false,
        }
        true
    }

    fn start_process(&mut self, at: SocketAddr) {
        let rng_seed = self.rng.u64(..);
        let process = self.processes.get_mut(&at).unwrap();
        let member = process.member.clone();
        process.node = Some(Node::new(self.now, member, &self.seeds, rng_seed));
        process.state = ProcessState::Running;
        process.wake_at = self.now;
        self.schedule(self.now, Event::Wake(at));
    }

    /// Passes a message to a node as the transport does: a new incarnation of the sender is
    /// reported first, and messages of one that has ended are dropped.
    fn receive(&mut self, at: SocketAddr, from: Sender, body: Bytes) {
        let Sender {
            address: peer,
            incarnation,
        } = from;
        let running = self.processes.get(&peer);
        let is_current = running.is_none_or(|process| process.member.incarnation == incarnation);
        let known = self.processes[&at].known_incarnations.get(&peer).copied();
        if known.is_some_and(|known| known != incarnation) {
            if !is_current {
                return;
            }
            self.handle(at, Input::Restarted { peer, incarnation });
        }
        let process = self.processes.get_mut(&at).unwrap();
        process.known_incarnations.insert(peer, incarnation);
        self.handle(at, Input::Received { from: peer, body });
    }

    /// Passes an input to a node and carries out its effects.
    fn handle(&mut self, at: SocketAddr, input: Input) {
        let now = self.now;
        let process = self.processes.get_mut(&at).unwrap();
        let node = process.node.as_mut().unwrap();
        let started = std::time::Instant::now();
        let effects = node.handle(now, input);
        self.handling_time += started.elapsed();
        let deadline = node.deadline();
        process.wake_at = deadline;
        let mut sends = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send { to, body } => {
                    process.sent_bytes += (body.len() + FRAME_HEADER_BYTES) as u64;
                    process.sent_messages += 1;
                    sends.push((to, body));
                }
                Effect::Applied(record) => process.history.push(AppliedVersion {
                    key: record.key.clone(),
                    version: record.version,
                }),
                Effect::Acknowledged(_) => process.acknowledged += 1,
                Effect::Malformed(_) => (),
            }
        }
        self.schedule(deadline.max(now), Event::Wake(at));
        for (to, body) in sends {
            self.send(at, to, body);
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, body: Bytes) {
        self.sent_messages += 1;
        self.largest_message = self.largest_message.max(body.len());
        let planned = self.planned_fault;
        let planned = planned.filter(|planned| planned.message == self.sent_messages);
        let fault = planned.map(|planned| planned.fault);
        let delay = self.random_delay(from, to);
        if self.broken_links.contains(&(from, to)) {
            // The transport has not noticed yet that the connection is broken; what is queued for
            // it is lost with it.
            return;
        }
        match self.state(to) {
            None | Some(ProcessState::PoweredOff) => {
                return self.report_unreachable(from, to, TRANSPORT_TIMEOUT);
            }
            Some(_) if self.is_blocked(from, to) => {
                return self.report_unreachable(from, to, TRANSPORT_TIMEOUT);
            }
            Some(ProcessState::Down) => {
                return self.report_unreachable(from, to, delay * 2 + RECONNECT_BACKOFF);
            }
            Some(ProcessState::Running | ProcessState::Frozen) => (),
        }
        let arrival = match fault {
            Some(MessageFault::Drop) => return,
            Some(MessageFault::Delay(additional)) => self.now + delay + additional,
            _ => self.next_arrival(from, to, delay),
        };
        let body = match fault {
            Some(MessageFault::FlipBit(bit)) => flip_bit(&body, bit),
            _ => body,
        };
        if fault == Some(MessageFault::Duplicate) {
            self.schedule_message(arrival + DUPLICATE_DELAY, from, to, body.clone());
        }
        self.schedule_message(arrival, from, to, body);
    }

    /// When a message arrives: after the delay, and after all earlier messages on the link.
    fn next_arrival(&mut self, from: SocketAddr, to: SocketAddr, delay: Duration) -> Instant {
        let last = self.last_arrival.entry((from, to)).or_insert(self.now);
        let arrival = (self.now + delay).max(*last + Duration::from_micros(1));
        *last = arrival;
        arrival
    }

    fn schedule_message(&mut self, at: Instant, from: SocketAddr, to: SocketAddr, body: Bytes) {
        let message = Event::Message {
            from: self.processes[&from].sender(),
            to,
            receiver_incarnation: self.processes[&to].member.incarnation,
            body,
        };
        self.schedule(at, message);
    }

    fn report_unreachable(&mut self, from: SocketAddr, to: SocketAddr, after: Duration) {
        if self.broken_links.insert((from, to)) {
            let event = Event::Unreachable { at: from, peer: to };
            self.schedule(self.now + after, event);
        }
    }

    fn random_delay(&mut self, from: SocketAddr, to: SocketAddr) -> Duration {
        let base = if self.zone_of(from) == self.zone_of(to) {
            DELAY_WITHIN_ZONE_US
        } else {
            DELAY_BETWEEN_ZONES_US
        };
        Duration::from_micros(base + self.rng.u64(..base))
    }

    fn zone_of(&self, at: SocketAddr) -> Option<&String> {
        self.processes.get(&at).map(|process| &process.member.zone)
    }

    fn is_blocked(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let (from_zone, to_zone) = (self.zone_of(from), self.zone_of(to));
        let is_partitioned =
            |zone: Option<&String>| zone.is_some_and(|zone| self.partitioned_zones.contains(zone));
        let crosses_partition =
            from_zone != to_zone && (is_partitioned(from_zone) || is_partitioned(to_zone));
        crosses_partition || self.blocked_directions.contains(&(from, to))
    }
}
