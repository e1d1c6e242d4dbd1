//! Comparison and repair between neighbours.

mod common;

use arbtest::arbtest;
use bytes::Bytes;
use common::{Fate, Simulation, ms, record};
use mintlb_common::record::Record;
use std::time::Duration;

/// A record whose only message is lost comes by the digests.
#[test]
fn a_lost_record_comes_by_the_digests() {
    let mut slowest = Duration::ZERO;
    for seed in 0..40 {
        let mut simulation = Simulation::fleet(seed, 2, 2, ms(300));
        simulation.run_for(ms(3000 + seed * 37 % 500));
        simulation.fate_of = Some((simulation.sent_messages + 1, Fate::Drop));
        let publisher = (seed % 2) as usize;
        simulation.publish(publisher, record("placement", 1));
        let took = simulation.time_until_known(&[1 - publisher], "placement", 1, ms(1600));
        slowest = slowest.max(took.unwrap_or_else(|| panic!("seed {seed}: lacking")));
    }
    println!("slowest of 40: {slowest:?}");
    assert!(slowest < ms(1100));
}

/// The same while other records keep coming, so that the tables are never quite the same.
#[test]
fn a_lost_record_comes_although_the_tables_keep_changing() {
    let mut slowest = Duration::ZERO;
    for seed in 0..40 {
        let mut simulation = Simulation::fleet(seed, 2, 2, ms(300));
        simulation.run_for(ms(3000 + seed * 37 % 500));
        simulation.fate_of = Some((simulation.sent_messages + 1, Fate::Drop));
        simulation.publish(0, record("placement", 1));
        let start = simulation.now;
        for number in 0..200 {
            simulation.publish(number % 2, record(&format!("other {number}"), 1));
            simulation.run_for(ms(10));
            if simulation.version(1, "placement").is_some() {
                break;
            }
        }
        assert!(
            simulation.version(1, "placement").is_some(),
            "seed {seed}: lacking"
        );
        slowest = slowest.max(simulation.now - start);
    }
    println!("slowest of 40 amid changes: {slowest:?}");
    assert!(slowest < ms(1700));
}

/// Two tables of any content come to the same, newest versions, in messages of bounded size.
#[test]
fn any_two_tables_become_the_same() {
    arbtest(|input| {
        let mut simulation = Simulation::fleet(input.int_in_range(0..=1000)?, 2, 2, ms(1500));
        simulation.cut("zone1");
        simulation.run_for(ms(1600));
        let most = *input.choose(&[3, 300, 3000])?;
        let size = *input.choose(&[10, 200, 3000])?;
        let mut newest = std::collections::BTreeMap::new();
        for _ in 0..most {
            let (key, version) = (
                format!("key {}", input.int_in_range(0..=most)?),
                input.int_in_range(1..=9)?,
            );
            let body = Bytes::from(vec![0; size]);
            let publisher = input.int_in_range(0..=1)?;
            simulation.publish(
                publisher,
                Record {
                    key: key.clone(),
                    version,
                    ttl_s: 0,
                    body,
                },
            );
            let known = newest.entry(key).or_insert(version);
            *known = version.max(*known);
        }
        simulation.heal();
        let until = simulation.now + ms(8000);
        let same = |s: &Simulation| {
            [0, 1].iter().all(|&n| {
                let table = s.node(n).table();
                table.len() == newest.len() && table.iter().all(|r| newest[&r.key] == r.version)
            })
        };
        assert!(simulation.run_until(until, same));
        assert!(
            simulation.largest_message <= 300 << 10,
            "{}",
            simulation.largest_message
        );
        Ok(())
    })
    .budget_ms(4000);
}

/// Records that are larger than a message's bound pass one by one.
#[test]
fn large_records_pass() {
    let mut simulation = Simulation::fleet(1, 1, 1, ms(10));
    simulation.run_for(ms(100));
    for number in 0..10 {
        let body = Bytes::from(vec![1; 400 << 10]);
        simulation.publish(
            0,
            Record {
                key: format!("large {number}"),
                version: 1,
                ttl_s: 0,
                body,
            },
        );
    }
    simulation.add(1, "zone1", ms(0));
    let until = simulation.now + ms(3000);
    assert!(simulation.run_until(until, |s| s.running().len() == 2
        && s.node(1).table().len() == 10));
    assert!(simulation.largest_message < 420 << 10);
}
