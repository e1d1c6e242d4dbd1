//! Stores with real files and real connections on this machine, and the client of dispatchers.
#![allow(dead_code)]

use bytes::Bytes;
use mintlb_batch::client::{BatchClient, Item, Submission};
use mintlb_batch::entry::{ItemState, JobTerms};
use mintlb_batch::replica::ReplicaSettings;
use mintlb_common::placement::{Placement, SHARD_COUNT, ShardAssignment, StoreEntry, StoreId};
use mintlb_common::transport::{Channel, Transport};
use mintlb_control::store::driver::Driver;
use mintlb_control::store::handle::Store;
use mintlb_control::store::service::StoreService;
use mintlb_control::store::storage::file::DatabaseOpener;
use mintlb_control::store::storage::{CommitQueue, OpenedStorage};
use mintlb_control::store::storage::{LoadedShards, ShardStorage};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::task::JoinHandle;

pub const HOST: &str = "batch.example";
pub const WITHIN: Duration = Duration::from_secs(10);

pub struct Node {
    pub store: Arc<Store>,
    pub address: SocketAddr,
    pub id: StoreId,
    pub task: JoinHandle<()>,
}

impl Node {
    pub async fn start(directory: &Path, draw: u64) -> Node {
        Node::start_on(ShardStorage::open(directory, draw).unwrap(), draw).await
    }

    /// A store that opens its file by `open`.
    pub async fn start_by(open: DatabaseOpener, directory: &Path, draw: u64) -> Node {
        Node::start_on(
            ShardStorage::open_with(open, directory, draw).unwrap(),
            draw,
        )
        .await
    }

    pub async fn start_on((disk, shards): (ShardStorage, LoadedShards), draw: u64) -> Node {
        let transport = Transport::start("127.0.0.1:0".parse().unwrap())
            .await
            .unwrap();
        let address = transport.local_address();
        let settings = ReplicaSettings {
            store_id: disk.id(),
            tolerance: 1,
            result_retention: Duration::from_secs(120),
        };
        let (committed, commits) = tokio::sync::mpsc::unbounded_channel();
        let commit_queue = CommitQueue::start(disk.clone(), committed).unwrap();
        let id = disk.id();
        let opened = OpenedStorage {
            storage: disk.clone(),
            commit_queue,
            shards,
        };
        let store = Store::new(transport.clone(), opened, settings, 1 << 30, draw);
        transport.register_service(Channel::Batch, Arc::new(StoreService(store.clone())));
        let mut driver = Driver::new(store.clone(), disk, commits);
        let task = tokio::spawn(async move { while driver.step().await.is_ok() {} });
        Node {
            store,
            address,
            id,
            task,
        }
    }
}

pub fn placement(nodes: &[Node], epoch: u64, order: &[usize], previous: &[usize]) -> Placement {
    let ids = |order: &[usize]| order.iter().map(|i| nodes[*i].id).collect::<Vec<_>>();
    let stores = nodes.iter().map(|node| StoreEntry {
        id: node.id,
        node_name: format!("store-{}", node.id),
        address: node.address.to_string(),
        zone: "z".to_string(),
        decommissioning: false,
    });
    let last_active_epoch = Some(epoch - 1);
    let shard = ShardAssignment {
        epoch,
        replicas: ids(order),
        previous: ids(previous),
        last_active_epoch,
    };
    Placement {
        epoch,
        stores: stores.collect(),
        shards: vec![shard; SHARD_COUNT as usize],
    }
}

pub fn job(id: &str, items: usize, max_queued_tokens: u64) -> Submission {
    let items = (0..items).map(|i| Item {
        instance_id: format!("{id}-{i}"),
        path: format!("/p/{i}"),
        headers: vec![("Mintlb-Model".to_string(), "m".to_string())],
        body: Bytes::from(vec![i as u8; 5000]),
        tokens: 100,
    });
    Submission {
        host: HOST.to_string(),
        route: "r".to_string(),
        job_id: id.to_string(),
        terms: JobTerms {
            sent_at_ms: 1,
            completion_target_ms: 5000,
            retention_ms: 60_000,
            max_attempts: 3,
        },
        max_queued_tokens,
        items: items.collect(),
    }
}

pub struct Cluster {
    pub nodes: Vec<Node>,
    pub directories: Vec<TempDir>,
    pub placement: Arc<Mutex<Arc<Placement>>>,
    pub client: BatchClient,
}

impl Cluster {
    pub async fn start(count: usize) -> Cluster {
        let directories: Vec<TempDir> = (0..count).map(|_| tempfile::tempdir().unwrap()).collect();
        let mut nodes = Vec::new();
        for (i, directory) in directories.iter().enumerate() {
            nodes.push(Node::start(directory.path(), i as u64 + 1).await);
        }
        Cluster::of(nodes, directories).await
    }

    pub async fn of(nodes: Vec<Node>, directories: Vec<TempDir>) -> Cluster {
        let placement = Arc::new(Mutex::new(Arc::new(Placement::default())));
        let transport = Transport::start("127.0.0.1:0".parse().unwrap())
            .await
            .unwrap();
        let known = placement.clone();
        let client = BatchClient::new(transport, Arc::new(move || known.lock().clone()));
        Cluster {
            nodes,
            directories,
            placement,
            client,
        }
    }

    pub fn place(&self, placement: Placement) {
        self.nodes
            .iter()
            .for_each(|node| node.store.apply_placement(placement.clone()));
        *self.placement.lock() = Arc::new(placement);
    }

    pub async fn wait_until_active(&self, node: usize, epoch: u64) {
        let store = &self.nodes[node].store;
        let all = |store: &Store| {
            let reports = store.report().shards;
            reports.len() == SHARD_COUNT as usize
                && reports.iter().all(|r| r.active && r.epoch == epoch)
        };
        while !all(store) {
            tokio::time::timeout(WITHIN, store.report_changed().notified())
                .await
                .unwrap();
        }
    }

    pub async fn texts(&self, id: &str, start: u64) -> Vec<(String, ItemState, String)> {
        match self
            .client
            .read(HOST, id, start, Duration::ZERO, 1 << 20)
            .await
        {
            Ok(page) => page
                .results
                .into_iter()
                .map(|r| {
                    (
                        r.instance_id,
                        r.state,
                        String::from_utf8(r.text.to_vec()).unwrap(),
                    )
                })
                .collect(),
            other => panic!("{other:?}"),
        }
    }
}
