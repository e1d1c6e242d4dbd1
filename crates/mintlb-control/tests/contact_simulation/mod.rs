//! Controllers that ping each other in virtual time, over links that can be partitioned in one
//! direction and that deliver what was sent meanwhile later; processes that are paused and then
//! read what has queued up.

use mintlb_control::controller::contact::messages::{Ping, Pong};
use mintlb_control::controller::contact::ping_state::{PingState, STEP};
use mintlb_control::controller::contact::quorum_contact::CONTACT_LEASE;
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The step of virtual time.
pub const TICK: Duration = Duration::from_millis(10);
/// The longest delay of a message on a connected link.
const MAX_DELAY_TICKS: u64 = 3;

enum Message {
    Ping(Ping),
    Pong { ping_sent_at: Instant, pong: Pong },
}

struct InFlight {
    due: Instant,
    from: usize,
    to: usize,
    message: Message,
}

/// A controller; it has a replica if its index is below the size of the set.
struct Node {
    state: PingState,
    paused: bool,
    next_step: Instant,
    steps: u32,
}

/// The controllers.
pub struct Simulation {
    pub now: Instant,
    pub set: ReplicaSet,
    /// Whether messages from one controller to another are held back.
    pub partitioned: Vec<Vec<bool>>,
    /// When such a message could last be delivered.
    last_connected: Vec<Vec<Instant>>,
    nodes: Vec<Node>,
    messages: Vec<InFlight>,
    random: fastrand::Rng,
    /// The first violated invariant.
    pub violation: Option<String>,
    /// The largest number of leaders at one moment.
    pub max_leaders: usize,
    /// How often a controller was in contact.
    pub in_contact: usize,
}

fn address(index: usize) -> SocketAddr {
    format!("10.0.0.{}:7661", index + 1).parse().unwrap()
}

fn id(index: usize) -> u64 {
    index as u64 + 100
}

impl Simulation {
    /// This many replicas, and after them this many controllers without one.
    pub fn new(replicas: usize, others: usize, seed: u64) -> Simulation {
        let mut random = fastrand::Rng::with_seed(seed);
        let now = Instant::now();
        let replica = |index| Replica {
            id: ReplicaId(id(index)),
            address: address(index).to_string(),
            node_name: format!("edge-{index}"),
            zone: String::new(),
            region: None,
            counts_toward_quorum: None,
        };
        let set = ReplicaSet {
            epoch: 1,
            previous: Vec::new(),
            current: (0..replicas).map(replica).collect(),
            tolerance: None,
        };
        let count = replicas + others;
        let mut node = |index: usize| {
            let own = (index < replicas).then(|| ReplicaId(id(index)));
            let state = PingState::new(now, own, address(index), random.u64(..));
            let next_step = now + TICK * (index as u32 * 7 % 30);
            Node {
                state,
                paused: false,
                next_step,
                steps: 0,
            }
        };
        let nodes = (0..count).map(&mut node).collect();
        Simulation {
            now,
            set,
            partitioned: vec![vec![false; count]; count],
            last_connected: vec![vec![now; count]; count],
            nodes,
            messages: Vec::new(),
            random,
            violation: None,
            max_leaders: 0,
            in_contact: 0,
        }
    }

    /// The number of controllers.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// Partitions or connects the links from these controllers to those.
    pub fn set_partitioned(&mut self, from: &[usize], to: &[usize], partitioned: bool) {
        for &a in from {
            to.iter()
                .filter(|b| **b != a)
                .for_each(|&b| self.partitioned[a][b] = partitioned);
        }
    }

    /// Pauses or resumes a process.
    pub fn set_paused(&mut self, index: usize, paused: bool) {
        self.nodes[index].paused = paused;
        // The first question after the pause comes before it has read or done anything.
        self.check(index);
    }

    /// Whether a controller is in contact by its own account now.
    pub fn is_in_contact(&self, index: usize) -> bool {
        self.nodes[index]
            .state
            .peers
            .is_in_contact(self.now, &self.set)
    }

    /// The leaders now.
    pub fn leaders(&self) -> Vec<usize> {
        let leads = |index: &usize| {
            let node = &self.nodes[*index];
            !node.paused && node.state.peers.leader_epoch(self.now, &self.set).is_some()
        };
        (0..self.count()).filter(leads).collect()
    }

