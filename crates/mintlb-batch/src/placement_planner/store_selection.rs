//! Which stores may get replicas, and which one is the best.

use super::planner::Planner;
use mintlb_common::placement::{ShardAssignment, StoreEntry, StoreId};
use std::time::Duration;

/// A replica without a heartbeat for this time is lost, if its shard can't lose another one.
pub(super) const REPLICA_TIMEOUT: Duration = Duration::from_millis(2000);
/// A store whose first heartbeat is younger than this may be there to replace one that is shutting
/// down.
const NEW_STORE_PERIOD: Duration = Duration::from_secs(60);

impl Planner<'_> {
    /// How many replicas a shard should have.
    pub(super) fn target_replicas(&self) -> usize {
        self.max_replicas().min(self.usable().count())
    }

    /// With 2f + 1 replicas, f + 1 remain after a loss of any f: enough to commit.
    pub(super) fn max_replicas(&self) -> usize {
        2 * self.tolerance + 1
    }

    /// Live stores that are not decommissioned, or all live ones while too few others are left.
    fn usable(&self) -> impl Iterator<Item = &StoreEntry> {
        let stores = self.next.stores.iter();
        stores.filter(|entry| self.snapshot.is_live(entry.id) && !self.can_decommission(entry))
    }

    /// Whether a store is to lose its replicas now: it is decommissioned, and the others are enough
    /// to commit.
    fn can_decommission(&self, entry: &StoreEntry) -> bool {
        entry.decommissioning && self.remaining_stores() > self.tolerance
    }

    /// The number of live stores that are neither decommissioned nor shutting down.
    fn remaining_stores(&self) -> usize {
        let stores = self.next.stores.iter();
        stores
            .filter(|entry| !entry.decommissioning && self.is_available(entry.id))
            .count()
    }

    /// Whether a store is to lose its replicas now, or is not listed at all.
    pub(super) fn is_decommissioning(&self, id: StoreId) -> bool {
        let entry = self.next.store(id);
        entry.is_none_or(|entry| self.can_decommission(entry))
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

    /// The best usable store for one more replica: of the zone with the fewest replicas of the
    /// shard, then with the fewest shards.
    pub(super) fn candidate(&self, shard: usize, replicas: &[StoreId]) -> Option<StoreId> {
        let others = self
            .usable()
            .filter(|entry| !replicas.contains(&entry.id) && !self.snapshot.is_draining(entry.id));
        let best = others.min_by_key(|entry| {
            (
                self.replicas_in_zone(replicas, &entry.zone),
                self.shards_on(entry.id),
                spread(shard, entry.id),
            )
        });
        best.map(|entry| entry.id)
    }

    /// How many of the replicas that stay lie in a zone.
    fn replicas_in_zone(&self, replicas: &[StoreId], zone: &str) -> usize {
        let staying = replicas
            .iter()
            .filter(|id| self.snapshot.is_live(**id) && !self.is_decommissioning(**id));
        let entries = staying.filter_map(|id| self.next.store(*id));
        entries.filter(|entry| entry.zone == zone).count()
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
