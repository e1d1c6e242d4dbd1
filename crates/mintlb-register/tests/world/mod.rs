//! A world of replicas and proposals in which messages are lost, doubled, late and out of order, machines lose power and
//! disks, and every outcome is checked.

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use mintlb_register::acceptor::{Acceptor, AcceptorState, DurableWrite};
use mintlb_register::ballot::Ballot;
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::message::{AcceptedValue, OutboundRequest, Reply, Request, RequestBody};
use mintlb_register::proposal::{Effects, Input, Proposal};
use mintlb_register::quorum_read::{QuorumRead, ReadProgress};
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use mintlb_register::state::ControlState;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Disks that may be lost before the set has been mended.
pub const TOLERANCE: usize = 1;
/// Messages that are on their way at most; the oldest are lost beyond it.
const MOST_MESSAGES: usize = 200;
/// Proposals and reads that run at once.
const MOST_ACTORS: usize = 4;

/// A fault of the replicas, planted to see that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Planted {
    /// None.
    None,
    /// Answers are given before they are synced.
    AnswersBeforeSync,
    /// An emptied disk goes on under its old identity.
    KeepsIdentityOnEmptyDisk,
}

struct Machine {
    address: String,
    acceptor: Acceptor,
    durable: AcceptorState,
    unsynced: VecDeque<(DurableWrite, Reply, u64)>,
    has_lost_disk: bool,
}

enum Work {
    Proposal {
        proposal: Box<Proposal>,
        timer: bool,
        change: Change,
    },
    Reading(Box<QuorumRead>),
}

struct Actor {
    work: Work,
    /// The newest revision acknowledged when it began.
    floor: u64,
}

#[derive(Clone)]
enum Message {
    Request {
        actor: u64,
        request: Request,
    },
    Reply {
        actor: u64,
        from: ReplicaId,
        reply: Reply,
    },
}

/// What is done to one message.
#[derive(Clone, Copy, Debug)]
pub enum Mutation {
    /// It is lost.
    Drop,
    /// It comes twice, the second time last of all.
    Double,
    /// It comes last of all.
    Delay,
    /// It changes places with the next one.
    Swap,
}

/// What happened in a world.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Changes of the configuration that were acknowledged.
    pub taken: u64,
    /// Disks lost.
    pub disks: u64,
    /// Reads of one round that were clear.
    pub reads: u64,
    /// Changes of the set.
    pub sets: u64,
}

/// The world.
pub struct World {
    machines: Vec<Machine>,
    actors: BTreeMap<u64, Actor>,
    messages: VecDeque<Message>,
    /// Every chosen value seen, by revision.
    chosen: BTreeMap<u64, Arc<ControlState>>,
    newest: AcceptedValue,
    acknowledged: u64,
    /// Versions acknowledged, by the version they were built on.
    bases: BTreeMap<u64, u64>,
    /// Identities whose disks are lost.
    lost: Vec<ReplicaId>,
    next_number: u64,
    next_version: u64,
    planted: Planted,
    /// What happened, to see that schedules are worth playing.
    pub counts: Counts,
    /// What was broken, if anything was.
    pub broken: Option<String>,
}

impl World {
    /// A register founded by the first of `size` machines; the others have yet to join.
    pub fn new(size: usize, planted: Planted) -> World {
        let machines: Vec<Machine> = (0..size)
            .map(|i| Machine {
                address: format!("10.0.0.{i}:7661"),
                acceptor: Acceptor::new(ReplicaId(i as u64 + 1), AcceptorState::default()),
                durable: AcceptorState::default(),
                unsynced: VecDeque::new(),
                has_lost_disk: false,
            })
            .collect();
        let founder = replica(ReplicaId(1), &machines[0].address);
        let ballot = Ballot {
            counter: 1,
            proposer: 1,
        };
        let newest = AcceptedValue {
            ballot,
            state: Arc::new(ControlState::bootstrap(founder)),
        };
        let mut world = World {
            machines,
            actors: BTreeMap::new(),
            messages: VecDeque::new(),
            chosen: BTreeMap::from([(1, newest.state.clone())]),
            newest: newest.clone(),
            acknowledged: 1,
            bases: BTreeMap::new(),
            lost: Vec::new(),
            next_number: 1000,
            next_version: 1,
            planted,
            counts: Counts::default(),
            broken: None,
        };
        let vote = AcceptorState {
            promised: ballot,
            accepted: Some(newest),
        };
        world.machines[0].durable = vote.clone();
        world.machines[0].acceptor = Acceptor::new(ReplicaId(1), vote);
        world
    }

