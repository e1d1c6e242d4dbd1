//! Parser of server-sent events (`text/event-stream`) that checks the order of their ids. Without I/O.
//!
//! Returns only complete events, and each only once, so that a broken stream can be resumed after its last event.

use bytes::{Bytes, BytesMut};

/// Size limit of a buffered incomplete event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a worker's bytes can't be forwarded as part of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// An event exceeds `MAX_EVENT_BYTES`.
    #[error("M401 an event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The first event received does not follow the last one that the client has.
    #[error("M402 events are missing after the client's last event")]
    MissingEvents,
    /// The ids do not increase.
    #[error("M403 event ids do not increase")]
    OutOfOrder,
}

/// Parses the event stream of one attempt.
#[derive(Debug, Default)]
pub struct EventParser {
    /// The bytes of an incomplete event.
    partial: BytesMut,
    /// Id of the last event that was returned, or that the client had before.
    last_id: Option<u64>,
    /// The worker was asked to resume after `last_id`, and has sent no new event with an id yet. Until then, events that the
    /// client already has are skipped.
    is_resuming: bool,
}

impl EventParser {
    /// Creates the parser of a stream that was requested to resume after this event, if any.
    pub fn resuming_after(last_id: Option<u64>) -> EventParser {
        EventParser {
            partial: BytesMut::new(),
            last_id,
            is_resuming: last_id.is_some(),
        }
    }

    /// Id of the last event returned, or of the last one that the client had before.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// The remaining bytes of a complete stream whose last event lacks its blank line.
    pub fn into_partial(self) -> Bytes {
        self.partial.freeze()
    }

    /// Consumes received bytes and returns the new events that they complete.
    ///
    /// # Errors
    ///
    /// If an event is too long, events are missing, or the ids do not increase.
    pub fn parse(&mut self, bytes: Bytes) -> Result<Bytes, StreamError> {
        let buffered = match self.partial.is_empty() {
            true => bytes,
            false => {
                self.partial.extend_from_slice(&bytes);
                self.partial.split().freeze()
            }
        };
        let mut parsed = 0;
        // Events are only copied if some were skipped; otherwise the received bytes are returned as they are.
        let mut new_events: Option<BytesMut> = None;
        while let Some(end) = event_end(&buffered[parsed..]) {
            let event = &buffered[parsed..parsed + end];
            let is_new = self.is_new(event)?;
            match (&mut new_events, is_new) {
                (Some(new_events), true) => new_events.extend_from_slice(event),
                (None, false) => new_events = Some(BytesMut::from(&buffered[..parsed])),
                _ => {}
            }
            parsed += end;
        }
        if buffered.len() - parsed > MAX_EVENT_BYTES {
            return Err(StreamError::TooLong);
        }
        if parsed < buffered.len() {
            self.partial.extend_from_slice(&buffered[parsed..]);
        }
        Ok(new_events.map_or_else(|| buffered.slice(..parsed), BytesMut::freeze))
    }

    fn is_new(&mut self, event: &[u8]) -> Result<bool, StreamError> {
        let Some(id) = event_id(event) else {
            return Ok(true);
        };
        if let Some(last_id) = self.last_id {
            match (id <= last_id, self.is_resuming) {
                (true, true) => return Ok(false),
                (true, false) => return Err(StreamError::OutOfOrder),
                (false, true) if id != last_id + 1 => return Err(StreamError::MissingEvents),
                (false, _) => {}
            }
        }
        (self.last_id, self.is_resuming) = (Some(id), false);
        Ok(true)
    }
}

/// The length of the first event including its blank line, if it is complete.
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

/// The number in an event's `id` line, if it has one.
pub fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?.trim_ascii();
        std::str::from_utf8(value).ok()?.parse().ok()
    })
}

/// The data of an event: the values of its `data` lines, joined by line feeds.
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

/// Splits bytes that consist of complete events into the single events.
pub fn split_events(mut events: Bytes) -> impl Iterator<Item = Bytes> {
    std::iter::from_fn(move || {
        let end = event_end(&events)?;
        Some(events.split_to(end))
    })
}
