//! Comparison of two neighbours' tables, and repair of what one of them lacks.
//!
//! A ping carries the hash of the whole table, and the hashes of its buckets when the neighbour's last ping told another
//! hash than the table had then. New records on their way make hashes differ for a moment; a bucket is therefore gone
//! into only when it, or the whole table, differs by the same at two pings in a row, or when the link is new. Then one
//! side, the one with the lower address or with far fewer records, lists the versions it has in these buckets; the other
//! side answers with what is newer there and fetches what is newer here.

use crate::broadcast::BroadcastTree;
use crate::codec::{RecordFrame, RecordVersion, record_id};
use crate::effects::{Effect, Effects, MAX_MESSAGE_BYTES};
use crate::message::Message;
use crate::table::{ApplyOutcome, BUCKETS, RecordStore, Table, bucket_of};
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How often neighbours send a sign of life with a digest.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// A repair that has not ended by then makes way for another one.
const REPAIR_TIMEOUT: Duration = Duration::from_secs(1);
/// How many versions a listing holds at most.
const MAX_LISTED_VERSIONS: usize = MAX_MESSAGE_BYTES / 20;

/// A sign of life with a digest of the table.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Heartbeat {
    /// The hash of the whole table.
    #[n(0)]
    pub hash: u64,
    /// How many records the table holds.
    #[n(1)]
    pub records: u64,
    /// Four bytes of hash a bucket, or nothing if the receiver's table seemed the same.
    #[n(2)]
    pub buckets: ByteVec,
}

/// What the sender has in some buckets.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct BucketVersions {
    /// The buckets.
    #[n(0)]
    pub buckets: ByteVec,
    /// All that they hold.
    #[n(1)]
    pub versions: Vec<RecordVersion>,
}

/// Asks for records.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Fetch {
    /// Which ones.
    #[n(0)]
    pub ids: Vec<u64>,
}

/// Records that the receiver lacked.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Records {
    /// The records.
    #[n(0)]
    pub records: Vec<RecordFrame>,
    /// The buckets of what did not fit in; the receiver lists them again.
    #[n(1)]
    pub unfinished: ByteVec,
}

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    /// By what the table's hash differed from the neighbour's at its last ping; 0 if it was the same.
    difference: u64,
    /// Whether the tables were once the same or a repair has ended.
    synchronized: bool,
    /// By what each bucket differed at the last ping, if it told.
    differences: Vec<u32>,
}

/// The comparisons of one process with its neighbours.
#[derive(Debug, Default)]
pub struct AntiEntropy {
    links: Vec<Link>,
    repair: Option<(SocketAddr, Instant)>,
    joined: bool,
}

impl AntiEntropy {
    /// Whether the table has been compared with at least one neighbour's and what was lacking has come.
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// A link is new, or messages on it were lost: both sides send a digest.
    pub fn neighbor_up(&mut self, address: SocketAddr, store: &RecordStore, effects: &mut Effects) {
        self.neighbor_down(address);
        self.links.push(Link {
            address,
            difference: 0,
            synchronized: false,
            differences: Vec::new(),
        });
        effects.send(address, &heartbeat(store.table(), true));
    }

    /// A link is gone.
    pub fn neighbor_down(&mut self, address: SocketAddr) {
        self.links.retain(|link| link.address != address);
        if self.repair.is_some_and(|(with, _)| with == address) {
            self.repair = None;
        }
    }

    /// Sends each neighbour a sign of life.
    pub fn send_heartbeats(&self, store: &RecordStore, effects: &mut Effects) {
        let table = store.table();
        let (same, differing): (Vec<_>, Vec<_>) =
            self.links.iter().partition(|link| link.difference == 0);
        let addresses =
            |links: Vec<&Link>| links.iter().map(|link| link.address).collect::<Vec<_>>();
        if !same.is_empty() {
            effects.send_all(&addresses(same), &heartbeat(table, false));
        }
        if !differing.is_empty() {
            effects.send_all(&addresses(differing), &heartbeat(table, true));
        }
    }

