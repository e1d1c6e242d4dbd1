//! Rate limits of tenants at a dispatcher: which requests the limiter decides about, and how its decision is applied.
//!
//! Guards against more requests of a tenant running than its limit allows. A 429 or 503 promises that the request has not
//! run and never will.

mod harness;

use harness::{
    CONFIGURATION, Client, Overrides, ReceivedResponse, RecordingBatchHandler, STEP_TIMEOUT,
    TestDispatcher, Worker, event, header, run_single_threaded,
};
use mintlb_common::record::WorkerState;
use mintlb_dispatcher::admission::{Admission, AdmissionFuture, RateLimiter};
use mintlb_dispatcher::batch_executor::BatchCall;
use mintlb_dispatcher::tenants::TenantSettings;
use mintlb_quota::messages::RateLimit;
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::time::{advance, pause, resume, timeout};

/// Tenants with a rate limit.
const NORTH: &str =
    r#"{"name":"north","api_keys":["north-key-1","north-key-2"],"rate_per_s":40,"burst_limit":8}"#;
const SOUTH: &str =
    r#"{"name":"south","api_keys":["south-key-1"],"rate_per_s":0.5,"burst_limit":0}"#;
/// Tenants without a rate limit.
const ZERO: &str = r#"{"name":"zero","api_keys":["zero-key-1"],"rate_per_s":0,"burst_limit":0}"#;
const SILENT: &str = r#"{"name":"silent","api_keys":["silent-key-1"]}"#;
const NORTH_KEY: &str = "Authorization: Bearer north-key-1\r\n";
/// Paths on the route types that carry live requests.
const LIVE_PATHS: [&str; 4] = ["/p/1", "/o/1", "/s/1", "/r/1"];
/// A quarter of the routes' latency target.
const QUARTER_OF_TARGET_LATENCY: Duration = Duration::from_millis(750);

/// A limiter that passes each request to the test, which decides.
struct TestDecidedLimiter(UnboundedSender<PendingAdmission>);

/// A request that waits for its admission.
struct PendingAdmission {
    tenant: TenantSettings,
    time_limit: Duration,
    decision: oneshot::Sender<Admission>,
}

impl RateLimiter for TestDecidedLimiter {
    fn admit<'a>(
        &'a self,
        tenant: &'a TenantSettings,
        time_limit: Duration,
    ) -> AdmissionFuture<'a> {
        Box::pin(async move {
            let (decision, decided) = oneshot::channel();
            let tenant = tenant.clone();
            let admission = PendingAdmission {
                tenant,
                time_limit,
                decision,
            };
            self.0.send(admission).ok();
            decided.await.unwrap_or(Admission::Unavailable)
        })
    }
}

impl PendingAdmission {
    fn decide(self, admission: Admission) {
        self.decision.send(admission).ok();
    }
}

/// A dispatcher with the test's limiter and batch handler, and a worker of the service `s`.
struct Fixture {
    dispatcher: TestDispatcher,
    worker: Worker,
    pending_admissions: UnboundedReceiver<PendingAdmission>,
    batch_calls: UnboundedReceiver<BatchCall>,
}

