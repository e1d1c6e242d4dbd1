//! Authentication of live requests by tenants' keys, once the configuration has a `tenant_list`.
//!
//! Guards against requests that run with a key that is unknown or was removed, or that are rejected with a valid key.

mod harness;

use harness::{
    CONFIGURATION, Client, ReceivedResponse, TestDispatcher, Worker, event, header,
    run_single_threaded,
};
use mintlb_common::record::WorkerState;

const NORTH: &str = r#"{"name":"north","api_keys":["north-key-1","north-key-2"],"priority":0,"rate_per_s":0,"burst_limit":0}"#;
const SOUTH: &str =
    r#"{"name":"south","api_keys":["south-key-1"],"priority":1,"rate_per_s":0,"burst_limit":0}"#;
/// A key that no configuration holds.
const UNKNOWN_KEY: &str = "never-configured-7f31";
/// Paths on the route types that carry live requests.
const LIVE_PATHS: [(&str, &str); 4] = [
    ("idempotent", "/p/1"),
    ("non_idempotent", "/o/1"),
    ("streaming", "/s/1"),
    ("streaming, resumable", "/r/1"),
];

/// A configuration with routes of all types, a public route below one that needs a key, and these tenants.
fn configuration(config_version: u64, tenant_list: &[&str]) -> String {
    let version = format!(
        r#""config_version":{config_version},"tenant_list":[{}],"#,
        tenant_list.join(",")
    );
    let public_route = r#""route_list":[
 {"name":"open","host_name":"shop.example","path_prefix":"/p/open/","route_type":"idempotent","timeout_ms":5000,
  "target_latency_ms":300,"priority":0,"target_service":"s","max_attempts":2,"public_access":true},"#;
    CONFIGURATION
        .replacen(r#""config_version":3,"#, &version, 1)
        .replacen(r#""route_list":["#, public_route, 1)
}

/// The JSON of a tenant with these keys, each in quotes.
fn tenant(name: &str, api_keys: &str) -> String {
    format!(
        r#"{{"name":"{name}","api_keys":[{api_keys}],"priority":0,"rate_per_s":0,"burst_limit":0}}"#
    )
}

fn bearer(key: &str) -> String {
    format!("Authorization: Bearer {key}\r\n")
}

/// A dispatcher with the tenants `north` and `south`, and a worker of the service `s`.
async fn with_tenants() -> (TestDispatcher, Worker) {
    let dispatcher = TestDispatcher::start().await;
    let worker = Worker::start("i-1", "s").await;
    dispatcher
        .configure(&configuration(3, &[NORTH, SOUTH]))
        .await;
    dispatcher
        .set_worker(&worker, WorkerState::InService, 1)
        .await;
    (dispatcher, worker)
}

/// Sends a request that must not run, and returns its response. Fails as soon as the request reaches the worker.
async fn response_without_run(
    client: &mut Client,
    worker: &mut Worker,
    (case, path, id, headers): (&str, &str, &str, &str),
) -> ReceivedResponse {
    client.send_request(path, id, headers, "body").await;
    tokio::select! {
        received = worker.next_request_untimed() => {
            panic!("{case}: the request ran at the worker:\n{}", received.head)
        }
        response = client.read_response() => response,
    }
}

/// Sends a request that must be rejected because of its key.
async fn expect_unauthorized(
    client: &mut Client,
    worker: &mut Worker,
    request: (&str, &str, &str, &str),
) -> ReceivedResponse {
    let case = request.0;
    let response = response_without_run(client, worker, request).await;
    assert_eq!(response.status, 401, "{case}: {}", response.head);
    assert_eq!(
        header(&response.head, "www-authenticate").as_deref(),
        Some("Bearer"),
        "{case}: {}",
        response.head
    );
    assert!(response.complete, "{case}: the response is truncated");
    response
}

/// Sends a request on the route `plain` that must run, and returns the tenant named to the worker.
async fn tenant_at_worker(
    client: &mut Client,
    worker: &mut Worker,
    (case, id, headers): (&str, &str, &str),
) -> Option<String> {
    let received = expect_run(client, worker, (case, "/p/1", id, headers)).await;
    header(&received, "mintlb-tenant")
}

/// Sends a request that must run, and returns its head at the worker. Fails as soon as the request is rejected.
async fn expect_run(
    client: &mut Client,
    worker: &mut Worker,
    (case, path, id, headers): (&str, &str, &str, &str),
) -> String {
    client.send_request(path, id, headers, "body").await;
    let received = tokio::select! {
        received = worker.next_request_untimed() => received,
        response = client.read_response() => panic!("{case}: rejected: {}", response.head),
    };
    assert_eq!(received.id(), id, "{case}: another request ran");
    let head = received.head.clone();
    received.respond("the answer").await;
    let response = client.read_response().await;
    assert_eq!(
        (response.status, response.text().as_str()),
        (200, "the answer"),
        "{case}"
    );
    head
}

/// Checks that rejected requests do not run later either: the next request at the worker is one that was sent after them.
async fn expect_none_ran(dispatcher: &TestDispatcher, worker: &mut Worker) {
    let mut client = dispatcher.connect().await;
    let after = (
        "after the rejections",
        "/p/1",
        "id-after",
        &*bearer("north-key-1"),
    );
    expect_run(&mut client, worker, after).await;
    assert!(!worker.has_request(), "a rejected request ran");
}

#[test]
fn request_with_an_unknown_key_gets_401_and_reaches_no_worker() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_tenants().await;
        for (index, (case, path)) in LIVE_PATHS.iter().enumerate() {
            let mut client = dispatcher.connect().await;
            let (id, headers) = (format!("id{index}"), bearer(UNKNOWN_KEY));
            expect_unauthorized(&mut client, &mut worker, (case, path, &id, &headers)).await;
        }
        expect_none_ran(&dispatcher, &mut worker).await;
    });
}

