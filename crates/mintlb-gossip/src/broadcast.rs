//! The broadcast tree: new records go at once down the tree's links and are announced on the others.
//!
//! A link starts as part of the tree. A neighbour that gets only what it has already takes the link out of the tree
//! (prune); one that hears an announcement of something it hasn't got soon after puts it in and asks for the record
//! (graft). A dead relay therefore costs one announcement interval and one wait.

use crate::codec::{RecordFrame, RecordVersion, record_id};
use crate::effects::{Effect, Effects, MAX_MESSAGE_BYTES};
use crate::message::Message;
use crate::table::{ApplyOutcome, RecordStore};
use minicbor::{Decode, Encode};
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How long announcements are gathered before they are sent.
pub const IHAVE_INTERVAL: Duration = Duration::from_millis(100);
/// How long an announced record may still come down the tree before it is asked for.
pub const GRAFT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a neighbour that was asked has to send a record before another one is asked.
pub const GRAFT_RETRY_TIMEOUT: Duration = Duration::from_millis(300);

/// How many announcements wait for one link at most; what is beyond is left to the digests.
const MAX_QUEUED_IHAVES: usize = 2048;
/// How many announced records are waited for at most.
const MAX_MISSING: usize = 8192;
/// How many neighbours are remembered as sources of one record.
const MAX_ANNOUNCERS: usize = 4;

/// New records down the tree.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Gossip {
    /// The records.
    #[n(0)]
    pub records: Vec<RecordFrame>,
    /// The receiver is to confirm that it has them.
    #[n(1)]
    pub request_ack: bool,
}

/// What the sender has newly got.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct IHave {
    /// Which versions of which records.
    #[n(0)]
    pub versions: Vec<RecordVersion>,
}

/// Makes the link part of the tree and asks for records.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Graft {
    /// The records that are wanted.
    #[n(0)]
    pub ids: Vec<u64>,
}

/// A record whose receipt is to be confirmed, outside the tree.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct DirectPush {
    /// The record.
    #[n(0)]
    pub record: RecordFrame,
}

/// Confirms that the sender has records.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Ack {
    /// Which versions of which records.
    #[n(0)]
    pub versions: Vec<RecordVersion>,
}

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    eager: bool,
    pending_ihaves: Vec<RecordVersion>,
}

#[derive(Debug)]
struct Missing {
    version: u64,
    announcers: Vec<SocketAddr>,
    due: Instant,
}

/// The links of one process and what it waits for.
#[derive(Debug, Default)]
pub struct BroadcastTree {
    links: Vec<Link>,
    missing: FxHashMap<u64, Missing>,
    ihave_at: Option<Instant>,
    graft_at: Option<Instant>,
}

impl BroadcastTree {
    /// A link is new; it starts as part of the tree.
    pub fn neighbor_up(&mut self, address: SocketAddr) {
        self.neighbor_down(address);
        self.links.push(Link {
            address,
            eager: true,
            pending_ihaves: Vec::new(),
        });
    }

    /// A link is gone.
    pub fn neighbor_down(&mut self, address: SocketAddr) {
        self.links.retain(|link| link.address != address);
    }

    /// How many links are part of the tree.
    pub fn eager_link_count(&self) -> usize {
        self.links.iter().filter(|link| link.eager).count()
    }

    /// When announcements or grafts are due, if there are any.
    pub fn deadline(&self) -> Option<Instant> {
        self.ihave_at.into_iter().chain(self.graft_at).min()
    }

    /// Sends records down the tree and announces them on the other links, but not to where they came from.
    pub fn broadcast(
        &mut self,
        now: Instant,
        records: Vec<RecordFrame>,
        from: Option<SocketAddr>,
        request_ack: bool,
        effects: &mut Effects,
    ) {
        let versions: Vec<_> = records
            .iter()
            .map(|record| RecordVersion {
                id: record_id(&record.key),
                version: record.version,
            })
            .collect();
        let tree = self
            .links
            .iter()
            .filter(|link| link.eager && Some(link.address) != from);
        let tree: Vec<_> = tree.map(|link| link.address).collect();
        for records in split(records) {
            effects.send_all(
                &tree,
                &Message::Gossip(Gossip {
                    records,
                    request_ack,
                }),
            );
        }
        self.queue_ihave(now, &versions, from, |link| !link.eager);
    }

    /// Announces records that came by a repair on all other links.
    pub fn announce_repaired(
        &mut self,
        now: Instant,
        versions: &[RecordVersion],
        from: SocketAddr,
    ) {
        self.queue_ihave(now, versions, Some(from), |_| true);
    }

    fn queue_ihave(
        &mut self,
        now: Instant,
        versions: &[RecordVersion],
        from: Option<SocketAddr>,
        wanted: impl Fn(&Link) -> bool,
    ) {
        for link in &mut self.links {
            if Some(link.address) != from && wanted(link) {
                let has_capacity =
                    MAX_QUEUED_IHAVES - link.pending_ihaves.len().min(MAX_QUEUED_IHAVES);
                link.pending_ihaves
                    .extend(versions.iter().take(has_capacity));
                if !link.pending_ihaves.is_empty() {
                    self.ihave_at.get_or_insert(now + IHAVE_INTERVAL);
                }
            }
        }
    }