/// A configuration with routes of all types, a public route, and these tenants.
fn configuration(config_version: u64, tenant_list: &[&str]) -> String {
    let tenants = format!(r#""tenant_list":[{}],"#, tenant_list.join(","));
    configuration_of(config_version, &tenants)
}

/// A configuration with this `tenant_list` field, or without it if the text is empty.
fn configuration_of(config_version: u64, tenants: &str) -> String {
    let version = format!(r#""config_version":{config_version},{tenants}"#);
    let public_route = r#""route_list":[
 {"name":"open","host_name":"shop.example","path_prefix":"/open/","route_type":"idempotent","timeout_ms":5000,
  "target_latency_ms":300,"priority":0,"target_service":"s","max_attempts":2,"public_access":true},"#;
    // A long target, so that pauses of the test on a busy machine don't exceed it.
    CONFIGURATION
        .replacen(r#""config_version":3,"#, &version, 1)
        .replacen(r#""route_list":["#, public_route, 1)
        .replace(r#""target_latency_ms":300"#, r#""target_latency_ms":3000"#)
}

/// Advances the clock by this time.
async fn advance_clock(length: Duration) {
    pause();
    advance(length).await;
    resume();
}

impl Fixture {
    async fn start() -> Fixture {
        let (sender, pending_admissions) = unbounded_channel();
        let (handler, batch_calls) = RecordingBatchHandler::new();
        let dispatcher = TestDispatcher::start_with(Overrides {
            rate_limiter: Some(Arc::new(TestDecidedLimiter(sender))),
            batch: Some(handler),
        })
        .await;
        let tenants = [NORTH, SOUTH, ZERO, SILENT];
        dispatcher.configure(&configuration(3, &tenants)).await;
        let worker = Worker::start("i-1", "s").await;
        dispatcher
            .set_worker(&worker, WorkerState::InService, 1)
            .await;
        Fixture {
            dispatcher,
            worker,
            pending_admissions,
            batch_calls,
        }
    }

    /// Sends a request and returns its pending admission. Fails if it runs or gets a response before.
    async fn waiting_request(
        &mut self,
        path: &str,
        id: &str,
        headers: &str,
    ) -> (Client, PendingAdmission) {
        let mut client = self.dispatcher.connect().await;
        client.send_request(path, id, headers, "body").await;
        let admission = tokio::select! {
            admission = timeout(STEP_TIMEOUT, self.pending_admissions.recv()) => admission,
            received = self.worker.next_request_untimed() => {
                panic!("{path}: it reached the worker before its admission:\n{}", received.head)
            }
            (status, head) = client.read_head() => {
                panic!("{path}: {status} before its admission:\n{head}")
            }
        };
        let admission = admission
            .expect("the limiter was not called in time")
            .expect("the dispatcher has stopped");
        (client, admission)
    }

    /// Reads the response to a request for which the limiter must not be called. The worker runs the request if it gets it.
    async fn response_without_admission(
        &mut self,
        client: &mut Client,
        case: &str,
    ) -> ReceivedResponse {
        let run = async {
            self.worker
                .next_request_untimed()
                .await
                .respond("ran")
                .await;
            pending::<()>().await
        };
        tokio::select! {
            Some(admission) = self.pending_admissions.recv() => {
                panic!("{case}: the limiter was called for {}", admission.tenant.name)
            }
            () = run => unreachable!(),
            response = client.read_response() => response,
        }
    }

    /// Reads the response to a request that must not run.
    async fn response_without_run(&mut self, client: &mut Client, case: &str) -> ReceivedResponse {
        tokio::select! {
            received = self.worker.next_request_untimed() => {
                panic!("{case}: it ran:\n{}", received.head)
            }
            response = client.read_response() => response,
        }
    }

    /// Checks that rejected requests do not run later either: the next request at the worker is one that was sent after
    /// them.
    async fn expect_none_ran(&mut self) {
        let (mut client, admission) = self.waiting_request("/p/1", "id-after", NORTH_KEY).await;
        admission.decide(Admission::Admitted);
        let received = self.worker.next_request().await;
        assert_eq!(received.id(), "id-after", "a rejected request ran");
        received.respond("ran").await;
        assert_eq!(client.read_response().await.status, 200);
        assert!(!self.worker.has_request(), "a rejected request ran");
        self.expect_no_admission_call();
    }

    fn expect_no_admission_call(&mut self) {
        let admission = self.pending_admissions.try_recv();
        assert!(admission.is_err(), "the limiter was called again");
    }

    /// Responds to the next request at the worker, which has to name this tenant.
    async fn expect_run_as(&mut self, client: &mut Client, tenant: &str) {
        let received = tokio::select! {
            received = self.worker.next_request_untimed() => received,
            response = client.read_response() => panic!("rejected: {}", response.head),
        };
        let named = header(&received.head, "mintlb-tenant");
        assert_eq!(named.as_deref(), Some(tenant), "{}", received.head);
        received.respond("ran").await;
        assert_eq!(client.read_response().await.status, 200);
    }
}

fn rejected(ms: u64) -> Admission {
    Admission::Rejected {
        retry_after: Duration::from_millis(ms),
    }
}

#[test]
fn request_over_its_tenants_limit_gets_429_with_fractional_retry_after_and_never_runs() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        for (index, path) in LIVE_PATHS.iter().enumerate() {
            let id = format!("id{index}");
            let (mut client, admission) = fixture.waiting_request(path, &id, NORTH_KEY).await;
            admission.decide(rejected(250));
            let response = fixture.response_without_run(&mut client, path).await;
            assert_eq!(response.status, 429, "{path}: {}", response.head);
            let retry_after = header(&response.head, "retry-after");
            assert_eq!(retry_after.as_deref(), Some("0.250"), "{path}");
            assert!(response.complete, "{path}: the response is truncated");
        }
        fixture.expect_none_ran().await;
    });
}

#[test]
fn retry_after_below_a_millisecond_is_not_rounded_to_zero() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        let (mut client, admission) = fixture.waiting_request("/p/1", "a", NORTH_KEY).await;
        admission.decide(rejected(0));
        let response = client.read_response().await;
        let retry_after: f64 = header(&response.head, "retry-after")
            .unwrap()
            .parse()
            .unwrap();
        assert!(retry_after > 0.0, "{}", response.head);
    });
}

