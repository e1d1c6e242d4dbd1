//! The lease that proves contact with a majority of the register's replicas; pure.
//!
//! The lease runs from the moment at which an acknowledged message was sent, not from the moment at
//! which its acknowledgement was read, and it is checked whenever it is relied on. So an
//! acknowledgement that lay in a buffer while the process was paused proves nothing, nor does a
//! message from a replica that can't receive ours.

use mintlb_register::replica_set::{ReplicaId, ReplicaSet};
use rustc_hash::FxHashMap;
use std::time::Duration;
use tokio::time::Instant;

/// The time from the sending of an acknowledged message during which it proves contact.
pub const CONTACT_LEASE: Duration = Duration::from_millis(1500);
/// The age at which proofs are forgotten.
const PROOF_RETENTION: Duration = Duration::from_secs(10);

/// The newest proofs of contact.
#[derive(Debug)]
pub struct QuorumContact {
    own: Option<ReplicaId>,
    /// By replica, the sending of the newest message that it has acknowledged.
    acknowledged_at: FxHashMap<ReplicaId, Instant>,
    /// The start of the newest round that a majority of the replica set answered.
    majority_at: Option<Instant>,
}

impl QuorumContact {
    /// No contact is proved yet. `own` is the id of the local replica, if there is one: it needs no
    /// proof.
    pub fn new(own: Option<ReplicaId>) -> QuorumContact {
        QuorumContact {
            own,
            acknowledged_at: FxHashMap::default(),
            majority_at: None,
        }
    }

    /// Records that a replica has acknowledged a message sent at that time.
    pub fn record_acknowledgement(&mut self, replica: ReplicaId, sent_at: Instant) {
        let newest = self
            .acknowledged_at
            .get(&replica)
            .map_or(sent_at, |known| sent_at.max(*known));
        self.acknowledged_at
            .retain(|_, known| newest.saturating_duration_since(*known) < PROOF_RETENTION);
        self.acknowledged_at.insert(replica, newest);
    }

    /// Records that a majority of the replica set has answered a round that started at that time.
    pub fn record_majority_round(&mut self, round_started_at: Instant) {
        self.majority_at = Some(
            self.majority_at
                .map_or(round_started_at, |known| round_started_at.max(known)),
        );
    }

    /// Whether this replica has acknowledged a message sent less than `max_age` ago. The local
    /// replica always has.
    pub fn is_acknowledged_within(
        &self,
        now: Instant,
        replica: ReplicaId,
        max_age: Duration,
    ) -> bool {
        Some(replica) == self.own || is_within(now, self.acknowledged_at.get(&replica), max_age)
    }

    /// Whether the lease is valid now, by this replica set.
    pub fn is_valid(&self, now: Instant, set: &ReplicaSet) -> bool {
        is_within(now, self.majority_at.as_ref(), CONTACT_LEASE)
            || set.is_quorum(|replica| self.is_acknowledged_within(now, replica, CONTACT_LEASE))
    }
}

fn is_within(now: Instant, at: Option<&Instant>, max_age: Duration) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(*at) < max_age)
}
