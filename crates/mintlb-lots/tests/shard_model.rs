//! Replicas of a shard under power losses, lost disks, cuts, and lost, repeated and reordered messages: what
//! was told stays true.

mod model;

use model::Model;
use std::time::Duration;

const STEPS: u64 = 1500;

/// One random event.
fn step(model: &mut Model, trouble: bool) {
    let place = model.random.below(model.stores.len() as u64) as usize;
    match model.random.below(200) {
        0..=99 => {
            // Mostly in order, sometimes not; sometimes twice.
            let count = model.messages.len() as u64;
            let message = if model.random.chance(85) { 0 } else { model.random.below(count) };
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
        198 => model.stores[place].cut = false,
        _ => {
            if model.stores[place].replica.is_none() {
                model.start(place);
            }
        }
    }
}

/// A dispatcher's call, mostly at a store that serves.
fn call(model: &mut Model, any: usize) {
    let serves = |place: &usize| model.stores[*place].replica.as_ref().is_some_and(|r| r.is_serving());
    let serving: Vec<usize> = (0..model.stores.len()).filter(serves).collect();
    let place = match serving.is_empty() || model.random.chance(10) {
        true => any,
        false => serving[model.random.below(serving.len() as u64) as usize],
    };
    let kind = model.random.below(33);
    if kind < 7 {
        model.next_lot += 1;
        let lot = format!("lot{:05}", model.next_lot);
        let items = 1 + model.random.below(4) as usize;
        return model.submit(place, lot, items);
    }
    let Some((lot, items)) = any_lot(model) else { return };
    match kind {
        // The same lot again, perhaps at another store.
        7..=8 => model.submit(place, lot, items),
        9..=19 => {
            let item = model.random.below(items as u64) as u32;
            model.told.finished(&lot, item);
            model.record(place, lot, item);
        }
        20 if model.random.chance(40) => {
            model.told.end_asked.insert(lot.clone());
            model.end(place, lot);
        }
        21..=28 => model.read(place, &lot),
        29..=30 => model.lease(place),
        _ => (),
    }
}

fn any_lot(model: &mut Model) -> Option<(String, usize)> {
    let count = model.told.accepted.len() as u64;
    // The newest ones are of most interest.
    let back = model.random.below(count.min(8)) as usize;
    let lot = model.told.accepted.keys().rev().nth(back)?.clone();
    let items = model.told.accepted[&lot].1;
    Some((lot, items))
}

/// All is well again: everything runs, everything arrives.
fn heal(model: &mut Model) {
    for place in 0..model.stores.len() {
        model.stores[place].cut = false;
        if model.stores[place].replica.is_none() {
            model.start(place);
        }
    }
    for _ in 0..400 {
        exchange(model);
        model.control();
        model.tick(Duration::from_millis(50));
    }
}

/// Everything on its way arrives.
fn exchange(model: &mut Model) {
    for place in 0..model.stores.len() {
        model.hear(place);
        model.sync(place);
    }
    let mut most = 5000;
    while !model.messages.is_empty() && most > 0 {
        model.deliver(0, false);
        most -= 1;
    }
}

/// What was told can be read at the one store that serves.
fn check_all(model: &mut Model) {
    let serving: Vec<usize> = (0..model.stores.len())
        .filter(|place| model.stores[*place].replica.as_ref().is_some_and(|replica| replica.is_serving()))
        .collect();
    assert_eq!(serving.len(), 1, "one store serves: {:?}", model.placements.last());
    let place = serving[0];
    model.stores[place].replica.as_mut().unwrap().confirm(model.now);
    model.act(place);
    exchange(model);
    exchange(model);
    assert!(model.stores[place].replica.as_mut().unwrap().confirm(model.now));
    let lots: Vec<(String, usize)> =
        model.told.accepted.iter().map(|(lot, (_, items))| (lot.clone(), *items)).collect();
    for (lot, _) in &lots {
        let (_, found) =
            model.stores[place].replica.as_ref().unwrap().lots().find(&model::name(lot)).unwrap();
        if model.told.ended.contains_key(lot) {
            assert!(found.ended.is_some(), "an end is lost");
        }
        let read = model.told.results.get(lot).map_or(0, Vec::len);
        assert!(found.listed.len() >= read, "a result is lost");
        model.read(place, lot);
    }
    model.lease(place);
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
        sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
    }
    let least = [100, 100, 100, 10, 10, 20];
    assert!(sums.iter().zip(least).all(|(sum, least)| *sum >= least), "{sums:?}");
}

#[test]
fn nothing_is_refused_or_lost_without_trouble() {
    for seed in 0..10 {
        let model = run(seed, 3, 1, false);
        assert!(model.told.accepted.len() > 3);
        assert_eq!(model.placements.last().unwrap().shards[0].epoch, 1);
    }
}
