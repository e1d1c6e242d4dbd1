//! Decommissioning: when it may start, and when it is complete.

mod planner_harness;

use mintlb_batch::placement_planner::{
    DecommissionError, DecommissionStart, DecommissionStatus, decommission_status,
    start_decommission,
};
use mintlb_common::placement::StoreId;
use planner_harness::{PlannerHarness, STEP};
use std::time::Duration;

/// Orders that the store on a machine is decommissioned, and applies the planned placement.
fn order(cluster: &mut PlannerHarness, node: &str) -> Result<DecommissionStart, DecommissionError> {
    let snapshot = cluster.table.snapshot(&cluster.placement, cluster.now);
    let order = start_decommission(&cluster.placement, &snapshot, node, &cluster.policy);
    if let Ok(DecommissionStart::Planned(next)) = &order {
        cluster.placement = next.clone();
    }
    order
}

fn assert_planned(cluster: &mut PlannerHarness, node: &str) {
    let order = order(cluster, node);
    assert!(
        matches!(order, Ok(DecommissionStart::Planned(_))),
        "{order:?}"
    );
}

fn status(cluster: &mut PlannerHarness, node: &str) -> Option<DecommissionStatus> {
    let snapshot = cluster.table.snapshot(&cluster.placement, cluster.now);
    decommission_status(&cluster.placement, &snapshot, node, &cluster.policy)
}

const IN_PROGRESS: Option<DecommissionStatus> = Some(DecommissionStatus::InProgress);
const DECOMMISSIONED: Option<DecommissionStatus> = Some(DecommissionStatus::Decommissioned);

#[test]
fn replicas_move_to_other_stores_first() {
    let mut cluster = PlannerHarness::settled(&["a", "b", "c", "a"], 1);
    assert_eq!(status(&mut cluster, "node-1"), None);
    assert_planned(&mut cluster, "node-1");
    let repeated = order(&mut cluster, "node-1");
    assert_eq!(repeated, Ok(DecommissionStart::AlreadyStarted));
    assert_eq!(status(&mut cluster, "node-1"), IN_PROGRESS);
    cluster.settle();
    assert_eq!(status(&mut cluster, "node-1"), DECOMMISSIONED);
    assert_eq!(cluster.replicas_on(StoreId(1)), 0);
    cluster.assert_replica_count(3);
    // After the machine is taken away its status is kept for a while.
    cluster.live.remove(&StoreId(1));
    cluster.settle();
    assert_eq!(status(&mut cluster, "node-1"), DECOMMISSIONED);
}

#[test]
fn unknown_machine_is_rejected() {
    let mut cluster = PlannerHarness::settled(&["a", "b", "c", "a"], 1);
    let unknown = order(&mut cluster, "nobody");
    assert_eq!(unknown, Err(DecommissionError::UnknownNode));
}

#[test]
fn store_without_substitute_is_decommissioned_while_enough_remain() {
    let mut cluster = PlannerHarness::settled(&["a", "b", "c"], 1);
    assert_planned(&mut cluster, "node-2");
    cluster.settle();
    assert_eq!(status(&mut cluster, "node-2"), DECOMMISSIONED);
    cluster.assert_replica_count(2);
    let next = order(&mut cluster, "node-1");
    assert_eq!(next, Err(DecommissionError::TooFewStores));
}

#[test]
fn draining_store_does_not_count_as_remaining() {
    let mut cluster = PlannerHarness::settled(&["a", "b", "c"], 1);
    cluster.draining.insert(StoreId(3));
    cluster.run(STEP);
    let while_draining = order(&mut cluster, "node-2");
    assert_eq!(while_draining, Err(DecommissionError::StoreDraining));
    // It was a restart.
    cluster.draining.clear();
    cluster.run(STEP);
    assert_planned(&mut cluster, "node-2");
}

#[test]
fn incomplete_until_other_replicas_have_caught_up() {
    let mut cluster = PlannerHarness::settled(&["a", "b", "c", "d"], 1);
    cluster.lagging.insert(StoreId(4));
    assert_planned(&mut cluster, "node-1");
    cluster.run(Duration::from_secs(30));
    assert_eq!(status(&mut cluster, "node-1"), IN_PROGRESS);
    cluster.lagging.clear();
    cluster.settle();
    assert_eq!(status(&mut cluster, "node-1"), DECOMMISSIONED);
}

#[test]
fn goes_on_after_loss_of_the_disk() {
    let mut cluster = PlannerHarness::settled(&["a", "b", "c"], 1);
    assert_planned(&mut cluster, "node-3");
    let machine = cluster.live.remove(&StoreId(3)).unwrap();
    cluster.run(STEP);
    cluster.live.insert(StoreId(33), machine);
    cluster.settle();
    assert_eq!(
        cluster.replicas_on(StoreId(33)),
        0,
        "{:?}",
        cluster.placement
    );
    assert_eq!(status(&mut cluster, "node-3"), DECOMMISSIONED);
}

#[test]
fn incomplete_while_only_one_live_replica_has_caught_up() {
    let mut cluster = PlannerHarness::settled(&["a", "b", "c"], 1);
    assert_planned(&mut cluster, "node-3");
    cluster.settle();
    // An idle primary does not notice that the other replica is gone, and reports as before.
    let primary = cluster.placement.shards[0].replicas[0];
    let follower = if primary == StoreId(1) { 2 } else { 1 };
    cluster.live.remove(&StoreId(follower));
    cluster.idle = true;
    cluster.run(Duration::from_millis(3500));
    assert_eq!(status(&mut cluster, "node-3"), IN_PROGRESS);
}
