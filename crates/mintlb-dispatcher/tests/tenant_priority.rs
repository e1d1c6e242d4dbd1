//! Priorities of tenants: the project types of their requests, which determine the weight at the scheduler.

use arbtest::arbtest;
use mintlb_common::configuration::Configuration;
use mintlb_core::project_types::NamedProjectType;
use mintlb_dispatcher::routing::{RouteTarget, RoutingTable};
use mintlb_dispatcher::scheduler_settings::{ServiceIds, project_types};
use std::collections::HashSet;
use std::sync::Arc;

/// Ratio of the weights of two adjacent priorities.
const PRIORITY_WEIGHT_RATIO: f64 = 4.0;
/// Weight of a batch item, relative to a live request of the same priority.
const BATCH_WEIGHT: f64 = 1.0 / 16.0;

const ROUTES: &str = r#""route_list":[
 {"name":"a","host_name":"one.example","path_prefix":"/a/","route_type":"streaming","resumable":true,"timeout_ms":2000,
  "target_latency_ms":200,"priority":2,"target_service":"s","max_attempts":2},
 {"name":"b","host_name":"one.example","path_prefix":"/b/","route_type":"non_idempotent","timeout_ms":2000,
  "target_latency_ms":200,"priority":0,"target_service":"s"},
 {"name":"lots","host_name":"one.example","path_prefix":"/lots/","route_type":"batch","completion_target_ms":8000,
  "target_latency_ms":200,"priority":1,"target_service":"s"},
 {"name":"open","host_name":"one.example","path_prefix":"/open/","route_type":"streaming","resumable":true,
  "timeout_ms":2000,"target_latency_ms":100,"priority":3,"target_service":"s","max_attempts":2,"public_access":true},
 {"name":"free","host_name":"one.example","path_prefix":"/free/","route_type":"streaming","resumable":true,
  "timeout_ms":2000,"target_latency_ms":100,"priority":3,"target_service":"s","max_attempts":2,"public_access":true}
 ],"service_list":[{"name":"s"}]"#;
/// Two tenants of the highest priority, two of another, one without.
const TENANTS: &str = r#""tenant_list":[{"name":"high","api_keys":["k1"],"priority":0},
 {"name":"high-too","api_keys":["k2"],"priority":0},{"name":"low","api_keys":["k3"],"priority":5},
 {"name":"low-too","api_keys":["k4"],"priority":5},{"name":"none","api_keys":["k5"]}],"#;

/// A routing table and its project types.
struct TableWithTypes {
    table: RoutingTable,
    types: Vec<NamedProjectType>,
}

fn build(json: &str) -> TableWithTypes {
    let configuration = Arc::new(Configuration::parse(json.as_bytes()).unwrap());
    let types = project_types(&configuration, &mut ServiceIds::default());
    let named = types.into_iter().enumerate();
    let types: Vec<NamedProjectType> = named
        .map(|(number, (name, project_type))| NamedProjectType {
            name,
            number,
            project_type,
        })
        .collect();
    let table = RoutingTable::new(configuration, &types);
    TableWithTypes { table, types }
}

