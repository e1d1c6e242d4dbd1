//! Handover of the replicas of a store that is shutting down.

use super::membership::{lead_with, without};
use super::planner::Planner;
use mintlb_common::placement::{ShardAssignment, StoreId};

impl Planner<'_> {
    /// Moves a replica off a store that is shutting down, while its log can still be read, if its
    /// successor is there. If the successor is a replica already, the set shrinks. Returns whether
    /// the shard was changed: without a successor the store will come back with its disk.
    pub(super) fn hand_over(
        &mut self,
        shard: usize,
        assignment: &ShardAssignment,
        caught_up: &[StoreId],
    ) -> bool {
        let replicas = &assignment.replicas;
        let Some(draining) = replicas.iter().find(|id| self.is_handing_over(**id)) else {
            return false;
        };
        let successor = self
            .candidate(shard, replicas)
            .filter(|id| self.is_new(*id) || self.is_kept_for_quorum(*id));
        let mut members = without(replicas, *draining);
        members.extend(successor);
        let in_sync: Vec<StoreId> = members
            .iter()
            .copied()
            .filter(|id| self.is_available(*id) && caught_up.contains(id))
            .collect();
        let has_new_replica = in_sync.iter().any(|id| self.is_new(*id));
        let may_shrink = self.quorums(&in_sync).has_write_quorum() && has_new_replica;
        if in_sync.is_empty() || successor.is_none() && !may_shrink {
            return false;
        }
        lead_with(&mut members, &in_sync);
        self.change(shard, assignment, members);
        true
    }

    /// Whether a store is shutting down and can still be read. One that is to go anyway is left
    /// to [`Planner::change_members`].
    fn is_handing_over(&self, id: StoreId) -> bool {
        let can_be_read = self.snapshot.is_live(id) && self.snapshot.is_draining(id);
        can_be_read && !self.is_outgoing(id)
    }
}
