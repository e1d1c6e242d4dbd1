//! Fixture: stores with real files and real connections on this machine, and a client as
//! dispatchers have it.
#![allow(dead_code)]

use bytes::Bytes;
use mintlb_batch::client::{BatchClient, Item, JobAccess, Submission, SubmitError, Submitted};
use mintlb_batch::entry::{ItemState, JobTerms};
use mintlb_batch::replica::ReplicaSettings;
use mintlb_common::placement::{Placement, SHARD_COUNT, ShardAssignment, StoreEntry, StoreId};
use mintlb_common::transport::{Channel, Transport};
use mintlb_control::store::driver::Driver;
use mintlb_control::store::handle::Store;
use mintlb_control::store::limits::StoreLimits;
use mintlb_control::store::service::StoreService;
use mintlb_control::store::storage::file::DatabaseOpener;
use mintlb_control::store::storage::{CommitQueue, LoadedStorage, OpenedStorage, ShardStorage};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::task::JoinHandle;

pub const HOST: &str = "batch.example";
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);
/// The dispatcher that submits, unless a test says otherwise.
pub const DISPATCHER: u64 = 7;
/// A submission was accepted, and the submitting dispatcher runs its items.
pub const ACCEPTED: Result<Submitted, SubmitError> = Ok(Submitted { items_leased: true });
/// Bytes of an item's payload; each is the item's number.
const PAYLOAD_BYTES: usize = 5000;
/// A store's limits; tests of full disks and links go beyond them.
pub const LIMITS: StoreLimits = StoreLimits {
    disk_bytes: 1 << 30,
    queued_bytes: 8 << 20,
};

/// The payload of the item with this number.
pub fn payload(item: u8) -> Bytes {
    Bytes::from(vec![item; PAYLOAD_BYTES])
}

pub struct Node {
    pub store: Arc<Store>,
    pub transport: Arc<Transport>,
    pub address: SocketAddr,
    pub id: StoreId,
    pub task: JoinHandle<()>,
}

impl Node {
    /// A store on the file in `directory`, or on a new one there with this identity.
    pub async fn start(directory: &Path, new_id: StoreId) -> Node {
        let opened = ShardStorage::open(directory, new_id).unwrap();
        Node::serve(opened, new_id.0).await
    }

    /// The same with another way to open the file.
    pub async fn start_with(open: DatabaseOpener, directory: &Path, new_id: StoreId) -> Node {
        let opened = ShardStorage::open_with(open, directory, new_id).unwrap();
        Node::serve(opened, new_id.0).await
    }

    async fn serve(LoadedStorage { storage, shards }: LoadedStorage, random_seed: u64) -> Node {
        let transport = Transport::start("127.0.0.1:0".parse().unwrap())
            .await
            .unwrap();
        let address = transport.local_address();
        let id = storage.id();
        let settings = ReplicaSettings {
            store_id: id,
            tolerance: 1,
            result_retention: Duration::from_secs(120),
        };
        let (outcomes, commits) = tokio::sync::mpsc::unbounded_channel();
        let opened = OpenedStorage {
            storage: storage.clone(),
            commit_queue: CommitQueue::start(storage.clone(), outcomes).unwrap(),
            shards,
        };
        let store = Store::new(transport.clone(), opened, settings, LIMITS, random_seed);
        transport.register_service(Channel::Batch, Arc::new(StoreService(store.clone())));
        let mut driver = Driver::new(store.clone(), storage, commits);
        let task = tokio::spawn(async move { while driver.step().await.is_ok() {} });
        Node {
            store,
            transport,
            address,
            id,
            task,
        }
    }
}

/// Builds a placement in which all shards have the same replicas; stores are named by their
/// position in the cluster.
#[derive(Clone)]
pub struct PlacementBuilder {
    stores: Vec<StoreEntry>,
    epoch: u64,
    shard_epoch: u64,
    replicas: Vec<StoreId>,
    previous: Vec<StoreId>,
}

impl PlacementBuilder {
    /// The first of `replicas` is the primary, in epoch 1.
    pub fn new(nodes: &[Node], replicas: &[usize]) -> PlacementBuilder {
        let stores = nodes.iter().map(|node| StoreEntry {
            id: node.id,
            node_name: format!("store-{}", node.id.0),
            address: node.address.to_string(),
            zone: "z".to_string(),
            decommissioning: false,
            region: None,
            counts_toward_quorum: None,
        });
        let mut builder = PlacementBuilder {
            stores: stores.collect(),
            epoch: 1,
            shard_epoch: 1,
            replicas: Vec::new(),
            previous: Vec::new(),
        };
        builder.replicas = builder.ids(replicas);
        builder
    }

    /// The epoch of the placement and of its shards.
    pub fn epoch(mut self, epoch: u64) -> PlacementBuilder {
        (self.epoch, self.shard_epoch) = (epoch, epoch);
        self
    }

    /// The epoch of the shards alone, if they are older than the placement.
    pub fn shard_epoch(mut self, epoch: u64) -> PlacementBuilder {
        self.shard_epoch = epoch;
        self
    }

    /// The replicas that the takeover reads.
    pub fn previous(mut self, previous: &[usize]) -> PlacementBuilder {
        self.previous = self.ids(previous);
        self
    }

    pub fn build(self) -> Placement {
        let shard = ShardAssignment {
            epoch: self.shard_epoch,
            replicas: self.replicas,
            previous: self.previous,
            last_active_epoch: Some(self.shard_epoch - 1),
            ..ShardAssignment::default()
        };
        Placement {
            epoch: self.epoch,
            stores: self.stores,
            shards: vec![shard; SHARD_COUNT as usize],
        }
    }