#[test]
fn request_without_a_key_gets_401_and_reaches_no_worker() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_tenants().await;
        for (index, (case, path)) in LIVE_PATHS.iter().enumerate() {
            let mut client = dispatcher.connect().await;
            let id = format!("id{index}");
            expect_unauthorized(&mut client, &mut worker, (case, path, &id, "")).await;
        }
        expect_none_ran(&dispatcher, &mut worker).await;
    });
}

#[test]
fn tenant_named_by_the_client_does_not_replace_a_key() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_tenants().await;
        let mut client = dispatcher.connect().await;
        let request = ("no key", "/p/1", "id1", "Mintlb-Tenant: north\r\n");
        expect_unauthorized(&mut client, &mut worker, request).await;
        expect_none_ran(&dispatcher, &mut worker).await;
    });
}

#[test]
fn resumed_stream_with_an_unknown_key_gets_401_and_reaches_no_worker() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_tenants().await;
        let mut client = dispatcher.connect().await;
        let headers = format!("Last-Event-Id: 4\r\n{}", bearer(UNKNOWN_KEY));
        let request = ("continued", "/r/1", "id1", &*headers);
        expect_unauthorized(&mut client, &mut worker, request).await;
        expect_none_ran(&dispatcher, &mut worker).await;
    });
}

#[test]
fn two_authorization_headers_get_401() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_tenants().await;
        let pairs = [
            ("north-key-1", "north-key-1"),
            ("north-key-1", "south-key-1"),
            ("north-key-1", UNKNOWN_KEY),
            (UNKNOWN_KEY, "north-key-1"),
        ];
        for (index, (first, second)) in pairs.iter().enumerate() {
            let mut client = dispatcher.connect().await;
            let (case, id) = (format!("{first}, {second}"), format!("id{index}"));
            let headers = bearer(first) + &bearer(second);
            expect_unauthorized(&mut client, &mut worker, (&case, "/p/1", &id, &headers)).await;
        }
        expect_none_ran(&dispatcher, &mut worker).await;
    });
}

