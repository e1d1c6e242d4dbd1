//! The store's service on the transport: requests of dispatchers, messages of other stores.

use super::handle::Store;
use super::load::MessageKind;
use bytes::Bytes;
use mintlb_batch::framing;
use mintlb_batch::messages::StoreRequest;
use mintlb_batch::peer::Envelope;
use mintlb_common::transport::{ResponseFuture, Service};
use std::net::SocketAddr;
use std::sync::Arc;

/// Serves [`mintlb_common::transport::Channel::Batch`] for a store.
pub struct StoreService(pub Arc<Store>);

impl Service for StoreService {
    fn on_notification(&self, _from: SocketAddr, body: Bytes) {
        let received = body.len();
        self.0
            .load()
            .on_received(MessageKind::Replication, received);
        if let Some((envelope, raw)) = framing::decode::<Envelope>(&body) {
            self.0.on_peer_message(envelope, raw);
        }
    }

    /// A request that can't be decoded gets an empty response.
    fn on_request(&self, _from: SocketAddr, body: Bytes) -> ResponseFuture {
        let store = self.0.clone();
        Box::pin(async move {
            let Some((request, raw)) = framing::decode::<StoreRequest>(&body) else {
                return Bytes::new();
            };
            let kind = MessageKind::of(&request);
            store.load().on_received(kind, body.len());
            let response = store.handle_request(request, raw).await;
            store.load().on_sent(kind, response.len());
            response
        })
    }
}
