//! One connection, as the protocol knows it.

use crate::codec::Tube;
use mintlb::Runs;
use mintlb_core::work::{AllocId, Order};
use rustc_hash::FxHashMap;
use std::net::IpAddr;

pub struct Session {
    pub machine: IpAddr,
    pub used: Tube,
    pub watched: Vec<Tube>,
    /// What it runs, once it has waited for work: the group that it is in.
    pub runs: Option<Runs>,
    pub waits: Option<Wait>,
    /// Work on its way to it, of which no byte is written yet, and until when its reserve waited.
    pub coming: Option<(Order, Option<f64>)>,
    /// The work that was last given to it, until its last byte, at this place, is written.
    pub fresh: Option<(u64, u64)>,
    pub held: FxHashMap<u64, Reservation>,
    pub out: Out,
    /// It has put, or reserved, or been told to end.
    pub produces: bool,
    pub works: bool,
    pub ends: bool,
    /// Not even what it was to be sent may be written any more.
    pub cut: bool,
}

/// A reserve that waits, since a place in the row, until a time if it has one.
#[derive(Clone, Copy, Debug)]
pub struct Wait {
    pub place: u64,
    pub until: Option<f64>,
}

/// A job that it was given.
#[derive(Debug)]
pub struct Reservation {
    pub given: Given,
    /// Its last byte was written to the connection.
    pub written: bool,
    pub since: f64,
    pub ttr: f64,
    /// When it ends if the worker says nothing, and the latest that saying something can make of that.
    pub deadline: f64,
    pub until: f64,
    /// What it is due by, so that a touch need not search.
    pub due: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Given {
    Work(AllocId),
    /// A job that tells of an end.
    News,
}

/// Bytes on their way out, counted from the connection's begin.
#[derive(Default)]
pub struct Out {
    pub waiting: Vec<u8>,
    pub queued: u64,
    pub written: u64,
}

impl Out {
    pub fn put(&mut self, bytes: &[u8]) {
        self.waiting.extend_from_slice(bytes);
        self.queued += bytes.len() as u64;
    }
}

impl Session {
    pub fn new(machine: IpAddr, usual: &Tube) -> Session {
        Session {
            machine,
            used: usual.clone(),
            watched: vec![usual.clone()],
            runs: None,
            waits: None,
            coming: None,
            fresh: None,
            held: FxHashMap::default(),
            out: Out::default(),
            produces: false,
            works: false,
            ends: false,
            cut: false,
        }
    }

    /// When the first of what it holds is due.
    pub fn soonest(&self) -> Option<f64> {
        self.held.values().map(|held| held.deadline).reduce(f64::min)
    }

    /// The next command must wait for what the last one asked for.
    pub fn is_blocked(&self) -> bool {
        self.waits.is_some() || self.coming.is_some()
    }
}
