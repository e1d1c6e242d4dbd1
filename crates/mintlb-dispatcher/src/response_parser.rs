//! HTTP/1.1 parser for workers' responses: the head, and the framing of the body. Without I/O.
//!
//! Bytes that violate the protocol give an [`InvalidResponse`] and are never forwarded.

use axum::http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use httparse::{EMPTY_HEADER, Status};
use std::time::Duration;

/// Maximum size of a response's head.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 96;
/// Maximum length of a chunk-size line or a trailer.
const MAX_LINE_BYTES: usize = 4 << 10;

/// A worker's bytes are not a valid HTTP/1.1 response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("M411 the worker sent an invalid response: {0}")]
pub struct InvalidResponse(pub &'static str);

/// How the end of a response's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body ends with the last chunk.
    Chunked,
    /// The body ends with the connection; after a reset it is truncated.
    UntilClose,
}

/// The head of a worker's response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code.
    pub status: StatusCode,
    /// All headers as received.
    pub headers: HeaderMap,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the connection may carry another request.
    pub keeps_alive: bool,
}

impl ResponseHead {
    /// Consumes a complete head from the buffer, and any interim responses (1xx) before it; `None` if the head is incomplete.
    ///
    /// # Errors
    ///
    /// If the bytes are not a valid head.
    pub fn take(bytes: &mut BytesMut) -> Result<Option<ResponseHead>, InvalidResponse> {
        loop {
            let Some((length, head)) = parse(bytes)? else {
                return if bytes.len() > MAX_HEAD_BYTES {
                    Err(InvalidResponse("the head is too long"))
                } else {
                    Ok(None)
                };
            };
            bytes.advance(length);
            if let Some(head) = head {
                return Ok(Some(head));
            }
        }
    }

    /// The idle timeout that the worker declares in `Keep-Alive`.
    pub fn declared_idle_timeout(&self) -> Option<Duration> {
        let value = self.headers.get("keep-alive")?.to_str().ok()?;
        let seconds = value
            .split(',')
            .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
        Some(Duration::from_secs(seconds.trim().parse().ok()?))
    }
}

/// The length of a complete head, and the head unless it is of an interim response (1xx).
fn parse(bytes: &[u8]) -> Result<Option<(usize, Option<ResponseHead>)>, InvalidResponse> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(bytes) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) => return Ok(None),
        Err(_) => return Err(InvalidResponse("malformed head")),
    };
    let status = response
        .code
        .and_then(|code| StatusCode::from_u16(code).ok());
    let status = status.ok_or(InvalidResponse("invalid status"))?;
    if status.is_informational() {
        return match status {
            StatusCode::SWITCHING_PROTOCOLS => Err(InvalidResponse("unrequested protocol switch")),
            _ => Ok(Some((length, None))),
        };
    }
    let mut map = HeaderMap::with_capacity(response.headers.len());
    for header in response.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes())
            .map_err(|_| InvalidResponse("invalid header name"))?;
        let value = HeaderValue::from_bytes(header.value)
            .map_err(|_| InvalidResponse("invalid header value"))?;
        map.append(name, value);
    }
    let framing = framing(status, &map)?;
    let closes = map
        .get_all(CONNECTION)
        .iter()
        .any(|value| has_token(value, "close"));
    let keeps_alive = response.version == Some(1) && !closes && framing != Framing::UntilClose;
    Ok(Some((
        length,
        Some(ResponseHead {
            status,
            headers: map,
            framing,
            keeps_alive,
        }),
    )))
}

fn framing(status: StatusCode, headers: &HeaderMap) -> Result<Framing, InvalidResponse> {
    let coding = headers.get(TRANSFER_ENCODING);
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let length = lengths.next();
    if lengths.next().is_some() || length.is_some() && coding.is_some() {
        return Err(InvalidResponse("contradictory body lengths"));
    }
    if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return Ok(Framing::Length(0));
    }
    if let Some(coding) = coding {
        let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
        return if chunked {
            Ok(Framing::Chunked)
        } else {
            Err(InvalidResponse("unsupported Transfer-Encoding"))
        };
    }
    let Some(length) = length else {
        return Ok(Framing::UntilClose);
    };
    let digits = length.as_bytes();
    let number = std::str::from_utf8(digits)
        .ok()
        .and_then(|digits| digits.parse().ok());
    number
        .filter(|_| digits.iter().all(u8::is_ascii_digit))
        .map(Framing::Length)
        .ok_or(InvalidResponse("invalid Content-Length"))
}

