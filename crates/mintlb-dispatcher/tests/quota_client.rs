//! The quota client against owners of rate limits on loopback whose responses a test determines.

use bytes::Bytes;
use mintlb_common::record::{PLACEMENT, REPLICAS, Record};
use mintlb_common::transport::{Channel, ResponseFuture, Service, Transport};
use mintlb_dispatcher::admission::{Admission, RateLimiter};
use mintlb_dispatcher::quota_client::QuotaClient;
use mintlb_dispatcher::tenants::TenantSettings;
use mintlb_quota::messages::{AdmitRequest, AdmitResponse, RateLimit};
use mintlb_quota::slices::{Division, owners};
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::time::Instant;

const DIVISION: Division = Division { slack: 20.0 };
const TENANT: &str = "huka270";
/// A time limit that is ample for any number of responsive owners.
const AMPLE_TIME_LIMIT: Duration = Duration::from_secs(10);
/// A time limit in which more than three owners could be called, one each 20 ms.
const SHORT_TIME_LIMIT: Duration = Duration::from_millis(150);
/// The step by which the paused clock is advanced while a request is being decided.
const CLOCK_STEP: Duration = Duration::from_millis(5);
/// Number of yields to the runtime after which all received bytes are handled, as owners and client share its thread.
const YIELDS_UNTIL_IDLE: usize = 100;
/// The next owner is called as well if one has not responded for this long.
const HEDGE_DELAY: Duration = Duration::from_millis(20);
/// A test that has waited for this long with a paused clock hangs.
const HANG: Duration = Duration::from_secs(5);
/// How long an owner is suspected to be down.
const SUSPECT_DURATION: Duration = Duration::from_millis(1000);
/// How long a rejection is cached.
const REJECTION_CACHE_TTL: Duration = Duration::from_millis(50);

/// How an owner responds to a call.
#[derive(Clone, Copy)]
enum OwnerBehavior {
    Respond(AdmitResponse),
    Bytes(&'static [u8]),
    NoResponse,
}

const ADMITTED: OwnerBehavior = OwnerBehavior::Respond(AdmitResponse::Admitted);
const NOT_OWNER: OwnerBehavior = OwnerBehavior::Respond(AdmitResponse::NotOwner);

fn rejects(retry_after_ms: u32) -> OwnerBehavior {
    OwnerBehavior::Respond(AdmitResponse::Rejected { retry_after_ms })
}

/// The quota channel of an owner.
struct Owner {
    address: SocketAddr,
    behavior: Mutex<OwnerBehavior>,
    calls: Mutex<Vec<AdmitRequest>>,
}

impl Owner {
    async fn start(behavior: OwnerBehavior) -> Arc<Owner> {
        Owner::start_at("127.0.0.1:0".parse().unwrap(), behavior).await
    }

    async fn start_at(address: SocketAddr, behavior: OwnerBehavior) -> Arc<Owner> {
        let transport = Transport::start(address).await.unwrap();
        let owner = Arc::new(Owner {
            address: transport.local_address(),
            behavior: Mutex::new(behavior),
            calls: Mutex::default(),
        });
        transport.register_service(Channel::Quota, Arc::new(OwnerService(owner.clone())));
        owner
    }

    async fn start_all(behaviors: &[OwnerBehavior]) -> Vec<Arc<Owner>> {
        let mut owners = Vec::new();
        for behavior in behaviors {
            owners.push(Owner::start(*behavior).await);
        }
        owners
    }

    fn set_behavior(&self, behavior: OwnerBehavior) {
        *self.behavior.lock() = behavior;
    }

