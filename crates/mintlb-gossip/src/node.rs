//! One gossiping process as a state machine: an input and the time go in, effects come out. There
//! is no I/O and no clock in it, so that tests and the simulation drive it with virtual time.

use crate::anti_entropy::{AntiEntropy, HEARTBEAT_INTERVAL};
use crate::broadcast::{Acknowledgement, BroadcastTree};
use crate::effects::{Effect, Effects};
use crate::membership::{Membership, MembershipChange};
use crate::message::{Ack, DirectPush, Member, Message, RecordVersion, Records};
use crate::pending_acks::PendingAcks;
use crate::record_id::RecordId;
use crate::record_store::{ApplyOutcome, RecordStore};
use crate::table::Table;
use bytes::Bytes;
use fastrand::Rng;
use mintlb_common::incarnation::Incarnation;
use mintlb_common::record::Record;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How often a node checks its timers.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// To how many neighbors an unacknowledged publication is pushed at each tick.
const ACK_FANOUT: usize = 2;

/// An input of a node.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message was received.
    Received {
        /// The sender's internal address.
        from: SocketAddr,
        /// The encoded message.
        body: Bytes,
    },
    /// A process can't be reached, or messages to it were lost.
    Unreachable(SocketAddr),
    /// The process at an address has restarted: its incarnation differs from the one known so far.
    Restarted {
        /// The address.
        peer: SocketAddr,
        /// The current incarnation.
        incarnation: Incarnation,
    },
    /// This process publishes a record.
    Publish {
        /// The record.
        record: Record,
        /// Until when an acknowledgement of a neighbor is requested, if at all.
        ack_deadline: Option<Instant>,
    },
    /// The time of [`Node::deadline`] has come.
    Tick,
}

/// One gossiping process.
#[derive(Debug)]
pub struct Node {
    membership: Membership,
    broadcast: BroadcastTree,
    anti_entropy: AntiEntropy,
    store: RecordStore,
    pending_acks: PendingAcks,
    rng: Rng,
    tick_at: Instant,
    heartbeat_at: Instant,
}

impl Node {
    /// A node that knows only the seeds. Its random choices depend on nothing but the seed of the
    /// generator.
    pub fn new(now: Instant, member: Member, seeds: &[SocketAddr], rng_seed: u64) -> Node {
        let mut rng = Rng::with_seed(rng_seed);
        Node {
            membership: Membership::new(now, member, seeds, rng.fork()),
            broadcast: BroadcastTree::default(),
            anti_entropy: AntiEntropy::default(),
            store: RecordStore::default(),
            pending_acks: PendingAcks::default(),
            rng,
            tick_at: now,
            heartbeat_at: now,
        }
    }

    /// The current records.
    pub fn table(&self) -> &Arc<Table> {
        self.store.table()
    }

    /// The partial views.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The broadcast tree.
    pub fn broadcast(&self) -> &BroadcastTree {
        &self.broadcast
    }

    /// Whether the table has been compared with at least one neighbor's, and what was lacking has
    /// been received.
    pub fn joined(&self) -> bool {
        self.anti_entropy.joined()
    }

    /// When the node needs its next [`Input::Tick`].
    pub fn deadline(&self) -> Instant {
        let deadline = self.broadcast.deadline();
        deadline.map_or(self.tick_at, |deadline| deadline.min(self.tick_at))
    }

    /// Handles one input.
    pub fn handle(&mut self, now: Instant, input: Input) -> Vec<Effect> {
        let mut effects = Effects::default();
        self.store.expire(now);
        match input {
            Input::Received { from, body } => self.on_received(now, from, &body, &mut effects),
            Input::Unreachable(peer) => self.membership.on_unreachable(now, peer, &mut effects),
            Input::Restarted { peer, incarnation } => {
                self.membership
                    .on_restarted(now, peer, incarnation, &mut effects);
            }
            Input::Publish {
                record,
                ack_deadline,
            } => self.publish(now, record, ack_deadline, &mut effects),
            Input::Tick => self.tick(now, &mut effects),
        }
        self.apply_membership_changes(&mut effects);
        effects.into_vec()
    }

    fn on_received(&mut self, now: Instant, from: SocketAddr, body: &[u8], effects: &mut Effects) {
        match Message::from_bytes(body) {
            Ok(message) => {
                self.membership.on_received_from(now, from);
                self.dispatch(now, from, message, effects);
            }
            Err(_) => effects.push(Effect::Malformed(from)),
        }
    }

    fn dispatch(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: Message,
        effects: &mut Effects,
    ) {
        let (membership, store) = (&mut self.membership, &mut self.store);
        let (broadcast, anti_entropy) = (&mut self.broadcast, &mut self.anti_entropy);
        let table_hash = || store.table().hash();
        match message {
            Message::Neighbor(request) => {
                membership.on_neighbor_request(now, from, request, effects);
            }
            Message::NeighborAccepted(reply) => {
                membership.on_neighbor_accepted(now, from, reply, effects);
            }
            Message::NeighborRejected(reply) => {
                membership.on_neighbor_rejected(now, from, reply, effects);
            }
            Message::Disconnect => membership.on_disconnect(now, from, effects),
            Message::Shuffle(shuffle) => membership.on_shuffle(now, from, shuffle, effects),
            Message::ShuffleReply(shuffle) => membership.on_shuffle_reply(now, shuffle),
            Message::Probe(probe) => membership.on_probe(now, from, probe, table_hash(), effects),
            Message::ProbeReply(probe) => {
                membership.on_probe_reply(now, from, probe, table_hash(), effects);
            }
            Message::Heartbeat(heartbeat) => {
                if membership.require_neighbor(from, effects) {
                    let own = membership.own().address;
                    anti_entropy.on_heartbeat(now, from, own, heartbeat, store, effects);
                }
            }
            Message::BucketVersions(versions) => {
                anti_entropy.on_bucket_versions(now, from, versions, store, effects);
            }
            Message::Fetch(fetch) => anti_entropy.on_fetch(now, from, fetch, store, effects),
            Message::Records(records) => self.on_records(now, from, records, effects),
            Message::Gossip(gossip) => broadcast.on_gossip(now, from, gossip, store, effects),
            Message::IHave(ihave) => {
                // Who announces a version has it: as good as an acknowledgement.
                self.acknowledge(&ihave.versions, effects);
                self.broadcast.on_ihave(now, from, ihave, &self.store);
            }
            Message::Graft(graft) => broadcast.on_graft(now, from, graft, store, effects),
            Message::Prune => broadcast.on_prune(from),
            Message::DirectPush(push) => self.on_direct_push(now, from, push, effects),
            Message::Ack(ack) => self.acknowledge(&ack.versions, effects),
        }
    }

