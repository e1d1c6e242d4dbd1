//! Acknowledged publications.

mod network;

use network::{SimulatedNetwork, ms, record};

#[test]
fn a_publication_is_acknowledged() {
    let mut network = SimulatedNetwork::joined_fleet(12, 5, 3);
    network.publish_with_ack(0, record("drain", 1), ms(1000));
    network.run_for(ms(60));
    assert_eq!(network.acknowledged(0), 1);
    // The same version again changes nothing, but is acknowledged.
    network.publish_with_ack(0, record("drain", 1), ms(1000));
    network.run_for(ms(60));
    assert_eq!(network.acknowledged(0), 2);
}

#[test]
fn a_publication_is_acknowledged_although_all_neighbors_fail() {
    let mut network = SimulatedNetwork::joined_fleet(13, 12, 3);
    for neighbor in network.neighbors(5) {
        network.power_off(neighbor);
    }
    network.publish_with_ack(5, record("drain", 1), ms(4000));
    let until = network.now + ms(4000);
    assert!(network.run_until(until, |n| n.acknowledged(5) == 1));
}

#[test]
fn a_publication_without_neighbors_is_not_acknowledged() {
    let mut network = SimulatedNetwork::fleet_started_within(14, 1, 1, ms(1));
    network.run_for(ms(500));
    network.publish_with_ack(0, record("drain", 1), ms(1000));
    network.run_for(ms(3000));
    assert_eq!(network.acknowledged(0), 0);
    assert!(!network.all_joined());
}
