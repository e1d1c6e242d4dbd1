//! A lots' file that was written down in `tests/fixtures/store`, read by the program of now: a store that is
//! exchanged for one of another version has to find its lots again, so a change of names or of the code's
//! structure must change neither the file's name, nor its tables, nor a byte in them.
//!
//! `lots.redb` is the file, `rows.txt` its tables as redb alone reads them, `known.txt` what the program
//! makes of it.

mod store_fixture;

use mintlb_batch::entry::ItemState;
use mintlb_batch::replica::Replica;
use mintlb_control::store::storage::ShardStorage;
use std::path::Path;

/// What a replica knows of its shard, a line each.
fn known(replica: &Replica, shard: u32) -> Vec<String> {
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
            replica.jobs().queued_tokens("route-1")
        ),
    ];
    for job in replica.jobs().iter() {
        let index = job.index;
        let terms = &job.terms;
        let (sent, target) = (terms.sent_at_ms, terms.completion_target_ms);
        let (retention, attempts) = (terms.retention_ms, terms.max_attempts);
        let terms = format!("terms {sent} {target} {retention} {attempts}");
        let end = format!("ended {:?} payloads {}", job.ended, job.has_payloads);
        let name = format!("{} {} {}", job.name.host, job.name.id, job.route);
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

/// The entries of a shard as the program reads them, with their bytes.
fn entries(disk: &ShardStorage, shard: u32) -> Vec<String> {
    let indexes: Vec<u64> = (0..20).collect();
    let read = disk.read(shard, &indexes).unwrap().into_iter();
    read.map(|entry| {
        format!(
            "{shard} {} {}",
            entry.index,
            store_fixture::hex(&entry.bytes)
        )
    })
    .collect()
}

/// The entries of a shard as the table's rows hold them: their parts one after another.
fn entries_in_rows(rows: &str, shard: u32) -> Vec<String> {
    let mut entries: Vec<String> = Vec::new();
    for row in rows
        .lines()
        .filter_map(|row| row.strip_prefix(&format!("parts ({shard}, ")))
    {
        let (key, bytes) = row.split_once(") ").unwrap();
        let (index, place) = key.split_once(", ").unwrap();
        match place {
            "0" => entries.push(format!("{shard} {index} {bytes}")),
            _ => entries.last_mut().unwrap().push_str(bytes),
        }
    }
    entries
}

fn copied() -> tempfile::TempDir {
    let directory = tempfile::tempdir().unwrap();
    std::fs::copy(
        store_fixture::path("store/lots.redb"),
        directory.path().join("lots.redb"),
    )
    .unwrap();
    directory
}

fn names(directory: &Path) -> Vec<String> {
    let files = std::fs::read_dir(directory)
        .unwrap()
        .map(|file| file.unwrap().file_name());
    files.map(|name| name.into_string().unwrap()).collect()
}

#[test]
fn the_program_finds_its_lots_again() {
    let directory = copied();
    let (disk, mut shards) = ShardStorage::open(directory.path(), 1).unwrap();
    assert_eq!(
        disk.id(),
        store_fixture::IDENTITY,
        "the file was not taken as the store's"
    );
    assert_eq!(shards.keys().copied().collect::<Vec<_>>(), [5, 63]);
    let rows = store_fixture::text("store/rows.txt");
    let mut lines = Vec::new();
    for shard in [5, 63] {
        assert_eq!(entries(&disk, shard), entries_in_rows(&rows, shard));
        lines.append(&mut known(
            &store_fixture::replica(&mut shards, shard),
            shard,
        ));
    }
    let expected = store_fixture::text("store/known.txt");
    assert_eq!(lines, expected.lines().collect::<Vec<_>>());
    drop(disk);
    assert_eq!(names(directory.path()), ["lots.redb"]);
    let after = store_fixture::rows(&directory.path().join("lots.redb"));
    assert_eq!(
        after,
        rows.lines().collect::<Vec<_>>(),
        "opening has changed the file's tables"
    );
}

#[test]
fn the_program_writes_the_same_tables() {
    let directory = tempfile::tempdir().unwrap();
    // Left by a process that ended while it made the file.
    std::fs::write(directory.path().join("lots.redb.new"), [1; 100]).unwrap();
    store_fixture::make(directory.path());
    assert_eq!(names(directory.path()), ["lots.redb"]);
    let rows = store_fixture::rows(&directory.path().join("lots.redb"));
    assert_eq!(
        rows,
        store_fixture::text("store/rows.txt")
            .lines()
            .collect::<Vec<_>>()
    );
}

#[test]
fn the_fixture_holds_the_tables_that_are_written_down() {
    let directory = copied();
    let rows = store_fixture::rows(&directory.path().join("lots.redb"));
    assert_eq!(
        rows,
        store_fixture::text("store/rows.txt")
            .lines()
            .collect::<Vec<_>>()
    );
}

#[test]
fn a_damaged_file_is_kept_by_its_name() {
    let directory = tempfile::tempdir().unwrap();
    std::fs::write(directory.path().join("lots.redb"), [1; 20_000]).unwrap();
    ShardStorage::open(directory.path(), 1).unwrap();
    let mut names = names(directory.path());
    names.sort();
    assert_eq!(names, ["lots.redb", "lots.redb.unreadable"]);
}
