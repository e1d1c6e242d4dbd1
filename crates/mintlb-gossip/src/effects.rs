//! What a node wants done after it has handled an input.

use crate::message::Message;
use bytes::Bytes;
use mintlb_common::record::Record;
use std::net::SocketAddr;
use std::sync::Arc;

/// The longest message, apart from one that holds a single larger record.
pub const MAX_MESSAGE_BYTES: usize = 256 << 10;

/// One thing to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send these bytes.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The message.
        body: Bytes,
    },
    /// A message from this process could not be read.
    Malformed(SocketAddr),
    /// Tell the listeners that this record is newly in force here.
    Applied(Arc<Record>),
    /// A neighbour has said that it has this version, or a newer one.
    Acknowledged {
        /// [`crate::codec::record_id`] of the record's key.
        id: u64,
        /// The version that the neighbour has.
        version: u64,
    },
}

/// The effects of one input, as they come up.
#[derive(Debug, Default)]
pub struct Effects {
    list: Vec<Effect>,
}

impl Effects {
    /// Sends a message.
    pub fn send(&mut self, to: SocketAddr, message: &Message) {
        self.list.push(Effect::Send {
            to,
            body: message.to_bytes(),
        });
    }

    /// Sends one message to several; it is written once.
    pub fn send_all(&mut self, to: &[SocketAddr], message: &Message) {
        if to.is_empty() {
            return;
        }
        let body = message.to_bytes();
        self.list.extend(to.iter().map(|&to| Effect::Send {
            to,
            body: body.clone(),
        }));
    }

    /// Adds another effect.
    pub fn push(&mut self, effect: Effect) {
        self.list.push(effect);
    }

    /// All effects, in order.
    pub fn into_list(self) -> Vec<Effect> {
        self.list
    }
}
