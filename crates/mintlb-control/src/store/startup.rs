//! Start of a store: opens its file, binds its address, joins gossip and starts its tasks.

use super::driver::{self, Driver};
use super::error::StoreError;
use super::handle::Store;
use super::heartbeats;
use super::limits::StoreLimits;
use super::load;
use super::running::{HandoverLimits, RunningStore};
use super::service::StoreService;
use super::storage::{CommitQueue, LoadedStorage, OpenedStorage, file};
use crate::bind::bind_with_retry;
use mintlb_batch::replica::ReplicaSettings;
use mintlb_common::placement::{Placement, StoreId};
use mintlb_common::record::{PLACEMENT, Record};
use mintlb_common::settings::{InternalPort, NodeSettings};
use mintlb_common::signals::Signals;
use mintlb_common::transport::{Channel, Transport};
use mintlb_gossip::{GossipConfig, GossipService, Member, Role};
use std::hash::{BuildHasher, RandomState};
use std::path::Path;
use std::sync::Arc;
use std::time::SystemTime;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// Starts a store; `None` if shutdown was requested before its file could be opened.
pub(super) async fn start(
    settings: NodeSettings,
    signals: &mut Signals,
) -> Result<Option<RunningStore>, StoreError> {
    let directory = settings.data_directory.clone().ok_or(StoreError::NoDisk)?;
    let address = settings.internal_address(InternalPort::Store);
    let random_seed =
        RandomState::new().hash_one((address, &settings.node_name, SystemTime::now()));
    let opening = driver::open_with_retry(directory.clone(), StoreId(random_seed.max(1)));
    let LoadedStorage { storage, shards } = tokio::select! {
        opened = opening => opened?,
        () = signals.shutdown_requested() => return Ok(None),
    };
    let transport = bind_with_retry(address, async || Transport::start(address).await).await?;
    log::info!(
        "store: {} listens at {address}, {} MB of batch jobs",
        storage.id(),
        storage.file_bytes() >> 20
    );
    if !settings.counts_toward_quorum {
        log::info!("store: this machine does not count toward quorums, it gets no shards");
    }
    let loaded = LoadedStorage { storage, shards };
    serve(settings, &directory, loaded, transport, random_seed).map(Some)
}

/// Serves what the file holds.
fn serve(
    settings: NodeSettings,
    directory: &Path,
    LoadedStorage { storage, shards }: LoadedStorage,
    transport: Arc<Transport>,
    random_seed: u64,
) -> Result<RunningStore, StoreError> {
    let replica_settings = ReplicaSettings {
        store_id: storage.id(),
        tolerance: settings.fault_tolerance.machines,
        result_retention: settings.bounds.status_retention(),
    };
    let (outcomes, commits) = mpsc::unbounded_channel();
    let commit_queue = CommitQueue::start(storage.clone(), outcomes).map_err(StoreError::System)?;
    let opened = OpenedStorage {
        storage: storage.clone(),
        commit_queue: commit_queue.clone(),
        shards,
    };
    let limits = StoreLimits::new(&settings.limits, quarantined_bytes(directory));
    let store = Store::new(
        transport.clone(),
        opened,
        replica_settings,
        limits,
        random_seed,
    );
    let handover = HandoverLimits::new(settings.bounds.grace_period_s);
    let gossip = join_gossip(&settings, &transport, &store);
    transport.register_service(Channel::Batch, Arc::new(StoreService(store.clone())));
    let mut tasks = JoinSet::new();
    tasks.spawn(load::report(store.clone(), transport.clone()));
    tasks.spawn(heartbeats::run(settings, store.clone(), transport, gossip));
    Ok(RunningStore {
        driver: Driver::new(store.clone(), storage, commits),
        store,
        commit_queue,
        handover,
        tasks,
    })
}

/// Bytes of the disk that a quarantined file takes.
fn quarantined_bytes(directory: &Path) -> u64 {
    let metadata = std::fs::metadata(directory.join(file::QUARANTINED_FILE));
    metadata.map_or(0, |metadata| metadata.len())
}

/// Joins gossip, and applies each placement that it brings.
fn join_gossip(
    settings: &NodeSettings,
    transport: &Arc<Transport>,
    store: &Arc<Store>,
) -> Arc<GossipService> {
    let member = Member {
        address: transport.local_address(),
        incarnation: transport.incarnation(),
        role: Role::Store,
        node_name: settings.node_name.clone(),
        zone: settings.zone.clone(),
    };
    let gossip = GossipService::start(GossipConfig {
        transport: transport.clone(),
        seeds: settings.seed_addresses(),
        member,
    });
    // Weak: the gossip service outlives the store.
    let store = Arc::downgrade(store);
    gossip.subscribe(Arc::new(move |record| {
        if let Some(store) = store.upgrade() {
            apply_record(&store, record);
        }
    }));
    gossip
}

fn apply_record(store: &Store, record: &Record) {
    if record.key != PLACEMENT {
        return;
    }
    match minicbor::decode::<Placement>(&record.body) {
        Ok(placement) => store.apply_placement(placement),
        Err(error) => log::warn!("store: can't decode the placement: {error}"),
    }
}
