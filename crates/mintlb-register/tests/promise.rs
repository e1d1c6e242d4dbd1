//! Days of losses within the operators' promise, also while the set changes: nothing acknowledged is lost, one value for
//! each revision, and changes go on after calm.

mod days;

use days::{Day, Planted};

/// The length of a day, in ms.
const DAY: u64 = 60_000;
/// Days for each tolerated_failures.
const SEEDS: u64 = 200;

fn play(seed: u64, tolerated_failures: usize, planted: Planted) -> Day {
    let size = 2 * tolerated_failures + 1 + (seed % 3) as usize;
    let mut day = Day::new(seed, tolerated_failures, size, planted);
    day.run_until(DAY);
    day.end();
    day
}

#[test]
fn losses_within_the_promise_break_nothing() {
    let (mut taken, mut disks, mut sets) = (0, 0, 0);
    for seed in 1..=SEEDS {
        for tolerated_failures in 1..=2 {
            let day = play(seed, tolerated_failures, Planted::None);
            assert_eq!(day.broken, None, "seed {seed}, f {tolerated_failures}");
            (taken, disks, sets) = (taken + day.taken, disks + day.disks, sets + day.sets);
        }
    }
    println!(
        "{} days: {taken} configurations, {disks} disks lost, {sets} changes of the set",
        2 * SEEDS
    );
    assert!(
        taken > 2000 && disks > 200 && sets > 500,
        "{taken} {disks} {sets}"
    );
}

/// The first day that shows a planted fault.
fn found(planted: Planted) -> Option<(u64, String)> {
    (1..=1000).find_map(|seed| play(seed, 1, planted).broken.map(|broken| (seed, broken)))
}

#[test]
fn planted_faults_are_found() {
    for planted in [
        Planted::AnswersBeforeSync,
        Planted::KeepsIdentityOnEmptyDisk,
        Planted::EndsWithoutLeaving,
        Planted::NobodySettles,
        Planted::NeverJoinsAgain,
        Planted::NeverCatchesUp,
    ] {
        let found = found(planted);
        println!("{planted:?}: {found:?}");
        assert_ne!(found, None, "{planted:?}");
    }
}