#[test]
fn request_without_admission_decision_gets_503_with_retry_after_and_never_runs() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        for (index, path) in LIVE_PATHS.iter().enumerate() {
            let id = format!("id{index}");
            let (mut client, admission) = fixture.waiting_request(path, &id, NORTH_KEY).await;
            admission.decide(Admission::Unavailable);
            let response = fixture.response_without_run(&mut client, path).await;
            assert_eq!(response.status, 503, "{path}: {}", response.head);
            let retry_after: f64 = header(&response.head, "retry-after")
                .unwrap()
                .parse()
                .unwrap();
            assert!(
                (0.001..=1.0).contains(&retry_after),
                "{path}: {}",
                response.head
            );
        }
        fixture.expect_none_ran().await;
    });
}

#[test]
fn limiter_gets_current_limit_and_a_quarter_of_the_latency_target() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        for (headers, name, rate, burst) in [
            (NORTH_KEY, "north", 40.0, 8.0),
            ("Authorization: Bearer south-key-1\r\n", "south", 0.5, 0.0),
        ] {
            let (_client, admission) = fixture.waiting_request("/p/1", name, headers).await;
            assert_eq!(admission.tenant.name, name);
            let limit = RateLimit {
                version: 3,
                rate,
                burst,
            };
            assert_eq!(admission.tenant.limit, Some(limit));
            assert_eq!(admission.time_limit, QUARTER_OF_TARGET_LATENCY);
        }
    });
}

#[test]
fn retried_request_takes_one_token() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        let (mut client, admission) = fixture.waiting_request("/p/1", "a", NORTH_KEY).await;
        admission.decide(Admission::Admitted);
        let received = fixture.worker.next_request().await;
        let mut second = Worker::start("i-2", "s").await;
        fixture
            .dispatcher
            .set_worker(&second, WorkerState::InService, 1)
            .await;
        drop(received);
        let received = second.next_request().await;
        assert_eq!(received.id(), "a");
        received.respond("from the second").await;
        assert_eq!(client.read_response().await.text(), "from the second");
        fixture.expect_no_admission_call();
        assert!(!fixture.worker.has_request() && !second.has_request());
    });
}

#[test]
fn request_rejected_by_a_full_worker_takes_one_token_and_runs_once() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        let (mut client, admission) = fixture.waiting_request("/o/1", "a", NORTH_KEY).await;
        admission.decide(Admission::Admitted);
        let received = fixture.worker.next_request().await;
        let mut second = Worker::start("i-2", "s").await;
        fixture
            .dispatcher
            .set_worker(&second, WorkerState::InService, 1)
            .await;
        received.reject_not_executed().await;
        second.next_request().await.respond("from the second").await;
        assert_eq!(client.read_response().await.text(), "from the second");
        fixture.expect_no_admission_call();
        assert!(!fixture.worker.has_request() && !second.has_request());
    });
}

#[test]
fn stream_resumed_at_a_second_worker_takes_one_token() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        let (mut client, admission) = fixture.waiting_request("/r/1", "a", NORTH_KEY).await;
        admission.decide(Admission::Admitted);
        let mut received = fixture.worker.next_request().await;
        let mut second = Worker::start("i-2", "s").await;
        fixture
            .dispatcher
            .set_worker(&second, WorkerState::InService, 1)
            .await;
        received.start_stream().await;
        received.send_event(1).await;
        client.read_head().await;
        client.read_body_prefix(event(1).len()).await;
        received.connection.reset();
        let mut received = second.next_request().await;
        received.start_stream().await;
        received.send_event(2).await;
        received.end_stream().await;
        assert_eq!(client.read_rest().await, (event(1) + &event(2), true));
        fixture.expect_no_admission_call();
    });
}

