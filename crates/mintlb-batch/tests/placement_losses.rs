//! Losses right after repairs, replacements and decommissions, under the planner with all shards:
//! no acknowledged entry is lost, and every shard becomes active again.

mod simulated_cluster;

use arbtest::arbitrary::{Result, Unstructured};
use mintlb_common::placement::StoreId;
use simulated_cluster::{RepairTimes, STEP, SimulatedCluster};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Every shard is active within this time after all machines are back.
const RECOVERY_BOUND: Duration = Duration::from_secs(12);
/// Enough steps for any loss of a random test to be repaired.
const MAX_STEPS: usize = 400;

const TOLERATING_ONE: RepairTimes = RepairTimes {
    catch_up: Duration::from_secs(5),
    fill: Duration::from_millis(300),
};
const TOLERATING_TWO: RepairTimes = RepairTimes {
    catch_up: Duration::from_secs(6),
    fill: Duration::from_millis(300),
};

/// Three machines, of which any one may be lost.
fn three_machines() -> SimulatedCluster {
    SimulatedCluster::new(3, 1, TOLERATING_ONE)
}

/// Three machines, of which the last one is decommissioned and taken away.
fn two_of_three_machines() -> SimulatedCluster {
    let mut cluster = three_machines();
    assert!(cluster.decommission(2));
    cluster.run(SECOND * 10);
    cluster
}

/// The indexes of the live machines whose disks have lasted longest.
fn oldest_disks(cluster: &SimulatedCluster, count: usize) -> Vec<usize> {
    let mut machines: Vec<usize> = (0..cluster.machines.len())
        .filter(|machine| cluster.machines[*machine].is_up())
        .collect();
    machines.sort_by_key(|machine| cluster.machines[*machine].disk_since);
    machines.truncate(count);
    machines
}

/// Some machines lose their disks, all others lose power; then all come back.
fn wipe_some_and_restart_all(cluster: &mut SimulatedCluster, wiped: &[usize]) {
    for machine in 0..cluster.machines.len() {
        if wiped.contains(&machine) {
            cluster.wipe(machine, SECOND);
        } else if cluster.machines[machine].is_up() {
            cluster.power_off(machine, SECOND);
        }
    }
    cluster.settle(RECOVERY_BOUND);
}

fn run_until_caught_up(cluster: &mut SimulatedCluster) {
    while cluster.lost_machines() > 0 {
        cluster.step();
    }
}

#[test]
fn primary_gets_another_follower_after_its_only_one_lost_its_disk() {
    let mut cluster = two_of_three_machines();
    assert!(!cluster.machines[2].is_up(), "it is taken away");
    let mut shards = cluster.placement.shards.iter();
    assert!(shards.all(|shard| shard.replicas.len() == 2));
    wipe_some_and_restart_all(&mut cluster, &[0]);
}

/// Replaces one of two machines, then wipes the other: the only one with the former replicas.
fn replace_then_wipe(is_planned: bool, after: Duration, idle: bool) {
    let mut cluster = three_machines();
    cluster.idle = idle;
    assert!(cluster.decommission(2));
    cluster.run(SECOND * 10);
    if is_planned {
        cluster.replace_planned(1, after);
    } else {
        cluster.replace(1, after);
    }
    run_until_caught_up(&mut cluster);
    cluster.wipe(0, SECOND * 2);
    cluster.settle(RECOVERY_BOUND);
    cluster.assert_enough_replicas();
}

#[test]
fn replaced_store_leaves_a_set_that_was_shrunk() {
    replace_then_wipe(false, STEP * 20, false);
}

#[test]
fn store_replaced_as_planned_leaves_a_set_that_was_shrunk() {
    replace_then_wipe(true, STEP * 20, false);
}

/// Without calls a primary stays active, and a store that comes early is one more replica.
#[test]
fn store_replaced_early_leaves_a_set_of_an_idle_shard() {
    replace_then_wipe(false, STEP, true);
}

#[test]
fn disk_lost_twice_leaves_no_lost_replica_behind() {
    for steps in 12..40 {
        let mut cluster = two_of_three_machines();
        cluster.idle = true;
        cluster.wipe(1, SECOND);
        cluster.run(STEP * steps);
        cluster.wipe(1, SECOND);
        run_until_caught_up(&mut cluster);
        cluster.wipe(0, SECOND);
        cluster.settle(RECOVERY_BOUND);
        cluster.assert_enough_replicas();
    }
}

#[test]
fn lost_replica_is_replaced_beside_a_decommissioning_one() {
    let mut cluster = two_of_three_machines();
    // The order comes just before another store shuts down, and can't be completed.
    cluster.replace_planned(1, SECOND * 6);
    cluster.run(SECOND * 6 - STEP);
    assert!(cluster.decommission(0));
    cluster.run(SECOND + STEP);
    cluster.idle = true;
    while cluster.machines[1].is_up() || cluster.lost_machines() > 0 {
        cluster.step();
    }
    let successor = cluster.machines.len() - 1;
    cluster.wipe(successor, SECOND);
    cluster.run(SECOND * 6 + STEP);
    cluster.replace(0, SECOND);
    cluster.settle(RECOVERY_BOUND);
}

#[test]
fn lost_disk_is_repaired_before_the_next_may_be_lost() {
    let mut cluster = three_machines();
    for loss in 0..6 {
        let machine = loss % 3;
        assert!(cluster.may_lose(machine));
        cluster.wipe(machine, SECOND * 2);
        cluster.run(SECOND * 7 + STEP);
        assert_eq!(cluster.lost_machines(), 0);
    }
    cluster.settle(RECOVERY_BOUND);
    cluster.assert_enough_replicas();
}

