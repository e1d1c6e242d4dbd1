//! The handshake by which two processes become neighbors: request, acceptance or rejection, and
//! disconnection.

use super::Membership;
use crate::effects::Effects;
use crate::message::{Message, NeighborReply, NeighborRequest};
use std::net::SocketAddr;
use tokio::time::Instant;

impl Membership {
    /// Whether the sender is a neighbor. If it is not, and is not being asked either, it is told
    /// so: it may take this process for its neighbor.
    pub fn require_neighbor(&mut self, from: SocketAddr, effects: &mut Effects) -> bool {
        let is_neighbor = self.is_neighbor(from);
        if !is_neighbor && !self.requests.contains(from) {
            effects.send(from, &Message::Disconnect);
        }
        is_neighbor
    }

    /// Handles a NEIGHBOR request. With a full active view one of low priority is rejected, and one
    /// of high priority evicts another neighbor.
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
        if !self.is_neighbor(from) && self.active.is_full() {
            if !request.high_priority {
                let reply = self.neighbor_reply(now, from);
                self.on_direct_contact(now, request.member);
                return effects.send(from, &Message::NeighborRejected(reply));
            }
            self.evict_neighbor(now, effects);
        }
        let reply = self.neighbor_reply(now, from);
        effects.send(from, &Message::NeighborAccepted(reply));
        self.add_neighbor(now, request.member);
    }

    /// Handles the acceptance of a request.
    pub fn on_neighbor_accepted(
        &mut self,
        now: Instant,
        from: SocketAddr,
        reply: NeighborReply,
        effects: &mut Effects,
    ) {
        let was_requested = self.requests.remove(from);
        self.merge_descriptors(now, reply.sample);
        self.adopt_lost_neighbors(now, reply.lost_neighbors);
        if reply.member.address != from || self.active.contains_incarnation(&reply.member) {
            return;
        }
        if !was_requested {
            self.on_direct_contact(now, reply.member);
            return effects.send(from, &Message::Disconnect);
        }
        self.seeds.reset_backoff(from);
        if self.active.is_full() {
            self.evict_neighbor(now, effects);
        }
        self.add_neighbor(now, reply.member);
    }

    /// Handles the rejection of a request: the sender's active view is full.
    pub fn on_neighbor_rejected(
        &mut self,
        now: Instant,
        from: SocketAddr,
        reply: NeighborReply,
        effects: &mut Effects,
    ) {
        self.requests.remove(from);
        self.consecutive_rejections += 1;
        self.merge_descriptors(now, reply.sample);
        self.adopt_lost_neighbors(now, reply.lost_neighbors);
        if reply.member.address == from {
            self.on_direct_contact(now, reply.member);
        }
        self.back_off(now, from);
        self.fill_active_view(now, effects);
    }

    /// Handles a DISCONNECT: the sender has removed this process from its active view.
    pub fn on_disconnect(&mut self, now: Instant, from: SocketAddr, effects: &mut Effects) {
        if let Some(member) = self.remove_neighbor(from) {
            self.add_passive(now, member, now);
            self.fill_active_view(now, effects);
        }
    }

    pub(super) fn send_neighbor_request(
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
        self.requests.add(now, to);
    }

    fn neighbor_reply(&mut self, now: Instant, to: SocketAddr) -> NeighborReply {
        NeighborReply {
            member: self.own.clone(),
            sample: self.sample(now, to),
            lost_neighbors: self.lost_neighbors.recent(now, to),
        }
    }
}
