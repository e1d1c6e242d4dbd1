//! Stores with all shards under the planner, in virtual time. A replica's log is told by the place of its last
//! entry only; reading, filling and committing follow the rules of `mintlb_batch::replica`. Machines are lost as
//! the operators' promise allows: at most `tolerance` that count at once.

pub mod machines;
pub mod shards;

use machines::Machine;
use mintlb_batch::heartbeat::StoreHeartbeat;
use mintlb_batch::placement_planner::{
    DecommissionStart, DecommissionStatus, StoreTable, decommission_status, plan,
    start_decommission,
};
use mintlb_common::placement::{Placement, StoreId};
use shards::Shard;
use std::time::Duration;

pub const STEP: Duration = Duration::from_millis(100);
/// How often a store tells the controllers; at once if a primary came in charge.
const HEARTBEAT_STEPS: u64 = 4;
/// How long a store that was told to stop goes on while shards name it.
const HAND_OVER: Duration = Duration::from_millis(4000);
/// And at least.
const LEAST_HAND_OVER: Duration = Duration::from_millis(800);
/// How long a restart takes.
const RESTART: Duration = Duration::from_millis(1000);

pub struct Fleet {
    pub now: Duration,
    pub tolerance: usize,
    pub catch_up: Duration,
    /// From a takeover's end until another replica has the whole log.
    pub fill: Duration,
    pub machines: Vec<Machine>,
    pub placement: Placement,
    pub table: StoreTable,
    pub shards: Vec<Shard>,
    /// The controller with the duty does nothing until then.
    pub paused_until: Duration,
    /// Nodes that are to be emptied.
    pub decommissioning: Vec<String>,
    pub next_id: StoreId,
    /// Nobody calls: a primary does not notice that it can't commit.
    pub idle: bool,
    pub changes: u64,
    pub history: Vec<String>,
}

impl Fleet {
    pub fn new(count: usize, tolerance: usize, catch_up: Duration, fill: Duration) -> Fleet {
        let now = Duration::from_secs(100);
        let mut fleet = Fleet {
            now,
            tolerance,
            catch_up,
            fill,
            machines: Vec::new(),
            placement: Placement::default(),
            table: StoreTable::new(now),
            shards: Vec::new(),
            paused_until: Duration::ZERO,
            decommissioning: Vec::new(),
            next_id: 1,
            idle: false,
            changes: 0,
            history: Vec::new(),
        };
        (0..count).for_each(|_| _ = fleet.add_machine());
        fleet.run(Duration::from_secs(8));
        fleet
    }

    /// A machine with an empty disk; returns its place.
    pub fn add_machine(&mut self) -> usize {
        let id = self.next_id;
        self.next_id += 1;
        self.machines.push(Machine::new(id, self.now));
        self.machines.len() - 1
    }

    pub fn run(&mut self, time: Duration) {
        (0..time.as_millis() / STEP.as_millis()).for_each(|_| self.step());
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.move_machines();
        self.move_shards();
        self.tell_controllers();
        if self.now >= self.paused_until {
            let view = self.table.snapshot(&self.placement, self.now);
            if let Some(next) = plan(&self.placement, &view, self.tolerance) {
                self.changes += 1;
                self.set_placement(next);
            }
            self.finish_retirements();
        }
    }

    fn set_placement(&mut self, next: Placement) {
        self.placement = next;
        self.shards
            .resize_with(self.placement.shards.len(), Shard::default);
    }

    /// Stores' heartbeats reach the controllers.
    fn tell_controllers(&mut self) {
        let round = self.now.as_millis() as u64 / STEP.as_millis() as u64;
        for machine in self.machines.iter().filter(|machine| machine.is_up()) {
            let reports: Vec<_> = (0..self.shards.len())
                .filter_map(|shard| self.report(shard, machine.id))
                .collect();
            let active = reports.iter().filter(|report| report.active).count();
            let due = (round + machine.id).is_multiple_of(HEARTBEAT_STEPS);
            if !due && active <= machine.told_in_charge.get() {
                continue;
            }
            machine.told_in_charge.set(active);
            let heartbeat = StoreHeartbeat {
                id: machine.id,
                node_name: machine.node(),
                address: format!("{}:1", machine.node()),
                zone: machine.zone(),
                shards: reports,
                placement: self.placement.epoch,
                draining: machine.draining.is_some(),
            };
            self.table.record_heartbeat(heartbeat, self.now);
        }
    }

    /// Orders that the machine at this place is emptied; false if too few would be left.
    pub fn retire(&mut self, place: usize) -> bool {
        let node = self.machines[place].node();
        let view = self.table.snapshot(&self.placement, self.now);
        match start_decommission(&self.placement, &view, &node, self.tolerance) {
            Ok(DecommissionStart::Planned(next)) => self.set_placement(next),
            Ok(DecommissionStart::AlreadyStarted) => (),
            Err(_) => return false,
        }
        self.note(format!("{node} is to be emptied"));
        self.decommissioning.push(node);
        true
    }

    /// Machines that are emptied are taken away, with their disks.
    fn finish_retirements(&mut self) {
        let view = self.table.snapshot(&self.placement, self.now);
        let (placement, tolerance) = (&self.placement, self.tolerance);
        let done = |node: &&String| {
            decommission_status(placement, &view, node, tolerance)
                == Some(DecommissionStatus::Decommissioned)
        };
        let completed: Vec<String> = self.decommissioning.iter().filter(done).cloned().collect();
        self.decommissioning
            .retain(|node| !completed.contains(node));
        for machine in self
            .machines
            .iter_mut()
            .filter(|machine| completed.contains(&machine.node()))
        {
            machine.remove();
        }
    }

    /// Everything runs and every shard is in charge within the bound.
    pub fn settle(&mut self, bound: Duration) {
        let waits = |machine: &Machine| machine.will_change();
        while self.machines.iter().any(waits) {
            self.step();
        }
        self.paused_until = Duration::ZERO;
        self.run(bound);
        for shard in 0..self.shards.len() {
            assert!(
                self.serves(shard),
                "shard {shard} stands still: {:?}\n{}",
                self.placement.shards[shard],
                self.history.join("\n")
            );
        }
    }

    /// All shards name live stores only, and enough of them.
    pub fn check_sizes(&self) {
        let live = self.machines.iter().filter(|machine| machine.is_up());
        let usable = live
            .filter(|machine| !self.decommissioning.contains(&machine.node()))
            .count();
        for assignment in &self.placement.shards {
            let up = |id: &StoreId| {
                self.machines
                    .iter()
                    .any(|machine| machine.id == *id && machine.is_up())
            };
            let whole = assignment.replicas.iter().filter(|id| up(id)).count();
            assert!(
                whole >= (2 * self.tolerance + 1).min(usable),
                "{assignment:?} of {usable} stores\n{}",
                self.history.join("\n")
            );
        }
    }

    pub fn note(&mut self, text: String) {
        self.history
            .push(format!("{:>8.1} {text}", self.now.as_secs_f64() - 100.0));
    }
}
