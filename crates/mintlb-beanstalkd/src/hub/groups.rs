//! Groups of workers, and what the core is told of them.

use super::timers::Timer;
use super::{Deed, Hub};
use crate::machines::Place;
use mintlb_core::reducer::Event;
use mintlb_scheduler::ProjectTypeSet;
use std::net::IpAddr;

impl Hub {
    /// Applies what the list service says of machines. With `full`, machines that it does not name have left
    /// it.
    pub fn hear(&mut self, full: bool, told: impl Iterator<Item = (IpAddr, Place)>) {
        for change in self.machines.apply_list(full, told) {
            let (machine, runs) = (change.machine, change.runs);
            self.deeds.push(Deed::Member(change));
            self.announce_waiting(machine, runs);
        }
    }

    /// The number of groups that are known.
    pub fn groups(&self) -> usize {
        self.machines.len()
    }

    /// Moves a session into the group that fits the tubes it watches now, if there are tubes of jobs among
    /// them.
    pub(super) fn choose_group(&mut self, now: f64, id: u64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let runs = self.plan.runs_of(&session.watched);
        let joins = (!runs.is_empty()).then_some(runs);
        let leaves = std::mem::replace(&mut session.runs, joins);
        let machine = session.machine;
        if leaves == joins {
            return;
        }
        if let Some(runs) = leaves {
            self.leave_group(now, machine, runs);
        }
        let change = joins.and_then(|runs| self.machines.join(now, machine, runs));
        self.deeds.extend(change.map(Deed::Member));
    }

    /// Adds a session's waiting reserve to its group.
    pub(super) fn join_waiting(&mut self, id: u64, sequence: u64) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let (machine, Some(runs)) = (session.machine, session.runs) else {
            return;
        };
        if let Some(group) = self.machines.group(machine, runs) {
            group.waiting.insert(sequence, id);
            self.announce_waiting(machine, runs);
        }
    }

    /// Counts a connection out of its group. A group without any is forgotten after a while.
    pub(super) fn leave_group(&mut self, now: f64, machine: IpAddr, runs: ProjectTypeSet) {
        if self.machines.leave(now, machine, runs) {
            self.set_timer(now + self.plan.table.keep_ends, Timer::ForgetGroups);
        }
    }

    /// Tells the core for how many jobs a group waits, and how many orders it had got by then: of orders sent
    /// since, each will take one.
    pub(super) fn announce_waiting(&mut self, machine: IpAddr, runs: ProjectTypeSet) {
        if let Some(group) = self.machines.group(machine, runs) {
            let (worker, waiting, orders) =
                (group.worker, group.waiting.len() as u64, group.orders);
            self.tell(Event::WorkerPolled {
                worker,
                requested: waiting,
                requests_seen: orders,
            });
        }
    }

    /// Forgets groups that have had no connection for long enough.
    pub(super) fn forget_groups(&mut self, now: f64) {
        let gone = self.machines.forget_empty(now, self.plan.table.keep_ends);
        self.deeds.extend(gone.into_iter().map(Deed::Member));
    }
}
