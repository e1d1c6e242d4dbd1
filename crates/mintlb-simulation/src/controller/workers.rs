//! The workers' calls; mirrors `controller/http/instance_api.rs` and the watch over workers in `controller/workers/service.rs`, around
//! the product's `Registry`.

use super::tasks::Awaited;
use super::vote::ReplyTo;
use super::{Controller, TOLERANCE};
use crate::context::{Context, Out, Timer};
use crate::message::{Call, ClientResponse};
use crate::mutations::Mutation;
use mintlb_common::record::{REPLICAS, WORKER_PREFIX, WorkerRecord, WorkerState};
use mintlb_control::controller::register::stopped_workers::{StoppedWorker, is_announced_stop};
use mintlb_control::controller::workers::registry::{HeartbeatOutcome, newer_record};
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use std::collections::BTreeSet;
use std::time::Duration;

/// How long the acknowledgement of a drain or an end may wait for a neighbor.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(600);
/// The interval at which expired workers are looked for.
pub const WORKERS_TICK: Duration = Duration::from_millis(250);
/// A worker is unresponsive after this time without a heartbeat.
pub const WORKER_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2000);

/// A worker's drain or end that is not acknowledged yet.
pub struct PendingDrain {
    record: WorkerRecord,
    /// Whether a neighbor has confirmed it.
    confirmed: bool,
    /// The replica set at the call.
    set: ReplicaSet,
    /// The replicas that have stored it.
    stored: BTreeSet<ReplicaId>,
}

impl PendingDrain {
    fn is_complete(&self, own: ReplicaId, mutation: Mutation) -> bool {
        let is_stored = self.set.is_quorum(|id| self.stored.contains(&id));
        // Each process that stores it publishes it.
        let is_elsewhere = self.confirmed || self.stored.iter().any(|id| *id != own);
        is_stored && is_elsewhere || self.confirmed && mutation.forgoes_stored_quorum()
    }
}

impl Controller {
    /// A worker's heartbeat, or its announcement that it is draining.
    pub(super) fn heartbeat(
        &mut self,
        context: &mut Context,
        request_id: u64,
        reported: WorkerRecord,
    ) {
        let in_force = self.worker_in_force(&reported.instance_id);
        if !self.is_in_contact(context) {
            if let Some(record) = newer_record(reported, in_force.as_ref()) {
                self.publish_worker(context, &record);
            }
            return context
                .out
                .push(Out::Respond(request_id, ClientResponse::Unavailable));
        }
        match self
            .registry
            .heartbeat(context.instant, reported, in_force.as_ref())
        {
            HeartbeatOutcome::Unchanged | HeartbeatOutcome::Stale => context
                .out
                .push(Out::Respond(request_id, ClientResponse::Done)),
            HeartbeatOutcome::RegistryFull => context
                .out
                .push(Out::Respond(request_id, ClientResponse::Unavailable)),
            HeartbeatOutcome::Publish(record) if record.state == WorkerState::InService => {
                self.publish_worker(context, &record);
                context
                    .out
                    .push(Out::Respond(request_id, ClientResponse::Done));
            }
            HeartbeatOutcome::Publish(record) => {
                self.publish_confirmed(context, request_id, record)
            }
        }
    }

    /// A worker ends.
    pub(super) fn leave(&mut self, context: &mut Context, request_id: u64, id: &str) {
        let in_force = self.worker_in_force(id);
        let record = self.registry.leave(id, in_force);
        if !self.is_in_contact(context) {
            self.publish_worker(context, &record);
            return context
                .out
                .push(Out::Respond(request_id, ClientResponse::Unavailable));
        }
        self.publish_confirmed(context, request_id, record);
    }

    fn publish_confirmed(&mut self, context: &mut Context, request_id: u64, record: WorkerRecord) {
        if context.mutation == Mutation::DrainWithoutContact {
            self.publish_worker(context, &record);
            return context
                .out
                .push(Out::Respond(request_id, ClientResponse::Done));
        }
        let Some(set) = self.register.set().cloned() else {
            self.publish_worker(context, &record);
            return context
                .out
                .push(Out::Respond(request_id, ClientResponse::Unavailable));
        };
        let to_publish = record.to_record();
        let pending = PendingDrain {
            record: record.clone(),
            confirmed: false,
            set: set.clone(),
            stored: BTreeSet::new(),
        };
        self.draining.insert(request_id, pending);
        context.wake(CONFIRMATION_TIMEOUT, Timer::Confirm(request_id));
        let confirmed = self
            .gossip
            .publish(context, to_publish, CONFIRMATION_TIMEOUT, request_id);
        self.confirmed(context, &confirmed);
        if set.remains_durable_after(&TOLERANCE) {
            for replica in set.members() {
                self.store_at(context, request_id, replica, &record);
            }
        }
    }

