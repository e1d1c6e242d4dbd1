//! Framed messages between the tier's own processes, over one long-lived TCP connection per
//! direction.
//!
//! A process listens on one internal address, by which its peers know it. [`Transport::notify`]
//! sends a one-way message; [`Transport::call`] sends a request and waits for the response, with a
//! time limit. A message that can't be delivered is lost, and [`Service::on_peer_unreachable`]
//! reports its receiver. All queues are bounded: what exceeds them is lost like any undeliverable
//! message.
//!
//! Both sides open a connection with their [`Incarnation`]. The dialing side names the incarnation
//! that its messages are meant for, if it knows one; a process with another incarnation, restarted
//! or on a reused address, discards them all. Messages from an ended incarnation are rejected once
//! its successor is known. A response counts on the connection that its request was sent on, and on
//! no other.
//!
//! - [`Service`] and [`Channel`]: the handlers of messages.
//! - `dialer`, `listener`, `connection`: the two directions, and what they share.
//! - `handshake`, `frame`: the bytes on the wire.
//! - `link`, `peers`: queue and pending calls of a connection; the table of peers.
//! - `send_queue`: what waits for its connection, and how long.
//! - [`incarnations`], [`rejections`]: pure bookkeeping.
//!
//! The tasks of a transport have no shutdown of their own: a process answers its peers until it
//! exits, and the runtime ends the tasks. The task of a request outlives its connection on purpose,
//! as a request once begun is executed to its end.

mod connection;
mod dialer;
mod error;
mod frame;
mod handshake;
pub mod incarnations;
mod link;
mod listener;
mod peers;
pub mod rejections;
mod send_queue;
mod service;

pub use error::CallError;
pub use frame::MAX_MESSAGE_BYTES;
pub use rejections::Rejection;
pub use send_queue::SendStatistics;
pub use service::{Channel, ResponseFuture, Service};

use crate::incarnation::Incarnation;
use bytes::Bytes;
use frame::{Frame, FrameKind, FrameReader};
use link::{CallResult, Link};
use parking_lot::Mutex;
use peers::PeerTable;
use rejections::RejectionCounts;
use send_queue::SendCounters;
use service::ServiceRegistry;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 256;

/// The messaging endpoint of one process, shared behind an [`Arc`].
pub struct Transport {
    local_address: SocketAddrV4,
    incarnation: Incarnation,
    services: ServiceRegistry,
    peers: PeerTable,
    rejections: Mutex<RejectionCounts>,
    next_call: AtomicU64,
    counters: Arc<SendCounters>,
}

