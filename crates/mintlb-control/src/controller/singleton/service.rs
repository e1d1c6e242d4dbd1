//! Responses to other controllers on the control channel, and reception of the stores' heartbeats.

use super::messages::{ControllerRequest, ControllerResponse, encode};
use super::retirement::RetirementHandler;
use super::store_monitor::StoreMonitor;
use crate::controller::contact::messages::LeaderEpoch;
use crate::controller::contact::monitor::ContactMonitor;
use crate::controller::workers::service::WorkerService;
use bytes::Bytes;
use mintlb_batch::framing;
use mintlb_batch::heartbeat::StoreHeartbeat;
use mintlb_common::transport::{ResponseFuture, Service};
use std::net::SocketAddr;
use std::sync::Arc;

/// The handler of the control channel.
pub struct ControlService {
    responder: Arc<Responder>,
    stores: Arc<StoreMonitor>,
}

impl ControlService {
    /// Composes the handler from the parts that know the answers.
    pub fn new(
        contact: Arc<ContactMonitor>,
        workers: Arc<WorkerService>,
        stores: Arc<StoreMonitor>,
        retirement: Arc<RetirementHandler>,
    ) -> ControlService {
        let responder = Responder {
            contact,
            workers,
            retirement,
        };
        ControlService {
            responder: Arc::new(responder),
            stores,
        }
    }
}

impl Service for ControlService {
    fn on_notification(&self, _from: SocketAddr, body: Bytes) {
        if let Some((heartbeat, _)) = framing::decode::<StoreHeartbeat>(&body) {
            self.stores.record_heartbeat(heartbeat);
        }
    }

    fn on_request(&self, from: SocketAddr, body: Bytes) -> ResponseFuture {
        let responder = self.responder.clone();
        Box::pin(async move {
            match minicbor::decode(&body) {
                Ok(request) => encode(&responder.respond(from, request).await),
                Err(_) => Bytes::new(),
            }
        })
    }
}

struct Responder {
    contact: Arc<ContactMonitor>,
    workers: Arc<WorkerService>,
    retirement: Arc<RetirementHandler>,
}

impl Responder {
    async fn respond(&self, from: SocketAddr, request: ControllerRequest) -> ControllerResponse {
        match request {
            ControllerRequest::Ping(ping) => {
                ControllerResponse::Pong(self.contact.on_ping(from, ping))
            }
            ControllerRequest::Workers { epoch } => self.workers(epoch),
            ControllerRequest::Retirement(request) => {
                ControllerResponse::Retirement(self.retirement.handle(&request).await)
            }
        }
    }

    fn workers(&self, epoch: LeaderEpoch) -> ControllerResponse {
        let highest = self.contact.highest_epoch();
        if epoch < highest {
            return ControllerResponse::StaleEpoch { epoch: highest };
        }
        ControllerResponse::Workers(self.workers.id_hashes())
    }
}
