//! Shards without an active primary that can't go on with their replicas.

use super::planner::Planner;
use super::store_selection::REPLICA_TIMEOUT;
use mintlb_common::placement::{ShardAssignment, StoreId};

impl Planner<'_> {
    /// Whether too few replicas are left to commit: the others are unresponsive for long, or their
    /// disks are lost.
    pub(super) fn lacks_quorum(&self, assignment: &ShardAssignment) -> bool {
        let quorums = assignment.quorums(self.policy.tolerance.machines);
        !quorums.is_write_quorum(|id| !self.is_lost(id, REPLICA_TIMEOUT))
    }

    /// Puts live stores in place of unresponsive replicas. Returns whether the shard was changed.
    ///
    /// Any live stores will do: what was acknowledged lies with the previous replicas, or with a
    /// store that has begun a later epoch.
    pub(super) fn replace_unresponsive(
        &mut self,
        shard: usize,
        assignment: &ShardAssignment,
    ) -> bool {
        let count = self.takeover_replicas(shard, assignment);
        let replicas = self.live_replicas(shard, assignment, count);
        if replicas.iter().all(|id| assignment.replicas.contains(id)) {
            return false;
        }
        self.begin_takeover(shard, assignment, replicas, count)
    }

    /// Lets another store take over, as the current primary does not become active.
    pub(super) fn restart_takeover(&mut self, shard: usize, assignment: &ShardAssignment) {
        let count = self.takeover_replicas(shard, assignment);
        let mut replicas = self.live_replicas(shard, assignment, count);
        if replicas.len() > 1 && replicas.first() == assignment.replicas.first() {
            replicas.rotate_left(1);
        }
        self.begin_takeover(shard, assignment, replicas, count);
    }

    /// Replicas that are not live stay as far as there is no other store: they may come back with
    /// their logs.
    fn begin_takeover(
        &mut self,
        shard: usize,
        assignment: &ShardAssignment,
        mut replicas: Vec<StoreId>,
        count: usize,
    ) -> bool {
        append_new(&mut replicas, assignment.replicas.iter().copied(), count);
        let has_live_primary = replicas
            .first()
            .is_some_and(|id| self.snapshot.is_live(*id));
        if has_live_primary {
            self.change(shard, assignment, replicas);
        }
        has_live_primary
    }

    /// How many replicas the shard is to have. It does not shrink while stores are unresponsive.
    fn takeover_replicas(&self, shard: usize, assignment: &ShardAssignment) -> usize {
        let least = self.policy.tolerance.min_members();
        let current = assignment.replicas.len().min(least);
        let preferred = self.preferred_replicas(shard, &assignment.replicas);
        preferred.len().max(current)
    }

    /// Up to `count` live stores: those that may have the shard's log, then others; more if only they
    /// make up a write quorum.
    fn live_replicas(
        &self,
        shard: usize,
        assignment: &ShardAssignment,
        count: usize,
    ) -> Vec<StoreId> {
        let mut replicas = self.live_sources(assignment, count);
        while replicas.len() < count || !self.quorums(&replicas).has_write_quorum() {
            let Some(candidate) = self.candidate(shard, &replicas) else {
                break;
            };
            let mut extended = replicas.clone();
            extended.push(candidate);
            let is_closer =
                self.quorums(&extended).shortfall() < self.quorums(&replicas).shortfall();
            if replicas.len() >= count && !is_closer {
                break;
            }
            replicas = extended;
        }
        replicas
    }

    /// Live stores that may have the shard's log, the surest first.
    fn live_sources(&self, assignment: &ShardAssignment, count: usize) -> Vec<StoreId> {
        let available = |replicas: &[StoreId]| -> Vec<StoreId> {
            let replicas = replicas.iter().copied();
            replicas
                .filter(|id| self.is_available(*id) && !self.is_outgoing(*id))
                .collect()
        };
        let previous = available(&assignment.previous);
        let current = available(&assignment.replicas);
        // With fewer of the previous replicas no quorum of them can be read: then only a replica
        // that has begun the current epoch is sure to have the complete log.
        let quorums = assignment.previous_quorums(self.policy.tolerance.machines);
        let can_read_previous =
            assignment.previous.is_empty() || quorums.is_read_quorum(|id| previous.contains(&id));
        let ordered = if can_read_previous {
            [previous, current]
        } else {
            [current, previous]
        };
        let mut sources = Vec::with_capacity(count);
        append_new(&mut sources, ordered.into_iter().flatten(), count);
        sources
    }
}

/// Appends the ids that are not in `replicas`, until there are `count`.
fn append_new(replicas: &mut Vec<StoreId>, ids: impl IntoIterator<Item = StoreId>, count: usize) {
    for id in ids {
        if replicas.len() < count && !replicas.contains(&id) {
            replicas.push(id);
        }
    }
}
