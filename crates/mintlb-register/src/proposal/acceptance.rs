//! Phase 2 of an attempt.

use crate::change::ChangeOutcome;
use crate::message::{AcceptedValue, OutboundRequest, RequestBody};
use crate::replica_set::{Replica, ReplicaId, ReplicaSet};
use std::collections::BTreeSet;

/// The value proposed in phase 2, and the replicas that have accepted it.
#[derive(Clone, Debug)]
pub(super) struct Acceptance {
    /// Replica set of the value that phase 1 has read.
    read_set: ReplicaSet,
    proposed: AcceptedValue,
    /// Outcome of the change once the value is chosen; `None` if the value does not contain the change.
    outcome: Option<ChangeOutcome>,
    accepted_by: BTreeSet<ReplicaId>,
}

impl Acceptance {
    pub(super) fn new(
        read_set: ReplicaSet,
        proposed: AcceptedValue,
        outcome: Option<ChangeOutcome>,
    ) -> Acceptance {
        Acceptance {
            read_set,
            proposed,
            outcome,
            accepted_by: BTreeSet::new(),
        }
    }

    /// Accept requests to the members of the proposed value's set and to those that it removes.
    pub(super) fn requests(&self) -> Vec<OutboundRequest> {
        self.proposed_set()
            .members()
            .chain(self.removed_members())
            .map(|replica| {
                let proposed = self.proposed.clone();
                OutboundRequest::new(replica.clone(), RequestBody::Accept { proposed })
            })
            .collect()
    }

    /// Members of the set that was read which are not in the proposed value's set.
    fn removed_members(&self) -> impl Iterator<Item = &Replica> {
        let remains = |id| self.proposed_set().members().any(|member| member.id == id);
        self.read_set
            .members()
            .filter(move |replica| !remains(replica.id))
    }

    pub(super) fn proposed(&self) -> &AcceptedValue {
        &self.proposed
    }

    pub(super) fn outcome(&self) -> Option<ChangeOutcome> {
        self.outcome
    }

    /// Records that a replica has accepted the value.
    pub(super) fn record(&mut self, from: ReplicaId) {
        self.accepted_by.insert(from);
    }

    /// Whether the value is chosen.
    pub(super) fn is_chosen(&self) -> bool {
        self.is_quorum(|id| self.accepted_by.contains(&id))
    }

    /// Whether the acceptance of the replicas that satisfy `predicate` is enough.
    ///
    /// That needs a quorum of the proposed value's own set. A changed value needs a quorum of the set that was read as
    /// well: a proposer that knows the former set alone has to find the value there.
    pub(super) fn is_quorum(&self, predicate: impl Fn(ReplicaId) -> bool) -> bool {
        let contains_change = self.outcome.is_some();
        self.proposed_set().is_quorum(&predicate)
            && (!contains_change || self.read_set.is_quorum(&predicate))
    }

    fn proposed_set(&self) -> &ReplicaSet {
        &self.proposed.state.replicas
    }
}
