//! Connections to workers and to the list service: dialled within limits, with their written bytes counted.

use axum::http::Uri;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use mintlb_core::budget::Reservation;
use parking_lot::Mutex;
use std::error::Error;
use std::fmt::{Display, Formatter};
use std::fs::File;
use std::future::Future;
use std::io;
use std::os::fd::OwnedFd;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

/// The bytes of a connection that the operating system has accepted so far, the total at which the current request is
/// complete (0 if there is none), and the request's gate.
#[derive(Clone, Default)]
pub struct WriteProgress(
    Arc<AtomicU64>,
    Arc<AtomicU64>,
    Arc<Mutex<Option<WriteGate>>>,
);

/// The conditions for writing a request: its reservation is committed with the byte that completes it, and the request
/// is not withdrawn before.
#[derive(Clone)]
pub struct WriteGate {
    pub reservation: Option<Arc<dyn Reservation>>,
    pub withdrawn: CancellationToken,
}

impl WriteProgress {
    /// The bytes accepted so far.
    pub fn total(&self) -> u64 {
        self.0.load(Relaxed)
    }

    /// A request of this many bytes is written next, as far as its gate permits.
    pub fn expect(&self, length: u64, gate: WriteGate) {
        self.1.store(self.total() + length, Relaxed);
        *self.2.lock() = Some(gate);
    }

    /// Checks the gate before up to this many bytes are written, and commits the reservation if they may complete the
    /// request. Returns the reservation that was committed.
    fn authorize(&self, bytes: usize) -> io::Result<Option<Arc<dyn Reservation>>> {
        let complete_at = self.1.load(Relaxed);
        let gate = self.2.lock().clone();
        if gate
            .as_ref()
            .is_some_and(|gate| gate.withdrawn.is_cancelled())
        {
            return Err(io::Error::other(Withdrawn));
        }
        if complete_at == 0 || self.total() + (bytes as u64) < complete_at {
            return Ok(None);
        }
        let reservation = gate.and_then(|gate| gate.reservation);
        match reservation
            .as_ref()
            .is_none_or(|reservation| reservation.commit())
        {
            true => Ok(reservation),
            false => Err(io::Error::other(BudgetExhausted)),
        }
    }

    /// The operating system accepted this many more bytes. Returns whether they complete the request.
    fn advance(&self, bytes: u64) -> bool {
        let total = self.0.fetch_add(bytes, Relaxed) + bytes;
        let complete_at = self.1.load(Relaxed);
        let completes_request = complete_at > 0 && total >= complete_at;
        if completes_request {
            self.1.store(0, Relaxed);
            self.2.lock().take();
        }
        completes_request
    }
}

/// A connection that counts its written bytes and checks the gate of the current request.
pub struct CountedStream {
    io: TokioIo<TcpStream>,
    written: WriteProgress,
    sent_requests: Arc<AtomicU64>,
    _slot: OwnedSemaphorePermit,
    /// Dropped after the connection, so that it takes the descriptor before anything else can.
    _refill: Option<RefillOnDrop>,
}

/// A file descriptor in reserve, for a dialer that must work when all other descriptors are in use.
#[derive(Clone)]
struct ReservedDescriptor(Arc<Mutex<Option<OwnedFd>>>);

impl ReservedDescriptor {
    fn new() -> ReservedDescriptor {
        let reserve = ReservedDescriptor(Arc::default());
        reserve.fill();
        reserve
    }

    /// Opens a descriptor as the reserve, unless there is one or none is available.
    fn fill(&self) {
        let mut descriptor = self.0.lock();
        if descriptor.is_none() {
            *descriptor = File::open("/dev/null").ok().map(OwnedFd::from);
        }
    }

    /// Closes the descriptor, for the next caller that opens one. Returns whether there was one.
    fn release(&self) -> bool {
        self.0.lock().take().is_some()
    }
}

/// Refills the reserve as soon as a connection has closed its descriptor.
struct RefillOnDrop(ReservedDescriptor);

impl Drop for RefillOnDrop {
    fn drop(&mut self) {
        self.0.fill();
    }
}

impl Read for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: ReadBufCursor,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl CountedStream {
    /// Counts the accepted bytes, and refunds the reservation if the request is not complete.
    fn record_write(
        &self,
        committed: Option<Arc<dyn Reservation>>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let completes_request =
            matches!(written, Poll::Ready(Ok(n)) if self.written.advance(n as u64));
        self.sent_requests
            .fetch_add(completes_request.into(), Relaxed);
        // The completing byte was not accepted: it is committed again when it is written.
        committed
            .filter(|_| !completes_request)
            .iter()
            .for_each(|reservation| reservation.refund());
        written
    }
}

