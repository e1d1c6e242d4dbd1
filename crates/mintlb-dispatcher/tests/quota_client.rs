//! The client of the owners of rate limits, against owners on loopback that respond as a test says.

use bytes::Bytes;
use mintlb_common::record::{PLACEMENT, REPLICAS, Record};
use mintlb_common::transport::{Channel, ResponseFuture, Service, Transport};
use mintlb_dispatcher::admission::{Admission, RateLimiter};
use mintlb_dispatcher::quota_client::QuotaClient;
use mintlb_dispatcher::tenants::TenantTerms;
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
/// Ample for any number of owners that respond.
const AMPLE: Duration = Duration::from_secs(10);
/// A time limit in which more owners than three could be asked, one each 20 ms.
const SHORT: Duration = Duration::from_millis(150);
/// The step in which a stopped clock is advanced while a request is decided.
const STEP: Duration = Duration::from_millis(5);
/// The turns of the runtime after which all that the sockets have is handled: owners and client share its thread.
const SETTLED: usize = 100;
/// After this long without a response the next owner is asked, too.
const HEDGE_DELAY: Duration = Duration::from_millis(20);
/// A test that waits for this long with a stopped clock waits for nothing.
const HANG: Duration = Duration::from_secs(5);
/// As long as an owner is suspected of being down.
const SUSPICION_TIME: Duration = Duration::from_millis(1000);
/// As long as a rejection is remembered.
const REJECTION_MEMORY: Duration = Duration::from_millis(50);

/// What an owner does with a question.
#[derive(Clone, Copy)]
enum Answer {
    Respond(AdmitResponse),
    Bytes(&'static [u8]),
    Silence,
}

const ADMITTED: Answer = Answer::Respond(AdmitResponse::Admitted);
const NOT_OWNER: Answer = Answer::Respond(AdmitResponse::NotOwner);

fn used_up(retry_after_ms: u32) -> Answer {
    Answer::Respond(AdmitResponse::Rejected { retry_after_ms })
}

/// The quota channel of an owner.
struct Owner {
    address: SocketAddr,
    answer: Mutex<Answer>,
    questions: Mutex<Vec<AdmitRequest>>,
}

impl Owner {
    async fn start(answer: Answer) -> Arc<Owner> {
        Owner::start_at("127.0.0.1:0".parse().unwrap(), answer).await
    }

    async fn start_at(address: SocketAddr, answer: Answer) -> Arc<Owner> {
        let transport = Transport::start(address).await.unwrap();
        let owner = Arc::new(Owner {
            address: transport.local_address(),
            answer: Mutex::new(answer),
            questions: Mutex::default(),
        });
        transport.register_service(Channel::Quota, Arc::new(OwnerService(owner.clone())));
        owner
    }

    async fn start_all(answers: &[Answer]) -> Vec<Arc<Owner>> {
        let mut owners = Vec::new();
        for answer in answers {
            owners.push(Owner::start(*answer).await);
        }
        owners
    }

    fn set(&self, answer: Answer) {
        *self.answer.lock() = answer;
    }

    /// The number of questions since the last call.
    fn take_questions(&self) -> usize {
        std::mem::take(&mut *self.questions.lock()).len()
    }
}

struct OwnerService(Arc<Owner>);

impl Service for OwnerService {
    fn on_request(&self, _from: SocketAddr, body: Bytes) -> ResponseFuture {
        let question = minicbor::decode(&body).expect("the question can't be decoded");
        self.0.questions.lock().push(question);
        match *self.0.answer.lock() {
            Answer::Respond(response) => {
                let body = minicbor::to_vec(response).unwrap();
                Box::pin(async { body.into() })
            }
            Answer::Bytes(bytes) => Box::pin(async move { Bytes::from_static(bytes) }),
            Answer::Silence => Box::pin(std::future::pending()),
        }
    }
}

fn take_questions(owners: &[Arc<Owner>]) -> Vec<usize> {
    owners.iter().map(|owner| owner.take_questions()).collect()
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
    };
    addresses.iter().enumerate().map(replica).collect()
}

