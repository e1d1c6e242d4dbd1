//! The broadcast tree, after Plumtree (Leitão, Pereira and Rodrigues, "Epidemic Broadcast Trees",
//! SRDS 2007).
//!
//! A new record is pushed at once on the eager links and announced (IHAVE) on the lazy ones. A link
//! starts eager. A neighbor that receives only duplicates on a link makes it lazy (PRUNE); one that
//! was announced a record and has not received it in time makes the link eager and requests the
//! record (GRAFT). A failed relay therefore delays a record by [`IHAVE_INTERVAL`] and
//! [`GRAFT_TIMEOUT`].
//!
//! Differences from the paper: records are versioned, and a newer version of a key replaces an
//! older one on its way; a message holds several records; the tree is not optimised by round
//! numbers; and what is lost beyond the bounds of the queues is left to anti-entropy.

mod links;
mod missing;

pub use missing::{GRAFT_RETRY_TIMEOUT, GRAFT_TIMEOUT};

use crate::effects::{Effect, Effects};
use crate::message::{Ack, FrameBatch, Gossip, Graft, IHave, Message, RecordFrame, RecordVersion};
use crate::record_id::RecordId;
use crate::record_store::{ApplyOutcome, RecordStore};
use links::{Links, MAX_QUEUED_IHAVES};
use missing::MissingRecords;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// How long announcements are collected before they are sent.
pub const IHAVE_INTERVAL: Duration = Duration::from_millis(100);

/// Whether the receivers of a record are to acknowledge it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// They acknowledge it.
    Requested,
    /// They don't.
    NotRequested,
}

/// The links of one process and the records it waits for.
#[derive(Debug, Default)]
pub struct BroadcastTree {
    links: Links,
    missing: MissingRecords,
    ihave_at: Option<Instant>,
}

impl BroadcastTree {
    /// A neighbor is new; the link starts eager.
    pub fn neighbor_up(&mut self, address: SocketAddr) {
        self.links.add(address);
    }

    /// A neighbor is gone.
    pub fn neighbor_down(&mut self, address: SocketAddr) {
        self.links.remove(address);
    }

    /// The number of eager links.
    pub fn eager_link_count(&self) -> usize {
        self.links.eager().count()
    }

    /// When announcements or grafts are due, if there are any.
    pub fn deadline(&self) -> Option<Instant> {
        self.ihave_at
            .into_iter()
            .chain(self.missing.deadline())
            .min()
    }

    /// Pushes records on the eager links and announces them on the lazy ones, except to where they
    /// came from.
    pub fn broadcast(
        &mut self,
        now: Instant,
        records: Vec<RecordFrame>,
        from: Option<SocketAddr>,
        acknowledgement: Acknowledgement,
        effects: &mut Effects,
    ) {
        let versions: Vec<_> = records
            .iter()
            .map(|record| RecordVersion {
                id: record.id(),
                version: record.version,
            })
            .collect();
        let eager = self.links.eager();
        let eager: Vec<_> = eager.filter(|&address| Some(address) != from).collect();
        for batch in FrameBatch::split(records) {
            let gossip = Gossip {
                records: batch.into_frames(),
                ack_requested: acknowledgement == Acknowledgement::Requested,
            };
            effects.send_all(&eager, &Message::Gossip(gossip));
        }
        for link in self.links.others_mut(from).filter(|link| !link.eager) {
            link.queue_ihaves(&versions);
        }
        self.schedule_ihaves(now, from);
    }

    /// Announces records that anti-entropy has repaired on all links but the one that they came on.
    pub fn announce_repaired(
        &mut self,
        now: Instant,
        versions: &[RecordVersion],
        from: SocketAddr,
    ) {
        for link in self.links.others_mut(Some(from)) {
            link.queue_ihaves(versions);
        }
        self.schedule_ihaves(now, Some(from));
    }

    fn schedule_ihaves(&mut self, now: Instant, except: Option<SocketAddr>) {
        let mut links = self.links.others_mut(except);
        if links.any(|link| !link.queued_ihaves.is_empty()) {
            self.ihave_at.get_or_insert(now + IHAVE_INTERVAL);
        }
    }

