//! Who speaks: which life of which member is the present one. Pure. What is dropped here costs use, never the promise.

use crate::word::{Id, Letter};
use std::collections::BTreeMap;
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
    /// Of an earlier life than its present one.
    Earlier,
}

/// A member whose clock was set back before it started again is heard after so many leases of silence.
const SILENCE: f64 = 4.0;

pub struct Members {
    fleet: u64,
    me: Id,
    at: BTreeMap<Id, SocketAddr>,
    silence: f64,
    /// The latest life of each, and when it was last heard.
    lives: BTreeMap<Id, (u64, f64)>,
}

impl Members {
    pub fn new(fleet: u64, me: Id, at: BTreeMap<Id, SocketAddr>, lease: f64) -> Members {
        Members {
            fleet,
            me,
            at,
            silence: SILENCE * lease,
            lives: BTreeMap::new(),
        }
    }

    pub fn at(&self, id: Id) -> Option<SocketAddr> {
        self.at.get(&id).copied()
    }

    /// A datagram's letter, if it is to be heard. Later lives have greater numbers, so that old words that come again can
    /// never pass for those of a later life, and shut that out.
    pub fn read(&mut self, now: f64, from: SocketAddr, bytes: &[u8]) -> Result<Letter, Dropped> {
        let letter = Letter::read(bytes).ok_or(Dropped::Unreadable)?;
        if letter.fleet != self.fleet || letter.to != self.me || letter.from == self.me {
            return Err(Dropped::Astray);
        }
        if self.at(letter.from) != Some(from) {
            return Err(Dropped::Stranger);
        }
        let (life, heard) = self.lives.entry(letter.from).or_insert((letter.life, now));
        if letter.life < *life && now < *heard + self.silence {
            return Err(Dropped::Earlier);
        }
        (*life, *heard) = (letter.life, now);
        Ok(letter)
    }
}