    /// A neighbour's digest.
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
        let difference = heartbeat.hash ^ table.hash();
        let steady = link.difference == difference;
        link.difference = difference;
        if difference == 0 {
            link.differences.clear();
            link.synchronized = true;
            self.joined = true;
            return;
        }
        if heartbeat.buckets.len() != BUCKETS * 4 {
            return;
        }
        let before = std::mem::take(&mut link.differences);
        link.differences = differences(table, &heartbeat.buckets);
        let lasting = |&bucket: &usize| {
            let difference = link.differences[bucket];
            difference != 0
                && (!link.synchronized || steady || before.get(bucket) == Some(&difference))
        };
        let buckets: Vec<_> = (0..BUCKETS).filter(lasting).collect();
        let is_repair_initiator =
            is_repair_initiator(table.len() as u64, own, heartbeat.records, from);
        let busy = self.repair.is_some_and(|(_, until)| now < until);
        if is_repair_initiator && !busy && !buckets.is_empty() {
            self.repair = Some((from, now + REPAIR_TIMEOUT));
            effects.send(from, &bucket_versions(table, &buckets));
        }
    }

    /// A neighbour lists what it has: it gets what is newer here, and is asked for what is newer there.
    pub fn on_bucket_versions(
        &mut self,
        now: Instant,
        from: SocketAddr,
        bucket_versions: BucketVersions,
        store: &RecordStore,
        effects: &mut Effects,
    ) {
        let theirs: FxHashMap<u64, u64> = bucket_versions
            .versions
            .iter()
            .map(|s| (s.id, s.version))
            .collect();
        let mut reply = RepairReply::default();
        let mut buckets: Vec<_> = bucket_versions
            .buckets
            .iter()
            .map(|&b| usize::from(b))
            .collect();
        buckets.sort_unstable();
        buckets.dedup();
        for bucket in buckets.into_iter().filter(|&bucket| bucket < BUCKETS) {
            for record_version in store
                .table()
                .versions(bucket)
                .filter(|record_version| !theirs.contains_key(&record_version.id))
            {
                reply.add(bucket, || store.frame(now, record_version.id));
            }
        }
        let mut fetch = Vec::new();
        for (&id, &version) in &theirs {
            match store.version(id) {
                Some(known) if known > version => {
                    reply.add(bucket_of(id), || store.frame_for_stale_peer(now, id));
                }
                Some(known) if known == version => (),
                _ => fetch.push(id),
            }
        }
        effects.send(from, &reply.into_message());
        if fetch.is_empty() {
            self.complete_repair(from);
        } else {
            effects.send(from, &Message::Fetch(Fetch { ids: fetch }));
        }
    }

    /// A neighbour wants records.
    pub fn on_fetch(
        &mut self,
        now: Instant,
        from: SocketAddr,
        fetch: Fetch,
        store: &RecordStore,
        effects: &mut Effects,
    ) {
        let mut reply = RepairReply::default();
        for id in fetch.ids.into_iter().take(MAX_LISTED_VERSIONS) {
            reply.add(bucket_of(id), || store.frame(now, id));
        }
        effects.send(from, &reply.into_message());
    }

    /// A neighbour hands over records that were lacking here.
    pub fn on_records(
        &mut self,
        now: Instant,
        from: SocketAddr,
        records: Records,
        store: &mut RecordStore,
        broadcast: &mut BroadcastTree,
        effects: &mut Effects,
    ) {
        let mut fresh = Vec::new();
        let mut reply = RepairReply::default();
        for record in records.records {
            let id = record_id(&record.key);
            match store.apply_remote(now, record) {
                Some(ApplyOutcome::Applied(record)) => {
                    fresh.push(RecordVersion {
                        id,
                        version: record.version,
                    });
                    effects.push(Effect::Applied(record));
                }
                Some(ApplyOutcome::Stale) => {
                    reply.add(bucket_of(id), || store.frame_for_stale_peer(now, id))
                }
                Some(ApplyOutcome::Duplicate) | None => (),
            }
            broadcast.on_delivered(id, store);
        }
        if !reply.records.is_empty() {
            effects.send(from, &reply.into_message());
        }
        if self.joined {
            broadcast.announce_repaired(now, &fresh, from);
        }
        let unfinished: Vec<_> = records.unfinished.iter().map(|&b| usize::from(b)).collect();
        if unfinished.is_empty() || fresh.is_empty() {
            self.complete_repair(from);
        } else {
            self.repair = Some((from, now + REPAIR_TIMEOUT));
            let buckets: Vec<_> = unfinished
                .into_iter()
                .filter(|&bucket| bucket < BUCKETS)
                .collect();
            effects.send(from, &self::bucket_versions(store.table(), &buckets));
        }
    }

    /// A repair with a neighbour has ended.
    fn complete_repair(&mut self, with: SocketAddr) {
        if self.repair.is_some_and(|(repairing, _)| repairing == with) {
            self.repair = None;
        }
        if let Some(link) = self.links.iter_mut().find(|link| link.address == with) {
            link.synchronized = true;
            link.differences.clear();
            self.joined = true;
        }
    }
}

