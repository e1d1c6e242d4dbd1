//! A machine with its disk and its controller.

use mintlb_register::acceptor::{Acceptor, AcceptorState, DurableWrite};
use mintlb_register::ballot::Ballot;
use mintlb_register::message::{AcceptedValue, Reply};
use mintlb_register::proposal::Proposal;
use mintlb_register::quorum_read::QuorumRead;
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use std::collections::{BTreeMap, VecDeque};

/// What a controller is at.
pub enum Work {
    Proposal(Box<Proposal>),
    Reading(Box<QuorumRead>),
}

/// What it is at it for.
pub enum Purpose {
    /// The regular look.
    Look,
    /// A change of the set is to be begun.
    SetBegun,
    /// A change of the set is to be ended.
    Set,
    /// The controller leaves before it ends.
    Leaving,
    /// It has left.
    Left,
    /// An operator's order.
    Order { base: u64, version: u64 },
}

pub struct Actor {
    pub work: Work,
    pub purpose: Purpose,
    pub floor: u64,
    pub armed: u64,
}

pub struct Machine {
    pub address: String,
    pub acceptor: Acceptor,
    pub durable: AcceptorState,
    pub unsynced: VecDeque<(DurableWrite, Reply, usize, u64)>,
    pub actors: BTreeMap<u64, Actor>,
    pub known: Option<AcceptedValue>,
    pub hint: Option<ReplicaSet>,
    pub floor: Ballot,
    pub life: u64,
    pub is_up: bool,
    pub is_gone: bool,
    pub stopping: bool,
    pub frozen_until: u64,
    pub cut_in: bool,
    pub cut_out: bool,
    pub troubled_at: u64,
    /// It counts as lost until then.
    pub lost_until: u64,
}

pub fn address(at: usize) -> String {
    format!("10.0.0.{at}:7661")
}

pub fn replica(id: ReplicaId, address: &str) -> Replica {
    Replica {
        id,
        address: address.to_string(),
        node_name: address.to_string(),
        zone: String::new(),
    }
}

impl Machine {
    /// One that has been up for long.
    pub fn holding(at: usize, value: AcceptedValue) -> Machine {
        let vote = AcceptorState {
            promised: value.ballot,
            accepted: Some(value.clone()),
        };
        let acceptor = Acceptor::new(ReplicaId(at as u64 + 1), vote.clone());
        Machine {
            durable: vote,
            acceptor,
            known: Some(value),
            ..Machine::empty(address(at), ReplicaId(0))
        }
    }

    /// One with an empty disk, not up yet.
    pub fn empty(address: String, id: ReplicaId) -> Machine {
        Machine {
            address,
            acceptor: Acceptor::new(id, AcceptorState::default()),
            durable: AcceptorState::default(),
            unsynced: VecDeque::new(),
            actors: BTreeMap::new(),
            known: None,
            hint: None,
            floor: Ballot::default(),
            life: 0,
            is_up: id == ReplicaId(0),
            is_gone: false,
            stopping: false,
            frozen_until: 0,
            cut_in: false,
            cut_out: false,
            troubled_at: 0,
            lost_until: 0,
        }
    }

    pub fn set(&self) -> Option<&ReplicaSet> {
        let known = self.known.as_ref().map(|known| &known.state.replicas);
        self.hint.iter().chain(known).max_by_key(|set| set.epoch)
    }

    pub fn learn(&mut self, chosen: &AcceptedValue) {
        self.hint = None;
        if self
            .known
            .as_ref()
            .is_none_or(|known| known.ballot < chosen.ballot)
        {
            self.known = Some(chosen.clone());
        }
    }

    pub fn write(&mut self, sync: DurableWrite) {
        match sync {
            DurableWrite::Nothing => (),
            DurableWrite::Promise(ballot) => self.durable.promised = ballot,
            DurableWrite::Learned { promised, chosen } => {
                self.durable = AcceptorState {
                    promised,
                    accepted: Some(chosen),
                };
            }
            DurableWrite::Accepted(accepted) => {
                self.durable = AcceptorState {
                    promised: accepted.ballot,
                    accepted: Some(accepted),
                };
            }
        }
    }

    pub fn is_reachable(&self) -> bool {
        self.is_up && !self.cut_in && !self.cut_out
    }

    /// The process is gone, and what was not synced, but for the first writes.
    pub fn die(&mut self, kept: usize) {
        for _ in 0..kept {
            if let Some((sync, ..)) = self.unsynced.pop_front() {
                self.write(sync);
            }
        }
        self.life += 1;
        self.is_up = false;
        self.unsynced.clear();
        self.actors.clear();
        self.known = None;
        self.hint = self
            .durable
            .accepted
            .as_ref()
            .map(|accepted| accepted.state.replicas.clone());
        self.acceptor = Acceptor::new(self.acceptor.id(), self.durable.clone());
    }

    /// It is gone for good.
    pub fn remove(&mut self) {
        self.die(0);
        self.is_gone = true;
    }
}
