//! Keys of tenants at a dispatcher: what a worker may see of them. A worker gets the name of the key's tenant in
//! `Mintlb-Tenant`, and never the key.

mod machine;

use machine::{Machine, Worker, event, header, on_one_thread};
use mintlb_common::record::WorkerState;

/// Two tenants, the first of which holds two keys; `open` is a public route.
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

async fn with_worker_of(configuration: &str) -> (Machine, Worker) {
    let machine = Machine::start().await;
    machine.configure(configuration).await;
    let worker = another_worker(&machine, "i-1").await;
    (machine, worker)
}

async fn another_worker(machine: &Machine, instance_id: &str) -> Worker {
    let worker = Worker::start(instance_id, "s").await;
    machine.set_worker(&worker, WorkerState::InService, 1).await;
    worker
}

/// Every value of a header, in the order of the head.
fn header_values(head: &str, name: &str) -> Vec<String> {
    head.lines()
        .filter_map(|line| line.split_once(':'))
        .filter(|(named, _)| named.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim().to_string())
        .collect()
}

/// Asserts that a request at a worker names this tenant, once, and carries this key nowhere in its head.
fn assert_names_tenant_without_key(head: &str, tenant: &str, key: &str) {
    assert!(
        !head.contains(key),
        "the client's key reached the worker:\n{head}"
    );
    assert_eq!(
        header_values(head, "authorization"),
        Vec::<String>::new(),
        "a worker gets no Authorization:\n{head}"
    );
    assert_eq!(
        header_values(head, "mintlb-tenant"),
        [tenant],
        "a worker gets the name of the key's tenant, once:\n{head}"
    );
}

#[test]
fn the_key_is_not_forwarded_and_the_tenant_is_named() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = machine.client().await;
        client
            .post("/p/1", "a", "Authorization: Bearer first-key\r\n", "")
            .await;
        let received = worker.next_request().await;
        assert_names_tenant_without_key(&received.head, "first-tenant", "first-key");
        received.answer("ran").await;
        assert_eq!(client.get().await.text(), "ran");
    });
}

#[test]
fn a_tenant_named_by_the_client_is_replaced() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = machine.client().await;
        let headers = "Mintlb-Tenant: second-tenant\r\nAuthorization: Bearer first-key\r\n\
                       mintlb-tenant: second-tenant\r\n";
        client.post("/p/1", "a", headers, "").await;
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
fn a_client_cannot_remove_the_tenant_as_a_connection_header() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = machine.client().await;
        let headers = "Authorization: Bearer first-key\r\nConnection: mintlb-tenant\r\n";
        client.post("/p/1", "a", headers, "").await;
        let received = worker.next_request().await;
        assert_names_tenant_without_key(&received.head, "first-tenant", "first-key");
    });
}

#[test]
fn each_request_of_a_connection_names_the_tenant_of_its_own_key() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = machine.client().await;
        let (mut expected, mut named) = (Vec::new(), Vec::new());
        for (id, key, tenant) in [
            ("a", "first-key", "first-tenant"),
            ("b", "second-key", "second-tenant"),
            ("c", "first-spare-key", "first-tenant"),
        ] {
            let headers = format!("Authorization: Bearer {key}\r\n");
            client.post("/p/1", id, &headers, "").await;
            let received = worker.next_request().await;
            expected.push(vec![tenant.to_string()]);
            named.push(header_values(&received.head, "mintlb-tenant"));
            received.answer("ran").await;
            client.get().await;
        }
        assert_eq!(
            named, expected,
            "the values of Mintlb-Tenant, request by request"
        );
    });
}

#[test]
fn a_retry_at_a_second_worker_names_the_tenant_without_the_key() {
    on_one_thread(async {
        let (machine, mut one) = with_worker_of(WITH_TENANTS).await;
        let mut client = machine.client().await;
        let headers = "Authorization: Bearer first-key\r\nMintlb-Tenant: second-tenant\r\n";
        client.post("/p/1", "a", headers, "").await;
        let received = one.next_request().await;
        let mut two = another_worker(&machine, "i-2").await;
        drop(received);
        let received = two.next_request().await;
        assert_eq!(received.id(), "a");
        assert_names_tenant_without_key(&received.head, "first-tenant", "first-key");
        received.answer("from two").await;
        assert_eq!(client.get().await.text(), "from two");
    });
}

