//! The faults: at most as many machines count as lost at once as the deployment tolerates.

use super::machine::{Machine, Purpose};
use super::simulation::{Event, PlantedFault, Simulation};
use crate::support::address;
use mintlb_register::change::Change;
use mintlb_register::replica_set::ReplicaId;

/// A machine that has returned or is new counts as lost for this time, in ms.
const CATCH_UP_MS: u64 = 5000;
/// Time that a machine has to remove itself from the set before it stops, in ms.
const STOP_TIMEOUT_MS: u64 = 3000;
/// Unsynced writes that get to the disk at a crash, at most.
const MAX_SYNCED_AT_CRASH: u64 = 2;

impl Simulation {
    /// Number of machines that count as lost.
    fn lost_machines(&self) -> usize {
        self.machines
            .iter()
            .filter(|machine| self.now < machine.lost_until)
            .count()
    }

    /// Whether a fault may befall this machine.
    pub fn may_lose(&self, index: usize) -> bool {
        let machine = &self.machines[index];
        let is_lost = self.now < machine.lost_until;
        machine.is_up
            && !machine.is_stopping
            && !is_lost
            && self.lost_machines() < self.tolerated_failures
    }

    pub fn inject_fault(&mut self) {
        if self.is_calm {
            return;
        }
        let pause = if self.random_below(3) == 0 {
            50
        } else {
            200 + self.random_below(3000)
        };
        self.schedule(pause, Event::Fault);
        let kind = self.random_below(20);
        if kind == 0 {
            return self.lose_all_power();
        }
        let candidates: Vec<usize> = (0..self.machines.len())
            .filter(|index| self.may_lose(*index))
            .collect();
        if candidates.is_empty() {
            return;
        }
        let index = self.random_of(&candidates);
        match kind {
            1..=4 => self.restart(index),
            5..=9 => self.wipe_disk(index),
            10..=11 => self.pause(index),
            12..=14 => self.cut_off(index),
            15..=17 => self.replace(index),
            _ => self.replace_as_planned(index),
        }
    }

    /// A fault right after an operator's change was acknowledged.
    pub fn inject_fault_after_acknowledgement(&mut self) {
        if !self.is_calm && self.random_below(10) == 0 {
            self.lose_all_power();
        }
    }

    fn crash(&mut self, index: usize, downtime: u64, max_synced: u64) {
        self.note(format!("machine {index} is down for {downtime} ms"));
        let synced = self.random_below(max_synced + 1) as usize;
        let machine = &mut self.machines[index];
        machine.crash(synced);
        machine.last_fault_at = self.now;
        machine.lost_until = self.now + downtime + CATCH_UP_MS;
        self.schedule(downtime, Event::Start { machine: index });
    }

    fn restart(&mut self, index: usize) {
        let downtime = 200 + self.random_below(8000);
        self.crash(index, downtime, MAX_SYNCED_AT_CRASH);
    }

    /// The machine crashes and comes back with an empty disk.
    pub fn wipe_disk(&mut self, index: usize) {
        self.stats.lost_disks += 1;
        let downtime = 100 + self.random_below(2000);
        self.crash(index, downtime, MAX_SYNCED_AT_CRASH);
        let new_id = ReplicaId(self.next_number());
        let old_id = self.machines[index].id();
        let id = match self.planted {
            PlantedFault::KeepsIdentityOfLostDisk => old_id,
            _ => new_id,
        };
        self.machines[index].replace_disk(id);
        self.note(format!("machine {index} loses its disk, {old_id} is {id}"));
        self.check_majority();
    }

    fn lose_all_power(&mut self) {
        let is_any_stopping = self
            .machines
            .iter()
            .any(|machine| machine.is_stopping && machine.is_up);
        if self.lost_machines() > 0 || is_any_stopping {
            return;
        }
        // Half of the time all unsynced writes are lost.
        let max_synced = if self.random_below(2) == 0 {
            0
        } else {
            MAX_SYNCED_AT_CRASH
        };
        for index in 0..self.machines.len() {
            if self.machines[index].is_up {
                let downtime = 100 + self.random_below(900);
                self.crash(index, downtime, max_synced);
            }
        }
    }

    pub fn start(&mut self, index: usize) {
        if !self.machines[index].is_removed {
            self.machines[index].is_up = true;
            self.schedule_poll(index, 100);
        }
    }

