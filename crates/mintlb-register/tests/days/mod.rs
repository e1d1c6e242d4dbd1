//! Days of controllers in virtual time: each reads the register each second, joins it, ends changes of its set and catches
//! up, as `mintlb-control` does, while machines are lost within the operators' promise.

mod checks;
pub mod machine;
mod troubles;

use machine::{Actor, Machine, Purpose, Work, replica};
use mintlb_register::acceptor::DurableWrite;
use mintlb_register::ballot::Ballot;
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::message::{AcceptedValue, OutboundRequest, Reply, Request};
use mintlb_register::proposal::{Effects, Input, Proposal, ProposalOutcome};
use mintlb_register::quorum_read::{QuorumRead, ReadProgress};
use mintlb_register::replica_set::{ReplicaId, ReplicaSet};
use mintlb_register::state::ControlState;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A returned or new machine counts as lost for so long, in ms.
pub const CATCH_UP: u64 = 5000;
/// A replica that was silent for so long may be taken out of the set, in ms.
const SILENT: u64 = 3000;
/// How long a change may take, in ms.
const CHANGE_WITHIN: u64 = 1500;
/// How long a read may take, in ms.
const READ_WITHIN: u64 = 400;

/// A fault planted to see that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Planted {
    None,
    /// Answers are given before they are synced.
    AnswersBeforeSync,
    /// An emptied disk goes on under its old identity.
    KeepsIdentityOnEmptyDisk,
    /// A machine that is replaced as planned ends without having left the set.
    EndsWithoutLeaving,
    /// Nobody ends a change of the set that another began, and its author does not either.
    NobodySettles,
    /// An emptied machine does not join again.
    NeverJoinsAgain,
    /// A replica that missed a change waits for the next one.
    NeverCatchesUp,
}

pub enum Event {
    Request {
        to: String,
        from: usize,
        actor: u64,
        request: Request,
    },
    Reply {
        to: usize,
        actor: u64,
        from: ReplicaId,
        reply: Reply,
    },
    Synced {
        machine: usize,
        life: u64,
    },
    Timer {
        machine: usize,
        actor: u64,
        armed: u64,
    },
    Deadline {
        machine: usize,
        actor: u64,
    },
    Look {
        machine: usize,
        life: u64,
    },
    Order,
    Trouble,
    Start {
        machine: usize,
    },
    Thaw {
        machine: usize,
    },
    Join {
        machine: usize,
    },
    Stop {
        machine: usize,
    },
    End {
        machine: usize,
    },
}

/// The world.
pub struct Day {
    pub now: u64,
    pub tolerated_failures: usize,
    pub planted: Planted,
    pub machines: Vec<Machine>,
    pub calm: bool,
    orders: bool,
    /// Of 100 messages so many are lost.
    dropped: u64,
    events: BTreeMap<(u64, u64), Event>,
    number: u64,
    dice: u64,
    chosen: BTreeMap<u64, Arc<ControlState>>,
    newest: AcceptedValue,
    acknowledged: u64,
    bases: BTreeMap<u64, u64>,
    pub taken: u64,
    pub disks: u64,
    pub sets: u64,
    pub broken: Option<String>,
    /// What befell the machines.
    pub history: Vec<String>,
}

impl Day {
    /// A settled register on so many machines.
    pub fn new(seed: u64, tolerated_failures: usize, size: usize, planted: Planted) -> Day {
        let current: Vec<_> = (0..size)
            .map(|at| replica(ReplicaId(at as u64 + 1), &machine::address(at)))
            .collect();
        let replicas = ReplicaSet {
            epoch: 1,
            previous: Vec::new(),
            current,
        };
        let state = Arc::new(ControlState {
            revision: 1,
            replicas,
            ..ControlState::default()
        });
        let newest = AcceptedValue {
            ballot: Ballot {
                counter: 1,
                proposer: 1,
            },
            state: state.clone(),
        };
        let mut day = Day {
            now: 0,
            tolerated_failures,
            planted,
            machines: (0..size)
                .map(|at| Machine::holding(at, newest.clone()))
                .collect(),
            calm: false,
            orders: true,
            dropped: if tolerated_failures == 1 && seed.is_multiple_of(3) {
                5
            } else {
                2
            },
            events: BTreeMap::new(),
            number: 1000,
            dice: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            chosen: BTreeMap::from([(1, state)]),
            newest,
            acknowledged: 1,
            bases: BTreeMap::new(),
            taken: 0,
            disks: 0,
            sets: 0,
            broken: None,
            history: Vec::new(),
        };
        (0..size).for_each(|machine| day.look_after(machine, 1000));
        day.after(100, Event::Order);
        day.after(500, Event::Trouble);
        day
    }

