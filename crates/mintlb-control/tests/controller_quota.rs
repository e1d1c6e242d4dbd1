//! Rate limits of tenants at a cluster of controllers.

mod controllers;

use bytes::Bytes;
use controllers::{Cluster, TEST_TIMEOUT};
use mintlb_common::transport::{CallError, Channel, Transport};
use mintlb_quota::messages::{AdmitRequest, AdmitResponse, RateLimit};
use mintlb_quota::slices::{Division, owners};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// As the settings of these controllers have it.
const DIVISION: Division = Division { slack: 20.0 };
const CONTROLLERS: usize = 3;
/// An owner goes on for this long after its last read of the replica set at a majority.
const MAX_TIME_WITHOUT_MAJORITY: Duration = Duration::from_secs(4);

/// A dispatcher's side of the questions.
struct Dispatcher {
    runtime: Runtime,
    transport: Arc<Transport>,
}

impl Dispatcher {
    fn new() -> Dispatcher {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let address = "127.0.0.1:0".parse().unwrap();
        let transport = runtime.block_on(Transport::start(address)).unwrap();
        Dispatcher { runtime, transport }
    }

    fn send(&self, owner: SocketAddr, body: Bytes) -> Result<Bytes, CallError> {
        let call = self
            .transport
            .call(owner, Channel::Quota, body, TEST_TIMEOUT);
        self.runtime.block_on(call)
    }

    fn ask(&self, owner: SocketAddr, tenant: &str, limit: RateLimit) -> AdmitResponse {
        let request = AdmitRequest {
            tenant: tenant.to_string(),
            limit,
        };
        let body = minicbor::to_vec(&request).unwrap();
        let response = self.send(owner, body.into()).expect("no response");
        minicbor::decode(&response).unwrap()
    }

    /// How many requests are admitted before the first that is not.
    fn admitted_at_once(&self, owner: SocketAddr, tenant: &str, limit: RateLimit) -> usize {
        (0..1000)
            .take_while(|_| self.ask(owner, tenant, limit) == AdmitResponse::Admitted)
            .count()
    }

    /// Asks until an owner owns something: its first read of the replica set is over then.
    fn wait_for_owner(&self, owner: SocketAddr, limit: RateLimit) {
        let until = Instant::now() + TEST_TIMEOUT;
        while self.ask(owner, "anyone", limit) == AdmitResponse::NotOwner {
            assert!(Instant::now() < until, "it never owns a slice");
        }
    }
}

fn limit(rate: f64, burst: f64) -> RateLimit {
    RateLimit {
        version: 1,
        rate,
        burst,
    }
}

/// A limit with a slice at each controller whose buckets fill within a tenth of a second.
fn fast_limit() -> RateLimit {
    limit(1000.0, 20.0)
}

fn address(cluster: &Cluster, index: usize) -> SocketAddr {
    let register = &cluster.at(index).register;
    let (set, own) = register.set().zip(register.replica_id()).unwrap();
    set.current_replica(own).unwrap().address.parse().unwrap()
}

fn replica_id(cluster: &Cluster, index: usize) -> u64 {
    cluster.at(index).register.replica_id().unwrap().0
}

/// The address of a controller that may not know the replica set yet.
fn address_of_restarted(cluster: &Cluster, index: usize, id: u64) -> SocketAddr {
    cluster.wait_for_set(index, CONTROLLERS, |_| true);
    assert_eq!(replica_id(cluster, index), id, "it has its disk");
    address(cluster, index)
}

/// Controllers that all own their slices.
fn serving_cluster(dispatcher: &Dispatcher) -> Cluster {
    let cluster = Cluster::of_size(CONTROLLERS);
    for index in 0..CONTROLLERS {
        dispatcher.wait_for_owner(address(&cluster, index), fast_limit());
    }
    cluster
}

#[test]
fn each_controller_responds_for_the_tenants_whose_slices_it_owns_and_for_no_others() {
    let dispatcher = Dispatcher::new();
    let cluster = serving_cluster(&dispatcher);
    let ids: Vec<u64> = (0..CONTROLLERS)
        .map(|index| replica_id(&cluster, index))
        .collect();
    // Two slices, by its rate.
    let limit = limit(2.0, 2.0);
    for tenant in (0..40).map(|number| format!("tenant-{number}")) {
        let owners = owners(&ids, &tenant, 2);
        for (index, id) in ids.iter().enumerate() {
            let response = dispatcher.ask(address(&cluster, index), &tenant, limit);
            let owns = response != AdmitResponse::NotOwner;
            assert_eq!(
                owns,
                owners.contains(id),
                "{tenant} at {index}: {response:?}"
            );
        }
    }
}

