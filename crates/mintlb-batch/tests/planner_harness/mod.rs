//! The planner with stores whose primaries become active at once and whose replicas catch up at
//! once, in virtual time. Every planned placement is checked.

// Each test binary uses a part of it.
#![allow(dead_code)]

use mintlb_batch::heartbeat::{ShardReport, StoreHeartbeat};
use mintlb_batch::placement_planner::{PlacementPolicy, StoreTable, plan};
use mintlb_common::placement::{Placement, ShardAssignment, StoreId};
use mintlb_common::quorum::FaultTolerance;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Interval of heartbeats and of runs of the planner.
pub const STEP: Duration = Duration::from_millis(100);

/// A machine with a live store.
#[derive(Clone)]
pub struct Machine {
    pub zone: String,
    /// `None` if its store is of a release that does not tell.
    pub region: Option<String>,
    /// The same.
    pub counts: Option<bool>,
    pub node: String,
}

pub struct PlannerHarness {
    pub now: Duration,
    pub table: StoreTable,
    pub placement: Placement,
    pub policy: PlacementPolicy,
    pub live: BTreeMap<StoreId, Machine>,
    /// Stores that never catch up.
    pub lagging: BTreeSet<StoreId>,
    /// Stores that are shutting down.
    pub draining: BTreeSet<StoreId>,
    /// Without calls a primary does not notice that it can't commit.
    pub idle: bool,
    /// The number of changed placements.
    pub changes: usize,
}

impl PlannerHarness {
    /// Stores 1, 2... on machines node-1, node-2... in these zones, without a placement yet.
    pub fn new(zones: &[&str], tolerance: usize) -> PlannerHarness {
        let mut harness = PlannerHarness::without_stores(FaultTolerance::of_machines(tolerance));
        for (id, zone) in (1..).zip(zones) {
            harness.add(StoreId(id), zone, &format!("node-{id}"));
        }
        harness
    }

    /// No stores yet.
    pub fn without_stores(tolerance: FaultTolerance) -> PlannerHarness {
        let now = Duration::from_secs(100);
        PlannerHarness {
            now,
            table: StoreTable::new(now),
            placement: Placement::default(),
            policy: PlacementPolicy {
                tolerance,
                supports_quorum_rules: true,
            },
            live: BTreeMap::new(),
            lagging: BTreeSet::new(),
            draining: BTreeSet::new(),
            idle: false,
            changes: 0,
        }
    }

    /// The same, once the placement no longer changes.
    pub fn settled(zones: &[&str], tolerance: usize) -> PlannerHarness {
        let mut harness = PlannerHarness::new(zones, tolerance);
        harness.settle();
        harness
    }

    pub fn add(&mut self, id: StoreId, zone: &str, node: &str) {
        self.add_in_region(id, zone, "region", node);
    }

    pub fn add_in_region(&mut self, id: StoreId, zone: &str, region: &str, node: &str) {
        let machine = Machine {
            zone: zone.to_string(),
            region: Some(region.to_string()),
            counts: Some(true),
            node: node.to_string(),
        };
        self.live.insert(id, machine);
    }

    pub fn run(&mut self, time: Duration) {
        (0..time.as_millis() / STEP.as_millis()).for_each(|_| self.step());
    }

    pub fn step(&mut self) {
        self.now += STEP;
        for (id, machine) in &self.live {
            let heartbeat = self.heartbeat(*id, machine);
            self.table.record_heartbeat(heartbeat, self.now);
        }
        let snapshot = self.table.snapshot(&self.placement, self.now);
        if let Some(next) = plan(&self.placement, &snapshot, &self.policy) {
            self.check(&next);
            self.changes += 1;
            self.placement = next;
        }
    }

    fn heartbeat(&self, id: StoreId, machine: &Machine) -> StoreHeartbeat {
        let shards = (0..).zip(&self.placement.shards);
        let reports = shards
            .filter(|(_, assignment)| assignment.replicas.first() == Some(&id))
            .map(|(shard, assignment)| self.report(shard, assignment));
        StoreHeartbeat {
            id,
            node_name: machine.node.clone(),
            address: format!("{}:1", machine.node),
            zone: machine.zone.clone(),
            region: machine.region.clone(),
            counts_toward_quorum: machine.counts,
            shards: reports.collect(),
            placement: self.placement.epoch,
            draining: self.draining.contains(&id),
        }
    }

    fn report(&self, shard: u32, assignment: &ShardAssignment) -> ShardReport {
        let replicas = assignment.replicas.iter().copied();
        let caught_up: Vec<StoreId> = replicas
            .filter(|id| self.live.contains_key(id) && !self.lagging.contains(id))
            .collect();
        let quorums = assignment.quorums(self.policy.tolerance.machines);
        ShardReport {
            shard,
            epoch: assignment.epoch,
            active: self.idle || quorums.is_write_quorum(|id| caught_up.contains(&id)),
            caught_up,
        }
    }

    /// What holds for each change of the placement.
    fn check(&self, next: &Placement) {
        assert_eq!(next.epoch, self.placement.epoch + 1);
        for (old, new) in self.placement.shards.iter().zip(&next.shards) {
            let distinct: BTreeSet<_> = new.replicas.iter().collect();
            assert_eq!(distinct.len(), new.replicas.len());
            assert!(new.replicas.iter().all(|id| next.store(*id).is_some()));
            if new.epoch == old.epoch {
                assert_eq!(new.replicas, old.replicas);
                assert!(new.previous == old.previous || new.previous.is_empty());
                continue;
            }
            assert_eq!(new.epoch, old.epoch + 1);
            let sources = if old.previous.is_empty() {
                &old.replicas
            } else {
                &old.previous
            };
            assert_eq!(&new.previous, sources);
        }
    }

    /// Runs until the placement has to be final, and checks that it is and names live stores only.
    pub fn settle(&mut self) {
        self.run(Duration::from_secs(60));
        let changes = self.changes;
        self.run(Duration::from_secs(5));
        assert_eq!(self.changes, changes, "placements go on changing");
        for shard in &self.placement.shards {
            assert!(shard.previous.is_empty(), "{shard:?}");
            let mut replicas = shard.replicas.iter();
            assert!(replicas.all(|id| self.live.contains_key(id)), "{shard:?}");
        }
    }

    /// The number of shards that a store has a replica of.
    pub fn replicas_on(&self, id: StoreId) -> usize {
        let shards = self.placement.shards.iter();
        shards.filter(|shard| shard.replicas.contains(&id)).count()
    }

    /// Asserts that every shard has this many replicas.
    pub fn assert_replica_count(&self, count: usize) {
        for shard in &self.placement.shards {
            assert_eq!(shard.replicas.len(), count, "{shard:?}");
        }
    }
}
