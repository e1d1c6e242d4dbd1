//! Where the planner places replicas if zones or regions may be lost: in new tiers, in those that an
//! earlier release has placed, and where there are too few domains.

mod planner_harness;

use mintlb_batch::placement_planner::{Protection, protection};
use mintlb_common::placement::{Placement, ShardAssignment, StoreId};
use mintlb_common::quorum::{FaultTolerance, QuorumSystem};
use planner_harness::PlannerHarness;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

const ONE_MACHINE_OR_REGION: FaultTolerance = FaultTolerance {
    machines: 1,
    zones: 0,
    regions: 1,
};

/// Stores 1 to 9 in three regions, none of which is placed yet.
fn three_regions() -> PlannerHarness {
    let mut harness = PlannerHarness::without_stores(ONE_MACHINE_OR_REGION);
    for id in 1..=9 {
        add(&mut harness, id);
    }
    harness
}

/// Adds a store to the region of its number.
fn add(harness: &mut PlannerHarness, id: u64) {
    let (region, zone) = (id % 3, id % 9);
    let region = format!("r{region}");
    harness.add_in_region(
        StoreId(id),
        &format!("z{zone}"),
        &region,
        &format!("node-{id}"),
    );
}

fn quorums(placement: &Placement, assignment: &ShardAssignment) -> QuorumSystem {
    let rule = assignment.rule.as_ref().expect("the shard has a rule");
    assert_eq!(rule.tolerance, ONE_MACHINE_OR_REGION);
    for (id, domain) in assignment.replicas.iter().zip(&rule.domains) {
        assert_eq!(
            placement
                .store(*id)
                .and_then(|entry| entry.domain())
                .as_ref(),
            Some(domain)
        );
    }
    QuorumSystem::new(rule.tolerance, &rule.domains)
}

fn assert_survives_any_two_losses(harness: &PlannerHarness) {
    assert_eq!(harness.placement.shards.len(), 16);
    for assignment in &harness.placement.shards {
        let quorums = quorums(&harness.placement, assignment);
        assert!(quorums.survives_any_two_losses(), "{assignment:?}");
        assert_eq!(assignment.replicas.len(), 3, "{assignment:?}");
    }
}

/// The placement as a release would have made it that goes by the number of replicas and by zones:
/// two replicas of each shard in one region.
fn former_placement(harness: &mut PlannerHarness) {
    harness.policy.supports_quorum_rules = false;
    harness.settle();
    let shards = (0..16).map(|shard: u64| ShardAssignment {
        epoch: 5,
        replicas: [1, 4, 2].map(|id| StoreId((id + shard) % 9 + 1)).to_vec(),
        ..ShardAssignment::default()
    });
    harness.placement.shards = shards.collect();
    harness.placement.epoch += 1;
    for entry in &mut harness.placement.stores {
        entry.region = None;
    }
}

#[test]
fn replicas_of_a_new_tier_are_spread_over_regions() {
    let mut harness = three_regions();
    harness.settle();
    assert_survives_any_two_losses(&harness);
    let counts = (1..=9).map(|id| harness.replicas_on(StoreId(id)));
    assert!(counts.clone().max() <= counts.min().map(|least| least + 2));
}

#[test]
fn replicas_are_spread_again_once_a_dark_region_is_back() {
    let mut harness = three_regions();
    harness.settle();
    let dark: Vec<u64> = vec![1, 4, 7];
    dark.iter()
        .for_each(|id| _ = harness.live.remove(&StoreId(*id)));
    harness.run(SECOND * 20);
    for assignment in &harness.placement.shards {
        let quorums = quorums(&harness.placement, assignment);
        assert!(quorums.has_write_quorum(), "{assignment:?}");
    }
    dark.iter().for_each(|id| add(&mut harness, *id));
    // The next loss may come after `catch_up_s`.
    harness.run(SECOND * 5);
    for assignment in &harness.placement.shards {
        let quorums = quorums(&harness.placement, assignment);
        assert!(quorums.survives_any_two_losses(), "{assignment:?}");
    }
    harness.settle();
    assert_survives_any_two_losses(&harness);
}

#[test]
fn a_placement_of_an_earlier_release_gets_rules_and_is_spread() {
    let mut harness = three_regions();
    former_placement(&mut harness);
    harness.policy.supports_quorum_rules = true;
    harness.run(SECOND);
    for assignment in &harness.placement.shards {
        let quorums = quorums(&harness.placement, assignment);
        assert!(quorums.has_write_quorum(), "at once: {assignment:?}");
    }
    harness.settle();
    assert_survives_any_two_losses(&harness);
    assert!(harness.protection().is_complete());
}

/// What the former primary has acknowledged is at any two of its replicas: the takeover that begins
/// the first epoch with a rule has to read two.
#[test]
fn the_first_epoch_with_a_rule_reads_by_the_former_number() {
    let mut harness = three_regions();
    former_placement(&mut harness);
    harness.policy.supports_quorum_rules = true;
    harness.step();
    for assignment in &harness.placement.shards {
        assert!(assignment.rule.is_some() && assignment.previous_rule.is_none());
        let previous = assignment.previous_quorums(1);
        for id in &assignment.previous {
            assert!(!previous.is_read_quorum(|other| other == *id));
            assert!(previous.is_read_quorum(|other| other != *id));
        }
    }
}

