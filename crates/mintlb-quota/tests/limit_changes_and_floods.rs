//! Owners together with a dispatcher's inquiry, after a tenant's limit has changed and after a flood of
//! requests has ended.

use mintlb_quota::inquiry::Inquiry;
use mintlb_quota::messages::{AdmitRequest, AdmitResponse, RateLimit};
use mintlb_quota::slice_counter::SliceCounter;
use mintlb_quota::slices::{Division, owners};
use std::collections::BTreeMap;
use std::time::Duration;

const DIVISION: Division = Division { slack: 20.0 };
const MEMBERS: [u64; 5] = [1, 2, 3, 4, 5];
const TENANT: &str = "huka270";
const HOUR: Duration = Duration::from_secs(3600);

/// The slice counters of all members, by member id.
struct Fleet {
    counters: BTreeMap<u64, SliceCounter>,
}

impl Fleet {
    fn new() -> Fleet {
        let counter = |own| {
            let mut counter = SliceCounter::new(own, DIVISION);
            counter.set_members(MEMBERS.into_iter(), Duration::ZERO);
            (own, counter)
        };
        Fleet {
            counters: MEMBERS.into_iter().map(counter).collect(),
        }
    }

    fn ask(&mut self, owner: u64, limit: RateLimit, now: Duration) -> AdmitResponse {
        let request = AdmitRequest {
            tenant: TENANT.to_string(),
            limit,
        };
        self.counters.get_mut(&owner).unwrap().admit(&request, now)
    }

    /// The number of requests that all owners of the limit's slices together admit at time `now`.
    fn admitted_at_once(&mut self, limit: RateLimit, now: Duration) -> usize {
        let owners = limit_owners(&limit);
        let mut admitted = 0;
        for owner in owners {
            while self.ask(owner, limit, now) == AdmitResponse::Admitted {
                admitted += 1;
            }
        }
        admitted
    }

    /// Whether one of the owners, asked in this order, admits a request.
    fn is_admitted(&mut self, owners: Vec<u64>, limit: RateLimit, now: Duration) -> bool {
        let mut inquiry = Inquiry::new(owners, &limit);
        while let Some(owner) = inquiry.next_owner() {
            match self.ask(owner, limit, now) {
                AdmitResponse::Admitted => return true,
                AdmitResponse::Rejected { retry_after_ms } => {
                    inquiry.on_rejection(Duration::from_millis(retry_after_ms.into()));
                }
                AdmitResponse::NotOwner => {}
            }
        }
        false
    }

    /// Sends 100 requests per second to each owner for 10 s, far beyond the limit, and then none for
    /// 60 s, in which all slices fill. Returns the time at the end.
    fn flood_and_pause(&mut self, limit: RateLimit) -> Duration {
        for tick in 0..1000 {
            for owner in limit_owners(&limit) {
                self.ask(owner, limit, HOUR + Duration::from_millis(10 * tick));
            }
        }
        HOUR + Duration::from_secs(70)
    }
}

fn limit_owners(limit: &RateLimit) -> Vec<u64> {
    let slices = DIVISION.slice_count(limit, MEMBERS.len());
    owners(&MEMBERS, TENANT, slices)
}

fn limit(version: u64, rate: f64, burst: f64) -> RateLimit {
    RateLimit {
        version,
        rate,
        burst,
    }
}

/// The most requests that may be admitted in a window of 5 s, at the default overage and slack.
fn allowed(limit: &RateLimit) -> f64 {
    (limit.rate * 5.0 + limit.burst) * 1.1 + 20.0
}

#[test]
fn the_burst_is_not_granted_twice_when_a_higher_rate_adds_owners() {
    let mut fleet = Fleet::new();
    // Same burst. The former rate is divided into two slices, the newer one into five.
    let former = limit(1, 5.0, 200.0);
    let newer = limit(2, 10.0, 200.0);
    let admitted = fleet.admitted_at_once(former, HOUR) + fleet.admitted_at_once(newer, HOUR);
    let allowed = allowed(&newer).max(allowed(&former));
    assert!(admitted as f64 <= allowed, "{admitted} > {allowed}");
}

#[test]
fn the_burst_is_not_granted_twice_when_a_lower_rate_removes_owners() {
    let mut fleet = Fleet::new();
    let former = limit(1, 10.0, 200.0);
    let newer = limit(2, 5.0, 200.0);
    let admitted = fleet.admitted_at_once(former, HOUR) + fleet.admitted_at_once(newer, HOUR);
    let allowed = allowed(&newer).max(allowed(&former));
    assert!(admitted as f64 <= allowed, "{admitted} > {allowed}");
}

#[test]
fn after_a_flood_the_time_to_retry_is_at_most_that_of_one_token() {
    let mut fleet = Fleet::new();
    let limit = limit(1, 10.0, 10.0);
    let owner = limit_owners(&limit)[0];
    let now = fleet.flood_and_pause(limit);
    let slice = DIVISION.slice_limit(&limit, limit_owners(&limit).len());
    for _ in 0..slice.burst as usize {
        assert_eq!(fleet.ask(owner, limit, now), AdmitResponse::Admitted);
    }
    let response = fleet.ask(owner, limit, now);
    let AdmitResponse::Rejected { retry_after_ms } = response else {
        panic!("{response:?}");
    };
    let token_ms = 1000.0 / slice.rate;
    assert!(
        f64::from(retry_after_ms) <= token_ms,
        "told to retry after {retry_after_ms} ms, but a token accrues in {token_ms} ms"
    );
}

#[test]
fn after_a_flood_a_request_is_admitted_while_slices_are_full() {
    let mut fleet = Fleet::new();
    let limit = limit(1, 10.0, 10.0);
    let owners = limit_owners(&limit);
    let now = fleet.flood_and_pause(limit);
    let slice = DIVISION.slice_limit(&limit, owners.len());
    // Two of five slices are used up by admitted requests, and none has been rejected since the flood.
    for owner in &owners[..2] {
        for _ in 0..slice.burst as usize {
            assert_eq!(fleet.ask(*owner, limit, now), AdmitResponse::Admitted);
        }
    }
    assert!(
        fleet.is_admitted(owners, limit, now),
        "the other slices are full"
    );
}
