//! Owners and a dispatcher's inquiry together, after something has changed: a tenant's limit, or the
//! end of a flood of requests.

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

/// The owners, by their ids.
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

    /// How many requests all owners of the limit's slices admit at one time.
    fn admitted_at_once(&mut self, limit: RateLimit, now: Duration) -> usize {
        let asked = limit_owners(&limit);
        let mut admitted = 0;
        for owner in asked {
            while self.ask(owner, limit, now) == AdmitResponse::Admitted {
                admitted += 1;
            }
        }
        admitted
    }

    /// Whether a request is admitted that asks the owners in this order.
    fn inquire(&mut self, owners: Vec<u64>, limit: RateLimit, now: Duration) -> bool {
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

    /// Requests far over the limit for 10 s, 100 a second at each owner, and 60 s of quiet, in which
    /// all slices fill. Returns the time at its end.
    fn flood_and_quiet(&mut self, limit: RateLimit) -> Duration {
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

/// What the rule allows in a window of 5 s, at the usual bounds.
fn allowed(limit: &RateLimit) -> f64 {
    (limit.rate * 5.0 + limit.burst) * 1.1 + 20.0
}

#[test]
fn a_higher_rate_that_adds_owners_does_not_give_out_the_burst_twice() {
    let mut fleet = Fleet::new();
    // The burst stays. The rate was enough for two slices, and is for five.
    let former = limit(1, 5.0, 200.0);
    let newer = limit(2, 10.0, 200.0);
    let admitted = fleet.admitted_at_once(former, HOUR) + fleet.admitted_at_once(newer, HOUR);
    let allowed = allowed(&newer).max(allowed(&former));
    assert!(admitted as f64 <= allowed, "{admitted} > {allowed}");
}

#[test]
fn a_lower_rate_that_takes_owners_away_does_not_give_out_the_burst_twice() {
    let mut fleet = Fleet::new();
    let former = limit(1, 10.0, 200.0);
    let newer = limit(2, 5.0, 200.0);
    let admitted = fleet.admitted_at_once(former, HOUR) + fleet.admitted_at_once(newer, HOUR);
    let allowed = allowed(&newer).max(allowed(&former));
    assert!(admitted as f64 <= allowed, "{admitted} > {allowed}");
}

#[test]
fn the_time_to_come_back_is_one_token_s_time_at_most_once_a_flood_is_over() {
    let mut fleet = Fleet::new();
    let limit = limit(1, 10.0, 10.0);
    let owner = limit_owners(&limit)[0];
    let now = fleet.flood_and_quiet(limit);
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
        "{retry_after_ms} ms, and a token comes in {token_ms} ms"
    );
}

#[test]
fn a_request_is_not_rejected_beside_full_slices_once_a_flood_is_over() {
    let mut fleet = Fleet::new();
    let limit = limit(1, 10.0, 10.0);
    let asked = limit_owners(&limit);
    let now = fleet.flood_and_quiet(limit);
    let slice = DIVISION.slice_limit(&limit, asked.len());
    // Two of five slices are used up by what was admitted, and nobody was turned away since the flood.
    for owner in &asked[..2] {
        for _ in 0..slice.burst as usize {
            assert_eq!(fleet.ask(*owner, limit, now), AdmitResponse::Admitted);
        }
    }
    assert!(fleet.inquire(asked, limit, now), "the others are full");
}
