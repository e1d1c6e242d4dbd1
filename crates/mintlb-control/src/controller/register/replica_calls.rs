//! Requests of proposals and reads to single replicas, the local one included.

use super::local_replica::LocalReplica;
use super::messages::{RegisterRequest, RegisterResponse, encode};
use mintlb_common::transport::{Channel, Transport};
use mintlb_register::ballot::Ballot;
use mintlb_register::message::{Reply, Request};
use mintlb_register::proposal::{Input, PHASE_TIMEOUT};
use mintlb_register::replica_set::{Replica, ReplicaId};
use std::sync::Arc;
use tokio::sync::mpsc;

/// The reply of a replica, or `None` if the request or reply was lost.
pub(super) struct ReplicaReply {
    pub(super) from: ReplicaId,
    ballot: Ballot,
    pub(super) reply: Option<Reply>,
}

impl ReplicaReply {
    /// The input of a proposal.
    pub(super) fn into_input(self) -> Input {
        match self.reply {
            Some(reply) => Input::Reply {
                from: self.from,
                reply,
            },
            None => Input::Lost {
                from: self.from,
                ballot: self.ballot,
            },
        }
    }
}

/// Sends a request to a replica, and its reply or loss to `replies`.
///
/// The task is detached, as a proposal that has its quorum must not cancel its requests to the
/// slower replicas. It ends within [`PHASE_TIMEOUT`], for the local replica with its sync.
pub(super) fn send_request(
    transport: &Arc<Transport>,
    local: Option<Arc<LocalReplica>>,
    replica: Replica,
    request: Request,
    replies: mpsc::Sender<ReplicaReply>,
) {
    let ballot = request.body.ballot();
    let transport = transport.clone();
    tokio::spawn(async move {
        let reply = match local {
            Some(local) => local.answer(request).await.ok(),
            None => call(&transport, &replica, request).await,
        };
        let reply = ReplicaReply {
            from: replica.id,
            ballot,
            reply,
        };
        replies.send(reply).await.ok();
    });
}

async fn call(transport: &Arc<Transport>, replica: &Replica, request: Request) -> Option<Reply> {
    let address = replica.address.parse().ok()?;
    let body = encode(&RegisterRequest::Acceptor(request));
    let response = transport
        .call(address, Channel::Register, body, PHASE_TIMEOUT)
        .await
        .ok()?;
    match minicbor::decode(&response).ok()? {
        RegisterResponse::Acceptor(reply) => Some(reply),
        _ => None,
    }
}
