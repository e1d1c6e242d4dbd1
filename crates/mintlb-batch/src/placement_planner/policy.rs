//! What placements have to bear, and by what the planner knows where stores run.

use super::cluster_snapshot::ClusterSnapshot;
use mintlb_common::placement::{Placement, QuorumRule, StoreEntry, StoreId};
use mintlb_common::quorum::{FailureDomain, FaultTolerance, QuorumSystem};

/// What placements have to bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementPolicy {
    /// The losses that are tolerated at once.
    pub tolerance: FaultTolerance,
    /// Whether all controllers understand quorum rules. Those of earlier releases drop them from the
    /// placements that they write.
    pub supports_quorum_rules: bool,
}

impl PlacementPolicy {
    /// The policy that holds for these stores.
    ///
    /// Stores of earlier releases don't tell their domains and commit by the number of replicas.
    /// While there are any, all shards are placed by the number of machines alone.
    pub(super) fn in_force(&self, snapshot: &ClusterSnapshot) -> PolicyInForce {
        let mut live = snapshot.live_stores();
        let writes_rules =
            self.supports_quorum_rules && live.all(|store| store.heartbeat.region.is_some());
        PolicyInForce {
            tolerance: match writes_rules {
                true => self.tolerance,
                false => FaultTolerance::of_machines(self.tolerance.machines),
            },
            writes_rules,
        }
    }
}

/// The policy that holds for the stores that are there.
#[derive(Clone, Copy, Debug)]
pub(super) struct PolicyInForce {
    pub(super) tolerance: FaultTolerance,
    /// Whether assignments get a quorum rule, and stores that don't count get no replicas.
    pub(super) writes_rules: bool,
}

impl PolicyInForce {
    /// The quorums that these stores would have as the replicas of a shard.
    pub(super) fn quorums(&self, placement: &Placement, stores: &[StoreId]) -> QuorumSystem {
        QuorumSystem::new(self.tolerance, &self.domains(placement, stores))
    }

    /// The rule of a shard with these replicas.
    pub(super) fn rule(&self, placement: &Placement, replicas: &[StoreId]) -> Option<QuorumRule> {
        self.writes_rules.then(|| QuorumRule {
            tolerance: self.tolerance,
            domains: self.domains(placement, replicas),
        })
    }

    fn domains(&self, placement: &Placement, stores: &[StoreId]) -> Vec<FailureDomain> {
        let stores = stores.iter().map(|id| self.domain(placement.store(*id)));
        stores.collect()
    }

    /// Where a store runs. Stores that don't tell share one unknown region.
    fn domain(&self, entry: Option<&StoreEntry>) -> FailureDomain {
        let zone = entry.map(|entry| entry.zone.clone());
        let region = entry.and_then(|entry| entry.region.clone());
        FailureDomain {
            zone: zone.unwrap_or_default(),
            region: region.unwrap_or_default(),
            counts_toward_quorum: entry.is_none_or(|entry| self.counts(entry)),
        }
    }

    /// Whether a store counts under this policy. Without rules all do, as in earlier releases.
    pub(super) fn counts(&self, entry: &StoreEntry) -> bool {
        entry.counts() || !self.writes_rules
    }
}
