//! The election of the singleton leader, and the detection of unresponsive replicas.

mod builders;

use builders::{address, replica_set};
use mintlb_control::controller::contact::messages::LeaderEpoch;
use mintlb_control::controller::contact::peers::{
    ELECTION_TIMEOUT, LIVE_TIMEOUT, Peers, UNRESPONSIVE_TIMEOUT,
};
use mintlb_control::controller::contact::quorum_contact::CONTACT_LEASE;
use mintlb_register::replica_set::{ReplicaId, ReplicaSet};
use std::time::Duration;
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(300);

/// Replicas 9, 10 and 11: as text, 10 and 11 would come before 9.
fn set() -> ReplicaSet {
    replica_set(1, &[11, 9, 10])
}

/// A replica sends a message and acknowledges what was sent at this moment; it votes like the local
/// one.
fn respond(peers: &mut Peers, now: Instant, id: u64) {
    let vote = peers.preferred_leader(now, &set()).unwrap_or(ReplicaId(id));
    peers.record_message(now, address(id), Some(ReplicaId(id)), LeaderEpoch(0));
    peers.record_acknowledgement(ReplicaId(id), now, Some(vote));
}

/// Steps for a time during which these replicas respond.
fn pass(peers: &mut Peers, now: &mut Instant, time: Duration, responsive: &[u64]) {
    let end = *now + time;
    while *now < end {
        *now += STEP;
        responsive.iter().for_each(|id| respond(peers, *now, *id));
        peers.step(*now, &set());
    }
}

#[test]
fn the_first_live_replica_is_elected_after_the_election_timeout() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(9)));
    pass(&mut peers, &mut now, ELECTION_TIMEOUT, &[10, 11]);
    assert_eq!(peers.leader_epoch(now, &set()), None);
    pass(&mut peers, &mut now, STEP, &[10, 11]);
    assert_eq!(peers.leader_epoch(now, &set()), Some(LeaderEpoch(1)));
}

#[test]
fn the_next_replica_is_elected_once_the_first_is_unresponsive() {
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
    assert_eq!(peers.leader_epoch(now, &set()), Some(LeaderEpoch(1)));
    pass(&mut peers, &mut now, STEP, &[9, 11]);
    assert_eq!(
        peers.leader_epoch(now, &set()),
        None,
        "the first one is back"
    );
}

#[test]
fn a_leader_that_learns_of_a_higher_epoch_steps_down() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(9)));
    pass(&mut peers, &mut now, ELECTION_TIMEOUT + STEP, &[10, 11]);
    assert_eq!(peers.leader_epoch(now, &set()), Some(LeaderEpoch(1)));
    peers.record_message(now, address(10), Some(ReplicaId(10)), LeaderEpoch(5));
    assert_eq!(peers.leader_epoch(now, &set()), None);
    pass(&mut peers, &mut now, ELECTION_TIMEOUT + STEP, &[10, 11]);
    assert_eq!(peers.leader_epoch(now, &set()), Some(LeaderEpoch(6)));
}

#[test]
fn a_paused_leader_has_to_qualify_anew() {
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
fn a_controller_without_a_replica_never_leads() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, None);
    pass(&mut peers, &mut now, ELECTION_TIMEOUT * 3, &[]);
    assert_eq!(peers.leader_epoch(now, &set()), None);
}

#[test]
fn a_replica_is_unresponsive_until_its_next_message() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(9)));
    pass(&mut peers, &mut now, STEP, &[10, 11]);
    pass(&mut peers, &mut now, UNRESPONSIVE_TIMEOUT, &[10]);
    assert_eq!(peers.unresponsive(now, &set()), [ReplicaId(11)]);
    peers.record_message(now, address(11), Some(ReplicaId(11)), LeaderEpoch(0));
    assert!(peers.unresponsive(now, &set()).is_empty());
}

