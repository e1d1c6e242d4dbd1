//! The incarnation known at each peer address.
//!
//! There are two sources. The process that *accepts* a connection at an address is the one that
//! runs there. A process that *dials* and names an address may have ended since: its bytes may have
//! been buffered while this process was suspended. If another incarnation is known at the address,
//! the address is therefore queried before anything from the dialer is accepted. If the query
//! fails, the dialer is believed: a live incarnation would have replied, or will dial again and
//! cause a query in its turn.
//!
//! Pure state: no I/O and no clock.

use crate::incarnation::Incarnation;
use std::collections::HashMap;
use std::net::SocketAddr;

/// Maximum number of addresses in the table; at further addresses any incarnation is accepted.
const MAX_ADDRESSES: usize = 4096;

/// The result of checking a process that dials against the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialCheck {
    /// The incarnation is the known one, or the first at its address.
    Known,
    /// Another incarnation is known at the address, which has to be queried.
    Conflict,
}

/// The known incarnations by address.
#[derive(Debug, Default)]
pub struct IncarnationTable {
    known: HashMap<SocketAddr, Incarnation>,
}

impl IncarnationTable {
    /// The incarnation that messages to this address are meant for.
    pub fn get(&self, address: SocketAddr) -> Option<Incarnation> {
        self.known.get(&address).copied()
    }

    /// Checks a process that dials and claims this address.
    pub fn check_dialer(&mut self, address: SocketAddr, incarnation: Incarnation) -> DialCheck {
        match self.get(address) {
            Some(known) if known != incarnation => DialCheck::Conflict,
            Some(_) => DialCheck::Known,
            None => {
                self.confirm(address, incarnation);
                DialCheck::Known
            }
        }
    }

    /// Stores the incarnation that was found at the address. Returns whether it replaces another
    /// one.
    pub fn confirm(&mut self, address: SocketAddr, incarnation: Incarnation) -> bool {
        if !self.known.contains_key(&address) && self.known.len() >= MAX_ADDRESSES {
            return false;
        }
        let previous = self.known.insert(address, incarnation);
        previous.is_some_and(|previous| previous != incarnation)
    }

    /// Whether messages from this incarnation are still accepted.
    pub fn is_current(&self, address: SocketAddr, incarnation: Incarnation) -> bool {
        self.get(address).is_none_or(|known| known == incarnation)
    }
}
