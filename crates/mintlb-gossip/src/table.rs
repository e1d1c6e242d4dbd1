//! The replicated table of records.
//!
//! A table is split into buckets by the hash of the key; each bucket keeps a hash of its records, which neighbours
//! compare. A table is copied on write, bucket by bucket, so that a snapshot costs nothing and stays as it is.
//!
//! Lifetimes: a record with a lifetime is handed on with what is left of it, so that all copies end at about the same
//! time. In the last quarter of its lifetime a record counts in no digest and is handed to nobody; thus processes that
//! drop it at slightly different times don't bring it back to each other. A dropped record is kept aside for
//! [`EXPIRED_RETENTION`], so that an older version of its key, from a process that was long out of touch, stays out and that
//! process is told of the newer one.

use crate::codec::{RecordFrame, RecordVersion, mix64, record_id};
use mintlb_common::record::Record;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Into how many buckets a table is split.
pub const BUCKETS: usize = 64;

/// How long a record that was dropped at the end of its lifetime is kept aside.
pub const EXPIRED_RETENTION: Duration = Duration::from_secs(3600);

/// How many dropped records are kept aside at most; the oldest go first.
const MAX_EXPIRED: usize = 4096;

#[derive(Clone, Debug)]
struct Entry {
    record: Arc<Record>,
    /// When the record is dropped, if it has a lifetime.
    expires_at: Option<Instant>,
    /// Whether it counts in digests and is handed on.
    advertised: bool,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    entries: FxHashMap<u64, Entry>,
    hash: u64,
}

/// The records in force. Immutable once handed out.
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
    /// The record in force of this key.
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.entry(record_id(key))
            .map(|entry| &*entry.record)
            .filter(|record| record.key == key)
    }

    /// All records in force, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.buckets
            .iter()
            .flat_map(|bucket| bucket.entries.values())
            .map(|entry| &*entry.record)
    }

    /// How many records there are.
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

    /// The hash of one bucket, shortened.
    pub fn bucket_hash(&self, bucket: usize) -> u32 {
        self.buckets[bucket].hash as u32
    }

    /// What a bucket holds.
    pub fn versions(&self, bucket: usize) -> impl Iterator<Item = RecordVersion> + '_ {
        self.buckets[bucket]
            .entries
            .iter()
            .map(|(&id, entry)| RecordVersion {
                id,
                version: entry.record.version,
            })
    }

    /// How many records a bucket holds.
    pub fn bucket_len(&self, bucket: usize) -> usize {
        self.buckets[bucket].entries.len()
    }

    pub(crate) fn iter_shared(&self) -> impl Iterator<Item = &Arc<Record>> {
        self.buckets
            .iter()
            .flat_map(|bucket| bucket.entries.values())
            .map(|entry| &entry.record)
    }

    fn entry(&self, id: u64) -> Option<&Entry> {
        self.buckets[bucket_of(id)].entries.get(&id)
    }

    fn bucket_mut(&mut self, id: u64) -> &mut Bucket {
        Arc::make_mut(&mut self.buckets[bucket_of(id)])
    }
}

/// The bucket in which a record lies.
pub fn bucket_of(id: u64) -> usize {
    (id >> (u64::BITS - BUCKETS.ilog2())) as usize
}

fn hash_contribution(id: u64, version: u64) -> u64 {
    mix64(id ^ mix64(version))
}

/// What became of a record that was put.
#[derive(Clone, Debug)]
pub enum ApplyOutcome {
    /// It is newly in force.
    Applied(Arc<Record>),
    /// This very version is known.
    Duplicate,
    /// A newer version is known.
    Stale,
}

/// The table of a process with the end of its records' lifetimes.
#[derive(Debug, Default)]
pub struct RecordStore {
    table: Arc<Table>,
    /// When to look at a record again, as its last quarter begins or its lifetime ends.
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    expired: FxHashMap<u64, Arc<Record>>,
    expiry_log: VecDeque<(Instant, u64, u64)>,
}

impl RecordStore {
    /// The table as it is now.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// The newest version known of a record, also of one that was dropped.
    pub fn version(&self, id: u64) -> Option<u64> {
        let live = self.table.entry(id).map(|entry| entry.record.version);
        live.max(self.expired.get(&id).map(|record| record.version))
    }

    /// Takes over a record of the process's own.
    pub fn apply_local(&mut self, now: Instant, record: Record) -> ApplyOutcome {
        let remaining = Duration::from_secs(record.ttl_s.into());
        self.apply(now, record, remaining)
    }

