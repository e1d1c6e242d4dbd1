//! The singleton role, which one controller at a time fills: the leader places the shards on the
//! stores, removes unresponsive replicas from the register's replica set, and ends the records of
//! workers that no controller claims. Each controller with a replica receives the stores'
//! heartbeats, so that it can take the role over at once.
//!
//! - [`leader`]: the task that does the leader's work.
//! - [`shard_placement`], [`replica_removal`], [`worker_expiry`]: its parts.
//! - [`store_monitor`]: what is known of the stores.
//! - [`retirement`]: retirement of stores, which any controller that receives the stores'
//!   heartbeats handles.
//! - [`messages`], [`service`]: the protocol between controllers.

pub mod leader;
pub mod messages;
pub mod replica_removal;
pub mod retirement;
pub mod service;
pub mod shard_placement;
pub mod store_monitor;
pub mod tolerance_update;
pub mod worker_expiry;

use std::time::Duration;

/// The time that a change of the register by the leader is given.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(700);
