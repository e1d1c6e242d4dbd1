//! A linearizable read in one round, which promises nothing and syncs nothing.
//!
//! When a quorum reports one ballot, that ballot's value is chosen. Any later value that was chosen before the read
//! began would have been accepted by one of them. If no quorum agrees, the read is unclear, and a proposal of
//! [`crate::change::Change::Confirm`] decides.

use crate::ballot::Ballot;
use crate::message::{Accepted, Ask, Reply, Report, Request};
use crate::state::{Replica, ReplicaId, ReplicaSet};
use std::collections::{BTreeMap, BTreeSet};

/// How far a read is.
#[derive(Clone, Debug, PartialEq)]
pub enum Progress {
    /// Send these; the end is open.
    Ask(Vec<(Replica, Request)>),
    /// This value is chosen, and was the newest one when the read began or is newer.
    Chosen(Accepted),
    /// No quorum agrees.
    Unclear,
}

/// One read.
#[derive(Debug)]
pub struct Reading {
    known: Option<Accepted>,
    rule: ReplicaSet,
    newest: Option<Accepted>,
    asked: BTreeSet<ReplicaId>,
    reported: BTreeMap<ReplicaId, Option<Ballot>>,
    open: usize,
    highest_promise: Ballot,
}

impl Reading {
    /// A read by the newest set that the reader knows; `known` is the value it has, if any.
    pub fn start(rule: ReplicaSet, known: Option<Accepted>) -> (Reading, Progress) {
        let mut reading = Reading {
            known,
            rule,
            newest: None,
            asked: BTreeSet::new(),
            reported: BTreeMap::new(),
            open: 0,
            highest_promise: Ballot::default(),
        };
        let progress = reading.progress();
        (reading, progress)
    }

    /// A replica's reply, or `None` if it is lost.
    pub fn reply(&mut self, from: ReplicaId, reply: Option<Reply>) -> Progress {
        self.open = self.open.saturating_sub(1);
        if let Some(Reply::Read { report, promised }) = reply {
            self.highest_promise = self.highest_promise.max(promised);
            self.reported.insert(from, report.ballot());
            let value = match report {
                Report::Value(accepted) => Some(accepted),
                Report::Known(_) => self.known.clone(),
                Report::Nothing => None,
            };
            let newest = self.newest.as_ref().map(|newest| newest.ballot);
            if let Some(value) = value.filter(|value| Some(value.ballot) > newest) {
                self.rule = value.state.replicas.clone();
                self.newest = Some(value);
            }
        }
        self.progress()
    }

    /// The highest ballot that has been promised, as far as the read has seen: a proposal has to be above it.
    pub fn highest_promise(&self) -> Ballot {
        self.highest_promise
    }

    fn progress(&mut self) -> Progress {
        if let Some(newest) = &self.newest {
            let agrees = |id| self.reported.get(&id) == Some(&Some(newest.ballot));
            if self.rule.is_quorum(agrees) {
                return Progress::Chosen(newest.clone());
            }
        }
        let known = self.known.as_ref().map(|known| known.ballot);
        let new: Vec<Replica> = self
            .rule
            .members()
            .filter(|replica| !self.asked.contains(&replica.id))
            .cloned()
            .collect();
        self.asked.extend(new.iter().map(|replica| replica.id));
        self.open += new.len();
        if self.open == 0 {
            return Progress::Unclear;
        }
        let ask = |replica: Replica| {
            let request = Request {
                target: replica.id,
                ask: Ask::Read { known },
            };
            (replica, request)
        };
        Progress::Ask(new.into_iter().map(ask).collect())
    }
}
