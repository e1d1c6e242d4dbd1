//! Quotas of routes, see [`mintlb_batch::quota`]: the store as the counter of routes, and as the
//! primary that acquires allowances from a counter.
//!
//! - `acquire`: a primary asks the counter of a route.
//! - `hand_out`: the counter decides, and recalls what is not in use.

mod acquire;
mod hand_out;

pub use acquire::AcquireError;

use hand_out::CounterState;
use rustc_hash::FxHashMap;
use std::hash::Hash;
use std::sync::Arc;
use tokio::sync::Mutex;

/// Maximum number of counters, and of turns, that are kept while nothing uses them. A counter that is
/// dropped begins anew with a recall.
const MAX_UNUSED: usize = 4096;

/// The counter of a route, locked while it decides.
type SharedCounter = Arc<Mutex<CounterState>>;
/// Held by the request for an allowance that is under way.
type Turn = Arc<Mutex<()>>;

/// Quotas at one store.
#[derive(Default)]
pub struct Quotas {
    /// The counters of the routes that this store counts, or counted.
    counters: parking_lot::Mutex<FxHashMap<String, SharedCounter>>,
    /// By shard and route.
    turns: parking_lot::Mutex<FxHashMap<(u32, String), Turn>>,
}

impl Quotas {
    fn counter(&self, route: &str) -> SharedCounter {
        get_or_insert(&mut self.counters.lock(), route.to_string())
    }

    fn turn(&self, shard: u32, route: &str) -> Turn {
        get_or_insert(&mut self.turns.lock(), (shard, route.to_string()))
    }
}

/// The value of a key, made if there is none.
fn get_or_insert<K: Eq + Hash, V: Default>(values: &mut FxHashMap<K, Arc<V>>, key: K) -> Arc<V> {
    if values.len() >= MAX_UNUSED {
        values.retain(|_, value| Arc::strong_count(value) > 1);
    }
    values.entry(key).or_default().clone()
}
