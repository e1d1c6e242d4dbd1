//! Comparison of two neighbours' tables, and repair of what one of them lacks.
//!
//! A ping carries the hash of the whole table, and the hashes of its buckets when the neighbour's last ping told another
//! hash than the table had then. New records on their way make hashes differ for a moment; a bucket is therefore gone
//! into only when it, or the whole table, differs by the same at two pings in a row, or when the link is new. Then one
//! side, the one with the lower address or with far fewer records, lists the versions it has in these buckets; the other
//! side answers with what is newer there and fetches what is newer here.

use crate::broadcast::Broadcast;
use crate::codec::{CarriedRecord, Stamp, record_id};
use crate::effects::{Effect, Effects, MESSAGE_BYTES};
use crate::message::Message;
use crate::table::{BUCKETS, Put, RecordStore, Table, bucket_of};
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How often neighbours send a sign of life with a digest.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);
/// A repair that has not ended by then makes way for another one.
const REPAIR_TIME: Duration = Duration::from_secs(1);
/// How many versions a listing holds at most.
const MOST_LISTED: usize = MESSAGE_BYTES / 20;

/// A sign of life with a digest of the table.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Ping {
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
pub struct Listing {
    /// The buckets.
    #[n(0)]
    pub buckets: ByteVec,
    /// All that they hold.
    #[n(1)]
    pub stamps: Vec<Stamp>,
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
    pub records: Vec<CarriedRecord>,
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
    compared: bool,
    /// By what each bucket differed at the last ping, if it told.
    differences: Vec<u32>,
}

/// The comparisons of one process with its neighbours.
#[derive(Debug, Default)]
pub struct Digests {
    links: Vec<Link>,
    repair: Option<(SocketAddr, Instant)>,
    joined: bool,
}

impl Digests {
    /// Whether the table has been compared with at least one neighbour's and what was lacking has come.
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// A link is new, or messages on it were lost: both sides send a digest.
    pub fn link_up(&mut self, address: SocketAddr, store: &RecordStore, effects: &mut Effects) {
        self.link_down(address);
        self.links.push(Link {
            address,
            difference: 0,
            compared: false,
            differences: Vec::new(),
        });
        effects.send(address, &ping(store.table(), true));
    }

    /// A link is gone.
    pub fn link_down(&mut self, address: SocketAddr) {
        self.links.retain(|link| link.address != address);
        if self.repair.is_some_and(|(with, _)| with == address) {
            self.repair = None;
        }
    }

    /// Sends each neighbour a sign of life.
    pub fn ping_all(&self, store: &RecordStore, effects: &mut Effects) {
        let table = store.table();
        let (same, differing): (Vec<_>, Vec<_>) =
            self.links.iter().partition(|link| link.difference == 0);
        let addresses =
            |links: Vec<&Link>| links.iter().map(|link| link.address).collect::<Vec<_>>();
        if !same.is_empty() {
            effects.send_all(&addresses(same), &ping(table, false));
        }
        if !differing.is_empty() {
            effects.send_all(&addresses(differing), &ping(table, true));
        }
    }

    /// A neighbour's digest.
    pub fn on_ping(
        &mut self,
        now: Instant,
        from: SocketAddr,
        own: SocketAddr,
        ping: Ping,
        store: &RecordStore,
        effects: &mut Effects,
    ) {
        let table = store.table();
        let Some(link) = self.links.iter_mut().find(|link| link.address == from) else {
            return;
        };
        let difference = ping.hash ^ table.hash();
        let steady = link.difference == difference;
        link.difference = difference;
        if difference == 0 {
            link.differences.clear();
            link.compared = true;
            self.joined = true;
            return;
        }
        if ping.buckets.len() != BUCKETS * 4 {
            return;
        }
        let before = std::mem::take(&mut link.differences);
        link.differences = differences(table, &ping.buckets);
        let lasting = |&bucket: &usize| {
            let difference = link.differences[bucket];
            difference != 0 && (!link.compared || steady || before.get(bucket) == Some(&difference))
        };
        let buckets: Vec<_> = (0..BUCKETS).filter(lasting).collect();
        let lists = lists(table.len() as u64, own, ping.records, from);
        let busy = self.repair.is_some_and(|(_, until)| now < until);
        if lists && !busy && !buckets.is_empty() {
            self.repair = Some((from, now + REPAIR_TIME));
            effects.send(from, &listing(table, &buckets));
        }
    }

