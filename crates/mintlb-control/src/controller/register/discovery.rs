//! Finding the register through the gossip records and the seeds, and bootstrapping it at the first
//! start of a cluster.

use super::client::RegisterClient;
use crate::controller::settings::SharedSettings;
use mintlb_common::record::{REPLICAS, Record};
use mintlb_gossip::GossipService;
use mintlb_register::bootstrap::{Bootstrap, BootstrapStep, SeedStatus};
use mintlb_register::replica_set::ReplicaSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// The time that a seed is given to respond.
const SEED_TIMEOUT: Duration = Duration::from_millis(250);

/// Finds the replica set.
pub struct Discovery {
    register: Arc<RegisterClient>,
    gossip: Arc<GossipService>,
    settings: Arc<SharedSettings>,
    own_address: SocketAddr,
}

/// Lets each replica set that gossip brings be known to the register from now on: between two reads of
/// it, what depends on the set would otherwise go by an outdated one.
pub fn follow_published_set(register: &Arc<RegisterClient>, gossip: &GossipService) {
    let register = Arc::downgrade(register);
    gossip.subscribe(Arc::new(move |record: &Record| {
        if let Some(register) = register.upgrade()
            && let Some(set) = published_set(record)
        {
            register.hint(set);
        }
    }));
}

/// The replica set that a record publishes, if it does.
fn published_set(record: &Record) -> Option<ReplicaSet> {
    if record.key != REPLICAS {
        return None;
    }
    minicbor::decode(&record.body).ok()
}

impl Discovery {
    /// `own_address` is the internal address of this process, which may be among the seeds.
    pub fn new(
        register: Arc<RegisterClient>,
        gossip: Arc<GossipService>,
        settings: Arc<SharedSettings>,
        own_address: SocketAddr,
    ) -> Discovery {
        Discovery {
            register,
            gossip,
            settings,
            own_address,
        }
    }

    /// Looks for a replica set or, if it falls to this process, bootstraps the register.
    pub async fn discover_replica_set(&self) {
        if self.hint_from_gossip() {
            return;
        }
        let settings = self.settings.get();
        let seeds = settings.seed_addresses();
        let seed_statuses = self.query_seeds(&seeds).await;
        let bootstrap = Bootstrap {
            first_start: settings.first_start,
            has_disk: self.register.may_join(),
            own_index: seeds.iter().position(|seed| *seed == self.own_address),
            seed_statuses: &seed_statuses,
        };
        match bootstrap.next_step() {
            BootstrapStep::Initialize => self.bootstrap().await,
            BootstrapStep::RequestVotes => {
                for seed in seeds {
                    if !self
                        .register
                        .request_bootstrap_vote(seed, SEED_TIMEOUT)
                        .await
                    {
                        return;
                    }
                }
                self.bootstrap().await;
            }
            BootstrapStep::Join(set) => self.register.hint(set),
            BootstrapStep::Wait => (),
        }
    }

    /// Looks for a newer replica set than the known one, whose replicas may all have been replaced
    /// since.
    pub async fn discover_newer_replica_set(&self) {
        self.hint_from_gossip();
        let seeds = self.settings.get().seed_addresses();
        for status in self.query_seeds(&seeds).await.into_iter().flatten() {
            if let Some(set) = status.replica_set {
                self.register.hint(set);
            }
        }
    }

    async fn bootstrap(&self) {
        let tolerance = self.settings.fault_tolerance();
        if self.register.bootstrap(tolerance).await.is_ok() {
            log::info!(
                "register: initialized with replica {:x} as the only member",
                self.register.replica_id().unwrap_or_default().0
            );
        }
    }

    /// Takes the replica set of the gossip records as a hint. Returns whether there is one.
    fn hint_from_gossip(&self) -> bool {
        let record = self.gossip.get(REPLICAS);
        let set = record.as_ref().and_then(published_set);
        let is_known = set.is_some();
        set.into_iter().for_each(|set| self.register.hint(set));
        is_known
    }

    /// The statuses of the other seeds, at their indexes.
    async fn query_seeds(&self, seeds: &[SocketAddr]) -> Vec<Option<SeedStatus>> {
        let mut statuses = vec![None; seeds.len()];
        let mut calls = JoinSet::new();
        let others = seeds
            .iter()
            .copied()
            .enumerate()
            .filter(|(_, seed)| *seed != self.own_address);
        for (index, seed) in others {
            let register = self.register.clone();
            calls.spawn(async move { (index, register.status_of(seed, SEED_TIMEOUT).await) });
        }
        while let Some(Ok((index, status))) = calls.join_next().await {
            statuses[index] = status;
        }
        statuses
    }
}
