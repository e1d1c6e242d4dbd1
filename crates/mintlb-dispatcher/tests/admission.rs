//! Rate limits of tenants at a dispatcher: which requests the limiter is asked about, and what becomes of them by its
//! decision.
//!
//! QUOTA is broken when more requests of a tenant run than its limit allows. A 429 or 503 promises that the request
//! has not run and never will.

mod machine;

use machine::{
    CONFIGURATION, Client, Got, Machine, Parts, RecordedCalls, STEP, Worker, event, header,
    on_one_thread,
};
use mintlb_common::record::WorkerState;
use mintlb_dispatcher::admission::{Admission, AdmissionFuture, RateLimiter};
use mintlb_dispatcher::batch_executor::BatchCall;
use mintlb_dispatcher::tenants::TenantTerms;
use mintlb_quota::messages::RateLimit;
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::time::{advance, pause, resume, timeout};

/// Tenants with a limit.
const NORTH: &str =
    r#"{"name":"north","api_keys":["north-key-1","north-key-2"],"rate_per_s":40,"burst_limit":8}"#;
const SOUTH: &str =
    r#"{"name":"south","api_keys":["south-key-1"],"rate_per_s":0.5,"burst_limit":0}"#;
/// Tenants without one.
const ZERO: &str = r#"{"name":"zero","api_keys":["zero-key-1"],"rate_per_s":0,"burst_limit":0}"#;
const SILENT: &str = r#"{"name":"silent","api_keys":["silent-key-1"]}"#;
const NORTH_KEY: &str = "Authorization: Bearer north-key-1\r\n";
/// Paths on the route types that carry live requests.
const LIVE_PATHS: [&str; 4] = ["/p/1", "/o/1", "/s/1", "/r/1"];
/// A quarter of the target of the routes.
const QUARTER_OF_TARGET: Duration = Duration::from_millis(750);

/// Asks the test.
struct AskedLimiter(UnboundedSender<Question>);

/// A request that waits for its admission.
struct Question {
    tenant: TenantTerms,
    time_limit: Duration,
    decision: oneshot::Sender<Admission>,
}

impl RateLimiter for AskedLimiter {
    fn admit<'a>(&'a self, tenant: &'a TenantTerms, time_limit: Duration) -> AdmissionFuture<'a> {
        Box::pin(async move {
            let (decision, decided) = oneshot::channel();
            let tenant = tenant.clone();
            let question = Question {
                tenant,
                time_limit,
                decision,
            };
            self.0.send(question).ok();
            decided.await.unwrap_or(Admission::Unavailable)
        })
    }
}

impl Question {
    fn decide(self, admission: Admission) {
        self.decision.send(admission).ok();
    }
}

/// A dispatcher whose limiter and batch handler are the test's, and a worker of the service `s`.
struct Tier {
    machine: Machine,
    worker: Worker,
    questions: UnboundedReceiver<Question>,
    batch_calls: UnboundedReceiver<BatchCall>,
}

