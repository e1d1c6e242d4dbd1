//! One process of the overlay as a state machine: an input and the clock go in, effects come out.

use crate::broadcast::{Broadcast, Have, Offer};
use crate::codec::{Stamp, record_id};
use crate::digest::{Digests, PING_INTERVAL};
use crate::effects::{Effect, Effects};
use crate::message::{Member, Message};
use crate::random::Random;
use crate::table::{Put, RecordStore, Table};
use crate::views::{LinkChange, Views};
use bytes::Bytes;
use mintlb_common::incarnation::Incarnation;
use mintlb_common::record::Record;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How often a node looks at the clock.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// How many publications wait for a confirmation at most.
const MOST_AWAITED: usize = 1024;
/// To how many neighbours an unconfirmed publication is offered again.
const OFFERED_TO: usize = 2;

/// What comes to a node.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message from another process.
    Received {
        /// The sender's internal address.
        from: SocketAddr,
        /// The message.
        body: Bytes,
    },
    /// A process can't be reached, or messages to it were lost.
    Unreachable(SocketAddr),
    /// Another life than the one known so far is at an address.
    Restarted {
        /// The address.
        peer: SocketAddr,
        /// Who is there now.
        incarnation: Incarnation,
    },
    /// A record of the process's own.
    Publish {
        /// The record.
        record: Record,
        /// Until when a neighbour's confirmation is asked for, if at all.
        confirm_until: Option<Instant>,
    },
    /// The time given by [`Node::deadline`] has come.
    Tick,
}

#[derive(Debug)]
struct Awaited {
    stamp: Stamp,
    until: Instant,
}

/// One process of the overlay.
#[derive(Debug)]
pub struct Node {
    views: Views,
    broadcast: Broadcast,
    digests: Digests,
    store: RecordStore,
    awaited: Vec<Awaited>,
    random: Random,
    tick_at: Instant,
    ping_at: Instant,
}

impl Node {
    /// A node that knows nobody but the seeds. Its random choices follow from the seed number.
    pub fn new(now: Instant, member: Member, seeds: &[SocketAddr], seed: u64) -> Node {
        let mut random = Random::new(seed);
        let views = Views::new(now, member, seeds, Random::new(random.next_number()));
        Node {
            views,
            broadcast: Broadcast::default(),
            digests: Digests::default(),
            store: RecordStore::default(),
            awaited: Vec::new(),
            random,
            tick_at: now,
            ping_at: now,
        }
    }

    /// The records in force.
    pub fn table(&self) -> &Arc<Table> {
        self.store.table()
    }

    /// The views.
    pub fn views(&self) -> &Views {
        &self.views
    }

    /// The links of the broadcast tree.
    pub fn broadcast(&self) -> &Broadcast {
        &self.broadcast
    }

    /// Whether the node has compared its table with a neighbour's once and has got what it lacked.
    pub fn joined(&self) -> bool {
        self.digests.joined()
    }

    /// When the node wants its next tick.
    pub fn deadline(&self) -> Instant {
        self.broadcast
            .deadline()
            .map_or(self.tick_at, |deadline| deadline.min(self.tick_at))
    }

