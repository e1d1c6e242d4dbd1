//! Faults that tests inject into the simulated network.

use super::process::{ProcessState, address};
use super::{Event, SimulatedNetwork};
use bytes::Bytes;
use mintlb_gossip::node::Input;
use std::time::Duration;

/// A fault of one message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum MessageFault {
    Drop,
    Duplicate,
    Delay(Duration),
    /// Flips the bit with this number.
    FlipBit(usize),
}

/// A fault of one message, given by its number among all messages sent, from 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedFault {
    pub message: u64,
    pub fault: MessageFault,
}

impl SimulatedNetwork {
    /// Applies the fault to the message that is sent as the `nth` from now on, from 1.
    pub fn plan_fault(&mut self, nth: u64, fault: MessageFault) {
        self.planned_fault = Some(PlannedFault {
            message: self.sent_messages + nth,
            fault,
        });
    }

    /// Kills a process; its machine answers with resets.
    pub fn kill(&mut self, number: usize) {
        let process = self.process_mut(number);
        process.state = ProcessState::Down;
        process.node = None;
    }

    /// Switches off the machine of a process; nothing answers.
    pub fn power_off(&mut self, number: usize) {
        self.kill(number);
        self.process_mut(number).state = ProcessState::PoweredOff;
    }

    /// Starts a process again, with a new incarnation and an empty table.
    pub fn restart(&mut self, number: usize) {
        let incarnation = self.generate_incarnation();
        let process = self.process_mut(number);
        process.member.incarnation = incarnation;
        process.known_incarnations.clear();
        process.history.clear();
        self.start_process(address(number));
    }

    pub fn freeze(&mut self, number: usize) {
        self.process_mut(number).state = ProcessState::Frozen;
    }

    pub fn thaw(&mut self, number: usize) {
        let process = self.process_mut(number);
        process.state = ProcessState::Running;
        for (from, body) in std::mem::take(&mut process.inbox) {
            self.receive(address(number), from, body);
        }
        self.handle(address(number), Input::Tick);
    }

    /// Resets the connection in both directions.
    pub fn reset_connection(&mut self, one: usize, other: usize) {
        for (at, peer) in [(one, other), (other, one)] {
            let event = Event::Unreachable {
                at: address(at),
                peer: address(peer),
            };
            self.schedule(self.now, event);
        }
    }

    /// Partitions a zone from all others.
    pub fn partition_zone(&mut self, zone: &str) {
        self.partitioned_zones.insert(zone.into());
    }

    /// Blocks messages from one process to another; the opposite direction works.
    pub fn block_direction(&mut self, from: usize, to: usize) {
        self.blocked_directions.insert((address(from), address(to)));
    }

    /// Blocks messages between two processes.
    pub fn block_both_directions(&mut self, one: usize, other: usize) {
        self.block_direction(one, other);
        self.block_direction(other, one);
    }

    /// Ends all partitions and blocked directions.
    pub fn heal(&mut self) {
        self.partitioned_zones.clear();
        self.blocked_directions.clear();
    }
}

/// A copy of the message with one bit flipped.
pub(super) fn flip_bit(body: &Bytes, bit: usize) -> Bytes {
    let mut bytes = body.to_vec();
    if !bytes.is_empty() {
        let index = bit / 8 % bytes.len();
        bytes[index] ^= 1 << (bit % 8);
    }
    bytes.into()
}