/// The configuration of all route types with these tenants, and a public route.
fn configuration(config_version: u64, tenant_list: &[&str]) -> String {
    let tenants = format!(r#""tenant_list":[{}],"#, tenant_list.join(","));
    configuration_of(config_version, &tenants)
}

/// One with this field of the tenants, or without it.
fn configuration_of(config_version: u64, tenants: &str) -> String {
    let version = format!(r#""config_version":{config_version},{tenants}"#);
    let public_route = r#""route_list":[
 {"name":"open","host_name":"shop.example","path_prefix":"/open/","route_type":"idempotent","timeout_ms":5000,
  "target_latency_ms":300,"priority":0,"target_service":"s","max_attempts":2,"public_access":true},"#;
    // On a machine that is busy a request must not outlive its target by the test's own pauses.
    CONFIGURATION
        .replacen(r#""config_version":3,"#, &version, 1)
        .replacen(r#""route_list":["#, public_route, 1)
        .replace(r#""target_latency_ms":300"#, r#""target_latency_ms":3000"#)
}

/// Lets this time pass at once.
async fn pass(length: Duration) {
    pause();
    advance(length).await;
    resume();
}

impl Tier {
    async fn start() -> Tier {
        let (sender, questions) = unbounded_channel();
        let (handler, batch_calls) = RecordedCalls::new();
        let machine = Machine::start_with(Parts {
            rate_limiter: Some(Arc::new(AskedLimiter(sender))),
            batch: Some(handler),
        })
        .await;
        let tenants = [NORTH, SOUTH, ZERO, SILENT];
        machine.configure(&configuration(3, &tenants)).await;
        let worker = Worker::start("i-1", "s").await;
        machine.set_worker(&worker, WorkerState::InService, 1).await;
        Tier {
            machine,
            worker,
            questions,
            batch_calls,
        }
    }

    /// Sends a request that has to wait for its admission.
    async fn waiting_request(&mut self, path: &str, id: &str, headers: &str) -> (Client, Question) {
        let mut client = self.machine.client().await;
        client.post(path, id, headers, "body").await;
        let question = tokio::select! {
            question = timeout(STEP, self.questions.recv()) => question,
            received = self.worker.next_request_untimed() => {
                panic!("{path}: it ran before its admission:\n{}", received.head)
            }
            (status, head) = client.head() => {
                panic!("{path}: {status} before its admission:\n{head}")
            }
        };
        let question = question
            .expect("the limiter is not asked")
            .expect("the dispatcher is gone");
        (client, question)
    }

    /// The answer to a request that the limiter must not be asked about. If it reaches the worker it is run.
    async fn answer_unasked(&mut self, client: &mut Client, case: &str) -> Got {
        let run = async {
            self.worker.next_request_untimed().await.answer("ran").await;
            pending::<()>().await
        };
        tokio::select! {
            Some(question) = self.questions.recv() => {
                panic!("{case}: the limiter was asked about {}", question.tenant.name)
            }
            () = run => unreachable!(),
            got = client.get() => got,
        }
    }

    /// The answer to a request that must not run.
    async fn answer_without_run(&mut self, client: &mut Client, case: &str) -> Got {
        tokio::select! {
            received = self.worker.next_request_untimed() => {
                panic!("{case}: it ran:\n{}", received.head)
            }
            got = client.get() => got,
        }
    }

    /// What was refused does not run later either: the next request at the worker is one that was sent after it.
    async fn expect_none_ran(&mut self) {
        let (mut client, question) = self.waiting_request("/p/1", "id-after", NORTH_KEY).await;
        question.decide(Admission::Admitted);
        let received = self.worker.next_request().await;
        assert_eq!(received.id(), "id-after", "a request that was refused ran");
        received.answer("ran").await;
        assert_eq!(client.get().await.status, 200);
        assert!(!self.worker.has_request(), "a request that was refused ran");
        self.expect_no_question();
    }

    fn expect_no_question(&mut self) {
        let question = self.questions.try_recv();
        assert!(question.is_err(), "the limiter was asked once more");
    }

    /// The next request at the worker, which names this tenant, answered.
    async fn expect_run_as(&mut self, client: &mut Client, tenant: &str) {
        let received = tokio::select! {
            received = self.worker.next_request_untimed() => received,
            got = client.get() => panic!("refused: {}", got.head),
        };
        let named = header(&received.head, "mintlb-tenant");
        assert_eq!(named.as_deref(), Some(tenant), "{}", received.head);
        received.answer("ran").await;
        assert_eq!(client.get().await.status, 200);
    }
}

fn rejected(ms: u64) -> Admission {
    Admission::Rejected {
        retry_after: Duration::from_millis(ms),
    }
}

#[test]
fn a_request_over_its_tenants_limit_gets_429_with_fractions_of_seconds_and_never_runs() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        for (index, path) in LIVE_PATHS.iter().enumerate() {
            let id = format!("id{index}");
            let (mut client, question) = tier.waiting_request(path, &id, NORTH_KEY).await;
            question.decide(rejected(250));
            let got = tier.answer_without_run(&mut client, path).await;
            assert_eq!(got.status, 429, "{path}: {}", got.head);
            let retry_after = header(&got.head, "retry-after");
            assert_eq!(retry_after.as_deref(), Some("0.250"), "{path}");
            assert!(got.complete, "{path}: the answer is cut");
        }
        tier.expect_none_ran().await;
    });
}

#[test]
fn a_retry_after_of_less_than_a_millisecond_is_not_rounded_to_none() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        let (mut client, question) = tier.waiting_request("/p/1", "a", NORTH_KEY).await;
        question.decide(rejected(0));
        let got = client.get().await;
        let retry_after: f64 = header(&got.head, "retry-after").unwrap().parse().unwrap();
        assert!(retry_after > 0.0, "{}", got.head);
    });
}

