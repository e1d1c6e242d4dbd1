//! A machine with its disk and its controller.

use crate::support::{acceptor_state, address};
use mintlb_register::acceptor::{Acceptor, AcceptorState, DurableWrite};
use mintlb_register::ballot::Ballot;
use mintlb_register::message::{AcceptedValue, Reply};
use mintlb_register::proposal::Proposal;
use mintlb_register::quorum_read::QuorumRead;
use mintlb_register::replica_set::{ReplicaId, ReplicaSet};
use std::collections::{BTreeMap, VecDeque};

/// An operation of a controller on the register.
pub struct Operation {
    pub kind: OperationKind,
    pub purpose: Purpose,
    /// The highest revision acknowledged when it began.
    pub floor: u64,
    /// Number of the timer that was set last.
    pub timer: u64,
}

pub enum OperationKind {
    Proposal(Box<Proposal>),
    Read(Box<QuorumRead>),
}

/// Why a controller performs an operation.
pub enum Purpose {
    /// Its regular poll of the register.
    Poll,
    /// The first step of a change of the set.
    EnterJoint,
    /// The second step of a change of the set.
    LeaveJoint,
    /// It removes itself before it stops.
    RemoveSelf,
    /// The second step of that.
    LeaveJointAfterRemoval,
    /// An operator's change of the configuration.
    Configure { base: u64, version: u64 },
}

/// A reply that waits for its write to be synced.
pub struct PendingReply {
    pub write: DurableWrite,
    pub reply: Reply,
    /// Index of the machine that it is for.
    pub to: usize,
    pub operation: u64,
}

pub struct Machine {
    pub address: String,
    pub acceptor: Acceptor,
    /// The acceptor's state on disk.
    pub durable: AcceptorState,
    pub unsynced: VecDeque<PendingReply>,
    pub operations: BTreeMap<u64, Operation>,
    /// The newest value that its controller knows to be chosen.
    pub known: Option<AcceptedValue>,
    /// A set that its controller has learned of, which may never have been chosen.
    pub hint: Option<ReplicaSet>,
    pub ballot_floor: Ballot,
    /// Counts its starts.
    pub incarnation: u64,
    /// Whether its replica was a member since its start.
    pub was_member: bool,
    /// Since when its replica is about to join.
    pub joining_since: Option<u64>,
    pub is_up: bool,
    /// It never comes back.
    pub is_removed: bool,
    pub is_stopping: bool,
    pub paused_until: u64,
    pub is_inbound_cut: bool,
    pub is_outbound_cut: bool,
    pub last_fault_at: u64,
    /// It counts as lost until then.
    pub lost_until: u64,
}

impl Machine {
    /// The machine with this index, which has long been up and holds the first value.
    pub fn with_value(index: usize, value: AcceptedValue) -> Machine {
        let id = ReplicaId(index as u64 + 1);
        let durable = acceptor_state(value.clone());
        Machine {
            acceptor: Acceptor::new(id, durable.clone()),
            durable,
            known: Some(value),
            is_up: true,
            ..Machine::with_empty_disk(address(index as u64), id)
        }
    }

    /// A machine with an empty disk that is not up yet.
    pub fn with_empty_disk(address: String, id: ReplicaId) -> Machine {
        Machine {
            address,
            acceptor: Acceptor::new(id, AcceptorState::default()),
            durable: AcceptorState::default(),
            unsynced: VecDeque::new(),
            operations: BTreeMap::new(),
            known: None,
            hint: None,
            ballot_floor: Ballot::default(),
            incarnation: 0,
            was_member: false,
            joining_since: None,
            is_up: false,
            is_removed: false,
            is_stopping: false,
            paused_until: 0,
            is_inbound_cut: false,
            is_outbound_cut: false,
            last_fault_at: 0,
            lost_until: 0,
        }
    }

    pub fn id(&self) -> ReplicaId {
        self.acceptor.id()
    }

    /// The newest set that its controller knows of.
    pub fn newest_set(&self) -> Option<&ReplicaSet> {
        let known = self.known.as_ref().map(|known| &known.state.replicas);
        self.hint.iter().chain(known).max_by_key(|set| set.epoch)
    }

    /// Its controller learns of a chosen value.
    pub fn learn(&mut self, chosen: &AcceptedValue) {
        self.hint = None;
        let is_newer = self
            .known
            .as_ref()
            .is_none_or(|known| known.ballot < chosen.ballot);
        if is_newer {
            self.known = Some(chosen.clone());
        }
    }

    pub fn is_reachable(&self) -> bool {
        self.is_up && !self.is_inbound_cut && !self.is_outbound_cut
    }

    /// The process ends. Of the unsynced writes the first `synced` ones have got to the disk, the others are lost.
    pub fn crash(&mut self, synced: usize) {
        for _ in 0..synced {
            if let Some(pending) = self.unsynced.pop_front() {
                self.durable.apply(&pending.write);
            }
        }
        self.incarnation += 1;
        (self.was_member, self.joining_since) = (false, None);
        self.is_up = false;
        self.unsynced.clear();
        self.operations.clear();
        self.known = None;
        self.hint = self
            .durable
            .accepted
            .as_ref()
            .map(|accepted| accepted.state.replicas.clone());
        self.acceptor = Acceptor::new(self.id(), self.durable.clone());
    }

    /// The disk is replaced by an empty one, under this identity.
    pub fn replace_disk(&mut self, id: ReplicaId) {
        self.durable = AcceptorState::default();
        self.hint = None;
        self.acceptor = Acceptor::new(id, AcceptorState::default());
    }

    /// It is gone for good.
    pub fn remove(&mut self) {
        self.crash(0);
        self.is_removed = true;
    }
}
