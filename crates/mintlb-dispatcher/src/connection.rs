//! Pooled connections to one worker, reused only while they are certain to be open and in order.

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

/// Connect timeout. A connection that takes longer lost its SYN and would take seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// `TCP_USER_TIMEOUT`: unacknowledged bytes or keep-alive probes for so long mean that the peer is unreachable.
const USER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Limit of the idle time, whatever the worker says, as its connection limit is shared by all callers.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);
/// Idle time if the worker declares no timeout and may close the connection soon: for idempotent requests, and for
/// others.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(2);
const DEFAULT_IDLE_TIME_ONCE: Duration = Duration::from_millis(150);
/// A connection is not reused within this time before the worker closes it.
const CLOSE_MARGIN: Duration = Duration::from_millis(900);
/// A connection that was idle for less is assumed to be open.
const PROVEN_FOR: Duration = Duration::from_millis(50);
/// Bytes reserved in a read buffer that has less than the second constant left.
const READ_BYTES: usize = 8 << 10;
const MIN_BUFFER_SPACE: usize = 1 << 10;
/// Idle connections to one worker.
const MAX_IDLE: usize = 16;
/// Requests that a connection remembers to have carried.
const REMEMBERED_REQUESTS: usize = 8;

/// A connection to a worker. It carries one request at a time.
pub struct Connection {
    stream: TcpStream,
    /// Bytes read and not consumed yet.
    pub buffer: BytesMut,
    /// The part of the current request that the kernel has not accepted yet.
    unwritten: Bytes,
    state: ConnectionState,
    idle_since: Instant,
    idle_timeout: Option<Duration>,
    /// The requests that it carried last, by a hash of their ids: a retry could mistake a surplus response to its first
    /// attempt for its own.
    recent_requests: [u64; REMEMBERED_REQUESTS],
    /// Complete responses that it has carried.
    answers: usize,
    _open: Open,
}

/// Whether a connection may carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// Nothing unexpected was received.
    Reusable,
    /// A surplus or an early response was received: what follows is undefined.
    Unusable,
    /// The worker has closed its side in order, without a reset.
    Ended,
}

/// Counts a connection for as long as it is open.
struct Open(Arc<AtomicUsize>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

/// The connections to one worker.
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    open: Arc<AtomicUsize>,
}

impl Pool {
    /// For the worker that listens there.
    pub fn new(address: SocketAddr) -> Pool {
        Pool {
            address,
            idle: Mutex::default(),
            open: Arc::default(),
        }
    }

    /// Where the worker listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Open connections, idle ones included.
    pub fn open(&self) -> usize {
        self.open.load(Relaxed)
    }

    /// An idle connection for the request with this id, the most recently used first; `non_idempotent` if the request may
    /// not be retried. One that has carried a request with this id is skipped.
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
            // One that is too old for this request may still serve an idempotent one; all below it are older.
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
        let open = Open(self.open.clone());
        let socket = TcpSocket::new_v4()?;
        socket.set_nodelay(true)?;
        enable_dead_peer_detection(&socket).ok();
        let late = |_| io::Error::from(io::ErrorKind::TimedOut);
        let stream = timeout(CONNECT_TIMEOUT, socket.connect(self.address))
            .await
            .map_err(late)??;
        Ok(Connection {
            stream,
            buffer: BytesMut::new(),
            unwritten: Bytes::new(),
            state: ConnectionState::Reusable,
            idle_since: Instant::now(),
            idle_timeout: None,
            recent_requests: [0; REMEMBERED_REQUESTS],
            answers: 0,
            _open: open,
        })
    }

    /// Returns a connection whose last response is complete to the pool; `idle_timeout` is the worker's. One with
    /// surplus or unexpected bytes is closed.
    pub fn release(&self, mut connection: Connection, idle_timeout: Option<Duration>) {
        if !connection.is_reusable() {
            return;
        }
        connection.buffer = BytesMut::new();
        (connection.idle_since, connection.idle_timeout) = (Instant::now(), idle_timeout);
        connection.answers += 1;
        let mut idle = self.idle.lock();
        if idle.len() < MAX_IDLE && Instant::now() < connection.usable_until(false) {
            idle.push(connection);
        }
    }

    /// Closes idle connections that can't be reused, or all of them.
    pub fn sweep(&self, all: bool) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        idle.retain(|connection| {
            !all && now < connection.usable_until(false) && connection.has_nothing_to_read()
        });
    }
}

