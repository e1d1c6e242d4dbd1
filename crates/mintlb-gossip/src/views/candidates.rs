//! Whom a process asks to become a neighbour, and whom it looks for.

use super::{
    ANSWER_TIME, Acquaintance, Heard, MOST_ENDED, MOST_FAILED, MOST_NEIGHBOURS, NeighbourReply,
    NeighbourRequest, PASSIVE_VIEW, PROBE_INTERVAL, Probe, RECENT, REFUSALS, Request,
    SEED_PROBE_INTERVAL, Views, WANTED_NEIGHBOURS, age_s,
};
use crate::effects::Effects;
use crate::message::{Member, Message, Role};
use mintlb_common::incarnation::Incarnation;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How many lost neighbours are looked for; the oldest are given up.
const MOST_LOST: usize = 12;
/// The first wait before a seed that could not be reached is asked again; it doubles from there.
const SEED_PAUSE: Duration = Duration::from_millis(200);
/// The longest such wait of a process without neighbours, and between seeds.
const SEED_PAUSE_ALONE: Duration = Duration::from_secs(1);
/// The longest such wait of a process that has neighbours.
const SEED_PAUSE_LINKED: Duration = Duration::from_secs(10);
/// A process that has refused or not answered is not asked again for so long.
const ASK_PAUSE: Duration = Duration::from_secs(2);

/// A seed, asked again and again.
#[derive(Clone, Debug)]
pub(super) struct Seed {
    pub(super) address: SocketAddr,
    pub(super) failures: u32,
    pub(super) ask_after: Instant,
}

/// A neighbour that fell silent.
#[derive(Clone, Debug)]
pub(super) struct Lost {
    pub(super) member: Member,
    since: Instant,
}

impl Views {
    pub(super) fn is_asked(&self, address: SocketAddr) -> bool {
        self.requests.iter().any(|request| request.to == address)
    }

    pub(super) fn is_fellow_seed(&self, address: SocketAddr) -> bool {
        self.is_seed && self.seeds.iter().any(|seed| seed.address == address)
    }

    fn is_free(&self, address: SocketAddr) -> bool {
        address != self.own.address && !self.is_neighbour(address) && !self.is_asked(address)
    }

    /// Takes over hearsay, unless a newer failure speaks against it.
    pub(super) fn learn(&mut self, now: Instant, sample: Vec<Heard>) {
        for entry in sample.into_iter().take(2 * PASSIVE_VIEW) {
            let heard = now.checked_sub(Duration::from_secs(entry.age_s.into()));
            let address = entry.member.address;
            let failed = self.failed.iter().find(|(failed, _)| *failed == address);
            if self.ended.contains(&(address, entry.member.incarnation)) {
                continue;
            }
            match heard {
                Some(heard) if failed.is_none_or(|&(_, at)| heard > at) => {
                    self.remember(now, entry.member, heard);
                }
                _ => (),
            }
        }
    }

    /// Takes over a process that has been heard from directly.
    pub(super) fn meet(&mut self, now: Instant, member: Member) {
        self.failed.retain(|&(failed, _)| failed != member.address);
        self.end_former(now, member.address, member.incarnation);
        self.remember(now, member, now);
    }

    /// This life has shown itself at the address. Any other one that is known there has ended; and if this one was taken
    /// for ended, that was wrong. What else is known of the process goes over to the new life until it says more.
    pub(super) fn end_former(
        &mut self,
        now: Instant,
        address: SocketAddr,
        incarnation: Incarnation,
    ) {
        self.ended.retain(|ended| *ended != (address, incarnation));
        let is_former =
            |member: &Member| member.address == address && member.incarnation != incarnation;
        let mut ended = Vec::new();
        if self
            .active
            .iter()
            .any(|neighbour| is_former(&neighbour.member))
            && let Some(former) = self.remove(address)
        {
            ended.push(former.incarnation);
            self.remember(
                now,
                Member {
                    incarnation,
                    ..former
                },
                now,
            );
        }
        let passive = self.passive.iter_mut().map(|other| &mut other.member);
        let lost = self.lost.iter_mut().map(|lost| &mut lost.member);
        for member in passive.chain(lost).filter(|member| is_former(member)) {
            ended.push(std::mem::replace(&mut member.incarnation, incarnation));
        }
        self.ended
            .extend(ended.into_iter().map(|ended| (address, ended)));
        while self.ended.len() > MOST_ENDED {
            self.ended.pop_front();
        }
    }

