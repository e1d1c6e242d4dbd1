//! Entries of a primary that not all followers have yet, cached in memory as far as they fit:
//! replicating them then needs no read from disk.

use super::storage::StoredEntry;
use bytes::Bytes;
use mintlb_common::placement::SHARD_COUNT;
use std::collections::VecDeque;

/// Bytes of all cached entries at most.
const MAX_CACHED_BYTES: usize = 3 << 20;

/// The cached entries of each shard, in ascending order of their indexes.
pub struct EntryCache {
    shards: Vec<VecDeque<StoredEntry>>,
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
    /// Caches an entry; if there are too many bytes, the shard's oldest entries are evicted.
    pub fn insert(&mut self, shard: u32, index: u64, bytes: Bytes) {
        let Some(entries) = self.shards.get_mut(shard as usize) else {
            return;
        };
        self.bytes += bytes.len();
        entries.push_back(StoredEntry { index, bytes });
        while self.bytes > MAX_CACHED_BYTES
            && let Some(oldest) = entries.pop_front()
        {
            self.bytes -= oldest.bytes.len();
        }
    }

    /// An entry, if it is cached.
    pub fn get(&self, shard: u32, index: u64) -> Option<&StoredEntry> {
        let entries = self.shards.get(shard as usize)?;
        let position = entries
            .binary_search_by_key(&index, |entry| entry.index)
            .ok()?;
        entries.get(position)
    }

    /// Evicts the shard's entries up to and including `through`.
    pub fn evict_through(&mut self, shard: u32, through: u64) {
        let Some(entries) = self.shards.get_mut(shard as usize) else {
            return;
        };
        while entries.front().is_some_and(|entry| entry.index <= through)
            && let Some(oldest) = entries.pop_front()
        {
            self.bytes -= oldest.bytes.len();
        }
    }
}
