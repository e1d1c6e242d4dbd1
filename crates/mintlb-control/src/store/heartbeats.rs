//! Tells the controllers of this store, regularly and as soon as what it has to say changes.

use super::calls::Store;
use mintlb_batch::framing;
use mintlb_batch::heartbeat::{HEARTBEAT_INTERVAL, StoreHeartbeat};
use mintlb_common::record::REPLICAS;
use mintlb_common::settings::{InternalPort, NodeSettings};
use mintlb_common::transport::{Channel, Transport};
use mintlb_gossip::GossipService;
use mintlb_register::replica_set::ReplicaSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Between two heartbeats at least.
const MIN_INTERVAL: Duration = Duration::from_millis(10);

/// Tells for as long as the process runs.
pub async fn run(
    settings: NodeSettings,
    store: Arc<Store>,
    transport: Arc<Transport>,
    gossip: Arc<GossipService>,
) {
    let address = settings.internal_address(InternalPort::Store).to_string();
    loop {
        if store.is_without_disk() {
            // It is no better than a store that is down, and counts as one.
            timeout(HEARTBEAT_INTERVAL, store.report_changed().notified())
                .await
                .ok();
            continue;
        }
        let (shards, placement) = store.report();
        let heartbeat = StoreHeartbeat {
            id: store.id(),
            node_name: settings.node_name.clone(),
            address: address.clone(),
            zone: settings.zone.clone(),
            shards,
            placement,
            draining: store.is_draining(),
        };
        let body = framing::encode(&heartbeat, &[]);
        for controller in controllers(&gossip) {
            transport.notify(controller, Channel::Control, body.clone());
        }
        timeout(HEARTBEAT_INTERVAL, store.report_changed().notified())
            .await
            .ok();
        sleep(MIN_INTERVAL).await;
    }
}

/// The controllers that hold the register, once they are known.
fn controllers(gossip: &GossipService) -> Vec<SocketAddr> {
    let set = gossip
        .get(REPLICAS)
        .and_then(|record| minicbor::decode::<ReplicaSet>(&record.body).ok());
    let Some(set) = set else { return Vec::new() };
    set.members()
        .filter_map(|replica| replica.address.parse().ok())
        .collect()
}