#[test]
fn successor_has_its_replicas_before_the_next_two_may_be_lost() {
    for (one, two) in [(1, 2), (1, 3), (2, 3), (3, 4)] {
        let mut cluster = SimulatedCluster::new(5, 2, TOLERATING_TWO);
        cluster.replace(0, STEP * 3);
        cluster.run(STEP * 64);
        assert!(cluster.may_lose(one) && cluster.may_lose(two));
        cluster.wipe(one, SECOND);
        cluster.wipe(two, SECOND);
        cluster.settle(RECOVERY_BOUND);
        cluster.assert_enough_replicas();
    }
}

#[test]
fn replicas_move_before_a_draining_store_is_gone() {
    let mut cluster = three_machines();
    cluster.replace_planned(0, SECOND * 5);
    while cluster.machines[0].is_up() {
        cluster.step();
    }
    for shard in &cluster.placement.shards {
        let is_named = shard.replicas.contains(&StoreId(1)) || shard.previous.contains(&StoreId(1));
        assert!(!is_named, "{shard:?}");
    }
    // The successor has been there for long: the next machine may be lost at once.
    cluster.wipe(1, SECOND * 2);
    cluster.settle(RECOVERY_BOUND);
}

#[test]
fn draining_store_leaves_the_set_if_its_successor_is_in_it() {
    let mut cluster = two_of_three_machines();
    cluster.replace_planned(0, SECOND * 5);
    while cluster.machines[0].is_up() || cluster.lost_machines() > 0 {
        cluster.step();
    }
    cluster.wipe(1, SECOND * 2);
    cluster.settle(RECOVERY_BOUND);
}

#[test]
fn restarting_store_keeps_its_replicas_without_a_successor() {
    let mut cluster = three_machines();
    cluster.restart(0);
    cluster.run(SECOND * 6);
    assert_eq!(cluster.placement.shards.len(), 16);
    for shard in &cluster.placement.shards {
        assert_eq!(shard.replicas.len(), 3, "{shard:?}");
    }
}

#[test]
fn stores_lost_one_after_another_with_decommission_and_replacement() {
    let mut cluster = three_machines();
    for machine in [0, 1] {
        cluster.wipe(machine, SECOND * 2);
        cluster.run(SECOND * 8);
    }
    assert!(cluster.decommission(2));
    cluster.run(SECOND * 10);
    cluster.replace_planned(0, SECOND * 2);
    cluster.run(SECOND * 12);
    cluster.wipe(1, SECOND * 2);
    cluster.run(SECOND * 8);
    let wiped = oldest_disks(&cluster, 1);
    wipe_some_and_restart_all(&mut cluster, &wiped);
}

/// One random event that the operators' limits allow.
fn random_event(cluster: &mut SimulatedCluster, u: &mut Unstructured) -> Result<()> {
    let machine = u.int_in_range(0..=cluster.machines.len() - 1)?;
    let time = STEP * u.int_in_range(5..=45)?;
    if u.ratio(1, 8)? && cluster.lost_machines() < cluster.tolerance.machines {
        cluster.lose_controller(time.min(STEP * 25), u.arbitrary()?);
        return Ok(());
    }
    if !cluster.may_lose(machine) {
        return Ok(());
    }
    let is_idle = cluster.lost_machines() == 0 && cluster.decommissioning.is_empty();
    match u.int_in_range(0..=9)? {
        0 | 1 => cluster.power_off(machine, time),
        2..=4 => cluster.wipe(machine, time),
        // The successor may come at once.
        5 => cluster.replace(machine, time / u.int_in_range(1..=5)?),
        6 => cluster.replace_planned(machine, time),
        7 => cluster.restart(machine),
        8 if is_idle => _ = cluster.decommission(machine),
        9 if cluster.machines.len() < 9 => _ = cluster.add_machine(),
        _ => (),
    }
    Ok(())
}

/// Random events, often as soon as the limits allow the next one; then the loss of up to
/// `tolerance` disks and of all power.
fn random_day(u: &mut Unstructured, tolerance: usize) -> Result<()> {
    let count = 2 * tolerance + u.int_in_range(1..=2)?;
    let times = RepairTimes {
        catch_up: SECOND * if tolerance == 1 { 5 } else { 6 },
        fill: STEP * u.int_in_range(1..=6)?,
    };
    let mut cluster = SimulatedCluster::new(count, tolerance, times);
    cluster.idle = u.arbitrary()?;
    for _ in 0..u.int_in_range(1..=12)? {
        random_event(&mut cluster, u)?;
        if u.arbitrary()? {
            cluster.run_until_caught_up(MAX_STEPS);
        } else {
            cluster.run(STEP * u.int_in_range(0..=60)?);
        }
    }
    cluster.run_until_caught_up(MAX_STEPS);
    let count = u.int_in_range(0..=tolerance)?;
    let wiped = oldest_disks(&cluster, count);
    wipe_some_and_restart_all(&mut cluster, &wiped);
    cluster.run(SECOND * 20);
    cluster.assert_enough_replicas();
    Ok(())
}

#[test]
fn any_day_of_losses_with_one_tolerated() {
    arbtest::arbtest(|u| random_day(u, 1))
        .size_max(4096)
        .budget_ms(5000);
}

#[test]
fn any_day_of_losses_with_two_tolerated() {
    arbtest::arbtest(|u| random_day(u, 2))
        .size_max(4096)
        .budget_ms(5000);
}