    /// Requests a replica to store a worker's drain or end.
    fn store_at(
        &mut self,
        context: &mut Context,
        request_id: u64,
        replica: &Replica,
        record: &WorkerRecord,
    ) {
        let from = replica.id;
        let id = self
            .register
            .await_call(Awaited::StoredWorker { request_id, from });
        if replica.id == self.replica.identity().id {
            return self.store_stopped_worker(context, record.clone(), ReplyTo::Local(id));
        }
        context.wake(CONFIRMATION_TIMEOUT, Timer::CallLost(id));
        if let Ok(address) = replica.address.parse() {
            let call = Call::StoreStoppedWorker {
                target: replica.id,
                record: record.clone(),
            };
            context.call(address, id, call);
        }
    }

    /// Stores a worker's drain or end at the replica here.
    pub(super) fn store_stopped_worker(
        &mut self,
        context: &mut Context,
        record: WorkerRecord,
        to: ReplyTo,
    ) {
        let stopped = StoppedWorker {
            record,
            stored_at_ms: context.wall_ms,
        };
        let commands = self.replica.store_stopped_worker(context, stopped, to);
        self.route_replies(context, commands);
    }

    /// Handles the records that gossip has brought, as the subscribers do.
    pub(super) fn handle_applied_records(&mut self, context: &mut Context) {
        for record in self.gossip.take_applied() {
            if record.key == REPLICAS
                && let Ok(set) = minicbor::decode(&record.body)
            {
                self.register.hint(set);
            }
            if !record.key.starts_with(WORKER_PREFIX) {
                continue;
            }
            let worker: Option<WorkerRecord> = minicbor::decode(&record.body).ok();
            if let Some(worker) = worker.filter(is_announced_stop) {
                self.store_stopped_worker(context, worker, ReplyTo::Nobody);
            }
        }
    }

    /// Publishes the workers that the disk holds at the start.
    pub(super) fn publish_stored_workers(&mut self, context: &mut Context) {
        for stopped in self.replica.retained_stopped_workers(context.wall_ms) {
            self.publish_worker(context, &stopped.record);
        }
    }

    /// A replica has stored the record behind this call.
    pub(super) fn drain_stored(
        &mut self,
        context: &mut Context,
        request_id: u64,
        replica: ReplicaId,
    ) {
        if let Some(pending) = self.draining.get_mut(&request_id) {
            pending.stored.insert(replica);
            self.acknowledge_drain(context, request_id);
        }
    }

    /// A neighbour has confirmed the record behind this call, or none has in time. False if it is no worker's call.
    pub(super) fn drain_confirmed(
        &mut self,
        context: &mut Context,
        request_id: u64,
        confirmed: bool,
    ) -> bool {
        let Some(pending) = self.draining.get_mut(&request_id) else {
            return false;
        };
        pending.confirmed |= confirmed;
        if confirmed {
            self.acknowledge_drain(context, request_id);
        } else {
            self.end_drain(context, request_id, false);
        }
        true
    }

    /// Answers a worker's call once its record is confirmed and stored.
    fn acknowledge_drain(&mut self, context: &mut Context, request_id: u64) {
        let own = self.replica.identity().id;
        let is_complete = self
            .draining
            .get(&request_id)
            .is_some_and(|pending| pending.is_complete(own, context.mutation));
        if is_complete {
            let acknowledged = self.is_in_contact(context);
            self.end_drain(context, request_id, acknowledged);
        }
    }

    fn end_drain(&mut self, context: &mut Context, request_id: u64, acknowledged: bool) {
        let Some(pending) = self.draining.remove(&request_id) else {
            return;
        };
        self.gossip.give_up(request_id);
        if acknowledged {
            self.registry.confirmed(&pending.record);
        }
        let response = match acknowledged {
            true => ClientResponse::Done,
            false => ClientResponse::Unavailable,
        };
        context.out.push(Out::Respond(request_id, response));
    }

    /// Publishes workers whose heartbeats have expired as unresponsive.
    pub(super) fn watch_workers(&mut self, context: &mut Context) {
        context.wake(WORKERS_TICK, Timer::Workers);
        let in_contact = self.is_in_contact(context);
        let gossip = &self.gossip;
        let version = |id: &str| {
            gossip
                .get(&format!("{WORKER_PREFIX}{id}"))
                .map(|record| record.version)
        };
        let unresponsive = self.registry.tick(context.instant, in_contact, version);
        unresponsive
            .iter()
            .for_each(|record| self.publish_worker(context, record));
    }

    /// Publishes a worker's record.
    pub(super) fn publish_worker(&mut self, context: &mut Context, record: &WorkerRecord) {
        let confirmed = self.gossip.publish_now(context, record.to_record());
        self.confirmed(context, &confirmed);
    }

    fn worker_in_force(&self, id: &str) -> Option<WorkerRecord> {
        let record = self.gossip.get(&format!("{WORKER_PREFIX}{id}"))?;
        minicbor::decode(&record.body).ok()
    }
}
