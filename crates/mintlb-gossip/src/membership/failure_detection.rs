//! Detection of failed neighbors, unanswered requests, and stalls of this process.

use super::active_view::NEIGHBOR_TIMEOUT;
use super::pending_requests::NEIGHBOR_REQUEST_TIMEOUT;
use super::{Membership, MembershipChange};
use crate::effects::Effects;
use crate::message::Message;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A tick that is this much late shows that this process was stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(600);
/// A neighbor to which messages are lost twice within this time is considered failed.
const REPEATED_LOSS_WINDOW: Duration = Duration::from_secs(1);

impl Membership {
    /// A message was received from this address: if it is a neighbor's, the neighbor is alive.
    pub fn on_received_from(&mut self, now: Instant, from: SocketAddr) {
        if let Some(neighbor) = self.active.get_mut(from) {
            neighbor.last_received = now;
        }
    }

    /// A process can't be reached, or messages to it were lost.
    pub fn on_unreachable(&mut self, now: Instant, peer: SocketAddr, effects: &mut Effects) {
        if self.requests.remove(peer) {
            self.on_request_failed(now, peer);
            if !self.active.is_empty() {
                self.fill_active_view(now, effects);
            }
        }
        let Some(neighbor) = self.active.get_mut(peer) else {
            return;
        };
        let is_repeated = |broken_at| now < broken_at + REPEATED_LOSS_WINDOW;
        if neighbor.broken_at.is_some_and(is_repeated) {
            self.on_neighbor_failed(now, peer);
            self.fill_active_view(now, effects);
        } else {
            neighbor.broken_at = Some(now);
            self.changes.push(MembershipChange::MessagesLost(peer));
        }
    }

    /// A process that was stalled has received nothing in this time, which is no fault of its
    /// neighbors: they get half the time-outs anew, and the tables are compared again.
    pub(super) fn detect_stall(&mut self, now: Instant, interval: Duration) {
        if now > self.last_tick + interval + STALL_THRESHOLD {
            log::info!(
                "gossip: this process was stalled, waits for heartbeats of {} neighbors",
                self.active.len()
            );
            for neighbor in self.active.iter_mut() {
                neighbor.last_received = neighbor.last_received.max(now - NEIGHBOR_TIMEOUT / 2);
                let address = neighbor.member.address;
                self.changes.push(MembershipChange::MessagesLost(address));
            }
            self.requests
                .set_deadline(now + NEIGHBOR_REQUEST_TIMEOUT / 2);
        }
        self.last_tick = now;
    }

    pub(super) fn drop_timed_out_neighbors(&mut self, now: Instant, effects: &mut Effects) {
        for address in self.active.timed_out(now) {
            effects.send(address, &Message::Disconnect);
            self.on_neighbor_failed(now, address);
        }
    }

    pub(super) fn expire_requests(&mut self, now: Instant) {
        for address in self.requests.take_expired(now) {
            self.on_request_failed(now, address);
        }
    }

    /// A neighbor has failed: it is removed, and probed until it answers.
    fn on_neighbor_failed(&mut self, now: Instant, address: SocketAddr) {
        let Some(member) = self.remove_neighbor(address) else {
            return;
        };
        log::info!(
            "gossip: lost neighbor {} at {address}, {} neighbors left",
            member.node_name,
            self.active.len()
        );
        self.recent_failures.record(now, address);
        self.lost_neighbors.add(now, member);
    }

    /// A request was not answered. A process without neighbors can't tell whose fault that is, and
    /// keeps the member.
    fn on_request_failed(&mut self, now: Instant, address: SocketAddr) {
        self.back_off(now, address);
        if !self.active.is_empty() {
            self.passive.remove(address);
            self.recent_failures.record(now, address);
        }
    }
}
