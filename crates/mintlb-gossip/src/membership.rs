//! Who is whose neighbour: the active view of a few neighbours and the passive view of others heard of.
//!
//! A link is symmetrical: one side asks, the other accepts or refuses. A process that lacks neighbours asks processes
//! out of its passive view; the seeds are asked while the view is empty or nothing better is known. Neighbours that
//! fell silent are remembered and probed, so that the two sides of a cut find each other again. The seeds themselves
//! always hold on to each other, so that whoever comes in by one of them comes into one overlay.

mod candidates;

use crate::effects::Effects;
use crate::message::{Member, Message};
use crate::random::Random;
use candidates::{LostNeighbor, Seed};
use minicbor::{Decode, Encode};
use mintlb_common::incarnation::Incarnation;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How many neighbours a process looks for.
pub const ACTIVE_VIEW_TARGET: usize = 4;
/// How many neighbours a process has at most.
pub const ACTIVE_VIEW_CAPACITY: usize = 6;
/// How many processes the passive view holds at most.
pub const PASSIVE_VIEW_CAPACITY: usize = 30;
/// A neighbour that has said nothing for so long is dropped.
pub const NEIGHBOR_TIMEOUT: Duration = Duration::from_millis(1300);
/// How long a process that was asked to become a neighbour has to answer.
pub const NEIGHBOR_REQUEST_TIMEOUT: Duration = Duration::from_millis(800);
/// How often entries of the passive view are exchanged.
pub const SHUFFLE_INTERVAL: Duration = Duration::from_secs(2);
/// How often a neighbour that fell silent is looked for, one at a time.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How often a controller probes a seed that is no neighbour.
pub const SEED_PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// Members that nobody has heard from for so long are not reported.
pub const MEMBER_TIMEOUT: Duration = Duration::from_secs(60);

/// A tick that comes so much late tells that this process itself stood still.
const STALL_THRESHOLD: Duration = Duration::from_millis(600);
/// How many entries go with a message.
const SHUFFLE_SAMPLE: usize = 7;
/// After so many refusals in a row a process that lacks neighbours asks urgently.
const HIGH_PRIORITY_AFTER_REJECTIONS: u32 = 4;
/// A connection that breaks again within this time is taken for a dead neighbour.
const RECONNECT_WINDOW: Duration = Duration::from_secs(1);
/// How many failed processes are remembered, so that stale hearsay of them is ignored.
const MAX_RECENT_FAILURES: usize = 64;
/// How many ended lives are remembered for the same reason.
const MAX_ENDED_INCARNATIONS: usize = 64;

/// A member and how long ago it was heard from.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MemberDescriptor {
    /// The member.
    #[n(0)]
    pub member: Member,
    /// Seconds since some process heard from it, rounded up.
    #[n(1)]
    pub age_s: u32,
}

/// Asks to become a neighbour.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct NeighborRequest {
    /// The sender.
    #[n(0)]
    pub member: Member,
    /// The sender lacks neighbours and was refused by others, or finds one again: the receiver is to make room.
    #[n(1)]
    pub high_priority: bool,
    /// Others that the sender has heard of.
    #[n(2)]
    pub sample: Vec<MemberDescriptor>,
}

/// The answer to a request to become a neighbour.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct NeighborReply {
    /// The sender.
    #[n(0)]
    pub member: Member,
    /// Others that the sender has heard of.
    #[n(1)]
    pub sample: Vec<MemberDescriptor>,
    /// Neighbours that the sender has lost lately, and when: they may be on the other side of a cut, which a newcomer reaches.
    #[n(2)]
    pub lost_neighbors: Vec<MemberDescriptor>,
}

/// Entries of the sender's views.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Shuffle {
    /// The entries.
    #[n(0)]
    pub entries: Vec<MemberDescriptor>,
}

/// A question to a process that is no neighbour, and the answer to it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Probe {
    /// The sender.
    #[n(0)]
    pub member: Member,
    /// The hash of the sender's table.
    #[n(1)]
    pub table_hash: u64,
}

/// What changed with a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A neighbour is new, or new at its address.
    Up(SocketAddr),
    /// A neighbour is none any more.
    Down(SocketAddr),
    /// Messages on the link were lost; it is to be compared again.
    Broken(SocketAddr),
}

#[derive(Clone, Debug)]
struct ActiveEntry {
    member: Member,
    last_received: Instant,
    broken_at: Option<Instant>,
}

#[derive(Clone, Debug)]
struct PassiveEntry {
    member: Member,
    last_received: Instant,
    /// Not asked before then.
    retry_after: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    to: SocketAddr,
    until: Instant,
}

