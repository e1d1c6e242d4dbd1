//! Network partitions, links that work in one direction, and connection resets.

mod network;

use network::{SimulatedNetwork, ms, record};

/// A zone is partitioned for a while, and both sides publish. Within three seconds of the end all
/// processes have all records.
fn assert_heals(seed: u64, count: usize, zones: usize, partition_s: u64) {
    let case = format!("{count} processes, seed {seed}, partition of {partition_s} s");
    let mut network = SimulatedNetwork::joined_fleet(seed, count, zones);
    network.partition_zone("zone1");
    network.run_for(ms(500));
    network.publish(0, record("outside", 1));
    network.publish(1, record("inside", 1));
    let (inside, outside) = network.running_by_zone("zone1");
    let end = network.now + ms(partition_s * 1000);
    // A partition of a second ends before a neighbor times out.
    if partition_s > 2 {
        for (among, key) in [(&inside, "inside"), (&outside, "outside")] {
            let took = network.time_until_known(among, key, 1, ms(2000));
            assert!(took.is_some(), "{case}: {key} is lacking on its own side");
        }
    }
    network.run_for(end - network.now);
    assert_eq!(network.count_lacking(&inside, "outside", 1), inside.len());
    assert_eq!(network.count_lacking(&outside, "inside", 1), outside.len());
    network.heal();
    let all = network.running();
    let took = ["outside", "inside"].map(|key| {
        let took = network.time_until_known(&all, key, 1, ms(3000));
        took.unwrap_or_else(|| panic!("{case}: {key} is lacking"))
    });
    println!("{case}: healed after {took:?}");
    network.run_for(ms(3000));
    assert!(network.is_connected());
    assert!(network.versions_only_increase());
}

#[test]
fn a_partitioned_zone_comes_back() {
    for partition_s in [1, 4, 60, 600] {
        for (count, zones, seeds) in [(3, 3, 5), (6, 2, 5), (12, 3, 5), (60, 3, 2)] {
            for seed in 0..seeds {
                assert_heals(seed, count, zones, partition_s);
            }
        }
    }
}

#[test]
fn links_that_work_in_one_direction_are_replaced() {
    for seed in 0..10 {
        let mut network = SimulatedNetwork::joined_fleet(seed, 12, 3);
        for other in (2..12).step_by(2) {
            network.block_direction(0, other);
        }
        network.run_for(ms(3000));
        for version in 1..=5 {
            network.publish(version as usize, record("configuration", version));
            let all = network.running();
            let took = network.time_until_known(&all, "configuration", version, ms(1200));
            assert!(took.is_some(), "seed {seed}, version {version}");
        }
        network.heal();
        network.run_for(ms(4000));
        assert!(network.is_connected());
        assert_eq!(network.one_sided_links(), 0);
    }
}

#[test]
fn connection_resets_lose_no_record() {
    let mut network = SimulatedNetwork::joined_fleet(4, 12, 3);
    for version in 1..=10 {
        for other in 1..12 {
            network.reset_connection(0, other);
        }
        network.publish(3, record("configuration", version));
        let all = network.running();
        let took = network.time_until_known(&all, "configuration", version, ms(1000));
        assert!(took.is_some());
    }
    assert!(network.is_connected());
}
