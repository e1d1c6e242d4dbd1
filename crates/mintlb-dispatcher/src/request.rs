//! Encodes a client's request for a worker: unchanged except for hop-by-hop headers and those that each attempt sets.

use crate::exchange::Exchange;
use axum::http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use axum::http::{HeaderMap, HeaderValue, Method};
use bytes::Bytes;

/// Request header: instance id of the target worker. Any other worker rejects the request.
pub const TARGET_INSTANCE: &str = "mintlb-target-instance";
/// Request header: how long the client waits for the response, in ms.
pub const DEADLINE: &str = "mintlb-deadline-ms";
/// Request and response header: the request id.
pub const REQUEST_ID: &str = "mintlb-request-id";
/// Request header: id of the last event that a client has.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// Response header: the worker's signature. A success without one is not forwarded.
pub const RESPONSE_SIGNATURE: &str = "mintlb-response-signature";
/// Response header: present if the worker has not run the request.
pub const NOT_EXECUTED: &str = "mintlb-not-executed";
/// Response header: the worker's load report, see [`crate::load::InstanceLoad`].
pub const INSTANCE_LOAD: &str = "mintlb-instance-load";

/// Removes hop-by-hop headers (RFC 9110, section 7.6.1).
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
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
    for name in [
        CONNECTION,
        CONTENT_LENGTH,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        EXPECT,
    ] {
        headers.remove(name);
    }
    for name in ["keep-alive", "proxy-connection"] {
        headers.remove(name);
    }
}

/// Removes the headers that each attempt sets itself.
pub fn strip_internal_headers(headers: &mut HeaderMap) {
    for name in [TARGET_INSTANCE, DEADLINE, REQUEST_ID, LAST_EVENT_ID] {
        headers.remove(name);
    }
}

/// An encoded request to one worker.
pub struct EncodedRequest {
    /// Head and body.
    pub bytes: Bytes,
    /// Length of the head including the blank line. A worker can't start the request before the last byte of the head.
    pub head_length: usize,
}

/// Encodes a request for this worker; `time_left` is the time until its deadline in seconds.
pub fn encode(exchange: &Exchange, instance_id: &str, time_left: f64) -> EncodedRequest {
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
        write_header(&mut bytes, name.as_str(), value.as_bytes());
    }
    write_header(&mut bytes, REQUEST_ID, request.id.as_bytes());
    write_header(&mut bytes, TARGET_INSTANCE, instance_id.as_bytes());
    let time_left = (time_left * 1e3).max(1.0) as u64;
    write_header(
        &mut bytes,
        DEADLINE,
        HeaderValue::from(time_left).as_bytes(),
    );
    if let Some(last) = exchange.last_event() {
        write_header(
            &mut bytes,
            LAST_EVENT_ID,
            HeaderValue::from(last).as_bytes(),
        );
    }
    if !exchange.body.is_empty() || !matches!(request.method, Method::GET | Method::HEAD) {
        write_header(
            &mut bytes,
            CONTENT_LENGTH.as_str(),
            HeaderValue::from(exchange.body.len()).as_bytes(),
        );
    }
    bytes.extend_from_slice(b"\r\n");
    let head_length = bytes.len();
    bytes.extend_from_slice(&exchange.body);
    EncodedRequest {
        bytes: bytes.into(),
        head_length,
    }
}

fn write_header(bytes: &mut Vec<u8>, name: &str, value: &[u8]) {
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
}
