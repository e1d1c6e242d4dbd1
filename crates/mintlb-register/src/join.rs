//! How a replica outside of the replica set joins it: by growth of the set, or in place of a member that
//! doesn't respond.
//!
//! A machine that was replaced at another address leaves a member behind that is gone for good. If its
//! successor joined by growth, the set would need more replies than before while it still counts the dead
//! member, and the next loss could take its majority. So the successor waits until the silence of that
//! member has lasted long enough, and takes its place.

use crate::change::Change;
use crate::replica_set::{Replica, ReplicaId, ReplicaSet, survives_any_two_losses};
use mintlb_common::quorum::FaultTolerance;
use std::time::Duration;

/// The longest time for which a replica puts off its join because a member is silent.
pub const MAX_JOIN_DELAY: Duration = Duration::from_millis(4500);

/// What a replica outside of the set goes by.
#[derive(Clone, Debug)]
pub struct JoinView<'a> {
    /// The newest replica set.
    pub set: &'a ReplicaSet,
    /// The replica.
    pub replica: &'a Replica,
    /// Members that have not responded for so long that they may be replaced.
    pub unresponsive: Vec<ReplicaId>,
    /// Whether a member has not responded lately, or not yet.
    pub has_silent_member: bool,
    /// How long the replica has waited to join.
    pub waited: Duration,
    /// Whether it was a member since its process started. One that was removed in that time does not take
    /// another one's place: two that can't reach each other would replace each other without end.
    pub was_member: bool,
    /// The losses that the set has to go on after.
    pub tolerance: FaultTolerance,
    /// The size of a full set.
    pub max_replicas: usize,
}

impl JoinView<'_> {
    /// The change by which the replica joins now; `None` if it should wait.
    pub fn next_change(&self) -> Option<Change> {
        if self.should_wait() {
            return None;
        }
        Some(Change::AddReplica {
            replica: self.replica.clone(),
            unresponsive: self.unresponsive.clone(),
            tolerance: self.tolerance,
            replaces_in_full_set_only: self.was_member,
            max_replicas: self.max_replicas,
        })
    }

    fn should_wait(&self) -> bool {
        let may_replace =
            !self.was_member && survives_any_two_losses(&self.set.current, &self.tolerance);
        may_replace
            && !self.has_predecessor()
            && self.unresponsive.is_empty()
            && self.has_silent_member
            && self.waited < MAX_JOIN_DELAY
    }

    /// Whether a member has its identity or address: its place is taken at once.
    fn has_predecessor(&self) -> bool {
        self.set
            .current
            .iter()
            .any(|member| member.is_predecessor_of(self.replica))
    }
}