    /// Returns the number of calls since the last time and resets it.
    fn take_calls(&self) -> usize {
        std::mem::take(&mut *self.calls.lock()).len()
    }
}

struct OwnerService(Arc<Owner>);

impl Service for OwnerService {
    fn on_request(&self, _from: SocketAddr, body: Bytes) -> ResponseFuture {
        let call = minicbor::decode(&body).expect("the call can't be decoded");
        self.0.calls.lock().push(call);
        match *self.0.behavior.lock() {
            OwnerBehavior::Respond(response) => {
                let body = minicbor::to_vec(response).unwrap();
                Box::pin(async { body.into() })
            }
            OwnerBehavior::Bytes(bytes) => Box::pin(async move { Bytes::from_static(bytes) }),
            OwnerBehavior::NoResponse => Box::pin(std::future::pending()),
        }
    }
}

fn take_calls(owners: &[Arc<Owner>]) -> Vec<usize> {
    owners.iter().map(|owner| owner.take_calls()).collect()
}

fn addresses(owners: &[Arc<Owner>]) -> Vec<SocketAddr> {
    owners.iter().map(|owner| owner.address).collect()
}

/// Replicas at these addresses, with consecutive ids.
fn replicas(addresses: &[SocketAddr], first_id: u64) -> Vec<Replica> {
    let replica = |(index, address): (usize, &SocketAddr)| Replica {
        id: ReplicaId(index as u64 + first_id),
        address: address.to_string(),
        node_name: format!("edge-{index}"),
        zone: "a".to_string(),
        region: None,
        counts_toward_quorum: None,
    };
    addresses.iter().enumerate().map(replica).collect()
}

fn record(epoch: u64, previous: &[SocketAddr], current: &[SocketAddr]) -> Record {
    let set = ReplicaSet {
        epoch,
        previous: replicas(previous, 101),
        current: replicas(current, 1),
        tolerance: None,
    };
    Record {
        key: REPLICAS.to_string(),
        version: epoch,
        ttl_s: 0,
        body: minicbor::to_vec(&set).unwrap().into(),
    }
}

async fn client_without_owners(seed: u64) -> QuotaClient {
    let transport = Transport::start("127.0.0.1:0".parse().unwrap()).await;
    QuotaClient::new(transport.unwrap(), DIVISION, seed)
}

async fn client_of(addresses: &[SocketAddr]) -> QuotaClient {
    let client = client_without_owners(7).await;
    client.apply_record(&record(1, &[], addresses));
    client
}

fn limit(rate: f64) -> RateLimit {
    RateLimit {
        version: 3,
        rate,
        burst: rate,
    }
}

fn tenant_settings(name: &str, limit: Option<RateLimit>) -> TenantSettings {
    TenantSettings {
        name: name.to_string(),
        priority: None,
        limit,
    }
}

/// A request of [`TENANT`], whose limit has a slice at each owner.
async fn admit(client: &QuotaClient, time_limit: Duration) -> Admission {
    client
        .admit(&tenant_settings(TENANT, Some(limit(100.0))), time_limit)
        .await
}

/// Decides a request while the clock advances in steps, each after all received bytes are handled. Returns the decision and
/// the time that it took by this clock, which does not depend on the load of the machine.
async fn admit_in_steps(
    clock: &PausedClock,
    client: &Arc<QuotaClient>,
    time_limit: Duration,
) -> (Admission, Duration) {
    let started = Instant::now();
    let calling_client = client.clone();
    let admission = tokio::spawn(async move { admit(&calling_client, time_limit).await });
    loop {
        for _ in 0..YIELDS_UNTIL_IDLE {
            tokio::task::yield_now().await;
        }
        if admission.is_finished() {
            return (admission.await.unwrap(), started.elapsed());
        }
        assert!(
            started.elapsed() < HANG,
            "the request was not decided in time"
        );
        clock.advance(CLOCK_STEP).await;
    }
}

/// Pauses the clock while it exists, so that responses arrive in time on a busy machine.
struct PausedClock(std::sync::mpsc::Sender<()>);

impl PausedClock {
    fn new() -> PausedClock {
        tokio::time::pause();
        // The paused clock does not advance by itself while a blocking task runs. The task ends after a time, so that a
        // test that hangs because of a fault fails.
        let (end, ended) = std::sync::mpsc::channel();
        tokio::task::spawn_blocking(move || ended.recv_timeout(HANG).ok());
        PausedClock(end)
    }