/// Makes the kernel detect peers that vanish without closing.
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
        let length = match (self.idle_timeout, non_idempotent) {
            (Some(idle_timeout), _) => idle_timeout.saturating_sub(CLOSE_MARGIN).min(MAX_IDLE_TIME),
            (None, true) => DEFAULT_IDLE_TIME_ONCE,
            (None, false) => DEFAULT_IDLE_TIME,
        };
        self.idle_since + length
    }

    /// Nothing was received since its last response: neither its end nor a surplus response. The kernel is asked as
    /// well, as the runtime may not have been notified yet.
    fn has_nothing_to_read(&self) -> bool {
        let known = self.stream.try_read(&mut [0]);
        let look = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
        let come = recv(self.stream.as_raw_fd(), &mut [0], look);
        let nothing = known.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        self.is_reusable() && nothing && come == Err(Errno::EAGAIN)
    }

    /// No bytes of its last request or response are left over, and nothing unexpected was received.
    fn is_reusable(&self) -> bool {
        self.state == ConnectionState::Reusable
            && self.buffer.is_empty()
            && self.unwritten.is_empty()
    }

    /// Whether it has just carried a response, so that it can't have closed unnoticed.
    pub fn was_active_just_now(&self) -> bool {
        self.answers > 0 && self.idle_since.elapsed() < PROVEN_FOR
    }

    fn has_carried(&self, id: &[u8]) -> bool {
        self.recent_requests.contains(&hash(id))
    }

    /// Excludes it from reuse: something unexpected was received.
    pub fn disable_reuse(&mut self) {
        self.state = ConnectionState::Unusable;
    }

    /// Whether the worker has closed its side, with no reset.
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

    /// Begins to write the rest of the request with this id; [`Connection::fill`] continues with what the kernel does not
    /// accept at once, so that an early response is read meanwhile.
    ///
    /// # Errors
    ///
    /// If nothing of it was written.
    pub fn send(&mut self, id: &[u8], rest: Bytes) -> io::Result<()> {
        self.recent_requests[self.answers % REMEMBERED_REQUESTS] = hash(id);
        self.unwritten = rest;
        let all = self.unwritten.len();
        let written = self.write_available();
        if self.unwritten.len() == all {
            written
        } else {
            Ok(())
        }
    }

    /// Writes what the kernel accepts now.
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

    /// Whether neither an end, an error nor an unexpected byte arrives during `length`.
    pub async fn stays_silent(&mut self, length: Duration) -> bool {
        timeout(length, self.stream.readable()).await.is_err()
    }

    /// Waits until more bytes were read, or more of the request was written.
    ///
    /// # Errors
    ///
    /// If no further byte can be read.
    pub async fn fill(&mut self) -> io::Result<()> {
        loop {
            let waits = !self.unwritten.is_empty();
            let interest = if waits {
                Interest::READABLE | Interest::WRITABLE
            } else {
                Interest::READABLE
            };
            let ready = self.stream.ready(interest).await?;
            if ready.is_readable() && self.read_available()? {
                return Ok(());
            }
            if waits && ready.is_writable() {
                // Bytes received before the connection broke are still to be read.
                if self.write_available().is_err() {
                    self.unwritten = Bytes::new();
                    self.disable_reuse();
                }
                return Ok(());
            }
        }
    }

    /// Reads what the kernel has buffered; returns whether that was anything.
    fn read_available(&mut self) -> io::Result<bool> {
        if self.buffer.capacity() - self.buffer.len() < MIN_BUFFER_SPACE {
            self.buffer.reserve(READ_BYTES);
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

fn hash(id: &[u8]) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(id);
    // 0 stands for none.
    hasher.finish().max(1)
}
