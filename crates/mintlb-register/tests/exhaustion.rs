//! The smallest case, the nearest states first up to a bound: three replicas, two proposers, one lost disk, one change of
//! the set; every order of messages, and, as a message may stay under way for ever, every loss.

use mintlb_register::acceptor::{Acceptor, AcceptorState};
use mintlb_register::ballot::Ballot;
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::message::{AcceptedValue, OutboundRequest, Reply, Request};
use mintlb_register::proposal::{Effects, Input, Proposal};
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use mintlb_register::state::ControlState;
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// States looked at, at most.
const MOST_STATES: usize = 30_000;
/// The replica whose disk may be lost.
const OLD: ReplicaId = ReplicaId(3);
/// What it comes back as.
const NEW: ReplicaId = ReplicaId(4);

/// Which orders are looked at.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Order {
    /// Every order of requests and replies.
    Any,
    /// One attempt each, every order of requests; each reply comes at once, or never.
    WithReplies,
}

#[derive(Clone, Debug)]
enum Message {
    Request(usize, Request),
    Reply(usize, ReplicaId, Reply),
}

/// One state of the search.
#[derive(Clone, Debug)]
struct Search {
    acceptors: Vec<Acceptor>,
    proposals: Vec<Proposal>,
    messages: Vec<Message>,
    /// Further attempts that each may make.
    retries: Vec<u32>,
    is_lost: bool,
    acknowledged: Option<u64>,
    chosen: Vec<Arc<ControlState>>,
}

fn replica(id: ReplicaId) -> Replica {
    let address = format!("10.0.0.{}:7661", if id == NEW { OLD } else { id });
    Replica {
        id,
        address,
        node_name: String::new(),
        zone: String::new(),
    }
}

fn set() -> ReplicaSet {
    ReplicaSet {
        epoch: 1,
        previous: Vec::new(),
        current: (1..=3).map(ReplicaId).map(replica).collect(),
    }
}

impl Search {
    fn begin() -> Search {
        let ballot = Ballot {
            counter: 1,
            proposer: 1,
        };
        let state = Arc::new(ControlState {
            revision: 1,
            replicas: set(),
            ..ControlState::default()
        });
        let vote = AcceptorState {
            promised: ballot,
            accepted: Some(AcceptedValue { ballot, state }),
        };
        let mut search = Search {
            acceptors: (1..=3)
                .map(|id| Acceptor::new(ReplicaId(id), vote.clone()))
                .collect(),
            proposals: Vec::new(),
            messages: Vec::new(),
            retries: Vec::new(),
            is_lost: false,
            acknowledged: None,
            chosen: Vec::new(),
        };
        let change = Change::SetConfiguration {
            base: 0,
            version: 5,
            body: b"a".to_vec(),
            tolerated_failures: 1,
            durability_suffices: false,
        };
        search.propose(change);
        search
    }

    fn propose(&mut self, change: Change) {
        let number = self.proposals.len();
        let (proposal, effects) =
            Proposal::start(10 + number as u64, Ballot::default(), set(), None, change);
        self.proposals.push(proposal);
        self.retries.push(1);
        self.carry_out(number, effects);
    }