/// Records that are handed over, up to the bound of a message.
#[derive(Default)]
struct RepairReply {
    records: Vec<RecordFrame>,
    bytes: usize,
    unfinished: Vec<u8>,
}

impl RepairReply {
    fn add(&mut self, bucket: usize, record: impl FnOnce() -> Option<RecordFrame>) {
        if self.unfinished.contains(&(bucket as u8)) {
            return;
        }
        let Some(record) = record() else { return };
        let size = record.size();
        if self.bytes > 0 && self.bytes + size > MAX_MESSAGE_BYTES {
            return self.unfinished.push(bucket as u8);
        }
        self.bytes += size;
        self.records.push(record);
    }

    fn into_message(self) -> Message {
        Message::Records(Records {
            records: self.records,
            unfinished: self.unfinished.into(),
        })
    }
}

/// Which side of a link lists. Both sides come to the same, although their counts are of different moments.
fn is_repair_initiator(
    own_records: u64,
    own: SocketAddr,
    their_records: u64,
    other: SocketAddr,
) -> bool {
    let own_far_fewer = own_records < their_records / 2;
    let theirs_far_fewer = their_records < own_records / 2;
    own_far_fewer || (!theirs_far_fewer && own < other)
}

fn heartbeat(table: &Table, with_buckets: bool) -> Message {
    let hashes = || (0..BUCKETS).flat_map(|bucket| table.bucket_hash(bucket).to_be_bytes());
    let buckets = if with_buckets {
        hashes().collect::<Vec<_>>()
    } else {
        Vec::new()
    };
    Message::Heartbeat(Heartbeat {
        hash: table.hash(),
        records: table.len() as u64,
        buckets: buckets.into(),
    })
}

fn differences(table: &Table, theirs: &[u8]) -> Vec<u32> {
    let hashes = theirs
        .chunks_exact(4)
        .map(|hash| u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]));
    hashes
        .enumerate()
        .map(|(bucket, hash)| hash ^ table.bucket_hash(bucket))
        .collect()
}

/// As many of the buckets as fit into a message.
fn bucket_versions(table: &Table, buckets: &[usize]) -> Message {
    let (mut listed_buckets, mut versions) = (Vec::new(), Vec::new());
    for &bucket in buckets {
        if !listed_buckets.is_empty()
            && versions.len() + table.bucket_len(bucket) > MAX_LISTED_VERSIONS
        {
            break;
        }
        listed_buckets.push(bucket as u8);
        versions.extend(table.versions(bucket));
    }
    Message::BucketVersions(BucketVersions {
        buckets: listed_buckets.into(),
        versions,
    })
}
