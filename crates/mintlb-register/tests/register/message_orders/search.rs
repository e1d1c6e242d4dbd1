//! One state of the search and its successors.

use crate::support::{
    accepted_first, acceptor_state, add, address, configuration, replica_at, replica_set, state,
};
use mintlb_register::acceptor::{Acceptor, AcceptorState};
use mintlb_register::ballot::Ballot;
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::message::{OutboundRequest, Reply, Request};
use mintlb_register::proposal::{Effects, Input, Proposal};
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use mintlb_register::state::ControlState;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// The replica whose disk may be lost.
const OLD: ReplicaId = ReplicaId(3);
/// Its identity after that.
const NEW: ReplicaId = ReplicaId(4);
/// Version of the configuration that the first proposal sets.
const VERSION: u64 = 5;
/// Index of the first proposal.
const FIRST_PROPOSAL: usize = 0;
/// Replicas that a reader may reach.
const READ_QUORUMS: [&[u64]; 4] = [&[1, 2, 3, 4], &[1, 3, 4], &[2, 3, 4], &[1, 2]];

/// Which orders of messages are explored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Interleaving {
    /// Every order of requests and replies.
    Any,
    /// One attempt of each proposal, every order of requests; each reply arrives at once or never.
    ImmediateReplies,
}

#[derive(Clone, Debug)]
enum Message {
    Request {
        proposal: usize,
        request: Request,
    },
    Reply {
        proposal: usize,
        from: ReplicaId,
        reply: Reply,
    },
}

/// One state.
#[derive(Clone, Debug)]
pub struct Search {
    acceptors: Vec<Acceptor>,
    proposals: Vec<Proposal>,
    in_flight: Vec<Message>,
    /// Further attempts that each proposal may make.
    retries: Vec<u32>,
    is_disk_lost: bool,
    /// Version that was acknowledged to the operator.
    acknowledged: Option<u64>,
    chosen: Vec<Arc<ControlState>>,
}

fn replica(id: ReplicaId) -> Replica {
    let machine = if id == NEW { OLD } else { id };
    replica_at(id, &address(machine.0))
}

fn initial_set() -> ReplicaSet {
    replica_set((1..=3).map(ReplicaId).map(replica))
}

impl Search {
    /// Three replicas, and a proposal to set the configuration.
    pub fn start() -> Search {
        let accepted = acceptor_state(accepted_first(state(initial_set())));
        let mut search = Search {
            acceptors: (1..=3)
                .map(|id| Acceptor::new(ReplicaId(id), accepted.clone()))
                .collect(),
            proposals: Vec::new(),
            in_flight: Vec::new(),
            retries: Vec::new(),
            is_disk_lost: false,
            acknowledged: None,
            chosen: Vec::new(),
        };
        search.propose(configuration(0, VERSION, "a"));
        search
    }

    fn propose(&mut self, change: Change) {
        let index = self.proposals.len();
        let (proposal, effects) = Proposal::start(
            10 + index as u64,
            Ballot::default(),
            initial_set(),
            None,
            change,
        );
        self.proposals.push(proposal);
        self.retries.push(1);
        self.carry_out(index, effects);
    }

    fn carry_out(&mut self, proposal: usize, effects: Effects) {
        for OutboundRequest { request, .. } in effects.requests {
            self.in_flight.push(Message::Request { proposal, request });
        }
        let Some(outcome) = effects.outcome else {
            return;
        };
        if proposal == FIRST_PROPOSAL && outcome.change == ChangeOutcome::Applied {
            self.acknowledged = Some(VERSION);
        }
        let state = outcome.chosen.state;
        let other = self
            .chosen
            .iter()
            .find(|known| known.revision == state.revision);
        assert!(
            other.is_none_or(|other| *other == state),
            "two values have revision {}",
            state.revision
        );
        self.chosen.push(state);
    }

    /// The disk of one replica is lost, and it proposes to be added with its new identity.
    fn lose_disk(&mut self, keeps_identity: bool) {
        self.is_disk_lost = true;
        let id = if keeps_identity { OLD } else { NEW };
        let index = OLD.0 as usize - 1;
        self.acceptors[index] = Acceptor::new(id, AcceptorState::default());
        self.propose(add(replica(id)));
    }

    fn deliver(&mut self, index: usize) {
        match self.in_flight.remove(index) {
            Message::Request { proposal, request } => self.deliver_request(proposal, request),
            Message::Reply {
                proposal,
                from,
                reply,
            } => {
                let effects = self.proposals[proposal].handle(Input::Reply { from, reply });
                self.carry_out(proposal, effects);
            }
        }
    }

