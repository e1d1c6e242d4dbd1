//! A simulated process: a node and what its machine and transport know.

use super::BASE_PORT;
use bytes::Bytes;
use mintlb_common::incarnation::Incarnation;
use mintlb_gossip::Member;
use mintlb_gossip::node::Node;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use tokio::time::Instant;

/// The address of the process with this number.
pub fn address(number: usize) -> SocketAddr {
    let ip = Ipv4Addr::new(10, 0, (number / 250) as u8, (number % 250) as u8 + 1);
    SocketAddr::V4(SocketAddrV4::new(ip, BASE_PORT))
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ProcessState {
    /// The machine answers with connection resets.
    Down,
    Running,
    /// Nothing reaches it, it sends nothing, and no reset comes back.
    PoweredOff,
    /// It does not run; messages to it are kept until it does.
    Frozen,
}

/// The sender of a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Sender {
    pub(super) address: SocketAddr,
    pub(super) incarnation: Incarnation,
}

/// A record that a node has applied.
#[derive(Clone, Debug)]
pub(super) struct AppliedVersion {
    pub(super) key: String,
    pub(super) version: u64,
}

pub(super) struct Process {
    pub(super) member: Member,
    pub(super) node: Option<Node>,
    pub(super) state: ProcessState,
    pub(super) wake_at: Instant,
    /// Messages that have arrived while it was frozen.
    pub(super) inbox: Vec<(Sender, Bytes)>,
    /// The incarnation of the last message from each address, as the transport keeps it.
    pub(super) known_incarnations: HashMap<SocketAddr, Incarnation>,
    pub(super) sent_bytes: u64,
    pub(super) sent_messages: u64,
    /// The applied records, in order.
    pub(super) history: Vec<AppliedVersion>,
    /// How many publications were acknowledged.
    pub(super) acknowledged: u64,
}

impl Process {
    /// A process that has not started yet.
    pub(super) fn new(now: Instant, member: Member) -> Process {
        Process {
            member,
            node: None,
            state: ProcessState::Down,
            wake_at: now,
            inbox: Vec::new(),
            known_incarnations: HashMap::new(),
            sent_bytes: 0,
            sent_messages: 0,
            history: Vec::new(),
            acknowledged: 0,
        }
    }

    pub(super) fn sender(&self) -> Sender {
        Sender {
            address: self.member.address,
            incarnation: self.member.incarnation,
        }
    }

    /// Whether versions of each key only ever increased.
    pub(super) fn versions_only_increase(&self) -> bool {
        let mut newest: HashMap<&str, u64> = HashMap::new();
        self.history.iter().all(|applied| {
            let former = newest.insert(&applied.key, applied.version);
            former.is_none_or(|former| former < applied.version)
        })
    }
}
