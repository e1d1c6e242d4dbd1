//! Accepted connections: bring notifications and requests to the services, and carry the responses.

use super::connection::{
    CONNECTION_TIMEOUT, IdlePolicy, RETRY_DELAY, close_discarding_input, detect_lost_peer,
    write_frames,
};
use super::frame::{Frame, FrameKind, FrameReader};
use super::handshake::{HANDSHAKE_BYTES, Handshake, HandshakeReply, Purpose};
use super::incarnations::DialCheck;
use super::send_queue::QueuedFrame;
use super::{Rejection, Transport};
use crate::incarnation::Incarnation;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Responses that may be queued for one connection; a handler beyond that waits.
const RESPONSE_QUEUE_CAPACITY: usize = 512;

/// The process at the other end of an accepted connection, as its handshake names it.
#[derive(Clone, Copy, Debug)]
struct Sender {
    address: SocketAddr,
    incarnation: Incarnation,
}

impl Transport {
    /// Accepts connections for as long as the runtime lives, each in a task of its own.
    pub(super) async fn accept_connections(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, remote)) => {
                    tokio::spawn(self.clone().serve_connection(stream, remote));
                }
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream, remote: SocketAddr) {
        detect_lost_peer(&socket2::SockRef::from(&stream));
        stream.set_nodelay(true).ok();
        let Some(handshake) = read_handshake(&mut stream).await else {
            // The remote port is an ephemeral one and identifies nobody.
            let host = SocketAddr::new(remote.ip(), 0);
            return self.record_rejection(Rejection::InvalidHandshake, host);
        };
        let reply = HandshakeReply {
            incarnation: self.incarnation,
        };
        let replied = stream.write_all(&reply.encode()).await;
        if replied.is_err() || handshake.purpose == Purpose::IdentityQuery {
            return;
        }
        let sender = Sender {
            address: handshake.sender(),
            incarnation: handshake.incarnation,
        };
        if !handshake.is_addressed_to(self.incarnation) {
            self.record_rejection(Rejection::WrongIncarnation, sender.address);
            return close_discarding_input(stream).await;
        }
        if !self.admits(sender).await {
            return self.record_rejection(Rejection::StaleIncarnation, sender.address);
        }
        self.exchange_messages(stream, sender).await;
    }

    /// Whether a process that dials is the one that runs at its address.
    async fn admits(&self, sender: Sender) -> bool {
        let check = self.peers.check_dialer(sender.address, sender.incarnation);
        if check == DialCheck::Known {
            return true;
        }
        let queried = self.query_incarnation(sender.address).await;
        let current = queried.unwrap_or(sender.incarnation);
        self.confirm_incarnation(sender.address, current, None);
        current == sender.incarnation
    }

    /// Reads messages and writes responses until either fails.
    async fn exchange_messages(&self, stream: TcpStream, sender: Sender) {
        let (read_half, write_half) = stream.into_split();
        let (responses, mut queue) = mpsc::channel(RESPONSE_QUEUE_CAPACITY);
        let reads = self.read_messages(read_half, sender, responses);
        let writes = write_frames(write_half, &mut queue, &self.counters, IdlePolicy::KeepOpen);
        tokio::select! { () = reads => (), _ = writes => () }
    }

    /// Reads messages until the connection ends or the sender is known to have been replaced.
    async fn read_messages(
        &self,
        stream: OwnedReadHalf,
        sender: Sender,
        responses: mpsc::Sender<QueuedFrame>,
    ) {
        let mut frames = FrameReader::new(stream);
        while let Some(frame) = self.next_frame(&mut frames, sender.address).await {
            if !self.peers.is_current(sender.address, sender.incarnation) {
                return self.record_rejection(Rejection::StaleIncarnation, sender.address);
            }
            if frame.kind == FrameKind::Response {
                return self.record_rejection(Rejection::UnexpectedFrame, sender.address);
            }
            self.dispatch(frame, sender.address, &responses);
        }
    }

    /// Hands a message to the service of its channel; the response to a request is queued by a task
    /// of its own, so that a slow handler delays no other message.
    fn dispatch(&self, frame: Frame, from: SocketAddr, responses: &mpsc::Sender<QueuedFrame>) {
        let Some(service) = self.services.get(frame.channel) else {
            return;
        };
        if frame.kind == FrameKind::Notification {
            return service.on_notification(from, frame.body);
        }
        let responses = responses.clone();
        let counters = self.counters.clone();
        let response = service.on_request(from, frame.body);
        tokio::spawn(async move {
            let response = Frame {
                channel: frame.channel,
                kind: FrameKind::Response,
                call: frame.call,
                body: response.await,
            };
            let response = QueuedFrame::new(response, &counters);
            responses.send(response).await.ok();
        });
    }
}

/// Reads the handshake; `None` if it does not arrive in time or belongs to another protocol.
async fn read_handshake(stream: &mut TcpStream) -> Option<Handshake> {
    let mut bytes = [0; HANDSHAKE_BYTES];
    let read = timeout(CONNECTION_TIMEOUT, stream.read_exact(&mut bytes)).await;
    read.ok()?.ok()?;
    Handshake::decode(&bytes)
}
