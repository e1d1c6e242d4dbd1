//! Answers other controllers, and listens to the stores.

use crate::controller::Controller;
use crate::controller::singleton::messages::{SingletonRequest, SingletonResponse, encoded};
use crate::controller::singleton::retirement;
use crate::controller::workers::unclaimed_workers::id_hash;
use bytes::Bytes;
use mintlb_batch::framing;
use mintlb_batch::heartbeat::StoreHeartbeat;
use mintlb_common::transport::{Channel, ResponseFuture, Service};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::time::Instant;

/// Answers on the channel of the duties from now on.
pub fn serve(controller: &Arc<Controller>) {
    controller.transport.register_service(
        Channel::Control,
        Arc::new(SingletonService(controller.clone())),
    );
}

struct SingletonService(Arc<Controller>);

impl Service for SingletonService {
    fn on_notification(&self, _from: SocketAddr, body: Bytes) {
        if let Some((heartbeat, _)) = framing::decode::<StoreHeartbeat>(&body) {
            self.0.singleton.record_store_heartbeat(heartbeat);
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

async fn answer(
    controller: &Arc<Controller>,
    from: SocketAddr,
    call: SingletonRequest,
) -> SingletonResponse {
    match call {
        SingletonRequest::Ping(ping) => {
            let set = controller.register.set();
            SingletonResponse::Pong(controller.singleton.pings().answer(
                Instant::now(),
                from,
                ping,
                set.as_ref(),
            ))
        }
        SingletonRequest::Workers { epoch } => {
            let known = controller.singleton.pings().peers.epoch();
            match epoch < known {
                true => SingletonResponse::Stale { epoch: known },
                false => SingletonResponse::Workers(
                    controller.registry.lock().ids().map(id_hash).collect(),
                ),
            }
        }
        SingletonRequest::Retire(call) => {
            SingletonResponse::Retire(retirement::handle_retirement(controller, &call).await)
        }
    }
}
