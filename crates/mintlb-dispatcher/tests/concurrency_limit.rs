//! The concurrency limit of batch items, and the estimate of a service's occupancy on which it depends.

use mintlb_dispatcher::batch::concurrency_limit::ConcurrencyLimit;
use mintlb_dispatcher::load::InstanceLoad;
use mintlb_dispatcher::occupancy::ServiceOccupancies;

/// Simulated time in seconds.
const DURATION: f64 = 10.0;
/// Time between two updates in seconds.
const UPDATE_INTERVAL: f64 = 0.05;

/// Simulates [`DURATION`] in which as many items run as the limit allows; `occupancy` gives the service's occupancy for a
/// number of running items.
fn simulate(limit: &mut ConcurrencyLimit, from: f64, occupancy: impl Fn(usize) -> Option<f64>) {
    for step in 0..(DURATION / UPDATE_INTERVAL) as usize {
        let now = from + step as f64 * UPDATE_INTERVAL;
        let running = limit.limit();
        limit.update(now, occupancy(running), running);
    }
}

#[test]
fn limit_rises_on_an_idle_service_and_is_bounded() {
    let mut limit = ConcurrencyLimit::default();
    assert_eq!(limit.limit(), 1, "the initial limit");
    simulate(&mut limit, 1.0, |_| None);
    let limit_when_idle = limit.limit();
    assert!(limit_when_idle > 100);
    simulate(&mut limit, 20.0, |_| Some(0.0));
    assert_eq!(limit.limit(), 192);
}

#[test]
fn limit_falls_to_one_on_an_overloaded_service() {
    let mut limit = ConcurrencyLimit::default();
    simulate(&mut limit, 1.0, |_| None);
    let initial = limit.limit();
    for step in 0..20 {
        limit.update(12.0 + f64::from(step) * UPDATE_INTERVAL, Some(1.5), initial);
    }
    assert!(
        limit.limit() < initial / 3,
        "the limit did not fall within a second"
    );
    simulate(&mut limit, 20.0, |_| Some(3.0));
    assert_eq!(limit.limit(), 1);
}

#[test]
fn limit_does_not_rise_while_it_is_not_reached() {
    let mut limit = ConcurrencyLimit::default();
    simulate(&mut limit, 1.0, |_| Some(0.5));
    let initial = limit.limit();
    for step in 0..100 {
        limit.update(
            20.0 + f64::from(step) * UPDATE_INTERVAL,
            Some(0.1),
            initial - 1,
        );
    }
    assert_eq!(limit.limit(), initial);
}

#[test]
fn long_pause_or_backward_clock_step_changes_the_limit_little() {
    let mut limit = ConcurrencyLimit::default();
    limit.update(1000.0, None, 1);
    assert!(limit.limit() <= 7, "an update accounts for at most 0.25 s");
    let initial = limit;
    limit.update(0.0, None, 9);
    assert_eq!(limit.limit(), initial.limit());
}

#[test]
fn dispatchers_converge_to_equal_shares_of_the_remaining_capacity() {
    // 100 slots, 30 of them occupied by live requests. The second dispatcher starts later. At a price of 0.4 both run 18
    // items.
    let occupancy = |limits: &[ConcurrencyLimit; 2]| {
        let items: usize = limits.iter().map(ConcurrencyLimit::limit).sum();
        Some((30.0 + items as f64) / 100.0)
    };
    let mut limits = [ConcurrencyLimit::default(); 2];
    simulate(&mut limits[0], 0.0, |running| {
        Some((30 + running) as f64 / 100.0)
    });
    let single = limits[0].limit();
    assert!((35..=45).contains(&single), "{single}");
    for step in 0..1200 {
        let now = DURATION + f64::from(step) * UPDATE_INTERVAL;
        let occupancy = occupancy(&limits);
        for limit in &mut limits {
            limit.update(now, occupancy, limit.limit());
        }
    }
    let [first, second] = limits.map(|limit| limit.limit());
    assert!((35..=55).contains(&(first + second)), "{first} {second}");
    assert!(first.abs_diff(second) <= 1, "{first} {second}");
}

fn load(running: f64, waiting: f64, slots: f64) -> InstanceLoad {
    InstanceLoad {
        running,
        waiting,
        slots,
    }
}

#[test]
fn occupancy_is_the_mean_of_recent_reports() {
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
        "queued requests count as well: {mean}"
    );
    assert_eq!(
        occupancies.get("b", 8.0),
        None,
        "the estimate of another service"
    );
    assert_eq!(
        occupancies.get("a", 9.5),
        None,
        "the estimate did not expire after a second"
    );
}

#[test]
fn implausible_report_is_capped_and_decays() {
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
fn report_without_slots_is_ignored() {
    let mut occupancies = ServiceOccupancies::default();
    occupancies.record("a", load(3.0, 1.0, 0.0), 1.0);
    assert_eq!(occupancies.get("a", 1.0), None);
    occupancies.record("a", load(3.0, 1.0, 8.0), 1.0);
    assert_eq!(occupancies.get("a", 1.0), Some(0.5));
}
