//! Connections to one worker, kept for further requests while it is sure that they are still good.

use bytes::BytesMut;
use nix::sys::socket::{setsockopt, sockopt};
use parking_lot::Mutex;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, timeout};

/// A connection that is not up by then comes up in seconds, if ever: its opening packet was dropped.
const CONNECT: Duration = Duration::from_millis(120);
/// Bytes that are unacknowledged for so long, and probes, tell that the other side is gone.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1000);
/// Idle connections are kept no longer than this, whatever the worker says, as it counts them for all callers.
const LONGEST_IDLE: Duration = Duration::from_secs(20);
/// Where the worker does not say when it closes idle connections it may be soon: so long they are kept for what may be
/// sent again, and for what may not.
const UNTOLD_IDLE: Duration = Duration::from_secs(2);
const UNTOLD_IDLE_ONCE: Duration = Duration::from_millis(150);
/// A connection is used no later than so long before the worker closes it.
const CLOSE_MARGIN: Duration = Duration::from_millis(900);
/// A connection that was idle for less is taken to be sound.
const FRESH: Duration = Duration::from_millis(50);
/// Room that is made in a connection's buffer when less than the second is left.
const READ_BYTES: usize = 8 << 10;
const LEAST_ROOM: usize = 1 << 10;
/// Idle connections to one worker.
const MOST_IDLE: usize = 16;

/// A connection to a worker. It carries one request at a time.
pub struct Connection {
    stream: TcpStream,
    /// What was read and not used yet.
    pub buffer: BytesMut,
    idle_since: Instant,
    keep: Option<Duration>,
    /// It has carried a whole answer before.
    is_kept: bool,
    _open: Open,
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
        Pool { address, idle: Mutex::default(), open: Arc::default() }
    }

    /// Where the worker listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Open connections, idle ones included.
    pub fn open(&self) -> usize {
        self.open.load(Relaxed)
    }

    /// An idle connection, the one used last first; `once` if what it is to carry may not be sent again.
    pub fn reuse(&self, once: bool) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        while let Some(connection) = idle.pop() {
            if now < connection.good_until(once) && connection.is_quiet() {
                return Some(connection);
            }
            // What is too old for this one may still do for another; all below it are older.
            if once && now < connection.good_until(false) {
                idle.push(connection);
                return None;
            }
        }
        None
    }

    /// A new connection.
    pub async fn connect(&self) -> io::Result<Connection> {
        self.open.fetch_add(1, Relaxed);
        let open = Open(self.open.clone());
        let socket = TcpSocket::new_v4()?;
        socket.set_nodelay(true)?;
        watch_over(&socket).ok();
        let late = |_| io::Error::from(io::ErrorKind::TimedOut);
        let stream = timeout(CONNECT, socket.connect(self.address)).await.map_err(late)??;
        Ok(Connection {
            stream,
            buffer: BytesMut::new(),
            idle_since: Instant::now(),
            keep: None,
            is_kept: false,
            _open: open,
        })
    }

    /// Keeps a connection whose last answer is whole; `keep` is how long the worker keeps it when idle.
    pub fn give_back(&self, mut connection: Connection, keep: Option<Duration>) {
        if !connection.buffer.is_empty() {
            return;
        }
        connection.buffer = BytesMut::new();
        (connection.idle_since, connection.keep, connection.is_kept) = (Instant::now(), keep, true);
        let mut idle = self.idle.lock();
        if idle.len() < MOST_IDLE && Instant::now() < connection.good_until(false) {
            idle.push(connection);
        }
    }

    /// Closes what will not be used again.
    pub fn sweep(&self, all: bool) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        idle.retain(|connection| !all && now < connection.good_until(false) && connection.is_quiet());
    }
}

/// Peers that are gone without a word must be known as such in time.
fn watch_over(socket: &impl AsFd) -> nix::Result<()> {
    setsockopt(socket, sockopt::TcpUserTimeout, &(UNACKNOWLEDGED.as_millis() as u32))?;
    setsockopt(socket, sockopt::KeepAlive, &true)?;
    setsockopt(socket, sockopt::TcpKeepIdle, &1)?;
    setsockopt(socket, sockopt::TcpKeepInterval, &1)?;
    setsockopt(socket, sockopt::TcpKeepCount, &1)
}

impl Connection {
    fn good_until(&self, once: bool) -> Instant {
        let length = match (self.keep, once) {
            (Some(keep), _) => keep.saturating_sub(CLOSE_MARGIN).min(LONGEST_IDLE),
            (None, true) => UNTOLD_IDLE_ONCE,
            (None, false) => UNTOLD_IDLE,
        };
        self.idle_since + length
    }

    /// Nothing has come since its last answer: neither its end nor a surplus answer.
    fn is_quiet(&self) -> bool {
        let nothing = self.stream.try_read(&mut [0]);
        self.buffer.is_empty() && nothing.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether it has just carried an answer, so that it can't have died unnoticed.
    pub fn is_proven(&self) -> bool {
        self.is_kept && self.idle_since.elapsed() < FRESH
    }

    /// Writes all of it.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Whether it stays without an end, an error or an unexpected byte for so long.
    pub async fn stays_quiet(&mut self, length: Duration) -> bool {
        timeout(length, self.stream.readable()).await.is_err()
    }

    /// Waits for more bytes; an error where there will be none.
    pub async fn fill(&mut self) -> io::Result<()> {
        loop {
            self.stream.readable().await?;
            if self.buffer.capacity() - self.buffer.len() < LEAST_ROOM {
                self.buffer.reserve(READ_BYTES);
            }
            match self.stream.try_read_buf(&mut self.buffer) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(_) => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }
}
