//! Drains and ends of workers on the replicas' disks: what was acknowledged outlasts a power loss of
//! all processes, and what is not on the disks of a quorum is not acknowledged.

mod builders;
mod controllers;
mod faulty_disk;

use axum::http::{Method, StatusCode};
use builders::{heartbeat_text, worker};
use controllers::{Cluster, TEST_TIMEOUT};
use faulty_disk::{FaultyDisk, Mode};
use mintlb_common::record::{WorkerRecord, WorkerState};
use mintlb_control::controller::register::acceptor_storage::{AcceptorStorage, FILE};
use mintlb_control::controller::register::replica_core::NotDurable;
use mintlb_control::controller::register::stopped_workers::{
    MAX_STOPPED_WORKERS, RETENTION, StoppedWorker, StoppedWorkers,
};
use mintlb_register::replica_set::ReplicaId;
use redb::{Database, TableDefinition};
use std::time::{Duration, Instant};

/// The replica in tests of one disk.
const ID: u64 = 7;

fn draining(id: &str, call_sequence: u64, stored_at_ms: u64) -> StoppedWorker {
    StoppedWorker {
        record: worker(id, call_sequence, WorkerState::Draining),
        stored_at_ms,
    }
}

fn ended(id: &str, stored_at_ms: u64) -> StoppedWorker {
    StoppedWorker {
        record: worker(id, 0, WorkerState::Deregistered),
        stored_at_ms,
    }
}

#[test]
fn an_older_record_never_replaces_a_newer_one() {
    let mut workers = StoppedWorkers::default();
    assert!(workers.insert(draining("i-1", 5, 100)).is_some());
    assert_eq!(workers.insert(draining("i-1", 5, 200)), None);
    assert_eq!(workers.insert(draining("i-1", 4, 300)), None);
    let end = workers.insert(ended("i-1", 400)).unwrap();
    assert_eq!((end.stored, end.evicted), (ended("i-1", 400), Vec::new()));
    assert_eq!(workers.insert(draining("i-1", 9, 500)), None);
    assert_eq!(workers.iter().collect::<Vec<_>>(), [&ended("i-1", 400)]);
}

#[test]
fn the_oldest_entries_are_evicted_beyond_the_bound() {
    let mut workers = StoppedWorkers::default();
    let mut evicted = Vec::new();
    for number in 0..2 * MAX_STOPPED_WORKERS as u64 {
        let change = workers
            .insert(draining(&format!("i-{number}"), 1, number))
            .unwrap();
        evicted.extend(change.evicted);
        assert!(workers.iter().count() <= MAX_STOPPED_WORKERS);
    }
    let newest_evicted = evicted.len() as u64;
    assert!((0..newest_evicted).all(|number| evicted.contains(&format!("i-{number}"))));
    assert_eq!(
        workers.iter().map(|worker| worker.stored_at_ms).min(),
        Some(newest_evicted)
    );
}

#[test]
fn an_entry_is_retained_for_its_time_also_if_the_clock_was_set_back() {
    let retention_ms = RETENTION.as_millis() as u64;
    let stored = draining("i-1", 1, 1_000_000);
    assert!(stored.is_retained(1_000_000 + retention_ms - 1));
    assert!(!stored.is_retained(1_000_000 + retention_ms));
    assert!(stored.is_retained(0));
}

/// Stores a worker and waits for the disk.
fn store(storage: &AcceptorStorage, stopped: StoppedWorker) -> Result<(), NotDurable> {
    let stored = storage.store_stopped_worker(stopped).blocking_recv();
    stored.unwrap().map(|_| ())
}

fn stored_ids(storage: &AcceptorStorage) -> Vec<String> {
    let workers = storage.stopped_workers();
    let ids = workers
        .iter()
        .map(|worker| worker.record.instance_id.clone());
    let mut ids: Vec<_> = ids.collect();
    ids.sort();
    ids
}

#[test]
fn a_stored_worker_survives_a_power_loss() {
    let disk = FaultyDisk::with_replica(ID);
    let before = AcceptorStorage::start(disk.opener()).unwrap().storage;
    assert_eq!(store(&before, draining("i-1", 5, 1)), Ok(()));
    assert_eq!(store(&before, ended("i-1", 2)), Ok(()));
    assert_eq!(store(&before, draining("i-2", 5, 3)), Ok(()));
    disk.lose_power();
    // The process is gone with the power; what it would still write goes nowhere.
    disk.set_mode(Mode::Full);
    before.close();
    disk.lose_power();
    disk.set_mode(Mode::Good);
    let after = AcceptorStorage::start(disk.opener()).unwrap().storage;
    assert_eq!(stored_ids(&after), ["i-1", "i-2"]);
    let is_ended = |worker: &StoppedWorker| worker.record.state == WorkerState::Deregistered;
    assert_eq!(
        after
            .stopped_workers()
            .iter()
            .filter(|worker| is_ended(worker))
            .count(),
        1,
        "the end replaced the drain"
    );
}