    /// Records have come down the tree.
    pub fn on_gossip(
        &mut self,
        now: Instant,
        from: SocketAddr,
        push: Gossip,
        store: &mut RecordStore,
        effects: &mut Effects,
    ) {
        let (mut fresh, mut versions, mut known) = (Vec::new(), Vec::new(), 0);
        for record in push.records {
            let id = record_id(&record.key);
            match store.apply_remote(now, record) {
                Some(ApplyOutcome::Applied(record)) => {
                    effects.push(Effect::Applied(record));
                    fresh.extend(store.frame(now, id));
                }
                Some(ApplyOutcome::Duplicate) => known += 1,
                Some(ApplyOutcome::Stale) | None => (),
            }
            self.on_delivered(id, store);
            versions.extend(
                store
                    .version(id)
                    .map(|version| RecordVersion { id, version }),
            );
        }
        if push.request_ack && !versions.is_empty() {
            effects.send(from, &Message::Ack(Ack { versions }));
        }
        let link = self.links.iter_mut().find(|link| link.address == from);
        match link {
            Some(link) if !fresh.is_empty() => link.eager = true,
            Some(link) if known > 0 => {
                link.eager = false;
                effects.send(from, &Message::Prune);
            }
            _ => (),
        }
        if !fresh.is_empty() {
            self.broadcast(now, fresh, Some(from), false, effects);
        }
    }

    /// A neighbour takes the link out of the tree.
    pub fn on_prune(&mut self, from: SocketAddr) {
        if let Some(link) = self.links.iter_mut().find(|link| link.address == from) {
            link.eager = false;
        }
    }

    /// A neighbour has records that may not be known here yet.
    pub fn on_ihave(
        &mut self,
        now: Instant,
        from: SocketAddr,
        queue_ihave: IHave,
        store: &RecordStore,
    ) {
        for record_version in queue_ihave.versions.into_iter().take(MAX_QUEUED_IHAVES) {
            if store
                .version(record_version.id)
                .is_some_and(|version| version >= record_version.version)
            {
                continue;
            }
            let due = now + GRAFT_TIMEOUT;
            let full = self.missing.len() >= MAX_MISSING;
            match self.missing.get_mut(&record_version.id) {
                Some(missing) if record_version.version > missing.version => {
                    *missing = Missing {
                        version: record_version.version,
                        announcers: vec![from],
                        due,
                    };
                }
                Some(missing) if record_version.version < missing.version => continue,
                Some(missing) => {
                    if missing.announcers.len() < MAX_ANNOUNCERS
                        && !missing.announcers.contains(&from)
                    {
                        missing.announcers.push(from);
                    }
                }
                None if full => continue,
                None => {
                    let missing = Missing {
                        version: record_version.version,
                        announcers: vec![from],
                        due,
                    };
                    self.missing.insert(record_version.id, missing);
                }
            }
            self.graft_at = Some(self.graft_at.map_or(due, |at| at.min(due)));
        }
    }

    /// A neighbour puts the link into the tree and wants records.
    pub fn on_graft(
        &mut self,
        now: Instant,
        from: SocketAddr,
        graft: Graft,
        store: &RecordStore,
        effects: &mut Effects,
    ) {
        if let Some(link) = self.links.iter_mut().find(|link| link.address == from) {
            link.eager = true;
        }
        let wanted = graft.ids.into_iter().take(MAX_QUEUED_IHAVES);
        let mut bytes = 0;
        let records = wanted
            .filter_map(|id| store.frame(now, id))
            .take_while(|record| {
                let fits = bytes == 0 || bytes + record.size() <= MAX_MESSAGE_BYTES;
                bytes += record.size();
                fits
            });
        let records: Vec<_> = records.collect();
        if !records.is_empty() {
            effects.send(
                from,
                &Message::Gossip(Gossip {
                    records,
                    request_ack: false,
                }),
            );
        }
    }

    /// A record has come, by whatever way.
    pub fn on_delivered(&mut self, id: u64, store: &RecordStore) {
        if self
            .missing
            .get(&id)
            .is_some_and(|missing| store.version(id) >= Some(missing.version))
        {
            self.missing.remove(&id);
        }
    }

    /// Sends what is due.
    pub fn tick(&mut self, now: Instant, effects: &mut Effects) {
        if self.ihave_at.is_some_and(|at| now >= at) {
            self.ihave_at = None;
            for link in &mut self.links {
                if !link.pending_ihaves.is_empty() {
                    let versions = std::mem::take(&mut link.pending_ihaves);
                    effects.send(link.address, &Message::IHave(IHave { versions }));
                }
            }
        }
        if self.graft_at.is_some_and(|at| now >= at) {
            self.graft(now, effects);
        }
    }

    fn graft(&mut self, now: Instant, effects: &mut Effects) {
        let mut wanted: Vec<(SocketAddr, Vec<u64>)> = Vec::new();
        let links = &self.links;
        self.missing.retain(|&id, missing| {
            if now < missing.due {
                return true;
            }
            missing
                .announcers
                .retain(|source| links.iter().any(|link| link.address == *source));
            if missing.announcers.is_empty() {
                return false;
            }
            let source = missing.announcers.remove(0);
            missing.due = now + GRAFT_RETRY_TIMEOUT;
            match wanted.iter_mut().find(|(address, _)| *address == source) {
                Some((_, ids)) => ids.push(id),
                None => wanted.push((source, vec![id])),
            }
            true
        });
        self.graft_at = self.missing.values().map(|missing| missing.due).min();
        for (source, ids) in wanted {
            if let Some(link) = self.links.iter_mut().find(|link| link.address == source) {
                link.eager = true;
            }
            effects.send(source, &Message::Graft(Graft { ids }));
        }
    }
}

/// Splits records into messages of bounded size.
fn split(records: Vec<RecordFrame>) -> Vec<Vec<RecordFrame>> {
    let mut messages: Vec<Vec<RecordFrame>> = Vec::new();
    let mut bytes = 0;
    for record in records {
        bytes += record.size();
        match messages.last_mut() {
            Some(last) if bytes <= MAX_MESSAGE_BYTES => last.push(record),
            _ => {
                bytes = record.size();
                messages.push(vec![record]);
            }
        }
    }
    messages
}
