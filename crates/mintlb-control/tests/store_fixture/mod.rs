//! The writes that produced the fixture `tests/fixtures/store/lots.redb`, and a store's file as
//! text.

use bytes::Bytes;
use mintlb_batch::entry::{Entry, ItemHeader, ItemState, JobHeader, JobTerms};
use mintlb_batch::epoch_history::EpochHistory;
use mintlb_batch::framing;
use mintlb_batch::replica::{DiskWrite, Effect, Replica, ReplicaSettings, ShardMeta};
use mintlb_batch::timestamp::Timestamp;
use mintlb_common::placement::StoreId;
use mintlb_control::store::storage::{LoadedShards, LoadedStorage, ShardStorage, ShardWrite};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The identity of the fixture's store.
pub const IDENTITY: StoreId = StoreId(0x1122_3344_5566_7788);
/// How long its jobs are readable after they were sent.
const RESULT_RETENTION: Duration = Duration::from_secs(30);

/// A path under `tests/fixtures`.
pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// A text under `tests/fixtures`.
pub fn text(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap()
}

/// A replica with the state of a shard in the file.
pub fn replica(shards: &mut LoadedShards, shard: u32) -> Replica {
    let loaded = shards.remove(&shard).unwrap();
    let settings = ReplicaSettings {
        store_id: IDENTITY,
        tolerance: 1,
        result_retention: RESULT_RETENTION,
    };
    Replica::load(
        shard,
        settings,
        loaded.meta,
        loaded.entries.into_iter(),
        Timestamp::ZERO,
    )
}

/// Writes the fixture's file into a directory: shard 5 with an open, a finished and an ended job,
/// whose payloads the sweep has reclaimed; shard 63 with an entry longer than a chunk, and a
/// compacted start.
pub fn write_file(directory: &Path) {
    let LoadedStorage { storage, .. } = ShardStorage::open(directory, IDENTITY).unwrap();
    let puts = |shard: u32, entries: Vec<Bytes>| {
        let rows = (1..).zip(entries).map(|(index, bytes)| ShardWrite {
            shard,
            write: DiskWrite::Put(index, bytes),
        });
        storage.commit(&rows.collect::<Vec<_>>()).unwrap();
    };
    let meta = |shard: u32, runs: &[(u64, u64)], current_epoch: u64, commit_index: u64| {
        let mut log = EpochHistory::default();
        runs.iter()
            .for_each(|(through, epoch)| log.extend(*through, *epoch));
        let meta = ShardMeta {
            current_epoch,
            log,
            commit_index,
        };
        let write = DiskWrite::Meta(meta);
        storage.commit(&[ShardWrite { shard, write }]).unwrap();
    };
    let five = vec![
        epoch_start(),
        job("open", &[40, 1500, 7]),
        job("finished", &[11, 12]),
        result(2, 1, ItemState::Completed, 2100),
        result(3, 1, ItemState::Unrecoverable, 20),
        epoch_start(),
        result(3, 0, ItemState::Completed, 30),
        job("ended", &[5, 6]),
        // One byte more than a chunk takes.
        result(8, 1, ItemState::Completed, 995),
        framing::encode(&Entry::Ended { job: 8 }, &[]),
        job("uncommitted", &[3]),
    ];
    puts(5, five);
    meta(5, &[(5, 2), (11, 4)], 6, 10);
    sweep(&storage, 5, Duration::from_secs(2));
    let many = vec![
        epoch_start(),
        job("old", &[100]),
        result(2, 0, ItemState::Completed, 50),
        job("kept", &[2500, 999]),
        // Just what a chunk takes.
        result(4, 1, ItemState::Completed, 994),
    ];
    puts(63, many);
    meta(63, &[(5, 300)], 300, 5);
    sweep(&storage, 63, RESULT_RETENTION + Duration::from_secs(11));
    // Fills the table of the disk's probe.
    storage.close();
    storage.reopen().unwrap();
}

/// Commits the writes of a replica's sweep at this time.
fn sweep(storage: &ShardStorage, shard: u32, now: Duration) {
    storage.close();
    let mut replica = replica(&mut storage.reopen().unwrap(), shard);
    replica.tick(now.into());
    let writes = replica
        .take_effects()
        .into_iter()
        .map(|effect| match effect {
            Effect::Write(write) => ShardWrite { shard, write },
            other => panic!("{other:?}"),
        });
    storage.commit(&writes.collect::<Vec<_>>()).unwrap();
}

fn epoch_start() -> Bytes {
    framing::encode(&Entry::EpochStart, &[])
}

fn job(id: &str, lengths: &[u64]) -> Bytes {
    let items = lengths.iter().zip(1..).map(|(length, number)| ItemHeader {
        id: format!("{id}-{number}"),
        tokens: 100 * number,
        length: *length,
    });
    let header = JobHeader {
        host: "h.example".to_string(),
        id: id.to_string(),
        route: "route-1".to_string(),
        terms: JobTerms {
            sent_at_ms: 1_700_000_000_123,
            completion_target_ms: 60_000,
            retention_ms: 86_400_000,
            max_attempts: 5,
        },
        items: items.collect(),
        tenant: None,
    };
    framing::encode(&Entry::Accepted(header), &[&pattern(lengths.iter().sum())])
}

fn result(job: u64, item: u32, state: ItemState, length: u64) -> Bytes {
    framing::encode(&Entry::Result { job, item, state }, &[&pattern(length)])
}

fn pattern(length: u64) -> Vec<u8> {
    (0..length).map(|at| (at % 251) as u8).collect()
}

/// All tables of a file with their keys and values, read by redb alone: a line each.
pub fn rows(file: &Path) -> Vec<String> {
    let database = Database::create(file).unwrap();
    let transaction = database.begin_read().unwrap();
    let mut tables: Vec<String> = transaction
        .list_tables()
        .unwrap()
        .map(|table| format!("table {}", table.name()))
        .collect();
    tables.sort();
    let mut lines = tables;
    let store = transaction
        .open_table(TableDefinition::<&str, u64>::new("store"))
        .unwrap();
    for row in store.iter().unwrap().map(Result::unwrap) {
        lines.push(format!("store {} {:x}", row.0.value(), row.1.value()));
    }
    let shards = transaction
        .open_table(TableDefinition::<u32, &[u8]>::new("shards"))
        .unwrap();
    for row in shards.iter().unwrap().map(Result::unwrap) {
        lines.push(format!("shards {} {}", row.0.value(), hex(row.1.value())));
    }
    let chunks = transaction
        .open_table(TableDefinition::<(u32, u64, u16), &[u8]>::new("parts"))
        .unwrap();
    for row in chunks.iter().unwrap().map(Result::unwrap) {
        lines.push(format!("parts {:?} {}", row.0.value(), hex(row.1.value())));
    }
    let probe = transaction
        .open_table(TableDefinition::<(), &[u8]>::new("probe"))
        .unwrap();
    for row in probe.iter().unwrap().map(Result::unwrap) {
        lines.push(format!("probe () {}", hex(row.1.value())));
    }
    lines
}

/// Bytes as hex.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
