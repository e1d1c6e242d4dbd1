//! Authentication of calls on batch jobs, and the tenants of their items.
//!
//! Guards against items running as a tenant that did not submit their job.

mod harness;

use axum::http::{HeaderMap, HeaderName, HeaderValue};
use harness::{
    CONFIGURATION, Client, Overrides, ReceivedResponse, RecordingBatchHandler, TestDispatcher,
    Worker, header, run_single_threaded,
};
use mintlb_batch::client::JobAccess;
use mintlb_common::configuration::Configuration;
use mintlb_common::record::WorkerState;
use mintlb_dispatcher::batch::submission::parse;
use mintlb_dispatcher::batch_executor::{BatchCall, ItemExecution, ItemRequest};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

const NORTH: &str = r#"{"name":"north","api_keys":["north-key-1","north-key-2"]}"#;
const SOUTH: &str = r#"{"name":"south","api_keys":["south-key-1"],"priority":1}"#;
const NORTH_KEY: &str = "Authorization: Bearer north-key-1\r\n";
const UNKNOWN_KEY: &str = "Authorization: Bearer never-configured\r\n";
/// A host whose batch route needs a key.
const HOST: &str = "shop.example";
/// A host that has a public batch route beside one that needs a key.
const PUBLIC_HOST: &str = "open.example";
/// Calls on an existing job.
const JOB_CALLS: [(&str, &str); 3] = [
    ("GET", "/v1/lots/job-1?start_after=0"),
    ("GET", "/v1/items/job-1?instance_id=e5"),
    ("DELETE", "/v1/lots/job-1"),
];
/// Headers without a known key.
const WITHOUT_KNOWN_KEY: [(&str, &str); 5] = [
    ("no key", ""),
    ("unknown key", UNKNOWN_KEY),
    ("another scheme", "Authorization: Basic north-key-1\r\n"),
    (
        "given twice",
        "Authorization: Bearer north-key-1\r\nAuthorization: Bearer north-key-1\r\n",
    ),
    (
        "a tenant that the client names itself",
        "Mintlb-Tenant: north\r\n",
    ),
];

