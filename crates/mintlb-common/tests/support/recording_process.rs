//! A process whose service records what the transport reports to it.

use super::STEP_TIMEOUT;
use bytes::Bytes;
use mintlb_common::incarnation::Incarnation;
use mintlb_common::transport::{Channel, ResponseFuture, Service, Transport};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::timeout;

/// What the transport reported.
#[derive(Debug, PartialEq)]
pub enum Event {
    Notification(SocketAddr, Bytes),
    Unreachable(SocketAddr),
    Restarted(SocketAddr, u64),
}

/// Responds to a request with its body doubled; to `silence` not at all, to `unknown` with an empty
/// response.
struct RecordingService(UnboundedSender<Event>);

impl Service for RecordingService {
    fn on_notification(&self, from: SocketAddr, body: Bytes) {
        self.0.send(Event::Notification(from, body)).unwrap();
    }

    fn on_request(&self, _from: SocketAddr, body: Bytes) -> ResponseFuture {
        Box::pin(async move {
            match &body[..] {
                b"silence" => std::future::pending().await,
                b"unknown" => Bytes::new(),
                _ => [body.clone(), body].concat().into(),
            }
        })
    }

    fn on_peer_unreachable(&self, peer: SocketAddr) {
        self.0.send(Event::Unreachable(peer)).unwrap();
    }

    fn on_peer_restarted(&self, peer: SocketAddr, incarnation: Incarnation) {
        let event = Event::Restarted(peer, incarnation.number());
        self.0.send(event).unwrap();
    }
}

/// Starts a process with a recording service on [`Channel::Batch`].
pub async fn start_process() -> (Arc<Transport>, UnboundedReceiver<Event>) {
    let any_port = "127.0.0.1:0".parse().unwrap();
    let transport = Transport::start(any_port).await.unwrap();
    let (recorder, events) = unbounded_channel();
    let service = Arc::new(RecordingService(recorder));
    transport.register_service(Channel::Batch, service);
    (transport, events)
}

/// The next event.
pub async fn next_event(events: &mut UnboundedReceiver<Event>) -> Event {
    let event = timeout(STEP_TIMEOUT, events.recv()).await;
    event.expect("no event in time").unwrap()
}

/// The event of a notification.
pub fn notification(from: SocketAddr, body: &'static str) -> Event {
    Event::Notification(from, Bytes::from_static(body.as_bytes()))
}