#[test]
fn a_request_whose_limit_nobody_can_tell_gets_503_with_retry_after_and_never_runs() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        for (index, path) in LIVE_PATHS.iter().enumerate() {
            let id = format!("id{index}");
            let (mut client, question) = tier.waiting_request(path, &id, NORTH_KEY).await;
            question.decide(Admission::Unavailable);
            let got = tier.answer_without_run(&mut client, path).await;
            assert_eq!(got.status, 503, "{path}: {}", got.head);
            let retry_after: f64 = header(&got.head, "retry-after").unwrap().parse().unwrap();
            assert!((0.001..=1.0).contains(&retry_after), "{path}: {}", got.head);
        }
        tier.expect_none_ran().await;
    });
}

#[test]
fn the_limiter_is_told_the_limit_in_force_and_a_quarter_of_the_routes_target() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        for (headers, name, rate, burst) in [
            (NORTH_KEY, "north", 40.0, 8.0),
            ("Authorization: Bearer south-key-1\r\n", "south", 0.5, 0.0),
        ] {
            let (_client, question) = tier.waiting_request("/p/1", name, headers).await;
            assert_eq!(question.tenant.name, name);
            let limit = RateLimit {
                version: 3,
                rate,
                burst,
            };
            assert_eq!(question.tenant.limit, Some(limit));
            assert_eq!(question.time_limit, QUARTER_OF_TARGET);
        }
    });
}

#[test]
fn a_request_that_is_sent_to_a_second_worker_takes_one_token() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        let (mut client, question) = tier.waiting_request("/p/1", "a", NORTH_KEY).await;
        question.decide(Admission::Admitted);
        let received = tier.worker.next_request().await;
        let mut second = Worker::start("i-2", "s").await;
        tier.machine
            .set_worker(&second, WorkerState::InService, 1)
            .await;
        drop(received);
        let received = second.next_request().await;
        assert_eq!(received.id(), "a");
        received.answer("from the second").await;
        assert_eq!(client.get().await.text(), "from the second");
        tier.expect_no_question();
        assert!(!tier.worker.has_request() && !second.has_request());
    });
}

#[test]
fn a_request_that_a_full_worker_refuses_takes_one_token_and_runs_once() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        let (mut client, question) = tier.waiting_request("/o/1", "a", NORTH_KEY).await;
        question.decide(Admission::Admitted);
        let received = tier.worker.next_request().await;
        let mut second = Worker::start("i-2", "s").await;
        tier.machine
            .set_worker(&second, WorkerState::InService, 1)
            .await;
        received.refuse().await;
        second.next_request().await.answer("from the second").await;
        assert_eq!(client.get().await.text(), "from the second");
        tier.expect_no_question();
        assert!(!tier.worker.has_request() && !second.has_request());
    });
}

#[test]
fn a_stream_that_goes_on_at_a_second_worker_takes_one_token() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        let (mut client, question) = tier.waiting_request("/r/1", "a", NORTH_KEY).await;
        question.decide(Admission::Admitted);
        let mut received = tier.worker.next_request().await;
        let mut second = Worker::start("i-2", "s").await;
        tier.machine
            .set_worker(&second, WorkerState::InService, 1)
            .await;
        received.begin_stream().await;
        received.event(1).await;
        client.head().await;
        client.chunks(event(1).len()).await;
        received.on.reset();
        let mut received = second.next_request().await;
        received.begin_stream().await;
        received.event(2).await;
        received.end_stream().await;
        assert_eq!(client.rest().await, (event(1) + &event(2), true));
        tier.expect_no_question();
    });
}

