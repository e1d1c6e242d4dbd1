//! Stores with all shards under the planner, in virtual time.
//!
//! Of a replica's log only the position of the last entry is kept; takeover, replication and commit
//! follow the rules of `mintlb_batch::replica`. Machines are lost within the operators' limits: at
//! most what `tolerance` allows counts as lost at once.

// Each test binary uses a part of it.
#![allow(dead_code)]

pub mod machine;
pub mod shard;

use machine::Machine;
use mintlb_batch::heartbeat::StoreHeartbeat;
use mintlb_batch::placement_planner::{
    DecommissionStart, DecommissionStatus, PlacementPolicy, StoreTable, decommission_status, plan,
    start_decommission,
};
use mintlb_common::placement::{Placement, StoreId};
use mintlb_common::quorum::{FailureDomain, FaultTolerance, QuorumSystem};
use shard::SimulatedShard;
use std::time::Duration;

/// The virtual time of one step.
pub const STEP: Duration = Duration::from_millis(100);
/// Steps between two heartbeats of a store. A newly active primary is reported at once.
const HEARTBEAT_STEPS: u64 = 4;
/// The virtual time at the start, later than any time-out.
const START: Duration = Duration::from_secs(100);
/// How long the first placement and its takeovers are given.
const STARTUP_TIME: Duration = Duration::from_secs(8);

/// The times that a cluster takes to repair itself.
#[derive(Clone, Copy)]
pub struct RepairTimes {
    /// How long a machine that has come back still counts as lost.
    pub catch_up: Duration,
    /// How long an empty replica takes to receive the log.
    pub fill: Duration,
}

pub struct SimulatedCluster {
    now: Duration,
    pub tolerance: FaultTolerance,
    times: RepairTimes,
    pub machines: Vec<Machine>,
    pub placement: Placement,
    table: StoreTable,
    shards: Vec<SimulatedShard>,
    /// Until when no controller leads.
    controller_lost_until: Duration,
    /// Machines whose stores are being decommissioned.
    pub decommissioning: Vec<String>,
    next_id: u64,
    /// Without calls a primary does not notice that it can't commit.
    pub idle: bool,
    /// What has happened, for the messages of failed assertions.
    events: Vec<String>,
}

impl SimulatedCluster {
    /// Machines with empty disks, in three zones by turns, once all shards are active.
    pub fn new(count: usize, tolerance: usize, times: RepairTimes) -> SimulatedCluster {
        let domains = (1..=count as u64).map(domain_of_turn);
        let tolerance = FaultTolerance::of_machines(tolerance);
        SimulatedCluster::in_domains(domains, tolerance, times)
    }

    /// Machines with empty disks in these domains, once all shards are active.
    pub fn in_domains(
        domains: impl IntoIterator<Item = FailureDomain>,
        tolerance: FaultTolerance,
        times: RepairTimes,
    ) -> SimulatedCluster {
        let starts = domains.into_iter().map(|domain| (domain, Duration::ZERO));
        SimulatedCluster::starting_at(starts, tolerance, times)
    }

    /// The same, of machines that start one after the other.
    pub fn starting_at(
        machines: impl IntoIterator<Item = (FailureDomain, Duration)>,
        tolerance: FaultTolerance,
        times: RepairTimes,
    ) -> SimulatedCluster {
        let mut cluster = SimulatedCluster {
            now: START,
            tolerance,
            times,
            machines: Vec::new(),
            placement: Placement::default(),
            table: StoreTable::new(START),
            shards: Vec::new(),
            controller_lost_until: Duration::ZERO,
            decommissioning: Vec::new(),
            next_id: 1,
            idle: false,
            events: Vec::new(),
        };
        let mut machines: Vec<_> = machines.into_iter().collect();
        machines.sort_by_key(|(_, start)| *start);
        for (domain, start) in machines {
            cluster.run((START + start).saturating_sub(cluster.now));
            cluster.add_machine_in(domain);
        }
        cluster.run(STARTUP_TIME);
        cluster
    }

    /// Adds a machine with an empty disk; returns its index.
    pub fn add_machine(&mut self) -> usize {
        self.add_machine_in(domain_of_turn(self.next_id))
    }

    /// Adds a machine that replaces another one. Where only machines may be lost, it comes anywhere.
    fn add_successor(&mut self, machine: usize) -> usize {
        let is_by_machines = self.tolerance == FaultTolerance::of_machines(self.tolerance.machines);
        match is_by_machines {
            true => self.add_machine(),
            false => self.add_machine_in(self.machines[machine].domain.clone()),
        }
    }

    fn add_machine_in(&mut self, domain: FailureDomain) -> usize {
        let id = self.new_store_id();
        self.machines.push(Machine::new(id, domain, self.now));
        self.machines.len() - 1
    }

    fn policy(&self) -> PlacementPolicy {
        PlacementPolicy {
            tolerance: self.tolerance,
            supports_quorum_rules: true,
        }
    }

    fn new_store_id(&mut self) -> StoreId {
        let id = StoreId(self.next_id);
        self.next_id += 1;
        id
    }

    pub fn run(&mut self, time: Duration) {
        (0..time.as_millis() / STEP.as_millis()).for_each(|_| self.step());
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.step_machines();
        self.step_shards();
        self.send_heartbeats();
        if self.now >= self.controller_lost_until {
            self.run_planner();
            self.remove_decommissioned();
        }
    }

