//! The store: keeps replicas of the lots' shards on its disk and answers dispatchers for those it is the
//! primary of.
//!
//! - [`file`]: how the file is made and opened; [`disk`]: its tables; [`parts`]: how entries
//!   lie in them; [`commit_queue`]: the thread that commits.
//! - [`driver`]: time, commits, and opening the file again after one has failed.
//! - [`shard_host`]: the replicas, their effects carried out.
//! - [`calls`]: dispatchers' calls.
//! - [`entry_cache`]: entries that are still on their way to other replicas.
//! - [`capacity`]: how much the disk has room for.
//! - [`heartbeats`]: what the controllers are told.

pub mod calls;
pub mod capacity;
mod chunked_entries;
pub mod commit_queue;
pub mod disk;
pub mod driver;
pub mod entry_cache;
pub mod file;
pub mod heartbeats;
pub mod shard_host;

use calls::{Store, StoreService};
use commit_queue::{CommitQueue, OpenedStorage};
use driver::Driver;
use file::DiskError;
use mintlb_batch::replica::ReplicaSettings;
use mintlb_common::placement::Placement;
use mintlb_common::record::PLACEMENT;
use mintlb_common::settings::{InternalPort, NodeSettings};
use mintlb_common::signals::Signals;
use mintlb_common::transport::{Channel, Transport};
use mintlb_gossip::{GossipConfig, GossipService, Member, Role};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long an address that is still taken is tried again.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause between two tries.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long a store that was told to stop goes on at most, until its shards have other primaries and its copies, if
/// there is a successor, have moved.
const MAX_HANDOVER_TIME: Duration = Duration::from_millis(4000);
/// How long it goes on at least: until then it hears whether its copies are moved.
const MIN_HANDOVER_TIME: Duration = Duration::from_millis(800);

/// Why the store ended.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// There is no disk.
    #[error("M601 data_directory: is missing")]
    NoDisk,
    /// The folder can't be used.
    #[error("M602 {0}")]
    Directory(String),
    /// The file was damaged or exchanged while it was in use: as another store it begins anew.
    #[error("M603 the lots' file: {0}")]
    File(DiskError),
    /// The internal address can't be listened on.
    #[error("M604 {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The runtime or a signal can't be set up.
    #[error("M605 {0}")]
    System(std::io::Error),
}

impl From<DiskError> for StoreError {
    fn from(error: DiskError) -> StoreError {
        match error {
            DiskError::Directory(cause) => StoreError::Directory(cause),
            other => StoreError::File(other),
        }
    }
}

/// Runs the store until it is told to stop.
pub fn run(settings: NodeSettings) -> Result<(), StoreError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StoreError::System)?;
    let outcome = runtime.block_on(serve(settings));
    // A disk that answers nothing keeps the process no longer.
    runtime.shutdown_background();
    outcome
}

async fn serve(settings: NodeSettings) -> Result<(), StoreError> {
    let mut signals = Signals::install().map_err(StoreError::System)?;
    let directory = settings.data_directory.clone().ok_or(StoreError::NoDisk)?;
    let own = settings.internal_address(InternalPort::Store);
    let random_seed =
        RandomState::new().hash_one((own, &settings.node_name, std::time::SystemTime::now()));
    let opening = driver::open_with_retry(directory.clone(), random_seed.max(1));
    let (disk, shards) = tokio::select! {
        opened = opening => opened?,
        () = signals.shutdown_requested() => return Ok(()),
    };
    let transport = bind_with_retry(own).await?;
    log::info!(
        "store: {:x} at {own}, {} MB of lots",
        disk.id(),
        disk.file_bytes() >> 20
    );
    let replica_settings = ReplicaSettings {
        store_id: disk.id(),
        tolerance: settings.fault_tolerance.machines,
        result_retention: settings.bounds.status_retention(),
    };
    let (committed, commits) = tokio::sync::mpsc::unbounded_channel();
    let commit_queue = CommitQueue::start(disk.clone(), committed)?;
    let opened = OpenedStorage {
        disk: disk.clone(),
        commit_queue: commit_queue.clone(),
        shards,
    };
    let quarantined_bytes =
        std::fs::metadata(directory.join(file::QUARANTINED_FILE)).map_or(0, |meta| meta.len());
    let disk_bytes =
        (settings.limits.disk_mb.unwrap_or(u64::MAX >> 20) << 20).saturating_sub(quarantined_bytes);
    let store = Store::new(
        transport.clone(),
        opened,
        replica_settings,
        disk_bytes,
        random_seed,
    );
    let handover_time = MAX_HANDOVER_TIME.min(Duration::from_secs_f64(
        settings.bounds.grace_period_s.clamp(0.0, 60.0) / 2.0,
    ));
    let gossip = join_gossip(&settings, &transport, &store);
    transport.register_service(Channel::Batch, Arc::new(StoreService(store.clone())));
    tokio::spawn(heartbeats::run(settings, store.clone(), transport, gossip));

    let mut driver = Driver::new(store.clone(), disk, commits);
    loop {
        tokio::select! {
            step = driver.step() => step?,
            () = signals.shutdown_requested() => break,
        }
    }
    log::info!("store: told to stop");
    store.start_draining();
    let shutdown_started = Instant::now();
    let handover_unfinished = || {
        shutdown_started.elapsed() < MIN_HANDOVER_TIME.min(handover_time)
            || store.has_shards_to_hand_over()
            || !commit_queue.is_idle()
    };
    while shutdown_started.elapsed() < handover_time && handover_unfinished() {
        driver.step().await?;
    }
    // What is on its way to others gets there.
    sleep(BIND_RETRY_INTERVAL).await;
    Ok(())
}

/// Joins the overlay, and goes by the placement that it brings.
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
    let seeds = settings.seed_addresses();
    let gossip = GossipService::start(GossipConfig {
        transport: transport.clone(),
        seeds,
        member,
    });
    let store = Arc::downgrade(store);
    gossip.subscribe(Arc::new(move |record| {
        if record.key != PLACEMENT {
            return;
        }
        let Some(store) = store.upgrade() else { return };
        match minicbor::decode::<Placement>(&record.body) {
            Ok(placement) => store.apply_placement(placement),
            Err(error) => log::warn!("store: a placement can't be read: {error}"),
        }
    }));
    gossip
}

/// Listens, trying again for a while: the process before may not have let go of the address yet.
async fn bind_with_retry(address: SocketAddr) -> Result<Arc<Transport>, StoreError> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match Transport::start(address).await {
            Ok(transport) => return Ok(transport),
            Err(cause) if Instant::now() > deadline => {
                return Err(StoreError::Listen { address, cause });
            }
            Err(_) => sleep(BIND_RETRY_INTERVAL).await,
        }
    }
}
