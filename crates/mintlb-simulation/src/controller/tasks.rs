//! A controller's changes and reads of the register; mirrors `controller/register/client.rs`.

use super::Controller;
use super::vote::ReplyTo;
use crate::context::{Context, Out, Time, Timer};
use crate::message::{Answer, Call};
use crate::mutations::Mutation;
use mintlb_control::controller::register::replica_core::{Command, Completion};
use mintlb_register::ballot::Ballot;
use mintlb_register::change::Change;
use mintlb_register::message::{
    AcceptedValue, OutboundRequest, Reply, ReportedValue, Request, RequestBody,
};
use mintlb_register::proposal::{Effects, Input, PHASE_TIMEOUT, Proposal, ProposalOutcome};
use mintlb_register::quorum_read::{QuorumRead, ReadProgress};
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a read may try to do with one round.
const QUORUM_READ_TIMEOUT: Duration = Duration::from_millis(120);

/// What a task is for.
#[derive(Clone, Debug, PartialEq)]
pub enum Purpose {
    /// An operator's change, by the call's number.
    Put(u64),
    /// An operator's read.
    Get(u64),
    /// The membership's read.
    MemberRead,
    /// The membership makes sure of the value.
    MemberConfirm,
    /// The replica here joins the set.
    Join,
    /// A change of the replica set is finished, after a join of this replica or not.
    FinishSetChange {
        /// After a join.
        joined: bool,
    },
    /// The leader's read of a newer placement.
    RefreshPlacement,
    /// The leader's next placement.
    PlaceShards,
    /// The read for a call on a retirement.
    Retire {
        /// The call.
        request_id: u64,
        /// The machine.
        node: String,
        /// Whether it begins.
        begin: bool,
    },
    /// The order of a retirement, by the call's number.
    RetireOrder(u64),
    /// An unresponsive replica is removed.
    Remove,
    /// The change of the set is finished after a removal.
    FinishReplicaRemoval,
}

/// How a task ended.
#[derive(Clone, Debug)]
pub enum Ended {
    /// The change has an outcome.
    Changed(ProposalOutcome),
    /// This was read.
    Read(AcceptedValue),
    /// No majority answered in time.
    Failed,
}

enum Work {
    /// Waits for its turn.
    Waiting(Change),
    Proposal {
        proposal: Box<Proposal>,
        generation: u64,
    },
    /// With `then_confirm_by`, an unclear read goes on as a proposal until then.
    Reading {
        reading: Box<QuorumRead>,
        then_confirm_by: Option<Time>,
    },
}

/// One change or read.
pub struct Task {
    purpose: Purpose,
    deadline: Time,
    /// When the read or the change began.
    begun: Instant,
    work: Work,
}

/// Whose answer is awaited.
#[derive(Clone, Debug)]
pub enum Awaited {
    /// A replica's, by a task.
    Task {
        /// The task.
        task: u64,
        /// The replica.
        from: ReplicaId,
        /// The attempt.
        ballot: Ballot,
    },
    /// A seed's, by the membership.
    Seed(usize),
    /// Another controller's to a ping.
    Ping(SocketAddr, Instant),
    /// A replica's that is to store a stopped worker, for this worker's call.
    StoredWorker {
        /// The worker's call.
        request_id: u64,
        /// The replica.
        from: ReplicaId,
    },
}

/// What the process knows of the register, and what it has under way.
#[derive(Default)]
pub struct Register {
    chosen: Option<AcceptedValue>,
    /// When the newest read or change began that a majority answered.
    majority_at: Option<Instant>,
    hint: Option<ReplicaSet>,
    floor: Ballot,
    tasks: BTreeMap<u64, Task>,
    /// Changes in their order; the first has its turn.
    turns: VecDeque<u64>,
    calls: BTreeMap<u64, Awaited>,
    /// Replies of the replica here that are still to be handed over.
    replies: VecDeque<(u64, Option<Answer>)>,
    numbers: u64,
}

impl Register {
    /// With the set that the disk holds.
    pub fn new(hint: Option<ReplicaSet>) -> Register {
        Register {
            hint,
            ..Register::default()
        }
    }

    /// When the newest read or change began that a majority answered.
    pub fn majority_at(&self) -> Option<Instant> {
        self.majority_at
    }

    /// The newest value known to be chosen.
    pub fn chosen(&self) -> Option<&AcceptedValue> {
        self.chosen.as_ref()
    }

    /// The newest set known.
    pub fn set(&self) -> Option<&ReplicaSet> {
        let chosen = self.chosen.as_ref().map(|chosen| &chosen.state.replicas);
        chosen
            .into_iter()
            .chain(&self.hint)
            .max_by_key(|set| set.epoch)
    }

