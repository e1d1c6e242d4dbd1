//! Requests from outside the cluster: their callers, responses and checks.

use super::{Event, World};
use crate::checks::Order;
use crate::context::Time;
use crate::job_client::{self, JobAction};
use crate::message::{ClientRequest, ClientResponse};
use crate::operator::{Next, RESPONSE_TIMEOUT};
use crate::process::Role;
use mintlb_batch::messages::StoreResponse;
use std::time::Duration;

/// Responses, in percent, that never reach the caller.
const LOST_RESPONSES_PERCENT: u32 = 4;

/// Who made a call, and what has to be known to judge its answer.
#[derive(Clone, Debug)]
pub struct PendingRequest {
    caller: Caller,
    order: Option<Order>,
    /// The operation on a job, and whether the job had been accepted when it began.
    act: Option<(JobAction, bool)>,
    /// The newest version acknowledged when a read began.
    floor: u64,
    until: Time,
}

/// The caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Caller {
    Operator {
        number: usize,
        turn: u64,
    },
    FinalRead,
    /// A client of the batch API.
    JobClient {
        number: usize,
        turn: u64,
    },
    FinalJobRead,
    Retirer,
    /// By its number, what it waits for, and whom it called.
    Worker {
        number: usize,
        turn: u64,
        controller: usize,
    },
    /// Nobody waits for the response to a heartbeat that came late.
    LateHeartbeat,
}

impl World {
    /// An operator goes on.
    pub(super) fn operator_wakes(&mut self, number: usize, turn: u64) {
        if self.operators[number].turn() != turn {
            return;
        }
        if self.now >= self.operators_until && self.operators[number].is_idle() {
            return;
        }
        let next_order = self.checks.orders() + 1;
        let next = self.operators[number].wake(&mut self.random, next_order);
        if self.operators[number]
            .order()
            .is_some_and(|order| order.number == next_order)
        {
            self.checks.ordered();
        }
        self.perform_operator_step(number, next);
    }

    fn perform_operator_step(&mut self, number: usize, next: Next) {
        let turn = self.operators[number].turn();
        let wait = match next {
            Next::Wait(time) => time,
            Next::Call(request, count) => {
                let order = self.operators[number].order().cloned();
                for _ in 0..count {
                    let caller = Caller::Operator { number, turn };
                    let machine = self.draw_controller();
                    self.send_request(machine, request.clone(), caller, order.clone());
                }
                RESPONSE_TIMEOUT
            }
        };
        self.schedule(wait, Event::Operator { number, turn });
    }

    pub(super) fn draw_controller(&mut self) -> usize {
        self.random.below(self.tier.controllers)
    }

    pub(super) fn send_job_request(&mut self, machine: usize, caller: Caller, act: JobAction) {
        let accepted = self
            .jobs
            .jobs
            .get(act.job())
            .is_some_and(|job| job.accepted);
        let request = act.request(&self.jobs);
        self.send_request(machine, request, caller, None);
        if let Some(pending) = self.pending.get_mut(&self.last_request_id) {
            pending.until = self.now + job_client::RESPONSE_TIMEOUT;
            pending.act = Some((act, accepted));
        }
    }

    pub(super) fn send_request(
        &mut self,
        machine: usize,
        request: ClientRequest,
        caller: Caller,
        order: Option<Order>,
    ) {
        self.last_request_id += 1;
        let id = self.last_request_id;
        let until = self.now + RESPONSE_TIMEOUT;
        self.pending.insert(
            id,
            PendingRequest {
                caller,
                order,
                act: None,
                floor: self.checks.newest(),
                until,
            },
        );
        let delay = self.random.time(0, 5);
        self.schedule(
            delay,
            Event::ClientRequest {
                machine,
                id,
                request,
            },
        );
    }

