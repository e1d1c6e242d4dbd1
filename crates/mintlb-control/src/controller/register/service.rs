//! Replies to other processes on the register's channel.

use super::client::RegisterClient;
use super::messages::{RegisterRequest, RegisterResponse, encode};
use bytes::Bytes;
use mintlb_common::record::WorkerRecord;
use mintlb_common::transport::{ResponseFuture, Service};
use mintlb_register::bootstrap::BootstrapVote;
use mintlb_register::message::Request;
use mintlb_register::replica_set::ReplicaId;
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;

/// The handler of requests on the register's channel. An empty response stands for none.
pub(super) struct RegisterService(Arc<Responder>);

impl RegisterService {
    pub(super) fn new(client: Arc<RegisterClient>, first_start: bool) -> RegisterService {
        RegisterService(Arc::new(Responder {
            client,
            first_start,
            bootstrap_vote: Mutex::default(),
        }))
    }
}

impl Service for RegisterService {
    fn on_request(&self, _from: SocketAddr, body: Bytes) -> ResponseFuture {
        let responder = self.0.clone();
        Box::pin(async move {
            let Ok(request) = minicbor::decode(&body) else {
                return Bytes::new();
            };
            match responder.respond(request).await {
                Some(response) => encode(&response),
                None => Bytes::new(),
            }
        })
    }
}

struct Responder {
    client: Arc<RegisterClient>,
    /// `first_start` of the settings.
    first_start: bool,
    bootstrap_vote: Mutex<BootstrapVote>,
}

impl Responder {
    /// The response; `None` if there is no replica here or it gives no reply.
    async fn respond(&self, request: RegisterRequest) -> Option<RegisterResponse> {
        match request {
            RegisterRequest::Acceptor(request) => self.acceptor_reply(request).await,
            RegisterRequest::Status => Some(self.status()),
            RegisterRequest::BootstrapVote(candidate) => Some(self.vote(candidate)),
            RegisterRequest::StoreStoppedWorker { target, record } => {
                self.store_stopped_worker(target, record).await
            }
        }
    }

    async fn acceptor_reply(&self, request: Request) -> Option<RegisterResponse> {
        let reply = self.client.replica()?.answer(request).await.ok()?;
        Some(RegisterResponse::Acceptor(reply))
    }

    async fn store_stopped_worker(
        &self,
        target: ReplicaId,
        record: WorkerRecord,
    ) -> Option<RegisterResponse> {
        let stored = self.client.store_for_peer(target, record).await;
        stored.then_some(RegisterResponse::StoppedWorkerStored)
    }

    fn status(&self) -> RegisterResponse {
        RegisterResponse::Status {
            has_disk: self.client.may_join(),
            set: self.client.set(),
        }
    }

    fn vote(&self, candidate: ReplicaId) -> RegisterResponse {
        let knows_set = self.client.set().is_some();
        let granted = !self.client.may_join()
            && self
                .bootstrap_vote
                .lock()
                .grant(candidate, self.first_start, knows_set);
        RegisterResponse::BootstrapVote(granted)
    }
}
