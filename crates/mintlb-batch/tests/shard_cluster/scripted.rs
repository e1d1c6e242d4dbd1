//! Clusters for scripted tests: placements are given, and messages arrive when the test says so.
//!
//! The stores of [`ShardCluster::of_three`] have the ids 1 to 3 at the indexes 0 to 2.

use super::{ShardCluster, requests::name};
use mintlb_batch::job_table::JobTable;
use mintlb_batch::peer::PeerMessage;
use mintlb_batch::quota::QuotaAccount;
use mintlb_batch::replica::Replica;
use mintlb_common::placement::{Placement, ShardAssignment, StoreId};

/// Rounds of delivery after which nothing is in flight any more.
const IDLE_AFTER_ROUNDS: usize = 30;

impl ShardCluster {
    /// Three stores that tolerate one loss; the first one is the active primary of epoch 1.
    pub fn of_three() -> ShardCluster {
        let mut cluster = ShardCluster::new(1, 3, 1);
        cluster.assign(1, &[1, 2, 3], &[]);
        cluster.run_until_idle();
        assert!(cluster.is_serving(0));
        cluster
    }

    /// The register accepts an assignment; the stores have yet to receive it.
    pub fn assign(&mut self, epoch: u64, replicas: &[u64], previous: &[u64]) {
        self.assign_after(epoch, replicas, previous, epoch - 1);
    }

    /// The same after takeovers that were abandoned: the last active epoch is an older one.
    pub fn assign_after(
        &mut self,
        epoch: u64,
        replicas: &[u64],
        previous: &[u64],
        last_active_epoch: u64,
    ) {
        let shard = ShardAssignment {
            epoch,
            replicas: store_ids(replicas),
            previous: store_ids(previous),
            last_active_epoch: Some(last_active_epoch),
            ..ShardAssignment::default()
        };
        self.placements.push(Placement {
            epoch: self.placements.len() as u64,
            stores: Vec::new(),
            shards: vec![shard],
        });
    }

    /// The assignment that the register has accepted last, which no store has received yet.
    pub fn last_assignment(&mut self) -> &mut ShardAssignment {
        &mut self.placements.last_mut().unwrap().shards[0]
    }

    /// A takeover from the first three stores that becomes active and is confirmed by the register.
    pub fn take_over(&mut self, epoch: u64, replicas: &[u64], previous: &[u64]) {
        self.assign(epoch, replicas, previous);
        self.run_until_idle();
        self.assign(epoch, replicas, &[]);
        self.run_until_idle();
    }

    /// Delivers all placements to a store, unless it is partitioned.
    pub fn receive_all_placements(&mut self, store_index: usize) {
        let newest = self.placements.len() - 1;
        while !self.stores[store_index].partitioned && self.stores[store_index].placement < newest {
            self.receive_placement(store_index);
        }
    }

    /// Delivers the messages in flight, but not those sent meanwhile.
    pub fn deliver_in_flight(&mut self) {
        (0..self.messages.len()).for_each(|_| self.deliver(0, false));
    }

    /// Delivers all placements and messages and syncs all disks until nothing is in flight.
    pub fn run_until_idle(&mut self) {
        for _ in 0..IDLE_AFTER_ROUNDS {
            for store_index in 0..self.stores.len() {
                self.receive_all_placements(store_index);
                self.sync(store_index);
            }
            self.deliver_in_flight();
        }
    }

    pub fn replica(&self, store_index: usize) -> &Replica {
        self.stores[store_index].replica.as_ref().unwrap()
    }

    pub fn replica_mut(&mut self, store_index: usize) -> &mut Replica {
        self.stores[store_index].replica.as_mut().unwrap()
    }

    pub fn jobs(&self, store_index: usize) -> &JobTable {
        self.replica(store_index).jobs()
    }

    pub fn has_job(&self, store_index: usize, job: &str) -> bool {
        self.jobs(store_index).find(&name(job)).is_some()
    }

    pub fn queued_tokens(&self, store_index: usize) -> u64 {
        self.jobs(store_index)
            .queued_tokens(&QuotaAccount::of_route("r"))
    }

    pub fn is_serving(&self, store_index: usize) -> bool {
        let replica = self.stores[store_index].replica.as_ref();
        replica.is_some_and(Replica::is_serving)
    }

    /// Whether a store reports itself as active primary.
    pub fn is_reported_active(&self, store_index: usize) -> bool {
        let report = self.replica(store_index).report();
        report.is_some_and(|report| report.active)
    }

    /// Messages of a store in flight.
    pub fn messages_from(&self, store_index: usize) -> Vec<&PeerMessage> {
        let id = self.stores[store_index].id;
        let sent = self.messages.iter().filter(|(e, _)| e.from == id);
        sent.map(|(envelope, _)| &envelope.message).collect()
    }
}

fn store_ids(numbers: &[u64]) -> Vec<StoreId> {
    numbers.iter().copied().map(StoreId).collect()
}