#[test]
fn a_stream_continued_at_another_worker_names_the_tenant_without_the_key() {
    on_one_thread(async {
        let (machine, mut one) = with_worker_of(WITH_TENANTS).await;
        let mut client = machine.client().await;
        let headers = "Authorization: Bearer first-key\r\nMintlb-Tenant: second-tenant\r\n";
        client.post("/r/1", "a", headers, "prompt").await;
        let mut received = one.next_request().await;
        let mut two = another_worker(&machine, "i-2").await;
        received.begin_stream().await;
        received.event(1).await;
        client.head().await;
        client.chunks(event(1).len()).await;
        received.on.reset();
        let mut received = two.next_request().await;
        assert_eq!(
            header(&received.head, "last-event-id").as_deref(),
            Some("1")
        );
        assert_names_tenant_without_key(&received.head, "first-tenant", "first-key");
        received.begin_stream().await;
        received.event(2).await;
        received.end_stream().await;
        assert_eq!(client.rest().await, (event(1) + &event(2), true));
    });
}

#[test]
fn a_stream_that_its_client_resumes_names_the_tenant_without_the_key() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = machine.client().await;
        let headers = "Authorization: Bearer first-key\r\nLast-Event-Id: 4\r\n";
        client.post("/r/1", "a", headers, "prompt").await;
        let received = worker.next_request().await;
        assert_eq!(
            header(&received.head, "last-event-id").as_deref(),
            Some("4")
        );
        assert_names_tenant_without_key(&received.head, "first-tenant", "first-key");
    });
}

#[test]
fn a_key_on_a_public_route_is_not_forwarded() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = machine.client().await;
        client
            .post("/open/1", "a", "Authorization: Bearer first-key\r\n", "")
            .await;
        let received = worker.next_request().await;
        assert!(
            !received.head.contains("first-key"),
            "the client's key reached the worker:\n{}",
            received.head
        );
        received.answer("ran").await;
        assert_eq!(client.get().await.text(), "ran");
    });
}

#[test]
fn a_tenant_named_by_the_client_on_a_public_route_is_removed() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = machine.client().await;
        client
            .post("/open/1", "a", "Mintlb-Tenant: second-tenant\r\n", "")
            .await;
        let received = worker.next_request().await;
        assert_eq!(
            header_values(&received.head, "mintlb-tenant"),
            Vec::<String>::new(),
            "without a key there is no tenant to name:\n{}",
            received.head
        );
        received.answer("ran").await;
        assert_eq!(client.get().await.text(), "ran");
    });
}

#[test]
fn a_request_without_a_key_on_a_public_route_is_run() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker_of(WITH_TENANTS).await;
        let mut client = machine.client().await;
        client.post("/open/1", "a", "", "").await;
        let received = worker.next_request().await;
        assert_eq!(
            header_values(&received.head, "mintlb-tenant"),
            Vec::<String>::new()
        );
        received.answer("ran").await;
        assert_eq!(client.get().await.text(), "ran");
    });
}

#[test]
fn a_configuration_without_tenants_forwards_headers_unchanged() {
    on_one_thread(async {
        let (machine, mut worker) = with_worker_of(WITHOUT_TENANTS).await;
        let mut client = machine.client().await;
        let headers = "Authorization: Bearer first-key\r\nMintlb-Tenant: second-tenant\r\n";
        client.post("/p/1", "a", headers, "").await;
        let received = worker.next_request().await;
        assert_eq!(
            header_values(&received.head, "authorization"),
            ["Bearer first-key"]
        );
        assert_eq!(
            header_values(&received.head, "mintlb-tenant"),
            ["second-tenant"]
        );
        received.answer("ran").await;
        assert_eq!(client.get().await.text(), "ran");
    });
}
