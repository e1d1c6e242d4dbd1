//! Liveness of the other controllers, as their pings show it, and the election of the singleton
//! leader; pure.
//!
//! The leader is the first live replica in the order of addresses: one that has lately acknowledged
//! a message, and reports that it is itself in contact with a majority. A majority has to vote for
//! it, so that of two that can't reach each other, but others, only one is elected. Whoever is
//! elected takes an epoch above each known one and announces it with its pings; a leader that
//! learns of a higher epoch steps down and has to qualify anew. Two may lead for a moment all the
//! same: what they change lies in the register, which accepts one of two conflicting changes.
//!
//! Each answer that depends on the time is given for the moment of the question, so also in the
//! first question after the process was paused.

use super::messages::LeaderEpoch;
use super::quorum_contact::QuorumContact;
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A replica that acknowledged a message less than this ago counts as live.
pub const LIVE_TIMEOUT: Duration = Duration::from_millis(1000);
/// A replica that sent nothing for this long may be replaced in the replica set.
pub const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(3000);
/// The time for which a replica has to be the first live one before it leads: two intervals of the
/// stores' heartbeats.
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(900);
/// A gap of this length between two steps means that the process was paused.
const PROCESS_PAUSE: Duration = Duration::from_millis(900);
/// The number of [`UNRESPONSIVE_TIMEOUT`]s after which the last message of a replica is forgotten.
const RETENTION_FACTOR: u32 = 20;

/// What one controller knows of the others.
#[derive(Debug)]
pub struct Peers {
    own: Option<ReplicaId>,
    contact: QuorumContact,
    last_received: FxHashMap<ReplicaId, Instant>,
    addresses: FxHashMap<SocketAddr, Instant>,
    /// The vote of each replica that is in contact with a majority.
    leader_votes: FxHashMap<ReplicaId, ReplicaId>,
    /// The start of the current period without a pause, in contact with a majority of the replica
    /// set.
    in_contact_since: Option<Instant>,
    last_step: Instant,
    preferred_since: Option<Instant>,
    /// The highest leader epoch known.
    epoch: LeaderEpoch,
    leader_epoch: Option<LeaderEpoch>,
}

impl Peers {
    /// No peer is known yet. `own` is the id of the local replica, if there is one.
    pub fn new(now: Instant, own: Option<ReplicaId>) -> Peers {
        Peers {
            own,
            contact: QuorumContact::new(own),
            last_received: FxHashMap::default(),
            addresses: FxHashMap::default(),
            leader_votes: FxHashMap::default(),
            in_contact_since: None,
            last_step: now,
            preferred_since: None,
            epoch: LeaderEpoch::default(),
            leader_epoch: None,
        }
    }

    /// Records a message of a controller: the id of its replica, if it has one, and the highest
    /// leader epoch it knows.
    pub fn record_message(
        &mut self,
        now: Instant,
        address: SocketAddr,
        replica: Option<ReplicaId>,
        epoch: LeaderEpoch,
    ) {
        self.addresses.retain(|_, received_at| {
            now.saturating_duration_since(*received_at) < UNRESPONSIVE_TIMEOUT
        });
        self.addresses.insert(address, now);
        if let Some(replica) = replica {
            self.last_received.retain(|_, received_at| {
                now.saturating_duration_since(*received_at)
                    < UNRESPONSIVE_TIMEOUT * RETENTION_FACTOR
            });
            self.last_received.insert(replica, now);
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            if self.leader_epoch.take().is_some() {
                self.preferred_since = None;
            }
        }
    }

    /// Records that a replica has acknowledged a message sent at that time, and its vote; none if
    /// it is itself out of contact with a majority.
    pub fn record_acknowledgement(
        &mut self,
        replica: ReplicaId,
        sent_at: Instant,
        vote: Option<ReplicaId>,
    ) {
        self.contact.record_acknowledgement(replica, sent_at);
        match vote {
            Some(candidate) => self.leader_votes.insert(replica, candidate),
            None => self.leader_votes.remove(&replica),
        };
    }

    /// Records that a majority of the replica set has answered a round that started at that time.
    pub fn record_majority_round(&mut self, round_started_at: Instant) {
        self.contact.record_majority_round(round_started_at);
    }

    /// The highest leader epoch known.
    pub fn epoch(&self) -> LeaderEpoch {
        self.epoch
    }

    /// The epoch under which this process leads now.
    pub fn leader_epoch(&self, now: Instant, set: &ReplicaSet) -> Option<LeaderEpoch> {
        self.leader_epoch
            .filter(|_| !self.has_paused(now) && self.is_in_contact(now, set))
    }

