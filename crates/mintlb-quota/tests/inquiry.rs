//! Whom a dispatcher asks, and when it gives up.

use mintlb_quota::inquiry::Inquiry;
use mintlb_quota::messages::RateLimit;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// An inquiry at five owners. Each of their slices gets a token in 50 ms.
fn inquiry() -> Inquiry<u32> {
    inquiry_by_rate(100.0)
}

fn inquiry_by_rate(rate: f64) -> Inquiry<u32> {
    let limit = RateLimit {
        version: 1,
        rate,
        burst: 1.0,
    };
    Inquiry::new(vec![3, 1, 5, 2, 4], &limit)
}

/// The owners that are asked if each rejects with the next of these times.
fn asked(mut inquiry: Inquiry<u32>, rejections: &[Duration]) -> Vec<u32> {
    let mut times = rejections.iter();
    let mut asked = Vec::new();
    while let Some(owner) = inquiry.next_owner() {
        asked.push(owner);
        if let Some(time) = times.next() {
            inquiry.on_rejection(*time);
        }
    }
    asked
}

#[test]
fn owners_are_asked_once_each_and_in_their_order() {
    assert_eq!(asked(inquiry(), &[]), [3, 1, 5, 2, 4]);
}

#[test]
fn owners_that_are_used_up_but_not_crowded_do_not_end_it() {
    assert_eq!(asked(inquiry(), &[MS; 5]), [3, 1, 5, 2, 4]);
}

#[test]
fn a_slice_whose_next_token_is_free_is_not_crowded() {
    // The whole time of a token: the bucket was just emptied.
    assert_eq!(asked(inquiry(), &[50 * MS; 5]), [3, 1, 5, 2, 4]);
}

#[test]
fn a_slice_whose_next_token_is_spoken_for_is_crowded() {
    assert_eq!(asked(inquiry(), &[51 * MS; 5]), [3, 1]);
}

#[test]
fn one_crowded_owner_does_not_end_it_and_the_second_does() {
    assert_eq!(
        asked(inquiry(), &[51 * MS, MS, MS, MS, MS]),
        [3, 1, 5, 2, 4]
    );
    assert_eq!(asked(inquiry(), &[51 * MS, MS, MS, 51 * MS]), [3, 1, 5, 2]);
}

#[test]
fn an_ended_inquiry_stays_ended() {
    let mut inquiry = inquiry();
    inquiry.next_owner();
    inquiry.on_rejection(Duration::MAX);
    inquiry.next_owner();
    inquiry.on_rejection(Duration::MAX);
    assert_eq!(inquiry.next_owner(), None);
    inquiry.on_rejection(MS);
    assert_eq!(inquiry.next_owner(), None);
}

#[test]
fn the_time_to_come_back_is_the_earliest_that_any_owner_told() {
    let mut inquiry = inquiry();
    for (told, earliest) in [(40, 40), (30, 30), (45, 30), (10, 10), (50, 10)] {
        inquiry.next_owner();
        inquiry.on_rejection(told * MS);
        assert_eq!(inquiry.retry_after(), Some(earliest * MS));
    }
}

#[test]
fn without_a_rejection_there_is_no_time_to_come_back() {
    let mut inquiry = inquiry();
    while inquiry.next_owner().is_some() {}
    assert_eq!(inquiry.retry_after(), None);
}

#[test]
fn an_inquiry_without_owners_ends_at_once() {
    let limit = RateLimit {
        version: 1,
        rate: 100.0,
        burst: 1.0,
    };
    let mut inquiry: Inquiry<u32> = Inquiry::new(Vec::new(), &limit);
    assert_eq!(inquiry.next_owner(), None);
    assert_eq!(inquiry.retry_after(), None);
}

#[test]
fn rates_without_a_time_for_a_token_are_asked_about_without_a_panic() {
    let hour = Duration::from_secs(3600);
    for rate in [0.0, 1e-300, f64::MIN_POSITIVE, f64::NAN, -1.0] {
        let owners = asked(inquiry_by_rate(rate), &[hour; 5]);
        assert!(!owners.is_empty(), "{rate}");
    }
    assert_eq!(asked(inquiry_by_rate(f64::INFINITY), &[MS; 5]), [3, 1]);
}
