//! The records of one process with their expiry.
//!
//! A record with a time to live is sent with what remains of it, so that all replicas of it expire
//! at about the same time. In the last quarter of its time to live a record counts in no digest and
//! is sent to nobody: processes that remove it at slightly different times would otherwise bring it
//! back to each other by anti-entropy. An expired record is retained for [`EXPIRED_RETENTION`], as
//! a tombstone: an older version of its key, from a process that was long partitioned, must not be
//! applied again, and that process is sent the newer one.

use crate::message::{InvalidFrame, RecordFrame};
use crate::record_id::RecordId;
use crate::table::{Entry, Table};
use mintlb_common::record::Record;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long an expired record is retained.
pub const EXPIRED_RETENTION: Duration = Duration::from_secs(3600);

/// How many expired records are retained; the oldest are removed first.
const MAX_EXPIRED: usize = 4096;

/// The last part of its time to live in which a record is not advertised, as a fraction.
const WITHDRAWN_FRACTION: u32 = 4;

/// The outcome of applying a record.
#[derive(Clone, Debug)]
pub enum ApplyOutcome {
    /// The record is now the current version.
    Applied(Arc<Record>),
    /// This version was the current one already.
    Duplicate,
    /// A newer version is known.
    Stale,
}

/// The table of one process, with the expiry of its records.
#[derive(Debug, Default)]
pub struct RecordStore {
    table: Arc<Table>,
    /// When each record with a time to live is withdrawn and when it expires.
    timers: BinaryHeap<Reverse<(Instant, RecordId)>>,
    expired: FxHashMap<RecordId, Arc<Record>>,
    /// The expired records in the order of expiry.
    expiry_log: VecDeque<Expiry>,
}

#[derive(Debug)]
struct Expiry {
    at: Instant,
    id: RecordId,
    version: u64,
}

impl RecordStore {
    /// The current table.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// The newest known version of a record, expired ones included.
    pub fn version(&self, id: RecordId) -> Option<u64> {
        let current = self.table.entry(id).map(|entry| entry.record.version);
        current.max(self.expired.get(&id).map(|record| record.version))
    }

    /// Applies a record that this process publishes.
    pub fn apply_local(&mut self, now: Instant, record: Record) -> ApplyOutcome {
        let remaining = Duration::from_secs(record.ttl_s.into());
        self.apply(now, record, remaining)
    }

    /// Applies a record from another process.
    ///
    /// # Errors
    /// [`InvalidFrame`] if the record is out of bounds or has expired.
    pub fn apply_remote(
        &mut self,
        now: Instant,
        frame: RecordFrame,
    ) -> Result<ApplyOutcome, InvalidFrame> {
        let remaining = frame.remaining();
        let record = frame.into_record()?;
        Ok(self.apply(now, record, remaining))
    }

    fn apply(&mut self, now: Instant, record: Record, remaining: Duration) -> ApplyOutcome {
        let id = RecordId::of_key(&record.key);
        match self.version(id) {
            Some(known) if known > record.version => return ApplyOutcome::Stale,
            Some(known) if known == record.version => return ApplyOutcome::Duplicate,
            _ => (),
        }
        self.expired.remove(&id);
        let expires_at = (record.ttl_s > 0).then(|| now + remaining);
        let withdrawn_for = withdrawn_duration(&record);
        let advertised = expires_at.is_none() || remaining > withdrawn_for;
        if let Some(expires_at) = expires_at {
            self.timers.push(Reverse((expires_at, id)));
            if advertised {
                self.timers.push(Reverse((expires_at - withdrawn_for, id)));
            }
        }
        let record = Arc::new(record);
        let entry = Entry {
            record: record.clone(),
            expires_at,
            advertised,
        };
        Arc::make_mut(&mut self.table).insert(id, entry);
        ApplyOutcome::Applied(record)
    }

    /// A frame of the record, to be sent to others; none if it is unknown or no longer advertised.
    pub fn frame(&self, now: Instant, id: RecordId) -> Option<RecordFrame> {
        let entry = self.table.entry(id).filter(|entry| entry.advertised)?;
        let remaining = entry.expires_at.map_or(Duration::ZERO, |expires_at| {
            expires_at.saturating_duration_since(now)
        });
        Some(RecordFrame::new(&entry.record, remaining))
    }

    /// A frame of the record for a process with an older version, also if it is no longer
    /// advertised or has expired. In this case it is sent with a quarter of its time to live, long
    /// enough to replace the older version.
    pub fn frame_for_stale_peer(&self, now: Instant, id: RecordId) -> Option<RecordFrame> {
        if let Some(frame) = self.frame(now, id) {
            return Some(frame);
        }
        let current = self.table.entry(id).map(|entry| &entry.record);
        let record = current.or_else(|| self.expired.get(&id))?;
        Some(RecordFrame::new(record, withdrawn_duration(record)))
    }

    /// Withdraws and removes the records whose time has come. To be called before each input is
    /// handled.
    pub fn expire(&mut self, now: Instant) {
        while let Some(&Reverse((at, id))) = self.timers.peek() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.on_timer(now, id);
        }
        self.purge_expired(now);
    }

    /// Withdraws or removes one record. The timer may belong to a former version: the current one's
    /// times decide.
    fn on_timer(&mut self, now: Instant, id: RecordId) {
        let Some(entry) = self.table.entry(id) else {
            return;
        };
        let Some(expires_at) = entry.expires_at else {
            return;
        };
        if now + withdrawn_duration(&entry.record) < expires_at {
            return;
        }
        let record = entry.record.clone();
        let table = Arc::make_mut(&mut self.table);
        if now < expires_at {
            return table.withdraw(id);
        }
        table.remove(id);
        self.expiry_log.push_back(Expiry {
            at: now,
            id,
            version: record.version,
        });
        self.expired.insert(id, record);
    }

    fn purge_expired(&mut self, now: Instant) {
        while let Some(expiry) = self.expiry_log.front() {
            if now < expiry.at + EXPIRED_RETENTION && self.expiry_log.len() <= MAX_EXPIRED {
                break;
            }
            let (id, version) = (expiry.id, expiry.version);
            self.expiry_log.pop_front();
            // The record may have expired again since, with a newer version.
            let is_logged = |record: &Arc<Record>| record.version == version;
            if self.expired.get(&id).is_some_and(is_logged) {
                self.expired.remove(&id);
            }
        }
    }
}

/// How long before its expiry a record is withdrawn.
fn withdrawn_duration(record: &Record) -> Duration {
    Duration::from_secs(record.ttl_s.into()) / WITHDRAWN_FRACTION
}
