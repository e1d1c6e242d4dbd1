//! The operator's calls; mirrors `controller/http/configuration_api.rs` and `controller/register/publisher.rs`.

use super::Controller;
use super::duties::TOLERANCE;
use super::tasks::{Ended, Purpose};
use crate::context::{Context, Out, Timer};
use crate::message::{Ask, Told};
use crate::planted::Planted;
use mintlb_common::record::{CONFIGURATION, PLACEMENT, REPLICAS, Record};
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::state::ControlState;
use std::time::Duration;

const ANSWER_WITHIN: Duration = Duration::from_millis(850);
const REGISTER_WITHIN: Duration = Duration::from_millis(700);
const ALL_JOINED: Duration = Duration::from_secs(6);
const CONFIRMED_WITHIN: Duration = Duration::from_millis(150);

impl Controller {
    /// A call from outside the tier.
    pub fn ask(&mut self, context: &mut Context, id: u64, ask: Ask) {
        if !self.is_in_contact(context) && matches!(ask, Ask::Get | Ask::Put { .. }) {
            return context.out.push(Out::Tell(id, Told::Unavailable));
        }
        match ask {
            Ask::Get => match self.register.chosen() {
                Some(chosen) if context.planted == Planted::ReadWithoutMajority => {
                    let told = configuration_of(&chosen.state);
                    context.out.push(Out::Tell(id, told));
                }
                _ => self.read(context, REGISTER_WITHIN, Purpose::Get(id)),
            },
            Ask::Retire { node, begin } => self.retire(context, id, node, begin),
            Ask::Heartbeat(told) => self.heartbeat(context, id, told),
            Ask::Leave(worker) => self.leave(context, id, &worker),
            Ask::Lots(..) => (),
            Ask::Put {
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
                    tolerated_failures: TOLERANCE,
                    durability_suffices,
                };
                self.change(context, change, REGISTER_WITHIN, Purpose::Put(id));
            }
        }
        self.hand_over_replies(context);
    }

    /// An operator's read has ended.
    pub(super) fn get_completed(&mut self, context: &mut Context, ask: u64, ended: Ended) {
        let told = match ended {
            Ended::Read(chosen) => configuration_of(&chosen.state),
            Ended::Changed(outcome) => configuration_of(&outcome.chosen.state),
            Ended::Failed => Told::Unavailable,
        };
        context.out.push(Out::Tell(ask, told));
    }

    /// An operator's change has ended.
    pub(super) fn put_completed(&mut self, context: &mut Context, ask: u64, ended: Ended) {
        let Some(begun) = self.puts.remove(&ask) else {
            return;
        };
        let Ended::Changed(outcome) = ended else {
            context.out.push(Out::Tell(ask, Told::Unavailable));
            return;
        };
        let forgets = context.planted == Planted::TakenForgotten;
        let told = match outcome.change {
            ChangeOutcome::AlreadyApplied if forgets => Told::Refused,
            ChangeOutcome::Applied | ChangeOutcome::AlreadyApplied => {
                let left = ANSWER_WITHIN
                    .saturating_sub(context.now - begun)
                    .min(CONFIRMED_WITHIN);
                return self.confirm_configuration(context, ask, &outcome.chosen.state, left);
            }
            ChangeOutcome::StaleBase | ChangeOutcome::VersionNotIncreased => Told::Refused,
            ChangeOutcome::HistoryCompacted
            | ChangeOutcome::TooFewReplicas
            | ChangeOutcome::SetFull => Told::Unavailable,
        };
        context.out.push(Out::Tell(ask, told));
    }

    fn confirm_configuration(
        &mut self,
        context: &mut Context,
        ask: u64,
        state: &ControlState,
        left: Duration,
    ) {
        self.confirming.insert(ask);
        context.wake(left, Timer::Confirm(ask));
        if let Some(record) = configuration(state) {
            let confirmed = self.gossip.publish(context, record, left, ask);
            self.confirmed(context, &confirmed);
        }
    }

    /// Answers that have waited for a neighbour's confirmation.
    pub(super) fn confirmed(&mut self, context: &mut Context, asks: &[u64]) {
        for ask in asks {
            if self.drain_confirmed(context, *ask, true) {
                continue;
            }
            if self.confirming.remove(ask) {
                self.gossip.give_up(*ask);
                context.out.push(Out::Tell(*ask, Told::Done));
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

fn configuration_of(state: &ControlState) -> Told {
    Told::Configuration {
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