    /// Takes note of a set that another process knows.
    pub fn hint(&mut self, set: ReplicaSet) {
        if self
            .hint
            .as_ref()
            .is_none_or(|known| known.epoch < set.epoch)
        {
            self.hint = Some(set);
        }
    }

    /// A number that this process has not used.
    pub fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    /// Takes note of a call that is under way.
    pub fn await_call(&mut self, awaited: Awaited) -> u64 {
        let id = self.number();
        self.calls.insert(id, awaited);
        id
    }

    fn raise_floor(&mut self, highest: Ballot) {
        self.floor = self.floor.max(highest);
    }
}

impl Controller {
    /// Begins a change. Changes of one process wait for each other, within the same time.
    pub(super) fn change(
        &mut self,
        context: &mut Context,
        change: Change,
        within: Duration,
        purpose: Purpose,
    ) {
        let id = self.register.number();
        let (deadline, begun) = (context.now + within, context.instant);
        let task = Task {
            purpose,
            deadline,
            begun,
            work: Work::Waiting(change),
        };
        self.register.tasks.insert(id, task);
        self.queue_change(context, id, within);
    }

    fn queue_change(&mut self, context: &mut Context, id: u64, within: Duration) {
        context.wake(within, Timer::Deadline(id));
        self.register.turns.push_back(id);
        if self.register.turns.len() == 1 {
            self.begin_proposal(context, id);
        }
    }

    fn begin_proposal(&mut self, context: &mut Context, id: u64) {
        let Some(set) = self.register.set().cloned() else {
            return self.end(context, id, Ended::Failed);
        };
        let proposer = context.random.number();
        let (floor, known) = (self.register.floor, self.register.chosen.clone());
        let Some(task) = self.register.tasks.get_mut(&id) else {
            return;
        };
        let Work::Waiting(change) = &task.work else {
            return;
        };
        let (proposal, effects) = Proposal::start(proposer, floor, set, known, change.clone());
        task.work = Work::Proposal {
            proposal: Box::new(proposal),
            generation: 0,
        };
        self.carry_out(context, id, effects);
    }

    /// Begins a read: in one round within 120 ms, then by a proposal.
    pub(super) fn read(&mut self, context: &mut Context, within: Duration, purpose: Purpose) {
        let then_confirm_by = Some(context.now + within);
        self.begin_reading(
            context,
            within.min(QUORUM_READ_TIMEOUT),
            then_confirm_by,
            purpose,
        );
    }

    /// Begins a read in one round.
    pub(super) fn read_once(&mut self, context: &mut Context, within: Duration, purpose: Purpose) {
        self.begin_reading(context, within, None, purpose);
    }

    fn begin_reading(
        &mut self,
        context: &mut Context,
        within: Duration,
        then_confirm_by: Option<Time>,
        purpose: Purpose,
    ) {
        let Some(set) = self.register.set().cloned() else {
            return self.completed(context, purpose, Ended::Failed);
        };
        let (reading, progress) = QuorumRead::start(set, self.register.chosen.clone());
        let id = self.register.number();
        let work = Work::Reading {
            reading: Box::new(reading),
            then_confirm_by,
        };
        let (deadline, begun) = (context.now + within, context.instant);
        self.register.tasks.insert(
            id,
            Task {
                purpose,
                deadline,
                begun,
                work,
            },
        );
        context.wake(within, Timer::Deadline(id));
        self.progress(context, id, progress);
    }

    /// An answer to a call of this process, or its loss.
    pub(super) fn task_answer(&mut self, context: &mut Context, id: u64, answer: Option<Answer>) {
        let Some(awaited) = self.register.calls.remove(&id) else {
            return;
        };
        match awaited {
            Awaited::Seed(seed_index) => self.seed_answered(context, seed_index, answer),
            Awaited::Ping(address, sent_at) => {
                if let Some(Answer::Pong(pong)) = answer {
                    self.singleton.answered(context, address, sent_at, &pong);
                }
            }
            Awaited::StoredWorker { request_id, from } => {
                if let Some(Answer::StoppedWorkerStored(true)) = answer {
                    self.drain_stored(context, request_id, from);
                }
            }
            Awaited::Task { task, from, ballot } => {
                let reply = match answer {
                    Some(Answer::Vote(reply)) => {
                        reply.map(|reply| altered(context.mutation, reply))
                    }
                    _ => None,
                };
                self.task_reply(context, task, from, ballot, reply);
            }
        }
    }