/// The seconds since then, rounded up.
fn age_s(now: Instant, then: Instant) -> u32 {
    (now.saturating_duration_since(then).as_millis() as u32).div_ceil(1000)
}

/// The views of one process.
#[derive(Debug)]
pub struct Membership {
    own: Member,
    active: Vec<ActiveEntry>,
    passive: Vec<PassiveEntry>,
    seeds: Vec<Seed>,
    is_seed: bool,
    requests: Vec<Request>,
    lost_neighbors: VecDeque<LostNeighbor>,
    recent_failures: VecDeque<(SocketAddr, Instant)>,
    /// Lives that have ended, as their successors have shown.
    ended_incarnations: VecDeque<(SocketAddr, Incarnation)>,
    rejections: u32,
    ticked: Instant,
    shuffle_at: Instant,
    probe_at: Instant,
    seed_probe_at: Instant,
    random: Random,
    changes: Vec<MembershipChange>,
}

impl Membership {
    /// The views of a process that knows nobody but the seeds.
    pub fn new(now: Instant, own: Member, seeds: &[SocketAddr], mut random: Random) -> Membership {
        let is_seed = seeds.contains(&own.address);
        let others = seeds.iter().filter(|&&seed| seed != own.address);
        let phase = Duration::from_millis(random.below(1000) as u64);
        Membership {
            active: Vec::new(),
            passive: Vec::new(),
            seeds: others
                .map(|&address| Seed {
                    address,
                    failures: 0,
                    retry_after: now,
                })
                .collect(),
            is_seed,
            requests: Vec::new(),
            lost_neighbors: VecDeque::new(),
            recent_failures: VecDeque::new(),
            ended_incarnations: VecDeque::new(),
            rejections: 0,
            ticked: now,
            shuffle_at: now + phase,
            probe_at: now + phase,
            seed_probe_at: now + SEED_PROBE_INTERVAL + phase,
            random,
            changes: Vec::new(),
            own,
        }
    }

    /// The process itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// The addresses of the neighbours.
    pub fn neighbors(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.active.iter().map(|neighbor| neighbor.member.address)
    }

    /// Whether this process is a neighbour.
    pub fn is_neighbor(&self, address: SocketAddr) -> bool {
        self.active
            .iter()
            .any(|neighbor| neighbor.member.address == address)
    }

    /// The neighbours and the others that were heard of recently.
    pub fn members(&self, now: Instant) -> Vec<Member> {
        let active = self.active.iter().map(|neighbor| &neighbor.member);
        let recent = self
            .passive
            .iter()
            .filter(|other| now < other.last_received + MEMBER_TIMEOUT);
        active
            .chain(recent.map(|other| &other.member))
            .cloned()
            .collect()
    }

    /// How many processes the passive view holds.
    pub fn passive_len(&self) -> usize {
        self.passive.len()
    }

    /// What changed with the links since the last call.
    pub fn take_changes(&mut self) -> Vec<MembershipChange> {
        std::mem::take(&mut self.changes)
    }

    /// Whether this life of a process is a neighbour.
    fn is_same_neighbor(&self, member: &Member) -> bool {
        let same = |n: &ActiveEntry| {
            (n.member.address, n.member.incarnation) == (member.address, member.incarnation)
        };
        self.active.iter().any(same)
    }

    /// Anything from a neighbour is a sign of life.
    pub fn on_received_from(&mut self, now: Instant, from: SocketAddr) {
        if let Some(neighbor) = self.active.iter_mut().find(|n| n.member.address == from) {
            neighbor.last_received = now;
        }
    }

    /// A process that takes this one for its neighbour is told if it isn't so.
    pub fn require_neighbor(&mut self, from: SocketAddr, effects: &mut Effects) -> bool {
        let known = self.is_neighbor(from);
        if !known && !self.is_pending(from) {
            effects.send(from, &Message::Disconnect);
        }
        known
    }

    /// Another process wants to be a neighbour.
    pub fn on_neighbor_request(
        &mut self,
        now: Instant,
        from: SocketAddr,
        request: NeighborRequest,
        effects: &mut Effects,
    ) {
        if request.member.address != from || from == self.own.address {
            return;
        }
        self.merge_descriptors(now, request.sample);
        if !self.is_neighbor(from) && self.active.len() >= ACTIVE_VIEW_CAPACITY {
            if !request.high_priority {
                let reply = self.reply(now, from);
                self.on_direct_contact(now, request.member);
                return effects.send(from, &Message::NeighborRejected(reply));
            }
            self.evict(now, effects);
        }
        let reply = self.reply(now, from);
        effects.send(from, &Message::NeighborAccepted(reply));
        self.add(now, request.member);
    }