impl Transport {
    /// Listens on the internal address of the process and accepts connections from then on, under a
    /// new incarnation. Has to be called within a Tokio runtime.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on or is not an IPv4 address.
    pub async fn start(address: SocketAddr) -> std::io::Result<Arc<Transport>> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(LISTEN_BACKLOG)?;
        let SocketAddr::V4(local_address) = listener.local_addr()? else {
            return Err(std::io::ErrorKind::AddrNotAvailable.into());
        };
        let transport = Arc::new(Transport {
            local_address,
            incarnation: Incarnation::generate(local_address.into()),
            services: ServiceRegistry::default(),
            peers: PeerTable::default(),
            rejections: Mutex::default(),
            next_call: AtomicU64::new(1),
            counters: Arc::default(),
        });
        tokio::spawn(transport.clone().accept_connections(listener));
        Ok(transport)
    }

    /// The internal address of this process, by which its peers know it.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address.into()
    }

    /// The incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Bytes handed to the operating system so far, headers included.
    pub fn sent_bytes(&self) -> u64 {
        self.counters.sent_bytes()
    }

    /// Bytes of messages that wait to be handed to the operating system.
    pub fn queued_bytes(&self) -> u64 {
        self.counters.queued_bytes()
    }

    /// What was sent and what waits. The longest wait begins anew with each call.
    pub fn take_send_statistics(&self) -> SendStatistics {
        self.counters.take()
    }

    /// Directs the messages of this channel to this service from now on.
    pub fn register_service(&self, channel: Channel, service: Arc<dyn Service>) {
        self.services.register(channel, service);
    }

    /// Counts, and now and then logs, a rejection of input from a peer. Services call it, too, for
    /// messages that they can't decode.
    pub fn record_rejection(&self, rejection: Rejection, from: SocketAddr) {
        if let Some(count) = self.rejections.lock().increment(rejection, from) {
            let level = if rejection.is_expected_after_restart() {
                log::Level::Info
            } else {
                log::Level::Warn
            };
            log::log!(level, "transport: {rejection}, from {from}, {count} so far");
        }
    }

    /// The number of rejections of input from a peer for this reason.
    pub fn rejection_count(&self, rejection: Rejection, from: SocketAddr) -> u64 {
        self.rejections.lock().get(rejection, from)
    }

    /// Sends a one-way message. Returns whether the queue to the peer had capacity for it; delivery
    /// is not guaranteed.
    pub fn notify(self: &Arc<Self>, to: SocketAddr, channel: Channel, body: Bytes) -> bool {
        self.link_to(to).send(Frame {
            channel: channel as u8,
            kind: FrameKind::Notification,
            call: 0,
            body,
        })
    }

    /// Sends a request and waits for its response, `time_limit` at most.
    ///
    /// # Errors
    ///
    /// [`CallError`] if there is no response; [`CallError::may_have_executed`] tells whether the
    /// peer may have executed the request all the same.
    pub async fn call(
        self: &Arc<Self>,
        to: SocketAddr,
        channel: Channel,
        body: Bytes,
        time_limit: Duration,
    ) -> Result<Bytes, CallError> {
        let call = self.next_call.fetch_add(1, Relaxed);
        let started = Instant::now();
        let link = self.link_to(to);
        let result = link.register_call(call);
        // Also if the caller drops the call before its end.
        let _pending = PendingCall { link: &link, call };
        let queued = link.send(Frame {
            channel: channel as u8,
            kind: FrameKind::Request,
            call,
            body,
        });
        if queued {
            wait_for_response(result, started, time_limit).await
        } else {
            Err(CallError::Unreachable)
        }
    }

    /// Stores the incarnation found at an address. If it replaces another one, links to that one
    /// are closed, except for `confirmed_by`, and the services are notified.
    fn confirm_incarnation(
        &self,
        address: SocketAddr,
        incarnation: Incarnation,
        confirmed_by: Option<&Arc<Link>>,
    ) {
        if self.peers.confirm(address, incarnation, confirmed_by) {
            log::debug!(
                "transport: peer {address} was replaced by incarnation {:x}",
                incarnation.number()
            );
            self.services.notify_restarted(address, incarnation);
        }
    }

    /// The next frame from a peer; `None` once the connection has ended or brings something else.
    async fn next_frame(&self, frames: &mut FrameReader, from: SocketAddr) -> Option<Frame> {
        match frames.next_frame().await {
            Ok(frame) => frame,
            Err(frame::MalformedFrame) => {
                self.record_rejection(Rejection::Malformed, from);
                None
            }
        }
    }
}

/// A call that waits for its response; forgotten when dropped.
struct PendingCall<'a> {
    link: &'a Link,
    call: u64,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.link.forget_call(self.call);
    }
}

/// Waits for the result of a call. A response that is found after the time limit does not count,
/// even if this process was suspended and finds the response and the end of the time limit at once:
/// how long ago it arrived is unknown.
async fn wait_for_response(
    result: oneshot::Receiver<CallResult>,
    started: Instant,
    time_limit: Duration,
) -> CallResult {
    let received = timeout(time_limit, result).await;
    let result = match received {
        Ok(Ok(result)) => result,
        Ok(Err(_)) => Err(CallError::Unreachable),
        Err(_) => Err(CallError::TimedOut),
    };
    let body = result?;
    if started.elapsed() > time_limit {
        Err(CallError::TimedOut)
    } else if body.is_empty() {
        Err(CallError::NotUnderstood)
    } else {
        Ok(body)
    }
}
