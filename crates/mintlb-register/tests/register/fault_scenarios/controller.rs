//! The controllers, which behave as those of `mintlb-control`: each polls the register, joins its set, ends joint sets,
//! catches up, and, as the first live member, removes unresponsive ones.

use super::machine::{PendingReply, Purpose};
use super::simulation::{Event, PlantedFault, Simulation};
use crate::support::{MAX_REPLICAS, replica_at};
use mintlb_register::acceptor::DurableWrite;
use mintlb_register::change::{Change, ChangeOutcome};
use mintlb_register::join::JoinView;
use mintlb_register::message::{AcceptedValue, Reply};
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use std::time::Duration;

/// A member that has not responded for this time may be removed, in ms.
const UNRESPONSIVE_AFTER_MS: u64 = 3000;
/// Pause between two polls, in ms.
const POLL_INTERVAL_MS: u64 = 1000;
/// Pause before the next poll after a failure, in ms.
const RETRY_DELAY_MS: u64 = 60;

impl Simulation {
    /// A controller's regular poll of the register.
    pub fn poll(&mut self, index: usize, incarnation: u64) {
        let machine = &self.machines[index];
        if machine.incarnation != incarnation || !machine.is_up {
            return;
        }
        if machine.paused_until > self.now {
            let delay = machine.paused_until - self.now;
            return self.schedule(
                delay,
                Event::Poll {
                    machine: index,
                    incarnation,
                },
            );
        }
        if machine.newest_set().is_none() {
            self.discover_set(index);
            return self.schedule_poll(index, RETRY_DELAY_MS);
        }
        self.start_read(index);
    }

    /// Learns of the newest set that others know, as by gossip or from a seed.
    fn discover_set(&mut self, index: usize) {
        if !self.machines[index].is_reachable() {
            return;
        }
        let newest = self
            .machines
            .iter()
            .filter(|other| other.is_reachable())
            .filter_map(|other| other.newest_set())
            .max_by_key(|set| set.epoch)
            .cloned();
        self.machines[index].hint = newest;
    }

    /// What a controller does once a proposal has an outcome.
    pub fn handle_outcome(&mut self, index: usize, purpose: Purpose, outcome: ChangeOutcome) {
        match purpose {
            Purpose::Poll => self.maintain_membership(index),
            Purpose::EnterJoint if self.planted != PlantedFault::NeverLeavesJoint => {
                self.start_change(index, Change::LeaveJoint, Purpose::LeaveJoint);
            }
            Purpose::EnterJoint | Purpose::LeaveJoint => self.schedule_poll(index, RETRY_DELAY_MS),
            Purpose::RemoveSelf => {
                self.start_change(index, Change::LeaveJoint, Purpose::LeaveJointAfterRemoval);
            }
            Purpose::LeaveJointAfterRemoval => (),
            Purpose::Configure { base, version } => {
                self.stats.acknowledged += u64::from(outcome.is_applied());
                if outcome == ChangeOutcome::Applied {
                    self.handle_applied(base, version);
                }
            }
        }
    }

    fn handle_applied(&mut self, base: u64, version: u64) {
        self.stats.applied += 1;
        self.inject_fault_after_acknowledgement();
        if let Err(violation) = self.checker.record_applied(base, version) {
            self.report_violation(violation);
        }
    }

    /// What a controller does if an operation has no outcome in time.
    pub fn handle_timeout(&mut self, index: usize, purpose: Purpose) {
        match purpose {
            Purpose::Poll => {
                self.discover_set(index);
                if self.machines[index].known.is_some() && self.random_below(2) == 0 {
                    self.confirm_value(index);
                } else {
                    self.schedule_poll(index, RETRY_DELAY_MS);
                }
            }
            Purpose::EnterJoint | Purpose::LeaveJoint => self.schedule_poll(index, RETRY_DELAY_MS),
            Purpose::RemoveSelf | Purpose::LeaveJointAfterRemoval | Purpose::Configure { .. } => (),
        }
    }

    /// Joins the set, ends a joint set, or removes an unresponsive member.
    pub fn maintain_membership(&mut self, index: usize) {
        let Some(chosen) = self.machines[index].known.clone() else {
            return self.schedule_poll(index, RETRY_DELAY_MS);
        };
        let set = &chosen.state.replicas;
        let machine = &self.machines[index];
        let (id, is_stopping) = (machine.id(), machine.is_stopping);
        let replica = replica_at(id, &machine.address);
        self.catch_up(index, &chosen);
        if set.current_replica(id).is_none() && !is_stopping {
            if self.planted == PlantedFault::NeverRejoins {
                return self.schedule_poll(index, POLL_INTERVAL_MS);
            }
            return match self.join_change(index, set, &replica) {
                Some(change) => self.start_change(index, change, Purpose::EnterJoint),
                None => self.schedule_poll(index, RETRY_DELAY_MS),
            };
        }
        self.machines[index].was_member = true;
        self.machines[index].joining_since = None;
        if set.is_joint() && self.planted != PlantedFault::NeverLeavesJoint {
            return self.start_change(index, Change::LeaveJoint, Purpose::LeaveJoint);
        }
        if let Some(id) = self.removable_member(set)
            && self.is_first_live_member(index, set)
        {
            let change = Change::RemoveReplica {
                id,
                tolerance: self.tolerance(),
            };
            return self.start_change(index, change, Purpose::EnterJoint);
        }
        self.schedule_poll(index, POLL_INTERVAL_MS);
    }

