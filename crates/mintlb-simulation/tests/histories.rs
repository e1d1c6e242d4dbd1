//! Drawn histories: with the product as it is nothing acknowledged is lost.

mod common;

use common::{ALL, CONTROL, number};
use mintlb_simulation::checks::Counts;
use mintlb_simulation::history::History;
use mintlb_simulation::planted::Planted;
use mintlb_simulation::shrink::{described, shrink};
use mintlb_simulation::world::play;

/// Replays one history: its seed.
const SEED: &str = "MINTLB_MODEL_SEED";
/// How many histories of each kind are played.
const HISTORIES: &str = "MINTLB_MODEL_HISTORIES";

/// Plays a history; if it fails, with what is left of it after shrinking.
fn must_hold(history: &History) -> Counts {
    let report = play(history, Planted::None, false);
    if report.violation.is_some() {
        let shrunk = shrink(history, Planted::None);
        let report = play(&shrunk, Planted::None, true);
        panic!("{}", described(&shrunk, &report));
    }
    report.counts
}

/// Plays many histories, or the one that the environment names; what happened in all of them.
fn play_many(draw: impl Fn(u64) -> History, histories: u64) -> Option<(u64, Counts)> {
    if let Some(seed) = number(SEED) {
        println!("{:?}", must_hold(&draw(seed)));
        return None;
    }
    let histories = number(HISTORIES).unwrap_or(histories);
    let mut sum = Counts::default();
    (0..histories).for_each(|seed| sum.add(&must_hold(&draw(seed))));
    println!("{histories} histories: {sum:?}");
    Some((histories, sum))
}

#[test]
fn control_holds_what_it_acknowledges() {
    let Some((histories, sum)) = play_many(|seed| History::draw(seed, CONTROL), 1200) else {
        return;
    };
    assert!(sum.faults > 2 * histories && sum.acknowledged > 10 * histories);
    assert!(sum.repeated > histories && sum.refused > histories);
    assert!(sum.reads > histories && sum.sets > 6 * histories);
}

#[test]
fn control_and_stores_hold_what_they_acknowledge() {
    let Some((histories, sum)) = play_many(|seed| History::draw(seed, ALL), 250) else {
        return;
    };
    assert!(sum.faults > 2 * histories && sum.acknowledged > 10 * histories);
    assert!(sum.lots > 10 * histories && sum.results > 10 * histories);
    assert!(sum.placements > 5 * histories && 4 * sum.retired > histories);
}

#[test]
fn what_is_synced_outlasts_power_losses_without_number() {
    let Some((histories, sum)) = play_many(|seed| History::draw_restless(seed, CONTROL), 200)
    else {
        return;
    };
    assert!(sum.faults > 20 * histories && sum.acknowledged > 5 * histories);
}
