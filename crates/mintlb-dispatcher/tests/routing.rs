//! Routes, traffic splits, project types, and prefix-cache affinity of prompts.

use arbtest::arbtest;
use mintlb_common::configuration::{Configuration, RouteId};
use mintlb_core::project_types::NamedProjectType;
use mintlb_dispatcher::prefix_affinity::{Prompt, preferred_workers};
use mintlb_dispatcher::routing::RoutingTable;
use mintlb_dispatcher::scheduler_settings::{ServiceIds, project_types};
use mintlb_scheduler::Idempotency;
use std::sync::Arc;

const CONFIGURATION: &str = r#"{"config_version":1,"route_list":[
 {"name":"a","host_name":"One.example","path_prefix":"/x/","route_type":"idempotent","timeout_ms":2000,
  "target_latency_ms":200,"priority":0,"traffic_split":[{"target_service":"s","weight":90},
  {"target_service":"t","weight":10},{"target_service":"u","weight":0}],"max_attempts":2},
 {"name":"b","host_name":"one.example","path_prefix":"/x/y/","route_type":"non_idempotent","timeout_ms":2000,
  "target_latency_ms":200,"priority":2,"target_service":"t"},
 {"name":"c","host_name":"two.example","path_prefix":"/x/","route_type":"streaming","resumable":true,
  "timeout_ms":2000,"target_latency_ms":100,"priority":1,"target_service":"t"}
 ],"service_list":[{"name":"s"},{"name":"t"},{"name":"u"}]}"#;

fn table() -> (RoutingTable, Vec<NamedProjectType>) {
    let configuration = Arc::new(Configuration::parse(CONFIGURATION.as_bytes()).unwrap());
    let types = project_types(&configuration, &mut ServiceIds::default());
    let named = types.into_iter().enumerate();
    let types: Vec<NamedProjectType> = named
        .map(|(number, (name, project_type))| NamedProjectType {
            name,
            number,
            project_type,
        })
        .collect();
    (RoutingTable::new(configuration, &types), types)
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let (table, _) = table();
    let route = |host, path| {
        table
            .route(host, path)
            .map(|(_, terms)| terms.label.clone())
    };
    assert_eq!(route("one.example", "/x/1").as_deref(), Some("a"));
    assert_eq!(route("ONE.example:80", "/x/y/1").as_deref(), Some("b"));
    assert_eq!(route("one.example", "/x/y").as_deref(), Some("a"));
    assert_eq!(route("two.example", "/x/y/1").as_deref(), Some("c"));
    assert_eq!(route("one.example", "/x"), None);
    assert_eq!(route("other.example", "/x/1"), None);
}

#[test]
fn services_are_chosen_by_weight_and_never_with_weight_0() {
    let (table, types) = table();
    let drawn = |draw| {
        table
            .target("one.example", "/x/1", None, draw, |_| true)
            .unwrap()
    };
    assert_eq!((&*drawn(0.0).service, &*drawn(0.89).service), ("s", "s"));
    assert_eq!(
        (&*drawn(0.91).service, &*drawn(0.999_999).service),
        ("t", "t")
    );
    let only_t = |draw| {
        table
            .target("one.example", "/x/1", None, draw, |service| service == "t")
            .unwrap()
    };
    assert_eq!(
        (&*only_t(0.0).service, &*only_t(0.95).service),
        ("t", "t"),
        "s has no worker, so t is chosen"
    );
    assert_eq!(
        &*table
            .target("one.example", "/x/1", None, 0.0, |_| false)
            .unwrap()
            .service,
        "s"
    );
    let name = |number: usize| {
        types
            .iter()
            .find(|named| named.number == number)
            .unwrap()
            .name
            .clone()
    };
    assert_eq!(name(drawn(0.0).project_type), "one.example/x/@s");
    assert_eq!(name(drawn(0.95).project_type), "one.example/x/@t");
    assert!(types.iter().all(|named| named.name != "one.example/x/@u"));
    let a = RouteId::new("one.example", "/x/");
    assert_eq!(
        table.project_type(&a, "t", 0).map(name).as_deref(),
        Some("one.example/x/@t")
    );
    let gone = RouteId::new("gone.example", "/x/");
    let other = table.project_type(&gone, "t", 0).map(name).unwrap();
    assert!(
        other.ends_with("@t"),
        "the retry of a request whose route was removed has project type {other}"
    );
    assert_eq!(table.project_type(&gone, "gone", 0), None);
}

