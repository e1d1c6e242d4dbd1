//! Group commit: continuations run after their commit, and a disk that does not respond is noticed.

mod faulty_file;
mod store_entries;

use faulty_file::Disk;
use mintlb_batch::replica::{AfterSync, DiskWrite};
use mintlb_common::placement::StoreId;
use mintlb_control::store::storage::commit_queue::{Enqueued, ShardContinuation};
use mintlb_control::store::storage::{CommitQueue, LoadedStorage, ShardStorage};
use std::time::{Duration, Instant};
use store_entries::epoch_start;

const SHARD: u32 = 3;
const WRITES: u64 = 50;

fn persisted(through: u64) -> AfterSync {
    AfterSync::LogPersisted { epoch: 1, through }
}

#[tokio::test]
async fn continuations_run_after_their_commit() {
    let directory = tempfile::tempdir().unwrap();
    let LoadedStorage { storage, .. } = ShardStorage::open(directory.path(), StoreId(77)).unwrap();
    let (outcomes, mut commits) = tokio::sync::mpsc::unbounded_channel();
    let queue = CommitQueue::start(storage.clone(), outcomes).unwrap();
    assert_eq!(
        queue.enqueue(SHARD, Vec::new(), vec![persisted(0)]),
        Enqueued::AlreadyDurable(vec![persisted(0)]),
        "nothing to wait for"
    );
    for index in 1..=WRITES {
        let writes = vec![DiskWrite::Put(index, epoch_start())];
        assert_eq!(
            queue.enqueue(SHARD, writes, vec![persisted(index)]),
            Enqueued::Queued
        );
    }
    // All writes may be durable by now.
    let mut last = match queue.enqueue(SHARD, Vec::new(), vec![persisted(WRITES + 1)]) {
        Enqueued::AlreadyDurable(continuations) => continuations,
        Enqueued::Queued => Vec::new(),
        Enqueued::Discarded => panic!("no commit has failed"),
    };
    let all: Vec<AfterSync> = (1..=WRITES + 1).map(persisted).collect();
    let mut continuations = Vec::new();
    while continuations.len() + last.len() < all.len() {
        let batch = commits.recv().await.unwrap().unwrap();
        for ShardContinuation { shard, after_sync } in batch {
            let AfterSync::LogPersisted { through, .. } = after_sync else {
                panic!("{after_sync:?}")
            };
            assert_eq!(shard, SHARD);
            if through <= WRITES {
                assert_eq!(storage.read(SHARD, &[through]).unwrap().len(), 1);
            }
            continuations.push(after_sync);
        }
    }
    continuations.append(&mut last);
    assert_eq!(continuations, all);
}

#[tokio::test]
async fn an_unresponsive_disk_counts_as_stalled() {
    let directory = tempfile::tempdir().unwrap();
    let disk = Disk::default();
    let LoadedStorage { storage, .. } =
        ShardStorage::open_with(disk.opener(), directory.path(), StoreId(77)).unwrap();
    let (outcomes, mut commits) = tokio::sync::mpsc::unbounded_channel();
    let queue = CommitQueue::start(storage, outcomes).unwrap();
    let later = |seconds: u64| Instant::now() + Duration::from_secs(seconds);
    assert!(!queue.is_stalled(later(60)), "no commit is in progress");
    disk.set_stalled(true);
    let enqueued = queue.enqueue(SHARD, vec![DiskWrite::Put(1, epoch_start())], Vec::new());
    assert_eq!(enqueued, Enqueued::Queued);
    // The thread begins the commit at a time of its own.
    let stalled = async {
        while !queue.is_stalled(later(2)) {
            tokio::task::yield_now().await;
        }
    };
    let noticed = tokio::time::timeout(Duration::from_secs(5), stalled).await;
    assert!(noticed.is_ok(), "the stall is not noticed");
    assert!(!queue.is_stalled(Instant::now()));
    disk.set_stalled(false);
    commits.recv().await.unwrap().unwrap();
    assert!(!queue.is_stalled(later(60)));
}
