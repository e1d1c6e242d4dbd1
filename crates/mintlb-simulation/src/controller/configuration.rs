//! The operator's calls; mirrors `controller/http/configuration_api.rs` and `controller/register/publisher.rs`.

use super::Controller;
use super::singleton::TOLERANCE;
use super::tasks::{Ended, Purpose};
use crate::context::{Context, Out, Timer};
use crate::message::{ClientRequest, ClientResponse};
use crate::mutations::Mutation;
use mintlb_common::record::{CONFIGURATION, PLACEMENT, REPLICAS, Record};
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::state::ControlState;
use std::time::Duration;

const RESPONSE_TIMEOUT: Duration = Duration::from_millis(850);
const REGISTER_TIMEOUT: Duration = Duration::from_millis(700);
const ALL_JOINED: Duration = Duration::from_secs(6);
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(150);

impl Controller {
    /// A call from outside the tier.
    pub fn on_client_request(&mut self, context: &mut Context, id: u64, request: ClientRequest) {
        if !self.is_in_contact(context)
            && matches!(request, ClientRequest::Get | ClientRequest::Put { .. })
        {
            return context
                .out
                .push(Out::Respond(id, ClientResponse::Unavailable));
        }
        match request {
            ClientRequest::Get => match self.register.chosen() {
                Some(chosen) if context.mutation == Mutation::ReadWithoutMajority => {
                    let response = configuration_of(&chosen.state);
                    context.out.push(Out::Respond(id, response));
                }
                _ => self.read(context, REGISTER_TIMEOUT, Purpose::Get(id)),
            },
            ClientRequest::Retire { node, begin } => self.retire(context, id, node, begin),
            ClientRequest::Heartbeat(record) => self.heartbeat(context, id, record),
            ClientRequest::Leave(worker) => self.leave(context, id, &worker),
            ClientRequest::Batch(..) => (),
            ClientRequest::Put {
                base,
                version,
                body,
            } => {
                self.puts.insert(id, context.now);
                let durability_suffices = context.now.saturating_sub(self.started) >= ALL_JOINED;
                let change = Change::SetConfiguration {
                    base,
                    version,
                    body,
                    tolerance: TOLERANCE,
                    durability_suffices,
                };
                self.change(context, change, REGISTER_TIMEOUT, Purpose::Put(id));
            }
        }
        self.deliver_local_replies(context);
    }

    /// An operator's read has ended.
    pub(super) fn get_completed(&mut self, context: &mut Context, request_id: u64, ended: Ended) {
        let response = match ended {
            Ended::Read(chosen) => configuration_of(&chosen.state),
            Ended::Changed(outcome) => configuration_of(&outcome.chosen.state),
            Ended::Failed => ClientResponse::Unavailable,
        };
        context.out.push(Out::Respond(request_id, response));
    }

    /// An operator's change has ended.
    pub(super) fn put_completed(&mut self, context: &mut Context, request_id: u64, ended: Ended) {
        let Some(begun) = self.puts.remove(&request_id) else {
            return;
        };
        let Ended::Changed(outcome) = ended else {
            context
                .out
                .push(Out::Respond(request_id, ClientResponse::Unavailable));
            return;
        };
        let forgets = context.mutation == Mutation::AppliedHistoryLost;
        let response = match outcome.change {
            ChangeOutcome::AlreadyApplied if forgets => ClientResponse::Refused,
            ChangeOutcome::Applied | ChangeOutcome::AlreadyApplied => {
                let left = RESPONSE_TIMEOUT
                    .saturating_sub(context.now - begun)
                    .min(CONFIRMATION_TIMEOUT);
                return self.confirm_configuration(
                    context,
                    request_id,
                    &outcome.chosen.state,
                    left,
                );
            }
            ChangeOutcome::StaleBase | ChangeOutcome::VersionNotIncreased => {
                ClientResponse::Refused
            }
            ChangeOutcome::HistoryCompacted
            | ChangeOutcome::TooFewReplicas
            | ChangeOutcome::SetFull
            | ChangeOutcome::UnknownDomain => ClientResponse::Unavailable,
        };
        context.out.push(Out::Respond(request_id, response));
    }

    fn confirm_configuration(
        &mut self,
        context: &mut Context,
        request_id: u64,
        state: &ControlState,
        left: Duration,
    ) {
        self.confirming.insert(request_id);
        context.wake(left, Timer::Confirm(request_id));
        if let Some(record) = configuration(state) {
            let confirmed = self.gossip.publish(context, record, left, request_id);
            self.confirmed(context, &confirmed);
        }
    }

    /// Answers that have waited for a neighbour's confirmation.
    pub(super) fn confirmed(&mut self, context: &mut Context, request_ids: &[u64]) {
        for request_id in request_ids {
            if self.drain_confirmed(context, *request_id, true) {
                continue;
            }
            if self.confirming.remove(request_id) {
                self.gossip.give_up(*request_id);
                context
                    .out
                    .push(Out::Respond(*request_id, ClientResponse::Done));
            }
        }
    }

    /// Publishes what is newer than what is in force.
    pub(super) fn publish_state(&mut self, context: &mut Context, state: &ControlState) {
        for record in records(state) {
            if self
                .gossip
                .get(&record.key)
                .is_none_or(|known| known.version < record.version)
            {
                let confirmed = self.gossip.publish_now(context, record);
                self.confirmed(context, &confirmed);
            }
        }
    }
}

fn configuration_of(state: &ControlState) -> ClientResponse {
    ClientResponse::Configuration {
        version: state.configuration_version,
        body: state.configuration.clone(),
    }
}

fn records(state: &ControlState) -> Vec<Record> {
    let replicas = minicbor::to_vec(&state.replicas).unwrap_or_default();
    let mut records = vec![kept(REPLICAS, state.replicas.epoch, replicas)];
    if state.placement.epoch > 0 {
        let placement = minicbor::to_vec(&state.placement).unwrap_or_default();
        records.push(kept(PLACEMENT, state.placement.epoch, placement));
    }
    records.extend(configuration(state));
    records
}

fn configuration(state: &ControlState) -> Option<Record> {
    let version = state.configuration_version;
    (version > 0).then(|| kept(CONFIGURATION, version, state.configuration.clone()))
}

fn kept(key: &str, version: u64, body: Vec<u8>) -> Record {
    Record {
        key: key.to_string(),
        version,
        ttl_s: 0,
        body: body.into(),
    }
}
