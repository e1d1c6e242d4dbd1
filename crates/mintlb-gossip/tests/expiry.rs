//! Expired records: no process that was out of contact brings an older version back.

mod network;

use network::{SimulatedNetwork, deregistered_worker, ms, record};
use std::time::Duration;

const WORKER: &str = "worker/x";

#[test]
fn expired_records_are_not_brought_back_by_a_partitioned_zone() {
    let mut network = SimulatedNetwork::joined_fleet(6, 20, 3);
    let all = network.running();
    network.publish(4, record(WORKER, 4));
    network.run_for(ms(1000));
    // The zone does not receive the deregistration until long after it has expired.
    network.partition_zone("zone1");
    network.run_for(ms(3000));
    network.publish(0, deregistered_worker(WORKER));
    network.run_for(ms(1000));
    let (_, outside) = network.running_by_zone("zone1");
    assert_eq!(network.count_lacking(&outside, WORKER, u64::MAX), 0);
    network.run_for(ms(30_000));
    let is_expired = |&number: &usize| network.version(number, WORKER).is_none();
    assert!(outside.iter().all(is_expired));
    network.heal();
    network.run_for(ms(10_000));
    for &number in &all {
        let version = network.version(number, WORKER);
        assert!(
            version.is_none_or(|version| version == u64::MAX),
            "{number} still has {version:?}"
        );
    }
    network.run_for(ms(30_000));
    assert!(network.has_nowhere(WORKER));
    let before = network.traffic();
    network.run_for(ms(10_000));
    let rate = network.traffic().since(before).per(10).per(20).bytes;
    println!("idle again: {rate} bytes a second and process");
    assert!(rate < 1000, "{rate} bytes a second");
}

/// A process is frozen from before the deregistration of a worker until long after its expiry;
/// meanwhile others have restarted and never received the deregistration. The frozen process has an
/// older version.
#[test]
fn expired_records_are_not_brought_back_by_a_frozen_process() {
    let mut longest = Duration::ZERO;
    for seed in 0..10 {
        let mut network = SimulatedNetwork::joined_fleet(seed, 12, 3);
        network.publish(4, record(WORKER, 4));
        network.run_for(ms(1000));
        network.freeze(7);
        network.run_for(ms(3000));
        network.publish(0, deregistered_worker(WORKER));
        network.run_for(ms(25_000));
        assert!(network.has_nowhere(WORKER));
        for number in [1, 2, 3, 5, 8] {
            network.kill(number);
            network.run_for(ms(200));
            network.restart(number);
        }
        network.run_for(ms(3000));
        network.thaw(7);
        let thawed = network.now;
        let has_old_version = |n: &SimulatedNetwork| {
            let running = n.running();
            running
                .iter()
                .any(|&number| n.version(number, WORKER) == Some(4))
        };
        let until = network.now + ms(2500);
        assert!(
            network.run_until(until, |n| !has_old_version(n)),
            "seed {seed}: it is back"
        );
        longest = longest.max(network.now - thawed);
        network.run_for(ms(3000));
        assert!(!has_old_version(&network), "seed {seed}: it came back");
        assert!(network.versions_only_increase());
    }
    println!("no process has the old version after {longest:?} at the latest");
}
