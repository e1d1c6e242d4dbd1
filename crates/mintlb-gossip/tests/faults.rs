//! Cuts, freezes, restarts, resets, replaced machines, and one message that goes astray.

mod common;

use arbtest::arbtest;
use common::{Fate, Simulation, address, ms, record};
use mintlb_common::record::Record;

fn grown(seed: u64, count: usize, zones: usize) -> Simulation {
    let mut simulation = Simulation::fleet(seed, count, zones, ms(300));
    simulation.run_for(ms(4000));
    assert!(simulation.is_connected() && simulation.all_joined());
    simulation
}

/// A zone is cut off for a while; both sides publish. Within three seconds of the end of the cut all know all.
fn cut_and_heal(seed: u64, count: usize, zones: usize, cut_for_s: u64) {
    let mut simulation = grown(seed, count, zones);
    simulation.cut("zone1");
    simulation.run_for(ms(500));
    simulation.publish(0, record("outside", 1));
    simulation.publish(1, record("inside", 1));
    let (inside, outside): (Vec<_>, Vec<_>) = simulation
        .running()
        .into_iter()
        .partition(|&number| simulation.zone(number) == "zone1");
    let end = simulation.now + ms(cut_for_s * 1000);
    // A cut of a second ends before the silence is noticed.
    if cut_for_s > 2 {
        for (among, key) in [(&inside, "inside"), (&outside, "outside")] {
            let took = simulation.time_until_known(among, key, 1, ms(2000));
            assert!(
                took.is_some(),
                "{count} processes, seed {seed}, cut {cut_for_s} s: {key} is lacking there"
            );
        }
    }
    simulation.run_for(end - simulation.now);
    assert_eq!(simulation.lacking(&inside, "outside", 1), inside.len());
    assert_eq!(simulation.lacking(&outside, "inside", 1), outside.len());
    simulation.heal();
    let all = simulation.running();
    let took = ["outside", "inside"].map(|key| {
        let took = simulation.time_until_known(&all, key, 1, ms(3000));
        took.unwrap_or_else(|| {
            panic!("{count} processes, seed {seed}, cut {cut_for_s} s: {key} is lacking")
        })
    });
    println!("{count:4} processes, seed {seed}, cut {cut_for_s} s: healed after {took:?}");
    simulation.run_for(ms(3000));
    assert!(simulation.is_connected());
    assert!(simulation.only_rises());
}

#[test]
fn a_zone_is_cut_off_and_comes_back() {
    for cut_for_s in [1, 4, 60, 600] {
        for (count, zones, seeds) in [(3, 3, 5), (6, 2, 5), (12, 3, 5), (60, 3, 2)] {
            (0..seeds).for_each(|seed| cut_and_heal(seed, count, zones, cut_for_s));
        }
    }
}

#[test]
fn a_process_freezes_and_wakes() {
    for seed in 0..10 {
        let mut simulation = grown(seed, 20, 3);
        simulation.freeze(7);
        simulation.run_for(ms(200));
        simulation.publish(3, record("configuration", 1));
        simulation.run_for(ms(10_000));
        let others = simulation.running();
        assert_eq!(simulation.lacking(&others, "configuration", 1), 0);
        assert!(simulation.is_connected(), "the others came apart");
        simulation.thaw(7);
        let took = simulation.time_until_known(&[7], "configuration", 1, ms(1500));
        assert!(took.is_some(), "seed {seed}: not known after the wake");
        simulation.run_for(ms(3000));
        assert!(simulation.is_connected());
        assert_eq!(simulation.one_sided(), 0);
    }
}

#[test]
fn a_process_comes_back_with_a_new_incarnation() {
    for seed in 0..10 {
        for pause in [50, 400, 5000] {
            let mut simulation = grown(seed, 12, 3);
            simulation.publish(5, record("configuration", 7));
            simulation.run_for(ms(1000));
            let number = (seed % 4) as usize;
            let former = simulation.incarnation(number);
            simulation.kill(number);
            simulation.run_for(ms(pause));
            simulation.restart(number);
            let took = simulation.time_until_known(&[number], "configuration", 7, ms(1500));
            assert!(
                took.is_some(),
                "seed {seed}, pause {pause} ms: not known after the restart"
            );
            simulation.run_for(ms(4000));
            assert!(simulation.is_connected());
            assert_eq!(simulation.one_sided(), 0);
            let stale = |&other: &usize| {
                let members = simulation.node(other).membership().members(simulation.now);
                members
                    .iter()
                    .any(|m| m.address == address(number) && m.incarnation == former)
            };
            let neighbors: Vec<_> = simulation.node(number).membership().neighbors().collect();
            let knows = |other: &usize| neighbors.contains(&address(*other));
            assert!(
                !simulation
                    .running()
                    .iter()
                    .filter(|other| knows(other))
                    .any(stale)
            );
        }
    }
}