#[test]
fn each_request_of_a_kept_connection_takes_a_token() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        let (mut client, question) = tier.waiting_request("/p/1", "a", NORTH_KEY).await;
        question.decide(Admission::Admitted);
        tier.expect_run_as(&mut client, "north").await;
        client.post("/p/1", "b", NORTH_KEY, "body").await;
        let question = timeout(STEP, tier.questions.recv()).await;
        question
            .expect("the second request was not counted")
            .unwrap()
            .decide(rejected(100));
        assert_eq!(client.get().await.status, 429);
        tier.expect_none_ran().await;
    });
}

#[test]
fn a_public_route_without_a_key_asks_the_limiter_nothing() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        for (id, headers) in [("a", ""), ("b", "Authorization: Bearer unknown-key\r\n")] {
            let mut client = tier.machine.client().await;
            client.post("/open/1", id, headers, "body").await;
            let got = tier.answer_unasked(&mut client, headers).await;
            assert_eq!(got.status, 200, "{headers}: {}", got.head);
        }
    });
}

#[test]
fn a_known_key_on_a_public_route_is_counted_for_its_tenant() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        let (mut client, question) = tier.waiting_request("/open/1", "a", NORTH_KEY).await;
        assert_eq!(question.tenant.name, "north");
        question.decide(Admission::Admitted);
        tier.expect_run_as(&mut client, "north").await;
    });
}

#[test]
fn a_tenant_without_a_limit_asks_the_limiter_nothing() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        for key in ["zero-key-1", "silent-key-1"] {
            let mut client = tier.machine.client().await;
            let headers = format!("Authorization: Bearer {key}\r\n");
            client.post("/p/1", key, &headers, "body").await;
            let got = tier.answer_unasked(&mut client, key).await;
            assert_eq!(got.status, 200, "{key}: {}", got.head);
        }
    });
}

#[test]
fn calls_on_batch_jobs_ask_the_limiter_nothing() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        for (method, path) in [
            ("POST", "/b/1"),
            ("GET", "/v1/lots/a"),
            ("GET", "/v1/items/a?instance_id=b"),
            ("DELETE", "/v1/lots/a"),
        ] {
            let mut client = tier.machine.client().await;
            let call = format!(
                "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nMintlb-Request-Id: a\r\n{NORTH_KEY}\
                 Content-Length: 0\r\n\r\n"
            );
            client.write(&call).await;
            let got = tier.answer_unasked(&mut client, path).await;
            assert_eq!(got.status, 200, "{method} {path}: {}", got.head);
            let call = tier.batch_calls.try_recv();
            assert!(call.is_ok(), "{method} {path} reached no handler");
        }
    });
}

#[test]
fn a_request_that_is_refused_for_its_key_route_or_id_takes_no_token() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        let unknown = "Authorization: Bearer unknown-key\r\n";
        let twice = NORTH_KEY.repeat(2);
        for (case, path, id, headers, status) in [
            ("no key", "/p/1", "a", "", 401),
            ("unknown key", "/p/1", "b", unknown, 401),
            ("key given twice", "/p/1", "c", &twice, 401),
            ("no route", "/absent/1", "d", NORTH_KEY, 404),
            ("no id", "/p/1", "", NORTH_KEY, 400),
        ] {
            let mut client = tier.machine.client().await;
            client.post(path, id, headers, "body").await;
            let got = tier.answer_unasked(&mut client, case).await;
            assert_eq!(got.status, status, "{case}: {}", got.head);
        }
    });
}

#[test]
fn a_request_whose_client_leaves_while_it_waits_does_not_run() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        for (index, path) in LIVE_PATHS.iter().enumerate() {
            let id = format!("id{index}");
            let (client, mut question) = tier.waiting_request(path, &id, NORTH_KEY).await;
            drop(client);
            timeout(STEP, question.decision.closed())
                .await
                .expect("the dispatcher does not notice that its client is gone");
            question.decide(Admission::Admitted);
        }
        tier.expect_none_ran().await;
    });
}

