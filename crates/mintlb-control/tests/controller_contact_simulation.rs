//! Contact and leadership under partitions of each kind and under pauses of processes, in virtual
//! time.

mod contact_simulation;

use contact_simulation::Simulation;
use std::time::Duration;

/// The time after which all controllers have converged.
const CONVERGENCE: Duration = Duration::from_secs(4);
/// The duration of a partition, the longest that the operators have observed.
const PARTITION: Duration = Duration::from_secs(20);

fn converged(replicas: usize, others: usize) -> Simulation {
    converged_from(replicas, others, 0x9e37_79b9)
}

fn converged_from(replicas: usize, others: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(replicas, others, seed);
    simulation.run_for(CONVERGENCE);
    assert_eq!(simulation.violation, None);
    assert!(
        (0..simulation.count()).all(|index| simulation.is_in_contact(index)),
        "at the start"
    );
    assert_eq!(simulation.leaders(), [0]);
    simulation
}

/// Partitions these links, checks who is isolated and who leads, and connects the links again.
fn check_partition(
    replicas: usize,
    links: &[(&[usize], &[usize])],
    isolated: &[usize],
    leader: usize,
) {
    let mut simulation = converged(replicas, 2);
    links
        .iter()
        .for_each(|(from, to)| simulation.set_partitioned(from, to, true));
    simulation.run_for(PARTITION);
    assert_eq!(simulation.violation, None);
    let out_of_contact: Vec<usize> = (0..simulation.count())
        .filter(|index| !simulation.is_in_contact(*index))
        .collect();
    assert_eq!(
        (out_of_contact.as_slice(), simulation.leaders()),
        (isolated, vec![leader])
    );
    links
        .iter()
        .for_each(|(from, to)| simulation.set_partitioned(from, to, false));
    simulation.run_for(CONVERGENCE);
    assert_eq!(simulation.violation, None);
    assert!(
        (0..simulation.count()).all(|index| simulation.is_in_contact(index)),
        "after the partition"
    );
    assert_eq!(simulation.leaders(), [0]);
}

#[test]
fn the_leader_is_partitioned_from_all() {
    check_partition(3, &[(&[0], &[1, 2, 3, 4]), (&[1, 2, 3, 4], &[0])], &[0], 1);
}

#[test]
fn the_leader_is_received_and_receives_nothing() {
    check_partition(3, &[(&[1, 2, 3, 4], &[0])], &[0], 1);
}

#[test]
fn the_leader_receives_all_and_is_not_received() {
    check_partition(3, &[(&[0], &[1, 2, 3, 4])], &[0], 1);
}

#[test]
fn the_leader_is_partitioned_with_a_controller_of_its_zone() {
    // 5 has no replica and is on its side alone: it reaches 0, and no majority.
    check_partition(
        5,
        &[(&[0, 5], &[1, 2, 3, 4, 6]), (&[1, 2, 3, 4, 6], &[0, 5])],
        &[0, 5],
        1,
    );
}

#[test]
fn the_leader_reaches_only_one_other() {
    check_partition(5, &[(&[0], &[2, 3, 4]), (&[2, 3, 4], &[0])], &[0], 1);
}

#[test]
fn a_paused_process_is_out_of_contact_until_its_next_acknowledgement() {
    for index in 0..5 {
        let mut simulation = converged(3, 2);
        simulation.set_paused(index, true);
        simulation.run_for(PARTITION);
        simulation.set_paused(index, false);
        assert_eq!(simulation.violation, None, "{index}");
        assert!(!simulation.is_in_contact(index), "{index}, before anything");
        simulation.run_for(CONVERGENCE);
        assert_eq!(simulation.violation, None, "{index}");
        assert!(simulation.is_in_contact(index), "{index}");
        assert_eq!(simulation.leaders(), [0], "{index}");
    }
}

#[test]
fn there_are_never_two_leaders_as_one_is_partitioned_and_returns() {
    for seed in 1..=40_u64 {
        let mut simulation = converged_from(3, 0, seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let after = Duration::from_millis(simulation.random_below(600));
        simulation.run_for(after);
        for partitioned in [true, false] {
            simulation.set_partitioned(&[0], &[1, 2], partitioned);
            simulation.set_partitioned(&[1, 2], &[0], partitioned);
            simulation.run_for(CONVERGENCE);
            assert_eq!(simulation.violation, None, "seed {seed}");
            assert_eq!(
                simulation.leaders(),
                [usize::from(partitioned)],
                "seed {seed}"
            );
            assert_eq!(simulation.max_leaders, 1, "seed {seed}");
        }
    }
}

#[test]
fn without_a_majority_nobody_is_in_contact_or_leads() {
    let mut simulation = converged(3, 2);
    [1, 2]
        .into_iter()
        .for_each(|index| simulation.set_paused(index, true));
    simulation.run_for(PARTITION);
    assert_eq!(simulation.violation, None);
    assert!(
        [0, 3, 4]
            .into_iter()
            .all(|index| !simulation.is_in_contact(index))
    );
    assert!(simulation.leaders().is_empty());
}

#[test]
fn no_random_schedule_of_partitions_and_pauses_violates_the_lease() {
    let (mut runs, mut contacts) = (0, 0);
    for seed in 1..=24_u64 {
        let mut simulation = Simulation::new(
            [3, 5, 9][seed as usize % 3],
            2,
            0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(seed),
        );
        for _ in 0..12 {
            let (a, b) = (simulation.random_below(64), simulation.random_below(64));
            let some: Vec<usize> = (0..simulation.count())
                .filter(|index| a >> (index % 6) & 1 == 1)
                .collect();
            let others: Vec<usize> = (0..simulation.count())
                .filter(|index| b >> (index % 6) & 1 == 1)
                .collect();
            match simulation.random_below(5) {
                0 => simulation.set_partitioned(&some, &others, true),
                1 | 2 => simulation.set_partitioned(&some, &others, false),
                kind => some
                    .iter()
                    .take(2)
                    .for_each(|index| simulation.set_paused(*index, kind == 3)),
            }
            let time = Duration::from_millis(50 + simulation.random_below(4000));
            simulation.run_for(time);
        }
        let all: Vec<usize> = (0..simulation.count()).collect();
        simulation.set_partitioned(&all, &all, false);
        all.iter()
            .for_each(|index| simulation.set_paused(*index, false));
        simulation.run_for(CONVERGENCE);
        assert_eq!(simulation.violation, None, "seed {seed}");
        assert!(
            all.iter().all(|index| simulation.is_in_contact(*index)),
            "seed {seed}: not all are back"
        );
        assert_eq!(simulation.leaders(), [0], "seed {seed}");
        runs += 1;
        contacts += simulation.in_contact;
    }
    println!("{runs} runs, {contacts} times in contact");
    assert!(contacts > runs * 1000);
}

#[test]
fn of_two_replicas_that_cannot_reach_each_other_only_one_leads() {
    for (replicas, pair) in [(3, [0, 1]), (3, [0, 2]), (5, [0, 1]), (9, [0, 1])] {
        let mut simulation = converged(replicas, 0);
        simulation.set_partitioned(&pair, &pair, true);
        let end = simulation.now + PARTITION;
        while simulation.now < end {
            simulation.run_for(Duration::from_millis(10));
            assert_eq!(simulation.leaders(), [0], "{pair:?} of {replicas}");
        }
        assert_eq!(simulation.violation, None);
        assert!((0..replicas).all(|index| simulation.is_in_contact(index)));
    }
}
