//! Answers other controllers, and listens to the stores.

use super::Controller;
use super::duty_messages::{DutyAnswer, DutyCall, encoded};
use super::orphans::id_hash;
use super::retirement;
use bytes::Bytes;
use mintlb_batch::framing;
use mintlb_batch::heartbeat::StoreHeartbeat;
use mintlb_common::transport::{Channel, ResponseFuture, Service};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;

/// Answers on the channel of the duties from now on.
pub fn serve(controller: &Arc<Controller>) {
    controller
        .transport
        .register_service(Channel::Control, Arc::new(DutyService(controller.clone())));
}

struct DutyService(Arc<Controller>);

impl Service for DutyService {
    fn on_notification(&self, _from: SocketAddr, body: Bytes) {
        if let Some((heartbeat, _)) = framing::decode::<StoreHeartbeat>(&body) {
            self.0.duties.note_store(heartbeat);
        }
    }

    fn on_request(&self, from: SocketAddr, body: Bytes) -> ResponseFuture {
        let controller = self.0.clone();
        Box::pin(async move {
            let Ok(call) = minicbor::decode(&body) else {
                return Bytes::new();
            };
            encoded(&answer(&controller, from, call).await)
        })
    }
}

async fn answer(controller: &Arc<Controller>, from: SocketAddr, call: DutyCall) -> DutyAnswer {
    match call {
        DutyCall::Ping(ping) => {
            let set = controller.register.set();
            DutyAnswer::Pong(controller.duties.pings().answer(
                Instant::now(),
                from,
                ping,
                set.as_ref(),
            ))
        }
        DutyCall::Workers { epoch } => {
            let known = controller.duties.pings().peers.epoch();
            match epoch < known {
                true => DutyAnswer::Stale { epoch: known },
                false => {
                    DutyAnswer::Workers(controller.registry.lock().ids().map(id_hash).collect())
                }
            }
        }
        DutyCall::Retire(call) => {
            DutyAnswer::Retire(retirement::carry_out(controller, &call).await)
        }
    }
}