    fn deliver_request(&mut self, proposal: usize, request: Request) {
        let from = request.target;
        let acceptor = self
            .acceptors
            .iter_mut()
            .find(|acceptor| acceptor.id() == from);
        let Some(acceptor) = acceptor else {
            return;
        };
        let reply = acceptor.handle(request).reply;
        self.in_flight.push(Message::Reply {
            proposal,
            from,
            reply,
        });
    }

    /// The reply arrives before any other message.
    fn deliver_with_reply(&mut self, index: usize) {
        let count = self.in_flight.len();
        self.deliver(index);
        if self.in_flight.len() == count {
            self.deliver(count - 1);
        }
    }

    /// The reply is lost.
    fn deliver_without_reply(&mut self, index: usize) {
        let count = self.in_flight.len();
        self.deliver(index);
        self.in_flight.truncate(count - 1);
    }

    /// The current attempt times out, and the backoff passes.
    fn retry(&mut self, proposal: usize) {
        self.retries[proposal] -= 1;
        for _ in 0..2 {
            let effects = self.proposals[proposal].handle(Input::Timer);
            self.carry_out(proposal, effects);
        }
    }

    /// The states that may follow.
    pub fn successors(&self, keeps_identity: bool, interleaving: Interleaving) -> Vec<Search> {
        let mut all = Vec::new();
        let mut add = |step: &dyn Fn(&mut Search)| {
            let mut next = self.clone();
            step(&mut next);
            all.push(next);
        };
        for index in 0..self.in_flight.len() {
            match interleaving {
                Interleaving::Any => add(&|next| next.deliver(index)),
                Interleaving::ImmediateReplies => {
                    add(&|next| next.deliver_with_reply(index));
                    add(&|next| next.deliver_without_reply(index));
                }
            }
        }
        if !self.is_disk_lost {
            add(&|next| next.lose_disk(keeps_identity));
        }
        let may_retry = interleaving == Interleaving::Any && self.in_flight.is_empty();
        for proposal in 0..self.proposals.len() {
            if may_retry && self.retries[proposal] > 0 {
                add(&|next| next.retry(proposal));
            }
        }
        all
    }

    /// Tells states apart. Messages in flight are a set: their order is no part of the state.
    pub fn key(&self) -> u64 {
        let mut in_flight: Vec<String> = self
            .in_flight
            .iter()
            .map(|message| format!("{message:?}"))
            .collect();
        in_flight.sort();
        let mut hasher = DefaultHasher::new();
        (
            in_flight,
            self.is_disk_lost,
            self.acknowledged,
            &self.retries,
        )
            .hash(&mut hasher);
        format!("{:?} {:?}", self.acceptors, self.proposals).hash(&mut hasher);
        hasher.finish()
    }

    /// Checks that each reader finds what was acknowledged, or nothing.
    pub fn check(&self) -> Result<(), String> {
        let Some(acknowledged) = self.acknowledged else {
            return Ok(());
        };
        for reachable in READ_QUORUMS {
            let read = self.read_from(reachable);
            if read.is_some_and(|read| read != acknowledged) {
                return Err(format!(
                    "{acknowledged} was acknowledged, {read:?} is read from {reachable:?}"
                ));
            }
        }
        Ok(())
    }

    /// The version that a reader finds from here on at these replicas alone.
    fn read_from(&self, reachable: &[u64]) -> Option<u64> {
        let mut acceptors = self.acceptors.clone();
        let floor = Ballot {
            counter: 50,
            proposer: 0,
        };
        let (mut proposal, mut effects) =
            Proposal::start(99, floor, initial_set(), None, Change::Identity);
        for _ in 0..8 {
            let mut next = Effects::default();
            for OutboundRequest { to, request } in effects.requests {
                let acceptor = acceptors
                    .iter_mut()
                    .filter(|_| reachable.contains(&to.id.0))
                    .find(|acceptor| acceptor.id() == to.id);
                let Some(acceptor) = acceptor else {
                    continue;
                };
                let reply = acceptor.handle(request).reply;
                let more = proposal.handle(Input::Reply { from: to.id, reply });
                next.requests.extend(more.requests);
                next.outcome = next.outcome.or(more.outcome);
            }
            if let Some(outcome) = next.outcome {
                return Some(outcome.chosen.state.configuration_version);
            }
            effects = next;
        }
        None
    }
}