    fn task_reply(
        &mut self,
        context: &mut Context,
        id: u64,
        from: ReplicaId,
        ballot: Ballot,
        reply: Option<Reply>,
    ) {
        let Some(task) = self.register.tasks.get_mut(&id) else {
            return;
        };
        if let Work::Reading { reading, .. } = &mut task.work {
            let progress = reading.handle_reply(from, reply);
            let highest = reading.highest_ballot();
            self.register.raise_floor(highest);
            return self.progress(context, id, progress);
        }
        let input = match reply {
            Some(reply) => Input::Reply { from, reply },
            None => Input::Lost { from, ballot },
        };
        self.proposal_input(context, id, input);
    }

    fn proposal_input(&mut self, context: &mut Context, id: u64, input: Input) {
        let Some(task) = self.register.tasks.get_mut(&id) else {
            return;
        };
        if context.now >= task.deadline {
            return self.task_expired(context, id);
        }
        let Work::Proposal { proposal, .. } = &mut task.work else {
            return;
        };
        let effects = proposal.handle(input);
        self.carry_out(context, id, effects);
    }

    /// A proposal's timer ran out.
    pub(super) fn attempt_timer(&mut self, context: &mut Context, id: u64, generation: u64) {
        let Some(task) = self.register.tasks.get(&id) else {
            return;
        };
        if matches!(&task.work, Work::Proposal { generation: newest, .. } if *newest == generation)
        {
            self.proposal_input(context, id, Input::Timer);
        }
    }

    /// A task's time is over.
    pub(super) fn task_expired(&mut self, context: &mut Context, id: u64) {
        let Some(task) = self.register.tasks.get(&id) else {
            return;
        };
        if context.now < task.deadline {
            return;
        }
        if let Work::Reading { .. } = task.work {
            return self.progress(context, id, ReadProgress::Inconclusive);
        }
        if let Work::Proposal { proposal, .. } = &task.work {
            let highest = proposal.highest_ballot();
            self.register.raise_floor(highest);
        }
        self.end(context, id, Ended::Failed);
    }

    fn carry_out(&mut self, context: &mut Context, id: u64, effects: Effects) {
        for OutboundRequest { to, request } in effects.requests {
            self.post(context, id, to, request);
        }
        let Some(task) = self.register.tasks.get_mut(&id) else {
            return;
        };
        let Work::Proposal {
            proposal,
            generation,
        } = &mut task.work
        else {
            return;
        };
        if let Some(after) = effects.timer {
            *generation += 1;
            context.wake(
                after,
                Timer::Attempt {
                    task: id,
                    generation: *generation,
                },
            );
        }
        let Some(outcome) = effects.outcome else {
            return;
        };
        let highest = proposal.highest_ballot();
        self.register.raise_floor(highest);
        self.learn(context, outcome.chosen.clone());
        self.end(context, id, Ended::Changed(outcome));
    }

    fn progress(&mut self, context: &mut Context, id: u64, progress: ReadProgress) {
        match progress {
            ReadProgress::Send(requests) => {
                for OutboundRequest { to, request } in requests {
                    self.post(context, id, to, request);
                }
            }
            ReadProgress::Chosen(chosen) => {
                self.learn(context, chosen.clone());
                self.end(context, id, Ended::Read(chosen));
            }
            ReadProgress::Inconclusive => {
                let Some(task) = self.register.tasks.get_mut(&id) else {
                    return;
                };
                let Work::Reading {
                    then_confirm_by, ..
                } = &task.work
                else {
                    return;
                };
                let Some(by) = *then_confirm_by else {
                    return self.end(context, id, Ended::Failed);
                };
                task.work = Work::Waiting(Change::Identity);
                task.deadline = by;
                task.begun = context.instant;
                self.queue_change(context, id, by.saturating_sub(context.now));
            }
        }
    }

    fn end(&mut self, context: &mut Context, id: u64, ended: Ended) {
        let Some(task) = self.register.tasks.remove(&id) else {
            return;
        };
        if !matches!(ended, Ended::Failed) {
            self.register.majority_at = self.register.majority_at.max(Some(task.begun));
        }
        let had_turn = self.register.turns.front() == Some(&id);
        self.register.turns.retain(|other| *other != id);
        if had_turn && let Some(next) = self.register.turns.front().copied() {
            self.begin_proposal(context, next);
        }
        self.completed(context, task.purpose, ended);
    }

    fn post(&mut self, context: &mut Context, task: u64, replica: Replica, request: Request) {
        let request = altered_request(context.mutation, request);
        let ballot = request.body.ballot();
        let id = self.register.await_call(Awaited::Task {
            task,
            from: replica.id,
            ballot,
        });
        if replica.id == self.replica.identity().id {
            let commands = self.replica.request(context, request, ReplyTo::Local(id));
            return self.route_replies(context, commands);
        }
        context.wake(PHASE_TIMEOUT, Timer::CallLost(id));
        match replica.address.parse() {
            Ok(address) => context.call(address, id, Call::Vote(request)),
            Err(_) => self.register.replies.push_back((id, None)),
        }
    }

