//! The tables of the store's file. Their names are part of the format on disk.

use redb::TableDefinition;

/// Key of a chunk: shard, index of the entry, number of the chunk within the entry.
pub(super) type ChunkKey = (u32, u64, u16);

/// Log entries, cut into chunks.
pub(super) const ENTRY_CHUNKS: TableDefinition<ChunkKey, &[u8]> = TableDefinition::new("parts");
/// Complete log entries by shard and index, as files of the first version hold them.
pub(super) const LEGACY_ENTRIES: TableDefinition<(u32, u64), &[u8]> =
    TableDefinition::new("entries");
/// Encoded [`mintlb_batch::replica::ShardMeta`] by shard.
pub(super) const SHARD_META: TableDefinition<u32, &[u8]> = TableDefinition::new("shards");
/// Bytes that are written only to find out whether the disk accepts writes.
pub(super) const PROBE: TableDefinition<(), &[u8]> = TableDefinition::new("probe");
/// The store's identity, under [`IDENTITY`].
pub(super) const STORE: TableDefinition<&str, u64> = TableDefinition::new("store");
/// The only key of [`STORE`].
pub(super) const IDENTITY: &str = "identity";
