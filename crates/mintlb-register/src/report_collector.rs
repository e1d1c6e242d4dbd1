//! The reports of acceptors in phase 1 of a proposal or in a read.

use crate::ballot::Ballot;
use crate::message::{AcceptedValue, ReportedValue};
use crate::replica_set::{Replica, ReplicaId, ReplicaSet};
use std::collections::{BTreeMap, BTreeSet};

/// Collects which value each acceptor has accepted last.
///
/// It begins with the replica set that the process knows and goes on with the set of the newest value reported: the
/// known set may be outdated.
#[derive(Clone, Debug)]
pub(crate) struct ReportCollector {
    replica_set: ReplicaSet,
    /// A value that the process has, which acceptors need not send.
    known: Option<AcceptedValue>,
    newest: Option<AcceptedValue>,
    requested: BTreeSet<ReplicaId>,
    reported: BTreeMap<ReplicaId, Option<Ballot>>,
}

impl ReportCollector {
    pub(crate) fn new(replica_set: ReplicaSet, known: Option<AcceptedValue>) -> ReportCollector {
        ReportCollector {
            replica_set,
            known,
            newest: None,
            requested: BTreeSet::new(),
            reported: BTreeMap::new(),
        }
    }

    /// Ballot of the value that the process has.
    pub(crate) fn known_ballot(&self) -> Option<Ballot> {
        self.known.as_ref().map(|known| known.ballot)
    }

    /// The set of the newest value reported, or the set to begin with if no value has been.
    pub(crate) fn replica_set(&self) -> &ReplicaSet {
        &self.replica_set
    }

    /// The value with the highest ballot among those reported.
    pub(crate) fn newest(&self) -> Option<&AcceptedValue> {
        self.newest.as_ref()
    }

    /// Members of the set that were not returned before, each to be sent a request.
    pub(crate) fn take_unrequested(&mut self) -> Vec<Replica> {
        let unrequested: Vec<Replica> = self
            .replica_set
            .members()
            .filter(|replica| !self.requested.contains(&replica.id))
            .cloned()
            .collect();
        self.requested
            .extend(unrequested.iter().map(|replica| replica.id));
        unrequested
    }

    /// Records a replica's report.
    pub(crate) fn record(&mut self, from: ReplicaId, report: ReportedValue) {
        self.reported.insert(from, report.ballot());
        let value = match report {
            ReportedValue::Value(accepted) => Some(accepted),
            ReportedValue::Unchanged(_) => self.known.clone(),
            ReportedValue::Nothing => None,
        };
        let newest_ballot = self.newest.as_ref().map(|newest| newest.ballot);
        if let Some(value) = value.filter(|value| Some(value.ballot) > newest_ballot) {
            self.replica_set = value.state.replicas.clone();
            self.newest = Some(value);
        }
    }

    /// Whether a quorum has reported.
    pub(crate) fn is_quorum_reported(&self) -> bool {
        self.replica_set
            .is_quorum(|id| self.reported.contains_key(&id))
    }

    /// The newest value, if a quorum has reported it: then it is chosen.
    pub(crate) fn chosen(&self) -> Option<&AcceptedValue> {
        let newest = self.newest.as_ref()?;
        let has_newest = |id| self.reported.get(&id) == Some(&Some(newest.ballot));
        self.replica_set.is_quorum(has_newest).then_some(newest)
    }

    /// Whether a replica may still report that is not among the failed ones.
    pub(crate) fn is_awaiting_reports(&self, failed: &BTreeSet<ReplicaId>) -> bool {
        self.requested
            .iter()
            .any(|id| !self.reported.contains_key(id) && !failed.contains(id))
    }
}
