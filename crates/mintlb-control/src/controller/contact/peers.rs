//! Which controllers run, as their pings show it, and who therefore has the duties; pure.
//!
//! The duties belong to the first live replica in the order of addresses: one that was reached lately, there and back,
//! and says that it is itself in contact with a majority. A majority has to name it, so that of two that can't reach
//! each other, but others, one alone has them. Whoever takes them draws an epoch above every one heard of and says it
//! with its pings; one that hears of a higher epoch gives its own up and has to qualify anew. Two may hold them for a
//! moment all the same: what they change lies in the register, which takes one of two changes.
//!
//! What depends on the time is told for the moment at which it is asked for, so also in the first question after this
//! process has stood still.

use crate::controller::contact::quorum_contact::QuorumContact;
use mintlb_register::replica_set::{Replica, ReplicaId, ReplicaSet};
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A controller that was reached since then counts as live.
pub const LIVE_TIMEOUT: Duration = Duration::from_millis(1000);
/// A replica that was silent for so long may lose its place to another one.
pub const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(3000);
/// The duties are taken after having been the first live one for so long: two periods of the stores' heartbeats.
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(900);
/// A gap of so long between two steps says that this process was not running.
const PROCESS_PAUSE: Duration = Duration::from_millis(900);

/// What one controller knows of the others.
#[derive(Debug)]
pub struct Peers {
    own: Option<ReplicaId>,
    contact: QuorumContact,
    last_received: FxHashMap<ReplicaId, Instant>,
    addresses: FxHashMap<SocketAddr, Instant>,
    /// Whom each replica that is in contact with a majority named last as the first live one.
    leader_votes: FxHashMap<ReplicaId, ReplicaId>,
    /// Since when this process has run without a pause, in contact with a majority of the set.
    in_contact_since: Option<Instant>,
    last_step: Instant,
    preferred_since: Option<Instant>,
    epoch: u64,
    leader_epoch: Option<u64>,
}

impl Peers {
    /// Nothing is known yet. `own` is the replica here, if there is one.
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
            epoch: 0,
            leader_epoch: None,
        }
    }

    /// A controller pinged or answered: with its replica, if it has one, and the highest epoch of the duties it knows.
    pub fn record_message(
        &mut self,
        now: Instant,
        address: SocketAddr,
        replica: Option<ReplicaId>,
        epoch: u64,
    ) {
        self.addresses.retain(|_, received_at| {
            now.saturating_duration_since(*received_at) < UNRESPONSIVE_TIMEOUT
        });
        self.addresses.insert(address, now);
        if let Some(replica) = replica {
            self.last_received.retain(|_, received_at| {
                now.saturating_duration_since(*received_at) < UNRESPONSIVE_TIMEOUT * 20
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

    /// A replica has answered what was sent to it at that time, and names the first live one; none if it is itself out of
    /// contact with a majority.
    pub fn record_acknowledgement(
        &mut self,
        replica: ReplicaId,
        sent_at: Instant,
        first: Option<ReplicaId>,
    ) {
        self.contact.record_acknowledgement(replica, sent_at);
        match first {
            Some(first) => self.leader_votes.insert(replica, first),
            None => self.leader_votes.remove(&replica),
        };
    }

    /// A majority of the set has answered a round that began at that time.
    pub fn record_majority_round(&mut self, round_started_at: Instant) {
        self.contact.record_majority_round(round_started_at);
    }

    /// The highest epoch of the duties heard of.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The epoch under which this process has the duties now.
    pub fn leader_epoch(&self, now: Instant, set: &ReplicaSet) -> Option<u64> {
        self.leader_epoch
            .filter(|_| !self.has_paused(now) && self.is_in_contact(now, set))
    }

    /// Whether the contact with a majority of the set is proved now.
    pub fn is_in_contact(&self, now: Instant, set: &ReplicaSet) -> bool {
        self.contact.is_valid(now, set)
    }

    /// For how long this process has run without a pause, in contact with a majority of the set.
    pub fn in_contact_for(&self, now: Instant, set: &ReplicaSet) -> Duration {
        let since = self
            .in_contact_since
            .filter(|_| !self.has_paused(now) && self.is_in_contact(now, set));
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Controllers heard of lately.
    pub fn live_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let live = |received_at: &Instant| {
            now.saturating_duration_since(*received_at) < UNRESPONSIVE_TIMEOUT
        };
        self.addresses
            .iter()
            .filter(|(_, at)| live(at))
            .map(|(address, _)| *address)
            .collect()
    }

    /// Whether a ping to this controller can be left out, as its own have come for that long.
    pub fn is_received_within(&self, now: Instant, address: SocketAddr, within: Duration) -> bool {
        self.addresses
            .get(&address)
            .is_some_and(|at| now.saturating_duration_since(*at) < within)
    }

    /// Looks at who has the duties; to be called regularly.
    pub fn step(&mut self, now: Instant, set: &ReplicaSet) {
        let paused = self.has_paused(now);
        self.last_step = now;
        self.leader_votes
            .retain(|replica, _| set.members().any(|member| member.id == *replica));
        if paused || !self.is_in_contact(now, set) {
            (
                self.in_contact_since,
                self.preferred_since,
                self.leader_epoch,
            ) = (None, None, None);
            return;
        }
        self.in_contact_since.get_or_insert(now);
        if !self.is_elected(now, set) {
            (self.preferred_since, self.leader_epoch) = (None, None);
            return;
        }
        let since = *self.preferred_since.get_or_insert(now);
        if self.leader_epoch.is_none() && now.saturating_duration_since(since) >= ELECTION_TIMEOUT {
            self.epoch += 1;
            self.leader_epoch = Some(self.epoch);
        }
    }

    /// Replicas of the set that have been silent for long, while this process was in contact with a majority: one that
    /// was cut off or frozen can't tell.
    pub fn unresponsive(&self, now: Instant, set: &ReplicaSet) -> Vec<ReplicaId> {
        let watched = self.in_contact_for(now, set);
        let silence = |id: &ReplicaId| {
            let silence = self
                .last_received
                .get(id)
                .map_or(watched, |at| now.saturating_duration_since(*at));
            silence.min(watched)
        };
        let others = set
            .current
            .iter()
            .map(|replica| replica.id)
            .filter(|id| Some(*id) != self.own);
        others
            .filter(|id| silence(id) >= UNRESPONSIVE_TIMEOUT)
            .collect()
    }

    /// Whether this process was not running since the last step.
    fn has_paused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_step) > PROCESS_PAUSE
    }

    /// Whether the replica here is the first live one, by its own word and that of a majority.
    fn is_elected(&self, now: Instant, set: &ReplicaSet) -> bool {
        let Some(own) = self.own else { return false };
        let names_own = |replica| {
            replica == own
                || self
                    .contact
                    .is_acknowledged_within(now, replica, LIVE_TIMEOUT)
                    && self.leader_votes.get(&replica) == Some(&own)
        };
        self.preferred_leader(now, set) == Some(own) && set.is_quorum(names_own)
    }

    /// The first live replica, as it is seen here; none out of contact.
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
        let place = |replica: &&Replica| replica.address.parse::<SocketAddr>().ok();
        set.current
            .iter()
            .filter(is_live)
            .min_by_key(place)
            .map(|replica| replica.id)
    }
}
