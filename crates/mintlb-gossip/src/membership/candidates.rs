//! Whom a process asks to become a neighbour, and whom it looks for.

use super::{
    ACTIVE_VIEW_CAPACITY, ACTIVE_VIEW_TARGET, HIGH_PRIORITY_AFTER_REJECTIONS,
    MAX_ENDED_INCARNATIONS, MAX_RECENT_FAILURES, MEMBER_TIMEOUT, MemberDescriptor, Membership,
    NEIGHBOR_REQUEST_TIMEOUT, NeighborReply, NeighborRequest, PASSIVE_VIEW_CAPACITY,
    PROBE_INTERVAL, PassiveEntry, Probe, Request, SEED_PROBE_INTERVAL, age_s,
};
use crate::effects::Effects;
use crate::message::{Member, Message, Role};
use mintlb_common::incarnation::Incarnation;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How many lost neighbours are looked for; the oldest are given up.
const MAX_LOST_NEIGHBORS: usize = 12;
/// The first wait before a seed that could not be reached is asked again; it doubles from there.
const SEED_BACKOFF_MIN: Duration = Duration::from_millis(200);
/// The longest such wait of a process without neighbours, and between seeds.
const SEED_BACKOFF_MAX_ISOLATED: Duration = Duration::from_secs(1);
/// The longest such wait of a process that has neighbours.
const SEED_BACKOFF_MAX_CONNECTED: Duration = Duration::from_secs(10);
/// A process that has refused or not answered is not asked again for so long.
const REQUEST_BACKOFF: Duration = Duration::from_secs(2);

/// A seed, asked again and again.
#[derive(Clone, Debug)]
pub(super) struct Seed {
    pub(super) address: SocketAddr,
    pub(super) failures: u32,
    pub(super) retry_after: Instant,
}

/// A neighbour that fell silent.
#[derive(Clone, Debug)]
pub(super) struct LostNeighbor {
    pub(super) member: Member,
    since: Instant,
}

impl Membership {
    pub(super) fn is_pending(&self, address: SocketAddr) -> bool {
        self.requests.iter().any(|request| request.to == address)
    }

    pub(super) fn is_seed_link(&self, address: SocketAddr) -> bool {
        self.is_seed && self.seeds.iter().any(|seed| seed.address == address)
    }

    fn is_eligible(&self, address: SocketAddr) -> bool {
        address != self.own.address && !self.is_neighbor(address) && !self.is_pending(address)
    }

    /// Takes over hearsay, unless a newer failure speaks against it.
    pub(super) fn merge_descriptors(&mut self, now: Instant, sample: Vec<MemberDescriptor>) {
        for entry in sample.into_iter().take(2 * PASSIVE_VIEW_CAPACITY) {
            let last_received = now.checked_sub(Duration::from_secs(entry.age_s.into()));
            let address = entry.member.address;
            let recent_failures = self
                .recent_failures
                .iter()
                .find(|(recent_failures, _)| *recent_failures == address);
            if self
                .ended_incarnations
                .contains(&(address, entry.member.incarnation))
            {
                continue;
            }
            match last_received {
                Some(last_received)
                    if recent_failures.is_none_or(|&(_, at)| last_received > at) =>
                {
                    self.add_to_passive(now, entry.member, last_received);
                }
                _ => (),
            }
        }
    }

    /// Takes over a process that has been heard from directly.
    pub(super) fn on_direct_contact(&mut self, now: Instant, member: Member) {
        self.recent_failures
            .retain(|&(recent_failures, _)| recent_failures != member.address);
        self.supersede_incarnation(now, member.address, member.incarnation);
        self.add_to_passive(now, member, now);
    }