    /// Every machine joins, one after the other, without trouble.
    pub fn assemble(&mut self) {
        for i in 1..self.machines.len() {
            let change = self.join_of(i);
            self.run_calmly(change);
            self.run_calmly(Change::LeaveJoint);
        }
    }

    /// One step, drawn.
    pub fn step(&mut self, u: &mut Unstructured) -> Drawn<()> {
        match u.int_in_range(0..=99)? {
            0..=59 => self.deliver(u),
            60..=63 => self.drop_or_double(u),
            64..=83 => self.sync(u),
            84..=88 => self.fire(u),
            89..=94 => self.begin(u),
            95 => self.abandon(u),
            96..=97 => self.lose_power(u),
            _ => self.lose_disk(u),
        }
    }

    /// Without any more trouble a proposal has to come to its end.
    pub fn settle(&mut self) {
        self.actors.clear();
        self.messages.clear();
        for machine in &mut self.machines {
            machine.unsynced.clear();
            machine.acceptor = Acceptor::new(machine.acceptor.id(), machine.durable.clone());
        }
        self.run_calmly(Change::Identity);
    }

    fn run_calmly(&mut self, change: Change) {
        self.run_mutated(change, None);
    }

    /// Runs a change to its end with one message changed; returns how many messages there were.
    pub fn run_mutated(&mut self, change: Change, mutation: Option<(usize, Mutation)>) -> usize {
        self.begin_proposal(change, self.newest.state.replicas.clone());
        let mut handed_over = 0;
        for _ in 0..3000 {
            if self.actors.is_empty() {
                return handed_over;
            }
            if let Some(message) = self.messages.pop_front() {
                let mutation = mutation
                    .filter(|(at, _)| *at == handed_over)
                    .map(|(_, mutation)| mutation);
                handed_over += 1;
                match mutation {
                    None => self.hand_over(message),
                    Some(Mutation::Drop) => (),
                    Some(Mutation::Double) => {
                        self.messages.push_back(message.clone());
                        self.hand_over(message);
                    }
                    Some(Mutation::Delay) => self.messages.push_back(message),
                    Some(Mutation::Swap) => {
                        let after = self.messages.pop_front();
                        self.messages.push_front(message);
                        after
                            .into_iter()
                            .for_each(|after| self.messages.push_front(after));
                    }
                }
            } else if let Some(i) =
                (0..self.machines.len()).find(|i| !self.machines[*i].unsynced.is_empty())
            {
                self.finish_sync(i, usize::MAX);
            } else {
                let actors: Vec<u64> = self.actors.keys().copied().collect();
                actors
                    .iter()
                    .for_each(|actor| self.give(*actor, Input::Timer));
            }
        }
        let votes: Vec<String> = self
            .machines
            .iter()
            .map(|machine| {
                let accepted = machine.acceptor.state().accepted.as_ref();
                let set =
                    accepted.map(|accepted| (accepted.ballot, described(&accepted.state.replicas)));
                format!("{}: {set:?}", machine.acceptor.id())
            })
            .collect();
        let newest = described(&self.newest.state.replicas);
        self.breaks(format!(
            "a proposal does not come to its end without trouble: newest {newest}, lost {:?}, {votes:#?}",
            self.lost
        ));
        handed_over
    }

    /// The newest value known to be chosen.
    pub fn newest(&self) -> &ControlState {
        &self.newest.state
    }

    fn deliver(&mut self, u: &mut Unstructured) -> Drawn<()> {
        if self.messages.is_empty() {
            return Ok(());
        }
        // Mostly in order; now and then any message.
        let place = if u.ratio(3, 4)? {
            0
        } else {
            u.choose_index(self.messages.len())?
        };
        if let Some(message) = self.messages.remove(place) {
            self.hand_over(message);
        }
        Ok(())
    }

    fn drop_or_double(&mut self, u: &mut Unstructured) -> Drawn<()> {
        if self.messages.is_empty() {
            return Ok(());
        }
        let place = u.choose_index(self.messages.len())?;
        let Some(message) = self.messages.remove(place) else {
            return Ok(());
        };
        match (u.ratio(1, 3)?, message) {
            (true, Message::Request { actor, request }) => {
                self.messages.push_front(Message::Request {
                    actor,
                    request: request.clone(),
                });
                self.messages.push_back(Message::Request { actor, request });
            }
            (true, Message::Reply { actor, from, reply }) => {
                self.messages.push_front(Message::Reply {
                    actor,
                    from,
                    reply: reply.clone(),
                });
                self.messages
                    .push_back(Message::Reply { actor, from, reply });
            }
            (false, Message::Request { actor, request }) => self.tell_lost(actor, &request, u)?,
            (false, Message::Reply { .. }) => (),
        }
        Ok(())
    }

