//! How well the shards of a placement are protected against the losses that are tolerated.

use super::cluster_snapshot::ClusterSnapshot;
use super::initial_placement;
use super::policy::PlacementPolicy;
use mintlb_common::placement::{Placement, SHARD_COUNT, ShardAssignment};

/// The number of shards by what their replicas lack.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Protection {
    /// Shards whose replicas can't commit: they make up no write quorum. All shards if none is placed,
    /// although stores have been there for long enough.
    pub without_write_quorum: usize,
    /// Shards that can commit, but would stop at the second of two tolerated losses.
    pub stopped_by_second_loss: usize,
    /// Shards that go by the number of their replicas alone, as in earlier releases.
    pub without_rule: usize,
}

impl Protection {
    /// Whether all shards have what the policy asks for.
    pub fn is_complete(&self) -> bool {
        *self == Protection::default()
    }
}

/// How well the shards are protected by their live replicas and those that are expected back.
pub fn protection(
    placement: &Placement,
    snapshot: &ClusterSnapshot,
    policy: &PlacementPolicy,
) -> Protection {
    let in_force = policy.in_force(snapshot);
    let mut protection = Protection::default();
    if placement.shards.is_empty() && initial_placement::is_overdue(snapshot) {
        protection.without_write_quorum = SHARD_COUNT as usize;
    }
    for assignment in &placement.shards {
        let ShardAssignment { replicas, rule, .. } = assignment;
        let quorums = in_force.quorums(placement, replicas);
        if rule.is_none() {
            protection.without_rule += 1;
        } else if !quorums.has_write_quorum() {
            protection.without_write_quorum += 1;
        } else if !quorums.survives_any_two_losses() {
            protection.stopped_by_second_loss += 1;
        }
    }
    protection
}
