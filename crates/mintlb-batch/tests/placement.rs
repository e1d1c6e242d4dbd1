//! The placement of shards: the first one, lost primaries and replicas, new and draining stores.

mod planner_harness;

use mintlb_batch::placement_planner::StoreTable;
use mintlb_common::placement::{Placement, SHARD_COUNT, StoreId};
use planner_harness::{PlannerHarness, STEP};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const ALL_SHARDS: usize = SHARD_COUNT as usize;

/// The number of shards that each store leads.
fn led_shards(placement: &Placement) -> BTreeMap<StoreId, usize> {
    let mut led = BTreeMap::new();
    for shard in &placement.shards {
        *led.entry(shard.replicas[0]).or_default() += 1;
    }
    led
}

fn zones_of<'a>(placement: &'a Placement, replicas: &[StoreId]) -> BTreeSet<&'a str> {
    let entries = replicas.iter().map(|id| placement.store(*id).unwrap());
    entries.map(|entry| entry.zone.as_str()).collect()
}

#[test]
fn initial_placement_waits_for_all_stores() {
    let mut cluster = PlannerHarness::new(&["a", "b", "c"], 1);
    cluster.run(Duration::from_millis(700));
    assert_eq!(cluster.placement.shards.len(), 0);
    cluster.run(Duration::from_millis(400));
    assert_eq!(cluster.placement.shards.len(), ALL_SHARDS);
    cluster.assert_replica_count(3);
    for shard in &cluster.placement.shards {
        assert_eq!((shard.epoch, shard.previous.len()), (1, 0));
    }
    let led = led_shards(&cluster.placement);
    assert!(led.values().all(|count| *count >= 5), "{led:?}");
    cluster.settle();
    assert_eq!(cluster.changes, 1);
}

#[test]
fn initial_placement_needs_more_stores_than_may_be_lost() {
    let mut cluster = PlannerHarness::new(&["a"], 1);
    cluster.run(Duration::from_secs(10));
    assert_eq!(cluster.changes, 0);
}

#[test]
fn initial_placement_balances_stores_and_zones() {
    let zones = ["a", "a", "a", "b", "b", "b", "c", "c", "c", "d", "d", "d"];
    let cluster = PlannerHarness::settled(&zones, 2);
    cluster.assert_replica_count(5);
    for shard in &cluster.placement.shards {
        let zones = zones_of(&cluster.placement, &shard.replicas);
        assert_eq!(zones.len(), 4, "{shard:?}");
    }
    let loads: Vec<usize> = (1..=12)
        .map(|id| cluster.replicas_on(StoreId(id)))
        .collect();
    let spread = loads.iter().max().unwrap() - loads.iter().min().unwrap();
    assert!(spread <= 2, "{loads:?}");
    let led = led_shards(&cluster.placement);
    assert!(led.values().all(|count| *count <= 3), "{led:?}");
}

#[test]
fn dead_primary_is_replaced_by_live_replica() {
    let mut cluster = PlannerHarness::settled(&["a", "b", "c"], 1);
    let machine = cluster.live.remove(&StoreId(1)).unwrap();
    cluster.run(Duration::from_millis(2500));
    // Without another store the set of replicas stays.
    cluster.assert_replica_count(3);
    for shard in &cluster.placement.shards {
        assert_ne!(shard.replicas[0], StoreId(1));
        assert!(shard.previous.is_empty());
    }
    let changes = cluster.changes;
    cluster.run(Duration::from_secs(20));
    assert_eq!(cluster.changes, changes);
    cluster.live.insert(StoreId(1), machine);
    cluster.settle();
    assert_eq!(cluster.replicas_on(StoreId(1)), ALL_SHARDS);
}

#[test]
fn store_with_empty_disk_replaces_its_predecessor() {
    let mut cluster = PlannerHarness::settled(&["a", "b", "c", "a"], 1);
    let machine = cluster.live.remove(&StoreId(2)).unwrap();
    cluster.live.insert(StoreId(22), machine);
    cluster.settle();
    assert_eq!(cluster.replicas_on(StoreId(2)), 0);
    assert!(cluster.placement.store(StoreId(2)).is_none());
    cluster.assert_replica_count(3);
}

