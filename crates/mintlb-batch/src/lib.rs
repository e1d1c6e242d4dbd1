//! Lots of batch items, replicated on stores.
//!
//! - [`framing`]: a typed head followed by raw bytes, the shape of every message and entry here.
//! - [`messages`]: calls of dispatchers to stores, and their answers.
//! - [`peer`]: messages between the replicas of a shard.
//! - [`entry`]: entries of a shard's log.
//! - [`epoch_history`]: which epoch wrote which part of a log, and how two logs compare.
//! - [`job_table`]: the lots of one shard, built from its log: items, results, quota.
//! - [`leases`]: who runs which item.
//! - [`replica`]: one shard at one store: follower, takeover, primary. Pure.
//! - [`heartbeat`]: what stores tell the controllers.
//! - [`placement_planner`]: which stores hold which shard. Pure.
//! - [`client`]: what dispatchers call.

pub mod client;
pub mod entry;
pub mod epoch_history;
pub mod framing;
pub mod heartbeat;
pub mod job_table;
pub mod leases;
pub mod messages;
pub mod peer;
pub mod placement_planner;
pub mod replica;
pub mod timestamp;
