//! Anti-entropy: two neighbors compare digests of their tables and repair what one of them lacks.
//!
//! The comparison follows the anti-entropy of Demers et al. ("Epidemic Algorithms for Replicated
//! Database Maintenance", PODC 1987) with two levels of hashes, as in a Merkle tree. A heartbeat
//! has the hash of the whole table, and the hashes of its buckets if the tables differed at the
//! neighbor's last heartbeat. Then one side, the *initiator*, sends the versions of all records in
//! the buckets that differ; the other side answers with the records that are newer there and
//! fetches those that are newer at the initiator.
//!
//! Records in transit make hashes differ for a moment. A bucket is therefore repaired only if it,
//! or the whole table, differs in the same way at two heartbeats in a row, or if the link is new.

mod digest;
mod repair_batch;

use crate::effects::{Effect, Effects};
use crate::message::{BucketVersions, Fetch, Heartbeat, Message, Records};
use crate::message::{RecordFrame, RecordVersion};
use crate::record_id::RecordId;
use crate::record_store::{ApplyOutcome, RecordStore};
use crate::table::BucketIndex;
use digest::{BucketDifferences, Detail, MAX_LISTED_VERSIONS, bucket_indexes};
use repair_batch::RepairBatch;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How often neighbors are sent a heartbeat.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// A repair that takes longer does not keep another one from starting.
const REPAIR_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    /// The XOR of both tables' hashes at the neighbor's last heartbeat; 0 if the tables were equal.
    table_difference: u64,
    /// Whether the tables were equal once, or a repair has completed.
    synchronized: bool,
    /// The differences of the buckets at the neighbor's last heartbeat, if it had bucket hashes.
    bucket_differences: Option<BucketDifferences>,
}

impl Link {
    fn new(address: SocketAddr) -> Link {
        Link {
            address,
            table_difference: 0,
            synchronized: false,
            bucket_differences: None,
        }
    }
}

/// The repair that this process has initiated.
#[derive(Debug)]
struct Repair {
    with: SocketAddr,
    until: Instant,
}

/// What a neighbor's records have changed.
#[derive(Debug, Default)]
pub struct RepairOutcome {
    /// All received records.
    pub received: Vec<RecordId>,
    /// The records that were applied, with their new version.
    pub applied: Vec<RecordVersion>,
}

/// The comparisons of one process with its neighbors.
#[derive(Debug, Default)]
pub struct AntiEntropy {
    links: Vec<Link>,
    repair: Option<Repair>,
    joined: bool,
}

impl AntiEntropy {
    /// Whether the table has been compared with at least one neighbor's, and what was lacking has
    /// been received.
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// A neighbor is new, or messages on its link were lost: both sides send a detailed digest.
    pub fn neighbor_up(&mut self, address: SocketAddr, store: &RecordStore, effects: &mut Effects) {
        self.neighbor_down(address);
        self.links.push(Link::new(address));
        let heartbeat = digest::heartbeat(store.table(), Detail::Buckets);
        effects.send(address, &Message::Heartbeat(heartbeat));
    }

    /// A neighbor is gone.
    pub fn neighbor_down(&mut self, address: SocketAddr) {
        self.links.retain(|link| link.address != address);
        self.end_repair(address);
    }

    /// Sends each neighbor a heartbeat, a detailed one where the tables differed.
    pub fn send_heartbeats(&self, store: &RecordStore, effects: &mut Effects) {
        let addresses_where = |equal: bool| -> Vec<_> {
            let links = self.links.iter();
            links
                .filter(|link| (link.table_difference == 0) == equal)
                .map(|link| link.address)
                .collect()
        };
        for (equal, detail) in [(true, Detail::Table), (false, Detail::Buckets)] {
            let addresses = addresses_where(equal);
            if !addresses.is_empty() {
                let heartbeat = digest::heartbeat(store.table(), detail);
                effects.send_all(&addresses, &Message::Heartbeat(heartbeat));
            }
        }
    }