#[test]
fn a_worker_whose_sync_failed_is_neither_confirmed_nor_known_afterwards() {
    let disk = FaultyDisk::with_replica(ID);
    let storage = AcceptorStorage::start(disk.opener()).unwrap().storage;
    assert_eq!(store(&storage, draining("i-1", 5, 1)), Ok(()));
    disk.set_mode(Mode::Full);
    let failed = store(&storage, draining("i-2", 5, 2));
    assert_eq!(failed, Err(NotDurable::DiskFailed));
    disk.set_mode(Mode::Good);
    let until = Instant::now() + TEST_TIMEOUT;
    while store(&storage, draining("i-3", 5, 3)).is_err() {
        assert!(Instant::now() < until, "the disk does not recover");
        std::thread::yield_now();
    }
    assert_eq!(
        stored_ids(&storage),
        ["i-1", "i-3"],
        "the same worker has to be stored anew"
    );
    assert_eq!(store(&storage, draining("i-2", 5, 2)), Ok(()));
}

#[test]
fn drains_of_a_whole_release_share_their_syncs() {
    let disk = FaultyDisk::with_replica(ID);
    let storage = AcceptorStorage::start(disk.opener()).unwrap().storage;
    disk.set_mode(Mode::Hangs);
    let first = storage.store_stopped_worker(draining("i-first", 1, 1));
    disk.wait_until_it_hangs();
    let syncs = disk.syncs();
    let others: Vec<_> = (0..250)
        .map(|number| storage.store_stopped_worker(draining(&format!("i-{number}"), 1, 1)))
        .collect();
    disk.set_mode(Mode::Good);
    for stored in std::iter::once(first).chain(others) {
        assert!(stored.blocking_recv().unwrap().is_ok());
    }
    let syncs = disk.syncs() - syncs;
    println!(
        "251 drains, {syncs} syncs of the file, {} bytes at its largest",
        disk.max_length()
    );
    assert!(syncs <= 4, "{syncs} syncs");
}

/// An entry as a later release may write it: of a state that this one does not know.
fn entry_of_a_later_release() -> Vec<u8> {
    const LATER_STATE: u32 = 9;
    let mut bytes = Vec::new();
    let mut encoder = minicbor::Encoder::new(&mut bytes);
    encoder.array(2).unwrap().array(8).unwrap();
    for text in ["i-1", "s", "10.1.0.1:80", "z"] {
        encoder.str(text).unwrap();
    }
    encoder.u32(4).unwrap().u32(LATER_STATE).unwrap();
    encoder.u64(1).unwrap().u64(0).unwrap().u64(5).unwrap();
    bytes
}

#[test]
fn an_entry_of_a_later_release_is_named_and_the_file_is_left_as_it_is() {
    let folder = tempfile::tempdir().unwrap();
    drop(AcceptorStorage::open(folder.path(), ReplicaId(ID)).unwrap());
    let path = folder.path().join(FILE);
    {
        let database = Database::open(&path).unwrap();
        let transaction = database.begin_write().unwrap();
        let table = TableDefinition::<&str, &[u8]>::new("stopped_workers");
        transaction
            .open_table(table)
            .unwrap()
            .insert("i-1", &*entry_of_a_later_release())
            .unwrap();
        transaction.commit().unwrap();
    }
    for _ in 0..2 {
        let Err(error) = AcceptorStorage::open(folder.path(), ReplicaId(99)) else {
            panic!("it was opened");
        };
        let text = error.to_string();
        assert!(text.starts_with("M437"), "{text}");
        assert!(text.contains("stopped worker i-1"), "{text}");
        assert!(!error.is_damage());
    }
    assert!(path.exists());
    assert!(!folder.path().join("register.redb.unreadable").exists());
}

fn put(cluster: &Cluster, index: usize, id: &str, body: &str) -> (StatusCode, String) {
    cluster.call(
        index,
        Method::PUT,
        &format!("/v1/instances/{id}"),
        None,
        body,
    )
}

