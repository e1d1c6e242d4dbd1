//! Which life of a process is at which address, as far as is known here; pure.
//!
//! Two things tell of it. Who *answers* at an address is the one that is there. Who *dials* and names an address may be a
//! life that has ended, whose bytes lay about while this process was frozen: if another life is known, the address is
//! asked before anything that came is taken. If it can't be reached the newcomer is believed, as a living process would
//! have answered, or will dial again and be asked for in its turn.

use crate::incarnation::Incarnation;
use std::collections::HashMap;
use std::net::SocketAddr;

/// How many addresses are remembered at most; of further ones no life is expected.
const MAX_ADDRESSES: usize = 4096;

/// What to do about a process that dials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialCheck {
    /// It is the life that is known, or the first one heard of.
    Known,
    /// Another life is known at its address, which is to be asked who is there.
    Conflict,
}

/// The lives by address.
#[derive(Debug, Default)]
pub struct IncarnationTable {
    known: HashMap<SocketAddr, Incarnation>,
}

impl IncarnationTable {
    /// The life that messages to this address are meant for.
    pub fn at(&self, address: SocketAddr) -> Option<Incarnation> {
        self.known.get(&address).copied()
    }

    /// A process dials and says that it is at this address.
    pub fn check_dialer(&mut self, address: SocketAddr, incarnation: Incarnation) -> DialCheck {
        match self.at(address) {
            Some(known) if known != incarnation => DialCheck::Conflict,
            Some(_) => DialCheck::Known,
            None => {
                self.confirm(address, incarnation);
                DialCheck::Known
            }
        }
    }

    /// This life is at the address; whether another one was known there.
    pub fn confirm(&mut self, address: SocketAddr, incarnation: Incarnation) -> bool {
        if !self.known.contains_key(&address) && self.known.len() >= MAX_ADDRESSES {
            return false;
        }
        self.known
            .insert(address, incarnation)
            .is_some_and(|before| before != incarnation)
    }

    /// Whether what comes from this life is still taken.
    pub fn is_current(&self, address: SocketAddr, incarnation: Incarnation) -> bool {
        self.at(address).is_none_or(|known| known == incarnation)
    }
}
