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
use candidates::{Lost, Seed};
use minicbor::{Decode, Encode};
use mintlb_common::incarnation::Incarnation;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How many neighbours a process looks for.
pub const WANTED_NEIGHBOURS: usize = 4;
/// How many neighbours a process has at most.
pub const MOST_NEIGHBOURS: usize = 6;
/// How many processes the passive view holds at most.
pub const PASSIVE_VIEW: usize = 30;
/// A neighbour that has said nothing for so long is dropped.
pub const SILENCE: Duration = Duration::from_millis(1300);
/// How long a process that was asked to become a neighbour has to answer.
pub const ANSWER_TIME: Duration = Duration::from_millis(800);
/// How often entries of the passive view are exchanged.
pub const SHUFFLE_INTERVAL: Duration = Duration::from_secs(2);
/// How often a neighbour that fell silent is looked for, one at a time.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How often a controller probes a seed that is no neighbour.
pub const SEED_PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// Members that nobody has heard from for so long are not reported.
pub const RECENT: Duration = Duration::from_secs(60);

/// A tick that comes so much late tells that this process itself stood still.
const STALL: Duration = Duration::from_millis(600);
/// How many entries go with a message.
const SAMPLE: usize = 7;
/// After so many refusals in a row a process that lacks neighbours asks urgently.
const REFUSALS: u32 = 4;
/// A connection that breaks again within this time is taken for a dead neighbour.
const BREAK: Duration = Duration::from_secs(1);
/// How many failed processes are remembered, so that stale hearsay of them is ignored.
const MOST_FAILED: usize = 64;
/// How many ended lives are remembered for the same reason.
const MOST_ENDED: usize = 64;

/// A member and how long ago it was heard from.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Heard {
    /// The member.
    #[n(0)]
    pub member: Member,
    /// Seconds since some process heard from it, rounded up.
    #[n(1)]
    pub age_s: u32,
}

/// Asks to become a neighbour.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct NeighbourRequest {
    /// The sender.
    #[n(0)]
    pub member: Member,
    /// The sender lacks neighbours and was refused by others, or finds one again: the receiver is to make room.
    #[n(1)]
    pub urgent: bool,
    /// Others that the sender has heard of.
    #[n(2)]
    pub sample: Vec<Heard>,
}

/// The answer to a request to become a neighbour.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct NeighbourReply {
    /// The sender.
    #[n(0)]
    pub member: Member,
    /// Others that the sender has heard of.
    #[n(1)]
    pub sample: Vec<Heard>,
    /// Neighbours that the sender has lost lately, and when: they may be on the other side of a cut, which a newcomer reaches.
    #[n(2)]
    pub lost: Vec<Heard>,
}

/// Entries of the sender's views.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Shuffle {
    /// The entries.
    #[n(0)]
    pub entries: Vec<Heard>,
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
pub enum LinkChange {
    /// A neighbour is new, or new at its address.
    Up(SocketAddr),
    /// A neighbour is none any more.
    Down(SocketAddr),
    /// Messages on the link were lost; it is to be compared again.
    Broken(SocketAddr),
}

