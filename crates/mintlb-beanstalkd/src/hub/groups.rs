//! Worker groups, and their announcement to the core.

use super::timers::Timer;
use super::{Effect, Hub};
use crate::machines::MachineInfo;
use mintlb_core::reducer::Event;
use mintlb_scheduler::ProjectTypeSet;
use std::net::IpAddr;

impl Hub {
    /// Applies a report of the list service. If `full`, machines missing from it have left the list.
    pub fn apply_membership(
        &mut self,
        full: bool,
        reported: impl Iterator<Item = (IpAddr, MachineInfo)>,
    ) {
        for change in self.machines.apply_list(full, reported) {
            let (machine, type_set) = (change.machine, change.type_set);
            self.effects.push(Effect::MemberChanged(change));
            self.announce_waiting(machine, type_set);
        }
    }

    /// Number of known worker groups.
    pub fn group_count(&self) -> usize {
        self.machines.len()
    }

    /// Moves a session to the group for the tubes that it watches now; to none if it watches no tube with jobs.
    pub(super) fn choose_group(&mut self, now: f64, id: u64) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let type_set = self.plan.project_types_of(&session.watched);
        let joins = (!type_set.is_empty()).then_some(type_set);
        let leaves = std::mem::replace(&mut session.type_set, joins);
        let machine = session.machine;
        if leaves == joins {
            return;
        }
        if let Some(type_set) = leaves {
            self.leave_group(now, machine, type_set);
        }
        let change = joins.and_then(|type_set| self.machines.join(now, machine, type_set));
        self.effects.extend(change.map(Effect::MemberChanged));
    }

    /// Adds a session's waiting reserve to its group.
    pub(super) fn join_waiting(&mut self, id: u64, sequence: u64) {
        let Some(session) = self.sessions.get(&id) else {
            return;
        };
        let (machine, Some(type_set)) = (session.machine, session.type_set) else {
            return;
        };
        if let Some(group) = self.machines.group(machine, type_set) {
            group.waiting.insert(sequence, id);
            self.announce_waiting(machine, type_set);
        }
    }

    /// Removes a connection from its group. A group without connections is removed after the retention period.
    pub(super) fn leave_group(&mut self, now: f64, machine: IpAddr, type_set: ProjectTypeSet) {
        if self.machines.leave(now, machine, type_set) {
            self.set_timer(now + self.plan.table.keep_ends, Timer::RemoveIdleGroups);
        }
    }

    /// Announces to the core how many reserves wait in a group, and how many attempts it had received by then. Each
    /// attempt that the core has sent since will take one of these reserves.
    pub(super) fn announce_waiting(&mut self, machine: IpAddr, type_set: ProjectTypeSet) {
        if let Some(group) = self.machines.group(machine, type_set) {
            let (worker, waiting, requests_received) = (
                group.worker,
                group.waiting.len() as u64,
                group.requests_received,
            );
            self.emit(Event::WorkerPolled {
                worker,
                requested: waiting,
                requests_seen: requests_received,
            });
        }
    }

    /// Removes groups that have had no connection for the retention period.
    pub(super) fn remove_idle_groups(&mut self, now: f64) {
        let gone = self.machines.remove_idle(now, self.plan.table.keep_ends);
        self.effects
            .extend(gone.into_iter().map(Effect::MemberChanged));
    }
}
