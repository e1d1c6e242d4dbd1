//! Joining: by seeds that start in any order, late, or not at all, or that are partitioned from the
//! others.

mod network;

use network::{SimulatedNetwork, ms, record};

/// A fleet joins within `limit_ms`, stays connected, and has enough neighbors everywhere.
fn assert_joins(count: usize, seed: u64, limit_ms: u64) {
    let mut network = SimulatedNetwork::fleet(seed, count, 3);
    let until = network.start + ms(limit_ms);
    let joined = network.run_until(until, |n| {
        n.is_running_and_connected(count) && n.all_joined()
    });
    let took = network.elapsed();
    assert!(
        joined,
        "{count} processes, seed {seed}: not joined after {took:?}"
    );
    network.run_for(ms(5000));
    assert!(
        network.is_connected(),
        "{count} processes, seed {seed}: disconnected"
    );
    assert_eq!(
        network.one_sided_links(),
        0,
        "{count} processes, seed {seed}"
    );
    let degrees: Vec<_> = network
        .running()
        .into_iter()
        .map(|number| network.neighbors(number).len())
        .collect();
    let (min, max) = (degrees.iter().min().unwrap(), degrees.iter().max().unwrap());
    assert!(*max <= 6);
    assert!(
        *min >= 4.min(count - 1) || count < 8 && *min >= 1,
        "{count}: degrees {degrees:?}"
    );
    let each = network.traffic().per(count as u64);
    println!(
        "{count:4} processes, seed {seed}: joined after {took:?}, degrees {min}..{max}, {each:?} a process"
    );
}

#[test]
fn small_fleets_join() {
    for count in 2..12 {
        for seed in 0..5 {
            assert_joins(count, seed, 3000);
        }
    }
}

#[test]
fn large_fleets_join() {
    for (count, seed) in [(30, 1), (60, 2), (100, 3), (200, 4), (400, 5)] {
        assert_joins(count, seed, 4000);
    }
}

#[test]
fn seeds_that_start_late_are_found() {
    for seed in 0..5 {
        let mut network = SimulatedNetwork::new(seed, &[0, 1, 2]);
        for number in 0..3 {
            network.add(number, &format!("zone{number}"), ms(2500));
        }
        for number in 3..15 {
            network.add(number, &format!("zone{}", number % 3), ms(10));
        }
        network.run_for(ms(2500));
        let until = network.now + ms(2000);
        let joined = network.run_until(until, |n| n.is_running_and_connected(15));
        assert!(joined, "seed {seed}");
    }
}

#[test]
fn one_running_seed_is_enough() {
    for seed in 0..10 {
        let mut network = SimulatedNetwork::new(seed, &[0, 1, 2]);
        network.add(0, "zone0", ms(1_000_000));
        network.add(1, "zone1", ms(1_000_000));
        for number in 2..20 {
            network.add(number, &format!("zone{}", number % 3), ms(number as u64));
        }
        let until = network.now + ms(2000);
        let joined = network.run_until(until, |n| n.is_running_and_connected(18));
        assert!(joined, "seed {seed}");
    }
}

#[test]
fn processes_join_after_some_seeds_have_failed() {
    let mut network = SimulatedNetwork::joined_fleet(3, 20, 3);
    network.power_off(0);
    network.power_off(1);
    network.run_for(ms(3000));
    assert!(network.is_connected());
    network.add(20, "zone1", ms(0));
    network.run_for(ms(2500));
    assert!(network.is_connected() && network.node(20).joined());
    // Without any seed the others go on.
    network.power_off(2);
    network.run_for(ms(5000));
    assert!(network.is_connected());
    network.publish(20, record("configuration", 2));
    let all = network.running();
    let took = network.time_until_known(&all, "configuration", 2, ms(300));
    assert!(took.is_some());
}

const OTHERS: std::ops::Range<usize> = 3..12;
const JOINING: usize = 12;

/// All seeds, and only they, are partitioned from all others for 20 s, in which two configurations
/// are published.
fn fleet_with_partitioned_seeds(seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::joined_fleet(seed, 12, 3);
    network.publish(5, record("configuration", 1));
    network.run_for(ms(1000));
    OTHERS.for_each(|other| block_from_seeds(&mut network, other));
    for version in 2..=3 {
        network.run_for(ms(10_000));
        network.publish(5, record("configuration", version));
    }
    network.run_for(ms(1000));
    let others: Vec<_> = OTHERS.collect();
    assert_eq!(network.count_lacking(&[0, 1, 2], "configuration", 1), 0);
    assert_eq!(network.count_lacking(&others, "configuration", 3), 0);
    network
}

fn block_from_seeds(network: &mut SimulatedNetwork, other: usize) {
    for seed in 0..3 {
        network.block_both_directions(seed, other);
    }
}

/// The joining process knows only the seeds, and they know the others from before the partition.
#[test]
fn a_process_that_reaches_partitioned_seeds_finds_the_others() {
    for seed in 0..20 {
        let mut network = fleet_with_partitioned_seeds(seed);
        network.add(JOINING, "zone1", ms(0));
        let until = network.now + ms(10);
        network.run_until(until, |n| n.running().len() == 13);
        let took = network.time_until_known(&[JOINING], "configuration", 3, ms(2000));
        assert!(
            took.is_some(),
            "seed {seed}: it has {:?}",
            network.version(JOINING, "configuration")
        );
        println!("seed {seed}: up to date after {took:?}");
    }
}

#[test]
fn a_process_that_reaches_nobody_waits_and_one_that_reaches_stale_seeds_catches_up() {
    for seed in 0..10 {
        for reaches_seeds in [false, true] {
            let mut network = fleet_with_partitioned_seeds(seed);
            if !reaches_seeds {
                block_from_seeds(&mut network, JOINING);
            }
            for other in OTHERS {
                network.block_both_directions(JOINING, other);
            }
            network.add(JOINING, "zone1", ms(0));
            network.run_for(ms(8000));
            assert_eq!(network.node(JOINING).joined(), reaches_seeds, "seed {seed}");
            let version = network.version(JOINING, "configuration");
            assert_eq!(version, reaches_seeds.then_some(1));
            network.heal();
            let all = network.running();
            let took = network.time_until_known(&all, "configuration", 3, ms(2000));
            assert!(
                took.is_some(),
                "seed {seed}, reaches seeds: {reaches_seeds}"
            );
            assert!(network.node(JOINING).joined() && network.versions_only_increase());
        }
    }
}