    /// A number below `most`.
    pub fn roll(&mut self, most: u64) -> u64 {
        self.dice ^= self.dice << 13;
        self.dice ^= self.dice >> 7;
        self.dice ^= self.dice << 17;
        (self.dice >> 16) % most.max(1)
    }

    pub fn fresh(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    pub fn after(&mut self, ms: u64, event: Event) {
        let number = self.fresh();
        self.events.insert((self.now + ms, number), event);
    }

    pub fn look_after(&mut self, machine: usize, ms: u64) {
        let spread = self.roll(ms / 4 + 1);
        let life = self.machines[machine].life;
        self.after(ms + spread, Event::Look { machine, life });
    }

    /// Runs until this time, or until something is broken.
    pub fn run_until(&mut self, until: u64) {
        while self.broken.is_none() {
            let Some(next) = self.events.first_entry() else {
                return;
            };
            if next.key().0 > until {
                break;
            }
            let ((at, _), event) = next.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request {
                to,
                from,
                actor,
                request,
            } => self.request(to, from, actor, request),
            Event::Reply {
                to,
                actor,
                from,
                reply,
            } => self.give(to, actor, Input::Reply { from, reply }),
            Event::Synced { machine, life } => self.synced(machine, life),
            Event::Timer {
                machine,
                actor,
                armed,
            } => {
                let current = self.machines[machine]
                    .actors
                    .get(&actor)
                    .is_some_and(|a| a.armed == armed);
                if current {
                    self.give(machine, actor, Input::Timer);
                }
            }
            Event::Deadline { machine, actor } => {
                if let Some(actor) = self.machines[machine].actors.remove(&actor) {
                    self.ended(machine, actor.purpose, None);
                }
            }
            Event::Look { machine, life } => self.look(machine, life),
            Event::Order => self.order(),
            Event::Trouble => self.trouble(),
            Event::Start { machine } => self.start(machine),
            Event::Thaw { machine } => self.thaw(machine),
            Event::Join { machine } => self.begin_machine(machine),
            Event::Stop { machine } => self.stop(machine),
            Event::End { machine } => {
                self.machines[machine].remove();
                self.note(format!("machine {machine} ends"));
                self.check_majority();
            }
        }
    }

    /// Sends over a network that loses, doubles and delays.
    fn send(&mut self, from: usize, to: Option<usize>, event: impl Fn() -> Event) {
        let cut = self.machines[from].cut_out || to.is_some_and(|to| self.machines[to].cut_in);
        let times = match self.roll(100) {
            roll if roll < self.dropped => 0,
            98..=99 => 2,
            _ => 1,
        };
        for _ in 0..if cut { 0 } else { times } {
            let delay = if self.roll(50) == 0 {
                self.roll(600)
            } else {
                1 + self.roll(12)
            };
            self.after(delay, event());
        }
    }

    fn request(&mut self, to: String, from: usize, actor: u64, request: Request) {
        let Some(at) = self
            .machines
            .iter()
            .position(|machine| machine.is_up && machine.address == to)
        else {
            return;
        };
        if self.machines[at].frozen_until > self.now {
            let left = self.machines[at].frozen_until - self.now;
            return self.after(
                left,
                Event::Request {
                    to,
                    from,
                    actor,
                    request,
                },
            );
        }
        let answered = self.machines[at].acceptor.handle(request);
        let early = self.planted == Planted::AnswersBeforeSync;
        let id = self.machines[at].acceptor.id();
        let reply = answered.reply.clone();
        if early
            || (answered.durable_write == DurableWrite::Nothing
                && self.machines[at].unsynced.is_empty())
        {
            self.send(at, Some(from), || Event::Reply {
                to: from,
                actor,
                from: id,
                reply: reply.clone(),
            });
        }
        if answered.durable_write != DurableWrite::Nothing || !self.machines[at].unsynced.is_empty()
        {
            self.machines[at].unsynced.push_back((
                answered.durable_write,
                answered.reply,
                from,
                actor,
            ));
            let slow = self.roll(12) == 0;
            let (life, took) = (
                self.machines[at].life,
                1 + self.roll(if slow { 600 } else { 15 }),
            );
            self.after(took, Event::Synced { machine: at, life });
        }
    }

    fn synced(&mut self, at: usize, life: u64) {
        if self.machines[at].life != life {
            return;
        }
        let Some((sync, reply, to, actor)) = self.machines[at].unsynced.pop_front() else {
            return;
        };
        let voted = sync != DurableWrite::Nothing;
        self.machines[at].write(sync);
        let from = self.machines[at].acceptor.id();
        if self.planted != Planted::AnswersBeforeSync {
            self.send(at, Some(to), || Event::Reply {
                to,
                actor,
                from,
                reply: reply.clone(),
            });
        }
        if voted && !self.calm && self.roll(400) == 0 && self.may_lose(at) {
            self.wipe(at);
        }
    }

    /// A controller's regular look at the register.
    fn look(&mut self, at: usize, life: u64) {
        let machine = &self.machines[at];
        if machine.life != life || !machine.is_up {
            return;
        }
        if machine.frozen_until > self.now {
            let left = machine.frozen_until - self.now;
            return self.after(left, Event::Look { machine: at, life });
        }
        if self.machines[at].set().is_none() {
            self.ask_others(at);
            return self.look_after(at, 60);
        }
        self.begin_reading(at);
    }

    /// The newest set that others know, from the overlay or a seed.
    fn ask_others(&mut self, at: usize) {
        if !self.machines[at].is_reachable() {
            return;
        }
        let others = self.machines.iter().filter(|other| other.is_reachable());
        let newest = others
            .filter_map(|other| other.set())
            .max_by_key(|set| set.epoch)
            .cloned();
        self.machines[at].hint = newest;
    }

    fn begin_reading(&mut self, at: usize) {
        let machine = &self.machines[at];
        let Some(set) = machine.set().cloned() else {
            return;
        };
        let (reading, progress) = QuorumRead::start(set, machine.known.clone());
        let actor = self.enter(
            at,
            Work::Reading(Box::new(reading)),
            Purpose::Look,
            READ_WITHIN,
        );
        self.read_on(at, actor, progress);
    }

    pub fn begin_change(&mut self, at: usize, change: Change, purpose: Purpose) {
        let machine = &self.machines[at];
        let Some(set) = machine.set().cloned() else {
            return;
        };
        let proposer = self.number + 7;
        let (proposal, effects) =
            Proposal::start(proposer, machine.floor, set, machine.known.clone(), change);
        let actor = self.enter(
            at,
            Work::Proposal(Box::new(proposal)),
            purpose,
            CHANGE_WITHIN,
        );
        self.carry_out(at, actor, effects);
    }

    fn enter(&mut self, at: usize, work: Work, purpose: Purpose, within: u64) -> u64 {
        // Proposers are numbered apart from each other.
        self.number += 10;
        let actor = self.number;
        let entered = Actor {
            work,
            purpose,
            floor: self.acknowledged,
            armed: 0,
        };
        self.machines[at].actors.insert(actor, entered);
        self.after(within, Event::Deadline { machine: at, actor });
        actor
    }

    fn give(&mut self, at: usize, number: u64, input: Input) {
        if self.machines[at].frozen_until > self.now {
            return;
        }
        let Some(actor) = self.machines[at].actors.get_mut(&number) else {
            return;
        };
        match &mut actor.work {
            Work::Proposal(proposal) => {
                let effects = proposal.handle(input);
                self.carry_out(at, number, effects);
            }
            Work::Reading(reading) => {
                if let Input::Reply { from, reply } = input {
                    let progress = reading.handle_reply(from, Some(reply));
                    self.read_on(at, number, progress);
                }
            }
        }
    }

    fn post(&mut self, at: usize, actor: u64, requests: Vec<OutboundRequest>) {
        for OutboundRequest {
            to: replica,
            request,
        } in requests
        {
            let to = self
                .machines
                .iter()
                .position(|m| m.is_up && m.address == replica.address);
            let address = replica.address;
            self.send(at, to, || Event::Request {
                to: address.clone(),
                from: at,
                actor,
                request: request.clone(),
            });
        }
    }

    fn carry_out(&mut self, at: usize, number: u64, effects: Effects) {
        self.post(at, number, effects.requests);
        let armed = self.fresh();
        let Some(actor) = self.machines[at].actors.get_mut(&number) else {
            return;
        };
        if let Some(timer) = effects.timer {
            actor.armed = armed;
            self.after(
                timer.as_millis() as u64,
                Event::Timer {
                    machine: at,
                    actor: number,
                    armed,
                },
            );
        }
        let Some(outcome) = effects.outcome else {
            return;
        };
        let Some(actor) = self.machines[at].actors.remove(&number) else {
            return;
        };
        if let Work::Proposal(proposal) = &actor.work {
            self.machines[at].floor = self.machines[at].floor.max(proposal.highest_ballot());
        }
        self.check(&outcome.chosen, actor.floor);
        self.machines[at].learn(&outcome.chosen);
        self.ended(at, actor.purpose, Some(outcome));
    }

    fn read_on(&mut self, at: usize, number: u64, progress: ReadProgress) {
        match progress {
            ReadProgress::Send(requests) => self.post(at, number, requests),
            ReadProgress::Inconclusive => {
                self.machines[at].actors.remove(&number);
                self.begin_change(at, Change::Identity, Purpose::Look);
            }
            ReadProgress::Chosen(chosen) => {
                let Some(actor) = self.machines[at].actors.remove(&number) else {
                    return;
                };
                self.check(&chosen, actor.floor);
                self.machines[at].learn(&chosen);
                self.keep_place(at);
            }
        }
    }

    /// What follows on the end of an actor; without an outcome its time was over.
    fn ended(&mut self, at: usize, purpose: Purpose, outcome: Option<ProposalOutcome>) {
        match (purpose, outcome) {
            (Purpose::Look, Some(_)) => self.keep_place(at),
            (Purpose::Look, None) => {
                // As after an unclear read.
                self.ask_others(at);
                match self.machines[at].known.is_some() && self.roll(2) == 0 {
                    true => self.begin_change(at, Change::Identity, Purpose::Set),
                    false => self.look_after(at, 60),
                }
            }
            (Purpose::SetBegun, Some(_)) if self.planted != Planted::NobodySettles => {
                self.begin_change(at, Change::LeaveJoint, Purpose::Set);
            }
            (Purpose::SetBegun | Purpose::Set, _) => self.look_after(at, 60),
            (Purpose::Leaving, Some(_)) => self.begin_change(at, Change::LeaveJoint, Purpose::Left),
            (Purpose::Leaving, None) | (Purpose::Left, _) => (),
            (Purpose::Order { base, version }, Some(outcome))
                if outcome.change == ChangeOutcome::Applied =>
            {
                self.taken += 1;
                self.trouble_after_an_answer();
                let other = self
                    .bases
                    .insert(base, version)
                    .filter(|other| *other != version);
                if let Some(other) = other {
                    self.breaks(format!(
                        "{other} and {version} were both acknowledged on {base}"
                    ));
                }
            }
            (Purpose::Order { .. }, _) => (),
        }
    }

    fn keep_place(&mut self, at: usize) {
        let Some(chosen) = self.machines[at].known.clone() else {
            return self.look_after(at, 60);
        };
        let set = &chosen.state.replicas;
        let id = self.machines[at].acceptor.id();
        self.catch_up(at, &chosen);
        if set.current_replica(id).is_none() && !self.machines[at].stopping {
            if self.planted == Planted::NeverJoinsAgain {
                return self.look_after(at, 1000);
            }
            let replica = replica(id, &self.machines[at].address);
            let change = Change::AddReplica {
                replica,
                unresponsive: Vec::new(),
                max_replicas: 9,
            };
            return self.begin_change(at, change, Purpose::SetBegun);
        }
        if set.is_joint() && self.planted != Planted::NobodySettles {
            return self.begin_change(at, Change::LeaveJoint, Purpose::Set);
        }
        let min_replicas = 2 * self.tolerated_failures + 1;
        let silent = set
            .current
            .iter()
            .map(|replica| replica.id)
            .find(|id| self.is_silent(*id));
        if let Some(id) = silent.filter(|_| !set.is_joint() && set.current.len() > min_replicas)
            && self.has_duties(at, set)
        {
            return self.begin_change(
                at,
                Change::RemoveReplica { id, min_replicas },
                Purpose::SetBegun,
            );
        }
        self.look_after(at, 1000);
    }

    fn catch_up(&mut self, at: usize, chosen: &AcceptedValue) {
        if self.planted == Planted::NeverCatchesUp {
            return;
        }
        let machine = &mut self.machines[at];
        let id = machine.acceptor.id();
        if !chosen
            .state
            .replicas
            .members()
            .any(|member| member.id == id)
        {
            return;
        }
        let sync = machine.acceptor.learn(chosen);
        if sync != DurableWrite::Nothing {
            let nobody = Reply::WrongReplica { id };
            machine.unsynced.push_back((sync, nobody, at, 0));
            let life = machine.life;
            let took = 1 + self.roll(15);
            self.after(took, Event::Synced { machine: at, life });
        }
    }

    fn is_silent(&self, id: ReplicaId) -> bool {
        let holder = self
            .machines
            .iter()
            .find(|machine| machine.acceptor.id() == id && machine.is_up);
        holder.is_none_or(|machine| {
            !machine.is_reachable() && self.now >= machine.troubled_at + SILENT
        }) && self.now
            >= self
                .machines
                .iter()
                .filter(|m| m.acceptor.id() == id)
                .map(|m| m.troubled_at)
                .max()
                .unwrap_or(0)
                + SILENT
    }

    fn has_duties(&self, at: usize, set: &ReplicaSet) -> bool {
        let live = |id| {
            self.machines
                .iter()
                .any(|m| m.acceptor.id() == id && m.is_reachable() && m.is_up)
        };
        let first = set
            .current
            .iter()
            .filter(|replica| live(replica.id))
            .map(|replica| &replica.address)
            .min();
        first == Some(&self.machines[at].address)
    }

    /// The operator's next change, at any machine.
    fn order(&mut self) {
        let pause = if self.roll(4) == 0 {
            2500
        } else {
            100 + self.roll(700)
        };
        self.after(pause, Event::Order);
        let up: Vec<usize> = (0..self.machines.len())
            .filter(|at| self.machines[*at].is_up)
            .collect();
        if up.is_empty() || !self.orders {
            return;
        }
        let at = up[self.roll(up.len() as u64) as usize];
        let base = self.newest.state.configuration_version;
        let version = self.fresh();
        let body = version.to_be_bytes().to_vec();
        let tolerated_failures = self.tolerated_failures;
        let change = Change::SetConfiguration {
            base,
            version,
            body,
            tolerated_failures,
            durability_suffices: false,
        };
        self.begin_change(at, change, Purpose::Order { base, version });
    }
}
