//! The invariants, checked after each step and once the faults have ended.

use super::simulation::{Simulation, USUAL_LOSS_PERCENT};
use mintlb_register::message::AcceptedValue;
use mintlb_register::replica_set::{Replica, ReplicaId};
use std::collections::BTreeSet;

/// Time after the faults until the set has to be complete again, in ms.
const RECOVERY_MS: u64 = 22_000;
/// Time for further changes and for the members to catch up, in ms.
const SETTLING_MS: u64 = 5000;
/// Entries of the log that are shown with a violation.
const LOG_TAIL: usize = 16;

impl Simulation {
    /// Checks a value that an operation which began at this floor reports as chosen.
    pub fn check_chosen(&mut self, chosen: &AcceptedValue, floor: u64) {
        let (ballot, epoch) = {
            let newest = self.checker.newest();
            (newest.ballot, newest.state.replicas.epoch)
        };
        if let Err(violation) = self.checker.record_chosen(chosen, floor) {
            self.report_violation(violation);
        }
        if chosen.ballot > ballot {
            self.stats.set_changes += u64::from(chosen.state.replicas.epoch > epoch);
            self.check_majority();
        }
    }

    /// Adds an entry to the log.
    pub fn note(&mut self, what: String) {
        let set = &self.checker.newest().state.replicas;
        let ids = |side: &[Replica]| side.iter().map(|replica| replica.id.0).collect::<Vec<_>>();
        let (previous, current) = (ids(&set.previous), ids(&set.current));
        self.log.push(format!(
            "{} ms: {what}, set epoch {} {previous:?} {current:?}",
            self.now, set.epoch
        ));
    }

    /// Enough members have to have a disk for changes to go on some time.
    pub fn check_majority(&mut self) {
        let set = &self.checker.newest().state.replicas;
        let has_disk = |id| {
            self.machines
                .iter()
                .any(|machine| !machine.is_removed && machine.id() == id)
        };
        if !set.is_quorum(has_disk) {
            let violation = "the majority is lost for good".to_string();
            self.note(violation.clone());
            self.report_violation(violation);
        }
    }

    /// Keeps the first violation, with the faults before it.
    pub fn report_violation(&mut self, what: String) {
        let first = self.log.len().saturating_sub(LOG_TAIL);
        let log = self.log[first..].join("\n");
        self.violation
            .get_or_insert(format!("at {} ms: {what}; before:\n{log}", self.now));
    }

    /// Ends the faults: changes have to go on, and all members have to hold the newest value.
    pub fn check_recovery(&mut self) {
        self.is_calm = true;
        self.loss_percent = USUAL_LOSS_PERCENT;
        self.run_until(self.now + RECOVERY_MS);
        let acknowledged = self.stats.acknowledged;
        self.run_until(self.now + SETTLING_MS);
        let set = self.checker.newest().state.replicas.clone();
        // A change may also be applied by another proposal than its own.
        if self.stats.acknowledged == acknowledged {
            self.report_violation(format!(
                "no change is acknowledged after the faults: {set:?}"
            ));
        }
        if set.is_joint() || set.current.len() < self.min_replicas() {
            self.report_violation(format!("the set after the faults: {set:?}"));
        }
        self.is_operator_active = false;
        self.run_until(self.now + SETTLING_MS);
        if !set
            .current
            .iter()
            .all(|member| self.is_caught_up(member.id))
        {
            self.report_violation(format!("a member in touch is behind: {set:?}"));
        }
        let live: BTreeSet<ReplicaId> = self
            .machines
            .iter()
            .filter(|machine| machine.is_up)
            .map(|machine| machine.id())
            .collect();
        let is_any_gone = set.current.iter().any(|member| !live.contains(&member.id));
        if is_any_gone && set.current.len() > self.min_replicas() {
            self.report_violation(format!(
                "a member that is gone is still in the set: {set:?}"
            ));
        }
    }

    /// Whether a replica, if it is up, has the newest value on disk.
    fn is_caught_up(&self, id: ReplicaId) -> bool {
        let newest = self.checker.newest().ballot;
        self.machines
            .iter()
            .find(|machine| machine.is_up && machine.id() == id)
            .is_none_or(|machine| {
                let accepted = machine.durable.accepted.as_ref();
                accepted.is_some_and(|accepted| accepted.ballot == newest)
            })
    }
}
