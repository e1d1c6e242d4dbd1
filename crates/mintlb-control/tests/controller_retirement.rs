//! When the completion of a store's retirement may be reported.

use mintlb_batch::heartbeat::{ShardReport, StoreHeartbeat};
use mintlb_batch::placement_planner::{
    ClusterSnapshot, LIVE_TIMEOUT, PlacementPolicy, StoreStatus,
};
use mintlb_common::placement::{Placement, ShardAssignment, StoreEntry, StoreId};
use mintlb_common::quorum::FaultTolerance;
use mintlb_control::controller::singleton::messages::RetirementStatus;
use mintlb_control::controller::singleton::retirement::progress;
use std::time::Duration;

const POLICY: PlacementPolicy = PlacementPolicy {
    tolerance: FaultTolerance {
        machines: 1,
        zones: 0,
        regions: 0,
    },
    supports_quorum_rules: true,
};

fn entry(id: u64, decommissioning: bool) -> StoreEntry {
    let (node_name, address) = (format!("storage-{id}"), format!("10.0.1.{id}:7662"));
    StoreEntry {
        id: StoreId(id),
        node_name,
        address,
        zone: String::new(),
        decommissioning,
        region: None,
        counts_toward_quorum: None,
    }
}

/// One shard on the stores 2, 3 and 4; store 1 is being retired.
fn placement() -> Placement {
    let shard = ShardAssignment {
        epoch: 4,
        replicas: vec![StoreId(2), StoreId(3), StoreId(4)],
        previous: Vec::new(),
        ..ShardAssignment::default()
    };
    let stores = vec![
        entry(1, true),
        entry(2, false),
        entry(3, false),
        entry(4, false),
    ];
    Placement {
        epoch: 9,
        stores,
        shards: vec![shard],
    }
}

/// The primary of the shard has reported, and sent its last heartbeat this long ago.
fn snapshot(since_heartbeat: Duration) -> ClusterSnapshot {
    let report = ShardReport {
        shard: 0,
        epoch: 4,
        active: true,
        caught_up: vec![StoreId(2), StoreId(3), StoreId(4)],
    };
    let store = |id, shards| StoreStatus {
        heartbeat: StoreHeartbeat {
            id,
            shards,
            ..StoreHeartbeat::default()
        },
        ..StoreStatus::default()
    };
    let primary = StoreStatus {
        since_heartbeat,
        ..store(StoreId(2), vec![report])
    };
    ClusterSnapshot {
        stores: vec![
            primary,
            store(StoreId(3), vec![]),
            store(StoreId(4), vec![]),
        ],
        ..ClusterSnapshot::default()
    }
}

#[test]
fn completion_requires_recent_reports_of_the_primaries() {
    let recent = snapshot(LIVE_TIMEOUT - Duration::from_millis(1));
    assert_eq!(
        progress(&placement(), &recent, "storage-1", &POLICY, true),
        RetirementStatus::Completed
    );
    let stale = snapshot(LIVE_TIMEOUT);
    assert_eq!(
        progress(&placement(), &stale, "storage-1", &POLICY, true),
        RetirementStatus::Unavailable
    );
}

#[test]
fn completion_is_not_reported_just_after_a_partition() {
    let recent = snapshot(Duration::ZERO);
    assert_eq!(
        progress(&placement(), &recent, "storage-1", &POLICY, false),
        RetirementStatus::Unavailable
    );
    assert_eq!(
        progress(&placement(), &recent, "storage-7", &POLICY, false),
        RetirementStatus::NotFound
    );
    assert_eq!(
        progress(
            &placement(),
            &ClusterSnapshot::default(),
            "storage-1",
            &POLICY,
            false
        ),
        RetirementStatus::Running
    );
}
