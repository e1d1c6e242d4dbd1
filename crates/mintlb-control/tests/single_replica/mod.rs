//! Fixture: one replica that is a quorum of its own, on a real file that is not synced.
#![allow(dead_code)]

use super::faulty_file::Disk;
use bytes::Bytes;
use mintlb_batch::entry::{ItemHeader, ItemState, JobHeader, JobTerms};
use mintlb_batch::messages::{JobName, Submit};
use mintlb_batch::replica::{AfterSync, Effect, Replica, ReplicaSettings};
use mintlb_batch::timestamp::Timestamp;
use mintlb_common::placement::{ShardAssignment, StoreId};
use mintlb_control::store::storage::{LoadedStorage, ShardStorage, ShardWrite};
use std::path::Path;
use std::time::Duration;

/// The shard of the host of all jobs.
pub const SHARD: u32 = 11;
/// How long a job is readable after it was sent.
pub const RESULT_RETENTION: Duration = Duration::from_secs(20);
/// The time on the replica's clock at its first start.
pub const START: Timestamp = Timestamp::from_millis(50_000);
/// Items of each job.
pub const ITEMS: usize = 8;

pub struct SingleReplica {
    pub storage: ShardStorage,
    pub replica: Replica,
    pub now: Timestamp,
}

/// What a replica has in memory and on disk.
#[derive(Debug)]
pub struct Usage {
    pub jobs: usize,
    pub entries: usize,
    pub entry_bytes: u64,
    pub file_bytes: u64,
}

pub fn job_name(number: u64) -> JobName {
    JobName {
        host: "h".to_string(),
        id: format!("job{number}"),
    }
}

impl SingleReplica {
    /// A replica on the file in `directory`, as the primary of its shard.
    pub fn open(directory: &Path, now: Timestamp) -> SingleReplica {
        let LoadedStorage {
            storage,
            mut shards,
        } = ShardStorage::open_with(Disk::default().opener(), directory, StoreId(7)).unwrap();
        let settings = ReplicaSettings {
            store_id: storage.id(),
            tolerance: 0,
            result_retention: RESULT_RETENTION,
        };
        let loaded = shards.remove(&SHARD).unwrap_or_default();
        let entries = loaded.entries.into_iter();
        let replica = Replica::load(SHARD, settings, loaded.meta, entries, now);
        let assignment = ShardAssignment {
            epoch: 1,
            replicas: vec![storage.id()],
            ..ShardAssignment::default()
        };
        let mut opened = SingleReplica {
            storage,
            replica,
            now,
        };
        opened.replica.set_assignment(&assignment, now);
        opened.run_effects();
        opened
    }

    /// Commits the replica's writes, until it has no more of them.
    pub fn run_effects(&mut self) {
        loop {
            let effects = self.replica.take_effects();
            if effects.is_empty() {
                return;
            }
            let mut writes: Vec<ShardWrite> = Vec::new();
            let mut continuations: Vec<AfterSync> = Vec::new();
            for effect in effects {
                match effect {
                    Effect::Write(write) => writes.push(ShardWrite {
                        shard: SHARD,
                        write,
                    }),
                    Effect::AfterSync(after) => continuations.push(after),
                    _ => (),
                }
            }
            self.storage.commit(&writes).unwrap();
            for after in continuations {
                self.replica.on_synced(after, self.now);
            }
        }
    }

    pub fn submit(&mut self, number: u64, item_bytes: usize) {
        let name = job_name(number);
        let item = |i| ItemHeader {
            id: format!("{}-{i}", name.id),
            tokens: 10,
            length: item_bytes as u64,
        };
        let job = JobHeader {
            host: name.host.clone(),
            id: name.id.clone(),
            route: "r".to_string(),
            terms: JobTerms {
                retention_ms: 5_000,
                ..JobTerms::default()
            },
            items: (0..ITEMS).map(item).collect(),
            tenant: None,
        };
        let raw = Bytes::from(vec![number as u8; ITEMS * item_bytes]);
        let submit = Submit {
            epoch: 1,
            owner: 3,
            max_queued_tokens: 0,
            job,
        };
        self.replica.submit(&submit, &raw, self.now);
    }

    /// Records the result of an item, with a text of so many bytes.
    pub fn record(&mut self, number: u64, item: u32, bytes: usize) {
        let text = Bytes::from(vec![b't'; bytes]);
        let name = job_name(number);
        self.replica
            .record(&name, item, ItemState::Completed, &text, self.now);
    }

    pub fn advance(&mut self, by: Duration) {
        self.now = self.now + by;
        self.replica.tick(self.now);
        self.run_effects();
    }

    pub fn usage(&self) -> Usage {
        Usage {
            jobs: self.replica.jobs().iter().count(),
            entries: self.replica.jobs().entries_after(0).count(),
            entry_bytes: self.replica.bytes(),
            file_bytes: self.storage.file_bytes(),
        }
    }
}