#[test]
fn each_request_on_a_reused_connection_takes_a_token() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        let (mut client, admission) = fixture.waiting_request("/p/1", "a", NORTH_KEY).await;
        admission.decide(Admission::Admitted);
        fixture.expect_run_as(&mut client, "north").await;
        client.send_request("/p/1", "b", NORTH_KEY, "body").await;
        let admission = timeout(STEP_TIMEOUT, fixture.pending_admissions.recv()).await;
        admission
            .expect("the limiter was not called for the second request")
            .unwrap()
            .decide(rejected(100));
        assert_eq!(client.read_response().await.status, 429);
        fixture.expect_none_ran().await;
    });
}

#[test]
fn public_route_without_a_key_bypasses_the_limiter() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        for (id, headers) in [("a", ""), ("b", "Authorization: Bearer unknown-key\r\n")] {
            let mut client = fixture.dispatcher.connect().await;
            client.send_request("/open/1", id, headers, "body").await;
            let response = fixture
                .response_without_admission(&mut client, headers)
                .await;
            assert_eq!(response.status, 200, "{headers}: {}", response.head);
        }
    });
}

#[test]
fn known_key_on_a_public_route_is_counted_for_its_tenant() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        let (mut client, admission) = fixture.waiting_request("/open/1", "a", NORTH_KEY).await;
        assert_eq!(admission.tenant.name, "north");
        admission.decide(Admission::Admitted);
        fixture.expect_run_as(&mut client, "north").await;
    });
}

#[test]
fn tenant_without_a_limit_bypasses_the_limiter() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        for key in ["zero-key-1", "silent-key-1"] {
            let mut client = fixture.dispatcher.connect().await;
            let headers = format!("Authorization: Bearer {key}\r\n");
            client.send_request("/p/1", key, &headers, "body").await;
            let response = fixture.response_without_admission(&mut client, key).await;
            assert_eq!(response.status, 200, "{key}: {}", response.head);
        }
    });
}

#[test]
fn batch_calls_bypass_the_limiter() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        for (method, path) in [
            ("POST", "/b/1"),
            ("GET", "/v1/lots/a"),
            ("GET", "/v1/items/a?instance_id=b"),
            ("DELETE", "/v1/lots/a"),
        ] {
            let mut client = fixture.dispatcher.connect().await;
            let call = format!(
                "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nMintlb-Request-Id: a\r\n{NORTH_KEY}\
                 Content-Length: 0\r\n\r\n"
            );
            client.write(&call).await;
            let response = fixture.response_without_admission(&mut client, path).await;
            assert_eq!(response.status, 200, "{method} {path}: {}", response.head);
            let call = fixture.batch_calls.try_recv();
            assert!(call.is_ok(), "{method} {path} reached no handler");
        }
    });
}

#[test]
fn request_rejected_for_key_route_or_id_takes_no_token() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        let unknown = "Authorization: Bearer unknown-key\r\n";
        let twice = NORTH_KEY.repeat(2);
        for (case, path, id, headers, status) in [
            ("no key", "/p/1", "a", "", 401),
            ("unknown key", "/p/1", "b", unknown, 401),
            ("key given twice", "/p/1", "c", &twice, 401),
            ("no route", "/absent/1", "d", NORTH_KEY, 404),
            ("no id", "/p/1", "", NORTH_KEY, 400),
        ] {
            let mut client = fixture.dispatcher.connect().await;
            client.send_request(path, id, headers, "body").await;
            let response = fixture.response_without_admission(&mut client, case).await;
            assert_eq!(response.status, status, "{case}: {}", response.head);
        }
    });
}

#[test]
fn request_of_a_client_that_disconnects_during_admission_does_not_run() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        for (index, path) in LIVE_PATHS.iter().enumerate() {
            let id = format!("id{index}");
            let (client, mut admission) = fixture.waiting_request(path, &id, NORTH_KEY).await;
            drop(client);
            timeout(STEP_TIMEOUT, admission.decision.closed())
                .await
                .expect("the dispatcher did not notice the disconnect in time");
            admission.decide(Admission::Admitted);
        }
        fixture.expect_none_ran().await;
    });
}

