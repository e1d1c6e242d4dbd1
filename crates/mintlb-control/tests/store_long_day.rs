//! A store over a long day: what it keeps on disk and in memory is bounded by what is open and by `status_s`.

mod faulty_file;

use bytes::Bytes;
use mintlb_batch::entry::{ItemHeader, ItemState, JobHeader, JobTerms};
use mintlb_batch::messages::{JobName, Submit};
use mintlb_batch::replica::{AfterSync, Effect, Replica, ReplicaSettings};
use mintlb_common::placement::ShardAssignment;
use mintlb_control::store::storage::capacity;
use mintlb_control::store::storage::{ShardStorage, ShardWrite};
use std::path::Path;
use std::time::Duration;

const SHARD: u32 = 5;
const STATUS: Duration = Duration::from_secs(20);
const LOTS: u64 = 600;
const ITEMS: usize = 8;
/// Bytes of an item and of its text over the long day,
const SMALL: usize = 3_000;
/// and on the full disk.
const LARGE: usize = 20_000;

/// One replica that is a quorum of its own, on a real file that is not synced.
struct Store {
    disk: ShardStorage,
    replica: Replica,
    now: Duration,
}

fn name(number: u64) -> JobName {
    JobName {
        host: "h".to_string(),
        id: format!("lot{number}"),
    }
}

/// What a store holds at a moment.
#[derive(Debug)]
struct Held {
    jobs: usize,
    entries: usize,
    bytes: u64,
    file: u64,
}

impl Store {
    fn open(directory: &Path, now: Duration) -> Store {
        let (disk, mut shards) =
            ShardStorage::open_with(faulty_file::Disk::default().opener(), directory, 7).unwrap();
        let settings = ReplicaSettings {
            store_id: disk.id(),
            tolerance: 0,
            result_retention: STATUS,
        };
        let loaded = shards.remove(&SHARD).unwrap_or_default();
        let replica = Replica::load(
            SHARD,
            settings,
            loaded.meta,
            loaded.entries.into_iter(),
            now,
        );
        let mut store = Store { disk, replica, now };
        let shard = ShardAssignment {
            epoch: 1,
            replicas: vec![store.disk.id()],
            ..ShardAssignment::default()
        };
        store.replica.set_assignment(&shard, now);
        store.run_effects();
        store
    }

    fn run_effects(&mut self) {
        loop {
            let effects = self.replica.take_effects();
            if effects.is_empty() {
                return;
            }
            let (mut writes, mut after): (Vec<ShardWrite>, Vec<AfterSync>) = Default::default();
            for effect in effects {
                match effect {
                    Effect::Write(write) => writes.push(ShardWrite {
                        shard: SHARD,
                        write,
                    }),
                    Effect::AfterSync(next) => after.push(next),
                    _ => (),
                }
            }
            self.disk.commit(&writes).unwrap();
            after
                .into_iter()
                .for_each(|after| self.replica.on_synced(after, self.now));
        }
    }

    fn submit(&mut self, number: u64, item_bytes: usize) {
        let id = format!("lot{number}");
        let item = |i| ItemHeader {
            id: format!("{id}-{i}"),
            tokens: 10,
            length: item_bytes as u64,
        };
        let head = JobHeader {
            host: "h".to_string(),
            id: id.clone(),
            route: "r".to_string(),
            terms: JobTerms {
                retention_ms: 5_000,
                ..JobTerms::default()
            },
            items: (0..ITEMS).map(item).collect(),
        };
        let raw = Bytes::from(vec![number as u8; ITEMS * item_bytes]);
        let submit = Submit {
            epoch: 1,
            owner: 3,
            max_queued_tokens: 0,
            job: head,
        };
        self.replica.submit(submit, &raw, self.now);
    }

    fn record(&mut self, number: u64, item: u32, bytes: usize) {
        let text = Bytes::from(vec![b't'; bytes]);
        self.replica
            .record(&name(number), item, ItemState::Completed, &text, self.now);
    }

    fn run_lot(&mut self, number: u64) {
        self.submit(number, SMALL);
        // One in ten is ended half-way.
        let run = if number.is_multiple_of(10) {
            ITEMS / 2
        } else {
            ITEMS
        };
        (0..run as u32).for_each(|item| self.record(number, item, SMALL));
        if run < ITEMS {
            self.replica.end(&name(number), self.now);
        }
        self.run_effects();
        self.now += Duration::from_secs(1);
        self.replica.tick(self.now);
        self.run_effects();
    }

    fn held(&self) -> Held {
        Held {
            jobs: self.replica.jobs().iter().count(),
            entries: self.replica.jobs().entries_after(0).count(),
            bytes: self.replica.bytes(),
            file: self.disk.file_bytes(),
        }
    }
}

#[test]
fn what_is_kept_does_not_grow_with_the_day() {
    let directory = tempfile::tempdir().unwrap();
    let mut store = Store::open(directory.path(), Duration::from_secs(50));
    let mut seen = Vec::new();
    for number in 1..=LOTS {
        store.run_lot(number);
        if number.is_multiple_of(100) {
            println!("after {number} lots: {:?}", store.held());
            seen.push(store.held());
        }
    }
    let (first, last) = (&seen[0], &seen[seen.len() - 1]);
    // Those of status_s and 10 s.
    assert!(
        last.jobs <= 32 && last.entries <= 32 * (ITEMS + 1),
        "{last:?}"
    );
    assert!(
        last.bytes <= first.bytes + (first.bytes >> 3),
        "{first:?} {last:?}"
    );
    assert!(last.file <= seen[1].file, "{seen:?}");

    // A restart reads as much, and begins the time anew.
    let now = store.now;
    drop(store);
    let mut again = Store::open(directory.path(), now);
    assert_eq!(again.held().jobs, last.jobs);
    again.now += STATUS + Duration::from_secs(11);
    again.replica.tick(again.now);
    again.run_effects();
    assert_eq!(
        (again.held().jobs, again.held().entries, again.held().bytes),
        (0, 0, 0)
    );
    println!("all dropped: {:?}", again.held());
}

/// Lots until the store takes no more, then the result of each of their items: the file never has to become longer
/// than its disk lets it.
#[test]
fn results_find_room_on_a_disk_that_takes_no_more_lots() {
    const DISK: u64 = 12 << 20;
    let directory = tempfile::tempdir().unwrap();
    let mut store = Store::open(directory.path(), Duration::from_secs(50));
    let mut taken = 0;
    loop {
        let (jobs, file) = (store.replica.jobs(), store.disk.file_bytes());
        let more = (ITEMS * LARGE) as u64;
        if !capacity::fits(
            jobs.bytes() + jobs.expected_result_bytes() + more,
            file,
            DISK,
        ) {
            break;
        }
        taken += 1;
        store.submit(taken, LARGE);
        // Of a first one it is seen how long texts are.
        store.record(taken, 0, LARGE);
        store.run_effects();
    }
    println!("{taken} lots taken, file {}", store.disk.file_bytes());
    for item in 1..ITEMS as u32 {
        for number in 1..=taken {
            store.record(number, item, LARGE);
            store.run_effects();
        }
    }
    println!(
        "with all results: file {}, entries {}",
        store.disk.file_bytes(),
        store.replica.bytes()
    );
    assert!(taken >= 12, "{taken}");
    assert!(
        store.disk.file_bytes() <= DISK,
        "{}",
        store.disk.file_bytes()
    );
}
