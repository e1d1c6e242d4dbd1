//! Drains and ends of workers on the disks of the register's replicas.
//!
//! Such an announcement is acknowledged only once a quorum of the replica set has synced it, so that it
//! outlasts a power loss of all of them, together with the loss of as many disks as is tolerated. Each
//! process that is requested to store one publishes it as well, so that a quorum spreads what one of
//! them has acknowledged. Each replica publishes what its disk holds when its process starts. Replicas
//! also store what reaches them by gossip: one that joins the set, or missed a request, has it then.
//!
//! There is no order among the entries and no agreement: of two records of one worker the one with the
//! higher version is in force, as everywhere.

use super::client::RegisterClient;
use super::local_replica::LocalReplica;
use super::stopped_workers::is_announced_stop;
use crate::controller::settings::SharedSettings;
use mintlb_common::record::{Record, WORKER_PREFIX, WorkerRecord};
use mintlb_gossip::GossipService;
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use rustc_hash::FxHashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Who has stored an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredBy {
    /// A quorum with another process in it, which publishes it as well.
    OthersToo,
    /// The replica of this process, which is a quorum by itself.
    ThisProcessAlone,
}

/// The reason for which an announcement is not known to be durable. It may be on some disks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotStored {
    /// A quorum of the replica set would not outlast the tolerated losses.
    #[error("M405 there are too few replicas yet")]
    TooFewReplicas,
    /// No quorum has stored it in time.
    #[error("M446 no majority of the register's replicas has stored it yet")]
    QuorumUnavailable,
}

/// Stores announcements of workers at the replicas.
pub struct WorkerLog {
    register: Arc<RegisterClient>,
    settings: Arc<SharedSettings>,
}

impl WorkerLog {
    /// The replicas are those of this register; the tolerated losses follow the settings.
    pub fn new(register: Arc<RegisterClient>, settings: Arc<SharedSettings>) -> WorkerLog {
        WorkerLog { register, settings }
    }

    /// Stores a record at all replicas, and returns once a quorum of them has synced it.
    ///
    /// # Errors
    ///
    /// If the replica set is too small, or no quorum has synced it within the time limit.
    pub async fn store(
        &self,
        record: &WorkerRecord,
        time_limit: Duration,
    ) -> Result<StoredBy, NotStored> {
        let set = self.register.set().ok_or(NotStored::QuorumUnavailable)?;
        if !set.remains_durable_after(&self.settings.fault_tolerance()) {
            return Err(NotStored::TooFewReplicas);
        }
        let mut requests = JoinSet::new();
        for replica in set.members() {
            let request = store_at(
                self.register.clone(),
                replica.clone(),
                record.clone(),
                time_limit,
            );
            requests.spawn(request);
        }
        let stored = timeout(time_limit, stored_quorum(&set, &mut requests))
            .await
            .ok()
            .flatten()
            .ok_or(NotStored::QuorumUnavailable)?;
        let own = self.register.replica_id();
        Ok(match stored.iter().any(|id| Some(*id) != own) {
            true => StoredBy::OthersToo,
            false => StoredBy::ThisProcessAlone,
        })
    }
}

/// Stores a record at one replica. Returns its id if it has.
async fn store_at(
    register: Arc<RegisterClient>,
    replica: Replica,
    record: WorkerRecord,
    time_limit: Duration,
) -> Option<ReplicaId> {
    let stored = register
        .store_stopped_worker(&replica, record, time_limit)
        .await;
    stored.then_some(replica.id)
}

/// Waits for a quorum that has stored it; `None` if all requests have ended before.
async fn stored_quorum(
    set: &ReplicaSet,
    requests: &mut JoinSet<Option<ReplicaId>>,
) -> Option<FxHashSet<ReplicaId>> {
    let mut stored = FxHashSet::default();
    while let Some(ended) = requests.join_next().await {
        stored.extend(ended.ok().flatten());
        if set.is_quorum(|id| stored.contains(&id)) {
            return Some(stored);
        }
    }
    None
}

/// Connects the log with gossip: what other processes request to store is published, what the disk of
/// the local replica holds too, and what gossip brings is stored there from now on.
pub fn connect(register: &RegisterClient, gossip: &Arc<GossipService>) {
    let publisher = gossip.clone();
    register.on_stopped_worker(Box::new(move |record| {
        publisher.publish_now(record.to_record());
    }));
    if let Some(replica) = register.replica() {
        connect_replica(replica.clone(), gossip);
    }
}

fn connect_replica(replica: Arc<LocalReplica>, gossip: &GossipService) {
    let retained = replica.retained_stopped_workers();
    if !retained.is_empty() {
        log::info!(
            "workers: published {} drains and ends that were stored before the start",
            retained.len()
        );
    }
    for record in retained {
        gossip.publish_now(record.to_record());
    }
    gossip.subscribe(Arc::new(move |record: &Record| {
        if let Some(worker) = announced_stop(record) {
            replica.store_stopped_worker_later(worker);
        }
    }));
}

/// The worker that a record announces to have stopped, if it does.
fn announced_stop(record: &Record) -> Option<WorkerRecord> {
    if !record.key.starts_with(WORKER_PREFIX) {
        return None;
    }
    let worker: WorkerRecord = minicbor::decode(&record.body).ok()?;
    is_announced_stop(&worker).then_some(worker)
}
