//! Capacity of a store's disk: how far its file can grow, what entries take in it, and that results
//! of accepted jobs fit.

mod faulty_file;
mod single_replica;
mod store_entries;

use mintlb_common::placement::StoreId;
use mintlb_control::store::storage::capacity::{fits, max_file_bytes};
use mintlb_control::store::storage::{LoadedStorage, ShardStorage};
use single_replica::{ITEMS, START, SingleReplica};
use store_entries::{accepted_job, put, stored};

/// Entries are written until the file has doubled to this length.
const FILE_BYTES: u64 = 3 << 20;
/// Bytes of the entries of one commit, about.
const COMMIT_BYTES: usize = 100_000;

/// Seen on a disk of 130 MB: a file of 34 MB was expected to reach 130, it reached 68 and the next
/// commit failed.
#[test]
fn a_file_grows_by_doubling_only() {
    let megabytes = |file: u64, disk: u64| max_file_bytes(file << 20, disk << 20) >> 20;
    assert_eq!(megabytes(34, 130), 68);
    assert_eq!(megabytes(68, 130), 68);
    assert_eq!(megabytes(8, 130), 128);
    assert_eq!(megabytes(140, 130), 140);
    assert_eq!(max_file_bytes(0, 0), 1);
}

#[test]
fn chunked_entries_have_little_overhead_at_any_length() {
    for bytes in [30, 900, 1001, 2100, 4300, 9000, 96_000, 300_000] {
        let directory = tempfile::tempdir().unwrap();
        let LoadedStorage { storage, .. } =
            ShardStorage::open(directory.path(), StoreId(77)).unwrap();
        let job = accepted_job(&vec![7; bytes]);
        let (mut index, mut payload_bytes, mut full_file) = (0, 0, 0);
        while storage.file_bytes() < FILE_BYTES {
            // The file is full when it doubles.
            full_file = storage.file_bytes();
            let writes = (0..(COMMIT_BYTES / bytes).max(1)).map(|_| {
                index += 1;
                payload_bytes += bytes as u64;
                put(0, index, job.clone())
            });
            storage.commit(&writes.collect::<Vec<_>>()).unwrap();
        }
        let overhead = full_file as f64 / payload_bytes as f64;
        println!("{bytes} bytes: {overhead:.2}");
        assert!(
            overhead < 1.7 || bytes < 100,
            "{bytes} bytes: {overhead:.2}"
        );
        assert_eq!(storage.read(0, &[1, index]).unwrap()[1], stored(index, job));
    }
}

/// Submits jobs until the store rejects them, then records all of their results: the file never has
/// to exceed its disk.
#[test]
fn results_fit_on_a_disk_that_rejects_further_jobs() {
    const DISK_BYTES: u64 = 12 << 20;
    const ITEM_BYTES: usize = 20_000;
    let directory = tempfile::tempdir().unwrap();
    let mut store = SingleReplica::open(directory.path(), START);
    let has_capacity = |store: &SingleReplica| {
        let jobs = store.replica.jobs();
        let reserved = jobs.bytes() + jobs.expected_result_bytes();
        let job_bytes = (ITEMS * ITEM_BYTES) as u64;
        fits(reserved + job_bytes, store.storage.file_bytes(), DISK_BYTES)
    };
    let mut accepted = 0;
    while has_capacity(&store) {
        accepted += 1;
        store.submit(accepted, ITEM_BYTES);
        // The first result shows how long texts are.
        store.record(accepted, 0, ITEM_BYTES);
        store.run_effects();
    }
    println!("{accepted} jobs accepted: {:?}", store.usage());
    for item in 1..ITEMS as u32 {
        for number in 1..=accepted {
            store.record(number, item, ITEM_BYTES);
            store.run_effects();
        }
    }
    println!("with all results: {:?}", store.usage());
    assert!(accepted >= 12, "{accepted}");
    let file_bytes = store.storage.file_bytes();
    assert!(file_bytes <= DISK_BYTES, "{file_bytes}");
}
