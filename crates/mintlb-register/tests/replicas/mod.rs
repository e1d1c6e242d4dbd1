//! Replicas that answer at once, for one proposal after the other.

use mintlb_register::acceptor::{Acceptor, AcceptorState};
use mintlb_register::ballot::Ballot;
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::message::{AcceptedValue, OutboundRequest, Request, RequestBody};
use mintlb_register::proposal::{Effects, Input, Proposal, ProposalOutcome};
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use mintlb_register::state::ControlState;
use std::sync::Arc;

/// Replicas that answer at once.
pub struct Replicas {
    pub acceptors: Vec<Acceptor>,
    /// These hear nothing.
    pub silent: Vec<u64>,
    /// These hear nothing of round two.
    pub without_round_two: Vec<u64>,
    /// So many answers of round two are lost from now on.
    pub lost_answers: usize,
    proposer: u64,
}

/// A replica of this identity.
pub fn replica(id: u64) -> Replica {
    let address = format!("10.0.0.{id}:7661");
    Replica {
        id: ReplicaId(id),
        address,
        node_name: format!("edge-{id}"),
        zone: format!("z{id}"),
    }
}

impl Replicas {
    /// Replicas 1 to `size` of a settled set.
    pub fn settled(size: u64) -> Replicas {
        let set = ReplicaSet {
            epoch: 1,
            previous: Vec::new(),
            current: (1..=size).map(replica).collect(),
        };
        Replicas::holding(ControlState {
            revision: 1,
            replicas: set,
            ..ControlState::default()
        })
    }

    /// The replicas of the set of this value, which all hold it.
    pub fn holding(state: ControlState) -> Replicas {
        let size = state.replicas.current.len() as u64;
        let ballot = Ballot {
            counter: 1,
            proposer: 1,
        };
        let accepted = Some(AcceptedValue {
            ballot,
            state: Arc::new(state),
        });
        let vote = |id| match id <= size {
            true => AcceptorState {
                promised: ballot,
                accepted: accepted.clone(),
            },
            false => AcceptorState::default(),
        };
        let acceptors = (1..=9)
            .map(|id| Acceptor::new(ReplicaId(id), vote(id)))
            .collect();
        Replicas {
            acceptors,
            silent: Vec::new(),
            without_round_two: Vec::new(),
            lost_answers: 0,
            proposer: 100,
        }
    }

    /// The newest set.
    pub fn rule(&self) -> ReplicaSet {
        let votes = self
            .acceptors
            .iter()
            .filter_map(|acceptor| acceptor.state().accepted.as_ref());
        votes
            .max_by_key(|accepted| accepted.ballot)
            .unwrap()
            .state
            .replicas
            .clone()
    }

    /// What comes of a message.
    fn send(&mut self, to: u64, request: Request) -> Option<Input> {
        let is_round_two = matches!(request.body, RequestBody::Accept { .. });
        if self.silent.contains(&to) || (is_round_two && self.without_round_two.contains(&to)) {
            return None;
        }
        let at = self
            .acceptors
            .iter_mut()
            .find(|acceptor| acceptor.id() == ReplicaId(to))
            .unwrap();
        let reply = at.handle(request).reply;
        if is_round_two && self.lost_answers > 0 {
            self.lost_answers -= 1;
            return None;
        }
        Some(Input::Reply {
            from: ReplicaId(to),
            reply,
        })
    }

    /// The outcome of a change, or `None` if it has none after many attempts.
    pub fn change(&mut self, change: Change) -> Option<ProposalOutcome> {
        self.proposer += 1;
        let (mut proposal, mut effects) =
            Proposal::start(self.proposer, Ballot::default(), self.rule(), None, change);
        for _ in 0..20 {
            let mut replies = Vec::new();
            for OutboundRequest { to, request } in std::mem::take(&mut effects).requests {
                replies.extend(self.send(to.id.0, request));
            }
            if replies.is_empty() {
                replies.push(Input::Timer);
            }
            let mut next = Effects::default();
            for reply in replies {
                let more = proposal.handle(reply);
                next.requests.extend(more.requests);
                next.outcome = next.outcome.or(more.outcome);
            }
            effects = next;
            if effects.outcome.is_some() {
                return effects.outcome;
            }
        }
        None
    }

    /// The answer to a change.
    pub fn answer(&mut self, change: Change) -> Option<ChangeOutcome> {
        self.change(change).map(|outcome| outcome.change)
    }
}

/// An order of the operator.
pub fn configuration(base: u64, version: u64, text: &str) -> Change {
    Change::SetConfiguration {
        base,
        version,
        body: text.into(),
        tolerated_failures: 1,
        durability_suffices: false,
    }
}
