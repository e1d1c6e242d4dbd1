//! Records as messages carry them.

use crate::record_id::RecordId;
use bytes::Bytes;
use minicbor::{Decode, Encode};
use mintlb_common::record::Record;
use std::time::Duration;

/// Size limit of a message in bytes. A message with a single record may exceed it.
pub const MAX_MESSAGE_BYTES: usize = 256 << 10;

/// Size limit of a record's key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Estimated bytes of a frame in a message besides its key and body.
const FRAME_OVERHEAD_BYTES: usize = 32;

/// A version of a record, without the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RecordVersion {
    /// The record.
    #[n(0)]
    pub id: RecordId,
    /// The version.
    #[n(1)]
    pub version: u64,
}

/// A record in a message.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct RecordFrame {
    /// The record's key.
    #[n(0)]
    pub key: String,
    /// The record's version.
    #[n(1)]
    pub version: u64,
    /// The time to live that the record was published with, in seconds; 0 for a record without
    /// expiry.
    #[n(2)]
    pub ttl_s: u32,
    /// What remains of the time to live at the sender, in milliseconds. The receiver keeps the
    /// record no longer.
    #[n(3)]
    pub remaining_ms: u64,
    /// The record's body.
    #[n(4)]
    #[cbor(with = "crate::message::codec::body")]
    pub body: Bytes,
}

/// A received record that the table does not accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidFrame {
    /// The key is longer than [`MAX_KEY_BYTES`].
    #[error("the key has {0} bytes, more than {MAX_KEY_BYTES}")]
    KeyTooLong(usize),
    /// The record has expired on the way.
    #[error("the record has expired")]
    Expired,
}

impl RecordFrame {
    /// A frame of a record with this remaining time to live.
    pub fn new(record: &Record, remaining: Duration) -> RecordFrame {
        RecordFrame {
            key: record.key.clone(),
            version: record.version,
            ttl_s: record.ttl_s,
            remaining_ms: remaining.as_millis() as u64,
            body: record.body.clone(),
        }
    }

    /// The identifier of the record.
    pub fn id(&self) -> RecordId {
        RecordId::of_key(&self.key)
    }

    /// What remains of the time to live, never more than the time to live itself.
    pub fn remaining(&self) -> Duration {
        let ttl = Duration::from_secs(self.ttl_s.into());
        Duration::from_millis(self.remaining_ms).min(ttl)
    }

    /// The record, as the receiver stores it.
    ///
    /// # Errors
    /// [`InvalidFrame`] if the key is too long or the record has expired.
    pub fn into_record(self) -> Result<Record, InvalidFrame> {
        if self.ttl_s > 0 && self.remaining_ms == 0 {
            return Err(InvalidFrame::Expired);
        }
        if self.key.len() > MAX_KEY_BYTES {
            return Err(InvalidFrame::KeyTooLong(self.key.len()));
        }
        Ok(Record {
            key: self.key,
            version: self.version,
            ttl_s: self.ttl_s,
            body: self.body,
        })
    }

    /// The estimated size in a message, in bytes.
    pub fn encoded_size(&self) -> usize {
        self.key.len() + self.body.len() + FRAME_OVERHEAD_BYTES
    }
}

/// Record frames that fit into one message. The first one always fits, whatever its size.
#[derive(Debug, Default)]
pub struct FrameBatch {
    frames: Vec<RecordFrame>,
    bytes: usize,
}

impl FrameBatch {
    /// Splits frames into batches, in order.
    pub fn split(frames: Vec<RecordFrame>) -> Vec<FrameBatch> {
        let mut batches = Vec::new();
        let mut current = FrameBatch::default();
        for frame in frames {
            if !current.has_capacity_for(&frame) {
                batches.push(std::mem::take(&mut current));
            }
            current.push(frame);
        }
        if !current.is_empty() {
            batches.push(current);
        }
        batches
    }

    /// Whether the frame fits, too.
    pub fn has_capacity_for(&self, frame: &RecordFrame) -> bool {
        self.is_empty() || self.bytes + frame.encoded_size() <= MAX_MESSAGE_BYTES
    }

    /// Adds a frame, without a check of the size.
    pub fn push(&mut self, frame: RecordFrame) {
        self.bytes += frame.encoded_size();
        self.frames.push(frame);
    }

    /// Whether there is no frame.
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    /// The frames, in order.
    pub fn into_frames(self) -> Vec<RecordFrame> {
        self.frames
    }
}