#[test]
fn no_rule_is_written_while_a_store_does_not_tell_its_region() {
    let mut harness = three_regions();
    harness.live.get_mut(&StoreId(5)).unwrap().region = None;
    harness.settle();
    let by_number = |assignment: &ShardAssignment| assignment.rule.is_none();
    assert!(harness.placement.shards.iter().all(by_number));
    harness.assert_replica_count(3);
    assert_eq!(harness.protection().without_rule, 16);
    // It is upgraded.
    harness.live.get_mut(&StoreId(5)).unwrap().region = Some("r2".to_string());
    harness.settle();
    assert_survives_any_two_losses(&harness);
}

#[test]
fn no_rule_is_written_while_a_controller_would_drop_it() {
    let mut harness = three_regions();
    harness.policy.supports_quorum_rules = false;
    harness.settle();
    assert!(
        harness
            .placement
            .shards
            .iter()
            .all(|shard| shard.rule.is_none())
    );
    harness.policy.supports_quorum_rules = true;
    harness.settle();
    assert_survives_any_two_losses(&harness);
}

#[test]
fn a_changed_tolerance_begins_epochs_under_the_new_rule() {
    let mut harness = three_regions();
    harness.policy.tolerance = FaultTolerance::of_machines(1);
    harness.settle();
    harness.policy.tolerance = ONE_MACHINE_OR_REGION;
    harness.settle();
    assert_survives_any_two_losses(&harness);
}

#[test]
fn a_store_that_moved_to_another_region_is_placed_by_the_new_one() {
    let mut harness = three_regions();
    harness.settle();
    let moved = harness.live.get_mut(&StoreId(1)).unwrap();
    (moved.region, moved.zone) = (Some("r2".to_string()), "z2".to_string());
    harness.settle();
    assert_survives_any_two_losses(&harness);
}

#[test]
fn nothing_is_placed_in_a_single_region_if_it_may_be_lost() {
    let mut harness = PlannerHarness::without_stores(ONE_MACHINE_OR_REGION);
    [3, 6, 9].iter().for_each(|id| add(&mut harness, *id));
    harness.run(SECOND * 20);
    assert!(harness.placement.shards.is_empty());
    // With another region something can be acknowledged, though the loss of one stops it.
    add(&mut harness, 1);
    harness.settle();
    let protection = harness.protection();
    let expected = Protection {
        stopped_by_second_loss: 16,
        ..Protection::default()
    };
    assert_eq!(protection, expected);
    add(&mut harness, 2);
    harness.settle();
    assert_survives_any_two_losses(&harness);
}

/// Zones and regions of different sizes: no shard takes more replicas than it needs, and none that is
/// complete is changed again.
#[test]
fn uneven_layouts_settle() {
    let layouts: [(&[(&str, &str)], FaultTolerance); 4] = [
        (
            &[
                ("a1", "a"),
                ("a2", "a"),
                ("a3", "a"),
                ("a4", "a"),
                ("b1", "b"),
                ("c1", "c"),
            ],
            ONE_MACHINE_OR_REGION,
        ),
        (
            &[
                ("a1", "a"),
                ("a1", "a"),
                ("a1", "a"),
                ("a2", "a"),
                ("b1", "b"),
                ("b1", "b"),
            ],
            FaultTolerance {
                machines: 1,
                zones: 1,
                regions: 0,
            },
        ),
        (
            &[
                ("a", "r"),
                ("b", "r"),
                ("c", "r"),
                ("d", "r"),
                ("e", "r"),
                ("e", "r"),
                ("e", "r"),
            ],
            FaultTolerance {
                machines: 1,
                zones: 2,
                regions: 0,
            },
        ),
        (
            &[
                ("a1", "a"),
                ("a2", "a"),
                ("b1", "b"),
                ("b2", "b"),
                ("c1", "c"),
                ("c2", "c"),
            ],
            FaultTolerance {
                machines: 2,
                zones: 2,
                regions: 1,
            },
        ),
    ];
    for (domains, tolerance) in layouts {
        let mut harness = PlannerHarness::without_stores(tolerance);
        for (id, (zone, region)) in (1..).zip(domains) {
            harness.add_in_region(StoreId(id), zone, region, &format!("node-{id}"));
        }
        harness.settle();
        assert!(harness.protection().is_complete(), "{tolerance:?}");
        harness.assert_replica_count(tolerance.min_members());
    }
}

/// Stores 1 to `counted` count, as many after them as `uncounted` says don't, in three zones by turns.
fn some_uncounted(counted: u64, uncounted: u64) -> PlannerHarness {
    let mut harness = PlannerHarness::without_stores(FaultTolerance::of_machines(1));
    for id in 1..=counted + uncounted {
        harness.add(StoreId(id), &format!("z{}", id % 3), &format!("node-{id}"));
        if id > counted {
            harness.live.get_mut(&StoreId(id)).unwrap().counts = Some(false);
        }
    }
    harness
}

