//! Pool of connections to one worker. A connection is reused only while it is known to be open and to hold no unexpected
//! bytes.

use bytes::{Buf, Bytes, BytesMut};
use nix::errno::Errno;
use nix::sys::socket::{MsgFlags, recv, setsockopt, sockopt};
use parking_lot::Mutex;
use rustc_hash::FxHasher;
use std::hash::Hasher;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, AsRawFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, timeout};

/// Connect timeout. If a connection takes longer, its SYN was lost, and the retransmission would take seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// `TCP_USER_TIMEOUT`: a peer that leaves bytes or keep-alive probes unacknowledged for this long is unreachable.
const USER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum idle time, even if the worker declares a longer timeout, as its connection limit is shared by all callers.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);
/// Maximum idle time if the worker declares no timeout, so that it may close the connection at any time: for idempotent
/// requests, and for others.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(2);
const DEFAULT_IDLE_TIME_NON_IDEMPOTENT: Duration = Duration::from_millis(150);
/// A connection is no longer reused this long before the end of the worker's idle timeout.
const CLOSE_MARGIN: Duration = Duration::from_millis(900);
/// A connection that was idle for less than this is assumed to be open.
const ASSUMED_OPEN_DURATION: Duration = Duration::from_millis(50);
/// Bytes reserved in a read buffer with less free space than [`MIN_BUFFER_SPACE`].
const READ_BUFFER_BYTES: usize = 8 << 10;
const MIN_BUFFER_SPACE: usize = 1 << 10;
/// Maximum number of idle connections to one worker.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// Number of its last requests that a connection remembers.
const MAX_RECENT_REQUESTS: usize = 8;

/// A connection to a worker. It carries one request at a time.
pub struct Connection {
    stream: TcpStream,
    /// Bytes that were read and not consumed yet.
    pub buffer: BytesMut,
    /// The part of the current request that the kernel has not accepted yet.
    unwritten: Bytes,
    state: ConnectionState,
    idle_since: Instant,
    idle_timeout: Option<Duration>,
    /// Hashes of the ids of the last requests that it carried. On the same connection, a surplus response to the first
    /// attempt of a request would be taken for the response to its retry.
    recent_requests: [u64; MAX_RECENT_REQUESTS],
    /// Number of complete responses received on it.
    response_count: usize,
    _open_guard: OpenConnectionGuard,
}

/// Whether a connection may carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// No unexpected bytes were received.
    Reusable,
    /// A surplus or an early response was received, so that later bytes can't be assigned to a request.
    Unusable,
    /// The worker has closed its side without a reset.
    Ended,
}

/// Counts a connection for as long as it is open.
struct OpenConnectionGuard(Arc<AtomicUsize>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

/// The pool of connections to one worker.
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    open: Arc<AtomicUsize>,
}

impl Pool {
    /// Creates an empty pool for the worker at this address.
    pub fn new(address: SocketAddr) -> Pool {
        Pool {
            address,
            idle: Mutex::default(),
            open: Arc::default(),
        }
    }

    /// The address that the worker listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections, idle ones included.
    pub fn open(&self) -> usize {
        self.open.load(Relaxed)
    }

    /// Takes an idle connection for the request with this id, the most recently used first; `non_idempotent` if the
    /// request may not run twice. Returns `None` at a connection that has already carried a request with this id.
    pub fn reuse(&self, non_idempotent: bool, id: &[u8]) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        while let Some(connection) = idle.pop() {
            if connection.has_carried(id) {
                idle.push(connection);
                return None;
            }
            if now < connection.usable_until(non_idempotent) && connection.has_nothing_to_read() {
                return Some(connection);
            }
            // A connection that was idle for too long for this request may still serve an idempotent one. All below it in
            // the stack were idle for longer.
            if non_idempotent && now < connection.usable_until(false) {
                idle.push(connection);
                return None;
            }
        }
        None
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// If it is not established within the connect timeout.
    pub async fn connect(&self) -> io::Result<Connection> {
        self.open.fetch_add(1, Relaxed);
        let open = OpenConnectionGuard(self.open.clone());
        let socket = TcpSocket::new_v4()?;
        socket.set_nodelay(true)?;
        enable_dead_peer_detection(&socket).ok();
        let timed_out = |_| io::Error::from(io::ErrorKind::TimedOut);
        let stream = timeout(CONNECT_TIMEOUT, socket.connect(self.address))
            .await
            .map_err(timed_out)??;
        Ok(Connection {
            stream,
            buffer: BytesMut::new(),
            unwritten: Bytes::new(),
            state: ConnectionState::Reusable,
            idle_since: Instant::now(),
            idle_timeout: None,
            recent_requests: [0; MAX_RECENT_REQUESTS],
            response_count: 0,
            _open_guard: open,
        })
    }

    /// Returns a connection whose last response is complete to the pool; `idle_timeout` is what the worker declared. A
    /// connection with surplus or unexpected bytes is closed.
    pub fn release(&self, mut connection: Connection, idle_timeout: Option<Duration>) {
        if !connection.is_reusable() {
            return;
        }
        connection.buffer = BytesMut::new();
        (connection.idle_since, connection.idle_timeout) = (Instant::now(), idle_timeout);
        connection.response_count += 1;
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS && Instant::now() < connection.usable_until(false) {
            idle.push(connection);
        }
    }

