//! A store's process, as a state machine; mirrors `store/shard_host`, `store/heartbeats.rs` and `store/running.rs` around the
//! product's replicas.

pub mod disk;
mod requests;

use crate::context::{Context, Time, Timer};
use crate::gossip::Gossip;
use crate::message::{Body, Call, Packet};
use crate::mutations::Mutation;
use crate::random::Random;
use bytes::Bytes;
use disk::{StoreDisk, Writer};
use mintlb_batch::heartbeat::{HEARTBEAT_INTERVAL, StoreHeartbeat};
use mintlb_batch::peer::{EntryLength, Envelope, PeerMessage};
use mintlb_batch::replica::{AfterSync, Effect, Replica, ReplicaSettings, TICK_INTERVAL};
use mintlb_common::placement::{Placement, StoreId};
use mintlb_common::record::{PLACEMENT, REPLICAS};
use mintlb_gossip::Role;
use mintlb_register::replica_set::ReplicaSet;
use requests::Waiting;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Shards of the model's tier: the product's planner places all, the model keeps the first of them.
pub const SHARDS: u32 = 2;
/// `status_s` of the model: longer than any scenario.
const STATUS: Duration = Duration::from_secs(100_000);
/// Between two heartbeats at least.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// A store's process.
pub struct Store {
    name: String,
    replicas: Vec<Replica>,
    waiting: Vec<Waiting>,
    writer: Writer,
    placement: Placement,
    addresses: BTreeMap<StoreId, SocketAddr>,
    gossip: Gossip,
    /// When the next heartbeat is due.
    heartbeat_at: Time,
}

impl Store {
    /// Starts the process with what its disk holds.
    pub fn start(
        context: &mut Context,
        name: &str,
        seeds: &[SocketAddr],
        disk: StoreDisk,
    ) -> Store {
        let settings = ReplicaSettings {
            store_id: disk.id,
            tolerance: crate::controller::TOLERANCE.machines,
            result_retention: STATUS,
        };
        let replicas = (0..SHARDS).map(|shard| {
            let on_disk = disk.shards.get(&shard).cloned().unwrap_or_default();
            Replica::load(
                shard,
                settings,
                on_disk.meta.clone(),
                on_disk.load(),
                context.now.into(),
            )
        });
        let mut store = Store {
            name: name.to_string(),
            replicas: replicas.collect(),
            waiting: (0..SHARDS).map(|_| Waiting::default()).collect(),
            writer: Writer::new(disk),
            placement: Placement::default(),
            addresses: BTreeMap::new(),
            gossip: Gossip::start(context, Role::Store, name, seeds),
            heartbeat_at: context.now,
        };
        context.wake(TICK_INTERVAL, Timer::Tick);
        store.heartbeat(context);
        store
    }

    /// What it knows by the overlay.
    pub fn gossip(&self) -> &Gossip {
        &self.gossip
    }

    /// The process ends; what its disk holds.
    pub fn crash(self, random: &mut Random) -> StoreDisk {
        self.writer.crash(random)
    }

    /// A message came.
    pub fn packet(&mut self, context: &mut Context, packet: Packet) {
        match packet.body {
            Body::Gossip(body) => {
                self.gossip
                    .received(context, packet.from, packet.from_incarnation, body);
                self.follow_placement(context);
            }
            Body::Batch(envelope, raw) => self.message(context, envelope, raw),
            Body::Call {
                id,
                incarnation,
                call: Call::Batch(call, raw),
            } => {
                let caller = crate::context::Caller {
                    address: packet.from,
                    incarnation,
                    id,
                };
                self.call(context, caller, call, raw);
            }
            _ => (),
        }
    }

    /// A process can't be reached.
    pub fn unreachable(&mut self, context: &mut Context, peer: SocketAddr) {
        self.gossip.unreachable(context, peer);
    }

    /// A timer ran out.
    pub fn timer(&mut self, context: &mut Context, timer: Timer) {
        match timer {
            Timer::Gossip => {
                self.gossip.tick(context);
                self.follow_placement(context);
            }
            Timer::Disk => {
                let after = self.writer.committed(context);
                self.synced(context, after);
            }
            Timer::Tick => {
                context.wake(TICK_INTERVAL, Timer::Tick);
                for shard in 0..SHARDS {
                    self.replicas[shard as usize].tick(context.now.into());
                    self.act(context, shard);
                }
                self.give_up_waiting(context);
            }
            Timer::Heartbeat if context.now >= self.heartbeat_at => self.heartbeat(context),
            _ => (),
        }
    }

    fn message(&mut self, context: &mut Context, mut envelope: Envelope, raw: Bytes) {
        let shard = envelope.shard;
        if shard >= SHARDS {
            return;
        }
        if context.mutation == Mutation::EpochNotCompared {
            let current_epoch = self.replicas[shard as usize].current_epoch();
            match envelope.message {
                PeerMessage::Append(_)
                | PeerMessage::Appended { .. }
                | PeerMessage::Diverged { .. } => {
                    envelope.epoch = current_epoch;
                }
                _ => (),
            }
        }
        self.replicas[shard as usize].on_message(envelope, raw, context.now.into());
        self.act(context, shard);
    }

