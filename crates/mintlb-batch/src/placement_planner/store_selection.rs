//! Which stores may get replicas, and which one is the best.

use super::planner::Planner;
use mintlb_common::placement::{ShardAssignment, StoreEntry, StoreId};
use std::time::Duration;

/// A replica without a heartbeat for this time is lost, if its shard can't lose another one.
pub(super) const REPLICA_TIMEOUT: Duration = Duration::from_millis(2000);
/// A store whose first heartbeat is younger than this may be there to replace one that is shutting
/// down.
const NEW_STORE_PERIOD: Duration = Duration::from_secs(60);

/// The replicas of a shard at most, for each that the tolerance requires at least: uneven zones and
/// regions may take more than the least.
const MAX_REPLICA_FACTOR: usize = 2;

impl Planner<'_> {
    /// The replicas that a shard should have: the fewest stores that survive any two tolerated losses
    /// or, if there are too few domains, come closest to it. Current replicas are preferred among
    /// equals.
    pub(super) fn preferred_replicas(&self, shard: usize, current: &[StoreId]) -> Vec<StoreId> {
        let limit = self.max_replicas();
        let mut replicas = Vec::new();
        let mut best = (usize::MAX, 0);
        while replicas.len() < limit
            && best.0 > 0
            && let Some(store) = self.best_addition(shard, &replicas, current)
        {
            replicas.push(store);
            let shortfall = self.quorums(&replicas).shortfall();
            if shortfall < best.0 {
                best = (shortfall, replicas.len());
            }
        }
        replicas.truncate(best.1);
        replicas
    }

    /// The first store that the shard lacks to survive any two tolerated losses; `None` if it does, or
    /// no store brings it closer.
    pub(super) fn missing_replica(&self, shard: usize, replicas: &[StoreId]) -> Option<StoreId> {
        let shortfall = self.quorums(replicas).shortfall();
        if shortfall == 0 || replicas.len() >= self.max_replicas() {
            return None;
        }
        let preferred = self.preferred_replicas(shard, replicas);
        let is_better = self.quorums(&preferred).shortfall() < shortfall;
        let missing = preferred.into_iter().find(|id| !replicas.contains(id));
        missing.filter(|_| is_better)
    }

    /// The replicas of a shard at most.
    pub(super) fn max_replicas(&self) -> usize {
        MAX_REPLICA_FACTOR * self.policy.tolerance.min_members() + 1
    }

    /// Live stores that count and are not decommissioned, or all that count while too few others are
    /// left.
    fn usable(&self) -> impl Iterator<Item = &StoreEntry> {
        let stores = self.next.stores.iter();
        stores.filter(|entry| self.snapshot.is_live(entry.id) && !self.is_outgoing_store(entry))
    }

    /// Whether a store is to lose its replicas now: it may be lost at any time, or can be
    /// decommissioned.
    fn is_outgoing_store(&self, entry: &StoreEntry) -> bool {
        !self.policy.counts(entry) || self.can_decommission(entry)
    }

    /// Whether a store is decommissioned, and the others are enough to commit.
    fn can_decommission(&self, entry: &StoreEntry) -> bool {
        entry.decommissioning && self.quorums(&self.remaining_stores()).has_write_quorum()
    }

    /// The live stores that are neither decommissioned nor shutting down.
    fn remaining_stores(&self) -> Vec<StoreId> {
        let stores = self.next.stores.iter();
        stores
            .filter(|entry| !entry.decommissioning && self.is_available(entry.id))
            .map(|entry| entry.id)
            .collect()
    }

    /// Whether a store is to lose its replicas now, or is not listed at all.
    pub(super) fn is_outgoing(&self, id: StoreId) -> bool {
        let entry = self.next.store(id);
        entry.is_none_or(|entry| self.is_outgoing_store(entry))
    }

    /// Whether a store is to be decommissioned but can't be spared yet.
    pub(super) fn is_kept_for_quorum(&self, id: StoreId) -> bool {
        let entry = self.next.store(id);
        entry.is_some_and(|entry| entry.decommissioning && !self.can_decommission(entry))
    }

    /// Whether a store is live and not shutting down.
    pub(super) fn is_available(&self, id: StoreId) -> bool {
        self.snapshot.is_live(id) && !self.snapshot.is_draining(id)
    }

    /// Whether a store is so new that it may replace one that is shutting down.
    pub(super) fn is_new(&self, id: StoreId) -> bool {
        let store = self.snapshot.store(id);
        store.is_some_and(|store| store.since_first_heartbeat < NEW_STORE_PERIOD)
    }

    /// Whether a store's disk is lost.
    pub(super) fn is_disk_lost(&self, id: StoreId) -> bool {
        let entry = self.next.store(id);
        entry.is_none_or(|entry| self.snapshot.is_replaced(entry))
    }

    /// Whether a store's disk is lost, or it has sent no heartbeat for this time.
    pub(super) fn is_lost(&self, id: StoreId, timeout: Duration) -> bool {
        self.is_disk_lost(id) || self.snapshot.since_heartbeat(id) >= timeout
    }

    /// Whether a store will not come back: it has been unresponsive since it began to shut down, or
    /// since before another store came.
    pub(super) fn has_successor(&self, id: StoreId) -> bool {
        let since_heartbeat = self.snapshot.since_heartbeat(id);
        if since_heartbeat < REPLICA_TIMEOUT {
            return false;
        }
        let is_newer = |entry: &StoreEntry| {
            let store = self.snapshot.store(entry.id);
            store.is_some_and(|store| store.since_first_heartbeat <= since_heartbeat)
        };
        self.snapshot.is_draining(id) || self.usable().any(is_newer)
    }

    /// The best usable store for one more replica: of the region, if regions may be lost, and of the
    /// zone with the fewest replicas of the shard, then with the fewest shards.
    pub(super) fn candidate(&self, shard: usize, replicas: &[StoreId]) -> Option<StoreId> {
        let staying = replicas.iter().copied();
        let staying: Vec<StoreId> = staying
            .filter(|id| self.snapshot.is_live(*id) && !self.is_outgoing(*id))
            .collect();
        let others = self
            .usable()
            .filter(|entry| !replicas.contains(&entry.id) && !self.snapshot.is_draining(entry.id));
        self.best_of(others, shard, &staying, &[])
    }

    /// The best usable store besides those chosen. A current replica that is shutting down may come
    /// back; another store in that state is of no use.
    fn best_addition(
        &self,
        shard: usize,
        chosen: &[StoreId],
        current: &[StoreId],
    ) -> Option<StoreId> {
        let others = self.usable().filter(|entry| {
            let id = entry.id;
            !chosen.contains(&id) && (current.contains(&id) || !self.snapshot.is_draining(id))
        });
        self.best_of(others, shard, chosen, current)
    }

    fn best_of<'a>(
        &self,
        stores: impl Iterator<Item = &'a StoreEntry>,
        shard: usize,
        replicas: &[StoreId],
        preferred: &[StoreId],
    ) -> Option<StoreId> {
        let entries = replicas.iter().filter_map(|id| self.next.store(*id));
        let entries: Vec<&StoreEntry> = entries.collect();
        let may_lose_regions = self.policy.tolerance.regions > 0;
        let best = stores.min_by_key(|store| {
            let in_region = |other: &&&StoreEntry| other.region == store.region;
            let in_zone = |other: &&&StoreEntry| other.zone == store.zone;
            let shares_region = entries.iter().filter(in_region).count();
            (
                if may_lose_regions { shares_region } else { 0 },
                entries.iter().filter(in_zone).count(),
                !preferred.contains(&store.id),
                self.shards_on(store.id),
                spread(shard, store.id),
            )
        });
        best.map(|entry| entry.id)
    }

    /// The number of shards that a store has a replica of.
    fn shards_on(&self, id: StoreId) -> usize {
        let shards = self.next.shards.iter();
        shards.filter(|shard| shard.replicas.contains(&id)).count()
    }

    /// The number of shards that a store leads.
    pub(super) fn shards_led_by(&self, id: StoreId) -> usize {
        let shards = self.next.shards.iter();
        shards
            .filter(|shard| shard.replicas.first() == Some(&id))
            .count()
    }

    /// The number of shards whose log a store has yet to be sent.
    pub(super) fn pending_fills(&self, id: StoreId) -> usize {
        let shards = self.next.shards.iter().enumerate();
        shards
            .filter(|(shard, assignment)| self.is_fill_pending(*shard, assignment, id))
            .count()
    }

    fn is_fill_pending(&self, shard: usize, assignment: &ShardAssignment, id: StoreId) -> bool {
        let is_follower = assignment.replicas.iter().skip(1).any(|other| *other == id);
        let report = self.snapshot.primary_report(shard, assignment);
        is_follower && report.is_none_or(|report| !report.caught_up.contains(&id))
    }
}

/// A hash that spreads equally suited stores over the shards.
fn spread(shard: usize, id: StoreId) -> u64 {
    let mixed = (id.0 ^ (shard as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 31)
}
