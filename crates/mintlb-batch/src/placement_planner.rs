//! Planner of the placement of shards on stores.
//!
//! The planner is pure: the current placement and a [`ClusterSnapshot`] go in, the next placement
//! comes out. The controller that leads runs it repeatedly and writes its result into the register.
//!
//! A shard has as few replicas as survive any two tolerated losses: after the first one, the others
//! can still commit what outlasts the second. They lie in different regions and zones as far as
//! there are enough. Each assignment holds the rule of its quorums ([`mintlb_common::quorum`]).
//!
//! A shard is changed one step at a time. A change names the former replicas as `previous`. The new
//! primary reads their logs and reports that it is active; then `previous` is cleared, and the next
//! change may follow. Thus an acknowledged entry always lies at a quorum of either the previous or
//! the current replicas.

mod cluster_snapshot;
mod decommission;
mod handover;
mod initial_placement;
mod membership;
mod planner;
mod policy;
mod protection;
mod shard_activity;
mod store_list;
mod store_selection;
mod store_status;
mod store_table;
mod takeover;

pub use cluster_snapshot::{ClusterSnapshot, LIVE_TIMEOUT};
pub use decommission::{
    DecommissionError, DecommissionStart, DecommissionStatus, decommission_status,
    start_decommission,
};
pub use policy::PlacementPolicy;
pub use protection::{Protection, protection};
pub use shard_activity::ShardInactivity;
pub use store_status::StoreStatus;
pub use store_table::StoreTable;

use mintlb_common::placement::Placement;
use planner::Planner;

/// The next placement, or `None` if nothing has to change.
pub fn plan(
    current: &Placement,
    snapshot: &ClusterSnapshot,
    policy: &PlacementPolicy,
) -> Option<Placement> {
    let policy = policy.in_force(snapshot);
    let mut next = Placement {
        epoch: current.epoch + 1,
        ..current.clone()
    };
    if current.shards.is_empty() {
        return initial_placement::plan(next, snapshot, policy);
    }
    store_list::update(&mut next, snapshot);
    let mut planner = Planner::new(next, snapshot, policy);
    for shard in 0..current.shards.len() {
        planner.plan_shard(shard);
    }
    let next = planner.into_placement();
    let is_changed = next.stores != current.stores || next.shards != current.shards;
    is_changed.then_some(next)
}
