//! The passive view: other known processes, candidates for the active view.

use crate::message::{Member, MemberDescriptor};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How many processes the passive view has at most.
pub const PASSIVE_VIEW_CAPACITY: usize = 30;
/// Members from which no process has received anything for this long are not reported.
pub const MEMBER_TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Clone, Debug)]
struct PassiveEntry {
    member: Member,
    /// When any process last received a message from it, as far as known.
    last_received: Instant,
    /// It is not asked to become a neighbor before then.
    retry_after: Instant,
}

/// Known processes that are not neighbors.
#[derive(Debug, Default)]
pub(super) struct PassiveView {
    entries: Vec<PassiveEntry>,
}

impl PassiveView {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn members_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.entries.iter_mut().map(|entry| &mut entry.member)
    }

    /// The members from which some process has received something within [`MEMBER_TIMEOUT`].
    pub(super) fn recent(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.entries
            .iter()
            .filter(move |entry| now < entry.last_received + MEMBER_TIMEOUT)
            .map(|entry| &entry.member)
    }

    pub(super) fn descriptors(&self, now: Instant) -> impl Iterator<Item = MemberDescriptor> + '_ {
        let entries = self.entries.iter();
        entries.map(move |entry| super::descriptor(now, &entry.member, entry.last_received))
    }

    /// The members that may be asked to become neighbors now.
    pub(super) fn candidates(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.entries
            .iter()
            .filter(move |entry| now >= entry.retry_after)
            .map(|entry| &entry.member)
    }

    /// Whether a member in another zone meets the condition.
    pub(super) fn any_in_other_zone(
        &self,
        own_zone: &str,
        condition: impl Fn(SocketAddr) -> bool,
    ) -> bool {
        self.entries
            .iter()
            .map(|entry| &entry.member)
            .any(|member| member.zone != own_zone && condition(member.address))
    }

    /// Adds a member or refreshes the entry of its address. A full view replaces the member that
    /// was silent for longest.
    pub(super) fn add(&mut self, now: Instant, member: Member, last_received: Instant) {
        if let Some(known) = self.get_mut(member.address) {
            known.refresh(member, last_received);
            return;
        }
        if self.entries.len() >= PASSIVE_VIEW_CAPACITY && !self.evict_older_than(last_received) {
            return;
        }
        self.entries.push(PassiveEntry {
            member,
            last_received,
            retry_after: now,
        });
    }

    pub(super) fn remove(&mut self, address: SocketAddr) {
        self.entries.retain(|entry| entry.member.address != address);
    }

    /// The member is not asked to become a neighbor before this time.
    pub(super) fn back_off(&mut self, address: SocketAddr, retry_after: Instant) {
        if let Some(entry) = self.get_mut(address) {
            entry.retry_after = retry_after;
        }
    }

    fn get_mut(&mut self, address: SocketAddr) -> Option<&mut PassiveEntry> {
        self.entries
            .iter_mut()
            .find(|entry| entry.member.address == address)
    }

    /// Removes the entry with the oldest information, unless all is newer than this time. True if
    /// it was removed.
    fn evict_older_than(&mut self, last_received: Instant) -> bool {
        let indexes = 0..self.entries.len();
        let oldest = indexes.min_by_key(|&index| self.entries[index].last_received);
        let evicted = oldest.filter(|&index| self.entries[index].last_received <= last_received);
        if let Some(index) = evicted {
            self.entries.swap_remove(index);
        }
        evicted.is_some()
    }
}

impl PassiveEntry {
    /// Takes over newer information. Older information about another incarnation is ignored.
    fn refresh(&mut self, member: Member, last_received: Instant) {
        if member.incarnation == self.member.incarnation || last_received > self.last_received {
            self.last_received = self.last_received.max(last_received);
            self.member = member;
        }
    }
}