    /// Whether contact with a majority of the replica set is proved now.
    pub fn is_in_contact(&self, now: Instant, set: &ReplicaSet) -> bool {
        self.contact.is_valid(now, set)
    }

    /// The time for which this process has run without a pause, in contact with a majority of the
    /// replica set.
    pub fn in_contact_for(&self, now: Instant, set: &ReplicaSet) -> Duration {
        let since = self
            .in_contact_since
            .filter(|_| !self.has_paused(now) && self.is_in_contact(now, set));
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// The addresses of the controllers that have sent a message lately.
    pub fn live_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let is_live = |received_at: &Instant| {
            now.saturating_duration_since(*received_at) < UNRESPONSIVE_TIMEOUT
        };
        self.addresses
            .iter()
            .filter(|(_, received_at)| is_live(received_at))
            .map(|(address, _)| *address)
            .collect()
    }

    /// Whether this controller has sent a message less than `max_age` ago.
    pub fn is_received_within(&self, now: Instant, address: SocketAddr, max_age: Duration) -> bool {
        self.addresses
            .get(&address)
            .is_some_and(|at| now.saturating_duration_since(*at) < max_age)
    }

    /// Advances the election. Has to be called regularly: a gap counts as a pause of the process.
    pub fn step(&mut self, now: Instant, set: &ReplicaSet) {
        let paused = self.has_paused(now);
        self.last_step = now;
        self.leader_votes
            .retain(|replica, _| set.members().any(|member| member.id == *replica));
        if paused || !self.is_in_contact(now, set) {
            self.in_contact_since = None;
            self.step_down();
            return;
        }
        self.in_contact_since.get_or_insert(now);
        if !self.is_elected(now, set) {
            self.step_down();
            return;
        }
        let since = *self.preferred_since.get_or_insert(now);
        if self.leader_epoch.is_none() && now.saturating_duration_since(since) >= ELECTION_TIMEOUT {
            self.epoch = self.epoch.next();
            self.leader_epoch = Some(self.epoch);
        }
    }

    fn step_down(&mut self) {
        self.preferred_since = None;
        self.leader_epoch = None;
    }

    /// The replicas of the set that have sent nothing for [`UNRESPONSIVE_TIMEOUT`], all of it spent
    /// in contact with a majority: a process that was partitioned or paused can't tell.
    pub fn unresponsive(&self, now: Instant, set: &ReplicaSet) -> Vec<ReplicaId> {
        let observed = self.in_contact_for(now, set);
        let since_last_message = |id: &ReplicaId| {
            self.last_received
                .get(id)
                .map_or(observed, |at| now.saturating_duration_since(*at))
                .min(observed)
        };
        set.current
            .iter()
            .map(|replica| replica.id)
            .filter(|id| Some(*id) != self.own)
            .filter(|id| since_last_message(id) >= UNRESPONSIVE_TIMEOUT)
            .collect()
    }

    /// Whether a replica of the set has sent nothing lately, or nothing yet.
    pub fn has_silent_member(&self, now: Instant, set: &ReplicaSet) -> bool {
        let is_silent = |id: ReplicaId| {
            let received_at = self.last_received.get(&id);
            received_at.is_none_or(|at| now.saturating_duration_since(*at) >= LIVE_TIMEOUT)
        };
        set.current
            .iter()
            .any(|replica| Some(replica.id) != self.own && is_silent(replica.id))
    }

    /// Whether the process was paused since the last step.
    fn has_paused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_step) > PROCESS_PAUSE
    }

    /// Whether the local replica is the first live one and has the votes of a majority.
    fn is_elected(&self, now: Instant, set: &ReplicaSet) -> bool {
        let Some(own) = self.own else { return false };
        let votes_for_own = |replica| {
            replica == own
                || self
                    .contact
                    .is_acknowledged_within(now, replica, LIVE_TIMEOUT)
                    && self.leader_votes.get(&replica) == Some(&own)
        };
        self.preferred_leader(now, set) == Some(own) && set.is_quorum(votes_for_own)
    }

    /// The first live replica as seen by this process, for which it votes; none out of contact.
    pub fn preferred_leader(&self, now: Instant, set: &ReplicaSet) -> Option<ReplicaId> {
        if !self.is_in_contact(now, set) {
            return None;
        }
        let is_live = |replica: &&Replica| {
            Some(replica.id) == self.own
                || self
                    .contact
                    .is_acknowledged_within(now, replica.id, LIVE_TIMEOUT)
                    && self.leader_votes.contains_key(&replica.id)
        };
        let address = |replica: &&Replica| replica.address.parse::<SocketAddr>().ok();
        set.current
            .iter()
            .filter(is_live)
            .min_by_key(address)
            .map(|replica| replica.id)
    }
}
