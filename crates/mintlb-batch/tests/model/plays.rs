//! What the days of the model have in common: calls, spans of time, and the checks at the end.

use super::{Model, name};
use std::time::Duration;

/// A dispatcher's call, mostly at a store that serves.
pub fn call(model: &mut Model, any: usize) {
    let serves = |place: &usize| {
        model.stores[*place]
            .replica
            .as_ref()
            .is_some_and(|r| r.is_serving())
    };
    let serving: Vec<usize> = (0..model.stores.len()).filter(serves).collect();
    let place = match serving.is_empty() || model.random.chance(10) {
        true => any,
        false => serving[model.random.below(serving.len() as u64) as usize],
    };
    let kind = model.random.below(33);
    if kind < 7 {
        model.next_lot += 1;
        let job = format!("lot{:05}", model.next_lot);
        let items = 1 + model.random.below(4) as usize;
        return model.submit(place, job, items);
    }
    let Some((job, items)) = any_lot(model) else {
        return;
    };
    match kind {
        // The same lot again, perhaps at another store.
        7..=8 => model.submit(place, job, items),
        9..=19 => {
            let item = model.random.below(items as u64) as u32;
            model.told.finished(&job, item);
            model.record(place, job, item);
        }
        20 if model.random.chance(40) => {
            model.told.end_asked.insert(job.clone());
            model.end(place, job);
        }
        21..=28 => model.read(place, &job),
        29..=30 => model.lease(place),
        _ => (),
    }
}

fn any_lot(model: &mut Model) -> Option<(String, usize)> {
    let count = model.told.accepted.len() as u64;
    // The newest ones are of most interest.
    let back = model.random.below(count.min(8)) as usize;
    let job = model.told.accepted.keys().rev().nth(back)?.clone();
    let items = model.told.accepted[&job].1;
    Some((job, items))
}

/// All is well again: everything runs, everything arrives.
pub fn heal(model: &mut Model) {
    for place in 0..model.stores.len() {
        model.give_back(place);
    }
    for _ in 0..400 {
        exchange(model);
        model.move_machines();
        model.control();
        model.tick(Duration::from_millis(50));
    }
}

/// Everything on its way arrives.
pub fn exchange(model: &mut Model) {
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
pub fn check_all(model: &mut Model) {
    let serving: Vec<usize> = (0..model.stores.len())
        .filter(|place| {
            model.stores[*place]
                .replica
                .as_ref()
                .is_some_and(|replica| replica.is_serving())
        })
        .collect();
    let history = model.history.join("\n");
    assert_eq!(
        serving.len(),
        1,
        "one store serves: {:?}\n{history}",
        model.placements.last()
    );
    let place = serving[0];
    model.stores[place]
        .replica
        .as_mut()
        .unwrap()
        .confirm(model.now);
    model.act(place);
    exchange(model);
    exchange(model);
    assert!(
        model.stores[place]
            .replica
            .as_mut()
            .unwrap()
            .confirm(model.now)
    );
    let jobs: Vec<(String, usize)> = model
        .told
        .accepted
        .iter()
        .map(|(job, (_, items))| (job.clone(), *items))
        .collect();
    for (job, _) in &jobs {
        let jobs = model.stores[place].replica.as_ref().unwrap().jobs();
        let Some(found) = jobs.find(&name(job)) else {
            panic!("LOST: {job}\n{history}")
        };
        if model.told.ended.contains_key(job) {
            assert!(found.ended.is_some(), "an end is lost");
        }
        let read = model.told.results.get(job).map_or(0, Vec::len);
        assert!(found.results.len() >= read, "a result is lost");
        model.read(place, job);
    }
    model.lease(place);
}

/// Time passes, with calls and a network that loses, repeats and delays little. Ends early once a lot was accepted,
/// if that is asked for.
pub fn span(model: &mut Model, time: Duration, until_accepted: bool) {
    let end = model.now + time;
    model.accepted_now = false;
    while model.now < end && !(until_accepted && model.accepted_now) {
        model.move_machines();
        let calls = if model.idle { 0 } else { model.random.below(3) };
        for _ in 0..calls {
            let any = model.random.below(model.stores.len() as u64) as usize;
            call(model, any);
        }
        exchange_some(model, until_accepted);
        if model.random.chance(50) {
            model.control();
        }
        let passed = Duration::from_millis(10 + model.random.below(60));
        model.tick(passed);
    }
}

fn exchange_some(model: &mut Model, until_accepted: bool) {
    for place in 0..model.stores.len() {
        if model.random.chance(80) {
            model.hear(place);
            model.sync(place);
        }
    }
    for _ in 0..model.messages.len() {
        match model.random.below(100) {
            0..=2 => _ = model.messages.remove(0),
            3..=12 => {
                let message = model.messages.remove(0);
                model.messages.push(message);
            }
            other => model.deliver(0, other < 16),
        }
        if until_accepted && model.accepted_now {
            return;
        }
    }
    model.messages.truncate(5000);
}
