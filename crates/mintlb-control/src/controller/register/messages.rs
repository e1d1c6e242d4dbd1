//! The messages on the register's channel. Their minicbor indexes are fixed: controllers of
//! different releases exchange them.

use bytes::Bytes;
use minicbor::{Decode, Encode};
use mintlb_common::record::WorkerRecord;
use mintlb_register::message::{Reply, Request};
use mintlb_register::replica_set::{ReplicaId, ReplicaSet};

/// A request to another controller.
#[derive(Debug, Encode, Decode)]
pub enum RegisterRequest {
    /// A request to the replica of the receiver.
    #[n(0)]
    Acceptor(#[n(0)] Request),
    /// Which replica set does the receiver know, and has it a disk?
    #[n(1)]
    Status,
    /// Does the receiver vote for this replica as the one that bootstraps the register?
    #[n(2)]
    BootstrapVote(#[n(0)] ReplicaId),
    /// Store a worker that has announced its drain or end.
    #[n(3)]
    StoreStoppedWorker {
        /// The replica that is to store it: an emptied disk is another one.
        #[n(0)]
        target: ReplicaId,
        /// Its record.
        #[n(1)]
        record: WorkerRecord,
    },
}

/// The response to a [`RegisterRequest`].
#[derive(Debug, Encode, Decode)]
pub enum RegisterResponse {
    /// The reply of the replica.
    #[n(0)]
    Acceptor(#[n(0)] Reply),
    /// The status of the process.
    #[n(1)]
    Status {
        /// Whether it has a disk for a replica.
        #[n(0)]
        has_disk: bool,
        /// The newest replica set that it knows.
        #[n(1)]
        set: Option<ReplicaSet>,
    },
    /// Whether the vote is granted.
    #[n(2)]
    BootstrapVote(#[n(0)] bool),
    /// The stopped worker is on the disk of the replica.
    #[n(3)]
    StoppedWorkerStored,
}

/// Encodes a message.
pub fn encode<T: Encode<()>>(message: &T) -> Bytes {
    minicbor::to_vec(message).unwrap_or_default().into()
}