fn with_tenants() -> TableWithTypes {
    build(&format!(r#"{{"config_version":1,{TENANTS}{ROUTES}}}"#))
}

impl TableWithTypes {
    fn target(&self, path: &str, priority: Option<u32>) -> RouteTarget {
        self.table
            .target("one.example", path, priority, 0.0, |_| true)
            .unwrap()
    }

    fn project_type(&self, target: &RouteTarget) -> &NamedProjectType {
        let number = target.project_type;
        let mut types = self.types.iter();
        types.find(|named| named.number == number).unwrap()
    }

    /// The weight of a request of a tenant with this priority.
    fn weight(&self, path: &str, priority: Option<u32>) -> f64 {
        self.project_type(&self.target(path, priority))
            .project_type
            .credit
    }
}

/// Weight of a request with the first priority, relative to one with the other.
fn ratio(priority: i32, other: i32) -> f64 {
    PRIORITY_WEIGHT_RATIO.powi(other - priority)
}

#[test]
fn tenants_priority_replaces_its_routes() {
    let built = with_tenants();
    for priority in [0, 5] {
        let weights = ["/a/1", "/b/1"].map(|path| built.weight(path, Some(priority)));
        assert_eq!(weights[0], weights[1], "priority {priority} on both routes");
        let items = built.weight("/lots/1", Some(priority));
        assert_eq!(items, weights[0] * BATCH_WEIGHT, "priority {priority}");
    }
    for path in ["/a/1", "/b/1", "/lots/1"] {
        let (high, low) = (built.weight(path, Some(0)), built.weight(path, Some(5)));
        assert_eq!(high / low, ratio(0, 5), "{path}");
    }
}

#[test]
fn tenant_without_a_priority_has_its_routes() {
    let built = with_tenants();
    let (a, b) = (built.weight("/a/1", None), built.weight("/b/1", None));
    assert_eq!(b / a, ratio(0, 2));
    assert_eq!(
        built.weight("/b/1", Some(0)),
        b,
        "the route's own priority is 0"
    );
    assert_eq!(built.weight("/a/1", Some(0)) / a, ratio(0, 2));
    assert_eq!(a / built.weight("/a/1", Some(5)), ratio(2, 5));
    let items = built.weight("/lots/1", None);
    assert_eq!(items, ratio(1, 0) * b * BATCH_WEIGHT);
}

#[test]
fn tenants_priority_only_changes_the_weight() {
    let built = with_tenants();
    for path in ["/a/1", "/b/1", "/lots/1"] {
        let types = [None, Some(0), Some(5)].map(|priority| {
            let target = built.target(path, priority);
            let mut project_type = built.project_type(&target).project_type.clone();
            project_type.credit = 0.0;
            format!("{project_type:?}")
        });
        assert_eq!(types[0], types[1], "{path}");
        assert_eq!(types[0], types[2], "{path}");
    }
}

#[test]
fn public_route_has_only_its_own_priority() {
    let built = with_tenants();
    let numbers = [None, Some(0), Some(3), Some(5)]
        .map(|priority| built.target("/open/1", priority).project_type);
    assert!(
        numbers.iter().all(|number| *number == numbers[0]),
        "{numbers:?}"
    );
    let (open, b) = (built.weight("/open/1", Some(5)), built.weight("/b/1", None));
    assert_eq!(open / b, ratio(3, 0));
    let names = built.types.iter().map(|named| named.name.as_str());
    let open = names
        .filter(|name| name.starts_with("one.example/open/@"))
        .count();
    assert_eq!(open, 1);
}

#[test]
fn resumed_stream_keeps_its_project_type() {
    let built = with_tenants();
    for (route, path) in [("a", "/a/1"), ("b", "/b/1"), ("lots", "/lots/1")] {
        for priority in [None, Some(0), Some(5)] {
            let target = built.target(path, priority);
            let again = built
                .table
                .project_type(&target.route.id, "s", target.priority);
            assert_eq!(again, Some(target.project_type), "{route}, {priority:?}");
        }
    }
}

#[test]
fn resumed_public_stream_of_a_tenant_with_a_priority_has_its_routes_project_type() {
    let built = with_tenants();
    for (route, path) in [("open", "/open/1"), ("free", "/free/1")] {
        for priority in [None, Some(0), Some(5)] {
            let target = built.target(path, priority);
            let again = built
                .table
                .project_type(&target.route.id, "s", target.priority);
            let name = |number: usize| built.types[number].name.as_str();
            assert_eq!(
                again.map(name),
                Some(name(target.project_type)),
                "a tenant of priority {priority:?} on {route}"
            );
        }
    }
}

#[test]
fn item_of_a_removed_tenant_has_its_routes_priority() {
    // No tenant has the route's own priority, 2.
    let tenants = r#""tenant_list":[{"name":"high","api_keys":["k1"],"priority":0},
 {"name":"low","api_keys":["k3"],"priority":5}],"#;
    let built = build(&format!(r#"{{"config_version":1,{tenants}{ROUTES}}}"#));
    let (own, highest) = (built.weight("/a/1", None), built.weight("/a/1", Some(0)));
    assert!(
        own <= highest * ratio(2, 0),
        "its weight without a tenant is {own}, and that of the highest priority {highest}"
    );
}

#[test]
fn without_tenants_each_route_has_one_project_type() {
    let built = build(&format!(r#"{{"config_version":1,{ROUTES}}}"#));
    let names: Vec<&str> = built.types.iter().map(|named| &*named.name).collect();
    assert_eq!(
        names,
        ["a", "b", "lots", "open", "free"].map(|route| format!("one.example/{route}/@s"))
    );
}

#[test]
fn tenants_of_one_priority_share_a_project_type() {
    let built = with_tenants();
    // The priorities of the route and of two tenants; that of `b` is the same as that of `high`, and `open` has only its
    // own.
    let count = |route: &str| {
        let names = built.types.iter().map(|named| named.name.as_str());
        names.filter(|name| name.starts_with(route)).count()
    };
    assert_eq!(
        ["a", "b", "lots", "open"].map(|route| count(&format!("one.example/{route}/@"))),
        [3, 2, 3, 1]
    );
}

#[test]
fn number_of_project_types_is_at_most_routes_times_distinct_priorities() {
    arbtest(|u| {
        let route_count = u.int_in_range(1..=5)?;
        let (mut routes, mut tenants, mut priorities) = (Vec::new(), Vec::new(), HashSet::new());
        for index in 0..route_count {
            let (priority, public): (u32, bool) = (u.int_in_range(0..=4)?, u.ratio(1, 4)?);
            priorities.insert(priority);
            routes.push(format!(
                r#"{{"name":"r{index}","host_name":"one.example","path_prefix":"/{index}/",
                "route_type":"idempotent","target_latency_ms":200,"priority":{priority},"target_service":"s",
                "public_access":{public}}}"#
            ));
        }
        for index in 0..u.int_in_range(0..=20)? {
            let priority: Option<u32> = match u.ratio(1, 4)? {
                true => None,
                false => Some(u.int_in_range(0..=9)?),
            };
            priorities.extend(priority);
            let field = priority.map_or(String::new(), |priority| {
                format!(r#","priority":{priority}"#)
            });
            tenants.push(format!(
                r#"{{"name":"t{index}","api_keys":["k{index}"]{field}}}"#
            ));
        }
        let built = build(&format!(
            r#"{{"config_version":1,"tenant_list":[{}],"route_list":[{}],"service_list":[{{"name":"s"}}]}}"#,
            tenants.join(","),
            routes.join(",")
        ));
        let names: HashSet<&str> = built.types.iter().map(|named| &*named.name).collect();
        assert_eq!(
            names.len(),
            built.types.len(),
            "a project type exists twice"
        );
        assert!(built.types.len() >= route_count);
        assert!(
            built.types.len() <= route_count * priorities.len(),
            "{} types of {route_count} routes and {} priorities",
            built.types.len(),
            priorities.len()
        );
        Ok(())
    });
}
