//! Hundreds of updates: the table, the traffic and the time to catch up don't grow, and no older
//! version replaces a newer one.

mod network;

use bytes::Bytes;
use mintlb_common::record::Record;
use network::{SimulatedNetwork, Traffic, ms, record};
use std::time::Duration;

const COUNT: usize = 12;
/// The processes that have an outage: a controller that is a seed, and a dispatcher.
const AFFECTED: [usize; 2] = [1, 7];
const UPDATES: u64 = 500;
/// The time between two updates of the configuration.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
const OUTAGE_TIME: Duration = Duration::from_millis(20_000);
/// Within which time a process has to catch up after an outage (`config_apply_ms`).
const CATCH_UP_LIMIT: Duration = Duration::from_millis(2000);
const CONFIGURATION_BYTES: usize = 10_000;
const OTHER_RECORD_BYTES: usize = 1500;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Outage {
    Down,
    Partitioned,
    Frozen,
}

impl Outage {
    fn start(self, network: &mut SimulatedNetwork, affected: usize) {
        match self {
            Outage::Down => network.kill(affected),
            Outage::Frozen => network.freeze(affected),
            Outage::Partitioned => {
                for other in (0..COUNT).filter(|other| *other != affected) {
                    network.block_both_directions(affected, other);
                }
            }
        }
    }

    fn end(self, network: &mut SimulatedNetwork, affected: usize) {
        match self {
            Outage::Down => network.restart(affected),
            Outage::Frozen => network.thaw(affected),
            Outage::Partitioned => network.heal(),
        }
    }
}

/// The versions of the three records after this many updates.
fn versions_after(update: u64) -> [(&'static str, u64); 3] {
    [
        ("configuration", update),
        ("placement", update * 2 / 5),
        ("replicas", update / 10),
    ]
}

fn sized_record(key: &str, version: u64) -> Record {
    let body_bytes = if key == "configuration" {
        CONFIGURATION_BYTES
    } else {
        OTHER_RECORD_BYTES
    };
    Record {
        body: Bytes::from(vec![7; body_bytes]),
        ..record(key, version)
    }
}

/// Publishes the records that the update changes, at one of two controllers that have no outage.
fn publish_update(network: &mut SimulatedNetwork, update: u64) {
    let publisher = if update % 2 == 1 { 2 } else { 0 };
    let former = versions_after(update - 1);
    for (current, former) in versions_after(update).into_iter().zip(former) {
        if current != former {
            let (key, version) = current;
            network.publish(publisher, sized_record(key, version));
        }
    }
}

fn has_versions(network: &SimulatedNetwork, number: usize, expected: [(&str, u64); 3]) -> bool {
    expected
        .iter()
        .all(|(key, version)| network.version(number, key).unwrap_or(0) >= *version)
}

/// A process that has an outage, from one of the updates on.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    outage: Outage,
    affected: usize,
    first_missed: u64,
}

impl Scenario {
    /// Runs all updates; returns how long the process takes to catch up.
    fn run(self, seed: u64) -> Duration {
        let mut network = SimulatedNetwork::joined_fleet(seed, COUNT, 3);
        let update = self.run_until_end_of_outage(&mut network);
        self.publish_old_versions(&mut network);
        let (took, update) = self.catch_up(&mut network, update);
        for update in update + 1..=UPDATES {
            publish_update(&mut network, update);
            network.run_for(UPDATE_INTERVAL);
        }
        network.run_for(ms(2500));
        assert_complete(&network);
        took
    }

    /// Returns the number of updates so far.
    fn run_until_end_of_outage(self, network: &mut SimulatedNetwork) -> u64 {
        let mut end = None;
        let mut update = 0;
        loop {
            if update + 1 == self.first_missed && end.is_none() {
                self.outage.start(network, self.affected);
                end = Some(network.now + OUTAGE_TIME);
            }
            if update < UPDATES {
                update += 1;
                publish_update(network, update);
            }
            network.run_for(UPDATE_INTERVAL);
            if end.is_some_and(|end| network.now >= end) {
                self.outage.end(network, self.affected);
                return update;
            }
        }
    }

    /// After the outage the process publishes what it had, as a controller does that reads its own
    /// disk.
    fn publish_old_versions(self, network: &mut SimulatedNetwork) {
        for (key, version) in versions_after(self.first_missed - 1) {
            if version > 0 {
                network.publish(self.affected, sized_record(key, version));
            }
        }
    }

    /// Updates go on until the process has what was current at the end of the outage. Returns how
    /// long that took and the number of updates so far.
    fn catch_up(self, network: &mut SimulatedNetwork, mut update: u64) -> (Duration, u64) {
        let expected = versions_after(update);
        let start = network.now;
        while !has_versions(network, self.affected, expected) {
            if update < UPDATES {
                update += 1;
                publish_update(network, update);
            }
            let until = network.now + UPDATE_INTERVAL;
            network.run_until(until, |n| has_versions(n, self.affected, expected));
            assert!(network.now < start + CATCH_UP_LIMIT, "{self:?}");
        }
        (network.now - start, update)
    }
}

/// All processes run, and have all records in their newest version.
fn assert_complete(network: &SimulatedNetwork) {
    let all = network.running();
    assert_eq!(all.len(), COUNT);
    assert!(
        network.versions_only_increase(),
        "an older version replaced a newer one"
    );
    for number in all {
        assert!(
            has_versions(network, number, versions_after(UPDATES)),
            "{number} lacks the newest versions"
        );
        assert_eq!(network.node(number).table().len(), 3);
    }
}

#[test]
fn a_process_catches_up_after_an_outage_at_any_update() {
    let mut longest = Duration::ZERO;
    for outage in [Outage::Down, Outage::Partitioned, Outage::Frozen] {
        for first_missed in [1, 100, 499] {
            for affected in AFFECTED {
                let scenario = Scenario {
                    outage,
                    affected,
                    first_missed,
                };
                let took = scenario.run(first_missed * 7 + affected as u64);
                println!("{scenario:?}: up to date after {took:?}");
                longest = longest.max(took);
            }
        }
    }
    println!("longest: {longest:?}");
}

#[test]
fn traffic_and_table_do_not_grow_with_the_number_of_updates() {
    let mut network = SimulatedNetwork::joined_fleet(3, COUNT, 3);
    let mut costs: Vec<Traffic> = Vec::new();
    let mut before = network.traffic();
    for update in 1..=UPDATES {
        publish_update(&mut network, update);
        network.run_for(UPDATE_INTERVAL);
        if update % 100 == 0 {
            let now = network.traffic();
            costs.push(now.since(before).per(100));
            before = now;
        }
        let table = network.node(5).table();
        let table_bytes: usize = table.iter().map(|record| record.body.len()).sum();
        assert!(table.len() <= 3);
        assert!(
            table_bytes <= CONFIGURATION_BYTES + 2 * OTHER_RECORD_BYTES,
            "{table_bytes} bytes"
        );
    }
    println!("traffic of all {COUNT} processes for each update, by hundreds: {costs:?}");
    let (first, last) = (costs[0], costs[4]);
    assert!(
        last.bytes * 10 <= first.bytes * 11 && last.messages * 10 <= first.messages * 11,
        "it grows: {costs:?}"
    );
}
