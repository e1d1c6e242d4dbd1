//! Stores with real files and real connections on this machine, and the client of dispatchers.

use bytes::Bytes;
use mintlb_control::store::calls::{Store, StoreService};
use mintlb_control::store::disk::{LotDisk, Opened, Writer};
use mintlb_lots::client::{
    BodyOutcome, EndOutcome, HeldLot, Item, ItemResult, LotClient, ReadOutcome, Submission, SubmitOutcome,
};
use mintlb_lots::entry::{ItemState, LotTerms};
use mintlb_lots::replica::{ReplicaSettings, TICK};
use mintlb_tier::placement::{Placement, SHARD_COUNT, ShardAssignment, StoreEntry, StoreId};
use mintlb_tier::transport::{Channel, Transport};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;
use tokio::task::JoinHandle;

const HOST: &str = "batch.example";
const WITHIN: Duration = Duration::from_secs(10);

struct Node {
    store: Arc<Store>,
    address: SocketAddr,
    id: StoreId,
    task: JoinHandle<()>,
}

impl Node {
    async fn start(directory: &Path, draw: u64) -> Node {
        let (disk, shards) = LotDisk::open(directory, draw).unwrap();
        let transport = Transport::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let address = transport.own_address();
        let settings = ReplicaSettings { own: disk.id(), tolerance: 1, status: Duration::from_secs(120) };
        let (committed, mut commits) = tokio::sync::mpsc::unbounded_channel();
        let writer = Writer::start(disk.clone(), committed).unwrap();
        let id = disk.id();
        let store = Store::new(transport.clone(), Opened { disk, writer, shards }, settings, 1 << 30, draw);
        transport.serve(Channel::Lots, Arc::new(StoreService(store.clone())));
        let driven = store.clone();
        let task = tokio::spawn(async move {
            let mut ticks = tokio::time::interval(TICK);
            loop {
                tokio::select! {
                    batch = commits.recv() => driven.synced(batch.unwrap().unwrap()),
                    _ = ticks.tick() => driven.tick(),
                }
            }
        });
        Node { store, address, id, task }
    }
}

fn placement(nodes: &[Node], epoch: u64, order: &[usize], previous: &[usize]) -> Placement {
    let ids = |order: &[usize]| order.iter().map(|i| nodes[*i].id).collect::<Vec<_>>();
    let stores = nodes.iter().map(|node| StoreEntry {
        id: node.id,
        node_name: format!("store-{}", node.id),
        address: node.address.to_string(),
        zone: "z".to_string(),
        retiring: false,
    });
    let settled = Some(epoch - 1);
    let shard = ShardAssignment { epoch, replicas: ids(order), previous: ids(previous), settled };
    Placement { epoch, stores: stores.collect(), shards: vec![shard; SHARD_COUNT as usize] }
}

fn lot(id: &str, items: usize, max_queued_tokens: u64) -> Submission {
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
        lot_id: id.to_string(),
        terms: LotTerms { sent_at_ms: 1, completion_target_ms: 5000, retention_ms: 60_000, max_attempts: 3 },
        max_queued_tokens,
        items: items.collect(),
    }
}

struct Cluster {
    nodes: Vec<Node>,
    directories: Vec<TempDir>,
    placement: Arc<Mutex<Arc<Placement>>>,
    client: LotClient,
}

impl Cluster {
    async fn start(count: usize) -> Cluster {
        let directories: Vec<TempDir> = (0..count).map(|_| tempfile::tempdir().unwrap()).collect();
        let mut nodes = Vec::new();
        for (i, directory) in directories.iter().enumerate() {
            nodes.push(Node::start(directory.path(), i as u64 + 1).await);
        }
        let placement = Arc::new(Mutex::new(Arc::new(Placement::default())));
        let transport = Transport::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
        let known = placement.clone();
        let client = LotClient::new(transport, Arc::new(move || known.lock().clone()));
        Cluster { nodes, directories, placement, client }
    }

    fn place(&self, placement: Placement) {
        self.nodes.iter().for_each(|node| node.store.set_placement(placement.clone()));
        *self.placement.lock() = Arc::new(placement);
    }

    async fn in_charge(&self, node: usize, epoch: u64) {
        let store = &self.nodes[node].store;
        let all = |store: &Store| {
            let (reports, _) = store.report();
            reports.len() == SHARD_COUNT as usize && reports.iter().all(|r| r.in_charge && r.epoch == epoch)
        };
        while !all(store) {
            tokio::time::timeout(WITHIN, store.report_changed().notified()).await.unwrap();
        }
    }

    async fn texts(&self, id: &str, start: u64) -> Vec<(String, ItemState, String)> {
        match self.client.read(HOST, id, start, Duration::ZERO, 1 << 20).await {
            ReadOutcome::Page { results, .. } => results
                .into_iter()
                .map(|r| (r.instance_id, r.state, String::from_utf8(r.text.to_vec()).unwrap()))
                .collect(),
            other => panic!("{other:?}"),
        }
    }
}

