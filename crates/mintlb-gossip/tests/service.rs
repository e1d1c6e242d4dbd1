//! [`GossipService`] over real sockets on the loopback interface.

use bytes::Bytes;
use mintlb_common::incarnation::Incarnation;
use mintlb_common::record::Record;
use mintlb_common::transport::Transport;
use mintlb_gossip::{GossipConfig, GossipService, Member, NotAcknowledged, Role};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// How long a test waits for anything.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Larger than the size limit of a message.
const BODY_BYTES: usize = 300_000;

async fn start_transports(count: usize) -> Vec<Arc<Transport>> {
    let mut transports = Vec::new();
    for _ in 0..count {
        let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
        transports.push(Transport::start(any_port).await.unwrap());
    }
    transports
}

fn start_service(
    transport: &Arc<Transport>,
    seeds: &[SocketAddr],
    number: usize,
) -> Arc<GossipService> {
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

async fn wait_until_joined(service: &GossipService) {
    timeout(TEST_TIMEOUT, service.wait_until_joined())
        .await
        .expect("joined");
}

fn record(key: &str, version: u64) -> Record {
    Record {
        key: key.into(),
        version,
        ttl_s: 0,
        body: Bytes::from(vec![7; BODY_BYTES]),
    }
}

fn version_of(service: &GossipService, key: &str) -> Option<u64> {
    service.get(key).map(|record| record.version)
}

/// The records that a subscriber receives, without their bodies.
struct Subscription {
    events: mpsc::UnboundedReceiver<(String, u64)>,
}

impl Subscription {
    fn to(service: &GossipService) -> Subscription {
        let (sender, events) = mpsc::unbounded_channel();
        service.subscribe(Arc::new(move |record: &Record| {
            sender.send((record.key.clone(), record.version)).ok();
        }));
        Subscription { events }
    }

    async fn expect(&mut self, key: &str, version: u64) {
        let expected = (key.to_string(), version);
        let received = async {
            while let Some(event) = self.events.recv().await {
                if event == expected {
                    return;
                }
            }
            panic!("the subscriber is gone");
        };
        timeout(TEST_TIMEOUT, received)
            .await
            .unwrap_or_else(|_| panic!("{key} {version} was not received"));
    }
}

#[tokio::test]
async fn records_reach_all_processes() {
    let transports = start_transports(6).await;
    let seeds: Vec<_> = transports[..3]
        .iter()
        .map(|transport| transport.local_address())
        .collect();
    let services: Vec<_> = (0..5)
        .rev()
        .map(|number| start_service(&transports[number], &seeds, number))
        .collect();
    for service in &services {
        wait_until_joined(service).await;
        assert!(*service.joined().borrow() && service.neighbors() > 0);
    }
    let mut subscriptions: Vec<_> = services
        .iter()
        .map(|service| Subscription::to(service))
        .collect();
    let published = services[2].publish(record("configuration", 3), TEST_TIMEOUT);
    assert_eq!(published.await, Ok(()));
    for subscription in &mut subscriptions {
        subscription.expect("configuration", 3).await;
    }
    // An older version changes nothing; the neighbors acknowledge it, because they have a newer
    // one.
    let published = services[2].publish(record("configuration", 2), TEST_TIMEOUT);
    assert_eq!(published.await, Ok(()));
    assert_eq!(
        services[2].get("configuration"),
        Some(record("configuration", 3))
    );
    // A snapshot does not change.
    let snapshot = services[0].snapshot();
    services[0].publish_now(record("configuration", 4));
    let version_in_snapshot = snapshot.get("configuration").map(|record| record.version);
    assert_eq!(version_in_snapshot, Some(3));
    let new_snapshot = services[0].snapshot();
    let version_in_snapshot = new_snapshot.get("configuration").map(|r| r.version);
    assert_eq!(version_in_snapshot, Some(4));
    for subscription in &mut subscriptions {
        subscription.expect("configuration", 4).await;
    }
    // A late process gets the whole table, and its subscriber the known records.
    let late = start_service(&transports[5], &seeds, 5);
    wait_until_joined(&late).await;
    assert_eq!(version_of(&late, "configuration"), Some(4));
    Subscription::to(&late).expect("configuration", 4).await;
    assert_eq!(late.snapshot().len(), 1);
    assert!(late.members().len() >= late.neighbors());
}

#[tokio::test]
async fn a_subscriber_may_publish() {
    let transports = start_transports(2).await;
    let seeds = [transports[0].local_address()];
    let one = start_service(&transports[0], &seeds, 0);
    let other = start_service(&transports[1], &seeds, 1);
    let publisher = Arc::downgrade(&other);
    other.subscribe(Arc::new(move |record: &Record| {
        if record.key == "question" {
            let answer = Record {
                key: "answer".into(),
                ..record.clone()
            };
            if let Some(service) = publisher.upgrade() {
                service.publish_now(answer);
            }
        }
    }));
    let mut subscription = Subscription::to(&one);
    one.publish_now(record("question", 1));
    subscription.expect("answer", 1).await;
}

#[tokio::test]
async fn a_publication_without_neighbors_is_not_acknowledged() {
    let transports = start_transports(1).await;
    let service = start_service(&transports[0], &[transports[0].local_address()], 0);
    let wait = Duration::from_millis(30);
    let published = service.publish(record("configuration", 1), wait).await;
    let expected = NotAcknowledged {
        key: "configuration".into(),
        version: 1,
        waited: wait,
    };
    assert_eq!(published, Err(expected));
    assert_eq!(version_of(&service, "configuration"), Some(1));
    assert!(!*service.joined().borrow());
}

/// A process on its own thread and runtime, which end together, as when it is killed.
struct Killable {
    service: Arc<GossipService>,
    incarnation: Incarnation,
    kill: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl Killable {
    /// Starts a process at this address and waits until it has joined.
    async fn start(address: SocketAddr, seeds: [SocketAddr; 1]) -> Killable {
        let (kill, killed) = oneshot::channel();
        let (started, when_started) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async {
                let transport = Transport::start(address).await.unwrap();
                let service = start_service(&transport, &seeds, 1);
                service.wait_until_joined().await;
                started.send((service, transport.incarnation())).ok();
                killed.await.ok();
            });
        });
        let (service, incarnation) = timeout(TEST_TIMEOUT, when_started)
            .await
            .expect("joined")
            .unwrap();
        Killable {
            service,
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
async fn a_process_that_restarts_at_its_address_becomes_a_neighbor_again() {
    let transport = start_transports(1).await.remove(0);
    let seeds = [transport.local_address()];
    let one = start_service(&transport, &seeds, 0);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let mut former = None;
    for version in 1..=4 {
        let process = Killable::start(address, seeds).await;
        assert_ne!(
            former.replace(process.incarnation),
            Some(process.incarnation)
        );
        let published = one.publish(record("configuration", version), TEST_TIMEOUT);
        assert_eq!(published.await, Ok(()));
        assert_eq!(version_of(&process.service, "configuration"), Some(version));
        let members = one.members();
        let known_incarnations_of = members.iter().find(|member| member.address == address);
        assert_eq!(
            known_incarnations_of.map(|member| member.incarnation),
            Some(process.incarnation)
        );
        process.kill();
    }
}
