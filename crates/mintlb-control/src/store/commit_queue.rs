//! The thread that commits: what waits meanwhile goes into one commit.

use super::StoreError;
use super::disk::{LoadedShards, ShardStorage};
use super::file::DiskError;
use mintlb_batch::replica::{AfterSync, DiskWrite};
use parking_lot::{Condvar, Mutex};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// Small writes wait so long for others to share their commit,
const GROUP_COMMIT_DELAY: Duration = Duration::from_millis(6);
/// until there are so many bytes.
const GROUP_COMMIT_BYTES: usize = 64 << 10;
/// Writes that wait for a commit take no more than this; the store takes nothing new meanwhile.
pub const MAX_QUEUED_BYTES: usize = 12 << 20;
/// A commit that takes so long tells that the disk answers nothing.
const STALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// An opened file with its thread.
pub struct OpenedStorage {
    /// The file.
    pub disk: ShardStorage,
    /// Its thread.
    pub commit_queue: CommitQueue,
    /// What it held, by shard.
    pub shards: LoadedShards,
}

/// What follows a commit, by shard, or that it failed.
pub type CommitOutcome = Result<Vec<(u32, AfterSync)>, DiskError>;

/// What goes into one commit, and what follows it.
struct CommitBatch {
    writes: Vec<(u32, DiskWrite)>,
    after: Vec<(u32, AfterSync)>,
}

#[derive(Default)]
struct QueueState {
    writes: Vec<(u32, DiskWrite)>,
    after: Vec<(u32, AfterSync)>,
    /// What follows the commit under way beside what it was begun with.
    after_commit_in_progress: Vec<(u32, AfterSync)>,
    bytes: usize,
    /// Since when a commit is under way.
    commit_started: Option<Instant>,
    /// A commit failed: nothing is taken until the file has been opened again.
    failed: bool,
}

/// The thread that commits. Cheap to clone.
#[derive(Clone)]
pub struct CommitQueue {
    shared: Arc<(Mutex<QueueState>, Condvar)>,
}

impl CommitQueue {
    /// Starts the thread. After each commit it says what follows; after a failed one that it failed, and then
    /// drops all that it is given until [`CommitQueue::resume`].
    pub fn start(
        disk: ShardStorage,
        committed: UnboundedSender<CommitOutcome>,
    ) -> Result<CommitQueue, StoreError> {
        let commit_queue = CommitQueue {
            shared: Arc::default(),
        };
        let worker = commit_queue.clone();
        std::thread::Builder::new()
            .name("lots-commit".to_string())
            .spawn(move || worker.run(&disk, &committed))
            .map_err(StoreError::System)?;
        Ok(commit_queue)
    }

    fn run(&self, disk: &ShardStorage, committed: &UnboundedSender<CommitOutcome>) {
        loop {
            let CommitBatch { writes, mut after } = self.next_batch();
            let outcome = disk.commit(&writes);
            drop(writes);
            {
                let mut state = self.shared.0.lock();
                state.commit_started = None;
                after.append(&mut state.after_commit_in_progress);
                if outcome.is_err() {
                    *state = QueueState {
                        failed: true,
                        ..QueueState::default()
                    };
                }
            }
            if let Err(error) = &outcome {
                log::error!("store: a commit failed: {error}");
            }
            if committed.send(outcome.map(|()| after)).is_err() {
                return;
            }
        }
    }

    /// Takes changes again, after the file was opened again.
    pub fn resume(&self) {
        self.shared.0.lock().failed = false;
    }

    fn next_batch(&self) -> CommitBatch {
        let (lock, condition) = &*self.shared;
        let mut state = lock.lock();
        while state.writes.is_empty() {
            condition.wait(&mut state);
        }
        let deadline = Instant::now() + GROUP_COMMIT_DELAY;
        while state.bytes < GROUP_COMMIT_BYTES
            && !condition.wait_until(&mut state, deadline).timed_out()
        {}
        state.commit_started = Some(Instant::now());
        state.bytes = 0;
        CommitBatch {
            writes: std::mem::take(&mut state.writes),
            after: std::mem::take(&mut state.after),
        }
    }

    /// Whether nothing is on its way to the disk.
    pub fn is_idle(&self) -> bool {
        let state = self.shared.0.lock();
        state.writes.is_empty() && state.commit_started.is_none()
    }

    /// Whether a commit has been under way for so long that the disk counts as one that answers nothing.
    pub fn is_stalled(&self, now: Instant) -> bool {
        let since = self.shared.0.lock().commit_started;
        since.is_some_and(|since| now.saturating_duration_since(since) >= STALL_TIMEOUT)
    }

    /// Whether so much waits that nothing new should be taken.
    pub fn is_full(&self) -> bool {
        self.shared.0.lock().bytes > MAX_QUEUED_BYTES
    }

    /// Has a shard's changes committed together, and says what follows. If nothing has to be waited for, what
    /// follows is given back at once. After a failed commit nothing is done and nothing follows.
    pub fn enqueue(
        &self,
        shard: u32,
        writes: Vec<DiskWrite>,
        after: Vec<AfterSync>,
    ) -> Result<(), Vec<AfterSync>> {
        let (lock, condition) = &*self.shared;
        let mut state = lock.lock();
        if state.failed {
            return Ok(());
        }
        if writes.is_empty() && state.writes.is_empty() && state.commit_started.is_none() {
            return Err(after);
        }
        let before = state.bytes;
        state.bytes += writes.iter().map(bytes_of).sum::<usize>();
        let reached_group_size = before < GROUP_COMMIT_BYTES && state.bytes >= GROUP_COMMIT_BYTES;
        let was_empty = state.writes.is_empty();
        state
            .writes
            .extend(writes.into_iter().map(|write| (shard, write)));
        let after = after.into_iter().map(|after| (shard, after));
        match state.writes.is_empty() {
            true => state.after_commit_in_progress.extend(after),
            false => state.after.extend(after),
        }
        if (was_empty || reached_group_size) && !state.writes.is_empty() {
            drop(state);
            condition.notify_one();
        }
        Ok(())
    }
}

fn bytes_of(write: &DiskWrite) -> usize {
    match write {
        DiskWrite::Put(_, bytes) => bytes.len() + 64,
        _ => 64,
    }
}
