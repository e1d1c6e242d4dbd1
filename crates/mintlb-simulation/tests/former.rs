//! Histories in which the product failed once, shrunk: they hold now.

mod common;

use mintlb_simulation::history::{Fault, History, Tier, Timed};
use mintlb_simulation::planted::Planted;
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

fn must_hold(seed: u64, commit_ms: u64, faults: Vec<(Duration, Fault)>) {
    let faults: Vec<Timed> = faults
        .into_iter()
        .map(|(at, fault)| Timed { at, fault })
        .collect();
    let calm_from = faults.iter().map(Timed::end).max().unwrap_or_default();
    let history = History {
        seed,
        tier: THREE_STORES,
        commit_ms,
        faults,
        calm_from,
    };
    let report = play(&history, Planted::None, true);
    assert_eq!(report.violation, None, "{:#?}", report.trace);
}

/// One of three stores is retired; then all that count lose power, and one of the two that are left its disk.
#[test]
fn two_stores_bear_the_loss_of_one_disk_in_a_common_loss_of_power() {
    let strike = Fault::Strike {
        one: Some(3),
        wiped: true,
        all: true,
        time: ms(1376),
    };
    must_hold(
        26,
        2,
        vec![(ms(12_286), Fault::Retire(5)), (ms(22_315), strike)],
    );
}

/// A store that is retired loses its disk and takes shards again under its new identity; the retirement is called
/// completed all the same.
#[test]
fn a_retiring_machine_takes_nothing_with_a_new_disk() {
    // The whole history: with fewer faults it shows only once the two faults above are mended.
    let history = History::draw(146, THREE_STORES);
    let report = play(&history, Planted::None, true);
    assert_eq!(report.violation, None, "{:#?}", report.trace);
}

/// A replica that is gone for good stays in a set that grew by its successor: the set bears no loss any more.
#[test]
fn a_set_that_grew_for_a_dead_replica_loses_it() {
    let faults = vec![
        (ms(7_603), Fault::Retire(3)),
        (ms(8_708), Fault::Replace(5, ms(337))),
        (ms(25_255), Fault::Wipe(5, ms(13))),
    ];
    must_hold(412, 30, faults);
}
