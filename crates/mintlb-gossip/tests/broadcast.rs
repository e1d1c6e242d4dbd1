//! Broadcast: a record reaches all processes, also if relays fail at that moment.

mod network;

use fastrand::Rng;
use network::{SimulatedNetwork, ms, record};
use std::time::Duration;

/// Within which time a record reaches all processes, whatever fails.
const BROADCAST_LIMIT: Duration = Duration::from_millis(1200);
/// How many records are published until the tree has formed.
const WARM_UP_RECORDS: u64 = 10;

/// Publishes some records, so that the tree forms.
fn form_tree(network: &mut SimulatedNetwork, records: u64) {
    let count = network.running().len();
    for version in 1..=records {
        let publisher = network.rng.usize(..count);
        network.publish(publisher, record("warm", version));
        network.run_for(ms(400));
    }
}

#[test]
fn a_record_reaches_all_processes() {
    const PUBLICATIONS: u64 = 20;
    for (count, seed) in [(2, 1), (3, 2), (7, 3), (20, 4), (60, 5), (200, 6)] {
        let mut network = SimulatedNetwork::joined_fleet(seed, count, 3);
        form_tree(&mut network, WARM_UP_RECORDS);
        let mut slowest = Duration::ZERO;
        let before = network.traffic();
        for version in 1..=PUBLICATIONS {
            let publisher = network.rng.usize(..count);
            network.publish(publisher, record("placement", version));
            let all = network.running();
            let took = network.time_until_known(&all, "placement", version, BROADCAST_LIMIT);
            slowest = slowest
                .max(took.unwrap_or_else(|| panic!("{count}: version {version} is lacking")));
        }
        let traffic = network.traffic().since(before);
        let each = traffic.per(PUBLICATIONS).per(count as u64);
        println!(
            "{count:4} processes: slowest of {PUBLICATIONS} took {slowest:?}; {each:?} a process and record"
        );
        assert!(slowest < ms(300), "{count} processes: {slowest:?}");
        assert!(network.versions_only_increase());
    }
}

/// How the processes fail at the moment of a publication.
#[derive(Clone, Copy, Debug)]
enum Failure {
    Killed,
    PoweredOff,
}

/// Lets a tenth of the processes fail at the moment of a publication; returns how long the others
/// wait for it.
fn broadcast_time_with_failures(count: usize, seed: u64, failure: Failure) -> Duration {
    let mut network = SimulatedNetwork::joined_fleet(seed, count, 3);
    form_tree(&mut network, WARM_UP_RECORDS);
    let mut rng = Rng::with_seed(seed);
    let publisher = rng.usize(..count);
    network.publish(publisher, record("configuration", 1));
    let mut victims: Vec<_> = (0..count).filter(|&number| number != publisher).collect();
    rng.shuffle(&mut victims);
    for &victim in &victims[..count.div_ceil(10)] {
        match failure {
            Failure::Killed => network.kill(victim),
            Failure::PoweredOff => network.power_off(victim),
        }
    }
    let rest = network.running();
    let took = network.time_until_known(&rest, "configuration", 1, BROADCAST_LIMIT);
    let took = took.unwrap_or_else(|| {
        let lacking = network.count_lacking(&rest, "configuration", 1);
        panic!("{count} processes, seed {seed}, {failure:?}: {lacking} lack it")
    });
    network.run_for(ms(8000));
    assert!(
        network.is_connected(),
        "{count} processes, seed {seed}: disconnected"
    );
    assert_eq!(network.count_lacking(&rest, "configuration", 1), 0);
    took
}

#[test]
fn a_record_reaches_all_processes_while_a_tenth_fails() {
    for failure in [Failure::Killed, Failure::PoweredOff] {
        for (count, seeds) in [(10, 20), (30, 20), (100, 8), (200, 4)] {
            let times = (0..seeds).map(|seed| broadcast_time_with_failures(count, seed, failure));
            let slowest = times.max().unwrap();
            println!("{count:4} processes, {failure:?}: slowest of {seeds} took {slowest:?}");
        }
    }
}

#[test]
fn redundant_links_are_pruned() {
    let mut network = SimulatedNetwork::joined_fleet(11, 60, 3);
    form_tree(&mut network, 20);
    let link_ends: usize = network
        .running()
        .iter()
        .map(|&number| network.node(number).broadcast().eager_link_count())
        .sum();
    println!("60 processes: {link_ends} ends of eager links, a tree has 118");
    assert!(link_ends < 60 * 3, "{link_ends} ends of eager links");
}
