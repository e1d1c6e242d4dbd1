//! A controller's process, as a state machine.

mod configuration;
mod membership;
mod shard_placement;
mod singleton;
mod tasks;
pub mod vote;
mod workers;

pub use singleton::TOLERANCE;

use crate::context::{Caller, Context, Timer};
use crate::gossip::Gossip;
use crate::message::{Answer, Body, Call, Packet};
use crate::random::Random;
use membership::Membership;
use mintlb_control::controller::contact::ping_state::STEP;
use mintlb_control::controller::workers::registry::Registry;
use mintlb_gossip::Role;
use mintlb_register::bootstrap::SeedStatus;
use singleton::SingletonRole;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tasks::{Ended, Purpose, Register};
use vote::{LocalReplica, ReplyTo, VoteDisk};
use workers::PendingDrain;

/// Between two looks at the placement at least.
const MIN_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);

/// What a controller starts from.
#[derive(Clone, Debug)]
pub struct Start {
    /// The machine's name.
    pub name: String,
    /// The seeds of its settings.
    pub seeds: Vec<SocketAddr>,
    /// `first_start` of its settings.
    pub first_start: bool,
}

/// A controller's process.
pub struct Controller {
    name: String,
    seeds: Vec<SocketAddr>,
    first_start: bool,
    started: crate::context::Time,
    replica: LocalReplica,
    register: Register,
    membership: Membership,
    singleton: SingletonRole,
    gossip: Gossip,
    /// Operators' changes under way: when each came.
    puts: BTreeMap<u64, crate::context::Time>,
    /// Those that wait for a neighbour's confirmation.
    confirming: BTreeSet<u64>,
    registry: Registry,
    /// Workers' drains and ends that wait for one, and for a quorum that stores them.
    draining: BTreeMap<u64, PendingDrain>,
}

impl Controller {
    /// Starts the process with what its disk holds.
    pub fn start(context: &mut Context, start: Start, disk: VoteDisk) -> Controller {
        let replica = LocalReplica::new(context, disk, context.own.to_string(), start.name.clone());
        let hint = replica
            .accepted()
            .map(|accepted| accepted.state.replicas.clone());
        let mut controller = Controller {
            singleton: SingletonRole::new(context, replica.identity().id),
            gossip: Gossip::start(context, Role::Controller, &start.name, &start.seeds),
            name: start.name,
            seeds: start.seeds,
            first_start: start.first_start,
            started: context.now,
            replica,
            register: Register::new(hint),
            membership: Membership::default(),
            puts: BTreeMap::new(),
            confirming: BTreeSet::new(),
            registry: Registry::new(context.instant, workers::WORKER_HEARTBEAT_TIMEOUT),
            draining: BTreeMap::new(),
        };
        context.wake(STEP, Timer::Step);
        context.wake(workers::WORKERS_TICK, Timer::Workers);
        controller.publish_stored_workers(context);
        controller.look(context);
        controller.deliver_local_replies(context);
        controller
    }

    /// What it knows by the overlay.
    pub fn gossip(&self) -> &Gossip {
        &self.gossip
    }

    /// The process ends; what its disk holds.
    pub fn crash(self, random: &mut Random) -> VoteDisk {
        self.replica.crash(random)
    }

    /// A message came.
    pub fn packet(&mut self, context: &mut Context, packet: Packet) {
        match packet.body {
            Body::Gossip(body) => {
                let confirmed =
                    self.gossip
                        .received(context, packet.from, packet.from_incarnation, body);
                self.confirmed(context, &confirmed);
            }
            Body::Call {
                id,
                incarnation,
                call,
            } => {
                let caller = Caller {
                    address: packet.from,
                    incarnation,
                    id,
                };
                self.call(context, caller, call);
            }
            Body::Answer { id, answer } => self.task_answer(context, id, Some(answer)),
            Body::Heartbeat(heartbeat) => {
                if self.singleton.record_store_heartbeat(context, heartbeat) {
                    context.wake(MIN_PAUSE, Timer::Singleton);
                }
            }
            Body::Batch(..) => (),
        }
        self.deliver_local_replies(context);
    }

    fn call(&mut self, context: &mut Context, caller: Caller, call: Call) {
        match call {
            Call::Vote(request) => {
                let commands = self
                    .replica
                    .request(context, request, ReplyTo::Remote(caller));
                self.route_replies(context, commands);
            }
            Call::Batch(..) => (),
            Call::StoreStoppedWorker { target, record } => {
                if target == self.replica.identity().id {
                    self.publish_worker(context, &record);
                    self.store_stopped_worker(context, record, ReplyTo::Remote(caller));
                } else {
                    context.answer(&caller, Answer::StoppedWorkerStored(false));
                }
            }
            Call::Status => {
                let set = self.register.set().cloned();
                context.answer(
                    &caller,
                    Answer::Status(SeedStatus {
                        has_disk: true,
                        replica_set: set,
                    }),
                );
            }
            Call::Ping(ping) => {
                let set = self.register.set();
                let pong = self.singleton.pinged(context, caller.address, &ping, set);
                context.answer(&caller, Answer::Pong(pong));
            }
        }
    }

    /// A call's receiver can't be reached.
    pub fn call_lost(&mut self, context: &mut Context, id: u64) {
        self.task_answer(context, id, None);
        self.deliver_local_replies(context);
    }

    /// A process can't be reached.
    pub fn unreachable(&mut self, context: &mut Context, peer: SocketAddr) {
        self.gossip.unreachable(context, peer);
    }

    /// A timer ran out.
    pub fn timer(&mut self, context: &mut Context, timer: Timer) {
        match timer {
            Timer::Gossip => {
                let confirmed = self.gossip.tick(context);
                self.confirmed(context, &confirmed);
            }
            Timer::Disk => {
                let commands = self.replica.committed(context);
                self.route_replies(context, commands);
            }
            Timer::Attempt { task, generation } => self.attempt_timer(context, task, generation),
            Timer::Deadline(task) => self.task_expired(context, task),
            Timer::CallLost(id) => self.task_answer(context, id, None),
            Timer::Member => self.look(context),
            Timer::Step => self.step(context),
            Timer::Tick | Timer::Heartbeat | Timer::Retry(_) => (),
            Timer::Singleton => self.run_singleton_work(context),
            Timer::Workers => self.watch_workers(context),
            Timer::Confirm(request_id) => {
                if !self.drain_confirmed(context, request_id, false) {
                    self.confirmed(context, &[request_id]);
                }
            }
        }
        self.deliver_local_replies(context);
    }

    /// A change or read has ended.
    fn completed(&mut self, context: &mut Context, purpose: Purpose, ended: Ended) {
        match purpose {
            Purpose::Put(request_id) => self.put_completed(context, request_id, ended),
            Purpose::Get(request_id) => self.get_completed(context, request_id, ended),
            Purpose::RefreshPlacement
            | Purpose::PlaceShards
            | Purpose::Remove
            | Purpose::FinishReplicaRemoval => {
                self.singleton_task_completed(context, purpose, ended);
            }
            Purpose::Retire {
                request_id,
                node,
                begin,
            } => {
                let state = match &ended {
                    Ended::Changed(outcome) => Some(outcome.chosen.state.clone()),
                    Ended::Read(chosen) => Some(chosen.state.clone()),
                    Ended::Failed => None,
                };
                self.retire_read(context, (request_id, node, begin), state.as_deref());
            }
            Purpose::RetireOrder(request_id) => self.retire_ordered(context, request_id, ended),
            purpose => self.member_completed(context, purpose, ended),
        }
    }
}
