//! The controller: collects heartbeats and plans placements.

use super::{START, ShardCluster};
use mintlb_batch::heartbeat::StoreHeartbeat;
use mintlb_batch::placement_planner::{
    DecommissionStatus, PlacementPolicy, decommission_status, plan,
};
use mintlb_common::placement::{Placement, ShardAssignment, StoreId};

impl ShardCluster {
    /// Reachable stores report, and the controller plans a placement.
    pub fn run_controller(&mut self) {
        for store in self
            .stores
            .iter()
            .filter(|store| !store.partitioned && !store.frozen)
        {
            let Some(replica) = &store.replica else {
                continue;
            };
            let node = store.machine.node();
            let heartbeat = StoreHeartbeat {
                id: store.id,
                address: format!("{node}:1"),
                node_name: node,
                zone: store.domain.zone.clone(),
                region: Some(store.domain.region.clone()),
                counts_toward_quorum: Some(store.domain.counts_toward_quorum),
                shards: replica.report().into_iter().collect(),
                placement: 0,
                draining: store.machine.stops_at.is_some_and(|at| at <= self.now),
            };
            self.table.record_heartbeat(heartbeat, self.now);
        }
        if self.now < self.paused_until {
            return;
        }
        let current = self.placements.last().unwrap().clone();
        let view = self.table.snapshot(&current, self.now);
        if let Some(mut next) = plan(&current, &view, &self.policy()) {
            // The simulation has one shard only.
            next.shards.truncate(1);
            if next.shards.first().map(epoch_of) != current.shards.first().map(epoch_of) {
                self.takeovers += 1;
            }
            self.placements.push(next);
        }
        self.finish_decommissions();
    }

    pub(super) fn policy(&self) -> PlacementPolicy {
        PlacementPolicy {
            tolerance: self.tolerance,
            supports_quorum_rules: true,
        }
    }

    /// Takes decommissioned stores away with their disks.
    fn finish_decommissions(&mut self) {
        let current: Placement = self.placements.last().unwrap().clone();
        let view = self.table.snapshot(&current, self.now);
        for node in self.decommissioning.clone() {
            if decommission_status(&current, &view, &node, &self.policy())
                != Some(DecommissionStatus::Decommissioned)
            {
                continue;
            }
            self.record_event(format!("{node} is decommissioned and taken away"));
            self.decommissioning.retain(|other| *other != node);
            for store_index in 0..self.stores.len() {
                if self.stores[store_index].machine.node() == node {
                    self.crash(store_index);
                    let machine = &mut self.stores[store_index].machine;
                    (machine.removed, machine.decommissioned) = (true, true);
                }
            }
        }
    }

    /// Adds an event to the history that a failed assertion prints.
    pub fn record_event(&mut self, text: String) {
        let placement = self
            .placements
            .last()
            .and_then(|placement| placement.shards.first().cloned());
        let ids: Vec<StoreId> = self.stores.iter().map(|store| store.id).collect();
        self.history.push(format!(
            "{:>8.2} {text}; {ids:?} {placement:?}",
            (self.now - START).as_secs_f64()
        ));
    }
}

fn epoch_of(shard: &ShardAssignment) -> u64 {
    shard.epoch
}
