//! What a process remembers of failures: whom it could not reach, which incarnations have ended,
//! and which neighbors it looks for.

use super::passive_view::MEMBER_TIMEOUT;
use crate::message::{Member, MemberDescriptor};
use mintlb_common::incarnation::Incarnation;
use std::collections::VecDeque;
use std::net::SocketAddr;
use tokio::time::Instant;

/// How many failures are remembered.
const MAX_RECENT_FAILURES: usize = 64;
/// How many ended incarnations are remembered.
const MAX_ENDED_INCARNATIONS: usize = 64;
/// How many lost neighbors are looked for; the oldest are given up.
const MAX_LOST_NEIGHBORS: usize = 12;

/// When processes could not be reached. Information of others that is older than the failure must
/// not bring a failed process back into the views.
#[derive(Debug, Default)]
pub(super) struct RecentFailures {
    failures: VecDeque<(SocketAddr, Instant)>,
}

impl RecentFailures {
    pub(super) fn record(&mut self, now: Instant, address: SocketAddr) {
        self.clear(address);
        self.failures.push_back((address, now));
        if self.failures.len() > MAX_RECENT_FAILURES {
            self.failures.pop_front();
        }
    }

    pub(super) fn clear(&mut self, address: SocketAddr) {
        self.failures.retain(|&(failed, _)| failed != address);
    }

    /// Whether the process has failed at this time or later.
    pub(super) fn has_failed_since(&self, address: SocketAddr, time: Instant) -> bool {
        let mut failures = self.failures.iter();
        failures.any(|&(failed, at)| failed == address && at >= time)
    }
}

/// Incarnations that have ended, as their successors have shown. Information of others about them
/// is ignored.
#[derive(Debug, Default)]
pub(super) struct EndedIncarnations {
    ended: VecDeque<(SocketAddr, Incarnation)>,
}

impl EndedIncarnations {
    pub(super) fn contains(&self, member: &Member) -> bool {
        self.ended.contains(&(member.address, member.incarnation))
    }

    pub(super) fn record(&mut self, address: SocketAddr, incarnation: Incarnation) {
        self.ended.push_back((address, incarnation));
        if self.ended.len() > MAX_ENDED_INCARNATIONS {
            self.ended.pop_front();
        }
    }

    /// The incarnation has proved to be running.
    pub(super) fn clear(&mut self, address: SocketAddr, incarnation: Incarnation) {
        self.ended.retain(|ended| *ended != (address, incarnation));
    }
}

#[derive(Clone, Debug)]
struct LostNeighbor {
    member: Member,
    since: Instant,
}

/// Failed neighbors, which are probed in turn: after a network partition both sides find each other
/// again.
#[derive(Debug, Default)]
pub(super) struct LostNeighbors {
    lost: VecDeque<LostNeighbor>,
}

impl LostNeighbors {
    pub(super) fn contains(&self, address: SocketAddr) -> bool {
        self.lost.iter().any(|lost| lost.member.address == address)
    }

    pub(super) fn members_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.lost.iter_mut().map(|lost| &mut lost.member)
    }

    /// Adds a neighbor that this process has lost.
    pub(super) fn add(&mut self, now: Instant, member: Member) {
        self.remove(member.address);
        self.lost.push_back(LostNeighbor { member, since: now });
        if self.lost.len() > MAX_LOST_NEIGHBORS {
            self.lost.pop_front();
        }
    }

    /// Adds a neighbor that another process has lost, if there is capacity beside the own ones.
    pub(super) fn adopt(&mut self, member: Member, since: Instant) {
        if self.lost.len() < MAX_LOST_NEIGHBORS && !self.contains(member.address) {
            self.lost.push_back(LostNeighbor { member, since });
        }
    }

    /// Removes a lost neighbor. True if it was one.
    pub(super) fn remove(&mut self, address: SocketAddr) -> bool {
        let former_len = self.lost.len();
        self.lost.retain(|lost| lost.member.address != address);
        self.lost.len() < former_len
    }

    /// The next one to probe, in turn.
    pub(super) fn next_to_probe(&mut self) -> Option<SocketAddr> {
        self.lost.rotate_left(1.min(self.lost.len()));
        self.lost.front().map(|lost| lost.member.address)
    }

    /// Those that were lost within [`MEMBER_TIMEOUT`], except the process at this address.
    pub(super) fn recent(&self, now: Instant, except: SocketAddr) -> Vec<MemberDescriptor> {
        self.lost
            .iter()
            .filter(|lost| now < lost.since + MEMBER_TIMEOUT && lost.member.address != except)
            .map(|lost| super::descriptor(now, &lost.member, lost.since))
            .collect()
    }
}