    /// Goes by the newest placement that the overlay has brought.
    fn follow_placement(&mut self, context: &mut Context) {
        let Some(record) = self.gossip.get(PLACEMENT) else {
            return;
        };
        if record.version <= self.placement.epoch {
            return;
        }
        let Ok(placement) = minicbor::decode::<Placement>(&record.body) else {
            return;
        };
        let addresses = placement
            .stores
            .iter()
            .filter_map(|store| Some((store.id, store.address.parse().ok()?)));
        self.addresses = addresses.collect();
        for (shard, assignment) in (0..SHARDS).zip(&placement.shards) {
            self.replicas[shard as usize].set_assignment(assignment, context.now.into());
            self.act(context, shard);
        }
        self.placement = placement;
    }

    fn synced(&mut self, context: &mut Context, after: Vec<(u32, AfterSync)>) {
        for (shard, after) in after {
            self.replicas[shard as usize].on_synced(after, context.now.into());
            self.act(context, shard);
        }
    }

    /// Carries out what a replica asks for.
    fn act(&mut self, context: &mut Context, shard: u32) {
        loop {
            let effects = self.replicas[shard as usize].take_effects();
            if effects.is_empty() {
                return;
            }
            let (mut writes, mut after) = (Vec::new(), Vec::new());
            for effect in effects {
                match effect {
                    Effect::Write(write) => writes.push(write),
                    Effect::AfterSync(next) => after.push(next),
                    Effect::Send(envelope) => self.send(context, envelope, Bytes::new()),
                    Effect::SendEntries(envelope, indexes) => {
                        self.send_entries(context, envelope, &indexes)
                    }
                    Effect::Committed(through) => self.on_committed(context, shard, through),
                    Effect::Confirmed => self.on_confirmed(context, shard),
                    Effect::SteppedDown => self.on_stepped_down(context, shard),
                    Effect::ReportChanged => self.hurry(context),
                    Effect::Replicated(_) => (),
                }
            }
            if writes.is_empty() && after.is_empty() {
                continue;
            }
            let at_once = match context.mutation {
                Mutation::StoreAnswersBeforeSync => {
                    self.writer.write(context, shard, writes, Vec::new());
                    after
                }
                _ => self.writer.write(context, shard, writes, after),
            };
            at_once.into_iter().for_each(|after| {
                self.replicas[shard as usize].on_synced(after, context.now.into())
            });
        }
    }

    fn send(&self, context: &mut Context, envelope: Envelope, raw: Bytes) {
        let Some(to) = self.addresses.get(&envelope.to).copied() else {
            return;
        };
        let packet = Packet {
            from: context.own,
            from_incarnation: context.incarnation,
            to,
            to_incarnation: None,
            body: Body::Batch(envelope, raw),
        };
        context.send(packet);
    }

    fn send_entries(&self, context: &mut Context, mut envelope: Envelope, indexes: &[u64]) {
        let entries = self.read(envelope.shard, indexes);
        let (PeerMessage::Append(append) | PeerMessage::Fetched(append)) = &mut envelope.message
        else {
            return;
        };
        let length = |(index, bytes): &(u64, Bytes)| EntryLength {
            index: *index,
            length: bytes.len() as u64,
        };
        append.entries = entries.iter().map(length).collect();
        let raw: Vec<u8> = entries
            .iter()
            .flat_map(|(_, bytes)| bytes.to_vec())
            .collect();
        self.send(context, envelope, raw.into());
    }

    /// Entries that are on disk.
    fn read(&self, shard: u32, indexes: &[u64]) -> Vec<(u64, Bytes)> {
        let Some(on_disk) = self.writer.disk().shards.get(&shard) else {
            return Vec::new();
        };
        indexes
            .iter()
            .filter_map(|index| Some((*index, on_disk.entries.get(index)?.clone())))
            .collect()
    }

    /// Tells the controllers soon.
    fn hurry(&mut self, context: &mut Context) {
        let soon = context.now + MIN_PAUSE;
        if self.heartbeat_at > soon {
            self.heartbeat_at = soon;
            context.wake(MIN_PAUSE, Timer::Heartbeat);
        }
    }

    /// Tells the controllers that hold the register.
    fn heartbeat(&mut self, context: &mut Context) {
        self.heartbeat_at = context.now + HEARTBEAT_INTERVAL;
        context.wake(HEARTBEAT_INTERVAL, Timer::Heartbeat);
        let set = self.gossip.get(REPLICAS);
        let set = set.and_then(|record| minicbor::decode::<ReplicaSet>(&record.body).ok());
        let heartbeat = StoreHeartbeat {
            id: self.writer.disk().id,
            node_name: self.name.clone(),
            address: context.own.to_string(),
            zone: "z".to_string(),
            region: Some("r".to_string()),
            counts_toward_quorum: Some(true),
            shards: self.replicas.iter().filter_map(Replica::report).collect(),
            placement: self.placement.epoch,
            draining: false,
        };
        for replica in set.iter().flat_map(ReplicaSet::members) {
            if let Ok(to) = replica.address.parse() {
                let body = Body::Heartbeat(heartbeat.clone());
                context.send(Packet {
                    from: context.own,
                    from_incarnation: context.incarnation,
                    to,
                    to_incarnation: None,
                    body,
                });
            }
        }
    }
}
