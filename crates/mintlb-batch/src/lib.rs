//! Batch jobs, replicated on stores.
//!
//! A job is a list of items, each of which is run once by some dispatcher; its results are read in
//! the order in which they were recorded. Jobs are spread over shards by host and id. Each shard is a
//! replicated log that drives a table of jobs.
//!
//! State of a shard, free of I/O:
//! - [`entry`]: the entries of its log.
//! - [`epoch_history`]: which epoch wrote which entries, and where two logs diverge.
//! - [`job_table`]: the state machine driven by the log: jobs, results, quota, retention.
//! - [`leases`]: which dispatcher runs which item.
//! - [`quota`]: queued tokens of a route, counted once over all shards.
//! - [`replica`]: the replica of a shard at one store: primary, follower, takeover, requests.
//! - [`backlog`]: how much work waits in the shards that a store leads.
//! - [`placement_planner`]: which stores are assigned to which shard.
//!
//! Messages:
//! - [`framing`]: the encoding of messages and entries: a typed head followed by raw bytes.
//! - [`messages`]: requests of dispatchers to stores, and the responses.
//! - [`peer`]: messages between replicas.
//! - [`heartbeat`]: reports of stores to the controllers.
//!
//! - [`client`]: the dispatchers' client of the stores.
//! - [`timestamp`]: time of the monotonic clock.

pub mod backlog;
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
pub mod quota;
pub mod replica;
pub mod timestamp;