    /// This life has shown itself at the address. Any other one that is known there has ended; and if this one was taken
    /// for ended, that was wrong. What else is known of the process goes over to the new life until it says more.
    pub(super) fn supersede_incarnation(
        &mut self,
        now: Instant,
        address: SocketAddr,
        incarnation: Incarnation,
    ) {
        self.ended_incarnations
            .retain(|ended_incarnations| *ended_incarnations != (address, incarnation));
        let is_former =
            |member: &Member| member.address == address && member.incarnation != incarnation;
        let mut ended_incarnations = Vec::new();
        if self
            .active
            .iter()
            .any(|neighbor| is_former(&neighbor.member))
            && let Some(former) = self.remove(address)
        {
            ended_incarnations.push(former.incarnation);
            self.add_to_passive(
                now,
                Member {
                    incarnation,
                    ..former
                },
                now,
            );
        }
        let passive = self.passive.iter_mut().map(|other| &mut other.member);
        let lost_neighbors = self
            .lost_neighbors
            .iter_mut()
            .map(|lost_neighbors| &mut lost_neighbors.member);
        for member in passive
            .chain(lost_neighbors)
            .filter(|member| is_former(member))
        {
            ended_incarnations.push(std::mem::replace(&mut member.incarnation, incarnation));
        }
        self.ended_incarnations.extend(
            ended_incarnations
                .into_iter()
                .map(|ended_incarnations| (address, ended_incarnations)),
        );
        while self.ended_incarnations.len() > MAX_ENDED_INCARNATIONS {
            self.ended_incarnations.pop_front();
        }
    }

    /// Takes note of a member that was heard of then.
    pub(super) fn add_to_passive(&mut self, now: Instant, member: Member, last_received: Instant) {
        let address = member.address;
        if address == self.own.address || self.is_neighbor(address) {
            return;
        }
        if let Some(known) = self
            .passive
            .iter_mut()
            .find(|other| other.member.address == address)
        {
            if member.incarnation == known.member.incarnation || last_received > known.last_received
            {
                known.last_received = known.last_received.max(last_received);
                known.member = member;
            }
            return;
        }
        if self.passive.len() >= PASSIVE_VIEW_CAPACITY {
            let oldest = (0..self.passive.len()).min_by_key(|&at| self.passive[at].last_received);
            match oldest {
                Some(oldest) if self.passive[oldest].last_received <= last_received => {
                    self.passive.swap_remove(oldest)
                }
                _ => return,
            };
        }
        self.passive.push(PassiveEntry {
            member,
            last_received,
            retry_after: now,
        });
    }

    /// A neighbour has fallen silent: it is replaced and looked for.
    pub(super) fn on_neighbor_lost(&mut self, now: Instant, address: SocketAddr) {
        let Some(member) = self.remove(address) else {
            return;
        };
        log::info!(
            "gossip: lost {} at {address}, {} neighbours left",
            member.node_name,
            self.active.len()
        );
        self.record_failure(now, address);
        self.lost_neighbors
            .retain(|lost_neighbors| lost_neighbors.member.address != address);
        self.lost_neighbors
            .push_back(LostNeighbor { member, since: now });
        if self.lost_neighbors.len() > MAX_LOST_NEIGHBORS {
            self.lost_neighbors.pop_front();
        }
    }

    /// The answer to a process that wants to be a neighbour.
    pub(super) fn reply(&mut self, now: Instant, to: SocketAddr) -> NeighborReply {
        let recent = self.lost_neighbors.iter().filter(|lost_neighbors| {
            now < lost_neighbors.since + MEMBER_TIMEOUT && lost_neighbors.member.address != to
        });
        let lost_neighbors = recent.map(|lost_neighbors| MemberDescriptor {
            member: lost_neighbors.member.clone(),
            age_s: age_s(now, lost_neighbors.since),
        });
        let lost_neighbors = lost_neighbors.collect();
        NeighborReply {
            member: self.own.clone(),
            sample: self.sample(now, to),
            lost_neighbors,
        }
    }

