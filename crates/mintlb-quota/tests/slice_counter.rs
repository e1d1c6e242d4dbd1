//! The slices that one controller owns: which members admit requests, by which limit, and what happens to a slice whose
//! owner changes.

use mintlb_quota::messages::{AdmitRequest, AdmitResponse, RateLimit};
use mintlb_quota::slice_counter::SliceCounter;
use mintlb_quota::slices::{Division, owners};
use std::time::Duration;

const DIVISION: Division = Division { slack: 20.0 };
const MEMBERS: [u64; 5] = [1, 2, 3, 4, 5];
const HOUR: Duration = Duration::from_secs(3600);
/// The largest number of slices that a controller keeps; the same as the constant in the program.
const MAX_SLICES: usize = 8192;

fn limit(version: u64, rate: f64) -> RateLimit {
    RateLimit {
        version,
        rate,
        burst: rate,
    }
}

fn request(tenant: &str, limit: RateLimit) -> AdmitRequest {
    AdmitRequest {
        tenant: tenant.to_string(),
        limit,
    }
}

fn counter(own: u64, members: &[u64], now: Duration) -> SliceCounter {
    let mut counter = SliceCounter::new(own, DIVISION);
    counter.set_members(members.iter().copied(), now);
    counter
}

/// The number of requests, out of 1000 at the same time, that are admitted.
fn admitted(counter: &mut SliceCounter, tenant: &str, limit: RateLimit, now: Duration) -> usize {
    let request = request(tenant, limit);
    (0..1000)
        .filter(|_| counter.admit(&request, now) == AdmitResponse::Admitted)
        .count()
}

fn slice_burst(limit: &RateLimit, members: usize) -> usize {
    let slices = DIVISION.slice_count(limit, members);
    DIVISION.slice_limit(limit, slices).burst as usize
}

#[test]
fn only_owners_admit() {
    // Its rate suffices for two slices.
    let limit = limit(1, 2.0);
    for tenant in (0..50).map(|number| format!("tenant-{number}")) {
        let owners = owners(&MEMBERS, &tenant, 2);
        for own in MEMBERS {
            let mut counter = counter(own, &MEMBERS, Duration::ZERO);
            let response = counter.admit(&request(&tenant, limit), HOUR);
            let expected = if owners.contains(&own) {
                AdmitResponse::Admitted
            } else {
                AdmitResponse::NotOwner
            };
            assert_eq!(response, expected, "{tenant} at {own}, owners {owners:?}");
        }
    }
}

#[test]
fn a_counter_that_is_not_a_member_owns_nothing() {
    let request = request("acme", limit(1, 60.0));
    let mut new = SliceCounter::new(1, DIVISION);
    assert_eq!(new.admit(&request, HOUR), AdmitResponse::NotOwner);
    let mut outside = counter(9, &MEMBERS, Duration::ZERO);
    assert_eq!(outside.admit(&request, HOUR), AdmitResponse::NotOwner);
    let mut removed = counter(1, &MEMBERS, Duration::ZERO);
    assert_eq!(removed.admit(&request, HOUR), AdmitResponse::Admitted);
    removed.set_members([2, 3, 4, 5].into_iter(), HOUR);
    assert_eq!(removed.admit(&request, HOUR), AdmitResponse::NotOwner);
}

#[test]
fn the_newest_limit_applies_also_to_requests_with_an_older_one() {
    let (former, newer) = (limit(1, 100.0), limit(2, 10.0));
    let mut counter = counter(1, &MEMBERS, Duration::ZERO);
    assert!(admitted(&mut counter, "acme", former, HOUR) > 10);
    let full = HOUR + HOUR;
    assert_eq!(
        counter.admit(&request("acme", newer), full),
        AdmitResponse::Admitted
    );
    let left = slice_burst(&newer, MEMBERS.len()) - 1;
    assert_eq!(admitted(&mut counter, "acme", former, full), left);
    // A slice gains 2 tokens per second by the newer limit, and 20 by the former.
    let second = full + Duration::from_secs(1);
    assert_eq!(admitted(&mut counter, "acme", former, second), 2);
    assert_eq!(
        admitted(&mut counter, "acme", newer, second + HOUR),
        left + 1
    );
}

#[test]
fn a_higher_limit_adds_no_tokens_at_once() {
    let (former, newer) = (limit(1, 10.0), limit(2, 100.0));
    let mut counter = counter(1, &MEMBERS, Duration::ZERO);
    assert!(admitted(&mut counter, "acme", former, HOUR) > 0);
    assert_eq!(admitted(&mut counter, "acme", newer, HOUR), 0);
    let second = HOUR + Duration::from_secs(1);
    assert_eq!(admitted(&mut counter, "acme", newer, second), 20);
}

