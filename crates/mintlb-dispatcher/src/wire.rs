//! HTTP/1.1 parser of workers' responses: the head, and the framing of the body.
//!
//! Pure. Bytes that violate the protocol are [`Garbled`] and never forwarded.

use axum::http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use httparse::{EMPTY_HEADER, Status};
use std::time::Duration;

/// Size limit of a response's head.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// Limit of headers in a response.
const MAX_HEADERS: usize = 96;
/// Length limit of a chunk-size line or a trailer.
const MAX_LINE_BYTES: usize = 4 << 10;

/// The bytes form no valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("M411 the worker's bytes form no answer: {0}")]
pub struct Garbled(pub &'static str);

/// How the body of a response ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After this many bytes.
    Length(u64),
    /// With the last chunk.
    Chunked,
    /// With the connection; a reset means that it was truncated.
    UntilClose,
}

/// The head of a worker's response.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// Its status.
    pub status: StatusCode,
    /// All headers as received.
    pub headers: HeaderMap,
    /// How its body ends.
    pub framing: Framing,
    /// Whether the connection may carry another request.
    pub keeps_alive: bool,
}

impl AnswerHead {
    /// Consumes a head from the buffer, once it is complete.
    ///
    /// # Errors
    ///
    /// If the bytes form no valid head.
    pub fn take(bytes: &mut BytesMut) -> Result<Option<AnswerHead>, Garbled> {
        loop {
            let Some((length, head)) = parse(bytes)? else {
                return if bytes.len() > MAX_HEAD_BYTES {
                    Err(Garbled("a long head"))
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

    /// The idle timeout of the connection that the worker declares.
    pub fn declared_idle_timeout(&self) -> Option<Duration> {
        let value = self.headers.get("keep-alive")?.to_str().ok()?;
        let seconds = value
            .split(',')
            .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
        Some(Duration::from_secs(seconds.trim().parse().ok()?))
    }
}

/// The head's length, and the head unless it is an interim response (1xx).
fn parse(bytes: &[u8]) -> Result<Option<(usize, Option<AnswerHead>)>, Garbled> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut answer = httparse::Response::new(&mut headers);
    let length = match answer.parse(bytes) {
        Ok(Status::Complete(length)) => length,
        Ok(Status::Partial) => return Ok(None),
        Err(_) => return Err(Garbled("no head")),
    };
    let status = answer.code.and_then(|code| StatusCode::from_u16(code).ok());
    let status = status.ok_or(Garbled("no status"))?;
    if status.is_informational() {
        return match status {
            StatusCode::SWITCHING_PROTOCOLS => Err(Garbled("another protocol")),
            _ => Ok(Some((length, None))),
        };
    }
    let mut map = HeaderMap::with_capacity(answer.headers.len());
    for header in answer.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes())
            .map_err(|_| Garbled("a header's name"))?;
        let value =
            HeaderValue::from_bytes(header.value).map_err(|_| Garbled("a header's value"))?;
        map.append(name, value);
    }
    let framing = framing(status, &map)?;
    let closes = map
        .get_all(CONNECTION)
        .iter()
        .any(|value| has_token(value, "close"));
    let keeps_alive = answer.version == Some(1) && !closes && framing != Framing::UntilClose;
    Ok(Some((
        length,
        Some(AnswerHead {
            status,
            headers: map,
            framing,
            keeps_alive,
        }),
    )))
}

fn framing(status: StatusCode, headers: &HeaderMap) -> Result<Framing, Garbled> {
    let coding = headers.get(TRANSFER_ENCODING);
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let length = lengths.next();
    if lengths.next().is_some() || length.is_some() && coding.is_some() {
        return Err(Garbled("contradicting lengths"));
    }
    if matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return Ok(Framing::Length(0));
    }
    if let Some(coding) = coding {
        let chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
        return if chunked {
            Ok(Framing::Chunked)
        } else {
            Err(Garbled("an unknown coding"))
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
        .ok_or(Garbled("a length"))
}

/// Whether a comma-separated list contains this token.
pub fn has_token(value: &HeaderValue, token: &str) -> bool {
    let mut tokens = value.as_bytes().split(|byte| *byte == b',');
    tokens.any(|named| named.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

/// Decodes a body from the bytes of a connection.
#[derive(Debug)]
pub struct BodyReader {
    at: At,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    /// Bytes left of a body with a length.
    Rest(u64),
    UntilClose,
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailers,
    Done,
}

impl BodyReader {
    /// For a body that ends so.
    pub fn new(framing: Framing) -> BodyReader {
        let at = match framing {
            Framing::Length(0) => At::Done,
            Framing::Length(length) => At::Rest(length),
            Framing::Chunked => At::ChunkSize,
            Framing::UntilClose => At::UntilClose,
        };
        BodyReader { at }
    }

    /// Whether the body has ended as it should.
    pub fn is_done(&self) -> bool {
        self.at == At::Done
    }

    /// The connection has ended, with no reset. Whether the body has ended with it, as one without a length does.
    pub fn ends_with_connection(&mut self) -> bool {
        if self.at == At::UntilClose {
            self.at = At::Done;
        }
        self.is_done()
    }

    /// The next chunk of the body, if one is buffered.
    ///
    /// # Errors
    ///
    /// If the chunked framing is invalid.
    pub fn take(&mut self, bytes: &mut BytesMut) -> Result<Option<Bytes>, Garbled> {
        loop {
            match self.at {
                At::Done => return Ok(None),
                _ if bytes.is_empty() => return Ok(None),
                At::UntilClose => return Ok(Some(bytes.split().freeze())),
                At::Rest(left) => {
                    let chunk = split(bytes, left);
                    let left = left - chunk.len() as u64;
                    self.at = if left == 0 { At::Done } else { At::Rest(left) };
                    return Ok(Some(chunk));
                }
                At::Chunk(left) => {
                    let chunk = split(bytes, left);
                    let left = left - chunk.len() as u64;
                    self.at = if left == 0 {
                        At::ChunkEnd
                    } else {
                        At::Chunk(left)
                    };
                    return Ok(Some(chunk));
                }
                At::ChunkEnd => match line(bytes)? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.at = At::ChunkSize,
                    Some(_) => return Err(Garbled("a chunk is longer than its size")),
                },
                At::ChunkSize => match line(bytes)? {
                    None => return Ok(None),
                    Some(line) => match chunk_size(&line)? {
                        0 => self.at = At::Trailers,
                        size => self.at = At::Chunk(size),
                    },
                },
                At::Trailers => match line(bytes)? {
                    None => return Ok(None),
                    Some(line) if line.is_empty() => self.at = At::Done,
                    Some(_) => {}
                },
            }
        }
    }
}

fn split(bytes: &mut BytesMut, max: u64) -> Bytes {
    let length = (bytes.len() as u64).min(max) as usize;
    bytes.split_to(length).freeze()
}

/// The next line without its CRLF, once it is complete.
fn line(bytes: &mut BytesMut) -> Result<Option<BytesMut>, Garbled> {
    let Some(end) = bytes
        .iter()
        .take(MAX_LINE_BYTES)
        .position(|byte| *byte == b'\n')
    else {
        return if bytes.len() >= MAX_LINE_BYTES {
            Err(Garbled("a long line"))
        } else {
            Ok(None)
        };
    };
    let mut line = bytes.split_to(end + 1);
    if !line.ends_with(b"\r\n") {
        return Err(Garbled("a line's end"));
    }
    line.truncate(end - 1);
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, Garbled> {
    let digits = line
        .split(|byte| *byte == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii();
    let good = !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| good);
    text.and_then(|text| u64::from_str_radix(text, 16).ok())
        .ok_or(Garbled("a chunk's size"))
}
