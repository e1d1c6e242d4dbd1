//! Assembly of a controller and start of its tasks.

use super::contact::monitor::ContactMonitor;
use super::contact::pings::Pinger;
use super::register::acceptor_storage::AcceptorStorage;
use super::register::discovery::Discovery;
use super::register::local_replica::LocalReplica;
use super::register::membership::Membership;
use super::register::publisher::Publisher;
use super::register::{AcceptorFileError, RegisterClient};
use super::settings::SharedSettings;
use super::singleton::leader::Leader;
use super::singleton::replica_removal::ReplicaRemoval;
use super::singleton::retirement::RetirementHandler;
use super::singleton::service::ControlService;
use super::singleton::shard_placement::ShardPlacement;
use super::singleton::store_monitor::StoreMonitor;
use super::singleton::worker_expiry::WorkerExpiry;
use super::workers::service::WorkerService;
use super::{Controller, ControllerError};
use mintlb_common::settings::{InternalPort, NodeSettings};
use mintlb_common::transport::{Channel, Transport};
use mintlb_gossip::{GossipConfig, GossipService, Member, Role};
use mintlb_register::replica_set::{Replica, ReplicaId};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// The time for which an address in use is tried again: a predecessor may not have released it yet.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay between two attempts.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A controller and its background tasks, which end when this is dropped.
pub struct StartedController {
    /// The controller.
    pub controller: Arc<Controller>,
    /// Its tasks; none of them ends by itself.
    pub tasks: JoinSet<()>,
}

/// Starts everything but the HTTP server, on the current runtime.
///
/// # Errors
///
/// If the internal address can't be listened on or the file of the replica can't be used.
pub async fn start(settings: NodeSettings) -> Result<StartedController, ControllerError> {
    let own_address = settings.internal_address(InternalPort::Controller);
    let transport =
        bind_with_retry(own_address, async || Transport::start(own_address).await).await?;
    Ok(assemble(settings, transport)?)
}

/// Composes the parts, and starts their tasks once all are there.
fn assemble(
    settings: NodeSettings,
    transport: Arc<Transport>,
) -> Result<StartedController, AcceptorFileError> {
    let own_address = transport.local_address();
    let mut random = random_generator(own_address, &settings);
    let replica = open_replica(&settings, own_address, &mut random)?;
    let gossip = start_gossip(&settings, transport.clone());
    let register = RegisterClient::start(
        transport.clone(),
        replica,
        random.u64(..),
        settings.first_start,
    );
    let publisher = start_publisher(&register, gossip.clone());
    let heartbeat_timeout = settings.heartbeat_timeout();
    let settings = Arc::new(SharedSettings::new(settings));
    let contact = Arc::new(ContactMonitor::new(
        register.clone(),
        own_address,
        random.u64(..),
    ));
    let workers = Arc::new(WorkerService::new(
        gossip.clone(),
        contact.clone(),
        heartbeat_timeout,
    ));
    let leader_work = Arc::new(Notify::new());
    let stores = Arc::new(StoreMonitor::new(leader_work.clone()));
    let retirement = Arc::new(RetirementHandler::new(
        register.clone(),
        contact.clone(),
        stores.clone(),
        settings.clone(),
    ));
    let discovery = Discovery::new(
        register.clone(),
        gossip.clone(),
        settings.clone(),
        own_address,
    );
    let membership = Arc::new(Membership::new(
        register.clone(),
        discovery,
        contact.clone(),
        settings.clone(),
        random,
    ));
    let pinger = Pinger::new(
        contact.clone(),
        register.clone(),
        transport.clone(),
        leader_work.clone(),
    );
    let leader = Leader::new(
        contact.clone(),
        leader_work,
        ShardPlacement::new(
            register.clone(),
            gossip.clone(),
            stores.clone(),
            settings.clone(),
        ),
        ReplicaRemoval::new(register.clone(), contact.clone(), settings.clone()),
        WorkerExpiry::new(
            contact.clone(),
            workers.clone(),
            transport.clone(),
            gossip.clone(),
        ),
    );
    let service = ControlService::new(contact.clone(), workers.clone(), stores, retirement.clone());
    let mut tasks = JoinSet::new();
    tasks.spawn(membership.clone().run());
    tasks.spawn(workers.clone().expire_unresponsive_workers());
    transport.register_service(Channel::Control, Arc::new(service));
    tasks.spawn(pinger.run());
    tasks.spawn(leader.run());
    let controller = Controller {
        settings,
        started_at: Instant::now(),
        transport,
        contact,
        publisher,
        retirement,
        gossip,
        register,
        membership,
        workers,
    };
    Ok(StartedController {
        controller: Arc::new(controller),
        tasks,
    })
}

/// A generator with a seed that differs between processes and between the starts of one.
fn random_generator(own_address: SocketAddr, settings: &NodeSettings) -> fastrand::Rng {
    let identity = (own_address, &settings.node_name, SystemTime::now());
    fastrand::Rng::with_seed(RandomState::new().hash_one(identity))
}

/// The replica of this process, if the machine has a disk.
fn open_replica(
    settings: &NodeSettings,
    own_address: SocketAddr,
    random: &mut fastrand::Rng,
) -> Result<Option<Arc<LocalReplica>>, AcceptorFileError> {
    let Some(directory) = &settings.data_directory else {
        return Ok(None);
    };
    let new_id = ReplicaId(random.u64(..));
    let opened = AcceptorStorage::open(directory, new_id)?;
    let identity = Replica {
        id: opened.id,
        address: own_address.to_string(),
        node_name: settings.node_name.clone(),
        zone: settings.zone.clone(),
    };
    Ok(Some(Arc::new(LocalReplica::new(opened, identity))))
}

fn start_gossip(settings: &NodeSettings, transport: Arc<Transport>) -> Arc<GossipService> {
    let member = Member {
        address: transport.local_address(),
        incarnation: transport.incarnation(),
        role: Role::Controller,
        node_name: settings.node_name.clone(),
        zone: settings.zone.clone(),
    };
    GossipService::start(GossipConfig {
        transport,
        seeds: settings.seed_addresses(),
        member,
    })
}

/// Lets each value newly known to be chosen be published.
fn start_publisher(register: &RegisterClient, gossip: Arc<GossipService>) -> Arc<Publisher> {
    let publisher = Arc::new(Publisher::new(gossip));
    let on_chosen = publisher.clone();
    register.on_chosen(Box::new(move |chosen| on_chosen.publish(&chosen.state)));
    publisher
}

/// Listens on an address, and tries again for a while if it is in use.
///
/// # Errors
///
/// If the address can't be listened on after [`BIND_TIMEOUT`].
pub(super) async fn bind_with_retry<T>(
    address: SocketAddr,
    listen: impl AsyncFn() -> std::io::Result<T>,
) -> Result<T, ControllerError> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match listen().await {
            Ok(listener) => return Ok(listener),
            Err(cause) if Instant::now() > deadline => {
                return Err(ControllerError::Listen { address, cause });
            }
            Err(_) => sleep(BIND_RETRY_INTERVAL).await,
        }
    }
}
