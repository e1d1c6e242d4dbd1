//! Implements `mintlb dispatch`: starts a dispatcher from its settings and joins the gossip.

use crate::batch;
use crate::cluster_state::{self, ClusterUpdate};
use crate::dispatcher::{Dispatcher, DispatcherConfig};
use crate::error::DispatchError;
use crate::quota_client::QuotaClient;
use crate::shared::SharedState;
use mintlb_common::incarnation::Incarnation;
use mintlb_common::record::Record;
use mintlb_common::settings::{InternalPort, NodeSettings};
use mintlb_common::signals::Signals;
use mintlb_common::transport::Transport;
use mintlb_gossip::{GossipConfig, GossipService, Member, Role};
use mintlb_quota::slices::Division;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::sleep;

/// Length of the queue of connections that were not accepted yet.
const BACKLOG: u32 = 1024;
/// How often the number of dispatchers is updated from the gossip's members.
const DISPATCHER_COUNT_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a dispatcher until SIGTERM, and shuts it down gracefully.
///
/// # Errors
///
/// If a listen address is missing or can't be bound, or the async runtime can't be set up.
pub fn run(settings: NodeSettings) -> Result<(), DispatchError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: NodeSettings) -> Result<(), DispatchError> {
    // A dispatcher does not reload its settings.
    let mut signals = Signals::install()?;
    let addresses = &settings.listen_addresses;
    let frontend = listen(
        addresses
            .frontend
            .ok_or(DispatchError::NoAddress("frontend"))?,
    )?;
    let readiness = listen(
        addresses
            .readiness
            .ok_or(DispatchError::NoAddress("readiness"))?,
    )?;
    let internal = settings.internal_address(InternalPort::Dispatcher);
    let cause = |cause| DispatchError::Listen {
        address: internal,
        cause,
    };
    let transport = Transport::start(internal).await.map_err(cause)?;
    let member = Member {
        address: internal,
        incarnation: transport.incarnation(),
        role: Role::Dispatcher,
        node_name: settings.node_name.clone(),
        zone: settings.zone.clone(),
    };
    let gossip = GossipService::start(GossipConfig {
        transport: transport.clone(),
        seeds: settings.seed_addresses(),
        member,
    });
    let config = dispatcher_config(&settings, transport.incarnation());
    let dispatcher_id = config.seed;
    let mut dispatcher = Dispatcher::new(config);
    dispatcher.batch = Some(batch::start(
        transport.clone(),
        gossip.clone(),
        dispatcher.batch_executor(),
        dispatcher_id,
    ));
    let quota = Arc::new(QuotaClient::new(
        transport.clone(),
        Division {
            slack: settings.bounds.quota_slack,
        },
        dispatcher_id,
    ));
    dispatcher.rate_limiter = quota.clone();
    gossip.subscribe(Arc::new(move |record: &Record| quota.apply_record(record)));
    let update_sender = dispatcher.update_sender.clone();
    gossip.subscribe(Arc::new(move |record: &Record| {
        if let Some(update) = cluster_state::decode(record) {
            update_sender.send(update).ok();
        }
    }));
    let (update_sender, joining_gossip) = (dispatcher.update_sender.clone(), gossip.clone());
    tokio::spawn(async move {
        joining_gossip.wait_until_joined().await;
        update_sender.send(ClusterUpdate::Joined).ok();
    });
    tokio::spawn(update_dispatcher_count(gossip, dispatcher.shared.clone()));
    log::info!(
        "dispatch: {} serves on {:?}",
        settings.node_name,
        addresses.frontend
    );
    dispatcher
        .serve(frontend, readiness, async move {
            signals.shutdown_requested().await;
        })
        .await;
    Ok(())
}

/// Regularly updates the number of dispatchers that share the workers.
async fn update_dispatcher_count(gossip: Arc<GossipService>, shared: Arc<SharedState>) {
    loop {
        let others = gossip
            .members()
            .iter()
            .filter(|member| member.role == Role::Dispatcher)
            .count();
        shared.set_dispatcher_count(others + 1);
        sleep(DISPATCHER_COUNT_INTERVAL).await;
    }
}

fn dispatcher_config(settings: &NodeSettings, incarnation: Incarnation) -> DispatcherConfig {
    DispatcherConfig {
        zone: settings.zone.clone(),
        zones: settings.zones.keys().cloned().collect(),
        memory_mb: settings.limits.memory_mb,
        max_open_files: settings.limits.max_open_files,
        grace_period_s: settings.bounds.grace_period_s,
        seed: incarnation.number(),
    }
}

fn listen(address: SocketAddrV4) -> Result<TcpListener, DispatchError> {
    let address = SocketAddr::V4(address);
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    listen().map_err(|cause| DispatchError::Listen { address, cause })
}