    /// Takes note of a member that was heard of then.
    pub(super) fn remember(&mut self, now: Instant, member: Member, heard: Instant) {
        let address = member.address;
        if address == self.own.address || self.is_neighbour(address) {
            return;
        }
        if let Some(known) = self
            .passive
            .iter_mut()
            .find(|other| other.member.address == address)
        {
            if member.incarnation == known.member.incarnation || heard > known.heard {
                known.heard = known.heard.max(heard);
                known.member = member;
            }
            return;
        }
        if self.passive.len() >= PASSIVE_VIEW {
            let oldest = (0..self.passive.len()).min_by_key(|&at| self.passive[at].heard);
            match oldest {
                Some(oldest) if self.passive[oldest].heard <= heard => {
                    self.passive.swap_remove(oldest)
                }
                _ => return,
            };
        }
        self.passive.push(Acquaintance {
            member,
            heard,
            ask_after: now,
        });
    }

    /// A neighbour has fallen silent: it is replaced and looked for.
    pub(super) fn lose(&mut self, now: Instant, address: SocketAddr) {
        let Some(member) = self.remove(address) else {
            return;
        };
        log::info!(
            "overlay: lost {} at {address}, {} neighbours left",
            member.node_name,
            self.active.len()
        );
        self.fail(now, address);
        self.lost.retain(|lost| lost.member.address != address);
        self.lost.push_back(Lost { member, since: now });
        if self.lost.len() > MOST_LOST {
            self.lost.pop_front();
        }
    }

    /// The answer to a process that wants to be a neighbour.
    pub(super) fn reply(&mut self, now: Instant, to: SocketAddr) -> NeighbourReply {
        let recent = self
            .lost
            .iter()
            .filter(|lost| now < lost.since + RECENT && lost.member.address != to);
        let lost = recent.map(|lost| Heard {
            member: lost.member.clone(),
            age_s: age_s(now, lost.since),
        });
        let lost = lost.collect();
        NeighbourReply {
            member: self.own.clone(),
            sample: self.sample(now, to),
            lost,
        }
    }

    /// Looks for those that another process has lost lately, while there is room beside the own ones.
    pub(super) fn look_for(&mut self, now: Instant, lost: Vec<Heard>) {
        for Heard { member, age_s } in lost {
            let age = Duration::from_secs(age_s.into());
            let known = self
                .lost
                .iter()
                .any(|lost| lost.member.address == member.address);
            if self.lost.len() < MOST_LOST && age < RECENT && !known && self.is_free(member.address)
            {
                self.lost.push_back(Lost {
                    member,
                    since: now.checked_sub(age).unwrap_or(now),
                });
            }
        }
    }

    fn fail(&mut self, now: Instant, address: SocketAddr) {
        self.failed.retain(|&(failed, _)| failed != address);
        self.failed.push_back((address, now));
        if self.failed.len() > MOST_FAILED {
            self.failed.pop_front();
        }
    }

    /// A process has answered a request.
    pub(super) fn answered(&mut self, address: SocketAddr) {
        if let Some(seed) = self.seeds.iter_mut().find(|seed| seed.address == address) {
            seed.failures = 0;
        }
    }

    /// A process has not answered a request. While this process has no neighbours it can't tell whose fault that is.
    pub(super) fn unanswered(&mut self, now: Instant, address: SocketAddr) {
        self.postpone(now, address);
        if !self.active.is_empty() {
            self.passive.retain(|other| other.member.address != address);
            self.fail(now, address);
        }
    }

    /// A process is not asked again for a while.
    pub(super) fn postpone(&mut self, now: Instant, address: SocketAddr) {
        let alone = self.active.is_empty() || self.is_seed;
        if let Some(seed) = self.seeds.iter_mut().find(|seed| seed.address == address) {
            let most = if alone {
                SEED_PAUSE_ALONE
            } else {
                SEED_PAUSE_LINKED
            };
            seed.ask_after = now + (SEED_PAUSE * (1 << seed.failures.min(8))).min(most);
            seed.failures += 1;
        }
        if let Some(other) = self
            .passive
            .iter_mut()
            .find(|other| other.member.address == address)
        {
            other.ask_after = now + if alone { SEED_PAUSE_ALONE } else { ASK_PAUSE };
        }
    }

