//! The replicas of all shards, with their effects carried out.

use super::commit_queue::{CommitQueue, OpenedStorage};
use super::disk::{LoadedShards, ShardStorage};
use super::entry_cache::EntryCache;
use bytes::Bytes;
use mintlb_batch::framing;
use mintlb_batch::heartbeat::ShardReport;
use mintlb_batch::job_table::Timestamp;
use mintlb_batch::peer::{EntryLength, Envelope, PeerMessage};
use mintlb_batch::replica::{AfterSync, DiskWrite, Effect, Replica, ReplicaSettings};
use mintlb_common::placement::{Placement, SHARD_COUNT, StoreId};
use mintlb_common::transport::{Channel, Transport};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{Notify, oneshot};

/// Calls of a shard that wait.
#[derive(Default)]
struct PendingCalls {
    /// For the commit of an index. They are told whether it came about.
    commit_waiters: BTreeMap<u64, Vec<oneshot::Sender<bool>>>,
    /// Results on their way, by index, with their lots.
    pending_results: VecDeque<(u64, u64)>,
    /// Readers of a lot that wait for its next result.
    result_waiters: FxHashMap<u64, Vec<oneshot::Sender<()>>>,
    /// Readers that wait for a confirmation.
    confirmation_waiters: Vec<oneshot::Sender<()>>,
}

impl PendingCalls {
    fn remove_abandoned_readers(&mut self) {
        self.result_waiters.retain(|_, result_waiters| {
            result_waiters.retain(|reader| !reader.is_closed());
            !result_waiters.is_empty()
        });
    }
}

/// The replicas and what they need.
pub struct ShardHost {
    replicas: Vec<Replica>,
    pending_calls: Vec<PendingCalls>,
    entry_cache: EntryCache,
    settings: ReplicaSettings,
    /// A commit failed and what is on disk is not known: nothing is promised, told or taken.
    suspended: bool,
    placement: Placement,
    addresses: FxHashMap<StoreId, SocketAddr>,
    transport: Arc<Transport>,
    /// The file.
    pub disk: ShardStorage,
    /// Its thread.
    pub commit_queue: CommitQueue,
    /// Told when a report has changed.
    pub report_changed: Arc<Notify>,
}

