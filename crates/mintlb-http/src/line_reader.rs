//! Splits a response body into lines of bounded length.

use crate::error_chain::error_chain;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Reads lines from a response body.
pub struct LineReader {
    body: Incoming,
    buffer: BytesMut,
    max_line_bytes: usize,
}

impl LineReader {
    /// Lines of more than `max_line_bytes` bytes are errors.
    pub fn new(body: Incoming, max_line_bytes: usize) -> LineReader {
        LineReader {
            body,
            buffer: BytesMut::new(),
            max_line_bytes,
        }
    }

    /// The next line without its line feed, which the last line may lack; `None` at the end of the body.
    ///
    /// # Errors
    /// If the line is too long, or reading the body fails.
    pub async fn next(&mut self) -> Result<Option<Bytes>, String> {
        let mut searched = 0;
        loop {
            let end = self.buffer[searched..]
                .iter()
                .position(|&b| b == b'\n')
                .map(|offset| searched + offset);
            searched = self.buffer.len();
            if end.unwrap_or(searched) > self.max_line_bytes {
                return Err(format!("line exceeds {} bytes", self.max_line_bytes));
            }
            if let Some(end) = end {
                let mut line = self.buffer.split_to(end + 1);
                line.truncate(end);
                return Ok(Some(line.freeze()));
            }
            match self.body.frame().await {
                None if searched == 0 => return Ok(None),
                None => return Ok(Some(self.buffer.split().freeze())),
                Some(Err(e)) => {
                    return Err(format!("reading the body failed: {}", error_chain(&e)));
                }
                Some(Ok(frame)) => self
                    .buffer
                    .extend(frame.data_ref().map(|d| &d[..]).unwrap_or_default()),
            }
        }
    }

    /// Reads to the end of the body: closing the connection before that would reset it while the worker is still
    /// writing.
    pub async fn drain(mut self) {
        while let Some(Ok(_)) = self.body.frame().await {}
    }
}
