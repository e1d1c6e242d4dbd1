//! Whom a process asks to become a neighbor, and when.

use super::Membership;
use super::active_view::{ACTIVE_VIEW_CAPACITY, ACTIVE_VIEW_TARGET};
use super::seeds::SEED_BACKOFF_MAX_ISOLATED;
use crate::effects::Effects;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How long a member that has rejected a request, or not answered it, is not asked again.
const REQUEST_BACKOFF: Duration = Duration::from_secs(2);
/// After this many consecutive rejections requests have high priority.
const HIGH_PRIORITY_AFTER_REJECTIONS: u32 = 4;

/// Where a candidate is, relative to the process itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Zone {
    Own,
    Other,
}

impl Membership {
    /// Whether the process may be asked: it is neither this process nor a neighbor, and is not
    /// being asked.
    pub(super) fn is_eligible(&self, address: SocketAddr) -> bool {
        let is_pending = self.requests.contains(address);
        address != self.own.address && !self.is_neighbor(address) && !is_pending
    }

    /// Sends as many requests as neighbors are lacking. A process whose neighbors are all in its
    /// own zone asks one in another zone beyond its target.
    pub(super) fn fill_active_view(&mut self, now: Instant, effects: &mut Effects) {
        self.connect_seeds(now, effects);
        let high_priority = self.consecutive_rejections >= HIGH_PRIORITY_AFTER_REJECTIONS;
        while self.active.len() + self.requests.len() < ACTIVE_VIEW_TARGET {
            let Some(to) = self.choose_candidate(now) else {
                break;
            };
            self.send_neighbor_request(now, to, high_priority, effects);
        }
        let has_capacity = self.active.len() + self.requests.len() < ACTIVE_VIEW_CAPACITY;
        if has_capacity && !self.active.is_empty() && !self.has_link_to_other_zone() {
            let candidates = self.passive_candidates(now, Zone::Other);
            if let Some(to) = self.rng.choice(candidates) {
                self.send_neighbor_request(now, to, high_priority, effects);
            }
        }
    }

    /// A process is not asked again for a while.
    pub(super) fn back_off(&mut self, now: Instant, address: SocketAddr) {
        let is_isolated = self.active.is_empty() || self.seeds.is_seed();
        self.seeds.back_off(now, address, is_isolated);
        let backoff = if is_isolated {
            SEED_BACKOFF_MAX_ISOLATED
        } else {
            REQUEST_BACKOFF
        };
        self.passive.back_off(address, now + backoff);
    }

    /// A seed asks all other seeds, whether it lacks neighbors or not.
    fn connect_seeds(&mut self, now: Instant, effects: &mut Effects) {
        if !self.seeds.is_seed() {
            return;
        }
        let due: Vec<_> = self.seeds.due(now).collect();
        for to in due {
            if self.is_eligible(to) {
                self.send_neighbor_request(now, to, true, effects);
            }
        }
    }

    /// Whether a neighbor is in another zone, or a member there is being asked.
    fn has_link_to_other_zone(&self) -> bool {
        let own_zone = &self.own.zone;
        let is_pending = |address| self.requests.contains(address);
        self.active.has_other_zone(own_zone) || self.passive.any_in_other_zone(own_zone, is_pending)
    }

    /// Chooses whom to ask next: a random member in another zone if there is no link to one, else
    /// one in the own zone; else one in the remaining zones, else a seed.
    fn choose_candidate(&mut self, now: Instant) -> Option<SocketAddr> {
        let zones = if self.has_link_to_other_zone() {
            [Zone::Own, Zone::Other]
        } else {
            [Zone::Other, Zone::Own]
        };
        for zone in zones {
            let candidates = self.passive_candidates(now, zone);
            if let Some(address) = self.rng.choice(candidates) {
                return Some(address);
            }
        }
        let candidates = self.seed_candidates(now);
        self.rng.choice(candidates)
    }

    fn passive_candidates(&self, now: Instant, zone: Zone) -> Vec<SocketAddr> {
        let candidates = self.passive.candidates(now);
        candidates
            .filter(|member| (member.zone != self.own.zone) == (zone == Zone::Other))
            .map(|member| member.address)
            .filter(|&address| self.is_eligible(address))
            .collect()
    }

    fn seed_candidates(&self, now: Instant) -> Vec<SocketAddr> {
        let due = self.seeds.due(now);
        due.filter(|&address| self.is_eligible(address)).collect()
    }
}
