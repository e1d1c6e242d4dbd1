//! What replicas wait for before they say something, and which log a new primary takes.

#![allow(dead_code)]

mod model;

use mintlb_batch::messages::{LeasedItems, RenewResult};
use mintlb_batch::peer::PeerMessage;
use mintlb_common::placement::{Placement, ShardAssignment};
use model::Model;
use std::time::Duration;

/// Three stores with ids 1 to 3, 1 being the primary in charge.
fn three() -> Model {
    let mut model = Model::new(1, 3, 1);
    place(&mut model, 1, &[1, 2, 3], &[]);
    quiet(&mut model);
    assert!(serves(&model, 1));
    model
}

/// The register takes an assignment; nobody hears of it yet.
fn place(model: &mut Model, epoch: u64, replicas: &[u64], previous: &[u64]) {
    place_after(model, epoch, replicas, previous, epoch - 1);
}

/// The same after takeovers that were given up: the last epoch that was settled is an older one.
fn place_after(
    model: &mut Model,
    epoch: u64,
    replicas: &[u64],
    previous: &[u64],
    last_active_epoch: u64,
) {
    let (replicas, previous) = (replicas.to_vec(), previous.to_vec());
    let shard = ShardAssignment {
        epoch,
        replicas,
        previous,
        last_active_epoch: Some(last_active_epoch),
    };
    let version = model.placements.len() as u64;
    model.placements.push(Placement {
        epoch: version,
        stores: Vec::new(),
        shards: vec![shard],
    });
}

fn hear(model: &mut Model, id: u64) {
    let newest = model.placements.len() - 1;
    while model.stores[id as usize - 1].placement < newest {
        model.hear(id as usize - 1);
    }
}

fn sync(model: &mut Model, id: u64) {
    model.sync(id as usize - 1);
}

/// Everything arrives and is synced.
fn quiet(model: &mut Model) {
    for _ in 0..30 {
        for id in 1..=3 {
            if !model.stores[id as usize - 1].cut {
                hear(model, id);
            }
            sync(model, id);
        }
        (0..model.messages.len()).for_each(|_| model.deliver(0, false));
    }
}

fn serves(model: &Model, id: u64) -> bool {
    model.stores[id as usize - 1]
        .replica
        .as_ref()
        .is_some_and(|replica| replica.is_serving())
}

/// Messages of this store that are on their way.
fn sent(model: &Model, id: u64) -> Vec<&PeerMessage> {
    model
        .messages
        .iter()
        .filter(|(e, _)| e.from == id)
        .map(|(e, _)| &e.message)
        .collect()
}

#[test]
fn a_promise_is_given_after_it_is_synced() {
    let mut model = three();
    model.stores[0].cut = true;
    place(&mut model, 2, &[2, 3, 1], &[1, 2, 3]);
    hear(&mut model, 2);
    (0..model.messages.len()).for_each(|_| model.deliver(0, false));
    assert_eq!(sent(&model, 3), Vec::<&PeerMessage>::new());
    sync(&mut model, 3);
    assert!(matches!(
        sent(&model, 3)[..],
        [PeerMessage::EpochAck { .. }]
    ));
}

#[test]
fn a_promise_outlives_a_power_loss() {
    let mut model = three();
    model.stores[0].cut = true;
    place(&mut model, 2, &[2, 3, 1], &[1, 2, 3]);
    hear(&mut model, 2);
    (0..model.messages.len()).for_each(|_| model.deliver(0, false));
    sync(&mut model, 3);
    model.crash(2);
    model.start(2);
    assert_eq!(model.stores[2].replica.as_ref().unwrap().current_epoch(), 2);
}

#[test]
fn an_entry_leaves_the_primary_and_is_confirmed_after_it_is_synced() {
    let mut model = three();
    model.submit(0, "a".to_string(), 1);
    assert_eq!(sent(&model, 1), Vec::<&PeerMessage>::new());
    sync(&mut model, 1);
    assert_eq!(sent(&model, 1).len(), 2);
    (0..2).for_each(|_| model.deliver(0, false));
    assert_eq!(model.messages.len(), 0, "followers wait for their disks");
    assert!(model.told.accepted.is_empty());
    sync(&mut model, 3);
    model.deliver(0, false);
    assert!(
        model.told.accepted.contains_key("a"),
        "two of three have it"
    );
}

/// The first store has the longest log, the second and the third have one of a later epoch.
fn longer_log_of_an_older_epoch() -> Model {
    let mut model = three();
    // The old primary takes much that reaches nobody.
    (0..6).for_each(|i| model.submit(0, format!("lost{i}"), 1));
    sync(&mut model, 1);
    model.stores[0].cut = true;
    model.messages.clear();
    place(&mut model, 2, &[2, 3, 1], &[1, 2, 3]);
    quiet(&mut model);
    place(&mut model, 2, &[2, 3, 1], &[]);
    quiet(&mut model);
    model.submit(1, "kept".to_string(), 1);
    quiet(&mut model);
    assert!(model.told.accepted.contains_key("kept"));
    let length =
        |model: &Model, place: usize| model.stores[place].replica.as_ref().unwrap().log().last();
    assert!(length(&model, 0) > length(&model, 2));
    model
}

