//! Builders for the fixtures of the controller's tests.
#![allow(dead_code)]

use mintlb_common::record::{WorkerRecord, WorkerState};
use mintlb_register::applied_history::AppliedHistory;
use mintlb_register::ballot::Ballot;
use mintlb_register::message::AcceptedValue;
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use mintlb_register::state::ControlState;
use std::net::SocketAddr;
use std::sync::Arc;

/// The proposer of all ballots.
const PROPOSER: u64 = 3;

/// The address of the replica with this id.
pub fn address(id: u64) -> SocketAddr {
    format!("10.0.0.{id}:7661").parse().unwrap()
}

/// The replica with this id.
pub fn replica(id: u64) -> Replica {
    Replica {
        id: ReplicaId(id),
        address: address(id).to_string(),
        node_name: format!("edge-{id}"),
        zone: "z".to_string(),
        region: None,
        counts_toward_quorum: None,
    }
}

/// The replicas with these ids.
pub fn replicas(ids: &[u64]) -> Vec<Replica> {
    ids.iter().map(|id| replica(*id)).collect()
}

/// A set of the replicas with these ids, not joint.
pub fn replica_set(epoch: u64, ids: &[u64]) -> ReplicaSet {
    ReplicaSet {
        epoch,
        previous: Vec::new(),
        current: replicas(ids),
        tolerance: None,
    }
}

/// The ballot with this counter.
pub fn ballot(counter: u64) -> Ballot {
    Ballot {
        counter,
        proposer: PROPOSER,
    }
}

/// A value at the ballot and revision of this counter.
pub struct ValueBuilder {
    counter: u64,
    state: ControlState,
}

impl ValueBuilder {
    /// A value with this replica set.
    pub fn new(counter: u64, replicas: ReplicaSet) -> ValueBuilder {
        let state = ControlState {
            revision: counter,
            replicas,
            applied_history: Some(AppliedHistory::default()),
            ..ControlState::default()
        };
        ValueBuilder { counter, state }
    }

    /// With a configuration of this many bytes, in a version equal to the counter.
    pub fn configuration_of(mut self, bytes: usize) -> ValueBuilder {
        self.state.configuration_version = self.counter;
        self.state.configuration = vec![self.counter as u8; bytes];
        self
    }

    /// The value.
    pub fn build(self) -> AcceptedValue {
        AcceptedValue {
            ballot: ballot(self.counter),
            state: Arc::new(self.state),
        }
    }
}

/// The record of a worker.
pub fn worker(id: &str, call_sequence: u64, state: WorkerState) -> WorkerRecord {
    WorkerRecord {
        instance_id: id.to_string(),
        service: "s".to_string(),
        address: "10.128.0.9:8080".to_string(),
        zone: "z".to_string(),
        capacity_slots: 8,
        state,
        call_sequence,
        slow_start_until_ms: 0,
    }
}

/// The text of a configuration in this version.
pub fn configuration_text(version: u64) -> String {
    format!(
        r#"{{"config_version":{version},"route_list":[{{"name":"r","host_name":"h.example","path_prefix":"/a/","route_type":"idempotent","timeout_ms":1000,"target_service":"s"}}],"service_list":[{{"name":"s"}}]}}"#
    )
}

/// The text of a worker's heartbeat.
pub fn heartbeat_text(state: &str, sequence: u64) -> String {
    format!(
        r#"{{"target_service":"s","address":"10.128.0.9:8080","zone":"z","config_version":"v1","capacity_slots":48,"state":"{state}","cold_remaining_ms":0,"stage":"both","models":[],"call_sequence":{sequence}}}"#
    )
}
