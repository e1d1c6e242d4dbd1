//! The store: keeps replicas of the shards of batch jobs on its disk, and serves dispatchers for
//! those shards whose primary it is.
//!
//! - [`process`], `startup`, `running`: the life of the process, up to its graceful shutdown;
//!   [`driver`]: its event loop.
//! - [`service`]: requests and messages from the transport; `requests`: how each request is
//!   answered.
//! - [`handle`]: the shared state behind its lock; [`shard_host`]: the replicas, their effects, and
//!   waiting calls.
//! - [`storage`]: the file, its commit thread and its capacity.
//! - [`entry_cache`]: entries that are still being replicated.
//! - [`quota`]: queued tokens of routes, counted once over all shards.
//! - [`heartbeats`]: reports to the controllers. [`load`]: what the store carries, and [`rejections`]: what it does not accept, for the log;
//!   [`limits`]: what it may take.

pub mod driver;
pub mod entry_cache;
pub mod error;
pub mod handle;
pub mod heartbeats;
pub mod limits;
pub mod load;
pub mod process;
pub mod quota;
pub mod rejections;
mod requests;
mod running;
pub mod service;
pub mod shard_host;
mod startup;
pub mod storage;

pub use error::StoreError;
pub use process::run;