/// Whether a comma-separated header value contains this token, in any case.
pub fn has_token(value: &HeaderValue, token: &str) -> bool {
    let mut tokens = value.as_bytes().split(|byte| *byte == b',');
    tokens.any(|named| named.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

/// Decodes the framing of a body from the bytes received on a connection.
#[derive(Debug)]
pub struct BodyReader {
    state: BodyState,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum BodyState {
    /// Number of bytes that are left of a body with a declared length.
    Remaining(u64),
    UntilClose,
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailers,
    Done,
}

impl BodyReader {
    /// Creates a reader for a body with this framing.
    pub fn new(framing: Framing) -> BodyReader {
        let state = match framing {
            Framing::Length(0) => BodyState::Done,
            Framing::Length(length) => BodyState::Remaining(length),
            Framing::Chunked => BodyState::ChunkSize,
            Framing::UntilClose => BodyState::UntilClose,
        };
        BodyReader { state }
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == BodyState::Done
    }

    /// To be called when the connection was closed without a reset. Returns whether the body is complete, as one that ends
    /// with the connection is then.
    pub fn ends_with_connection(&mut self) -> bool {
        if self.state == BodyState::UntilClose {
            self.state = BodyState::Done;
        }
        self.is_done()
    }

    /// Consumes the next part of the body from the buffer; `None` if there is none, or the body is complete.
    ///
    /// # Errors
    ///
    /// If the chunked framing is invalid.
    pub fn take(&mut self, bytes: &mut BytesMut) -> Result<Option<Bytes>, InvalidResponse> {
        loop {
            match self.state {
                BodyState::Done => return Ok(None),
                _ if bytes.is_empty() => return Ok(None),
                BodyState::UntilClose => return Ok(Some(bytes.split().freeze())),
                BodyState::Remaining(left) => {
                    let chunk = take_up_to(bytes, left);
                    let left = left - chunk.len() as u64;
                    self.state = if left == 0 {
                        BodyState::Done
                    } else {
                        BodyState::Remaining(left)
                    };
                    return Ok(Some(chunk));
                }
                BodyState::Chunk(left) => {
                    let chunk = take_up_to(bytes, left);
                    let left = left - chunk.len() as u64;
                    self.state = if left == 0 {
                        BodyState::ChunkEnd
                    } else {
                        BodyState::Chunk(left)
                    };
                    return Ok(Some(chunk));
                }
                BodyState::ChunkEnd => match take_line(bytes)? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = BodyState::ChunkSize,
                    Some(_) => return Err(InvalidResponse("chunk data exceeds the chunk size")),
                },
                BodyState::ChunkSize => match take_line(bytes)? {
                    None => return Ok(None),
                    Some(line) => match parse_chunk_size(&line)? {
                        0 => self.state = BodyState::Trailers,
                        size => self.state = BodyState::Chunk(size),
                    },
                },
                BodyState::Trailers => match take_line(bytes)? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.state = BodyState::Done,
                    Some(_) => {}
                },
            }
        }
    }
}

fn take_up_to(bytes: &mut BytesMut, max: u64) -> Bytes {
    let length = (bytes.len() as u64).min(max) as usize;
    bytes.split_to(length).freeze()
}

/// Consumes a complete line and returns it without its CRLF; `None` if it is incomplete.
fn take_line(bytes: &mut BytesMut) -> Result<Option<BytesMut>, InvalidResponse> {
    let Some(end) = bytes
        .iter()
        .take(MAX_LINE_BYTES)
        .position(|byte| *byte == b'\n')
    else {
        return if bytes.len() >= MAX_LINE_BYTES {
            Err(InvalidResponse("a line is too long"))
        } else {
            Ok(None)
        };
    };
    let mut line = bytes.split_to(end + 1);
    if !line.ends_with(b"\r\n") {
        return Err(InvalidResponse("a line does not end with CRLF"));
    }
    line.truncate(end - 1);
    Ok(Some(line))
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, InvalidResponse> {
    let digits = line
        .split(|byte| *byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii();
    let is_valid =
        !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_valid);
    text.and_then(|text| u64::from_str_radix(text, 16).ok())
        .ok_or(InvalidResponse("invalid chunk size"))
}
