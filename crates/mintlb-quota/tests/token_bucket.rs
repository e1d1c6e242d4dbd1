//! The bound that one bucket keeps, and the times at which rejected requests are told to retry.

use mintlb_quota::token_bucket::{BucketLimit, TokenBucket};
use std::time::Duration;

/// The excess allowed for rounding errors, in tokens.
const ROUNDING: f64 = 1e-6;

/// The largest excess of admissions over the bound in any window that begins and ends with an admission.
fn worst_excess(admissions: &[Duration], limit: BucketLimit) -> f64 {
    let mut worst = f64::NEG_INFINITY;
    for first in 0..admissions.len() {
        for last in first..admissions.len() {
            let window = admissions[last] - admissions[first];
            let bound = limit.rate * window.as_secs_f64() + limit.burst;
            worst = worst.max((last - first + 1) as f64 - bound);
        }
    }
    worst
}

fn draw_limit(
    input: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<BucketLimit> {
    Ok(BucketLimit {
        rate: f64::from(input.int_in_range(1..=20_000_u32)?) / 100.0,
        burst: f64::from(input.int_in_range(100..=20_000_u32)?) / 100.0,
    })
}

#[test]
fn no_window_exceeds_its_rate_and_one_burst() {
    arbtest::arbtest(|input| {
        let limit = draw_limit(input)?;
        let mut now = Duration::from_millis(input.int_in_range(0..=100_000)?);
        let filling_since = Duration::from_millis(input.int_in_range(0..=100_000)?);
        let mut bucket = TokenBucket::new(limit, filling_since, now);
        let mut admissions = Vec::new();
        for _ in 0..input.int_in_range(0..=300)? {
            now += Duration::from_micros(input.int_in_range(0..=200_000)?);
            for _ in 0..input.int_in_range(1..=8)? {
                if bucket.take(now).is_ok() {
                    admissions.push(now);
                }
            }
        }
        let excess = worst_excess(&admissions, limit);
        assert!(
            excess <= ROUNDING,
            "{excess} tokens over the bound, {limit:?}"
        );
        Ok(())
    });
}

/// The clock of the bucket is set back now and then. The windows are measured in true time.
#[test]
fn a_clock_that_is_set_back_adds_no_tokens() {
    arbtest::arbtest(|input| {
        let limit = draw_limit(input)?;
        let mut true_time = Duration::from_secs(1000);
        let mut clock_behind = Duration::ZERO;
        let mut bucket = TokenBucket::new(limit, true_time, true_time);
        let mut admissions = Vec::new();
        for _ in 0..input.int_in_range(0..=300)? {
            true_time += Duration::from_micros(input.int_in_range(0..=200_000)?);
            if input.ratio(1_u32, 10_u32)? {
                clock_behind += Duration::from_millis(input.int_in_range(0..=3000)?);
            }
            let now = true_time.saturating_sub(clock_behind);
            for _ in 0..input.int_in_range(1..=8)? {
                if bucket.take(now).is_ok() {
                    admissions.push(true_time);
                }
            }
        }
        let excess = worst_excess(&admissions, limit);
        assert!(
            excess <= ROUNDING,
            "{excess} tokens over the bound, {limit:?}"
        );
        Ok(())
    });
}

/// The times at which `requests` requests that are rejected one after another are told to retry.
fn retry_times(bucket: &mut TokenBucket, now: Duration, requests: usize) -> Vec<Duration> {
    let mut times = Vec::new();
    while times.len() < requests {
        if let Err(wait) = bucket.take(now) {
            times.push(now + wait);
        }
    }
    times
}

#[test]
fn retry_times_are_one_token_apart() {
    arbtest::arbtest(|input| {
        let limit = draw_limit(input)?;
        let now = Duration::from_micros(input.int_in_range(0..=100_000_000)?);
        let mut bucket = TokenBucket::new(limit, Duration::ZERO, now);
        let times = retry_times(&mut bucket, now, 30);
        let token_time = 1.0 / limit.rate;
        for pair in times.windows(2) {
            let interval = (pair[1].saturating_sub(pair[0])).as_secs_f64();
            assert!(
                (interval - token_time).abs() <= 1e-6,
                "{interval} s between two times, a token takes {token_time} s"
            );
        }
        Ok(())
    });
}

#[test]
fn each_rejected_request_finds_a_token_at_its_retry_time() {
    arbtest::arbtest(|input| {
        let limit = draw_limit(input)?;
        let now = Duration::from_micros(input.int_in_range(0..=100_000_000)?);
        let mut bucket = TokenBucket::new(limit, Duration::ZERO, now);
        let times = retry_times(&mut bucket, now, 30);
        for (index, time) in times.iter().enumerate() {
            let taken = bucket.take(*time);
            assert!(
                taken.is_ok(),
                "request {index}, rejected at {now:?}, retried at {time:?} as told and got {taken:?}; {limit:?}"
            );
        }
        Ok(())
    });
}

#[test]
fn a_lower_limit_applies_at_once() {
    arbtest::arbtest(|input| {
        let before = draw_limit(input)?;
        let after = BucketLimit {
            rate: before.rate / f64::from(input.int_in_range(1..=50_u32)?),
            burst: (before.burst / f64::from(input.int_in_range(1..=50_u32)?)).max(1.0),
        };
        let mut now = Duration::from_millis(input.int_in_range(0..=100_000)?);
        let mut bucket = TokenBucket::new(before, Duration::ZERO, now);
        for _ in 0..input.int_in_range(0..=20)? {
            let _ = bucket.take(now);
        }
        now += Duration::from_micros(input.int_in_range(0..=1_000_000)?);
        bucket.set_limit(after, now);
        let mut admissions = Vec::new();
        for _ in 0..input.int_in_range(0..=200)? {
            if bucket.take(now).is_ok() {
                admissions.push(now);
            }
            now += Duration::from_micros(input.int_in_range(0..=100_000)?);
        }
        let excess = worst_excess(&admissions, after);
        assert!(
            excess <= ROUNDING,
            "{excess} tokens over the bound, {before:?} then {after:?}"
        );
        Ok(())
    });
}

#[test]
fn a_bucket_starts_empty_and_fills_at_its_rate() {
    let limit = BucketLimit {
        rate: 2.0,
        burst: 3.0,
    };
    let since = Duration::from_secs(10);
    let mut bucket = TokenBucket::new(limit, since, since);
    assert_eq!(bucket.take(since), Err(Duration::from_millis(500)));
    assert!(!bucket.is_full(since + Duration::from_millis(1499)));
    assert!(bucket.is_full(since + Duration::from_millis(1500)));
    let later = since + Duration::from_secs(3600);
    let admitted = (0..10).filter(|_| bucket.take(later).is_ok()).count();
    assert_eq!(admitted, 3);
}
