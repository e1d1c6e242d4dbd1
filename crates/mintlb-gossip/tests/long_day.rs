//! Hundreds of changes: the table, the messages and the time to catch up stay level, and nothing older comes over what is
//! newer.

mod common;

use bytes::Bytes;
use common::{Simulation, ms, record};
use mintlb_common::record::Record;
use std::time::Duration;

const COUNT: usize = 12;
/// A controller that is a seed, and a dispatcher.
const MEMBERS: [usize; 2] = [1, 7];
const CHANGES: u64 = 500;
/// Between two changes of the configuration.
const PAUSE: Duration = Duration::from_millis(100);
/// How long the member is away.
const AWAY: Duration = Duration::from_millis(20_000);
/// Within which it has to know what was known when it came back (`config_apply_ms`).
const CATCH_UP: Duration = Duration::from_millis(2000);
const CONFIGURATION_BYTES: usize = 10_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    Down,
    Cut,
    Frozen,
}

/// The versions of the three records after so many changes of the configuration.
fn versions(change: u64) -> [(&'static str, u64); 3] {
    [
        ("configuration", change),
        ("placement", change * 2 / 5),
        ("replicas", change / 10),
    ]
}

fn body(key: &str) -> Bytes {
    Bytes::from(vec![
        7;
        if key == "configuration" {
            CONFIGURATION_BYTES
        } else {
            1500
        }
    ])
}

/// Publishes what the change brings, at one of two controllers that are never away.
fn publish(simulation: &mut Simulation, change: u64) {
    let before = versions(change - 1);
    for (now, before) in versions(change).into_iter().zip(before) {
        let at = if change % 2 == 1 { 2 } else { 0 };
        if now != before {
            let (key, version) = now;
            simulation.publish(
                at,
                Record {
                    body: body(key),
                    ..record(key, version)
                },
            );
        }
    }
}

fn leave(simulation: &mut Simulation, member: usize, trouble: Trouble) {
    match trouble {
        Trouble::Down => simulation.kill(member),
        Trouble::Frozen => simulation.freeze(member),
        Trouble::Cut => {
            for other in (0..COUNT).filter(|other| *other != member) {
                simulation.lose_way(member, other);
                simulation.lose_way(other, member);
            }
        }
    }
}

fn come_back(simulation: &mut Simulation, member: usize, trouble: Trouble) {
    match trouble {
        Trouble::Down => simulation.restart(member),
        Trouble::Frozen => simulation.thaw(member),
        Trouble::Cut => simulation.heal(),
    }
}

fn knows(simulation: &Simulation, member: usize, wanted: [(&str, u64); 3]) -> bool {
    wanted
        .iter()
        .all(|(key, version)| simulation.version(member, key).unwrap_or(0) >= *version)
}

/// Plays the changes with the member away from one of them on; how long it took to catch up.
fn play(seed: u64, member: usize, trouble: Trouble, from: u64) -> Duration {
    let mut simulation = Simulation::fleet(seed, COUNT, 3, ms(300));
    simulation.run_for(ms(4000));
    let mut back_at = None;
    let mut change = 0;
    while change < CHANGES || back_at.is_none_or(|at| simulation.now < at) {
        if change + 1 == from && back_at.is_none() {
            leave(&mut simulation, member, trouble);
            back_at = Some(simulation.now + AWAY);
        }
        if change < CHANGES {
            change += 1;
            publish(&mut simulation, change);
        }
        simulation.run_for(PAUSE);
        if back_at.is_some_and(|at| simulation.now >= at) {
            break;
        }
    }
    let wanted = versions(change);
    // Back again, it says what it knew, as a controller does that reads its own disk.
    come_back(&mut simulation, member, trouble);
    for (key, version) in versions(from - 1)
        .into_iter()
        .filter(|(_, version)| *version > 0)
    {
        simulation.publish(
            member,
            Record {
                body: body(key),
                ..record(key, version)
            },
        );
    }
    let start = simulation.now;
    while !knows(&simulation, member, wanted) {
        // Changes go on.
        if change < CHANGES {
            change += 1;
            publish(&mut simulation, change);
        }
        let until = simulation.now + PAUSE;
        simulation.run_until(until, |s| knows(s, member, wanted));
        assert!(
            simulation.now < start + CATCH_UP,
            "{trouble:?} of {member} from {from}, seed {seed}"
        );
    }
    let took = simulation.now - start;
    while change < CHANGES {
        change += 1;
        publish(&mut simulation, change);
        simulation.run_for(PAUSE);
    }
    simulation.run_for(ms(2500));
    let all = simulation.running();
    assert_eq!(all.len(), COUNT);
    assert!(
        simulation.only_rises(),
        "an older record came over a newer one"
    );
    for number in all {
        assert!(
            knows(&simulation, number, versions(CHANGES)),
            "{number} is behind at the end"
        );
        assert_eq!(simulation.node(number).table().len(), 3);
    }
    took
}

#[test]
fn a_member_that_was_away_at_any_change_is_up_to_date_soon() {
    let mut longest = Duration::ZERO;
    for trouble in [Trouble::Down, Trouble::Cut, Trouble::Frozen] {
        for from in [1, 100, 499] {
            for member in MEMBERS {
                let took = play(from * 7 + member as u64, member, trouble, from);
                println!(
                    "{trouble:?} of member {member} from change {from}: up to date after {took:?}"
                );
                longest = longest.max(took);
            }
        }
    }
    println!("longest: {longest:?}");
}

#[test]
fn messages_and_the_table_do_not_grow_with_the_number_of_changes() {
    let mut simulation = Simulation::fleet(3, COUNT, 3, ms(300));
    simulation.run_for(ms(4000));
    let mut costs = Vec::new();
    let mut before = simulation.sent();
    for change in 1..=CHANGES {
        publish(&mut simulation, change);
        simulation.run_for(PAUSE);
        if change % 100 == 0 {
            let now = simulation.sent();
            costs.push(((now.0 - before.0) / 100, (now.1 - before.1) / 100));
            before = now;
        }
        let held: usize = simulation
            .node(5)
            .table()
            .iter()
            .map(|record| record.body.len())
            .sum();
        assert!(
            simulation.node(5).table().len() <= 3 && held <= CONFIGURATION_BYTES + 3000,
            "{held} bytes"
        );
    }
    println!("bytes and messages of all {COUNT} processes for each change, by hundreds: {costs:?}");
    let (first, last) = (costs[0], costs[4]);
    assert!(
        last.0 * 10 <= first.0 * 11 && last.1 * 10 <= first.1 * 11,
        "they grow: {costs:?}"
    );
}
