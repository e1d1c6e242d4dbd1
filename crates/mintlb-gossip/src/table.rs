//! The replicated table of records, in hashed buckets.
//!
//! Each bucket keeps a hash of its records, which neighbors compare (anti-entropy):
//! one level of a Merkle tree, updated in place. The hash of a set of records is the XOR of a hash
//! of each, so that it does not depend on the order of receipt.
//!
//! A table is copied on write, bucket by bucket: a snapshot is a clone of an `Arc`, and stays
//! unchanged.

use crate::message::RecordVersion;
use crate::record_id::RecordId;
use mintlb_common::mix64::mix64;
use mintlb_common::record::Record;
use rustc_hash::FxHashMap;
use std::sync::Arc;
use tokio::time::Instant;

/// The number of buckets of a table.
pub const BUCKETS: usize = 64;

/// The index of a bucket, below [`BUCKETS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BucketIndex(u8);

impl BucketIndex {
    /// The index with this number, if there is such a bucket.
    pub fn new(number: u8) -> Option<BucketIndex> {
        (usize::from(number) < BUCKETS).then_some(BucketIndex(number))
    }

    /// The bucket of a record: the upper bits of its identifier.
    pub fn of(id: RecordId) -> BucketIndex {
        BucketIndex((id.number() >> (u64::BITS - BUCKETS.ilog2())) as u8)
    }

    /// All buckets, in order.
    pub fn all() -> impl Iterator<Item = BucketIndex> {
        (0..BUCKETS as u8).map(BucketIndex)
    }

    /// The index as a number.
    pub fn number(self) -> u8 {
        self.0
    }

    /// The index into an array of buckets.
    pub fn as_usize(self) -> usize {
        usize::from(self.0)
    }
}

/// A record in the table.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) record: Arc<Record>,
    /// When the record is removed, if it has a time to live.
    pub(crate) expires_at: Option<Instant>,
    /// Whether it counts in the hashes and is sent to others.
    pub(crate) advertised: bool,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    entries: FxHashMap<RecordId, Entry>,
    hash: u64,
}

/// The current version of each record. Immutable once shared.
#[derive(Clone, Debug)]
pub struct Table {
    buckets: Vec<Arc<Bucket>>,
    length: usize,
}

impl Default for Table {
    fn default() -> Table {
        Table {
            buckets: vec![Arc::default(); BUCKETS],
            length: 0,
        }
    }
}

impl Table {
    /// The record with this key.
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.entry(RecordId::of_key(key))
            .map(|entry| &*entry.record)
            .filter(|record| record.key == key)
    }

    /// All records, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.iter_shared().map(|record| &**record)
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The hash of the whole table.
    pub fn hash(&self) -> u64 {
        self.buckets
            .iter()
            .fold(0, |hash, bucket| hash ^ bucket.hash)
    }

    /// The lower 32 bits of the hash of a bucket.
    pub fn bucket_hash(&self, bucket: BucketIndex) -> u32 {
        self.bucket(bucket).hash as u32
    }

    /// The versions of all records in a bucket.
    pub fn versions(&self, bucket: BucketIndex) -> impl Iterator<Item = RecordVersion> + '_ {
        let entries = self.bucket(bucket).entries.iter();
        entries.map(|(&id, entry)| RecordVersion {
            id,
            version: entry.record.version,
        })
    }

    /// The number of records in a bucket.
    pub fn bucket_len(&self, bucket: BucketIndex) -> usize {
        self.bucket(bucket).entries.len()
    }

    /// All records, in no particular order, without a copy of their content.
    pub(crate) fn iter_shared(&self) -> impl Iterator<Item = &Arc<Record>> {
        self.buckets
            .iter()
            .flat_map(|bucket| bucket.entries.values())
            .map(|entry| &entry.record)
    }

    pub(crate) fn entry(&self, id: RecordId) -> Option<&Entry> {
        self.bucket(BucketIndex::of(id)).entries.get(&id)
    }

    /// Adds an entry, in place of a former one of the same record.
    pub(crate) fn insert(&mut self, id: RecordId, entry: Entry) {
        let bucket = self.bucket_mut(id);
        bucket.hash ^= hash_contribution(id, &entry);
        match bucket.entries.insert(id, entry) {
            Some(former) => bucket.hash ^= hash_contribution(id, &former),
            None => self.length += 1,
        }
    }

    /// Takes a record out of the hashes; it is not sent to others any more.
    pub(crate) fn withdraw(&mut self, id: RecordId) {
        let bucket = self.bucket_mut(id);
        if let Some(entry) = bucket.entries.get_mut(&id) {
            bucket.hash ^= hash_contribution(id, entry);
            entry.advertised = false;
        }
    }

    /// Removes a record.
    pub(crate) fn remove(&mut self, id: RecordId) {
        let bucket = self.bucket_mut(id);
        if let Some(entry) = bucket.entries.remove(&id) {
            bucket.hash ^= hash_contribution(id, &entry);
            self.length -= 1;
        }
    }

    fn bucket(&self, index: BucketIndex) -> &Bucket {
        &self.buckets[index.as_usize()]
    }

    fn bucket_mut(&mut self, id: RecordId) -> &mut Bucket {
        Arc::make_mut(&mut self.buckets[BucketIndex::of(id).as_usize()])
    }
}

/// What an entry contributes to the hash of its bucket; XOR adds it, and takes it out again.
fn hash_contribution(id: RecordId, entry: &Entry) -> u64 {
    if entry.advertised {
        mix64(id.number() ^ mix64(entry.record.version))
    } else {
        0
    }
}