#[test]
fn other_schemes_and_malformed_values_get_401() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_tenants().await;
        let values = [
            "Basic north-key-1",
            "Token north-key-1",
            "north-key-1",
            "Bearer",
            "Bearer ",
            "",
            "Bearernorth-key-1",
            "Bearer:north-key-1",
            "Bearer=north-key-1",
            "Bearer north-key-1 north-key-2",
            "Bearer north-key-1,north-key-2",
            "Bearer \"north-key-1\"",
            "Bearer north-key-1\u{e9}",
            "Bearer north-key",
            "Bearer NORTH-KEY-1",
            "X Bearer north-key-1",
        ];
        for (index, value) in values.iter().enumerate() {
            let mut client = dispatcher.connect().await;
            let (id, headers) = (format!("id{index}"), format!("Authorization: {value}\r\n"));
            let case = format!("value {value:?}");
            expect_unauthorized(&mut client, &mut worker, (&case, "/p/1", &id, &headers)).await;
        }
        expect_none_ran(&dispatcher, &mut worker).await;
    });
}

#[test]
fn scheme_is_case_insensitive() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_tenants().await;
        let mut client = dispatcher.connect().await;
        for (index, scheme) in ["Bearer", "bearer", "BEARER", "bEaReR"].iter().enumerate() {
            let (id, headers) = (
                format!("id{index}"),
                format!("Authorization: {scheme} south-key-1\r\n"),
            );
            let tenant = tenant_at_worker(&mut client, &mut worker, (scheme, &id, &headers)).await;
            assert_eq!(
                tenant.as_deref(),
                Some("south"),
                "{scheme}: the tenant at the worker"
            );
        }
    });
}

#[test]
fn public_route_needs_no_key() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_tenants().await;
        let mut client = dispatcher.connect().await;
        let request = ("no key", "/p/open/1", "id1", "");
        expect_run(&mut client, &mut worker, request).await;
    });
}

#[test]
fn unknown_key_is_ignored_on_a_public_route() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_tenants().await;
        let mut client = dispatcher.connect().await;
        let headers = [
            bearer(UNKNOWN_KEY),
            bearer(UNKNOWN_KEY) + &bearer("north-key-1"),
            "Authorization: Basic bm9ydGg6MQ==\r\n".to_string(),
        ];
        for (index, headers) in headers.iter().enumerate() {
            let id = format!("id{index}");
            let request = (&**headers, "/p/open/1", &*id, &**headers);
            expect_run(&mut client, &mut worker, request).await;
        }
    });
}

#[test]
fn public_route_does_not_make_its_parent_route_public() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_tenants().await;
        let mut client = dispatcher.connect().await;
        let request = ("no key", "/p/open", "id1", "");
        expect_unauthorized(&mut client, &mut worker, request).await;
        expect_none_ran(&dispatcher, &mut worker).await;
    });
}

#[test]
fn unknown_route_gets_404_with_any_key() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_tenants().await;
        let headers = [
            ("no key", String::new()),
            ("unknown key", bearer(UNKNOWN_KEY)),
            ("known key", bearer("north-key-1")),
        ];
        for (index, (case, headers)) in headers.iter().enumerate() {
            let mut client = dispatcher.connect().await;
            let id = format!("id{index}");
            let request = (*case, "/absent/1", &*id, &**headers);
            let response = response_without_run(&mut client, &mut worker, request).await;
            assert_eq!(response.status, 404, "{case}: {}", response.head);
        }
        expect_none_ran(&dispatcher, &mut worker).await;
    });
}

#[test]
fn request_before_any_configuration_gets_503_and_not_401() {
    run_single_threaded(async {
        let dispatcher = TestDispatcher::start().await;
        let mut worker = Worker::start("i-1", "s").await;
        let headers = [
            ("no key", String::new()),
            ("a key", bearer("north-key-1")),
            ("two keys", bearer("north-key-1") + &bearer("south-key-1")),
            (
                "another scheme",
                "Authorization: Basic bm9ydGg6MQ==\r\n".to_string(),
            ),
        ];
        for (index, (case, headers)) in headers.iter().enumerate() {
            let mut client = dispatcher.connect().await;
            let id = format!("id{index}");
            let request = (*case, "/p/1", &*id, &**headers);
            let response = response_without_run(&mut client, &mut worker, request).await;
            assert_eq!(response.status, 503, "{case}: {}", response.head);
        }
    });
}

