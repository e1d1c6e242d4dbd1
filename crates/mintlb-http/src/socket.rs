//! A client's socket, read and written by hyper while the frontend checks whether the client is still connected.

use nix::sys::socket::{Shutdown, shutdown};
use std::io::{self, IoSlice};
use std::os::fd::AsRawFd;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A handle of the socket. All handles must be polled by one task, as readiness wakes only the task that polled last.
pub struct SharedSocket(pub Arc<TcpStream>);

/// Repeats the I/O until it succeeds or fails, or the socket is not ready.
fn poll_io(
    mut poll_ready: impl FnMut() -> Poll<io::Result<()>>,
    mut try_io: impl FnMut() -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(poll_ready())?;
        match try_io() {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}

impl AsyncRead for SharedSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let read = poll_io(
            || self.0.poll_read_ready(context),
            || self.0.try_read(buffer.initialize_unfilled()),
        );
        read.map_ok(|n| buffer.advance(n))
    }
}

impl AsyncWrite for SharedSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        poll_io(
            || self.0.poll_write_ready(context),
            || self.0.try_write(buffer),
        )
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
        context: &mut Context,
        buffers: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        poll_io(
            || self.0.poll_write_ready(context),
            || self.0.try_write_vectored(buffers),
        )
    }
}
