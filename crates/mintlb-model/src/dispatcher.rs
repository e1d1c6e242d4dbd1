//! A dispatcher: what it knows comes by the overlay.

use crate::context::{Context, Timer};
use crate::gossip::Gossip;
use crate::message::{Body, Packet};
use mintlb_overlay::Role;
use std::net::SocketAddr;

/// A dispatcher's process.
pub struct Dispatcher {
    gossip: Gossip,
}

impl Dispatcher {
    /// Starts the process.
    pub fn start(context: &mut Context, name: &str, seeds: &[SocketAddr]) -> Dispatcher {
        Dispatcher { gossip: Gossip::start(context, Role::Dispatcher, name, seeds) }
    }

    /// What it knows.
    pub fn gossip(&self) -> &Gossip {
        &self.gossip
    }

    /// A message came.
    pub fn packet(&mut self, context: &mut Context, packet: Packet) {
        if let Body::Overlay(body) = packet.body {
            self.gossip.received(context, packet.from, body);
        }
    }

    /// A process can't be reached.
    pub fn unreachable(&mut self, context: &mut Context, peer: SocketAddr) {
        self.gossip.unreachable(context, peer);
    }

    /// A timer ran out.
    pub fn timer(&mut self, context: &mut Context, timer: Timer) {
        if timer == Timer::Overlay {
            self.gossip.tick(context);
        }
    }
}