    /// Delivers a request to a machine.
    pub(super) fn on_client_request(&mut self, machine: usize, id: u64, request: ClientRequest) {
        if self.machines[machine].frozen {
            return self.machines[machine]
                .deferred_events
                .push(Event::ClientRequest {
                    machine,
                    id,
                    request,
                });
        }
        if self.machines[machine].process.is_none() {
            // Refused at once: the caller goes on to another one.
            return self.schedule(
                Duration::from_millis(1),
                Event::ClientResponse {
                    id,
                    response: ClientResponse::Unavailable,
                },
            );
        }
        self.with(machine, |process, context| {
            process.on_client_request(context, id, request)
        });
    }

    /// Sends a response to its caller, unless it is lost on the way.
    pub(super) fn respond(&mut self, id: u64, response: ClientResponse) {
        let is_acknowledgement = match &response {
            ClientResponse::Done => true,
            ClientResponse::Batch(answer, _) => {
                matches!(
                    answer,
                    StoreResponse::Accepted { .. } | StoreResponse::Recorded | StoreResponse::Ended
                )
            }
            _ => false,
        };
        if is_acknowledgement && self.armed.is_some() && self.random.with_probability(30) {
            let after = self.random.time(0, 3);
            self.schedule(after, Event::CorrelatedLoss);
        }
        let is_last = self.pending.get(&id).is_some_and(|pending| {
            matches!(pending.caller, Caller::FinalRead | Caller::FinalJobRead)
        });
        if is_last || !self.random.with_probability(LOST_RESPONSES_PERCENT) {
            let delay = self.random.time(0, 5);
            self.schedule(delay, Event::ClientResponse { id, response });
        }
    }

    /// Delivers a response to its caller, which may no longer wait for it.
    pub(super) fn on_response(&mut self, id: u64, response: &ClientResponse) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        if self.now > pending.until {
            return;
        }
        self.check_response(&pending, response);
        match pending.caller {
            Caller::Operator { number, turn } if self.operators[number].turn() == turn => {
                let next = self.operators[number].on_response(&mut self.random, response);
                self.perform_operator_step(number, next);
            }
            Caller::Operator { .. } => (),
            Caller::FinalRead => self.on_final_read(response),
            Caller::JobClient { number, turn } => {
                self.on_job_client_response(number, turn, response)
            }
            Caller::FinalJobRead => self.on_final_job_read(response),
            Caller::Worker {
                number,
                turn,
                controller,
            } => {
                self.on_worker_response(number, turn, controller, response);
            }
            Caller::LateHeartbeat => (),
            Caller::Retirer => self.on_retirement_response(response),
        }
    }

    fn check_response(&mut self, pending: &PendingRequest, response: &ClientResponse) {
        let now = self.now;
        if let Some(order) = &pending.order {
            let text = String::from_utf8_lossy(&order.body).into_owned();
            self.note(|| format!("order {text:?} on {}: {response:?}", order.base));
        }
        if let (Some((act, accepted)), ClientResponse::Batch(answer, raw)) =
            (&pending.act, response)
        {
            return self.check_job_response(
                act,
                *accepted,
                pending.caller == Caller::FinalJobRead,
                answer,
                raw,
            );
        }
        match (&pending.order, response) {
            (Some(order), ClientResponse::Done) => {
                self.checks.acknowledged(now, order);
                self.last_acknowledged = now;
            }
            (Some(order), ClientResponse::Refused) => self.checks.refused(now, order),
            (None, ClientResponse::Configuration { version, body }) => {
                self.checks.read(now, pending.floor, *version, body);
            }
            _ => (),
        }
    }

    /// At the end the configuration is read at every controller.
    pub(super) fn begin_final_reads(&mut self) {
        let controllers =
            (0..self.machines.len()).filter(|i| self.machines[*i].role == Role::Controller);
        for machine in controllers.collect::<Vec<_>>() {
            self.pending_final_reads += 1;
            self.send_request(machine, ClientRequest::Get, Caller::FinalRead, None);
        }
    }

    fn on_final_read(&mut self, response: &ClientResponse) {
        if let ClientResponse::Configuration { version, .. } = response {
            self.pending_final_reads -= 1;
            self.final_versions.push(*version);
        }
    }
}
