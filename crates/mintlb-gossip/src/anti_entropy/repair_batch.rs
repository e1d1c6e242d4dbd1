//! Records for a neighbor that lacks them, up to the size limit of a message.

use crate::message::{FrameBatch, Message, RecordFrame, Records};
use crate::record_id::RecordId;
use crate::table::BucketIndex;

/// Records for a neighbor that lacks them. Once a record does not fit, its bucket is incomplete: no
/// further record of this bucket is added, and the neighbor sends its versions of the bucket again.
#[derive(Debug, Default)]
pub(super) struct RepairBatch {
    batch: FrameBatch,
    incomplete_buckets: Vec<u8>,
}

impl RepairBatch {
    /// Adds a record, unless its bucket is incomplete or there is no frame of it.
    pub(super) fn add(&mut self, id: RecordId, frame: impl FnOnce() -> Option<RecordFrame>) {
        let bucket = BucketIndex::of(id).number();
        if self.incomplete_buckets.contains(&bucket) {
            return;
        }
        let Some(frame) = frame() else { return };
        if self.batch.has_capacity_for(&frame) {
            self.batch.push(frame);
        } else {
            self.incomplete_buckets.push(bucket);
        }
    }

    /// Whether no record was added.
    pub(super) fn is_empty(&self) -> bool {
        self.batch.is_empty()
    }

    /// The message with the records.
    pub(super) fn into_message(self) -> Message {
        Message::Records(Records {
            records: self.batch.into_frames(),
            incomplete_buckets: self.incomplete_buckets.into(),
        })
    }
}
