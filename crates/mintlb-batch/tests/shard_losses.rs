//! A shard under losses as the operators' promise allows them, also while its placement is being changed: what was told
//! stays true, and the shard comes in charge again.

mod model;

use mintlb_batch::placement_planner::StoreTable;
use model::Model;
use model::plays::{check_all, heal, span};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Until nothing counts as lost any more, at most.
const LONGEST: Duration = Duration::from_secs(40);

/// One event that the promise allows.
fn event(model: &mut Model) {
    let place = model.random.below(model.stores.len() as u64) as usize;
    if !model.may_lose(place) {
        return;
    }
    let time = Duration::from_millis(300 + model.random.below(4000));
    if model.lost() < model.tolerance && model.random.chance(10) {
        return lose_controller(model, time / 2);
    }
    let kind = model.random.below(16);
    let names = [
        "power", "power", "wipe", "wipe", "wipe", "cut", "freeze", "replace", "planned", "restart",
        "retire",
    ];
    let what = names
        .get(kind as usize)
        .copied()
        .unwrap_or("wipe when accepted");
    model.note(format!(
        "{what} of {} for {time:?}",
        model.stores[place].machine.node()
    ));
    let returns_at = Some(model.now + time);
    match kind {
        0 | 1 => {
            model.crash(place);
            model.stores[place].machine.returns_at = returns_at;
        }
        2..=4 => lose(model, place, time),
        5 => {
            model.stores[place].cut = true;
            model.stores[place].machine.returns_at = returns_at;
        }
        6 => {
            model.stores[place].frozen = true;
            model.stores[place].machine.returns_at = returns_at;
        }
        7 => {
            let parts = 1 + model.random.below(5) as u32;
            model.replace(place, time / parts);
        }
        8 => model.replace_planned(place, time),
        9 => model.stores[place].machine.stops_at = Some(model.now),
        10 if model.lost() == 0 && model.decommissioning.is_empty() => _ = model.retire(place),
        _ => {
            model.idle = false;
            // The machine that has just said that it has the lot, or any other.
            span(model, SECOND * 2, true);
            if model.may_lose(place) {
                lose(model, place, time);
            }
        }
    }
}

/// The controller with the duty is lost; another one takes it, which has heard the stores or has just started.
fn lose_controller(model: &mut Model, pause: Duration) {
    model.note(format!("the controller is lost for {pause:?}"));
    model.paused_until = model.now + pause;
    if model.random.chance(50) {
        model.table = StoreTable::new(model.now);
    }
}

fn lose(model: &mut Model, place: usize, time: Duration) {
    model.wipe(place);
    model.stores[place].machine.returns_at = Some(model.now + time);
}

fn wait_until_nothing_counts(model: &mut Model) {
    let end = model.now + LONGEST;
    while model.lost() > 0 && model.now < end {
        span(model, SECOND / 10, false);
    }
}

/// Right after a lot was accepted some stores lose their disks, and the others lose power.
fn closing_fault(model: &mut Model) {
    wait_until_nothing_counts(model);
    model.idle = false;
    span(model, SECOND * 3, true);
    let mut places: Vec<usize> = (0..model.stores.len())
        .filter(|place| !model.stores[*place].machine.removed)
        .collect();
    places.sort_by_key(|place| model.stores[*place].machine.disk_since);
    let oldest = model.random.chance(50);
    let mut left = if model.lost() == 0 {
        model.tolerance
    } else {
        0
    };
    model.note(format!(
        "{left} lose their disks, oldest: {oldest}, the others power"
    ));
    while !places.is_empty() {
        let at = if oldest {
            0
        } else {
            model.random.below(places.len() as u64) as usize
        };
        let place = places.remove(at);
        match left > 0 && model.may_lose(place) {
            true => (left, _) = (left - 1, model.wipe(place)),
            false => model.crash(place),
        }
        model.stores[place].machine.returns_at = Some(model.now + SECOND);
    }
    span(model, SECOND * 2, false);
}

fn day(seed: u64, count: usize, tolerance: usize) -> Model {
    let mut model = Model::new(seed, count, tolerance);
    heal(&mut model);
    for _ in 0..1 + model.random.below(8) {
        event(&mut model);
        model.idle = model.random.chance(30);
        match model.random.chance(50) {
            true => wait_until_nothing_counts(&mut model),
            false => {
                let time = Duration::from_millis(model.random.below(6000));
                span(&mut model, time, false);
            }
        }
    }
    closing_fault(&mut model);
    heal(&mut model);
    check_all(&mut model);
    model
}

#[test]
fn any_day_with_one_loss_tolerated() {
    arbtest::arbtest(|u| {
        day(u.arbitrary()?, u.int_in_range(3..=4)?, 1);
        Ok(())
    })
    .budget_ms(6000);
}

#[test]
fn any_day_with_two_losses_tolerated() {
    arbtest::arbtest(|u| {
        day(u.arbitrary()?, u.int_in_range(5..=7)?, 2);
        Ok(())
    })
    .budget_ms(6000);
}

#[test]
fn the_days_have_losses_and_lots() {
    let mut sums = [0; 4];
    for seed in 0..10 {
        let model = day(seed, 3, 1);
        let told = &model.told;
        let counts = [
            told.accepted.len() as u64,
            told.sure_reads,
            model.losses,
            model.takeovers,
        ];
        sums.iter_mut()
            .zip(counts)
            .for_each(|(sum, count)| *sum += count);
    }
    assert!(
        sums.iter()
            .zip([100, 100, 20, 40])
            .all(|(sum, least)| *sum >= least),
        "{sums:?}"
    );
}