#[test]
fn seeds_are_gone_and_newcomers_still_come_in() {
    let mut simulation = grown(3, 20, 3);
    simulation.vanish(0);
    simulation.vanish(1);
    simulation.run_for(ms(3000));
    assert!(simulation.is_connected());
    simulation.add(20, "zone1", ms(0));
    simulation.run_for(ms(2500));
    assert!(simulation.is_connected() && simulation.node(20).joined());
    // The last seed is gone, too: the others go on.
    simulation.vanish(2);
    simulation.run_for(ms(5000));
    assert!(simulation.is_connected());
    simulation.publish(20, record("configuration", 2));
    let all = simulation.running();
    assert!(
        simulation
            .time_until_known(&all, "configuration", 2, ms(300))
            .is_some()
    );
}

#[test]
fn seeds_that_start_late_are_found() {
    for seed in 0..5 {
        let mut simulation = Simulation::new(seed, &[0, 1, 2]);
        (0..3).for_each(|number| simulation.add(number, &format!("zone{number}"), ms(2500)));
        (3..15).for_each(|number| simulation.add(number, &format!("zone{}", number % 3), ms(10)));
        simulation.run_for(ms(2500));
        let until = simulation.now + ms(2000);
        let joined = simulation.run_until(until, |s| s.running().len() == 15 && s.is_connected());
        assert!(joined, "seed {seed}");
    }
}

#[test]
fn connections_are_reset() {
    let mut simulation = grown(4, 12, 3);
    for version in 1..=10 {
        for other in 1..12 {
            simulation.reset(0, other);
        }
        simulation.publish(3, record("configuration", version));
        let all = simulation.running();
        assert!(
            simulation
                .time_until_known(&all, "configuration", version, ms(1000))
                .is_some()
        );
    }
    assert!(simulation.is_connected());
}

#[test]
fn machines_are_replaced_for_good() {
    let mut simulation = grown(5, 20, 3);
    for round in 0..10 {
        simulation.vanish(3 + round);
        simulation.run_for(ms(500));
        simulation.add(20 + round, &format!("zone{}", round % 3), ms(0));
        simulation.run_for(ms(2500));
        assert!(simulation.is_connected(), "round {round}");
    }
    simulation.run_for(ms(5000));
    assert_eq!(simulation.one_sided(), 0);
    // Who is gone is not reported for ever.
    simulation.run_for(ms(90_000));
    for number in simulation.running() {
        let members = simulation.node(number).membership().members(simulation.now);
        let gone =
            (3..13).filter(|&gone| members.iter().any(|member| member.address == address(gone)));
        assert_eq!(gone.count(), 0, "at {number}");
    }
}

#[test]
fn a_link_works_one_way_only() {
    for seed in 0..10 {
        let mut simulation = grown(seed, 12, 3);
        for other in (1..12).filter(|other| other % 2 == 0) {
            simulation.lose_way(0, other);
        }
        simulation.run_for(ms(3000));
        for version in 1..=5 {
            simulation.publish(version as usize, record("configuration", version));
            let all = simulation.running();
            let took = simulation.time_until_known(&all, "configuration", version, ms(1200));
            assert!(took.is_some(), "seed {seed}, version {version}");
        }
        simulation.heal();
        simulation.run_for(ms(4000));
        assert!(simulation.is_connected());
        assert_eq!(simulation.one_sided(), 0);
    }
}

#[test]
fn all_lose_power_and_come_back() {
    for (seed, count) in [(0, 3), (1, 12), (2, 60)] {
        let mut simulation = grown(seed, count, 3);
        simulation.publish(0, record("configuration", 9));
        simulation.run_for(ms(1000));
        (0..count).for_each(|number| simulation.vanish(number));
        simulation.run_for(ms(2000));
        (0..count).rev().for_each(|number| {
            simulation.restart(number);
            simulation.run_for(ms(20));
        });
        simulation.publish(count / 2, record("configuration", 9));
        let all = simulation.running();
        assert!(
            simulation
                .time_until_known(&all, "configuration", 9, ms(2000))
                .is_some()
        );
        assert!(simulation.is_connected());
    }
}

#[test]
fn one_live_seed_is_enough() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(seed, &[0, 1, 2]);
        simulation.add(0, "zone0", ms(1_000_000));
        simulation.add(1, "zone1", ms(1_000_000));
        (2..20).for_each(|number| {
            simulation.add(number, &format!("zone{}", number % 3), ms(number as u64))
        });
        let until = simulation.now + ms(2000);
        assert!(
            simulation.run_until(until, |s| s.running().len() == 18 && s.is_connected()),
            "seed {seed}"
        );
    }
}

