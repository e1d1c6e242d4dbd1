//! A request's body, the last byte of which waits until the connection has had time to prove sound.
//!
//! A worker begins a request when its last byte has come. One that resets a connection as it comes up, or under
//! a request that is still coming, does so within a round trip; what breaks before the last byte is written
//! provably never ran, and may go elsewhere (rule 2).

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Sleep, sleep};

#[derive(Default)]
pub struct DelayedLastByte {
    first: Bytes,
    last: Bytes,
    wait: Duration,
    waits: Option<Pin<Box<Sleep>>>,
}

impl DelayedLastByte {
    pub fn new(mut body: Bytes, wait: Duration) -> DelayedLastByte {
        let last = body.split_off(body.len().saturating_sub(1));
        DelayedLastByte {
            first: body,
            last,
            wait,
            waits: None,
        }
    }

    /// How many bytes are still to be written.
    pub fn remaining(&self) -> u64 {
        (self.first.len() + self.last.len()) as u64
    }
}

impl Body for DelayedLastByte {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if !self.first.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.first)))));
        }
        if self.last.is_empty() {
            return Poll::Ready(None);
        }
        if !self.wait.is_zero() {
            let wait = self.wait;
            ready!(
                self.waits
                    .get_or_insert_with(|| Box::pin(sleep(wait)))
                    .as_mut()
                    .poll(cx)
            );
        }
        Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.last)))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining() == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining())
    }
}
