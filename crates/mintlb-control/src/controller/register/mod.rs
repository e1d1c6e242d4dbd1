//! The replicated register that holds the replica set, the configuration and the placement, as seen
//! by one controller.
//!
//! - [`client`]: proposals and reads; `replica_calls` carries their messages.
//! - [`service`], [`messages`]: replies to other processes, and the protocol.
//! - [`replica_core`]: the replica of this process as a state machine without I/O.
//! - [`local_replica`], [`acceptor_storage`], `committer`, [`acceptor_file`]: its driver and its disk.
//! - [`stopped_workers`], [`worker_log`]: drains and ends of workers on the replicas' disks.
//! - [`register_cache`]: what this process knows of the register.
//! - [`membership`], [`discovery`]: finding or bootstrapping the register, joining and leaving the
//!   replica set.
//! - [`publisher`]: distribution of chosen values as gossip records.

pub mod acceptor_file;
pub mod acceptor_file_error;
pub mod acceptor_storage;
pub mod client;
mod committer;
pub mod discovery;
pub mod local_replica;
pub mod membership;
pub mod messages;
pub mod publisher;
pub mod register_cache;
mod replica_calls;
pub mod replica_core;
pub mod service;
pub mod stopped_workers;
pub mod worker_log;

pub use acceptor_file_error::AcceptorFileError;
pub use client::{QuorumUnavailable, RegisterClient};

use local_replica::LocalReplica;
use mintlb_common::transport::{Channel, Transport};
use service::RegisterService;
use std::sync::Arc;

/// Opens access to the register, and serves its channel for other processes from now on.
/// `random_seed` is a random number of this start, `first_start` as in the settings.
pub fn start(
    transport: Arc<Transport>,
    replica: Option<Arc<LocalReplica>>,
    random_seed: u64,
    first_start: bool,
) -> Arc<RegisterClient> {
    let client = Arc::new(RegisterClient::new(transport.clone(), replica, random_seed));
    let service = RegisterService::new(client.clone(), first_start);
    transport.register_service(Channel::Register, Arc::new(service));
    client
}