    /// Handles a neighbor's heartbeat: initiates a repair if the tables differ and it is this
    /// side's turn.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        from: SocketAddr,
        own: SocketAddr,
        heartbeat: Heartbeat,
        store: &RecordStore,
        effects: &mut Effects,
    ) {
        let table = store.table();
        let Some(link) = self.links.iter_mut().find(|link| link.address == from) else {
            return;
        };
        let table_difference = heartbeat.table_hash ^ table.hash();
        let is_steady = link.table_difference == table_difference;
        link.table_difference = table_difference;
        if table_difference == 0 {
            link.bucket_differences = None;
            link.synchronized = true;
            self.joined = true;
            return;
        }
        let Some(differences) = BucketDifferences::between(table, &heartbeat.bucket_hashes) else {
            return;
        };
        let former = link.bucket_differences.replace(differences.clone());
        let needs_repair = |&bucket: &BucketIndex| {
            let difference = differences.of(bucket);
            let is_steady_bucket = || {
                let former = former.as_ref();
                former.is_some_and(|former| former.of(bucket) == difference)
            };
            difference != 0 && (!link.synchronized || is_steady || is_steady_bucket())
        };
        let buckets: Vec<_> = BucketIndex::all().filter(needs_repair).collect();
        let own_side = Side {
            address: own,
            record_count: table.len() as u64,
        };
        let other_side = Side {
            address: from,
            record_count: heartbeat.record_count,
        };
        let is_busy = self
            .repair
            .as_ref()
            .is_some_and(|repair| now < repair.until);
        if own_side.initiates_repair(&other_side) && !is_busy && !buckets.is_empty() {
            self.send_bucket_versions(now, from, &buckets, store, effects);
        }
    }

    /// Handles a neighbor's versions: sends it what is newer here, and fetches what is newer there.
    pub fn on_bucket_versions(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: BucketVersions,
        store: &RecordStore,
        effects: &mut Effects,
    ) {
        let their_versions = message.versions.iter();
        let their_versions: FxHashMap<_, _> = their_versions
            .map(|listed| (listed.id, listed.version))
            .collect();
        let mut batch = RepairBatch::default();
        let mut buckets = bucket_indexes(&message.buckets);
        buckets.sort_unstable();
        buckets.dedup();
        for bucket in buckets {
            for RecordVersion { id, .. } in store.table().versions(bucket) {
                if !their_versions.contains_key(&id) {
                    batch.add(id, || store.frame(now, id));
                }
            }
        }
        let mut fetched = Vec::new();
        for (&id, &version) in &their_versions {
            match store.version(id) {
                Some(known) if known > version => {
                    batch.add(id, || store.frame_for_stale_peer(now, id));
                }
                Some(known) if known == version => (),
                _ => fetched.push(id),
            }
        }
        effects.send(from, &batch.into_message());
        if fetched.is_empty() {
            self.complete_repair(from);
        } else {
            effects.send(from, &Message::Fetch(Fetch { ids: fetched }));
        }
    }

    /// Handles a neighbor's request for records.
    pub fn on_fetch(
        &mut self,
        now: Instant,
        from: SocketAddr,
        fetch: Fetch,
        store: &RecordStore,
        effects: &mut Effects,
    ) {
        let mut batch = RepairBatch::default();
        for id in fetch.ids.into_iter().take(MAX_LISTED_VERSIONS) {
            batch.add(id, || store.frame(now, id));
        }
        effects.send(from, &batch.into_message());
    }

    /// Handles records from a neighbor, which this process lacked. A neighbor that sent an outdated
    /// one is sent the newer version.
    pub fn on_records(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: Records,
        store: &mut RecordStore,
        effects: &mut Effects,
    ) -> RepairOutcome {
        let outcome = apply_records(now, from, message.records, store, effects);
        if message.incomplete_buckets.is_empty() || outcome.applied.is_empty() {
            self.complete_repair(from);
        } else {
            let buckets = bucket_indexes(&message.incomplete_buckets);
            self.send_bucket_versions(now, from, &buckets, store, effects);
        }
        outcome
    }

    fn send_bucket_versions(
        &mut self,
        now: Instant,
        to: SocketAddr,
        buckets: &[BucketIndex],
        store: &RecordStore,
        effects: &mut Effects,
    ) {
        self.repair = Some(Repair {
            with: to,
            until: now + REPAIR_TIMEOUT,
        });
        let versions = digest::bucket_versions(store.table(), buckets);
        effects.send(to, &Message::BucketVersions(versions));
    }

    fn complete_repair(&mut self, with: SocketAddr) {
        self.end_repair(with);
        if let Some(link) = self.links.iter_mut().find(|link| link.address == with) {
            link.synchronized = true;
            link.bucket_differences = None;
            self.joined = true;
        }
    }

    fn end_repair(&mut self, with: SocketAddr) {
        self.repair.take_if(|repair| repair.with == with);
    }
}

fn apply_records(
    now: Instant,
    from: SocketAddr,
    records: Vec<RecordFrame>,
    store: &mut RecordStore,
    effects: &mut Effects,
) -> RepairOutcome {
    let mut outcome = RepairOutcome::default();
    let mut newer_here = RepairBatch::default();
    for record in records {
        let id = record.id();
        match store.apply_remote(now, record) {
            Ok(ApplyOutcome::Applied(record)) => {
                outcome.applied.push(RecordVersion {
                    id,
                    version: record.version,
                });
                effects.push(Effect::Applied(record));
            }
            Ok(ApplyOutcome::Stale) => {
                newer_here.add(id, || store.frame_for_stale_peer(now, id));
            }
            Ok(ApplyOutcome::Duplicate) | Err(_) => (),
        }
        outcome.received.push(id);
    }
    if !newer_here.is_empty() {
        effects.send(from, &newer_here.into_message());
    }
    outcome
}

/// One side of a link, as the choice of the initiator sees it.
#[derive(Debug)]
struct Side {
    address: SocketAddr,
    record_count: u64,
}

impl Side {
    /// Whether this side initiates the repair: the one with far fewer records, which costs the
    /// fewest versions, else the one with the lower address. Both sides come to the same result,
    /// although their counts are of different times.
    fn initiates_repair(&self, other: &Side) -> bool {
        let has_far_fewer = self.record_count < other.record_count / 2;
        let other_has_far_fewer = other.record_count < self.record_count / 2;
        has_far_fewer || (!other_has_far_fewer && self.address < other.address)
    }
}
