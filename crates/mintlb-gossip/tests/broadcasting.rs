//! A record reaches every process, also when relays die at that moment.

mod common;

use common::{Simulation, ms, record};
use fastrand::Rng;
use std::time::Duration;

const BOUND: Duration = Duration::from_millis(1200);

fn grown(seed: u64, count: usize) -> Simulation {
    let mut simulation = Simulation::fleet(seed, count, 3, ms(300));
    simulation.run_for(ms(4000));
    assert!(simulation.is_connected() && simulation.all_joined());
    simulation
}

/// Publishes some records, so that the tree takes shape.
fn warm_up(simulation: &mut Simulation, records: u64) {
    let count = simulation.running().len();
    for version in 1..=records {
        let publisher = simulation.rng.usize(..count);
        simulation.publish(publisher, record("warm", version));
        simulation.run_for(ms(400));
    }
}

#[test]
fn a_record_reaches_all() {
    for (count, seed) in [(2, 1), (3, 2), (7, 3), (20, 4), (60, 5), (200, 6)] {
        let mut simulation = grown(seed, count);
        warm_up(&mut simulation, 10);
        let mut slowest = Duration::ZERO;
        let (bytes, messages) = simulation.sent();
        for version in 1..=20 {
            let publisher = simulation.rng.usize(..count);
            simulation.publish(publisher, record("placement", version));
            let all = simulation.running();
            let took = simulation.time_until_known(&all, "placement", version, BOUND);
            slowest = slowest
                .max(took.unwrap_or_else(|| panic!("{count}: version {version} is lacking")));
        }
        let (bytes, messages) = (simulation.sent().0 - bytes, simulation.sent().1 - messages);
        println!(
            "{count:4} processes: slowest of 20 took {slowest:?}; {} bytes, {} messages a process and record",
            bytes / 20 / count as u64,
            messages / 20 / count as u64
        );
        assert!(slowest < ms(300), "{count} processes: {slowest:?}");
        assert!(simulation.only_rises());
    }
}

/// Kills or cuts off a tenth of the processes in the moment of a publication.
fn survives(count: usize, seed: u64, power_lost: bool) -> Duration {
    let mut simulation = grown(seed, count);
    warm_up(&mut simulation, 10);
    let mut rng = Rng::with_seed(seed);
    let publisher = rng.usize(..count);
    simulation.publish(publisher, record("configuration", 1));
    let mut victims: Vec<_> = (0..count).filter(|&number| number != publisher).collect();
    rng.shuffle(&mut victims);
    for &victim in &victims[..count.div_ceil(10)] {
        if power_lost {
            simulation.vanish(victim)
        } else {
            simulation.kill(victim)
        }
    }
    let rest = simulation.running();
    let took = simulation.time_until_known(&rest, "configuration", 1, BOUND);
    let took = took.unwrap_or_else(|| {
        let lacking = simulation.lacking(&rest, "configuration", 1);
        panic!("{count} processes, seed {seed}, power lost {power_lost}: {lacking} lack it")
    });
    simulation.run_for(ms(8000));
    assert!(
        simulation.is_connected(),
        "{count} processes, seed {seed}: came apart"
    );
    let latest = simulation.time_until_known(&rest, "configuration", 1, BOUND);
    assert_eq!(latest, Some(Duration::ZERO));
    took
}

#[test]
fn a_tenth_killed_in_the_moment_of_a_publication() {
    for power_lost in [false, true] {
        for (count, seeds) in [(10, 20), (30, 20), (100, 8), (200, 4)] {
            let times = (0..seeds).map(|seed| survives(count, seed, power_lost));
            let slowest = times.max().unwrap();
            println!(
                "{count:4} processes, power lost {power_lost}: slowest of {seeds} took {slowest:?}"
            );
        }
    }
}

#[test]
fn the_tree_gets_thin() {
    let mut simulation = grown(11, 60);
    warm_up(&mut simulation, 20);
    let links: usize = simulation
        .running()
        .iter()
        .map(|&n| simulation.node(n).broadcast().eager_link_count())
        .sum();
    println!("60 processes: {links} ends of tree links, a tree has 118");
    assert!(links < 60 * 3, "{links} ends of tree links");
}

#[test]
fn a_publication_is_confirmed() {
    let mut simulation = grown(12, 5);
    simulation.publish_with_ack(0, record("drain", 1), ms(1000));
    simulation.run_for(ms(60));
    assert_eq!(simulation.acknowledged(0), 1);
    // Again the same: nothing new, but confirmed.
    simulation.publish_with_ack(0, record("drain", 1), ms(1000));
    simulation.run_for(ms(60));
    assert_eq!(simulation.acknowledged(0), 2);
}

#[test]
fn a_publication_is_confirmed_although_the_neighbours_die() {
    let mut simulation = grown(13, 12);
    let neighbors: Vec<_> = simulation.node(5).membership().neighbors().collect();
    for number in (0..12).filter(|&number| neighbors.contains(&common::address(number))) {
        simulation.vanish(number);
    }
    simulation.publish_with_ack(5, record("drain", 1), ms(4000));
    let until = simulation.now + ms(4000);
    assert!(simulation.run_until(until, |s| s.acknowledged(5) == 1));
}

#[test]
fn nobody_confirms_to_a_lonely_process() {
    let mut simulation = Simulation::fleet(14, 1, 1, ms(1));
    simulation.run_for(ms(500));
    simulation.publish_with_ack(0, record("drain", 1), ms(1000));
    simulation.run_for(ms(3000));
    assert_eq!(simulation.acknowledged(0), 0);
    assert!(!simulation.all_joined());
}
