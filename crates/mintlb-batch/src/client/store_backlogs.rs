//! How many unleased items each store last reported, to choose the stores that a dispatcher asks
//! for work.

use super::routing::StoreEndpoint;
use crate::messages::DispatcherId;
use mintlb_common::placement::StoreId;
use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::time::Duration;
use tokio::time::Instant;

/// How often a store without unleased items is asked again.
const IDLE_STORE_INTERVAL: Duration = Duration::from_millis(1000);

/// The backlogs of all stores that were asked.
#[derive(Default)]
pub(super) struct StoreBacklogs {
    by_store: Mutex<FxHashMap<StoreId, Backlog>>,
}

#[derive(Clone, Copy)]
struct Backlog {
    reported_at: Instant,
    /// Items that no dispatcher has leased.
    unleased_items: u32,
}

impl StoreBacklogs {
    /// Records what a store has just reported.
    pub(super) fn record(&self, store: StoreId, unleased_items: u32) {
        let backlog = Backlog {
            reported_at: Instant::now(),
            unleased_items,
        };
        self.by_store.lock().insert(store, backlog);
    }

    /// The stores that may have unleased items, those with a reported backlog first. Their order
    /// depends on the owner, so that dispatchers do not all ask the same store first.
    pub(super) fn candidates(
        &self,
        mut stores: Vec<StoreEndpoint>,
        owner: DispatcherId,
    ) -> Vec<StoreEndpoint> {
        let now = Instant::now();
        let mut by_store = self.by_store.lock();
        by_store.retain(|id, _| stores.iter().any(|store| store.id == *id));
        let is_idle = |id: StoreId| {
            by_store.get(&id).is_some_and(|backlog| {
                backlog.unleased_items == 0
                    && now.duration_since(backlog.reported_at) < IDLE_STORE_INTERVAL
            })
        };
        let has_backlog = |id: StoreId| {
            by_store
                .get(&id)
                .is_some_and(|backlog| backlog.unleased_items > 0)
        };
        stores.retain(|store| !is_idle(store.id));
        stores.sort_by_key(|store| {
            let order_of_owner = (store.id.0 ^ owner).rotate_left(17);
            (Reverse(has_backlog(store.id)), order_of_owner)
        });
        stores
    }
}
