//! The controller: takes the operator's and the workers' calls, holds a replica of the register where there is a disk,
//! and has the duties of which each is done by one controller at a time.
//!
//! - [`vote_file`], [`vote_store`], [`replica`], [`knowledge`], [`register`]: the register.
//! - [`membership`]: founding and joining it.
//! - [`publisher`]: its value to every process.
//! - [`registry`]: the workers.
//! - [`contact`], [`peers`], [`stamps`], [`ping_state`], [`pings`]: contact with the others, and who has the duties.
//! - [`duties`], [`orphans`], [`retirement`]: the duties.
//! - [`duty_messages`], [`duty_service`]: what controllers say to each other.
//! - [`http`], [`configuration_api`], [`instance_api`], [`retire_api`], [`answers`]: the calls.
//! - [`reload`]: settings that have changed.

pub mod answers;
pub mod configuration_api;
pub mod contact;
pub mod duties;
pub mod duty_messages;
pub mod duty_service;
pub mod error;
pub mod http;
pub mod instance_api;
pub mod knowledge;
pub mod membership;
pub mod orphans;
pub mod peers;
pub mod ping_state;
pub mod pings;
pub mod publisher;
pub mod register;
pub mod registry;
pub mod reload;
pub mod replica;
pub mod retire_api;
pub mod retirement;
pub mod stamps;
pub mod vote_file;
pub mod vote_store;

use duties::Duties;
pub use error::ControllerError;
use mintlb_common::record::{WORKER_PREFIX, WorkerRecord};
use mintlb_common::settings::{InternalPort, NodeSettings};
use mintlb_common::signals::Signals;
use mintlb_common::transport::Transport;
use mintlb_gossip::{GossipConfig, GossipService, Member, Role};
use mintlb_register::replica_set::{Replica, ReplicaId};
use parking_lot::Mutex;
use publisher::Publisher;
use register::{Register, mix64};
use registry::Registry;
use replica::LocalReplica;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, interval, sleep, timeout};
use vote_store::VoteStore;

/// How often silence among the workers is looked for.
const WORKERS_TICK: Duration = Duration::from_millis(200);
/// How long an address that is still taken is tried again.
const BIND_WITHIN: Duration = Duration::from_secs(5);
/// The pause between two tries.
const BIND_PAUSE: Duration = Duration::from_millis(100);
/// Descriptors that are not for connections of workers and the operator.
const OTHER_DESCRIPTORS: usize = 400;

/// What the parts of a controller share.
pub struct Controller {
    settings: Mutex<Arc<NodeSettings>>,
    /// When the process began.
    pub started_at: Instant,
    /// Messages to other processes.
    pub transport: Arc<Transport>,
    /// Records.
    pub gossip: Arc<GossipService>,
    /// The register.
    pub register: Arc<Register>,
    /// The register's value as records.
    pub publisher: Arc<Publisher>,
    /// The workers that call here.
    pub registry: Mutex<Registry>,
    /// What one controller does for all.
    pub duties: Duties,
    /// Whether the process was told to stop: it does not join the register's set any more.
    pub stopping: AtomicBool,
    dice: AtomicU64,
}

impl Controller {
    /// The settings in force.
    pub fn settings(&self) -> Arc<NodeSettings> {
        self.settings.lock().clone()
    }

    /// Puts other settings in force.
    pub fn replace_settings(&self, settings: NodeSettings) {
        self.registry
            .lock()
            .set_silence(settings.heartbeat_timeout());
        *self.settings.lock() = Arc::new(settings);
    }

    /// A worker's record as everybody knows it.
    pub fn worker_in_force(&self, id: &str) -> Option<WorkerRecord> {
        let record = self.gossip.get(&format!("{WORKER_PREFIX}{id}"))?;
        minicbor::decode(&record.body).ok()
    }

    /// The identity of the replica here.
    pub fn replica_id(&self) -> Option<ReplicaId> {
        self.register.replica().map(|replica| replica.identity().id)
    }

    /// Whether the stores send their heartbeats here, so that what is known of them is whole.
    pub fn hears_stores(&self) -> bool {
        let id = self.replica_id();
        let set = self.register.set();
        id.zip(set)
            .is_some_and(|(id, set)| set.current_replica(id).is_some())
    }

    /// Whether this process is in contact with a majority of the register's replicas now. Without that it can promise
    /// nothing that needs others.
    pub fn is_in_contact(&self) -> bool {
        let majority_at = self.register.majority_at();
        self.register
            .set()
            .is_some_and(|set| self.duties.is_in_contact(&set, majority_at))
    }

    /// For how long it has been in contact without a pause.
    pub fn in_contact_for(&self) -> Duration {
        self.register
            .set()
            .map_or(Duration::ZERO, |set| self.duties.in_contact_for(&set))
    }

    /// The epoch under which this process has the duties now.
    pub fn duty_epoch(&self) -> Option<u64> {
        self.duties.held(&self.register.set()?)
    }

    /// Whether this process has the duties now, still under this epoch.
    pub fn has_duties(&self, epoch: u64) -> bool {
        self.duty_epoch() == Some(epoch)
    }

    /// Lets go of the disk, once all that was asked for is synced. The replica does not answer any more.
    pub fn close(&self) {
        if let Some(replica) = self.register.replica() {
            replica.close();
        }
    }

