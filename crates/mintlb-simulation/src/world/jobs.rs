//! Clients of the batch API, and the operator who retires a store.

use super::external_callers::Caller;
use super::{Event, World};
use crate::job_client::{JobAction, RESPONSE_TIMEOUT};
use crate::message::{ClientRequest, ClientResponse};
use bytes::Bytes;
use mintlb_batch::messages::StoreResponse;
use std::time::Duration;

/// The interval at which the operator polls a retirement.
const RETIREMENT_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A retirement under way.
#[derive(Clone, Copy, Debug)]
pub struct Retiring {
    machine: usize,
    ordered: bool,
}

impl World {
    /// A client's timer ran out.
    pub(super) fn job_client_wakes(&mut self, number: usize, turn: u64) {
        if self.job_clients[number].turn() != turn || self.is_ending() {
            return;
        }
        let act = self.job_clients[number].wake(&mut self.random, &mut self.jobs);
        let turn = self.job_clients[number].turn();
        let machine = self.draw_dispatcher();
        self.send_job_request(machine, Caller::JobClient { number, turn }, act);
        self.schedule(RESPONSE_TIMEOUT, Event::JobClient { number, turn });
    }

    fn draw_dispatcher(&mut self) -> usize {
        self.tier.counted() + self.random.below(self.tier.dispatchers)
    }

    /// It was answered.
    pub(super) fn on_job_client_response(
        &mut self,
        number: usize,
        turn: u64,
        response: &ClientResponse,
    ) {
        if self.job_clients[number].turn() != turn {
            return;
        }
        let pause = self.job_clients[number].on_response(&mut self.random, response);
        let turn = self.job_clients[number].turn();
        self.schedule(pause, Event::JobClient { number, turn });
    }

    /// Checks a response on a job against what was acknowledged before.
    pub(super) fn check_job_response(
        &mut self,
        act: &JobAction,
        accepted: bool,
        last: bool,
        answer: &StoreResponse,
        raw: &Bytes,
    ) {
        self.note(|| format!("{act:?}: {answer:?}"));
        let id = act.job();
        match (act, answer) {
            (JobAction::Submit(_), StoreResponse::Accepted { .. }) => {
                if let Some(job) = self.jobs.jobs.get_mut(id) {
                    job.accepted = true;
                }
            }
            (JobAction::Submit(_), StoreResponse::Conflict) => {
                self.checks.violates(
                    "P5",
                    self.now,
                    format!("job {id} came again and is a conflict"),
                );
            }
            (JobAction::Record(_, item, _), StoreResponse::Recorded) => {
                self.jobs.result_acknowledged(id, *item)
            }
            (JobAction::End(_), StoreResponse::Ended) => {
                if let Some(job) = self.jobs.jobs.get_mut(id) {
                    job.ended = true;
                }
            }
            (_, StoreResponse::NotFound) if accepted => {
                let what = format!("job {id} was accepted and is unknown to {act:?}");
                self.checks.violates("P3", self.now, what);
            }
            (JobAction::Read(_), answer) => {
                if let Err((point, what)) = self.jobs.read(id, accepted, last, answer, raw) {
                    self.checks.violates(point, self.now, what);
                }
            }
            _ => (),
        }
    }

    /// At the end every job that was accepted is read.
    pub(super) fn begin_final_job_reads(&mut self) {
        let accepted = self.jobs.jobs.iter().filter(|(_, job)| job.accepted);
        let ids: Vec<String> = accepted.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.pending_final_job_reads += 1;
            let machine = self.draw_dispatcher();
            self.send_job_request(machine, Caller::FinalJobRead, JobAction::Read(id));
        }
    }

    /// One of them was.
    pub(super) fn on_final_job_read(&mut self, response: &ClientResponse) {
        if matches!(response, ClientResponse::Batch(..)) {
            self.pending_final_job_reads -= 1;
        }
    }

    /// The operator orders a retirement.
    pub(super) fn retire(&mut self, machine: usize) {
        self.retiring = Some(Retiring {
            machine,
            ordered: false,
        });
        self.schedule(Duration::ZERO, Event::Retirement);
    }

    /// He orders again, or asks how far it is.
    pub(super) fn continue_retirement(&mut self) {
        let Some(Retiring { machine, ordered }) = self.retiring else {
            return;
        };
        self.schedule(RETIREMENT_POLL_INTERVAL, Event::Retirement);
        let node = self.machines[machine].name.clone();
        let controller = self.draw_controller();
        self.send_request(
            controller,
            ClientRequest::Retire {
                node,
                begin: !ordered,
            },
            Caller::Retirer,
            None,
        );
    }

    /// He was answered.
    pub(super) fn on_retirement_response(&mut self, response: &ClientResponse) {
        let Some(retiring) = &mut self.retiring else {
            return;
        };
        match response {
            ClientResponse::Retiring { completed: true } if retiring.ordered => {
                let machine = retiring.machine;
                self.retiring = None;
                self.checks.counts.retired += 1;
                self.decommission(machine);
            }
            ClientResponse::Retiring { .. } => retiring.ordered = true,
            // The store was replaced or wiped: the order has to be given anew.
            ClientResponse::Refused => retiring.ordered = false,
            _ => (),
        }
    }
}