    /// Another process has become a neighbour.
    pub fn on_neighbor_accepted(
        &mut self,
        now: Instant,
        from: SocketAddr,
        reply: NeighborReply,
        effects: &mut Effects,
    ) {
        let is_pending_request = self.is_pending(from);
        self.requests.retain(|request| request.to != from);
        self.merge_descriptors(now, reply.sample);
        self.adopt_lost_neighbors(now, reply.lost_neighbors);
        if reply.member.address != from || self.is_same_neighbor(&reply.member) {
            return;
        }
        if !is_pending_request {
            self.on_direct_contact(now, reply.member);
            return effects.send(from, &Message::Disconnect);
        }
        self.reset_seed_backoff(from);
        if self.active.len() >= ACTIVE_VIEW_CAPACITY {
            self.evict(now, effects);
        }
        self.add(now, reply.member);
    }

    /// Another process has no room for a neighbour.
    pub fn on_neighbor_rejected(
        &mut self,
        now: Instant,
        from: SocketAddr,
        reply: NeighborReply,
        effects: &mut Effects,
    ) {
        self.requests.retain(|request| request.to != from);
        self.rejections += 1;
        self.merge_descriptors(now, reply.sample);
        self.adopt_lost_neighbors(now, reply.lost_neighbors);
        if reply.member.address == from {
            self.on_direct_contact(now, reply.member);
        }
        self.back_off(now, from);
        self.fill_active_view(now, effects);
    }

    /// Another process takes this one for no neighbour.
    pub fn on_disconnect(&mut self, now: Instant, from: SocketAddr, effects: &mut Effects) {
        if let Some(member) = self.remove(from) {
            self.add_to_passive(now, member, now);
            self.fill_active_view(now, effects);
        }
    }

    /// Entries of a neighbour's views; answers with as many if asked to.
    pub fn on_shuffle(
        &mut self,
        now: Instant,
        from: SocketAddr,
        shuffle: Shuffle,
        reply: bool,
        effects: &mut Effects,
    ) {
        if reply {
            let reply = Shuffle {
                entries: self.sample(now, from),
            };
            effects.send(from, &Message::ShuffleReply(reply));
        }
        self.merge_descriptors(now, shuffle.entries);
    }

    /// Another life is at the address: what was known of the former one holds no more.
    pub fn on_restarted(
        &mut self,
        now: Instant,
        address: SocketAddr,
        incarnation: Incarnation,
        effects: &mut Effects,
    ) {
        self.requests.retain(|request| request.to != address);
        self.supersede_incarnation(now, address, incarnation);
        self.fill_active_view(now, effects);
    }

    /// A process can't be reached, or messages to it were lost.
    pub fn on_unreachable(&mut self, now: Instant, peer: SocketAddr, effects: &mut Effects) {
        if self.is_pending(peer) {
            self.requests.retain(|request| request.to != peer);
            self.on_request_failed(now, peer);
            if !self.active.is_empty() {
                self.fill_active_view(now, effects);
            }
        }
        let Some(neighbor) = self.active.iter_mut().find(|n| n.member.address == peer) else {
            return;
        };
        if neighbor
            .broken_at
            .is_some_and(|broken_at| now < broken_at + RECONNECT_WINDOW)
        {
            self.on_neighbor_lost(now, peer);
            self.fill_active_view(now, effects);
        } else {
            neighbor.broken_at = Some(now);
            self.changes.push(MembershipChange::Broken(peer));
        }
    }

    /// The regular look at the clock.
    pub fn tick(
        &mut self,
        now: Instant,
        interval: Duration,
        table_hash: u64,
        effects: &mut Effects,
    ) {
        if now > self.ticked + interval + STALL_THRESHOLD {
            self.on_stall(now);
        }
        self.ticked = now;
        self.drop_timed_out_neighbors(now, effects);
        self.expire_requests(now);
        self.fill_active_view(now, effects);
        if now >= self.shuffle_at {
            self.shuffle_at = now + SHUFFLE_INTERVAL;
            self.shuffle(now, effects);
        }
        self.send_probes(now, table_hash, effects);
    }

    /// This process stood still: its neighbours get the time to be heard again.
    fn on_stall(&mut self, now: Instant) {
        log::info!(
            "gossip: stood still, {} neighbours to hear from",
            self.active.len()
        );
        for neighbor in &mut self.active {
            neighbor.last_received = neighbor.last_received.max(now - NEIGHBOR_TIMEOUT / 2);
            self.changes
                .push(MembershipChange::Broken(neighbor.member.address));
        }
        self.requests
            .iter_mut()
            .for_each(|request| request.until = now + NEIGHBOR_REQUEST_TIMEOUT / 2);
    }