#[test]
fn request_whose_route_is_removed_during_admission_gets_404_and_does_not_run() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        let (mut client, admission) = fixture.waiting_request("/o/1", "a", NORTH_KEY).await;
        let without = configuration(4, &[NORTH]).replace("/o/", "/elsewhere/");
        fixture.dispatcher.configure(&without).await;
        admission.decide(Admission::Admitted);
        let response = fixture.response_without_run(&mut client, "removed").await;
        assert_eq!(response.status, 404, "{}", response.head);
        fixture.expect_none_ran().await;
    });
}

#[test]
fn request_whose_route_changes_service_during_admission_runs_at_the_new_service() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        let mut other = Worker::start("i-t", "t").await;
        fixture
            .dispatcher
            .set_worker(&other, WorkerState::InService, 1)
            .await;
        let (mut client, admission) = fixture.waiting_request("/o/1", "a", NORTH_KEY).await;
        let moved = configuration(4, &[NORTH])
            .replace(r#""target_service":"s""#, r#""target_service":"t""#);
        fixture.dispatcher.configure(&moved).await;
        admission.decide(Admission::Admitted);
        let received = tokio::select! {
            received = other.next_request_untimed() => received,
            received = fixture.worker.next_request_untimed() => {
                panic!("it ran at the old service:\n{}", received.head)
            }
            response = client.read_response() => panic!("rejected: {}", response.head),
        };
        received.respond("ran").await;
        assert_eq!(client.read_response().await.status, 200);
    });
}

#[test]
fn request_whose_key_is_removed_during_admission_runs_as_its_tenant() {
    run_single_threaded(async {
        let one_key = NORTH.replace(r#","north-key-2""#, "");
        let moved = SOUTH.replace(r#""south-key-1""#, r#""south-key-1","north-key-2""#);
        for (case, tenants) in [
            ("the key is dropped", vec![&*one_key, SOUTH]),
            ("the tenant is dropped", vec![SOUTH]),
            ("the key is moved", vec![&*one_key, &*moved]),
        ] {
            let mut fixture = Fixture::start().await;
            let headers = "Authorization: Bearer north-key-2\r\n";
            let (mut client, admission) = fixture.waiting_request("/p/1", "a", headers).await;
            fixture
                .dispatcher
                .configure(&configuration(4, &tenants))
                .await;
            admission.decide(Admission::Admitted);
            println!("{case}");
            fixture.expect_run_as(&mut client, "north").await;
        }
    });
}

#[test]
fn key_is_not_forwarded_if_tenant_list_is_removed_during_admission() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        let headers = format!("{NORTH_KEY}Mintlb-Tenant: south\r\n");
        let (_client, admission) = fixture.waiting_request("/p/1", "a", &headers).await;
        fixture.dispatcher.configure(&configuration_of(4, "")).await;
        admission.decide(Admission::Admitted);
        let received = fixture.worker.next_request().await;
        assert!(
            !received.head.contains("north-key-1"),
            "the key by which the request was admitted reached the worker:\n{}",
            received.head
        );
        let named = header(&received.head, "mintlb-tenant");
        assert_ne!(
            named.as_deref(),
            Some("south"),
            "the client's own Mintlb-Tenant reached the worker:\n{}",
            received.head
        );
    });
}

#[test]
fn admission_time_is_subtracted_from_the_workers_deadline() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        let (_client, admission) = fixture.waiting_request("/p/1", "a", NORTH_KEY).await;
        advance_clock(Duration::from_millis(1200)).await;
        admission.decide(Admission::Admitted);
        let received = fixture.worker.next_request().await;
        let left: u64 = header(&received.head, "mintlb-deadline-ms")
            .unwrap()
            .parse()
            .unwrap();
        assert!(
            (1..=3800).contains(&left),
            "the client waits 5000 ms, of which 1200 are over; the deadline sent to the worker is {left} ms"
        );
    });
}

#[test]
fn request_whose_deadline_passes_during_admission_does_not_run() {
    run_single_threaded(async {
        let mut fixture = Fixture::start().await;
        let (mut client, admission) = fixture.waiting_request("/o/1", "a", NORTH_KEY).await;
        advance_clock(Duration::from_millis(5100)).await;
        admission.decide(Admission::Admitted);
        let response = fixture.response_without_run(&mut client, "too late").await;
        assert_eq!(
            response.status, 503,
            "the request was never sent: {}",
            response.head
        );
        fixture.expect_none_ran().await;
    });
}
