//! One run of the planner: the next step of each shard.

use super::cluster_snapshot::ClusterSnapshot;
use super::policy::PolicyInForce;
use mintlb_common::placement::{Placement, QuorumRule, ShardAssignment, StoreId};
use mintlb_common::quorum::QuorumSystem;
use std::time::Duration;

/// A primary without a heartbeat for this time is replaced by another replica.
const PRIMARY_TIMEOUT: Duration = Duration::from_millis(1300);
/// A primary that is not active for this time is replaced by another replica.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(3500);

/// The placement as planned so far, and what the plan is based on.
pub(super) struct Planner<'a> {
    pub(super) next: Placement,
    pub(super) snapshot: &'a ClusterSnapshot,
    pub(super) policy: PolicyInForce,
}

impl<'a> Planner<'a> {
    pub(super) fn new(
        next: Placement,
        snapshot: &'a ClusterSnapshot,
        policy: PolicyInForce,
    ) -> Planner<'a> {
        Planner {
            next,
            snapshot,
            policy,
        }
    }

    /// The quorums that these stores would have as the replicas of a shard.
    pub(super) fn quorums(&self, stores: &[StoreId]) -> QuorumSystem {
        self.policy.quorums(&self.next, stores)
    }

    pub(super) fn into_placement(self) -> Placement {
        self.next
    }

    /// Plans the next step of a shard, if it needs one.
    pub(super) fn plan_shard(&mut self, shard: usize) {
        let Some(assignment) = self.next.shards.get(shard).cloned() else {
            return;
        };
        let Some(&primary) = assignment.replicas.first() else {
            return;
        };
        let snapshot = self.snapshot;
        match snapshot.primary_report(shard, &assignment) {
            Some(report) if report.active => {
                self.plan_active(shard, &assignment, primary, &report.caught_up);
            }
            _ => self.plan_inactive(shard, &assignment, primary),
        }
    }

    fn plan_active(
        &mut self,
        shard: usize,
        assignment: &ShardAssignment,
        primary: StoreId,
        caught_up: &[StoreId],
    ) {
        if !assignment.previous.is_empty() {
            let confirmed = &mut self.next.shards[shard];
            confirmed.previous.clear();
            confirmed.previous_rule = None;
            return;
        }
        if self.hand_over(shard, assignment, caught_up) {
            return;
        }
        if self.is_primary_dead(primary) || self.snapshot.is_draining(primary) {
            self.replace_primary(shard, assignment, primary);
        } else {
            self.change_members(shard, assignment, caught_up);
            self.renew_rule(shard, assignment);
        }
    }

    /// Begins another epoch of a shard whose rule has changed, unless it gets one anyway: the first
    /// rule after an upgrade, or another tolerance or domain.
    fn renew_rule(&mut self, shard: usize, assignment: &ShardAssignment) {
        let rule = self.next_rule(assignment, &assignment.replicas);
        let is_planned = self.next.shards[shard].epoch != assignment.epoch;
        if !is_planned && rule.is_some() && rule != assignment.rule {
            self.change(shard, assignment, assignment.replicas.clone());
        }
    }

    fn plan_inactive(&mut self, shard: usize, assignment: &ShardAssignment, primary: StoreId) {
        let inactive_for = self.snapshot.inactive_for(shard, assignment.epoch);
        let is_stuck = inactive_for >= TAKEOVER_TIMEOUT;
        if self.lacks_quorum(assignment) && self.replace_unresponsive(shard, assignment) {
            return;
        }
        if is_stuck && !assignment.previous.is_empty() {
            self.restart_takeover(shard, assignment);
        } else if is_stuck || self.is_primary_dead(primary) {
            self.replace_primary(shard, assignment, primary);
        }
    }

    fn is_primary_dead(&self, primary: StoreId) -> bool {
        self.snapshot.since_heartbeat(primary) >= PRIMARY_TIMEOUT
    }

    /// Makes another live replica the primary; the set of replicas stays. Prefers a replica that
    /// stays, has the log and leads few shards. Does nothing if there is none.
    fn replace_primary(&mut self, shard: usize, assignment: &ShardAssignment, primary: StoreId) {
        let caught_up = self.snapshot.last_caught_up(shard);
        let others = assignment.replicas.iter().skip(1).copied();
        let available = others.filter(|id| self.is_available(*id));
        let chosen = available.min_by_key(|id| {
            let is_behind = !caught_up.contains(id) && !assignment.previous.contains(id);
            (self.is_outgoing(*id), is_behind, self.shards_led_by(*id))
        });
        let Some(chosen) = chosen else { return };
        let replicas = assignment.replicas.iter().copied();
        let rest = replicas.filter(|id| *id != chosen && *id != primary);
        let replicas = [chosen].into_iter().chain(rest).chain([primary]).collect();
        self.change(shard, assignment, replicas);
    }

    /// The rule of the next epoch of a shard with these replicas.
    ///
    /// Replicas of an earlier release, or of former settings, may be stores that don't count. As long
    /// as too few others are there the shard goes on by the rule that it has: by the one of now it could
    /// not commit, and nothing that it holds could be read.
    fn next_rule(&self, assignment: &ShardAssignment, replicas: &[StoreId]) -> Option<QuorumRule> {
        let rule = self.policy.rule(&self.next, replicas)?;
        if !self.lacks_counted(replicas) {
            return Some(rule);
        }
        let former = assignment.rule.as_ref()?;
        let domain = |(position, id): (usize, &StoreId)| {
            let former_position = assignment.replicas.iter().position(|other| other == id);
            let known = former_position.and_then(|position| former.domains.get(position));
            known.unwrap_or(&rule.domains[position]).clone()
        };
        Some(QuorumRule {
            tolerance: former.tolerance,
            domains: replicas.iter().enumerate().map(domain).collect(),
        })
    }

    /// Whether these replicas can't commit because some of them don't count.
    pub(super) fn lacks_counted(&self, replicas: &[StoreId]) -> bool {
        let counts = |id: &StoreId| {
            let entry = self.next.store(*id);
            entry.is_none_or(|entry| self.policy.counts(entry))
        };
        !replicas.iter().all(counts) && !self.quorums(replicas).has_write_quorum()
    }

    /// Begins the next epoch of a shard with these replicas, the primary first.
    pub(super) fn change(
        &mut self,
        shard: usize,
        assignment: &ShardAssignment,
        replicas: Vec<StoreId>,
    ) {
        // The replicas of an epoch without an active primary have acknowledged nothing.
        let is_active = assignment.previous.is_empty();
        let (previous, previous_rule, last_active_epoch) = match is_active {
            true => (
                &assignment.replicas,
                &assignment.rule,
                Some(assignment.epoch),
            ),
            false => (
                &assignment.previous,
                &assignment.previous_rule,
                assignment.last_active_epoch,
            ),
        };
        self.next.shards[shard] = ShardAssignment {
            epoch: assignment.epoch + 1,
            rule: self.next_rule(assignment, &replicas),
            replicas,
            previous: previous.clone(),
            previous_rule: previous_rule.clone(),
            last_active_epoch,
        };
    }
}
