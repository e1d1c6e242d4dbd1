//! The first placement of a new cluster.

use super::cluster_snapshot::ClusterSnapshot;
use super::planner::Planner;
use super::policy::PolicyInForce;
use super::store_status::StoreStatus;
use mintlb_common::placement::{Placement, SHARD_COUNT, ShardAssignment, StoreId};
use std::time::Duration;

/// The first placement is made this long after the first store's first heartbeat,
const MIN_WAIT: Duration = Duration::from_millis(800);
/// and this long after the newest store's first heartbeat, so that stores that start together are
/// all used,
const MIN_WAIT_AFTER_NEWEST: Duration = Duration::from_millis(400);
/// but no later than this after the first store's first heartbeat.
const MAX_WAIT: Duration = Duration::from_millis(2500);

/// Assigns all shards to the live stores; `None` as long as there are too few or more may come.
pub(super) fn plan(
    mut next: Placement,
    snapshot: &ClusterSnapshot,
    policy: PolicyInForce,
) -> Option<Placement> {
    let live: Vec<&StoreStatus> = snapshot.live_stores().collect();
    if !has_waited_enough(&live) {
        return None;
    }
    next.stores = live.iter().map(|store| store.heartbeat.entry()).collect();
    let ids: Vec<StoreId> = next.stores.iter().map(|entry| entry.id).collect();
    if !policy.quorums(&next, &ids).has_write_quorum() {
        return None;
    }
    next.shards = vec![ShardAssignment::default(); SHARD_COUNT as usize];
    let mut planner = Planner::new(next, snapshot, policy);
    for shard in 0..SHARD_COUNT as usize {
        planner.assign(shard);
    }
    Some(planner.into_placement())
}

fn has_waited_enough(live: &[&StoreStatus]) -> bool {
    let known_for = live.iter().map(|store| store.since_first_heartbeat);
    let oldest = known_for.clone().max().unwrap_or_default();
    let newest = known_for.min().unwrap_or_default();
    oldest >= MAX_WAIT || oldest >= MIN_WAIT && newest >= MIN_WAIT_AFTER_NEWEST
}

/// Whether stores have waited for the first placement for the longest time: too few of them count.
pub(super) fn is_overdue(snapshot: &ClusterSnapshot) -> bool {
    snapshot
        .live_stores()
        .any(|store| store.since_first_heartbeat >= MAX_WAIT)
}

impl Planner<'_> {
    /// Assigns a shard that has no replicas yet.
    fn assign(&mut self, shard: usize) {
        let mut replicas = self.preferred_replicas(shard, &[]);
        self.lead_with_least_loaded(shard, &mut replicas);
        self.next.shards[shard] = ShardAssignment {
            epoch: 1,
            rule: self.policy.rule(&self.next, &replicas),
            replicas,
            ..ShardAssignment::default()
        };
    }

    /// Makes the store that leads the fewest other shards the primary.
    fn lead_with_least_loaded(&self, shard: usize, replicas: &mut [StoreId]) {
        let led_elsewhere = |id: StoreId| {
            let shards = self.next.shards.iter().enumerate();
            shards
                .filter(|(other, assignment)| {
                    *other != shard && assignment.replicas.first() == Some(&id)
                })
                .count()
        };
        let least_loaded = (0..replicas.len()).min_by_key(|rank| led_elsewhere(replicas[*rank]));
        if let Some(least_loaded) = least_loaded {
            replicas.swap(0, least_loaded);
        }
    }
}