#[test]
fn all_owners_together_admit_the_burst_and_half_of_the_slack_at_most_at_once() {
    let dispatcher = Dispatcher::new();
    let cluster = serving_cluster(&dispatcher);
    // Three slices: each holds 4 tokens and gets 10 a second.
    let limit = limit(30.0, 2.0);
    let slices = DIVISION.slice_count(&limit, CONTROLLERS);
    assert_eq!(slices, CONTROLLERS);
    let bucket = DIVISION.slice_limit(&limit, slices);
    // Filling since the members were first known there, which is over.
    std::thread::sleep(Duration::from_secs_f64(bucket.burst / bucket.rate));
    let started = Instant::now();
    let admitted: usize = (0..CONTROLLERS)
        .map(|index| dispatcher.admitted_at_once(address(&cluster, index), "huka270", limit))
        .sum();
    let came_meanwhile = limit.rate * started.elapsed().as_secs_f64();
    let bursts = limit.burst + DIVISION.slack / 2.0;
    let bounds = bursts..=bursts + came_meanwhile;
    assert!(
        bounds.contains(&(admitted as f64)),
        "{admitted}: {bounds:?}"
    );
}

#[test]
fn a_controller_that_starts_anew_begins_with_empty_buckets() {
    let dispatcher = Dispatcher::new();
    let mut cluster = serving_cluster(&dispatcher);
    // A token comes in 30 s at each of two slices, and a slice holds more than 4.
    let slow = limit(1.0 / 15.0, 2.0);
    let ids: Vec<u64> = (0..CONTROLLERS)
        .map(|index| replica_id(&cluster, index))
        .collect();
    let tenant = (0..)
        .map(|number| format!("tenant-{number}"))
        .find(|tenant| owners(&ids, tenant, 2).contains(&ids[1]))
        .unwrap();
    cluster.kill(1);
    cluster.restart(1);
    // Without a connection to the former process.
    let dispatcher = Dispatcher::new();
    let owner = address_of_restarted(&cluster, 1, ids[1]);
    dispatcher.wait_for_owner(owner, fast_limit());
    let response = dispatcher.ask(owner, &tenant, slow);
    assert!(
        matches!(response, AdmitResponse::Rejected { .. }),
        "{response:?}"
    );
}

#[test]
fn a_controller_without_a_majority_owns_nothing_after_four_seconds() {
    let dispatcher = Dispatcher::new();
    let mut cluster = serving_cluster(&dispatcher);
    let owner = address(&cluster, 0);
    let killed = Instant::now();
    cluster.kill(1);
    cluster.kill(2);
    let others_ended = Instant::now();
    // A single failed read of the replica set takes no slice away.
    let mut last_owned = Instant::now();
    while dispatcher.ask(owner, "huka270", fast_limit()) != AdmitResponse::NotOwner {
        last_owned = Instant::now();
        let went_on = last_owned - others_ended;
        assert!(went_on < MAX_TIME_WITHOUT_MAJORITY, "{went_on:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
    // It reads the replica set each second.
    let went_on = last_owned - killed;
    let shortest = MAX_TIME_WITHOUT_MAJORITY - Duration::from_millis(1500);
    assert!(went_on > shortest, "only for {went_on:?}");
    // For good: there is nobody to read the replica set from.
    let response = dispatcher.ask(owner, "huka270", fast_limit());
    assert_eq!(response, AdmitResponse::NotOwner);
}

#[test]
fn a_request_that_cannot_be_decoded_gets_an_empty_response_and_others_are_served() {
    let dispatcher = Dispatcher::new();
    let cluster = serving_cluster(&dispatcher);
    let owner = address(&cluster, 0);
    for body in [&b"\xff\x00"[..], b"", b"\x82\x61"] {
        let response = dispatcher.send(owner, Bytes::from_static(body));
        assert_eq!(response, Err(CallError::NotUnderstood), "{body:?}");
    }
    let response = dispatcher.ask(owner, "huka270", fast_limit());
    assert_ne!(response, AdmitResponse::NotOwner);
}
