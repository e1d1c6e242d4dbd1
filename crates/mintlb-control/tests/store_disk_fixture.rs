//! A store's file that was recorded in `tests/fixtures/store`, read by the present program: a store
//! that is upgraded has to find its jobs again, so a change of names or of the code's structure
//! must change neither the file's name, nor its tables, nor a byte in them.
//!
//! `lots.redb` is the file, `rows.txt` its tables as redb alone reads them, `known.txt` the state
//! that a replica loads from it.

mod store_fixture;

use mintlb_batch::entry::ItemState;
use mintlb_batch::quota::QuotaAccount;
use mintlb_batch::replica::Replica;
use mintlb_common::placement::StoreId;
use mintlb_control::store::storage::{LoadedStorage, ShardStorage};
use std::path::Path;

/// The state of a replica, a line a fact, in the words of the recorded text.
fn describe(replica: &Replica, shard: u32) -> Vec<String> {
    let end = replica.log().end();
    let epochs: Vec<_> = (1..=end.index)
        .map(|index| replica.log().epoch_at(index).unwrap().to_string())
        .collect();
    let entries: Vec<_> = replica.jobs().entries_after(0).collect();
    let open: Vec<_> = replica.jobs().open().map(|job| job.index).collect();
    let mut lines = vec![
        format!(
            "shard {shard}: promised {} committed {}",
            replica.current_epoch(),
            replica.commit_index()
        ),
        format!(
            "shard {shard}: log to {} of epoch {}: {}",
            end.index,
            end.epoch,
            epochs.join(" ")
        ),
        format!(
            "shard {shard}: entries {entries:?}, {} bytes",
            replica.jobs().bytes()
        ),
        format!(
            "shard {shard}: open {open:?}, {} tokens",
            replica
                .jobs()
                .queued_tokens(&QuotaAccount::of_route("route-1"))
        ),
    ];
    for job in replica.jobs().iter() {
        let index = job.index;
        let terms = &job.terms;
        let (sent, target) = (terms.sent_at_ms, terms.completion_target_ms);
        let (retention, attempts) = (terms.retention_ms, terms.max_attempts);
        let terms = format!("terms {sent} {target} {retention} {attempts}");
        let end = format!("ended {:?} payloads {}", job.ended, job.has_payloads);
        let name = format!("{} {} {}", job.name.host, job.name.id, job.account.route);
        lines.push(format!("shard {shard}: lot {index} {name} {terms} {end}"));
        for item in &job.items {
            lines.push(format!(
                "  item {} {} {} {:?}",
                item.id, item.tokens, item.length, item.position
            ));
        }
        for result in &job.results {
            let completed = result.state == ItemState::Completed;
            let (at, item, length) = (result.index, result.item, result.length);
            lines.push(format!(
                "  result {at} of {item}: completed {completed} {length}"
            ));
        }
    }
    lines
}

/// The entries of a shard as the program reads them.
fn entries(storage: &ShardStorage, shard: u32) -> Vec<String> {
    let indexes: Vec<u64> = (0..20).collect();
    let read = storage.read(shard, &indexes).unwrap().into_iter();
    read.map(|entry| {
        format!(
            "{shard} {} {}",
            entry.index,
            store_fixture::hex(&entry.bytes)
        )
    })
    .collect()
}

/// The entries of a shard as they lie in the table: their chunks joined.
fn entries_in_rows(rows: &str, shard: u32) -> Vec<String> {
    let mut entries: Vec<String> = Vec::new();
    for row in rows
        .lines()
        .filter_map(|row| row.strip_prefix(&format!("parts ({shard}, ")))
    {
        let (key, bytes) = row.split_once(") ").unwrap();
        let (index, chunk) = key.split_once(", ").unwrap();
        match chunk {
            "0" => entries.push(format!("{shard} {index} {bytes}")),
            _ => entries.last_mut().unwrap().push_str(bytes),
        }
    }
    entries
}

fn copy_of_fixture() -> tempfile::TempDir {
    let directory = tempfile::tempdir().unwrap();
    std::fs::copy(
        store_fixture::path("store/lots.redb"),
        directory.path().join("lots.redb"),
    )
    .unwrap();
    directory
}

fn file_names(directory: &Path) -> Vec<String> {
    let files = std::fs::read_dir(directory)
        .unwrap()
        .map(|file| file.unwrap().file_name());
    files.map(|name| name.into_string().unwrap()).collect()
}

#[test]
fn a_recorded_file_is_read_as_before() {
    let directory = copy_of_fixture();
    let LoadedStorage {
        storage,
        mut shards,
    } = ShardStorage::open(directory.path(), StoreId(1)).unwrap();
    assert_eq!(
        storage.id(),
        store_fixture::IDENTITY,
        "the file was not recognized"
    );
    assert_eq!(shards.keys().copied().collect::<Vec<_>>(), [5, 63]);
    let rows = store_fixture::text("store/rows.txt");
    let mut lines = Vec::new();
    for shard in [5, 63] {
        assert_eq!(entries(&storage, shard), entries_in_rows(&rows, shard));
        lines.append(&mut describe(
            &store_fixture::replica(&mut shards, shard),
            shard,
        ));
    }
    let expected = store_fixture::text("store/known.txt");
    assert_eq!(lines, expected.lines().collect::<Vec<_>>());
    drop(storage);
    assert_eq!(file_names(directory.path()), ["lots.redb"]);
    let after = store_fixture::rows(&directory.path().join("lots.redb"));
    assert_eq!(
        after,
        rows.lines().collect::<Vec<_>>(),
        "opening has changed the file's tables"
    );
}

#[test]
fn the_same_writes_produce_the_same_tables() {
    let directory = tempfile::tempdir().unwrap();
    // Left by a process that ended while it created the file.
    std::fs::write(directory.path().join("lots.redb.new"), [1; 100]).unwrap();
    store_fixture::write_file(directory.path());
    assert_eq!(file_names(directory.path()), ["lots.redb"]);
    let rows = store_fixture::rows(&directory.path().join("lots.redb"));
    assert_eq!(
        rows,
        store_fixture::text("store/rows.txt")
            .lines()
            .collect::<Vec<_>>()
    );
}

#[test]
fn the_recorded_file_has_the_recorded_tables() {
    let directory = copy_of_fixture();
    let rows = store_fixture::rows(&directory.path().join("lots.redb"));
    assert_eq!(
        rows,
        store_fixture::text("store/rows.txt")
            .lines()
            .collect::<Vec<_>>()
    );
}

#[test]
fn a_damaged_file_is_quarantined_under_its_name() {
    let directory = tempfile::tempdir().unwrap();
    std::fs::write(directory.path().join("lots.redb"), [1; 20_000]).unwrap();
    ShardStorage::open(directory.path(), StoreId(1)).unwrap();
    let mut names = file_names(directory.path());
    names.sort();
    assert_eq!(names, ["lots.redb", "lots.redb.unreadable"]);
}
