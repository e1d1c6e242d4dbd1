//! Versioned records, which gossip replicates to every process of the tier.
//!
//! A record is identified by its key. Of two records with one key, the one with the higher version
//! is in force, in every process and for good (last writer wins, by version). The body is opaque to
//! gossip.

use bytes::Bytes;
use minicbor::{Decode, Encode};

/// The key of the record with the configuration as the operator submitted it; its version is
/// `config_version`.
pub const CONFIGURATION: &str = "configuration";

/// The key of the record with the [`crate::placement::Placement`]; its version is the placement's
/// epoch.
pub const PLACEMENT: &str = "placement";

/// The key of the record with the set of register replicas; its version is the set's epoch.
pub const REPLICAS: &str = "replicas";

/// The prefix of the keys of worker records; the instance id follows.
pub const WORKER_PREFIX: &str = "worker/";

/// The prefix of the keys of records of ended batch jobs; the job's id follows.
pub const ENDED_JOB_PREFIX: &str = "ended/";

/// Lifetime of the record of a worker that serves no more, in s: until then a delayed record of its
/// earlier state can't bring it back.
const ENDED_WORKER_TTL_S: u32 = 60;

/// Versions per call sequence number of a worker, one for each state.
const VERSIONS_PER_CALL: u64 = 4;

/// A versioned record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The unique key, at most 256 bytes.
    pub key: String,
    /// Of two records with one key, the higher version is in force.
    pub version: u64,
    /// Time to live in s, counted from receipt, after which the record may be dropped; 0 is
    /// unlimited.
    pub ttl_s: u32,
    /// The content, encoded by the record's owner.
    pub body: Bytes,
}

/// The state of a worker, the body of a `worker/ID` record.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct WorkerRecord {
    /// The instance id; each start of a worker has a new one.
    #[n(0)]
    pub instance_id: String,
    /// The name of the service that it belongs to.
    #[n(1)]
    pub service: String,
    /// The address it listens on, as IP:PORT.
    #[n(2)]
    pub address: String,
    /// The zone of its machine.
    #[n(3)]
    pub zone: String,
    /// Requests that it executes concurrently.
    #[n(4)]
    pub capacity_slots: u32,
    /// Whether it may be sent new requests.
    #[n(5)]
    pub state: WorkerState,
    /// The sequence number of the worker's call that this record results from.
    #[n(6)]
    pub call_sequence: u64,
    /// Unix time in ms at which its slow start ends; 0 if it has none.
    #[n(7)]
    pub slow_start_until_ms: u64,
}

/// Whether a worker may be sent new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum WorkerState {
    /// It accepts requests.
    #[n(0)]
    InService,
    /// It completes its requests and accepts no others.
    #[n(1)]
    Draining,
    /// Its heartbeats have stopped.
    #[n(2)]
    Unresponsive,
    /// It has announced its end.
    #[n(3)]
    Deregistered,
}

impl WorkerRecord {
    /// The version of the record: a later call wins, and among records of one call the more
    /// restrictive state. No call revives a deregistered worker.
    pub fn version(&self) -> u64 {
        let restrictiveness = match self.state {
            WorkerState::InService => 0,
            WorkerState::Draining => 1,
            WorkerState::Unresponsive => 2,
            WorkerState::Deregistered => return u64::MAX,
        };
        self.call_sequence
            .saturating_mul(VERSIONS_PER_CALL)
            .saturating_add(restrictiveness)
    }

    /// The record that announces this worker to all processes.
    pub fn to_record(&self) -> Record {
        let ttl_s = match self.state {
            WorkerState::InService | WorkerState::Draining => 0,
            WorkerState::Unresponsive | WorkerState::Deregistered => ENDED_WORKER_TTL_S,
        };
        Record {
            key: format!("{WORKER_PREFIX}{}", self.instance_id),
            version: self.version(),
            ttl_s,
            body: minicbor::to_vec(self).unwrap_or_default().into(),
        }
    }
}
