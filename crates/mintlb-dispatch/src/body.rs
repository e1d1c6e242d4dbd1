//! The bodies of answers to clients.

use crate::exchange::{Exchange, Piece};
use axum::body::Body as AxumBody;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use mintlb_core::room::Held;
use mintlb_http::seen::Seen;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// The body of an answer to a client.
pub enum FrontBody {
    /// One that is whole.
    Whole(Option<Bytes>),
    /// One that a worker still writes.
    Relay(Relay),
    /// One that batch code made.
    Boxed(AxumBody),
}

/// Reads the answer of an exchange. Dropped before its end, the client has left.
pub struct Relay {
    exchange: Arc<Exchange>,
    seen: Arc<Seen>,
    over: bool,
    /// Room for the request, and for its body.
    _room: (Held, Option<Held>),
}

impl Relay {
    /// The body of this exchange's answer, on the connection that `seen` belongs to.
    pub fn new(exchange: Arc<Exchange>, seen: Arc<Seen>, room: (Held, Option<Held>)) -> Relay {
        Relay { exchange, seen, over: false, _room: room }
    }

    /// The next byte of the connection begins another request.
    fn end(&mut self) {
        if !std::mem::replace(&mut self.over, true) {
            self.seen.answered();
        }
    }

    /// What it reads.
    pub fn exchange(&self) -> &Exchange {
        &self.exchange
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.exchange.leave();
    }
}

impl Body for FrontBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            FrontBody::Whole(bytes) => Poll::Ready(
                bytes.take().filter(|bytes| !bytes.is_empty()).map(|bytes| Ok(Frame::data(bytes))),
            ),
            FrontBody::Relay(relay) => relay.exchange.poll_piece(cx).map(|piece| match piece {
                Piece::Data(bytes) => {
                    // Nobody asks again after the last byte of a body whose length was told.
                    if relay.exchange.whole_length() == Some(0) {
                        relay.end();
                    }
                    Some(Ok(Frame::data(bytes)))
                }
                Piece::Complete => {
                    relay.end();
                    None
                }
                // The library ends the connection without the last chunk: nothing looks complete.
                Piece::Broken => Some(Err(io::ErrorKind::ConnectionAborted.into())),
            }),
            FrontBody::Boxed(body) => Pin::new(body).poll_frame(cx).map_err(io::Error::other),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            FrontBody::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            FrontBody::Relay(relay) => relay.over,
            FrontBody::Boxed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            FrontBody::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            FrontBody::Relay(relay) => {
                relay.exchange.whole_length().map_or_else(SizeHint::new, SizeHint::with_exact)
            }
            FrontBody::Boxed(body) => body.size_hint(),
        }
    }
}