/// One of the first and the third store takes over with the help of the other only.
fn the_newer_log_wins(replicas: &[u64]) {
    let mut model = longer_log_of_an_older_epoch();
    model.stores[0].cut = false;
    model.stores[1].cut = true;
    place(&mut model, 3, replicas, &[2, 3, 1]);
    quiet(&mut model);
    place(&mut model, 3, replicas, &[]);
    quiet(&mut model);
    assert!(serves(&model, replicas[0]));
    let jobs = |place: usize| model.stores[place].replica.as_ref().unwrap().jobs();
    for place in [0, 2] {
        assert!(jobs(place).find(&model::name("kept")).is_some());
        assert!(jobs(place).find(&model::name("lost0")).is_none());
    }
    assert_eq!(jobs(2).queued_tokens("r"), 30);
}

#[test]
fn a_longer_log_of_an_older_epoch_gives_way_at_a_follower() {
    the_newer_log_wins(&[3, 1, 2]);
}

#[test]
fn a_longer_log_of_an_older_epoch_gives_way_at_the_new_primary() {
    the_newer_log_wins(&[1, 3, 2]);
}

#[test]
fn a_primary_serves_once_the_register_knows_that_it_is_in_charge() {
    let mut model = three();
    place(&mut model, 2, &[2, 3, 1], &[1, 2, 3]);
    quiet(&mut model);
    let report = model.stores[1].replica.as_ref().unwrap().report().unwrap();
    assert!(report.active && report.epoch == 2);
    assert!(
        !serves(&model, 2),
        "if it dies now, others read from the previous replicas"
    );
    place(&mut model, 2, &[2, 3, 1], &[]);
    quiet(&mut model);
    assert!(serves(&model, 2));
}

#[test]
fn a_stale_primary_takes_nothing_and_is_not_sure_of_anything() {
    let mut model = three();
    model.stores[0].cut = true;
    place(&mut model, 2, &[2, 3, 1], &[1, 2, 3]);
    quiet(&mut model);
    place(&mut model, 2, &[2, 3, 1], &[]);
    quiet(&mut model);
    assert!(
        serves(&model, 1) && serves(&model, 2),
        "the old one has not heard of it"
    );
    model.submit(0, "stale".to_string(), 1);
    model.submit(1, "new".to_string(), 1);
    quiet(&mut model);
    assert_eq!(model.told.accepted.keys().collect::<Vec<_>>(), ["new"]);
    model.now += Duration::from_millis(500);
    assert!(!model.stores[0].replica.as_mut().unwrap().confirm(model.now));
    model.stores[0].cut = false;
    quiet(&mut model);
    assert!(!serves(&model, 1));
    // The new primary asks again.
    model.tick(Duration::from_millis(800));
    quiet(&mut model);
    let jobs = model.stores[0].replica.as_ref().unwrap().jobs();
    assert!(jobs.find(&model::name("stale")).is_none() && jobs.find(&model::name("new")).is_some());
}

#[test]
fn leases_wait_for_renewals_after_a_takeover() {
    let mut model = three();
    model.submit(0, "a".to_string(), 2);
    quiet(&mut model);
    model.stores[0].cut = true;
    place(&mut model, 2, &[2, 3, 1], &[1, 2, 3]);
    quiet(&mut model);
    place(&mut model, 2, &[2, 3, 1], &[]);
    quiet(&mut model);
    let leases = |model: &mut Model| {
        model.lease(1);
        quiet(model);
        model.lease(1);
        model.told.leases
    };
    assert_eq!(leases(&mut model), 0);
    model.tick(Duration::from_millis(900));
    model.tick(Duration::from_millis(900));
    model.tick(Duration::from_millis(900));
    assert_eq!(leases(&mut model), 0);
    model.tick(Duration::from_millis(900));
    assert!(leases(&mut model) >= 2);
}

#[test]
fn a_process_that_slept_does_not_take_leases_for_expired() {
    let mut model = three();
    model.submit(0, "a".to_string(), 2);
    quiet(&mut model);
    model.tick(Duration::from_secs(10));
    model.lease(0);
    quiet(&mut model);
    model.lease(0);
    assert_eq!(model.told.leases, 0);
}

/// The shard lies on the first two stores, and a lot is told; the third one has nothing.
fn two_of_three() -> Model {
    let mut model = three();
    place(&mut model, 2, &[1, 2], &[1, 2, 3]);
    quiet(&mut model);
    place(&mut model, 2, &[1, 2], &[]);
    quiet(&mut model);
    model.submit(0, "kept".to_string(), 1);
    quiet(&mut model);
    assert!(model.told.accepted.contains_key("kept"));
    model
}

fn has_lot(model: &Model, id: u64, job: &str) -> bool {
    let replica = model.stores[id as usize - 1].replica.as_ref().unwrap();
    replica.jobs().find(&model::name(job)).is_some()
}

