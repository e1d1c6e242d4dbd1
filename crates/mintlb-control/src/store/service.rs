//! The store's service on the transport: requests of dispatchers, messages of other stores.

use super::handle::Store;
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
        if let Some((envelope, raw)) = framing::decode::<Envelope>(&body) {
            self.0.on_peer_message(envelope, raw);
        }
    }

    /// A request that can't be decoded gets an empty response.
    fn on_request(&self, _from: SocketAddr, body: Bytes) -> ResponseFuture {
        let store = self.0.clone();
        Box::pin(async move {
            match framing::decode::<StoreRequest>(&body) {
                Some((request, raw)) => store.handle_request(request, raw).await,
                None => Bytes::new(),
            }
        })
    }
}
