//! A shard under power losses, lost disks, partitions, and lost, duplicated and reordered messages:
//! acknowledgements hold.

mod shard_cluster;

use shard_cluster::ShardCluster;
use shard_cluster::workload::{check_all, heal, random_request};
use std::time::Duration;

/// Random events of a run.
const STEPS: u64 = 1500;

/// One random event.
fn step(cluster: &mut ShardCluster, faults: bool) {
    let store_index = cluster.random.below(cluster.stores.len() as u64) as usize;
    match cluster.random.below(200) {
        0..=99 => {
            // Mostly in order, and mostly once.
            let count = cluster.messages.len() as u64;
            let message = if cluster.random.percent(85) {
                0
            } else {
                cluster.random.below(count)
            };
            let duplicate = faults && cluster.random.percent(4);
            cluster.deliver(message as usize, duplicate);
        }
        100..=134 => cluster.sync(store_index),
        135..=142 => cluster.receive_placement(store_index),
        143..=154 => {
            let passed = Duration::from_millis(5 + cluster.random.below(100));
            cluster.tick(passed);
        }
        155..=160 => cluster.run_controller(),
        161..=193 => random_request(cluster, store_index),
        194 if faults => {
            let count = cluster.messages.len() as u64;
            let message = cluster.random.below(count) as usize;
            if message < cluster.messages.len() {
                cluster.messages.remove(message);
            }
        }
        195 if faults && cluster.random.percent(50) => cluster.crash(store_index),
        196 if faults && cluster.random.percent(20) => _ = cluster.lose_disk(store_index),
        197 if faults && cluster.random.percent(40) => {
            cluster.stores[store_index].partitioned = true
        }
        198 if cluster.stores[store_index].partitioned => cluster.reconnect(store_index),
        _ => {
            if cluster.stores[store_index].replica.is_none() {
                cluster.start(store_index);
            }
        }
    }
}

fn run(seed: u64, count: usize, tolerance: usize, faults: bool) -> ShardCluster {
    let mut cluster = ShardCluster::new(seed, count, tolerance);
    // The first placement.
    heal(&mut cluster);
    for _ in 0..STEPS {
        step(&mut cluster, faults);
    }
    heal(&mut cluster);
    check_all(&mut cluster);
    cluster
}

#[test]
fn acknowledgements_hold_with_one_loss_tolerated() {
    arbtest::arbtest(|u| {
        run(u.arbitrary()?, 3, 1, true);
        Ok(())
    })
    .budget_ms(4000);
}

#[test]
fn acknowledgements_hold_with_spare_stores() {
    arbtest::arbtest(|u| {
        run(u.arbitrary()?, 5, 1, true);
        Ok(())
    })
    .budget_ms(4000);
}

#[test]
fn acknowledgements_hold_with_two_losses_tolerated() {
    arbtest::arbtest(|u| {
        run(u.arbitrary()?, 6, 2, true);
        Ok(())
    })
    .budget_ms(4000);
}

#[test]
fn random_runs_cover_every_operation() {
    let mut sums = [0; 6];
    for seed in 0..20 {
        let cluster = run(seed, 4, 1, true);
        let oracle = &cluster.oracle;
        let counts = [
            oracle.accepted.len() as u64,
            oracle.records,
            oracle.confirmed_reads,
            oracle.leases,
            cluster.losses,
            cluster.takeovers,
        ];
        sums.iter_mut()
            .zip(counts)
            .for_each(|(sum, count)| *sum += count);
    }
    let least = [100, 100, 100, 10, 10, 20];
    assert!(
        sums.iter().zip(least).all(|(sum, least)| *sum >= least),
        "{sums:?}"
    );
}

#[test]
fn nothing_is_rejected_or_lost_without_faults() {
    for seed in 0..10 {
        let cluster = run(seed, 3, 1, false);
        assert!(cluster.oracle.accepted.len() > 3);
        assert_eq!(cluster.placements.last().unwrap().shards[0].epoch, 1);
    }
}