    /// Runs for this time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end && self.violation.is_none() {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        for a in 0..self.count() {
            for b in 0..self.count() {
                if !self.partitioned[a][b] && !self.nodes[a].paused && !self.nodes[b].paused {
                    self.last_connected[a][b] = self.now;
                }
            }
        }
        self.deliver();
        for index in 0..self.count() {
            if !self.nodes[index].paused && self.now >= self.nodes[index].next_step {
                self.step(index);
            }
            self.check(index);
        }
        self.max_leaders = self.max_leaders.max(self.leaders().len());
    }

    /// Delivers what is due where the link is connected and the receiver runs; the rest stays
    /// queued.
    fn deliver(&mut self) {
        let mut queued = Vec::new();
        for message in std::mem::take(&mut self.messages) {
            let arrives = message.due <= self.now
                && !self.partitioned[message.from][message.to]
                && !self.nodes[message.to].paused;
            match arrives {
                true => self.receive(message),
                false => queued.push(message),
            }
        }
        self.messages.extend(queued);
    }

    fn receive(&mut self, message: InFlight) {
        let (now, from, to) = (self.now, message.from, message.to);
        let set = self.set.clone();
        let state = &mut self.nodes[to].state;
        match message.message {
            Message::Ping(ping) => {
                let sent_at = message.due;
                let pong = state.on_ping(now, address(from), ping, Some(&set));
                // The sender of the ping knows when it sent it; here that is its due time less the
                // longest delay.
                let ping_sent_at = sent_at - TICK * MAX_DELAY_TICKS as u32;
                self.send(to, from, Message::Pong { ping_sent_at, pong });
            }
            Message::Pong { ping_sent_at, pong } => {
                state.on_pong(now, address(from), ping_sent_at, pong)
            }
        }
        self.check(to);
    }

    fn step(&mut self, index: usize) {
        let (now, set) = (self.now, self.set.clone());
        let node = &mut self.nodes[index];
        node.next_step = now + STEP;
        node.steps += 1;
        let mut pings = Vec::new();
        if node.state.is_member(&set) || node.steps.is_multiple_of(2) {
            for target in node.state.targets(now, &set) {
                pings.push((target, node.state.ping(now, target, &set)));
            }
        }
        node.state.peers.step(now, &set);
        for (target, ping) in pings {
            let to = (0..self.count()).find(|to| address(*to) == target).unwrap();
            self.send(index, to, Message::Ping(ping));
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let due = self.now + TICK * (1 + self.random_below(MAX_DELAY_TICKS)) as u32;
        self.messages.push(InFlight {
            due,
            from,
            to,
            message,
        });
    }

    /// A random number below `limit`.
    pub fn random_below(&mut self, limit: u64) -> u64 {
        self.random.u64(0..limit)
    }

    /// The invariants: a process in contact could reach a majority, there and back, within the
    /// lease; a leader is in contact; a process out of contact reports no replica unresponsive.
    fn check(&mut self, index: usize) {
        if self.nodes[index].paused {
            return;
        }
        let (now, peers) = (self.now, &self.nodes[index].state.peers);
        let in_contact = peers.is_in_contact(now, &self.set);
        let leads_or_reports = peers.leader_epoch(now, &self.set).is_some()
            || !peers.unresponsive(now, &self.set).is_empty();
        let is_recent = |at: Instant| {
            now.saturating_duration_since(at) < CONTACT_LEASE + TICK * MAX_DELAY_TICKS as u32
        };
        let reachable = |other: ReplicaId| {
            let other = (other.0 - 100) as usize;
            other == index
                || (is_recent(self.last_connected[index][other])
                    && is_recent(self.last_connected[other][index]))
        };
        let reaches_majority = self.set.is_quorum(reachable);
        if in_contact && !reaches_majority {
            self.violation.get_or_insert(format!(
                "controller {index} is in contact by its own account and reaches no majority"
            ));
        }
        if leads_or_reports && !in_contact {
            self.violation.get_or_insert(format!(
                "controller {index} is out of contact, and leads or reports unresponsive replicas"
            ));
        }
        self.in_contact += usize::from(in_contact);
    }
}
