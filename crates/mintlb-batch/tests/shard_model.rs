//! Replicas of a shard under power losses, lost disks, cuts, and lost, repeated and reordered messages: what
//! was told stays true.

mod model;

use model::Model;
use model::plays::{call, check_all, heal};
use std::time::Duration;

const STEPS: u64 = 1500;

/// One random event.
fn step(model: &mut Model, trouble: bool) {
    let place = model.random.below(model.stores.len() as u64) as usize;
    match model.random.below(200) {
        0..=99 => {
            // Mostly in order, sometimes not; sometimes twice.
            let count = model.messages.len() as u64;
            let message = if model.random.chance(85) {
                0
            } else {
                model.random.below(count)
            };
            let keep = trouble && model.random.chance(4);
            model.deliver(message as usize, keep);
        }
        100..=134 => model.sync(place),
        135..=142 => model.hear(place),
        143..=154 => {
            let passed = Duration::from_millis(5 + model.random.below(100));
            model.tick(passed);
        }
        155..=160 => model.control(),
        161..=193 => call(model, place),
        194 if trouble => {
            let count = model.messages.len() as u64;
            let message = model.random.below(count) as usize;
            if message < model.messages.len() {
                model.messages.remove(message);
            }
        }
        195 if trouble && model.random.chance(50) => model.crash(place),
        196 if trouble && model.random.chance(20) => _ = model.lose_disk(place),
        197 if trouble && model.random.chance(40) => model.stores[place].cut = true,
        198 if model.stores[place].cut => model.join_again(place),
        _ => {
            if model.stores[place].replica.is_none() {
                model.start(place);
            }
        }
    }
}

fn run(seed: u64, count: usize, tolerance: usize, trouble: bool) -> Model {
    let mut model = Model::new(seed, count, tolerance);
    // The first placement.
    heal(&mut model);
    for _ in 0..STEPS {
        step(&mut model, trouble);
    }
    heal(&mut model);
    check_all(&mut model);
    model
}

#[test]
fn what_was_told_stays_true_with_one_loss_tolerated() {
    arbtest::arbtest(|u| {
        run(u.arbitrary()?, 3, 1, true);
        Ok(())
    })
    .budget_ms(4000);
}

#[test]
fn what_was_told_stays_true_with_spare_stores() {
    arbtest::arbtest(|u| {
        run(u.arbitrary()?, 5, 1, true);
        Ok(())
    })
    .budget_ms(4000);
}

#[test]
fn what_was_told_stays_true_with_two_losses_tolerated() {
    arbtest::arbtest(|u| {
        run(u.arbitrary()?, 6, 2, true);
        Ok(())
    })
    .budget_ms(4000);
}

#[test]
fn the_model_does_something() {
    let mut sums = [0; 6];
    for seed in 0..20 {
        let model = run(seed, 4, 1, true);
        let told = &model.told;
        let counts = [
            told.accepted.len() as u64,
            told.records,
            told.sure_reads,
            told.leases,
            model.losses,
            model.takeovers,
        ];
        sums.iter_mut()
            .zip(counts)
            .for_each(|(sum, count)| *sum += count);
    }
    let least = [100, 100, 100, 10, 10, 20];
    assert!(
        sums.iter().zip(least).all(|(sum, least)| *sum >= least),
        "{sums:?}"
    );
}

#[test]
fn nothing_is_refused_or_lost_without_trouble() {
    for seed in 0..10 {
        let model = run(seed, 3, 1, false);
        assert!(model.told.accepted.len() > 3);
        assert_eq!(model.placements.last().unwrap().shards[0].epoch, 1);
    }
}
