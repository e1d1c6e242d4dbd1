//! Quotas of accounts, see [`mintlb_batch::quota`]: the store as the counter of accounts, and as the
//! primary that acquires allowances from a counter.
//!
//! - `acquire`: a primary asks the counter of an account.
//! - `hand_out`: the counter decides, and recalls what is not in use.

mod acquire;
mod hand_out;

pub use acquire::AcquireError;

use hand_out::CounterState;
use mintlb_batch::quota::QuotaAccount;
use mintlb_common::placement::Placement;
use rustc_hash::FxHashMap;
use std::hash::Hash;
use std::sync::Arc;
use tokio::sync::Mutex;

/// Maximum number of counters, and of turns, that are kept while nothing uses them. A counter that is
/// dropped begins anew with a recall.
const MAX_UNUSED: usize = 4096;

/// The counter of an account, locked while it decides.
type SharedCounter = Arc<Mutex<CounterState>>;
/// Held by the request for an allowance that is under way.
type Turn = Arc<Mutex<()>>;

/// Quotas at one store.
#[derive(Default)]
pub struct Quotas {
    /// The counters of the accounts that this store counts, or counted.
    counters: parking_lot::Mutex<FxHashMap<QuotaAccount, SharedCounter>>,
    /// By shard and account.
    turns: parking_lot::Mutex<FxHashMap<(u32, QuotaAccount), Turn>>,
}

impl Quotas {
    fn counter(&self, account: &QuotaAccount) -> SharedCounter {
        get_or_insert(&mut self.counters.lock(), account.clone())
    }

    fn turn(&self, shard: u32, account: &QuotaAccount) -> Turn {
        get_or_insert(&mut self.turns.lock(), (shard, account.clone()))
    }
}

/// The shard whose primary counts an account.
fn shard_of(account: &QuotaAccount) -> u32 {
    Placement::shard_of_account(&account.route, account.tenant.as_deref())
}

/// The value of a key, made if there is none.
fn get_or_insert<K: Eq + Hash, V: Default>(values: &mut FxHashMap<K, Arc<V>>, key: K) -> Arc<V> {
    if values.len() >= MAX_UNUSED {
        values.retain(|_, value| Arc::strong_count(value) > 1);
    }
    values.entry(key).or_default().clone()
}
