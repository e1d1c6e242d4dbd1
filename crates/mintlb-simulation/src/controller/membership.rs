//! How a controller keeps in touch with the register; mirrors `controller/register/membership.rs`. The campaign among seeds
//! without a disk is left out: every controller of the model has one.

use super::tasks::{Awaited, Ended, Purpose};
use super::vote::ReplyTo;
use super::{Controller, TOLERANCE};
use crate::context::{Context, Out, Time, Timer};
use crate::message::{Answer, Call};
use mintlb_common::record::REPLICAS;
use mintlb_register::ballot::Ballot;
use mintlb_register::bootstrap::{Bootstrap, BootstrapStep, SeedStatus};
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::join::JoinView;
use mintlb_register::message::{AcceptedValue, Reply, Request, RequestBody};
use mintlb_register::replica_set::ReplicaSet;
use mintlb_register::state::ControlState;
use std::sync::Arc;
use std::time::Duration;

const MAX_REPLICAS: usize = 9;
const SEED_TIMEOUT: Duration = Duration::from_millis(250);
const SEED_PAUSE: Duration = Duration::from_millis(40);
const JOIN_TIMEOUT: Duration = Duration::from_millis(1500);
const JOIN_PAUSE: Duration = Duration::from_millis(60);
const READ_TIMEOUT: Duration = Duration::from_millis(400);
const READ_INTERVAL: Duration = Duration::from_millis(1000);
const UNCLEAR_READS: u32 = 2;

/// How far the look is.
#[derive(Debug, Default)]
pub struct Membership {
    unclear: u32,
    answers: Vec<Option<SeedStatus>>,
    open: usize,
    /// Whether the replica was a member since the process started.
    was_member: bool,
    /// Since when it is about to join.
    joining_since: Option<Time>,
}

impl Controller {
    /// Begins a look; the next one begins after the pause that it ends with.
    pub(super) fn look(&mut self, context: &mut Context) {
        if self.register.set().is_some() {
            return self.read_once(context, READ_TIMEOUT, Purpose::MemberRead);
        }
        if self.hint_from_gossip() {
            return self.pause(context, SEED_PAUSE);
        }
        self.ask_seeds(context);
    }

    fn pause(&mut self, context: &mut Context, pause: Duration) {
        let spread = context.random.below(pause.as_millis() as usize / 4 + 1) as u64;
        context.wake(pause + Duration::from_millis(spread), Timer::Member);
    }

    fn ask_seeds(&mut self, context: &mut Context) {
        self.membership.answers = vec![None; self.seeds.len()];
        self.membership.open = 0;
        for (seed_index, seed) in self.seeds.clone().into_iter().enumerate() {
            if seed != context.own {
                let id = self.register.await_call(Awaited::Seed(seed_index));
                context.call(seed, id, Call::Status);
                context.wake(SEED_TIMEOUT, Timer::CallLost(id));
                self.membership.open += 1;
            }
        }
        if self.membership.open == 0 {
            self.seeds_answered(context);
        }
    }

    /// A seed's answer, or its loss.
    pub(super) fn seed_answered(
        &mut self,
        context: &mut Context,
        seed_index: usize,
        answer: Option<Answer>,
    ) {
        if let Some(Answer::Status(answer)) = answer {
            self.membership.answers[seed_index] = Some(answer);
        }
        self.membership.open -= 1;
        if self.membership.open == 0 {
            self.seeds_answered(context);
        }
    }

    fn seeds_answered(&mut self, context: &mut Context) {
        let answers = std::mem::take(&mut self.membership.answers);
        if self.register.set().is_some() {
            self.hint_from_gossip();
            let sets = answers
                .into_iter()
                .flatten()
                .filter_map(|answer| answer.replica_set);
            sets.for_each(|set| self.register.hint(set));
            return self.pause(context, JOIN_PAUSE);
        }
        let own_index = self.seeds.iter().position(|seed| *seed == context.own);
        let bootstrap = Bootstrap {
            first_start: self.first_start,
            has_disk: true,
            own_index,
            seed_statuses: &answers,
        };
        match bootstrap.next_step() {
            // The pause begins once it is synced.
            BootstrapStep::Initialize => return self.found(context),
            BootstrapStep::Join(set) => self.register.hint(set),
            BootstrapStep::RequestVotes | BootstrapStep::Wait => (),
        }
        self.pause(context, SEED_PAUSE);
    }

