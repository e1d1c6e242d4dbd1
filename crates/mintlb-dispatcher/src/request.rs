//! Encoding of a client's request for a worker: unchanged but for hop-by-hop headers and those that each attempt sets.

use crate::exchange::Exchange;
use axum::http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use axum::http::{HeaderMap, HeaderValue, Method};
use bytes::Bytes;

/// Names the target worker; any other rejects the request.
pub const TARGET_INSTANCE: &str = "mintlb-target-instance";
/// How long the client waits, in ms.
pub const DEADLINE: &str = "mintlb-deadline-ms";
/// The request's id.
pub const REQUEST_ID: &str = "mintlb-request-id";
/// The last event that a client has.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// A worker's signature of its response.
pub const SIGNATURE: &str = "mintlb-response-signature";
/// In a response: the request was not run.
pub const NOT_EXECUTED: &str = "mintlb-not-executed";
/// A worker's load report.
pub const LOAD: &str = "mintlb-instance-load";

/// Removes hop-by-hop headers (RFC 9110, section 7.6.1).
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for own in [
        CONNECTION,
        CONTENT_LENGTH,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        EXPECT,
    ] {
        headers.remove(own);
    }
    for own in ["keep-alive", "proxy-connection"] {
        headers.remove(own);
    }
}

/// Removes headers that each attempt sets.
pub fn strip_own_headers(headers: &mut HeaderMap) {
    for own in [TARGET_INSTANCE, DEADLINE, REQUEST_ID, LAST_EVENT_ID] {
        headers.remove(own);
    }
}

/// The bytes of a request to one worker.
pub struct RequestBytes {
    /// All of it.
    pub bytes: Bytes,
    /// The length of its head, the blank line included. Without its last byte no worker can begin the request.
    pub head_length: usize,
}

/// The bytes of a request to this worker; `left` are the seconds that it has.
pub fn bytes(exchange: &Exchange, instance_id: &str, left: f64) -> RequestBytes {
    let request = &exchange.request;
    let headers = request
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4);
    let capacity = headers.sum::<usize>() + request.target.len() + exchange.body.len() + 320;
    let mut bytes = Vec::with_capacity(capacity);
    bytes.extend_from_slice(request.method.as_str().as_bytes());
    bytes.push(b' ');
    bytes.extend_from_slice(request.target.as_bytes());
    bytes.extend_from_slice(b" HTTP/1.1\r\n");
    for (name, value) in &request.headers {
        put(&mut bytes, name.as_str(), value.as_bytes());
    }
    put(&mut bytes, REQUEST_ID, request.id.as_bytes());
    put(&mut bytes, TARGET_INSTANCE, instance_id.as_bytes());
    let left = (left * 1e3).max(1.0) as u64;
    put(&mut bytes, DEADLINE, HeaderValue::from(left).as_bytes());
    if let Some(last) = exchange.last_event() {
        put(
            &mut bytes,
            LAST_EVENT_ID,
            HeaderValue::from(last).as_bytes(),
        );
    }
    if !exchange.body.is_empty() || !matches!(request.method, Method::GET | Method::HEAD) {
        put(
            &mut bytes,
            CONTENT_LENGTH.as_str(),
            HeaderValue::from(exchange.body.len()).as_bytes(),
        );
    }
    bytes.extend_from_slice(b"\r\n");
    let head_length = bytes.len();
    bytes.extend_from_slice(&exchange.body);
    RequestBytes {
        bytes: bytes.into(),
        head_length,
    }
}

fn put(bytes: &mut Vec<u8>, name: &str, value: &[u8]) {
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}
