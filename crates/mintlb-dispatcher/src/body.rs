//! Bodies of responses to clients.

use crate::exchange::{BodyChunk, Exchange};
use crate::shared::RequestIdReservation;
use axum::body::Body as AxumBody;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use mintlb_core::capacity::CapacityPermit;
use mintlb_http::sniffer::RequestSniffer;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// Where the body of a response comes from.
pub enum Source {
    /// It is complete.
    Complete(Option<Bytes>),
    /// It is relayed from a worker.
    Relay(Relay),
    /// A batch handler made it.
    Boxed(AxumBody),
}

/// The body of a response to a client.
pub struct ResponseBody {
    source: Source,
    /// The sniffer of the client's connection, until the response is complete.
    sniffer: Option<Arc<RequestSniffer>>,
}

/// Reads the response of an exchange. Dropping it before its end means that the client has disconnected.
pub struct Relay {
    exchange: Arc<Exchange>,
    is_over: bool,
    /// Capacity reserved for the request and its body.
    _reservation: (CapacityPermit, Option<CapacityPermit>),
    _request_id: Option<RequestIdReservation>,
}

impl Relay {
    /// The body of this exchange's response. Reservation and id are released when it ends.
    pub fn new(
        exchange: Arc<Exchange>,
        reservation: (CapacityPermit, Option<CapacityPermit>),
        request_id: Option<RequestIdReservation>,
    ) -> Relay {
        Relay {
            exchange,
            is_over: false,
            _reservation: reservation,
            _request_id: request_id,
        }
    }

    /// The exchange that it reads.
    pub fn exchange(&self) -> &Exchange {
        &self.exchange
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.exchange.abandon();
    }
}

impl Source {
    fn is_over(&self) -> bool {
        match self {
            Source::Complete(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Source::Relay(relay) => relay.is_over || relay.exchange.remaining_length() == Some(0),
            Source::Boxed(body) => body.is_end_stream(),
        }
    }

    fn poll(&mut self, cx: &mut Context) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self {
            Source::Complete(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Source::Relay(relay) => relay.exchange.poll_chunk(cx).map(|chunk| match chunk {
                BodyChunk::Data(bytes) => Some(Ok(Frame::data(bytes))),
                BodyChunk::Complete => {
                    relay.is_over = true;
                    None
                }
                // The library ends the connection without the last chunk: nothing looks complete.
                BodyChunk::Broken => Some(Err(io::ErrorKind::ConnectionAborted.into())),
            }),
            Source::Boxed(body) => Pin::new(body).poll_frame(cx).map_err(io::Error::other),
        }
    }
}

impl ResponseBody {
    /// A body sent on the connection of this sniffer.
    pub fn new(source: Source, sniffer: Arc<RequestSniffer>) -> ResponseBody {
        let mut body = ResponseBody {
            source,
            sniffer: Some(sniffer),
        };
        body.look_over();
        body
    }

    /// Once the response is complete, the next byte of the connection begins another request. A body is not polled
    /// again once all of its declared length was read, so this is checked after each chunk.
    fn look_over(&mut self) {
        if self.source.is_over()
            && let Some(sniffer) = self.sniffer.take()
        {
            sniffer.request_answered();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let body = self.get_mut();
        let polled = body.source.poll(cx);
        if polled.is_ready() {
            body.look_over();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.source.is_over()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Source::Relay(relay) => relay
                .exchange
                .remaining_length()
                .map_or_else(SizeHint::new, SizeHint::with_exact),
            Source::Boxed(body) => body.size_hint(),
        }
    }
}
