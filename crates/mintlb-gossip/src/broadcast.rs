//! The broadcast tree: new records go at once down the tree's links and are announced on the others.
//!
//! A link starts as part of the tree. A neighbour that gets only what it has already takes the link out of the tree
//! (prune); one that hears an announcement of something it hasn't got soon after puts it in and asks for the record
//! (graft). A dead relay therefore costs one announcement interval and one wait.

use crate::codec::{CarriedRecord, Stamp, record_id};
use crate::effects::{Effect, Effects, MESSAGE_BYTES};
use crate::message::Message;
use crate::table::{Put, RecordStore};
use minicbor::{Decode, Encode};
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How long announcements are gathered before they are sent.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);
/// How long an announced record may still come down the tree before it is asked for.
pub const GRAFT_DELAY: Duration = Duration::from_millis(150);
/// How long a neighbour that was asked has to send a record before another one is asked.
pub const GRAFT_RETRY: Duration = Duration::from_millis(300);

/// How many announcements wait for one link at most; what is beyond is left to the digests.
const MOST_ANNOUNCEMENTS: usize = 2048;
/// How many announced records are waited for at most.
const MOST_MISSING: usize = 8192;
/// How many neighbours are remembered as sources of one record.
const MOST_SOURCES: usize = 4;

/// New records down the tree.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Push {
    /// The records.
    #[n(0)]
    pub records: Vec<CarriedRecord>,
    /// The receiver is to confirm that it has them.
    #[n(1)]
    pub confirm: bool,
}

/// What the sender has newly got.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Announce {
    /// Which versions of which records.
    #[n(0)]
    pub stamps: Vec<Stamp>,
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
pub struct Offer {
    /// The record.
    #[n(0)]
    pub record: CarriedRecord,
}

/// Confirms that the sender has records.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Have {
    /// Which versions of which records.
    #[n(0)]
    pub stamps: Vec<Stamp>,
}

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    in_tree: bool,
    announcements: Vec<Stamp>,
}

#[derive(Debug)]
struct Missing {
    version: u64,
    sources: Vec<SocketAddr>,
    due: Instant,
}

/// The links of one process and what it waits for.
#[derive(Debug, Default)]
pub struct Broadcast {
    links: Vec<Link>,
    missing: FxHashMap<u64, Missing>,
    announce_at: Option<Instant>,
    graft_at: Option<Instant>,
}

impl Broadcast {
    /// A link is new; it starts as part of the tree.
    pub fn link_up(&mut self, address: SocketAddr) {
        self.link_down(address);
        self.links.push(Link {
            address,
            in_tree: true,
            announcements: Vec::new(),
        });
    }

    /// A link is gone.
    pub fn link_down(&mut self, address: SocketAddr) {
        self.links.retain(|link| link.address != address);
    }

    /// How many links are part of the tree.
    pub fn tree_links(&self) -> usize {
        self.links.iter().filter(|link| link.in_tree).count()
    }

    /// When announcements or grafts are due, if there are any.
    pub fn deadline(&self) -> Option<Instant> {
        self.announce_at.into_iter().chain(self.graft_at).min()
    }

    /// Sends records down the tree and announces them on the other links, but not to where they came from.
    pub fn spread(
        &mut self,
        now: Instant,
        records: Vec<CarriedRecord>,
        from: Option<SocketAddr>,
        confirm: bool,
        effects: &mut Effects,
    ) {
        let stamps: Vec<_> = records
            .iter()
            .map(|record| Stamp {
                id: record_id(&record.key),
                version: record.version,
            })
            .collect();
        let tree = self
            .links
            .iter()
            .filter(|link| link.in_tree && Some(link.address) != from);
        let tree: Vec<_> = tree.map(|link| link.address).collect();
        for records in split(records) {
            effects.send_all(&tree, &Message::Push(Push { records, confirm }));
        }
        self.announce(now, &stamps, from, |link| !link.in_tree);
    }

    /// Announces records that came by a repair on all other links.
    pub fn announce_repaired(&mut self, now: Instant, stamps: &[Stamp], from: SocketAddr) {
        self.announce(now, stamps, Some(from), |_| true);
    }

    fn announce(
        &mut self,
        now: Instant,
        stamps: &[Stamp],
        from: Option<SocketAddr>,
        wanted: impl Fn(&Link) -> bool,
    ) {
        for link in &mut self.links {
            if Some(link.address) != from && wanted(link) {
                let room = MOST_ANNOUNCEMENTS - link.announcements.len().min(MOST_ANNOUNCEMENTS);
                link.announcements.extend(stamps.iter().take(room));
                if !link.announcements.is_empty() {
                    self.announce_at.get_or_insert(now + ANNOUNCE_INTERVAL);
                }
            }
        }
    }

