//! The simulated network: cut links, and the delivery of each message.

use super::{Event, World};
use crate::message::{Body, Packet};
use crate::scenario::NetworkFaults;
use std::time::Duration;

/// How long bytes may stay unacknowledged before a connection counts as broken.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(1200);

/// Cut links and message faults.
pub struct Network {
    /// By sender and receiver, how many faults cut the link.
    cuts: Vec<Vec<u32>>,
    /// The message faults in effect.
    pub network_faults: NetworkFaults,
}

impl Network {
    /// A network without faults.
    pub fn new(machines: usize) -> Network {
        Network {
            cuts: vec![vec![0; machines]; machines],
            network_faults: NetworkFaults::default(),
        }
    }

    /// Cuts a link.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts[from][to] += 1;
    }

    /// Ends one cut of a link.
    pub fn join(&mut self, from: usize, to: usize) {
        self.cuts[from][to] -= 1;
    }

    /// Whether a link is cut.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts[from][to] > 0
    }
}

impl World {
    /// Puts a message on its way.
    pub(super) fn send(&mut self, from: usize, mut packet: Packet) {
        let there = self
            .machines
            .iter()
            .find(|machine| machine.address == packet.to);
        let incarnation = there
            .filter(|machine| machine.process.is_some())
            .map(|machine| machine.incarnation);
        packet.to_incarnation = packet.to_incarnation.or(incarnation);
        let network_faults = self.network.network_faults;
        if self.random.with_probability(network_faults.lost_percent) {
            return self.connection_lost(from, &packet, CONNECTION_TIMEOUT);
        }
        if self
            .random
            .with_probability(network_faults.duplicated_percent)
            && !matches!(packet.body, Body::Answer { .. })
        {
            let extra_delay = self.random.time(1, 200);
            self.schedule(
                extra_delay,
                Event::Packet {
                    from,
                    packet: packet.clone(),
                },
            );
        }
        let delay = match self.random.below(100) {
            0 => self.random.time(5, 40),
            _ if self.random.with_probability(network_faults.delayed_percent) => {
                self.random.time(1, 300)
            }
            _ => self.random.time(0, 3),
        };
        self.schedule(delay, Event::Packet { from, packet });
    }

    /// Hands a message over, if there is somebody.
    pub(super) fn deliver(&mut self, from: usize, packet: Packet) {
        let Some(to) = self
            .machines
            .iter()
            .position(|machine| machine.address == packet.to)
        else {
            // Nobody has this address any more.
            return self.connection_lost(from, &packet, CONNECTION_TIMEOUT);
        };
        if self.network.is_cut(from, to) {
            return self.connection_lost(from, &packet, CONNECTION_TIMEOUT);
        }
        let machine = &mut self.machines[to];
        if machine.frozen {
            machine.deferred_events.push(Event::Packet { from, packet });
            return;
        }
        let is_there = match packet.to_incarnation {
            Some(incarnation) => machine.runs(incarnation),
            None => machine.process.is_some(),
        };
        if !is_there {
            return self.connection_refused(from, &packet);
        }
        self.with(to, |process, context| process.packet(context, packet));
    }

    /// A connection is found broken after a while.
    fn connection_lost(&mut self, from: usize, packet: &Packet, after: Duration) {
        if let Body::Gossip(_) = packet.body {
            let (incarnation, peer) = (self.machines[from].incarnation, packet.to);
            self.schedule(
                after,
                Event::Unreachable {
                    machine: from,
                    incarnation,
                    peer,
                },
            );
        }
    }

    /// Nobody listens at an address: the sender hears of it at once.
    fn connection_refused(&mut self, from: usize, packet: &Packet) {
        let incarnation = self.machines[from].incarnation;
        let after = Duration::from_millis(1);
        match packet.body {
            Body::Gossip(_) => {
                let peer = packet.to;
                self.schedule(
                    after,
                    Event::Unreachable {
                        machine: from,
                        incarnation,
                        peer,
                    },
                );
            }
            Body::Call {
                id, incarnation, ..
            } => {
                self.schedule(
                    after,
                    Event::CallLost {
                        machine: from,
                        incarnation,
                        id,
                    },
                );
            }
            Body::Answer { .. } | Body::Batch(..) | Body::Heartbeat(_) => (),
        }
    }
}
