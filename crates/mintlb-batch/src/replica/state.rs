//! Durable state and settings of a replica.

use crate::entry::Entry;
use crate::epoch_history::{Epoch, EpochHistory, LogIndex};
use minicbor::{Decode, Encode};
use mintlb_common::placement::StoreId;
use std::time::Duration;

/// What a replica keeps on disk besides its entries.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ShardMeta {
    /// The highest epoch that the replica has entered. Messages of earlier ones are rejected: that
    /// fences their primaries (Raft's current term).
    #[n(0)]
    pub current_epoch: Epoch,
    /// The epochs of the log.
    #[n(1)]
    pub log: EpochHistory,
    /// The log is known to be committed up to this index; may lag behind on disk.
    #[n(2)]
    pub commit_index: LogIndex,
}

/// An entry as read back from disk.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedEntry {
    /// Its index.
    pub index: LogIndex,
    /// Its head.
    pub entry: Entry,
    /// Bytes of head and raw part.
    pub length: u64,
    /// Bytes of the raw part.
    pub raw_length: u64,
}

/// Settings shared by all replicas of a store.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSettings {
    /// Identity of the store.
    pub store_id: StoreId,
    /// Number of stores that may be lost at once (`fault_tolerance.machines`), for assignments that
    /// hold no quorum rule.
    pub tolerance: usize,
    /// How long a job has to be readable after its submission (`status_s`).
    pub result_retention: Duration,
}