    fn carry_out(&mut self, number: usize, effects: Effects) {
        for OutboundRequest { request, .. } in effects.requests {
            self.messages.push(Message::Request(number, request));
        }
        let Some(outcome) = effects.outcome else {
            return;
        };
        if number == 0 && outcome.change == ChangeOutcome::Applied {
            self.acknowledged = Some(5);
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

    /// The disk of one replica is lost, and it asks to join as another.
    fn lose_disk(&mut self, keeps_identity: bool) {
        self.is_lost = true;
        let id = if keeps_identity { OLD } else { NEW };
        self.acceptors[OLD.0 as usize - 1] = Acceptor::new(id, AcceptorState::default());
        self.propose(Change::AddReplica {
            replica: replica(id),
            unresponsive: Vec::new(),
            max_replicas: 9,
        });
    }

    fn deliver(&mut self, place: usize) {
        match self.messages.remove(place) {
            Message::Request(number, request) => {
                let target = request.target;
                let Some(acceptor) = self
                    .acceptors
                    .iter_mut()
                    .find(|acceptor| acceptor.id() == target)
                else {
                    return;
                };
                let reply = acceptor.handle(request).reply;
                self.messages.push(Message::Reply(number, target, reply));
            }
            Message::Reply(number, from, reply) => {
                let effects = self.proposals[number].handle(Input::Reply { from, reply });
                self.carry_out(number, effects);
            }
        }
    }

    /// The reply comes before anything else does.
    fn deliver_with_reply(&mut self, place: usize) {
        let waiting = self.messages.len();
        self.deliver(place);
        if self.messages.len() == waiting {
            self.deliver(waiting - 1);
        }
    }

    /// The reply is lost.
    fn deliver_without_reply(&mut self, place: usize) {
        let waiting = self.messages.len();
        self.deliver(place);
        self.messages.truncate(waiting - 1);
    }

    fn retry(&mut self, number: usize) {
        self.retries[number] -= 1;
        for _ in 0..2 {
            let effects = self.proposals[number].handle(Input::Timer);
            self.carry_out(number, effects);
        }
    }

    fn next(&self, keeps_identity: bool, order: Order) -> Vec<Search> {
        let mut all = Vec::new();
        let mut add = |step: &dyn Fn(&mut Search)| {
            let mut next = self.clone();
            step(&mut next);
            all.push(next);
        };
        for place in 0..self.messages.len() {
            match order {
                Order::Any => add(&|next| next.deliver(place)),
                Order::WithReplies => {
                    add(&|next| next.deliver_with_reply(place));
                    add(&|next| next.deliver_without_reply(place));
                }
            }
        }
        if !self.is_lost {
            add(&|next| next.lose_disk(keeps_identity));
        }
        for number in 0..self.proposals.len() {
            if order == Order::Any && self.retries[number] > 0 && self.messages.is_empty() {
                add(&|next| next.retry(number));
            }
        }
        all
    }

    /// Messages under way are a set: their order is no part of the state.
    fn key(&self) -> u64 {
        let mut messages: Vec<String> = self
            .messages
            .iter()
            .map(|message| format!("{message:?}"))
            .collect();
        messages.sort();
        let mut hasher = DefaultHasher::new();
        (messages, self.is_lost, self.acknowledged, &self.retries).hash(&mut hasher);
        format!("{:?} {:?}", self.acceptors, self.proposals).hash(&mut hasher);
        hasher.finish()
    }

    /// What a reader finds from here on, by the replicas alone that are named.
    fn found(&self, by: &[ReplicaId]) -> Option<u64> {
        let mut acceptors = self.acceptors.clone();
        let (mut proposal, mut effects) = Proposal::start(
            99,
            Ballot {
                counter: 50,
                proposer: 0,
            },
            set(),
            None,
            Change::Identity,
        );
        for _ in 0..8 {
            let mut next = Effects::default();
            for OutboundRequest { to, request } in effects.requests {
                let acceptor = acceptors.iter_mut().find(|acceptor| acceptor.id() == to.id);
                let Some(acceptor) = acceptor.filter(|_| by.contains(&to.id)) else {
                    continue;
                };
                let more = proposal.handle(Input::Reply {
                    from: to.id,
                    reply: acceptor.handle(request).reply,
                });
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

/// Looks at every state, the nearest first; how many there are, and whether the bound was met before the last.
fn look(keeps_identity: bool, order: Order) -> Result<(usize, bool), String> {
    let mut seen = HashSet::new();
    let mut waiting = std::collections::VecDeque::from([Search::begin()]);
    while let Some(state) = waiting.pop_front() {
        if !seen.insert(state.key()) {
            continue;
        }
        if let Some(acknowledged) = state.acknowledged {
            for by in [
                vec![1_u64, 2, 3, 4],
                vec![1, 3, 4],
                vec![2, 3, 4],
                vec![1, 2],
            ] {
                let found = state.found(&by.iter().copied().map(ReplicaId).collect::<Vec<_>>());
                if found.is_some_and(|found| found != acknowledged) {
                    return Err(format!(
                        "after {} states: {acknowledged} was acknowledged, {found:?} is found by {by:?}",
                        seen.len()
                    ));
                }
            }
        }
        if seen.len() >= MOST_STATES {
            return Ok((seen.len(), false));
        }
        waiting.extend(state.next(keeps_identity, order));
    }
    Ok((seen.len(), true))
}

#[test]
fn no_order_of_messages_loses_what_was_acknowledged() {
    let (states, is_whole) = look(false, Order::Any).unwrap();
    println!("{states} states, all of them: {is_whole}");
    assert!(states > 10_000, "{states}");
}

#[test]
fn a_vote_under_the_identity_of_a_lost_disk_is_found() {
    let found = look(true, Order::Any);
    println!("{found:?}");
    assert!(found.is_err());
}

#[test]
fn with_replies_at_once_or_never_nothing_is_lost_either() {
    let (states, is_whole) = look(false, Order::WithReplies).unwrap();
    println!("replies at once or never: {states} states, all of them: {is_whole}");
    assert!(states > 5_000, "{states}");
}
