//! Routes with equal names: a request goes by the terms of its own route, which host and path prefix tell.

mod harness;

use harness::{TestDispatcher, Worker, run_single_threaded};
use mintlb_common::configuration::{Configuration, RouteId};
use mintlb_common::record::WorkerState;
use mintlb_core::project_types::{NamedProjectType, ProjectTypes};
use mintlb_dispatcher::routing::{RouteTarget, RoutingTable};
use mintlb_dispatcher::scheduler_settings::{ServiceIds, project_types};
use mintlb_scheduler::Idempotency;
use std::sync::Arc;

/// A route named `main` to the service `s`.
fn route(path_prefix: &str, terms: &str) -> String {
    format!(
        r#"{{"name":"main","host_name":"shop.example","path_prefix":"{path_prefix}","target_service":"s",{terms}}}"#
    )
}

const REPEATABLE: &str = r#""route_type":"idempotent","timeout_ms":5000,"target_latency_ms":3000,"priority":0,"max_attempts":2"#;
const ONCE: &str = r#""route_type":"non_idempotent","timeout_ms":9000,"target_latency_ms":6000,"priority":3,"max_attempts":2"#;

fn configuration(version: u64, routes: &[String]) -> String {
    format!(
        r#"{{"config_version":{version},"route_list":[{}],"service_list":[{{"name":"s","max_connections":100}}],
        "limits":{{"max_header_bytes":16384,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(",")
    )
}

async fn with_two_workers(configuration: &str) -> (TestDispatcher, [Worker; 2]) {
    let dispatcher = TestDispatcher::start().await;
    dispatcher.configure(configuration).await;
    let workers = [
        Worker::start("i-1", "s").await,
        Worker::start("i-2", "s").await,
    ];
    for worker in &workers {
        dispatcher
            .set_worker(worker, WorkerState::InService, 1)
            .await;
    }
    (dispatcher, workers)
}

/// Reads the request at the worker that gets it, and crashes that. Returns the index of the other worker.
async fn crash_the_receiver(workers: &mut [Worker; 2]) -> usize {
    let [first, second] = workers;
    let (received, other) = tokio::select! {
        received = first.next_request() => (received, 1),
        received = second.next_request() => (received, 0),
    };
    received.connection.reset();
    other
}

/// Guards against TWICE: a request that may run once was repeated after a crash, by the terms of a route with its name.
#[test]
fn a_request_that_may_run_once_is_not_repeated_by_the_terms_of_another_route_of_its_name() {
    run_single_threaded(async {
        let routes = [route("/p/", REPEATABLE), route("/o/", ONCE)];
        let reversed = [routes[1].clone(), routes[0].clone()];
        for routes in [routes, reversed] {
            let (dispatcher, mut workers) = with_two_workers(&configuration(3, &routes)).await;
            let mut client = dispatcher.connect().await;
            client.send_request("/o/1", "once", "", "x").await;
            let other = crash_the_receiver(&mut workers).await;
            let response = client.read_response().await;
            assert_eq!(response.status, 502, "{}", response.head);
            assert!(!workers[other].has_request(), "TWICE");
        }
    });
}

#[test]
fn a_request_that_may_be_repeated_is_repeated_beside_a_route_of_its_name_that_may_not() {
    run_single_threaded(async {
        let routes = [route("/o/", ONCE), route("/p/", REPEATABLE)];
        let (dispatcher, mut workers) = with_two_workers(&configuration(3, &routes)).await;
        let mut client = dispatcher.connect().await;
        client.send_request("/p/1", "again", "", "x").await;
        let other = crash_the_receiver(&mut workers).await;
        workers[other].next_request().await.respond("done").await;
        let response = client.read_response().await;
        assert_eq!((response.status, &*response.text()), (200, "done"));
    });
}

/// The name goes to another route in a new version while a request of the first is at a worker.
#[test]
fn a_request_in_flight_keeps_its_route_when_the_name_goes_to_another_one() {
    run_single_threaded(async {
        let first = configuration(3, &[route("/o/", ONCE)]);
        let (dispatcher, mut workers) = with_two_workers(&first).await;
        let mut client = dispatcher.connect().await;
        client.send_request("/o/1", "once", "", "x").await;
        let [one, two] = &mut workers;
        let (received, other) = tokio::select! {
            received = one.next_request() => (received, 1),
            received = two.next_request() => (received, 0),
        };
        dispatcher
            .configure(&configuration(4, &[route("/p/", REPEATABLE)]))
            .await;
        received.connection.reset();
        let response = client.read_response().await;
        assert_eq!(response.status, 502, "{}", response.head);
        assert!(!workers[other].has_request(), "TWICE");
    });
}

struct Built {
    table: RoutingTable,
    types: Vec<NamedProjectType>,
}

fn build(json: &str) -> Built {
    let configuration = Arc::new(Configuration::parse(json.as_bytes()).unwrap());
    let types = ProjectTypes::new(project_types(&configuration, &mut ServiceIds::default()));
    Built {
        table: RoutingTable::new(configuration, types.active()),
        types: types.active().to_vec(),
    }
}

impl Built {
    fn target(&self, path: &str) -> RouteTarget {
        let target = self.table.target("shop.example", path, None, 0.0, |_| true);
        target.unwrap()
    }

    fn project_type(&self, number: usize) -> &NamedProjectType {
        let mut types = self.types.iter();
        types.find(|named| named.number == number).unwrap()
    }
}

#[test]
fn routes_of_one_name_have_their_own_times_priorities_and_attempts() {
    let built = build(&configuration(
        3,
        &[route("/p/", REPEATABLE), route("/o/", ONCE)],
    ));
    let [p, o] = ["/p/1", "/o/1"].map(|path| built.target(path));
    let [of_p, of_o] = [&p, &o].map(|target| &built.project_type(target.project_type).project_type);
    assert_eq!(of_p.idempotency, Idempotency::Idempotent);
    assert_eq!(of_o.idempotency, Idempotency::NonIdempotent);
    assert_eq!((of_p.promised_turnaround, of_p.hard_limit), (3.0, 5.0));
    assert_eq!((of_o.promised_turnaround, of_o.hard_limit), (6.0, 9.0));
    assert!(of_p.credit > of_o.credit, "priority 0 has a higher weight");
    // A request that is submitted again gets the type of its own route.
    for target in [&p, &o] {
        let again = built
            .table
            .project_type(&target.route.id, "s", target.priority);
        assert_eq!(again, Some(target.project_type));
    }
    // Their lines of counts can be told apart.
    assert_eq!(p.route.label, "main (shop.example/p/)");
    assert_eq!(o.route.label, "main (shop.example/o/)");
}

#[test]
fn a_retry_does_not_go_by_a_route_that_took_the_name() {
    let before = build(&configuration(3, &[route("/p/", REPEATABLE)]));
    let request = before.target("/p/1");
    let renamed = route("/p/", REPEATABLE).replace("main", "other");
    let after = build(&configuration(4, &[route("/o/", ONCE), renamed]));
    let again = after
        .table
        .project_type(&request.route.id, "s", request.priority);
    let named = after.project_type(again.unwrap());
    assert_eq!(named.name, "shop.example/p/@s");
    assert_eq!(named.project_type.idempotency, Idempotency::Idempotent);
}

/// What was learned under a project type goes on under its next number. It is that of the same route, not of the name.
#[test]
fn numbers_across_versions_follow_the_route_not_the_name() {
    let types_of = |json: &str| {
        let configuration = Configuration::parse(json.as_bytes()).unwrap();
        project_types(&configuration, &mut ServiceIds::default())
    };
    let first = types_of(&configuration(3, &[route("/p/", REPEATABLE)]));
    let mut types = ProjectTypes::new(first);
    let moved = route("/p/", ONCE).replace("main", "other");
    let next = types_of(&configuration(4, &[route("/o/", REPEATABLE), moved]));
    let changes = types.update(&next, &[0].into_iter().collect());
    let predecessors: Vec<_> = changes.iter().map(|change| change.predecessor).collect();
    assert_eq!(predecessors, [None, Some(0)]);
    assert!(changes.iter().all(|change| change.number != 0), "in use");
}

/// Names of services may hold what separates the parts of a project type's name.
#[test]
fn services_are_not_taken_for_a_priority() {
    let json = r#"{"config_version":1,"tenant_list":[{"name":"t","api_keys":["k"],"priority":1}],"route_list":[
        {"name":"a","host_name":"a.example","path_prefix":"/x@s 1/","route_type":"idempotent","priority":0,
         "traffic_split":[{"target_service":"s","weight":1},{"target_service":"s 1","weight":1}]}],
        "service_list":[{"name":"s"},{"name":"s 1"}]}"#;
    let built = build(json);
    assert_eq!(built.types.len(), 4, "two services with two priorities");
    let kind = |draw, priority| {
        let target = built
            .table
            .target("a.example", "/x@s 1/y", priority, draw, |_| true);
        let number = target.unwrap().project_type;
        built.project_type(number).project_type.machine_kind
    };
    assert_eq!(kind(0.1, None), kind(0.1, Some(1)));
    assert_ne!(kind(0.1, Some(1)), kind(0.9, None));
}

#[test]
fn ids_of_routes_differ_unless_host_and_prefix_are_the_same() {
    let id = RouteId::new;
    assert_eq!(id("Shop.Example", "/p/"), id("shop.example", "/p/"));
    assert_ne!(id("shop.example", "/p/"), id("shop.example", "/P/"));
    assert_ne!(id("a", "/b/c/"), id("a/b", "/c/"));
    assert_ne!(id("a%2Fb", "/c/"), id("a/b", "/c/"));
    assert_ne!(id("a", "/x@/"), id("a", "/x%40/"));
}
