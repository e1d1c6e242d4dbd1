//! Versioned records that the overlay brings to every process of the tier.
//!
//! A record is identified by its key; of two records with one key the one with the higher version is in force,
//! everywhere and for good. The body is opaque to the overlay.

use bytes::Bytes;
use minicbor::{Decode, Encode};

/// The key of the record that holds the configuration as the operator sent it; its version is `config_version`.
pub const CONFIGURATION: &str = "configuration";

/// The key of the record that holds the [`crate::placement::Placement`]; its version is the placement's epoch.
pub const PLACEMENT: &str = "placement";

/// The key of the record that holds the set of register replicas; its version is the set's epoch.
pub const REPLICAS: &str = "replicas";

/// The prefix of the keys of workers' records; the instance id follows.
pub const WORKER_PREFIX: &str = "worker/";

/// The prefix of the keys of ended lots; the lot's id follows.
pub const ENDED_JOB_PREFIX: &str = "ended/";

/// One versioned record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Unique name, at most 256 bytes.
    pub key: String,
    /// Of two records with one key the higher version is in force.
    pub version: u64,
    /// Seconds after which the record may be dropped, counted from its receipt; 0 keeps it for good.
    pub ttl_s: u32,
    /// The content, encoded by the record's owner.
    pub body: Bytes,
}

/// What is known of a worker, the body of a `worker/ID` record.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct WorkerRecord {
    /// The worker's instance id; each start of a worker has a new one.
    #[n(0)]
    pub instance_id: String,
    /// The service that it serves.
    #[n(1)]
    pub service: String,
    /// Where it listens, as IP:PORT.
    #[n(2)]
    pub address: String,
    /// Its zone.
    #[n(3)]
    pub zone: String,
    /// How many requests it runs at once.
    #[n(4)]
    pub capacity_slots: u32,
    /// Whether it may be sent new requests.
    #[n(5)]
    pub state: WorkerState,
    /// The call sequence of the heartbeat that this was taken from.
    #[n(6)]
    pub call_sequence: u64,
    /// Unix time in ms at which it is no longer cold; 0 if it is not cold.
    #[n(7)]
    pub slow_start_until_ms: u64,
}

/// Whether a worker may be sent new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum WorkerState {
    /// It takes requests.
    #[n(0)]
    InService,
    /// It finishes what it has.
    #[n(1)]
    Draining,
    /// Its heartbeats have stopped.
    #[n(2)]
    Unresponsive,
    /// It has said that it ends.
    #[n(3)]
    Deregistered,
}

impl WorkerRecord {
    /// The record's version: a later call wins, and of one call the state that takes less.
    pub fn version(&self) -> u64 {
        let rank = match self.state {
            WorkerState::InService => 0,
            WorkerState::Draining => 1,
            WorkerState::Unresponsive => 2,
            WorkerState::Deregistered => return u64::MAX,
        };
        self.call_sequence.saturating_mul(4).saturating_add(rank)
    }

    /// The record that tells every process of this worker.
    pub fn to_record(&self) -> Record {
        let ttl_s = match self.state {
            WorkerState::InService | WorkerState::Draining => 0,
            WorkerState::Unresponsive | WorkerState::Deregistered => 60,
        };
        Record {
            key: format!("{WORKER_PREFIX}{}", self.instance_id),
            version: self.version(),
            ttl_s,
            body: minicbor::to_vec(self).unwrap_or_default().into(),
        }
    }
}