/// A member that joins owns the slice for a while. The tokens that it granted must not be granted again.
#[test]
fn a_slice_that_returns_from_another_owner_is_empty() {
    let limit = limit(1, 2.0);
    let joined: Vec<u64> = (1..=9).collect();
    let mut moved = 0;
    for tenant in (0..50).map(|number| format!("tenant-{number}")) {
        for own in owners(&MEMBERS, &tenant, 2) {
            if owners(&joined, &tenant, 2).contains(&own) {
                continue;
            }
            moved += 1;
            let mut counter = counter(own, &MEMBERS, Duration::ZERO);
            let full = slice_burst(&limit, MEMBERS.len());
            assert_eq!(admitted(&mut counter, &tenant, limit, HOUR), full);
            counter.set_members(joined.iter().copied(), 2 * HOUR);
            assert_eq!(
                counter.admit(&request(&tenant, limit), 2 * HOUR),
                AdmitResponse::NotOwner
            );
            counter.set_members(MEMBERS.into_iter(), 3 * HOUR);
            assert_eq!(admitted(&mut counter, &tenant, limit, 3 * HOUR), 0);
            let second = 3 * HOUR + Duration::from_secs(1);
            assert_eq!(admitted(&mut counter, &tenant, limit, second), 1);
        }
    }
    assert!(moved >= 10, "{moved} slices moved");
}

/// The same, for a tenant without requests before the members changed.
#[test]
fn a_slice_that_is_new_here_is_empty() {
    let mut counter = counter(1, &[2, 3, 4, 5], Duration::ZERO);
    counter.set_members(MEMBERS.into_iter(), HOUR);
    let limit = limit(1, 60.0);
    assert_eq!(admitted(&mut counter, "acme", limit, HOUR), 0);
    let second = HOUR + Duration::from_secs(1);
    assert_eq!(admitted(&mut counter, "acme", limit, second), 12);
}

#[test]
fn a_slice_that_keeps_its_owner_keeps_its_tokens() {
    let limit = limit(1, 60.0);
    let mut counter = counter(1, &MEMBERS, Duration::ZERO);
    let full = slice_burst(&limit, MEMBERS.len());
    let request = request("acme", limit);
    for _ in 0..4 {
        assert_eq!(counter.admit(&request, HOUR), AdmitResponse::Admitted);
    }
    counter.set_members([1, 2, 3, 4].into_iter(), HOUR);
    assert_eq!(admitted(&mut counter, "acme", limit, HOUR), full - 4);
    // The same members in another order change nothing.
    counter.set_members([4, 3, 2, 1].into_iter(), 2 * HOUR);
    let all = slice_burst(&limit, 4);
    assert_eq!(admitted(&mut counter, "acme", limit, 2 * HOUR), all);
}

#[test]
fn the_first_request_of_an_idle_tenant_is_admitted() {
    for rate in [0.1, 1.0, 6.0, 179.0] {
        let limit = limit(1, rate);
        let owner = owners(&MEMBERS, "acme", 1)[0];
        let mut counter = counter(owner, &MEMBERS, Duration::ZERO);
        let request = request("acme", limit);
        assert_eq!(
            counter.admit(&request, HOUR),
            AdmitResponse::Admitted,
            "rate {rate}, first request of all"
        );
        assert_eq!(
            counter.admit(&request, 2 * HOUR),
            AdmitResponse::Admitted,
            "rate {rate}, an hour later"
        );
    }
}

/// The time to retry must be long enough, also when it is rounded to whole milliseconds.
#[test]
fn a_rejected_request_is_admitted_at_its_retry_time() {
    arbtest::arbtest(|input| {
        let limit = limit(1, f64::from(input.int_in_range(100..=20_000_u32)?) / 100.0);
        let owner = owners(&MEMBERS, "acme", 1)[0];
        let mut counter = counter(owner, &MEMBERS, Duration::ZERO);
        let now = HOUR + Duration::from_micros(input.int_in_range(0..=10_000_000)?);
        let request = request("acme", limit);
        let retry_after_ms = loop {
            match counter.admit(&request, now) {
                AdmitResponse::Admitted => {}
                AdmitResponse::Rejected { retry_after_ms } => break retry_after_ms,
                AdmitResponse::NotOwner => panic!("the owner answers NotOwner"),
            }
        };
        let retry_at = now + Duration::from_millis(retry_after_ms.into());
        let response = counter.admit(&request, retry_at);
        assert_eq!(
            response,
            AdmitResponse::Admitted,
            "{limit:?}: told to retry after {retry_after_ms} ms"
        );
        Ok(())
    });
}

/// The number of slices that are kept, counted in the debug output, as nothing else shows it.
fn kept(counter: &SliceCounter) -> usize {
    format!("{counter:?}").matches("bucket: ").count()
}

#[test]
fn the_number_of_slices_is_bounded_while_all_are_full() {
    let mut counter = counter(1, &MEMBERS, Duration::ZERO);
    let limit = limit(1, 60.0);
    for number in 0..2 * MAX_SLICES as u32 {
        let now = HOUR + Duration::from_millis(number.into());
        let response = counter.admit(&request(&format!("tenant-{number}"), limit), now);
        assert_eq!(response, AdmitResponse::Admitted, "tenant {number}");
    }
    assert!((1..=MAX_SLICES).contains(&kept(&counter)));
}

#[test]
fn the_number_of_slices_is_bounded_while_none_is_full() {
    let mut counter = counter(1, &MEMBERS, Duration::ZERO);
    let limit = limit(1, 60.0);
    for number in 0..2 * MAX_SLICES {
        counter.admit(&request(&format!("tenant-{number}"), limit), HOUR);
    }
    let kept = kept(&counter);
    assert!((1..=MAX_SLICES).contains(&kept), "{kept} slices are kept");
}
