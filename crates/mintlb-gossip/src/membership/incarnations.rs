//! Which incarnation of a process is current. Numbers of incarnations are random and have no order:
//! the one that was last received from directly is current.

use super::Membership;
use crate::effects::Effects;
use crate::message::Member;
use mintlb_common::incarnation::Incarnation;
use std::net::SocketAddr;
use tokio::time::Instant;

impl Membership {
    /// The transport has found another incarnation at the address.
    pub fn on_restarted(
        &mut self,
        now: Instant,
        address: SocketAddr,
        incarnation: Incarnation,
        effects: &mut Effects,
    ) {
        self.requests.remove(address);
        self.supersede_incarnation(now, address, incarnation);
        self.fill_active_view(now, effects);
    }

    /// A message came directly from this member, which is no neighbor: it is running.
    pub(super) fn on_direct_contact(&mut self, now: Instant, member: Member) {
        self.recent_failures.clear(member.address);
        self.supersede_incarnation(now, member.address, member.incarnation);
        self.add_passive(now, member, now);
    }

    /// The process at the address runs in this incarnation. Any other one that is known there has
    /// ended, and if this one was taken for ended, that was wrong. What else is known of the
    /// process is kept for the new incarnation until it describes itself.
    pub(super) fn supersede_incarnation(
        &mut self,
        now: Instant,
        address: SocketAddr,
        incarnation: Incarnation,
    ) {
        let is_former =
            |member: &Member| member.address == address && member.incarnation != incarnation;
        self.ended_incarnations.clear(address, incarnation);
        if self.active.members().any(is_former)
            && let Some(former) = self.remove_neighbor(address)
        {
            self.ended_incarnations.record(address, former.incarnation);
            let current = Member {
                incarnation,
                ..former
            };
            self.add_passive(now, current, now);
        }
        let passive = self.passive.members_mut();
        let known = passive.chain(self.lost_neighbors.members_mut());
        for member in known.filter(|member| is_former(member)) {
            self.ended_incarnations.record(address, member.incarnation);
            member.incarnation = incarnation;
        }
    }
}
