//! Replicas that reply at once, some of which are unreachable, lost, or do not receive what is accepted.

use super::{accepted_first, acceptor_state, replica, replica_set, state};
use mintlb_register::acceptor::{Acceptor, AcceptorState, DurableWrite};
use mintlb_register::ballot::Ballot;
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::message::{AcceptedValue, OutboundRequest, Reply, RequestBody};
use mintlb_register::proposal::{Effects, Input, Proposal, ProposalOutcome};
use mintlb_register::quorum_read::{QuorumRead, ReadProgress};
use mintlb_register::replica_set::{ReplicaId, ReplicaSet};
use mintlb_register::state::ControlState;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Rounds after which a change counts as stuck, unless set otherwise.
const MAX_ROUNDS: usize = 20;

/// Messages and syncs of a cluster so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Requests and replies delivered.
    pub messages: usize,
    /// Syncs of a disk.
    pub syncs: usize,
}

/// The replicas, and one proposer after the other.
pub struct Cluster {
    acceptors: BTreeMap<ReplicaId, Acceptor>,
    addresses: BTreeMap<ReplicaId, String>,
    unreachable: BTreeSet<ReplicaId>,
    without_accept_requests: BTreeSet<ReplicaId>,
    lost_accept_replies: usize,
    proposer: u64,
    max_rounds: usize,
    cost: Cost,
}

impl Cluster {
    /// Replicas 1 to `size` without a configuration.
    pub fn new(size: u64) -> Cluster {
        Cluster::with_state(state(replica_set((1..=size).map(replica))))
    }

    /// The members of the value's set, which all have accepted it.
    pub fn with_state(state: ControlState) -> Cluster {
        let members = state.replicas.current.clone();
        let accepted = acceptor_state(accepted_first(state));
        Cluster {
            acceptors: members
                .iter()
                .map(|member| (member.id, Acceptor::new(member.id, accepted.clone())))
                .collect(),
            addresses: members
                .into_iter()
                .map(|member| (member.id, member.address))
                .collect(),
            unreachable: BTreeSet::new(),
            without_accept_requests: BTreeSet::new(),
            lost_accept_replies: 0,
            proposer: 100,
            max_rounds: MAX_ROUNDS,
            cost: Cost::default(),
        }
    }

    /// The same cluster, with a change counted as stuck after so many rounds.
    pub fn with_max_rounds(self, max_rounds: usize) -> Cluster {
        Cluster { max_rounds, ..self }
    }

    /// From now on these replicas alone receive nothing.
    pub fn set_unreachable(&mut self, ids: impl IntoIterator<Item = u64>) {
        self.unreachable = ids.into_iter().map(ReplicaId).collect();
    }

    /// From now on this replica receives nothing, either.
    pub fn cut_off(&mut self, id: ReplicaId) {
        self.unreachable.insert(id);
    }

    /// This replica is gone with its disk.
    pub fn lose(&mut self, id: ReplicaId) {
        self.acceptors.remove(&id);
        self.unreachable.insert(id);
    }

    /// From now on these replicas receive no accept requests.
    pub fn lose_accept_requests(&mut self, ids: impl IntoIterator<Item = u64>) {
        self.without_accept_requests = ids.into_iter().map(ReplicaId).collect();
    }

    /// The next replies to accept requests are lost.
    pub fn lose_accept_replies(&mut self, count: usize) {
        self.lost_accept_replies = count;
    }

    /// The value that a replica has accepted last.
    pub fn accepted(&self, id: u64) -> &AcceptedValue {
        let accepted = &self.acceptors[&ReplicaId(id)].state().accepted;
        accepted.as_ref().unwrap()
    }

    /// Makes a replica accept this value, past any proposal.
    pub fn force_accept(&mut self, id: u64, accepted: AcceptedValue) {
        let id = ReplicaId(id);
        let acceptor = Acceptor::new(id, acceptor_state(accepted));
        self.acceptors.insert(id, acceptor);
    }

    /// Address of a replica that is or was in the set.
    pub fn address_of(&self, id: ReplicaId) -> &str {
        &self.addresses[&id]
    }

    /// Messages and syncs so far.
    pub fn cost(&self) -> Cost {
        self.cost
    }

    /// The newest set that a reachable replica has accepted.
    pub fn replica_set(&self) -> ReplicaSet {
        self.acceptors
            .iter()
            .filter(|(id, _)| !self.unreachable.contains(id))
            .filter_map(|(_, acceptor)| acceptor.state().accepted.as_ref())
            .max_by_key(|accepted| accepted.ballot)
            .unwrap()
            .state
            .replicas
            .clone()
    }

    /// The newest chosen value.
    pub fn read(&mut self) -> ControlState {
        let outcome = self.change(Change::Identity).unwrap();
        outcome.chosen.state.as_ref().clone()
    }

    /// Proposes a change; `None` if it is stuck.
    pub fn outcome(&mut self, change: Change) -> Option<ChangeOutcome> {
        self.change(change).map(|outcome| outcome.change)
    }

