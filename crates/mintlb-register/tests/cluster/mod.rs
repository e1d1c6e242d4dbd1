//! Replicas that answer at once, some of which are silent, lost, or spared a value.

use mintlb_register::acceptor::{Acceptor, AcceptorState, DurableWrite};
use mintlb_register::ballot::Ballot;
use mintlb_register::change::Change;
use mintlb_register::message::{AcceptedValue, OutboundRequest, RequestBody};
use mintlb_register::proposal::{Effects, Input, Proposal, ProposalOutcome};
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use mintlb_register::state::ControlState;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Attempts of one change before it counts as stuck.
const ATTEMPTS: usize = 12;

/// A replica at the machine with this number.
pub fn replica(id: ReplicaId, machine: u64) -> Replica {
    let address = format!("10.0.0.{machine}:7661");
    Replica {
        id,
        address,
        node_name: format!("edge-{machine}"),
        zone: String::new(),
    }
}

/// Each choice of `count` of them.
pub fn choices(of: &[ReplicaId], count: usize) -> Vec<Vec<ReplicaId>> {
    if count == 0 {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for (place, first) in of.iter().enumerate() {
        for mut rest in choices(&of[place + 1..], count - 1) {
            rest.insert(0, *first);
            all.push(rest);
        }
    }
    all
}

/// The replicas.
pub struct Cluster {
    acceptors: BTreeMap<ReplicaId, Acceptor>,
    addresses: BTreeMap<ReplicaId, String>,
    unreachable: BTreeSet<ReplicaId>,
    proposer: u64,
    /// Requests and replies so far.
    pub messages: usize,
    /// Syncs so far.
    pub syncs: usize,
}

impl Cluster {
    /// Replicas 1 to `size` with configuration 1, held by all.
    pub fn settled(size: u64) -> Cluster {
        let current: Vec<Replica> = (1..=size).map(|id| replica(ReplicaId(id), id)).collect();
        let replicas = ReplicaSet {
            epoch: 1,
            previous: Vec::new(),
            current: current.clone(),
        };
        let state = ControlState {
            revision: 2,
            replicas,
            configuration_version: 1,
            configuration: b"1".to_vec(),
            ..ControlState::default()
        };
        let ballot = Ballot {
            counter: 1,
            proposer: 1,
        };
        let vote = AcceptorState {
            promised: ballot,
            accepted: Some(AcceptedValue {
                ballot,
                state: Arc::new(state),
            }),
        };
        Cluster {
            acceptors: (1..=size)
                .map(ReplicaId)
                .map(|id| (id, Acceptor::new(id, vote.clone())))
                .collect(),
            addresses: current
                .into_iter()
                .map(|replica| (replica.id, replica.address))
                .collect(),
            unreachable: BTreeSet::new(),
            proposer: 100,
            messages: 0,
            syncs: 0,
        }
    }

    /// It does not answer.
    pub fn silence(&mut self, id: ReplicaId) {
        self.unreachable.insert(id);
    }

    /// Its disk is gone.
    pub fn lose(&mut self, id: ReplicaId) {
        self.acceptors.remove(&id);
        self.unreachable.insert(id);
    }

    /// The machine of a replica.
    pub fn address_of(&self, id: ReplicaId) -> u64 {
        let address = &self.addresses[&id];
        address
            .trim_start_matches("10.0.0.")
            .trim_end_matches(":7661")
            .parse()
            .unwrap()
    }

    /// Runs a change; `None` if it is stuck.
    pub fn change(&mut self, change: Change) -> Option<ProposalOutcome> {
        self.run(change, None)
    }

    /// The same, with the value at a least quorum alone: others are spared it, from the one at this place on.
    pub fn change_sparing(&mut self, change: Change, place: u64) -> Option<ProposalOutcome> {
        self.run(change, Some(place))
    }

    fn rule(&self) -> ReplicaSet {
        let reachable = self
            .acceptors
            .iter()
            .filter(|(id, _)| !self.unreachable.contains(id));
        let votes = reachable.filter_map(|(_, acceptor)| acceptor.state().accepted.as_ref());
        votes
            .max_by_key(|accepted| accepted.ballot)
            .unwrap()
            .state
            .replicas
            .clone()
    }

    fn run(&mut self, change: Change, sparing: Option<u64>) -> Option<ProposalOutcome> {
        self.proposer += 1;
        let (mut proposal, mut effects) =
            Proposal::start(self.proposer, Ballot::default(), self.rule(), None, change);
        let mut spared = BTreeSet::new();
        for _ in 0..ATTEMPTS {
            let mut inputs = Vec::new();
            spared = self.spared(&effects, sparing).unwrap_or(spared);
            for OutboundRequest { to, request } in std::mem::take(&mut effects).requests {
                self.addresses.entry(to.id).or_insert(to.address);
                if self.unreachable.contains(&to.id) || spared.contains(&to.id) {
                    continue;
                }
                let fresh = || Acceptor::new(to.id, AcceptorState::default());
                let answered = self
                    .acceptors
                    .entry(to.id)
                    .or_insert_with(fresh)
                    .handle(request);
                self.messages += 2;
                self.syncs += usize::from(answered.durable_write != DurableWrite::Nothing);
                inputs.push(Input::Reply {
                    from: to.id,
                    reply: answered.reply,
                });
            }
            if inputs.is_empty() {
                inputs.push(Input::Timer);
            }
            for input in inputs {
                let more = proposal.handle(input);
                effects.requests.extend(more.requests);
                effects.outcome = effects.outcome.take().or(more.outcome);
            }
            if effects.outcome.is_some() {
                return effects.outcome;
            }
        }
        None
    }

    /// Those that can be spared the value which is to be accepted, so that the rest is just a quorum. They hear nothing
    /// more of this change until the next value.
    fn spared(&self, effects: &Effects, sparing: Option<u64>) -> Option<BTreeSet<ReplicaId>> {
        let mut spared = BTreeSet::new();
        let first = sparing?;
        let accepts = effects
            .requests
            .iter()
            .find_map(|outbound| match &outbound.request.body {
                RequestBody::Accept { proposed } => Some(proposed.state.replicas.clone()),
                _ => None,
            });
        let set = accepts?;
        let mut members: Vec<ReplicaId> = effects
            .requests
            .iter()
            .map(|outbound| outbound.to.id)
            .collect();
        let turn = first as usize % members.len();
        members.rotate_left(turn);
        let read = self.rule();
        for id in members {
            spared.insert(id);
            let has = |id| !spared.contains(&id) && !self.unreachable.contains(&id);
            if !set.is_quorum(has) || !read.is_quorum(has) {
                spared.remove(&id);
            }
        }
        Some(spared)
    }
}
