//! The incarnation of a process: the identity of one run, from its start to its end.
//!
//! Incarnations are random and have no order, so that two runs never share one, whatever the clock
//! says. Which one is alive at an address is learned from the process that answers there, see
//! [`crate::transport`].

use minicbor::{Decode, Encode};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::time::SystemTime;

/// The identity of one run of a process; never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct Incarnation(#[n(0)] u64);

impl Incarnation {
    /// Generates a new incarnation. Address, process id and time of day are mixed in, so that a
    /// machine with little entropy at its start gets a new one, too.
    pub fn generate(address: SocketAddr) -> Incarnation {
        let random = RandomState::new().hash_one((address, std::process::id(), SystemTime::now()));
        Incarnation(random.max(1))
    }

    /// The incarnation with this number; `None` for 0.
    pub fn from_number(number: u64) -> Option<Incarnation> {
        (number != 0).then_some(Incarnation(number))
    }

    /// The number of the incarnation.
    pub fn number(self) -> u64 {
        self.0
    }
}
