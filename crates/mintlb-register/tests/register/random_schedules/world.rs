//! The state of a run: machines, operations in progress, messages in flight.

use super::network::{Message, Mutation};
use super::operations::Operation;
use crate::support::checker::Checker;
use crate::support::{FIRST_BALLOT, acceptor_state, add, address, replica_at};
use mintlb_common::quorum::FaultTolerance;
use mintlb_register::acceptor::{Acceptor, AcceptorState, DurableWrite};
use mintlb_register::change::Change;
use mintlb_register::message::{AcceptedValue, Reply};
use mintlb_register::proposal::Input;
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use mintlb_register::state::ControlState;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Disks that may be lost before the set is complete again.
pub const TOLERATED_FAILURES: usize = 1;
/// Steps after which a change counts as stuck.
const MAX_STEPS_OF_CHANGE: usize = 3000;

/// A fault of the replicas, planted to see that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlantedFault {
    None,
    /// Acceptors reply before the write is synced.
    RepliesBeforeSync,
    /// A replica whose disk was lost goes on under its old identity.
    KeepsIdentityOfLostDisk,
}

/// A reply that waits for its write to be synced.
pub struct PendingReply {
    pub write: DurableWrite,
    pub reply: Reply,
    pub operation: u64,
}

pub struct Machine {
    pub address: String,
    pub acceptor: Acceptor,
    /// The acceptor's state on disk.
    pub durable: AcceptorState,
    pub unsynced: VecDeque<PendingReply>,
    pub has_lost_disk: bool,
}

impl Machine {
    fn with_empty_disk(id: ReplicaId, address: String) -> Machine {
        Machine {
            address,
            acceptor: Acceptor::new(id, AcceptorState::default()),
            durable: AcceptorState::default(),
            unsynced: VecDeque::new(),
            has_lost_disk: false,
        }
    }

    pub fn id(&self) -> ReplicaId {
        self.acceptor.id()
    }

    /// The process starts again; what was not synced is lost.
    pub fn restart(&mut self) {
        self.unsynced.clear();
        self.acceptor = Acceptor::new(self.id(), self.durable.clone());
    }

    /// The process starts again with this state on disk.
    pub fn restart_with(&mut self, id: ReplicaId, durable: AcceptorState) {
        self.unsynced.clear();
        self.acceptor = Acceptor::new(id, durable.clone());
        self.durable = durable;
    }

    /// Set of the value that the replica has accepted last.
    pub fn accepted_set(&self) -> Option<&ReplicaSet> {
        let accepted = self.acceptor.state().accepted.as_ref();
        accepted.map(|accepted| &accepted.state.replicas)
    }

    fn describe(&self) -> String {
        let accepted = self.acceptor.state().accepted.as_ref();
        let value = accepted.map(|accepted| (accepted.ballot, describe(&accepted.state.replicas)));
        format!("{}: {value:?}", self.id())
    }
}

/// What happened in a run, to see that runs are worth it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stats {
    /// Configurations acknowledged as applied.
    pub applied: u64,
    pub lost_disks: u64,
    /// Reads in one round trip that were conclusive.
    pub reads: u64,
    pub set_changes: u64,
}

/// One run.
pub struct World {
    pub machines: Vec<Machine>,
    pub operations: BTreeMap<u64, Operation>,
    pub in_flight: VecDeque<Message>,
    pub checker: Checker,
    /// Identities whose disks are lost.
    pub lost: Vec<ReplicaId>,
    pub last_number: u64,
    pub last_version: u64,
    pub planted: PlantedFault,
    pub stats: Stats,
    /// The first invariant that was violated.
    pub violation: Option<String>,
}

impl World {
    /// A register bootstrapped by the first of `size` machines; the others are not in the set yet.
    pub fn new(size: usize, planted: PlantedFault) -> World {
        let mut machines: Vec<Machine> = (0..size as u64)
            .map(|index| Machine::with_empty_disk(ReplicaId(index + 1), address(index)))
            .collect();
        let first = &mut machines[0];
        let replica = replica_at(first.id(), &first.address);
        let value = AcceptedValue {
            ballot: FIRST_BALLOT,
            state: Arc::new(ControlState::bootstrap(
                replica,
                FaultTolerance::of_machines(TOLERATED_FAILURES),
            )),
        };
        first.restart_with(first.id(), acceptor_state(value.clone()));
        World {
            machines,
            operations: BTreeMap::new(),
            in_flight: VecDeque::new(),
            checker: Checker::new(value),
            lost: Vec::new(),
            last_number: 1000,
            last_version: 1,
            planted,
            stats: Stats::default(),
            violation: None,
        }
    }

    /// The newest value known to be chosen.
    pub fn newest(&self) -> &ControlState {
        &self.checker.newest().state
    }

    /// A number that was not used before.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Adds every machine to the set, one after the other, without faults.
    pub fn add_all_machines(&mut self) {
        for index in 1..self.machines.len() {
            let change = self.addition_of(index);
            self.run_change(change, None);
            self.run_change(Change::LeaveJoint, None);
        }
    }

    /// The change that adds a machine to the set.
    pub fn addition_of(&self, index: usize) -> Change {
        let machine = &self.machines[index];
        add(replica_at(machine.id(), &machine.address))
    }

    /// Restarts all machines and checks that a proposal ends without further faults.
    pub fn check_recovery(&mut self) {
        self.operations.clear();
        self.in_flight.clear();
        self.machines.iter_mut().for_each(Machine::restart);
        self.run_change(Change::Identity, None);
    }

    /// Runs a change to its end without faults but for the mutation of one message, given by its index. Returns how many
    /// messages there were.
    pub fn run_change(&mut self, change: Change, mutation: Option<(usize, Mutation)>) -> usize {
        self.start_proposal(change, self.newest().replicas.clone());
        let mut delivered = 0;
        for _ in 0..MAX_STEPS_OF_CHANGE {
            if self.operations.is_empty() {
                return delivered;
            }
            if let Some(message) = self.in_flight.pop_front() {
                let mutation = mutation.filter(|(index, _)| *index == delivered);
                delivered += 1;
                self.deliver_mutated(message, mutation.map(|(_, mutation)| mutation));
            } else if let Some(index) = self.machine_with_unsynced_writes() {
                self.finish_syncs(index, usize::MAX);
            } else {
                self.expire_all_timers();
            }
        }
        self.report_stuck_change();
        delivered
    }

    fn machine_with_unsynced_writes(&self) -> Option<usize> {
        self.machines
            .iter()
            .position(|machine| !machine.unsynced.is_empty())
    }

    fn expire_all_timers(&mut self) {
        let operations: Vec<u64> = self.operations.keys().copied().collect();
        for operation in operations {
            self.handle_input(operation, Input::Timer);
        }
    }

    fn report_stuck_change(&mut self) {
        let machines: Vec<String> = self.machines.iter().map(Machine::describe).collect();
        let newest = describe(&self.newest().replicas);
        self.report_violation(format!(
            "a proposal does not end without faults: newest {newest}, lost {:?}, {machines:#?}",
            self.lost
        ));
    }

    /// Keeps the first violation.
    pub fn report_violation(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }
}

fn describe(set: &ReplicaSet) -> String {
    let ids = |side: &[Replica]| side.iter().map(|replica| replica.id.0).collect::<Vec<_>>();
    let (previous, current) = (ids(&set.previous), ids(&set.current));
    format!("epoch {} {previous:?} {current:?}", set.epoch)
}