impl ShardHost {
    /// Replicas with what the disk held.
    pub fn new(
        transport: Arc<Transport>,
        opened: OpenedStorage,
        settings: ReplicaSettings,
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
            disk: opened.disk,
            commit_queue: opened.commit_queue,
            report_changed: Arc::new(Notify::new()),
        }
    }

    /// What is on disk is not known any more: all calls that wait are answered as unsure, and no replica says
    /// anything until [`ShardHost::resume`]. To the others it is as if the process had ended.
    pub fn suspend(&mut self, now: Timestamp) {
        self.suspended = true;
        self.replicas = load_replicas(LoadedShards::new(), self.settings, now);
        self.pending_calls = no_pending_calls();
        self.entry_cache = EntryCache::default();
    }

    /// Goes on with what the disk holds, like a process that starts.
    pub fn resume(&mut self, shards: LoadedShards, now: Timestamp) {
        self.replicas = load_replicas(shards, self.settings, now);
        self.commit_queue.resume();
        self.suspended = false;
        for (shard, assignment) in (0..SHARD_COUNT).zip(std::mem::take(&mut self.placement.shards))
        {
            self.replica(shard).set_assignment(&assignment, now);
            self.run_effects(shard, now);
            self.placement.shards.push(assignment);
        }
    }

    /// Whether the disk is of no use at this time: what is on it is not known, or it answers nothing.
    pub fn is_without_disk(&self, now: std::time::Instant) -> bool {
        self.suspended || self.commit_queue.is_stalled(now)
    }

    /// Whether what is on disk is not known.
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }

    /// A shard's replica. Call [`ShardHost::run_effects`] after a change.
    pub fn replica(&mut self, shard: u32) -> &mut Replica {
        &mut self.replicas[shard as usize]
    }

    /// All replicas.
    pub fn replicas(&self) -> &[Replica] {
        &self.replicas
    }

    /// The placement in force here.
    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Goes by this placement from now on.
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

    /// A message of another store's replica.
    pub fn message(&mut self, envelope: Envelope, raw: Bytes, now: Timestamp) {
        let shard = envelope.shard;
        if self.suspended
            || shard >= SHARD_COUNT
            || (!raw.is_empty() && self.commit_queue.is_full())
        {
            return;
        }
        self.replica(shard).on_message(envelope, raw, now);
        self.run_effects(shard, now);
    }

    /// What follows a commit.
    pub fn synced(&mut self, after: Vec<(u32, AfterSync)>, now: Timestamp) {
        if self.suspended {
            return;
        }
        for (shard, after) in after {
            self.replica(shard).on_synced(after, now);
            self.run_effects(shard, now);
        }
    }

    /// Time passes.
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

    /// What the controllers are told.
    pub fn reports(&self) -> Vec<ShardReport> {
        self.replicas.iter().filter_map(Replica::report).collect()
    }

    /// Waits for the commit of an index; told `false` if it can't be told any more whether it comes about.
    pub fn wait_for_commit(&mut self, shard: u32, index: u64) -> oneshot::Receiver<bool> {
        let (waiter, receiver) = oneshot::channel();
        self.pending_calls[shard as usize]
            .commit_waiters
            .entry(index)
            .or_default()
            .push(waiter);
        receiver
    }

    /// Wakes the lot's readers once the result at this index is committed.
    pub fn track_pending_result(&mut self, shard: u32, index: u64, job: u64) {
        self.pending_calls[shard as usize]
            .pending_results
            .push_back((index, job));
    }

    /// Waits for the next result of a lot.
    pub fn wait_for_result(&mut self, shard: u32, job: u64) -> oneshot::Receiver<()> {
        let (waiter, receiver) = oneshot::channel();
        let result_waiters = self.pending_calls[shard as usize]
            .result_waiters
            .entry(job)
            .or_default();
        result_waiters.retain(|reader| !reader.is_closed());
        result_waiters.push(waiter);
        receiver
    }

    /// Lots that readers wait for.
    pub fn jobs_with_waiting_readers(&self) -> usize {
        self.pending_calls
            .iter()
            .map(|pending_calls| pending_calls.result_waiters.len())
            .sum()
    }

    /// Waits for a sign of the followers.
    pub fn wait_for_confirmation(&mut self, shard: u32) -> oneshot::Receiver<()> {
        let (waiter, receiver) = oneshot::channel();
        let pending_calls = &mut self.pending_calls[shard as usize].confirmation_waiters;
        pending_calls.retain(|reader| !reader.is_closed());
        pending_calls.push(waiter);
        receiver
    }

    /// Carries out what a replica asks for.
    pub fn run_effects(&mut self, shard: u32, now: Timestamp) {
        loop {
            let effects = self.replica(shard).take_effects();
            if effects.is_empty() {
                return;
            }
            let (mut writes, mut after) = (Vec::new(), Vec::new());
            for effect in effects {
                match effect {
                    Effect::Write(write) => {
                        if let DiskWrite::Put(index, bytes) = &write
                            && self.replicas[shard as usize].is_primary()
                        {
                            self.entry_cache.insert(shard, *index, bytes.clone());
                        }
                        writes.push(write);
                    }
                    Effect::AfterSync(next) => after.push(next),
                    Effect::Send(envelope) => self.send(&envelope, &[]),
                    Effect::SendEntries(envelope, indexes) => self.send_entries(envelope, &indexes),
                    Effect::Committed(through) => self.notify_committed(shard, through),
                    Effect::Confirmed => self.notify_confirmed(shard),
                    Effect::SteppedDown => self.abandon_calls(shard),
                    Effect::ReportChanged => self.report_changed.notify_one(),
                    Effect::Replicated(through) => self.entry_cache.evict_through(shard, through),
                }
            }
            if writes.is_empty() && after.is_empty() {
                continue;
            }
            if let Err(completed) = self.commit_queue.enqueue(shard, writes, after) {
                completed
                    .into_iter()
                    .for_each(|after| self.replica(shard).on_synced(after, now));
            }
        }
    }

    fn send(&self, envelope: &Envelope, raw: &[&[u8]]) {
        let Some(address) = self.addresses.get(&envelope.to) else {
            return;
        };
        self.transport
            .notify(*address, Channel::Batch, framing::encode(envelope, raw));
    }

    fn send_entries(&self, mut envelope: Envelope, indexes: &[u64]) {
        let Some(entries) = self.read(envelope.shard, indexes) else {
            return;
        };
        let (PeerMessage::Append(append) | PeerMessage::Fetched(append)) = &mut envelope.message
        else {
            return;
        };
        append.entries = entries
            .iter()
            .map(|(index, bytes)| EntryLength {
                index: *index,
                length: bytes.len() as u64,
            })
            .collect();
        let raw: Vec<&[u8]> = entries.iter().map(|(_, bytes)| &bytes[..]).collect();
        self.send(&envelope, &raw);
    }

    /// Entries that are on disk. `None` if the disk can't be read.
    pub fn read(&self, shard: u32, indexes: &[u64]) -> Option<Vec<(u64, Bytes)>> {
        let entry_cache: Vec<(u64, Bytes)> = indexes
            .iter()
            .map_while(|index| {
                self.entry_cache
                    .get(shard, *index)
                    .map(|bytes| (*index, bytes.clone()))
            })
            .collect();
        if entry_cache.len() == indexes.len() {
            return Some(entry_cache);
        }
        match self.disk.read(shard, indexes) {
            Ok(entries) => Some(entries),
            Err(error) => {
                log::error!("store: shard {shard}: {error}");
                None
            }
        }
    }

    fn notify_committed(&mut self, shard: u32, through: u64) {
        let pending_calls = &mut self.pending_calls[shard as usize];
        while let Some(first) = pending_calls
            .commit_waiters
            .first_entry()
            .filter(|entry| *entry.key() <= through)
        {
            first
                .remove()
                .into_iter()
                .for_each(|waiter| _ = waiter.send(true));
        }
        while pending_calls
            .pending_results
            .front()
            .is_some_and(|(index, _)| *index <= through)
            && let Some((_, job)) = pending_calls.pending_results.pop_front()
        {
            let result_waiters = pending_calls
                .result_waiters
                .remove(&job)
                .unwrap_or_default();
            result_waiters
                .into_iter()
                .for_each(|waiter| _ = waiter.send(()));
        }
    }

    fn notify_confirmed(&mut self, shard: u32) {
        let pending_calls =
            std::mem::take(&mut self.pending_calls[shard as usize].confirmation_waiters);
        pending_calls
            .into_iter()
            .for_each(|waiter| _ = waiter.send(()));
    }

    /// What waited is answered as unsure, as dropped senders tell.
    fn abandon_calls(&mut self, shard: u32) {
        self.pending_calls[shard as usize] = PendingCalls::default();
        self.entry_cache.evict_through(shard, u64::MAX);
    }
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
