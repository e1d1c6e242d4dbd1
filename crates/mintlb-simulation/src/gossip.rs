//! The gossip of one process: the product's `Node`, with the publications that wait for an acknowledgement as
//! in `mintlb-gossip/src/service.rs`.

use crate::context::{Context, Out, Timer};
use crate::message::{Body, Packet};
use crate::mutations::Mutation;
use bytes::Bytes;
use mintlb_common::incarnation::Incarnation;
use mintlb_common::record::Record;
use mintlb_gossip::effects::Effect;
use mintlb_gossip::message::RecordVersion;
use mintlb_gossip::node::{Input, Node};
use mintlb_gossip::{Member, RecordId, Role};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Ticks in percent at which the mutation drops the record table.
const TABLE_LOSS_PERCENT: u32 = 1;

struct Waiter {
    id: RecordId,
    version: u64,
    token: u64,
}

/// The gossip node of one process.
pub struct Gossip {
    member: Member,
    seeds: Vec<SocketAddr>,
    node: Node,
    waiters: Vec<Waiter>,
    wake_at: Option<Instant>,
    /// The newest incarnation that was met at each address.
    incarnations: BTreeMap<SocketAddr, u64>,
    /// Records that were applied and not taken yet.
    applied: Vec<Arc<Record>>,
}

impl Gossip {
    /// A node that knows nobody but the seeds.
    pub fn start(context: &mut Context, role: Role, name: &str, seeds: &[SocketAddr]) -> Gossip {
        let member = Member {
            address: context.own,
            incarnation: gossip_incarnation(context.incarnation),
            role,
            node_name: name.to_string(),
            zone: "z".to_string(),
        };
        let node = Node::new(
            context.instant,
            member.clone(),
            seeds,
            context.random.number(),
        );
        let seeds = seeds.to_vec();
        let mut gossip = Gossip {
            member,
            seeds,
            node,
            waiters: Vec::new(),
            wake_at: None,
            incarnations: BTreeMap::new(),
            applied: Vec::new(),
        };
        gossip.handle(context, Input::Tick);
        gossip
    }

    /// The record in force of this key.
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.node.table().get(key)
    }

    /// A message came. As in the transport, a newer incarnation is announced to the node first, and a message of a
    /// former one is rejected.
    pub fn received(
        &mut self,
        context: &mut Context,
        from: SocketAddr,
        incarnation: u64,
        body: Bytes,
    ) -> Vec<u64> {
        let known = self.incarnations.insert(from, incarnation);
        if known.is_some_and(|known| known > incarnation) {
            self.incarnations.extend(known.map(|known| (from, known)));
            return Vec::new();
        }
        if known.is_some_and(|known| known < incarnation) {
            self.handle(
                context,
                Input::Restarted {
                    peer: from,
                    incarnation: gossip_incarnation(incarnation),
                },
            );
        }
        self.handle(context, Input::Received { from, body })
    }

    /// A process can't be reached.
    pub fn unreachable(&mut self, context: &mut Context, peer: SocketAddr) -> Vec<u64> {
        self.handle(context, Input::Unreachable(peer))
    }

    /// The tick's time has come.
    pub fn tick(&mut self, context: &mut Context) -> Vec<u64> {
        if self.wake_at.is_some_and(|at| at > context.instant) {
            return Vec::new();
        }
        self.wake_at = None;
        if context.mutation == Mutation::StaleRecordApplied
            && context.random.with_probability(TABLE_LOSS_PERCENT)
        {
            let (member, draw) = (self.member.clone(), context.random.number());
            self.node = Node::new(context.instant, member, &self.seeds, draw);
        }
        self.handle(context, Input::Tick)
    }

    /// Publishes a record.
    pub fn publish_now(&mut self, context: &mut Context, record: Record) -> Vec<u64> {
        self.handle(
            context,
            Input::Publish {
                record,
                ack_deadline: None,
            },
        )
    }

    /// Publishes a record; the token comes back once a neighbour has confirmed it.
    pub fn publish(
        &mut self,
        context: &mut Context,
        record: Record,
        wait: Duration,
        token: u64,
    ) -> Vec<u64> {
        self.waiters.push(Waiter {
            id: RecordId::of_key(&record.key),
            version: record.version,
            token,
        });
        let ack_deadline = Some(context.instant + wait);
        self.handle(
            context,
            Input::Publish {
                record,
                ack_deadline,
            },
        )
    }

    /// The records that were applied since the last call, as a subscriber gets them.
    pub fn take_applied(&mut self) -> Vec<Arc<Record>> {
        std::mem::take(&mut self.applied)
    }

    /// Nobody waits for this confirmation any more.
    pub fn give_up(&mut self, token: u64) {
        self.waiters.retain(|waiter| waiter.token != token);
    }

    fn handle(&mut self, context: &mut Context, input: Input) -> Vec<u64> {
        let mut confirmed = Vec::new();
        for effect in self.node.handle(context.instant, input) {
            match effect {
                Effect::Send { to, body } => {
                    let packet = Packet {
                        from: context.own,
                        from_incarnation: context.incarnation,
                        to,
                        to_incarnation: None,
                        body: Body::Gossip(body),
                    };
                    context.send(packet);
                }
                // Counted by the product; nothing that is sent here is altered.
                Effect::Malformed(_) => (),
                Effect::Applied(record) => {
                    self.applied.push(record.clone());
                    context.out.push(Out::InForce(record));
                }
                Effect::Acknowledged(RecordVersion { id, version }) => {
                    let is_done = |waiter: &Waiter| waiter.id == id && waiter.version <= version;
                    confirmed.extend(
                        self.waiters
                            .iter()
                            .filter(|w| is_done(w))
                            .map(|waiter| waiter.token),
                    );
                    self.waiters.retain(|waiter| !is_done(waiter));
                }
            }
        }
        let deadline = self.node.deadline();
        if self.wake_at.is_none_or(|at| deadline < at) {
            self.wake_at = Some(deadline);
            context.wake(
                deadline.saturating_duration_since(context.instant),
                Timer::Gossip,
            );
        }
        confirmed
    }
}

/// The product's incarnation of a simulated one; neither is 0.
fn gossip_incarnation(incarnation: u64) -> Incarnation {
    Incarnation::from_number(incarnation.max(1)).unwrap_or_else(|| unreachable!("it is above 0"))
}
