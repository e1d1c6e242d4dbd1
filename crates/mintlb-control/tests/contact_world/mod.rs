//! Controllers that ping each other in virtual time, over links that can be cut in one direction and that keep what was
//! sent meanwhile; processes that stand still and then read what has piled up.

use mintlb_control::controller::contact::messages::{Ping, Pong};
use mintlb_control::controller::contact::ping_state::{PingState, STEP};
use mintlb_control::controller::contact::quorum_contact::CONTACT_LEASE;
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The world goes on by this much.
pub const TICK: Duration = Duration::from_millis(10);
/// A message on a whole link takes up to so many ticks.
const MOST_DELAY: u64 = 3;

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

/// A controller, with a replica in the set if its place is below the set's size.
struct Node {
    state: PingState,
    frozen: bool,
    next_step: Instant,
    steps: u32,
}

/// The controllers.
pub struct World {
    pub now: Instant,
    pub set: ReplicaSet,
    /// Whether messages from one place to another arrive.
    pub cut: Vec<Vec<bool>>,
    /// When such a message could arrive last.
    linked_at: Vec<Vec<Instant>>,
    nodes: Vec<Node>,
    messages: Vec<InFlight>,
    rng_state: u64,
    /// What was broken first.
    pub broken: Option<String>,
    /// The most that had the duties at one moment.
    pub most_holders: usize,
    /// Questions asked whose answer was "in contact".
    pub in_contact: usize,
}

fn address(place: usize) -> SocketAddr {
    format!("10.0.0.{}:7661", place + 1).parse().unwrap()
}

fn id(place: usize) -> u64 {
    place as u64 + 100
}

impl World {
    /// So many replicas, and after them so many controllers without one.
    pub fn new(replicas: usize, others: usize, rng_state: u64) -> World {
        let now = Instant::now();
        let replica = |place| Replica {
            id: ReplicaId(id(place)),
            address: address(place).to_string(),
            node_name: format!("edge-{place}"),
            zone: String::new(),
        };
        let set = ReplicaSet {
            epoch: 1,
            previous: Vec::new(),
            current: (0..replicas).map(replica).collect(),
        };
        let count = replicas + others;
        let node = |place: usize| {
            let own = (place < replicas).then(|| ReplicaId(id(place)));
            let state = PingState::new(
                now,
                own,
                address(place),
                rng_state.wrapping_mul(place as u64 + 7),
            );
            let next_step = now + TICK * (place as u32 * 7 % 30);
            Node {
                state,
                frozen: false,
                next_step,
                steps: 0,
            }
        };
        World {
            now,
            set,
            cut: vec![vec![false; count]; count],
            linked_at: vec![vec![now; count]; count],
            nodes: (0..count).map(node).collect(),
            messages: Vec::new(),
            rng_state: rng_state | 1,
            broken: None,
            most_holders: 0,
            in_contact: 0,
        }
    }

    /// How many controllers there are.
    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    /// Cuts or joins the links between these places and these others, from the first to the second ones.
    pub fn set_cut(&mut self, from: &[usize], to: &[usize], cut: bool) {
        for &a in from {
            to.iter()
                .filter(|b| **b != a)
                .for_each(|&b| self.cut[a][b] = cut);
        }
    }

    /// Stops a process, or lets it run on.
    pub fn set_frozen(&mut self, place: usize, frozen: bool) {
        self.nodes[place].frozen = frozen;
        // The first question after it woke is asked before it has read or done anything.
        self.check(place);
    }

    /// Whether a controller says now that it is in contact.
    pub fn is_in_contact(&self, place: usize) -> bool {
        self.nodes[place]
            .state
            .peers
            .is_in_contact(self.now, &self.set)
    }

    /// Who has the duties now.
    pub fn holders(&self) -> Vec<usize> {
        let leader_epoch = |place: &usize| {
            let node = &self.nodes[*place];
            !node.frozen && node.state.peers.leader_epoch(self.now, &self.set).is_some()
        };
        (0..self.count()).filter(leader_epoch).collect()
    }

    /// Goes on for a while.
    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end && self.broken.is_none() {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        for a in 0..self.count() {
            for b in 0..self.count() {
                if !self.cut[a][b] && !self.nodes[a].frozen && !self.nodes[b].frozen {
                    self.linked_at[a][b] = self.now;
                }
            }
        }
        self.deliver();
        for place in 0..self.count() {
            if !self.nodes[place].frozen && self.now >= self.nodes[place].next_step {
                self.step(place);
            }
            self.check(place);
        }
        self.most_holders = self.most_holders.max(self.holders().len());
    }

    /// What is due arrives where the link is whole and the receiver runs; the rest waits.
    fn deliver(&mut self) {
        let mut waiting = Vec::new();
        for message in std::mem::take(&mut self.messages) {
            let arrives = message.due <= self.now
                && !self.cut[message.from][message.to]
                && !self.nodes[message.to].frozen;
            match arrives {
                true => self.receive(message),
                false => waiting.push(message),
            }
        }
        self.messages.extend(waiting);
    }

    fn receive(&mut self, message: InFlight) {
        let (now, from, to) = (self.now, message.from, message.to);
        let set = self.set.clone();
        let state = &mut self.nodes[to].state;
        match message.message {
            Message::Ping(ping) => {
                let sent_at = message.due;
                let pong = state.on_ping(now, address(from), ping, Some(&set));
                // The asker knows when it sent the ping; here that is its due time less the delay at most.
                let ping_sent_at = sent_at - TICK * MOST_DELAY as u32;
                self.send(to, from, Message::Pong { ping_sent_at, pong });
            }
            Message::Pong { ping_sent_at, pong } => {
                state.on_pong(now, address(from), ping_sent_at, pong)
            }
        }
        self.check(to);
    }

    fn step(&mut self, place: usize) {
        let (now, set) = (self.now, self.set.clone());
        let node = &mut self.nodes[place];
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
            self.send(place, to, Message::Ping(ping));
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let due = self.now + TICK * (1 + self.roll(MOST_DELAY)) as u32;
        self.messages.push(InFlight {
            due,
            from,
            to,
            message,
        });
    }

    /// A number from 0 to below `most` (xorshift).
    pub fn roll(&mut self, most: u64) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        (self.rng_state >> 20) % most
    }

    /// Who says that it is in contact could reach a majority there and back within the lease; who has the duties is in
    /// contact; who is not calls nobody silent.
    fn check(&mut self, place: usize) {
        if self.nodes[place].frozen {
            return;
        }
        let (now, peers) = (self.now, &self.nodes[place].state.peers);
        let in_contact = peers.is_in_contact(now, &self.set);
        let has_more = peers.leader_epoch(now, &self.set).is_some()
            || !peers.unresponsive(now, &self.set).is_empty();
        let lately = |at: Instant| {
            now.saturating_duration_since(at) < CONTACT_LEASE + TICK * MOST_DELAY as u32
        };
        let reachable = |other: ReplicaId| {
            let other = (other.0 - 100) as usize;
            other == place
                || (lately(self.linked_at[place][other]) && lately(self.linked_at[other][place]))
        };
        let could = self.set.is_quorum(reachable);
        if in_contact && !could {
            self.broken.get_or_insert(format!(
                "{place} says that it is in contact and reaches no majority"
            ));
        }
        if has_more && !in_contact {
            self.broken.get_or_insert(format!(
                "{place} is out of contact, with duties or silent replicas"
            ));
        }
        self.in_contact += usize::from(in_contact);
    }
}