#[test]
fn project_types_follow_their_routes_settings() {
    let (_, types) = table();
    let of = |name: &str| {
        &types
            .iter()
            .find(|named| named.name == name)
            .unwrap()
            .project_type
    };
    assert_eq!(of("one.example/x/@s").idempotency, Idempotency::Idempotent);
    assert_eq!(
        of("one.example/x/y/@t").idempotency,
        Idempotency::NonIdempotent
    );
    assert_eq!(
        of("two.example/x/@t").idempotency,
        Idempotency::Idempotent,
        "resumable streams are idempotent"
    );
    assert_eq!(
        (
            of("two.example/x/@t").promised_turnaround,
            of("two.example/x/@t").hard_limit
        ),
        (0.1, 2.0)
    );
    assert!(
        of("one.example/x/@s").credit > of("two.example/x/@t").credit
            && of("two.example/x/@t").credit > of("one.example/x/y/@t").credit,
        "priority 0 has the highest weight"
    );
    assert_eq!(
        of("one.example/x/@t").machine_kind,
        of("one.example/x/y/@t").machine_kind
    );
    assert_ne!(
        of("one.example/x/@s").machine_kind,
        of("one.example/x/@t").machine_kind
    );
}

#[test]
fn prompt_declarations_are_parsed() {
    let prompt = Prompt::parse(Some("5c:800,91:1410,e4:250"), Some("2460,80")).unwrap();
    assert_eq!((prompt.shared_tokens, prompt.tokens), (2210, 2540));
    assert!(prompt.has_long_prefix());
    let sibling = Prompt::parse(Some("5c:800,91:1410,ff:9"), Some("2219,10")).unwrap();
    assert_eq!(
        prompt.prefix_hash, sibling.prefix_hash,
        "the last segment is not part of the shared prefix"
    );
    let other = Prompt::parse(Some("5c:800,92:1410,e4:250"), None).unwrap();
    assert_ne!(prompt.prefix_hash, other.prefix_hash);
    assert_eq!(other.tokens, 2460);
    assert_eq!(Prompt::parse(None, None), None);
    assert_eq!(Prompt::parse(Some("x,y:z"), Some("?")), None);
}

#[test]
fn removed_worker_changes_the_preference_of_its_own_prefixes_only() {
    arbtest(|u| {
        let workers: Vec<u64> = (0..u.int_in_range(1..=30)?).collect();
        let (prefix_hash, lost) = (u.arbitrary()?, u.choose_index(workers.len())? as u64);
        let before = preferred_workers(prefix_hash, workers.iter().copied());
        let after = preferred_workers(
            prefix_hash,
            workers.iter().copied().filter(|worker| *worker != lost),
        );
        if !before.contains(&Some(lost)) {
            assert_eq!(before, after);
        }
        assert_eq!(
            before.iter().flatten().count(),
            workers.len().min(before.len())
        );
        let kept = before.iter().flatten().filter(|worker| **worker != lost);
        assert!(kept.clone().all(|worker| after.contains(&Some(*worker))));
        Ok(())
    });
}

#[test]
fn prefixes_spread_over_the_workers() {
    let mut counts = [0; 18];
    for prefix_hash in 0..1800_u64 {
        let segments = format!("{prefix_hash:x}:13300,1:5");
        let prompt = Prompt::parse(Some(&segments), None).unwrap();
        let best = preferred_workers(prompt.prefix_hash, 0..18)[0].unwrap();
        counts[best as usize] += 1;
    }
    assert!(
        counts.iter().all(|count| (60..150).contains(count)),
        "{counts:?}"
    );
}
