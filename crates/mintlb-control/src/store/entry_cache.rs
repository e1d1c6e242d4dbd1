//! Entries of a primary that are still on their way to other replicas, kept in memory as far as they fit.

use bytes::Bytes;
use mintlb_common::placement::SHARD_COUNT;
use std::collections::VecDeque;

/// Bytes of all kept entries.
const MAX_CACHED_BYTES: usize = 3 << 20;

/// The kept entries of each shard, rising in index.
pub struct EntryCache {
    shards: Vec<VecDeque<(u64, Bytes)>>,
    bytes: usize,
}

impl Default for EntryCache {
    fn default() -> EntryCache {
        EntryCache {
            shards: vec![VecDeque::new(); SHARD_COUNT as usize],
            bytes: 0,
        }
    }
}

impl EntryCache {
    /// Keeps an entry; older ones of the shard give way.
    pub fn insert(&mut self, shard: u32, index: u64, bytes: Bytes) {
        let Some(entries) = self.shards.get_mut(shard as usize) else {
            return;
        };
        self.bytes += bytes.len();
        entries.push_back((index, bytes));
        while self.bytes > MAX_CACHED_BYTES
            && let Some((_, oldest)) = entries.pop_front()
        {
            self.bytes -= oldest.len();
        }
    }

    /// An entry, if it is kept.
    pub fn get(&self, shard: u32, index: u64) -> Option<&Bytes> {
        let entries = self.shards.get(shard as usize)?;
        let position = entries
            .binary_search_by_key(&index, |(index, _)| *index)
            .ok()?;
        Some(&entries[position].1)
    }

    /// Entries up to `through` are no longer needed.
    pub fn evict_through(&mut self, shard: u32, through: u64) {
        let Some(entries) = self.shards.get_mut(shard as usize) else {
            return;
        };
        while entries.front().is_some_and(|(index, _)| *index <= through)
            && let Some((_, oldest)) = entries.pop_front()
        {
            self.bytes -= oldest.len();
        }
    }
}
