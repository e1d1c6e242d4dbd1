//! Heartbeats to the controllers: regularly, and as soon as the store's report changes.

use super::handle::{Store, StoreReport};
use bytes::Bytes;
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

/// The pause between two heartbeats at least, however often the report changes.
const MIN_INTERVAL: Duration = Duration::from_millis(10);

/// Sends heartbeats until it is dropped.
pub async fn run(
    settings: NodeSettings,
    store: Arc<Store>,
    transport: Arc<Transport>,
    gossip: Arc<GossipService>,
) {
    loop {
        if store.is_without_disk() {
            // It can serve no more than a store that is down, and is to count as one.
            wait_for_change(&store).await;
            continue;
        }
        let heartbeat = encoded_heartbeat(&settings, &store);
        for controller in controllers(&gossip) {
            transport.notify(controller, Channel::Control, heartbeat.clone());
        }
        wait_for_change(&store).await;
        sleep(MIN_INTERVAL).await;
    }
}

async fn wait_for_change(store: &Store) {
    timeout(HEARTBEAT_INTERVAL, store.report_changed().notified())
        .await
        .ok();
}

fn encoded_heartbeat(settings: &NodeSettings, store: &Store) -> Bytes {
    let StoreReport {
        shards,
        placement_epoch,
    } = store.report();
    let heartbeat = StoreHeartbeat {
        id: store.id(),
        node_name: settings.node_name.clone(),
        address: settings.internal_address(InternalPort::Store).to_string(),
        zone: settings.zone.clone(),
        shards,
        placement: placement_epoch,
        draining: store.is_draining(),
        region: Some(settings.region.clone()),
        counts_toward_quorum: Some(settings.counts_toward_quorum),
    };
    framing::encode(&heartbeat, &[])
}

/// The controllers with a replica of the register, once gossip has brought the replica set.
fn controllers(gossip: &GossipService) -> Vec<SocketAddr> {
    let set = gossip
        .get(REPLICAS)
        .and_then(|record| minicbor::decode::<ReplicaSet>(&record.body).ok());
    let Some(set) = set else { return Vec::new() };
    set.members()
        .filter_map(|replica| replica.address.parse().ok())
        .collect()
}
