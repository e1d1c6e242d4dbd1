//! Lots that are no longer needed: they go from the disks, and don't come back from a replica that was away.

#![allow(dead_code)]

mod model;

use mintlb_common::placement::{Placement, ShardAssignment};
use model::Model;
use std::time::Duration;

/// Finished lots are dropped after that.
const LONG: Duration = Duration::from_secs(100_011);

fn place(model: &mut Model, epoch: u64, replicas: &[u64], previous: &[u64]) {
    let last_active_epoch = epoch.checked_sub(1);
    let shard = ShardAssignment {
        epoch,
        replicas: replicas.to_vec(),
        previous: previous.to_vec(),
        last_active_epoch,
    };
    let version = model.placements.len() as u64;
    model.placements.push(Placement {
        epoch: version,
        stores: Vec::new(),
        shards: vec![shard],
    });
}

/// Everything arrives and is synced.
fn quiet(model: &mut Model) {
    for _ in 0..30 {
        for place in 0..model.stores.len() {
            let newest = model.placements.len() - 1;
            while !model.stores[place].cut && model.stores[place].placement < newest {
                model.hear(place);
            }
            model.sync(place);
        }
        (0..model.messages.len()).for_each(|_| model.deliver(0, false));
    }
}

/// So long that what is not needed is dropped.
fn long_after(model: &mut Model) {
    for passed in [
        Duration::from_secs(1),
        LONG,
        Duration::from_secs(1),
        Duration::from_secs(1),
    ] {
        model.tick(passed);
        quiet(model);
    }
}

fn end(model: &mut Model, job: &str) {
    model.told.end_asked.insert(job.to_string());
    model.end(0, job.to_string());
}

fn record(model: &mut Model, job: &str, item: u32) {
    model.told.finished(job, item);
    model.record(0, job.to_string(), item);
}

/// Three stores with ids 1 to 3, 1 being the primary in charge.
fn three() -> Model {
    let mut model = Model::new(1, 3, 1);
    place(&mut model, 1, &[1, 2, 3], &[]);
    quiet(&mut model);
    model
}

fn has(model: &Model, place: usize, job: &str) -> bool {
    model.stores[place]
        .replica
        .as_ref()
        .unwrap()
        .jobs()
        .find(&model::name(job))
        .is_some()
}

fn waiting(model: &Model, place: usize) -> u64 {
    model.stores[place]
        .replica
        .as_ref()
        .unwrap()
        .jobs()
        .queued_tokens("r")
}

/// The third store has two lots as waiting that the others saw done, and dropped, while it was away.
fn one_was_away() -> Model {
    let mut model = three();
    model.submit(0, "ended".to_string(), 2);
    model.submit(0, "listed".to_string(), 2);
    model.submit(0, "open".to_string(), 1);
    record(&mut model, "listed", 0);
    quiet(&mut model);
    model.stores[2].cut = true;
    end(&mut model, "ended");
    record(&mut model, "listed", 1);
    quiet(&mut model);
    long_after(&mut model);
    for place in [0, 1] {
        assert!(
            !has(&model, place, "ended")
                && !has(&model, place, "listed")
                && has(&model, place, "open")
        );
    }
    assert!(has(&model, 2, "ended") && has(&model, 2, "listed"));
    assert_eq!((waiting(&model, 0), waiting(&model, 2)), (30, 120));
    model
}

/// It has the open lot and no other one, also after a restart.
fn only_the_open_one(model: &mut Model) {
    for _ in 0..2 {
        assert!(
            !has(model, 2, "ended") && !has(model, 2, "listed"),
            "a lot that was dropped has come back"
        );
        assert!(has(model, 2, "open"));
        assert_eq!(waiting(model, 2), 30);
        quiet(model);
        model.crash(2);
        model.start(2);
    }
}

#[test]
fn a_replica_that_was_away_drops_what_the_others_dropped() {
    let mut model = one_was_away();
    model.stores[2].cut = false;
    model.tick(Duration::from_secs(1));
    quiet(&mut model);
    only_the_open_one(&mut model);
}

#[test]
fn a_new_primary_that_was_away_drops_what_the_others_dropped() {
    let mut model = one_was_away();
    model.stores[2].cut = false;
    model.stores[0].cut = true;
    model.messages.clear();
    place(&mut model, 2, &[3, 2, 1], &[1, 2, 3]);
    quiet(&mut model);
    place(&mut model, 2, &[3, 2, 1], &[]);
    quiet(&mut model);
    assert!(model.stores[2].replica.as_ref().unwrap().is_serving());
    only_the_open_one(&mut model);
}

#[test]
fn a_long_day_leaves_nothing_behind() {
    let mut model = three();
    let mut seen = Vec::new();
    for day in 0..6 {
        for i in 0..100 {
            let job = format!("lot{day}-{i}");
            model.submit(0, job.clone(), 2);
            record(&mut model, &job, 0);
            match i % 2 {
                0 => record(&mut model, &job, 1),
                _ => end(&mut model, &job),
            }
            quiet(&mut model);
            model.tick(Duration::from_millis(100));
        }
        long_after(&mut model);
        let held = |place: usize| {
            let store: &model::Store = &model.stores[place];
            let jobs = store.replica.as_ref().unwrap().jobs();
            (
                store.disk.entries.len(),
                jobs.iter().count(),
                jobs.bytes(),
                jobs.entries_after(0).count(),
            )
        };
        seen.push([held(0), held(1), held(2)]);
    }
    println!(
        "entries on disk, lots, bytes, entries in memory at each store after each 100 lots: {seen:?}"
    );
    assert!(
        seen.iter().flatten().all(|held| *held == (0, 0, 0, 0)),
        "{seen:?}"
    );
}