#[tokio::test]
async fn a_lot_is_taken_run_read_and_ended() {
    let cluster = Cluster::start(3).await;
    cluster.place(placement(&cluster.nodes, 1, &[0, 1, 2], &[]));
    let client = &cluster.client;
    let first = client.submit(lot("a", 3, 500), 7, WITHIN).await;
    assert_eq!(first, SubmitOutcome::Accepted { items_leased: true });
    assert_eq!(
        client.submit(lot("a", 3, 500), 7, WITHIN).await,
        SubmitOutcome::Accepted { items_leased: true }
    );
    assert_eq!(
        client.submit(lot("a", 3, 500), 8, WITHIN).await,
        SubmitOutcome::Accepted { items_leased: false }
    );
    assert_eq!(client.submit(lot("a", 4, 500), 8, WITHIN).await, SubmitOutcome::Conflict);
    assert_eq!(client.submit(lot("b", 3, 500), 8, WITHIN).await, SubmitOutcome::QuotaFull);
    assert_eq!(
        client.submit(lot("b", 2, 500), 8, WITHIN).await,
        SubmitOutcome::Accepted { items_leased: true }
    );

    assert!(client.record(HOST, "a", 2, ItemResult::Completed("two".into())).await);
    assert!(client.record(HOST, "a", 2, ItemResult::Completed("again".into())).await);
    assert!(client.record(HOST, "a", 0, ItemResult::Unrecoverable).await);
    let expected = vec![
        ("a-2".to_string(), ItemState::Completed, "two".to_string()),
        ("a-0".to_string(), ItemState::Unrecoverable, String::new()),
    ];
    assert_eq!(cluster.texts("a", 0).await, expected);
    assert_eq!(cluster.texts("a", 1).await, expected[1..]);

    assert_eq!(client.body(HOST, "a", "a-1").await, BodyOutcome::Body(Bytes::from(vec![1; 5000])));
    assert_eq!(client.body(HOST, "a", "a-2").await, BodyOutcome::Unknown);
    assert_eq!(client.read(HOST, "x", 0, Duration::ZERO, 1000).await, ReadOutcome::Unknown);

    let held = HeldLot { host: HOST.to_string(), lot_id: "a".to_string(), items: vec![1, 2] };
    let lost = client.renew(7, vec![held.clone()]).await;
    assert_eq!(lost, vec![HeldLot { items: vec![2], ..held.clone() }]);
    assert_eq!(client.lease(9, 10).await, vec![], "all items are leased");
    client.release(7).await;

    assert_eq!(client.end(HOST, "a").await, EndOutcome::Ended);
    assert_eq!(client.end(HOST, "a").await, EndOutcome::Ended);
    assert_eq!(client.end(HOST, "x").await, EndOutcome::Unknown);
    assert_eq!(client.body(HOST, "a", "a-1").await, BodyOutcome::Unknown);
    assert_eq!(client.renew(7, vec![held.clone()]).await, vec![held]);
    assert_eq!(cluster.texts("a", 0).await, expected);
}

#[tokio::test]
async fn another_store_takes_over_and_a_restarted_one_goes_on() {
    let mut cluster = Cluster::start(3).await;
    cluster.place(placement(&cluster.nodes, 1, &[0, 1, 2], &[]));
    let accepted = SubmitOutcome::Accepted { items_leased: true };
    assert_eq!(cluster.client.submit(lot("a", 3, 0), 7, WITHIN).await, accepted);
    assert!(cluster.client.record(HOST, "a", 1, ItemResult::Completed("one".into())).await);

    cluster.nodes[0].task.abort();
    let taken_over = placement(&cluster.nodes, 2, &[1, 2, 0], &[0, 1, 2]);
    cluster.nodes[1].store.set_placement(taken_over.clone());
    cluster.nodes[2].store.set_placement(taken_over);
    cluster.in_charge(1, 2).await;
    let settled = placement(&cluster.nodes, 2, &[1, 2, 0], &[]);
    cluster.place(Placement { epoch: 3, ..settled });

    assert_eq!(
        cluster.texts("a", 0).await,
        vec![("a-1".to_string(), ItemState::Completed, "one".to_string())]
    );
    assert_eq!(cluster.client.body(HOST, "a", "a-2").await, BodyOutcome::Body(Bytes::from(vec![2; 5000])));
    assert_eq!(cluster.client.submit(lot("b", 3, 0), 7, WITHIN).await, accepted);

    // The first two come back with their disks under new addresses.
    let old: Vec<Node> = cluster.nodes.drain(..2).collect();
    old.iter().for_each(|node| node.task.abort());
    drop(old);
    for i in 0..2 {
        let directory = cluster.directories[i].path().to_path_buf();
        let copy = cluster.directories[i].path().join("copy");
        std::fs::create_dir(&copy).unwrap();
        std::fs::copy(directory.join("lots.redb"), copy.join("lots.redb")).unwrap();
        let node = Node::start(&copy, 99).await;
        cluster.nodes.insert(i, node);
    }
    let settled = placement(&cluster.nodes, 2, &[1, 2, 0], &[]);
    cluster.place(Placement { epoch: 4, ..settled });
    assert_eq!(
        cluster.texts("a", 0).await,
        vec![("a-1".to_string(), ItemState::Completed, "one".to_string())]
    );
    assert!(cluster.client.record(HOST, "b", 0, ItemResult::Completed("b".into())).await);
    assert_eq!(cluster.texts("b", 0).await.len(), 1);
}
