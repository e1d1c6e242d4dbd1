//! Lines out of a chunked body, bounded, as the bytes that came.

use crate::error_chain::error_chain;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

pub struct LineReader {
    body: Incoming,
    held: BytesMut,
    longest: usize,
}

impl LineReader {
    pub fn new(body: Incoming, longest: usize) -> LineReader {
        LineReader {
            body,
            held: BytesMut::new(),
            longest,
        }
    }

    /// The next line without its end, the last also if it has none; `None` once the body has ended.
    pub async fn next(&mut self) -> Result<Option<Bytes>, String> {
        let mut searched = 0;
        loop {
            let end = self.held[searched..]
                .iter()
                .position(|&b| b == b'\n')
                .map(|at| searched + at);
            searched = self.held.len();
            if end.unwrap_or(searched) > self.longest {
                return Err(format!("a line of over {} bytes", self.longest));
            }
            if let Some(end) = end {
                let mut line = self.held.split_to(end + 1);
                line.truncate(end);
                return Ok(Some(line.freeze()));
            }
            match self.body.frame().await {
                None if searched == 0 => return Ok(None),
                None => return Ok(Some(self.held.split().freeze())),
                Some(Err(e)) => return Err(format!("broken off: {}", error_chain(&e))),
                Some(Ok(frame)) => self
                    .held
                    .extend(frame.data_ref().map(|d| &d[..]).unwrap_or_default()),
            }
        }
    }

    /// Reads on to the end: closed before, the connection would be reset under a worker that still writes.
    pub async fn drain(mut self) {
        while let Some(Ok(_)) = self.body.frame().await {}
    }
}
