//! Mutations: each is detected by scenarios in which the unchanged product violates no invariant.

mod common;

use common::{ALL, CONTROL};
use mintlb_simulation::mutations::Mutation;
use mintlb_simulation::scenario::{Scenario, Tier};
use mintlb_simulation::shrink::{describe, shrink};
use mintlb_simulation::world::play;
use std::env;

/// Prints the complete scenario in which a mutation was detected.
const SHOW: &str = "MINTLB_MODEL_SHOW";

/// The first scenario that fails with a mutation and passes without it, shrunk.
fn first_detection(
    mutation: Mutation,
    draw: impl Fn(u64) -> Scenario,
    max: u64,
) -> Option<(u64, String)> {
    for seed in 0..max {
        let scenario = draw(seed);
        let fails = |mutation: Mutation| play(&scenario, mutation, false).violation.is_some();
        if fails(mutation) && !fails(Mutation::None) {
            let shrunk = shrink(&scenario, mutation);
            let report = play(&shrunk, mutation, true);
            return Some((seed, describe(&shrunk, &report)));
        }
    }
    None
}

fn assert_found(mutation: Mutation, tier: Tier, max: u64) {
    assert_found_in(mutation, |seed| Scenario::draw(seed, tier), max);
}

fn assert_found_in(mutation: Mutation, draw: impl Fn(u64) -> Scenario, max: u64) {
    let Some((seed, text)) = first_detection(mutation, draw, max) else {
        panic!("{mutation:?} is not found")
    };
    let last = text.lines().last().unwrap_or_default();
    println!("{mutation:?}, scenario {seed}: {last}");
    if env::var(SHOW).is_ok() {
        println!("{text}");
    }
}

#[test]
fn detects_promise_not_synced() {
    assert_found_in(
        Mutation::PromiseNotSynced,
        |seed| Scenario::draw_power_losses(seed, CONTROL),
        3000,
    );
}

#[test]
fn detects_answer_before_sync() {
    assert_found(Mutation::AnswerBeforeSync, CONTROL, 3000);
}

#[test]
fn detects_vote_after_wipe() {
    assert_found_in(
        Mutation::VoteAfterWipe,
        |seed| Scenario::draw_total_power_losses(seed, CONTROL),
        3000,
    );
}

#[test]
fn detects_skipped_joint_set() {
    assert_found(Mutation::JointSetSkipped, CONTROL, 3000);
}

#[test]
fn detects_lost_applied_history() {
    assert_found(Mutation::AppliedHistoryLost, CONTROL, 100);
}

#[test]
fn detects_read_without_majority() {
    assert_found(Mutation::ReadWithoutMajority, CONTROL, 100);
}

#[test]
fn detects_store_answer_before_sync() {
    assert_found(Mutation::StoreAnswersBeforeSync, ALL, 600);
}

#[test]
fn detects_takeover_without_reading_previous_replicas() {
    assert_found(Mutation::PreviousReplicasNotRead, ALL, 600);
}

#[test]
fn detects_decommission_not_awaited() {
    assert_found(Mutation::DecommissionNotAwaited, ALL, 600);
}

#[test]
fn detects_drain_acknowledged_without_contact() {
    assert_found(Mutation::DrainWithoutContact, CONTROL, 600);
}

#[test]
fn detects_unchecked_contact() {
    assert_found(Mutation::ContactNotChecked, CONTROL, 3000);
}

#[test]
fn detects_stale_record_applied_over_newer() {
    assert_found(Mutation::StaleRecordApplied, CONTROL, 300);
}

#[test]
fn detects_drain_kept_in_memory() {
    assert_found_in(
        Mutation::DrainKeptInMemory,
        |seed| Scenario::draw_total_power_losses(seed, CONTROL),
        300,
    );
}