    /// Looks for those that another process has lost lately, while there is room beside the own ones.
    pub(super) fn adopt_lost_neighbors(
        &mut self,
        now: Instant,
        lost_neighbors: Vec<MemberDescriptor>,
    ) {
        for MemberDescriptor { member, age_s } in lost_neighbors {
            let age = Duration::from_secs(age_s.into());
            let known = self
                .lost_neighbors
                .iter()
                .any(|lost_neighbors| lost_neighbors.member.address == member.address);
            if self.lost_neighbors.len() < MAX_LOST_NEIGHBORS
                && age < MEMBER_TIMEOUT
                && !known
                && self.is_eligible(member.address)
            {
                self.lost_neighbors.push_back(LostNeighbor {
                    member,
                    since: now.checked_sub(age).unwrap_or(now),
                });
            }
        }
    }

    fn record_failure(&mut self, now: Instant, address: SocketAddr) {
        self.recent_failures
            .retain(|&(recent_failures, _)| recent_failures != address);
        self.recent_failures.push_back((address, now));
        if self.recent_failures.len() > MAX_RECENT_FAILURES {
            self.recent_failures.pop_front();
        }
    }

    /// A process has answered a request.
    pub(super) fn reset_seed_backoff(&mut self, address: SocketAddr) {
        if let Some(seed) = self.seeds.iter_mut().find(|seed| seed.address == address) {
            seed.failures = 0;
        }
    }

    /// A process has not answered a request. While this process has no neighbours it can't tell whose fault that is.
    pub(super) fn on_request_failed(&mut self, now: Instant, address: SocketAddr) {
        self.back_off(now, address);
        if !self.active.is_empty() {
            self.passive.retain(|other| other.member.address != address);
            self.record_failure(now, address);
        }
    }

    /// A process is not asked again for a while.
    pub(super) fn back_off(&mut self, now: Instant, address: SocketAddr) {
        let alone = self.active.is_empty() || self.is_seed;
        if let Some(seed) = self.seeds.iter_mut().find(|seed| seed.address == address) {
            let most = if alone {
                SEED_BACKOFF_MAX_ISOLATED
            } else {
                SEED_BACKOFF_MAX_CONNECTED
            };
            seed.retry_after = now + (SEED_BACKOFF_MIN * (1 << seed.failures.min(8))).min(most);
            seed.failures += 1;
        }
        if let Some(other) = self
            .passive
            .iter_mut()
            .find(|other| other.member.address == address)
        {
            other.retry_after = now
                + if alone {
                    SEED_BACKOFF_MAX_ISOLATED
                } else {
                    REQUEST_BACKOFF
                };
        }
    }

    /// Asks as many processes as neighbours are lacking.
    pub(super) fn fill_active_view(&mut self, now: Instant, effects: &mut Effects) {
        self.connect_seeds(now, effects);
        let high_priority = self.rejections >= HIGH_PRIORITY_AFTER_REJECTIONS;
        while self.active.len() + self.requests.len() < ACTIVE_VIEW_TARGET {
            let Some(to) = self.candidate(now, !self.has_other_zone_link()) else {
                break;
            };
            self.send_neighbor_request(now, to, high_priority, effects);
        }
        let has_capacity = self.active.len() + self.requests.len() < ACTIVE_VIEW_CAPACITY;
        if has_capacity && !self.active.is_empty() && !self.has_other_zone_link() {
            let foreign = self.passive_candidates(now, true);
            if let Some(to) = self.random.pick(&foreign) {
                self.send_neighbor_request(now, to, high_priority, effects);
            }
        }
    }

    /// The seeds always hold on to each other.
    fn connect_seeds(&mut self, now: Instant, effects: &mut Effects) {
        if !self.is_seed {
            return;
        }
        let due = self
            .seeds
            .iter()
            .filter(|seed| now >= seed.retry_after)
            .map(|seed| seed.address);
        for to in due.collect::<Vec<_>>() {
            if self.is_eligible(to) {
                self.send_neighbor_request(now, to, true, effects);
            }
        }
    }

    /// Whether a neighbour is in another zone, or is being asked.
    fn has_other_zone_link(&self) -> bool {
        let foreign = |member: &Member| member.zone != self.own.zone;
        let is_pending_request = self
            .passive
            .iter()
            .any(|o| foreign(&o.member) && self.is_pending(o.member.address));
        is_pending_request || self.active.iter().any(|neighbor| foreign(&neighbor.member))
    }

