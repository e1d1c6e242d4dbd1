//! Client keys: which live requests the dispatcher runs once the configuration has a `tenant_list`.
//!
//! ROUTE is broken when a request runs with a key that no configuration ever held, CONFIG when one runs with a key that
//! was dropped or is refused although its key is there.

mod machine;

use machine::{CONFIGURATION, Client, Got, Machine, Worker, event, header, on_one_thread};
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

/// The configuration of all route types with these tenants, and a public route below a route that needs a key.
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

/// A tenant with these keys, each in quotes.
fn tenant(name: &str, api_keys: &str) -> String {
    format!(
        r#"{{"name":"{name}","api_keys":[{api_keys}],"priority":0,"rate_per_s":0,"burst_limit":0}}"#
    )
}

fn bearer(key: &str) -> String {
    format!("Authorization: Bearer {key}\r\n")
}

/// A dispatcher with the tenants `north` and `south`, and a worker of the service `s`.
async fn with_tenants() -> (Machine, Worker) {
    let machine = Machine::start().await;
    let worker = Worker::start("i-1", "s").await;
    machine.configure(&configuration(3, &[NORTH, SOUTH])).await;
    machine.set_worker(&worker, WorkerState::InService, 1).await;
    (machine, worker)
}

/// Sends a request that must not run, and returns its answer. Fails as soon as the request is at the worker.
async fn answer_without_run(
    client: &mut Client,
    worker: &mut Worker,
    (case, path, id, headers): (&str, &str, &str, &str),
) -> Got {
    client.post(path, id, headers, "body").await;
    tokio::select! {
        received = worker.next_request_untimed() => {
            panic!("{case}: the request ran at the worker:\n{}", received.head)
        }
        got = client.get() => got,
    }
}

/// Sends a request that must be refused for its key.
async fn expect_unauthorized(
    client: &mut Client,
    worker: &mut Worker,
    request: (&str, &str, &str, &str),
) -> Got {
    let case = request.0;
    let got = answer_without_run(client, worker, request).await;
    assert_eq!(got.status, 401, "{case}: {}", got.head);
    assert_eq!(
        header(&got.head, "www-authenticate").as_deref(),
        Some("Bearer"),
        "{case}: {}",
        got.head
    );
    assert!(got.complete, "{case}: the answer is cut");
    got
}

/// Sends a request on the route `plain` that must run, and returns the tenant that the worker was told.
async fn tenant_at_worker(
    client: &mut Client,
    worker: &mut Worker,
    (case, id, headers): (&str, &str, &str),
) -> Option<String> {
    let received = expect_run(client, worker, (case, "/p/1", id, headers)).await;
    header(&received, "mintlb-tenant")
}

/// Sends a request that must run, and returns its head at the worker. Fails as soon as the request is refused.
async fn expect_run(
    client: &mut Client,
    worker: &mut Worker,
    (case, path, id, headers): (&str, &str, &str, &str),
) -> String {
    client.post(path, id, headers, "body").await;
    let received = tokio::select! {
        received = worker.next_request_untimed() => received,
        got = client.get() => panic!("{case}: refused: {}", got.head),
    };
    assert_eq!(received.id(), id, "{case}: another request ran");
    let head = received.head.clone();
    received.answer("the answer").await;
    let got = client.get().await;
    assert_eq!(
        (got.status, got.text().as_str()),
        (200, "the answer"),
        "{case}"
    );
    head
}

/// A refused request does not run later either: the next request at the worker is one that was sent after it.
async fn expect_none_ran(machine: &Machine, worker: &mut Worker) {
    let mut client = machine.client().await;
    let after = (
        "after the refusals",
        "/p/1",
        "id-after",
        &*bearer("north-key-1"),
    );
    expect_run(&mut client, worker, after).await;
    assert!(!worker.has_request(), "a refused request ran");
}

#[test]
fn a_request_with_an_unknown_key_gets_401_and_reaches_no_worker() {
    on_one_thread(async {
        let (machine, mut worker) = with_tenants().await;
        for (index, (case, path)) in LIVE_PATHS.iter().enumerate() {
            let mut client = machine.client().await;
            let (id, headers) = (format!("id{index}"), bearer(UNKNOWN_KEY));
            expect_unauthorized(&mut client, &mut worker, (case, path, &id, &headers)).await;
        }
        expect_none_ran(&machine, &mut worker).await;
    });
}

