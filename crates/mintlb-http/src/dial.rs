//! Connections to workers and to the list service: dialled within limits, and with their bytes counted.

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

/// The bytes of a connection that the system took so far, and at how many of them a request will be whole.
#[derive(Clone, Default)]
pub struct WriteProgress(
    Arc<AtomicU64>,
    Arc<AtomicU64>,
    Arc<Mutex<Option<WriteGate>>>,
);

/// What has to hold while a request is written: its slip is paid at the byte that makes it whole, and it is not taken
/// back before.
#[derive(Clone)]
pub struct WriteGate {
    pub reservation: Option<Arc<dyn Reservation>>,
    pub withdrawn: CancellationToken,
}

impl WriteProgress {
    pub fn so_far(&self) -> u64 {
        self.0.load(Relaxed)
    }

    /// A request of so many bytes is written next, as far as its gate lets it.
    pub fn expect(&self, length: u64, gate: WriteGate) {
        self.1.store(self.so_far() + length, Relaxed);
        *self.2.lock() = Some(gate);
    }

    /// Up to this many more bytes are about to be written: what has been paid for that.
    fn pay(&self, bytes: usize) -> io::Result<Option<Arc<dyn Reservation>>> {
        let whole = self.1.load(Relaxed);
        let gate = self.2.lock().clone();
        if gate
            .as_ref()
            .is_some_and(|gate| gate.withdrawn.is_cancelled())
        {
            return Err(io::Error::other(Withdrawn));
        }
        if whole == 0 || self.so_far() + (bytes as u64) < whole {
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

    /// So many more bytes were taken; whether they make a request whole.
    fn count(&self, bytes: u64) -> bool {
        let so_far = self.0.fetch_add(bytes, Relaxed) + bytes;
        let whole = self.1.load(Relaxed);
        let makes_whole = whole > 0 && so_far >= whole;
        if makes_whole {
            self.1.store(0, Relaxed);
            self.2.lock().take();
        }
        makes_whole
    }
}

pub struct CountedStream {
    io: TokioIo<TcpStream>,
    written: WriteProgress,
    sends: Arc<AtomicU64>,
    _link: OwnedSemaphorePermit,
    /// Dropped after the connection, whose descriptor it takes before anybody else can.
    _spare: Option<Refill>,
}

/// A descriptor kept for who must be able to dial when others have taken all that there are.
#[derive(Clone)]
struct Spare(Arc<Mutex<Option<OwnedFd>>>);

impl Spare {
    fn new() -> Spare {
        let spare = Spare(Arc::default());
        spare.fill();
        spare
    }

    /// Takes a descriptor into reserve, if there is none and one is to be had.
    fn fill(&self) {
        let mut kept = self.0.lock();
        if kept.is_none() {
            *kept = File::open("/dev/null").ok().map(OwnedFd::from);
        }
    }

    /// Gives it to whoever asks the system next; whether there was one.
    fn free(&self) -> bool {
        self.0.lock().take().is_some()
    }
}

/// Fills the reserve as soon as a connection has given its descriptor back.
struct Refill(Spare);

impl Drop for Refill {
    fn drop(&mut self) {
        self.0.fill();
    }
}

impl Read for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: ReadBufCursor,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl CountedStream {
    fn count(
        &self,
        paid: Option<Arc<dyn Reservation>>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let makes_whole = matches!(written, Poll::Ready(Ok(n)) if self.written.count(n as u64));
        self.sends.fetch_add(makes_whole.into(), Relaxed);
        // The byte that was paid for has not gone: it may go at any time, and is paid for then.
        paid.filter(|_| !makes_whole)
            .iter()
            .for_each(|reservation| reservation.refund());
        written
    }
}

impl Write for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let paid = self.written.pay(buf.len())?;
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.count(paid, written)
    }
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let paid = self.written.pay(bufs.iter().map(|buf| buf.len()).sum())?;
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.count(paid, written)
    }
}

impl Connection for CountedStream {
    fn connected(&self) -> Connected {
        self.io.connected().extra(self.written.clone())
    }
}

/// Nothing was dialled for want of descriptors or the like. That is no fault of who would have been called.
#[derive(Debug)]
pub struct NoDescriptor;

impl Display for NoDescriptor {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        f.write_str("no descriptor to spare")
    }
}

impl Error for NoDescriptor {}

/// An allocation's last byte was held back, as what it would have spent was there no more.
#[derive(Debug)]
pub struct BudgetExhausted;

impl Display for BudgetExhausted {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        f.write_str("its budget is spent or has lapsed")
    }
}

impl Error for BudgetExhausted {}

/// An allocation was taken back before its last byte was written.
#[derive(Debug)]
pub struct Withdrawn;

impl Display for Withdrawn {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        f.write_str("taken back before it was written")
    }
}

impl Error for Withdrawn {}

/// Whether this scheduler's own system had nothing left for it.
fn is_short(error: &(dyn Error + 'static)) -> bool {
    let code = error
        .downcast_ref::<io::Error>()
        .and_then(io::Error::raw_os_error);
    code.is_some_and(|c| {
        [
            libc::EMFILE,
            libc::ENFILE,
            libc::ENOBUFS,
            libc::EADDRNOTAVAIL,
        ]
        .contains(&c)
    }) || error.source().is_some_and(is_short)
}

/// Dials with a limit in time, as what never comes up must be known as such, and in number, as descriptors
/// run out.
#[derive(Clone)]
pub struct Dialer {
    connector: HttpConnector,
    links: Arc<Semaphore>,
    wait: Duration,
    /// Counts the requests written whole that were expected.
    sends: Arc<AtomicU64>,
    spare: Option<Spare>,
}

impl tower_service::Service<Uri> for Dialer {
    type Response = CountedStream;
    type Error = Box<dyn Error + Send + Sync>;
    type Future = Pin<Box<dyn Future<Output = Result<CountedStream, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(cx).map_err(Into::into)
    }
    fn call(&mut self, to: Uri) -> Self::Future {
        let (links, wait, mut connector) = (self.links.clone(), self.wait, self.connector.clone());
        let (sends, spare) = (self.sends.clone(), self.spare.clone());
        Box::pin(async move {
            let Ok(link) = timeout(wait, links.acquire_owned()).await else {
                return Err(NoDescriptor.into());
            };
            let _spare = spare.clone().map(Refill);
            let end = Instant::now() + wait;
            let io = loop {
                let io = connector.call(to.clone()).await;
                let short = io.as_ref().is_err_and(|e| is_short(e));
                let Some(spare) = spare.as_ref().filter(|_| short && Instant::now() < end) else {
                    break io;
                };
                // Freed, it is the next that the system gives: nothing else runs on this thread in between. If it is out,
                // the last connection is about to give it back.
                if !spare.free() {
                    sleep(wait / 16).await;
                }
            };
            let io = io.map_err(|e| match is_short(&e) {
                true => NoDescriptor.into(),
                false => Self::Error::from(e),
            })?;
            Ok(CountedStream {
                io,
                written: WriteProgress::default(),
                sends,
                _link: link?,
                _spare,
            })
        })
    }
}

impl Dialer {
    pub fn new(links: usize, wait: Duration, sends: Arc<AtomicU64>) -> Dialer {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(wait));
        connector.set_nodelay(true);
        Dialer {
            connector,
            links: Arc::new(Semaphore::new(links)),
            wait,
            sends,
            spare: None,
        }
    }

    /// One that can dial when all descriptors are taken, by the one that it keeps.
    pub fn with_reserved_descriptor(mut self) -> Dialer {
        self.spare = Some(Spare::new());
        self
    }
}