    /// A neighbour lists what it has: it gets what is newer here, and is asked for what is newer there.
    pub fn on_listing(
        &mut self,
        now: Instant,
        from: SocketAddr,
        listing: Listing,
        store: &RecordStore,
        effects: &mut Effects,
    ) {
        let theirs: FxHashMap<u64, u64> =
            listing.stamps.iter().map(|s| (s.id, s.version)).collect();
        let mut answer = Answer::default();
        let mut buckets: Vec<_> = listing.buckets.iter().map(|&b| usize::from(b)).collect();
        buckets.sort_unstable();
        buckets.dedup();
        for bucket in buckets.into_iter().filter(|&bucket| bucket < BUCKETS) {
            for stamp in store
                .table()
                .stamps(bucket)
                .filter(|stamp| !theirs.contains_key(&stamp.id))
            {
                answer.add(bucket, || store.carry(now, stamp.id));
            }
        }
        let mut fetch = Vec::new();
        for (&id, &version) in &theirs {
            match store.version(id) {
                Some(known) if known > version => {
                    answer.add(bucket_of(id), || store.carry_to_older(now, id));
                }
                Some(known) if known == version => (),
                _ => fetch.push(id),
            }
        }
        effects.send(from, &answer.into_message());
        if fetch.is_empty() {
            self.finish(from);
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
        let mut answer = Answer::default();
        for id in fetch.ids.into_iter().take(MOST_LISTED) {
            answer.add(bucket_of(id), || store.carry(now, id));
        }
        effects.send(from, &answer.into_message());
    }

    /// A neighbour hands over records that were lacking here.
    pub fn on_records(
        &mut self,
        now: Instant,
        from: SocketAddr,
        records: Records,
        store: &mut RecordStore,
        broadcast: &mut Broadcast,
        effects: &mut Effects,
    ) {
        let mut fresh = Vec::new();
        let mut answer = Answer::default();
        for record in records.records {
            let id = record_id(&record.key);
            match store.take(now, record) {
                Some(Put::InForce(record)) => {
                    fresh.push(Stamp {
                        id,
                        version: record.version,
                    });
                    effects.push(Effect::InForce(record));
                }
                Some(Put::Older) => answer.add(bucket_of(id), || store.carry_to_older(now, id)),
                Some(Put::Known) | None => (),
            }
            broadcast.settle(id, store);
        }
        if !answer.records.is_empty() {
            effects.send(from, &answer.into_message());
        }
        if self.joined {
            broadcast.announce_repaired(now, &fresh, from);
        }
        let unfinished: Vec<_> = records.unfinished.iter().map(|&b| usize::from(b)).collect();
        if unfinished.is_empty() || fresh.is_empty() {
            self.finish(from);
        } else {
            self.repair = Some((from, now + REPAIR_TIME));
            let buckets: Vec<_> = unfinished
                .into_iter()
                .filter(|&bucket| bucket < BUCKETS)
                .collect();
            effects.send(from, &self::listing(store.table(), &buckets));
        }
    }

    /// A repair with a neighbour has ended.
    fn finish(&mut self, with: SocketAddr) {
        if self.repair.is_some_and(|(repairing, _)| repairing == with) {
            self.repair = None;
        }
        if let Some(link) = self.links.iter_mut().find(|link| link.address == with) {
            link.compared = true;
            link.differences.clear();
            self.joined = true;
        }
    }
}

/// Records that are handed over, up to the bound of a message.
#[derive(Default)]
struct Answer {
    records: Vec<CarriedRecord>,
    bytes: usize,
    unfinished: Vec<u8>,
}

impl Answer {
    fn add(&mut self, bucket: usize, record: impl FnOnce() -> Option<CarriedRecord>) {
        if self.unfinished.contains(&(bucket as u8)) {
            return;
        }
        let Some(record) = record() else { return };
        let size = record.size();
        if self.bytes > 0 && self.bytes + size > MESSAGE_BYTES {
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
fn lists(own_records: u64, own: SocketAddr, their_records: u64, other: SocketAddr) -> bool {
    let own_far_fewer = own_records < their_records / 2;
    let theirs_far_fewer = their_records < own_records / 2;
    own_far_fewer || (!theirs_far_fewer && own < other)
}

fn ping(table: &Table, with_buckets: bool) -> Message {
    let hashes = || (0..BUCKETS).flat_map(|bucket| table.bucket_hash(bucket).to_be_bytes());
    let buckets = if with_buckets {
        hashes().collect::<Vec<_>>()
    } else {
        Vec::new()
    };
    Message::Ping(Ping {
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
fn listing(table: &Table, buckets: &[usize]) -> Message {
    let (mut listed, mut stamps) = (Vec::new(), Vec::new());
    for &bucket in buckets {
        if !listed.is_empty() && stamps.len() + table.bucket_len(bucket) > MOST_LISTED {
            break;
        }
        listed.push(bucket as u8);
        stamps.extend(table.stamps(bucket));
    }
    Message::Listing(Listing {
        buckets: listed.into(),
        stamps,
    })
}