    /// Runs until no machine counts as lost, or for `max_steps`.
    pub fn run_until_caught_up(&mut self, max_steps: usize) {
        for _ in 0..max_steps {
            if self.lost_machines() == 0 {
                return;
            }
            self.step();
        }
    }

    fn run_planner(&mut self) {
        let snapshot = self.table.snapshot(&self.placement, self.now);
        if let Some(next) = plan(&self.placement, &snapshot, &self.policy()) {
            self.set_placement(next);
        }
    }

    fn set_placement(&mut self, next: Placement) {
        self.placement = next;
        self.shards
            .resize_with(self.placement.shards.len(), SimulatedShard::default);
    }

    fn send_heartbeats(&mut self) {
        let step = self.now.as_millis() as u64 / STEP.as_millis() as u64;
        for machine in self.machines.iter().filter(|machine| machine.is_up()) {
            let reports: Vec<_> = (0..self.shards.len())
                .filter_map(|shard| self.report(shard, machine.id))
                .collect();
            let active = reports.iter().filter(|report| report.active).count();
            let is_due = (step + machine.id.0).is_multiple_of(HEARTBEAT_STEPS);
            if !is_due && active <= machine.reported_active.get() {
                continue;
            }
            machine.reported_active.set(active);
            let heartbeat = StoreHeartbeat {
                id: machine.id,
                node_name: machine.node(),
                address: format!("{}:1", machine.node()),
                zone: machine.domain.zone.clone(),
                region: Some(machine.domain.region.clone()),
                counts_toward_quorum: Some(machine.domain.counts_toward_quorum),
                shards: reports,
                placement: self.placement.epoch,
                draining: machine.shutdown.is_some(),
            };
            self.table.record_heartbeat(heartbeat, self.now);
        }
    }

    /// Orders that the store on a machine is decommissioned. Returns whether the order is accepted.
    pub fn decommission(&mut self, machine: usize) -> bool {
        let node = self.machines[machine].node();
        let snapshot = self.table.snapshot(&self.placement, self.now);
        match start_decommission(&self.placement, &snapshot, &node, &self.policy()) {
            Ok(DecommissionStart::Planned(next)) => self.set_placement(next),
            Ok(DecommissionStart::AlreadyStarted) => (),
            Err(_) => return false,
        }
        self.log(format!("{node} is to be decommissioned"));
        self.decommissioning.push(node);
        true
    }

    /// Takes decommissioned machines away, with their disks.
    fn remove_decommissioned(&mut self) {
        let snapshot = self.table.snapshot(&self.placement, self.now);
        let policy = self.policy();
        let is_complete = |node: &str| {
            decommission_status(&self.placement, &snapshot, node, &policy)
                == Some(DecommissionStatus::Decommissioned)
        };
        let orders = std::mem::take(&mut self.decommissioning);
        let (complete, pending) = orders.into_iter().partition(|node| is_complete(node));
        self.decommissioning = pending;
        let complete: Vec<String> = complete;
        for machine in &mut self.machines {
            if complete.contains(&machine.node()) {
                machine.remove_decommissioned();
            }
        }
    }

    /// Runs until all machines are back and for `bound` after that; then every shard has to be
    /// active.
    pub fn settle(&mut self, bound: Duration) {
        while self.machines.iter().any(Machine::has_pending_event) {
            self.step();
        }
        self.controller_lost_until = Duration::ZERO;
        self.run(bound);
        for shard in 0..self.shards.len() {
            assert!(
                self.is_active(shard),
                "shard {shard} is not active: {:?}\n{}",
                self.placement.shards[shard],
                self.event_log()
            );
        }
    }

    /// Asserts that all shards have enough replicas on live machines.
    pub fn assert_enough_replicas(&self) {
        let live = self.machines.iter().filter(|machine| machine.is_up());
        let usable = live
            .filter(|machine| !self.decommissioning.contains(&machine.node()))
            .count();
        let target = self.tolerance.min_members().min(usable);
        for assignment in &self.placement.shards {
            let replicas = assignment.replicas.iter();
            let live = replicas.filter(|id| self.is_store_up(**id)).count();
            assert!(
                live >= target,
                "{assignment:?} of {usable} stores\n{}",
                self.event_log()
            );
        }
    }

    /// Asserts that the live replicas of every shard survive any two tolerated losses.
    pub fn assert_survives_any_two_losses(&self) {
        for assignment in &self.placement.shards {
            let live =
                |machine: &&Machine| machine.is_up() && assignment.replicas.contains(&machine.id);
            let live = self.machines.iter().filter(live);
            let quorums = QuorumSystem::new(self.tolerance, live.map(|machine| &machine.domain));
            assert!(
                quorums.survives_any_two_losses(),
                "{assignment:?}\n{}",
                self.event_log()
            );
        }
    }

    fn is_store_up(&self, id: StoreId) -> bool {
        self.machines
            .iter()
            .any(|machine| machine.id == id && machine.is_up())
    }

    fn log(&mut self, event: String) {
        let time = (self.now - START).as_secs_f64();
        self.events.push(format!("{time:>8.1} {event}"));
    }

    fn event_log(&self) -> String {
        self.events.join("\n")
    }
}

/// The domain of machines that are spread over three zones by turns.
fn domain_of_turn(turn: u64) -> FailureDomain {
    FailureDomain {
        zone: format!("zone-{}", turn % 3),
        region: "region".to_string(),
        counts_toward_quorum: true,
    }
}