    fn publish(
        &mut self,
        now: Instant,
        record: Record,
        ack_deadline: Option<Instant>,
        effects: &mut Effects,
    ) {
        let published = RecordVersion {
            id: RecordId::of_key(&record.key),
            version: record.version,
        };
        if let Some(deadline) = ack_deadline {
            self.pending_acks.add(published, deadline);
        }
        if let ApplyOutcome::Applied(record) = self.store.apply_local(now, record) {
            effects.push(Effect::Applied(record));
            let acknowledgement = match ack_deadline {
                Some(_) => Acknowledgement::Requested,
                None => Acknowledgement::NotRequested,
            };
            let records = self.store.frame(now, published.id).into_iter().collect();
            self.broadcast
                .broadcast(now, records, None, acknowledgement, effects);
            if self.broadcast.eager_link_count() > 0 {
                return;
            }
        }
        if ack_deadline.is_some() {
            self.push_directly(now, published.id, effects);
        }
    }

    /// Sends a record to some neighbors outside the tree, to be acknowledged.
    fn push_directly(&mut self, now: Instant, id: RecordId, effects: &mut Effects) {
        let mut neighbors: Vec<_> = self.membership.neighbors().collect();
        self.rng.shuffle(&mut neighbors);
        neighbors.truncate(ACK_FANOUT);
        if let Some(record) = self.store.frame_for_stale_peer(now, id) {
            let push = DirectPush { record };
            effects.send_all(&neighbors, &Message::DirectPush(push));
        }
    }

    fn on_direct_push(
        &mut self,
        now: Instant,
        from: SocketAddr,
        push: DirectPush,
        effects: &mut Effects,
    ) {
        let id = push.record.id();
        if let Ok(ApplyOutcome::Applied(record)) = self.store.apply_remote(now, push.record) {
            effects.push(Effect::Applied(record));
            let records = self.store.frame(now, id).into_iter().collect();
            let acknowledgement = Acknowledgement::NotRequested;
            self.broadcast
                .broadcast(now, records, Some(from), acknowledgement, effects);
        }
        self.broadcast.on_known(id, &self.store);
        if let Some(version) = self.store.version(id) {
            let versions = vec![RecordVersion { id, version }];
            effects.send(from, &Message::Ack(Ack { versions }));
        }
    }

    /// Handles records by which a neighbor repairs this table. They are announced to the other
    /// neighbors, except while this process joins: then they are the whole table.
    fn on_records(
        &mut self,
        now: Instant,
        from: SocketAddr,
        records: Records,
        effects: &mut Effects,
    ) {
        let had_joined = self.anti_entropy.joined();
        let store = &mut self.store;
        let outcome = self
            .anti_entropy
            .on_records(now, from, records, store, effects);
        for id in outcome.received {
            self.broadcast.on_known(id, &self.store);
        }
        if had_joined {
            self.broadcast
                .announce_repaired(now, &outcome.applied, from);
        }
    }

    /// A neighbor has these versions.
    fn acknowledge(&mut self, versions: &[RecordVersion], effects: &mut Effects) {
        for &version in versions {
            if self.pending_acks.acknowledge(version) {
                effects.push(Effect::Acknowledged(version));
            }
        }
    }

    fn tick(&mut self, now: Instant, effects: &mut Effects) {
        self.broadcast.tick(now, effects);
        if now < self.tick_at {
            return;
        }
        let table_hash = self.store.table().hash();
        self.membership
            .tick(now, TICK_INTERVAL, table_hash, effects);
        self.pending_acks.expire(now);
        for id in self.pending_acks.unacknowledged() {
            self.push_directly(now, id, effects);
        }
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.anti_entropy.send_heartbeats(&self.store, effects);
        }
        self.tick_at = now + TICK_INTERVAL;
    }

    /// Applies changes of the active view to the broadcast tree and to anti-entropy.
    fn apply_membership_changes(&mut self, effects: &mut Effects) {
        for change in self.membership.take_changes() {
            match change {
                MembershipChange::NeighborUp(address) => {
                    self.broadcast.neighbor_up(address);
                    self.anti_entropy.neighbor_up(address, &self.store, effects);
                }
                MembershipChange::MessagesLost(address) => {
                    self.anti_entropy.neighbor_up(address, &self.store, effects);
                }
                MembershipChange::NeighborDown(address) => {
                    self.broadcast.neighbor_down(address);
                    self.anti_entropy.neighbor_down(address);
                }
            }
        }
    }
}