    /// A lost request may be known to be lost, or just be silent.
    fn tell_lost(&mut self, actor: u64, request: &Request, u: &mut Unstructured) -> Drawn<()> {
        if u.ratio(1, 2)? {
            let ballot = match &request.body {
                RequestBody::Prepare { ballot, .. } => *ballot,
                RequestBody::Accept { proposed } => proposed.ballot,
                RequestBody::Read { .. } => Ballot::default(),
            };
            self.give(
                actor,
                Input::Lost {
                    from: request.target,
                    ballot,
                },
            );
        }
        Ok(())
    }

    fn sync(&mut self, u: &mut Unstructured) -> Drawn<()> {
        let i = u.choose_index(self.machines.len())?;
        let most = u.int_in_range(1..=4)?;
        self.finish_sync(i, most);
        Ok(())
    }

    fn fire(&mut self, u: &mut Unstructured) -> Drawn<()> {
        if let Some(actor) = self.draw_actor(u)? {
            self.give(actor, Input::Timer);
        }
        Ok(())
    }

    fn abandon(&mut self, u: &mut Unstructured) -> Drawn<()> {
        if let Some(actor) = self.draw_actor(u)? {
            self.actors.remove(&actor);
        }
        Ok(())
    }

    fn begin(&mut self, u: &mut Unstructured) -> Drawn<()> {
        if self.actors.len() >= MOST_ACTORS {
            return Ok(());
        }
        let change = match u.int_in_range(0..=12)? {
            0..=6 => self.draw_configuration(u)?,
            7..=8 => {
                let i = u.choose_index(self.machines.len())?;
                self.join_of(i)
            }
            9 => {
                let ids: Vec<ReplicaId> =
                    self.newest.state.replicas.members().map(|r| r.id).collect();
                Change::RemoveReplica {
                    id: *u.choose(&ids)?,
                    min_replicas: 2 * TOLERANCE + 1,
                }
            }
            10 => Change::LeaveJoint,
            11 => Change::Identity,
            _ => {
                self.begin_reading();
                return Ok(());
            }
        };
        self.begin_proposal(change, self.hint());
        Ok(())
    }

    /// A new configuration, on the newest version or on one that is no longer current.
    fn draw_configuration(&mut self, u: &mut Unstructured) -> Drawn<Change> {
        let current = self.newest.state.configuration_version;
        let base = if u.ratio(7, 8)? {
            current
        } else {
            current.saturating_sub(u.int_in_range(1..=3)?)
        };
        self.next_version += u.int_in_range(1..=3)?;
        let version = self.next_version;
        let body = version.to_be_bytes().to_vec();
        Ok(Change::SetConfiguration {
            base,
            version,
            body,
            tolerated_failures: TOLERANCE,
            durability_suffices: false,
        })
    }

    fn join_of(&self, i: usize) -> Change {
        let machine = &self.machines[i];
        let replica = replica(machine.acceptor.id(), &machine.address);
        Change::AddReplica {
            replica,
            unresponsive: Vec::new(),
            max_replicas: 9,
        }
    }

    fn lose_power(&mut self, u: &mut Unstructured) -> Drawn<()> {
        let i = u.choose_index(self.machines.len())?;
        let machine = &mut self.machines[i];
        machine.unsynced.clear();
        machine.acceptor = Acceptor::new(machine.acceptor.id(), machine.durable.clone());
        Ok(())
    }

    /// A disk is lost, while the set can bear it: as many members as agreed have disks, and no other loss is unmended.
    fn lose_disk(&mut self, u: &mut Unstructured) -> Drawn<()> {
        let set = &self.newest.state.replicas;
        let unmended = set
            .members()
            .filter(|replica| self.lost.contains(&replica.id))
            .count();
        let returning = self.machines.iter().filter(|machine| {
            machine.has_lost_disk && set.current_replica(machine.acceptor.id()).is_none()
        });
        if !set.remains_available_after(TOLERANCE) || unmended.max(returning.count()) >= TOLERANCE {
            return Ok(());
        }
        let i = u.choose_index(self.machines.len())?;
        let id = self.machines[i].acceptor.id();
        // A set that is not known to be chosen may hold losses that the newest one no longer holds.
        if !self.no_other_set_is_open() {
            return Ok(());
        }
        self.next_number += 1;
        let new_id = match self.planted {
            Planted::KeepsIdentityOnEmptyDisk => id,
            _ => {
                self.lost.push(id);
                ReplicaId(self.next_number)
            }
        };
        self.counts.disks += 1;
        // The process that asked to join under the lost identity is gone as well.
        self.actors.retain(|_, actor| {
            !matches!(
                &actor.work,
                Work::Proposal { change: Change::AddReplica { replica, .. }, .. } if replica.id == id
            )
        });
        let machine = &mut self.machines[i];
        machine.unsynced.clear();
        machine.has_lost_disk = true;
        machine.durable = AcceptorState::default();
        machine.acceptor = Acceptor::new(new_id, AcceptorState::default());
        Ok(())
    }

