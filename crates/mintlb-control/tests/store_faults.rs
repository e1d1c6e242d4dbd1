//! The lots' file on a disk that is full or loses power: nothing that was committed is gone.

mod faulty_file;

use bytes::Bytes;
use faulty_file::Disk;
use mintlb_batch::entry::{Entry, ItemState};
use mintlb_batch::framing;
use mintlb_batch::replica::DiskWrite;
use mintlb_control::store::storage::file::{FILE_NAME, QUARANTINED_FILE};
use mintlb_control::store::storage::{DiskError, LoadedShards, ShardStorage, ShardWrite};
use std::collections::BTreeMap;
use std::path::Path;

const SHARD: u32 = 3;

fn write(write: DiskWrite) -> ShardWrite {
    ShardWrite {
        shard: SHARD,
        write,
    }
}

fn result(text: &[u8]) -> Bytes {
    framing::encode(
        &Entry::Result {
            job: 1,
            item: 0,
            state: ItemState::Completed,
        },
        &[text],
    )
}

/// The indexes of the entries with the bytes that each takes.
fn held(shards: &LoadedShards) -> BTreeMap<u64, u64> {
    shards.get(&SHARD).map_or(BTreeMap::new(), |shard| {
        shard
            .entries
            .iter()
            .map(|entry| (entry.index, entry.length))
            .collect()
    })
}

/// A file as a process that was killed leaves it: not closed in order.
fn killed_store(directory: &Path) -> BTreeMap<u64, u64> {
    let copy = directory.join("copy");
    let (disk, _) = ShardStorage::open(directory, 77).unwrap();
    disk.commit(&[write(DiskWrite::Put(1, result(&[7; 3000])))])
        .unwrap();
    std::fs::copy(directory.join(FILE_NAME), &copy).unwrap();
    drop(disk);
    std::fs::rename(copy, directory.join(FILE_NAME)).unwrap();
    BTreeMap::from([(1, result(&[7; 3000]).len() as u64)])
}

#[test]
fn a_full_disk_at_the_start_costs_no_file() {
    let directory = tempfile::tempdir().unwrap();
    let expected = killed_store(directory.path());
    let disk = Disk::default();
    disk.set_full(true);
    for _ in 0..3 {
        let refused = ShardStorage::open_with(disk.opener(), directory.path(), 99);
        assert!(
            matches!(refused, Err(DiskError::Unavailable(_))),
            "{:?}",
            refused.err()
        );
        assert!(directory.path().join(FILE_NAME).exists());
        assert!(!directory.path().join(QUARANTINED_FILE).exists());
    }
    disk.set_full(false);
    let (opened, shards) = ShardStorage::open_with(disk.opener(), directory.path(), 99).unwrap();
    assert_eq!((opened.id(), held(&shards)), (77, expected));
}

#[test]
fn a_store_that_can_not_be_made_yet_is_made_later() {
    let directory = tempfile::tempdir().unwrap();
    let disk = Disk::default();
    disk.set_full(true);
    let refused = ShardStorage::open_with(disk.opener(), directory.path(), 5);
    assert!(
        matches!(refused, Err(DiskError::Unavailable(_))),
        "{:?}",
        refused.err()
    );
    disk.set_full(false);
    let (opened, _) = ShardStorage::open_with(disk.opener(), directory.path(), 6).unwrap();
    assert_eq!(opened.id(), 6);
    drop(opened);
    std::fs::write(directory.path().join("file"), []).unwrap();
    let refused = ShardStorage::open(&directory.path().join("file"), 7);
    assert!(
        matches!(refused, Err(DiskError::Directory(_))),
        "{:?}",
        refused.err()
    );
}

#[test]
fn after_a_failed_commit_the_file_says_what_is_there() {
    let directory = tempfile::tempdir().unwrap();
    let disk = Disk::default();
    let (opened, _) = ShardStorage::open_with(disk.opener(), directory.path(), 77).unwrap();
    let put = |index: u64| [write(DiskWrite::Put(index, result(&[index as u8; 9000])))];
    opened.commit(&put(1)).unwrap();
    disk.set_full(true);
    assert!(opened.commit(&put(2)).is_err());
    disk.set_full(false);
    assert!(
        opened.commit(&put(3)).is_err(),
        "the file has to be opened again first"
    );
    opened.close();
    assert!(opened.read(SHARD, &[1]).is_err());
    disk.set_full(true);
    let refused = opened.reopen();
    assert!(
        matches!(refused, Err(DiskError::Unavailable(_))),
        "{:?}",
        refused.err()
    );
    disk.set_full(false);
    let shards = opened.reopen().unwrap();
    assert_eq!(held(&shards).keys().copied().collect::<Vec<_>>(), [1]);
    opened.commit(&put(4)).unwrap();
    assert_eq!(opened.read(SHARD, &[1, 2, 3, 4]).unwrap().len(), 2);
}

/// What the power loss leaves of a write of so many bytes.
fn kept(random: &mut fastrand::Rng, bytes: usize) -> usize {
    match random.u8(..3) {
        0 => 0,
        1 => bytes,
        _ => random.usize(..=bytes),
    }
}

/// Some changes, which `held` goes through as well.
fn changes(random: &mut fastrand::Rng, held: &mut BTreeMap<u64, u64>) -> Vec<ShardWrite> {
    let count = random.u8(1..5);
    let change = |_| {
        let index = random.u64(1..10);
        if random.u8(..4) == 0 {
            held.remove(&index);
            return write(DiskWrite::Remove(vec![index]));
        }
        let bytes = result(&vec![1; random.usize(10..60_000)]);
        held.insert(index, bytes.len() as u64);
        write(DiskWrite::Put(index, bytes))
    };
    (0..count).map(change).collect()
}

/// Commits at random until the power fails, again and again: also while the file is opened.
#[test]
fn a_torn_file_is_as_of_its_last_commit() {
    let (mut losses, mut at_open, mut commits, mut undone) = (0, 0, 0, 0);
    for seed in 0..12 {
        let mut random = fastrand::Rng::with_seed(seed);
        let directory = tempfile::tempdir().unwrap();
        let path = directory.path().join(FILE_NAME);
        let disk = Disk::default();
        drop(ShardStorage::open_with(disk.opener(), directory.path(), 77).unwrap());
        // What was committed, and what is on disk if the commit under way got there.
        let (mut sure, mut next) = (BTreeMap::new(), BTreeMap::new());
        for _ in 0..8 {
            disk.fail_after(Some(random.u64(0..80)));
            match ShardStorage::open_with(disk.opener(), directory.path(), 99) {
                Err(DiskError::Unavailable(_)) => at_open += 1,
                Err(other) => panic!("seed {seed}: {other}"),
                Ok((opened, shards)) => {
                    assert_eq!(opened.id(), 77, "seed {seed}");
                    let found = held(&shards);
                    assert!(
                        found == sure || found == next,
                        "seed {seed}: {found:?}, not {sure:?} or {next:?}"
                    );
                    undone += u64::from(found != next);
                    (sure, next) = (found.clone(), found);
                    while opened.commit(&changes(&mut random, &mut next)).is_ok() {
                        sure.clone_from(&next);
                        commits += 1;
                    }
                    opened.close();
                }
            }
            losses += 1;
            let none_remains = random.u8(..4) == 0;
            disk.lose_power(&path, |bytes| {
                if none_remains {
                    0
                } else {
                    kept(&mut random, bytes)
                }
            });
        }
    }
    println!(
        "{losses} losses of power, {at_open} of them at opening; {commits} commits, {undone} others undone"
    );
    assert!(losses == 96 && at_open > 5 && commits > 100 && undone > 20);
}