    /// Handles one input.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Effect> {
        let mut effects = Effects::default();
        self.store.expire(now);
        match input {
            Input::Received { from, body } => match Message::from_bytes(&body) {
                Some(message) => {
                    self.views.heard_from(now, from);
                    self.receive(now, from, message, &mut effects);
                }
                None => effects.push(Effect::Unreadable(from)),
            },
            Input::Unreachable(peer) => self.views.on_unreachable(now, peer, &mut effects),
            Input::Restarted { peer, incarnation } => {
                self.views
                    .on_restarted(now, peer, incarnation, &mut effects);
            }
            Input::Publish {
                record,
                confirm_until,
            } => {
                self.publish(now, record, confirm_until, &mut effects);
            }
            Input::Tick => self.tick(now, &mut effects),
        }
        self.follow_links(&mut effects);
        effects.into_list()
    }

    fn receive(&mut self, now: Instant, from: SocketAddr, message: Message, effects: &mut Effects) {
        let hash = || self.store.table().hash();
        match message {
            Message::Neighbour(request) => self.views.on_request(now, from, request, effects),
            Message::Accepted(reply) => self.views.on_accepted(now, from, reply, effects),
            Message::Refused(reply) => self.views.on_refused(now, from, reply, effects),
            Message::Disconnect => self.views.on_disconnect(now, from, effects),
            Message::Shuffle(shuffle) => self.views.on_shuffle(now, from, shuffle, true, effects),
            Message::ShuffleReply(shuffle) => {
                self.views.on_shuffle(now, from, shuffle, false, effects)
            }
            Message::Probe(probe) => self.views.on_probe(now, from, probe, hash(), effects),
            Message::ProbeReply(probe) => {
                self.views.on_probe_reply(now, from, probe, hash(), effects)
            }
            Message::Ping(ping) => {
                if self.views.check_neighbour(from, effects) {
                    let own = self.views.own().address;
                    self.digests
                        .on_ping(now, from, own, ping, &self.store, effects);
                }
            }
            Message::Listing(listing) => {
                self.digests
                    .on_listing(now, from, listing, &self.store, effects)
            }
            Message::Fetch(fetch) => self
                .digests
                .on_fetch(now, from, fetch, &self.store, effects),
            Message::Records(records) => {
                let (store, broadcast) = (&mut self.store, &mut self.broadcast);
                self.digests
                    .on_records(now, from, records, store, broadcast, effects);
            }
            Message::Push(push) => {
                self.broadcast
                    .on_push(now, from, push, &mut self.store, effects)
            }
            Message::Announce(announce) => {
                self.confirmed(&announce.stamps, effects);
                self.broadcast.on_announce(now, from, announce, &self.store);
            }
            Message::Graft(graft) => {
                self.broadcast
                    .on_graft(now, from, graft, &self.store, effects)
            }
            Message::Prune => self.broadcast.on_prune(from),
            Message::Offer(offer) => self.on_offer(now, from, offer, effects),
            Message::Have(have) => self.confirmed(&have.stamps, effects),
        }
    }

    fn publish(
        &mut self,
        now: Instant,
        record: Record,
        confirm_until: Option<Instant>,
        effects: &mut Effects,
    ) {
        let stamp = Stamp {
            id: record_id(&record.key),
            version: record.version,
        };
        let confirm = confirm_until.is_some();
        if let Some(until) = confirm_until.filter(|_| self.awaited.len() < MOST_AWAITED) {
            self.awaited.push(Awaited { stamp, until });
        }
        if let Put::InForce(record) = self.store.publish(now, record) {
            effects.push(Effect::InForce(record));
            let records: Vec<_> = self.store.carry(now, stamp.id).into_iter().collect();
            self.broadcast.spread(now, records, None, confirm, effects);
            if self.broadcast.tree_links() > 0 {
                return;
            }
        }
        if confirm {
            self.offer(now, stamp.id, effects);
        }
    }

    /// Hands a record to some neighbours and asks them to confirm it.
    fn offer(&mut self, now: Instant, id: u64, effects: &mut Effects) {
        let mut neighbours: Vec<_> = self.views.neighbours().collect();
        self.random.shuffle(&mut neighbours);
        neighbours.truncate(OFFERED_TO);
        if let Some(record) = self.store.carry_to_older(now, id) {
            effects.send_all(&neighbours, &Message::Offer(Offer { record }));
        }
    }

    fn on_offer(&mut self, now: Instant, from: SocketAddr, offer: Offer, effects: &mut Effects) {
        let id = record_id(&offer.record.key);
        if let Some(Put::InForce(record)) = self.store.take(now, offer.record) {
            effects.push(Effect::InForce(record));
            let records: Vec<_> = self.store.carry(now, id).into_iter().collect();
            self.broadcast
                .spread(now, records, Some(from), false, effects);
        }
        self.broadcast.settle(id, &self.store);
        if let Some(version) = self.store.version(id) {
            effects.send(
                from,
                &Message::Have(Have {
                    stamps: vec![Stamp { id, version }],
                }),
            );
        }
    }

    /// Another process has these versions.
    fn confirmed(&mut self, stamps: &[Stamp], effects: &mut Effects) {
        if self.awaited.is_empty() {
            return;
        }
        for have in stamps {
            let before = self.awaited.len();
            self.awaited
                .retain(|a| a.stamp.id != have.id || a.stamp.version > have.version);
            if self.awaited.len() < before {
                effects.push(Effect::Confirmed {
                    id: have.id,
                    version: have.version,
                });
            }
        }
    }

    fn tick(&mut self, now: Instant, effects: &mut Effects) {
        self.broadcast.tick(now, effects);
        if now < self.tick_at {
            return;
        }
        self.views
            .tick(now, TICK_INTERVAL, self.store.table().hash(), effects);
        self.awaited.retain(|awaited| now < awaited.until);
        let mut unconfirmed: Vec<_> = self
            .awaited
            .iter()
            .map(|awaited| awaited.stamp.id)
            .collect();
        unconfirmed.dedup();
        unconfirmed
            .into_iter()
            .for_each(|id| self.offer(now, id, effects));
        if now >= self.ping_at {
            self.ping_at = now + PING_INTERVAL;
            self.digests.ping_all(&self.store, effects);
        }
        self.tick_at = now + TICK_INTERVAL;
    }

    /// Lets the tree and the digests follow what changed with the links.
    fn follow_links(&mut self, effects: &mut Effects) {
        for change in self.views.take_changes() {
            match change {
                LinkChange::Up(address) => {
                    self.broadcast.link_up(address);
                    self.digests.link_up(address, &self.store, effects);
                }
                LinkChange::Broken(address) => self.digests.link_up(address, &self.store, effects),
                LinkChange::Down(address) => {
                    self.broadcast.link_down(address);
                    self.digests.link_down(address);
                }
            }
        }
    }
}
