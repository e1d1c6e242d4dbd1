//! One process of the overlay as a state machine: an input and the clock go in, effects come out.

use crate::anti_entropy::{AntiEntropy, HEARTBEAT_INTERVAL};
use crate::broadcast::{Ack, BroadcastTree, DirectPush};
use crate::codec::{RecordVersion, record_id};
use crate::effects::{Effect, Effects};
use crate::membership::{Membership, MembershipChange};
use crate::message::{Member, Message};
use crate::random::Random;
use crate::table::{ApplyOutcome, RecordStore, Table};
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
const MAX_PENDING_ACKS: usize = 1024;
/// To how many neighbours an unconfirmed publication is offered again.
const ACK_FANOUT: usize = 2;

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
        ack_deadline: Option<Instant>,
    },
    /// The time given by [`Node::deadline`] has come.
    Tick,
}

#[derive(Debug)]
struct PendingAck {
    record_version: RecordVersion,
    until: Instant,
}

/// One process of the overlay.
#[derive(Debug)]
pub struct Node {
    membership: Membership,
    broadcast: BroadcastTree,
    anti_entropy: AntiEntropy,
    store: RecordStore,
    pending_acks: Vec<PendingAck>,
    random: Random,
    tick_at: Instant,
    heartbeat_at: Instant,
}

impl Node {
    /// A node that knows nobody but the seeds. Its random choices follow from the seed number.
    pub fn new(now: Instant, member: Member, seeds: &[SocketAddr], seed: u64) -> Node {
        let mut random = Random::new(seed);
        let membership = Membership::new(now, member, seeds, Random::new(random.next_number()));
        Node {
            membership,
            broadcast: BroadcastTree::default(),
            anti_entropy: AntiEntropy::default(),
            store: RecordStore::default(),
            pending_acks: Vec::new(),
            random,
            tick_at: now,
            heartbeat_at: now,
        }
    }

    /// The records in force.
    pub fn table(&self) -> &Arc<Table> {
        self.store.table()
    }

    /// The views.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The links of the broadcast tree.
    pub fn broadcast(&self) -> &BroadcastTree {
        &self.broadcast
    }

