//! Drawn histories: with the product as it is nothing acknowledged is lost; with a planted fault it is found.

use mintlb_model::history::{History, Tier};
use mintlb_model::planted::Planted;
use mintlb_model::shrink::{described, shrink};
use mintlb_model::world::play;
use std::env;

/// Replays one history: its seed.
const SEED: &str = "MINTLB_MODEL_SEED";
/// How many histories are played.
const HISTORIES: &str = "MINTLB_MODEL_HISTORIES";
/// Prints the whole history in which a planted fault was found.
const SHOW: &str = "MINTLB_MODEL_SHOW";
const CONTROL: Tier = Tier { controllers: 3, stores: 0, dispatchers: 2 };

fn number(variable: &str) -> Option<u64> {
    env::var(variable).ok()?.parse().ok()
}

/// Plays a history; if it fails, with what is left of it after shrinking.
fn must_hold(seed: u64, tier: Tier) -> mintlb_model::checks::Counts {
    let history = History::draw(seed, tier);
    let report = play(&history, Planted::None, false);
    if report.violation.is_some() {
        let shrunk = shrink(&history, Planted::None);
        let report = play(&shrunk, Planted::None, true);
        panic!("{}", described(&shrunk, &report));
    }
    report.counts
}

#[test]
fn control_holds_what_it_acknowledges() {
    if let Some(seed) = number(SEED) {
        println!("{:?}", must_hold(seed, CONTROL));
        return;
    }
    let histories = number(HISTORIES).unwrap_or(300);
    let mut sums = [0; 7];
    for seed in 0..histories {
        let counts = must_hold(seed, CONTROL);
        let one = [
            counts.events,
            counts.faults,
            counts.acknowledged,
            counts.repeated,
            counts.refused,
            counts.reads,
            counts.sets,
        ];
        sums.iter_mut().zip(one).for_each(|(sum, one)| *sum += one);
    }
    let [events, faults, acknowledged, repeated, refused, reads, sets] = sums;
    println!(
        "{histories} histories: {events} events, {faults} faults, {acknowledged} configurations, \
         {repeated} repeated, {refused} refused, {reads} reads, {sets} sets"
    );
    assert!(faults > 2 * histories && acknowledged > 10 * histories && repeated > histories);
    assert!(refused > histories && sets > 6 * histories && reads > histories);
}

/// The first history in which a planted fault is found, shrunk.
fn found(planted: Planted, most: u64) -> Option<String> {
    for seed in 0..most {
        let history = History::draw(seed, CONTROL);
        if play(&history, planted, false).violation.is_some() {
            let shrunk = shrink(&history, planted);
            let report = play(&shrunk, planted, true);
            return Some(described(&shrunk, &report));
        }
    }
    None
}

fn must_find(planted: Planted, most: u64) {
    let found = found(planted, most);
    let last = found.as_ref().and_then(|text| text.lines().last().map(str::to_string));
    match env::var(SHOW) {
        Ok(_) => println!("{planted:?}: {}", found.as_deref().unwrap_or("not found")),
        Err(_) => println!("{planted:?}: {last:?}"),
    }
    assert!(found.is_some(), "{planted:?} is not found");
}

#[test]
fn a_promise_that_is_not_synced_is_found() {
    must_find(Planted::PromiseNotSynced, 3000);
}

#[test]
fn an_answer_before_its_sync_is_found() {
    must_find(Planted::AnswerBeforeSync, 3000);
}

#[test]
fn a_vote_from_a_wiped_disk_is_found() {
    must_find(Planted::VoteAfterWipe, 3000);
}

#[test]
fn a_joint_set_that_is_left_is_found() {
    must_find(Planted::JointSetLeft, 3000);
}

#[test]
fn a_taken_order_that_is_forgotten_is_found() {
    must_find(Planted::TakenForgotten, 100);
}

#[test]
fn a_read_without_a_majority_is_found() {
    must_find(Planted::ReadWithoutMajority, 100);
}