#[test]
fn a_request_without_a_key_gets_401_and_reaches_no_worker() {
    on_one_thread(async {
        let (machine, mut worker) = with_tenants().await;
        for (index, (case, path)) in LIVE_PATHS.iter().enumerate() {
            let mut client = machine.client().await;
            let id = format!("id{index}");
            expect_unauthorized(&mut client, &mut worker, (case, path, &id, "")).await;
        }
        expect_none_ran(&machine, &mut worker).await;
    });
}

#[test]
fn a_tenant_that_the_client_names_itself_does_not_replace_a_key() {
    on_one_thread(async {
        let (machine, mut worker) = with_tenants().await;
        let mut client = machine.client().await;
        let request = ("no key", "/p/1", "id1", "Mintlb-Tenant: north\r\n");
        expect_unauthorized(&mut client, &mut worker, request).await;
        expect_none_ran(&machine, &mut worker).await;
    });
}

#[test]
fn a_continued_stream_with_an_unknown_key_gets_401_and_reaches_no_worker() {
    on_one_thread(async {
        let (machine, mut worker) = with_tenants().await;
        let mut client = machine.client().await;
        let headers = format!("Last-Event-Id: 4\r\n{}", bearer(UNKNOWN_KEY));
        let request = ("continued", "/r/1", "id1", &*headers);
        expect_unauthorized(&mut client, &mut worker, request).await;
        expect_none_ran(&machine, &mut worker).await;
    });
}

#[test]
fn two_authorization_headers_get_401() {
    on_one_thread(async {
        let (machine, mut worker) = with_tenants().await;
        let pairs = [
            ("north-key-1", "north-key-1"),
            ("north-key-1", "south-key-1"),
            ("north-key-1", UNKNOWN_KEY),
            (UNKNOWN_KEY, "north-key-1"),
        ];
        for (index, (first, second)) in pairs.iter().enumerate() {
            let mut client = machine.client().await;
            let (case, id) = (format!("{first}, {second}"), format!("id{index}"));
            let headers = bearer(first) + &bearer(second);
            expect_unauthorized(&mut client, &mut worker, (&case, "/p/1", &id, &headers)).await;
        }
        expect_none_ran(&machine, &mut worker).await;
    });
}

#[test]
fn other_schemes_and_malformed_values_get_401() {
    on_one_thread(async {
        let (machine, mut worker) = with_tenants().await;
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
            let mut client = machine.client().await;
            let (id, headers) = (format!("id{index}"), format!("Authorization: {value}\r\n"));
            let case = format!("value {value:?}");
            expect_unauthorized(&mut client, &mut worker, (&case, "/p/1", &id, &headers)).await;
        }
        expect_none_ran(&machine, &mut worker).await;
    });
}

