//! Places where the configuration of tenants changes under a request.

mod machine;

use machine::{CONFIGURATION, Machine, Parts, Worker, header, on_one_thread};
use mintlb_common::configuration::Configuration;
use mintlb_common::record::WorkerState;
use mintlb_core::project_types::ProjectTypes;
use mintlb_dispatcher::admission::{Admission, AdmissionFuture, RateLimiter};
use mintlb_dispatcher::routing::RoutingTable;
use mintlb_dispatcher::tenants::TenantTerms;
use mintlb_dispatcher::tuning::{ServiceNumbers, project_types};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Admits a request once it is released.
#[derive(Default)]
struct Held {
    asked: Notify,
    released: Notify,
}

impl RateLimiter for Held {
    fn admit<'a>(&'a self, _: &'a TenantTerms, _: Duration) -> AdmissionFuture<'a> {
        Box::pin(async {
            self.asked.notify_one();
            self.released.notified().await;
            Admission::Admitted
        })
    }
}

fn without_tenants(version: u64) -> String {
    let field = format!(r#""config_version":{version},"#);
    CONFIGURATION.replacen(r#""config_version":3,"#, &field, 1)
}

fn with_tenants(version: u64, tenants: &str) -> String {
    let field = format!(r#""config_version":{version},"tenant_list":{tenants},"#);
    CONFIGURATION.replacen(r#""config_version":3,"#, &field, 1)
}

/// UNASKED: the worker would get the key.
#[test]
fn a_key_is_not_forwarded_though_the_tenants_go_while_its_request_waits() {
    on_one_thread(async {
        let held = Arc::new(Held::default());
        let parts = Parts {
            rate_limiter: Some(held.clone()),
            ..Parts::default()
        };
        let machine = Machine::start_with(parts).await;
        let mut worker = Worker::start("i-1", "s").await;
        let tenants = r#"[{"name":"north","api_keys":["north-key"],"rate_per_s":9}]"#;
        machine.configure(&with_tenants(3, tenants)).await;
        machine.set_worker(&worker, WorkerState::InService, 1).await;
        let mut client = machine.client().await;
        let key = "Authorization: Bearer north-key\r\n";
        client.post("/p/1", "id-1", key, "x").await;
        held.asked.notified().await;
        machine.configure(&without_tenants(4)).await;
        held.released.notify_one();
        let received = worker.next_request().await;
        let tenant = header(&received.head, "mintlb-tenant");
        assert_eq!(tenant.as_deref(), Some("north"), "{}", received.head);
        assert!(!received.head.contains("north-key"), "{}", received.head);
    });
}

/// Ten routes and a batch route of priority 2, and tenants of these priorities.
fn table(priorities: &[u32]) -> (RoutingTable, ProjectTypes) {
    let route = |name: String, kind: &str| {
        format!(
            r#"{{"name":"{name}","host_name":"{name}.example","path_prefix":"/","route_type":"{kind}",
            "priority":2,"target_service":"s"}}"#
        )
    };
    let mut routes: Vec<String> = (0..10)
        .map(|number| route(format!("r{number}"), "idempotent"))
        .collect();
    routes.push(route("lots".to_string(), "batch"));
    let tenant = |priority: &u32| {
        format!(r#"{{"name":"t{priority}","api_keys":["k{priority}"],"priority":{priority}}}"#)
    };
    let tenants: Vec<String> = priorities.iter().map(tenant).collect();
    let json = format!(
        r#"{{"config_version":3,"tenant_list":[{}],"route_list":[{}],"service_list":[{{"name":"s"}}]}}"#,
        tenants.join(","),
        routes.join(",")
    );
    let configuration = Configuration::parse(json.as_bytes()).unwrap();
    let types = project_types(&configuration, &mut ServiceNumbers::default());
    let types = ProjectTypes::new(types);
    let table = RoutingTable::new(Arc::new(configuration), types.active());
    (table, types)
}

fn name(types: &ProjectTypes, number: usize) -> &str {
    let mut named = types.active().iter();
    &named.find(|named| named.number == number).unwrap().name
}

#[test]
fn a_retry_keeps_its_route_when_its_priority_is_gone() {
    let (table, types) = table(&[0, 1]);
    for route in (0..10).map(|number| format!("r{number}")) {
        let number = table.type_of(&route, "s", 5).unwrap();
        let found = name(&types, number);
        assert!(found.starts_with(&format!("{route}@")), "{found}");
    }
}

#[test]
fn an_item_without_a_tenant_has_the_priority_of_its_route() {
    let (table, types) = table(&[0, 1]);
    let host = "lots.example";
    let target = table.target(host, "/x", None, 0.0, |_| true).unwrap();
    assert_eq!(target.priority, 2);
    assert_eq!(name(&types, target.project_type), "lots@s");
}

#[test]
fn a_request_of_a_priority_that_is_gone_has_that_of_its_route() {
    let (table, types) = table(&[0, 1]);
    let host = "r3.example";
    let target = table.target(host, "/x", Some(7), 0.0, |_| true).unwrap();
    assert_eq!(target.priority, 2);
    assert_eq!(name(&types, target.project_type), "r3@s");
}