    fn ids(&self, positions: &[usize]) -> Vec<StoreId> {
        let ids = positions.iter().map(|position| self.stores[*position].id);
        ids.collect()
    }
}

/// A placement in which the shards are led by all stores in turn, each with 3 replicas.
pub fn rotated_placement(nodes: &[Node], epoch: u64) -> Placement {
    let mut placement = PlacementBuilder::new(nodes, &[0]).epoch(epoch).build();
    for (shard, assignment) in placement.shards.iter_mut().enumerate() {
        let replicas = (shard..shard + 3).map(|position| nodes[position % nodes.len()].id);
        assignment.replicas = replicas.collect();
    }
    placement
}

/// Builds a batch job; without further calls it has 3 items and no limit of its route's queue.
pub struct JobBuilder {
    id: String,
    items: usize,
    max_queued_tokens: u64,
    route: String,
    tenant: Option<String>,
}

impl JobBuilder {
    pub fn new(id: &str) -> JobBuilder {
        JobBuilder {
            id: id.to_string(),
            items: 3,
            max_queued_tokens: 0,
            route: "r".to_string(),
            tenant: None,
        }
    }

    /// Items of 100 tokens each.
    pub fn items(mut self, items: usize) -> JobBuilder {
        self.items = items;
        self
    }

    /// The route, if it is another one than usual.
    pub fn route(mut self, route: &str) -> JobBuilder {
        self.route = route.to_string();
        self
    }

    /// The tenant that submits it.
    pub fn tenant(mut self, tenant: &str) -> JobBuilder {
        self.tenant = Some(tenant.to_string());
        self
    }

    /// The limit of tokens that are queued on the job's route.
    pub fn max_queued_tokens(mut self, tokens: u64) -> JobBuilder {
        self.max_queued_tokens = tokens;
        self
    }

    pub fn build(self) -> Submission {
        let id = &self.id;
        let items = (0..self.items).map(|i| Item {
            instance_id: format!("{id}-{i}"),
            path: format!("/p/{i}"),
            headers: vec![("Mintlb-Model".to_string(), "m".to_string())],
            body: payload(i as u8),
            tokens: 100,
        });
        Submission {
            items: items.collect(),
            host: HOST.to_string(),
            route: self.route,
            tenant: self.tenant,
            job_id: self.id,
            terms: JobTerms {
                sent_at_ms: 1,
                completion_target_ms: 5000,
                retention_ms: 60_000,
                max_attempts: 3,
            },
            max_queued_tokens: self.max_queued_tokens,
        }
    }
}

/// A result as a reader gets it.
#[derive(Debug, PartialEq)]
pub struct ReadResult {
    pub item: String,
    pub state: ItemState,
    pub text: String,
}

pub fn completed(item: &str, text: &str) -> ReadResult {
    ReadResult {
        item: item.to_string(),
        state: ItemState::Completed,
        text: text.to_string(),
    }
}

pub struct Cluster {
    pub nodes: Vec<Node>,
    pub directories: Vec<TempDir>,
    pub placement: Arc<Mutex<Arc<Placement>>>,
    pub client: BatchClient,
}

impl Cluster {
    /// Stores that have no placement yet.
    pub async fn start(count: usize) -> Cluster {
        let directories: Vec<TempDir> = (0..count).map(|_| tempfile::tempdir().unwrap()).collect();
        let mut nodes = Vec::new();
        for (directory, id) in directories.iter().zip(1..) {
            nodes.push(Node::start(directory.path(), StoreId(id)).await);
        }
        Cluster::of(nodes, directories).await
    }

    /// Three stores, the first of them the primary of all shards.
    pub async fn start_placed() -> Cluster {
        let cluster = Cluster::start(3).await;
        cluster.apply_placement(cluster.placement(&[0, 1, 2]).build());
        cluster
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

    pub fn placement(&self, replicas: &[usize]) -> PlacementBuilder {
        PlacementBuilder::new(&self.nodes, replicas)
    }

    /// All stores and the client apply this placement.
    pub fn apply_placement(&self, placement: Placement) {
        self.nodes
            .iter()
            .for_each(|node| node.store.apply_placement(placement.clone()));
        *self.placement.lock() = Arc::new(placement);
    }

    /// Waits until a store is the active primary of all shards.
    pub async fn wait_until_active(&self, node: usize, epoch: u64) {
        let store = &self.nodes[node].store;
        let is_active = || {
            let reports = store.report().shards;
            reports.len() == SHARD_COUNT as usize
                && reports
                    .iter()
                    .all(|report| report.active && report.epoch == epoch)
        };
        while !is_active() {
            tokio::time::timeout(TEST_TIMEOUT, store.report_changed().notified())
                .await
                .unwrap();
        }
    }

    pub async fn submit(&self, job: JobBuilder) -> Result<Submitted, SubmitError> {
        self.client
            .submit(job.build(), DISPATCHER, TEST_TIMEOUT)
            .await
    }

    /// The results of a job from a position on.
    pub async fn results(&self, id: &str, start: u64) -> Vec<ReadResult> {
        let page = self
            .client
            .read(
                &JobAccess::Unrestricted,
                HOST,
                id,
                start,
                Duration::ZERO,
                1 << 20,
            )
            .await
            .unwrap();
        let results = page.results.into_iter().map(|result| ReadResult {
            item: result.instance_id,
            state: result.state,
            text: String::from_utf8(result.text.to_vec()).unwrap(),
        });
        results.collect()
    }
}
