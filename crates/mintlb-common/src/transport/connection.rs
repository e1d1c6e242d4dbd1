//! What dialed and accepted connections share: time limits, socket options and the writing of
//! queued frames.

use super::send_queue::{QueuedFrame, SendCounters};
use bytes::BytesMut;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Limit on establishing a connection, and on how long sent bytes may remain unacknowledged
/// (`TCP_USER_TIMEOUT`).
pub const CONNECTION_TIMEOUT: Duration = Duration::from_millis(1200);
/// Delay after a failed dial or accept: an unreachable peer is not dialed again before it has
/// passed.
pub const RETRY_DELAY: Duration = Duration::from_millis(150);
/// A dialed connection without traffic is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without traffic before the first TCP keep-alive probe, and between probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// TCP keep-alive probes without a reply before the connection counts as lost.
const KEEP_ALIVE_PROBES: u32 = 2;
/// Queued frames are combined into one write up to this length, in bytes.
const WRITE_BATCH_BYTES: usize = 64 << 10;
/// A write buffer above this capacity is not kept, so that a single large message does not pin its
/// memory.
const MAX_RETAINED_BUFFER_BYTES: usize = 256 << 10;
/// Length of the buffer into which unread bytes are discarded.
const DISCARD_BUFFER_BYTES: usize = 4 << 10;

/// What to do with a connection that has been idle for [`IDLE_TIMEOUT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdlePolicy {
    /// The side that dialed closes it.
    Close,
    /// The side that accepted leaves it to the other side.
    KeepOpen,
}

/// Writes queued frames until the queue is closed or, under [`IdlePolicy::Close`], the connection
/// is idle.
///
/// # Errors
///
/// If the connection fails.
pub async fn write_frames(
    mut stream: OwnedWriteHalf,
    queue: &mut mpsc::Receiver<QueuedFrame>,
    counters: &SendCounters,
    idle_policy: IdlePolicy,
) -> std::io::Result<()> {
    let mut buffer = BytesMut::new();
    let mut batch = Vec::new();
    loop {
        let first = match timeout(IDLE_TIMEOUT, queue.recv()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => return Ok(()),
            Err(_) if idle_policy == IdlePolicy::Close => return Ok(()),
            Err(_) => continue,
        };
        first.frame().encode_into(&mut buffer);
        batch.push(first);
        while buffer.len() < WRITE_BATCH_BYTES {
            let Ok(queued) = queue.try_recv() else { break };
            queued.frame().encode_into(&mut buffer);
            batch.push(queued);
        }
        counters.on_sent(buffer.len());
        stream.write_all(&buffer).await?;
        batch.iter().for_each(QueuedFrame::on_handed_over);
        batch.clear();
        buffer.clear();
        if buffer.capacity() > MAX_RETAINED_BUFFER_BYTES {
            buffer = BytesMut::new();
        }
    }
}

/// Closes a connection whose messages are rejected. They are read and discarded for up to
/// [`CONNECTION_TIMEOUT`]: closing a socket with unread bytes resets the connection, and the peer
/// would lose the handshake's reply.
pub async fn close_discarding_input(mut stream: TcpStream) {
    stream.shutdown().await.ok();
    let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
    let discard = async { while matches!(stream.read(&mut buffer).await, Ok(1..)) {} };
    timeout(CONNECTION_TIMEOUT, discard).await.ok();
}

/// Makes the system report a peer that disappeared without closing its connections, both while data
/// is in flight and while there is none.
pub fn detect_lost_peer(socket: &socket2::SockRef) {
    socket.set_tcp_user_timeout(Some(CONNECTION_TIMEOUT)).ok();
    let keep_alive = socket2::TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    socket.set_tcp_keepalive(&keep_alive).ok();
}