    fn found(&mut self, context: &mut Context) {
        let ballot = Ballot::default().next(context.random.number());
        let state = Arc::new(ControlState::bootstrap(
            self.replica.identity().clone(),
            TOLERANCE,
        ));
        let proposed = AcceptedValue { ballot, state };
        let target = self.replica.identity().id;
        let request = Request {
            target,
            body: RequestBody::Accept {
                proposed: proposed.clone(),
            },
        };
        let commands = self
            .replica
            .request(context, request, ReplyTo::Found(proposed));
        self.route_replies(context, commands);
    }

    /// The replica has replied to the founding value, or could not sync it.
    pub(super) fn founded(
        &mut self,
        context: &mut Context,
        accepted: AcceptedValue,
        reply: Option<Reply>,
    ) {
        if matches!(reply, Some(Reply::Accepted { .. })) {
            context.out.push(Out::Note(format!("{} founds", self.name)));
            self.learn(context, accepted);
        }
        self.pause(context, SEED_PAUSE);
    }

    fn hint_from_gossip(&mut self) -> bool {
        let Some(record) = self.gossip.get(REPLICAS) else {
            return false;
        };
        let Ok(set) = minicbor::decode::<ReplicaSet>(&record.body) else {
            return false;
        };
        self.register.hint(set);
        true
    }

    /// A read or change of the membership has ended.
    pub(super) fn member_completed(
        &mut self,
        context: &mut Context,
        purpose: Purpose,
        ended: Ended,
    ) {
        match (purpose, ended) {
            (Purpose::MemberRead, Ended::Failed) => self.read_failed(context),
            (Purpose::MemberRead, _) => {
                self.membership.unclear = 0;
                self.maintain_membership(context);
            }
            (Purpose::MemberConfirm, Ended::Failed) => self.ask_seeds(context),
            (Purpose::MemberConfirm, _) => self.maintain_membership(context),
            (Purpose::Join, Ended::Changed(outcome)) if outcome.change.is_applied() => {
                self.change(
                    context,
                    Change::LeaveJoint,
                    JOIN_TIMEOUT,
                    Purpose::FinishSetChange { joined: true },
                );
            }
            (Purpose::Join, Ended::Changed(outcome))
                if outcome.change == ChangeOutcome::SetFull =>
            {
                self.pause(context, READ_INTERVAL);
            }
            (Purpose::FinishSetChange { joined: true }, Ended::Changed(_)) => {
                self.pause(context, Duration::ZERO)
            }
            (Purpose::FinishSetChange { joined: false }, _) => self.pause(context, READ_INTERVAL),
            _ => self.pause(context, JOIN_PAUSE),
        }
    }

    fn read_failed(&mut self, context: &mut Context) {
        self.membership.unclear += 1;
        if self.membership.unclear < UNCLEAR_READS && self.register.chosen().is_some() {
            return self.ask_seeds(context);
        }
        self.change(
            context,
            Change::Identity,
            READ_TIMEOUT,
            Purpose::MemberConfirm,
        );
    }

    fn maintain_membership(&mut self, context: &mut Context) {
        let Some(chosen) = self.register.chosen() else {
            return self.pause(context, JOIN_PAUSE);
        };
        let set = &chosen.state.replicas;
        if !set.current.contains(self.replica.identity()) {
            let since = *self.membership.joining_since.get_or_insert(context.now);
            let view = JoinView {
                set,
                replica: self.replica.identity(),
                unresponsive: self.singleton.unresponsive(context, set),
                has_silent_member: self.singleton.has_silent_member(context, set),
                waited: context.now - since,
                was_member: self.membership.was_member,
                tolerance: TOLERANCE,
                max_replicas: MAX_REPLICAS,
            };
            return match view.next_change() {
                Some(change) => self.change(context, change, JOIN_TIMEOUT, Purpose::Join),
                None => self.pause(context, JOIN_PAUSE),
            };
        }
        self.membership.was_member = true;
        self.membership.joining_since = None;
        if set.is_joint() {
            return self.change(
                context,
                Change::LeaveJoint,
                JOIN_TIMEOUT,
                Purpose::FinishSetChange { joined: false },
            );
        }
        self.pause(context, READ_INTERVAL);
    }
}
