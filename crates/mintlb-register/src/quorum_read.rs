//! A linearizable read in one round, which promises nothing and syncs nothing.
//!
//! When a quorum reports one ballot, that ballot's value is chosen. Any later value that was chosen before the read
//! began would have been accepted by one of them. If no quorum agrees, the read is unclear, and a proposal of
//! [`crate::change::Change::Identity`] decides.

use crate::ballot::Ballot;
use crate::message::{AcceptedValue, Reply, ReportedValue, Request, RequestBody};
use crate::replica_set::{Replica, ReplicaId, ReplicaSet};
use std::collections::{BTreeMap, BTreeSet};

/// How far a read is.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadProgress {
    /// Send these; the end is open.
    Send(Vec<(Replica, Request)>),
    /// This value is chosen, and was the newest one when the read began or is newer.
    Chosen(AcceptedValue),
    /// No quorum agrees.
    Inconclusive,
}

/// One read.
#[derive(Debug)]
pub struct QuorumRead {
    known: Option<AcceptedValue>,
    rule: ReplicaSet,
    newest: Option<AcceptedValue>,
    asked: BTreeSet<ReplicaId>,
    reported: BTreeMap<ReplicaId, Option<Ballot>>,
    open: usize,
    highest_ballot: Ballot,
}

impl QuorumRead {
    /// A read by the newest set that the reader knows; `known` is the value it has, if any.
    pub fn start(rule: ReplicaSet, known: Option<AcceptedValue>) -> (QuorumRead, ReadProgress) {
        let mut reading = QuorumRead {
            known,
            rule,
            newest: None,
            asked: BTreeSet::new(),
            reported: BTreeMap::new(),
            open: 0,
            highest_ballot: Ballot::default(),
        };
        let progress = reading.progress();
        (reading, progress)
    }

    /// A replica's reply, or `None` if it is lost.
    pub fn reply(&mut self, from: ReplicaId, reply: Option<Reply>) -> ReadProgress {
        self.open = self.open.saturating_sub(1);
        if let Some(Reply::Read {
            last_accepted,
            promised,
        }) = reply
        {
            self.highest_ballot = self.highest_ballot.max(promised);
            self.reported.insert(from, last_accepted.ballot());
            let value = match last_accepted {
                ReportedValue::Value(accepted) => Some(accepted),
                ReportedValue::Unchanged(_) => self.known.clone(),
                ReportedValue::Nothing => None,
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
    pub fn highest_ballot(&self) -> Ballot {
        self.highest_ballot
    }

    fn progress(&mut self) -> ReadProgress {
        if let Some(newest) = &self.newest {
            let agrees = |id| self.reported.get(&id) == Some(&Some(newest.ballot));
            if self.rule.is_quorum(agrees) {
                return ReadProgress::Chosen(newest.clone());
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
            return ReadProgress::Inconclusive;
        }
        let ask = |replica: Replica| {
            let request = Request {
                target: replica.id,
                body: RequestBody::Read { known },
            };
            (replica, request)
        };
        ReadProgress::Send(new.into_iter().map(ask).collect())
    }
}
