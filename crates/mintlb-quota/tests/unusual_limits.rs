//! Unusual limits: raised while their tokens are in use, without slack, or invalid.

use mintlb_quota::messages::{AdmitRequest, AdmitResponse, RateLimit};
use mintlb_quota::slice_counter::SliceCounter;
use mintlb_quota::slices::Division;
use std::time::Duration;

const MEMBERS: [u64; 9] = [11, 22, 33, 44, 55, 66, 77, 88, 99];
const HOUR: Duration = Duration::from_secs(3600);
/// The time step in which a window of 5 s is simulated, and the number of steps.
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

/// Takes all tokens that the owners have at `now`. Returns their number.
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

/// Takes all tokens that the owners have and gain in the 5 s from `start`. Returns their number.
fn take_all_in_window(owners: &mut [SliceCounter], limit: RateLimit, start: Duration) -> usize {
    let steps = (0..STEPS).map(|step| take_all(owners, limit, start + STEP * step));
    steps.sum()
}

fn bound(limit: &RateLimit, division: Division) -> f64 {
    (limit.rate * 5.0 + limit.burst) * 1.1 + division.slack
}

/// A raised rate has more slices. Their owners must not grant the burst that other owners have just granted.
#[test]
fn a_raised_limit_does_not_grant_its_burst_twice() {
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
        let allowed = bound(&new, division);
        assert!(
            taken as f64 <= allowed,
            "{new:?}: {taken} taken, {allowed} allowed"
        );
    }
}

#[test]
fn a_small_limit_without_slack_is_not_exceeded() {
    let division = Division { slack: 0.0 };
    for (rate, burst) in [(0.2, 0.0), (0.2, 1.0), (1.0, 2.0), (3.0, 0.0)] {
        let limit = RateLimit {
            version: 1,
            rate,
            burst,
        };
        let taken = take_all_in_window(&mut owners(division), limit, HOUR);
        let allowed = bound(&limit, division).max(1.0);
        assert!(
            taken as f64 <= allowed,
            "{limit:?}: {taken} taken, {allowed} allowed"
        );
    }
}

/// A peer may send any number.
#[test]
fn an_invalid_limit_admits_nothing() {
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
