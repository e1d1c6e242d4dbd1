//! The workers' calls; mirrors `controller/http/instance_api.rs` and the watch over workers in `controller/workers/service.rs`, around
//! the product's `Registry`.

use super::Controller;
use crate::context::{Context, Out, Timer};
use crate::message::ClientResponse;
use crate::mutations::Mutation;
use mintlb_common::record::{WORKER_PREFIX, WorkerRecord, WorkerState};
use mintlb_control::controller::workers::registry::{HeartbeatOutcome, newer_record};
use std::time::Duration;

/// How long the acknowledgement of a drain or an end may wait for a neighbor.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(600);
/// The interval at which expired workers are looked for.
pub const WORKERS_TICK: Duration = Duration::from_millis(250);
/// A worker is unresponsive after this time without a heartbeat.
pub const WORKER_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(2000);

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
        let to_publish = record.to_record();
        self.draining.insert(request_id, record);
        context.wake(CONFIRMATION_TIMEOUT, Timer::Confirm(request_id));
        let confirmed = self
            .gossip
            .publish(context, to_publish, CONFIRMATION_TIMEOUT, request_id);
        self.confirmed(context, &confirmed);
    }

    /// A neighbour has confirmed the record behind this call, or none has in time. False if it is no worker's call.
    pub(super) fn drain_confirmed(
        &mut self,
        context: &mut Context,
        request_id: u64,
        confirmed: bool,
    ) -> bool {
        let Some(record) = self.draining.remove(&request_id) else {
            return false;
        };
        self.gossip.give_up(request_id);
        let acknowledged = confirmed && self.is_in_contact(context);
        if acknowledged {
            self.registry.confirmed(&record);
        }
        let response = if acknowledged {
            ClientResponse::Done
        } else {
            ClientResponse::Unavailable
        };
        context.out.push(Out::Respond(request_id, response));
        true
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

    fn publish_worker(&mut self, context: &mut Context, record: &WorkerRecord) {
        let confirmed = self.gossip.publish_now(context, record.to_record());
        self.confirmed(context, &confirmed);
    }

    fn worker_in_force(&self, id: &str) -> Option<WorkerRecord> {
        let record = self.gossip.get(&format!("{WORKER_PREFIX}{id}"))?;
        minicbor::decode(&record.body).ok()
    }
}
