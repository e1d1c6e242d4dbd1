//! A client's socket, which the library reads and writes while the front looks whether its client is still there.

use nix::sys::socket::{Shutdown, shutdown};
use std::io::{self, IoSlice};
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// One of its holders. All are polled by one task: the system's word on it wakes the task that asked last.
pub struct SharedSocket(pub Arc<TcpStream>);

/// Tries until the system takes or gives something, or says that it will later.
fn attempt(
    mut ready: impl FnMut() -> Poll<io::Result<()>>,
    mut step: impl FnMut() -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(ready())?;
        match step() {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            done => return Poll::Ready(done),
        }
    }
}

impl AsyncRead for SharedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let read = attempt(
            || self.0.poll_read_ready(cx),
            || self.0.try_read(buf.initialize_unfilled()),
        );
        read.map_ok(|n| buf.advance(n))
    }
}

impl AsyncWrite for SharedSocket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        attempt(|| self.0.poll_write_ready(cx), || self.0.try_write(buf))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown(self.0.as_raw_fd(), Shutdown::Write).map_err(Into::into))
    }
    fn is_write_vectored(&self) -> bool {
        true
    }
    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        attempt(
            || self.0.poll_write_ready(cx),
            || self.0.try_write_vectored(bufs),
        )
    }
}