fn record(epoch: u64, previous: &[SocketAddr], current: &[SocketAddr]) -> Record {
    let set = ReplicaSet {
        epoch,
        previous: replicas(previous, 101),
        current: replicas(current, 1),
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

fn terms(name: &str, limit: Option<RateLimit>) -> TenantTerms {
    TenantTerms {
        name: name.to_string(),
        priority: None,
        limit,
    }
}

/// A request of [`TENANT`], whose limit has a slice at each owner.
async fn admit(client: &QuotaClient, time_limit: Duration) -> Admission {
    client
        .admit(&terms(TENANT, Some(limit(100.0))), time_limit)
        .await
}

/// Has a request decided while the clock advances in steps, each once all that the sockets have is handled. Returns the
/// decision and the time that it took by that clock, however busy the machine is.
async fn admit_in_steps(
    clock: &StoppedClock,
    client: &Arc<QuotaClient>,
    time_limit: Duration,
) -> (Admission, Duration) {
    let started = Instant::now();
    let asking = client.clone();
    let asked = tokio::spawn(async move { admit(&asking, time_limit).await });
    loop {
        for _ in 0..SETTLED {
            tokio::task::yield_now().await;
        }
        if asked.is_finished() {
            return (asked.await.unwrap(), started.elapsed());
        }
        assert!(started.elapsed() < HANG, "it is never decided");
        clock.advance(STEP).await;
    }
}

/// While it exists the clock stands still: a response counts however busy the machine is.
struct StoppedClock(std::sync::mpsc::Sender<()>);

impl StoppedClock {
    fn new() -> StoppedClock {
        tokio::time::pause();
        // The paused clock does not jump to the next timer while a blocking task runs. It may once a
        // fault lets a test wait for nothing: the test goes on and fails.
        let (end, ended) = std::sync::mpsc::channel();
        tokio::task::spawn_blocking(move || ended.recv_timeout(HANG).ok());
        StoppedClock(end)
    }

    /// Lets this time pass at once. Then the tasks whose timers ended with it go on: a link that
    /// waits after a failed dial ends.
    async fn advance(&self, time: Duration) {
        tokio::time::advance(time + Duration::from_millis(1)).await;
        for _ in 0..20 {
            tokio::task::yield_now().await;
        }
    }
}

impl Drop for StoppedClock {
    fn drop(&mut self) {
        self.0.send(()).ok();
    }
}

/// An address on which nothing listens.
struct ClosedAddress {
    address: SocketAddr,
    /// Bound, so that nothing else gets the port, and not listening.
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
async fn an_admitted_request_costs_one_question_with_its_tenant_and_limit() {
    let _clock = StoppedClock::new();
    let owners = Owner::start_all(&[ADMITTED; 3]).await;
    let client = client_of(&addresses(&owners)).await;
    assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
    let questions: Vec<AdmitRequest> = owners
        .iter()
        .flat_map(|owner| owner.questions.lock().clone())
        .collect();
    let expected = AdmitRequest {
        tenant: TENANT.to_string(),
        limit: limit(100.0),
    };
    assert_eq!(questions, [expected]);
}

#[tokio::test]
async fn a_tenant_without_a_limit_is_admitted_without_a_question() {
    let _clock = StoppedClock::new();
    let owners = Owner::start_all(&[used_up(1000); 3]).await;
    let client = client_of(&addresses(&owners)).await;
    let admission = client.admit(&terms(TENANT, None), AMPLE).await;
    assert_eq!(admission, Admission::Admitted);
    assert_eq!(take_questions(&owners), [0, 0, 0]);
}

#[tokio::test]
async fn only_owners_of_the_tenants_slices_are_asked_and_all_of_them() {
    let _clock = StoppedClock::new();
    let processes = Owner::start_all(&[ADMITTED; 5]).await;
    let client = client_of(&addresses(&processes)).await;
    for number in 0..20 {
        let tenant = format!("tenant-{number}");
        // Two slices, by its rate.
        let terms = terms(&tenant, Some(limit(2.0)));
        for _ in 0..30 {
            assert_eq!(client.admit(&terms, AMPLE).await, Admission::Admitted);
        }
        let owners = owners(&[1, 2, 3, 4, 5], &tenant, 2);
        for (index, questions) in take_questions(&processes).into_iter().enumerate() {
            let owns = owners.contains(&(index as u64 + 1));
            let expected = if owns { 3..=27 } else { 0..=0 };
            assert!(expected.contains(&questions), "{tenant}: {questions}");
        }
    }
}

#[tokio::test]
async fn questions_spread_evenly_over_the_owners() {
    let _clock = StoppedClock::new();
    let owners = Owner::start_all(&[ADMITTED; 5]).await;
    let client = client_of(&addresses(&owners)).await;
    for _ in 0..500 {
        assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
    }
    // 100 on average, with a standard deviation of 9.
    let questions = take_questions(&owners);
    assert!(
        questions.iter().all(|count| (55..=145).contains(count)),
        "{questions:?}"
    );
}

#[tokio::test]
async fn dispatchers_with_other_seeds_begin_at_other_owners() {
    let _clock = StoppedClock::new();
    let owners = Owner::start_all(&[ADMITTED; 5]).await;
    for seed in 0..40 {
        let client = client_without_owners(seed * 7919 + 1).await;
        client.apply_record(&record(1, &[], &addresses(&owners)));
        for _ in 0..5 {
            assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
        }
    }
    let questions = take_questions(&owners);
    assert!(questions.iter().all(|count| *count >= 10), "{questions:?}");
}

#[tokio::test]
async fn an_owner_that_is_used_up_is_followed_by_the_next() {
    let _clock = StoppedClock::new();
    let owners = Owner::start_all(&[used_up(1), ADMITTED, used_up(1)]).await;
    let client = client_of(&addresses(&owners)).await;
    for _ in 0..30 {
        assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
    }
    let questions = take_questions(&owners);
    assert_eq!(questions[1], 30);
    assert!(questions[0] > 0 && questions[2] > 0, "{questions:?}");
}

#[tokio::test]
async fn all_used_up_is_rejected_with_the_earliest_time_after_one_question_each() {
    let clock = StoppedClock::new();
    // A slice of a third of 100 requests a second gets a token in 30 ms: no owner is crowded.
    let owners = Owner::start_all(&[used_up(20), used_up(10), used_up(30)]).await;
    let client = client_of(&addresses(&owners)).await;
    for _ in 0..6 {
        let retry_after = Duration::from_millis(10);
        assert_eq!(
            admit(&client, AMPLE).await,
            Admission::Rejected { retry_after }
        );
        assert_eq!(take_questions(&owners), [1, 1, 1]);
        clock.advance(REJECTION_MEMORY).await;
    }
}

#[tokio::test]
async fn two_crowded_owners_end_the_questions() {
    let clock = StoppedClock::new();
    let owners = Owner::start_all(&[used_up(700); 5]).await;
    let client = client_of(&addresses(&owners)).await;
    for _ in 0..6 {
        let retry_after = Duration::from_millis(700);
        assert_eq!(
            admit(&client, AMPLE).await,
            Admission::Rejected { retry_after }
        );
        assert_eq!(take_questions(&owners).into_iter().sum::<usize>(), 2);
        clock.advance(REJECTION_MEMORY).await;
    }
}

#[tokio::test]
async fn one_crowded_owner_does_not_end_the_questions() {
    let _clock = StoppedClock::new();
    let answers = [used_up(700), used_up(1), used_up(1), ADMITTED, used_up(1)];
    let owners = Owner::start_all(&answers).await;
    let client = client_of(&addresses(&owners)).await;
    for _ in 0..30 {
        assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
    }
    assert!(owners[0].take_questions() > 0);
}

#[tokio::test]
async fn a_client_is_told_to_come_back_in_a_second_and_a_half_at_most() {
    let _clock = StoppedClock::new();
    let owners = Owner::start_all(&[used_up(u32::MAX); 3]).await;
    let client = client_of(&addresses(&owners)).await;
    let retry_after = Duration::from_millis(1500);
    assert_eq!(
        admit(&client, AMPLE).await,
        Admission::Rejected { retry_after }
    );
}

#[tokio::test]
async fn a_rejection_is_remembered_for_its_tenant_only_and_not_for_long() {
    let clock = StoppedClock::new();
    let owners = Owner::start_all(&[used_up(700); 3]).await;
    let client = client_of(&addresses(&owners)).await;
    let is_rejected = |admission| matches!(admission, Admission::Rejected { .. });
    assert!(is_rejected(admit(&client, AMPLE).await));
    take_questions(&owners);
    owners.iter().for_each(|owner| owner.set(ADMITTED));
    assert!(is_rejected(admit(&client, AMPLE).await));
    assert_eq!(take_questions(&owners), [0, 0, 0]);
    let other = terms("dexo514", Some(limit(100.0)));
    assert_eq!(client.admit(&other, AMPLE).await, Admission::Admitted);
    clock.advance(REJECTION_MEMORY).await;
    assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
}

#[tokio::test]
async fn an_owner_that_owns_nothing_or_makes_no_sense_is_followed_by_the_next() {
    let _clock = StoppedClock::new();
    let nonsense = Answer::Bytes(&[0xff, 0x00]);
    let not_understood = Answer::Bytes(&[]);
    let answers = [NOT_OWNER, nonsense, ADMITTED, not_understood];
    let owners = Owner::start_all(&answers).await;
    let client = client_of(&addresses(&owners)).await;
    for _ in 0..40 {
        assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
    }
    let questions = take_questions(&owners);
    assert!(questions.iter().all(|count| *count > 0), "{questions:?}");
}

#[tokio::test]
async fn owners_that_cannot_tell_make_a_request_undecided_and_not_rejected() {
    let _clock = StoppedClock::new();
    let nonsense = Answer::Bytes(&[0xff, 0x00]);
    let owners = Owner::start_all(&[NOT_OWNER, nonsense, Answer::Bytes(&[])]).await;
    let client = client_of(&addresses(&owners)).await;
    assert_eq!(admit(&client, AMPLE).await, Admission::Unavailable);
    assert_eq!(take_questions(&owners), [1, 1, 1]);
    // Nothing of it is remembered.
    owners[0].set(ADMITTED);
    assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
}

#[tokio::test]
async fn a_silent_owner_is_passed_over_in_time_and_asked_last_for_a_second() {
    let clock = StoppedClock::new();
    let owners = Owner::start_all(&[Answer::Silence, ADMITTED, ADMITTED]).await;
    let client = Arc::new(client_of(&addresses(&owners)).await);
    let mut requests = 0;
    while owners[0].take_questions() == 0 {
        let (admission, elapsed) = admit_in_steps(&clock, &client, AMPLE).await;
        assert_eq!(admission, Admission::Admitted);
        assert!(elapsed < HEDGE_DELAY + 2 * STEP, "{elapsed:?}");
        requests += 1;
        assert!(requests < 100, "the silent owner is never asked");
    }
    // It would respond again.
    owners[0].set(ADMITTED);
    for _ in 0..30 {
        assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
    }
    assert_eq!(owners[0].take_questions(), 0, "while it is suspected");
    // Last is not never.
    owners[1].set(used_up(1));
    owners[2].set(used_up(1));
    assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
    assert_eq!(owners[0].take_questions(), 1, "when all others are used up");
    owners[1].set(ADMITTED);
    owners[2].set(ADMITTED);
    clock.advance(SUSPICION_TIME).await;
    for _ in 0..30 {
        assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
    }
    assert!(owners[0].take_questions() > 0, "once the second is over");
}

#[tokio::test]
async fn an_owner_that_refuses_connections_is_passed_over_and_asked_last_for_a_second() {
    let running = Owner::start_all(&[ADMITTED, ADMITTED]).await;
    let closed = ClosedAddress::reserve();
    let down = closed.address;
    let client = client_of(&[down, running[0].address, running[1].address]).await;
    let clock = StoppedClock::new();
    for _ in 0..20 {
        assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
    }
    // Another dispatcher, which knows no other owner at first and so has to meet this one.
    let client = client_of(&[down]).await;
    assert_eq!(admit(&client, AMPLE).await, Admission::Unavailable);
    let all = [down, running[0].address, running[1].address];
    client.apply_record(&record(2, &[], &all));
    // It comes back, and is not asked before the second is over.
    drop(closed);
    let back = Owner::start_at(down, ADMITTED).await;
    for _ in 0..30 {
        assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
    }
    assert_eq!(back.take_questions(), 0, "while it is suspected");
    clock.advance(SUSPICION_TIME).await;
    for _ in 0..30 {
        assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
    }
    assert!(back.take_questions() > 0, "once the second is over");
}

#[tokio::test]
async fn a_request_is_undecided_in_time_while_all_owners_are_down() {
    let closed: Vec<ClosedAddress> = (0..9).map(|_| ClosedAddress::reserve()).collect();
    let addresses: Vec<SocketAddr> = closed.iter().map(|closed| closed.address).collect();
    let client = Arc::new(client_of(&addresses).await);
    let clock = StoppedClock::new();
    let (admission, elapsed) = admit_in_steps(&clock, &client, SHORT).await;
    assert_eq!(admission, Admission::Unavailable);
    assert!(elapsed < SHORT + 2 * STEP, "{elapsed:?}");
}

#[tokio::test]
async fn silent_owners_are_given_no_more_than_the_time_limit_of_the_call() {
    let owners = Owner::start_all(&[Answer::Silence; 9]).await;
    let client = Arc::new(client_of(&addresses(&owners)).await);
    let clock = StoppedClock::new();
    let (admission, elapsed) = admit_in_steps(&clock, &client, SHORT).await;
    assert_eq!(admission, Admission::Unavailable);
    assert!((SHORT..SHORT + 2 * STEP).contains(&elapsed), "{elapsed:?}");
    // Three questions are open at the same time, at most.
    assert_eq!(take_questions(&owners).into_iter().sum::<usize>(), 3);
    // Also with some of them suspected.
    let (admission, _) = admit_in_steps(&clock, &client, SHORT).await;
    assert_eq!(admission, Admission::Unavailable);
    assert_eq!(take_questions(&owners).into_iter().sum::<usize>(), 3);
}

#[tokio::test]
async fn a_rejection_counts_although_the_other_owners_are_silent() {
    let owners = Owner::start_all(&[used_up(5), Answer::Silence, Answer::Silence]).await;
    let client = client_of(&addresses(&owners)).await;
    let retry_after = Duration::from_millis(5);
    assert_eq!(
        admit(&client, AMPLE).await,
        Admission::Rejected { retry_after }
    );
    assert_eq!(take_questions(&owners), [1, 1, 1]);
}

#[tokio::test]
async fn a_request_without_time_is_undecided_without_a_question() {
    let _clock = StoppedClock::new();
    let owners = Owner::start_all(&[ADMITTED; 3]).await;
    let client = client_of(&addresses(&owners)).await;
    assert_eq!(admit(&client, Duration::ZERO).await, Admission::Unavailable);
    assert_eq!(take_questions(&owners), [0, 0, 0]);
}

#[tokio::test]
async fn a_request_is_undecided_at_once_while_no_replica_set_is_known() {
    let _clock = StoppedClock::new();
    let client = client_without_owners(7).await;
    let started = Instant::now();
    assert_eq!(admit(&client, AMPLE).await, Admission::Unavailable);
    client.apply_record(&record(1, &[], &[]));
    assert_eq!(admit(&client, AMPLE).await, Admission::Unavailable);
    assert!(started.elapsed() < STEP);
}

#[tokio::test]
async fn a_newer_replica_set_replaces_the_former() {
    let _clock = StoppedClock::new();
    let former = Owner::start_all(&[ADMITTED; 2]).await;
    let newer = Owner::start_all(&[ADMITTED; 3]).await;
    let client = client_of(&addresses(&former)).await;
    assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
    assert_eq!(take_questions(&former).into_iter().sum::<usize>(), 1);
    client.apply_record(&record(2, &[], &addresses(&newer)));
    for _ in 0..20 {
        assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
    }
    assert_eq!(take_questions(&former), [0, 0]);
    assert_eq!(take_questions(&newer).into_iter().sum::<usize>(), 20);
}

#[tokio::test]
async fn members_that_leave_by_a_change_in_progress_are_not_asked() {
    let _clock = StoppedClock::new();
    let leaving = Owner::start_all(&[ADMITTED; 1]).await;
    let current = Owner::start_all(&[ADMITTED; 2]).await;
    let client = client_without_owners(7).await;
    client.apply_record(&record(4, &addresses(&leaving), &addresses(&current)));
    for _ in 0..20 {
        assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
    }
    assert_eq!(take_questions(&leaving), [0]);
}

#[tokio::test]
async fn a_record_that_cannot_be_decoded_or_has_another_key_changes_nothing() {
    let _clock = StoppedClock::new();
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
        assert_eq!(admit(&client, AMPLE).await, Admission::Admitted);
    }
}
