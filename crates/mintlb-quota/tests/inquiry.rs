//! Which owners a dispatcher asks, and when it gives up.

use mintlb_quota::inquiry::Inquiry;
use mintlb_quota::messages::RateLimit;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// An inquiry at five owners, whose slices gain a token in 50 ms each.
fn inquiry() -> Inquiry<u32> {
    inquiry_with_rate(100.0)
}

fn inquiry_with_rate(rate: f64) -> Inquiry<u32> {
    let limit = RateLimit {
        version: 1,
        rate,
        burst: 1.0,
    };
    Inquiry::new(vec![3, 1, 5, 2, 4], &limit)
}

/// The owners that are asked if each rejects the request with the next of these times to retry.
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
fn each_owner_is_asked_once_in_order() {
    assert_eq!(asked(inquiry(), &[]), [3, 1, 5, 2, 4]);
}

#[test]
fn rejections_by_owners_without_a_backlog_do_not_end_an_inquiry() {
    assert_eq!(asked(inquiry(), &[MS; 5]), [3, 1, 5, 2, 4]);
}

#[test]
fn a_time_of_one_token_is_no_backlog() {
    // The bucket was just emptied, and its next token goes to this request.
    assert_eq!(asked(inquiry(), &[50 * MS; 5]), [3, 1, 5, 2, 4]);
}

#[test]
fn a_time_of_more_than_one_token_is_a_backlog() {
    assert_eq!(asked(inquiry(), &[51 * MS; 5]), [3, 1]);
}

#[test]
fn the_second_owner_with_a_backlog_ends_an_inquiry() {
    assert_eq!(
        asked(inquiry(), &[51 * MS, MS, MS, MS, MS]),
        [3, 1, 5, 2, 4]
    );
    assert_eq!(asked(inquiry(), &[51 * MS, MS, MS, 51 * MS]), [3, 1, 5, 2]);
}

#[test]
fn no_owner_is_asked_after_the_end() {
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
fn the_time_to_retry_is_the_earliest_of_all_rejections() {
    let mut inquiry = inquiry();
    for (returned, earliest) in [(40, 40), (30, 30), (45, 30), (10, 10), (50, 10)] {
        inquiry.next_owner();
        inquiry.on_rejection(returned * MS);
        assert_eq!(inquiry.retry_after(), Some(earliest * MS));
    }
}

#[test]
fn without_a_rejection_there_is_no_time_to_retry() {
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
fn rates_whose_token_time_is_not_finite_cause_no_panic() {
    let hour = Duration::from_secs(3600);
    for rate in [0.0, 1e-300, f64::MIN_POSITIVE, f64::NAN, -1.0] {
        let owners = asked(inquiry_with_rate(rate), &[hour; 5]);
        assert!(!owners.is_empty(), "{rate}");
    }
    assert_eq!(asked(inquiry_with_rate(f64::INFINITY), &[MS; 5]), [3, 1]);
}
