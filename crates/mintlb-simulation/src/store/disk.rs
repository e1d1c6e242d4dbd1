//! A store's disk, and the writes on their way to it; mirrors `store/storage`: what waits is committed at once, and
//! what follows a write is said after its commit.

use crate::context::{Context, Timer};
use crate::random::Random;
use bytes::Bytes;
use mintlb_batch::entry::Entry;
use mintlb_batch::framing;
use mintlb_batch::replica::{AfterSync, DiskWrite, LoadedEntry, ShardMeta};
use mintlb_common::placement::StoreId;
use std::collections::{BTreeMap, VecDeque};

/// What a disk holds of one shard.
#[derive(Clone, Debug, Default)]
pub struct ShardDisk {
    /// The shard's meta data.
    pub meta: ShardMeta,
    /// Its entries.
    pub entries: BTreeMap<u64, Bytes>,
}

/// What a disk holds.
#[derive(Clone, Debug, Default)]
pub struct StoreDisk {
    /// The store's identity, drawn when the disk was first used.
    pub id: StoreId,
    /// Its shards.
    pub shards: BTreeMap<u32, ShardDisk>,
}

impl ShardDisk {
    fn apply(&mut self, write: DiskWrite) {
        match write {
            DiskWrite::Put(index, bytes) => _ = self.entries.insert(index, bytes),
            DiskWrite::Truncate(last) => self.entries.retain(|index, _| *index <= last),
            DiskWrite::Remove(indexes) => indexes
                .iter()
                .for_each(|index| _ = self.entries.remove(index)),
            DiskWrite::Strip(indexes) => indexes.iter().for_each(|index| self.strip(*index)),
            DiskWrite::Clear => self.entries.clear(),
            DiskWrite::Meta(meta) => self.meta = meta,
        }
    }

    fn strip(&mut self, index: u64) {
        if let Some(bytes) = self.entries.get_mut(&index)
            && let Some((_, end)) = framing::decode_head::<Entry>(bytes)
        {
            *bytes = bytes.slice(..end);
        }
    }

    /// The entries as a replica loads them.
    pub fn load(&self) -> impl Iterator<Item = LoadedEntry> {
        self.entries.iter().filter_map(|(index, bytes)| {
            let (entry, end) = framing::decode_head::<Entry>(bytes)?;
            Some(LoadedEntry {
                index: *index,
                entry,
                length: bytes.len() as u64,
                raw_length: (bytes.len() - end) as u64,
            })
        })
    }
}

struct Job {
    shard: u32,
    writes: Vec<DiskWrite>,
    after: Vec<(u32, AfterSync)>,
}

/// The disk in its process.
pub struct Writer {
    disk: StoreDisk,
    jobs: VecDeque<Job>,
    committing: usize,
}

impl Writer {
    /// The disk of a process that starts.
    pub fn new(disk: StoreDisk) -> Writer {
        Writer {
            disk,
            jobs: VecDeque::new(),
            committing: 0,
        }
    }

    /// What is on disk.
    pub fn disk(&self) -> &StoreDisk {
        &self.disk
    }

    /// Writes; returns what follows at once as nothing is on its way.
    pub fn write(
        &mut self,
        context: &mut Context,
        shard: u32,
        writes: Vec<DiskWrite>,
        after: Vec<AfterSync>,
    ) -> Vec<AfterSync> {
        if writes.is_empty() {
            let Some(last) = self.jobs.back_mut() else {
                return after;
            };
            last.after
                .extend(after.into_iter().map(|after| (shard, after)));
            return Vec::new();
        }
        let after = after.into_iter().map(|after| (shard, after)).collect();
        self.jobs.push_back(Job {
            shard,
            writes,
            after,
        });
        self.begin(context);
        Vec::new()
    }

    /// The commit under way is done; returns what follows.
    pub fn committed(&mut self, context: &mut Context) -> Vec<(u32, AfterSync)> {
        let after = self.apply_committing();
        self.begin(context);
        after
    }

    /// The process ends: the commit under way has come about or not, what waited has not.
    pub fn crash(mut self, random: &mut Random) -> StoreDisk {
        if random.with_probability(50) {
            self.apply_committing();
        }
        self.disk
    }

    fn apply_committing(&mut self) -> Vec<(u32, AfterSync)> {
        let done: Vec<Job> = self.jobs.drain(..self.committing).collect();
        self.committing = 0;
        let mut after = Vec::new();
        for job in done {
            let shard = self.disk.shards.entry(job.shard).or_default();
            job.writes.into_iter().for_each(|write| shard.apply(write));
            after.extend(job.after);
        }
        after
    }

    fn begin(&mut self, context: &mut Context) {
        if self.committing == 0 && !self.jobs.is_empty() {
            self.committing = self.jobs.len();
            context.wake(context.commit_time, Timer::Disk);
        }
    }
}
