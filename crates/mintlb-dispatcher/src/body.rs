//! Bodies of responses to clients: complete, relayed from a worker, or from the batch handler.

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
pub enum BodySource {
    /// A complete body; `None` if it is empty.
    Complete(Option<Bytes>),
    /// The response of an exchange, as its worker sends it.
    Relay(Relay),
    /// A response of the batch handler.
    Boxed(AxumBody),
}

/// The body of a response to a client.
pub struct ResponseBody {
    source: BodySource,
    /// Observer of the client's connection, until the response is complete.
    sniffer: Option<Arc<RequestSniffer>>,
}

/// Reads the response of an exchange. Dropping it before the end of the response cancels the request.
pub struct Relay {
    exchange: Arc<Exchange>,
    is_complete: bool,
    /// Capacity reserved for the request and its body.
    _reservation: (CapacityPermit, Option<CapacityPermit>),
    _request_id: Option<RequestIdReservation>,
}

impl Relay {
    /// Creates the relay of an exchange's response. Dropping it releases the reservations of capacity and request id.
    pub fn new(
        exchange: Arc<Exchange>,
        reservation: (CapacityPermit, Option<CapacityPermit>),
        request_id: Option<RequestIdReservation>,
    ) -> Relay {
        Relay {
            exchange,
            is_complete: false,
            _reservation: reservation,
            _request_id: request_id,
        }
    }

    /// The exchange whose response is relayed.
    pub fn exchange(&self) -> &Exchange {
        &self.exchange
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.exchange.cancel();
    }
}

impl BodySource {
    fn is_complete(&self) -> bool {
        match self {
            BodySource::Complete(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            BodySource::Relay(relay) => {
                relay.is_complete || relay.exchange.remaining_length() == Some(0)
            }
            BodySource::Boxed(body) => body.is_end_stream(),
        }
    }

    fn poll(&mut self, cx: &mut Context) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self {
            BodySource::Complete(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            BodySource::Relay(relay) => relay.exchange.poll_chunk(cx).map(|chunk| match chunk {
                BodyChunk::Data(bytes) => Some(Ok(Frame::data(bytes))),
                BodyChunk::Complete => {
                    relay.is_complete = true;
                    None
                }
                // On an error hyper closes the connection without the last chunk, so that the client sees the truncation.
                BodyChunk::Broken => Some(Err(io::ErrorKind::ConnectionAborted.into())),
            }),
            BodySource::Boxed(body) => Pin::new(body).poll_frame(cx).map_err(io::Error::other),
        }
    }
}

impl ResponseBody {
    /// Creates a body for the connection that `sniffer` observes.
    pub fn new(source: BodySource, sniffer: Arc<RequestSniffer>) -> ResponseBody {
        let mut body = ResponseBody {
            source,
            sniffer: Some(sniffer),
        };
        body.mark_answered_if_complete();
        body
    }

    /// Tells the observer once the response is complete, as the next byte on the connection then starts another request.
    /// This is checked after each chunk, because a body is not polled again after the last byte of its declared length.
    fn mark_answered_if_complete(&mut self) {
        if self.source.is_complete()
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
            body.mark_answered_if_complete();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.source.is_complete()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            BodySource::Relay(relay) => relay
                .exchange
                .remaining_length()
                .map_or_else(SizeHint::new, SizeHint::with_exact),
            BodySource::Boxed(body) => body.size_hint(),
        }
    }
}
