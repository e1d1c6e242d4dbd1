//! The replicas of all shards at this store, with what their effects need: the commit queue,
//! connections to other stores, and the calls that wait.
//!
//! - `effects`: carries the effects of replicas out.
//! - [`pending_calls`]: the calls of a shard that wait.

mod effects;
pub mod pending_calls;

use super::entry_cache::EntryCache;
use super::load::LoadCounters;
use super::storage::commit_queue::ShardContinuation;
use super::storage::{
    CommitQueue, DiskError, LoadedShards, OpenedStorage, ShardStorage, StoredEntry, capacity,
};
use bytes::Bytes;
use mintlb_batch::backlog::Backlog;
use mintlb_batch::heartbeat::ShardReport;
use mintlb_batch::peer::Envelope;
use mintlb_batch::replica::{Replica, ReplicaSettings};
use mintlb_batch::timestamp::Timestamp;
use mintlb_common::placement::{Placement, SHARD_COUNT, StoreId};
use mintlb_common::transport::Transport;
use pending_calls::PendingCalls;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::Notify;

/// The replicas of all shards and what they share.
pub struct ShardHost {
    replicas: Vec<Replica>,
    pending_calls: Vec<PendingCalls>,
    entry_cache: EntryCache,
    settings: ReplicaSettings,
    /// A commit failed, so it is not known what is on disk: no replica sends, acknowledges or
    /// accepts anything.
    suspended: bool,
    placement: Placement,
    addresses: FxHashMap<StoreId, SocketAddr>,
    transport: Arc<Transport>,
    storage: ShardStorage,
    commit_queue: CommitQueue,
    report_changed: Arc<Notify>,
    load: Arc<LoadCounters>,
}

impl ShardHost {
    /// Replicas loaded from the opened file. `report_changed` is notified when
    /// [`ShardHost::reports`] changes.
    pub fn new(
        transport: Arc<Transport>,
        opened: OpenedStorage,
        settings: ReplicaSettings,
        report_changed: Arc<Notify>,
        load: Arc<LoadCounters>,
        now: Timestamp,
    ) -> ShardHost {
        ShardHost {
            replicas: load_replicas(opened.shards, settings, now),
            pending_calls: no_pending_calls(),
            entry_cache: EntryCache::default(),
            settings,
            suspended: false,
            placement: Placement::default(),
            addresses: FxHashMap::default(),
            transport,
            storage: opened.storage,
            commit_queue: opened.commit_queue,
            report_changed,
            load,
        }
    }

    /// What is on disk is not known any more: all waiting calls end as indeterminate, and no
    /// replica sends anything until [`ShardHost::resume`]. To the other stores it is as if the
    /// process had ended.
    pub fn suspend(&mut self, now: Timestamp) {
        self.suspended = true;
        self.replicas = load_replicas(LoadedShards::new(), self.settings, now);
        self.pending_calls = no_pending_calls();
        self.entry_cache = EntryCache::default();
    }

    /// Loads the replicas from the file that was opened again, as a process does at its start.
    pub fn resume(&mut self, shards: LoadedShards, now: Timestamp) {
        self.replicas = load_replicas(shards, self.settings, now);
        self.commit_queue.resume();
        self.suspended = false;
        let assignments = std::mem::take(&mut self.placement.shards);
        for (shard, assignment) in (0..SHARD_COUNT).zip(assignments) {
            self.replica(shard).set_assignment(&assignment, now);
            self.run_effects(shard, now);
            self.placement.shards.push(assignment);
        }
    }

    /// Whether the disk is of no use at this time: it is not known what is on it, or it does not
    /// respond.
    pub fn is_without_disk(&self, now: Instant) -> bool {
        self.suspended || self.commit_queue.is_stalled(now)
    }

