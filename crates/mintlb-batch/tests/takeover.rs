//! Takeovers: what replicas wait for before they say something, and which log a new primary adopts.

mod shard_cluster;

use mintlb_batch::messages::{ItemFailures, LeasedItems, RenewResult};
use mintlb_batch::peer::PeerMessage;
use shard_cluster::ShardCluster;
use shard_cluster::requests::name;
use std::time::Duration;

const NO_MESSAGES: Vec<&PeerMessage> = Vec::new();
/// Just below the gap between ticks after which a process counts as suspended.
const LONG_TICK: Duration = Duration::from_millis(900);

/// The first store is lost, and the request for epoch 2 of the second one has reached the third
/// one.
fn requested_epoch() -> ShardCluster {
    let mut cluster = ShardCluster::of_three();
    cluster.stores[0].partitioned = true;
    cluster.assign(2, &[2, 3, 1], &[1, 2, 3]);
    cluster.receive_all_placements(1);
    cluster.deliver_in_flight();
    cluster
}

#[test]
fn an_epoch_is_acknowledged_after_it_is_synced() {
    let mut cluster = requested_epoch();
    assert_eq!(cluster.messages_from(2), NO_MESSAGES);
    cluster.sync(2);
    assert!(matches!(
        cluster.messages_from(2)[..],
        [PeerMessage::EpochAck { .. }]
    ));
}

#[test]
fn an_entered_epoch_survives_a_power_loss() {
    let mut cluster = requested_epoch();
    cluster.sync(2);
    cluster.crash(2);
    cluster.start(2);
    assert_eq!(cluster.replica(2).current_epoch(), 2);
}

#[test]
fn an_entry_is_sent_and_acknowledged_after_it_is_synced() {
    let mut cluster = ShardCluster::of_three();
    cluster.submit(0, "a".to_string(), 1);
    assert_eq!(cluster.messages_from(0), NO_MESSAGES);
    cluster.sync(0);
    assert_eq!(cluster.messages_from(0).len(), 2);
    (0..2).for_each(|_| cluster.deliver(0, false));
    assert_eq!(cluster.messages.len(), 0, "followers wait for their disks");
    assert!(cluster.oracle.accepted.is_empty());
    cluster.sync(2);
    cluster.deliver(0, false);
    assert!(
        cluster.oracle.accepted.contains_key("a"),
        "two of three have it"
    );
}

/// The first store has the longest log, the second and the third have one of a later epoch.
fn longer_log_of_an_older_epoch() -> ShardCluster {
    let mut cluster = ShardCluster::of_three();
    // The old primary appends entries that reach nobody.
    (0..6).for_each(|i| cluster.submit(0, format!("lost{i}"), 1));
    cluster.sync(0);
    cluster.stores[0].partitioned = true;
    cluster.messages.clear();
    cluster.take_over(2, &[2, 3, 1], &[1, 2, 3]);
    cluster.submit(1, "kept".to_string(), 1);
    cluster.run_until_idle();
    assert!(cluster.oracle.accepted.contains_key("kept"));
    let length = |store_index: usize| cluster.replica(store_index).log().last();
    assert!(length(0) > length(2));
    cluster
}

/// One of the first and the third store takes over with the help of the other only.
fn assert_newer_log_wins(replicas: &[u64]) {
    let mut cluster = longer_log_of_an_older_epoch();
    cluster.stores[0].partitioned = false;
    cluster.stores[1].partitioned = true;
    cluster.take_over(3, replicas, &[2, 3, 1]);
    assert!(cluster.is_serving(replicas[0] as usize - 1));
    for store_index in [0, 2] {
        assert!(cluster.has_job(store_index, "kept"));
        assert!(!cluster.has_job(store_index, "lost0"));
    }
    assert_eq!(cluster.queued_tokens(2), 30);
}

#[test]
fn a_follower_truncates_a_longer_log_of_an_older_epoch() {
    assert_newer_log_wins(&[3, 1, 2]);
}

#[test]
fn a_new_primary_truncates_its_longer_log_of_an_older_epoch() {
    assert_newer_log_wins(&[1, 3, 2]);
}

#[test]
fn a_primary_serves_once_the_register_has_confirmed_it() {
    let mut cluster = ShardCluster::of_three();
    cluster.assign(2, &[2, 3, 1], &[1, 2, 3]);
    cluster.run_until_idle();
    let report = cluster.replica(1).report().unwrap();
    assert!(report.active && report.epoch == 2);
    assert!(
        !cluster.is_serving(1),
        "if it is lost now, others read from the previous replicas"
    );
    cluster.assign(2, &[2, 3, 1], &[]);
    cluster.run_until_idle();
    assert!(cluster.is_serving(1));
}

