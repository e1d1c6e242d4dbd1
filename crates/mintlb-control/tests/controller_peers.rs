//! Who has the duties, and which replicas are silent.

use mintlb_control::controller::contact::peers::{
    ELECTION_TIMEOUT, LIVE_TIMEOUT, Peers, UNRESPONSIVE_TIMEOUT,
};
use mintlb_control::controller::contact::quorum_contact::CONTACT_LEASE;
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(300);

fn address(id: u64) -> SocketAddr {
    format!("10.0.0.{id}:7661").parse().unwrap()
}

/// Replicas 9, 10 and 11: as text, 10 and 11 would come before 9.
fn set() -> ReplicaSet {
    let replica = |id| Replica {
        id: ReplicaId(id),
        address: address(id).to_string(),
        node_name: format!("edge-{id}"),
        zone: String::new(),
    };
    ReplicaSet {
        epoch: 1,
        previous: Vec::new(),
        current: [11, 9, 10].map(replica).to_vec(),
    }
}

/// One is heard, and has answered what was sent at this moment; it sees the same replica as the first.
fn answers(peers: &mut Peers, now: Instant, id: u64) {
    let first = peers.preferred_leader(now, &set()).unwrap_or(ReplicaId(id));
    peers.record_message(now, address(id), Some(ReplicaId(id)), 0);
    peers.record_acknowledgement(ReplicaId(id), now, Some(first));
}

/// Steps for a time during which these are heard and answer.
fn pass(peers: &mut Peers, now: &mut Instant, time: Duration, heard: &[u64]) {
    let end = *now + time;
    while *now < end {
        *now += STEP;
        heard.iter().for_each(|id| answers(peers, *now, *id));
        peers.step(*now, &set());
    }
}

#[test]
fn the_first_live_replica_takes_the_duties_after_a_while() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(9)));
    pass(&mut peers, &mut now, ELECTION_TIMEOUT, &[10, 11]);
    assert_eq!(peers.leader_epoch(now, &set()), None);
    pass(&mut peers, &mut now, STEP, &[10, 11]);
    assert_eq!(peers.leader_epoch(now, &set()), Some(1));
}

#[test]
fn the_next_one_takes_them_once_the_first_is_silent() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(10)));
    pass(&mut peers, &mut now, ELECTION_TIMEOUT * 3, &[9, 11]);
    assert_eq!(peers.leader_epoch(now, &set()), None);
    pass(
        &mut peers,
        &mut now,
        LIVE_TIMEOUT + ELECTION_TIMEOUT + STEP,
        &[11],
    );
    assert_eq!(peers.leader_epoch(now, &set()), Some(1));
    pass(&mut peers, &mut now, STEP, &[9, 11]);
    assert_eq!(
        peers.leader_epoch(now, &set()),
        None,
        "the first one is back"
    );
}

#[test]
fn whoever_hears_of_a_higher_epoch_gives_its_own_up() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(9)));
    pass(&mut peers, &mut now, ELECTION_TIMEOUT + STEP, &[10, 11]);
    assert_eq!(peers.leader_epoch(now, &set()), Some(1));
    peers.record_message(now, address(10), Some(ReplicaId(10)), 5);
    assert_eq!(peers.leader_epoch(now, &set()), None);
    pass(&mut peers, &mut now, ELECTION_TIMEOUT + STEP, &[10, 11]);
    assert_eq!(peers.leader_epoch(now, &set()), Some(6));
}

#[test]
fn one_that_was_frozen_has_to_qualify_anew() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(9)));
    pass(&mut peers, &mut now, ELECTION_TIMEOUT + STEP, &[10, 11]);
    now += Duration::from_secs(4);
    peers.step(now, &set());
    assert_eq!(peers.leader_epoch(now, &set()), None);
    assert!(
        peers.unresponsive(now, &set()).is_empty(),
        "it was not there to hear them"
    );
}

#[test]
fn a_controller_without_a_replica_has_no_duties() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, None);
    pass(&mut peers, &mut now, ELECTION_TIMEOUT * 3, &[]);
    assert_eq!(peers.leader_epoch(now, &set()), None);
}

#[test]
fn a_replica_is_silent_after_a_while_and_no_longer_once_heard() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(9)));
    pass(&mut peers, &mut now, STEP, &[10, 11]);
    pass(&mut peers, &mut now, UNRESPONSIVE_TIMEOUT, &[10]);
    assert_eq!(peers.unresponsive(now, &set()), [ReplicaId(11)]);
    peers.record_message(now, address(11), Some(ReplicaId(11)), 0);
    assert!(peers.unresponsive(now, &set()).is_empty());
}