/// Repeats a worker's call under new sequence numbers until it is acknowledged, as a worker does.
fn acknowledged_drain(cluster: &Cluster, index: usize, id: &str) {
    let until = Instant::now() + TEST_TIMEOUT;
    for sequence in 10.. {
        let (status, text) = put(cluster, index, id, &heartbeat_text("draining", sequence));
        if status == StatusCode::OK {
            return;
        }
        assert!(Instant::now() < until, "{status}: {text}");
    }
}

fn wait_for_state(cluster: &Cluster, index: usize, id: &str, state: WorkerState) {
    let key = format!("worker/{id}");
    cluster.wait_for_record(index, move |record| {
        let worker = minicbor::decode::<WorkerRecord>(&record.body).ok();
        record.key == key && worker.is_some_and(|worker| worker.state == state)
    });
}

#[test]
fn an_acknowledged_drain_outlasts_a_power_loss_of_all_and_a_lost_disk() {
    for lost in 0..3 {
        let mut cluster = Cluster::of_size(3);
        let (status, text) = put(&cluster, 0, "i-1", &heartbeat_text("in_service", 1));
        assert_eq!(status, StatusCode::OK, "{text}");
        acknowledged_drain(&cluster, 0, "i-1");
        acknowledged_drain(&cluster, 1, "i-2");
        let (status, text) = cluster.call(1, Method::DELETE, "/v1/instances/i-2", None, "");
        assert_eq!(status, StatusCode::OK, "{text}");
        (0..3).for_each(|index| cluster.kill(index));
        cluster.lose_disk(lost);
        (0..3).for_each(|index| cluster.restart(index));
        for index in 0..3 {
            wait_for_state(&cluster, index, "i-1", WorkerState::Draining);
            wait_for_state(&cluster, index, "i-2", WorkerState::Deregistered);
        }
        // A late heartbeat from before the drain.
        put(&cluster, 0, "i-1", &heartbeat_text("in_service", 2));
        let known = cluster.at(0).workers.published_record("i-1").unwrap();
        assert_eq!(known.state, WorkerState::Draining);
    }
}

#[test]
fn a_replica_that_joins_later_stores_what_the_others_know() {
    let mut cluster = Cluster::of_size(3);
    acknowledged_drain(&cluster, 0, "i-1");
    cluster.kill(2);
    cluster.lose_disk(2);
    cluster.restart(2);
    cluster.wait_for_set(2, 3, |_| true);
    wait_for_state(&cluster, 2, "i-1", WorkerState::Draining);
    let replica = cluster.at(2).register.replica().unwrap().clone();
    let stored = replica.retained_stopped_workers();
    assert_eq!(stored.len(), 1);
    assert_eq!(stored[0].instance_id, "i-1");
    // Of those that acknowledged it only one is left.
    (0..3).for_each(|index| cluster.kill(index));
    drop(replica);
    cluster.lose_disk(0);
    cluster.restart(2);
    wait_for_state(&cluster, 2, "i-1", WorkerState::Draining);
}

#[test]
fn a_drain_on_the_disks_of_a_minority_is_not_acknowledged() {
    let mut cluster = Cluster::with_disks(&[true, true, true, false]);
    acknowledged_drain(&cluster, 0, "i-1");
    cluster.kill(1);
    cluster.kill(2);
    // Within the lease, and the controller without a disk confirms the record.
    let (status, text) = put(&cluster, 0, "i-2", &heartbeat_text("draining", 1));
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(text.starts_with("M446"), "{text}");
    let (status, text) = cluster.call(3, Method::DELETE, "/v1/instances/i-3", None, "");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(
        text.starts_with("M446") || text.starts_with("M444"),
        "{text}"
    );
    cluster.restart(1);
    acknowledged_drain(&cluster, 0, "i-2");
}

#[test]
fn a_drain_waits_for_as_many_replicas_as_the_tolerated_losses_require() {
    let cluster = Cluster::with_disks(&[true, false, false]);
    let until = Instant::now() + Duration::from_millis(1500);
    while Instant::now() < until {
        let (status, text) = put(&cluster, 0, "i-1", &heartbeat_text("draining", 1));
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        let is_expected = ["M405", "M444", "M445"].iter().any(|n| text.starts_with(n));
        assert!(is_expected, "{text}");
        if text.starts_with("M405") {
            return;
        }
    }
    panic!("never M405");
}
