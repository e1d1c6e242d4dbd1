//! Admission while an owner of the rate limit is unresponsive, or while the dispatcher gets no CPU time.

use bytes::Bytes;
use mintlb_common::record::{REPLICAS, Record};
use mintlb_common::transport::{Channel, ResponseFuture, Service, Transport};
use mintlb_dispatcher::admission::{Admission, RateLimiter};
use mintlb_dispatcher::quota_client::QuotaClient;
use mintlb_dispatcher::tenants::TenantSettings;
use mintlb_quota::messages::{AdmitResponse, RateLimit};
use mintlb_quota::slices::Division;
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// A quarter of a latency target of 200 ms.
const TIME_LIMIT: Duration = Duration::from_millis(50);

/// An owner that admits every request.
struct AdmittingOwner;
impl Service for AdmittingOwner {
    fn on_request(&self, _: SocketAddr, _: Bytes) -> ResponseFuture {
        Box::pin(async { minicbor::to_vec(AdmitResponse::Admitted).unwrap().into() })
    }
}

fn replica(id: u64, address: SocketAddr) -> Replica {
    Replica {
        id: ReplicaId(id),
        address: address.to_string(),
        node_name: format!("n{id}"),
        zone: "a".into(),
        region: None,
        counts_toward_quorum: None,
    }
}

fn record(current: Vec<Replica>) -> Record {
    let set = ReplicaSet {
        epoch: 1,
        previous: Vec::new(),
        current,
        tolerance: None,
    };
    Record {
        key: REPLICAS.into(),
        version: 1,
        ttl_s: 0,
        body: minicbor::to_vec(&set).unwrap().into(),
    }
}

fn tenant() -> TenantSettings {
    TenantSettings {
        name: "acme".into(),
        priority: None,
        limit: Some(RateLimit {
            version: 1,
            rate: 100.0,
            burst: 100.0,
        }),
    }
}

/// Eight of nine owners respond; the connection to one is accepted by the kernel, but gets no response.
#[tokio::test]
async fn one_unresponsive_owner_causes_no_rejection() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let unresponsive = TcpListener::bind(any).await.unwrap();
    let mut transports = Vec::new();
    let mut replicas = vec![replica(1, unresponsive.local_addr().unwrap())];
    for id in 2..10 {
        let transport = Transport::start(any).await.unwrap();
        transport.register_service(Channel::Quota, Arc::new(AdmittingOwner));
        replicas.push(replica(id, transport.local_address()));
        transports.push(transport);
    }
    let record = record(replicas);
    let (mut rejected, mut all) = (0, 0);
    for seed in 0..60 {
        let client = QuotaClient::new(
            Transport::start(any).await.unwrap(),
            Division { slack: 20.0 },
            seed,
        );
        client.apply_record(&record);
        for _ in 0..3 {
            all += 1;
            let started = std::time::Instant::now();
            let admission = client.admit(&tenant(), TIME_LIMIT).await;
            if admission != Admission::Admitted {
                rejected += 1;
                println!("seed {seed}: {admission:?} after {:?}", started.elapsed());
            }
        }
    }
    assert_eq!(
        rejected, 0,
        "rejections of {all} requests, although eight of nine owners respond at once"
    );
}

/// The owner's response has arrived, but the dispatcher gets no CPU time for 110 ms, so that it sees the response only after
/// its time limit.
#[test]
fn response_received_while_the_dispatcher_had_no_cpu_time_counts() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let (address_sender, addresses) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        runtime.block_on(async move {
            let transport = Transport::start(any).await.unwrap();
            transport.register_service(Channel::Quota, Arc::new(AdmittingOwner));
            address_sender.send(transport.local_address()).unwrap();
            std::future::pending::<()>().await;
        })
    });
    let address = addresses.recv().unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async move {
        let client = Arc::new(QuotaClient::new(
            Transport::start(any).await.unwrap(),
            Division { slack: 20.0 },
            1,
        ));
        client.apply_record(&record(vec![replica(1, address)]));
        // Opens the connection to the owner.
        assert_eq!(
            client.admit(&tenant(), Duration::from_secs(1)).await,
            Admission::Admitted
        );
        let mut unavailable = 0;
        for _ in 0..6 {
            let calling_client = client.clone();
            let admission =
                tokio::spawn(async move { calling_client.admit(&tenant(), TIME_LIMIT).await });
            // Lets the client send its call.
            for _ in 0..20 {
                tokio::task::yield_now().await;
            }
            std::thread::sleep(Duration::from_millis(110));
            unavailable += usize::from(admission.await.unwrap() != Admission::Admitted);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(
            unavailable, 0,
            "undecided of 6, although the response arrived within a millisecond"
        );
    });
}