    /// A number from 0 to below `most`.
    pub fn roll_below(&self, most: u64) -> u64 {
        let step = self.dice.fetch_add(0x9e37_79b9_7f4a_7c15, Relaxed);
        mix64(step) % most.max(1)
    }
}

/// Runs the controller until it is told to stop.
pub fn run(settings: NodeSettings) -> Result<(), ControllerError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ControllerError::System)?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: NodeSettings) -> Result<(), ControllerError> {
    let mut signals = Signals::install().map_err(ControllerError::System)?;
    let address = settings
        .listen_addresses
        .control_plane
        .ok_or(ControllerError::NoAddress)?;
    let listener = bound(address.into(), async || http::listen(address)).await?;
    let controller = start(settings).await?;
    log::info!(
        "controller: at {address}, internal {}",
        controller.transport.local_address()
    );
    tokio::spawn(reload::run(controller.clone()));
    let (stop, stopping) = watch::channel(false);
    let most_connections = (controller.settings().limits.max_open_files as usize)
        .saturating_sub(OTHER_DESCRIPTORS)
        .max(OTHER_DESCRIPTORS);
    let server = http::serve(
        listener,
        http::router(controller.clone()),
        most_connections,
        stopping,
    );
    let server = tokio::spawn(server);
    signals.shutdown_requested().await;
    log::info!("controller: told to stop");
    stop.send_replace(true);
    let grace = Duration::from_secs_f64(
        controller
            .settings()
            .bounds
            .grace_period_s
            .clamp(0.5, 600.0),
    );
    let served_and_left = async { tokio::join!(server, membership::leave(&controller)) };
    timeout(grace / 2, served_and_left).await.ok();
    controller.close();
    Ok(())
}

/// Starts everything but the HTTP server, on the current runtime.
pub async fn start(settings: NodeSettings) -> Result<Arc<Controller>, ControllerError> {
    let own = settings.internal_address(InternalPort::Controller);
    let transport = bound(own, async || Transport::start(own).await).await?;
    let controller = assemble(settings, transport)?;
    tokio::spawn(membership::run(controller.clone()));
    tokio::spawn(watch_workers(controller.clone()));
    duty_service::serve(&controller);
    tokio::spawn(pings::run(controller.clone()));
    tokio::spawn(duties::run(controller.clone()));
    Ok(controller)
}

/// Joins the parts.
fn assemble(
    settings: NodeSettings,
    transport: Arc<Transport>,
) -> Result<Arc<Controller>, ControllerError> {
    let own = transport.local_address();
    let draw =
        RandomState::new().hash_one((own, &settings.node_name, std::time::SystemTime::now()));
    let identity = Replica {
        id: 0,
        address: own.to_string(),
        node_name: settings.node_name.clone(),
        zone: settings.zone.clone(),
    };
    let replica = match &settings.data_directory {
        Some(directory) => {
            let opened = VoteStore::open(directory, mix64(draw))?;
            Some(Arc::new(LocalReplica::new(opened, identity)))
        }
        None => None,
    };
    let member = Member {
        address: own,
        incarnation: transport.incarnation(),
        role: Role::Controller,
        node_name: settings.node_name.clone(),
        zone: settings.zone.clone(),
    };
    let seeds = settings.seed_addresses();
    let gossip = GossipService::start(GossipConfig {
        transport: transport.clone(),
        seeds,
        member,
    });
    let register = Register::start(transport.clone(), replica, draw, settings.first_start);
    let replica_id = register.replica().map(|replica| replica.identity().id);
    let publisher = Arc::new(Publisher::new(gossip.clone()));
    let on_chosen = publisher.clone();
    register.listen(Box::new(move |chosen| on_chosen.publish(&chosen.state)));
    Ok(Arc::new(Controller {
        registry: Mutex::new(Registry::new(Instant::now(), settings.heartbeat_timeout())),
        settings: Mutex::new(Arc::new(settings)),
        started_at: Instant::now(),
        transport,
        gossip,
        publisher,
        duties: Duties::new(replica_id, own, mix64(!draw)),
        register,
        stopping: AtomicBool::new(false),
        dice: AtomicU64::new(draw),
    }))
}

/// Publishes the silence of workers that have stopped calling.
async fn watch_workers(controller: Arc<Controller>) {
    let mut ticks = interval(WORKERS_TICK);
    loop {
        ticks.tick().await;
        let in_force = |id: &str| {
            controller
                .worker_in_force(id)
                .map(|record| record.version())
        };
        let silent =
            controller
                .registry
                .lock()
                .tick(Instant::now(), controller.is_in_contact(), in_force);
        for record in silent {
            log::info!("workers: {} is silent", record.instance_id);
            controller.gossip.publish_now(record.to_record());
        }
    }
}

/// Listens, trying again for a while: the process before may not have let go of the address yet.
async fn bound<T>(
    address: SocketAddr,
    listen: impl AsyncFn() -> std::io::Result<T>,
) -> Result<T, ControllerError> {
    let deadline = Instant::now() + BIND_WITHIN;
    loop {
        match listen().await {
            Ok(listening) => return Ok(listening),
            Err(cause) if Instant::now() > deadline => {
                return Err(ControllerError::Listen { address, cause });
            }
            Err(_) => sleep(BIND_PAUSE).await,
        }
    }
}