    /// The change by which a replica joins now; `None` if it waits.
    fn join_change(&mut self, index: usize, set: &ReplicaSet, replica: &Replica) -> Option<Change> {
        let since = *self.machines[index].joining_since.get_or_insert(self.now);
        let is_reachable = |id| {
            let mut machines = self.machines.iter();
            machines.any(|machine| machine.id() == id && machine.is_reachable())
        };
        let members = || set.current.iter().map(|member| member.id);
        let view = JoinView {
            set,
            replica,
            unresponsive: members().filter(|id| self.is_unresponsive(*id)).collect(),
            has_silent_member: members().any(|id| !is_reachable(id)),
            waited: Duration::from_millis(self.now - since),
            was_member: self.machines[index].was_member,
            tolerance: self.tolerance(),
            max_replicas: MAX_REPLICAS,
        };
        view.next_change()
    }

    /// An unresponsive member of a set that is larger than it has to be.
    fn removable_member(&self, set: &ReplicaSet) -> Option<ReplicaId> {
        if set.is_joint() || set.current.len() <= self.min_replicas() {
            return None;
        }
        set.current
            .iter()
            .map(|replica| replica.id)
            .find(|id| self.is_unresponsive(*id))
    }

    /// The replica of the machine stores a chosen value that it has missed.
    fn catch_up(&mut self, index: usize, chosen: &AcceptedValue) {
        if self.planted == PlantedFault::NeverCatchesUp {
            return;
        }
        let machine = &mut self.machines[index];
        let id = machine.id();
        let set = &chosen.state.replicas;
        if !set.members().any(|member| member.id == id) {
            return;
        }
        let write = machine.acceptor.learn(chosen);
        if write == DurableWrite::Nothing {
            return;
        }
        // No operation has the number 0: nobody handles the reply.
        machine.unsynced.push_back(PendingReply {
            write,
            reply: Reply::WrongReplica { id },
            to: index,
            operation: 0,
        });
        let sync_time = 1 + self.random_below(15);
        self.schedule_synced(index, sync_time);
    }

    fn is_unresponsive(&self, id: ReplicaId) -> bool {
        let is_silent = self
            .machines
            .iter()
            .find(|machine| machine.id() == id && machine.is_up)
            .is_none_or(|machine| {
                !machine.is_reachable() && self.now >= machine.last_fault_at + UNRESPONSIVE_AFTER_MS
            });
        let last_fault_at = self
            .machines
            .iter()
            .filter(|machine| machine.id() == id)
            .map(|machine| machine.last_fault_at)
            .max()
            .unwrap_or(0);
        is_silent && self.now >= last_fault_at + UNRESPONSIVE_AFTER_MS
    }

    /// Whether this machine has the lowest address of the members that are up.
    fn is_first_live_member(&self, index: usize, set: &ReplicaSet) -> bool {
        let is_live = |id| {
            self.machines
                .iter()
                .any(|machine| machine.id() == id && machine.is_reachable())
        };
        let first = set
            .current
            .iter()
            .filter(|replica| is_live(replica.id))
            .map(|replica| &replica.address)
            .min();
        first == Some(&self.machines[index].address)
    }

    /// The operator's next change of the configuration, at any machine.
    pub fn call_as_operator(&mut self) {
        let pause = if self.random_below(4) == 0 {
            2500
        } else {
            100 + self.random_below(700)
        };
        self.schedule(pause, Event::OperatorCall);
        let up: Vec<usize> = (0..self.machines.len())
            .filter(|index| self.machines[*index].is_up)
            .collect();
        if up.is_empty() || !self.is_operator_active {
            return;
        }
        let index = self.random_of(&up);
        let base = self.checker.newest().state.configuration_version;
        let version = self.next_number();
        let change = Change::SetConfiguration {
            base,
            version,
            body: version.to_be_bytes().to_vec(),
            tolerance: self.tolerance(),
            durability_suffices: false,
        };
        self.start_change(index, change, Purpose::Configure { base, version });
    }
}
