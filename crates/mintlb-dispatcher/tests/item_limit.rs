//! The limit of concurrent batch items, and the occupancy of a service that it goes by.

use mintlb_dispatcher::batch::concurrency_limit::ConcurrencyLimit;
use mintlb_dispatcher::load::Load;
use mintlb_dispatcher::occupancy::ServiceOccupancies;

const SECONDS: f64 = 10.0;
const STEP: f64 = 0.05;

/// Runs as many items as the limit allows; `occupancy` is that of the service at a limit.
fn settle(limit: &mut ConcurrencyLimit, from: f64, occupancy: impl Fn(usize) -> Option<f64>) {
    for step in 0..(SECONDS / STEP) as usize {
        let now = from + step as f64 * STEP;
        let running = limit.limit();
        limit.update(now, occupancy(running), running);
    }
}

#[test]
fn the_limit_rises_on_an_idle_service_and_is_bounded() {
    let mut limit = ConcurrencyLimit::default();
    assert_eq!(limit.limit(), 1, "one item runs at any time");
    settle(&mut limit, 1.0, |_| None);
    let unbounded = limit.limit();
    assert!(unbounded > 100);
    settle(&mut limit, 20.0, |_| Some(0.0));
    assert_eq!(limit.limit(), 192);
}

#[test]
fn the_limit_falls_on_a_crowded_service_and_leaves_one_item() {
    let mut limit = ConcurrencyLimit::default();
    settle(&mut limit, 1.0, |_| None);
    let before = limit.limit();
    for step in 0..20 {
        limit.update(12.0 + f64::from(step) * STEP, Some(1.5), before);
    }
    assert!(limit.limit() < before / 3, "within a second");
    settle(&mut limit, 20.0, |_| Some(3.0));
    assert_eq!(limit.limit(), 1);
}

#[test]
fn a_limit_that_is_not_in_use_stays() {
    let mut limit = ConcurrencyLimit::default();
    settle(&mut limit, 1.0, |_| Some(0.5));
    let before = limit.limit();
    for step in 0..100 {
        limit.update(20.0 + f64::from(step) * STEP, Some(0.1), before - 1);
    }
    assert_eq!(limit.limit(), before);
}

#[test]
fn a_pause_or_a_clock_that_steps_back_is_no_reason_for_a_leap() {
    let mut limit = ConcurrencyLimit::default();
    limit.update(1000.0, None, 1);
    assert!(limit.limit() <= 7, "at most a quarter of a second counts");
    let before = limit;
    limit.update(0.0, None, 9);
    assert_eq!(limit.limit(), before.limit());
}

#[test]
fn dispatchers_share_what_live_requests_leave() {
    // 100 slots, 30 of them for live requests; the second dispatcher comes late. At a price of 0.4 both have 18 items.
    let occupancy = |limits: &[ConcurrencyLimit; 2]| {
        let items: usize = limits.iter().map(ConcurrencyLimit::limit).sum();
        Some((30.0 + items as f64) / 100.0)
    };
    let mut limits = [ConcurrencyLimit::default(); 2];
    settle(&mut limits[0], 0.0, |running| {
        Some((30 + running) as f64 / 100.0)
    });
    let alone = limits[0].limit();
    assert!((35..=45).contains(&alone), "{alone}");
    for step in 0..1200 {
        let now = SECONDS + f64::from(step) * STEP;
        let seen = occupancy(&limits);
        for limit in &mut limits {
            limit.update(now, seen, limit.limit());
        }
    }
    let [first, second] = limits.map(|limit| limit.limit());
    assert!((35..=55).contains(&(first + second)), "{first} {second}");
    assert!(first.abs_diff(second) <= 1, "{first} {second}");
}

fn load(running: f64, waiting: f64, slots: f64) -> Load {
    Load {
        running,
        waiting,
        slots,
    }
}

#[test]
fn occupancy_is_a_mean_of_recent_reports() {
    let mut occupancies = ServiceOccupancies::default();
    assert_eq!(occupancies.get("a", 1.0), None);
    for sample in 0..50 {
        let now = 1.0 + f64::from(sample) * 0.1;
        let running = f64::from(sample % 2) * 8.0;
        occupancies.record("a", load(running, 0.0, 8.0), now);
    }
    let mean = occupancies.get("a", 6.0).unwrap();
    assert!((0.3..0.7).contains(&mean), "{mean}");
    for sample in 0..20 {
        let now = 6.0 + f64::from(sample) * 0.1;
        occupancies.record("a", load(8.0, 4.0, 8.0), now);
    }
    let mean = occupancies.get("a", 8.0).unwrap();
    assert!(
        (mean - 1.5).abs() < 0.05,
        "requests that wait count: {mean}"
    );
    assert_eq!(occupancies.get("b", 8.0), None, "of each service its own");
    assert_eq!(occupancies.get("a", 9.5), None, "void after a second");
}

#[test]
fn an_absurd_report_is_forgotten_like_any_other() {
    let mut occupancies = ServiceOccupancies::default();
    occupancies.record("a", load(f64::MAX, f64::MAX, f64::MIN_POSITIVE), 1.0);
    assert_eq!(occupancies.get("a", 1.0), Some(4.0));
    for sample in 0..20 {
        let now = 1.0 + f64::from(sample) * 0.1;
        occupancies.record("a", load(4.0, 0.0, 8.0), now);
    }
    let mean = occupancies.get("a", 3.0).unwrap();
    assert!((mean - 0.5).abs() < 0.05, "{mean}");
}

#[test]
fn a_report_without_slots_tells_nothing() {
    let mut occupancies = ServiceOccupancies::default();
    occupancies.record("a", load(3.0, 1.0, 0.0), 1.0);
    assert_eq!(occupancies.get("a", 1.0), None);
    occupancies.record("a", load(3.0, 1.0, 8.0), 1.0);
    assert_eq!(occupancies.get("a", 1.0), Some(0.5));
}