#[test]
fn removed_key_is_rejected_on_an_open_connection() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_tenants().await;
        let (mut client, headers) = (dispatcher.connect().await, bearer("north-key-2"));
        expect_run(
            &mut client,
            &mut worker,
            ("before", "/p/1", "id1", &headers),
        )
        .await;
        let north = tenant("north", r#""north-key-1""#);
        dispatcher
            .configure(&configuration(4, &[&north, SOUTH]))
            .await;
        let request = ("dropped", "/p/1", "id2", &*headers);
        expect_unauthorized(&mut client, &mut worker, request).await;
        expect_none_ran(&dispatcher, &mut worker).await;
    });
}

#[test]
fn key_of_a_removed_tenant_is_rejected_on_an_open_connection() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_tenants().await;
        let (mut client, headers) = (dispatcher.connect().await, bearer("south-key-1"));
        expect_run(
            &mut client,
            &mut worker,
            ("before", "/p/1", "id1", &headers),
        )
        .await;
        dispatcher.configure(&configuration(4, &[NORTH])).await;
        let request = ("dropped", "/p/1", "id2", &*headers);
        expect_unauthorized(&mut client, &mut worker, request).await;
        expect_none_ran(&dispatcher, &mut worker).await;
    });
}

#[test]
fn removed_key_does_not_end_a_running_stream() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_tenants().await;
        let mut client = dispatcher.connect().await;
        client
            .send_request("/s/1", "id1", &bearer("south-key-1"), "body")
            .await;
        let mut received = worker.next_request().await;
        received.start_stream().await;
        received.send_event(1).await;
        let (status, _) = client.read_head().await;
        assert_eq!(status, 200);
        assert_eq!(client.read_body_prefix(event(1).len()).await, event(1));
        dispatcher.configure(&configuration(4, &[NORTH])).await;
        received.send_event(2).await;
        received.end_stream().await;
        assert_eq!(client.read_rest().await, (event(1) + &event(2), true));
    });
}

#[test]
fn added_key_is_accepted() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_tenants().await;
        let headers = bearer("south-key-2");
        let mut rejected_client = dispatcher.connect().await;
        let request = ("not there yet", "/p/1", "id1", &*headers);
        expect_unauthorized(&mut rejected_client, &mut worker, request).await;
        let south = tenant("south", r#""south-key-1","south-key-2""#);
        dispatcher
            .configure(&configuration(4, &[NORTH, &south]))
            .await;
        let mut client = dispatcher.connect().await;
        let request = ("added", "id2", &*headers);
        let tenant = tenant_at_worker(&mut client, &mut worker, request).await;
        assert_eq!(tenant.as_deref(), Some("south"));
    });
}

#[test]
fn moved_key_names_its_new_tenant() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_tenants().await;
        let (mut client, headers) = (dispatcher.connect().await, bearer("north-key-2"));
        let request = ("before the move", "id1", &*headers);
        let tenant_before = tenant_at_worker(&mut client, &mut worker, request).await;
        assert_eq!(tenant_before.as_deref(), Some("north"), "before the move");
        let (north, south) = (
            tenant("north", r#""north-key-1""#),
            tenant("south", r#""south-key-1","north-key-2""#),
        );
        dispatcher
            .configure(&configuration(4, &[&north, &south]))
            .await;
        let request = ("after the move", "id2", &*headers);
        let tenant_after = tenant_at_worker(&mut client, &mut worker, request).await;
        assert_eq!(tenant_after.as_deref(), Some("south"), "after the move");
    });
}

#[test]
fn unauthorized_response_does_not_contain_the_key() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_tenants().await;
        let mut client = dispatcher.connect().await;
        let headers = bearer(UNKNOWN_KEY);
        let request = ("unknown key", "/p/1", "id1", &*headers);
        let response = expect_unauthorized(&mut client, &mut worker, request).await;
        let whole = response.head.clone() + &response.text();
        assert!(!whole.contains(UNKNOWN_KEY), "{whole}");
    });
}