#[test]
fn a_request_whose_route_is_removed_while_it_waits_gets_404_and_does_not_run() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        let (mut client, question) = tier.waiting_request("/o/1", "a", NORTH_KEY).await;
        let without = configuration(4, &[NORTH]).replace("/o/", "/elsewhere/");
        tier.machine.configure(&without).await;
        question.decide(Admission::Admitted);
        let got = tier.answer_without_run(&mut client, "removed").await;
        assert_eq!(got.status, 404, "{}", got.head);
        tier.expect_none_ran().await;
    });
}

#[test]
fn a_request_whose_route_moves_to_another_service_while_it_waits_runs_there() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        let mut other = Worker::start("i-t", "t").await;
        tier.machine
            .set_worker(&other, WorkerState::InService, 1)
            .await;
        let (mut client, question) = tier.waiting_request("/o/1", "a", NORTH_KEY).await;
        let moved = configuration(4, &[NORTH])
            .replace(r#""target_service":"s""#, r#""target_service":"t""#);
        tier.machine.configure(&moved).await;
        question.decide(Admission::Admitted);
        let received = tokio::select! {
            received = other.next_request_untimed() => received,
            received = tier.worker.next_request_untimed() => {
                panic!("it ran by the old service:\n{}", received.head)
            }
            got = client.get() => panic!("refused: {}", got.head),
        };
        received.answer("ran").await;
        assert_eq!(client.get().await.status, 200);
    });
}

#[test]
fn a_request_whose_key_is_dropped_while_it_waits_runs_under_its_tenant_and_no_other() {
    on_one_thread(async {
        let one_key = NORTH.replace(r#","north-key-2""#, "");
        let moved = SOUTH.replace(r#""south-key-1""#, r#""south-key-1","north-key-2""#);
        for (case, tenants) in [
            ("the key is dropped", vec![&*one_key, SOUTH]),
            ("the tenant is dropped", vec![SOUTH]),
            ("the key is moved", vec![&*one_key, &*moved]),
        ] {
            let mut tier = Tier::start().await;
            let headers = "Authorization: Bearer north-key-2\r\n";
            let (mut client, question) = tier.waiting_request("/p/1", "a", headers).await;
            tier.machine.configure(&configuration(4, &tenants)).await;
            question.decide(Admission::Admitted);
            println!("{case}");
            tier.expect_run_as(&mut client, "north").await;
        }
    });
}

#[test]
fn a_request_that_waits_while_the_tenant_list_is_removed_does_not_show_its_key() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        let headers = format!("{NORTH_KEY}Mintlb-Tenant: south\r\n");
        let (_client, question) = tier.waiting_request("/p/1", "a", &headers).await;
        tier.machine.configure(&configuration_of(4, "")).await;
        question.decide(Admission::Admitted);
        let received = tier.worker.next_request().await;
        assert!(
            !received.head.contains("north-key-1"),
            "the key of a request that was admitted by it is at the worker:\n{}",
            received.head
        );
        let named = header(&received.head, "mintlb-tenant");
        assert_ne!(
            named.as_deref(),
            Some("south"),
            "the client's own Mintlb-Tenant is at the worker:\n{}",
            received.head
        );
    });
}

#[test]
fn the_time_that_admission_took_is_taken_off_the_workers_deadline() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        let (_client, question) = tier.waiting_request("/p/1", "a", NORTH_KEY).await;
        pass(Duration::from_millis(1200)).await;
        question.decide(Admission::Admitted);
        let received = tier.worker.next_request().await;
        let left: u64 = header(&received.head, "mintlb-deadline-ms")
            .unwrap()
            .parse()
            .unwrap();
        assert!(
            (1..=3800).contains(&left),
            "the client waits 5000 ms, 1200 are over, and the worker is told {left}"
        );
    });
}

#[test]
fn a_request_whose_deadline_passes_while_it_waits_does_not_run() {
    on_one_thread(async {
        let mut tier = Tier::start().await;
        let (mut client, question) = tier.waiting_request("/o/1", "a", NORTH_KEY).await;
        pass(Duration::from_millis(5100)).await;
        question.decide(Admission::Admitted);
        let got = tier.answer_without_run(&mut client, "too late").await;
        assert_eq!(got.status, 503, "it was never sent: {}", got.head);
        tier.expect_none_ran().await;
    });
}