impl Write for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let committed = self.written.authorize(buffer.len())?;
        let written = Pin::new(&mut self.io).poll_write(context, buffer);
        self.record_write(committed, written)
    }
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffers: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let committed = self
            .written
            .authorize(buffers.iter().map(|buffer| buffer.len()).sum())?;
        let written = Pin::new(&mut self.io).poll_write_vectored(context, buffers);
        self.record_write(committed, written)
    }
}

impl Connection for CountedStream {
    fn connected(&self) -> Connected {
        self.io.connected().extra(self.written.clone())
    }
}

/// No connection was dialled for lack of local resources, such as file descriptors. The peer is not at fault.
#[derive(Debug)]
pub struct NoDescriptor;

impl Display for NoDescriptor {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        f.write_str("no descriptor available")
    }
}

impl Error for NoDescriptor {}

/// The last byte of a request was not written, as its budget reservation had expired.
#[derive(Debug)]
pub struct BudgetExhausted;

impl Display for BudgetExhausted {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        f.write_str("the shared budget is exhausted or has expired")
    }
}

impl Error for BudgetExhausted {}

/// A request was withdrawn before its last byte was written.
#[derive(Debug)]
pub struct Withdrawn;

impl Display for Withdrawn {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        f.write_str("withdrawn before it was completely written")
    }
}

impl Error for Withdrawn {}

/// Whether the error is a lack of local resources.
fn is_local_exhaustion(error: &(dyn Error + 'static)) -> bool {
    let os_error = error
        .downcast_ref::<io::Error>()
        .and_then(io::Error::raw_os_error);
    os_error.is_some_and(|code| {
        [
            libc::EMFILE,
            libc::ENFILE,
            libc::ENOBUFS,
            libc::EADDRNOTAVAIL,
        ]
        .contains(&code)
    }) || error.source().is_some_and(is_local_exhaustion)
}

/// Dials connections with a time-out, so that unreachable peers are detected, and with a limit on their number, as
/// descriptors are limited.
#[derive(Clone)]
pub struct Dialer {
    connector: HttpConnector,
    connection_slots: Arc<Semaphore>,
    dial_timeout: Duration,
    /// Counts the requests that were completely written.
    sent_requests: Arc<AtomicU64>,
    reserve: Option<ReservedDescriptor>,
}

impl tower_service::Service<Uri> for Dialer {
    type Response = CountedStream;
    type Error = Box<dyn Error + Send + Sync>;
    type Future = Pin<Box<dyn Future<Output = Result<CountedStream, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(context).map_err(Into::into)
    }
    fn call(&mut self, to: Uri) -> Self::Future {
        let (connection_slots, dial_timeout, mut connector) = (
            self.connection_slots.clone(),
            self.dial_timeout,
            self.connector.clone(),
        );
        let (sent_requests, reserve) = (self.sent_requests.clone(), self.reserve.clone());
        Box::pin(async move {
            let Ok(slot) = timeout(dial_timeout, connection_slots.acquire_owned()).await else {
                return Err(NoDescriptor.into());
            };
            let _refill = reserve.clone().map(RefillOnDrop);
            let deadline = Instant::now() + dial_timeout;
            let io = loop {
                let io = connector.call(to.clone()).await;
                let exhausted = io.as_ref().is_err_and(|e| is_local_exhaustion(e));
                let Some(reserve) = reserve
                    .as_ref()
                    .filter(|_| exhausted && Instant::now() < deadline)
                else {
                    break io;
                };
                // Once closed, the descriptor is the next to be allocated: nothing else runs on this thread in between.
                // If it is in use, the last connection is about to close it.
                if !reserve.release() {
                    sleep(dial_timeout / 16).await;
                }
            };
            let io = io.map_err(|e| match is_local_exhaustion(&e) {
                true => NoDescriptor.into(),
                false => Self::Error::from(e),
            })?;
            Ok(CountedStream {
                io,
                written: WriteProgress::default(),
                sent_requests,
                _slot: slot?,
                _refill,
            })
        })
    }
}

impl Dialer {
    /// `dial_timeout` limits both the wait for a slot and the dialling.
    pub fn new(
        connection_slots: usize,
        dial_timeout: Duration,
        sent_requests: Arc<AtomicU64>,
    ) -> Dialer {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(dial_timeout));
        connector.set_nodelay(true);
        Dialer {
            connector,
            connection_slots: Arc::new(Semaphore::new(connection_slots)),
            dial_timeout,
            sent_requests,
            reserve: None,
        }
    }

    /// Reserves a descriptor, so that the dialer works when all others are in use.
    pub fn with_reserved_descriptor(mut self) -> Dialer {
        self.reserve = Some(ReservedDescriptor::new());
        self
    }
}