#[test]
fn one_that_was_cut_off_calls_nobody_silent_when_it_is_back() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(9)));
    pass(&mut peers, &mut now, STEP, &[10, 11]);
    pass(&mut peers, &mut now, UNRESPONSIVE_TIMEOUT * 2, &[]);
    assert!(peers.unresponsive(now, &set()).is_empty());
    pass(&mut peers, &mut now, UNRESPONSIVE_TIMEOUT - STEP, &[10]);
    assert!(peers.unresponsive(now, &set()).is_empty());
    pass(&mut peers, &mut now, STEP * 3, &[10]);
    assert_eq!(peers.unresponsive(now, &set()), [ReplicaId(11)]);
}

#[test]
fn an_emptied_disk_at_a_known_address_does_not_speak_for_the_old_replica() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(9)));
    pass(&mut peers, &mut now, STEP, &[10, 11]);
    let end = now + UNRESPONSIVE_TIMEOUT;
    while now < end {
        now += STEP;
        answers(&mut peers, now, 10);
        peers.record_message(now, address(11), Some(ReplicaId(77)), 0);
        peers.step(now, &set());
    }
    assert_eq!(peers.unresponsive(now, &set()), [ReplicaId(11)]);
    assert_eq!(peers.live_addresses(now).len(), 2);
}

#[test]
fn one_that_wakes_has_neither_duties_nor_contact_in_its_first_question() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(9)));
    pass(&mut peers, &mut now, ELECTION_TIMEOUT + STEP, &[10, 11]);
    assert_eq!(peers.leader_epoch(now, &set()), Some(1));
    let sent_before = now;
    now += Duration::from_secs(20);
    // What lay in the buffers is read first: pings of the others, and answers to what was sent before.
    for id in [10, 11] {
        peers.record_message(now, address(id), Some(ReplicaId(id)), 1);
        peers.record_acknowledgement(ReplicaId(id), sent_before, Some(ReplicaId(9)));
    }
    assert!(!peers.is_in_contact(now, &set()));
    assert_eq!(peers.leader_epoch(now, &set()), None);
    assert_eq!(peers.in_contact_for(now, &set()), Duration::ZERO);
}

#[test]
fn one_that_wakes_calls_nobody_silent_before_its_first_step() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(9)));
    pass(&mut peers, &mut now, ELECTION_TIMEOUT + STEP, &[10, 11]);
    now += Duration::from_secs(20);
    assert!(peers.unresponsive(now, &set()).is_empty());
    // Also not where one answer has come since.
    peers.record_acknowledgement(ReplicaId(10), now, Some(ReplicaId(9)));
    assert!(peers.unresponsive(now, &set()).is_empty());
}

#[test]
fn one_whose_messages_do_not_arrive_is_out_of_contact_however_much_it_hears() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(9)));
    pass(&mut peers, &mut now, ELECTION_TIMEOUT + STEP, &[10, 11]);
    let end = now + CONTACT_LEASE;
    while now < end {
        now += STEP;
        [10, 11]
            .into_iter()
            .for_each(|id| peers.record_message(now, address(id), Some(ReplicaId(id)), 0));
        peers.step(now, &set());
    }
    assert!(!peers.is_in_contact(now, &set()));
    assert_eq!(peers.leader_epoch(now, &set()), None);
}

/// As 10, which reaches 11; 9 is heard, and is reached as told. Long enough to take the duties.
fn beside_the_first(first_is_reached: bool) -> (Instant, Peers) {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(10)));
    let end = now + LIVE_TIMEOUT + ELECTION_TIMEOUT * 2;
    while now < end {
        now += STEP;
        peers.record_message(now, address(9), Some(ReplicaId(9)), 0);
        if first_is_reached {
            peers.record_acknowledgement(ReplicaId(9), now, None);
        }
        answers(&mut peers, now, 11);
        peers.step(now, &set());
    }
    (now, peers)
}

#[test]
fn the_duties_go_on_to_the_next_one_where_the_first_hears_nobody() {
    let (now, peers) = beside_the_first(false);
    assert_eq!(peers.leader_epoch(now, &set()), Some(1));
}

#[test]
fn the_duties_go_on_to_the_next_one_where_the_first_reaches_a_minority_alone() {
    let (now, mut peers) = beside_the_first(true);
    assert_eq!(peers.leader_epoch(now, &set()), Some(1));
    answers(&mut peers, now, 9);
    peers.step(now, &set());
    assert_eq!(
        peers.leader_epoch(now, &set()),
        None,
        "9 is back in contact"
    );
}

#[test]
fn one_that_alone_does_not_reach_the_first_leaves_it_the_duties() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(10)));
    let end = now + ELECTION_TIMEOUT * 5;
    while now < end {
        now += STEP;
        peers.record_message(now, address(11), Some(ReplicaId(11)), 0);
        peers.record_acknowledgement(ReplicaId(11), now, Some(ReplicaId(9)));
        peers.step(now, &set());
        assert_eq!(peers.leader_epoch(now, &set()), None);
    }
    assert_eq!(
        peers.preferred_leader(now, &set()),
        Some(ReplicaId(10)),
        "as far as it sees"
    );
}
