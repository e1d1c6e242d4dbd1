//! Messages of the simulated network, and the requests and responses of clients.

use bytes::Bytes;
use mintlb_batch::heartbeat::StoreHeartbeat;
use mintlb_batch::messages;
use mintlb_batch::peer::Envelope;
use mintlb_common::record::WorkerRecord;
use mintlb_control::controller::contact::messages::{Ping, Pong};
use mintlb_register::bootstrap::SeedStatus;
use mintlb_register::message::{Reply, Request};
use mintlb_register::replica_set::ReplicaId;
use std::net::SocketAddr;

/// One message between two processes.
#[derive(Clone, Debug)]
pub struct Packet {
    /// The sender's address.
    pub from: SocketAddr,
    /// The sender's incarnation.
    pub from_incarnation: u64,
    /// The receiver's address.
    pub to: SocketAddr,
    /// Only this incarnation of the receiver gets it: a message goes on a connection, and an
    /// answer on the one of its request.
    pub to_incarnation: Option<u64>,
    /// What it holds.
    pub body: Body,
}

/// What a message holds.
#[derive(Clone, Debug)]
pub enum Body {
    /// A call that is to be answered.
    Call {
        /// The caller's number of it.
        id: u64,
        /// The caller's incarnation.
        incarnation: u64,
        /// The call.
        call: Call,
    },
    /// The answer to a call.
    Answer {
        /// The caller's number of the call.
        id: u64,
        /// The answer.
        answer: Answer,
    },
    /// A message of the overlay.
    Gossip(Bytes),
    /// A message between stores' replicas, with its entries.
    Batch(Envelope, Bytes),
    /// What a store tells the controllers.
    Heartbeat(StoreHeartbeat),
}

/// A call between processes.
#[derive(Clone, Debug)]
pub enum Call {
    /// For the register's replica.
    Vote(Request),
    /// Which set is known, and is there a disk?
    Status,
    /// A dispatcher's call to a store, with what is raw in it.
    Batch(messages::StoreRequest, Bytes),
    /// A controller's ping.
    Ping(Ping),
    /// For the register's replica: store a worker that has announced its drain or end.
    StoreStoppedWorker {
        /// The replica.
        target: ReplicaId,
        /// Its record.
        record: WorkerRecord,
    },
}

/// The answer to a [`Call`].
#[derive(Clone, Debug)]
pub enum Answer {
    /// To [`Call::Vote`]; `None` if the replica gives no reply.
    Vote(Option<Reply>),
    /// To [`Call::Status`].
    Status(SeedStatus),
    /// To [`Call::Batch`], with what is raw in it.
    Batch(messages::StoreResponse, Bytes),
    /// To [`Call::Ping`].
    Pong(Pong),
    /// To [`Call::StoreStoppedWorker`]: whether it is on the disk there.
    StoppedWorkerStored(bool),
}

/// A request of a client outside the cluster.
#[derive(Clone, Debug)]
pub enum ClientRequest {
    /// `PUT /v1/configuration`.
    Put {
        /// `If-Match`.
        base: u64,
        /// `config_version`.
        version: u64,
        /// The text.
        body: Vec<u8>,
    },
    /// `GET /v1/configuration`.
    Get,
    /// `POST /v1/retire/NODE` if it begins, otherwise `GET`.
    Retire {
        /// The machine's name.
        node: String,
        /// Whether it begins.
        begin: bool,
    },
    /// A worker's heartbeat, or its announcement that it is draining.
    Heartbeat(WorkerRecord),
    /// A worker ends, by its id.
    Leave(String),
    /// A call on a job at a dispatcher, with what is raw in it.
    Batch(messages::StoreRequest, Bytes),
}

/// The response to a [`ClientRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum ClientResponse {
    /// 200 to a change.
    Done,
    /// 200 to a read.
    Configuration {
        /// Its version; 0 if there is none (404).
        version: u64,
        /// Its text.
        body: Vec<u8>,
    },
    /// 400 or 412: it is not in force and never will be by this call.
    Refused,
    /// 503.
    Unavailable,
    /// How far a retirement is: it stands or runs, or it is completed.
    Retiring {
        /// Whether it is completed.
        completed: bool,
    },
    /// An answer on a job, with what is raw in it.
    Batch(messages::StoreResponse, Bytes),
}
