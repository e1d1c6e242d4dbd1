//! Counts of admissions, and their log line.

mod harness;

use harness::{CONFIGURATION, Overrides, TestDispatcher, Worker, run_single_threaded};
use mintlb_common::record::WorkerState;
use mintlb_dispatcher::admission::{Admission, AdmissionFuture, RateLimiter};
use mintlb_dispatcher::admission_statistics::AdmissionCounters;
use mintlb_dispatcher::tenants::{AuthenticationError, TenantSettings};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of tenants that are counted by name.
const MAX_TENANTS: u64 = 1024;
const NO_WAIT: Duration = Duration::ZERO;

#[test]
fn log_line_contains_every_count_and_the_tenant_most_over_its_limit() {
    let counters = AdmissionCounters::default();
    for _ in 0..3 {
        counters.on_admitted(Duration::from_millis(1));
    }
    counters.on_over_limit("north", Duration::from_millis(2));
    for _ in 0..2 {
        counters.on_over_limit("south", Duration::from_millis(4));
    }
    counters.on_undecided(Duration::from_millis(101));
    for (error, count) in [
        (AuthenticationError::Missing, 5),
        (AuthenticationError::Malformed, 6),
        (AuthenticationError::Unknown, 7),
    ] {
        (0..count).for_each(|_| counters.on_unauthenticated(error));
    }
    assert_eq!(
        counters.take().to_string(),
        "3 admitted, 3 over their tenant's limit, 1 undecided, 16.3 ms on average and 101 ms at most; 5 without a key, \
         6 malformed, 7 with an unknown key; most over the limit: south, 2"
    );
}

#[test]
fn each_count_is_reported_once() {
    let counters = AdmissionCounters::default();
    assert!(counters.take().is_empty());
    counters.on_admitted(NO_WAIT);
    assert!(!counters.take().is_empty());
    assert!(counters.take().is_empty(), "the counts were not reset");
    for error in [
        AuthenticationError::Missing,
        AuthenticationError::Malformed,
        AuthenticationError::Unknown,
    ] {
        counters.on_unauthenticated(error);
        assert!(!counters.take().is_empty(), "{error:?} is not reported");
    }
    counters.on_undecided(NO_WAIT);
    assert!(!counters.take().is_empty());
    counters.on_over_limit("north", NO_WAIT);
    assert!(!counters.take().is_empty());
}

#[test]
fn average_without_decisions_is_zero() {
    let counters = AdmissionCounters::default();
    counters.on_unauthenticated(AuthenticationError::Missing);
    assert_eq!(
        counters.take().to_string(),
        "0 admitted, 0 over their tenant's limit, 0 undecided, 0.0 ms on average and 0 ms at most; 1 without a key, \
         0 malformed, 0 with an unknown key"
    );
}

#[test]
fn tie_for_the_most_rejected_tenant_is_broken_by_name() {
    for order in [["north", "south"], ["south", "north"]] {
        let counters = AdmissionCounters::default();
        order
            .iter()
            .for_each(|tenant| counters.on_over_limit(tenant, NO_WAIT));
        let line = counters.take().to_string();
        assert!(line.ends_with("most over the limit: north, 1"), "{line}");
    }
}

#[test]
fn number_of_tenant_names_is_bounded_and_no_rejection_is_lost() {
    let counters = AdmissionCounters::default();
    let sent = MAX_TENANTS + 100;
    for number in 0..sent {
        counters.on_over_limit(&format!("tenant-{number}"), NO_WAIT);
    }
    counters.on_over_limit("tenant-0", NO_WAIT);
    let counts = counters.take();
    assert_eq!(counts.over_limit.len() as u64, MAX_TENANTS);
    assert_eq!(counts.over_limit_of_others, 100);
    let line = counts.to_string();
    let total = format!("0 admitted, {} over their tenant's limit,", sent + 1);
    assert!(line.starts_with(&total), "{line}");
    assert!(
        line.ends_with("most over the limit: tenant-0, 2"),
        "a tenant that is counted by name already is counted further beyond the bound: {line}"
    );
}

/// A limiter that decides by the name of the tenant.
struct NamedDecisions;

impl RateLimiter for NamedDecisions {
    fn admit<'a>(&'a self, tenant: &'a TenantSettings, _: Duration) -> AdmissionFuture<'a> {
        let admission = match tenant.name.as_str() {
            "north" => Admission::Admitted,
            "south" => Admission::Rejected {
                retry_after: Duration::from_millis(100),
            },
            _ => Admission::Unavailable,
        };
        Box::pin(async move { admission })
    }
}

#[test]
fn requests_are_counted_by_cause_of_rejection_without_keys_in_the_counts() {
    run_single_threaded(async {
        let dispatcher = TestDispatcher::start_with(Overrides {
            rate_limiter: Some(Arc::new(NamedDecisions)),
            ..Overrides::default()
        })
        .await;
        let tenants = r#""config_version":3,"tenant_list":[
 {"name":"north","api_keys":["secret-1"],"rate_per_s":1},{"name":"south","api_keys":["secret-2"],"rate_per_s":1},
 {"name":"east","api_keys":["secret-3"],"rate_per_s":1},{"name":"unlimited","api_keys":["secret-4"]}],"#;
        let configuration = CONFIGURATION.replacen(r#""config_version":3,"#, tenants, 1);
        dispatcher.configure(&configuration).await;
        let mut worker = Worker::start("i-1", "s").await;
        dispatcher
            .set_worker(&worker, WorkerState::InService, 1)
            .await;
        let cases = [
            ("Bearer secret-1", 1, 200),
            ("Bearer secret-2", 2, 429),
            ("Bearer secret-3", 3, 503),
            ("Bearer secret-4", 1, 200),
            ("Bearer secret-unknown", 4, 401),
            ("Basic secret-1", 5, 401),
        ];
        for (value, count, status) in cases {
            for number in 0..count {
                let mut client = dispatcher.connect().await;
                let headers = format!("Authorization: {value}\r\n");
                let id = format!("id{number}");
                client.send_request("/p/1", &id, &headers, "").await;
                if status == 200 {
                    worker.next_request().await.respond("ran").await;
                }
                let response = client.read_response().await;
                assert_eq!(response.status, status, "{value}");
                assert!(
                    !response.head.contains("secret"),
                    "{value}: {}",
                    response.head
                );
                assert!(
                    !response.text().contains("secret"),
                    "{value}: {}",
                    response.text()
                );
            }
        }
        for _ in 0..6 {
            let mut client = dispatcher.connect().await;
            client.send_request("/p/1", "a", "", "").await;
            assert_eq!(client.read_response().await.status, 401);
        }
        let counts = dispatcher.shared.admissions.take();
        assert_eq!(
            (
                counts.admitted,
                counts.undecided,
                counts.over_limit["south"]
            ),
            (1, 3, 2),
            "{counts}"
        );
        assert_eq!(
            (counts.without_key, counts.malformed, counts.unknown_key),
            (6, 5, 4),
            "{counts}"
        );
        let text = format!("{counts} {counts:?}");
        assert!(!text.contains("secret"), "{text}");
    });
}
