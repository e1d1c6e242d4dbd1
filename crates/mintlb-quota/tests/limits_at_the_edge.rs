//! Limits that are unusual: raised while their tokens are used, without slack, or no limits at all.

use mintlb_quota::messages::{AdmitRequest, AdmitResponse, RateLimit};
use mintlb_quota::slice_counter::SliceCounter;
use mintlb_quota::slices::Division;
use std::time::Duration;

const MEMBERS: [u64; 9] = [11, 22, 33, 44, 55, 66, 77, 88, 99];
const HOUR: Duration = Duration::from_secs(3600);
/// The step in which a window of 5 s is played, and the number of steps.
const STEP: Duration = Duration::from_millis(10);
const STEPS: u32 = 500;

fn owners(division: Division) -> Vec<SliceCounter> {
    let owner = |own: &u64| {
        let mut counter = SliceCounter::new(*own, division);
        counter.set_members(MEMBERS.iter().copied(), Duration::ZERO);
        counter
    };
    MEMBERS.iter().map(owner).collect()
}

fn request(limit: RateLimit) -> AdmitRequest {
    AdmitRequest {
        tenant: "acme".to_string(),
        limit,
    }
}

/// Takes all tokens that the owners have now.
fn take_all(owners: &mut [SliceCounter], limit: RateLimit, now: Duration) -> usize {
    let request = request(limit);
    let mut taken = 0;
    for owner in owners {
        while owner.admit(&request, now) == AdmitResponse::Admitted {
            taken += 1;
        }
    }
    taken
}

/// Takes all tokens that come within 5 s.
fn take_all_in_window(owners: &mut [SliceCounter], limit: RateLimit, start: Duration) -> usize {
    let steps = (0..STEPS).map(|step| take_all(owners, limit, start + STEP * step));
    steps.sum()
}

fn bound(limit: &RateLimit, division: Division) -> f64 {
    (limit.rate * 5.0 + limit.burst) * 1.1 + division.slack
}

/// A raised rate has more slices: their owners must not give out the burst that others have just given out.
#[test]
fn a_raised_limit_does_not_give_out_its_burst_twice() {
    let division = Division { slack: 20.0 };
    let limit = |version, rate, burst| RateLimit {
        version,
        rate,
        burst,
    };
    for (old, new, burst) in [(4.0, 18.0, 200.0), (1.5, 9.0, 1000.0), (6.0, 179.0, 6.0)] {
        let mut owners = owners(division);
        let (old, new) = (limit(1, old, burst), limit(2, new, burst));
        let mut taken = take_all(&mut owners, old, HOUR);
        taken += take_all_in_window(&mut owners, new, HOUR);
        let most = bound(&new, division);
        assert!(
            taken as f64 <= most,
            "{new:?}: {taken} taken, {most} allowed"
        );
    }
}

#[test]
fn without_slack_a_small_limit_is_kept() {
    let division = Division { slack: 0.0 };
    for (rate, burst) in [(0.2, 0.0), (0.2, 1.0), (1.0, 2.0), (3.0, 0.0)] {
        let limit = RateLimit {
            version: 1,
            rate,
            burst,
        };
        let taken = take_all_in_window(&mut owners(division), limit, HOUR);
        let most = bound(&limit, division).max(1.0);
        assert!(
            taken as f64 <= most,
            "{limit:?}: {taken} taken, {most} allowed"
        );
    }
}

/// A message of a peer may hold any number.
#[test]
fn a_limit_that_is_none_admits_nothing() {
    let limits = [
        (f64::NAN, 5.0),
        (f64::INFINITY, 5.0),
        (0.0, 5.0),
        (-1.0, 5.0),
        (5.0, f64::NAN),
        (5.0, f64::INFINITY),
        (5.0, -1.0),
    ];
    for (rate, burst) in limits {
        let limit = RateLimit {
            version: 1,
            rate,
            burst,
        };
        for owner in &mut owners(Division { slack: 20.0 }) {
            let response = owner.admit(&request(limit), HOUR);
            assert_eq!(response, AdmitResponse::NotOwner, "{limit:?}");
        }
    }
}
