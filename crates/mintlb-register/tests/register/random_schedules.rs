//! Drawn schedules: messages are lost, duplicated, delayed and reordered, machines lose power and disks, and proposals
//! compete.

mod network;
mod operations;
mod steps;
mod world;

use crate::support::configuration;
use crate::support::rng::Rng;
use arbtest::arbitrary::{Result as Drawn, Unstructured};
use arbtest::arbtest;
use network::Mutation;
use world::{PlantedFault, World};

/// Time for a search, in ms.
const SEARCH_BUDGET_MS: u64 = 2000;
/// Steps of one schedule at most.
const MAX_STEPS: usize = 2000;

/// Runs a drawn schedule.
fn run(u: &mut Unstructured, planted: PlantedFault) -> Drawn<World> {
    let size = u.int_in_range(3..=5)?;
    let mut world = World::new(size, planted);
    if u.ratio(4, 5)? {
        world.add_all_machines();
    }
    for _ in 0..MAX_STEPS {
        if u.is_empty() || world.violation.is_some() {
            break;
        }
        world.step(u)?;
    }
    if world.violation.is_none() {
        world.check_recovery();
    }
    Ok(world)
}

#[test]
fn each_revision_has_one_value_and_nothing_acknowledged_is_lost() {
    arbtest(|u| {
        let world = run(u, PlantedFault::None)?;
        assert_eq!(world.violation, None);
        Ok(())
    })
    .size_min(8_000)
    .size_max(20_000)
    .budget_ms(SEARCH_BUDGET_MS);
}

#[test]
fn schedules_reach_what_they_are_for() {
    let (mut runs, mut applied, mut lost_disks, mut reads, mut set_changes) = (0, 0, 0, 0, 0);
    arbtest(|u| {
        let stats = run(u, PlantedFault::None)?.stats;
        runs += 1;
        applied += stats.applied;
        lost_disks += stats.lost_disks;
        reads += stats.reads;
        set_changes += stats.set_changes;
        Ok(())
    })
    .size_min(8_000)
    .size_max(20_000)
    .budget_ms(500);
    let summary = format!(
        "{runs} runs: {applied} configurations, {lost_disks} disks, {reads} reads, \
         {set_changes} changes of the set"
    );
    println!("{summary}");
    assert!(applied > runs / 2 && 2 * lost_disks > runs, "{summary}");
    assert!(reads > runs / 2 && set_changes > 2 * runs, "{summary}");
}

/// The violation that seeded schedules find of a planted fault.
fn find(planted: PlantedFault) -> Option<String> {
    let mut rng = Rng::with_state(0x9e37_79b9_7f4a_7c15);
    for _ in 0..1500 {
        let bytes: Vec<u8> = (0..12_000).map(|_| (rng.next_bits() >> 32) as u8).collect();
        let world = run(&mut Unstructured::new(&bytes), planted).ok();
        if let Some(violation) = world.and_then(|world| world.violation) {
            return Some(violation);
        }
    }
    None
}

#[test]
fn a_reply_before_its_sync_is_found() {
    assert_ne!(find(PlantedFault::RepliesBeforeSync), None);
}

#[test]
fn a_replica_with_the_identity_of_a_lost_disk_is_found() {
    assert_ne!(find(PlantedFault::KeepsIdentityOfLostDisk), None);
}

#[test]
fn without_a_planted_fault_the_same_schedules_find_nothing() {
    assert_eq!(find(PlantedFault::None), None);
}

#[test]
fn a_change_survives_the_mutation_of_any_one_message() {
    let complete_world = || {
        let mut world = World::new(3, PlantedFault::None);
        world.add_all_machines();
        world
    };
    let change = || configuration(0, 3, "a");
    let messages = complete_world().run_change(change(), None);
    assert!(messages >= 10, "{messages} messages");
    for index in 0..messages {
        for mutation in Mutation::ALL {
            let mut world = complete_world();
            world.run_change(change(), Some((index, mutation)));
            let case = format!("message {index}, {mutation:?}");
            assert_eq!(world.violation, None, "{case}");
            assert_eq!(world.newest().configuration_version, 3, "{case}");
        }
    }
}
