//! Quorums of a shard whose replicas are not all in different regions: what completes a commit, a
//! confirmation and a takeover.

mod shard_cluster;

use mintlb_common::placement::QuorumRule;
use mintlb_common::quorum::{FailureDomain, FaultTolerance};
use shard_cluster::ShardCluster;

/// The rule of three replicas in these regions, if a machine or a region may be lost.
fn rule(regions: [&str; 3]) -> Option<QuorumRule> {
    let domain = |region: &str| FailureDomain {
        zone: region.to_string(),
        region: region.to_string(),
        counts_toward_quorum: true,
    };
    Some(QuorumRule {
        tolerance: FaultTolerance {
            machines: 1,
            zones: 0,
            regions: 1,
        },
        domains: regions.map(domain).to_vec(),
    })
}

/// The first and the second store share region a; the first one leads epoch 1 under the rule.
fn two_in_one_region() -> ShardCluster {
    let mut cluster = ShardCluster::new(1, 3, 1);
    cluster.assign(1, &[1, 2, 3], &[]);
    cluster.last_assignment().rule = rule(["a", "a", "b"]);
    cluster.run_until_idle();
    assert!(cluster.is_serving(0));
    cluster
}

#[test]
fn a_commit_waits_for_a_replica_in_another_region() {
    let mut cluster = two_in_one_region();
    cluster.stores[2].partitioned = true;
    cluster.submit(0, "a".to_string(), 1);
    cluster.run_until_idle();
    assert!(cluster.has_job(1, "a"), "both of the region have it");
    assert!(cluster.oracle.accepted.is_empty(), "the region may be lost");
    cluster.stores[2].partitioned = false;
    cluster.tick(std::time::Duration::from_millis(800));
    cluster.run_until_idle();
    assert!(cluster.oracle.accepted.contains_key("a"));
}

#[test]
fn a_replica_of_the_same_region_does_not_confirm_a_primary() {
    let mut cluster = two_in_one_region();
    cluster.stores[2].partitioned = true;
    cluster.tick(std::time::Duration::from_millis(900));
    for _ in 0..3 {
        let now = cluster.now.into();
        assert!(!cluster.replica_mut(0).confirm(now));
        cluster.run_effects(0);
        cluster.run_until_idle();
    }
    cluster.stores[2].partitioned = false;
    cluster.tick(std::time::Duration::from_millis(60));
    let now = cluster.now.into();
    cluster.replica_mut(0).confirm(now);
    cluster.run_effects(0);
    cluster.run_until_idle();
    assert!(cluster.replica_mut(0).confirm(now));
}

/// The region with two of three replicas is lost: the third one has all that was acknowledged.
#[test]
fn the_replica_that_a_lost_region_leaves_is_read_alone() {
    let mut cluster = two_in_one_region();
    cluster.submit(0, "a".to_string(), 1);
    cluster.run_until_idle();
    assert!(cluster.oracle.accepted.contains_key("a"));
    [0, 1].iter().for_each(|store| cluster.wipe(*store));
    for store in [0, 1] {
        cluster.start(store);
    }
    let (first, second) = (cluster.stores[0].id.0, cluster.stores[1].id.0);
    for previous in [&[1, 2, 3][..], &[]] {
        cluster.assign(2, &[3, first, second], previous);
        let assignment = cluster.last_assignment();
        assignment.rule = rule(["b", "a", "a"]);
        assignment.previous_rule = rule(["a", "a", "b"]).filter(|_| !previous.is_empty());
        cluster.run_until_idle();
    }
    assert!(cluster.is_serving(2));
    assert!(cluster.has_job(2, "a") && cluster.has_job(0, "a"));
}

/// An earlier release has committed with any two of the three, perhaps those of one region: the third
/// one alone may lack what was acknowledged.
#[test]
fn a_takeover_after_an_epoch_without_a_rule_reads_by_number() {
    let mut cluster = ShardCluster::of_three();
    cluster.stores[2].partitioned = true;
    cluster.submit(0, "a".to_string(), 1);
    cluster.run_until_idle();
    assert!(cluster.oracle.accepted.contains_key("a"));
    [0, 1]
        .iter()
        .for_each(|store| cluster.stores[*store].partitioned = true);
    cluster.stores[2].partitioned = false;
    cluster.assign(2, &[3, 2, 1], &[1, 2, 3]);
    cluster.last_assignment().rule = rule(["b", "a", "a"]);
    cluster.run_until_idle();
    assert!(!cluster.replica(2).is_primary(), "it may lack something");
    cluster.stores[1].partitioned = false;
    cluster.tick(std::time::Duration::from_millis(300));
    cluster.run_until_idle();
    assert!(cluster.has_job(2, "a"));
    assert!(cluster.is_reported_active(2));
}

/// The third store counts, the others don't.
#[test]
fn replicas_that_do_not_count_complete_no_commit() {
    let mut cluster = ShardCluster::new(1, 4, 1);
    cluster.assign(1, &[1, 2, 3, 4], &[]);
    let domain = |counts| FailureDomain {
        counts_toward_quorum: counts,
        ..FailureDomain::default()
    };
    cluster.last_assignment().rule = Some(QuorumRule {
        tolerance: FaultTolerance::of_machines(1),
        domains: [false, false, true, true].map(domain).to_vec(),
    });
    cluster.run_until_idle();
    assert!(cluster.is_serving(0));
    cluster.stores[3].partitioned = true;
    cluster.submit(0, "a".to_string(), 1);
    cluster.run_until_idle();
    assert!((0..3).all(|store| cluster.has_job(store, "a")));
    assert!(cluster.oracle.accepted.is_empty(), "one that counts has it");
    cluster.stores[3].partitioned = false;
    cluster.tick(std::time::Duration::from_millis(800));
    cluster.run_until_idle();
    assert!(cluster.oracle.accepted.contains_key("a"));
}
