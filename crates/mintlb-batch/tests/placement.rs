//! Placements: the first one, a primary's death, replacements, retirement.

use mintlb_batch::heartbeat::{ShardReport, StoreHeartbeat};
use mintlb_batch::placement_planner::{
    DecommissionError, DecommissionStart, DecommissionStatus, StoreTable, decommission_status,
    plan, start_decommission,
};
use mintlb_common::placement::{Placement, StoreId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(100);

/// Stores whose primaries take over at once and whose replicas catch up at once, unless told otherwise.
struct Tier {
    now: Duration,
    table: StoreTable,
    placement: Placement,
    /// Live stores with their zones and machines.
    live: BTreeMap<StoreId, (String, String)>,
    /// Stores that catch up with nothing.
    slow: BTreeSet<StoreId>,
    /// Stores that were told to stop.
    draining: BTreeSet<StoreId>,
    tolerance: usize,
    /// Primaries do not notice that they can't commit.
    idle: bool,
    changes: usize,
}

impl Tier {
    fn new(zones: &[&str], tolerance: usize) -> Tier {
        let now = Duration::from_secs(100);
        let mut tier = Tier {
            now,
            table: StoreTable::new(now),
            placement: Placement::default(),
            live: BTreeMap::new(),
            slow: BTreeSet::new(),
            draining: BTreeSet::new(),
            tolerance,
            idle: false,
            changes: 0,
        };
        for (i, zone) in zones.iter().enumerate() {
            tier.add(i as u64 + 1, zone, &format!("node-{}", i + 1));
        }
        tier
    }

    fn add(&mut self, id: StoreId, zone: &str, node: &str) {
        self.live.insert(id, (zone.to_string(), node.to_string()));
    }

    fn step(&mut self) {
        self.now += STEP;
        for (id, (zone, node)) in &self.live {
            let shards = self.placement.shards.iter().enumerate();
            let reports = shards
                .filter(|(_, shard)| shard.replicas.first() == Some(id))
                .map(|(i, shard)| {
                    let caught_up = |other: &StoreId| {
                        self.live.contains_key(other) && !self.slow.contains(other)
                    };
                    ShardReport {
                        shard: i as u32,
                        epoch: shard.epoch,
                        active: self.idle
                            || shard.replicas.iter().filter(|id| caught_up(id)).count()
                                > self.tolerance,
                        caught_up: shard.replicas.iter().copied().filter(caught_up).collect(),
                    }
                });
            let heartbeat = StoreHeartbeat {
                id: *id,
                node_name: node.clone(),
                address: format!("{node}:1"),
                zone: zone.clone(),
                shards: reports.collect(),
                placement: self.placement.epoch,
                draining: self.draining.contains(id),
            };
            self.table.record_heartbeat(heartbeat, self.now);
        }
        let view = self.table.snapshot(&self.placement, self.now);
        if let Some(next) = plan(&self.placement, &view, self.tolerance) {
            self.check(&next);
            self.changes += 1;
            self.placement = next;
        }
    }

    /// What holds for each change.
    fn check(&self, next: &Placement) {
        assert_eq!(next.epoch, self.placement.epoch + 1);
        for (old, new) in self.placement.shards.iter().zip(&next.shards) {
            let distinct: BTreeSet<_> = new.replicas.iter().collect();
            assert_eq!(distinct.len(), new.replicas.len());
            assert!(new.replicas.iter().all(|id| next.store(*id).is_some()));
            if new.epoch == old.epoch {
                assert_eq!(new.replicas, old.replicas);
                assert!(new.previous == old.previous || new.previous.is_empty());
                continue;
            }
            assert_eq!(new.epoch, old.epoch + 1);
            let read_from = if old.previous.is_empty() {
                &old.replicas
            } else {
                &old.previous
            };
            assert_eq!(&new.previous, read_from);
        }
    }

    fn run(&mut self, time: Duration) {
        (0..time.as_millis() / STEP.as_millis()).for_each(|_| self.step());
    }

    fn settle(&mut self) {
        self.run(Duration::from_secs(60));
        let changes = self.changes;
        self.run(Duration::from_secs(5));
        assert_eq!(self.changes, changes, "placements go on changing");
        assert!(
            self.placement
                .shards
                .iter()
                .all(|shard| shard.previous.is_empty())
        );
        for shard in &self.placement.shards {
            assert!(
                shard.replicas.iter().all(|id| self.live.contains_key(id)),
                "{shard:?}"
            );
        }
    }

    fn holds(&self, id: StoreId) -> usize {
        self.placement
            .shards
            .iter()
            .filter(|shard| shard.replicas.contains(&id))
            .count()
    }
}

#[test]
fn the_first_placement_waits_for_all_and_spreads() {
    let mut tier = Tier::new(&["a", "b", "c"], 1);
    tier.run(Duration::from_millis(700));
    assert_eq!(tier.placement.shards.len(), 0);
    tier.run(Duration::from_millis(400));
    assert_eq!(tier.placement.shards.len(), 16);
    assert!(
        tier.placement
            .shards
            .iter()
            .all(|s| s.replicas.len() == 3 && s.epoch == 1 && s.previous.is_empty())
    );
    assert!(primaries(&tier.placement).values().all(|count| *count >= 5));
    tier.settle();
    assert_eq!(tier.changes, 1);
}

#[test]
fn too_few_stores_are_no_placement() {
    let mut tier = Tier::new(&["a"], 1);
    tier.run(Duration::from_secs(10));
    assert_eq!(tier.changes, 0);
}

#[test]
fn a_large_tier_uses_all_zones_alike() {
    let mut tier = Tier::new(
        &["a", "a", "a", "b", "b", "b", "c", "c", "c", "d", "d", "d"],
        2,
    );
    tier.settle();
    for shard in &tier.placement.shards {
        let zones: BTreeSet<&str> = shard
            .replicas
            .iter()
            .map(|id| tier.placement.store(*id).unwrap().zone.as_str())
            .collect();
        assert_eq!((shard.replicas.len(), zones.len()), (5, 4));
    }
    let loads: Vec<usize> = (1..=12).map(|id| tier.holds(id)).collect();
    assert!(
        loads.iter().max().unwrap() - loads.iter().min().unwrap() <= 2,
        "{loads:?}"
    );
    assert!(primaries(&tier.placement).values().all(|count| *count <= 3));
}

#[test]
fn a_dead_primary_is_followed_by_a_live_replica() {
    let mut tier = Tier::new(&["a", "b", "c"], 1);
    tier.settle();
    let gone = tier.live.remove(&1);
    tier.run(Duration::from_millis(2500));
    for shard in &tier.placement.shards {
        assert_ne!(shard.replicas[0], 1);
        assert_eq!(
            shard.replicas.len(),
            3,
            "without another store the set stays"
        );
        assert!(shard.previous.is_empty());
    }
    let changes = tier.changes;
    tier.run(Duration::from_secs(20));
    assert_eq!(tier.changes, changes);
    tier.live.insert(1, gone.unwrap());
    tier.settle();
    assert_eq!(tier.holds(1), 16);
}

#[test]
fn a_store_with_an_emptied_disk_takes_its_own_place() {
    let mut tier = Tier::new(&["a", "b", "c", "a"], 1);
    tier.settle();
    let (zone, node) = tier.live.remove(&2).unwrap();
    tier.add(22, &zone, &node);
    tier.settle();
    assert_eq!(tier.holds(2), 0);
    assert!(tier.placement.store(2).is_none());
    assert!(
        tier.placement
            .shards
            .iter()
            .all(|shard| shard.replicas.len() == 3)
    );
}

#[test]
fn a_short_silence_moves_no_data_while_enough_are_left() {
    let mut tier = Tier::new(&["a", "a", "b", "b", "c", "c"], 2);
    tier.settle();
    let held = tier.holds(3);
    let gone = tier.live.remove(&3).unwrap();
    tier.run(Duration::from_secs(4));
    tier.live.insert(3, gone);
    tier.settle();
    assert_eq!(tier.holds(3), held);
}

#[test]
fn a_new_store_moves_nothing() {
    let mut tier = Tier::new(&["a", "b", "c"], 1);
    tier.settle();
    tier.add(4, "a", "node-4");
    tier.settle();
    assert_eq!(tier.holds(4), 0);
    assert!(tier.placement.store(4).is_some());
}

#[test]
fn a_store_that_leaves_hands_its_shards_over() {
    let mut tier = Tier::new(&["a", "b", "c"], 1);
    tier.settle();
    tier.draining.insert(1);
    tier.run(STEP * 3);
    assert!(
        tier.placement
            .shards
            .iter()
            .all(|shard| shard.replicas[0] != 1 && shard.previous.is_empty())
    );
    assert_eq!(tier.holds(1), 16, "its copies stay");
    tier.live.remove(&1);
    tier.run(STEP * 5);
    tier.draining.clear();
    tier.add(1, "a", "node-1");
    tier.settle();
}

/// The number of shards that each store leads.
fn primaries(placement: &Placement) -> BTreeMap<StoreId, usize> {
    let mut primaries = BTreeMap::new();
    for shard in &placement.shards {
        *primaries.entry(shard.replicas[0]).or_default() += 1;
    }
    primaries
}

fn retire(tier: &mut Tier, node: &str) -> Result<DecommissionStart, DecommissionError> {
    let view = tier.table.snapshot(&tier.placement, tier.now);
    let order = start_decommission(&tier.placement, &view, node, tier.tolerance);
    if let Ok(DecommissionStart::Planned(next)) = &order {
        tier.placement = next.clone();
    }
    order
}

fn state(tier: &mut Tier, node: &str) -> Option<DecommissionStatus> {
    let view = tier.table.snapshot(&tier.placement, tier.now);
    decommission_status(&tier.placement, &view, node, tier.tolerance)
}

#[test]
fn a_retired_store_is_emptied_first() {
    let mut tier = Tier::new(&["a", "b", "c", "a"], 1);
    tier.settle();
    assert_eq!(
        retire(&mut tier, "nobody"),
        Err(DecommissionError::UnknownNode)
    );
    assert_eq!(state(&mut tier, "node-1"), None);
    assert!(matches!(
        retire(&mut tier, "node-1"),
        Ok(DecommissionStart::Planned(_))
    ));
    assert_eq!(
        retire(&mut tier, "node-1"),
        Ok(DecommissionStart::AlreadyStarted)
    );
    assert_eq!(
        state(&mut tier, "node-1"),
        Some(DecommissionStatus::InProgress)
    );
    tier.settle();
    assert_eq!(
        state(&mut tier, "node-1"),
        Some(DecommissionStatus::Decommissioned)
    );
    assert_eq!(tier.holds(1), 0);
    assert!(
        tier.placement
            .shards
            .iter()
            .all(|shard| shard.replicas.len() == 3)
    );
    // Taken away, it is remembered for a while.
    tier.live.remove(&1);
    tier.settle();
    assert_eq!(
        state(&mut tier, "node-1"),
        Some(DecommissionStatus::Decommissioned)
    );
}

#[test]
fn a_store_without_a_substitute_can_be_retired_while_enough_are_left() {
    let mut tier = Tier::new(&["a", "b", "c"], 1);
    tier.settle();
    assert!(matches!(
        retire(&mut tier, "node-2"),
        Ok(DecommissionStart::Planned(_))
    ));
    tier.settle();
    assert_eq!(
        state(&mut tier, "node-2"),
        Some(DecommissionStatus::Decommissioned)
    );
    assert!(
        tier.placement
            .shards
            .iter()
            .all(|shard| shard.replicas.len() == 2)
    );
    assert_eq!(
        retire(&mut tier, "node-1"),
        Err(DecommissionError::TooFewStores)
    );
}

#[test]
fn a_retirement_that_counts_on_a_store_that_leaves_is_not_ordered_now() {
    let mut tier = Tier::new(&["a", "b", "c"], 1);
    tier.settle();
    tier.draining.insert(3);
    tier.run(STEP);
    assert_eq!(
        retire(&mut tier, "node-2"),
        Err(DecommissionError::StoreDraining)
    );
    tier.draining.clear();
    tier.run(STEP);
    assert!(
        matches!(
            retire(&mut tier, "node-2"),
            Ok(DecommissionStart::Planned(_))
        ),
        "it was a restart"
    );
}

#[test]
fn a_retirement_is_not_completed_before_the_others_have_caught_up() {
    let mut tier = Tier::new(&["a", "b", "c", "d"], 1);
    tier.settle();
    tier.slow.insert(4);
    let retired = 1;
    retire(&mut tier, &format!("node-{retired}")).unwrap();
    tier.run(Duration::from_secs(30));
    assert_eq!(
        state(&mut tier, &format!("node-{retired}")),
        Some(DecommissionStatus::InProgress)
    );
    tier.slow.clear();
    tier.settle();
    assert_eq!(
        state(&mut tier, &format!("node-{retired}")),
        Some(DecommissionStatus::Decommissioned)
    );
}

#[test]
fn a_store_that_loses_its_disk_while_it_is_emptied_is_emptied_on() {
    let mut tier = Tier::new(&["a", "b", "c"], 1);
    tier.settle();
    retire(&mut tier, "node-3").unwrap();
    let (zone, node) = tier.live.remove(&3).unwrap();
    tier.run(STEP);
    tier.add(33, &zone, &node);
    tier.settle();
    assert_eq!(tier.holds(33), 0, "{:?}", tier.placement);
    assert_eq!(
        state(&mut tier, "node-3"),
        Some(DecommissionStatus::Decommissioned)
    );
}

#[test]
fn a_retirement_is_not_completed_while_only_one_live_replica_is_whole() {
    let mut tier = Tier::new(&["a", "b", "c"], 1);
    tier.settle();
    retire(&mut tier, "node-3").unwrap();
    tier.settle();
    // An idle primary does not notice that its partner is gone, and reports on.
    let primary_of = |tier: &Tier| tier.placement.shards[0].replicas[0];
    let partner = if primary_of(&tier) == 1 { 2 } else { 1 };
    tier.live.remove(&partner);
    tier.idle = true;
    tier.run(Duration::from_millis(3500));
    assert_eq!(
        state(&mut tier, "node-3"),
        Some(DecommissionStatus::InProgress)
    );
}

#[test]
fn a_controller_that_has_just_begun_to_listen_changes_nothing() {
    let mut tier = Tier::new(&["a", "b", "c"], 1);
    tier.settle();
    tier.table = StoreTable::new(tier.now);
    let changes = tier.changes;
    tier.run(Duration::from_secs(3));
    assert_eq!(tier.changes, changes);
}

/// The former primary is cut off from the other stores but not from this controller, and has not noticed.
#[test]
fn a_report_of_an_earlier_epoch_does_not_come_over_a_newer_one() {
    let now = Duration::from_secs(100);
    let mut table = StoreTable::new(now);
    let says = |id: StoreId, epoch, caught_up: &[StoreId]| StoreHeartbeat {
        id,
        node_name: format!("node-{id}"),
        address: format!("node-{id}:1"),
        zone: "a".to_string(),
        shards: vec![ShardReport {
            shard: 0,
            epoch,
            active: true,
            caught_up: caught_up.to_vec(),
        }],
        placement: epoch,
        draining: false,
    };
    for (heartbeat, known) in [
        (says(1, 3, &[1, 2]), [1, 2]),
        (says(2, 4, &[2, 3]), [2, 3]),
        (says(1, 3, &[1, 3]), [2, 3]),
        (says(2, 4, &[2, 1]), [2, 1]),
    ] {
        table.record_heartbeat(heartbeat, now);
        assert_eq!(
            table.snapshot(&Placement::default(), now).last_caught_up(0),
            known
        );
    }
}

#[test]
fn a_controller_that_takes_the_duty_again_does_not_go_by_what_it_saw_long_ago() {
    let mut tier = Tier::new(&["a", "b", "c"], 1);
    tier.settle();
    let epoch = tier.placement.shards[0].epoch;
    // Not in charge for a moment; then another controller looks after the shards.
    let mut table = StoreTable::new(tier.now);
    assert_eq!(
        table
            .snapshot(&tier.placement, tier.now)
            .inactive_for(0, epoch),
        Duration::ZERO
    );
    let later = table.snapshot(&tier.placement, tier.now + STEP);
    assert_eq!(later.inactive_for(0, epoch), STEP);
    let much_later = table.snapshot(&tier.placement, tier.now + Duration::from_secs(60));
    assert_eq!(much_later.inactive_for(0, epoch), Duration::ZERO);
}

#[test]
fn any_row_of_deaths_and_returns_settles() {
    arbtest::arbtest(|u| {
        let tolerance = u.int_in_range(1..=2)?;
        let zones: Vec<&str> =
            ["a", "b", "c", "a", "b", "c", "d"][..u.int_in_range(2 * tolerance + 1..=7)?].to_vec();
        let mut tier = Tier::new(&zones, tolerance);
        tier.settle();
        for round in 0..u.int_in_range(1..=6)? {
            let id = *u.choose(&tier.live.keys().copied().collect::<Vec<_>>())?;
            let (zone, node) = tier.live.remove(&id).unwrap();
            tier.run(STEP * u.int_in_range(0..=40)?);
            // Back with its disk or without.
            let back = if u.arbitrary()? { id } else { 100 + round };
            tier.add(back, &zone, &node);
            tier.settle();
            assert!(
                tier.placement
                    .shards
                    .iter()
                    .all(|shard| shard.replicas.len() == 2 * tolerance + 1)
            );
        }
        Ok(())
    })
    .budget_ms(2000);
}
