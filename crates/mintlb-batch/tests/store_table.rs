//! What a controller keeps of the stores' heartbeats.

use mintlb_batch::heartbeat::{ShardReport, StoreHeartbeat};
use mintlb_batch::placement_planner::StoreTable;
use mintlb_common::placement::{Placement, StoreId};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

/// The heartbeat of a store that is the active primary of shard 0 in this epoch.
fn primary_heartbeat(id: u64, epoch: u64, caught_up: [u64; 2]) -> StoreHeartbeat {
    let report = ShardReport {
        shard: 0,
        epoch,
        active: true,
        caught_up: caught_up.map(StoreId).to_vec(),
    };
    StoreHeartbeat {
        id: StoreId(id),
        node_name: format!("node-{id}"),
        address: format!("node-{id}:1"),
        zone: "a".to_string(),
        shards: vec![report],
        placement: epoch,
        draining: false,
        region: None,
        counts_toward_quorum: None,
    }
}

/// The former primary is cut off from the other stores but not from this controller, and has not
/// noticed.
#[test]
fn report_of_earlier_epoch_does_not_replace_a_newer_one() {
    let mut table = StoreTable::new(NOW);
    for (heartbeat, expected) in [
        (primary_heartbeat(1, 3, [1, 2]), [1, 2]),
        (primary_heartbeat(2, 4, [2, 3]), [2, 3]),
        (primary_heartbeat(1, 3, [1, 3]), [2, 3]),
        (primary_heartbeat(2, 4, [2, 1]), [2, 1]),
    ] {
        table.record_heartbeat(heartbeat, NOW);
        let snapshot = table.snapshot(&Placement::default(), NOW);
        assert_eq!(snapshot.last_caught_up(0), expected.map(StoreId));
    }
}