/// A configuration with routes of all types, public ones among them, and this `tenant_list` field.
fn configuration_of(config_version: u64, tenants: &str) -> String {
    let version = format!(r#""config_version":{config_version},{tenants}"#);
    let routes = r#""route_list":[
 {"name":"open","host_name":"shop.example","path_prefix":"/open/","route_type":"idempotent","timeout_ms":5000,
  "target_latency_ms":3000,"priority":0,"target_service":"s","max_attempts":2,"public_access":true},
 {"name":"open-lots","host_name":"open.example","path_prefix":"/b/","route_type":"batch","timeout_ms":5000,
  "target_latency_ms":3000,"priority":1,"target_service":"s","max_attempts":3,"completion_target_ms":8000,
  "retention_s":30,"public_access":true},
 {"name":"closed-lots","host_name":"open.example","path_prefix":"/c/","route_type":"batch","timeout_ms":5000,
  "target_latency_ms":3000,"priority":1,"target_service":"s","max_attempts":3,"completion_target_ms":8000,
  "retention_s":30},"#;
    CONFIGURATION
        .replacen(r#""config_version":3,"#, &version, 1)
        .replacen(r#""route_list":["#, routes, 1)
}

fn configuration(config_version: u64, tenant_list: &[&str]) -> String {
    let tenants = format!(r#""tenant_list":[{}],"#, tenant_list.join(","));
    configuration_of(config_version, &tenants)
}

/// A dispatcher with the test's batch handler.
struct Fixture {
    dispatcher: TestDispatcher,
    calls: UnboundedReceiver<BatchCall>,
}

impl Fixture {
    async fn start(configuration: &str) -> Fixture {
        let (handler, calls) = RecordingBatchHandler::new();
        let dispatcher = TestDispatcher::start_with(Overrides {
            batch: Some(handler),
            ..Overrides::default()
        })
        .await;
        dispatcher.configure(configuration).await;
        Fixture { dispatcher, calls }
    }

    /// Makes a call on a connection of its own.
    async fn call(&self, call: (&str, &str), host: &str, headers: &str) -> ReceivedResponse {
        let mut client = self.dispatcher.connect().await;
        call_on(&mut client, call, host, headers).await
    }

    /// Makes a call that must be rejected because of its key.
    async fn expect_unauthorized(
        &mut self,
        case: &str,
        call: (&str, &str),
        host: &str,
        headers: &str,
    ) {
        let response = self.call(call, host, headers).await;
        assert_eq!(response.status, 401, "{case}, {call:?}: {}", response.head);
        let scheme = header(&response.head, "www-authenticate");
        assert_eq!(scheme.as_deref(), Some("Bearer"), "{case}, {call:?}");
        assert!(
            self.calls.try_recv().is_err(),
            "{case}, {call:?}: the call reached the handler"
        );
    }

    /// The access with which the last call reached the handler.
    fn handled_access(&mut self, response: &ReceivedResponse, case: &str) -> JobAccess {
        assert_eq!(response.status, 200, "{case}: {}", response.head);
        let call = self.calls.try_recv();
        call.unwrap_or_else(|_| panic!("{case}: no call reached the handler"))
            .access
    }

    async fn access(&mut self, call: (&str, &str), host: &str, headers: &str) -> JobAccess {
        let response = self.call(call, host, headers).await;
        self.handled_access(&response, &format!("{call:?} at {host}"))
    }
}

async fn call_on(
    client: &mut Client,
    (method, path): (&str, &str),
    host: &str,
    headers: &str,
) -> ReceivedResponse {
    let call = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nMintlb-Request-Id: job-1\r\n{headers}Content-Length: 0\r\n\r\n"
    );
    client.write(&call).await;
    client.read_response().await
}

fn of_tenant(name: &str) -> JobAccess {
    JobAccess::OfTenant(Some(name.to_string()))
}

#[test]
fn submission_without_a_known_key_gets_401_and_reaches_no_handler() {
    run_single_threaded(async {
        let mut fixture = Fixture::start(&configuration(3, &[NORTH, SOUTH])).await;
        for (case, headers) in WITHOUT_KNOWN_KEY {
            fixture
                .expect_unauthorized(case, ("POST", "/b/1"), HOST, headers)
                .await;
        }
    });
}

#[test]
fn call_on_a_job_without_a_known_key_gets_401_and_reaches_no_handler() {
    run_single_threaded(async {
        // The host has a public route, but that is not a batch route.
        let mut fixture = Fixture::start(&configuration(3, &[NORTH, SOUTH])).await;
        for (case, headers) in WITHOUT_KNOWN_KEY {
            for call in JOB_CALLS {
                fixture.expect_unauthorized(case, call, HOST, headers).await;
            }
        }
    });
}

#[test]
fn empty_tenant_list_gives_no_access_to_batch_jobs() {
    run_single_threaded(async {
        let mut fixture = Fixture::start(&configuration(3, &[])).await;
        for call in JOB_CALLS.into_iter().chain([("POST", "/b/1")]) {
            fixture.expect_unauthorized("no key", call, HOST, "").await;
            fixture
                .expect_unauthorized("a key", call, HOST, NORTH_KEY)
                .await;
        }
    });
}

#[test]
fn call_without_a_key_at_a_host_with_a_public_batch_route_may_access_jobs_without_a_tenant() {
    run_single_threaded(async {
        let mut fixture = Fixture::start(&configuration(3, &[NORTH, SOUTH])).await;
        for call in JOB_CALLS.into_iter().chain([("POST", "/b/1")]) {
            let access = fixture.access(call, PUBLIC_HOST, "").await;
            assert_eq!(access, JobAccess::OfTenant(None), "{call:?}");
        }
    });
}

#[test]
fn public_batch_route_does_not_allow_submissions_on_another_route_of_its_host() {
    run_single_threaded(async {
        let mut fixture = Fixture::start(&configuration(3, &[NORTH, SOUTH])).await;
        for (case, headers) in WITHOUT_KNOWN_KEY {
            fixture
                .expect_unauthorized(case, ("POST", "/c/1"), PUBLIC_HOST, headers)
                .await;
        }
    });
}

#[test]
fn call_with_a_key_may_access_jobs_of_its_tenant() {
    run_single_threaded(async {
        let mut fixture = Fixture::start(&configuration(3, &[NORTH, SOUTH])).await;
        for host in [HOST, PUBLIC_HOST] {
            for call in JOB_CALLS.into_iter().chain([("POST", "/b/1")]) {
                for (key, tenant) in [
                    ("north-key-1", "north"),
                    ("north-key-2", "north"),
                    ("south-key-1", "south"),
                ] {
                    let headers = format!("Authorization: Bearer {key}\r\nMintlb-Tenant: east\r\n");
                    let access = fixture.access(call, host, &headers).await;
                    assert_eq!(access, of_tenant(tenant), "{call:?} at {host}, {key}");
                }
            }
        }
    });
}

#[test]
fn without_a_tenant_list_calls_may_access_all_jobs() {
    run_single_threaded(async {
        let mut fixture = Fixture::start(&configuration_of(3, "")).await;
        for call in JOB_CALLS.into_iter().chain([("POST", "/b/1")]) {
            for headers in ["", NORTH_KEY, UNKNOWN_KEY, "Mintlb-Tenant: north\r\n"] {
                let access = fixture.access(call, HOST, headers).await;
                assert_eq!(access, JobAccess::Unrestricted, "{call:?}, {headers}");
            }
        }
    });
}

#[test]
fn key_moved_to_another_tenant_takes_effect_on_an_open_connection() {
    run_single_threaded(async {
        let mut fixture = Fixture::start(&configuration(3, &[NORTH, SOUTH])).await;
        let headers = "Authorization: Bearer north-key-2\r\n";
        for call in JOB_CALLS.into_iter().chain([("POST", "/b/1")]) {
            let mut client = fixture.dispatcher.connect().await;
            let response = call_on(&mut client, call, HOST, headers).await;
            assert_eq!(
                fixture.handled_access(&response, "before"),
                of_tenant("north")
            );
        }
        let mut kept = fixture.dispatcher.connect().await;
        call_on(&mut kept, JOB_CALLS[0], HOST, headers).await;
        fixture.calls.recv().await;
        let north = NORTH.replace(r#","north-key-2""#, "");
        let south = SOUTH.replace(r#""south-key-1""#, r#""south-key-1","north-key-2""#);
        fixture
            .dispatcher
            .configure(&configuration(4, &[&north, &south]))
            .await;
        for call in JOB_CALLS.into_iter().chain([("POST", "/b/1")]) {
            let response = call_on(&mut kept, call, HOST, headers).await;
            let access = fixture.handled_access(&response, "after");
            assert_eq!(access, of_tenant("south"), "{call:?}");
        }
    });
}

#[test]
fn removed_key_is_rejected_on_an_open_connection() {
    run_single_threaded(async {
        let mut fixture = Fixture::start(&configuration(3, &[NORTH, SOUTH])).await;
        let mut client = fixture.dispatcher.connect().await;
        let response = call_on(&mut client, JOB_CALLS[0], HOST, NORTH_KEY).await;
        assert_eq!(
            fixture.handled_access(&response, "before"),
            of_tenant("north")
        );
        fixture
            .dispatcher
            .configure(&configuration(4, &[SOUTH]))
            .await;
        let response = call_on(&mut client, JOB_CALLS[2], HOST, NORTH_KEY).await;
        assert_eq!(response.status, 401, "{}", response.head);
        assert!(
            fixture.calls.try_recv().is_err(),
            "the call reached the handler"
        );
    });
}

/// An item of a job of this tenant, parsed from JSON whose headers contain other credentials.
fn item(id: &'static str, host: &str, tenant: Option<&str>) -> ItemRequest {
    let configuration = Configuration::parse(configuration_of(1, "").as_bytes()).unwrap();
    let routes = &configuration.route_list;
    let route = routes.iter().find(|route| route.name == "lots").unwrap();
    let json = r#"{"requests":[{"instance_id":"e5","path":"/b/3/91c4","body":"","tokens":1,
        "headers":{"Mintlb-Model":"m","Authorization":"Bearer item-key","AUTHORIZATION":"Bearer item-key-2",
        "Mintlb-Tenant":"south","mintlb-tenant":"east"}}]}"#;
    let item = parse(json.as_bytes(), route).unwrap().remove(0);
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).unwrap();
        headers.append(name, HeaderValue::from_str(value).unwrap());
    }
    assert_eq!(headers.get_all("mintlb-tenant").iter().count(), 2);
    ItemRequest {
        host: host.to_string(),
        path: item.path,
        id: HeaderValue::from_static(id),
        headers,
        tenant: tenant.map(str::to_string),
        body: item.body,
        time_limit: Duration::from_secs(20),
        last_event_id: None,
    }
}

