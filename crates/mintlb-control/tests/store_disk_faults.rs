//! The store's file on a disk that is full or loses power: nothing that was committed is lost.

mod faulty_file;
mod store_entries;

use faulty_file::Disk;
use mintlb_batch::replica::DiskWrite;
use mintlb_common::placement::StoreId;
use mintlb_control::store::storage::file::{FILE_NAME, QUARANTINED_FILE};
use mintlb_control::store::storage::{
    DiskError, LoadedShards, LoadedStorage, ShardStorage, ShardWrite,
};
use std::collections::BTreeMap;
use std::path::Path;
use store_entries::{completed_result, put, write};

const SHARD: u32 = 3;
const ID: StoreId = StoreId(77);
/// The identity that a new file would get.
const NEW_ID: StoreId = StoreId(99);

/// Lengths of entries by their indexes.
type EntryLengths = BTreeMap<u64, u64>;

fn entry_lengths(shards: &LoadedShards) -> EntryLengths {
    let entries = shards.get(&SHARD).map(|shard| shard.entries.iter());
    let lengths = entries
        .into_iter()
        .flatten()
        .map(|entry| (entry.index, entry.length));
    lengths.collect()
}

/// Whether the file can't be opened for a reason that may pass.
fn is_unavailable(disk: &Disk, directory: &Path) -> bool {
    match ShardStorage::open_with(disk.opener(), directory, NEW_ID) {
        Err(DiskError::Unavailable(_)) => true,
        Err(other) => panic!("{other:?}"),
        Ok(_) => false,
    }
}

/// Leaves a file as a killed process does: not closed in order.
fn write_unclosed_file(directory: &Path) -> EntryLengths {
    let copy = directory.join("copy");
    let result = completed_result(&[7; 3000]);
    let LoadedStorage { storage, .. } = ShardStorage::open(directory, ID).unwrap();
    storage.commit(&[put(SHARD, 1, result.clone())]).unwrap();
    std::fs::copy(directory.join(FILE_NAME), &copy).unwrap();
    drop(storage);
    std::fs::rename(copy, directory.join(FILE_NAME)).unwrap();
    BTreeMap::from([(1, result.len() as u64)])
}

#[test]
fn a_full_disk_at_startup_does_not_quarantine_the_file() {
    let directory = tempfile::tempdir().unwrap();
    let expected = write_unclosed_file(directory.path());
    let disk = Disk::default();
    disk.set_full(true);
    for _ in 0..3 {
        assert!(is_unavailable(&disk, directory.path()));
        assert!(directory.path().join(FILE_NAME).exists());
        assert!(!directory.path().join(QUARANTINED_FILE).exists());
    }
    disk.set_full(false);
    let LoadedStorage { storage, shards } =
        ShardStorage::open_with(disk.opener(), directory.path(), NEW_ID).unwrap();
    assert_eq!((storage.id(), entry_lengths(&shards)), (ID, expected));
}

#[test]
fn a_file_is_created_once_the_disk_accepts_writes() {
    let directory = tempfile::tempdir().unwrap();
    let disk = Disk::default();
    disk.set_full(true);
    assert!(is_unavailable(&disk, directory.path()));
    disk.set_full(false);
    let LoadedStorage { storage, .. } =
        ShardStorage::open_with(disk.opener(), directory.path(), ID).unwrap();
    assert_eq!(storage.id(), ID);
}

#[test]
fn a_data_directory_that_is_a_file_is_an_error_of_its_own() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("file");
    std::fs::write(&file, []).unwrap();
    let error = ShardStorage::open(&file, ID).err();
    assert!(matches!(error, Some(DiskError::Directory(_))), "{error:?}");
    assert!(!error.unwrap().is_retryable());
}

