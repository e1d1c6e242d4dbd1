//! Places where the configuration of tenants changes under a request.

use mintlb_common::configuration::Configuration;
use mintlb_core::types::Types;
use mintlb_dispatcher::routing::RoutingTable;
use mintlb_dispatcher::tuning::{ServiceNumbers, project_types};
use std::sync::Arc;

/// Ten routes and a batch route of priority 2, and tenants of these priorities.
fn table(priorities: &[u32]) -> (RoutingTable, Types) {
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
    let types = Types::new(types);
    let table = RoutingTable::new(Arc::new(configuration), types.served());
    (table, types)
}

fn name(types: &Types, number: usize) -> &str {
    let mut named = types.served().iter();
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
