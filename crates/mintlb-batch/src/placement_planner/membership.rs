//! Changes of the replicas of an active shard: lost and decommissioned ones and those that don't
//! count go, others come.

use super::planner::Planner;
use super::store_selection::REPLICA_TIMEOUT;
use mintlb_common::placement::{ShardAssignment, StoreId};
use std::time::Duration;

/// A replica without a heartbeat for this time is lost, if its shard can lose another one and no
/// store has come since: a machine that comes back soon still has its log.
const REDUNDANT_REPLICA_TIMEOUT: Duration = Duration::from_millis(7000);
/// How many shards' logs one store receives at a time, while no replica is missing.
const MAX_CONCURRENT_FILLS: usize = 4;

/// What a change of a shard's replicas is based on.
struct Membership<'a> {
    replicas: &'a [StoreId],
    /// Live replicas that have caught up.
    in_sync: Vec<StoreId>,
    /// The replica that should go.
    outgoing: Option<StoreId>,
    /// The store that could come in its place.
    candidate: Option<StoreId>,
    /// The store that the shard lacks to survive any two losses.
    missing: Option<StoreId>,
}

impl Planner<'_> {
    /// Lets the replicas survive any two losses, without lost and decommissioned ones, as far as a
    /// write quorum of them stays in sync.
    pub(super) fn change_members(
        &mut self,
        shard: usize,
        assignment: &ShardAssignment,
        caught_up: &[StoreId],
    ) {
        let replicas = &assignment.replicas;
        let in_sync = replicas.iter().copied();
        let membership = Membership {
            replicas,
            in_sync: in_sync
                .filter(|id| self.snapshot.is_live(*id) && caught_up.contains(id))
                .collect(),
            outgoing: self.outgoing_replica(replicas),
            candidate: self.candidate(shard, replicas),
            missing: self.missing_replica(shard, replicas),
        };
        if self.has_to_wait_for_fills(&membership) {
            return;
        }
        let Some(mut members) = self.next_members(shard, &membership) else {
            return;
        };
        self.complete_write_quorum(shard, &mut members);
        if self.lacks_counted(&members) {
            return;
        }
        // Only a replica with the complete log may lead.
        lead_with(&mut members, &membership.in_sync);
        self.change(shard, assignment, members);
    }

    /// Adds the stores without which the replicas could not commit. That happens to replicas that an
    /// earlier release has placed.
    fn complete_write_quorum(&self, shard: usize, members: &mut Vec<StoreId>) {
        while !self.quorums(members).has_write_quorum()
            && members.len() < self.max_replicas()
            && let Some(candidate) = self.candidate(shard, members)
        {
            members.push(candidate);
        }
    }

    /// The replica that should go: one that is lost, else one whose store is to lose its replicas.
    fn outgoing_replica(&self, replicas: &[StoreId]) -> Option<StoreId> {
        let live = replicas.iter().copied();
        let live: Vec<StoreId> = live.filter(|id| self.snapshot.is_live(*id)).collect();
        let can_lose_another = self.can_lose_any(&live);
        let is_lost = |id: &&StoreId| self.is_lost(**id, self.timeout(**id, can_lose_another));
        let lost = replicas.iter().find(is_lost);
        let outgoing = lost.or_else(|| replicas.iter().find(|id| self.is_outgoing(**id)));
        outgoing.copied()
    }

    /// Whether these replicas can commit without any single one of them.
    fn can_lose_any(&self, replicas: &[StoreId]) -> bool {
        let can_commit = |without_one: &[StoreId]| self.quorums(without_one).has_write_quorum();
        replicas
            .iter()
            .all(|id| can_commit(&without(replicas, *id)))
    }

    /// For how long a replica may be unresponsive before it is replaced.
    fn timeout(&self, id: StoreId, can_lose_another: bool) -> Duration {
        if can_lose_another && !self.has_successor(id) {
            REDUNDANT_REPLICA_TIMEOUT
        } else {
            REPLICA_TIMEOUT
        }
    }

    /// Whether the candidate receives enough logs already. A missing replica is replaced at once:
    /// the next loss may come as soon as the new store no longer counts as lost.
    fn has_to_wait_for_fills(&self, membership: &Membership) -> bool {
        let is_outgoing_dead = membership
            .outgoing
            .is_some_and(|id| !self.snapshot.is_live(id));
        let is_missing = is_outgoing_dead || membership.missing.is_some();
        let is_busy = |id: StoreId| self.pending_fills(id) >= MAX_CONCURRENT_FILLS;
        !is_missing && membership.candidate.is_some_and(is_busy)
    }

    /// The next replicas, in any order; `None` if nothing can be changed.
    fn next_members(&self, shard: usize, membership: &Membership) -> Option<Vec<StoreId>> {
        match (membership.outgoing, membership.candidate) {
            (Some(outgoing), Some(candidate)) => {
                self.replace(shard, membership, outgoing, candidate)
            }
            (Some(outgoing), None) => self.remove(membership, outgoing),
            (None, _) => self.resize(membership),
        }
    }

    fn replace(
        &self,
        shard: usize,
        membership: &Membership,
        outgoing: StoreId,
        candidate: StoreId,
    ) -> Option<Vec<StoreId>> {
        // A lost replica is no part of a quorum: beside its successor it would be one more that
        // can't be read.
        if self.keeps_quorum_without(membership, outgoing)
            || self.is_lost(outgoing, REPLICA_TIMEOUT)
        {
            let mut members = without(membership.replicas, outgoing);
            members.push(candidate);
            return Some(members);
        }
        // One more replica for a while, until enough others have caught up.
        let preferred = self.preferred_replicas(shard, membership.replicas).len();
        let has_capacity = membership.replicas.len() <= preferred.max(self.min_write_quorum());
        has_capacity.then(|| with(membership.replicas, candidate))
    }

    /// Without a store to take its place, an unresponsive replica stays, as it may come back. One
    /// that is decommissioned or does not count has to go. So has one whose disk is lost or that has a
    /// successor: it will not come back, and if it stayed, the next loss would leave too few replicas
    /// to read from.
    fn remove(&self, membership: &Membership, outgoing: StoreId) -> Option<Vec<StoreId>> {
        let will_not_return = self.is_outgoing(outgoing)
            || self.is_disk_lost(outgoing)
            || self.has_successor(outgoing);
        let may_go = will_not_return && self.keeps_quorum_without(membership, outgoing);
        may_go.then(|| without(membership.replicas, outgoing))
    }

    /// The number of replicas that any write quorum has at least.
    fn min_write_quorum(&self) -> usize {
        self.policy.tolerance.min_members() / 2 + 1
    }

    fn resize(&self, membership: &Membership) -> Option<Vec<StoreId>> {
        let replicas = membership.replicas;
        if let Some(missing) = membership.missing {
            return Some(with(replicas, missing));
        }
        let surplus = self.surplus(replicas)?;
        let may_go = self.keeps_quorum_without(membership, surplus);
        may_go.then(|| without(replicas, surplus))
    }

    /// A replica without which the shard would survive as much: one that is not live, else the last
    /// such one.
    fn surplus(&self, replicas: &[StoreId]) -> Option<StoreId> {
        if replicas.len() <= self.min_write_quorum() {
            return None;
        }
        let shortfall = self.quorums(replicas).shortfall();
        let is_surplus =
            |id: &&StoreId| self.quorums(&without(replicas, **id)).shortfall() <= shortfall;
        let is_dead = |id: &&StoreId| !self.snapshot.is_live(**id);
        let surplus: Vec<&StoreId> = replicas.iter().filter(is_surplus).collect();
        let dead = surplus.iter().copied().find(is_dead);
        dead.or(surplus.last().copied()).copied()
    }

    /// Whether the replicas in sync without this one are a write quorum: what is committed outlasts
    /// the next loss.
    fn keeps_quorum_without(&self, membership: &Membership, outgoing: StoreId) -> bool {
        let in_sync = without(&membership.in_sync, outgoing);
        self.quorums(&in_sync).has_write_quorum()
    }
}

/// Moves a replica that is in sync to the front: the first one is the primary.
pub(super) fn lead_with(members: &mut [StoreId], in_sync: &[StoreId]) {
    if let Some(rank) = members.iter().position(|id| in_sync.contains(id)) {
        members.swap(0, rank);
    }
}

pub(super) fn without(replicas: &[StoreId], outgoing: StoreId) -> Vec<StoreId> {
    let replicas = replicas.iter().copied();
    replicas.filter(|id| *id != outgoing).collect()
}

fn with(replicas: &[StoreId], candidate: StoreId) -> Vec<StoreId> {
    let mut members = replicas.to_vec();
    members.push(candidate);
    members
}