    /// Closes idle connections that can no longer be reused, or all idle connections.
    pub fn sweep(&self, close_all: bool) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        idle.retain(|connection| {
            !close_all && now < connection.usable_until(false) && connection.has_nothing_to_read()
        });
    }
}

/// Makes the kernel detect peers that disappear without closing the connection.
fn enable_dead_peer_detection(socket: &impl AsFd) -> nix::Result<()> {
    setsockopt(
        socket,
        sockopt::TcpUserTimeout,
        &(USER_TIMEOUT.as_millis() as u32),
    )?;
    setsockopt(socket, sockopt::KeepAlive, &true)?;
    setsockopt(socket, sockopt::TcpKeepIdle, &1)?;
    setsockopt(socket, sockopt::TcpKeepInterval, &1)?;
    setsockopt(socket, sockopt::TcpKeepCount, &1)
}

impl Connection {
    fn usable_until(&self, non_idempotent: bool) -> Instant {
        let idle_time = match (self.idle_timeout, non_idempotent) {
            (Some(idle_timeout), _) => idle_timeout.saturating_sub(CLOSE_MARGIN).min(MAX_IDLE_TIME),
            (None, true) => DEFAULT_IDLE_TIME_NON_IDEMPOTENT,
            (None, false) => DEFAULT_IDLE_TIME,
        };
        self.idle_since + idle_time
    }

    /// Whether nothing was received since the last response: neither a close nor a surplus response. Also peeks at the
    /// socket itself, as the runtime may not have been notified yet.
    fn has_nothing_to_read(&self) -> bool {
        let read = self.stream.try_read(&mut [0]);
        let flags = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
        let peeked = recv(self.stream.as_raw_fd(), &mut [0], flags);
        let would_block = read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        self.is_reusable() && would_block && peeked == Err(Errno::EAGAIN)
    }

    /// Whether no bytes of the last request or response are left, and nothing unexpected was received.
    fn is_reusable(&self) -> bool {
        self.state == ConnectionState::Reusable
            && self.buffer.is_empty()
            && self.unwritten.is_empty()
    }

    /// Whether a response was received so recently that the worker is assumed not to have closed the connection since.
    pub fn was_recently_active(&self) -> bool {
        self.response_count > 0 && self.idle_since.elapsed() < ASSUMED_OPEN_DURATION
    }

    fn has_carried(&self, id: &[u8]) -> bool {
        self.recent_requests.contains(&hash_request_id(id))
    }

    /// Excludes the connection from reuse, because something unexpected was received.
    pub fn disable_reuse(&mut self) {
        self.state = ConnectionState::Unusable;
    }

    /// Whether the worker has closed its side without a reset.
    pub fn has_ended(&self) -> bool {
        self.state == ConnectionState::Ended
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// If the connection breaks.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Starts writing the rest of the request with this id. [`Connection::fill`] writes what the kernel does not accept at
    /// once, so that an early response can be read meanwhile.
    ///
    /// # Errors
    ///
    /// If nothing of it was written.
    pub fn send(&mut self, id: &[u8], rest: Bytes) -> io::Result<()> {
        self.recent_requests[self.response_count % MAX_RECENT_REQUESTS] = hash_request_id(id);
        self.unwritten = rest;
        let all = self.unwritten.len();
        let written = self.write_available();
        if self.unwritten.len() == all {
            written
        } else {
            Ok(())
        }
    }

    /// Writes as much as the kernel accepts without waiting.
    fn write_available(&mut self) -> io::Result<()> {
        while !self.unwritten.is_empty() {
            match self.stream.try_write(&self.unwritten) {
                Ok(written) => self.unwritten.advance(written),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Whether no byte, close or error arrives during `duration`.
    pub async fn stays_silent(&mut self, duration: Duration) -> bool {
        timeout(duration, self.stream.readable()).await.is_err()
    }

    /// Waits until bytes were read into the buffer, or more of the request was written.
    ///
    /// # Errors
    ///
    /// If no further byte can be read.
    pub async fn fill(&mut self) -> io::Result<()> {
        loop {
            let has_unwritten = !self.unwritten.is_empty();
            let interest = if has_unwritten {
                Interest::READABLE | Interest::WRITABLE
            } else {
                Interest::READABLE
            };
            let ready = self.stream.ready(interest).await?;
            if ready.is_readable() && self.read_available()? {
                return Ok(());
            }
            if has_unwritten && ready.is_writable() {
                // Bytes that were received before the connection broke can still be read.
                if self.write_available().is_err() {
                    self.unwritten = Bytes::new();
                    self.disable_reuse();
                }
                return Ok(());
            }
        }
    }

    /// Reads what the kernel has buffered; returns whether there were any bytes.
    fn read_available(&mut self) -> io::Result<bool> {
        if self.buffer.capacity() - self.buffer.len() < MIN_BUFFER_SPACE {
            self.buffer.reserve(READ_BUFFER_BYTES);
        }
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(0) => {
                self.state = ConnectionState::Ended;
                Err(io::ErrorKind::UnexpectedEof.into())
            }
            Ok(_) => {
                if !self.unwritten.is_empty() {
                    self.disable_reuse();
                }
                Ok(true)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(error) => Err(error),
        }
    }
}

fn hash_request_id(id: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(id);
    // 0 marks an unused entry.
    hasher.finish().max(1)
}