#[test]
fn the_scheme_is_matched_in_any_case() {
    on_one_thread(async {
        let (machine, mut worker) = with_tenants().await;
        let mut client = machine.client().await;
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
fn a_public_route_needs_no_key() {
    on_one_thread(async {
        let (machine, mut worker) = with_tenants().await;
        let mut client = machine.client().await;
        let request = ("no key", "/p/open/1", "id1", "");
        expect_run(&mut client, &mut worker, request).await;
    });
}

#[test]
fn an_unknown_key_does_no_harm_on_a_public_route() {
    on_one_thread(async {
        let (machine, mut worker) = with_tenants().await;
        let mut client = machine.client().await;
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
fn a_public_route_does_not_open_the_route_above_it() {
    on_one_thread(async {
        let (machine, mut worker) = with_tenants().await;
        let mut client = machine.client().await;
        let request = ("no key", "/p/open", "id1", "");
        expect_unauthorized(&mut client, &mut worker, request).await;
        expect_none_ran(&machine, &mut worker).await;
    });
}

#[test]
fn a_route_that_does_not_exist_gets_404_whatever_the_key() {
    on_one_thread(async {
        let (machine, mut worker) = with_tenants().await;
        let headers = [
            ("no key", String::new()),
            ("unknown key", bearer(UNKNOWN_KEY)),
            ("known key", bearer("north-key-1")),
        ];
        for (index, (case, headers)) in headers.iter().enumerate() {
            let mut client = machine.client().await;
            let id = format!("id{index}");
            let request = (*case, "/absent/1", &*id, &**headers);
            let got = answer_without_run(&mut client, &mut worker, request).await;
            assert_eq!(got.status, 404, "{case}: {}", got.head);
        }
        expect_none_ran(&machine, &mut worker).await;
    });
}

#[test]
fn before_any_configuration_a_request_gets_503_and_never_401() {
    on_one_thread(async {
        let machine = Machine::start().await;
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
            let mut client = machine.client().await;
            let id = format!("id{index}");
            let request = (*case, "/p/1", &*id, &**headers);
            let got = answer_without_run(&mut client, &mut worker, request).await;
            assert_eq!(got.status, 503, "{case}: {}", got.head);
        }
    });
}

#[test]
fn a_key_that_a_configuration_drops_ends_on_a_kept_connection() {
    on_one_thread(async {
        let (machine, mut worker) = with_tenants().await;
        let (mut client, headers) = (machine.client().await, bearer("north-key-2"));
        expect_run(
            &mut client,
            &mut worker,
            ("before", "/p/1", "id1", &headers),
        )
        .await;
        let north = tenant("north", r#""north-key-1""#);
        machine.configure(&configuration(4, &[&north, SOUTH])).await;
        let request = ("dropped", "/p/1", "id2", &*headers);
        expect_unauthorized(&mut client, &mut worker, request).await;
        expect_none_ran(&machine, &mut worker).await;
    });
}

#[test]
fn a_key_whose_tenant_a_configuration_drops_ends_on_a_kept_connection() {
    on_one_thread(async {
        let (machine, mut worker) = with_tenants().await;
        let (mut client, headers) = (machine.client().await, bearer("south-key-1"));
        expect_run(
            &mut client,
            &mut worker,
            ("before", "/p/1", "id1", &headers),
        )
        .await;
        machine.configure(&configuration(4, &[NORTH])).await;
        let request = ("dropped", "/p/1", "id2", &*headers);
        expect_unauthorized(&mut client, &mut worker, request).await;
        expect_none_ran(&machine, &mut worker).await;
    });
}

#[test]
fn a_dropped_key_does_not_end_a_stream_that_runs() {
    on_one_thread(async {
        let (machine, mut worker) = with_tenants().await;
        let mut client = machine.client().await;
        client
            .post("/s/1", "id1", &bearer("south-key-1"), "body")
            .await;
        let mut received = worker.next_request().await;
        received.begin_stream().await;
        received.event(1).await;
        let (status, _) = client.head().await;
        assert_eq!(status, 200);
        assert_eq!(client.chunks(event(1).len()).await, event(1));
        machine.configure(&configuration(4, &[NORTH])).await;
        received.event(2).await;
        received.end_stream().await;
        assert_eq!(client.rest().await, (event(1) + &event(2), true));
    });
}

#[test]
fn a_key_that_a_configuration_adds_is_accepted() {
    on_one_thread(async {
        let (machine, mut worker) = with_tenants().await;
        let headers = bearer("south-key-2");
        let mut refused = machine.client().await;
        let request = ("not there yet", "/p/1", "id1", &*headers);
        expect_unauthorized(&mut refused, &mut worker, request).await;
        let south = tenant("south", r#""south-key-1","south-key-2""#);
        machine.configure(&configuration(4, &[NORTH, &south])).await;
        let mut client = machine.client().await;
        let request = ("added", "id2", &*headers);
        let tenant = tenant_at_worker(&mut client, &mut worker, request).await;
        assert_eq!(tenant.as_deref(), Some("south"));
    });
}

#[test]
fn a_key_that_moves_names_its_new_tenant() {
    on_one_thread(async {
        let (machine, mut worker) = with_tenants().await;
        let (mut client, headers) = (machine.client().await, bearer("north-key-2"));
        let request = ("before the move", "id1", &*headers);
        let tenant_before = tenant_at_worker(&mut client, &mut worker, request).await;
        assert_eq!(tenant_before.as_deref(), Some("north"), "before the move");
        let (north, south) = (
            tenant("north", r#""north-key-1""#),
            tenant("south", r#""south-key-1","north-key-2""#),
        );
        machine
            .configure(&configuration(4, &[&north, &south]))
            .await;
        let request = ("after the move", "id2", &*headers);
        let tenant_after = tenant_at_worker(&mut client, &mut worker, request).await;
        assert_eq!(tenant_after.as_deref(), Some("south"), "after the move");
    });
}

#[test]
fn a_401_does_not_contain_the_key() {
    on_one_thread(async {
        let (machine, mut worker) = with_tenants().await;
        let mut client = machine.client().await;
        let headers = bearer(UNKNOWN_KEY);
        let request = ("unknown key", "/p/1", "id1", &*headers);
        let got = expect_unauthorized(&mut client, &mut worker, request).await;
        let whole = got.head.clone() + &got.text();
        assert!(!whole.contains(UNKNOWN_KEY), "{whole}");
    });
}
