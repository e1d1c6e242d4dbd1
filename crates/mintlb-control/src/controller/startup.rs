//! Assembly of a controller and start of its tasks.

use super::contact::monitor::ContactMonitor;
use super::contact::pings::Pinger;
use super::http::HttpApi;
use super::http::configuration_api::ConfigurationApi;
use super::http::retirement_api::RetirementApi;
use super::quota::QuotaService;
use super::register::acceptor_storage::AcceptorStorage;
use super::register::discovery::{Discovery, follow_published_set};
use super::register::local_replica::LocalReplica;
use super::register::membership::Membership;
use super::register::publisher::Publisher;
use super::register::worker_log::{self, WorkerLog};
use super::register::{self, AcceptorFileError, RegisterClient};
use super::settings::SharedSettings;
use super::singleton::leader::Leader;
use super::singleton::replica_removal::ReplicaRemoval;
use super::singleton::retirement::RetirementHandler;
use super::singleton::service::ControlService;
use super::singleton::shard_placement::ShardPlacement;
use super::singleton::store_monitor::StoreMonitor;
use super::singleton::tolerance_update::ToleranceUpdate;
use super::singleton::worker_expiry::WorkerExpiry;
use super::workers::service::WorkerService;
use super::{Controller, ControllerError};
use crate::bind::bind_with_retry;
use mintlb_common::settings::{InternalPort, NodeSettings};
use mintlb_common::transport::{Channel, Transport};
use mintlb_gossip::{GossipConfig, GossipService, Member, Role};
use mintlb_quota::slices::Division;
use mintlb_register::replica_set::{Replica, ReplicaId};
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::Instant;

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

fn assemble(
    settings: NodeSettings,
    transport: Arc<Transport>,
) -> Result<StartedController, AcceptorFileError> {
    let mut random = random_generator(transport.local_address(), &settings);
    let components = Components::new(settings, transport, &mut random)?;
    let membership = Arc::new(components.membership(random));
    let mut tasks = JoinSet::new();
    tasks.spawn(membership.clone().run());
    tasks.spawn(components.workers.clone().expire_unresponsive_workers());
    components
        .transport
        .register_service(Channel::Control, Arc::new(components.control_service()));
    let quota = Arc::new(components.quota_service());
    components
        .transport
        .register_service(Channel::Quota, quota.clone());
    tasks.spawn(quota.follow_members());
    tasks.spawn(components.pinger().run());
    tasks.spawn(components.leader().run());
    let controller = Controller {
        http: components.http_api(),
        gossip: components.gossip,
        register: components.register,
        membership,
        workers: components.workers,
        settings: components.settings,
        transport: components.transport,
    };
    Ok(StartedController {
        controller: Arc::new(controller),
        tasks,
    })
}

/// The shared components, of which the tasks and the API are composed.
struct Components {
    settings: Arc<SharedSettings>,
    transport: Arc<Transport>,
    gossip: Arc<GossipService>,
    register: Arc<RegisterClient>,
    publisher: Arc<Publisher>,
    contact: Arc<ContactMonitor>,
    workers: Arc<WorkerService>,
    stores: Arc<StoreMonitor>,
    retirement: Arc<RetirementHandler>,
    /// Notified when leadership or the state of the stores has changed.
    leader_work: Arc<Notify>,
}

impl Components {
    fn new(
        settings: NodeSettings,
        transport: Arc<Transport>,
        random: &mut fastrand::Rng,
    ) -> Result<Components, AcceptorFileError> {
        let own_address = transport.local_address();
        let replica = open_replica(&settings, own_address, random)?;
        let gossip = start_gossip(&settings, transport.clone());
        let first_start = settings.first_start;
        let register = register::start(transport.clone(), replica, random.u64(..), first_start);
        follow_published_set(&register, &gossip);
        worker_log::connect(&register, &gossip);
        let publisher = start_publisher(&register, gossip.clone());
        let contact = ContactMonitor::new(register.clone(), own_address, random.u64(..));
        let contact = Arc::new(contact);
        let heartbeat_timeout = settings.heartbeat_timeout();
        let settings = Arc::new(SharedSettings::new(settings));
        let workers = WorkerService::new(
            gossip.clone(),
            contact.clone(),
            WorkerLog::new(register.clone(), settings.clone()),
            heartbeat_timeout,
        );
        let leader_work = Arc::new(Notify::new());
        let stores = Arc::new(StoreMonitor::new(leader_work.clone()));
        let retirement = RetirementHandler::new(
            register.clone(),
            contact.clone(),
            stores.clone(),
            settings.clone(),
        );
        Ok(Components {
            settings,
            transport,
            gossip,
            register,
            publisher,
            contact,
            workers: Arc::new(workers),
            stores,
            retirement: Arc::new(retirement),
            leader_work,
        })
    }

    fn membership(&self, random: fastrand::Rng) -> Membership {
        let discovery = Discovery::new(
            self.register.clone(),
            self.gossip.clone(),
            self.settings.clone(),
            self.transport.local_address(),
        );
        Membership::new(
            self.register.clone(),
            discovery,
            self.contact.clone(),
            self.settings.clone(),
            random,
        )
    }

    fn control_service(&self) -> ControlService {
        ControlService::new(
            self.contact.clone(),
            self.workers.clone(),
            self.stores.clone(),
            self.retirement.clone(),
        )
    }

    fn quota_service(&self) -> QuotaService {
        let division = Division {
            slack: self.settings.get().bounds.quota_slack,
        };
        QuotaService::new(self.register.clone(), division)
    }

    fn pinger(&self) -> Pinger {
        Pinger::new(
            self.contact.clone(),
            self.register.clone(),
            self.transport.clone(),
            self.leader_work.clone(),
        )
    }

    fn leader(&self) -> Leader {
        let placement = ShardPlacement::new(
            self.register.clone(),
            self.gossip.clone(),
            self.stores.clone(),
            self.settings.clone(),
        );
        let replica_removal = ReplicaRemoval::new(
            self.register.clone(),
            self.contact.clone(),
            self.settings.clone(),
        );
        let worker_expiry = WorkerExpiry::new(
            self.contact.clone(),
            self.workers.clone(),
            self.transport.clone(),
            self.gossip.clone(),
        );
        Leader::new(
            self.contact.clone(),
            self.leader_work.clone(),
            ToleranceUpdate::new(self.register.clone(), self.settings.clone()),
            placement,
            replica_removal,
            worker_expiry,
        )
    }

    fn http_api(&self) -> HttpApi {
        HttpApi {
            configuration: ConfigurationApi {
                register: self.register.clone(),
                publisher: self.publisher.clone(),
                contact: self.contact.clone(),
                settings: self.settings.clone(),
                started_at: Instant::now(),
            },
            retirement: RetirementApi {
                handler: self.retirement.clone(),
                contact: self.contact.clone(),
                register: self.register.clone(),
                transport: self.transport.clone(),
            },
            workers: self.workers.clone(),
        }
    }
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
    if !settings.counts_toward_quorum {
        log::info!(
            "register: this machine does not count toward quorums, its replica neither begins nor joins the register"
        );
    }
    let new_id = ReplicaId(random.u64(..));
    let opened = AcceptorStorage::open(directory, new_id)?;
    let identity = Replica {
        id: opened.id,
        address: own_address.to_string(),
        node_name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        region: Some(settings.region.clone()),
        counts_toward_quorum: Some(settings.counts_toward_quorum),
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
