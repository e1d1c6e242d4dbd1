//! The replicated table of records.
//!
//! A table is split into buckets by the hash of the key; each bucket keeps a hash of its records, which neighbours
//! compare. A table is copied on write, bucket by bucket, so that a snapshot costs nothing and stays as it is.
//!
//! Lifetimes: a record with a lifetime is handed on with what is left of it, so that all copies end at about the same
//! time. In the last quarter of its lifetime a record counts in no digest and is handed to nobody; thus processes that
//! drop it at slightly different times don't bring it back to each other. A dropped record is kept aside for
//! [`RETIRED_FOR`], so that an older version of its key, from a process that was long out of touch, stays out and that
//! process is told of the newer one.

use crate::codec::{CarriedRecord, Stamp, record_id, scramble};
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
pub const RETIRED_FOR: Duration = Duration::from_secs(3600);

/// How many dropped records are kept aside at most; the oldest go first.
const MOST_RETIRED: usize = 4096;

#[derive(Clone, Debug)]
struct Entry {
    record: Arc<Record>,
    /// When the record is dropped, if it has a lifetime.
    ends: Option<Instant>,
    /// Whether it counts in digests and is handed on.
    offered: bool,
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
    pub fn stamps(&self, bucket: usize) -> impl Iterator<Item = Stamp> + '_ {
        self.buckets[bucket]
            .entries
            .iter()
            .map(|(&id, entry)| Stamp {
                id,
                version: entry.record.version,
            })
    }

    /// How many records a bucket holds.
    pub fn bucket_len(&self, bucket: usize) -> usize {
        self.buckets[bucket].entries.len()
    }

    pub(crate) fn shared(&self) -> impl Iterator<Item = &Arc<Record>> {
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

fn share_of_hash(id: u64, version: u64) -> u64 {
    scramble(id ^ scramble(version))
}

/// What became of a record that was put.
#[derive(Clone, Debug)]
pub enum Put {
    /// It is newly in force.
    InForce(Arc<Record>),
    /// This very version is known.
    Known,
    /// A newer version is known.
    Older,
}

/// The table of a process with the end of its records' lifetimes.
#[derive(Debug, Default)]
pub struct RecordStore {
    table: Arc<Table>,
    /// When to look at a record again, as its last quarter begins or its lifetime ends.
    due: BinaryHeap<Reverse<(Instant, u64)>>,
    retired: FxHashMap<u64, Arc<Record>>,
    retired_at: VecDeque<(Instant, u64, u64)>,
}

impl RecordStore {
    /// The table as it is now.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// The newest version known of a record, also of one that was dropped.
    pub fn version(&self, id: u64) -> Option<u64> {
        let live = self.table.entry(id).map(|entry| entry.record.version);
        live.max(self.retired.get(&id).map(|record| record.version))
    }

    /// Takes over a record of the process's own.
    pub fn publish(&mut self, now: Instant, record: Record) -> Put {
        let remaining = Duration::from_secs(record.ttl_s.into());
        self.put(now, record, remaining)
    }

    /// Takes over a record from another process; none if it is out of bounds.
    pub fn take(&mut self, now: Instant, carried: CarriedRecord) -> Option<Put> {
        let lifetime = Duration::from_secs(carried.ttl_s.into());
        let remaining = Duration::from_millis(carried.remaining_ms).min(lifetime);
        carried
            .into_record()
            .map(|record| self.put(now, record, remaining))
    }

    fn put(&mut self, now: Instant, record: Record, remaining: Duration) -> Put {
        let id = record_id(&record.key);
        match self.version(id) {
            Some(known) if known > record.version => return Put::Older,
            Some(known) if known == record.version => return Put::Known,
            _ => (),
        }
        self.retired.remove(&id);
        let ends = (record.ttl_s > 0).then(|| now + remaining);
        let quiet = Duration::from_secs(record.ttl_s.into()) / 4;
        let offered = ends.is_none() || remaining > quiet;
        if let Some(ends) = ends {
            self.due.push(Reverse((ends, id)));
            if offered {
                self.due.push(Reverse((ends - quiet, id)));
            }
        }
        let record = Arc::new(record);
        let table = Arc::make_mut(&mut self.table);
        let bucket = table.bucket_mut(id);
        if offered {
            bucket.hash ^= share_of_hash(id, record.version);
        }
        let before = bucket.entries.insert(
            id,
            Entry {
                record: record.clone(),
                ends,
                offered,
            },
        );
        match before {
            Some(before) if before.offered => {
                bucket.hash ^= share_of_hash(id, before.record.version)
            }
            Some(_) => (),
            None => table.length += 1,
        }
        Put::InForce(record)
    }

    /// The record as it is handed on; none if it isn't known or is in the last quarter of its lifetime.
    pub fn carry(&self, now: Instant, id: u64) -> Option<CarriedRecord> {
        let entry = self.table.entry(id).filter(|entry| entry.offered)?;
        let remaining = entry
            .ends
            .map_or(Duration::ZERO, |ends| ends.saturating_duration_since(now));
        Some(carried(&entry.record, remaining))
    }

    /// The record that a process with an older version has to be told: also one in the last quarter of its lifetime
    /// or dropped, with a quarter of its lifetime as what is left.
    pub fn carry_to_older(&self, now: Instant, id: u64) -> Option<CarriedRecord> {
        let known = || {
            self.table
                .entry(id)
                .map(|entry| &entry.record)
                .or_else(|| self.retired.get(&id))
        };
        self.carry(now, id).or_else(|| {
            let record = known()?;
            Some(carried(
                record,
                Duration::from_secs(record.ttl_s.into()) / 4,
            ))
        })
    }

    /// Ends what is due. To be called before each input is handled.
    pub fn expire(&mut self, now: Instant) {
        while let Some(&Reverse((at, id))) = self.due.peek() {
            if at > now {
                break;
            }
            self.due.pop();
            self.look_at(now, id);
        }
        while let Some(&(at, id, version)) = self.retired_at.front() {
            if now < at + RETIRED_FOR && self.retired_at.len() <= MOST_RETIRED {
                break;
            }
            self.retired_at.pop_front();
            if self
                .retired
                .get(&id)
                .is_some_and(|record| record.version == version)
            {
                self.retired.remove(&id);
            }
        }
    }

    fn look_at(&mut self, now: Instant, id: u64) {
        let Some(entry) = self.table.entry(id) else {
            return;
        };
        let Some(ends) = entry.ends else { return };
        let (offered, record) = (entry.offered, entry.record.clone());
        let quiet = Duration::from_secs(record.ttl_s.into()) / 4;
        if now + quiet < ends {
            return;
        }
        let table = Arc::make_mut(&mut self.table);
        let bucket = table.bucket_mut(id);
        if offered {
            bucket.hash ^= share_of_hash(id, record.version);
        }
        if now < ends {
            if let Some(entry) = bucket.entries.get_mut(&id) {
                entry.offered = false;
            }
            return;
        }
        bucket.entries.remove(&id);
        table.length -= 1;
        self.retired_at.push_back((now, id, record.version));
        self.retired.insert(id, record);
    }
}

fn carried(record: &Record, remaining: Duration) -> CarriedRecord {
    CarriedRecord {
        key: record.key.clone(),
        version: record.version,
        ttl_s: record.ttl_s,
        remaining_ms: remaining.as_millis() as u64,
        body: record.body.clone(),
    }
}
