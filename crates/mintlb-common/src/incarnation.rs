//! The identity of one life of a process, from its start to its end.
//!
//! It is drawn, so that no two lives share one, whatever the clock says; of two incarnations none is the higher. Which
//! one is alive at an address is known by who answers there, see [`crate::transport`].

use minicbor::{Decode, Encode};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::time::SystemTime;

/// The identity of one life of a process; never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct Incarnation(#[n(0)] u64);

impl Incarnation {
    /// A new one. Besides chance, the address, the process id and the time of day go in, so that a machine with little
    /// chance at its start draws another one, too.
    pub fn generate(address: SocketAddr) -> Incarnation {
        let drawn = RandomState::new().hash_one((address, std::process::id(), SystemTime::now()));
        Incarnation(drawn.max(1))
    }

    /// The incarnation of this number; none for 0.
    pub fn from_number(number: u64) -> Option<Incarnation> {
        (number != 0).then_some(Incarnation(number))
    }

    /// Its number.
    pub fn number(self) -> u64 {
        self.0
    }
}
