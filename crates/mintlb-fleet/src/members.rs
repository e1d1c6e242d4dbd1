//! Who speaks: which life of which member is the present one. Pure. What is dropped here costs use, never the promise.

use crate::word::{Id, Letter};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dropped {
    /// No word of ours: too long, cut short, or something else.
    Unreadable,
    /// Of another fleet, or for another member.
    Astray,
    /// Not from the address of who it says that it is from.
    Stranger,
    /// Of a life that a later one has followed.
    Earlier,
}

/// Earlier lives that are remembered of each.
const LIVES: usize = 8;

pub struct Members {
    fleet: u64,
    me: Id,
    at: BTreeMap<Id, SocketAddr>,
    /// The present life of each, the latest first, and the ones before it.
    lives: BTreeMap<Id, VecDeque<u64>>,
}

impl Members {
    pub fn new(fleet: u64, me: Id, at: BTreeMap<Id, SocketAddr>) -> Members {
        Members { fleet, me, at, lives: BTreeMap::new() }
    }

    pub fn at(&self, id: Id) -> Option<SocketAddr> {
        self.at.get(&id).copied()
    }

    /// A datagram's letter, if it is to be heard.
    pub fn read(&mut self, from: SocketAddr, bytes: &[u8]) -> Result<Letter, Dropped> {
        let letter = Letter::read(bytes).ok_or(Dropped::Unreadable)?;
        if letter.fleet != self.fleet || letter.to != self.me || letter.from == self.me {
            return Err(Dropped::Astray);
        }
        if self.at(letter.from) != Some(from) {
            return Err(Dropped::Stranger);
        }
        let lives = self.lives.entry(letter.from).or_default();
        match lives.iter().position(|life| *life == letter.life) {
            Some(0) => Ok(letter),
            Some(_) => Err(Dropped::Earlier),
            None => {
                lives.push_front(letter.life);
                lives.truncate(LIVES);
                Ok(letter)
            }
        }
    }
}
