//! The register under drawn schedules: loss, doubling, delay, disorder, power loss, lost disks, rivals.

mod world;

use arbtest::arbitrary::{Result as Drawn, Unstructured};
use arbtest::arbtest;
use mintlb_register::change::Change;
use world::{Mutation, Planted, World};

/// Time for one of the searches, in ms.
const BUDGET_MS: u64 = 2000;
/// Steps of one schedule at most.
const MOST_STEPS: usize = 2000;

/// Plays a drawn schedule; returns what was broken.
fn play(u: &mut Unstructured, planted: Planted) -> Drawn<World> {
    let size = u.int_in_range(3..=5)?;
    let mut world = World::new(size, planted);
    if u.ratio(4, 5)? {
        world.assemble();
    }
    for _ in 0..MOST_STEPS {
        if u.is_empty() || world.broken.is_some() {
            break;
        }
        world.step(u)?;
    }
    if world.broken.is_none() {
        world.settle();
    }
    Ok(world)
}

#[test]
fn one_value_for_each_revision_and_nothing_acknowledged_is_lost() {
    arbtest(|u| {
        let world = play(u, Planted::None)?;
        assert_eq!(world.broken, None);
        Ok(())
    })
    .size_min(8_000)
    .size_max(20_000)
    .budget_ms(BUDGET_MS);
}

#[test]
fn schedules_reach_what_they_are_for() {
    let (mut plays, mut taken, mut disks, mut reads, mut sets) = (0, 0, 0, 0, 0);
    arbtest(|u| {
        let counts = play(u, Planted::None)?.counts;
        plays += 1;
        taken += counts.taken;
        disks += counts.disks;
        reads += counts.reads;
        sets += counts.sets;
        Ok(())
    })
    .size_min(8_000)
    .size_max(20_000)
    .budget_ms(500);
    let seen =
        format!("{plays} plays: {taken} configurations, {disks} disks, {reads} reads, {sets} sets");
    println!("{seen}");
    assert!(
        taken > plays / 2 && 2 * disks > plays && reads > plays / 2 && sets > 2 * plays,
        "{seen}"
    );
}

/// What schedules show of a planted fault.
fn found(planted: Planted) -> Option<String> {
    let mut state = 0x9e37_79b9_7f4a_7c15_u64;
    for _ in 0..1500 {
        let bytes: Vec<u8> = (0..12_000)
            .map(|_| {
                state ^= state << 13;
                state ^= state >> 7;
                state ^= state << 17;
                (state >> 32) as u8
            })
            .collect();
        let mut u = Unstructured::new(&bytes);
        if let Some(broken) = play(&mut u, planted).ok().and_then(|world| world.broken) {
            return Some(broken);
        }
    }
    None
}

#[test]
fn an_answer_before_its_sync_is_found() {
    assert_ne!(found(Planted::AnswersBeforeSync), None);
}

#[test]
fn a_vote_from_an_emptied_disk_is_found() {
    assert_ne!(found(Planted::KeepsIdentityOnEmptyDisk), None);
}

#[test]
fn without_a_fault_the_same_schedules_are_fine() {
    assert_eq!(found(Planted::None), None);
}

#[test]
fn a_change_survives_the_mutation_of_any_one_message() {
    let change = || Change::SetConfiguration {
        base: 0,
        version: 3,
        body: b"a".to_vec(),
        tolerated_failures: 1,
        durability_suffices: false,
    };
    let assembled = || {
        let mut world = World::new(3, Planted::None);
        world.assemble();
        world
    };
    let messages = assembled().run_mutated(change(), None);
    assert!(messages >= 10, "{messages} messages");
    for at in 0..messages {
        for mutation in [
            Mutation::Drop,
            Mutation::Double,
            Mutation::Delay,
            Mutation::Swap,
        ] {
            let mut world = assembled();
            world.run_mutated(change(), Some((at, mutation)));
            assert_eq!(world.broken, None, "message {at}, {mutation:?}");
            assert_eq!(
                world.newest().configuration_version,
                3,
                "message {at}, {mutation:?}"
            );
        }
    }
}