    fn passive_candidates(&self, now: Instant, foreign: bool) -> Vec<SocketAddr> {
        let fits = |other: &&PassiveEntry| {
            now >= other.retry_after
                && (other.member.zone != self.own.zone) == foreign
                && self.is_eligible(other.member.address)
        };
        self.passive
            .iter()
            .filter(fits)
            .map(|other| other.member.address)
            .collect()
    }

    /// Whom to ask next: somebody of the wanted zone, else of another, else a seed.
    fn candidate(&mut self, now: Instant, foreign: bool) -> Option<SocketAddr> {
        for foreign in [foreign, !foreign] {
            let open = self.passive_candidates(now, foreign);
            if let Some(address) = self.random.pick(&open) {
                return Some(address);
            }
        }
        let due = self
            .seeds
            .iter()
            .filter(|seed| now >= seed.retry_after)
            .map(|seed| seed.address);
        let open: Vec<_> = due.filter(|&address| self.is_eligible(address)).collect();
        self.random.pick(&open)
    }

    fn send_neighbor_request(
        &mut self,
        now: Instant,
        to: SocketAddr,
        high_priority: bool,
        effects: &mut Effects,
    ) {
        let request = NeighborRequest {
            member: self.own.clone(),
            high_priority,
            sample: self.sample(now, to),
        };
        effects.send(to, &Message::Neighbor(request));
        self.requests.push(Request {
            to,
            until: now + NEIGHBOR_REQUEST_TIMEOUT,
        });
    }

    /// Looks for one lost neighbour; a controller also for one seed.
    pub(super) fn send_probes(&mut self, now: Instant, table_hash: u64, effects: &mut Effects) {
        let question = Message::Probe(Probe {
            member: self.own.clone(),
            table_hash,
        });
        if now >= self.probe_at {
            self.probe_at = now + PROBE_INTERVAL;
            self.lost_neighbors
                .rotate_left(1.min(self.lost_neighbors.len()));
            if let Some(lost_neighbors) = self.lost_neighbors.front() {
                effects.send(lost_neighbors.member.address, &question);
            }
        }
        if now >= self.seed_probe_at && self.own.role == Role::Controller {
            self.seed_probe_at = now + SEED_PROBE_INTERVAL;
            let seeds = self.seeds.iter().map(|seed| seed.address);
            let open: Vec<_> = seeds.filter(|&seed| self.is_eligible(seed)).collect();
            if let Some(seed) = self.random.pick(&open) {
                effects.send(seed, &question);
            }
        }
    }

    /// Another process asks whether this one is there.
    pub fn on_probe(
        &mut self,
        now: Instant,
        from: SocketAddr,
        send_probes: Probe,
        table_hash: u64,
        effects: &mut Effects,
    ) {
        if send_probes.member.address == from {
            self.on_direct_contact(now, send_probes.member);
            let reply = Probe {
                member: self.own.clone(),
                table_hash,
            };
            effects.send(from, &Message::ProbeReply(reply));
        }
    }

    /// A process that was looked for is there: it becomes a neighbour again if it was one or knows something else.
    pub fn on_probe_reply(
        &mut self,
        now: Instant,
        from: SocketAddr,
        send_probes: Probe,
        table_hash: u64,
        effects: &mut Effects,
    ) {
        if send_probes.member.address != from {
            return;
        }
        self.on_direct_contact(now, send_probes.member);
        let before = self.lost_neighbors.len();
        self.lost_neighbors
            .retain(|lost_neighbors| lost_neighbors.member.address != from);
        let was_neighbor = self.lost_neighbors.len() < before;
        let differs = send_probes.table_hash != table_hash;
        if (was_neighbor || differs)
            && self.is_eligible(from)
            && self.requests.len() < ACTIVE_VIEW_CAPACITY
        {
            let high_priority = was_neighbor && differs;
            self.send_neighbor_request(now, from, high_priority, effects);
        }
    }
}
