//! The store: keeps replicas of the lots' shards on its disk and answers dispatchers for those it is the
//! primary of.
//!
//! - [`file`]: how the file is made and opened; [`disk`]: its tables; [`parts`]: how entries
//!   lie in them; [`writer`]: the thread that commits.
//! - [`driver`]: time, commits, and opening the file again after one has failed.
//! - [`core`]: the replicas, their effects carried out.
//! - [`calls`]: dispatchers' calls.
//! - [`recent`]: entries that are still on their way to other replicas.
//! - [`room`]: how much the disk has room for.
//! - [`heartbeats`]: what the controllers are told.

pub mod calls;
pub mod core;
pub mod disk;
pub mod driver;
pub mod file;
pub mod heartbeats;
mod parts;
pub mod recent;
pub mod room;
pub mod writer;

use calls::{Store, StoreService};
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
use writer::{Opened, Writer};

/// How long an address that is still taken is tried again.
const BIND_WITHIN: Duration = Duration::from_secs(5);
/// The pause between two tries.
const BIND_PAUSE: Duration = Duration::from_millis(100);
/// How long a store that was told to stop goes on at most, until its shards have other primaries and its copies, if
/// there is a successor, have moved.
const HAND_OVER: Duration = Duration::from_millis(4000);
/// How long it goes on at least: until then it hears whether its copies are moved.
const LEAST_HAND_OVER: Duration = Duration::from_millis(800);

/// Why the store ended.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// There is no disk.
    #[error("M601 data_directory: is missing")]
    NoDisk,
    /// The folder can't be used.
    #[error("M602 {0}")]
    Folder(String),
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
            DiskError::Folder(cause) => StoreError::Folder(cause),
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
    let draw =
        RandomState::new().hash_one((own, &settings.node_name, std::time::SystemTime::now()));
    let opening = driver::open_when_possible(directory.clone(), draw.max(1));
    let (disk, shards) = tokio::select! {
        opened = opening => opened?,
        () = signals.shutdown_requested() => return Ok(()),
    };
    let transport = bound(own).await?;
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
    let writer = Writer::start(disk.clone(), committed)?;
    let opened = Opened {
        disk: disk.clone(),
        writer: writer.clone(),
        shards,
    };
    let put_aside =
        std::fs::metadata(directory.join(file::UNREADABLE_FILE)).map_or(0, |meta| meta.len());
    let disk_bytes =
        (settings.limits.disk_mb.unwrap_or(u64::MAX >> 20) << 20).saturating_sub(put_aside);
    let store = Store::new(
        transport.clone(),
        opened,
        replica_settings,
        disk_bytes,
        draw,
    );
    let hand_over = HAND_OVER.min(Duration::from_secs_f64(
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
    store.leave();
    let told = Instant::now();
    let has_to_go_on = || {
        told.elapsed() < LEAST_HAND_OVER.min(hand_over) || store.is_needed() || !writer.is_idle()
    };
    while told.elapsed() < hand_over && has_to_go_on() {
        driver.step().await?;
    }
    // What is on its way to others gets there.
    sleep(BIND_PAUSE).await;
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
            Ok(placement) => store.set_placement(placement),
            Err(error) => log::warn!("store: a placement can't be read: {error}"),
        }
    }));
    gossip
}

/// Listens, trying again for a while: the process before may not have let go of the address yet.
async fn bound(address: SocketAddr) -> Result<Arc<Transport>, StoreError> {
    let deadline = Instant::now() + BIND_WITHIN;
    loop {
        match Transport::start(address).await {
            Ok(transport) => return Ok(transport),
            Err(cause) if Instant::now() > deadline => {
                return Err(StoreError::Listen { address, cause });
            }
            Err(_) => sleep(BIND_PAUSE).await,
        }
    }
}
