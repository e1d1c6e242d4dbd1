//! Builders: log entries as a store's file holds them, and writes of them.
#![allow(dead_code)]

use bytes::Bytes;
use mintlb_batch::entry::{Entry, ItemHeader, ItemState, JobHeader, JobTerms};
use mintlb_batch::framing;
use mintlb_batch::replica::DiskWrite;
use mintlb_control::store::storage::{ShardWrite, StoredEntry};

pub fn write(shard: u32, write: DiskWrite) -> ShardWrite {
    ShardWrite { shard, write }
}

pub fn put(shard: u32, index: u64, bytes: Bytes) -> ShardWrite {
    write(shard, DiskWrite::Put(index, bytes))
}

pub fn stored(index: u64, bytes: Bytes) -> StoredEntry {
    StoredEntry { index, bytes }
}

pub fn epoch_start() -> Bytes {
    framing::encode(&Entry::EpochStart, &[])
}

/// A job of one item.
pub fn accepted_job(payload: &[u8]) -> Bytes {
    let items = vec![ItemHeader {
        id: "i".to_string(),
        tokens: 5,
        length: payload.len() as u64,
    }];
    let header = JobHeader {
        host: "h".to_string(),
        id: "l".to_string(),
        route: "r".to_string(),
        terms: JobTerms::default(),
        items,
        tenant: None,
    };
    framing::encode(&Entry::Accepted(header), &[payload])
}

/// The result of the job's only item.
pub fn completed_result(text: &[u8]) -> Bytes {
    let result = Entry::Result {
        job: 1,
        item: 0,
        state: ItemState::Completed,
    };
    framing::encode(&result, &[text])
}