#[test]
fn a_stale_primary_commits_nothing_and_confirms_no_reads() {
    let mut cluster = ShardCluster::of_three();
    cluster.stores[0].partitioned = true;
    cluster.take_over(2, &[2, 3, 1], &[1, 2, 3]);
    assert!(
        cluster.is_serving(0) && cluster.is_serving(1),
        "the old one does not know of the new one"
    );
    cluster.submit(0, "stale".to_string(), 1);
    cluster.submit(1, "new".to_string(), 1);
    cluster.run_until_idle();
    assert_eq!(cluster.oracle.accepted.keys().collect::<Vec<_>>(), ["new"]);
    cluster.now += Duration::from_millis(500);
    let now = cluster.now.into();
    assert!(!cluster.replica_mut(0).confirm(now));
    cluster.stores[0].partitioned = false;
    cluster.run_until_idle();
    assert!(!cluster.is_serving(0));
    // After a response timeout the new primary probes again.
    cluster.tick(Duration::from_millis(800));
    cluster.run_until_idle();
    assert!(!cluster.has_job(0, "stale") && cluster.has_job(0, "new"));
}

/// Leases all items at a store, after its followers have confirmed it; returns how many were leased
/// so far.
fn lease_all(cluster: &mut ShardCluster, store_index: usize) -> u64 {
    cluster.lease(store_index);
    cluster.run_until_idle();
    cluster.lease(store_index);
    cluster.oracle.leases
}

#[test]
fn leases_wait_for_renewals_after_a_takeover() {
    let mut cluster = ShardCluster::of_three();
    cluster.submit(0, "a".to_string(), 2);
    cluster.run_until_idle();
    cluster.stores[0].partitioned = true;
    cluster.take_over(2, &[2, 3, 1], &[1, 2, 3]);
    assert_eq!(lease_all(&mut cluster, 1), 0);
    (0..3).for_each(|_| cluster.tick(LONG_TICK));
    assert_eq!(lease_all(&mut cluster, 1), 0);
    cluster.tick(LONG_TICK);
    assert!(lease_all(&mut cluster, 1) >= 2);
}

#[test]
fn a_suspended_process_does_not_expire_leases() {
    let mut cluster = ShardCluster::of_three();
    cluster.submit(0, "a".to_string(), 2);
    cluster.run_until_idle();
    cluster.tick(Duration::from_secs(10));
    assert_eq!(lease_all(&mut cluster, 0), 0);
}

/// The first two stores are the replicas, and a job is accepted; the third store has nothing.
fn two_of_three() -> ShardCluster {
    let mut cluster = ShardCluster::of_three();
    cluster.take_over(2, &[1, 2], &[1, 2, 3]);
    cluster.submit(0, "kept".to_string(), 1);
    cluster.run_until_idle();
    assert!(cluster.oracle.accepted.contains_key("kept"));
    cluster
}

#[test]
fn a_replica_filled_in_an_abandoned_epoch_takes_over_alone() {
    let mut cluster = two_of_three();
    cluster.stores[1].partitioned = true;
    cluster.assign(3, &[1, 3], &[1, 2]);
    cluster.run_until_idle();
    assert!(cluster.has_job(2, "kept"), "it is filled");
    // The register never learns of it, and the other replica is lost as well.
    cluster.stores[0].partitioned = true;
    cluster.assign_after(4, &[3, 1], &[1, 2], 2);
    cluster.run_until_idle();
    assert!(
        cluster.replica(2).is_primary(),
        "it needs none of the previous ones"
    );
}

#[test]
fn a_complete_log_at_another_replica_is_adopted_without_the_previous_ones() {
    let mut cluster = two_of_three();
    cluster.stores[1].partitioned = true;
    cluster.assign(3, &[1, 3], &[1, 2]);
    cluster.run_until_idle();
    cluster.stores[0].partitioned = true;
    cluster.add_store();
    cluster.assign_after(4, &[4, 3], &[1, 2], 2);
    cluster.run_until_idle();
    assert!(cluster.has_job(3, "kept"));
    assert!(cluster.is_reported_active(3));
}

#[test]
fn an_unconfirmed_epoch_commits_nothing_that_another_takeover_may_contradict() {
    let mut cluster = two_of_three();
    cluster.stores[1].partitioned = true;
    cluster.assign(3, &[1, 3], &[1, 2]);
    cluster.run_until_idle();
    assert!(cluster.is_reported_active(0));
    // The register does not learn of it; the second store takes over by its own log, before it
    // reaches the others.
    for (store, partitioned) in cluster.stores.iter_mut().zip([true, false, true]) {
        store.partitioned = partitioned;
    }
    cluster.assign_after(4, &[2, 3, 1], &[1, 2], 2);
    cluster.run_until_idle();
    assert!(cluster.replica(1).is_primary());
    cluster.stores[0].partitioned = false;
    cluster.stores[2].partitioned = false;
    cluster.tick(Duration::from_millis(800));
    cluster.run_until_idle();
    let ends = [0, 1, 2].map(|store_index| cluster.replica(store_index).log().end());
    assert!(
        ends.iter().all(|end| end.epoch == 4 && *end == ends[0]),
        "{ends:?}"
    );
}

