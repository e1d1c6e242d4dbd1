//! Processes that freeze, restart, lose power, or are replaced for good.

mod network;

use network::{SimulatedNetwork, address, ms, record};

#[test]
fn a_frozen_process_catches_up() {
    for seed in 0..10 {
        let mut network = SimulatedNetwork::joined_fleet(seed, 20, 3);
        network.freeze(7);
        network.run_for(ms(200));
        network.publish(3, record("configuration", 1));
        network.run_for(ms(10_000));
        let others = network.running();
        assert_eq!(network.count_lacking(&others, "configuration", 1), 0);
        assert!(network.is_connected(), "the others are disconnected");
        network.thaw(7);
        let took = network.time_until_known(&[7], "configuration", 1, ms(1500));
        assert!(took.is_some(), "seed {seed}: lacking after the thaw");
        network.run_for(ms(3000));
        assert!(network.is_connected());
        assert_eq!(network.one_sided_links(), 0);
    }
}

#[test]
fn a_restarted_process_catches_up_and_its_former_incarnation_is_forgotten() {
    for seed in 0..10 {
        for down_ms in [50, 400, 5000] {
            let mut network = SimulatedNetwork::joined_fleet(seed, 12, 3);
            network.publish(5, record("configuration", 7));
            network.run_for(ms(1000));
            let restarted = (seed % 4) as usize;
            let former = network.incarnation(restarted);
            network.kill(restarted);
            network.run_for(ms(down_ms));
            network.restart(restarted);
            let took = network.time_until_known(&[restarted], "configuration", 7, ms(1500));
            assert!(
                took.is_some(),
                "seed {seed}, down for {down_ms} ms: lacking after the restart"
            );
            network.run_for(ms(4000));
            assert!(network.is_connected());
            assert_eq!(network.one_sided_links(), 0);
            for neighbor in network.neighbors(restarted) {
                let members = network.members(neighbor);
                let knows_former = members.iter().any(|member| {
                    member.address == address(restarted) && member.incarnation == former
                });
                assert!(!knows_former, "seed {seed}, neighbor {neighbor}");
            }
        }
    }
}

#[test]
fn replaced_machines_are_forgotten() {
    let mut network = SimulatedNetwork::joined_fleet(5, 20, 3);
    for replacement in 0..10 {
        network.power_off(3 + replacement);
        network.run_for(ms(500));
        let zone = format!("zone{}", replacement % 3);
        network.add(20 + replacement, &zone, ms(0));
        network.run_for(ms(2500));
        assert!(network.is_connected(), "replacement {replacement}");
    }
    network.run_for(ms(5000));
    assert_eq!(network.one_sided_links(), 0);
    // The members that were replaced are not reported for ever.
    network.run_for(ms(90_000));
    for number in network.running() {
        let members = network.members(number);
        for replaced in 3..13 {
            let is_reported = members
                .iter()
                .any(|member| member.address == address(replaced));
            assert!(!is_reported, "{replaced} is reported at {number}");
        }
    }
}

#[test]
fn a_fleet_recovers_from_a_power_failure_of_all_machines() {
    for (seed, count) in [(0, 3), (1, 12), (2, 60)] {
        let mut network = SimulatedNetwork::joined_fleet(seed, count, 3);
        network.publish(0, record("configuration", 9));
        network.run_for(ms(1000));
        (0..count).for_each(|number| network.power_off(number));
        network.run_for(ms(2000));
        for number in (0..count).rev() {
            network.restart(number);
            network.run_for(ms(20));
        }
        network.publish(count / 2, record("configuration", 9));
        let all = network.running();
        let took = network.time_until_known(&all, "configuration", 9, ms(2000));
        assert!(took.is_some());
        assert!(network.is_connected());
    }
}