    /// Records have come down the tree.
    pub fn on_push(
        &mut self,
        now: Instant,
        from: SocketAddr,
        push: Push,
        store: &mut RecordStore,
        effects: &mut Effects,
    ) {
        let (mut fresh, mut stamps, mut known) = (Vec::new(), Vec::new(), 0);
        for record in push.records {
            let id = record_id(&record.key);
            match store.take(now, record) {
                Some(Put::InForce(record)) => {
                    effects.push(Effect::InForce(record));
                    fresh.extend(store.carry(now, id));
                }
                Some(Put::Known) => known += 1,
                Some(Put::Older) | None => (),
            }
            self.settle(id, store);
            stamps.extend(store.version(id).map(|version| Stamp { id, version }));
        }
        if push.confirm && !stamps.is_empty() {
            effects.send(from, &Message::Have(Have { stamps }));
        }
        let link = self.links.iter_mut().find(|link| link.address == from);
        match link {
            Some(link) if !fresh.is_empty() => link.in_tree = true,
            Some(link) if known > 0 => {
                link.in_tree = false;
                effects.send(from, &Message::Prune);
            }
            _ => (),
        }
        if !fresh.is_empty() {
            self.spread(now, fresh, Some(from), false, effects);
        }
    }

    /// A neighbour takes the link out of the tree.
    pub fn on_prune(&mut self, from: SocketAddr) {
        if let Some(link) = self.links.iter_mut().find(|link| link.address == from) {
            link.in_tree = false;
        }
    }

    /// A neighbour has records that may not be known here yet.
    pub fn on_announce(
        &mut self,
        now: Instant,
        from: SocketAddr,
        announce: Announce,
        store: &RecordStore,
    ) {
        for stamp in announce.stamps.into_iter().take(MOST_ANNOUNCEMENTS) {
            if store
                .version(stamp.id)
                .is_some_and(|version| version >= stamp.version)
            {
                continue;
            }
            let due = now + GRAFT_DELAY;
            let full = self.missing.len() >= MOST_MISSING;
            match self.missing.get_mut(&stamp.id) {
                Some(missing) if stamp.version > missing.version => {
                    *missing = Missing {
                        version: stamp.version,
                        sources: vec![from],
                        due,
                    };
                }
                Some(missing) if stamp.version < missing.version => continue,
                Some(missing) => {
                    if missing.sources.len() < MOST_SOURCES && !missing.sources.contains(&from) {
                        missing.sources.push(from);
                    }
                }
                None if full => continue,
                None => {
                    let missing = Missing {
                        version: stamp.version,
                        sources: vec![from],
                        due,
                    };
                    self.missing.insert(stamp.id, missing);
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
            link.in_tree = true;
        }
        let wanted = graft.ids.into_iter().take(MOST_ANNOUNCEMENTS);
        let mut bytes = 0;
        let records = wanted
            .filter_map(|id| store.carry(now, id))
            .take_while(|record| {
                let fits = bytes == 0 || bytes + record.size() <= MESSAGE_BYTES;
                bytes += record.size();
                fits
            });
        let records: Vec<_> = records.collect();
        if !records.is_empty() {
            effects.send(
                from,
                &Message::Push(Push {
                    records,
                    confirm: false,
                }),
            );
        }
    }

    /// A record has come, by whatever way.
    pub fn settle(&mut self, id: u64, store: &RecordStore) {
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
        if self.announce_at.is_some_and(|at| now >= at) {
            self.announce_at = None;
            for link in &mut self.links {
                if !link.announcements.is_empty() {
                    let stamps = std::mem::take(&mut link.announcements);
                    effects.send(link.address, &Message::Announce(Announce { stamps }));
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
                .sources
                .retain(|source| links.iter().any(|link| link.address == *source));
            if missing.sources.is_empty() {
                return false;
            }
            let source = missing.sources.remove(0);
            missing.due = now + GRAFT_RETRY;
            match wanted.iter_mut().find(|(address, _)| *address == source) {
                Some((_, ids)) => ids.push(id),
                None => wanted.push((source, vec![id])),
            }
            true
        });
        self.graft_at = self.missing.values().map(|missing| missing.due).min();
        for (source, ids) in wanted {
            if let Some(link) = self.links.iter_mut().find(|link| link.address == source) {
                link.in_tree = true;
            }
            effects.send(source, &Message::Graft(Graft { ids }));
        }
    }
}

/// Splits records into messages of bounded size.
fn split(records: Vec<CarriedRecord>) -> Vec<Vec<CarriedRecord>> {
    let mut messages: Vec<Vec<CarriedRecord>> = Vec::new();
    let mut bytes = 0;
    for record in records {
        bytes += record.size();
        match messages.last_mut() {
            Some(last) if bytes <= MESSAGE_BYTES => last.push(record),
            _ => {
                bytes = record.size();
                messages.push(vec![record]);
            }
        }
    }
    messages
}
