//! The overlay over real sockets on the loopback.

use bytes::Bytes;
use mintlb_common::incarnation::Incarnation;
use mintlb_common::record::Record;
use mintlb_common::transport::Transport;
use mintlb_gossip::{GossipConfig, GossipService, Member, Role};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(10);

async fn transports(count: usize) -> Vec<Arc<Transport>> {
    let mut transports = Vec::new();
    for _ in 0..count {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        transports.push(Transport::start(any).await.unwrap());
    }
    transports
}

fn start(transport: &Arc<Transport>, seeds: &[SocketAddr], number: usize) -> Arc<GossipService> {
    let member = Member {
        address: transport.local_address(),
        incarnation: transport.incarnation(),
        role: Role::Controller,
        node_name: format!("machine{number}"),
        zone: format!("zone{}", number % 2),
    };
    GossipService::start(GossipConfig {
        transport: transport.clone(),
        seeds: seeds.to_vec(),
        member,
    })
}

fn record(key: &str, version: u64) -> Record {
    Record {
        key: key.into(),
        version,
        ttl_s: 0,
        body: Bytes::from(vec![7; 300_000]),
    }
}

async fn expect_record(
    events: &mut mpsc::UnboundedReceiver<(String, u64)>,
    key: &str,
    version: u64,
) {
    let wanted = async {
        while let Some((received, at)) = events.recv().await {
            if received == key && at == version {
                return;
            }
        }
        panic!("the listener is gone");
    };
    timeout(PATIENCE, wanted)
        .await
        .unwrap_or_else(|_| panic!("{key} {version} has not come"));
}

#[tokio::test]
async fn records_pass_between_processes() {
    let transports = transports(6).await;
    let seeds: Vec<_> = transports[..3]
        .iter()
        .map(|transport| transport.local_address())
        .collect();
    let gossips: Vec<_> = (0..5)
        .rev()
        .map(|number| start(&transports[number], &seeds, number))
        .collect();
    for gossip in &gossips {
        timeout(PATIENCE, gossip.wait_until_joined())
            .await
            .expect("joined");
        assert!(*gossip.joined().borrow() && gossip.neighbors() > 0);
    }
    let mut events: Vec<_> = Vec::new();
    for gossip in &gossips {
        let (sender, receiver) = mpsc::unbounded_channel();
        gossip.subscribe(Arc::new(move |record: &Record| {
            sender.send((record.key.clone(), record.version)).ok();
        }));
        events.push(receiver);
    }
    assert!(
        gossips[2]
            .publish(record("configuration", 3), PATIENCE)
            .await
    );
    for events in &mut events {
        expect_record(events, "configuration", 3).await;
    }
    // An older version is a no-op; that neighbours have a newer one confirms it.
    assert!(
        gossips[2]
            .publish(record("configuration", 2), PATIENCE)
            .await
    );
    assert_eq!(
        gossips[2].get("configuration"),
        Some(record("configuration", 3))
    );
    // A snapshot stays as it is.
    let snapshot = gossips[0].snapshot();
    gossips[0].publish_now(record("configuration", 4));
    assert_eq!(
        snapshot.get("configuration").map(|record| record.version),
        Some(3)
    );
    assert_eq!(
        gossips[0]
            .snapshot()
            .get("configuration")
            .map(|record| record.version),
        Some(4)
    );
    for events in &mut events {
        expect_record(events, "configuration", 4).await;
    }
    // A latecomer gets everything, and its listener is told of what is known.
    let late = start(&transports[5], &seeds, 5);
    timeout(PATIENCE, late.wait_until_joined())
        .await
        .expect("joined");
    assert_eq!(
        late.get("configuration").map(|record| record.version),
        Some(4)
    );
    let (sender, mut receiver) = mpsc::unbounded_channel();
    late.subscribe(Arc::new(move |record: &Record| {
        sender.send((record.key.clone(), record.version)).ok();
    }));
    expect_record(&mut receiver, "configuration", 4).await;
    assert_eq!(late.snapshot().len(), 1);
    assert!(late.members().len() >= late.neighbors());
}

#[tokio::test]
async fn a_listener_may_publish() {
    let transports = transports(2).await;
    let seeds = [transports[0].local_address()];
    let (one, other) = (
        start(&transports[0], &seeds, 0),
        start(&transports[1], &seeds, 1),
    );
    let publisher = Arc::downgrade(&other);
    other.subscribe(Arc::new(move |record: &Record| {
        if record.key == "question" {
            let reply = Record {
                key: "answer".into(),
                ..record.clone()
            };
            publisher
                .upgrade()
                .into_iter()
                .for_each(|gossip| gossip.publish_now(reply.clone()));
        }
    }));
    let (sender, mut receiver) = mpsc::unbounded_channel();
    one.subscribe(Arc::new(move |record: &Record| {
        sender.send((record.key.clone(), record.version)).ok();
    }));
    one.publish_now(record("question", 1));
    expect_record(&mut receiver, "answer", 1).await;
}

#[tokio::test]
async fn a_lonely_publication_is_not_confirmed() {
    let transports = transports(1).await;
    let gossip = start(&transports[0], &[transports[0].local_address()], 0);
    assert!(
        !gossip
            .publish(record("configuration", 1), Duration::from_millis(30))
            .await
    );
    assert_eq!(
        gossip.get("configuration").map(|record| record.version),
        Some(1)
    );
    assert!(!*gossip.joined().borrow());
}

/// A process on a thread of its own, which ends with its runtime, as one that is killed.
struct Killable {
    gossip: Arc<GossipService>,
    incarnation: Incarnation,
    kill: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl Killable {
    /// Starts a process at this address and waits until it has joined.
    async fn start(address: SocketAddr, seeds: [SocketAddr; 1]) -> Killable {
        let (kill, killed) = oneshot::channel();
        let (tell, told) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let transport = Transport::start(address).await.unwrap();
                let gossip = start(&transport, &seeds, 1);
                gossip.wait_until_joined().await;
                tell.send((gossip, transport.incarnation())).ok();
                killed.await.ok();
            });
        });
        let (gossip, incarnation) = timeout(PATIENCE, told).await.expect("joined").unwrap();
        Killable {
            gossip,
            incarnation,
            kill,
            thread,
        }
    }

    fn kill(self) {
        self.kill.send(()).unwrap();
        self.thread.join().unwrap();
    }
}

#[tokio::test]
async fn a_process_that_is_restarted_at_its_address_is_linked_again() {
    let transport = transports(1).await.remove(0);
    let seeds = [transport.local_address()];
    let one = start(&transport, &seeds, 0);
    let address = TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let mut former = None;
    for version in 1..=4 {
        let process = Killable::start(address, seeds).await;
        assert_ne!(
            former.replace(process.incarnation),
            Some(process.incarnation)
        );
        assert!(
            one.publish(record("configuration", version), PATIENCE)
                .await,
            "not confirmed"
        );
        assert_eq!(
            process
                .gossip
                .get("configuration")
                .map(|record| record.version),
            Some(version)
        );
        let known = one
            .members()
            .into_iter()
            .find(|member| member.address == address);
        assert_eq!(
            known.map(|member| member.incarnation),
            Some(process.incarnation)
        );
        process.kill();
    }
}
