//! Dialed connections: carry the notifications and requests of this process, and bring the
//! responses.

use super::connection::{
    CONNECTION_TIMEOUT, IdlePolicy, RETRY_DELAY, detect_lost_peer, write_frames,
};
use super::frame::{FrameKind, FrameReader};
use super::handshake::{Handshake, HandshakeReply, Purpose, REPLY_BYTES};
use super::link::Link;
use super::send_queue::QueuedFrame;
use super::{CallError, Rejection, Transport};
use crate::incarnation::Incarnation;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// The reason for which a dialed connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// There was nothing to send for a while.
    Idle,
    /// It could not be established, or failed, or its peer was replaced.
    Broken,
    /// Another incarnation replied than the expected one, and discarded all messages.
    WrongIncarnation,
}

impl Transport {
    /// The link to a peer, dialed if there is none. A new link is meant for the incarnation known
    /// there now.
    pub(super) fn link_to(self: &Arc<Self>, peer: SocketAddr) -> Arc<Link> {
        self.peers.link_or_open(peer, |expected| {
            let (link, queue) = Link::new(expected, self.counters.clone());
            tokio::spawn(self.clone().run_link(peer, link.clone(), queue));
            link
        })
    }

    /// Sends the messages of a link until its connection ends.
    async fn run_link(
        self: Arc<Self>,
        peer: SocketAddr,
        link: Arc<Link>,
        mut queue: mpsc::Receiver<QueuedFrame>,
    ) {
        let end = self.run_connection(peer, &link, &mut queue).await;
        // From here on no call can be queued on this link; those that wait fail below.
        drop(queue);
        self.peers.remove_link(peer, &link);
        link.fail_pending_calls(match end {
            ConnectionEnd::WrongIncarnation => CallError::Replaced,
            ConnectionEnd::Idle | ConnectionEnd::Broken => CallError::Unreachable,
        });
        if end != ConnectionEnd::Idle {
            self.services.notify_unreachable(peer);
        }
    }

    async fn run_connection(
        self: &Arc<Self>,
        peer: SocketAddr,
        link: &Arc<Link>,
        queue: &mut mpsc::Receiver<QueuedFrame>,
    ) -> ConnectionEnd {
        let connected = self.connect(peer, Purpose::Messages, link.expected()).await;
        let Ok(stream) = connected else {
            sleep(RETRY_DELAY).await;
            return ConnectionEnd::Broken;
        };
        let (read_half, write_half) = stream.into_split();
        let reads = self.read_responses(read_half, peer, link);
        let writes = write_frames(write_half, queue, &self.counters, IdlePolicy::Close);
        tokio::select! {
            biased;
            end = reads => end,
            written = writes => match written {
                Ok(()) => ConnectionEnd::Idle,
                Err(_) => ConnectionEnd::Broken,
            },
            () = link.close_requested() => ConnectionEnd::Broken,
        }
    }

    /// Reads the handshake's reply and then responses, until the connection ends.
    async fn read_responses(
        &self,
        mut stream: OwnedReadHalf,
        peer: SocketAddr,
        link: &Arc<Link>,
    ) -> ConnectionEnd {
        let mut reply = [0; REPLY_BYTES];
        if stream.read_exact(&mut reply).await.is_err() {
            return ConnectionEnd::Broken;
        }
        let Some(HandshakeReply { incarnation }) = HandshakeReply::decode(&reply) else {
            self.record_rejection(Rejection::InvalidHandshake, peer);
            return ConnectionEnd::Broken;
        };
        self.confirm_incarnation(peer, incarnation, Some(link));
        let expected = link.expected();
        if expected.is_some_and(|expected| expected != incarnation) {
            return ConnectionEnd::WrongIncarnation;
        }
        let mut frames = FrameReader::new(stream);
        while let Some(frame) = self.next_frame(&mut frames, peer).await {
            if frame.kind != FrameKind::Response {
                self.record_rejection(Rejection::UnexpectedFrame, peer);
                return ConnectionEnd::Broken;
            }
            link.complete_call(frame.call, frame.body);
        }
        ConnectionEnd::Broken
    }

    /// Asks which incarnation runs at an address; `None` if there is no reply in time.
    pub(super) async fn query_incarnation(&self, address: SocketAddr) -> Option<Incarnation> {
        let query = async {
            let connected = self.connect(address, Purpose::IdentityQuery, None).await;
            let mut reply = [0; REPLY_BYTES];
            connected.ok()?.read_exact(&mut reply).await.ok()?;
            HandshakeReply::decode(&reply)
        };
        let reply = timeout(CONNECTION_TIMEOUT, query).await.ok()??;
        Some(reply.incarnation)
    }

    /// Connects and sends the handshake.
    async fn connect(
        &self,
        peer: SocketAddr,
        purpose: Purpose,
        expected: Option<Incarnation>,
    ) -> io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        detect_lost_peer(&socket2::SockRef::from(&socket));
        let mut stream = timeout(CONNECTION_TIMEOUT, socket.connect(peer))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let handshake = Handshake {
            purpose,
            address: self.local_address,
            incarnation: self.incarnation,
            expected,
        };
        stream.write_all(&handshake.encode()).await?;
        Ok(stream)
    }
}
