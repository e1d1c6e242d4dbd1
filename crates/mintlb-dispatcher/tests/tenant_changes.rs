//! Changes of the tenants' configuration while a request is in progress.

mod harness;

use harness::{CONFIGURATION, Overrides, TestDispatcher, Worker, header, run_single_threaded};
use mintlb_common::configuration::{Configuration, RouteId};
use mintlb_common::record::WorkerState;
use mintlb_core::project_types::ProjectTypes;
use mintlb_dispatcher::admission::{Admission, AdmissionFuture, RateLimiter};
use mintlb_dispatcher::routing::RoutingTable;
use mintlb_dispatcher::scheduler_settings::{ServiceIds, project_types};
use mintlb_dispatcher::tenants::TenantSettings;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// A limiter that admits a request once the test releases it.
#[derive(Default)]
struct HoldingLimiter {
    asked: Notify,
    released: Notify,
}

impl RateLimiter for HoldingLimiter {
    fn admit<'a>(&'a self, _: &'a TenantSettings, _: Duration) -> AdmissionFuture<'a> {
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

/// The worker would otherwise get the client's key.
#[test]
fn key_is_not_forwarded_if_tenants_are_removed_during_admission() {
    run_single_threaded(async {
        let limiter = Arc::new(HoldingLimiter::default());
        let overrides = Overrides {
            rate_limiter: Some(limiter.clone()),
            ..Overrides::default()
        };
        let dispatcher = TestDispatcher::start_with(overrides).await;
        let mut worker = Worker::start("i-1", "s").await;
        let tenants = r#"[{"name":"north","api_keys":["north-key"],"rate_per_s":9}]"#;
        dispatcher.configure(&with_tenants(3, tenants)).await;
        dispatcher
            .set_worker(&worker, WorkerState::InService, 1)
            .await;
        let mut client = dispatcher.connect().await;
        let key = "Authorization: Bearer north-key\r\n";
        client.send_request("/p/1", "id-1", key, "x").await;
        limiter.asked.notified().await;
        dispatcher.configure(&without_tenants(4)).await;
        limiter.released.notify_one();
        let received = worker.next_request().await;
        let tenant = header(&received.head, "mintlb-tenant");
        assert_eq!(tenant.as_deref(), Some("north"), "{}", received.head);
        assert!(!received.head.contains("north-key"), "{}", received.head);
    });
}

/// A table of ten routes and a batch route, all of priority 2, with a tenant for each of these priorities.
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
    let types = project_types(&configuration, &mut ServiceIds::default());
    let types = ProjectTypes::new(types);
    let table = RoutingTable::new(Arc::new(configuration), types.active());
    (table, types)
}

fn name(types: &ProjectTypes, number: usize) -> &str {
    let mut named = types.active().iter();
    &named.find(|named| named.number == number).unwrap().name
}

#[test]
fn retry_keeps_its_route_if_its_priority_was_removed() {
    let (table, types) = table(&[0, 1]);
    for route in (0..10).map(|number| format!("r{number}")) {
        let id = RouteId::new(&format!("{route}.example"), "/");
        let number = table.project_type(&id, "s", 5).unwrap();
        let found = name(&types, number);
        assert!(found.starts_with(&format!("{id}@")), "{found}");
    }
}

#[test]
fn item_without_a_tenant_has_the_priority_of_its_route() {
    let (table, types) = table(&[0, 1]);
    let host = "lots.example";
    let target = table.target(host, "/x", None, 0.0, |_| true).unwrap();
    assert_eq!(target.priority, 2);
    assert_eq!(name(&types, target.project_type), "lots.example/@s");
}

#[test]
fn request_with_a_removed_priority_has_that_of_its_route() {
    let (table, types) = table(&[0, 1]);
    let host = "r3.example";
    let target = table.target(host, "/x", Some(7), 0.0, |_| true).unwrap();
    assert_eq!(target.priority, 2);
    assert_eq!(name(&types, target.project_type), "r3.example/@s");
}
