//! What the store's file holds when it is opened.

use mintlb_batch::replica::{LoadedEntry, ShardMeta};
use std::collections::BTreeMap;

/// The contents of the file, by shard.
pub type LoadedShards = BTreeMap<u32, LoadedShard>;

/// The contents of one shard.
#[derive(Default)]
pub struct LoadedShard {
    /// Its meta data.
    pub meta: ShardMeta,
    /// Its entries in ascending order.
    pub entries: Vec<LoadedEntry>,
}
