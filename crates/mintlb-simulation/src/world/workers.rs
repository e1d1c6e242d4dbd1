//! Workers and their calls, and what dispatchers have to know after them.

use super::external_callers::Caller;
use super::{Event, World};
use crate::context::Time;
use crate::message::{ClientRequest, ClientResponse};
use crate::worker::RESPONSE_TIMEOUT;
use mintlb_common::record::{WORKER_PREFIX, WorkerRecord, WorkerState};
use mintlb_control::controller::contact::quorum_contact::CONTACT_LEASE;
use std::time::Duration;

/// `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2000);
/// Heartbeats, in percent, that come a second time, late.
const LATE_HEARTBEATS_PERCENT: u32 = 10;
/// The longest delay of one, in ms.
const MAX_HEARTBEAT_DELAY_MS: u64 = 4000;
/// Records of workers that ended are dropped after a minute.
const DRAIN_RETENTION: Duration = Duration::from_secs(40);

/// A drain or an end that was acknowledged.
#[derive(Clone, Debug)]
pub struct Drained {
    at: Time,
    key: String,
}

impl World {
    /// A worker calls; `again` if its last call was not answered well.
    pub(super) fn worker_wakes(&mut self, number: usize, turn: u64, again: bool) {
        if self.workers[number].turn() != turn {
            return;
        }
        let request = self.workers[number].call(&mut self.random, self.tier.controllers, again);
        let turn = self.workers[number].turn();
        let controller = self.workers[number].controller();
        self.draw_late_heartbeat(&request);
        self.send_request(
            controller,
            request,
            Caller::Worker {
                number,
                turn,
                controller,
            },
            None,
        );
        self.schedule(
            RESPONSE_TIMEOUT,
            Event::Worker {
                number,
                turn,
                again: true,
            },
        );
    }

    /// Now and then a heartbeat comes again later, at any controller.
    fn draw_late_heartbeat(&mut self, request: &ClientRequest) {
        let is_heartbeat = matches!(request, ClientRequest::Heartbeat(_));
        if !is_heartbeat || !self.random.with_probability(LATE_HEARTBEATS_PERCENT) {
            return;
        }
        let machine = self.random.below(self.tier.controllers);
        let delay = self.random.time(500, MAX_HEARTBEAT_DELAY_MS);
        let request = request.clone();
        self.schedule(delay, Event::LateHeartbeat { machine, request });
    }

    /// It was answered.
    pub(super) fn on_worker_response(
        &mut self,
        number: usize,
        turn: u64,
        controller: usize,
        response: &ClientResponse,
    ) {
        if self.workers[number].turn() != turn {
            return;
        }
        let record = self.workers[number].record();
        if *response == ClientResponse::Done && record.state != WorkerState::InService {
            self.drain_acknowledged(controller, &record);
        }
        let (again, pause) = self.workers[number].on_response(&mut self.random, response);
        let turn = self.workers[number].turn();
        self.schedule(
            pause,
            Event::Worker {
                number,
                turn,
                again,
            },
        );
    }

    /// Counts unless the machine lost contact so lately that its lease still holds: it is not in touch then.
    fn drain_acknowledged(&mut self, controller: usize, record: &WorkerRecord) {
        let machine = &self.machines[controller];
        let was_cut = machine
            .cut_at
            .is_some_and(|at| at + CONTACT_LEASE + RESPONSE_TIMEOUT > self.now);
        self.checks.counts.drains += 1;
        if was_cut {
            return;
        }
        self.note(|| {
            format!(
                "{} is {:?}, says machine {controller}",
                record.instance_id, record.state
            )
        });
        let key = format!("{WORKER_PREFIX}{}", record.instance_id);
        self.drained.push(Drained { at: self.now, key });
    }

    fn worker_at(&self, machine: usize, key: &str) -> Option<WorkerRecord> {
        let record = self.machines[machine].process.as_ref()?.gossip().get(key)?;
        minicbor::decode(&record.body).ok()
    }

    /// What was acknowledged `drain_ms` ago has to be at each machine in touch.
    pub(super) fn watch_drains(&mut self) {
        let now = self.now;
        self.drained
            .retain(|drained| drained.at + DRAIN_RETENTION > now);
        let due: Vec<Drained> = self
            .drained
            .iter()
            .filter(|drained| drained.at + DRAIN <= now)
            .cloned()
            .collect();
        for number in self.in_touch() {
            for drained in &due {
                let serves = |record: &WorkerRecord| record.state == WorkerState::InService;
                if let Some(known) = self.worker_at(number, &drained.key).filter(serves) {
                    let name = &self.machines[number].name;
                    let what = format!("{name} has {known:?}, {drained:?}");
                    return self.checks.violates("P1", now, what);
                }
            }
        }
    }
}
