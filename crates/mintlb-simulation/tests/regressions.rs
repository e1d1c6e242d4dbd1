//! Regression tests: shrunk scenarios in which the product once failed.

mod common;

use mintlb_simulation::mutations::Mutation;
use mintlb_simulation::scenario::{Fault, LossScope, Scenario, Tier, TimedFault};
use mintlb_simulation::world::play;
use std::time::Duration;

const THREE_STORES: Tier = Tier {
    controllers: 3,
    stores: 3,
    dispatchers: 2,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn assert_no_violation(seed: u64, commit_ms: u64, faults: Vec<(Duration, Fault)>) {
    let faults: Vec<TimedFault> = faults
        .into_iter()
        .map(|(at, fault)| TimedFault { at, fault })
        .collect();
    let calm_from = faults.iter().map(TimedFault::end).max().unwrap_or_default();
    let scenario = Scenario {
        seed,
        tier: THREE_STORES,
        commit_ms,
        faults,
        calm_from,
    };
    let report = play(&scenario, Mutation::None, true);
    assert_eq!(report.violation, None, "{:#?}", report.trace);
}

/// One of three stores is retired; then all that count lose power, and one of the two that are left its disk.
#[test]
fn two_stores_survive_a_disk_loss_during_a_cluster_power_loss() {
    let correlated_loss = Fault::CorrelatedLoss {
        one: Some(3),
        wiped: true,
        scope: LossScope::Counted,
        time: ms(1376),
    };
    assert_no_violation(
        26,
        2,
        vec![
            (ms(12_286), Fault::Retire(5)),
            (ms(22_315), correlated_loss),
        ],
    );
}

/// A store that is retired loses its disk and takes shards again under its new identity; the retirement is called
/// completed all the same.
#[test]
fn decommissioning_store_with_a_new_disk_gets_no_shards() {
    // The whole scenario: with fewer faults it shows only once the two faults above are mended.
    let scenario = Scenario::draw(146, THREE_STORES);
    let report = play(&scenario, Mutation::None, true);
    assert_eq!(report.violation, None, "{:#?}", report.trace);
}

/// A replica that is gone for good stays in a set that grew by its successor: the set bears no loss any more.
#[test]
fn replica_set_grown_past_a_dead_replica_removes_it() {
    let faults = vec![
        (ms(7_603), Fault::Retire(3)),
        (ms(8_708), Fault::Replace(5, ms(337))),
        (ms(25_255), Fault::Wipe(5, ms(13))),
    ];
    assert_no_violation(412, 30, faults);
}