    /// The process stands still, then goes on.
    fn pause(&mut self, index: usize) {
        let time = 300 + self.random_below(6000);
        self.note(format!("machine {index} is paused for {time} ms"));
        let machine = &mut self.machines[index];
        machine.paused_until = self.now + time;
        machine.last_fault_at = self.now;
        machine.lost_until = self.now + time + CATCH_UP_MS;
    }

    /// A network partition, in one direction or both.
    fn cut_off(&mut self, index: usize) {
        let time = 500 + self.random_below(12_000);
        let direction = self.random_below(3);
        self.note(format!(
            "machine {index} is cut off for {time} ms, direction {direction}"
        ));
        let machine = &mut self.machines[index];
        machine.is_inbound_cut = direction != 1;
        machine.is_outbound_cut = direction != 2;
        machine.last_fault_at = self.now;
        machine.lost_until = self.now + time + CATCH_UP_MS;
        self.schedule(time, Event::Heal { machine: index });
    }

    /// The partition ends.
    pub fn heal(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        machine.is_inbound_cut = false;
        machine.is_outbound_cut = false;
    }

    /// Adds a machine, at an unused address or, half of the time, at one of a machine that is gone.
    fn add_machine(&mut self) -> usize {
        let reused = self.unused_address().filter(|_| self.random_below(2) == 0);
        let address = reused.unwrap_or_else(|| address(self.machines.len() as u64));
        let id = ReplicaId(self.next_number());
        self.machines.push(Machine::with_empty_disk(address, id));
        self.machines.len() - 1
    }

    /// The address of a machine that is gone and no longer counts as lost.
    fn unused_address(&self) -> Option<String> {
        let is_in_use = |address: &str| {
            self.machines
                .iter()
                .any(|machine| !machine.is_removed && machine.address == address)
        };
        let gone = self.machines.iter().find(|machine| {
            machine.is_removed && self.now > machine.lost_until && !is_in_use(&machine.address)
        });
        gone.map(|machine| machine.address.clone())
    }

    /// The machine is gone with its disk, and another takes its place.
    fn replace(&mut self, index: usize) {
        self.stats.lost_disks += 1;
        let old_id = self.machines[index].id();
        self.machines[index].remove();
        let delay = self.random_below(3000);
        let new = self.add_machine();
        self.note(format!(
            "machine {index} with {old_id} is gone, machine {new} comes"
        ));
        self.check_majority();
        self.machines[index].last_fault_at = self.now;
        // One loss: it counts until the successor has caught up.
        self.machines[index].lost_until = self.now + delay + CATCH_UP_MS;
        self.schedule(delay, Event::Start { machine: new });
    }

    /// Another machine is added and catches up; then this one is told to stop.
    fn replace_as_planned(&mut self, index: usize) {
        let new = self.add_machine();
        self.machines[new].lost_until = self.now + CATCH_UP_MS;
        self.note(format!("machine {new} comes for {index}"));
        self.schedule(0, Event::Start { machine: new });
        let delay = CATCH_UP_MS + self.random_below(2000);
        self.schedule(delay, Event::Stop { machine: index });
    }

    /// A machine is told to stop, and removes itself from the set.
    pub fn stop(&mut self, index: usize) {
        let up = self.machines.iter().filter(|machine| machine.is_up).count();
        let machine = &self.machines[index];
        // The operators stop neither a faulty machine nor one of a minimal set.
        if !machine.is_up || self.now < machine.lost_until || up <= self.min_replicas() {
            return;
        }
        self.stats.lost_disks += 1;
        let machine = &mut self.machines[index];
        machine.is_stopping = true;
        machine.last_fault_at = self.now;
        if self.planted == PlantedFault::StopsWithoutRemoval {
            machine.remove();
            self.note(format!("machine {index} stops at once"));
            return self.check_majority();
        }
        self.note(format!("machine {index} is told to stop"));
        let change = Change::RemoveReplica {
            id: self.machines[index].id(),
            tolerance: self.tolerance(),
        };
        self.start_change(index, change, Purpose::RemoveSelf);
        self.schedule(STOP_TIMEOUT_MS, Event::Stopped { machine: index });
    }

    pub fn handle_stopped(&mut self, index: usize) {
        self.machines[index].remove();
        self.note(format!("machine {index} has stopped"));
        self.check_majority();
    }
}
