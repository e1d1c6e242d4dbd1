//! The store's file: committed writes survive a restart, a damaged file is replaced, an old one
//! migrated.

mod store_entries;

use mintlb_batch::entry::Entry;
use mintlb_batch::epoch_history::EpochHistory;
use mintlb_batch::framing;
use mintlb_batch::replica::{DiskWrite, ShardMeta};
use mintlb_common::placement::StoreId;
use mintlb_control::store::storage::file::FILE_NAME;
use mintlb_control::store::storage::{LoadedShards, LoadedStorage, ShardStorage};
use redb::{Database, TableDefinition};
use std::path::Path;
use store_entries::{accepted_job, epoch_start, put, stored, write};

const ID: StoreId = StoreId(77);
/// The identity that a new file would get.
const NEW_ID: StoreId = StoreId(99);

fn open(directory: &Path) -> LoadedStorage {
    ShardStorage::open(directory, ID).unwrap()
}

fn indexes(shards: &LoadedShards, shard: u32) -> Option<Vec<u64>> {
    let entries = &shards.get(&shard)?.entries;
    Some(entries.iter().map(|entry| entry.index).collect())
}

#[test]
fn committed_writes_survive_a_restart() {
    let directory = tempfile::tempdir().unwrap();
    let LoadedStorage { storage, shards } = open(directory.path());
    assert_eq!((storage.id(), shards.len()), (ID, 0));
    let mut log = EpochHistory::default();
    log.extend(4, 2);
    let meta = ShardMeta {
        current_epoch: 3,
        log,
        commit_index: 2,
    };
    let mut puts: Vec<_> = (1..=4).map(|index| put(5, index, epoch_start())).collect();
    puts.extend([put(6, 1, epoch_start()), put(4, 9, epoch_start())]);
    storage.commit(&puts).unwrap();
    storage
        .commit(&[
            write(5, DiskWrite::Truncate(3)),
            write(5, DiskWrite::Remove(vec![2])),
            write(4, DiskWrite::Clear),
        ])
        .unwrap();
    storage
        .commit(&[
            write(5, DiskWrite::Meta(ShardMeta::default())),
            write(5, DiskWrite::Meta(meta.clone())),
        ])
        .unwrap();
    drop(storage);
    let LoadedStorage { storage, shards } = ShardStorage::open(directory.path(), NEW_ID).unwrap();
    assert_eq!(storage.id(), ID, "the identity is drawn once");
    assert_eq!(indexes(&shards, 5), Some(vec![1, 3]));
    assert_eq!(indexes(&shards, 6), Some(vec![1]));
    assert_eq!(indexes(&shards, 4), None);
    assert_eq!(shards[&5].meta, meta);
}

#[test]
fn a_stripped_job_retains_its_header() {
    let directory = tempfile::tempdir().unwrap();
    let LoadedStorage { storage, .. } = open(directory.path());
    let job = accepted_job(&[7; 3000]);
    storage.commit(&[put(0, 1, job.clone())]).unwrap();
    assert_eq!(storage.read(0, &[1, 2]).unwrap(), [stored(1, job.clone())]);
    storage
        .commit(&[write(0, DiskWrite::Strip(vec![1, 2]))])
        .unwrap();
    drop(storage);
    let LoadedStorage { shards, .. } = open(directory.path());
    let loaded = &shards[&0].entries[0];
    let (header, _) = framing::decode::<Entry>(&job).unwrap();
    assert_eq!(loaded.index, 1);
    assert_eq!(loaded.entry, header);
    assert_eq!(loaded.raw_length, 0);
    assert!(loaded.length < 100);
}

#[test]
fn a_damaged_file_is_replaced_under_a_new_identity() {
    let directory = tempfile::tempdir().unwrap();
    drop(open(directory.path()));
    std::fs::write(directory.path().join(FILE_NAME), [1; 20_000]).unwrap();
    let LoadedStorage { storage, shards } = ShardStorage::open(directory.path(), NEW_ID).unwrap();
    assert_eq!((storage.id(), shards.len()), (NEW_ID, 0));
}

#[test]
fn a_file_of_the_first_version_is_migrated() {
    let directory = tempfile::tempdir().unwrap();
    let job = accepted_job(&[5; 40_000]);
    drop(open(directory.path()));
    {
        let legacy: TableDefinition<(u32, u64), &[u8]> = TableDefinition::new("entries");
        let chunks: TableDefinition<(u32, u64, u16), &[u8]> = TableDefinition::new("parts");
        let database = Database::open(directory.path().join(FILE_NAME)).unwrap();
        let transaction = database.begin_write().unwrap();
        transaction.delete_table(chunks).unwrap();
        transaction
            .open_table(legacy)
            .unwrap()
            .insert((2, 9), &job[..])
            .unwrap();
        transaction.commit().unwrap();
    }
    for _ in 0..2 {
        let LoadedStorage { storage, shards } = open(directory.path());
        assert_eq!(storage.id(), ID);
        assert_eq!(shards.keys().next(), Some(&2));
        assert_eq!(indexes(&shards, 2), Some(vec![9]));
        assert_eq!(storage.read(2, &[9]).unwrap(), [stored(9, job.clone())]);
    }
}
