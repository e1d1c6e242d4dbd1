//! Anti-entropy between neighbors.

mod network;

use arbtest::arbtest;
use bytes::Bytes;
use mintlb_common::record::Record;
use network::{MessageFault, SimulatedNetwork, ms, record};
use std::collections::BTreeMap;
use std::time::Duration;

/// Two connected processes, at a random point of the heartbeat interval, the next message between
/// which is lost.
fn pair_with_lost_message(seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::fleet(seed, 2, 2);
    network.run_for(ms(3000 + seed * 37 % 500));
    network.plan_fault(1, MessageFault::Drop);
    network
}

fn record_of_size(key: String, version: u64, body_bytes: usize) -> Record {
    Record {
        key,
        version,
        ttl_s: 0,
        body: Bytes::from(vec![0; body_bytes]),
    }
}

#[test]
fn a_lost_record_is_repaired() {
    let mut slowest = Duration::ZERO;
    for seed in 0..40 {
        let mut network = pair_with_lost_message(seed);
        let publisher = (seed % 2) as usize;
        network.publish(publisher, record("placement", 1));
        let took = network.time_until_known(&[1 - publisher], "placement", 1, ms(1600));
        slowest = slowest.max(took.unwrap_or_else(|| panic!("seed {seed}: lacking")));
    }
    println!("slowest of 40: {slowest:?}");
    assert!(slowest < ms(1100));
}

/// Other records keep coming, so that the tables are never quite equal.
#[test]
fn a_lost_record_is_repaired_while_the_tables_change() {
    let mut slowest = Duration::ZERO;
    for seed in 0..40 {
        let mut network = pair_with_lost_message(seed);
        network.publish(0, record("placement", 1));
        let start = network.now;
        for number in 0..200 {
            network.publish(number % 2, record(&format!("other {number}"), 1));
            network.run_for(ms(10));
            if network.version(1, "placement").is_some() {
                break;
            }
        }
        assert!(
            network.version(1, "placement").is_some(),
            "seed {seed}: lacking"
        );
        slowest = slowest.max(network.now - start);
    }
    println!("slowest of 40 while the tables change: {slowest:?}");
    assert!(slowest < ms(1700));
}

#[test]
fn any_two_tables_converge_to_the_newest_versions() {
    arbtest(|input| {
        let seed = input.int_in_range(0..=1000)?;
        let mut network = SimulatedNetwork::fleet_started_within(seed, 2, 2, ms(1500));
        network.partition_zone("zone1");
        network.run_for(ms(1600));
        let publications = *input.choose(&[3, 300, 3000])?;
        let body_bytes = *input.choose(&[10, 200, 3000])?;
        let mut newest = BTreeMap::new();
        for _ in 0..publications {
            let key = format!("key {}", input.int_in_range(0..=publications)?);
            let version = input.int_in_range(1..=9)?;
            let publisher = input.int_in_range(0..=1)?;
            let record = record_of_size(key.clone(), version, body_bytes);
            network.publish(publisher, record);
            let known = newest.entry(key).or_insert(version);
            *known = version.max(*known);
        }
        network.heal();
        let until = network.now + ms(8000);
        let has_newest = |n: &SimulatedNetwork, number: usize| {
            let table = n.node(number).table();
            table.len() == newest.len()
                && table
                    .iter()
                    .all(|record| newest[&record.key] == record.version)
        };
        assert!(network.run_until(until, |n| has_newest(n, 0) && has_newest(n, 1)));
        assert!(
            network.largest_message <= 300 << 10,
            "{}",
            network.largest_message
        );
        Ok(())
    })
    .budget_ms(4000);
}

#[test]
fn records_larger_than_a_message_are_sent_one_by_one() {
    let mut network = SimulatedNetwork::fleet_started_within(1, 1, 1, ms(10));
    network.run_for(ms(100));
    for number in 0..10 {
        network.publish(0, record_of_size(format!("large {number}"), 1, 400 << 10));
    }
    network.add(1, "zone1", ms(0));
    let until = network.now + ms(3000);
    let is_complete =
        |n: &SimulatedNetwork| n.running().len() == 2 && n.node(1).table().len() == 10;
    assert!(network.run_until(until, is_complete));
    assert!(network.largest_message < 420 << 10);
}
