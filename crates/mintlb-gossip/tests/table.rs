//! The table of records: versions, expiry, hashes, snapshots.

use bytes::Bytes;
use mintlb_common::record::Record;
use mintlb_gossip::RecordId;
use mintlb_gossip::message::InvalidFrame;
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

fn version_of(store: &RecordStore, key: &str) -> Option<u64> {
    store.table().get(key).map(|record| record.version)
}

#[test]
fn the_highest_version_wins() {
    let (mut store, now) = (RecordStore::default(), Instant::now());
    let outcome = store.apply_local(now, record("a", 2, 0));
    assert!(matches!(outcome, ApplyOutcome::Applied(_)));
    let outcome = store.apply_local(now, record("a", 2, 0));
    assert!(matches!(outcome, ApplyOutcome::Duplicate));
    let outcome = store.apply_local(now, record("a", 1, 0));
    assert!(matches!(outcome, ApplyOutcome::Stale));
    let outcome = store.apply_local(now, record("a", 3, 0));
    assert!(matches!(outcome, ApplyOutcome::Applied(_)));
    assert_eq!(version_of(&store, "a"), Some(3));
    assert_eq!((store.table().len(), store.table().iter().count()), (1, 1));
}

#[test]
fn the_hash_depends_on_versions_but_not_on_the_order_of_receipt() {
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
fn a_snapshot_does_not_change() {
    let (mut store, now) = (RecordStore::default(), Instant::now());
    store.apply_local(now, record("a", 1, 0));
    let snapshot = store.table().clone();
    store.apply_local(now, record("a", 2, 0));
    store.apply_local(now, record("b", 1, 0));
    assert_eq!(snapshot.get("a").map(|record| record.version), Some(1));
    assert!(snapshot.get("b").is_none() && snapshot.len() == 1);
}

#[test]
fn the_version_of_an_expired_record_is_retained() {
    let (mut store, start) = (RecordStore::default(), Instant::now());
    let empty = store.table().hash();
    let id = RecordId::of_key("a");
    store.apply_local(start, record("a", 5, 60));
    let frame = store.frame(start + seconds(20), id).unwrap();
    assert_eq!(frame.remaining_ms, 40_000);
    // In the last quarter of its time to live it is in the table, but neither sent nor in a digest.
    store.expire(start + seconds(46));
    assert!(store.frame(start + seconds(46), id).is_none());
    assert!(store.table().get("a").is_some());
    assert_eq!(store.table().hash(), empty);
    // After its expiry older versions are stale, and their senders get the newer one.
    let end = start + seconds(60);
    store.expire(end);
    assert!(store.table().is_empty());
    let outcome = store.apply_local(end, record("a", 4, 0));
    assert!(matches!(outcome, ApplyOutcome::Stale));
    let outcome = store.apply_local(end, record("a", 5, 60));
    assert!(matches!(outcome, ApplyOutcome::Duplicate));
    let frame = store.frame_for_stale_peer(end, id).unwrap();
    assert_eq!(frame.remaining_ms, 15_000);
    let outcome = store.apply_local(end, record("a", 6, 0));
    assert!(matches!(outcome, ApplyOutcome::Applied(_)));
    store.expire(end + seconds(100_000));
    assert_eq!(version_of(&store, "a"), Some(6));
}

#[test]
fn expired_records_are_retained_for_a_bounded_time_and_in_a_bounded_number() {
    let (mut store, start) = (RecordStore::default(), Instant::now());
    let id = RecordId::of_key("a");
    store.apply_local(start, record("a", 5, 60));
    store.expire(start + seconds(60));
    store.expire(start + seconds(59) + EXPIRED_RETENTION);
    assert_eq!(store.version(id), Some(5));
    store.expire(start + seconds(60) + EXPIRED_RETENTION);
    assert_eq!(store.version(id), None);
    let keys: Vec<_> = (0..10_000).map(|number| format!("key {number}")).collect();
    for key in &keys {
        store.apply_local(start, record(key, 1, 1));
    }
    store.expire(start + seconds(2));
    let retained = keys
        .iter()
        .filter(|key| store.version(RecordId::of_key(key)).is_some());
    assert_eq!(retained.count(), 4096);
}

#[test]
fn a_replica_expires_no_later_than_its_source() {
    let (mut one, mut other) = (RecordStore::default(), RecordStore::default());
    let start = Instant::now();
    one.apply_local(start, record("a", 1, 60));
    let id = RecordId::of_key("a");
    let frame = one.frame(start + seconds(30), id).unwrap();
    let outcome = other.apply_remote(start + seconds(30), frame);
    assert!(matches!(outcome, Ok(ApplyOutcome::Applied(_))));
    other.expire(start + seconds(59));
    assert!(other.table().get("a").is_some());
    other.expire(start + seconds(60));
    assert!(other.table().is_empty());
}

#[test]
fn a_key_that_is_too_long_is_rejected() {
    let (mut one, mut other) = (RecordStore::default(), RecordStore::default());
    let now = Instant::now();
    let key = "k".repeat(257);
    one.apply_local(now, record(&key, 1, 0));
    let frame = one.frame(now, RecordId::of_key(&key)).unwrap();
    let error = other.apply_remote(now, frame).unwrap_err();
    assert_eq!(error, InvalidFrame::KeyTooLong(257));
}
