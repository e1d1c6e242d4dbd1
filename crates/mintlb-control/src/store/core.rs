//! The replicas of all shards, with their effects carried out.

use super::disk::{LoadedShards, LotDisk};
use super::recent::Recent;
use super::writer::{Opened, Writer};
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
struct Waiting {
    /// For the commit of an index. They are told whether it came about.
    commits: BTreeMap<u64, Vec<oneshot::Sender<bool>>>,
    /// Results on their way, by index, with their lots.
    results: VecDeque<(u64, u64)>,
    /// Readers of a lot that wait for its next result.
    readers: FxHashMap<u64, Vec<oneshot::Sender<()>>>,
    /// Readers that wait for a confirmation.
    confirmations: Vec<oneshot::Sender<()>>,
}

impl Waiting {
    fn forget_readers_that_left(&mut self) {
        self.readers.retain(|_, readers| {
            readers.retain(|reader| !reader.is_closed());
            !readers.is_empty()
        });
    }
}

/// The replicas and what they need.
pub struct Core {
    replicas: Vec<Replica>,
    waiting: Vec<Waiting>,
    recent: Recent,
    settings: ReplicaSettings,
    /// A commit failed and what is on disk is not known: nothing is promised, told or taken.
    suspended: bool,
    placement: Placement,
    addresses: FxHashMap<StoreId, SocketAddr>,
    transport: Arc<Transport>,
    /// The file.
    pub disk: LotDisk,
    /// Its thread.
    pub writer: Writer,
    /// Told when a report has changed.
    pub report_changed: Arc<Notify>,
}

impl Core {
    /// Replicas with what the disk held.
    pub fn new(
        transport: Arc<Transport>,
        opened: Opened,
        settings: ReplicaSettings,
        now: Timestamp,
    ) -> Core {
        Core {
            replicas: load(opened.shards, settings, now),
            waiting: no_calls(),
            recent: Recent::default(),
            settings,
            suspended: false,
            placement: Placement::default(),
            addresses: FxHashMap::default(),
            transport,
            disk: opened.disk,
            writer: opened.writer,
            report_changed: Arc::new(Notify::new()),
        }
    }

    /// What is on disk is not known any more: all calls that wait are answered as unsure, and no replica says
    /// anything until [`Core::resume`]. To the others it is as if the process had ended.
    pub fn suspend(&mut self, now: Timestamp) {
        self.suspended = true;
        self.replicas = load(LoadedShards::new(), self.settings, now);
        self.waiting = no_calls();
        self.recent = Recent::default();
    }

    /// Goes on with what the disk holds, like a process that starts.
    pub fn resume(&mut self, shards: LoadedShards, now: Timestamp) {
        self.replicas = load(shards, self.settings, now);
        self.writer.resume();
        self.suspended = false;
        for (shard, assignment) in (0..SHARD_COUNT).zip(std::mem::take(&mut self.placement.shards))
        {
            self.replica(shard).set_assignment(&assignment, now);
            self.act(shard, now);
            self.placement.shards.push(assignment);
        }
    }

    /// Whether the disk is of no use at this time: what is on it is not known, or it answers nothing.
    pub fn is_without_disk(&self, now: std::time::Instant) -> bool {
        self.suspended || self.writer.is_stalled(now)
    }

    /// Whether what is on disk is not known.
    pub fn is_suspended(&self) -> bool {
        self.suspended
    }