#[test]
fn reopening_after_a_failed_commit_shows_what_is_durable() {
    let directory = tempfile::tempdir().unwrap();
    let disk = Disk::default();
    let LoadedStorage { storage, .. } =
        ShardStorage::open_with(disk.opener(), directory.path(), ID).unwrap();
    let put = |index: u64| [put(SHARD, index, completed_result(&[index as u8; 9000]))];
    storage.commit(&put(1)).unwrap();
    disk.set_full(true);
    assert!(storage.commit(&put(2)).is_err());
    disk.set_full(false);
    assert!(
        storage.commit(&put(3)).is_err(),
        "the file has to be opened again first"
    );
    storage.close();
    assert!(storage.read(SHARD, &[1]).is_err());
    disk.set_full(true);
    let error = storage.reopen().err();
    assert!(
        matches!(error, Some(DiskError::Unavailable(_))),
        "{error:?}"
    );
    disk.set_full(false);
    let shards = storage.reopen().unwrap();
    assert!(entry_lengths(&shards).into_keys().eq([1]));
    storage.commit(&put(4)).unwrap();
    assert_eq!(storage.read(SHARD, &[1, 2, 3, 4]).unwrap().len(), 2);
}

/// How many bytes of a write survive a power loss.
fn surviving_bytes(random: &mut fastrand::Rng, bytes: usize) -> usize {
    match random.u8(..3) {
        0 => 0,
        1 => bytes,
        _ => random.usize(..=bytes),
    }
}

/// Random writes, applied to `expected` as well.
fn random_writes(random: &mut fastrand::Rng, expected: &mut EntryLengths) -> Vec<ShardWrite> {
    let count = random.u8(1..5);
    let random_write = |_| {
        let index = random.u64(1..10);
        if random.u8(..4) == 0 {
            expected.remove(&index);
            return write(SHARD, DiskWrite::Remove(vec![index]));
        }
        let result = completed_result(&vec![1; random.usize(10..60_000)]);
        expected.insert(index, result.len() as u64);
        put(SHARD, index, result)
    };
    (0..count).map(random_write).collect()
}

#[derive(Debug, Default)]
struct Counts {
    power_losses: u64,
    at_open: u64,
    commits: u64,
    undone: u64,
}

/// Commits at random until the power fails, again and again: also while the file is being opened.
#[test]
fn a_torn_file_is_as_of_its_last_commit() {
    let mut counts = Counts::default();
    for seed in 0..12 {
        let mut random = fastrand::Rng::with_seed(seed);
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join(FILE_NAME);
        let disk = Disk::default();
        drop(ShardStorage::open_with(disk.opener(), directory.path(), ID).unwrap());
        // What was committed, and what is on disk if the commit in progress became durable.
        let (mut committed, mut next) = (EntryLengths::new(), EntryLengths::new());
        for _ in 0..8 {
            disk.fail_after(Some(random.u64(0..80)));
            match ShardStorage::open_with(disk.opener(), directory.path(), NEW_ID) {
                Err(DiskError::Unavailable(_)) => counts.at_open += 1,
                Err(other) => panic!("seed {seed}: {other}"),
                Ok(LoadedStorage { storage, shards }) => {
                    assert_eq!(storage.id(), ID, "seed {seed}");
                    let found = entry_lengths(&shards);
                    assert!(
                        found == committed || found == next,
                        "seed {seed}: {found:?}, not {committed:?} or {next:?}"
                    );
                    counts.undone += u64::from(found != next);
                    (committed, next) = (found.clone(), found);
                    while storage
                        .commit(&random_writes(&mut random, &mut next))
                        .is_ok()
                    {
                        committed.clone_from(&next);
                        counts.commits += 1;
                    }
                    storage.close();
                }
            }
            counts.power_losses += 1;
            let none_survives = random.u8(..4) == 0;
            disk.lose_power(&path, |bytes| match none_survives {
                true => 0,
                false => surviving_bytes(&mut random, bytes),
            });
        }
    }
    println!("{counts:?}");
    assert_eq!(counts.power_losses, 96);
    assert!(counts.at_open > 5, "{counts:?}");
    assert!(counts.commits > 100, "{counts:?}");
    assert!(counts.undone > 20, "{counts:?}");
}
