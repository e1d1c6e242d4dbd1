//! Joining: from three seeds, in any order, into one overlay.

mod common;

use common::{Simulation, ms};

fn joins(count: usize, seed: u64, most: u64) {
    let mut simulation = Simulation::fleet(seed, count, 3, ms(300));
    let until = simulation.start + ms(most);
    let counted =
        move |s: &Simulation| s.running().len() == count && s.is_connected() && s.all_joined();
    let joined = simulation.run_until(until, counted);
    let took = simulation.elapsed();
    assert!(
        joined,
        "{count} processes, seed {seed}: not joined after {took:?}"
    );
    simulation.run_for(ms(5000));
    assert!(
        simulation.is_connected(),
        "{count} processes, seed {seed}: came apart"
    );
    assert_eq!(simulation.one_sided(), 0, "{count} processes, seed {seed}");
    let degrees = simulation
        .running()
        .into_iter()
        .map(|n| simulation.node(n).membership().neighbors().count());
    let degrees: Vec<_> = degrees.collect();
    let (least, most) = (degrees.iter().min().unwrap(), degrees.iter().max().unwrap());
    assert!(*most <= 6);
    assert!(
        *least >= 4.min(count - 1) || count < 8 && *least >= 1,
        "{count}: degrees {degrees:?}"
    );
    let (bytes, messages) = simulation.sent();
    println!(
        "{count:4} processes, seed {seed}: joined after {took:?}, degrees {least}..{most}, {} bytes and {} messages a process",
        bytes / count as u64,
        messages / count as u64
    );
}

#[test]
fn small_fleets_join() {
    for count in 2..12 {
        for seed in 0..5 {
            joins(count, seed, 3000);
        }
    }
}

#[test]
fn large_fleets_join() {
    for (count, seed) in [(30, 1), (60, 2), (100, 3), (200, 4), (400, 5)] {
        joins(count, seed, 4000);
    }
}