    fn drop_timed_out_neighbors(&mut self, now: Instant, effects: &mut Effects) {
        let silent = self
            .active
            .iter()
            .filter(|n| now > n.last_received + NEIGHBOR_TIMEOUT)
            .map(|n| n.member.address);
        for address in silent.collect::<Vec<_>>() {
            effects.send(address, &Message::Disconnect);
            self.on_neighbor_lost(now, address);
        }
    }

    fn expire_requests(&mut self, now: Instant) {
        let late: Vec<_> = self
            .requests
            .iter()
            .filter(|r| now >= r.until)
            .map(|r| r.to)
            .collect();
        self.requests.retain(|request| now < request.until);
        late.into_iter()
            .for_each(|address| self.on_request_failed(now, address));
    }

    fn shuffle(&mut self, now: Instant, effects: &mut Effects) {
        let neighbors: Vec<_> = self.neighbors().collect();
        if let Some(to) = self.random.pick(&neighbors) {
            let entries = self.sample(now, to);
            effects.send(to, &Message::Shuffle(Shuffle { entries }));
        }
    }

    /// Itself and some of whom it knows, neighbours and others.
    fn sample(&mut self, now: Instant, to: SocketAddr) -> Vec<MemberDescriptor> {
        let age = |last_received| age_s(now, last_received);
        let active = self.active.iter().map(|n| MemberDescriptor {
            member: n.member.clone(),
            age_s: age(n.last_received),
        });
        let passive = self.passive.iter().map(|o| MemberDescriptor {
            member: o.member.clone(),
            age_s: age(o.last_received),
        });
        let mut active: Vec<_> = active
            .filter(|last_received| last_received.member.address != to)
            .collect();
        let mut passive: Vec<_> = passive
            .filter(|last_received| last_received.member.address != to)
            .collect();
        self.random.shuffle(&mut active);
        self.random.shuffle(&mut passive);
        active.truncate((SHUFFLE_SAMPLE / 2).max(SHUFFLE_SAMPLE.saturating_sub(passive.len())));
        passive.truncate(SHUFFLE_SAMPLE - active.len().min(SHUFFLE_SAMPLE));
        active.append(&mut passive);
        active.push(MemberDescriptor {
            member: self.own.clone(),
            age_s: 0,
        });
        active
    }

    fn add(&mut self, now: Instant, member: Member) {
        let address = member.address;
        self.supersede_incarnation(now, address, member.incarnation);
        self.passive.retain(|other| other.member.address != address);
        self.lost_neighbors
            .retain(|lost_neighbors| lost_neighbors.member.address != address);
        self.recent_failures
            .retain(|&(recent_failures, _)| recent_failures != address);
        self.requests.retain(|request| request.to != address);
        self.rejections = 0;
        let neighbor = ActiveEntry {
            member,
            last_received: now,
            broken_at: None,
        };
        match self.active.iter_mut().find(|n| n.member.address == address) {
            Some(known) => *known = neighbor,
            None => self.active.push(neighbor),
        }
        self.changes.push(MembershipChange::Up(address));
    }

    fn remove(&mut self, address: SocketAddr) -> Option<Member> {
        let at = self
            .active
            .iter()
            .position(|n| n.member.address == address)?;
        self.changes.push(MembershipChange::Down(address));
        Some(self.active.swap_remove(at).member)
    }

    /// Makes room for an urgent neighbour.
    fn evict(&mut self, now: Instant, effects: &mut Effects) {
        let mut open: Vec<_> = self
            .neighbors()
            .filter(|&address| !self.is_protected(address))
            .collect();
        if open.is_empty() {
            open = self.neighbors().collect();
        }
        if let Some(address) = self.random.pick(&open) {
            effects.send(address, &Message::Disconnect);
            let member = self.remove(address);
            member
                .into_iter()
                .for_each(|member| self.add_to_passive(now, member, now));
        }
    }

    /// A link between seeds, or the only one into another zone.
    fn is_protected(&self, address: SocketAddr) -> bool {
        let foreign = |neighbor: &&ActiveEntry| neighbor.member.zone != self.own.zone;
        let mut others = self.active.iter().filter(foreign);
        let only = others.next().filter(|_| others.next().is_none());
        self.is_seed_link(address) || only.is_some_and(|only| only.member.address == address)
    }
}
