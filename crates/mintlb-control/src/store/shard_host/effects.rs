//! The effects that replicas ask for, carried out.

use super::ShardHost;
use crate::store::load::MessageKind;
use crate::store::storage::StoredEntry;
use crate::store::storage::commit_queue::Enqueued;
use mintlb_batch::framing;
use mintlb_batch::peer::{EntryLength, Envelope, PeerMessage};
use mintlb_batch::replica::{AfterSync, DiskWrite, Effect};
use mintlb_batch::timestamp::Timestamp;
use mintlb_common::transport::Channel;

/// What a round of effects leaves for the commit queue.
#[derive(Default)]
struct PendingCommit {
    writes: Vec<DiskWrite>,
    after: Vec<AfterSync>,
}

impl PendingCommit {
    fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.after.is_empty()
    }
}

impl ShardHost {
    /// Runs the effects of a shard's replica until it asks for no more. To be called after each
    /// change of the replica.
    pub fn run_effects(&mut self, shard: u32, now: Timestamp) {
        loop {
            let effects = self.replica(shard).take_effects();
            if effects.is_empty() {
                return;
            }
            let mut commit = PendingCommit::default();
            for effect in effects {
                self.run_effect(shard, effect, &mut commit);
            }
            if !commit.is_empty() {
                self.enqueue(shard, commit, now);
            }
        }
    }

    fn run_effect(&mut self, shard: u32, effect: Effect, commit: &mut PendingCommit) {
        match effect {
            Effect::Write(write) => {
                self.cache_entry(shard, &write);
                commit.writes.push(write);
            }
            Effect::AfterSync(after) => commit.after.push(after),
            Effect::Send(envelope) => self.send(&envelope, &[]),
            Effect::SendEntries(envelope, indexes) => self.send_entries(envelope, &indexes),
            Effect::Committed(through) => self.pending_calls(shard).on_committed(through),
            Effect::Confirmed => self.pending_calls(shard).on_confirmed(),
            Effect::SteppedDown => self.on_stepped_down(shard),
            Effect::ReportChanged => self.report_changed.notify_one(),
            Effect::Replicated(through) => self.entry_cache.evict_through(shard, through),
        }
    }

    fn enqueue(&mut self, shard: u32, commit: PendingCommit, now: Timestamp) {
        let enqueued = self
            .commit_queue
            .enqueue(shard, commit.writes, commit.after);
        if let Enqueued::AlreadyDurable(continuations) = enqueued {
            for after in continuations {
                self.replica(shard).on_synced(after, now);
            }
        }
    }

    /// Only a primary sends entries to others.
    fn cache_entry(&mut self, shard: u32, write: &DiskWrite) {
        if let DiskWrite::Put(index, bytes) = write
            && self.replicas[shard as usize].is_primary()
        {
            self.entry_cache.insert(shard, *index, bytes.clone());
        }
    }

    /// The waiting calls can't be answered here any more: they end as indeterminate.
    fn on_stepped_down(&mut self, shard: u32) {
        *self.pending_calls(shard) = Default::default();
        self.entry_cache.evict_through(shard, u64::MAX);
    }

    fn send(&self, envelope: &Envelope, raw: &[&[u8]]) {
        let Some(address) = self.addresses.get(&envelope.to) else {
            return;
        };
        let message = framing::encode(envelope, raw);
        self.load.on_sent(MessageKind::Replication, message.len());
        self.transport.notify(*address, Channel::Batch, message);
    }

    fn send_entries(&self, mut envelope: Envelope, indexes: &[u64]) {
        let Ok(entries) = self.read(envelope.shard, indexes) else {
            return;
        };
        let (PeerMessage::Append(append) | PeerMessage::Fetched(append)) = &mut envelope.message
        else {
            return;
        };
        append.entries = entries.iter().map(entry_length).collect();
        let raw: Vec<&[u8]> = entries.iter().map(|entry| &entry.bytes[..]).collect();
        self.send(&envelope, &raw);
    }
}

fn entry_length(entry: &StoredEntry) -> EntryLength {
    EntryLength {
        index: entry.index,
        length: entry.bytes.len() as u64,
    }
}