/// Asserts that a worker gets an item with the tenant of its job, and without the credentials in the item's headers.
async fn expect_item_of(dispatcher: &TestDispatcher, worker: &mut Worker, item: ItemRequest) {
    let tenant = item.tenant.clone();
    let _run: ItemExecution = dispatcher.batch_executor.execute(item);
    let received = worker.next_request().await;
    let head = &received.head;
    let values = |name: &str| -> Vec<&str> {
        let lines = head.lines().filter_map(|line| line.split_once(':'));
        let named = lines.filter(|(named, _)| named.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.trim()).collect()
    };
    let expected: Vec<&str> = tenant.as_deref().into_iter().collect();
    assert_eq!(values("mintlb-tenant"), expected, "{head}");
    assert!(values("authorization").is_empty(), "{head}");
    assert!(!head.contains("item-key"), "{head}");
    assert_eq!(
        values("mintlb-model"),
        ["m"],
        "other headers have to stay:\n{head}"
    );
}

async fn with_worker_of(configuration: &str) -> (TestDispatcher, Worker) {
    let dispatcher = TestDispatcher::start().await;
    dispatcher.configure(configuration).await;
    let worker = Worker::start("i-1", "s").await;
    dispatcher
        .set_worker(&worker, WorkerState::InService, 1)
        .await;
    (dispatcher, worker)
}

