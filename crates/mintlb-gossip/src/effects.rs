//! The effects of an input on a node: what its driver has to do.

use crate::message::{Message, RecordVersion};
use bytes::Bytes;
use mintlb_common::record::Record;
use std::net::SocketAddr;
use std::sync::Arc;

/// An effect, to be carried out by the driver.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The encoded message.
        body: Bytes,
    },
    /// Count a malformed message from this process.
    Malformed(SocketAddr),
    /// Deliver a record to the subscribers: it has replaced an older version, or is new.
    Applied(Arc<Record>),
    /// Complete the publications that wait for this version or an older one: a neighbor has it.
    Acknowledged(RecordVersion),
}

/// The effects of one input, in the order in which they arise.
#[derive(Debug, Default)]
pub struct Effects {
    effects: Vec<Effect>,
}

impl Effects {
    /// Sends a message.
    pub fn send(&mut self, to: SocketAddr, message: &Message) {
        self.send_all(&[to], message);
    }

    /// Sends a message to several processes. It is encoded once.
    pub fn send_all(&mut self, to: &[SocketAddr], message: &Message) {
        if to.is_empty() {
            return;
        }
        let body = message.to_bytes();
        let sends = to.iter().map(|&to| Effect::Send {
            to,
            body: body.clone(),
        });
        self.effects.extend(sends);
    }

    /// Adds another effect.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// All effects, in order.
    pub fn into_vec(self) -> Vec<Effect> {
        self.effects
    }
}
