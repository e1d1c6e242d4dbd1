//! The model's network: who does not reach whom, and what becomes of each message.

use super::{Event, World};
use crate::history::Weather;
use crate::message::{Body, Packet};
use std::time::Duration;

/// So long bytes may stay unacknowledged before a connection counts as broken.
const PATIENCE: Duration = Duration::from_millis(1200);

/// Ways that are cut, and the weather.
pub struct Network {
    /// By sender and receiver, how many faults cut the way.
    cuts: Vec<Vec<u32>>,
    /// The weather now.
    pub weather: Weather,
}

impl Network {
    /// A network without faults.
    pub fn new(machines: usize) -> Network {
        Network {
            cuts: vec![vec![0; machines]; machines],
            weather: Weather::default(),
        }
    }

    /// Cuts a way.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts[from][to] += 1;
    }

    /// Ends one cut of a way.
    pub fn join(&mut self, from: usize, to: usize) {
        self.cuts[from][to] -= 1;
    }

    /// Whether a way is cut.
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
        let life = there
            .filter(|machine| machine.process.is_some())
            .map(|machine| machine.life);
        packet.to_life = packet.to_life.or(life);
        let weather = self.network.weather;
        if self.random.chance(weather.dropped) {
            return self.breaks(from, &packet, PATIENCE);
        }
        if self.random.chance(weather.doubled) && !matches!(packet.body, Body::Answer { .. }) {
            let late = self.random.time(1, 200);
            self.schedule(
                late,
                Event::Packet {
                    from,
                    packet: packet.clone(),
                },
            );
        }
        let delay = match self.random.below(100) {
            0 => self.random.time(5, 40),
            _ if self.random.chance(weather.late) => self.random.time(1, 300),
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
            return self.breaks(from, &packet, PATIENCE);
        };
        if self.network.is_cut(from, to) {
            return self.breaks(from, &packet, PATIENCE);
        }
        let machine = &mut self.machines[to];
        if machine.frozen {
            machine.held.push(Event::Packet { from, packet });
            return;
        }
        let is_there = match packet.to_life {
            Some(life) => machine.runs(life),
            None => machine.process.is_some(),
        };
        if !is_there {
            return self.refused(from, &packet);
        }
        self.with(to, |process, context| process.packet(context, packet));
    }

    /// A connection is found broken after a while.
    fn breaks(&mut self, from: usize, packet: &Packet, after: Duration) {
        if let Body::Gossip(_) = packet.body {
            let (life, peer) = (self.machines[from].life, packet.to);
            self.schedule(
                after,
                Event::Unreachable {
                    machine: from,
                    life,
                    peer,
                },
            );
        }
    }

    /// Nobody listens at an address: the sender hears of it at once.
    fn refused(&mut self, from: usize, packet: &Packet) {
        let life = self.machines[from].life;
        let after = Duration::from_millis(1);
        match packet.body {
            Body::Gossip(_) => {
                let peer = packet.to;
                self.schedule(
                    after,
                    Event::Unreachable {
                        machine: from,
                        life,
                        peer,
                    },
                );
            }
            Body::Call { id, life, .. } => {
                self.schedule(
                    after,
                    Event::CallLost {
                        machine: from,
                        life,
                        id,
                    },
                );
            }
            Body::Answer { .. } | Body::Lots(..) | Body::Heartbeat(_) => (),
        }
    }
}
