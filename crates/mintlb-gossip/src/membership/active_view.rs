//! The active view: the neighbors, with which messages are exchanged.

use crate::message::{Member, MemberDescriptor};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How many neighbors a process looks for.
pub const ACTIVE_VIEW_TARGET: usize = 4;
/// How many neighbors a process has at most.
pub const ACTIVE_VIEW_CAPACITY: usize = 6;
/// A neighbor from which nothing was received for this long is considered failed.
pub const NEIGHBOR_TIMEOUT: Duration = Duration::from_millis(1300);

#[derive(Clone, Debug)]
pub(super) struct ActiveEntry {
    pub(super) member: Member,
    pub(super) last_received: Instant,
    /// When messages on the link were last lost.
    pub(super) broken_at: Option<Instant>,
}

impl ActiveEntry {
    pub(super) fn new(now: Instant, member: Member) -> ActiveEntry {
        ActiveEntry {
            member,
            last_received: now,
            broken_at: None,
        }
    }
}

/// The neighbors of a process.
#[derive(Debug, Default)]
pub(super) struct ActiveView {
    entries: Vec<ActiveEntry>,
}

impl ActiveView {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn is_full(&self) -> bool {
        self.entries.len() >= ACTIVE_VIEW_CAPACITY
    }

    pub(super) fn contains(&self, address: SocketAddr) -> bool {
        self.addresses().any(|neighbor| neighbor == address)
    }

    /// Whether the process is a neighbor in just this incarnation.
    pub(super) fn contains_incarnation(&self, member: &Member) -> bool {
        self.members().any(|neighbor| {
            (neighbor.address, neighbor.incarnation) == (member.address, member.incarnation)
        })
    }

    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.members().map(|member| member.address)
    }

    pub(super) fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.iter().map(|entry| &entry.member)
    }

    pub(super) fn descriptors(&self, now: Instant) -> impl Iterator<Item = MemberDescriptor> + '_ {
        let entries = self.entries.iter();
        entries.map(move |entry| super::descriptor(now, &entry.member, entry.last_received))
    }

    pub(super) fn get_mut(&mut self, address: SocketAddr) -> Option<&mut ActiveEntry> {
        self.entries
            .iter_mut()
            .find(|entry| entry.member.address == address)
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut ActiveEntry> {
        self.entries.iter_mut()
    }

    /// The neighbors from which nothing was received for [`NEIGHBOR_TIMEOUT`].
    pub(super) fn timed_out(&self, now: Instant) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .filter(|entry| now > entry.last_received + NEIGHBOR_TIMEOUT)
            .map(|entry| entry.member.address)
            .collect()
    }

    /// Adds a neighbor, in place of a former incarnation at its address.
    pub(super) fn insert(&mut self, entry: ActiveEntry) {
        match self.get_mut(entry.member.address) {
            Some(known) => *known = entry,
            None => self.entries.push(entry),
        }
    }

    pub(super) fn remove(&mut self, address: SocketAddr) -> Option<Member> {
        let index = self.addresses().position(|neighbor| neighbor == address)?;
        Some(self.entries.swap_remove(index).member)
    }

    pub(super) fn has_other_zone(&self, own_zone: &str) -> bool {
        self.members().any(|member| member.zone != own_zone)
    }

    /// The neighbor in another zone, if there is exactly one.
    pub(super) fn only_in_other_zone(&self, own_zone: &str) -> Option<SocketAddr> {
        let mut others = self.members().filter(|member| member.zone != own_zone);
        let only = others.next().filter(|_| others.next().is_none());
        only.map(|member| member.address)
    }
}