#[test]
fn the_last_active_primary_takes_over_without_other_replicas() {
    let mut cluster = ShardCluster::of_three();
    cluster.submit(0, "kept".to_string(), 1);
    cluster.run_until_idle();
    assert!(cluster.oracle.accepted.contains_key("kept"));
    // Both others are lost for good; a new store joins.
    cluster.stores[1].partitioned = true;
    cluster.stores[2].partitioned = true;
    cluster.add_store();
    cluster.assign(2, &[1, 4], &[1, 2, 3]);
    cluster.run_until_idle();
    assert!(cluster.is_reported_active(0));
    assert!(cluster.has_job(3, "kept"));
}

#[test]
fn a_follower_alone_cannot_take_over() {
    let mut cluster = ShardCluster::of_three();
    cluster.submit(0, "kept".to_string(), 1);
    cluster.run_until_idle();
    cluster.stores[0].partitioned = true;
    cluster.stores[1].partitioned = true;
    cluster.assign(2, &[3, 1], &[1, 2, 3]);
    cluster.run_until_idle();
    assert!(!cluster.replica(2).is_primary(), "the others may have more");
}

#[test]
fn a_lease_reports_the_failed_attempts_of_its_item() {
    let mut cluster = ShardCluster::of_three();
    cluster.submit(0, "a".to_string(), 3);
    cluster.run_until_idle();
    // Before that owners of an earlier primary might renew.
    for _ in 0..4 {
        cluster.tick(LONG_TICK);
        cluster.run_until_idle();
    }
    let now = cluster.now.into();
    let leased = LeasedItems {
        job: name("a"),
        items: vec![0, 1, 2],
        failures: [(1, 2), (7, 1)]
            .map(|(item, attempts)| ItemFailures { item, attempts })
            .to_vec(),
    };
    let mut result = RenewResult::default();
    let replica = cluster.replica_mut(0);
    replica.renew(7, &leased, &mut result, now);
    assert_eq!(result.lost, [], "it owns the items since the submission");
    replica.release(7);
    // The first request has the followers confirm the primary.
    cluster.lease(0);
    cluster.run_until_idle();
    let replica = cluster.replica_mut(0);
    assert!(replica.confirm(now));
    let plans = replica.lease(9, 10, u64::MAX, now);
    let failures: Vec<_> = plans
        .iter()
        .map(|plan| (plan.head.index, plan.head.failures))
        .collect();
    assert_eq!(failures, [(0, 0), (1, 2), (2, 0)]);
}

/// The failed attempts that a lease of all items reports, by item.
fn leased_failures(cluster: &mut ShardCluster, store_index: usize) -> Vec<(u32, u32)> {
    // The first request has the followers confirm the primary.
    cluster.lease(store_index);
    cluster.run_until_idle();
    let now = cluster.now.into();
    let replica = cluster.replica_mut(store_index);
    assert!(replica.confirm(now));
    let plans = replica.lease(9, 10, u64::MAX, now);
    let failures = plans
        .iter()
        .map(|plan| (plan.head.index, plan.head.failures));
    failures.collect()
}

#[test]
fn counts_of_failed_attempts_survive_a_takeover_and_the_loss_of_the_primary() {
    let mut cluster = ShardCluster::of_three();
    cluster.submit(0, "a".to_string(), 3);
    cluster.run_until_idle();
    for (item, attempts) in [(1, 1), (1, 2), (0, 4)] {
        let leased = LeasedItems {
            job: name("a"),
            items: vec![0, 1, 2],
            failures: vec![ItemFailures { item, attempts }],
        };
        let now = cluster.now.into();
        let mut result = RenewResult::default();
        cluster.replica_mut(0).renew(7, &leased, &mut result, now);
        cluster.run_effects(0);
        cluster.run_until_idle();
    }
    cluster.stores[0].partitioned = true;
    cluster.take_over(2, &[2, 3, 1], &[1, 2, 3]);
    // Owners of the earlier primary may renew until then.
    (0..5).for_each(|_| cluster.tick(LONG_TICK));
    let failures = leased_failures(&mut cluster, 1);
    assert_eq!(failures, [(0, 4), (1, 2), (2, 0)]);
}