#[test]
fn one_message_goes_astray() {
    arbtest(|input| {
        let seed = input.int_in_range(0..=1000)?;
        let count = input.int_in_range(3..=8)?;
        let mut simulation = Simulation::fleet(seed, count, 2, ms(300));
        let number = input.int_in_range(1..=600)?;
        let fate = *input.choose(&[
            Fate::Drop,
            Fate::Duplicate,
            Fate::Delay(ms(30)),
            Fate::Delay(ms(700)),
            Fate::Delay(ms(3000)),
        ])?;
        simulation.fate_of = Some((number, fate));
        for version in 1..=8 {
            let publisher = input.int_in_range(0..=count - 1)?;
            simulation.run_for(ms(input.int_in_range(50..=600)?));
            if simulation.running().contains(&publisher) {
                simulation.publish(publisher, record("placement", version));
            }
        }
        simulation.run_for(ms(4500));
        let all = simulation.running();
        let newest = all
            .iter()
            .filter_map(|&number| simulation.version(number, "placement"))
            .max()
            .unwrap_or(0);
        assert_eq!(
            simulation.lacking(&all, "placement", newest),
            0,
            "{fate:?} of message {number}"
        );
        assert!(simulation.is_connected() && simulation.only_rises());
        assert_eq!(simulation.one_sided(), 0, "{fate:?} of message {number}");
        Ok(())
    })
    .budget_ms(8000);
}

#[test]
fn a_lost_message_is_made_good_soon() {
    arbtest(|input| {
        let mut simulation = Simulation::fleet(input.int_in_range(0..=1000)?, 8, 2, ms(300));
        simulation.run_for(ms(3000));
        let fate = *input.choose(&[Fate::Drop, Fate::Delay(ms(5000))])?;
        simulation.fate_of = Some((simulation.sent_messages + input.int_in_range(1..=30)?, fate));
        simulation.publish(input.int_in_range(0..=7)?, record("placement", 1));
        let all = simulation.running();
        let took = simulation.time_until_known(&all, "placement", 1, ms(1500));
        assert!(
            took.is_some(),
            "{fate:?}: {} lack it",
            simulation.lacking(&all, "placement", 1)
        );
        Ok(())
    })
    .budget_ms(5000);
}

#[test]
fn a_garbled_message_ends_nothing() {
    arbtest(|input| {
        let mut simulation = Simulation::fleet(input.int_in_range(0..=1000)?, 5, 2, ms(300));
        let number = input.int_in_range(1..=300)?;
        simulation.fate_of = Some((number, Fate::Mutate(input.int_in_range(0..=4000)?)));
        simulation.run_for(ms(3000));
        let key = "placement";
        (1..=3).for_each(|version| simulation.publish(2, record(key, version)));
        simulation.run_for(ms(4000));
        let all = simulation.running();
        let newest = all
            .iter()
            .filter_map(|&number| simulation.version(number, key))
            .max()
            .unwrap_or(0);
        assert_eq!(simulation.lacking(&all, key, newest), 0, "message {number}");
        assert!(simulation.is_connected() && simulation.only_rises());
        Ok(())
    })
    .budget_ms(5000);
}

#[test]
fn records_with_a_lifetime_end_and_stay_away() {
    let mut simulation = grown(6, 20, 3);
    let all = simulation.running();
    simulation.publish(4, record("worker/x", 4));
    simulation.run_for(ms(1000));
    // One zone does not hear of the worker's end until long after its record has ended.
    simulation.cut("zone1");
    simulation.run_for(ms(3000));
    let body = "gone".into();
    simulation.publish(
        0,
        Record {
            key: "worker/x".into(),
            version: u64::MAX,
            ttl_s: 20,
            body,
        },
    );
    simulation.run_for(ms(1000));
    let outside: Vec<_> = all
        .iter()
        .copied()
        .filter(|&number| simulation.zone(number) != "zone1")
        .collect();
    assert_eq!(simulation.lacking(&outside, "worker/x", u64::MAX), 0);
    simulation.run_for(ms(30_000));
    assert!(
        outside
            .iter()
            .all(|&number| simulation.version(number, "worker/x").is_none())
    );
    simulation.heal();
    simulation.run_for(ms(10_000));
    for &number in &all {
        let version = simulation.version(number, "worker/x");
        assert!(
            version.is_none_or(|version| version == u64::MAX),
            "{number} still has {version:?}"
        );
    }
    simulation.run_for(ms(30_000));
    assert!(
        all.iter()
            .all(|&number| simulation.version(number, "worker/x").is_none())
    );
    let (bytes, _) = simulation.sent();
    simulation.run_for(ms(10_000));
    let rate = (simulation.sent().0 - bytes) / 10 / 20;
    println!("steady again: {rate} bytes a second and process");
    assert!(rate < 1000, "{rate} bytes a second");
}