    /// A shard's replica. Call [`Core::act`] after a change.
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
    pub fn set_placement(&mut self, placement: Placement, now: Timestamp) {
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
            self.act(shard, now);
        }
        self.placement = placement;
    }

    /// A message of another store's replica.
    pub fn message(&mut self, envelope: Envelope, raw: Bytes, now: Timestamp) {
        let shard = envelope.shard;
        if self.suspended || shard >= SHARD_COUNT || (!raw.is_empty() && self.writer.is_full()) {
            return;
        }
        self.replica(shard).on_message(envelope, raw, now);
        self.act(shard, now);
    }

    /// What follows a commit.
    pub fn synced(&mut self, after: Vec<(u32, AfterSync)>, now: Timestamp) {
        if self.suspended {
            return;
        }
        for (shard, after) in after {
            self.replica(shard).on_synced(after, now);
            self.act(shard, now);
        }
    }

    /// Time passes.
    pub fn tick(&mut self, now: Timestamp) {
        if self.suspended {
            return;
        }
        for shard in 0..SHARD_COUNT {
            self.replica(shard).tick(now);
            self.act(shard, now);
        }
        self.waiting
            .iter_mut()
            .for_each(Waiting::forget_readers_that_left);
    }

    /// What the controllers are told.
    pub fn reports(&self) -> Vec<ShardReport> {
        self.replicas.iter().filter_map(Replica::report).collect()
    }

    /// Waits for the commit of an index; told `false` if it can't be told any more whether it comes about.
    pub fn wait_commit(&mut self, shard: u32, index: u64) -> oneshot::Receiver<bool> {
        let (told, receiver) = oneshot::channel();
        self.waiting[shard as usize]
            .commits
            .entry(index)
            .or_default()
            .push(told);
        receiver
    }

    /// Wakes the lot's readers once the result at this index is committed.
    pub fn result_on_its_way(&mut self, shard: u32, index: u64, job: u64) {
        self.waiting[shard as usize].results.push_back((index, job));
    }

    /// Waits for the next result of a lot.
    pub fn wait_result(&mut self, shard: u32, job: u64) -> oneshot::Receiver<()> {
        let (told, receiver) = oneshot::channel();
        let readers = self.waiting[shard as usize].readers.entry(job).or_default();
        readers.retain(|reader| !reader.is_closed());
        readers.push(told);
        receiver
    }

    /// Lots that readers wait for.
    pub fn lots_waited_for(&self) -> usize {
        self.waiting
            .iter()
            .map(|waiting| waiting.readers.len())
            .sum()
    }

    /// Waits for a sign of the followers.
    pub fn wait_confirmation(&mut self, shard: u32) -> oneshot::Receiver<()> {
        let (told, receiver) = oneshot::channel();
        let waiting = &mut self.waiting[shard as usize].confirmations;
        waiting.retain(|reader| !reader.is_closed());
        waiting.push(told);
        receiver
    }

    /// Carries out what a replica asks for.
    pub fn act(&mut self, shard: u32, now: Timestamp) {
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
                            self.recent.put(shard, *index, bytes.clone());
                        }
                        writes.push(write);
                    }
                    Effect::AfterSync(next) => after.push(next),
                    Effect::Send(envelope) => self.send(&envelope, &[]),
                    Effect::SendEntries(envelope, indexes) => self.send_entries(envelope, &indexes),
                    Effect::Committed(through) => self.committed(shard, through),
                    Effect::Confirmed => self.confirmed(shard),
                    Effect::SteppedDown => self.stepped_down(shard),
                    Effect::ReportChanged => self.report_changed.notify_one(),
                    Effect::Replicated(through) => self.recent.drop_through(shard, through),
                }
            }
            if writes.is_empty() && after.is_empty() {
                continue;
            }
            if let Err(at_once) = self.writer.write(shard, writes, after) {
                at_once
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
        let recent: Vec<(u64, Bytes)> = indexes
            .iter()
            .map_while(|index| {
                self.recent
                    .get(shard, *index)
                    .map(|bytes| (*index, bytes.clone()))
            })
            .collect();
        if recent.len() == indexes.len() {
            return Some(recent);
        }
        match self.disk.read(shard, indexes) {
            Ok(entries) => Some(entries),
            Err(error) => {
                log::error!("store: shard {shard}: {error}");
                None
            }
        }
    }

    fn committed(&mut self, shard: u32, through: u64) {
        let waiting = &mut self.waiting[shard as usize];
        while let Some(first) = waiting
            .commits
            .first_entry()
            .filter(|entry| *entry.key() <= through)
        {
            first
                .remove()
                .into_iter()
                .for_each(|told| _ = told.send(true));
        }
        while waiting
            .results
            .front()
            .is_some_and(|(index, _)| *index <= through)
            && let Some((_, job)) = waiting.results.pop_front()
        {
            let readers = waiting.readers.remove(&job).unwrap_or_default();
            readers.into_iter().for_each(|told| _ = told.send(()));
        }
    }

    fn confirmed(&mut self, shard: u32) {
        let waiting = std::mem::take(&mut self.waiting[shard as usize].confirmations);
        waiting.into_iter().for_each(|told| _ = told.send(()));
    }

    /// What waited is answered as unsure, as dropped senders tell.
    fn stepped_down(&mut self, shard: u32) {
        self.waiting[shard as usize] = Waiting::default();
        self.recent.drop_through(shard, u64::MAX);
    }
}

fn load(mut shards: LoadedShards, settings: ReplicaSettings, now: Timestamp) -> Vec<Replica> {
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

fn no_calls() -> Vec<Waiting> {
    (0..SHARD_COUNT).map(|_| Waiting::default()).collect()
}