    /// Handles records pushed by a neighbor.
    pub fn on_gossip(
        &mut self,
        now: Instant,
        from: SocketAddr,
        gossip: Gossip,
        store: &mut RecordStore,
        effects: &mut Effects,
    ) {
        let (mut applied, mut known_versions) = (Vec::new(), Vec::new());
        let mut has_duplicates = false;
        for record in gossip.records {
            let id = record.id();
            match store.apply_remote(now, record) {
                Ok(ApplyOutcome::Applied(record)) => {
                    effects.push(Effect::Applied(record));
                    applied.extend(store.frame(now, id));
                }
                Ok(ApplyOutcome::Duplicate) => has_duplicates = true,
                Ok(ApplyOutcome::Stale) | Err(_) => (),
            }
            self.on_known(id, store);
            let version = store.version(id);
            known_versions.extend(version.map(|version| RecordVersion { id, version }));
        }
        if gossip.ack_requested && !known_versions.is_empty() {
            let ack = Ack {
                versions: known_versions,
            };
            effects.send(from, &Message::Ack(ack));
        }
        if !applied.is_empty() {
            self.links.set_eager(from, true);
            self.broadcast(
                now,
                applied,
                Some(from),
                Acknowledgement::NotRequested,
                effects,
            );
        } else if has_duplicates && self.links.contains(from) {
            self.links.set_eager(from, false);
            effects.send(from, &Message::Prune);
        }
    }

    /// Handles a neighbor's request to make the link lazy.
    pub fn on_prune(&mut self, from: SocketAddr) {
        self.links.set_eager(from, false);
    }

    /// Handles a neighbor's announcements.
    pub fn on_ihave(&mut self, now: Instant, from: SocketAddr, ihave: IHave, store: &RecordStore) {
        for announced in ihave.versions.into_iter().take(MAX_QUEUED_IHAVES) {
            let known = store.version(announced.id);
            if known.is_none_or(|known| known < announced.version) {
                self.missing.on_announced(now, from, announced);
            }
        }
    }

    /// Handles a neighbor's request for announced records. What exceeds a message is left to a
    /// further graft.
    pub fn on_graft(
        &mut self,
        now: Instant,
        from: SocketAddr,
        graft: Graft,
        store: &RecordStore,
        effects: &mut Effects,
    ) {
        self.links.set_eager(from, true);
        let ids = graft.ids.into_iter().take(MAX_QUEUED_IHAVES);
        let mut batch = FrameBatch::default();
        for frame in ids.filter_map(|id| store.frame(now, id)) {
            if !batch.has_capacity_for(&frame) {
                break;
            }
            batch.push(frame);
        }
        if !batch.is_empty() {
            let gossip = Gossip {
                records: batch.into_frames(),
                ack_requested: false,
            };
            effects.send(from, &Message::Gossip(gossip));
        }
    }

    /// A record may be known now, by whichever message: it is not missing any more.
    pub fn on_known(&mut self, id: RecordId, store: &RecordStore) {
        self.missing.on_known(id, store.version(id));
    }

    /// Sends the announcements and grafts that are due.
    pub fn tick(&mut self, now: Instant, effects: &mut Effects) {
        if self.ihave_at.is_some_and(|at| now >= at) {
            self.ihave_at = None;
            self.send_ihaves(effects);
        }
        let links = &self.links;
        let grafts = self
            .missing
            .due_grafts(now, |address| links.contains(address));
        for graft in grafts {
            self.links.set_eager(graft.to, true);
            effects.send(graft.to, &Message::Graft(Graft { ids: graft.ids }));
        }
    }

    fn send_ihaves(&mut self, effects: &mut Effects) {
        for link in self.links.others_mut(None) {
            if !link.queued_ihaves.is_empty() {
                let versions = std::mem::take(&mut link.queued_ihaves);
                effects.send(link.address, &Message::IHave(IHave { versions }));
            }
        }
    }
}