    /// Proposes a change; `None` if it is stuck.
    pub fn change(&mut self, change: Change) -> Option<ProposalOutcome> {
        self.run(change, None)
    }

    /// Proposes a change whose values are accepted by a minimal quorum each; `rotation` selects which one.
    pub fn change_at_minimal_quorum(
        &mut self,
        change: Change,
        rotation: u64,
    ) -> Option<ProposalOutcome> {
        self.run(change, Some(rotation))
    }

    /// Reads in one round trip, beginning at this set; `None` if the read is inconclusive.
    pub fn read_from(&mut self, set: ReplicaSet) -> Option<AcceptedValue> {
        let (mut read, mut progress) = QuorumRead::start(set, None);
        let mut requests = VecDeque::new();
        loop {
            match progress {
                ReadProgress::Send(more) => requests.extend(more),
                ReadProgress::Chosen(chosen) => return Some(chosen),
                ReadProgress::Inconclusive => return None,
            }
            let outbound: OutboundRequest = requests.pop_front()?;
            let from = outbound.to.id;
            let reply = self.deliver_one(outbound);
            progress = read.handle_reply(from, reply);
        }
    }

    fn run(&mut self, change: Change, rotation: Option<u64>) -> Option<ProposalOutcome> {
        self.proposer += 1;
        let set = self.replica_set();
        let (mut proposal, mut effects) =
            Proposal::start(self.proposer, Ballot::default(), set, None, change);
        let mut excluded = BTreeSet::new();
        for _ in 0..self.max_rounds {
            excluded = self.excluded(&effects, rotation).unwrap_or(excluded);
            let inputs = self.deliver(effects.requests, &excluded);
            effects = handle_all(&mut proposal, inputs);
            if effects.outcome.is_some() {
                return effects.outcome;
            }
        }
        None
    }

    /// Delivers the requests; the replies, or the expiry of the timer if there is none.
    fn deliver(
        &mut self,
        requests: Vec<OutboundRequest>,
        excluded: &BTreeSet<ReplicaId>,
    ) -> Vec<Input> {
        let mut inputs = Vec::new();
        for outbound in requests {
            let from = outbound.to.id;
            let address = outbound.to.address.clone();
            self.addresses.entry(from).or_insert(address);
            if excluded.contains(&from) {
                continue;
            }
            if let Some(reply) = self.deliver_one(outbound) {
                inputs.push(Input::Reply { from, reply });
            }
        }
        if inputs.is_empty() {
            inputs.push(Input::Timer);
        }
        inputs
    }

    fn deliver_one(&mut self, outbound: OutboundRequest) -> Option<Reply> {
        let id = outbound.to.id;
        let is_accept = matches!(outbound.request.body, RequestBody::Accept { .. });
        let is_lost = is_accept && self.without_accept_requests.contains(&id);
        if self.unreachable.contains(&id) || is_lost {
            return None;
        }
        let empty = || Acceptor::new(id, AcceptorState::default());
        let acceptor = self.acceptors.entry(id).or_insert_with(empty);
        let response = acceptor.handle(outbound.request);
        self.cost.messages += 2;
        self.cost.syncs += usize::from(response.durable_write != DurableWrite::Nothing);
        if is_accept && self.lost_accept_replies > 0 {
            self.lost_accept_replies -= 1;
            return None;
        }
        Some(response.reply)
    }

    /// Replicas to exclude so that the rest is a minimal quorum for the value that is to be accepted. They receive
    /// nothing until the next value. `None` if no value is to be accepted.
    fn excluded(&self, effects: &Effects, rotation: Option<u64>) -> Option<BTreeSet<ReplicaId>> {
        let rotation = rotation? as usize;
        let proposed_set = effects.requests.iter().find_map(proposed_set)?;
        let read_set = self.replica_set();
        let mut members: Vec<ReplicaId> = effects
            .requests
            .iter()
            .map(|outbound| outbound.to.id)
            .collect();
        let start = rotation % members.len();
        members.rotate_left(start);
        let mut excluded = BTreeSet::new();
        for id in members {
            excluded.insert(id);
            let remains = |id| !excluded.contains(&id) && !self.unreachable.contains(&id);
            if !proposed_set.is_quorum(remains) || !read_set.is_quorum(remains) {
                excluded.remove(&id);
            }
        }
        Some(excluded)
    }
}

fn proposed_set(outbound: &OutboundRequest) -> Option<ReplicaSet> {
    match &outbound.request.body {
        RequestBody::Accept { proposed } => Some(proposed.state.replicas.clone()),
        RequestBody::Prepare { .. } | RequestBody::Read { .. } => None,
    }
}

/// What all inputs of one round amount to.
fn handle_all(proposal: &mut Proposal, inputs: Vec<Input>) -> Effects {
    let mut all = Effects::default();
    for input in inputs {
        let effects = proposal.handle(input);
        all.requests.extend(effects.requests);
        all.outcome = all.outcome.or(effects.outcome);
    }
    all
}