    /// Whether the node has compared its table with a neighbour's once and has got what it lacked.
    pub fn joined(&self) -> bool {
        self.anti_entropy.joined()
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
                    self.membership.on_received_from(now, from);
                    self.receive(now, from, message, &mut effects);
                }
                None => effects.push(Effect::Malformed(from)),
            },
            Input::Unreachable(peer) => self.membership.on_unreachable(now, peer, &mut effects),
            Input::Restarted { peer, incarnation } => {
                self.membership
                    .on_restarted(now, peer, incarnation, &mut effects);
            }
            Input::Publish {
                record,
                ack_deadline,
            } => {
                self.publish(now, record, ack_deadline, &mut effects);
            }
            Input::Tick => self.tick(now, &mut effects),
        }
        self.apply_membership_changes(&mut effects);
        effects.into_list()
    }

    fn receive(&mut self, now: Instant, from: SocketAddr, message: Message, effects: &mut Effects) {
        let hash = || self.store.table().hash();
        match message {
            Message::Neighbor(request) => self
                .membership
                .on_neighbor_request(now, from, request, effects),
            Message::NeighborAccepted(reply) => self
                .membership
                .on_neighbor_accepted(now, from, reply, effects),
            Message::NeighborRejected(reply) => self
                .membership
                .on_neighbor_rejected(now, from, reply, effects),
            Message::Disconnect => self.membership.on_disconnect(now, from, effects),
            Message::Shuffle(shuffle) => self
                .membership
                .on_shuffle(now, from, shuffle, true, effects),
            Message::ShuffleReply(shuffle) => self
                .membership
                .on_shuffle(now, from, shuffle, false, effects),
            Message::Probe(send_probes) => {
                self.membership
                    .on_probe(now, from, send_probes, hash(), effects)
            }
            Message::ProbeReply(send_probes) => {
                self.membership
                    .on_probe_reply(now, from, send_probes, hash(), effects)
            }
            Message::Heartbeat(heartbeat) => {
                if self.membership.require_neighbor(from, effects) {
                    let own = self.membership.own().address;
                    self.anti_entropy
                        .on_heartbeat(now, from, own, heartbeat, &self.store, effects);
                }
            }
            Message::BucketVersions(bucket_versions) => self.anti_entropy.on_bucket_versions(
                now,
                from,
                bucket_versions,
                &self.store,
                effects,
            ),
            Message::Fetch(fetch) => {
                self.anti_entropy
                    .on_fetch(now, from, fetch, &self.store, effects)
            }
            Message::Records(records) => {
                let (store, broadcast) = (&mut self.store, &mut self.broadcast);
                self.anti_entropy
                    .on_records(now, from, records, store, broadcast, effects);
            }
            Message::Gossip(push) => {
                self.broadcast
                    .on_gossip(now, from, push, &mut self.store, effects)
            }
            Message::IHave(queue_ihave) => {
                self.acknowledged(&queue_ihave.versions, effects);
                self.broadcast.on_ihave(now, from, queue_ihave, &self.store);
            }
            Message::Graft(graft) => {
                self.broadcast
                    .on_graft(now, from, graft, &self.store, effects)
            }
            Message::Prune => self.broadcast.on_prune(from),
            Message::DirectPush(direct_push) => {
                self.on_direct_push(now, from, direct_push, effects)
            }
            Message::Ack(acknowledged) => self.acknowledged(&acknowledged.versions, effects),
        }
    }

    fn publish(
        &mut self,
        now: Instant,
        record: Record,
        ack_deadline: Option<Instant>,
        effects: &mut Effects,
    ) {
        let record_version = RecordVersion {
            id: record_id(&record.key),
            version: record.version,
        };
        let request_ack = ack_deadline.is_some();
        if let Some(until) = ack_deadline.filter(|_| self.pending_acks.len() < MAX_PENDING_ACKS) {
            self.pending_acks.push(PendingAck {
                record_version,
                until,
            });
        }
        if let ApplyOutcome::Applied(record) = self.store.apply_local(now, record) {
            effects.push(Effect::Applied(record));
            let records: Vec<_> = self
                .store
                .frame(now, record_version.id)
                .into_iter()
                .collect();
            self.broadcast
                .broadcast(now, records, None, request_ack, effects);
            if self.broadcast.eager_link_count() > 0 {
                return;
            }
        }
        if request_ack {
            self.direct_push(now, record_version.id, effects);
        }
    }

    /// Hands a record to some neighbours and asks them to confirm it.
    fn direct_push(&mut self, now: Instant, id: u64, effects: &mut Effects) {
        let mut neighbors: Vec<_> = self.membership.neighbors().collect();
        self.random.shuffle(&mut neighbors);
        neighbors.truncate(ACK_FANOUT);
        if let Some(record) = self.store.frame_for_stale_peer(now, id) {
            effects.send_all(&neighbors, &Message::DirectPush(DirectPush { record }));
        }
    }

    fn on_direct_push(
        &mut self,
        now: Instant,
        from: SocketAddr,
        direct_push: DirectPush,
        effects: &mut Effects,
    ) {
        let id = record_id(&direct_push.record.key);
        if let Some(ApplyOutcome::Applied(record)) =
            self.store.apply_remote(now, direct_push.record)
        {
            effects.push(Effect::Applied(record));
            let records: Vec<_> = self.store.frame(now, id).into_iter().collect();
            self.broadcast
                .broadcast(now, records, Some(from), false, effects);
        }
        self.broadcast.on_delivered(id, &self.store);
        if let Some(version) = self.store.version(id) {
            effects.send(
                from,
                &Message::Ack(Ack {
                    versions: vec![RecordVersion { id, version }],
                }),
            );
        }
    }

    /// Another process has these versions.
    fn acknowledged(&mut self, versions: &[RecordVersion], effects: &mut Effects) {
        if self.pending_acks.is_empty() {
            return;
        }
        for acknowledged in versions {
            let before = self.pending_acks.len();
            self.pending_acks.retain(|a| {
                a.record_version.id != acknowledged.id
                    || a.record_version.version > acknowledged.version
            });
            if self.pending_acks.len() < before {
                effects.push(Effect::Acknowledged {
                    id: acknowledged.id,
                    version: acknowledged.version,
                });
            }
        }
    }

    fn tick(&mut self, now: Instant, effects: &mut Effects) {
        self.broadcast.tick(now, effects);
        if now < self.tick_at {
            return;
        }
        self.membership
            .tick(now, TICK_INTERVAL, self.store.table().hash(), effects);
        self.pending_acks
            .retain(|pending_acks| now < pending_acks.until);
        let mut unacknowledged: Vec<_> = self
            .pending_acks
            .iter()
            .map(|pending_acks| pending_acks.record_version.id)
            .collect();
        unacknowledged.dedup();
        unacknowledged
            .into_iter()
            .for_each(|id| self.direct_push(now, id, effects));
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.anti_entropy.send_heartbeats(&self.store, effects);
        }
        self.tick_at = now + TICK_INTERVAL;
    }

    /// Lets the tree and the digests follow what changed with the links.
    fn apply_membership_changes(&mut self, effects: &mut Effects) {
        for change in self.membership.take_changes() {
            match change {
                MembershipChange::Up(address) => {
                    self.broadcast.neighbor_up(address);
                    self.anti_entropy.neighbor_up(address, &self.store, effects);
                }
                MembershipChange::Broken(address) => {
                    self.anti_entropy.neighbor_up(address, &self.store, effects)
                }
                MembershipChange::Down(address) => {
                    self.broadcast.neighbor_down(address);
                    self.anti_entropy.neighbor_down(address);
                }
            }
        }
    }
}
