//! Whether this process is in contact with a majority of the register's replicas; pure.
//!
//! Contact is a lease: it runs from the moment at which a message was sent that was answered since, not from the moment
//! at which the answer was read, and it is checked whenever it is relied on. So an answer that lay in a buffer while
//! the process stood still proves nothing, nor does a message from a replica that does not hear this process.

use mintlb_register::replica_set::{ReplicaId, ReplicaSet};
use rustc_hash::FxHashMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long an answered message proves contact, from its sending.
pub const CONTACT_LEASE: Duration = Duration::from_millis(1500);
/// Proofs older than this are dropped.
const PROOF_RETENTION: Duration = Duration::from_secs(10);

/// The newest proofs of contact.
#[derive(Debug)]
pub struct QuorumContact {
    own: Option<ReplicaId>,
    /// By replica, when the newest message was sent that it is known to have received.
    acknowledged_at: FxHashMap<ReplicaId, Instant>,
    /// When the newest round began that a majority of the set answered.
    majority_at: Option<Instant>,
}

impl QuorumContact {
    /// Nothing is proved yet. `own` is the replica here, if there is one: it needs no proof.
    pub fn new(own: Option<ReplicaId>) -> QuorumContact {
        QuorumContact {
            own,
            acknowledged_at: FxHashMap::default(),
            majority_at: None,
        }
    }

    /// This replica has answered a message that was sent at that time.
    pub fn record_acknowledgement(&mut self, replica: ReplicaId, sent_at: Instant) {
        let newest = self
            .acknowledged_at
            .get(&replica)
            .map_or(sent_at, |known| sent_at.max(*known));
        self.acknowledged_at
            .retain(|_, known| newest.saturating_duration_since(*known) < PROOF_RETENTION);
        self.acknowledged_at.insert(replica, newest);
    }

    /// A majority of the set has answered a round that began at that time.
    pub fn record_majority_round(&mut self, round_started_at: Instant) {
        self.majority_at = Some(
            self.majority_at
                .map_or(round_started_at, |known| round_started_at.max(known)),
        );
    }

    /// Whether this replica is proved to have been reached within that time.
    pub fn is_acknowledged_within(
        &self,
        now: Instant,
        replica: ReplicaId,
        within: Duration,
    ) -> bool {
        Some(replica) == self.own || is_within(now, self.acknowledged_at.get(&replica), within)
    }

    /// Whether the lease holds now, by this set.
    pub fn is_valid(&self, now: Instant, set: &ReplicaSet) -> bool {
        is_within(now, self.majority_at.as_ref(), CONTACT_LEASE)
            || set.is_quorum(|replica| self.is_acknowledged_within(now, replica, CONTACT_LEASE))
    }
}

fn is_within(now: Instant, at: Option<&Instant>, within: Duration) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(*at) < within)
}
