//! Connections to one worker, kept for further requests while it is sure that they are still good.

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

/// A connection that is not up by then comes up in seconds, if ever: its opening packet was dropped.
const CONNECT: Duration = Duration::from_millis(120);
/// Bytes that are unacknowledged for so long, and probes, tell that the other side is gone.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1000);
/// Idle connections are kept no longer than this, whatever the worker says, as it counts them for all callers.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);
/// Where the worker does not say when it closes idle connections it may be soon: so long they are kept for what may be
/// sent again, and for what may not.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(2);
const DEFAULT_IDLE_TIME_ONCE: Duration = Duration::from_millis(150);
/// A connection is used no later than so long before the worker closes it.
const CLOSE_MARGIN: Duration = Duration::from_millis(900);
/// A connection that was idle for less is taken to be sound.
const FRESH: Duration = Duration::from_millis(50);
/// Room that is made in a connection's buffer when less than the second is left.
const READ_BYTES: usize = 8 << 10;
const MIN_BUFFER_SPACE: usize = 1 << 10;
/// Idle connections to one worker.
const MAX_IDLE: usize = 16;
/// Requests that a connection remembers to have carried.
const CARRIED: usize = 8;

/// A connection to a worker. It carries one request at a time.
pub struct Connection {
    stream: TcpStream,
    /// What was read and not used yet.
    pub buffer: BytesMut,
    /// The part of the request under way that the system has not taken yet.
    unwritten: Bytes,
    state: ConnectionState,
    idle_since: Instant,
    idle_timeout: Option<Duration>,
    /// The requests that it carried last, by a hash of their ids: one that is sent once more would take a surplus answer
    /// to its first send for its own.
    carried: [u64; CARRIED],
    /// Whole answers that it has carried.
    answers: usize,
    _open: Open,
}

/// Whether a connection may carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// Nothing out of order has come.
    Sound,
    /// A surplus or an early answer has come: nobody knows what comes next.
    Spoiled,
    /// The worker has closed its side, after whole bytes.
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

    /// An idle connection for the request with this id, the one used last first; `once` if the request may not be sent
    /// again. One that has carried a request with this id is passed over.
    pub fn reuse(&self, once: bool, id: &[u8]) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        while let Some(connection) = idle.pop() {
            if connection.has_carried(id) {
                idle.push(connection);
                return None;
            }
            if now < connection.usable_until(once) && connection.is_quiet() {
                return Some(connection);
            }
            // What is too old for this one may still do for another; all below it are older.
            if once && now < connection.usable_until(false) {
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
        let stream = timeout(CONNECT, socket.connect(self.address))
            .await
            .map_err(late)??;
        Ok(Connection {
            stream,
            buffer: BytesMut::new(),
            unwritten: Bytes::new(),
            state: ConnectionState::Sound,
            idle_since: Instant::now(),
            idle_timeout: None,
            carried: [0; CARRIED],
            answers: 0,
            _open: open,
        })
    }

    /// Keeps a connection whose last answer is whole; `idle_timeout` is how long the worker keeps it when idle. One on which
    /// anything is left over or was out of order is closed.
    pub fn give_back(&self, mut connection: Connection, idle_timeout: Option<Duration>) {
        if !connection.is_sound() {
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

    /// Closes what will not be used again.
    pub fn sweep(&self, all: bool) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        idle.retain(|connection| {
            !all && now < connection.usable_until(false) && connection.is_quiet()
        });
    }
}

/// Peers that are gone without a word must be known as such in time.
fn watch_over(socket: &impl AsFd) -> nix::Result<()> {
    setsockopt(
        socket,
        sockopt::TcpUserTimeout,
        &(UNACKNOWLEDGED.as_millis() as u32),
    )?;
    setsockopt(socket, sockopt::KeepAlive, &true)?;
    setsockopt(socket, sockopt::TcpKeepIdle, &1)?;
    setsockopt(socket, sockopt::TcpKeepInterval, &1)?;
    setsockopt(socket, sockopt::TcpKeepCount, &1)
}

impl Connection {
    fn usable_until(&self, once: bool) -> Instant {
        let length = match (self.idle_timeout, once) {
            (Some(idle_timeout), _) => idle_timeout.saturating_sub(CLOSE_MARGIN).min(MAX_IDLE_TIME),
            (None, true) => DEFAULT_IDLE_TIME_ONCE,
            (None, false) => DEFAULT_IDLE_TIME,
        };
        self.idle_since + length
    }

    /// Nothing has come since its last answer: neither its end nor a surplus answer. The system is asked as well, as the
    /// runtime may not have heard of it yet.
    fn is_quiet(&self) -> bool {
        let known = self.stream.try_read(&mut [0]);
        let look = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
        let come = recv(self.stream.as_raw_fd(), &mut [0], look);
        let nothing = known.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        self.is_sound() && nothing && come == Err(Errno::EAGAIN)
    }

    /// Nothing of its last request or answer is left over, and nothing was out of order.
    fn is_sound(&self) -> bool {
        self.state == ConnectionState::Sound && self.buffer.is_empty() && self.unwritten.is_empty()
    }

    /// Whether it has just carried an answer, so that it can't have died unnoticed.
    pub fn is_proven(&self) -> bool {
        self.answers > 0 && self.idle_since.elapsed() < FRESH
    }

    fn has_carried(&self, id: &[u8]) -> bool {
        self.carried.contains(&hash(id))
    }

    /// It never carries another request: something has come that was not asked for.
    pub fn spoil(&mut self) {
        self.state = ConnectionState::Spoiled;
    }

    /// Whether the worker has closed its side, with no reset.
    pub fn has_ended(&self) -> bool {
        self.state == ConnectionState::Ended
    }

    /// Writes all of it.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Begins to write the rest of the request with this id; [`Connection::fill`] goes on with what the system does not
    /// take at once, so that an answer that comes early is read meanwhile. An error where nothing of it was written.
    pub fn send(&mut self, id: &[u8], rest: Bytes) -> io::Result<()> {
        self.carried[self.answers % CARRIED] = hash(id);
        self.unwritten = rest;
        let all = self.unwritten.len();
        let written = self.write_on();
        if self.unwritten.len() == all {
            written
        } else {
            Ok(())
        }
    }

    /// Writes what the system takes now.
    fn write_on(&mut self) -> io::Result<()> {
        while !self.unwritten.is_empty() {
            match self.stream.try_write(&self.unwritten) {
                Ok(written) => self.unwritten.advance(written),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Whether it stays without an end, an error or an unexpected byte for so long.
    pub async fn stays_quiet(&mut self, length: Duration) -> bool {
        timeout(length, self.stream.readable()).await.is_err()
    }

    /// Waits until more bytes have come, or more of the request was written; an error where no byte will come.
    pub async fn fill(&mut self) -> io::Result<()> {
        loop {
            let waits = !self.unwritten.is_empty();
            let interest = if waits {
                Interest::READABLE | Interest::WRITABLE
            } else {
                Interest::READABLE
            };
            let ready = self.stream.ready(interest).await?;
            if ready.is_readable() && self.read_some()? {
                return Ok(());
            }
            if waits && ready.is_writable() {
                // What came before the connection broke is still to be read.
                if self.write_on().is_err() {
                    self.unwritten = Bytes::new();
                    self.spoil();
                }
                return Ok(());
            }
        }
    }

    /// Reads what has come; whether anything has.
    fn read_some(&mut self) -> io::Result<bool> {
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
                    self.spoil();
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
