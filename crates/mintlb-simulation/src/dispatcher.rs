//! A dispatcher: what it knows comes by the overlay; calls on lots go to the primaries. The latter mirrors
//! `mintlb-batch/src/client/calls.rs`.

use crate::context::{Context, Out, Time, Timer};
use crate::gossip::Gossip;
use crate::message::{Answer, Ask, Body, Call, Packet, Told};
use bytes::Bytes;
use mintlb_batch::messages;
use mintlb_common::placement::Placement;
use mintlb_common::record::PLACEMENT;
use mintlb_gossip::Role;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Between two tries, while the primary is not in charge or out of reach.
const PAUSE: Duration = Duration::from_millis(60);
/// The longest that one try waits for its answer.
const TRY: Duration = Duration::from_millis(1200);
/// All tries together.
const ALL_TRIES: Duration = Duration::from_millis(1300);

struct LotCall {
    call: messages::StoreRequest,
    raw: Bytes,
    until: Time,
}

/// A dispatcher's process.
pub struct Dispatcher {
    gossip: Gossip,
    /// Calls on lots by the number of who asked.
    calls: BTreeMap<u64, LotCall>,
    /// Tries under way, and whose.
    tries: BTreeMap<u64, u64>,
    next_try: u64,
}

impl Dispatcher {
    /// Starts the process.
    pub fn start(context: &mut Context, name: &str, seeds: &[SocketAddr]) -> Dispatcher {
        let gossip = Gossip::start(context, Role::Dispatcher, name, seeds);
        Dispatcher {
            gossip,
            calls: BTreeMap::new(),
            tries: BTreeMap::new(),
            next_try: 0,
        }
    }

    /// What it knows.
    pub fn gossip(&self) -> &Gossip {
        &self.gossip
    }

    /// A message came.
    pub fn packet(&mut self, context: &mut Context, packet: Packet) {
        match packet.body {
            Body::Gossip(body) => {
                _ = self
                    .gossip
                    .received(context, packet.from, packet.from_life, body)
            }
            Body::Answer { id, answer } => self.answered(context, id, Some(answer)),
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
            Timer::Gossip => _ = self.gossip.tick(context),
            Timer::CallLost(id) => self.answered(context, id, None),
            Timer::Retry(ask) => self.try_once(context, ask),
            _ => (),
        }
    }

    /// A call came to nobody, or its time is over.
    pub fn call_lost(&mut self, context: &mut Context, id: u64) {
        self.answered(context, id, None);
    }

    /// A call from outside the tier.
    pub fn ask(&mut self, context: &mut Context, id: u64, ask: Ask) {
        if let Ask::Lots(call, raw) = ask {
            self.calls.insert(
                id,
                LotCall {
                    call,
                    raw,
                    until: context.now + ALL_TRIES,
                },
            );
            self.try_once(context, id);
        }
    }

    fn try_once(&mut self, context: &mut Context, ask: u64) {
        let Some(lot_call) = self.calls.get(&ask) else {
            return;
        };
        if context.now >= lot_call.until {
            self.calls.remove(&ask);
            context.out.push(Out::Tell(ask, Told::Unavailable));
            return;
        }
        let (mut call, raw) = (lot_call.call.clone(), lot_call.raw.clone());
        let left = lot_call.until - context.now;
        let Some((address, epoch)) = self.primary(host_of(&call)) else {
            return context.wake(PAUSE, Timer::Retry(ask));
        };
        if let messages::StoreRequest::Submit(submit) = &mut call {
            submit.epoch = epoch;
        }
        self.next_try += 1;
        self.tries.insert(self.next_try, ask);
        context.call(address, self.next_try, Call::Lots(call, raw));
        context.wake(left.min(TRY), Timer::CallLost(self.next_try));
    }

    fn answered(&mut self, context: &mut Context, id: u64, answer: Option<Answer>) {
        let Some(ask) = self.tries.remove(&id) else {
            return;
        };
        match answer {
            Some(Answer::Lots(
                messages::StoreResponse::NotPrimary | messages::StoreResponse::Indeterminate,
                _,
            ))
            | None => {
                context.wake(PAUSE, Timer::Retry(ask));
            }
            Some(Answer::Lots(answer, raw)) => {
                if self.calls.remove(&ask).is_some() {
                    context.out.push(Out::Tell(ask, Told::Lots(answer, raw)));
                }
            }
            Some(_) => (),
        }
    }

    /// The primary of a host's shard and the shard's epoch.
    fn primary(&self, host: &str) -> Option<(SocketAddr, u64)> {
        let record = self.gossip.get(PLACEMENT)?;
        let placement = minicbor::decode::<Placement>(&record.body).ok()?;
        let shard = Placement::shard_of(host);
        let address = placement.primary(shard)?.address.parse().ok()?;
        Some((address, placement.shards.get(shard as usize)?.epoch))
    }
}

fn host_of(call: &messages::StoreRequest) -> &str {
    match call {
        messages::StoreRequest::Submit(submit) => &submit.job.host,
        messages::StoreRequest::Read(read) => &read.job.host,
        messages::StoreRequest::End(lot) => &lot.host,
        messages::StoreRequest::Record(record) => &record.job.host,
        _ => "",
    }
}
