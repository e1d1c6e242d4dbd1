//! A simulated disk.

use bytes::Bytes;
use mintlb_batch::entry::Entry;
use mintlb_batch::framing;
use mintlb_batch::replica::{DiskWrite, LoadedEntry, ShardMeta};
use std::collections::BTreeMap;

/// What is durable of a shard.
#[derive(Clone, Default)]
pub struct Disk {
    pub meta: ShardMeta,
    pub entries: BTreeMap<u64, Bytes>,
}

impl Disk {
    pub fn apply(&mut self, writes: Vec<DiskWrite>) {
        for write in writes {
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
    }

    fn strip(&mut self, index: u64) {
        if let Some(bytes) = self.entries.get_mut(&index) {
            let (_, end) = framing::decode_head::<Entry>(bytes).unwrap();
            *bytes = bytes.slice(..end);
        }
    }

    pub fn load(&self) -> impl Iterator<Item = LoadedEntry> {
        self.entries.iter().map(|(index, bytes)| {
            let (entry, end) = framing::decode_head::<Entry>(bytes).unwrap();
            LoadedEntry {
                index: *index,
                entry,
                length: bytes.len() as u64,
                raw_length: (bytes.len() - end) as u64,
            }
        })
    }
}