#[test]
fn a_replica_that_was_filled_in_an_epoch_that_was_given_up_is_enough() {
    let mut model = two_of_three();
    model.stores[1].cut = true;
    place(&mut model, 3, &[1, 3], &[1, 2]);
    quiet(&mut model);
    assert!(has_lot(&model, 3, "kept"), "it is filled");
    // The register never hears of it, and the other one is lost as well.
    model.stores[0].cut = true;
    place_after(&mut model, 4, &[3, 1], &[1, 2], 2);
    quiet(&mut model);
    assert!(
        model.stores[2].replica.as_ref().unwrap().is_primary(),
        "it needs none of the previous ones"
    );
}

#[test]
fn a_whole_log_at_another_replica_is_read_without_the_previous_ones() {
    let mut model = two_of_three();
    model.stores[1].cut = true;
    place(&mut model, 3, &[1, 3], &[1, 2]);
    quiet(&mut model);
    model.stores[0].cut = true;
    model.add_store();
    place_after(&mut model, 4, &[4, 3], &[1, 2], 2);
    for _ in 0..30 {
        [3, 4].iter().for_each(|id| hear(&mut model, *id));
        [3, 4].iter().for_each(|id| sync(&mut model, *id));
        (0..model.messages.len()).for_each(|_| model.deliver(0, false));
    }
    assert!(has_lot(&model, 4, "kept"));
    assert!(
        model.stores[3]
            .replica
            .as_ref()
            .unwrap()
            .report()
            .is_some_and(|report| report.active)
    );
}

#[test]
fn an_unsettled_epoch_commits_nothing_that_another_takeover_may_contradict() {
    let mut model = two_of_three();
    model.stores[1].cut = true;
    place(&mut model, 3, &[1, 3], &[1, 2]);
    quiet(&mut model);
    assert!(
        model.stores[0]
            .replica
            .as_ref()
            .unwrap()
            .report()
            .is_some_and(|report| report.active)
    );
    // The register does not hear of it; the second one takes over by its own log, before it hears the others.
    (
        model.stores[0].cut,
        model.stores[2].cut,
        model.stores[1].cut,
    ) = (true, true, false);
    place_after(&mut model, 4, &[2, 3, 1], &[1, 2], 2);
    quiet(&mut model);
    assert!(model.stores[1].replica.as_ref().unwrap().is_primary());
    (model.stores[0].cut, model.stores[2].cut) = (false, false);
    model.tick(Duration::from_millis(800));
    quiet(&mut model);
    let logs = [1, 2, 3].map(|id| model.stores[id - 1].replica.as_ref().unwrap().log().end());
    assert!(
        logs.iter().all(|end| end.epoch == 4 && *end == logs[0]),
        "{logs:?}"
    );
}

#[test]
fn the_settled_primary_needs_no_other_to_take_over_again() {
    let mut model = three();
    model.submit(0, "kept".to_string(), 1);
    quiet(&mut model);
    assert!(model.told.accepted.contains_key("kept"));
    // Both others are gone for good; two new stores come.
    (model.stores[1].cut, model.stores[2].cut) = (true, true);
    model.add_store();
    place(&mut model, 2, &[1, 4], &[1, 2, 3]);
    for _ in 0..30 {
        [1, 4].iter().for_each(|id| hear(&mut model, *id));
        [1, 4].iter().for_each(|id| sync(&mut model, *id));
        (0..model.messages.len()).for_each(|_| model.deliver(0, false));
    }
    assert!(
        model.stores[0]
            .replica
            .as_ref()
            .unwrap()
            .report()
            .is_some_and(|report| report.active)
    );
    assert!(has_lot(&model, 4, "kept"));
}

#[test]
fn a_follower_alone_is_not_enough() {
    let mut model = three();
    model.submit(0, "kept".to_string(), 1);
    quiet(&mut model);
    (model.stores[0].cut, model.stores[1].cut) = (true, true);
    place(&mut model, 2, &[3, 1], &[1, 2, 3]);
    quiet(&mut model);
    assert!(
        !model.stores[2].replica.as_ref().unwrap().is_primary(),
        "the others may have more"
    );
}

#[test]
fn a_lease_tells_how_often_its_item_has_failed() {
    let mut model = three();
    model.submit(0, "a".to_string(), 3);
    quiet(&mut model);
    // Until then earlier holders might renew.
    for _ in 0..4 {
        model.tick(Duration::from_millis(900));
        quiet(&mut model);
    }
    let now = model.now;
    let replica = model.stores[0].replica.as_mut().unwrap();
    let held = LeasedItems {
        job: model::name("a"),
        items: vec![0, 1, 2],
        failures: vec![(1, 2), (7, 1)],
    };
    let mut renewed = RenewResult::default();
    replica.renew(7, &held, &mut renewed, now);
    assert_eq!(renewed.lost, [], "the holder of the submission");
    replica.release(7);
    // The first question has the others confirm that it is in charge.
    model.lease(0);
    quiet(&mut model);
    let replica = model.stores[0].replica.as_mut().unwrap();
    assert!(replica.confirm(now));
    let leased = replica.lease(9, 10, u64::MAX, now);
    let failures: Vec<_> = leased
        .iter()
        .map(|plan| (plan.head.index, plan.head.failures))
        .collect();
    assert_eq!(failures, [(0, 0), (1, 2), (2, 0)]);
}