#[test]
fn a_process_back_from_a_partition_reports_no_replica_unresponsive() {
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
fn a_new_replica_at_a_known_address_does_not_count_as_the_old_one() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(9)));
    pass(&mut peers, &mut now, STEP, &[10, 11]);
    let end = now + UNRESPONSIVE_TIMEOUT;
    while now < end {
        now += STEP;
        respond(&mut peers, now, 10);
        peers.record_message(now, address(11), Some(ReplicaId(77)), LeaderEpoch(0));
        peers.step(now, &set());
    }
    assert_eq!(peers.unresponsive(now, &set()), [ReplicaId(11)]);
    assert_eq!(peers.live_addresses(now).len(), 2);
}

#[test]
fn a_process_resumed_after_a_pause_has_neither_leadership_nor_contact() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(9)));
    pass(&mut peers, &mut now, ELECTION_TIMEOUT + STEP, &[10, 11]);
    assert_eq!(peers.leader_epoch(now, &set()), Some(LeaderEpoch(1)));
    let sent_before = now;
    now += Duration::from_secs(20);
    // What lay in the buffers is read first: pings of the others, and answers to what was sent
    // before.
    for id in [10, 11] {
        peers.record_message(now, address(id), Some(ReplicaId(id)), LeaderEpoch(1));
        peers.record_acknowledgement(ReplicaId(id), sent_before, Some(ReplicaId(9)));
    }
    assert!(!peers.is_in_contact(now, &set()));
    assert_eq!(peers.leader_epoch(now, &set()), None);
    assert_eq!(peers.in_contact_for(now, &set()), Duration::ZERO);
}

#[test]
fn a_resumed_process_reports_no_replica_unresponsive_before_its_first_step() {
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
fn a_process_whose_messages_are_lost_is_out_of_contact_whatever_it_receives() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(9)));
    pass(&mut peers, &mut now, ELECTION_TIMEOUT + STEP, &[10, 11]);
    let end = now + CONTACT_LEASE;
    while now < end {
        now += STEP;
        [10, 11].into_iter().for_each(|id| {
            peers.record_message(now, address(id), Some(ReplicaId(id)), LeaderEpoch(0))
        });
        peers.step(now, &set());
    }
    assert!(!peers.is_in_contact(now, &set()));
    assert_eq!(peers.leader_epoch(now, &set()), None);
}

/// Replica 10, which reaches 11 and receives messages of 9, for long enough to be elected. 9
/// acknowledges or doesn't.
fn beside_the_leader(leader_acknowledges: bool) -> (Instant, Peers) {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(10)));
    let end = now + LIVE_TIMEOUT + ELECTION_TIMEOUT * 2;
    while now < end {
        now += STEP;
        peers.record_message(now, address(9), Some(ReplicaId(9)), LeaderEpoch(0));
        if leader_acknowledges {
            peers.record_acknowledgement(ReplicaId(9), now, None);
        }
        respond(&mut peers, now, 11);
        peers.step(now, &set());
    }
    (now, peers)
}

#[test]
fn the_next_replica_is_elected_if_the_first_receives_nothing() {
    let (now, peers) = beside_the_leader(false);
    assert_eq!(peers.leader_epoch(now, &set()), Some(LeaderEpoch(1)));
}

#[test]
fn the_next_replica_is_elected_if_the_first_reaches_a_minority_only() {
    let (now, mut peers) = beside_the_leader(true);
    assert_eq!(peers.leader_epoch(now, &set()), Some(LeaderEpoch(1)));
    respond(&mut peers, now, 9);
    peers.step(now, &set());
    assert_eq!(
        peers.leader_epoch(now, &set()),
        None,
        "9 is back in contact"
    );
}

#[test]
fn a_replica_that_alone_cannot_reach_the_leader_is_not_elected() {
    let mut now = Instant::now();
    let mut peers = Peers::new(now, Some(ReplicaId(10)));
    let end = now + ELECTION_TIMEOUT * 5;
    while now < end {
        now += STEP;
        peers.record_message(now, address(11), Some(ReplicaId(11)), LeaderEpoch(0));
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
