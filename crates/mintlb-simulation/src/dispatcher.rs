//! A dispatcher: gossip brings its state, and calls on jobs go to the primaries as in
//! `mintlb-batch/src/client/attempt.rs` and `routing.rs`.

use crate::context::{Context, Out, Time, Timer};
use crate::gossip::Gossip;
use crate::message::{Answer, Body, Call, ClientRequest, ClientResponse, Packet};
use bytes::Bytes;
use mintlb_batch::messages::{self, JobName};
use mintlb_common::placement::Placement;
use mintlb_common::record::PLACEMENT;
use mintlb_gossip::Role;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The delay before a retry while the primary is inactive or unreachable.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// The time-out of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1200);
/// The time-out of a call with all its attempts.
const CALL_TIMEOUT: Duration = Duration::from_millis(1300);

struct JobCall {
    call: messages::StoreRequest,
    raw: Bytes,
    until: Time,
}

/// A dispatcher's process.
pub struct Dispatcher {
    gossip: Gossip,
    /// Calls on jobs, by request number.
    calls: BTreeMap<u64, JobCall>,
    /// Attempts in flight, with the request of each.
    attempts: BTreeMap<u64, u64>,
    next_attempt: u64,
}

impl Dispatcher {
    /// Starts the process.
    pub fn start(context: &mut Context, name: &str, seeds: &[SocketAddr]) -> Dispatcher {
        let gossip = Gossip::start(context, Role::Dispatcher, name, seeds);
        Dispatcher {
            gossip,
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
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
                    .received(context, packet.from, packet.from_incarnation, body)
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
            Timer::Retry(request_id) => self.begin_attempt(context, request_id),
            _ => (),
        }
    }

    /// A call came to nobody, or its time is over.
    pub fn call_lost(&mut self, context: &mut Context, id: u64) {
        self.answered(context, id, None);
    }

    /// A call from outside the tier.
    pub fn on_client_request(&mut self, context: &mut Context, id: u64, request: ClientRequest) {
        if let ClientRequest::Batch(call, raw) = request {
            self.calls.insert(
                id,
                JobCall {
                    call,
                    raw,
                    until: context.now + CALL_TIMEOUT,
                },
            );
            self.begin_attempt(context, id);
        }
    }

    fn begin_attempt(&mut self, context: &mut Context, request_id: u64) {
        let Some(job_call) = self.calls.get(&request_id) else {
            return;
        };
        if context.now >= job_call.until {
            self.calls.remove(&request_id);
            context
                .out
                .push(Out::Respond(request_id, ClientResponse::Unavailable));
            return;
        }
        let (mut call, raw) = (job_call.call.clone(), job_call.raw.clone());
        let left = job_call.until - context.now;
        let Some((address, epoch)) = job_of(&call).and_then(|job| self.primary(job.shard())) else {
            return context.wake(RETRY_DELAY, Timer::Retry(request_id));
        };
        if let messages::StoreRequest::Submit(submit) = &mut call {
            submit.epoch = epoch;
        }
        self.next_attempt += 1;
        self.attempts.insert(self.next_attempt, request_id);
        context.call(address, self.next_attempt, Call::Batch(call, raw));
        context.wake(
            left.min(ATTEMPT_TIMEOUT),
            Timer::CallLost(self.next_attempt),
        );
    }

    fn answered(&mut self, context: &mut Context, id: u64, answer: Option<Answer>) {
        let Some(request_id) = self.attempts.remove(&id) else {
            return;
        };
        match answer {
            Some(Answer::Batch(
                messages::StoreResponse::NotPrimary | messages::StoreResponse::Indeterminate,
                _,
            ))
            | None => {
                context.wake(RETRY_DELAY, Timer::Retry(request_id));
            }
            Some(Answer::Batch(answer, raw)) => {
                if self.calls.remove(&request_id).is_some() {
                    context
                        .out
                        .push(Out::Respond(request_id, ClientResponse::Batch(answer, raw)));
                }
            }
            Some(_) => (),
        }
    }

    /// The primary of a shard and the shard's epoch.
    fn primary(&self, shard: u32) -> Option<(SocketAddr, u64)> {
        let record = self.gossip.get(PLACEMENT)?;
        let placement = minicbor::decode::<Placement>(&record.body).ok()?;
        let address = placement.primary(shard)?.address.parse().ok()?;
        Some((address, placement.shards.get(shard as usize)?.epoch))
    }
}

fn job_of(call: &messages::StoreRequest) -> Option<JobName> {
    match call {
        messages::StoreRequest::Submit(submit) => Some(submit.job.name()),
        messages::StoreRequest::Read(read) => Some(read.job.clone()),
        messages::StoreRequest::End(job) => Some(job.clone()),
        messages::StoreRequest::Record(record) => Some(record.job.clone()),
        _ => None,
    }
}