#[test]
fn short_outage_moves_no_replica_of_a_redundant_shard() {
    let mut cluster = PlannerHarness::settled(&["a", "a", "b", "b", "c", "c"], 2);
    let replicas = cluster.replicas_on(StoreId(3));
    let machine = cluster.live.remove(&StoreId(3)).unwrap();
    cluster.run(Duration::from_secs(4));
    cluster.live.insert(StoreId(3), machine);
    cluster.settle();
    assert_eq!(cluster.replicas_on(StoreId(3)), replicas);
}

#[test]
fn new_store_moves_no_replica() {
    let mut cluster = PlannerHarness::settled(&["a", "b", "c"], 1);
    cluster.add(StoreId(4), "a", "node-4");
    cluster.settle();
    assert_eq!(cluster.replicas_on(StoreId(4)), 0);
    assert!(cluster.placement.store(StoreId(4)).is_some());
}

#[test]
fn draining_store_hands_over_its_primaries() {
    let mut cluster = PlannerHarness::settled(&["a", "b", "c"], 1);
    cluster.draining.insert(StoreId(1));
    cluster.run(STEP * 3);
    for shard in &cluster.placement.shards {
        assert_ne!(shard.replicas[0], StoreId(1));
        assert!(shard.previous.is_empty());
    }
    assert_eq!(
        cluster.replicas_on(StoreId(1)),
        ALL_SHARDS,
        "its replicas stay"
    );
    cluster.live.remove(&StoreId(1));
    cluster.run(STEP * 5);
    cluster.draining.clear();
    cluster.add(StoreId(1), "a", "node-1");
    cluster.settle();
}

#[test]
fn controller_that_has_just_started_changes_nothing() {
    let mut cluster = PlannerHarness::settled(&["a", "b", "c"], 1);
    cluster.table = StoreTable::new(cluster.now);
    let changes = cluster.changes;
    cluster.run(Duration::from_secs(3));
    assert_eq!(cluster.changes, changes);
}

#[test]
fn controller_that_leads_again_forgets_former_inactivity() {
    let cluster = PlannerHarness::settled(&["a", "b", "c"], 1);
    let epoch = cluster.placement.shards[0].epoch;
    // Inactive for a moment; then another controller leads for a minute.
    let mut table = StoreTable::new(cluster.now);
    let mut inactive_after = |time| {
        let snapshot = table.snapshot(&cluster.placement, cluster.now + time);
        snapshot.inactive_for(0, epoch)
    };
    assert_eq!(inactive_after(Duration::ZERO), Duration::ZERO);
    assert_eq!(inactive_after(STEP), STEP);
    assert_eq!(inactive_after(Duration::from_secs(60)), Duration::ZERO);
}

#[test]
fn any_sequence_of_failures_and_returns_settles() {
    arbtest::arbtest(|u| {
        let tolerance = u.int_in_range(1..=2)?;
        let count = u.int_in_range(2 * tolerance + 1..=7)?;
        let zones = ["a", "b", "c", "a", "b", "c", "d"];
        let mut cluster = PlannerHarness::settled(&zones[..count], tolerance);
        for failure in 0..u.int_in_range(1..=6)? {
            let ids: Vec<StoreId> = cluster.live.keys().copied().collect();
            let id = *u.choose(&ids)?;
            let machine = cluster.live.remove(&id).unwrap();
            cluster.run(STEP * u.int_in_range(0..=40)?);
            let keeps_disk = u.arbitrary()?;
            let returning = if keeps_disk {
                id
            } else {
                StoreId(100 + failure)
            };
            cluster.live.insert(returning, machine);
            cluster.settle();
            cluster.assert_replica_count(2 * tolerance + 1);
        }
        Ok(())
    })
    .budget_ms(2000);
}