    /// Advances the clock by this time, and runs the tasks whose timers have fired, such as a link that waits before it
    /// connects again.
    async fn advance(&self, time: Duration) {
        tokio::time::advance(time + Duration::from_millis(1)).await;
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
    }
}

impl Drop for PausedClock {
    fn drop(&mut self) {
        self.0.send(()).ok();
    }
}

/// An address on which nothing listens.
struct ClosedAddress {
    address: SocketAddr,
    /// Bound so that no other process gets the port, but not listening.
    _socket: TcpSocket,
}

impl ClosedAddress {
    fn reserve() -> ClosedAddress {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        ClosedAddress {
            address: socket.local_addr().unwrap(),
            _socket: socket,
        }
    }
}

#[tokio::test]
async fn admitted_request_needs_one_call_with_its_tenant_and_limit() {
    let _clock = PausedClock::new();
    let owners = Owner::start_all(&[ADMITTED; 3]).await;
    let client = client_of(&addresses(&owners)).await;
    assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
    let calls: Vec<AdmitRequest> = owners
        .iter()
        .flat_map(|owner| owner.calls.lock().clone())
        .collect();
    let expected = AdmitRequest {
        tenant: TENANT.to_string(),
        limit: limit(100.0),
    };
    assert_eq!(calls, [expected]);
}

#[tokio::test]
async fn tenant_without_a_limit_is_admitted_without_a_call() {
    let _clock = PausedClock::new();
    let owners = Owner::start_all(&[rejects(1000); 3]).await;
    let client = client_of(&addresses(&owners)).await;
    let admission = client
        .admit(&tenant_settings(TENANT, None), AMPLE_TIME_LIMIT)
        .await;
    assert_eq!(admission, Admission::Admitted);
    assert_eq!(take_calls(&owners), [0, 0, 0]);
}

#[tokio::test]
async fn exactly_the_owners_of_the_tenants_slices_are_called() {
    let _clock = PausedClock::new();
    let processes = Owner::start_all(&[ADMITTED; 5]).await;
    let client = client_of(&addresses(&processes)).await;
    for number in 0..20 {
        let tenant = format!("tenant-{number}");
        // This rate gives two slices.
        let settings = tenant_settings(&tenant, Some(limit(2.0)));
        for _ in 0..30 {
            assert_eq!(
                client.admit(&settings, AMPLE_TIME_LIMIT).await,
                Admission::Admitted
            );
        }
        let owners = owners(&[1, 2, 3, 4, 5], &tenant, 2);
        for (index, calls) in take_calls(&processes).into_iter().enumerate() {
            let owns = owners.contains(&(index as u64 + 1));
            let expected = if owns { 3..=27 } else { 0..=0 };
            assert!(expected.contains(&calls), "{tenant}: {calls}");
        }
    }
}

#[tokio::test]
async fn calls_spread_evenly_over_the_owners() {
    let _clock = PausedClock::new();
    let owners = Owner::start_all(&[ADMITTED; 5]).await;
    let client = client_of(&addresses(&owners)).await;
    for _ in 0..500 {
        assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
    }
    // 100 on average, with a standard deviation of 9.
    let calls = take_calls(&owners);
    assert!(
        calls.iter().all(|count| (55..=145).contains(count)),
        "{calls:?}"
    );
}

#[tokio::test]
async fn dispatchers_with_different_seeds_start_at_different_owners() {
    let _clock = PausedClock::new();
    let owners = Owner::start_all(&[ADMITTED; 5]).await;
    for seed in 0..40 {
        let client = client_without_owners(seed * 7919 + 1).await;
        client.apply_record(&record(1, &[], &addresses(&owners)));
        for _ in 0..5 {
            assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
        }
    }
    let calls = take_calls(&owners);
    assert!(calls.iter().all(|count| *count >= 10), "{calls:?}");
}

#[tokio::test]
async fn next_owner_is_called_after_a_rejection() {
    let _clock = PausedClock::new();
    let owners = Owner::start_all(&[rejects(1), ADMITTED, rejects(1)]).await;
    let client = client_of(&addresses(&owners)).await;
    for _ in 0..30 {
        assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
    }
    let calls = take_calls(&owners);
    assert_eq!(calls[1], 30);
    assert!(calls[0] > 0 && calls[2] > 0, "{calls:?}");
}

#[tokio::test]
async fn rejection_by_all_owners_has_the_earliest_retry_after() {
    let clock = PausedClock::new();
    // A slice of a third of 100 requests per second gets a token within 30 ms, so no owner counts as overloaded.
    let owners = Owner::start_all(&[rejects(20), rejects(10), rejects(30)]).await;
    let client = client_of(&addresses(&owners)).await;
    for _ in 0..6 {
        let retry_after = Duration::from_millis(10);
        assert_eq!(
            admit(&client, AMPLE_TIME_LIMIT).await,
            Admission::Rejected { retry_after }
        );
        assert_eq!(take_calls(&owners), [1, 1, 1]);
        clock.advance(REJECTION_CACHE_TTL).await;
    }
}

#[tokio::test]
async fn two_overloaded_owners_end_the_calls() {
    let clock = PausedClock::new();
    let owners = Owner::start_all(&[rejects(700); 5]).await;
    let client = client_of(&addresses(&owners)).await;
    for _ in 0..6 {
        let retry_after = Duration::from_millis(700);
        assert_eq!(
            admit(&client, AMPLE_TIME_LIMIT).await,
            Admission::Rejected { retry_after }
        );
        assert_eq!(take_calls(&owners).into_iter().sum::<usize>(), 2);
        clock.advance(REJECTION_CACHE_TTL).await;
    }
}

#[tokio::test]
async fn one_overloaded_owner_does_not_end_the_calls() {
    let _clock = PausedClock::new();
    let behaviors = [rejects(700), rejects(1), rejects(1), ADMITTED, rejects(1)];
    let owners = Owner::start_all(&behaviors).await;
    let client = client_of(&addresses(&owners)).await;
    for _ in 0..30 {
        assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
    }
    assert!(owners[0].take_calls() > 0);
}

#[tokio::test]
async fn retry_after_is_at_most_1500_ms() {
    let _clock = PausedClock::new();
    let owners = Owner::start_all(&[rejects(u32::MAX); 3]).await;
    let client = client_of(&addresses(&owners)).await;
    let retry_after = Duration::from_millis(1500);
    assert_eq!(
        admit(&client, AMPLE_TIME_LIMIT).await,
        Admission::Rejected { retry_after }
    );
}

#[tokio::test]
async fn rejection_is_cached_briefly_and_per_tenant() {
    let clock = PausedClock::new();
    let owners = Owner::start_all(&[rejects(700); 3]).await;
    let client = client_of(&addresses(&owners)).await;
    let is_rejected = |admission| matches!(admission, Admission::Rejected { .. });
    assert!(is_rejected(admit(&client, AMPLE_TIME_LIMIT).await));
    take_calls(&owners);
    owners.iter().for_each(|owner| owner.set_behavior(ADMITTED));
    assert!(is_rejected(admit(&client, AMPLE_TIME_LIMIT).await));
    assert_eq!(take_calls(&owners), [0, 0, 0]);
    let other = tenant_settings("dexo514", Some(limit(100.0)));
    assert_eq!(
        client.admit(&other, AMPLE_TIME_LIMIT).await,
        Admission::Admitted
    );
    clock.advance(REJECTION_CACHE_TTL).await;
    assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
}

#[tokio::test]
async fn next_owner_is_called_after_not_owner_or_an_invalid_response() {
    let _clock = PausedClock::new();
    let invalid_response = OwnerBehavior::Bytes(&[0xff, 0x00]);
    let empty_response = OwnerBehavior::Bytes(&[]);
    let behaviors = [NOT_OWNER, invalid_response, ADMITTED, empty_response];
    let owners = Owner::start_all(&behaviors).await;
    let client = client_of(&addresses(&owners)).await;
    for _ in 0..40 {
        assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
    }
    let calls = take_calls(&owners);
    assert!(calls.iter().all(|count| *count > 0), "{calls:?}");
}

#[tokio::test]
async fn request_is_undecided_if_no_owner_decides() {
    let _clock = PausedClock::new();
    let invalid_response = OwnerBehavior::Bytes(&[0xff, 0x00]);
    let owners = Owner::start_all(&[NOT_OWNER, invalid_response, OwnerBehavior::Bytes(&[])]).await;
    let client = client_of(&addresses(&owners)).await;
    assert_eq!(
        admit(&client, AMPLE_TIME_LIMIT).await,
        Admission::Unavailable
    );
    assert_eq!(take_calls(&owners), [1, 1, 1]);
    // No rejection was cached.
    owners[0].set_behavior(ADMITTED);
    assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
}

#[tokio::test]
async fn unresponsive_owner_is_hedged_and_called_last_for_a_second() {
    let clock = PausedClock::new();
    let owners = Owner::start_all(&[OwnerBehavior::NoResponse, ADMITTED, ADMITTED]).await;
    let client = Arc::new(client_of(&addresses(&owners)).await);
    let mut requests = 0;
    while owners[0].take_calls() == 0 {
        let (admission, elapsed) = admit_in_steps(&clock, &client, AMPLE_TIME_LIMIT).await;
        assert_eq!(admission, Admission::Admitted);
        assert!(elapsed < HEDGE_DELAY + 2 * CLOCK_STEP, "{elapsed:?}");
        requests += 1;
        assert!(requests < 100, "the unresponsive owner was never called");
    }
    // It responds again from now on.
    owners[0].set_behavior(ADMITTED);
    for _ in 0..30 {
        assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
    }
    assert_eq!(
        owners[0].take_calls(),
        0,
        "it was called while it was suspected to be down"
    );
    // It is called last, but it is called.
    owners[1].set_behavior(rejects(1));
    owners[2].set_behavior(rejects(1));
    assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
    assert_eq!(
        owners[0].take_calls(),
        1,
        "it was not called although all others rejected the request"
    );
    owners[1].set_behavior(ADMITTED);
    owners[2].set_behavior(ADMITTED);
    clock.advance(SUSPECT_DURATION).await;
    for _ in 0..30 {
        assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
    }
    assert!(
        owners[0].take_calls() > 0,
        "it was not called after the second"
    );
}

#[tokio::test]
async fn unreachable_owner_is_skipped_and_called_last_for_a_second() {
    let running = Owner::start_all(&[ADMITTED, ADMITTED]).await;
    let closed = ClosedAddress::reserve();
    let down = closed.address;
    let client = client_of(&[down, running[0].address, running[1].address]).await;
    let clock = PausedClock::new();
    for _ in 0..20 {
        assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
    }
    // A client that knows no other owner at first, so that it has to call this one.
    let client = client_of(&[down]).await;
    assert_eq!(
        admit(&client, AMPLE_TIME_LIMIT).await,
        Admission::Unavailable
    );
    let all = [down, running[0].address, running[1].address];
    client.apply_record(&record(2, &[], &all));
    // The owner is up again, and is not called before the second is over.
    drop(closed);
    let back = Owner::start_at(down, ADMITTED).await;
    for _ in 0..30 {
        assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
    }
    assert_eq!(
        back.take_calls(),
        0,
        "it was called while it was suspected to be down"
    );
    clock.advance(SUSPECT_DURATION).await;
    for _ in 0..30 {
        assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
    }
    assert!(back.take_calls() > 0, "it was not called after the second");
}

#[tokio::test]
async fn request_is_undecided_within_its_time_limit_while_all_owners_are_down() {
    let closed: Vec<ClosedAddress> = (0..9).map(|_| ClosedAddress::reserve()).collect();
    let addresses: Vec<SocketAddr> = closed.iter().map(|closed| closed.address).collect();
    let client = Arc::new(client_of(&addresses).await);
    let clock = PausedClock::new();
    let (admission, elapsed) = admit_in_steps(&clock, &client, SHORT_TIME_LIMIT).await;
    assert_eq!(admission, Admission::Unavailable);
    assert!(elapsed < SHORT_TIME_LIMIT + 2 * CLOCK_STEP, "{elapsed:?}");
}

#[tokio::test]
async fn unresponsive_owners_are_awaited_for_the_time_limit_only() {
    let owners = Owner::start_all(&[OwnerBehavior::NoResponse; 9]).await;
    let client = Arc::new(client_of(&addresses(&owners)).await);
    let clock = PausedClock::new();
    let (admission, elapsed) = admit_in_steps(&clock, &client, SHORT_TIME_LIMIT).await;
    assert_eq!(admission, Admission::Unavailable);
    assert!(
        (SHORT_TIME_LIMIT..SHORT_TIME_LIMIT + 2 * CLOCK_STEP).contains(&elapsed),
        "{elapsed:?}"
    );
    // At most three calls are pending at the same time.
    assert_eq!(take_calls(&owners).into_iter().sum::<usize>(), 3);
    // The same while some of them are suspected to be down.
    let (admission, _) = admit_in_steps(&clock, &client, SHORT_TIME_LIMIT).await;
    assert_eq!(admission, Admission::Unavailable);
    assert_eq!(take_calls(&owners).into_iter().sum::<usize>(), 3);
}

#[tokio::test]
async fn rejection_counts_although_other_owners_are_unresponsive() {
    let owners = Owner::start_all(&[
        rejects(5),
        OwnerBehavior::NoResponse,
        OwnerBehavior::NoResponse,
    ])
    .await;
    let client = client_of(&addresses(&owners)).await;
    let retry_after = Duration::from_millis(5);
    assert_eq!(
        admit(&client, AMPLE_TIME_LIMIT).await,
        Admission::Rejected { retry_after }
    );
    assert_eq!(take_calls(&owners), [1, 1, 1]);
}

#[tokio::test]
async fn request_with_zero_time_limit_is_undecided_without_a_call() {
    let _clock = PausedClock::new();
    let owners = Owner::start_all(&[ADMITTED; 3]).await;
    let client = client_of(&addresses(&owners)).await;
    assert_eq!(admit(&client, Duration::ZERO).await, Admission::Unavailable);
    assert_eq!(take_calls(&owners), [0, 0, 0]);
}

#[tokio::test]
async fn request_is_undecided_at_once_without_a_replica_set() {
    let _clock = PausedClock::new();
    let client = client_without_owners(7).await;
    let started = Instant::now();
    assert_eq!(
        admit(&client, AMPLE_TIME_LIMIT).await,
        Admission::Unavailable
    );
    client.apply_record(&record(1, &[], &[]));
    assert_eq!(
        admit(&client, AMPLE_TIME_LIMIT).await,
        Admission::Unavailable
    );
    assert!(started.elapsed() < CLOCK_STEP);
}

#[tokio::test]
async fn newer_replica_set_replaces_the_previous_one() {
    let _clock = PausedClock::new();
    let former = Owner::start_all(&[ADMITTED; 2]).await;
    let newer = Owner::start_all(&[ADMITTED; 3]).await;
    let client = client_of(&addresses(&former)).await;
    assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
    assert_eq!(take_calls(&former).into_iter().sum::<usize>(), 1);
    client.apply_record(&record(2, &[], &addresses(&newer)));
    for _ in 0..20 {
        assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
    }
    assert_eq!(take_calls(&former), [0, 0]);
    assert_eq!(take_calls(&newer).into_iter().sum::<usize>(), 20);
}

#[tokio::test]
async fn members_that_leave_in_a_change_in_progress_are_not_called() {
    let _clock = PausedClock::new();
    let leaving = Owner::start_all(&[ADMITTED; 1]).await;
    let current = Owner::start_all(&[ADMITTED; 2]).await;
    let client = client_without_owners(7).await;
    client.apply_record(&record(4, &addresses(&leaving), &addresses(&current)));
    for _ in 0..20 {
        assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
    }
    assert_eq!(take_calls(&leaving), [0]);
}

#[tokio::test]
async fn invalid_record_or_one_with_another_key_is_ignored() {
    let _clock = PausedClock::new();
    let owners = Owner::start_all(&[ADMITTED; 2]).await;
    let client = client_of(&addresses(&owners)).await;
    let empty = record(9, &[], &[]);
    let mut truncated = record(9, &[], &addresses(&owners));
    truncated.body.truncate(truncated.body.len() - 1);
    let other_key = Record {
        key: PLACEMENT.to_string(),
        ..empty
    };
    let no_body = Record {
        key: REPLICAS.to_string(),
        body: Bytes::new(),
        ..other_key.clone()
    };
    for record in [truncated, other_key, no_body] {
        client.apply_record(&record);
        assert_eq!(admit(&client, AMPLE_TIME_LIMIT).await, Admission::Admitted);
    }
}