    /// Whether no replica holds a set that is newer than the newest one known to be chosen.
    fn no_other_set_is_open(&self) -> bool {
        let epoch = self.newest.state.replicas.epoch;
        self.machines.iter().all(|machine| {
            machine
                .acceptor
                .state()
                .accepted
                .as_ref()
                .is_none_or(|accepted| accepted.state.replicas.epoch <= epoch)
        })
    }

    fn draw_actor(&self, u: &mut Unstructured) -> Drawn<Option<u64>> {
        let actors: Vec<u64> = self.actors.keys().copied().collect();
        if actors.is_empty() {
            Ok(None)
        } else {
            u.choose(&actors).copied().map(Some)
        }
    }

    fn begin_proposal(&mut self, change: Change, rule: ReplicaSet) {
        self.next_number += 1;
        let actor = self.next_number;
        let (proposal, effects) = Proposal::start(
            actor,
            Ballot::default(),
            rule,
            self.known(actor),
            change.clone(),
        );
        let work = Work::Proposal {
            proposal: Box::new(proposal),
            timer: false,
            change,
        };
        self.actors.insert(
            actor,
            Actor {
                work,
                floor: self.acknowledged,
            },
        );
        self.carry_out(actor, effects);
    }

    fn begin_reading(&mut self) {
        self.next_number += 1;
        let actor = self.next_number;
        let (reading, progress) = QuorumRead::start(self.hint(), self.known(actor));
        let work = Work::Reading(Box::new(reading));
        self.actors.insert(
            actor,
            Actor {
                work,
                floor: self.acknowledged,
            },
        );
        self.carry_on(actor, progress);
    }

    /// Every other proposer goes by an old set; the way from there to the newest one has to be found.
    fn hint(&self) -> ReplicaSet {
        let age = (self.next_number % 3) * 2;
        let old = self
            .chosen
            .range(..=self.newest.state.revision.saturating_sub(age))
            .next_back();
        let old = old
            .map(|(_, state)| &state.replicas)
            .filter(|set| self.is_reachable(set));
        old.unwrap_or(&self.newest.state.replicas).clone()
    }

    fn is_reachable(&self, set: &ReplicaSet) -> bool {
        set.is_quorum(|id| {
            self.machines
                .iter()
                .any(|machine| machine.acceptor.id() == id)
        })
    }

    fn known(&self, actor: u64) -> Option<AcceptedValue> {
        actor.is_multiple_of(2).then(|| self.newest.clone())
    }

    fn hand_over(&mut self, message: Message) {
        match message {
            Message::Reply { actor, from, reply } => self.give(actor, Input::Reply { from, reply }),
            Message::Request { actor, request } => {
                let target = request.target;
                // A request goes to an address; an emptied disk at that address is another replica.
                let here = self
                    .machines
                    .iter()
                    .position(|machine| machine.acceptor.id() == target);
                let Some(i) = here else {
                    return self.refuse_stranger(actor, target);
                };
                let machine = &mut self.machines[i];
                let answered = machine.acceptor.handle(request);
                machine
                    .unsynced
                    .push_back((answered.durable_write, answered.reply, actor));
                let at_once =
                    machine.unsynced.len() == 1 && machine.unsynced[0].0 == DurableWrite::Nothing;
                if at_once {
                    self.finish_sync(i, 1);
                } else if self.planted == Planted::AnswersBeforeSync {
                    let (reply, from) = (
                        machine.unsynced.back().map(|(_, reply, _)| reply.clone()),
                        target,
                    );
                    reply
                        .into_iter()
                        .for_each(|reply| self.send(Message::Reply { actor, from, reply }));
                }
            }
        }
    }

    fn refuse_stranger(&mut self, actor: u64, target: ReplicaId) {
        self.send(Message::Reply {
            actor,
            from: target,
            reply: Reply::WrongReplica { id: ReplicaId(0) },
        });
    }

