//! A shard under losses that the guarantee to the operators permits, also while its placement is
//! being changed: acknowledgements hold, and the shard becomes active again.

mod shard_cluster;

use mintlb_batch::placement_planner::StoreTable;
use shard_cluster::ShardCluster;
use shard_cluster::workload::{check_all, heal, run_for};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Maximum time until nothing counts as lost any more.
const MAX_RECOVERY: Duration = Duration::from_secs(40);

/// What happens to a store. Each is within the guarantee to the operators.
#[derive(Clone, Copy, Debug)]
enum Event {
    PowerLoss,
    DiskLoss,
    Partition,
    Freeze,
    /// Lost for good; another store starts later.
    Replacement,
    /// Another store starts, then this one is shut down.
    PlannedReplacement,
    Restart,
    Decommission,
    /// The disk is lost right after a job was accepted, perhaps by this very store.
    DiskLossAfterAcceptance,
}

impl Event {
    fn draw(cluster: &mut ShardCluster) -> Event {
        match cluster.random.below(16) {
            0 | 1 => Event::PowerLoss,
            2..=4 => Event::DiskLoss,
            5 => Event::Partition,
            6 => Event::Freeze,
            7 => Event::Replacement,
            8 => Event::PlannedReplacement,
            9 => Event::Restart,
            10 if cluster.lost_count() == 0 && cluster.decommissioning.is_empty() => {
                Event::Decommission
            }
            _ => Event::DiskLossAfterAcceptance,
        }
    }
}

/// One random event, if the guarantee permits another loss now.
fn random_event(cluster: &mut ShardCluster) {
    let store_index = cluster.random.below(cluster.stores.len() as u64) as usize;
    if !cluster.may_lose(store_index) {
        return;
    }
    let time = Duration::from_millis(300 + cluster.random.below(4000));
    if cluster.lost_count() < cluster.tolerance.machines && cluster.random.percent(10) {
        return lose_controller(cluster, time / 2);
    }
    let event = Event::draw(cluster);
    let node = cluster.stores[store_index].machine.node();
    cluster.record_event(format!("{event:?} of {node} for {time:?}"));
    let returns_at = Some(cluster.now + time);
    match event {
        Event::PowerLoss => {
            cluster.crash(store_index);
            cluster.stores[store_index].machine.returns_at = returns_at;
        }
        Event::DiskLoss => lose_disk_for(cluster, store_index, time),
        Event::Partition => {
            cluster.stores[store_index].partitioned = true;
            cluster.stores[store_index].machine.returns_at = returns_at;
        }
        Event::Freeze => {
            cluster.stores[store_index].frozen = true;
            cluster.stores[store_index].machine.returns_at = returns_at;
        }
        Event::Replacement => {
            let divisor = 1 + cluster.random.below(5) as u32;
            cluster.replace(store_index, time / divisor);
        }
        Event::PlannedReplacement => cluster.replace_planned(store_index, time),
        Event::Restart => cluster.stores[store_index].machine.stops_at = Some(cluster.now),
        Event::Decommission => _ = cluster.decommission(store_index),
        Event::DiskLossAfterAcceptance => {
            cluster.idle = false;
            run_for(cluster, SECOND * 2, true);
            if cluster.may_lose(store_index) {
                lose_disk_for(cluster, store_index, time);
            }
        }
    }
}

/// The controller that plans placements is lost. Another one succeeds it, which knows the stores or
/// has just started.
fn lose_controller(cluster: &mut ShardCluster, pause: Duration) {
    cluster.record_event(format!("the controller is lost for {pause:?}"));
    cluster.paused_until = cluster.now + pause;
    if cluster.random.percent(50) {
        cluster.table = StoreTable::new(cluster.now);
    }
}

fn lose_disk_for(cluster: &mut ShardCluster, store_index: usize, time: Duration) {
    cluster.wipe(store_index);
    cluster.stores[store_index].machine.returns_at = Some(cluster.now + time);
}

fn wait_until_recovered(cluster: &mut ShardCluster) {
    let end = cluster.now + MAX_RECOVERY;
    while cluster.lost_count() > 0 && cluster.now < end {
        run_for(cluster, SECOND / 10, false);
    }
}

/// Right after a job was accepted some stores lose their disks, and all others lose power.
fn closing_fault(cluster: &mut ShardCluster) {
    wait_until_recovered(cluster);
    cluster.idle = false;
    run_for(cluster, SECOND * 3, true);
    let mut store_indexes: Vec<usize> = (0..cluster.stores.len())
        .filter(|store_index| !cluster.stores[*store_index].machine.removed)
        .collect();
    store_indexes.sort_by_key(|store_index| cluster.stores[*store_index].machine.disk_since);
    let oldest = cluster.random.percent(50);
    let mut left = if cluster.lost_count() == 0 {
        cluster.tolerance.machines
    } else {
        0
    };
    cluster.record_event(format!(
        "{left} lose their disks, oldest: {oldest}, the others power"
    ));
    while !store_indexes.is_empty() {
        let at = if oldest {
            0
        } else {
            cluster.random.below(store_indexes.len() as u64) as usize
        };
        let store_index = store_indexes.remove(at);
        match left > 0 && cluster.may_lose(store_index) {
            true => (left, _) = (left - 1, cluster.wipe(store_index)),
            false => cluster.crash(store_index),
        }
        cluster.stores[store_index].machine.returns_at = Some(cluster.now + SECOND);
    }
    run_for(cluster, SECOND * 2, false);
}

fn run_scenario(seed: u64, count: usize, tolerance: usize) -> ShardCluster {
    let mut cluster = ShardCluster::new(seed, count, tolerance);
    heal(&mut cluster);
    for _ in 0..1 + cluster.random.below(8) {
        random_event(&mut cluster);
        cluster.idle = cluster.random.percent(30);
        match cluster.random.percent(50) {
            true => wait_until_recovered(&mut cluster),
            false => {
                let time = Duration::from_millis(cluster.random.below(6000));
                run_for(&mut cluster, time, false);
            }
        }
    }
    closing_fault(&mut cluster);
    heal(&mut cluster);
    check_all(&mut cluster);
    cluster
}

#[test]
fn permitted_losses_are_survived_with_one_tolerated() {
    arbtest::arbtest(|u| {
        run_scenario(u.arbitrary()?, u.int_in_range(3..=4)?, 1);
        Ok(())
    })
    .budget_ms(6000);
}

#[test]
fn permitted_losses_are_survived_with_two_tolerated() {
    arbtest::arbtest(|u| {
        run_scenario(u.arbitrary()?, u.int_in_range(5..=7)?, 2);
        Ok(())
    })
    .budget_ms(6000);
}

#[test]
fn random_scenarios_have_losses_and_jobs() {
    let mut sums = [0; 4];
    for seed in 0..10 {
        let cluster = run_scenario(seed, 3, 1);
        let oracle = &cluster.oracle;
        let counts = [
            oracle.accepted.len() as u64,
            oracle.confirmed_reads,
            cluster.losses,
            cluster.takeovers,
        ];
        sums.iter_mut()
            .zip(counts)
            .for_each(|(sum, count)| *sum += count);
    }
    assert!(
        sums.iter()
            .zip([100, 100, 20, 40])
            .all(|(sum, least)| *sum >= least),
        "{sums:?}"
    );
}
