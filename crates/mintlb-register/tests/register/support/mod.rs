//! Fixtures: replicas, sets, values, and a cluster whose replicas reply at once.

pub mod checker;
pub mod cluster;
pub mod rng;

use mintlb_common::quorum::FaultTolerance;
use mintlb_register::acceptor::AcceptorState;
use mintlb_register::ballot::Ballot;
use mintlb_register::change::Change;
use mintlb_register::message::AcceptedValue;
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use mintlb_register::state::ControlState;
use std::sync::Arc;

/// Number of replicas in a full set.
pub const MAX_REPLICAS: usize = 9;
/// Ballot at which the first value of a fixture was accepted.
pub const FIRST_BALLOT: Ballot = Ballot {
    counter: 1,
    proposer: 1,
};

/// Address of the machine with this number.
pub fn address(machine: u64) -> String {
    format!("10.0.0.{machine}:7661")
}

/// The replica with this identity on the machine with the same number.
pub fn replica(id: u64) -> Replica {
    replica_at(ReplicaId(id), &address(id))
}

/// A replica with this identity and address.
pub fn replica_at(id: ReplicaId, address: &str) -> Replica {
    Replica {
        id,
        address: address.to_string(),
        node_name: address.to_string(),
        zone: String::new(),
        region: None,
        counts_toward_quorum: None,
    }
}

/// The set of these members with epoch 1.
pub fn replica_set(members: impl IntoIterator<Item = Replica>) -> ReplicaSet {
    ReplicaSet {
        epoch: 1,
        previous: Vec::new(),
        current: members.into_iter().collect(),
        tolerance: None,
    }
}

/// Value with this replica set and no configuration.
pub fn state(replicas: ReplicaSet) -> ControlState {
    ControlState {
        revision: 1,
        replicas,
        ..ControlState::default()
    }
}

/// The value, accepted at the first ballot.
pub fn accepted_first(state: impl Into<Arc<ControlState>>) -> AcceptedValue {
    AcceptedValue {
        ballot: FIRST_BALLOT,
        state: state.into(),
    }
}

/// State of an acceptor that has accepted this value last.
pub fn acceptor_state(accepted: AcceptedValue) -> AcceptorState {
    AcceptorState {
        promised: accepted.ballot,
        accepted: Some(accepted),
    }
}

/// A configuration that needs enough replicas for the loss of one.
pub fn configuration(base: u64, version: u64, text: &str) -> Change {
    configuration_tolerating(1, base, version, text)
}

/// A configuration that needs enough replicas for so many losses.
pub fn configuration_tolerating(
    tolerated_failures: usize,
    base: u64,
    version: u64,
    text: &str,
) -> Change {
    Change::SetConfiguration {
        base,
        version,
        body: text.into(),
        tolerance: FaultTolerance::of_machines(tolerated_failures),
        durability_suffices: false,
    }
}

/// Adds a replica while no member is unresponsive.
pub fn add(replica: Replica) -> Change {
    Change::AddReplica {
        replica,
        unresponsive: Vec::new(),
        tolerance: FaultTolerance::of_machines(1),
        replaces_in_full_set_only: true,
        max_replicas: MAX_REPLICAS,
    }
}