/// The seeds, and nobody else, are cut off from all others for 20 s in which two configurations are published.
fn seeds_cut_off(seed: u64) -> Simulation {
    let mut simulation = grown(seed, 12, 3);
    simulation.publish(5, record("configuration", 1));
    simulation.run_for(ms(1000));
    cut_from_seeds(&mut simulation, 3..12);
    for version in 2..=3 {
        simulation.run_for(ms(10_000));
        simulation.publish(5, record("configuration", version));
    }
    simulation.run_for(ms(1000));
    assert_eq!(simulation.lacking(&[0, 1, 2], "configuration", 1), 0);
    assert_eq!(
        simulation.lacking(&[3, 4, 5, 6, 7, 8, 9, 10, 11], "configuration", 3),
        0
    );
    simulation
}

fn cut_from_seeds(simulation: &mut Simulation, others: std::ops::Range<usize>) {
    for (seed, other) in others.flat_map(|other| (0..3).map(move |seed| (seed, other))) {
        simulation.lose_way(seed, other);
        simulation.lose_way(other, seed);
    }
}

/// It knows nobody but the seeds, and they know the others from before.
#[test]
fn a_newcomer_that_reaches_cut_off_seeds_and_the_others_finds_the_others() {
    for seed in 0..20 {
        let mut simulation = seeds_cut_off(seed);
        simulation.add(12, "zone1", ms(0));
        let until = simulation.now + ms(10);
        simulation.run_until(until, |s| s.running().len() == 13);
        let took = simulation.time_until_known(&[12], "configuration", 3, ms(2000));
        assert!(
            took.is_some(),
            "seed {seed}: it knows {:?}",
            simulation.version(12, "configuration")
        );
        println!("seed {seed}: up to date after {took:?}");
    }
}

#[test]
fn a_newcomer_that_reaches_nobody_waits_and_one_that_reaches_stale_seeds_catches_up() {
    for seed in 0..10 {
        for reaches_seeds in [false, true] {
            let mut simulation = seeds_cut_off(seed);
            if !reaches_seeds {
                cut_from_seeds(&mut simulation, 12..13);
            }
            for other in 3..12 {
                simulation.lose_way(12, other);
                simulation.lose_way(other, 12);
            }
            simulation.add(12, "zone1", ms(0));
            simulation.run_for(ms(8000));
            assert_eq!(simulation.node(12).joined(), reaches_seeds, "seed {seed}");
            assert_eq!(
                simulation.version(12, "configuration"),
                reaches_seeds.then_some(1)
            );
            simulation.heal();
            let all = simulation.running();
            let took = simulation.time_until_known(&all, "configuration", 3, ms(2000));
            assert!(
                took.is_some(),
                "seed {seed}, reaches seeds: {reaches_seeds}"
            );
            assert!(simulation.node(12).joined() && simulation.only_rises());
        }
    }
}

/// One process stands still from before a worker's end until long after its record was dropped; meanwhile others have
/// been started anew and never heard of the worker. What the frozen one knows of the worker is old.
#[test]
fn a_worker_that_ended_does_not_come_back_with_a_process_that_stood_still() {
    let mut longest = ms(0);
    for seed in 0..10 {
        let mut simulation = grown(seed, 12, 3);
        simulation.publish(4, record("worker/x", 4));
        simulation.run_for(ms(1000));
        simulation.freeze(7);
        simulation.run_for(ms(3000));
        let body = "gone".into();
        simulation.publish(
            0,
            Record {
                key: "worker/x".into(),
                version: u64::MAX,
                ttl_s: 20,
                body,
            },
        );
        simulation.run_for(ms(25_000));
        assert!(
            simulation
                .running()
                .iter()
                .all(|&number| simulation.version(number, "worker/x").is_none())
        );
        for number in [1, 2, 3, 5, 8] {
            simulation.kill(number);
            simulation.run_for(ms(200));
            simulation.restart(number);
        }
        simulation.run_for(ms(3000));
        simulation.thaw(7);
        let thawed = simulation.now;
        let is_back = |s: &Simulation| {
            s.running()
                .iter()
                .any(|&number| s.version(number, "worker/x") == Some(4))
        };
        let until = simulation.now + ms(2500);
        assert!(
            simulation.run_until(until, |s| !is_back(s)),
            "seed {seed}: it is back"
        );
        longest = longest.max(simulation.now - thawed);
        simulation.run_for(ms(3000));
        assert!(!is_back(&simulation), "seed {seed}: it came back");
        assert!(simulation.only_rises());
    }
    println!("no process has the old record any more, at the latest after {longest:?}");
}
