//! A simulated cluster of stores that replicate one shard: virtual time, disks that lose what is not synced,
//! messages that are lost, duplicated and reordered, and a register whose placements arrive late.

// Each test binary uses a part of it.
#![allow(dead_code)]

pub mod controller;
pub mod disk;
pub mod driver;
pub mod machines;
pub mod oracle;
pub mod random;
pub mod requests;
pub mod scripted;
pub mod workload;

use bytes::Bytes;
use disk::Disk;
use machines::Machine;
use mintlb_batch::peer::Envelope;
use mintlb_batch::placement_planner::StoreTable;
use mintlb_batch::quota::QuotaCounter;
use mintlb_batch::replica::{AfterSync, DiskWrite, Replica, ReplicaSettings};
use mintlb_common::placement::{Placement, StoreId};
use mintlb_common::quorum::{FailureDomain, FaultTolerance};
use oracle::Oracle;
use random::Random;
use std::collections::BTreeMap;
use std::time::Duration;

pub const HOST: &str = "h";
pub const SHARD: u32 = 0;
/// Tokens of each item.
pub const ITEM_TOKENS: u64 = 30;
/// Limit of queued tokens on the route of all jobs.
pub const MAX_QUEUED_TOKENS: u64 = 900;
/// Time at the start of a simulation.
pub const START: Duration = Duration::from_secs(1000);
pub const RESULT_RETENTION: Duration = Duration::from_secs(100_000);

/// What is acknowledged to a client once its request is committed.
#[derive(Clone, Debug)]
pub enum Expected {
    Accepted { job: String, items: usize },
    Recorded { job: String },
    Ended { job: String },
}

/// A store; its disk outlives its process.
pub struct Store {
    pub id: StoreId,
    pub disk: Disk,
    /// Writes that are not durable yet, each with the effects that wait for it.
    pub unsynced: Vec<(Vec<DiskWrite>, Vec<AfterSync>)>,
    /// The process; `None` while it is down.
    pub replica: Option<Replica>,
    /// Requests that wait for the commit of an index.
    pub pending: Vec<(u64, Expected)>,
    /// Index of the newest placement it has received.
    pub placement: usize,
    pub domain: FailureDomain,
    pub partitioned: bool,
    /// Its process is suspended; messages to it wait.
    pub frozen: bool,
    pub machine: Machine,
}

pub struct ShardCluster {
    pub random: Random,
    pub now: Duration,
    pub tolerance: FaultTolerance,
    pub stores: Vec<Store>,
    pub messages: Vec<(Envelope, Bytes)>,
    /// All placements, in the order in which the register accepted them.
    pub placements: Vec<Placement>,
    pub table: StoreTable,
    /// The counter of the only route. It is never lost, as it is not what is tested here.
    pub quota: QuotaCounter,
    pub oracle: Oracle,
    /// Lost disks, and when each was lost.
    pub lost_disks: BTreeMap<StoreId, Duration>,
    /// Nodes that are to be emptied.
    pub decommissioning: Vec<String>,
    /// A job was accepted since this was last cleared.
    pub just_accepted: bool,
    pub catch_up: Duration,
    /// No requests are sent, so that a primary does not notice that it can't commit.
    pub idle: bool,
    /// The controller is down until then.
    pub paused_until: Duration,
    pub history: Vec<String>,
    pub next_id: u64,
    pub next_job: u64,
    pub losses: u64,
    pub takeovers: u64,
}

impl ShardCluster {
    /// Stores in three zones by turns, of which any `tolerance` may be lost.
    pub fn new(seed: u64, count: usize, tolerance: usize) -> ShardCluster {
        let domains = (1..=count as u64).map(domain_of_turn);
        ShardCluster::in_domains(seed, domains, FaultTolerance::of_machines(tolerance))
    }

    /// Stores in these domains.
    pub fn in_domains(
        seed: u64,
        domains: impl IntoIterator<Item = FailureDomain>,
        tolerance: FaultTolerance,
    ) -> ShardCluster {
        let now = START;
        let mut cluster = ShardCluster {
            random: Random(seed),
            now,
            tolerance,
            stores: Vec::new(),
            messages: Vec::new(),
            placements: vec![Placement::default()],
            table: StoreTable::new(now),
            quota: QuotaCounter::new(1),
            oracle: Oracle::default(),
            lost_disks: BTreeMap::new(),
            decommissioning: Vec::new(),
            just_accepted: false,
            catch_up: Duration::from_secs(if tolerance.machines == 2 { 6 } else { 5 }),
            idle: false,
            paused_until: Duration::ZERO,
            history: Vec::new(),
            next_id: 1,
            next_job: 0,
            losses: 0,
            takeovers: 0,
        };
        for domain in domains {
            cluster.add_store_in(domain);
        }
        cluster
    }

    pub fn add_store(&mut self) {
        self.add_store_in(domain_of_turn(self.next_id));
    }

    fn add_store_in(&mut self, domain: FailureDomain) {
        let id = StoreId(self.next_id);
        self.next_id += 1;
        self.stores.push(Store {
            id,
            disk: Disk::default(),
            unsynced: Vec::new(),
            replica: None,
            pending: Vec::new(),
            placement: 0,
            domain,
            partitioned: false,
            frozen: false,
            machine: Machine::new(id.0, self.now),
        });
        let store_index = self.stores.len() - 1;
        self.start(store_index);
    }

    fn settings(&self, id: StoreId) -> ReplicaSettings {
        ReplicaSettings {
            store_id: id,
            tolerance: self.tolerance.machines,
            result_retention: RESULT_RETENTION,
        }
    }

    /// Starts the process with what is on its disk.
    pub fn start(&mut self, store_index: usize) {
        let settings = self.settings(self.stores[store_index].id);
        let store = &mut self.stores[store_index];
        let replica = Replica::load(
            SHARD,
            settings,
            store.disk.meta.clone(),
            store.disk.load(),
            self.now.into(),
        );
        store.replica = Some(replica);
        store.placement = 0;
        store.machine.on_started(self.now);
    }
}

/// The domain of stores that are spread over three zones by turns.
fn domain_of_turn(turn: u64) -> FailureDomain {
    FailureDomain {
        zone: format!("z{}", turn % 3),
        region: "r".to_string(),
        counts_toward_quorum: true,
    }
}
