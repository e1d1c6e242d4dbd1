//! What workers see of clients' credentials: the name of the key's tenant in `Mintlb-Tenant`, and never the key.

mod harness;

use harness::{TestDispatcher, Worker, event, header, run_single_threaded};
use mintlb_common::record::WorkerState;

/// Two tenants, of which the first has two keys; `open` is a public route.
const WITH_TENANTS: &str = r#"{"config_version":3,"route_list":[
 {"name":"plain","host_name":"shop.example","path_prefix":"/p/","route_type":"idempotent","timeout_ms":5000,
  "target_latency_ms":3000,"priority":0,"target_service":"s","max_attempts":2},
 {"name":"resume","host_name":"shop.example","path_prefix":"/r/","route_type":"streaming","timeout_ms":5000,
  "target_latency_ms":3000,"priority":0,"target_service":"s","max_attempts":2,"resumable":true,"gap_aim_ms":250},
 {"name":"open","host_name":"shop.example","path_prefix":"/open/","route_type":"idempotent","timeout_ms":5000,
  "target_latency_ms":3000,"priority":0,"target_service":"s","max_attempts":2,"public_access":true}
 ],"service_list":[{"name":"s","max_connections":100}],
 "tenant_list":[
 {"name":"first-tenant","api_keys":["first-key","first-spare-key"],"priority":0,"rate_per_s":0,"burst_limit":0},
 {"name":"second-tenant","api_keys":["second-key"],"priority":0,"rate_per_s":0,"burst_limit":0}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// The same routes without tenants.
const WITHOUT_TENANTS: &str = r#"{"config_version":3,"route_list":[
 {"name":"plain","host_name":"shop.example","path_prefix":"/p/","route_type":"idempotent","timeout_ms":5000,
  "target_latency_ms":3000,"priority":0,"target_service":"s","max_attempts":2}
 ],"service_list":[{"name":"s","max_connections":100}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

async fn with_worker_of(configuration: &str) -> (TestDispatcher, Worker) {
    let dispatcher = TestDispatcher::start().await;
    dispatcher.configure(configuration).await;
    let worker = another_worker(&dispatcher, "i-1").await;
    (dispatcher, worker)
}

async fn another_worker(dispatcher: &TestDispatcher, instance_id: &str) -> Worker {
    let worker = Worker::start(instance_id, "s").await;
    dispatcher
        .set_worker(&worker, WorkerState::InService, 1)
        .await;
    worker
}

/// All values of a header, in the order of the head.
fn header_values(head: &str, name: &str) -> Vec<String> {
    head.lines()
        .filter_map(|line| line.split_once(':'))
        .filter(|(named, _)| named.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim().to_string())
        .collect()
}

/// Asserts that the head of a request at a worker names this tenant once and does not contain this key.
fn assert_names_tenant_without_key(head: &str, tenant: &str, key: &str) {
    assert!(
        !head.contains(key),
        "the client's key reached the worker:\n{head}"
    );
    assert_eq!(
        header_values(head, "authorization"),
        Vec::<String>::new(),
        "Authorization reached the worker:\n{head}"
    );
    assert_eq!(
        header_values(head, "mintlb-tenant"),
        [tenant],
        "the head does not name the key's tenant exactly once:\n{head}"
    );
}

#[test]
fn key_is_not_forwarded_and_the_tenant_is_named() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = dispatcher.connect().await;
        client
            .send_request("/p/1", "a", "Authorization: Bearer first-key\r\n", "")
            .await;
        let received = worker.next_request().await;
        assert_names_tenant_without_key(&received.head, "first-tenant", "first-key");
        received.respond("ran").await;
        assert_eq!(client.read_response().await.text(), "ran");
    });
}

#[test]
fn tenant_named_by_the_client_is_replaced() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = dispatcher.connect().await;
        let headers = "Mintlb-Tenant: second-tenant\r\nAuthorization: Bearer first-key\r\n\
                       mintlb-tenant: second-tenant\r\n";
        client.send_request("/p/1", "a", headers, "").await;
        let received = worker.next_request().await;
        assert_eq!(
            header_values(&received.head, "mintlb-tenant"),
            ["first-tenant"],
            "the client's own Mintlb-Tenant must not reach the worker:\n{}",
            received.head
        );
    });
}

#[test]
fn client_cannot_remove_the_tenant_as_a_connection_header() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = dispatcher.connect().await;
        let headers = "Authorization: Bearer first-key\r\nConnection: mintlb-tenant\r\n";
        client.send_request("/p/1", "a", headers, "").await;
        let received = worker.next_request().await;
        assert_names_tenant_without_key(&received.head, "first-tenant", "first-key");
    });
}