    /// Whether it is not known what is on disk.
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }

    /// Whether the disk or the commit queue has no capacity for a batch job of so many bytes,
    /// beside the results that the accepted jobs are expected to have.
    pub fn is_disk_full(&self, job_bytes: u64, disk_bytes: u64) -> bool {
        let file_bytes = self.storage.file_bytes();
        let jobs = self.replicas.iter().map(Replica::jobs);
        let reserved: u64 = jobs
            .map(|jobs| jobs.bytes() + jobs.expected_result_bytes())
            .sum();
        self.commit_queue.is_full() || !capacity::fits(reserved + job_bytes, file_bytes, disk_bytes)
    }

    /// The file.
    pub fn storage(&self) -> &ShardStorage {
        &self.storage
    }

    /// Whether there is a shard of this number.
    pub fn has_shard(&self, shard: u32) -> bool {
        (shard as usize) < self.replicas.len()
    }

    /// The replica of a shard. Call [`ShardHost::run_effects`] after a change.
    ///
    /// # Panics
    ///
    /// If `shard` is not below [`SHARD_COUNT`].
    pub fn replica(&mut self, shard: u32) -> &mut Replica {
        &mut self.replicas[shard as usize]
    }

    /// All replicas.
    pub fn replicas(&self) -> &[Replica] {
        &self.replicas
    }

    /// The waiting calls of a shard.
    ///
    /// # Panics
    ///
    /// If `shard` is not below [`SHARD_COUNT`].
    pub fn pending_calls(&mut self, shard: u32) -> &mut PendingCalls {
        &mut self.pending_calls[shard as usize]
    }

    /// The newest placement that this store has received.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Applies a placement, unless it is older than the present one.
    pub fn apply_placement(&mut self, placement: Placement, now: Timestamp) {
        if placement.epoch <= self.placement.epoch {
            return;
        }
        let addresses = placement
            .stores
            .iter()
            .filter_map(|store| Some((store.id, store.address.parse().ok()?)));
        self.addresses = addresses.collect();
        for (shard, assignment) in (0..SHARD_COUNT).zip(&placement.shards) {
            if self.suspended {
                break;
            }
            self.replica(shard).set_assignment(assignment, now);
            self.run_effects(shard, now);
        }
        self.placement = placement;
    }

    /// Handles a message from another store's replica. While the commit queue is full, messages
    /// with entries are dropped: their senders repeat them.
    pub fn on_peer_message(&mut self, envelope: Envelope, raw: Bytes, now: Timestamp) {
        let shard = envelope.shard;
        let has_entries = !raw.is_empty();
        if self.suspended || shard >= SHARD_COUNT || (has_entries && self.commit_queue.is_full()) {
            return;
        }
        self.replica(shard).on_message(envelope, raw, now);
        self.run_effects(shard, now);
    }

    /// Runs the continuations of a commit.
    pub fn on_commit(&mut self, continuations: Vec<ShardContinuation>, now: Timestamp) {
        if self.suspended {
            return;
        }
        for ShardContinuation { shard, after_sync } in continuations {
            self.replica(shard).on_synced(after_sync, now);
            self.run_effects(shard, now);
        }
    }

    /// Advances the replicas' time; to be called every [`mintlb_batch::replica::TICK_INTERVAL`].
    pub fn tick(&mut self, now: Timestamp) {
        if self.suspended {
            return;
        }
        for shard in 0..SHARD_COUNT {
            self.replica(shard).tick(now);
            self.run_effects(shard, now);
        }
        self.pending_calls
            .iter_mut()
            .for_each(PendingCalls::remove_abandoned_readers);
    }

    /// Reports of the shards whose primary this is, for the heartbeat to the controllers.
    pub fn reports(&self) -> Vec<ShardReport> {
        self.replicas.iter().filter_map(Replica::report).collect()
    }

    /// The work that waits in the shards that this store leads.
    pub fn backlog(&self, now: Timestamp) -> Backlog {
        let mut backlog = Backlog::default();
        for replica in &self.replicas {
            backlog += replica.backlog(now);
        }
        backlog
    }

    /// Batch jobs that readers wait for.
    pub fn jobs_with_waiting_readers(&self) -> usize {
        self.pending_calls
            .iter()
            .map(PendingCalls::jobs_with_readers)
            .sum()
    }

    /// Reads durable entries, from memory if all of them are cached. Indexes without an entry are
    /// left out.
    ///
    /// # Errors
    ///
    /// If the disk can't be read; that is logged here. A retry may help.
    pub fn read(&self, shard: u32, indexes: &[u64]) -> Result<Vec<StoredEntry>, ReadError> {
        let cached: Vec<StoredEntry> = indexes
            .iter()
            .map_while(|index| self.entry_cache.get(shard, *index).cloned())
            .collect();
        if cached.len() == indexes.len() {
            return Ok(cached);
        }
        self.storage
            .read(shard, indexes)
            .map_err(|cause| ReadError { shard, cause })
            .inspect_err(|error| log::error!("store: {error}"))
    }
}

/// Entries of a shard that can't be read.
#[derive(Debug, thiserror::Error)]
#[error("shard {shard}: can't read entries: {cause}")]
pub struct ReadError {
    shard: u32,
    #[source]
    cause: DiskError,
}

fn load_replicas(
    mut shards: LoadedShards,
    settings: ReplicaSettings,
    now: Timestamp,
) -> Vec<Replica> {
    let replicas = (0..SHARD_COUNT).map(|shard| {
        let loaded = shards.remove(&shard).unwrap_or_default();
        Replica::load(
            shard,
            settings,
            loaded.meta,
            loaded.entries.into_iter(),
            now,
        )
    });
    replicas.collect()
}

fn no_pending_calls() -> Vec<PendingCalls> {
    (0..SHARD_COUNT).map(|_| PendingCalls::default()).collect()
}