    /// Gives replies of the replica here, or their absence, to who waits for them.
    pub(super) fn route_replies(&mut self, context: &mut Context, commands: Vec<Command<ReplyTo>>) {
        for command in commands {
            match command {
                Command::Complete {
                    token,
                    completion: Completion::Reply(reply),
                } => self.route_reply(context, token, Some(reply)),
                Command::Fail { token, .. } => self.route_reply(context, token, None),
                Command::Complete {
                    token,
                    completion: Completion::WorkerStored,
                } => self.route_stored(context, token),
                Command::Complete {
                    completion: Completion::Learned,
                    ..
                }
                | Command::StartCommit => (),
            }
        }
    }

    fn route_reply(&mut self, context: &mut Context, to: ReplyTo, reply: Option<Reply>) {
        match to {
            ReplyTo::Remote(caller) => context.answer(&caller, Answer::Vote(reply)),
            ReplyTo::Local(id) => self
                .register
                .replies
                .push_back((id, Some(Answer::Vote(reply)))),
            ReplyTo::Found(accepted) => self.founded(context, accepted, reply),
            ReplyTo::Nobody => (),
        }
    }

    /// Tells who waits for it that a stopped worker is on the disk here.
    fn route_stored(&mut self, context: &mut Context, to: ReplyTo) {
        let stored = Answer::StoppedWorkerStored(true);
        match to {
            ReplyTo::Remote(caller) => context.answer(&caller, stored),
            ReplyTo::Local(id) => self.register.replies.push_back((id, Some(stored))),
            ReplyTo::Found(_) | ReplyTo::Nobody => (),
        }
    }

    /// Hands over what gossip has brought, and what the replica here has answered.
    pub(super) fn deliver_local_replies(&mut self, context: &mut Context) {
        self.handle_applied_records(context);
        while let Some((id, answer)) = self.register.replies.pop_front() {
            self.task_answer(context, id, answer);
        }
    }

    /// Takes note of a value that is chosen, and publishes what changed.
    pub(super) fn learn(&mut self, context: &mut Context, accepted: AcceptedValue) {
        context.out.push(Out::Chosen(accepted.clone()));
        if self
            .register
            .chosen
            .as_ref()
            .is_some_and(|known| known.ballot >= accepted.ballot)
        {
            return;
        }
        let before = self.register.chosen.replace(accepted.clone());
        let set = &accepted.state.replicas;
        if before.is_none_or(|before| before.state.replicas.epoch != set.epoch) {
            let ids = |side: &[Replica]| side.iter().map(|replica| replica.id).collect::<Vec<_>>();
            let (previous, current) = (ids(&set.previous), ids(&set.current));
            let note = format!(
                "{} knows set {} {previous:?} {current:?}",
                self.name, set.epoch
            );
            context.out.push(Out::Note(note));
        }
        self.publish_state(context, &accepted.state);
    }
}

/// Applies the mutation to a request to a replica.
fn altered_request(mutation: Mutation, mut request: Request) -> Request {
    if mutation == Mutation::JointSetSkipped
        && let RequestBody::Accept { proposed } = &mut request.body
        && proposed.state.replicas.is_joint()
    {
        let mut state = (*proposed.state).clone();
        state.replicas.previous.clear();
        proposed.state = Arc::new(state);
    }
    request
}

/// Applies the mutation to a replica's reply.
fn altered(mutation: Mutation, reply: Reply) -> Reply {
    match (mutation, reply) {
        (
            Mutation::JointSetSkipped,
            Reply::Promise {
                ballot,
                last_accepted,
            },
        ) => Reply::Promise {
            ballot,
            last_accepted: left_joint(last_accepted),
        },
        (
            Mutation::JointSetSkipped,
            Reply::Read {
                last_accepted,
                promised,
            },
        ) => Reply::Read {
            last_accepted: left_joint(last_accepted),
            promised,
        },
        (_, reply) => reply,
    }
}

/// The report with the set's change ended without a round.
fn left_joint(report: ReportedValue) -> ReportedValue {
    match report {
        ReportedValue::Value(accepted) if accepted.state.replicas.is_joint() => {
            let mut state = (*accepted.state).clone();
            state.revision += 1;
            state.replicas.epoch += 1;
            state.replicas.previous.clear();
            ReportedValue::Value(AcceptedValue {
                ballot: accepted.ballot,
                state: Arc::new(state),
            })
        }
        report => report,
    }
}
