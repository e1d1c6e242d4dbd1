//! The table: versions, lifetimes, hashes, snapshots.

use bytes::Bytes;
use mintlb_common::record::Record;
use mintlb_gossip::RecordId;
use mintlb_gossip::record_store::{ApplyOutcome, EXPIRED_RETENTION, RecordStore};
use std::time::Duration;
use tokio::time::Instant;

fn record(key: &str, version: u64, ttl_s: u32) -> Record {
    Record {
        key: key.into(),
        version,
        ttl_s,
        body: Bytes::from_static(b"body"),
    }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn the_higher_version_is_in_force_for_good() {
    let (mut store, now) = (RecordStore::default(), Instant::now());
    assert!(matches!(
        store.apply_local(now, record("a", 2, 0)),
        ApplyOutcome::Applied(_)
    ));
    assert!(matches!(
        store.apply_local(now, record("a", 2, 0)),
        ApplyOutcome::Duplicate
    ));
    assert!(matches!(
        store.apply_local(now, record("a", 1, 0)),
        ApplyOutcome::Stale
    ));
    assert!(matches!(
        store.apply_local(now, record("a", 3, 0)),
        ApplyOutcome::Applied(_)
    ));
    assert_eq!(store.table().get("a").map(|record| record.version), Some(3));
    assert_eq!((store.table().len(), store.table().iter().count()), (1, 1));
}

#[test]
fn the_hash_tells_versions_but_not_the_order_of_receipt() {
    let now = Instant::now();
    let (mut one, mut other) = (RecordStore::default(), RecordStore::default());
    for number in 0..200 {
        one.apply_local(now, record(&format!("key {number}"), 1, 0));
        other.apply_local(now, record(&format!("key {}", 199 - number), 1, 0));
    }
    assert_eq!(one.table().hash(), other.table().hash());
    one.apply_local(now, record("key 7", 2, 0));
    assert_ne!(one.table().hash(), other.table().hash());
    other.apply_local(now, record("key 7", 2, 0));
    assert_eq!(one.table().hash(), other.table().hash());
}

#[test]
fn a_snapshot_stays_as_it_is() {
    let (mut store, now) = (RecordStore::default(), Instant::now());
    store.apply_local(now, record("a", 1, 0));
    let snapshot = store.table().clone();
    store.apply_local(now, record("a", 2, 0));
    store.apply_local(now, record("b", 1, 0));
    assert_eq!(snapshot.get("a").map(|record| record.version), Some(1));
    assert!(snapshot.get("b").is_none() && snapshot.len() == 1);
}

#[test]
fn a_lifetime_ends_and_the_version_is_remembered() {
    let (mut store, start) = (RecordStore::default(), Instant::now());
    let empty = store.table().hash();
    let id = RecordId::of_key("a");
    store.apply_local(start, record("a", 5, 60));
    let frame = store.frame(start + seconds(20), id).unwrap();
    assert_eq!(frame.remaining_ms, 40_000);
    // In the last quarter it is there but handed to nobody and in no digest.
    store.expire(start + seconds(46));
    assert!(store.frame(start + seconds(46), id).is_none());
    assert!(store.table().get("a").is_some());
    assert_eq!(store.table().hash(), empty);
    // Then it is gone, and an older version stays out and is answered by the newer one.
    let end = start + seconds(60);
    store.expire(end);
    assert!(store.table().is_empty());
    assert!(matches!(
        store.apply_local(end, record("a", 4, 0)),
        ApplyOutcome::Stale
    ));
    assert!(matches!(
        store.apply_local(end, record("a", 5, 60)),
        ApplyOutcome::Duplicate
    ));
    assert_eq!(
        store.frame_for_stale_peer(end, id).unwrap().remaining_ms,
        15_000
    );
    assert!(matches!(
        store.apply_local(end, record("a", 6, 0)),
        ApplyOutcome::Applied(_)
    ));
    store.expire(end + seconds(100_000));
    assert_eq!(store.table().get("a").map(|record| record.version), Some(6));
}

#[test]
fn what_was_dropped_is_remembered_for_a_bounded_time() {
    let (mut store, start) = (RecordStore::default(), Instant::now());
    store.apply_local(start, record("a", 5, 60));
    store.expire(start + seconds(60));
    store.expire(start + seconds(59) + EXPIRED_RETENTION);
    assert_eq!(store.version(RecordId::of_key("a")), Some(5));
    store.expire(start + seconds(60) + EXPIRED_RETENTION);
    assert_eq!(store.version(RecordId::of_key("a")), None);
    // A bounded number, too.
    for number in 0..10_000 {
        store.apply_local(start, record(&format!("key {number}"), 1, 1));
    }
    store.expire(start + seconds(2));
    let remembered = (0..10_000).filter(|n| {
        store
            .version(RecordId::of_key(&format!("key {n}")))
            .is_some()
    });
    assert_eq!(remembered.count(), 4096);
}

#[test]
fn a_copy_lives_no_longer_than_its_source() {
    let (mut one, mut other) = (RecordStore::default(), RecordStore::default());
    let start = Instant::now();
    one.apply_local(start, record("a", 1, 60));
    let frame = one
        .frame(start + seconds(30), RecordId::of_key("a"))
        .unwrap();
    other.apply_remote(start + seconds(30), frame).unwrap();
    other.expire(start + seconds(59));
    assert!(other.table().get("a").is_some());
    other.expire(start + seconds(60));
    assert!(other.table().is_empty());
}

#[test]
fn a_key_without_bound_is_refused() {
    let (mut one, mut other) = (RecordStore::default(), RecordStore::default());
    let now = Instant::now();
    let key = "k".repeat(257);
    one.apply_local(now, record(&key, 1, 0));
    let frame = one.frame(now, RecordId::of_key(&key)).unwrap();
    assert!(other.apply_remote(now, frame).is_err());
}
