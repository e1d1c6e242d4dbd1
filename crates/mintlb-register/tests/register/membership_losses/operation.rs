//! Operations that change a replica set, each as a list of steps.

use crate::support::{MAX_REPLICAS, add, address, replica_at};
use mintlb_common::quorum::FaultTolerance;
use mintlb_register::change::Change;
use mintlb_register::replica_set::ReplicaId;

/// Identity of a replica that is added.
pub const ADDED: ReplicaId = ReplicaId(100);
/// Machine of a replica that is added at a new address.
pub const NEW_MACHINE: u64 = 50;

/// Adds a replica with this identity at this address.
pub fn add_at(id: ReplicaId, address: &str) -> Change {
    add(replica_at(id, address))
}

/// An operation on the last member of a set.
#[derive(Clone, Copy, Debug)]
pub enum Operation {
    /// Its disk is lost, and it comes back at its address.
    Wipe,
    /// It is lost; a replica on another machine is added, then it is removed.
    Replace,
    /// A replica on another machine is added and catches up; then it is removed, and stops.
    PlannedReplace,
    /// It is cut off and removed.
    Remove,
    /// It is cut off and stays in the set.
    CutOff,
}

pub const OPERATIONS: [Operation; 5] = [
    Operation::Wipe,
    Operation::Replace,
    Operation::PlannedReplace,
    Operation::Remove,
    Operation::CutOff,
];

/// One step of an operation.
pub struct Step {
    pub action: Action,
    /// How many further disks may be lost after it.
    pub further_losses: usize,
}

pub enum Action {
    Propose(Change),
    /// This replica receives nothing any more.
    CutOff(ReplicaId),
}

pub fn propose(change: Change, further_losses: usize) -> Step {
    Step {
        action: Action::Propose(change),
        further_losses,
    }
}

pub fn cut_off(id: ReplicaId, further_losses: usize) -> Step {
    Step {
        action: Action::CutOff(id),
        further_losses,
    }
}

pub fn steps(operation: Operation, tolerated_failures: usize, size: usize) -> Vec<Step> {
    let member = ReplicaId(size as u64);
    let remove = || Change::RemoveReplica {
        id: member,
        tolerance: FaultTolerance::of_machines(tolerated_failures),
    };
    let (one_less, all) = (tolerated_failures - 1, tolerated_failures);
    match operation {
        Operation::Wipe => vec![
            cut_off(member, one_less),
            propose(add_at(ADDED, &address(member.0)), one_less),
            propose(Change::LeaveJoint, all),
        ],
        Operation::Replace => vec![
            cut_off(member, one_less),
            propose(add_at(ADDED, &address(NEW_MACHINE)), one_less),
            propose(Change::LeaveJoint, one_less),
            propose(remove(), one_less),
            propose(Change::LeaveJoint, all),
        ],
        Operation::PlannedReplace => vec![
            propose(add_at(ADDED, &address(NEW_MACHINE)), one_less),
            propose(Change::LeaveJoint, all),
            propose(remove(), all),
            propose(Change::LeaveJoint, all),
            cut_off(member, all),
        ],
        Operation::Remove => vec![
            cut_off(member, one_less),
            propose(remove(), one_less),
            propose(Change::LeaveJoint, one_less),
        ],
        Operation::CutOff => vec![cut_off(member, one_less)],
    }
}

pub fn is_possible(operation: Operation, tolerated_failures: usize, size: usize) -> bool {
    match operation {
        Operation::Replace | Operation::PlannedReplace => size < MAX_REPLICAS,
        Operation::Remove => size > 2 * tolerated_failures + 1,
        Operation::Wipe | Operation::CutOff => true,
    }
}

/// Members 1 to `size` that none of the steps has cut off.
pub fn remaining_members(size: usize, steps: &[Step]) -> Vec<ReplicaId> {
    let is_cut_off = |id: ReplicaId| {
        steps
            .iter()
            .any(|step| matches!(step.action, Action::CutOff(cut) if cut == id))
    };
    (1..=size as u64)
        .map(ReplicaId)
        .filter(|id| !is_cut_off(*id))
        .collect()
}
