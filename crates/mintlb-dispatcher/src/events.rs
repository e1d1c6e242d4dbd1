//! Parser of server-sent events (`text/event-stream`) that checks the order of their ids.
//!
//! Pure. Only complete events pass, so that a broken stream never leaves part of one, and none passes twice.

use bytes::{Bytes, BytesMut};

/// Size limit of a buffered incomplete event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a worker's bytes don't continue the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// An event is longer than any may be.
    #[error("M401 an event of over {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// Events are missing between the client's last one and the first received.
    #[error("M402 events are missing")]
    Gap,
    /// The ids do not rise.
    #[error("M403 the ids of the events do not rise")]
    Disorder,
}

/// The events of one run at one worker.
#[derive(Debug, Default)]
pub struct EventReader {
    /// The beginning of an incomplete event.
    partial: BytesMut,
    /// The id of the last event that the client has or that it asked to go on after.
    last: Option<u64>,
    /// This run was asked to go on after `last`, and has sent no event with an id yet.
    resumes: bool,
}

impl EventReader {
    /// A run that was asked to go on after this event, if one is named.
    pub fn after(last: Option<u64>) -> EventReader {
        EventReader {
            partial: BytesMut::new(),
            last,
            resumes: last.is_some(),
        }
    }

    /// The id of the last event passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// The rest of a stream whose last event has no blank line.
    pub fn into_rest(self) -> Bytes {
        self.partial.freeze()
    }

    /// Consumes the next bytes and returns the complete new events in them.
    ///
    /// # Errors
    ///
    /// If an event is too long, or the ids show a gap or don't rise.
    pub fn take(&mut self, bytes: Bytes) -> Result<Bytes, StreamError> {
        let joined = match self.partial.is_empty() {
            true => bytes,
            false => {
                self.partial.extend_from_slice(&bytes);
                self.partial.split().freeze()
            }
        };
        let mut passed = 0;
        // Copies only if events were skipped; usually the received bytes are forwarded as they are.
        let mut gathered: Option<BytesMut> = None;
        while let Some(end) = event_end(&joined[passed..]) {
            let event = &joined[passed..passed + end];
            let is_new = self.is_new(event)?;
            match (&mut gathered, is_new) {
                (Some(gathered), true) => gathered.extend_from_slice(event),
                (None, false) => gathered = Some(BytesMut::from(&joined[..passed])),
                _ => {}
            }
            passed += end;
        }
        if joined.len() - passed > MAX_EVENT_BYTES {
            return Err(StreamError::TooLong);
        }
        if passed < joined.len() {
            self.partial.extend_from_slice(&joined[passed..]);
        }
        Ok(gathered.map_or_else(|| joined.slice(..passed), BytesMut::freeze))
    }

    fn is_new(&mut self, event: &[u8]) -> Result<bool, StreamError> {
        let Some(id) = event_id(event) else {
            return Ok(true);
        };
        if let Some(last) = self.last {
            match (id <= last, self.resumes) {
                (true, true) => return Ok(false),
                (true, false) => return Err(StreamError::Disorder),
                (false, true) if id != last + 1 => return Err(StreamError::Gap),
                (false, _) => {}
            }
        }
        (self.last, self.resumes) = (Some(id), false);
        Ok(true)
    }
}

/// Where the first event ends, its blank line included.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n') {
        debug_assert_eq!(*byte, b'\n');
        let line = &bytes[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

/// The number in an event's `id` line.
pub fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?.trim_ascii();
        std::str::from_utf8(value).ok()?.parse().ok()
    })
}

/// The data of an event: its `data` lines, separated by line feeds.
pub fn event_data(event: &[u8]) -> Vec<u8> {
    let mut data = Vec::new();
    let mut first = true;
    for line in event.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(value) = line.strip_prefix(b"data:") else {
            continue;
        };
        if !std::mem::take(&mut first) {
            data.push(b'\n');
        }
        data.extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
    }
    data
}

/// Splits bytes that consist of complete events.
pub fn split_events(mut events: Bytes) -> impl Iterator<Item = Bytes> {
    std::iter::from_fn(move || {
        let end = event_end(&events)?;
        Some(events.split_to(end))
    })
}