#[derive(Clone, Debug)]
struct Neighbour {
    member: Member,
    heard: Instant,
    broke: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Acquaintance {
    member: Member,
    heard: Instant,
    /// Not asked before then.
    ask_after: Instant,
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
pub struct Views {
    own: Member,
    active: Vec<Neighbour>,
    passive: Vec<Acquaintance>,
    seeds: Vec<Seed>,
    is_seed: bool,
    requests: Vec<Request>,
    lost: VecDeque<Lost>,
    failed: VecDeque<(SocketAddr, Instant)>,
    /// Lives that have ended, as their successors have shown.
    ended: VecDeque<(SocketAddr, Incarnation)>,
    refusals: u32,
    ticked: Instant,
    shuffle_at: Instant,
    probe_at: Instant,
    seed_probe_at: Instant,
    random: Random,
    changes: Vec<LinkChange>,
}

impl Views {
    /// The views of a process that knows nobody but the seeds.
    pub fn new(now: Instant, own: Member, seeds: &[SocketAddr], mut random: Random) -> Views {
        let is_seed = seeds.contains(&own.address);
        let others = seeds.iter().filter(|&&seed| seed != own.address);
        let phase = Duration::from_millis(random.below(1000) as u64);
        Views {
            active: Vec::new(),
            passive: Vec::new(),
            seeds: others
                .map(|&address| Seed {
                    address,
                    failures: 0,
                    ask_after: now,
                })
                .collect(),
            is_seed,
            requests: Vec::new(),
            lost: VecDeque::new(),
            failed: VecDeque::new(),
            ended: VecDeque::new(),
            refusals: 0,
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
    pub fn neighbours(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.active.iter().map(|neighbour| neighbour.member.address)
    }

    /// Whether this process is a neighbour.
    pub fn is_neighbour(&self, address: SocketAddr) -> bool {
        self.active
            .iter()
            .any(|neighbour| neighbour.member.address == address)
    }

    /// The neighbours and the others that were heard of recently.
    pub fn members(&self, now: Instant) -> Vec<Member> {
        let active = self.active.iter().map(|neighbour| &neighbour.member);
        let recent = self
            .passive
            .iter()
            .filter(|other| now < other.heard + RECENT);
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
    pub fn take_changes(&mut self) -> Vec<LinkChange> {
        std::mem::take(&mut self.changes)
    }

    /// Whether this life of a process is a neighbour.
    fn is_linked(&self, member: &Member) -> bool {
        let same = |n: &Neighbour| {
            (n.member.address, n.member.incarnation) == (member.address, member.incarnation)
        };
        self.active.iter().any(same)
    }

    /// Anything from a neighbour is a sign of life.
    pub fn heard_from(&mut self, now: Instant, from: SocketAddr) {
        if let Some(neighbour) = self.active.iter_mut().find(|n| n.member.address == from) {
            neighbour.heard = now;
        }
    }

    /// A process that takes this one for its neighbour is told if it isn't so.
    pub fn check_neighbour(&mut self, from: SocketAddr, effects: &mut Effects) -> bool {
        let known = self.is_neighbour(from);
        if !known && !self.is_asked(from) {
            effects.send(from, &Message::Disconnect);
        }
        known
    }

    /// Another process wants to be a neighbour.
    pub fn on_request(
        &mut self,
        now: Instant,
        from: SocketAddr,
        request: NeighbourRequest,
        effects: &mut Effects,
    ) {
        if request.member.address != from || from == self.own.address {
            return;
        }
        self.learn(now, request.sample);
        if !self.is_neighbour(from) && self.active.len() >= MOST_NEIGHBOURS {
            if !request.urgent {
                let reply = self.reply(now, from);
                self.meet(now, request.member);
                return effects.send(from, &Message::Refused(reply));
            }
            self.evict(now, effects);
        }
        let reply = self.reply(now, from);
        effects.send(from, &Message::Accepted(reply));
        self.add(now, request.member);
    }

    /// Another process has become a neighbour.
    pub fn on_accepted(
        &mut self,
        now: Instant,
        from: SocketAddr,
        reply: NeighbourReply,
        effects: &mut Effects,
    ) {
        let asked = self.is_asked(from);
        self.requests.retain(|request| request.to != from);
        self.learn(now, reply.sample);
        self.look_for(now, reply.lost);
        if reply.member.address != from || self.is_linked(&reply.member) {
            return;
        }
        if !asked {
            self.meet(now, reply.member);
            return effects.send(from, &Message::Disconnect);
        }
        self.answered(from);
        if self.active.len() >= MOST_NEIGHBOURS {
            self.evict(now, effects);
        }
        self.add(now, reply.member);
    }

    /// Another process has no room for a neighbour.
    pub fn on_refused(
        &mut self,
        now: Instant,
        from: SocketAddr,
        reply: NeighbourReply,
        effects: &mut Effects,
    ) {
        self.requests.retain(|request| request.to != from);
        self.refusals += 1;
        self.learn(now, reply.sample);
        self.look_for(now, reply.lost);
        if reply.member.address == from {
            self.meet(now, reply.member);
        }
        self.postpone(now, from);
        self.fill(now, effects);
    }

    /// Another process takes this one for no neighbour.
    pub fn on_disconnect(&mut self, now: Instant, from: SocketAddr, effects: &mut Effects) {
        if let Some(member) = self.remove(from) {
            self.remember(now, member, now);
            self.fill(now, effects);
        }
    }

    /// Entries of a neighbour's views; answers with as many if asked to.
    pub fn on_shuffle(
        &mut self,
        now: Instant,
        from: SocketAddr,
        shuffle: Shuffle,
        answer: bool,
        effects: &mut Effects,
    ) {
        if answer {
            let reply = Shuffle {
                entries: self.sample(now, from),
            };
            effects.send(from, &Message::ShuffleReply(reply));
        }
        self.learn(now, shuffle.entries);
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
        self.end_former(now, address, incarnation);
        self.fill(now, effects);
    }

    /// A process can't be reached, or messages to it were lost.
    pub fn on_unreachable(&mut self, now: Instant, peer: SocketAddr, effects: &mut Effects) {
        if self.is_asked(peer) {
            self.requests.retain(|request| request.to != peer);
            self.unanswered(now, peer);
            if !self.active.is_empty() {
                self.fill(now, effects);
            }
        }
        let Some(neighbour) = self.active.iter_mut().find(|n| n.member.address == peer) else {
            return;
        };
        if neighbour.broke.is_some_and(|broke| now < broke + BREAK) {
            self.lose(now, peer);
            self.fill(now, effects);
        } else {
            neighbour.broke = Some(now);
            self.changes.push(LinkChange::Broken(peer));
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
        if now > self.ticked + interval + STALL {
            self.wake(now);
        }
        self.ticked = now;
        self.drop_silent(now, effects);
        self.drop_unanswered(now);
        self.fill(now, effects);
        if now >= self.shuffle_at {
            self.shuffle_at = now + SHUFFLE_INTERVAL;
            self.shuffle(now, effects);
        }
        self.probe(now, table_hash, effects);
    }

    /// This process stood still: its neighbours get the time to be heard again.
    fn wake(&mut self, now: Instant) {
        log::info!(
            "overlay: stood still, {} neighbours to hear from",
            self.active.len()
        );
        for neighbour in &mut self.active {
            neighbour.heard = neighbour.heard.max(now - SILENCE / 2);
            self.changes
                .push(LinkChange::Broken(neighbour.member.address));
        }
        self.requests
            .iter_mut()
            .for_each(|request| request.until = now + ANSWER_TIME / 2);
    }

    fn drop_silent(&mut self, now: Instant, effects: &mut Effects) {
        let silent = self
            .active
            .iter()
            .filter(|n| now > n.heard + SILENCE)
            .map(|n| n.member.address);
        for address in silent.collect::<Vec<_>>() {
            effects.send(address, &Message::Disconnect);
            self.lose(now, address);
        }
    }

    fn drop_unanswered(&mut self, now: Instant) {
        let late: Vec<_> = self
            .requests
            .iter()
            .filter(|r| now >= r.until)
            .map(|r| r.to)
            .collect();
        self.requests.retain(|request| now < request.until);
        late.into_iter()
            .for_each(|address| self.unanswered(now, address));
    }

    fn shuffle(&mut self, now: Instant, effects: &mut Effects) {
        let neighbours: Vec<_> = self.neighbours().collect();
        if let Some(to) = self.random.pick(&neighbours) {
            let entries = self.sample(now, to);
            effects.send(to, &Message::Shuffle(Shuffle { entries }));
        }
    }

    /// Itself and some of whom it knows, neighbours and others.
    fn sample(&mut self, now: Instant, to: SocketAddr) -> Vec<Heard> {
        let age = |heard| age_s(now, heard);
        let active = self.active.iter().map(|n| Heard {
            member: n.member.clone(),
            age_s: age(n.heard),
        });
        let passive = self.passive.iter().map(|o| Heard {
            member: o.member.clone(),
            age_s: age(o.heard),
        });
        let mut active: Vec<_> = active.filter(|heard| heard.member.address != to).collect();
        let mut passive: Vec<_> = passive.filter(|heard| heard.member.address != to).collect();
        self.random.shuffle(&mut active);
        self.random.shuffle(&mut passive);
        active.truncate((SAMPLE / 2).max(SAMPLE.saturating_sub(passive.len())));
        passive.truncate(SAMPLE - active.len().min(SAMPLE));
        active.append(&mut passive);
        active.push(Heard {
            member: self.own.clone(),
            age_s: 0,
        });
        active
    }

    fn add(&mut self, now: Instant, member: Member) {
        let address = member.address;
        self.end_former(now, address, member.incarnation);
        self.passive.retain(|other| other.member.address != address);
        self.lost.retain(|lost| lost.member.address != address);
        self.failed.retain(|&(failed, _)| failed != address);
        self.requests.retain(|request| request.to != address);
        self.refusals = 0;
        let neighbour = Neighbour {
            member,
            heard: now,
            broke: None,
        };
        match self.active.iter_mut().find(|n| n.member.address == address) {
            Some(known) => *known = neighbour,
            None => self.active.push(neighbour),
        }
        self.changes.push(LinkChange::Up(address));
    }

    fn remove(&mut self, address: SocketAddr) -> Option<Member> {
        let at = self
            .active
            .iter()
            .position(|n| n.member.address == address)?;
        self.changes.push(LinkChange::Down(address));
        Some(self.active.swap_remove(at).member)
    }

    /// Makes room for an urgent neighbour.
    fn evict(&mut self, now: Instant, effects: &mut Effects) {
        let mut open: Vec<_> = self
            .neighbours()
            .filter(|&address| !self.is_needed(address))
            .collect();
        if open.is_empty() {
            open = self.neighbours().collect();
        }
        if let Some(address) = self.random.pick(&open) {
            effects.send(address, &Message::Disconnect);
            let member = self.remove(address);
            member
                .into_iter()
                .for_each(|member| self.remember(now, member, now));
        }
    }

    /// A link between seeds, or the only one into another zone.
    fn is_needed(&self, address: SocketAddr) -> bool {
        let foreign = |neighbour: &&Neighbour| neighbour.member.zone != self.own.zone;
        let mut others = self.active.iter().filter(foreign);
        let only = others.next().filter(|_| others.next().is_none());
        self.is_fellow_seed(address) || only.is_some_and(|only| only.member.address == address)
    }
}