fn assert_only_on(harness: &PlannerHarness, counted: u64) {
    assert_eq!(harness.placement.shards.len(), 16);
    for assignment in &harness.placement.shards {
        let is_counted = |id: &StoreId| id.0 <= counted;
        assert!(assignment.replicas.iter().all(is_counted), "{assignment:?}");
    }
}

#[test]
fn stores_that_do_not_count_get_no_replicas() {
    let mut harness = some_uncounted(3, 2);
    harness.settle();
    assert_only_on(&harness, 3);
    assert!(harness.protection().is_complete());
    // Not in place of one that is gone, either.
    harness.live.remove(&StoreId(1));
    harness.run(SECOND * 30);
    for assignment in &harness.placement.shards {
        let is_uncounted = |id: &StoreId| id.0 > 3;
        assert!(
            !assignment.replicas.iter().any(is_uncounted),
            "{assignment:?}"
        );
    }
}

#[test]
fn too_few_stores_that_count_get_no_placement() {
    let mut harness = some_uncounted(1, 4);
    harness.run(SECOND * 20);
    assert!(harness.placement.shards.is_empty());
}

#[test]
fn replicas_that_an_earlier_release_placed_leave_stores_that_do_not_count() {
    let mut harness = some_uncounted(3, 3);
    for machine in harness.live.values_mut() {
        (machine.region, machine.counts) = (None, None);
    }
    harness.settle();
    let uncounted = (4..=6).map(|id| harness.replicas_on(StoreId(id)));
    assert!(uncounted.sum::<usize>() > 16, "they are used");
    for (id, machine) in &mut harness.live {
        machine.region = Some("region".to_string());
        machine.counts = Some(id.0 <= 3);
    }
    harness.run(SECOND);
    for assignment in &harness.placement.shards {
        let rule = assignment.rule.as_ref().expect("it has a rule");
        let quorums = QuorumSystem::new(rule.tolerance, &rule.domains);
        assert!(quorums.has_write_quorum(), "at once: {assignment:?}");
    }
    harness.settle();
    assert_only_on(&harness, 3);
    assert!(harness.protection().is_complete());
}

/// Stores that don't count may all be lost at any time, so nothing is placed on them, however long no
/// others come.
#[test]
fn stores_that_do_not_count_and_start_first_get_no_replicas() {
    let mut harness = some_uncounted(0, 6);
    harness.run(SECOND * 60);
    assert!(harness.placement.shards.is_empty());
    assert_eq!(
        harness.protection().without_write_quorum,
        16,
        "it is logged"
    );
    for id in 11..=13 {
        harness.add(StoreId(id), &format!("z{}", id % 3), &format!("node-{id}"));
    }
    harness.settle();
    assert_eq!(harness.placement.shards.len(), 16);
    for assignment in &harness.placement.shards {
        assert!(
            assignment.replicas.iter().all(|id| id.0 > 10),
            "{assignment:?}"
        );
    }
    assert!(harness.protection().is_complete());
}

/// What an earlier release has placed on stores of which too few count stays as it is, and is read.
#[test]
fn shards_on_stores_that_do_not_count_go_on_by_their_former_rule() {
    for counted in 0..=1 {
        let mut harness = some_uncounted(counted, 3);
        harness
            .live
            .values_mut()
            .for_each(|machine| machine.counts = None);
        harness.settle();
        let former = harness.placement.shards.clone();
        for (id, machine) in &mut harness.live {
            machine.counts = Some(id.0 <= counted);
        }
        harness.run(SECOND * 30);
        assert_eq!(harness.placement.shards, former);
        // A primary that is gone is replaced.
        harness.live.remove(&StoreId(3));
        harness.run(SECOND * 30);
        for assignment in &harness.placement.shards {
            assert_ne!(assignment.replicas[0], StoreId(3));
            assert!(assignment.quorums(1).is_write_quorum(|id| id != StoreId(3)));
        }
        // Then enough that count come.
        for id in 11..=13 {
            harness.add(StoreId(id), &format!("z{}", id % 3), &format!("node-{id}"));
        }
        harness.settle();
        for assignment in &harness.placement.shards {
            let is_counted = |id: &StoreId| id.0 > 10 || id.0 <= counted;
            assert!(assignment.replicas.iter().all(is_counted), "{assignment:?}");
        }
    }
}

#[test]
fn a_store_that_no_longer_counts_loses_its_replicas() {
    let mut harness = some_uncounted(4, 0);
    harness.settle();
    harness.live.get_mut(&StoreId(2)).unwrap().counts = Some(false);
    harness.settle();
    assert_eq!(harness.replicas_on(StoreId(2)), 0);
    assert!(harness.protection().is_complete());
}

impl PlannerHarness {
    fn protection(&mut self) -> Protection {
        let snapshot = self.table.snapshot(&self.placement, self.now);
        protection(&self.placement, &snapshot, &self.policy)
    }
}
