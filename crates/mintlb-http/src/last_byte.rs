//! A request body whose last byte is delayed until the connection has had time to fail.
//!
//! A worker starts a request when it has received the last byte. A worker that resets a connection as it is
//! established, or during an incomplete request, does so within a round trip. A request whose connection breaks before
//! the last byte is written provably never ran, and may be sent to another worker (rule 2).

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Sleep, sleep};

/// A body that is sent in two parts: all bytes but the last, then the last one after a delay.
#[derive(Default)]
pub struct DelayedLastByte {
    all_but_last: Bytes,
    last: Bytes,
    delay: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl DelayedLastByte {
    /// With a delay of zero the last byte follows at once.
    pub fn new(mut body: Bytes, delay: Duration) -> DelayedLastByte {
        let last = body.split_off(body.len().saturating_sub(1));
        DelayedLastByte {
            all_but_last: body,
            last,
            delay,
            timer: None,
        }
    }

    /// The number of bytes that hyper has not taken yet.
    pub fn remaining(&self) -> u64 {
        (self.all_but_last.len() + self.last.len()) as u64
    }
}

impl Body for DelayedLastByte {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if !self.all_but_last.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(
                &mut self.all_but_last,
            )))));
        }
        if self.last.is_empty() {
            return Poll::Ready(None);
        }
        if !self.delay.is_zero() {
            let delay = self.delay;
            ready!(
                self.timer
                    .get_or_insert_with(|| Box::pin(sleep(delay)))
                    .as_mut()
                    .poll(context)
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
