//! Long runs with faults, also while the replica set changes. At most f machines count as lost at any time: nothing
//! acknowledged is lost, each revision has one value, and changes go on once the faults have ended.

mod checks;
mod controller;
mod faults;
mod machine;
mod network;
mod operations;
mod simulation;

use simulation::{PlantedFault, Simulation};

/// Length of the part of a run with faults, in ms.
const FAULTS_MS: u64 = 60_000;
/// Runs for each number of tolerated failures.
const SEEDS: u64 = 2000;

fn run(seed: u64, tolerated_failures: usize, planted: PlantedFault) -> Simulation {
    let size = 2 * tolerated_failures + 1 + (seed % 3) as usize;
    let mut simulation = Simulation::new(seed, tolerated_failures, size, planted);
    simulation.run_until(FAULTS_MS);
    simulation.check_recovery();
    simulation
}

#[test]
fn losses_within_the_bound_break_nothing() {
    let (mut applied, mut lost_disks, mut set_changes) = (0, 0, 0);
    for seed in 1..=SEEDS {
        for tolerated_failures in 1..=2 {
            let simulation = run(seed, tolerated_failures, PlantedFault::None);
            assert_eq!(
                simulation.violation, None,
                "seed {seed}, f {tolerated_failures}"
            );
            applied += simulation.stats.applied;
            lost_disks += simulation.stats.lost_disks;
            set_changes += simulation.stats.set_changes;
        }
    }
    println!(
        "{} runs: {applied} configurations, {lost_disks} disks lost, {set_changes} changes of the set",
        2 * SEEDS
    );
    assert!(
        applied > 2000 && lost_disks > 200 && set_changes > 500,
        "{applied} {lost_disks} {set_changes}"
    );
}

/// The first seed that finds a planted fault, and the violation.
fn find(planted: PlantedFault) -> Option<(u64, String)> {
    (1..=1000).find_map(|seed| {
        let violation = run(seed, 1, planted).violation?;
        Some((seed, violation))
    })
}

#[test]
fn planted_faults_are_found() {
    for planted in [
        PlantedFault::RepliesBeforeSync,
        PlantedFault::KeepsIdentityOfLostDisk,
        PlantedFault::StopsWithoutRemoval,
        PlantedFault::NeverLeavesJoint,
        PlantedFault::NeverRejoins,
        PlantedFault::NeverCatchesUp,
    ] {
        let found = find(planted);
        println!("{planted:?}: {found:?}");
        assert_ne!(found, None, "{planted:?}");
    }
}
