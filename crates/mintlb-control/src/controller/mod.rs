//! The controller: serves the operator's and the workers' HTTP API, runs a replica of the register where the machine has
//! a disk, and competes for the singleton role, which one controller at a time fills.
//!
//! - [`register`]: the replicated register, its replica on this machine, and membership of the replica set.
//! - [`contact`]: liveness of the other controllers, contact with a quorum, election of the singleton leader.
//! - [`singleton`]: the work of the elected leader, and the protocol between controllers.
//! - [`workers`]: the registry of workers.
//! - [`http`]: the HTTP API.
//! - [`settings_reload`]: reload of the settings file.

pub mod contact;
pub mod error;
pub mod http;
pub mod register;
pub mod settings_reload;
pub mod singleton;
pub mod workers;

pub use error::ControllerError;
use mintlb_common::record::{WORKER_PREFIX, WorkerRecord};
use mintlb_common::settings::{InternalPort, NodeSettings};
use mintlb_common::signals::Signals;
use mintlb_common::transport::Transport;
use mintlb_gossip::{GossipConfig, GossipService, Member, Role};
use mintlb_register::replica_set::{Replica, ReplicaId};
use parking_lot::Mutex;
use register::acceptor_storage::AcceptorStorage;
use register::local_replica::LocalReplica;
use register::publisher::Publisher;
use register::{Register, mix64};
use singleton::Singleton;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, interval, sleep, timeout};
use workers::registry::Registry;

/// How often silence among the workers is looked for.
const WORKER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How long an address that is still taken is tried again.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause between two tries.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Descriptors that are not for connections of workers and the operator.
const RESERVED_DESCRIPTORS: usize = 400;

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
    pub singleton: Singleton,
    /// Whether the process was told to stop: it does not join the register's set any more.
    pub shutting_down: AtomicBool,
    rng_state: AtomicU64,
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
            .set_heartbeat_timeout(settings.heartbeat_timeout());
        *self.settings.lock() = Arc::new(settings);
    }

    /// A worker's record as everybody knows it.
    pub fn current_worker_record(&self, id: &str) -> Option<WorkerRecord> {
        let record = self.gossip.get(&format!("{WORKER_PREFIX}{id}"))?;
        minicbor::decode(&record.body).ok()
    }

    /// The identity of the replica here.
    pub fn replica_id(&self) -> Option<ReplicaId> {
        self.register.replica().map(|replica| replica.identity().id)
    }

    /// Whether the stores send their heartbeats here, so that what is known of them is whole.
    pub fn receives_store_heartbeats(&self) -> bool {
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
            .is_some_and(|set| self.singleton.is_in_contact(&set, majority_at))
    }

    /// For how long it has been in contact without a pause.
    pub fn in_contact_for(&self) -> Duration {
        self.register
            .set()
            .map_or(Duration::ZERO, |set| self.singleton.in_contact_for(&set))
    }

    /// The epoch under which this process has the duties now.
    pub fn leader_epoch(&self) -> Option<u64> {
        self.singleton.held(&self.register.set()?)
    }

    /// Whether this process has the duties now, still under this epoch.
    pub fn is_leader(&self, epoch: u64) -> bool {
        self.leader_epoch() == Some(epoch)
    }

    /// Lets go of the disk, once all that was asked for is synced. The replica does not answer any more.
    pub fn close(&self) {
        if let Some(replica) = self.register.replica() {
            replica.close();
        }
    }

    /// A number from 0 to below `limit`.
    pub fn random_below(&self, limit: u64) -> u64 {
        let step = self.rng_state.fetch_add(0x9e37_79b9_7f4a_7c15, Relaxed);
        mix64(step) % limit.max(1)
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
    let listener = bind_with_retry(address.into(), async || http::listen(address)).await?;
    let controller = start(settings).await?;
    log::info!(
        "controller: at {address}, internal {}",
        controller.transport.local_address()
    );
    tokio::spawn(settings_reload::run(controller.clone()));
    let (stop, shutting_down) = watch::channel(false);
    let max_connections = (controller.settings().limits.max_open_files as usize)
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(RESERVED_DESCRIPTORS);
    let server = http::serve(
        listener,
        http::router(controller.clone()),
        max_connections,
        shutting_down,
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
    let served_and_left = async { tokio::join!(server, register::membership::leave(&controller)) };
    timeout(grace / 2, served_and_left).await.ok();
    controller.close();
    Ok(())
}

/// Starts everything but the HTTP server, on the current runtime.
pub async fn start(settings: NodeSettings) -> Result<Arc<Controller>, ControllerError> {
    let own = settings.internal_address(InternalPort::Controller);
    let transport = bind_with_retry(own, async || Transport::start(own).await).await?;
    let controller = assemble(settings, transport)?;
    tokio::spawn(register::membership::run(controller.clone()));
    tokio::spawn(expire_silent_workers(controller.clone()));
    singleton::service::serve(&controller);
    tokio::spawn(contact::pings::run(controller.clone()));
    tokio::spawn(singleton::run(controller.clone()));
    Ok(controller)
}

/// Joins the parts.
fn assemble(
    settings: NodeSettings,
    transport: Arc<Transport>,
) -> Result<Arc<Controller>, ControllerError> {
    let own = transport.local_address();
    let random_seed =
        RandomState::new().hash_one((own, &settings.node_name, std::time::SystemTime::now()));
    let identity = Replica {
        id: ReplicaId::default(),
        address: own.to_string(),
        node_name: settings.node_name.clone(),
        zone: settings.zone.clone(),
    };
    let replica = match &settings.data_directory {
        Some(directory) => {
            let opened = AcceptorStorage::open(directory, ReplicaId(mix64(random_seed)))?;
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
    let register = Register::start(
        transport.clone(),
        replica,
        random_seed,
        settings.first_start,
    );
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
        singleton: Singleton::new(replica_id, own, mix64(!random_seed)),
        register,
        shutting_down: AtomicBool::new(false),
        rng_state: AtomicU64::new(random_seed),
    }))
}

/// Publishes the silence of workers that have stopped calling.
async fn expire_silent_workers(controller: Arc<Controller>) {
    let mut ticks = interval(WORKER_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        let in_force = |id: &str| {
            controller
                .current_worker_record(id)
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
async fn bind_with_retry<T>(
    address: SocketAddr,
    listen: impl AsyncFn() -> std::io::Result<T>,
) -> Result<T, ControllerError> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match listen().await {
            Ok(listening) => return Ok(listening),
            Err(cause) if Instant::now() > deadline => {
                return Err(ControllerError::Listen { address, cause });
            }
            Err(_) => sleep(BIND_RETRY_INTERVAL).await,
        }
    }
}