    /// Asks as many processes as neighbours are lacking.
    pub(super) fn fill(&mut self, now: Instant, effects: &mut Effects) {
        self.hold_fellow_seeds(now, effects);
        let urgent = self.refusals >= REFUSALS;
        while self.active.len() + self.requests.len() < WANTED_NEIGHBOURS {
            let Some(to) = self.candidate(now, !self.has_foreign()) else {
                break;
            };
            self.ask(now, to, urgent, effects);
        }
        let room = self.active.len() + self.requests.len() < MOST_NEIGHBOURS;
        if room && !self.active.is_empty() && !self.has_foreign() {
            let foreign = self.passive_candidates(now, true);
            if let Some(to) = self.random.pick(&foreign) {
                self.ask(now, to, urgent, effects);
            }
        }
    }

    /// The seeds always hold on to each other.
    fn hold_fellow_seeds(&mut self, now: Instant, effects: &mut Effects) {
        if !self.is_seed {
            return;
        }
        let due = self
            .seeds
            .iter()
            .filter(|seed| now >= seed.ask_after)
            .map(|seed| seed.address);
        for to in due.collect::<Vec<_>>() {
            if self.is_free(to) {
                self.ask(now, to, true, effects);
            }
        }
    }

    /// Whether a neighbour is in another zone, or is being asked.
    fn has_foreign(&self) -> bool {
        let foreign = |member: &Member| member.zone != self.own.zone;
        let asked = self
            .passive
            .iter()
            .any(|o| foreign(&o.member) && self.is_asked(o.member.address));
        asked
            || self
                .active
                .iter()
                .any(|neighbour| foreign(&neighbour.member))
    }

    fn passive_candidates(&self, now: Instant, foreign: bool) -> Vec<SocketAddr> {
        let fits = |other: &&Acquaintance| {
            now >= other.ask_after
                && (other.member.zone != self.own.zone) == foreign
                && self.is_free(other.member.address)
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
            .filter(|seed| now >= seed.ask_after)
            .map(|seed| seed.address);
        let open: Vec<_> = due.filter(|&address| self.is_free(address)).collect();
        self.random.pick(&open)
    }

    fn ask(&mut self, now: Instant, to: SocketAddr, urgent: bool, effects: &mut Effects) {
        let request = NeighbourRequest {
            member: self.own.clone(),
            urgent,
            sample: self.sample(now, to),
        };
        effects.send(to, &Message::Neighbour(request));
        self.requests.push(Request {
            to,
            until: now + ANSWER_TIME,
        });
    }

    /// Looks for one lost neighbour; a controller also for one seed.
    pub(super) fn probe(&mut self, now: Instant, table_hash: u64, effects: &mut Effects) {
        let question = Message::Probe(Probe {
            member: self.own.clone(),
            table_hash,
        });
        if now >= self.probe_at {
            self.probe_at = now + PROBE_INTERVAL;
            self.lost.rotate_left(1.min(self.lost.len()));
            if let Some(lost) = self.lost.front() {
                effects.send(lost.member.address, &question);
            }
        }
        if now >= self.seed_probe_at && self.own.role == Role::Controller {
            self.seed_probe_at = now + SEED_PROBE_INTERVAL;
            let seeds = self.seeds.iter().map(|seed| seed.address);
            let open: Vec<_> = seeds.filter(|&seed| self.is_free(seed)).collect();
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
        probe: Probe,
        table_hash: u64,
        effects: &mut Effects,
    ) {
        if probe.member.address == from {
            self.meet(now, probe.member);
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
        probe: Probe,
        table_hash: u64,
        effects: &mut Effects,
    ) {
        if probe.member.address != from {
            return;
        }
        self.meet(now, probe.member);
        let before = self.lost.len();
        self.lost.retain(|lost| lost.member.address != from);
        let was_neighbour = self.lost.len() < before;
        let differs = probe.table_hash != table_hash;
        if (was_neighbour || differs) && self.is_free(from) && self.requests.len() < MOST_NEIGHBOURS
        {
            let urgent = was_neighbour && differs;
            self.ask(now, from, urgent, effects);
        }
    }
}