    /// Takes over a record from another process; none if it is out of bounds.
    pub fn apply_remote(&mut self, now: Instant, frame: RecordFrame) -> Option<ApplyOutcome> {
        let lifetime = Duration::from_secs(frame.ttl_s.into());
        let remaining = Duration::from_millis(frame.remaining_ms).min(lifetime);
        frame
            .into_record()
            .map(|record| self.apply(now, record, remaining))
    }

    fn apply(&mut self, now: Instant, record: Record, remaining: Duration) -> ApplyOutcome {
        let id = record_id(&record.key);
        match self.version(id) {
            Some(known) if known > record.version => return ApplyOutcome::Stale,
            Some(known) if known == record.version => return ApplyOutcome::Duplicate,
            _ => (),
        }
        self.expired.remove(&id);
        let expires_at = (record.ttl_s > 0).then(|| now + remaining);
        let quiet = Duration::from_secs(record.ttl_s.into()) / 4;
        let advertised = expires_at.is_none() || remaining > quiet;
        if let Some(expires_at) = expires_at {
            self.due.push(Reverse((expires_at, id)));
            if advertised {
                self.due.push(Reverse((expires_at - quiet, id)));
            }
        }
        let record = Arc::new(record);
        let table = Arc::make_mut(&mut self.table);
        let bucket = table.bucket_mut(id);
        if advertised {
            bucket.hash ^= hash_contribution(id, record.version);
        }
        let before = bucket.entries.insert(
            id,
            Entry {
                record: record.clone(),
                expires_at,
                advertised,
            },
        );
        match before {
            Some(before) if before.advertised => {
                bucket.hash ^= hash_contribution(id, before.record.version)
            }
            Some(_) => (),
            None => table.length += 1,
        }
        ApplyOutcome::Applied(record)
    }

    /// The record as it is handed on; none if it isn't known or is in the last quarter of its lifetime.
    pub fn frame(&self, now: Instant, id: u64) -> Option<RecordFrame> {
        let entry = self.table.entry(id).filter(|entry| entry.advertised)?;
        let remaining = entry.expires_at.map_or(Duration::ZERO, |expires_at| {
            expires_at.saturating_duration_since(now)
        });
        Some(frame(&entry.record, remaining))
    }

    /// The record that a process with an older version has to be told: also one in the last quarter of its lifetime
    /// or dropped, with a quarter of its lifetime as what is left.
    pub fn frame_for_stale_peer(&self, now: Instant, id: u64) -> Option<RecordFrame> {
        let known = || {
            self.table
                .entry(id)
                .map(|entry| &entry.record)
                .or_else(|| self.expired.get(&id))
        };
        self.frame(now, id).or_else(|| {
            let record = known()?;
            Some(frame(record, Duration::from_secs(record.ttl_s.into()) / 4))
        })
    }

    /// Ends what is due. To be called before each input is handled.
    pub fn expire(&mut self, now: Instant) {
        while let Some(&Reverse((at, id))) = self.due.peek() {
            if at > now {
                break;
            }
            self.due.pop();
            self.update_lifetime(now, id);
        }
        while let Some(&(at, id, version)) = self.expiry_log.front() {
            if now < at + EXPIRED_RETENTION && self.expiry_log.len() <= MAX_EXPIRED {
                break;
            }
            self.expiry_log.pop_front();
            if self
                .expired
                .get(&id)
                .is_some_and(|record| record.version == version)
            {
                self.expired.remove(&id);
            }
        }
    }

    fn update_lifetime(&mut self, now: Instant, id: u64) {
        let Some(entry) = self.table.entry(id) else {
            return;
        };
        let Some(expires_at) = entry.expires_at else {
            return;
        };
        let (advertised, record) = (entry.advertised, entry.record.clone());
        let quiet = Duration::from_secs(record.ttl_s.into()) / 4;
        if now + quiet < expires_at {
            return;
        }
        let table = Arc::make_mut(&mut self.table);
        let bucket = table.bucket_mut(id);
        if advertised {
            bucket.hash ^= hash_contribution(id, record.version);
        }
        if now < expires_at {
            if let Some(entry) = bucket.entries.get_mut(&id) {
                entry.advertised = false;
            }
            return;
        }
        bucket.entries.remove(&id);
        table.length -= 1;
        self.expiry_log.push_back((now, id, record.version));
        self.expired.insert(id, record);
    }
}

fn frame(record: &Record, remaining: Duration) -> RecordFrame {
    RecordFrame {
        key: record.key.clone(),
        version: record.version,
        ttl_s: record.ttl_s,
        remaining_ms: remaining.as_millis() as u64,
        body: record.body.clone(),
    }
}