#[test]
fn item_runs_as_the_tenant_of_its_job_not_as_one_named_in_its_headers() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker_of(&configuration(3, &[NORTH, SOUTH])).await;
        expect_item_of(&dispatcher, &mut worker, item("e5", HOST, Some("north"))).await;
    });
}

#[test]
fn item_of_a_job_without_a_tenant_names_no_tenant() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker_of(&configuration(3, &[NORTH, SOUTH])).await;
        for host in [HOST, PUBLIC_HOST] {
            expect_item_of(&dispatcher, &mut worker, item("e5", host, None)).await;
        }
    });
}

#[test]
fn item_of_a_removed_tenant_still_names_it() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker_of(&configuration(3, &[NORTH, SOUTH])).await;
        dispatcher.configure(&configuration(4, &[SOUTH])).await;
        expect_item_of(&dispatcher, &mut worker, item("e5", HOST, Some("north"))).await;
        dispatcher.configure(&configuration_of(5, "")).await;
        expect_item_of(&dispatcher, &mut worker, item("e6", HOST, Some("north"))).await;
    });
}

#[test]
fn retried_item_runs_as_the_tenant_of_its_job() {
    run_single_threaded(async {
        let (dispatcher, mut first_worker) =
            with_worker_of(&configuration(3, &[NORTH, SOUTH])).await;
        let _run = dispatcher
            .batch_executor
            .execute(item("e5", HOST, Some("north")));
        let received = first_worker.next_request().await;
        let mut second_worker = Worker::start("i-2", "s").await;
        dispatcher
            .set_worker(&second_worker, WorkerState::InService, 1)
            .await;
        received.reject_not_executed().await;
        let received = second_worker.next_request().await;
        let named = header(&received.head, "mintlb-tenant");
        assert_eq!(named.as_deref(), Some("north"), "{}", received.head);
        assert!(!received.head.contains("item-key"), "{}", received.head);
    });
}
