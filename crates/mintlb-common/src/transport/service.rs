//! Channels, and the services that handle their messages.

use crate::incarnation::Incarnation;
use bytes::Bytes;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

/// The part of a process that a message is addressed to. The discriminants are on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Channel {
    /// Membership views, records and anti-entropy digests.
    Gossip = 1,
    /// The prepare and accept phases of the replicated register.
    Register = 2,
    /// Batch jobs, between dispatchers and stores and among stores.
    Batch = 3,
    /// Heartbeats of stores, and operators' requests forwarded between controllers.
    Control = 4,
    /// Rate limits of tenants, between dispatchers and controllers.
    Quota = 5,
}

impl Channel {
    const ALL: [Channel; 5] = [
        Channel::Gossip,
        Channel::Register,
        Channel::Batch,
        Channel::Control,
        Channel::Quota,
    ];

    fn from_byte(byte: u8) -> Option<Channel> {
        Channel::ALL
            .into_iter()
            .find(|channel| *channel as u8 == byte)
    }
}

/// Resolves to the body of a response.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Bytes> + Send>>;

/// Handles the messages of a channel. Every `from` and `peer` is the internal address of a process.
pub trait Service: Send + Sync {
    /// Handles a one-way message.
    fn on_notification(&self, _from: SocketAddr, _body: Bytes) {}

    /// Handles a request. An empty response tells the caller that the request is not understood,
    /// see [`CallError::NotUnderstood`](super::CallError::NotUnderstood).
    fn on_request(&self, _from: SocketAddr, _body: Bytes) -> ResponseFuture {
        Box::pin(async { Bytes::new() })
    }

    /// Messages to this peer were lost, as it is unreachable or its connection failed.
    fn on_peer_unreachable(&self, _peer: SocketAddr) {}

    /// Another incarnation than the one known so far runs at this address.
    fn on_peer_restarted(&self, _peer: SocketAddr, _incarnation: Incarnation) {}
}

/// The services of a process by channel.
#[derive(Default)]
pub struct ServiceRegistry {
    services: Mutex<HashMap<Channel, Arc<dyn Service>>>,
}

impl ServiceRegistry {
    /// Directs the messages of the channel to this service.
    pub fn register(&self, channel: Channel, service: Arc<dyn Service>) {
        self.services.lock().insert(channel, service);
    }

    /// The service of a channel number; `None` if the channel is unknown or has no service.
    pub fn get(&self, channel: u8) -> Option<Arc<dyn Service>> {
        let channel = Channel::from_byte(channel)?;
        self.services.lock().get(&channel).cloned()
    }

    /// Notifies all services that messages to a peer were lost.
    pub fn notify_unreachable(&self, peer: SocketAddr) {
        for service in self.all() {
            service.on_peer_unreachable(peer);
        }
    }

    /// Notifies all services that another incarnation runs at an address.
    pub fn notify_restarted(&self, peer: SocketAddr, incarnation: Incarnation) {
        for service in self.all() {
            service.on_peer_restarted(peer, incarnation);
        }
    }

    /// A snapshot: services are called without the lock, as they may send messages themselves.
    fn all(&self) -> Vec<Arc<dyn Service>> {
        self.services.lock().values().cloned().collect()
    }
}
