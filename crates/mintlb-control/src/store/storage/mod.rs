//! The store's file of batch jobs: one redb database, and the thread that commits to it.
//!
//! - [`shard_storage`]: reads and commits.
//! - [`mod@file`]: creates, opens and quarantines the file; `chunked_entries` is the layout of log
//!   entries in its tables.
//! - [`commit_queue`]: groups the shards' writes into commits.
//! - [`capacity`]: how many more bytes the disk can take.
//! - [`error`]: why the file can't be used, and whether a retry can help.

pub mod capacity;
mod chunked_entries;
pub mod commit_queue;
pub mod error;
pub mod file;
pub mod loaded_shards;
pub mod shard_storage;
mod tables;

pub use commit_queue::CommitQueue;
pub use error::DiskError;
pub use loaded_shards::{LoadedShard, LoadedShards};
pub use shard_storage::{LoadedStorage, ShardStorage, ShardWrite, StoredEntry};

/// An open file with its commit thread.
pub struct OpenedStorage {
    /// The file.
    pub storage: ShardStorage,
    /// The queue of its commit thread.
    pub commit_queue: CommitQueue,
    /// The file's contents when it was opened.
    pub shards: LoadedShards,
}