    fn finish_sync(&mut self, i: usize, max_count: usize) {
        for _ in 0..max_count {
            let machine = &mut self.machines[i];
            let Some((sync, reply, actor)) = machine.unsynced.pop_front() else {
                return;
            };
            match sync {
                DurableWrite::Nothing => (),
                DurableWrite::Promise(ballot) => machine.durable.promised = ballot,
                DurableWrite::Learned { promised, chosen } => {
                    machine.durable = AcceptorState {
                        promised,
                        accepted: Some(chosen),
                    };
                }
                DurableWrite::Accepted(accepted) => {
                    machine.durable = AcceptorState {
                        promised: accepted.ballot,
                        accepted: Some(accepted),
                    };
                }
            }
            let from = machine.acceptor.id();
            if self.planted != Planted::AnswersBeforeSync {
                self.send(Message::Reply { actor, from, reply });
            }
        }
    }

    fn send(&mut self, message: Message) {
        self.messages.push_back(message);
        if self.messages.len() > MOST_MESSAGES {
            self.messages.pop_front();
        }
    }

    fn give(&mut self, actor: u64, input: Input) {
        let Some(Actor { work, .. }) = self.actors.get_mut(&actor) else {
            return;
        };
        match work {
            Work::Proposal {
                proposal, timer, ..
            } => {
                if matches!(input, Input::Timer) && !std::mem::take(timer) {
                    return;
                }
                let effects = proposal.handle(input);
                self.carry_out(actor, effects);
            }
            Work::Reading(reading) => {
                let progress = match input {
                    Input::Reply { from, reply } => reading.handle_reply(from, Some(reply)),
                    Input::Lost { from, .. } => reading.handle_reply(from, None),
                    Input::Timer => ReadProgress::Inconclusive,
                };
                self.carry_on(actor, progress);
            }
        }
    }

    fn carry_out(&mut self, actor: u64, effects: Effects) {
        for OutboundRequest { request, .. } in effects.requests {
            self.send(Message::Request { actor, request });
        }
        let Some(Actor {
            work: Work::Proposal { timer, .. },
            ..
        }) = self.actors.get_mut(&actor)
        else {
            return;
        };
        *timer |= effects.timer.is_some();
        let Some(outcome) = effects.outcome else {
            return;
        };
        let Some(Actor {
            work: Work::Proposal { change, .. },
            floor,
        }) = self.actors.remove(&actor)
        else {
            return;
        };
        self.check(outcome.chosen, floor);
        if let (Change::SetConfiguration { base, version, .. }, ChangeOutcome::Applied) =
            (change, outcome.change)
        {
            self.counts.taken += 1;
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
    }

    fn carry_on(&mut self, actor: u64, progress: ReadProgress) {
        match progress {
            ReadProgress::Send(messages) => {
                messages
                    .into_iter()
                    .for_each(|OutboundRequest { request, .. }| {
                        self.send(Message::Request { actor, request })
                    });
            }
            ReadProgress::Inconclusive => {
                self.actors.remove(&actor);
            }
            ReadProgress::Chosen(chosen) => {
                self.counts.reads += 1;
                if let Some(gone) = self.actors.remove(&actor) {
                    self.check(chosen, gone.floor);
                }
            }
        }
    }

    /// A value that is said to be chosen: one for each revision, and none older than what was acknowledged before.
    fn check(&mut self, chosen: AcceptedValue, floor: u64) {
        let revision = chosen.state.revision;
        if revision < floor {
            self.breaks(format!(
                "revision {revision} was read after {floor} had been acknowledged"
            ));
        }
        let known = self
            .chosen
            .entry(revision)
            .or_insert_with(|| chosen.state.clone());
        if *known != chosen.state {
            self.breaks(format!("two values have revision {revision}"));
        }
        if chosen.ballot > self.newest.ballot {
            if revision < self.newest.state.revision {
                self.breaks(format!("revision {revision} is above a newer one"));
            }
            self.counts.sets +=
                u64::from(chosen.state.replicas.epoch > self.newest.state.replicas.epoch);
            self.newest = chosen;
        }
        self.acknowledged = self.acknowledged.max(revision);
    }

    fn breaks(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }
}

fn replica(id: ReplicaId, address: &str) -> Replica {
    Replica {
        id,
        address: address.to_string(),
        node_name: format!("edge-{address}"),
        zone: String::new(),
    }
}

fn described(set: &ReplicaSet) -> String {
    let ids = |side: &[Replica]| side.iter().map(|replica| replica.id).collect::<Vec<_>>();
    format!(
        "epoch {} {:?} {:?}",
        set.epoch,
        ids(&set.previous),
        ids(&set.current)
    )
}