#[test]
fn each_request_on_a_connection_names_the_tenant_of_its_own_key() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = dispatcher.connect().await;
        let (mut expected, mut named) = (Vec::new(), Vec::new());
        for (id, key, tenant) in [
            ("a", "first-key", "first-tenant"),
            ("b", "second-key", "second-tenant"),
            ("c", "first-spare-key", "first-tenant"),
        ] {
            let headers = format!("Authorization: Bearer {key}\r\n");
            client.send_request("/p/1", id, &headers, "").await;
            let received = worker.next_request().await;
            expected.push(vec![tenant.to_string()]);
            named.push(header_values(&received.head, "mintlb-tenant"));
            received.respond("ran").await;
            client.read_response().await;
        }
        assert_eq!(
            named, expected,
            "the values of Mintlb-Tenant, request by request"
        );
    });
}

#[test]
fn retry_at_a_second_worker_names_the_tenant_without_the_key() {
    run_single_threaded(async {
        let (dispatcher, mut first_worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = dispatcher.connect().await;
        let headers = "Authorization: Bearer first-key\r\nMintlb-Tenant: second-tenant\r\n";
        client.send_request("/p/1", "a", headers, "").await;
        let received = first_worker.next_request().await;
        let mut second_worker = another_worker(&dispatcher, "i-2").await;
        drop(received);
        let received = second_worker.next_request().await;
        assert_eq!(received.id(), "a");
        assert_names_tenant_without_key(&received.head, "first-tenant", "first-key");
        received.respond("from two").await;
        assert_eq!(client.read_response().await.text(), "from two");
    });
}

#[test]
fn stream_resumed_at_another_worker_names_the_tenant_without_the_key() {
    run_single_threaded(async {
        let (dispatcher, mut first_worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = dispatcher.connect().await;
        let headers = "Authorization: Bearer first-key\r\nMintlb-Tenant: second-tenant\r\n";
        client.send_request("/r/1", "a", headers, "prompt").await;
        let mut received = first_worker.next_request().await;
        let mut second_worker = another_worker(&dispatcher, "i-2").await;
        received.start_stream().await;
        received.send_event(1).await;
        client.read_head().await;
        client.read_body_prefix(event(1).len()).await;
        received.connection.reset();
        let mut received = second_worker.next_request().await;
        assert_eq!(
            header(&received.head, "last-event-id").as_deref(),
            Some("1")
        );
        assert_names_tenant_without_key(&received.head, "first-tenant", "first-key");
        received.start_stream().await;
        received.send_event(2).await;
        received.end_stream().await;
        assert_eq!(client.read_rest().await, (event(1) + &event(2), true));
    });
}

#[test]
fn stream_resumed_by_its_client_names_the_tenant_without_the_key() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = dispatcher.connect().await;
        let headers = "Authorization: Bearer first-key\r\nLast-Event-Id: 4\r\n";
        client.send_request("/r/1", "a", headers, "prompt").await;
        let received = worker.next_request().await;
        assert_eq!(
            header(&received.head, "last-event-id").as_deref(),
            Some("4")
        );
        assert_names_tenant_without_key(&received.head, "first-tenant", "first-key");
    });
}

#[test]
fn key_on_a_public_route_is_not_forwarded() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = dispatcher.connect().await;
        client
            .send_request("/open/1", "a", "Authorization: Bearer first-key\r\n", "")
            .await;
        let received = worker.next_request().await;
        assert!(
            !received.head.contains("first-key"),
            "the client's key reached the worker:\n{}",
            received.head
        );
        received.respond("ran").await;
        assert_eq!(client.read_response().await.text(), "ran");
    });
}

#[test]
fn tenant_named_by_the_client_on_a_public_route_is_removed() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = dispatcher.connect().await;
        client
            .send_request("/open/1", "a", "Mintlb-Tenant: second-tenant\r\n", "")
            .await;
        let received = worker.next_request().await;
        assert_eq!(
            header_values(&received.head, "mintlb-tenant"),
            Vec::<String>::new(),
            "without a key there is no tenant to name:\n{}",
            received.head
        );
        received.respond("ran").await;
        assert_eq!(client.read_response().await.text(), "ran");
    });
}

#[test]
fn request_without_a_key_on_a_public_route_is_run() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = dispatcher.connect().await;
        client.send_request("/open/1", "a", "", "").await;
        let received = worker.next_request().await;
        assert_eq!(
            header_values(&received.head, "mintlb-tenant"),
            Vec::<String>::new()
        );
        received.respond("ran").await;
        assert_eq!(client.read_response().await.text(), "ran");
    });
}

#[test]
fn configuration_without_tenants_forwards_headers_unchanged() {
    run_single_threaded(async {
        let (dispatcher, mut worker) = with_worker_of(WITHOUT_TENANTS).await;
        let mut client = dispatcher.connect().await;
        let headers = "Authorization: Bearer first-key\r\nMintlb-Tenant: second-tenant\r\n";
        client.send_request("/p/1", "a", headers, "").await;
        let received = worker.next_request().await;
        assert_eq!(
            header_values(&received.head, "authorization"),
            ["Bearer first-key"]
        );
        assert_eq!(
            header_values(&received.head, "mintlb-tenant"),
            ["second-tenant"]
        );
        received.respond("ran").await;
        assert_eq!(client.read_response().await.text(), "ran");
    });
}
