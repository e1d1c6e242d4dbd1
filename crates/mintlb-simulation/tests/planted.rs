//! Planted faults: each is found by the same histories in which the product as it is holds.

mod common;

use common::{ALL, CONTROL};
use mintlb_simulation::history::{History, Tier};
use mintlb_simulation::planted::Planted;
use mintlb_simulation::shrink::{described, shrink};
use mintlb_simulation::world::play;
use std::env;

/// Prints the whole history in which a planted fault was found.
const SHOW: &str = "MINTLB_MODEL_SHOW";

/// The first history in which a planted fault is found, and nothing without it, shrunk.
fn found(planted: Planted, draw: impl Fn(u64) -> History, most: u64) -> Option<(u64, String)> {
    for seed in 0..most {
        let history = draw(seed);
        let fails = |planted: Planted| play(&history, planted, false).violation.is_some();
        if fails(planted) && !fails(Planted::None) {
            let shrunk = shrink(&history, planted);
            let report = play(&shrunk, planted, true);
            return Some((seed, described(&shrunk, &report)));
        }
    }
    None
}

fn must_find(planted: Planted, tier: Tier, most: u64) {
    must_find_in(planted, |seed| History::draw(seed, tier), most);
}

fn must_find_in(planted: Planted, draw: impl Fn(u64) -> History, most: u64) {
    let Some((seed, text)) = found(planted, draw, most) else {
        panic!("{planted:?} is not found")
    };
    let last = text.lines().last().unwrap_or_default();
    println!("{planted:?}, history {seed}: {last}");
    if env::var(SHOW).is_ok() {
        println!("{text}");
    }
}

#[test]
fn a_promise_that_is_not_synced_is_found() {
    must_find_in(
        Planted::PromiseNotSynced,
        |seed| History::draw_restless(seed, CONTROL),
        3000,
    );
}

#[test]
fn an_answer_before_its_sync_is_found() {
    must_find(Planted::AnswerBeforeSync, CONTROL, 3000);
}

#[test]
fn a_vote_from_a_wiped_disk_is_found() {
    must_find(Planted::VoteAfterWipe, CONTROL, 3000);
}

#[test]
fn a_joint_set_that_is_left_is_found() {
    must_find(Planted::JointSetLeft, CONTROL, 3000);
}

#[test]
fn a_taken_order_that_is_forgotten_is_found() {
    must_find(Planted::TakenForgotten, CONTROL, 100);
}

#[test]
fn a_read_without_a_majority_is_found() {
    must_find(Planted::ReadWithoutMajority, CONTROL, 100);
}

#[test]
fn a_stores_word_before_its_sync_is_found() {
    must_find(Planted::StoreAnswersBeforeSync, ALL, 600);
}

#[test]
fn a_takeover_that_reads_nothing_is_found() {
    must_find(Planted::PreviousNotRead, ALL, 600);
}

#[test]
fn a_leaving_store_that_is_not_waited_for_is_found() {
    must_find(Planted::LeavingNotWaitedFor, ALL, 600);
}

#[test]
fn a_drain_that_is_acknowledged_in_isolation_is_found() {
    must_find(Planted::DrainInIsolation, CONTROL, 600);
}

#[test]
fn a_contact_that_is_not_checked_is_found() {
    must_find(Planted::ContactNotChecked, CONTROL, 3000);
}

#[test]
fn an_old_record_that_comes_over_a_newer_one_is_found() {
    must_find(Planted::OldRecordOverNewer, CONTROL, 300);
}
