//! Probes of lost neighbors and of seeds, by which the sides of a network partition find each other
//! again.

use super::Membership;
use super::active_view::ACTIVE_VIEW_CAPACITY;
use super::passive_view::MEMBER_TIMEOUT;
use crate::effects::Effects;
use crate::message::{MemberDescriptor, Message, Probe, Role};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How often a lost neighbor is probed, one at a time.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How often a controller probes a seed that is no neighbor.
pub const SEED_PROBE_INTERVAL: Duration = Duration::from_secs(3);

impl Membership {
    /// Handles a probe: answers it.
    pub fn on_probe(
        &mut self,
        now: Instant,
        from: SocketAddr,
        probe: Probe,
        table_hash: u64,
        effects: &mut Effects,
    ) {
        if probe.member.address == from {
            self.on_direct_contact(now, probe.member);
            let reply = self.probe(table_hash);
            effects.send(from, &Message::ProbeReply(reply));
        }
    }

    /// Handles the answer to a probe: the process is asked to become a neighbor if it was one, or
    /// if its table differs.
    pub fn on_probe_reply(
        &mut self,
        now: Instant,
        from: SocketAddr,
        reply: Probe,
        table_hash: u64,
        effects: &mut Effects,
    ) {
        if reply.member.address != from {
            return;
        }
        self.on_direct_contact(now, reply.member);
        let was_neighbor = self.lost_neighbors.remove(from);
        let tables_differ = reply.table_hash != table_hash;
        let has_capacity = self.requests.len() < ACTIVE_VIEW_CAPACITY;
        if (was_neighbor || tables_differ) && self.is_eligible(from) && has_capacity {
            let high_priority = was_neighbor && tables_differ;
            self.send_neighbor_request(now, from, high_priority, effects);
        }
    }

    /// Probes one lost neighbor; a controller also probes one seed.
    pub(super) fn send_due_probes(&mut self, now: Instant, table_hash: u64, effects: &mut Effects) {
        let probe = Message::Probe(self.probe(table_hash));
        if now >= self.probe_at {
            self.probe_at = now + PROBE_INTERVAL;
            if let Some(address) = self.lost_neighbors.next_to_probe() {
                effects.send(address, &probe);
            }
        }
        if now >= self.seed_probe_at && self.own.role == Role::Controller {
            self.seed_probe_at = now + SEED_PROBE_INTERVAL;
            let seeds = self.seeds.addresses();
            let eligible: Vec<_> = seeds.filter(|&seed| self.is_eligible(seed)).collect();
            if let Some(seed) = self.rng.choice(eligible) {
                effects.send(seed, &probe);
            }
        }
    }

    /// Probes the neighbors that another process has recently lost, too.
    pub(super) fn adopt_lost_neighbors(&mut self, now: Instant, lost: Vec<MemberDescriptor>) {
        for MemberDescriptor { member, age_s } in lost {
            let age = Duration::from_secs(age_s.into());
            if age < MEMBER_TIMEOUT && self.is_eligible(member.address) {
                let since = now.checked_sub(age).unwrap_or(now);
                self.lost_neighbors.adopt(member, since);
            }
        }
    }

    fn probe(&self, table_hash: u64) -> Probe {
        Probe {
            member: self.own.clone(),
            table_hash,
        }
    }
}
