//! The workers' calls; mirrors `controller/http/instance_api.rs` and the watch over workers in `controller/workers/service.rs`, around
//! the product's `Registry`.

use super::Controller;
use crate::context::{Context, Out, Timer};
use crate::message::Told;
use crate::planted::Planted;
use mintlb_common::record::{WORKER_PREFIX, WorkerRecord, WorkerState};
use mintlb_control::controller::workers::registry::{HeartbeatOutcome, newer_record};
use std::time::Duration;

/// How long the acknowledgement of a drain or an end may wait for a neighbour.
const CONFIRMED_WITHIN: Duration = Duration::from_millis(600);
/// How often it is looked for workers that have become silent.
pub const WORKERS_TICK: Duration = Duration::from_millis(250);
/// A worker is silent after this time without a call.
pub const SILENCE: Duration = Duration::from_millis(2000);

impl Controller {
    /// A worker's heartbeat, or its word that it drains.
    pub(super) fn heartbeat(&mut self, context: &mut Context, ask: u64, told: WorkerRecord) {
        let in_force = self.worker_in_force(&told.instance_id);
        if !self.is_in_contact(context) {
            if let Some(record) = newer_record(told, in_force.as_ref()) {
                self.publish_worker(context, &record);
            }
            return context.out.push(Out::Tell(ask, Told::Unavailable));
        }
        match self
            .registry
            .heartbeat(context.instant, told, in_force.as_ref())
        {
            HeartbeatOutcome::Unchanged | HeartbeatOutcome::Stale => {
                context.out.push(Out::Tell(ask, Told::Done))
            }
            HeartbeatOutcome::RegistryFull => context.out.push(Out::Tell(ask, Told::Unavailable)),
            HeartbeatOutcome::Publish(record) if record.state == WorkerState::InService => {
                self.publish_worker(context, &record);
                context.out.push(Out::Tell(ask, Told::Done));
            }
            HeartbeatOutcome::Publish(record) => self.publish_confirmed(context, ask, record),
        }
    }

    /// A worker ends.
    pub(super) fn leave(&mut self, context: &mut Context, ask: u64, id: &str) {
        let in_force = self.worker_in_force(id);
        let record = self.registry.leave(id, in_force);
        if !self.is_in_contact(context) {
            self.publish_worker(context, &record);
            return context.out.push(Out::Tell(ask, Told::Unavailable));
        }
        self.publish_confirmed(context, ask, record);
    }

    fn publish_confirmed(&mut self, context: &mut Context, ask: u64, record: WorkerRecord) {
        if context.planted == Planted::DrainInIsolation {
            self.publish_worker(context, &record);
            return context.out.push(Out::Tell(ask, Told::Done));
        }
        let to_publish = record.to_record();
        self.draining.insert(ask, record);
        context.wake(CONFIRMED_WITHIN, Timer::Confirm(ask));
        let confirmed = self
            .gossip
            .publish(context, to_publish, CONFIRMED_WITHIN, ask);
        self.confirmed(context, &confirmed);
    }

    /// A neighbour has confirmed the record behind this call, or none has in time. False if it is no worker's call.
    pub(super) fn drain_confirmed(
        &mut self,
        context: &mut Context,
        ask: u64,
        confirmed: bool,
    ) -> bool {
        let Some(record) = self.draining.remove(&ask) else {
            return false;
        };
        self.gossip.give_up(ask);
        let promised = confirmed && self.is_in_contact(context);
        if promised {
            self.registry.confirmed(&record);
        }
        let told = if promised {
            Told::Done
        } else {
            Told::Unavailable
        };
        context.out.push(Out::Tell(ask, told));
        true
    }

    /// Publishes the silence of workers that have stopped calling.
    pub(super) fn watch_workers(&mut self, context: &mut Context) {
        context.wake(WORKERS_TICK, Timer::Workers);
        let in_contact = self.is_in_contact(context);
        let gossip = &self.gossip;
        let version = |id: &str| {
            gossip
                .get(&format!("{WORKER_PREFIX}{id}"))
                .map(|record| record.version)
        };
        let silent = self.registry.tick(context.instant, in_contact, version);
        silent
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
