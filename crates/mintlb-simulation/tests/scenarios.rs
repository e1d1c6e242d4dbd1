//! Drawn scenarios: the unchanged product loses nothing that it acknowledged.

mod common;

use common::{ALL, CONTROL, number};
use mintlb_simulation::checks::Counts;
use mintlb_simulation::mutations::Mutation;
use mintlb_simulation::scenario::Scenario;
use mintlb_simulation::shrink::{describe, shrink};
use mintlb_simulation::world::play;

/// Replays one scenario: its seed.
const SEED: &str = "MINTLB_MODEL_SEED";
/// How many scenarios of each kind are played.
const SCENARIOS: &str = "MINTLB_MODEL_HISTORIES";

/// Plays a scenario; if it fails, with what is left of it after shrinking.
fn assert_no_violation(scenario: &Scenario) -> Counts {
    let report = play(scenario, Mutation::None, false);
    if report.violation.is_some() {
        let shrunk = shrink(scenario, Mutation::None);
        let report = play(&shrunk, Mutation::None, true);
        panic!("{}", describe(&shrunk, &report));
    }
    report.counts
}

/// Plays many scenarios, or the one that the environment names; what happened in all of them.
fn play_many(draw: impl Fn(u64) -> Scenario, scenarios: u64) -> Option<(u64, Counts)> {
    if let Some(seed) = number(SEED) {
        println!("{:?}", assert_no_violation(&draw(seed)));
        return None;
    }
    let scenarios = number(SCENARIOS).unwrap_or(scenarios);
    let mut sum = Counts::default();
    (0..scenarios).for_each(|seed| sum.add(&assert_no_violation(&draw(seed))));
    println!("{scenarios} scenarios: {sum:?}");
    Some((scenarios, sum))
}

#[test]
fn control_loses_no_acknowledged_change() {
    let Some((scenarios, sum)) = play_many(|seed| Scenario::draw(seed, CONTROL), 1200) else {
        return;
    };
    assert!(sum.faults > 2 * scenarios && sum.acknowledged > 10 * scenarios);
    assert!(sum.repeated > scenarios && sum.refused > scenarios);
    assert!(sum.reads > scenarios && sum.sets > 6 * scenarios);
}

#[test]
fn control_and_stores_lose_no_acknowledged_write() {
    let Some((scenarios, sum)) = play_many(|seed| Scenario::draw(seed, ALL), 250) else {
        return;
    };
    assert!(sum.faults > 2 * scenarios && sum.acknowledged > 10 * scenarios);
    assert!(sum.jobs > 10 * scenarios && sum.results > 10 * scenarios);
    assert!(sum.placements > 5 * scenarios && 4 * sum.retired > scenarios);
}

#[test]
fn nothing_acknowledged_is_lost_when_every_machine_loses_power() {
    let draw = |seed| Scenario::draw_total_power_losses(seed, CONTROL);
    let Some((scenarios, sum)) = play_many(draw, 300) else {
        return;
    };
    assert!(sum.faults > scenarios && sum.acknowledged > 10 * scenarios);
    assert!(sum.drains > 5 * scenarios);
}

#[test]
fn stores_lose_no_acknowledged_write_when_every_machine_loses_power() {
    let draw = |seed| Scenario::draw_total_power_losses(seed, ALL);
    let Some((scenarios, sum)) = play_many(draw, 60) else {
        return;
    };
    assert!(sum.faults > scenarios);
    assert!(sum.jobs > 10 * scenarios && sum.results > 10 * scenarios);
}

#[test]
fn synced_state_survives_repeated_power_losses() {
    let Some((scenarios, sum)) = play_many(|seed| Scenario::draw_power_losses(seed, CONTROL), 200)
    else {
        return;
    };
    assert!(sum.faults > 20 * scenarios && sum.acknowledged > 5 * scenarios);
}
